//! A log of the latest signed changes, for relays that missed some.

use std::collections::VecDeque;

use thiserror::Error;

use crate::{SignedChange, Version};

/// Limits of a log; the one that is reached first applies. The last change is always kept.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Maximum number of changes.
    pub changes: usize,
    /// Maximum total length of the encoded changes, in bytes.
    pub bytes: usize,
}

/// The latest changes of one epoch, without gaps.
#[derive(Debug)]
pub struct ChangeLog {
    limits: LogLimits,
    base: Version,
    changes: VecDeque<SignedChange>,
    bytes: usize,
}

impl ChangeLog {
    /// Creates an empty log for a set of this version.
    pub fn new(base: Version, limits: LogLimits) -> Self {
        Self { limits, base, changes: VecDeque::new(), bytes: 0 }
    }

    /// Replaces all changes by this one, as after the installation of a snapshot that it authenticated.
    pub fn reset(&mut self, version: Version, change: SignedChange) {
        *self = Self::new(Version { number: version.number.saturating_sub(1), ..version }, self.limits);
        self.append(change);
    }

    /// The last change, which authenticates a snapshot of [`ChangeLog::version`].
    pub fn last(&self) -> Option<&SignedChange> {
        self.changes.back()
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

    /// Appends a change that was verified and applied, and drops the oldest ones beyond the limits, but never the last
    /// one. The first change of a newer epoch drops all changes of the older one.
    ///
    /// # Errors
    /// The version does not follow the last one.
    pub fn push(&mut self, version: Version, change: SignedChange) -> Result<(), LogError> {
        let have = self.version();
        if version.epoch > have.epoch && version.number > 0 {
            self.reset(version, change);
            return Ok(());
        }
        if have.next() != Some(version) {
            return Err(LogError { have, got: version });
        }
        self.append(change);
        Ok(())
    }

    /// The changes that lead from this version to [`ChangeLog::version`]. `None` if they are not all in the log, so that a
    /// snapshot is needed.
    pub fn since(&self, version: Version) -> Option<impl Iterator<Item = &SignedChange>> {
        if version.epoch != self.base.epoch {
            return None;
        }
        let skipped = usize::try_from(version.number.checked_sub(self.base.number)?).ok()?;
        (skipped <= self.changes.len()).then(|| self.changes.iter().skip(skipped))
    }

    fn append(&mut self, change: SignedChange) {
        self.bytes += change.encoded_len();
        self.changes.push_back(change);
        while self.exceeds_limits() && self.changes.len() > 1 {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.bytes -= oldest.encoded_len();
            self.base.number += 1;
        }
    }

    fn exceeds_limits(&self) -> bool {
        self.changes.len() > self.limits.changes || self.bytes > self.limits.bytes
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
