//! Requests where the coordinator grants the whole limit.

use crate::coordinator::{Answer, Requester};
use crate::item::Item;
use crate::{Micros, Peer, SECOND};

use super::destination::DestinationState;
use super::{MAX_UNANSWERED, Node, REPEAT_AFTER, REQUEST_INTERVAL};

/// Number of unanswered requests to one coordinator after which the next one is asked.
const REQUESTS_PER_COORDINATOR: u32 = 3;
/// Time for which a relay that did not answer is avoided, unless a datagram of it arrives, in microseconds.
const AVOIDED_FOR: Micros = SECOND;

impl DestinationState {
    /// Returns whether a request is due: messages wait, and the next request or the repetition of an unanswered one is due.
    fn request_due(&self, now: Micros) -> bool {
        let repeat = |(at, times)| now >= at + REPEAT_AFTER && times < MAX_UNANSWERED;
        !self.waiting.is_empty() && (self.next_request_at <= now || self.unanswered.is_some_and(repeat))
    }
}

impl Node {
    /// Sends the requests that are due.
    pub(super) fn send_requests(&mut self, now: Micros) {
        let due = self.destinations_with_messages().filter(|(_, state)| state.request_due(now));
        let due: Vec<i64> = due.map(|(destination, _)| destination).collect();
        for destination in due {
            self.avoid_unanswering(now, destination);
            self.send_request(now, destination);
        }
    }

    /// Avoids the coordinator of a destination that did not answer the last few requests.
    fn avoid_unanswering(&mut self, now: Micros, destination: i64) {
        let Some(state) = self.destinations.get(&destination) else { return };
        let silent = state
            .unanswered
            .filter(|(at, times)| now >= at + REPEAT_AFTER && times % REQUESTS_PER_COORDINATOR == 0);
        if let (Some(_), Some(peer)) = (silent, state.coordinator) {
            self.avoided.insert(peer, now + AVOIDED_FOR);
        }
    }

    fn send_request(&mut self, now: Micros, destination: i64) {
        let to = self.coordinator_of(now, destination);
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        state.coordinator = Some(to);
        let times = state.count_request(now);
        state.next_request_at = now + REQUEST_INTERVAL;
        let (seen, waiting) = (state.seen, state.waiting.clone());
        if to != self.config.me {
            return self.send_item(
                to,
                times,
                Item::Request { destination, seen, stamp: None, relays: 0, waiting },
            );
        }
        let requester = Requester { peer: to, incarnation: self.config.incarnation, lends: None };
        if let Some(Answer::Grants(grant)) =
            self.coordinator.request(now, requester, destination, seen, waiting)
        {
            self.send_grant(now, grant);
        }
        self.receive_own_wait_times(now, destination);
    }

    /// Sends a request to another relay. `times` is the number of requests since the last answer.
    pub(super) fn send_item(&mut self, to: Peer, times: u32, request: Item) {
        // The relay may be of the previous build, which does not understand the current protocol version.
        if times.is_multiple_of(REQUESTS_PER_COORDINATOR) && !self.contacts.contains_key(&to) {
            self.outgoing_v2.push((to, vec![request.clone()]));
        }
        self.outgoing.push((to, request));
    }

    /// Returns when the next request is due.
    pub(super) fn next_request_at(&self) -> Option<Micros> {
        let next = |state: &DestinationState| {
            let repeated = state.unanswered.filter(|(_, times)| *times < MAX_UNANSWERED);
            repeated.map_or(state.next_request_at, |(at, _)| state.next_request_at.min(at + REPEAT_AFTER))
        };
        self.destinations_with_messages().map(|(_, state)| next(state)).min()
    }

    /// Returns the destinations with messages that wait at this relay, and their state.
    fn destinations_with_messages(&self) -> impl Iterator<Item = (i64, &DestinationState)> {
        self.waiting
            .iter()
            .filter_map(|destination| Some((*destination, self.destinations.get(destination)?)))
    }
}
