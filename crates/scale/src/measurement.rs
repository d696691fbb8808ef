//! What one simulated run measured, for each role and relay. Written by the runner, read by the fits and the report.

use serde::{Deserialize, Serialize};

/// A part of the control plane whose cost is counted by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Membership: heartbeats, suspicion and refutation.
    Member,
    /// Limit coordinators and the requests and grants of rate limits.
    LimitCoordinator,
    /// Health observations that relays tell each other.
    HealthObservations,
    /// Distribution of the destination set to relays.
    Configuration,
    /// One of the control machines that agree on changes.
    ControlMachine,
}

/// Cost of one role in one run, for each machine that has the role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleCost {
    /// The role.
    pub role: Role,
    /// Machines that have it.
    pub machines: u32,
    /// Datagrams sent by all machines together, exactly.
    pub messages: u64,
    /// Bytes of these, exactly, the headers of the link included.
    pub bytes: u64,
    /// Bytes a second sent by a machine, in the mean.
    pub bytes_per_s: f64,
    /// Bytes a second sent by the busiest machine.
    pub peak_bytes_per_s: f64,
    /// Datagrams a second sent by a machine, in the mean.
    pub messages_per_s: f64,
    /// Processor seconds for each simulated second and machine, in the mean.
    pub cores: f64,
    /// Bytes of memory for each machine.
    pub memory_bytes: f64,
}

/// Percentiles of a delay, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delays {
    /// How many were measured.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// What maintenance in turns cost, and how often relays went out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    /// Relays that went out.
    pub turns: u64,
    /// Its cost; maintenance is no role of its own, and is counted with members.
    pub cost: RoleCost,
}

/// What one run measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Relays in the run.
    pub relays: u32,
    /// Destinations in the run.
    pub destinations: u32,
    /// Part of destinations that are down at a time, 0 to 1.
    pub share_down: f64,
    /// Events a second over all relays.
    pub events_per_s: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Simulated seconds that were measured, after the warm-up.
    pub simulated_s: f64,
    /// Real seconds that it took.
    pub real_s: f64,
    /// Cost by role.
    pub roles: Vec<RoleCost>,
    /// Time until a dead relay is known as dead by all that live.
    pub detection: Delays,
    /// Time from publication of a change until it is in force on a relay that is connected.
    pub in_force: Delays,
    /// Events that relays accepted in the measured span.
    #[serde(default)]
    pub events: u64,
    /// Time from the arrival of an event until its call may start, by a permit or by the relay's own pace.
    #[serde(default)]
    pub permit_wait: Delays,
    /// Dead relays that some living one did not know as dead by the end of the run.
    #[serde(default)]
    pub undetected: u64,
    /// Pairs of living relays of which one took the other, whom it could reach, for dead; over looks each five seconds.
    #[serde(default)]
    pub false_alarms: u64,
    /// Restarts and failures came so many times as often as on an ordinary day.
    #[serde(default)]
    pub speed_up: f64,
    /// Maintenance in turns, where it is on.
    #[serde(default)]
    pub maintenance: Option<Maintenance>,
}
