//! The store: what any cut of its bytes leaves, the limit on the disk, and what waits in it for the record.

mod stand;

use std::collections::BTreeMap;
use std::path::Path;

use bytes::Bytes;
use record::model::{Effect, Evidence, Trace};
use stand::folder;
use tulipfall::exchange::{Notice, Receipt};
use tulipfall::interface::{Class, Verdict};
use tulipfall::store::*;

fn room(limit: u64) -> Room {
    Room { limit, to_end: TO_END }
}

fn taken(id: &str, body: usize) -> Record {
    Record::Taken(Stored {
        id: id.into(),
        class: "paid-extra".into(),
        tenant: Some("desk's".into()),
        destination: -3,
        due: 1_800_000_000_000_000,
        idempotency_key: None,
        body: Bytes::from(vec![b'x'; body]),
        attempts: 0,
        may_have_run: false,
        terms: None,
        trace: None,
    })
}

/// The same message, accepted with an idempotency key.
fn with_key(record: Record, key: &str) -> Record {
    let Record::Taken(stored) = record else { panic!("another record") };
    Record::Taken(Stored { idempotency_key: Some(key.parse().expect("a key")), ..stored })
}

fn terms() -> Class {
    let effect = tulipfall::interface::Effect::NonIdempotent;
    Class { value: 3.0, aim: 2, deadline: 16, late_fraction: 0.3, effect, in_order: false }
}

fn notice(id: &str, retry_in_ms: Option<u64>) -> Notice {
    Notice { id: id.into(), handed_back: retry_in_ms.is_some(), retry_in_ms }
}

/// One of each record, and what they come to.
fn records() -> Vec<Record> {
    let id = String::from;
    vec![
        taken("open", 10),
        Record::Started { id: id("open"), attempt: 0, begun: None },
        taken("never ran", 0),
        Record::Started { id: id("never ran"), attempt: 0, begun: None },
        Record::Outcome { id: id("never ran"), attempt: 0, may_have_run: false, heard: None },
        taken("may have", 3),
        Record::Started { id: id("may have"), attempt: 0, begun: None },
        Record::Outcome { id: id("may have"), attempt: 0, may_have_run: true, heard: None },
        taken("heard", 3),
        Record::Started { id: id("heard"), attempt: 0, begun: None },
        Record::Heard { id: id("heard"), attempt: 0, verdict: Verdict::Delivered },
        taken("heard over, then settled", 3),
        Record::Started { id: id("heard over, then settled"), attempt: 0, begun: None },
        Record::Heard { id: id("heard over, then settled"), attempt: 0, verdict: Verdict::MayHaveEnded },
        Record::Outcome { id: id("heard over, then settled"), attempt: 0, may_have_run: false, heard: None },
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
        Record::Entry { number: 7, bytes: Bytes::from("seven") },
        Record::Entry { number: 8, bytes: Bytes::from("eight") },
        Record::Entry { number: 9, bytes: Bytes::from("nine") },
        Record::Recorded(vec![7, 9]),
    ]
}

/// A message with a life, and what is told of its attempts.
fn traced() -> Vec<Record> {
    let Record::Taken(plain) = taken("traced", 5) else { return vec![] };
    let begun = |at| Some(Begun { at, endpoint: "127.0.0.1:1".into() });
    let heard = Some(Heard {
        at: 3,
        result: "full".into(),
        effect: Effect::Never,
        evidence: Evidence::Status("HTTP/1.1 429".into()),
    });
    let id = || "traced".to_string();
    vec![
        Record::Taken(Stored { terms: Some(terms()), ..plain.clone() }),
        Record::Taken(Stored { trace: Some(Trace::new(1)), terms: Some(terms()), ..plain }),
        Record::Started { id: id(), attempt: 0, begun: begun(2) },
        Record::Outcome { id: id(), attempt: 0, may_have_run: false, heard },
        Record::Started { id: id(), attempt: 1, begun: begun(4) },
    ]
}

