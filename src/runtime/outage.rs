//! The runtime while the store is unavailable.
//!
//! No message is accepted and no call starts unless the store holds its record. Messages whose acceptance could not be stored are
//! refused; messages accepted earlier keep their deadline; the records and effects that wait are limited by the messages held.
//! Writes are retried with back-off, and everything continues with the first one that succeeds.

use tracing::{info, warn};

use record::model::{Entry, Evidence};
use transient::Persistence;

use crate::exchange::{Answer, CallEnd, OutboundCall};
use crate::interface::*;
use crate::store::{Record, StoreError};

use super::Runtime;
use super::effects::{Effect, Reply};

/// Interval before the first retry of a failed write, in microseconds.
const FIRST_RETRY: Micros = 5_000;
/// Longest interval between retries of a failed write, in microseconds.
const MAX_RETRY: Micros = 250_000;
/// Shortest time between two log lines about one outage, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;
/// Answer to clients whose message cannot be stored.
const UNAVAILABLE: &str = "the store is unavailable";

/// An outage of the store.
#[derive(Debug)]
pub(super) struct Outage {
    since: Micros,
    /// Number of writes that failed.
    failures: u32,
    retry_at: Micros,
    logged_at: Micros,
}

impl Outage {
    /// Interval before the next retry.
    fn interval(failures: u32) -> Micros {
        (FIRST_RETRY << failures.saturating_sub(1).min(16)).min(MAX_RETRY)
    }
}

impl Runtime {
    /// Stores the pending records. Returns whether they have to wait, as the store is unavailable.
    pub(super) fn store_pending(&mut self) -> Result<bool, StoreError> {
        let now = self.clock.now();
        if self.outage.as_ref().is_some_and(|outage| now < outage.retry_at) {
            return Ok(true);
        }
        if self.records.is_empty() {
            if self.outage.is_none() {
                return Ok(false);
            }
            // An empty record, to test whether the store has recovered.
            self.records.push(Record::Recorded(Vec::new()));
        }
        match self.journal.append(now, &self.records) {
            Ok(()) => {
                self.records.clear();
                self.unwritten_bytes = 0;
                self.store_recovered(now);
                Ok(false)
            }
            Err(error @ StoreError::Superseded { .. }) => Err(error),
            Err(error) => {
                self.store_failed(now, &error);
                Ok(true)
            }
        }
    }

    fn store_failed(&mut self, now: Micros, error: &StoreError) {
        let begins = self.outage.is_none();
        let outage =
            self.outage.get_or_insert(Outage { since: now, failures: 0, retry_at: now, logged_at: now });
        outage.failures = outage.failures.saturating_add(1);
        outage.retry_at = now + Outage::interval(outage.failures);
        self.status.store_failing(outage.since, outage.failures, &error.to_string());
        if begins || now - outage.logged_at >= LOG_INTERVAL {
            outage.logged_at = now;
            let transient = error.persistence() == Persistence::Transient;
            warn!(failures = outage.failures, transient, "{error}; new messages are refused until it works");
        }
    }

    fn store_recovered(&mut self, now: Micros) {
        let Some(Outage { since, failures, .. }) = self.outage.take() else { return };
        self.status.store_working();
        info!(failures, outage_us = now - since, "the store works again");
    }

    /// The answer to messages that are submitted while the store is unavailable.
    pub(super) fn refused_by_store(&self) -> Option<Answer> {
        self.outage.as_ref()?;
        let advice = self.settings.max_retry_after.map_or(MAX_RETRY, |most| most.min(MAX_RETRY));
        Some(Answer::Refused(UNAVAILABLE.into(), Some(advice)))
    }

    /// Whether everything decided so far is stored and released.
    pub(super) fn all_stored(&self) -> bool {
        self.outage.is_none() && self.records.is_empty()
    }

    /// The time at which a write is retried, or at which an effect that waits for the store may wait no longer.
    pub(super) fn outage_wake(&self) -> Option<Micros> {
        let retry_at = self.outage.as_ref()?.retry_at;
        let limits = self.effects.iter().filter_map(|effect| match effect {
            Effect::Call(_, call) => Some(latest_start(call)),
            Effect::Notice(_, due) => Some(*due),
            _ => None,
        });
        limits.chain([retry_at]).min()
    }

