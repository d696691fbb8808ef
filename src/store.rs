//! The store: what the relay has taken on, so that it outlasts the process. Owns the one record model, its
//! bytes, the replay and the backends. It must never decide what becomes of a message, and a backend must
//! never tell a write done before its bytes are out of the process.

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use bytes::Bytes;

use crate::exchange::Notice;
use crate::interface::Micros;

/// What a store cannot do.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk, or the server behind the store, failed.
    #[error("store: {0}")]
    Io(#[from] std::io::Error),
    /// A record is damaged where no interrupted write explains it.
    #[error("store: {file} is damaged at byte {at}; move it away to start without what it holds")]
    Damaged {
        /// The file, or the table.
        file: String,
        /// Where.
        at: u64,
    },
    /// The database failed.
    #[error("store: {0}")]
    Database(String),
    /// A write would go over the limit on the disk.
    #[error("store: the limit of {limit} bytes leaves no room for {need} more")]
    Full {
        /// The limit.
        limit: u64,
        /// What was to be written.
        need: u64,
    },
}

/// A message as the store holds it. Class and tenant go by name, as their order may change between starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The client's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: i64,
    /// Unix time in microseconds until which it may be delivered.
    pub due: Micros,
    /// The body.
    pub body: Bytes,
    /// Attempts used.
    pub attempts: u32,
    /// An attempt may have run, or is out.
    pub may_have_run: bool,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was taken on; or is noted again, as it now stands.
    Taken(Stored),
    /// An attempt is about to start.
    Started {
        /// The message.
        id: String,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// The message.
        id: String,
        /// Which attempt.
        attempt: u32,
        /// It may have run.
        may_have_run: bool,
    },
    /// The message is over; with the notice that is owed, if one is.
    Ended {
        /// The message.
        id: String,
        /// What the platform is to be told.
        notice: Option<Notice>,
    },
    /// The platform has acknowledged the notice.
    Acknowledged {
        /// The message.
        id: String,
    },
    /// A receipt was given or got.
    Receipt(Receipt),
}

impl Record {
    /// What it concerns, and what it is, in a word.
    fn label(&self) -> (&str, &'static str) {
        match self {
            Record::Taken(stored) => (&stored.id, "taken"),
            Record::Started { id, .. } => (id, "attempt started"),
            Record::Outcome { id, .. } => (id, "outcome"),
            Record::Ended { id, .. } => (id, "ended"),
            Record::Acknowledged { id } => (id, "notice acknowledged"),
            Record::Receipt(receipt) => (&receipt.key, "receipt"),
        }
    }

    /// With this record a message is finished.
    fn finishes(&self) -> bool {
        matches!(self, Record::Ended { notice: None, .. } | Record::Acknowledged { .. })
    }
}

/// A receipt that was given or got, kept so that a duplicate is answered with the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Whom it concerns and what, as one text; a line end in it keeps it apart from ids of messages.
    pub key: String,
    /// When it was made or came.
    pub at: Micros,
    /// It is remembered until then.
    pub until: Micros,
    /// Its bytes.
    pub bytes: Bytes,
}

/// What a start finds: messages that are owed their end, and notices that are owed their acknowledgement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// In the order taken.
    pub messages: Vec<Stored>,
    /// Not acknowledged yet.
    pub notices: Vec<Notice>,
    /// Still remembered.
    pub receipts: Vec<Receipt>,
}

/// State of one message, folded from its records.
#[derive(Clone, Debug)]
struct Live {
    seq: u64,
    message: Option<Stored>,
    notice: Option<Notice>,
    receipt: Option<Receipt>,
    /// An attempt is out.
    open: bool,
    /// Where the record lies from which the state can be rebuilt, and its size there.
    segment: u64,
    size: u64,
}

impl Live {
    fn new(seq: u64, segment: u64, size: u64) -> Self {
        Live { seq, message: None, notice: None, receipt: None, open: false, segment, size }
    }
}

/// All messages that are not finished. The fold of the record model: replay and every backend use it.
#[derive(Debug, Default)]
struct Book {
    live: HashMap<String, Live>,
    seq: u64,
    /// When the first receipt is to be forgotten; none before that.
    forget_at: Option<Micros>,
}

