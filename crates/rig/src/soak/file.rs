//! The file of a soak: how large its runs are and which kinds of faults they draw from.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::Deserialize;

use crate::scenario::Scenario;

/// The most relays of a run.
const MAX_RELAYS: usize = 12;
/// Share of calls that are answered with 410 where a run has the kind `over`.
const OVER_SHARE: f64 = 0.1;
/// The same with 504.
const SPENT_SHARE: f64 = 0.02;
/// The longest run, in seconds.
const MAX_SECONDS: f64 = 60.0;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Writes fail with ENOSPC, nothing written.
    DiskFull,
    /// Writes fail with EIO, some after a part was written.
    DiskError,
    /// A part of a write cannot be cut off again.
    Truncate,
    /// Files cannot be created, opened, read, locked or renamed.
    Files,
    /// Old files cannot be removed.
    Remove,
    /// The process is killed in the middle of a write.
    TornKill,
    /// No socket or event loop can be created, bound or listened on.
    Sockets,
    /// Connections of clients cannot be accepted.
    Accept,
    /// Connections to endpoints cannot be made from this machine.
    Connect,
    /// Calls are interrupted.
    Interrupt,
    /// Reads and writes of sockets and files are short.
    Short,
    /// Connections break under reads and writes.
    Broken,
    /// Connections to endpoints go through a proxy that splits, stalls and resets.
    Proxy,
    /// Answers of endpoints come again, up to a second later.
    Copies,
    /// Parts of answers of endpoints come again, up to a second later.
    Parts,
    /// Answers come from endpoints that nobody asked for, up to a second after others.
    Unasked,
    /// Answers of endpoints break off at any byte, stall, or are the last on their connection, which is closed or reset.
    Endings,
    /// Endpoints answer that a message is over, or has had all its attempts.
    Over,
    /// Datagrams cannot be sent or received.
    Datagrams,
    /// The wall clock steps.
    Clock,
    /// Processes are killed.
    Kill,
    /// Processes are killed and find an empty disk.
    ReplacedDisk,
    /// Processes are ended by SIGTERM and started again.
    Terminate,
    /// Processes read their configuration again.
    Reload,
    /// Processes stand still for up to 150 ms.
    Freeze,
}

impl Kind {
    /// Whether it takes a proxy before endpoints.
    pub(super) fn proxied(self) -> bool {
        matches!(self, Kind::Proxy | Kind::Copies | Kind::Parts | Kind::Unasked | Kind::Endings | Kind::Over)
    }
}

/// A soak.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakFile {
    /// What it shows, in one line.
    pub about: String,
    /// The fewest and the most relays of a run.
    pub relays: [usize; 2],
    /// How long clients hand messages in, in seconds.
    pub seconds: f64,
    /// Messages a second for each relay.
    pub per_relay_s: f64,
    /// For how long a message may be delivered, in milliseconds.
    pub time_left_ms: u64,
    /// Kinds of faults of one run, at the most.
    pub kinds_a_run: usize,
    /// Kinds that runs draw from.
    pub kinds: Vec<Kind>,
}

impl SoakFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The first thing that makes no sense, by file and key.
    pub fn load(file: &Path) -> Result<Self> {
        let name = || file.display().to_string();
        let text = std::fs::read_to_string(file).with_context(name)?;
        Self::read(&text).with_context(name)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// The first thing that makes no sense, by line or key.
    pub fn read(text: &str) -> Result<Self> {
        let soak: SoakFile = toml::from_str(text)?;
        let [fewest, most] = soak.relays;
        let line = |key: &str| text.lines().position(|line| line.starts_with(key)).map_or(1, |n| n + 1);
        let need = |sound: bool, key: &str, expected: String| {
            if !sound {
                bail!("line {}: {key}: expected {expected}", line(key));
            }
            Ok(())
        };
        need(fewest >= 1 && fewest <= most && most <= MAX_RELAYS, "relays", format!("1 to {MAX_RELAYS}"))?;
        need(
            soak.seconds > 0.0 && soak.seconds <= MAX_SECONDS,
            "seconds",
            format!("over 0 to {MAX_SECONDS}"),
        )?;
        need((1.0..=500.0).contains(&soak.per_relay_s), "per_relay_s", "1 to 500".into())?;
        need((500..=10_000).contains(&soak.time_left_ms), "time_left_ms", "500 to 10000".into())?;
        need(soak.kinds_a_run >= 1, "kinds_a_run", "1 or more".into())?;
        need(!soak.kinds.is_empty(), "kinds", "one kind or more".into())?;
        Ok(soak)
    }

    /// The load of a run with so many relays, as a scenario without faults of its own.
    pub(super) fn scenario(&self, relays: usize, proxied: bool, over: bool) -> Result<Scenario> {
        let [over, spent] = if over { [OVER_SHARE, SPENT_SHARE] } else { [0.0, 0.0] };
        let per_s = self.per_relay_s * relays as f64;
        // Endpoints have room to spare: nothing is lost for want of it.
        let text = format!(
            "about = \"soak\"\nrelays = {relays}\nproxied = {proxied}\nseconds = {}\n[load]\nper_s = {per_s}\ntime_left_ms = {}\n\
             [[partner]]\ncount = 3\nper_s = {}\nwork_ms = [0, 12]\nover = {over}\nspent = {spent}\n",
            self.seconds,
            self.time_left_ms,
            per_s * 4.0,
        );
        Scenario::read(&text)
    }
}
