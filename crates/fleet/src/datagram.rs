//! The wire format: a datagram of at most 256 bytes, and replay protection.
//!
//! Arbitrary input neither panics nor allocates more than a datagram's length.
//!
//! ```text
//!     byte 0      version, 3 (1 and 2 are of earlier builds)
//!     byte 1      key id, 0 where there is no MAC
//!     then        sender (varint), its start (4 bytes), its number (varint), when it was sent (4 bytes: the
//!                 sender's clock in milliseconds, which wraps)
//!     then frames channel, length, bytes; an unknown channel is skipped by its length
//!     last 12     truncated HMAC-SHA256 over all before, if there is a key
//! ```

use serde::{Deserialize, Serialize};

use crate::keys::Keys;
use crate::{Micros, Peer};

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the wire format of this build.
pub const VERSION: u8 = 3;
/// Maximum length of the header, in bytes: version and key, sender, incarnation, number, time.
const MAX_HEADER_BYTES: usize = 2 + 3 + 4 + 5 + 4;
/// Overhead of a frame, in bytes: its channel and length.
pub const FRAME_OVERHEAD_BYTES: usize = 2;
/// Number of datagrams, up to a sender's newest, for which it is remembered whether they arrived.
const WINDOW: u32 = 64;

/// Why a datagram has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is shorter than a header, longer than [`MAX_DATAGRAM_BYTES`], or a frame ends beyond it.
    #[error("malformed")]
    Malformed,
    /// It has another version.
    #[error("version {0}")]
    Version(u8),
    /// It names an unknown key, or none where one is required.
    #[error("key {0} is not known")]
    UnknownKey(u8),
    /// Its MAC is wrong.
    #[error("the MAC is wrong")]
    Forged,
    /// Its sender is not in the fleet, or is this relay itself.
    #[error("of nobody in the fleet")]
    Stranger,
    /// A duplicate, or of an earlier incarnation.
    #[error("a note that is over")]
    Replayed,
    /// It was delayed for too long.
    #[error("too late")]
    TooLate,
    /// Its sender exceeds the rate limit.
    #[error("one of a flood")]
    Flood,
}

/// When a datagram was sent: the sender's clock in milliseconds, which wraps every 49 days. No process that pauses for
/// less than that takes an old datagram for a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp(pub u32);

impl Stamp {
    /// The stamp of a time.
    pub fn of(at: Micros) -> Self {
        Stamp(at.div_euclid(1000).rem_euclid(1 << 32) as u32)
    }

    /// Time from this stamp to `now` of the same clock, in microseconds, if the stamp is of the last 49 days.
    pub fn age(self, now: Micros) -> Micros {
        Micros::from(Stamp::of(now).0.wrapping_sub(self.0)) * 1000
    }
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The sender.
    pub from: Peer,
    /// The sender's incarnation, which grows from one start to the next.
    pub incarnation: u32,
    /// The datagram's sequence number within the incarnation.
    pub number: u32,
    /// When it was sent, by the sender's clock.
    pub sent: Stamp,
}

/// A decoded datagram: its header, and its frames with their channels.
pub type OpenedDatagram<'a> = (Header, Vec<(u8, &'a [u8])>);

/// Room for frames in a datagram, in bytes, including their overhead ([`FRAME_OVERHEAD_BYTES`]).
pub fn frame_capacity(keys: &Keys) -> usize {
    MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - keys.mac_len()
}

/// Encodes and signs a datagram. `None` if the frames exceed the [`frame_capacity`].
pub fn seal(keys: &Keys, head: &Header, frames: &[(u8, Vec<u8>)]) -> Option<Vec<u8>> {
    let mut out = vec![VERSION, keys.first_id()];
    let (start, sent) = (head.incarnation.to_be_bytes(), head.sent.0.to_be_bytes());
    out.extend(postcard::to_allocvec(&(head.from, start, head.number, sent)).ok()?);
    for (channel, bytes) in frames {
        out.extend([*channel, u8::try_from(bytes.len()).ok()?]);
        out.extend(bytes);
    }
    keys.sign(&mut out);
    (out.len() <= MAX_DATAGRAM_BYTES).then_some(out)
}

/// Verifies and decodes a datagram. Replays are rejected by [`ReplayWindow`].
///
/// # Errors
/// Why it has no effect.
pub fn open<'a>(keys: &Keys, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
    let (version, id) = match bytes {
        [version, id, ..] if bytes.len() <= MAX_DATAGRAM_BYTES => (*version, *id),
        _ => return Err(DatagramError::Malformed),
    };
    if version != VERSION {
        return Err(DatagramError::Version(version));
    }
    let body = keys.verify(id, bytes)?.get(2..).ok_or(DatagramError::Malformed)?;
    let read = postcard::take_from_bytes::<(Peer, [u8; 4], u32, [u8; 4])>(body);
    let ((from, start, number, sent), mut rest) = read.map_err(|_| DatagramError::Malformed)?;
    let (incarnation, sent) = (u32::from_be_bytes(start), Stamp(u32::from_be_bytes(sent)));
    let mut frames = Vec::new();
    while let [channel, length, tail @ ..] = rest {
        let (frame, next) = tail.split_at_checked(usize::from(*length)).ok_or(DatagramError::Malformed)?;
        frames.push((*channel, frame));
        rest = next;
    }
    if !rest.is_empty() {
        return Err(DatagramError::Malformed);
    }
    Ok((Header { from, incarnation, number, sent }, frames))
}

/// Replay protection for one sender: rejects duplicates, and datagrams of earlier incarnations.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    incarnation: u32,
    newest: u32,
    /// Bit n is set if the datagram `newest - n` has arrived.
    seen: u64,
}

impl ReplayWindow {
    /// Accepts a datagram of this incarnation and number.
    ///
    /// # Errors
    /// If it is a replay.
    pub fn accept(&mut self, incarnation: u32, number: u32) -> Result<(), DatagramError> {
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, newest: number, seen: 1 };
            return Ok(());
        }
        if incarnation < self.incarnation {
            return Err(DatagramError::Replayed);
        }
        if number > self.newest {
            self.seen = self.seen.checked_shl(number - self.newest).unwrap_or(0) | 1;
            self.newest = number;
            return Ok(());
        }
        let behind = self.newest - number;
        let bit = 1u64.checked_shl(behind).filter(|_| behind < WINDOW).ok_or(DatagramError::Replayed)?;
        if self.seen & bit != 0 {
            return Err(DatagramError::Replayed);
        }
        self.seen |= bit;
        Ok(())
    }
}
