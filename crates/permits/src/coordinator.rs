//! Limit coordinator: decides when the fleet's next call to a destination may start, and which relay makes it. Holds the limits of
//! all destinations (see `limit.rs`).
//!
//! Invariants: no call is granted during a server-requested wait; a destination that recovers gets more calls only as it warms
//! up; where relays own shares, grants never exceed the shares lent to this relay and what it may reclaim beyond them, trial
//! calls during an outage included.

use std::collections::{BTreeMap, BTreeSet};

use escrow::next_time_slot;
use fleet::datagram::Stamp;
use overload::waits::MinimumWaits;

use crate::limit::{Limit, REQUEST_VALIDITY};
use crate::{Micros, Peer, SECOND, Sharing, WaitingByPriority, take_highest};

pub use crate::limit::{ColdStart, RATE_VALIDITY, Report, SharingConfig};

/// A coordinator that had nothing to grant may catch up on the calls of this time, in microseconds.
const MAX_BURST: Micros = SECOND / 10;
/// A grant that its relay has not confirmed after this time counts as lost, in microseconds.
const GRANT_LOST_AFTER: Micros = 2 * SECOND / 10;
/// A time slot that was missed by no more than this is still used, in microseconds.
const SLOT_TOLERANCE: Micros = SECOND / 20;
/// Where shares are lent, a grant that its relay has not confirmed after this time is void and its call may be granted again,
/// in microseconds. Relays do not use a grant that is delayed for more than half of it.
pub const GRANT_VOID_AFTER: Micros = 28 * SECOND / 100;

/// The relay that sends a request, and what it lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The relay.
    pub peer: Peer,
    /// Incarnation of the relay.
    pub incarnation: u32,
    /// The relay lends its share under this stamp of the coordinator, for this time after the stamp.
    pub lends: Option<(Stamp, Micros)>,
}

/// Immediate answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The grants issued so far.
    Grants(Grant),
    /// The rate at which the relay may call for [`RATE_VALIDITY`], in calls per second.
    Rate(f64),
}

/// Messages that wait at all relays for one destination, as its coordinator knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The destination.
    pub destination: i64,
    /// Rate at which the coordinator grants calls now, in calls per second.
    pub per_s: f64,
    /// Number of messages by priority in thousandths, highest first.
    pub waiting: Vec<(u16, u32)>,
    /// Their minimum waiting times.
    pub wait_times: MinimumWaits,
}

/// A grant to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The relay.
    pub to: Peer,
    /// The destination.
    pub destination: i64,
    /// Total of grants issued to the relay, this one included. Wraps around.
    pub total: u16,
    /// Whether endpoints of this kind accept few connections.
    pub few_connections: bool,
    /// Age of the latest grant, in microseconds.
    pub age: Micros,
}

/// The limits of which this relay is the coordinator.
///
/// A fleet lists many more destinations than one relay gets requests for. Those have a listed rate and no state, and only
/// destinations with requests are visited when grants are due.
#[derive(Clone, Debug)]
pub struct Coordinator {
    cold: ColdStart,
    fleet: SharingConfig,
    /// Listed rates of all destinations, in calls per second.
    listed_rates: BTreeMap<i64, f64>,
    /// State of the destinations with requests or reports.
    limits: BTreeMap<i64, Limit>,
    /// Destinations that may have requests.
    requested: BTreeSet<i64>,
}

impl Coordinator {
    /// Creates a coordinator without listed destinations.
    pub fn new(cold: ColdStart, fleet: SharingConfig) -> Self {
        Coordinator {
            cold,
            fleet,
            listed_rates: BTreeMap::new(),
            limits: BTreeMap::new(),
            requested: BTreeSet::new(),
        }
    }

    /// Sets the number of relays that share limits.
    pub fn set_relay_count(&mut self, relays: Peer) {
        self.fleet.relays = relays;
    }

    /// Sets whether this relay has its own share of a limit, rather than having lent it.
    pub fn set_owns_share(&mut self, destination: i64, own: bool) {
        let me = self.fleet.me;
        if let Some(limit) = self.limit(destination) {
            if own { limit.loans.add_own(me) } else { limit.loans.remove_own(me) }
        }
    }

