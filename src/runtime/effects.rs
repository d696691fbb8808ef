//! Effects on the outside, which are released once the store holds the records of the same batch.

use record::model::Entry;
use tokio::sync::oneshot;

use crate::exchange::{Answer, Notice, OutboundCall};
use crate::interface::{MessageId, Micros, TargetId};
use crate::store::StoreError;

use super::Runtime;

/// The answer to a client.
pub(super) struct Reply {
    pub(super) to: oneshot::Sender<Answer>,
    pub(super) answer: Answer,
    /// The message that was submitted.
    pub(super) message: String,
    /// The key of the receipt that is stored with the message, if its interface issues receipts.
    pub(super) receipt: Option<String>,
}

/// An effect on the outside.
pub(super) enum Effect {
    /// Answers a client.
    Answer(Reply),
    /// Starts a call.
    Call(MessageId, OutboundCall),
    /// Cancels an attempt, if it is still in flight.
    Cancel(MessageId, u32),
    /// Sends a non-delivery report. From that time on a restart could not deliver the message any more, so that the report
    /// holds even where the end is not stored.
    Notice(Notice, Micros),
    /// Closes the idle connections to an endpoint.
    Close(TargetId),
    /// Passes a numbered entry to the record.
    Record(u64, Entry),
}

impl Runtime {
    /// Stores the records of the batch, then releases its effects. While the store is unavailable, releases only effects that
    /// depend on no record.
    pub(super) fn commit(&mut self) -> Result<(), StoreError> {
        if self.store_pending()? {
            self.release_independent();
        } else {
            for effect in std::mem::take(&mut self.effects) {
                self.release(effect);
            }
        }
        self.status.set_counts(self.held.len(), self.in_flight);
        Ok(())
    }

    pub(super) fn release(&mut self, effect: Effect) {
        match effect {
            // The receiving side reports a client that has left.
            Effect::Answer(reply) => drop(reply.to.send(reply.answer)),
            Effect::Call(id, call) => self.start_call(id, call),
            Effect::Cancel(id, attempt) => self.cancel_call(id, attempt),
            Effect::Notice(notice, _) => drop(self.notices.send(notice)),
            Effect::Close(target) => self.caller.close(target),
            Effect::Record(number, entry) => {
                if let Some(outbox) = &self.outbox {
                    outbox.send(number, entry);
                }
            }
        }
    }

    fn start_call(&mut self, id: MessageId, call: OutboundCall) {
        self.in_flight += 1;
        let handle = self.caller.call(call);
        if let Some(held) = self.held.get_mut(&id) {
            held.cancel = Some(handle);
        }
    }

    fn cancel_call(&mut self, id: MessageId, attempt: u32) {
        let held = self.held.get_mut(&id).filter(|held| held.attempts == attempt + 1);
        if let Some(handle) = held.and_then(|held| held.cancel.take()) {
            let _ = handle.send(());
        }
    }
}
