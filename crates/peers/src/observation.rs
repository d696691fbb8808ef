//! Observations of a destination: what was observed, when, by which relay, and how much weight it has left.
//!
//! Invariant: an observation never counts as younger than it is.

use serde::{Deserialize, Serialize};

pub use fleet::{Micros, Peer, SECOND};

/// Factor by which an observation loses weight each time that it is passed on.
const HOP_FACTOR: f64 = 0.8;

/// What can be observed of a destination. Times are on the clock of the relay that holds the observation, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Observed {
    /// A server-requested wait.
    Wait {
        /// The end of the wait.
        until: Micros,
    },
    /// The spacing between calls, reported after a call that changed it.
    Pace {
        /// The current spacing, in microseconds; equal to the base where nothing has widened it.
        interval: Micros,
        /// The spacing to which successful calls restore it, in microseconds.
        base: Micros,
    },
    /// The rate limit that the destination reports for all relays together.
    Limit {
        /// Calls a second.
        per_s: f32,
    },
    /// The time that the destination takes to answer.
    #[serde(rename = "Answer")]
    AnswerTime {
        /// Running mean, in microseconds.
        mean: Micros,
        /// Running mean deviation, in microseconds.
        deviation: Micros,
    },
    /// The number of connections that an endpoint accepts from this relay.
    Connections {
        /// Hash of the endpoint's id, the same at every relay.
        endpoint: u32,
        /// Maximum number of connections.
        #[serde(rename = "most")]
        max: u16,
    },
    /// The destination fails or refuses calls, or has begun to recover.
    #[serde(rename = "Trouble")]
    Failing {
        /// Start of the outage.
        since: Micros,
        /// Number of failures seen.
        failures: u16,
        /// Time of the first success after it, while the destination recovers.
        #[serde(rename = "back")]
        recovering_since: Option<Micros>,
    },
    /// A call succeeded outside of any outage.
    #[serde(rename = "Good")]
    Healthy {
        /// Start of that call.
        #[serde(rename = "at")]
        call_began: Micros,
    },
}

/// The kinds of observations, which determine half-lives. A relay holds one observation of each kind for a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// [`Observed::Wait`].
    Wait,
    /// [`Observed::Pace`].
    Pace,
    /// [`Observed::Limit`].
    Limit,
    /// [`Observed::AnswerTime`].
    AnswerTime,
    /// [`Observed::Connections`], one for each endpoint.
    Connections(u32),
    /// [`Observed::Failing`] and [`Observed::Healthy`], which replace each other.
    Health,
}

impl Observed {
    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        match self {
            Observed::Wait { .. } => Kind::Wait,
            Observed::Pace { .. } => Kind::Pace,
            Observed::Limit { .. } => Kind::Limit,
            Observed::AnswerTime { .. } => Kind::AnswerTime,
            Observed::Connections { endpoint, .. } => Kind::Connections(*endpoint),
            Observed::Failing { .. } | Observed::Healthy { .. } => Kind::Health,
        }
    }

    /// Shifts the times by an offset, for the conversion between clocks.
    #[must_use]
    pub fn shifted(self, by: Micros) -> Self {
        match self {
            Observed::Wait { until } => Observed::Wait { until: until.saturating_add(by) },
            Observed::Failing { since, failures, recovering_since } => {
                let recovering_since = recovering_since.map(|at| at.saturating_add(by));
                Observed::Failing { since: since.saturating_add(by), failures, recovering_since }
            }
            Observed::Healthy { call_began } => {
                Observed::Healthy { call_began: call_began.saturating_add(by) }
            }
            other => other,
        }
    }

    /// How much the observation changes the behaviour of a relay that knew nothing of the destination. 0 means that it
    /// matches the defaults.
    pub fn impact(&self, now: Micros) -> f64 {
        match self {
            Observed::Wait { until } => {
                if *until > now {
                    4.0
                } else {
                    0.0
                }
            }
            Observed::Failing { recovering_since: None, .. } => 4.0,
            Observed::Failing { recovering_since: Some(_), .. } => 3.0,
            Observed::Pace { interval, base } => {
                let ratio = *interval as f64 / (*base).max(1) as f64;
                ratio.max(1.0).log2().min(3.0)
            }
            Observed::Limit { .. } => 1.0,
            Observed::Connections { .. } => 0.5,
            Observed::AnswerTime { .. } => 0.4,
            Observed::Healthy { .. } => 0.2,
        }
    }
}

impl Kind {
    /// Time after which an observation has lost half of its weight, in microseconds. Typical outages last 7.4 to 23 s, so
    /// that one observed 10 s ago is as likely over as not. A pace follows a rate limit that is met again after every reset.
    /// A wait holds until its end, and is dropped then. Reported limits and answer times are properties of the partner that
    /// change from day to day; the connections that an endpoint accepts depend on its other clients.
    pub fn half_life(self) -> Micros {
        match self {
            Kind::Health => 10 * SECOND,
            Kind::Wait => 20 * SECOND,
            Kind::Pace => 5 * SECOND,
            Kind::Connections(_) => 60 * SECOND,
            Kind::Limit | Kind::AnswerTime => 120 * SECOND,
        }
    }
}

/// An observation with its origin.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Number of the destination in the destination set.
    pub destination: i64,
    /// What was observed.
    #[serde(rename = "known")]
    pub observed: Observed,
    /// When it was observed.
    pub at: Micros,
    /// The relay that observed it.
    pub source: Peer,
    /// Number of times that it was passed on: 0 where the source itself reported it.
    pub hops: u8,
}

impl Observation {
    /// The remaining weight from 0 to 1: halved with each half-life, reduced with each hop, and 0 for a wait that has ended.
    pub fn freshness(&self, now: Micros) -> f64 {
        if let Observed::Wait { until } = self.observed
            && until <= now
        {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).max(0) as f64;
        0.5f64.powf(age / self.observed.kind().half_life() as f64) * HOP_FACTOR.powi(i32::from(self.hops))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn freshness_halves_with_each_half_life_and_drops_with_each_hop() {
        let observation = |observed, hops| Observation { destination: 1, observed, at: 0, source: 2, hops };
        let failing = Observed::Failing { since: 0, failures: 3, recovering_since: None };
        for (observed, half) in [(failing, 10), (Observed::Limit { per_s: 4.0 }, 120)] {
            assert_eq!(observation(observed, 0).freshness(0), 1.0);
            assert!((observation(observed, 0).freshness(half * SECOND) - 0.5).abs() < 1e-9);
            assert!((observation(observed, 1).freshness(half * SECOND) - 0.4).abs() < 1e-9);
            assert_eq!(observation(observed, 0).freshness(-5), 1.0, "a time in the future counts as now");
        }
        let wait = observation(Observed::Wait { until: 5 * SECOND }, 0);
        assert!(wait.freshness(4 * SECOND) > 0.8 && wait.freshness(5 * SECOND) == 0.0);
    }
}
