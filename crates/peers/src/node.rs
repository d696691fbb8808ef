//! A relay among its peers: asks when it starts, answers who asks, passes on what is worth it, within a budget of
//! bytes. A state machine: datagrams, observations and the time go in; datagrams and beliefs come out. Owns the
//! order in which things are told. It must never send more than its budget, nor a note longer than may be.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fact::{Fact, Kind, Known, Micros, Peer, SECOND};
use crate::ledger::Ledger;
use crate::members::Members;
use crate::note::{Head, Item, Keys, Note, NoteError, Replay, Told};

/// A starter asks so many at once ...
const ASKED: usize = 3;
/// ... and so many others, or the same, so often ...
const ASKS: u32 = 12;
/// ... while a round of answers brings more than one fact in so many that are known ...
const WORTH_ASKING: usize = 50;
/// ... or for so many rounds that did not, one after the other ...
const QUIET: u32 = 3;
/// ... so long after the time before.
const ASK_AGAIN: Micros = SECOND / 4;
/// Answers of those asked begin spread over this.
const SPREAD: Micros = SECOND / 50;
/// Changes go to so many, where there are more.
const FANOUT: usize = 4;
/// A fact is passed on so often at the most.
const MOST_HOPS: u8 = 3;
/// A clock may be off by so much; what comes later than that is late.
const CLOCKS: Micros = 3 * SECOND / 2;
/// A note that is later than this says nothing.
const TOO_LATE: Micros = 30 * SECOND;
/// The budget may be saved up for so long.
const SAVED: Micros = SECOND / 2;
/// Facts of one answer, and changes waiting, at the most.
const MOST_WAITING: usize = 4096;

/// What a node is given.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Its start, in Unix seconds.
    pub incarnation: u32,
    /// All relays of the tier.
    pub peers: Vec<Peer>,
    /// By which notes are signed.
    pub keys: Keys,
    /// It sends so many bytes a second at the most.
    pub bytes_per_s: u32,
    /// Facts that it keeps, of its own and of others each.
    pub most_facts: usize,
    /// For what is drawn.
    pub seed: u64,
    /// Whether it asks when it starts.
    pub asks: bool,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    /// To whom.
    pub to: Peer,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Notes sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub bytes: u64,
    /// Notes taken.
    pub taken: u64,
    /// Notes that had no effect: unreadable, forged, replayed, too late, from nobody of the tier.
    pub ignored: u64,
    /// Facts that were news.
    pub news: u64,
}

#[derive(Debug)]
struct Answer {
    to: Peer,
    from: Micros,
    keys: VecDeque<(i64, Kind)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Line {
    replay: Replay,
    /// The least of arrival less sending.
    least: Option<Micros>,
}

/// A relay among its peers.
#[derive(Debug)]
pub struct Node {
    config: Config,
    ledger: Ledger,
    members: Members,
    rng: SmallRng,
    number: u32,
    lines: BTreeMap<Peer, Line>,
    /// Traffic by destination, as a weight.
    traffic: BTreeMap<i64, f64>,
    answers: VecDeque<Answer>,
    changes: VecDeque<(i64, Kind)>,
    asks: u32,
    ask_at: Micros,
    told: Vec<Peer>,
    news_at_ask: u64,
    quiet: u32,
    short: Vec<(Peer, Item)>,
    tokens: f64,
    tokens_at: Micros,
    members_at: Micros,
    counts: Counts,
}

impl Node {
    /// A node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        let members = Members::new(config.me, config.incarnation, config.peers.iter().copied());
        Node {
            ledger: Ledger::new(config.me, config.most_facts),
            members,
            rng: SmallRng::seed_from_u64(config.seed),
            number: 0,
            lines: BTreeMap::new(),
            traffic: BTreeMap::new(),
            answers: VecDeque::new(),
            changes: VecDeque::new(),
            asks: if config.asks { ASKS } else { 0 },
            ask_at: now,
            told: Vec::new(),
            news_at_ask: 0,
            quiet: 0,
            short: Vec::new(),
            tokens: 2.0 * crate::note::MOST as f64,
            tokens_at: now,
            members_at: now,
            counts: Counts::default(),
            config,
        }
    }

