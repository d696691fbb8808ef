//! Operators' drain requests, replicated on all relays: the latest request for each relay, and whether maintenance is
//! paused. Merging is commutative and idempotent, so that requests may arrive in any order and any number of times.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Peer;
use crate::item::MAX_REQUESTS_PER_ITEM;

/// Key under which the pause of all maintenance is stored.
const PAUSE_KEY: Peer = Peer::MAX;
/// Number of times that a change is sent with priority, before it is sent only in its turn.
const EAGER_REPEATS: u8 = 24;

/// What a relay is drained for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The process exits by itself and is restarted.
    #[default]
    Restart,
    /// As for a restart, with another build.
    Upgrade,
    /// The process stays, drained, until the machine goes down. Its next start ends the maintenance.
    Reboot,
    /// As for a reboot, and another machine takes the relay's place.
    Replace,
}

impl Kind {
    /// Whether the process exits by itself once it is drained.
    pub fn exits_process(self) -> bool {
        matches!(self, Kind::Restart | Kind::Upgrade)
    }
}

/// Stage of a drain request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The relay is to be drained.
    #[serde(rename = "wanted")]
    Pending,
    /// The maintenance is over.
    Done,
    /// The request was withdrawn.
    Aborted,
    /// The relay is not expected back and no longer counts as unavailable, until it reports otherwise.
    WrittenOff,
}

/// The latest drain request for one relay. Of two, the later update applies; of the same time, the one of the later stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The relay.
    pub relay: Peer,
    /// Time of this update, in Unix milliseconds.
    #[serde(rename = "said")]
    pub updated_at_ms: u64,
    /// When the relay's maintenance was first requested, in Unix milliseconds. Older requests go first.
    #[serde(rename = "since")]
    pub requested_at_ms: u64,
    /// What the relay is drained for.
    pub kind: Kind,
    /// The present stage.
    pub stage: Stage,
}

impl DrainRequest {
    fn supersedes(&self, other: &DrainRequest) -> bool {
        let order = |request: &DrainRequest| {
            (request.updated_at_ms, request.stage as u8, request.kind as u8, request.requested_at_ms)
        };
        order(self) > order(other)
    }
}

/// The latest drain requests of all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DrainRequests {
    by_relay: BTreeMap<Peer, DrainRequest>,
    /// Number of times that a change is still to be sent with priority, by relay.
    resends_left: BTreeMap<Peer, u8>,
    cursor: Peer,
}

impl DrainRequests {
    /// Merges a request received from another relay, in a fleet of `relays`. Returns whether it changed anything.
    pub fn merge(&mut self, relays: Peer, request: DrainRequest) -> bool {
        let known = request.relay < relays || request.relay == PAUSE_KEY;
        let new = known && self.by_relay.get(&request.relay).is_none_or(|old| request.supersedes(old));
        if new {
            self.by_relay.insert(request.relay, request);
            self.resends_left.insert(request.relay, EAGER_REPEATS);
        }
        new
    }

    /// Updates the request for a relay. One that is pending keeps its place in the order. Returns whether it changed anything.
    pub fn update(&mut self, now_ms: u64, relays: Peer, relay: Peer, kind: Kind, stage: Stage) -> bool {
        let old = self.by_relay.get(&relay);
        let same = old.is_some_and(|old| old.stage == stage && (stage != Stage::Pending || old.kind == kind));
        if same {
            return false;
        }
        let requested_at_ms =
            old.filter(|old| old.stage == Stage::Pending).map_or(now_ms, |old| old.requested_at_ms);
        let updated_at_ms = now_ms.max(old.map_or(0, |old| old.updated_at_ms + 1));
        self.merge(relays, DrainRequest { relay, updated_at_ms, requested_at_ms, kind, stage })
    }

    /// The latest request for a relay.
    pub fn get(&self, relay: Peer) -> Option<&DrainRequest> {
        self.by_relay.get(&relay)
    }

    /// Pending requests, the oldest first.
    pub fn pending(&self) -> Vec<DrainRequest> {
        let mut pending: Vec<DrainRequest> = self
            .by_relay
            .values()
            .filter(|w| w.stage == Stage::Pending && w.relay != PAUSE_KEY)
            .copied()
            .collect();
        pending.sort_by_key(|request| (request.requested_at_ms, request.relay));
        pending
    }

