//! The journal on a storage with fault injection: after each failed or torn write a reopened journal holds exactly the
//! acknowledged records.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use nix::errno::Errno;
use proptest::prelude::*;
use tulipfall::exchange::NonDeliveryReport;
use tulipfall::store::*;

const LIMITS: JournalLimits =
    JournalLimits { limit: 3_000_000, reserved_per_message: RESERVED_BYTES_PER_MESSAGE };

/// The result of a call of the storage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallResult {
    Succeeds,
    /// It fails without an effect.
    Fails,
    /// It fails after it wrote this part of the bytes, in thousandths. A call that writes no bytes just fails.
    TornWrite(usize),
}

/// A disk, which outlasts the process.
#[derive(Clone, Debug, Default)]
struct Disk {
    segments: BTreeMap<u64, Vec<u8>>,
    results: Vec<CallResult>,
    /// Truncation always fails.
    never_truncates: bool,
    /// An injected fault that the test has to detect: truncation succeeds without an effect.
    ignores_truncation: bool,
}

impl Disk {
    fn next_result(&mut self) -> CallResult {
        self.results.pop().unwrap_or(CallResult::Succeeds)
    }

    fn call(&mut self) -> Result<()> {
        if self.next_result() == CallResult::Succeeds { Ok(()) } else { Err(Error::from(Errno::EIO)) }
    }
}

#[derive(Clone, Debug, Default)]
struct FaultyStorage(Arc<Mutex<Disk>>);

impl FaultyStorage {
    fn disk(&self) -> std::sync::MutexGuard<'_, Disk> {
        self.0.lock().expect("no panic")
    }

    /// The storage after a crash of the process, on a disk without faults.
    fn after_crash(&self) -> Self {
        let disk = Disk { segments: self.disk().segments.clone(), ..Disk::default() };
        FaultyStorage(Arc::new(Mutex::new(disk)))
    }
}

impl Storage for FaultyStorage {
    fn name(&self, number: u64) -> String {
        format!("journal-{number}")
    }

    fn segments(&mut self) -> Result<Vec<u64>> {
        Ok(self.disk().segments.keys().copied().collect())
    }

    fn read(&mut self, number: u64) -> Result<Vec<u8>> {
        Ok(self.disk().segments.get(&number).cloned().unwrap_or_default())
    }

    fn create(&mut self, number: u64) -> Result<()> {
        let mut disk = self.disk();
        disk.call()?;
        assert!(disk.segments.insert(number, Vec::new()).is_none(), "segment {number} twice");
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let mut disk = self.disk();
        let written = match disk.next_result() {
            CallResult::Succeeds => bytes.len(),
            CallResult::Fails => 0,
            // A failed write never writes all bytes.
            CallResult::TornWrite(part) => bytes.len() * part / 1000,
        };
        let (_, newest) = disk.segments.iter_mut().next_back().expect("a segment");
        newest.extend_from_slice(&bytes[..written]);
        if written == bytes.len() { Ok(()) } else { Err(Error::from(Errno::ENOSPC)) }
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        let mut disk = self.disk();
        if disk.never_truncates {
            return Err(Error::from(Errno::EIO));
        }
        disk.call()?;
        if !disk.ignores_truncation {
            let (_, newest) = disk.segments.iter_mut().next_back().expect("a segment");
            newest.truncate(length as usize);
        }
        Ok(())
    }

    fn remove(&mut self, number: u64) -> Result<()> {
        let mut disk = self.disk();
        disk.call()?;
        disk.segments.remove(&number);
        Ok(())
    }
}

fn open(storage: &FaultyStorage) -> std::result::Result<(Journal, Replay), StoreError> {
    Journal::replay_from(Box::new(storage.clone()), LIMITS)
}

fn stored(id: &str, body: usize) -> Stored {
    Stored {
        id: id.into(),
        class: "paid-extra".into(),
        tenant: None,
        destination: 1,
        due: 1,
        idempotency_key: None,
        body: Bytes::from(vec![b'x'; body]),
        attempts: 0,
        may_have_run: false,
        terms: None,
        trace: None,
    }
}

/// The acknowledged state of all messages.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    /// Held messages by id: number of attempts, and whether one may have run.
    held: BTreeMap<String, (u32, bool)>,
    /// Ids of messages with a non-delivery report that is not acknowledged.
    owed: BTreeMap<String, bool>,
}

impl Model {
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted(stored) => drop(self.held.insert(stored.id.clone(), (0, false))),
            Record::Started { id, attempt, .. } => {
                if let Some(held) = self.held.get_mut(id) {
                    *held = (attempt + 1, true);
                }
            }
            Record::Ended { id, notice } => {
                self.held.remove(id);
                if notice.is_some() {
                    self.owed.insert(id.clone(), true);
                }
            }
            Record::Acknowledged { id } => drop(self.owed.remove(id)),
            _ => {}
        }
    }

    fn from_replay(replay: &Replay) -> Self {
        let held = replay.messages.iter().map(|held| (held.id.clone(), (held.attempts, held.may_have_run)));
        let owed = replay.notices.iter().map(|notice| (notice.id.clone(), true));
        Model { held: held.collect(), owed: owed.collect() }
    }
}

