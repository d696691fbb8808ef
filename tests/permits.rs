//! The decision module with limit coordinators: when it sends requests, when it waits for grants, and what it does without them.

mod rig;
use rig::*;
use tulipfall::interface::*;

/// Returns one relay of a hundred. Destination 1 has a limit of 40 calls per second. That of destination 2, 4000, is so high that
/// no relay needs grants.
fn one_of_a_hundred() -> Rig {
    let mut rig = Rig::new(Settings { senders: 100, stewards: true, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 40.0), entry(2, 2, 4000.0)]);
    rig
}

fn grant(rig: &mut Rig, permits: u16) -> Vec<u64> {
    sent(&rig.event(Event::Permitted { destination: DestinationId(1), permits, few: false }))
}

fn requests(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let request = |action: &Action| match action {
        Action::Want { destination: DestinationId(1), tiers } => Some(tiers.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

#[test]
fn in_a_fleet_calls_start_by_grant_in_priority_order() {
    let mut rig = one_of_a_hundred();
    assert_eq!(sent(&rig.arrive(1, SAFE, 2)), [1], "no request where its own share suffices");
    let first = rig.arrive(2, SAFE, 1);
    assert_eq!((sent(&first), requests(&first)), (vec![], vec![vec![(1000, 1)]]));
    let second = rig.arrive(3, PRECIOUS, 1);
    assert_eq!((sent(&second), requests(&second)), (vec![], vec![vec![(3000, 1), (1000, 1)]]));
    assert_eq!(grant(&mut rig, 1), [3]);
    assert_eq!(grant(&mut rig, 0), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(900 * MS))), [] as [u64; 0], "a coordinator that answers is waited for");
    assert_eq!(grant(&mut rig, 1), [2]);
}

#[test]
fn without_a_coordinator_a_relay_calls_by_local_pacing() {
    let mut rig = one_of_a_hundred();
    rig.arrive(1, SAFE, 1);
    let start = rig.now;
    let at = sent_at(&rig.pass(2 * S));
    assert!(at.len() == 1 && at[0].0 - start <= S, "the wait is bounded: {at:?}");
    assert_eq!(sent(&rig.arrive(2, SAFE, 1)), [2], "no second wait");
}

#[test]
fn a_grant_replaces_the_delay_after_a_failure_but_not_a_requested_wait() {
    let mut rig = one_of_a_hundred();
    rig.arrive(1, SAFE, 1);
    assert_eq!(grant(&mut rig, 1), [1]);
    rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!(grant(&mut rig, 1), [1], "the coordinator decides when the fleet calls again");
    let actions = rig.done(1, 1, Outcome::Full(Some(S)));
    assert!(requests(&actions).iter().all(Vec::is_empty), "no request during the wait: {actions:?}");
    assert_eq!(grant(&mut rig, 3), [] as [u64; 0], "no call during the wait");
    rig.now += S;
    assert_eq!(sent(&only(rig.pass(200 * MS))), [] as [u64; 0]);
    assert_eq!(grant(&mut rig, 1), [1]);
}

#[test]
fn one_refusal_does_not_end_messages_that_wait_for_grants() {
    let mut rig = one_of_a_hundred();
    for id in 1..=3 {
        rig.arrive(id, SAFE, 1);
    }
    assert_eq!(grant(&mut rig, 1), [1]);
    let refused = rig.done(1, 1, Outcome::Full(None));
    assert_eq!(ended(&refused), [], "{refused:?}");
    assert_eq!(ended(&only(rig.pass(800 * MS))), []);
}

#[test]
fn a_connection_limit_seen_by_another_relay_applies() {
    let mut rig = one_of_a_hundred();
    rig.arrive(1, SAFE, 1);
    rig.event(Event::Permitted { destination: DestinationId(1), permits: 1, few: true });
    rig.now += 100 * MS;
    let closed = rig.done(1, 1, Outcome::Ok);
    assert!(closed.contains(&Action::Close(TargetId(1))), "{closed:?}");
}

/// While all call slots are in use the relay sends no requests, so no coordinator answers. A message that waits for a slot must
/// not be given up because of that.
#[test]
fn a_message_that_waits_for_a_slot_is_not_given_up() {
    let mut rig = Rig::new(Settings { senders: 100, stewards: true, slots: 2, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 10.0), entry(2, 2, 4000.0)]);
    rig.arrive(1, SAFE, 1);
    grant(&mut rig, 1);
    rig.done(1, 1, Outcome::ConnectFailed);
    rig.arrive(2, SAFE, 2);
    rig.arrive(3, SAFE, 2);
    let actions = only(rig.pass(1500 * MS));
    assert_eq!(ended(&actions), [], "message 1 waits for a slot: {actions:?}");
}

#[test]
fn a_small_fleet_sends_no_requests() {
    let mut rig = Rig::new(Settings { senders: 3, stewards: true, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 8.0)]);
    let first = rig.arrive(1, SAFE, 1);
    assert_eq!((sent(&first), requests(&first)), (vec![1], vec![]));
}
