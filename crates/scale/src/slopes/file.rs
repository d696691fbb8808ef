//! The file of slopes: JSON, written once by `scale slopes` and read by the report and by the pages.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::assess::Slope;
use super::axis::Axis;
use super::execute::Run;
use super::machine::Machine;
use super::plan::{Extent, Group};
use super::projection::Projection;
use super::quantity::{Quantity, Subject};

/// Version of the file; a file of another is refused.
pub const VERSION: u32 = 1;

/// The outcome of one `scale slopes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopesFile {
    /// [`VERSION`].
    pub version: u32,
    /// The command that wrote it.
    pub command: String,
    /// Seed of every run.
    pub seed: u64,
    /// The commit that was run, as far as it is known.
    pub commit: String,
    /// How far the plan went.
    pub extent: Extent,
    /// The machine that it ran on.
    pub machine: Machine,
    /// Groups of roles, with the sizes that they were measured at.
    pub groups: Vec<Group>,
    /// All points, also those that were not completed.
    pub runs: Vec<Run>,
    /// One quantity along one axis each.
    pub slopes: Vec<Slope>,
    /// One quantity with all sizes raised each.
    pub projections: Vec<Projection>,
}

/// Why a file of slopes could not be read or written.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file could not be opened or read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file could not be written.
    #[error("{}: cannot be written: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file ends too soon.
    #[error("{}: the file is cut off after the key {key:?}, at line {line}", path.display())]
    Cut {
        /// The file.
        path: PathBuf,
        /// The last key before the end.
        key: String,
        /// Line of the end.
        line: usize,
    },
    /// A key is missing, or its value is not what belongs there, for instance not a number.
    #[error("{}: at the key {key:?}, line {line}: {reason}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The last key before the fault.
        key: String,
        /// Line of the fault.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// The file is of another version.
    #[error("{}: the key \"version\" is {found}, but only {VERSION} can be read", path.display())]
    Version {
        /// The file.
        path: PathBuf,
        /// Version that it states.
        found: String,
    },
    /// A number to be written is infinite or not a number, which JSON cannot hold.
    #[error("{}: at the key {key:?}: not a finite number", path.display())]
    NotFinite {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
    },
}

impl SlopesFile {
    /// Reads a file of slopes.
    ///
    /// # Errors
    /// Fails on a file that cannot be read, is cut, of another version, or has a key with a value out of place.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let text =
            fs::read_to_string(path).map_err(|source| FileError::Read { path: path.into(), source })?;
        Self::parse(&text, path)
    }

    /// Reads the text of a file of slopes; the path is for messages alone.
    ///
    /// # Errors
    /// As [`SlopesFile::read`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, FileError> {
        let located = |error: serde_json::Error| located(text, path, &error);
        let value: serde_json::Value = serde_json::from_str(text).map_err(located)?;
        let version = &value["version"];
        if *version != VERSION {
            return Err(FileError::Version { path: path.into(), found: version.to_string() });
        }
        serde_json::from_str(text).map_err(located)
    }

    /// Writes the file, and the folder that it is in.
    ///
    /// # Errors
    /// Fails where the system refuses, and before writing on a number that is not finite.
    pub fn write(&self, path: &Path) -> Result<(), FileError> {
        let written =
            |result: io::Result<()>| result.map_err(|source| FileError::Write { path: path.into(), source });
        self.check_finite(path)?;
        let mut text = serde_json::to_string_pretty(self)
            .map_err(|error| FileError::Write { path: path.into(), source: error.into() })?;
        text.push('\n');
        if let Some(folder) = path.parent() {
            written(fs::create_dir_all(folder))?;
        }
        written(fs::write(path, text))
    }

    /// The slope of a quantity along an axis.
    pub fn slope(&self, subject: Subject, axis: Axis, quantity: Quantity) -> Option<&Slope> {
        let is_it = |slope: &&Slope| (slope.subject, slope.axis, slope.quantity) == (subject, axis, quantity);
        self.slopes.iter().find(is_it)
    }

    /// The projection of a quantity to the coming size.
    pub fn projection(&self, subject: Subject, quantity: Quantity) -> Option<&Projection> {
        self.projections.iter().find(|found| (found.subject, found.quantity) == (subject, quantity))
    }

    /// Serde writes what is not finite as `null`, which the file would be refused for on reading.
    fn check_finite(&self, path: &Path) -> Result<(), FileError> {
        let finite = |key: String, numbers: &[f64]| {
            let all = numbers.iter().all(|number| number.is_finite());
            if all { Ok(()) } else { Err(FileError::NotFinite { path: path.into(), key }) }
        };
        for slope in &self.slopes {
            let key = |part: &str| format!("{}/{}/{}/{part}", slope.subject, slope.axis, slope.quantity);
            let points: Vec<f64> = slope.points.iter().flat_map(|point| [point.size, point.value]).collect();
            finite(key("points"), &points)?;
            if let Some(check) = &slope.check {
                finite(key("check"), &[check.predicted, check.measured, check.error])?;
            }
            if let Some(target) = &slope.at_target {
                finite(key("at_target"), &[target.predicted])?;
            }
        }
        for projection in &self.projections {
            let key = format!("{}/all/{}", projection.subject, projection.quantity);
            let checked = projection.check.map_or(0.0, |check| check.predicted + check.error);
            finite(key, &[projection.base.unwrap_or(0.0), checked, projection.at_target.predicted])?;
        }
        Ok(())
    }
}

fn located(text: &str, path: &Path, error: &serde_json::Error) -> FileError {
    let (path, line) = (path.to_path_buf(), error.line());
    let key = key_before(text, line, error.column());
    if error.is_eof() {
        return FileError::Cut { path, key, line };
    }
    FileError::Value { path, key, line, reason: error.to_string() }
}

/// The last key of an object that begins before a place in the text; lines and columns count from 1.
fn key_before(text: &str, line: usize, column: usize) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let here = lines.get(line.saturating_sub(1)).map_or("", |here| here.get(..column).unwrap_or(here));
    let before = lines.iter().take(line.saturating_sub(1)).rev();
    std::iter::once(&here).chain(before).find_map(|line| last_key(line)).unwrap_or_default()
}

fn last_key(line: &str) -> Option<String> {
    let (before, _) = line.rsplit_once("\":")?;
    before.rsplit_once('"').map(|(_, key)| key.to_owned())
}
