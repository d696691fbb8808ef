//! A relay that asks for repeats and may be the keeper of some destinations' credits: who keeps what, who asked for how much,
//! and what was answered. Owns who is taken for the keeper and whose repeat is next. It must never hand a repeat to its relay
//! that its purse did not pay for.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;
use fleet::nearest;
use overload::backlog::Backlog;
use overload::waits::Waits;
use permits::{WaitingByPriority, take_highest, total_waiting};

use crate::note::{CHANNEL, Item, MOST_TIERS, read};
use crate::purse::{Counts, FLOOR, KEPT, Purse, Start, UNIT};
use crate::{Micros, Peer, SECOND};

/// What is not answered is said again after this, so many times in all; then its receiver is done without for a while.
const UNANSWERED: Micros = 6 * SECOND / 100;
const SAID: u32 = 3;
const AVOIDED: Micros = 2 * SECOND;
/// What still waits is said again so often, and counts for so long at the keeper.
const SAID_AGAIN: Micros = 3 * SECOND / 10;
const WANTS_FOR: Micros = SECOND;
/// A relay whom no keeper answered for so long goes by its own purse.
const PATIENCE: Micros = 4 * SECOND / 10;
/// A gift is on its way for so long at the most; later what it was for waits still.
const ON_ITS_WAY: Micros = 2 * SECOND / 10;
/// While something waits the node looks at all of it so often, else so often.
const LOOK: Micros = SECOND / 50;
const IDLE: Micros = SECOND;
/// Destinations that are followed at the most. Beyond them nothing is repeated.
const MOST_DESTINATIONS: usize = 4096;
/// What one relay may say that it gives at once, where the destination's limit is not known.
const MOST_GIVEN: u32 = 32;
/// Credits that come are seen at a rate of about so long.
const INCOME_OVER: Micros = 4 * SECOND;

/// What a node is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// How many there are.
    pub relays: Peer,
    /// Its start, a number that grows from one start to the next.
    pub incarnation: u32,
}

/// Repeats that the relay may start, and how long the others wait at the least, where that is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handed {
    /// The destination.
    pub destination: i64,
    /// So many more.
    pub repeats: u32,
    /// By worth.
    pub waits: Option<Waits>,
}

/// What waits at another relay.
#[derive(Clone, Debug)]
struct Ask {
    start: u32,
    tiers: WaitingByPriority,
    said: Micros,
    since: Micros,
    given: Micros,
}

/// A want that no keeper has answered.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    to: Peer,
    at: Micros,
    times: u32,
    since: Micros,
}

/// Credits that were given and not heard of since.
#[derive(Clone, Copy, Debug)]
struct Gift {
    to: Start,
    at: Micros,
    times: u32,
}

/// A destination as this relay has it.
#[derive(Clone, Debug)]
struct Account {
    purse: Purse,
    most_given: u32,
    /// Repeats that wait at this relay, and since when.
    wants: WaitingByPriority,
    since: Micros,
    unanswered: Option<Unanswered>,
    say_at: Micros,
    gift: Option<Gift>,
    asks: BTreeMap<Peer, Ask>,
    backlog: Backlog,
    income: f64,
    income_to: Micros,
}

impl Account {
    fn new(now: Micros) -> Self {
        Account {
            purse: Purse::new(now),
            most_given: MOST_GIVEN,
            wants: WaitingByPriority::new(),
            since: now,
            unanswered: None,
            say_at: Micros::MIN,
            gift: None,
            asks: BTreeMap::new(),
            backlog: Backlog::default(),
            income: 0.0,
            income_to: now,
        }
    }

    /// Credits a second that came of others lately; with so many more.
    fn income(&mut self, now: Micros, more: u32) -> f64 {
        let span = INCOME_OVER as f64;
        let kept = (-((now - self.income_to).max(0) as f64) / span).exp();
        self.income = self.income * kept + f64::from(more) * SECOND as f64 / span;
        self.income_to = self.income_to.max(now);
        self.income
    }

    /// Whose repeat is next: the worthiest, then who waits longest.
    fn best(&self, now: Micros, me: Peer) -> Option<Peer> {
        let fresh = self.asks.iter().filter(|(_, ask)| now - ask.said < WANTS_FOR);
        let others = fresh.map(|(peer, ask)| (&ask.tiers, ask.since, *peer));
        let all = others.chain([(&self.wants, self.since, me)]);
        let best =
            all.filter_map(|(tiers, since, peer)| Some((tiers.first()?.0, Reverse(since), peer))).max();
        best.map(|(.., peer)| peer)
    }

    /// Something waits at others that ask.
    fn asked(&self, now: Micros) -> bool {
        self.asks.values().any(|ask| now - ask.said < WANTS_FOR && !ask.tiers.is_empty())
    }