    /// Releases the effects that depend on no waiting record, and ends the calls that may not wait for the store any longer.
    pub(super) fn release_independent(&mut self) {
        let now = self.clock.now();
        let waiting = std::mem::take(&mut self.effects);
        let mut kept = Vec::with_capacity(waiting.len());
        let mut refused = Vec::new();
        let mut ended = Vec::new();
        for effect in waiting {
            match effect {
                Effect::Answer(reply) => match reply.answer {
                    Answer::Accepted => refused.push(reply),
                    Answer::AlreadyAccepted if refused.iter().any(|other| other.message == reply.message) => {
                        refused.push(reply);
                    }
                    _ => self.release(Effect::Answer(reply)),
                },
                Effect::Call(_, call) if latest_start(&call) <= now => ended.push(call),
                Effect::Cancel(id, attempt) => match take_call(&mut kept, id, attempt) {
                    Some(call) => ended.push(call),
                    None => self.release(Effect::Cancel(id, attempt)),
                },
                Effect::Notice(notice, due) if due <= now => self.release(Effect::Notice(notice, due)),
                effect @ Effect::Close(_) => self.release(effect),
                effect => kept.push(effect),
            }
        }
        self.effects = kept;
        refused.into_iter().for_each(|reply| self.refuse_unstored(reply));
        ended.into_iter().for_each(|call| self.end_unstarted(&call));
    }

    /// Refuses a message whose acceptance is not stored, and drops the decisions about it.
    fn refuse_unstored(&mut self, reply: Reply) {
        let Reply { to, message, receipt, answer } = reply;
        if answer == Answer::Accepted {
            self.drop_unstored(&message, receipt.as_deref());
        }
        if let Some(answer) = self.refused_by_store() {
            let _ = to.send(answer);
        }
    }

    /// Drops a message whose acceptance is not stored, with everything decided since. Records of an earlier message of the
    /// same id, which was withdrawn, stay.
    fn drop_unstored(&mut self, message: &str, receipt: Option<&str>) {
        let accepted = |record: &Record| matches!(record, Record::Accepted(stored) if stored.id == message);
        let since = self.records.iter().rposition(accepted).unwrap_or(self.records.len());
        let unstored = self.records.split_off(since);
        let entries: Vec<u64> = unstored
            .iter()
            .filter_map(|record| if let Record::Entry { number, .. } = record { Some(*number) } else { None })
            .collect();
        let (mut call, mut entry) = (None, None);
        self.effects.retain(|effect| match effect {
            Effect::Call(_, pending) if pending.exchange.id == message => {
                call = Some(pending.clone());
                false
            }
            Effect::Notice(notice, _) => notice.id != message,
            Effect::Record(number, Entry::Ended(end)) if end.id == message && entries.contains(number) => {
                entry = Some(*number);
                false
            }
            _ => true,
        });
        self.records.extend(unstored.into_iter().filter(|record| match record {
            Record::Receipt(kept) => Some(&*kept.key) != receipt,
            Record::Entry { number, .. } => Some(*number) != entry,
            record => record.id() != message,
        }));
        self.unacknowledged.remove(message);
        self.ended.forget(message);
        let Some(id) = self.ids.get(message).copied() else { return };
        self.forget(id);
        match call {
            Some(call) => {
                let OutboundCall { attempt, target, .. } = call;
                let (outcome, verdict, report) =
                    (Outcome::Skipped, Decision::EndedElsewhere, LimitReport::default());
                self.handle(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    target,
                    outcome,
                    elapsed: 0,
                    decision: verdict,
                    report,
                }));
            }
            None => self.handle(Event::Withdrawn(id)),
        }
    }

    /// Ends an attempt that never started as not sent, without records in the store.
    fn end_unstarted(&mut self, call: &OutboundCall) {
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        // `call_ended` decrements the number of calls in flight, which did not include this one.
        self.in_flight += 1;
        let (began, report, evidence) = (self.clock.now(), LimitReport::default(), Evidence::default());
        let outcome = Outcome::Skipped;
        let end = CallEnd {
            id: id.clone(),
            attempt,
            target,
            outcome,
            decision: outcome.decision(),
            began,
            answered: None,
            report,
            evidence,
        };
        self.call_ended(end);
        self.records.retain(|record| match record {
            Record::Started { id: other, attempt: number, .. }
            | Record::Outcome { id: other, attempt: number, .. } => (other, *number) != (&id, attempt),
            _ => true,
        });
    }
}

/// The time after which a call may not start any more.
fn latest_start(call: &OutboundCall) -> Micros {
    call.start_by.min(call.deadline)
}

/// Removes a call that has not started from the effects that wait.
fn take_call(waiting: &mut Vec<Effect>, message: MessageId, attempt: u32) -> Option<OutboundCall> {
    let wanted = |effect: &Effect| matches!(effect, Effect::Call(id, call) if *id == message && call.attempt == attempt);
    let at = waiting.iter().position(wanted)?;
    match waiting.remove(at) {
        Effect::Call(_, call) => Some(call),
        _ => None,
    }
}
