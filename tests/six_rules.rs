//! The six rules, each with the guard that keeps it.

mod rig;
use rig::*;
use tulipfall::interface::*;

#[test]
fn no_loss_a_message_that_cannot_go_is_answered_before_its_time_is_up() {
    let mut rig = Rig::two();
    let start = rig.now;
    assert_eq!(rig.arrive(1, SAFE, 9).iter().filter(|a| !matches!(a, Action::Timer { .. })).count(), 0);
    let all = rig.pass(30 * S);
    let (at, _) = *all.iter().find(|(_, a)| matches!(a, Action::Refuse { .. })).expect("answered");
    assert!(at <= start + 20 * S);
    assert_eq!(ended(&only(all)), [(1, true)], "once");
}

#[test]
fn no_loss_one_answer_where_outcome_hang_up_and_timer_meet() {
    let mut rig = Rig::two();
    rig.arrive(1, UNSAFE, 1);
    rig.now += 20 * S;
    let mut all = rig.done(1, 1, Outcome::TimedOut);
    all.extend(rig.event(Event::Gone(MessageId(1))));
    all.extend(rig.event(Event::Timer(1)));
    assert_eq!(ended(&all), [(1, false)]);
    assert_eq!(sent(&all), [] as [u64; 0]);
    // Hung up while out: nothing more is owed or sent.
    rig.arrive(2, SAFE, 2);
    let mut all = rig.event(Event::Gone(MessageId(2)));
    all.extend(rig.done(2, 2, Outcome::Full(None)));
    all.extend(only(rig.pass(30 * S)));
    assert_eq!(ended(&all), []);
    assert_eq!(sent(&all), [] as [u64; 0]);
}

#[test]
fn no_loss_attempts_run_out() {
    let mut rig = Rig::new(Settings { max_attempts: 2, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 4.0)]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    assert_eq!(ended(&rig.done(1, 1, Outcome::Full(None))), []);
    assert_eq!(sent(&only(rig.pass(S))), [1]);
    assert_eq!(ended(&rig.done(1, 1, Outcome::Full(None))), [(1, true)], "given up is answered at once");
}

#[test]
fn no_double_effect_unsafe_is_repeated_only_when_it_cannot_have_run() {
    for outcome in [Outcome::TimedOut, Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::two();
        rig.arrive(1, UNSAFE, 1);
        rig.now += MS;
        assert_eq!(ended(&rig.done(1, 1, outcome)), [(1, false)], "{outcome:?}");
    }
    for outcome in [Outcome::Full(None), Outcome::ConnectFailed, Outcome::Skipped] {
        let mut rig = Rig::two();
        rig.arrive(1, UNSAFE, 1);
        rig.now += MS;
        let mut all = rig.done(1, 1, outcome);
        all.extend(only(rig.pass(5 * S)));
        assert_eq!(ended(&all), [], "{outcome:?}");
        assert_eq!(sent(&all), [1], "{outcome:?}");
    }
}

#[test]
fn no_double_effect_the_key_window_counts_from_the_earliest_attempt_that_may_have_run() {
    let mut rig = Rig::two();
    rig.arrive(1, KEYED, 1);
    rig.now += 4 * S;
    rig.done(1, 1, Outcome::TimedOut);
    let again = sent_at(&rig.pass(S));
    assert_eq!(again.len(), 1, "a repeat inside the window");
    // The second attempt dies at 5.9 s; from 6 s on nothing may go, whatever became of it.
    rig.now += 900 * MS;
    let mut ends = ended(&rig.done(1, 1, Outcome::ConnectFailed));
    let all = rig.pass(20 * S);
    assert!(sent_at(&all).iter().all(|(at, _)| *at < 56 * S), "{all:?}");
    ends.extend(ended(&only(all)));
    assert_eq!(ends.len(), 1);
}

#[test]
fn no_double_effect_a_zone_remembers_for_itself_and_its_message_is_not_refused() {
    let mut given = settings();
    given.classes[KEYED].effect = Effect::Keyed { window: 6 * S, group: Group::Zone };
    let mut rig = Rig::new(given);
    rig.list(ListForm::All, vec![entry(1, 1, 4.0)]);
    rig.arrive(1, KEYED, 1);
    rig.list(ListForm::All, vec![Entry { zone: 1, ..entry(2, 1, 4.0) }]);
    rig.now += MS;
    let mut all = rig.done(1, 1, Outcome::Reset);
    all.extend(only(rig.pass(20 * S)));
    assert_eq!(sent(&all), [] as [u64; 0]);
    assert_eq!(ended(&all), [(1, false)]);
}

#[test]
fn drains_nothing_new_goes_where_the_list_says_draining_or_gone() {
    let mut rig = Rig::two();
    rig.arrive(1, SAFE, 1);
    rig.list(ListForm::Changes, vec![Entry { listed: Listed::Draining, ..entry(1, 1, 4.0) }]);
    assert_eq!(sent(&rig.arrive(2, SAFE, 1)), [] as [u64; 0]);
    rig.now += MS;
    assert_eq!(sent(&rig.done(1, 1, Outcome::Full(None))), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(5 * S))), [] as [u64; 0], "queued messages neither");
    // A whole list without it, then one that names it again.
    rig.list(ListForm::All, vec![entry(2, 2, 4.0)]);
    assert_eq!(sent(&only(rig.pass(S))), [] as [u64; 0]);
    rig.list(ListForm::Changes, vec![entry(1, 1, 4.0)]);
    rig.pass(S);
    assert!(!sent(&rig.arrive(3, SAFE, 1)).is_empty() || !sent(&only(rig.pass(S))).is_empty());
}

