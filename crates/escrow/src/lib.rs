//! Budgets shared by a fleet, with a bound that holds through partitions, delayed or lost datagrams, stalls, crashes and
//! restarts.
//!
//! A budget has as many equal shares as the fleet has relays, and each relay owns one. The owner uses its share itself, or
//! lends it to one borrower at a time, for a lease. The bound is that no share is used by two relays at once:
//!
//! - a borrower's request carries a stamp of the borrower's clock; the owner lends by returning the latest stamp, and the
//!   borrower may use the share until one lease after that stamp, by its own clock;
//! - the owner lends after it received the stamp, hence after the stamp was made; it takes its share back one lease after it
//!   last lent, by its own clock, which is later than the end of the borrower's use, however long a datagram took;
//! - a relay that starts does not know what it lent before, and uses its share only one lease after its start.
//!
//! Clocks need not agree; they only have to run at the same rate for the length of a lease. The share of a dead relay
//! stays unused.
//!
//! Arithmetic without I/O: [`BudgetShare`] is the owner's side, [`Loans`] the borrower's side, [`Slices`] divides a
//! borrowed rate among relays, and [`next_time_slot`] spreads isolated relays over time. Invariant: no lease is shortened.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;

use fleet::datagram::Stamp;
use fleet::{Micros, Peer, SECOND};

/// Intervals and timeouts of loans, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Interval after which a loan is sent again.
    pub renewal_interval: Micros,
    /// Duration of a loan.
    pub lease: Micros,
    /// A borrower that was not heard from for this long is dropped.
    pub silence_timeout: Micros,
    /// Interval between probes of a dropped borrower.
    pub probe_interval: Micros,
}

impl LoanTerms {
    /// Terms for a fleet of this size. The number of datagrams grows with the number of relays, so the interval does too.
    pub fn of(relays: u32) -> Self {
        let renewal_interval = (Micros::from(relays) * SECOND / 250).clamp(SECOND / 5, 3 * SECOND / 2);
        LoanTerms {
            renewal_interval,
            lease: 9 * renewal_interval / 2,
            silence_timeout: 7 * renewal_interval / 2,
            probe_interval: 5 * renewal_interval / 2,
        }
    }

    /// A loan is useful only to a borrower whose latest stamp arrived within this time, and whose round trip takes no longer
    /// than [`LoanTerms::max_round_trip`]. For any other, the lease would end before the loan arrives.
    pub fn max_stamp_age(&self) -> Micros {
        self.lease / 2
    }

    /// Longest round trip time with which a loan is useful; see [`LoanTerms::max_stamp_age`].
    pub fn max_round_trip(&self) -> Micros {
        self.lease / 3
    }
}

/// The owner's side: its share of one budget. Invariant: the owner uses the share itself only from `free_at` on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetShare {
    lent_to: Option<Peer>,
    free_at: Micros,
}

impl BudgetShare {
    /// The share of a relay that starts now. An earlier process may have lent it, so it is free only after a lease.
    pub fn at_start(now: Micros, lease: Micros) -> Self {
        BudgetShare { lent_to: None, free_at: now + lease }
    }

    /// Returns whether the owner may use the share itself.
    pub fn is_usable_by_owner(&self, now: Micros) -> bool {
        now >= self.free_at
    }

    /// Time from which the owner may use the share itself.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }

    /// Lends the share for a lease from now on, if it is free or already lent to the same relay. Returns whether it did.
    pub fn lend(&mut self, now: Micros, to: Peer, lease: Micros) -> bool {
        let may_lend = self.is_usable_by_owner(now) || self.lent_to == Some(to);
        if may_lend {
            (self.lent_to, self.free_at) = (Some(to), self.free_at.max(now + lease));
        }
        may_lend
    }
}

/// The borrower's side: the owners whose shares of one budget it may use, and until when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Loans {
    until: BTreeMap<Peer, Micros>,
}

impl Loans {
    /// Adds the loan of an owner's share, which returns a stamp of this relay. A stamp in the future is from another process and
    /// gives no loan.
    pub fn add(&mut self, now: Micros, by: Peer, stamp: Stamp, lease: Micros) {
        let made = now - stamp.age(now);
        if now < made + lease {
            let until = self.until.entry(by).or_insert(Micros::MIN);
            *until = (*until).max(made + lease);
        }
    }

    /// Adds the relay's own share. It is usable until [`Loans::remove_own`].
    pub fn add_own(&mut self, me: Peer) {
        self.until.insert(me, Micros::MAX);
    }

    /// Removes the relay's own share.
    pub fn remove_own(&mut self, me: Peer) {
        self.until.remove(&me);
    }

    /// Returns whether the share of this owner may be used.
    pub fn is_usable(&self, now: Micros, owner: Peer) -> bool {
        self.until.get(&owner).is_some_and(|until| now < *until)
    }

    /// Number of shares that may still be used after `span`.
    pub fn count(&self, now: Micros, span: Micros) -> usize {
        self.until.values().filter(|until| now.saturating_add(span) < **until).count()
    }

    /// Removes expired loans.
    pub fn remove_expired(&mut self, now: Micros) {
        self.until.retain(|_, until| now < *until);
    }
}

/// Slices of a rate that a borrower grants to other relays, each for a limited time. Invariant: the slices that have not
/// expired add up to no more than the whole rate at the time of the latest grant.
#[derive(Clone, Debug, Default)]
pub struct Slices {
    granted: BTreeMap<Peer, Vec<(f64, Micros)>>,
}

impl Slices {
    fn outstanding(&self, now: Micros, peer: Peer) -> f64 {
        let unexpired = self.granted.get(&peer).into_iter().flatten().filter(|(_, until)| now < *until);
        unexpired.map(|(rate, _)| *rate).fold(0.0, f64::max)
    }

