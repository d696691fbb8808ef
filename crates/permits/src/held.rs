//! The permits that a relay holds for one destination, and whether it goes by them. Owns how long a permit is good
//! and how long a steward that says nothing is waited for. It must never hold a call back for a steward for longer.

use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND, Tiers};

/// A permit not used for so long is no longer good: the steward has counted its call by then.
const GOOD_FOR: Micros = 3 * SECOND / 10;
/// A steward that never answered is waited for so long ...
const PATIENCE: Micros = 6 * SECOND / 10;
/// ... and one that answered counts for so long.
const GOVERNS: Micros = SECOND;
/// What waits behind a told wait, or for a slot, is not given up for so long after a steward was heard.
const LEADS: Micros = 10 * SECOND;

/// Whether a call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// A permit is held: the call may start, whatever the relay's own pace.
    Permitted,
    /// The steward is waited for, until then at the latest.
    Waits(Micros),
    /// No steward is heard: the relay's own pace counts.
    Own,
}

/// What a relay holds for one destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Held {
    count: u16,
    good_until: Micros,
    waits_until: Micros,
    /// The last wait for a steward was in vain.
    unheard: bool,
    last_heard: Option<Micros>,
    /// Another process asks its steward anew.
    #[serde(skip)]
    wanted: Tiers,
}

impl Held {
    /// Whether a call may start now.
    pub fn gate(&self, now: Micros) -> Gate {
        if self.count(now) > 0 {
            Gate::Permitted
        } else if now < self.waits_until {
            Gate::Waits(self.waits_until)
        } else {
            Gate::Own
        }
    }

    /// Permits that are good.
    pub fn count(&self, now: Micros) -> usize {
        if now < self.good_until { usize::from(self.count) } else { 0 }
    }

    /// A call starts.
    pub fn take(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// What waits beyond the permits held; tells whether the steward is to hear of it.
    pub fn want(&mut self, now: Micros, tiers: &Tiers) -> bool {
        if self.wanted == *tiers {
            return false;
        }
        if self.wanted.is_empty() && self.waits_until <= now {
            // A steward that was waited for in vain is not waited for again until it is heard.
            self.waits_until = if self.unheard { now } else { now + PATIENCE };
            self.unheard = true;
        }
        self.wanted.clone_from(tiers);
        true
    }

    /// The steward spoke, and permits so many more.
    pub fn heard(&mut self, now: Micros, permits: u16) {
        if permits > 0 {
            self.count = if now < self.good_until { self.count.saturating_add(permits) } else { permits };
            self.good_until = now + GOOD_FOR;
        }
        self.waits_until = now + GOVERNS;
        self.unheard = false;
        self.last_heard = Some(now);
    }

    /// A steward was heard lately: what waits is its to judge, also while nothing may be asked for.
    pub fn led(&self, now: Micros) -> bool {
        self.last_heard.is_some_and(|heard| now - heard < LEADS)
    }
}
