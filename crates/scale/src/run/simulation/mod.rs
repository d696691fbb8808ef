//! The loop of a run: takes events in the order of their time, and calls each relay when its shell would.

mod calls;
mod lives;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::Peer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use turns::node::PersistedState;

use self::calls::Call;
use self::lives::ALARMS_EVERY;
use super::core::Core;
use super::count::Sent;
use super::delays::DelayHistogram;
use super::detection::Detection;
use super::memory;
use super::relay::{Relay, Setup};
use super::work::{Waiting, Work};
use crate::destinations::{Destinations, exponential};
use crate::network::{Cut, Network};
use crate::progress::Progress;
use crate::queue::EventQueue;
use crate::random::{Purpose, stream};
use crate::scenario::Scenario;
use crate::time::{DAY, Micros, SECOND, in_seconds, seconds};
use crate::traffic::{self, Arrival, Traffic};

/// The simulated moment at which a run starts, as Unix time: cores number their starts by it.
pub(super) const START: Micros = 1_790_000_000 * SECOND;
/// Relays start spread over so long, so that their timers do not go off together; events come from then on, when all are there.
const STARTS_WITHIN: Micros = SECOND;
/// Progress is told so often, in simulated time.
const TELL_EVERY: Micros = SECOND / 10;
/// Bounds are looked at each so many events.
const LOOK_EVERY: u64 = 64;
/// What happens.
#[derive(Debug)]
enum Event {
    /// A relay starts.
    Start(Peer),
    /// A relay's timer goes off.
    Wake(Peer),
    /// A datagram arrives.
    Datagram { to: Peer, bytes: Rc<[u8]> },
    /// A relay accepts an event.
    Arrival(Arrival),
    /// A relay looks again whether a call may start.
    Look { relay: Peer, destination: u32 },
    /// A call that failed is to be tried again.
    Again { relay: Peer, destination: u32, waiting: Waiting },
    /// A call ends.
    Ended(Call),
    /// Some relays are killed at once.
    Kill,
    /// A relay restarts, drawn from all.
    Restart,
    /// A machine fails, drawn from all.
    Failure,
    /// It is looked who knows of deaths.
    LookForDeaths,
    /// It is looked for living relays that are taken for dead.
    LookForAlarms,
}

/// A machine with its relay, if that lives.
#[derive(Debug, Default)]
pub(super) struct Machine {
    pub(super) relay: Option<Relay>,
    pub(super) sent: Sent,
    work: Work,
    life: u32,
    since: Micros,
    wake_at: Micros,
    kept: Option<PersistedState>,
    /// It was killed and does not return.
    killed: bool,
}

/// What was counted beside what relays sent.
#[derive(Debug, Default)]
pub(super) struct Counted {
    pub(super) events: u64,
    pub(super) permit_wait: DelayHistogram,
    pub(super) false_alarms: u64,
    pub(super) turns: u64,
}

/// What a run may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) real_time: Duration,
    /// In bytes.
    pub(super) memory: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It came to its end.
    Whole,
    /// It passed its bound of real time.
    RealTime,
    /// It passed its bound of memory, by having so many bytes.
    Memory(u64),
}

