//! A snapshot is installed atomically, or the previous set stays.

mod common;

use common::{content, filled, publish, put, remove_all};
use destinations::{
    BUCKETS, BucketError, Change, CodecError, DestinationChange, DestinationId, DestinationSet, Digest,
    InstallError, MAX_BUCKET_BYTES, Manifest, ManifestError, SnapshotInstall, Version, bucket_of,
};
use proptest::prelude::*;

/// A set that is some changes ahead of another, the last of these changes, and the other set.
fn sets_apart() -> (DestinationSet, Change, DestinationSet) {
    let (behind, _) = filled(200);
    let (mut ahead, _) = filled(200);
    publish(&mut ahead, vec![put(1, "b", 81)]);
    publish(&mut ahead, vec![remove_all(2)]);
    let last = publish(&mut ahead, vec![put(900, "a", 80)]);
    (ahead, last, behind)
}

fn receive_all(install: &mut SnapshotInstall, from: &DestinationSet) {
    for index in install.missing().collect::<Vec<_>>() {
        install.take(index, &from.bucket(index).unwrap()).unwrap();
    }
}

#[test]
fn only_differing_buckets_are_needed_and_changes_are_reported() {
    let (ahead, last, mut set) = sets_apart();
    let mut install = SnapshotInstall::begin(&set, ahead.manifest(), &last).unwrap();
    let mut expected: Vec<_> = [1, 2, 900].map(|id| bucket_of(DestinationId(id))).to_vec();
    expected.sort();
    assert_eq!(install.missing().collect::<Vec<_>>(), expected);
    assert_eq!(set.differing(&ahead.manifest()), expected);
    receive_all(&mut install, &ahead);
    let mut applied = install.finish(&mut set).unwrap();
    applied.changes.sort();
    let (one, two, new) = (DestinationId(1), DestinationId(2), DestinationId(900));
    let changes =
        [DestinationChange::Added(new), DestinationChange::Updated(one), DestinationChange::Removed(two)];
    assert_eq!((applied.version, &applied.changes[..]), (ahead.version(), &changes[..]));
    assert_eq!((set.manifest(), content(&set), set.len()), (ahead.manifest(), content(&ahead), ahead.len()));
    publish(&mut set, vec![put(5, "n", 1)]);
}

#[test]
fn nothing_is_installed_until_all_buckets_are_received() {
    let (ahead, last, mut set) = sets_apart();
    let before = (set.manifest(), content(&set));
    let mut install = SnapshotInstall::begin(&set, ahead.manifest(), &last).unwrap();
    for index in install.missing().collect::<Vec<_>>() {
        assert_eq!(install.finish(&mut set), Err(InstallError::Missing(index)));
        assert_eq!((set.manifest(), content(&set)), before);
        install.take(index, &ahead.bucket(index).unwrap()).unwrap();
    }
    install.finish(&mut set).unwrap();
}

#[test]
fn wrong_duplicate_unknown_and_truncated_buckets_are_refused() {
    let (ahead, last, mut set) = sets_apart();
    let mut install = SnapshotInstall::begin(&set, ahead.manifest(), &last).unwrap();
    let index = bucket_of(DestinationId(1));
    let bytes = ahead.bucket(index).unwrap();
    let wrong = Err(InstallError::BucketDigest(index));
    for length in 0..bytes.len() {
        assert_eq!(install.take(index, &bytes[..length]), wrong);
        let mut altered = bytes.clone();
        altered[length] ^= 1;
        assert_eq!(install.take(index, &altered), wrong);
    }
    assert_eq!(install.take(index, &set.bucket(index).unwrap()), wrong);
    let long = MAX_BUCKET_BYTES + 1;
    let oversize = install.take(index, &vec![0; long]);
    assert_eq!(oversize, Err(InstallError::Bucket(BucketError::TooLarge(long))));
    let same = (0..BUCKETS as u16).find(|index| !set.differing(&ahead.manifest()).contains(index)).unwrap();
    for unwanted in [same, BUCKETS as u16, u16::MAX] {
        assert_eq!(install.take(unwanted, &bytes), Err(InstallError::NotNeeded(unwanted)));
    }
    install.take(index, &bytes).unwrap();
    assert_eq!(install.take(index, &bytes), Err(InstallError::AlreadyReceived(index)));
    receive_all(&mut install, &ahead);
    install.finish(&mut set).unwrap();
    assert_eq!(set.manifest(), ahead.manifest());
    assert!(ahead.bucket(BUCKETS as u16).is_none());
}

