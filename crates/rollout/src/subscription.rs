//! A relay's subscriptions to its upstreams: who they are, whether they answer, and who takes the place of one that does
//! not.
//!
//! A relay keeps [`UPSTREAMS`] subscriptions at different candidates. Each is a lease that a heartbeat renews; an upstream
//! that leaves two heartbeats in a row unanswered is replaced at once by the next candidate. A third subscription, the
//! probe, now and then tries a better candidate, or one with fresher state, and takes the place of the worse upstream if it
//! is accepted.

use fleet::{Micros, Peer, SECOND};

use crate::jitter::Jitter;
use crate::message::{Advert, Message};
use destinations::Version;

/// Subscriptions that a relay keeps: the primary and the backup.
pub const UPSTREAMS: usize = 2;
/// Interval between heartbeats, in microseconds, before jitter. A relay's version is thus compared once a second with each
/// upstream's.
pub const HEARTBEAT: Micros = SECOND;
/// How long an answer may take, in microseconds: twice a slow round trip between regions.
pub const ANSWER_TIMEOUT: Micros = SECOND / 2;
/// Heartbeats in a row that an upstream may leave unanswered before it is replaced.
const MOST_UNANSWERED: u32 = 2;
/// A candidate that failed is left out for this long, in microseconds, twice as long after each further failure, up to
/// [`LONGEST_AVOIDED`]. The upper bound is how late a relay finds out that a partition has healed.
const AVOIDED: Micros = SECOND;
/// See [`AVOIDED`].
const LONGEST_AVOIDED: Micros = 4 * SECOND;
/// A candidate that refused is left out for this long, in microseconds; its leases change slowly.
const REFUSED: Micros = 15 * SECOND;
/// Interval between probes, in microseconds, while the relay has both upstreams.
const PROBE: Micros = 20 * SECOND;
/// Interval between probes, in microseconds, while an upstream is stale.
const STALE_PROBE: Micros = 2 * SECOND;
/// An upstream whose state was last confirmed by control longer ago than this, in microseconds, is stale: three missed
/// heartbeats on each of three hops are shorter.
pub const STALE: Micros = 10 * SECOND;

/// Where a relay has its changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The machine.
    pub peer: Peer,
    /// Whether it pushes at once; the backup waits whether the primary's push arrives.
    pub primary: bool,
    /// The version that it last advertised, if it has answered.
    pub version: Option<Version>,
    /// How long ago control last confirmed its state, in microseconds, if known.
    pub age: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    peer: Peer,
    avoided_until: Micros,
    failures: u32,
}

/// A heartbeat that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u16,
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Subscription {
    /// Index of the candidate; the smaller one is the better.
    candidate: usize,
    probe: bool,
    last: Sent,
    before: Option<Sent>,
    answered: bool,
    unanswered: u32,
    next: Micros,
    advert: Option<Advert>,
    /// When control last confirmed the advertised state, at the latest reckoning.
    confirmed: Option<Micros>,
}

/// What became of an answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is of a current subscription.
    Current,
    /// It answers no heartbeat that waits for an answer.
    Unasked,
}

/// All subscriptions of one relay.
#[derive(Debug)]
pub struct Subscriptions {
    candidates: Vec<Candidate>,
    active: Vec<Subscription>,
    number: u16,
    probe_at: Micros,
    jitter: Jitter,
    replaced: u64,
}

impl Subscriptions {
    /// Subscriptions at the best of these candidates; they are asked at the first [`Subscriptions::poll`].
    pub fn new(candidates: Vec<Peer>, now: Micros, jitter: Jitter) -> Self {
        let candidate = |peer| Candidate { peer, avoided_until: Micros::MIN, failures: 0 };
        Subscriptions {
            candidates: candidates.into_iter().map(candidate).collect(),
            active: Vec::new(),
            number: 0,
            probe_at: now + PROBE,
            jitter,
            replaced: 0,
        }
    }

    /// Upstreams that were given up because they did not answer.
    pub fn replaced(&self) -> u64 {
        self.replaced
    }

    /// The upstreams, the primary first.
    pub fn upstreams(&self, now: Micros) -> Vec<Upstream> {
        let mut active: Vec<&Subscription> = self.active.iter().filter(|sub| !sub.probe).collect();
        active.sort_by_key(|sub| (sub.is_stale(now), sub.candidate));
        let upstream = |(position, sub): (usize, &&Subscription)| Upstream {
            peer: self.peer(sub),
            primary: position == 0,
            version: sub.advert.map(|advert| advert.version),
            age: sub.confirmed.map(|at| now - at),
        };
        active.iter().enumerate().map(upstream).collect()
    }

