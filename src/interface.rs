//! The decision module's interface: settings, events, actions, ids and outcomes as plain types, without
//! decisions.
//!
//! Times are microseconds of the caller's monotonic clock, which may start at any value and never moves
//! backwards.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
pub use verdict::Decision;

/// A time of the caller's monotonic clock, or a duration, in microseconds.
pub type Micros = i64;

/// Id of a message, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Id of an endpoint of a destination, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub u32);

/// Id of a destination, as used by the endpoint list and by messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub i64);

/// What a retry of a message does at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Effect {
    /// A retry is harmless, and the message may be refused at any time.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The destination drops duplicates by idempotency key, for `window` after the earliest attempt that may
    /// have run.
    Keyed {
        /// How long duplicates are dropped.
        window: Micros,
        /// The endpoints that share the memory of keys.
        #[serde(rename = "group")]
        scope: DedupScope,
    },
    /// The message must not take effect twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// The endpoints of a destination that drop duplicates of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the zone of the first attempt.
    Zone,
    /// All endpoints of the destination; unlike with `All`, a message that may have run is not refused.
    Cell,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Value of one message, if it is delivered in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Latency target: a message delivered within this duration earns its full value.
    pub aim: Micros,
    /// Duration after which a message may no longer be delivered, counted from its first submission.
    pub deadline: Micros,
    /// Fraction of the value that is left at the deadline.
    #[serde(rename = "late_worth")]
    pub late_fraction: f64,
    /// What a retry does.
    pub effect: Effect,
    /// Messages of one key are sent one at a time, in the order of acceptance.
    pub in_order: bool,
}

/// How the value of a message falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LateDecay {
    /// Linearly, down to the late fraction at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// By half with each further aim, never below the late fraction.
    #[serde(rename = "Halves")]
    Halving,
}

impl LateDecay {
    /// Returns the mean fraction of its value that a message of `class` has in its n-th aim after the first,
    /// counted from 0.
    pub fn fraction(self, class: &Class, n: Micros) -> f64 {
        let middle = n as f64 + 0.5;
        let fraction = match self {
            LateDecay::Halving => 0.5f64.powf(middle),
            LateDecay::Linear => {
                let span = (class.deadline - class.aim).max(class.aim) as f64;
                1.0 - (1.0 - class.late_fraction) * middle * class.aim as f64 / span
            }
        };
        fraction.max(class.late_fraction)
    }
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// The endpoints of a destination are separate routes, each with its own limit, pace and outages.
    #[serde(rename = "apart")]
    pub separate_routes: bool,
    /// Maximum number of messages in one call.
    #[serde(rename = "batch")]
    pub max_batch: u32,
}

/// A tenant, whose traffic beyond its quota has a lower value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages per second, through all senders together, that are within the tenant's quota.
    pub quota: f64,
}

/// Parameters of the delivery rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// Fraction of its capacity that a destination has at least when it returns from an outage.
    #[serde(rename = "cold_from")]
    pub cold_capacity_fraction: f64,
    /// Duration after its return within which a destination reaches its full capacity.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// Multiple of its present capacity above which traffic overloads a returning destination ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... if it lasts for this duration.
    #[serde(rename = "fall_window")]
    pub overload_window: Micros,
    /// Duration within which sends to a draining or removed endpoint cease.
    pub drain_grace: Micros,
    /// Duration for which a key is paused after an attempt that may still be running.
    #[serde(rename = "settle")]
    pub settle_time: Micros,
}

