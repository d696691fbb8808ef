//! The store: what any cut of its bytes leaves, the limit on the disk, and the databases behind the same
//! record model. PostgreSQL is met by a stand-in that speaks its protocol.

mod stand;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;

use bytes::Bytes;
use stand::folder;
use tulipfall::exchange::Notice;
use tulipfall::store::*;

fn taken(id: &str, body: usize) -> Record {
    Record::Taken(Stored {
        id: id.into(),
        class: "paid-extra".into(),
        tenant: Some("desk's".into()),
        destination: -3,
        due: 1_800_000_000_000_000,
        body: Bytes::from(vec![b'x'; body]),
        attempts: 0,
        may_have_run: false,
    })
}

fn notice(id: &str, retry_in_ms: Option<u64>) -> Notice {
    Notice { id: id.into(), handed_back: retry_in_ms.is_some(), retry_in_ms }
}

/// One of each record, and what they come to.
fn records() -> Vec<Record> {
    let id = String::from;
    vec![
        taken("open", 10),
        Record::Started { id: id("open"), attempt: 0 },
        taken("never ran", 0),
        Record::Started { id: id("never ran"), attempt: 0 },
        Record::Outcome { id: id("never ran"), attempt: 0, may_have_run: false },
        taken("may have", 3),
        Record::Started { id: id("may have"), attempt: 0 },
        Record::Outcome { id: id("may have"), attempt: 0, may_have_run: true },
        taken("delivered", 100),
        Record::Ended { id: id("delivered"), notice: None },
        taken("owed", 100),
        Record::Ended { id: id("owed"), notice: Some(notice("owed", Some(500))) },
        taken("told", 1),
        Record::Ended { id: id("told"), notice: Some(notice("told", None)) },
        Record::Acknowledged { id: id("told") },
        Record::Receipt(Receipt {
            key: id("A\n<1@a>"),
            at: 1,
            until: i64::MAX,
            bytes: Bytes::from("mdn\0'"),
        }),
    ]
}

fn summary(replay: &Replay) -> Vec<String> {
    let messages = replay
        .messages
        .iter()
        .map(|m| format!("{}: {} attempts, may have run: {}", m.id, m.attempts, m.may_have_run));
    let notices = replay.notices.iter().map(|n| format!("{}: notice owed, {:?}", n.id, n.retry_in_ms));
    let receipts = replay.receipts.iter().map(|r| format!("{:?}: receipt of {} bytes", r.key, r.bytes.len()));
    messages.chain(notices).chain(receipts).collect()
}

const COME_TO: [&str; 5] = [
    "open: 1 attempts, may have run: true",
    "never ran: 1 attempts, may have run: false",
    "may have: 1 attempts, may have run: true",
    "owed: notice owed, Some(500)",
    "\"A\\n<1@a>\": receipt of 5 bytes",
];

#[test]
fn every_record_is_read_as_it_was_written() {
    for record in records() {
        let mut bytes = Vec::new();
        encode(&record, &mut bytes);
        assert_eq!(decode(&bytes), Some(record));
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), None, "a part is no record");
        }
    }
}

#[test]
fn a_kill_at_any_byte_leaves_a_journal_that_opens() {
    let whole = folder("journal-whole");
    let (mut journal, _) = Journal::open(&whole, 1_000_000).expect("opens");
    journal.append(0, &records()).expect("written");
    let (_, replay) = Journal::open(&whole, 1_000_000).expect("opens");
    assert_eq!(summary(&replay), COME_TO);
    let bytes = std::fs::read(whole.join("journal-1")).expect("a file");
    let cut = folder("journal-cut");
    let mut most = 0;
    for length in 0..=bytes.len() {
        let _ = std::fs::remove_dir_all(&cut);
        std::fs::create_dir_all(&cut).expect("a folder");
        std::fs::write(cut.join("journal-1"), &bytes[..length]).expect("a file");
        let (mut journal, replay) = Journal::open(&cut, 1_000_000).expect("a torn record is tolerated");
        let found = replay.messages.len() + replay.notices.len();
        // What was there stays through a write and another start.
        journal.append(0, &[taken("next", 5)]).expect("written");
        drop(journal);
        let (_, again) = Journal::open(&cut, 1_000_000).expect("opens");
        assert_eq!(again.messages.len() + again.notices.len(), found + 1);
        most = most.max(found);
    }
    assert!(most >= 4);
}

