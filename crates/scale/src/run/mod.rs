//! One run of a scenario: many hollow relays on a simulated network, in simulated time.

mod meter;
mod relay;

use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::Peer;
use rand::Rng;

use self::meter::Meter;
use self::relay::Relay;
use crate::measurement::{Measurement, Role, RoleCost};
use crate::network::Network;
use crate::progress::Progress;
use crate::queue::EventQueue;
use crate::random::{Purpose, stream};
use crate::scenario::{Scenario, ScenarioError};
use crate::time::{Micros, SECOND, in_seconds, seconds};

/// The simulated moment at which a run starts, as Unix time: cores number their starts by it.
const START: Micros = 1_790_000_000 * SECOND;
/// Relays start spread over so long, so that their timers do not go off together.
const STARTS_WITHIN: Micros = SECOND;
/// The real time is looked at, and progress told, each so many events.
const LOOK_EVERY: u64 = 4096;

/// Why a run gave no whole measurement.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario makes no sense.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A role is not run by this harness.
    #[error("the role {0:?} is not run by `scale run`")]
    Role(Role),
    /// The run would need more memory than half of what the machine has.
    #[error("it would need about {needed_mb} MB of memory, more than half of the machine's ({bound_mb} MB)")]
    Memory {
        /// Megabytes that it needs, as estimated.
        needed_mb: u64,
        /// Half of the machine's, in megabytes.
        bound_mb: u64,
    },
    /// The real-time bound ended the run.
    #[error("partial: ended by its bound of {bound_s} s of real time after {} of {wanted_s} simulated seconds", measurement.simulated_s)]
    Partial {
        /// The bound, in seconds.
        bound_s: f64,
        /// Seconds that were to be measured.
        wanted_s: f64,
        /// What was measured until then; no time was where the warm-up did not end.
        measurement: Box<Measurement>,
    },
}

/// Runs a scenario. The same scenario and seed give the same counts of messages and bytes.
///
/// # Errors
/// Where the scenario is not to be run, or its real-time bound ended it.
pub fn run(scenario: &Scenario, seed: u64, progress: &mut dyn Progress) -> Result<Measurement, RunError> {
    scenario.check()?;
    if let Some(role) = scenario.roles.iter().find(|role| **role != Role::Member) {
        return Err(RunError::Role(*role));
    }
    let mut simulation = Simulation::new(scenario, seed);
    let bound = Duration::try_from_secs_f64(scenario.real_time_limit_s).unwrap_or(Duration::MAX);
    let whole = simulation.run(bound, progress);
    let measurement = simulation.measurement();
    if whole {
        return Ok(measurement);
    }
    Err(RunError::Partial {
        bound_s: scenario.real_time_limit_s,
        wanted_s: scenario.seconds,
        measurement: Box::new(measurement),
    })
}

/// What happens.
#[derive(Debug)]
enum Event {
    /// A relay starts.
    Start(Peer),
    /// A relay's timer goes off.
    Wake(Peer),
    /// A datagram arrives.
    Datagram { to: Peer, bytes: Rc<[u8]> },
}

