//! Table of statuses and decisions: each combination allows only actions that are correct in every possible state, and each
//! status gives the decision that the protocol defines.

use verdict::{
    Action, CallState, Decision, Extent, Position, PossibleStates, ReceivedAnswer, RetryEffect, Settlement,
    StatusClass,
};

const MAY_HAVE_RUN: Decision = Decision::Pending { may_have_run: true };
const NEVER_RAN: Decision = Decision::Pending { may_have_run: false };
const ATTEMPTS_EXHAUSTED: Decision = Decision::AttemptsExhausted { may_have_run: false };

fn extents() -> Vec<Extent> {
    let parts = (0..=12).flat_map(|length| {
        [
            "HTTP/1.1 200",
            "HTTP/1.0 410",
            "HTTP/1.1 503",
            "HTTP/1.1 504",
            "HTTP/1.1 500",
            "garbage that is none",
        ]
        .map(|line| Extent::from_partial(&line.as_bytes()[..length]))
    });
    let lines =
        StatusClass::ALL.into_iter().flat_map(|class| [Extent::StatusLine(class), Extent::Complete(class)]);
    parts.chain(lines).chain([Extent::Nothing, Extent::Malformed]).collect()
}

fn all_received_answers() -> Vec<ReceivedAnswer> {
    let mut all = Vec::new();
    for extent in extents() {
        for position in [Position::First, Position::Later] {
            for settlement in [Settlement::Unsettled, Settlement::Settled, Settlement::UnsolicitedData] {
                for (request_written, copy_suspected) in
                    [(true, true), (true, false), (false, true), (false, false)]
                {
                    all.push(ReceivedAnswer {
                        request_written,
                        extent,
                        position,
                        settlement,
                        copy_suspected,
                    });
                }
            }
        }
    }
    all
}

#[test]
fn each_decision_allows_only_actions_that_are_correct_in_every_possible_state() {
    for received in all_received_answers() {
        for action in [Action::Discard, Action::Report, Action::Retry] {
            for retry_effect in [RetryEffect::Harmless, RetryEffect::Harmful] {
                let allowed = received.decision().allows(action, retry_effect);
                assert!(
                    !allowed || received.possible_states().allows(action, retry_effect),
                    "{received:?}: {action:?}, {retry_effect:?}"
                );
            }
        }
        assert!(
            CallState::ALL.into_iter().any(|state| received.possible_states().contains(state)),
            "{received:?}"
        );
    }
}

#[test]
fn message_that_may_have_ended_is_never_sent_again() {
    for received in all_received_answers() {
        let may_have_ended = received.possible_states().contains(CallState::EndedElsewhere)
            || received.possible_states().contains(CallState::Delivered);
        if may_have_ended {
            assert!(!received.decision().is_pending(), "{received:?}");
        }
    }
}

fn decision(extent: Extent, position: Position, settlement: Settlement, copy_suspected: bool) -> Decision {
    ReceivedAnswer { request_written: true, extent, position, settlement, copy_suspected }.decision()
}

#[test]
fn complete_answer_gives_the_decision_that_the_protocol_defines_for_its_status() {
    for (status, expected) in [
        (200, Decision::Delivered),
        (204, Decision::MayHaveEnded),
        (400, MAY_HAVE_RUN),
        (410, Decision::EndedElsewhere),
        (429, NEVER_RAN),
        (500, MAY_HAVE_RUN),
        (503, NEVER_RAN),
        (504, ATTEMPTS_EXHAUSTED),
        (599, MAY_HAVE_RUN),
    ] {
        let class = StatusClass::from_status(status).expect("a final status");
        let settlement = Settlement::Unsettled;
        assert_eq!(
            decision(Extent::Complete(class), Position::First, settlement, false),
            expected,
            "{status}"
        );
        let settled = decision(Extent::Complete(class), Position::Later, Settlement::Settled, true);
        assert_eq!(settled, expected, "{status}");
        let followed = decision(Extent::Complete(class), Position::Later, Settlement::UnsolicitedData, false);
        assert_eq!(followed, Decision::MayHaveEnded, "{status}");
    }
    for status in [0, 100, 199, 600, u16::MAX] {
        assert_eq!(StatusClass::from_status(status), None, "{status}");
    }
}

