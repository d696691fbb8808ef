//! The decision module under observations of peers: they save trial calls to failing destinations, and a false one does little
//! harm.

mod harness;
use harness::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// Longest time for which a peer's observation holds back calls, in microseconds: twelve usual intervals between calls (three
/// senders at 4 calls a second), at most half the warm-up time of a destination, and up to half as much again as jitter.
const MAX_HOLD: Micros = 15 * S / 2;
const FAILING: ObservedCondition = ObservedCondition::Failing(0);

fn rig_of_three_senders() -> Harness {
    Harness::with_endpoints(Settings { senders: 3, slots: 64, ..settings() })
}

/// A peer's observation arrives. Returns the messages that are sent in response.
fn peer_reports(harness: &mut Harness, word: ObservedCondition) -> Vec<u64> {
    sent(&harness.event(Event::PeerObserved(DestinationObservation {
        destination: DestinationId(1),
        observed_at: harness.now,
        condition: word,
    })))
}

/// Runs traffic of one message in 250 ms, where each call ends at once with `outcome`, and a peer's observation may arrive
/// before each step of 25 ms. Returns the times of the calls.
fn run(
    harness: &mut Harness, seconds: u64, outcome: Outcome, word: impl Fn(u64) -> Option<ObservedCondition>,
) -> Vec<Micros> {
    let mut calls = vec![];
    for step in 0..40 * seconds {
        let mut sent_now = vec![];
        if let Some(word) = word(step) {
            sent_now.extend(peer_reports(harness, word));
        }
        if step % 10 == 0 {
            sent_now.extend(sent(&harness.arrive(harness.now.unsigned_abs(), IDEMPOTENT, 1)));
        }
        sent_now.extend(sent(&without_times(harness.advance(25 * MS))));
        while let Some(id) = sent_now.pop() {
            calls.push(harness.now);
            sent_now.extend(sent(&harness.complete(id, 1, outcome)));
        }
    }
    calls
}

#[test]
fn a_reported_failure_saves_trial_calls_of_a_starting_relay_for_a_limited_time() {
    let (mut cold, mut warm) = (rig_of_three_senders(), rig_of_three_senders());
    let failed = |harness: &mut Harness, word: Option<ObservedCondition>| {
        run(harness, 10, Outcome::Full(None), |_| word).len()
    };
    let (cold, warm) = (failed(&mut cold, None), failed(&mut warm, Some(FAILING)));
    assert!(warm >= 1, "at least one trial call is made");
    assert!(2 * warm <= cold, "{warm} calls, {cold} without the report");
}

#[test]
fn a_false_report_holds_calls_back_for_one_hold_at_most_however_often_it_is_repeated() {
    let false_reports: [fn(u64) -> Option<ObservedCondition>; 3] = [
        |_| Some(FAILING),
        |n| Some(if n % 2 == 0 { FAILING } else { ObservedCondition::Answering(None) }),
        |n| Some(if n % 2 == 0 { FAILING } else { ObservedCondition::Answering(Some(n as Micros)) }),
    ];
    for (n, report) in false_reports.into_iter().enumerate() {
        let mut harness = rig_of_three_senders();
        let began = harness.now;
        let calls = run(&mut harness, 30, Outcome::Ok, report);
        assert!(calls.first().is_some_and(|at| *at - began <= MAX_HOLD), "false report {n}");
        assert!(calls.windows(2).all(|two| two[1] - two[0] <= MAX_HOLD), "false report {n}");
        // After own calls have succeeded, the false report has no effect: all of the last messages are sent at once.
        assert!(
            calls.iter().filter(|at| **at > began + 25 * S).count() >= 19,
            "false report {n}: {}",
            calls.len()
        );
    }
}

