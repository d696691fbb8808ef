//! Packing and reading the frames of a channel.

use fleet::frame::{pack, read};
use fleet::link::OutgoingFrame;

#[test]
fn items_of_a_peer_keep_their_order_and_no_frame_exceeds_its_room() {
    let items = [(2, vec![1; 6]), (1, vec![2; 3]), (2, vec![3; 6]), (2, vec![4; 2])];
    let frames = pack(items, 8);
    let expected = [(1, vec![2; 3]), (2, vec![1; 6]), (2, [vec![3; 6], vec![4; 2]].concat())];
    assert_eq!(frames, expected.map(|(to, bytes)| OutgoingFrame { to, bytes }));
}

#[test]
fn an_undecodable_item_ends_a_frame() {
    assert_eq!(read::<bool>(&[1, 0, 1]), (vec![true, false, true], true));
    assert_eq!(read::<bool>(&[1, 7, 1]), (vec![true], false));
}