impl Book {
    /// Takes a record that lies in `segment`; the segments whose share it changes are told to `moved`.
    fn apply(&mut self, record: &Record, segment: u64, size: u64, mut moved: impl FnMut(u64, i64)) {
        match record {
            Record::Taken(stored) => {
                self.seq += 1;
                let old = self.live.remove(&stored.id);
                let seq = old.as_ref().map_or(self.seq, |old| old.seq);
                if let Some(old) = old {
                    moved(old.segment, -1);
                }
                let message = Some(stored.clone());
                let live = Live { message, ..Live::new(seq, segment, size) };
                self.live.insert(stored.id.clone(), live);
                moved(segment, 1);
            }
            Record::Started { id, attempt } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.open = true;
                    if let Some(message) = &mut live.message {
                        message.attempts = message.attempts.max(attempt + 1);
                    }
                }
            }
            Record::Outcome { id, may_have_run, .. } => {
                if let Some(live) = self.live.get_mut(id) {
                    live.open = false;
                    if let Some(message) = &mut live.message {
                        message.may_have_run |= may_have_run;
                    }
                }
            }
            Record::Ended { id, notice } => {
                let old = self.live.remove(id);
                if let Some(old) = &old {
                    moved(old.segment, -1);
                }
                if let Some(notice) = notice {
                    self.seq += 1;
                    let seq = old.map_or(self.seq, |old| old.seq);
                    let notice = Some(notice.clone());
                    let live = Live { notice, ..Live::new(seq, segment, size) };
                    self.live.insert(id.clone(), live);
                    moved(segment, 1);
                }
            }
            Record::Acknowledged { id } => {
                if let Some(old) = self.live.remove(id) {
                    moved(old.segment, -1);
                }
            }
            Record::Receipt(receipt) => {
                self.seq += 1;
                self.forget_at = Some(self.forget_at.map_or(receipt.until, |at| at.min(receipt.until)));
                let live = Live { receipt: Some(receipt.clone()), ..Live::new(self.seq, segment, size) };
                if let Some(old) = self.live.insert(receipt.key.clone(), live) {
                    moved(old.segment, -1);
                }
                moved(segment, 1);
            }
        }
    }

    /// Forgets the receipts that are remembered no longer; tells their keys.
    fn forget_receipts(&mut self, now: Micros, mut moved: impl FnMut(u64, i64)) -> Vec<String> {
        let mut forgotten = Vec::new();
        // Every write asks; the receipts are gone through only when one is due.
        if self.forget_at.is_none_or(|at| at > now) {
            return forgotten;
        }
        self.live.retain(|key, live| {
            let keep = live.receipt.as_ref().is_none_or(|receipt| receipt.until > now);
            if !keep {
                moved(live.segment, -1);
                forgotten.push(key.clone());
            }
            keep
        });
        self.forget_at = self.live.values().filter_map(|live| Some(live.receipt.as_ref()?.until)).min();
        forgotten
    }

    /// Messages and notices that are not finished.
    fn unfinished(&self) -> u64 {
        self.live.values().filter(|live| live.receipt.is_none()).count() as u64
    }

    /// The records from which a message's state can be rebuilt while it goes on.
    fn noted_again(live: &Live) -> Vec<Record> {
        match &live.message {
            // An attempt that is out stays one: its outcome may still tell that it never ran.
            Some(message) => {
                let attempt = message.attempts.saturating_sub(1);
                let started = Record::Started { id: message.id.clone(), attempt };
                let taken = Record::Taken(message.clone());
                std::iter::once(taken).chain(live.open.then_some(started)).collect()
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
        let message = live.message.clone()?;
        let may_have_run = message.may_have_run || live.open;
        Some(Record::Taken(Stored { may_have_run, ..message }))
    }

    fn replay(&self) -> Replay {
        let mut all: Vec<&Live> = self.live.values().collect();
        all.sort_by_key(|live| live.seq);
        let mut replay = Replay::default();
        for live in all {
            match Self::state(live) {
                Some(Record::Taken(stored)) => replay.messages.push(stored),
                Some(Record::Ended { notice: Some(notice), .. }) => replay.notices.push(notice),
                Some(Record::Receipt(receipt)) => replay.receipts.push(receipt),
                _ => {}
            }
        }
        replay
    }
}

// ---- bytes ----

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// The bytes of a record, the same in every backend.
pub fn encode(record: &Record, out: &mut Vec<u8>) {
    match record {
        Record::Taken(s) => {
            out.push(b'T');
            put(out, s.id.as_bytes());
            put(out, s.class.as_bytes());
            out.push(u8::from(s.tenant.is_some()));
            put(out, s.tenant.as_deref().unwrap_or_default().as_bytes());
            out.extend_from_slice(&s.destination.to_le_bytes());
            out.extend_from_slice(&s.due.to_le_bytes());
            out.extend_from_slice(&s.attempts.to_le_bytes());
            out.push(u8::from(s.may_have_run));
            put(out, &s.body);
        }
        Record::Started { id, attempt } => {
            out.push(b'S');
            put(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
        }
        Record::Outcome { id, attempt, may_have_run } => {
            out.push(b'O');
            put(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            out.push(u8::from(*may_have_run));
        }
        Record::Ended { id, notice } => {
            out.push(b'E');
            put(out, id.as_bytes());
            out.push(u8::from(notice.is_some()));
            out.push(u8::from(notice.as_ref().is_some_and(|notice| notice.handed_back)));
            let retry = notice.as_ref().and_then(|notice| notice.retry_in_ms);
            out.extend_from_slice(&retry.unwrap_or(u64::MAX).to_le_bytes());
        }
        Record::Acknowledged { id } => {
            out.push(b'A');
            put(out, id.as_bytes());
        }
        Record::Receipt(receipt) => {
            out.push(b'R');
            put(out, receipt.key.as_bytes());
            out.extend_from_slice(&receipt.at.to_le_bytes());
            out.extend_from_slice(&receipt.until.to_le_bytes());
            put(out, &receipt.bytes);
        }
    }
}

struct Bits<'a>(&'a [u8]);

impl<'a> Bits<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn flag(&mut self) -> Option<bool> {
        Some(self.array::<1>()?[0] != 0)
    }

    fn number(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.number()?;
        self.take(n as usize)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
}

/// Reads a record; `None` where the bytes are none.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let mut bits = Bits(bytes);
    Some(match bits.array::<1>()?[0] {
        b'T' => {
            let (id, class) = (bits.text()?, bits.text()?);
            let has_tenant = bits.flag()?;
            let tenant = Some(bits.text()?).filter(|_| has_tenant);
            let destination = i64::from_le_bytes(bits.array()?);
            let due = i64::from_le_bytes(bits.array()?);
            let attempts = bits.number()?;
            let may_have_run = bits.flag()?;
            let body = Bytes::copy_from_slice(bits.bytes()?);
            Record::Taken(Stored { id, class, tenant, destination, due, body, attempts, may_have_run })
        }
        b'S' => Record::Started { id: bits.text()?, attempt: bits.number()? },
        b'O' => Record::Outcome { id: bits.text()?, attempt: bits.number()?, may_have_run: bits.flag()? },
        b'E' => {
            let id = bits.text()?;
            let (owed, handed_back) = (bits.flag()?, bits.flag()?);
            let retry = u64::from_le_bytes(bits.array()?);
            let retry_in_ms = Some(retry).filter(|retry| *retry != u64::MAX);
            let notice = owed.then(|| Notice { id: id.clone(), handed_back, retry_in_ms });
            Record::Ended { id, notice }
        }
        b'A' => Record::Acknowledged { id: bits.text()? },
        b'R' => Record::Receipt(Receipt {
            key: bits.text()?,
            at: i64::from_le_bytes(bits.array()?),
            until: i64::from_le_bytes(bits.array()?),
            bytes: Bytes::copy_from_slice(bits.bytes()?),
        }),
        _ => return None,
    })
}

