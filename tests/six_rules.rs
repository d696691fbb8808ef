//! The six delivery rules: no loss, no double effect, draining, fail-back, order and server-requested waits.

mod harness;
use harness::*;
use tulipfall::interface::*;

#[test]
fn no_loss_message_that_cannot_be_sent_is_refused_once_by_its_due_time() {
    let mut harness = Harness::with_default_settings();
    let start = harness.now;
    assert_eq!(
        harness.arrive(1, IDEMPOTENT, 9).iter().filter(|a| !matches!(a, Action::SetTimer { .. })).count(),
        0
    );
    let all = harness.advance(30 * S);
    let (at, _) = *all.iter().find(|(_, a)| matches!(a, Action::Refuse { .. })).expect("a refusal");
    assert!(at <= start + 20 * S);
    assert_eq!(ended(&without_times(all)), [(1, true)], "refused once");
}

#[test]
fn no_loss_one_answer_if_outcome_withdrawal_and_timer_coincide() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, NON_IDEMPOTENT, 1);
    harness.now += 20 * S;
    let mut all = harness.complete(1, 1, Outcome::TimedOut);
    all.extend(harness.event(Event::Withdrawn(MessageId(1))));
    all.extend(harness.event(Event::Timer(1)));
    assert_eq!(ended(&all), [(1, false)]);
    assert_eq!(sent(&all), [] as [u64; 0]);
    // After a withdrawal in flight, the message gets no answer and no further attempt.
    harness.arrive(2, IDEMPOTENT, 2);
    let mut all = harness.event(Event::Withdrawn(MessageId(2)));
    all.extend(harness.complete(2, 2, Outcome::Full(None)));
    all.extend(without_times(harness.advance(30 * S)));
    assert_eq!(ended(&all), []);
    assert_eq!(sent(&all), [] as [u64; 0]);
}

#[test]
fn no_loss_message_is_refused_after_its_last_attempt() {
    let mut harness = Harness::new(Settings { max_attempts: 2, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 4.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    assert_eq!(ended(&harness.complete(1, 1, Outcome::Full(None))), []);
    assert_eq!(sent(&without_times(harness.advance(S))), [1]);
    assert_eq!(
        ended(&harness.complete(1, 1, Outcome::Full(None))),
        [(1, true)],
        "the client is answered at once"
    );
}

#[test]
fn no_double_effect_non_idempotent_message_is_retried_only_if_it_did_not_run() {
    for outcome in [Outcome::TimedOut, Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::with_default_settings();
        harness.arrive(1, NON_IDEMPOTENT, 1);
        harness.now += MS;
        assert_eq!(ended(&harness.complete(1, 1, outcome)), [(1, false)], "{outcome:?}");
    }
    for outcome in [Outcome::Full(None), Outcome::ConnectFailed, Outcome::Skipped] {
        let mut harness = Harness::with_default_settings();
        harness.arrive(1, NON_IDEMPOTENT, 1);
        harness.now += MS;
        let mut all = harness.complete(1, 1, outcome);
        all.extend(without_times(harness.advance(5 * S)));
        assert_eq!(ended(&all), [], "{outcome:?}");
        assert_eq!(sent(&all), [1], "{outcome:?}");
    }
}

#[test]
fn no_double_effect_deduplication_window_starts_with_earliest_attempt_that_may_have_run() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, KEYED, 1);
    harness.now += 4 * S;
    harness.complete(1, 1, Outcome::TimedOut);
    let again = sent_at(&harness.advance(S));
    assert_eq!(again.len(), 1, "a retry inside the window");
    // The second attempt fails at 5.9 s. From 6 s on nothing may be sent, whatever its outcome.
    harness.now += 900 * MS;
    let mut ends = ended(&harness.complete(1, 1, Outcome::ConnectFailed));
    let all = harness.advance(20 * S);
    assert!(sent_at(&all).iter().all(|(at, _)| *at < 56 * S), "{all:?}");
    ends.extend(ended(&without_times(all)));
    assert_eq!(ends.len(), 1);
}

