//! The record behind a running relay: what is recorded where the relay or the database dies between the
//! partner's answer and the row, what a client hears while the database is away, what an older store held, and
//! two processes of one name.

mod stand;

use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pg_standin::{Act, Mode, Server};
use stand::*;
use tulipfall::exchange::NonDeliveryReport;
use tulipfall::store::{Record, Stored, encode};

/// A relay with one destination, and its record.
struct Scene {
    folder: PathBuf,
    endpoint: TcpListener,
    server: Option<Server>,
    program: Option<Program>,
}

impl Scene {
    fn new(name: &str, postgres: bool) -> Self {
        let folder = folder(name);
        let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let server = postgres.then(|| Server::start(&folder.join("tables"), None).expect("a server"));
        Scene { folder, endpoint, server, program: None }
    }

    fn configuration(&self, state: &str, limits: &str) -> String {
        let store = match &self.server {
            Some(server) => format!("kind = \"postgres\"\nurl = \"{}\"", server.url()),
            None => "kind = \"sqlite\"".into(),
        };
        let endpoint = self.endpoint.local_addr().expect("an address");
        let text = format!(
            "name = \"n1\"\nlisten = \"127.0.0.1:0\"\nstate = \"{state}\"\n[store]\n{store}\n[limits]\n{limits}\n\
             [relay]\ncalls_at_once = 64\nmessages_held = 100\n\
             [[class]]\nname = \"paid-extra\"\neffect = \"once\"\naim_ms = 500\ndeadline_ms = 8000\n\
             [[class]]\nname = \"status-update\"\neffect = \"repeatable\"\naim_ms = 500\ndeadline_ms = 8000\n\
             [[tenant]]\nname = \"desk\"\n[[destination]]\nnumber = 1\nper_s = 500\nendpoints = [\"{endpoint}\"]\n"
        );
        let file = self.folder.join(format!("{state}.toml"));
        std::fs::write(&file, text).expect("a file");
        file.display().to_string()
    }

    fn start(&mut self) {
        let file = self.configuration("state", "disk_mb = 64");
        self.program = Some(Program::start(&["run", "--config", &file], &[], 1));
    }

    fn program(&mut self) -> &mut Program {
        self.program.as_mut().expect("it runs")
    }

    fn hand(&mut self, class: &str, id: &str) -> HttpMessage {
        let request = submit_request(class, id, 1, 6000, b"a charge");
        send_and_read(&mut connect(&self.program().addresses[0]), &request).expect("an answer")
    }

    /// Takes one call and answers it.
    fn answer(&self, with: &str) -> HttpMessage {
        let mut call = accept(&self.endpoint);
        let heard = read_http(&mut call).expect("a call");
        let _ = call.write_all(with.as_bytes());
        heard
    }

    /// The rows, once the condition holds: id, outcome, effect, attempts.
    fn rows(
        &self, enough: impl Fn(&[(String, String, String, i64)]) -> bool,
    ) -> Vec<(String, String, String, i64)> {
        let file = if self.server.is_some() { "tables" } else { "state/relay.sqlite" };
        let started = Instant::now();
        loop {
            let tables = rusqlite::Connection::open(self.folder.join(file)).expect("opens");
            let sql = "SELECT id, outcome, effect, attempts FROM record_message ORDER BY id";
            let rows = tables.prepare(sql).and_then(|mut statement| {
                let row = |row: &rusqlite::Row<'_>| Ok((row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?));
                statement.query_map([], row)?.collect::<Result<Vec<_>, _>>()
            });
            match rows {
                Ok(rows) if enough(&rows) => return rows,
                rows => assert!(started.elapsed() < TEST_TIMEOUT, "{rows:?}"),
            }
            std::thread::yield_now();
        }
    }

    fn one(&self) -> (String, String, String, i64) {
        self.rows(|rows| rows.len() == 1).remove(0)
    }

