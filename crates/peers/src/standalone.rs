//! A node with a peer link of its own, for simulations and proofs in which observations are all that relays exchange.

use fleet::datagram::DatagramError;
use fleet::link::{self, LinkCounters, OutgoingDatagram, PeerLink};

use crate::node::{Config, Node};
use crate::observation::{Micros, Observation};

/// A relay's peer link and its observation channel.
#[derive(Debug)]
pub struct StandaloneNode {
    /// The peer link.
    pub link: PeerLink,
    /// The observation channel.
    pub node: Node,
}

impl StandaloneNode {
    /// Creates a relay that starts now.
    pub fn new(link: link::Config, node: Config, now: Micros) -> Self {
        StandaloneNode { link: PeerLink::new(link, now), node: Node::new(node, now) }
    }

    /// Processes a datagram. Returns the observations in it that are new.
    ///
    /// # Errors
    /// Why the datagram was ignored. It is counted.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Observation>, DatagramError> {
        self.link.receive(now, bytes, &mut [&mut self.node])?;
        Ok(self.node.take_updates())
    }

    /// Returns the datagrams to send now.
    pub fn poll(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        self.link.poll(now, &mut [&mut self.node])
    }

    /// The time at which [`StandaloneNode::poll`] is to be called next.
    pub fn next_at(&mut self, now: Micros) -> Micros {
        self.link.next_at(now, &[&mut self.node]).max(now + 1000)
    }

    /// Counters of the link.
    pub fn counts(&self) -> &LinkCounters {
        self.link.counts()
    }

    /// Replaces the set of peers, after a reload of the configuration.
    pub fn replace(&mut self, peers: Vec<fleet::Peer>) {
        self.link.replace(peers);
        self.node.set_members(self.link.members());
    }
}