// ---- the journal file ----

/// Length and checksum before each record.
const FRAME: u64 = 8;
/// A segment that has so many bytes is followed by a new one.
const SEGMENT: u64 = 128 * 1024;
/// Files are counted in whole blocks.
const BLOCK: u64 = 512;
/// Kept free for each message held, so that its attempts, its end and its acknowledgement can be recorded:
/// twelve starts and outcomes, and two more records, each with an id of at most 64 bytes.
pub const TO_END: u64 = 2304;
/// Kept free for noting again what is live in the oldest segment: its size, a record over that, and blocks.
const TO_COMPACT: u64 = 2 * SEGMENT;

/// The journal: numbered segments of framed records, written in order and removed from the oldest on, once
/// nothing in them is live. Invariant: the files together, in whole blocks, never exceed `limit`.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    limit: u64,
    segments: VecDeque<Segment>,
    /// The newest segment's file, once something was written since the start.
    file: Option<File>,
    book: Book,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    bytes: u64,
    live: u64,
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
    pub fn open(folder: &Path, limit: u64) -> Result<(Self, Replay), StoreError> {
        std::fs::create_dir_all(folder)?;
        let mut numbers = Vec::new();
        for entry in std::fs::read_dir(folder)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix("journal-"));
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            limit,
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
        self.folder.join(format!("journal-{number}"))
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
                    eprintln!("tulipfall: the last record of {} is torn and dropped", path.display());
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

    /// What the files take on the disk.
    pub fn used(&self) -> u64 {
        self.segments.iter().map(|segment| blocks(segment.bytes)).sum()
    }

    /// Whether a message with so many bytes can be taken on, with room left to record its end.
    pub fn room(&self, bytes: usize) -> bool {
        let need = bytes as u64;
        self.used() + need + (self.book.unfinished() + 1) * TO_END + TO_COMPACT <= self.limit
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
            let live: u64 = self.book.live.values().map(|live| live.size).sum();
            if self.used() <= self.limit / 2 || self.used() < 2 * live {
                return Ok(());
            }
            let number = oldest.number;
            let mut moving: Vec<&Live> = self.book.live.values().filter(|l| l.segment == number).collect();
            moving.sort_by_key(|live| live.seq);
            let states: Vec<Record> = moving.into_iter().flat_map(Book::noted_again).collect();
            // Without room it waits until more is over; TO_COMPACT is kept free so that this is rare.
            if matches!(self.write(&states), Err(StoreError::Full { .. })) {
                return Ok(());
            }
        }
    }
}

