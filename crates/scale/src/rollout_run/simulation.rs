//! The loop of a run: takes events in the order of their time, and calls each machine when its shell would.

mod day;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use consensus::NodeId;
use destinations::{Operation, SignedChange, Version};
use fleet::Peer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::author::{self, copy};
use super::check::{Check, DelayHistogram};
use super::cost::{Meter, Traffic};
use super::machine::{Disk, Process, Setup, node_id};
use super::scenario::{RolloutScenario, RolloutScenarioError};
use crate::network::{Cut, CutKind, Network, NodeSet};
use crate::progress::Progress;
use crate::queue::EventQueue;
use crate::random::{Purpose, stream};
use crate::time::{MILLISECOND, Micros, SECOND, in_seconds, seconds};

/// The simulated moment at which a run starts, as Unix time.
const START: Micros = 1_790_000_000 * SECOND;
/// Machines start spread over so long.
const STARTS_WITHIN: Micros = SECOND;
/// Changes that are proposed together at the most.
const MOST_PROPOSED: usize = 128;
/// A change that is not committed within so long is proposed again.
const PROPOSAL_TIMEOUT: Micros = 2 * SECOND;
/// Where there is no leader, it is looked again after so long.
const LEADER_RETRY: Micros = 100 * MILLISECOND;
/// A shell's timer goes by whole milliseconds.
const TIMER_STEP: Micros = MILLISECOND;
/// The real time is looked at, and progress told, each so many events.
const LOOK_EVERY: u64 = 4096;

/// What happens.
#[derive(Debug)]
enum Event {
    Start(Peer),
    /// A machine's timer goes off.
    Wake(Peer),
    Datagram {
        to: Peer,
        bytes: Rc<[u8]>,
    },
    /// A message between control machines.
    Raft {
        from: NodeId,
        to: Peer,
        bytes: Rc<[u8]>,
    },
    /// Operators make a change.
    Change,
    /// The change that waits is to be proposed.
    Propose,
    /// A relay restarts, drawn from all.
    Restart,
    /// A relay fails, drawn from all.
    RelayFailure,
    /// A relay is replaced by one with an empty disk, drawn from all.
    Replacement,
    /// A control machine fails.
    ControlFailure(Peer),
    /// The cut of that number ends.
    Healed,
    /// A step of a day with a one-off event.
    Day(day::Step),
}

/// A machine of the run.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) process: Option<Process>,
    disk: Disk,
    pub(super) traffic: Traffic,
    wake_at: Micros,
    pub(super) version: Version,
    /// What it has to reach to have caught up after its start, and when it started.
    catching_up: Option<(Version, Micros)>,
}

/// A proposal that is not committed yet.
#[derive(Clone, Copy, Debug)]
struct Proposal {
    version: Version,
    at: Micros,
}

/// Machines that are to become equal after the end of a cut.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heal {
    at: Micros,
    target: Version,
}

