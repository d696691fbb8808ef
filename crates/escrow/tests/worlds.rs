//! Model of the loan protocol, checked exhaustively for small configurations: three relays, one budget; datagrams lost,
//! delayed, duplicated and reordered; relays stalled, killed and restarted at any step. The property is the bound itself: a
//! share is never used by two relays. With a safeguard removed, the checker has to find a sequence that violates it.

use escrow::{BudgetShare, Loans};
use fleet::datagram::Stamp;
use fleet::{Micros, Peer};
use stateright::{Checker, Model, Property};

/// Time of one clock step, in microseconds.
const STEP: Micros = 1_000_000;
/// Duration of a lease.
const LEASE: Micros = 2 * STEP;
/// Largest number of datagrams in transit.
const MAX_IN_TRANSIT: usize = 2;

/// The safeguard that is removed from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovedSafeguard {
    None,
    /// An owner reclaims its share as soon as it hears from another borrower.
    ReclaimsBeforeLeaseEnd,
    /// A borrower counts the lease from the arrival of the loan instead of the stamp.
    CountsFromArrival,
    /// A restarted relay uses its share at once.
    ForgetsLoanOnRestart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Datagram {
    /// A borrower's stamp, for an owner.
    Stamp { from: Peer, to: Peer, at: Micros },
    /// An owner's loan, with the stamp returned.
    Loan { from: Peer, to: Peer, stamp: Micros },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    share: BudgetShare,
    loans: Loans,
    /// The latest stamp received from each borrower.
    stamps: [Option<Micros>; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    relays: Vec<Relay>,
    datagrams: Vec<Datagram>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time passes. A relay that does nothing meanwhile is stalled or has nothing to send.
    PassTime,
    SendStamp {
        from: Peer,
        to: Peer,
    },
    SendLoan {
        from: Peer,
        to: Peer,
    },
    /// A datagram arrives; with `duplicate` it also stays in transit.
    Deliver {
        datagram: usize,
        duplicate: bool,
    },
    Lose {
        datagram: usize,
    },
    Restart {
        relay: Peer,
    },
}

struct LoanModel {
    removed: RemovedSafeguard,
    /// Time at which the clock stops.
    until: Micros,
    /// Relays that own a share.
    owners: std::ops::Range<Peer>,
    /// Relays that borrow.
    borrowers: std::ops::Range<Peer>,
}

impl LoanModel {
    /// Number of relays that may use the owner's share.
    fn users(state: &State, owner: Peer) -> usize {
        let own = usize::from(state.relays[usize::from(owner)].share.is_usable_by_owner(state.now));
        let lent = state.relays.iter().filter(|relay| relay.loans.is_usable(state.now, owner)).count();
        own + lent
    }
}

impl Model for LoanModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let relay =
            Relay { share: BudgetShare::at_start(-LEASE, LEASE), loans: Loans::default(), stamps: [None; 3] };
        vec![State { now: 0, relays: vec![relay; 3], datagrams: vec![] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.now < self.until {
            actions.push(Step::PassTime);
        }
        let pairs = self.owners.clone().flat_map(|owner| self.borrowers.clone().map(move |b| (owner, b)));
        for (owner, borrower) in pairs.filter(|(owner, borrower)| owner != borrower) {
            if state.datagrams.len() < MAX_IN_TRANSIT {
                actions.push(Step::SendStamp { from: borrower, to: owner });
                actions.push(Step::SendLoan { from: owner, to: borrower });
            }
        }
        for datagram in 0..state.datagrams.len() {
            actions.push(Step::Deliver { datagram, duplicate: false });
            actions.push(Step::Deliver { datagram, duplicate: true });
            actions.push(Step::Lose { datagram });
        }
        actions.extend(self.owners.clone().map(|relay| Step::Restart { relay }));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        let now = state.now;
        match step {
            Step::PassTime => next.now += STEP,
            Step::SendStamp { from, to } => next.datagrams.push(Datagram::Stamp { from, to, at: now }),
            Step::SendLoan { from, to } => {
                let owner = &mut next.relays[usize::from(from)];
                let stamp = owner.stamps[usize::from(to)]?;
                if self.removed == RemovedSafeguard::ReclaimsBeforeLeaseEnd {
                    owner.share = BudgetShare::at_start(now - LEASE, LEASE);
                }
                if !owner.share.lend(now, to, LEASE) {
                    return None;
                }
                next.datagrams.push(Datagram::Loan { from, to, stamp });
            }
            Step::Deliver { datagram, duplicate } => {
                let arrived = if duplicate {
                    next.datagrams[datagram].clone()
                } else {
                    next.datagrams.remove(datagram)
                };
                match arrived {
                    Datagram::Stamp { from, to, at } => {
                        let latest = &mut next.relays[usize::from(to)].stamps[usize::from(from)];
                        *latest = (*latest).max(Some(at));
                    }
                    Datagram::Loan { from, to, stamp } => {
                        let lease_start =
                            if self.removed == RemovedSafeguard::CountsFromArrival { now } else { stamp };
                        next.relays[usize::from(to)].loans.add(now, from, Stamp::of(lease_start), LEASE);
                    }
                }
            }
            Step::Lose { datagram } => drop(next.datagrams.remove(datagram)),
            Step::Restart { relay } => {
                let from =
                    if self.removed == RemovedSafeguard::ForgetsLoanOnRestart { now - LEASE } else { now };
                let share = BudgetShare::at_start(from, LEASE);
                next.relays[usize::from(relay)] = Relay { share, loans: Loans::default(), stamps: [None; 3] };
            }
        }
        next.relays.iter_mut().for_each(|relay| relay.loans.remove_expired(next.now));
        next.datagrams.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a share is used by one relay at a time", |model: &LoanModel, state: &State| {
                model.owners.clone().all(|owner| LoanModel::users(state, owner) <= 1)
            }),
            Property::sometimes("a share is borrowed", |_, state: &State| {
                state.relays.iter().any(|relay| relay.loans.count(state.now, 0) > 0)
            }),
            Property::sometimes("another relay borrows the share later", |_, state: &State| {
                state.now > LEASE && state.relays[2].loans.is_usable(state.now, 0)
            }),
        ]
    }
}

/// One owner and two borrowers.
fn model(removed: RemovedSafeguard) -> LoanModel {
    LoanModel { removed, until: 4 * STEP, owners: 0..1, borrowers: 1..3 }
}

#[test]
fn a_share_is_used_by_one_relay_at_a_time_in_every_sequence_of_steps() {
    let checker = model(RemovedSafeguard::None).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn relays_that_lend_to_each_other_never_use_a_share_at_the_same_time() {
    let model = LoanModel { removed: RemovedSafeguard::None, until: 3 * STEP, owners: 0..2, borrowers: 0..2 };
    let checker = model.checker().threads(4).spawn_bfs().join();
    checker.assert_no_discovery("a share is used by one relay at a time");
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn a_violation_is_found_for_each_removed_safeguard() {
    for removed in [
        RemovedSafeguard::ReclaimsBeforeLeaseEnd,
        RemovedSafeguard::CountsFromArrival,
        RemovedSafeguard::ForgetsLoanOnRestart,
    ] {
        let checker = model(removed).checker().threads(4).spawn_bfs().join();
        let found = checker
            .discovery("a share is used by one relay at a time")
            .unwrap_or_else(|| panic!("{removed:?}"));
        println!("{removed:?}:");
        found.into_actions().iter().for_each(|step| println!("    {step:?}"));
    }
}
