//! The decision module with limit coordinators: when it sends requests, when it waits for grants, and what it does without them.

mod harness;
use harness::*;
use tulipfall::interface::*;

/// Returns one relay of a hundred. Destination 1 has a limit of 40 calls per second. That of destination 2, 4000, is so high that
/// no relay needs grants.
fn one_of_a_hundred() -> Harness {
    let mut harness = Harness::new(Settings { senders: 100, coordinators: true, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 40.0), entry(2, 2, 4000.0)]);
    harness
}

fn grant(harness: &mut Harness, grants: u16) -> Vec<u64> {
    sent(&harness.event(Event::Granted { destination: DestinationId(1), grants, few_connections: false }))
}

fn requests(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let request = |action: &Action| match action {
        Action::RequestGrants { destination: DestinationId(1), waiting } => Some(waiting.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

#[test]
fn in_a_fleet_calls_start_by_grant_in_priority_order() {
    let mut harness = one_of_a_hundred();
    assert_eq!(sent(&harness.arrive(1, IDEMPOTENT, 2)), [1], "no request where its own share suffices");
    let first = harness.arrive(2, IDEMPOTENT, 1);
    assert_eq!((sent(&first), requests(&first)), (vec![], vec![vec![(1000, 1)]]));
    let second = harness.arrive(3, HIGH_VALUE, 1);
    assert_eq!((sent(&second), requests(&second)), (vec![], vec![vec![(3000, 1), (1000, 1)]]));
    assert_eq!(grant(&mut harness, 1), [3]);
    assert_eq!(grant(&mut harness, 0), [] as [u64; 0]);
    assert_eq!(
        sent(&without_times(harness.advance(900 * MS))),
        [] as [u64; 0],
        "a coordinator that answers is waited for"
    );
    assert_eq!(grant(&mut harness, 1), [2]);
}

#[test]
fn without_a_coordinator_a_relay_calls_by_local_pacing() {
    let mut harness = one_of_a_hundred();
    harness.arrive(1, IDEMPOTENT, 1);
    let start = harness.now;
    let at = sent_at(&harness.advance(2 * S));
    assert!(at.len() == 1 && at[0].0 - start <= S, "the wait is bounded: {at:?}");
    assert_eq!(sent(&harness.arrive(2, IDEMPOTENT, 1)), [2], "no second wait");
}

#[test]
fn a_grant_replaces_the_delay_after_a_failure_but_not_a_requested_wait() {
    let mut harness = one_of_a_hundred();
    harness.arrive(1, IDEMPOTENT, 1);
    assert_eq!(grant(&mut harness, 1), [1]);
    harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!(grant(&mut harness, 1), [1], "the coordinator decides when the fleet calls again");
    let actions = harness.complete(1, 1, Outcome::Full(Some(S)));
    assert!(requests(&actions).iter().all(Vec::is_empty), "no request during the wait: {actions:?}");
    assert_eq!(grant(&mut harness, 3), [] as [u64; 0], "no call during the wait");
    harness.now += S;
    assert_eq!(sent(&without_times(harness.advance(200 * MS))), [] as [u64; 0]);
    assert_eq!(grant(&mut harness, 1), [1]);
}

#[test]
fn one_refusal_does_not_end_messages_that_wait_for_grants() {
    let mut harness = one_of_a_hundred();
    for id in 1..=3 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    assert_eq!(grant(&mut harness, 1), [1]);
    let refused = harness.complete(1, 1, Outcome::Full(None));
    assert_eq!(ended(&refused), [], "{refused:?}");
    assert_eq!(ended(&without_times(harness.advance(800 * MS))), []);
}

#[test]
fn a_connection_limit_seen_by_another_relay_applies() {
    let mut harness = one_of_a_hundred();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.event(Event::Granted { destination: DestinationId(1), grants: 1, few_connections: true });
    harness.now += 100 * MS;
    let closed = harness.complete(1, 1, Outcome::Ok);
    assert!(closed.contains(&Action::CloseIdle(TargetId(1))), "{closed:?}");
}

/// While all call slots are in use the relay sends no requests, so no coordinator answers. A message that waits for a slot must
/// not be given up because of that.
#[test]
fn a_message_that_waits_for_a_slot_is_not_given_up() {
    let mut harness = Harness::new(Settings { senders: 100, coordinators: true, slots: 2, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 10.0), entry(2, 2, 4000.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    grant(&mut harness, 1);
    harness.complete(1, 1, Outcome::ConnectFailed);
    harness.arrive(2, IDEMPOTENT, 2);
    harness.arrive(3, IDEMPOTENT, 2);
    let actions = without_times(harness.advance(1500 * MS));
    assert_eq!(ended(&actions), [], "message 1 waits for a slot: {actions:?}");
}

#[test]
fn a_small_fleet_sends_no_requests() {
    let mut harness = Harness::new(Settings { senders: 3, coordinators: true, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 8.0)]);
    let first = harness.arrive(1, IDEMPOTENT, 1);
    assert_eq!((sent(&first), requests(&first)), (vec![1], vec![]));
}
