//! A relay among those that take turns: its own wish and turn, its votes, and what it tells. Owns when it asks, and when it
//! is out. It must never be out by votes of a round that is over.

use std::collections::{BTreeMap, BTreeSet};

use fleet::frame;
use fleet::link::{Channel, Said, Sender};
use fleet::members::Members;

use crate::note::{CHANNEL, State, Why, Word};
use crate::voter::{ASKS_FOR, Counts, Guard, Voter};
use crate::wishes::{Kind, Stage, Wish, Wishes};
use crate::{Fence, Micros, Peer, SECOND, Terms};

/// While something is wanted, or somebody is out, voters ask all others so often what they are at ...
const PING: Micros = SECOND;
/// ... else each relay asks one in its turn.
const IDLE: Micros = 2 * SECOND;
/// Who does not answer an ask is asked again after this.
const AGAIN: Micros = 3 * SECOND / 10;
/// After a round in vain a relay rests for so long, and for up to as long again by its number.
const RESTS: Micros = 2 * SECOND / 5;
/// An older wish that can be met, and does not ask, is waited for so long.
const YIELDS: Micros = 3 * SECOND;
/// Strain that was not said again for so long is over ...
const STRAINED_FOR: Micros = 5 * SECOND / 2;
/// ... and holds no wish back that is so old, in milliseconds: nobody waits for ever.
const STRAIN_HOLDS_MS: u64 = 600_000;
/// Refusals are remembered for so long.
const REFUSED_FOR: Micros = 5 * SECOND;

/// What a node is given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Its start, a number that grows from one start to the next.
    pub incarnation: u32,
    /// How many may be out, and who is where.
    pub terms: Terms,
}

/// A turn that this relay has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Turn {
    /// Its fence.
    pub fence: Fence,
    /// The seat.
    pub seat: u8,
    /// What for.
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asking {
    fence: Fence,
    seat: u8,
    votes: BTreeSet<Peer>,
    answered: BTreeSet<Peer>,
    since: Micros,
    again: Micros,
}

/// What its relay is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Go out: take no new clients, and end once it is empty where the kind says so.
    Out(Turn),
    /// Take clients again.
    Back,
}

/// A relay among those that take turns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    config: Config,
    voter: Voter,
    wishes: Wishes,
    serves: bool,
    /// It was out when its process before this one ended; its wish is met once it serves.
    returns: bool,
    round: u32,
    asking: Option<Asking>,
    turn: Option<Turn>,
    rests_until: Micros,
    ping_at: Micros,
    next_one: Peer,
    /// Older wishes that could be met, and since when they are waited for.
    yields: BTreeMap<Peer, Micros>,
    refused: BTreeMap<Peer, (Why, Micros)>,
    /// Whether this relay sees strain, and when others said that they do.
    strained: bool,
    strains: BTreeMap<Peer, Micros>,
    now_ms: u64,
    out: Vec<(Peer, Word)>,
    orders: Vec<Order>,
    /// Something changed that outlasts the process.
    changed: bool,
}

/// What outlasts the process of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Kept {
    /// All wishes.
    pub wishes: Vec<Wish>,
    /// The turn that it had.
    pub out: Option<Fence>,
}

impl Node {
    /// A node that starts now, with what an earlier process kept.
    pub fn new(config: Config, now: Micros, kept: &Kept) -> Self {
        let mut wishes = Wishes::default();
        for wish in &kept.wishes {
            wishes.take(config.terms.relays, *wish);
        }
        Node {
            voter: Voter::new(config.me, config.incarnation, now),
            wishes,
            serves: false,
            returns: kept.out.is_some(),
            round: 0,
            asking: None,
            turn: None,
            rests_until: now,
            ping_at: now,
            next_one: config.me,
            yields: BTreeMap::new(),
            refused: BTreeMap::new(),
            strained: false,
            strains: BTreeMap::new(),
            now_ms: 0,
            out: Vec::new(),
            orders: Vec::new(),
            changed: false,
            config,
        }
    }

    /// The same with a guard taken out, for who shows that the guard is needed.
    #[must_use]
    pub fn without(mut self, guard: Guard) -> Self {
        self.voter.without = guard;
        self
    }

    /// What is to be kept for the next process.
    pub fn kept(&self) -> Kept {
        Kept { wishes: self.wishes.all(), out: self.turn.map(|turn| turn.fence) }
    }

    /// Whether that changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// What the relay is to do since this was last asked.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The turn that it has.
    pub fn turn(&self) -> Option<Turn> {
        self.turn
    }

    /// How many may be out, and who is where.
    pub fn terms(&self) -> &Terms {
        &self.config.terms
    }

    /// All that is known of wishes.
    pub fn wishes(&self) -> &Wishes {
        &self.wishes
    }

