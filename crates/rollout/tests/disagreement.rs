//! Two machines with different lists of machines: both tell it, by the other's number.

use std::sync::Arc;

use destinations::{ControlKeys, DestinationSet, SigningKey};
use fleet::datagram::Stamp;
use fleet::link::{Channel, Sender};
use fleet::members::Members;
use rollout::topology::{Machine, Place, Role, Topology};
use rollout::{Config, Disagreement, Node, Peer, SECOND};

const CONTROL: Peer = 0;
/// Two relays of one zone.
const RELAYS: [Peer; 2] = [1, 2];
/// Steps of a tenth of a second: one that is refused asks again within them.
const STEPS: i64 = 1000;
/// More than a frame takes.
const ROOM: usize = 200;

/// The list of the control machine and of these relays in a zone, whose number decides on their order.
fn list(relays: &[Peer], zone: u16) -> Topology {
    let relay = |peer: &Peer| Machine { peer: *peer, place: Place { region: 0, zone }, role: Role::Relay };
    let mut machines: Vec<Machine> = relays.iter().map(relay).collect();
    machines.push(Machine { peer: CONTROL, place: Place { region: 0, zone: 0 }, role: Role::Control });
    Topology::new(&machines).expect("a topology")
}

fn node(me: Peer, list: Topology) -> Node {
    let key = SigningKey::from_bytes(&[7; 32]).verifying_key().to_bytes();
    let keys = ControlKeys::new(&[key]).expect("a key");
    Node::new(Config::new(me, Arc::new(list), keys, 1), DestinationSet::new(), None, 0)
}

/// Carries all that one says to the other.
fn carry(now: i64, (from, sender): (Peer, &mut Node), (to, receiver): (Peer, &mut Node)) {
    let members = Members::new(from, 1, [CONTROL, 1, 2]);
    for said in sender.poll_frames(now, &members, ROOM, usize::MAX).into_iter().filter(|said| said.to == to) {
        let from = Sender { peer: from, incarnation: 1, sent: Stamp::of(now), delay: 0 };
        receiver.receive_frame(now, &from, &members, &said.bytes);
    }
}

/// What two machines tell for the first time after some time in which they hear each other alone.
fn told(
    first: (Peer, Topology), second: (Peer, Topology),
) -> (Vec<Disagreement>, Vec<Disagreement>, [Node; 2]) {
    let (mut one, mut other) = (node(first.0, first.1), node(second.0, second.1));
    for step in 0..STEPS {
        let now = step * SECOND / 10;
        carry(now, (first.0, &mut one), (second.0, &mut other));
        carry(now, (second.0, &mut other), (first.0, &mut one));
    }
    (one.take_disagreements(), other.take_disagreements(), [one, other])
}

/// A zone in which the first relay stands before the second one, or behind it.
fn zone_with_first_before_second(before: bool) -> Topology {
    let mut lists = (1..100).map(|zone| list(&RELAYS, zone));
    lists.find(|list| list.may_serve(RELAYS[0], RELAYS[1]) == before).expect("one of many zones")
}

#[test]
fn an_upstream_and_its_subscriber_with_other_lists_tell_it_both() {
    let (first, second) = (zone_with_first_before_second(false), zone_with_first_before_second(true));
    // Neither refuses the other where both believe to stand behind, so one believes so: it is refused.
    let (by_first, by_second, [mut one, other]) = told((RELAYS[0], first), (RELAYS[1], second));
    assert!(by_first.contains(&Disagreement::Subscriber(RELAYS[1])), "{by_first:?}");
    assert!(by_second.contains(&Disagreement::Upstream(RELAYS[0])), "{by_second:?}");
    let text = |found: Disagreement| found.to_string();
    assert!(
        text(Disagreement::Subscriber(RELAYS[1])).starts_with("machine 2 is refused as a subscriber"),
        "with its number"
    );
    assert!(text(Disagreement::Upstream(RELAYS[0])).starts_with("machine 1 refuses this one"));
    assert_eq!(one.take_disagreements(), [], "once");
    // It asks again, and each time is counted.
    assert!(one.disagreements()[&Disagreement::Subscriber(RELAYS[1])] > 1);
    assert!(other.disagreements()[&Disagreement::Upstream(RELAYS[0])] > 1);
}

#[test]
fn a_machine_that_is_not_listed_is_told() {
    let (by_control, _, [control, _]) = told((CONTROL, list(&[1], 1)), (2, list(&RELAYS, 1)));
    assert_eq!(by_control, [Disagreement::Subscriber(2)]);
    assert!(control.status(STEPS * SECOND / 10).subscribers.is_empty());
}

#[test]
fn machines_with_the_same_list_tell_nothing() {
    let (by_control, by_relay, [control, _]) = told((CONTROL, list(&RELAYS, 1)), (2, list(&RELAYS, 1)));
    assert!(by_control.is_empty() && by_relay.is_empty());
    assert_eq!(control.status(STEPS * SECOND / 10).subscribers, [2]);
}
