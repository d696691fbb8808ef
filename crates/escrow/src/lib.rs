//! Budgets that a fleet shares, with a bound that holds whatever is cut, late, lost, frozen, killed or started again.
//!
//! A budget has as many equal parts as the fleet has relays, and each relay owns one. It uses its part itself, or lends it
//! to one borrower at a time, for a lease. The bound is that nobody uses a part beside another:
//!
//! - a borrower's note carries its own clock (a stamp); the owner lends by giving the latest stamp back, and the borrower
//!   may use the part until a lease after that stamp, by its own clock;
//! - the owner lends after it heard the stamp, which was after the stamp was made; it takes its part back a lease after it
//!   last lent, by its own clock: later than the borrower's last moment, however long any note took;
//! - a relay that starts knows nothing of what it lent, and takes its part back a lease after its start.
//!
//! No clocks have to agree, only to run alike for the length of a lease. What a dead relay owned lies idle.
//!
//! Arithmetic without I/O: [`Part`] is the owner's side, [`Loans`] the borrower's, [`Slices`] how a borrower hands rates
//! on, [`slot`] how relays that hear nobody keep out of each other's way. It must never shorten a lease.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;

use fleet::datagram::Stamp;
use fleet::{Micros, Peer, SECOND};

/// How often parts are lent again, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A loan is said again after this.
    pub again: Micros,
    /// A loan holds for so long.
    pub lease: Micros,
    /// A borrower that was not heard for so long is done without.
    pub silent: Micros,
    /// One that is done without is asked whether it is there so often.
    pub probe: Micros,
}

impl Terms {
    /// Terms among so many relays: what notes cost grows with their number, so that many speak more seldom.
    pub fn of(relays: u32) -> Self {
        let again = (Micros::from(relays) * SECOND / 250).clamp(SECOND / 5, 3 * SECOND / 2);
        Terms { again, lease: 9 * again / 2, silent: 7 * again / 2, probe: 5 * again / 2 }
    }

    /// A borrower whose note came within this, for what was sent and came back in no more than [`Terms::there_and_back`],
    /// can use a loan; to another a part is lent in vain.
    pub fn fresh(&self) -> Micros {
        self.lease / 2
    }

    /// See [`Terms::fresh`].
    pub fn there_and_back(&self) -> Micros {
        self.lease / 3
    }
}

/// The owner's side: its part of one budget. Invariant: it uses it itself only from `free_at` on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    lent_to: Option<Peer>,
    free_at: Micros,
}

impl Part {
    /// The part of a relay that starts now: an earlier process may have lent it.
    pub fn starting(now: Micros, lease: Micros) -> Self {
        Part { lent_to: None, free_at: now + lease }
    }

    /// Whether the relay may use it itself.
    pub fn mine(&self, now: Micros) -> bool {
        now >= self.free_at
    }

    /// When that is.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }

    /// Lends it for a lease from now on, where it is free or lent to the same already; whether it did.
    pub fn lend(&mut self, now: Micros, to: Peer, lease: Micros) -> bool {
        let may = self.mine(now) || self.lent_to == Some(to);
        if may {
            (self.lent_to, self.free_at) = (Some(to), self.free_at.max(now + lease));
        }
        may
    }
}

/// The borrower's side: whose parts of one budget it may use, and until when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Loans {
    until: BTreeMap<Peer, Micros>,
}

impl Loans {
    /// An owner lends its part by a stamp of this relay's that it gives back. A stamp of the future is of another process.
    pub fn lent(&mut self, now: Micros, by: Peer, stamp: Stamp, lease: Micros) {
        let made = now - stamp.age(now);
        if now < made + lease {
            let until = self.until.entry(by).or_insert(Micros::MIN);
            *until = (*until).max(made + lease);
        }
    }

    /// The relay's own part, while it is its own: no lease ends it, only [`Loans::returned`].
    pub fn own(&mut self, me: Peer) {
        self.until.insert(me, Micros::MAX);
    }

    /// Its own part is not its own any more.
    pub fn returned(&mut self, me: Peer) {
        self.until.remove(&me);
    }

    /// Whether this relay's part may be used.
    pub fn has(&self, now: Micros, of: Peer) -> bool {
        self.until.get(&of).is_some_and(|until| now < *until)
    }

    /// Parts that may be used, for so long still.
    pub fn count(&self, now: Micros, span: Micros) -> usize {
        self.until.values().filter(|until| now.saturating_add(span) < **until).count()
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Micros) {
        self.until.retain(|_, until| now < *until);
    }
}

/// Rates that a borrower hands on in slices, each for a span. Invariant: what all have been given that may not be over
/// yet adds up to no more than what there was when the latest was given.
#[derive(Clone, Debug, Default)]
pub struct Slices {
    given: BTreeMap<Peer, Vec<(f64, Micros)>>,
}

impl Slices {
    fn outstanding(&self, now: Micros, peer: Peer) -> f64 {
        let live = self.given.get(&peer).into_iter().flatten().filter(|(_, until)| now < *until);
        live.map(|(rate, _)| *rate).fold(0.0, f64::max)
    }

