//! The journal: numbered files of framed records, the write-ahead log of the relay. Owns the files and the
//! room in them. It must never hold more than its limit, nor drop what is not finished.

use std::collections::{HashSet, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use record::model::{MOST_ATTEMPT, MOST_ENTRY};
use tracing::warn;

use super::book::Book;
use super::bytes::Bits;
use super::{Record, Replay, StoreError, decode, encode};
use crate::interface::Micros;

/// Length and checksum before each record.
const FRAME: u64 = 8;
/// A segment that has so many bytes is followed by a new one.
const SEGMENT: u64 = 128 * 1024;
/// Files are counted in whole blocks.
const BLOCK: u64 = 512;
/// Kept free for each message held, so that its attempts, its end and its acknowledgement can be recorded:
/// twelve starts and outcomes, and two more records, each with an id of at most 64 bytes.
pub const TO_END: u64 = 2304;
/// The same where ends are recorded: starts and outcomes then tell where and on what evidence, and the entry
/// itself holds all of them once more.
pub const TO_END_RECORDED: u64 = TO_END + 12 * (256 + 640) + MOST_ENTRY + 12 * MOST_ATTEMPT;
/// Kept free for noting again what is live in the oldest segment: its size, a record over that, and blocks.
const TO_COMPACT: u64 = 2 * SEGMENT;

/// The journal: numbered segments of framed records, written in order and removed from the oldest on, once
/// nothing in them is live. Invariant: the files together, in whole blocks, never exceed `limit`.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    limit: u64,
    /// Kept free for each message held.
    to_end: u64,
    segments: VecDeque<Segment>,
    /// The newest segment's file, once something was written since the start.
    file: Option<File>,
    book: Book,
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
    bytes: u64,
    live: u64,
}

/// How far a journal goes: the number of its newest segment, and the bytes in that. Whoever writes changes it.
pub type Mark = (u64, u64);

