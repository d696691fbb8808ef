//! What a node is told of itself and of the cluster, and how the election timeouts follow from it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Micros;

/// Voters of a cluster at the most.
const MAX_VOTERS: usize = 15;

/// A node of the cluster, counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// The configuration of one node. All but `id` must be the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// This node.
    pub id: NodeId,
    /// All nodes that vote, this one among them. The set does not change while the cluster lives.
    pub voters: Vec<NodeId>,
    /// The length of a tick in microseconds; raft counts its timeouts in ticks.
    pub tick_us: Micros,
    /// Ticks without a leader before the first node stands for election. The others wait a little longer, each for a
    /// span of its own; all spans are shorter than twice this one.
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Chooses the order in which nodes stand for election.
    pub seed: u64,
}

/// Why a [`Config`] is not usable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// There are no voters, too many, or one is listed twice or numbered 0.
    #[error("the voters must be 1 to {MAX_VOTERS} different nodes, numbered from 1")]
    Voters,
    /// The node is not among the voters.
    #[error("node {} is not among the voters", .0.0)]
    NotAVoter(NodeId),
    /// A tick takes no time.
    #[error("a tick must take at least one microsecond")]
    Tick,
    /// The heartbeat is not well below the election timeout.
    #[error(
        "the heartbeat must be at least one tick, and the election timeout longer than it and than the voters"
    )]
    Timeouts,
}

impl Config {
    /// Checks that the values make sense together.
    ///
    /// # Errors
    /// The first that does not.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let mut voters = self.voters.clone();
        voters.sort_unstable();
        voters.dedup();
        let numbered = voters.first().is_some_and(|first| first.0 > 0);
        if !numbered || voters.len() != self.voters.len() || voters.len() > MAX_VOTERS {
            return Err(ConfigError::Voters);
        }
        if !voters.contains(&self.id) {
            return Err(ConfigError::NotAVoter(self.id));
        }
        if self.tick_us <= 0 {
            return Err(ConfigError::Tick);
        }
        if self.heartbeat_ticks == 0 || self.election_ticks <= self.heartbeat_ticks.max(voters.len()) {
            return Err(ConfigError::Timeouts);
        }
        Ok(())
    }

    /// Nodes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The fixed election timeout of this node in ticks: different on every node, so that two rarely stand at once.
    ///
    /// raft-rs draws it from a range by a generator that cannot be seeded; a range of one value takes the chance out.
    pub fn election_timeout_ticks(&self) -> usize {
        let mut order = self.voters.clone();
        order.sort_by_key(|voter| (mix(self.seed ^ mix(voter.0)), *voter));
        let place = order.iter().position(|voter| *voter == self.id).unwrap_or(0);
        self.election_ticks + place * (self.election_ticks / self.voters.len().max(1))
    }
}

/// The finalizer of SplitMix64: spreads a number over all 64 bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
