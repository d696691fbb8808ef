//! Hundreds of senders, connections, and input that makes little sense.

mod harness;
use harness::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// One of `senders`, with endpoint 1 of destination 1 at 4 calls a second and endpoint 2 of destination 2.
fn one_of(senders: u32) -> Harness {
    Harness::with_endpoints(Settings { senders, ..settings() })
}

fn closes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::CloseIdle(_))).count()
}

#[test]
fn senders_that_were_told_the_same_wait_do_not_come_back_together() {
    let mut times: Vec<Micros> = (0..40)
        .filter_map(|seed| {
            let mut harness = one_of(200);
            harness.relay = Relay::new(Settings { senders: 200, ..settings() }, seed).expect("sound");
            harness.list(ListUpdate::Full, vec![entry(1, 1, 4.0)]);
            harness.arrive(100, IDEMPOTENT, 1);
            harness.complete(100, 1, Outcome::Ok);
            harness.now += 300 * MS;
            harness.arrive(1, IDEMPOTENT, 1);
            let wait = 2 * S;
            let told = harness.now;
            harness.complete(1, 1, Outcome::Full(Some(wait)));
            sent_at(&harness.advance(18 * S)).first().map(|(at, _)| at - told - wait)
        })
        .collect();
    times.sort_unstable();
    assert!(times.len() >= 35 && times[0] >= 0, "the wait is heeded: {times:?}");
    let soon = times.iter().filter(|after| **after < 500 * MS).count();
    assert!(soon <= 12, "{soon} of 40 within half a second: {times:?}");
}

#[test]
fn idle_connections_are_closed_where_they_will_hardly_be_used_again() {
    for (senders, closed) in [(1, 0), (240, 1)] {
        let mut harness = one_of(senders);
        harness.arrive(1, IDEMPOTENT, 1);
        harness.now += 100 * MS;
        assert_eq!(closes(&harness.complete(1, 1, Outcome::Ok)), closed, "one of {senders}");
    }
}

#[test]
fn a_call_that_failed_on_an_idle_connection_is_not_held_against_the_destination() {
    let mut harness = one_of(1);
    for id in 1..=12 {
        assert_eq!(sent(&harness.arrive(id, IDEMPOTENT, 1)), [id]);
        harness.now += 100 * MS;
        harness.complete(id, 1, Outcome::Ok);
        harness.now += 2 * S;
    }
    harness.arrive(20, IDEMPOTENT, 1);
    harness.now += 10 * MS;
    assert_eq!(sent(&harness.complete(20, 1, Outcome::Reset)), [20], "tried again at once, on a new one");
    harness.now += 100 * MS;
    assert_eq!(closes(&harness.complete(20, 1, Outcome::Ok)), 1, "and idle ones of the kind are not trusted");
}