    /// Something waits here, at others, or for an answer.
    fn busy(&self, now: Micros) -> bool {
        !self.wants.is_empty() || self.gift.is_some() || self.asked(now)
    }
}

/// For operators: a destination's credits as this relay has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The destination.
    pub destination: i64,
    /// Who keeps its credits, as this relay takes it.
    pub keeper: Peer,
    /// Whole credits in this relay's purse.
    pub credits: u32,
    /// What was counted since its start.
    pub counts: Counts,
    /// Repeats that wait at this relay, and at others that ask it.
    pub waiting: [u32; 2],
}

/// A relay among those that share repeats.
#[derive(Debug)]
pub struct Node {
    config: Config,
    accounts: BTreeMap<i64, Account>,
    /// Accounts in which something changed.
    changed: BTreeSet<i64>,
    look_at: Micros,
    starts: BTreeMap<Peer, u32>,
    avoided: BTreeMap<Peer, Micros>,
    /// Who is to be told what it was given, and by which destination.
    owed: BTreeSet<(Peer, i64)>,
    out: Vec<(Peer, Item)>,
    handed: BTreeMap<i64, Handed>,
}

impl Node {
    /// A node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        Node {
            config,
            accounts: BTreeMap::new(),
            changed: BTreeSet::new(),
            look_at: now,
            starts: BTreeMap::new(),
            avoided: BTreeMap::new(),
            owed: BTreeSet::new(),
            out: Vec::new(),
            handed: BTreeMap::new(),
        }
    }

    fn account(&mut self, now: Micros, destination: i64) -> Option<&mut Account> {
        if !self.accounts.contains_key(&destination) && self.accounts.len() >= MOST_DESTINATIONS {
            return None;
        }
        Some(self.accounts.entry(destination).or_insert_with(|| Account::new(now)))
    }

    /// The directory lists a destination at this rate, in calls a second.
    pub fn listed(&mut self, now: Micros, destination: i64, rate: f64) {
        let seconds = (2 * KEPT / SECOND) as f64;
        let most = (rate.max(0.0) / 10.0 + FLOOR as f64 / UNIT as f64) * seconds;
        if let Some(account) = self.account(now, destination).filter(|_| rate > 0.0) {
            account.most_given = (most.ceil() as u32).max(1);
        }
    }

    /// Another list of relays, as on a reload.
    pub fn replaced(&mut self, relays: Peer) {
        self.config.relays = relays;
        self.avoided.retain(|peer, _| *peer < relays);
        self.starts.retain(|peer, _| *peer < relays);
    }

    /// A first attempt started at this relay.
    pub fn first(&mut self, now: Micros, destination: i64) {
        if let Some(account) = self.account(now, destination) {
            account.purse.first();
            if account.purse.whole() > 0 {
                self.changed.insert(destination);
            }
        }
    }

    /// These repeats wait at this relay, beyond the ones that it may start.
    pub fn want(&mut self, now: Micros, destination: i64, mut tiers: WaitingByPriority) {
        tiers.truncate(MOST_TIERS);
        if let Some(account) = self.account(now, destination) {
            if account.wants.is_empty() {
                account.since = now;
            }
            account.wants = tiers;
            account.say_at = now;
            self.changed.insert(destination);
        }
    }

    /// Repeats that the relay may start since this was last asked.
    pub fn take_handed(&mut self) -> Vec<Handed> {
        std::mem::take(&mut self.handed).into_values().collect()
    }

    /// What could not be handed over: it is handed over with the next.
    pub fn not_taken(&mut self, handed: Handed) {
        self.hand(handed.destination, handed.repeats, handed.waits);
    }

    /// For operators, by destination.
    pub fn budgets(&self, now: Micros) -> Vec<Budget> {
        let budget = |(destination, account): (&i64, &Account)| Budget {
            destination: *destination,
            keeper: self.keeper(now, *destination),
            credits: account.purse.whole(),
            counts: account.purse.counts(),
            waiting: [
                total_waiting(&account.wants),
                account.asks.values().map(|ask| total_waiting(&ask.tiers)).sum(),
            ],
        };
        self.accounts.iter().map(budget).collect()
    }

    /// The nearest relay, the avoided ones last.
    fn keeper(&self, now: Micros, destination: i64) -> Peer {
        let avoided = |peer: Peer| self.avoided.get(&peer).is_some_and(|until| now < *until);
        nearest(destination, self.config.relays, avoided).unwrap_or(self.config.me)
    }

    fn hand(&mut self, destination: i64, repeats: u32, waits: Option<Waits>) {
        let handed =
            self.handed.entry(destination).or_insert(Handed { destination, repeats: 0, waits: None });
        handed.repeats += repeats;
        handed.waits = waits.or(handed.waits.take());
    }

    /// Pays for repeats that wait here out of this relay's purse, so many at the most.
    fn pay(&mut self, destination: i64, most: u32) {
        let Some(account) = self.accounts.get_mut(&destination) else { return };
        let mut paid = 0;
        while paid < most && !account.wants.is_empty() && account.purse.spend(1) {
            take_highest(&mut account.wants);
            paid += 1;
        }
        if paid > 0 {
            self.hand(destination, paid, None);
        }
    }

    fn look(&mut self, now: Micros, destination: i64) {
        let (me, relays) = (self.config.me, self.config.relays);
        let keeper = self.keeper(now, destination);
        let Some(account) = self.accounts.get_mut(&destination) else { return };
        account.purse.pass(now, relays);
        if keeper == me {
            account.unanswered = None;
        }
        // Whoever is asked answers with what it has, also where it takes another for the keeper.
        if keeper == me || account.asked(now) {
            self.keep(now, destination);
        }
        let Some(account) = self.accounts.get_mut(&destination).filter(|_| keeper != me) else { return };
        let patient = account.unanswered.is_none_or(|asked| now - asked.since < PATIENCE);
        if !patient {
            self.pay(destination, u32::MAX);
        }
        self.ask(now, destination, keeper);
        if patient {
            self.give(now, destination, keeper);
        }
    }

    /// Asks the keeper for what waits here.
    fn ask(&mut self, now: Micros, destination: i64, keeper: Peer) {
        let start = self.starts.get(&keeper).copied();
        let Some(account) = self.accounts.get_mut(&destination) else { return };
        // Whom this relay never heard it asks whether it is there, before it gives it anything.
        let asks = !account.wants.is_empty() || start.is_none() && account.purse.whole() > 0;
        if !asks {
            account.unanswered = None;
            return;
        }
        let mut asked = account.unanswered.unwrap_or(Unanswered { to: keeper, at: 0, times: 0, since: now });
        if asked.to != keeper {
            asked = Unanswered { to: keeper, at: 0, times: 0, since: asked.since };
        }
        let again = asked.times > 0 && now - asked.at >= UNANSWERED;
        if again && asked.times >= SAID {
            self.avoided.insert(keeper, now + AVOIDED);
            self.changed.insert(destination);
            return;
        }
        if again || account.say_at <= now && asked.times == 0 {
            account.unanswered = Some(Unanswered { at: now, times: asked.times + 1, ..asked });
            account.say_at = now + SAID_AGAIN;
            let had = start.map_or(0, |start| account.purse.had_of((keeper, start)));
            let item = Item::Want { destination, had, tiers: account.wants.clone() };
            self.out.push((keeper, item));
        }
    }

    /// Gives the keeper the whole credits that this relay has.
    fn give(&mut self, now: Micros, destination: i64, keeper: Peer) {
        let start = self.starts.get(&keeper).copied();
        let Some(account) = self.accounts.get_mut(&destination) else { return };
        if let Some(gift) = account.gift.filter(|gift| now - gift.at >= UNANSWERED) {
            if gift.times >= SAID {
                // What it was given is its own, or nobody's.
                account.gift = None;
                self.avoided.insert(gift.to.0, now + AVOIDED);
                self.changed.insert(destination);
                return;
            }
            account.gift = Some(Gift { at: now, times: gift.times + 1, ..gift });
            let total = account.purse.given_to(gift.to);
            self.out.push((gift.to.0, Item::Gift { destination, start: gift.to.1, total, answers: false }));
        }
        let whole = account.purse.whole();
        if account.gift.is_none()
            && whole > 0
            && let Some(start) = start
            && let Some(total) = account.purse.give((keeper, start), whole)
        {
            account.gift = Some(Gift { to: (keeper, start), at: now, times: 1 });
            self.out.push((keeper, Item::Gift { destination, start, total, answers: false }));
        }
    }

    /// As the keeper, gives credits to the worthiest repeats.
    fn keep(&mut self, now: Micros, destination: i64) {
        let me = self.config.me;
        let Some(account) = self.accounts.get_mut(&destination) else { return };
        let wants = account.wants.clone();
        account.backlog.says(now, me, &wants);
        let mut own = 0;
        while account.purse.whole() > 0
            && let Some(peer) = account.best(now, me)
        {
            account.backlog.starts(now, peer);
            if peer == me {
                account.purse.spend(1);
                take_highest(&mut account.wants);
                account.since = now;
                own += 1;
            } else if let Some(ask) = account.asks.get_mut(&peer) {
                take_highest(&mut ask.tiers);
                if account.purse.give((peer, ask.start), 1).is_none() {
                    break;
                }
                (ask.since, ask.given) = (now, now);
                self.owed.insert((peer, destination));
            }
        }
        let waits = (!account.wants.is_empty()).then(|| self.waits(now, destination, me));
        if own > 0 || waits.as_ref().is_some_and(|waits| !waits.is_none()) {
            self.hand(destination, own, waits);
        }
    }

    /// How long repeats wait at the least, as a relay is told it: at the rate at which credits come.
    fn waits(&mut self, now: Micros, destination: i64, who: Peer) -> Waits {
        let relays = f64::from(self.config.relays.max(1));
        let Some(account) = self.accounts.get_mut(&destination) else { return Waits::default() };
        let rate = account.income(now, 0) + FLOOR as f64 / UNIT as f64 / relays;
        account.backlog.waits(now, who, Some(rate))
    }

    fn item(&mut self, now: Micros, from: &Sender, item: Item) {
        let (me, here) = ((from.peer, from.incarnation), self.config.incarnation);
        match item {
            Item::Want { destination, had, tiers } => {
                let Some(account) = self.account(now, destination) else { return };
                let total = account.purse.given_to(me);
                let asks = account.asks.entry(from.peer);
                let fresh =
                    Ask { start: me.1, tiers: WaitingByPriority::new(), said: now, since: now, given: 0 };
                let ask = asks.or_insert(fresh);
                if ask.tiers.is_empty() || now - ask.said >= WANTS_FOR || ask.start != me.1 {
                    ask.since = now;
                }
                (ask.start, ask.tiers, ask.said) = (me.1, tiers, now);
                if now - ask.given < ON_ITS_WAY {
                    (0..total.saturating_sub(had)).for_each(|_| take_highest(&mut ask.tiers));
                }
                let tiers = ask.tiers.clone();
                account.backlog.says(now, from.peer, &tiers);
                self.owed.insert((from.peer, destination));
                self.changed.insert(destination);
            }
            Item::Gift { destination, start, total, answers } if start == here => {
                let Some(account) = self.account(now, destination) else { return };
                let most = account.most_given;
                let new = account.purse.had(me, total, most);
                account.income(now, new);
                if answers {
                    account.unanswered = None;
                    self.pay(destination, new);
                } else {
                    let total = account.purse.had_of(me);
                    self.out.push((from.peer, Item::Had { destination, total }));
                }
                self.changed.insert(destination);
            }
            // It was for an earlier process of this relay, and is nobody's.
            Item::Gift { .. } => {}
            Item::Had { destination, total } => {
                let Some(account) = self.accounts.get_mut(&destination) else { return };
                account.gift.take_if(|gift| gift.to == me && total >= account.purse.given_to(me));
            }
            Item::Waits { destination, levels } => {
                if self.accounts.contains_key(&destination) {
                    self.hand(destination, 0, Some(Waits::told(levels)));
                }
            }
        }
    }

    /// Tells those who asked what they were given, and how long the rest waits.
    fn answer(&mut self, now: Micros) {
        for (peer, destination) in std::mem::take(&mut self.owed) {
            let Some(start) = self.starts.get(&peer).copied() else { continue };
            let Some(account) = self.accounts.get(&destination) else { continue };
            let total = account.purse.given_to((peer, start));
            let waits = account.asks.get(&peer).is_some_and(|ask| !ask.tiers.is_empty());
            self.out.push((peer, Item::Gift { destination, start, total, answers: true }));
            let waits = if waits { self.waits(now, destination, peer) } else { Waits::default() };
            if !waits.is_none() {
                self.out.push((peer, Item::Waits { destination, levels: waits.levels().to_vec() }));
            }
        }
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// A repeat waits for it; what it costs is bound by first attempts, wants and gifts.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        self.avoided.remove(&from.peer);
        self.starts.insert(from.peer, from.incarnation);
        let (items, made_sense) = read(bytes);
        items.into_iter().for_each(|item| self.item(now, from, item));
        made_sense
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        let mut due = std::mem::take(&mut self.changed);
        if now >= self.look_at {
            due.extend(self.accounts.keys());
            self.look_at = now + IDLE;
        }
        let busy = due.iter().any(|id| self.accounts.get(id).is_some_and(|account| account.busy(now)));
        due.into_iter().for_each(|destination| self.look(now, destination));
        if busy {
            self.look_at = self.look_at.min(now + LOOK);
        }
        self.answer(now);
        frame::pack(self.out.drain(..).map(|(to, item)| (to, item.encode())), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if self.out.is_empty() && self.owed.is_empty() { self.look_at.max(now) } else { now }
    }
}
