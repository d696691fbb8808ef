//! Reuse of connections to endpoints: which calls may take one that carried a call before, how long one rests first, and
//! for how long it is watched after an answer. Owns no socket and no clock.
//!
//! HTTP/1.1 has nothing that says to which request an answer belongs. On a connection that carried calls before, a late
//! copy of an earlier answer looks like the answer to the call that is out. `docs/attribution.md` tells which rule makes
//! each case safe.

use std::collections::HashMap;
use std::hash::Hash;

use crate::Micros;

/// Shortest time after an answer before a connection carries another call, in microseconds: most copies come sooner.
pub const REST: Micros = 50_000;
/// Shortest time for which a connection has to stay quiet after an answer that may be a copy, in microseconds.
pub const MIN_QUIET: Micros = 50_000;
/// Longest time for which it has to, in microseconds.
pub const MAX_QUIET: Micros = 1_000_000;
/// An endpoint's answer times are estimated by this part of each new one.
const SMOOTHING: Micros = 8;
/// An answer is late by more than this many mean deviations over the mean.
const DEVIATIONS: Micros = 4;
/// Reuse is withheld for this long after a first surplus, in microseconds.
pub const FIRST_WITHHOLD: Micros = 10_000_000;
/// Reuse is withheld for this long at the most, in microseconds.
pub const MAX_WITHHOLD: Micros = 600_000_000;
/// Number of endpoints that show a surplus at a time from which on all are taken to share the cause.
const SHARED_CAUSE: usize = 2;
/// Number of endpoints remembered; those that were used least recently are forgotten first.
const MAX_ENDPOINTS: usize = 4096;

/// Mean and mean deviation of an endpoint's answer times.
#[derive(Clone, Copy, Debug)]
struct AnswerTimes {
    mean: Micros,
    deviation: Micros,
}

impl AnswerTimes {
    fn first(took: Micros) -> Self {
        AnswerTimes { mean: took, deviation: took / 2 }
    }

    fn add(&mut self, took: Micros) {
        let error = took - self.mean;
        self.mean += error / SMOOTHING;
        self.deviation += (error.abs() - self.deviation) / SMOOTHING;
    }

    /// A time within which nearly all answers come.
    fn bound(&self) -> Micros {
        self.mean + DEVIATIONS * self.deviation
    }
}

/// Reuse is withheld until then; a surplus within the same span after that doubles the span.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    until: Micros,
    span: Micros,
}

impl Withheld {
    /// After one more surplus.
    fn after(before: Option<Withheld>, now: Micros) -> Self {
        let span = match before {
            Some(before) if before.holds(now) => before.span,
            Some(before) if before.remembered(now) => (before.span * 2).min(MAX_WITHHOLD),
            _ => FIRST_WITHHOLD,
        };
        Withheld { until: now + span, span }
    }

    fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Whether another surplus would double the span.
    fn remembered(&self, now: Micros) -> bool {
        now < self.until + self.span
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Endpoint {
    used: Micros,
    times: Option<AnswerTimes>,
    withheld: Option<Withheld>,
}

impl Endpoint {
    fn withheld(&self, now: Micros) -> bool {
        self.withheld.is_some_and(|withheld| withheld.holds(now))
    }
}

/// Decides on the reuse of connections by what endpoints have shown.
#[derive(Debug)]
pub struct ReusePolicy<K> {
    endpoints: HashMap<K, Endpoint>,
    /// What several endpoints show is held against all.
    everywhere: Option<Withheld>,
}

impl<K: Clone + Eq + Hash> ReusePolicy<K> {
    /// With no endpoint that has shown anything.
    pub fn new() -> Self {
        ReusePolicy { endpoints: HashMap::new(), everywhere: None }
    }

    /// Whether no connection to an endpoint is used again at this time.
    pub fn withholds(&self, endpoint: &K, now: Micros) -> bool {
        let everywhere = self.everywhere.is_some_and(|withheld| withheld.holds(now));
        everywhere || self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.withheld(now))
    }

    /// Whether an answer of an endpoint may well be a copy: it, or several others, wrote unasked lately.
    pub fn suspects(&self, endpoint: &K, now: Micros) -> bool {
        let shown = self.endpoints.get(endpoint).and_then(|endpoint| endpoint.withheld);
        [self.everywhere, shown].into_iter().flatten().any(|withheld| withheld.remembered(now))
    }

    /// The time until which a connection has to stay quiet before an answer counts that may be a copy: the answer to the
    /// call itself would have come by then.
    pub fn quiet_until(&self, endpoint: &K, sent: Micros, answered: Micros) -> Micros {
        let times = self.endpoints.get(endpoint).and_then(|endpoint| endpoint.times);
        let expected = times.map_or(0, |times| sent + times.bound());
        expected.clamp(answered + MIN_QUIET, answered + MAX_QUIET)
    }

    /// An answer that certainly belongs to its call took so long.
    pub fn answered(&mut self, endpoint: &K, took: Micros, now: Micros) {
        let endpoint = self.endpoint(endpoint, now);
        match &mut endpoint.times {
            Some(times) => times.add(took),
            None => endpoint.times = Some(AnswerTimes::first(took)),
        }
    }

    /// Something came on a connection that nobody had asked for.
    pub fn surplus(&mut self, endpoint: &K, now: Micros) {
        let shown = self.endpoint(endpoint, now);
        shown.withheld = Some(Withheld::after(shown.withheld, now));
        let showing = self.endpoints.values().filter(|endpoint| endpoint.withheld(now)).count();
        if showing >= SHARED_CAUSE {
            self.everywhere = Some(Withheld::after(self.everywhere, now));
        }
    }

    fn endpoint(&mut self, endpoint: &K, now: Micros) -> &mut Endpoint {
        if self.endpoints.len() >= MAX_ENDPOINTS && !self.endpoints.contains_key(endpoint) {
            self.forget_half();
        }
        let endpoint = self.endpoints.entry(endpoint.clone()).or_default();
        endpoint.used = now;
        endpoint
    }

    fn forget_half(&mut self) {
        let mut used: Vec<Micros> = self.endpoints.values().map(|endpoint| endpoint.used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.endpoints.retain(|_, endpoint| endpoint.used > median);
    }
}

impl<K: Clone + Eq + Hash> Default for ReusePolicy<K> {
    fn default() -> Self {
        ReusePolicy::new()
    }
}
