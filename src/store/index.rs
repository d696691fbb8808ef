//! The index of the journal, without I/O: the state of each unfinished message, non-delivery report, receipt and entry, and
//! the segment that holds the record from which it can be rebuilt.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;

use super::{AttemptEnd, Record, Replay, Stored};
use crate::exchange::{NonDeliveryReport, Receipt};
use crate::interface::{Decision, Micros};

/// State of one message, non-delivery report, receipt or entry, from its records.
#[derive(Clone, Debug)]
pub(super) struct LiveRecord {
    pub(super) seq: u64,
    message: Option<Stored>,
    notice: Option<NonDeliveryReport>,
    receipt: Option<Receipt>,
    entry: Option<(u64, Bytes)>,
    /// Whether an attempt is in flight.
    attempt_in_flight: bool,
    /// The attempt whose answer decides what becomes of the message, and the decision.
    decided: Option<(u32, Decision)>,
    /// Number of the segment with the record from which the state can be rebuilt.
    pub(super) segment: u64,
    /// Size of that record, in bytes.
    pub(super) size: u64,
}

impl LiveRecord {
    fn new(seq: u64, segment: u64, size: u64) -> Self {
        LiveRecord {
            seq,
            message: None,
            notice: None,
            receipt: None,
            entry: None,
            attempt_in_flight: false,
            decided: None,
            segment,
            size,
        }
    }
}

/// Everything that is not finished. Invariant: `bytes`, `unfinished` and `entries` are the totals over `live`. They are
/// maintained incrementally, as each write needs them.
#[derive(Debug, Default)]
pub(super) struct Index {
    live: HashMap<String, LiveRecord>,
    seq: u64,
    bytes: u64,
    unfinished: u64,
    entries: u64,
    /// When the first receipt expires, in Unix microseconds.
    next_receipt_expiry: Option<Micros>,
}

/// The key of an entry. The line feed distinguishes it from ids of messages.
fn entry_key(number: u64) -> String {
    format!("entry\n{number}")
}

impl LiveRecord {
    fn unfinished(&self) -> u64 {
        u64::from(self.message.is_some() || self.notice.is_some())
    }

    fn entry_bytes(&self) -> u64 {
        self.entry.as_ref().map_or(0, |(_, bytes)| bytes.len() as u64)
    }
}

impl Index {
    fn insert(&mut self, key: String, live: LiveRecord) -> Option<LiveRecord> {
        let old = self.remove(&key);
        self.bytes += live.size;
        self.unfinished += live.unfinished();
        self.entries += live.entry_bytes();
        self.live.insert(key, live);
        old
    }

    fn remove(&mut self, key: &str) -> Option<LiveRecord> {
        let old = self.live.remove(key)?;
        self.bytes -= old.size;
        self.unfinished -= old.unfinished();
        self.entries -= old.entry_bytes();
        Some(old)
    }

    /// Ids of messages and keys of receipts and entries.
    pub(super) fn ids(&self) -> HashSet<String> {
        self.live.keys().cloned().collect()
    }

    /// Total size of the records from which the state can be rebuilt, in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Total size of the entries that are not known to be in the database, in bytes.
    pub(super) fn entry_bytes(&self) -> u64 {
        self.entries
    }

    /// The live records in a segment, in the order of their acceptance.
    pub(super) fn in_segment(&self, number: u64) -> Vec<&LiveRecord> {
        let mut in_order: Vec<&LiveRecord> =
            self.live.values().filter(|live| live.segment == number).collect();
        in_order.sort_by_key(|live| live.seq);
        in_order
    }

