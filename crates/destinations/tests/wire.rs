//! Signed changes, manifests and the log, as received from other machines.

mod common;

use common::{control_keys, filled, key, put, signed};
use destinations::{
    BUCKETS, Change, ChangeLog, ControlKeys, DecodeError, KeyError, LogLimits, MAX_CHANGE_BYTES,
    MAX_CONTROL_KEYS, MAX_OPERATIONS, Manifest, ManifestError, SIGNATURE_BYTES, SignedChange, VerifyError,
    Version,
};
use proptest::prelude::*;

fn change() -> Change {
    filled(3).0.prepare(vec![put(1, "b", 81), common::remove(2, "a"), common::remove_all(0)]).unwrap()
}

#[test]
fn a_signed_change_is_verified_with_any_control_key() {
    let encoded = signed(&change()).encode();
    let read = SignedChange::decode(&encoded).unwrap();
    assert_eq!(read.encoded_len(), encoded.len());
    assert_eq!(read.verify(&control_keys(&[2, 1])), Ok(change()));
    let packed = postcard::to_allocvec(&read).unwrap();
    assert_eq!(postcard::from_bytes::<SignedChange>(&packed), Ok(read));
}

#[test]
fn a_change_of_another_key_is_refused() {
    assert_eq!(signed(&change()).verify(&control_keys(&[2, 3])), Err(VerifyError::Signature));
}

#[test]
fn a_change_truncated_or_altered_at_any_byte_is_refused() {
    let (encoded, keys) = (signed(&change()).encode(), control_keys(&[1]));
    for length in 0..encoded.len() {
        let read = SignedChange::decode(&encoded[..length]);
        assert_eq!(read.is_ok(), length >= SIGNATURE_BYTES);
        assert!(read.is_err() || read.unwrap().verify(&keys) == Err(VerifyError::Signature));
        let mut altered = encoded.clone();
        altered[length] ^= 1;
        assert_eq!(SignedChange::decode(&altered).unwrap().verify(&keys), Err(VerifyError::Signature));
    }
    let mut longer = encoded;
    longer.push(0);
    assert_eq!(SignedChange::decode(&longer).unwrap().verify(&keys), Err(VerifyError::Signature));
}

#[test]
fn truncated_changes_and_trailing_bytes_are_refused() {
    let mut bytes = change().encode().unwrap();
    for length in 0..bytes.len() {
        assert_eq!(Change::decode(&bytes[..length]), Err(DecodeError::Malformed), "truncated at {length}");
    }
    bytes.push(0);
    assert_eq!(Change::decode(&bytes), Err(DecodeError::Trailing(1)));
}

#[test]
fn oversize_changes_are_refused_on_both_sides() {
    let many = Change { operations: vec![common::remove_all(1); MAX_OPERATIONS + 1], ..change() };
    assert_eq!(many.encode(), Err(DecodeError::TooManyOperations(MAX_OPERATIONS + 1)));
    let bytes = postcard::to_allocvec(&many).unwrap();
    assert_eq!(Change::decode(&bytes), Err(DecodeError::TooManyOperations(MAX_OPERATIONS + 1)));
    let long = Change { operations: vec![put(1, &"x".repeat(MAX_CHANGE_BYTES), 1)], ..change() };
    assert!(matches!(SignedChange::sign(&long, &key(1)), Err(DecodeError::TooManyBytes(_))));
    let oversize = vec![0; SIGNATURE_BYTES + MAX_CHANGE_BYTES + 1];
    assert_eq!(SignedChange::decode(&oversize), Err(DecodeError::TooManyBytes(MAX_CHANGE_BYTES + 1)));
}

#[test]
fn control_keys_are_bounded_and_usable() {
    let good = key(1).verifying_key().to_bytes();
    assert_eq!(ControlKeys::new(&[]).unwrap_err(), KeyError::Count(0));
    let many = vec![good; MAX_CONTROL_KEYS + 1];
    assert_eq!(ControlKeys::new(&many).unwrap_err(), KeyError::Count(MAX_CONTROL_KEYS + 1));
    // The neutral point, for which one signature is valid for every message.
    let mut weak = [0; 32];
    weak[0] = 1;
    assert_eq!(ControlKeys::new(&[good, weak]).unwrap_err(), KeyError::Invalid { position: 1 });
}

