//! What an older program kept in the database: one row a record, the bytes as hexadecimal text, in
//! `tulipfall_records`. Owns the reading of that table. What is unfinished goes on in the journal, what is
//! finished becomes rows of the record, and the table stays as it is. The same again changes nothing, so that
//! it may be killed at any point.

use std::collections::HashMap;

use ::bytes::Bytes;
use openssl::sha::sha256;
use record::model::{Effect, Evidence, Final, Outcome, Trace, hex};
use record::store::Record as Book;
use record::writer::Failure;

use super::book::Book as Fold;
use super::{Journal, Record, decode};
use crate::exchange::NonDeliveryReport;
use crate::interface::Micros;

/// Rows read at once.
const PAGE: i64 = 2000;
/// Ends written at once.
const PORTION: usize = 512;

/// What was taken over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Messages, notices and receipts that go on.
    pub unfinished: usize,
    /// Messages that are over.
    pub finished: usize,
}

/// What is read of a message that may be finished.
#[derive(Default)]
struct Seen {
    first: Micros,
    taken: Option<super::Stored>,
    trace: Option<Trace>,
    notice: Option<NonDeliveryReport>,
}

/// Takes over what the table holds of this relay.
///
/// # Errors
/// Where the database fails, or a row cannot be read: nothing is passed over.
pub async fn run(book: &mut Book, relay: &str, journal: &mut Journal, now: Micros) -> Result<Taken, Failure> {
    let mut taken = Taken::default();
    if !book.connection().has_table("tulipfall_records").await? {
        return Ok(taken);
    }
    let done = "SELECT relay FROM record_takeover WHERE relay = $1";
    if !book.connection().rows(done, &[relay.into()]).await?.is_empty() {
        return Ok(taken);
    }
    let sql = "SELECT seq, at, finished, record FROM tulipfall_records WHERE relay = $1 AND seq > $2 \
        ORDER BY seq LIMIT $3";
    let (mut after, mut fold, mut seen) = (-1, Fold::default(), HashMap::<String, Seen>::new());
    let mut ends = Vec::new();
    loop {
        let rows = book.connection().rows(sql, &[relay.into(), after.into(), PAGE.into()]).await?;
        if rows.is_empty() {
            break;
        }
        for row in &rows {
            let [seq, at, finished, text] = row.as_slice() else { continue };
            after = seq.int().unwrap_or(after);
            let record = text.text().and_then(unhex).and_then(|bytes| decode(&bytes));
            let damaged = || Failure::Damaged(format!("tulipfall_records, relay {relay:?}, seq {after}"));
            let record = record.ok_or_else(damaged)?;
            // What is finished has no part in what goes on; its rows may be there in part, as history went.
            if finished.int() != Some(1) {
                fold.apply(&record, 0, 0, |_, _| ());
            } else if let Some(end) = finish(&mut seen, &record, at.int().unwrap_or(0)) {
                ends.push(end);
            }
        }
        if ends.len() >= PORTION {
            taken.finished += ends.len();
            book.import(std::mem::take(&mut ends)).await?;
        }
    }
    taken.finished += ends.len();
    book.import(ends).await?;
    let replay = fold.replay();
    let known = journal.ids();
    let mut records = Vec::new();
    let heard = replay.heard.into_iter().map(|(stored, _)| stored);
    for stored in replay.messages.into_iter().chain(heard) {
        let open = stored.may_have_run || stored.attempts > 0;
        let trace = Some(Trace::new(now)).filter(|_| !open);
        records.push(Record::Taken(super::Stored { trace, ..stored }));
    }
    let notices = replay.notices.into_iter();
    records.extend(notices.map(|notice| Record::Ended { id: notice.id.clone(), notice: Some(notice) }));
    records.extend(replay.receipts.into_iter().map(Record::Receipt));
    // A kill may have left a part of them in the journal.
    records.retain(|record| !known.contains(record.id()));
    taken.unfinished = records.len();
    for portion in records.chunks(64) {
        journal.append(now, portion).map_err(|error| Failure::Full(error.to_string()))?;
    }
    let sql = "INSERT INTO record_takeover (relay, at, messages) VALUES ($1, $2, $3) ON CONFLICT DO NOTHING";
    let count = i64::try_from(taken.finished).unwrap_or(i64::MAX);
    book.connection().execute(sql, &[relay.into(), now.into(), count.into()]).await?;
    Ok(taken)
}

/// Folds a record of a finished message; its end, once it is there.
fn finish(seen: &mut HashMap<String, Seen>, record: &Record, at: Micros) -> Option<Final> {
    let id = record.id().to_string();
    let message = seen.entry(id.clone()).or_insert_with(|| Seen { first: at, ..Seen::default() });
    let first = message.first;
    match record {
        Record::Taken(stored) => message.taken = Some(stored.clone()),
        Record::Started { attempt, .. } => {
            message.trace.get_or_insert_with(|| Trace::new(first)).started(*attempt, "unknown", at);
        }
        Record::Outcome { attempt, may_have_run, .. } => {
            let effect = if *may_have_run { Effect::InDoubt } else { Effect::Never };
            let trace = message.trace.get_or_insert_with(|| Trace::new(first));
            trace.ended(*attempt, at, "unknown", effect, Evidence::Imported);
        }
        Record::Ended { notice: Some(notice), .. } => {
            message.notice = Some(notice.clone());
            return None;
        }
        Record::Ended { notice: None, .. } | Record::Acknowledged { .. } => {
            return seen.remove(&id).map(|message| end(id, message, at));
        }
        // The older store knew no such record.
        Record::Heard { .. } => {}
        Record::Receipt(_) | Record::Entry { .. } | Record::Recorded(_) => {
            seen.remove(&id);
        }
    }
    None
}

/// The end of a message, as far as the old store told. A delivery and a withdrawal left the same there: where
/// an attempt was out, it counts as a delivery whose effect is in doubt.
fn end(id: String, message: Seen, at: Micros) -> Final {
    let Seen { first, taken, trace, notice } = message;
    let trace = trace.unwrap_or_else(|| Trace::new(first));
    let open = trace.attempts.last().is_some_and(|attempt| attempt.ended.is_none());
    let outcome = match notice {
        Some(notice) if notice.handed_back => Outcome::Refused,
        Some(_) => Outcome::Failed,
        None if open => Outcome::Delivered,
        None => Outcome::Withdrawn,
    };
    let body = taken.as_ref().map_or_else(Bytes::new, |stored| stored.body.clone());
    Final {
        id,
        class: taken.as_ref().map_or_else(|| "unknown".into(), |stored| stored.class.clone()),
        // Its class's effect was not kept: what is not known to be harmless counts as harmful, but is not
        // held to rules that were not recorded.
        once: false,
        tenant: taken.as_ref().and_then(|stored| stored.tenant.clone()),
        destination: taken.as_ref().map_or(-1, |stored| stored.destination),
        ended_at: at,
        outcome,
        receipt: None,
        body_length: i64::try_from(body.len()).unwrap_or(0),
        body_sha256: hex(&sha256(&body)),
        trace,
        imported: true,
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(pair).collect()).flatten()
}
