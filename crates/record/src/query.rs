//! Questions to the record: which messages, one message whole, whether every invariant holds, and how it
//! compares with a partner's statement. Owns the filters and the invariants. It must never change a row, but
//! for [`reconcile`] where it is told to settle doubts.

use std::collections::{HashMap, HashSet};
use std::io::Read;

use serde::Serialize;

use crate::model::{Effect, Late, Micros};
use crate::sql::{Connection, Row, Value};
use crate::store::Record;
use crate::writer::Failure;

/// Which messages are asked for; what is not set does not narrow.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Of this class.
    pub class: Option<String>,
    /// Of this tenant.
    pub tenant: Option<String>,
    /// For this destination.
    pub destination: Option<i64>,
    /// With this outcome.
    pub outcome: Option<String>,
    /// With this effect.
    pub effect: Option<String>,
    /// Recorded by this relay.
    pub relay: Option<String>,
    /// Ended at this time or later.
    pub since: Option<Micros>,
    /// Ended before this time.
    pub until: Option<Micros>,
    /// After this place in the order: the end and the id of the last row of the page before.
    pub after: Option<(Micros, String)>,
}

/// A message, as a question is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Message {
    /// Its id.
    pub id: String,
    /// Who recorded its end; all who told of it, where there are several.
    pub relays: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: i64,
    /// When it was taken on, in Unix microseconds.
    pub taken_at: Micros,
    /// When it ended, in Unix microseconds.
    pub ended_at: Micros,
    /// How it ended.
    pub outcome: String,
    /// What is known of its effect.
    pub effect: String,
    /// Attempts used.
    pub attempts: i64,
    /// The endpoint that answered last, or that took it.
    pub endpoint: Option<String>,
    /// What the outcome rests on: `status`, `receipt`, `imported` or `none`.
    pub evidence: String,
    /// The status line.
    pub evidence_text: Option<String>,
    /// The receipt's `Original-Message-ID`.
    pub receipt_id: Option<String>,
    /// Its MIC.
    pub receipt_mic: Option<String>,
    /// Its disposition.
    pub receipt_disposition: Option<String>,
    /// Bytes of the body.
    pub body_length: i64,
    /// SHA-256 of the body.
    pub body_sha256: String,
}

const COLUMNS: &str = "id, relays, class, tenant, destination, taken_at, ended_at, outcome, effect, attempts, \
    endpoint, evidence, evidence_text, receipt_id, receipt_mic, receipt_disposition, body_length, body_sha256";

impl Message {
    fn read(row: &Row) -> Self {
        let text = |i: usize| row.get(i).and_then(Value::text).map(String::from);
        let word = |i: usize| text(i).unwrap_or_default();
        let number = |i: usize| row.get(i).and_then(Value::int).unwrap_or_default();
        Message {
            id: word(0),
            relays: word(1),
            class: word(2),
            tenant: text(3),
            destination: number(4),
            taken_at: number(5),
            ended_at: number(6),
            outcome: word(7),
            effect: word(8),
            attempts: number(9),
            endpoint: text(10),
            evidence: word(11),
            evidence_text: text(12),
            receipt_id: text(13),
            receipt_mic: text(14),
            receipt_disposition: text(15),
            body_length: number(16),
            body_sha256: word(17),
        }
    }
}

impl Filter {
    fn clause(&self) -> (String, Vec<Value>) {
        let mut values: Vec<Value> = Vec::new();
        let mut parts = Vec::new();
        let mut add = |part: &str, value: Value| {
            values.push(value);
            parts.push(part.replace("{}", &format!("${}", values.len())));
        };
        let texts = [
            ("class = {}", &self.class),
            ("tenant = {}", &self.tenant),
            ("outcome = {}", &self.outcome),
            ("effect = {}", &self.effect),
            ("relay = {}", &self.relay),
        ];
        for (part, value) in texts {
            if let Some(value) = value {
                add(part, value.as_str().into());
            }
        }
        let numbers = [
            ("destination = {}", self.destination),
            ("ended_at >= {}", self.since),
            ("ended_at < {}", self.until),
        ];
        for (part, value) in numbers {
            if let Some(value) = value {
                add(part, value.into());
            }
        }
        if let Some((at, id)) = &self.after {
            // The first half lets the index find the place.
            add("ended_at >= {}", (*at).into());
            add("(ended_at > {}", (*at).into());
            if let Some(last) = parts.last_mut() {
                last.push_str(&format!(" OR id > ${})", values.len() + 1));
            }
            values.push(id.as_str().into());
        }
        let clause = if parts.is_empty() { String::new() } else { format!(" WHERE {}", parts.join(" AND ")) };
        (clause, values)
    }

