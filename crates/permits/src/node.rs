//! A relay that asks stewards and is one: who the steward of a destination is, what it was told, what it answered, and
//! to whom its own part of each limit is lent. Owns the order of stewards and what is said. It must never say more than
//! its wants and calls call for, nor let a part be used by two.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use escrow::{Part, Terms};
use fleet::frame;
use fleet::keys::Keys;
use fleet::link::{Channel, Out, Said, Sender};
use fleet::members::Members;
use fleet::note::{NoteError, Replay, Stamp};
use fleet::{nearest, rendezvous};
use overload::waits::Waits;

use crate::earlier;
use crate::note::{CHANNEL, Item, MOST_TIERS, Sign, read};
use crate::steward::{Answer, Asker, Cold, Fleet, Grant, Queue, Report, SLICE_FOR, Steward, VOID};
use crate::{Micros, Peer, SECOND, Sharing, Tiers, take, waiting};

/// A want that is not answered is said again after this, to the same steward so many times in all, then to the next.
const UNANSWERED: Micros = 6 * SECOND / 100;
const SAID: u32 = 3;
/// A relay that did not answer is not asked for so long, unless it is heard.
const AVOIDED: Micros = SECOND;
/// What still waits is said again so often.
const SAID_AGAIN: Micros = 3 * SECOND / 10;
/// Stewards tried for one want before it rests.
const TRIED: u32 = 12;
/// Where parts are lent, more demand is said no sooner than this after the last time.
const SAID_APART: Micros = SECOND / 50;
/// A permit that was sent or came later than this is not used: the steward may give its call once more.
const LATE: Micros = VOID / 2;
/// Steps in which a permit's age is told.
const AGE_STEP: Micros = 4000;
/// Where permits are for few calls a second, so many at once are of this moment.
const MOST_AT_ONCE: u16 = 1;
/// Parts in which the share that is left of an allowance is told.
const LEFT_PARTS: f64 = 200.0;
/// A relay that calls at a rate may catch up on calls of so long.
const CATCH_UP: Micros = SECOND / 50;
/// Nobody's word makes the fleet more than so many times as large as this relay counts it.
const MOST_GROWTH: Peer = 4;
/// Where parts are lent, a permit is said once more after this: one that is lost is a call that nobody makes.
const ONCE_MORE: Micros = SECOND / 16;
/// Items of one note in the earlier form.
const EARLIER_ITEMS: usize = 6;

/// What a node is given.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// How many there are.
    pub relays: Peer,
    /// Its start, a number that grows from one start to the next.
    pub incarnation: u32,
    /// How destinations return.
    pub cold: Cold,
    /// How limits are shared.
    pub sharing: Sharing,
    /// A destination that fails at times is called as often as the share of its calls that succeeds.
    pub follows: bool,
}

/// What a steward said to this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    /// The destination.
    pub destination: i64,
    /// Calls that may start.
    pub permits: u16,
    /// Endpoints of its kind take few connections.
    pub few: bool,
}

/// What a relay knows of a destination that it asks stewards for.
#[derive(Clone, Debug)]
struct Asking {
    tiers: Tiers,
    seen: u16,
    steward: Option<Peer>,
    /// A want was sent then, and so many times, with no answer since.
    unanswered: Option<(Micros, u32)>,
    /// The first of these.
    unheard_since: Option<Micros>,
    said: Micros,
    say_at: Micros,
    /// This relay's part of the limit.
    part: Part,
    /// It may call at this rate until then.
    rate: Option<(f64, Micros)>,
    /// The last call at a rate, and the last report of one.
    last: Micros,
    reported: Micros,
}

impl Asking {
    fn starting(part: Part) -> Self {
        Asking {
            tiers: Tiers::new(),
            seen: 0,
            steward: None,
            unanswered: None,
            unheard_since: None,
            said: Micros::MIN / 2,
            say_at: Micros::MIN,
            part,
            rate: None,
            last: Micros::MIN / 2,
            reported: Micros::MIN / 2,
        }
    }

    /// When the next call at the rate may start, while that holds.
    fn next_at_rate(&self, now: Micros) -> Option<Micros> {
        let (per_s, _) = self.rate.filter(|(per_s, until)| now < *until && *per_s > 0.0)?;
        (!self.tiers.is_empty()).then(|| self.last.saturating_add((SECOND as f64 / per_s) as Micros))
    }
}

