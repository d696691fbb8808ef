//! Compatibility with relays of the previous build, whose datagrams have a form of their own.

use fleet::datagram::{DatagramError, Stamp};
use fleet::keys::Keys;
use fleet::link::{OutgoingDatagram, Sender};

use crate::Micros;
use crate::earlier;
use crate::note::Item;

use super::Node;

/// Maximum number of items in a datagram of the earlier form.
const EARLIER_ITEMS: usize = 6;

impl Node {
    /// Receives a datagram of the previous build.
    ///
    /// # Errors
    /// Why it has no effect.
    pub fn hear_earlier(&mut self, now: Micros, bytes: &[u8], keys: &Keys) -> Result<(), DatagramError> {
        let note = earlier::Note::open(bytes, keys)?;
        if note.from == self.config.me || note.from >= self.config.relays {
            return Err(DatagramError::Stranger);
        }
        self.earlier.entry(note.from).or_default().accept(note.incarnation, note.number)?;
        self.avoided.remove(&note.from);
        // That build knows of no parts: by asking, a relay lends its own part to the relay that it asks.
        let sent = Stamp::of(now);
        let from = Sender { peer: note.from, incarnation: note.incarnation, sent, delay: 0 };
        for mut item in note.items {
            if let Item::Want { stamp, .. } = &mut item {
                *stamp = Some(sent);
            }
            self.item(now, &from, item);
        }
        Ok(())
    }

    /// Datagrams for relays of the previous build.
    pub fn say_earlier(&mut self, keys: &Keys) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        for (to, items) in std::mem::take(&mut self.to_earlier) {
            for items in items.chunks(EARLIER_ITEMS) {
                let bytes = self.earlier_note(items.to_vec()).seal(keys);
                out.extend(bytes.map(|bytes| OutgoingDatagram { to, bytes }));
            }
        }
        out
    }

    /// The next datagram in the earlier form.
    fn earlier_note(&mut self, items: Vec<Item>) -> earlier::Note {
        self.number += 1;
        let (from, incarnation, number) = (self.config.me, self.config.incarnation, self.number);
        earlier::Note { from, incarnation, number, items }
    }
}
