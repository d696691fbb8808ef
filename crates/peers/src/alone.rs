//! A node with a link of its own: where facts are all that relays tell each other, as in simulated tiers and proofs.

use fleet::datagram::DatagramError;
use fleet::link::{self, LinkCounters, OutgoingDatagram, PeerLink};

use crate::fact::{Fact, Micros};
use crate::node::{Config, Node};

/// A relay's link and its channel of facts.
#[derive(Debug)]
pub struct Alone {
    /// The link.
    pub link: PeerLink,
    /// The facts.
    pub facts: Node,
}

impl Alone {
    /// A relay that starts now.
    pub fn new(link: link::Config, facts: Config, now: Micros) -> Self {
        Alone { link: PeerLink::new(link, now), facts: Node::new(facts, now) }
    }

    /// Takes a datagram; the facts in it that are news.
    ///
    /// # Errors
    /// Why it has no effect; it is counted and nothing else.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Fact>, DatagramError> {
        self.link.receive(now, bytes, &mut [&mut self.facts])?;
        Ok(self.facts.take_news())
    }

    /// Datagrams to send now.
    pub fn poll(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        self.link.poll(now, &mut [&mut self.facts])
    }

    /// When [`Alone::poll`] has something to do next.
    pub fn next_at(&mut self, now: Micros) -> Micros {
        self.link.next_at(now, &[&mut self.facts]).max(now + 1000)
    }

    /// What was counted.
    pub fn counts(&self) -> &LinkCounters {
        self.link.counts()
    }

    /// Another set of peers, as on a reload.
    pub fn replace(&mut self, peers: Vec<fleet::Peer>) {
        self.link.replace(peers);
        self.facts.replaced(self.link.members());
    }
}
