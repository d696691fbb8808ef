//! Nodes on a simulated network in simulated time, with datagrams lost, duplicated, reordered and delayed, clock skew, and
//! peers that report falsely. Runs are reproducible: the same seed gives the same run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fleet::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use fleet::keys::{Key, Keys};
use fleet::link;
use peers::node::Config;
use peers::observation::{Kind, Micros, Observed, Peer, SECOND};
use peers::standalone::StandaloneNode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Faults of the network.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Probability that a datagram is lost.
    loss: f64,
    /// Probability that a datagram is duplicated.
    duplication: f64,
    /// Additional delay of each datagram, in microseconds.
    delay: Micros,
}

/// A datagram in flight: arrival time, number, receiver and bytes.
type InFlight = Reverse<(Micros, u64, usize, Vec<u8>)>;

struct Network {
    now: Micros,
    /// Each node, with the time of its next poll.
    nodes: Vec<(StandaloneNode, Micros)>,
    /// Offset of each node's clock from the simulated time.
    skew: Vec<Micros>,
    in_flight: BinaryHeap<InFlight>,
    faults: Faults,
    rng: SmallRng,
    /// Number of datagrams sent.
    count: u64,
}

const START: Micros = 1_790_000_000 * SECOND;

/// Node `me` of `n`, in its first or a later incarnation. Only a later one requests observations.
fn node(me: usize, n: usize, keys: &Keys, incarnation: u32, now: Micros) -> StandaloneNode {
    let asks = incarnation > 1;
    let link = link::Config {
        me: me as Peer,
        incarnation,
        peers: (0..n as Peer).collect(),
        keys: keys.clone(),
        bytes_per_s: 8_000,
        pings_silent_peers: true,
    };
    let seed = if asks { 99 } else { me as u64 };
    StandaloneNode::new(link, Config { me: me as Peer, max_observations: 4_000, seed, asks }, now)
}

impl Network {
    fn new(n: usize, faults: Faults) -> Self {
        let keys = Keys::default();
        let nodes = (0..n).map(|me| (node(me, n, &keys, 1, START), START)).collect();
        let (in_flight, rng) = (BinaryHeap::new(), SmallRng::seed_from_u64(3));
        Network { now: START, nodes, skew: vec![0; n], in_flight, faults, rng, count: 0 }
    }

    fn clock(&self, node: usize) -> Micros {
        self.now + self.skew[node]
    }

    fn observe(&mut self, node: usize, destination: i64, observed: Observed) {
        let now = self.clock(node);
        self.nodes[node].0.node.observe(now, destination, observed, 1.0);
        self.nodes[node].1 = self.now;
    }

    fn observe_failing(&mut self, node: usize, destination: i64) {
        let since = self.clock(node);
        self.observe(node, destination, Observed::Failing { since, failures: 3, recovering_since: None });
    }

    /// Restarts a node, which requests the observations of its peers.
    fn restart(&mut self, node: usize) {
        let new = self::node(node, self.nodes.len(), &Keys::default(), 2, self.clock(node));
        self.nodes[node] = (new, self.now);
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            for n in 0..self.nodes.len() {
                if self.nodes[n].1 > self.now {
                    continue;
                }
                let now = self.clock(n);
                for out in self.nodes[n].0.poll(now) {
                    assert!(out.bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.count += 1;
                    let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
                    for _ in 0..copies {
                        let took = self.rng.random_range(2_100..26_000) + self.faults.delay;
                        if !self.rng.random_bool(self.faults.loss) {
                            let datagram =
                                (self.now + took, self.count, usize::from(out.to), out.bytes.clone());
                            self.in_flight.push(Reverse(datagram));
                        }
                    }
                }
                let at = self.nodes[n].0.next_at(now) - self.skew[n];
                self.nodes[n].1 = at;
            }
            let next = self.nodes.iter().map(|(_, at)| *at).min().unwrap_or(until);
            let arrives = self.in_flight.peek().map_or(until, |Reverse((at, ..))| *at);
            self.now = next.min(arrives).min(until).max(self.now);
            while let Some(Reverse((at, _, to, bytes))) = self.in_flight.peek().cloned() {
                if at > self.now {
                    break;
                }
                self.in_flight.pop();
                let now = self.clock(to);
                let _ = self.nodes[to].0.receive(now, &bytes);
                self.nodes[to].1 = self.now;
            }
        }
    }

