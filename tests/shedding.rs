//! The module under overload: what will not start in time is told at once, by its own queue or by a steward's word.

mod rig;

use overload::waits::MinimumWaits;
use rig::*;
use tulipfall::interface::*;

/// Messages, and how long they waited.
type Times = Vec<(u64, Micros)>;

/// One destination that takes a call every 100 ms, and messages that come every 40 ms, each with four seconds: who was
/// served and who was told, after how long.
fn overloaded(class: impl Fn(u64) -> usize) -> (Times, Times) {
    let mut classes = settings().classes;
    classes.iter_mut().for_each(|class| (class.aim, class.deadline) = (S, 4 * S));
    let mut rig = Rig::listed(Settings { classes, slots: 2, max_held: 1000, ..settings() });
    let (mut served, mut told) = (vec![], vec![]);
    let (mut out, mut came) = (None, std::collections::BTreeMap::new());
    for step in 0..1500u64 {
        let mut actions = vec![];
        if step % 4 == 0 {
            let id = step / 4 + 1;
            came.insert(id, rig.now);
            let due = rig.now + 4 * S;
            let destination = DestinationId(1);
            let arrival =
                Arrival { id: MessageId(id), class: class(id), tenant: None, key: None, due, destination };
            actions.extend(rig.event(Event::Arrival(arrival)));
        }
        if step % 10 == 0
            && let Some(id) = out.take()
        {
            actions.extend(rig.done(id, 1, Outcome::Ok));
        }
        let now = rig.now;
        actions.extend(only(rig.pass(10 * MS)));
        if let Some(id) = sent(&actions).first() {
            out = Some(*id);
            served.push((*id, now - came[id]));
        }
        told.extend(ended(&actions).into_iter().map(|(id, _)| (id, now - came[&id])));
    }
    (served, told)
}

#[test]
fn what_has_no_hope_is_told_seconds_before_its_time_is_up() {
    let (served, told) = overloaded(|_| SAFE);
    assert!(served.len() > 120, "calls start as before: {}", served.len());
    let mut waited: Vec<Micros> = told.iter().skip(told.len() / 3).map(|(_, after)| *after).collect();
    waited.sort_unstable();
    let median = waited[waited.len() / 2];
    assert!(waited.len() > 80 && median < 2 * S, "{} told, after {median} in the middle", waited.len());
}

#[test]
fn what_is_worth_most_is_served_while_the_rest_is_told() {
    let (served, told) = overloaded(|id| if id % 4 == 0 { PRECIOUS } else { SAFE });
    let precious = |id: &u64| id.is_multiple_of(4);
    assert!(told.iter().all(|(id, _)| !precious(id)), "none of them is given up: {told:?}");
    assert!(served.iter().filter(|(id, _)| precious(id)).all(|(_, waited)| *waited < S));
}

#[test]
fn a_stewards_word_is_heeded_while_it_is_fresh_and_only_for_who_cannot_start_in_time() {
    let told = |levels: Vec<(u16, u8, u8)>, later: Micros| {
        let mut rig = Rig::listed(Settings { slots: 1, ..settings() });
        rig.arrive(1, SAFE, 1);
        let destination = DestinationId(1);
        rig.event(Event::Waits { destination, waits: MinimumWaits::from_levels(levels) });
        rig.pass(later);
        let mut ends = ended(&rig.arrive(2, SAFE, 1));
        ends.extend(ended(&rig.arrive(3, PRECIOUS, 1)));
        ends
    };
    assert_eq!(told(vec![(1000, 210, 210)], 0), [(2, true)], "21 s for what has 20");
    assert_eq!(told(vec![(1000, 190, 190)], 0), [], "it starts in time");
    assert_eq!(told(vec![(1000, 210, 210)], 3 * S), [], "that was said long ago");
    assert_eq!(told(vec![(3000, 0, 0), (1000, 210, 210)], 0), [(2, true)], "what is worth more goes first");
}

#[test]
fn nothing_is_told_of_a_destination_that_is_in_trouble() {
    let mut rig = Rig::listed(Settings { slots: 1, ..settings() });
    rig.arrive(1, SAFE, 1);
    rig.done(1, 1, Outcome::Error);
    let destination = DestinationId(1);
    let waits = MinimumWaits::from_levels(vec![(9000, 250, 250)]);
    assert_eq!(ended(&rig.event(Event::Waits { destination, waits })), [], "it may be back at any time");
}

#[test]
fn what_is_worth_more_but_late_is_not_told_while_lesser_ones_that_are_fresh_stand_before_it() {
    let mut rig = Rig::listed(Settings { slots: 1, ..settings() });
    for id in 1..=3 {
        rig.arrive(id, PRECIOUS, 1);
    }
    let destination = DestinationId(1);
    // At its late worth of 1.2 it would wait too long; the queue of its whole worth is short.
    let levels = vec![(3000, 0, 20), (1200, 250, 250)];
    rig.pass(10 * S);
    let waits = MinimumWaits::from_levels(levels.clone());
    assert_eq!(ended(&rig.event(Event::Waits { destination, waits })), []);
    // One of the least class has no such hope.
    assert_eq!(ended(&rig.arrive(4, SAFE, 1)), [(4, true)]);
    let waits = MinimumWaits::from_levels(vec![(3000, 0, 250), (1200, 250, 250)]);
    assert!(!ended(&rig.event(Event::Waits { destination, waits })).is_empty(), "its own queue is too long");
}

#[test]
fn who_is_turned_away_is_told_to_come_back_when_the_queue_may_have_gone() {
    let after = |steps: u8| {
        let mut rig = Rig::listed(Settings { slots: 1, ..settings() });
        rig.arrive(1, SAFE, 1);
        let destination = DestinationId(1);
        let levels = vec![(2000, 0, 0), (1000, steps, steps)];
        rig.event(Event::Waits { destination, waits: MinimumWaits::from_levels(levels) });
        rig.event(Event::Stop(rig.now + 100 * MS));
        let advice = |action: &Action| match action {
            Action::Refuse { after, .. } => *after,
            _ => None,
        };
        rig.arrive(2, SAFE, 1).iter().find_map(advice)
    };
    assert_eq!([0, 10, 22, 200].map(after), [1_500_000, 1_500_000, 2_200_000, 3_000_000].map(Some));
}
