//! Model checking of token transfers between up to three relays for one destination, with datagrams lost, delayed, duplicated
//! and reordered and relays restarted at any step. The property is the bound: tokens spent were earned. With one guard
//! removed, the checker has to find a sequence that violates it.

use repeats::budget::{RetryBudget, UNITS_PER_FIRST_ATTEMPT, UNITS_PER_TOKEN};
use repeats::{Micros, Peer};
use stateright::{Checker, Model, Property};

const NOW: Micros = 0;
/// Maximum number of datagrams in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum incarnation of a relay.
const MAX_INCARNATION: u32 = 2;
/// Maximum number of tokens earned, by ten first attempts each.
const MAX_EARNED: u8 = 2;
/// Maximum number of transfers by one incarnation.
const MAX_TRANSFERS: u64 = 2;

/// The guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovedGuard {
    None,
    /// A transfer then counts each time that it arrives.
    CountOnce,
    /// A transfer then counts for any incarnation of its receiver.
    CheckIncarnation,
    /// A transfer is then announced without a withdrawal, and the relay restarts or goes on with the tokens.
    WithdrawFirst,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Datagram {
    from: (Peer, u32),
    to: (Peer, u32),
    total: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Incarnation and budget of each relay.
    relays: Vec<(u32, RetryBudget)>,
    datagrams: Vec<Datagram>,
    earned: u8,
    spent: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Ten first attempts, which earn one token.
    Earn(usize),
    Spend(usize),
    Transfer(usize, usize),
    /// A transfer is announced once more.
    Resend(usize, usize),
    /// A datagram arrives; with `true` it is duplicated and stays in flight.
    Arrive(usize, bool),
    Lose(usize),
    Restart(usize),
}

struct TransferModel {
    removed: RemovedGuard,
    relays: usize,
}

impl Model for TransferModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let relays = (0..self.relays).map(|_| (1, RetryBudget::new(NOW))).collect();
        vec![State { relays, datagrams: vec![], earned: 0, spent: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for one in 0..self.relays {
            actions.extend([Step::Earn(one), Step::Spend(one), Step::Restart(one)]);
            for other in (0..self.relays).filter(|other| *other != one) {
                actions.extend([Step::Transfer(one, other), Step::Resend(one, other)]);
            }
        }
        for datagram in 0..state.datagrams.len() {
            actions.extend([
                Step::Arrive(datagram, false),
                Step::Arrive(datagram, true),
                Step::Lose(datagram),
            ]);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Earn(relay) => {
                next.earned = next.earned.checked_add(1).filter(|earned| *earned <= MAX_EARNED)?;
                (0..UNITS_PER_TOKEN / UNITS_PER_FIRST_ATTEMPT)
                    .for_each(|_| next.relays[relay].1.first_attempt());
            }
            Step::Spend(relay) => {
                next.relays[relay].1.spend(1).then_some(())?;
                next.spent += 1;
            }
            Step::Transfer(from, to) | Step::Resend(from, to) => {
                let new = matches!(step, Step::Transfer(..));
                if next.datagrams.len() >= MAX_IN_FLIGHT
                    || new && next.relays[from].1.counts().given >= MAX_TRANSFERS
                {
                    return None;
                }
                let receiver = (to as Peer, next.relays[to].0);
                let (incarnation, budget) = &mut next.relays[from];
                let total = match (new, self.removed) {
                    (true, RemovedGuard::WithdrawFirst) => {
                        (budget.tokens() > 0).then(|| budget.given_to(receiver) + 1)?
                    }
                    (true, _) => budget.give(receiver, 1)?,
                    (false, _) => Some(budget.given_to(receiver)).filter(|total| *total > 0)?,
                };
                next.datagrams.push(Datagram { from: (from as Peer, *incarnation), to: receiver, total });
            }
            Step::Arrive(datagram, duplicated) => {
                let datagram = if duplicated {
                    next.datagrams[datagram].clone()
                } else {
                    next.datagrams.remove(datagram)
                };
                let (incarnation, budget) = &mut next.relays[usize::from(datagram.to.0)];
                if datagram.to.1 == *incarnation || self.removed == RemovedGuard::CheckIncarnation {
                    let known = if self.removed == RemovedGuard::CountOnce {
                        budget.received_from(datagram.from)
                    } else {
                        0
                    };
                    budget.receive(datagram.from, known + datagram.total, 9);
                }
            }
            Step::Lose(datagram) => drop(next.datagrams.remove(datagram)),
            Step::Restart(relay) => {
                let incarnation =
                    Some(next.relays[relay].0 + 1).filter(|incarnation| *incarnation <= MAX_INCARNATION)?;
                next.relays[relay] = (incarnation, RetryBudget::new(NOW));
            }
        }
        next.datagrams.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("tokens spent were earned", |_, state: &State| {
                state.spent <= u32::from(state.earned)
            }),
            Property::sometimes("a token is spent by a relay that did not earn it", |_, state: &State| {
                state.spent > 0
                    && state
                        .relays
                        .iter()
                        .any(|(_, budget)| budget.counts().received > 0 && budget.counts().spent > 0)
            }),
        ]
    }
}

#[test]
fn two_relays_never_spend_more_tokens_than_were_earned() {
    let checker =
        TransferModel { removed: RemovedGuard::None, relays: 2 }.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states of two relays", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn three_relays_never_spend_more_tokens_than_were_earned() {
    let checker = TransferModel { removed: RemovedGuard::None, relays: 3 }
        .checker()
        .threads(4)
        .target_max_depth(8)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    println!("{} states of three relays", checker.unique_state_count());
    assert!(checker.unique_state_count() > 2_000, "{} states", checker.unique_state_count());
}

#[test]
fn removing_any_guard_violates_the_bound() {
    for removed in [RemovedGuard::CountOnce, RemovedGuard::CheckIncarnation, RemovedGuard::WithdrawFirst] {
        let checker = TransferModel { removed, relays: 2 }.checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("tokens spent were earned").unwrap_or_else(|| panic!("{removed:?}"));
        println!("{removed:?}:");
        found.into_actions().iter().for_each(|step| println!("    {step:?}"));
    }
}
