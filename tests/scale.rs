//! Hundreds of senders, connections, and input that makes little sense.

mod rig;
use rig::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// One of `senders`, with endpoint 1 of destination 1 at 4 calls a second and endpoint 2 of destination 2.
fn one_of(senders: u32) -> Rig {
    Rig::listed(Settings { senders, ..settings() })
}

fn closes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Close(_))).count()
}

#[test]
fn senders_that_were_told_the_same_wait_do_not_come_back_together() {
    let mut times: Vec<Micros> = (0..40)
        .filter_map(|seed| {
            let mut rig = one_of(200);
            rig.relay = Relay::new(Settings { senders: 200, ..settings() }, seed).expect("sound");
            rig.list(ListForm::All, vec![entry(1, 1, 4.0)]);
            rig.arrive(100, SAFE, 1);
            rig.done(100, 1, Outcome::Ok);
            rig.now += 300 * MS;
            rig.arrive(1, SAFE, 1);
            let wait = 2 * S;
            let told = rig.now;
            rig.done(1, 1, Outcome::Full(Some(wait)));
            sent_at(&rig.pass(18 * S)).first().map(|(at, _)| at - told - wait)
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
        let mut rig = one_of(senders);
        rig.arrive(1, SAFE, 1);
        rig.now += 100 * MS;
        assert_eq!(closes(&rig.done(1, 1, Outcome::Ok)), closed, "one of {senders}");
    }
}

#[test]
fn a_call_that_failed_on_an_idle_connection_is_not_held_against_the_destination() {
    let mut rig = one_of(1);
    for id in 1..=12 {
        assert_eq!(sent(&rig.arrive(id, SAFE, 1)), [id]);
        rig.now += 100 * MS;
        rig.done(id, 1, Outcome::Ok);
        rig.now += 2 * S;
    }
    rig.arrive(20, SAFE, 1);
    rig.now += 10 * MS;
    assert_eq!(sent(&rig.done(20, 1, Outcome::Reset)), [20], "tried again at once, on a new one");
    rig.now += 100 * MS;
    assert_eq!(closes(&rig.done(20, 1, Outcome::Ok)), 1, "and idle ones of the kind are not trusted");
}

/// Among a hundred, an endpoint's few connections are held idle by those that called last. That is no outage.
#[test]
fn an_endpoint_without_a_connection_to_spare_is_tried_again_and_no_idle_one_is_kept_there() {
    let mut rig = one_of(100);
    rig.list(ListForm::Changes, vec![entry(1, 1, 200.0)]);
    rig.arrive(1, SAFE, 1);
    rig.now += 20 * MS;
    let turned_away = rig.done(1, 1, Outcome::Crowded);
    assert_eq!(ended(&turned_away), [], "it is not given up: {turned_away:?}");
    assert_eq!(sent(&only(rig.pass(S / 2))), [1], "it goes again soon");
    rig.now += 100 * MS;
    assert_eq!(closes(&rig.done(1, 1, Outcome::Ok)), 1, "others need the connection");
}

#[test]
fn senders_do_not_all_favour_the_same_endpoint() {
    let to_the_first = (0..100).filter(|seed| {
        let mut rig = one_of(100);
        rig.relay = Relay::new(Settings { senders: 100, ..settings() }, *seed).expect("sound");
        rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 1, 4.0), entry(3, 1, 4.0)]);
        rig.arrive(1, SAFE, 1).iter().any(|a| matches!(a, Action::Send { target: TargetId(1), .. }))
    });
    let count = to_the_first.count();
    assert!((20..=46).contains(&count), "{count} of 100 call the first of three endpoints");
}

#[test]
fn an_endpoint_listed_under_another_destination_serves_that_one_alone() {
    let mut rig = one_of(1);
    rig.list(ListForm::Changes, vec![entry(1, 2, 4.0)]);
    assert_eq!(sent(&rig.arrive(1, SAFE, 1)), [] as [u64; 0], "destination 1 has no endpoint left");
    assert_eq!(sent(&only(rig.pass(5 * S))), [] as [u64; 0]);
    assert_eq!(sent(&rig.arrive(2, SAFE, 2)), [2]);
}

#[test]
fn a_message_not_sent_at_all_does_not_hide_what_its_call_told() {
    let mut rig = Rig::new(Settings { slots: 1, ..settings() });
    rig.list(ListForm::All, vec![Entry { kind: 1, ..entry(1, 1, 4.0) }]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.arrive(2, SAFE, 1);
    rig.arrive(3, SAFE, 1);
    assert_eq!(sent(&rig.done(1, 1, Outcome::Ok)), [2, 3], "one call");
    rig.now += MS;
    rig.done(2, 1, Outcome::Full(None));
    assert_eq!(sent(&rig.done(3, 1, Outcome::Skipped)), [] as [u64; 0], "refused: paced");
}

#[test]
fn a_lone_sender_is_never_silenced_for_more_than_three_doublings() {
    let mut rig = one_of(1);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(None));
    let mut last = rig.now;
    for id in 2..=40 {
        rig.arrive(id, SAFE, 1);
        for (at, id) in sent_at(&rig.pass(250 * MS)) {
            assert!(at - last <= 2 * S, "eight times a quarter of a second at most: {}", at - last);
            last = at;
            rig.done(id, 1, Outcome::Full(None));
        }
    }
    assert!(rig.now - last <= 2 * S + 250 * MS);
}