/// A run.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a RolloutScenario,
    setup: Rc<Setup>,
    pub(super) machines: Vec<Machine>,
    pub(super) network: Network,
    queue: EventQueue<Event>,
    pub(super) check: Check,
    random: ChaCha8Rng,
    failures: ChaCha8Rng,
    made: u32,
    waiting: VecDeque<(Micros, Vec<Operation>)>,
    proposal: Option<Proposal>,
    pub(super) heals: Vec<Heal>,
    pub(super) equal_after_heal: DelayHistogram,
    pub(super) caught_up: DelayHistogram,
    pub(super) restarts: u64,
    pub(super) failed: u64,
    pub(super) replaced: u64,
    pub(super) most_subscribers: usize,
    pub(super) relay_meter: Meter,
    pub(super) control_meter: Meter,
    pub(super) measured_from: Micros,
    until: Micros,
    pub(super) began: Instant,
    pub(super) day: Option<day::Watch>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(scenario: &'a RolloutScenario, seed: u64) -> Result<Self, RolloutScenarioError> {
        let (base, newest) = author::base(scenario.destinations);
        let controls = scenario.control_zones.len();
        let setup = Setup {
            topology: scenario.rollout_topology()?.into(),
            control_keys: author::control_keys(controls),
            relays: scenario.relays,
            controls,
            signed: scenario.signed,
            seed,
        };
        let measured_from = START + seconds(scenario.warm_up_s);
        let until = measured_from + seconds(scenario.changing_s() + scenario.settle_s);
        let mut network = Network::new(scenario.network_topology(), scenario.network, seed);
        for cut in absolute(&scenario.cuts, measured_from) {
            network.cut(cut);
        }
        let machine = |_| Machine {
            process: None,
            disk: Disk {
                set: Some(author::copy(&base)),
                newest: Some(newest.clone()),
                raft: Default::default(),
            },
            traffic: Traffic::default(),
            wake_at: Micros::MAX,
            version: base.version(),
            catching_up: None,
        };
        let mut simulation = Simulation {
            machines: (0..scenario.relays as usize + controls).map(machine).collect(),
            setup: Rc::new(setup),
            network,
            queue: EventQueue::new(START),
            check: Check::new(&base),
            random: stream(seed, Purpose::Changes),
            failures: stream(seed, Purpose::Failures),
            made: 0,
            waiting: VecDeque::new(),
            proposal: None,
            heals: Vec::new(),
            equal_after_heal: DelayHistogram::default(),
            caught_up: DelayHistogram::default(),
            restarts: 0,
            failed: 0,
            replaced: 0,
            most_subscribers: 0,
            relay_meter: Meter::new(),
            control_meter: Meter::new(),
            measured_from,
            until,
            began: Instant::now(),
            day: None,
            scenario,
        };
        simulation.plan();
        Ok(simulation)
    }

    /// Puts what is known from the start into the queue.
    fn plan(&mut self) {
        for peer in (0..self.machines.len()).filter_map(|peer| Peer::try_from(peer).ok()) {
            let at = START + self.failures.random_range(0..STARTS_WITHIN);
            self.queue.push(at, Event::Start(peer));
        }
        let span = seconds(self.scenario.changing_s()).max(1);
        let failures = self.scenario.failures;
        for _ in 0..failures.restarts {
            let at = self.measured_from + self.failures.random_range(0..span);
            self.queue.push(at, Event::Restart);
        }
        for _ in 0..failures.relay_failures {
            let at = self.measured_from + self.failures.random_range(0..span);
            self.queue.push(at, Event::RelayFailure);
        }
        for _ in 0..failures.replacements {
            let at = self.measured_from + self.failures.random_range(0..span);
            self.queue.push(at, Event::Replacement);
        }
        for number in 0..failures.control_failures {
            let at = self.measured_from
                + span * Micros::from(2 * number + 1) / Micros::from(2 * failures.control_failures);
            let control = self.scenario.relays as usize + number as usize % self.setup.controls;
            self.queue.push(at, Event::ControlFailure(control as Peer));
        }
        for cut in absolute(&self.scenario.cuts, self.measured_from) {
            self.queue.push(cut.until, Event::Healed);
        }
        self.plan_change();
    }

    /// Runs to the end; whether it came there within the bound of real time.
    pub(super) fn run(&mut self, bound: Duration, progress: &mut dyn Progress) -> bool {
        for (step, until) in [("warming up", self.measured_from), ("changing", self.until)] {
            let mut events = 0u64;
            while let Some((now, event)) = self.queue.pop_until(until) {
                self.happens(now, event);
                if self.is_day_over() {
                    return true;
                }
                events += 1;
                if events.is_multiple_of(LOOK_EVERY) {
                    progress.reached(in_seconds(now - START) / in_seconds(self.until - START), step);
                    if self.began.elapsed() > bound {
                        return false;
                    }
                }
            }
            if until == self.measured_from {
                self.forget();
            }
        }
        true
    }

    /// The simulated time.
    pub(super) fn now(&self) -> Micros {
        self.queue.now()
    }

    /// Forgets what was counted in the warm-up.
    fn forget(&mut self) {
        self.check.forget();
        self.relay_meter.reset();
        self.control_meter.reset();
        self.caught_up = DelayHistogram::default();
        self.machines.iter_mut().for_each(|machine| machine.traffic = Traffic::default());
    }

    fn happens(&mut self, now: Micros, event: Event) {
        match event {
            Event::Start(peer) => self.start(now, peer),
            Event::Wake(peer) => {
                if self.machines[usize::from(peer)].wake_at == now {
                    self.poll(now, peer);
                }
            }
            Event::Datagram { to, bytes } => self.receive(now, to, &bytes),
            Event::Raft { from, to, bytes } => self.receive_raft(now, from, to, &bytes),
            Event::Change => self.make_change(now),
            Event::Propose => self.propose(now),
            Event::Restart => {
                self.restarts += 1;
                let away = seconds(self.scenario.failures.restart_s);
                self.stop_any_relay(now, away);
            }
            Event::RelayFailure => {
                self.failed += 1;
                let away = seconds(self.scenario.failures.repair_s);
                self.stop_any_relay(now, away);
            }
            Event::Replacement => {
                self.restarts += 1;
                let away = seconds(self.scenario.failures.restart_s);
                if let Some(relay) = self.stop_any_relay(now, away) {
                    let machine = &mut self.machines[usize::from(relay)];
                    (machine.disk.set, machine.disk.newest) = (None, None);
                    machine.version = Version::default();
                }
            }
            Event::ControlFailure(peer) => {
                self.failed += 1;
                let away = seconds(self.scenario.failures.repair_s);
                self.stop(now, peer, away);
            }
            Event::Day(step) => self.day_step(now, step),
            Event::Healed => self.heals.push(Heal { at: now, target: self.check.newest() }),
        }
    }

    // ---- machines ----

    fn start(&mut self, now: Micros, peer: Peer) {
        let newest = self.check.newest();
        let machine = &mut self.machines[usize::from(peer)];
        let process = Process::start(&self.setup, peer, &mut machine.disk, now);
        let process =
            process.expect("the cluster's configuration is constant, and its records were written by it");
        machine.catching_up = Some((newest, now));
        machine.process = Some(process);
        self.look(now, peer);
        self.poll(now, peer);
    }

    fn stop(&mut self, now: Micros, peer: Peer, away: Micros) {
        let machine = &mut self.machines[usize::from(peer)];
        let Some(process) = machine.process.take() else { return };
        self.replaced += process.node.counts().replaced;
        process.leave(&mut machine.disk);
        self.queue.push(now + away.max(SECOND), Event::Start(peer));
    }

    /// Stops a relay that is drawn from all that run.
    fn stop_any_relay(&mut self, now: Micros, away: Micros) -> Option<Peer> {
        let relays = self.scenario.relays as usize;
        let living: Vec<usize> =
            (0..relays).filter(|relay| self.machines[*relay].process.is_some()).collect();
        let place = self.failures.random_range(0..living.len().max(1));
        let relay = living.get(place).and_then(|relay| Peer::try_from(*relay).ok())?;
        self.stop(now, relay, away);
        Some(relay)
    }

    // ---- messages ----

    fn receive(&mut self, now: Micros, to: Peer, bytes: &[u8]) {
        let machine = &mut self.machines[usize::from(to)];
        let Some(process) = &mut machine.process else { return };
        machine.traffic.received += bytes.len() as u64;
        let meter = if process.consensus.is_some() { &mut self.control_meter } else { &mut self.relay_meter };
        // What the link turns away is counted there.
        let _ = meter.call(|| process.link.receive(now, bytes, &mut [&mut process.node]));
        self.look(now, to);
        self.poll(now, to);
    }

    fn receive_raft(&mut self, now: Micros, from: NodeId, to: Peer, bytes: &[u8]) {
        let Some(process) = &mut self.machines[usize::from(to)].process else { return };
        let Some(consensus) = &mut process.consensus else { return };
        // What raft turns away is counted there.
        let _ = self.control_meter.call(|| consensus.receive(now, from, bytes));
        self.poll(now, to);
    }

    /// Sends what a machine has to say, and sets its timer.
    fn poll(&mut self, now: Micros, peer: Peer) {
        self.poll_consensus(now, peer);
        let machine = &mut self.machines[usize::from(peer)];
        let Some(process) = &mut machine.process else { return };
        let meter = if process.consensus.is_some() { &mut self.control_meter } else { &mut self.relay_meter };
        let Process { link, node, consensus, .. } = process;
        let (out, next) = meter.call(|| {
            let out = link.poll(now, &mut [&mut *node]);
            (out, link.next_at(now, &[node]))
        });
        let next = consensus.as_ref().map_or(next, |consensus| next.min(consensus.next_at(now)));
        let next = (next.max(now + 1) + TIMER_STEP - 1) / TIMER_STEP * TIMER_STEP;
        if machine.wake_at != next {
            machine.wake_at = next;
            self.queue.push(next, Event::Wake(peer));
        }
        for datagram in out {
            machine.traffic.sent(now, datagram.bytes.len());
            let bytes: Rc<[u8]> = datagram.bytes.into();
            for at in self.network.arrivals(now, u32::from(peer), u32::from(datagram.to)) {
                self.queue.push(at, Event::Datagram { to: datagram.to, bytes: Rc::clone(&bytes) });
            }
        }
    }

    /// Lets a control machine's raft node write, send and apply.
    fn poll_consensus(&mut self, now: Micros, peer: Peer) {
        let Some(control) = self.setup.control(peer) else { return };
        loop {
            let machine = &mut self.machines[usize::from(peer)];
            let Some(process) = &mut machine.process else { return };
            let Some(consensus) = &mut process.consensus else { return };
            let ready = self.control_meter.call(|| consensus.poll(now));
            if ready.is_empty() {
                if let Some(silence) = consensus.quorum_silence_us(now) {
                    process.node.confirm(now - silence);
                }
                return;
            }
            for record in ready.persist {
                machine.disk.raft.apply(record).expect("records of a running node follow each other");
            }
            for (to, bytes) in ready.messages {
                machine.traffic.sent(now, bytes.len());
                let (from, to) = (node_id(control), self.setup.peer(to));
                let bytes: Rc<[u8]> = bytes.into();
                for at in self.network.arrivals(now, u32::from(peer), u32::from(to)) {
                    self.queue.push(at, Event::Raft { from, to, bytes: Rc::clone(&bytes) });
                }
            }
            for entry in ready.committed.iter().filter(|entry| !entry.data.is_empty()) {
                self.publish(now, peer, &entry.data);
            }
        }
    }

    // ---- changes ----

    fn make_change(&mut self, now: Micros) {
        if self.made >= self.scenario.changes {
            return;
        }
        self.made += 1;
        self.waiting.push_back((now, author::operations(&mut self.random, self.scenario.destinations)));
        self.plan_change();
        self.propose(now);
    }

    /// Each change comes at a random moment of a gap of its own, so that as many come as there are gaps.
    fn plan_change(&mut self) {
        let gap = self.scenario.gap();
        let at = self.measured_from + gap * Micros::from(self.made) + self.random.random_range(0..=gap);
        self.queue.push(at, Event::Change);
    }

    /// Proposes the changes that wait to the leader of the highest term. Those that come meanwhile wait for the next time.
    fn propose(&mut self, now: Micros) {
        if self.waiting.is_empty() {
            return;
        }
        if self.proposal.is_some_and(|proposal| now - proposal.at < PROPOSAL_TIMEOUT) {
            return;
        }
        let relays = self.scenario.relays as usize;
        let term = |machine: &Machine| {
            let consensus = machine.process.as_ref()?.consensus.as_ref()?;
            consensus.is_leader().then(|| consensus.term())
        };
        let leaders = self.machines.iter().enumerate().skip(relays);
        let leader = leaders.filter_map(|(place, machine)| Some((term(machine)?, place))).max();
        let proposed = leader.and_then(|(_, place)| self.propose_to(now, place));
        match proposed {
            Some(version) => {
                self.proposal = Some(Proposal { version, at: now });
                self.queue.push(now + PROPOSAL_TIMEOUT, Event::Propose);
                if let Some((_, place)) = leader {
                    self.poll(now, place as Peer);
                }
            }
            None => self.queue.push(now + LEADER_RETRY, Event::Propose),
        }
    }

    /// Hands the leader the changes in their order, each made for the set after the one before it; the version that the last
    /// one leads to.
    fn propose_to(&mut self, now: Micros, place: usize) -> Option<Version> {
        let process = self.machines.get_mut(place)?.process.as_mut()?;
        let control = place - self.scenario.relays as usize;
        // A copy is needed only to go on from the first change.
        let mut ahead = (self.waiting.len() > 1).then(|| copy(process.node.set()));
        let mut proposed = None;
        for (_, operations) in self.waiting.iter().take(MOST_PROPOSED) {
            let set = ahead.as_ref().unwrap_or(process.node.set());
            let Ok(change) = set.prepare(operations.clone()) else { break };
            let signed = author::sign(&change, control);
            let Ok(()) = process.consensus.as_mut()?.propose(now, signed.encode()) else { break };
            proposed = Some(change.version);
            if let Some(ahead) = &mut ahead {
                ahead.apply(&change).ok()?;
            }
        }
        proposed
    }

    /// A control machine publishes what is committed. After a restart it meets again what it has on its disk.
    fn publish(&mut self, now: Micros, peer: Peer, data: &[u8]) {
        let Some(process) = &mut self.machines[usize::from(peer)].process else { return };
        let Ok(signed) = SignedChange::decode(data) else { return };
        let node = &mut process.node;
        if self.control_meter.call(|| node.publish(now, signed)).is_err() {
            return;
        }
        let (version, digest) = (node.set().version(), node.set().digest());
        if version > self.check.newest() {
            let proposed = self.waiting.pop_front().map_or(now, |(at, _)| at);
            self.check.committed(version, digest, proposed);
            self.proposal.take_if(|proposal| proposal.version <= version);
            self.queue.push(now, Event::Propose);
        }
        self.look(now, peer);
    }

    // ---- what must hold ----

    /// Looks at the set of a machine after something came.
    fn look(&mut self, now: Micros, peer: Peer) {
        let machine = &mut self.machines[usize::from(peer)];
        let Some(process) = &mut machine.process else { return };
        let (before, after) = (machine.version, process.node.set().version());
        self.check.look(before, process.node.set());
        if after == before && machine.catching_up.is_none() {
            return;
        }
        if before == Version::default() && after > before {
            process.since = now; // A relay that holds nothing takes no part.
        }
        process.node.take_applied();
        self.most_subscribers = self.most_subscribers.max(process.node.status(now).subscribers.len());
        machine.version = after;
        let relay = process.consensus.is_none();
        let (cuts, since) = (absolute(&self.scenario.cuts, self.measured_from), process.since);
        let network = &self.network;
        let connected = |at| since <= at && !cuts.iter().any(|cut| cuts_off(cut, network, peer, (at, now)));
        if machine.catching_up.is_some_and(|(target, _)| after >= target) {
            let began = machine.catching_up.take().map_or(now, |(_, began)| began);
            if relay && (before == Version::default() || connected(began)) {
                self.caught_up.record(now - began);
            }
        }
        if relay && after > before {
            self.check.advanced(now, (before, after), connected);
        }
        self.look_for_heals(now);
    }

    fn look_for_heals(&mut self, now: Micros) {
        let machines = &self.machines;
        let all_have = |target: Version| {
            machines
                .iter()
                .filter(|machine| machine.process.is_some())
                .all(|machine| machine.version >= target)
        };
        let equal = &mut self.equal_after_heal;
        self.heals.retain(|heal| {
            let reached = all_have(heal.target);
            if reached {
                equal.record(now - heal.at);
            }
            !reached
        });
    }
}

/// Cuts with their spans in simulated time.
pub(super) fn absolute(cuts: &[Cut], measured_from: Micros) -> Vec<Cut> {
    let shift = |cut: &Cut| Cut {
        from: cut.from + measured_from,
        until: cut.until + measured_from,
        kind: cut.kind.clone(),
    };
    cuts.iter().map(shift).collect()
}

/// Whether a cut parts a machine from others at some time within a span.
pub(super) fn cuts_off(cut: &Cut, network: &Network, peer: Peer, (from, until): (Micros, Micros)) -> bool {
    let (topology, node) = (network.topology(), u32::from(peer));
    let has = |set: &NodeSet| match set {
        NodeSet::Zone(zone) => topology.zone(node) == *zone,
        NodeSet::Region(region) => topology.region(node) == *region,
        NodeSet::Nodes(nodes) => nodes.contains(&node),
    };
    let parted = match &cut.kind {
        CutKind::Between(one, other) => has(one) || has(other),
        CutKind::Alone(set) | CutKind::Dark(set) | CutKind::Inbound(set) => has(set),
    };
    parted && cut.from <= until && from < cut.until
}
