//! What waits for one destination, by priority, and the estimate of waiting times from it: the rates at which messages
//! arrive and calls start, and the waits that follow from them. Invariants: no wait is estimated from rates that were not
//! observed, and no relay's report counts for more than its bounded share.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::waits::{MAX_LEVELS, MAX_STEPS, MinimumWaits, PriorityWait, STEP_US};
use crate::{Micros, Peer, SECOND, WaitingByPriority};

/// Time constant of the rates' exponential decay, in microseconds.
const RATE_WINDOW_US: Micros = 4 * SECOND;
/// A relay that has not repeated its report within this time counts as having nothing waiting, in microseconds.
const REPORT_VALID_US: Micros = 3 * SECOND / 2;
/// Fewer starts than this are too few to estimate a rate from.
const MIN_STARTS: f64 = 6.0;
/// Margin of an estimate in standard deviations: the true wait is shorter by chance in about one case in forty.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Another relay's queue counts up to this number of messages, or up to half of what all other relays report, whichever is
/// more.
const MIN_COUNTED: u32 = 16;
/// Largest number of priorities whose arrivals are followed.
const MAX_PRIORITIES: usize = 64;
/// A decayed number of messages below this counts as none.
const NEGLIGIBLE_COUNT: f64 = 0.01;

/// Arrivals of messages of one priority.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Flow {
    /// Number of messages that arrived, less those that left without a start. Decays exponentially.
    #[serde(rename = "came")]
    arrivals: f64,
    /// Time since which messages of this or a higher priority have been waiting without a break.
    #[serde(rename = "since")]
    waiting_since: Option<Micros>,
}

/// Report of one relay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RelayReport {
    #[serde(rename = "tiers")]
    waiting: Vec<(u16, u8)>,
    at: Micros,
}

/// The backlog of one destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Backlog {
    #[serde(rename = "says")]
    reports: BTreeMap<Peer, RelayReport>,
    levels: BTreeMap<u16, Flow>,
    /// Number of calls that started while something waited. Decays exponentially.
    starts: f64,
    /// Time for which something waited, in microseconds. Decays like `starts`.
    #[serde(rename = "busy")]
    busy_us: f64,
    /// Time of the first update.
    #[serde(rename = "from")]
    first_update: Option<Micros>,
    /// Time of the latest update.
    #[serde(rename = "to")]
    last_update: Micros,
}

impl Backlog {
    /// Records what waits at a relay now.
    pub fn update(&mut self, now: Micros, relay: Peer, waiting: &WaitingByPriority) {
        self.advance(now);
        let old = self
            .reports
            .insert(relay, RelayReport { waiting: waiting.to_vec(), at: now })
            .unwrap_or_default();
        old.waiting.iter().for_each(|(priority, count)| self.add_arrivals(*priority, -f64::from(*count)));
        waiting.iter().for_each(|(priority, count)| self.add_arrivals(*priority, f64::from(*count)));
        self.update_waiting_since(now);
    }

    /// Records that a call starts for the message of the highest priority that waits at a relay.
    pub fn record_start(&mut self, now: Micros, relay: Peer) {
        self.advance(now);
        self.starts += 1.0;
        if let Some(report) = self.reports.get_mut(&relay)
            && let Some((_, count)) = report.waiting.first_mut()
        {
            *count = count.saturating_sub(1);
            report.waiting.retain(|(_, count)| *count > 0);
        }
        self.update_waiting_since(now);
    }

    /// Discards all observations, because the past says nothing about the future: the destination is unreachable, requests a
    /// wait, or has just recovered.
    pub fn reset(&mut self) {
        *self = Backlog::default();
    }

