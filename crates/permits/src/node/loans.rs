//! Requests and loans where each relay owns a part of the limit.

use fleet::datagram::Stamp;
use fleet::rendezvous;

use crate::note::Item;
use crate::steward::{Answer, Asker, SLICE_FOR};
use crate::{Micros, Peer, SECOND, Tiers, take};

use super::asking::{Asking, LONG_AGO};
use super::{Given, Node, SAID_APART, UNANSWERED};

/// A relay that calls at a granted rate may catch up on the calls of this time, in microseconds.
const CATCH_UP: Micros = SECOND / 50;

impl Node {
    /// Sends what is due: requests, and the loans of this relay's parts, also where nothing waits.
    pub(super) fn say_loans(&mut self, now: Micros) {
        let due = self.asking.iter().filter(|(_, asking)| asking.say_at <= now);
        let due: Vec<i64> = due.map(|(destination, _)| *destination).collect();
        for destination in due {
            self.avoid_silent(now, destination);
            let to = self.steward_of(now, destination);
            self.probe(now, destination, to);
            self.turn_to(destination, to);
            if to != self.config.me {
                self.lend(now, destination, to);
            }
            self.schedule(now, destination);
            self.ask_oneself(now, destination);
        }
    }

    /// Avoids the steward of a destination that has been silent for too long, until it is heard.
    fn avoid_silent(&mut self, now: Micros, destination: i64) {
        let silent = self.terms.silence_timeout;
        let Some(asking) = self.asking.get(&destination) else { return };
        if let (Some(peer), Some(since)) = (asking.steward, asking.unheard_since)
            && peer != self.config.me
            && now - since >= silent
            && self.heard.get(&peer).is_none_or(|heard| now - heard.at >= silent)
        {
            self.avoided.insert(peer, Micros::MAX);
        }
    }

    /// Relays that are nearer than the one asked, but avoided, are probed now and then.
    fn probe(&mut self, now: Micros, destination: i64, asked: Peer) {
        let nearer = |peer: &Peer| rendezvous(destination, *peer) > rendezvous(destination, asked);
        let last = |peer: &Peer| self.probed.get(peer).copied().unwrap_or(LONG_AGO);
        let longest = self.avoided.keys().copied().filter(nearer).min_by_key(last);
        if let Some(peer) = longest.filter(|peer| now - last(peer) >= self.terms.probe_interval) {
            self.probed.insert(peer, now);
            let seen = self.asking.get(&destination).map_or(0, |asking| asking.seen);
            let item = Item::Want { destination, seen, stamp: None, of: self.relays, tiers: Tiers::new() };
            self.out.push((peer, item));
        }
    }

    /// Sets the steward of a destination. What the last one granted or left unanswered is dropped.
    fn turn_to(&mut self, destination: i64, to: Peer) {
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        if asking.steward != Some(to) {
            (asking.unanswered, asking.unheard_since, asking.rate) = (None, None, None);
        }
        asking.steward = Some(to);
    }

    /// Sends a request to another relay, with the loan of this relay's part.
    fn lend(&mut self, now: Micros, destination: i64, to: Peer) {
        let stamp = self.usable_stamp(now, to);
        let (relays, lease, earlier) = (self.relays, self.terms.lease, self.earlier.contains_key(&to));
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        let own = asking.part.is_usable_by_owner(now);
        let stamp = stamp.filter(|_| asking.part.lend(now, to, lease));
        // The previous build knows no stamps: a request to it lends for a lease from now on.
        if earlier {
            asking.part.lend(now, to, lease);
        }
        // A rate that the relay granted itself from its own part ends with the loan.
        if own && !asking.part.is_usable_by_owner(now) {
            asking.rate = None;
        }
        let times = asking.count_request(now);
        asking.unheard_since = Some(asking.unheard_since.unwrap_or(now));
        let (seen, tiers) = (asking.seen, asking.tiers.clone());
        self.ask(to, times, Item::Want { destination, seen, stamp, of: relays, tiers });
    }

    /// The last stamp of a steward, if it is fresh and the steward answers fast enough for a loan.
    fn usable_stamp(&self, now: Micros, to: Peer) -> Option<Stamp> {
        let heard = self.heard.get(&to).filter(|heard| now - heard.at <= self.terms.max_stamp_age())?;
        let fast = heard.way.is_some_and(|way| way <= self.terms.max_round_trip());
        fast.then_some(heard.stamp)
    }

    /// Sets the time of the next request.
    fn schedule(&mut self, now: Micros, destination: i64) {
        let again = self.terms.renewal_interval;
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        asking.said = now;
        // An unanswered request is repeated sooner while messages wait.
        let waits = !asking.tiers.is_empty() && asking.unanswered.is_some();
        asking.say_at = now + if waits { (again / 4).min(UNANSWERED.max(again / 8)) } else { again };
        if !asking.part.is_usable_by_owner(now) {
            asking.say_at = asking.say_at.min(asking.part.free_at().max(now + SAID_APART));
        }
        if !asking.tiers.is_empty() {
            self.given.push(Given { destination, permits: 0, few: false });
        }
    }

    /// While its part is its own, a relay is its own steward of that part.
    pub(super) fn ask_oneself(&mut self, now: Micros, destination: i64) {
        let Some(asking) = self.asking.get(&destination) else { return };
        let own = asking.part.is_usable_by_owner(now);
        let (seen, tiers) = (asking.seen, if own { asking.tiers.clone() } else { Tiers::new() });
        self.steward.own(destination, own);
        let asker = Asker { peer: self.config.me, incarnation: self.config.incarnation, lends: None };
        let answer = self.steward.want(now, asker, destination, seen, tiers);
        if let (Some(Answer::Rate(per_s)), Some(asking)) = (answer, self.asking.get_mut(&destination))
            && own
        {
            asking.rate = Some((per_s, now + SLICE_FOR));
        }
        if own {
            self.tell_oneself(now, destination);
        }
    }

    /// As its own steward, a relay reports the waiting times to itself.
    pub(super) fn tell_oneself(&mut self, now: Micros, destination: i64) {
        let waits = self.steward.waits(now, destination, self.config.me);
        if !waits.is_zero() {
            self.waits.push((destination, waits));
        }
    }

    /// Grants the calls that may start now at the granted rates.
    pub(super) fn call_at_rates(&mut self, now: Micros) {
        for (destination, asking) in &mut self.asking {
            let mut permits = 0;
            while let Some(at) = asking.next_at_rate(now).filter(|at| *at <= now) {
                asking.last = at.max(now - CATCH_UP);
                take(&mut asking.tiers);
                permits += 1;
            }
            if permits > 0 {
                self.given.push(Given { destination: *destination, permits, few: false });
            }
        }
    }

    /// When the next request, loan or call at a granted rate is due.
    pub(super) fn next_loan_at(&self, now: Micros) -> Option<Micros> {
        let next = |asking: &Asking| asking.say_at.min(asking.next_at_rate(now).unwrap_or(Micros::MAX));
        self.asking.values().map(next).min()
    }
}
