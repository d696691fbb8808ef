//! Import of the records that an older program stored in the database, in the table `tulipfall_records`, with one row for
//! each record and its bytes as hexadecimal text. Unfinished records are written to the journal, finished messages become
//! rows of the current tables, and the old table stays unchanged. The import is idempotent, so that it may be interrupted at
//! any point.

use std::collections::HashMap;

use ::bytes::Bytes;
use openssl::sha::sha256;
use record::model::{Effect, Evidence, Final, Outcome, Trace, hex};
use record::store::Record as RecordStore;
use record::writer::Failure;

use super::index::Index;
use super::{Journal, Record, decode};
use crate::exchange::NonDeliveryReport;
use crate::interface::Micros;

/// Number of rows read by one query.
const PAGE_ROWS: i64 = 2000;
/// Number of finished messages written by one transaction.
const IMPORT_BATCH: usize = 512;

/// Counts of what was imported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Imported {
    /// Number of unfinished messages, non-delivery reports and receipts.
    pub unfinished: usize,
    /// Number of finished messages.
    pub finished: usize,
}

/// State of a message whose end has not been read yet.
#[derive(Default)]
struct PartialMessage {
    first: Micros,
    imported: Option<super::Stored>,
    trace: Option<Trace>,
    notice: Option<NonDeliveryReport>,
}

/// Imports the records of this relay.
///
/// # Errors
/// If the database fails, or a row cannot be decoded: no row is skipped.
pub async fn run(
    record_store: &mut RecordStore, relay: &str, journal: &mut Journal, now: Micros,
) -> Result<Imported, Failure> {
    let mut imported = Imported::default();
    if !record_store.connection().has_table("tulipfall_records").await? {
        return Ok(imported);
    }
    let done = "SELECT relay FROM record_takeover WHERE relay = $1";
    if !record_store.connection().rows(done, &[relay.into()]).await?.is_empty() {
        return Ok(imported);
    }
    let sql = "SELECT seq, at, finished, record FROM tulipfall_records WHERE relay = $1 AND seq > $2 \
        ORDER BY seq LIMIT $3";
    let (mut after, mut index, mut partial) =
        (-1, Index::default(), HashMap::<String, PartialMessage>::new());
    let mut ends = Vec::new();
    loop {
        let rows =
            record_store.connection().rows(sql, &[relay.into(), after.into(), PAGE_ROWS.into()]).await?;
        if rows.is_empty() {
            break;
        }
        for row in &rows {
            let [seq, at, finished, text] = row.as_slice() else { continue };
            after = seq.int().unwrap_or(after);
            let record = text.text().and_then(decode_hex).and_then(|bytes| decode(&bytes));
            let damaged = || Failure::Damaged(format!("tulipfall_records, relay {relay:?}, seq {after}"));
            let record = record.ok_or_else(damaged)?;
            // Finished messages are not part of the live state. Some of their rows may be missing, as old rows were deleted.
            if finished.int() != Some(1) {
                index.apply(&record, 0, 0, |_, _| ());
            } else if let Some(end) = finish(&mut partial, &record, at.int().unwrap_or(0)) {
                ends.push(end);
            }
        }
        if ends.len() >= IMPORT_BATCH {
            imported.finished += ends.len();
            record_store.import(std::mem::take(&mut ends)).await?;
        }
    }
    imported.finished += ends.len();
    record_store.import(ends).await?;
    let replay = index.replay();
    let known = journal.ids();
    let mut records = Vec::new();
    let decided = replay.decided.into_iter().map(|(stored, _)| stored);
    for stored in replay.messages.into_iter().chain(decided) {
        let open = stored.may_have_run || stored.attempts > 0;
        let trace = Some(Trace::new(now)).filter(|_| !open);
        records.push(Record::Accepted(super::Stored { trace, ..stored }));
    }
    let notices = replay.notices.into_iter();
    records.extend(notices.map(|notice| Record::Ended { id: notice.id.clone(), notice: Some(notice) }));
    records.extend(replay.receipts.into_iter().map(Record::Receipt));
    // An interrupted import may have left a part of them in the journal.
    records.retain(|record| !known.contains(record.id()));
    imported.unfinished = records.len();
    for portion in records.chunks(64) {
        journal.append(now, portion).map_err(|error| Failure::Full(error.to_string()))?;
    }
    let sql = "INSERT INTO record_takeover (relay, at, messages) VALUES ($1, $2, $3) ON CONFLICT DO NOTHING";
    let count = i64::try_from(imported.finished).unwrap_or(i64::MAX);
    record_store.connection().execute(sql, &[relay.into(), now.into(), count.into()]).await?;
    Ok(imported)
}

/// Applies a record of a finished message. Returns the message's end once it is read.
fn finish(partial: &mut HashMap<String, PartialMessage>, record: &Record, at: Micros) -> Option<Final> {
    let id = record.id().to_string();
    let message = partial
        .entry(id.clone())
        .or_insert_with(|| PartialMessage { first: at, ..PartialMessage::default() });
    let first = message.first;
    match record {
        Record::Accepted(stored) => message.imported = Some(stored.clone()),
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
            return partial.remove(&id).map(|message| end(id, message, at));
        }
        // The older store had no such record.
        Record::Decided { .. } => {}
        Record::Receipt(_) | Record::Entry { .. } | Record::Recorded(_) => {
            partial.remove(&id);
        }
    }
    None
}

/// The end of a message, as far as the old store recorded it. Deliveries and withdrawals left the same records there: with an
/// attempt in flight, it counts as a delivery whose effect is in doubt.
fn end(id: String, message: PartialMessage, at: Micros) -> Final {
    let PartialMessage { first, imported, trace, notice } = message;
    let trace = trace.unwrap_or_else(|| Trace::new(first));
    let open = trace.attempts.last().is_some_and(|attempt| attempt.ended.is_none());
    let outcome = match notice {
        Some(notice) if notice.handed_back => Outcome::Refused,
        Some(_) => Outcome::Failed,
        None if open => Outcome::Delivered,
        None => Outcome::Withdrawn,
    };
    let body = imported.as_ref().map_or_else(Bytes::new, |stored| stored.body.clone());
    Final {
        id,
        class: imported.as_ref().map_or_else(|| "unknown".into(), |stored| stored.class.clone()),
        // The class's effect was not stored: an effect that is not known to be idempotent counts as non-idempotent,
        // but the message is not checked against rules that were not recorded.
        once: false,
        tenant: imported.as_ref().and_then(|stored| stored.tenant.clone()),
        destination: imported.as_ref().map_or(-1, |stored| stored.destination),
        ended_at: at,
        outcome,
        receipt: None,
        body_length: i64::try_from(body.len()).unwrap_or(0),
        body_sha256: hex(&sha256(&body)),
        trace,
        imported: true,
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(pair).collect()).flatten()
}
