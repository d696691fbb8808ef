//! Grants that this relay issues as a coordinator, and those that it receives.

use std::collections::BTreeSet;

use crate::coordinator::{GRANT_VOID_AFTER, Grant};
use crate::item::Item;
use crate::{Micros, Peer};

use super::{Node, REQUEST_INTERVAL, RESEND_AFTER, ReceivedGrants};

/// Maximum delay of a usable grant, in microseconds. The coordinator may grant the call of an older one again.
pub(super) const MAX_GRANT_DELAY: Micros = GRANT_VOID_AFTER / 2;
/// Unit of the age of a grant on the wire, in microseconds.
pub(super) const AGE_UNIT: Micros = 4000;
/// Maximum number of grants used at once where shares are lent. Grants are for few calls per second there.
const MAX_GRANTS_AT_ONCE: u16 = 1;

impl Node {
    /// Issues the grants that are due. Returns their relays and destinations.
    pub(super) fn issue_grants(&mut self, now: Micros) -> BTreeSet<(Peer, i64)> {
        let grants = self.coordinator.poll(now);
        grants
            .into_iter()
            .map(|grant| (self.send_grant(now, grant), (grant.to, grant.destination)).1)
            .collect()
    }

    /// Sends a grant, or uses it if it is for this relay.
    pub(super) fn send_grant(&mut self, now: Micros, grant: Grant) {
        let Grant { to, destination, total, few_connections, age } = grant;
        if to == self.config.me {
            return self.receive_grants(now, to, destination, total, few_connections, true);
        }
        let shares = self.has_shares();
        if shares && age == 0 {
            self.resends.push_back((now + RESEND_AFTER, Grant { age: RESEND_AFTER, ..grant }));
        }
        let stamp = self.request_stamps.get(&to).copied().filter(|_| shares);
        let relays = if shares { self.relays } else { 0 };
        let age = if shares { u8::try_from(age / AGE_UNIT).unwrap_or(u8::MAX) } else { 0 };
        self.outgoing.push((to, Item::Grant { destination, total, few_connections, age, stamp, relays }));
    }

    /// Resends the grants for which that is due.
    pub(super) fn resend_grants(&mut self, now: Micros) {
        while let Some((at, grant)) = self.resends.front().copied()
            && at <= now
        {
            self.resends.pop_front();
            self.send_grant(now, Grant { age: now - at + RESEND_AFTER, ..grant });
        }
    }

    /// Receives the total of grants that a coordinator has issued to this relay for a destination. Grants that are not usable
    /// count, but start no call.
    pub(super) fn receive_grants(
        &mut self, now: Micros, from: Peer, destination: i64, total: u16, few_connections: bool, usable: bool,
    ) {
        let (shares, again) = (self.has_shares(), self.terms.renewal_interval);
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        let more = total.wrapping_sub(state.seen);
        // The message is older than the last one.
        if more > u16::MAX / 2 {
            return;
        }
        state.seen = total;
        if !shares {
            (state.coordinator, state.unanswered) = (Some(from), None);
            state.next_request_at = state.next_request_at.max(now + REQUEST_INTERVAL);
        } else if from != self.config.me {
            (state.unanswered, state.unanswered_since) = (None, None);
            state.next_request_at = state.next_request_at.max(state.last_request_at.saturating_add(again));
        }
        // Grants beyond this number were lost for a while and have expired.
        let most = if shares { MAX_GRANTS_AT_ONCE } else { u16::MAX };
        self.received.push(ReceivedGrants {
            destination,
            grants: if usable { more.min(most) } else { 0 },
            few_connections,
        });
    }
}
