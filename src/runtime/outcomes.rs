//! The ends of calls and of messages, with what is recorded of them.

use record::model::{Effect as RecordedEffect, Entry, Late, Outcome as RecordedOutcome, Trace};
use tracing::debug;

use crate::exchange::{CallEnd, Exchange, NonDeliveryReport, ProvisionalAnswer, ProvisionalDecision};
use crate::fleet;
use crate::handed::PastAttempts;
use crate::interface::*;
use crate::recording::attempt_end;
use crate::store::Record;

use super::held::Held;
use super::{Effect, Runtime};

impl Runtime {
    /// Processes the end of a call.
    pub(super) fn call_ended(&mut self, mut end: CallEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let now = self.clock.now();
        let Some(id) = self.ids.get(&end.id).copied() else { return self.record_late_end(end, now) };
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.cancel, held.in_flight) = (None, None);
        // The end may carry less than was received before, for example after the link to another process broke.
        if let Some(heard) = held.heard.take().filter(|_| end.decision.is_pending()) {
            end.decision = heard;
        }
        // The fleet was notified of an answer when it arrived.
        if let Some(fleet) = self.fleet.as_ref().filter(|_| !std::mem::take(&mut held.answered)) {
            let (destination, times) = (held.exchange.destination, (end.began, now));
            let _ = fleet.send(fleet::call_ended(destination, end.outcome, times, &end.report));
        }
        let recorded = held.trace.as_mut().map(|trace| {
            let recorded = attempt_end(now, end.outcome, end.decision, end.evidence);
            trace.ended(end.attempt, now, &recorded.result, recorded.effect, recorded.evidence.clone());
            recorded
        });
        let withdrawn = held.withdrawn;
        if end.decision.is_ended() {
            let delivered = end.decision == Decision::Delivered && !withdrawn;
            let outcome = if delivered { RecordedOutcome::Delivered } else { RecordedOutcome::Withdrawn };
            self.finish(id, outcome, None);
        } else if withdrawn {
            let count = if end.decision.is_pending() { held.attempts } else { PastAttempts::EXHAUSTED };
            let may_have_run = end.decision.may_have_run() || self.relay.may_have_run(id);
            self.finish_withdrawn(id, PastAttempts { count, may_have_run });
        } else {
            let may_have_run = end.decision.may_have_run();
            let (id, attempt) = (end.id, end.attempt);
            self.records.push(Record::Outcome { id, attempt, may_have_run, end: recorded });
        }
        let took = end.answered.unwrap_or_else(|| self.clock.now()) - end.began;
        let CallEnd { attempt, target, outcome, mut decision, report, .. } = end;
        if withdrawn {
            decision = Decision::EndedElsewhere;
        }
        let done = AttemptResult { id, attempt, target, outcome, elapsed: took, decision, report };
        self.hold_back(&done, now);
        self.handle(Event::AttemptEnded(done));
    }

    /// Stores a decision by what was received so far on a call in flight, which may end its message.
    pub(super) fn call_heard(&mut self, heard: ProvisionalDecision) {
        let ProvisionalDecision { id, attempt, decision } = heard;
        let held = self.ids.get(&id).and_then(|message| self.held.get_mut(message));
        let Some(held) = held.filter(|held| held.in_flight.is_some() && held.attempts == attempt + 1) else {
            return;
        };
        held.heard = Some(decision);
        debug!(message = id, attempt, verdict = decision.label(), "heard");
        self.records.push(Record::Decided { id, attempt, verdict: decision });
    }

    /// Processes the answer to a call. The decision about its message follows with the end of the call.
    pub(super) fn call_answered(&mut self, answered: ProvisionalAnswer) {
        let Some(id) = self.ids.get(&answered.id).copied() else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        held.answered = true;
        let destination = held.exchange.destination;
        let ProvisionalAnswer { attempt, target, outcome, began, at, report, .. } = answered;
        self.notify_fleet(fleet::call_ended(destination, outcome, (began, at), &report));
        let done = AttemptResult {
            id,
            attempt,
            target,
            outcome,
            elapsed: at - began,
            decision: outcome.decision(),
            report,
        };
        self.hold_back(&done, self.clock.now());
        self.handle(Event::AttemptAnswered(done));
    }

    /// Records the end of a call whose message has ended already, if the call took effect.
    fn record_late_end(&mut self, end: CallEnd, now: Micros) {
        if end.decision == Decision::Delivered {
            self.record_late(Late {
                id: end.id,
                at: now,
                kind: "answer".into(),
                source: format!("attempt {}", end.attempt),
                effect: RecordedEffect::Took,
                mic: None,
                detail: "an answer after the end".into(),
            });
        }
    }

    /// Holds back calls that are not sent yet, if an answer requests a wait. This includes answers that another process
    /// received.
    fn hold_back(&self, done: &AttemptResult, now: Micros) {
        if let (Some(wait), Some(lane)) = (done.requested_wait(), self.relay.send_path(done.target)) {
            self.caller.send_guard().hold_path(lane, now + wait);
        }
    }

    /// Ends a message that the module gives up, with a non-delivery report.
    pub(super) fn give_up(&mut self, id: MessageId, handed_back: bool, after: Option<Micros>) {
        let Some(name) = self.held.get(&id).map(|held| held.exchange.id.clone()) else { return };
        let retry_in_ms = after.and_then(|after| u64::try_from(after / 1000).ok());
        let outcome = if handed_back { RecordedOutcome::Refused } else { RecordedOutcome::Failed };
        self.finish(id, outcome, Some(NonDeliveryReport { id: name, handed_back, retry_in_ms }));
    }

    /// Ends a message held.
    pub(super) fn finish(
        &mut self, id: MessageId, outcome: RecordedOutcome, notice: Option<NonDeliveryReport>,
    ) {
        // Read before the message is released, which may drop its terms.
        let non_idempotent = self.held.get(&id).is_none_or(|held| self.is_non_idempotent(held.class));
        let Some(held) = self.forget(id) else { return };
        self.end_message((&held.exchange, held.trace, outcome), non_idempotent, notice);
    }

    /// Whether messages of a class are non-idempotent.
    fn is_non_idempotent(&self, class: usize) -> bool {
        self.classes
            .parameters(class)
            .is_none_or(|terms| terms.effect == crate::interface::Effect::NonIdempotent)
    }

    /// Releases a message.
    pub(super) fn forget(&mut self, id: MessageId) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.ids.remove(&held.exchange.id);
        self.held_bytes -= held.exchange.body.len();
        if self.classes.remove_message(held.class) {
            self.terms_released = true;
        }
        Some(held)
    }

    /// Stores the end of a message, reports a non-delivery and records the message's history.
    pub(super) fn end_message(
        &mut self, (exchange, trace, outcome): (&Exchange, Option<Trace>, RecordedOutcome),
        non_idempotent: bool, notice: Option<NonDeliveryReport>,
    ) {
        let (now, id) = (self.clock.now(), exchange.id.clone());
        let attempts = trace.as_ref().map(|trace| trace.attempts.len());
        debug!(message = id, destination = exchange.destination, outcome = outcome.word(), attempts, "ended");
        self.ended.remember(now, &id, Some(exchange.content_digest()));
        if let Some(notice) = notice.clone() {
            self.unacknowledged.insert(id.clone());
            self.effects.push(Effect::Notice(notice, exchange.due));
        }
        self.records.push(Record::Ended { id, notice });
        if let (Some(outbox), Some(trace)) = (&self.outbox, trace) {
            let receipt = self.caller.expected_receipt(exchange);
            let entry = outbox.end(exchange, non_idempotent, trace, (now, outcome), receipt);
            self.record(entry);
        }
    }

    /// Records an event after the end of a message, if there is room. Such entries are not guaranteed, so the ends of messages
    /// held take precedence.
    pub(super) fn record_late(&mut self, late: Late) {
        if self.outbox.is_some() && self.journal.has_room(self.unwritten_bytes) {
            self.record(Entry::Late(late));
        }
    }

    /// Stores an entry in the journal until the record has it.
    fn record(&mut self, entry: Entry) {
        let Some(outbox) = &mut self.outbox else { return };
        let number = outbox.next_number();
        self.records.push(Record::Entry { number, bytes: entry.encode().into() });
        self.effects.push(Effect::Record(number, entry));
    }
}
