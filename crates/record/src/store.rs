//! What is written: the rows of a batch in one transaction under a fencing token, the lease on a relay's
//! name, and the quarantine. Owns the rule by which two tellings of one message become one row: both are
//! merged by what outweighs what, so that the same telling again changes nothing. It must never make a second
//! row for a message, nor write a row under an epoch that is over.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{Attempt, Effect, Entry, Evidence, Final, Late, Micros};
use crate::sql::{Connection, Target, Value};
use crate::writer::{Claim, Failure};

/// A statement has to be answered within this of the moment it is sent.
const STATEMENT_WITHIN: Duration = Duration::from_secs(10);
/// Rows in one statement: the sizes that a batch is cut into, so that few statements are prepared.
const ROWS: [usize; 4] = [64, 16, 4, 1];

/// The record, open for writing.
pub struct Record {
    connection: Connection,
    relay: String,
}

const MESSAGE: [&str; 23] = [
    "id",
    "relay",
    "relays",
    "epoch",
    "class",
    "once",
    "tenant",
    "destination",
    "taken_at",
    "ended_at",
    "outcome",
    "effect",
    "attempts",
    "endpoint",
    "evidence",
    "evidence_text",
    "receipt_id",
    "receipt_mic",
    "receipt_disposition",
    "partner",
    "expected_mic",
    "body_length",
    "body_sha256",
];

const ATTEMPT: [&str; 12] = [
    "message",
    "relay",
    "taken_at",
    "attempt",
    "endpoint",
    "began_at",
    "ended_at",
    "result",
    "effect",
    "evidence",
    "evidence_text",
    "receipt_mic",
];

const EVENT: [&str; 7] = ["message", "kind", "source", "detail", "at", "effect", "mic"];

/// Two tellings of a message: a delivery outweighs all, else the later end counts; of the effect, what is
/// known outweighs a doubt, and a doubt outweighs never.
fn merge() -> String {
    let newer = "(excluded.outcome = 'delivered' AND record_message.outcome <> 'delivered') OR \
        ((excluded.outcome = 'delivered' OR record_message.outcome <> 'delivered') \
        AND excluded.ended_at >= record_message.ended_at)";
    let follows: Vec<String> = [
        "outcome",
        "endpoint",
        "evidence",
        "evidence_text",
        "receipt_id",
        "receipt_mic",
        "receipt_disposition",
    ]
    .iter()
    .map(|c| format!("{c} = CASE WHEN {newer} THEN excluded.{c} ELSE record_message.{c} END"))
    .collect();
    format!(
        "ON CONFLICT (id) DO UPDATE SET {}, \
         effect = CASE WHEN record_message.effect = 'took' OR excluded.effect = 'took' THEN 'took' \
         WHEN record_message.effect = 'in_doubt' OR excluded.effect = 'in_doubt' THEN 'in_doubt' \
         ELSE 'never' END, \
         relays = CASE WHEN REPLACE(',' || record_message.relays || ',', ',' || excluded.relay || ',', '') \
         = ',' || record_message.relays || ',' \
         THEN record_message.relays || ',' || excluded.relay ELSE record_message.relays END, \
         taken_at = CASE WHEN excluded.taken_at < record_message.taken_at \
         THEN excluded.taken_at ELSE record_message.taken_at END, \
         ended_at = CASE WHEN excluded.ended_at > record_message.ended_at \
         THEN excluded.ended_at ELSE record_message.ended_at END, \
         attempts = (SELECT COUNT(*) FROM record_attempt a WHERE a.message = record_message.id)",
        follows.join(", ")
    )
}

/// A doubt is settled by what came to light beside the end. A receipt settles only with the MIC that it must
/// have, and from the partner whom the message was for; and what a partner took is never settled otherwise by a statement that does not name it.
const SETTLE: &str = "UPDATE record_message SET effect = CASE WHEN EXISTS (SELECT 1 FROM record_event e \
    WHERE e.message = record_message.id AND e.effect = 'took' \
    AND (e.kind <> 'receipt' OR (e.mic = record_message.expected_mic \
    AND e.source = record_message.partner))) THEN 'took' \
    WHEN EXISTS (SELECT 1 FROM record_event e WHERE e.message = record_message.id \
    AND e.effect = 'never' AND e.kind = 'statement') THEN 'never' \
    ELSE effect END WHERE effect = 'in_doubt' AND id IN ";