#[test]
fn no_report_reopens_a_destination_that_fails_for_this_sender() {
    for outcome in [Outcome::Full(None), Outcome::Error, Outcome::ConnectFailed] {
        let calls =
            |word: fn(u64) -> Option<ObservedCondition>| run(&mut rig_of_three_senders(), 20, outcome, word);
        // A report before the first own call would change when calls begin, so reports start later.
        let without_reports = calls(|_| None);
        assert_eq!(
            calls(|n| (n > 10).then_some(ObservedCondition::Answering(None))),
            without_reports,
            "{outcome:?}"
        );
        assert_eq!(
            calls(|n| (n > 10).then_some(ObservedCondition::Answering(Some(n as Micros)))),
            without_reports,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_recent_own_success_overrides_any_report() {
    let mut harness = rig_of_three_senders();
    run(&mut harness, 2, Outcome::Ok, |_| None);
    let calls = run(&mut harness, 5, Outcome::Ok, |_| Some(FAILING));
    assert!(calls.len() >= 20, "{} of 20", calls.len());
}

#[test]
fn a_hold_ends_when_a_peer_reports_an_answer() {
    let mut harness = rig_of_three_senders();
    peer_reports(&mut harness, FAILING);
    assert!(run(&mut harness, 1, Outcome::Ok, |_| None).is_empty(), "held");
    peer_reports(&mut harness, ObservedCondition::Answering(None));
    let reported_at = harness.now;
    let calls = run(&mut harness, 3, Outcome::Ok, |_| None);
    assert!(calls.first().is_some_and(|at| *at - reported_at <= 2 * S), "{calls:?}");
}

#[test]
fn a_report_from_before_the_last_own_call_changes_nothing() {
    let run_with = |stale_report: bool| {
        let mut harness = rig_of_three_senders();
        run(&mut harness, 1, Outcome::ConnectFailed, |_| None);
        let word =
            DestinationObservation { destination: DestinationId(1), observed_at: 49 * S, condition: FAILING };
        if stale_report {
            harness.event(Event::PeerObserved(word));
        }
        run(&mut harness, 9, Outcome::ConnectFailed, |_| None)
    };
    assert_eq!(run_with(true), run_with(false));
    // A report about a destination that is not listed is ignored.
    let mut harness = rig_of_three_senders();
    let unlisted = DestinationObservation {
        destination: DestinationId(99),
        observed_at: harness.now,
        condition: FAILING,
    };
    assert!(harness.event(Event::PeerObserved(unlisted)).is_empty());
}

/// Number of calls in two seconds from senders that all start while a destination recovers and has not warmed up, each with
/// a message held. Before the start they receive a report that it answers, with or without the time since when.
fn calls_of_starting_senders(reports_recovery: bool) -> usize {
    const SENDERS: u32 = 30;
    const RATE: f64 = 12.0;
    let mut harnesses: Vec<Harness> = (0..SENDERS)
        .map(|n| {
            let given = Settings { senders: SENDERS, ..settings() };
            let mut harness = Harness::new(given.clone());
            harness.relay = Relay::new(given, 99 + u64::from(n)).expect("sound");
            harness.list(ListUpdate::Full, vec![entry(1, 1, RATE)]);
            let recovering_since = reports_recovery.then_some(harness.now);
            peer_reports(&mut harness, ObservedCondition::Answering(recovering_since));
            harness
        })
        .collect();
    let mut calls = vec![];
    for step in 0..80 {
        for (n, harness) in harnesses.iter_mut().enumerate() {
            // One message in two and a half seconds from each, which adds up to the listed rate.
            let mut sent_now = if (step + n) % 100 == 0 || step == 0 {
                sent(&harness.arrive(step as u64 + 1, IDEMPOTENT, 1))
            } else {
                vec![]
            };
            sent_now.extend(sent(&without_times(harness.advance(25 * MS))));
            while let Some(id) = sent_now.pop() {
                calls.push(step);
                sent_now.extend(sent(&harness.complete(id, 1, Outcome::Ok)));
            }
        }
    }
    calls.len()
}

#[test]
fn senders_that_start_together_do_not_overload_a_recovering_destination() {
    // Twice the calls that the destination takes in two seconds: a fifth of twelve a second at first, and rising.
    let capacity = (2.0 * 2.0 * 12.0 * (0.2 + 0.8 * 0.1)) as usize;
    let (warm, cold) = (calls_of_starting_senders(true), calls_of_starting_senders(false));
    assert!(warm <= capacity, "{warm} calls, and the destination takes {capacity}");
    assert!(cold > capacity, "{cold} calls without the recovery time, which overload the destination");
}
