//! What the runtime tells the fleet's task, and what facts mean to the module. It decides nothing.

use peers::observation::{Observation, Observed};
use peers::observer::{CallSignal, ObservedCall};
use permits::Tiers;
use permits::note::Sign;
use permits::steward::Report;

use crate::interface::{DestinationId, Hearsay, Micros, Outcome, Word};

/// What the runtime tells.
#[derive(Debug)]
pub enum ToFleet {
    /// Destinations and the rates that the directory lists for them, in calls a second.
    Listed(Vec<(i64, f64)>),
    /// What waits for a destination beyond the permits held.
    Want(i64, Tiers),
    /// A first attempt at a destination starts.
    First(i64),
    /// Repeats that wait for a destination beyond those that may start.
    WantRepeats(i64, Tiers),
    /// How a call to a destination ended.
    Ended {
        /// The destination.
        destination: i64,
        /// What it shows a steward, if anything.
        report: Option<Report>,
        /// What it shows the witness.
        seen: ObservedCall,
    },
}

/// What the end of a call shows that began then, with what the endpoint told of its limit.
pub fn ended(
    destination: i64, outcome: Outcome, (began, ended): (Micros, Micros), told: &crate::interface::Report,
) -> ToFleet {
    let (seen, sign, wait) = match outcome {
        Outcome::Ok => (CallSignal::Success, Some(Sign::Well), None),
        Outcome::Full(wait) => (CallSignal::Refused(wait), Some(Sign::Refused), wait),
        Outcome::Crowded => (CallSignal::Inconclusive, Some(Sign::Crowded), None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
            (CallSignal::Failure, Some(Sign::Failed), None)
        }
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => (CallSignal::Inconclusive, None, None),
    };
    let (limit, left) = (told.limit, told.left);
    let report = sign.map(|sign| Report { sign, began, wait, limit, left });
    ToFleet::Ended {
        destination,
        report,
        seen: ObservedCall { destination, began, ended, signal: seen, limit },
    }
}

/// A fact as the module hears of it. A wait binds who was told it, a pace and connections are each relay's own, and a
/// limit comes with the first answer, where a wrong one would hold a partner back: these are for operators alone.
pub(super) fn hearsay(fact: &Observation) -> Option<Hearsay> {
    let word = match fact.observed {
        Observed::Failing { since, recovering_since: None, .. } => Word::Shut(since),
        Observed::Failing { recovering_since, .. } => Word::Answers(recovering_since),
        Observed::Healthy { .. } => Word::Answers(None),
        Observed::AnswerTime { mean, .. } => Word::Took(mean),
        Observed::Wait { .. }
        | Observed::Pace { .. }
        | Observed::Limit { .. }
        | Observed::Connections { .. } => {
            return None;
        }
    };
    Some(Hearsay { destination: DestinationId(fact.destination), at: fact.at, word })
}