#[test]
fn unsettled_answer_counts_unless_its_endpoint_sent_unsolicited_data_recently() {
    for (class, unsuspected, suspected) in [
        (StatusClass::Delivered, Decision::Delivered, Decision::MayHaveEnded),
        (StatusClass::EndedElsewhere, Decision::MayHaveEnded, Decision::MayHaveEnded),
        (StatusClass::Refused, NEVER_RAN, MAY_HAVE_RUN),
        (StatusClass::Failed, MAY_HAVE_RUN, MAY_HAVE_RUN),
        (
            StatusClass::AttemptsExhausted,
            ATTEMPTS_EXHAUSTED,
            Decision::AttemptsExhausted { may_have_run: true },
        ),
    ] {
        let unsettled = |copy_suspected| {
            decision(Extent::Complete(class), Position::Later, Settlement::Unsettled, copy_suspected)
        };
        assert_eq!((unsettled(false), unsettled(true)), (unsuspected, suspected), "{class:?}");
    }
}

#[test]
fn partial_status_line_leaves_the_states_of_every_status_that_it_may_have() {
    for (bytes, expected) in [
        ("", MAY_HAVE_RUN),
        ("H", Decision::MayHaveEnded),
        ("HTTP/1.1 ", Decision::MayHaveEnded),
        ("HTTP/1.1 2", Decision::MayHaveEnded),
        ("HTTP/1.1 41", Decision::MayHaveEnded),
        ("HTTP/1.0 410 Gone", Decision::MayHaveEnded),
        ("HTTP/1.1 404", MAY_HAVE_RUN),
        ("HTTP/1.1 42", MAY_HAVE_RUN),
        ("HTTP/1.1 50", Decision::AttemptsExhausted { may_have_run: true }),
        ("HTTP/1.1 503 Serv", MAY_HAVE_RUN),
        ("HTTP/1.1 100 Continue\r\n", MAY_HAVE_RUN),
        ("HTTP/1.1 4100", Decision::MayHaveEnded),
        ("SSH-2.0", Decision::MayHaveEnded),
    ] {
        let found =
            decision(Extent::from_partial(bytes.as_bytes()), Position::First, Settlement::Unsettled, false);
        assert_eq!(found, expected, "{bytes:?}");
    }
}

#[test]
fn partially_written_request_never_ran_unless_its_answer_says_that_the_message_had_ended() {
    for (extent, expected) in [
        (Extent::Nothing, NEVER_RAN),
        (Extent::Complete(StatusClass::Refused), NEVER_RAN),
        (Extent::Complete(StatusClass::Failed), NEVER_RAN),
        (Extent::StatusLine(StatusClass::EndedElsewhere), Decision::MayHaveEnded),
        (Extent::Complete(StatusClass::Delivered), Decision::MayHaveEnded),
        (Extent::Complete(StatusClass::AttemptsExhausted), ATTEMPTS_EXHAUSTED),
    ] {
        let received = ReceivedAnswer { request_written: false, extent, ..ReceivedAnswer::default() };
        assert_eq!(received.decision(), expected, "{extent:?}");
    }
}

#[test]
fn set_operations_on_possible_states() {
    let some = PossibleStates::of(&[CallState::Ran, CallState::EndedElsewhere]);
    let contained: Vec<CallState> =
        CallState::ALL.into_iter().filter(|state| some.contains(*state)).collect();
    assert_eq!(contained, [CallState::Ran, CallState::EndedElsewhere]);
    assert_eq!(some.intersection(PossibleStates::UNANSWERED), PossibleStates::of(&[CallState::Ran]));
    assert_eq!(some.union(PossibleStates::ALL), PossibleStates::ALL);
}
