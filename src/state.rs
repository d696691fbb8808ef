//! What the rules know of messages, calls, destinations and endpoints, as plain records with their invariants. It
//! decides nothing; the rules alone write here.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use overload::backlog::Backlog;
use overload::waits::Waits;
use permits::held_grants::HeldGrants;
use repeats::hand::Hand;
use serde::{Deserialize, Serialize};

use crate::estimate::AnswerTimes;
use crate::interface::*;
use crate::pacing::Pacer;

/// An answer is overdue, and a call timed out, after the mean answer time and so many mean deviations.
pub(crate) const DEVIATIONS: Micros = 5;
/// A second in the clock's microseconds.
pub(crate) const SECOND: f64 = 1e6;
pub(crate) const NEVER: Micros = Micros::MAX;

/// A destination that failed or refused: an outage, or what may be one, until a success or warm after that.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Trouble {
    pub(crate) first_begun: Micros,
    pub(crate) failures: u32,
    /// Until then calls need no turn; then the next is this.
    pub(crate) early_until: Micros,
    pub(crate) turn: Micros,
    /// When it first answered after an outage; before that, trials of peers spare this sender's until `hold`.
    pub(crate) back: Option<Micros>,
    pub(crate) hold: Micros,
}

/// What shares one limit, one wait and one outage: a destination, or a route where routes are apart.
/// Invariant: nothing starts before `ready_at`.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Lane {
    pub(crate) pacer: Pacer,
    pub(crate) wait_until: Option<Micros>,
    pub(crate) trouble: Option<Trouble>,
    /// Start of the latest call that was answered well outside of a trouble.
    pub(crate) good: Option<Micros>,
    /// Calls a second that all senders together may make, as far as told.
    pub(crate) rate: Option<f64>,
    /// A report told the limit, and is fresher than the list.
    pub(crate) reported: bool,
    pub(crate) out: u32,
    pub(crate) times: AnswerTimes,
    /// What a steward permits, who paces all senders together; their own pace counts where none is heard.
    pub(crate) held: HeldGrants,
    /// What waits here, and how long all of it waits, as its steward said, until then.
    #[serde(default)]
    pub(crate) backlog: Backlog,
    #[serde(default)]
    pub(crate) waits: (Waits, Micros),
}

impl Lane {
    /// The gap between this sender's calls at its part of the rate told, else as lately seen.
    pub(crate) fn usual_gap(&self, senders: u32) -> Micros {
        let listed = self.rate.map(|rate| (f64::from(senders) * SECOND / rate) as Micros);
        listed.or(self.pacer.spacing).unwrap_or(NEVER)
    }

    /// What a steward said lately of how long all that waits here waits.
    pub(crate) fn said(&self, now: Micros) -> Option<&Waits> {
        Some(&self.waits).filter(|(_, until)| now < *until).map(|(waits, _)| waits)
    }

    /// A call that took so long should have been answered.
    pub(crate) fn overdue(&self, took: Micros) -> bool {
        self.times.within(DEVIATIONS).is_some_and(|usual| took > usual)
    }
}

/// A destination. Invariant: `queue` holds its messages that are neither out nor ended, in release order.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Destination {
    /// Index of its lane; where routes are apart, each endpoint has its own.
    pub(crate) lane: usize,
    pub(crate) apart: bool,
    pub(crate) batch: u32,
    pub(crate) endpoints: BTreeSet<TargetId>,
    pub(crate) queue: BTreeSet<(Rank, MessageId)>,
    /// Further attempts that the senders' budget lets start.
    #[serde(default)]
    pub(crate) repeats: Hand,
}

/// An endpoint. Invariant: once `stop` is set, nothing new goes there until the list names it in service.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) lane: usize,
    pub(crate) stop: bool,
    pub(crate) out: u32,
    pub(crate) failures: u32,
    pub(crate) try_at: Micros,
    /// Calls that its connections allow, as far as seen; one more is tried from `more_at` on.
    pub(crate) most: Option<u32>,
    pub(crate) more_at: Micros,
    pub(crate) idle_since: Option<Micros>,
    /// The call of this very moment, which others may join.
    pub(crate) joining: Option<(Micros, u64, u32)>,
}

impl Endpoint {
    /// A connection is open and idle.
    pub(crate) fn warm(&self, now: Micros, idle_for: Micros) -> bool {
        self.idle_since.is_some_and(|since| now - since < idle_for)
    }
}

/// The order of release: what is worth most, then what loses that worth first, then what came first.
pub(crate) type Rank = (Reverse<u64>, Micros, u64);

/// A message taken and not ended. Invariant: it is in its destination's queue or out, never both.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) class: usize,
    /// What it is worth now, when that changes, and its number.
    pub(crate) rank: Rank,
    /// Started until then, it is in time.
    pub(crate) in_time: Micros,
    pub(crate) due: Micros,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) attempts: u32,
    /// A start found it taken on and untried.
    #[serde(default)]
    pub(crate) untried: bool,
    pub(crate) out: Option<u64>,
    /// Start and zone of the attempt that is out, once it was answered and the answer is still to settle.
    #[serde(default)]
    pub(crate) settling: Option<(Micros, usize)>,
    /// Start and zone of the earliest attempt that may have run.
    pub(crate) risk: Option<(Micros, usize)>,
    /// Withdrawn or served while out: only its outcome is awaited.
    pub(crate) over: bool,
}

impl Message {
    /// The tier of what it is worth now.
    pub(crate) fn tier(&self) -> u16 {
        permits::priority_level(self.rank.0.0)
    }

    /// Whether an estimate may end it before its time. What a start found untried is owed a try: what it is judged by
    /// is hardly known yet then, and its client was told long ago that it is taken on.
    pub(crate) fn may_be_judged(&self) -> bool {
        !self.untried || self.attempts > 0
    }
}

/// One call, shared by the messages that started together. Invariant: one slot until all have their outcome.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) lane: usize,
    pub(crate) begun: Micros,
    pub(crate) left: u32,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) reused: bool,
    /// Its messages with the number of the attempt, until it is called off.
    pub(crate) members: Vec<(MessageId, u32)>,
}

/// Messages of one key in the order taken; nobody but the first may go, and not before `rest_until`.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct KeyLine {
    pub(crate) line: VecDeque<MessageId>,
    pub(crate) rest_until: Micros,
}
