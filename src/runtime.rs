//! The runtime: one task that owns the decision module, its clock, its timers and the store, and turns events
//! into actions. It deals in requests, attempts and outcomes. It must never decide what the module decides,
//! know a wire, or let an answer or a call out before the store holds what these rest on.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use record::model::{Effect as RecordedEffect, Entry, Expected, Late, Outcome as RecordedOutcome, Trace};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, error, warn};

use crate::classes::Classes;
use crate::exchange::{Answer, CallEnd, Clock, Exchange, Member, Notice, OutboundCall, Receipt};
use crate::fleet::{self, ToFleet};
use crate::handed::{Handed, HeldNow, LeftOut, Offer, OutNow};
use crate::input::{Input, Retuned};
use crate::interface::*;
use crate::net::clearance::Clearance;
use crate::net::inbound::Vocabulary;
use crate::recording::{Outbox, heard};
use crate::rules::Relay;
use crate::standing::{Phase, Standing};
use crate::store::{Begun, Journal, Record, Replay, StoreError, Stored};
use crate::wire::Names;

/// Inputs taken together, with one write to the store.
const BATCH: usize = 64;
/// After a stop new connections still come for so long.
const LINGER: Micros = 500_000;

/// An id that ended is known for so long, and so many of them are.
const ENDED_FOR: Micros = 15_000_000;
const MOST_ENDED: usize = 4096;

/// The endpoints' side, as the runtime sees it.
pub trait Caller: Send {
    /// Starts a call, whose end comes as an input; firing the handle calls it off.
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()>;
    /// Closes the idle connections to an endpoint.
    fn close(&self, target: TargetId);
    /// What stands against calls whose bytes have not gone yet.
    fn clearance(&self) -> &Clearance;
    /// The receipt that proves a message, where its destination gives receipts.
    fn expected(&self, exchange: &Exchange) -> Option<Expected>;
}

/// A message that is held.
struct Held {
    exchange: Arc<Exchange>,
    attempts: u32,
    /// Calls off the call that is out.
    call: Option<oneshot::Sender<()>>,
    /// Where that went, and when.
    out: Option<(TargetId, Micros)>,
    /// The number of its class.
    class: usize,
    /// Its client never heard that it was taken on.
    withdrawn: bool,
    /// Its life so far, where its end is to be recorded.
    trace: Option<Trace>,
}

impl Held {
    /// As it is told to another process.
    fn now(&self, message: MessageId) -> HeldNow {
        let (attempt, id) = (self.attempts.saturating_sub(1), &self.exchange.id);
        let out = self.out.map(|(target, began)| OutNow { id: id.clone(), attempt, target, began });
        let exchange = Exchange::clone(&self.exchange);
        let Held { class, attempts, withdrawn, .. } = *self;
        HeldNow { message, exchange, class, attempts, withdrawn, out }
    }
}

/// The ids that ended last. Guards against taking on once more, from whomever, what has just had its end.
#[derive(Default)]
struct EndedIds {
    order: VecDeque<(Micros, Arc<str>)>,
    ids: HashSet<Arc<str>>,
}

impl EndedIds {
    fn remember(&mut self, now: Micros, id: &str) {
        let old = |at: Micros, n: usize| at + ENDED_FOR <= now || n > MOST_ENDED;
        while self.order.front().is_some_and(|(at, _)| old(*at, self.order.len())) {
            if let Some((_, id)) = self.order.pop_front() {
                self.ids.remove(&id);
            }
        }
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.order.push_back((now, id));
        }
    }
}

/// What is let out once the store holds the records of the same batch.
enum Effect {
    Answer(oneshot::Sender<Answer>, Answer),
    Call(MessageId, OutboundCall),
    CallOff(MessageId, u32),
    Notice(Notice),
    Close(TargetId),
    Record(u64, Entry),
}

/// How a runtime ended.
#[derive(Debug)]
pub enum End {
    /// It was stopped.
    Stopped,
    /// Another process has accepted all; what is out is left to be finished, and its inputs with it.
    HandedOver(LeftOut, mpsc::Receiver<Input>),
}

