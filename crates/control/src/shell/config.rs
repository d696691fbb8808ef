//! The file of a control machine. What is wrong in it is named by file, line and key.
//!
//! `peers.all` and `[configuration]` are those of the relays' files, which number the machines (see [`rollout::layout`]);
//! relays do not use `consensus` and `admin`.
//!
//! ```toml
//! node = 1
//! data = "data-1"
//! cluster_key = "cluster.key"
//!
//! [peers]
//! all = ["10.0.1.0:7946", "10.0.1.1:7946"]
//!
//! [[peers.key]]
//! id = 1
//! file = "peers.key"
//!
//! [configuration]
//! keys = ["72a46be3bd9848afd1d5c94e495aa1f57c24bcb4006f959de6e94995afafab44"]
//!
//! [[configuration.control]]
//! address = "10.0.0.1:7956"
//! region = "north"
//! consensus = "10.0.0.1:7100"
//! admin = "127.0.0.1:7000"
//!
//! [[configuration.zone]]
//! name = "north-a"
//! region = "north"
//! relays = { first = 0, count = 2 }
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use consensus::{Micros, NodeId};
use destinations::SigningKey;
use fleet::Peer;
use fleet::keys::{Key, Keys};
use rollout::layout::{Layout, LayoutError};
use rollout::topology::Topology;
use thiserror::Error;
use transient::RetryableError;

use crate::shell::config_file::{ControlTable, File, LinkKeyTable, PeersTable, ZoneTable};

/// Bytes of the key of the cluster, and of a public key.
const KEY_BYTES: usize = 32;
/// The least length of a key that signs notes, in bytes.
const MIN_LINK_KEY_BYTES: usize = 16;

/// What a control machine is told.
#[derive(Debug)]
pub struct Config {
    /// The directory of its log.
    pub data: PathBuf,
    /// The key by which changes are signed; the same on all control machines.
    pub cluster_key: SigningKey,
    /// The keys by which notes between machines of the fleet are signed: the first signs, and each is accepted. Empty if
    /// they are not signed.
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

/// A control machine.
#[derive(Clone, Debug)]
pub struct Control {
    /// Its number in the fleet.
    pub peer: Peer,
    /// Where it listens for other control machines (TCP).
    pub consensus: SocketAddr,
    /// Where it listens for operators (TCP).
    pub admin: SocketAddr,
    /// Where it listens for notes of the fleet (UDP).
    pub link: SocketAddr,
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

impl RetryableError for ConfigError {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self {
            ConfigError::Read { source, .. } => source.is_retryable(elapsed),
            ConfigError::Key { .. } => false,
        }
    }
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

/// Why a file holds no signing key.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// It cannot be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It holds something else.
    #[error("{}: a key is 64 hexadecimal digits", .0.display())]
    NoKey(PathBuf),
}

/// Reads the key that signs changes, 64 hexadecimal digits.
///
/// # Errors
/// The file cannot be read, or holds something else.
pub fn read_signing_key(file: &Path) -> Result<SigningKey, KeyFileError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| KeyFileError::Read { file: file.to_owned(), source })?;
    let key = key_of_hex(text.trim()).ok_or_else(|| KeyFileError::NoKey(file.to_owned()))?;
    Ok(SigningKey::from_bytes(&key))
}

fn key_of_hex(text: &str) -> Option<[u8; KEY_BYTES]> {
    let mut key = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut key).ok().map(|()| key)
}

