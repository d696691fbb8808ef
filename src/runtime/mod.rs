//! The runtime: one task that owns the decision module, its clock, its timers and the store.
//!
//! It feeds inputs to the module as events and carries out the actions that come back. It knows requests, attempts and
//! outcomes, but no wire format, and it decides nothing itself. No answer and no call leaves before the store holds the
//! records on which it depends.

mod actions;
mod destinations;
mod effects;
mod ended;
mod handover;
mod held;
mod inputs;
mod intake;
mod outage;
mod outcomes;
mod recovery;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::AtomicI64;

use record::model::Expected;
use tokio::sync::{mpsc, oneshot, watch};

use crate::classes::Classes;
use crate::exchange::{Clock, Exchange, NonDeliveryReport, OutboundCall};
use crate::fleet::FleetUpdate;
use crate::handed::{Offer, RemainingCalls};
use crate::input::Input;
use crate::interface::*;
use crate::net::inbound::KnownNames;
use crate::net::send_guard::SendGuard;
use crate::recording::Outbox;
use crate::rules::Relay;
use crate::standing::ProcessStatus;
use crate::store::{Journal, Record, StoreError};
use crate::wire::Names;

use effects::Effect;
use ended::EndedIds;
use held::Held;
use outage::Outage;

/// Maximum number of inputs processed together, with one write to the store.
const MAX_BATCH: usize = 64;
/// Time after a stop during which new connections may still arrive, in microseconds.
const STOP_LINGER: Micros = 500_000;

/// The interface of the runtime to the outbound side.
pub trait Caller: Send {
    /// Starts a call, whose end arrives as an input; firing the handle cancels it.
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()>;
    /// Closes the idle connections to an endpoint.
    fn close(&self, target: TargetId);
    /// The conditions that hold back calls whose bytes have not been sent yet.
    fn send_guard(&self) -> &SendGuard;
    /// The receipt that proves the delivery of a message, where its destination gives receipts.
    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected>;
}

/// How a runtime ended.
#[derive(Debug)]
pub enum End {
    /// It was stopped.
    Stopped,
    /// Another process has taken over. The calls in flight are left to be finished, with the runtime's inputs.
    HandedOver(RemainingCalls, mpsc::Receiver<Input>),
}

/// The runtime of one relay.
pub struct Runtime {
    clock: Clock,
    relay: Relay,
    names: Names,
    classes: Classes,
    settings: Settings,
    vocabulary: watch::Sender<KnownNames>,
    /// Maximum number of messages held.
    max_held: usize,
    /// Maximum number of bytes in the bodies of messages held.
    max_bytes: usize,
    /// Bytes in the bodies of messages held.
    held_bytes: usize,
    journal: Journal,
    outbox: Option<Outbox>,
    fleet: Option<mpsc::UnboundedSender<FleetUpdate>>,
    caller: Box<dyn Caller>,
    notices: mpsc::UnboundedSender<NonDeliveryReport>,
    status: Arc<ProcessStatus>,
    /// Number of calls in flight.
    in_flight: usize,
    /// Messages held, by the id that clients know.
    ids: HashMap<String, MessageId>,
    held: HashMap<MessageId, Held>,
    /// Number of messages seen, from which the next message's number follows.
    messages_seen: u64,
    addresses: HashMap<TargetId, Arc<str>>,
    destinations: HashSet<i64>,
    /// Pending timers: due time and token.
    timers: BTreeSet<(Micros, u64)>,
    /// Records to be stored with the current batch.
    records: Vec<Record>,
    /// Bytes of bodies and receipts in these records.
    unwritten_bytes: usize,
    /// Effects to be released once the records are stored.
    effects: Vec<Effect>,
    /// The current outage of the store.
    outage: Option<Outage>,
    /// Non-delivery reports that were sent and are not acknowledged yet.
    unacknowledged: HashSet<String>,
    ended: EndedIds,
    revision: Arc<AtomicI64>,
    /// Some class terms lost their last message: the module gets the settings without them after the batch.
    terms_released: bool,
    /// Another process requests to take over after the batch.
    offer: Option<Offer>,
    /// The time at which a stop was requested, and the time by which the last call must have ended.
    stop: Option<(Micros, Micros)>,
}

