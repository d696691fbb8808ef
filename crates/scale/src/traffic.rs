//! Events that relays accept: a Poisson process, spread evenly over relays and by a Zipf distribution over destinations.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

use crate::random::{Purpose, stream};
use crate::scenario::Scenario;
use crate::time::{Micros, seconds};

/// An event that a relay accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// The relay.
    pub relay: u32,
    /// Its destination.
    pub destination: u32,
}

/// The events of a run, one after the other.
#[derive(Debug)]
pub struct Traffic {
    random: ChaCha8Rng,
    popularity: Option<Zipf<f64>>,
    relays: u32,
    events_per_s: f64,
    start: Micros,
    /// Seconds since the start, finer than the clock, so that many events a second keep their rate.
    passed_s: f64,
}

impl Traffic {
    /// The events of a scenario from that moment on; none where it accepts none.
    pub fn new(scenario: &Scenario, seed: u64, now: Micros) -> Option<Self> {
        (scenario.events_per_s > 0.0).then(|| Traffic {
            random: stream(seed, Purpose::Traffic),
            popularity: Zipf::new(f64::from(scenario.destinations), scenario.skew).ok(),
            relays: scenario.relays,
            events_per_s: scenario.events_per_s,
            start: now,
            passed_s: 0.0,
        })
    }

    /// The next event.
    pub fn next_arrival(&mut self) -> Arrival {
        let gap: f64 = Exp1.sample(&mut self.random);
        self.passed_s += gap / self.events_per_s;
        let at = self.start + seconds(self.passed_s);
        let relay = self.random.random_range(0..self.relays.max(1));
        let rank = self.popularity.as_ref().map_or(1.0, |popularity| popularity.sample(&mut self.random));
        Arrival { at, relay, destination: rank as u32 - 1 }
    }
}

/// Events a second for each destination, the most popular first.
pub fn rates(scenario: &Scenario) -> Vec<f64> {
    let weight = |rank: u32| f64::from(rank).powf(-scenario.skew);
    let all: f64 = (1..=scenario.destinations).map(weight).sum();
    (1..=scenario.destinations).map(|rank| scenario.events_per_s * weight(rank) / all).collect()
}

/// The limit of each destination in calls a second: its rate of events with the scenario's headroom.
pub fn limits(scenario: &Scenario) -> Vec<f64> {
    let limit = |rate: f64| (rate * scenario.limit_headroom).max(scenario.least_limit_per_s);
    rates(scenario).into_iter().map(limit).collect()
}