// ---- databases ----

/// The table, in the words that both databases read. Records travel as hexadecimal text.
const TABLE: &str = "CREATE TABLE IF NOT EXISTS tulipfall_records (relay TEXT NOT NULL, seq BIGINT NOT NULL, \
    message TEXT NOT NULL, kind TEXT NOT NULL, at BIGINT NOT NULL, finished INTEGER NOT NULL, \
    record TEXT NOT NULL, PRIMARY KEY (relay, seq)); \
    CREATE INDEX IF NOT EXISTS tulipfall_message ON tulipfall_records (relay, message)";
/// A write to a server that fails is tried so often, each on a new connection.
const TRIES: usize = 3;

enum Engine {
    Sqlite(rusqlite::Connection),
    Postgres { address: String, client: Option<tokio_postgres::Client> },
}

/// The store of record in a database: one row a record, the finished ones kept for a while as a history.
pub struct Database {
    engine: Engine,
    relay: String,
    /// Bytes that a database file may take, halved, as its rollback journal may be as large.
    limit: Option<u64>,
    keep: Micros,
    prune_at: Micros,
    /// Receipts whose rows may go.
    forgotten: Vec<String>,
    book: Book,
    seq: u64,
}

/// A text as a literal of SQL. Guards the statements against what clients choose as ids.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\0', "").replace('\'', "''"))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(pair).collect()).flatten()
}

impl From<rusqlite::Error> for StoreError {
    fn from(error: rusqlite::Error) -> Self {
        StoreError::Database(error.to_string())
    }
}

impl From<tokio_postgres::Error> for StoreError {
    fn from(error: tokio_postgres::Error) -> Self {
        let detail = error.as_db_error().map(|detail| format!(": {}", detail.message()));
        StoreError::Database(format!("{error}{}", detail.unwrap_or_default()))
    }
}

