//! The frame of an encoded message: a checksum before it. Protobuf has no end mark, so a message that was cut at the end
//! of a field would read as a sound one that says something else, such as an acknowledgement for a rejection.
//!
//! ```text
//!     crc32 of the rest (4 bytes, little-endian), the message in protobuf
//! ```

use protobuf::Message as _;
use raft::eraftpb::Message;

/// Bytes of the checksum.
const CHECKSUM: usize = 4;

/// The frame of a message; `None` if the message lacks a required field, of which raft's have none.
pub(crate) fn encode(message: &Message) -> Option<Vec<u8>> {
    let body = message.write_to_bytes().ok()?;
    let mut frame = Vec::with_capacity(CHECKSUM + body.len());
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    frame.extend(body);
    Some(frame)
}

/// The message of a frame, if it is whole.
pub(crate) fn decode(frame: &[u8]) -> Option<Message> {
    let (checksum, body) = frame.split_first_chunk::<CHECKSUM>()?;
    if u32::from_le_bytes(*checksum) != crc32fast::hash(body) {
        return None;
    }
    Message::parse_from_bytes(body).ok()
}