/// A step of a history: the batch to write, and the results of the storage's calls from then on.
#[derive(Clone, Debug)]
struct Step {
    batch: Vec<(u8, u8, usize)>,
    results: Vec<CallResult>,
    /// Whether the process crashes afterwards and another one opens the journal.
    crash: bool,
}

fn batch(step: &Step, model: &Model, n: usize) -> Vec<Record> {
    let mut next_state = model.clone();
    let mut records = Vec::new();
    for (i, (kind, which, body)) in step.batch.iter().enumerate() {
        let pick =
            |ids: Vec<&String>| (!ids.is_empty()).then(|| ids[usize::from(*which) % ids.len()].clone());
        let held = pick(next_state.held.keys().collect());
        let owed = pick(next_state.owed.keys().collect());
        let record = match (kind % 4, held, owed) {
            (1, Some(id), _) => {
                let attempt = next_state.held[&id].0;
                Record::Started { id, attempt, start: None }
            }
            (2, Some(id), _) => {
                let notice = NonDeliveryReport { id: id.clone(), handed_back: false, retry_in_ms: None };
                Record::Ended { notice: Some(notice).filter(|_| which % 2 == 0), id }
            }
            (3, _, Some(id)) => Record::Acknowledged { id },
            _ => Record::Accepted(stored(&format!("m{n}-{i}"), *body)),
        };
        next_state.apply(&record);
        records.push(record);
    }
    records
}

/// Runs a history. The error shows the difference between the reopened journal and the acknowledged state.
fn run_history(steps: &[Step], disk: Disk) -> std::result::Result<(), String> {
    let mut storage = FaultyStorage(Arc::new(Mutex::new(disk)));
    let (mut journal, _) = open(&storage).map_err(|error| error.to_string())?;
    let mut model = Model::default();
    for (n, step) in steps.iter().enumerate() {
        let records = batch(step, &model, n);
        storage.disk().results.clone_from(&step.results);
        if journal.append(0, &records).is_ok() {
            records.iter().for_each(|record| model.apply(record));
        }
        storage.disk().results.clear();
        let after = storage.after_crash();
        let (reopened, replay) = open(&after).map_err(|error| format!("step {n}: {error}"))?;
        if Model::from_replay(&replay) != model {
            return Err(format!("step {n}: {:?}, expected {model:?}", Model::from_replay(&replay)));
        }
        if step.crash {
            (journal, storage) = (reopened, after);
        }
    }
    Ok(())
}

fn next_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![3 => Just(CallResult::Succeeds), 2 => Just(CallResult::Fails), 3 => (0..1000usize).prop_map(CallResult::TornWrite)]
}

fn step() -> impl Strategy<Value = Step> {
    let record = (any::<u8>(), any::<u8>(), prop_oneof![9 => 0..200usize, 1 => 20_000..60_000usize]);
    let batch = proptest::collection::vec(record, 1..6);
    let results = proptest::collection::vec(next_result(), 0..5);
    (batch, results, proptest::bool::weighted(0.2)).prop_map(|(batch, results, crash)| Step {
        batch,
        results,
        crash,
    })
}

proptest! {
#![proptest_config(ProptestConfig::with_cases(300))]

#[test]
fn a_reopened_journal_holds_exactly_the_acknowledged_records(
steps in proptest::collection::vec(step(), 1..40), never_truncates in any::<bool>(),
) {
let disk = Disk { never_truncates, ..Disk::default() };
if let Err(error) = run_history(&steps, disk) {
return Err(TestCaseError::fail(error));
}
}
}

/// A history in which a batch is torn after this part, in thousandths, and written again.
fn history_with_torn_write(part: usize, crash: bool) -> Vec<Step> {
    let step = |results: Vec<CallResult>, crash| Step {
        batch: vec![(0, 0, 9), (1, 0, 0), (0, 0, 50)],
        results,
        crash,
    };
    vec![
        step(vec![], false),
        step(vec![CallResult::TornWrite(part)], crash),
        step(vec![], false),
        step(vec![], true),
    ]
}

#[test]
fn a_batch_torn_at_any_byte_leaves_nothing_of_it() {
    for part in 0..1000 {
        for never_truncates in [false, true] {
            let disk = Disk { never_truncates, ..Disk::default() };
            for crash in [false, true] {
                run_history(&history_with_torn_write(part, crash), disk.clone())
                    .expect("exactly the acknowledged records");
            }
        }
    }
}

#[test]
fn the_model_detects_a_truncation_without_effect() {
    let run_without_truncation = |part| {
        run_history(
            &history_with_torn_write(part, false),
            Disk { ignores_truncation: true, ..Disk::default() },
        )
    };
    assert!((1..1000).any(|part| run_without_truncation(part).is_err()));
}

#[test]
fn a_truncated_segment_whose_end_is_not_declared_is_reported_as_damaged() {
    let storage = FaultyStorage::default();
    let (mut journal, _) = open(&storage).expect("opens");
    journal.append(0, &[Record::Accepted(stored("first", 9))]).expect("stored");
    drop(journal);
    let (mut journal, _) = open(&storage).expect("opens");
    journal.append(0, &[Record::Accepted(stored("second", 9))]).expect("stored");
    storage.disk().segments.get_mut(&1).expect("a segment").pop();
    let error = open(&storage).expect_err("damage").to_string();
    assert!(error.contains("journal-1 is damaged at byte 0"), "{error}");
}
