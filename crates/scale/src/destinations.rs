//! Simulated destinations: up and down for exponential spans, each with a limit of calls a second, each answering after a
//! while.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::queue::EventQueue;
use crate::random::{Purpose, stream};
use crate::scenario::Scenario;
use crate::time::{MILLISECOND, Micros, SECOND, seconds};

/// Spans and answers take no less than this, so that time passes.
const LEAST_SPAN: Micros = MILLISECOND / 10;
/// Calls of so long at its limit a destination takes at once.
const BURST_S: f64 = 1.0;

/// What a call meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is answered well.
    Well,
    /// The destination is down.
    Failed,
    /// The destination has had as many calls as it takes.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Destination {
    up: bool,
    limit_per_s: f64,
    /// Calls that it takes at once, as of `counted`.
    allowance: f64,
    counted: Micros,
}

/// All destinations of a run.
#[derive(Debug)]
pub struct Destinations {
    all: Vec<Destination>,
    /// Destinations that fail or return next.
    turns: EventQueue<usize>,
    down: usize,
    mean_down: Micros,
    mean_up: Micros,
    mean_answer: Micros,
    spans: ChaCha8Rng,
    answers: ChaCha8Rng,
}

impl Destinations {
    /// Destinations of a scenario from that moment on, of which its share is down already.
    pub fn new(scenario: &Scenario, limits_per_s: &[f64], seed: u64, now: Micros) -> Self {
        let mean_down = seconds(scenario.mean_down_s);
        let up_for_each_down = (1.0 - scenario.share_down) / scenario.share_down;
        let destination = |limit: &f64| Destination {
            up: true,
            limit_per_s: *limit,
            allowance: (limit * BURST_S).max(1.0),
            counted: now,
        };
        let mut destinations = Destinations {
            all: limits_per_s.iter().map(destination).collect(),
            turns: EventQueue::new(now),
            down: 0,
            mean_down,
            mean_up: (mean_down as f64 * up_for_each_down) as Micros,
            mean_answer: (scenario.answer_ms * MILLISECOND as f64) as Micros,
            spans: stream(seed, Purpose::Destinations),
            answers: stream(seed, Purpose::Answers),
        };
        destinations.begin(now, scenario.share_down);
        destinations
    }

    /// Draws which are down at first. A span that is exponential goes on from any moment as from its start.
    fn begin(&mut self, now: Micros, share_down: f64) {
        for place in 0..self.all.len() {
            let up = self.spans.random::<f64>() >= share_down;
            self.down += usize::from(!up);
            if let Some(destination) = self.all.get_mut(place) {
                destination.up = up;
            }
            if share_down > 0.0 && share_down < 1.0 {
                let span = self.span(up);
                self.turns.push(now + span, place);
            }
        }
    }

    fn span(&mut self, up: bool) -> Micros {
        let mean = if up { self.mean_up } else { self.mean_down };
        exponential(&mut self.spans, mean)
    }

    /// Lets destinations fail and return that are to do so by now.
    pub fn advance(&mut self, now: Micros) {
        while let Some((at, place)) = self.turns.pop_until(now) {
            let Some(destination) = self.all.get_mut(place) else { continue };
            destination.up = !destination.up;
            let up = destination.up;
            self.down = if up { self.down.saturating_sub(1) } else { self.down + 1 };
            let span = self.span(up);
            self.turns.push(at + span, place);
        }
    }

    /// The part of destinations that is down, 0 to 1.
    pub fn share_down(&self) -> f64 {
        self.down as f64 / self.all.len().max(1) as f64
    }

    /// Whether a destination is up.
    pub fn is_up(&self, place: u32) -> bool {
        self.all.get(place as usize).is_some_and(|destination| destination.up)
    }

    /// A call starts: what it meets, and after how long.
    pub fn call(&mut self, now: Micros, place: u32) -> (Answer, Micros) {
        let took = exponential(&mut self.answers, self.mean_answer);
        let Some(destination) = self.all.get_mut(place as usize) else { return (Answer::Failed, took) };
        (destination.take(now), took)
    }
}

impl Destination {
    fn take(&mut self, now: Micros) -> Answer {
        if !self.up {
            return Answer::Failed;
        }
        let passed = (now - self.counted) as f64 / SECOND as f64;
        let most = (self.limit_per_s * BURST_S).max(1.0);
        self.allowance = (self.allowance + passed * self.limit_per_s).min(most);
        self.counted = now;
        if self.allowance < 1.0 {
            return Answer::Refused;
        }
        self.allowance -= 1.0;
        Answer::Well
    }
}

/// A span that is exponentially distributed about a mean.
pub(crate) fn exponential(random: &mut ChaCha8Rng, mean: Micros) -> Micros {
    let span: f64 = Exp1.sample(random);
    ((span * mean as f64) as Micros).max(LEAST_SPAN)
}
