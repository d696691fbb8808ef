//! The wire format: sealing and opening, replay protection, stamps, and arbitrary bytes.

use fleet::datagram::{
    DatagramError, FRAME_OVERHEAD_BYTES, Header, MAX_DATAGRAM_BYTES, ReplayWindow, Stamp, frame_capacity,
    open, seal,
};
use fleet::keys::{Key, Keys};
use proptest::prelude::*;

fn header(number: u32) -> Header {
    Header { from: 300, incarnation: 600_000_007, number, sent: Stamp(4_000_000_000) }
}

fn keys(ids: &[u8]) -> Keys {
    Keys(ids.iter().map(|id| Key { id: *id, bytes: vec![*id; 32] }).collect())
}

#[test]
fn a_sealed_datagram_is_opened_with_the_same_key_only() {
    let frames = [(1, vec![1, 2, 3]), (200, vec![]), (1, vec![9; 40])];
    for (ours, theirs) in [(keys(&[]), keys(&[])), (keys(&[1]), keys(&[1])), (keys(&[2, 1]), keys(&[1, 2]))] {
        let sealed = seal(&ours, &header(70_000), &frames).expect("it has room");
        let (opened_header, opened) = open(&theirs, &sealed).expect("opens");
        assert_eq!(opened_header, header(70_000));
        assert!(
            opened
                .iter()
                .zip(&frames)
                .all(|(opened, sent)| opened.0 == sent.0 && opened.1 == sent.1.as_slice())
        );
        assert_eq!(opened.len(), 3);
    }
    let sealed = seal(&keys(&[1]), &header(1), &frames).expect("it has room");
    assert_eq!(open(&keys(&[2]), &sealed), Err(DatagramError::UnknownKey(1)), "the key was rotated out");
    assert_eq!(open(&keys(&[]), &sealed), Err(DatagramError::UnknownKey(1)));
    for at in 2..sealed.len() {
        let mut forged = sealed.clone();
        forged[at] ^= 1;
        assert_eq!(open(&keys(&[1]), &forged), Err(DatagramError::Forged), "byte {at}");
    }
    let full = [(1, vec![0; frame_capacity(&keys(&[1])) - FRAME_OVERHEAD_BYTES])];
    assert!(
        seal(&keys(&[1]), &header(u32::MAX), &full)
            .is_some_and(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES)
    );
    assert_eq!(seal(&keys(&[1]), &header(1), &[(1, vec![0; 250])]), None, "longer than a datagram may be");
}

#[test]
fn each_datagram_is_accepted_once_and_none_of_an_earlier_incarnation() {
    let mut replay = ReplayWindow::default();
    let mut accept = |incarnation, number| replay.accept(incarnation, number).is_ok();
    assert!(accept(7, 5) && accept(7, 3) && accept(7, 9));
    assert!(!accept(7, 5) && !accept(7, 9) && !accept(7, 3), "duplicates");
    assert!(accept(7, 200) && !accept(7, 100) && accept(7, 199));
    assert!(accept(8, 1) && !accept(7, 201) && accept(8, 2), "new incarnation");
}

#[test]
fn the_age_of_a_stamp_is_correct_across_its_wrap() {
    let at = 1_790_000_000_123_456;
    for age in [0, 1_000, 900_000, 70_000_000, 4_000_000_000] {
        let error = Stamp::of(at).age(at + age) - age;
        assert!(error.abs() <= 1_000, "{age}: {error}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic_and_decode_to_no_more_frames_than_fit(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        for keys in [keys(&[]), keys(&[1])] {
            if let Ok((_, frames)) = open(&keys, &bytes) {
                prop_assert!(frames.len() <= bytes.len() / 2);
            }
        }
    }

    #[test]
    fn arbitrary_frames_after_a_valid_header_do_not_panic_and_keep_their_length(body in prop::collection::vec(any::<u8>(), 0..230)) {
        let keys = keys(&[]);
        let mut sealed = seal(&keys, &header(1), &[]).expect("it has room");
        sealed.extend(&body);
        if let Ok((opened_header, frames)) = open(&keys, &sealed) {
            prop_assert_eq!(opened_header, header(1));
            prop_assert_eq!(frames.iter().map(|(_, bytes)| bytes.len() + FRAME_OVERHEAD_BYTES).sum::<usize>(), body.len());
        }
    }
}