impl Record {
    /// Connects and brings the schema up to date.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn open(target: &Target, relay: &str) -> Result<Self, Failure> {
        let mut connection = Connection::open(target, Instant::now() + STATEMENT_WITHIN).await?;
        connection.until(Instant::now() + STATEMENT_WITHIN);
        connection.migrate().await?;
        Ok(Record { connection, relay: relay.into() })
    }

    /// The connection, for questions.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.until(Instant::now() + STATEMENT_WITHIN);
        &mut self.connection
    }

    async fn execute(&mut self, sql: &str, values: &[Value]) -> Result<u64, Failure> {
        self.connection().execute(sql, values).await
    }

    /// Asks for the relay's name. It is free where nobody had it, where the same holder had it, who has the
    /// same state folder and so is dead, and where its holder gave no sign since `silent` was seen.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn claim(&mut self, holder: &str, silent: Option<(i64, i64)>) -> Result<Claim, Failure> {
        let relay: Value = self.relay.as_str().into();
        let found = "SELECT epoch, beat, holder FROM record_lease WHERE relay = $1";
        let rows = self.connection().rows(found, std::slice::from_ref(&relay)).await?;
        let Some([epoch, beat, held_by]) = rows.first().map(Vec::as_slice) else {
            let sql = "INSERT INTO record_lease (relay, epoch, holder, beat) VALUES ($1, 1, $2, 0) \
                ON CONFLICT (relay) DO NOTHING";
            let first = self.execute(sql, &[relay, holder.into()]).await? == 1;
            return if first {
                Ok(Claim::Held(1))
            } else {
                Err(Failure::Busy("the name was just taken".into()))
            };
        };
        let (epoch, beat) = (epoch.int().unwrap_or(0), beat.int().unwrap_or(0));
        if held_by.text() != Some(holder) && silent != Some((epoch, beat)) {
            return Ok(Claim::Other { epoch, beat });
        }
        let sql = "UPDATE record_lease SET epoch = $2, holder = $3, beat = 0 \
            WHERE relay = $1 AND epoch = $4 AND beat = $5";
        let values = [relay, (epoch + 1).into(), holder.into(), epoch.into(), beat.into()];
        match self.execute(sql, &values).await? {
            1 => Ok(Claim::Held(epoch + 1)),
            _ => Err(Failure::Busy("its holder gave a sign".into())),
        }
    }

    /// Gives a sign; fails where the name is held under another epoch. First in every transaction that writes:
    /// the row stays locked until its end, so that nobody can take the name in between.
    ///
    /// # Errors
    /// [`Failure::Fenced`], or by what can be done about it.
    pub async fn beat(&mut self, epoch: i64) -> Result<(), Failure> {
        let sql = "UPDATE record_lease SET beat = beat + 1 WHERE relay = $1 AND epoch = $2";
        let relay = self.relay.clone();
        match self.execute(sql, &[relay.as_str().into(), epoch.into()]).await? {
            1 => Ok(()),
            _ => Err(Failure::Fenced(format!(
                "another process holds the name {relay:?} (epoch {epoch} is over)"
            ))),
        }
    }

    /// Writes entries, all or none; at most one for each message.
    ///
    /// # Errors
    /// By what can be done about it. After [`Failure::Down`] they may have been written.
    pub async fn write(&mut self, epoch: i64, entries: &[&Entry]) -> Result<(), Failure> {
        self.connection().begin().await?;
        let result = async {
            self.beat(epoch).await?;
            self.rows_of(epoch, entries).await
        };
        let result = result.await;
        self.connection().end(result).await
    }

    async fn rows_of(&mut self, epoch: i64, entries: &[&Entry]) -> Result<(), Failure> {
        let (mut messages, mut attempts, mut events, mut doubts) = (vec![], vec![], vec![], vec![]);
        for entry in entries {
            match entry {
                Entry::Ended(end) => {
                    let taken_at = end.trace.taken_at;
                    let rows =
                        end.trace.attempts.iter().map(|a| attempt_row(&end.id, &self.relay, taken_at, a));
                    attempts.extend(rows);
                    messages.push(message_row(&self.relay, epoch, end));
                    if end.effect() == Effect::InDoubt {
                        doubts.push(end.id.clone());
                    }
                }
                Entry::Late(late) => {
                    events.push(event_row(late));
                    doubts.push(late.id.clone());
                }
            }
        }
        self.insert("record_attempt", &ATTEMPT, "ON CONFLICT DO NOTHING", attempts).await?;
        self.insert("record_event", &EVENT, "ON CONFLICT DO NOTHING", events).await?;
        self.insert("record_message", &MESSAGE, &merge(), messages).await?;
        self.settle(&doubts).await
    }

    /// Settles what can be settled of these messages.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn settle(&mut self, ids: &[String]) -> Result<(), Failure> {
        let mut rest = ids;
        while !rest.is_empty() {
            let size = ROWS.into_iter().find(|size| *size <= rest.len()).unwrap_or(1);
            let (now, later) = rest.split_at(size);
            let places: Vec<String> = (1..=size).map(|n| format!("${n}")).collect();
            let values: Vec<Value> = now.iter().map(|id| id.as_str().into()).collect();
            self.execute(&format!("{SETTLE}({})", places.join(", ")), &values).await?;
            rest = later;
        }
        Ok(())
    }

    async fn insert(
        &mut self, table: &str, columns: &[&str], conflict: &str, rows: Vec<Vec<Value>>,
    ) -> Result<(), Failure> {
        let mut rest = rows.as_slice();
        while !rest.is_empty() {
            let size = ROWS.into_iter().find(|size| *size <= rest.len()).unwrap_or(1);
            let (now, later) = rest.split_at(size);
            let width = columns.len();
            let row = |r: usize| {
                let places: Vec<String> = (1..=width).map(|c| format!("${}", r * width + c)).collect();
                format!("({})", places.join(", "))
            };
            let places: Vec<String> = (0..size).map(row).collect();
            let sql = format!(
                "INSERT INTO {table} ({}) VALUES {} {conflict}",
                columns.join(", "),
                places.join(", ")
            );
            self.execute(&sql, &now.concat()).await?;
            rest = later;
        }
        Ok(())
    }

    /// Sets an entry aside that the database refuses, so that it can be listed and replayed.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn set_aside(
        &mut self, epoch: i64, number: u64, now: Micros, reason: &str, entry: &Entry,
    ) -> Result<(), Failure> {
        self.connection().begin().await?;
        let result = async {
            self.beat(epoch).await?;
            let sql = "INSERT INTO record_quarantine (relay, message, number, at, reason, entry) \
                VALUES ($1, $2, $3, $4, $5, $6) ON CONFLICT DO NOTHING";
            let number = i64::try_from(number).unwrap_or(i64::MAX);
            let text = ascii(&String::from_utf8_lossy(&entry.encode()));
            let (relay, message) = (self.relay.clone(), ascii(entry.message()));
            let values =
                [relay.into(), message.into(), number.into(), now.into(), ascii(reason).into(), text.into()];
            self.execute(sql, &values).await.map(drop)
        };
        let result = result.await;
        self.connection().end(result).await
    }

    /// Tries again to write what was set aside; tells how many entries went in, and how many were refused.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn replay_set_aside(&mut self) -> Result<(usize, usize), Failure> {
        let sql = "SELECT relay, message, number, entry FROM record_quarantine ORDER BY at, number";
        let rows = self.connection().rows(sql, &[]).await?;
        let (mut done, mut refused) = (0, 0);
        for row in rows {
            let [relay, message, number, entry] = row.as_slice() else { continue };
            let Some(read) = entry.text().and_then(|text| Entry::decode(text.as_bytes())) else {
                refused += 1;
                continue;
            };
            self.relay = relay.to_string();
            self.connection().begin().await?;
            let result = async {
                self.rows_of(0, &[&read]).await?;
                let sql = "DELETE FROM record_quarantine WHERE relay = $1 AND message = $2 AND number = $3";
                self.execute(sql, &[relay.clone(), message.clone(), number.clone()]).await.map(drop)
            };
            let result = result.await;
            match self.connection().end(result).await {
                Ok(()) => done += 1,
                Err(Failure::Content(_)) => refused += 1,
                Err(failure) => return Err(failure),
            }
        }
        Ok((done, refused))
    }

    /// Imports what an older store held as finished, in portions; the same again changes nothing.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn import(&mut self, ends: Vec<Final>) -> Result<(), Failure> {
        let entries: Vec<Entry> = ends.into_iter().map(|end| Entry::Ended(Box::new(end))).collect();
        for portion in entries.chunks(ROWS[0]) {
            let portion: Vec<&Entry> = portion.iter().collect();
            self.connection().begin().await?;
            let result = self.rows_of(0, &portion).await;
            self.connection().end(result).await?;
        }
        Ok(())
    }

    /// Writes what a statement says, and settles the doubts that it settles.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn add_events(&mut self, events: &[Late]) -> Result<(), Failure> {
        for portion in events.chunks(ROWS[0]) {
            self.connection().begin().await?;
            let result = async {
                let rows = portion.iter().map(event_row).collect();
                self.insert("record_event", &EVENT, "ON CONFLICT DO NOTHING", rows).await?;
                let ids: Vec<String> = portion.iter().map(|late| late.id.clone()).collect();
                self.settle(&ids).await
            };
            let result = result.await;
            self.connection().end(result).await?;
        }
        Ok(())
    }

    /// Removes the oldest part of what is certain, to make room: rows in doubt stay. Tells how many messages.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn drop_oldest(&mut self, epoch: i64, before: Option<Micros>) -> Result<u64, Failure> {
        let before = match before {
            Some(before) => before,
            None => {
                // An eighth of what there is, by time.
                let sql = "SELECT CAST(MIN(ended_at) AS BIGINT), CAST(MAX(ended_at) AS BIGINT) FROM record_message WHERE effect <> 'in_doubt'";
                let rows = self.connection().rows(sql, &[]).await?;
                let ends = rows
                    .first()
                    .map(|row| (row.first().and_then(Value::int), row.get(1).and_then(Value::int)));
                let Some((Some(first), Some(last))) = ends else { return Ok(0) };
                first + ((last - first) / 8).max(1)
            }
        };
        self.connection().begin().await?;
        let result = async {
            self.beat(epoch).await?;
            prune(&mut self.connection, before).await
        };
        let result = result.await;
        self.connection().end(result).await
    }

    /// The same, by the operator's word, outside any lease.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn prune(&mut self, before: Micros) -> Result<u64, Failure> {
        self.connection().begin().await?;
        self.connection.until(Instant::now() + 6 * STATEMENT_WITHIN);
        let result = prune(&mut self.connection, before).await;
        self.connection().end(result).await
    }
}

