//! State of one destination's limit at its coordinator: the rate, the requests of each relay, and the health of the destination
//! as the calls of all relays show it.
//!
//! The mechanism is that of a single process that owns the whole limit: calls start at an interval, which is doubled on
//! consecutive backpressure signals and restored by a clean outcome. The outcome of a call that began before the last signal
//! describes the same moment as that signal and is not counted as another one.

use std::collections::{BTreeMap, VecDeque};

use escrow::{Loans, Slices};
use overload::backlog::Backlog;

use crate::item::CallResult;
use crate::{Micros, Peer, SECOND, Sharing, WaitingByPriority, total_waiting};

/// Fraction of the limit that is used: network jitter bunches calls, and a refused call may count against the limit.
const USED_FRACTION: f64 = 0.95;
/// Approximate capacity of a destination as a multiple of its limit. A destination that warms up has it too.
const CAPACITY_FACTOR: f64 = 1.2;
/// Maximum number of consecutive doublings of the interval.
const MAX_DOUBLINGS: u32 = 3;
/// Weight of a new sample in a moving average: one in this many.
const SMOOTHING: f64 = 8.0;
/// Number of consecutive failures that mean an outage.
const OUTAGE_FAILURES: u32 = 4;
/// Number of consecutive refusals that mean an outage, if they last for `OUTAGE_REFUSED_FOR`.
const OUTAGE_REFUSALS: u32 = 8;
/// Minimum duration of these refusals, in microseconds: longer than the window of any rate limit.
const OUTAGE_REFUSED_FOR: Micros = 5 * SECOND / 2;
/// Interval between trial calls during an outage, in microseconds.
const TRIAL_INTERVAL: Micros = SECOND / 4;
/// A destination that does not answer gets trial calls only, once the calls of this many seconds are in flight.
const MAX_IN_FLIGHT_S: f64 = 1.0;
/// Number of calls in flight that are always allowed before that.
const MIN_IN_FLIGHT: usize = 8;
/// Time after which a call without a report no longer counts as in flight, in microseconds.
const CALL_EXPIRY: Micros = 4 * SECOND;
/// Validity of a relay's request, in microseconds. A relay that does not repeat it wants nothing any more.
pub(crate) const REQUEST_VALIDITY: Micros = SECOND;
/// Share of one relay, in calls per second, from which rates are granted instead of single calls: a datagram for each call would
/// cost more than it saves.
const RATE_GRANTS_FROM_PER_S: f64 = 4.0;
/// Validity of a granted rate, in microseconds.
pub const RATE_VALIDITY: Micros = 3 * SECOND / 10;
/// Maximum number of messages waiting at a relay that count when a rate is divided.
const MAX_COUNTED_WAITING: u32 = 64;
/// Maximum relative difference at which a reported limit counts as equal to the listed one.
const LIMIT_TOLERANCE: f64 = 0.1;
/// Shares that nobody lends may belong to dead relays, and are reclaimed. While every answer of the last `RECLAIM_AFTER` has
/// reported at least this fraction of the allowance as remaining, and messages wait for grants, the coordinator exceeds the
/// shares lent to it by a further `RECLAIMED_PER_S` of them each second. Even if all sides of a partition reclaim at once, they
/// exceed the whole limit by no more than that.
const RECLAIM_REMAINING: f64 = 0.2;
/// Time for which answers must have reported so, in microseconds: longer than relays take to notice that they hear nobody, and
/// to fall back to their own shares.
const RECLAIM_AFTER: Micros = 3 * SECOND;
/// Fraction of the lent shares that is reclaimed per second.
const RECLAIMED_PER_S: f64 = 0.1;
/// Remaining fraction of the allowance below which each report reduces what is reclaimed. A refusal ends it.
const LOW_REMAINING: f64 = 0.1;
/// Factor of that reduction.
const RECLAIM_DECAY: f64 = 0.7;
/// Maximum time for which one report counts, in microseconds.
const REPORT_VALIDITY: Micros = SECOND / 4;
/// A failure within this time is a quick failure, in microseconds. This and the next four constants apply where the success rate
/// of a destination is followed.
const QUICK_FAILURE: Micros = SECOND / 2;
/// A run of failures is an outage only if a run of that length occurs by chance less often than this.
const CHANCE_OF_RUN: f64 = 0.02;
/// A destination that was out for no longer than this fails at times and does not need to warm up, in microseconds.
const BRIEF_OUTAGE: Micros = 2 * SECOND;
/// A failure rate up to this leaves the number of failures that mean an outage unchanged.
const LOW_FAILURE_RATE: f64 = 0.1;
/// Number of recent calls over which the failure rate is averaged.
const FAILURE_RATE_CALLS: f64 = 16.0;
/// Maximum server-requested wait that is observed, in microseconds.
const MAX_WAIT: Micros = 60 * SECOND;