/// Three connects in a row failed at endpoint 1; ten messages are held.
fn fallen() -> Rig {
    let mut rig = Rig::two();
    for id in 1..=10 {
        rig.arrive(id, SAFE, 1);
    }
    let mut out: Vec<u64> = (1..=5).collect();
    rig.now += S;
    while let Some(id) = out.pop() {
        out.extend(sent(&rig.done(id, 1, Outcome::ConnectFailed)));
    }
    rig
}

#[test]
fn fail_back_a_destination_that_is_down_gets_one_trial_at_a_time_within_the_budget() {
    let mut rig = fallen();
    // 0.2 of 4 a second, twice: a call each 625 ms may reach a cold destination.
    let mut times = vec![];
    for _ in 0..200 {
        for (at, id) in sent_at(&rig.pass(50 * MS)) {
            times.push(at);
            rig.done(id, 1, Outcome::ConnectFailed);
        }
    }
    assert!(times.len() >= 3, "it is still tried: {times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] >= 625 * MS), "{times:?}");
}

#[test]
fn fail_back_calls_ramp_up_from_the_first_success() {
    let mut rig = fallen();
    let (_, id) = *sent_at(&rig.pass(800 * MS)).first().expect("a trial");
    rig.done(id, 1, Outcome::ConnectFailed);
    let (trial, id) = *sent_at(&rig.pass(800 * MS)).first().expect("another");
    rig.done(id, 1, Outcome::Ok);
    let mut times = vec![trial];
    for id in 100..180 {
        rig.arrive(id, SAFE, 1);
        let mut now: Vec<(Micros, u64)> =
            sent(&rig.last.clone()).into_iter().map(|id| (rig.now, id)).collect();
        now.extend(sent_at(&rig.pass(50 * MS)));
        for (at, id) in now {
            times.push(at);
            rig.done(id, 1, Outcome::Ok);
        }
    }
    // In each window of 2 s no more than twice what it can do then: at 0.2 to 0.36 of 4 a second.
    let early = times.iter().filter(|at| **at <= trial + 2 * S).count();
    assert!(early <= 5, "{early}: {times:?}");
    let late = times.iter().filter(|at| **at > trial + 2 * S && **at <= trial + 4 * S).count();
    assert!(late > 2, "it ramps: {times:?}");
}

#[test]
fn order_one_at_a_time_by_key_with_rest_after_doubt() {
    let mut rig = Rig::two();
    assert_eq!(sent(&rig.arrive_keyed(1, UNSAFE, 1, Some("k"))), [1]);
    assert_eq!(
        sent(&rig.arrive_keyed(2, PRECIOUS, 2, Some("k"))),
        [] as [u64; 0],
        "all ordered classes share the key"
    );
    assert_eq!(sent(&rig.arrive_keyed(3, PRECIOUS, 2, Some("other"))), [3]);
    rig.now += S;
    let at = rig.now;
    assert_eq!(sent(&rig.done(1, 1, Outcome::TimedOut)), [] as [u64; 0], "the key rests");
    assert_eq!(sent_at(&rig.pass(S)), [(at + 100 * MS, 2)]);
}

#[test]
fn order_a_withdrawn_message_keeps_its_place_until_its_outcome() {
    let mut rig = Rig::two();
    rig.arrive_keyed(1, UNSAFE, 1, Some("k"));
    rig.arrive_keyed(2, UNSAFE, 1, Some("k"));
    assert_eq!(sent(&rig.event(Event::Gone(MessageId(1)))), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(S))), [] as [u64; 0]);
    assert_eq!(sent(&rig.done(1, 1, Outcome::Ok)), [2]);
}

#[test]
fn waits_hold_the_whole_destination_until_they_end() {
    let mut rig = Rig::sturdy();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    let told = rig.now;
    rig.done(1, 1, Outcome::Full(Some(3 * S)));
    assert_eq!(sent(&rig.arrive(2, PRECIOUS, 1)), [] as [u64; 0]);
    assert_eq!(sent(&rig.arrive(3, SAFE, 2)), [3], "others go on");
    let first = sent_at(&rig.pass(5 * S))[0];
    assert_eq!(first, (told + 3 * S, 2));
}

#[test]
fn waits_are_heeded_from_the_first_outcome_of_a_shared_call() {
    let mut rig = Rig::new(settings());
    rig.list(ListForm::All, vec![Entry { kind: 1, ..entry(1, 1, 4.0) }]);
    rig.arrive(1, SAFE, 1);
    rig.arrive(2, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(3 * S)));
    rig.now += MS;
    assert_eq!(sent(&rig.arrive(3, SAFE, 1)), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(2 * S))), [] as [u64; 0]);
}

#[test]
fn waits_hold_one_route_where_routes_are_apart() {
    let mut rig = Rig::new(settings());
    rig.list(
        ListForm::All,
        vec![Entry { kind: 2, ..entry(1, 1, 4.0) }, Entry { kind: 2, ..entry(2, 1, 4.0) }],
    );
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    let again = rig.done(1, 1, Outcome::Full(Some(3 * S)));
    assert!(again.iter().any(|a| matches!(a, Action::Send { target: TargetId(2), .. })), "{again:?}");
    let mut later = rig.arrive(2, SAFE, 1);
    later.extend(only(rig.pass(2 * S)));
    assert!(!later.iter().any(|a| matches!(a, Action::Send { target: TargetId(1), .. })), "{later:?}");
}
