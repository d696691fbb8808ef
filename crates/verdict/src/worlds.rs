//! The states of a call that remain possible after what was received, and the actions that are correct in all of them.

use serde::{Deserialize, Serialize};

use crate::RetryEffect;

/// State of a call and its message after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallState {
    /// The call never ran and never will.
    NeverRan,
    /// The call may still run.
    MayStillRun,
    /// The call took effect, and its message has not ended yet.
    Ran,
    /// The message is delivered; no delivery or report is outstanding.
    Delivered,
    /// The message ended elsewhere; no delivery or report is outstanding.
    EndedElsewhere,
    /// The call never ran, no further attempt can help, and the message has not ended yet.
    AttemptsExhausted,
}

impl CallState {
    /// All states.
    pub const ALL: [CallState; 6] = [
        CallState::NeverRan,
        CallState::MayStillRun,
        CallState::Ran,
        CallState::Delivered,
        CallState::EndedElsewhere,
        CallState::AttemptsExhausted,
    ];

    const fn bit(self) -> u8 {
        1 << self as u8
    }

    /// Returns whether an action is correct in this state.
    pub const fn allows(self, action: Action, retry_effect: RetryEffect) -> bool {
        match (action, self) {
            (Action::Discard, CallState::Delivered | CallState::EndedElsewhere) => true,
            (
                Action::Discard,
                CallState::NeverRan | CallState::MayStillRun | CallState::Ran | CallState::AttemptsExhausted,
            ) => false,
            // A report for a message that has ended elsewhere does no harm.
            (Action::Report, _) => true,
            (Action::Retry, CallState::NeverRan) => true,
            (Action::Retry, CallState::MayStillRun | CallState::Ran) => {
                matches!(retry_effect, RetryEffect::Harmless)
            }
            (
                Action::Retry,
                CallState::Delivered | CallState::EndedElsewhere | CallState::AttemptsExhausted,
            ) => false,
        }
    }
}

/// Actions that may follow the end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// End the message without a report.
    Discard,
    /// End the message with a non-delivery report.
    Report,
    /// Send the message again.
    Retry,
}

/// A set of call states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PossibleStates(u8);

impl PossibleStates {
    /// States of a call that was sent and had no answer.
    pub const UNANSWERED: PossibleStates =
        PossibleStates::of(&[CallState::NeverRan, CallState::MayStillRun, CallState::Ran]);
    /// States of a call whose answer proves nothing.
    pub const ALL: PossibleStates = PossibleStates::of(&CallState::ALL);

    /// The set of these states.
    pub const fn of(states: &[CallState]) -> Self {
        let (mut bits, mut index) = (0, 0);
        while index < states.len() {
            bits |= states[index].bit();
            index += 1;
        }
        PossibleStates(bits)
    }

    /// Returns whether a state is in the set.
    pub const fn contains(self, state: CallState) -> bool {
        self.0 & state.bit() != 0
    }

    /// The union of both sets.
    #[must_use]
    pub const fn union(self, other: PossibleStates) -> Self {
        PossibleStates(self.0 | other.0)
    }

    /// The intersection of both sets.
    #[must_use]
    pub const fn intersection(self, other: PossibleStates) -> Self {
        PossibleStates(self.0 & other.0)
    }

    /// Returns whether an action is correct in every state of the set.
    pub fn allows(self, action: Action, retry_effect: RetryEffect) -> bool {
        CallState::ALL
            .into_iter()
            .filter(|state| self.contains(*state))
            .all(|state| state.allows(action, retry_effect))
    }

    /// The decision on the message that is correct in every state of the set.
    pub fn decision(self) -> Decision {
        let may_have_run = self.contains(CallState::MayStillRun) || self.contains(CallState::Ran);
        match () {
            () if self == PossibleStates::of(&[CallState::Delivered]) => Decision::Delivered,
            () if self.allows(Action::Discard, RetryEffect::Harmful) => Decision::EndedElsewhere,
            () if self.contains(CallState::Delivered) || self.contains(CallState::EndedElsewhere) => {
                Decision::MayHaveEnded
            }
            () if self.contains(CallState::AttemptsExhausted) => Decision::AttemptsExhausted { may_have_run },
            () => Decision::Pending { may_have_run },
        }
    }
}

/// What the end of an attempt means for its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// The message is delivered and needs nothing more.
    Delivered,
    /// The message ended elsewhere and needs nothing more.
    #[serde(rename = "Over")]
    EndedElsewhere,
    /// The message may have ended: it is reported and never sent again.
    MayHaveEnded,
    /// No further attempt can help: the message is reported.
    #[serde(rename = "Spent")]
    AttemptsExhausted {
        /// An attempt may have run.
        may_have_run: bool,
    },
    /// The message has not ended, and may be sent again if its class allows that.
    #[serde(rename = "Owed")]
    Pending {
        /// The attempt may have run, or may still run.
        may_have_run: bool,
    },
}

impl Decision {
    /// Returns whether the message has ended and needs nothing more.
    pub fn is_ended(self) -> bool {
        match self {
            Decision::Delivered | Decision::EndedElsewhere => true,
            Decision::MayHaveEnded | Decision::AttemptsExhausted { .. } | Decision::Pending { .. } => false,
        }
    }

    /// Returns whether the message may be sent again if its class allows that.
    pub fn is_pending(self) -> bool {
        matches!(self, Decision::Pending { .. })
    }

    /// Returns whether the attempt may have taken effect, or may still do so, without proof of delivery.
    pub fn may_have_run(self) -> bool {
        match self {
            Decision::Delivered | Decision::EndedElsewhere => false,
            Decision::MayHaveEnded => true,
            Decision::AttemptsExhausted { may_have_run } | Decision::Pending { may_have_run } => may_have_run,
        }
    }

    /// Returns whether an action may follow.
    pub fn allows(self, action: Action, retry_effect: RetryEffect) -> bool {
        match (self, action) {
            (_, Action::Report) => true,
            (Decision::Delivered | Decision::EndedElsewhere, Action::Discard) => true,
            (Decision::Pending { may_have_run }, Action::Retry) => {
                !may_have_run || retry_effect == RetryEffect::Harmless
            }
            _ => false,
        }
    }

    /// Label for logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Decision::Delivered => "delivered",
            Decision::EndedElsewhere => "over",
            Decision::MayHaveEnded => "may have ended",
            Decision::AttemptsExhausted { .. } => "spent",
            Decision::Pending { .. } => "owed",
        }
    }
}
