//! What is measured of whom, and how much of it the coming size allows.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::axis::Conditions;
use crate::measurement::{Measurement, Role, RoleCost};

/// Bytes a second that control may send for each relay.
pub const BUDGET_BYTES_PER_S: f64 = 7_000.0;
/// Part of a core that control may use for each relay.
pub const BUDGET_CORES: f64 = 0.037;
/// Memory that control may use for each relay, in megabytes (10⁶ bytes).
pub const BUDGET_MEMORY_MB: f64 = 32.0;
/// Time within which a change must be in force everywhere, in milliseconds.
pub const BUDGET_IN_FORCE_MS: f64 = 4_000.0;

const BYTES_OF_A_MEGABYTE: f64 = 1e6;
const MICROSECONDS_OF_A_MILLISECOND: f64 = 1e3;

/// Whose cost is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The role [`Role::Member`].
    Member,
    /// The role [`Role::LimitCoordinator`].
    LimitCoordinator,
    /// The role [`Role::HealthObservations`].
    HealthObservations,
    /// The role [`Role::Configuration`].
    Configuration,
    /// The role [`Role::ControlMachine`].
    ControlMachine,
    /// All roles of a relay together, which is projected only.
    Relay,
    /// The fleet as a whole, which delays are measured of.
    Fleet,
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 7] = [
        Self::Member,
        Self::LimitCoordinator,
        Self::HealthObservations,
        Self::Configuration,
        Self::ControlMachine,
        Self::Relay,
        Self::Fleet,
    ];

    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::LimitCoordinator => "limit-coordinator",
            Self::HealthObservations => "health-observations",
            Self::Configuration => "configuration",
            Self::ControlMachine => "control-machine",
            Self::Relay => "relay",
            Self::Fleet => "fleet",
        }
    }

    /// What is measured of this subject.
    pub fn quantities(self) -> &'static [Quantity] {
        use Quantity::{
            BytesPerS, Cores, DetectionP99Ms, InForceMaxMs, MemoryMb, MessagesPerS, PeakBytesPerS,
        };
        match self {
            Self::Fleet => &[DetectionP99Ms, InForceMaxMs],
            Self::Relay => &[BytesPerS, MessagesPerS, Cores, MemoryMb],
            _ => &[BytesPerS, PeakBytesPerS, MessagesPerS, Cores, MemoryMb],
        }
    }

    /// Whether this is a role that relays have.
    pub fn is_role_of_relays(self) -> bool {
        self.role().is_some_and(|role| role != Role::ControlMachine)
    }

    fn role(self) -> Option<Role> {
        match self {
            Self::Member => Some(Role::Member),
            Self::LimitCoordinator => Some(Role::LimitCoordinator),
            Self::HealthObservations => Some(Role::HealthObservations),
            Self::Configuration => Some(Role::Configuration),
            Self::ControlMachine => Some(Role::ControlMachine),
            Self::Relay | Self::Fleet => None,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// What is measured; the name holds the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Bytes a second that a machine sends, in the mean.
    BytesPerS,
    /// Bytes a second that the busiest machine sends.
    PeakBytesPerS,
    /// Datagrams a second that a machine sends, in the mean.
    MessagesPerS,
    /// Part of a core that a machine uses, in the mean.
    Cores,
    /// Memory of a machine in megabytes (10⁶ bytes).
    MemoryMb,
    /// 99th percentile of the time until a dead relay is known as dead, in milliseconds.
    DetectionP99Ms,
    /// The longest time until a change is in force on a relay, in milliseconds.
    InForceMaxMs,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Self; 7] = [
        Self::BytesPerS,
        Self::PeakBytesPerS,
        Self::MessagesPerS,
        Self::Cores,
        Self::MemoryMb,
        Self::DetectionP99Ms,
        Self::InForceMaxMs,
    ];

    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::BytesPerS => "bytes-per-s",
            Self::PeakBytesPerS => "peak-bytes-per-s",
            Self::MessagesPerS => "messages-per-s",
            Self::Cores => "cores",
            Self::MemoryMb => "memory-mb",
            Self::DetectionP99Ms => "detection-p99-ms",
            Self::InForceMaxMs => "in-force-max-ms",
        }
    }

    /// What the coming size allows the subject, where it says so.
    pub fn budget(self, subject: Subject) -> Option<f64> {
        if subject == Subject::ControlMachine {
            return None;
        }
        match self {
            Self::BytesPerS | Self::PeakBytesPerS => Some(BUDGET_BYTES_PER_S),
            Self::Cores => Some(BUDGET_CORES),
            Self::MemoryMb => Some(BUDGET_MEMORY_MB),
            Self::InForceMaxMs => Some(BUDGET_IN_FORCE_MS),
            Self::MessagesPerS | Self::DetectionP99Ms => None,
        }
    }

    /// The value of this quantity in a run; nothing if the run did not measure it.
    pub fn of(self, subject: Subject, measurement: &Measurement) -> Option<f64> {
        match self {
            Self::DetectionP99Ms => delay(measurement.detection.count, measurement.detection.p99_us),
            Self::InForceMaxMs => delay(measurement.in_force.count, measurement.in_force.max_us),
            _ => {
                let role = subject.role()?;
                self.of_role(measurement.roles.iter().find(|cost| cost.role == role)?)
            }
        }
    }

    fn of_role(self, cost: &RoleCost) -> Option<f64> {
        match self {
            Self::BytesPerS => Some(cost.bytes_per_s),
            Self::PeakBytesPerS => Some(cost.peak_bytes_per_s),
            Self::MessagesPerS => Some(cost.messages_per_s),
            Self::Cores => Some(cost.cores),
            Self::MemoryMb => Some(cost.memory_bytes / BYTES_OF_A_MEGABYTE),
            Self::DetectionP99Ms | Self::InForceMaxMs => None,
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// What is predicted at the coming size, beside what it allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AtTarget {
    /// The conditions predicted for.
    pub conditions: Conditions,
    /// The prediction, in the unit of the quantity.
    pub predicted: f64,
    /// What is allowed, in the same unit.
    pub budget: Option<f64>,
    /// The prediction as a part of what is allowed; over 1 is too much.
    pub need_over_budget: Option<f64>,
}

impl AtTarget {
    /// Holds a prediction against the budget of the quantity.
    pub fn new(subject: Subject, quantity: Quantity, conditions: Conditions, predicted: f64) -> Self {
        let budget = quantity.budget(subject);
        Self { conditions, predicted, budget, need_over_budget: budget.map(|budget| predicted / budget) }
    }
}

/// A delay in milliseconds; nothing where none was measured.
fn delay(count: u64, microseconds: u64) -> Option<f64> {
    (count > 0).then(|| microseconds as f64 / MICROSECONDS_OF_A_MILLISECOND)
}
