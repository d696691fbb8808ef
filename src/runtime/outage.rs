//! What the runtime does while the store fails.
//!
//! Nothing is promised and no call starts that the store does not hold. Messages whose acceptance could not be stored are
//! refused; what was accepted earlier keeps its deadline; records and effects that wait are bounded by the messages held. The
//! store is tried again with back-off, and everything goes on with the first write that succeeds.

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
/// What a client is told whose message cannot be stored.
const UNAVAILABLE: &str = "the store is unavailable";

/// A span in which the store fails.
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
    /// Stores what is to be stored. Returns whether it has to wait as the store fails.
    pub(super) fn store_pending(&mut self) -> Result<bool, StoreError> {
        let now = self.clock.now();
        if self.outage.as_ref().is_some_and(|outage| now < outage.retry_at) {
            return Ok(true);
        }
        if self.records.is_empty() {
            if self.outage.is_none() {
                return Ok(false);
            }
            // Shows whether the store works again, and says nothing.
            self.records.push(Record::Recorded(Vec::new()));
        }
        match self.journal.append(now, &self.records) {
            Ok(()) => {
                self.records.clear();
                self.unwritten = 0;
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
        self.standing.store_failing(outage.since, outage.failures, &error.to_string());
        if begins || now - outage.logged_at >= LOG_INTERVAL {
            outage.logged_at = now;
            let transient = error.persistence() == Persistence::Transient;
            warn!(failures = outage.failures, transient, "{error}; new messages are refused until it works");
        }
    }

    fn store_recovered(&mut self, now: Micros) {
        let Some(Outage { since, failures, .. }) = self.outage.take() else { return };
        self.standing.store_working();
        info!(failures, outage_us = now - since, "the store works again");
    }

    /// The answer to a message that comes while the store fails.
    pub(super) fn refused_by_store(&self) -> Option<Answer> {
        self.outage.as_ref()?;
        let advice = self.settings.longest_advice.map_or(MAX_RETRY, |most| most.min(MAX_RETRY));
        Some(Answer::Refused(UNAVAILABLE.into(), Some(advice)))
    }

    /// Whether everything decided so far is stored and released.
    pub(super) fn all_stored(&self) -> bool {
        self.outage.is_none() && self.records.is_empty()
    }

    /// The time at which the store is tried again, or something that waits for it may wait no longer.
    pub(super) fn outage_wake(&self) -> Option<Micros> {
        let retry_at = self.outage.as_ref()?.retry_at;
        let limits = self.effects.iter().filter_map(|effect| match effect {
            Effect::Call(_, call) => Some(call_limit(call)),
            Effect::Notice(_, due) => Some(*due),
            _ => None,
        });
        limits.chain([retry_at]).min()
    }

    /// Releases the effects that rest on no record which waits, and ends what may not wait for the store.
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
                Effect::Call(_, call) if call_limit(&call) <= now => ended.push(call),
                Effect::CallOff(id, attempt) => match take_call(&mut kept, id, attempt) {
                    Some(call) => ended.push(call),
                    None => self.release(Effect::CallOff(id, attempt)),
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

    /// Refuses a message whose acceptance is not stored, and forgets what was decided about it.
    fn refuse_unstored(&mut self, reply: Reply) {
        let Reply { to, message, receipt, answer } = reply;
        if answer == Answer::Accepted {
            self.drop_unstored(&message, receipt.as_deref());
        }
        if let Some(answer) = self.refused_by_store() {
            let _ = to.send(answer);
        }
    }

    fn drop_unstored(&mut self, message: &str, receipt: Option<&str>) {
        let (mut call, mut entry) = (None, None);
        self.effects.retain(|effect| match effect {
            Effect::Call(_, pending) if pending.exchange.id == message => {
                call = Some(pending.clone());
                false
            }
            Effect::Notice(notice, _) => notice.id != message,
            Effect::Record(number, Entry::Ended(end)) if end.id == message => {
                entry = Some(*number);
                false
            }
            _ => true,
        });
        self.records.retain(|record| match record {
            Record::Receipt(kept) => Some(&*kept.key) != receipt,
            Record::Entry { number, .. } => Some(*number) != entry,
            record => record.id() != message,
        });
        self.owed.remove(message);
        self.ended.forget(message);
        let Some(id) = self.ids.get(message).copied() else { return };
        self.forget(id);
        match call {
            Some(call) => {
                let OutboundCall { attempt, target, .. } = call;
                let (outcome, verdict, report) =
                    (Outcome::Skipped, Decision::EndedElsewhere, Report::default());
                self.handle(Event::Done(Done { id, attempt, target, outcome, took: 0, verdict, report }));
            }
            None => self.handle(Event::Gone(id)),
        }
    }

    /// Ends an attempt that never started as not sent, without a trace in the store.
    fn end_unstarted(&mut self, call: &OutboundCall) {
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        // Its end counts one call less in flight, and it was not counted.
        self.out += 1;
        let (began, report, evidence) = (self.clock.now(), Report::default(), Evidence::default());
        let outcome = Outcome::Skipped;
        let end = CallEnd {
            id: id.clone(),
            attempt,
            target,
            outcome,
            decision: outcome.verdict(),
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

/// After this a call may not start any more.
fn call_limit(call: &OutboundCall) -> Micros {
    call.start_by.min(call.deadline)
}

/// Takes a call that has not started from the effects that wait.
fn take_call(waiting: &mut Vec<Effect>, message: MessageId, attempt: u32) -> Option<OutboundCall> {
    let wanted = |effect: &Effect| matches!(effect, Effect::Call(id, call) if *id == message && call.attempt == attempt);
    let at = waiting.iter().position(wanted)?;
    match waiting.remove(at) {
        Effect::Call(_, call) => Some(call),
        _ => None,
    }
}
