//! The observation table: a relay's own observations and those of its peers. It merges them, determines which one is
//! believed, and updates the trust in peers by this relay's own observations.
//!
//! Invariants: a peer's observation never overrides a recent observation of this relay, and the table stays within its size
//! limit.

use std::collections::BTreeMap;

use crate::observation::{Kind, Micros, Observation, Observed, Peer, SECOND};
use crate::trust::Trust;

/// Maximum number of sources whose observations of one kind are held for a destination.
const MAX_SOURCES: usize = 4;
/// Freshness down to which this relay's own observation takes precedence over those of peers.
const OWN_PRECEDENCE_FRESHNESS: f64 = 0.25;
/// Minimum weight of an observation that decisions may be based on.
const MIN_ACTION_WEIGHT: f64 = 0.3;
/// Weight below which an observation is not believed and is dropped.
const MIN_WEIGHT: f64 = 0.02;
/// Time within which a destination hardly changes between failing and healthy, in microseconds: opposite observations within it
/// contradict each other.
const CONTRADICTION_WINDOW: Micros = 2 * SECOND;

type Key = (i64, Kind);

/// A peer's observation.
#[derive(Clone, Copy, Debug)]
struct PeerObservation {
    observation: Observation,
    /// Whether it already counted for or against the trust in its source.
    judged: bool,
}

/// The observation table.
#[derive(Clone, Debug)]
pub struct ObservationTable {
    me: Peer,
    max: usize,
    own: BTreeMap<Key, Observation>,
    from_peers: BTreeMap<Key, Vec<PeerObservation>>,
    /// The trust in each peer.
    pub trust: Trust,
}

impl ObservationTable {
    /// Creates a table of at most `max` observations of its own, and as many destinations and kinds observed by peers.
    pub fn new(me: Peer, max: usize) -> Self {
        ObservationTable {
            me,
            max,
            own: BTreeMap::new(),
            from_peers: BTreeMap::new(),
            trust: Trust::default(),
        }
    }

    /// Adds an observation of this relay. It confirms or contradicts those of peers from the same time.
    pub fn observe(&mut self, now: Micros, destination: i64, observed: Observed) {
        let key = (destination, observed.kind());
        if key.1 == Kind::Health {
            self.judge_peers(now, destination, &observed);
        }
        if self.own.len() >= self.max && !self.own.contains_key(&key) {
            self.drop_stale(now);
            if self.own.len() >= self.max {
                return;
            }
        }
        self.own.insert(key, Observation { destination, observed, at: now, source: self.me, hops: 0 });
    }

    /// Updates the trust in peers by this relay's own observation of a destination's health.
    fn judge_peers(&mut self, now: Micros, destination: i64, own: &Observed) {
        for entry in self.from_peers.get_mut(&(destination, Kind::Health)).into_iter().flatten() {
            if entry.judged || entry.observation.source == self.me {
                continue;
            }
            let confirmed = match (entry.observation.observed, own) {
                // The peer reports a failure, and a call that began soon after it succeeded here. A call that began much
                // later contradicts nothing, as the destination may have recovered.
                (Observed::Failing { recovering_since: None, .. }, Observed::Healthy { call_began }) => {
                    (*call_began >= entry.observation.at
                        && *call_began - entry.observation.at <= CONTRADICTION_WINDOW)
                        .then_some(false)
                }
                // The peer reports a success, and the destination has been failing here since before it.
                (
                    Observed::Healthy { call_began },
                    Observed::Failing { since, recovering_since: None, .. },
                ) => (*since <= call_began && now - call_began <= CONTRADICTION_WINDOW).then_some(false),
                (Observed::Failing { .. }, Observed::Failing { .. })
                | (Observed::Healthy { .. }, Observed::Healthy { .. }) => {
                    (now - entry.observation.at <= Kind::Health.half_life()).then_some(true)
                }
                _ => None,
            };
            if let Some(confirmed) = confirmed {
                entry.judged = true;
                self.trust.record(entry.observation.source, confirmed);
            }
        }
    }

    /// Adds an observation from the snapshot of an earlier process of this relay.
    pub fn restore(&mut self, now: Micros, observation: Observation) {
        let observation = Observation { at: observation.at.min(now), ..observation };
        if observation.source != self.me {
            self.merge(now, observation);
        } else if self.own.len() < self.max && observation.freshness(now) >= MIN_WEIGHT {
            self.own.insert((observation.destination, observation.observed.kind()), observation);
        }
    }

