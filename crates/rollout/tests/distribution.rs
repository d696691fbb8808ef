//! Changes reach every relay, over networks that lose, double and reorder, and whichever machines fail.

mod world;

use rollout::MOST_SUBSCRIBERS;
use rollout::{Micros, SECOND};
use world::{Layout, World, put};

/// Within so long a change has to be in force on every relay that is connected.
const IN_FORCE: Micros = 4 * SECOND;

fn settled(seed: u64) -> World {
    let mut world = World::new(Layout::new(seed));
    world.run(8 * SECOND);
    world
}

#[test]
fn a_change_is_in_force_everywhere_well_before_the_limit() {
    let mut world = settled(1);
    let everyone = world.all();
    for destination in 0..20 {
        let version = world.change(vec![put(destination, 80)]);
        let took = world.until(&everyone, version, IN_FORCE);
        assert!(took.is_some_and(|took| took < SECOND), "change {destination}: {took:?}");
        world.run(SECOND);
    }
}

#[test]
fn loss_doubling_and_reordering_delay_a_change_and_nothing_else() {
    for (seed, lost, limit) in [(2, 0.05, IN_FORCE), (3, 0.1, IN_FORCE), (4, 0.3, 5 * IN_FORCE)] {
        let mut world = settled(seed);
        world.network = world::Network { lost, doubled: 0.1, delay: (500, 150_000) };
        world.run(5 * SECOND);
        let everyone = world.all();
        for destination in 0..5 {
            let version = world.change(vec![put(destination, 80), put(destination + 100, 81)]);
            let took = world.until(&everyone, version, limit);
            assert!(took.is_some(), "{lost} lost, change {destination}: not in force after {limit} us");
        }
    }
}

#[test]
fn a_burst_of_changes_and_the_largest_change_arrive() {
    let mut world = settled(5);
    let everyone = world.all();
    let mut version = world.author.version();
    for destination in 0..30 {
        version = world.change(vec![put(destination, 80)]);
    }
    assert!(world.until(&everyone, version, 3 * IN_FORCE).is_some(), "the burst is not in force");
    let large: Vec<_> = (0..60).map(|destination| put(1000 + destination, 80)).collect();
    let version = world.change(large);
    let encoded = world.newest.as_ref().map_or(0, |signed| signed.encoded_len());
    assert!(encoded > 2500, "{encoded} bytes");
    assert!(world.until(&everyone, version, IN_FORCE).is_some(), "the large change is not in force");
}

#[test]
fn a_dead_representative_and_a_dead_upstream_are_done_without() {
    let mut world = settled(6);
    let representative = world.zone(0).into_iter().find(|peer| world.topology.is_representative(*peer));
    let representative = representative.expect("each zone has one");
    world.stop(representative);
    let of_other_zone = world.zone(1)[3];
    let upstream = world.node(of_other_zone).status(world.now).upstreams[0].peer;
    world.stop(upstream);
    let left: Vec<_> = world.all().into_iter().filter(|peer| world.is_up(*peer)).collect();
    let version = world.change(vec![put(1, 80)]);
    assert!(world.until(&left, version, IN_FORCE).is_some(), "it waits for the dead");
    world.run(5 * SECOND);
    for peer in world.relays().into_iter().filter(|peer| world.is_up(*peer)) {
        let upstreams = world.node(peer).status(world.now).upstreams;
        assert_eq!(upstreams.len(), 2, "relay {peer} has lost an upstream");
        assert!(
            upstreams.iter().all(|upstream| world.is_up(upstream.peer)),
            "relay {peer} waits for the dead"
        );
    }
}

#[test]
fn a_fleet_without_any_representative_goes_by_the_control_machines() {
    let mut world = settled(13);
    let representatives = world.representatives();
    assert_eq!(representatives.len(), 12, "three in each zone");
    representatives.iter().for_each(|peer| world.stop(*peer));
    world.run(8 * SECOND);
    let left: Vec<_> = world.all().into_iter().filter(|peer| world.is_up(*peer)).collect();
    let version = world.change(vec![put(1, 80)]);
    assert!(world.until(&left, version, IN_FORCE).is_some(), "some relay has no way to control");
    assert!(world.most_subscribers <= MOST_SUBSCRIBERS);
}

