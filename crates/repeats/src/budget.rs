//! One relay's retry tokens for one destination: earned, transferred, received, spent and lapsed.
//!
//! Invariant: a relay never spends or transfers tokens that it did not earn or receive, and counts each transfer once.

use std::collections::BTreeMap;

use crate::{Micros, Peer, SECOND};

/// Units that make up one token. Budgets are counted in units.
pub const UNITS_PER_TOKEN: u64 = 1000;
/// Units that a first attempt earns. Retries are thus limited to a tenth of first attempts, apart from the floor.
pub const UNITS_PER_FIRST_ATTEMPT: u64 = UNITS_PER_TOKEN / 10;
/// Units that the whole fleet earns in a second: a small floor that does not depend on traffic.
pub const FLOOR_UNITS_PER_SECOND: u64 = UNITS_PER_TOKEN;
/// Whole tokens lapse between one and two of these intervals after they were earned or received, in microseconds.
pub const TOKEN_LIFETIME: Micros = 5 * SECOND;
/// Maximum number of relay incarnations whose transfers are remembered, for each direction.
const MAX_INCARNATIONS: usize = 1024;

/// One incarnation of a relay: its number, and the number of its start.
pub type Incarnation = (Peer, u32);

/// Counters since this relay started, for operators. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// First attempts.
    pub first_attempts: u64,
    /// Tokens spent on retries.
    pub spent: u64,
    /// Tokens transferred to other relays.
    pub given: u64,
    /// Tokens received from other relays.
    pub received: u64,
}