/// The text of a file, to say where in it something is wrong.
struct Source<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn config(&self) -> Result<Config, ConfigError> {
        let file: File = toml::from_str(self.text).map_err(|error| self.syntax(&error))?;
        let (topology, controls) = self.machines(&file)?;
        let own = NodeId(*file.node.get_ref());
        let Some(me) = controls.get(&own).cloned() else {
            let expected = format!("expected 1 to {}, a position in configuration.control", controls.len());
            return Err(self.wrong(file.node.span(), expected));
        };
        let consensus = self.consensus(&file, own, &controls)?;
        let relays = (0..).zip(file.peers.all.get_ref().iter().copied());
        let links = relays.chain(controls.values().map(|control| (control.peer, control.link)));
        let links = links.filter(|(peer, _)| *peer != me.peer).collect();
        Ok(Config {
            data: self.beside(&file.data),
            cluster_key: self.cluster_key(&file)?,
            link_keys: self.link_keys(&file)?,
            consensus,
            me,
            controls,
            links,
            topology: Arc::new(topology),
        })
    }

    /// Numbers all machines as relays do.
    fn machines(&self, file: &File) -> Result<(Topology, BTreeMap<NodeId, Control>), ConfigError> {
        let mut layout = Layout::new(file.peers.all.get_ref().len());
        for zone in &file.configuration.zone {
            self.add_zone(&mut layout, zone)?;
        }
        let mut controls = BTreeMap::new();
        for (node, table) in (1..).map(NodeId).zip(&file.configuration.control) {
            controls.insert(node, self.add_control(&mut layout, table, &file.peers, &controls)?);
        }
        let topology = layout.topology().map_err(|error| self.wrong(file.peers.all.span(), error))?;
        Ok((topology, controls))
    }

    fn add_zone(&self, layout: &mut Layout, zone: &ZoneTable) -> Result<(), ConfigError> {
        let added = layout.add_zone(zone.name.get_ref(), zone.region.get_ref());
        let place = added.map_err(|error| match error {
            LayoutError::TooManyRegions => self.wrong(zone.region.span(), error),
            _ => self.wrong(zone.name.span(), error),
        })?;
        let relays = zone.relays.get_ref();
        if relays.count == 0 {
            return Err(self.wrong(zone.relays.span(), "expected a count of 1 or more"));
        }
        let placed = layout.place_relays(place, relays.first, relays.count);
        placed.map_err(|error| self.wrong(zone.relays.span(), error))
    }

    fn add_control(
        &self, layout: &mut Layout, table: &ControlTable, peers: &PeersTable,
        others: &BTreeMap<NodeId, Control>,
    ) -> Result<Control, ConfigError> {
        let link = *table.address.get_ref();
        if peers.all.get_ref().contains(&link) || others.values().any(|other| other.link == link) {
            return Err(self.wrong(table.address.span(), format!("{link} is another machine's already")));
        }
        let peer = layout.add_control(table.region.get_ref());
        let peer = peer.map_err(|error| self.wrong(table.region.span(), error))?;
        Ok(Control { peer, consensus: table.consensus, admin: table.admin, link })
    }

    /// The key that signs changes, which relays have to know.
    fn cluster_key(&self, file: &File) -> Result<SigningKey, ConfigError> {
        let key = read_signing_key(&self.beside(file.cluster_key.get_ref()))
            .map_err(|error| self.wrong(file.cluster_key.span(), error))?;
        let public = key.verifying_key().to_bytes();
        let listed = file.configuration.keys.get_ref().iter();
        if listed.filter_map(|text| key_of_hex(text)).any(|key| key == public) {
            return Ok(key);
        }
        let reason = format!("has not {}, the public key of cluster_key", hex::encode(public));
        Err(self.wrong(file.configuration.keys.span(), reason))
    }

    fn link_keys(&self, file: &File) -> Result<Keys, ConfigError> {
        let key = |table: &LinkKeyTable| {
            let path = self.beside(table.file.get_ref());
            let wrong =
                |reason: String| self.wrong(table.file.span(), format!("{}: {reason}", path.display()));
            let bytes = std::fs::read(&path).map_err(|error| wrong(error.to_string()))?;
            if *table.id.get_ref() == 0 {
                return Err(self.wrong(table.id.span(), "expected 1 to 255"));
            }
            if bytes.len() < MIN_LINK_KEY_BYTES {
                return Err(wrong(format!("expected {MIN_LINK_KEY_BYTES} bytes or more")));
            }
            Ok(Key { id: *table.id.get_ref(), bytes })
        };
        Ok(Keys(file.peers.key.iter().map(key).collect::<Result<_, _>>()?))
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
        config.validate().map_err(|error| self.wrong(file.tick_ms.span(), error))?;
        Ok(config)
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
