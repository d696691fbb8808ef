//! The bytes of the record model, the same wherever they lie. Owns their layout. It must never take for a
//! record what is not a whole one.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Record, Stored};
use crate::exchange::{NonDeliveryReport, Receipt};
use crate::interface::Decision;

/// Kind of the record of a message that was accepted with an idempotency key: the key, then the record without it.
const KEYED: u8 = b'K';

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// The bytes of a record, the same in every backend.
pub fn encode(record: &Record, out: &mut Vec<u8>) {
    match record {
        Record::Taken(s) => {
            // Before the record as it is without a key, which is what earlier builds wrote.
            if let Some(key) = &s.idempotency_key {
                out.push(KEYED);
                put(out, key.as_str().as_bytes());
            }
            out.push(match (&s.terms, &s.trace) {
                (None, None) => b'T',
                (None, Some(_)) => b't',
                (Some(_), None) => b'C',
                (Some(_), Some(_)) => b'c',
            });
            put(out, s.id.as_bytes());
            put(out, s.class.as_bytes());
            out.push(u8::from(s.tenant.is_some()));
            put(out, s.tenant.as_deref().unwrap_or_default().as_bytes());
            out.extend_from_slice(&s.destination.to_le_bytes());
            out.extend_from_slice(&s.due.to_le_bytes());
            out.extend_from_slice(&s.attempts.to_le_bytes());
            out.push(u8::from(s.may_have_run));
            put(out, &s.body);
            put_told(out, s.terms.as_ref());
            put_told(out, s.trace.as_ref());
        }
        Record::Started { id, attempt, begun } => {
            out.push(if begun.is_some() { b's' } else { b'S' });
            put(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            put_told(out, begun.as_ref());
        }
        Record::Outcome { id, attempt, may_have_run, heard } => {
            out.push(if heard.is_some() { b'o' } else { b'O' });
            put(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            out.push(u8::from(*may_have_run));
            put_told(out, heard.as_ref());
        }
        Record::Heard { id, attempt, verdict } => {
            out.push(b'O');
            put(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            out.push(heard_byte(*verdict));
        }
        Record::Ended { id, notice } => {
            out.push(b'E');
            put(out, id.as_bytes());
            out.push(u8::from(notice.is_some()));
            out.push(u8::from(notice.as_ref().is_some_and(|notice| notice.handed_back)));
            let retry = notice.as_ref().and_then(|notice| notice.retry_in_ms);
            out.extend_from_slice(&retry.unwrap_or(u64::MAX).to_le_bytes());
        }
        Record::Acknowledged { id } => {
            out.push(b'A');
            put(out, id.as_bytes());
        }
        Record::Receipt(receipt) => {
            out.push(b'R');
            put(out, receipt.key.as_bytes());
            out.extend_from_slice(&receipt.at.to_le_bytes());
            out.extend_from_slice(&receipt.until.to_le_bytes());
            put(out, &receipt.bytes);
        }
        Record::Entry { number, bytes } => {
            out.push(b'X');
            out.extend_from_slice(&number.to_le_bytes());
            put(out, bytes);
        }
        Record::Recorded(numbers) => {
            out.push(b'Y');
            out.extend_from_slice(&(numbers.len() as u32).to_le_bytes());
            numbers.iter().for_each(|number| out.extend_from_slice(&number.to_le_bytes()));
        }
    }
}

/// What was heard, in the place of an outcome's flag that an attempt may have run. Earlier builds, which know only that flag, read
/// an outcome that may have run.
const HEARD_DELIVERED: u8 = 2;
const HEARD_OVER: u8 = 3;
const HEARD_MAY_HAVE_ENDED: u8 = 4;
const HEARD_SPENT: u8 = 5;
const HEARD_SPENT_MAY_HAVE_RUN: u8 = 6;

fn heard_byte(verdict: Decision) -> u8 {
    match verdict {
        Decision::Pending { may_have_run } => u8::from(may_have_run),
        Decision::Delivered => HEARD_DELIVERED,
        Decision::EndedElsewhere => HEARD_OVER,
        Decision::MayHaveEnded => HEARD_MAY_HAVE_ENDED,
        Decision::AttemptsExhausted { may_have_run: false } => HEARD_SPENT,
        Decision::AttemptsExhausted { may_have_run: true } => HEARD_SPENT_MAY_HAVE_RUN,
    }
}

/// The verdict that a byte stands for; `None` where it is an outcome's flag.
fn heard_verdict(byte: u8) -> Option<Decision> {
    match byte {
        HEARD_DELIVERED => Some(Decision::Delivered),
        HEARD_OVER => Some(Decision::EndedElsewhere),
        HEARD_MAY_HAVE_ENDED => Some(Decision::MayHaveEnded),
        HEARD_SPENT => Some(Decision::AttemptsExhausted { may_have_run: false }),
        HEARD_SPENT_MAY_HAVE_RUN => Some(Decision::AttemptsExhausted { may_have_run: true }),
        _ => None,
    }
}

/// What the record needs, and the terms of a class, as JSON, which an older or newer program reads as far as it knows it. Without a
/// record nothing is added, and the record's kind is the capital letter.
fn put_told(out: &mut Vec<u8>, told: Option<&impl Serialize>) {
    if let Some(told) = told {
        put(out, &serde_json::to_vec(told).unwrap_or_default());
    }
}

pub(super) struct Bits<'a>(pub(super) &'a [u8]);

impl<'a> Bits<'a> {
    pub(super) fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn flag(&mut self) -> Option<bool> {
        Some(self.array::<1>()?[0] != 0)
    }

    pub(super) fn number(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.number()?;
        self.take(n as usize)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }

    /// `Some(None)` where a record of this kind tells nothing more.
    fn told<T: DeserializeOwned>(&mut self, kind: u8) -> Option<Option<T>> {
        if kind.is_ascii_uppercase() {
            return Some(None);
        }
        serde_json::from_slice(self.bytes()?).ok().map(Some)
    }
}

/// Reads a record; `None` where the bytes are none.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let mut bits = Bits(bytes);
    let kind = bits.array::<1>()?[0];
    Some(match kind {
        b'T' | b't' | b'C' | b'c' => {
            let (id, class) = (bits.text()?, bits.text()?);
            let has_tenant = bits.flag()?;
            let tenant = Some(bits.text()?).filter(|_| has_tenant);
            let destination = i64::from_le_bytes(bits.array()?);
            let due = i64::from_le_bytes(bits.array()?);
            let attempts = bits.number()?;
            let may_have_run = bits.flag()?;
            let body = Bytes::copy_from_slice(bits.bytes()?);
            let terms = bits.told(if matches!(kind, b'C' | b'c') { b'c' } else { b'T' })?;
            let trace = bits.told(kind)?;
            Record::Taken(Stored {
                id,
                class,
                tenant,
                destination,
                due,
                idempotency_key: None,
                body,
                attempts,
                may_have_run,
                terms,
                trace,
            })
        }
        KEYED => {
            let key = bits.text()?.parse().ok()?;
            match decode(bits.0)? {
                Record::Taken(stored) if stored.idempotency_key.is_none() => {
                    Record::Taken(Stored { idempotency_key: Some(key), ..stored })
                }
                _ => return None,
            }
        }
        b'S' | b's' => Record::Started { id: bits.text()?, attempt: bits.number()?, begun: bits.told(kind)? },
        b'O' | b'o' => {
            let (id, attempt) = (bits.text()?, bits.number()?);
            let byte = bits.array::<1>()?[0];
            match heard_verdict(byte) {
                Some(verdict) if kind == b'O' => Record::Heard { id, attempt, verdict },
                _ => Record::Outcome { id, attempt, may_have_run: byte != 0, heard: bits.told(kind)? },
            }
        }
        b'E' => {
            let id = bits.text()?;
            let (owed, handed_back) = (bits.flag()?, bits.flag()?);
            let retry = u64::from_le_bytes(bits.array()?);
            let retry_in_ms = Some(retry).filter(|retry| *retry != u64::MAX);
            let notice = owed.then(|| NonDeliveryReport { id: id.clone(), handed_back, retry_in_ms });
            Record::Ended { id, notice }
        }
        b'A' => Record::Acknowledged { id: bits.text()? },
        b'R' => Record::Receipt(Receipt {
            key: bits.text()?,
            at: i64::from_le_bytes(bits.array()?),
            until: i64::from_le_bytes(bits.array()?),
            bytes: Bytes::copy_from_slice(bits.bytes()?),
        }),
        b'X' => {
            let number = u64::from_le_bytes(bits.array()?);
            Record::Entry { number, bytes: Bytes::copy_from_slice(bits.bytes()?) }
        }
        b'Y' => {
            let n = bits.number()?;
            let numbers: Option<Vec<u64>> = (0..n).map(|_| bits.array().map(u64::from_le_bytes)).collect();
            Record::Recorded(numbers?)
        }
        _ => return None,
    })
}
