//! The stable state, rebuilt from records.

use consensus::{Entry, HardState, Persisted, Record, RecordError, Snapshot};
use proptest::prelude::*;

fn entry(index: u64, term: u64) -> Record {
    Record::Entry(Entry { term, index, data: vec![7; index as usize % 5] })
}

fn hard_state(term: u64, vote: u64, commit: u64) -> Record {
    Record::HardState(HardState { term, vote, commit })
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, data: vec![1, 2, 3] }
}

fn rebuilt(records: &[Record]) -> Result<Persisted, RecordError> {
    Persisted::from_records(records.iter().cloned())
}

#[test]
fn an_entry_takes_the_place_of_all_from_its_index_on() {
    let persisted = rebuilt(&[entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2)]).expect("in order");
    assert_eq!((persisted.first_index(), persisted.last_index(), persisted.entry_bytes()), (1, 2, 3));
}

#[test]
fn an_installed_snapshot_takes_the_place_of_the_log() {
    let records = [entry(1, 1), entry(2, 1), Record::Installed(snapshot(9, 3))];
    let persisted = rebuilt(&records).expect("in order");
    assert_eq!((persisted.first_index(), persisted.last_index()), (10, 9));
    assert_eq!(persisted.hard_state(), HardState { term: 3, vote: 0, commit: 9 });
}

#[test]
fn what_does_not_follow_is_refused() {
    assert_eq!(rebuilt(&[entry(2, 1)]), Err(RecordError::Gap { index: 2, first: 1, last: 0 }));
    let old = [Record::Snapshot(snapshot(1, 1)), Record::Installed(snapshot(1, 1))];
    assert_eq!(rebuilt(&old), Err(RecordError::OldSnapshot(1)));
    let unknown = [entry(1, 1), Record::Compacted { index: 2, term: 1 }];
    assert_eq!(rebuilt(&unknown), Err(RecordError::Compaction(2)));
    let bare = [entry(1, 1), Record::Compacted { index: 1, term: 1 }];
    assert_eq!(rebuilt(&bare), Err(RecordError::NoSnapshot { compacted: 1, snapshot: 0 }));
    assert_eq!(rebuilt(&[hard_state(1, 1, 4)]), Err(RecordError::Commit { commit: 4, last: 0 }));
}

#[test]
fn a_term_that_only_the_log_tells_of_has_no_vote() {
    let persisted = rebuilt(&[hard_state(2, 4, 0), entry(1, 3)]).expect("in order");
    assert_eq!(persisted.hard_state(), HardState { term: 3, vote: 0, commit: 0 });
}

proptest! {
    /// A file may be rewritten with the fewest records at any time.
    #[test]
    fn the_fewest_records_lead_to_the_same_state(
        entries in 1_u64..40, compacted in 0_u64..40, taken in 0_u64..40, commit in 0_u64..40,
    ) {
        let taken = taken.min(entries);
        let compacted = compacted.min(taken);
        let mut records: Vec<Record> = (1..=entries).map(|index| entry(index, 1 + index / 10)).collect();
        if taken > 0 {
            records.push(Record::Snapshot(snapshot(taken, 1 + taken / 10)));
        }
        if compacted > 0 {
            records.push(Record::Compacted { index: compacted, term: 1 + compacted / 10 });
        }
        records.push(hard_state(9, 2, commit.min(entries)));
        let persisted = rebuilt(&records).expect("in order");
        let fewest = persisted.records();
        prop_assert!(fewest.len() <= records.len());
        prop_assert_eq!(rebuilt(&fewest), Ok(persisted));
    }
}
