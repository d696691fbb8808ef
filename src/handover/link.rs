//! The handover link between two processes of one relay: framed messages over a Unix socket in the state folder.
//!
//! Frames have a size limit, which is checked before memory is reserved. A socket that an earlier process left behind is
//! replaced.

use std::fs::File;
use std::io::ErrorKind;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::net::{UnixListener, UnixStream};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::exchange::{Answer, CallEnd, Exchange, ProvisionalAnswer, ProvisionalDecision};
use crate::handed::HandoverState;
use crate::net::http::MAX_BODY_BYTES;
use crate::net::stream::Stream;

/// Maximum size of a frame's head, in bytes.
const MAX_HEAD: usize = 16 << 20;
/// Size of the two length fields, of the head and of the body, in bytes.
const LENGTHS: usize = 8;

/// A message of the link. The body of a relayed message follows the head of its frame.
#[derive(Debug, Serialize, Deserialize)]
pub enum LinkMessage {
    /// From the new process: starts a handover.
    Hello {
        /// [`super::VERSION`].
        version: u32,
        /// The relay's name.
        name: String,
        /// Whether it understands [`LinkMessage::Heard`].
        #[serde(default, rename = "hears")]
        understands_heard: bool,
        /// Whether it understands [`LinkMessage::Answered`].
        #[serde(default)]
        understands_answered: bool,
    },
    /// From the old process: no handover, for this reason.
    #[serde(rename = "TurnedAway")]
    Rejected(String),
    /// From the old process: its runtime has stopped, and this is its state.
    State(Box<HandoverState>),
    /// From the new process: it has read the state and will serve.
    Accept,
    /// From the old process: it has released the state folder.
    #[serde(rename = "LetGo")]
    Released,
    /// From the new process: it serves.
    Serving,
    /// From the old process: a client submitted a message there, and waits for the answer of this number.
    #[serde(rename = "Handed")]
    Submitted(u64, Exchange),
    /// From the new process: the answer of this number.
    Answer(u64, Answer),
    /// From the old process: the client of a message left before it heard that the message was accepted.
    Withdrawn(String),
    /// From the old process: what was received so far on a call in flight there may end its message.
    Heard(ProvisionalDecision),
    /// From the old process: a call there was answered, and it is not settled yet whether the answer belongs to it. A wait
    /// that the answer requests applies at once.
    Answered(ProvisionalAnswer),
    /// From the old process: a call there has ended.
    Ended(CallEnd),
    /// From the new process: cancels the call of a message's attempt.
    #[serde(rename = "CallOff")]
    Cancel(String, u32),
    /// From the old process: the platform has acknowledged these non-delivery reports.
    Acknowledged(Vec<String>),
    /// From the old process: number of client connections that it still has.
    Clients(usize),
}

/// Encodes messages as frames: two lengths, the message as JSON, and a body.
#[derive(Debug, Default)]
pub struct Codec;

/// A handover link.
pub type Link = Framed<Stream<UnixStream>, Codec>;

impl Decoder for Codec {
    type Item = LinkMessage;
    type Error = std::io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<LinkMessage>, std::io::Error> {
        let wrong = |why: String| std::io::Error::new(ErrorKind::InvalidData, why);
        let Some((head, body)) = from.get(..LENGTHS).map(|mut lengths| {
            let head = lengths.get_u32_le() as usize;
            (head, lengths.get_u32_le() as usize)
        }) else {
            return Ok(None);
        };
        if head > MAX_HEAD || body > MAX_BODY_BYTES {
            return Err(wrong(format!("frame of {head} and {body} bytes exceeds the limit")));
        }
        if from.len() < LENGTHS + head + body {
            from.reserve(LENGTHS + head + body - from.len());
            return Ok(None);
        }
        from.advance(LENGTHS);
        let head = from.split_to(head);
        let body: Bytes = from.split_to(body).freeze();
        let mut message = serde_json::from_slice(&head).map_err(|error| wrong(error.to_string()))?;
        if let LinkMessage::Submitted(_, exchange) = &mut message {
            exchange.body = body;
        }
        Ok(Some(message))
    }
}

impl Encoder<&LinkMessage> for Codec {
    type Error = std::io::Error;

    fn encode(&mut self, message: &LinkMessage, to: &mut BytesMut) -> Result<(), std::io::Error> {
        let head = serde_json::to_vec(message)?;
        let body = if let LinkMessage::Submitted(_, exchange) = message { &exchange.body[..] } else { &[] };
        if head.len() > MAX_HEAD || body.len() > MAX_BODY_BYTES {
            return Err(std::io::Error::new(ErrorKind::InvalidData, "frame exceeds the size limit"));
        }
        to.reserve(LENGTHS + head.len() + body.len());
        to.put_u32_le(head.len() as u32);
        to.put_u32_le(body.len() as u32);
        to.put_slice(&head);
        to.put_slice(body);
        Ok(())
    }
}

/// The path of the socket, by way of the folder's file descriptor: socket paths are limited to about a hundred bytes, and the
/// folder's path may be longer.
fn socket_path(folder: &File) -> PathBuf {
    PathBuf::from(format!("/proc/self/fd/{}/handover", folder.as_raw_fd()))
}

/// Listens in the folder. Only its owner may do so: a socket found there belongs to a process that has ended or is leaving.
///
/// # Errors
/// If the socket cannot be created.
pub fn listen(folder: &Path) -> std::io::Result<UnixListener> {
    let folder = File::open(folder)?;
    let path = socket_path(&folder);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(path)
}

/// Connects to the process that listens in the folder.
///
/// # Errors
/// If no process listens.
pub async fn connect(folder: &Path) -> std::io::Result<Link> {
    let folder = File::open(folder)?;
    Ok(Framed::new(Stream::new(UnixStream::connect(socket_path(&folder)).await?), Codec))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(message: &LinkMessage) -> BytesMut {
        let mut bytes = BytesMut::new();
        Codec.encode(message, &mut bytes).expect("a frame");
        bytes
    }

    #[test]
    fn a_submitted_message_is_decoded_with_its_body_once_complete() {
        let exchange = Exchange {
            id: "m1".into(),
            class: "paid-extra".into(),
            tenant: Some("desk".into()),
            due: 7,
            destination: -3,
            idempotency_key: Some("a key, unchanged".parse().expect("a key")),
            body: Bytes::from(vec![0, 255, 13, 10]),
        };
        let bytes = frame(&LinkMessage::Submitted(4, exchange.clone()));
        let mut received = BytesMut::new();
        for (i, byte) in bytes.iter().enumerate() {
            received.put_u8(*byte);
            let message = Codec.decode(&mut received).expect("a valid frame");
            assert_eq!(message.is_some(), i + 1 == bytes.len());
            if let Some(LinkMessage::Submitted(4, got)) = message {
                assert_eq!(got, exchange);
            }
        }
    }

    #[test]
    fn oversized_and_malformed_frames_are_errors_before_memory_is_reserved() {
        for (head, body) in [(u32::MAX, 0), (3, u32::MAX)] {
            let mut bytes = BytesMut::new();
            bytes.put_u32_le(head);
            bytes.put_u32_le(body);
            assert!(Codec.decode(&mut bytes).is_err());
            assert!(bytes.capacity() < 1024);
        }
        let mut bytes = frame(&LinkMessage::Accept);
        let last = bytes.len() - 1;
        bytes[last] = b'?';
        assert!(Codec.decode(&mut bytes).is_err());
    }
}
