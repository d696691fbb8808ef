//! When the fleet's next call to a destination may start, and whose it is. Owns the limits of all destinations (see
//! `limit.rs`). It must never permit a call while a wait that the destination told lasts, and permits more to one that
//! returns cold only as that warms. Where relays own parts of the rate, it never permits more than the parts that are lent to
//! it come to, trials at what is out included.

use std::collections::{BTreeMap, BTreeSet};

use escrow::next_time_slot;
use fleet::datagram::Stamp;
use overload::waits::MinimumWaits;

use crate::limit::{Limit, WANTS_FOR};
use crate::{Micros, Peer, SECOND, Sharing, Tiers, take};

pub use crate::limit::{Cold, Fleet, Report, SLICE_FOR};

/// A steward that was idle may catch up on calls of so long.
const BURST: Micros = SECOND / 10;
/// A permit is taken for lost when its relay has not seen it by then.
const LOST: Micros = 2 * SECOND / 10;
/// A turn that was missed by no more than this is taken late.
const MISSED: Micros = SECOND / 20;
/// Where parts are lent, a permit that its relay has not seen by then is void, and its call may be given once more. Nobody
/// uses one that was sent or came later than half of this.
pub const VOID: Micros = 28 * SECOND / 100;

/// Who asks, and what it lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    /// The relay.
    pub peer: Peer,
    /// Its start.
    pub incarnation: u32,
    /// It lends its part by this stamp of the steward's, for so long after it.
    pub lends: Option<(Stamp, Micros)>,
}

/// What one that asks is told at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The permits that it has had.
    Permits(Grant),
    /// It may call at this rate, in calls a second, for [`SLICE_FOR`].
    Rate(f64),
}

/// What waits at all relays for one destination, as its steward hears it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The destination.
    pub destination: i64,
    /// Calls a second that the steward permits now.
    pub per_s: f64,
    /// Messages by worth, in thousandths, the worthiest first.
    pub waiting: Vec<(u16, u32)>,
    /// How long they wait at the least.
    pub waits: MinimumWaits,
}

/// A permit given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// To whom.
    pub to: Peer,
    /// For which destination.
    pub destination: i64,
    /// Permits that it has had so far, this one included; counts around.
    pub total: u16,
    /// Endpoints of this kind take few connections.
    pub few: bool,
    /// How long ago the latest was given.
    pub age: Micros,
}

/// The limits that this relay is steward of, as it was asked.
///
/// A fleet lists many more destinations than one relay is asked for: those have a listed rate and no state, and only
/// those that are wanted are looked at when permits are due.
#[derive(Clone, Debug)]
pub struct Steward {
    cold: Cold,
    fleet: Fleet,
    /// Listed rates of all destinations, in calls a second.
    listed: BTreeMap<i64, f64>,
    /// State of those that were asked for or reported on.
    limits: BTreeMap<i64, Limit>,
    /// Destinations for which a relay may want permits.
    wanted: BTreeSet<i64>,
}

impl Steward {
    /// A steward that knows nothing yet.
    pub fn new(cold: Cold, fleet: Fleet) -> Self {
        Steward { cold, fleet, listed: BTreeMap::new(), limits: BTreeMap::new(), wanted: BTreeSet::new() }
    }

    /// So many relays share.
    pub fn relays(&mut self, relays: Peer) {
        self.fleet.relays = relays;
    }

    /// Whether this relay's own part of a limit is its own now.
    pub fn own(&mut self, destination: i64, own: bool) {
        let me = self.fleet.me;
        if let Some(limit) = self.limit(destination) {
            if own { limit.loans.add_own(me) } else { limit.loans.remove_own(me) }
        }
    }

