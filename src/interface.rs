//! The module's interface: settings, events, actions, ids and outcomes as plain types.
//!
//! Nothing here decides anything. Times are microseconds of the caller's clock, which may start anywhere
//! and never moves backwards.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
pub use verdict::Verdict;

/// A time of the caller's clock, or a span of it, in microseconds.
pub type Micros = i64;

/// A message, by the number that the caller gave it. Numbers are not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// An endpoint of a destination, by the number that the caller gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub u32);

/// A destination, by the number under which the list and the messages name it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub i64);

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Effect {
    /// May be repeated and refused at will.
    Safe,
    /// The destination drops a repeat for `window` after the earliest attempt that may have run.
    Keyed {
        /// How long a repeat is dropped.
        window: Micros,
        /// Which endpoints share that memory.
        group: Group,
    },
    /// Must never take effect twice.
    Unsafe,
}

/// Which endpoints of a destination drop the repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Group {
    /// All endpoints of the destination.
    All,
    /// Those in the zone of the first attempt.
    Zone,
    /// Those of the destination; unlike with `All`, a message that may have run is not refused.
    Cell,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Worth of one message.
    pub worth: f64,
    /// Delivered within this span it earns its full worth.
    pub aim: Micros,
    /// It may be delivered for this long, counted from when it was first handed in.
    pub deadline: Micros,
    /// The share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Messages of one key go singly, in the order taken.
    pub in_order: bool,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LateForm {
    /// Evenly, down to the late worth at the deadline.
    Even,
    /// By half with each further aim, never under the late worth.
    Halves,
}

impl LateForm {
    /// The mean share of its worth that a message of a class has in its n-th aim after the first, from 0.
    pub fn share(self, class: &Class, n: Micros) -> f64 {
        let middle = n as f64 + 0.5;
        let share = match self {
            LateForm::Halves => 0.5f64.powf(middle),
            LateForm::Even => {
                let span = (class.deadline - class.aim).max(class.aim) as f64;
                1.0 - (1.0 - class.late_worth) * middle * class.aim as f64 / span
            }
        };
        share.max(class.late_worth)
    }
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// The endpoints of a destination are separate routes, each with its own limit, pace and outages.
    pub apart: bool,
    /// The most messages that travel as one call.
    pub batch: u32,
}

/// A tenant, whose traffic beyond its quota is worth little.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, through all senders together, that are within the tenant's share.
    pub quota: f64,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleFigures {
    /// A destination back from an outage has at least this share of its capacity.
    pub cold_from: f64,
    /// It is warm after this at the latest.
    pub cold: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, a cold destination falls over.
    pub fall_window: Micros,
    /// Sends to a draining or gone endpoint cease within this span.
    pub drain_grace: Micros,
    /// A key rests for this long after an attempt that may still be running.
    pub settle: Micros,
}

/// What the module is given at start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of message; [`Arrival::class`] is an index here.
    pub classes: Vec<Class>,
    /// Kinds of destination; [`Entry::kind`] is an index here.
    pub kinds: Vec<Kind>,
    /// Tenants; [`Arrival::tenant`] is an index here. May be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its class's worth that a message beyond its tenant's quota has.
    pub over_share_worth: f64,
    /// How worth falls after the aim.
    pub late: LateForm,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held at once, out or not.
    pub max_held: u32,
    /// Most attempts for a message.
    pub max_attempts: u32,
    /// How many senders share the destinations, this one included.
    pub senders: u32,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Micros,
    /// An idle connection is closed after this.
    pub connection_idle: Micros,
    /// The longest stay-away that a client heeds; `None` where clients get no advice.
    pub longest_advice: Option<Micros>,
    /// Probes are permitted.
    pub probes: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// The list holds agreed rates, in calls a second for all senders together.
    pub listed_rates: bool,
    /// A steward may be asked for permits where all senders share a rate (see the crate `permits`).
    pub stewards: bool,
    /// Each sender owns a part of every rate, and no other may use it: stewards are asked whatever a rate is.
    #[serde(default)]
    pub shares: bool,
    /// Further attempts need a credit of the budget that all senders share (see the crate `repeats`).
    #[serde(default)]
    pub repeats: bool,
    /// The list must be asked for; the figure is how long an unasked sender stays excused.
    pub ask_every: Option<Micros>,
    /// For each zone, points for a message that a route apart there takes on.
    pub zone_fee: Vec<f64>,
    /// The figures of the rules.
    pub rules: RuleFigures,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class of message.
    #[error("settings name no class of message")]
    NoClasses,
    /// There is no kind of destination.
    #[error("settings name no kind of destination")]
    NoKinds,
    /// A figure is outside its range.
    #[error("{what} is {found}, expected {expected}")]
    OutOfRange {
        /// The setting.
        what: String,
        /// Its value.
        found: String,
        /// The values that make sense.
        expected: &'static str,
    },
}