    /// Merges a peer's observation. Returns whether it is new: the first one of its source, or a newer one.
    pub fn merge(&mut self, now: Micros, observation: Observation) -> bool {
        if observation.source == self.me || observation.freshness(now) < MIN_WEIGHT {
            return false;
        }
        let key = (observation.destination, observation.observed.kind());
        if self.from_peers.len() >= self.max && !self.from_peers.contains_key(&key) {
            self.drop_stale(now);
            if self.from_peers.len() >= self.max {
                return false;
            }
        }
        let all = self.from_peers.entry(key).or_default();
        if let Some(old) = all.iter_mut().find(|old| old.observation.source == observation.source) {
            // The newest observation of a source counts, through whichever relays it arrived.
            let newer = observation.at > old.observation.at + SECOND / 20;
            if newer || observation.at >= old.observation.at && observation.hops < old.observation.hops {
                let judged = old.judged && !newer;
                *old = PeerObservation { observation, judged };
            }
            return newer;
        }
        if all.len() >= MAX_SOURCES {
            let oldest = (0..all.len()).min_by_key(|i| all[*i].observation.at).unwrap_or(0);
            if all[oldest].observation.at >= observation.at {
                return false;
            }
            all.swap_remove(oldest);
        }
        all.push(PeerObservation { observation, judged: false });
        true
    }

    /// The believed observation of one kind, with its weight: this relay's own one while it is fresh enough, then the one of
    /// greatest weight.
    pub fn believed(&self, now: Micros, destination: i64, kind: Kind) -> Option<(Observation, f64)> {
        let key = (destination, kind);
        let own = self.own.get(&key).map(|observation| (*observation, observation.freshness(now)));
        if own.is_some_and(|(_, weight)| weight >= OWN_PRECEDENCE_FRESHNESS) {
            return own;
        }
        let from_peers = self.from_peers.get(&key).into_iter().flatten().map(|entry| {
            (entry.observation, entry.observation.freshness(now) * self.trust.of(entry.observation.source))
        });
        let heaviest = from_peers.chain(own).max_by(|a, b| a.1.total_cmp(&b.1));
        heaviest.filter(|(_, weight)| *weight >= MIN_WEIGHT)
    }

    /// The observation to act on after an update: the believed one, if its weight suffices. Where this relay's own
    /// observation is believed, nothing; but while that one is an outage, also the update itself, so that relays share their
    /// probes.
    pub fn actionable(&self, now: Micros, update: &Observation) -> Option<Observation> {
        let kind = update.observed.kind();
        let (believed, weight) = self.believed(now, update.destination, kind)?;
        if believed.source != self.me {
            return (weight >= MIN_ACTION_WEIGHT).then_some(believed);
        }
        let shared = kind == Kind::Health
            && matches!(believed.observed, Observed::Failing { recovering_since: None, .. });
        let weight = update.freshness(now) * self.trust.of(update.source);
        (shared && weight >= MIN_ACTION_WEIGHT).then_some(*update)
    }

