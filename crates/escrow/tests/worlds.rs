//! The protocol of loans, explored exhaustively in small worlds: three relays, one budget; notes lost, late, doubled and
//! out of order; relays frozen, killed and started again at any step. The property is the bound itself: a part is never
//! used by two. With a guard taken out the explorer has to find the sequence of notes that breaks it.

use escrow::{Loans, Part};
use fleet::datagram::Stamp;
use fleet::{Micros, Peer};
use stateright::{Checker, Model, Property};

/// A step of the world's clock, a lease in steps, and when the world ends.
const STEP: Micros = 1_000_000;
const LEASE: Micros = 2 * STEP;
/// Notes on the way at the most.
const ON_THE_WAY: usize = 2;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    None,
    /// An owner takes its part back as soon as it hears another borrower.
    TakesBackAtOnce,
    /// A borrower counts a lease from when the note comes.
    CountsFromArrival,
    /// A relay that starts uses its part at once.
    ForgetsWhatItLent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Note {
    /// A borrower's stamp, for an owner.
    Stamp { from: Peer, to: Peer, at: Micros },
    /// An owner's loan.
    Loan { from: Peer, to: Peer, stamp: Micros },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    part: Part,
    loans: Loans,
    /// The latest stamps heard, by borrower.
    stamps: [Option<Micros>; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    relays: Vec<Relay>,
    notes: Vec<Note>,
}

#[derive(Clone, Debug, PartialEq)]
enum Deed {
    /// Time passes; who does nothing meanwhile was frozen, or had nothing to say.
    Passes,
    Stamps {
        from: Peer,
        to: Peer,
    },
    Lends {
        from: Peer,
        to: Peer,
    },
    Arrives {
        note: usize,
        again: bool,
    },
    Lost {
        note: usize,
    },
    StartsAgain {
        relay: Peer,
    },
}

struct World {
    broken: Break,
    until: Micros,
    /// Relays that own, and relays that borrow.
    owners: std::ops::Range<Peer>,
    borrowers: std::ops::Range<Peer>,
}

impl World {
    fn usable(state: &State, owner: Peer) -> usize {
        let own = usize::from(state.relays[usize::from(owner)].part.mine(state.now));
        let lent = state.relays.iter().filter(|relay| relay.loans.has(state.now, owner)).count();
        own + lent
    }
}

impl Model for World {
    type State = State;
    type Action = Deed;

    fn init_states(&self) -> Vec<State> {
        let relay = Relay { part: Part::starting(-LEASE, LEASE), loans: Loans::default(), stamps: [None; 3] };
        vec![State { now: 0, relays: vec![relay; 3], notes: vec![] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Deed>) {
        if state.now < self.until {
            actions.push(Deed::Passes);
        }
        let pairs = self.owners.clone().flat_map(|owner| self.borrowers.clone().map(move |b| (owner, b)));
        for (owner, borrower) in pairs.filter(|(owner, borrower)| owner != borrower) {
            if state.notes.len() < ON_THE_WAY {
                actions.push(Deed::Stamps { from: borrower, to: owner });
                actions.push(Deed::Lends { from: owner, to: borrower });
            }
        }
        for note in 0..state.notes.len() {
            actions.push(Deed::Arrives { note, again: false });
            actions.push(Deed::Arrives { note, again: true });
            actions.push(Deed::Lost { note });
        }
        actions.extend(self.owners.clone().map(|relay| Deed::StartsAgain { relay }));
    }

    fn next_state(&self, state: &State, deed: Deed) -> Option<State> {
        let mut next = state.clone();
        let now = state.now;
        match deed {
            Deed::Passes => next.now += STEP,
            Deed::Stamps { from, to } => next.notes.push(Note::Stamp { from, to, at: now }),
            Deed::Lends { from, to } => {
                let owner = &mut next.relays[usize::from(from)];
                let stamp = owner.stamps[usize::from(to)]?;
                if self.broken == Break::TakesBackAtOnce {
                    owner.part = Part::starting(now - LEASE, LEASE);
                }
                if !owner.part.lend(now, to, LEASE) {
                    return None;
                }
                next.notes.push(Note::Loan { from, to, stamp });
            }
            Deed::Arrives { note, again } => {
                let came = if again { next.notes[note].clone() } else { next.notes.remove(note) };
                match came {
                    Note::Stamp { from, to, at } => {
                        let known = &mut next.relays[usize::from(to)].stamps[usize::from(from)];
                        *known = (*known).max(Some(at));
                    }
                    Note::Loan { from, to, stamp } => {
                        let counts = if self.broken == Break::CountsFromArrival { now } else { stamp };
                        next.relays[usize::from(to)].loans.lent(now, from, Stamp::of(counts), LEASE);
                    }
                }
            }
            Deed::Lost { note } => drop(next.notes.remove(note)),
            Deed::StartsAgain { relay } => {
                let from = if self.broken == Break::ForgetsWhatItLent { now - LEASE } else { now };
                let part = Part::starting(from, LEASE);
                next.relays[usize::from(relay)] = Relay { part, loans: Loans::default(), stamps: [None; 3] };
            }
        }
        next.relays.iter_mut().for_each(|relay| relay.loans.forget(next.now));
        next.notes.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a part is used by one at a time", |world: &World, state: &State| {
                world.owners.clone().all(|owner| World::usable(state, owner) <= 1)
            }),
            Property::sometimes("a part is borrowed", |_, state: &State| {
                state.relays.iter().any(|relay| relay.loans.count(state.now, 0) > 0)
            }),
            Property::sometimes("another borrows it later", |_, state: &State| {
                state.now > LEASE && state.relays[2].loans.has(state.now, 0)
            }),
        ]
    }
}

/// One owner and two who would borrow, one of them an owner itself.
fn world(broken: Break) -> World {
    World { broken, until: 4 * STEP, owners: 0..1, borrowers: 1..3 }
}

#[test]
fn no_part_is_used_by_two_in_any_sequence_of_a_small_world() {
    let checker = world(Break::None).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn relays_that_lend_to_each_other_never_use_a_part_twice() {
    let world = World { broken: Break::None, until: 3 * STEP, owners: 0..2, borrowers: 0..2 };
    let checker = world.checker().threads(4).spawn_bfs().join();
    checker.assert_no_discovery("a part is used by one at a time");
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn with_a_guard_taken_out_the_sequence_that_breaks_the_bound_is_found() {
    for broken in [Break::TakesBackAtOnce, Break::CountsFromArrival, Break::ForgetsWhatItLent] {
        let checker = world(broken).checker().threads(4).spawn_bfs().join();
        let found =
            checker.discovery("a part is used by one at a time").unwrap_or_else(|| panic!("{broken:?}"));
        println!("{broken:?}:");
        found.into_actions().iter().for_each(|deed| println!("    {deed:?}"));
    }
}
