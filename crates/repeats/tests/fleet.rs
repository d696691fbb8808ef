//! Fleets of nodes on their peer links in simulated time, with datagrams delayed, lost, duplicated and partitioned, and relays
//! killed, paused and sending false totals. The tests assert that the bound on retries always holds, and that retries get the
//! tokens there are wherever links work.

use std::collections::{BTreeMap, VecDeque};

use fleet::keys::Keys;
use fleet::link::{self, Channel, PeerLink};
use proptest::prelude::*;
use repeats::node::{Config, Node};
use repeats::{Micros, Peer, SECOND};

const START: Micros = 1_790_000_000 * SECOND;
const STEP: Micros = SECOND / 100;
const DESTINATION: i64 = 7;

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Probability that a datagram is lost.
    loss: f64,
    /// Maximum delay of a datagram, in microseconds.
    delay: Micros,
}

struct Simulation {
    now: Micros,
    nodes: Vec<Option<(PeerLink, Node)>>,
    /// Paused relays, and when they resume.
    paused: BTreeMap<usize, Micros>,
    /// Datagrams in flight: arrival time, sender, receiver, bytes.
    datagrams: VecDeque<(Micros, usize, usize, Vec<u8>)>,
    faults: Faults,
    /// The network partition of each relay.
    partitions: Vec<usize>,
    /// State of the random number generator.
    random_state: u64,
    first_attempts: u64,
    /// Number of retries that each relay may start.
    retries: Vec<u64>,
    bytes: u64,
}

impl Simulation {
    fn new(relays: usize) -> Self {
        let mut simulation = Simulation {
            now: START,
            nodes: (0..relays).map(|_| None).collect(),
            paused: BTreeMap::new(),
            datagrams: VecDeque::new(),
            faults: Faults { loss: 0.0, delay: 12_000 },
            partitions: vec![0; relays],
            random_state: 1,
            first_attempts: 0,
            retries: vec![0; relays],
            bytes: 0,
        };
        (0..relays).for_each(|relay| simulation.start(relay));
        simulation
    }

    fn start(&mut self, relay: usize) {
        let (me, relays) = (relay as Peer, self.nodes.len() as Peer);
        let incarnation = fleet::incarnation(self.now);
        let config = link::Config {
            me,
            incarnation,
            peers: (0..relays).collect(),
            keys: Keys::default(),
            bytes_per_s: 4000,
            pings_silent_peers: false,
        };
        let node = Node::new(Config { me, relays, incarnation }, self.now);
        self.nodes[relay] = Some((PeerLink::new(config, self.now), node));
    }

    fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    fn node(&mut self, relay: usize) -> Option<&mut Node> {
        if self.paused.contains_key(&relay) { None } else { self.nodes[relay].as_mut().map(|(_, node)| node) }
    }

    fn first_attempt(&mut self, relay: usize) {
        let now = self.now;
        if let Some(node) = self.node(relay) {
            node.first_attempt(now, DESTINATION);
            self.first_attempts += 1;
        }
    }