/// Nothing starts in the last part of a stopping process: the shortest aim over this.
const STOP_PART_OF_AIM: Micros = 4;

impl Settings {
    /// The shortest aim of a class.
    pub fn shortest_aim(&self) -> Micros {
        self.classes.iter().map(|class| class.aim).min().unwrap_or(1)
    }

    /// Nothing starts from then on in a process that ends at `until`: it would hardly be answered.
    pub fn last_start(&self, until: Micros) -> Micros {
        until - self.shortest_aim() / STOP_PART_OF_AIM
    }

    /// Tells whether the settings make sense.
    ///
    /// # Errors
    /// The first that makes none.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.kinds.is_empty() {
            return Err(SettingsError::NoKinds);
        }
        let need = |sound: bool, what: String, found: f64, expected| match sound {
            true => Ok(()),
            false => Err(SettingsError::OutOfRange { what, found: found.to_string(), expected }),
        };
        for (i, class) in self.classes.iter().enumerate() {
            let worthy = class.worth.is_finite() && class.worth >= 0.0;
            need(worthy, format!("worth of class {i}"), class.worth, "finite and 0 or more")?;
            let timely = class.aim > 0 && class.aim <= class.deadline;
            need(timely, format!("aim of class {i}"), class.aim as f64, "over 0 and not past the deadline")?;
            let late = (0.0..=1.0).contains(&class.late_worth);
            need(late, format!("late worth of class {i}"), class.late_worth, "from 0 to 1")?;
        }
        let Settings { slots, max_held, max_attempts, senders, rules, .. } = self;
        let counts =
            [("slots", slots), ("max_held", max_held), ("max_attempts", max_attempts), ("senders", senders)];
        for (what, count) in counts {
            need(*count > 0, what.into(), f64::from(*count), "1 or more")?;
        }
        let cold = rules.cold_from > 0.0 && rules.cold_from <= 1.0;
        need(cold, "cold_from".into(), rules.cold_from, "over 0 and at most 1")?;
        let falls = rules.fall_multiple.is_finite() && rules.fall_multiple > 0.0;
        need(falls, "fall_multiple".into(), rules.fall_multiple, "finite and over 0")
    }
}

/// Whether an endpoint takes new work, by the list. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// In service.
    InService,
    /// Draining: nothing new after the grace.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub target: TargetId,
    /// Its destination.
    pub destination: DestinationId,
    /// Index of its kind in [`Settings::kinds`].
    pub kind: usize,
    /// Index of its zone in [`Settings::zone_fee`].
    pub zone: usize,
    /// Whether it takes new work.
    pub listed: Listed,
    /// The agreed rate of its destination (of the route, where routes are apart), where rates are listed.
    pub rate: f64,
}

/// How a list event relates to the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Only entries that changed.
    Changes,
    /// The whole list; an endpoint missing from it is gone.
    All,
    /// A request for the list failed or the subscription broke; there are no entries.
    Refused,
}

/// A message handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The message.
    pub id: MessageId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// What it is about, for classes that keep their order.
    pub key: Option<Arc<str>>,
    /// It may be delivered until then.
    pub due: Micros,
    /// Where it goes.
    pub destination: DestinationId,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen, as the endpoint holds no more connections; never ran.
    Crowded,
    /// Turned away unseen, with the time to wait if one was told; never ran.
    Full(Option<Micros>),
    /// No answer in time; may have taken effect or still do so.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Answered in a way that cannot be read; may have taken effect. It tells nothing of health or pace.
    Spoilt,
    /// Called off; may have taken effect.
    Cancelled,
    /// Not sent at all; never ran. It counts as an attempt.
    Skipped,
}

impl Outcome {
    /// Whether an attempt that ended so, without delivery, may have taken effect or may still do so.
    pub fn may_have_run(self) -> bool {
        use Outcome::{Cancelled, Error, Reset, Spoilt, TimedOut};
        matches!(self, Error | TimedOut | Reset | Spoilt | Cancelled)
    }

