//! The fold of the record model: what is not finished, and from which bytes it can be rebuilt. Owns the state
//! of each message, notice, receipt and entry. It must never do I/O.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;

use super::{Heard, Record, Replay, Stored};
use crate::exchange::{NonDeliveryReport, Receipt};
use crate::interface::{Decision, Micros};

/// State of one message, folded from its records.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) seq: u64,
    message: Option<Stored>,
    notice: Option<NonDeliveryReport>,
    receipt: Option<Receipt>,
    entry: Option<(u64, Bytes)>,
    /// An attempt is out.
    open: bool,
    /// What was heard of it, if it may end the message, and which attempt it is.
    heard: Option<(u32, Decision)>,
    /// Where the record lies from which the state can be rebuilt, and its size there.
    pub(super) segment: u64,
    pub(super) size: u64,
}

impl Live {
    fn new(seq: u64, segment: u64, size: u64) -> Self {
        Live {
            seq,
            message: None,
            notice: None,
            receipt: None,
            entry: None,
            open: false,
            heard: None,
            segment,
            size,
        }
    }
}

/// All that is not finished: the fold of the record model. Invariant: `bytes` and `unfinished` are what a walk
/// over `live` would count; every write asks for them.
#[derive(Debug, Default)]
pub(super) struct Book {
    live: HashMap<String, Live>,
    seq: u64,
    bytes: u64,
    unfinished: u64,
    entries: u64,
    /// When the first receipt is to be forgotten; none before that.
    forget_at: Option<Micros>,
}

/// Where an entry is kept; the line end keeps it apart from ids of messages.
fn entry_key(number: u64) -> String {
    format!("entry\n{number}")
}

impl Live {
    fn unfinished(&self) -> u64 {
        u64::from(self.message.is_some() || self.notice.is_some())
    }

    fn entry_bytes(&self) -> u64 {
        self.entry.as_ref().map_or(0, |(_, bytes)| bytes.len() as u64)
    }
}

impl Book {
    fn put(&mut self, key: String, live: Live) -> Option<Live> {
        let old = self.take(&key);
        self.bytes += live.size;
        self.unfinished += live.unfinished();
        self.entries += live.entry_bytes();
        self.live.insert(key, live);
        old
    }

    fn take(&mut self, key: &str) -> Option<Live> {
        let old = self.live.remove(key)?;
        self.bytes -= old.size;
        self.unfinished -= old.unfinished();
        self.entries -= old.entry_bytes();
        Some(old)
    }

    /// What is live: ids of messages, and keys of receipts.
    pub(super) fn ids(&self) -> HashSet<String> {
        self.live.keys().cloned().collect()
    }

    /// Bytes of the records from which all this can be rebuilt.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes of the entries that are not known to be in the database.
    pub(super) fn entries(&self) -> u64 {
        self.entries
    }

    /// What lies in a segment, in the order it came.
    pub(super) fn in_segment(&self, number: u64) -> Vec<&Live> {
        let mut found: Vec<&Live> = self.live.values().filter(|live| live.segment == number).collect();
        found.sort_by_key(|live| live.seq);
        found
    }

