//! The tables of a control machine's file, as they are written.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    /// This machine's position in `configuration.control`, from 1, which is its number in the consensus.
    pub(super) node: Spanned<u64>,
    pub(super) data: PathBuf,
    pub(super) cluster_key: Spanned<PathBuf>,
    /// The length of a tick of the consensus.
    #[serde(default = "default_tick_ms")]
    pub(super) tick_ms: Spanned<u32>,
    /// See [`consensus::Config::election_ticks`].
    #[serde(default = "default_election_ticks")]
    pub(super) election_ticks: usize,
    /// See [`consensus::Config::heartbeat_ticks`].
    #[serde(default = "default_heartbeat_ticks")]
    pub(super) heartbeat_ticks: usize,
    pub(super) peers: PeersTable,
    pub(super) configuration: ConfigurationTable,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersTable {
    /// Where each relay listens for notes, by its number.
    pub(super) all: Spanned<Vec<SocketAddr>>,
    #[serde(default)]
    pub(super) key: Vec<LinkKeyTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LinkKeyTable {
    pub(super) id: Spanned<u8>,
    pub(super) file: Spanned<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigurationTable {
    /// The public keys by which relays verify changes.
    pub(super) keys: Spanned<Vec<String>>,
    pub(super) control: Vec<ControlTable>,
    pub(super) zone: Vec<ZoneTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ControlTable {
    pub(super) address: Spanned<SocketAddr>,
    pub(super) region: Spanned<String>,
    pub(super) consensus: SocketAddr,
    pub(super) admin: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ZoneTable {
    pub(super) name: Spanned<String>,
    pub(super) region: Spanned<String>,
    pub(super) relays: Spanned<RelaysTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RelaysTable {
    pub(super) first: usize,
    pub(super) count: usize,
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
