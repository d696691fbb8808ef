//! What is forged, cut, oversize, stale, doubled, out of order or unasked has no effect but to be counted by its kind.

mod world;

use destinations::{Change, DestinationId, DestinationSet, Operation, SignedChange, SigningKey, Version};
use fleet::datagram::Stamp;
use fleet::link::{Channel, Sender};
use fleet::members::Members;
use proptest::prelude::*;
use rollout::message::{FRAGMENT_BYTES, Message, decode};
use rollout::topology::{Machine, Place, Role, Topology};
use rollout::{Config, Kind, Node, Peer, RolloutError, SECOND};
use world::{Layout, World, control_key, put};

/// A settled fleet with a version in force, a relay of it, and the relay's primary upstream.
fn fleet(seed: u64) -> (World, Peer, Peer) {
    let mut world = World::new(Layout { relays: 12, zones: 2, ..Layout::new(seed) });
    world.run(6 * SECOND);
    let everyone = world.all();
    for destination in 0..3 {
        let version = world.change(vec![put(destination, 80)]);
        world.until(&everyone, version, 4 * SECOND).expect("all are connected");
    }
    world.run(2 * SECOND);
    let relay = world.zone(0)[5];
    let upstream = world.node(relay).status(world.now).upstreams[0].peer;
    (world, relay, upstream)
}

fn fragments(version: Version, signed: &SignedChange) -> Vec<Message> {
    let encoded = signed.encode();
    let parts: Vec<&[u8]> = encoded.chunks(FRAGMENT_BYTES).collect();
    let count = parts.len() as u8;
    let message =
        |(index, part): (u8, &&[u8])| Message::ChangeFragment { version, index, count, bytes: part.to_vec() };
    (0..).zip(&parts).map(message).collect()
}

/// Sends a change to the relay as its upstream would, and tells how often each kind was counted because of it.
fn offer(
    world: &mut World, (upstream, relay): (Peer, Peer), version: Version, signed: &SignedChange,
) -> Vec<Kind> {
    let before = world.node(relay).counts();
    world.inject(upstream, relay, &fragments(version, signed));
    world.run(SECOND / 10);
    let after = world.node(relay).counts();
    after.rejected.keys().copied().filter(|kind| after.of(*kind) > before.of(*kind)).collect()
}

fn next_change(world: &World) -> Change {
    world.author.prepare(vec![put(77, 1)]).expect("it fits")
}

#[test]
fn a_change_by_another_key_is_refused_and_the_very_same_change_by_control_is_taken() {
    let (mut world, relay, upstream) = fleet(31);
    let (change, before) = (next_change(&world), world.version(relay));
    let forged = SignedChange::sign(&change, &SigningKey::from_bytes(&[8; 32])).expect("within bounds");
    assert_eq!(offer(&mut world, (upstream, relay), change.version, &forged), [Kind::Forged]);
    assert_eq!(world.version(relay), before);
    let subscribers = world.all().into_iter().filter(|peer| world.version(*peer) > before);
    assert_eq!(subscribers.count(), 0, "it was forwarded");
    // Everything but the signature was right: without verification the forged change would have been in force.
    let version = world.commit(change);
    let signed = world.newest.clone().expect("it was committed");
    assert_eq!(offer(&mut world, (upstream, relay), version, &signed), []);
    assert_eq!(world.version(relay), version);
}

#[test]
fn a_change_with_a_flipped_bit_is_refused() {
    let (mut world, relay, upstream) = fleet(32);
    let (change, before) = (next_change(&world), world.version(relay));
    let signed = SignedChange::sign(&change, &control_key()).expect("within bounds");
    for at in [0, 40, 64, 100, signed.encoded_len() - 1] {
        let mut bytes = signed.encode();
        bytes[at] ^= 1;
        let flipped = SignedChange::decode(&bytes).expect("long enough");
        assert_eq!(
            offer(&mut world, (upstream, relay), change.version, &flipped),
            [Kind::Forged],
            "byte {at}"
        );
    }
    let cut = SignedChange::decode(&signed.encode()[..80]).expect("long enough");
    assert_eq!(offer(&mut world, (upstream, relay), change.version, &cut), [Kind::Forged]);
    assert_eq!(world.version(relay), before);
}

