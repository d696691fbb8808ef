//! Frames between control machines: only whole ones of the cluster, meant for this machine, are taken.

use consensus::NodeId;
use control::shell::frame::{FrameError, FrameKey};
use destinations::SigningKey;

fn key(byte: u8) -> FrameKey {
    FrameKey::new(&SigningKey::from_bytes(&[byte; 32]))
}

fn read(mut bytes: &[u8]) -> Result<(NodeId, Vec<u8>), FrameError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(key(1).read(NodeId(2), &mut bytes))
}

#[test]
fn a_frame_of_the_cluster_is_taken() {
    let frame = key(1).seal(NodeId(5), NodeId(2), b"message");
    assert!(matches!(read(&frame), Ok((NodeId(5), message)) if message == b"message"));
}

#[test]
fn any_other_frame_is_refused() {
    let frame = key(1).seal(NodeId(5), NodeId(2), b"message");
    for end in 0..frame.len() {
        assert!(matches!(read(&frame[..end]), Err(FrameError::Io(_))), "cut at {end}");
    }
    for offset in 4..frame.len() {
        let mut changed = frame.clone();
        changed[offset] ^= 1;
        assert!(matches!(read(&changed), Err(FrameError::Forged)), "changed at {offset}");
    }
    let of_another = key(3).seal(NodeId(5), NodeId(2), b"message");
    assert!(matches!(read(&of_another), Err(FrameError::Forged)));
    let to_another = key(1).seal(NodeId(5), NodeId(4), b"message");
    assert!(matches!(read(&to_another), Err(FrameError::WrongReceiver(NodeId(4)))));
    assert!(matches!(read(&[0, 0, 0, 0]), Err(FrameError::Length(0))));
    assert!(matches!(read(&[255; 4]), Err(FrameError::Length(_))));
}
