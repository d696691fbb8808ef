//! The exchange: the object shared by the client side and the endpoint side of a message, and the data that the fronts
//! and the runtime pass to each other about it: the request, its attempts and their ends. This module has no wire format,
//! no decisions and no I/O.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::Bytes;
use record::model::Evidence;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use crate::clock::Clock;

use crate::interface::{Decision, Effect, LimitReport, Micros, Outcome, TargetId};
use crate::wire::RawEntry;

/// The key by which a destination recognises retries of a message of a keyed class. It is passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Box<str>);

/// Reason why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdempotencyKeyError {
    /// The text is empty.
    #[error("Idempotency-Key is empty")]
    Empty,
    /// The text is longer than [`IdempotencyKey::MAX_BYTES`].
    #[error("Idempotency-Key is longer than {} bytes", IdempotencyKey::MAX_BYTES)]
    TooLong,
    /// The text has a character that is not printable ASCII, which a header could not carry unchanged.
    #[error("Idempotency-Key has a character that is not printable ASCII")]
    NotPrintable,
}

impl IdempotencyKey {
    /// Length of the longest key, in bytes.
    pub const MAX_BYTES: usize = 255;

    /// The key as written in the header.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::str::FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "" => Err(IdempotencyKeyError::Empty),
            _ if text.len() > Self::MAX_BYTES => Err(IdempotencyKeyError::TooLong),
            _ if !text.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic()) => {
                Err(IdempotencyKeyError::NotPrintable)
            }
            _ => Ok(IdempotencyKey(text.into())),
        }
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0.into()
    }
}

/// A message in the relay. Its deadline is absolute and is passed on with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The client's id, passed on unchanged.
    pub id: String,
    /// Name of the message's class. The class's settings are looked up when the message is accepted.
    pub class: String,
    /// Name of the message's tenant, if it has one.
    pub tenant: Option<String>,
    /// Deadline for delivery, in microseconds of the relay's clock.
    pub due: Micros,
    /// Number of the destination.
    pub destination: i64,
    /// The idempotency key, if the client gave one. Earlier builds do not hand it over.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body, passed on unchanged. A handover between processes sends it apart from the other fields.
    #[serde(skip)]
    pub body: Bytes,
}

impl Exchange {
    /// Whether another submission has the same content. The time until which it may be delivered may differ.
    pub fn has_same_content(&self, other: &Exchange) -> bool {
        let Exchange { id, class, tenant, destination, idempotency_key, body, due: _ } = self;
        (id, class, tenant, destination) == (&other.id, &other.class, &other.tenant, &other.destination)
            && (idempotency_key, body) == (&other.idempotency_key, &other.body)
    }

    /// The digest of the content: equal for two submissions whose content [is the same](Self::has_same_content).
    pub fn content_digest(&self) -> ContentDigest {
        let Exchange { id, class, tenant, destination, idempotency_key, body, due: _ } = self;
        let tenant = tenant.as_ref().map(String::as_bytes);
        let key = idempotency_key.as_ref().map(|key| key.as_str().as_bytes());
        let mut hasher = Sha256::new();
        hasher.update(destination.to_be_bytes());
        for field in [Some(id.as_bytes()), Some(class.as_bytes()), tenant, key, Some(body)] {
            // The length keeps fields apart, and an absent field from an empty one.
            hasher.update(field.map_or(u64::MAX, |bytes| bytes.len() as u64).to_be_bytes());
            hasher.update(field.unwrap_or_default());
        }
        let digest = hasher.finalize();
        let half =
            |from: usize| digest[from..from + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        ContentDigest(half(0), half(8))
    }
}

/// Digest of the content of a message: the first 16 bytes of a SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest(u64, u64);

/// Answer of the runtime to a submitted message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Accepted: the relay will deliver the message or report that it did not.
    #[serde(rename = "Taken")]
    Accepted,
    /// The same message was accepted before, whichever client submitted it.
    #[serde(rename = "TakenBefore")]
    AlreadyAccepted,
    /// Refused at once, with the reason. Submitting the message again is harmless, preferably after this delay in microseconds.
    Refused(Cow<'static, str>, Option<Micros>),
    /// The message's class was removed from the settings before the message arrived here.
    #[serde(rename = "Unknown")]
    UnknownClass,
    /// Given up at once, with the reason. The message must not be submitted again.
    Failed(Cow<'static, str>),
}

/// One attempt to deliver an exchange.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    /// The message to send.
    pub exchange: Arc<Exchange>,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// Address of the endpoint, as known to this relay.
    pub address: Arc<str>,
    /// Index of the send path, whose calls share a limit and server-requested waits.
    pub path: usize,
    /// Effect of a retry of the message.
    pub effect: Effect,
    /// The request is sent before this time or not at all, in microseconds of the relay's clock.
    pub start_by: Micros,
    /// Time at which the relay stops waiting for the answer, in microseconds of the relay's clock.
    pub deadline: Micros,
}

/// Answer to an attempt that has not ended yet, because the answer may be a copy of an earlier one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionalAnswer {
    /// The message's id.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// Outcome of the attempt if the answer belongs to it.
    pub outcome: Outcome,
    /// When the attempt was sent.
    pub began: Micros,
    /// When the complete answer had arrived.
    pub at: Micros,
    /// The endpoint's report on its limit.
    pub report: LimitReport,
}

