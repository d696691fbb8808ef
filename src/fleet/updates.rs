//! Updates from the runtime to the fleet's task, and the conversion of observations to reports for the rules.

use peers::fact::{Fact, Known};
use peers::witness::{Seen, Sign as SeenSign};
use permits::Tiers;
use permits::note::Sign;
use permits::steward::Report;

use crate::interface::{DestinationId, DestinationObservation, Micros, ObservedCondition, Outcome};

/// An update from the runtime.
#[derive(Debug)]
pub enum FleetUpdate {
    /// Destinations, and the rates that the directory lists for them, in calls per second.
    Listed(Vec<(i64, f64)>),
    /// Messages that wait for a destination beyond the grants held, by priority.
    RequestGrants(i64, Tiers),
    /// A first attempt at a destination has started.
    FirstAttempt(i64),
    /// Retries that wait for a destination beyond the retry tokens held, by priority.
    RequestRetryTokens(i64, Tiers),
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
    limit_report: &crate::interface::LimitReport,
) -> FleetUpdate {
    let (observed, sign, wait) = match outcome {
        Outcome::Ok => (SeenSign::Well, Some(Sign::Well), None),
        Outcome::Full(wait) => (SeenSign::Refused(wait), Some(Sign::Refused), wait),
        Outcome::Crowded => (SeenSign::Nothing, Some(Sign::Crowded), None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
            (SeenSign::Failed, Some(Sign::Failed), None)
        }
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => (SeenSign::Nothing, None, None),
    };
    let (limit, left) = (limit_report.limit, limit_report.remaining_fraction);
    let report = sign.map(|sign| Report { sign, began, wait, limit, left });
    FleetUpdate::CallEnded {
        destination,
        report,
        seen: Seen { destination, began, ended, sign: observed, limit },
    }
}

/// An observation as a report to the rules. A server-requested wait binds only the relay that received it, a pace and
/// connections are each relay's own, and a limit arrives with the first answer anyway, while a wrong one would throttle a
/// partner: these observations are only shown to operators and give `None`.
pub(super) fn report_of(fact: &Fact) -> Option<DestinationObservation> {
    let word = match fact.known {
        Known::Trouble { since, back: None, .. } => ObservedCondition::Failing(since),
        Known::Trouble { back, .. } => ObservedCondition::Answering(back),
        Known::Good { .. } => ObservedCondition::Answering(None),
        Known::Answer { mean, .. } => ObservedCondition::ResponseTime(mean),
        Known::Wait { .. } | Known::Pace { .. } | Known::Limit { .. } | Known::Connections { .. } => {
            return None;
        }
    };
    Some(DestinationObservation {
        destination: DestinationId(fact.destination),
        observed_at: fact.at,
        condition: word,
    })
}
