//! The file in which a relay keeps the destination set for its next start.
//!
//! | part | bytes |
//! | --- | --- |
//! | signed change that led to the version | length `u32` little-endian, encoded [`SignedChange`] |
//! | set | as in [`destinations::persist`] |
//!
//! The file is written beside the old one in portions, between which the relay does other work, and then renamed. It is
//! not synced: what a power cut spoils is found out at the next start, and fetched again. A second file names the newest
//! version that was kept, so that an older file put in the place of the newest one is found out, too.

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

use super::super::kept;
use crate::interface::Micros;

/// The file's name in the state folder.
const NAME: &str = "configuration.set";
/// The name of the file that is being written.
const NAME_UNFINISHED: &str = "configuration.set.unfinished";
/// The name of the file with the newest version that was kept.
const NAME_VERSION: &str = "configuration.version";
/// A change is kept so soon after it is in force, in microseconds, so that changes in a row are kept together.
const SOON: Micros = 500_000;
/// The least time from one file to the next, in microseconds.
const EVERY: Micros = 4_000_000;
/// The time from one portion to the next, in microseconds.
const BETWEEN_PORTIONS: Micros = 5_000;
/// A portion ends with the bucket that reaches so many bytes.
const PORTION_BYTES: u64 = 64 * 1024;
/// After so many files in a row that were given up because the set changed meanwhile, one is written at a stretch.
const MOST_GIVEN_UP: u32 = 4;
/// How long it waits after an error, in microseconds.
const AFTER_ERROR: Micros = 30_000_000;
/// Bytes that are read at once.
const READ_BYTES: usize = 64 * 1024;

/// Why a file cannot be used, or not be written.
#[derive(Debug, thiserror::Error)]
pub(super) enum SetFileError {
    /// The disk failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It would take more of the disk than it may, or takes more.
    #[error("more than {0} bytes, which is all that limits.disk_mb leaves for it")]
    NoRoom(u64),
    /// The part with the signed change is longer than one.
    #[error("it does not begin with a signed change")]
    NoChange,
    /// The bytes are no signed change.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// No control key signed the change.
    #[error(transparent)]
    Verify(#[from] VerifyError),
    /// The set is damaged.
    #[error(transparent)]
    Set(#[from] FileError),
    /// The signed change led to another set.
    #[error("the signed change does not lead to this set")]
    NotVouched,
    /// A newer one was kept.
    #[error("version {got} is older than {kept}, which was kept before")]
    Older {
        /// The version of the file.
        got: Version,
        /// The newest version that was kept.
        kept: Version,
    },
}

/// The file, and when it is written next.
pub(super) struct SetFile {
    folder: PathBuf,
    path: PathBuf,
    room: u64,
    due: Micros,
    /// Not before this the next file is begun.
    begin_from: Micros,
    writing: Option<Writing>,
    given_up: u32,
}

impl SetFile {
    /// The file of a state folder, of at most so many bytes.
    pub(super) fn new(folder: &Path, room: u64) -> Self {
        SetFile {
            folder: folder.into(),
            path: folder.join(NAME),
            room,
            due: Micros::MAX,
            begin_from: Micros::MIN,
            writing: None,
            given_up: 0,
        }
    }

    /// Where it is.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// The set that was kept and the signed change that vouches for it; none where there is no file.
    ///
    /// # Errors
    /// If the file is damaged, not signed by a control key, too large or older than the newest one that was kept.
    pub(super) fn read(
        &self, keys: &ControlKeys,
    ) -> Result<Option<(DestinationSet, SignedChange)>, SetFileError> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if file.metadata()?.len() > self.room {
            return Err(SetFileError::NoRoom(self.room));
        }
        let mut file = BufReader::with_capacity(READ_BYTES, file);
        let signed = read_change(&mut file)?;
        let change = signed.verify(keys)?;
        let set = read_set(&mut file)?;
        if (change.version, change.digest) != (set.version(), set.digest()) {
            return Err(SetFileError::NotVouched);
        }
        let kept: Version = kept::read(&self.folder.join(NAME_VERSION));
        if set.version() < kept {
            return Err(SetFileError::Older { got: set.version(), kept });
        }
        Ok(Some((set, signed)))
    }

    /// The set has changed: the file is written soon.
    pub(super) fn changed(&mut self, now: Micros) {
        if self.writing.is_none() {
            self.due = self.due.min((now + SOON).max(self.begin_from));
        }
    }

    /// When [`SetFile::step`] has something to do next.
    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Writes the next portion, if it is due. An error is logged, and the old file stays.
    pub(super) fn step(&mut self, now: Micros, node: &Node) {
        if now < self.due {
            return;
        }
        if let Err(error) = self.write_portion(now, node) {
            warn!("{}: {error}; the one before stays", self.path.display());
            // Its bytes are of no more use; where it cannot be removed either, the next one is written over it.
            let _ = std::fs::remove_file(self.unfinished());
            // More room comes with another set alone, and with that the file is due anyway.
            let again =
                if matches!(error, SetFileError::NoRoom(_)) { Micros::MAX } else { now + AFTER_ERROR };
            (self.writing, self.due) = (None, again);
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
        let portion = if self.given_up < MOST_GIVEN_UP { PORTION_BYTES } else { u64::MAX };
        match writing.portion(node.set(), portion, self.room)? {
            Portion::More => {
                self.writing = Some(writing);
                self.due = now + BETWEEN_PORTIONS;
            }
            Portion::GivenUp => {
                self.given_up += 1;
                self.due = now + SOON;
            }
            Portion::Last => {
                std::fs::rename(&unfinished, &self.path)?;
                kept::write(&self.folder.join(NAME_VERSION), &node.set().version())?;
                (self.given_up, self.due, self.begin_from) = (0, Micros::MAX, now + EVERY);
            }
        }
        Ok(())
    }
}

/// What became of a portion.
enum Portion {
    /// It is written, and more are to come.
    More,
    /// It is written, and was the last one.
    Last,
    /// The set has changed, so that the file is to be begun anew.
    GivenUp,
}

/// A file that is being written.
struct Writing {
    file: File,
    encoder: Encoder,
    written: u64,
}

impl Writing {
    /// Begins a file of the set that is in force; none while no signed change vouches for it.
    fn begin(path: &Path, node: &Node) -> Result<Option<Self>, SetFileError> {
        let Some(newest) = node.newest() else { return Ok(None) };
        let change = newest.encode();
        let head = [&(change.len() as u32).to_le_bytes()[..], &change].concat();
        let mut file = File::create(path)?;
        file.write_all(&head)?;
        Ok(Some(Writing { file, encoder: Encoder::new(node.set()), written: head.len() as u64 }))
    }

    /// Writes some `most` bytes. The whole file is bounded by `room`.
    fn portion(&mut self, set: &DestinationSet, most: u64, room: u64) -> Result<Portion, SetFileError> {
        let mut bytes = Vec::new();
        while (bytes.len() as u64) < most {
            match self.encoder.next_piece(set) {
                Ok(Some(piece)) => bytes.extend_from_slice(&piece),
                Ok(None) => {
                    self.file.write_all(&bytes)?;
                    return Ok(Portion::Last);
                }
                Err(SetChanged) => return Ok(Portion::GivenUp),
            }
            if self.written + bytes.len() as u64 > room {
                return Err(SetFileError::NoRoom(room));
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
