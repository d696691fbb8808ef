//! What the module makes of the word of others: it spares trials, and a wrong word does little.

mod harness;
use harness::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// A word is believed for at most so long: twelve usual gaps (three senders at 4 calls a second), at most half the
/// time that a cold destination takes, and half as much again as drawn.
const TRIAL: Micros = 15 * S / 2;
const SHUT: ObservedCondition = ObservedCondition::Failing(0);

fn three() -> Harness {
    Harness::with_endpoints(Settings { senders: 3, slots: 64, ..settings() })
}

fn told(harness: &mut Harness, word: ObservedCondition) -> Vec<u64> {
    sent(&harness.event(Event::PeerObserved(DestinationObservation {
        destination: DestinationId(1),
        observed_at: harness.now,
        condition: word,
    })))
}

/// Traffic of a message in 250 ms, where each call is answered so at once and a word may come before each step of
/// 25 ms; when calls left.
fn answered(
    harness: &mut Harness, seconds: u64, outcome: Outcome, word: impl Fn(u64) -> Option<ObservedCondition>,
) -> Vec<Micros> {
    let mut went = vec![];
    for step in 0..40 * seconds {
        let mut out = vec![];
        if let Some(word) = word(step) {
            out.extend(told(harness, word));
        }
        if step % 10 == 0 {
            out.extend(sent(&harness.arrive(harness.now.unsigned_abs(), IDEMPOTENT, 1)));
        }
        out.extend(sent(&without_times(harness.advance(25 * MS))));
        while let Some(id) = out.pop() {
            went.push(harness.now);
            out.extend(sent(&harness.complete(id, 1, outcome)));
        }
    }
    went
}

#[test]
fn a_starter_spares_its_trials_where_a_peer_saw_failure_and_only_for_a_while() {
    let (mut cold, mut warm) = (three(), three());
    let failed = |harness: &mut Harness, word: Option<ObservedCondition>| {
        answered(harness, 10, Outcome::Full(None), |_| word).len()
    };
    let (cold, warm) = (failed(&mut cold, None), failed(&mut warm, Some(SHUT)));
    assert!(warm >= 1, "a trial is made all the same");
    assert!(2 * warm <= cold, "{warm} against {cold} without");
}

#[test]
fn a_wrong_word_silences_for_one_trial_at_most_however_often_it_is_told() {
    let flips: [fn(u64) -> Option<ObservedCondition>; 3] = [
        |_| Some(SHUT),
        |n| Some(if n % 2 == 0 { SHUT } else { ObservedCondition::Answering(None) }),
        |n| Some(if n % 2 == 0 { SHUT } else { ObservedCondition::Answering(Some(n as Micros)) }),
    ];
    for (n, flip) in flips.into_iter().enumerate() {
        let mut harness = three();
        let began = harness.now;
        let went = answered(&mut harness, 30, Outcome::Ok, flip);
        assert!(went.first().is_some_and(|at| *at - began <= TRIAL), "lie {n}");
        assert!(went.windows(2).all(|two| two[1] - two[0] <= TRIAL), "lie {n}");
        // It has seen it work, and the lie has no effect any more: all of the last messages left at once.
        assert!(went.iter().filter(|at| **at > began + 25 * S).count() >= 19, "lie {n}: {}", went.len());
    }
}

#[test]
fn no_word_opens_what_this_sender_has_seen_shut() {
    for outcome in [Outcome::Full(None), Outcome::Error, Outcome::ConnectFailed] {
        let calls = |word: fn(u64) -> Option<ObservedCondition>| answered(&mut three(), 20, outcome, word);
        // A word before it has seen anything itself changes when it begins, so that words come later.
        let alone = calls(|_| None);
        assert_eq!(calls(|n| (n > 10).then_some(ObservedCondition::Answering(None))), alone, "{outcome:?}");
        assert_eq!(
            calls(|n| (n > 10).then_some(ObservedCondition::Answering(Some(n as Micros)))),
            alone,
            "{outcome:?}"
        );
    }
}

#[test]
fn what_was_seen_to_work_lately_stands_against_any_word() {
    let mut harness = three();
    answered(&mut harness, 2, Outcome::Ok, |_| None);
    let went = answered(&mut harness, 5, Outcome::Ok, |_| Some(SHUT));
    assert!(went.len() >= 20, "{} of 20", went.len());
}

#[test]
fn a_hold_ends_when_a_peer_sees_it_answer() {
    let mut harness = three();
    told(&mut harness, SHUT);
    assert!(answered(&mut harness, 1, Outcome::Ok, |_| None).is_empty(), "held");
    told(&mut harness, ObservedCondition::Answering(None));
    let freed = harness.now;
    let went = answered(&mut harness, 3, Outcome::Ok, |_| None);
    assert!(went.first().is_some_and(|at| *at - freed <= 2 * S), "{went:?}");
}

#[test]
fn news_of_before_ones_own_last_call_changes_nothing() {
    let play = |old: bool| {
        let mut harness = three();
        answered(&mut harness, 1, Outcome::ConnectFailed, |_| None);
        let word =
            DestinationObservation { destination: DestinationId(1), observed_at: 49 * S, condition: SHUT };
        if old {
            harness.event(Event::PeerObserved(word));
        }
        answered(&mut harness, 9, Outcome::ConnectFailed, |_| None)
    };
    assert_eq!(play(true), play(false));
    // Of a destination that is not listed nothing is kept.
    let mut harness = three();
    let stray =
        DestinationObservation { destination: DestinationId(99), observed_at: harness.now, condition: SHUT };
    assert!(harness.event(Event::PeerObserved(stray)).is_empty());
}

/// Senders that all start when a destination comes back cold, each with messages held, while one tells all others
/// what it sees: calls of the worst fall window.
fn starters(told_back: bool) -> usize {
    const SENDERS: u32 = 30;
    const RATE: f64 = 12.0;
    let mut harnesses: Vec<Harness> = (0..SENDERS)
        .map(|n| {
            let given = Settings { senders: SENDERS, ..settings() };
            let mut harness = Harness::new(given.clone());
            harness.relay = Relay::new(given, 99 + u64::from(n)).expect("sound");
            harness.list(ListUpdate::Full, vec![entry(1, 1, RATE)]);
            let back = told_back.then_some(harness.now);
            told(&mut harness, ObservedCondition::Answering(back));
            harness
        })
        .collect();
    let mut calls = vec![];
    for step in 0..80 {
        for (n, harness) in harnesses.iter_mut().enumerate() {
            // A message in two and a half seconds each, which is the listed rate for all.
            let mut out = if (step + n) % 100 == 0 || step == 0 {
                sent(&harness.arrive(step as u64 + 1, IDEMPOTENT, 1))
            } else {
                vec![]
            };
            out.extend(sent(&without_times(harness.advance(25 * MS))));
            while let Some(id) = out.pop() {
                calls.push(step);
                out.extend(sent(&harness.complete(id, 1, Outcome::Ok)));
            }
        }
    }
    calls.len()
}

#[test]
fn senders_that_start_at_once_do_not_push_over_what_comes_back_cold() {
    // Two seconds at a fifth of twelve a second, rising, twice over.
    let borne = (2.0 * 2.0 * 12.0 * (0.2 + 0.8 * 0.1)) as usize;
    let (warm, cold) = (starters(true), starters(false));
    assert!(warm <= borne, "{warm} calls, and it bears {borne}");
    assert!(cold > borne, "without the word they are {cold}, which would push it over");
}
