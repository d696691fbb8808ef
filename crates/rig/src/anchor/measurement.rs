//! What the rig measured of a fleet of real processes, in the words of [`scale::measurement`]: fields of the same name
//! mean the same, so that a comparison is a join.

use anyhow::{Context, Result};
use scale::measurement::{Role, RoleCost};
use serde::{Deserialize, Serialize};

use super::plan::RoleSettings;
use super::run::{PeriodUsage, RelayUsage, RunUsage};
use crate::scenario::{Scenario, What};

/// A run in which one event in a hundred left its client later than this did not keep up.
const MOST_LAG_MS: u64 = 50;

/// Which part of a run was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Period {
    /// No event.
    Idle,
    /// A steady load.
    Load,
}

impl Period {
    /// The name of it in tables.
    pub fn name(self) -> &'static str {
        match self {
            Period::Idle => "idle",
            Period::Load => "load",
        }
    }
}

/// What was measured in one period of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnchorMeasurement {
    /// Relays in the run, each a process.
    pub relays: u32,
    /// Destinations in the run.
    pub destinations: u32,
    /// Part of destinations that are down at a time, 0 to 1.
    pub share_down: f64,
    /// Events a second over all relays, as the scenario has them.
    pub events_per_s: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Which roles the relays had.
    pub settings: RoleSettings,
    /// Which part of the run.
    pub period: Period,
    /// Seconds that were measured.
    pub measured_s: f64,
    /// Events that clients handed in meanwhile.
    pub events: u64,
    /// The cost of the role that is on; none in the baseline. Processor time and memory are what is over the baseline.
    pub roles: Vec<RoleCost>,
    /// Datagrams an event, where there were events.
    pub messages_per_event: Option<f64>,
    /// Bytes an event, where there were events.
    pub bytes_per_event: Option<f64>,
    /// Processor seconds for each second and process, in the mean, all of its work included.
    pub process_cores: f64,
    /// Resident bytes of each process, in the mean.
    pub process_memory_bytes: f64,
    /// One event in a hundred left its client later than intended by this, in milliseconds.
    pub lag_ms: u64,
    /// Datagrams that the fabric lost before it counted them: where over zero, the counts are not exact.
    pub fabric_drops: u64,
    /// Datagrams that were lost at relays.
    pub relay_drops: u64,
}

impl AnchorMeasurement {
    /// Whether the machine kept up; else the measurement does not count.
    pub fn kept_up(&self) -> bool {
        self.lag_ms <= MOST_LAG_MS && self.fabric_drops == 0
    }
}

/// The measurements of a size: its runs with each setting, the baseline first.
///
/// # Errors
/// Where there is no run of the baseline.
pub fn measurements(
    scenario: &Scenario, seed: u64, runs: &[(RoleSettings, RunUsage)],
) -> Result<Vec<AnchorMeasurement>> {
    let baseline = runs.iter().find(|(settings, _)| *settings == RoleSettings::Baseline);
    let (_, baseline) = baseline.context("no run of the baseline")?;
    let mut measurements = Vec::new();
    for (settings, run) in runs {
        for period in [Period::Idle, Period::Load] {
            let baseline = usage_of(baseline, period);
            measurements.push(measurement(scenario, seed, (*settings, period), run, baseline));
        }
    }
    Ok(measurements)
}

fn usage_of(run: &RunUsage, period: Period) -> &PeriodUsage {
    match period {
        Period::Idle => &run.idle,
        Period::Load => &run.load,
    }
}

