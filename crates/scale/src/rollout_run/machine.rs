//! One simulated machine: its process while it runs, and what it has on its disk.

use std::rc::Rc;
use std::sync::Arc;

use consensus::{Config as ClusterConfig, Consensus, NodeId, Persisted};
use destinations::{ControlKeys, DestinationSet, SignedChange};
use fleet::Peer;
use fleet::keys::{Key, Keys};
use fleet::link::{self, PeerLink};
use rollout::topology::Topology;
use rollout::{Config, Node};

use super::author::copy;
use crate::time::{MILLISECOND, Micros};

/// Bytes a second that channels with a budget may send; the channel of changes keeps a budget of its own.
const BYTES_PER_S: u32 = 4000;
/// Raft's tick, in microseconds, and its timeouts in ticks: a heartbeat each 200 ms, an election after 1 to 2 s.
const TICK_US: Micros = 100 * MILLISECOND;
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;

/// What all machines are given.
#[derive(Debug)]
pub(super) struct Setup {
    pub(super) topology: Arc<Topology>,
    pub(super) control_keys: ControlKeys,
    pub(super) relays: u32,
    pub(super) controls: usize,
    pub(super) signed: bool,
    pub(super) seed: u64,
}

impl Setup {
    /// The place of a control machine among them.
    pub(super) fn control(&self, peer: Peer) -> Option<usize> {
        (peer as usize).checked_sub(self.relays as usize).filter(|control| *control < self.controls)
    }

    /// The machine of a raft node.
    pub(super) fn peer(&self, node: NodeId) -> Peer {
        (self.relays as usize + node.0 as usize - 1) as Peer
    }

    fn cluster(&self, control: usize) -> ClusterConfig {
        ClusterConfig {
            id: node_id(control),
            voters: (0..self.controls).map(node_id).collect(),
            tick_us: TICK_US,
            election_ticks: ELECTION_TICKS,
            heartbeat_ticks: HEARTBEAT_TICKS,
            seed: self.seed,
        }
    }
}

/// The raft node of a control machine.
pub(super) fn node_id(control: usize) -> NodeId {
    NodeId(control as u64 + 1)
}

/// What a machine has on its disk.
#[derive(Debug)]
pub(super) struct Disk {
    /// The set; while the machine runs its process has it, and writes a copy when it stops.
    pub(super) set: Option<DestinationSet>,
    pub(super) newest: Option<SignedChange>,
    /// Raft's records; empty on a relay.
    pub(super) raft: Persisted,
}

/// A machine that runs.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) link: PeerLink,
    pub(super) node: Node,
    pub(super) consensus: Option<Consensus>,
    /// When it started.
    pub(super) since: Micros,
}

impl Process {
    /// Starts from what is on the disk.
    ///
    /// # Errors
    /// If the control machines make no cluster.
    pub(super) fn start(
        setup: &Rc<Setup>, peer: Peer, disk: &mut Disk, now: Micros,
    ) -> Result<Self, consensus::StartError> {
        let peers = setup.topology.machines().map(|machine| machine.peer).collect();
        let key = setup.signed.then(|| Key { id: 1, bytes: vec![7; 32] });
        let keys = Keys(key.into_iter().collect());
        let incarnation = fleet::incarnation(now);
        let config = link::Config {
            me: peer,
            incarnation,
            peers,
            keys,
            bytes_per_s: BYTES_PER_S,
            pings_silent_peers: false,
        };
        let link = PeerLink::new(config, now);
        let config = Config::new(peer, Arc::clone(&setup.topology), setup.control_keys.clone(), setup.seed);
        let node = Node::new(config, disk.set.take().unwrap_or_default(), disk.newest.clone(), now);
        let cluster = setup.control(peer).map(|control| setup.cluster(control));
        let consensus = cluster.map(|config| Consensus::new(config, disk.raft.clone())).transpose()?;
        Ok(Process { link, node, consensus, since: now })
    }

    /// What it leaves on its disk when it stops; raft's records were written as they came.
    pub(super) fn leave(&self, disk: &mut Disk) {
        disk.set = Some(copy(self.node.set()));
        disk.newest = self.node.newest().cloned();
    }
}
