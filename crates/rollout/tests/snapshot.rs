//! Relays that lag behind the change log take a snapshot: whole or not at all, while the set moves on.

mod world;

use destinations::{ControlKeys, DestinationSet, LogLimits, SignedChange, SigningKey};
use rollout::{Kind, Micros, SECOND};
use world::{Layout, Network, World, put};

/// A fleet whose machines keep only the last four changes, and that has moved on by more than these.
fn moved_on(seed: u64, changes: i64) -> World {
    let log = LogLimits { changes: 4, bytes: 1 << 20 };
    let mut world = World::new(Layout { relays: 12, zones: 2, log, ..Layout::new(seed) });
    world.run(6 * SECOND);
    let everyone = world.all();
    for destination in 0..changes {
        let version = world.change(vec![put(destination, 80), put(1000 + destination, 80)]);
        world.until(&everyone, version, 4 * SECOND).expect("all are connected");
    }
    world
}

#[test]
fn a_relay_that_missed_more_than_the_log_takes_a_snapshot() {
    let mut world = moved_on(21, 8);
    let (relays, version) = (world.relays(), world.author.version());
    let fresh = world.zone(0)[4];
    world.stop(fresh);
    world.run(5 * SECOND);
    world.start(fresh);
    let took = world.until(&[fresh], version, 60 * SECOND).expect("it takes a snapshot");
    assert!(took < 30 * SECOND, "{took} us for a manifest of 33 KB and 16 buckets");
    let counts = world.node(fresh).counts();
    assert_eq!((counts.installed, counts.applied), (1, 1), "at once and by nothing else");
    let next = world.change(vec![put(5000, 80)]);
    assert!(world.until(&relays, next, 4 * SECOND).is_some(), "and follows the changes after that");
}

#[test]
fn a_snapshot_is_served_whole_while_the_set_moves_on() {
    let mut world = moved_on(22, 12);
    world.network = Network { lost: 0.03, doubled: 0.05, delay: (500, 60_000) };
    let fresh = world.zone(1)[5];
    world.stop(fresh);
    world.run(5 * SECOND);
    world.start(fresh);
    // Each change touches buckets that the transfer is about to send, and compacts the one before away.
    let mut version = world.author.version();
    for round in 0..20 {
        version = world.change(vec![put(round % 12, 81 + round as u16)]);
        world.run(SECOND);
    }
    assert!(world.until(&[fresh], version, 120 * SECOND).is_some(), "it never ends");
    assert!(world.node(fresh).counts().installed >= 1);
}

#[test]
fn a_relay_with_an_older_set_fetches_the_buckets_that_differ_and_no_others() {
    let mut world = moved_on(23, 8);
    let away = world.zone(0)[5];
    let (set, newest) = (copy(world.node(away).set()), world.node(away).newest().cloned());
    world.stop(away);
    for destination in 0..6 {
        let version = world.change(vec![put(destination, 99)]);
        let rest: Vec<_> = world.all().into_iter().filter(|peer| *peer != away).collect();
        world.until(&rest, version, 4 * SECOND).expect("the rest is connected");
    }
    let served = |world: &World| -> u64 {
        let up = world.all().into_iter().filter(|peer| *peer != away);
        up.map(|peer| world.node(peer).counts().snapshot_bytes).sum()
    };
    let before = served(&world);
    world.start_with(away, set, newest);
    let version = world.author.version();
    world.until(&[away], version, 60 * SECOND).expect("it catches up");
    let bytes = served(&world) - before;
    assert!((33_000..38_000).contains(&bytes), "{bytes} bytes for the manifest and 6 buckets");
}