#[test]
fn damage_that_no_kill_explains_is_reported_by_place() {
    let whole = folder("journal-damaged");
    let (mut journal, _) = Journal::open(&whole, 1_000_000).expect("opens");
    journal.append(0, &records()).expect("written");
    let file = whole.join("journal-1");
    let mut bytes = std::fs::read(&file).expect("a file");
    bytes[20] ^= 1;
    std::fs::write(&file, bytes).expect("a file");
    let error = Journal::open(&whole, 1_000_000).expect_err("damage").to_string();
    assert!(error.contains("journal-1 is damaged at byte 0"), "{error}");
}

fn on_disk(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder").flatten();
    files.map(|file| file.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

/// Hundreds of messages of all sizes come and go, some stay long: the limit holds after each write, what was
/// admitted can always be ended, and a replay at any time tells what is held.
#[test]
fn the_limit_on_the_disk_holds_and_admitted_messages_can_end() {
    const LIMIT: u64 = 3_000_000;
    let place = folder("journal-limit");
    let (mut journal, _) = Journal::open(&place, LIMIT).expect("opens");
    let mut chance = 0x9E37_79B9_u64;
    let mut below = |n: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (chance >> 33) % n
    };
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    let (mut refused, mut admitted) = (0, 0);
    for n in 0..6000 {
        let size = if below(3) == 0 { 65_536 } else { below(2000) as usize };
        if held.len() < 240 && journal.room(size) {
            let id = format!("m-{n}");
            journal.append(0, &[taken(&id, size)]).expect("room was told");
            held.insert(id, 0);
            admitted += 1;
        } else {
            refused += 1;
        }
        if below(10) < 4 {
            // The oldest stays, so that nothing can be removed without noting it again.
            let at = 1 + below(held.len().max(2) as u64 - 1) as usize;
            if let Some((id, attempts)) = held.iter_mut().nth(at) {
                let id = id.clone();
                let last = *attempts >= 11 || below(2) == 0;
                let mut records = vec![
                    Record::Started { id: id.clone(), attempt: *attempts },
                    Record::Outcome { id: id.clone(), attempt: *attempts, may_have_run: false },
                ];
                *attempts += 1;
                if last {
                    records.push(Record::Ended { id: id.clone(), notice: Some(notice(&id, None)) });
                    records.push(Record::Acknowledged { id: id.clone() });
                    held.remove(&id);
                }
                journal.append(0, &records).expect("room to record ends is kept");
            }
        }
        assert!(journal.used() <= LIMIT);
        if n % 500 == 0 {
            assert!(on_disk(&place) <= LIMIT, "as the platform counts it");
            drop(journal);
            let (opened, replay) = Journal::open(&place, LIMIT).expect("opens");
            journal = opened;
            let found: BTreeMap<_, _> = replay.messages.into_iter().map(|m| (m.id, m.attempts)).collect();
            assert_eq!(found, held);
        }
    }
    assert!(refused > 100 && admitted > 1000, "{refused} refused, {admitted} admitted");
}

// ---- databases ----

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

#[test]
fn sqlite_replays_what_is_not_finished_and_keeps_the_rest_as_a_history() {
    let file = folder("sqlite").join("relay.sqlite");
    runtime().block_on(async {
        let day = 86_400_000_000;
        let (mut database, replay) = Database::sqlite(&file, "n1", 64_000_000, day, 0).await.expect("opens");
        assert_eq!(replay, Replay::default());
        database.append(10, &records()).await.expect("written");
        drop(database);
        let (mut database, replay) = Database::sqlite(&file, "n1", 64_000_000, day, 0).await.expect("opens");
        assert_eq!(summary(&replay), COME_TO);
        let rows = |database: &Path| {
            let connection = rusqlite::Connection::open(database).expect("opens");
            let count = "SELECT COUNT(*) FROM tulipfall_records WHERE finished = 1";
            connection.query_row(count, [], |row| row.get::<_, i64>(0)).expect("a count")
        };
        database.append(20, &[taken("next", 5)]).await.expect("written");
        drop(database);
        assert_eq!(rows(&file), 5, "two finished messages");
        let later = 2 * day;
        let (mut database, _) = Database::sqlite(&file, "n1", 64_000_000, day, later).await.expect("opens");
        database.append(later, &[taken("much later", 5)]).await.expect("written");
        drop(database);
        assert_eq!(rows(&file), 0, "the history is kept for so long");
        let (database, _) = Database::sqlite(&file, "n1", 250_000, day, later).await.expect("opens");
        assert!(database.room(100) && !database.room(65_536), "the limit is heeded");
    });
}

#[test]
fn the_history_in_a_database_file_yields_to_new_messages() {
    let file = folder("sqlite-full").join("relay.sqlite");
    runtime().block_on(async {
        let keep = 1 << 50;
        let (mut database, _) = Database::sqlite(&file, "n1", 1_000_000, keep, 0).await.expect("opens");
        database.append(0, &[taken("held", 2000)]).await.expect("written");
        for n in 0..1500 {
            assert!(database.room(2000), "message {n} is refused for the sake of those that are over");
            let id = format!("m-{n}");
            let ended = Record::Ended { id: id.clone(), notice: None };
            database.append(n, &[taken(&id, 2000), ended]).await.expect("written");
        }
        drop(database);
        assert!(std::fs::metadata(&file).expect("a file").len() < 500_000);
        let (_, replay) = Database::sqlite(&file, "n1", 1_000_000, keep, 0).await.expect("opens");
        assert_eq!(replay.messages.len(), 1, "what is held stays");
        // A smaller limit finds the file too full, and makes room at the start.
        let (database, _) = Database::sqlite(&file, "n1", 250_000, keep, 0).await.expect("opens");
        assert!(database.room(2000));
    });
}

/// A PostgreSQL server as far as the store needs one: start-up and simple queries of protocol 3.0, the tables
/// in SQLite. After `drop_after` queries it takes one more, carries it out and ends the connection unanswered.
fn postgres(file: std::path::PathBuf, mut drop_after: Option<usize>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let port = listener.local_addr().expect("an address").port();
    std::thread::spawn(move || {
        let tables = rusqlite::Connection::open(file).expect("opens");
        for mut stream in listener.incoming().flatten() {
            let _ = speak(&mut stream, &tables, &mut drop_after);
        }
    });
    port
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn speak(
    stream: &mut TcpStream, tables: &rusqlite::Connection, drop_after: &mut Option<usize>,
) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    loop {
        let mut kind = [0];
        stream.read_exact(&mut kind)?;
        stream.read_exact(&mut length)?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut body)?;
        if kind[0] != b'Q' {
            return Ok(());
        }
        let sql = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let mut reply = Vec::new();
        if sql.starts_with("SELECT") {
            let field = |name: &[u8]| [name, &[0; 7], &25_u32.to_be_bytes(), &[0xFF; 6], &[0; 2]].concat();
            let fields = [&2_u16.to_be_bytes()[..], &field(b"seq"), &field(b"record")].concat();
            reply.extend(message(b'T', &fields));
            let mut statement = tables.prepare(&sql).expect("a statement");
            let rows = statement.query_map([], |row| Ok((row.get::<_, i64>(0)?, row.get::<_, String>(1)?)));
            for (seq, record) in rows.expect("rows").flatten() {
                let mut row = 2_u16.to_be_bytes().to_vec();
                for text in [seq.to_string(), record] {
                    row.extend((text.len() as u32).to_be_bytes());
                    row.extend(text.as_bytes());
                }
                reply.extend(message(b'D', &row));
            }
        } else if !sql.starts_with("SET") {
            tables.execute_batch(&sql).expect("sound SQL");
        }
        match drop_after {
            Some(0) => {
                *drop_after = None;
                return Ok(());
            }
            Some(n) => *n -= 1,
            None => {}
        }
        reply.extend(message(b'C', b"OK\0"));
        reply.extend(&ready);
        stream.write_all(&reply)?;
    }
}

