//! Grants that a relay holds for one destination, and whether its calls wait for grants at all. Decides how long a grant stays
//! valid and how long a silent coordinator is waited for. Invariant: no call is held for a silent coordinator beyond that time.

use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND, WaitingByPriority};

/// Validity of an unused grant, in microseconds. After that the coordinator has counted its call.
const GRANT_VALIDITY: Micros = 3 * SECOND / 10;
/// Time for which calls wait for a coordinator that never answered, in microseconds.
const FIRST_ANSWER_TIMEOUT: Micros = 6 * SECOND / 10;
/// Time for which calls wait for a coordinator after its last answer, in microseconds.
const ANSWER_TIMEOUT: Micros = SECOND;
/// Time after the last answer for which messages that cannot request grants are not given up, in microseconds. A message
/// that waits for a slot, or during a server-requested wait, requests none.
const COORDINATED_FOR: Micros = 10 * SECOND;

/// Whether a call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A grant is held: the call may start, whatever the local pacing.
    Granted,
    /// The relay waits for the coordinator, until this time at the latest.
    WaitUntil(Micros),
    /// No coordinator answers: the local pacing decides.
    LocalPacing,
}

/// The grants that a relay holds for one destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldGrants {
    count: u16,
    #[serde(rename = "good_until")]
    valid_until: Micros,
    #[serde(rename = "waits_until")]
    wait_until: Micros,
    /// The last wait for a coordinator got no answer.
    #[serde(rename = "unheard")]
    unanswered: bool,
    #[serde(rename = "last_heard")]
    last_answer: Option<Micros>,
    /// The last request. Not handed over: the next process sends its own request.
    #[serde(skip)]
    requested: WaitingByPriority,
}

impl HeldGrants {
    /// Returns whether a call may start now.
    pub fn admission(&self, now: Micros) -> Admission {
        if self.count(now) > 0 {
            Admission::Granted
        } else if now < self.wait_until {
            Admission::WaitUntil(self.wait_until)
        } else {
            Admission::LocalPacing
        }
    }

    /// Returns the number of valid grants.
    pub fn count(&self, now: Micros) -> usize {
        if now < self.valid_until { usize::from(self.count) } else { 0 }
    }

    /// Uses up one grant as a call starts.
    pub fn use_grant(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Sets the messages that wait beyond the grants held. Returns whether a request has to be sent.
    pub fn set_waiting(&mut self, now: Micros, waiting: &WaitingByPriority) -> bool {
        if self.requested == *waiting {
            return false;
        }
        if self.requested.is_empty() && self.wait_until <= now {
            // After a wait without an answer there is no further wait until a coordinator answers.
            self.wait_until = if self.unanswered { now } else { now + FIRST_ANSWER_TIMEOUT };
            self.unanswered = true;
        }
        self.requested.clone_from(waiting);
        true
    }

    /// Receives an answer of the coordinator, which may grant calls.
    pub fn receive(&mut self, now: Micros, grants: u16) {
        if grants > 0 {
            self.count = if now < self.valid_until { self.count.saturating_add(grants) } else { grants };
            self.valid_until = now + GRANT_VALIDITY;
        }
        self.wait_until = now + ANSWER_TIMEOUT;
        self.unanswered = false;
        self.last_answer = Some(now);
    }

    /// Returns whether a coordinator answered recently, so that the relay does not give up waiting messages by its own estimate,
    /// even while it may not send requests.
    pub fn recently_coordinated(&self, now: Micros) -> bool {
        self.last_answer.is_some_and(|answered| now - answered < COORDINATED_FOR)
    }
}
