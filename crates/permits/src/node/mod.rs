//! A relay that requests permits from stewards and is a steward itself.
//!
//! The node chooses the steward of each destination, tells it what waits here, and passes on what it answers; it also
//! keeps track of to whom its own part of each limit is lent. It never sends more than its wants and calls require, and
//! never lets two relays use one part.

mod asking;
mod channel;
mod compat;
mod grants;
mod loans;
mod receive;
mod report;
mod wants;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use escrow::{BudgetShare, LoanTerms};
use fleet::datagram::{ReplayWindow, Stamp};
use fleet::nearest;
use overload::waits::MinimumWaits;

use crate::note::{Item, MOST_TIERS};
use crate::steward::{Cold, Fleet, Grant, Queue, Steward};
use crate::{Micros, Peer, SECOND, Sharing, Tiers, waiting};

use asking::{Asking, Heard};

/// A request without an answer is repeated after this interval, in microseconds.
const UNANSWERED: Micros = 6 * SECOND / 100;
/// In units of this fraction, a report tells how much of an allowance is left.
const LEFT_PARTS: f64 = 200.0;
/// Minimum interval between requests where parts are lent and demand grows, in microseconds.
const SAID_APART: Micros = SECOND / 50;
/// Where the whole limit is shared, a request is repeated at this interval while messages wait, in microseconds.
const SAID_AGAIN: Micros = 3 * SECOND / 10;
/// Number of requests without an answer after which a destination waits for new demand.
const TRIED: u32 = 12;
/// A permit is sent once more after this time, in microseconds: one that is lost is a call that nobody makes.
const ONCE_MORE: Micros = SECOND / 16;
/// The fleet size that other relays report is accepted up to this multiple of the configured one.
const MOST_GROWTH: Peer = 4;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Number of relays.
    pub relays: Peer,
    /// Number of this start, which grows from one start to the next.
    pub incarnation: u32,
    /// How destinations return.
    pub cold: Cold,
    /// How limits are shared.
    pub sharing: Sharing,
    /// A destination that fails at times is called as often as the share of its calls that succeeds.
    pub follows: bool,
}

/// What a steward granted to this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    /// The destination.
    pub destination: i64,
    /// Number of calls that may start.
    pub permits: u16,
    /// Whether endpoints of its kind accept few connections.
    pub few: bool,
}

/// A destination's budget as this relay has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The destination.
    pub destination: i64,
    /// The steward that the relay asks.
    pub steward: Option<Peer>,
    /// Whether its part is its own, lent to nobody.
    pub own: bool,
    /// Number of parts that it may use, its own among them.
    pub lent: usize,
    /// Number of parts in all.
    pub of: Peer,
    /// Whether rates are granted instead of permits.
    pub sliced: bool,
}

/// A relay among stewards.
#[derive(Debug)]
pub struct Node {
    config: Config,
    terms: LoanTerms,
    started: Micros,
    /// The largest accepted count of relays.
    relays: Peer,
    steward: Steward,
    asking: BTreeMap<i64, Asking>,
    /// Destinations for which messages wait here, where the whole limit is shared: those whose requests may be due.
    waiting: BTreeSet<i64>,
    /// Stewards that did not answer, and until when they are not asked.
    avoided: BTreeMap<Peer, Micros>,
    /// When avoided stewards were last probed.
    probed: BTreeMap<Peer, Micros>,
    heard: BTreeMap<Peer, Heard>,
    /// Stamps of the requests that the next message answers.
    echoes: BTreeMap<Peer, Stamp>,
    /// Relays of the previous build, with the replay protection for their datagrams.
    earlier: BTreeMap<Peer, ReplayWindow>,
    /// Number of the last datagram in the earlier form.
    number: u32,
    out: Vec<(Peer, Item)>,
    /// Permits to be sent once more, and when.
    once_more: VecDeque<(Micros, Grant)>,
    to_earlier: Vec<(Peer, Vec<Item>)>,
    given: Vec<Given>,
    /// Waiting times reported by stewards.
    waits: Vec<(i64, MinimumWaits)>,
}

