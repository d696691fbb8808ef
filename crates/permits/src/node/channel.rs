//! The node as a channel of the link between relays.

use std::collections::BTreeMap;

use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;

use crate::note::{CHANNEL, Item, read};
use crate::{Micros, Peer};

use super::Node;
use super::asking::Heard;

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// Permits wait for nothing; their cost is bounded by wants and calls.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        let way = self.heard.get(&from.peer).and_then(|heard| heard.way);
        self.heard.insert(from.peer, Heard { at: now, stamp: from.sent, way });
        self.avoided.remove(&from.peer);
        self.earlier.remove(&from.peer);
        let (items, made_sense) = read(bytes);
        items.into_iter().for_each(|item| self.item(now, from, item));
        made_sense
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        if self.parts() {
            self.say_loans(now)
        } else {
            self.say_wants(now)
        }
        self.grant(now);
        // Rates are granted only where parts are lent.
        if self.parts() {
            self.call_at_rates(now);
        }
        self.echoes.clear();
        self.repeat_grants(now);
        frame::pack(self.encode_out(), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if !self.out.is_empty() || !self.to_earlier.is_empty() {
            return now;
        }
        let next = if self.parts() { self.next_loan_at(now) } else { self.next_want_at() };
        let once_more = self.once_more.front().map_or(Micros::MAX, |(at, _)| *at);
        next.unwrap_or(Micros::MAX).min(once_more).min(self.steward.next_at(now)).max(now)
    }
}

impl Node {
    /// Encodes the outgoing items by relay, waiting times last. Those for relays of the previous build are set aside.
    fn encode_out(&mut self) -> Vec<(Peer, Vec<u8>)> {
        let mut by_peer: BTreeMap<Peer, Vec<Item>> = BTreeMap::new();
        self.out.drain(..).for_each(|(to, item)| by_peer.entry(to).or_default().push(item));
        let mut pieces = Vec::new();
        for (to, mut items) in by_peer {
            if self.earlier.contains_key(&to) {
                self.to_earlier.push((to, items));
                continue;
            }
            items.sort_by_key(|item| matches!(item, Item::Waits { .. }));
            pieces.extend(items.iter().map(|item| (to, item.encode())));
        }
        pieces
    }
}
