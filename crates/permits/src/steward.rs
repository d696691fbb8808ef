//! When the fleet's next call to a destination may start, and whose it is. Owns, for each destination, the rate,
//! what waits for it at which relay, and its health as all relays' calls show it. It must never permit a call while
//! a wait that the destination told lasts, and permits more to one that returns cold only as that warms.
//!
//! The mechanism is the design's, for the one process that owns the whole limit: calls start at an interval; it is
//! doubled on consecutive signals of backpressure and restored by a clean outcome. An outcome of a call that began
//! before the last signal tells of the same moment as that one.

use std::collections::{BTreeMap, VecDeque};

use crate::note::Sign;
use crate::{Micros, Peer, SECOND, Tiers};

/// Of the rate, so much is used: calls arrive spread by the network, and a refused one may use up the limit.
const USED: f64 = 0.95;
/// A destination does more than its limit by about this factor, so that a cold one bears it too.
const SPARE: f64 = 1.2;
/// A steward that was idle may catch up on calls of so long.
const BURST: Micros = SECOND / 10;
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
const WANTS_FOR: Micros = SECOND;
/// A permit is taken for lost when its relay has not seen it by then.
const LOST: Micros = 2 * SECOND / 10;
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
}

/// A permit given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// To whom.
    pub to: Peer,
    /// For which destination.
    pub destination: i64,
    /// Permits that it has had so far, this one included; counts around.
    pub total: u16,
    /// Endpoints of this kind take few connections.
    pub few: bool,
}

#[derive(Clone, Debug, Default)]
struct Ask {
    incarnation: u32,
    tiers: Tiers,
    /// When it was last said, and since when its best waits.
    said: Micros,
    since: Micros,
    total: u16,
    granted: Micros,
}

#[derive(Clone, Debug, Default)]
struct Limit {
    listed: Option<f64>,
    reported: Option<f64>,
    next: Micros,
    doublings: u32,
    last_signal: Option<Micros>,
    wait_until: Micros,
    failures: u32,
    refusals: u32,
    bad_since: Micros,
    out: bool,
    back: Option<Micros>,
    few: bool,
    /// When the calls that are out were permitted.
    calls: VecDeque<Micros>,
    asks: BTreeMap<Peer, Ask>,
}

impl Limit {
    /// What the destination takes from all relays when it is warm.
    fn full_rate(&self) -> Option<f64> {
        self.reported.or(self.listed)
    }

    fn rate(&self, now: Micros, cold: Cold) -> Option<f64> {
        let rate = self.full_rate()? * USED;
        let share = self.back.map_or(1.0, |back| {
            let warmed = (now - back) as f64 / cold.warm_after.max(1) as f64;
            (SPARE * (cold.from + (1.0 - cold.from) * warmed)).min(1.0)
        });
        Some(rate * share / f64::from(1u32 << self.doublings))
    }

    fn interval(&self, now: Micros, cold: Cold) -> Option<Micros> {
        let rate = self.rate(now, cold)?;
        let paced = (SECOND as f64 / rate.max(0.01)) as Micros;
        let full = self.full_rate().unwrap_or(1.0);
        let silent = self.calls.len() >= LEAST_OUT.max((full * OUT_FOR) as usize);
        Some(if self.out || silent { paced.max(TRIAL) } else { paced }.max(1))
    }

    /// Whose turn it is: the worthiest, then who waits longest.
    fn best(&self, now: Micros) -> Option<Peer> {
        let asks = self.asks.iter().filter(|(_, ask)| now - ask.said < WANTS_FOR);
        let worth = |ask: &Ask| ask.tiers.first().map(|(worth, _)| *worth);
        let best =
            asks.filter_map(|(peer, ask)| Some((worth(ask)?, std::cmp::Reverse(ask.since), *peer))).max();
        best.map(|(.., peer)| peer)
    }

