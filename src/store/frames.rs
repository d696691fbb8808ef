//! The bytes of a segment: frames of a length, a checksum and a payload.
//!
//! A payload is a record, or one of two headers. A batch header says how many bytes of frames follow that count only together,
//! so that a write which was cut leaves nothing of its batch. An abandoned-ends header stands first in a segment and lists
//! where earlier segments end whose last write failed; what lies behind that point counts for nothing.

use super::bytes::Bits;
use super::{Record, decode, encode};

/// Bytes of the length and the checksum before each payload.
const FRAME: usize = 8;
/// First byte of the payload of a batch header.
const BATCH: u8 = b'B';
/// First byte of the payload of an abandoned-ends header.
const ABANDONED: u8 = b'P';
/// Bytes of a batch header: its frame, its kind, and the length and checksum of what follows.
pub(super) const BATCH_HEADER_BYTES: u64 = FRAME as u64 + 9;
/// A longer payload is damage, not a record whose end is missing.
const MAX_PAYLOAD: usize = 1 << 24;

/// Where a segment ends, of which the bytes after that are of a failed write.
pub(super) type SegmentEnd = (u64, u64);

/// Records as bytes, and the bytes that each takes.
pub(super) struct Encoded {
    pub(super) bytes: Vec<u8>,
    pub(super) sizes: Vec<u64>,
}

/// Encodes records that count only together.
pub(super) fn encode_batch(records: &[Record]) -> Encoded {
    let header = if records.len() < 2 { 0 } else { BATCH_HEADER_BYTES as usize };
    let (mut bytes, mut sizes) = (vec![0; header], Vec::with_capacity(records.len()));
    for record in records {
        let start = begin_frame(&mut bytes);
        encode(record, &mut bytes);
        end_frame(&mut bytes, start);
        sizes.push((bytes.len() - start) as u64);
    }
    if header > 0 {
        let (head, frames) = bytes.split_at_mut(header);
        head[FRAME] = BATCH;
        head[FRAME + 1..FRAME + 5].copy_from_slice(&(frames.len() as u32).to_le_bytes());
        head[FRAME + 5..].copy_from_slice(&crc32fast::hash(frames).to_le_bytes());
        end_frame(head, 0);
    }
    Encoded { bytes, sizes }
}

/// Encodes where segments end whose last write failed.
pub(super) fn encode_abandoned(ends: &[SegmentEnd]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let start = begin_frame(&mut bytes);
    bytes.push(ABANDONED);
    for (number, length) in ends {
        bytes.extend_from_slice(&number.to_le_bytes());
        bytes.extend_from_slice(&length.to_le_bytes());
    }
    end_frame(&mut bytes, start);
    bytes
}

/// Leaves room for a frame's length and checksum; its payload follows. Returns where it begins.
fn begin_frame(bytes: &mut Vec<u8>) -> usize {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; FRAME]);
    start
}

/// Fills in the length and the checksum of the frame that begins there and whose payload reaches to the end.
fn end_frame(bytes: &mut [u8], start: usize) {
    let payload = &bytes[start + FRAME..];
    let (length, checksum) = (payload.len() as u32, crc32fast::hash(payload));
    bytes[start..start + 4].copy_from_slice(&length.to_le_bytes());
    bytes[start + 4..start + FRAME].copy_from_slice(&checksum.to_le_bytes());
}

/// What was read of a segment.
#[derive(Default)]
pub(super) struct Segment {
    /// Its records in order, each with its size and the offset at which its batch begins.
    pub(super) records: Vec<(Record, u64, u64)>,
    /// The ends of earlier segments that its header lists.
    pub(super) abandoned: Vec<SegmentEnd>,
    /// Bytes that were read as whole batches.
    pub(super) whole: u64,
    /// Bytes of the file.
    pub(super) length: u64,
    /// Why no more was read, if it was not the end of the file.
    pub(super) stop: Option<Stop>,
}

/// Why a segment was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// A write was cut here; nothing follows it.
    Torn,
    /// The bytes are no record, and no cut explains that.
    Damaged,
}

impl Segment {
    /// Reads the bytes of a segment as far as they make sense.
    pub(super) fn read(bytes: &[u8]) -> Self {
        let mut segment = Segment { length: bytes.len() as u64, ..Segment::default() };
        let mut at = 0;
        while at < bytes.len() {
            match segment.read_batch(&bytes[at..], at as u64) {
                Ok(used) => at += used,
                Err(stop) => {
                    // A file system may leave zeros for bytes that it did not write.
                    let zeros = bytes[at..].iter().all(|byte| *byte == 0);
                    segment.stop = Some(if zeros { Stop::Torn } else { stop });
                    break;
                }
            }
        }
        segment.whole = at as u64;
        segment
    }

    /// Reads one batch; returns its bytes.
    fn read_batch(&mut self, bytes: &[u8], at: u64) -> Result<usize, Stop> {
        let payload = read_frame(bytes)?;
        let used = FRAME + payload.len();
        match payload.first() {
            Some(&BATCH) => {
                let frames = batch_frames(payload, &bytes[used..])?;
                let mut inner = 0;
                while inner < frames.len() {
                    let payload = read_frame(&frames[inner..]).map_err(|_| Stop::Damaged)?;
                    self.push(payload, at)?;
                    inner += FRAME + payload.len();
                }
                Ok(used + frames.len())
            }
            Some(&ABANDONED) if at == 0 => {
                self.abandoned = read_abandoned(&payload[1..]).ok_or(Stop::Damaged)?;
                Ok(used)
            }
            _ => {
                self.push(payload, at)?;
                Ok(used)
            }
        }
    }

    fn push(&mut self, payload: &[u8], at: u64) -> Result<(), Stop> {
        let record = decode(payload).ok_or(Stop::Damaged)?;
        self.records.push((record, (payload.len() + FRAME) as u64, at));
        Ok(())
    }
}

/// The payload of the frame with which the bytes begin.
fn read_frame(bytes: &[u8]) -> Result<&[u8], Stop> {
    let mut bits = Bits(bytes);
    let (length, checksum) = bits.number().zip(bits.number()).ok_or(Stop::Torn)?;
    let length = length as usize;
    if length > MAX_PAYLOAD {
        return Err(Stop::Damaged);
    }
    let payload = bits.take(length).ok_or(Stop::Torn)?;
    match (crc32fast::hash(payload) == checksum, bits.0.is_empty()) {
        (true, _) => Ok(payload),
        (false, true) => Err(Stop::Torn),
        (false, false) => Err(Stop::Damaged),
    }
}

/// The frames that a batch header announces.
fn batch_frames<'a>(header: &[u8], following: &'a [u8]) -> Result<&'a [u8], Stop> {
    let mut bits = Bits(&header[1..]);
    let (length, checksum) = bits.number().zip(bits.number()).ok_or(Stop::Damaged)?;
    // A write that was cut leaves fewer bytes than announced; all of them with another checksum are damage.
    let frames = Bits(following).take(length as usize).ok_or(Stop::Torn)?;
    if crc32fast::hash(frames) == checksum { Ok(frames) } else { Err(Stop::Damaged) }
}

fn read_abandoned(bytes: &[u8]) -> Option<Vec<SegmentEnd>> {
    const ENTRY: usize = 16;
    let entry = |entry: &[u8]| {
        let (number, length) = entry.split_first_chunk::<8>()?;
        Some((u64::from_le_bytes(*number), u64::from_le_bytes(length.try_into().ok()?)))
    };
    bytes.chunks(ENTRY).map(entry).collect()
}
