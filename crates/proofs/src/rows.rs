//! Rows in numbers: how fast entries are drained into a database, and how long a question takes among millions.

use std::path::Path;
use std::time::{Duration, Instant};

use record::model::{Effect, Entry, Evidence, Final, Outcome, Trace};
use record::query::Filter;
use record::service::{Options, start};
use record::sql::{Connection, Target};
use record::writer::Figures;
use tokio::sync::mpsc;

use crate::Failure;

/// An entry with one attempt, as most are.
pub fn entry(n: u64) -> Entry {
    let at = 1_790_000_000_000_000 + i64::try_from(n).unwrap_or(0) * 1000;
    let mut trace = Trace::new(at);
    trace.started(0, "127.0.0.1:9100", at + 100);
    trace.ended(0, at + 900, "ok", Effect::Took, Evidence::Status("HTTP/1.1 200".into()));
    Entry::Ended(Box::new(Final {
        id: format!("message-{n:012}"),
        class: if n.is_multiple_of(3) { "paid-extra" } else { "status-update" }.into(),
        once: n.is_multiple_of(3),
        tenant: Some("batinah-desks".into()),
        destination: i64::try_from(n % 29).unwrap_or(0),
        ended_at: at + 1000,
        outcome: Outcome::Delivered,
        receipt: None,
        body_length: 212,
        body_sha256: "0123456789abcdef".repeat(4),
        trace,
        imported: false,
    }))
}

/// Hands so many entries to a writer and waits until they are written; rows a second.
///
/// # Errors
/// Where the writer does not come to its end.
pub async fn drain(target: &Target, first: u64, n: u64) -> Result<f64, Failure> {
    let (tell, mut written) = mpsc::unbounded_channel();
    let options = Options {
        target: target.clone(),
        relay: "drain".into(),
        holder: "drain".into(),
        seed: 1,
        figures: Figures::default(),
        drop_oldest: false,
        keep: None,
    };
    let handle = start(options, tell)?;
    let mut standing = handle.standing();
    standing.wait_for(|standing| matches!(standing, record::service::Standing::Held(_))).await?;
    let since = Instant::now();
    (first..first + n).for_each(|number| handle.hand(number, entry(number)));
    let mut done = 0;
    while done < n {
        let more = tokio::time::timeout(Duration::from_secs(60), written.recv()).await?;
        done += more.ok_or("the writer ended")?.len() as u64;
    }
    Ok(n as f64 / since.elapsed().as_secs_f64())
}

/// Fills an SQLite record with so many messages over 30 days, by one statement; then times questions.
///
/// # Errors
/// Where the file cannot be filled or asked.
pub async fn query(file: &Path, rows: u64) -> Result<Vec<(String, Duration)>, Failure> {
    let far = tokio::time::Instant::now() + Duration::from_secs(3600);
    let target = Target::Sqlite { file: file.to_path_buf(), most_bytes: None };
    let mut connection = Connection::open(&target, far).await?;
    connection.migrate().await?;
    let day = 86_400_000_000_i64;
    let start = 1_790_000_000_000_000_i64;
    let step = 30 * day / i64::try_from(rows)?;
    let tables = rusqlite::Connection::open(file)?;
    tables.execute_batch("PRAGMA synchronous = OFF; PRAGMA cache_size = -400000;")?;
    tables.execute(
        "WITH RECURSIVE n(i) AS (SELECT 0 UNION ALL SELECT i + 1 FROM n WHERE i + 1 < ?1) \
         INSERT INTO record_message SELECT 'message-' || printf('%012d', i), 'n1', 'n1', 1, \
         CASE WHEN i % 3 = 0 THEN 'paid-extra' ELSE 'status-update' END, i % 3 = 0, 'batinah-desks', i % 29, \
         ?2 + i * ?3, ?2 + i * ?3 + 1000, CASE WHEN i % 50 = 0 THEN 'failed' ELSE 'delivered' END, \
         CASE WHEN i % 1000 = 0 THEN 'in_doubt' WHEN i % 50 = 0 THEN 'never' ELSE 'took' END, 1, \
         '127.0.0.1:9100', 'status', 'HTTP/1.1 200', NULL, NULL, NULL, NULL, NULL, 212, \
         '0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef' FROM n",
        rusqlite::params![i64::try_from(rows)?, start, step],
    )?;
    drop(tables);
    let within =
        |filter: Filter| Filter { since: Some(start + 14 * day), until: Some(start + 15 * day), ..filter };
    let asked = [
        ("a day, the first 50", within(Filter::default())),
        (
            "a day, one destination, the first 50",
            within(Filter { destination: Some(7), ..Filter::default() }),
        ),
        ("a day, what is in doubt", within(Filter { effect: Some("in_doubt".into()), ..Filter::default() })),
        (
            "a day, paid-extra that failed, the first 50",
            within(Filter {
                class: Some("paid-extra".into()),
                outcome: Some("failed".into()),
                ..Filter::default()
            }),
        ),
    ];
    let mut times = Vec::new();
    for (name, filter) in asked {
        // A process that asks once has nothing in its own cache.
        let mut fresh = Connection::open(&target, far).await?;
        let since = Instant::now();
        let found = filter.page(&mut fresh, 50).await?.len();
        times.push((format!("{name}: {found} rows"), since.elapsed()));
    }
    let mut fresh = Connection::open(&target, far).await?;
    let since = Instant::now();
    within(Filter::default()).count(&mut fresh).await?;
    times.push(("a day, counted by outcome and effect".into(), since.elapsed()));
    Ok(times)
}