    /// Returns the number of shares of a limit that this relay may use, and whether it grants rates of that limit.
    pub fn usable_shares(&self, now: Micros, destination: i64) -> (usize, bool) {
        match (self.limits.get(&destination), self.listed_rates.get(&destination)) {
            (Some(limit), _) => (limit.loans.count(now, 0), limit.grants_rates(self.fleet)),
            (None, Some(listed)) => (0, Limit::new(*listed).grants_rates(self.fleet)),
            (None, None) => (0, false),
        }
    }

    /// Sets the listed rate of a destination for all relays together, in calls per second.
    pub fn set_listed_rate(&mut self, destination: i64, rate: f64) {
        if !rate.is_finite() || rate <= 0.0 {
            return;
        }
        self.listed_rates.insert(destination, rate);
        if let Some(limit) = self.limits.get_mut(&destination) {
            limit.listed_rate = Some(rate);
        }
    }

    /// Returns the state of a destination, created if it is listed. `None` if it is not.
    fn limit(&mut self, destination: i64) -> Option<&mut Limit> {
        let listed = *self.listed_rates.get(&destination)?;
        Some(self.limits.entry(destination).or_insert_with(|| Limit::new(listed)))
    }

    /// Receives a request. Returns `None`, and sends no answer, if the destination is not known.
    pub fn request(
        &mut self, now: Micros, requester: Requester, destination: i64, seen: u16, waiting: WaitingByPriority,
    ) -> Option<Answer> {
        let Requester { peer: from, incarnation, lends } = requester;
        let (cold, fleet) = (self.cold, self.fleet);
        if !waiting.is_empty() && self.listed_rates.contains_key(&destination) {
            self.requested.insert(destination);
        }
        let limit = self.limit(destination)?;
        limit.expire_calls(now);
        let few_connections = limit.few_connections;
        if let Some((stamp, lease)) = lends {
            limit.loans.add(now, from, stamp, lease);
        }
        let request = limit.requests.entry(from).or_default();
        let unconfirmed = request.total.wrapping_sub(seen);
        // A relay that restarted, or had grants of another coordinator meanwhile, counts from what it has seen.
        if request.incarnation != incarnation || unconfirmed > u16::MAX / 2 {
            (request.incarnation, request.total) = (incarnation, seen);
        }
        let unconfirmed = request.total.wrapping_sub(seen);
        if fleet.sharing == Sharing::Shares && unconfirmed > 0 && now - request.granted_at >= GRANT_VOID_AFTER
        {
            request.total = seen;
            limit.void_grants(now, cold, fleet, unconfirmed);
        }
        let request = limit.requests.entry(from).or_default();
        if request.waiting.is_empty() || now - request.received_at >= REQUEST_VALIDITY {
            request.waiting_since = now;
        }
        (request.waiting, request.received_at) = (waiting, now);
        // Grants in transit count as received; a lost one reaches the relay by the total of the next answer.
        if now - request.granted_at < GRANT_LOST_AFTER {
            for _ in 0..request.total.wrapping_sub(seen) {
                take_highest(&mut request.waiting);
            }
        }
        limit.backlog.update(now, from, &request.waiting);
        let age = (now - request.granted_at).clamp(0, SECOND);
        let grant = Grant { to: from, destination, total: request.total, few_connections, age };
        Some(match limit.grants_rates(fleet) {
            true => Answer::Rate(limit.grant_rate(now, cold, fleet, from)),
            false => Answer::Grants(grant),
        })
    }

    /// Returns the minimum waiting times for a destination, as reported to a requesting relay. Reports none while calls start at
    /// an unusual rate: during an outage, a server-requested wait or a warm-up.
    pub fn wait_times(&self, now: Micros, destination: i64, who: Peer) -> MinimumWaits {
        let reported = |limit: &Limit| {
            let warm = limit.recovered_at.is_none_or(|at| now - at >= self.cold.warm_after);
            let steady = !limit.is_out && warm && limit.wait_until <= now && !limit.grants_rates(self.fleet);
            let rate = limit.rate(now, self.cold, self.fleet, 0).filter(|_| steady)?;
            Some(limit.backlog.minimum_waits(now, who, Some(rate)))
        };
        self.limits.get(&destination).and_then(reported).unwrap_or_default()
    }

    /// Returns the number of destinations that [`Coordinator::poll`] visits, and the number of those with any state.
    pub fn state_counts(&self) -> (usize, usize) {
        (self.requested.len(), self.limits.len())
    }

