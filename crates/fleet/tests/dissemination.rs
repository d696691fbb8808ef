//! Membership of whole fleets in simulated time: a change that one relay detects reaches all others.

use std::collections::BTreeMap;

use fleet::keys::Keys;
use fleet::link::{Config, PeerLink};
use fleet::members::MemberState;
use fleet::{Micros, Peer, SECOND};

const START: Micros = 1_790_000_000 * SECOND;
/// Interval between polls of each link, in microseconds.
const STEP: Micros = SECOND / 10;

/// Links of a fleet, where datagrams to dead relays and across a partition are lost.
struct World {
    now: Micros,
    links: Vec<PeerLink>,
    dead: Vec<Peer>,
    /// Relays on one side of a partition.
    partitioned: Vec<Peer>,
    /// One datagram in this many is lost; 0 for no loss.
    loss_one_in: u64,
    datagrams: u64,
    bytes: BTreeMap<Peer, u64>,
}

impl World {
    fn new(relays: Peer) -> Self {
        let link = |me: Peer| {
            let peers = (0..relays).collect();
            let config = Config {
                me,
                incarnation: 1,
                peers,
                keys: Keys::default(),
                bytes_per_s: 4000,
                pings_silent_peers: true,
            };
            PeerLink::new(config, START)
        };
        World {
            now: START,
            links: (0..relays).map(link).collect(),
            dead: vec![],
            partitioned: vec![],
            loss_one_in: 0,
            datagrams: 0,
            bytes: BTreeMap::new(),
        }
    }

    fn run(&mut self, seconds: i64) {
        let until = self.now + seconds * SECOND;
        while self.now < until {
            self.now += STEP;
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        for from in (0..self.links.len() as Peer).filter(|peer| !self.dead.contains(peer)).collect::<Vec<_>>()
        {
            for out in self.links[usize::from(from)].poll(self.now, &mut []) {
                *self.bytes.entry(from).or_default() += out.bytes.len() as u64;
                if self.is_delivered(from, out.to) {
                    let _ = self.links[usize::from(out.to)].receive(self.now, &out.bytes, &mut []);
                }
            }
        }
    }

    fn is_delivered(&mut self, from: Peer, to: Peer) -> bool {
        self.datagrams += 1;
        // A hash of the datagram's number, so that each run is the same.
        let hash = self.datagrams.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let lost = self.loss_one_in > 0 && hash.is_multiple_of(self.loss_one_in);
        !lost
            && !self.dead.contains(&to)
            && self.partitioned.contains(&from) == self.partitioned.contains(&to)
    }

    /// Number of pairs of a living relay and one that it takes for dead for which `counted` holds.
    fn count_taken_for_dead(&self, counted: impl Fn(Peer, Peer) -> bool) -> usize {
        let living = (0..).zip(&self.links).filter(|(peer, _)| !self.dead.contains(peer));
        living
            .map(|(observer, link)| {
                let dead = link.members().all().filter(|(_, member)| member.state == MemberState::Gone);
                dead.filter(|(peer, _)| counted(observer, *peer)).count()
            })
            .sum()
    }
}

#[test]
fn all_relays_of_a_large_fleet_detect_dead_relays_within_ten_seconds() {
    let mut world = World::new(300);
    world.run(10);
    world.dead = (0..300).filter(|peer| peer % 10 == 3).collect();
    world.run(10);
    let dead = world.dead.clone();
    assert_eq!(
        world.count_taken_for_dead(|_, peer| dead.contains(&peer)),
        270 * 30,
        "each living relay knows of each dead one"
    );
    assert_eq!(
        world.count_taken_for_dead(|_, peer| !dead.contains(&peer)),
        0,
        "no living relay is taken for dead"
    );
}

#[test]
fn datagram_loss_alone_makes_no_relay_dead() {
    let mut world = World::new(100);
    world.loss_one_in = 20;
    let mut false_positives = 0;
    for _ in 0..60 {
        world.run(2);
        false_positives += world.count_taken_for_dead(|_, _| true);
    }
    assert_eq!(false_positives, 0);
}

#[test]
fn after_a_partition_all_relays_are_alive_for_each_other() {
    let mut world = World::new(60);
    world.run(5);
    world.partitioned = (0..20).collect();
    world.run(30);
    assert_eq!(world.count_taken_for_dead(|_, _| true), 2 * 20 * 40, "each side takes the other for dead");
    world.partitioned.clear();
    world.run(15);
    assert_eq!(world.count_taken_for_dead(|_, _| true), 0);
}

#[test]
fn dissemination_costs_little_and_ends() {
    let mut world = World::new(200);
    world.run(20);
    let sent = |world: &mut World, seconds: i64| {
        world.bytes.clear();
        world.run(seconds);
        world.bytes.values().copied().max().unwrap_or(0) / seconds as u64
    };
    let before = sent(&mut world, 20);
    world.dead = (0..20).collect();
    let max_bytes_per_s = sent(&mut world, 10);
    assert!(
        max_bytes_per_s < 4000,
        "{max_bytes_per_s} bytes per second while twenty deaths are disseminated"
    );
    world.run(20);
    let after = sent(&mut world, 20);
    assert!(after < before * 3 / 2, "{after} bytes per second long after, {before} before");
}