    /// What it means for its message where nothing else is known of the attempt.
    pub fn verdict(self) -> Verdict {
        match self {
            Outcome::Ok => Verdict::Delivered,
            outcome => Verdict::Owed { may_have_run: outcome.may_have_run() },
        }
    }
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Share of the allowance that is left.
    pub left: Option<f64>,
    /// The limit, in calls a second for all senders together; 0 where there is none.
    pub limit: Option<f64>,
    /// A wait told by an answer that turned the call away and broke off afterwards; it binds all the same.
    #[serde(default)]
    pub wait: Option<Micros>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// The message.
    pub id: MessageId,
    /// Which attempt, counted from 0.
    pub attempt: u32,
    /// Where it went.
    pub target: TargetId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub took: Micros,
    /// What that means for the message.
    pub verdict: Verdict,
    /// What the destination told of its limit.
    pub report: Report,
}

impl Done {
    /// The wait that the destination told.
    pub fn told_wait(&self) -> Option<Micros> {
        if let Outcome::Full(Some(wait)) = self.outcome { Some(wait) } else { self.report.wait }
    }
}

/// What a peer, or an earlier process of this sender, says of a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hearsay {
    /// The destination.
    pub destination: DestinationId,
    /// When it was seen, by the caller's clock.
    pub at: Micros,
    /// What was seen.
    pub word: Word,
}

/// What can be said of a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// It has failed or refused since then.
    Shut(Micros),
    /// It answers; where it was in trouble, since then.
    Answers(Option<Micros>),
    /// How long answers take.
    Took(Micros),
}

/// What the module is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list.
    List(ListForm, Vec<Entry>),
    /// A message was handed in.
    Arrival(Arrival),
    /// A message that an earlier process of this sender had taken on; its due time is the original one.
    Resumed {
        /// The message.
        arrival: Arrival,
        /// Attempts already used.
        attempts: u32,
        /// One of them may have run.
        may_have_run: bool,
    },
    /// Other settings hold from now on. A class that messages are held under keeps its index and its terms.
    Retuned(Box<Settings>),
    /// The process ends then: what has no answer by that time gets none from it.
    Stop(Micros),
    /// An attempt ended.
    Done(Done),
    /// An attempt was answered so, and it is still to settle whether the answer is its own: [`Event::Done`] follows. The
    /// destination is done with the call in any case.
    Answered(Done),
    /// The client withdrew the message.
    Gone(MessageId),
    /// Somebody else saw something of a destination. It may be wrong, late or told twice.
    Told(Hearsay),
    /// The steward of a destination spoke, and permits so many more calls there.
    Permitted {
        /// The destination.
        destination: DestinationId,
        /// Calls that may start.
        permits: u16,
        /// Its endpoints take few connections.
        few: bool,
    },
    /// The steward of a destination tells how long what waits there waits at the least.
    Waits {
        /// The destination.
        destination: DestinationId,
        /// By worth, in thousandths.
        waits: overload::waits::Waits,
    },
    /// The senders' budget at a destination lets so many more repeats start.
    Repeats {
        /// The destination.
        destination: DestinationId,
        /// Repeats that may start.
        repeats: u32,
        /// How long those that wait beyond them wait at the least, by worth, where that is told.
        waits: Option<overload::waits::Waits>,
    },
    /// A timer set by the module is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The endpoint.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// What the destination told of its limit.
        report: Report,
    },
}

/// What the module decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a target with the message; its attempts count from 0.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        target: TargetId,
        /// The attempt's time-out.
        timeout: Micros,
        /// The request goes before then or not at all, by the caller's clock.
        by: Micros,
    },
    /// Call off an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: not delivered, and it may safely come again, best after `after`.
    Refuse {
        /// The message.
        id: MessageId,
        /// Advice to stay away for so long.
        after: Option<Micros>,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail(MessageId),
    /// Wake the module with this token after this span.
    Timer {
        /// Given back by [`Event::Timer`].
        token: u64,
        /// From now.
        after: Micros,
    },
    /// Tell the steward what waits for a destination, beyond the permits held.
    Want {
        /// The destination.
        destination: DestinationId,
        /// So many messages of each worth, the worthiest first.
        tiers: permits::WaitingByPriority,
    },
    /// Ask the senders' budget for repeats that wait for a destination, beyond those that may start.
    WantRepeats {
        /// The destination.
        destination: DestinationId,
        /// So many messages of each worth, the worthiest first.
        tiers: permits::WaitingByPriority,
    },
    /// Check a target.
    Probe(TargetId),
    /// Close the idle connections to a target.
    Close(TargetId),
    /// Subscribe to changes of the list.
    Watch,
}