/// What the answer received so far means for the message of an attempt that has not ended, if it may end the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvisionalDecision {
    /// The message's id.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The decision on the message if no more of the answer arrives.
    #[serde(rename = "verdict")]
    pub decision: Decision,
}

/// End of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "WrittenCallEnd", into = "WrittenCallEnd")]
pub struct CallEnd {
    /// The message's id.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What the end means for the message.
    pub decision: Decision,
    /// When the attempt was sent.
    pub began: Micros,
    /// When the complete answer had arrived, if one did.
    pub answered: Option<Micros>,
    /// The endpoint's report on its limit.
    pub report: LimitReport,
    /// Evidence of the outcome, for the record.
    pub evidence: Evidence,
}

/// Serialized form of [`CallEnd`] between processes. Earlier builds read and write `over` instead of `verdict`.
#[derive(Serialize, Deserialize)]
struct WrittenCallEnd {
    id: String,
    attempt: u32,
    target: TargetId,
    outcome: Outcome,
    #[serde(rename = "over")]
    ended: bool,
    #[serde(default, rename = "verdict")]
    decision: Option<Decision>,
    began: Micros,
    #[serde(default)]
    answered: Option<Micros>,
    report: LimitReport,
    evidence: Evidence,
}

impl From<WrittenCallEnd> for CallEnd {
    fn from(end: WrittenCallEnd) -> Self {
        let WrittenCallEnd {
            id,
            attempt,
            target,
            outcome,
            ended,
            decision,
            began,
            answered,
            report,
            evidence,
        } = end;
        let decision = decision.unwrap_or(if ended { Decision::EndedElsewhere } else { outcome.decision() });
        CallEnd { id, attempt, target, outcome, decision, began, answered, report, evidence }
    }
}

impl From<CallEnd> for WrittenCallEnd {
    fn from(end: CallEnd) -> Self {
        let CallEnd { id, attempt, target, outcome, decision, began, answered, report, evidence } = end;
        let (ended, decision) = (decision.is_ended(), Some(decision));
        WrittenCallEnd { id, attempt, target, outcome, ended, decision, began, answered, report, evidence }
    }
}

/// An endpoint of the destination set, with the address by which this relay reaches it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The set's entry of the endpoint, identified by `id`.
    pub entry: RawEntry,
    /// Id of the endpoint.
    pub id: String,
    /// Address of the endpoint.
    pub address: Arc<str>,
}

/// Non-delivery report: tells the platform that an accepted message ended without a delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NonDeliveryReport {
    /// The message's id.
    pub id: String,
    /// The message is handed back, because submitting it again is harmless; otherwise it is given up.
    pub handed_back: bool,
    /// Advised delay before the client submits the message again, in milliseconds.
    pub retry_in_ms: Option<u64>,
}

/// A receipt that was sent or received, kept so that a duplicate of its request gets the same receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Partner and message of the receipt in one text. It contains a line end, which no message id does, so that the two
    /// cannot collide.
    pub key: String,
    /// When the receipt was made or received.
    pub at: Micros,
    /// Time until which it is kept.
    pub until: Micros,
    /// The receipt's bytes.
    pub bytes: Bytes,
}
