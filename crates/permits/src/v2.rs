//! Datagrams of protocol version 2, the version of the previous build, for rolling upgrades of a fleet: requests in that version
//! are accepted and answered in it. Decoding never panics on malformed input.
//!
//! ```text
//!     byte 0      version, 2
//!     byte 1      key id, 0 if there is no MAC
//!     then        sender, incarnation, datagram number, items (postcard)
//!     last 12     truncated HMAC-SHA256 over all preceding bytes, if there is a key
//! ```

use fleet::Peer;
use fleet::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use fleet::keys::Keys;
use serde::{Deserialize, Serialize};

use crate::WaitingByPriority;
use crate::item::{CallResult, Item, is_valid};

/// Protocol version: the first byte, which distinguishes these datagrams from others on the same socket.
pub const VERSION: u8 = 2;

/// An item of protocol version 2.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum V2Item {
    #[serde(rename = "Want")]
    Request {
        destination: i64,
        seen: u16,
        #[serde(rename = "tiers")]
        waiting: WaitingByPriority,
    },
    #[serde(rename = "Permit")]
    Grant {
        destination: i64,
        total: u16,
        #[serde(rename = "few")]
        few_connections: bool,
    },
    Report {
        destination: i64,
        #[serde(rename = "sign")]
        result: CallResult,
        began: u16,
        wait: u16,
        limit: f32,
    },
}

impl V2Item {
    /// Converts an item. Rates and waiting times do not exist in version 2.
    fn from_item(item: &Item) -> Option<Self> {
        match item.clone() {
            Item::Request { destination, seen, waiting, .. } => {
                Some(V2Item::Request { destination, seen, waiting })
            }
            Item::Grant { destination, total, few_connections, .. } => {
                Some(V2Item::Grant { destination, total, few_connections })
            }
            Item::Report { destination, result, began, wait, limit, .. } => {
                Some(V2Item::Report { destination, result, began, wait, limit })
            }
            Item::Rate { .. } | Item::WaitTimes { .. } => None,
        }
    }

    fn into_item(self) -> Item {
        match self {
            V2Item::Request { destination, seen, waiting } => {
                Item::Request { destination, seen, stamp: None, relays: 0, waiting }
            }
            V2Item::Grant { destination, total, few_connections } => {
                Item::Grant { destination, total, few_connections, age: 0, stamp: None, relays: 0 }
            }
            V2Item::Report { destination, result, began, wait, limit } => {
                Item::Report { destination, result, began, wait, limit, remaining: u8::MAX }
            }
        }
    }
}

/// A datagram of protocol version 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender.
    pub from: Peer,
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Number of the datagram within the incarnation.
    pub number: u32,
    /// The items.
    pub items: Vec<Item>,
}

impl Datagram {
    /// Encodes and signs the datagram. Returns `None` if it is too long, or if none of its items exists in version 2.
    pub fn seal(&self, keys: &Keys) -> Option<Vec<u8>> {
        let items: Vec<V2Item> = self.items.iter().filter_map(V2Item::from_item).collect();
        let mut out = vec![VERSION, keys.first_id()];
        out.extend(postcard::to_allocvec(&(self.from, self.incarnation, self.number, &items)).ok()?);
        keys.sign(&mut out);
        (out.len() <= MAX_DATAGRAM_BYTES && !items.is_empty()).then_some(out)
    }

    /// Verifies and decodes a datagram. Items with figures out of range are dropped.
    ///
    /// # Errors
    /// If the datagram is malformed, of another version, or not authenticated.
    pub fn open(bytes: &[u8], keys: &Keys) -> Result<Self, DatagramError> {
        let (version, id) = match bytes {
            [version, id, ..] if bytes.len() <= MAX_DATAGRAM_BYTES => (*version, *id),
            _ => return Err(DatagramError::Malformed),
        };
        if version != VERSION {
            return Err(DatagramError::Version(version));
        }
        let body = keys.verify(id, bytes)?.get(2..).unwrap_or_default();
        let read = postcard::from_bytes::<(Peer, u32, u32, Vec<V2Item>)>(body);
        let (from, incarnation, number, items) = read.map_err(|_| DatagramError::Malformed)?;
        let items = items.into_iter().map(V2Item::into_item).filter(is_valid).collect();
        Ok(Datagram { from, incarnation, number, items })
    }
}