impl Node {
    /// A node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        let Config { sharing, me, relays, follows, .. } = config;
        let fleet = Fleet { sharing, me, relays, follows };
        Node {
            terms: LoanTerms::of(u32::from(config.relays)),
            started: now,
            relays: config.relays,
            steward: Steward::new(config.cold, fleet),
            asking: BTreeMap::new(),
            waiting: BTreeSet::new(),
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

    /// The directory lists a destination with this rate, in calls per second.
    pub fn listed(&mut self, destination: i64, rate: f64) {
        self.steward.listed(destination, rate);
        if self.parts() {
            // Its part is lent also while nothing waits here.
            self.asking(destination);
        }
    }

    /// Messages wait for a destination at this relay, beyond the permits that it holds.
    pub fn want(&mut self, now: Micros, destination: i64, mut tiers: Tiers) {
        tiers.truncate(MOST_TIERS);
        let parts = self.parts();
        let asking = self.asking(destination);
        let best = |tiers: &Tiers| tiers.first().map(|(worth, _)| *worth);
        let more = waiting(&tiers) > waiting(&asking.tiers) || best(&tiers) > best(&asking.tiers);
        let waits = !tiers.is_empty();
        asking.tiers = tiers;
        if more && parts {
            // A relay that calls at a granted rate goes on with it.
            if !asking.rated(now) {
                asking.say_at = asking.say_at.min(now.max(asking.said + SAID_APART));
            }
            // The relay is coordinated from now on, whether a steward is heard or not.
            self.given.push(Given { destination, permits: 0, few: false });
            self.ask_oneself(now, destination);
        } else if more {
            asking.say_at = now;
        }
        if waits && !parts {
            self.waiting.insert(destination);
        } else {
            self.waiting.remove(&destination);
        }
    }

    /// Another list of relays, as on a reload.
    pub fn replaced(&mut self, relays: Peer) {
        self.config.relays = relays;
        self.relays = relays;
        self.steward.relays(relays);
        self.avoided.retain(|peer, _| *peer < relays);
        self.heard.retain(|peer, _| *peer < relays);
        self.earlier.retain(|peer, _| *peer < relays);
        for (destination, asking) in &mut self.asking {
            asking.home = home(*destination, relays, self.config.me);
        }
    }

    /// What stewards granted to this relay since the last call.
    pub fn take_given(&mut self) -> Vec<Given> {
        std::mem::take(&mut self.given)
    }

    /// The waiting times that stewards reported since the last call, by destination.
    pub fn take_waits(&mut self) -> Vec<(i64, MinimumWaits)> {
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

    /// For operators: the budget of each destination as this relay has it.
    pub fn shares(&self, now: Micros) -> Vec<Share> {
        let share = |(destination, asking): (&i64, &Asking)| {
            let (lent, sliced) = self.steward.lent(now, *destination);
            let own = self.parts() && asking.part.is_usable_by_owner(now);
            let steward = asking.steward;
            Share { destination: *destination, steward, own, lent, of: self.relays, sliced }
        };
        self.asking.iter().map(share).collect()
    }

    /// Whether each relay owns a part of the limit.
    fn parts(&self) -> bool {
        self.config.sharing == Sharing::Parts
    }

    /// The state of a destination, created where there is none. A part that an earlier process lent comes back one
    /// lease after the start.
    fn asking(&mut self, destination: i64) -> &mut Asking {
        let part = BudgetShare::at_start(self.started, self.terms.lease);
        let Config { relays, me, .. } = self.config;
        let starting = || Asking::starting(part, home(destination, relays, me));
        self.asking.entry(destination).or_insert_with(starting)
    }

    /// Another relay counts this many relays. Parts are those of the larger fleet.
    fn counted(&mut self, of: Peer) {
        if of > self.relays && of <= self.config.relays.saturating_mul(MOST_GROWTH) {
            self.relays = of;
            self.steward.relays(of);
        }
    }

    /// The steward of a destination: the nearest relay, avoided ones last. All relays are ranked only while the nearest one
    /// is avoided.
    fn steward_of(&self, now: Micros, destination: i64) -> Peer {
        let avoided = |peer: Peer| self.avoided.get(&peer).is_some_and(|until| now < *until);
        match self.asking.get(&destination).map(|asking| asking.home) {
            Some(home) if !avoided(home) => home,
            _ => nearest(destination, self.config.relays, avoided).unwrap_or(self.config.me),
        }
    }
}

/// The nearest relay of a destination, whether it is avoided or not.
fn home(destination: i64, relays: Peer, me: Peer) -> Peer {
    nearest(destination, relays, |_| false).unwrap_or(me)
}
