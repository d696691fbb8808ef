//! The journal: numbered segments of framed records, the write-ahead log of the relay.
//!
//! The files never hold more than the limit, and nothing unfinished is dropped. A write that fails leaves the journal as it
//! was: what it wrote in part is cut off or, where that fails too, stays behind an end that the next segment declares.

use std::collections::{HashSet, VecDeque};
use std::io::ErrorKind;
use std::path::Path;

use record::model::{MOST_ATTEMPT, MOST_ENTRY};
use tracing::{info, warn};

use super::book::Book;
use super::frames::{self, BATCH_HEADER_BYTES, SegmentEnd, Stop};
use super::storage::{Folder, Storage, newest};
use super::{Record, Replay, StoreError};
use crate::interface::Micros;

/// A segment that has so many bytes is followed by a new one.
const SEGMENT: u64 = 128 * 1024;
/// Files are counted in whole blocks.
const BLOCK: u64 = 512;
/// Kept free for each message held, so that its attempts, its end and its acknowledgement can be recorded:
/// twelve starts and outcomes, and two more records, each with an id of at most 64 bytes.
/// Each may stand in a batch of its own with what belongs to other messages.
pub const TO_END: u64 = 2304 + 26 * BATCH_HEADER_BYTES;
/// The same where ends are recorded: starts and outcomes then tell where and on what evidence, and the entry
/// itself holds all of them once more.
pub const TO_END_RECORDED: u64 = TO_END + 12 * (256 + 640) + MOST_ENTRY + 12 * MOST_ATTEMPT;
/// Kept free for noting again what is live in the oldest segment: its size, a record over that, and blocks.
const TO_COMPACT: u64 = 2 * SEGMENT;
/// Segments in a row that are left with a part of a failed write, at the most.
const MAX_ABANDONED: usize = 4;

/// The journal: numbered segments of framed records, written in order and removed from the oldest on, once
/// nothing in them is live. Invariant: the files together, in whole blocks, never exceed `limit`.
#[derive(Debug)]
pub struct Journal {
    storage: Box<dyn Storage>,
    limit: u64,
    /// Kept free for each message held.
    to_end: u64,
    segments: VecDeque<Segment>,
    /// The state of the newest segment.
    tail: Tail,
    /// Segments that end before their files do, which no header on the disk declares yet.
    abandoned: Vec<SegmentEnd>,
    /// The last attempt to free old segments failed.
    reclaim_failed: bool,
    book: Book,
}

/// The state of the newest segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    /// Of an earlier process: the next write begins a new segment.
    Closed,
    /// It ends with the last batch that was written.
    Clean,
    /// A part of a failed write may follow that.
    Dirty,
}

/// The room that a journal has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Bytes that its files may have together.
    pub limit: u64,
    /// Bytes kept free for each message held: [`TO_END`] or [`TO_END_RECORDED`].
    pub to_end: u64,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    /// Bytes of whole batches.
    bytes: u64,
    /// Bytes that a failed write may have left after them.
    waste: u64,
    live: u64,
}

impl Segment {
    /// Bytes of its file at the most.
    fn on_disk(&self) -> u64 {
        self.bytes + self.waste
    }
}

/// How far a journal goes: the number of its newest segment, and the bytes of its file. Whoever writes changes it.
pub type Mark = (u64, u64);

/// How far the journal of a folder goes that this process owns and has not opened yet.
///
/// # Errors
/// Where the folder cannot be read.
pub fn mark(folder: &Path) -> std::io::Result<Mark> {
    Ok(newest(folder)?.unwrap_or_default())
}

fn shift(segments: &mut VecDeque<Segment>, number: u64, by: i64) {
    if let Some(segment) = segments.iter_mut().find(|segment| segment.number == number) {
        segment.live = segment.live.saturating_add_signed(by);
    }
}

fn blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

impl Journal {
    /// Opens the journal of a folder and replays it. Nothing is written.
    ///
    /// # Errors
    /// Where the folder cannot be read, or a record is damaged other than by an interrupted write.
    pub fn open(folder: &Path, room: Room) -> Result<(Self, Replay), StoreError> {
        Self::replay_from(Box::new(Folder::open(folder)?), room)
    }