    /// Estimates the minimum waits of messages for a relay. `rate` is the permitted rate of calls per second if it is known;
    /// otherwise the observed rate of starts is used.
    pub fn minimum_waits(&self, now: Micros, relay: Peer, rate: Option<f64>) -> MinimumWaits {
        let observed = (self.starts >= MIN_STARTS && self.busy_us > 0.0)
            .then(|| self.starts * SECOND as f64 / self.busy_us.max(1.0));
        let (Some(rate), Some(window)) =
            (rate.or(observed).filter(|rate| *rate > 0.0), self.observed_window(now))
        else {
            return MinimumWaits::default();
        };
        let counts = self.counts_for(now, relay);
        let (mut ahead, mut arrivals, mut lasted) = (0.0, 0.0, 0.0);
        let mut levels: Vec<PriorityWait> = Vec::new();
        for (priority, flow) in self.levels.iter().rev().filter(|(_, flow)| flow.waiting_since.is_some()) {
            // Messages of the same priority that arrive later queue behind its last one.
            let first = minimum_steps(ahead, arrivals / window, rate, window, lasted);
            ahead += counts.get(priority).copied().unwrap_or(0.0);
            levels.push((*priority, first, minimum_steps(ahead, arrivals / window, rate, window, lasted)));
            arrivals += flow.arrivals;
            lasted = (now - flow.waiting_since.unwrap_or(now)) as f64 / SECOND as f64;
        }
        MinimumWaits::from_levels(merge_levels(levels))
    }

    /// Number of waiting messages at all relays, by priority.
    pub fn waiting_by_priority(&self, now: Micros) -> BTreeMap<u16, f64> {
        let mut counts = BTreeMap::new();
        for (priority, count) in self.valid_reports(now).flat_map(|(_, report)| &report.waiting) {
            *counts.entry(*priority).or_default() += f64::from(*count);
        }
        counts
    }

    fn valid_reports(&self, now: Micros) -> impl Iterator<Item = (&Peer, &RelayReport)> {
        self.reports.iter().filter(move |(_, report)| now - report.at < REPORT_VALID_US)
    }

    /// Number of waiting messages by priority, as they count for `relay`: every other relay's queue counts up to its bounded
    /// share only.
    fn counts_for(&self, now: Micros, relay: Peer) -> BTreeMap<u16, f64> {
        let sum =
            |report: &RelayReport| report.waiting.iter().map(|(_, count)| u32::from(*count)).sum::<u32>();
        let total: u32 = self.valid_reports(now).map(|(_, report)| sum(report)).sum();
        let mut counts = BTreeMap::new();
        for (peer, report) in self.valid_reports(now) {
            let own = sum(report);
            let most = if *peer == relay { own } else { MIN_COUNTED.max((total - own) / 2) };
            let fraction = f64::from(own.min(most)) / f64::from(own.max(1));
            for (priority, count) in &report.waiting {
                *counts.entry(*priority).or_default() += f64::from(*count) * fraction;
            }
        }
        counts
    }

    fn add_arrivals(&mut self, priority: u16, count: f64) {
        if self.levels.len() < MAX_PRIORITIES || self.levels.contains_key(&priority) {
            self.levels.entry(priority).or_default().arrivals += count;
        }
    }

    /// Effective length of the window that the decayed counts cover, in seconds; `None` if it is too short to estimate a rate.
    fn observed_window(&self, now: Micros) -> Option<f64> {
        let (followed, window) = ((now - self.first_update?) as f64, RATE_WINDOW_US as f64);
        let span = window * (1.0 - (-followed / window).exp());
        (followed >= SECOND as f64 / 2.0).then_some(span / SECOND as f64)
    }

    /// Advances to `now`: decays the counts and drops expired reports.
    fn advance(&mut self, now: Micros) {
        self.first_update.get_or_insert(now);
        let span = (now - self.last_update).max(0) as f64;
        let any_waiting = self.valid_reports(now).any(|(_, report)| !report.waiting.is_empty());
        if self.last_update > 0 {
            let decay = (-span / RATE_WINDOW_US as f64).exp();
            self.levels.values_mut().for_each(|flow| flow.arrivals *= decay);
            // While nothing waits, no start can be observed, so the rate of starts does not decay.
            if any_waiting {
                (self.starts, self.busy_us) =
                    (self.starts * decay, self.busy_us * decay + RATE_WINDOW_US as f64 * (1.0 - decay));
            }
        }
        self.last_update = self.last_update.max(now);
        for report in self
            .reports
            .extract_if(.., |_, report| now - report.at >= REPORT_VALID_US)
            .map(|(_, report)| report)
            .collect::<Vec<_>>()
        {
            report
                .waiting
                .iter()
                .for_each(|(priority, count)| self.add_arrivals(*priority, -f64::from(*count)));
        }
    }