    /// The weight of a node's belief that a destination fails; 0 if it does not believe so.
    fn failing_weight(&self, node: usize, destination: i64) -> f64 {
        let now = self.clock(node);
        match self.nodes[node].0.node.table().believed(now, destination, Kind::Health) {
            Some((observation, weight))
                if matches!(observation.observed, Observed::Failing { recovering_since: None, .. }) =>
            {
                weight
            }
            _ => 0.0,
        }
    }
}

#[test]
fn a_starting_relay_learns_of_failing_destinations_despite_lost_duplicated_and_reordered_datagrams() {
    for (faults, within) in
        [(Faults::default(), SECOND / 5), (Faults { loss: 0.33, duplication: 0.33, delay: 0 }, SECOND)]
    {
        let mut network = Network::new(3, faults);
        for destination in 0..40 {
            network.observe_failing(usize::try_from(destination).expect("small") % 2, destination);
            network.observe(1, destination + 100, Observed::Healthy { call_began: START });
        }
        network.run(3 * SECOND);
        network.restart(2);
        network.run(within);
        let known = (0..40).filter(|destination| network.failing_weight(2, *destination) > 0.3).count();
        assert!(known >= 36, "{known} of 40 after {within} us");
        assert!((100..140).all(|destination| network.failing_weight(2, destination) == 0.0));
    }
}

#[test]
fn without_any_delivery_nothing_is_believed_and_little_is_sent() {
    let mut network = Network::new(3, Faults { loss: 1.0, ..Faults::default() });
    network.observe_failing(0, 1);
    network.restart(2);
    network.run(10 * SECOND);
    assert!(network.nodes[2].0.node.table().is_empty());
    assert!(network.nodes[2].0.link.members().present().is_empty(), "no peer counts as alive");
    assert!(network.nodes[2].0.counts().sent < 40);
}

#[test]
fn delayed_observations_have_less_weight_from_the_first_datagram_on() {
    let mut network = Network::new(2, Faults { delay: 10 * SECOND, ..Faults::default() });
    network.observe_failing(0, 1);
    network.run(12 * SECOND);
    let weight = network.failing_weight(1, 1);
    assert!(weight > 0.0 && weight < 0.5, "{weight}");
    let mut fresh = Network::new(2, Faults::default());
    fresh.observe_failing(0, 1);
    fresh.run(SECOND);
    assert!(fresh.failing_weight(1, 1) > weight + 0.2);
}

#[test]
fn a_clock_skew_of_one_second_does_not_shift_observations() {
    for skew in [-SECOND, SECOND] {
        let mut network = Network::new(3, Faults::default());
        network.skew[0] = skew;
        network.observe_failing(0, 1);
        let until = network.clock(0) + 5 * SECOND;
        network.observe(0, 2, Observed::Wait { until });
        network.run(SECOND);
        assert!(network.failing_weight(1, 1) > 0.6, "{skew}");
        let now = network.clock(1);
        let (wait, _) = network.nodes[1].0.node.table().believed(now, 2, Kind::Wait).expect("a wait");
        let Observed::Wait { until } = wait.observed else { panic!("a wait") };
        let off = (until - now - 4 * SECOND).abs();
        assert!(off < SECOND / 10, "off by {off} us at a skew of {skew}");
    }
}