    /// Whether the relay serves, turns aside.
    pub fn serves(&mut self, now: Micros, unix_ms: u64, serves: bool) {
        self.now_ms = unix_ms;
        self.serves = serves;
        if serves && std::mem::take(&mut self.returns) {
            self.met(unix_ms);
        }
        if serves && self.wishes.written_off(self.config.me) {
            self.wish(now, self.config.me, Kind::default(), Stage::Done);
        }
    }

    /// Whether this relay sees the fleet under strain: overload, an outage, a cold return. While one does no turn begins;
    /// those begun go on.
    pub fn strain(&mut self, now: Micros, strained: bool) {
        if strained && !self.strained {
            self.ping_at = now;
        }
        self.strained = strained;
    }

    /// Who sees strain that holds the wish of a relay back.
    fn strained_by(&self, now: Micros, peer: Peer) -> Option<Peer> {
        let old = self.wishes.of(peer).is_some_and(|wish| self.now_ms >= wish.since + STRAIN_HOLDS_MS);
        let own = self.strained.then_some(self.config.me);
        let said = self.strains.iter().find(|(_, at)| now - **at < STRAINED_FOR).map(|(peer, _)| *peer);
        own.or(said).filter(|_| !old)
    }

    /// The wish for this relay, while it is wanted.
    fn wanted(&self) -> Option<Wish> {
        self.wishes.of(self.config.me).filter(|wish| wish.stage == Stage::Wanted).copied()
    }

    fn met(&mut self, unix_ms: u64) {
        let (me, relays) = (self.config.me, self.config.terms.relays);
        if let Some(Wish { kind, .. }) = self.wanted() {
            self.changed |= self.wishes.say(unix_ms, relays, me, kind, Stage::Done);
        }
        self.ping_at = Micros::MIN;
    }

    /// An operator says something of a relay; whether it is new.
    pub fn wish(&mut self, now: Micros, relay: Peer, kind: Kind, stage: Stage) -> bool {
        let new = self.wishes.say(self.now_ms, self.config.terms.relays, relay, kind, stage);
        self.changed |= new;
        if new {
            self.ping_at = now;
            self.heed();
        }
        new
    }

    /// An operator holds all turns, or lets them go on.
    pub fn pause(&mut self, now: Micros, paused: bool) -> bool {
        let new = self.wishes.pause(self.now_ms, self.config.terms.relays, paused);
        self.changed |= new;
        self.ping_at = if new { now } else { self.ping_at };
        new
    }

    /// The relay is back by an operator's word, before its process ended.
    pub fn back(&mut self, unix_ms: u64) -> bool {
        let was_out = self.turn.take().is_some();
        if was_out {
            self.met(unix_ms);
            self.orders.push(Order::Back);
            self.changed = true;
        }
        was_out
    }

    /// What is wanted of this relay may have changed: one that is not to go out any more lets go, or comes back.
    fn heed(&mut self) {
        if self.wanted().is_none() {
            self.asking = None;
            if self.turn.take().is_some() {
                self.orders.push(Order::Back);
                self.changed = true;
            }
        }
    }

    /// Another list of relays.
    pub fn replaced(&mut self, terms: Terms) {
        self.voter.replaced(terms.relays);
        self.strains.retain(|peer, _| *peer < terms.relays);
        self.config.terms = terms;
        // Votes were for the fleet as it was.
        self.asking = None;
    }

    fn state(&self) -> State {
        match (&self.turn, &self.asking) {
            (Some(turn), _) => State::Out(turn.seat),
            (None, Some(asking)) => State::Asks(asking.seat),
            (None, None) if self.serves => State::Serves,
            (None, None) => State::Away,
        }
    }

    /// Whether it may go out in that seat, as far as it knows itself.
    fn may(&self, now: Micros, peer: Peer, seat: u8) -> Result<(), Why> {
        if self.wishes.paused() {
            return Err(Why::Paused);
        }
        if let Some(by) = self.strained_by(now, peer) {
            return Err(Why::Strained(by));
        }
        let written_off = |peer| self.wishes.written_off(peer);
        self.voter.may(now, &self.config.terms, self.state(), peer, seat, written_off)
    }

    /// The older wish that can be met and is waited for still.
    fn behind(&mut self, now: Micros, peer: Peer) -> Option<Peer> {
        let wanted = self.wishes.wanted();
        let place = wanted.iter().position(|wish| wish.relay == peer)?;
        for older in wanted.iter().take(place).map(|wish| wish.relay) {
            let serves = older == self.config.me && self.serves
                || self.voter.counts(now, &self.config.terms, older) == Counts::Serves;
            let seats = 0..self.config.terms.seats;
            if serves && seats.into_iter().any(|seat| self.may(now, older, seat).is_ok()) {
                let since = *self.yields.entry(older).or_insert(now);
                if now - since < YIELDS {
                    return Some(older);
                }
            }
        }
        None
    }