fn measurement(
    scenario: &Scenario, seed: u64, (settings, period): (RoleSettings, Period), run: &RunUsage,
    baseline: &PeriodUsage,
) -> AnchorMeasurement {
    let usage = usage_of(run, period);
    let an_event = |sum: u64| (usage.events > 0).then(|| sum as f64 / usage.events as f64);
    let events_per_s = match period {
        Period::Idle => 0.0,
        Period::Load => scenario.load.per_s,
    };
    AnchorMeasurement {
        relays: u32::try_from(usage.relays.len()).unwrap_or(u32::MAX),
        destinations: u32::try_from(scenario.each_partner().len()).unwrap_or(u32::MAX),
        share_down: share_down(scenario, period),
        events_per_s,
        seed,
        settings,
        period,
        measured_s: usage.seconds,
        events: usage.events,
        roles: role(settings, period).map(|role| role_cost(role, usage, baseline)).into_iter().collect(),
        messages_per_event: an_event(messages(usage)),
        bytes_per_event: an_event(bytes(usage)),
        process_cores: cores(usage),
        process_memory_bytes: memory_bytes(usage),
        lag_ms: run.lag_ms,
        fabric_drops: run.fabric_drops,
        relay_drops: run.relay_drops,
    }
}

/// The role whose cost shows. Relays that share observations and have nothing to tell still ask who is there.
fn role(settings: RoleSettings, period: Period) -> Option<Role> {
    match (settings, period) {
        (RoleSettings::Baseline, _) => None,
        (RoleSettings::Permits, _) => Some(Role::LimitCoordinator),
        (RoleSettings::Observations, Period::Idle) => Some(Role::Member),
        (RoleSettings::Observations, Period::Load) => Some(Role::HealthObservations),
    }
}

fn role_cost(role: Role, usage: &PeriodUsage, baseline: &PeriodUsage) -> RoleCost {
    let machines = usage.relays.len();
    let a_machine_and_second = |sum: u64| ratio(sum as f64, machines as f64 * usage.seconds);
    let busiest = usage.relays.iter().map(|relay| relay.bytes).max().unwrap_or(0);
    RoleCost {
        role,
        machines: u32::try_from(machines).unwrap_or(u32::MAX),
        messages: messages(usage),
        bytes: bytes(usage),
        bytes_per_s: a_machine_and_second(bytes(usage)),
        peak_bytes_per_s: ratio(busiest as f64, usage.seconds),
        messages_per_s: a_machine_and_second(messages(usage)),
        cores: cores(usage) - cores(baseline),
        memory_bytes: memory_bytes(usage) - memory_bytes(baseline),
    }
}

fn messages(usage: &PeriodUsage) -> u64 {
    usage.relays.iter().map(|relay| relay.messages).sum()
}

fn bytes(usage: &PeriodUsage) -> u64 {
    usage.relays.iter().map(|relay| relay.bytes).sum()
}

fn cores(usage: &PeriodUsage) -> f64 {
    ratio(mean(usage, |relay| relay.processor_s), usage.seconds)
}

fn memory_bytes(usage: &PeriodUsage) -> f64 {
    mean(usage, |relay| relay.resident_bytes as f64)
}

fn mean(usage: &PeriodUsage, read: fn(&RelayUsage) -> f64) -> f64 {
    ratio(usage.relays.iter().map(read).sum(), usage.relays.len() as f64)
}

/// Zero where there was nothing to measure.
fn ratio(sum: f64, of: f64) -> f64 {
    if of > 0.0 { sum / of } else { 0.0 }
}

/// The part of destinations that are down midway through the load.
fn share_down(scenario: &Scenario, period: Period) -> f64 {
    let destinations = scenario.each_partner().len();
    let down = match period {
        Period::Idle => 0,
        Period::Load => (0..destinations).filter(|number| is_down(scenario, *number)).count(),
    };
    ratio(down as f64, destinations as f64)
}

fn is_down(scenario: &Scenario, destination: usize) -> bool {
    let midway = scenario.seconds / 2.0;
    let is_hit = |what: &What| match what {
        What::Shut { partners } => partners.contains(&destination),
        What::Fails { partners, part } => *part >= 1.0 && partners.contains(&destination),
        _ => false,
    };
    scenario.broken(midway).any(is_hit)
}
