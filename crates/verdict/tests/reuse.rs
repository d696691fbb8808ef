//! The reuse of connections, played as a model: copies of answers come at any time, and calls take any time.

use proptest::collection::vec;
use proptest::prelude::*;
use verdict::reuse::{FIRST_WITHHOLD, MAX_QUIET, MAX_WITHHOLD, MIN_QUIET, REST, ReusePolicy};
use verdict::{Extent, Heard, Micros, Position, Repeat, StatusClass};

const MS: Micros = 1_000;

/// A call, as the endpoint would answer it on a connection of its own.
#[derive(Clone, Debug)]
struct Call {
    repeat: Repeat,
    answer: StatusClass,
    takes: Micros,
    /// How long after its answer copies of that come.
    copies: Vec<Micros>,
    /// How long after the connection became usable it is sent.
    pause: Micros,
}

/// What the relay took for the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Taken(StatusClass),
    Doubtful,
}

/// A connection that is played, and what was made of its calls.
#[derive(Debug, Default)]
struct Played {
    verdicts: Vec<Verdict>,
    /// Calls whose answers are not settled.
    unsettled: Vec<usize>,
    /// Until when it is watched for them.
    until: Micros,
    /// What will come: when and what.
    coming: Vec<(Micros, StatusClass)>,
    /// When the own answers of its calls came.
    own: Vec<Micros>,
    /// The own answer of a call had not come when the watch for it was over.
    outlasted: bool,
    closed: bool,
}

impl Played {
    /// Nothing is out on the connection until then: it breaks if something comes, else what is due by then settles.
    fn rest(&mut self, until: Micros) {
        if self.coming.iter().any(|(at, _)| *at <= until) {
            return self.close();
        }
        self.settle(until);
    }

    /// What is due by then settles, as nothing came.
    fn settle(&mut self, by: Micros) {
        if self.until <= by && !self.unsettled.is_empty() {
            self.unsettled.clear();
            self.outlasted |= self.own.iter().any(|at| *at > self.until);
        }
    }

    fn close(&mut self) {
        self.closed = true;
        for call in self.unsettled.drain(..) {
            self.verdicts[call] = Verdict::Doubtful;
        }
    }
}

/// Plays calls on one connection until it is closed.
fn play(policy: &mut ReusePolicy<u8>, calls: &[Call]) -> Played {
    let (mut played, mut now) = (Played::default(), 0);
    for (carried, call) in (0..).zip(calls) {
        let sent = now + REST + call.pause;
        played.rest(sent);
        if played.closed {
            break;
        }
        let own_at = sent + call.takes;
        played.own.push(own_at);
        played.coming.push((own_at, call.answer));
        played.coming.extend(call.copies.iter().map(|late| (own_at + late, call.answer)));
        played.coming.sort_by_key(|(at, _)| *at);
        let (at, kind) = played.coming.remove(0);
        now = at;
        // Nothing came until then, though the call was out.
        played.settle(at - 1);
        played.verdicts.push(Verdict::Taken(kind));
        let extent = Extent::Whole(kind);
        let heard = Heard { written: true, extent, position: Position::after(carried), ..Heard::default() };
        if !heard.settles() {
            policy.answered(&0, at - sent, at);
        } else if heard.closes_at_once(call.repeat) && played.unsettled.is_empty() {
            played.close();
        } else {
            played.until = played.until.max(policy.quiet_until(&0, sent, at));
            played.unsettled.push(played.verdicts.len() - 1);
        }
        if !kind.carries_more() {
            break;
        }
    }
    played.rest(played.until);
    played.closed = true;
    played
}

fn repeat() -> impl Strategy<Value = Repeat> {
    prop_oneof![Just(Repeat::Harmless), Just(Repeat::Harmful)]
}

fn answer() -> impl Strategy<Value = StatusClass> {
    prop_oneof![
        4 => Just(StatusClass::Delivered),
        1 => Just(StatusClass::Over),
        1 => Just(StatusClass::TurnedAway),
        1 => Just(StatusClass::Failed),
    ]
}

