//! What to run: how many machines stand where, how many changes come how fast, and what fails meanwhile.

use std::path::Path;

use serde::{Deserialize, Serialize};

use rollout::topology::{self, Machine, Place, Role, TopologyError};

use crate::network::{Conditions, Cut, RegionId, Topology, ZoneId};
use crate::scenario::MOST_RELAYS;
use crate::time::{DAY, Micros, in_seconds};

/// What fails in the span in which changes come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Relays that restart, each with the set that it had on its disk.
    pub restarts: u32,
    /// Relays that fail, and come back with the set that they had on their disk.
    pub relay_failures: u32,
    /// Relays that are replaced by one with an empty disk, which is away as long as one that restarts.
    #[serde(default)]
    pub replacements: u32,
    /// Control machines that fail, one after the other, and come back with their log.
    pub control_failures: u32,
    /// Seconds for which a machine that restarts is away.
    pub restart_s: f64,
    /// Seconds for which a machine that failed is away.
    pub repair_s: f64,
}

impl Default for Failures {
    fn default() -> Self {
        Failures {
            restarts: 0,
            relay_failures: 0,
            replacements: 0,
            control_failures: 0,
            restart_s: 5.0,
            repair_s: 600.0,
        }
    }
}

/// What to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutScenario {
    /// Relays; they are spread over the zones evenly.
    pub relays: u32,
    /// Destinations in the set of each relay.
    pub destinations: u32,
    /// The region of each zone.
    pub region_of_zone: Vec<RegionId>,
    /// The zone of each control machine.
    pub control_zones: Vec<ZoneId>,
    /// Changes that are committed.
    pub changes: u32,
    /// Changes a day; each comes at a random moment of a gap of its own.
    pub changes_per_day: f64,
    /// How the network carries datagrams.
    #[serde(default)]
    pub network: Conditions,
    /// Cuts; their spans count from the end of the warm-up, in microseconds.
    #[serde(default)]
    pub cuts: Vec<Cut>,
    /// Datagrams between relays are signed.
    pub signed: bool,
    /// What fails.
    #[serde(default)]
    pub failures: Failures,
    /// Seconds before the first change; nothing is counted in them.
    pub warm_up_s: f64,
    /// Seconds after the last change.
    pub settle_s: f64,
    /// Real seconds after which the run ends as partial.
    pub real_time_limit_s: f64,
}

/// Why a scenario is not run.
#[derive(Debug, thiserror::Error)]
pub enum RolloutScenarioError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no scenario.
    #[error("{file}: {source}")]
    Parse {
        /// The file.
        file: String,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// A value makes no sense.
    #[error("{key}: {why}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong.
        why: String,
    },
    /// The machines make no topology.
    #[error(transparent)]
    Topology(#[from] TopologyError),
    /// The control machines make no cluster.
    #[error("control machines: {0}")]
    Cluster(String),
}

impl RolloutScenario {
    /// Reads a scenario from a TOML file.
    ///
    /// # Errors
    /// If the file cannot be read, is no scenario, or makes no sense.
    pub fn read(path: &Path) -> Result<Self, RolloutScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| RolloutScenarioError::Read { file: file.clone(), source })?;
        Self::parse(&text, &file)
    }

    /// Reads a scenario from the text of this file.
    ///
    /// # Errors
    /// If the text is no scenario, or makes no sense.
    pub fn parse(text: &str, file: &str) -> Result<Self, RolloutScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|source| RolloutScenarioError::Parse {
            file: file.to_owned(),
            source: Box::new(source),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether the values make sense together.
    ///
    /// # Errors
    /// The first that does not.
    pub fn check(&self) -> Result<(), RolloutScenarioError> {
        let machines = self.relays as usize + self.control_zones.len();
        let zones = self.region_of_zone.len();
        let spans = [self.warm_up_s, self.settle_s, self.failures.restart_s, self.failures.repair_s];
        let checks = [
            ("relays", self.relays > 0 && machines < MOST_RELAYS as usize, "too few or too many"),
            ("region_of_zone", (1..=256).contains(&zones), "expected 1 to 256 zones"),
            (
                "region_of_zone",
                self.region_of_zone.iter().all(|region| *region < 256),
                "expected regions below 256",
            ),
            (
                "control_zones",
                !self.control_zones.is_empty()
                    && self.control_zones.iter().all(|zone| usize::from(*zone) < zones),
                "expected one or more zones that there are",
            ),
            ("destinations", self.destinations > 0, "expected one or more"),
            (
                "changes_per_day",
                self.changes_per_day.is_finite() && self.changes_per_day > 0.0,
                "expected over 0",
            ),
            (
                "warm_up_s",
                spans.iter().all(|span| span.is_finite() && *span >= 0.0),
                "expected spans of 0 or more",
            ),
        ];
        match checks.into_iter().find(|(_, sound, _)| !sound) {
            Some((key, _, why)) => Err(RolloutScenarioError::Value { key, why: why.into() }),
            None => Ok(()),
        }
    }

    /// The mean gap between changes.
    pub fn gap(&self) -> Micros {
        (DAY as f64 / self.changes_per_day) as Micros
    }

    /// Seconds in which changes come.
    pub fn changing_s(&self) -> f64 {
        in_seconds(self.gap()) * f64::from(self.changes)
    }

    /// Who stands where in the network: the relays, then the control machines.
    pub(super) fn network_topology(&self) -> Topology {
        let mut topology = Topology::spread(self.relays, &self.region_of_zone);
        self.control_zones.iter().for_each(|zone| {
            topology.add(*zone);
        });
        topology
    }

    /// The same for the distribution of changes.
    pub(super) fn rollout_topology(&self) -> Result<topology::Topology, TopologyError> {
        let network = self.network_topology();
        let machine = |node: u32| Machine {
            peer: node as fleet::Peer,
            place: Place { region: network.region(node) as u8, zone: network.zone(node) },
            role: if node < self.relays { Role::Relay } else { Role::Control },
        };
        let machines: Vec<Machine> = (0..network.nodes()).map(machine).collect();
        topology::Topology::new(&machines)
    }
}
