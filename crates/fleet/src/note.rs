//! The wire: a note of at most 256 bytes. Owns its layout and the guard against notes that come again. It must never
//! panic, nor allocate beyond a note's length, on whatever comes.
//!
//! ```text
//!     byte 0      version, 3 (1 and 2 are those of earlier builds)
//!     byte 1      key id, 0 where there is no MAC
//!     then        sender (varint), its start (4 bytes), the note's number (varint), when it was sent (4 bytes: the
//!                 sender's clock in milliseconds, counted around)
//!     then frames channel, length, bytes; a channel that is not known is skipped by its length
//!     last 12     HMAC-SHA256 over all before, cut short, where there is a key
//! ```

use serde::{Deserialize, Serialize};

use crate::keys::Keys;
use crate::{Micros, Peer};

/// A note has at most so many bytes.
pub const MOST: usize = 256;
/// This build's version.
pub const VERSION: u8 = 3;
/// What the head takes at the most: version and key, sender, start, number, time.
const HEAD: usize = 2 + 3 + 4 + 5 + 4;
/// What a frame takes beside its bytes.
pub const FRAME: usize = 2;
/// Numbers remembered behind the newest of a sender.
const WINDOW: u32 = 64;

/// Why a note has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum NoteError {
    /// It is shorter than a head, longer than a note may be, or a frame ends beyond it.
    #[error("malformed")]
    Malformed,
    /// It has another version.
    #[error("version {0}")]
    Version(u8),
    /// It names a key that is not known, or none where one is needed.
    #[error("key {0} is not known")]
    UnknownKey(u8),
    /// Its MAC is wrong.
    #[error("the MAC is wrong")]
    Forged,
    /// Its sender is nobody of the fleet, or this relay itself.
    #[error("of nobody in the fleet")]
    Stranger,
    /// It came before, or is of an incarnation that is over.
    #[error("a note that is over")]
    Replayed,
    /// It is too old to say anything.
    #[error("too late")]
    TooLate,
    /// Its sender sends more than any relay has to say.
    #[error("one of a flood")]
    Flood,
}

/// When a note was sent: a relay's clock in milliseconds, counted around every 49 days, so that no freeze that a relay may
/// come out of makes an old note young.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp(pub u32);

impl Stamp {
    /// The stamp of a moment.
    pub fn of(at: Micros) -> Self {
        Stamp(at.div_euclid(1000).rem_euclid(1 << 32) as u32)
    }

    /// The time from this stamp to `now`, of the same clock, if it lies within the last 49 days.
    pub fn age(self, now: Micros) -> Micros {
        Micros::from(Stamp::of(now).0.wrapping_sub(self.0)) * 1000
    }
}

/// Who sent a note, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The sender.
    pub from: Peer,
    /// Its start, a number that grows from one start to the next.
    pub incarnation: u32,
    /// The note's number since then.
    pub number: u32,
    /// When it was sent, by its clock.
    pub sent: Stamp,
}

/// A note that came: its head, and its frames by channel.
pub type Note<'a> = (Head, Vec<(u8, &'a [u8])>);

/// Bytes that frames may have in a note, their channels and lengths included.
pub fn room(keys: &Keys) -> usize {
    MOST - HEAD - keys.mac_len()
}

/// A note of frames, which have [`room`] together.
pub fn seal(keys: &Keys, head: &Head, frames: &[(u8, Vec<u8>)]) -> Option<Vec<u8>> {
    let mut out = vec![VERSION, keys.first_id()];
    let (start, sent) = (head.incarnation.to_be_bytes(), head.sent.0.to_be_bytes());
    out.extend(postcard::to_allocvec(&(head.from, start, head.number, sent)).ok()?);
    for (channel, bytes) in frames {
        out.extend([*channel, u8::try_from(bytes.len()).ok()?]);
        out.extend(bytes);
    }
    keys.sign(&mut out);
    (out.len() <= MOST).then_some(out)
}

/// Reads a note.
///
/// # Errors
/// Why it has no effect. Whether it came before is [`Replay`]'s to tell.
pub fn open<'a>(keys: &Keys, bytes: &'a [u8]) -> Result<Note<'a>, NoteError> {
    let (version, id) = match bytes {
        [version, id, ..] if bytes.len() <= MOST => (*version, *id),
        _ => return Err(NoteError::Malformed),
    };
    if version != VERSION {
        return Err(NoteError::Version(version));
    }
    let body = keys.signed(id, bytes)?.get(2..).ok_or(NoteError::Malformed)?;
    let read = postcard::take_from_bytes::<(Peer, [u8; 4], u32, [u8; 4])>(body);
    let ((from, start, number, sent), mut rest) = read.map_err(|_| NoteError::Malformed)?;
    let (incarnation, sent) = (u32::from_be_bytes(start), Stamp(u32::from_be_bytes(sent)));
    let mut frames = Vec::new();
    while let [channel, length, tail @ ..] = rest {
        let (frame, next) = tail.split_at_checked(usize::from(*length)).ok_or(NoteError::Malformed)?;
        frames.push((*channel, frame));
        rest = next;
    }
    if !rest.is_empty() {
        return Err(NoteError::Malformed);
    }
    Ok((Head { from, incarnation, number, sent }, frames))
}

/// The guard against notes of one sender that come again, or from before its restart.
#[derive(Clone, Copy, Debug, Default)]
pub struct Replay {
    incarnation: u32,
    newest: u32,
    /// Bit n: `newest - n` came.
    seen: u64,
}

impl Replay {
    /// Takes a note of that start and number.
    ///
    /// # Errors
    /// Where the note has no effect any more.
    pub fn take(&mut self, incarnation: u32, number: u32) -> Result<(), NoteError> {
        if incarnation > self.incarnation {
            *self = Replay { incarnation, newest: number, seen: 1 };
            return Ok(());
        }
        if incarnation < self.incarnation {
            return Err(NoteError::Replayed);
        }
        if number > self.newest {
            self.seen = self.seen.checked_shl(number - self.newest).unwrap_or(0) | 1;
            self.newest = number;
            return Ok(());
        }
        let behind = self.newest - number;
        let bit = 1u64.checked_shl(behind).filter(|_| behind < WINDOW).ok_or(NoteError::Replayed)?;
        if self.seen & bit != 0 {
            return Err(NoteError::Replayed);
        }
        self.seen |= bit;
        Ok(())
    }
}