    fn request(&mut self, relay: usize, waiting: &[(u16, u8)]) {
        let now = self.now;
        if let Some(node) = self.node(relay) {
            node.request(now, DESTINATION, waiting.to_vec());
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.paused.retain(|_, until| now < *until);
        let due: Vec<_> = self.datagrams.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.datagrams.retain(|(at, ..)| *at > now);
        for (_, from, to, bytes) in due {
            if self.partitions[from] == self.partitions[to]
                && !self.paused.contains_key(&to)
                && let Some((link, node)) = &mut self.nodes[to]
            {
                let _ = link.receive(now, &bytes, &mut [node as &mut dyn Channel]);
            }
        }
        for relay in 0..self.nodes.len() {
            if self.paused.contains_key(&relay) {
                continue;
            }
            let Some((link, node)) = &mut self.nodes[relay] else { continue };
            let out = link.poll(now, &mut [node as &mut dyn Channel]);
            self.retries[relay] +=
                node.take_updates().iter().map(|update| u64::from(update.retries)).sum::<u64>();
            for out in out {
                assert!(out.bytes.len() <= 256);
                self.bytes += out.bytes.len() as u64;
                let delay = (self.random() * self.faults.delay as f64) as Micros;
                if self.random() >= self.faults.loss {
                    self.datagrams.push_back((now + delay, relay, usize::from(out.to), out.bytes.clone()));
                }
                if self.random() < 0.1 {
                    self.datagrams.push_back((now + 3 * delay, relay, usize::from(out.to), out.bytes));
                }
            }
        }
        assert!(
            self.total_retries() as f64 <= self.max_retries(),
            "{} retries, at most {:.1}",
            self.total_retries(),
            self.max_retries()
        );
    }

    fn run(&mut self, seconds: f64) {
        (0..(seconds * (SECOND / STEP) as f64) as usize).for_each(|_| self.step());
    }

    fn total_retries(&self) -> u64 {
        self.retries.iter().sum()
    }

    /// The bound: a tenth of first attempts, and one retry a second.
    fn max_retries(&self) -> f64 {
        self.first_attempts as f64 / 10.0 + (self.now - START) as f64 / SECOND as f64 + 1e-6
    }
}

#[test]
fn retries_get_tokens_that_other_relays_earned_in_order_of_priority() {
    let mut simulation = Simulation::new(12);
    // Two relays request more tokens than there are; at first the coordinator has none.
    simulation.request(3, &[(3000, 20)]);
    simulation.request(8, &[(1000, 40)]);
    simulation.run(0.5);
    for _ in 0..5 {
        (0..60).for_each(|n| simulation.first_attempt(n % 12));
        simulation.run(0.5);
    }
    let (high, low) = (simulation.retries[3], simulation.retries[8]);
    assert_eq!(high, 20, "retries of the higher priority get all tokens they request");
    assert!((1..=15).contains(&low), "{low}, the rest of {:.1}", simulation.max_retries());
}

#[test]
fn each_partition_retries_with_the_tokens_it_earned() {
    let mut simulation = Simulation::new(12);
    simulation.partitions = (0..12).map(|n| usize::from(n >= 9)).collect();
    for _ in 0..20 {
        (0..120).for_each(|n| simulation.first_attempt(n % 12));
        simulation.request(2, &[(1000, 60)]);
        simulation.request(11, &[(1000, 60)]);
        simulation.run(0.5);
    }
    let (large, small) = (simulation.retries[2] as f64, simulation.retries[11] as f64);
    assert!(
        simulation.total_retries() as f64 >= 0.8 * simulation.max_retries(),
        "{:?} of {:.1}",
        simulation.retries,
        simulation.max_retries()
    );
    assert!(
        (2.0..4.5).contains(&(large / small)),
        "{large} and {small} retries in partitions of nine and three relays"
    );
    // After the partition has healed, one relay gets all tokens.
    simulation.partitions = vec![0; 12];
    simulation.run(3.0);
    let before = simulation.total_retries();
    (0..600).for_each(|n| simulation.first_attempt(n % 12));
    simulation.request(2, &[(1000, 0)]);
    simulation.request(11, &[(1000, 250)]);
    simulation.run(2.0);
    // Each of the twelve relays keeps a fraction of a token.
    assert!(simulation.total_retries() - before >= 42, "{}", simulation.total_retries() - before);
}

#[test]
fn an_isolated_relay_spends_its_own_tokens() {
    let mut simulation = Simulation::new(12);
    simulation.partitions = (0..12).map(|n| usize::from(n == 5)).collect();
    for _ in 0..10 {
        (0..50).for_each(|_| simulation.first_attempt(5));
        simulation.request(5, &[(1000, 30)]);
        simulation.run(0.5);
    }
    assert!(simulation.retries[5] >= 40, "{} of about 50", simulation.retries[5]);
}

#[test]
fn the_loss_of_a_coordinator_costs_its_tokens_and_little_time() {
    for pause in [false, true] {
        let mut simulation = Simulation::new(6);
        let coordinator =
            (0..6).max_by_key(|peer| fleet::rendezvous(DESTINATION, *peer)).map(usize::from).expect("six");
        let other = (coordinator + 1) % 6;
        for second in 0..10 {
            if second == 3 && pause {
                simulation.paused.insert(coordinator, simulation.now + 5 * SECOND);
            } else if second == 3 {
                simulation.nodes[coordinator] = None;
            } else if second == 8 && !pause {
                simulation.start(coordinator);
            }
            for _ in 0..4 {
                (0..30).for_each(|n| simulation.first_attempt(n % 6));
                simulation.request(other, &[(1000, 50)]);
                simulation.run(0.25);
            }
        }
        assert!(
            simulation.total_retries() as f64 >= 0.7 * simulation.max_retries(),
            "{} of {:.1}",
            simulation.total_retries(),
            simulation.max_retries()
        );
    }
}

#[test]
fn an_excessive_transfer_counts_up_to_the_listed_rate() {
    let mut simulation = Simulation::new(3);
    let coordinator = (0..3).max_by_key(|peer| fleet::rendezvous(DESTINATION, *peer)).expect("three");
    let false_peer = (coordinator + 1) % 3;
    let now = simulation.now;
    let incarnation = fleet::incarnation(START);
    let (link, node) = simulation.nodes[usize::from(coordinator)].as_mut().expect("a running relay");
    node.set_rate(now, DESTINATION, 10.0);
    let transfer = repeats::item::Item::Transfer {
        destination: DESTINATION,
        incarnation,
        total: 1_000_000,
        is_reply: false,
    };
    let from =
        link::Sender { peer: false_peer, incarnation: 9, sent: fleet::datagram::Stamp::of(now), delay: 0 };
    assert!(node.receive_frame(now, &from, link.members(), &transfer.encode()));
    assert_eq!(node.status(now)[0].tokens, 20, "tokens that 10 calls a second earn in ten seconds");
}

#[test]
fn three_hundred_relays_share_a_budget_with_few_bytes_for_each_first_attempt() {
    let mut simulation = Simulation::new(300);
    for round in 0..150 {
        (0..60).for_each(|n| simulation.first_attempt((n * 7 + round) % 300));
        simulation.request(17, &[(1000, 30)]);
        simulation.run(0.2);
    }
    let per_first = simulation.bytes as f64 / simulation.first_attempts as f64;
    println!(
        "300 relays: {} retries, at most {:.0}, {per_first:.1} bytes a first attempt",
        simulation.total_retries(),
        simulation.max_retries()
    );
    assert!(
        simulation.total_retries() as f64 >= 0.65 * simulation.max_retries(),
        "{} of {:.1}",
        simulation.total_retries(),
        simulation.max_retries()
    );
    assert!(per_first < 60.0, "{per_first:.1} bytes a first attempt");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// The bound holds at every step (see `step`) under partitions, delays, losses, duplicates, pauses, kills and restarts.
    #[test]
    fn no_sequence_of_faults_exceeds_the_bound(
        seed in any::<u64>(), loss in 0.0..0.7f64, delay in 0..SECOND / 2,
        steps in prop::collection::vec((0..6u8, 0..5usize, 0..5usize), 20..60),
    ) {
        let mut simulation = Simulation::new(5);
        (simulation.random_state, simulation.faults) = (seed | 1, Faults { loss, delay });
        for (step, one, other) in steps {
            match step {
                0 => simulation.partitions[one] = usize::from(one != other),
                1 => simulation.nodes[one] = None,
                2 => simulation.start(one),
                3 => drop(simulation.paused.insert(one, simulation.now + 2 * SECOND)),
                4 => simulation.request(one, &[(1000, 9)]),
                _ => (0..25).for_each(|_| simulation.first_attempt(one)),
            }
            simulation.run(0.15);
        }
    }
}
