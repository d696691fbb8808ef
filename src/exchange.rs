//! The exchange: the one object in which the client's side and the endpoints' side meet, and what passes
//! between the fronts and the runtime about it. Owns the shape of a request, an attempt and its end, and the
//! clock. It must never know a wire, decide anything or do I/O.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::Bytes;
use record::model::Evidence;
use serde::{Deserialize, Serialize};

pub use crate::clock::Clock;

use crate::interface::{Effect, LimitReport, Micros, Outcome, TargetId, Verdict};
use crate::wire::RawEntry;

/// The key by which a destination recognises the repeats of a message of a keyed class. It is passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Box<str>);

/// Why a text is no idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdempotencyKeyError {
    /// It has no character.
    #[error("Idempotency-Key is empty")]
    Empty,
    /// It is longer than [`IdempotencyKey::MAX_BYTES`].
    #[error("Idempotency-Key is longer than {} bytes", IdempotencyKey::MAX_BYTES)]
    TooLong,
    /// It has a character that is not printable ASCII, so that a header could not carry it unchanged.
    #[error("Idempotency-Key has a character that is not printable ASCII")]
    NotPrintable,
}

impl IdempotencyKey {
    /// Length of the longest key, in bytes.
    pub const MAX_BYTES: usize = 255;

    /// The key, as it stands in a header.
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

/// A message on its way. Its deadline is absolute and travels with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The client's id, passed on unchanged.
    pub id: String,
    /// Its class, by name: which terms that stands for is settled as it is taken on.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// It may be delivered until then.
    pub due: Micros,
    /// Number of its destination.
    pub destination: i64,
    /// Its idempotency key, if its client gave one. A process of an earlier build hands over none.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body, passed on unchanged. Between processes it travels beside the rest.
    #[serde(skip)]
    pub body: Bytes,
}

/// What the client's side is told of a message handed in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Taken on: the relay owes it its end.
    Taken,
    /// It was taken on before, by whomever it was handed in then.
    TakenBefore,
    /// Fail-fast: handing it in again is harmless, best after so long.
    Refused(Cow<'static, str>, Option<Micros>),
    /// Its class went while it was on its way.
    Unknown,
    /// Given up at once; nobody hands it in again.
    Failed(Cow<'static, str>),
}

/// One attempt of an exchange.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    /// What is sent.
    pub exchange: Arc<Exchange>,
    /// Which attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// Where it listens, as far as this relay was told.
    pub address: Arc<str>,
    /// What shares its destination's limit and told waits: the number of the module's lane.
    pub lane: usize,
    /// What a repeat of the message does.
    pub effect: Effect,
    /// Its bytes go before then or not at all.
    pub start_by: Micros,
    /// The relay stops waiting then.
    pub deadline: Micros,
}

/// How an attempt was answered, as far as that is known before its end.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The message's id.
    pub id: String,
    /// Which attempt.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// What the answer means if it is the attempt's own.
    pub outcome: Outcome,
    /// When it was sent.
    pub began: Micros,
    /// When the whole answer had come.
    pub at: Micros,
    /// What the endpoint told of its limit.
    pub report: LimitReport,
}

/// What was heard of an attempt that has not ended, where it may end the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHeard {
    /// The message's id.
    pub id: String,
    /// Which attempt.
    pub attempt: u32,
    /// What it means for the message if nothing more comes.
    pub verdict: Verdict,
}

/// How an attempt ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "WrittenCallEnd", into = "WrittenCallEnd")]
pub struct CallEnd {
    /// The message's id.
    pub id: String,
    /// Which attempt.
    pub attempt: u32,
    /// The endpoint.
    pub target: TargetId,
    /// How it ended.
    pub outcome: Outcome,
    /// What that means for the message.
    pub verdict: Verdict,
    /// When it was sent.
    pub began: Micros,
    /// When its whole answer had come, if one did.
    pub answered: Option<Micros>,
    /// What the endpoint told of its limit.
    pub report: LimitReport,
    /// What was heard of it.
    pub evidence: Evidence,
}

/// [`CallEnd`] as processes tell each other, earlier builds included, which know `over` and no verdict.
#[derive(Serialize, Deserialize)]
struct WrittenCallEnd {
    id: String,
    attempt: u32,
    target: TargetId,
    outcome: Outcome,
    over: bool,
    #[serde(default)]
    verdict: Option<Verdict>,
    began: Micros,
    #[serde(default)]
    answered: Option<Micros>,
    report: LimitReport,
    evidence: Evidence,
}

impl From<WrittenCallEnd> for CallEnd {
    fn from(end: WrittenCallEnd) -> Self {
        let WrittenCallEnd { id, attempt, target, outcome, over, verdict, began, answered, report, evidence } =
            end;
        let verdict = verdict.unwrap_or(if over { Verdict::Over } else { outcome.verdict() });
        CallEnd { id, attempt, target, outcome, verdict, began, answered, report, evidence }
    }
}

impl From<CallEnd> for WrittenCallEnd {
    fn from(end: CallEnd) -> Self {
        let CallEnd { id, attempt, target, outcome, verdict, began, answered, report, evidence } = end;
        let (over, verdict) = (verdict.ended(), Some(verdict));
        WrittenCallEnd { id, attempt, target, outcome, over, verdict, began, answered, report, evidence }
    }
}

/// An entry of the destination set, with the address that this relay reaches it by.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its entry, named by the endpoint's `id`.
    pub entry: RawEntry,
    /// The endpoint's `id`.
    pub id: String,
    /// Its address.
    pub address: Arc<str>,
}

/// The end of a message that was taken on and not delivered, as the platform is told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The message's id.
    pub id: String,
    /// Handed back, where handing it in again is harmless; else given up.
    pub handed_back: bool,
    /// Advice to the client, in milliseconds.
    pub retry_in_ms: Option<u64>,
}

/// A receipt that was given or got, kept so that a duplicate is answered with the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Whom it concerns and what, as one text; a line end in it keeps it apart from ids of messages.
    pub key: String,
    /// When it was made or came.
    pub at: Micros,
    /// It is remembered until then.
    pub until: Micros,
    /// Its bytes.
    pub bytes: Bytes,
}