impl Engine {
    async fn client(&mut self) -> Result<(), StoreError> {
        let Engine::Postgres { address, client } = self else { return Ok(()) };
        if client.as_ref().is_none_or(|client| client.is_closed()) {
            let (new, connection) = tokio_postgres::connect(address, tokio_postgres::NoTls).await?;
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    eprintln!("tulipfall: store: {error}");
                }
            });
            // Literals are written by the standard's rules.
            new.batch_execute("SET standard_conforming_strings = on").await?;
            *client = Some(new);
        }
        Ok(())
    }

    async fn execute(&mut self, sql: &str) -> Result<(), StoreError> {
        self.client().await?;
        match self {
            Engine::Sqlite(connection) => Ok(connection.execute_batch(sql)?),
            Engine::Postgres { client: Some(client), .. } => Ok(client.batch_execute(sql).await?),
            Engine::Postgres { .. } => Err(StoreError::Database("not connected".into())),
        }
    }

    /// Rows of sequence numbers and records.
    async fn rows(&mut self, sql: &str) -> Result<Vec<(String, String)>, StoreError> {
        self.client().await?;
        match self {
            Engine::Sqlite(connection) => {
                let mut statement = connection.prepare(sql)?;
                let rows =
                    statement.query_map([], |row| Ok((row.get::<_, i64>(0)?.to_string(), row.get(1)?)))?;
                Ok(rows.collect::<Result<_, _>>()?)
            }
            Engine::Postgres { client: Some(client), .. } => {
                let mut rows = Vec::new();
                for message in client.simple_query(sql).await? {
                    if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
                        let text = |i| row.try_get(i).map(|text| text.unwrap_or_default().to_string());
                        rows.push((text(0)?, text(1)?));
                    }
                }
                Ok(rows)
            }
            Engine::Postgres { .. } => Err(StoreError::Database("not connected".into())),
        }
    }
}

impl Database {
    /// Opens an SQLite file, for one process alone, and replays it.
    ///
    /// # Errors
    /// Where the file cannot be used or a record is damaged.
    pub async fn sqlite(
        file: &Path, relay: &str, limit: u64, keep: Micros, now: Micros,
    ) -> Result<(Self, Replay), StoreError> {
        let connection = rusqlite::Connection::open(file)?;
        // Guards against two processes sending the same messages.
        connection.execute_batch("PRAGMA locking_mode = EXCLUSIVE; PRAGMA synchronous = NORMAL;")?;
        Self::open(Engine::Sqlite(connection), relay, Some(limit / 2), keep, now).await
    }

    /// Connects to a PostgreSQL server and replays what this relay's rows hold.
    ///
    /// # Errors
    /// Where the server cannot be used or a record is damaged.
    pub async fn postgres(
        address: &str, relay: &str, keep: Micros, now: Micros,
    ) -> Result<(Self, Replay), StoreError> {
        let engine = Engine::Postgres { address: address.into(), client: None };
        Self::open(engine, relay, None, keep, now).await
    }

    async fn open(
        engine: Engine, relay: &str, limit: Option<u64>, keep: Micros, now: Micros,
    ) -> Result<(Self, Replay), StoreError> {
        let (book, relay) = (Book::default(), quote(relay));
        let mut database =
            Database { engine, relay, limit, keep, prune_at: now, forgotten: vec![], book, seq: 0 };
        database.engine.execute(TABLE).await?;
        let relay = &database.relay;
        let unfinished = format!(
            "SELECT seq, record FROM tulipfall_records WHERE relay = {relay} AND finished = 0 ORDER BY seq"
        );
        let last =
            format!("SELECT COALESCE(MAX(seq), 0), 'last' FROM tulipfall_records WHERE relay = {relay}");
        for (seq, text) in database.engine.rows(&unfinished).await? {
            let record = unhex(&text).and_then(|bytes| decode(&bytes));
            let at = seq.parse().unwrap_or_default();
            let record = record.ok_or(StoreError::Damaged { file: "tulipfall_records".into(), at })?;
            database.book.apply(&record, 0, 0, |_, _| ());
        }
        database.forgotten = database.book.forget_receipts(now, |_, _| ());
        let last = database.engine.rows(&last).await?;
        database.seq = last.first().and_then(|(seq, _)| seq.parse().ok()).unwrap_or(0);
        let replay = database.book.replay();
        // A file that an earlier process left full has to yield before anything can be taken on.
        let mut before = u64::MAX;
        while database.limit.is_some_and(|limit| database.used() > limit / 2) && database.used() < before {
            before = database.used();
            database.append(now, &[]).await?;
        }
        Ok((database, replay))
    }

