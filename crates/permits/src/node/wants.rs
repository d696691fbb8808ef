//! Requests where the steward that is heard permits the whole limit.

use crate::note::Item;
use crate::steward::{Answer, Asker};
use crate::{Micros, Peer, SECOND};

use super::asking::Asking;
use super::{Node, SAID_AGAIN, TRIED, UNANSWERED};

/// Number of requests to one steward without an answer, after which the next steward is asked.
const SAID: u32 = 3;
/// Time for which a relay that did not answer is not asked, unless it is heard, in microseconds.
const AVOIDED: Micros = SECOND;

impl Asking {
    /// Whether a request is due: messages wait, and the next request or the repetition of an unanswered one is due.
    fn request_due(&self, now: Micros) -> bool {
        let repeat = |(at, times)| now >= at + UNANSWERED && times < TRIED;
        !self.tiers.is_empty() && (self.say_at <= now || self.unanswered.is_some_and(repeat))
    }
}

impl Node {
    /// Sends the requests that are due.
    pub(super) fn say_wants(&mut self, now: Micros) {
        let due = self.waiting_here().filter(|(_, asking)| asking.request_due(now));
        let due: Vec<i64> = due.map(|(destination, _)| destination).collect();
        for destination in due {
            self.avoid_unanswering(now, destination);
            self.say_want(now, destination);
        }
    }

    /// Avoids the steward of a destination that did not answer the last few requests.
    fn avoid_unanswering(&mut self, now: Micros, destination: i64) {
        let Some(asking) = self.asking.get(&destination) else { return };
        let silent = asking.unanswered.filter(|(at, times)| now >= at + UNANSWERED && times % SAID == 0);
        if let (Some(_), Some(peer)) = (silent, asking.steward) {
            self.avoided.insert(peer, now + AVOIDED);
        }
    }

    fn say_want(&mut self, now: Micros, destination: i64) {
        let to = self.steward_of(now, destination);
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        asking.steward = Some(to);
        let times = asking.count_request(now);
        asking.say_at = now + SAID_AGAIN;
        let (seen, tiers) = (asking.seen, asking.tiers.clone());
        if to != self.config.me {
            return self.ask(to, times, Item::Want { destination, seen, stamp: None, of: 0, tiers });
        }
        let asker = Asker { peer: to, incarnation: self.config.incarnation, lends: None };
        if let Some(Answer::Permits(grant)) = self.steward.want(now, asker, destination, seen, tiers) {
            self.tell(now, grant);
        }
        self.tell_oneself(now, destination);
    }

    /// Sends a request. `times` is the number of requests since the last answer.
    pub(super) fn ask(&mut self, to: Peer, times: u32, want: Item) {
        // The relay may be of the previous build, which does not understand this form.
        if times.is_multiple_of(SAID) && !self.heard.contains_key(&to) {
            self.to_earlier.push((to, vec![want.clone()]));
        }
        self.out.push((to, want));
    }

    /// When the next request is due.
    pub(super) fn next_want_at(&self) -> Option<Micros> {
        let next = |asking: &Asking| {
            let tried = asking.unanswered.filter(|(_, times)| *times < TRIED);
            tried.map_or(asking.say_at, |(at, _)| asking.say_at.min(at + UNANSWERED))
        };
        self.waiting_here().map(|(_, asking)| next(asking)).min()
    }

    /// The destinations for which messages wait here, and their requests.
    fn waiting_here(&self) -> impl Iterator<Item = (i64, &Asking)> {
        self.waiting.iter().filter_map(|destination| Some((*destination, self.asking.get(destination)?)))
    }
}