    /// Returns the destinations of which this relay is the coordinator and for which messages wait.
    pub fn queues(&self, now: Micros) -> Vec<Queue> {
        let queue = |(destination, limit): (&i64, &Limit)| {
            let waiting: Vec<(u16, u32)> = limit
                .backlog
                .waiting_by_priority(now)
                .into_iter()
                .rev()
                .map(|(priority, n)| (priority, n as u32))
                .collect();
            let per_s = limit.rate(now, self.cold, self.fleet, 0).unwrap_or(0.0);
            let wait_times = self.wait_times(now, *destination, self.fleet.me);
            (!waiting.is_empty()).then_some(Queue { destination: *destination, per_s, waiting, wait_times })
        };
        self.limits.iter().filter_map(queue).collect()
    }

    /// Returns a destination under strain, of which this relay is the coordinator: one with waiting messages during an outage or
    /// a warm-up, or one where messages of some priority wait for at least `min_wait`.
    pub fn find_strained(&self, now: Micros, min_wait: Micros) -> Option<i64> {
        let strained = |(destination, limit): &(&i64, &Limit)| {
            let requested = limit.has_requests(now);
            let cold = limit.recovered_at.is_some_and(|at| now - at < self.cold.warm_after);
            let waits_long = || {
                let wait_times = self.wait_times(now, **destination, self.fleet.me);
                wait_times
                    .levels()
                    .iter()
                    .any(|(priority, ..)| wait_times.wait_at(*priority, 0.0) >= min_wait)
            };
            requested && (limit.is_out || cold) || waits_long()
        };
        self.limits.iter().find(strained).map(|(destination, _)| *destination)
    }

    /// Updates a destination by the result of a call.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        let fleet = self.fleet;
        if let Some(limit) = self.limit(destination) {
            limit.expire_calls(now);
            limit.apply_report(now, fleet, report);
        }
    }

    /// Issues the grants that are due.
    pub fn poll(&mut self, now: Micros) -> Vec<Grant> {
        let mut grants = Vec::new();
        let (cold, fleet) = (self.cold, self.fleet);
        let limits = &mut self.limits;
        self.requested
            .retain(|destination| limits.get(destination).is_some_and(|limit| limit.has_requests(now)));
        for destination in &self.requested {
            let Some(limit) = limits.get_mut(destination).filter(|limit| !limit.grants_rates(fleet)) else {
                continue;
            };
            limit.expire_calls(now);
            while limit.next_call_at <= now && limit.wait_until <= now {
                let (Some(interval), Some(peer)) =
                    (limit.interval(now, cold, fleet), limit.next_relay(now, fleet))
                else {
                    break;
                };
                // Relays that hear no other use time slots of the wall clock, so that their calls do not coincide.
                if let Some(period) = limit.slot_period(now, fleet) {
                    let from = limit.next_call_at.max(now - SLOT_TOLERANCE.min(period / 4));
                    limit.next_call_at = next_time_slot(from, fleet.me, period);
                    if limit.next_call_at > now {
                        break;
                    }
                }
                let few_connections = limit.few_connections;
                let Some(request) = limit.requests.get_mut(&peer) else { break };
                take_highest(&mut request.waiting);
                request.total = request.total.wrapping_add(1);
                (request.granted_at, request.waiting_since) = (now, now);
                limit.backlog.record_start(now, peer);
                let (total, age) = (request.total, 0);
                grants.push(Grant { to: peer, destination: *destination, total, few_connections, age });
                limit.in_flight.push_back(now);
                limit.next_call_at = limit.next_call_at.max(now - MAX_BURST.min(interval * 8)) + interval;
            }
        }
        grants
    }

    /// Returns when [`Coordinator::poll`] has to be called next.
    pub fn next_at(&self, now: Micros) -> Micros {
        let fleet = self.fleet;
        let requested = self.requested.iter().filter_map(|destination| self.limits.get(destination));
        let waiting =
            requested.filter(|limit| !limit.grants_rates(fleet) && limit.next_relay(now, fleet).is_some());
        let next = |limit: &Limit| limit.next_call_at.max(limit.wait_until);
        waiting.map(next).min().unwrap_or(Micros::MAX)
    }
}
