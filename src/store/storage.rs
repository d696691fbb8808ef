//! Storage of the journal: numbered segments that are created, appended to, truncated and removed.
//!
//! [`Folder`] stores segments as files. Tests use an implementation with fault injection.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{Result, Write};
use std::path::{Path, PathBuf};

/// Prefix of the name of a segment's file; the segment's number follows.
const PREFIX: &str = "journal-";

/// The segments of one journal. Only the segment that was created last is written.
pub trait Storage: Debug + Send {
    /// The name of a segment, for log lines and errors.
    fn name(&self, number: u64) -> String;

    /// The numbers of all segments, in ascending order.
    ///
    /// # Errors
    /// If the disk fails.
    fn segments(&mut self) -> Result<Vec<u64>>;

    /// All bytes of a segment.
    ///
    /// # Errors
    /// If the disk fails.
    fn read(&mut self, number: u64) -> Result<Vec<u8>>;

    /// Creates a segment, which is the one to append to from now on.
    ///
    /// # Errors
    /// If the disk fails, or with [`std::io::ErrorKind::AlreadyExists`] if the segment exists.
    fn create(&mut self, number: u64) -> Result<()>;

    /// Appends to the segment that was created last.
    ///
    /// # Errors
    /// If the disk fails. A part of the bytes may have been written then.
    fn append(&mut self, bytes: &[u8]) -> Result<()>;

    /// Truncates the segment that was created last to `length` bytes.
    ///
    /// # Errors
    /// If the disk fails.
    fn truncate(&mut self, length: u64) -> Result<()>;

    /// Removes a segment.
    ///
    /// # Errors
    /// If the disk fails.
    fn remove(&mut self, number: u64) -> Result<()>;
}

/// Segments as files in a folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    file: Option<File>,
}

impl Folder {
    /// Opens the segments of a folder, which is created if it is missing.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn open(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Folder { path: path.to_path_buf(), file: None })
    }

    fn file(&self, number: u64) -> PathBuf {
        self.path.join(format!("{PREFIX}{number}"))
    }
}

/// The numbers of the segments in a folder, in ascending order.
///
/// # Errors
/// If the disk fails.
pub(super) fn numbers(folder: &Path) -> Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// The number of the newest segment in a folder, and the length of its file in bytes.
///
/// # Errors
/// If the disk fails.
pub(super) fn newest(folder: &Path) -> Result<Option<(u64, u64)>> {
    let Some(number) = numbers(folder)?.last().copied() else { return Ok(None) };
    let length = std::fs::metadata(folder.join(format!("{PREFIX}{number}")))?.len();
    Ok(Some((number, length)))
}

impl Storage for Folder {
    fn name(&self, number: u64) -> String {
        self.file(number).display().to_string()
    }

    fn segments(&mut self) -> Result<Vec<u64>> {
        numbers(&self.path)
    }

    fn read(&mut self, number: u64) -> Result<Vec<u8>> {
        std::fs::read(self.file(number))
    }

    fn create(&mut self, number: u64) -> Result<()> {
        let file = OpenOptions::new().create_new(true).append(true).open(self.file(number))?;
        self.file = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let file = self.file.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        let file = self.file.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
        file.set_len(length)
    }

    fn remove(&mut self, number: u64) -> Result<()> {
        std::fs::remove_file(self.file(number))
    }
}