    /// A page of what it finds, in the order of their ends, then ids.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn page(&self, connection: &mut Connection, most: usize) -> Result<Vec<Message>, Failure> {
        let (clause, mut values) = self.clause();
        values.push(i64::try_from(most).unwrap_or(i64::MAX).into());
        let sql = format!(
            "SELECT {COLUMNS} FROM record_message{clause} ORDER BY ended_at, id LIMIT ${}",
            values.len()
        );
        Ok(connection.rows(&sql, &values).await?.iter().map(Message::read).collect())
    }

    /// How many it finds, by outcome and effect.
    ///
    /// # Errors
    /// By what can be done about it.
    pub async fn count(&self, connection: &mut Connection) -> Result<Vec<(String, String, i64)>, Failure> {
        let (clause, values) = self.clause();
        let sql = format!(
            "SELECT outcome, effect, CAST(COUNT(*) AS BIGINT) FROM record_message{clause} \
             GROUP BY outcome, effect ORDER BY outcome, effect"
        );
        let row = |row: &Row| match row.as_slice() {
            [outcome, effect, n] => (outcome.to_string(), effect.to_string(), n.int().unwrap_or(0)),
            _ => Default::default(),
        };
        Ok(connection.rows(&sql, &values).await?.iter().map(row).collect())
    }
}

/// One message with all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Whole {
    /// Its row.
    pub message: Message,
    /// Its attempts, by column, in the order begun.
    pub attempts: Vec<HashMap<&'static str, serde_json::Value>>,
    /// What came to light beside its end.
    pub events: Vec<HashMap<&'static str, serde_json::Value>>,
}

async fn named(
    connection: &mut Connection, table: &str, columns: &[&'static str], order: &str, id: &str,
) -> Result<Vec<HashMap<&'static str, serde_json::Value>>, Failure> {
    let sql = format!("SELECT {} FROM {table} WHERE message = $1 ORDER BY {order}", columns.join(", "));
    let json = |value: &Value| match value {
        Value::Int(Some(number)) => serde_json::Value::from(*number),
        Value::Text(Some(text)) => serde_json::Value::from(text.as_str()),
        _ => serde_json::Value::Null,
    };
    let rows = connection.rows(&sql, &[id.into()]).await?;
    Ok(rows.iter().map(|row| columns.iter().copied().zip(row.iter().map(json)).collect()).collect())
}

/// Columns of an attempt and of an event, as they are shown.
pub const ATTEMPT_COLUMNS: [&str; 9] = [
    "relay",
    "attempt",
    "endpoint",
    "began_at",
    "ended_at",
    "result",
    "effect",
    "evidence_text",
    "receipt_mic",
];
/// See [`ATTEMPT_COLUMNS`].
pub const EVENT_COLUMNS: [&str; 6] = ["at", "kind", "source", "effect", "mic", "detail"];

/// One message, whole; `None` where there is none of that id.
///
/// # Errors
/// By what can be done about it.
pub async fn show(connection: &mut Connection, id: &str) -> Result<Option<Whole>, Failure> {
    let sql = format!("SELECT {COLUMNS} FROM record_message WHERE id = $1");
    let rows = connection.rows(&sql, &[id.into()]).await?;
    let Some(message) = rows.first().map(Message::read) else { return Ok(None) };
    let attempts =
        named(connection, "record_attempt", &ATTEMPT_COLUMNS, "taken_at, relay, attempt", id).await?;
    let events = named(connection, "record_event", &EVENT_COLUMNS, "at, kind", id).await?;
    Ok(Some(Whole { message, attempts, events }))
}

/// An invariant, and the statement that finds what breaks it.
pub struct Invariant {
    /// Its name.
    pub name: &'static str,
    /// What it says.
    pub says: &'static str,
    sql: &'static str,
}

