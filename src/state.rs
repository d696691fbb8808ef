//! State records of the decision rules: messages, calls, send paths, destinations and endpoints, with their
//! invariants. Only the rules change them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use overload::backlog::Backlog;
use overload::waits::MinimumWaits;
use permits::held_grants::HeldGrants;
use repeats::tokens::RetryTokens;
use serde::{Deserialize, Serialize};

use crate::estimate::ResponseTimes;
use crate::interface::*;
use crate::pacing::{Pacer, slot_period};

/// A call is overdue, and times out, after the mean response time plus this many mean deviations.
pub(crate) const OVERDUE_DEVIATIONS: Micros = 5;
/// Microseconds per second.
pub(crate) const SECOND: f64 = 1e6;
/// A time that is never reached.
pub(crate) const NEVER: Micros = Micros::MAX;

/// Failures or refusals of a destination: an outage, or what may become one. Removed by a success if this
/// sender's own successes leave no room for an outage; otherwise when the destination has warmed up after its
/// return.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct FailureState {
    /// Start of the first call that failed.
    #[serde(rename = "first_begun")]
    pub(crate) first_start: Micros,
    /// Failed or refused calls in a row.
    pub(crate) failures: u32,
    /// Until this time calls need no recovery slot; after it the next one has to wait for `next_slot`.
    pub(crate) early_until: Micros,
    /// Recovery slot: earliest start of this sender's next call, by its share of what a returning destination
    /// can serve.
    #[serde(rename = "turn")]
    pub(crate) next_slot: Micros,
    /// Time of the first success after an outage; `None` while the outage lasts.
    #[serde(rename = "back")]
    pub(crate) returned_at: Option<Micros>,
    /// Time of the return after which this sender's latest failures came; `None` if there was no return before
    /// them.
    #[serde(default)]
    pub(crate) earlier_return: Option<Micros>,
    /// The outage is only possible: this sender saw too few failures to tell. After the return, `burst` then
    /// applies.
    #[serde(default)]
    pub(crate) unproven: bool,
    /// How much earlier than `next_slot` a call may start after the return of an unproven outage.
    #[serde(default)]
    pub(crate) burst: Micros,
    /// Number of calls that may still start until `early_until`. Earlier builds do not limit them.
    #[serde(default = "unlimited")]
    pub(crate) early_calls: u32,
    /// While the outage lasts, trials of peers replace this sender's own until this time.
    #[serde(rename = "hold")]
    pub(crate) held_until: Micros,
}

/// The number of early calls in the state of an earlier build.
fn unlimited() -> u32 {
    u32::MAX
}

impl FailureState {
    /// Returns whether a call at this time needs no recovery slot because it is soon after the first failure.
    pub(crate) fn is_early(&self, at: Micros) -> bool {
        at <= self.early_until && self.early_calls > 0
    }

    /// Returns whether recovery slots that were not used may be used later: after the return of an unproven
    /// outage.
    pub(crate) fn accumulates_slots(&self) -> bool {
        self.unproven && self.returned_at.is_some()
    }

    /// Moves the next slot to `interval` after `from`, at most to the end of the warm-up.
    pub(crate) fn use_slot(&mut self, settings: &Settings, from: Micros, interval: Micros) {
        let warm_at = self.returned_at.map_or(NEVER, |returned_at| returned_at + slot_period(settings));
        self.next_slot = from.saturating_add(interval).min(warm_at);
    }

    /// Returns the time from which the next call may start.
    pub(crate) fn earliest_start(&self) -> Micros {
        let burst = if self.accumulates_slots() { self.burst } else { 0 };
        self.next_slot.saturating_sub(burst).max(self.held_until)
    }
}

/// Pacing, server-requested wait and failure state shared by a destination, or by one of its routes where
/// routes are separate. Invariant: nothing starts before `next_start`.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct SendPath {
    pub(crate) pacer: Pacer,
    /// End of the wait that the destination requested.
    pub(crate) wait_until: Option<Micros>,
    #[serde(rename = "trouble")]
    pub(crate) failure: Option<FailureState>,
    /// Start of the latest successful call outside of a failure state.
    #[serde(rename = "good")]
    pub(crate) last_success: Option<Micros>,
    /// When the latest successful answer arrived.
    #[serde(default)]
    pub(crate) last_answer: Option<Micros>,
    /// Limit of all senders together, in calls per second, if known.
    pub(crate) rate: Option<f64>,
    /// The destination itself reported the rate, which is newer than the endpoint list.
    #[serde(rename = "reported")]
    pub(crate) rate_reported: bool,
    /// Calls in flight.
    #[serde(rename = "out")]
    pub(crate) in_flight: u32,
    #[serde(rename = "times")]
    pub(crate) response_times: ResponseTimes,
    /// Grants of the limit coordinator, which paces all senders together. The own pacer counts while none is
    /// heard.
    #[serde(rename = "held")]
    pub(crate) grants: HeldGrants,
    /// This sender's own queue for the path and how it moves.
    #[serde(default)]
    pub(crate) backlog: Backlog,
    /// Waits of all senders' messages as the coordinator reported them, and the time until which the report
    /// counts.
    #[serde(default, rename = "waits")]
    pub(crate) reported_waits: (MinimumWaits, Micros),
}

impl SendPath {
    /// Returns the interval between this sender's calls at its share of the known rate, or else the recent
    /// mean.
    pub(crate) fn expected_spacing(&self, senders: u32) -> Micros {
        let listed = self.rate.map(|rate| (f64::from(senders) * SECOND / rate) as Micros);
        listed.or(self.pacer.spacing).unwrap_or(NEVER)
    }

