//! State of a destination at a requesting relay, and of other relays as coordinators.

use escrow::BudgetShare;
use fleet::datagram::Stamp;

use crate::{Micros, Peer, SECOND, WaitingByPriority};

/// A time before any other that is compared with it, without overflow.
pub(super) const LONG_AGO: Micros = Micros::MIN / 2;

/// The requests of this relay for one destination.
#[derive(Clone, Debug)]
pub(super) struct DestinationState {
    /// The relay ranked first for the destination: the coordinator unless it is avoided.
    pub(super) preferred: Peer,
    /// Messages that wait at this relay.
    pub(super) waiting: WaitingByPriority,
    /// Total of grants as last reported by a coordinator.
    pub(super) seen: u16,
    /// The coordinator of the last request.
    pub(super) coordinator: Option<Peer>,
    /// Time of the last request and number of requests, since the last answer.
    pub(super) unanswered: Option<(Micros, u32)>,
    /// Time of the first of these requests.
    pub(super) unanswered_since: Option<Micros>,
    /// Time of the last request.
    pub(super) last_request_at: Micros,
    /// Time of the next request.
    pub(super) next_request_at: Micros,
    /// This relay's share of the limit.
    pub(super) share: BudgetShare,
    /// Granted rate in calls per second, and when it expires.
    pub(super) granted_rate: Option<(f64, Micros)>,
    /// Time of the last call at a granted rate.
    pub(super) last_call_at: Micros,
    /// Time of the last report of such a call.
    pub(super) last_report_at: Micros,
}

impl DestinationState {
    /// Returns the state before the first request.
    pub(super) fn new(share: BudgetShare, preferred: Peer) -> Self {
        DestinationState {
            preferred,
            waiting: WaitingByPriority::new(),
            seen: 0,
            coordinator: None,
            unanswered: None,
            unanswered_since: None,
            last_request_at: LONG_AGO,
            next_request_at: Micros::MIN,
            share,
            granted_rate: None,
            last_call_at: LONG_AGO,
            last_report_at: LONG_AGO,
        }
    }

    /// Returns whether a granted rate is valid now.
    pub(super) fn has_rate(&self, now: Micros) -> bool {
        self.granted_rate.is_some_and(|(_, until)| now < until)
    }

    /// Returns when the next call at the granted rate may start, while the rate is valid.
    pub(super) fn next_call_at(&self, now: Micros) -> Option<Micros> {
        let (per_s, _) = self.granted_rate.filter(|(per_s, until)| now < *until && *per_s > 0.0)?;
        (!self.waiting.is_empty())
            .then(|| self.last_call_at.saturating_add((SECOND as f64 / per_s) as Micros))
    }

    /// Counts a request that is sent now. Returns the number of requests since the last answer.
    pub(super) fn count_request(&mut self, now: Micros) -> u32 {
        let times = self.unanswered.map_or(0, |(_, times)| times) + 1;
        self.unanswered = Some((now, times));
        times
    }
}

/// What is known of another relay as a coordinator.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastContact {
    /// When its last datagram arrived.
    pub(super) at: Micros,
    /// The stamp of that datagram.
    pub(super) stamp: Stamp,
    /// Round-trip time of the last request and its answer, in microseconds.
    pub(super) round_trip: Option<Micros>,
}
