//! What was seen on a day.

use serde::{Deserialize, Serialize};

use crate::measurement::Delays;

/// What was wrong in a span, on a group of relays. Relays are looked at each 10 ms, their upstreams each 200 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// The most machines that did not run at a time.
    pub most_down: u32,
    /// The most relays at a time that ran and held nothing yet.
    pub most_empty: u32,
    /// The most relays at a time that lacked a committed change, however new.
    pub most_behind: u32,
    /// The most relays at a time that lacked a change proposed over 4 s ago.
    pub most_late: u32,
    /// Seconds in which some relay was late so.
    pub late_s: f64,
    /// The most versions that a relay was behind.
    pub versions_behind: u64,
    /// The greatest age, in seconds, of a change that some relay lacked, counted from its proposal.
    pub oldest_s: f64,
    /// The most relays at a time with fewer than two upstreams that answer with a state confirmed in the last 10 s.
    pub most_short_of_upstreams: u32,
    /// Seconds from the start of the span until the last moment at which a machine did not run, a relay held nothing or was
    /// late, or more relays than ordinarily were short of upstreams.
    pub last_wrong_s: f64,
}

/// The most bytes that machines of a kind sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Height {
    /// In the busiest second before the event, by the busiest relay.
    pub relay_before: u64,
    /// In the busiest second from the event on, by the busiest relay.
    pub relay: u64,
    /// A second in the busiest minute from the event on, by the busiest relay.
    pub relay_in_a_minute: u64,
    /// The number of that relay, as of the busiest second.
    pub busiest_relay: u32,
    /// Whether it is a representative of its zone.
    pub is_representative: bool,
    /// In the busiest second before the event, by the busiest control machine.
    pub control_before: u64,
    /// In the busiest second from the event on, by the busiest control machine.
    pub control: u64,
}

/// What was seen on a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DayOutcome {
    /// Name of the day.
    pub name: String,
    /// What happened.
    pub title: String,
    /// Relays of the fleet.
    pub relays: u32,
    /// Destinations of each relay.
    pub destinations: u32,
    /// Numbers of the machines that were hit; none where it is the changes that differ.
    pub affected: Vec<u16>,
    /// Seconds that the event lasted.
    pub lasted_s: f64,
    /// Seconds from the end of the event until each machine that runs had all changes that had been made by then; nothing if
    /// that did not come about.
    pub current_s: Option<f64>,
    /// Seconds from the end of the event until all was as before: all run and are current, none is late, and no more
    /// than ordinarily are short of upstreams, for 30 s from then on; nothing if that did not come about.
    pub as_before_s: Option<f64>,
    /// Seconds from the end of the event until the last change that had been made by then was committed.
    pub committed_s: Option<f64>,
    /// The most relays that were short of upstreams at a time before the event, at least 1. Twice as many count as ordinary.
    pub ordinarily_short_of_upstreams: u32,
    /// Relays that were hit, while the event lasted.
    pub hit: Phase,
    /// All other relays, and control machines that were not hit, while the event lasted.
    pub others: Phase,
    /// All machines, from the end of the event on.
    pub after: Phase,
    /// Bytes at the height.
    pub height: Height,
    /// Time from the making of a change until it was in force on a relay that was connected all the while.
    pub in_force: Delays,
    /// The longest that a change waited for its commit, in seconds.
    pub longest_uncommitted_s: f64,
    /// Changes a day that operators made all the while.
    pub changes_per_day: f64,
    /// Changes that were committed.
    pub changes: u64,
    /// Times that a machine held a set which is not that of a published version.
    pub mixed: u64,
    /// Times that a machine held a version older than one that it had held before.
    pub went_back: u64,
    /// Whether the control machines hold the very set from before the event; only said of a change that is reverted.
    pub reverted: Option<bool>,
    /// Upstreams that relays replaced as they did not answer.
    pub upstreams_replaced: u64,
    /// Simulated seconds after the warm-up.
    pub simulated_s: f64,
    /// Real seconds that the run took.
    pub real_s: f64,
}

impl DayOutcome {
    /// Whether all was as before in the end, no set was a mixture, no version went back, and what was reverted is as it was.
    pub fn is_whole(&self) -> bool {
        self.as_before_s.is_some() && self.mixed + self.went_back == 0 && self.reverted != Some(false)
    }
}