    /// Returns the coordinator's report of waits, unless it is outdated.
    pub(crate) fn coordinator_waits(&self, now: Micros) -> Option<&MinimumWaits> {
        Some(&self.reported_waits).filter(|(_, until)| now < *until).map(|(waits, _)| waits)
    }

    /// Returns whether a call in flight for `elapsed` is slower than usual; `false` while no answer was
    /// measured.
    pub(crate) fn is_overdue(&self, elapsed: Micros) -> bool {
        self.response_times.upper_bound(OVERDUE_DEVIATIONS).is_some_and(|usual| elapsed > usual)
    }
}

/// A destination. Invariant: `queue` holds its messages that are neither in flight nor ended, in release
/// order.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Destination {
    /// Index of its send path; where routes are separate, each endpoint has its own.
    #[serde(rename = "lane")]
    pub(crate) path: usize,
    #[serde(rename = "apart")]
    pub(crate) separate_routes: bool,
    #[serde(rename = "batch")]
    pub(crate) max_batch: u32,
    pub(crate) endpoints: BTreeSet<TargetId>,
    pub(crate) queue: BTreeSet<(ReleaseOrder, MessageId)>,
    /// Tokens of the senders' shared retry budget that this sender holds.
    #[serde(default, rename = "repeats")]
    pub(crate) retry_tokens: RetryTokens,
}

/// An endpoint. Invariant: while `out_of_service` is set, no new call goes there.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    /// Index of its send path.
    #[serde(rename = "lane")]
    pub(crate) path: usize,
    /// Draining or removed; cleared when the endpoint list names it in service again.
    #[serde(rename = "stop")]
    pub(crate) out_of_service: bool,
    /// Calls in flight.
    #[serde(rename = "out")]
    pub(crate) in_flight: u32,
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Earliest start of the next trial call of a failing endpoint.
    #[serde(rename = "try_at")]
    pub(crate) next_trial: Micros,
    /// Number of calls that its connections were seen to allow; one more is tried from `raise_limit_at` on.
    #[serde(rename = "most")]
    pub(crate) connection_limit: Option<u32>,
    #[serde(rename = "more_at")]
    pub(crate) raise_limit_at: Micros,
    /// Since when it has an idle connection.
    pub(crate) idle_since: Option<Micros>,
    /// Start, id and size of the latest call; messages sent at the same time may join it.
    #[serde(rename = "joining")]
    pub(crate) latest_call: Option<(Micros, u64, u32)>,
}

impl Endpoint {
    /// Returns whether a connection is open and idle.
    pub(crate) fn has_idle_connection(&self, now: Micros, idle_timeout: Micros) -> bool {
        self.idle_since.is_some_and(|since| now - since < idle_timeout)
    }
}

/// Release order: highest priority, then earliest loss of value, then first arrival.
pub(crate) type ReleaseOrder = (Reverse<u64>, Micros, u64);

/// A message accepted and not ended. Invariant: it is either in its destination's queue or in flight.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) class: usize,
    /// Its present value in thousandths, the time of the next decrease and the arrival number.
    #[serde(rename = "rank")]
    pub(crate) order: ReleaseOrder,
    /// Latest start at which it earns its full value.
    #[serde(rename = "in_time")]
    pub(crate) full_value_until: Micros,
    /// Time after which it may no longer be delivered.
    pub(crate) due: Micros,
    pub(crate) destination: DestinationId,
    /// Ordering key.
    pub(crate) key: Option<Arc<str>>,
    pub(crate) attempts: u32,
    /// Accepted by an earlier process that made no attempt.
    #[serde(default, rename = "untried")]
    pub(crate) resumed_untried: bool,
    /// Id of the call that it is in flight with.
    #[serde(rename = "out")]
    pub(crate) call: Option<u64>,
    /// Start and zone of the attempt in flight, once it was answered but the answer is not yet matched to it.
    #[serde(default, rename = "settling")]
    pub(crate) answered_attempt: Option<(Micros, usize)>,
    /// Start and zone of the earliest attempt that may have run.
    #[serde(rename = "risk")]
    pub(crate) may_have_run: Option<(Micros, usize)>,
    /// Withdrawn while in flight: only its outcome is awaited.
    #[serde(rename = "over")]
    pub(crate) ended_elsewhere: bool,
}

impl Message {
    /// Returns the priority that follows from its present value.
    pub(crate) fn priority(&self) -> u16 {
        permits::priority_level(self.order.0.0)
    }

    /// Returns whether an estimated wait may end it before its due time. A message resumed untried is owed
    /// one attempt: right after a restart the estimates have hardly any data, and its client was told long
    /// ago that it is accepted.
    pub(crate) fn may_be_shed(&self) -> bool {
        !self.resumed_untried || self.attempts > 0
    }
}

/// A call, shared by the messages that started together. Invariant: it occupies one call slot until all have
/// their outcome.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Index of its send path.
    #[serde(rename = "lane")]
    pub(crate) path: usize,
    #[serde(rename = "begun")]
    pub(crate) started_at: Micros,
    /// Messages that have no outcome yet.
    #[serde(rename = "left")]
    pub(crate) pending: u32,
    pub(crate) outcome: Option<Outcome>,
    /// Sent on an idle connection.
    #[serde(rename = "reused")]
    pub(crate) reused_connection: bool,
    /// Its messages with the number of the attempt; emptied when the call is cancelled.
    pub(crate) members: Vec<(MessageId, u32)>,
}

/// Messages of one ordering key in the order of acceptance. Only the first may be sent, and not before
/// `paused_until`.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct KeyQueue {
    #[serde(rename = "line")]
    pub(crate) messages: VecDeque<MessageId>,
    #[serde(rename = "rest_until")]
    pub(crate) paused_until: Micros,
}
