//! Compatibility with relays of the previous build, which use protocol version 2.

use fleet::datagram::{DatagramError, Stamp};
use fleet::keys::Keys;
use fleet::link::{OutgoingDatagram, Sender};

use crate::Micros;
use crate::item::Item;
use crate::v2;

use super::Node;

/// Maximum number of items in a datagram of protocol version 2.
const MAX_V2_ITEMS: usize = 6;

impl Node {
    /// Receives a datagram of the previous build.
    ///
    /// # Errors
    /// If the datagram is invalid, replayed, or of an unknown relay.
    pub fn receive_v2(&mut self, now: Micros, bytes: &[u8], keys: &Keys) -> Result<(), DatagramError> {
        let datagram = v2::Datagram::open(bytes, keys)?;
        if datagram.from == self.config.me || datagram.from >= self.config.relays {
            return Err(DatagramError::Stranger);
        }
        self.v2_peers.entry(datagram.from).or_default().accept(datagram.incarnation, datagram.number)?;
        self.avoided.remove(&datagram.from);
        // The previous build knows no shares: by its request, a relay lends its own share to the relay that it asks.
        let sent = Stamp::of(now);
        let from = Sender { peer: datagram.from, incarnation: datagram.incarnation, sent, delay: 0 };
        for mut item in datagram.items {
            if let Item::Request { stamp, .. } = &mut item {
                *stamp = Some(sent);
            }
            self.receive_item(now, &from, item);
        }
        Ok(())
    }

    /// Takes the outgoing datagrams for relays of the previous build.
    pub fn take_v2_datagrams(&mut self, keys: &Keys) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        for (to, items) in std::mem::take(&mut self.outgoing_v2) {
            for items in items.chunks(MAX_V2_ITEMS) {
                let bytes = self.next_v2_datagram(items.to_vec()).seal(keys);
                out.extend(bytes.map(|bytes| OutgoingDatagram { to, bytes }));
            }
        }
        out
    }

    /// Returns the next datagram of protocol version 2.
    fn next_v2_datagram(&mut self, items: Vec<Item>) -> v2::Datagram {
        self.v2_number += 1;
        let (from, incarnation, number) = (self.config.me, self.config.incarnation, self.v2_number);
        v2::Datagram { from, incarnation, number, items }
    }
}
