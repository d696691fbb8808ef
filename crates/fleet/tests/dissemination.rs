//! Membership over whole fleets in simulated time: what one relay finds out reaches all of them.

use std::collections::BTreeMap;

use fleet::keys::Keys;
use fleet::link::{Config, Link};
use fleet::members::Standing;
use fleet::{Micros, Peer, SECOND};

const START: Micros = 1_790_000_000 * SECOND;
/// Time between two polls of each link, in microseconds.
const STEP: Micros = SECOND / 10;

/// Links that reach each other but for those that are dead or cut off.
struct World {
    now: Micros,
    links: Vec<Link>,
    dead: Vec<Peer>,
    /// Relays that exchange nothing with the others.
    apart: Vec<Peer>,
    /// One datagram in this many is lost; 0 where none is.
    lost_one_in: u64,
    datagrams: u64,
    bytes: BTreeMap<Peer, u64>,
}

impl World {
    fn new(relays: Peer) -> Self {
        let link = |me: Peer| {
            let peers = (0..relays).collect();
            let config =
                Config { me, incarnation: 1, peers, keys: Keys::default(), bytes_per_s: 4000, asks: true };
            Link::new(config, START)
        };
        World {
            now: START,
            links: (0..relays).map(link).collect(),
            dead: vec![],
            apart: vec![],
            lost_one_in: 0,
            datagrams: 0,
            bytes: BTreeMap::new(),
        }
    }

    fn run(&mut self, seconds: i64) {
        let until = self.now + seconds * SECOND;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        for from in (0..self.links.len() as Peer).filter(|peer| !self.dead.contains(peer)).collect::<Vec<_>>()
        {
            for out in self.links[usize::from(from)].poll(self.now, &mut []) {
                *self.bytes.entry(from).or_default() += out.bytes.len() as u64;
                if self.arrives(from, out.to) {
                    let _ = self.links[usize::from(out.to)].receive(self.now, &out.bytes, &mut []);
                }
            }
        }
    }

    fn arrives(&mut self, from: Peer, to: Peer) -> bool {
        self.datagrams += 1;
        // A fixed mixing of the datagram's number, so that each play is the same.
        let mixed = self.datagrams.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let lost = self.lost_one_in > 0 && mixed.is_multiple_of(self.lost_one_in);
        !lost && !self.dead.contains(&to) && self.apart.contains(&from) == self.apart.contains(&to)
    }

    /// Pairs of a living relay and one that it takes for dead, of those for which `wrong` holds.
    fn taken_for_dead(&self, of: impl Fn(Peer, Peer) -> bool) -> usize {
        let living = (0..).zip(&self.links).filter(|(peer, _)| !self.dead.contains(peer));
        living
            .map(|(observer, link)| {
                let gone = link.members().all().filter(|(_, member)| member.standing == Standing::Gone);
                gone.filter(|(peer, _)| of(observer, *peer)).count()
            })
            .sum()
    }
}

#[test]
fn all_of_a_large_fleet_know_its_dead_within_ten_seconds() {
    let mut world = World::new(300);
    world.run(10);
    world.dead = (0..300).filter(|peer| peer % 10 == 3).collect();
    world.run(10);
    let dead = world.dead.clone();
    assert_eq!(world.taken_for_dead(|_, peer| dead.contains(&peer)), 270 * 30, "each knows of each");
    assert_eq!(world.taken_for_dead(|_, peer| !dead.contains(&peer)), 0, "and nobody else is taken for dead");
}

#[test]
fn loss_alone_makes_nobody_dead() {
    let mut world = World::new(100);
    world.lost_one_in = 20;
    let mut wrong = 0;
    for _ in 0..60 {
        world.run(2);
        wrong += world.taken_for_dead(|_, _| true);
    }
    assert_eq!(wrong, 0);
}

#[test]
fn after_a_cut_all_are_alive_for_all_again() {
    let mut world = World::new(60);
    world.run(5);
    world.apart = (0..20).collect();
    world.run(30);
    assert_eq!(world.taken_for_dead(|_, _| true), 2 * 20 * 40, "each side takes the other for dead");
    world.apart.clear();
    world.run(15);
    assert_eq!(world.taken_for_dead(|_, _| true), 0);
}

#[test]
fn what_is_passed_on_costs_little_and_ends() {
    let mut world = World::new(200);
    world.run(20);
    let sent = |world: &mut World, seconds: i64| {
        world.bytes.clear();
        world.run(seconds);
        world.bytes.values().copied().max().unwrap_or(0) / seconds as u64
    };
    let before = sent(&mut world, 20);
    world.dead = (0..20).collect();
    let busiest = sent(&mut world, 10);
    assert!(busiest < 4000, "{busiest} bytes a second while twenty deaths are passed on");
    world.run(20);
    let after = sent(&mut world, 20);
    assert!(after < before * 3 / 2, "{after} bytes a second long after, {before} before");
}
