//! The state of one destination's limit at its coordinator: the rate, what waits for it at which relay, and its health as all
//! relays' calls show it.
//!
//! The mechanism is the design's, for the one process that owns the whole limit: calls start at an interval; it is
//! doubled on consecutive signals of backpressure and restored by a clean outcome. An outcome of a call that began
//! before the last signal tells of the same moment as that one.

use std::collections::{BTreeMap, VecDeque};

use escrow::{Loans, Slices};
use overload::backlog::Backlog;

use crate::note::Sign;
use crate::{Micros, Peer, SECOND, Sharing, Tiers, waiting};

/// Of the rate, so much is used: calls arrive spread by the network, and a refused one may use up the limit.
const USED: f64 = 0.95;
/// A destination does more than its limit by about this factor, so that a cold one bears it too.
const SPARE: f64 = 1.2;
/// Most doublings in a row.
const MOST_DOUBLINGS: u32 = 3;
/// Weight of a new reading in a running mean: one in this many.
const SMOOTHING: f64 = 8.0;
/// So many failures in a row are an outage; so many refusals, where they last for longer than any span of a limit.
const FAILURES: u32 = 4;
const REFUSALS: u32 = 8;
const REFUSED_FOR: Micros = 5 * SECOND / 2;
/// While it is out, one call is tried so often.
const TRIAL: Micros = SECOND / 4;
/// Calls of so long may be out before a silent destination gets trials alone, and a call is out for so long at most.
const OUT_FOR: f64 = 1.0;
const LEAST_OUT: usize = 8;
const FORGOTTEN: Micros = 4 * SECOND;
/// A relay that did not say again what it wants for so long wants nothing.
pub(crate) const WANTS_FOR: Micros = SECOND;
/// A limit of which each relay's part is so many calls a second is handed on as rates: a note for each call would cost
/// more than it saves.
const SLICED_FROM: f64 = 4.0;
/// A rate that is handed on holds for so long.
pub const SLICE_FOR: Micros = 3 * SECOND / 10;
/// What waits at a relay counts up to this when rates are handed on.
const MOST_WAITING: u32 = 64;
/// A report that is off the listed rate by no more than this part says the same.
const NEAR: f64 = 0.1;
/// Parts that nobody lends may be of dead relays. Where every answer has reported for so long that so much of the
/// allowance is left, and more waits than is permitted, what is lent is gone beyond, by so much of it more a second:
/// parts of a fleet that all do so pass the whole by no more than that. The span is longer than relays take to find out
/// that they hear nobody and go by their own parts ...
const LEFT_ENOUGH: f64 = 0.2;
const LEFT_FOR: Micros = 3 * SECOND;
const RECLAIMED_PER_S: f64 = 0.1;
/// ... less of it with each report of little, and nothing from a refusal on.
const LEFT_LITTLE: f64 = 0.1;
const GIVEN_BACK: f64 = 0.7;
/// A report stands for no more time than this.
const REPORT_STANDS: Micros = SECOND / 4;
/// Where the share that succeeds is followed: a failure that comes sooner than this is quick ...
const QUICK: Micros = SECOND / 2;
/// ... a run of failures is no outage while so long a one comes by chance more often than this ...
const CHANCE: f64 = 0.02;
/// ... a destination that was out for no longer than this does not return cold, it just fails at times ...
const SHORT: Micros = 2 * SECOND;
/// ... and what fails seldom is no sign. The share is that of about so many calls.
const SELDOM: f64 = 0.1;
const CALLS_SEEN: f64 = 16.0;
/// Waits that are told are heeded up to a minute.
const LONGEST_WAIT: Micros = 60 * SECOND;

/// How a destination that was out returns: from this share of its capacity, warm after this.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The share.
    pub from: f64,
    /// The span.
    pub warm_after: Micros,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// What it showed.
    pub sign: Sign,
    /// When it began.
    pub began: Micros,
    /// The wait that it told.
    pub wait: Option<Micros>,
    /// The limit that it reported, in calls a second.
    pub limit: Option<f64>,
    /// The share of the allowance that it reported as left.
    pub left: Option<f64>,
}

/// How relays share, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// How.
    pub sharing: Sharing,
    /// This relay.
    pub me: Peer,
    /// How many there are.
    pub relays: Peer,
    /// A destination that fails at times is called as often as the share of its calls that succeeds.
    pub follows: bool,
}