    /// Applies a record in `segment`. Changes of the number of live records of a segment are passed to `adjust_live_count`.
    pub(super) fn apply(
        &mut self, record: &Record, segment: u64, size: u64, mut adjust_live_count: impl FnMut(u64, i64),
    ) {
        match record {
            Record::Accepted(stored) => {
                self.seq += 1;
                let old = self.remove(&stored.id);
                let seq = old.as_ref().map_or(self.seq, |old| old.seq);
                if let Some(old) = old {
                    adjust_live_count(old.segment, -1);
                }
                let message = Some(stored.clone());
                let live = LiveRecord { message, ..LiveRecord::new(seq, segment, size) };
                self.insert(stored.id.clone(), live);
                adjust_live_count(segment, 1);
            }
            Record::Started { id, attempt, start } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempt_in_flight = true;
                    if let Some(message) = &mut live.message {
                        message.attempts = message.attempts.max(attempt + 1);
                        if let (Some(trace), Some(start)) = (&mut message.trace, start) {
                            trace.started(*attempt, &start.endpoint, start.at);
                        }
                    }
                }
            }
            Record::Outcome { id, attempt, may_have_run, end } => {
                if let Some(live) = self.live.get_mut(id) {
                    (live.attempt_in_flight, live.decided) = (false, None);
                    if let Some(message) = &mut live.message {
                        message.may_have_run |= may_have_run;
                        if let (Some(trace), Some(end)) = (&mut message.trace, end) {
                            let AttemptEnd { at, result, effect, evidence } = end;
                            trace.ended(*attempt, *at, result, *effect, evidence.clone());
                        }
                    }
                }
            }
            Record::Decided { id, attempt, verdict } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.decided = Some((*attempt, *verdict));
                }
            }
            Record::Ended { id, notice } => {
                let old = self.remove(id);
                if let Some(old) = &old {
                    adjust_live_count(old.segment, -1);
                }
                if let Some(notice) = notice {
                    self.seq += 1;
                    let seq = old.map_or(self.seq, |old| old.seq);
                    let notice = Some(notice.clone());
                    let live = LiveRecord { notice, ..LiveRecord::new(seq, segment, size) };
                    self.insert(id.clone(), live);
                    adjust_live_count(segment, 1);
                }
            }
            Record::Acknowledged { id } => {
                if let Some(old) = self.remove(id) {
                    adjust_live_count(old.segment, -1);
                }
            }
            Record::Receipt(receipt) => {
                self.seq += 1;
                self.next_receipt_expiry =
                    Some(self.next_receipt_expiry.map_or(receipt.until, |at| at.min(receipt.until)));
                let live =
                    LiveRecord { receipt: Some(receipt.clone()), ..LiveRecord::new(self.seq, segment, size) };
                if let Some(old) = self.insert(receipt.key.clone(), live) {
                    adjust_live_count(old.segment, -1);
                }
                adjust_live_count(segment, 1);
            }
            Record::Entry { number, bytes } => {
                self.seq += 1;
                let entry = Some((*number, bytes.clone()));
                let live = LiveRecord { entry, ..LiveRecord::new(self.seq, segment, size) };
                if let Some(old) = self.insert(entry_key(*number), live) {
                    adjust_live_count(old.segment, -1);
                }
                adjust_live_count(segment, 1);
            }
            Record::Recorded(numbers) => {
                for number in numbers {
                    if let Some(old) = self.remove(&entry_key(*number)) {
                        adjust_live_count(old.segment, -1);
                    }
                }
            }
        }
    }

    /// Removes expired receipts.
    pub(super) fn expire_receipts(&mut self, now: Micros, mut adjust_live_count: impl FnMut(u64, i64)) {
        let mut expired = Vec::new();
        // This is called for each write, so receipts are scanned only when one has expired.
        if self.next_receipt_expiry.is_none_or(|at| at > now) {
            return;
        }
        for (key, live) in &self.live {
            if live.receipt.as_ref().is_some_and(|receipt| receipt.until <= now) {
                expired.push(key.clone());
            }
        }
        for key in &expired {
            if let Some(old) = self.remove(key) {
                adjust_live_count(old.segment, -1);
            }
        }
        self.next_receipt_expiry =
            self.live.values().filter_map(|live| Some(live.receipt.as_ref()?.until)).min();
    }

    /// Number of messages and non-delivery reports that are not finished.
    pub(super) fn unfinished(&self) -> u64 {
        self.unfinished
    }

    /// The records that compaction writes again, from which the state can be rebuilt.
    pub(super) fn rewrite_records(live: &LiveRecord) -> Vec<Record> {
        match &live.message {
            // An attempt in flight stays in flight: its outcome may still show that it never ran.
            Some(message) => {
                let attempt = message.attempts.saturating_sub(1);
                // Its start and its endpoint are in the trace that is stored with the message.
                let started = Record::Started { id: message.id.clone(), attempt, start: None };
                let taken = Record::Accepted(message.clone());
                let id = message.id.clone();
                let heard = live.decided.map(|(attempt, verdict)| Record::Decided { id, attempt, verdict });
                std::iter::once(taken).chain(live.attempt_in_flight.then_some(started)).chain(heard).collect()
            }
            None => Self::startup_record(live).into_iter().collect(),
        }
    }

    /// The record that represents this state at a start.
    fn startup_record(live: &LiveRecord) -> Option<Record> {
        if let Some(notice) = &live.notice {
            return Some(Record::Ended { id: notice.id.clone(), notice: Some(notice.clone()) });
        }
        if let Some(receipt) = &live.receipt {
            return Some(Record::Receipt(receipt.clone()));
        }
        if let Some((number, bytes)) = &live.entry {
            return Some(Record::Entry { number: *number, bytes: bytes.clone() });
        }
        let message = live.message.clone()?;
        let may_have_run = message.may_have_run || live.attempt_in_flight;
        Some(Record::Accepted(Stored { may_have_run, ..message }))
    }

    pub(super) fn replay(&self) -> Replay {
        let mut all: Vec<&LiveRecord> = self.live.values().collect();
        all.sort_by_key(|live| live.seq);
        let mut replay = Replay::default();
        for live in all {
            match Self::startup_record(live) {
                Some(Record::Accepted(stored)) => match live.decided {
                    Some((_, verdict)) => replay.decided.push((stored, verdict)),
                    None => replay.messages.push(stored),
                },
                Some(Record::Ended { notice: Some(notice), .. }) => replay.notices.push(notice),
                Some(Record::Receipt(receipt)) => replay.receipts.push(receipt),
                Some(Record::Entry { number, bytes }) => replay.entries.push((number, bytes)),
                _ => {}
            }
        }
        replay
    }
}