    /// Whether that machine is a current upstream, or on probe.
    pub fn has(&self, peer: Peer) -> bool {
        self.active.iter().any(|sub| self.peer(sub) == peer)
    }

    /// Candidates that are not known to be silent, the best first.
    pub fn reachable(&self, now: Micros) -> impl Iterator<Item = Peer> {
        self.candidates.iter().filter(move |candidate| candidate.avoided_until <= now).map(|found| found.peer)
    }

    /// The latest moment at which control confirmed that nothing is newer than `version`, as far as upstreams told.
    pub fn confirmed(&self, version: Version) -> Option<Micros> {
        let told =
            self.active.iter().filter(|sub| sub.advert.is_some_and(|advert| advert.version <= version));
        told.filter_map(|sub| sub.confirmed).max()
    }

    /// An upstream answered a heartbeat with its advert.
    pub fn accepted(
        &mut self, now: Micros, from: Peer, answers: u16, advert: Advert, out: &mut Vec<(Peer, Message)>,
    ) -> Answer {
        let Some(index) = self.position(from) else { return Answer::Unasked };
        let Some(sub) = self.active.get_mut(index) else { return Answer::Unasked };
        let Some(sent) = sub.sent(answers) else { return Answer::Unasked };
        // The age is reckoned from when the question was asked, so that it is never taken for shorter than it is.
        sub.confirmed = advert.age_ms.map(|age| sent.at - Micros::from(age) * 1000);
        sub.advert = Some(advert);
        if answers == sub.last.number && !sub.answered {
            (sub.answered, sub.unanswered) = (true, 0);
            sub.next = sub.last.at + self.jitter.around(HEARTBEAT);
        }
        if let Some(candidate) = self.candidates.get_mut(sub.candidate) {
            candidate.failures = 0;
        }
        if sub.probe {
            self.settle(now, index, out);
        }
        Answer::Current
    }

    /// An upstream refused the subscription.
    pub fn refused(&mut self, now: Micros, from: Peer, answers: u16) -> Answer {
        let asked = |index: &usize| self.active.get(*index).is_some_and(|sub| sub.sent(answers).is_some());
        let Some(index) = self.position(from).filter(asked) else { return Answer::Unasked };
        let sub = self.active.remove(index);
        let until = now + self.jitter.around(REFUSED);
        if let Some(candidate) = self.candidates.get_mut(sub.candidate) {
            candidate.avoided_until = until;
        }
        Answer::Current
    }

    /// Sends the heartbeats that are due, replaces who does not answer, and probes.
    pub fn poll(&mut self, now: Micros, version: Version, out: &mut Vec<(Peer, Message)>) {
        self.give_up(now);
        self.fill(now);
        self.probe(now);
        let primary = self.upstreams(now).first().map(|upstream| upstream.peer);
        let mut active = std::mem::take(&mut self.active);
        for sub in active.iter_mut().filter(|sub| sub.at() <= now) {
            self.number = self.number.wrapping_add(1).max(1);
            sub.send(now, self.number);
            let peer = self.peer(sub);
            let primary = Some(peer) == primary;
            out.push((peer, Message::Heartbeat { number: self.number, primary, version }));
        }
        self.active = active;
    }

    /// When [`Subscriptions::poll`] has something to do next.
    pub fn next_at(&self) -> Micros {
        let due = self.active.iter().map(Subscription::at).min().unwrap_or(Micros::MAX);
        let wanted = self.active.iter().filter(|sub| !sub.probe).count() < UPSTREAMS;
        let used = |index: &usize| self.active.iter().any(|sub| sub.candidate == *index);
        let free = (0..self.candidates.len()).filter(|index| !used(index));
        let free = free.filter_map(|index| self.candidates.get(index)).map(|found| found.avoided_until).min();
        let fill = free.filter(|_| wanted).unwrap_or(Micros::MAX);
        due.min(fill).min(if self.candidates.is_empty() { Micros::MAX } else { self.probe_at })
    }

    fn peer(&self, sub: &Subscription) -> Peer {
        self.candidates.get(sub.candidate).map_or(Peer::MAX, |candidate| candidate.peer)
    }

    fn position(&self, peer: Peer) -> Option<usize> {
        self.active.iter().position(|sub| self.peer(sub) == peer)
    }

