//! Sharing of a destination's rate limit by a fleet of relays. For each destination one relay is the limit coordinator, chosen by
//! rendezvous hashing; a relay with messages for that destination sends requests to it. The coordinator grants calls at the
//! destination's rate, those of highest priority first. A relay that hears no coordinator falls back to its local pacing.
//!
//! Where each relay owns a share of the limit (see the crate escrow), a coordinator grants no more than the sum of the shares
//! lent to it, and a relay without a coordinator uses its own share. Otherwise any reachable coordinator grants the whole limit.
//!
//! The crate is one channel of the peer link (see the crate fleet) and does no I/O: its inputs are frames, requests, reports and
//! the time, its outputs are frames and grants. Invariants: no grant is issued while a server-requested wait of the destination
//! lasts, and a relay waits for an unreachable coordinator for a bounded time only.

#![forbid(unsafe_code)]

pub mod coordinator;
pub mod held_grants;
pub mod item;
mod limit;
pub mod node;
pub mod v2;

pub use fleet::{Micros, Peer, SECOND};

/// How relays share a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// The coordinator grants the whole limit. In a network partition, two coordinators grant it twice.
    #[default]
    Whole,
    /// Each relay owns a share and lends it to the coordinator that it hears.
    Shares,
}

/// Number of messages that wait for a grant at each priority (in thousandths), highest first.
pub type WaitingByPriority = Vec<(u16, u8)>;

/// Returns the number of waiting messages of all priorities.
pub fn total_waiting(waiting: &WaitingByPriority) -> u32 {
    waiting.iter().map(|(_, count)| u32::from(*count)).sum()
}

/// Returns the priority level of a priority in thousandths. All priorities above the highest level map to that level.
pub fn priority_level(priority: u64) -> u16 {
    u16::try_from(priority).unwrap_or(u16::MAX)
}

/// Counts messages by priority level. `priorities` must be in descending order.
pub fn waiting_by_priority(priorities: impl Iterator<Item = u64>) -> WaitingByPriority {
    let mut waiting = WaitingByPriority::new();
    for priority in priorities {
        let priority = priority_level(priority);
        match waiting.last_mut().filter(|(last, count)| *last == priority && *count < u8::MAX) {
            Some((_, count)) => *count += 1,
            None => waiting.push((priority, 1)),
        }
    }
    waiting
}

/// Removes one message of the highest priority level.
pub fn take_highest(waiting: &mut WaitingByPriority) {
    if let Some((_, count)) = waiting.first_mut() {
        *count = count.saturating_sub(1);
        if *count == 0 {
            waiting.remove(0);
        }
    }
}
