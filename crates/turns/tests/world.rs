//! Relays that take turns in simulated time, with notes late, lost, doubled, relays cut off, killed, frozen and started
//! again: never more out than may be, never two of a zone, and all done once links hold.

use std::collections::{BTreeMap, BinaryHeap};

use fleet::keys::Keys;
use fleet::link::{self, Link};
use turns::node::{Config, Kept, Node, Order};
use turns::voter::Guard;
use turns::wishes::{Kind, Stage};
use turns::{Fence, Micros, Peer, SECOND, Terms};

const MS: Micros = 1000;
const STEP: Micros = 20 * MS;

struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n.max(1)
    }
}

struct Relay {
    link: Link,
    node: Node,
    kept: Kept,
    /// Dead until then; frozen until then.
    dead: Option<Micros>,
    frozen: Micros,
    inbox: Vec<Vec<u8>>,
    out_since: Option<Micros>,
}

/// When a note comes, its number, to whom, and its bytes.
type OnTheWay = (Micros, u64, Peer, Vec<u8>);

struct World {
    now: Micros,
    terms: Terms,
    relays: Vec<Relay>,
    way: BinaryHeap<std::cmp::Reverse<OnTheWay>>,
    sent: u64,
    bytes: u64,
    draw: Draw,
    /// Part of the notes that are lost, in thousandths, and the most delay.
    lost: u64,
    delay: Micros,
    /// Relays under this number do not hear the others.
    cut: Peer,
    incarnation: u32,
    fences: BTreeMap<(Peer, Fence), u32>,
    most_out: usize,
    without: Guard,
    /// What was broken first.
    broken: Option<String>,
}

/// How long a machine is out for its work.
const WORK: Micros = SECOND;

impl World {
    fn new(terms: Terms, seed: u64) -> Self {
        Self::with(terms, seed, Guard::None)
    }

    /// One in which a guard is out.
    fn with(terms: Terms, seed: u64, without: Guard) -> Self {
        let mut world = World {
            now: 1000 * SECOND,
            relays: vec![],
            way: BinaryHeap::new(),
            sent: 0,
            bytes: 0,
            draw: Draw(seed),
            lost: 0,
            delay: 22 * MS,
            cut: 0,
            incarnation: 1,
            fences: BTreeMap::new(),
            most_out: 0,
            without,
            broken: None,
            terms,
        };
        world.relays = (0..world.terms.relays).map(|me| world.relay(me, Kept::default())).collect();
        world
    }

    fn relay(&self, me: Peer, kept: Kept) -> Relay {
        let (incarnation, terms) = (self.incarnation, self.terms.clone());
        let peers = (0..terms.relays).collect();
        let config =
            link::Config { me, incarnation, peers, keys: Keys::default(), bytes_per_s: 4000, asks: false };
        let node = Node::new(Config { me, incarnation, terms }, self.now, &kept).without(self.without);
        let link = Link::new(config, self.now);
        Relay { link, node, kept, dead: None, frozen: 0, inbox: vec![], out_since: None }
    }

