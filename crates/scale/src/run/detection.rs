//! How long it takes until a dead relay is known as dead by all that live, and whether living ones are taken for dead.

use fleet::Peer;
use fleet::members::MemberState;

use super::delays::DelayHistogram;
use super::relay::Relay;
use crate::time::{MILLISECOND, Micros};

/// While a death is not known to all, it is looked so often who knows of it: delays are told to so much.
pub(super) const LOOK_EVERY: Micros = 50 * MILLISECOND;

/// A relay that died, and those that do not know of it.
#[derive(Debug)]
struct Death {
    peer: Peer,
    at: Micros,
    unaware: Vec<(Peer, u32)>,
}

/// Deaths that are not known to all.
#[derive(Debug, Default)]
pub(super) struct Detection {
    pending: Vec<Death>,
    pub(super) delays: DelayHistogram,
}

impl Detection {
    /// A relay died while these lived, each in the life of that number.
    pub(super) fn died(&mut self, at: Micros, peer: Peer, living: Vec<(Peer, u32)>) {
        self.pending.push(Death { peer, at, unaware: living });
    }

    /// A relay starts again: whoever has not found it dead will not.
    pub(super) fn returned(&mut self, peer: Peer) {
        self.pending.retain(|death| death.peer != peer);
    }

    /// Deaths that are not known to all.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Looks who knows; a relay that is given as none has died, or lives another life.
    pub(super) fn look<'a>(&mut self, now: Micros, relay: impl Fn(Peer, u32) -> Option<&'a Relay>) {
        for death in &mut self.pending {
            let unaware = |observer: Peer, life: u32| {
                relay(observer, life).is_some_and(|relay| !takes_for_dead(relay, death.peer))
            };
            death.unaware.retain(|(observer, life)| unaware(*observer, *life));
        }
        let delays = &mut self.delays;
        self.pending.retain(|death| {
            let known = death.unaware.is_empty();
            if known {
                delays.record(now - death.at);
            }
            !known
        });
    }
}

/// Whether a relay takes another for dead.
pub(super) fn takes_for_dead(relay: &Relay, peer: Peer) -> bool {
    relay.link.members().suspect_or_dead(peer).is_some_and(|(_, standing)| standing == MemberState::Gone)
}
