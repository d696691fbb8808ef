//! Maintenance coordination in simulated time, with datagrams that are delayed, lost and duplicated, and relays that are
//! partitioned, killed, frozen and restarted. Never more relays than allowed are in maintenance, never two of a zone, and
//! all requests are completed once the network works again.

use std::collections::{BTreeMap, BinaryHeap};

use fleet::keys::Keys;
use fleet::link::{self, PeerLink};
use turns::node::{Action, Config, Node, PersistedState};
use turns::requests::{Kind, Stage};
use turns::voter::DisabledCheck;
use turns::{FencingToken, MaintenancePolicy, Micros, Peer, SECOND};

const MS: Micros = 1000;
const STEP: Micros = 20 * MS;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n.max(1)
    }
}

struct Relay {
    link: PeerLink,
    node: Node,
    persisted: PersistedState,
    /// When a crashed relay restarts.
    restart_at: Option<Micros>,
    frozen_until: Micros,
    inbox: Vec<Vec<u8>>,
    maintenance_since: Option<Micros>,
}

/// A datagram in transit: its arrival time, its number, the recipient and the bytes.
type InTransit = (Micros, u64, Peer, Vec<u8>);

struct World {
    now: Micros,
    policy: MaintenancePolicy,
    relays: Vec<Relay>,
    in_transit: BinaryHeap<std::cmp::Reverse<InTransit>>,
    sent: u64,
    bytes: u64,
    rng: Rng,
    /// Datagrams lost, per thousand.
    loss_per_mille: u64,
    max_delay: Micros,
    /// Relays with numbers below this are partitioned from the others.
    partition_below: Peer,
    incarnation: u32,
    slot_counts: BTreeMap<(Peer, FencingToken), u32>,
    max_in_maintenance: usize,
    disabled: DisabledCheck,
    /// The first violation of an invariant.
    violation: Option<String>,
}

/// Duration of the maintenance of a machine, in microseconds.
const WORK_DURATION: Micros = SECOND;

impl World {
    fn new(policy: MaintenancePolicy, seed: u64) -> Self {
        Self::with_disabled_check(policy, seed, DisabledCheck::None)
    }

    /// A world in which a safety check is disabled.
    fn with_disabled_check(policy: MaintenancePolicy, seed: u64, disabled: DisabledCheck) -> Self {
        let mut world = World {
            now: 1000 * SECOND,
            relays: vec![],
            in_transit: BinaryHeap::new(),
            sent: 0,
            bytes: 0,
            rng: Rng(seed),
            loss_per_mille: 0,
            max_delay: 22 * MS,
            partition_below: 0,
            incarnation: 1,
            slot_counts: BTreeMap::new(),
            max_in_maintenance: 0,
            disabled,
            violation: None,
            policy,
        };
        world.relays =
            (0..world.policy.relays).map(|me| world.relay(me, PersistedState::default())).collect();
        world
    }

    fn relay(&self, me: Peer, persisted: PersistedState) -> Relay {
        let (incarnation, policy) = (self.incarnation, self.policy.clone());
        let peers = (0..policy.relays).collect();
        let config = link::Config {
            me,
            incarnation,
            peers,
            keys: Keys::default(),
            bytes_per_s: 4000,
            pings_silent_peers: false,
        };
        let node = Node::new(Config { me, incarnation, policy }, self.now, &persisted)
            .with_disabled_check(self.disabled);
        let link = PeerLink::new(config, self.now);
        Relay {
            link,
            node,
            persisted,
            restart_at: None,
            frozen_until: 0,
            inbox: vec![],
            maintenance_since: None,
        }
    }

