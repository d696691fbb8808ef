//! The state of messages held, and the ids of those that ended recently.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use record::model::Trace;
use tokio::sync::oneshot;

use crate::exchange::Exchange;
use crate::handed::{CallInFlight, HeldMessage};
use crate::interface::{MessageId, Micros, TargetId, Verdict};

/// Time for which the id of an ended message is remembered, in microseconds.
const ENDED_RETENTION: Micros = 15_000_000;
/// Maximum number of such ids.
const MAX_ENDED: usize = 4096;

/// A message that is held.
pub(super) struct Held {
    /// The message as its client submitted it.
    pub(super) exchange: Arc<Exchange>,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// Cancels the call in flight.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Target and start time of the call in flight.
    pub(super) in_flight: Option<(TargetId, Micros)>,
    /// Whether the call in flight was answered, and its end is still to come.
    pub(super) answered: bool,
    /// The decision by what was received so far on the call in flight, if it may end the message.
    pub(super) heard: Option<Verdict>,
    /// Number of the message's class.
    pub(super) class: usize,
    /// Whether its client left before it heard that the message was accepted.
    pub(super) withdrawn: bool,
    /// The message's history, if its end is to be recorded.
    pub(super) trace: Option<Trace>,
}

impl Held {
    /// The state that a handover passes to another process.
    pub(super) fn handover_state(&self, message: MessageId) -> HeldMessage {
        let (attempt, id) = (self.attempts.saturating_sub(1), &self.exchange.id);
        let in_flight =
            self.in_flight.map(|(target, began)| CallInFlight { id: id.clone(), attempt, target, began });
        let exchange = Exchange::clone(&self.exchange);
        let Held { class, attempts, withdrawn, .. } = *self;
        HeldMessage { message, exchange, class, attempts, withdrawn, in_flight }
    }
}

/// The ids of messages that ended recently, so that a duplicate is not accepted right after the end.
#[derive(Default)]
pub(super) struct EndedIds {
    order: VecDeque<(Micros, Arc<str>)>,
    ids: HashSet<Arc<str>>,
}

impl EndedIds {
    /// Adds an id and drops those that are too old or too many.
    pub(super) fn remember(&mut self, now: Micros, id: &str) {
        let stale = |at: Micros, count: usize| at + ENDED_RETENTION <= now || count > MAX_ENDED;
        while self.order.front().is_some_and(|(at, _)| stale(*at, self.order.len())) {
            if let Some((_, id)) = self.order.pop_front() {
                self.ids.remove(&id);
            }
        }
        let id: Arc<str> = id.into();
        if self.ids.insert(id.clone()) {
            self.order.push_back((now, id));
        }
    }

    /// Forgets an id: its message was never accepted.
    pub(super) fn forget(&mut self, id: &str) {
        if self.ids.remove(id) {
            self.order.retain(|(_, other)| **other != *id);
        }
    }

    /// Whether a message of this id ended recently.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The ids with the times of their ends, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Micros, Arc<str>)> {
        self.order.iter()
    }
}
