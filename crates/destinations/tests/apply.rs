//! Changes are applied atomically and in order, or refused.

mod common;

use common::{content, endpoint, filled, publish, put, remove, remove_all};
use destinations::{
    ApplyError, Change, DestinationChange, DestinationId, DestinationSet, Digest, EndpointError,
    MAX_BUCKET_BYTES, MAX_ENDPOINTS, MAX_NAME_BYTES, MAX_OPERATIONS, Operation, Version,
};

/// Applies a change that must be refused, and checks that the set is unchanged.
fn apply_refused(set: &mut DestinationSet, change: &Change) -> ApplyError {
    let before = (set.version(), set.len(), set.manifest(), content(set));
    let error = set.apply(change).expect_err("the change must be refused");
    assert_eq!((set.version(), set.len(), set.manifest(), content(set)), before);
    error
}

/// A change with operations that `prepare` would refuse.
fn unchecked_change(set: &DestinationSet, operations: Vec<Operation>) -> Change {
    Change { operations, ..set.prepare(vec![]).expect("an empty change") }
}

fn version(epoch: u32, number: u64) -> Version {
    Version { epoch, number }
}

#[test]
fn a_change_reports_the_changed_destinations() {
    let (mut set, _) = filled(3);
    let operations = vec![put(1, "b", 81), put(9, "a", 80), remove(2, "a"), put(8, "a", 1), remove_all(8)];
    let change = set.prepare(operations).unwrap();
    let applied = set.apply(&change).unwrap();
    let mut changes = applied.changes;
    changes.sort();
    let id = DestinationId;
    assert_eq!(applied.version, version(0, 2));
    assert_eq!(
        changes,
        [
            DestinationChange::Added(id(9)),
            DestinationChange::Updated(id(1)),
            DestinationChange::Removed(id(2))
        ]
    );
    assert_eq!(set.len(), 3);
    let held: Vec<_> = set.get(id(1)).unwrap().endpoints().map(|endpoint| endpoint.to_endpoint()).collect();
    assert_eq!(held, [endpoint("a", 80), endpoint("b", 81)]);
    assert!(set.get(id(2)).is_none());
}

#[test]
fn duplicate_older_and_skipping_changes_are_refused() {
    let (mut set, last) = filled(3);
    let (have, next) = (set.version(), set.prepare(vec![put(7, "a", 1)]).unwrap());
    assert_eq!(apply_refused(&mut set, &last), ApplyError::Older { have, got: have });
    let late = Change { version: version(0, 0), ..next.clone() };
    assert_eq!(apply_refused(&mut set, &late), ApplyError::Older { have, got: late.version });
    let far = Change { version: version(0, 3), ..next.clone() };
    assert_eq!(apply_refused(&mut set, &far), ApplyError::Gap { have, got: far.version });
    set.apply(&next).unwrap();
}

#[test]
fn epochs_only_increase_and_follow_the_present_set() {
    let (mut set, _) = filled(3);
    let have = set.version();
    let restored = set.prepare_in_epoch(2, vec![put(7, "a", 1)]).unwrap();
    let stranger = Change { previous_digest: Digest([7; 32]), ..restored.clone() };
    assert_eq!(apply_refused(&mut set, &stranger), ApplyError::OtherEpoch { have, got: restored.version });
    let old = set.prepare(vec![put(7, "a", 1)]).unwrap();
    set.apply(&Change { version: version(2, 1), ..restored }).unwrap();
    let have = version(2, 1);
    assert_eq!(apply_refused(&mut set, &old), ApplyError::OlderEpoch { have, got: old.version });
    assert_eq!(set.prepare_in_epoch(1, vec![]), Err(ApplyError::OlderEpoch { have, got: version(1, 2) }));
}

#[test]
fn digests_that_do_not_match_are_refused() {
    let (mut set, _) = filled(3);
    let good = set.prepare(vec![put(1, "b", 81)]).unwrap();
    let before = Change { previous_digest: Digest([0; 32]), ..good.clone() };
    assert_eq!(apply_refused(&mut set, &before), ApplyError::PreviousDigest);
    let after = Change { digest: Digest([0; 32]), ..good.clone() };
    assert_eq!(apply_refused(&mut set, &after), ApplyError::Digest);
    let other = Change { operations: vec![put(1, "b", 82)], ..good };
    assert_eq!(apply_refused(&mut set, &other), ApplyError::Digest);
}

