//! The wire between two processes of one relay: frames over a Unix socket in the state folder. Owns the words, their
//! bytes and the socket's place. It must never read more than a frame may have, nor leave a dead process's socket in
//! the way.

use std::fs::File;
use std::io::ErrorKind;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::net::{UnixListener, UnixStream};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::exchange::{Answer, CallEnd, CallHeard, Exchange};
use crate::handed::Handed;
use crate::net::http::MAX_BODY_BYTES;
use crate::net::stream::Stream;

/// What is said without a body may have so many bytes.
const MOST_HEAD: usize = 16 << 20;
/// Lengths of the head and of the body.
const LENGTHS: usize = 8;

/// What the two sides say. A message's body travels beside its word.
#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    /// The new one: who it is.
    Hello {
        /// [`super::VERSION`].
        version: u32,
        /// The relay's name.
        name: String,
        /// Whether it understands [`Word::Heard`].
        #[serde(default)]
        hears: bool,
    },
    /// The old one does not hand over, or not now.
    TurnedAway(String),
    /// The old one has stopped, and knows this.
    State(Box<Handed>),
    /// The new one has read it and will serve.
    Accept,
    /// The old one has let go of the folder.
    LetGo,
    /// The new one serves.
    Serving,
    /// The old one's client handed in a message, and waits for the answer of that number.
    Handed(u64, Exchange),
    /// It is this.
    Answer(u64, Answer),
    /// The client of a message could not be told that it was taken on.
    Withdrawn(String),
    /// Something was heard of a call on the old one's sockets that may end its message.
    Heard(CallHeard),
    /// A call on the old one's sockets ended.
    Ended(CallEnd),
    /// The new one calls it off: the message, and which attempt.
    CallOff(String, u32),
    /// The platform has acknowledged these notices.
    Acknowledged(Vec<String>),
    /// The old one still has so many clients' connections.
    Clients(usize),
}

/// Words as frames: two lengths, the word as JSON, and a body.
#[derive(Debug, Default)]
pub struct Codec;

/// A link.
pub type Link = Framed<Stream<UnixStream>, Codec>;

impl Decoder for Codec {
    type Item = Word;
    type Error = std::io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Word>, std::io::Error> {
        let wrong = |why: String| std::io::Error::new(ErrorKind::InvalidData, why);
        let Some((head, body)) = from.get(..LENGTHS).map(|mut lengths| {
            let head = lengths.get_u32_le() as usize;
            (head, lengths.get_u32_le() as usize)
        }) else {
            return Ok(None);
        };
        if head > MOST_HEAD || body > MAX_BODY_BYTES {
            return Err(wrong(format!("a frame of {head} and {body} bytes")));
        }
        if from.len() < LENGTHS + head + body {
            from.reserve(LENGTHS + head + body - from.len());
            return Ok(None);
        }
        from.advance(LENGTHS);
        let word = from.split_to(head);
        let body: Bytes = from.split_to(body).freeze();
        let mut word = serde_json::from_slice(&word).map_err(|error| wrong(error.to_string()))?;
        if let Word::Handed(_, exchange) = &mut word {
            exchange.body = body;
        }
        Ok(Some(word))
    }
}

impl Encoder<&Word> for Codec {
    type Error = std::io::Error;

    fn encode(&mut self, word: &Word, to: &mut BytesMut) -> Result<(), std::io::Error> {
        let head = serde_json::to_vec(word)?;
        let body = if let Word::Handed(_, exchange) = word { &exchange.body[..] } else { &[] };
        if head.len() > MOST_HEAD || body.len() > MAX_BODY_BYTES {
            return Err(std::io::Error::new(ErrorKind::InvalidData, "a frame that is too long"));
        }
        to.reserve(LENGTHS + head.len() + body.len());
        to.put_u32_le(head.len() as u32);
        to.put_u32_le(body.len() as u32);
        to.put_slice(&head);
        to.put_slice(body);
        Ok(())
    }
}

/// The socket's place, by way of the folder's descriptor: a socket's path has a hundred bytes at the most, the
/// folder's may have more.
fn place(folder: &File) -> PathBuf {
    PathBuf::from(format!("/proc/self/fd/{}/handover", folder.as_raw_fd()))
}

/// Listens in the folder. Only its owner may: what lies there is then of a process that is gone or leaves.
///
/// # Errors
/// Where the socket cannot be made.
pub fn listen(folder: &Path) -> std::io::Result<UnixListener> {
    let folder = File::open(folder)?;
    let place = place(&folder);
    match std::fs::remove_file(&place) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(place)
}

/// Calls whoever listens in the folder.
///
/// # Errors
/// Where nobody does.
pub async fn call(folder: &Path) -> std::io::Result<Link> {
    let folder = File::open(folder)?;
    Ok(Framed::new(Stream::new(UnixStream::connect(place(&folder)).await?), Codec))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(word: &Word) -> BytesMut {
        let mut bytes = BytesMut::new();
        Codec.encode(word, &mut bytes).expect("a frame");
        bytes
    }

    #[test]
    fn a_message_comes_over_with_its_body_in_pieces_or_at_once() {
        let exchange = Exchange {
            id: "m1".into(),
            class: "paid-extra".into(),
            tenant: Some("desk".into()),
            due: 7,
            destination: -3,
            idempotency_key: Some("a key, unchanged".parse().expect("a key")),
            body: Bytes::from(vec![0, 255, 13, 10]),
        };
        let bytes = frame(&Word::Handed(4, exchange.clone()));
        let mut came = BytesMut::new();
        for (i, byte) in bytes.iter().enumerate() {
            came.put_u8(*byte);
            let word = Codec.decode(&mut came).expect("sound");
            assert_eq!(word.is_some(), i + 1 == bytes.len());
            if let Some(Word::Handed(4, got)) = word {
                assert_eq!(got, exchange);
            }
        }
    }

    #[test]
    fn frames_that_are_too_long_or_make_no_sense_are_errors_before_memory_is_taken() {
        for (head, body) in [(u32::MAX, 0), (3, u32::MAX)] {
            let mut bytes = BytesMut::new();
            bytes.put_u32_le(head);
            bytes.put_u32_le(body);
            assert!(Codec.decode(&mut bytes).is_err());
            assert!(bytes.capacity() < 1024);
        }
        let mut bytes = frame(&Word::Accept);
        let last = bytes.len() - 1;
        bytes[last] = b'?';
        assert!(Codec.decode(&mut bytes).is_err());
    }
}
