//! Changes on the wire: as messages of fragments, and back within fixed bounds.

use std::collections::BTreeMap;

use destinations::{MAX_CHANGE_BYTES, SIGNATURE_BYTES, SignedChange, Version};
use fleet::{Micros, Peer};

use crate::error::RolloutError;
use crate::message::Message;
use crate::reassembly::{Assembly, split};

/// Changes of which some fragments have come, at the most: 16 of the largest size are 68 KB. The oldest makes way.
const MOST_ASSEMBLIES: usize = 16;

/// The messages that carry a change.
pub fn change_messages(version: Version, signed: &SignedChange) -> impl Iterator<Item = Message> + use<> {
    let encoded = signed.encode();
    let parts: Vec<Vec<u8>> = split(&encoded).into_iter().map(<[u8]>::to_vec).collect();
    // The largest change has 21 fragments.
    let count = u8::try_from(parts.len()).unwrap_or(u8::MAX);
    let message = move |(index, bytes)| Message::ChangeFragment { version, index, count, bytes };
    (0..count).zip(parts).map(message)
}

/// Puts changes together, for each sender by itself, so that none can spoil what another one sends.
#[derive(Debug, Default)]
pub struct ChangeAssemblies {
    open: BTreeMap<(Peer, Version), (Assembly, Micros)>,
}

impl ChangeAssemblies {
    /// Takes a fragment; the signed change, not verified yet, once all have come.
    ///
    /// # Errors
    /// If the fragment does not fit, or all together are no signed change.
    pub fn take(
        &mut self, now: Micros, from: Peer, version: Version, (index, count, bytes): (u8, u8, Vec<u8>),
    ) -> Result<Option<SignedChange>, RolloutError> {
        let key = (from, version);
        if !self.open.contains_key(&key) {
            let fresh = Assembly::new(usize::from(count), MAX_CHANGE_BYTES + SIGNATURE_BYTES)?;
            self.make_room();
            self.open.insert(key, (fresh, now));
        }
        let Some((assembly, _)) = self.open.get_mut(&key) else { return Ok(None) };
        let whole = assembly.take(usize::from(index), usize::from(count), bytes);
        if !matches!(whole, Ok(None)) && !matches!(whole, Err(crate::reassembly::FragmentError::Doubled)) {
            self.open.remove(&key);
        }
        Ok(whole?.map(|bytes| SignedChange::decode(&bytes)).transpose()?)
    }

    /// Drops what leads to versions that are in force.
    pub fn applied(&mut self, version: Version) {
        self.open.retain(|(_, led_to), _| *led_to > version);
    }

    fn make_room(&mut self) {
        if self.open.len() >= MOST_ASSEMBLIES {
            let oldest = self.open.iter().min_by_key(|(_, (_, began))| *began).map(|(key, _)| *key);
            oldest.and_then(|key| self.open.remove(&key));
        }
    }
}