/// Among a hundred, an endpoint's few connections are held idle by those that called last. That is no outage.
#[test]
fn an_endpoint_without_a_connection_to_spare_is_tried_again_and_no_idle_one_is_kept_there() {
    let mut harness = one_of(100);
    harness.list(ListUpdate::Changes, vec![entry(1, 1, 200.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += 20 * MS;
    let turned_away = harness.complete(1, 1, Outcome::Crowded);
    assert_eq!(ended(&turned_away), [], "it is not given up: {turned_away:?}");
    assert_eq!(sent(&without_times(harness.advance(S / 2))), [1], "it goes again soon");
    harness.now += 100 * MS;
    assert_eq!(closes(&harness.complete(1, 1, Outcome::Ok)), 1, "others need the connection");
}

#[test]
fn senders_do_not_all_favour_the_same_endpoint() {
    let to_the_first = (0..100).filter(|seed| {
        let mut harness = one_of(100);
        harness.relay = Relay::new(Settings { senders: 100, ..settings() }, *seed).expect("sound");
        harness.list(ListUpdate::Full, vec![entry(1, 1, 4.0), entry(2, 1, 4.0), entry(3, 1, 4.0)]);
        harness.arrive(1, IDEMPOTENT, 1).iter().any(|a| matches!(a, Action::Send { target: TargetId(1), .. }))
    });
    let count = to_the_first.count();
    assert!((20..=46).contains(&count), "{count} of 100 call the first of three endpoints");
}

#[test]
fn an_endpoint_listed_under_another_destination_serves_that_one_alone() {
    let mut harness = one_of(1);
    harness.list(ListUpdate::Changes, vec![entry(1, 2, 4.0)]);
    assert_eq!(sent(&harness.arrive(1, IDEMPOTENT, 1)), [] as [u64; 0], "destination 1 has no endpoint left");
    assert_eq!(sent(&without_times(harness.advance(5 * S))), [] as [u64; 0]);
    assert_eq!(sent(&harness.arrive(2, IDEMPOTENT, 2)), [2]);
}

#[test]
fn a_message_not_sent_at_all_does_not_hide_what_its_call_told() {
    let mut harness = Harness::new(Settings { slots: 1, ..settings() });
    harness.list(ListUpdate::Full, vec![EndpointEntry { kind: 1, ..entry(1, 1, 4.0) }]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.arrive(2, IDEMPOTENT, 1);
    harness.arrive(3, IDEMPOTENT, 1);
    assert_eq!(sent(&harness.complete(1, 1, Outcome::Ok)), [2, 3], "one call");
    harness.now += MS;
    harness.complete(2, 1, Outcome::Full(None));
    assert_eq!(sent(&harness.complete(3, 1, Outcome::Skipped)), [] as [u64; 0], "refused: paced");
}

#[test]
fn a_lone_sender_is_never_silenced_for_more_than_three_doublings() {
    let mut harness = one_of(1);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(None));
    let mut last = harness.now;
    for id in 2..=40 {
        harness.arrive(id, IDEMPOTENT, 1);
        for (at, id) in sent_at(&harness.advance(250 * MS)) {
            assert!(at - last <= 2 * S, "eight times a quarter of a second at most: {}", at - last);
            last = at;
            harness.complete(id, 1, Outcome::Full(None));
        }
    }
    assert!(harness.now - last <= 2 * S + 250 * MS);
}

#[test]
fn an_unsafe_message_is_given_two_aims() {
    let mut harness = one_of(1);
    let timeouts = harness.arrive(1, NON_IDEMPOTENT, 1).into_iter().filter_map(|action| match action {
        Action::Send { timeout, .. } => Some(timeout),
        _ => None,
    });
    assert_eq!(timeouts.collect::<Vec<_>>(), [4 * S]);
}

#[test]
fn endpoints_that_are_gone_and_come_again_are_used_again() {
    let mut harness = one_of(1);
    harness.list(ListUpdate::Full, vec![entry(2, 2, 4.0)]);
    assert_eq!(sent(&harness.arrive(1, IDEMPOTENT, 1)), [] as [u64; 0]);
    assert_eq!(sent(&harness.list(ListUpdate::Full, vec![entry(1, 1, 4.0), entry(2, 2, 4.0)])), [1]);
}

#[test]
fn a_listed_rate_that_changes_is_heeded_until_a_report_tells_the_limit() {
    let mut harness = Harness::without_recovery_limit();
    harness.list(ListUpdate::Changes, vec![entry(1, 1, 2.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    let start = harness.now;
    harness.complete(1, 1, Outcome::Full(None));
    assert_eq!(
        sent_at(&harness.advance(3 * S)),
        [(start + S, 1)],
        "twice half a second, no longer a quarter"
    );
}

#[test]
fn rates_that_make_no_sense_do_no_harm() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let mut harness = Harness::new(Settings { senders: 300, ..settings() });
        harness.list(ListUpdate::Full, vec![entry(1, 1, rate)]);
        let mut tried = 0;
        for id in 1..=5 {
            let mut all = harness.arrive(id, IDEMPOTENT, 1);
            for _ in 0..3 {
                for id in sent(&all) {
                    tried += 1;
                    harness.now += MS;
                    harness.complete(id, 1, if tried % 2 == 0 { Outcome::Ok } else { Outcome::Full(None) });
                }
                all = without_times(harness.advance(2 * S));
            }
        }
        assert!(tried >= 3, "rate {rate}: {tried} tries");
    }
}

#[test]
fn a_clock_that_leaps_and_a_timer_that_comes_late_end_what_is_over_and_send_no_burst() {
    let mut harness = one_of(1);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(None));
    for id in 2..=6 {
        harness.arrive(id, IDEMPOTENT, 1);
    }
    harness.now += 5 * S;
    let late = without_times(harness.advance(0));
    assert_eq!(sent(&late).len(), 1, "one release, though its timer was due long ago: {late:?}");
    harness.now += 100 * S;
    let leapt = without_times(harness.advance(0));
    assert_eq!(sent(&leapt), [] as [u64; 0]);
    assert_eq!(ended(&leapt).len(), 5, "all that was held is answered: {leapt:?}");
}

#[test]
fn odd_sequences_do_not_panic_and_answer_once() {
    let mut harness = one_of(2);
    let mut answers = 0;
    for step in 0..3000u64 {
        let id = 1 + (step * 7) % 61;
        let actions = match step % 6 {
            0 => harness.arrive(step + 100, (step % 4) as usize, 1 + (step % 3) as i64),
            1 => harness.complete(id + step, 1 + (step % 3) as u32, Outcome::Ok),
            2 => harness.event(Event::Withdrawn(MessageId(step.saturating_sub(40)))),
            3 => harness.event(Event::Timer(step % 9)),
            4 if step % 10 == 4 => harness.list(ListUpdate::Full, vec![entry(1 + (step % 2) as u32, 1, 4.0)]),
            4 => harness.list(ListUpdate::Changes, vec![entry(2, 1 + (step % 2) as i64, 4.0)]),
            _ => harness.complete(step.saturating_sub(id), 1, Outcome::Full(Some(-5))),
        };
        answers += ended(&actions).len();
        harness.now += 20 * MS;
    }
    answers += ended(&without_times(harness.advance(100 * S))).len();
    assert!(answers > 0 && answers <= 500, "{answers}");
}

#[test]
fn errors_are_not_repeated_at_once_by_one_among_many() {
    let mut harness = one_of(240);
    harness.list(ListUpdate::Changes, vec![entry(3, 1, 4.0), entry(4, 1, 4.0)]);
    harness.arrive(1, IDEMPOTENT, 1);
    let mut tries = 1;
    let target = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { target, .. } => Some(target.0),
            _ => None,
        })
    };
    let mut to = target(&harness.last_actions);
    for _ in 0..100 {
        harness.now += 10 * MS;
        let actions = match to.take() {
            Some(endpoint) => harness.complete(1, endpoint, Outcome::Error),
            None => without_times(harness.advance(0)),
        };
        to = target(&actions);
        tries += u32::from(to.is_some());
    }
    assert!(tries <= 3, "{tries} tries in a second, though every one fails at once");
}

#[test]
fn a_route_that_is_gone_and_comes_again_still_heeds_its_wait() {
    let mut harness = Harness::new(settings());
    let route = EndpointEntry { kind: 2, ..entry(1, 1, 4.0) };
    harness.list(ListUpdate::Full, vec![route]);
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(Some(5 * S)));
    harness.list(ListUpdate::Full, vec![]);
    assert_eq!(sent(&harness.list(ListUpdate::Full, vec![route])), [] as [u64; 0], "the wait is not over");
    assert_eq!(sent(&without_times(harness.advance(4 * S))), [] as [u64; 0]);
    assert_eq!(sent(&without_times(harness.advance(2 * S))), [1]);
}