fn summary(replay: &Replay) -> Vec<String> {
    let messages = replay
        .messages
        .iter()
        .map(|m| format!("{}: {} attempts, may have run: {}", m.id, m.attempts, m.may_have_run));
    let heard = replay.heard.iter().map(|(m, verdict)| format!("{}: heard, {}", m.id, verdict.word()));
    let notices = replay.notices.iter().map(|n| format!("{}: notice owed, {:?}", n.id, n.retry_in_ms));
    let receipts = replay.receipts.iter().map(|r| format!("{:?}: receipt of {} bytes", r.key, r.bytes.len()));
    let entries = replay.entries.iter().map(|(n, bytes)| format!("entry {n} of {} bytes", bytes.len()));
    messages.chain(heard).chain(notices).chain(receipts).chain(entries).collect()
}

const COME_TO: [&str; 8] = [
    "open: 1 attempts, may have run: true",
    "never ran: 1 attempts, may have run: false",
    "may have: 1 attempts, may have run: true",
    "heard over, then settled: 1 attempts, may have run: false",
    "heard: heard, delivered",
    "owed: notice owed, Some(500)",
    "\"A\\n<1@a>\": receipt of 5 bytes",
    "entry 8 of 5 bytes",
];

#[test]
fn every_record_is_read_as_it_was_written() {
    for record in records().into_iter().chain(traced()) {
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
    let (mut journal, _) = Journal::open(&whole, room(1_000_000)).expect("opens");
    journal.append(0, &records()).expect("written");
    let (_, replay) = Journal::open(&whole, room(1_000_000)).expect("opens");
    assert_eq!(summary(&replay), COME_TO);
    let bytes = std::fs::read(whole.join("journal-1")).expect("a file");
    let cut = folder("journal-cut");
    let mut most = 0;
    for length in 0..=bytes.len() {
        let _ = std::fs::remove_dir_all(&cut);
        std::fs::create_dir_all(&cut).expect("a folder");
        std::fs::write(cut.join("journal-1"), &bytes[..length]).expect("a file");
        let (mut journal, replay) = Journal::open(&cut, room(1_000_000)).expect("a torn record is tolerated");
        let found = replay.messages.len() + replay.notices.len();
        // What was there stays through a write and another start.
        journal.append(0, &[taken("next", 5)]).expect("written");
        drop(journal);
        let (_, again) = Journal::open(&cut, room(1_000_000)).expect("opens");
        assert_eq!(again.messages.len() + again.notices.len(), found + 1);
        most = most.max(found);
    }
    assert!(most >= 4);
}

#[test]
fn damage_that_no_kill_explains_is_reported_by_place() {
    let whole = folder("journal-damaged");
    let (mut journal, _) = Journal::open(&whole, room(1_000_000)).expect("opens");
    journal.append(0, &records()).expect("written");
    let file = whole.join("journal-1");
    let mut bytes = std::fs::read(&file).expect("a file");
    bytes[20] ^= 1;
    std::fs::write(&file, bytes).expect("a file");
    let error = Journal::open(&whole, room(1_000_000)).expect_err("damage").to_string();
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
    let (mut journal, _) = Journal::open(&place, room(LIMIT)).expect("opens");
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
                    Record::Started { id: id.clone(), attempt: *attempts, begun: None },
                    Record::Outcome { id: id.clone(), attempt: *attempts, may_have_run: false, heard: None },
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
            let (opened, replay) = Journal::open(&place, room(LIMIT)).expect("opens");
            journal = opened;
            let found: BTreeMap<_, _> = replay.messages.into_iter().map(|m| (m.id, m.attempts)).collect();
            assert_eq!(found, held);
        }
    }
    assert!(refused > 100 && admitted > 1000, "{refused} refused, {admitted} admitted");
}

/// What waits for the record survives compaction, and the life of a message does with its open attempt.
const VERDICTS: [Verdict; 5] = [
    Verdict::Delivered,
    Verdict::Over,
    Verdict::MayHaveEnded,
    Verdict::Spent { may_have_run: false },
    Verdict::Spent { may_have_run: true },
];

#[test]
fn what_was_heard_of_an_attempt_is_read_as_written_and_by_earlier_builds_as_one_that_may_have_run() {
    for verdict in VERDICTS {
        let (mut heard, mut outcome) = (Vec::new(), Vec::new());
        let (id, record) = ("m", Record::Heard { id: "m".into(), attempt: 3, verdict });
        encode(&record, &mut heard);
        encode(&Record::Outcome { id: id.into(), attempt: 3, may_have_run: true, heard: None }, &mut outcome);
        assert_eq!(decode(&heard), Some(record));
        // Earlier builds read each flag but zero so.
        let (flag, rest) = heard.split_last().expect("a record");
        assert_eq!((*flag > 1, rest), (true, &outcome[..outcome.len() - 1]));
    }
}