#[test]
fn a_manifest_that_does_not_match_the_change_is_refused() {
    let (ahead, last, set) = sets_apart();
    let begin = |manifest: Manifest, change: &Change| SnapshotInstall::begin(&set, manifest, change).err();
    let refused = |error: ManifestError| Some(InstallError::Manifest(error));
    let other = Change { version: Version { epoch: 0, number: 99 }, ..last.clone() };
    assert_eq!(begin(ahead.manifest(), &other), refused(ManifestError::NotVouched));
    let other = Change { digest: Digest([1; 32]), ..last.clone() };
    assert_eq!(begin(ahead.manifest(), &other), refused(ManifestError::NotVouched));
    let mut forged = ahead.manifest();
    forged.bucket_digests[7] = Digest([1; 32]);
    assert_eq!(begin(forged, &last), refused(ManifestError::Digest));
    let mut swapped = ahead.manifest();
    swapped.bucket_digests.swap(7, 8);
    assert_eq!(begin(swapped, &last), refused(ManifestError::Digest));
    let mut short = ahead.manifest();
    short.bucket_digests.pop();
    assert_eq!(begin(short, &last), refused(ManifestError::BucketCount(BUCKETS - 1)));
}

#[test]
fn an_older_version_is_refused_but_a_newer_epoch_may_have_a_lower_number() {
    let (mut ahead, last, mut set) = sets_apart();
    let older = set.manifest();
    let refused = SnapshotInstall::begin(&ahead, older.clone(), &last).unwrap_err();
    assert_eq!(refused, InstallError::Older { have: ahead.version(), got: older.version });
    let same = SnapshotInstall::begin(&ahead, ahead.manifest(), &last).unwrap_err();
    assert_eq!(same, InstallError::Older { have: ahead.version(), got: ahead.version() });

    let mut rebuilt = DestinationSet::new();
    let first = rebuilt.prepare_in_epoch(1, vec![put(1, "a", 80)]).unwrap();
    rebuilt.apply(&first).unwrap();
    let mut install = SnapshotInstall::begin(&set, rebuilt.manifest(), &first).unwrap();
    assert!(install.version() > set.version() && install.version().number < set.version().number);
    receive_all(&mut install, &rebuilt);
    install.finish(&mut set).unwrap();
    assert_eq!((set.manifest(), set.len()), (rebuilt.manifest(), 1));
    let late = SnapshotInstall::begin(&set, ahead.manifest(), &last).unwrap_err();
    assert_eq!(late, InstallError::Older { have: set.version(), got: ahead.version() });
    publish(&mut ahead, vec![]);
}

#[test]
fn a_set_that_changed_meanwhile_is_not_mixed_with_the_snapshot() {
    let (ahead, last, mut set) = sets_apart();
    let mut install = SnapshotInstall::begin(&set, ahead.manifest(), &last).unwrap();
    receive_all(&mut install, &ahead);
    publish(&mut set, vec![put(100, "other", 1)]);
    let before = (set.manifest(), content(&set));
    assert_eq!(install.finish(&mut set), Err(InstallError::SetChanged));
    assert_eq!((set.manifest(), content(&set)), before);
    (0..5).for_each(|_| drop(publish(&mut set, vec![])));
    assert!(matches!(install.finish(&mut set), Err(InstallError::Older { .. })));
}

/// A bucket that matches a signed change is still refused if it is not canonical.
#[test]
fn an_authenticated_bucket_that_is_not_canonical_is_refused() {
    let index = bucket_of(DestinationId(1));
    let one = filled(2).0.bucket(index).unwrap();
    let cases = [
        (one[..one.len() - 1].to_vec(), CodecError::Truncated.into()),
        ([&one[..], &one].concat(), CodecError::Order.into()),
        ([&one[..8], &[0]].concat(), CodecError::EndpointCount(0).into()),
        ([&one[..8], &[255]].concat(), CodecError::EndpointCount(255).into()),
        ([&one[..9], &[1, 0xff]].concat(), CodecError::Utf8.into()),
        ([&one[..11], &[5]].concat(), CodecError::Tag(5).into()),
        ([&0_i64.to_le_bytes(), &one[8..]].concat(), BucketError::Misplaced(DestinationId(0))),
    ];
    for (bytes, error) in cases {
        let (manifest, change) = common::authenticated(index, &bytes);
        let set = DestinationSet::new();
        let mut install = SnapshotInstall::begin(&set, manifest, &change).unwrap();
        assert_eq!(install.take(index, &bytes), Err(InstallError::Bucket(error)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A bucket has only one encoding: an accepted one is encoded again to the same bytes.
    #[test]
    fn an_authenticated_bucket_is_refused_or_canonical(
        mut bytes in prop::collection::vec(any::<u8>(), 0..80), place in any::<usize>(), alter in any::<bool>(),
    ) {
        let index = bucket_of(DestinationId(1));
        if alter {
            let byte = bytes.first().copied().unwrap_or(1);
            bytes = filled(2).0.bucket(index).unwrap();
            let place = place % bytes.len();
            bytes[place] ^= byte;
        }
        let (manifest, change) = common::authenticated(index, &bytes);
        let mut set = DestinationSet::new();
        let mut install = SnapshotInstall::begin(&set, manifest, &change).unwrap();
        let missing = install.missing().collect::<Vec<_>>();
        if missing.iter().try_for_each(|index| install.take(*index, &bytes)).is_ok() {
            install.finish(&mut set).unwrap();
            prop_assert_eq!(set.bucket(index).unwrap(), bytes);
        }
    }
}
