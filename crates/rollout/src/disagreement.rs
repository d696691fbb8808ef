//! Machines that place another one elsewhere in the order of all machines than this one does.
//!
//! A machine subscribes only to those that stand before it by its own list of machines. If the upstream's list says
//! otherwise, it refuses: the two were set up by different lists, which an operator has to mend.

use std::collections::BTreeMap;

use fleet::Peer;

/// Two machines whose lists of machines differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Disagreement {
    /// A machine asked to subscribe here, but does not stand behind this one by the list here.
    #[error(
        "machine {0} is refused as a subscriber: it does not stand behind this one in the list of machines, \
         which has to be the same on both"
    )]
    Subscriber(Peer),
    /// A machine to which this one asked to subscribe refused, as this one does not stand behind it by the list there.
    #[error(
        "machine {0} refuses this one as a subscriber: it does not stand behind that one in the list of machines, \
         which has to be the same on both"
    )]
    Upstream(Peer),
}

/// The disagreements since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disagreements {
    counts: BTreeMap<Disagreement, u64>,
    news: Vec<Disagreement>,
}

impl Disagreements {
    /// A subscription was refused for this reason.
    pub fn add(&mut self, found: Disagreement) {
        let count = self.counts.entry(found).or_default();
        *count += 1;
        if *count == 1 {
            self.news.push(found);
        }
    }

    /// How often each occurred.
    pub fn counts(&self) -> &BTreeMap<Disagreement, u64> {
        &self.counts
    }

    /// Those that occurred for the first time since the last call.
    pub fn take_news(&mut self) -> Vec<Disagreement> {
        std::mem::take(&mut self.news)
    }
}