    /// Updates, for each priority, the time since which something waits, and drops priorities without messages.
    fn update_waiting_since(&mut self, now: Micros) {
        let counts = self.waiting_by_priority(now);
        let highest = counts.keys().next_back().copied();
        for (priority, flow) in &mut self.levels {
            flow.waiting_since =
                highest.filter(|highest| highest >= priority).map(|_| flow.waiting_since.unwrap_or(now));
        }
        self.levels
            .retain(|priority, flow| flow.arrivals.abs() > NEGLIGIBLE_COUNT || counts.contains_key(priority));
    }
}

/// Number of steps after which all messages ahead may have started at the earliest, with the margin of
/// [`MARGIN_DEVIATIONS`].
///
/// `ahead` messages start at `rate` per second. More of a higher priority arrive at `arrival_rate` per second; they are
/// expected to go on for as long as messages have waited without a break, `lasted` seconds. Both rates were observed over
/// `window` seconds. Arrivals and starts are taken as Poisson processes: over a span their number has the variance
/// `rate * span`, and a rate estimated from exponentially decayed counts adds `rate * span² / (2 * window)`.
fn minimum_steps(ahead: f64, arrival_rate: f64, rate: f64, window: f64, lasted: f64) -> u8 {
    let may_have_started = |steps: &u8| {
        let span = f64::from(*steps) * STEP_US as f64 / SECOND as f64;
        let arrival_span = span.min(lasted);
        let chance = arrival_rate.abs() * arrival_span + rate * span;
        let uncertainty =
            (arrival_rate.abs() * arrival_span * arrival_span + rate * span * span) / (2.0 * window);
        ahead + arrival_rate * arrival_span - rate * span <= MARGIN_DEVIATIONS * (chance + uncertainty).sqrt()
    };
    if ahead <= 0.0 { 0 } else { (0..=MAX_STEPS).find(may_have_started).unwrap_or(MAX_STEPS) }
}