/// All invariants of the record.
pub const INVARIANTS: [Invariant; 11] = [
    Invariant {
        name: "delivered-took",
        says: "a delivery took effect",
        sql: "SELECT id FROM record_message WHERE outcome = 'delivered' AND effect <> 'took' \
            AND evidence <> 'imported'",
    },
    Invariant {
        name: "delivered-evidence",
        says: "a delivery names the endpoint and the evidence that it rests on",
        sql: "SELECT id FROM record_message WHERE outcome = 'delivered' AND evidence <> 'imported' \
            AND (endpoint IS NULL OR evidence = 'none')",
    },
    Invariant {
        name: "never-ran",
        says: "what never ran has no attempt that may have run, unless a statement settled it",
        sql: "SELECT m.id FROM record_message m WHERE m.effect = 'never' AND EXISTS \
            (SELECT 1 FROM record_attempt a WHERE a.message = m.id AND a.effect <> 'never') AND NOT EXISTS \
            (SELECT 1 FROM record_event e WHERE e.message = m.id AND e.kind = 'statement' \
            AND e.effect = 'never')",
    },
    Invariant {
        name: "never-contradicted",
        says: "nothing that came to light says that what never ran took effect",
        sql: "SELECT m.id FROM record_message m JOIN record_event e ON e.message = m.id \
            WHERE m.effect = 'never' AND e.effect = 'took' \
            AND (e.kind <> 'receipt' OR (e.mic = m.expected_mic AND e.source = m.partner))",
    },
    Invariant {
        name: "doubt-open",
        says: "a doubt has an attempt behind it, and nothing that settles it",
        sql: "SELECT m.id FROM record_message m WHERE m.effect = 'in_doubt' AND m.evidence <> 'imported' AND \
            (NOT EXISTS (SELECT 1 FROM record_attempt a WHERE a.message = m.id AND a.effect <> 'never') \
            OR EXISTS (SELECT 1 FROM record_event e WHERE e.message = m.id AND e.effect = 'took' \
            AND (e.kind <> 'receipt' OR (e.mic = m.expected_mic AND e.source = m.partner))))",
    },
    Invariant {
        name: "attempts-counted",
        says: "a message's attempts are all there",
        sql: "SELECT m.id FROM record_message m WHERE m.attempts <> \
            (SELECT COUNT(*) FROM record_attempt a WHERE a.message = m.id)",
    },
    Invariant {
        name: "attempts-twelve",
        says: "a relay makes at most twelve attempts for a message",
        sql: "SELECT message FROM record_attempt GROUP BY message, relay, taken_at HAVING COUNT(*) > 12",
    },
    Invariant {
        name: "attempts-owned",
        says: "an attempt belongs to a message that ended",
        sql: "SELECT a.message FROM record_attempt a WHERE NOT EXISTS \
            (SELECT 1 FROM record_message m WHERE m.id = a.message)",
    },
    Invariant {
        name: "attempts-singly",
        says: "no two attempts of a message are out at once",
        sql: "SELECT a.message FROM record_attempt a JOIN record_attempt b ON b.message = a.message \
            AND b.relay = a.relay AND b.taken_at = a.taken_at AND b.attempt > a.attempt \
            WHERE a.ended_at > b.began_at",
    },
    Invariant {
        name: "once",
        says: "what must not take effect twice is not sent again once it may have run",
        sql: "SELECT m.id FROM record_message m JOIN record_attempt a ON a.message = m.id \
            JOIN record_attempt b ON b.message = m.id AND b.relay = a.relay AND b.taken_at = a.taken_at \
            AND b.attempt > a.attempt WHERE m.once = 1 AND a.effect <> 'never'",
    },
    Invariant {
        name: "once-elsewhere",
        says: "what must not take effect twice took effect through one relay at most",
        sql: "SELECT m.id FROM record_message m JOIN record_attempt a ON a.message = m.id \
            WHERE m.once = 1 AND a.effect = 'took' GROUP BY m.id HAVING COUNT(*) > 1",
    },
];

/// What breaks an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// Which.
    pub invariant: &'static str,
    /// What it says.
    pub says: &'static str,
    /// The messages, the first few of them.
    pub messages: Vec<String>,
}

/// Looks for what breaks an invariant; names at most so many messages for each.
///
/// # Errors
/// By what can be done about it.
pub async fn verify(connection: &mut Connection, most: usize) -> Result<Vec<Breach>, Failure> {
    let mut breaches = Vec::new();
    for Invariant { name, says, sql } in &INVARIANTS {
        let rows = connection.rows(&format!("{sql} LIMIT {most}"), &[]).await?;
        let messages: Vec<String> = rows.iter().filter_map(|row| Some(row.first()?.to_string())).collect();
        if !messages.is_empty() {
            breaches.push(Breach { invariant: name, says, messages });
        }
    }
    Ok(breaches)
}

/// What the quarantine holds: relay, message, when, why.
///
/// # Errors
/// By what can be done about it.
pub async fn quarantine(connection: &mut Connection) -> Result<Vec<Row>, Failure> {
    let sql = "SELECT relay, message, number, at, reason FROM record_quarantine ORDER BY at, number";
    connection.rows(sql, &[]).await
}

/// A statement that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum StatementError {
    /// A line is wrong.
    #[error("line {line}: {why}")]
    Line {
        /// Counted from 1.
        line: u64,
        /// What is wrong.
        why: String,
    },
    /// The record cannot be asked.
    #[error(transparent)]
    Record(#[from] Failure),
}