/// How a destination warms up after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Fraction of its capacity that it has at first.
    pub initial_fraction: f64,
    /// Time until it has its full capacity, in microseconds.
    pub warm_after: Micros,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// What it shows of the destination.
    pub result: CallResult,
    /// When the call began.
    pub began: Micros,
    /// The server-requested wait.
    pub wait: Option<Micros>,
    /// The limit that the destination reported, in calls per second.
    pub limit: Option<f64>,
    /// The remaining fraction of the allowance that the destination reported.
    pub remaining: Option<f64>,
}

/// How relays share limits, as this relay knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingConfig {
    /// Whether relays own shares.
    pub sharing: Sharing,
    /// This relay.
    pub me: Peer,
    /// Number of relays.
    pub relays: Peer,
    /// Whether a destination that fails at times is called at a rate that follows its success rate.
    pub follow_success_rate: bool,
}

impl SharingConfig {
    /// Returns the number of shares of a limit.
    fn shares(self) -> f64 {
        f64::from(self.relays.max(1))
    }
}

/// The last request of one relay, and the grants issued to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayRequest {
    pub(crate) incarnation: u32,
    pub(crate) waiting: WaitingByPriority,
    /// When the request arrived.
    pub(crate) received_at: Micros,
    /// Since when its message of highest priority waits.
    pub(crate) waiting_since: Micros,
    /// Total of grants issued to the relay.
    pub(crate) total: u16,
    /// When the last of them was issued.
    pub(crate) granted_at: Micros,
    /// Moving average of the messages waiting there, where rates are granted.
    pub(crate) mean_waiting: f64,
}

/// State of one destination's limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limit {
    /// Rate in the directory, in calls per second.
    pub(crate) listed_rate: Option<f64>,
    /// Moving average of the limit that the destination reports, in calls per second.
    pub(crate) reported_rate: Option<f64>,
    /// When the next call may be granted.
    pub(crate) next_call_at: Micros,
    /// Current doublings of the interval.
    pub(crate) doublings: u32,
    /// The last backpressure signal.
    pub(crate) last_signal: Option<Micros>,
    /// End of the server-requested wait.
    pub(crate) wait_until: Micros,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Fraction of the calls that fail, where the success rate is followed.
    pub(crate) failure_rate: f64,
    /// The same before the current run of failures.
    pub(crate) failure_rate_before: f64,
    /// Consecutive refusals.
    pub(crate) refusals: u32,
    /// Start of the current run of failures and refusals.
    pub(crate) failing_since: Micros,
    /// Whether the destination is in an outage.
    pub(crate) is_out: bool,
    /// End of the last outage.
    pub(crate) recovered_at: Option<Micros>,
    /// When the last success was reported.
    pub(crate) last_success: Option<Micros>,
    /// Whether endpoints of this kind accept few connections.
    pub(crate) few_connections: bool,
    /// When the calls in flight were granted.
    pub(crate) in_flight: VecDeque<Micros>,
    /// The requests of all relays.
    pub(crate) requests: BTreeMap<Peer, RelayRequest>,
    /// The shares lent to this relay, including its own unless that is lent to another.
    pub(crate) loans: Loans,
    /// The rates granted to relays.
    pub(crate) granted_rates: Slices,
    /// Fraction of the whole limit that is reclaimed beyond the lent shares.
    pub(crate) reclaimed: f64,
    /// When that was last updated.
    pub(crate) reclaimed_at: Micros,
    /// When a report last showed little remaining allowance, or none was stated.
    pub(crate) last_low_at: Micros,
    /// The messages waiting at all relays with requests.
    pub(crate) backlog: Backlog,
}

impl Limit {
    /// Creates the state of a destination with this listed rate.
    pub(crate) fn new(listed_rate: f64) -> Self {
        Limit { listed_rate: Some(listed_rate), ..Limit::default() }
    }

