//! The replicated destination set on a relay: the channel of the peer link that keeps the set up to date, its delivery to the
//! runtime, and its file.
//!
//! [`Node`] decides which version is in force, [`listing`] converts it into entries of the runtime's destination list, and
//! [`set_file`] persists it for the next start.

mod listing;
mod set_file;
mod status;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use ::fleet::Peer;
use destinations::{ControlKeys, DestinationChange, DestinationId, DestinationSet};
use rollout::topology::Topology;
use rollout::{Config, Node};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tracing::{info, warn};

use crate::exchange::Member;
use crate::input::Input;
use crate::interface::{ListUpdate, Micros};

use listing::Listing;
use set_file::SetFile;

/// Interval between attempts to send changes to a runtime whose queue was full, in microseconds.
const SEND_RETRY_INTERVAL: Micros = 10_000;

/// Configuration of a relay's part in the distribution of the destination set.
#[derive(Clone, Debug)]
pub struct DistributionSetup {
    /// Address of each control machine's peer link. The numbers of control machines follow those of the relays.
    pub controls: Vec<SocketAddr>,
    /// Region and zone of each relay and control machine.
    pub topology: Arc<Topology>,
    /// The public keys of the control machines.
    pub keys: ControlKeys,
    /// Maximum size of the file of the set, in bytes.
    pub file_room: u64,
}

/// The endpoints that the runtime starts with.
pub enum InitialEndpoints<'a> {
    /// The configured ones, which apply unless a set was persisted.
    Configured(&'a [Member]),
    /// Those that the previous process of this relay handed over: the destination and the id of each.
    HandedOver(Vec<(i64, String)>),
}

/// The relay's part in the distribution.
pub(super) struct Distribution {
    pub(super) node: Node,
    listing: Listing,
    /// Destinations whose changes have not been sent to the runtime.
    unsent: BTreeSet<DestinationId>,
    retry_at: Micros,
    file: SetFile,
}

impl Distribution {
    /// Starts with the set in the state folder. If there is one, its endpoints are returned, which the runtime uses in place of
    /// the configured ones.
    pub(super) fn start(
        setup: &DistributionSetup, (me, seed): (Peer, u64), state: &Path, initial: InitialEndpoints<'_>,
        now: Micros,
    ) -> (Self, Option<Vec<Member>>) {
        let file = SetFile::new(state, setup.file_room);
        let (set, newest) = match file.read(&setup.keys) {
            Ok(Some((set, newest))) => {
                info!("restored destination set {} with {} destinations", set.version(), set.len());
                (set, Some(newest))
            }
            Ok(None) => (DestinationSet::new(), None),
            Err(error) => {
                let file = file.path().display();
                warn!("{file}: {error}; starting without the file, until a control machine sends the set");
                (DestinationSet::new(), None)
            }
        };
        let restored = newest.is_some().then(|| listing::all(&set));
        let listing = match (initial, &restored) {
            (InitialEndpoints::HandedOver(endpoints), _) => Listing::of(endpoints),
            (InitialEndpoints::Configured(_), Some(restored)) => Listing::of_members(restored),
            (InitialEndpoints::Configured(base), None) => Listing::of_members(base),
        };
        let config = Config::new(me, setup.topology.clone(), setup.keys.clone(), seed);
        let node = Node::new(config, set, newest, now);
        (Distribution { node, listing, unsent: BTreeSet::new(), retry_at: Micros::MAX, file }, restored)
    }

    /// Logs disagreements with other machines about the topology, and sends the runtime all changed destinations, as they are
    /// in the newest version, as one input. While the runtime's queue is full the changes wait here, so that none is lost or
    /// reordered.
    pub(super) fn deliver(&mut self, now: Micros, inputs: &mpsc::Sender<Input>) {
        for disagreement in self.node.take_disagreements() {
            warn!("{disagreement}");
        }
        for applied in self.node.take_applied() {
            self.unsent.extend(applied.changes.iter().map(destination_of));
            self.file.schedule_write(now);
        }
        if self.unsent.is_empty() {
            return;
        }
        match inputs.try_reserve() {
            Ok(permit) => {
                let members = self.listing.update(self.node.set(), std::mem::take(&mut self.unsent));
                permit.send(Input::Listed(ListUpdate::Changes, members));
                info!("destination set {} is in force", self.node.set().version());
                self.retry_at = Micros::MAX;
            }
            Err(TrySendError::Full(())) => self.retry_at = now + SEND_RETRY_INTERVAL,
            Err(TrySendError::Closed(())) => self.retry_at = Micros::MAX,
        }
    }

    /// Writes the next portion of the file, if it is due.
    pub(super) fn write_portion(&mut self, now: Micros) {
        self.file.step(now, &self.node);
    }

    /// When [`Distribution::deliver`] or [`Distribution::write_portion`] is due next, apart from the channel.
    pub(super) fn due(&self) -> Micros {
        self.retry_at.min(self.file.due())
    }

    /// The state that is shown to operators.
    pub(super) fn show(&self, now: Micros) -> Value {
        status::show(&self.node, self.listing.len(), now)
    }
}

fn destination_of(change: &DestinationChange) -> DestinationId {
    match change {
        DestinationChange::Added(id) | DestinationChange::Updated(id) | DestinationChange::Removed(id) => *id,
    }
}