#[test]
fn stale_doubled_early_and_unfit_changes_of_control_are_told_apart() {
    let (mut world, relay, upstream) = fleet(33);
    let path = (upstream, relay);
    let before = world.version(relay);
    let sign = |change: &Change| SignedChange::sign(change, &control_key()).expect("within bounds");
    let newest = world.newest.clone().expect("some were committed");
    assert_eq!(offer(&mut world, path, before, &newest), [Kind::Doubled]);

    let good = next_change(&world);
    let at = |epoch, number| Change { version: Version { epoch, number }, ..good.clone() };
    let early = at(before.epoch, before.number + 2);
    assert_eq!(offer(&mut world, path, early.version, &sign(&early)), [Kind::OutOfOrder]);
    let unfit = Change { previous_digest: good.digest, ..good.clone() };
    assert_eq!(offer(&mut world, path, unfit.version, &sign(&unfit)), [Kind::Diverged]);
    let gone = Operation::RemoveDestination { destination: DestinationId(-5) };
    let unknown = Change { operations: vec![gone], ..good.clone() };
    assert_eq!(offer(&mut world, path, unknown.version, &sign(&unknown)), [Kind::Unknown]);
    let mislabelled = sign(&at(before.epoch, before.number + 3));
    assert_eq!(offer(&mut world, path, good.version, &mislabelled), [Kind::Malformed]);
    assert_eq!(world.version(relay), before, "the last good version stays in force");

    let everyone = world.all();
    let version = world.commit(good);
    assert!(world.until(&everyone, version, 4 * SECOND).is_some(), "and nothing is lost by it");
}

#[test]
fn an_older_epoch_is_refused_once_a_newer_one_is_in_force() {
    let (mut world, relay, upstream) = fleet(34);
    let stale = next_change(&world);
    let epoch = world.author.version().epoch + 1;
    let first = world.author.prepare_in_epoch(epoch, vec![put(9, 9)]).expect("it fits");
    let version = world.commit(first);
    let everyone = world.all();
    assert!(world.until(&everyone, version, 4 * SECOND).is_some(), "the new epoch is not in force");
    let signed = SignedChange::sign(&stale, &control_key()).expect("within bounds");
    assert_eq!(offer(&mut world, (upstream, relay), stale.version, &signed), [Kind::OlderEpoch]);
    assert_eq!(world.version(relay), version);
}

#[test]
fn fragments_that_are_oversize_or_do_not_fit_are_refused() {
    let (mut world, relay, upstream) = fleet(35);
    let version = next_change(&world).version;
    let fragment =
        |index, count, bytes: usize| Message::ChangeFragment { version, index, count, bytes: vec![1; bytes] };
    let messages = [
        fragment(0, 200, FRAGMENT_BYTES),
        fragment(0, 0, 10),
        fragment(3, 2, 10),
        fragment(0, 2, 10),
        fragment(0, 2, FRAGMENT_BYTES),
        fragment(1, 3, FRAGMENT_BYTES),
    ];
    let before = world.node(relay).counts().of(Kind::Malformed);
    for message in messages {
        world.inject(upstream, relay, &[message]);
    }
    world.run(SECOND / 10);
    assert_eq!(
        world.node(relay).counts().of(Kind::Malformed) - before,
        5,
        "all but the one that may be the first of two"
    );
}

#[test]
fn who_was_not_asked_is_not_heard() {
    let (mut world, relay, upstream) = fleet(36);
    let upstreams = world.node(relay).status(world.now).upstreams;
    let stranger =
        world.zone(1).into_iter().find(|peer| upstreams.iter().all(|upstream| upstream.peer != *peer));
    let stranger = stranger.expect("most of the other zone");
    let change = next_change(&world);
    let signed = SignedChange::sign(&change, &control_key()).expect("within bounds");
    assert_eq!(offer(&mut world, (stranger, relay), change.version, &signed), [Kind::Unasked]);
    let control = world.controls()[0];
    assert_eq!(offer(&mut world, (upstream, control), change.version, &signed), [Kind::Unasked]);
    assert!(world.version(control) < change.version, "control takes changes from its own cluster alone");
}

