//! The journal on a storage whose calls fail or are cut: after each of them a reopening holds exactly what was acknowledged.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use nix::errno::Errno;
use proptest::prelude::*;
use tulipfall::exchange::NonDeliveryReport;
use tulipfall::store::*;

const ROOM: Room = Room { limit: 3_000_000, to_end: TO_END };

/// What the next call on the storage does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Works,
    /// It fails, and did nothing.
    Fails,
    /// It fails, and wrote this part of the bytes, in thousandths. Of a call that moves no bytes: it fails.
    Cut(usize),
}

/// The disk, which outlasts a process.
#[derive(Clone, Debug, Default)]
struct Disk {
    segments: BTreeMap<u64, Vec<u8>>,
    fates: Vec<Fate>,
    /// Truncation fails, whatever its fate.
    never_truncates: bool,
    /// A planted break: truncation says that it worked, and did nothing.
    ignores_truncation: bool,
}

impl Disk {
    fn fate(&mut self) -> Fate {
        self.fates.pop().unwrap_or(Fate::Works)
    }

    fn act(&mut self) -> Result<()> {
        if self.fate() == Fate::Works { Ok(()) } else { Err(Error::from(Errno::EIO)) }
    }
}

#[derive(Clone, Debug, Default)]
struct Double(Arc<Mutex<Disk>>);

impl Double {
    fn disk(&self) -> std::sync::MutexGuard<'_, Disk> {
        self.0.lock().expect("no panic")
    }

    /// What a process after a kill finds, on a disk that works.
    fn after_kill(&self) -> Self {
        let disk = Disk { segments: self.disk().segments.clone(), ..Disk::default() };
        Double(Arc::new(Mutex::new(disk)))
    }
}

impl Storage for Double {
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
        disk.act()?;
        assert!(disk.segments.insert(number, Vec::new()).is_none(), "segment {number} twice");
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let mut disk = self.disk();
        let part = match disk.fate() {
            Fate::Works => bytes.len(),
            Fate::Fails => 0,
            // Never all of it: a write that fails wrote less than it was asked to.
            Fate::Cut(part) => bytes.len() * part / 1000,
        };
        let (_, newest) = disk.segments.iter_mut().next_back().expect("a segment");
        newest.extend_from_slice(&bytes[..part]);
        if part == bytes.len() { Ok(()) } else { Err(Error::from(Errno::ENOSPC)) }
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        let mut disk = self.disk();
        if disk.never_truncates {
            return Err(Error::from(Errno::EIO));
        }
        disk.act()?;
        if !disk.ignores_truncation {
            let (_, newest) = disk.segments.iter_mut().next_back().expect("a segment");
            newest.truncate(length as usize);
        }
        Ok(())
    }

    fn remove(&mut self, number: u64) -> Result<()> {
        let mut disk = self.disk();
        disk.act()?;
        disk.segments.remove(&number);
        Ok(())
    }
}

fn open(storage: &Double) -> std::result::Result<(Journal, Replay), StoreError> {
    Journal::replay_from(Box::new(storage.clone()), ROOM)
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

/// What a message has come to, as far as it was acknowledged.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    /// By id: attempts, and whether one may have run.
    held: BTreeMap<String, (u32, bool)>,
    owed: BTreeMap<String, bool>,
}

impl Model {
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken(stored) => drop(self.held.insert(stored.id.clone(), (0, false))),
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

    fn of(replay: &Replay) -> Self {
        let held = replay.messages.iter().map(|held| (held.id.clone(), (held.attempts, held.may_have_run)));
        let owed = replay.notices.iter().map(|notice| (notice.id.clone(), true));
        Model { held: held.collect(), owed: owed.collect() }
    }
}

/// A step of a history: the batch that is to be stored, and the fates of the calls on the storage from there on.
#[derive(Clone, Debug)]
struct Step {
    batch: Vec<(u8, u8, usize)>,
    fates: Vec<Fate>,
    /// After it the process is killed and another one opens the journal.
    kill: bool,
}

