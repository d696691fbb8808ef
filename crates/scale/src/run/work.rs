//! What a relay has to hand on: events that wait for each destination, and the permits that it holds. A small stand-in for the
//! relay's rules (`src/rules.rs` of the project) that asks, starts calls and tries again when they do. All events are of one worth.

use std::collections::{BTreeMap, VecDeque};

use permits::WaitingByPriority;
use permits::held_grants::{Admission, HeldGrants};

use crate::time::{Micros, SECOND};

/// Calls of a relay that go on at once, at the most.
const SLOTS: usize = 256;
/// Where all slots are taken, it is looked for a free one so often.
const NO_SLOT: Micros = SECOND / 10;
/// The worth of an event, in thousandths.
const WORTH: u64 = 1000;
/// A call that failed is tried again after this ...
pub(super) const TRY_AGAIN: Micros = SECOND;
/// ... until its event is so old.
const GIVE_UP: Micros = 30 * SECOND;
/// Once a destination has signalled backpressure, its calls without permits come at an interval, which is doubled on
/// consecutive signals up to so many times, as by the relay's rules.
const MOST_DOUBLINGS: u32 = 6;

/// An event that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiting {
    /// When it arrived.
    pub(super) arrived: Micros,
    /// Its destination was up then.
    pub(super) was_up: bool,
    /// Calls for it so far.
    pub(super) calls: u32,
}

impl Waiting {
    /// Whether it is too old to be tried again.
    pub(super) fn is_over(&self, now: Micros) -> bool {
        now - self.arrived >= GIVE_UP
    }
}

#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    held: HeldGrants,
    /// The last call at the relay's own pace.
    last_own: Option<Micros>,
    /// When the lane is looked at again, if nothing happens before.
    look_at: Option<Micros>,
    /// Signals of backpressure without a clean outcome since, where calls need no permits.
    signals: u32,
}

/// What is to be done for a destination.
#[derive(Debug, Default)]
pub(super) struct Due {
    /// The coordinator is to hear that so much waits.
    pub(super) want: Option<WaitingByPriority>,
    /// Calls that start.
    pub(super) starts: Vec<Waiting>,
    /// When to look again.
    pub(super) look_at: Option<Micros>,
}

/// What a relay has to hand on.
#[derive(Debug, Default)]
pub(super) struct Work {
    lanes: BTreeMap<u32, Lane>,
    calls: usize,
}

impl Work {
    /// An event waits.
    pub(super) fn add(&mut self, destination: u32, waiting: Waiting) {
        self.lanes.entry(destination).or_default().waiting.push_back(waiting);
    }

    /// A coordinator spoke, and permits so many more calls.
    pub(super) fn heard(&mut self, now: Micros, destination: u32, permits: u16) {
        self.lanes.entry(destination).or_default().held.receive(now, permits);
    }

    /// A call ended: well, or with a signal of backpressure.
    pub(super) fn ended(&mut self, destination: u32, well: bool) {
        self.calls = self.calls.saturating_sub(1);
        if let Some(lane) = self.lanes.get_mut(&destination) {
            lane.signals = if well { 0 } else { (lane.signals + 1).min(MOST_DOUBLINGS + 1) };
        }
    }

    /// The relay starts again: what waits was kept on its disk, permits were not.
    pub(super) fn restarted(&mut self) {
        self.calls = 0;
        for lane in self.lanes.values_mut() {
            (lane.held, lane.last_own, lane.look_at) = (HeldGrants::default(), None, None);
            lane.signals = 0;
        }
    }

    /// Destinations for which something waits.
    pub(super) fn busy(&self) -> Vec<u32> {
        let busy = self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty());
        busy.map(|(destination, _)| *destination).collect()
    }

    /// What is due for a destination where calls need permits; without one they come so far apart.
    pub(super) fn due(&mut self, now: Micros, destination: u32, own_gap: Micros) -> Due {
        let free = SLOTS.saturating_sub(self.calls);
        let Some(lane) = self.lanes.get_mut(&destination) else { return Due::default() };
        let mut due = Due { want: lane.want(now, free), ..Due::default() };
        while due.starts.len() < free && lane.may_start(now, own_gap) {
            due.starts.extend(lane.waiting.pop_front());
        }
        self.calls += due.starts.len();
        due.look_at = lane.look_again(now, own_gap);
        due
    }

    /// What is due for a destination where calls need no permits: all that waits, or one in an interval once the destination
    /// has signalled backpressure.
    pub(super) fn due_freely(&mut self, now: Micros, destination: u32, own_gap: Micros) -> Due {
        let Some(lane) = self.lanes.get_mut(&destination) else { return Due::default() };
        let mut due = Due::default();
        if lane.signals == 0 {
            lane.last_own = Some(now);
            due.starts.extend(lane.waiting.drain(..));
            return due;
        }
        let interval = own_gap << (lane.signals - 1);
        if !lane.waiting.is_empty() && lane.last_own.is_none_or(|last| now - last >= interval) {
            lane.last_own = Some(now);
            due.starts.extend(lane.waiting.pop_front());
        }
        due.look_at = lane.look_at_pace(now, interval);
        due
    }
}

impl Lane {
    fn want(&mut self, now: Micros, free: usize) -> Option<WaitingByPriority> {
        let beyond = self.waiting.len().min(free).saturating_sub(self.held.count(now));
        let tiers = permits::waiting_by_priority(std::iter::repeat_n(WORTH, beyond));
        self.held.set_waiting(now, &tiers).then_some(tiers)
    }

    /// Whether the next call may start; takes what it starts by.
    fn may_start(&mut self, now: Micros, own_gap: Micros) -> bool {
        if self.waiting.is_empty() {
            return false;
        }
        match self.held.admission(now) {
            Admission::Granted => {
                self.held.use_grant();
                true
            }
            Admission::WaitUntil(_) => false,
            Admission::LocalPacing => {
                let may = self.last_own.is_none_or(|last| now - last >= own_gap);
                self.last_own = if may { Some(now) } else { self.last_own };
                may
            }
        }
    }

    /// When to look again at a paced lane, where that was not said before.
    fn look_at_pace(&mut self, now: Micros, interval: Micros) -> Option<Micros> {
        let at = self.last_own.map_or(now, |last| last + interval);
        if self.waiting.is_empty() { None } else { self.look_sooner(now, at) }
    }

    /// Sets when to look, unless that is no sooner than what was said before.
    fn look_sooner(&mut self, now: Micros, at: Micros) -> Option<Micros> {
        self.look_at = self.look_at.filter(|before| *before > now);
        if self.look_at.is_some_and(|before| before <= at) {
            return None;
        }
        self.look_at = Some(at);
        self.look_at
    }

    /// When to look again, where that was not said before.
    fn look_again(&mut self, now: Micros, own_gap: Micros) -> Option<Micros> {
        let at = match self.held.admission(now) {
            _ if self.waiting.is_empty() => return None,
            Admission::Granted => now + NO_SLOT,
            Admission::WaitUntil(until) => until,
            Admission::LocalPacing => self.last_own.map_or(now, |last| last + own_gap),
        };
        self.look_sooner(now, at)
    }
}
