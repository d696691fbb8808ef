//! How the anchors are measured: the `[anchor]` table of a scenario, and the settings that switch one role on at a time.
//! Owns the table's form. It must never let a size pass that the scenario says nothing of.

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};

use crate::scenario::{MOST_RELAYS, Scenario};

/// The longest idle or settling period, in seconds.
const MOST_SECONDS: f64 = 120.0;

/// The `[anchor]` table of a scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// For how long relays are measured with no event, in seconds.
    pub idle_s: f64,
    /// How long relays that are ready are left to settle before that, in seconds.
    pub settle_s: f64,
    /// How long the load has run when its measurement begins, in seconds; it ends with the scenario.
    pub load_settle_s: f64,
    /// The sizes that are measured, with the load of each.
    #[serde(rename = "size")]
    pub sizes: Vec<Size>,
}

/// A size of the fleet, and its load.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Relays.
    pub relays: usize,
    /// Messages that clients hand in, a second over all relays.
    pub events_per_s: f64,
    /// Calls a second that each destination takes.
    pub destination_per_s: f64,
}

impl Plan {
    /// Whether all of it makes sense in a scenario whose load lasts so many seconds.
    ///
    /// # Errors
    /// The first key that does not, and what was expected.
    pub fn check(&self, load_s: f64) -> Result<()> {
        let need = |sound: bool, key: &str, expected: &str| {
            if !sound {
                bail!("{key}: expected {expected}");
            }
            Ok(())
        };
        let period = |seconds: f64| seconds > 0.0 && seconds <= MOST_SECONDS;
        need(period(self.idle_s), "anchor.idle_s", "over 0, at most 120")?;
        need(period(self.settle_s), "anchor.settle_s", "over 0, at most 120")?;
        let load_period = period(self.load_settle_s) && self.load_settle_s < load_s;
        need(load_period, "anchor.load_settle_s", "over 0, less than seconds")?;
        need(!self.sizes.is_empty(), "anchor.size", "one or more")?;
        for size in &self.sizes {
            let relays = (1..=MOST_RELAYS).contains(&size.relays);
            need(relays, "anchor.size.relays", &format!("1 to {MOST_RELAYS}"))?;
            let positive = |rate: f64| rate > 0.0 && rate.is_finite();
            need(positive(size.events_per_s), "anchor.size.events_per_s", "over 0")?;
            need(positive(size.destination_per_s), "anchor.size.destination_per_s", "over 0")?;
        }
        Ok(())
    }

    /// The scenario with so many relays and the load that the plan has for them.
    ///
    /// # Errors
    /// Where the plan has no such size, or the scenario makes no sense with it.
    pub fn scenario(&self, scenario: &Scenario, relays: usize) -> Result<Scenario> {
        let size = self.sizes.iter().find(|size| size.relays == relays);
        let size = size.with_context(|| format!("anchor.size: none has relays = {relays}"))?;
        let mut sized = scenario.clone();
        sized.load.per_s = size.events_per_s;
        for partner in &mut sized.partners {
            partner.get_mut().per_s = size.destination_per_s;
        }
        sized.resized(relays)
    }
}

/// Which roles the relays of a run have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleSettings {
    /// No link between relays: what a relay costs without any of its control roles.
    Baseline,
    /// Rate limits of the whole fleet, by permits of coordinators.
    Permits,
    /// Health observations of peers, and the membership that they need.
    Observations,
}

impl RoleSettings {
    /// All, in the order in which they are run.
    pub const ALL: [RoleSettings; 3] =
        [RoleSettings::Baseline, RoleSettings::Permits, RoleSettings::Observations];

    /// The name of it in tables and folders.
    pub fn name(self) -> &'static str {
        match self {
            RoleSettings::Baseline => "baseline",
            RoleSettings::Permits => "permits",
            RoleSettings::Observations => "observations",
        }
    }

    /// The variables by which relays get these roles and no others.
    pub fn environment(self) -> Vec<(String, String)> {
        let switch = |on: bool| if on { "on" } else { "off" };
        let variables = [
            ("TULIPFALL_PERMITS", switch(self == RoleSettings::Permits)),
            ("TULIPFALL_NOTES", switch(self == RoleSettings::Observations)),
            ("TULIPFALL_TURNS", "off"),
            ("TULIPFALL_REPEATS", "off"),
        ];
        variables.map(|(key, value)| (key.to_string(), value.to_string())).to_vec()
    }
}