async fn prune(connection: &mut Connection, before: Micros) -> Result<u64, Failure> {
    let old = "SELECT id FROM record_message WHERE ended_at < $1 AND effect <> 'in_doubt'";
    for table in ["record_attempt", "record_event"] {
        let sql = format!("DELETE FROM {table} WHERE message IN ({old})");
        connection.execute(&sql, &[before.into()]).await?;
    }
    let sql = "DELETE FROM record_message WHERE ended_at < $1 AND effect <> 'in_doubt'";
    connection.execute(sql, &[before.into()]).await
}

/// JSON text in ASCII alone, which no database refuses.
fn ascii(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut units = [0; 2];
    for c in text.chars() {
        match c {
            ' '..='~' => out.push(c),
            _ => c.encode_utf16(&mut units).iter().for_each(|unit| out.push_str(&format!("\\u{unit:04x}"))),
        }
    }
    out
}

fn evidence(evidence: &Evidence) -> [Value; 5] {
    let none = || Value::Text(None);
    match evidence {
        Evidence::None | Evidence::Imported => [evidence.kind().into(), none(), none(), none(), none()],
        Evidence::Status(line) => ["status".into(), line.as_str().into(), none(), none(), none()],
        Evidence::Receipt { message_id, mic, disposition } => [
            "receipt".into(),
            none(),
            message_id.as_str().into(),
            mic.as_str().into(),
            disposition.as_str().into(),
        ],
    }
}