    fn copy(&self, from: &str, to: &str) {
        let to = self.folder.join(to);
        let _ = std::fs::remove_dir_all(&to);
        std::fs::create_dir_all(&to).expect("a folder");
        for entry in std::fs::read_dir(self.folder.join(from)).expect("a folder").flatten() {
            std::fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
        }
    }

    fn tool(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let file = self.folder.join("state.toml").display().to_string();
        let command = [&arguments[..1], &arguments[1..2], &["--config", &file], &arguments[2..]].concat();
        let output = Command::new(env!("CARGO_BIN_EXE_tulipfall")).args(command).output().expect("it runs");
        let said = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&said).into_owned())
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn row(id: &str, outcome: &str, effect: &str, attempts: i64) -> (String, String, String, i64) {
    (id.into(), outcome.into(), effect.into(), attempts)
}

/// The partner took it and answered, and the relay died before it heard: what may have run stays in doubt, and
/// is not sent again.
#[test]
fn a_kill_between_the_partners_answer_and_the_journal_leaves_a_doubt() {
    let mut scene = Scene::new("record-before-journal", false);
    scene.start();
    assert_eq!(scene.hand("paid-extra", "charge").status(), 202);
    let mut call = accept(&scene.endpoint);
    read_http(&mut call).expect("a call");
    scene.program().kill();
    let _ = call.write_all(OK.as_bytes());
    scene.start();
    assert_eq!(scene.one(), row("charge", "failed", "in_doubt", 1));
    scene.endpoint.set_nonblocking(true).expect("a socket");
    assert!(scene.endpoint.accept().is_err(), "nothing was sent again");
    let (code, said) = scene.tool(&["record", "show", "charge"]);
    assert!(code == Some(0) && said.contains("result open") && said.contains("evidence: none"), "{said}");
    let (code, said) = scene.tool(&["record", "query", "--effect", "in_doubt", "--format", "csv"]);
    assert!(code == Some(0) && said.lines().count() == 2, "{said}");
    assert_eq!(scene.tool(&["record", "verify"]).0, Some(0));
    let statement = scene.folder.join("house.csv");
    std::fs::write(&statement, "message\ncharge\n").expect("a file");
    let statement = statement.display().to_string();
    assert_eq!(scene.tool(&["record", "reconcile", "--statement", &statement]).0, Some(3));
    assert_eq!(scene.tool(&["record", "reconcile", "--statement", &statement, "--settle"]).0, Some(0));
    assert_eq!(scene.one(), row("charge", "failed", "took", 1));
    assert_eq!(scene.tool(&["record", "show", "nothing"]).0, Some(3));
    assert_eq!(scene.tool(&["record", "query", "--since", "yesterday"]).0, Some(2));
}

/// The journal has the end, and the record is told by the next process; and once more, where the next process
/// died before the journal heard that it was told.
#[test]
fn a_kill_between_the_journal_and_the_record_or_its_acknowledgement_makes_no_second_row() {
    let mut scene = Scene::new("record-after-journal", true);
    scene.start();
    assert_eq!(scene.hand("paid-extra", "first").status(), 202);
    scene.answer(OK);
    assert_eq!(scene.one(), row("first", "delivered", "took", 1));
    scene.server.as_ref().expect("a server").set(Mode::Refusing);
    assert_eq!(scene.hand("paid-extra", "charge").status(), 202);
    scene.answer(OK);
    // The journal holds the end as soon as the next message is answered, whose admission came after it.
    let journal = |scene: &Scene| {
        let files = std::fs::read_dir(scene.folder.join("state")).expect("a folder").flatten();
        files.flat_map(|file| std::fs::read(file.path()).expect("a file")).collect::<Vec<u8>>()
    };
    let started = Instant::now();
    let ended = b"\"outcome\":\"delivered\"";
    while journal(&scene).windows(ended.len()).filter(|window| window == ended).count() < 2 {
        assert!(started.elapsed() < TEST_TIMEOUT);
        std::thread::yield_now();
    }
    scene.program().kill();
    scene.copy("state", "before");
    scene.server.as_ref().expect("a server").set(Mode::Up);
    let both = [row("charge", "delivered", "took", 1), row("first", "delivered", "took", 1)];
    scene.start();
    assert_eq!(scene.rows(|rows| rows.len() == 2), both);
    scene.program().terminate();
    assert!(scene.program().wait_success());
    // What the process would have found, had it died before it noted that the record was told.
    scene.copy("before", "state");
    scene.start();
    scene.program().terminate();
    assert!(scene.program().wait_success());
    assert_eq!(scene.rows(|_| true), both);
}

