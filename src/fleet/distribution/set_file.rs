//! The file that holds a relay's destination set for its next start.
//!
//! | part | bytes |
//! | --- | --- |
//! | signed change that led to the version | length `u32` little-endian, encoded [`SignedChange`] |
//! | set | as in [`destinations::persist`] |
//!
//! The new file is written beside the old one in portions, between which the relay does other work, and then renamed. It is
//! not synced: a file corrupted by a power failure is detected at the next start, and the set is fetched again. A second file
//! holds the newest version that was written, so that an older file in place of the newest one is detected, too.

use std::fs::File;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use destinations::persist::{Decoder, Encoder, FileError, SetChanged};
use destinations::{
    ControlKeys, DecodeError, DestinationSet, MAX_CHANGE_BYTES, SIGNATURE_BYTES, SignedChange, VerifyError,
    Version,
};
use rollout::Node;
use tracing::warn;

use super::super::state_file;
use crate::interface::Micros;

/// The file's name in the state folder.
const NAME: &str = "configuration.set";
/// The name of the file that is being written.
const NAME_UNFINISHED: &str = "configuration.set.unfinished";
/// The name of the file with the newest version that was written.
const NAME_VERSION: &str = "configuration.version";
/// Delay from a change to the next write, in microseconds, so that successive changes are written together.
const CHANGE_WRITE_DELAY: Micros = 500_000;
/// Minimum interval between two files, in microseconds.
const MIN_WRITE_INTERVAL: Micros = 4_000_000;
/// Interval between portions, in microseconds.
const PORTION_INTERVAL: Micros = 5_000;
/// A portion ends with the bucket that reaches this number of bytes.
const PORTION_BYTES: u64 = 64 * 1024;
/// Number of successive files that may be abandoned because the set changed meanwhile. The next one is written as one
/// portion.
const MAX_RESTARTED_WRITES: u32 = 4;
/// Pause after an error, in microseconds.
const ERROR_RETRY_INTERVAL: Micros = 30_000_000;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Why a file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub(super) enum SetFileError {
    /// The disk failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It exceeds its size limit.
    #[error("the file exceeds {0} bytes, which is all that limits.disk_mb leaves for it")]
    NoRoom(u64),
    /// The first part is longer than a signed change.
    #[error("the file does not begin with a signed change")]
    NoChange,
    /// The first part cannot be decoded as a signed change.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The change's signature is not valid for any control key.
    #[error(transparent)]
    Verify(#[from] VerifyError),
    /// The set is damaged.
    #[error(transparent)]
    Set(#[from] FileError),
    /// The signed change belongs to another version of the set.
    #[error("the signed change does not lead to this set")]
    ChangeMismatch,
    /// A newer version was written before.
    #[error("version {got} is older than {newest_written}, which was written before")]
    Older {
        /// The version of the file.
        got: Version,
        /// The newest version that was written.
        newest_written: Version,
    },
}

/// The file, and when it is due.
pub(super) struct SetFile {
    folder: PathBuf,
    path: PathBuf,
    max_bytes: u64,
    due: Micros,
    /// Earliest start of the next file.
    not_before: Micros,
    writing: Option<Writing>,
    restarted_writes: u32,
}

impl SetFile {
    /// The file in a state folder, of at most `max_bytes`.
    pub(super) fn new(folder: &Path, max_bytes: u64) -> Self {
        SetFile {
            folder: folder.into(),
            path: folder.join(NAME),
            max_bytes,
            due: Micros::MAX,
            not_before: Micros::MIN,
            writing: None,
            restarted_writes: 0,
        }
    }

    /// The file's path.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the set and the signed change that led to it. `None` if there is no file.
    ///
    /// # Errors
    /// If the file is damaged, not signed by a control key, too large, or older than the newest one that was written.
    pub(super) fn read(
        &self, keys: &ControlKeys,
    ) -> Result<Option<(DestinationSet, SignedChange)>, SetFileError> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if file.metadata()?.len() > self.max_bytes {
            return Err(SetFileError::NoRoom(self.max_bytes));
        }
        let mut file = BufReader::with_capacity(READ_BYTES, file);
        let signed = read_change(&mut file)?;
        let change = signed.verify(keys)?;
        let set = read_set(&mut file)?;
        if (change.version, change.digest) != (set.version(), set.digest()) {
            return Err(SetFileError::ChangeMismatch);
        }
        let newest_written: Version = state_file::read(&self.folder.join(NAME_VERSION));
        if set.version() < newest_written {
            return Err(SetFileError::Older { got: set.version(), newest_written });
        }
        Ok(Some((set, signed)))
    }

    /// Schedules a write after a change of the set.
    pub(super) fn schedule_write(&mut self, now: Micros) {
        if self.writing.is_none() {
            self.due = self.due.min((now + CHANGE_WRITE_DELAY).max(self.not_before));
        }
    }

    /// When [`SetFile::step`] is due next.
    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Writes the next portion, if it is due. An error is logged, and the old file stays.
    pub(super) fn step(&mut self, now: Micros, node: &Node) {
        if now < self.due {
            return;
        }
        if let Err(error) = self.write_portion(now, node) {
            warn!("{}: {error}; the previous file stays", self.path.display());
            // The unfinished file is useless. If it cannot be removed either, the next one overwrites it.
            let _ = std::fs::remove_file(self.unfinished());
            // Only another set can be smaller, and a change of the set schedules a write anyway.
            let next_attempt = if matches!(error, SetFileError::NoRoom(_)) {
                Micros::MAX
            } else {
                now + ERROR_RETRY_INTERVAL
            };
            (self.writing, self.due) = (None, next_attempt);
        }
    }

    fn unfinished(&self) -> PathBuf {
        self.folder.join(NAME_UNFINISHED)
    }

    fn write_portion(&mut self, now: Micros, node: &Node) -> Result<(), SetFileError> {
        let unfinished = self.unfinished();
        let mut writing = match self.writing.take() {
            Some(writing) => writing,
            None => match Writing::begin(&unfinished, node)? {
                Some(writing) => writing,
                None => {
                    self.due = Micros::MAX;
                    return Ok(());
                }
            },
        };
        let portion = if self.restarted_writes < MAX_RESTARTED_WRITES { PORTION_BYTES } else { u64::MAX };
        match writing.portion(node.set(), portion, self.max_bytes)? {
            Portion::More => {
                self.writing = Some(writing);
                self.due = now + PORTION_INTERVAL;
            }
            Portion::SetChanged => {
                self.restarted_writes += 1;
                self.due = now + CHANGE_WRITE_DELAY;
            }
            Portion::Last => {
                std::fs::rename(&unfinished, &self.path)?;
                state_file::write(&self.folder.join(NAME_VERSION), &node.set().version())?;
                (self.restarted_writes, self.due, self.not_before) =
                    (0, Micros::MAX, now + MIN_WRITE_INTERVAL);
            }
        }
        Ok(())
    }
}

/// The result of writing a portion.
enum Portion {
    /// It is written, and more follow.
    More,
    /// It is written, and was the last one.
    Last,
    /// The set has changed, so the file has to be started again.
    SetChanged,
}

/// A file that is being written.
struct Writing {
    file: File,
    encoder: Encoder,
    written: u64,
}

impl Writing {
    /// Starts a file of the set in force. `None` while no signed change for that version is known.
    fn begin(path: &Path, node: &Node) -> Result<Option<Self>, SetFileError> {
        let Some(newest) = node.newest() else { return Ok(None) };
        let change = newest.encode();
        let header = [&(change.len() as u32).to_le_bytes()[..], &change].concat();
        let mut file = File::create(path)?;
        file.write_all(&header)?;
        Ok(Some(Writing { file, encoder: Encoder::new(node.set()), written: header.len() as u64 }))
    }

    /// Writes a portion of about `max_portion` bytes. The whole file may take `max_bytes`.
    fn portion(
        &mut self, set: &DestinationSet, max_portion: u64, max_bytes: u64,
    ) -> Result<Portion, SetFileError> {
        let mut bytes = Vec::new();
        while (bytes.len() as u64) < max_portion {
            match self.encoder.next_piece(set) {
                Ok(Some(piece)) => bytes.extend_from_slice(&piece),
                Ok(None) => {
                    self.file.write_all(&bytes)?;
                    return Ok(Portion::Last);
                }
                Err(SetChanged) => return Ok(Portion::SetChanged),
            }
            if self.written + bytes.len() as u64 > max_bytes {
                return Err(SetFileError::NoRoom(max_bytes));
            }
        }
        self.written += bytes.len() as u64;
        self.file.write_all(&bytes)?;
        Ok(Portion::More)
    }
}

fn read_change(file: &mut impl Read) -> Result<SignedChange, SetFileError> {
    let mut length = [0; 4];
    file.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > SIGNATURE_BYTES + MAX_CHANGE_BYTES {
        return Err(SetFileError::NoChange);
    }
    let mut bytes = vec![0; length];
    file.read_exact(&mut bytes)?;
    Ok(SignedChange::decode(&bytes)?)
}

fn read_set(file: &mut impl Read) -> Result<DestinationSet, SetFileError> {
    let mut decoder = Decoder::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match file.read(&mut buffer)? {
            0 => return Ok(decoder.finish()?),
            read => decoder.push(buffer.get(..read).unwrap_or_default())?,
        }
    }
}
