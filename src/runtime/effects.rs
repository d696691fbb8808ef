//! Effects on the outside, which are released once the store holds the records of the same batch.

use record::model::Entry;
use tokio::sync::oneshot;

use crate::exchange::{Answer, Notice, OutboundCall};
use crate::interface::{MessageId, TargetId};
use crate::store::StoreError;

use super::Runtime;

/// An effect on the outside.
pub(super) enum Effect {
    /// Answers a client.
    Answer(oneshot::Sender<Answer>, Answer),
    /// Starts a call.
    Call(MessageId, OutboundCall),
    /// Cancels an attempt, if it is still in flight.
    CallOff(MessageId, u32),
    /// Sends a non-delivery report.
    Notice(Notice),
    /// Closes the idle connections to an endpoint.
    Close(TargetId),
    /// Passes a numbered entry to the record.
    Record(u64, Entry),
}

impl Runtime {
    /// Stores the records of the batch, then releases its effects.
    pub(super) fn commit(&mut self) -> Result<(), StoreError> {
        if !self.records.is_empty() {
            self.journal.append(self.clock.now(), &self.records)?;
            self.records.clear();
            self.unwritten = 0;
        }
        for effect in std::mem::take(&mut self.effects) {
            self.release(effect);
        }
        self.standing.count(self.held.len(), self.out);
        Ok(())
    }

    fn release(&mut self, effect: Effect) {
        match effect {
            // The front reports a client that has left.
            Effect::Answer(reply, answer) => drop(reply.send(answer)),
            Effect::Call(id, call) => self.start_call(id, call),
            Effect::CallOff(id, attempt) => self.cancel_call(id, attempt),
            Effect::Notice(notice) => drop(self.notices.send(notice)),
            Effect::Close(target) => self.caller.close(target),
            Effect::Record(number, entry) => {
                if let Some(outbox) = &self.outbox {
                    outbox.hand(number, entry);
                }
            }
        }
    }

    fn start_call(&mut self, id: MessageId, call: OutboundCall) {
        self.out += 1;
        let handle = self.caller.call(call);
        if let Some(held) = self.held.get_mut(&id) {
            held.call = Some(handle);
        }
    }

    fn cancel_call(&mut self, id: MessageId, attempt: u32) {
        let held = self.held.get_mut(&id).filter(|held| held.attempts == attempt + 1);
        if let Some(handle) = held.and_then(|held| held.call.take()) {
            let _ = handle.send(());
        }
    }
}