/// Settings of the decision module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of message; [`Arrival::class`] is an index here.
    pub classes: Vec<Class>,
    /// Kinds of destination; [`EndpointEntry::kind`] is an index here.
    pub kinds: Vec<Kind>,
    /// Tenants; [`Arrival::tenant`] is an index here. May be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its class's value that a message beyond its tenant's quota has.
    #[serde(rename = "over_share_worth")]
    pub over_quota_fraction: f64,
    /// How value falls after the aim.
    #[serde(rename = "late")]
    pub late_decay: LateDecay,
    /// Number of call slots: the maximum number of calls in flight.
    pub slots: u32,
    /// Maximum number of messages held, in flight or waiting.
    pub max_held: u32,
    /// Maximum number of attempts for a message.
    pub max_attempts: u32,
    /// Number of senders that share the destinations, including this one.
    pub senders: u32,
    /// Duration after which a connection attempt has failed.
    pub connect_timeout: Micros,
    /// Duration after which an idle connection is closed.
    #[serde(rename = "connection_idle")]
    pub idle_timeout: Micros,
    /// Longest `Retry-After` that clients honor; `None` where clients get no such advice.
    #[serde(rename = "longest_advice")]
    pub max_retry_after: Option<Micros>,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the endpoint list holds agreed rates, in calls per second for all senders together.
    pub listed_rates: bool,
    /// Whether a limit coordinator may be asked for grants where all senders share a rate (see the crate
    /// `permits`).
    #[serde(rename = "stewards")]
    pub coordinators: bool,
    /// Whether each sender owns a share of every rate that no other sender may use. Coordinators are then
    /// asked whatever the rate is.
    #[serde(default)]
    pub shares: bool,
    /// Whether retries need a token of the retry budget that all senders share (see the crate `repeats`).
    #[serde(default, rename = "repeats")]
    pub retry_budget: bool,
    /// `Some` where senders have to request the endpoint list: the duration for which a sender may go without
    /// a request.
    #[serde(rename = "ask_every")]
    pub list_request_interval: Option<Micros>,
    /// Cost of each message accepted by a separate route, by the zone of the route.
    pub zone_fee: Vec<f64>,
    /// Parameters of the delivery rules.
    pub rules: RuleParameters,
}

/// Error for invalid settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class of message.
    #[error("settings define no class of message")]
    NoClasses,
    /// There is no kind of destination.
    #[error("settings define no kind of destination")]
    NoKinds,
    /// A value is outside its range.
    #[error("{what} is {found}, expected {expected}")]
    OutOfRange {
        /// The setting.
        what: String,
        /// Its value.
        found: String,
        /// The valid values.
        expected: &'static str,
    },
}

/// A stopping process starts no call within the shortest aim divided by this before its end.
const STOP_MARGIN_AIM_DIVISOR: Micros = 4;

impl Settings {
    /// Returns the shortest aim of all classes.
    pub fn shortest_aim(&self) -> Micros {
        self.classes.iter().map(|class| class.aim).min().unwrap_or(1)
    }

    /// Returns the time from which a process that ends at `until` starts no call, as the answer would hardly
    /// arrive.
    pub fn last_start(&self, until: Micros) -> Micros {
        until - self.shortest_aim() / STOP_MARGIN_AIM_DIVISOR
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.kinds.is_empty() {
            return Err(SettingsError::NoKinds);
        }
        let require = |valid: bool, what: String, found: f64, expected| match valid {
            true => Ok(()),
            false => Err(SettingsError::OutOfRange { what, found: found.to_string(), expected }),
        };
        for (i, class) in self.classes.iter().enumerate() {
            let valid_value = class.value.is_finite() && class.value >= 0.0;
            require(valid_value, format!("worth of class {i}"), class.value, "finite and 0 or more")?;
            let valid_aim = class.aim > 0 && class.aim <= class.deadline;
            require(
                valid_aim,
                format!("aim of class {i}"),
                class.aim as f64,
                "over 0 and not past the deadline",
            )?;
            let valid_late = (0.0..=1.0).contains(&class.late_fraction);
            require(valid_late, format!("late worth of class {i}"), class.late_fraction, "from 0 to 1")?;
        }
        let Settings { slots, max_held, max_attempts, senders, rules, .. } = self;
        let counts =
            [("slots", slots), ("max_held", max_held), ("max_attempts", max_attempts), ("senders", senders)];
        for (what, count) in counts {
            require(*count > 0, what.into(), f64::from(*count), "1 or more")?;
        }
        let valid_cold = rules.cold_capacity_fraction > 0.0 && rules.cold_capacity_fraction <= 1.0;
        require(valid_cold, "cold_from".into(), rules.cold_capacity_fraction, "over 0 and at most 1")?;
        let valid_multiple = rules.overload_multiple.is_finite() && rules.overload_multiple > 0.0;
        require(valid_multiple, "fall_multiple".into(), rules.overload_multiple, "finite and over 0")
    }
}