fn message_row(relay: &str, epoch: i64, end: &Final) -> Vec<Value> {
    let imported = Evidence::Imported;
    let deciding = end.deciding();
    let shown = if end.imported { Some(&imported) } else { deciding.map(|attempt| &attempt.evidence) };
    let [kind, text, receipt_id, mic, disposition] = evidence(shown.unwrap_or(&Evidence::None));
    vec![
        end.id.as_str().into(),
        relay.into(),
        relay.into(),
        epoch.into(),
        end.class.as_str().into(),
        i64::from(end.once).into(),
        end.tenant.clone().into(),
        end.destination.into(),
        end.trace.taken_at.into(),
        end.ended_at().into(),
        end.outcome.word().into(),
        end.effect().word().into(),
        (end.trace.attempts.len() as i64).into(),
        deciding.map(|attempt| attempt.endpoint.clone()).into(),
        kind,
        text,
        receipt_id,
        mic,
        disposition,
        end.receipt.as_ref().map(|receipt| receipt.partner.clone()).into(),
        end.receipt.as_ref().map(|receipt| receipt.mic.clone()).into(),
        end.body_length.into(),
        end.body_sha256.as_str().into(),
    ]
}

fn attempt_row(id: &str, relay: &str, taken_at: Micros, attempt: &Attempt) -> Vec<Value> {
    let [kind, text, _, mic, disposition] = evidence(&attempt.evidence);
    vec![
        id.into(),
        relay.into(),
        taken_at.into(),
        i64::from(attempt.number).into(),
        attempt.endpoint.as_str().into(),
        attempt.began.into(),
        Value::Int(attempt.ended),
        attempt.result.as_str().into(),
        attempt.effect.word().into(),
        kind,
        if text.text().is_some() { text } else { disposition },
        mic,
    ]
}

fn event_row(late: &Late) -> Vec<Value> {
    vec![
        late.id.as_str().into(),
        late.kind.as_str().into(),
        late.source.as_str().into(),
        late.detail.as_str().into(),
        late.at.into(),
        late.effect.word().into(),
        late.mic.clone().into(),
    ]
}