/// A partner's statement held against the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Reconciled {
    /// Both say that it took effect.
    pub agreed: u64,
    /// The record has it as taken, the statement does not name it.
    pub missing_there: Vec<String>,
    /// The statement names it, the record does not know it.
    pub missing_here: Vec<String>,
    /// The statement names it, the record has that it never ran.
    pub contradicted: Vec<String>,
    /// The statement names it more than once.
    pub twice_there: Vec<String>,
    /// In doubt; the statement names it, so that it took effect.
    pub settled_took: Vec<String>,
    /// In doubt, and the statement does not name it. It never ran, if the statement is complete.
    pub in_doubt: Vec<String>,
}

impl Reconciled {
    /// Nothing is to be looked into.
    pub fn clean(&self) -> bool {
        self.missing_there.is_empty()
            && self.missing_here.is_empty()
            && self.contradicted.is_empty()
            && self.twice_there.is_empty()
            && self.in_doubt.is_empty()
    }
}

/// Reads the ids of a statement: CSV with a header, of which the column `message` counts.
///
/// # Errors
/// The first line that cannot be read.
pub fn statement(read: impl Read) -> Result<HashMap<String, u64>, StatementError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(read);
    let wrong = |error: csv::Error| StatementError::Line {
        line: error.position().map_or(1, csv::Position::line),
        why: error.to_string(),
    };
    let header = reader.headers().map_err(wrong)?;
    let column = header.iter().position(|name| name.eq_ignore_ascii_case("message"));
    let why =
        || format!("the header has no column \"message\": {}", header.iter().collect::<Vec<_>>().join(","));
    let column = column.ok_or_else(|| StatementError::Line { line: 1, why: why() })?;
    let mut ids = HashMap::new();
    for record in reader.records() {
        let record = record.map_err(wrong)?;
        let id = record.get(column).unwrap_or_default();
        if id.is_empty() {
            let line = record.position().map_or(0, csv::Position::line);
            return Err(StatementError::Line { line, why: "the column \"message\" is empty".into() });
        }
        *ids.entry(id.to_string()).or_insert(0) += 1;
    }
    Ok(ids)
}

/// How many ids are asked about in one statement.
const ASKED: usize = 64;

/// Holds a statement against the record: messages of `filter` on one side, all that the statement names on the
/// other. With `settle`, doubts that it settles are settled; with `complete`, doubts that it does not name too.
///
/// # Errors
/// Where the record cannot be asked.
pub async fn reconcile(
    record: &mut Record, filter: &Filter, ids: &HashMap<String, u64>, source: &str, now: Micros,
    (settle, complete): (bool, bool),
) -> Result<Reconciled, Failure> {
    let mut found = Reconciled::default();
    let mut sorted: Vec<&String> = ids.keys().collect();
    sorted.sort();
    let mut known = HashSet::new();
    for portion in sorted.chunks(ASKED) {
        let places: Vec<String> = (1..=portion.len()).map(|n| format!("${n}")).collect();
        let sql = format!("SELECT id, effect FROM record_message WHERE id IN ({})", places.join(", "));
        let values: Vec<Value> = portion.iter().map(|id| id.as_str().into()).collect();
        for row in record.connection().rows(&sql, &values).await? {
            let (Some(id), Some(effect)) =
                (row.first().and_then(Value::text), row.get(1).and_then(Value::text))
            else {
                continue;
            };
            known.insert(id.to_string());
            match effect {
                "took" => found.agreed += 1,
                "never" => found.contradicted.push(id.into()),
                _ => found.settled_took.push(id.into()),
            }
        }
    }
    found.missing_here = sorted.iter().filter(|id| !known.contains(**id)).map(|id| (*id).clone()).collect();
    found.twice_there =
        sorted.iter().filter(|id| ids.get(**id).is_some_and(|n| *n > 1)).map(|id| (*id).clone()).collect();
    for effect in ["took", "in_doubt"] {
        let mut page = Filter { effect: Some(effect.into()), ..filter.clone() };
        loop {
            let messages = page.page(record.connection(), 1000).await?;
            let Some(last) = messages.last() else { break };
            page.after = Some((last.ended_at, last.id.clone()));
            let absent = messages.into_iter().map(|message| message.id).filter(|id| !ids.contains_key(id));
            if effect == "took" {
                found.missing_there.extend(absent);
            } else {
                found.in_doubt.extend(absent);
            }
        }
    }
    if settle {
        let event = |id: &String, effect| Late {
            id: id.clone(),
            at: now,
            kind: "statement".into(),
            source: source.into(),
            effect,
            mic: None,
            detail: if effect == Effect::Took { "named" } else { "not named" }.into(),
        };
        let took = found.settled_took.iter().map(|id| event(id, Effect::Took));
        let never = found.in_doubt.iter().filter(|_| complete).map(|id| event(id, Effect::Never));
        let events: Vec<Late> = took.chain(never).collect();
        record.add_events(&events).await?;
        if complete {
            found.in_doubt.clear();
        }
    }
    Ok(found)
}