impl Runtime {
    /// Creates a runtime over a store that has been replayed. `max_held` limits the messages held and `max_bytes` the
    /// bytes of their bodies.
    pub fn new(
        clock: Clock, (relay, settings): (Relay, Settings), names: Names,
        (max_held, max_bytes): (usize, usize), journal: Journal, caller: Box<dyn Caller>,
        notices: mpsc::UnboundedSender<NonDeliveryReport>,
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
            status: Arc::new(ProcessStatus::starting(clock)),
            in_flight: 0,
            ids: HashMap::new(),
            held: HashMap::new(),
            messages_seen: 0,
            addresses: HashMap::new(),
            destinations: HashSet::new(),
            timers: BTreeSet::new(),
            records: Vec::new(),
            unwritten_bytes: 0,
            effects: Vec::new(),
            outage: None,
            unacknowledged: HashSet::new(),
            ended: EndedIds::default(),
            revision: Arc::default(),
            terms_released: false,
            offer: None,
            stop: None,
        }
    }

    /// Publishes the names of classes and tenants to the clients' side, also when settings change.
    #[must_use]
    pub fn with_vocabulary(mut self, vocabulary: watch::Sender<KnownNames>) -> Self {
        self.vocabulary = vocabulary;
        self
    }

    /// Publishes the number of messages held and of calls in flight.
    #[must_use]
    pub fn with_status(mut self, status: Arc<ProcessStatus>) -> Self {
        self.status = status;
        self
    }

    /// Shares the version of the destination set, which a handover passes on.
    #[must_use]
    pub fn with_revision(mut self, revision: Arc<AtomicI64>) -> Self {
        self.revision = revision;
        self
    }

    /// Records the ends of messages through `outbox`.
    #[must_use]
    pub fn with_outbox(mut self, outbox: Outbox) -> Self {
        self.outbox = Some(outbox);
        self
    }

    /// Connects the runtime to its fleet, which receives requests for grants and the ends of calls.
    #[must_use]
    pub fn with_fleet(mut self, fleet: mpsc::UnboundedSender<FleetUpdate>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Serves until it is stopped or another process takes over.
    ///
    /// # Errors
    /// Where another process owns the store; nothing was released that the store does not hold.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Result<End, StoreError> {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let wake = self.clock.instant(self.next_wake());
            tokio::select! {
            biased;
            n = inputs.recv_many(&mut batch, MAX_BATCH) => if n == 0 { return Ok(End::Stopped) },
            () = tokio::time::sleep_until(wake) => {}
            }
            self.process(&mut batch)?;
            if self.done_at().is_some_and(|at| at <= self.clock.now()) {
                return Ok(End::Stopped);
            }
            if self.all_stored()
                && let Some(offer) = self.offer.take()
                && self.hand_over(offer).await
            {
                return Ok(End::HandedOver(self.remaining_calls(), inputs));
            }
        }
    }

    /// The time of the next timer or of the end of a stop, whichever is earlier.
    fn next_wake(&self) -> Micros {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.done_at(), self.outage_wake()].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Processes a batch of inputs and all timers that are due, then stores and releases the result.
    fn process(&mut self, batch: &mut Vec<Input>) -> Result<(), StoreError> {
        batch.drain(..).for_each(|input| self.input(input));
        self.fire_timers();
        if std::mem::take(&mut self.terms_released) {
            self.apply_settings();
        }
        self.commit()
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            self.handle(Event::Timer(token));
        }
    }

    /// The time at which a stopping process may end: with nothing left to do, or when its time is up.
    fn done_at(&self) -> Option<Micros> {
        let (requested, until) = self.stop?;
        let idle = self.held.is_empty() && self.unacknowledged.is_empty() && self.all_stored();
        Some(if idle { (requested + STOP_LINGER).min(until + STOP_LINGER) } else { until + STOP_LINGER / 2 })
    }

    /// Sends an update to the fleet, if there is one. A fleet that has ended is not an error.
    fn notify_fleet(&self, update: FleetUpdate) {
        if let Some(fleet) = &self.fleet {
            let _ = fleet.send(update);
        }
    }
}