    /// Takes a record that lies in `segment`; the segments whose share it changes are told to `moved`.
    pub(super) fn apply(
        &mut self, record: &Record, segment: u64, size: u64, mut moved: impl FnMut(u64, i64),
    ) {
        match record {
            Record::Taken(stored) => {
                self.seq += 1;
                let old = self.take(&stored.id);
                let seq = old.as_ref().map_or(self.seq, |old| old.seq);
                if let Some(old) = old {
                    moved(old.segment, -1);
                }
                let message = Some(stored.clone());
                let live = Live { message, ..Live::new(seq, segment, size) };
                self.put(stored.id.clone(), live);
                moved(segment, 1);
            }
            Record::Started { id, attempt, begun } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.open = true;
                    if let Some(message) = &mut live.message {
                        message.attempts = message.attempts.max(attempt + 1);
                        if let (Some(trace), Some(begun)) = (&mut message.trace, begun) {
                            trace.started(*attempt, &begun.endpoint, begun.at);
                        }
                    }
                }
            }
            Record::Outcome { id, attempt, may_have_run, heard } => {
                if let Some(live) = self.live.get_mut(id) {
                    (live.open, live.heard) = (false, None);
                    if let Some(message) = &mut live.message {
                        message.may_have_run |= may_have_run;
                        if let (Some(trace), Some(heard)) = (&mut message.trace, heard) {
                            let Heard { at, result, effect, evidence } = heard;
                            trace.ended(*attempt, *at, result, *effect, evidence.clone());
                        }
                    }
                }
            }
            Record::Heard { id, attempt, verdict } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.heard = Some((*attempt, *verdict));
                }
            }
            Record::Ended { id, notice } => {
                let old = self.take(id);
                if let Some(old) = &old {
                    moved(old.segment, -1);
                }
                if let Some(notice) = notice {
                    self.seq += 1;
                    let seq = old.map_or(self.seq, |old| old.seq);
                    let notice = Some(notice.clone());
                    let live = Live { notice, ..Live::new(seq, segment, size) };
                    self.put(id.clone(), live);
                    moved(segment, 1);
                }
            }
            Record::Acknowledged { id } => {
                if let Some(old) = self.take(id) {
                    moved(old.segment, -1);
                }
            }
            Record::Receipt(receipt) => {
                self.seq += 1;
                self.forget_at = Some(self.forget_at.map_or(receipt.until, |at| at.min(receipt.until)));
                let live = Live { receipt: Some(receipt.clone()), ..Live::new(self.seq, segment, size) };
                if let Some(old) = self.put(receipt.key.clone(), live) {
                    moved(old.segment, -1);
                }
                moved(segment, 1);
            }
            Record::Entry { number, bytes } => {
                self.seq += 1;
                let entry = Some((*number, bytes.clone()));
                let live = Live { entry, ..Live::new(self.seq, segment, size) };
                if let Some(old) = self.put(entry_key(*number), live) {
                    moved(old.segment, -1);
                }
                moved(segment, 1);
            }
            Record::Recorded(numbers) => {
                for number in numbers {
                    if let Some(old) = self.take(&entry_key(*number)) {
                        moved(old.segment, -1);
                    }
                }
            }
        }
    }

    /// Forgets the receipts that are remembered no longer.
    pub(super) fn forget_receipts(&mut self, now: Micros, mut moved: impl FnMut(u64, i64)) {
        let mut forgotten = Vec::new();
        // Every write asks; the receipts are gone through only when one is due.
        if self.forget_at.is_none_or(|at| at > now) {
            return;
        }
        for (key, live) in &self.live {
            if live.receipt.as_ref().is_some_and(|receipt| receipt.until <= now) {
                forgotten.push(key.clone());
            }
        }
        for key in &forgotten {
            if let Some(old) = self.take(key) {
                moved(old.segment, -1);
            }
        }
        self.forget_at = self.live.values().filter_map(|live| Some(live.receipt.as_ref()?.until)).min();
    }

    /// Messages and notices that are not finished.
    pub(super) fn unfinished(&self) -> u64 {
        self.unfinished
    }

    /// The records from which a message's state can be rebuilt while it goes on.
    pub(super) fn noted_again(live: &Live) -> Vec<Record> {
        match &live.message {
            // An attempt that is out stays one: its outcome may still tell that it never ran.
            Some(message) => {
                let attempt = message.attempts.saturating_sub(1);
                // Its start, and where it went, are in the trace that is noted with the message.
                let started = Record::Started { id: message.id.clone(), attempt, begun: None };
                let taken = Record::Taken(message.clone());
                let id = message.id.clone();
                let heard = live.heard.map(|(attempt, verdict)| Record::Heard { id, attempt, verdict });
                std::iter::once(taken).chain(live.open.then_some(started)).chain(heard).collect()
            }
            None => Self::state(live).into_iter().collect(),
        }
    }

    /// What a start finds of a message.
    fn state(live: &Live) -> Option<Record> {
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
        let may_have_run = message.may_have_run || live.open;
        Some(Record::Taken(Stored { may_have_run, ..message }))
    }

    pub(super) fn replay(&self) -> Replay {
        let mut all: Vec<&Live> = self.live.values().collect();
        all.sort_by_key(|live| live.seq);
        let mut replay = Replay::default();
        for live in all {
            match Self::state(live) {
                Some(Record::Taken(stored)) => match live.heard {
                    Some((_, verdict)) => replay.heard.push((stored, verdict)),
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