    /// Forgets calls that have been in flight for too long.
    pub(crate) fn expire_calls(&mut self, now: Micros) {
        while self.in_flight.front().is_some_and(|at| now - at >= CALL_EXPIRY) {
            self.in_flight.pop_front();
        }
    }

    /// Returns whether any relay has a valid request.
    pub(crate) fn has_requests(&self, now: Micros) -> bool {
        self.requests
            .values()
            .any(|request| now - request.received_at < REQUEST_VALIDITY && !request.waiting.is_empty())
    }

    /// Returns the rate of a warm destination for all relays together. Where each relay has its own average of the reported
    /// limit, the listed one is used if both are close, so that all relays compute the same rate.
    pub(crate) fn full_rate(&self, fleet: SharingConfig) -> Option<f64> {
        let near = |reported: f64, listed: f64| (reported / listed - 1.0).abs() <= LIMIT_TOLERANCE;
        match (self.reported_rate, self.listed_rate, fleet.sharing) {
            (Some(reported), Some(listed), Sharing::Shares) if near(reported, listed) => Some(listed),
            (reported, listed, _) => reported.or(listed),
        }
    }

    /// Returns the fraction of the limit that stays lent to this relay for at least `span`.
    pub(crate) fn lent_fraction(&self, now: Micros, fleet: SharingConfig, span: Micros) -> f64 {
        self.loans.count(now, span) as f64 / fleet.shares()
    }

    /// Returns the fraction of the limit that this relay may grant for at least `span`.
    pub(crate) fn usable_fraction(&self, now: Micros, fleet: SharingConfig, span: Micros) -> f64 {
        match fleet.sharing {
            Sharing::Whole => 1.0,
            Sharing::Shares => {
                let lent = self.lent_fraction(now, fleet, span);
                if lent > 0.0 { (lent + self.reclaimed).min(1.0) } else { 0.0 }
            }
        }
    }

    /// Returns the rate at which this relay may grant calls for at least `span`, in calls per second.
    pub(crate) fn rate(
        &self, now: Micros, cold: ColdStart, fleet: SharingConfig, span: Micros,
    ) -> Option<f64> {
        let rate = self.full_rate(fleet)? * USED_FRACTION * self.usable_fraction(now, fleet, span);
        let capacity = self.recovered_at.map_or(1.0, |recovered_at| {
            let warmed = (now - recovered_at) as f64 / cold.warm_after.max(1) as f64;
            (CAPACITY_FACTOR * (cold.initial_fraction + (1.0 - cold.initial_fraction) * warmed)).min(1.0)
        });
        // With success rate s, a rate proportional to s would leave a destination with s = 0.7 at half of its possible
        // deliveries, and one proportional to 2 s would give one with s = 0.2 two fifths of its limit for calls that mostly
        // fail. s (1 + s) lies between them and approaches s as s falls.
        let success_rate = 1.0 - self.failure_rate;
        let factor = (success_rate * (1.0 + success_rate)).min(1.0);
        Some(rate * capacity * factor / f64::from(1u32 << self.doublings))
    }

    /// Returns the number of consecutive failures that mean an outage. Where calls often fail, it is a number that hardly occurs
    /// by chance.
    pub(crate) fn outage_threshold(&self) -> u32 {
        if self.failure_rate <= LOW_FAILURE_RATE {
            return OUTAGE_FAILURES;
        }
        let run = CHANCE_OF_RUN.ln() / self.failure_rate.min(1.0 - 1.0 / FAILURE_RATE_CALLS).ln();
        OUTAGE_FAILURES.max(run.ceil() as u32)
    }

    /// Updates the failure rate by a report, except by trial calls during an outage. Returns whether the report is a quick
    /// failure, which affects the failure rate only.
    pub(crate) fn update_failure_rate(&mut self, now: Micros, report: &Report) -> bool {
        let quick = report.result == CallResult::Failed && now - report.began < QUICK_FAILURE;
        let failed = match report.result {
            CallResult::Succeeded => 0.0,
            _ if quick => 1.0,
            _ => return false,
        };
        if !self.is_out {
            self.failure_rate += (failed - self.failure_rate) / FAILURE_RATE_CALLS;
        }
        quick
    }