/// What is known of another relay as a steward.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Micros,
    /// Its latest stamp.
    stamp: Stamp,
    /// How long the last want and its answer took together.
    way: Option<Micros>,
}

/// A relay among stewards.
#[derive(Debug)]
pub struct Node {
    config: Config,
    terms: Terms,
    started: Micros,
    /// The most relays that anybody counts, within reason.
    relays: Peer,
    steward: Steward,
    asking: BTreeMap<i64, Asking>,
    /// Stewards that did not answer, and until when they are done without.
    avoided: BTreeMap<Peer, Micros>,
    probed: BTreeMap<Peer, Micros>,
    heard: BTreeMap<Peer, Heard>,
    /// Wants to be answered in the coming note: their stamps.
    echoes: BTreeMap<Peer, Stamp>,
    /// Relays of the build before, with the guard against their notes that come again.
    earlier: BTreeMap<Peer, Replay>,
    number: u32,
    out: Vec<(Peer, Item)>,
    /// Permits to be said once more, and when.
    once_more: VecDeque<(Micros, Grant)>,
    to_earlier: Vec<(Peer, Vec<Item>)>,
    given: Vec<Given>,
    /// What stewards said of waits.
    waits: Vec<(i64, Waits)>,
}

impl Node {
    /// A node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        let Config { sharing, me, relays, follows, .. } = config;
        let fleet = Fleet { sharing, me, relays, follows };
        Node {
            terms: Terms::of(u32::from(config.relays)),
            started: now,
            relays: config.relays,
            steward: Steward::new(config.cold, fleet),
            asking: BTreeMap::new(),
            avoided: BTreeMap::new(),
            probed: BTreeMap::new(),
            heard: BTreeMap::new(),
            echoes: BTreeMap::new(),
            earlier: BTreeMap::new(),
            number: 0,
            out: Vec::new(),
            once_more: VecDeque::new(),
            to_earlier: Vec::new(),
            given: Vec::new(),
            waits: Vec::new(),
            config,
        }
    }

    fn parts(&self) -> bool {
        self.config.sharing == Sharing::Parts
    }

    /// What is known of a destination from now on. A part that an earlier process lent comes back a lease after the start.
    fn asking(&mut self, destination: i64) -> &mut Asking {
        let part = Part::starting(self.started, self.terms.lease);
        self.asking.entry(destination).or_insert_with(|| Asking::starting(part))
    }

    /// The directory lists a destination at this rate.
    pub fn listed(&mut self, destination: i64, rate: f64) {
        self.steward.listed(destination, rate);
        if self.parts() {
            // Its part is lent also while nothing waits here.
            self.asking(destination);
        }
    }

    /// This waits for a destination at this relay, beyond the permits that it holds.
    pub fn want(&mut self, now: Micros, destination: i64, mut tiers: Tiers) {
        tiers.truncate(MOST_TIERS);
        let parts = self.parts();
        let asking = self.asking(destination);
        let best = |tiers: &Tiers| tiers.first().map(|(worth, _)| *worth);
        let more = waiting(&tiers) > waiting(&asking.tiers) || best(&tiers) > best(&asking.tiers);
        asking.tiers = tiers;
        if more && parts {
            // One that calls at a rate goes on with it.
            let rated = asking.rate.is_some_and(|(_, until)| now < until);
            if !rated {
                asking.say_at = asking.say_at.min(now.max(asking.said + SAID_APART));
            }
            // That this relay is led counts at once, whether a steward is heard or not.
            self.given.push(Given { destination, permits: 0, few: false });
            self.ask_oneself(now, destination);
        } else if more {
            asking.say_at = now;
        }
    }

    /// A call of this relay ended.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        let Some(asking) = self.asking.get(&destination) else { return };
        let (steward, me) = (asking.steward, self.config.me);
        let own = self.parts() && asking.part.mine(now);
        if own || steward == Some(me) {
            self.steward.report(now, destination, report);
        }
        let Some(to) = steward.filter(|to| *to != me) else { return };
        // Where calls are many, one that went well tells for all of the last while.
        let rated = asking.rate.is_some_and(|(_, until)| now < until);
        if rated && report.sign == Sign::Well && report.wait.is_none() {
            if now - asking.reported < self.terms.again {
                return;
            }
            if let Some(asking) = self.asking.get_mut(&destination) {
                asking.reported = now;
            }
        }
        let ms = |span: Micros| u16::try_from((span / 1000).max(0)).unwrap_or(u16::MAX);
        let item = Item::Report {
            destination,
            sign: report.sign,
            began: ms(now - report.began),
            wait: report.wait.map_or(0, |wait| ms(wait).max(1)),
            limit: report.limit.map_or(0.0, |limit| limit as f32),
            left: report.left.map_or(u8::MAX, |left| (left.clamp(0.0, 1.0) * LEFT_PARTS) as u8),
        };
        self.out.push((to, item));
    }

    /// Another list of relays, as on a reload.
    pub fn replaced(&mut self, relays: Peer) {
        self.config.relays = relays;
        self.relays = relays;
        self.steward.relays(relays);
        self.avoided.retain(|peer, _| *peer < relays);
        self.heard.retain(|peer, _| *peer < relays);
        self.earlier.retain(|peer, _| *peer < relays);
    }

    /// Somebody counts so many relays: parts are those of the larger fleet.
    fn counted(&mut self, of: Peer) {
        if of > self.relays && of <= self.config.relays.saturating_mul(MOST_GROWTH) {
            self.relays = of;
            self.steward.relays(of);
        }
    }

    /// Takes a datagram of the build before.
    ///
    /// # Errors
    /// Why it has no effect.
    pub fn hear_earlier(&mut self, now: Micros, bytes: &[u8], keys: &Keys) -> Result<(), NoteError> {
        let note = earlier::Note::open(bytes, keys)?;
        if note.from == self.config.me || note.from >= self.config.relays {
            return Err(NoteError::Stranger);
        }
        self.earlier.entry(note.from).or_default().take(note.incarnation, note.number)?;
        self.avoided.remove(&note.from);
        // What a build lends that knows of no parts: its own, to whom it asks, for as long as it asks.
        let sent = Stamp::of(now);
        let from = Sender { peer: note.from, incarnation: note.incarnation, sent, late: 0 };
        for mut item in note.items {
            if let Item::Want { stamp, .. } = &mut item {
                *stamp = Some(sent);
            }
            self.item(now, &from, item);
        }
        Ok(())
    }

    /// Datagrams for relays of the build before.
    pub fn say_earlier(&mut self, keys: &Keys) -> Vec<Out> {
        let mut out = Vec::new();
        for (to, mut items) in std::mem::take(&mut self.to_earlier) {
            while !items.is_empty() {
                let rest = items.split_off(items.len().min(EARLIER_ITEMS));
                self.number += 1;
                let (from, incarnation, number) = (self.config.me, self.config.incarnation, self.number);
                let note = earlier::Note { from, incarnation, number, items };
                out.extend(note.seal(keys).map(|bytes| Out { to, bytes }));
                items = rest;
            }
        }
        out
    }

    /// What stewards said to this relay since this was last asked.
    pub fn take_given(&mut self) -> Vec<Given> {
        std::mem::take(&mut self.given)
    }

    /// What stewards said of waits since this was last asked, by destination.
    pub fn take_waits(&mut self) -> Vec<(i64, Waits)> {
        std::mem::take(&mut self.waits)
    }

    /// For operators: what waits at all relays for the destinations of which this one is the steward.
    pub fn queues(&self, now: Micros) -> Vec<Queue> {
        self.steward.queues(now)
    }

    /// A destination of which this relay is the steward and that is under strain (see [`Steward::strained`]).
    pub fn strained(&self, now: Micros, long: Micros) -> Option<i64> {
        self.steward.strained(now, long)
    }

    /// For operators, by destination: whom this relay asks, whether its own part is its own, and how many parts are lent
    /// to it.
    pub fn shares(&self, now: Micros) -> Vec<Share> {
        let share = |(destination, asking): (&i64, &Asking)| {
            let (lent, sliced) = self.steward.lent(now, *destination);
            let own = self.parts() && asking.part.mine(now);
            let steward = asking.steward;
            Share { destination: *destination, steward, own, lent, of: self.relays, sliced }
        };
        self.asking.iter().map(share).collect()
    }

    fn item(&mut self, now: Micros, from: &Sender, item: Item) {
        match item {
            Item::Want { destination, seen, stamp, of, tiers } => {
                self.counted(of);
                let lends = stamp.filter(|_| self.parts()).map(|stamp| (stamp, self.terms.lease));
                let asker = Asker { peer: from.peer, incarnation: from.incarnation, lends };
                self.echoes.insert(from.peer, from.sent);
                match self.steward.want(now, asker, destination, seen, tiers) {
                    // The answer waits for a permit of this very moment, which tells as much.
                    Some(Answer::Permits(grant)) if !self.grant(now).contains(&(from.peer, destination)) => {
                        self.tell(now, grant);
                    }
                    Some(Answer::Rate(per_s)) => {
                        let (of, per_s) = (self.relays, per_s as f32);
                        let item = Item::Rate { destination, per_s, stamp: from.sent, of };
                        self.out.push((from.peer, item));
                    }
                    _ => {}
                }
                let waits = self.steward.waits(now, destination, from.peer);
                if !waits.is_none() {
                    let levels = waits.levels().to_vec();
                    self.out.push((from.peer, Item::Waits { destination, levels }));
                }
            }
            Item::Waits { destination, levels } => {
                if self.asking.get(&destination).is_some_and(|asking| asking.steward == Some(from.peer)) {
                    self.waits.push((destination, Waits::told(levels)));
                }
            }
            Item::Permit { destination, total, few, age, stamp, of } => {
                self.counted(of);
                self.answered(now, from, stamp);
                let young = Micros::from(age) * AGE_STEP <= LATE;
                let usable = !self.parts() || from.late <= LATE && young;
                self.permitted(now, from.peer, destination, total, few, usable);
            }
            Item::Rate { destination, per_s, stamp, of } => {
                self.counted(of);
                self.answered(now, from, Some(stamp));
                let (until, again) = (now - stamp.age(now) + SLICE_FOR, self.terms.again);
                if let Some(asking) = self.asking.get_mut(&destination) {
                    (asking.steward, asking.unanswered) = (Some(from.peer), None);
                    asking.unheard_since = None;
                    asking.say_at = asking.say_at.max(asking.said.saturating_add(again));
                    asking.rate = Some((f64::from(per_s), until));
                    self.given.push(Given { destination, permits: 0, few: false });
                }
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

    /// A steward answers a want of that stamp: how long that took there and back.
    fn answered(&mut self, now: Micros, from: &Sender, stamp: Option<Stamp>) {
        if let (Some(stamp), Some(heard)) = (stamp, self.heard.get_mut(&from.peer)) {
            heard.way = Some(stamp.age(now));
        }
    }

    fn permitted(&mut self, now: Micros, from: Peer, destination: i64, total: u16, few: bool, usable: bool) {
        let (parts, again) = (self.parts(), self.terms.again);
        let Some(asking) = self.asking.get_mut(&destination) else { return };
        let more = total.wrapping_sub(asking.seen);
        // An older note than the last.
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
        // More than these were lost on the way for a while, and come with one that was not: their time has passed.
        let most = if parts { MOST_AT_ONCE } else { u16::MAX };
        self.given.push(Given { destination, permits: if usable { more.min(most) } else { 0 }, few });
    }

    fn tell(&mut self, now: Micros, grant: Grant) {
        let Grant { to, destination, total, few, age } = grant;
        if to == self.config.me {
            self.permitted(now, to, destination, total, few, true);
        } else {
            let stamp = self.echoes.get(&to).copied().filter(|_| self.parts());
            let of = if self.parts() { self.relays } else { 0 };
            if self.parts() && age == 0 {
                self.once_more.push_back((now + ONCE_MORE, Grant { age: ONCE_MORE, ..grant }));
            }
            let age = if self.parts() { u8::try_from(age / AGE_STEP).unwrap_or(u8::MAX) } else { 0 };
            self.out.push((to, Item::Permit { destination, total, few, age, stamp, of }));
        }
    }

    /// Gives out the permits that are due; tells to whom and where.
    fn grant(&mut self, now: Micros) -> BTreeSet<(Peer, i64)> {
        let grants = self.steward.poll(now);
        grants.into_iter().map(|grant| (self.tell(now, grant), (grant.to, grant.destination)).1).collect()
    }

    /// The nearest relay, the avoided ones last.
    fn steward_of(&self, now: Micros, destination: i64) -> Peer {
        let avoided = |peer: Peer| self.avoided.get(&peer).is_some_and(|until| now < *until);
        nearest(destination, self.config.relays, avoided).unwrap_or(self.config.me)
    }

    /// Says what is due where the steward that is heard permits the whole.
    fn say_wants(&mut self, now: Micros) {
        let due = |asking: &Asking| {
            !asking.tiers.is_empty()
                && (asking.say_at <= now
                    || asking.unanswered.is_some_and(|(at, n)| now >= at + UNANSWERED && n < TRIED))
        };
        let due: Vec<i64> = self.asking.iter().filter(|(_, a)| due(a)).map(|(d, _)| *d).collect();
        for destination in due {
            let Some(asking) = self.asking.get(&destination) else { continue };
            let silent = asking.unanswered.filter(|(at, n)| now >= at + UNANSWERED && n % SAID == 0);
            if let (Some(_), Some(peer)) = (silent, asking.steward) {
                self.avoided.insert(peer, now + AVOIDED);
            }
            let to = self.steward_of(now, destination);
            let Some(asking) = self.asking.get_mut(&destination) else { continue };
            let times = asking.unanswered.map_or(0, |(_, n)| n) + 1;
            (asking.steward, asking.unanswered) = (Some(to), Some((now, times)));
            asking.say_at = now + SAID_AGAIN;
            let (seen, tiers) = (asking.seen, asking.tiers.clone());
            if to == self.config.me {
                let asker = Asker { peer: to, incarnation: self.config.incarnation, lends: None };
                if let Some(Answer::Permits(grant)) = self.steward.want(now, asker, destination, seen, tiers)
                {
                    self.tell(now, grant);
                }
                self.tell_oneself(now, destination);
            } else {
                let item = Item::Want { destination, seen, stamp: None, of: 0, tiers };
                self.ask(to, times, item);
            }
        }
    }

    /// A want that is said for that time with no answer.
    fn ask(&mut self, to: Peer, times: u32, want: Item) {
        // It may be of the build before, whom this form says nothing.
        if times.is_multiple_of(SAID) && !self.heard.contains_key(&to) {
            self.to_earlier.push((to, vec![want.clone()]));
        }
        self.out.push((to, want));
    }

    /// Says what is due where each relay lends its part: what waits, and the loan, also where nothing waits.
    fn say_loans(&mut self, now: Micros) {
        let due: Vec<i64> = self.asking.iter().filter(|(_, a)| a.say_at <= now).map(|(d, _)| *d).collect();
        for destination in due {
            let Terms { again, lease, silent, .. } = self.terms;
            let Some(asking) = self.asking.get(&destination) else { continue };
            if let (Some(peer), Some(since)) = (asking.steward, asking.unheard_since)
                && peer != self.config.me
                && now - since >= silent
                && self.heard.get(&peer).is_none_or(|heard| now - heard.at >= silent)
            {
                self.avoided.insert(peer, Micros::MAX);
            }
            let to = self.steward_of(now, destination);
            self.probe(now, destination, to);
            let usable = self.heard.get(&to).filter(|heard| {
                now - heard.at <= self.terms.fresh()
                    && heard.way.is_some_and(|way| way <= self.terms.there_and_back())
            });
            let stamp = usable.map(|heard| heard.stamp);
            let (relays, earlier) = (self.relays, self.earlier.contains_key(&to));
            let Some(asking) = self.asking.get_mut(&destination) else { continue };
            if asking.steward != Some(to) {
                (asking.unanswered, asking.unheard_since, asking.rate) = (None, None, None);
            }
            asking.steward = Some(to);
            if to != self.config.me {
                // The build before knows of no stamps: who asks it lends for a lease from then on.
                let own = asking.part.mine(now);
                let stamp = stamp.filter(|_| asking.part.lend(now, to, lease));
                if earlier {
                    asking.part.lend(now, to, lease);
                }
                // What it gave itself of its part ends with the loan.
                if own && !asking.part.mine(now) {
                    asking.rate = None;
                }
                let times = asking.unanswered.map_or(0, |(_, n)| n) + 1;
                asking.unanswered = Some((now, times));
                asking.unheard_since = Some(asking.unheard_since.unwrap_or(now));
                let (seen, tiers) = (asking.seen, asking.tiers.clone());
                self.ask(to, times, Item::Want { destination, seen, stamp, of: relays, tiers });
            }
            let Some(asking) = self.asking.get_mut(&destination) else { continue };
            asking.said = now;
            // What is not answered is said again sooner while something waits.
            let waits = !asking.tiers.is_empty() && asking.unanswered.is_some();
            asking.say_at = now + if waits { (again / 4).min(UNANSWERED.max(again / 8)) } else { again };
            if !asking.part.mine(now) {
                asking.say_at = asking.say_at.min(asking.part.free_at().max(now + SAID_APART));
            }
            if !asking.tiers.is_empty() {
                self.given.push(Given { destination, permits: 0, few: false });
            }
            self.ask_oneself(now, destination);
        }
    }

    /// While its part is its own, a relay is its own steward of it.
    fn ask_oneself(&mut self, now: Micros, destination: i64) {
        let Some(asking) = self.asking.get(&destination) else { return };
        let own = asking.part.mine(now);
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

    /// As its own steward, a relay tells itself how long what waits there waits.
    fn tell_oneself(&mut self, now: Micros, destination: i64) {
        let waits = self.steward.waits(now, destination, self.config.me);
        if !waits.is_none() {
            self.waits.push((destination, waits));
        }
    }

    /// Relays that stand nearer than the one that is asked and did not answer are asked now and then whether they are there.
    fn probe(&mut self, now: Micros, destination: i64, asked: Peer) {
        let nearer = |peer: &Peer| rendezvous(destination, *peer) > rendezvous(destination, asked);
        let last = |peer: &Peer| self.probed.get(peer).copied().unwrap_or(Micros::MIN / 2);
        let longest = self.avoided.keys().copied().filter(nearer).min_by_key(last);
        if let Some(peer) = longest.filter(|peer| now - last(peer) >= self.terms.probe) {
            self.probed.insert(peer, now);
            let seen = self.asking.get(&destination).map_or(0, |asking| asking.seen);
            let item = Item::Want { destination, seen, stamp: None, of: self.relays, tiers: Tiers::new() };
            self.out.push((peer, item));
        }
    }

    /// Calls that may start at the rates that were handed on.
    fn call_at_rates(&mut self, now: Micros) {
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
}

/// A destination's budget as this relay has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The destination.
    pub destination: i64,
    /// Whom the relay asks.
    pub steward: Option<Peer>,
    /// Its part is its own, lent to nobody.
    pub own: bool,
    /// Parts that it may use, its own among them.
    pub lent: usize,
    /// Parts in all.
    pub of: Peer,
    /// Rates are handed on in place of permits.
    pub sliced: bool,
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// Permits wait for nothing; what they cost is bound by wants and calls.
    fn bound(&self) -> bool {
        false
    }

    fn hear(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        let way = self.heard.get(&from.peer).and_then(|heard| heard.way);
        self.heard.insert(from.peer, Heard { at: now, stamp: from.sent, way });
        self.avoided.remove(&from.peer);
        self.earlier.remove(&from.peer);
        let (items, made_sense) = read(bytes);
        items.into_iter().for_each(|item| self.item(now, from, item));
        made_sense
    }

    fn say(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<Said> {
        if self.parts() {
            self.say_loans(now)
        } else {
            self.say_wants(now)
        }
        self.grant(now);
        self.call_at_rates(now);
        self.echoes.clear();
        while let Some((at, grant)) = self.once_more.front().copied()
            && at <= now
        {
            self.once_more.pop_front();
            self.tell(now, Grant { age: now - at + ONCE_MORE, ..grant });
        }
        let mut by_peer: BTreeMap<Peer, Vec<Item>> = BTreeMap::new();
        self.out.drain(..).for_each(|(to, item)| by_peer.entry(to).or_default().push(item));
        let mut pieces = Vec::new();
        for (to, mut items) in by_peer {
            let told = |item: &Item| matches!(item, Item::Waits { .. });
            if self.earlier.contains_key(&to) {
                self.to_earlier.push((to, items));
                continue;
            }
            items.sort_by_key(told);
            pieces.extend(items.iter().map(|item| (to, item.encode())));
        }
        frame::pack(pieces, room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if !self.out.is_empty() || !self.to_earlier.is_empty() {
            return now;
        }
        let next = if self.parts() {
            let next = |asking: &Asking| asking.say_at.min(asking.next_at_rate(now).unwrap_or(Micros::MAX));
            self.asking.values().map(next).min()
        } else {
            let again = |asking: &Asking| {
                let tried = asking.unanswered.filter(|(_, n)| *n < TRIED);
                tried.map_or(asking.say_at, |(at, _)| asking.say_at.min(at + UNANSWERED))
            };
            self.asking.values().filter(|asking| !asking.tiers.is_empty()).map(again).min()
        };
        let once_more = self.once_more.front().map_or(Micros::MAX, |(at, _)| *at);
        next.unwrap_or(Micros::MAX).min(once_more).min(self.steward.next_at(now)).max(now)
    }
}