/// The runtime of one relay.
pub struct Runtime {
    clock: Clock,
    relay: Relay,
    names: Names,
    classes: Classes,
    settings: Settings,
    vocabulary: watch::Sender<Vocabulary>,
    max_held: usize,
    max_bytes: usize,
    /// Bytes of the bodies that are held.
    held_bytes: usize,
    journal: Journal,
    outbox: Option<Outbox>,
    fleet: Option<mpsc::UnboundedSender<ToFleet>>,
    caller: Box<dyn Caller>,
    notices: mpsc::UnboundedSender<Notice>,
    standing: Arc<Standing>,
    /// Calls that have not ended.
    out: usize,
    ids: HashMap<String, MessageId>,
    held: HashMap<MessageId, Held>,
    met: u64,
    addresses: HashMap<TargetId, Arc<str>>,
    destinations: HashSet<i64>,
    timers: BTreeSet<(Micros, u64)>,
    records: Vec<Record>,
    /// Bytes that these records take on.
    unwritten: usize,
    effects: Vec<Effect>,
    /// Notices sent and not acknowledged.
    owed: HashSet<String>,
    ended: EndedIds,
    revision: Arc<AtomicI64>,
    /// Terms that nobody has any more: the module is told once the batch is done.
    freed: bool,
    /// Another process would take over, once the batch is done.
    offer: Option<Offer>,
    /// When the stop was asked for, and by when the last call must have ended.
    stop: Option<(Micros, Micros)>,
}

