//! The arithmetic of paces: the intervals of the design's mechanism, and what a destination bears that returns from an
//! outage. Owns how an interval grows, shrinks and follows a rate. It decides nothing: which message goes where and
//! whether again, the rules alone say.

use serde::{Deserialize, Serialize};

use crate::draw::stretched;
use crate::estimate::SMOOTHING;
use crate::interface::{Micros, Settings};

/// Factor of the interval on each consecutive signal (the design's back-off).
const BACK_OFF: Micros = 2;
/// A clean outcome shortens the interval by one part in so many, once it is at the base or under it.
const CREEP: Micros = 8;
/// A listed rate may be too low by this factor.
const ROUGHNESS: Micros = 2;
/// Most doublings in a row, so that a streak of signals never silences a destination for longer than a trial.
const MOST_DOUBLINGS: u32 = 3;
/// The base interval is at most the shortest aim over this.
const BASE_PART_OF_AIM: Micros = 4;
/// A rule on fail-back is broken when so much of an overload came from senders that had seen failure.
const FALL_SHARE: f64 = 2.0 / 3.0;
/// A second in the clock's microseconds.
const SECOND: f64 = 1e6;

/// The mechanism: once signalled, one release per interval, doubled on each consecutive signal and restored
/// by a clean outcome. Invariant: `interval` is `None` exactly while calls may start as slots free up.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Pacer {
    base: Option<Micros>,
    pub(crate) interval: Option<Micros>,
    least: Micros,
    pub(crate) next: Micros,
    last_signal: Option<Micros>,
    pub(crate) last_start: Option<Micros>,
    pub(crate) spacing: Option<Micros>,
}

impl Pacer {
    pub(crate) fn started(&mut self, now: Micros) {
        if let Some(last) = self.last_start.filter(|l| *l < now) {
            let gap = now - last;
            self.spacing = Some(self.spacing.map_or(gap, |s| s + (gap - s) / SMOOTHING));
        }
        self.last_start = Some(now);
        self.next = now + self.interval.unwrap_or(0);
    }

    /// Departure: the outcome of a call begun before the last signal tells of the same moment as that signal;
    /// it neither doubles nor restores. A clump refused together is one signal.
    pub(crate) fn stale(&self, begun: Micros) -> bool {
        self.last_signal.is_some_and(|s| begun <= s)
    }

    pub(crate) fn signal(
        &mut self, now: Micros, begun: Micros, most_unlisted: Micros, wait: Micros, jitter: f64,
    ) {
        if self.stale(begun) {
            return;
        }
        let first = self.base.unwrap_or(self.spacing.unwrap_or(most_unlisted).min(most_unlisted)).max(1);
        let from = self.interval.unwrap_or(first);
        let interval = (from * BACK_OFF).min(first << MOST_DOUBLINGS);
        (self.interval, self.last_signal) = (Some(interval), Some(now));
        // Departure: senders refused together would come again together; each takes its own part.
        self.next = now + wait.max(stretched(interval, jitter));
    }

    pub(crate) fn clean(&mut self, begun: Micros) {
        if self.interval.is_none() || self.stale(begun) {
            return;
        }
        // Departure: the base is a rough share of what all senders may do. Once restored, each further clean
        // outcome shortens the interval, down to all of the limit for one sender; a signal doubles that.
        self.interval = match (self.base, self.interval) {
            (Some(base), Some(now)) if now <= base => Some((now - now / CREEP).max(self.least)),
            (base, _) => base,
        };
        self.next = self.last_start.unwrap_or(begun) + self.interval.unwrap_or(0);
    }

    /// The base is this sender's part of the rate, which is given back within bounds. Departure: with many senders few
    /// have work at a time, and their full part would outlast the aims; so it is at most a part of the shortest aim.
    pub(crate) fn set_rate(&mut self, rate: f64, senders: u32, shortest_aim: Micros) -> f64 {
        let rate = rate.clamp(1.0 / SECOND, SECOND);
        let base = ((f64::from(senders) * SECOND / rate) as Micros).max(1);
        let most = base.min(shortest_aim / BASE_PART_OF_AIM).max(1);
        self.base = Some(most);
        self.least = most.min(base / (ROUGHNESS * Micros::from(senders)));
        rate
    }
}

/// The multiple of its present capacity that all informed senders, which saw it fail or refuse, may send to a
/// returning destination. While one is not informed that share breaks no rule, whatever others send; if all
/// are, nobody else sends. A sender's part is the smaller. A listed rate is the capacity or a limit under it.
pub(crate) fn fall_budget(settings: &Settings) -> f64 {
    let senders = f64::from(settings.senders);
    settings.rules.fall_multiple * (FALL_SHARE * senders / (senders - 1.0)).min(1.0)
}

/// How long turns are needed after the first answer: as long as it is cold. Where its budget bears the listed rate
/// before that, it does not bear what all senders hold from the outage and would send at once.
pub(crate) fn warming(settings: &Settings) -> Micros {
    settings.rules.cold
}
