//! What a relay knows of a destination for which it asks stewards, and of other relays as stewards.

use escrow::BudgetShare;
use fleet::datagram::Stamp;

use crate::{Micros, Peer, SECOND, Tiers};

/// A time before any other that is compared with it, without overflow.
pub(super) const LONG_AGO: Micros = Micros::MIN / 2;

/// The requests of this relay for one destination.
#[derive(Clone, Debug)]
pub(super) struct Asking {
    /// The nearest relay, which is the steward unless it is avoided.
    pub(super) home: Peer,
    /// Messages that wait here.
    pub(super) tiers: Tiers,
    /// Total of permits that a steward last told.
    pub(super) seen: u16,
    /// The steward that was asked last.
    pub(super) steward: Option<Peer>,
    /// Time of the last request and number of requests, since the last answer.
    pub(super) unanswered: Option<(Micros, u32)>,
    /// Time of the first of these requests.
    pub(super) unheard_since: Option<Micros>,
    /// Time of the last request.
    pub(super) said: Micros,
    /// Time of the next request.
    pub(super) say_at: Micros,
    /// This relay's part of the limit.
    pub(super) part: BudgetShare,
    /// Granted rate in calls per second, and when it expires.
    pub(super) rate: Option<(f64, Micros)>,
    /// Time of the last call at a granted rate.
    pub(super) last: Micros,
    /// Time of the last report of such a call.
    pub(super) reported: Micros,
}

impl Asking {
    /// The state before the first request.
    pub(super) fn starting(part: BudgetShare, home: Peer) -> Self {
        Asking {
            home,
            tiers: Tiers::new(),
            seen: 0,
            steward: None,
            unanswered: None,
            unheard_since: None,
            said: LONG_AGO,
            say_at: Micros::MIN,
            part,
            rate: None,
            last: LONG_AGO,
            reported: LONG_AGO,
        }
    }

    /// Whether a granted rate is valid now.
    pub(super) fn rated(&self, now: Micros) -> bool {
        self.rate.is_some_and(|(_, until)| now < until)
    }

    /// When the next call at the granted rate may start, while the rate is valid.
    pub(super) fn next_at_rate(&self, now: Micros) -> Option<Micros> {
        let (per_s, _) = self.rate.filter(|(per_s, until)| now < *until && *per_s > 0.0)?;
        (!self.tiers.is_empty()).then(|| self.last.saturating_add((SECOND as f64 / per_s) as Micros))
    }

    /// Counts a request that is sent now; returns the number of requests since the last answer.
    pub(super) fn count_request(&mut self, now: Micros) -> u32 {
        let times = self.unanswered.map_or(0, |(_, times)| times) + 1;
        self.unanswered = Some((now, times));
        times
    }
}

/// What is known of another relay as a steward.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heard {
    /// When its last message arrived.
    pub(super) at: Micros,
    /// The stamp of that message.
    pub(super) stamp: Stamp,
    /// Round-trip time of the last request and its answer, in microseconds.
    pub(super) way: Option<Micros>,
}
