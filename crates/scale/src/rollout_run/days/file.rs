//! Days in TOML. Whatever is wrong is named by file, line and key.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::RolloutScenario;
use crate::scenario::ScenarioError;
use crate::scenario::file::{Wrong, counted, not_negative, not_understood, positive, wrong};
use crate::time::{in_seconds, seconds};

/// A one-off event on a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// A short name.
    pub name: String,
    /// What happens, for a table.
    pub title: String,
    /// Changes a day that operators make all the while; none if it is left out.
    pub changes_per_day: Option<f64>,
    /// Destinations in place of the fleet's.
    pub destinations: Option<u32>,
    /// Simulated seconds after the end of the event, by which all has to be as before.
    pub longest_s: f64,
    /// What happens.
    pub event: OneOff,
}

/// Something that happens once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OneOff {
    /// What it is.
    pub kind: EventKind,
    /// When it begins, in seconds after the warm-up.
    pub at_s: f64,
    /// How many seconds it lasts; 0 where it is over at once.
    #[serde(default)]
    pub for_s: f64,
    /// Machines or changes; all machines that there are, if left out.
    pub count: Option<u32>,
    /// Machines that fail come back with empty disks.
    #[serde(default)]
    pub empty_disks: bool,
}

/// What can happen. Which zone or region it hits is drawn by the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A representative of a zone stops, and starts again.
    RepresentativeFails,
    /// `count` relays of a zone stop at the same moment, and start again at the same moment.
    RelaysOfAZoneFail,
    /// The leader of the control machines and others, `count` in all, stop and start again.
    ControlsFail,
    /// Nothing goes to a zone, from it or within it.
    ZoneDark,
    /// Nothing goes between a region and all others.
    RegionAlone,
    /// `count` changes are made at the same moment.
    Changes,
    /// A change is made, and its inverse `for_s` seconds later.
    ChangeReverted,
}

impl Day {
    /// Reads a day.
    ///
    /// # Errors
    /// Where the file is not to be read, or what is wrong with the first key that is.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { file: file.clone(), source })?;
        Day::parse(&text, &file)
    }

    /// Reads a day from a file's text; the file's name is for errors.
    ///
    /// # Errors
    /// What is wrong with the first key that is.
    pub fn parse(text: &str, file: &str) -> Result<Self, ScenarioError> {
        let day: Day = toml::from_str(text).map_err(|error| not_understood(&error, text, file))?;
        day.check().map_err(|wrong| wrong.in_file(file, text))?;
        Ok(day)
    }

    fn check(&self) -> Result<(), Wrong> {
        let event = &self.event;
        positive("longest_s", self.longest_s)?;
        self.changes_per_day.map_or(Ok(()), |changes| positive("changes_per_day", changes))?;
        self.destinations.map_or(Ok(()), |destinations| counted("destinations", destinations, u32::MAX))?;
        event.count.map_or(Ok(()), |count| counted("event.count", count, u32::MAX))?;
        not_negative("event.at_s", event.at_s)?;
        if event.kind == EventKind::Changes {
            return match event.for_s {
                0.0 => Ok(()),
                _ => Err(wrong("event.for_s".into(), "expected none, as all come at once".into())),
            };
        }
        positive("event.for_s", event.for_s)
    }

    /// The fleet with what this day changes.
    pub(super) fn scenario(&self, fleet: &RolloutScenario) -> RolloutScenario {
        let all_s = self.event.at_s + self.event.for_s + self.longest_s;
        let mut scenario = RolloutScenario {
            destinations: self.destinations.unwrap_or(fleet.destinations),
            changes_per_day: self.changes_per_day.unwrap_or(fleet.changes_per_day),
            changes: 0,
            settle_s: all_s,
            ..fleet.clone()
        };
        if self.changes_per_day.is_some() {
            scenario.changes = (seconds(all_s) / scenario.gap().max(1)) as u32;
            scenario.settle_s = in_seconds((seconds(all_s) - seconds(scenario.changing_s())).max(0));
        }
        scenario
    }
}