prop_compose! {
    fn call()(
        repeat in repeat(), answer in answer(), takes in 1..3_000 * MS,
        copies in vec(1..2_000 * MS, 0..3), pause in 0..500 * MS,
    ) -> Call {
        Call { repeat, answer, takes, copies, pause }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_copy_is_taken_for_an_answer_only_where_a_calls_own_answer_outlasts_the_watch(calls in vec(call(), 1..8)) {
        let played = play(&mut ReusePolicy::new(), &calls);
        for (call, verdict) in calls.iter().zip(&played.verdicts) {
            let matters = match verdict {
                Verdict::Taken(StatusClass::TurnedAway) => call.repeat == Repeat::Harmful,
                Verdict::Taken(StatusClass::Failed) | Verdict::Doubtful => false,
                Verdict::Taken(_) => true,
            };
            if matters && *verdict != Verdict::Taken(call.answer) {
                prop_assert!(played.outlasted);
            }
        }
    }

    #[test]
    fn no_copy_is_taken_for_a_refusal_before_a_calls_own_answer_has_outlasted_the_watch(
        calls in vec(call(), 1..8), copies in vec(1..60_000 * MS, 1..3),
    ) {
        // Only the first answer has copies, as late as it may be, and each call ends before the next is sent.
        let mut calls = calls;
        for call in &mut calls {
            call.copies.clear();
            call.takes = call.takes.min(REST);
        }
        calls[0].copies = copies;
        let played = play(&mut ReusePolicy::new(), &calls);
        for (call, verdict) in calls.iter().zip(&played.verdicts) {
            if *verdict == Verdict::Taken(StatusClass::TurnedAway) && call.repeat == Repeat::Harmful {
                prop_assert_eq!(call.answer, StatusClass::TurnedAway);
            }
        }
    }
}

#[test]
fn an_answer_settles_once_its_endpoint_would_have_answered_within_bounds() {
    let mut policy = ReusePolicy::new();
    assert_eq!(policy.quiet_until(&0, 0, 10 * MS), 10 * MS + MIN_QUIET, "nothing is known yet");
    (0..100).for_each(|n| policy.answered(&0, 300 * MS, n));
    let usual = policy.quiet_until(&0, 0, 10 * MS);
    assert!((300 * MS..350 * MS).contains(&usual), "its own answer would have come by {usual}");
    assert_eq!(policy.quiet_until(&0, 0, 300 * MS), 300 * MS + MIN_QUIET);
    (0..100).for_each(|n| policy.answered(&0, 30_000 * MS, n));
    assert_eq!(policy.quiet_until(&0, 0, 10 * MS), 10 * MS + MAX_QUIET);
    assert_eq!(policy.quiet_until(&1, 0, 10 * MS), 10 * MS + MIN_QUIET, "another endpoint");
}

#[test]
fn an_endpoint_that_shows_a_surplus_loses_reuse_for_a_while_that_doubles() {
    let mut policy = ReusePolicy::new();
    policy.surplus(&0, 0);
    assert!(policy.withholds(&0, FIRST_WITHHOLD - 1) && !policy.withholds(&0, FIRST_WITHHOLD));
    assert!(!policy.withholds(&1, 0), "one endpoint alone");
    // More of the same trouble does not double.
    policy.surplus(&0, FIRST_WITHHOLD - 1);
    assert!(!policy.withholds(&0, 2 * FIRST_WITHHOLD));
    let mut now = 2 * FIRST_WITHHOLD;
    for _ in 0..20 {
        policy.surplus(&0, now);
        let until = (now..).step_by(FIRST_WITHHOLD as usize).find(|at| !policy.withholds(&0, *at));
        now = until.expect("an end");
    }
    policy.surplus(&0, now);
    assert!(policy.withholds(&0, now + MAX_WITHHOLD - 1) && !policy.withholds(&0, now + MAX_WITHHOLD));
    let quiet = now + 3 * MAX_WITHHOLD;
    policy.surplus(&0, quiet);
    assert!(!policy.withholds(&0, quiet + FIRST_WITHHOLD), "long ago");
}

#[test]
fn endpoints_that_show_a_surplus_together_have_one_cause_and_all_lose_reuse() {
    let mut policy = ReusePolicy::new();
    policy.surplus(&0, 0);
    policy.surplus(&1, 5);
    assert!(policy.withholds(&7, 6), "one that has shown nothing");
    assert!(!policy.withholds(&7, 5 + FIRST_WITHHOLD));
}
