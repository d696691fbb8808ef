//! A record in either database, and entries to write into it.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

use pg_standin::Server;
use record::model::*;
use record::sql::{Server as Postgres, Target};

/// A folder of its own for each test, emptied first.
pub fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// Runs to its end on a runtime of its own.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(work)
}

pub fn sqlite(folder: &Path) -> Target {
    Target::Sqlite { file: folder.join("relay.sqlite"), most_bytes: None }
}

pub fn postgres(server: &Server) -> Target {
    Target::Postgres(Box::new(Postgres::parse(&server.url(), None, None).expect("a URL")))
}

/// The same for both databases.
pub fn both(name: &str, run: impl Fn(Target)) {
    run(sqlite(&folder(&format!("{name}-sqlite"))));
    let server = Server::start(&folder(&format!("{name}-postgres")).join("tables"), None).expect("a server");
    run(postgres(&server));
}

/// The end of a message with one attempt for each effect given.
pub fn ended(id: &str, outcome: Outcome, effects: &[Effect]) -> Final {
    let mut trace = Trace::new(1000);
    for (n, effect) in (0..).zip(effects) {
        let began = 1001 + 10 * i64::from(n);
        trace.started(n, "127.0.0.1:9100", began);
        let result = if *effect == Effect::Took { "ok" } else { "other" };
        trace.ended(n, began + 5, result, *effect, Evidence::Status("HTTP/1.1 200".into()));
    }
    Final {
        id: id.into(),
        class: "paid-extra".into(),
        once: true,
        tenant: Some("desk's".into()),
        destination: 7,
        ended_at: 5000,
        outcome,
        receipt: None,
        body_length: 12,
        body_sha256: "ab".repeat(32),
        trace,
        imported: false,
    }
}

pub fn entry(end: Final) -> Entry {
    Entry::Ended(Box::new(end))
}

pub fn delivered(id: &str) -> Entry {
    entry(ended(id, Outcome::Delivered, &[Effect::Took]))
}

pub fn in_doubt(id: &str) -> Entry {
    entry(ended(id, Outcome::Failed, &[Effect::InDoubt]))
}

pub fn late(id: &str, kind: &str, effect: Effect, mic: Option<&str>) -> Entry {
    Entry::Late(Late {
        id: id.into(),
        at: 9000,
        kind: kind.into(),
        source: "HOUSE".into(),
        effect,
        mic: mic.map(String::from),
        detail: "processed".into(),
    })
}
