//! The store: the replay after a crash at any byte, the disk limit, and entries that wait for the database.

mod stand;

use std::collections::BTreeMap;
use std::path::Path;

use bytes::Bytes;
use record::model::{Effect, Evidence, Trace};
use stand::folder;
use tulipfall::exchange::{NonDeliveryReport, Receipt};
use tulipfall::interface::{Class, Decision};
use tulipfall::store::*;

fn limits(limit: u64) -> JournalLimits {
    JournalLimits { limit, reserved_per_message: RESERVED_BYTES_PER_MESSAGE }
}

fn accepted(id: &str, body: usize) -> Record {
    Record::Accepted(Stored {
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
    let Record::Accepted(stored) = record else { panic!("another record") };
    Record::Accepted(Stored { idempotency_key: Some(key.parse().expect("a key")), ..stored })
}

fn terms() -> Class {
    let effect = tulipfall::interface::Effect::NonIdempotent;
    Class { value: 3.0, aim: 2, deadline: 16, late_fraction: 0.3, effect, in_order: false }
}

fn notice(id: &str, retry_in_ms: Option<u64>) -> NonDeliveryReport {
    NonDeliveryReport { id: id.into(), handed_back: retry_in_ms.is_some(), retry_in_ms }
}

/// At least one record of each type; [`REPLAYED`] is the state that they lead to.
fn records() -> Vec<Record> {
    let id = String::from;
    vec![
        accepted("open", 10),
        Record::Started { id: id("open"), attempt: 0, start: None },
        accepted("never ran", 0),
        Record::Started { id: id("never ran"), attempt: 0, start: None },
        Record::Outcome { id: id("never ran"), attempt: 0, may_have_run: false, end: None },
        accepted("may have", 3),
        Record::Started { id: id("may have"), attempt: 0, start: None },
        Record::Outcome { id: id("may have"), attempt: 0, may_have_run: true, end: None },
        accepted("decided", 3),
        Record::Started { id: id("decided"), attempt: 0, start: None },
        Record::Decided { id: id("decided"), attempt: 0, verdict: Decision::Delivered },
        accepted("decided, then settled", 3),
        Record::Started { id: id("decided, then settled"), attempt: 0, start: None },
        Record::Decided { id: id("decided, then settled"), attempt: 0, verdict: Decision::MayHaveEnded },
        Record::Outcome { id: id("decided, then settled"), attempt: 0, may_have_run: false, end: None },
        accepted("delivered", 100),
        Record::Ended { id: id("delivered"), notice: None },
        accepted("owed", 100),
        Record::Ended { id: id("owed"), notice: Some(notice("owed", Some(500))) },
        accepted("acknowledged", 1),
        Record::Ended { id: id("acknowledged"), notice: Some(notice("acknowledged", None)) },
        Record::Acknowledged { id: id("acknowledged") },
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

/// A message with a trace, and the recorded details of its attempts.
fn traced() -> Vec<Record> {
    let Record::Accepted(plain) = accepted("traced", 5) else { return vec![] };
    let start = |at| Some(AttemptStart { at, endpoint: "127.0.0.1:1".into() });
    let end = Some(AttemptEnd {
        at: 3,
        result: "full".into(),
        effect: Effect::Never,
        evidence: Evidence::Status("HTTP/1.1 429".into()),
    });
    let id = || "traced".to_string();
    vec![
        Record::Accepted(Stored { terms: Some(terms()), ..plain.clone() }),
        Record::Accepted(Stored { trace: Some(Trace::new(1)), terms: Some(terms()), ..plain }),
        Record::Started { id: id(), attempt: 0, start: start(2) },
        Record::Outcome { id: id(), attempt: 0, may_have_run: false, end },
        Record::Started { id: id(), attempt: 1, start: start(4) },
    ]
}

fn summary(replay: &Replay) -> Vec<String> {
    let messages = replay
        .messages
        .iter()
        .map(|m| format!("{}: {} attempts, may have run: {}", m.id, m.attempts, m.may_have_run));
    let decided = replay.decided.iter().map(|(m, verdict)| format!("{}: decided, {}", m.id, verdict.label()));
    let notices = replay.notices.iter().map(|n| format!("{}: notice owed, {:?}", n.id, n.retry_in_ms));
    let receipts = replay.receipts.iter().map(|r| format!("{:?}: receipt of {} bytes", r.key, r.bytes.len()));
    let entries = replay.entries.iter().map(|(n, bytes)| format!("entry {n} of {} bytes", bytes.len()));
    messages.chain(decided).chain(notices).chain(receipts).chain(entries).collect()
}

const REPLAYED: [&str; 8] = [
    "open: 1 attempts, may have run: true",
    "never ran: 1 attempts, may have run: false",
    "may have: 1 attempts, may have run: true",
    "decided, then settled: 1 attempts, may have run: false",
    "decided: decided, delivered",
    "owed: notice owed, Some(500)",
    "\"A\\n<1@a>\": receipt of 5 bytes",
    "entry 8 of 5 bytes",
];

#[test]
fn every_record_is_decoded_as_it_was_encoded() {
    for record in records().into_iter().chain(traced()) {
        let mut bytes = Vec::new();
        encode(&record, &mut bytes);
        assert_eq!(decode(&bytes), Some(record));
        for length in 0..bytes.len() {
            assert_eq!(decode(&bytes[..length]), None, "a truncated record is not decoded");
        }
    }
}

#[test]
fn a_journal_truncated_at_any_byte_opens() {
    let complete = folder("journal-complete");
    let (mut journal, _) = Journal::open(&complete, limits(1_000_000)).expect("opens");
    journal.append(0, &records()).expect("written");
    let (_, replay) = Journal::open(&complete, limits(1_000_000)).expect("opens");
    assert_eq!(summary(&replay), REPLAYED);
    let bytes = std::fs::read(complete.join("journal-1")).expect("a file");
    let truncated = folder("journal-truncated");
    let mut most = 0;
    for length in 0..=bytes.len() {
        let _ = std::fs::remove_dir_all(&truncated);
        std::fs::create_dir_all(&truncated).expect("a folder");
        std::fs::write(truncated.join("journal-1"), &bytes[..length]).expect("a file");
        let (mut journal, replay) =
            Journal::open(&truncated, limits(1_000_000)).expect("a torn record is tolerated");
        let found = replay.messages.len() + replay.notices.len();
        // The replayed state outlasts a write and another start.
        journal.append(0, &[accepted("next", 5)]).expect("written");
        drop(journal);
        let (_, again) = Journal::open(&truncated, limits(1_000_000)).expect("opens");
        assert_eq!(again.messages.len() + again.notices.len(), found + 1);
        most = most.max(found);
    }
    assert!(most >= 4);
}

#[test]
fn corruption_that_no_torn_write_explains_is_reported_with_its_offset() {
    let complete = folder("journal-damaged");
    let (mut journal, _) = Journal::open(&complete, limits(1_000_000)).expect("opens");
    journal.append(0, &records()).expect("written");
    let file = complete.join("journal-1");
    let mut bytes = std::fs::read(&file).expect("a file");
    bytes[20] ^= 1;
    std::fs::write(&file, bytes).expect("a file");
    let error = Journal::open(&complete, limits(1_000_000)).expect_err("damage").to_string();
    assert!(error.contains("journal-1 is damaged at byte 0"), "{error}");
}

fn disk_usage(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder").flatten();
    files.map(|file| file.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

/// Hundreds of messages of different sizes are accepted and end, some after a long time: the limit holds after each write, the
/// end of an accepted message can always be written, and a replay at any time gives the held messages.
#[test]
fn the_disk_limit_holds_and_accepted_messages_can_end() {
    const LIMIT: u64 = 3_000_000;
    let folder_path = folder("journal-limit");
    let (mut journal, _) = Journal::open(&folder_path, limits(LIMIT)).expect("opens");
    let mut rng_state = 0x9E37_79B9_u64;
    let mut random_below = |n: u64| {
        rng_state = rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (rng_state >> 33) % n
    };
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    let (mut refused, mut admitted) = (0, 0);
    for n in 0..6000 {
        let size = if random_below(3) == 0 { 65_536 } else { random_below(2000) as usize };
        if held.len() < 240 && journal.has_room(size) {
            let id = format!("m-{n}");
            journal.append(0, &[accepted(&id, size)]).expect("there is room");
            held.insert(id, 0);
            admitted += 1;
        } else {
            refused += 1;
        }
        if random_below(10) < 4 {
            // The oldest message stays, so that no segment can be removed without writing it again.
            let at = 1 + random_below(held.len().max(2) as u64 - 1) as usize;
            if let Some((id, attempts)) = held.iter_mut().nth(at) {
                let id = id.clone();
                let last = *attempts >= 11 || random_below(2) == 0;
                let mut records = vec![
                    Record::Started { id: id.clone(), attempt: *attempts, start: None },
                    Record::Outcome { id: id.clone(), attempt: *attempts, may_have_run: false, end: None },
                ];
                *attempts += 1;
                if last {
                    records.push(Record::Ended { id: id.clone(), notice: Some(notice(&id, None)) });
                    records.push(Record::Acknowledged { id: id.clone() });
                    held.remove(&id);
                }
                journal.append(0, &records).expect("space for ends is reserved");
            }
        }
        assert!(journal.used_bytes() <= LIMIT);
        if n % 500 == 0 {
            assert!(disk_usage(&folder_path) <= LIMIT, "in whole blocks");
            drop(journal);
            let (opened, replay) = Journal::open(&folder_path, limits(LIMIT)).expect("opens");
            journal = opened;
            let found: BTreeMap<_, _> = replay.messages.into_iter().map(|m| (m.id, m.attempts)).collect();
            assert_eq!(found, held);
        }
    }
    assert!(refused > 100 && admitted > 1000, "{refused} refused, {admitted} admitted");
}

/// All decisions that an answer can lead to.
const VERDICTS: [Decision; 5] = [
    Decision::Delivered,
    Decision::EndedElsewhere,
    Decision::MayHaveEnded,
    Decision::AttemptsExhausted { may_have_run: false },
    Decision::AttemptsExhausted { may_have_run: true },
];

#[test]
fn a_decision_is_decoded_as_encoded_and_by_earlier_builds_as_an_attempt_that_may_have_run() {
    for verdict in VERDICTS {
        let (mut decided, mut outcome) = (Vec::new(), Vec::new());
        let (id, record) = ("m", Record::Decided { id: "m".into(), attempt: 3, verdict });
        encode(&record, &mut decided);
        encode(&Record::Outcome { id: id.into(), attempt: 3, may_have_run: true, end: None }, &mut outcome);
        assert_eq!(decode(&decided), Some(record));
        // Earlier builds read any flag but zero as an attempt that may have run.
        let (flag, rest) = decided.split_last().expect("a record");
        assert_eq!((*flag > 1, rest), (true, &outcome[..outcome.len() - 1]));
    }
}

#[test]
fn decisions_outlast_compaction() {
    let folder_path = folder("journal-decisions");
    let (mut journal, _) = Journal::open(&folder_path, limits(1_500_000)).expect("opens");
    for (number, verdict) in VERDICTS.into_iter().enumerate() {
        let id = format!("decided-{number}");
        let started = Record::Started { id: id.clone(), attempt: 0, start: None };
        journal
            .append(0, &[accepted(&id, 10), started, Record::Decided { id, attempt: 0, verdict }])
            .expect("written");
    }
    for n in 0..400 {
        let id = format!("m-{n}");
        journal.append(0, &[accepted(&id, 9000), Record::Ended { id, notice: None }]).expect("written");
    }
    assert!(!folder_path.join("journal-1").exists(), "the first segment was removed");
    drop(journal);
    let (_, replay) = Journal::open(&folder_path, limits(1_500_000)).expect("opens");
    let decided: Vec<Decision> = replay.decided.iter().map(|(_, verdict)| *verdict).collect();
    assert_eq!((decided, replay.messages.len()), (VERDICTS.to_vec(), 0));
}

#[test]
fn entries_and_traces_outlast_compaction_until_they_are_in_the_database() {
    let folder_path = folder("journal-entries");
    let (mut journal, _) = Journal::open(&folder_path, limits(1_500_000)).expect("opens");
    journal.append(0, &traced()).expect("written");
    let entry = |number: u64| Record::Entry { number, bytes: Bytes::from(vec![b'e'; 500]) };
    journal.append(0, &[entry(1), entry(2), entry(3)]).expect("written");
    for n in 0..400 {
        let id = format!("m-{n}");
        journal.append(0, &[accepted(&id, 9000), Record::Ended { id, notice: None }]).expect("written");
    }
    assert!(!folder_path.join("journal-1").exists(), "the first segment was removed");
    assert_eq!(journal.entry_bytes(), 1500);
    journal.append(0, &[Record::Recorded(vec![2])]).expect("written");
    drop(journal);
    let (journal, replay) = Journal::open(&folder_path, limits(1_500_000)).expect("opens");
    let numbers: Vec<u64> = replay.entries.iter().map(|(number, _)| *number).collect();
    assert_eq!((numbers, journal.entry_bytes()), (vec![1, 3], 1000));
    let message = replay.messages.first().expect("the message");
    let trace = message.trace.as_ref().expect("its trace");
    assert!(message.may_have_run, "an attempt is in flight");
    assert_eq!(trace.effect(), Effect::InDoubt);
    let ends: Vec<_> = trace.attempts.iter().map(|attempt| (attempt.number, attempt.ended)).collect();
    assert_eq!(ends, [(0, Some(3)), (1, None)]);
}

#[test]
fn a_message_keeps_its_idempotency_key_and_records_without_one_keep_the_earlier_encoding() {
    let (mut plain, mut keyed) = (Vec::new(), Vec::new());
    encode(&accepted("m", 4), &mut plain);
    encode(&with_key(accepted("m", 4), "5c0f6e1a 2b3d"), &mut keyed);
    assert_eq!(plain[0], b'T', "the tag of earlier builds");
    assert_eq!(keyed[0], b'K');
    assert!(keyed.ends_with(&plain), "the key precedes the record without a key");
    assert_eq!(decode(&plain), Some(accepted("m", 4)));
    assert_eq!(decode(&keyed), Some(with_key(accepted("m", 4), "5c0f6e1a 2b3d")));
    // A truncated record, one with an invalid key, or one with two keys is not decoded.
    assert!((0..keyed.len()).all(|length| decode(&keyed[..length]).is_none()));
    let mut twice = keyed[..keyed.len() - plain.len()].to_vec();
    twice.extend_from_slice(&keyed);
    assert_eq!(decode(&twice), None);
    let mut nameless = vec![b'K', 0, 0, 0, 0];
    nameless.extend_from_slice(&plain);
    assert_eq!(decode(&nameless), None, "an empty key");
}
