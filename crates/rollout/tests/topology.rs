//! The order of machines: no cycle, short paths, and no machine with too many subscribers when all are up.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rollout::MOST_SUBSCRIBERS;
use rollout::Peer;
use rollout::topology::{Machine, Place, REPRESENTATIVES, Role, Topology, TopologyError};

/// `relays` relays spread over `zones` zones in `regions` regions, and a control machine in each region.
fn fleet(relays: u16, regions: u8, zones: u16) -> Vec<Machine> {
    let place = |zone: u16| Place { region: (zone % u16::from(regions)) as u8, zone };
    let relay = |peer| Machine { peer, place: place(peer % zones), role: Role::Relay };
    let control = |region: u8| Machine {
        peer: relays + u16::from(region),
        place: place(u16::from(region)),
        role: Role::Control,
    };
    (0..relays).map(relay).chain((0..regions).map(control)).collect()
}

#[test]
fn a_fleet_of_a_thousand_has_short_paths_and_even_fan_out() {
    let topology = Topology::new(&fleet(1000, 6, 14)).expect("a sound list");
    let mut receivers: BTreeMap<Peer, usize> = BTreeMap::new();
    let mut depth: BTreeMap<Peer, usize> = BTreeMap::new();
    let mut relays: Vec<Peer> = (0..1000).collect();
    relays.sort_by_cached_key(|peer| (0..1000).filter(|other| topology.may_serve(*other, *peer)).count());
    for peer in relays {
        let candidates = topology.candidates(peer);
        assert!((6..=21).contains(&candidates.len()), "{peer}: {candidates:?}");
        for upstream in &candidates[..2] {
            *receivers.entry(*upstream).or_default() += 1;
        }
        let hops = |upstream: &Peer| if *upstream >= 1000 { 0 } else { depth[upstream] };
        let longest = candidates[..2].iter().map(hops).max().expect("two upstreams");
        depth.insert(peer, longest + 1);
    }
    assert!(depth.values().all(|hops| *hops <= 3), "{:?}", depth.values().max());
    let busiest = receivers.values().max().copied().unwrap_or(0);
    assert!(busiest <= MOST_SUBSCRIBERS, "{busiest} receivers before any failure");
}

#[test]
fn representatives_subscribe_to_their_own_regions_control_machine_first() {
    let topology = Topology::new(&fleet(140, 6, 14)).expect("a sound list");
    for machine in topology.machines().filter(|machine| machine.role == Role::Relay) {
        let order = topology.zone(machine.place);
        let first = topology.candidates(machine.peer)[0];
        let first_place = topology.machine(first).expect("it is listed").place;
        assert_eq!(first_place.region, machine.place.region);
        let representative = order[..REPRESENTATIVES].contains(&machine.peer);
        assert_eq!(topology.is_representative(machine.peer), representative);
        assert_eq!(first >= 140, representative, "only representatives go to control machines first");
    }
    assert!(topology.candidates(140).is_empty(), "a control machine has no upstream");
}

#[test]
fn a_list_that_is_not_sound_is_refused() {
    let mut machines = fleet(10, 2, 2);
    machines.push(machines[0]);
    assert_eq!(Topology::new(&machines).map(|_| ()), Err(TopologyError::Doubled(0)));
    machines.pop();
    machines[0].place.region = 7;
    assert_eq!(Topology::new(&machines).map(|_| ()), Err(TopologyError::ZoneInTwoRegions(0)));
    machines.retain(|machine| machine.role == Role::Relay && machine.peer != 0);
    assert_eq!(Topology::new(&machines).map(|_| ()), Err(TopologyError::NoControl));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]
    #[test]
    fn no_subscription_can_close_a_cycle(relays in 1u16..200, regions in 1u8..7, zones in 1u16..15) {
        let machines = fleet(relays, regions, zones.max(u16::from(regions)));
        let topology = Topology::new(&machines).expect("a sound list");
        for peer in 0..relays {
            let candidates = topology.candidates(peer);
            prop_assert!(!candidates.is_empty());
            prop_assert!(candidates.iter().all(|upstream| topology.may_serve(*upstream, peer)));
            prop_assert!(candidates.iter().all(|upstream| !topology.may_serve(peer, *upstream)));
        }
    }
}
