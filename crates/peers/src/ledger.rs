//! What this relay knows of destinations, by its own eyes and by hearsay. Owns how facts merge, contradict and are
//! believed, and how peers prove right or wrong by what is seen here. It must never let hearsay stand before what
//! this relay saw itself a moment ago, nor grow beyond its bound.

use std::collections::BTreeMap;

use crate::fact::{Fact, Kind, Known, Micros, Peer, SECOND};
use crate::trust::Trust;

/// Hearsay of one kind is kept from so many sources.
const SOURCES: usize = 4;
/// What this relay saw itself beats all hearsay until so little is left of it.
const OWN_BEATS: f64 = 0.25;
/// Nobody acts on a word of less weight.
const HEEDED: f64 = 0.3;
/// Less than this is not believed, and is forgotten.
const FORGOTTEN: f64 = 0.02;
/// A destination hardly turns around within this: who says otherwise of the same moment is wrong.
const SAME_MOMENT: Micros = 2 * SECOND;

type Key = (i64, Kind);

#[derive(Clone, Copy, Debug)]
struct Heard {
    fact: Fact,
    judged: bool,
}

/// What is known.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: Peer,
    most: usize,
    own: BTreeMap<Key, Fact>,
    heard: BTreeMap<Key, Vec<Heard>>,
    /// Who is how far believed.
    pub trust: Trust,
}

impl Ledger {
    /// A ledger of at most so many facts of its own, and as many keys of hearsay.
    pub fn new(me: Peer, most: usize) -> Self {
        Ledger { me, most, own: BTreeMap::new(), heard: BTreeMap::new(), trust: Trust::default() }
    }

    /// This relay saw something. Peers who spoke of the same moment prove right or wrong by it.
    pub fn observe(&mut self, now: Micros, destination: i64, known: Known) {
        let key = (destination, known.kind());
        if key.1 == Kind::Health {
            self.judge(now, destination, &known);
        }
        if self.own.len() >= self.most && !self.own.contains_key(&key) {
            self.forget(now);
            if self.own.len() >= self.most {
                return;
            }
        }
        self.own.insert(key, Fact { destination, known, at: now, source: self.me, hops: 0 });
    }

    fn judge(&mut self, now: Micros, destination: i64, seen: &Known) {
        for heard in self.heard.get_mut(&(destination, Kind::Health)).into_iter().flatten() {
            if heard.judged || heard.fact.source == self.me {
                continue;
            }
            let right = match (heard.fact.known, seen) {
                // It answered to a call that began just after the peer saw it fail; later it may have come back.
                (Known::Trouble { back: None, .. }, Known::Good { at }) => {
                    (*at >= heard.fact.at && *at - heard.fact.at <= SAME_MOMENT).then_some(false)
                }
                // It has been failing here since before the peer saw it answer.
                (Known::Good { at }, Known::Trouble { since, back: None, .. }) => {
                    (*since <= at && now - at <= SAME_MOMENT).then_some(false)
                }
                (Known::Trouble { .. }, Known::Trouble { .. }) | (Known::Good { .. }, Known::Good { .. }) => {
                    (now - heard.fact.at <= Kind::Health.half_life()).then_some(true)
                }
                _ => None,
            };
            if let Some(right) = right {
                heard.judged = true;
                self.trust.proved(heard.fact.source, right);
            }
        }
    }

    /// What an earlier process of this relay saw or heard then, as a snapshot has it.
    pub fn restore(&mut self, now: Micros, fact: Fact) {
        let fact = Fact { at: fact.at.min(now), ..fact };
        if fact.source != self.me {
            self.hear(now, fact);
        } else if self.own.len() < self.most && fact.freshness(now) >= FORGOTTEN {
            self.own.insert((fact.destination, fact.known.kind()), fact);
        }
    }

    /// A peer says something. Tells whether it is news: not known so, or not so fresh.
    pub fn hear(&mut self, now: Micros, fact: Fact) -> bool {
        if fact.source == self.me || fact.freshness(now) < FORGOTTEN {
            return false;
        }
        let key = (fact.destination, fact.known.kind());
        if self.heard.len() >= self.most && !self.heard.contains_key(&key) {
            self.forget(now);
            if self.heard.len() >= self.most {
                return false;
            }
        }
        let all = self.heard.entry(key).or_default();
        if let Some(old) = all.iter_mut().find(|old| old.fact.source == fact.source) {
            // One source tells of one thing: the newest word counts, by whatever way it came.
            let newer = fact.at > old.fact.at + SECOND / 20;
            if newer || fact.at >= old.fact.at && fact.hops < old.fact.hops {
                let judged = old.judged && !newer;
                *old = Heard { fact, judged };
            }
            return newer;
        }
        if all.len() >= SOURCES {
            let stalest = (0..all.len()).min_by_key(|i| all[*i].fact.at).unwrap_or(0);
            if all[stalest].fact.at >= fact.at {
                return false;
            }
            all.swap_remove(stalest);
        }
        all.push(Heard { fact, judged: false });
        true
    }

