//! One relay's credits at one destination: earned, given, had of others, spent, lapsed. Owns the arithmetic of the budget.
//! It must never spend or give what it did not earn or have, nor count a gift twice.

use std::collections::BTreeMap;

use crate::{Micros, Peer, SECOND};

/// Credits are counted in parts of so many.
pub const UNIT: u64 = 1000;
/// What a first attempt earns: further attempts are at most a tenth of first ones ...
pub const EARNED: u64 = UNIT / 10;
/// ... and what a second earns the whole fleet: a small floor.
pub const FLOOR: u64 = UNIT;
/// A whole credit stays with who has it for between so long and twice as long.
pub const KEPT: Micros = 5 * SECOND;
/// Starts of relays that gifts are remembered from and to, at the most.
const MOST_STARTS: usize = 1024;

/// One start of a relay.
pub type Start = (Peer, u32);

/// What was counted in this start, for operators: it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// First attempts.
    pub firsts: u64,
    /// Credits that were spent on repeats.
    pub spent: u64,
    /// Credits given to others, and had of them.
    pub given: u64,
    /// See `given`.
    pub had: u64,
}

/// A purse. Invariant: `young` and `old` are what was earned and had, less what was given, spent and has lapsed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Purse {
    /// Credits of the present span of [`KEPT`], and of the one before.
    young: u64,
    old: u64,
    turned: Micros,
    /// The floor is earned up to then.
    floor_to: Micros,
    counts: Counts,
    given: BTreeMap<Start, u32>,
    had: BTreeMap<Start, u32>,
}

impl Purse {
    /// An empty purse.
    pub fn new(now: Micros) -> Self {
        let (given, had) = (BTreeMap::new(), BTreeMap::new());
        Purse { young: 0, old: 0, turned: now, floor_to: now, counts: Counts::default(), given, had }
    }

    /// Time passes: this relay earns its part of the floor among so many, and credits lapse. One that was stopped earns
    /// nothing for longer than credits are kept.
    pub fn pass(&mut self, now: Micros, relays: Peer) {
        if now - self.turned >= KEPT {
            // A part of a credit does not lapse: where each of many relays calls seldom, all are such parts for long.
            let skipped = now - self.turned >= 2 * KEPT;
            let lapsed = self.old + if skipped { self.young } else { 0 };
            self.old = lapsed % UNIT + if skipped { 0 } else { self.young };
            (self.young, self.turned) = (0, now);
        }
        self.floor_to = self.floor_to.max(now - KEPT).min(now);
        let span = SECOND * Micros::from(relays.max(1));
        let earned = (now - self.floor_to) * FLOOR as Micros / span;
        // What is left of a part goes on to the next look.
        self.floor_to += earned * span / FLOOR as Micros;
        self.young += earned as u64;
    }

    /// A first attempt started.
    pub fn first(&mut self) {
        self.counts.firsts += 1;
        self.young += EARNED;
    }

