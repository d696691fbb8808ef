//! Pacing and release order: unpaced starts, one call per interval, back-off and recovery of the interval.

mod harness;
use harness::*;
use tulipfall::interface::*;

#[test]
fn calls_are_not_paced_before_the_first_signal() {
    let mut harness = Harness::with_default_settings();
    assert_eq!(sent(&harness.arrive(1, IDEMPOTENT, 1)), [1]);
    assert_eq!(sent(&harness.arrive(2, IDEMPOTENT, 1)), [2]);
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 1)), [3]);
}

#[test]
fn signal_starts_pacing_second_signal_doubles_interval_and_success_restores_it() {
    let mut harness = Harness::without_recovery_limit();
    let base = S / 4;
    for id in 1..=2 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    harness.now += 10 * MS;
    harness.complete(1, 1, Outcome::Full(None));
    // After one signal the interval is twice the base interval.
    let start = harness.now;
    let first = sent_at(&harness.advance(2 * base));
    assert_eq!(first, [(start + 2 * base, 1)]);
    harness.now += MS;
    let signal = harness.now;
    harness.complete(1, 1, Outcome::Full(None));
    let second = sent_at(&harness.advance(4 * base));
    assert_eq!(second, [(signal + 4 * base, 1)], "a second signal in a row doubles the interval");
    harness.now += MS;
    for id in 6..=8 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    let released = second[0].0;
    harness.complete(1, 1, Outcome::Ok);
    let after = sent_at(&harness.advance(2 * base));
    assert_eq!(
        after,
        [(released + base, 6), (released + 2 * base, 7)],
        "a success restores the base interval"
    );
}

/// An endpoint that is out of connections causes no pacing: the message is sent after another call has ended, or after a
/// delay.
#[test]
fn endpoint_out_of_connections_limits_calls_in_flight_without_pacing() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.arrive(2, IDEMPOTENT, 1);
    harness.now += MS;
    assert_eq!(sent(&harness.complete(2, 1, Outcome::Crowded)), [] as [u64; 0]);
    harness.now += 10 * MS;
    assert_eq!(sent(&harness.complete(1, 1, Outcome::Ok)), [2]);
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 1)), [] as [u64; 0], "its connections allowed one call");
    assert_eq!(sent(&without_times(harness.advance(S / 5))), [3], "one more call is tried after a delay");
}

#[test]
fn calls_refused_together_count_as_one_signal() {
    let mut harness = Harness::without_recovery_limit();
    for id in 1..=4 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    harness.now += 10 * MS;
    let start = harness.now;
    for id in 1..=4 {
        harness.complete(id, 1, Outcome::Full(None));
    }
    assert_eq!(sent_at(&harness.advance(S / 2)), [(start + S / 2, 1)]);
}

/// Advances by four seconds with a success for each call, and returns the messages in the order of their sends.
fn release_order(harness: &mut Harness) -> Vec<u64> {
    let mut order = vec![];
    for _ in 0..4 {
        let ids = sent(&without_times(harness.advance(S)));
        ids.iter().for_each(|id| drop(harness.complete(*id, 1, Outcome::Ok)));
        order.extend(ids);
    }
    order
}

#[test]
fn highest_value_is_sent_first_then_earliest_arrival() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(None));
    harness.arrive(2, IDEMPOTENT, 1);
    harness.arrive(3, HIGH_VALUE, 1);
    harness.arrive(4, HIGH_VALUE, 1);
    let order = release_order(&mut harness);
    assert_eq!(order, [3, 4, 1, 2]);
}

/// If late messages kept their priority under overload, they would delay the others until those are late too.
#[test]
fn late_message_loses_value_and_waits_behind_messages_in_time() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(Some(3 * S)));
    harness.arrive(2, HIGH_VALUE, 1);
    harness.advance(2 * S + S / 2);
    harness.arrive(3, IDEMPOTENT, 1);
    harness.arrive(4, IDEMPOTENT, 1);
    let order = release_order(&mut harness);
    // The late high-value message still has a higher value than one in time; the other late message does not.
    assert_eq!(order, [2, 3, 4, 1]);
}

/// A message close to its due time soon loses its value, so that others of the same value wait for it.
#[test]
fn among_equal_values_earliest_loss_is_sent_first() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(Some(S)));
    harness.arrive(2, IDEMPOTENT, 1);
    let (class, destination, due) = (IDEMPOTENT, DestinationId(1), harness.now + S + S / 2);
    harness.event(Event::Arrival(Arrival {
        id: MessageId(3),
        class,
        tenant: None,
        key: None,
        due,
        destination,
    }));
    let first = sent(&without_times(harness.advance(S + S / 4)));
    assert_eq!(first, [3]);
}

#[test]
fn without_listed_rate_interval_follows_spacing_and_success_ends_pacing() {
    let mut harness = Harness::new(Settings { listed_rates: false, ..settings() });
    harness.list(ListUpdate::Full, vec![entry(1, 1, 1.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += 40 * MS;
    harness.arrive(2, IDEMPOTENT, 1);
    harness.now += 10 * MS;
    let start = harness.now;
    harness.complete(2, 1, Outcome::Full(None));
    assert_eq!(sent_at(&harness.advance(S)), [(start + 80 * MS, 2)]);
    harness.complete(2, 1, Outcome::Ok);
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 1)), [3]);
    assert_eq!(sent(&harness.arrive(4, IDEMPOTENT, 1)), [4]);
}

#[test]
fn reported_limit_replaces_listed_rate() {
    let mut harness = Harness::without_recovery_limit();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.arrive(2, IDEMPOTENT, 1);
    harness.now += MS;
    let start = harness.now;
    let report = LimitReport { remaining_fraction: Some(0.0), limit: Some(2.0), requested_wait: None };
    harness.event(Event::AttemptEnded(AttemptResult {
        id: MessageId(1),
        attempt: 0,
        target: TargetId(1),
        outcome: Outcome::Full(None),
        elapsed: MS,
        decision: Outcome::Full(None).verdict(),
        report,
    }));
    assert_eq!(
        sent_at(&harness.advance(2 * S)),
        [(start + S, 1)],
        "twice the base interval of half a second"
    );
}

#[test]
fn batched_call_counts_once_for_pacer_and_slots() {
    let mut harness = Harness::new(Settings { slots: 1, ..settings() });
    harness.list(ListUpdate::Full, vec![EndpointEntry { kind: 1, ..entry(1, 1, 4.0) }]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    for id in 2..=7 {
        assert_eq!(sent(&harness.arrive(id, IDEMPOTENT, 1)), [] as [u64; 0], "no slot is free");
    }
    let released = sent(&harness.complete(1, 1, Outcome::Ok));
    assert_eq!(released, [2, 3, 4, 5, 6]);
    harness.now += MS;
    for id in 2..=5 {
        assert_eq!(
            sent(&harness.complete(id, 1, Outcome::Ok)),
            [] as [u64; 0],
            "the call is still in flight"
        );
    }
    assert_eq!(sent(&harness.complete(6, 1, Outcome::Ok)), [7]);
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut harness = Harness::with_default_settings();
        let mut all = vec![];
        for id in 1..=30 {
            all.extend(harness.arrive(id, (id % 4) as usize, 1 + (id % 2) as i64));
            let outcome = if id % 3 == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
            for action in harness.last_actions.clone() {
                if let Action::Send { id, target, .. } = action {
                    harness.now += 20 * MS;
                    all.extend(harness.complete(id.0, target.0, outcome));
                }
            }
            all.extend(without_times(harness.advance(100 * MS)));
        }
        all
    };
    assert_eq!(run(), run());
}
