//! Messages of the rollout channel, as items in a frame of the link, and their bounds. Decoding never panics, and never
//! yields more than the frame holds.

use destinations::{Digest, Version};
use serde::{Deserialize, Serialize};

/// The channel of rollout messages on the link.
pub const CHANNEL: u8 = 5;
/// Bytes of one fragment's payload. With the largest header of a message around it (21 bytes) it fits a frame of its own,
/// which has 224 bytes where the link's datagrams carry a MAC.
pub const FRAGMENT_BYTES: usize = 200;
/// Fragments that one request names at the most; the others are named by the next one.
pub const MOST_REQUESTED: usize = 48;
/// Leading bytes of a digest that a message carries. They tell states apart; what is taken in is verified by the whole
/// digest.
pub const SHORT_DIGEST: usize = 8;

/// The leading bytes of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortDigest(pub [u8; SHORT_DIGEST]);

impl From<Digest> for ShortDigest {
    fn from(digest: Digest) -> Self {
        let mut short = [0; SHORT_DIGEST];
        short.iter_mut().zip(digest.0).for_each(|(to, from)| *to = from);
        ShortDigest(short)
    }
}

/// What an upstream tells a subscriber of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advert {
    /// The version that is in force there.
    pub version: Version,
    /// The digest of the set that is in force there.
    pub digest: ShortDigest,
    /// How long ago control last confirmed that this version was the newest, in milliseconds; none if it never did.
    pub age_ms: Option<u32>,
}

/// Why a subscription is refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum Refusal {
    /// All leases are taken.
    #[error("it has as many subscribers as it may have")]
    Full,
    /// The subscriber does not stand behind the upstream in the order of the topology.
    #[error("the subscriber does not stand behind it in the order")]
    NotBehind,
}

/// A part of a snapshot that is transferred on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// The manifest, with the signed change that vouches for it.
    Manifest,
    /// The canonical bytes of one bucket.
    Bucket {
        /// Its index in the set.
        index: u16,
        /// Which of its states is meant.
        digest: ShortDigest,
    },
}

/// One message. New ones are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a subscription, or renews it.
    Heartbeat {
        /// Names the heartbeat in its answer.
        number: u16,
        /// Whether the receiver is the sender's primary upstream, which pushes at once.
        primary: bool,
        /// The version that is in force at the sender.
        version: Version,
    },
    /// The answer to a heartbeat: the lease runs.
    Advert {
        /// The number of the heartbeat.
        answers: u16,
        /// The state of the upstream.
        advert: Advert,
    },
    /// The answer to a heartbeat: there is no lease.
    Refused {
        /// The number of the heartbeat.
        answers: u16,
        /// Why.
        why: Refusal,
    },
    /// Ends a subscription.
    Leave,
    /// A part of an encoded signed change.
    ChangeFragment {
        /// The version that the change leads to.
        version: Version,
        /// Which part it is, from 0.
        index: u8,
        /// How many parts the change has.
        count: u8,
        /// The part.
        bytes: Vec<u8>,
    },
    /// Acknowledges all changes up to a version, which is in force at the sender.
    Applied {
        /// The version.
        version: Version,
    },
    /// Asks for the changes that follow a version.
    ChangesRequest {
        /// The version that is in force at the sender.
        after: Version,
    },
    /// The answer to such a request: the changes are no longer kept, so that a snapshot is needed.
    ChangesCompacted {
        /// The version in the request.
        after: Version,
        /// The version that is in force at the sender, of which it serves a snapshot.
        version: Version,
    },
    /// Asks for fragments of a part of a snapshot.
    PartRequest {
        /// Names the request in its answers.
        request: u16,
        /// The version of the snapshot.
        version: Version,
        /// The part.
        part: Part,
        /// The fragments that are missing; all of them, if none is named.
        missing: Vec<u16>,
    },
    /// A fragment of a part of a snapshot.
    PartFragment {
        /// The request that it answers.
        request: u16,
        /// Which fragment it is, from 0.
        index: u16,
        /// How many fragments the part has.
        count: u16,
        /// The fragment.
        bytes: Vec<u8>,
    },
    /// The answer to a request for a part that is not served.
    PartUnavailable {
        /// The request.
        request: u16,
        /// Why.
        why: Unavailable,
    },
}

/// Why a part of a snapshot is not served.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum Unavailable {
    /// As many transfers run as may; the same request may succeed later.
    #[error("as many transfers run as may")]
    Busy,
    /// The snapshot of that version is not held any more.
    #[error("the snapshot is not held")]
    NotHeld,
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn is_within_bounds(&self) -> bool {
        match self {
            Message::ChangeFragment { index, count, bytes, .. } => index < count && fits(bytes),
            Message::PartFragment { index, count, bytes, .. } => index < count && fits(bytes),
            Message::PartRequest { missing, .. } => missing.len() <= MOST_REQUESTED,
            _ => true,
        }
    }
}

fn fits(bytes: &[u8]) -> bool {
    bytes.len() <= FRAGMENT_BYTES
}

/// The messages of a frame that are well-formed and within their bounds; whether all of them were.
pub fn decode(frame: &[u8]) -> (Vec<Message>, bool) {
    let (mut messages, whole) = fleet::frame::read::<Message>(frame);
    let read = messages.len();
    messages.retain(Message::is_within_bounds);
    let sound = whole && messages.len() == read;
    (messages, sound)
}
