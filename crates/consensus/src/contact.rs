//! When this node last heard the others of its term: the ground for saying how old its view of the log may be.

use std::collections::BTreeMap;

use crate::Micros;
use crate::config::NodeId;

/// When each other node was last heard in the current term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    term: u64,
    heard: BTreeMap<NodeId, Micros>,
}

impl Contact {
    /// A message of that node and term was taken.
    pub(crate) fn heard(&mut self, now_us: Micros, from: NodeId, term: u64) {
        if term > self.term {
            self.term = term;
            self.heard.clear();
        }
        if term == self.term {
            self.heard.insert(from, now_us);
        }
    }

    /// Since when that node was not heard in the term.
    pub(crate) fn silence_of(&self, now_us: Micros, term: u64, node: NodeId) -> Option<Micros> {
        let heard = self.heard.get(&node).filter(|_| term == self.term)?;
        Some((now_us - heard).max(0))
    }

    /// Since when fewer than so many others were heard in the term.
    pub(crate) fn silence_of_any(&self, now_us: Micros, term: u64, others: usize) -> Option<Micros> {
        if others == 0 {
            return Some(0);
        }
        let mut heard: Vec<Micros> = self.heard.values().copied().filter(|_| term == self.term).collect();
        heard.sort_unstable_by(|one, other| other.cmp(one));
        heard.get(others - 1).map(|heard| (now_us - heard).max(0))
    }
}