/// Whether an endpoint accepts new work according to the endpoint list. This is independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceState {
    /// In service.
    InService,
    /// Draining: accepts nothing new after the grace period.
    Draining,
    /// Removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub target: TargetId,
    /// Its destination.
    pub destination: DestinationId,
    /// Index of its kind in [`Settings::kinds`].
    pub kind: usize,
    /// Index of its zone in [`Settings::zone_fee`].
    pub zone: usize,
    /// Whether it accepts new work.
    pub state: ServiceState,
    /// Agreed rate of its destination, or of the route where routes are separate; used if
    /// [`Settings::listed_rates`] is set.
    pub rate: f64,
}

/// How a list event changes the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The event holds only entries that changed.
    Changes,
    /// The event holds the whole list; a missing endpoint has been removed.
    Full,
    /// A request for the list failed or the subscription broke; there are no entries.
    Failed,
}

/// A message submitted by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The message.
    pub id: MessageId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Ordering key, for classes that keep their order.
    pub key: Option<Arc<str>>,
    /// Time after which it may no longer be delivered.
    pub due: Micros,
    /// Its destination.
    pub destination: DestinationId,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// The endpoint is out of connections and rejected the call unprocessed; did not run.
    Crowded,
    /// The destination is at its limit and rejected the call unprocessed, with the wait that it requested, if
    /// any; did not run.
    Full(Option<Micros>),
    /// No answer within the time-out; may have taken effect or still do so.
    TimedOut,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// The answer cannot be parsed; may have taken effect. Carries no information about health or pace.
    Spoilt,
    /// Cancelled by the sender; may have taken effect.
    Cancelled,
    /// Not sent at all; did not run. Counts as an attempt.
    Skipped,
}

impl Outcome {
    /// Returns whether an attempt with this outcome that did not deliver may have taken effect or may still
    /// do so.
    pub fn may_have_run(self) -> bool {
        use Outcome::{Cancelled, Error, Reset, Spoilt, TimedOut};
        matches!(self, Error | TimedOut | Reset | Spoilt | Cancelled)
    }

    /// Returns the decision for the message where nothing else is known about the attempt.
    pub fn decision(self) -> Decision {
        match self {
            Outcome::Ok => Decision::Delivered,
            outcome => Decision::Pending { may_have_run: outcome.may_have_run() },
        }
    }
}

/// What a destination reported about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Fraction of the allowance that is left.
    #[serde(rename = "left")]
    pub remaining_fraction: Option<f64>,
    /// The limit, in calls per second for all senders together; 0 where there is none.
    pub limit: Option<f64>,
    /// Wait requested by an answer that rejected the call and broke off afterwards; it applies all the same.
    #[serde(default, rename = "wait")]
    pub requested_wait: Option<Micros>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint called.
    pub target: TargetId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Decision for the message.
    pub decision: Decision,
    /// What the destination reported about its limit.
    pub report: LimitReport,
}

impl AttemptResult {
    /// Returns the wait that the destination requested.
    pub fn requested_wait(&self) -> Option<Micros> {
        if let Outcome::Full(Some(wait)) = self.outcome { Some(wait) } else { self.report.requested_wait }
    }
}

