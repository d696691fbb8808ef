//! A relay among its peers: asks when it starts, answers who asks, passes on what is worth it, within what the link's
//! budget allows. A channel of the link: frames, observations and the time go in; frames and beliefs come out. Owns the
//! order in which things are told. It must never say more than it is allowed to.

use std::collections::{BTreeMap, VecDeque};

use fleet::datagram::FRAME_OVERHEAD_BYTES;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fact::{Fact, Kind, Known, Micros, Peer, SECOND};
use crate::ledger::Ledger;
use crate::note::{Item, Told, read};

/// The channel of facts.
pub const CHANNEL: u8 = 2;

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
/// What has faded is forgotten so often.
const FORGET: Micros = SECOND / 2;
/// Facts of one answer, and changes waiting, at the most.
const MOST_WAITING: usize = 4096;

/// What a node is given.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Facts that it keeps, of its own and of others each.
    pub most_facts: usize,
    /// For what is drawn.
    pub seed: u64,
    /// Whether it asks when it starts.
    pub asks: bool,
}

#[derive(Debug)]
struct Answer {
    to: Peer,
    from: Micros,
    keys: VecDeque<(i64, Kind)>,
}

/// A relay among its peers.
#[derive(Debug)]
pub struct Node {
    config: Config,
    ledger: Ledger,
    rng: SmallRng,
    /// Traffic by destination, as a weight.
    traffic: BTreeMap<i64, f64>,
    answers: VecDeque<Answer>,
    changes: VecDeque<(i64, Kind)>,
    asks: u32,
    ask_at: Micros,
    told: Vec<Peer>,
    news: Vec<Fact>,
    news_count: u64,
    news_at_ask: u64,
    quiet: u32,
    short: Vec<(Peer, Item)>,
    forget_at: Micros,
}