    /// Returns the interval between calls, in microseconds. `None` if this relay may grant none.
    pub(crate) fn interval(&self, now: Micros, cold: ColdStart, fleet: SharingConfig) -> Option<Micros> {
        let rate = self.rate(now, cold, fleet, 0).filter(|rate| *rate > 0.0)?;
        let paced = (SECOND as f64 / rate.max(0.0001)) as Micros;
        let full = self.full_rate(fleet).unwrap_or(1.0);
        let many_in_flight = self.in_flight.len() >= MIN_IN_FLIGHT.max((full * MAX_IN_FLIGHT_S) as usize);
        // Lost datagrams include reports of ended calls, so a destination with a recent success is not silent.
        let answers = self.last_success.is_some_and(|at| now - at < SECOND);
        let silent = many_in_flight && !(fleet.sharing == Sharing::Shares && answers);
        let trial = (TRIAL_INTERVAL as f64 / self.usable_fraction(now, fleet, 0).max(0.0001)) as Micros;
        Some(if self.is_out || silent { paced.max(trial) } else { paced }.max(1))
    }

    /// Takes back void grants, so that their calls can be granted again.
    pub(crate) fn void_grants(&mut self, now: Micros, cold: ColdStart, fleet: SharingConfig, grants: u16) {
        let interval = self.interval(now, cold, fleet).unwrap_or(0);
        self.next_call_at = self.next_call_at.saturating_sub(interval.saturating_mul(Micros::from(grants)));
        self.in_flight.truncate(self.in_flight.len().saturating_sub(usize::from(grants)));
    }

    /// Returns whether rates are granted instead of single calls.
    pub(crate) fn grants_rates(&self, fleet: SharingConfig) -> bool {
        let share = self.full_rate(fleet).unwrap_or(0.0) * USED_FRACTION / fleet.shares();
        fleet.sharing == Sharing::Shares && share >= RATE_GRANTS_FROM_PER_S
    }

    /// Grants a rate to a relay for [`RATE_VALIDITY`], in calls per second, in proportion to the messages waiting at each relay.
    pub(crate) fn grant_rate(&mut self, now: Micros, cold: ColdStart, fleet: SharingConfig, to: Peer) -> f64 {
        if self.wait_until > now || !self.loans.is_usable(now, to) {
            return 0.0;
        }
        let usable = self.usable_fraction(now, fleet, RATE_VALIDITY);
        let whole = self.rate(now, cold, fleet, RATE_VALIDITY).unwrap_or(0.0);
        let whole =
            if self.is_out { whole.min(usable * SECOND as f64 / TRIAL_INTERVAL as f64) } else { whole };
        if let Some(request) = self.requests.get_mut(&to) {
            let waiting = total_waiting(&request.waiting).min(MAX_COUNTED_WAITING);
            request.mean_waiting += (f64::from(waiting) - request.mean_waiting) / SMOOTHING;
        }
        // An idle relay gets a small rate too, so that its first message can be sent without a request.
        let weight = |request: &RelayRequest| 1.0 + request.mean_waiting;
        let requests = self.requests.iter().filter(|(peer, _)| self.loans.is_usable(now, **peer));
        let all: f64 = requests.map(|(_, request)| weight(request)).sum();
        let mine = self.requests.get(&to).map_or(1.0, weight);
        self.granted_rates.grant(now, to, whole * mine / all.max(mine), whole, RATE_VALIDITY)
    }

    /// Returns whether this relay has its own share and no other.
    pub(crate) fn has_own_share_only(&self, now: Micros, fleet: SharingConfig) -> bool {
        fleet.sharing == Sharing::Shares
            && self.loans.is_usable(now, fleet.me)
            && self.loans.count(now, 0) == 1
    }

    /// Returns the period of the time slots of a relay that has its own share only, in microseconds. It has to be the same at
    /// all such relays, so it depends on the listed limit, or on the reported one in steps, and on nothing that one relay
    /// observed alone.
    pub(crate) fn slot_period(&self, now: Micros, fleet: SharingConfig) -> Option<Micros> {
        let full = self.full_rate(fleet).filter(|full| *full > 0.0 && self.has_own_share_only(now, fleet))?;
        let listed = self.listed_rate.is_some_and(|listed| listed == full);
        let stepped = (1.0 + LIMIT_TOLERANCE).powf((full.ln() / (1.0 + LIMIT_TOLERANCE).ln()).floor());
        let rate = if listed { full } else { stepped } * USED_FRACTION / fleet.shares();
        Some(((SECOND as f64 / rate) as Micros).max(1))
    }

