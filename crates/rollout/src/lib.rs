//! Distribution of numbered changes from the control machines to every relay.
//!
//! [`topology`] fixes the order of machines and each relay's candidates for an upstream.
#![forbid(unsafe_code)]

pub mod topology;

pub use fleet::{Micros, Peer, SECOND};

/// Subscribers of one machine at the most.
pub mod subscribers {
    /// Leases that one machine grants at a time.
    pub const MOST_SUBSCRIBERS: usize = 24;
}
