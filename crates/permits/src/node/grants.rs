//! Permits: those that this relay gives as a steward, and those that it gets.

use std::collections::BTreeSet;

use crate::note::Item;
use crate::steward::{Grant, VOID};
use crate::{Micros, Peer};

use super::{Given, Node, ONCE_MORE, SAID_AGAIN};

/// A permit that was delayed for longer than this, in microseconds, is not used: the steward may give its call once
/// more.
pub(super) const LATE: Micros = VOID / 2;
/// Unit in which a permit's age is told, in microseconds.
pub(super) const AGE_STEP: Micros = 4000;
/// Where parts are lent, maximum number of permits used at once; permits are for few calls a second there.
const MOST_AT_ONCE: u16 = 1;

impl Node {
    /// Gives out the permits that are due; returns to whom and for which destination.
    pub(super) fn grant(&mut self, now: Micros) -> BTreeSet<(Peer, i64)> {
        let grants = self.steward.poll(now);
        grants.into_iter().map(|grant| (self.tell(now, grant), (grant.to, grant.destination)).1).collect()
    }

    /// Sends a permit, or uses it where it is this relay's own.
    pub(super) fn tell(&mut self, now: Micros, grant: Grant) {
        let Grant { to, destination, total, few, age } = grant;
        if to == self.config.me {
            return self.permitted(now, to, destination, total, few, true);
        }
        let parts = self.parts();
        if parts && age == 0 {
            self.once_more.push_back((now + ONCE_MORE, Grant { age: ONCE_MORE, ..grant }));
        }
        let stamp = self.echoes.get(&to).copied().filter(|_| parts);
        let of = if parts { self.relays } else { 0 };
        let age = if parts { u8::try_from(age / AGE_STEP).unwrap_or(u8::MAX) } else { 0 };
        self.out.push((to, Item::Permit { destination, total, few, age, stamp, of }));
    }

    /// Sends once more the permits for which that is due.
    pub(super) fn repeat_grants(&mut self, now: Micros) {
        while let Some((at, grant)) = self.once_more.front().copied()
            && at <= now
        {
            self.once_more.pop_front();
            self.tell(now, Grant { age: now - at + ONCE_MORE, ..grant });
        }
    }

    /// A steward tells the total of permits that it has given this relay for a destination. Unusable ones count, but no
    /// call starts by them.
    pub(super) fn permitted(
        &mut self, now: Micros, from: Peer, destination: i64, total: u16, few: bool, usable: bool,
    ) {
        let (parts, again) = (self.parts(), self.terms.renewal_interval);
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        let more = total.wrapping_sub(asking.seen);
        // The message is older than the last one.
        if more > u16::MAX / 2 {
            return;
        }
        asking.seen = total;
        if !parts {
            (asking.steward, asking.unanswered) = (Some(from), None);
            asking.say_at = asking.say_at.max(now + SAID_AGAIN);
        } else if from != self.config.me {
            (asking.unanswered, asking.unheard_since) = (None, None);
            asking.say_at = asking.say_at.max(asking.said.saturating_add(again));
        }
        // Any beyond this number were lost for a while, and their time has passed.
        let most = if parts { MOST_AT_ONCE } else { u16::MAX };
        self.given.push(Given { destination, permits: if usable { more.min(most) } else { 0 }, few });
    }
}