#[test]
fn no_double_effect_zone_scoped_key_is_not_retried_in_another_zone_and_fails() {
    let mut given = settings();
    given.classes[KEYED].effect = Effect::Keyed { window: 6 * S, scope: DedupScope::Zone };
    let mut harness = Harness::new(given);
    harness.list(ListUpdate::Full, vec![entry(1, 1, 4.0)]);
    harness.arrive(1, KEYED, 1);
    harness.list(ListUpdate::Full, vec![EndpointEntry { zone: 1, ..entry(2, 1, 4.0) }]);
    harness.now += MS;
    let mut all = harness.complete(1, 1, Outcome::Reset);
    all.extend(without_times(harness.advance(20 * S)));
    assert_eq!(sent(&all), [] as [u64; 0]);
    assert_eq!(ended(&all), [(1, false)]);
}

#[test]
fn drains_nothing_is_sent_to_draining_or_removed_endpoints() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, IDEMPOTENT, 1);
    harness
        .list(ListUpdate::Changes, vec![EndpointEntry { state: ServiceState::Draining, ..entry(1, 1, 4.0) }]);
    assert_eq!(sent(&harness.arrive(2, IDEMPOTENT, 1)), [] as [u64; 0]);
    harness.now += MS;
    assert_eq!(sent(&harness.complete(1, 1, Outcome::Full(None))), [] as [u64; 0]);
    assert_eq!(
        sent(&without_times(harness.advance(5 * S))),
        [] as [u64; 0],
        "queued messages are not sent either"
    );
    // A full list without the endpoint, then an update that lists it again.
    harness.list(ListUpdate::Full, vec![entry(2, 2, 4.0)]);
    assert_eq!(sent(&without_times(harness.advance(S))), [] as [u64; 0]);
    harness.list(ListUpdate::Changes, vec![entry(1, 1, 4.0)]);
    harness.advance(S);
    assert!(
        !sent(&harness.arrive(3, IDEMPOTENT, 1)).is_empty()
            || !sent(&without_times(harness.advance(S))).is_empty()
    );
}

/// Ten messages are held for endpoint 1, where all connections so far failed.
fn after_failed_connects() -> Harness {
    let mut harness = Harness::with_default_settings();
    for id in 1..=10 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    let mut in_flight: Vec<u64> = (1..=5).collect();
    harness.now += S;
    while let Some(id) = in_flight.pop() {
        in_flight.extend(sent(&harness.complete(id, 1, Outcome::ConnectFailed)));
    }
    harness
}