    /// Opens a journal on any storage and replays it.
    ///
    /// # Errors
    /// Where the storage cannot be read, or a record is damaged other than by an interrupted write.
    pub fn replay_from(mut storage: Box<dyn Storage>, room: Room) -> Result<(Self, Replay), StoreError> {
        let mut read = Vec::new();
        for number in storage.segments()? {
            read.push((number, frames::Segment::read(&storage.read(number)?)));
        }
        let mut journal = Journal {
            storage,
            limit: room.limit,
            to_end: room.to_end,
            segments: VecDeque::new(),
            tail: Tail::Closed,
            abandoned: Vec::new(),
            reclaim_failed: false,
            book: Book::default(),
        };
        let ends = journal.check_ends(&read)?;
        for ((number, segment), end) in read.into_iter().zip(ends) {
            journal.take_segment(number, segment, end);
        }
        let replay = journal.book.replay();
        journal.reclaim();
        Ok((journal, replay))
    }

    /// Where each segment ends. A segment that is cut has to be the last one with records, or its end has to be declared by
    /// the next one with records.
    fn check_ends(&mut self, read: &[(u64, frames::Segment)]) -> Result<Vec<u64>, StoreError> {
        let mut ends = Vec::new();
        for (i, (number, segment)) in read.iter().enumerate() {
            let next = read[i + 1..].iter().map(|(_, later)| later).find(|later| later.whole > 0);
            let declared = next.and_then(|next| next.abandoned.iter().find(|(n, _)| n == number));
            let torn = segment.stop == Some(Stop::Torn);
            match (declared, next) {
                (Some((_, end)), _) if segment.whole >= *end => ends.push(*end),
                (None, _) if segment.stop.is_none() => ends.push(segment.whole),
                (None, None) if torn => {
                    warn!("{} ends with a part of a write, which is dropped", self.storage.name(*number));
                    self.abandoned.push((*number, segment.whole));
                    ends.push(segment.whole);
                }
                _ => return Err(StoreError::Damaged { file: self.storage.name(*number), at: segment.whole }),
            }
        }
        Ok(ends)
    }

    /// Takes the records of a segment up to its end.
    fn take_segment(&mut self, number: u64, segment: frames::Segment, end: u64) {
        let waste = segment.length.saturating_sub(end);
        self.segments.push_back(Segment { number, bytes: end, waste, live: 0 });
        for (record, size, at) in &segment.records {
            if *at < end {
                self.note(record, number, *size);
            }
        }
    }

    fn note(&mut self, record: &Record, number: u64, size: u64) {
        let segments = &mut self.segments;
        self.book.apply(record, number, size, |number, by| shift(segments, number, by));
    }

    /// How far it goes.
    pub fn mark(&self) -> Mark {
        self.segments.back().map_or((0, 0), |segment| (segment.number, segment.on_disk()))
    }

    /// What the files take on the disk.
    pub fn used(&self) -> u64 {
        self.segments.iter().map(|segment| blocks(segment.on_disk())).sum()
    }

    /// Whether a message with so many bytes can be taken on, with room left to record its end.
    pub fn room(&self, bytes: usize) -> bool {
        let need = bytes as u64;
        self.used() + need + (self.book.unfinished() + 1) * self.to_end + TO_COMPACT <= self.limit
    }

    /// What it holds: ids of messages, and keys of receipts.
    pub fn ids(&self) -> HashSet<String> {
        self.book.ids()
    }

    /// What a start finds.
    pub fn replay(&self) -> Replay {
        self.book.replay()
    }

    /// Kept free for each message held.
    pub fn to_end(&self) -> u64 {
        self.to_end
    }

    /// Bytes of entries that are not known to be in the database.
    pub fn entries(&self) -> u64 {
        self.book.entries()
    }

    /// Writes records, all or none. Old segments that cannot be freed are no error; that is tried again with the next write.
    ///
    /// # Errors
    /// Where the limit or the disk does not let it. Nothing was written then, and the same may be tried again.
    pub fn append(&mut self, now: Micros, records: &[Record]) -> Result<(), StoreError> {
        if let Err(error) = self.write(records) {
            self.reclaim();
            return Err(error);
        }
        let segments = &mut self.segments;
        self.book.forget_receipts(now, |number, by| shift(segments, number, by));
        self.reclaim();
        Ok(())
    }

    fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        let frames::Encoded { mut bytes, sizes } = frames::encode_batch(records);
        let need = bytes.len() as u64;
        if self.used() + blocks(need) + BLOCK > self.limit {
            return Err(StoreError::Full { limit: self.limit, need });
        }
        self.make_writable()?;
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        if segment.bytes == 0 && !self.abandoned.is_empty() {
            bytes.splice(0..0, frames::encode_abandoned(&self.abandoned));
        }
        let written = bytes.len() as u64;
        if let Err(error) = self.storage.append(&bytes) {
            segment.waste = written;
            self.tail = Tail::Dirty;
            // What cannot be cut off now is cut off, or left behind, before the next write.
            let _ = self.cut_back();
            return Err(error.into());
        }
        segment.bytes += written;
        self.abandoned.clear();
        let number = segment.number;
        for (record, size) in records.iter().zip(sizes) {
            self.note(record, number, size);
        }
        Ok(())
    }

    /// Cuts off what a failed write may have left.
    fn cut_back(&mut self) -> std::io::Result<()> {
        if let Some(segment) = self.segments.back_mut() {
            self.storage.truncate(segment.bytes)?;
            segment.waste = 0;
        }
        self.tail = Tail::Clean;
        Ok(())
    }

    /// Sees to it that the newest segment may be appended to.
    fn make_writable(&mut self) -> Result<(), StoreError> {
        if self.tail == Tail::Dirty
            && let Err(error) = self.cut_back()
        {
            // Each end that is left behind takes room, so that only some are.
            if self.abandoned.len() >= MAX_ABANDONED {
                return Err(error.into());
            }
            let left = self.segments.back().map(|segment| (segment.number, segment.bytes));
            self.begin_segment()?;
            self.abandoned.extend(left);
            return Ok(());
        }
        let full = self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT);
        if self.tail == Tail::Closed || full {
            self.begin_segment()?;
        }
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), StoreError> {
        let number = self.segments.back().map_or(1, |segment| segment.number + 1);
        self.storage.create(number).map_err(|error| match error.kind() {
            ErrorKind::AlreadyExists => StoreError::Superseded { file: self.storage.name(number) },
            _ => error.into(),
        })?;
        self.segments.push_back(Segment { number, bytes: 0, waste: 0, live: 0 });
        self.tail = Tail::Clean;
        Ok(())
    }

    /// Frees old segments as far as possible; a failure is logged when it begins and when it is over.
    fn reclaim(&mut self) {
        let freed = self.try_reclaim();
        match &freed {
            Err(error) if !self.reclaim_failed => warn!("old segments of the journal stay for now: {error}"),
            Ok(()) if self.reclaim_failed => info!("old segments of the journal are freed again"),
            _ => {}
        }
        self.reclaim_failed = freed.is_err();
    }

    /// Removes the oldest segments while nothing in them is live; where much of the disk is taken by what is
    /// over, what is live in the oldest one is noted again first.
    fn try_reclaim(&mut self) -> Result<(), StoreError> {
        loop {
            let Some(oldest) = self.segments.front() else { return Ok(()) };
            if self.segments.len() == 1 && self.tail != Tail::Closed {
                return Ok(());
            }
            if oldest.live == 0 {
                let number = oldest.number;
                match self.storage.remove(number) {
                    Err(error) if error.kind() != ErrorKind::NotFound => return Err(error.into()),
                    _ => {}
                }
                self.segments.pop_front();
                self.abandoned.retain(|(abandoned, _)| *abandoned != number);
                continue;
            }
            if self.used() <= self.limit / 2 || self.used() < 2 * self.book.bytes() {
                return Ok(());
            }
            let number = oldest.number;
            let moving = self.book.in_segment(number);
            let states: Vec<Record> = moving.into_iter().flat_map(Book::noted_again).collect();
            // Without room it waits until more is over; TO_COMPACT is kept free so that this is rare.
            match self.write(&states) {
                Err(StoreError::Full { .. }) => return Ok(()),
                written => written?,
            }
        }
    }
}
