//! Dissemination of membership changes: each is passed on a number of times with the link's own datagrams, so that it
//! reaches all of a fleet within a few rounds (the gossip of SWIM).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Peer;

/// An update is passed on this many times for each power of ten that the number of relays reaches. By then all but a
/// vanishing part of the fleet has it: of `n` receivers of `n * k` random messages some `n * exp(-k)` got none.
const SENDS_PER_DECADE: u32 = 3;

/// The state of a peer, in the order in which reports on one incarnation override each other: a later one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Datagrams of it arrive.
    Alive,
    /// It did not answer a ping, and may refute the suspicion.
    Suspect,
    /// It is declared dead: it did not refute the suspicion in time.
    Gone,
}

/// A change of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The peer.
    pub peer: Peer,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its new state.
    pub state: MemberState,
}

/// An update that waits to be passed on.
#[derive(Clone, Copy, Debug)]
struct Pending {
    update: Update,
    /// How many times it is still to be sent.
    remaining: u32,
}

/// The latest change of each peer that still has to be passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Updates {
    pending: BTreeMap<Peer, Pending>,
}

impl Updates {
    /// Adds an update in a fleet of this many relays; it replaces an earlier one about the same peer.
    pub(crate) fn add(&mut self, update: Update, relays: usize) {
        let remaining = SENDS_PER_DECADE * relays.max(2).ilog10().saturating_add(1);
        self.pending.insert(update.peer, Pending { update, remaining });
    }

    /// Drops the update about a peer.
    pub(crate) fn forget(&mut self, peer: Peer) {
        self.pending.remove(&peer);
    }

    /// Keeps the updates about these peers only.
    pub(crate) fn retain(&mut self, keep: impl Fn(Peer) -> bool) {
        self.pending.retain(|peer, _| keep(*peer));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes up to `max_count` updates for one datagram, those that were sent the fewest times first.
    pub(crate) fn take(&mut self, max_count: usize) -> Vec<Update> {
        let mut order: Vec<(u32, Peer)> =
            self.pending.iter().map(|(peer, pending)| (pending.remaining, *peer)).collect();
        order.sort_unstable_by_key(|(remaining, peer)| (std::cmp::Reverse(*remaining), *peer));
        order.truncate(max_count);
        order.into_iter().filter_map(|(_, peer)| self.send(peer)).collect()
    }

    /// Counts one sending of the update about a peer.
    fn send(&mut self, peer: Peer) -> Option<Update> {
        let pending = self.pending.get_mut(&peer)?;
        let update = pending.update;
        pending.remaining = pending.remaining.saturating_sub(1);
        if pending.remaining == 0 {
            self.pending.remove(&peer);
        }
        Some(update)
    }
}
