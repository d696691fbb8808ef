//! Pacing arithmetic: how the interval between calls grows, shrinks and follows a rate, and how much traffic
//! a destination that returns from an outage can serve. It makes no decision about messages.

use serde::{Deserialize, Serialize};

use crate::estimate::SMOOTHING_DIVISOR;
use crate::interface::{Micros, RuleParameters, Settings};
use crate::jitter::with_jitter;

/// Factor by which the interval grows on each consecutive backpressure signal.
const BACK_OFF_FACTOR: Micros = 2;
/// Once the interval is at or below the base, a success shortens it by this fraction: 1/8.
const SPEED_UP_DIVISOR: Micros = 8;
/// Factor by which a listed rate may be too low.
const RATE_ERROR_FACTOR: Micros = 2;
/// Maximum number of doublings above the base, so that a series of signals never stops traffic for longer
/// than the interval between trial calls.
const MAX_DOUBLINGS: u32 = 3;
/// The base interval is at most the shortest aim divided by this.
const BASE_AIM_DIVISOR: Micros = 4;
/// The fail-back rule is broken only by an overload of which at least this fraction came from senders that
/// had seen the destination fail.
const INFORMED_OVERLOAD_FRACTION: f64 = 2.0 / 3.0;
/// Microseconds per second.
const SECOND: f64 = 1e6;

/// The published pacing mechanism: after a backpressure signal one call starts per interval. Each consecutive
/// signal doubles the interval, and a success restores it. Invariant: `interval` is `None` exactly while
/// calls may start as soon as call slots are free.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Pacer {
    /// Interval at this sender's share of the known rate.
    #[serde(rename = "base")]
    base_interval: Option<Micros>,
    pub(crate) interval: Option<Micros>,
    #[serde(rename = "least")]
    min_interval: Micros,
    /// Earliest start of the next call while there is an interval.
    #[serde(rename = "next")]
    pub(crate) next_start: Micros,
    last_signal: Option<Micros>,
    pub(crate) last_start: Option<Micros>,
    /// Running mean of the interval between starts.
    pub(crate) spacing: Option<Micros>,
}

impl Pacer {
    /// Records the start of a call.
    pub(crate) fn on_start(&mut self, now: Micros) {
        if let Some(last) = self.last_start.filter(|l| *l < now) {
            let gap = now - last;
            self.spacing = Some(self.spacing.map_or(gap, |s| s + (gap - s) / SMOOTHING_DIVISOR));
        }
        self.last_start = Some(now);
        self.next_start = now + self.interval.unwrap_or(0);
    }

    /// Returns whether a call started no later than the last signal. Deviation from the published mechanism:
    /// its outcome neither doubles nor restores the interval, because it describes the same moment as that
    /// signal. Calls that were in flight together and are all refused count as one signal.
    pub(crate) fn is_stale(&self, started_at: Micros) -> bool {
        self.last_signal.is_some_and(|s| started_at <= s)
    }

    /// Handles a backpressure signal: doubles the interval. `max_initial` bounds the first interval where no
    /// rate is known; `wait` is the wait that the destination requested, 0 if none.
    pub(crate) fn on_signal(
        &mut self, now: Micros, started_at: Micros, max_initial: Micros, wait: Micros, jitter: f64,
    ) {
        if self.is_stale(started_at) {
            return;
        }
        let initial =
            self.base_interval.unwrap_or(self.spacing.unwrap_or(max_initial).min(max_initial)).max(1);
        let current = self.interval.unwrap_or(initial);
        let interval = (current * BACK_OFF_FACTOR).min(initial << MAX_DOUBLINGS);
        (self.interval, self.last_signal) = (Some(interval), Some(now));
        // Deviation from the published mechanism: jitter, because senders that were refused together would
        // retry together.
        self.next_start = now + wait.max(with_jitter(interval, jitter));
    }

    /// Handles a success: restores the base interval, or ends pacing if no rate is known.
    pub(crate) fn on_success(&mut self, started_at: Micros) {
        if self.interval.is_none() || self.is_stale(started_at) {
            return;
        }
        // Deviation from the published mechanism: once the base is restored, each further success shortens
        // the interval, because the base is only a rough share of the limit. It ends where one sender alone
        // uses the whole limit; a signal doubles the interval again.
        self.interval = match (self.base_interval, self.interval) {
            (Some(base), Some(now)) if now <= base => {
                Some((now - now / SPEED_UP_DIVISOR).max(self.min_interval))
            }
            (base, _) => base,
        };
        self.next_start = self.last_start.unwrap_or(started_at) + self.interval.unwrap_or(0);
    }

    /// Sets the base interval to this sender's share of `rate`, in calls per second for all senders, and
    /// returns the rate clamped to a valid range. Deviation from the published mechanism: the base is at most
    /// a fraction of the shortest aim, because with many senders only few have work at a time, and the
    /// interval of an equal share would exceed the aims.
    pub(crate) fn set_rate(&mut self, rate: f64, senders: u32, shortest_aim: Micros) -> f64 {
        let rate = rate.clamp(1.0 / SECOND, SECOND);
        let equal_share = ((f64::from(senders) * SECOND / rate) as Micros).max(1);
        let base = equal_share.min(shortest_aim / BASE_AIM_DIVISOR).max(1);
        self.base_interval = Some(base);
        self.min_interval = base.min(equal_share / (RATE_ERROR_FACTOR * Micros::from(senders)));
        rate
    }
}

/// Returns the multiple of its present capacity that all informed senders together, those that saw it fail or
/// refuse, may send to a returning destination.
///
/// With `m` the overload multiple, a budget `b` split evenly over `n` senders must satisfy two conditions. If
/// at least one sender is uninformed, the informed ones send at most `b * (n - 1) / n`; while that is at most
/// 2/3 of `m`, the informed part of any overload stays below 2/3, whatever the others send, and the rule
/// holds. If all are informed, nobody else sends, and `b` must not exceed `m`. The budget is the smaller of
/// the two bounds. Callers apply it to the listed rate, which is the capacity or a limit below it.
pub(crate) fn recovery_budget(settings: &Settings) -> f64 {
    settings.rules.overload_multiple * informed_fraction(settings.senders)
}

/// Returns the fraction of an overload that the informed senders together may cause (see
/// [`recovery_budget`]).
fn informed_fraction(senders: u32) -> f64 {
    let senders = f64::from(senders);
    (INFORMED_OVERLOAD_FRACTION * senders / (senders - 1.0)).min(1.0)
}

/// Returns the number of calls that one informed sender may start at once, beyond its rate by the recovery
/// budget, to a returning destination with this fraction of its capacity. `spacing` is the sender's expected
/// spacing of calls, in microseconds.
///
/// A destination that may get `c` calls in one overload window bears `c + 2 * sqrt(c) + 2`. The excess is
/// divided among all senders.
pub(crate) fn recovery_burst(settings: &Settings, spacing: Micros, capacity: f64) -> f64 {
    let RuleParameters { overload_multiple, overload_window, .. } = settings.rules;
    let senders = f64::from(settings.senders);
    let full_rate = senders / spacing.max(1) as f64;
    let window_calls = overload_multiple * capacity * full_rate * overload_window as f64;
    informed_fraction(settings.senders) * (2.0 * window_calls.sqrt() + 2.0) / senders
}

/// Returns how long calls need recovery slots after the first success: the whole warm-up. The recovery budget
/// may cover the listed rate before that, but not the messages that all senders held during the outage and
/// would send at once.
pub(crate) fn slot_period(settings: &Settings) -> Micros {
    settings.rules.warm_up
}
