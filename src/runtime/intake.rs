//! Submission of messages by clients, and their withdrawal.

use std::sync::Arc;

use record::model::{Outcome as RecordedOutcome, Trace};
use tokio::sync::oneshot;
use tracing::debug;

use crate::exchange::{Answer, Exchange, Receipt};
use crate::handed::PastAttempts;
use crate::interface::*;
use crate::store::{Record, Stored};

use super::effects::Reply;
use super::ended::KnownId;
use super::{Effect, Held, Runtime};

/// Answer to a submission whose id belongs to a message with another content, which is held or ended recently. Nothing of this
/// one was sent, so submitting it again, under an id of its own, is harmless.
const ID_IN_USE: &str = "another message has this id";

impl Runtime {
    /// Processes the submission of a message. It is accepted if there is room for it and the module does not give it up at once.
    pub(super) fn submitted(
        &mut self, exchange: Arc<Exchange>, receipt: Option<Receipt>, reply: oneshot::Sender<Answer>,
    ) {
        let receipt_key = receipt.as_ref().map(|receipt| receipt.key.clone());
        let reply = |answer| {
            Effect::Answer(Reply { to: reply, answer, message: exchange.id.clone(), receipt: receipt_key })
        };
        let receipt_bytes = receipt.as_ref().map_or(0, |receipt| receipt.bytes.len());
        let key_bytes = exchange.idempotency_key.as_ref().map_or(0, |key| key.as_str().len());
        let bytes =
            exchange.body.len() + key_bytes + receipt_bytes + self.journal.reserved_per_message() as usize;
        let past = match self.resubmitted(&exchange) {
            Ok(past) => past,
            Err(answer) => return self.effects.push(reply(answer)),
        };
        let class = match self.admit(&exchange, bytes) {
            Ok(class) => class,
            Err(answer) => return self.effects.push(reply(answer)),
        };
        let trace = self.outbox.is_some().then(|| Trace::new(self.clock.now()));
        let arrival = self.arrival(exchange.clone(), class, past.count, trace.clone());
        let id = arrival.id;
        let event = match past {
            PastAttempts { count: 0, .. } => Event::Arrival(arrival),
            PastAttempts { count, may_have_run } => Event::Resumed { arrival, attempts: count, may_have_run },
        };
        let mut actions = Vec::new();
        self.relay.handle(self.clock.now(), event, &mut actions);
        let answer = take_answer(id, &mut actions);
        if answer == Answer::Accepted {
            self.records.push(Record::Accepted(self.first_stored(&exchange, class, past, trace)));
            self.records.extend(receipt.map(Record::Receipt));
            self.unwritten_bytes += bytes;
        } else {
            self.forget(id);
        }
        self.effects.push(reply(answer));
        self.carry_out(actions);
    }

    /// The attempts made before for a message that is to be accepted: its id is unknown, or it was withdrawn before any client
    /// was told of it. Otherwise the answer to the submission of an id under which a message is held or has ended: it was
    /// accepted before only if the content is the same, as the client of another content is owed that one's delivery.
    fn resubmitted(&mut self, exchange: &Exchange) -> Result<PastAttempts, Answer> {
        let held = self.ids.get(&exchange.id).and_then(|id| Some((*id, self.held.get_mut(id)?)));
        let Some((id, held)) = held else {
            return match self.ended.lookup(exchange) {
                KnownId::New => Ok(PastAttempts::default()),
                KnownId::Withdrawn(attempts) => Ok(attempts),
                KnownId::Ended => Err(Answer::AlreadyAccepted),
                KnownId::OtherContent => Err(Answer::Refused(ID_IN_USE.into(), None)),
            };
        };
        if !held.exchange.has_same_content(exchange) {
            return Err(Answer::Refused(ID_IN_USE.into(), None));
        }
        let withdrawn = held.withdrawn;
        (held.acknowledged_again, held.withdrawn) = (true, false);
        if withdrawn {
            debug!(message = exchange.id, "submitted again after its client had left");
            self.handle(Event::Resubmitted(id));
        }
        Err(Answer::AlreadyAccepted)
    }

