//! Maintenance coordination: relays are taken out of service one after the other, in an order that they agree on by
//! majority votes.
//!
//! An operator sends a drain request for a relay to any relay, say for a restart, and all relays learn of it. The relay
//! concerned asks the voters of the fleet for a maintenance slot. With the votes of a majority it is in maintenance, until
//! it reports that it serves. Whatever is partitioned, delayed, lost, frozen, killed or restarted, no more relays are in
//! maintenance at once than there are slots, and never two of a zone:
//!
//! - A voter counts a relay that it voted for as in maintenance, in that slot, until the relay reports that it serves, in
//!   answer to a ping sent after the vote. Until then it votes for no other relay in that slot or of that zone.
//! - A relay that reports that it serves has given up all votes for it. If two relays held conflicting slots, a voter
//!   would have voted for both, as any two majorities have a voter in common; but it would first have had to receive the
//!   first relay's report that it serves.
//! - A voter that restarts has lost its votes. It votes for no relay until the rounds that it voted in are over, and until
//!   it knows the state of each relay from that relay or from enough other voters that remember their votes.
//!
//! Clocks need not agree. A relay that cannot be reached counts as in maintenance and leaves fewer slots; the minority
//! side of a partition has no majority and grants no slot.
//!
//! This is a channel of the peer link (see the crate `fleet`), without I/O: frames, drain requests and the time go in,
//! frames and actions come out. Invariant: a relay is told to drain only with votes of a majority in its present round.
//!
//! Dependencies point one way: `item` ← `requests`, `voter` ← `node`.
#![forbid(unsafe_code)]

pub mod item;
pub mod node;
pub mod requests;
pub mod voter;

pub use fleet::{Micros, Peer, SECOND};

/// Fencing token of a maintenance slot: the relay's incarnation and the vote round. No two slots of a relay have the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct FencingToken {
    /// The relay's incarnation, which grows from one start to the next.
    pub incarnation: u32,
    /// The vote round.
    pub round: u32,
}

/// A time by a voter's own monotonic clock, in milliseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct VoterTime {
    /// The voter's incarnation.
    pub incarnation: u32,
    /// Milliseconds since that start.
    pub ms: u32,
}

/// How many relays may be in maintenance at once, and the zone of each relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MaintenancePolicy {
    /// Number of relays in the fleet.
    pub relays: Peer,
    /// Maximum number of relays in maintenance at once.
    pub max_unavailable: u8,
    /// The zone of each relay, by its number; only one relay of a zone may be in maintenance. A relay that is not listed has
    /// a zone of its own.
    pub zones: Vec<u16>,
}

/// In a fleet of up to this many relays all vote; in a larger one [`VOTER_COUNT`] of them do.
const MAX_RELAYS_ALL_VOTING: Peer = 24;
/// Number of voters in a fleet in which not all relays vote.
const VOTER_COUNT: Peer = 15;

impl MaintenancePolicy {
    /// Whether two relays are of the same zone.
    pub fn same_zone(&self, one: Peer, other: Peer) -> bool {
        let zone = |peer: Peer| self.zones.get(usize::from(peer));
        one == other || zone(one).is_some() && zone(one) == zone(other)
    }

    /// The voters: all relays of a small fleet; in a large one a part of them, spread evenly over the relay numbers and so
    /// over zones.
    pub fn voters(&self) -> impl Iterator<Item = Peer> {
        let (all, many) = (u32::from(self.relays), self.relays > MAX_RELAYS_ALL_VOTING);
        let count = if many { u32::from(VOTER_COUNT) } else { all };
        (0..count).map(move |n| (n * all / count.max(1)) as Peer)
    }

    /// Whether a relay is a voter.
    pub fn is_voter(&self, peer: Peer) -> bool {
        self.voters().any(|voter| voter == peer)
    }

    /// Number of votes that grant a slot. Any two majorities have a voter in common.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}