    /// Whether a message with so many bytes can be taken on.
    pub fn room(&self, bytes: usize) -> bool {
        // Hexadecimal text takes twice the room.
        let need = 2 * bytes as u64 + (self.book.unfinished() + 1) * 4 * TO_END;
        self.limit.is_none_or(|limit| self.used() + need <= limit)
    }

    /// Bytes of a database file that hold something.
    fn used(&self) -> u64 {
        let Engine::Sqlite(connection) = &self.engine else { return 0 };
        let count = |name| connection.pragma_query_value(None, name, |row| row.get::<_, i64>(0)).unwrap_or(0);
        u64::try_from((count("page_count") - count("freelist_count")) * count("page_size")).unwrap_or(0)
    }

    /// Writes records, all or none.
    ///
    /// # Errors
    /// Where the database does not take them.
    pub async fn append(&mut self, now: Micros, records: &[Record]) -> Result<(), StoreError> {
        use std::fmt::Write as _;
        let relay = &self.relay;
        let mut sql = String::from("BEGIN;");
        for (seq, record) in (self.seq + 1..).zip(records) {
            let mut bytes = Vec::new();
            encode(record, &mut bytes);
            let (message, kind) = record.label();
            let message = quote(message);
            // A write whose answer was lost may come again: the same row is then left as it is.
            let _ = write!(
                sql,
                "INSERT INTO tulipfall_records VALUES ({relay}, {seq}, {message}, '{kind}', {now}, 0, '{}') \
                 ON CONFLICT (relay, seq) DO NOTHING;",
                hex(&bytes)
            );
            if record.finishes() {
                let _ = write!(
                    sql,
                    "UPDATE tulipfall_records SET finished = 1 WHERE relay = {relay} AND message = {message};"
                );
            }
        }
        if now >= self.prune_at {
            let before = now - self.keep;
            let _ = write!(
                sql,
                "DELETE FROM tulipfall_records WHERE relay = {relay} AND at < {before} \
                 AND finished = 1;"
            );
            self.prune_at = now + self.keep / 16;
        }
        for key in &self.forgotten {
            let _ = write!(
                sql,
                "DELETE FROM tulipfall_records WHERE relay = {relay} AND message = {};",
                quote(key)
            );
        }
        // The history yields to what is to come: guards against refusing all for the sake of what is over.
        if self.limit.is_some_and(|limit| self.used() > limit / 2) {
            let _ = write!(
                sql,
                "DELETE FROM tulipfall_records WHERE relay = {relay} AND finished = 1 AND seq < \
                 (SELECT (MIN(seq) + MAX(seq)) / 2 FROM tulipfall_records \
                 WHERE relay = {relay} AND finished = 1);"
            );
        }
        sql.push_str("COMMIT;");
        let mut tries = 0;
        while let Err(error) = self.engine.execute(&sql).await {
            tries += 1;
            match &mut self.engine {
                Engine::Postgres { client, .. } if tries < TRIES => *client = None,
                _ => return Err(error),
            }
        }
        self.seq += records.len() as u64;
        records.iter().for_each(|record| self.book.apply(record, 0, 0, |_, _| ()));
        self.forgotten = self.book.forget_receipts(now, |_, _| ());
        Ok(())
    }
}

/// The store of record.
pub enum Store {
    /// The journal file.
    Journal(Journal),
    /// A database.
    Database(Box<Database>),
}

impl Store {
    /// Whether a message with so many bytes can be taken on.
    pub fn room(&self, bytes: usize) -> bool {
        match self {
            Store::Journal(journal) => journal.room(bytes),
            Store::Database(database) => database.room(bytes),
        }
    }

    /// Writes records, all or none.
    ///
    /// # Errors
    /// Where nothing could be written.
    pub async fn append(&mut self, now: Micros, records: &[Record]) -> Result<(), StoreError> {
        match self {
            Store::Journal(journal) => journal.append(now, records),
            Store::Database(database) => database.append(now, records).await,
        }
    }
}
