//! Notes of the build before this one, version 2, so that a fleet may be upgraded relay by relay: what it asks is heard
//! and answered in its own form. Owns that layout. It must never panic on whatever comes.
//!
//! ```text
//!     byte 0      version, 2
//!     byte 1      key id, 0 where there is no MAC
//!     then        sender, its start, the note's number, items (postcard)
//!     last 12     HMAC-SHA256 over all before, cut short, where there is a key
//! ```

use fleet::Peer;
use fleet::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use fleet::keys::Keys;
use serde::{Deserialize, Serialize};

use crate::Tiers;
use crate::note::{Item, Sign, sound};

/// The version, by which a datagram is told from others on the same socket.
pub const VERSION: u8 = 2;

/// One thing that is told, in the earlier form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Earlier {
    Want { destination: i64, seen: u16, tiers: Tiers },
    Permit { destination: i64, total: u16, few: bool },
    Report { destination: i64, sign: Sign, began: u16, wait: u16, limit: f32 },
}

impl Earlier {
    /// What can be said in the earlier form: all but rates and waits.
    fn of(item: &Item) -> Option<Self> {
        match item.clone() {
            Item::Want { destination, seen, tiers, .. } => Some(Earlier::Want { destination, seen, tiers }),
            Item::Permit { destination, total, few, .. } => Some(Earlier::Permit { destination, total, few }),
            Item::Report { destination, sign, began, wait, limit, .. } => {
                Some(Earlier::Report { destination, sign, began, wait, limit })
            }
            Item::Rate { .. } | Item::Waits { .. } => None,
        }
    }

    fn item(self) -> Item {
        match self {
            Earlier::Want { destination, seen, tiers } => {
                Item::Want { destination, seen, stamp: None, of: 0, tiers }
            }
            Earlier::Permit { destination, total, few } => {
                Item::Permit { destination, total, few, age: 0, stamp: None, of: 0 }
            }
            Earlier::Report { destination, sign, began, wait, limit } => {
                Item::Report { destination, sign, began, wait, limit, left: u8::MAX }
            }
        }
    }
}

/// A note in the earlier form.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// Who sent it.
    pub from: Peer,
    /// Its start.
    pub incarnation: u32,
    /// The note's number since then.
    pub number: u32,
    /// What it says.
    pub items: Vec<Item>,
}

impl Note {
    /// Its bytes; `None` where it has too much to say for one note, or nothing that the earlier form can say.
    pub fn seal(&self, keys: &Keys) -> Option<Vec<u8>> {
        let items: Vec<Earlier> = self.items.iter().filter_map(Earlier::of).collect();
        let mut out = vec![VERSION, keys.first_id()];
        out.extend(postcard::to_allocvec(&(self.from, self.incarnation, self.number, &items)).ok()?);
        keys.sign(&mut out);
        (out.len() <= MAX_DATAGRAM_BYTES && !items.is_empty()).then_some(out)
    }

    /// Reads a note; items that make no sense are left out.
    ///
    /// # Errors
    /// Why it has no effect.
    pub fn open(bytes: &[u8], keys: &Keys) -> Result<Self, DatagramError> {
        let (version, id) = match bytes {
            [version, id, ..] if bytes.len() <= MAX_DATAGRAM_BYTES => (*version, *id),
            _ => return Err(DatagramError::Malformed),
        };
        if version != VERSION {
            return Err(DatagramError::Version(version));
        }
        let body = keys.verify(id, bytes)?.get(2..).unwrap_or_default();
        let read = postcard::from_bytes::<(Peer, u32, u32, Vec<Earlier>)>(body);
        let (from, incarnation, number, items) = read.map_err(|_| DatagramError::Malformed)?;
        let items = items.into_iter().map(Earlier::item).filter(sound).collect();
        Ok(Note { from, incarnation, number, items })
    }
}
