//! The version of a destination set.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Names one state of the set; ordered by epoch, then by number. The default means "nothing held yet".
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// One history of the control cluster; raised when its machines are rebuilt from a backup.
    pub epoch: u32,
    /// The number of the change that led here; consecutive within an epoch.
    pub number: u64,
}

impl Version {
    /// The version that follows in the same epoch; none once the numbers are used up.
    pub fn next(self) -> Option<Self> {
        self.number.checked_add(1).map(|number| Self { epoch: self.epoch, number })
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}