impl Node {
    /// A node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        Node {
            ledger: Ledger::new(config.me, config.most_facts),
            rng: SmallRng::seed_from_u64(config.seed),
            traffic: BTreeMap::new(),
            answers: VecDeque::new(),
            changes: VecDeque::new(),
            asks: if config.asks { ASKS } else { 0 },
            ask_at: now,
            told: Vec::new(),
            news: Vec::new(),
            news_count: 0,
            news_at_ask: 0,
            quiet: 0,
            short: Vec::new(),
            forget_at: now,
            config,
        }
    }

    /// What is known.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Facts that were news, in all.
    pub fn news_count(&self) -> u64 {
        self.news_count
    }

    /// The facts that were news since this was last asked.
    pub fn take_news(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.news)
    }

    /// Another set of peers, as on a reload.
    pub fn replaced(&mut self, members: &Members) {
        self.ledger.trust.retain(|peer| members.contains(peer));
        self.answers.retain(|answer| members.contains(answer.to));
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
    pub fn restore(&mut self, now: Micros, members: &Members, fact: Fact) {
        if members.contains(fact.source) || fact.source == self.config.me {
            self.ledger.restore(now, fact);
        }
    }

    fn change(&mut self, key: (i64, Kind)) {
        if self.changes.len() < MOST_WAITING && !self.changes.contains(&key) {
            self.changes.push_back(key);
        }
    }

    fn fact(&mut self, now: Micros, from: &Sender, members: &Members, told: &Told) {
        let sent = now - from.delay;
        let fact = Fact {
            destination: told.destination,
            known: told.known.shifted(sent),
            at: sent.saturating_sub(told.age),
            source: told.source,
            hops: told.hops.saturating_add(u8::from(told.source != from.peer)),
        };
        if !self.told.contains(&from.peer) {
            self.told.push(from.peer);
        }
        let kind = fact.known.kind();
        let before = self.ledger.believed(now, fact.destination, kind).map(|(fact, _)| fact.known);
        if members.contains(fact.source) && self.ledger.hear(now, fact) {
            self.news_count += 1;
            if self.news.len() < MOST_WAITING {
                self.news.push(fact);
            }
            let few = members.present().len() <= FANOUT;
            // What was believed already, others have heard as well.
            if changed(before.as_ref(), &fact.known, now) && fact.hops < MOST_HOPS && !few {
                self.change((fact.destination, kind));
            }
        }
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

    /// A piece of changes, to all that are to have it; how many bytes it took, if there was one.
    fn tell_changes(
        &mut self, now: Micros, members: &Members, room: usize, out: &mut Vec<OutgoingFrame>,
    ) -> usize {
        if self.changes.is_empty() {
            return 0;
        }
        let mut items = Vec::new();
        let n = self.add_changes(now, room, &mut items);
        self.changes.drain(..n.clamp(1, self.changes.len()));
        let mut to = members.present();
        while to.len() > FANOUT {
            to.swap_remove(self.rng.random_range(0..to.len()));
        }
        if items.is_empty() {
            return 1;
        }
        let took = to.len() * cost(&items);
        out.extend(to.into_iter().map(|to| OutgoingFrame { to, bytes: items.clone() }));
        took.max(1)
    }

    /// A piece for one of those who asked, in turn; how many bytes it took, if there was one.
    fn answer(&mut self, now: Micros, room: usize, out: &mut Vec<OutgoingFrame>) -> usize {
        let Some(at) = self.answers.iter().position(|answer| answer.from <= now) else { return 0 };
        let Some(mut answer) = self.answers.remove(at) else { return 0 };
        let bytes = self.fill(now, room, &mut answer.keys);
        let took = cost(&bytes);
        if !bytes.is_empty() {
            out.push(OutgoingFrame { to: answer.to, bytes });
        }
        if !answer.keys.is_empty() {
            self.answers.push_back(answer);
        }
        took
    }

    /// Asks those who have told nothing yet, then others, while that brings something.
    fn ask(&mut self, members: &Members) {
        let mut silent = members.present();
        // Enough have answered, and the last round brought hardly anything: what was lost on the way has come by
        // another.
        let enough = self.told.len() >= ASKED.min(silent.len());
        let news = std::mem::replace(&mut self.news_at_ask, self.news_count);
        let little = (self.news_count - news) as usize <= self.ledger.len() / WORTH_ASKING;
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
    fn add_changes(&self, now: Micros, room: usize, items: &mut Vec<u8>) -> usize {
        self.changes.iter().take_while(|key| self.add(now, **key, room, items)).count()
    }

    /// Adds a fact where it has room; one that is not believed any more adds nothing.
    fn add(&self, now: Micros, (destination, kind): (i64, Kind), room: usize, items: &mut Vec<u8>) -> bool {
        let Some((fact, _)) = self.ledger.believed(now, destination, kind) else { return true };
        let age = now.saturating_sub(fact.at).max(0);
        let known = fact.known.shifted(-now);
        let told = Told { destination, known, age, source: fact.source, hops: fact.hops };
        let bytes = Item::Fact(told).encode();
        let fits = items.len() + bytes.len() <= room;
        if fits {
            items.extend(bytes);
        }
        fits
    }

    fn fill(&self, now: Micros, room: usize, keys: &mut VecDeque<(i64, Kind)>) -> Vec<u8> {
        let mut items = Vec::new();
        while let Some(key) = keys.front() {
            if !self.add(now, *key, room, &mut items) {
                break;
            }
            keys.pop_front();
        }
        items
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool {
        let Some((items, skipped)) = read(bytes) else { return false };
        for item in items {
            match item {
                Item::Fact(told) => self.fact(now, from, members, &told),
                Item::Ask { part, of } => self.asked(now, from.peer, part, of),
            }
        }
        skipped == 0
    }

    fn poll_frames(
        &mut self, now: Micros, members: &Members, room: usize, allowance: usize,
    ) -> Vec<OutgoingFrame> {
        if now >= self.forget_at {
            self.forget_at = now + FORGET;
            self.ledger.forget(now);
        }
        if self.asks > 0 && now >= self.ask_at {
            (self.asks, self.ask_at) = (self.asks - 1, now + ASK_AGAIN);
            self.ask(members);
        }
        let (mut out, mut left) = (Vec::new(), allowance);
        // A piece begins only where a whole note of it is allowed; one to several peers may go beyond by theirs.
        while left >= fleet::datagram::MAX_DATAGRAM_BYTES {
            let Some((to, item)) = (!self.short.is_empty()).then(|| self.short.remove(0)) else { break };
            let mut bytes = item.encode();
            self.add_changes(now, room, &mut bytes);
            left = left.saturating_sub(cost(&bytes));
            out.push(OutgoingFrame { to, bytes });
        }
        // Who starts and what changes take turns, so that neither waits for the other's end.
        while left >= fleet::datagram::MAX_DATAGRAM_BYTES {
            let answered = self.answer(now, room, &mut out);
            left = left.saturating_sub(answered);
            let told = if left >= fleet::datagram::MAX_DATAGRAM_BYTES {
                self.tell_changes(now, members, room, &mut out)
            } else {
                0
            };
            left = left.saturating_sub(told);
            if answered + told == 0 {
                break;
            }
        }
        out
    }

    fn next_at(&self, now: Micros) -> Micros {
        let ask_at = if self.asks > 0 { self.ask_at } else { Micros::MAX };
        let waiting = !self.changes.is_empty() || !self.short.is_empty();
        let answer = self.answers.iter().map(|answer| answer.from).min().unwrap_or(Micros::MAX);
        let due = if waiting { now } else { answer };
        due.min(ask_at).min(self.forget_at).max(now)
    }
}

/// What a piece takes of the budget, with its part of a note's head.
fn cost(bytes: &[u8]) -> usize {
    const HEAD: usize = 16;
    if bytes.is_empty() { 0 } else { bytes.len() + FRAME_OVERHEAD_BYTES + HEAD }
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
