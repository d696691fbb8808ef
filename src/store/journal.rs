//! The journal: numbered segments of framed records, the write-ahead log of the relay.
//!
//! The files never exceed the limit, and nothing unfinished is dropped. A failed write leaves the journal unchanged: its bytes
//! are truncated or, if that fails too, stay after an end that the next segment declares.

use std::collections::{HashSet, VecDeque};
use std::io::ErrorKind;
use std::path::Path;

use record::model::{MOST_ATTEMPT, MOST_ENTRY};
use tracing::{info, warn};

use super::frames::{self, BATCH_HEADER_BYTES, SegmentEnd, Stop};
use super::index::Index;
use super::storage::{Folder, Storage, newest};
use super::{Record, Replay, StoreError};
use crate::interface::Micros;

/// Size from which a segment is followed by a new one, in bytes.
const SEGMENT_BYTES: u64 = 128 * 1024;
/// Size of a disk block, in bytes. Files are counted in whole blocks.
const BLOCK_BYTES: u64 = 512;
/// Bytes reserved for each held message, so that its attempts, its end and its acknowledgement can be written: twelve starts
/// and outcomes, and two more records, each with an id of at most 64 bytes, and each possibly in a batch of its own.
pub const RESERVED_BYTES_PER_MESSAGE: u64 = 2304 + 26 * BATCH_HEADER_BYTES;
/// Bytes reserved for each held message if ends are recorded in a database: starts and outcomes then include the endpoint
/// and the evidence, and the entry contains all of them again.
pub const RESERVED_BYTES_PER_RECORDED_MESSAGE: u64 =
    RESERVED_BYTES_PER_MESSAGE + 12 * (256 + 640) + MOST_ENTRY + 12 * MOST_ATTEMPT;
/// Bytes reserved for compaction, which writes the live records of the oldest segment again: the segment's size, one record
/// beyond it, and rounding to blocks.
const COMPACTION_RESERVE_BYTES: u64 = 2 * SEGMENT_BYTES;
/// Maximum number of successive segments that may end with a part of a failed write.
const MAX_ABANDONED_ENDS: usize = 4;

/// The journal: numbered segments of framed records. They are written in order, and removed from the oldest on once they hold
/// no live records. Invariant: the total size of the files, in whole blocks, never exceeds `limit`.
#[derive(Debug)]
pub struct Journal {
    storage: Box<dyn Storage>,
    limit: u64,
    /// Bytes reserved for each held message.
    reserved_per_message: u64,
    segments: VecDeque<Segment>,
    /// The state of the newest segment.
    tail: Tail,
    /// Ends of segments before the ends of their files that no header on the disk declares yet.
    abandoned: Vec<SegmentEnd>,
    /// Whether the last attempt to remove old segments failed.
    reclaim_failed: bool,
    index: Index,
}

/// The state of the newest segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    /// It is an earlier process's: the next write creates a new segment.
    Closed,
    /// It ends with the last complete batch.
    Clean,
    /// A part of a failed write may follow the last complete batch.
    Dirty,
}

/// Size limits of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalLimits {
    /// Maximum total size of the files, in bytes.
    pub limit: u64,
    /// Bytes reserved for each held message: [`RESERVED_BYTES_PER_MESSAGE`] or [`RESERVED_BYTES_PER_RECORDED_MESSAGE`].
    pub reserved_per_message: u64,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    /// Length of the complete batches, in bytes.
    bytes: u64,
    /// Maximum number of bytes of a failed write after them.
    failed_write_bytes: u64,
    live_records: u64,
}

impl Segment {
    /// Maximum length of its file, in bytes.
    fn file_bytes(&self) -> u64 {
        self.bytes + self.failed_write_bytes
    }
}

/// The end of a journal: the number of its newest segment, and the length of its file in bytes. Each write changes it.
pub type JournalPosition = (u64, u64);

/// The position of a journal that this process owns and has not opened yet.
///
/// # Errors
/// If the folder cannot be read.
pub fn journal_position(folder: &Path) -> std::io::Result<JournalPosition> {
    Ok(newest(folder)?.unwrap_or_default())
}

fn adjust_live_count(segments: &mut VecDeque<Segment>, number: u64, by: i64) {
    if let Some(segment) = segments.iter_mut().find(|segment| segment.number == number) {
        segment.live_records = segment.live_records.saturating_add_signed(by);
    }
}

fn round_up_to_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