#[test]
fn removals_of_missing_destinations_or_endpoints_are_refused() {
    let (mut set, _) = filled(3);
    let unknown = |id| ApplyError::UnknownDestination(DestinationId(id));
    for (operation, error) in [
        (remove_all(9), unknown(9)),
        (remove(9, "a"), unknown(9)),
        (remove(1, "z"), ApplyError::UnknownEndpoint(DestinationId(1), "z".to_owned())),
    ] {
        let change = unchecked_change(&set, vec![put(5, "a", 1), operation]);
        assert_eq!(apply_refused(&mut set, &change), error);
    }
    let twice = unchecked_change(&set, vec![remove(1, "a"), remove_all(1)]);
    assert_eq!(apply_refused(&mut set, &twice), unknown(1));
}

#[test]
fn endpoints_out_of_bounds_are_refused() {
    let (mut set, _) = filled(3);
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let good = endpoint("b", 1);
    let mut bad = vec![endpoint(&long, 1), endpoint("", 1)];
    bad.push(destinations::Endpoint { kind: long.clone(), ..good.clone() });
    bad.push(destinations::Endpoint { zone: long, ..good.clone() });
    for rate_per_s in [-0.0, -1.0, f64::NAN, f64::INFINITY] {
        bad.push(destinations::Endpoint { rate_per_s, ..good.clone() });
    }
    for endpoint in bad {
        let expected = endpoint.validate().unwrap_err();
        let change =
            unchecked_change(&set, vec![Operation::PutEndpoint { destination: DestinationId(1), endpoint }]);
        let ApplyError::Endpoint(error) = apply_refused(&mut set, &change) else { panic!("another error") };
        assert!(error == expected || matches!(error, EndpointError::Rate(rate) if rate.is_nan()));
    }
}

#[test]
fn changes_beyond_the_bounds_are_refused() {
    let (mut set, _) = filled(3);
    let many = unchecked_change(&set, vec![put(1, "b", 1); MAX_OPERATIONS + 1]);
    assert!(matches!(apply_refused(&mut set, &many), ApplyError::TooLarge("operations", ..)));
    let crowd = (0..=MAX_ENDPOINTS).map(|number| put(1, &format!("e{number}"), 1)).collect();
    let crowd = unchecked_change(&set, crowd);
    assert!(matches!(apply_refused(&mut set, &crowd), ApplyError::TooLarge("endpoints", ..)));
    let large = vec![put(1, &"x".repeat(MAX_NAME_BYTES), 1); 32];
    assert!(matches!(set.prepare(large), Err(ApplyError::Encoding(_))));
}

#[test]
fn a_bucket_beyond_its_maximum_size_is_refused() {
    let mut set = DestinationSet::new();
    let same = (0..).filter(|id| destinations::bucket_of(DestinationId(*id)) == 0);
    let long = "x".repeat(MAX_NAME_BYTES);
    let error = same.flat_map(|id| (10..30).map(move |port| (id, port))).find_map(|(id, port)| {
        let change = set.prepare(vec![put(id, &format!("{port}{}", &long[2..]), port)]);
        change.and_then(|change| set.apply(&change)).err()
    });
    assert!(matches!(error, Some(ApplyError::TooLarge("bytes of a bucket", ..))));
    assert!(set.bucket(0).unwrap().len() <= MAX_BUCKET_BYTES);
}

#[test]
fn a_rollback_restores_the_digest_under_the_next_number() {
    let (mut set, _) = filled(3);
    let digest = set.digest();
    let operations = vec![put(1, "a", 9), put(1, "b", 9), remove_all(0), put(9, "a", 1), remove(2, "a")];
    let undo = set.inverse(&operations).unwrap();
    publish(&mut set, operations);
    assert_ne!(set.digest(), digest);
    publish(&mut set, undo);
    assert_eq!((set.digest(), set.version()), (digest, version(0, 3)));
}

#[test]
fn the_digest_of_a_known_set_is_stable() {
    let (set, _) = filled(3);
    assert_eq!(
        DestinationSet::new().digest().to_string(),
        "a63945c0f313c3658b1a7314e565d4ecdbc3a324ada51c4aa62c0a14f9b73733"
    );
    assert_eq!(set.digest().to_string(), "c687f3bfb1c95726edd1e1338b24f867d1a0da30f3d084064c5f45466ba37d5f");
}
