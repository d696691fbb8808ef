//! The file in which a control machine keeps the records of its consensus.
//!
//! ```text
//!     each record: its length (u32), CRC-32 of the length (u32), CRC-32 of the record (u32), the record in postcard
//! ```
//!
//! Numbers are little-endian. Records are appended and synced before anything is sent that depends on them; with a
//! snapshot the file is written anew beside the old one and takes its place by a rename. A power failure may leave the
//! last, unsynced write cut short or as zeros at the end of the file; nothing was promised on it, and it is cut off. Any
//! other damage stops the start, as a machine that forgot its promises could break the agreement. The length has a
//! checksum of its own, because a damaged one would make a whole record pass for one that was cut.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use consensus::{Persisted, Record, RecordError};
use thiserror::Error;
use transient::RetryableError;

/// The file of records.
const LOG: &str = "consensus.log";
/// The file while it is written anew.
const NEW_LOG: &str = "consensus.log.new";
/// Locked while a process uses the directory.
const LOCK: &str = "lock";
/// Bytes before a record.
const HEAD_BYTES: usize = 12;

/// Why the disk cannot be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Another process uses the directory.
    #[error("{}: another process uses this directory", .0.display())]
    InUse(PathBuf),
    /// A record is damaged.
    #[error("{}: the record at byte {offset} is damaged", .path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the record begins.
        offset: usize,
    },
    /// The records do not make a state.
    #[error("{}: {source}", .path.display())]
    Records {
        /// The file.
        path: PathBuf,
        /// Why.
        source: RecordError,
    },
}

impl RetryableError for DiskError {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self {
            DiskError::Io { source, .. } => source.is_retryable(elapsed),
            DiskError::InUse(_) | DiskError::Damaged { .. } | DiskError::Records { .. } => false,
        }
    }
}

/// The open file of records.
#[derive(Debug)]
pub struct LogFile {
    directory: PathBuf,
    file: File,
    /// The last write failed: a part of it may be in the file, or on its way to the disk.
    uncertain: bool,
    _lock: File,
}

impl LogFile {
    /// Opens the file in a directory, or makes both, and reads what it holds.
    ///
    /// # Errors
    /// The directory cannot be used, another process uses it, or the file is damaged.
    pub fn open(directory: &Path) -> Result<(Self, Persisted), DiskError> {
        std::fs::create_dir_all(directory).map_err(at(directory))?;
        let lock = lock(directory)?;
        let path = directory.join(LOG);
        let mut options = OpenOptions::new();
        let file = options.read(true).append(true).create(true).open(&path).map_err(at(&path))?;
        sync_directory(directory)?;
        let bytes = std::fs::read(&path).map_err(at(&path))?;
        let (records, sound) = decode(&path, &bytes)?;
        if sound < bytes.len() {
            file.set_len(sound as u64).and_then(|()| file.sync_all()).map_err(at(&path))?;
        }
        let persisted =
            Persisted::from_records(records).map_err(|source| DiskError::Records { path, source })?;
        Ok((LogFile { directory: directory.to_owned(), file, uncertain: false, _lock: lock }, persisted))
    }

    /// Writes records so that they are on the disk when it returns. `persisted` is the state with them.
    ///
    /// # Errors
    /// They may not be on the disk; nothing may be sent that rests on them. Trying again writes the whole file anew, as after
    /// a failed sync nobody knows which bytes are on the disk.
    pub fn write(&mut self, records: &[Record], persisted: &Persisted) -> Result<(), DiskError> {
        if records.is_empty() && !self.uncertain {
            return Ok(());
        }
        let replaces = |record: &Record| matches!(record, Record::Snapshot(_) | Record::Installed(_));
        let anew = self.uncertain || records.iter().any(replaces);
        self.uncertain = true;
        if anew {
            self.rewrite(&persisted.records())?;
        } else {
            self.append(records)?;
        }
        self.uncertain = false;
        Ok(())
    }

    fn append(&mut self, records: &[Record]) -> Result<(), DiskError> {
        let path = self.directory.join(LOG);
        let written = self.file.write_all(&encode(records));
        written.and_then(|()| self.file.sync_data()).map_err(at(&path))
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), DiskError> {
        let (path, new) = (self.directory.join(LOG), self.directory.join(NEW_LOG));
        std::fs::remove_file(&new).or_else(ignore_missing).map_err(at(&new))?;
        let mut options = OpenOptions::new();
        let mut file = options.append(true).create_new(true).open(&new).map_err(at(&new))?;
        file.write_all(&encode(records)).and_then(|()| file.sync_all()).map_err(at(&new))?;
        std::fs::rename(&new, &path).map_err(at(&path))?;
        sync_directory(&self.directory)?;
        self.file = file;
        Ok(())
    }
}

fn lock(directory: &Path) -> Result<File, DiskError> {
    let path = directory.join(LOCK);
    let mut options = OpenOptions::new();
    let file = options.create(true).truncate(false).write(true).open(&path).map_err(at(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::InUse(directory.to_owned())),
        Err(TryLockError::Error(source)) => Err(DiskError::Io { path, source }),
    }
}

/// Makes names in the directory durable.
fn sync_directory(directory: &Path) -> Result<(), DiskError> {
    File::open(directory).and_then(|directory| directory.sync_all()).map_err(at(directory))
}

fn ignore_missing(error: io::Error) -> io::Result<()> {
    if error.kind() == io::ErrorKind::NotFound { Ok(()) } else { Err(error) }
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> DiskError {
    let path = path.to_owned();
    |source| DiskError::Io { path, source }
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        // postcard fails here only if memory does.
        let record = postcard::to_allocvec(record).unwrap_or_default();
        let length = (record.len() as u32).to_le_bytes();
        bytes.extend(length);
        bytes.extend(crc32fast::hash(&length).to_le_bytes());
        bytes.extend(crc32fast::hash(&record).to_le_bytes());
        bytes.extend(record);
    }
    bytes
}

/// The records of a file, and how many of its bytes they take.
fn decode(path: &Path, bytes: &[u8]) -> Result<(Vec<Record>, usize), DiskError> {
    let (mut records, mut offset) = (Vec::new(), 0);
    while let Some(rest) = bytes.get(offset..).filter(|rest| !rest.is_empty()) {
        match decode_one(rest) {
            Some((record, length)) => {
                records.push(record);
                offset += length;
            }
            None if is_unfinished(rest) => break,
            None => return Err(DiskError::Damaged { path: path.to_owned(), offset }),
        }
    }
    Ok((records, offset))
}

fn decode_one(bytes: &[u8]) -> Option<(Record, usize)> {
    let (length, checksum) = head(bytes)?;
    let record = bytes.get(HEAD_BYTES..HEAD_BYTES + length)?;
    if crc32fast::hash(record) != checksum {
        return None;
    }
    let (record, rest) = postcard::take_from_bytes(record).ok()?;
    rest.is_empty().then_some((record, HEAD_BYTES + length))
}

/// Whether what is left can be a write that a power failure cut short.
fn is_unfinished(rest: &[u8]) -> bool {
    let cut = match head(rest) {
        Some((length, _)) => rest.len() < HEAD_BYTES + length,
        None => rest.len() < HEAD_BYTES,
    };
    cut || rest.iter().all(|byte| *byte == 0)
}

/// The length and the checksum of a record, if the length is sound.
fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (length_checksum, rest) = rest.split_first_chunk()?;
    let checksum = rest.first_chunk()?;
    let sound = crc32fast::hash(length) == u32::from_le_bytes(*length_checksum);
    sound.then(|| (u32::from_le_bytes(*length) as usize, u32::from_le_bytes(*checksum)))
}