/// One relay's retry budget for one destination. Invariant: `current` and `previous` together are the units earned and
/// received, less those transferred, spent and lapsed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    /// Units from the current interval of [`TOKEN_LIFETIME`].
    current: u64,
    /// Units from the interval before.
    previous: u64,
    /// Start of the current interval.
    interval_began: Micros,
    /// Time up to which this relay has earned its share of the floor.
    floor_earned_until: Micros,
    counts: Counts,
    /// Total of tokens transferred to each incarnation.
    given: BTreeMap<Incarnation, u32>,
    /// Total of tokens that each incarnation reports to have transferred to this one.
    received: BTreeMap<Incarnation, u32>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(now: Micros) -> Self {
        let (given, received) = (BTreeMap::new(), BTreeMap::new());
        RetryBudget {
            current: 0,
            previous: 0,
            interval_began: now,
            floor_earned_until: now,
            counts: Counts::default(),
            given,
            received,
        }
    }

    /// Advances to `now`: tokens lapse, and this relay earns its share of the floor among `relays` relays. The share is
    /// limited to one [`TOKEN_LIFETIME`], also after a long pause of the process.
    pub fn advance(&mut self, now: Micros, relays: Peer) {
        if now - self.interval_began >= TOKEN_LIFETIME {
            // Fractions of a token do not lapse: with many relays of little traffic each, a relay holds nothing but
            // fractions for a long time.
            let skipped = now - self.interval_began >= 2 * TOKEN_LIFETIME;
            let lapsed = self.previous + if skipped { self.current } else { 0 };
            self.previous = lapsed % UNITS_PER_TOKEN + if skipped { 0 } else { self.current };
            (self.current, self.interval_began) = (0, now);
        }
        self.floor_earned_until = self.floor_earned_until.max(now - TOKEN_LIFETIME).min(now);
        let span = SECOND * Micros::from(relays.max(1));
        let earned = (now - self.floor_earned_until) * FLOOR_UNITS_PER_SECOND as Micros / span;
        // The remainder of the division counts at the next call.
        self.floor_earned_until += earned * span / FLOOR_UNITS_PER_SECOND as Micros;
        self.current += earned as u64;
    }

    /// Records the start of a first attempt.
    pub fn first_attempt(&mut self) {
        self.counts.first_attempts += 1;
        self.current += UNITS_PER_FIRST_ATTEMPT;
    }

    /// Number of whole tokens.
    pub fn tokens(&self) -> u32 {
        u32::try_from((self.current + self.previous) / UNITS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Counters since the start of this relay.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Withdraws whole tokens, oldest units first. Returns whether there were enough; otherwise nothing changes.
    fn withdraw(&mut self, tokens: u32) -> bool {
        let units = u64::from(tokens) * UNITS_PER_TOKEN;
        let enough = units <= self.current + self.previous;
        if enough {
            let previous = units.min(self.previous);
            (self.previous, self.current) = (self.previous - previous, self.current - (units - previous));
        }
        enough
    }

    /// Spends tokens on retries of this relay. Returns whether there were enough.
    pub fn spend(&mut self, tokens: u32) -> bool {
        let enough = self.withdraw(tokens);
        if enough {
            self.counts.spent += u64::from(tokens);
        }
        enough
    }

    /// Transfers tokens to an incarnation of another relay. Returns the total transferred to it, which is announced until it
    /// is acknowledged; `None` if there are too few tokens.
    pub fn give(&mut self, to: Incarnation, tokens: u32) -> Option<u32> {
        if !self.given.contains_key(&to) && self.given.len() >= MAX_INCARNATIONS || !self.withdraw(tokens) {
            return None;
        }
        self.counts.given += u64::from(tokens);
        let total = self.given.entry(to).or_default();
        *total = total.saturating_add(tokens);
        Some(*total)
    }

    /// Total of tokens transferred to an incarnation of another relay.
    pub fn given_to(&self, to: Incarnation) -> u32 {
        self.given.get(&to).copied().unwrap_or(0)
    }

    /// Records the total that an incarnation of another relay reports to have transferred to this one, and returns the number
    /// of tokens that are new. At most `max` of them count, so that a false report cannot add more than a relay can have
    /// earned.
    pub fn receive(&mut self, from: Incarnation, total: u32, max: u32) -> u32 {
        if !self.received.contains_key(&from) && self.received.len() >= MAX_INCARNATIONS {
            return 0;
        }
        let known = self.received.entry(from).or_default();
        let new = total.saturating_sub(*known).min(max);
        *known = (*known).max(total);
        self.current += u64::from(new) * UNITS_PER_TOKEN;
        self.counts.received += u64::from(new);
        new
    }

    /// Highest total that an incarnation of another relay has reported.
    pub fn received_from(&self, from: Incarnation) -> u32 {
        self.received.get(&from).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Micros = 1_790_000_000 * SECOND;

    #[test]
    fn ten_first_attempts_or_one_second_of_the_fleet_earn_one_token() {
        let mut budget = RetryBudget::new(NOW);
        (0..19).for_each(|_| budget.first_attempt());
        assert_eq!(budget.tokens(), 1);
        assert!(budget.spend(1) && !budget.spend(1), "a token is spent once");
        let mut shares: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(NOW)).collect();
        for at in 1..=400 {
            shares.iter_mut().for_each(|share| share.advance(NOW + at * SECOND / 100, 7));
        }
        let all: u64 = shares.iter().map(|share| share.current + share.previous).sum();
        assert!(
            (4 * FLOOR_UNITS_PER_SECOND - 7..=4 * FLOOR_UNITS_PER_SECOND).contains(&all),
            "{all} units in four seconds"
        );
    }

    #[test]
    fn unused_tokens_lapse_and_a_paused_relay_earns_the_floor_of_one_lifetime() {
        let mut budget = RetryBudget::new(NOW);
        (0..100).for_each(|_| budget.first_attempt());
        budget.advance(NOW + TOKEN_LIFETIME, Peer::MAX);
        assert_eq!(budget.tokens(), 10, "kept for one lifetime");
        budget.first_attempt();
        budget.advance(NOW + 2 * TOKEN_LIFETIME, Peer::MAX);
        assert_eq!(budget.tokens(), 0);
        (0..9).for_each(|_| budget.first_attempt());
        assert_eq!(budget.tokens(), 1, "a fraction of a token does not lapse");
        budget.advance(NOW + 3600 * SECOND, 1);
        assert_eq!(
            u64::from(budget.tokens()) * UNITS_PER_TOKEN,
            FLOOR_UNITS_PER_SECOND * (TOKEN_LIFETIME / SECOND) as u64,
            "paused for an hour"
        );
    }

    #[test]
    fn a_transfer_counts_once_and_only_for_the_incarnation_it_was_meant_for() {
        let (mut giver, mut receiver) = (RetryBudget::new(NOW), RetryBudget::new(NOW));
        (0..30).for_each(|_| giver.first_attempt());
        assert_eq!(giver.give((2, 7), 2), Some(2));
        assert_eq!((giver.give((2, 7), 2), giver.tokens()), (None, 1), "more than it has");
        assert_eq!([receiver.receive((1, 3), 2, 9), receiver.receive((1, 3), 2, 9)], [2, 0]);
        assert_eq!(giver.give((2, 8), 1), Some(1), "totals start from zero for another incarnation");
        assert_eq!(receiver.receive((1, 3), 1000, 5), 5, "an excessive total counts up to the maximum");
        assert_eq!(receiver.receive((1, 3), 1000, 5), 0);
    }

    proptest! {
        /// In any order of operations of all relays, the tokens spent do not exceed the tokens earned.
        #[test]
        fn tokens_spent_never_exceed_tokens_earned(
            steps in prop::collection::vec((0..3usize, 0..3usize, 0..5u8, 0..SECOND), 1..300)
        ) {
            let (mut now, mut spent, mut firsts) = (NOW, 0u64, 0u64);
            let mut budgets: Vec<RetryBudget> = (0..3).map(|_| RetryBudget::new(now)).collect();
            for (from, to, operation, passed) in steps {
                match operation {
                    0 | 1 => { budgets[from].first_attempt(); firsts += 1; }
                    2 => spent += u64::from(budgets[from].spend(1)),
                    3 if from != to => {
                        let total = budgets[from].give((to as Peer, 1), 1);
                        let total = total.unwrap_or(budgets[from].given_to((to as Peer, 1)));
                        // The datagram is duplicated.
                        (0..2).for_each(|_| { budgets[to].receive((from as Peer, 1), total, 99); });
                    }
                    _ => { now += passed; budgets.iter_mut().for_each(|budget| budget.advance(now, 3)); }
                }
                let floor = (now - NOW) as u64 * FLOOR_UNITS_PER_SECOND / SECOND as u64;
                prop_assert!(
                    spent * UNITS_PER_TOKEN <= firsts * UNITS_PER_FIRST_ATTEMPT + floor,
                    "{} spent of {} and {}", spent, firsts, floor
                );
            }
        }
    }
}
