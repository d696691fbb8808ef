//! Simulation of connection reuse: copies of answers arrive at any time, and calls take any time.

use proptest::collection::vec;
use proptest::prelude::*;
use verdict::reuse::{
    FIRST_WITHHOLD_US, MAX_QUIET_US, MAX_WITHHOLD_US, MIN_QUIET_US, MIN_REST_US, ReusePolicy,
};
use verdict::{Extent, Micros, Position, ReceivedAnswer, RetryEffect, StatusClass};

const MS: Micros = 1_000;

/// A call, and how the endpoint would answer it on a separate connection.
#[derive(Clone, Debug)]
struct Call {
    retry_effect: RetryEffect,
    answer: StatusClass,
    duration: Micros,
    /// Delays after the answer at which copies of it arrive, in microseconds.
    copies: Vec<Micros>,
    /// Time between the connection's end of rest and the call, in microseconds.
    pause: Micros,
}

/// What the relay accepts as the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Accepted(StatusClass),
    Doubtful,
}

/// A simulated connection, and the outcomes of its calls.
#[derive(Debug, Default)]
struct SimulatedConnection {
    outcomes: Vec<CallOutcome>,
    /// Indices of the calls whose answers are not settled.
    unsettled: Vec<usize>,
    /// Time until which the connection is watched for them.
    watched_until: Micros,
    /// Time and status class of the answers and copies still to arrive.
    pending_arrivals: Vec<(Micros, StatusClass)>,
    /// Times at which the calls' own answers arrive.
    own_answers: Vec<Micros>,
    /// The own answer of a call had not arrived when the watch for it ended.
    outlasted: bool,
    closed: bool,
}

impl SimulatedConnection {
    /// No call is in flight until this time: the connection closes if data arrives, otherwise due answers settle.
    fn rest(&mut self, until: Micros) {
        if self.pending_arrivals.iter().any(|(at, _)| *at <= until) {
            return self.close();
        }
        self.settle(until);
    }

    /// Settles the answers that are due by this time, as nothing arrived.
    fn settle(&mut self, by: Micros) {
        if self.watched_until <= by && !self.unsettled.is_empty() {
            self.unsettled.clear();
            self.outlasted |= self.own_answers.iter().any(|at| *at > self.watched_until);
        }
    }

    fn close(&mut self) {
        self.closed = true;
        for call in self.unsettled.drain(..) {
            self.outcomes[call] = CallOutcome::Doubtful;
        }
    }
}

/// Simulates calls on one connection until it is closed.
fn simulate(policy: &mut ReusePolicy<u8>, calls: &[Call]) -> SimulatedConnection {
    let (mut connection, mut now) = (SimulatedConnection::default(), 0);
    for (carried, call) in (0..).zip(calls) {
        let sent = now + MIN_REST_US + call.pause;
        connection.rest(sent);
        if connection.closed {
            break;
        }
        let own_at = sent + call.duration;
        connection.own_answers.push(own_at);
        connection.pending_arrivals.push((own_at, call.answer));
        connection.pending_arrivals.extend(call.copies.iter().map(|delay| (own_at + delay, call.answer)));
        connection.pending_arrivals.sort_by_key(|(at, _)| *at);
        let (at, class) = connection.pending_arrivals.remove(0);
        now = at;
        // Nothing arrived until then, while the call was in flight.
        connection.settle(at - 1);
        connection.outcomes.push(CallOutcome::Accepted(class));
        let extent = Extent::Complete(class);
        let received = ReceivedAnswer {
            request_written: true,
            extent,
            position: Position::after_calls(carried),
            ..ReceivedAnswer::default()
        };
        if !received.needs_settling() {
            policy.record_answer_time(&0, at - sent, at);
        } else if received.closes_immediately(call.retry_effect) && connection.unsettled.is_empty() {
            connection.close();
        } else {
            connection.watched_until = connection.watched_until.max(policy.quiet_until(&0, sent, at));
            connection.unsettled.push(connection.outcomes.len() - 1);
        }
        if !class.allows_reuse() {
            break;
        }
    }
    connection.rest(connection.watched_until);
    connection.closed = true;
    connection
}

fn retry_effect() -> impl Strategy<Value = RetryEffect> {
    prop_oneof![Just(RetryEffect::Harmless), Just(RetryEffect::Harmful)]
}

fn answer() -> impl Strategy<Value = StatusClass> {
    prop_oneof![
        4 => Just(StatusClass::Delivered),
        1 => Just(StatusClass::EndedElsewhere),
        1 => Just(StatusClass::Refused),
        1 => Just(StatusClass::Failed),
    ]
}

