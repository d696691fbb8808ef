//! Brings a relay that lags behind up to date: whom it asks for the changes that it lacks, and when.

use std::collections::BTreeMap;

use destinations::Version;
use fleet::{Micros, Peer, SECOND};

/// Changes that one request yields at the most; the next ones are asked for once these are applied.
pub const MOST_CHANGES: u64 = 8;
/// A relay waits for so long, in microseconds, whether a push brings what it lacks.
const GRACE: Micros = 3 * SECOND / 10;
/// A request that brought nothing for so long, in microseconds, is sent to the next machine.
const ANSWER_TIMEOUT: Micros = SECOND / 2;
/// The same while a snapshot is being fetched, which as a rule means that nobody has the changes any more.
const FETCHING_TIMEOUT: Micros = 5 * SECOND;
/// A machine that sent what does not hold, or did not answer, is asked after all others for so long, in microseconds. It is not
/// left out, so that neither lost nor forged datagrams can cut a relay off from it.
const DISTRUSTED: Micros = 30 * SECOND;

#[derive(Clone, Copy, Debug)]
struct Request {
    to: Peer,
    after: Version,
    at: Micros,
}

/// The machines that are known to have something newer, and the request that runs.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    ahead: BTreeMap<Peer, Version>,
    /// Machines that sent what does not hold or were silent, and until when that counts.
    distrusted: BTreeMap<Peer, Micros>,
    fetching: bool,
    since: Option<Micros>,
    request: Option<Request>,
}

impl CatchUp {
    /// A machine has that version.
    pub fn seen(&mut self, now: Micros, peer: Peer, theirs: Version, ours: Version) {
        if theirs > ours {
            // Fragments of older changes come behind newer ones; they do not make the machine lag behind.
            let newest = self.ahead.entry(peer).or_insert(theirs);
            *newest = theirs.max(*newest);
            self.since.get_or_insert(now);
        }
    }

    /// Whether that machine was asked, so that its changes are taken though it is no upstream.
    pub fn asked(&self, peer: Peer) -> bool {
        self.request.is_some_and(|request| request.to == peer)
    }

    /// A machine sent something that does not hold.
    pub fn distrust(&mut self, now: Micros, peer: Peer) {
        self.distrusted.insert(peer, now + DISTRUSTED);
    }

    /// Whether a snapshot is being fetched.
    pub fn set_fetching(&mut self, fetching: bool) {
        self.fetching = fetching;
    }

    /// Whom to ask now for the changes after `ours`.
    pub fn poll(&mut self, now: Micros, ours: Version) -> Option<Peer> {
        self.ahead.retain(|_, version| *version > ours);
        if self.ahead.is_empty() {
            (self.since, self.request) = (None, None);
            return None;
        }
        if now < self.next_at() && !self.batch_is_done(ours) {
            return None;
        }
        if let Some(silent) = self.request.take().filter(|request| request.after == ours) {
            // It is asked again once it shows that it is ahead, and after those that answer.
            self.ahead.remove(&silent.to);
            self.distrust(now, silent.to);
        }
        let (to, _) =
            self.ahead.iter().max_by_key(|(peer, version)| (**version, std::cmp::Reverse(**peer)))?;
        self.request = Some(Request { to: *to, after: ours, at: now });
        Some(*to)
    }

    /// When [`CatchUp::poll`] has something to do next.
    pub fn next_at(&self) -> Micros {
        match (self.request, self.since) {
            (Some(request), _) if self.fetching => request.at + FETCHING_TIMEOUT,
            (Some(request), _) => request.at + ANSWER_TIMEOUT,
            (None, Some(since)) => since + GRACE,
            (None, None) => Micros::MAX,
        }
    }

    /// Whether all changes that the request can yield are applied.
    fn batch_is_done(&self, ours: Version) -> bool {
        self.request.is_some_and(|request| {
            ours.epoch != request.after.epoch || ours.number >= request.after.number + MOST_CHANGES
        })
    }
}
