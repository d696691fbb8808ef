//! How much of the answer to a call arrived, and the call states that this leaves possible.

use crate::RetryEffect;
use crate::status::{StatusClass, StatusClassSet};
use crate::worlds::{Action, CallState, Decision, PossibleStates};

/// How much of an answer arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Extent {
    /// No byte of a final answer.
    #[default]
    Nothing,
    /// A prefix of the status line, which may belong to a status of any of these classes.
    PartialStatusLine(StatusClassSet),
    /// Bytes that are not a status line, or interim answers without end.
    Malformed,
    /// The complete status line, and perhaps more.
    StatusLine(StatusClass),
    /// The complete answer.
    Complete(StatusClass),
}

impl Extent {
    /// The extent of an answer of which only these bytes arrived, which end before the end of a status line.
    pub fn from_partial(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return Extent::Nothing;
        }
        match StatusClassSet::from_partial(bytes) {
            none if none.is_empty() && begins_interim_answer(bytes) => Extent::Nothing,
            none if none.is_empty() => Extent::Malformed,
            classes => Extent::PartialStatusLine(classes),
        }
    }

    fn class(self) -> Option<StatusClass> {
        match self {
            Extent::Nothing | Extent::PartialStatusLine(_) | Extent::Malformed => None,
            Extent::StatusLine(class) | Extent::Complete(class) => Some(class),
        }
    }

    /// The possible states if the answer belongs to the call.
    fn own_states(self) -> PossibleStates {
        match self {
            Extent::Nothing => PossibleStates::UNANSWERED,
            Extent::PartialStatusLine(classes) => {
                classes.classes().fold(PossibleStates::UNANSWERED, |states, class| {
                    states.union(class.states_after_complete_answer())
                })
            }
            Extent::Malformed => PossibleStates::ALL,
            Extent::StatusLine(class) => class.states_after_status_line(),
            Extent::Complete(class) => class.states_after_complete_answer(),
        }
    }
}

/// Returns whether the bytes begin with the status line of an interim answer (1xx) whose head is incomplete.
fn begins_interim_answer(bytes: &[u8]) -> bool {
    let line =
        bytes.strip_prefix(b"HTTP/1.").and_then(|rest| rest.strip_prefix(b"1").or(rest.strip_prefix(b"0")));
    matches!(line, Some([b' ', b'1', ..]))
}

/// Position of an answer on its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Position {
    /// The first answer: no copy of an earlier one can precede it.
    #[default]
    First,
    /// The connection carried calls before, so the answer may be a copy of an earlier one.
    Later,
}

impl Position {
    /// The position on a connection that carried this many calls before.
    pub fn after_calls(count: u32) -> Self {
        if count == 0 { Position::First } else { Position::Later }
    }
}

/// What followed an answer on its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// The connection ended, or the relay stopped reading from it. An answer that still waits to settle counts as unsettled too,
    /// because the process may be killed at any time.
    #[default]
    Unsettled,
    /// The connection stayed quiet until the answer had settled.
    Settled,
    /// Data followed that answers no request, or that does not continue the answer.
    UnsolicitedData,
}

/// What was received of the answer to one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReceivedAnswer {
    /// The last byte of the request was written.
    pub request_written: bool,
    /// How much of an answer arrived.
    pub extent: Extent,
    /// Position of the answer on its connection.
    pub position: Position,
    /// What followed the answer.
    pub settlement: Settlement,
    /// The endpoint sent unsolicited data recently, so the answer may be a copy.
    pub copy_suspected: bool,
}

impl ReceivedAnswer {
    /// The call states that remain possible.
    pub fn possible_states(&self) -> PossibleStates {
        let attributed = self.attributed_states();
        if self.request_written {
            return attributed;
        }
        // A request whose last byte was not written never ran, unless the answer says that the message had ended before.
        let ends = PossibleStates::of(&[
            CallState::Delivered,
            CallState::EndedElsewhere,
            CallState::AttemptsExhausted,
        ]);
        PossibleStates::of(&[CallState::NeverRan]).union(attributed.intersection(ends))
    }

    /// The possible states of a call whose request was written, with regard to copies of earlier answers.
    fn attributed_states(&self) -> PossibleStates {
        let own = self.extent.own_states();
        match (self.position, self.settlement) {
            (Position::First, _) | (Position::Later, Settlement::Settled) => own,
            (Position::Later, Settlement::UnsolicitedData) => PossibleStates::ALL,
            (Position::Later, Settlement::Unsettled) if self.copy_suspected => {
                own.union(PossibleStates::UNANSWERED)
            }
            (Position::Later, Settlement::Unsettled) => match self.extent.class() {
                Some(class) => class.states_if_unsettled(own),
                None => own,
            },
        }
    }

    /// The decision on the call's message.
    pub fn decision(&self) -> Decision {
        self.possible_states().decision()
    }

    /// Returns whether the answer counts only once the connection has stayed quiet for a while.
    pub fn needs_settling(&self) -> bool {
        self.position == Position::Later && self.settlement == Settlement::Unsettled
    }

    /// Returns whether the connection of a complete answer that may be a copy is closed at once, so that no retry overlaps
    /// the call. Mistaking a running call for one that never ran matters only if a retry may take effect again; mistaking
    /// a refused call for a delivered one always matters.
    pub fn closes_immediately(&self, retry_effect: RetryEffect) -> bool {
        let not_ended = !matches!(self.extent, Extent::Complete(class) if class.allows_reuse());
        let never_ran = self.extent.own_states().allows(Action::Retry, RetryEffect::Harmful);
        self.needs_settling() && not_ended && (retry_effect == RetryEffect::Harmless || !never_ran)
    }
}
