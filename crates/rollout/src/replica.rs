//! The set that is in force on one machine, the log of the changes that led to it, and the gate that every change and
//! snapshot passes: nothing is applied, kept or forwarded that was not verified.

use std::collections::BTreeMap;

use destinations::{
    Applied, ApplyError, Change, ChangeLog, ControlKeys, DestinationSet, LogLimits, Manifest, SignedChange,
    SnapshotInstall, Version,
};

use crate::error::RolloutError;

/// Verified changes kept that came before the one which has to precede them. Pushes overtake each other by a few; beyond
/// that the changes are asked for again.
const MOST_EARLY: u64 = 16;

/// The state of one machine.
#[derive(Debug)]
pub struct Replica {
    keys: ControlKeys,
    set: DestinationSet,
    log: ChangeLog,
    /// Verified changes whose predecessor has not come.
    early: BTreeMap<Version, (Change, SignedChange)>,
}

impl Replica {
    /// A machine that holds `set`, and the signed change that led to it if it has it.
    pub fn new(
        keys: ControlKeys, set: DestinationSet, newest: Option<SignedChange>, limits: LogLimits,
    ) -> Self {
        let mut log = ChangeLog::new(set.version(), limits);
        if let Some(signed) = newest.filter(|signed| vouches(signed, &keys, &set)) {
            log.reset(set.version(), signed);
        }
        Replica { keys, set, log, early: BTreeMap::new() }
    }

    /// The set that is in force.
    pub fn set(&self) -> &DestinationSet {
        &self.set
    }

    /// The version that is in force.
    pub fn version(&self) -> Version {
        self.set.version()
    }

    /// The signed change that led to the set's version, if it is here.
    pub fn newest(&self) -> Option<&SignedChange> {
        self.log.last()
    }

    /// The changes that lead from `version` to the one in force; none if they are not all kept.
    pub fn since(&self, version: Version) -> Option<impl Iterator<Item = &SignedChange>> {
        self.log.since(version)
    }

    /// Whether a change to that version is worth verifying: it is newer, and was not verified before.
    pub fn lacks(&self, version: Version) -> bool {
        version > self.version() && !self.early.contains_key(&version)
    }

    /// Verifies a change.
    ///
    /// # Errors
    /// If no control key signed it, or it is no change.
    pub fn verify_any(&self, signed: &SignedChange) -> Result<Change, RolloutError> {
        Ok(signed.verify(&self.keys)?)
    }

    /// Verifies a change that is said to lead to the version `named`.
    ///
    /// # Errors
    /// If no control key signed it, it is no change, or leads to another version.
    pub fn verify(&self, named: Version, signed: &SignedChange) -> Result<Change, RolloutError> {
        let change = self.verify_any(signed)?;
        if change.version != named {
            return Err(RolloutError::Mislabelled { named, got: change.version });
        }
        Ok(change)
    }

    /// Applies a verified change.
    ///
    /// # Errors
    /// If it is not the next, or does not fit; the state is as it was. One that is early is kept, if it is near.
    pub fn apply(&mut self, change: Change, signed: SignedChange) -> Result<Applied, RolloutError> {
        match self.set.apply(&change) {
            Ok(applied) => {
                // The log follows the set step by step; were it ever to differ, it would begin anew.
                if self.log.push(change.version, signed.clone()).is_err() {
                    self.log.reset(change.version, signed);
                }
                self.early.retain(|version, _| *version > applied.version);
                Ok(applied)
            }
            Err(why) => {
                if matches!(why, ApplyError::Gap { .. }) {
                    self.keep_early(change, signed);
                }
                Err(why.into())
            }
        }
    }

    /// The kept change that is now the next, if there is one.
    pub fn take_early(&mut self) -> Option<(Change, SignedChange)> {
        self.early.remove(&self.version().next()?)
    }

    /// Begins the installation of a snapshot that `signed` vouches for.
    ///
    /// # Errors
    /// If the change is not sound, does not vouch for the manifest, or the snapshot is not newer.
    pub fn begin(&self, manifest: Manifest, signed: &SignedChange) -> Result<SnapshotInstall, RolloutError> {
        let change = signed.verify(&self.keys)?;
        Ok(SnapshotInstall::begin(&self.set, manifest, &change)?)
    }

    /// Swaps in a snapshot of which all parts have come.
    ///
    /// # Errors
    /// If the set moved meanwhile; the state is as it was.
    pub fn install(
        &mut self, mut install: SnapshotInstall, signed: SignedChange,
    ) -> Result<Applied, RolloutError> {
        let applied = install.finish(&mut self.set)?;
        self.log.reset(applied.version, signed);
        self.early.retain(|version, _| *version > applied.version);
        Ok(applied)
    }

    fn keep_early(&mut self, change: Change, signed: SignedChange) {
        let distance = change.version.number.saturating_sub(self.version().number);
        if distance <= MOST_EARLY {
            self.early.insert(change.version, (change, signed));
        }
    }
}

/// Whether a change is signed by control and leads to this very set.
fn vouches(signed: &SignedChange, keys: &ControlKeys, set: &DestinationSet) -> bool {
    signed.verify(keys).is_ok_and(|change| (change.version, change.digest) == (set.version(), set.digest()))
}
