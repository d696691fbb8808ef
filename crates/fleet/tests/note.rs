//! The wire format: sealing and opening, replay protection, stamps, and arbitrary bytes.

use fleet::keys::{Key, Keys};
use fleet::note::{FRAME, Head, MOST, NoteError, Replay, Stamp, open, room, seal};
use proptest::prelude::*;

fn head(number: u32) -> Head {
    Head { from: 300, incarnation: 600_000_007, number, sent: Stamp(4_000_000_000) }
}

fn keys(ids: &[u8]) -> Keys {
    Keys(ids.iter().map(|id| Key { id: *id, bytes: vec![*id; 32] }).collect())
}

#[test]
fn what_is_sealed_is_opened_by_who_has_the_key() {
    let frames = [(1, vec![1, 2, 3]), (200, vec![]), (1, vec![9; 40])];
    for (ours, theirs) in [(keys(&[]), keys(&[])), (keys(&[1]), keys(&[1])), (keys(&[2, 1]), keys(&[1, 2]))] {
        let sealed = seal(&ours, &head(70_000), &frames).expect("it has room");
        let (read, got) = open(&theirs, &sealed).expect("opens");
        assert_eq!(read, head(70_000));
        assert!(got.iter().zip(&frames).all(|(got, sent)| got.0 == sent.0 && got.1 == sent.1.as_slice()));
        assert_eq!(got.len(), 3);
    }
    let sealed = seal(&keys(&[1]), &head(1), &frames).expect("it has room");
    assert_eq!(open(&keys(&[2]), &sealed), Err(NoteError::UnknownKey(1)), "a key that was rotated out");
    assert_eq!(open(&keys(&[]), &sealed), Err(NoteError::UnknownKey(1)));
    for at in 2..sealed.len() {
        let mut forged = sealed.clone();
        forged[at] ^= 1;
        assert_eq!(open(&keys(&[1]), &forged), Err(NoteError::Forged), "byte {at}");
    }
    let full = [(1, vec![0; room(&keys(&[1])) - FRAME])];
    assert!(seal(&keys(&[1]), &head(u32::MAX), &full).is_some_and(|note| note.len() <= MOST));
    assert_eq!(seal(&keys(&[1]), &head(1), &[(1, vec![0; 250])]), None, "over what a note may have");
}

#[test]
fn a_note_counts_once_and_none_from_before_a_restart() {
    let mut replay = Replay::default();
    let mut take = |incarnation, number| replay.take(incarnation, number).is_ok();
    assert!(take(7, 5) && take(7, 3) && take(7, 9));
    assert!(!take(7, 5) && !take(7, 9) && !take(7, 3), "again");
    assert!(take(7, 200) && !take(7, 100) && take(7, 199));
    assert!(take(8, 1) && !take(7, 201) && take(8, 2), "it restarted");
}

#[test]
fn a_stamp_tells_its_age_over_its_wrap() {
    let at = 1_790_000_000_123_456;
    for age in [0, 1_000, 900_000, 70_000_000, 4_000_000_000] {
        let off = Stamp::of(at).age(at + age) - age;
        assert!(off.abs() <= 1_000, "{age}: {off}");
    }
}

proptest! {
    #[test]
    fn no_datagram_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        for keys in [keys(&[]), keys(&[1])] {
            if let Ok((_, frames)) = open(&keys, &bytes) {
                prop_assert!(frames.len() <= bytes.len() / 2);
            }
        }
    }

    #[test]
    fn no_body_behind_a_sound_head_does(body in prop::collection::vec(any::<u8>(), 0..230)) {
        let keys = keys(&[]);
        let mut sealed = seal(&keys, &head(1), &[]).expect("it has room");
        sealed.extend(&body);
        if let Ok((read, frames)) = open(&keys, &sealed) {
            prop_assert_eq!(read, head(1));
            prop_assert_eq!(frames.iter().map(|(_, bytes)| bytes.len() + FRAME).sum::<usize>(), body.len());
        }
    }
}