/// An observation of a destination by a peer, or by an earlier process of this sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationObservation {
    /// The destination.
    pub destination: DestinationId,
    /// Time of the observation, by the caller's clock.
    pub observed_at: Micros,
    /// What was observed.
    pub condition: ObservedCondition,
}

/// Observed condition of a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObservedCondition {
    /// It has failed or refused since this time.
    Failing(Micros),
    /// It answers; after a failure, since this time.
    Answering(Option<Micros>),
    /// Its response time.
    ResponseTime(Micros),
}

/// Input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointList(ListUpdate, Vec<EndpointEntry>),
    /// A client submitted a message.
    Arrival(Arrival),
    /// A message that an earlier process of this sender had accepted; its due time is the original one.
    Resumed {
        /// The message.
        arrival: Arrival,
        /// Number of attempts already used.
        attempts: u32,
        /// Whether one of them may have run.
        may_have_run: bool,
    },
    /// New settings. A class of held messages keeps its index and its parameters.
    SettingsChanged(Box<Settings>),
    /// The process ends at this time and receives no answers after it.
    Shutdown(Micros),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// An attempt got an answer, and whether the answer belongs to it is still to be decided;
    /// [`Event::AttemptEnded`] follows. The destination has finished with the call in either case.
    AttemptAnswered(AttemptResult),
    /// The client withdrew the message.
    Withdrawn(MessageId),
    /// A client submitted a withdrawn message again while an attempt of it is in flight, and was told that it is accepted.
    Resubmitted(MessageId),
    /// Another sender observed a destination. The observation may be wrong, late or a duplicate.
    PeerObserved(DestinationObservation),
    /// The limit coordinator of a destination answered and granted more calls.
    Granted {
        /// The destination.
        destination: DestinationId,
        /// Number of additional calls that may start.
        grants: u16,
        /// Its endpoints accept few connections.
        few_connections: bool,
    },
    /// The limit coordinator of a destination reported minimum waits of the messages queued there.
    QueueWaits {
        /// The destination.
        destination: DestinationId,
        /// Waits by value, in thousandths.
        waits: overload::waits::MinimumWaits,
    },
    /// The shared retry budget of a destination granted more retries.
    RetryTokens {
        /// The destination.
        destination: DestinationId,
        /// Number of additional retries that may start.
        tokens: u32,
        /// Minimum waits by value of the retries that get no token, if reported.
        waits: Option<overload::waits::MinimumWaits>,
    },
    /// A timer set by the module expired.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The endpoint.
        target: TargetId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// What the destination reported about its limit.
        report: LimitReport,
    },
}

/// Output of the decision module, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint; its attempts count from 0.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        target: TargetId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Time, by the caller's clock, after which the request must not be sent.
        send_by: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: not delivered, and the client may safely submit the message again.
    Refuse {
        /// The message.
        id: MessageId,
        /// Advised delay before the next submission.
        retry_after: Option<Micros>,
    },
    /// Final answer: given up, and the message may have taken effect.
    Fail(MessageId),
    /// Send [`Event::Timer`] after a delay.
    SetTimer {
        /// Value of the [`Event::Timer`].
        token: u64,
        /// Delay from now.
        after: Micros,
    },
    /// Request grants from a destination's limit coordinator, for messages beyond the grants held.
    RequestGrants {
        /// The destination.
        destination: DestinationId,
        /// Number of messages by priority, highest first.
        waiting: permits::WaitingByPriority,
    },
    /// Request tokens of a destination's retry budget, for retries beyond the tokens held.
    RequestRetryTokens {
        /// The destination.
        destination: DestinationId,
        /// Number of messages by priority, highest first.
        waiting: permits::WaitingByPriority,
    },
    /// Probe an endpoint.
    Probe(TargetId),
    /// Close the idle connections to an endpoint.
    CloseIdle(TargetId),
    /// Subscribe to changes of the endpoint list.
    SubscribeList,
}