#[test]
fn an_unsafe_message_is_given_two_aims() {
    let mut rig = one_of(1);
    let timeouts = rig.arrive(1, UNSAFE, 1).into_iter().filter_map(|action| match action {
        Action::Send { timeout, .. } => Some(timeout),
        _ => None,
    });
    assert_eq!(timeouts.collect::<Vec<_>>(), [4 * S]);
}

#[test]
fn endpoints_that_are_gone_and_come_again_are_used_again() {
    let mut rig = one_of(1);
    rig.list(ListForm::All, vec![entry(2, 2, 4.0)]);
    assert_eq!(sent(&rig.arrive(1, SAFE, 1)), [] as [u64; 0]);
    assert_eq!(sent(&rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 2, 4.0)])), [1]);
}

#[test]
fn a_listed_rate_that_changes_is_heeded_until_a_report_tells_the_limit() {
    let mut rig = Rig::sturdy();
    rig.list(ListForm::Changes, vec![entry(1, 1, 2.0)]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    let start = rig.now;
    rig.done(1, 1, Outcome::Full(None));
    assert_eq!(sent_at(&rig.pass(3 * S)), [(start + S, 1)], "twice half a second, no longer a quarter");
}

#[test]
fn rates_that_make_no_sense_do_no_harm() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let mut rig = Rig::new(Settings { senders: 300, ..settings() });
        rig.list(ListForm::All, vec![entry(1, 1, rate)]);
        let mut tried = 0;
        for id in 1..=5 {
            let mut all = rig.arrive(id, SAFE, 1);
            for _ in 0..3 {
                for id in sent(&all) {
                    tried += 1;
                    rig.now += MS;
                    rig.done(id, 1, if tried % 2 == 0 { Outcome::Ok } else { Outcome::Full(None) });
                }
                all = only(rig.pass(2 * S));
            }
        }
        assert!(tried >= 3, "rate {rate}: {tried} tries");
    }
}

#[test]
fn a_clock_that_leaps_and_a_timer_that_comes_late_end_what_is_over_and_send_no_burst() {
    let mut rig = one_of(1);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(None));
    for id in 2..=6 {
        rig.arrive(id, SAFE, 1);
    }
    rig.now += 5 * S;
    let late = only(rig.pass(0));
    assert_eq!(sent(&late).len(), 1, "one release, though its timer was due long ago: {late:?}");
    rig.now += 100 * S;
    let leapt = only(rig.pass(0));
    assert_eq!(sent(&leapt), [] as [u64; 0]);
    assert_eq!(ended(&leapt).len(), 5, "all that was held is answered: {leapt:?}");
}

#[test]
fn odd_sequences_do_not_panic_and_answer_once() {
    let mut rig = one_of(2);
    let mut answers = 0;
    for step in 0..3000u64 {
        let id = 1 + (step * 7) % 61;
        let actions = match step % 6 {
            0 => rig.arrive(step + 100, (step % 4) as usize, 1 + (step % 3) as i64),
            1 => rig.done(id + step, 1 + (step % 3) as u32, Outcome::Ok),
            2 => rig.event(Event::Gone(MessageId(step.saturating_sub(40)))),
            3 => rig.event(Event::Timer(step % 9)),
            4 if step % 10 == 4 => rig.list(ListForm::All, vec![entry(1 + (step % 2) as u32, 1, 4.0)]),
            4 => rig.list(ListForm::Changes, vec![entry(2, 1 + (step % 2) as i64, 4.0)]),
            _ => rig.done(step.saturating_sub(id), 1, Outcome::Full(Some(-5))),
        };
        answers += ended(&actions).len();
        rig.now += 20 * MS;
    }
    answers += ended(&only(rig.pass(100 * S))).len();
    assert!(answers > 0 && answers <= 500, "{answers}");
}

#[test]
fn errors_are_not_repeated_at_once_by_one_among_many() {
    let mut rig = one_of(240);
    rig.list(ListForm::Changes, vec![entry(3, 1, 4.0), entry(4, 1, 4.0)]);
    rig.arrive(1, SAFE, 1);
    let mut tries = 1;
    let target = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { target, .. } => Some(target.0),
            _ => None,
        })
    };
    let mut to = target(&rig.last);
    for _ in 0..100 {
        rig.now += 10 * MS;
        let actions = match to.take() {
            Some(endpoint) => rig.done(1, endpoint, Outcome::Error),
            None => only(rig.pass(0)),
        };
        to = target(&actions);
        tries += u32::from(to.is_some());
    }
    assert!(tries <= 3, "{tries} tries in a second, though every one fails at once");
}

#[test]
fn a_route_that_is_gone_and_comes_again_still_heeds_its_wait() {
    let mut rig = Rig::new(settings());
    let route = Entry { kind: 2, ..entry(1, 1, 4.0) };
    rig.list(ListForm::All, vec![route]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(5 * S)));
    rig.list(ListForm::All, vec![]);
    assert_eq!(sent(&rig.list(ListForm::All, vec![route])), [] as [u64; 0], "the wait is not over");
    assert_eq!(sent(&only(rig.pass(4 * S))), [] as [u64; 0]);
    assert_eq!(sent(&only(rig.pass(2 * S))), [1]);
}
