//! The file of a control machine. What is wrong in it is named by file, line and key.
//!
//! ```toml
//! node = 1
//! data = "data-1"
//! cluster_key = "cluster.key"
//!
//! [[control]]
//! node = 1
//! peer = 0
//! region = 0
//! zone = 0
//! consensus = "10.0.0.1:7100"
//! admin = "127.0.0.1:7000"
//! link = "10.0.0.1:7200"
//!
//! [[relay]]
//! peer = 6
//! region = 0
//! zone = 1
//! link = "10.0.1.6:7200"
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use consensus::{Micros, NodeId};
use destinations::SigningKey;
use fleet::Peer;
use fleet::keys::{Key, Keys};
use rollout::topology::{Machine, Place, Role, Topology};
use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

/// Bytes of the keys of the cluster and of the link.
const KEY_BYTES: usize = 32;
/// The id of the key of the link.
const LINK_KEY_ID: u8 = 1;

/// What a control machine is told.
#[derive(Debug)]
pub struct Config {
    /// The directory of its log.
    pub data: PathBuf,
    /// The key by which changes are signed; the same on all control machines.
    pub cluster_key: SigningKey,
    /// The keys by which notes between machines of the fleet are signed; empty if they are not.
    pub link_keys: Keys,
    /// The configuration of the consensus.
    pub consensus: consensus::Config,
    /// This machine.
    pub me: Control,
    /// All control machines, this one among them.
    pub controls: BTreeMap<NodeId, Control>,
    /// Where all other machines of the fleet listen for notes.
    pub links: BTreeMap<Peer, SocketAddr>,
    /// The order of all machines of the fleet.
    pub topology: Arc<Topology>,
}

/// A control machine as the file lists it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its number in the consensus, from 1.
    node: Spanned<u64>,
    /// Its number in the fleet.
    pub peer: Peer,
    /// Its region.
    region: u8,
    /// Its zone.
    zone: u16,
    /// Where it listens for other control machines (TCP).
    pub consensus: SocketAddr,
    /// Where it listens for operators (TCP).
    pub admin: SocketAddr,
    /// Where it listens for notes of the fleet (UDP).
    pub link: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Relay {
    peer: Peer,
    region: u8,
    zone: u16,
    link: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    node: Spanned<u64>,
    data: PathBuf,
    cluster_key: Spanned<PathBuf>,
    link_key: Option<Spanned<PathBuf>>,
    /// The length of a tick of the consensus.
    #[serde(default = "default_tick_ms")]
    tick_ms: Spanned<u32>,
    /// See [`consensus::Config::election_ticks`].
    #[serde(default = "default_election_ticks")]
    election_ticks: usize,
    /// See [`consensus::Config::heartbeat_ticks`].
    #[serde(default = "default_heartbeat_ticks")]
    heartbeat_ticks: usize,
    control: Spanned<Vec<Control>>,
    #[serde(default)]
    relay: Vec<Relay>,
}

/// With the ticks below, a leader between regions is missed after 2.0 to 3.5 seconds.
fn default_tick_ms() -> Spanned<u32> {
    Spanned::new(0..0, 100)
}

fn default_election_ticks() -> usize {
    20
}

fn default_heartbeat_ticks() -> usize {
    5
}

/// Why a file is not usable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A key has a value that cannot be.
    #[error("{}:{line}: {key}: {reason}", .file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl Config {
    /// Reads the file, and the keys that it names relative to itself.
    ///
    /// # Errors
    /// A file cannot be read, or a key of it is wrong.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ConfigError::Read { file: file.to_owned(), source })?;
        Source { file, text: &text }.config()
    }
}

/// The text of a file, to say where in it something is wrong.
struct Source<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn config(&self) -> Result<Config, ConfigError> {
        let file: File = toml::from_str(self.text).map_err(|error| self.syntax(&error))?;
        let controls = self.controls(&file)?;
        let own = NodeId(*file.node.get_ref());
        let Some(me) = controls.get(&own).cloned() else {
            return Err(self.wrong(file.node.span(), "no [[control]] has this number"));
        };
        let topology = self.topology(&file)?;
        let consensus = self.consensus(&file, own, &controls)?;
        let links = controls.values().map(|control| (control.peer, control.link));
        let links = links.chain(file.relay.iter().map(|relay| (relay.peer, relay.link)));
        let links = links.filter(|(peer, _)| *peer != me.peer).collect();
        let cluster_key = SigningKey::from_bytes(&self.key(&file.cluster_key)?);
        let link_key = file.link_key.as_ref().map(|path| self.key(path)).transpose()?;
        let link_key = link_key.map(|key| Key { id: LINK_KEY_ID, bytes: key.to_vec() });
        Ok(Config {
            data: self.beside(&file.data),
            cluster_key,
            link_keys: Keys(link_key.into_iter().collect()),
            consensus,
            me,
            controls,
            links,
            topology: Arc::new(topology),
        })
    }

    fn controls(&self, file: &File) -> Result<BTreeMap<NodeId, Control>, ConfigError> {
        let mut controls = BTreeMap::new();
        for control in file.control.get_ref() {
            let node = &control.node;
            if controls.insert(NodeId(*node.get_ref()), control.clone()).is_some() {
                return Err(self.wrong(node.span(), "another [[control]] has this number"));
            }
        }
        Ok(controls)
    }

    fn topology(&self, file: &File) -> Result<Topology, ConfigError> {
        let machine = |peer, region, zone, role| Machine { peer, place: Place { region, zone }, role };
        let controls = file.control.get_ref().iter();
        let controls = controls.map(|one| machine(one.peer, one.region, one.zone, Role::Control));
        let relays = file.relay.iter().map(|one| machine(one.peer, one.region, one.zone, Role::Relay));
        let machines: Vec<Machine> = controls.chain(relays).collect();
        Topology::new(&machines).map_err(|error| self.wrong(file.control.span(), error))
    }

    fn consensus(
        &self, file: &File, id: NodeId, controls: &BTreeMap<NodeId, Control>,
    ) -> Result<consensus::Config, ConfigError> {
        let config = consensus::Config {
            id,
            voters: controls.keys().copied().collect(),
            tick_us: Micros::from(*file.tick_ms.get_ref()) * 1000,
            election_ticks: file.election_ticks,
            heartbeat_ticks: file.heartbeat_ticks,
            seed: 0,
        };
        config.validate().map_err(|error| self.wrong(file.control.span(), error))?;
        Ok(config)
    }

    /// Reads a key of 64 hexadecimal digits.
    fn key(&self, path: &Spanned<PathBuf>) -> Result<[u8; KEY_BYTES], ConfigError> {
        let file = self.beside(path.get_ref());
        let text = std::fs::read_to_string(&file)
            .map_err(|error| self.wrong(path.span(), format!("{}: {error}", file.display())))?;
        let mut key = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut key).map_err(|_| {
            self.wrong(path.span(), format!("{}: a key is 64 hexadecimal digits", file.display()))
        })?;
        Ok(key)
    }

    fn beside(&self, path: &Path) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(path)
    }

    fn syntax(&self, error: &toml::de::Error) -> ConfigError {
        self.wrong(error.span().unwrap_or(0..0), error.message())
    }

    fn wrong(&self, span: Range<usize>, reason: impl ToString) -> ConfigError {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = before.matches('\n').count();
        let text = self.text.lines().nth(line).unwrap_or_default();
        let key = text.split('=').next().unwrap_or_default().trim().to_owned();
        ConfigError::Key { file: self.file.to_owned(), line: line + 1, key, reason: reason.to_string() }
    }
}
