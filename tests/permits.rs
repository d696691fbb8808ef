//! The module under permits of stewards: when it asks, what it waits for, and what it does alone.

mod harness;
use harness::*;
use tulipfall::interface::*;

/// One of a hundred, with destination 1 at 40 calls a second and 2 at 4,000: there each may call as it likes.
fn one_of_many() -> Harness {
    let mut harness = Harness::new(Settings { senders: 100, coordinators: true, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 40.0), entry(2, 2, 4000.0)]);
    harness
}

fn permit(harness: &mut Harness, permits: u16) -> Vec<u64> {
    sent(&harness.event(Event::Granted {
        destination: DestinationId(1),
        grants: permits,
        few_connections: false,
    }))
}

fn wanted(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let want = |action: &Action| match action {
        Action::RequestGrants { destination: DestinationId(1), waiting } => Some(waiting.clone()),
        _ => None,
    };
    actions.iter().filter_map(want).collect()
}

#[test]
fn where_a_fleet_shares_a_rate_calls_start_as_a_steward_permits_and_by_worth() {
    let mut harness = one_of_many();
    assert_eq!(
        sent(&harness.arrive(1, IDEMPOTENT, 2)),
        [1],
        "where its own part is a call at any time it asks nobody"
    );
    let first = harness.arrive(2, IDEMPOTENT, 1);
    assert_eq!((sent(&first), wanted(&first)), (vec![], vec![vec![(1000, 1)]]));
    let second = harness.arrive(3, HIGH_VALUE, 1);
    assert_eq!((sent(&second), wanted(&second)), (vec![], vec![vec![(3000, 1), (1000, 1)]]));
    assert_eq!(permit(&mut harness, 1), [3]);
    assert_eq!(permit(&mut harness, 0), [] as [u64; 0]);
    assert_eq!(
        sent(&without_times(harness.advance(900 * MS))),
        [] as [u64; 0],
        "a steward that is heard is waited for"
    );
    assert_eq!(permit(&mut harness, 1), [2]);
}

#[test]
fn a_sender_that_hears_no_steward_goes_on_alone() {
    let mut harness = one_of_many();
    harness.arrive(1, IDEMPOTENT, 1);
    let start = harness.now;
    let at = sent_at(&harness.advance(2 * S));
    assert!(at.len() == 1 && at[0].0 - start <= S, "it does not wait for long: {at:?}");
    assert_eq!(sent(&harness.arrive(2, IDEMPOTENT, 1)), [2], "and not again");
}

#[test]
fn a_permit_ends_no_wait_but_spares_the_turn_after_a_failure() {
    let mut harness = one_of_many();
    harness.arrive(1, IDEMPOTENT, 1);
    assert_eq!(permit(&mut harness, 1), [1]);
    harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!(permit(&mut harness, 1), [1], "whose turn it is over the fleet is the steward's to say");
    let told = harness.complete(1, 1, Outcome::Full(Some(S)));
    assert!(wanted(&told).iter().all(Vec::is_empty), "nothing is wanted within a wait: {told:?}");
    assert_eq!(permit(&mut harness, 3), [] as [u64; 0], "nor sent");
    harness.now += S;
    assert_eq!(sent(&without_times(harness.advance(200 * MS))), [] as [u64; 0]);
    assert_eq!(permit(&mut harness, 1), [1]);
}

#[test]
fn a_refusal_among_a_hundred_does_not_end_what_waits_for_a_steward() {
    let mut harness = one_of_many();
    for id in 1..=3 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    assert_eq!(permit(&mut harness, 1), [1]);
    let refused = harness.complete(1, 1, Outcome::Full(None));
    assert_eq!(ended(&refused), [], "{refused:?}");
    assert_eq!(ended(&without_times(harness.advance(800 * MS))), []);
}

#[test]
fn what_one_sender_learns_of_connections_all_heed() {
    let mut harness = one_of_many();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.event(Event::Granted { destination: DestinationId(1), grants: 1, few_connections: true });
    harness.now += 100 * MS;
    let closed = harness.complete(1, 1, Outcome::Ok);
    assert!(closed.contains(&Action::CloseIdle(TargetId(1))), "{closed:?}");
}

/// With all slots taken nothing is asked for, and no steward is heard meanwhile.
#[test]
fn what_waits_for_a_slot_is_not_given_up_where_a_steward_leads() {
    let mut harness = Harness::new(Settings { senders: 100, coordinators: true, slots: 2, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 10.0), entry(2, 2, 4000.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    permit(&mut harness, 1);
    harness.complete(1, 1, Outcome::ConnectFailed);
    harness.arrive(2, IDEMPOTENT, 2);
    harness.arrive(3, IDEMPOTENT, 2);
    let later = without_times(harness.advance(1500 * MS));
    assert_eq!(ended(&later), [], "message 1 waits for a slot: {later:?}");
}

#[test]
fn a_few_senders_ask_nobody() {
    let mut harness = Harness::new(Settings { senders: 3, coordinators: true, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 8.0)]);
    let first = harness.arrive(1, IDEMPOTENT, 1);
    assert_eq!((sent(&first), wanted(&first)), (vec![1], vec![]));
}