/// A database that is slow, loses a commit on either side, or is away costs no message its answer or its end.
#[test]
fn the_relay_serves_on_while_the_database_fails() {
    let mut scene = Scene::new("record-serves", true);
    scene.start();
    let server = scene.server.take().expect("a server");
    let mut n = 0;
    let mut round = |scene: &mut Scene| {
        let slowest = (0..5).map(|_| {
            let since = Instant::now();
            assert_eq!(scene.hand("status-update", &format!("m{n}")).status(), 202);
            let taken = since.elapsed();
            scene.answer(OK);
            n += 1;
            taken
        });
        let slowest = slowest.max().expect("some");
        assert!(slowest < Duration::from_millis(1500), "no answer waits for a statement: {slowest:?}");
    };
    round(&mut scene);
    server.slow(Duration::from_secs(2));
    round(&mut scene);
    server.slow(Duration::ZERO);
    server.fault("COMMIT", 1, Act::CloseBefore);
    round(&mut scene);
    server.fault("COMMIT", 1, Act::CloseAfter);
    round(&mut scene);
    for mode in [Mode::Silent, Mode::Refusing] {
        server.set(mode);
        round(&mut scene);
    }
    server.set(Mode::Up);
    scene.server = Some(server);
    let rows = scene.rows(|rows| rows.len() == 30);
    assert!(rows.iter().all(|row| (row.1.as_str(), row.3) == ("delivered", 1)), "{rows:?}");
}

/// Where what waits for the record has used its room, new messages are refused at once, with when to come again;
/// what was taken on ends and is recorded.
#[test]
fn a_full_outbox_refuses_at_once_and_loses_nothing() {
    let mut scene = Scene::new("record-full", true);
    scene.start();
    scene.program().kill();
    let file = scene.configuration("state", "disk_mb = 5\nmemory_mb = 16");
    scene.server.as_ref().expect("a server").set(Mode::Refusing);
    scene.program = Some(Program::start(&["run", "--config", &file], &[], 1));
    let mut taken = 0;
    let refused = loop {
        let heard = scene.hand("status-update", &format!("m{taken:04}"));
        if heard.status() != 202 {
            break heard;
        }
        taken += 1;
        scene.answer(OK);
        assert!(taken < 5000, "the room is bounded");
    };
    assert_eq!(refused.status(), 503);
    let after: f64 = refused.header("Retry-After").expect("when to come").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert!(taken > 100, "{taken}");
    scene.server.as_ref().expect("a server").set(Mode::Up);
    let rows = scene.rows(|rows| rows.len() == taken);
    assert!(rows.iter().all(|row| row.1 == "delivered"), "{rows:?}");
    let started = Instant::now();
    while scene.hand("status-update", "again").status() != 202 {
        assert!(started.elapsed() < TEST_TIMEOUT, "there is room again");
    }
}

#[test]
fn a_second_process_of_a_name_or_a_folder_does_not_start() {
    let mut scene = Scene::new("record-second", true);
    scene.start();
    let other = scene.configuration("other", "disk_mb = 64");
    for (file, why) in [
        (scene.folder.join("state.toml").display().to_string(), "another process uses this state folder"),
        (other, "another process holds the name \"n1\""),
    ] {
        let run = Command::new(env!("CARGO_BIN_EXE_tulipfall")).args(["run", "--config", &file]).output();
        let run = run.expect("it runs");
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && said.contains(why), "{said}");
    }
    assert_eq!(scene.hand("paid-extra", "still").status(), 202, "the first serves on");
    scene.answer(OK);
    assert_eq!(scene.one(), row("still", "delivered", "took", 1));
}

