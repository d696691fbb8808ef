//! Updates from the runtime to the fleet's task, and the conversion of observations to reports for the rules.

use peers::observation::{Observation, Observed};
use peers::observer::{CallSignal, ObservedCall};
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
        seen: ObservedCall,
    },
}

/// The update for the end of a call, with the limit report of its endpoint.
pub fn call_ended(
    destination: i64, outcome: Outcome, (began, ended): (Micros, Micros),
    limit_report: &crate::interface::LimitReport,
) -> FleetUpdate {
    let (observed, sign, wait) = match outcome {
        Outcome::Ok => (CallSignal::Success, Some(Sign::Well), None),
        Outcome::Full(wait) => (CallSignal::Refused(wait), Some(Sign::Refused), wait),
        Outcome::Crowded => (CallSignal::Inconclusive, Some(Sign::Crowded), None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
            (CallSignal::Failure, Some(Sign::Failed), None)
        }
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => (CallSignal::Inconclusive, None, None),
    };
    let (limit, left) = (limit_report.limit, limit_report.remaining_fraction);
    let report = sign.map(|sign| Report { sign, began, wait, limit, left });
    FleetUpdate::CallEnded {
        destination,
        report,
        seen: ObservedCall { destination, began, ended, signal: observed, limit },
    }
}

/// An observation as a report to the rules. A server-requested wait binds only the relay that received it, a pace and
/// connections are each relay's own, and a limit arrives with the first answer anyway, while a wrong one would throttle a
/// partner: these observations are only shown to operators and give `None`.
pub(super) fn report_of(fact: &Observation) -> Option<DestinationObservation> {
    let word = match fact.observed {
        Observed::Failing { since, recovering_since: None, .. } => ObservedCondition::Failing(since),
        Observed::Failing { recovering_since, .. } => ObservedCondition::Answering(recovering_since),
        Observed::Healthy { .. } => ObservedCondition::Answering(None),
        Observed::AnswerTime { mean, .. } => ObservedCondition::ResponseTime(mean),
        Observed::Wait { .. }
        | Observed::Pace { .. }
        | Observed::Limit { .. }
        | Observed::Connections { .. } => {
            return None;
        }
    };
    Some(DestinationObservation {
        destination: DestinationId(fact.destination),
        observed_at: fact.at,
        condition: word,
    })
}