    /// The parts of a limit that this relay may use, and whether rates of it are handed on.
    pub fn lent(&self, now: Micros, destination: i64) -> (usize, bool) {
        match (self.limits.get(&destination), self.listed.get(&destination)) {
            (Some(limit), _) => (limit.loans.count(now, 0), limit.sliced(self.fleet)),
            (None, Some(listed)) => (0, Limit::idle(*listed).sliced(self.fleet)),
            (None, None) => (0, false),
        }
    }

    /// The directory lists a destination, with the rate that all relays together may call it at.
    pub fn listed(&mut self, destination: i64, rate: f64) {
        if !rate.is_finite() || rate <= 0.0 {
            return;
        }
        self.listed.insert(destination, rate);
        if let Some(limit) = self.limits.get_mut(&destination) {
            limit.listed = Some(rate);
        }
    }

    /// The state of a destination, which begins where it is listed. `None` where the destination is not known.
    fn limit(&mut self, destination: i64) -> Option<&mut Limit> {
        let listed = *self.listed.get(&destination)?;
        Some(self.limits.entry(destination).or_insert_with(|| Limit::idle(listed)))
    }

    /// A relay says what waits there. `None` where the destination is not known: it is not answered then.
    pub fn want(
        &mut self, now: Micros, asker: Asker, destination: i64, seen: u16, tiers: Tiers,
    ) -> Option<Answer> {
        let Asker { peer: from, incarnation, lends } = asker;
        let (cold, fleet) = (self.cold, self.fleet);
        if !tiers.is_empty() && self.listed.contains_key(&destination) {
            self.wanted.insert(destination);
        }
        let limit = self.limit(destination)?;
        limit.forget_calls(now);
        let few = limit.few;
        if let Some((stamp, lease)) = lends {
            limit.loans.add(now, from, stamp, lease);
        }
        let ask = limit.asks.entry(from).or_default();
        let told = ask.total.wrapping_sub(seen);
        // One that started again, or had permits of another steward meanwhile, counts from what it has seen.
        if ask.incarnation != incarnation || told > u16::MAX / 2 {
            (ask.incarnation, ask.total) = (incarnation, seen);
        }
        let unseen = ask.total.wrapping_sub(seen);
        if fleet.sharing == Sharing::Parts && unseen > 0 && now - ask.granted >= VOID {
            ask.total = seen;
            limit.give_again(now, cold, fleet, unseen);
        }
        let ask = limit.asks.entry(from).or_default();
        if ask.tiers.is_empty() || now - ask.said >= WANTS_FOR {
            ask.since = now;
        }
        (ask.tiers, ask.said) = (tiers, now);
        // What is on its way to it counts as had; what was lost comes again by the total.
        if now - ask.granted < LOST {
            for _ in 0..ask.total.wrapping_sub(seen) {
                take(&mut ask.tiers);
            }
        }
        limit.backlog.update(now, from, &ask.tiers);
        let age = (now - ask.granted).clamp(0, SECOND);
        let grant = Grant { to: from, destination, total: ask.total, few, age };
        Some(match limit.sliced(fleet) {
            true => Answer::Rate(limit.slice(now, cold, fleet, from)),
            false => Answer::Permits(grant),
        })
    }

    /// How long what waits for a destination waits at the least, as a relay that asks is told it. Nothing is told while
    /// calls do not start as they did: it is out, told to wait, or returns.
    pub fn waits(&self, now: Micros, destination: i64, who: Peer) -> MinimumWaits {
        let told = |limit: &Limit| {
            let warm = limit.back.is_none_or(|back| now - back >= self.cold.warm_after);
            let steady = !limit.out && warm && limit.wait_until <= now && !limit.sliced(self.fleet);
            let rate = limit.rate(now, self.cold, self.fleet, 0).filter(|_| steady)?;
            Some(limit.backlog.minimum_waits(now, who, Some(rate)))
        };
        self.limits.get(&destination).and_then(told).unwrap_or_default()
    }

    /// Number of destinations that [`Steward::poll`] looks at, and number of those with any state.
    pub fn watched(&self) -> (usize, usize) {
        (self.wanted.len(), self.limits.len())
    }