/// Reduces the list to [`MAX_LEVELS`] priorities. Of two neighbours with the most similar waits the higher priority stands for
/// both.
fn merge_levels(mut levels: Vec<PriorityWait>) -> Vec<PriorityWait> {
    while levels.len() > MAX_LEVELS {
        let nearest = (1..levels.len()).min_by_key(|n| levels[*n].2.abs_diff(levels[*n - 1].2)).unwrap_or(0);
        levels.remove(nearest);
    }
    levels
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Micros = 1000;

    /// One destination and a few relays. Charges (priority 3000) and updates (priority 1000) arrive at fixed rates, and calls
    /// start at a fixed rate, highest priority first.
    struct Simulation {
        now: Micros,
        queues: Vec<Vec<u16>>,
        backlog: Backlog,
        due: [f64; 3],
    }

    impl Simulation {
        fn new(relays: usize) -> Self {
            Simulation {
                now: SECOND,
                queues: vec![vec![]; relays],
                backlog: Backlog::default(),
                due: [0.0; 3],
            }
        }

        fn run(&mut self, seconds: f64, [charges, updates, starts]: [f64; 3]) {
            for n in 0..(seconds * 100.0) as usize {
                self.now += 10 * MS;
                for (due, rate) in self.due.iter_mut().zip([charges, updates, starts]) {
                    *due += rate / 100.0;
                }
                let relay = n % self.queues.len();
                for (kind, priority) in [(0, 3000), (1, 1000)] {
                    while self.due[kind] >= 1.0 {
                        self.due[kind] -= 1.0;
                        self.queues[relay].push(priority);
                        self.report(relay);
                    }
                }
                while self.due[2] >= 1.0 {
                    self.due[2] -= 1.0;
                    let best = (0..self.queues.len()).max_by_key(|n| self.queues[*n].iter().max().copied());
                    let Some((relay, priority)) = best.and_then(|n| Some((n, *self.queues[n].iter().max()?)))
                    else {
                        break;
                    };
                    let at = self.queues[relay].iter().position(|w| *w == priority);
                    at.map(|at| self.queues[relay].remove(at));
                    self.backlog.record_start(self.now, relay as Peer);
                }
                if n % 30 == 0 {
                    (0..self.queues.len()).for_each(|relay| self.report(relay));
                }
            }
        }

        fn report(&mut self, relay: usize) {
            let count =
                |priority| self.queues[relay].iter().filter(|w| **w == priority).count().min(255) as u8;
            let waiting: Vec<(u16, u8)> =
                [3000, 1000].map(|w| (w, count(w))).into_iter().filter(|t| t.1 > 0).collect();
            self.backlog.update(self.now, relay as Peer, &waiting);
        }

        fn wait(&self, priority: u16, fraction: f64) -> f64 {
            self.backlog.minimum_waits(self.now, 0, None).wait_at(priority, fraction) as f64 / SECOND as f64
        }
    }

    #[test]
    fn no_wait_if_calls_start_as_fast_as_messages_arrive() {
        let mut simulation = Simulation::new(4);
        simulation.run(20.0, [4.0, 8.0, 15.0]);
        assert_eq!(simulation.wait(1000, 1.0), 0.0);
    }

    #[test]
    fn lower_priority_starves_if_higher_priority_uses_the_whole_rate() {
        let mut simulation = Simulation::new(4);
        simulation.run(10.0, [20.0, 10.0, 15.0]);
        let first = simulation.wait(1000, 0.0);
        assert!(first >= 10.0, "50 messages are ahead, and 5 more arrive per second: {first}");
        assert_eq!(simulation.wait(3000, 0.0), 0.0);
        let last = simulation.wait(3000, 1.0);
        assert!((1.0..12.0).contains(&last), "50 messages are ahead: {last}");
    }

    #[test]
    fn long_queue_that_stops_growing_gives_a_bounded_wait() {
        let mut simulation = Simulation::new(4);
        simulation.run(6.0, [0.0, 30.0, 15.0]);
        simulation.run(6.0, [0.0, 15.0, 15.0]);
        let last = simulation.wait(1000, 1.0);
        assert!((2.5..12.0).contains(&last), "about 90 messages are ahead, at 15 per second: {last}");
        simulation.run(20.0, [0.0, 0.0, 15.0]);
        assert_eq!(simulation.wait(1000, 1.0), 0.0, "the queue has drained");
    }

    #[test]
    fn no_wait_is_estimated_before_starts_are_observed_or_after_a_reset() {
        let mut simulation = Simulation::new(2);
        simulation.run(2.0, [0.0, 40.0, 0.0]);
        assert!(simulation.backlog.minimum_waits(simulation.now, 0, None).is_zero(), "no call has started");
        simulation.run(6.0, [0.0, 40.0, 15.0]);
        assert!(!simulation.backlog.minimum_waits(simulation.now, 0, None).is_zero());
        simulation.backlog.reset();
        assert!(
            simulation.backlog.minimum_waits(simulation.now, 0, None).is_zero(),
            "all observations were discarded"
        );
    }

    #[test]
    fn false_report_of_one_relay_moves_the_waits_of_others_by_a_bounded_share_only() {
        let wait = |false_count: u8| {
            let mut simulation = Simulation::new(4);
            simulation.run(6.0, [0.0, 25.0, 15.0]);
            simulation.backlog.update(simulation.now, 9, &[(9000, false_count)]);
            (simulation.wait(1000, 0.0), simulation.backlog.counts_for(simulation.now, 0).get(&9000).copied())
        };
        let (honest, _) = wait(0);
        let (moved, counted) = wait(255);
        let others = 60.0;
        assert!(honest == 0.0 && moved < 15.0, "{moved}");
        assert!(counted.is_some_and(|counted| counted <= others), "{counted:?}");
    }

    proptest! {
        #[test]
        fn first_message_of_the_highest_priority_has_no_wait(
            rates in prop::array::uniform3(1.0..60.0f64), seconds in 1.0..8.0f64, relays in 1..6usize
        ) {
            let mut simulation = Simulation::new(relays);
            simulation.run(seconds, rates);
            let best = simulation.queues.iter().flatten().max().copied();
            prop_assert!(best.is_none_or(|best| simulation.wait(best, 0.0) == 0.0));
            prop_assert!(simulation.wait(3000, 0.5) <= simulation.wait(1000, 0.5));
        }
    }
}
