//! The node as a channel of the peer link.

use std::collections::BTreeMap;

use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;

use crate::item::{CHANNEL, Item, read};
use crate::{Micros, Peer};

use super::Node;
use super::destination::LastContact;

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// Grants are not delayed by the link's bandwidth budget: requests and calls bound their volume.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        let round_trip = self.contacts.get(&from.peer).and_then(|contact| contact.round_trip);
        self.contacts.insert(from.peer, LastContact { at: now, stamp: from.sent, round_trip });
        self.avoided.remove(&from.peer);
        self.v2_peers.remove(&from.peer);
        let (items, all_valid) = read(bytes);
        items.into_iter().for_each(|item| self.receive_item(now, from, item));
        all_valid
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        if self.has_shares() {
            self.send_loan_requests(now)
        } else {
            self.send_requests(now)
        }
        self.issue_grants(now);
        // Rates are granted only where shares are lent.
        if self.has_shares() {
            self.start_calls_at_rates(now);
        }
        self.request_stamps.clear();
        self.resend_grants(now);
        frame::pack(self.encode_outgoing(), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if !self.outgoing.is_empty() || !self.outgoing_v2.is_empty() {
            return now;
        }
        let next = if self.has_shares() { self.next_loan_request_at(now) } else { self.next_request_at() };
        let resend = self.resends.front().map_or(Micros::MAX, |(at, _)| *at);
        next.unwrap_or(Micros::MAX).min(resend).min(self.coordinator.next_at(now)).max(now)
    }
}

impl Node {
    /// Encodes the outgoing items by relay, waiting times last. Items for relays of the previous build are set aside.
    fn encode_outgoing(&mut self) -> Vec<(Peer, Vec<u8>)> {
        let mut by_peer: BTreeMap<Peer, Vec<Item>> = BTreeMap::new();
        self.outgoing.drain(..).for_each(|(to, item)| by_peer.entry(to).or_default().push(item));
        let mut pieces = Vec::new();
        for (to, mut items) in by_peer {
            if self.v2_peers.contains_key(&to) {
                self.outgoing_v2.push((to, items));
                continue;
            }
            items.sort_by_key(|item| matches!(item, Item::WaitTimes { .. }));
            pieces.extend(items.iter().map(|item| (to, item.encode())));
        }
        pieces
    }
}
