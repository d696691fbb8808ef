//! What the runtime tells the fleet's task, and what facts mean to the module. It decides nothing.

use peers::fact::{Fact, Known};
use peers::witness::{Seen, Sign as SeenSign};
use permits::WaitingByPriority;
use permits::coordinator::Report;
use permits::item::CallResult;

use crate::interface::{DestinationId, Hearsay, Micros, Outcome, Word};

/// What the runtime tells.
#[derive(Debug)]
pub enum ToFleet {
    /// Destinations and the rates that the directory lists for them, in calls a second.
    Listed(Vec<(i64, f64)>),
    /// What waits for a destination beyond the permits held.
    Want(i64, WaitingByPriority),
    /// A first attempt at a destination starts.
    First(i64),
    /// Repeats that wait for a destination beyond those that may start.
    WantRepeats(i64, WaitingByPriority),
    /// How a call to a destination ended.
    Ended {
        /// The destination.
        destination: i64,
        /// What it shows a steward, if anything.
        report: Option<Report>,
        /// What it shows the witness.
        seen: Seen,
    },
}

/// What the end of a call shows that began then, with what the endpoint told of its limit.
pub fn ended(
    destination: i64, outcome: Outcome, (began, ended): (Micros, Micros), told: &crate::interface::Report,
) -> ToFleet {
    let (seen, result, wait) = match outcome {
        Outcome::Ok => (SeenSign::Well, Some(CallResult::Succeeded), None),
        Outcome::Full(wait) => (SeenSign::Refused(wait), Some(CallResult::Refused), wait),
        Outcome::Crowded => (SeenSign::Nothing, Some(CallResult::OutOfConnections), None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
            (SeenSign::Failed, Some(CallResult::Failed), None)
        }
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => (SeenSign::Nothing, None, None),
    };
    let (limit, remaining) = (told.limit, told.left);
    let report = result.map(|result| Report { result, began, wait, limit, remaining });
    ToFleet::Ended { destination, report, seen: Seen { destination, began, ended, sign: seen, limit } }
}

/// A fact as the module hears of it. A wait binds who was told it, a pace and connections are each relay's own, and a
/// limit comes with the first answer, where a wrong one would hold a partner back: these are for operators alone.
pub(super) fn hearsay(fact: &Fact) -> Option<Hearsay> {
    let word = match fact.known {
        Known::Trouble { since, back: None, .. } => Word::Shut(since),
        Known::Trouble { back, .. } => Word::Answers(back),
        Known::Good { .. } => Word::Answers(None),
        Known::Answer { mean, .. } => Word::Took(mean),
        Known::Wait { .. } | Known::Pace { .. } | Known::Limit { .. } | Known::Connections { .. } => {
            return None;
        }
    };
    Some(Hearsay { destination: DestinationId(fact.destination), at: fact.at, word })
}
