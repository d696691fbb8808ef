//! The replicated destination set on a relay: a channel of the link that keeps the set up to date, its way to the runtime,
//! and its file.
//!
//! [`Node`] decides what is in force; [`listing`] turns that into entries of the runtime's destination list, and
//! [`set_file`] keeps it for the next start.

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
use crate::interface::{ListForm, Micros};

use listing::Listing;
use set_file::SetFile;

/// How long a change waits before it is offered again to a runtime whose queue was full, in microseconds.
const OFFER_AGAIN: Micros = 10_000;

/// How a relay takes part in the distribution of the destination set.
#[derive(Clone, Debug)]
pub struct DistributionSetup {
    /// Where each control machine receives notes. Their numbers follow those of the relays.
    pub controls: Vec<SocketAddr>,
    /// The place of each relay and control machine.
    pub topology: Arc<Topology>,
    /// The public keys of the control machines.
    pub keys: ControlKeys,
    /// The largest file of the set, in bytes.
    pub file_room: u64,
}

/// The endpoints that the runtime starts with.
pub enum Before<'a> {
    /// Those of the configuration. They are the base unless a set was kept.
    Configured(&'a [Member]),
    /// Those that another process of this relay handed over: the destination and the id of each.
    HandedOver(Vec<(i64, String)>),
}

/// The relay's part in the distribution.
pub(super) struct Distribution {
    pub(super) node: Node,
    listing: Listing,
    /// Destinations that changed and of which the runtime has not been told.
    untold: BTreeSet<DestinationId>,
    offer_at: Micros,
    file: SetFile,
}

impl Distribution {
    /// Starts with the set that was kept in the state folder. Where there is one, its endpoints are returned, for the
    /// runtime to start with in place of the configured ones.
    pub(super) fn start(
        setup: &DistributionSetup, (me, seed): (Peer, u64), state: &Path, before: Before<'_>, now: Micros,
    ) -> (Self, Option<Vec<Member>>) {
        let file = SetFile::new(state, setup.file_room);
        let (set, newest) = match file.read(&setup.keys) {
            Ok(Some((set, newest))) => {
                info!("destination set {} with {} destinations, as kept", set.version(), set.len());
                (set, Some(newest))
            }
            Ok(None) => (DestinationSet::new(), None),
            Err(error) => {
                let file = file.path().display();
                warn!("{file}: {error}; starting without it, until control machines are reached");
                (DestinationSet::new(), None)
            }
        };
        let kept = newest.is_some().then(|| listing::all(&set));
        let listing = match (before, &kept) {
            (Before::HandedOver(endpoints), _) => Listing::of(endpoints),
            (Before::Configured(_), Some(kept)) => Listing::of_members(kept),
            (Before::Configured(base), None) => Listing::of_members(base),
        };
        let config = Config::new(me, setup.topology.clone(), setup.keys.clone(), seed);
        let node = Node::new(config, set, newest, now);
        (Distribution { node, listing, untold: BTreeSet::new(), offer_at: Micros::MAX, file }, kept)
    }

    /// Logs whom this relay places differently than they do, and hands the runtime all that has changed, as one input: the destinations that it touches, as they are in the newest
    /// version. While the runtime's queue is full the changes wait here, so that none is lost or comes out of order.
    pub(super) fn deliver(&mut self, now: Micros, inputs: &mpsc::Sender<Input>) {
        for disagreement in self.node.take_disagreements() {
            warn!("{disagreement}");
        }
        for applied in self.node.take_applied() {
            self.untold.extend(applied.changes.iter().map(touched));
            self.file.changed(now);
        }
        if self.untold.is_empty() {
            return;
        }
        match inputs.try_reserve() {
            Ok(permit) => {
                let members = self.listing.update(self.node.set(), std::mem::take(&mut self.untold));
                permit.send(Input::DestinationsUpdated(ListForm::Changes, members));
                info!("destination set {} is in force", self.node.set().version());
                self.offer_at = Micros::MAX;
            }
            Err(TrySendError::Full(())) => self.offer_at = now + OFFER_AGAIN,
            Err(TrySendError::Closed(())) => self.offer_at = Micros::MAX,
        }
    }

    /// Writes the next portion of the file, if it is due.
    pub(super) fn keep(&mut self, now: Micros) {
        self.file.step(now, &self.node);
    }

    /// When [`Distribution::deliver`] or [`Distribution::keep`] has something to do next, the channel's part aside.
    pub(super) fn due(&self) -> Micros {
        self.offer_at.min(self.file.due())
    }

    /// What an operator is shown.
    pub(super) fn show(&self, now: Micros) -> Value {
        status::show(&self.node, self.listing.len(), now)
    }
}

fn touched(change: &DestinationChange) -> DestinationId {
    match change {
        DestinationChange::Added(id) | DestinationChange::Updated(id) | DestinationChange::Removed(id) => *id,
    }
}