    /// Destinations of which this relay is the steward and where something waits.
    pub fn queues(&self, now: Micros) -> Vec<Queue> {
        let queue = |(destination, limit): (&i64, &Limit)| {
            let waiting: Vec<(u16, u32)> = limit
                .backlog
                .waiting_by_priority(now)
                .into_iter()
                .rev()
                .map(|(worth, n)| (worth, n as u32))
                .collect();
            let per_s = limit.rate(now, self.cold, self.fleet, 0).unwrap_or(0.0);
            let waits = self.waits(now, *destination, self.fleet.me);
            (!waiting.is_empty()).then_some(Queue { destination: *destination, per_s, waiting, waits })
        };
        self.limits.iter().filter_map(queue).collect()
    }

    /// A destination of which this relay is the steward and that is under strain: something waits while it is out or returns
    /// cold, or messages of some worth wait for so long at the least.
    pub fn strained(&self, now: Micros, long: Micros) -> Option<i64> {
        let strained = |(destination, limit): &(&i64, &Limit)| {
            let asked = limit.wanted(now);
            let cold = limit.back.is_some_and(|back| now - back < self.cold.warm_after);
            let cut = || {
                let waits = self.waits(now, **destination, self.fleet.me);
                waits.levels().iter().any(|(worth, ..)| waits.wait_at(*worth, 0.0) >= long)
            };
            asked && (limit.out || cold) || cut()
        };
        self.limits.iter().find(strained).map(|(destination, _)| *destination)
    }

    /// A call ended.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        let fleet = self.fleet;
        if let Some(limit) = self.limit(destination) {
            limit.forget_calls(now);
            limit.learn(now, fleet, report);
        }
    }

    /// The permits that are due.
    pub fn poll(&mut self, now: Micros) -> Vec<Grant> {
        let mut grants = Vec::new();
        let (cold, fleet) = (self.cold, self.fleet);
        let limits = &mut self.limits;
        self.wanted.retain(|destination| limits.get(destination).is_some_and(|limit| limit.wanted(now)));
        for destination in &self.wanted {
            let Some(limit) = limits.get_mut(destination).filter(|limit| !limit.sliced(fleet)) else {
                continue;
            };
            limit.forget_calls(now);
            while limit.next <= now && limit.wait_until <= now {
                let (Some(interval), Some(peer)) = (limit.interval(now, cold, fleet), limit.best(now, fleet))
                else {
                    break;
                };
                // Relays that hear nobody take turns by the clock, so that their calls do not meet.
                if let Some(period) = limit.turns(now, fleet) {
                    let from = limit.next.max(now - MISSED.min(period / 4));
                    limit.next = next_time_slot(from, fleet.me, period);
                    if limit.next > now {
                        break;
                    }
                }
                let few = limit.few;
                let Some(ask) = limit.asks.get_mut(&peer) else { break };
                take(&mut ask.tiers);
                ask.total = ask.total.wrapping_add(1);
                (ask.granted, ask.since) = (now, now);
                limit.backlog.record_start(now, peer);
                let (total, age) = (ask.total, 0);
                grants.push(Grant { to: peer, destination: *destination, total, few, age });
                limit.calls.push_back(now);
                limit.next = limit.next.max(now - BURST.min(interval * 8)) + interval;
            }
        }
        grants
    }

    /// When [`Steward::poll`] has something to do next.
    pub fn next_at(&self, now: Micros) -> Micros {
        let fleet = self.fleet;
        let wanted = self.wanted.iter().filter_map(|destination| self.limits.get(destination));
        let waits = wanted.filter(|limit| !limit.sliced(fleet) && limit.best(now, fleet).is_some());
        let next = |limit: &Limit| limit.next.max(limit.wait_until);
        waits.map(next).min().unwrap_or(Micros::MAX)
    }
}