/// A relay, and when its timer goes off.
#[derive(Debug, Default)]
struct Machine {
    relay: Option<Relay>,
    wake_at: Micros,
    messages: u64,
    bytes: u64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    network: Network,
    queue: EventQueue<Event>,
    machines: Vec<Machine>,
    meter: Rc<Meter>,
    measured_from: Micros,
    until: Micros,
    began: Instant,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let measured_from = START + seconds(scenario.warm_up_s);
        let mut network = Network::new(scenario.topology(), scenario.network, seed);
        for cut in &scenario.cuts {
            let (from, until) = (cut.from + measured_from, cut.until + measured_from);
            network.cut(crate::network::Cut { from, until, kind: cut.kind.clone() });
        }
        let mut queue = EventQueue::new(START);
        let mut starts = stream(seed, Purpose::Cores);
        for peer in (0..scenario.relays).filter_map(|peer| Peer::try_from(peer).ok()) {
            queue.push(START + starts.random_range(0..STARTS_WITHIN), Event::Start(peer));
        }
        Simulation {
            scenario,
            seed,
            network,
            queue,
            machines: (0..scenario.relays).map(|_| Machine::default()).collect(),
            meter: Rc::new(Meter::default()),
            measured_from,
            until: measured_from + seconds(scenario.seconds),
            began: Instant::now(),
        }
    }

    /// Runs to the end; whether it came there within the bound.
    fn run(&mut self, bound: Duration, progress: &mut dyn Progress) -> bool {
        for (step, until) in [("warming up", self.measured_from), ("measuring", self.until)] {
            let mut events = 0u64;
            while let Some((now, event)) = self.queue.pop_until(until) {
                self.happens(now, event);
                events += 1;
                if events.is_multiple_of(LOOK_EVERY) {
                    if self.began.elapsed() > bound {
                        return false;
                    }
                    progress.reached(in_seconds(now - START) / in_seconds(self.until - START), step);
                }
            }
            if until == self.measured_from {
                self.reset();
            }
        }
        true
    }

    /// Forgets what was counted in the warm-up.
    fn reset(&mut self) {
        self.meter.reset();
        self.machines.iter_mut().for_each(|machine| (machine.messages, machine.bytes) = (0, 0));
    }

    fn happens(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start(peer) => {
                let relay = Relay::new(peer, self.scenario, now, Rc::clone(&self.meter));
                if let Some(machine) = self.machines.get_mut(usize::from(peer)) {
                    machine.relay = Some(relay);
                }
                self.poll(now, peer);
            }
            Event::Wake(peer) => {
                if self.machines.get(usize::from(peer)).is_some_and(|machine| machine.wake_at == now) {
                    self.poll(now, peer);
                }
            }
            Event::Datagram { to, bytes } => {
                let relay = self.machines.get_mut(usize::from(to)).and_then(|machine| machine.relay.as_mut());
                if let Some(relay) = relay {
                    relay.receive(now, &bytes);
                    self.poll(now, to);
                }
            }
        }
    }

    /// Sends what a relay has to say, and sets its timer.
    fn poll(&mut self, now: Micros, peer: Peer) {
        let Some(machine) = self.machines.get_mut(usize::from(peer)) else { return };
        let Some(relay) = &mut machine.relay else { return };
        let polled = relay.poll(now);
        if machine.wake_at != polled.next {
            machine.wake_at = polled.next;
            self.queue.push(polled.next, Event::Wake(peer));
        }
        for out in polled.out {
            machine.messages += 1;
            machine.bytes += out.bytes.len() as u64;
            let bytes: Rc<[u8]> = out.bytes.into();
            for at in self.network.arrivals(now, u32::from(peer), u32::from(out.to)) {
                self.queue.push(at, Event::Datagram { to: out.to, bytes: Rc::clone(&bytes) });
            }
        }
    }

    fn measurement(&self) -> Measurement {
        let scenario = self.scenario;
        let simulated_s = in_seconds((self.queue.now() - self.measured_from).max(0));
        Measurement {
            relays: scenario.relays,
            destinations: scenario.destinations,
            share_down: scenario.share_down,
            events_per_s: scenario.events_per_s,
            changes_per_day: scenario.changes_per_day,
            seed: self.seed,
            simulated_s,
            real_s: self.began.elapsed().as_secs_f64(),
            roles: vec![self.cost(Role::Member, simulated_s)],
            detection: Default::default(),
            in_force: Default::default(),
            events: 0,
            permit_wait: Default::default(),
            undetected: 0,
            false_alarms: 0,
            speed_up: scenario.ordinary_day.speed_up,
        }
    }

    fn cost(&self, role: Role, simulated_s: f64) -> RoleCost {
        let machines = self.scenario.relays;
        let messages = self.machines.iter().map(|machine| machine.messages).sum();
        let bytes = self.machines.iter().map(|machine| machine.bytes).sum();
        let busiest = self.machines.iter().map(|machine| machine.bytes).max().unwrap_or(0);
        let rate = |count: u64| if simulated_s > 0.0 { count as f64 / simulated_s } else { 0.0 };
        let each = f64::from(machines.max(1));
        RoleCost {
            role,
            machines,
            messages,
            bytes,
            bytes_per_s: rate(bytes) / each,
            peak_bytes_per_s: rate(busiest),
            messages_per_s: rate(messages) / each,
            cores: rate(self.meter.total_ns()) / 1e9 / each,
            memory_bytes: 0.0,
        }
    }
}
