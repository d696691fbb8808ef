//! Trust in each peer: it falls when this relay's own calls contradict a peer's observation, and rises when they confirm it.
//!
//! Invariant: the trust in a peer stays below 1, the weight of this relay's own observations.

use std::collections::BTreeMap;

use crate::observation::Peer;

/// Initial weight of confirmed observations.
const INITIAL_CONFIRMED: f64 = 4.0;
/// Initial weight of contradicted observations.
const INITIAL_CONTRADICTED: f64 = 1.0;
/// Factor by which earlier results lose weight with each new one.
const DECAY: f64 = 0.9;
/// Weight of a contradicted observation, where a confirmed one has weight 1.
const CONTRADICTION_WEIGHT: f64 = 2.0;

/// The trust in all peers.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    /// Weights of confirmed and contradicted observations.
    counts: BTreeMap<Peer, (f64, f64)>,
}

impl Trust {
    /// The trust in a peer, above 0 and below 1.
    pub fn of(&self, peer: Peer) -> f64 {
        let (confirmed, contradicted) =
            self.counts.get(&peer).copied().unwrap_or((INITIAL_CONFIRMED, INITIAL_CONTRADICTED));
        (confirmed / (confirmed + contradicted)).clamp(0.01, 0.99)
    }

    /// Records that this relay's own calls confirmed or contradicted an observation of a peer.
    pub fn record(&mut self, peer: Peer, confirmed: bool) {
        let (yes, no) = self.counts.entry(peer).or_insert((INITIAL_CONFIRMED, INITIAL_CONTRADICTED));
        (*yes, *no) = (*yes * DECAY, *no * DECAY);
        if confirmed { *yes += 1.0 } else { *no += CONTRADICTION_WEIGHT }
    }

    /// Drops the peers that are no longer members of the fleet.
    pub fn retain(&mut self, keep: impl Fn(Peer) -> bool) {
        self.counts.retain(|peer, _| keep(*peer));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn trust_falls_fast_and_rises_slowly() {
        let mut trust = Trust::default();
        let first = trust.of(1);
        trust.record(1, false);
        let once = trust.of(1);
        (0..5).for_each(|_| trust.record(1, false));
        let often = trust.of(1);
        assert!(first > 0.75 && once < 0.6 && often < 0.3, "{first} {once} {often}");
        trust.record(1, true);
        assert!(
            trust.of(1) > often && trust.of(1) < once,
            "one confirmation does not undo six contradictions"
        );
        (0..40).for_each(|_| trust.record(1, true));
        assert!(trust.of(1) > 0.9);
        assert_eq!(trust.of(2), first, "the trust in other peers is unchanged");
    }
}
