//! Plots of a file of slopes: for each subject and axis one SVG image, with a panel for each quantity.

pub mod plot;

use std::fs;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::slopes::assess::Slope;
use crate::slopes::axis::Axis;
use crate::slopes::file::SlopesFile;
use crate::slopes::quantity::Subject;

/// Why a plot could not be written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The folder could not be made.
    #[error("{}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The image could not be drawn or written.
    #[error("{}: {reason}", path.display())]
    Plot {
        /// The image.
        path: PathBuf,
        /// What the plotting library says.
        reason: String,
    },
}

/// Writes the images `SUBJECT-AXIS.svg` to a folder, which is made if need be, and tells their paths.
///
/// # Errors
/// Fails where the system refuses to write, with the path.
pub fn write_plots(file: &SlopesFile, folder: &Path) -> Result<Vec<PathBuf>, ReportError> {
    fs::create_dir_all(folder).map_err(|source| ReportError::Folder { path: folder.into(), source })?;
    let mut paths = Vec::new();
    for subject in Subject::ALL {
        for axis in Axis::ALL {
            let of_both = |slope: &&Slope| slope.subject == subject && slope.axis == axis;
            let slopes: Vec<&Slope> = file.slopes.iter().filter(of_both).collect();
            if slopes.is_empty() {
                continue;
            }
            let path = folder.join(format!("{subject}-{axis}.svg"));
            plot::draw(&path, &format!("{subject} by {}", axis.unit()), &slopes)
                .map_err(|error| ReportError::Plot { path: path.clone(), reason: error.to_string() })?;
            paths.push(path);
        }
    }
    Ok(paths)
}
