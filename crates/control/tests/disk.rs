//! The file of records: what comes back after a power failure, and what stops a start.

use std::path::Path;

use consensus::{Entry, HardState, Persisted, Record, Snapshot};
use control::shell::disk::{DiskError, LogFile};
use tempfile::tempdir;

const LOG: &str = "consensus.log";

fn entry(index: u64) -> Record {
    Record::Entry(Entry { term: 1, index, data: vec![index as u8; 20] })
}

fn entries() -> Vec<Record> {
    (1..=5).map(entry).chain([Record::HardState(HardState { term: 1, vote: 1, commit: 4 })]).collect()
}

fn persisted(records: &[Record]) -> Persisted {
    Persisted::from_records(records.iter().cloned()).expect("in order")
}

fn written(directory: &Path) -> Vec<u8> {
    let (mut log, held) = LogFile::open(directory).expect("a directory of its own");
    assert_eq!(held, Persisted::default());
    log.write(&entries(), &persisted(&entries())).expect("it is written");
    std::fs::read(directory.join(LOG)).expect("the file")
}

fn reopened(directory: &Path) -> Persisted {
    LogFile::open(directory).expect("it opens").1
}

#[test]
fn what_was_written_comes_back() {
    let directory = tempdir().expect("a directory");
    written(directory.path());
    assert_eq!(reopened(directory.path()), persisted(&entries()));
}

#[test]
fn a_write_that_was_cut_is_cut_off_and_the_file_goes_on() {
    let directory = tempdir().expect("a directory");
    let bytes = written(directory.path());
    let mut longest = 0;
    for end in 0..bytes.len() {
        std::fs::write(directory.path().join(LOG), &bytes[..end]).expect("it is written");
        let held = reopened(directory.path());
        assert!(held.last_index() >= longest && held.last_index() <= 5, "cut at {end}");
        longest = held.last_index();
        let (mut log, held) = LogFile::open(directory.path()).expect("it opens");
        let next = entry(held.last_index() + 1);
        let mut expected = held.clone();
        expected.apply(next.clone()).expect("in order");
        log.write(&[next], &expected).expect("it is written");
        drop(log);
        assert_eq!(reopened(directory.path()), expected);
    }
    assert_eq!(longest, 5);
}

#[test]
fn zeros_at_the_end_are_cut_off_but_other_damage_stops_the_start() {
    let directory = tempdir().expect("a directory");
    let mut bytes = written(directory.path());
    let whole = bytes.len();
    bytes.extend([0; 4096]);
    std::fs::write(directory.path().join(LOG), &bytes).expect("it is written");
    assert_eq!(reopened(directory.path()), persisted(&entries()));
    for offset in 0..whole {
        let mut damaged = bytes[..whole].to_vec();
        damaged[offset] ^= 0x10;
        std::fs::write(directory.path().join(LOG), &damaged).expect("it is written");
        let opened = LogFile::open(directory.path());
        assert!(matches!(opened, Err(DiskError::Damaged { .. })), "damage at {offset}: {opened:?}");
    }
}

#[test]
fn a_snapshot_takes_the_place_of_the_file() {
    let directory = tempdir().expect("a directory");
    let before = written(directory.path()).len();
    let (mut log, mut held) = LogFile::open(directory.path()).expect("it opens");
    let snapshot = Snapshot { index: 4, term: 1, data: vec![9; 10] };
    let records = [Record::Snapshot(snapshot), Record::Compacted { index: 4, term: 1 }];
    records.iter().for_each(|record| held.apply(record.clone()).expect("in order"));
    log.write(&records, &held).expect("it is written");
    let next = entry(6);
    held.apply(next.clone()).expect("in order");
    log.write(&[next], &held).expect("it is written");
    drop(log);
    assert_eq!(reopened(directory.path()), held);
    assert!(std::fs::metadata(directory.path().join(LOG)).expect("the file").len() < before as u64);
}

#[test]
fn two_processes_do_not_share_a_directory() {
    let directory = tempdir().expect("a directory");
    let _held = LogFile::open(directory.path()).expect("it opens");
    assert!(matches!(LogFile::open(directory.path()), Err(DiskError::InUse(_))));
}
