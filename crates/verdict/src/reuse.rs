//! Reuse of connections to endpoints: which calls may use a connection that carried a call before, how long a connection
//! rests first, and for how long it is watched after an answer. No sockets and no clock.
//!
//! HTTP/1.1 does not mark which request an answer belongs to. On a connection that carried calls before, a late copy of
//! an earlier answer looks like the answer to the call in flight. `docs/attribution.md` names the rule that makes each
//! case safe.

use std::collections::HashMap;
use std::hash::Hash;

use crate::Micros;

/// Shortest time between an answer and the next call on its connection, in microseconds: most copies arrive sooner.
pub const MIN_REST_US: Micros = 50_000;
/// Shortest time for which a connection has to stay quiet after an answer that may be a copy, in microseconds.
pub const MIN_QUIET_US: Micros = 50_000;
/// Longest time for which a connection has to stay quiet after an answer that may be a copy, in microseconds.
pub const MAX_QUIET_US: Micros = 1_000_000;
/// Each new answer time moves an endpoint's mean and mean deviation by the difference divided by this.
const SMOOTHING_DIVISOR: Micros = 8;
/// An answer is late if it exceeds the mean answer time by more than this many mean deviations.
const LATE_DEVIATIONS: Micros = 4;
/// Time for which reuse is withheld after a first occurrence of unsolicited data, in microseconds.
pub const FIRST_WITHHOLD_US: Micros = 10_000_000;
/// Longest time for which reuse is withheld, in microseconds.
pub const MAX_WITHHOLD_US: Micros = 600_000_000;
/// If at least this many endpoints send unsolicited data at the same time, a common cause is assumed for all endpoints.
const COMMON_CAUSE_ENDPOINTS: usize = 2;
/// Number of endpoints remembered; the least recently used ones are evicted first.
const MAX_ENDPOINTS: usize = 4096;

/// Mean and mean deviation of an endpoint's answer times, in microseconds.
#[derive(Clone, Copy, Debug)]
struct AnswerTimes {
    mean: Micros,
    deviation: Micros,
}

impl AnswerTimes {
    fn first(duration: Micros) -> Self {
        AnswerTimes { mean: duration, deviation: duration / 2 }
    }

    fn add(&mut self, duration: Micros) {
        let error = duration - self.mean;
        self.mean += error / SMOOTHING_DIVISOR;
        self.deviation += (error.abs() - self.deviation) / SMOOTHING_DIVISOR;
    }

    /// Time within which nearly all answers arrive.
    fn upper_bound(&self) -> Micros {
        self.mean + LATE_DEVIATIONS * self.deviation
    }
}

/// A period during which reuse is withheld. Unsolicited data within the same duration after its end doubles the duration.
#[derive(Clone, Copy, Debug)]
struct WithholdPeriod {
    until: Micros,
    duration: Micros,
}

impl WithholdPeriod {
    /// The period after unsolicited data arrived now; `previous` is the last period.
    fn after(previous: Option<WithholdPeriod>, now: Micros) -> Self {
        let duration = match previous {
            Some(previous) if previous.is_active(now) => previous.duration,
            Some(previous) if previous.doubles_next(now) => (previous.duration * 2).min(MAX_WITHHOLD_US),
            _ => FIRST_WITHHOLD_US,
        };
        WithholdPeriod { until: now + duration, duration }
    }

    fn is_active(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Returns whether unsolicited data after the period's end would double the duration.
    fn doubles_next(&self, now: Micros) -> bool {
        now < self.until + self.duration
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Endpoint {
    last_used: Micros,
    answer_times: Option<AnswerTimes>,
    withheld: Option<WithholdPeriod>,
}

impl Endpoint {
    fn is_withheld(&self, now: Micros) -> bool {
        self.withheld.is_some_and(|period| period.is_active(now))
    }
}

/// Decides on the reuse of connections from the past behaviour of endpoints.
#[derive(Debug)]
pub struct ReusePolicy<K> {
    endpoints: HashMap<K, Endpoint>,
    /// Applies to all endpoints, after several of them sent unsolicited data.
    all_endpoints: Option<WithholdPeriod>,
}

impl<K: Clone + Eq + Hash> ReusePolicy<K> {
    /// A policy without any history.
    pub fn new() -> Self {
        ReusePolicy { endpoints: HashMap::new(), all_endpoints: None }
    }

    /// Returns whether connections to an endpoint must not be reused at this time.
    pub fn is_withheld(&self, endpoint: &K, now: Micros) -> bool {
        let all = self.all_endpoints.is_some_and(|period| period.is_active(now));
        all || self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.is_withheld(now))
    }

    /// Returns whether an answer of an endpoint is likely to be a copy, because this endpoint or several others sent
    /// unsolicited data recently.
    pub fn suspects_copies(&self, endpoint: &K, now: Micros) -> bool {
        let own = self.endpoints.get(endpoint).and_then(|endpoint| endpoint.withheld);
        [self.all_endpoints, own].into_iter().flatten().any(|period| period.doubles_next(now))
    }

    /// The time until which a connection has to stay quiet before an answer that may be a copy counts: the answer to the
    /// call itself would have arrived by then.
    pub fn quiet_until(&self, endpoint: &K, sent: Micros, answered: Micros) -> Micros {
        let times = self.endpoints.get(endpoint).and_then(|endpoint| endpoint.answer_times);
        let expected = times.map_or(0, |times| sent + times.upper_bound());
        expected.clamp(answered + MIN_QUIET_US, answered + MAX_QUIET_US)
    }

    /// Records how long an answer took that certainly belongs to its call.
    pub fn record_answer_time(&mut self, endpoint: &K, duration: Micros, now: Micros) {
        let endpoint = self.endpoint(endpoint, now);
        match &mut endpoint.answer_times {
            Some(times) => times.add(duration),
            None => endpoint.answer_times = Some(AnswerTimes::first(duration)),
        }
    }

    /// Records that an endpoint sent data which answers no request.
    pub fn record_unsolicited_data(&mut self, endpoint: &K, now: Micros) {
        let endpoint = self.endpoint(endpoint, now);
        endpoint.withheld = Some(WithholdPeriod::after(endpoint.withheld, now));
        let affected = self.endpoints.values().filter(|endpoint| endpoint.is_withheld(now)).count();
        if affected >= COMMON_CAUSE_ENDPOINTS {
            self.all_endpoints = Some(WithholdPeriod::after(self.all_endpoints, now));
        }
    }

    fn endpoint(&mut self, endpoint: &K, now: Micros) -> &mut Endpoint {
        if self.endpoints.len() >= MAX_ENDPOINTS && !self.endpoints.contains_key(endpoint) {
            self.evict_half();
        }
        let endpoint = self.endpoints.entry(endpoint.clone()).or_default();
        endpoint.last_used = now;
        endpoint
    }

    fn evict_half(&mut self) {
        let mut last_used: Vec<Micros> = self.endpoints.values().map(|endpoint| endpoint.last_used).collect();
        let middle = last_used.len() / 2;
        let (_, median, _) = last_used.select_nth_unstable(middle);
        let median = *median;
        self.endpoints.retain(|_, endpoint| endpoint.last_used > median);
    }
}

impl<K: Clone + Eq + Hash> Default for ReusePolicy<K> {
    fn default() -> Self {
        ReusePolicy::new()
    }
}
