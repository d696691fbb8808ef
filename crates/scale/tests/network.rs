//! The simulated network and its queue, by themselves.

use scale::network::{Conditions, Cut, CutKind, Network, NodeSet, Topology};
use scale::queue::EventQueue;
use scale::time::{MILLISECOND, SECOND};

/// Six nodes over three zones, of which the third is in a second region.
fn network(conditions: Conditions) -> Network {
    Network::new(Topology::spread(6, &[0, 0, 1]), conditions, 7)
}

fn arrive(network: &mut Network, now: i64, from: u32, to: u32) -> Vec<i64> {
    network.arrivals(now, from, to).collect()
}

#[test]
fn events_come_in_the_order_of_their_time_and_then_of_their_adding() {
    let mut queue = EventQueue::new(10);
    for (at, event) in [(30, 'd'), (20, 'b'), (30, 'e'), (20, 'c'), (5, 'a')] {
        queue.push(at, event);
    }
    assert_eq!((queue.len(), queue.next_at()), (5, Some(10)), "what is late comes now");
    let early: Vec<_> = std::iter::from_fn(|| queue.pop_until(25)).collect();
    assert_eq!(early, [(10, 'a'), (20, 'b'), (20, 'c')]);
    assert_eq!(queue.now(), 25);
    assert_eq!((queue.pop(), queue.pop(), queue.pop()), (Some((30, 'd')), Some((30, 'e')), None));
    assert!(queue.is_empty());
}

#[test]
fn delays_grow_with_distance_and_jitter_keeps_its_bound() {
    let conditions = Conditions { jitter: 0.5, ..Conditions::default() };
    let mut network = network(conditions);
    for (to, least) in [(3, 250), (1, MILLISECOND), (2, 40 * MILLISECOND)] {
        let delays: Vec<i64> =
            (0..500).flat_map(|_| arrive(&mut network, 100, 0, to)).map(|at| at - 100).collect();
        assert_eq!(delays.len(), 500);
        assert!(delays.iter().all(|delay| (least..=least * 3 / 2).contains(delay)), "to {to}");
        assert!(delays.iter().max() > delays.iter().min(), "they differ");
    }
}

#[test]
fn losses_and_duplicates_come_as_often_as_said_and_the_same_for_a_seed() {
    let conditions = Conditions { loss: 0.1, duplicates: 0.2, ..Conditions::default() };
    let count = || {
        let mut network = network(conditions);
        let arrivals: Vec<usize> = (0..20_000).map(|_| arrive(&mut network, 0, 0, 1).len()).collect();
        [0, 1, 2].map(|n| arrivals.iter().filter(|count| **count == n).count())
    };
    let [lost, once, twice] = count();
    assert!((1_800..2_200).contains(&lost), "{lost}");
    assert!((3_350..3_850).contains(&twice), "{twice}, two in ten of those that arrive");
    assert_eq!(lost + once + twice, 20_000);
    assert_eq!(count(), [lost, once, twice]);
}

#[test]
fn a_cut_stops_what_it_says_and_heals() {
    let zone = || NodeSet::Zone(2);
    // Nodes 2 and 5 are the third zone and the second region, alone.
    let cases = [
        (CutKind::Dark(zone()), [(0, 2), (2, 0), (2, 5)].as_slice(), [(0, 1)].as_slice()),
        (CutKind::Alone(NodeSet::Region(1)), &[(0, 2), (2, 0)], &[(2, 5), (0, 1)]),
        (CutKind::Inbound(zone()), &[(0, 2)], &[(2, 0), (2, 5), (0, 1)]),
        (CutKind::Between(zone(), NodeSet::Nodes(vec![0])), &[(0, 2), (2, 0)], &[(1, 2), (2, 1), (2, 5)]),
    ];
    for (kind, stopped, open) in cases {
        let mut network = network(Conditions::default());
        network.cut(Cut { from: SECOND, until: 2 * SECOND, kind: kind.clone() });
        for (from, to) in stopped.iter().chain(open).copied() {
            let during = usize::from(open.contains(&(from, to)));
            for (now, arrivals) in
                [(SECOND - 1, 1), (SECOND, during), (2 * SECOND - 1, during), (2 * SECOND, 1)]
            {
                assert_eq!(
                    arrive(&mut network, now, from, to).len(),
                    arrivals,
                    "{kind:?} {from}-{to} at {now}"
                );
                assert_eq!(network.reaches(now, from, to), arrivals == 1);
            }
        }
    }
}

#[test]
fn a_node_that_is_added_stands_in_its_zone() {
    let mut topology = Topology::spread(2, &[]);
    assert_eq!((topology.nodes(), topology.zone(1), topology.region(1)), (2, 0, 0));
    assert_eq!(topology.add(0), 2);
    assert_eq!(topology.nodes(), 3);
}