    /// Counts heartbeats that were not answered in time, and gives up who left too many unanswered.
    fn give_up(&mut self, now: Micros) {
        let silent = |sub: &Subscription| !sub.answered && sub.last.number != 0;
        for sub in self.active.iter_mut().filter(|sub| silent(sub) && sub.at() <= now) {
            sub.unanswered += 1;
        }
        let (kept, given_up): (Vec<_>, Vec<_>) =
            self.active.drain(..).partition(|sub| sub.unanswered < MOST_UNANSWERED);
        self.active = kept;
        for sub in given_up {
            self.replaced += u64::from(!sub.probe);
            let jitter = &mut self.jitter;
            let Some(candidate) = self.candidates.get_mut(sub.candidate) else { continue };
            let avoided = (AVOIDED << candidate.failures.min(8)).min(LONGEST_AVOIDED);
            candidate.failures = candidate.failures.saturating_add(1);
            candidate.avoided_until = now + jitter.around(avoided);
        }
    }

    /// Subscribes at the next candidates until there are enough.
    fn fill(&mut self, now: Micros) {
        while self.active.iter().filter(|sub| !sub.probe).count() < UPSTREAMS {
            if let Some(probe) = self.active.iter_mut().find(|sub| sub.probe) {
                probe.probe = false;
                continue;
            }
            let Some(candidate) = self.best(now, self.candidates.len()) else { return };
            self.active.push(Subscription::new(candidate, false, now));
        }
    }

    /// The best candidate below `end` that is neither in use nor left out.
    fn best(&self, now: Micros, end: usize) -> Option<usize> {
        let used = |index: usize| self.active.iter().any(|sub| sub.candidate == index);
        let free = |index: &usize| {
            self.candidates.get(*index).is_some_and(|candidate| candidate.avoided_until <= now)
                && !used(*index)
        };
        (0..end).find(free)
    }

    /// Tries a better candidate, or any other while an upstream is stale.
    fn probe(&mut self, now: Micros) {
        if now < self.probe_at || self.candidates.is_empty() {
            return;
        }
        let stale = self.active.iter().any(|sub| !sub.probe && sub.is_stale(now));
        self.probe_at = now + self.jitter.around(if stale { STALE_PROBE } else { PROBE });
        if self.active.iter().any(|sub| sub.probe) {
            return;
        }
        let worst = self.active.iter().map(|sub| sub.candidate).max().unwrap_or(0);
        let end = if stale { self.candidates.len() } else { worst };
        if let Some(candidate) = self.best(now, end) {
            self.active.push(Subscription::new(candidate, true, now));
        }
    }

    /// A probe was accepted: the worst of all gives way, and is left out for a while if it is the probe itself.
    fn settle(&mut self, now: Micros, probe: usize, out: &mut Vec<(Peer, Message)>) {
        if let Some(sub) = self.active.get_mut(probe) {
            sub.probe = false;
        }
        if self.active.len() <= UPSTREAMS {
            return;
        }
        let standing = |index: &usize| self.active.get(*index).map(|sub| (sub.is_stale(now), sub.candidate));
        let Some(worst) = (0..self.active.len()).max_by_key(standing) else { return };
        let sub = self.active.remove(worst);
        let peer = self.peer(&sub);
        if worst == probe {
            let until = now + self.jitter.around(REFUSED);
            if let Some(candidate) = self.candidates.get_mut(sub.candidate) {
                candidate.avoided_until = until;
            }
        }
        out.push((peer, Message::Leave));
    }
}

impl Subscription {
    fn new(candidate: usize, probe: bool, now: Micros) -> Self {
        Subscription {
            candidate,
            probe,
            last: Sent { number: 0, at: now },
            before: None,
            answered: true,
            unanswered: 0,
            next: now,
            advert: None,
            confirmed: None,
        }
    }

    /// When the next heartbeat is due: earlier than usual if the last one was not answered.
    fn at(&self) -> Micros {
        if self.answered { self.next } else { self.last.at + ANSWER_TIMEOUT }
    }

    fn send(&mut self, now: Micros, number: u16) {
        self.before = Some(self.last);
        self.last = Sent { number, at: now };
        self.answered = false;
    }

    /// The heartbeat of that number, if an answer to it still counts.
    fn sent(&self, number: u16) -> Option<Sent> {
        [Some(self.last), self.before].into_iter().flatten().find(|sent| sent.number == number && number != 0)
    }

    /// Whether it answered, and control confirmed its state too long ago.
    fn is_stale(&self, now: Micros) -> bool {
        self.advert.is_some() && self.confirmed.is_none_or(|at| now - at > STALE)
    }
}
