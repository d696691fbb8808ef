//! Recovery at a start: restores the messages, reports and entries that an earlier process left in the journal.

use std::sync::Arc;

use record::model::{Entry, Evidence, Outcome as RecordedOutcome, Trace};
use tracing::{debug, error, warn};

use crate::exchange::{Exchange, Member, NonDeliveryReport};
use crate::interface::*;
use crate::recording::attempt_end;
use crate::store::{Replay, StoreError, Stored};

use super::{Effect as Released, Runtime};

/// The endpoint in the history of a message whose attempts were made before there was a record.
const UNKNOWN_ENDPOINT: &str = "unknown";

impl Runtime {
    /// Loads the destination set as last known and the health observations about it, and resumes what an earlier
    /// process left unfinished.
    ///
    /// # Errors
    /// Where the store fails.
    pub fn resume(
        &mut self, known: Vec<Member>, observations: Vec<DestinationObservation>, replay: Replay,
    ) -> Result<(), StoreError> {
        self.listed(ListUpdate::Full, known);
        observations.into_iter().for_each(|hearsay| self.handle(Event::PeerObserved(hearsay)));
        self.resend(replay.notices);
        for (number, bytes) in replay.entries {
            self.resume_entry(number, &bytes);
        }
        for (stored, verdict) in replay.decided {
            self.resume_heard(stored, verdict);
        }
        for stored in replay.messages {
            self.resume_message(stored);
        }
        self.commit()
    }

    /// Sends again the non-delivery reports that were not acknowledged.
    pub(super) fn resend(&mut self, notices: Vec<NonDeliveryReport>) {
        for notice in notices {
            self.unacknowledged.insert(notice.id.clone());
            // The end of the message is stored, so the report may be sent at any time.
            self.effects.push(Released::Notice(notice, Micros::MIN));
        }
    }

    /// Passes an entry to the record that an earlier process left in the journal.
    fn resume_entry(&mut self, number: u64, bytes: &[u8]) {
        match (&self.outbox, Entry::decode(bytes)) {
            (Some(_), Some(entry)) => self.effects.push(Released::Record(number, entry)),
            (Some(_), None) => {
                error!("entry {number} for the record cannot be read and stays in the journal")
            }
            (None, _) => warn!("entry {number} waits in the journal until a record is configured again"),
        }
    }

    /// Holds a stored message again. One whose class is gone ends as failed.
    pub(super) fn resume_message(&mut self, mut stored: Stored) {
        let terms = stored.terms.clone().or_else(|| self.current_terms(&stored.class));
        let trace = self.resumed_trace(&mut stored);
        let Stored { id, class, tenant, due, destination, idempotency_key, body, .. } = stored;
        let Stored { attempts, may_have_run, .. } = stored;
        let exchange = Exchange { id, class, tenant, due, destination, idempotency_key, body };
        let Some(terms) = terms else {
            error!(
                message = exchange.id,
                "accepted for class {:?}, which is no longer configured; the message fails", exchange.class
            );
            let notice = NonDeliveryReport { id: exchange.id.clone(), handed_back: false, retry_in_ms: None };
            return self.end_message((&exchange, trace, RecordedOutcome::Failed), true, Some(notice));
        };
        let (class, new) = self.classes.intern(&exchange.class, &terms);
        let arrival = self.arrival(Arc::new(exchange), class, attempts, trace);
        if new {
            self.apply_settings();
        }
        self.handle(Event::Resumed { arrival, attempts, may_have_run });
    }

    /// Ends a message by what an earlier process received on its last attempt. It is never sent again.
    pub(super) fn resume_heard(&mut self, mut stored: Stored, verdict: Decision) {
        let terms = stored.terms.clone().or_else(|| self.current_terms(&stored.class));
        let non_idempotent = terms.is_none_or(|terms| terms.effect == Effect::NonIdempotent);
        let mut trace = self.resumed_trace(&mut stored);
        if let Some(trace) = &mut trace {
            let attempt_outcome = if verdict == Decision::Delivered { Outcome::Ok } else { Outcome::Skipped };
            let end = attempt_end(self.clock.now(), attempt_outcome, verdict, Evidence::default());
            let attempt = stored.attempts.saturating_sub(1);
            trace.ended(attempt, end.at, &end.result, end.effect, end.evidence);
        }
        let Stored { id, class, tenant, due, destination, idempotency_key, body, .. } = stored;
        let exchange = Exchange { id, class, tenant, due, destination, idempotency_key, body };
        debug!(message = exchange.id, verdict = verdict.label(), "ends by what was heard before");
        let (outcome, notice) = match verdict {
            Decision::Delivered => (RecordedOutcome::Delivered, None),
            Decision::EndedElsewhere => (RecordedOutcome::Withdrawn, None),
            Decision::MayHaveEnded | Decision::AttemptsExhausted { .. } | Decision::Pending { .. } => {
                let notice =
                    NonDeliveryReport { id: exchange.id.clone(), handed_back: false, retry_in_ms: None };
                (RecordedOutcome::Failed, Some(notice))
            }
        };
        self.end_message((&exchange, trace, outcome), non_idempotent, notice);
    }

    fn current_terms(&self, class: &str) -> Option<Class> {
        let number = self.classes.current(class)?;
        self.classes.parameters(number).cloned()
    }

    /// The message's history. For a message that was accepted before there was a record, the known part of it.
    fn resumed_trace(&self, stored: &mut Stored) -> Option<Trace> {
        self.outbox.as_ref()?;
        if let Some(trace) = stored.trace.take() {
            return Some(trace);
        }
        let mut trace = Trace::new(self.clock.now());
        if stored.may_have_run || stored.attempts > 0 {
            trace.started(stored.attempts.saturating_sub(1), UNKNOWN_ENDPOINT, trace.taken_at);
        }
        Some(trace)
    }
}