fn batch(step: &Step, model: &Model, n: usize) -> Vec<Record> {
    let mut coming = model.clone();
    let mut records = Vec::new();
    for (i, (kind, which, body)) in step.batch.iter().enumerate() {
        let pick =
            |ids: Vec<&String>| (!ids.is_empty()).then(|| ids[usize::from(*which) % ids.len()].clone());
        let held = pick(coming.held.keys().collect());
        let owed = pick(coming.owed.keys().collect());
        let record = match (kind % 4, held, owed) {
            (1, Some(id), _) => {
                let attempt = coming.held[&id].0;
                Record::Started { id, attempt, begun: None }
            }
            (2, Some(id), _) => {
                let notice = NonDeliveryReport { id: id.clone(), handed_back: false, retry_in_ms: None };
                Record::Ended { notice: Some(notice).filter(|_| which % 2 == 0), id }
            }
            (3, _, Some(id)) => Record::Acknowledged { id },
            _ => Record::Taken(stored(&format!("m{n}-{i}"), *body)),
        };
        coming.apply(&record);
        records.push(record);
    }
    records
}

/// Plays a history; the error says what a reopening held that it should not, or did not hold.
fn play(steps: &[Step], disk: Disk) -> std::result::Result<(), String> {
    let mut storage = Double(Arc::new(Mutex::new(disk)));
    let (mut journal, _) = open(&storage).map_err(|error| error.to_string())?;
    let mut model = Model::default();
    for (n, step) in steps.iter().enumerate() {
        let records = batch(step, &model, n);
        storage.disk().fates.clone_from(&step.fates);
        if journal.append(0, &records).is_ok() {
            records.iter().for_each(|record| model.apply(record));
        }
        storage.disk().fates.clear();
        let after = storage.after_kill();
        let (reopened, replay) = open(&after).map_err(|error| format!("step {n}: {error}"))?;
        if Model::of(&replay) != model {
            return Err(format!("step {n}: {:?}, expected {model:?}", Model::of(&replay)));
        }
        if step.kill {
            (journal, storage) = (reopened, after);
        }
    }
    Ok(())
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![3 => Just(Fate::Works), 2 => Just(Fate::Fails), 3 => (0..1000usize).prop_map(Fate::Cut)]
}

fn step() -> impl Strategy<Value = Step> {
    let record = (any::<u8>(), any::<u8>(), prop_oneof![9 => 0..200usize, 1 => 20_000..60_000usize]);
    let batch = proptest::collection::vec(record, 1..6);
    let fates = proptest::collection::vec(fate(), 0..5);
    (batch, fates, proptest::bool::weighted(0.2)).prop_map(|(batch, fates, kill)| Step { batch, fates, kill })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn a_reopening_holds_exactly_what_was_acknowledged(
        steps in proptest::collection::vec(step(), 1..40), never_truncates in any::<bool>(),
    ) {
        let disk = Disk { never_truncates, ..Disk::default() };
        if let Err(why) = play(&steps, disk) {
            return Err(TestCaseError::fail(why));
        }
    }
}

/// A history in which a batch is cut at this part, and written again.
fn cut_at(part: usize, kill: bool) -> Vec<Step> {
    let step = |fates: Vec<Fate>, kill| Step { batch: vec![(0, 0, 9), (1, 0, 0), (0, 0, 50)], fates, kill };
    vec![step(vec![], false), step(vec![Fate::Cut(part)], kill), step(vec![], false), step(vec![], true)]
}

#[test]
fn a_batch_that_is_cut_at_any_byte_leaves_nothing_of_it() {
    for part in 0..1000 {
        for never_truncates in [false, true] {
            let disk = Disk { never_truncates, ..Disk::default() };
            for kill in [false, true] {
                play(&cut_at(part, kill), disk.clone()).expect("what was acknowledged, and no more");
            }
        }
    }
}

#[test]
fn the_model_finds_a_truncation_that_is_ignored() {
    let broken = |part| play(&cut_at(part, false), Disk { ignores_truncation: true, ..Disk::default() });
    assert!((1..1000).any(|part| broken(part).is_err()));
}

#[test]
fn an_end_that_no_later_segment_declares_is_damage() {
    let storage = Double::default();
    let (mut journal, _) = open(&storage).expect("opens");
    journal.append(0, &[Record::Taken(stored("first", 9))]).expect("stored");
    drop(journal);
    let (mut journal, _) = open(&storage).expect("opens");
    journal.append(0, &[Record::Taken(stored("second", 9))]).expect("stored");
    storage.disk().segments.get_mut(&1).expect("a segment").pop();
    let error = open(&storage).expect_err("damage").to_string();
    assert!(error.contains("journal-1 is damaged at byte 0"), "{error}");
}