#[test]
fn a_machine_that_claims_versions_it_does_not_have_holds_nobody_up() {
    let (mut world, relay, upstream) = fleet(38);
    let liar = world.zone(0)[4];
    let everyone = world.all();
    let rest: Vec<Peer> = everyone.iter().copied().filter(|peer| *peer != relay).collect();
    world.cut(&rest, &[relay]);
    world.run(3 * SECOND);
    for destination in 10..22 {
        world.change(vec![put(destination, 80)]);
        world.run(SECOND / 5);
    }
    world.heal();
    let version = world.author.version();
    for number in 0..40 {
        let boast =
            Message::Heartbeat { number, primary: false, version: Version { epoch: 9, number: u64::MAX } };
        world.inject(liar, relay, &[boast]);
        world.run(SECOND / 10);
    }
    assert!(
        world.until(&[relay], version, 8 * SECOND).is_some(),
        "it waits for the liar, not for {upstream}"
    );
}

#[test]
fn a_relay_may_not_publish() {
    let (world, relay, _) = fleet(37);
    let signed = SignedChange::sign(&next_change(&world), &control_key()).expect("within bounds");
    let topology = std::sync::Arc::clone(&world.topology);
    let config = Config::new(relay, topology, world::control_keys(), 1);
    let mut node = Node::new(config, DestinationSet::new(), None, world.now);
    assert_eq!(node.publish(world.now, signed), Err(RolloutError::NotControl));
}

/// A relay with nothing but its topology, for messages of any kind.
fn lone_relay() -> Node {
    let place = Place { region: 0, zone: 0 };
    let machine = |peer, role| Machine { peer, place, role };
    let machines = [machine(0, Role::Relay), machine(1, Role::Relay), machine(2, Role::Control)];
    let topology = Topology::new(&machines).expect("a sound list").into();
    Node::new(Config::new(0, topology, world::control_keys(), 1), DestinationSet::new(), None, 0)
}

proptest! {
    #[test]
    fn no_messages_panic_or_change_the_set(
        frames in prop::collection::vec((0u16..4, 0u8..13, prop::collection::vec(any::<u8>(), 0..60)), 1..40)
    ) {
        let mut node = lone_relay();
        let members = Members::new(0, 1, 0..3);
        let mut now = 0;
        for (peer, tag, mut bytes) in frames {
            bytes.insert(0, tag);
            let from = Sender { peer, incarnation: 1, sent: Stamp(0), delay: 0 };
            node.receive_frame(now, &from, &members, &bytes);
            now = node.next_at(now).min(now + SECOND) + 1000;
            for said in node.poll_frames(now, &members, 224, usize::MAX) {
                prop_assert!(said.bytes.len() <= 224);
            }
        }
        prop_assert_eq!(node.set().version(), Version::default());
    }

    #[test]
    fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let (messages, _) = decode(&bytes);
        prop_assert!(messages.len() <= bytes.len());
    }

    #[test]
    fn the_largest_messages_fit_a_frame(number in any::<u64>(), epoch in any::<u32>()) {
        let version = Version { epoch, number };
        let bytes = vec![255; FRAGMENT_BYTES];
        let change = Message::ChangeFragment { version, index: 20, count: 21, bytes: bytes.clone() };
        let part = Message::PartFragment { request: u16::MAX, index: u16::MAX - 1, count: u16::MAX, bytes };
        for message in [change, part] {
            let encoded = message.encode();
            prop_assert!(encoded.len() <= 224, "{} bytes", encoded.len());
            prop_assert_eq!(decode(&encoded), (vec![message], true));
        }
    }
}