#[test]
fn a_server_keeps_within_its_budget() {
    let mut world = moved_on(24, 8);
    let zone = world.zone(0);
    zone.iter().for_each(|peer| world.stop(*peer));
    world.run(5 * SECOND);
    zone.iter().for_each(|peer| world.start(*peer));
    let servers: Vec<_> = world.all().into_iter().filter(|peer| !zone.contains(peer)).collect();
    let before = world.sent.clone();
    let span: Micros = 10;
    world.run(span * SECOND);
    for peer in servers {
        let bytes = (world.sent[&peer] - before[&peer]) / span.unsigned_abs();
        assert!(bytes < 7000, "machine {peer} sends {bytes} bytes/s while a zone fetches snapshots");
    }
    let version = world.author.version();
    assert!(world.until(&zone, version, 300 * SECOND).is_some(), "the zone is not served");
}

#[test]
fn all_sources_serve_although_a_change_came_while_the_manifest_was_sent() {
    let mut world = moved_on(27, 14);
    let fresh = world.zone(0)[4];
    world.stop(fresh);
    world.run(5 * SECOND);
    world.start(fresh);
    while world.node(fresh).status(world.now).snapshot.is_none() {
        world.run(SECOND / 10);
    }
    world.run(2 * SECOND);
    assert_eq!(
        world.node(fresh).status(world.now).snapshot.and_then(|progress| progress.missing_buckets),
        None
    );
    let version = world.change(vec![put(3, 99)]);
    world.until(&[fresh], version, 60 * SECOND).expect("it takes a snapshot");
    let others = world.all().into_iter().filter(|peer| *peer != fresh);
    let served = others.filter(|peer| world.node(*peer).counts().snapshot_bytes > 0).count();
    assert!(served >= 4, "{served} machines served buckets, the one with the manifest among them");
}

/// A control machine that was taken over: what it publishes and serves is signed by another key, and newer.
fn take_over(world: &mut World, control: rollout::Peer) {
    let key = SigningKey::from_bytes(&[8; 32]);
    let keys = ControlKeys::new(&[key.verifying_key().to_bytes()]).expect("a usable key");
    world.stop(control);
    world.start_taken_over(control, keys);
    let mut set = DestinationSet::new();
    for destination in 0..40 {
        let change = set.prepare(vec![put(destination, 666)]).expect("it fits");
        set.apply(&change).expect("it was prepared for this set");
        let signed = SignedChange::sign(&change, &key).expect("within bounds");
        let now = world.now;
        world.node_mut(control).publish(now, signed).expect("by its own keys");
    }
}

#[test]
fn a_machine_that_was_taken_over_can_neither_change_a_relay_nor_keep_it_from_the_others() {
    let mut world = moved_on(25, 8);
    let liar = world.controls()[0];
    let fresh: Vec<_> = world.representatives().into_iter().take(2).collect();
    fresh.iter().for_each(|peer| world.stop(*peer));
    take_over(&mut world, liar);
    world.run(5 * SECOND);
    fresh.iter().for_each(|peer| world.start(*peer));
    let version = world.author.version();
    // That nobody ever holds a set of the liar's is checked after every step.
    assert!(world.until(&fresh, version, 60 * SECOND).is_some(), "the liar keeps them from the others");
    let forged: u64 = world.relays().into_iter().map(|peer| world.node(peer).counts().of(Kind::Forged)).sum();
    assert!(forged > 0, "the liar was never heard");
}

#[test]
fn fragments_that_nobody_asked_for_are_left_aside() {
    let mut world = moved_on(26, 8);
    let (fresh, other) = (world.zone(0)[4], world.controls()[0]);
    world.stop(fresh);
    world.run(5 * SECOND);
    world.start(fresh);
    for request in 1..20 {
        let lie = rollout::message::Message::PartFragment { request, index: 0, count: 1, bytes: vec![0; 50] };
        world.inject(other, fresh, &[lie]);
    }
    world.run(SECOND);
    assert!(world.node(fresh).counts().of(Kind::Unasked) >= 19);
    let version = world.author.version();
    assert!(world.until(&[fresh], version, 60 * SECOND).is_some(), "the sound one is taken all the same");
}

fn copy(set: &DestinationSet) -> DestinationSet {
    let mut decoder = destinations::persist::Decoder::new();
    destinations::persist::encode(set).for_each(|piece| decoder.push(&piece).expect("it was encoded"));
    decoder.finish().expect("it was encoded")
}
