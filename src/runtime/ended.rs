//! The ids of messages that ended recently, and what a submission under such an id may expect.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::exchange::{ContentDigest, Exchange};
use crate::handed::PastAttempts;
use crate::interface::Micros;

/// Time for which the id of an ended message is remembered, in microseconds.
const ENDED_RETENTION: Micros = 15_000_000;
/// Maximum number of such ids.
const MAX_ENDED: usize = 4096;

/// How the messages of one id ended.
#[derive(Clone, Copy, Debug, Default)]
struct EndedId {
    /// A message ended for good: it was delivered, or its end was reported.
    ended: bool,
    /// The attempts of a message that was withdrawn: no client was told that it was accepted.
    withdrawn: Option<PastAttempts>,
    /// The content of the last one. `None` if an earlier build handed over the id.
    content: Option<ContentDigest>,
}

/// What is known of the id of a submission that no message held has.
pub(super) enum KnownId {
    /// No message with this id ended recently, or none of which anything was sent or told.
    New,
    /// This message was withdrawn after these attempts.
    Withdrawn(PastAttempts),
    /// This message ended for good.
    Ended,
    /// A message with another content has used the id.
    OtherContent,
}

/// The ids of messages that ended recently, so that a duplicate is not accepted right after the end.
#[derive(Default)]
pub(super) struct EndedIds {
    order: VecDeque<(Micros, Arc<str>)>,
    ids: HashMap<Arc<str>, EndedId>,
}

impl EndedIds {
    /// Adds the id of a message that ended for good.
    pub(super) fn remember(&mut self, now: Micros, id: &str, content: Option<ContentDigest>) {
        let entry = self.entry(now, id);
        (entry.ended, entry.content) = (true, content);
    }

    /// Adds the id of a message that was withdrawn, with the attempts made for it.
    pub(super) fn remember_withdrawn(
        &mut self, now: Micros, id: &str, attempts: PastAttempts, content: Option<ContentDigest>,
    ) {
        *self.entry(now, id) = EndedId { ended: false, withdrawn: Some(attempts), content };
    }

    /// Forgets that a message of this id ended for good, as it was never accepted. An earlier one may have been withdrawn.
    pub(super) fn forget(&mut self, id: &str) {
        match self.ids.get_mut(id) {
            Some(EndedId { ended, withdrawn: Some(_), .. }) => *ended = false,
            Some(_) => self.remove(id),
            None => {}
        }
    }

    /// What is known of the id of a submission.
    pub(super) fn lookup(&self, exchange: &Exchange) -> KnownId {
        let Some(known) = self.ids.get(exchange.id.as_str()) else { return KnownId::New };
        // A message that was withdrawn before any attempt leaves its id to any other one.
        let attempts = known.withdrawn.filter(|attempts| attempts.count > 0);
        if !known.ended && attempts.is_none() {
            return KnownId::New;
        }
        if known.content.is_some_and(|content| content != exchange.content_digest()) {
            return KnownId::OtherContent;
        }
        match attempts.filter(|_| !known.ended) {
            Some(attempts) => KnownId::Withdrawn(attempts),
            None => KnownId::Ended,
        }
    }

    /// The ids with the times of their ends, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Micros, Arc<str>)> {
        self.order.iter()
    }

    /// The ids of withdrawn messages under which no message ended for good, with their attempts.
    pub(super) fn iter_withdrawn(&self) -> impl Iterator<Item = (Arc<str>, PastAttempts)> {
        let open = self.ids.iter().filter(|(_, known)| !known.ended);
        open.filter_map(|(id, known)| Some((id.clone(), known.withdrawn?)))
    }

    /// The contents of the ended messages, by id.
    pub(super) fn iter_contents(&self) -> impl Iterator<Item = (Arc<str>, ContentDigest)> {
        self.ids.iter().filter_map(|(id, known)| Some((id.clone(), known.content?)))
    }

    /// The entry of an id, as the newest one. Drops those that are too old or too many.
    fn entry(&mut self, now: Micros, id: &str) -> &mut EndedId {
        let stale = |at: Micros, count: usize| at + ENDED_RETENTION <= now || count > MAX_ENDED;
        while self.order.front().is_some_and(|(at, _)| stale(*at, self.order.len())) {
            if let Some((_, id)) = self.order.pop_front() {
                self.ids.remove(&id);
            }
        }
        if self.ids.contains_key(id) {
            self.order.retain(|(_, other)| **other != *id);
        }
        let id: Arc<str> = id.into();
        self.order.push_back((now, id.clone()));
        self.ids.entry(id).or_default()
    }

    fn remove(&mut self, id: &str) {
        self.ids.remove(id);
        self.order.retain(|(_, other)| **other != *id);
    }
}
