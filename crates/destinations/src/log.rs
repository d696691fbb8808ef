//! The latest signed changes, kept for relays that missed some.

use std::collections::VecDeque;

use thiserror::Error;

use crate::{SignedChange, Version};

/// How much a log keeps; what comes first ends it.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// The most changes.
    pub changes: usize,
    /// The most bytes of encoded changes.
    pub bytes: usize,
}

/// The latest changes of one epoch, without a gap.
#[derive(Debug)]
pub struct ChangeLog {
    limits: LogLimits,
    base: Version,
    changes: VecDeque<SignedChange>,
    bytes: usize,
}

impl ChangeLog {
    /// A log that will follow a set of this version.
    pub fn new(base: Version, limits: LogLimits) -> Self {
        Self { limits, base, changes: VecDeque::new(), bytes: 0 }
    }

    /// Forgets all changes, as after a snapshot was installed at this version.
    pub fn reset(&mut self, base: Version) {
        *self = Self::new(base, self.limits);
    }

    /// The version after the last change.
    pub fn version(&self) -> Version {
        Version { number: self.base.number.saturating_add(self.changes.len() as u64), ..self.base }
    }

    /// The number of changes kept.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether no change is kept.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Keeps a change that was verified and applied, and lets go of the oldest ones beyond the limits. The first
    /// change of a newer epoch lets go of the whole older one.
    ///
    /// # Errors
    /// The version does not follow the last one.
    pub fn push(&mut self, version: Version, change: SignedChange) -> Result<(), LogError> {
        let have = self.version();
        let number = version.number.checked_sub(1).ok_or(LogError { have, got: version })?;
        if version.epoch > have.epoch {
            self.reset(Version { number, ..version });
        } else if have.next() != Some(version) {
            return Err(LogError { have, got: version });
        }
        self.bytes += change.encoded_len();
        self.changes.push_back(change);
        self.compact();
        Ok(())
    }

    /// The changes that lead from this version to [`ChangeLog::version`]; none if they are not all here, so that
    /// a snapshot is needed.
    pub fn since(&self, version: Version) -> Option<impl Iterator<Item = &SignedChange>> {
        if version.epoch != self.base.epoch {
            return None;
        }
        let skipped = usize::try_from(version.number.checked_sub(self.base.number)?).ok()?;
        (skipped <= self.changes.len()).then(|| self.changes.iter().skip(skipped))
    }

    fn compact(&mut self) {
        while self.changes.len() > self.limits.changes || self.bytes > self.limits.bytes {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.bytes -= oldest.encoded_len();
            self.base.number += 1;
        }
    }
}

/// A change does not follow the last one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("change {got} does not follow {have}")]
pub struct LogError {
    /// The version after the last change.
    pub have: Version,
    /// The version of the change.
    pub got: Version,
}