/// The numbers of the segments in a folder, from the oldest on.
fn numbers(folder: &Path) -> std::io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("journal-"));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// How far the journal of a folder goes that this process owns and has not opened yet.
///
/// # Errors
/// Where the folder cannot be read.
pub fn mark(folder: &Path) -> std::io::Result<Mark> {
    match numbers(folder)?.last() {
        Some(number) => Ok((*number, std::fs::metadata(path(folder, *number))?.len())),
        None => Ok((0, 0)),
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number}"))
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
    /// Opens the journal of a folder and replays it.
    ///
    /// # Errors
    /// Where the folder cannot be read, or a record is damaged other than by an interrupted last write.
    pub fn open(folder: &Path, room: Room) -> Result<(Self, Replay), StoreError> {
        std::fs::create_dir_all(folder)?;
        let numbers = numbers(folder)?;
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            limit: room.limit,
            to_end: room.to_end,
            segments: VecDeque::new(),
            file: None,
            book: Book::default(),
        };
        for (i, number) in numbers.iter().enumerate() {
            journal.read(*number, i + 1 == numbers.len())?;
        }
        let replay = journal.book.replay();
        journal.reclaim()?;
        Ok((journal, replay))
    }

    fn path(&self, number: u64) -> PathBuf {
        path(&self.folder, number)
    }

    fn read(&mut self, number: u64, last: bool) -> Result<(), StoreError> {
        let path = self.path(number);
        let bytes = std::fs::read(&path)?;
        let mut at = 0;
        self.segments.push_back(Segment { number, bytes: bytes.len() as u64, live: 0 });
        while at < bytes.len() {
            let mut bits = Bits(&bytes[at..]);
            let framed = bits.number().zip(bits.number());
            let payload = framed.and_then(|(len, crc)| bits.take(len as usize).map(|payload| (payload, crc)));
            let whole = payload.filter(|(payload, crc)| crc32fast::hash(payload) == *crc);
            let Some(record) = whole.and_then(|(payload, _)| decode(payload)) else {
                // An interrupted write leaves a part of the last record, and nothing after it.
                if last && (payload.is_none() || bits.0.is_empty()) {
                    warn!("the last record of {} is torn and dropped", path.display());
                    OpenOptions::new().write(true).open(&path)?.set_len(at as u64)?;
                    if let Some(segment) = self.segments.back_mut() {
                        segment.bytes = at as u64;
                    }
                    return Ok(());
                }
                return Err(StoreError::Damaged { file: path.display().to_string(), at: at as u64 });
            };
            let size = whole.map_or(0, |(payload, _)| payload.len() as u64 + FRAME);
            self.note(&record, number, size);
            at += size as usize;
        }
        Ok(())
    }

    fn note(&mut self, record: &Record, number: u64, size: u64) {
        let segments = &mut self.segments;
        self.book.apply(record, number, size, |number, by| shift(segments, number, by));
    }

    /// How far it goes.
    pub fn mark(&self) -> Mark {
        self.segments.back().map_or((0, 0), |segment| (segment.number, segment.bytes))
    }

    /// What the files take on the disk.
    pub fn used(&self) -> u64 {
        self.segments.iter().map(|segment| blocks(segment.bytes)).sum()
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

    /// Writes records, all or none.
    ///
    /// # Errors
    /// Where the limit or the disk does not let it; nothing was written then.
    pub fn append(&mut self, now: Micros, records: &[Record]) -> Result<(), StoreError> {
        self.write(records)?;
        let segments = &mut self.segments;
        self.book.forget_receipts(now, |number, by| shift(segments, number, by));
        self.reclaim()
    }

    fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        let mut sizes = Vec::new();
        for record in records {
            let start = bytes.len();
            bytes.extend_from_slice(&[0; FRAME as usize]);
            encode(record, &mut bytes);
            let payload = &bytes[start + FRAME as usize..];
            let (len, crc) = (payload.len() as u32, crc32fast::hash(payload));
            bytes[start..start + 4].copy_from_slice(&len.to_le_bytes());
            bytes[start + 4..start + 8].copy_from_slice(&crc.to_le_bytes());
            sizes.push((bytes.len() - start) as u64);
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let need = bytes.len() as u64;
        if self.used() + blocks(need) + BLOCK > self.limit {
            return Err(StoreError::Full { limit: self.limit, need });
        }
        let full = self.segments.back().is_some_and(|segment| segment.bytes >= SEGMENT);
        if self.file.is_none() || full {
            let number = self.segments.back().map_or(1, |segment| segment.number + 1);
            let file = OpenOptions::new().create_new(true).append(true).open(self.path(number))?;
            self.file = Some(file);
            self.segments.push_back(Segment { number, bytes: 0, live: 0 });
        }
        let (Some(file), Some(segment)) = (&mut self.file, self.segments.back_mut()) else { return Ok(()) };
        if let Err(error) = file.write_all(&bytes) {
            // A part that was written would make what follows it unreadable.
            file.set_len(segment.bytes)?;
            return Err(error.into());
        }
        segment.bytes += need;
        let number = segment.number;
        for (record, size) in records.iter().zip(sizes) {
            self.note(record, number, size);
        }
        Ok(())
    }

    /// Removes the oldest segments while nothing in them is live; where much of the disk is taken by what is
    /// over, what is live in the oldest one is noted again first.
    fn reclaim(&mut self) -> Result<(), StoreError> {
        loop {
            let Some(oldest) = self.segments.front() else { return Ok(()) };
            if self.segments.len() == 1 && self.file.is_some() {
                return Ok(());
            }
            if oldest.live == 0 {
                std::fs::remove_file(self.path(oldest.number))?;
                self.segments.pop_front();
                continue;
            }
            if self.used() <= self.limit / 2 || self.used() < 2 * self.book.bytes() {
                return Ok(());
            }
            let number = oldest.number;
            let moving = self.book.in_segment(number);
            let states: Vec<Record> = moving.into_iter().flat_map(Book::noted_again).collect();
            // Without room it waits until more is over; TO_COMPACT is kept free so that this is rare.
            if matches!(self.write(&states), Err(StoreError::Full { .. })) {
                return Ok(());
            }
        }
    }
}