/// Writes the table of the program before, as it would have left it.
fn old_table(file: &Path, records: &[(Record, bool)]) {
    let tables = rusqlite::Connection::open(file).expect("opens");
    let table = "CREATE TABLE tulipfall_records (relay TEXT NOT NULL, seq BIGINT NOT NULL, message TEXT NOT NULL, \
        kind TEXT NOT NULL, at BIGINT NOT NULL, finished INTEGER NOT NULL, record TEXT NOT NULL, \
        PRIMARY KEY (relay, seq))";
    tables.execute_batch(table).expect("a table");
    for (seq, (record, finished)) in records.iter().enumerate() {
        let mut bytes = Vec::new();
        encode(record, &mut bytes);
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let sql = "INSERT INTO tulipfall_records VALUES ('n1', ?1, ?2, 'x', 1000, ?3, ?4)";
        let values = rusqlite::params![seq as i64 + 1, record.id(), finished, hex];
        tables.execute(sql, values).expect("a row");
    }
}

#[test]
fn what_an_older_store_holds_goes_on_or_is_imported_and_nothing_is_dropped() {
    let mut scene = Scene::new("record-older", false);
    std::fs::create_dir_all(scene.folder.join("state")).expect("a folder");
    let due = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let due = due.as_micros() as i64 + 8_000_000;
    let taken = |id: &str, class: &str| {
        let (id, class, tenant) = (id.to_string(), class.to_string(), Some("desk".into()));
        let body = Bytes::from_static(b"old");
        let (attempts, may_have_run, trace) = (0, false, None);
        Record::Accepted(Stored {
            id,
            class,
            tenant,
            destination: 1,
            due,
            idempotency_key: None,
            body,
            attempts,
            may_have_run,
            terms: None,
            trace,
        })
    };
    let started = |id: &str| Record::Started { id: id.into(), attempt: 0, start: None };
    let ended = |id: &str, notice: Option<NonDeliveryReport>| Record::Ended { id: id.into(), notice };
    let notice = NonDeliveryReport { id: "handed back".into(), handed_back: true, retry_in_ms: None };
    let outcome = Record::Outcome { id: "handed back".into(), attempt: 0, may_have_run: false, end: None };
    let acknowledged = Record::Acknowledged { id: "handed back".into() };
    old_table(
        &scene.folder.join("state/relay.sqlite"),
        &[
            (taken("done", "paid-extra"), true),
            (started("done"), true),
            (ended("done", None), true),
            (taken("handed back", "status-update"), true),
            (started("handed back"), true),
            (outcome, true),
            (ended("handed back", Some(notice)), true),
            (acknowledged, true),
            // Its beginning went with the history.
            (ended("headless", None), true),
            (taken("open", "paid-extra"), false),
            (started("open"), false),
            (taken("waiting", "status-update"), false),
        ],
    );
    scene.start();
    assert_eq!(scene.answer(OK).body, b"old", "what waited goes on");
    let rows = scene.rows(|rows| rows.len() == 5);
    assert_eq!(
        rows,
        [
            row("done", "delivered", "in_doubt", 1),
            row("handed back", "refused", "never", 1),
            row("headless", "withdrawn", "never", 0),
            row("open", "failed", "in_doubt", 1),
            row("waiting", "delivered", "took", 1),
        ]
    );
    // Once is enough, also where the note of it was lost.
    scene.program().kill();
    std::fs::remove_file(scene.folder.join("state/record-taken-over")).expect("a note");
    scene.start();
    scene.program().terminate();
    assert!(scene.program().wait_success());
    assert_eq!(scene.rows(|_| true), rows);
    assert_eq!(scene.tool(&["record", "verify"]).0, Some(0));
}