#[test]
fn fail_back_unavailable_destination_gets_trial_calls_within_the_recovery_budget() {
    let mut harness = after_failed_connects();
    // Twice (overload multiple) 0.2 (cold capacity) of 4 calls per second: one call per 625 ms.
    let mut times = vec![];
    for _ in 0..200 {
        for (at, id) in sent_at(&harness.advance(50 * MS)) {
            times.push(at);
            harness.complete(id, 1, Outcome::ConnectFailed);
        }
    }
    assert!(times.len() >= 3, "trial calls go on: {times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] >= 625 * MS), "{times:?}");
}

#[test]
fn fail_back_rate_grows_after_the_first_success() {
    let mut harness = after_failed_connects();
    let (_, id) = *sent_at(&harness.advance(800 * MS)).first().expect("a trial call");
    harness.complete(id, 1, Outcome::ConnectFailed);
    let (trial, id) = *sent_at(&harness.advance(800 * MS)).first().expect("another trial call");
    harness.complete(id, 1, Outcome::Ok);
    let mut times = vec![trial];
    for id in 100..180 {
        harness.arrive(id, IDEMPOTENT, 1);
        let mut now: Vec<(Micros, u64)> =
            sent(&harness.last_actions.clone()).into_iter().map(|id| (harness.now, id)).collect();
        now.extend(sent_at(&harness.advance(50 * MS)));
        for (at, id) in now {
            times.push(at);
            harness.complete(id, 1, Outcome::Ok);
        }
    }
    // In the first window of 2 s at most twice the capacity, which grows from 0.2 to 0.36 of 4 calls per second.
    let early = times.iter().filter(|at| **at <= trial + 2 * S).count();
    assert!(early <= 5, "{early}: {times:?}");
    let late = times.iter().filter(|at| **at > trial + 2 * S && **at <= trial + 4 * S).count();
    assert!(late > 2, "the rate grows: {times:?}");
}

#[test]
fn order_one_message_per_key_at_a_time_with_a_pause_after_a_time_out() {
    let mut harness = Harness::with_default_settings();
    assert_eq!(sent(&harness.arrive_keyed(1, NON_IDEMPOTENT, 1, Some("k"))), [1]);
    assert_eq!(
        sent(&harness.arrive_keyed(2, HIGH_VALUE, 2, Some("k"))),
        [] as [u64; 0],
        "the key applies across ordered classes"
    );
    assert_eq!(sent(&harness.arrive_keyed(3, HIGH_VALUE, 2, Some("other"))), [3]);
    harness.now += S;
    let at = harness.now;
    assert_eq!(sent(&harness.complete(1, 1, Outcome::TimedOut)), [] as [u64; 0], "the key is paused");
    assert_eq!(sent_at(&harness.advance(S)), [(at + 100 * MS, 2)]);
}

#[test]
fn order_withdrawn_message_blocks_its_key_until_its_outcome() {
    let mut harness = Harness::with_default_settings();
    harness.arrive_keyed(1, NON_IDEMPOTENT, 1, Some("k"));
    harness.arrive_keyed(2, NON_IDEMPOTENT, 1, Some("k"));
    assert_eq!(sent(&harness.event(Event::Withdrawn(MessageId(1)))), [] as [u64; 0]);
    assert_eq!(sent(&without_times(harness.advance(S))), [] as [u64; 0]);
    assert_eq!(sent(&harness.complete(1, 1, Outcome::Ok)), [2]);
}

#[test]
fn waits_apply_to_the_whole_destination() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    let requested_at = harness.now;
    harness.complete(1, 1, Outcome::Full(Some(3 * S)));
    assert_eq!(sent(&harness.arrive(2, HIGH_VALUE, 1)), [] as [u64; 0]);
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 2)), [3], "other destinations are not affected");
    let first = sent_at(&harness.advance(5 * S))[0];
    assert_eq!(first, (requested_at + 3 * S, 2));
}

#[test]
fn waits_apply_from_the_first_outcome_of_a_batched_call() {
    let mut harness = Harness::new(settings());
    harness.list(ListUpdate::Full, vec![EndpointEntry { kind: 1, ..entry(1, 1, 4.0) }]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.arrive(2, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(Some(3 * S)));
    harness.now += MS;
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 1)), [] as [u64; 0]);
    assert_eq!(sent(&without_times(harness.advance(2 * S))), [] as [u64; 0]);
}

#[test]
fn waits_apply_to_one_route_if_routes_are_separate() {
    let mut harness = Harness::new(settings());
    harness.list(
        ListUpdate::Full,
        vec![EndpointEntry { kind: 2, ..entry(1, 1, 4.0) }, EndpointEntry { kind: 2, ..entry(2, 1, 4.0) }],
    );
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    let again = harness.complete(1, 1, Outcome::Full(Some(3 * S)));
    assert!(again.iter().any(|a| matches!(a, Action::Send { target: TargetId(2), .. })), "{again:?}");
    let mut later = harness.arrive(2, IDEMPOTENT, 1);
    later.extend(without_times(harness.advance(2 * S)));
    assert!(!later.iter().any(|a| matches!(a, Action::Send { target: TargetId(1), .. })), "{later:?}");
}
