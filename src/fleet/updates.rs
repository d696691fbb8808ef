//! Updates from the runtime to the fleet's task, and the conversion of observations to reports for the rules.

use peers::fact::{Fact, Known};
use peers::witness::{Seen, Sign as SeenSign};
use permits::WaitingByPriority;
use permits::coordinator::Report;
use permits::item::CallResult;

use crate::interface::{DestinationId, Hearsay, Micros, Outcome, Word};

/// An update from the runtime.
#[derive(Debug)]
pub enum FleetUpdate {
    /// Destinations, and the rates that the directory lists for them, in calls per second.
    Listed(Vec<(i64, f64)>),
    /// Messages that wait for a destination beyond the grants held, by priority.
    RequestGrants(i64, WaitingByPriority),
    /// A first attempt at a destination has started.
    FirstAttempt(i64),
    /// Retries that wait for a destination beyond the retry tokens held, by priority.
    RequestRetryTokens(i64, WaitingByPriority),
    /// A call to a destination has ended.
    CallEnded {
        /// The destination.
        destination: i64,
        /// The report to the limit coordinator, if any.
        report: Option<Report>,
        /// The outcome, for the observer of the destination's health.
        seen: Seen,
    },
}

/// The update for the end of a call, with the limit report of its endpoint.
pub fn call_ended(
    destination: i64, outcome: Outcome, (began, ended): (Micros, Micros),
    limit_report: &crate::interface::Report,
) -> FleetUpdate {
    let (observed, result, wait) = match outcome {
        Outcome::Ok => (SeenSign::Well, Some(CallResult::Succeeded), None),
        Outcome::Full(wait) => (SeenSign::Refused(wait), Some(CallResult::Refused), wait),
        Outcome::Crowded => (SeenSign::Nothing, Some(CallResult::OutOfConnections), None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
            (SeenSign::Failed, Some(CallResult::Failed), None)
        }
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => (SeenSign::Nothing, None, None),
    };
    let (limit, remaining) = (limit_report.limit, limit_report.left);
    let report = result.map(|result| Report { result, began, wait, limit, remaining });
    FleetUpdate::CallEnded {
        destination,
        report,
        seen: Seen { destination, began, ended, sign: observed, limit },
    }
}

/// An observation as a report to the rules. A server-requested wait binds only the relay that received it, a pace and
/// connections are each relay's own, and a limit arrives with the first answer anyway, while a wrong one would throttle a
/// partner: these observations are only shown to operators and give `None`.
pub(super) fn report_of(fact: &Fact) -> Option<Hearsay> {
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