impl Journal {
    /// Opens the journal of a folder and replays it. Nothing is written.
    ///
    /// # Errors
    /// If the folder cannot be read, or a record is corrupted other than by an interrupted write.
    pub fn open(folder: &Path, room: JournalLimits) -> Result<(Self, Replay), StoreError> {
        Self::replay_from(Box::new(Folder::open(folder)?), room)
    }

    /// Opens a journal on any storage and replays it.
    ///
    /// # Errors
    /// If the storage cannot be read, or a record is corrupted other than by an interrupted write.
    pub fn replay_from(
        mut storage: Box<dyn Storage>, room: JournalLimits,
    ) -> Result<(Self, Replay), StoreError> {
        let mut read = Vec::new();
        for number in storage.segments()? {
            read.push((number, frames::Segment::read(&storage.read(number)?)));
        }
        let mut journal = Journal {
            storage,
            limit: room.limit,
            reserved_per_message: room.reserved_per_message,
            segments: VecDeque::new(),
            tail: Tail::Closed,
            abandoned: Vec::new(),
            reclaim_failed: false,
            index: Index::default(),
        };
        let ends = journal.segment_ends(&read)?;
        for ((number, segment), end) in read.into_iter().zip(ends) {
            journal.apply_segment(number, segment, end);
        }
        let replay = journal.index.replay();
        journal.reclaim();
        Ok((journal, replay))
    }

    /// The end of each segment. A torn segment has to be the last one with records, or its end has to be declared by the
    /// next one with records.
    fn segment_ends(&mut self, read: &[(u64, frames::Segment)]) -> Result<Vec<u64>, StoreError> {
        let mut ends = Vec::new();
        for (i, (number, segment)) in read.iter().enumerate() {
            let next = read[i + 1..].iter().map(|(_, later)| later).find(|later| later.valid_bytes > 0);
            let declared = next.and_then(|next| next.abandoned.iter().find(|(n, _)| n == number));
            let torn = segment.stop == Some(Stop::Torn);
            match (declared, next) {
                (Some((_, end)), _) if segment.valid_bytes >= *end => ends.push(*end),
                (None, _) if segment.stop.is_none() => ends.push(segment.valid_bytes),
                (None, None) if torn => {
                    warn!("{} ends with a torn write, which is dropped", self.storage.name(*number));
                    self.abandoned.push((*number, segment.valid_bytes));
                    ends.push(segment.valid_bytes);
                }
                _ => {
                    return Err(StoreError::Damaged {
                        file: self.storage.name(*number),
                        at: segment.valid_bytes,
                    });
                }
            }
        }
        Ok(ends)
    }

    /// Applies the records of a segment up to its end.
    fn apply_segment(&mut self, number: u64, segment: frames::Segment, end: u64) {
        let failed_write_bytes = segment.length.saturating_sub(end);
        self.segments.push_back(Segment { number, bytes: end, failed_write_bytes, live_records: 0 });
        for (record, size, at) in &segment.records {
            if *at < end {
                self.apply(record, number, *size);
            }
        }
    }

    fn apply(&mut self, record: &Record, number: u64, size: u64) {
        let segments = &mut self.segments;
        self.index.apply(record, number, size, |number, by| adjust_live_count(segments, number, by));
    }

    /// The journal's end.
    pub fn position(&self) -> JournalPosition {
        self.segments.back().map_or((0, 0), |segment| (segment.number, segment.file_bytes()))
    }