    /// All believed observations whose weight suffices to act on, including this relay's own.
    pub fn all_actionable(&self, now: Micros) -> impl Iterator<Item = Observation> + '_ {
        self.all(now).filter(|(_, weight)| *weight >= MIN_ACTION_WEIGHT).map(|(observation, _)| observation)
    }

    /// The believed observation of each destination and kind, with its weight.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = (Observation, f64)> + '_ {
        let only_from_peers = self.from_peers.keys().filter(|key| !self.own.contains_key(*key));
        let keys = self.own.keys().chain(only_from_peers);
        keys.filter_map(move |(destination, kind)| self.believed(now, *destination, *kind))
    }

    /// The believed observations of one destination, with their weights.
    pub fn of(&self, now: Micros, destination: i64) -> Vec<(Observation, f64)> {
        let from = (destination, Kind::Wait);
        let to = (destination, Kind::Health);
        let own = self.own.range(from..=to).map(|(key, _)| *key);
        let mut kinds: Vec<Key> = own.chain(self.from_peers.range(from..=to).map(|(key, _)| *key)).collect();
        kinds.sort_unstable();
        kinds.dedup();
        kinds.into_iter().filter_map(|(_, kind)| self.believed(now, destination, kind)).collect()
    }

    /// Drops the observations that have lost their weight.
    pub fn drop_stale(&mut self, now: Micros) {
        self.own.retain(|_, observation| observation.freshness(now) >= MIN_WEIGHT);
        self.from_peers.retain(|_, all| {
            all.retain(|entry| entry.observation.freshness(now) >= MIN_WEIGHT);
            !all.is_empty()
        });
    }

    /// Number of observations held.
    pub fn len(&self) -> usize {
        self.own.len() + self.from_peers.values().map(Vec::len).sum::<usize>()
    }

    /// Whether no observation is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FAILING: Observed = Observed::Failing { since: 0, failures: 3, recovering_since: None };

    fn observation(observed: Observed, at: Micros, source: Peer) -> Observation {
        Observation { destination: 7, observed, at, source, hops: 0 }
    }

    /// The source of the believed health observation, and whether it is an outage.
    fn health(table: &ObservationTable, now: Micros) -> Option<(Peer, bool)> {
        let (observation, _) = table.believed(now, 7, Kind::Health)?;
        Some((observation.source, matches!(observation.observed, Observed::Failing { .. })))
    }

    #[test]
    fn an_own_observation_takes_precedence_while_it_is_fresh() {
        let mut table = ObservationTable::new(0, 100);
        table.observe(0, 7, Observed::Healthy { call_began: 0 });
        assert!(table.merge(SECOND, observation(FAILING, SECOND, 1)));
        assert_eq!(health(&table, SECOND), Some((0, false)));
        assert_eq!(health(&table, 19 * SECOND), Some((0, false)));
        table.merge(20 * SECOND, observation(FAILING, 20 * SECOND, 1));
        assert_eq!(health(&table, 21 * SECOND), Some((1, true)));
        assert_eq!(health(&table, 200 * SECOND), None, "all observations have lost their weight");
        table.drop_stale(200 * SECOND);
        assert!(table.is_empty());
    }

    #[test]
    fn a_contradicted_peer_is_outweighed_by_a_confirmed_one() {
        let mut table = ObservationTable::new(0, 100);
        for n in 0..6 {
            let now = n * 60 * SECOND;
            table.merge(now, observation(FAILING, now, 1));
            table.merge(now, observation(Observed::Healthy { call_began: now }, now, 2));
            // A call of this relay from the same time succeeds.
            table.observe(now + SECOND, 7, Observed::Healthy { call_began: now + SECOND / 2 });
        }
        let now = 1000 * SECOND;
        assert!(table.trust.of(1) < 0.3 && table.trust.of(2) > 0.8);
        // Both report on another destination, the contradicted peer later.
        let other =
            |observed, at, source| Observation { destination: 8, ..observation(observed, at, source) };
        table.merge(now, other(Observed::Healthy { call_began: now - SECOND }, now - SECOND, 2));
        table.merge(now, other(FAILING, now, 1));
        assert_eq!(table.believed(now, 8, Kind::Health).map(|(observation, _)| observation.source), Some(2));
    }

    #[test]
    fn a_peers_observation_is_acted_on_only_without_a_better_own_one() {
        let mut table = ObservationTable::new(0, 100);
        let (failing, healthy) = (
            observation(FAILING, SECOND, 1),
            observation(Observed::Healthy { call_began: SECOND }, SECOND, 2),
        );
        table.merge(SECOND, failing);
        assert_eq!(table.actionable(SECOND, &failing), Some(failing), "no own observation");
        table.observe(SECOND, 7, FAILING);
        table.merge(SECOND, healthy);
        assert_eq!(table.actionable(SECOND, &failing), Some(failing), "probes are shared");
        assert_eq!(table.actionable(SECOND, &healthy), Some(healthy), "a hold may end");
        assert_eq!(table.actionable(30 * SECOND, &failing), None, "it has lost its weight");
        table.observe(2 * SECOND, 7, Observed::Healthy { call_began: 2 * SECOND });
        assert_eq!(table.actionable(2 * SECOND, &failing), None, "an own call succeeded");
        // A peer that is contradicted repeatedly is not trusted enough to act on.
        for n in 1..8 {
            let now = n * 60 * SECOND;
            table.merge(now, observation(FAILING, now, 1));
            table.observe(now + SECOND, 7, Observed::Healthy { call_began: now + SECOND / 2 });
        }
        let now = 1000 * SECOND;
        let other = Observation { destination: 8, ..observation(FAILING, now, 1) };
        table.merge(now, other);
        assert_eq!(table.actionable(now, &other), None);
    }

    #[test]
    fn an_observation_after_a_possible_recovery_contradicts_no_peer() {
        let mut table = ObservationTable::new(0, 100);
        let before = table.trust.of(1);
        table.merge(0, observation(FAILING, 0, 1));
        table.observe(9 * SECOND, 7, Observed::Healthy { call_began: 9 * SECOND });
        assert_eq!(table.trust.of(1), before, "the destination may have recovered");
    }

    #[test]
    fn the_newest_observation_of_a_source_counts_in_any_order_of_arrival() {
        let mut table = ObservationTable::new(0, 100);
        assert!(
            table.merge(5 * SECOND, observation(Observed::Healthy { call_began: 5 * SECOND }, 5 * SECOND, 1))
        );
        assert!(!table.merge(5 * SECOND, observation(FAILING, 2 * SECOND, 1)), "delayed");
        assert!(
            !table
                .merge(5 * SECOND, observation(Observed::Healthy { call_began: 5 * SECOND }, 5 * SECOND, 1)),
            "duplicated"
        );
        assert_eq!(health(&table, 5 * SECOND), Some((1, false)));
        assert!(
            !table.merge(5 * SECOND, observation(FAILING, 5 * SECOND, 0)),
            "an own observation, passed back by a peer"
        );
    }

    #[test]
    fn the_table_stays_within_its_size_limit() {
        let mut table = ObservationTable::new(0, 50);
        for n in 0..10_000 {
            let source = (n % 700) as Peer + 1;
            table.merge(SECOND, Observation { destination: n, ..observation(FAILING, SECOND, source) });
            table.merge(SECOND, observation(FAILING, n, source));
            table.observe(SECOND, n, FAILING);
        }
        assert!(table.len() <= 50 + 50 * MAX_SOURCES, "{}", table.len());
    }
}