    fn kill(&mut self, relay: Peer, until: Micros, folder_lost: bool) {
        let relay = &mut self.relays[usize::from(relay)];
        relay.dead = Some(relay.dead.unwrap_or(0).max(until));
        relay.inbox.clear();
        if folder_lost {
            relay.kept = Kept::default();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while self.way.peek().is_some_and(|note| note.0.0 <= now) {
            let Some(std::cmp::Reverse((_, _, to, bytes))) = self.way.pop() else { break };
            let relay = &mut self.relays[usize::from(to)];
            if relay.dead.is_none() {
                relay.inbox.push(bytes);
            }
        }
        for me in 0..self.terms.relays {
            self.run(me);
        }
        self.check();
    }

    fn run(&mut self, me: Peer) {
        let now = self.now;
        let n = usize::from(me);
        if let Some(until) = self.relays[n].dead {
            if now < until {
                return;
            }
            self.incarnation += 1;
            self.relays[n] = self.relay(me, self.relays[n].kept.clone());
        }
        let relay = &mut self.relays[n];
        if relay.frozen > now {
            return;
        }
        relay.node.serves(now, (now / MS) as u64, relay.out_since.is_none());
        for bytes in std::mem::take(&mut relay.inbox) {
            let _ = relay.link.receive(now, &bytes, &mut [&mut relay.node]);
        }
        for order in relay.node.take_orders() {
            match order {
                Order::Out(turn) => {
                    relay.out_since = Some(now);
                    *self.fences.entry((me, turn.fence)).or_default() += 1;
                }
                Order::Back => relay.out_since = None,
            }
        }
        let out = relay.link.poll(now, &mut [&mut relay.node]);
        for order in relay.node.take_orders() {
            if let Order::Out(turn) = order {
                relay.out_since = Some(now);
                *self.fences.entry((me, turn.fence)).or_default() += 1;
            }
        }
        // Its file is written before anything goes out.
        relay.kept = relay.node.kept();
        let ends = relay.out_since.is_some_and(|since| now - since > 200 * MS);
        for note in out {
            self.sent += 1;
            self.bytes += note.bytes.len() as u64;
            assert!(note.bytes.len() <= 256);
            if self.draw.below(1000) < self.lost || (me < self.cut) != (note.to < self.cut) {
                continue;
            }
            for _ in 0..1 + u64::from(self.draw.below(20) == 0) {
                let at = now + self.draw.below(self.delay.unsigned_abs()) as Micros;
                self.way.push(std::cmp::Reverse((at, self.sent, note.to, note.bytes.clone())));
            }
        }
        if ends {
            self.kill(me, now + WORK, false);
        }
    }

    /// Who is out by a turn, from the order to the start after it.
    fn out(&self) -> Vec<Peer> {
        let all = self.relays.iter().enumerate();
        all.filter(|(_, relay)| relay.out_since.is_some()).map(|(n, _)| n as Peer).collect()
    }

    fn check(&mut self) {
        let out = self.out();
        self.most_out = self.most_out.max(out.len());
        let zone = |n: usize| out[..n].iter().any(|other| self.terms.same_zone(out[n], *other));
        let broken = match () {
            () if out.len() > usize::from(self.terms.seats) => Some("too many are out"),
            () if (0..out.len()).any(zone) => Some("two of a zone are out"),
            () if self.fences.values().any(|times| *times > 1) => Some("a fence came again"),
            () => None,
        };
        if self.broken.is_none() {
            self.broken = broken.map(|what| format!("{what}: {out:?} at {}", self.now));
        }
    }

    fn wish_all(&mut self) {
        let now = self.now;
        // All told to one relay, in the same moment.
        for relay in 0..self.terms.relays {
            self.relays[0].node.wish(now, relay, Kind::Restart, Stage::Wanted);
        }
    }

    fn done(&self) -> usize {
        let done = |relay: Peer| {
            let wish = self.relays[usize::from(relay)].node.wishes().of(relay);
            wish.is_some_and(|wish| wish.stage == Stage::Done)
        };
        (0..self.terms.relays).filter(|relay| done(*relay)).count()
    }

    fn until_done(&mut self, seconds: Micros) -> Option<Micros> {
        let begun = self.now;
        while self.now - begun < seconds * SECOND {
            self.step();
            if self.done() == usize::from(self.terms.relays) {
                return Some((self.now - begun) / SECOND);
            }
        }
        None
    }
}

fn terms(relays: Peer, seats: u8, zone_of: Peer) -> Terms {
    Terms { relays, seats, zones: (0..relays).map(|n| n / zone_of).collect() }
}

#[test]
fn a_fleet_goes_through_all_its_wishes_two_at_a_time() {
    let mut world = World::new(terms(12, 2, 3), 1);
    world.run_for(4);
    world.wish_all();
    let took = world.until_done(120).expect("all are done");
    assert_eq!((world.most_out, &world.broken), (2, &None));
    assert!(took < 60, "{took} s for six pairs of a second's work and more");
}

impl World {
    fn run_for(&mut self, seconds: Micros) {
        let until = self.now + seconds * SECOND;
        while self.now < until {
            self.step();
        }
    }
}

/// All wish to go out while things break, for a while; then links hold.
fn chaos(seed: u64, without: Guard) -> World {
    let relays = [3, 5, 8][seed as usize % 3];
    let mut world = World::with(terms(relays, 1 + (seed % 2) as u8, 2), seed, without);
    world.run_for(3);
    world.wish_all();
    // A wish that only one knows whose folder is lost is lost.
    world.run_for(1);
    for _ in 0..12 {
        let relay = world.draw.below(u64::from(relays)) as Peer;
        let span = (1 + world.draw.below(4)) as Micros;
        match world.draw.below(6) {
            0 => world.lost = 300,
            1 => world.delay = 1500 * MS,
            2 => world.cut = relay,
            3 => world.kill(relay, world.now + span * SECOND, false),
            4 => world.kill(relay, world.now + span * SECOND / 4, true),
            _ => world.relays[usize::from(relay)].frozen = world.now + span * SECOND,
        }
        world.run_for(span);
        (world.lost, world.delay, world.cut) = (0, 22 * MS, 0);
    }
    world
}

#[test]
fn whatever_breaks_never_too_many_are_out_and_all_is_done_once_links_hold() {
    for seed in 0..60u64 {
        let mut world = chaos(seed, Guard::None);
        let done = world.until_done(120);
        assert_eq!(world.broken, None, "seed {seed}");
        let why =
            |relay: &Relay| (relay.node.waits_for(world.now), relay.node.turn(), relay.node.wishes().all());
        let why: Vec<_> = world.relays.iter().map(why).collect();
        assert!(done.is_some(), "seed {seed}: {} done: {why:#?}", world.done());
    }
}

#[test]
fn with_voters_that_vote_for_anybody_the_same_faults_break_the_bound() {
    let found = (0..60).find_map(|seed| chaos(seed, Guard::One).broken);
    assert!(found.is_some());
}

#[test]
fn the_small_side_of_a_split_grants_nothing_and_says_why_and_a_heal_is_followed_by_a_turn_within_three_seconds()
 {
    let mut world = World::new(terms(7, 1, 1), 5);
    world.run_for(3);
    world.cut = 3;
    world.run_for(4);
    let now = world.now;
    world.relays[0].node.wish(now, 0, Kind::Restart, Stage::Wanted);
    world.run_for(5);
    assert_eq!(world.out(), []);
    let why = world.relays[0].node.waits_for(world.now);
    assert!(why.contains("out or not heard"), "{why}");
    world.cut = 0;
    world.run_for(3);
    assert!(world.most_out == 1, "{}", world.relays[0].node.waits_for(world.now));
}

#[test]
fn one_that_stays_dead_keeps_its_place_until_it_is_written_off_and_may_return_all_the_same() {
    let mut world = World::new(terms(4, 1, 1), 9);
    world.run_for(3);
    world.kill(3, world.now + 40 * SECOND, true);
    world.run_for(5);
    let now = world.now;
    world.relays[0].node.wish(now, 1, Kind::Restart, Stage::Wanted);
    world.run_for(6);
    assert_eq!(world.most_out, 0, "the dead one has the only place");
    let now = world.now;
    world.relays[0].node.wish(now, 3, Kind::Replace, Stage::WrittenOff);
    world.run_for(6);
    assert_eq!(world.most_out, 1, "{}", world.relays[1].node.waits_for(world.now));
    world.run_for(30);
    assert!(!world.relays[0].node.wishes().written_off(3), "it is back");
}

#[test]
fn while_one_sees_strain_no_turn_begins_and_an_old_wish_is_held_no_more() {
    let mut world = World::new(terms(6, 2, 1), 5);
    let seer = 3;
    world.relays[seer].node.strain(world.now, true);
    (0..150).for_each(|_| world.step());
    let now = world.now;
    world.relays[0].node.wish(now, 1, Kind::Restart, Stage::Wanted);
    (0..500).for_each(|_| world.step());
    assert_eq!((world.most_out, &world.broken), (0, &None), "ten seconds of strain");
    let why = world.relays[1].node.waits_for(world.now);
    assert!(why.contains("relay 3 sees it"), "{why}");
    world.relays[seer].node.strain(world.now, false);
    (0..300).for_each(|_| world.step());
    assert!(world.fences.keys().any(|(relay, _)| *relay == 1), "six seconds after it was over");
    // Strain that lasts holds nobody for ever.
    world.relays[seer].node.strain(world.now, true);
    let now = world.now;
    world.relays[0].node.wish(now, 2, Kind::Restart, Stage::Wanted);
    (0..500).for_each(|_| world.step());
    assert!(!world.fences.keys().any(|(relay, _)| *relay == 2));
    (0..30_000).for_each(|_| world.step());
    assert!(world.fences.keys().any(|(relay, _)| *relay == 2), "ten minutes after its wish");
}

#[test]
fn an_abort_ends_a_wish_or_brings_back_who_is_out() {
    let mut world = World::new(terms(5, 1, 1), 11);
    world.run_for(3);
    let now = world.now;
    world.relays[2].node.wish(now, 4, Kind::Reboot, Stage::Wanted);
    while world.out().is_empty() {
        world.step();
    }
    let now = world.now;
    world.relays[1].node.wish(now, 4, Kind::Reboot, Stage::Aborted);
    world.relays[4].frozen = 0;
    world.run_for(2);
    assert!(world.relays[4].node.turn().is_none());
    let now = world.now;
    world.relays[0].node.pause(now, true);
    world.relays[0].node.wish(now, 2, Kind::Restart, Stage::Wanted);
    world.run_for(4);
    assert_eq!(
        (world.out(), world.relays[2].node.waits_for(world.now)),
        (vec![], "operators hold all turns".into())
    );
}

/// Three hundred relays of ten zones, one of each zone at a time: what it costs in notes, and how long it takes. Run by hand:
/// `cargo test --release -p turns --test world -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes, and is no different from run to run"]
fn three_hundred_relays_go_through_all_their_wishes() {
    let mut world = World::new(terms(300, 10, 30), 3);
    world.run_for(4);
    world.wish_all();
    let (sent, bytes, begun) = (world.sent, world.bytes, world.now);
    let took = world.until_done(1200);
    let seconds = (world.now - begun) as f64 / SECOND as f64;
    let per = |count: u64| count as f64 / seconds / 300.0;
    println!(
        "{took:?} s, {} out at the most, {:.1} notes and {:.0} bytes a relay and second",
        world.most_out,
        per(world.sent - sent),
        per(world.bytes - bytes)
    );
    assert_eq!(world.broken, None);
    assert!(took.is_some(), "{} done", world.done());
}
