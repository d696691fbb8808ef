//! The decision module under observations of peers: they save trial calls to failing destinations, and a false one does little
//! harm.

mod rig;
use rig::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// Longest time for which a peer's observation holds back calls, in microseconds: twelve usual intervals between calls (three
/// senders at 4 calls a second), at most half the warm-up time of a destination, and up to half as much again as jitter.
const MAX_HOLD: Micros = 15 * S / 2;
const FAILING: Word = Word::Shut(0);

fn rig_of_three_senders() -> Rig {
    Rig::listed(Settings { senders: 3, slots: 64, ..settings() })
}

/// A peer's observation arrives. Returns the messages that are sent in response.
fn peer_reports(rig: &mut Rig, word: Word) -> Vec<u64> {
    sent(&rig.event(Event::Told(Hearsay { destination: DestinationId(1), at: rig.now, word })))
}

/// Runs traffic of one message in 250 ms, where each call ends at once with `outcome`, and a peer's observation may arrive
/// before each step of 25 ms. Returns the times of the calls.
fn run(rig: &mut Rig, seconds: u64, outcome: Outcome, word: impl Fn(u64) -> Option<Word>) -> Vec<Micros> {
    let mut calls = vec![];
    for step in 0..40 * seconds {
        let mut sent_now = vec![];
        if let Some(word) = word(step) {
            sent_now.extend(peer_reports(rig, word));
        }
        if step % 10 == 0 {
            sent_now.extend(sent(&rig.arrive(rig.now.unsigned_abs(), SAFE, 1)));
        }
        sent_now.extend(sent(&only(rig.pass(25 * MS))));
        while let Some(id) = sent_now.pop() {
            calls.push(rig.now);
            sent_now.extend(sent(&rig.done(id, 1, outcome)));
        }
    }
    calls
}

#[test]
fn a_reported_failure_saves_trial_calls_of_a_starting_relay_for_a_limited_time() {
    let (mut cold, mut warm) = (rig_of_three_senders(), rig_of_three_senders());
    let failed = |rig: &mut Rig, word: Option<Word>| run(rig, 10, Outcome::Full(None), |_| word).len();
    let (cold, warm) = (failed(&mut cold, None), failed(&mut warm, Some(FAILING)));
    assert!(warm >= 1, "at least one trial call is made");
    assert!(2 * warm <= cold, "{warm} calls, {cold} without the report");
}

#[test]
fn a_false_report_holds_calls_back_for_one_hold_at_most_however_often_it_is_repeated() {
    let false_reports: [fn(u64) -> Option<Word>; 3] = [
        |_| Some(FAILING),
        |n| Some(if n % 2 == 0 { FAILING } else { Word::Answers(None) }),
        |n| Some(if n % 2 == 0 { FAILING } else { Word::Answers(Some(n as Micros)) }),
    ];
    for (n, report) in false_reports.into_iter().enumerate() {
        let mut rig = rig_of_three_senders();
        let began = rig.now;
        let calls = run(&mut rig, 30, Outcome::Ok, report);
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
        let calls = |word: fn(u64) -> Option<Word>| run(&mut rig_of_three_senders(), 20, outcome, word);
        // A report before the first own call would change when calls begin, so reports start later.
        let without_reports = calls(|_| None);
        assert_eq!(calls(|n| (n > 10).then_some(Word::Answers(None))), without_reports, "{outcome:?}");
        assert_eq!(
            calls(|n| (n > 10).then_some(Word::Answers(Some(n as Micros)))),
            without_reports,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_recent_own_success_overrides_any_report() {
    let mut rig = rig_of_three_senders();
    run(&mut rig, 2, Outcome::Ok, |_| None);
    let calls = run(&mut rig, 5, Outcome::Ok, |_| Some(FAILING));
    assert!(calls.len() >= 20, "{} of 20", calls.len());
}

#[test]
fn a_hold_ends_when_a_peer_reports_an_answer() {
    let mut rig = rig_of_three_senders();
    peer_reports(&mut rig, FAILING);
    assert!(run(&mut rig, 1, Outcome::Ok, |_| None).is_empty(), "held");
    peer_reports(&mut rig, Word::Answers(None));
    let reported_at = rig.now;
    let calls = run(&mut rig, 3, Outcome::Ok, |_| None);
    assert!(calls.first().is_some_and(|at| *at - reported_at <= 2 * S), "{calls:?}");
}

#[test]
fn a_report_from_before_the_last_own_call_changes_nothing() {
    let run_with = |stale_report: bool| {
        let mut rig = rig_of_three_senders();
        run(&mut rig, 1, Outcome::ConnectFailed, |_| None);
        let word = Hearsay { destination: DestinationId(1), at: 49 * S, word: FAILING };
        if stale_report {
            rig.event(Event::Told(word));
        }
        run(&mut rig, 9, Outcome::ConnectFailed, |_| None)
    };
    assert_eq!(run_with(true), run_with(false));
    // A report about a destination that is not listed is ignored.
    let mut rig = rig_of_three_senders();
    let unlisted = Hearsay { destination: DestinationId(99), at: rig.now, word: FAILING };
    assert!(rig.event(Event::Told(unlisted)).is_empty());
}

/// Number of calls in two seconds from senders that all start while a destination recovers and has not warmed up, each with
/// a message held. Before the start they receive a report that it answers, with or without the time since when.
fn calls_of_starting_senders(reports_recovery: bool) -> usize {
    const SENDERS: u32 = 30;
    const RATE: f64 = 12.0;
    let mut rigs: Vec<Rig> = (0..SENDERS)
        .map(|n| {
            let given = Settings { senders: SENDERS, ..settings() };
            let mut rig = Rig::new(given.clone());
            rig.relay = Relay::new(given, 99 + u64::from(n)).expect("sound");
            rig.list(ListForm::All, vec![entry(1, 1, RATE)]);
            let recovering_since = reports_recovery.then_some(rig.now);
            peer_reports(&mut rig, Word::Answers(recovering_since));
            rig
        })
        .collect();
    let mut calls = vec![];
    for step in 0..80 {
        for (n, rig) in rigs.iter_mut().enumerate() {
            // One message in two and a half seconds from each, which adds up to the listed rate.
            let mut sent_now = if (step + n) % 100 == 0 || step == 0 {
                sent(&rig.arrive(step as u64 + 1, SAFE, 1))
            } else {
                vec![]
            };
            sent_now.extend(sent(&only(rig.pass(25 * MS))));
            while let Some(id) = sent_now.pop() {
                calls.push(step);
                sent_now.extend(sent(&rig.done(id, 1, Outcome::Ok)));
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