    /// Whole credits.
    pub fn whole(&self) -> u32 {
        u32::try_from((self.young + self.old) / UNIT).unwrap_or(u32::MAX)
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes so many whole credits out, the oldest first, where there are so many.
    fn take(&mut self, credits: u32) -> bool {
        let parts = u64::from(credits) * UNIT;
        let may = parts <= self.young + self.old;
        if may {
            let old = parts.min(self.old);
            (self.old, self.young) = (self.old - old, self.young - (parts - old));
        }
        may
    }

    /// Spends credits on repeats of this relay; whether there were so many.
    pub fn spend(&mut self, credits: u32) -> bool {
        let may = self.take(credits);
        if may {
            self.counts.spent += u64::from(credits);
        }
        may
    }

    /// Gives credits to a start of another relay: what it has had of this one in all, to be said until it is heard.
    pub fn give(&mut self, to: Start, credits: u32) -> Option<u32> {
        if !self.given.contains_key(&to) && self.given.len() >= MOST_STARTS || !self.take(credits) {
            return None;
        }
        self.counts.given += u64::from(credits);
        let total = self.given.entry(to).or_default();
        *total = total.saturating_add(credits);
        Some(*total)
    }

    /// What a start of another relay was given in all.
    pub fn given_to(&self, to: Start) -> u32 {
        self.given.get(&to).copied().unwrap_or(0)
    }

    /// A start of another relay says what it has given this start in all. Of what is new at most so much counts: who claims
    /// more than anybody can have earned is not believed.
    pub fn had(&mut self, from: Start, total: u32, most: u32) -> u32 {
        if !self.had.contains_key(&from) && self.had.len() >= MOST_STARTS {
            return 0;
        }
        let known = self.had.entry(from).or_default();
        let new = total.saturating_sub(*known).min(most);
        *known = (*known).max(total);
        self.young += u64::from(new) * UNIT;
        self.counts.had += u64::from(new);
        new
    }

    /// What it has had in all of a start of another relay, as that one said.
    pub fn had_of(&self, from: Start) -> u32 {
        self.had.get(&from).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Micros = 1_790_000_000 * SECOND;

    #[test]
    fn ten_first_attempts_earn_a_repeat_and_a_second_earns_the_fleet_one() {
        let mut purse = Purse::new(NOW);
        (0..19).for_each(|_| purse.first());
        assert_eq!(purse.whole(), 1);
        assert!(purse.spend(1) && !purse.spend(1), "not twice");
        let mut parts: Vec<Purse> = (0..7).map(|_| Purse::new(NOW)).collect();
        for at in 1..=400 {
            parts.iter_mut().for_each(|part| part.pass(NOW + at * SECOND / 100, 7));
        }
        let all: u64 = parts.iter().map(|part| part.young + part.old).sum();
        assert!((4 * FLOOR - 7..=4 * FLOOR).contains(&all), "{all} in four seconds");
    }

    #[test]
    fn a_credit_that_nobody_uses_lapses_and_one_that_was_stopped_has_little() {
        let mut purse = Purse::new(NOW);
        (0..100).for_each(|_| purse.first());
        purse.pass(NOW + KEPT, Peer::MAX);
        assert_eq!(purse.whole(), 10, "kept for so long");
        purse.first();
        purse.pass(NOW + 2 * KEPT, Peer::MAX);
        assert_eq!(purse.whole(), 0);
        (0..9).for_each(|_| purse.first());
        assert_eq!(purse.whole(), 1, "a part of one does not lapse");
        purse.pass(NOW + 3600 * SECOND, 1);
        assert_eq!(u64::from(purse.whole()) * UNIT, FLOOR * (KEPT / SECOND) as u64, "stopped for an hour");
    }

    #[test]
    fn a_gift_counts_once_and_only_for_the_start_that_it_was_for() {
        let (mut giver, mut receiver) = (Purse::new(NOW), Purse::new(NOW));
        (0..30).for_each(|_| giver.first());
        assert_eq!(giver.give((2, 7), 2), Some(2));
        assert_eq!((giver.give((2, 7), 2), giver.whole()), (None, 1), "more than it has");
        assert_eq!([receiver.had((1, 3), 2, 9), receiver.had((1, 3), 2, 9)], [2, 0]);
        assert_eq!(giver.give((2, 8), 1), Some(1), "another start is told from nothing on");
        assert_eq!(receiver.had((1, 3), 1000, 5), 5, "who claims too much is believed a little");
        assert_eq!(receiver.had((1, 3), 1000, 5), 0);
    }

    proptest! {
        /// Whatever relays do, in any order, what is spent is no more than what was earned.
        #[test]
        fn what_is_spent_was_earned(steps in prop::collection::vec((0..3usize, 0..3usize, 0..5u8, 0..SECOND), 1..300)) {
            let (mut now, mut spent, mut firsts) = (NOW, 0u64, 0u64);
            let mut purses: Vec<Purse> = (0..3).map(|_| Purse::new(now)).collect();
            for (from, to, what, passed) in steps {
                match what {
                    0 | 1 => { purses[from].first(); firsts += 1; }
                    2 => spent += u64::from(purses[from].spend(1)),
                    3 if from != to => {
                        let total = purses[from].give((to as Peer, 1), 1);
                        let total = total.unwrap_or(purses[from].given_to((to as Peer, 1)));
                        // It comes twice.
                        (0..2).for_each(|_| { purses[to].had((from as Peer, 1), total, 99); });
                    }
                    _ => { now += passed; purses.iter_mut().for_each(|purse| purse.pass(now, 3)); }
                }
                let floor = (now - NOW) as u64 * FLOOR / SECOND as u64;
                prop_assert!(spent * UNIT <= firsts * EARNED + floor, "{} spent of {} and {}", spent, firsts, floor);
            }
        }
    }
}