    /// Checks a message against what memory, disk and the module can hold, before anything is promised. Returns the
    /// number of its class, or else the answer that turns it away. `bytes` is what it takes in the journal.
    fn admit(&self, exchange: &Exchange, bytes: usize) -> Result<usize, Answer> {
        let class = self.classes.current(&exchange.class).ok_or(Answer::UnknownClass)?;
        if !self.destinations.contains(&exchange.destination) {
            return Err(Answer::Refused("unknown dest".into(), None));
        }
        if self.held.len() >= self.max_held {
            return Err(Answer::Refused("as many messages held as may be".into(), None));
        }
        if self.held_bytes + exchange.body.len() > self.max_bytes {
            return Err(Answer::Refused("as many bytes held as may be".into(), None));
        }
        if let Some(refusal) = self.refused_by_store() {
            return Err(refusal);
        }
        self.check_store(bytes)?;
        Ok(class)
    }

    /// Checks that the journal and the record's outbox have room. The records of the current batch are not written
    /// yet, but count.
    fn check_store(&self, bytes: usize) -> Result<(), Answer> {
        let outbox = self.outbox.as_ref();
        if !self.journal.has_room(self.unwritten_bytes + bytes) {
            let waiting = outbox.filter(|_| self.journal.entry_bytes() > 0);
            let advice = waiting.map(|outbox| outbox.retry_advice());
            return Err(Answer::Refused("no room on the disk".into(), advice));
        }
        let refusal = outbox.and_then(|outbox| outbox.refusal(self.journal.entry_bytes(), self.held.len()));
        refusal.map_or(Ok(()), Err)
    }

    /// What the journal holds of a message that has just been accepted.
    fn first_stored(
        &self, exchange: &Exchange, class: usize, past: PastAttempts, trace: Option<Trace>,
    ) -> Stored {
        Stored {
            id: exchange.id.clone(),
            class: exchange.class.clone(),
            tenant: exchange.tenant.clone(),
            destination: exchange.destination,
            due: exchange.due,
            idempotency_key: exchange.idempotency_key.clone(),
            body: exchange.body.clone(),
            attempts: past.count,
            may_have_run: past.may_have_run,
            terms: self.classes.parameters(class).cloned(),
            trace,
        }
    }

    /// Holds a message and describes it for the module.
    pub(super) fn arrival(
        &mut self, exchange: Arc<Exchange>, class: usize, attempts: u32, trace: Option<Trace>,
    ) -> Arrival {
        self.messages_seen += 1;
        let id = MessageId(self.messages_seen);
        let Exchange { due, destination, .. } = *exchange;
        let tenant = exchange.tenant.as_deref().and_then(|tenant| self.names.tenant(tenant));
        self.classes.add_message(class);
        self.ids.insert(exchange.id.clone(), id);
        self.held_bytes += exchange.body.len();
        let held = Held {
            exchange,
            attempts,
            cancel: None,
            in_flight: None,
            answered: false,
            heard: None,
            class,
            withdrawn: false,
            acknowledged_again: false,
            trace,
        };
        self.held.insert(id, held);
        Arrival { id, class, tenant, key: None, due, destination: DestinationId(destination) }
    }

    /// Withdraws a message whose client left before it heard that the message was accepted, unless another client was told
    /// so. A call in flight, also one that has not started yet, may end.
    pub(super) fn withdrawn(&mut self, id: &str) {
        let Some(message) = self.ids.get(id).copied() else { return };
        let Some(held) = self.held.get_mut(&message).filter(|held| !held.acknowledged_again) else { return };
        held.withdrawn = true;
        if held.in_flight.is_none() {
            let (count, may_have_run) = (held.attempts, self.relay.may_have_run(message));
            self.finish_withdrawn(message, PastAttempts { count, may_have_run });
        }
        self.handle(Event::Withdrawn(message));
    }

    /// Ends a withdrawn message that no call delivered. A further submission of its id is accepted.
    pub(super) fn finish_withdrawn(&mut self, message: MessageId, attempts: PastAttempts) {
        let Some(exchange) = self.held.get(&message).map(|held| held.exchange.clone()) else { return };
        self.finish(message, RecordedOutcome::Withdrawn, None);
        let content = Some(exchange.content_digest());
        self.ended.remember_withdrawn(self.clock.now(), &exchange.id, attempts, content);
    }
}

/// Removes from the actions the immediate end of the message that has just arrived, and returns the answer to its
/// client. Such a message was never accepted.
fn take_answer(id: MessageId, actions: &mut Vec<Action>) -> Answer {
    let mut answer = Answer::Accepted;
    actions.retain(|action| match action {
        Action::Refuse { id: refused, retry_after } if *refused == id => {
            answer = Answer::Refused("refused".into(), *retry_after);
            false
        }
        Action::Fail(failed) if *failed == id => {
            answer = Answer::Failed("failed".into());
            false
        }
        _ => true,
    });
    answer
}
