//! Load shedding: messages that are not expected to start in time are refused at once, by the sender's own queue or by
//! the waits that the limit coordinator reports.

mod harness;

use harness::*;
use overload::waits::Waits;
use tulipfall::interface::*;

/// Ids of messages, and how long they waited.
type Waited = Vec<(u64, Micros)>;

/// Simulates a destination that serves one call per 100 ms, while a message with a deadline of 4 s arrives every 40 ms.
/// Returns the messages sent and the messages given up.
fn simulate_overload(class: impl Fn(u64) -> usize) -> (Waited, Waited) {
    let mut classes = settings().classes;
    classes.iter_mut().for_each(|class| (class.aim, class.deadline) = (S, 4 * S));
    let mut harness = Harness::with_endpoints(Settings { classes, slots: 2, max_held: 1000, ..settings() });
    let (mut served, mut given_up) = (vec![], vec![]);
    let (mut in_flight, mut arrived_at) = (None, std::collections::BTreeMap::new());
    for step in 0..1500u64 {
        let mut actions = vec![];
        if step % 4 == 0 {
            let id = step / 4 + 1;
            arrived_at.insert(id, harness.now);
            let due = harness.now + 4 * S;
            let destination = DestinationId(1);
            let arrival =
                Arrival { id: MessageId(id), class: class(id), tenant: None, key: None, due, destination };
            actions.extend(harness.event(Event::Arrival(arrival)));
        }
        if step % 10 == 0
            && let Some(id) = in_flight.take()
        {
            actions.extend(harness.complete(id, 1, Outcome::Ok));
        }
        let now = harness.now;
        actions.extend(without_times(harness.advance(10 * MS)));
        if let Some(id) = sent(&actions).first() {
            in_flight = Some(*id);
            served.push((*id, now - arrived_at[id]));
        }
        given_up.extend(ended(&actions).into_iter().map(|(id, _)| (id, now - arrived_at[&id])));
    }
    (served, given_up)
}

#[test]
fn message_that_cannot_start_in_time_is_given_up_seconds_before_it_is_due() {
    let (served, given_up) = simulate_overload(|_| IDEMPOTENT);
    assert!(served.len() > 120, "calls go on: {}", served.len());
    let mut waited: Vec<Micros> = given_up.iter().skip(given_up.len() / 3).map(|(_, after)| *after).collect();
    waited.sort_unstable();
    let median = waited[waited.len() / 2];
    assert!(waited.len() > 80 && median < 2 * S, "{} given up, after a median of {median} us", waited.len());
}

#[test]
fn highest_value_is_served_while_others_are_given_up() {
    let (served, given_up) = simulate_overload(|id| if id % 4 == 0 { HIGH_VALUE } else { IDEMPOTENT });
    let high_value = |id: &u64| id.is_multiple_of(4);
    assert!(given_up.iter().all(|(id, _)| !high_value(id)), "none of them is given up: {given_up:?}");
    assert!(served.iter().filter(|(id, _)| high_value(id)).all(|(_, waited)| *waited < S));
}

#[test]
fn reported_waits_end_only_messages_that_start_too_late_while_the_report_is_valid() {
    let given_up = |levels: Vec<(u16, u8, u8)>, later: Micros| {
        let mut harness = Harness::with_endpoints(Settings { slots: 1, ..settings() });
        harness.arrive(1, IDEMPOTENT, 1);
        let destination = DestinationId(1);
        harness.event(Event::QueueWaits { destination, waits: Waits::told(levels) });
        harness.advance(later);
        let mut ends = ended(&harness.arrive(2, IDEMPOTENT, 1));
        ends.extend(ended(&harness.arrive(3, HIGH_VALUE, 1)));
        ends
    };
    assert_eq!(given_up(vec![(1000, 210, 210)], 0), [(2, true)], "a wait of 21 s with 20 s left");
    assert_eq!(given_up(vec![(1000, 190, 190)], 0), [], "a wait of 19 s with 20 s left");
    assert_eq!(given_up(vec![(1000, 210, 210)], 3 * S), [], "the report has expired");
    assert_eq!(
        given_up(vec![(3000, 0, 0), (1000, 210, 210)], 0),
        [(2, true)],
        "higher values are sent first"
    );
}

#[test]
fn nothing_is_given_up_by_estimate_during_a_failure() {
    let mut harness = Harness::with_endpoints(Settings { slots: 1, ..settings() });
    harness.arrive(1, IDEMPOTENT, 1);
    harness.complete(1, 1, Outcome::Error);
    let destination = DestinationId(1);
    let waits = Waits::told(vec![(9000, 250, 250)]);
    assert_eq!(
        ended(&harness.event(Event::QueueWaits { destination, waits })),
        [],
        "the destination may return at any time"
    );
}

#[test]
fn late_message_of_higher_value_is_kept_if_the_queue_at_its_full_value_is_short() {
    let mut harness = Harness::with_endpoints(Settings { slots: 1, ..settings() });
    for id in 1..=3 {
        harness.arrive(id, HIGH_VALUE, 1);
    }
    let destination = DestinationId(1);
    // At its late value of 1.2 it would wait too long, but the queue at its full value is short.
    let levels = vec![(3000, 0, 20), (1200, 250, 250)];
    harness.advance(10 * S);
    let waits = Waits::told(levels.clone());
    assert_eq!(ended(&harness.event(Event::QueueWaits { destination, waits })), []);
    // A message of the least valuable class is judged by its present value alone.
    assert_eq!(ended(&harness.arrive(4, IDEMPOTENT, 1)), [(4, true)]);
    let waits = Waits::told(vec![(3000, 0, 250), (1200, 250, 250)]);
    assert!(
        !ended(&harness.event(Event::QueueWaits { destination, waits })).is_empty(),
        "the queue at its full value is too long"
    );
}

#[test]
fn refused_client_is_advised_to_retry_after_the_queue_wait() {
    let after = |steps: u8| {
        let mut harness = Harness::with_endpoints(Settings { slots: 1, ..settings() });
        harness.arrive(1, IDEMPOTENT, 1);
        let destination = DestinationId(1);
        let levels = vec![(2000, 0, 0), (1000, steps, steps)];
        harness.event(Event::QueueWaits { destination, waits: Waits::told(levels) });
        harness.event(Event::Shutdown(harness.now + 100 * MS));
        let advice = |action: &Action| match action {
            Action::Refuse { retry_after, .. } => *retry_after,
            _ => None,
        };
        harness.arrive(2, IDEMPOTENT, 1).iter().find_map(advice)
    };
    assert_eq!([0, 10, 22, 200].map(after), [1_500_000, 1_500_000, 2_200_000, 3_000_000].map(Some));
}