    /// Grants a relay the wanted rate, or what the slices of the others leave of the whole, for `span` from now on. Returns the
    /// granted rate.
    pub fn grant(&mut self, now: Micros, to: Peer, wanted: f64, whole: f64, span: Micros) -> f64 {
        let others: f64 =
            self.granted.keys().filter(|peer| **peer != to).map(|peer| self.outstanding(now, *peer)).sum();
        let rate = wanted.min(whole - others).max(0.0);
        let slices = self.granted.entry(to).or_default();
        slices.retain(|(_, until)| now < *until);
        // An older slice ends sooner; unless its rate is larger, the new one covers it.
        slices.retain(|(old, _)| *old > rate);
        slices.push((rate, now + span));
        rate
    }
}

/// The fraction of the golden ratio, in units of 2^-64. Its multiples modulo 1 lie far apart for any run of numbers.
const GOLDEN_RATIO_FRACTION: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the first time from `from` on that belongs to this relay. Relays without contact to others use it to take turns by
/// the clock, once in each period. Any run of consecutive relay numbers is spread evenly over the period, so the relays of
/// one zone do not collide either. Clock errors affect the spread but not the rate.
pub fn next_time_slot(from: Micros, me: Peer, period: Micros) -> Micros {
    let period = period.max(1);
    let fraction = u64::from(me).wrapping_mul(GOLDEN_RATIO_FRACTION) as f64 / 2f64.powi(64);
    let offset = (fraction * period as f64) as Micros;
    from + (offset - from).rem_euclid(period)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Micros = 1_790_000_000 * SECOND;
    const LEASE: Micros = 800_000;

    #[test]
    fn a_share_is_lent_to_one_relay_at_a_time_and_free_after_the_lease() {
        let mut share = BudgetShare::at_start(NOW, LEASE);
        assert!(
            !share.is_usable_by_owner(NOW + LEASE - 1) && !share.lend(NOW, 1, LEASE),
            "an earlier process may have lent it"
        );
        assert!(share.is_usable_by_owner(NOW + LEASE) && share.lend(NOW + LEASE, 1, LEASE));
        assert!(!share.is_usable_by_owner(NOW + LEASE) && !share.lend(NOW + LEASE, 2, LEASE));
        assert!(share.lend(NOW + LEASE + 100, 1, LEASE), "a loan to the same borrower is renewed");
        assert!(!share.lend(NOW + 2 * LEASE + 99, 2, LEASE) && share.lend(NOW + 2 * LEASE + 100, 2, LEASE));
    }

    #[test]
    fn a_lease_counts_from_the_stamp_not_from_the_arrival_of_the_loan() {
        let mut loans = Loans::default();
        let stamp = Stamp::of(NOW);
        loans.add(NOW + LEASE / 2, 3, stamp, LEASE);
        assert_eq!(loans.count(NOW + LEASE / 2, 0), 1);
        assert!(loans.is_usable(NOW + LEASE - 1, 3) && !loans.is_usable(NOW + LEASE, 3));
        loans.add(NOW + LEASE + 1, 4, stamp, LEASE);
        assert!(!loans.is_usable(NOW + LEASE + 1, 4), "the lease ended before the loan arrived");
        loans.add(NOW, 5, Stamp::of(NOW + 5 * SECOND), LEASE);
        assert!(!loans.is_usable(NOW, 5), "a stamp in the future is from another process");
        loans.add_own(7);
        assert!(loans.is_usable(NOW + 99 * SECOND, 7));
        loans.remove_own(7);
        assert!(!loans.is_usable(NOW, 7));
    }

    #[test]
    fn a_rate_moves_to_another_relay_as_the_slices_of_the_first_expire() {
        let mut slices = Slices::default();
        assert_eq!(slices.grant(0, 1, 10.0, 10.0, 400), 10.0);
        assert_eq!(slices.grant(0, 2, 5.0, 10.0, 400), 0.0, "the other relay still has the whole rate");
        assert_eq!(slices.grant(200, 1, 5.0, 10.0, 400), 5.0);
        assert_eq!(slices.grant(200, 2, 5.0, 10.0, 400), 0.0, "the older slice has not expired");
        assert_eq!(slices.grant(400, 2, 5.0, 10.0, 400), 5.0);
    }

    proptest! {
        #[test]
        fn slices_never_add_up_to_more_than_the_whole(
            steps in prop::collection::vec((0..4u16, 0.0..20.0f64, 0..300i64), 1..200)
        ) {
            let (mut slices, mut now) = (Slices::default(), 0);
            let mut unexpired: Vec<(Peer, f64, Micros)> = vec![];
            for (to, wanted, passed) in steps {
                now += passed;
                let rate = slices.grant(now, to, wanted, 10.0, 400);
                unexpired.push((to, rate, now + 400));
                unexpired.retain(|(_, _, until)| now < *until);
                let sum: f64 = (0..4).map(|peer| {
                    unexpired.iter().filter(|(of, ..)| *of == peer).map(|(_, rate, _)| *rate).fold(0.0, f64::max)
                }).sum();
                prop_assert!(sum <= 10.0 + 1e-9, "{sum}");
            }
        }

        #[test]
        fn time_slots_of_relays_are_spread_over_the_period(from in 0..10_000_000i64, relays in 2..40u32) {
            let period = 800_000;
            let mut slots: Vec<Micros> =
                (0..relays).map(|me| next_time_slot(from, me as Peer, period)).collect();
            prop_assert!(slots.iter().all(|at| (from..from + period).contains(at)));
            slots.sort_unstable();
            let gap = period / Micros::from(relays) / 3;
            prop_assert!(slots.windows(2).all(|two| two[1] - two[0] >= gap));
        }
    }
}
