//! Nodes on a network of the test's own, in simulated time: notes that are lost, doubled, reordered, late; clocks
//! that are off; peers that lie. Same seed, same run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fleet::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use fleet::keys::{Key, Keys};
use fleet::link;
use peers::alone::Alone;
use peers::fact::{Kind, Known, Micros, Peer, SECOND};
use peers::node::Config;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What befalls notes.
#[derive(Clone, Copy, Default)]
struct Weather {
    loss: f64,
    doubled: f64,
    late: Micros,
}

/// When it arrives, its number, to whom, and its bytes.
type OnTheWay = Reverse<(Micros, u64, usize, Vec<u8>)>;

struct Network {
    now: Micros,
    nodes: Vec<(Alone, Micros)>,
    /// A node's clock less the true one.
    skew: Vec<Micros>,
    on_the_way: BinaryHeap<OnTheWay>,
    weather: Weather,
    rng: SmallRng,
    count: u64,
}

const START: Micros = 1_790_000_000 * SECOND;

/// A node of so many, in its first or a later life.
fn node(me: usize, n: usize, keys: &Keys, incarnation: u32, now: Micros) -> Alone {
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
    Alone::new(link, Config { me: me as Peer, most_facts: 4_000, seed, asks }, now)
}

impl Network {
    fn new(n: usize, weather: Weather) -> Self {
        let keys = Keys::default();
        let nodes = (0..n).map(|me| (node(me, n, &keys, 1, START), START)).collect();
        let (on_the_way, rng) = (BinaryHeap::new(), SmallRng::seed_from_u64(3));
        Network { now: START, nodes, skew: vec![0; n], on_the_way, weather, rng, count: 0 }
    }

    fn clock(&self, node: usize) -> Micros {
        self.now + self.skew[node]
    }

    fn see(&mut self, node: usize, destination: i64, known: Known) {
        let now = self.clock(node);
        self.nodes[node].0.facts.observe(now, destination, known, 1.0);
        self.nodes[node].1 = self.now;
    }

    fn shut(&mut self, node: usize, destination: i64) {
        let since = self.clock(node);
        self.see(node, destination, Known::Trouble { since, failures: 3, back: None });
    }

    /// A node starts anew and asks.
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
                    let copies = 1 + usize::from(self.rng.random_bool(self.weather.doubled));
                    for _ in 0..copies {
                        let took = self.rng.random_range(2_100..26_000) + self.weather.late;
                        if !self.rng.random_bool(self.weather.loss) {
                            let note = (self.now + took, self.count, usize::from(out.to), out.bytes.clone());
                            self.on_the_way.push(Reverse(note));
                        }
                    }
                }
                let at = self.nodes[n].0.next_at(now) - self.skew[n];
                self.nodes[n].1 = at;
            }
            let next = self.nodes.iter().map(|(_, at)| *at).min().unwrap_or(until);
            let arrives = self.on_the_way.peek().map_or(until, |Reverse((at, ..))| *at);
            self.now = next.min(arrives).min(until).max(self.now);
            while let Some(Reverse((at, _, to, bytes))) = self.on_the_way.peek().cloned() {
                if at > self.now {
                    break;
                }
                self.on_the_way.pop();
                let now = self.clock(to);
                let _ = self.nodes[to].0.receive(now, &bytes);
                self.nodes[to].1 = self.now;
            }
        }
    }

    /// Whether a node believes that a destination is shut, and with what weight.
    fn believes_shut(&self, node: usize, destination: i64) -> f64 {
        let now = self.clock(node);
        match self.nodes[node].0.facts.ledger().believed(now, destination, Kind::Health) {
            Some((fact, weight)) if matches!(fact.known, Known::Trouble { back: None, .. }) => weight,
            _ => 0.0,
        }
    }
}

#[test]
fn a_starter_knows_what_is_shut_from_whoever_saw_it_also_where_a_third_is_lost_doubled_and_reordered() {
    for (weather, within) in
        [(Weather::default(), SECOND / 5), (Weather { loss: 0.33, doubled: 0.33, late: 0 }, SECOND)]
    {
        let mut network = Network::new(3, weather);
        for destination in 0..40 {
            network.shut(usize::try_from(destination).expect("small") % 2, destination);
            network.see(1, destination + 100, Known::Good { at: START });
        }
        network.run(3 * SECOND);
        network.restart(2);
        network.run(within);
        let known = (0..40).filter(|destination| network.believes_shut(2, *destination) > 0.3).count();
        assert!(known >= 36, "{known} of 40 after {within} us");
        assert!((100..140).all(|destination| network.believes_shut(2, destination) == 0.0));
    }
}

#[test]
fn where_all_notes_are_lost_nothing_is_believed_and_little_is_sent() {
    let mut network = Network::new(3, Weather { loss: 1.0, ..Weather::default() });
    network.shut(0, 1);
    network.restart(2);
    network.run(10 * SECOND);
    assert!(network.nodes[2].0.facts.ledger().is_empty());
    assert!(network.nodes[2].0.link.members().present().is_empty(), "and nobody is thought to be there");
    assert!(network.nodes[2].0.counts().sent < 40);
}

