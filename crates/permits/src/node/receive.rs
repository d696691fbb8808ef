//! Items that arrive from other relays.

use fleet::datagram::Stamp;
use fleet::link::Sender;
use overload::waits::MinimumWaits;

use crate::coordinator::{Answer, RATE_VALIDITY, Report, Requester};
use crate::item::Item;
use crate::{Micros, WaitingByPriority};

use super::grants::{AGE_UNIT, MAX_GRANT_DELAY};
use super::{Node, REMAINING_UNITS, ReceivedGrants};

impl Node {
    /// Processes one item.
    pub(super) fn receive_item(&mut self, now: Micros, from: &Sender, item: Item) {
        match item {
            Item::Request { destination, seen, stamp, relays, waiting } => {
                self.update_relay_count(relays);
                self.receive_request(now, from, stamp, (destination, seen, waiting));
            }
            Item::WaitTimes { destination, levels } => {
                if self
                    .destinations
                    .get(&destination)
                    .is_some_and(|state| state.coordinator == Some(from.peer))
                {
                    self.wait_times.push((destination, MinimumWaits::from_levels(levels)));
                }
            }
            Item::Grant { destination, total, few_connections, age, stamp, relays } => {
                self.update_relay_count(relays);
                self.measure_round_trip(now, from, stamp);
                let young = Micros::from(age) * AGE_UNIT <= MAX_GRANT_DELAY;
                let usable = !self.has_shares() || from.delay <= MAX_GRANT_DELAY && young;
                self.receive_grants(now, from.peer, destination, total, few_connections, usable);
            }
            Item::Rate { destination, per_s, stamp, relays } => {
                self.update_relay_count(relays);
                self.measure_round_trip(now, from, Some(stamp));
                self.receive_rate(now, from, destination, (f64::from(per_s), stamp));
            }
            Item::Report { destination, result, began, wait, limit, remaining } => {
                let report = Report {
                    remaining: (remaining < u8::MAX).then_some(f64::from(remaining) / REMAINING_UNITS),
                    result,
                    began: now - Micros::from(began) * 1000,
                    wait: (wait > 0).then_some(Micros::from(wait) * 1000),
                    limit: (limit > 0.0).then_some(f64::from(limit)),
                };
                self.coordinator.report(now, destination, &report);
            }
        }
    }

    /// Receives a request of another relay, which may lend its share under a stamp.
    fn receive_request(
        &mut self, now: Micros, from: &Sender, stamp: Option<Stamp>,
        (destination, seen, waiting): (i64, u16, WaitingByPriority),
    ) {
        let lends = stamp.filter(|_| self.has_shares()).map(|stamp| (stamp, self.terms.lease));
        let requester = Requester { peer: from.peer, incarnation: from.incarnation, lends };
        self.request_stamps.insert(from.peer, from.sent);
        match self.coordinator.request(now, requester, destination, seen, waiting) {
            // A grant that is issued right now carries the same total as this answer.
            Some(Answer::Grants(grant)) if !self.issue_grants(now).contains(&(from.peer, destination)) => {
                self.send_grant(now, grant);
            }
            Some(Answer::Rate(per_s)) => {
                let (relays, per_s) = (self.relays, per_s as f32);
                self.outgoing.push((from.peer, Item::Rate { destination, per_s, stamp: from.sent, relays }));
            }
            _ => {}
        }
        let wait_times = self.coordinator.wait_times(now, destination, from.peer);
        if !wait_times.is_zero() {
            let levels = wait_times.levels().to_vec();
            self.outgoing.push((from.peer, Item::WaitTimes { destination, levels }));
        }
    }

    /// Measures the round-trip time of a request by the stamp in its answer.
    fn measure_round_trip(&mut self, now: Micros, from: &Sender, stamp: Option<Stamp>) {
        if let (Some(stamp), Some(contact)) = (stamp, self.contacts.get_mut(&from.peer)) {
            contact.round_trip = Some(stamp.age(now));
        }
    }

    /// Receives a granted rate, in calls per second, in answer to the request of a stamp.
    fn receive_rate(&mut self, now: Micros, from: &Sender, destination: i64, (per_s, stamp): (f64, Stamp)) {
        let (until, again) = (now - stamp.age(now) + RATE_VALIDITY, self.terms.renewal_interval);
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        (state.coordinator, state.unanswered) = (Some(from.peer), None);
        state.unanswered_since = None;
        state.next_request_at = state.next_request_at.max(state.last_request_at.saturating_add(again));
        state.granted_rate = Some((per_s, until));
        self.received.push(ReceivedGrants { destination, grants: 0, few_connections: false });
    }
}