    /// Gives a relay what it is to have of the whole, or what others leave of it now, for a span from now on.
    pub fn give(&mut self, now: Micros, to: Peer, wanted: f64, whole: f64, span: Micros) -> f64 {
        let others: f64 =
            self.given.keys().filter(|peer| **peer != to).map(|peer| self.outstanding(now, *peer)).sum();
        let rate = wanted.min(whole - others).max(0.0);
        let slices = self.given.entry(to).or_default();
        slices.retain(|(_, until)| now < *until);
        // A slice that ends sooner and is no larger says nothing more.
        slices.retain(|(old, _)| *old > rate);
        slices.push((rate, now + span));
        rate
    }
}

/// Multiples of the golden ratio, as parts of 2^64, lie far from each other for any run of numbers.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// The first moment from `from` on that is this relay's, where relays that hear nobody take turns by the clock: one in
/// each period. Any run of relays' numbers is spread over it, so that those of one zone do not meet either. Clocks that
/// are off spoil the turns, not the rate.
pub fn slot(from: Micros, me: Peer, period: Micros) -> Micros {
    let period = period.max(1);
    let part = u64::from(me).wrapping_mul(GOLDEN) as f64 / 2f64.powi(64);
    let offset = (part * period as f64) as Micros;
    from + (offset - from).rem_euclid(period)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Micros = 1_790_000_000 * SECOND;
    const LEASE: Micros = 800_000;

    #[test]
    fn a_part_is_lent_to_one_at_a_time_and_comes_back_after_its_lease() {
        let mut part = Part::starting(NOW, LEASE);
        assert!(
            !part.mine(NOW + LEASE - 1) && !part.lend(NOW, 1, LEASE),
            "an earlier process may have lent it"
        );
        assert!(part.mine(NOW + LEASE) && part.lend(NOW + LEASE, 1, LEASE));
        assert!(!part.mine(NOW + LEASE) && !part.lend(NOW + LEASE, 2, LEASE));
        assert!(part.lend(NOW + LEASE + 100, 1, LEASE), "again to the same");
        assert!(!part.lend(NOW + 2 * LEASE + 99, 2, LEASE) && part.lend(NOW + 2 * LEASE + 100, 2, LEASE));
    }

    #[test]
    fn a_loan_counts_from_the_stamp_not_from_its_arrival() {
        let mut loans = Loans::default();
        let stamp = Stamp::of(NOW);
        loans.lent(NOW + LEASE / 2, 3, stamp, LEASE);
        assert_eq!(loans.count(NOW + LEASE / 2, 0), 1);
        assert!(loans.has(NOW + LEASE - 1, 3) && !loans.has(NOW + LEASE, 3));
        loans.lent(NOW + LEASE + 1, 4, stamp, LEASE);
        assert!(!loans.has(NOW + LEASE + 1, 4), "it came too late to be of use");
        loans.lent(NOW, 5, Stamp::of(NOW + 5 * SECOND), LEASE);
        assert!(!loans.has(NOW, 5), "of the future");
        loans.own(7);
        assert!(loans.has(NOW + 99 * SECOND, 7));
        loans.returned(7);
        assert!(!loans.has(NOW, 7));
    }

    #[test]
    fn slices_move_to_who_needs_them_as_others_let_go() {
        let mut slices = Slices::default();
        assert_eq!(slices.give(0, 1, 10.0, 10.0, 400), 10.0);
        assert_eq!(slices.give(0, 2, 5.0, 10.0, 400), 0.0, "the other has all of it still");
        assert_eq!(slices.give(200, 1, 5.0, 10.0, 400), 5.0);
        assert_eq!(slices.give(200, 2, 5.0, 10.0, 400), 0.0, "its older slice is not over");
        assert_eq!(slices.give(400, 2, 5.0, 10.0, 400), 5.0);
    }

    proptest! {
        #[test]
        fn slices_never_add_up_to_more_than_the_whole(
            steps in prop::collection::vec((0..4u16, 0.0..20.0f64, 0..300i64), 1..200)
        ) {
            let (mut slices, mut now) = (Slices::default(), 0);
            let mut live: Vec<(Peer, f64, Micros)> = vec![];
            for (to, wanted, passed) in steps {
                now += passed;
                let rate = slices.give(now, to, wanted, 10.0, 400);
                live.push((to, rate, now + 400));
                live.retain(|(_, _, until)| now < *until);
                let sum: f64 = (0..4).map(|peer| {
                    live.iter().filter(|(of, ..)| *of == peer).map(|(_, rate, _)| *rate).fold(0.0, f64::max)
                }).sum();
                prop_assert!(sum <= 10.0 + 1e-9, "{sum}");
            }
        }

        #[test]
        fn turns_of_relays_do_not_fall_together(from in 0..10_000_000i64, relays in 2..40u32) {
            let period = 800_000;
            let mut turns: Vec<Micros> =
                (0..relays).map(|me| slot(from, me as Peer, period)).collect();
            prop_assert!(turns.iter().all(|at| (from..from + period).contains(at)));
            turns.sort_unstable();
            let gap = period / Micros::from(relays) / 3;
            prop_assert!(turns.windows(2).all(|two| two[1] - two[0] >= gap));
        }
    }
}