    /// What is believed of a destination in one respect, and with what weight: this relay's own word until it
    /// has faded, then the heaviest of all.
    pub fn believed(&self, now: Micros, destination: i64, kind: Kind) -> Option<(Fact, f64)> {
        let key = (destination, kind);
        let own = self.own.get(&key).map(|fact| (*fact, fact.freshness(now)));
        if own.is_some_and(|(_, weight)| weight >= OWN_BEATS) {
            return own;
        }
        let heard = self
            .heard
            .get(&key)
            .into_iter()
            .flatten()
            .map(|heard| (heard.fact, heard.fact.freshness(now) * self.trust.of(heard.fact.source)));
        let heaviest = heard.chain(own).max_by(|a, b| a.1.total_cmp(&b.1));
        heaviest.filter(|(_, weight)| *weight >= FORGOTTEN)
    }

    /// What one that acts may make of news: nothing where this relay's own word is that all is well, or where who
    /// says it is hardly believed; of a trouble of its own also what others see of it; else what is believed.
    pub fn heeded(&self, now: Micros, news: &Fact) -> Option<Fact> {
        let kind = news.known.kind();
        let (believed, weight) = self.believed(now, news.destination, kind)?;
        if believed.source != self.me {
            return (weight >= HEEDED).then_some(believed);
        }
        let shared = kind == Kind::Health && matches!(believed.known, Known::Trouble { back: None, .. });
        let weight = news.freshness(now) * self.trust.of(news.source);
        (shared && weight >= HEEDED).then_some(*news)
    }

