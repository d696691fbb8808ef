//! Requests and loans where each relay owns a share of the limit.

use fleet::datagram::Stamp;
use fleet::rendezvous;

use crate::coordinator::{Answer, RATE_VALIDITY, Requester};
use crate::item::Item;
use crate::{Micros, Peer, SECOND, WaitingByPriority, take_highest};

use super::destination::{DestinationState, LONG_AGO};
use super::{MIN_REQUEST_INTERVAL, Node, REPEAT_AFTER, ReceivedGrants};

/// A relay that calls at a granted rate may catch up on the calls of this time, in microseconds.
const MAX_CATCH_UP: Micros = SECOND / 50;

impl Node {
    /// Sends what is due: requests, and the loans of this relay's shares, also for destinations without waiting messages.
    pub(super) fn send_loan_requests(&mut self, now: Micros) {
        let due = self.destinations.iter().filter(|(_, state)| state.next_request_at <= now);
        let due: Vec<i64> = due.map(|(destination, _)| *destination).collect();
        for destination in due {
            self.avoid_silent(now, destination);
            let to = self.coordinator_of(now, destination);
            self.probe_avoided(now, destination, to);
            self.set_coordinator(destination, to);
            if to != self.config.me {
                self.lend(now, destination, to);
            }
            self.schedule_request(now, destination);
            self.request_from_self(now, destination);
        }
    }

    /// Avoids the coordinator of a destination that has been silent for too long, until a datagram of it arrives.
    fn avoid_silent(&mut self, now: Micros, destination: i64) {
        let silent = self.terms.silence_timeout;
        let Some(state) = self.destinations.get(&destination) else { return };
        if let (Some(peer), Some(since)) = (state.coordinator, state.unanswered_since)
            && peer != self.config.me
            && now - since >= silent
            && self.contacts.get(&peer).is_none_or(|contact| now - contact.at >= silent)
        {
            self.avoided.insert(peer, Micros::MAX);
        }
    }

    /// Probes, at an interval, the avoided relays that rank before the current coordinator.
    fn probe_avoided(&mut self, now: Micros, destination: i64, current: Peer) {
        let ranks_before = |peer: &Peer| rendezvous(destination, *peer) > rendezvous(destination, current);
        let last = |peer: &Peer| self.probed.get(peer).copied().unwrap_or(LONG_AGO);
        let next = self.avoided.keys().copied().filter(ranks_before).min_by_key(last);
        if let Some(peer) = next.filter(|peer| now - last(peer) >= self.terms.probe_interval) {
            self.probed.insert(peer, now);
            let seen = self.destinations.get(&destination).map_or(0, |state| state.seen);
            let item = Item::Request {
                destination,
                seen,
                stamp: None,
                relays: self.relays,
                waiting: WaitingByPriority::new(),
            };
            self.outgoing.push((peer, item));
        }
    }

    /// Sets the coordinator of a destination. A granted rate and unanswered requests of the previous one are dropped.
    fn set_coordinator(&mut self, destination: i64, to: Peer) {
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        if state.coordinator != Some(to) {
            (state.unanswered, state.unanswered_since, state.granted_rate) = (None, None, None);
        }
        state.coordinator = Some(to);
    }

    /// Sends a request to another relay, with the loan of this relay's share.
    fn lend(&mut self, now: Micros, destination: i64, to: Peer) {
        let stamp = self.usable_stamp(now, to);
        let (relays, lease, is_v2) = (self.relays, self.terms.lease, self.v2_peers.contains_key(&to));
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        let own = state.share.is_usable_by_owner(now);
        let stamp = stamp.filter(|_| state.share.lend(now, to, lease));
        // The previous build knows no stamps: a request to it lends for a lease from now on.
        if is_v2 {
            state.share.lend(now, to, lease);
        }
        // A rate that the relay granted itself from its own share ends with the loan.
        if own && !state.share.is_usable_by_owner(now) {
            state.granted_rate = None;
        }
        let times = state.count_request(now);
        state.unanswered_since = Some(state.unanswered_since.unwrap_or(now));
        let (seen, waiting) = (state.seen, state.waiting.clone());
        self.send_item(to, times, Item::Request { destination, seen, stamp, relays, waiting });
    }

    /// Returns the last stamp of a coordinator, if it is fresh and the coordinator answers fast enough for a loan.
    fn usable_stamp(&self, now: Micros, to: Peer) -> Option<Stamp> {
        let contact =
            self.contacts.get(&to).filter(|contact| now - contact.at <= self.terms.max_stamp_age())?;
        let fast = contact.round_trip.is_some_and(|time| time <= self.terms.max_round_trip());
        fast.then_some(contact.stamp)
    }

    /// Sets the time of the next request.
    fn schedule_request(&mut self, now: Micros, destination: i64) {
        let again = self.terms.renewal_interval;
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        state.last_request_at = now;
        // An unanswered request is repeated sooner while messages wait.
        let waits = !state.waiting.is_empty() && state.unanswered.is_some();
        state.next_request_at =
            now + if waits { (again / 4).min(REPEAT_AFTER.max(again / 8)) } else { again };
        if !state.share.is_usable_by_owner(now) {
            state.next_request_at =
                state.next_request_at.min(state.share.free_at().max(now + MIN_REQUEST_INTERVAL));
        }
        if !state.waiting.is_empty() {
            self.received.push(ReceivedGrants { destination, grants: 0, few_connections: false });
        }
    }

    /// Sends a request to this relay as the coordinator of its own share, while that is not lent.
    pub(super) fn request_from_self(&mut self, now: Micros, destination: i64) {
        let Some(state) = self.destinations.get(&destination) else { return };
        let own = state.share.is_usable_by_owner(now);
        let (seen, waiting) =
            (state.seen, if own { state.waiting.clone() } else { WaitingByPriority::new() });
        self.coordinator.set_owns_share(destination, own);
        let requester = Requester { peer: self.config.me, incarnation: self.config.incarnation, lends: None };
        let answer = self.coordinator.request(now, requester, destination, seen, waiting);
        if let (Some(Answer::Rate(per_s)), Some(state)) = (answer, self.destinations.get_mut(&destination))
            && own
        {
            state.granted_rate = Some((per_s, now + RATE_VALIDITY));
        }
        if own {
            self.receive_own_wait_times(now, destination);
        }
    }

    /// Receives the waiting times of this relay as its own coordinator.
    pub(super) fn receive_own_wait_times(&mut self, now: Micros, destination: i64) {
        let wait_times = self.coordinator.wait_times(now, destination, self.config.me);
        if !wait_times.is_zero() {
            self.wait_times.push((destination, wait_times));
        }
    }

    /// Grants the calls that may start now at the granted rates.
    pub(super) fn start_calls_at_rates(&mut self, now: Micros) {
        for (destination, state) in &mut self.destinations {
            let mut grants = 0;
            while let Some(at) = state.next_call_at(now).filter(|at| *at <= now) {
                state.last_call_at = at.max(now - MAX_CATCH_UP);
                take_highest(&mut state.waiting);
                grants += 1;
            }
            if grants > 0 {
                self.received.push(ReceivedGrants {
                    destination: *destination,
                    grants,
                    few_connections: false,
                });
            }
        }
    }

    /// Returns when the next request, loan or call at a granted rate is due.
    pub(super) fn next_loan_request_at(&self, now: Micros) -> Option<Micros> {
        let next = |state: &DestinationState| {
            state.next_request_at.min(state.next_call_at(now).unwrap_or(Micros::MAX))
        };
        self.destinations.values().map(next).min()
    }
}
