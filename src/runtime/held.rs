//! The state of messages held.

use std::sync::Arc;

use record::model::Trace;
use tokio::sync::oneshot;

use crate::exchange::Exchange;
use crate::handed::{CallInFlight, HeldMessage};
use crate::interface::{Decision, MessageId, Micros, TargetId};

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
    pub(super) heard: Option<Decision>,
    /// Number of the message's class.
    pub(super) class: usize,
    /// Whether its client left before it heard that the message was accepted.
    pub(super) withdrawn: bool,
    /// Whether a further client that submitted its id was told that the message was accepted, so that it is owed an end
    /// whether or not the first client leaves.
    pub(super) acknowledged_again: bool,
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
        let Held { class, attempts, withdrawn, acknowledged_again, .. } = *self;
        HeldMessage { message, exchange, class, attempts, withdrawn, acknowledged_again, in_flight }
    }
}