impl Fleet {
    /// Parts of a limit.
    fn parts(self) -> f64 {
        f64::from(self.relays.max(1))
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Ask {
    pub(crate) incarnation: u32,
    pub(crate) tiers: Tiers,
    /// When it was last said, and since when its best waits.
    pub(crate) said: Micros,
    pub(crate) since: Micros,
    pub(crate) total: u16,
    pub(crate) granted: Micros,
    /// Messages that waited there lately, where rates are handed on.
    pub(crate) waits: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Limit {
    pub(crate) listed: Option<f64>,
    pub(crate) reported: Option<f64>,
    pub(crate) next: Micros,
    pub(crate) doublings: u32,
    pub(crate) last_signal: Option<Micros>,
    pub(crate) wait_until: Micros,
    pub(crate) failures: u32,
    /// The part of the calls that fails, where the share that succeeds is followed; and that before the latest failures
    /// in a row.
    pub(crate) failing: f64,
    pub(crate) failing_before: f64,
    pub(crate) refusals: u32,
    pub(crate) bad_since: Micros,
    pub(crate) out: bool,
    pub(crate) back: Option<Micros>,
    /// When the latest call that was answered well was told of.
    pub(crate) well: Option<Micros>,
    pub(crate) few: bool,
    /// When the calls that are out were permitted.
    pub(crate) calls: VecDeque<Micros>,
    pub(crate) asks: BTreeMap<Peer, Ask>,
    /// The parts that are lent to this relay, its own among them while it is its own.
    pub(crate) loans: Loans,
    pub(crate) slices: Slices,
    /// The part of the whole that is used beyond what is lent, as reports leave room for it, and when it was judged.
    pub(crate) reclaimed: f64,
    pub(crate) judged: Micros,
    /// When little was last left, as an answer reported, or one reported nothing.
    pub(crate) scarce: Micros,
    /// What waits at all relays that ask.
    pub(crate) backlog: Backlog,
}

impl Limit {
    /// The state of a destination that is listed with this rate, before anything happened there.
    pub(crate) fn idle(listed: f64) -> Self {
        Limit { listed: Some(listed), ..Limit::default() }
    }

    /// Forgets calls that have been out for too long to tell anything.
    pub(crate) fn forget_calls(&mut self, now: Micros) {
        while self.calls.front().is_some_and(|at| now - at >= FORGOTTEN) {
            self.calls.pop_front();
        }
    }

    /// Whether a relay wants permits, as far as it said so a short time ago.
    pub(crate) fn wanted(&self, now: Micros) -> bool {
        self.asks.values().any(|ask| now - ask.said < WANTS_FOR && !ask.tiers.is_empty())
    }

    /// What the destination takes from all relays when it is warm. Relays that each have their own reading of it keep
    /// better step by what is listed, where the two are near.
    pub(crate) fn full_rate(&self, fleet: Fleet) -> Option<f64> {
        let near = |told: f64, listed: f64| (told / listed - 1.0).abs() <= NEAR;
        match (self.reported, self.listed, fleet.sharing) {
            (Some(told), Some(listed), Sharing::Parts) if near(told, listed) => Some(listed),
            (told, listed, _) => told.or(listed),
        }
    }

    /// The part of the whole that is lent to this relay, for so long still.
    pub(crate) fn lent(&self, now: Micros, fleet: Fleet, span: Micros) -> f64 {
        self.loans.count(now, span) as f64 / fleet.parts()
    }

    /// The part of the whole that this relay may permit, for so long still.
    pub(crate) fn share(&self, now: Micros, fleet: Fleet, span: Micros) -> f64 {
        match fleet.sharing {
            Sharing::Whole => 1.0,
            Sharing::Parts => {
                let lent = self.lent(now, fleet, span);
                if lent > 0.0 { (lent + self.reclaimed).min(1.0) } else { 0.0 }
            }
        }
    }

    pub(crate) fn rate(&self, now: Micros, cold: Cold, fleet: Fleet, span: Micros) -> Option<f64> {
        let rate = self.full_rate(fleet)? * USED * self.share(now, fleet, span);
        let share = self.back.map_or(1.0, |back| {
            let warmed = (now - back) as f64 / cold.warm_after.max(1) as f64;
            (SPARE * (cold.from + (1.0 - cold.from) * warmed)).min(1.0)
        });
        // At its share alone, one of which three calls in ten fail would take half of what it could; at twice that, one of
        // which eight in ten fail would get two fifths of its limit for nothing. The worse it is, the nearer to its share.
        let succeeds = 1.0 - self.failing;
        let succeeds = (succeeds * (1.0 + succeeds)).min(1.0);
        Some(rate * share * succeeds / f64::from(1u32 << self.doublings))
    }

    /// So many failures in a row are an outage: where calls fail at times anyway, as many as hardly come by chance.
    pub(crate) fn outage(&self) -> u32 {
        if self.failing <= SELDOM {
            return FAILURES;
        }
        let run = CHANCE.ln() / self.failing.min(1.0 - 1.0 / CALLS_SEEN).ln();
        FAILURES.max(run.ceil() as u32)
    }

    /// What a call shows of the share that succeeds; whether its failure tells of that alone. Trials of one that is out
    /// show nothing.
    pub(crate) fn follow(&mut self, now: Micros, report: &Report) -> bool {
        let quick = report.sign == Sign::Failed && now - report.began < QUICK;
        let failed = match report.sign {
            Sign::Well => 0.0,
            _ if quick => 1.0,
            _ => return false,
        };
        if !self.out {
            self.failing += (failed - self.failing) / CALLS_SEEN;
        }
        quick
    }

    pub(crate) fn interval(&self, now: Micros, cold: Cold, fleet: Fleet) -> Option<Micros> {
        let rate = self.rate(now, cold, fleet, 0).filter(|rate| *rate > 0.0)?;
        let paced = (SECOND as f64 / rate.max(0.0001)) as Micros;
        let full = self.full_rate(fleet).unwrap_or(1.0);
        let many_out = self.calls.len() >= LEAST_OUT.max((full * OUT_FOR) as usize);
        // Where notes are lost, so are reports of calls that ended; one that answers lately is not silent.
        let answers = self.well.is_some_and(|well| now - well < SECOND);
        let silent = many_out && !(fleet.sharing == Sharing::Parts && answers);
        let trial = (TRIAL as f64 / self.share(now, fleet, 0).max(0.0001)) as Micros;
        Some(if self.out || silent { paced.max(trial) } else { paced }.max(1))
    }

    /// So many permits are void: their calls may be given once more.
    pub(crate) fn give_again(&mut self, now: Micros, cold: Cold, fleet: Fleet, calls: u16) {
        let interval = self.interval(now, cold, fleet).unwrap_or(0);
        self.next = self.next.saturating_sub(interval.saturating_mul(Micros::from(calls)));
        self.calls.truncate(self.calls.len().saturating_sub(usize::from(calls)));
    }

    /// Whether rates are handed on in place of permits.
    pub(crate) fn sliced(&self, fleet: Fleet) -> bool {
        let part = self.full_rate(fleet).unwrap_or(0.0) * USED / fleet.parts();
        fleet.sharing == Sharing::Parts && part >= SLICED_FROM
    }

    /// The rate that a relay gets, by what waits there and elsewhere, for [`SLICE_FOR`].
    pub(crate) fn slice(&mut self, now: Micros, cold: Cold, fleet: Fleet, to: Peer) -> f64 {
        if self.wait_until > now || !self.loans.is_usable(now, to) {
            return 0.0;
        }
        let share = self.share(now, fleet, SLICE_FOR);
        let whole = self.rate(now, cold, fleet, SLICE_FOR).unwrap_or(0.0);
        let whole = if self.out { whole.min(share * SECOND as f64 / TRIAL as f64) } else { whole };
        if let Some(ask) = self.asks.get_mut(&to) {
            let waits = waiting(&ask.tiers).min(MOST_WAITING);
            ask.waits += (f64::from(waits) - ask.waits) / SMOOTHING;
        }
        // Who has nothing to send has a little all the same, so that its first message need not ask.
        let weight = |ask: &Ask| 1.0 + ask.waits;
        let asks = self.asks.iter().filter(|(peer, _)| self.loans.is_usable(now, **peer));
        let all: f64 = asks.map(|(_, ask)| weight(ask)).sum();
        let mine = self.asks.get(&to).map_or(1.0, weight);
        self.slices.grant(now, to, whole * mine / all.max(mine), whole, SLICE_FOR)
    }

    /// Nobody else's part is lent to this relay.
    pub(crate) fn alone(&self, now: Micros, fleet: Fleet) -> bool {
        fleet.sharing == Sharing::Parts
            && self.loans.is_usable(now, fleet.me)
            && self.loans.count(now, 0) == 1
    }

    /// How often its turn comes to a relay that hears nobody. The period is the same at all of them: it follows what is
    /// listed, or what is reported in steps, and nothing that one relay met alone.
    pub(crate) fn turns(&self, now: Micros, fleet: Fleet) -> Option<Micros> {
        let full = self.full_rate(fleet).filter(|full| *full > 0.0 && self.alone(now, fleet))?;
        let listed = self.listed.is_some_and(|listed| listed == full);
        let stepped = (1.0 + NEAR).powf((full.ln() / (1.0 + NEAR).ln()).floor());
        let rate = if listed { full } else { stepped } * USED / fleet.parts();
        Some(((SECOND as f64 / rate) as Micros).max(1))
    }

    /// Whose turn it is: the worthiest, then who waits longest.
    pub(crate) fn best(&self, now: Micros, fleet: Fleet) -> Option<Peer> {
        let lends = |peer: &Peer| fleet.sharing == Sharing::Whole || self.loans.is_usable(now, *peer);
        let asks = self.asks.iter().filter(|(peer, ask)| now - ask.said < WANTS_FOR && lends(peer));
        let worth = |ask: &Ask| ask.tiers.first().map(|(worth, _)| *worth);
        let best =
            asks.filter_map(|(peer, ask)| Some((worth(ask)?, std::cmp::Reverse(ask.since), *peer))).max();
        best.map(|(.., peer)| peer)
    }

    /// What an answer says of the room that others leave.
    pub(crate) fn judge(&mut self, now: Micros, fleet: Fleet, report: &Report) {
        let stands = (now - self.judged).clamp(0, REPORT_STANDS) as f64 / SECOND as f64;
        let lent = self.lent(now, fleet, 0);
        let waits =
            self.asks.iter().any(|(peer, ask)| !ask.tiers.is_empty() && self.loans.is_usable(now, *peer));
        self.judged = now;
        if report.sign == Sign::Refused || report.left.is_none_or(|left| left < LEFT_ENOUGH) {
            self.scarce = now;
        }
        // One that hears nobody keeps to its turns.
        let room = now - self.scarce >= LEFT_FOR && !self.alone(now, fleet);
        self.reclaimed = match report.left {
            _ if report.sign == Sign::Refused => 0.0,
            Some(left) if left < LEFT_LITTLE => self.reclaimed * GIVEN_BACK,
            Some(_) if room && waits => self.reclaimed + RECLAIMED_PER_S * lent * stands,
            _ => self.reclaimed,
        };
        self.reclaimed = self.reclaimed.min((1.0 - lent).max(0.0));
    }

    pub(crate) fn learn(&mut self, now: Micros, fleet: Fleet, report: &Report) {
        if fleet.sharing == Sharing::Parts {
            self.judge(now, fleet, report);
        }
        self.calls.pop_front();
        if let Some(limit) = report.limit.filter(|limit| limit.is_finite() && *limit > 0.0) {
            let mean = self.reported.unwrap_or(self.listed.unwrap_or(limit));
            self.reported = Some(mean + (limit - mean) / SMOOTHING);
        }
        if let Some(wait) = report.wait {
            self.wait_until = self.wait_until.max(now + wait.clamp(0, LONGEST_WAIT));
        }
        let stale = self.last_signal.is_some_and(|signal| report.began <= signal);
        if self.failures + self.refusals == 0 {
            self.failing_before = self.failing;
        }
        let failing = fleet.follows && self.follow(now, report);
        match report.sign {
            Sign::Crowded => self.few = true,
            Sign::Well => {
                self.well = Some(now);
                if !stale {
                    self.doublings = 0;
                }
                if self.out {
                    let brief = fleet.follows && now - self.bad_since <= SHORT;
                    // After a long one it is as it was before; what was brief is part of how often it fails.
                    self.failing = if brief { self.failing } else { self.failing_before };
                    (self.out, self.back) = (false, Some(now).filter(|_| !brief));
                }
                (self.failures, self.refusals) = (0, 0);
            }
            Sign::Failed | Sign::Refused => {
                if self.failures + self.refusals == 0 {
                    self.bad_since = report.began;
                }
                match report.sign {
                    Sign::Failed => self.failures += 1,
                    _ => self.refusals += 1,
                }
                // The share that succeeds says it all of a quick failure.
                if !stale && !failing {
                    self.doublings = (self.doublings + 1).min(MOST_DOUBLINGS);
                    self.last_signal = Some(now);
                }
                let refused = self.refusals >= REFUSALS && now - self.bad_since >= REFUSED_FOR;
                if self.failures >= self.outage() || refused {
                    (self.out, self.back) = (true, None);
                    self.backlog.reset();
                }
            }
        }
    }
}
