//! Derives observations of a destination from the ends of this relay's own calls.
//!
//! Invariant: refusals by a rate limit are not reported as an outage.

use std::collections::BTreeMap;

use crate::observation::{Micros, Observed, SECOND};

/// Number of consecutive failures that count as an outage.
const FAILURES: u16 = 2;
/// Number of consecutive refusals with a server-requested wait that count as an outage. Fewer are a rate limit that was met.
const REFUSALS: u16 = 4;
/// Time after the first success at which a destination counts as recovered, in microseconds.
const RECOVERY_TIME: Micros = 10 * SECOND;
/// Minimum interval between reports that a destination is healthy, in microseconds.
const HEALTHY_INTERVAL: Micros = SECOND;
/// Divisor of the running means: the weight of a new sample is one in this number.
const SMOOTHING_DIVISOR: Micros = 8;

/// What the end of a call shows of the destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallSignal {
    /// The call succeeded.
    Success,
    /// The call failed: no connection, an error, or no answer in time.
    Failure,
    /// The destination refused the call for lack of capacity, with or without a server-requested wait in microseconds.
    Refused(Option<Micros>),
    /// The call shows nothing of the destination.
    Inconclusive,
}

/// A call of this relay that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedCall {
    /// The destination.
    pub destination: i64,
    /// When the call began.
    pub began: Micros,
    /// When the call ended.
    pub ended: Micros,
    /// What it shows of the destination.
    pub signal: CallSignal,
    /// The rate limit that the destination reported, in calls a second.
    pub limit: Option<f64>,
}

/// What this relay's calls to one destination have shown.
#[derive(Clone, Copy, Debug, Default)]
struct CallHistory {
    /// Consecutive failures.
    failures: u16,
    /// Consecutive refusals with a server-requested wait.
    refusals: u16,
    /// Start of the first call that failed or was refused.
    since: Micros,
    failing: bool,
    recovering_since: Option<Micros>,
    mean: Option<Micros>,
    deviation: Micros,
    healthy_reported_at: Option<Micros>,
    last_end: Option<Micros>,
    /// Running mean of the interval between the ends of calls.
    interval: Option<Micros>,
}

/// Derives observations from calls, for all destinations.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    histories: BTreeMap<i64, CallHistory>,
}

impl Observer {
    /// Records the end of a call. Returns the resulting observations, and the traffic to the destination in calls a second.
    pub fn call_ended(&mut self, call: &ObservedCall) -> (Vec<Observed>, f64) {
        let history = self.histories.entry(call.destination).or_default();
        let now = call.ended;
        if let Some(last) = history.last_end {
            let interval = (now - last).max(1);
            history.interval =
                Some(history.interval.map_or(interval, |old| old + (interval - old) / SMOOTHING_DIVISOR));
        }
        history.last_end = Some(now);
        let traffic = history.interval.map_or(0.1, |interval| SECOND as f64 / interval.max(1000) as f64);
        let mut observed = Vec::new();
        if let Some(limit) = call.limit.filter(|limit| *limit > 0.0) {
            observed.push(Observed::Limit { per_s: limit as f32 });
        }
        match call.signal {
            CallSignal::Success => {
                (history.failures, history.refusals) = (0, 0);
                let took = (now - call.began).max(0);
                let mean = history.mean.unwrap_or(took);
                let deviation = if history.mean.is_some() { history.deviation } else { took / 2 };
                history.deviation = deviation + ((took - mean).abs() - deviation) / SMOOTHING_DIVISOR;
                history.mean = Some(mean + (took - mean) / SMOOTHING_DIVISOR);
                // A call that began before the outage does not end it.
                if history.failing && call.began >= history.since {
                    let recovering_since = *history.recovering_since.get_or_insert(now);
                    history.failing = now - recovering_since < RECOVERY_TIME;
                    if history.failing {
                        observed.push(Observed::Failing {
                            since: history.since,
                            failures: 0,
                            recovering_since: Some(recovering_since),
                        });
                    }
                }
                if !history.failing
                    && history.healthy_reported_at.is_none_or(|at| now - at >= HEALTHY_INTERVAL)
                {
                    (history.healthy_reported_at, history.recovering_since) = (Some(now), None);
                    observed.push(Observed::Healthy { call_began: call.began });
                    observed.push(Observed::AnswerTime {
                        mean: history.mean.unwrap_or(took),
                        deviation: history.deviation,
                    });
                }
            }
            CallSignal::Failure | CallSignal::Refused(_) => {
                if history.failures + history.refusals == 0 {
                    history.since = call.began;
                }
                if let CallSignal::Refused(Some(wait)) = call.signal {
                    history.refusals = history.refusals.saturating_add(1);
                    observed.push(Observed::Wait { until: now + wait });
                } else {
                    history.failures = history.failures.saturating_add(1);
                }
                if history.failures >= FAILURES || history.refusals >= REFUSALS {
                    (history.failing, history.recovering_since) = (true, None);
                    let failures = history.failures.saturating_add(history.refusals);
                    observed.push(Observed::Failing {
                        since: history.since,
                        failures,
                        recovering_since: None,
                    });
                }
            }
            CallSignal::Inconclusive => {}
        }
        (observed, traffic)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(observer: &mut Observer, at: Micros, signal: CallSignal) -> Vec<Observed> {
        let (began, ended) = (at, at + SECOND / 10);
        observer.call_ended(&ObservedCall { destination: 1, began, ended, signal, limit: None }).0
    }

    /// Whether an outage is reported, and whether it is recovering.
    fn recovering(observed: &[Observed]) -> Option<bool> {
        observed.iter().find_map(|observed| match observed {
            Observed::Failing { recovering_since, .. } => Some(recovering_since.is_some()),
            _ => None,
        })
    }

    #[test]
    fn refusals_by_a_limit_are_no_outage_and_an_outage_ends_after_the_recovery_time() {
        let mut observer = Observer::default();
        let mut now = 0;
        let mut step = |observer: &mut Observer, signal| {
            now += SECOND;
            call(observer, now, signal)
        };
        assert!(matches!(
            step(&mut observer, CallSignal::Success)[..],
            [Observed::Healthy { .. }, Observed::AnswerTime { .. }]
        ));
        for _ in 0..5 {
            assert_eq!(recovering(&step(&mut observer, CallSignal::Refused(None))), None);
            step(&mut observer, CallSignal::Success);
        }
        assert_eq!(
            recovering(&step(&mut observer, CallSignal::Failure)),
            None,
            "a single failure is no outage"
        );
        assert_eq!(recovering(&step(&mut observer, CallSignal::Failure)), Some(false));
        assert_eq!(
            recovering(&step(&mut observer, CallSignal::Success)),
            Some(true),
            "it has begun to recover"
        );
        for _ in 0..9 {
            assert_eq!(recovering(&step(&mut observer, CallSignal::Success)), Some(true));
        }
        assert!(matches!(
            step(&mut observer, CallSignal::Success)[..],
            [Observed::Healthy { .. }, Observed::AnswerTime { .. }]
        ));
        let refusals: Vec<_> =
            (0..4).map(|_| recovering(&step(&mut observer, CallSignal::Refused(Some(SECOND))))).collect();
        assert_eq!(refusals, [None, None, None, Some(false)], "consecutive refusals are an outage");
    }
}