    /// Returns the relay that gets the next grant: that of the highest priority, then that which waits longest.
    pub(crate) fn next_relay(&self, now: Micros, fleet: SharingConfig) -> Option<Peer> {
        let lends = |peer: &Peer| fleet.sharing == Sharing::Whole || self.loans.is_usable(now, *peer);
        let requests = self
            .requests
            .iter()
            .filter(|(peer, request)| now - request.received_at < REQUEST_VALIDITY && lends(peer));
        let priority = |request: &RelayRequest| request.waiting.first().map(|(priority, _)| *priority);
        let best = requests
            .filter_map(|(peer, request)| {
                Some((priority(request)?, std::cmp::Reverse(request.waiting_since), *peer))
            })
            .max();
        best.map(|(.., peer)| peer)
    }

    /// Updates the reclaimed fraction by the remaining allowance in a report.
    pub(crate) fn update_reclaimed(&mut self, now: Micros, fleet: SharingConfig, report: &Report) {
        let elapsed_s = (now - self.reclaimed_at).clamp(0, REPORT_VALIDITY) as f64 / SECOND as f64;
        let lent = self.lent_fraction(now, fleet, 0);
        let waits = self
            .requests
            .iter()
            .any(|(peer, request)| !request.waiting.is_empty() && self.loans.is_usable(now, *peer));
        self.reclaimed_at = now;
        if report.result == CallResult::Refused
            || report.remaining.is_none_or(|remaining| remaining < RECLAIM_REMAINING)
        {
            self.last_low_at = now;
        }
        // A relay that hears nobody keeps to its time slots.
        let room = now - self.last_low_at >= RECLAIM_AFTER && !self.has_own_share_only(now, fleet);
        self.reclaimed = match report.remaining {
            _ if report.result == CallResult::Refused => 0.0,
            Some(remaining) if remaining < LOW_REMAINING => self.reclaimed * RECLAIM_DECAY,
            Some(_) if room && waits => self.reclaimed + RECLAIMED_PER_S * lent * elapsed_s,
            _ => self.reclaimed,
        };
        self.reclaimed = self.reclaimed.min((1.0 - lent).max(0.0));
    }

    /// Updates the state by the result of a call.
    pub(crate) fn apply_report(&mut self, now: Micros, fleet: SharingConfig, report: &Report) {
        if fleet.sharing == Sharing::Shares {
            self.update_reclaimed(now, fleet, report);
        }
        self.in_flight.pop_front();
        if let Some(limit) = report.limit.filter(|limit| limit.is_finite() && *limit > 0.0) {
            let mean = self.reported_rate.unwrap_or(self.listed_rate.unwrap_or(limit));
            self.reported_rate = Some(mean + (limit - mean) / SMOOTHING);
        }
        if let Some(wait) = report.wait {
            self.wait_until = self.wait_until.max(now + wait.clamp(0, MAX_WAIT));
        }
        let stale = self.last_signal.is_some_and(|signal| report.began <= signal);
        if self.failures + self.refusals == 0 {
            self.failure_rate_before = self.failure_rate;
        }
        let quick_failure = fleet.follow_success_rate && self.update_failure_rate(now, report);
        match report.result {
            CallResult::OutOfConnections => self.few_connections = true,
            CallResult::Succeeded => {
                self.last_success = Some(now);
                if !stale {
                    self.doublings = 0;
                }
                if self.is_out {
                    let brief = fleet.follow_success_rate && now - self.failing_since <= BRIEF_OUTAGE;
                    // A brief outage counts in the failure rate; after a longer one the earlier failure rate applies again.
                    self.failure_rate = if brief { self.failure_rate } else { self.failure_rate_before };
                    (self.is_out, self.recovered_at) = (false, Some(now).filter(|_| !brief));
                }
                (self.failures, self.refusals) = (0, 0);
            }
            CallResult::Failed | CallResult::Refused => {
                if self.failures + self.refusals == 0 {
                    self.failing_since = report.began;
                }
                match report.result {
                    CallResult::Failed => self.failures += 1,
                    _ => self.refusals += 1,
                }
                // A quick failure is already accounted for by the failure rate.
                if !stale && !quick_failure {
                    self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
                    self.last_signal = Some(now);
                }
                let refused =
                    self.refusals >= OUTAGE_REFUSALS && now - self.failing_since >= OUTAGE_REFUSED_FOR;
                if self.failures >= self.outage_threshold() || refused {
                    (self.is_out, self.recovered_at) = (true, None);
                    self.backlog.reset();
                }
            }
        }
    }
}