    fn crash(&mut self, relay: Peer, until: Micros, folder_lost: bool) {
        let relay = &mut self.relays[usize::from(relay)];
        relay.restart_at = Some(relay.restart_at.unwrap_or(0).max(until));
        relay.inbox.clear();
        if folder_lost {
            relay.persisted = PersistedState::default();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while self.in_transit.peek().is_some_and(|datagram| datagram.0.0 <= now) {
            let Some(std::cmp::Reverse((_, _, to, bytes))) = self.in_transit.pop() else { break };
            let relay = &mut self.relays[usize::from(to)];
            if relay.restart_at.is_none() {
                relay.inbox.push(bytes);
            }
        }
        for me in 0..self.policy.relays {
            self.run_relay(me);
        }
        self.check_invariants();
    }

    fn run_relay(&mut self, me: Peer) {
        let now = self.now;
        let n = usize::from(me);
        if let Some(until) = self.relays[n].restart_at {
            if now < until {
                return;
            }
            self.incarnation += 1;
            self.relays[n] = self.relay(me, self.relays[n].persisted.clone());
        }
        let relay = &mut self.relays[n];
        if relay.frozen_until > now {
            return;
        }
        relay.node.set_serving(now, (now / MS) as u64, relay.maintenance_since.is_none());
        for bytes in std::mem::take(&mut relay.inbox) {
            let _ = relay.link.receive(now, &bytes, &mut [&mut relay.node]);
        }
        for order in relay.node.take_actions() {
            match order {
                Action::Drain(turn) => {
                    relay.maintenance_since = Some(now);
                    *self.slot_counts.entry((me, turn.token)).or_default() += 1;
                }
                Action::Resume => relay.maintenance_since = None,
            }
        }
        let out = relay.link.poll(now, &mut [&mut relay.node]);
        for order in relay.node.take_actions() {
            if let Action::Drain(turn) = order {
                relay.maintenance_since = Some(now);
                *self.slot_counts.entry((me, turn.token)).or_default() += 1;
            }
        }
        // The state is persisted before any datagram is sent.
        relay.persisted = relay.node.persisted_state();
        let ends = relay.maintenance_since.is_some_and(|since| now - since > 200 * MS);
        for datagram in out {
            self.sent += 1;
            self.bytes += datagram.bytes.len() as u64;
            assert!(datagram.bytes.len() <= 256);
            if self.rng.below(1000) < self.loss_per_mille
                || (me < self.partition_below) != (datagram.to < self.partition_below)
            {
                continue;
            }
            for _ in 0..1 + u64::from(self.rng.below(20) == 0) {
                let at = now + self.rng.below(self.max_delay.unsigned_abs()) as Micros;
                self.in_transit.push(std::cmp::Reverse((at, self.sent, datagram.to, datagram.bytes.clone())));
            }
        }
        if ends {
            self.crash(me, now + WORK_DURATION, false);
        }
    }

    /// Relays in maintenance, from the order to drain to the restart after it.
    fn in_maintenance(&self) -> Vec<Peer> {
        let all = self.relays.iter().enumerate();
        all.filter(|(_, relay)| relay.maintenance_since.is_some()).map(|(n, _)| n as Peer).collect()
    }

    fn check_invariants(&mut self) {
        let out = self.in_maintenance();
        self.max_in_maintenance = self.max_in_maintenance.max(out.len());
        let zone = |n: usize| out[..n].iter().any(|other| self.policy.same_zone(out[n], *other));
        let violation = match () {
            () if out.len() > usize::from(self.policy.max_unavailable) => {
                Some("too many relays are in maintenance")
            }
            () if (0..out.len()).any(zone) => Some("two relays of a zone are in maintenance"),
            () if self.slot_counts.values().any(|times| *times > 1) => Some("a fencing token was used twice"),
            () => None,
        };
        if self.violation.is_none() {
            self.violation = violation.map(|what| format!("{what}: {out:?} at {}", self.now));
        }
    }

    fn request_all_restarts(&mut self) {
        let now = self.now;
        // All requests go to one relay, at the same time.
        for relay in 0..self.policy.relays {
            self.relays[0].node.update_request(now, relay, Kind::Restart, Stage::Pending);
        }
    }

    fn completed(&self) -> usize {
        let done = |relay: Peer| {
            let wish = self.relays[usize::from(relay)].node.requests().get(relay);
            wish.is_some_and(|wish| wish.stage == Stage::Done)
        };
        (0..self.policy.relays).filter(|relay| done(*relay)).count()
    }

    fn run_until_done(&mut self, seconds: Micros) -> Option<Micros> {
        let begun = self.now;
        while self.now - begun < seconds * SECOND {
            self.step();
            if self.completed() == usize::from(self.policy.relays) {
                return Some((self.now - begun) / SECOND);
            }
        }
        None
    }
}

fn policy(relays: Peer, max_unavailable: u8, zone_of: Peer) -> MaintenancePolicy {
    MaintenancePolicy { relays, max_unavailable, zones: (0..relays).map(|n| n / zone_of).collect() }
}

#[test]
fn all_requests_are_completed_with_two_relays_in_maintenance_at_a_time() {
    let mut world = World::new(policy(12, 2, 3), 1);
    world.run_for(4);
    world.request_all_restarts();
    let took = world.run_until_done(120).expect("all requests are completed");
    assert_eq!((world.max_in_maintenance, &world.violation), (2, &None));
    assert!(took < 60, "{took} s for six pairs with one second of work each");
}

impl World {
    fn run_for(&mut self, seconds: Micros) {
        let until = self.now + seconds * SECOND;
        while self.now < until {
            self.step();
        }
    }
}

/// Requests maintenance of all relays while faults are injected for a while; then the network works again.
fn run_with_faults(seed: u64, disabled: DisabledCheck) -> World {
    let relays = [3, 5, 8][seed as usize % 3];
    let mut world = World::with_disabled_check(policy(relays, 1 + (seed % 2) as u8, 2), seed, disabled);
    world.run_for(3);
    world.request_all_restarts();
    // A request that only one relay knows would be lost with the folder of that relay.
    world.run_for(1);
    for _ in 0..12 {
        let relay = world.rng.below(u64::from(relays)) as Peer;
        let span = (1 + world.rng.below(4)) as Micros;
        match world.rng.below(6) {
            0 => world.loss_per_mille = 300,
            1 => world.max_delay = 1500 * MS,
            2 => world.partition_below = relay,
            3 => world.crash(relay, world.now + span * SECOND, false),
            4 => world.crash(relay, world.now + span * SECOND / 4, true),
            _ => world.relays[usize::from(relay)].frozen_until = world.now + span * SECOND,
        }
        world.run_for(span);
        (world.loss_per_mille, world.max_delay, world.partition_below) = (0, 22 * MS, 0);
    }
    world
}

#[test]
fn faults_never_exceed_the_bound_and_all_requests_are_completed_afterwards() {
    for seed in 0..60u64 {
        let mut world = run_with_faults(seed, DisabledCheck::None);
        let done = world.run_until_done(120);
        assert_eq!(world.violation, None, "seed {seed}");
        let describe = |relay: &Relay| {
            (relay.node.waiting_reason(world.now), relay.node.slot(), relay.node.requests().all())
        };
        let reasons: Vec<_> = world.relays.iter().map(describe).collect();
        assert!(done.is_some(), "seed {seed}: {} done: {reasons:#?}", world.completed());
    }
}

#[test]
fn without_the_exclusion_check_the_same_faults_exceed_the_bound() {
    let found = (0..60).find_map(|seed| run_with_faults(seed, DisabledCheck::Exclusion).violation);
    assert!(found.is_some());
}

#[test]
fn a_minority_partition_grants_no_slot_and_a_slot_follows_within_three_seconds_of_its_end() {
    let mut world = World::new(policy(7, 1, 1), 5);
    world.run_for(3);
    world.partition_below = 3;
    world.run_for(4);
    let now = world.now;
    world.relays[0].node.update_request(now, 0, Kind::Restart, Stage::Pending);
    world.run_for(5);
    assert_eq!(world.in_maintenance(), []);
    let why = world.relays[0].node.waiting_reason(world.now);
    assert!(why.contains("in maintenance or unreachable"), "{why}");
    world.partition_below = 0;
    world.run_for(3);
    assert!(world.max_in_maintenance == 1, "{}", world.relays[0].node.waiting_reason(world.now));
}

#[test]
fn a_dead_relay_occupies_a_slot_until_it_is_written_off_and_may_still_return() {
    let mut world = World::new(policy(4, 1, 1), 9);
    world.run_for(3);
    world.crash(3, world.now + 40 * SECOND, true);
    world.run_for(5);
    let now = world.now;
    world.relays[0].node.update_request(now, 1, Kind::Restart, Stage::Pending);
    world.run_for(6);
    assert_eq!(world.max_in_maintenance, 0, "the dead relay occupies the only slot");
    let now = world.now;
    world.relays[0].node.update_request(now, 3, Kind::Replace, Stage::WrittenOff);
    world.run_for(6);
    assert_eq!(world.max_in_maintenance, 1, "{}", world.relays[1].node.waiting_reason(world.now));
    world.run_for(30);
    assert!(!world.relays[0].node.requests().written_off(3), "the relay has returned");
}

#[test]
fn strain_delays_maintenance_but_no_request_older_than_ten_minutes() {
    let mut world = World::new(policy(6, 2, 1), 5);
    let reporter = 3;
    world.relays[reporter].node.set_strained(world.now, true);
    (0..150).for_each(|_| world.step());
    let now = world.now;
    world.relays[0].node.update_request(now, 1, Kind::Restart, Stage::Pending);
    (0..500).for_each(|_| world.step());
    assert_eq!((world.max_in_maintenance, &world.violation), (0, &None), "during ten seconds of strain");
    let why = world.relays[1].node.waiting_reason(world.now);
    assert!(why.contains("as reported by relay 3"), "{why}");
    world.relays[reporter].node.set_strained(world.now, false);
    (0..300).for_each(|_| world.step());
    assert!(
        world.slot_counts.keys().any(|(relay, _)| *relay == 1),
        "within six seconds of the end of the strain"
    );
    // Permanent strain does not delay a request for ever.
    world.relays[reporter].node.set_strained(world.now, true);
    let now = world.now;
    world.relays[0].node.update_request(now, 2, Kind::Restart, Stage::Pending);
    (0..500).for_each(|_| world.step());
    assert!(!world.slot_counts.keys().any(|(relay, _)| *relay == 2));
    (0..30_000).for_each(|_| world.step());
    assert!(world.slot_counts.keys().any(|(relay, _)| *relay == 2), "ten minutes after its request");
}

#[test]
fn an_abort_withdraws_a_request_or_ends_the_maintenance() {
    let mut world = World::new(policy(5, 1, 1), 11);
    world.run_for(3);
    let now = world.now;
    world.relays[2].node.update_request(now, 4, Kind::Reboot, Stage::Pending);
    while world.in_maintenance().is_empty() {
        world.step();
    }
    let now = world.now;
    world.relays[1].node.update_request(now, 4, Kind::Reboot, Stage::Aborted);
    world.relays[4].frozen_until = 0;
    world.run_for(2);
    assert!(world.relays[4].node.slot().is_none());
    let now = world.now;
    world.relays[0].node.set_paused(now, true);
    world.relays[0].node.update_request(now, 2, Kind::Restart, Stage::Pending);
    world.run_for(4);
    assert_eq!(
        (world.in_maintenance(), world.relays[2].node.waiting_reason(world.now)),
        (vec![], "maintenance is paused by operators".into())
    );
}

/// Three hundred relays in ten zones, with one of each zone in maintenance at a time: prints the duration and the cost in
/// datagrams and bytes. Run by hand:
/// `cargo test --release -p turns --test world -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes, and its result is the same in each run"]
fn three_hundred_relays_complete_all_requests() {
    let mut world = World::new(policy(300, 10, 30), 3);
    world.run_for(4);
    world.request_all_restarts();
    let (sent, bytes, begun) = (world.sent, world.bytes, world.now);
    let took = world.run_until_done(1200);
    let seconds = (world.now - begun) as f64 / SECOND as f64;
    let per = |count: u64| count as f64 / seconds / 300.0;
    println!(
        "{took:?} s, at most {} in maintenance, {:.1} datagrams and {:.0} bytes per relay and second",
        world.max_in_maintenance,
        per(world.sent - sent),
        per(world.bytes - bytes)
    );
    assert_eq!(world.violation, None);
    assert!(took.is_some(), "{} done", world.completed());
}
