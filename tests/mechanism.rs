//! The mechanism: free starts, one release per interval, doubling, restoring, order of release.

mod rig;
use rig::*;
use tulipfall::interface::*;

#[test]
fn starts_are_free_until_the_first_signal() {
    let mut rig = Rig::two();
    assert_eq!(sent(&rig.arrive(1, SAFE, 1)), [1]);
    assert_eq!(sent(&rig.arrive(2, SAFE, 1)), [2]);
    assert_eq!(sent(&rig.arrive(3, SAFE, 1)), [3]);
}

#[test]
fn one_release_per_interval_after_a_signal_doubled_by_the_next_and_restored_by_a_clean_outcome() {
    let mut rig = Rig::sturdy();
    let base = S / 4;
    for id in 1..=2 {
        rig.arrive(id, SAFE, 1);
    }
    rig.now += 10 * MS;
    rig.done(1, 1, Outcome::Full(None));
    // One signal: the interval is twice the base of a sender alone.
    let start = rig.now;
    let first = sent_at(&rig.pass(2 * base));
    assert_eq!(first, [(start + 2 * base, 1)]);
    rig.now += MS;
    let signal = rig.now;
    rig.done(1, 1, Outcome::Full(None));
    let second = sent_at(&rig.pass(4 * base));
    assert_eq!(second, [(signal + 4 * base, 1)], "a consecutive signal doubles");
    rig.now += MS;
    for id in 6..=8 {
        rig.arrive(id, SAFE, 1);
    }
    let released = second[0].0;
    rig.done(1, 1, Outcome::Ok);
    let after = sent_at(&rig.pass(2 * base));
    assert_eq!(after, [(released + base, 6), (released + 2 * base, 7)], "a clean outcome restores the base");
}

/// Too few connections say nothing of the pace: the message goes once a call of ours has ended, or a little later.
#[test]
fn an_endpoint_without_connections_is_waited_for_and_not_paced() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.arrive(2, SAFE, 1);
    rig.now += MS;
    assert_eq!(sent(&rig.done(2, 1, Outcome::Crowded)), [] as [u64; 0]);
    rig.now += 10 * MS;
    assert_eq!(sent(&rig.done(1, 1, Outcome::Ok)), [2]);
    assert_eq!(sent(&rig.arrive(3, SAFE, 1)), [] as [u64; 0], "one call is what its connections allowed");
    assert_eq!(sent(&only(rig.pass(S / 5))), [3], "one more is tried after a while");
}

#[test]
fn a_clump_refused_together_is_one_signal() {
    let mut rig = Rig::sturdy();
    for id in 1..=4 {
        rig.arrive(id, SAFE, 1);
    }
    rig.now += 10 * MS;
    let start = rig.now;
    for id in 1..=4 {
        rig.done(id, 1, Outcome::Full(None));
    }
    assert_eq!(sent_at(&rig.pass(S / 2)), [(start + S / 2, 1)]);
}

/// The order in which four seconds release what is held, each call answered well.
fn released(rig: &mut Rig) -> Vec<u64> {
    let mut order = vec![];
    for _ in 0..4 {
        let ids = sent(&only(rig.pass(S)));
        ids.iter().for_each(|id| drop(rig.done(*id, 1, Outcome::Ok)));
        order.extend(ids);
    }
    order
}

#[test]
fn worth_goes_first_then_arrival() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(None));
    rig.arrive(2, SAFE, 1);
    rig.arrive(3, PRECIOUS, 1);
    rig.arrive(4, PRECIOUS, 1);
    let order = released(&mut rig);
    assert_eq!(order, [3, 4, 1, 2]);
}

/// Where more comes than a destination takes, what is late waits for a gap instead of making all else late.
#[test]
fn worth_falls_with_lateness_and_what_is_in_time_goes_first() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(3 * S)));
    rig.arrive(2, PRECIOUS, 1);
    rig.pass(2 * S + S / 2);
    rig.arrive(3, SAFE, 1);
    rig.arrive(4, SAFE, 1);
    let order = released(&mut rig);
    // Late, the precious one is still worth more than one in time; the other is not.
    assert_eq!(order, [2, 3, 4, 1]);
}

/// A message with little time left is worth nothing soon; others of its worth can wait for it.
#[test]
fn what_loses_its_worth_first_goes_first() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(S)));
    rig.arrive(2, SAFE, 1);
    let (class, destination, due) = (SAFE, DestinationId(1), rig.now + S + S / 2);
    rig.event(Event::Arrival(Arrival { id: MessageId(3), class, tenant: None, key: None, due, destination }));
    let first = sent(&only(rig.pass(S + S / 4)));
    assert_eq!(first, [3]);
}

#[test]
fn without_a_listed_rate_the_interval_comes_from_recent_spacing_and_a_clean_outcome_ends_pacing() {
    let mut rig = Rig::new(Settings { listed_rates: false, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 1.0)]);
    rig.arrive(1, SAFE, 1);
    rig.now += 40 * MS;
    rig.arrive(2, SAFE, 1);
    rig.now += 10 * MS;
    let start = rig.now;
    rig.done(2, 1, Outcome::Full(None));
    assert_eq!(sent_at(&rig.pass(S)), [(start + 80 * MS, 2)]);
    rig.done(2, 1, Outcome::Ok);
    assert_eq!(sent(&rig.arrive(3, SAFE, 1)), [3]);
    assert_eq!(sent(&rig.arrive(4, SAFE, 1)), [4]);
}

#[test]
fn a_reported_limit_is_fresher_than_the_list() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.arrive(2, SAFE, 1);
    rig.now += MS;
    let start = rig.now;
    let report = Report { left: Some(0.0), limit: Some(2.0), wait: None };
    rig.event(Event::Done(Done {
        id: MessageId(1),
        attempt: 0,
        target: TargetId(1),
        outcome: Outcome::Full(None),
        took: MS,
        verdict: Outcome::Full(None).verdict(),
        report,
    }));
    assert_eq!(sent_at(&rig.pass(2 * S)), [(start + S, 1)], "twice half a second");
}

#[test]
fn a_batched_call_is_one_release_and_one_slot() {
    let mut rig = Rig::new(Settings { slots: 1, ..settings() });
    rig.list(ListForm::All, vec![Entry { kind: 1, ..entry(1, 1, 4.0) }]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    for id in 2..=7 {
        assert_eq!(sent(&rig.arrive(id, SAFE, 1)), [] as [u64; 0], "the slot is taken");
    }
    let released = sent(&rig.done(1, 1, Outcome::Ok));
    assert_eq!(released, [2, 3, 4, 5, 6]);
    rig.now += MS;
    for id in 2..=5 {
        assert_eq!(sent(&rig.done(id, 1, Outcome::Ok)), [] as [u64; 0], "the call is still out");
    }
    assert_eq!(sent(&rig.done(6, 1, Outcome::Ok)), [7]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::two();
        let mut all = vec![];
        for id in 1..=30 {
            all.extend(rig.arrive(id, (id % 4) as usize, 1 + (id % 2) as i64));
            let outcome = if id % 3 == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
            for action in rig.last.clone() {
                if let Action::Send { id, target, .. } = action {
                    rig.now += 20 * MS;
                    all.extend(rig.done(id.0, target.0, outcome));
                }
            }
            all.extend(only(rig.pass(100 * MS)));
        }
        all
    };
    assert_eq!(run(), run());
}