    fn asked(&mut self, now: Micros, from: Peer, fence: Fence, seat: u8) {
        self.yields.remove(&from);
        // Of two that ask, the one with the older wish goes on.
        let place = |of: Peer| self.wishes.of(of).map(|wish| (wish.since, wish.relay));
        if self.asking.is_some()
            && place(from).is_some_and(|theirs| place(self.config.me).is_some_and(|own| theirs < own))
        {
            self.rest(now);
        }
        let answer = match self.may(now, from, seat) {
            Err(why) => Word::No(fence, why),
            Ok(()) => match self.behind(now, from) {
                Some(older) => Word::No(fence, Why::Behind(older)),
                None => {
                    self.voter.vote(now, from, seat);
                    Word::Vote(fence)
                }
            },
        };
        self.out.push((from, answer));
    }

    fn rest(&mut self, now: Micros) {
        self.asking = None;
        let spread =
            (u64::from(self.config.me) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(self.round);
        self.rests_until = now + RESTS + (spread % RESTS as u64) as Micros;
    }

    fn word(&mut self, now: Micros, from: Peer, word: Word) {
        let relays = self.config.terms.relays;
        match word {
            Word::Ping { mark, wishes } => {
                self.take(wishes);
                let held = self.voter.remembers(now, &self.config.terms).then(|| self.voter.held());
                let (state, wishes) = (self.state(), self.wishes.some());
                self.out.push((from, Word::Pong { mark, state, held, wishes }));
            }
            Word::Pong { mark, state, held, wishes } => {
                self.take(wishes);
                self.voter.heard(now, &self.config.terms, from, mark, state, held.as_deref());
            }
            Word::Ask { fence, seat } if self.config.terms.votes(self.config.me) && from < relays => {
                self.asked(now, from, fence, seat);
            }
            Word::Ask { .. } => {}
            Word::Strained => {
                self.strains.insert(from, now);
            }
            Word::Vote(fence) => {
                let any = self.voter.without == Guard::Fences;
                let Some(asking) = &mut self.asking else { return };
                if any || asking.fence == fence && now - asking.since <= ASKS_FOR {
                    asking.votes.insert(from);
                    asking.answered.insert(from);
                    self.count();
                }
            }
            Word::No(fence, why) => {
                self.refused.insert(from, (why, now));
                if let Some(asking) = self.asking.as_mut().filter(|asking| asking.fence == fence) {
                    asking.answered.insert(from);
                    // With too few left that could vote the round is over.
                    let voters = self.config.terms.voters().count();
                    let against = asking.answered.len() - asking.votes.len();
                    if voters - against < self.config.terms.majority() {
                        self.rest(now);
                    }
                }
            }
        }
    }

    fn take(&mut self, wishes: Vec<Wish>) {
        for wish in wishes {
            self.changed |= self.wishes.take(self.config.terms.relays, wish);
        }
        self.heed();
    }

    fn count(&mut self) {
        let Some(asking) = self.asking.as_ref() else { return };
        if asking.votes.len() >= self.config.terms.majority()
            && let Some(wish) = self.wanted()
        {
            let turn = Turn { fence: asking.fence, seat: asking.seat, kind: wish.kind };
            self.turn = Some(turn);
            self.asking = None;
            self.orders.push(Order::Out(turn));
            self.changed = true;
        }
    }

    /// Asks the voters, where it is to go out and nothing speaks against it that it knows itself.
    fn ask(&mut self, now: Micros) {
        let me = self.config.me;
        if self.asking.as_ref().is_some_and(|asking| now - asking.since > ASKS_FOR) {
            self.rest(now);
        }
        let idle = self.asking.is_none() && self.turn.is_none();
        if idle && self.wanted().is_some() && self.serves && now >= self.rests_until {
            self.round += 1;
            let seats = self.config.terms.seats.max(1);
            let mut seat = (self.round % u32::from(seats)) as u8;
            let mut votes = BTreeSet::new();
            if self.config.terms.votes(me) {
                // It is the first that it asks.
                let first = self.may(now, me, seat).err();
                let free =
                    (0..seats).map(|n| (seat + n) % seats).find(|seat| self.may(now, me, *seat).is_ok());
                let older = free.and_then(|_| self.behind(now, me));
                let Some(free) = free.filter(|_| older.is_none()) else {
                    let why = first.or(older.map(Why::Behind));
                    self.refused.extend(why.map(|why| (me, (why, now))));
                    return self.rest(now);
                };
                seat = free;
                self.voter.vote(now, me, seat);
                votes.insert(me);
            } else if self.wishes.paused() {
                return self.rest(now);
            }
            let fence = Fence { incarnation: self.config.incarnation, round: self.round };
            let answered = votes.clone();
            self.asking = Some(Asking { fence, seat, votes, answered, since: now, again: now });
            self.count();
        }
        let Some(asking) = self.asking.as_mut().filter(|asking| asking.again <= now) else { return };
        asking.again = now + AGAIN;
        let (fence, seat) = (asking.fence, asking.seat);
        let left = self.config.terms.voters().filter(|voter| !asking.answered.contains(voter));
        self.out.extend(left.map(|voter| (voter, Word::Ask { fence, seat })));
    }

    fn ping(&mut self, now: Micros) {
        if now < self.ping_at {
            return;
        }
        let Terms { relays, .. } = self.config.terms;
        let (me, mark) = (self.config.me, self.voter.mark(now));
        let busy = self.busy() || !self.voter.remembers(now, &self.config.terms);
        self.ping_at = now + if busy || self.strained { PING } else { IDLE };
        let to: Vec<Peer> = if busy && self.config.terms.votes(me) {
            (0..relays).filter(|peer| *peer != me).collect()
        } else {
            self.next_one = (self.next_one + 1) % relays.max(1);
            std::iter::once(self.next_one).filter(|peer| *peer != me).collect()
        };
        // Also while nothing is wanted: a wish may be asked for before strain could be told.
        if self.strained {
            let voters = self.config.terms.voters().filter(|peer| *peer != me);
            self.out.extend(voters.map(|voter| (voter, Word::Strained)));
        }
        for peer in to {
            let wishes = self.wishes.some();
            self.out.push((peer, Word::Ping { mark, wishes }));
        }
    }

    /// Whether something is wanted or somebody is out, as far as it knows.
    fn busy(&self) -> bool {
        self.wishes.any() || self.turn.is_some() || !self.voter.held().is_empty()
    }

    /// What this relay waits for, in a plain sentence; empty where nothing is wanted of it.
    pub fn waits_for(&self, now: Micros) -> String {
        if let Some(turn) = self.turn {
            return format!("it is out, in seat {} of {}", turn.seat + 1, self.config.terms.seats);
        }
        if self.wanted().is_none() {
            return String::new();
        }
        if !self.serves {
            return "it does not serve now, and asks for no turn".into();
        }
        let lately: Vec<(Peer, Why)> = self
            .refused
            .iter()
            .filter(|(_, (_, at))| now - at < REFUSED_FOR)
            .map(|(p, (why, _))| (*p, *why))
            .collect();
        let heard = 1 + lately.iter().filter(|(peer, _)| *peer != self.config.me).count();
        let alike = |why: &Why| lately.iter().filter(|(_, other)| other == why).count();
        match lately.iter().map(|(_, why)| why).max_by_key(|why| alike(why)) {
            None => "it asks".into(),
            Some(Why::JustStarted) => "relays that vote have just started".into(),
            Some(Why::Unknown(peer)) => {
                format!("relays that vote do not know yet whether relay {peer} is out")
            }
            Some(Why::Seat(peer)) => {
                format!("relay {peer} is out, and no more than {} may be", self.config.terms.seats)
            }
            Some(Why::Zone(peer)) => format!("relay {peer} of the same zone is out or not heard"),
            Some(Why::TooMany(peer)) => {
                format!("as many as may be are out or not heard, relay {peer} among them; {heard} said so")
            }
            Some(Why::Behind(peer)) => format!("relay {peer} has waited for longer"),
            Some(Why::Paused) => "operators hold all turns".into(),
            Some(Why::Strained(peer)) => {
                format!("a partner is out, returns, or has more to take than it can, as relay {peer} sees it")
            }
        }
    }

    /// Whom this relay takes to be out or away, for operators.
    pub fn not_serving(&self, now: Micros) -> Vec<(Peer, Counts)> {
        let others = (0..self.config.terms.relays).filter(|peer| *peer != self.config.me);
        let counts = others.map(|peer| (peer, self.voter.counts(now, &self.config.terms, peer)));
        counts.filter(|(_, counts)| *counts != Counts::Serves).collect()
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// What it says is bound by what is wanted: nothing but a question now and then while nothing is.
    fn bound(&self) -> bool {
        false
    }

    fn hear(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        let (words, made_sense) = frame::read(bytes);
        words.into_iter().for_each(|word| self.word(now, from.peer, word));
        made_sense
    }

    fn say(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<Said> {
        self.ask(now);
        self.ping(now);
        frame::pack(self.out.drain(..).map(|(to, word)| (to, word.encode())), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if !self.out.is_empty() {
            return now;
        }
        let ask = match &self.asking {
            Some(asking) => asking.again.min(asking.since + ASKS_FOR + 1),
            None if self.wanted().is_some() && self.serves && self.turn.is_none() => self.rests_until,
            None => Micros::MAX,
        };
        ask.min(self.ping_at).max(now)
    }
}
