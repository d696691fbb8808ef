//! The module under permits of stewards: when it asks, what it waits for, and what it does alone.

mod rig;
use rig::*;
use tulipfall::interface::*;

/// One of a hundred, with destination 1 at 40 calls a second and 2 at 4,000: there each may call as it likes.
fn one_of_many() -> Rig {
    let mut rig = Rig::new(Settings { senders: 100, stewards: true, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 40.0), entry(2, 2, 4000.0)]);
    rig
}

fn permit(rig: &mut Rig, permits: u16) -> Vec<u64> {
    sent(&rig.event(Event::Permitted { destination: DestinationId(1), permits, few: false }))
}

fn wanted(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let want = |action: &Action| match action {
        Action::Want { destination: DestinationId(1), tiers } => Some(tiers.clone()),
        _ => None,
    };
    actions.iter().filter_map(want).collect()
}

#[test]
fn where_a_fleet_shares_a_rate_calls_start_as_a_steward_permits_and_by_worth() {
    let mut rig = one_of_many();
    assert_eq!(sent(&rig.arrive(1, SAFE, 2)), [1], "where its own part is a call at any time it asks nobody");
    let first = rig.arrive(2, SAFE, 1);
    assert_eq!((sent(&first), wanted(&first)), (vec![], vec![vec![(1000, 1)]]));
    let second = rig.arrive(3, PRECIOUS, 1);
    assert_eq!((sent(&second), wanted(&second)), (vec![], vec![vec![(3000, 1), (1000, 1)]]));
    assert_eq!(permit(&mut rig, 1), [3]);
    assert_eq!(permit(&mut rig, 0), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(900 * MS))), [] as [u64; 0], "a steward that is heard is waited for");
    assert_eq!(permit(&mut rig, 1), [2]);
}

#[test]
fn a_sender_that_hears_no_steward_goes_on_alone() {
    let mut rig = one_of_many();
    rig.arrive(1, SAFE, 1);
    let start = rig.now;
    let at = sent_at(&rig.pass(2 * S));
    assert!(at.len() == 1 && at[0].0 - start <= S, "it does not wait for long: {at:?}");
    assert_eq!(sent(&rig.arrive(2, SAFE, 1)), [2], "and not again");
}

#[test]
fn a_permit_ends_no_wait_but_spares_the_turn_after_a_failure() {
    let mut rig = one_of_many();
    rig.arrive(1, SAFE, 1);
    assert_eq!(permit(&mut rig, 1), [1]);
    rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!(permit(&mut rig, 1), [1], "whose turn it is over the fleet is the steward's to say");
    let told = rig.done(1, 1, Outcome::Full(Some(S)));
    assert!(wanted(&told).iter().all(Vec::is_empty), "nothing is wanted within a wait: {told:?}");
    assert_eq!(permit(&mut rig, 3), [] as [u64; 0], "nor sent");
    rig.now += S;
    assert_eq!(sent(&only(rig.pass(200 * MS))), [] as [u64; 0]);
    assert_eq!(permit(&mut rig, 1), [1]);
}

#[test]
fn a_refusal_among_a_hundred_does_not_end_what_waits_for_a_steward() {
    let mut rig = one_of_many();
    for id in 1..=3 {
        rig.arrive(id, SAFE, 1);
    }
    assert_eq!(permit(&mut rig, 1), [1]);
    let refused = rig.done(1, 1, Outcome::Full(None));
    assert_eq!(ended(&refused), [], "{refused:?}");
    assert_eq!(ended(&only(rig.pass(800 * MS))), []);
}

#[test]
fn what_one_sender_learns_of_connections_all_heed() {
    let mut rig = one_of_many();
    rig.arrive(1, SAFE, 1);
    rig.event(Event::Permitted { destination: DestinationId(1), permits: 1, few: true });
    rig.now += 100 * MS;
    let closed = rig.done(1, 1, Outcome::Ok);
    assert!(closed.contains(&Action::Close(TargetId(1))), "{closed:?}");
}

/// With all slots taken nothing is asked for, and no steward is heard meanwhile.
#[test]
fn what_waits_for_a_slot_is_not_given_up_where_a_steward_leads() {
    let mut rig = Rig::new(Settings { senders: 100, stewards: true, slots: 2, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 10.0), entry(2, 2, 4000.0)]);
    rig.arrive(1, SAFE, 1);
    permit(&mut rig, 1);
    rig.done(1, 1, Outcome::ConnectFailed);
    rig.arrive(2, SAFE, 2);
    rig.arrive(3, SAFE, 2);
    let later = only(rig.pass(1500 * MS));
    assert_eq!(ended(&later), [], "message 1 waits for a slot: {later:?}");
}

#[test]
fn a_few_senders_ask_nobody() {
    let mut rig = Rig::new(Settings { senders: 3, stewards: true, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 8.0)]);
    let first = rig.arrive(1, SAFE, 1);
    assert_eq!((sent(&first), wanted(&first)), (vec![1], vec![]));
}
