//! How far each peer is believed: less when it proved wrong, more again as it proves right. Owns the counts. It
//! must never give a peer a weight that a relay's own eyes would have.

use std::collections::BTreeMap;

use crate::fact::Peer;

/// What a peer starts with: believed, but not blindly.
const RIGHT_AT_FIRST: f64 = 4.0;
const WRONG_AT_FIRST: f64 = 1.0;
/// What an older proof keeps of its weight with each new one.
const KEPT: f64 = 0.9;
/// A proof of error weighs as much as so many of the other kind.
const WRONG_WEIGHS: f64 = 2.0;

/// The trust in all peers.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    counts: BTreeMap<Peer, (f64, f64)>,
}

impl Trust {
    /// The weight of a peer's word, over 0 and under 1.
    pub fn of(&self, peer: Peer) -> f64 {
        let (right, wrong) = self.counts.get(&peer).copied().unwrap_or((RIGHT_AT_FIRST, WRONG_AT_FIRST));
        (right / (right + wrong)).clamp(0.01, 0.99)
    }

    /// What this relay saw itself bears a peer out, or does not.
    pub fn proved(&mut self, peer: Peer, right: bool) {
        let (r, w) = self.counts.entry(peer).or_insert((RIGHT_AT_FIRST, WRONG_AT_FIRST));
        (*r, *w) = (*r * KEPT, *w * KEPT);
        if right { *r += 1.0 } else { *w += WRONG_WEIGHS }
    }

    /// Forgets peers that are no longer of the tier.
    pub fn retain(&mut self, keep: impl Fn(Peer) -> bool) {
        self.counts.retain(|peer, _| keep(*peer));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn trust_falls_fast_and_comes_back_slowly() {
        let mut trust = Trust::default();
        let first = trust.of(1);
        trust.proved(1, false);
        let once = trust.of(1);
        (0..5).for_each(|_| trust.proved(1, false));
        let often = trust.of(1);
        assert!(first > 0.75 && once < 0.6 && often < 0.3, "{first} {once} {often}");
        trust.proved(1, true);
        assert!(trust.of(1) > often && trust.of(1) < once, "one right word does not undo six wrong ones");
        (0..40).for_each(|_| trust.proved(1, true));
        assert!(trust.of(1) > 0.9);
        assert_eq!(trust.of(2), first, "each is judged by its own");
    }
}