    /// All that is believed enough to act on it, also of what this relay saw itself.
    pub fn acted_on(&self, now: Micros) -> impl Iterator<Item = Fact> + '_ {
        self.all(now).filter(|(_, weight)| *weight >= HEEDED).map(|(fact, _)| fact)
    }

    /// Every key of which something is known, with what is believed.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = (Fact, f64)> + '_ {
        let only_heard = self.heard.keys().filter(|key| !self.own.contains_key(*key));
        let keys = self.own.keys().chain(only_heard);
        keys.filter_map(move |(destination, kind)| self.believed(now, *destination, *kind))
    }

    /// All that is believed of one destination.
    pub fn of(&self, now: Micros, destination: i64) -> Vec<(Fact, f64)> {
        let from = (destination, Kind::Wait);
        let to = (destination, Kind::Health);
        let own = self.own.range(from..=to).map(|(key, _)| *key);
        let mut kinds: Vec<Key> = own.chain(self.heard.range(from..=to).map(|(key, _)| *key)).collect();
        kinds.sort_unstable();
        kinds.dedup();
        kinds.into_iter().filter_map(|(_, kind)| self.believed(now, destination, kind)).collect()
    }

    /// Forgets what has faded.
    pub fn forget(&mut self, now: Micros) {
        self.own.retain(|_, fact| fact.freshness(now) >= FORGOTTEN);
        self.heard.retain(|_, all| {
            all.retain(|heard| heard.fact.freshness(now) >= FORGOTTEN);
            !all.is_empty()
        });
    }

    /// Facts that are held.
    pub fn len(&self) -> usize {
        self.own.len() + self.heard.values().map(Vec::len).sum::<usize>()
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHUT: Known = Known::Trouble { since: 0, failures: 3, back: None };

    fn fact(known: Known, at: Micros, source: Peer) -> Fact {
        Fact { destination: 7, known, at, source, hops: 0 }
    }

    fn health(ledger: &Ledger, now: Micros) -> Option<(Peer, bool)> {
        let (fact, _) = ledger.believed(now, 7, Kind::Health)?;
        Some((fact.source, matches!(fact.known, Known::Trouble { .. })))
    }

    #[test]
    fn ones_own_word_beats_all_others_until_it_has_faded() {
        let mut ledger = Ledger::new(0, 100);
        ledger.observe(0, 7, Known::Good { at: 0 });
        assert!(ledger.hear(SECOND, fact(SHUT, SECOND, 1)));
        assert_eq!(health(&ledger, SECOND), Some((0, false)));
        assert_eq!(health(&ledger, 19 * SECOND), Some((0, false)));
        ledger.hear(20 * SECOND, fact(SHUT, 20 * SECOND, 1));
        assert_eq!(health(&ledger, 21 * SECOND), Some((1, true)));
        assert_eq!(health(&ledger, 200 * SECOND), None, "all of it has faded");
        ledger.forget(200 * SECOND);
        assert!(ledger.is_empty());
    }

    #[test]
    fn a_peer_that_was_wrong_is_outweighed_by_one_that_was_not() {
        let mut ledger = Ledger::new(0, 100);
        for n in 0..6 {
            let now = n * 60 * SECOND;
            ledger.hear(now, fact(SHUT, now, 1));
            ledger.hear(now, fact(Known::Good { at: now }, now, 2));
            // It answers here to a call of the same moment.
            ledger.observe(now + SECOND, 7, Known::Good { at: now + SECOND / 2 });
        }
        let now = 1000 * SECOND;
        assert!(ledger.trust.of(1) < 0.3 && ledger.trust.of(2) > 0.8);
        // Both speak of another destination, the liar later.
        let other = |known, at, source| Fact { destination: 8, ..fact(known, at, source) };
        ledger.hear(now, other(Known::Good { at: now - SECOND }, now - SECOND, 2));
        ledger.hear(now, other(SHUT, now, 1));
        assert_eq!(ledger.believed(now, 8, Kind::Health).map(|(fact, _)| fact.source), Some(2));
    }

    #[test]
    fn one_that_acts_heeds_others_only_where_it_does_not_know_better() {
        let mut ledger = Ledger::new(0, 100);
        let (shut, well) = (fact(SHUT, SECOND, 1), fact(Known::Good { at: SECOND }, SECOND, 2));
        ledger.hear(SECOND, shut);
        assert_eq!(ledger.heeded(SECOND, &shut), Some(shut), "it knows nothing itself");
        ledger.observe(SECOND, 7, SHUT);
        ledger.hear(SECOND, well);
        assert_eq!(ledger.heeded(SECOND, &shut), Some(shut), "trials are shared");
        assert_eq!(ledger.heeded(SECOND, &well), Some(well), "a hold may end");
        assert_eq!(ledger.heeded(30 * SECOND, &shut), None, "it has faded");
        ledger.observe(2 * SECOND, 7, Known::Good { at: 2 * SECOND });
        assert_eq!(ledger.heeded(2 * SECOND, &shut), None, "it has seen it work");
        // Who is proved wrong again and again is not heeded any more.
        for n in 1..8 {
            let now = n * 60 * SECOND;
            ledger.hear(now, fact(SHUT, now, 1));
            ledger.observe(now + SECOND, 7, Known::Good { at: now + SECOND / 2 });
        }
        let now = 1000 * SECOND;
        let other = Fact { destination: 8, ..fact(SHUT, now, 1) };
        ledger.hear(now, other);
        assert_eq!(ledger.heeded(now, &other), None);
    }

    #[test]
    fn what_may_have_changed_in_between_proves_nobody_wrong() {
        let mut ledger = Ledger::new(0, 100);
        let before = ledger.trust.of(1);
        ledger.hear(0, fact(SHUT, 0, 1));
        ledger.observe(9 * SECOND, 7, Known::Good { at: 9 * SECOND });
        assert_eq!(ledger.trust.of(1), before, "it came back");
    }

    #[test]
    fn the_newest_word_of_a_source_counts_in_whatever_order_it_comes() {
        let mut ledger = Ledger::new(0, 100);
        assert!(ledger.hear(5 * SECOND, fact(Known::Good { at: 5 * SECOND }, 5 * SECOND, 1)));
        assert!(!ledger.hear(5 * SECOND, fact(SHUT, 2 * SECOND, 1)), "late");
        assert!(!ledger.hear(5 * SECOND, fact(Known::Good { at: 5 * SECOND }, 5 * SECOND, 1)), "twice");
        assert_eq!(health(&ledger, 5 * SECOND), Some((1, false)));
        assert!(!ledger.hear(5 * SECOND, fact(SHUT, 5 * SECOND, 0)), "its own word, passed back to it");
    }

    #[test]
    fn it_stays_within_its_bound_whatever_is_told() {
        let mut ledger = Ledger::new(0, 50);
        for n in 0..10_000 {
            let source = (n % 700) as Peer + 1;
            ledger.hear(SECOND, Fact { destination: n, ..fact(SHUT, SECOND, source) });
            ledger.hear(SECOND, fact(SHUT, n, source));
            ledger.observe(SECOND, n, SHUT);
        }
        assert!(ledger.len() <= 50 + 50 * SOURCES, "{}", ledger.len());
    }
}