#[test]
fn postgresql_replays_the_same_and_a_write_whose_answer_is_lost_is_not_doubled() {
    let file = folder("postgres").join("tables");
    runtime().block_on(async {
        let address = |port| format!("host=127.0.0.1 port={port} user=relay dbname=relay");
        // Start-up takes four queries; the first write is then carried out and its answer lost.
        let port = postgres(file.clone(), Some(4));
        let opened = Database::postgres(&address(port), "n1", 1 << 50, 0).await;
        let (mut database, replay) = opened.expect("opens");
        assert_eq!(replay, Replay::default());
        database.append(10, &records()).await.expect("written, on a second connection");
        database.append(11, &[]).await.expect("nothing to write");
        drop(database);
        let count = rusqlite::Connection::open(&file).expect("opens");
        let rows = "SELECT COUNT(*) FROM tulipfall_records";
        let rows: i64 = count.query_row(rows, [], |row| row.get(0)).expect("a count");
        assert_eq!(rows as usize, records().len(), "each record once");
        let (_, replay) = Database::postgres(&address(port), "n1", 1 << 50, 0).await.expect("opens");
        assert_eq!(summary(&replay), COME_TO);
        let (_, other) = Database::postgres(&address(port), "n2", 1 << 50, 0).await.expect("opens");
        assert_eq!(other, Replay::default(), "another relay's rows are its own");
    });
}
