//! What a relay sent, by core, exactly.

use fleet::datagram::{self, FRAME_OVERHEAD_BYTES};
use fleet::keys::Keys;

use super::core::{CORES, Core};

/// Datagrams and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Count {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

/// What a relay sent, by core.
#[derive(Clone, Debug, Default)]
pub(super) struct Sent([Count; CORES]);

impl Sent {
    /// Counts a datagram. Frames of several cores may share one: its head and its signature count for the core of the first
    /// frame, each frame for its own.
    pub(super) fn add(&mut self, keys: &Keys, datagram: &[u8]) {
        let frames = datagram::open(keys, datagram).map(|(_, frames)| frames).unwrap_or_default();
        let first = frames.first().map_or(Core::Link, |(channel, _)| Core::of_channel(*channel));
        let mut rest = datagram.len() as u64;
        for (channel, frame) in frames.iter().skip(1) {
            let bytes = (frame.len() + FRAME_OVERHEAD_BYTES) as u64;
            rest = rest.saturating_sub(bytes);
            self.of_mut(Core::of_channel(*channel)).bytes += bytes;
        }
        let first = self.of_mut(first);
        first.messages += 1;
        first.bytes += rest;
    }

    /// Counts a datagram of one core alone.
    pub(super) fn add_all(&mut self, core: Core, datagram: &[u8]) {
        let count = self.of_mut(core);
        count.messages += 1;
        count.bytes += datagram.len() as u64;
    }

    /// What was sent for a core.
    pub(super) fn of(&self, core: Core) -> Count {
        self.0.get(core.slot()).copied().unwrap_or_default()
    }

    /// `Core::slot` lies within the array by the size of both.
    fn of_mut(&mut self, core: Core) -> &mut Count {
        &mut self.0[core.slot()]
    }
}
