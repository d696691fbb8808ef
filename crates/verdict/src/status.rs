//! Meaning of each status of an endpoint's answer under the protocol. Statuses of equal meaning form a class. Each column
//! matches all classes exhaustively, so that a new class does not compile until every column has an entry for it.

use crate::worlds::{CallState, PossibleStates};

/// Statuses with the same meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatusClass {
    /// 200: delivered.
    Delivered,
    /// Any other 2xx. The protocol does not define it; it may stand for a delivery.
    OtherSuccess,
    /// 410: the message ended elsewhere.
    EndedElsewhere,
    /// 429 and 503: the call was refused.
    Refused,
    /// 504: all attempts are used.
    AttemptsExhausted,
    /// 500, and every other status that the protocol does not define: 3xx, 4xx, 5xx.
    Failed,
}

impl StatusClass {
    /// All classes.
    pub const ALL: [StatusClass; 6] = [
        StatusClass::Delivered,
        StatusClass::OtherSuccess,
        StatusClass::EndedElsewhere,
        StatusClass::Refused,
        StatusClass::AttemptsExhausted,
        StatusClass::Failed,
    ];

    /// The class of a status; `None` if the status is not a final one.
    pub fn from_status(status: u16) -> Option<Self> {
        Some(match status {
            200 => StatusClass::Delivered,
            201..=299 => StatusClass::OtherSuccess,
            410 => StatusClass::EndedElsewhere,
            429 | 503 => StatusClass::Refused,
            504 => StatusClass::AttemptsExhausted,
            300..=599 => StatusClass::Failed,
            _ => return None,
        })
    }

    /// Possible states after the complete answer, if it belongs to the call.
    pub const fn states_after_complete_answer(self) -> PossibleStates {
        match self {
            StatusClass::Delivered => PossibleStates::of(&[CallState::Delivered]),
            StatusClass::OtherSuccess => PossibleStates::of(&[CallState::Ran, CallState::Delivered]),
            StatusClass::EndedElsewhere => PossibleStates::of(&[CallState::EndedElsewhere]),
            StatusClass::Refused => PossibleStates::of(&[CallState::NeverRan]),
            StatusClass::AttemptsExhausted => PossibleStates::of(&[CallState::AttemptsExhausted]),
            StatusClass::Failed => PossibleStates::of(&[CallState::NeverRan, CallState::Ran]),
        }
    }

    /// Possible states after the complete status line, if it belongs to the call and the rest of the answer does not arrive.
    pub const fn states_after_status_line(self) -> PossibleStates {
        match self {
            // The status line alone is conclusive.
            StatusClass::Delivered | StatusClass::EndedElsewhere | StatusClass::AttemptsExhausted => {
                self.states_after_complete_answer()
            }
            StatusClass::OtherSuccess | StatusClass::Failed => {
                self.states_after_complete_answer().union(PossibleStates::UNANSWERED)
            }
            // A truncated answer does not prove a refusal.
            StatusClass::Refused => PossibleStates::UNANSWERED,
        }
    }

    /// Possible states after an answer on a connection that carried calls before and ended before the answer settled,
    /// while its endpoint has sent no unsolicited data. `own` is the set that follows if the answer belongs to the call.
    pub const fn states_if_unsettled(self, own: PossibleStates) -> PossibleStates {
        match self {
            // This case is rare and a report does no harm, whereas trusting a copy would lose the message.
            StatusClass::EndedElsewhere => own.union(PossibleStates::UNANSWERED),
            // Closing the connection is ordinary HTTP and no sign of a copy.
            StatusClass::Delivered
            | StatusClass::OtherSuccess
            | StatusClass::Refused
            | StatusClass::AttemptsExhausted
            | StatusClass::Failed => own,
        }
    }

    /// Returns whether the connection may carry another call after such an answer. A copy of an answer that ends a message
    /// is never taken for the refusal of another call; hence a connection on which all answers allowed reuse shows no
    /// false refusal by a copy.
    pub const fn allows_reuse(self) -> bool {
        match self {
            StatusClass::Delivered | StatusClass::OtherSuccess | StatusClass::EndedElsewhere => true,
            StatusClass::Refused | StatusClass::AttemptsExhausted | StatusClass::Failed => false,
        }
    }
}

/// A set of status classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StatusClassSet(u8);

impl StatusClassSet {
    /// The classes of all final statuses whose status line may begin with these bytes. Interim answers (1xx) do not count.
    pub fn from_partial(bytes: &[u8]) -> Self {
        let matching = (200..=599).filter(|status| may_begin_status_line(bytes, *status));
        let bits =
            matching.filter_map(StatusClass::from_status).fold(0, |bits, class| bits | 1 << class as u8);
        StatusClassSet(bits)
    }

    /// Returns whether the set has no class, that is, no final status matches.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The classes in the set.
    pub fn classes(self) -> impl Iterator<Item = StatusClass> {
        StatusClass::ALL.into_iter().filter(move |class| self.0 & 1 << *class as u8 != 0)
    }
}

/// Returns whether a status line with this status may begin with these bytes.
fn may_begin_status_line(bytes: &[u8], status: u16) -> bool {
    [0, 1].into_iter().any(|minor| {
        let line = format!("HTTP/1.{minor} {status}");
        let known = line.len().min(bytes.len());
        let rest = bytes.get(line.len());
        bytes[..known] == line.as_bytes()[..known] && rest.is_none_or(|byte| byte.is_ascii_whitespace())
    })
}
