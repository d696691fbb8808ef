//! Encoding of records. Truncated records are never decoded.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Record, Stored};
use crate::exchange::{NonDeliveryReport, Receipt};
use crate::interface::Decision;

/// Tag of a message that was accepted with an idempotency key: the key follows, then the record without it.
const KEYED: u8 = b'K';

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// Appends the encoded record.
pub fn encode(record: &Record, out: &mut Vec<u8>) {
    match record {
        Record::Accepted(s) => {
            // The key precedes the record without a key, which is the one that earlier builds wrote.
            if let Some(key) = &s.idempotency_key {
                out.push(KEYED);
                put_bytes(out, key.as_str().as_bytes());
            }
            out.push(match (&s.terms, &s.trace) {
                (None, None) => b'T',
                (None, Some(_)) => b't',
                (Some(_), None) => b'C',
                (Some(_), Some(_)) => b'c',
            });
            put_bytes(out, s.id.as_bytes());
            put_bytes(out, s.class.as_bytes());
            out.push(u8::from(s.tenant.is_some()));
            put_bytes(out, s.tenant.as_deref().unwrap_or_default().as_bytes());
            out.extend_from_slice(&s.destination.to_le_bytes());
            out.extend_from_slice(&s.due.to_le_bytes());
            out.extend_from_slice(&s.attempts.to_le_bytes());
            out.push(u8::from(s.may_have_run));
            put_bytes(out, &s.body);
            put_optional_json(out, s.terms.as_ref());
            put_optional_json(out, s.trace.as_ref());
        }
        Record::Started { id, attempt, start } => {
            out.push(if start.is_some() { b's' } else { b'S' });
            put_bytes(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            put_optional_json(out, start.as_ref());
        }
        Record::Outcome { id, attempt, may_have_run, end } => {
            out.push(if end.is_some() { b'o' } else { b'O' });
            put_bytes(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            out.push(u8::from(*may_have_run));
            put_optional_json(out, end.as_ref());
        }
        Record::Decided { id, attempt, verdict } => {
            out.push(b'O');
            put_bytes(out, id.as_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
            out.push(verdict_to_byte(*verdict));
        }
        Record::Ended { id, notice } => {
            out.push(b'E');
            put_bytes(out, id.as_bytes());
            out.push(u8::from(notice.is_some()));
            out.push(u8::from(notice.as_ref().is_some_and(|notice| notice.handed_back)));
            let retry = notice.as_ref().and_then(|notice| notice.retry_in_ms);
            out.extend_from_slice(&retry.unwrap_or(u64::MAX).to_le_bytes());
        }
        Record::Acknowledged { id } => {
            out.push(b'A');
            put_bytes(out, id.as_bytes());
        }
        Record::Receipt(receipt) => {
            out.push(b'R');
            put_bytes(out, receipt.key.as_bytes());
            out.extend_from_slice(&receipt.at.to_le_bytes());
            out.extend_from_slice(&receipt.until.to_le_bytes());
            put_bytes(out, &receipt.bytes);
        }
        Record::Entry { number, bytes } => {
            out.push(b'X');
            out.extend_from_slice(&number.to_le_bytes());
            put_bytes(out, bytes);
        }
        Record::Recorded(numbers) => {
            out.push(b'Y');
            out.extend_from_slice(&(numbers.len() as u32).to_le_bytes());
            numbers.iter().for_each(|number| out.extend_from_slice(&number.to_le_bytes()));
        }
    }
}

// Values of a decision, in place of the flag in an outcome that the attempt may have run. Earlier builds, which only know
// that flag, read an outcome that may have run.
const DECIDED_DELIVERED: u8 = 2;
const DECIDED_OVER: u8 = 3;
const DECIDED_MAY_HAVE_ENDED: u8 = 4;
const DECIDED_SPENT: u8 = 5;
const DECIDED_SPENT_MAY_HAVE_RUN: u8 = 6;

fn verdict_to_byte(verdict: Decision) -> u8 {
    match verdict {
        Decision::Pending { may_have_run } => u8::from(may_have_run),
        Decision::Delivered => DECIDED_DELIVERED,
        Decision::EndedElsewhere => DECIDED_OVER,
        Decision::MayHaveEnded => DECIDED_MAY_HAVE_ENDED,
        Decision::AttemptsExhausted { may_have_run: false } => DECIDED_SPENT,
        Decision::AttemptsExhausted { may_have_run: true } => DECIDED_SPENT_MAY_HAVE_RUN,
    }
}

/// The decision that a byte represents. `None` if it is an outcome's flag.
fn verdict_from_byte(byte: u8) -> Option<Decision> {
    match byte {
        DECIDED_DELIVERED => Some(Decision::Delivered),
        DECIDED_OVER => Some(Decision::EndedElsewhere),
        DECIDED_MAY_HAVE_ENDED => Some(Decision::MayHaveEnded),
        DECIDED_SPENT => Some(Decision::AttemptsExhausted { may_have_run: false }),
        DECIDED_SPENT_MAY_HAVE_RUN => Some(Decision::AttemptsExhausted { may_have_run: true }),
        _ => None,
    }
}

/// Appends optional data as JSON, of which older and newer builds read the fields they know. Without data nothing is
/// appended, and the record's tag is the capital letter.
fn put_optional_json(out: &mut Vec<u8>, optional_json: Option<&impl Serialize>) {
    if let Some(optional_json) = optional_json {
        put_bytes(out, &serde_json::to_vec(optional_json).unwrap_or_default());
    }
}

/// Reads values from the front of a byte slice.
pub(super) struct Reader<'a>(pub(super) &'a [u8]);

impl<'a> Reader<'a> {
    pub(super) fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(length)?;
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
        let length = self.number()?;
        self.take(length as usize)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }

    /// Reads optional JSON data. `Some(None)` if a record with this tag has none.
    fn optional_json<T: DeserializeOwned>(&mut self, kind: u8) -> Option<Option<T>> {
        if kind.is_ascii_uppercase() {
            return Some(None);
        }
        serde_json::from_slice(self.bytes()?).ok().map(Some)
    }
}

/// Decodes a record. `None` if the bytes are not a complete record.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    let mut reader = Reader(bytes);
    let kind = reader.array::<1>()?[0];
    Some(match kind {
        b'T' | b't' | b'C' | b'c' => {
            let (id, class) = (reader.text()?, reader.text()?);
            let has_tenant = reader.flag()?;
            let tenant = Some(reader.text()?).filter(|_| has_tenant);
            let destination = i64::from_le_bytes(reader.array()?);
            let due = i64::from_le_bytes(reader.array()?);
            let attempts = reader.number()?;
            let may_have_run = reader.flag()?;
            let body = Bytes::copy_from_slice(reader.bytes()?);
            let terms = reader.optional_json(if matches!(kind, b'C' | b'c') { b'c' } else { b'T' })?;
            let trace = reader.optional_json(kind)?;
            Record::Accepted(Stored {
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
            let key = reader.text()?.parse().ok()?;
            match decode(reader.0)? {
                Record::Accepted(stored) if stored.idempotency_key.is_none() => {
                    Record::Accepted(Stored { idempotency_key: Some(key), ..stored })
                }
                _ => return None,
            }
        }
        b'S' | b's' => Record::Started {
            id: reader.text()?,
            attempt: reader.number()?,
            start: reader.optional_json(kind)?,
        },
        b'O' | b'o' => {
            let (id, attempt) = (reader.text()?, reader.number()?);
            let byte = reader.array::<1>()?[0];
            match verdict_from_byte(byte) {
                Some(verdict) if kind == b'O' => Record::Decided { id, attempt, verdict },
                _ => {
                    Record::Outcome { id, attempt, may_have_run: byte != 0, end: reader.optional_json(kind)? }
                }
            }
        }
        b'E' => {
            let id = reader.text()?;
            let (owed, handed_back) = (reader.flag()?, reader.flag()?);
            let retry = u64::from_le_bytes(reader.array()?);
            let retry_in_ms = Some(retry).filter(|retry| *retry != u64::MAX);
            let notice = owed.then(|| NonDeliveryReport { id: id.clone(), handed_back, retry_in_ms });
            Record::Ended { id, notice }
        }
        b'A' => Record::Acknowledged { id: reader.text()? },
        b'R' => Record::Receipt(Receipt {
            key: reader.text()?,
            at: i64::from_le_bytes(reader.array()?),
            until: i64::from_le_bytes(reader.array()?),
            bytes: Bytes::copy_from_slice(reader.bytes()?),
        }),
        b'X' => {
            let number = u64::from_le_bytes(reader.array()?);
            Record::Entry { number, bytes: Bytes::copy_from_slice(reader.bytes()?) }
        }
        b'Y' => {
            let length = reader.number()?;
            let numbers: Option<Vec<u64>> =
                (0..length).map(|_| reader.array().map(u64::from_le_bytes)).collect();
            Record::Recorded(numbers?)
        }
        _ => return None,
    })
}
