//! What to run: how many relays and destinations, where they stand, the load, what fails, and which cores are on.
//!
//! A scenario is read from a TOML file ([`file`]). It may be changed in code, as by who measures at many sizes; then
//! [`Scenario::check`] tells whether it still makes sense.

pub(crate) mod file;

use serde::{Deserialize, Serialize};

use crate::measurement::Role;
use crate::network::{Conditions, Cut, RegionId, Topology};

pub use file::ScenarioError;

/// Relays are numbered by 16 bits on the wire.
pub const MOST_RELAYS: u32 = 65_535;

/// A zone, a part of a region that fails as one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its region, by its place in [`Scenario::regions`].
    pub region: RegionId,
}

/// How relays share the limit of a destination, as in the crate `permits`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sharing {
    /// The coordinator that is heard grants the whole limit.
    #[default]
    Whole,
    /// Each relay owns a part, and lends it to the coordinator that it hears.
    Parts,
}

/// Which relays are killed at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Killed {
    /// Those that are drawn, by the seed.
    #[default]
    Drawn,
    /// Those with the lowest numbers. Relays ask each other in the order of their numbers, so that these are found first.
    Lowest,
}

/// Relays that are killed at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// When, in seconds after the warm-up.
    pub at_s: f64,
    /// This part of the relays, 0 to 1.
    pub share: f64,
    /// Which.
    #[serde(default)]
    pub which: Killed,
}

/// What fails on an ordinary day.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrdinaryDay {
    /// Relays that are restarted or replaced in a day.
    pub restarts: f64,
    /// Machines that fail in a day.
    pub failures: f64,
    /// Restarts and failures come so many times as often as on an ordinary day, so that a short run sees some.
    pub speed_up: f64,
    /// Seconds for which a relay that restarts is away.
    pub restart_s: f64,
    /// Seconds for which a machine that failed is away.
    pub repair_s: f64,
}

impl Default for OrdinaryDay {
    fn default() -> Self {
        OrdinaryDay { restarts: 0.0, failures: 0.0, speed_up: 1.0, restart_s: 5.0, repair_s: 600.0 }
    }
}

/// What to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Relays.
    pub relays: u32,
    /// Destinations.
    pub destinations: u32,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// The zones; relays are spread over them evenly.
    pub zones: Vec<Zone>,
    /// How the network carries datagrams.
    pub network: Conditions,
    /// Cuts; their spans count from the end of the warm-up.
    pub cuts: Vec<Cut>,
    /// Events a second that all relays together accept.
    pub events_per_s: f64,
    /// Exponent of the Zipf distribution of events over destinations; at 0 all have as many.
    pub skew: f64,
    /// Part of destinations that is down at a time, 0 to 1, in the mean.
    pub share_down: f64,
    /// Seconds for which a destination is down, in the mean.
    pub mean_down_s: f64,
    /// Milliseconds that a destination takes to answer a call, in the mean.
    pub answer_ms: f64,
    /// The limit of a destination is so many times its mean rate of events.
    pub limit_headroom: f64,
    /// The least limit of a destination, in calls a second.
    pub least_limit_per_s: f64,
    /// How limits are shared.
    pub sharing: Sharing,
    /// Datagrams are signed.
    pub signed: bool,
    /// Bytes a second that a relay may send, rate limits aside.
    pub bytes_per_s: u32,
    /// Relays that may be out for maintenance at once; with 0 there is no maintenance, and restarts ask nobody.
    pub maintenance_seats: u8,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// What fails on an ordinary day.
    pub ordinary_day: OrdinaryDay,
    /// Relays that are killed at once, if any.
    pub kill: Option<Kill>,
    /// The roles whose cores are on.
    pub roles: Vec<Role>,
    /// Seconds that are run before anything is counted.
    pub warm_up_s: f64,
    /// Seconds that are measured after that.
    pub seconds: f64,
    /// Real seconds after which a run ends as partial.
    pub real_time_limit_s: f64,
}

impl Scenario {
    /// The same with another number of relays, each of which accepts as many events and fails as often as before.
    #[must_use]
    pub fn with_relays(mut self, relays: u32) -> Self {
        let times = f64::from(relays) / f64::from(self.relays.max(1));
        self.events_per_s *= times;
        self.ordinary_day.restarts *= times;
        self.ordinary_day.failures *= times;
        self.relays = relays;
        self
    }

    /// Whether the cores of a role are on.
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Whether relays ask each other if they are there: for membership, and as the relay's shell does for health
    /// observations, which need to know who is.
    pub fn asks(&self) -> bool {
        self.has(Role::Member) || self.has(Role::HealthObservations)
    }

    /// Which relay is in which zone and region.
    pub fn topology(&self) -> Topology {
        let regions: Vec<RegionId> = self.zones.iter().map(|zone| zone.region).collect();
        Topology::spread(self.relays, &regions)
    }

    /// Whether a scenario that was changed in code makes sense.
    ///
    /// # Errors
    /// The first key whose value makes none.
    pub fn check(&self) -> Result<(), ScenarioError> {
        file::check(self).map_err(|wrong| wrong.outside_a_file())
    }
}
