//! Configuration: reads, checks and completes with defaults everything a relay is configured with.
//!
//! There are two sources: the platform's JSON file ([`Config::load`]) and an operator's TOML file
//! ([`Config::load_file`]). Environment variables override both. Every error names the key at fault. This module
//! starts nothing.

mod distribution;
mod error;
mod fleet;
mod limits;
mod operator;
mod platform;
mod reload;
mod settings;

use std::net::SocketAddr;
use std::path::PathBuf;

use record::sql::Target;
use serde_json::Value;

use crate::as2::Identity;
use crate::fleet::Setup;
use crate::interface::Settings;
use crate::net::discovery::MemberList;
use crate::recording::Recording;
use crate::store::{JournalLimits, RESERVED_BYTES_PER_MESSAGE, RESERVED_BYTES_PER_RECORDED_MESSAGE};
use crate::wire::Names;

pub use error::ConfigError;
pub use limits::Limits;

/// Space for the file of the clock, in bytes. Two exist while one replaces the other.
const CLOCK_BYTES: u64 = 1024;
/// The snapshot of health observations may take the disk limit divided by this.
const SNAPSHOT_DIVISOR: u64 = 32;
/// Beside a record in SQLite, the journal may take the disk limit divided by this.
const JOURNAL_DIVISOR_BESIDE_SQLITE: u64 = 4;

/// Configuration of the AS2 front.
#[derive(Debug)]
pub struct As2Config {
    /// Address on which partners connect.
    pub listen: SocketAddr,
    /// The relay's own AS2 identity and its partners.
    pub identity: Identity,
}

/// The complete configuration of one relay.
#[derive(Debug)]
pub struct Config {
    /// The relay's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Number of the inherited file descriptor on which client connections arrive, if there is one.
    pub accept: Option<String>,
    /// Address of the admin endpoint; without it there is none.
    pub ops: Option<SocketAddr>,
    /// Address of the platform's agent, which serves the destination set.
    pub discovery: Option<SocketAddr>,
    /// Address to which non-delivery reports go; without one they are only recorded and logged.
    pub notices: Option<SocketAddr>,
    /// Database in which the outcomes of messages are recorded, if any.
    pub record: Option<Recording>,
    /// Membership in a fleet of relays, if any.
    pub fleet: Option<Setup>,
    /// The AS2 front, off unless an operator's file configures it.
    pub as2: Option<As2Config>,
    /// The folder for persistent state.
    pub state: PathBuf,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants and other items in these settings.
    pub names: Names,
    /// The destination set from the file, as last known.
    pub known: Option<MemberList>,
    /// The file as it was read.
    source: Value,
}

impl Config {
    /// Space for the journal, in bytes: the disk limit less what the clock's file, the observation snapshots, the files of the
    /// replicated destination set and an SQLite record take of it.
    pub fn journal_room(&self) -> JournalLimits {
        let files = distribution::files_room(self.fleet.as_ref());
        let disk = self.limits.disk - self.snapshots_total() - files - CLOCK_BYTES;
        match &self.record {
            None => JournalLimits { limit: disk, reserved_per_message: RESERVED_BYTES_PER_MESSAGE },
            Some(Recording { target: Target::Sqlite { .. }, .. }) => JournalLimits {
                limit: disk / JOURNAL_DIVISOR_BESIDE_SQLITE,
                reserved_per_message: RESERVED_BYTES_PER_RECORDED_MESSAGE,
            },
            Some(_) => {
                JournalLimits { limit: disk, reserved_per_message: RESERVED_BYTES_PER_RECORDED_MESSAGE }
            }
        }
    }

    /// Maximum size of one snapshot of health observations, in bytes.
    pub fn snapshot_room(&self) -> u64 {
        self.limits.disk / SNAPSHOT_DIVISOR
    }

    /// Bytes that snapshots take: two exist while one replaces the other.
    fn snapshots_total(&self) -> u64 {
        if self.shares_observations() { 2 * self.snapshot_room() } else { 0 }
    }

    /// Whether the relay exchanges health observations with its peers.
    fn shares_observations(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.observations.is_some())
    }
}

/// The file that `config init` writes for an application.
pub fn template(application: &str) -> String {
    include_str!("../template.toml").replace("APPLICATION", application)
}
