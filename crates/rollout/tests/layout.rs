//! How the machines of an operator's file are numbered, and which lists are refused.

use rollout::layout::{Layout, LayoutError};
use rollout::topology::{Place, Role, TopologyError};

#[test]
fn machines_are_numbered_in_the_order_of_their_lists() {
    let mut layout = Layout::new(4);
    for (name, region, first, count) in
        [("south-a", "south", 2, 2), ("north-a", "north", 0, 1), ("south-b", "south", 1, 1)]
    {
        let place = layout.add_zone(name, region).expect("another zone");
        layout.place_relays(place, first, count).expect("relays without a zone");
    }
    assert_eq!((layout.add_control("north"), layout.add_control("south")), (Ok(4), Ok(5)));
    let topology = layout.topology().expect("sound lists");
    let machines: Vec<(Role, u8, u16)> =
        topology.machines().map(|one| (one.role, one.place.region, one.place.zone)).collect();
    let expected = [
        (Role::Relay, 1, 1),
        (Role::Relay, 0, 2),
        (Role::Relay, 0, 0),
        (Role::Relay, 0, 0),
        (Role::Control, 1, 3),
        (Role::Control, 0, 4),
    ];
    assert_eq!(machines, expected);
    assert!((0..4).all(|relay| [4, 5].iter().all(|control| topology.may_serve(*control, relay))));
}

#[test]
fn lists_that_leave_a_machine_without_one_place_are_refused() {
    let mut layout = Layout::new(2);
    let place = layout.add_zone("a", "north").expect("the first zone");
    assert_eq!(place, Place { region: 0, zone: 0 });
    assert_eq!(layout.add_zone("a", "south"), Err(LayoutError::DoubledZone("a".into())));
    assert_eq!(layout.place_relays(place, 1, 2), Err(LayoutError::BeyondRelays(2)));
    assert_eq!(layout.place_relays(place, usize::MAX, 2), Err(LayoutError::BeyondRelays(2)));
    layout.place_relays(place, 0, 1).expect("a relay without a zone");
    assert_eq!(layout.topology().err(), Some(LayoutError::RelayWithoutZone(1)));
    assert_eq!(layout.place_relays(place, 0, 2), Err(LayoutError::RelayInTwoZones(0)));
    layout.place_relays(place, 1, 1).expect("a relay without a zone");
    assert_eq!(layout.add_control("south"), Err(LayoutError::UnknownRegion("south".into())));
    assert_eq!(layout.topology().err(), Some(LayoutError::Topology(TopologyError::NoControl)));
}

#[test]
fn there_are_as_many_regions_and_machines_as_numbers() {
    let mut layout = Layout::new(0);
    for region in 0..256 {
        layout.add_zone(&region.to_string(), &region.to_string()).expect("a number is left");
    }
    assert_eq!(layout.add_zone("more", "more"), Err(LayoutError::TooManyRegions));
    assert!(layout.add_zone("more", "255").is_ok());
    let mut layout = Layout::new(usize::from(u16::MAX) - 1);
    layout.add_zone("a", "north").expect("the first zone");
    assert_eq!(layout.add_control("north"), Ok(u16::MAX - 1));
    assert_eq!(layout.add_control("north"), Err(LayoutError::TooManyMachines));
}