    /// Total size of the files on the disk, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| round_up_to_blocks(segment.file_bytes())).sum()
    }

    /// Whether a message of this size in bytes can be accepted, with space left for its end.
    pub fn has_room(&self, bytes: usize) -> bool {
        let need = bytes as u64;
        self.used_bytes()
            + need
            + (self.index.unfinished() + 1) * self.reserved_per_message
            + COMPACTION_RESERVE_BYTES
            <= self.limit
    }

    /// Ids of messages and keys of receipts and entries.
    pub fn ids(&self) -> HashSet<String> {
        self.index.ids()
    }

    /// The state that is restored at a start.
    pub fn replay(&self) -> Replay {
        self.index.replay()
    }

    /// Bytes reserved for each held message.
    pub fn reserved_per_message(&self) -> u64 {
        self.reserved_per_message
    }

    /// Total size of the entries that are not known to be in the database, in bytes.
    pub fn entry_bytes(&self) -> u64 {
        self.index.entry_bytes()
    }

    /// Writes records atomically. A failure to remove old segments is no error; it is retried with the next write.
    ///
    /// # Errors
    /// If the limit would be exceeded or the disk fails. Nothing was written then, and the write may be retried.
    pub fn append(&mut self, now: Micros, records: &[Record]) -> Result<(), StoreError> {
        if let Err(error) = self.write(records) {
            self.reclaim();
            return Err(error);
        }
        let segments = &mut self.segments;
        self.index.expire_receipts(now, |number, by| adjust_live_count(segments, number, by));
        self.reclaim();
        Ok(())
    }

    fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        let frames::Encoded { mut bytes, sizes } = frames::encode_batch(records);
        let need = bytes.len() as u64;
        if self.used_bytes() + round_up_to_blocks(need) + BLOCK_BYTES > self.limit {
            return Err(StoreError::Full { limit: self.limit, need });
        }
        self.make_writable()?;
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        if segment.bytes == 0 && !self.abandoned.is_empty() {
            bytes.splice(0..0, frames::encode_abandoned(&self.abandoned));
        }
        let written = bytes.len() as u64;
        if let Err(error) = self.storage.append(&bytes) {
            segment.failed_write_bytes = written;
            self.tail = Tail::Dirty;
            // If this fails, the next write truncates the bytes or abandons the segment.
            let _ = self.truncate_tail();
            return Err(error.into());
        }
        segment.bytes += written;
        self.abandoned.clear();
        let number = segment.number;
        for (record, size) in records.iter().zip(sizes) {
            self.apply(record, number, size);
        }
        Ok(())
    }

    /// Truncates the bytes of a failed write.
    fn truncate_tail(&mut self) -> std::io::Result<()> {
        if let Some(segment) = self.segments.back_mut() {
            self.storage.truncate(segment.bytes)?;
            segment.failed_write_bytes = 0;
        }
        self.tail = Tail::Clean;
        Ok(())
    }

    /// Makes the newest segment ready for an append, or creates a new one.
    fn make_writable(&mut self) -> Result<(), StoreError> {
        if self.tail == Tail::Dirty
            && let Err(error) = self.truncate_tail()
        {
            // Each abandoned end takes space, so their number is limited.
            if self.abandoned.len() >= MAX_ABANDONED_ENDS {
                return Err(error.into());
            }
            let left = self.segments.back().map(|segment| (segment.number, segment.bytes));
            self.create_segment()?;
            self.abandoned.extend(left);
            return Ok(());
        }
        let full = self.segments.back().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES);
        if self.tail == Tail::Closed || full {
            self.create_segment()?;
        }
        Ok(())
    }

    fn create_segment(&mut self) -> Result<(), StoreError> {
        let number = self.segments.back().map_or(1, |segment| segment.number + 1);
        self.storage.create(number).map_err(|error| match error.kind() {
            ErrorKind::AlreadyExists => StoreError::Superseded { file: self.storage.name(number) },
            _ => error.into(),
        })?;
        self.segments.push_back(Segment { number, bytes: 0, failed_write_bytes: 0, live_records: 0 });
        self.tail = Tail::Clean;
        Ok(())
    }

    /// Removes old segments where possible. The first failure and the recovery are logged.
    fn reclaim(&mut self) {
        let freed = self.try_reclaim();
        match &freed {
            Err(error) if !self.reclaim_failed => {
                warn!("old segments of the journal stay for now: {error}")
            }
            Ok(()) if self.reclaim_failed => info!("old segments of the journal can be removed again"),
            _ => {}
        }
        self.reclaim_failed = freed.is_err();
    }

    /// Removes the oldest segments that hold no live records. If finished records take up much of the disk, the live records of
    /// the oldest segment are first written again.
    fn try_reclaim(&mut self) -> Result<(), StoreError> {
        loop {
            let Some(oldest) = self.segments.front() else { return Ok(()) };
            if self.segments.len() == 1 && self.tail != Tail::Closed {
                return Ok(());
            }
            if oldest.live_records == 0 {
                let number = oldest.number;
                match self.storage.remove(number) {
                    Err(error) if error.kind() != ErrorKind::NotFound => return Err(error.into()),
                    _ => {}
                }
                self.segments.pop_front();
                self.abandoned.retain(|(abandoned, _)| *abandoned != number);
                continue;
            }
            if self.used_bytes() <= self.limit / 2 || self.used_bytes() < 2 * self.index.bytes() {
                return Ok(());
            }
            let number = oldest.number;
            let moving = self.index.in_segment(number);
            let states: Vec<Record> = moving.into_iter().flat_map(Index::rewrite_records).collect();
            // Without space, compaction waits until more records are finished; COMPACTION_RESERVE_BYTES makes this rare.
            match self.write(&states) {
                Err(StoreError::Full { .. }) => return Ok(()),
                written => written?,
            }
        }
    }
}