prop_compose! {
    fn call()(
        retry_effect in retry_effect(), answer in answer(), duration in 1..3_000 * MS,
        copies in vec(1..2_000 * MS, 0..3), pause in 0..500 * MS,
    ) -> Call {
        Call { retry_effect, answer, duration, copies, pause }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn copy_is_accepted_only_if_the_calls_own_answer_outlasts_the_watch(calls in vec(call(), 1..8)) {
        let connection = simulate(&mut ReusePolicy::new(), &calls);
        for (call, outcome) in calls.iter().zip(&connection.outcomes) {
            let matters = match outcome {
                CallOutcome::Accepted(StatusClass::Refused) => call.retry_effect == RetryEffect::Harmful,
                CallOutcome::Accepted(StatusClass::Failed) | CallOutcome::Doubtful => false,
                CallOutcome::Accepted(_) => true,
            };
            if matters && *outcome != CallOutcome::Accepted(call.answer) {
                prop_assert!(connection.outlasted);
            }
        }
    }

    #[test]
    fn no_copy_is_accepted_as_a_refusal_if_each_call_ends_before_the_next_is_sent(
        calls in vec(call(), 1..8), copies in vec(1..60_000 * MS, 1..3),
    ) {
        // Only the first answer has copies, with any delay, and each call ends before the next is sent.
        let mut calls = calls;
        for call in &mut calls {
            call.copies.clear();
            call.duration = call.duration.min(MIN_REST_US);
        }
        calls[0].copies = copies;
        let connection = simulate(&mut ReusePolicy::new(), &calls);
        for (call, outcome) in calls.iter().zip(&connection.outcomes) {
            if *outcome == CallOutcome::Accepted(StatusClass::Refused) && call.retry_effect == RetryEffect::Harmful {
                prop_assert_eq!(call.answer, StatusClass::Refused);
            }
        }
    }
}

#[test]
fn quiet_time_follows_the_endpoints_answer_times_within_bounds() {
    let mut policy = ReusePolicy::new();
    assert_eq!(policy.quiet_until(&0, 0, 10 * MS), 10 * MS + MIN_QUIET_US, "no answer time is known yet");
    (0..100).for_each(|n| policy.record_answer_time(&0, 300 * MS, n));
    let usual = policy.quiet_until(&0, 0, 10 * MS);
    assert!((300 * MS..350 * MS).contains(&usual), "the call's own answer would have arrived by {usual}");
    assert_eq!(policy.quiet_until(&0, 0, 300 * MS), 300 * MS + MIN_QUIET_US);
    (0..100).for_each(|n| policy.record_answer_time(&0, 30_000 * MS, n));
    assert_eq!(policy.quiet_until(&0, 0, 10 * MS), 10 * MS + MAX_QUIET_US);
    assert_eq!(policy.quiet_until(&1, 0, 10 * MS), 10 * MS + MIN_QUIET_US, "another endpoint");
}

#[test]
fn unsolicited_data_withholds_reuse_for_a_time_that_doubles() {
    let mut policy = ReusePolicy::new();
    policy.record_unsolicited_data(&0, 0);
    assert!(policy.is_withheld(&0, FIRST_WITHHOLD_US - 1) && !policy.is_withheld(&0, FIRST_WITHHOLD_US));
    assert!(!policy.is_withheld(&1, 0), "other endpoints are not affected");
    // More unsolicited data within the same period does not double it.
    policy.record_unsolicited_data(&0, FIRST_WITHHOLD_US - 1);
    assert!(!policy.is_withheld(&0, 2 * FIRST_WITHHOLD_US));
    let mut now = 2 * FIRST_WITHHOLD_US;
    for _ in 0..20 {
        policy.record_unsolicited_data(&0, now);
        let until = (now..).step_by(FIRST_WITHHOLD_US as usize).find(|at| !policy.is_withheld(&0, *at));
        now = until.expect("an end");
    }
    policy.record_unsolicited_data(&0, now);
    assert!(
        policy.is_withheld(&0, now + MAX_WITHHOLD_US - 1) && !policy.is_withheld(&0, now + MAX_WITHHOLD_US)
    );
    let quiet = now + 3 * MAX_WITHHOLD_US;
    policy.record_unsolicited_data(&0, quiet);
    assert!(!policy.is_withheld(&0, quiet + FIRST_WITHHOLD_US), "the last period is too long ago to double");
}

#[test]
fn unsolicited_data_from_several_endpoints_withholds_reuse_for_all() {
    let mut policy = ReusePolicy::new();
    policy.record_unsolicited_data(&0, 0);
    policy.record_unsolicited_data(&1, 5);
    assert!(policy.is_withheld(&7, 6), "an endpoint without unsolicited data of its own");
    assert!(!policy.is_withheld(&7, 5 + FIRST_WITHHOLD_US));
}
