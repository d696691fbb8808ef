//! Items that arrive from other relays.

use fleet::datagram::Stamp;
use fleet::link::Sender;
use overload::waits::MinimumWaits;

use crate::note::Item;
use crate::steward::{Answer, Asker, Report, SLICE_FOR};
use crate::{Micros, Tiers};

use super::grants::{AGE_STEP, LATE};
use super::{Given, LEFT_PARTS, Node};

impl Node {
    /// Processes one item.
    pub(super) fn item(&mut self, now: Micros, from: &Sender, item: Item) {
        match item {
            Item::Want { destination, seen, stamp, of, tiers } => {
                self.counted(of);
                self.wanted(now, from, stamp, (destination, seen, tiers));
            }
            Item::Waits { destination, levels } => {
                if self.asking.get(&destination).is_some_and(|asking| asking.steward == Some(from.peer)) {
                    self.waits.push((destination, MinimumWaits::from_levels(levels)));
                }
            }
            Item::Permit { destination, total, few, age, stamp, of } => {
                self.counted(of);
                self.answered(now, from, stamp);
                let young = Micros::from(age) * AGE_STEP <= LATE;
                let usable = !self.parts() || from.delay <= LATE && young;
                self.permitted(now, from.peer, destination, total, few, usable);
            }
            Item::Rate { destination, per_s, stamp, of } => {
                self.counted(of);
                self.answered(now, from, Some(stamp));
                self.rated(now, from, destination, (f64::from(per_s), stamp));
            }
            Item::Report { destination, sign, began, wait, limit, left } => {
                let report = Report {
                    left: (left < u8::MAX).then_some(f64::from(left) / LEFT_PARTS),
                    sign,
                    began: now - Micros::from(began) * 1000,
                    wait: (wait > 0).then_some(Micros::from(wait) * 1000),
                    limit: (limit > 0.0).then_some(f64::from(limit)),
                };
                self.steward.report(now, destination, &report);
            }
        }
    }

    /// Another relay requests permits, and may lend its part under a stamp.
    fn wanted(
        &mut self, now: Micros, from: &Sender, stamp: Option<Stamp>,
        (destination, seen, tiers): (i64, u16, Tiers),
    ) {
        let lends = stamp.filter(|_| self.parts()).map(|stamp| (stamp, self.terms.lease));
        let asker = Asker { peer: from.peer, incarnation: from.incarnation, lends };
        self.echoes.insert(from.peer, from.sent);
        match self.steward.want(now, asker, destination, seen, tiers) {
            // A permit that is given right now tells as much as this answer.
            Some(Answer::Permits(grant)) if !self.grant(now).contains(&(from.peer, destination)) => {
                self.tell(now, grant);
            }
            Some(Answer::Rate(per_s)) => {
                let (of, per_s) = (self.relays, per_s as f32);
                self.out.push((from.peer, Item::Rate { destination, per_s, stamp: from.sent, of }));
            }
            _ => {}
        }
        let waits = self.steward.waits(now, destination, from.peer);
        if !waits.is_zero() {
            let levels = waits.levels().to_vec();
            self.out.push((from.peer, Item::Waits { destination, levels }));
        }
    }

    /// A steward answers the request of a stamp, which gives the round-trip time.
    fn answered(&mut self, now: Micros, from: &Sender, stamp: Option<Stamp>) {
        if let (Some(stamp), Some(heard)) = (stamp, self.heard.get_mut(&from.peer)) {
            heard.way = Some(stamp.age(now));
        }
    }

    /// A steward grants a rate, in calls per second, in answer to the request of a stamp.
    fn rated(&mut self, now: Micros, from: &Sender, destination: i64, (per_s, stamp): (f64, Stamp)) {
        let (until, again) = (now - stamp.age(now) + SLICE_FOR, self.terms.renewal_interval);
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        (asking.steward, asking.unanswered) = (Some(from.peer), None);
        asking.unheard_since = None;
        asking.say_at = asking.say_at.max(asking.said.saturating_add(again));
        asking.rate = Some((per_s, until));
        self.given.push(Given { destination, permits: 0, few: false });
    }
}
