//! Packing and reading the frames of a channel.

use fleet::frame::{pack, read};
use fleet::link::Said;

#[test]
fn items_of_a_peer_keep_their_order_and_no_frame_is_longer_than_its_room() {
    let items = [(2, vec![1; 6]), (1, vec![2; 3]), (2, vec![3; 6]), (2, vec![4; 2])];
    let said = pack(items, 8);
    let expected = [(1, vec![2; 3]), (2, vec![1; 6]), (2, [vec![3; 6], vec![4; 2]].concat())];
    assert_eq!(said, expected.map(|(to, bytes)| Said { to, bytes }));
}

#[test]
fn what_makes_no_sense_ends_a_frame() {
    assert_eq!(read::<bool>(&[1, 0, 1]), (vec![true, false, true], true));
    assert_eq!(read::<bool>(&[1, 7, 1]), (vec![true], false));
}