#[test]
fn control_machines_may_fail_while_one_is_left() {
    let mut world = settled(7);
    let controls = world.controls();
    let relays = world.relays();
    for (dead, destination) in [(controls[0], 1), (controls[1], 2)] {
        world.stop(dead);
        let version = world.change(vec![put(destination, 80)]);
        assert!(world.until(&relays, version, IN_FORCE).is_some(), "control machine {dead} is waited for");
        world.run(10 * SECOND);
    }
    assert!(world.most_subscribers <= MOST_SUBSCRIBERS);
}

#[test]
fn a_deaf_relay_blocks_nobody_and_catches_up_when_it_hears_again() {
    let mut world = settled(8);
    let deaf = world.zone(0).into_iter().find(|peer| world.topology.is_representative(*peer));
    let deaf = deaf.expect("each zone has one");
    let others: Vec<_> = world.all().into_iter().filter(|peer| *peer != deaf).collect();
    world.cut(&others, &[deaf]);
    let mut version = world.author.version();
    for destination in 0..10 {
        version = world.change(vec![put(destination, 80)]);
        assert!(world.until(&others, version, IN_FORCE).is_some(), "the deaf relay is waited for");
        world.run(2 * SECOND);
    }
    let holders =
        others.iter().filter(|peer| world.node(**peer).status(world.now).subscribers.contains(&deaf));
    assert!(holders.count() <= 6, "the leases of a relay that hears nothing pile up");
    assert!(world.version(deaf) < version);
    world.heal();
    assert!(world.until(&[deaf], version, 3 * IN_FORCE).is_some(), "it does not come back");
}

#[test]
fn a_zone_that_was_cut_off_goes_on_with_its_version_and_converges_after() {
    let mut world = settled(9);
    let everyone = world.all();
    let first = world.change(vec![put(1, 80)]);
    world.until(&everyone, first, IN_FORCE).expect("all are connected");
    let zone = world.zone(2);
    world.isolate(&zone);
    let mut version = first;
    for destination in 10..20 {
        version = world.change(vec![put(destination, 80)]);
        world.run(3 * SECOND);
    }
    let rest: Vec<_> = everyone.iter().copied().filter(|peer| !zone.contains(peer)).collect();
    assert!(world.until(&rest, version, IN_FORCE).is_some(), "the rest waits for the zone");
    for peer in &zone {
        let status = world.node(*peer).status(world.now);
        assert_eq!(status.version, first, "it goes on with the last good version");
        assert!(
            status.age.is_some_and(|age| age > 25 * SECOND),
            "and knows that it is old: {:?}",
            status.age
        );
    }
    world.heal();
    let took = world.until(&everyone, version, 30 * SECOND).expect("the zone converges");
    assert!(took < 12 * SECOND, "{took} us until all are equal");
    world.run(5 * SECOND);
    let age = world.node(zone[0]).status(world.now).age;
    assert!(age.is_some_and(|age| age < 5 * SECOND), "{age:?}");
}

#[test]
fn a_zone_that_starts_at_once_has_everything_soon() {
    let mut world = settled(10);
    let everyone = world.all();
    let mut version = world.author.version();
    for destination in 0..12 {
        version = world.change(vec![put(destination, 80)]);
        world.run(SECOND / 10);
    }
    world.until(&everyone, version, 2 * IN_FORCE).expect("all are connected");
    let zone = world.zone(1);
    zone.iter().for_each(|peer| world.stop(*peer));
    world.run(20 * SECOND);
    zone.iter().for_each(|peer| world.start(*peer));
    let took = world.until(&zone, version, 30 * SECOND).expect("the zone starts");
    assert!(took < 15 * SECOND, "{took} us");
}

#[test]
fn two_runs_of_a_seed_are_the_same() {
    let run = |seed| {
        let mut world = settled(seed);
        world.change(vec![put(1, 80)]);
        world.run(3 * SECOND);
        (world.sent.clone(), world.in_force.clone())
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11).0, run(12).0);
}
