//! Encoding of a segment: frames of a length, a checksum and a payload.
//!
//! A payload is a record, or one of two headers. A batch header states the length of the frames that follow and are valid only
//! together, so that a torn write leaves nothing of its batch. An abandoned-ends header is the first frame of a segment, and
//! lists the ends of earlier segments whose last write failed; bytes after these ends are ignored.

use super::bytes::Reader;
use super::{Record, decode, encode};

/// Length of a frame's header in bytes: the payload's length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// First byte of the payload of a batch header.
const BATCH: u8 = b'B';
/// First byte of the payload of an abandoned-ends header.
const ABANDONED: u8 = b'P';
/// Length of a batch header in bytes: its frame header, its tag, and the length and checksum of the frames that follow.
pub(super) const BATCH_HEADER_BYTES: u64 = FRAME_HEADER_BYTES as u64 + 9;
/// Maximum length of a payload. A greater length is corruption, not a torn write.
const MAX_PAYLOAD_BYTES: usize = 1 << 24;

/// A segment's number and its end, after which the bytes of a failed write may follow.
pub(super) type SegmentEnd = (u64, u64);

/// Encoded records, and the size of each in bytes.
pub(super) struct Encoded {
    pub(super) bytes: Vec<u8>,
    pub(super) sizes: Vec<u64>,
}

/// Encodes records that are valid only together.
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
        head[FRAME_HEADER_BYTES] = BATCH;
        head[FRAME_HEADER_BYTES + 1..FRAME_HEADER_BYTES + 5]
            .copy_from_slice(&(frames.len() as u32).to_le_bytes());
        head[FRAME_HEADER_BYTES + 5..].copy_from_slice(&crc32fast::hash(frames).to_le_bytes());
        end_frame(head, 0);
    }
    Encoded { bytes, sizes }
}

/// Encodes the ends of segments whose last write failed.
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

/// Reserves the header of a frame; its payload is appended next. Returns the frame's offset.
fn begin_frame(bytes: &mut Vec<u8>) -> usize {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    start
}

/// Fills in the header of the frame at offset `start`, whose payload reaches to the end of `bytes`.
fn end_frame(bytes: &mut [u8], start: usize) {
    let payload = &bytes[start + FRAME_HEADER_BYTES..];
    let (length, checksum) = (payload.len() as u32, crc32fast::hash(payload));
    bytes[start..start + 4].copy_from_slice(&length.to_le_bytes());
    bytes[start + 4..start + FRAME_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// A decoded segment.
#[derive(Default)]
pub(super) struct Segment {
    /// Its records in order, each with its size and the offset of its batch.
    pub(super) records: Vec<(Record, u64, u64)>,
    /// The ends of earlier segments that its header lists.
    pub(super) abandoned: Vec<SegmentEnd>,
    /// Length of the complete batches, in bytes.
    pub(super) valid_bytes: u64,
    /// Length of the file, in bytes.
    pub(super) length: u64,
    /// Why decoding stopped before the end of the file, if it did.
    pub(super) stop: Option<Stop>,
}

/// Why a segment was not decoded to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// A torn write at the end of the file.
    Torn,
    /// Invalid bytes that a torn write does not explain.
    Damaged,
}

impl Segment {
    /// Decodes a segment, up to its first invalid byte.
    pub(super) fn read(bytes: &[u8]) -> Self {
        let mut segment = Segment { length: bytes.len() as u64, ..Segment::default() };
        let mut at = 0;
        while at < bytes.len() {
            match segment.read_batch(&bytes[at..], at as u64) {
                Ok(used) => at += used,
                Err(stop) => {
                    // A file system may leave zeros in place of bytes that it did not write.
                    let zeros = bytes[at..].iter().all(|byte| *byte == 0);
                    segment.stop = Some(if zeros { Stop::Torn } else { stop });
                    break;
                }
            }
        }
        segment.valid_bytes = at as u64;
        segment
    }

    /// Decodes one batch, and returns its length in bytes.
    fn read_batch(&mut self, bytes: &[u8], at: u64) -> Result<usize, Stop> {
        let payload = read_frame(bytes)?;
        let used = FRAME_HEADER_BYTES + payload.len();
        match payload.first() {
            Some(&BATCH) => {
                let frames = batch_frames(payload, &bytes[used..])?;
                let mut inner = 0;
                while inner < frames.len() {
                    let payload = read_frame(&frames[inner..]).map_err(|_| Stop::Damaged)?;
                    self.push(payload, at)?;
                    inner += FRAME_HEADER_BYTES + payload.len();
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
        self.records.push((record, (payload.len() + FRAME_HEADER_BYTES) as u64, at));
        Ok(())
    }
}

/// The payload of the first frame.
fn read_frame(bytes: &[u8]) -> Result<&[u8], Stop> {
    let mut reader = Reader(bytes);
    let (length, checksum) = reader.number().zip(reader.number()).ok_or(Stop::Torn)?;
    let length = length as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(Stop::Damaged);
    }
    let payload = reader.take(length).ok_or(Stop::Torn)?;
    match (crc32fast::hash(payload) == checksum, reader.0.is_empty()) {
        (true, _) => Ok(payload),
        (false, true) => Err(Stop::Torn),
        (false, false) => Err(Stop::Damaged),
    }
}

/// The frames that belong to a batch header.
fn batch_frames<'a>(header: &[u8], following: &'a [u8]) -> Result<&'a [u8], Stop> {
    let mut reader = Reader(&header[1..]);
    let (length, checksum) = reader.number().zip(reader.number()).ok_or(Stop::Damaged)?;
    // A torn write leaves fewer bytes than the header states; all of them with a wrong checksum are corruption.
    let frames = Reader(following).take(length as usize).ok_or(Stop::Torn)?;
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