    /// Whether a request is pending or maintenance is paused.
    pub fn any_pending(&self) -> bool {
        self.by_relay.values().any(|request| request.stage == Stage::Pending)
    }

    /// Whether a relay is written off.
    pub fn written_off(&self, relay: Peer) -> bool {
        self.by_relay.get(&relay).is_some_and(|request| request.stage == Stage::WrittenOff)
    }

    /// Whether operators have paused maintenance.
    pub fn paused(&self) -> bool {
        self.by_relay.get(&PAUSE_KEY).is_some_and(|request| request.stage == Stage::Pending)
    }

    /// Pauses or resumes all maintenance.
    pub fn set_paused(&mut self, now_ms: u64, relays: Peer, paused: bool) -> bool {
        let stage = if paused { Stage::Pending } else { Stage::Aborted };
        self.update(now_ms, relays, PAUSE_KEY, Kind::default(), stage)
    }

    /// All requests, to be persisted.
    pub fn all(&self) -> Vec<DrainRequest> {
        self.by_relay.values().copied().collect()
    }

    /// Requests for the next item: recent changes first, then each request in turn.
    pub fn next_to_send(&mut self) -> Vec<DrainRequest> {
        let mut chosen: Vec<DrainRequest> = Vec::new();
        // Changes that were sent the fewest times go first.
        let mut by_resends: Vec<(u8, Peer)> =
            self.resends_left.iter().map(|(relay, left)| (*left, *relay)).collect();
        by_resends.sort_by_key(|(left, relay)| (std::cmp::Reverse(*left), *relay));
        for (_, relay) in by_resends.into_iter().take(MAX_REQUESTS_PER_ITEM - 1) {
            chosen.extend(self.by_relay.get(&relay));
            match self.resends_left.get_mut(&relay) {
                Some(left) if *left > 1 => *left -= 1,
                _ => drop(self.resends_left.remove(&relay)),
            }
        }
        let next = self.by_relay.range(self.cursor..).next().or(self.by_relay.iter().next());
        if let Some((relay, request)) = next {
            self.cursor = relay.wrapping_add(1);
            if !chosen.contains(request) {
                chosen.push(*request);
            }
        }
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_repeated_request_keeps_its_place_and_its_completion_supersedes_it() {
        let mut requests = DrainRequests::default();
        assert!(requests.update(1000, 9, 3, Kind::Restart, Stage::Pending));
        assert!(!requests.update(2000, 9, 3, Kind::Restart, Stage::Pending), "repeated request");
        assert!(requests.update(2000, 9, 3, Kind::Reboot, Stage::Pending));
        assert_eq!(requests.get(3).map(|request| request.requested_at_ms), Some(1000));
        assert!(requests.update(900, 9, 3, Kind::Reboot, Stage::Done), "from a clock that is behind");
        assert!(requests.pending().is_empty() && !requests.any_pending());
        assert!(!requests.update(3000, 9, 12, Kind::Restart, Stage::Pending), "no such relay");
        assert!(
            requests.set_paused(1, 9, true)
                && requests.paused()
                && requests.set_paused(1, 9, false)
                && !requests.paused()
        );
    }

    proptest! {
        #[test]
        fn merging_in_any_order_gives_the_same_requests(
            updates in prop::collection::vec((0..3u16, 0..5u64, 0..4usize), 0..20), seed in any::<u64>()
        ) {
            let stages = [Stage::Pending, Stage::Done, Stage::Aborted, Stage::WrittenOff];
            let updates: Vec<DrainRequest> = updates.into_iter().map(|(relay, updated_at_ms, n)| {
                DrainRequest { relay, updated_at_ms, requested_at_ms: updated_at_ms, kind: Kind::Restart, stage: stages[n] }
            }).collect();
            let merged = |updates: &[DrainRequest]| {
                let mut requests = DrainRequests::default();
                updates.iter().for_each(|request| { requests.merge(3, *request); });
                requests.all()
            };
            let mut reordered = updates.clone();
            reordered.sort_by_key(|request| (request.updated_at_ms ^ seed).wrapping_mul(0x9E37_79B9) ^ u64::from(request.relay));
            reordered.extend(&updates);
            prop_assert_eq!(merged(&updates), merged(&reordered));
        }
    }
}