#[test]
fn what_was_heard_of_an_attempt_outlasts_compaction() {
    let place = folder("journal-heard");
    let (mut journal, _) = Journal::open(&place, room(1_500_000)).expect("opens");
    for (number, verdict) in VERDICTS.into_iter().enumerate() {
        let id = format!("heard-{number}");
        let started = Record::Started { id: id.clone(), attempt: 0, begun: None };
        journal
            .append(0, &[taken(&id, 10), started, Record::Heard { id, attempt: 0, verdict }])
            .expect("written");
    }
    for n in 0..400 {
        let id = format!("m-{n}");
        journal.append(0, &[taken(&id, 9000), Record::Ended { id, notice: None }]).expect("written");
    }
    assert!(!place.join("journal-1").exists(), "the first file was given up");
    drop(journal);
    let (_, replay) = Journal::open(&place, room(1_500_000)).expect("opens");
    let heard: Vec<Verdict> = replay.heard.iter().map(|(_, verdict)| *verdict).collect();
    assert_eq!((heard, replay.messages.len()), (VERDICTS.to_vec(), 0));
}

#[test]
fn entries_and_lives_outlast_compaction_until_the_record_has_them() {
    let place = folder("journal-entries");
    let (mut journal, _) = Journal::open(&place, room(1_500_000)).expect("opens");
    journal.append(0, &traced()).expect("written");
    let entry = |number: u64| Record::Entry { number, bytes: Bytes::from(vec![b'e'; 500]) };
    journal.append(0, &[entry(1), entry(2), entry(3)]).expect("written");
    for n in 0..400 {
        let id = format!("m-{n}");
        journal.append(0, &[taken(&id, 9000), Record::Ended { id, notice: None }]).expect("written");
    }
    assert!(!place.join("journal-1").exists(), "the first file was given up");
    assert_eq!(journal.entries(), 1500);
    journal.append(0, &[Record::Recorded(vec![2])]).expect("written");
    drop(journal);
    let (journal, replay) = Journal::open(&place, room(1_500_000)).expect("opens");
    let numbers: Vec<u64> = replay.entries.iter().map(|(number, _)| *number).collect();
    assert_eq!((numbers, journal.entries()), (vec![1, 3], 1000));
    let message = replay.messages.first().expect("the message");
    let trace = message.trace.as_ref().expect("its life");
    assert!(message.may_have_run, "an attempt is open");
    assert_eq!(trace.effect(), Effect::InDoubt);
    let ends: Vec<_> = trace.attempts.iter().map(|attempt| (attempt.number, attempt.ended)).collect();
    assert_eq!(ends, [(0, Some(3)), (1, None)]);
}

#[test]
fn a_message_keeps_its_idempotency_key_and_records_without_one_are_as_earlier_builds_wrote_them() {
    let (mut plain, mut keyed) = (Vec::new(), Vec::new());
    encode(&taken("m", 4), &mut plain);
    encode(&with_key(taken("m", 4), "5c0f6e1a 2b3d"), &mut keyed);
    assert_eq!(plain[0], b'T', "the record of earlier builds");
    assert_eq!(keyed[0], b'K');
    assert!(keyed.ends_with(&plain), "the key stands before the record as it is without");
    assert_eq!(decode(&plain), Some(taken("m", 4)));
    assert_eq!(decode(&keyed), Some(with_key(taken("m", 4), "5c0f6e1a 2b3d")));
    // Cut short, with a key of another form, or with two keys, it is no record.
    assert!((0..keyed.len()).all(|length| decode(&keyed[..length]).is_none()));
    let mut twice = keyed[..keyed.len() - plain.len()].to_vec();
    twice.extend_from_slice(&keyed);
    assert_eq!(decode(&twice), None);
    let mut nameless = vec![b'K', 0, 0, 0, 0];
    nameless.extend_from_slice(&plain);
    assert_eq!(decode(&nameless), None, "an empty key");
}
