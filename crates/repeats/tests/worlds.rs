//! Gifts explored exhaustively in small worlds: three relays, one destination; notes lost, late, doubled and out of order,
//! relays started again at any step. The property is the bound itself: what is spent was earned. With a guard taken out the
//! explorer has to find the sequence that breaks it.

use repeats::purse::{EARNED, Purse, UNIT};
use repeats::{Micros, Peer};
use stateright::{Checker, Model, Property};

const NOW: Micros = 0;
/// Notes on the way, starts of a relay, first attempts in tens, and gifts of one start, at the most.
const ON_THE_WAY: usize = 2;
const STARTS: u32 = 2;
const TENS: u8 = 2;
const GIFTS: u64 = 2;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    None,
    /// A gift counts each time that it comes.
    CountsAgain,
    /// A gift counts for whichever start of its receiver hears it.
    AnyStart,
    /// A giver says what it gives before it takes it out of its purse, and dies or goes on with it.
    SaysFirst,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Note {
    from: (Peer, u32),
    to: (Peer, u32),
    total: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    relays: Vec<(u32, Purse)>,
    notes: Vec<Note>,
    tens: u8,
    spent: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Deed {
    /// Ten first attempts, which earn one credit.
    Earns(usize),
    Spends(usize),
    Gives(usize, usize),
    /// What was given is said once more.
    SaysAgain(usize, usize),
    Arrives(usize, bool),
    Lost(usize),
    StartsAgain(usize),
}

struct World {
    broken: Break,
    relays: usize,
}

impl Model for World {
    type State = State;
    type Action = Deed;

    fn init_states(&self) -> Vec<State> {
        let relays = (0..self.relays).map(|_| (1, Purse::new(NOW))).collect();
        vec![State { relays, notes: vec![], tens: 0, spent: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Deed>) {
        for one in 0..self.relays {
            actions.extend([Deed::Earns(one), Deed::Spends(one), Deed::StartsAgain(one)]);
            for other in (0..self.relays).filter(|other| *other != one) {
                actions.extend([Deed::Gives(one, other), Deed::SaysAgain(one, other)]);
            }
        }
        for note in 0..state.notes.len() {
            actions.extend([Deed::Arrives(note, false), Deed::Arrives(note, true), Deed::Lost(note)]);
        }
    }

    fn next_state(&self, state: &State, deed: Deed) -> Option<State> {
        let mut next = state.clone();
        match deed {
            Deed::Earns(relay) => {
                next.tens = next.tens.checked_add(1).filter(|tens| *tens <= TENS)?;
                (0..UNIT / EARNED).for_each(|_| next.relays[relay].1.first());
            }
            Deed::Spends(relay) => {
                next.relays[relay].1.spend(1).then_some(())?;
                next.spent += 1;
            }
            Deed::Gives(from, to) | Deed::SaysAgain(from, to) => {
                let new = matches!(deed, Deed::Gives(..));
                if next.notes.len() >= ON_THE_WAY || new && next.relays[from].1.counts().given >= GIFTS {
                    return None;
                }
                let receiver = (to as Peer, next.relays[to].0);
                let (start, purse) = &mut next.relays[from];
                let total = match (new, self.broken) {
                    (true, Break::SaysFirst) => (purse.whole() > 0).then(|| purse.given_to(receiver) + 1)?,
                    (true, _) => purse.give(receiver, 1)?,
                    (false, _) => Some(purse.given_to(receiver)).filter(|total| *total > 0)?,
                };
                next.notes.push(Note { from: (from as Peer, *start), to: receiver, total });
            }
            Deed::Arrives(note, again) => {
                let note = if again { next.notes[note].clone() } else { next.notes.remove(note) };
                let (start, purse) = &mut next.relays[usize::from(note.to.0)];
                if note.to.1 == *start || self.broken == Break::AnyStart {
                    let known = if self.broken == Break::CountsAgain { purse.had_of(note.from) } else { 0 };
                    purse.had(note.from, known + note.total, 9);
                }
            }
            Deed::Lost(note) => drop(next.notes.remove(note)),
            Deed::StartsAgain(relay) => {
                let start = Some(next.relays[relay].0 + 1).filter(|start| *start <= STARTS)?;
                next.relays[relay] = (start, Purse::new(NOW));
            }
        }
        next.notes.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what is spent was earned", |_, state: &State| {
                state.spent <= u32::from(state.tens)
            }),
            Property::sometimes("a credit is spent by another than earned it", |_, state: &State| {
                state.spent > 0
                    && state
                        .relays
                        .iter()
                        .any(|(_, purse)| purse.counts().had > 0 && purse.counts().spent > 0)
            }),
        ]
    }
}

#[test]
fn nothing_is_spent_that_was_not_earned_in_any_sequence_of_a_small_world() {
    let checker = World { broken: Break::None, relays: 2 }.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states of two relays", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}

#[test]
fn three_relays_pass_credits_on_and_spend_no_more_than_was_earned() {
    let checker =
        World { broken: Break::None, relays: 3 }.checker().threads(4).target_max_depth(8).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states of three relays", checker.unique_state_count());
    assert!(checker.unique_state_count() > 2_000, "{} states", checker.unique_state_count());
}

#[test]
fn with_a_guard_taken_out_the_sequence_that_breaks_the_bound_is_found() {
    for broken in [Break::CountsAgain, Break::AnyStart, Break::SaysFirst] {
        let checker = World { broken, relays: 2 }.checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("what is spent was earned").unwrap_or_else(|| panic!("{broken:?}"));
        println!("{broken:?}:");
        found.into_actions().iter().for_each(|deed| println!("    {deed:?}"));
    }
}