/// A run.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) setup: Rc<Setup>,
    pub(super) machines: Vec<Machine>,
    pub(super) detection: Detection,
    pub(super) counted: Counted,
    network: Network,
    queue: EventQueue<Event>,
    destinations: Destinations,
    traffic: Option<Traffic>,
    limits: Vec<f64>,
    cores: ChaCha8Rng,
    failures: ChaCha8Rng,
    measured_from: Micros,
    until: Micros,
    tell_at: Micros,
    pub(super) began: Instant,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let measured_from = START + seconds(scenario.warm_up_s);
        let limits = traffic::limits(scenario);
        let setup = Setup::new(scenario, limits.clone());
        let works = setup.cores().iter().any(|core| matches!(core, Core::Permits | Core::Observations));
        let mut simulation = Simulation {
            network: network(scenario, seed, measured_from),
            queue: EventQueue::new(START),
            machines: (0..scenario.relays).map(|_| Machine::default()).collect(),
            setup: Rc::new(setup),
            destinations: Destinations::new(scenario, &limits, seed, START),
            traffic: Traffic::new(scenario, seed, START + STARTS_WITHIN).filter(|_| works),
            limits,
            cores: stream(seed, Purpose::Cores),
            failures: stream(seed, Purpose::Failures),
            detection: Detection::default(),
            counted: Counted::default(),
            measured_from,
            until: measured_from + seconds(scenario.seconds),
            tell_at: START,
            began: Instant::now(),
            scenario,
        };
        simulation.plan();
        simulation
    }

    /// Puts what is known from the start into the queue.
    fn plan(&mut self) {
        for peer in (0..self.scenario.relays).filter_map(|peer| Peer::try_from(peer).ok()) {
            let at = START + self.cores.random_range(0..STARTS_WITHIN);
            self.queue.push(at, Event::Start(peer));
        }
        if let Some(kill) = self.scenario.kill {
            self.queue.push(self.measured_from + seconds(kill.at_s), Event::Kill);
        }
        self.plan_restart(START);
        self.plan_failure(START);
        self.plan_arrival();
        if self.scenario.asks() {
            self.queue.push(START + ALARMS_EVERY, Event::LookForAlarms);
        }
    }

    fn plan_restart(&mut self, now: Micros) {
        let day = self.scenario.ordinary_day;
        if let Some(at) = self.next_of(now, day.restarts * day.speed_up) {
            self.queue.push(at, Event::Restart);
        }
    }

    fn plan_failure(&mut self, now: Micros) {
        let day = self.scenario.ordinary_day;
        if let Some(at) = self.next_of(now, day.failures * day.speed_up) {
            self.queue.push(at, Event::Failure);
        }
    }

    /// When the next comes of what comes so many times a day.
    fn next_of(&mut self, now: Micros, a_day: f64) -> Option<Micros> {
        (a_day > 0.0).then(|| now + exponential(&mut self.failures, (DAY as f64 / a_day) as Micros))
    }

    fn plan_arrival(&mut self) {
        if let Some(arrival) = self.traffic.as_mut().map(Traffic::next_arrival) {
            self.queue.push(arrival.at, Event::Arrival(arrival));
        }
    }

    /// Runs to the end, or to one of its bounds.
    pub(super) fn run(&mut self, bounds: Bounds, progress: &mut dyn Progress) -> End {
        for (step, until) in [("warming up", self.measured_from), ("measuring", self.until)] {
            let mut events = 0u64;
            while let Some((now, event)) = self.queue.pop_until(until) {
                self.happens(now, event);
                events += 1;
                if events.is_multiple_of(LOOK_EVERY)
                    && let Some(end) = self.beyond(bounds)
                {
                    return end;
                }
                if now >= self.tell_at {
                    self.tell_at = now + TELL_EVERY;
                    progress.reached(in_seconds(now - START) / in_seconds(self.until - START), step);
                }
            }
            if until == self.measured_from {
                self.forget();
            }
        }
        End::Whole
    }

    /// The bound that the run has passed.
    fn beyond(&self, bounds: Bounds) -> Option<End> {
        let allocated = memory::allocated();
        if allocated > bounds.memory {
            return Some(End::Memory(allocated));
        }
        (self.began.elapsed() > bounds.real_time).then_some(End::RealTime)
    }

    /// Forgets what was counted in the warm-up.
    fn forget(&mut self) {
        self.setup.meter.reset();
        self.counted = Counted::default();
        self.detection.delays = DelayHistogram::default();
        self.machines.iter_mut().for_each(|machine| machine.sent = Sent::default());
    }

    /// Simulated seconds that were measured so far.
    pub(super) fn measured_s(&self) -> f64 {
        in_seconds((self.queue.now() - self.measured_from).max(0))
    }

    fn happens(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start(peer) => self.start(now, peer),
            Event::Wake(peer) => {
                if self.machine(peer).is_some_and(|machine| machine.wake_at == now) {
                    self.poll(now, peer);
                }
            }
            Event::Datagram { to, bytes } => {
                if let Some(relay) = self.relay(to) {
                    relay.receive(now, &bytes);
                    self.poll(now, to);
                }
            }
            Event::Arrival(arrival) => self.arrives(now, arrival),
            Event::Look { relay, destination } => self.serve(now, relay, VecDeque::from([destination])),
            Event::Again { relay, destination, waiting } => self.wait(now, relay, destination, waiting),
            Event::Ended(call) => self.ended(now, call),
            Event::Kill => self.kill(now),
            Event::Restart => self.restart(now),
            Event::Failure => self.fail(now),
            Event::LookForDeaths => self.look_for_deaths(now),
            Event::LookForAlarms => self.look_for_alarms(now),
        }
    }

    fn machine(&mut self, peer: Peer) -> Option<&mut Machine> {
        self.machines.get_mut(usize::from(peer))
    }

    fn relay(&mut self, peer: Peer) -> Option<&mut Relay> {
        self.machine(peer)?.relay.as_mut()
    }

    /// Sends what a relay has to say, sets its timer, and serves what coordinators granted.
    fn poll(&mut self, now: Micros, peer: Peer) {
        let granted = self.say(now, peer);
        if !granted.is_empty() {
            self.serve(now, peer, granted.into());
        }
    }

    /// Sends what a relay has to say and sets its timer; the destinations of which it was granted something.
    fn say(&mut self, now: Micros, peer: Peer) -> Vec<u32> {
        let Some(machine) = self.machines.get_mut(usize::from(peer)) else { return Vec::new() };
        let Some(relay) = &mut machine.relay else { return Vec::new() };
        let polled = relay.poll(now);
        if machine.wake_at != polled.next {
            machine.wake_at = polled.next;
            self.queue.push(polled.next, Event::Wake(peer));
        }
        let mut granted = Vec::new();
        for given in polled.given {
            if let Ok(destination) = u32::try_from(given.destination) {
                machine.work.heard(now, destination, given.grants);
                granted.push(destination);
            }
        }
        let alone = match self.setup.cores().as_slice() {
            [core] => Some(*core),
            _ => None,
        };
        for out in polled.out {
            match alone {
                Some(core) => machine.sent.add_all(core, &out.bytes),
                None => machine.sent.add(self.setup.keys(), &out.bytes),
            }
            let bytes: Rc<[u8]> = out.bytes.into();
            for at in self.network.arrivals(now, u32::from(peer), u32::from(out.to)) {
                self.queue.push(at, Event::Datagram { to: out.to, bytes: Rc::clone(&bytes) });
            }
        }
        if polled.goes_out {
            self.counted.turns += 1;
            self.stop(now, peer, Some(seconds(self.scenario.ordinary_day.restart_s)));
        }
        granted
    }
}

/// The network of a scenario; its cuts count from the end of the warm-up.
fn network(scenario: &Scenario, seed: u64, measured_from: Micros) -> Network {
    let mut network = Network::new(scenario.topology(), scenario.network, seed);
    for Cut { from, until, kind } in scenario.cuts.iter().cloned() {
        network.cut(Cut { from: from + measured_from, until: until + measured_from, kind });
    }
    network
}