#[test]
fn a_manifest_is_decoded_and_refused_if_truncated_or_too_long() {
    let manifest = filled(100).0.manifest();
    let mut bytes = manifest.encode().unwrap();
    assert!(bytes.len() <= Manifest::MAX_BYTES);
    assert_eq!(Manifest::decode(&bytes), Ok(manifest.clone()));
    // Every byte of the header and the first digests, and positions spread over the rest, which has the same structure.
    for length in (0..200).chain((200..bytes.len()).step_by(101)).chain([bytes.len() - 1]) {
        assert_eq!(Manifest::decode(&bytes[..length]), Err(ManifestError::Malformed));
    }
    bytes.push(0);
    assert_eq!(Manifest::decode(&bytes), Err(ManifestError::Malformed));
    let oversize = vec![0; Manifest::MAX_BYTES + 1];
    assert_eq!(Manifest::decode(&oversize), Err(ManifestError::TooManyBytes(oversize.len())));
    let short = Manifest { bucket_digests: manifest.bucket_digests[1..].to_vec(), ..manifest };
    assert_eq!(short.encode(), Err(ManifestError::BucketCount(BUCKETS - 1)));
    let bytes = postcard::to_allocvec(&short).unwrap();
    assert_eq!(Manifest::decode(&bytes), Err(ManifestError::BucketCount(BUCKETS - 1)));
}

#[test]
fn a_log_keeps_the_latest_changes_without_gaps() {
    let (change, version) = (signed(&change()), |epoch, number| Version { epoch, number });
    let mut log = ChangeLog::new(version(0, 0), LogLimits { changes: 3, bytes: 1 << 20 });
    (1..=5).for_each(|number| log.push(version(0, number), change.clone()).unwrap());
    let since = |log: &ChangeLog, from| log.since(from).map(Iterator::count);
    assert_eq!(log.version(), version(0, 5));
    assert_eq!((since(&log, version(0, 1)), since(&log, version(0, 6))), (None, None));
    assert_eq!((since(&log, version(0, 2)), since(&log, version(0, 5))), (Some(3), Some(0)));
    for wrong in [version(0, 5), version(0, 7), version(0, 0)] {
        assert_eq!(log.push(wrong, change.clone()).unwrap_err().got, wrong);
    }
    log.push(version(1, 3), change.clone()).unwrap();
    assert_eq!((since(&log, version(0, 5)), since(&log, version(1, 2))), (None, Some(1)));
    assert!(log.push(version(0, 6), change.clone()).is_err());

    let limits = LogLimits { changes: 100, bytes: 2 * change.encoded_len() };
    let mut log = ChangeLog::new(version(0, 0), limits);
    (1..=5).for_each(|number| log.push(version(0, number), change.clone()).unwrap());
    assert_eq!((log.len(), since(&log, version(0, 3))), (2, Some(2)));

    log.reset(version(0, 40), change.clone());
    assert_eq!((log.version(), log.last()), (version(0, 40), Some(&change)));
    assert_eq!((since(&log, version(0, 38)), since(&log, version(0, 39))), (None, Some(1)));
    let mut log = ChangeLog::new(version(0, 0), LogLimits { changes: 0, bytes: 0 });
    (1..=2).for_each(|number| log.push(version(0, number), change.clone()).unwrap());
    assert_eq!((log.len(), log.last(), log.is_empty()), (1, Some(&change), false));
    assert!(log.push(version(1, 0), change).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic_in_a_decoder(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Change::decode(&bytes);
        let _ = Manifest::decode(&bytes);
        let mut file = destinations::persist::Decoder::new();
        let _ = file.push(&bytes);
        if let Ok(change) = SignedChange::decode(&bytes) {
            prop_assert_eq!(change.verify(&control_keys(&[1])), Err(VerifyError::Signature));
        }
    }
}
