//! What must hold on every machine after every step, and how long changes take until they are in force.

use std::collections::BTreeMap;

use destinations::{DestinationSet, Digest, Version};
use hdrhistogram::Histogram;

use crate::measurement::Delays;
use crate::time::Micros;

/// Significant digits of delays that are kept.
const DIGITS: u8 = 3;
/// Longer delays than an hour count as an hour.
const LONGEST_US: u64 = 3_600_000_000;

/// Delays of one kind.
#[derive(Debug)]
pub(super) struct DelayHistogram(Histogram<u64>);

impl Default for DelayHistogram {
    fn default() -> Self {
        DelayHistogram(Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("constant bounds"))
    }
}

impl DelayHistogram {
    pub(super) fn record(&mut self, delay: Micros) {
        self.0.saturating_record(u64::try_from(delay).unwrap_or(0).clamp(1, LONGEST_US));
    }

    pub(super) fn delays(&self) -> Delays {
        let at = |quantile| self.0.value_at_quantile(quantile);
        let max_us = if self.0.is_empty() { 0 } else { self.0.max() };
        Delays { count: self.0.len(), p50_us: at(0.5), p99_us: at(0.99), p999_us: at(0.999), max_us }
    }
}

/// A change that was proposed.
#[derive(Clone, Copy, Debug)]
struct Proposed {
    at: Micros,
    digest: Digest,
}

/// What is known of the published versions.
#[derive(Debug)]
pub(super) struct Check {
    base: (Version, Digest),
    published: BTreeMap<Version, Proposed>,
    pub(super) in_force: DelayHistogram,
    pub(super) not_connected: u64,
    pub(super) mixed: u64,
    pub(super) went_back: u64,
}

impl Check {
    /// Everything starts from this set.
    pub(super) fn new(base: &DestinationSet) -> Self {
        Check {
            base: (base.version(), base.digest()),
            published: BTreeMap::new(),
            in_force: DelayHistogram::default(),
            not_connected: 0,
            mixed: 0,
            went_back: 0,
        }
    }

    /// A change was committed that had been proposed at that moment; the first control machine that applied it has this.
    pub(super) fn committed(&mut self, version: Version, digest: Digest, proposed: Micros) {
        self.published.entry(version).or_insert(Proposed { at: proposed, digest });
    }

    /// The newest committed version.
    pub(super) fn newest(&self) -> Version {
        self.published.last_key_value().map_or(self.base.0, |(version, _)| *version)
    }

    /// How many changes were committed.
    pub(super) fn changes(&self) -> u64 {
        self.published.len() as u64
    }

    /// Whether the set of a machine that held `before` is a published one, and not an older one.
    pub(super) fn look(&mut self, before: Version, set: &DestinationSet) {
        let version = set.version();
        if version == Version::default() {
            return; // It holds nothing yet.
        }
        self.went_back += u64::from(version < before);
        let published = self.published.get(&version).map(|proposed| proposed.digest);
        let digest = published.or((version == self.base.0).then_some(self.base.1));
        self.mixed += u64::from(digest != Some(set.digest()));
    }

    /// A relay went from one version to another; `connected` tells whether it was connected since a moment.
    pub(super) fn advanced(
        &mut self, now: Micros, (before, after): (Version, Version), connected: impl Fn(Micros) -> bool,
    ) {
        let newer =
            self.published.range((std::ops::Bound::Excluded(before), std::ops::Bound::Included(after)));
        for proposed in newer.map(|(_, proposed)| *proposed) {
            if connected(proposed.at) {
                self.in_force.record(now - proposed.at);
            } else {
                self.not_connected += 1;
            }
        }
    }

    /// Changes newer than `version` since whose proposal a relay was connected.
    pub(super) fn missing(&self, version: Version, connected: impl Fn(Micros) -> bool) -> u64 {
        let newer = self.published.range((std::ops::Bound::Excluded(version), std::ops::Bound::Unbounded));
        newer.filter(|(_, proposed)| connected(proposed.at)).count() as u64
    }

    /// Forgets what was counted, as at the end of the warm-up.
    pub(super) fn forget(&mut self) {
        self.in_force = DelayHistogram::default();
        self.not_connected = 0;
    }
}
