//! A hollow relay: a link and its channels, called when the relay's own shell (`src/fleet/mod.rs` of the project) calls them.

use std::rc::Rc;

use fleet::keys::{Key, Keys};
use fleet::link::{self, Link, Out};
use fleet::{Peer, incarnation};

use super::meter::Meter;
use crate::scenario::Scenario;
use crate::time::{MILLISECOND, Micros};

/// The shell's timer goes by whole milliseconds.
const TIMER_STEP: Micros = MILLISECOND;

/// What a relay said when it was polled.
#[derive(Debug, Default)]
pub(super) struct Polled {
    /// Datagrams to send.
    pub(super) out: Vec<Out>,
    /// When it is to be polled again, if nothing happens before.
    pub(super) next: Micros,
}

/// A hollow relay.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) link: Link,
    meter: Rc<Meter>,
}

/// The keys by which all relays of a run sign, if they do.
pub(super) fn keys(scenario: &Scenario) -> Keys {
    let key = Key { id: 1, bytes: vec![1; 32] };
    Keys(if scenario.signed { vec![key] } else { Vec::new() })
}

impl Relay {
    /// A relay that starts now.
    pub(super) fn new(me: Peer, scenario: &Scenario, now: Micros, meter: Rc<Meter>) -> Self {
        let config = link::Config {
            me,
            incarnation: incarnation(now),
            peers: (0..scenario.relays).filter_map(|peer| Peer::try_from(peer).ok()).collect(),
            keys: keys(scenario),
            bytes_per_s: scenario.bytes_per_s,
            asks: scenario.asks(),
        };
        Relay { link: Link::new(config, now), meter }
    }

    /// Takes a datagram.
    pub(super) fn receive(&mut self, now: Micros, bytes: &[u8]) {
        let Relay { link, meter } = self;
        // What has no effect is counted by the link.
        let _ = meter.call(|| link.receive(now, bytes, &mut []));
    }

    /// Says what is due, as the shell does after whatever happened.
    pub(super) fn poll(&mut self, now: Micros) -> Polled {
        let Relay { link, meter } = self;
        meter.call(|| {
            let out = link.poll(now, &mut []);
            let next = link.next_at(now, &[]);
            Polled { out, next: timer(now, next) }
        })
    }
}

/// When the shell's timer for a moment goes off.
fn timer(now: Micros, at: Micros) -> Micros {
    let at = at.max(now + 1).min(Micros::MAX / 2);
    at + (TIMER_STEP - at.rem_euclid(TIMER_STEP)) % TIMER_STEP
}