#[test]
fn a_change_reaches_thirty_relays_within_the_byte_budget() {
    let mut network = Network::new(30, Faults { loss: 0.1, ..Faults::default() });
    network.run(3 * SECOND);
    let before: u64 = network.nodes.iter().map(|(node, _)| node.counts().bytes).max().expect("nodes");
    network.observe_failing(0, 7);
    network.run(2 * SECOND);
    let informed = (1..30).filter(|node| network.failing_weight(*node, 7) > 0.1).count();
    assert!(informed >= 27, "{informed} of 29");
    for (node, _) in &network.nodes {
        assert!(node.counts().bytes - before.min(node.counts().bytes) <= 2 * 8_000 + 4_000);
    }
    // A burst of changes does not exceed the byte budget.
    for destination in 0..2000 {
        network.observe_failing(1, destination);
    }
    let before = network.nodes[1].0.counts().bytes;
    network.run(4 * SECOND);
    let sent = network.nodes[1].0.counts().bytes - before;
    assert!(sent <= 4 * 8_000 + 8_000, "{sent}");
}

#[test]
fn trust_falls_in_a_peer_that_own_calls_contradict() {
    let mut network = Network::new(3, Faults::default());
    let mut wrong = 0;
    for round in 0..8 {
        let destination = round;
        let call_began = network.now;
        network.observe_failing(0, destination);
        network.observe(1, destination, Observed::Healthy { call_began });
        network.run(SECOND / 5);
        wrong += usize::from(network.failing_weight(2, destination) > 0.3);
        let call_began = network.now;
        network.observe(2, destination, Observed::Healthy { call_began });
        network.run(SECOND);
    }
    let trust = &network.nodes[2].0.node.table().trust;
    assert!(trust.of(0) < 0.3 && trust.of(1) >= 0.8, "{} {}", trust.of(0), trust.of(1));
    assert!(wrong <= 4, "the false peer is believed only at first: {wrong} of 8");
    // Once own calls confirm its observations, it is trusted again.
    for round in 20..60 {
        network.observe_failing(0, round);
        network.run(SECOND / 5);
        network.observe_failing(2, round);
    }
    assert!(network.nodes[2].0.node.table().trust.of(0) > 0.6);
}

#[test]
fn datagrams_of_replaced_peers_are_ignored() {
    let mut network = Network::new(3, Faults::default());
    network.run(SECOND);
    network.nodes[2].0.replace(vec![1, 2]);
    network.observe_failing(0, 5);
    network.observe_failing(1, 6);
    network.run(SECOND);
    assert_eq!((network.failing_weight(2, 5), network.failing_weight(2, 6) > 0.5), (0.0, true));
    assert!(network.nodes[2].0.counts().ignored() > 0);
}

#[test]
fn keys_rotate_without_a_gap_and_datagrams_without_a_key_are_counted_and_ignored() {
    let key = |id: u8| Key { id, bytes: vec![id; 32] };
    let old = Keys(vec![key(1)]);
    let both = Keys(vec![key(2), key(1)]);
    let node = |me: usize, keys: &Keys| node(me, 2, keys, 1, START);
    let datagram = |keys: &Keys| {
        let mut sender = node(0, keys);
        sender.node.observe(
            START,
            5,
            Observed::Failing { since: START, failures: 3, recovering_since: None },
            1.0,
        );
        sender.poll(START).pop().expect("a datagram").bytes
    };
    for (sending, receiving) in [(&old, &both), (&both, &both)] {
        let mut receiver = node(1, receiving);
        assert_eq!(receiver.receive(START + 5000, &datagram(sending)).expect("accepted").len(), 1);
    }
    let mut receiver = node(1, &both);
    assert_eq!(receiver.receive(START, &datagram(&Keys::default())), Err(DatagramError::UnknownKey(0)));
    let valid = datagram(&old);
    receiver.receive(START + 5000, &valid).expect("accepted");
    assert_eq!(receiver.receive(START + 6000, &valid), Err(DatagramError::Replayed));
    assert_eq!(receiver.counts().ignored(), 2);
}
