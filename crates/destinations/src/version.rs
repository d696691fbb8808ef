//! The version of a destination set.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one state of the set; ordered by epoch, then by number. The default is the version of an empty set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Incremented when the control machines are rebuilt from a backup, which starts a new history of changes.
    pub epoch: u32,
    /// The number of the last change; consecutive within an epoch.
    pub number: u64,
}

impl Version {
    /// The next version in the same epoch. `None` once the numbers are used up.
    pub fn next(self) -> Option<Self> {
        self.number.checked_add(1).map(|number| Self { epoch: self.epoch, number })
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}
