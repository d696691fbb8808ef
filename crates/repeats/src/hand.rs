//! The repeats that a relay's decision module may start at one destination. Owns how long they are good, and what is said of
//! those that wait. It must never let more start than were handed to it.

use overload::waits::Waits;
use permits::WaitingByPriority;
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

/// What was handed over is good for so long.
const GOOD_FOR: Micros = 5 * SECOND;
/// What the keeper said of waits counts for so long.
const SAID_FOR: Micros = SECOND;

/// What the module holds for one destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hand {
    count: u32,
    good_until: Micros,
    waits: (Waits, Micros),
    /// Another process asks anew.
    #[serde(skip)]
    wanted: WaitingByPriority,
}

impl Hand {
    /// Repeats that may start.
    pub fn count(&self, now: Micros) -> usize {
        if now < self.good_until { self.count as usize } else { 0 }
    }

    /// A repeat starts.
    pub fn take(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// So many more may start; and so long, by worth, wait those that wait, where that is told.
    pub fn given(&mut self, now: Micros, repeats: u32, waits: Option<Waits>) {
        if repeats > 0 {
            (self.count, self.good_until) = (self.count(now) as u32 + repeats, now + GOOD_FOR);
        }
        if let Some(waits) = waits {
            self.waits = (waits, now + SAID_FOR);
        }
    }

    /// These repeats wait beyond the ones that may start; whether that is to be told.
    pub fn want(&mut self, tiers: &WaitingByPriority) -> bool {
        let news = self.wanted != *tiers;
        if news {
            self.wanted.clone_from(tiers);
        }
        news
    }

    /// How long those that may not start yet wait at the least.
    pub fn waits(&self, now: Micros) -> Option<&Waits> {
        let (waits, until) = &self.waits;
        (self.count(now) == 0 && now < *until).then_some(waits)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_handed_over_starts_once_and_is_good_for_a_while() {
        let mut hand = Hand::default();
        hand.given(0, 2, None);
        hand.take();
        assert_eq!([hand.count(0), hand.count(GOOD_FOR - 1), hand.count(GOOD_FOR)], [1, 1, 0]);
        hand.given(GOOD_FOR, 1, None);
        assert_eq!(hand.count(GOOD_FOR), 1, "what lapsed does not come back");
        hand.take();
        hand.take();
        assert_eq!(hand.count(GOOD_FOR), 0);
    }

    #[test]
    fn what_waits_is_told_when_it_changes() {
        let mut hand = Hand::default();
        assert!(
            !hand.want(&vec![])
                && hand.want(&vec![(1, 2)])
                && !hand.want(&vec![(1, 2)])
                && hand.want(&vec![])
        );
    }
}
