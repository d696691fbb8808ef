//! The sizes that a fleet is measured at, and the one that is coming.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The sizes of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conditions {
    /// Relays in the fleet.
    pub relays: u32,
    /// Destinations that the fleet sends to.
    pub destinations: u32,
    /// Part of the destinations that are down at a time, 0 to 1.
    pub share_down: f64,
    /// Events a second that each relay handles.
    pub events_per_relay: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
}

impl Conditions {
    /// The size that is coming: 520,000 events a second over 1,000 relays.
    pub const TARGET: Self = Self {
        relays: 1_000,
        destinations: 56_000,
        share_down: 0.043,
        events_per_relay: 520.0,
        changes_per_day: 1_600.0,
    };

    /// Events a second over all relays.
    pub fn events_per_s(&self) -> f64 {
        self.events_per_relay * f64::from(self.relays)
    }

    /// Whether the two differ on this axis alone, or not at all.
    pub fn differs_only_on(&self, axis: Axis, other: &Self) -> bool {
        axis.set(self, 1.0) == axis.set(other, 1.0)
    }
}

/// One of the sizes, as the horizontal axis of a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Relays, with the events of each relay held.
    Relays,
    /// Destinations.
    Destinations,
    /// Destinations that are down, in percent of all.
    ShareDown,
    /// Events a second of each relay.
    Events,
    /// Configuration changes a day.
    Changes,
}

impl Axis {
    /// All axes.
    pub const ALL: [Self; 5] =
        [Self::Relays, Self::Destinations, Self::ShareDown, Self::Events, Self::Changes];

    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Relays => "relays",
            Self::Destinations => "destinations",
            Self::ShareDown => "share-down",
            Self::Events => "events",
            Self::Changes => "changes",
        }
    }

    /// What one unit of the axis is, for captions.
    pub fn unit(self) -> &'static str {
        match self {
            Self::Relays => "relays",
            Self::Destinations => "destinations",
            Self::ShareDown => "% of destinations down",
            Self::Events => "events a second and relay",
            Self::Changes => "changes a day",
        }
    }

    /// The size of these conditions on this axis.
    pub fn size(self, conditions: &Conditions) -> f64 {
        match self {
            Self::Relays => f64::from(conditions.relays),
            Self::Destinations => f64::from(conditions.destinations),
            Self::ShareDown => conditions.share_down * 100.0,
            Self::Events => conditions.events_per_relay,
            Self::Changes => conditions.changes_per_day,
        }
    }

    /// The conditions with another size on this axis; counts are rounded to whole ones.
    pub fn set(self, conditions: &Conditions, size: f64) -> Conditions {
        let mut changed = *conditions;
        match self {
            Self::Relays => changed.relays = size.round() as u32,
            Self::Destinations => changed.destinations = size.round() as u32,
            Self::ShareDown => changed.share_down = size / 100.0,
            Self::Events => changed.events_per_relay = size,
            Self::Changes => changed.changes_per_day = size,
        }
        changed
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The text is not the name of an axis.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not an axis")]
pub struct UnknownAxis(String);

impl FromStr for Axis {
    type Err = UnknownAxis;

    fn from_str(text: &str) -> Result<Self, UnknownAxis> {
        let found = Self::ALL.into_iter().find(|axis| axis.name() == text);
        found.ok_or_else(|| UnknownAxis(text.to_owned()))
    }
}
