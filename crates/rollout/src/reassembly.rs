//! Splits encoded changes and snapshot parts into fragments, and puts them together again within fixed bounds.

use crate::message::FRAGMENT_BYTES;

/// Why a fragment is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FragmentError {
    /// It claims another number of fragments than the first one that came, or none at all.
    #[error("the fragment does not belong to the others")]
    Mismatched,
    /// More fragments than the largest allowed object has.
    #[error("{0} fragments are more than the object may have")]
    TooMany(usize),
    /// It is shorter or longer than a fragment of this place may be.
    #[error("a fragment of {0} bytes")]
    Length(usize),
    /// It came before.
    #[error("the fragment came before")]
    Doubled,
}

/// The fragments of an object; at least one.
pub fn split(bytes: &[u8]) -> Vec<&[u8]> {
    if bytes.is_empty() { vec![bytes] } else { bytes.chunks(FRAGMENT_BYTES).collect() }
}

/// How many fragments an object of that many bytes has.
pub fn fragments(bytes: usize) -> usize {
    bytes.div_ceil(FRAGMENT_BYTES).max(1)
}

/// One object of which some fragments have come.
#[derive(Clone, Debug)]
pub struct Assembly {
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Assembly {
    /// An object of so many fragments, none of which has come.
    ///
    /// # Errors
    /// If that is none at all, or more than an object of `most_bytes` has.
    pub fn new(count: usize, most_bytes: usize) -> Result<Self, FragmentError> {
        if count == 0 {
            return Err(FragmentError::Mismatched);
        }
        if count > fragments(most_bytes) {
            return Err(FragmentError::TooMany(count));
        }
        Ok(Assembly { parts: vec![None; count], missing: count })
    }

    /// Takes a fragment; the whole object once all have come.
    ///
    /// # Errors
    /// Why the fragment is not taken; those that came before it are kept.
    pub fn take(
        &mut self, index: usize, count: usize, bytes: Vec<u8>,
    ) -> Result<Option<Vec<u8>>, FragmentError> {
        if count != self.parts.len() {
            return Err(FragmentError::Mismatched);
        }
        let full = bytes.len() == FRAGMENT_BYTES;
        if !full && (index + 1 < count || bytes.len() > FRAGMENT_BYTES) {
            return Err(FragmentError::Length(bytes.len()));
        }
        let part = self.parts.get_mut(index).ok_or(FragmentError::Mismatched)?;
        if part.is_some() {
            return Err(FragmentError::Doubled);
        }
        *part = Some(bytes);
        self.missing -= 1;
        Ok((self.missing == 0).then(|| self.parts.iter().flatten().flatten().copied().collect()))
    }

    /// The fragments that have not come, the first of them.
    pub fn missing(&self, most: usize) -> Vec<u16> {
        let missing = self.parts.iter().enumerate().filter(|(_, part)| part.is_none());
        missing.take(most).filter_map(|(index, _)| u16::try_from(index).ok()).collect()
    }
}