    fn learn(&mut self, now: Micros, report: &Report) {
        self.calls.pop_front();
        if let Some(limit) = report.limit.filter(|limit| limit.is_finite() && *limit > 0.0) {
            let mean = self.reported.unwrap_or(self.listed.unwrap_or(limit));
            self.reported = Some(mean + (limit - mean) / SMOOTHING);
        }
        if let Some(wait) = report.wait {
            self.wait_until = self.wait_until.max(now + wait.clamp(0, LONGEST_WAIT));
        }
        let stale = self.last_signal.is_some_and(|signal| report.began <= signal);
        match report.sign {
            Sign::Crowded => self.few = true,
            Sign::Well => {
                if !stale {
                    self.doublings = 0;
                }
                if self.out {
                    (self.out, self.back) = (false, Some(now));
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
                if !stale {
                    self.doublings = (self.doublings + 1).min(MOST_DOUBLINGS);
                    self.last_signal = Some(now);
                }
                let refused = self.refusals >= REFUSALS && now - self.bad_since >= REFUSED_FOR;
                if self.failures >= FAILURES || refused {
                    (self.out, self.back) = (true, None);
                }
            }
        }
    }
}

/// The limits that this relay is steward of, as it was asked.
#[derive(Clone, Debug)]
pub struct Steward {
    cold: Cold,
    limits: BTreeMap<i64, Limit>,
}

impl Steward {
    /// A steward that knows nothing yet.
    pub fn new(cold: Cold) -> Self {
        Steward { cold, limits: BTreeMap::new() }
    }

    /// The directory lists a destination, with the rate that all relays together may call it at.
    pub fn listed(&mut self, destination: i64, rate: f64) {
        if rate.is_finite() && rate > 0.0 {
            self.limits.entry(destination).or_default().listed = Some(rate);
        }
    }

    /// A relay says what waits there. `None` where the destination is not known: it is not answered then.
    pub fn want(
        &mut self, now: Micros, (from, incarnation): (Peer, u32), destination: i64, seen: u16, tiers: Tiers,
    ) -> Option<Grant> {
        let limit = self.limits.get_mut(&destination)?;
        let few = limit.few;
        let ask = limit.asks.entry(from).or_default();
        let told = ask.total.wrapping_sub(seen);
        // One that started again, or had permits of another steward meanwhile, counts from what it has seen.
        if ask.incarnation != incarnation || told > u16::MAX / 2 {
            (ask.incarnation, ask.total) = (incarnation, seen);
        }
        if ask.tiers.is_empty() || now - ask.said >= WANTS_FOR {
            ask.since = now;
        }
        (ask.tiers, ask.said) = (tiers, now);
        // What is on its way to it counts as had; what was lost comes again by the total.
        if now - ask.granted < LOST {
            for _ in 0..ask.total.wrapping_sub(seen) {
                take(&mut ask.tiers);
            }
        }
        Some(Grant { to: from, destination, total: ask.total, few })
    }

    /// A call ended.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        if let Some(limit) = self.limits.get_mut(&destination) {
            limit.learn(now, report);
        }
    }

    /// The permits that are due.
    pub fn poll(&mut self, now: Micros) -> Vec<Grant> {
        let mut grants = Vec::new();
        let cold = self.cold;
        for (destination, limit) in &mut self.limits {
            while limit.calls.front().is_some_and(|at| now - at >= FORGOTTEN) {
                limit.calls.pop_front();
            }
            while limit.next <= now && limit.wait_until <= now {
                let (Some(interval), Some(peer)) = (limit.interval(now, cold), limit.best(now)) else {
                    break;
                };
                let few = limit.few;
                let Some(ask) = limit.asks.get_mut(&peer) else { break };
                take(&mut ask.tiers);
                ask.total = ask.total.wrapping_add(1);
                (ask.granted, ask.since) = (now, now);
                grants.push(Grant { to: peer, destination: *destination, total: ask.total, few });
                limit.calls.push_back(now);
                limit.next = limit.next.max(now - BURST.min(interval * 8)) + interval;
            }
        }
        grants
    }

    /// When [`Steward::poll`] has something to do next.
    pub fn next_at(&self, now: Micros) -> Micros {
        let waits = self.limits.values().filter(|limit| limit.best(now).is_some());
        let next = |limit: &Limit| limit.next.max(limit.wait_until);
        waits.map(next).min().unwrap_or(Micros::MAX)
    }
}

/// Takes one from the worthiest tier.
fn take(tiers: &mut Tiers) {
    if let Some((_, count)) = tiers.first_mut() {
        *count -= 1;
        if *count == 0 {
            tiers.remove(0);
        }
    }
}