impl Runtime {
    /// A runtime over a store that has been replayed, which holds so many messages, and bytes of their bodies.
    pub fn new(
        clock: Clock, (relay, settings): (Relay, Settings), names: Names,
        (max_held, max_bytes): (usize, usize), journal: Journal, caller: Box<dyn Caller>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Self {
        let classes = Classes::new(names.classes(), &settings.classes);
        Runtime {
            clock,
            relay,
            vocabulary: watch::Sender::default(),
            classes,
            settings,
            names,
            max_held,
            max_bytes,
            held_bytes: 0,
            journal,
            outbox: None,
            fleet: None,
            caller,
            notices,
            standing: Arc::new(Standing::starting(clock)),
            out: 0,
            ids: HashMap::new(),
            held: HashMap::new(),
            met: 0,
            addresses: HashMap::new(),
            destinations: HashSet::new(),
            timers: BTreeSet::new(),
            records: Vec::new(),
            unwritten: 0,
            effects: Vec::new(),
            owed: HashSet::new(),
            ended: EndedIds::default(),
            revision: Arc::default(),
            freed: false,
            offer: None,
            stop: None,
        }
    }

    /// Tells the clients' side which names there are, as settings change.
    #[must_use]
    pub fn naming(mut self, vocabulary: watch::Sender<Vocabulary>) -> Self {
        self.vocabulary = vocabulary;
        self
    }

    /// Shows how much is held where operators and fronts look.
    #[must_use]
    pub fn shown_by(mut self, standing: Arc<Standing>) -> Self {
        self.standing = standing;
        self
    }

    /// Tells another process the version of the destination set that is found here.
    #[must_use]
    pub fn at_revision(mut self, revision: Arc<AtomicI64>) -> Self {
        self.revision = revision;
        self
    }

    /// Has the ends of messages recorded.
    #[must_use]
    pub fn recorded_by(mut self, outbox: Outbox) -> Self {
        self.outbox = Some(outbox);
        self
    }

    /// Has stewards asked for permits, and told how calls end; and peers told what calls show.
    #[must_use]
    pub fn among(mut self, fleet: mpsc::UnboundedSender<ToFleet>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Loads the destination set as last held and what is said of it, and takes on again what an earlier process
    /// owed.
    ///
    /// # Errors
    /// Where the store fails.
    pub fn resume(
        &mut self, known: Vec<Member>, said: Vec<Hearsay>, replay: Replay,
    ) -> Result<(), StoreError> {
        self.listed(ListForm::All, known);
        said.into_iter().for_each(|hearsay| self.handle(Event::Told(hearsay)));
        for notice in replay.notices {
            self.owed.insert(notice.id.clone());
            self.effects.push(Effect::Notice(notice));
        }
        for (number, bytes) in replay.entries {
            match (&self.outbox, Entry::decode(&bytes)) {
                (Some(_), Some(entry)) => self.effects.push(Effect::Record(number, entry)),
                (Some(_), None) => {
                    error!("entry {number} for the record cannot be read and stays in the journal")
                }
                (None, _) => warn!("entry {number} waits in the journal until a record is configured again"),
            }
        }
        for stored in replay.messages {
            self.take_on_again(stored);
        }
        self.commit()
    }

    fn take_on_again(&mut self, stored: Stored) {
        let terms = stored.terms.clone().or_else(|| {
            let current = self.classes.current(&stored.class);
            current.and_then(|number| self.classes.terms(number)).cloned()
        });
        let Stored { id, class, tenant, due, destination, body, attempts, may_have_run, trace, .. } = stored;
        let exchange = Exchange { id, class, tenant, due, destination, body };
        // What was taken on before there was a record is recorded as far as it is known.
        let trace = self.outbox.is_some().then(|| {
            trace.unwrap_or_else(|| {
                let mut trace = Trace::new(self.clock.now());
                if may_have_run || attempts > 0 {
                    trace.started(attempts.saturating_sub(1), "unknown", trace.taken_at);
                }
                trace
            })
        });
        let Some(terms) = terms else {
            error!(message = exchange.id, "taken on for class {:?}, which is no more", exchange.class);
            let notice = Notice { id: exchange.id.clone(), handed_back: false, retry_in_ms: None };
            return self.over((&exchange, trace, RecordedOutcome::Failed), true, Some(notice));
        };
        let (class, new) = self.classes.intern(&exchange.class, &terms);
        let arrival = self.arrival(Arc::new(exchange), class, attempts, trace);
        if new {
            self.tell_settings();
        }
        self.handle(Event::Resumed { arrival, attempts, may_have_run });
    }

    /// Serves until it is stopped.
    ///
    /// # Errors
    /// Where the store fails: nothing was let out that it does not hold.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Result<End, StoreError> {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let look = [self.timers.first().map(|(at, _)| *at), self.done_at()];
            let look = look.into_iter().flatten().min().unwrap_or(Micros::MAX);
            tokio::select! {
                biased;
                n = inputs.recv_many(&mut batch, BATCH) => if n == 0 { return Ok(End::Stopped) },
                () = tokio::time::sleep_until(self.clock.instant(look)) => {}
            }
            batch.drain(..).for_each(|input| self.input(input));
            let now = self.clock.now();
            while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
                self.timers.remove(&(at, token));
                self.handle(Event::Timer(token));
            }
            if std::mem::take(&mut self.freed) {
                self.tell_settings();
            }
            self.commit()?;
            if self.done_at().is_some_and(|at| at <= self.clock.now()) {
                return Ok(End::Stopped);
            }
            if let Some(offer) = self.offer.take()
                && self.hand_over(offer).await
            {
                return Ok(End::HandedOver(self.left_out(), inputs));
            }
        }
    }

    /// Stands still between two batches, with all that was decided in the journal, and tells what that does not hold.
    /// Whether another process has accepted it: then this one never writes again, and starts no call.
    async fn hand_over(&self, offer: Offer) -> bool {
        if self.stop.is_some() {
            return false;
        }
        self.standing.enter(Phase::HandingOver);
        let handed = Handed {
            journal: self.journal.mark(),
            relay: self.relay.clone(),
            names: self.names.clone(),
            classes: self.classes.clone(),
            met: self.met,
            held: self.held.iter().map(|(message, held)| held.now(*message)).collect(),
            addresses: self.addresses.iter().map(|(target, at)| (*target, at.clone())).collect(),
            destinations: self.destinations.iter().copied().collect(),
            timers: self.timers.iter().copied().collect(),
            ended: self.ended.order.iter().cloned().collect(),
            revision: self.revision.load(Ordering::Relaxed),
            standby: self.standing.standby(),
        };
        if offer.state.send(Box::new(handed)).is_ok() && offer.accepted.await.is_ok() {
            // The other one hears what is told from here on: a call that has not gone yet is its to decide anew.
            self.caller.clearance().stop(self.clock.now());
            return true;
        }
        self.standing.enter(Phase::Serving);
        false
    }

    /// The calls that are out, and how each is called off.
    fn left_out(self) -> LeftOut {
        let held = self.held.into_iter().map(|(message, mut held)| (held.now(message).out, held.call.take()));
        held.filter_map(|(out, off)| Some((out?, off))).collect()
    }

    /// Takes on what another process told, which has let go of the store: as if this one had been it all along. The
    /// calls that are out there end as inputs; what calls one off is read from its receiver.
    ///
    /// # Errors
    /// Where the store fails.
    pub fn adopt(
        &mut self, handed: Handed, replay: Replay,
    ) -> Result<Vec<(OutNow, oneshot::Receiver<()>)>, StoreError> {
        let Handed { relay, names, classes, met, held, addresses, destinations, timers, ended, .. } = handed;
        let (settings, tenants) = (self.settings.clone(), self.names.tenants().to_vec());
        let retuned = Retuned { settings, classes: self.names.classes().to_vec(), tenants };
        (self.relay, self.names, self.classes, self.met) = (relay, names, classes, met);
        self.addresses = addresses.into_iter().collect();
        self.destinations = destinations.into_iter().collect();
        self.timers = timers.into_iter().collect();
        ended.iter().for_each(|(at, id)| self.ended.remember(*at, id));
        for notice in replay.notices {
            self.owed.insert(notice.id.clone());
            self.effects.push(Effect::Notice(notice));
        }
        let mut stored: HashMap<String, Stored> =
            replay.messages.into_iter().map(|stored| (stored.id.clone(), stored)).collect();
        let mut left = Vec::new();
        for HeldNow { message, mut exchange, class, attempts, withdrawn, out } in held {
            // The journal is what binds: what it does not hold is over.
            let Some(stored) = stored.remove(&exchange.id) else {
                self.classes.release(class);
                self.handle(Event::Gone(message));
                continue;
            };
            exchange.body = stored.body;
            self.held_bytes += exchange.body.len();
            self.ids.insert(exchange.id.clone(), message);
            let mut call = None;
            let sent = out.as_ref().map(|out| (out.target, out.began));
            if let Some(out) = out {
                let (off, called_off) = oneshot::channel();
                call = Some(off);
                self.out += 1;
                left.push((out, called_off));
            }
            let (exchange, trace) = (Arc::new(exchange), stored.trace);
            let held = Held { exchange, attempts, call, out: sent, class, withdrawn, trace };
            self.held.insert(message, held);
        }
        stored.into_values().for_each(|stored| self.take_on_again(stored));
        // What this process was started with holds from here on.
        self.retune(retuned);
        self.commit()?;
        Ok(left)
    }

    /// Other settings hold from now on, for the module, for new messages and for the clients' side.
    fn retune(&mut self, retuned: Retuned) {
        let Retuned { settings, classes, tenants } = retuned;
        self.classes.replace(&classes, &settings.classes);
        self.max_held = settings.max_held as usize;
        self.settings = settings;
        self.names.rename(classes.clone(), tenants.clone());
        self.tell_settings();
        self.vocabulary.send_replace(Vocabulary { classes, tenants });
    }

    /// The settings as the module has them, with the terms that are still held.
    fn tell_settings(&mut self) {
        let settings = Settings { classes: self.classes.all(), ..self.settings.clone() };
        self.handle(Event::Retuned(Box::new(settings)));
    }

    /// Whether messages of a class must never take effect twice.
    fn once(&self, class: usize) -> bool {
        self.classes.terms(class).is_none_or(|terms| terms.effect == crate::interface::Effect::Unsafe)
    }

    /// A stopping process may end then: with nothing left to do, or when its time is up.
    fn done_at(&self) -> Option<Micros> {
        let (asked, until) = self.stop?;
        let idle = self.held.is_empty() && self.owed.is_empty();
        Some(if idle { (asked + LINGER).min(until + LINGER) } else { until + LINGER / 2 })
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Handed(exchange, receipt, reply) => self.handed(exchange, receipt, reply),
            Input::Withdrawn(id) => self.withdrawn(&id),
            Input::Ended(end) => self.ended(end),
            Input::Listed(form, members) => self.listed(form, members),
            Input::Told(hearsay) => self.handle(Event::Told(hearsay)),
            Input::Permitted(given) => self.handle(Event::Permitted {
                destination: DestinationId(given.destination),
                permits: given.permits,
                few: given.few,
            }),
            Input::Waits(destination, waits) => {
                self.handle(Event::Waits { destination: DestinationId(destination), waits });
            }
            Input::Repeats(handed) => self.handle(Event::Repeats {
                destination: DestinationId(handed.destination),
                repeats: handed.repeats,
                waits: handed.waits,
            }),
            // Nothing rests on one that finds no room: what was answered stays as it is in any case.
            Input::Receipt(receipt, late) => {
                if let Some(late) = late {
                    self.came_late(late);
                }
                if self.journal.room(self.unwritten + receipt.bytes.len()) {
                    self.unwritten += receipt.bytes.len();
                    self.records.push(Record::Receipt(receipt));
                } else {
                    warn!("no room to remember the receipt {:?}", receipt.key);
                }
            }
            Input::Recorded(numbers) => self.records.push(Record::Recorded(numbers)),
            Input::Acknowledged(ids) => {
                for id in ids {
                    self.owed.remove(&id);
                    self.records.push(Record::Acknowledged { id });
                }
            }
            Input::Retuned(retuned) => self.retune(*retuned),
            // One at a time; the other finds its side dropped.
            Input::Offer(offer) => self.offer = Some(offer),
            Input::Stop(until) => {
                self.stop = Some((self.clock.now(), until));
                self.caller.clearance().stop(self.settings.last_start(until));
                self.handle(Event::Stop(until));
            }
        }
    }

    /// Guards memory, disk and the module against what they cannot hold, before anything is promised.
    fn handed(&mut self, exchange: Arc<Exchange>, receipt: Option<Receipt>, reply: oneshot::Sender<Answer>) {
        // What the batch has taken on so far is not in the store yet, and counts all the same.
        let bytes = exchange.body.len() + receipt.as_ref().map_or(0, |receipt| receipt.bytes.len());
        let bytes = bytes + self.journal.to_end() as usize;
        let class = self.classes.current(&exchange.class);
        let refusal = if self.ids.contains_key(&exchange.id) || self.ended.ids.contains(exchange.id.as_str())
        {
            Some(Answer::TakenBefore)
        } else if class.is_none() {
            Some(Answer::Unknown)
        } else if !self.destinations.contains(&exchange.destination) {
            Some(Answer::Refused("unknown dest".into(), None))
        } else if self.held.len() >= self.max_held {
            Some(Answer::Refused("as many messages held as may be".into(), None))
        } else if self.held_bytes + exchange.body.len() > self.max_bytes {
            Some(Answer::Refused("as many bytes held as may be".into(), None))
        } else if !self.journal.room(self.unwritten + bytes) {
            let advice = self.outbox.as_ref().filter(|_| self.journal.entries() > 0);
            Some(Answer::Refused("no room on the disk".into(), advice.map(|o| o.advice(self.clock.now()))))
        } else {
            let outbox = self.outbox.as_ref();
            outbox.and_then(|o| o.refusal(self.clock.now(), self.journal.entries(), self.held.len()))
        };
        if let Some(answer) = refusal {
            self.effects.push(Effect::Answer(reply, answer));
            return;
        }
        let trace = self.outbox.is_some().then(|| Trace::new(self.clock.now()));
        let class = class.unwrap_or(usize::MAX);
        let arrival = self.arrival(exchange.clone(), class, 0, trace.clone());
        let id = arrival.id;
        let mut actions = Vec::new();
        self.relay.handle(self.clock.now(), Event::Arrival(arrival), &mut actions);
        // What the module gives up at once was never taken on; the client hears it by the answer itself.
        let mut answer = Answer::Taken;
        actions.retain(|action| match action {
            Action::Refuse { id: refused, after } if *refused == id => {
                answer = Answer::Refused("refused".into(), *after);
                false
            }
            Action::Fail(failed) if *failed == id => {
                answer = Answer::Failed("failed".into());
                false
            }
            _ => true,
        });
        if answer == Answer::Taken {
            let Exchange { due, destination, .. } = *exchange;
            self.records.push(Record::Taken(Stored {
                id: exchange.id.clone(),
                class: exchange.class.clone(),
                tenant: exchange.tenant.clone(),
                destination,
                due,
                body: exchange.body.clone(),
                attempts: 0,
                may_have_run: false,
                terms: self.classes.terms(class).cloned(),
                trace,
            }));
            self.records.extend(receipt.map(Record::Receipt));
            self.unwritten += bytes;
        } else {
            self.forget(id);
        }
        self.effects.push(Effect::Answer(reply, answer));
        self.carry_out(actions);
    }

    fn arrival(
        &mut self, exchange: Arc<Exchange>, class: usize, attempts: u32, trace: Option<Trace>,
    ) -> Arrival {
        self.met += 1;
        let id = MessageId(self.met);
        let Exchange { due, destination, .. } = *exchange;
        let tenant = exchange.tenant.as_deref().and_then(|tenant| self.names.tenant(tenant));
        self.classes.hold(class);
        self.ids.insert(exchange.id.clone(), id);
        self.held_bytes += exchange.body.len();
        let held = Held { exchange, attempts, call: None, out: None, class, withdrawn: false, trace };
        self.held.insert(id, held);
        Arrival { id, class, tenant, key: None, due, destination: DestinationId(destination) }
    }

    fn withdrawn(&mut self, id: &str) {
        let Some(message) = self.ids.get(id).copied() else { return };
        let Some(held) = self.held.get_mut(&message) else { return };
        held.withdrawn = true;
        if held.call.is_none() {
            self.finish(message, RecordedOutcome::Withdrawn, None);
        }
        self.handle(Event::Gone(message));
    }

    fn ended(&mut self, end: CallEnd) {
        self.out = self.out.saturating_sub(1);
        let now = self.clock.now();
        let Some(id) = self.ids.get(&end.id).copied() else {
            // Its message is over; that it took effect all the same is worth knowing.
            if end.outcome == Outcome::Ok {
                self.came_late(Late {
                    id: end.id,
                    at: now,
                    kind: "answer".into(),
                    source: format!("attempt {}", end.attempt),
                    effect: RecordedEffect::Took,
                    mic: None,
                    detail: "an answer after the end".into(),
                });
            }
            return;
        };
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.call, held.out) = (None, None);
        if let Some(fleet) = &self.fleet {
            let _ = fleet.send(fleet::ended(held.exchange.destination, &end, now));
        }
        let told = held.trace.as_mut().map(|trace| {
            let told = heard(now, end.outcome, end.evidence);
            trace.ended(end.attempt, now, &told.result, told.effect, told.evidence.clone());
            told
        });
        let over = end.over || end.outcome == Outcome::Ok || held.withdrawn;
        if over {
            let delivered = end.outcome == Outcome::Ok && !held.withdrawn;
            let outcome = if delivered { RecordedOutcome::Delivered } else { RecordedOutcome::Withdrawn };
            self.finish(id, outcome, None);
        } else {
            let may_have_run = end.outcome.may_have_run();
            let (id, attempt) = (end.id, end.attempt);
            self.records.push(Record::Outcome { id, attempt, may_have_run, heard: told });
        }
        let took = self.clock.now() - end.began;
        let CallEnd { attempt, target, outcome, report, .. } = end;
        let done = Done { id, attempt, target, outcome, took, over, report };
        // One that another process heard of binds calls here, too.
        if let (Some(wait), Some(lane)) = (done.told_wait(), self.relay.lane(target)) {
            self.caller.clearance().wait(lane, now + wait);
        }
        self.handle(Event::Done(done));
    }

    fn listed(&mut self, form: ListForm, members: Vec<Member>) {
        let mut raw = Vec::new();
        let mut gone: HashSet<TargetId> = HashSet::new();
        if form == ListForm::All {
            gone.extend(self.addresses.keys());
        }
        for member in members {
            let target = self.names.target(&member.id);
            self.destinations.insert(member.entry.cell());
            if member.entry.listed() == Listed::Gone {
                gone.insert(target);
            } else {
                gone.remove(&target);
            }
            // The id is the endpoint; where it listens may change, and the old connections go nowhere then.
            if let Some(old) = self.addresses.insert(target, member.address.clone())
                && old != member.address
            {
                self.effects.push(Effect::Close(target));
            }
            raw.push(member.entry);
        }
        // An entry that makes no sense must not hide the others.
        let read = raw.iter().filter_map(|entry| {
            let read = self.names.entries(std::slice::from_ref(entry));
            read.inspect_err(|error| warn!("destination set: {error}")).ok()
        });
        let entries: Vec<crate::interface::Entry> = read.flatten().collect();
        for entry in &entries {
            self.caller.clearance().listed(entry.target, entry.listed == Listed::InService);
        }
        if let Some(fleet) = &self.fleet {
            let listed = entries.iter().filter(|entry| entry.listed == Listed::InService);
            let listed = listed.map(|entry| (entry.destination.0, entry.rate)).collect();
            let _ = fleet.send(ToFleet::Listed(listed));
        }
        self.handle(Event::List(form, entries));
        // Endpoints are replaced for as long as the process lives. The module sends nothing to one that is gone,
        // and a call that is out knows its address.
        for target in gone {
            self.caller.clearance().listed(target, false);
            self.addresses.remove(&target);
            self.names.forget(target);
            self.effects.push(Effect::Close(target));
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.relay.handle(self.clock.now(), event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let now = self.clock.now();
        for action in actions {
            match action {
                Action::Send { id, target, timeout, by } => self.send(id, target, (by, now + timeout)),
                Action::Cancel { id, attempt } => self.effects.push(Effect::CallOff(id, attempt)),
                Action::Refuse { id, after } => self.end(id, true, after),
                Action::Fail(id) => self.end(id, false, None),
                Action::Timer { token, after } => {
                    self.timers.insert((now + after, token));
                }
                Action::Close(target) => self.effects.push(Effect::Close(target)),
                Action::Want { destination, tiers } => {
                    if let Some(fleet) = &self.fleet {
                        let _ = fleet.send(ToFleet::Want(destination.0, tiers));
                    }
                }
                Action::WantRepeats { destination, tiers } => {
                    if let Some(fleet) = &self.fleet {
                        let _ = fleet.send(ToFleet::WantRepeats(destination.0, tiers));
                    }
                }
                // The platform's settings permit no probes, and the list is always watched.
                Action::Probe(_) | Action::Watch => {}
            }
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, (start_by, deadline): (Micros, Micros)) {
        let Some(lane) = self.relay.lane(target) else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(address) = self.addresses.get(&target).cloned() else { return };
        let attempt = held.attempts;
        if let Some(fleet) = self.fleet.as_ref().filter(|_| attempt == 0 && self.settings.repeats) {
            let _ = fleet.send(ToFleet::First(held.exchange.destination));
        }
        held.attempts += 1;
        held.out = Some((target, self.clock.now()));
        let begun = held.trace.as_mut().map(|trace| {
            let (at, endpoint) = (self.clock.now(), record::model::cut(&address));
            trace.started(attempt, &endpoint, at);
            Begun { at, endpoint }
        });
        // The proofs have to find it where an attempt is noted after the fact; see the feature's own words.
        if !cfg!(feature = "broken-order") {
            self.records.push(Record::Started { id: held.exchange.id.clone(), attempt, begun });
        }
        let call = OutboundCall {
            exchange: held.exchange.clone(),
            attempt,
            target,
            address,
            lane,
            start_by,
            deadline,
        };
        self.effects.push(Effect::Call(id, call));
    }

    fn end(&mut self, id: MessageId, handed_back: bool, after: Option<Micros>) {
        let Some(name) = self.held.get(&id).map(|held| held.exchange.id.clone()) else { return };
        let retry_in_ms = after.and_then(|after| u64::try_from(after / 1000).ok());
        let outcome = if handed_back { RecordedOutcome::Refused } else { RecordedOutcome::Failed };
        self.finish(id, outcome, Some(Notice { id: name, handed_back, retry_in_ms }));
    }

    /// A message that is held ends.
    fn finish(&mut self, id: MessageId, outcome: RecordedOutcome, notice: Option<Notice>) {
        // Its terms are needed once more before they may go.
        let once = self.held.get(&id).is_none_or(|held| self.once(held.class));
        let Some(held) = self.forget(id) else { return };
        self.over((&held.exchange, held.trace, outcome), once, notice);
    }

    /// The end of a message, with what the platform and the record are told of it.
    fn over(
        &mut self, (exchange, trace, outcome): (&Exchange, Option<Trace>, RecordedOutcome), once: bool,
        notice: Option<Notice>,
    ) {
        let (now, id) = (self.clock.now(), exchange.id.clone());
        let attempts = trace.as_ref().map(|trace| trace.attempts.len());
        debug!(message = id, destination = exchange.destination, outcome = outcome.word(), attempts, "ended");
        self.ended.remember(now, &id);
        if let Some(notice) = notice.clone() {
            self.owed.insert(id.clone());
            self.effects.push(Effect::Notice(notice));
        }
        self.records.push(Record::Ended { id, notice });
        if let (Some(outbox), Some(trace)) = (&self.outbox, trace) {
            let receipt = self.caller.expected(exchange);
            let entry = outbox.end(exchange, once, trace, (now, outcome), receipt);
            self.record(entry);
        }
    }

    /// What came to light beside the end of a message.
    fn came_late(&mut self, late: Late) {
        // Nothing was promised for it, so that it yields to the ends of what is held.
        if self.outbox.is_some() && self.journal.room(self.unwritten) {
            self.record(Entry::Late(late));
        }
    }

    /// Has the journal keep an entry until the record has it.
    fn record(&mut self, entry: Entry) {
        let Some(outbox) = &mut self.outbox else { return };
        let number = outbox.number();
        self.records.push(Record::Entry { number, bytes: entry.encode().into() });
        self.effects.push(Effect::Record(number, entry));
    }

    fn forget(&mut self, id: MessageId) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.ids.remove(&held.exchange.id);
        self.held_bytes -= held.exchange.body.len();
        if self.classes.release(held.class) {
            self.freed = true;
        }
        Some(held)
    }

    /// Stores what was decided, then lets it out.
    fn commit(&mut self) -> Result<(), StoreError> {
        if !self.records.is_empty() {
            self.journal.append(self.clock.now(), &self.records)?;
            self.records.clear();
            self.unwritten = 0;
        }
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                // A client that has gone is told of by its front.
                Effect::Answer(reply, answer) => drop(reply.send(answer)),
                Effect::Call(id, call) => {
                    self.out += 1;
                    let handle = self.caller.call(call);
                    if let Some(held) = self.held.get_mut(&id) {
                        held.call = Some(handle);
                    }
                }
                Effect::CallOff(id, attempt) => {
                    let held = self.held.get_mut(&id).filter(|held| held.attempts == attempt + 1);
                    if let Some(handle) = held.and_then(|held| held.call.take()) {
                        let _ = handle.send(());
                    }
                }
                Effect::Notice(notice) => drop(self.notices.send(notice)),
                Effect::Close(target) => self.caller.close(target),
                Effect::Record(number, entry) => {
                    if let Some(outbox) = &self.outbox {
                        outbox.hand(number, entry);
                    }
                }
            }
        }
        self.standing.count(self.held.len(), self.out);
        Ok(())
    }
}