    /// What is known.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Who is there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Another set of peers, as on a reload.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        self.members.replace(peers.iter().copied());
        let members = &self.members;
        self.ledger.trust.retain(|peer| members.has(peer));
        self.lines.retain(|peer, _| members.has(*peer));
        self.answers.retain(|answer| members.has(answer.to));
        self.config.peers = peers;
    }

    /// This relay saw something of a destination; `traffic` is what it sends there, in calls a second. Tells whether
    /// it turns what was believed: a trouble begun or over, or a wait told.
    pub fn observe(&mut self, now: Micros, destination: i64, known: Known, traffic: f64) -> bool {
        let before = self.ledger.believed(now, destination, known.kind()).map(|(fact, _)| fact.known);
        let turns = changed(before.as_ref(), &known, now);
        self.ledger.observe(now, destination, known);
        if self.traffic.len() < self.config.most_facts || self.traffic.contains_key(&destination) {
            self.traffic.insert(destination, traffic);
        }
        if turns {
            self.change((destination, known.kind()));
        }
        turns
    }

    /// What an earlier process of this relay saw or heard then.
    pub fn restore(&mut self, now: Micros, fact: Fact) {
        if self.members.has(fact.source) || fact.source == self.config.me {
            self.ledger.restore(now, fact);
        }
    }

    fn change(&mut self, key: (i64, Kind)) {
        if self.changes.len() < MOST_WAITING && !self.changes.contains(&key) {
            self.changes.push_back(key);
        }
    }

    /// Takes a datagram; the facts in it that are news, by this relay's clock.
    ///
    /// # Errors
    /// Why it has no effect; it is counted and nothing else.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Fact>, NoteError> {
        match self.take(now, bytes) {
            Ok(facts) => {
                self.counts.taken += 1;
                self.counts.news += facts.len() as u64;
                Ok(facts)
            }
            Err(error) => {
                self.counts.ignored += 1;
                Err(error)
            }
        }
    }

    fn take(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Fact>, NoteError> {
        let Note { head, items, .. } = self.config.keys.open(bytes)?;
        if head.from == self.config.me || !self.members.has(head.from) {
            return Err(NoteError::Malformed);
        }
        let line = self.lines.entry(head.from).or_default();
        line.replay.take(&head)?;
        // How late it is: more than the least that a note ever took. Clocks may be off, but not by more than some.
        let took = now.saturating_sub(head.sent);
        let least = line.least.map_or(took, |least| least.min(took));
        line.least = Some(least);
        let late = took.saturating_sub(least.clamp(-CLOCKS, CLOCKS)).max(0);
        if late > TOO_LATE {
            return Err(NoteError::Replayed);
        }
        self.members.heard(now, head.from, head.incarnation);
        let mut news = Vec::new();
        for item in items {
            match item {
                Item::Fact(told) => {
                    let sent = now - late;
                    let at = sent.saturating_sub(told.age);
                    let fact = Fact {
                        destination: told.destination,
                        known: told.known.shifted(sent),
                        at,
                        source: told.source,
                        hops: told.hops.saturating_add(u8::from(told.source != head.from)),
                    };
                    if !self.told.contains(&head.from) {
                        self.told.push(head.from);
                    }
                    let kind = fact.known.kind();
                    let before =
                        self.ledger.believed(now, fact.destination, kind).map(|(fact, _)| fact.known);
                    if self.members.has(fact.source) && self.ledger.hear(now, fact) {
                        news.push(fact);
                        let few = self.members.present().len() <= FANOUT;
                        // What was believed already, others have heard as well.
                        if changed(before.as_ref(), &fact.known, now) && fact.hops < MOST_HOPS && !few {
                            self.change((fact.destination, kind));
                        }
                    }
                }
                Item::Ask { part, of } => self.asked(now, head.from, part, of),
                Item::Member { peer, incarnation, standing } => {
                    if self.members.told(now, peer, incarnation, standing) {
                        self.short.push((head.from, Item::Pong));
                    }
                }
                Item::Ping => self.short.push((head.from, Item::Pong)),
                Item::Pong => {}
            }
        }
        self.short.truncate(MOST_WAITING);
        Ok(news)
    }

    /// Somebody starts: what is most useful to it, its own part first, so that those asked do not all begin
    /// alike; what others should have told follows in case that it was lost.
    fn asked(&mut self, now: Micros, to: Peer, part: u8, of: u8) {
        // An answer on its way goes on: begun anew each time, it would never come to its end.
        if self.answers.iter().any(|answer| answer.to == to) {
            return;
        }
        let mut useful: Vec<(f64, (i64, Kind))> = self
            .ledger
            .all(now)
            .filter(|(fact, _)| fact.source != to && fact.hops < MOST_HOPS)
            .map(|(fact, weight)| {
                let traffic = self.traffic.get(&fact.destination).copied().unwrap_or(0.1);
                (weight * fact.known.differs(now) * (0.1 + traffic), (fact.destination, fact.known.kind()))
            })
            .filter(|(use_of, _)| *use_of > 0.0)
            .collect();
        useful.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        useful.truncate(MOST_WAITING);
        let (of, part) = (usize::from(of).max(1), usize::from(part));
        let mine = |(destination, _): &(i64, Kind)| destination.unsigned_abs() as usize % of == part;
        let (first, rest): (Vec<_>, Vec<_>) = useful.into_iter().map(|(_, key)| key).partition(mine);
        let from = now + self.rng.random_range(0..=SPREAD);
        self.answers.push_back(Answer { to, from, keys: first.into_iter().chain(rest).collect() });
    }

    /// When [`Node::poll`] has something to do next.
    pub fn next_at(&self, now: Micros) -> Micros {
        let mut at = self.members_at;
        if self.asks > 0 {
            at = at.min(self.ask_at);
        }
        let waiting = !self.changes.is_empty() || !self.short.is_empty();
        let answer = self.answers.iter().map(|answer| answer.from).min();
        let due = if waiting { Some(now) } else { answer };
        if let Some(due) = due {
            let missing = (crate::note::MOST as f64 - self.tokens).max(0.0);
            let full = missing / f64::from(self.config.bytes_per_s.max(1)) * SECOND as f64;
            at = at.min(due.max(self.tokens_at + full.ceil() as Micros));
        }
        at.max(now + 1000)
    }

    /// Datagrams to send now.
    pub fn poll(&mut self, now: Micros) -> Vec<Out> {
        let rate = f64::from(self.config.bytes_per_s);
        let most = (rate * SAVED as f64 / SECOND as f64).max(2.0 * crate::note::MOST as f64);
        let passed = (now - self.tokens_at).max(0) as f64 / SECOND as f64;
        (self.tokens, self.tokens_at) = ((self.tokens + rate * passed).min(most), now.max(self.tokens_at));
        let mut out = Vec::new();
        if now >= self.members_at {
            self.members_at = now + SECOND / 2;
            for peer in self.members.ask(now) {
                self.short.push((peer, Item::Ping));
            }
            self.ledger.forget(now);
        }
        if self.asks > 0 && now >= self.ask_at {
            (self.asks, self.ask_at) = (self.asks - 1, now + ASK_AGAIN);
            self.ask();
        }
        while self.affordable() {
            let Some((to, item)) = (!self.short.is_empty()).then(|| self.short.remove(0)) else { break };
            let mut items = item.encode();
            self.add_changes(now, &mut items);
            self.seal(now, to, &items, &mut out);
        }
        // Who starts and what changes take turns, so that neither waits for the other's end.
        loop {
            let answered = self.affordable() && self.answer(now, &mut out);
            let told = self.affordable() && self.tell_changes(now, &mut out);
            if !answered && !told {
                break;
            }
        }
        out
    }

    /// A note of changes, to all that are to have it; whether there was one.
    fn tell_changes(&mut self, now: Micros, out: &mut Vec<Out>) -> bool {
        if self.changes.is_empty() {
            return false;
        }
        let mut items = Vec::new();
        let n = self.add_changes(now, &mut items);
        self.changes.drain(..n.clamp(1, self.changes.len()));
        let mut to = self.members.present();
        while to.len() > FANOUT {
            to.swap_remove(self.rng.random_range(0..to.len()));
        }
        if !items.is_empty() {
            to.into_iter().for_each(|to| self.seal(now, to, &items, out));
        }
        true
    }

    /// A note for one of those who asked, in turn; whether there was one.
    fn answer(&mut self, now: Micros, out: &mut Vec<Out>) -> bool {
        let Some(at) = self.answers.iter().position(|answer| answer.from <= now) else { return false };
        let Some(mut answer) = self.answers.remove(at) else { return false };
        let items = self.fill(now, &mut answer.keys);
        if !items.is_empty() {
            self.seal(now, answer.to, &items, out);
        }
        if !answer.keys.is_empty() {
            self.answers.push_back(answer);
        }
        true
    }

    fn affordable(&self) -> bool {
        self.tokens >= crate::note::MOST as f64
    }

    /// Asks those who have told nothing yet, then others, while that brings something.
    fn ask(&mut self) {
        let mut silent = self.members.present();
        // Enough have answered, and the last round brought hardly anything: what was lost on the way has come by
        // another.
        let enough = self.told.len() >= ASKED.min(silent.len());
        let news = std::mem::replace(&mut self.news_at_ask, self.counts.news);
        let little = (self.counts.news - news) as usize <= self.ledger.len() / WORTH_ASKING;
        // One such round may be one whose notes were lost.
        self.quiet = if enough && little { self.quiet + 1 } else { 0 };
        if self.quiet >= QUIET {
            self.asks = 0;
            return;
        }
        // Those who have told something make room for those who have not, while there are some.
        while silent.len() > ASKED {
            let told = silent.iter().position(|peer| self.told.contains(peer));
            silent.swap_remove(told.unwrap_or_else(|| self.rng.random_range(0..silent.len())));
        }
        let of = u8::try_from(silent.len()).unwrap_or(1);
        for (part, peer) in (0..of).zip(silent) {
            self.short.insert(0, (peer, Item::Ask { part, of }));
        }
    }

    /// Adds the first changes that have room, and leaves them on the list; how many they are.
    fn add_changes(&self, now: Micros, items: &mut Vec<u8>) -> usize {
        self.changes.iter().take_while(|key| self.add(now, **key, items)).count()
    }

    /// Adds a fact where it has room; one that is not believed any more adds nothing.
    fn add(&self, now: Micros, (destination, kind): (i64, Kind), items: &mut Vec<u8>) -> bool {
        let Some((fact, _)) = self.ledger.believed(now, destination, kind) else { return true };
        let age = now.saturating_sub(fact.at).max(0);
        let known = fact.known.shifted(-now);
        let told = Told { destination, known, age, source: fact.source, hops: fact.hops };
        let bytes = Item::Fact(told).encode();
        let fits = items.len() + bytes.len() <= self.config.keys.room();
        if fits {
            items.extend(bytes);
        }
        fits
    }

    fn fill(&self, now: Micros, keys: &mut VecDeque<(i64, Kind)>) -> Vec<u8> {
        let mut items = Vec::new();
        while let Some(key) = keys.front() {
            if !self.add(now, *key, &mut items) {
                break;
            }
            keys.pop_front();
        }
        items
    }

    fn seal(&mut self, now: Micros, to: Peer, items: &[u8], out: &mut Vec<Out>) {
        self.number += 1;
        let incarnation = self.members.incarnation();
        let head = Head { from: self.config.me, incarnation, number: self.number, sent: now };
        let bytes = self.config.keys.seal(&head, items);
        self.tokens -= bytes.len() as f64;
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        out.push(Out { to, bytes });
    }
}

/// Worth telling at once: trouble begun or over, and a wait that was told.
fn changed(before: Option<&Known>, known: &Known, now: Micros) -> bool {
    match (before, known) {
        (Some(Known::Trouble { back: old, .. }), Known::Trouble { back, .. }) => {
            old.is_none() && back.is_some()
        }
        (_, Known::Trouble { .. }) => true,
        (Some(Known::Trouble { .. }), Known::Good { .. }) => true,
        (Some(Known::Wait { until: old }), Known::Wait { until }) => *until > *old + SECOND / 2,
        (None, Known::Wait { until }) => *until > now + SECOND / 2,
        _ => false,
    }
}