#[test]
fn notes_that_are_ten_seconds_late_are_believed_that_much_less_from_the_first_on() {
    let mut network = Network::new(2, Weather { late: 10 * SECOND, ..Weather::default() });
    network.shut(0, 1);
    network.run(12 * SECOND);
    let weight = network.believes_shut(1, 1);
    assert!(weight > 0.0 && weight < 0.5, "{weight}");
    let mut fresh = Network::new(2, Weather::default());
    fresh.shut(0, 1);
    fresh.run(SECOND);
    assert!(fresh.believes_shut(1, 1) > weight + 0.2);
}

#[test]
fn clocks_that_are_a_second_off_do_no_harm() {
    for skew in [-SECOND, SECOND] {
        let mut network = Network::new(3, Weather::default());
        network.skew[0] = skew;
        network.shut(0, 1);
        let until = network.clock(0) + 5 * SECOND;
        network.see(0, 2, Known::Wait { until });
        network.run(SECOND);
        assert!(network.believes_shut(1, 1) > 0.6, "{skew}");
        let now = network.clock(1);
        let (wait, _) = network.nodes[1].0.facts.ledger().believed(now, 2, Kind::Wait).expect("a wait");
        let Known::Wait { until } = wait.known else { panic!("a wait") };
        let off = (until - now - 4 * SECOND).abs();
        assert!(off < SECOND / 10, "off by {off} us at a skew of {skew}");
    }
}

#[test]
fn a_change_reaches_all_of_many_and_the_budget_holds() {
    let mut network = Network::new(30, Weather { loss: 0.1, ..Weather::default() });
    network.run(3 * SECOND);
    let before: u64 = network.nodes.iter().map(|(node, _)| node.counts().bytes).max().expect("some");
    network.shut(0, 7);
    network.run(2 * SECOND);
    let know = (1..30).filter(|node| network.believes_shut(*node, 7) > 0.1).count();
    assert!(know >= 27, "{know} of 29");
    for (node, _) in &network.nodes {
        assert!(node.counts().bytes - before.min(node.counts().bytes) <= 2 * 8_000 + 4_000);
    }
    // A flood of changes is sent no faster than the budget allows.
    for destination in 0..2000 {
        network.shut(1, destination);
    }
    let before = network.nodes[1].0.counts().bytes;
    network.run(4 * SECOND);
    let sent = network.nodes[1].0.counts().bytes - before;
    assert!(sent <= 4 * 8_000 + 8_000, "{sent}");
}

#[test]
fn two_peers_that_contradict_are_weighed_and_the_wrong_one_is_believed_less() {
    let mut network = Network::new(3, Weather::default());
    let mut wrong = 0;
    for round in 0..8 {
        let destination = round;
        let at = network.now;
        network.shut(0, destination);
        network.see(1, destination, Known::Good { at });
        network.run(SECOND / 5);
        wrong += usize::from(network.believes_shut(2, destination) > 0.3);
        let at = network.now;
        network.see(2, destination, Known::Good { at });
        network.run(SECOND);
    }
    let trust = &network.nodes[2].0.facts.ledger().trust;
    assert!(trust.of(0) < 0.3 && trust.of(1) >= 0.8, "{} {}", trust.of(0), trust.of(1));
    assert!(wrong <= 4, "the liar is heard at first, and then no more: {wrong}");
    // It proves right again, and is heard again.
    for round in 20..60 {
        network.shut(0, round);
        network.run(SECOND / 5);
        network.shut(2, round);
    }
    assert!(network.nodes[2].0.facts.ledger().trust.of(0) > 0.6);
}

#[test]
fn peers_that_are_replaced_are_heard_no_more() {
    let mut network = Network::new(3, Weather::default());
    network.run(SECOND);
    network.nodes[2].0.replace(vec![1, 2]);
    network.shut(0, 5);
    network.shut(1, 6);
    network.run(SECOND);
    assert_eq!((network.believes_shut(2, 5), network.believes_shut(2, 6) > 0.5), (0.0, true));
    assert!(network.nodes[2].0.counts().ignored() > 0);
}

#[test]
fn keys_can_be_rotated_without_a_gap_and_who_has_none_is_counted_and_ignored() {
    let key = |id: u8| Key { id, bytes: vec![id; 32] };
    let old = Keys(vec![key(1)]);
    let both = Keys(vec![key(2), key(1)]);
    let node = |me: usize, keys: &Keys| node(me, 2, keys, 1, START);
    let note = |keys: &Keys| {
        let mut sender = node(0, keys);
        sender.facts.observe(START, 5, Known::Trouble { since: START, failures: 3, back: None }, 1.0);
        sender.poll(START).pop().expect("a note").bytes
    };
    for (sends, hears) in [(&old, &both), (&both, &both)] {
        let mut receiver = node(1, hears);
        assert_eq!(receiver.receive(START + 5000, &note(sends)).expect("taken").len(), 1);
    }
    let mut receiver = node(1, &both);
    assert_eq!(receiver.receive(START, &note(&Keys::default())), Err(DatagramError::UnknownKey(0)));
    let sound = note(&old);
    receiver.receive(START + 5000, &sound).expect("taken");
    assert_eq!(receiver.receive(START + 6000, &sound), Err(DatagramError::Replayed));
    assert_eq!(receiver.counts().ignored(), 2);
}
