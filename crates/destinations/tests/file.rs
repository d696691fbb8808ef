//! A set is restored from its file exactly, or the file is refused.

mod common;

use common::{content, filled, publish, put};
use destinations::persist::{Decoder, Encoder, FileError, SetChanged, encode};
use destinations::{BucketError, DestinationSet};

fn read(file: &[u8], piece: usize) -> Result<DestinationSet, FileError> {
    let mut decoder = Decoder::new();
    file.chunks(piece).try_for_each(|piece| decoder.push(piece))?;
    decoder.finish()
}

#[test]
fn a_set_is_restored_from_pieces_of_any_length() {
    let (set, _) = filled(500);
    let file = encode(&set).collect::<Vec<_>>().concat();
    for piece in [1, 7, 4096, file.len()] {
        let mut back = read(&file, piece).unwrap();
        assert_eq!((back.manifest(), back.len()), (set.manifest(), set.len()));
        assert_eq!(content(&back), content(&set));
        publish(&mut back, vec![put(1, "b", 1)]);
    }
}

#[test]
fn encoding_piece_by_piece_gives_the_same_file_and_fails_once_the_set_changes() {
    let (mut set, _) = filled(500);
    let mut encoder = Encoder::new(&set);
    let mut pieces = Vec::new();
    while let Some(piece) = encoder.next_piece(&set).unwrap() {
        pieces.push(piece);
    }
    assert_eq!(pieces.concat(), encode(&set).collect::<Vec<_>>().concat());
    assert_eq!(encoder.next_piece(&set), Ok(None), "no piece follows");
    let mut encoder = Encoder::new(&set);
    assert!(matches!(encoder.next_piece(&set), Ok(Some(_))));
    publish(&mut set, vec![]);
    assert_eq!(encoder.next_piece(&set), Err(SetChanged), "even if only the version differs");
}

/// Every byte of the header, of the first and last buckets and of the checksum, and positions spread over the rest, where
/// most buckets are empty.
fn positions(length: usize) -> impl Iterator<Item = usize> {
    (0..200).chain((200..length - 200).step_by(7)).chain(length - 200..length)
}

#[test]
fn a_file_truncated_at_any_byte_is_refused() {
    let file = encode(&filled(30).0).collect::<Vec<_>>().concat();
    for length in positions(file.len()) {
        assert_eq!(read(&file[..length], 4096).err(), Some(FileError::Truncated), "truncated at {length}");
    }
}

#[test]
fn a_file_altered_at_any_byte_is_refused() {
    let mut file = encode(&filled(30).0).collect::<Vec<_>>().concat();
    for position in positions(file.len()) {
        file[position] ^= 1;
        assert!(read(&file, 4096).is_err(), "altered at {position}");
        file[position] ^= 1;
    }
    assert!(read(&file, 4096).is_ok());
}

#[test]
fn each_fault_of_a_file_has_its_own_error() {
    let mut file = encode(&filled(5).0).collect::<Vec<_>>().concat();
    let checksum = file.len() - 1;
    file[checksum] ^= 1;
    assert_eq!(read(&file, 4096).err(), Some(FileError::Checksum));
    file[checksum] ^= 1;
    file.push(0);
    assert_eq!(read(&file, 4096).err(), Some(FileError::Trailing));
    file[52..56].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(read(&file, 4096).err(), Some(BucketError::TooLarge(u32::MAX as usize).into()));
    file[0] = b'x';
    assert_eq!(read(&file, 4096).err(), Some(FileError::Magic));
}
