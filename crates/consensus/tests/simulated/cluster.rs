//! Six machines on a simulated network: what goes on while some are dead, cut off, frozen or far behind.

use crate::network::{ELECTION, MACHINES, Network, SECOND};
use consensus::ProposeError;

fn data(number: u64) -> Vec<u8> {
    format!("change {number}").into_bytes()
}

fn commit(network: &mut Network, numbers: std::ops::Range<u64>) {
    for number in numbers {
        network.commit(&data(number));
    }
}

/// Takes a snapshot on all but one machine, and drops all of the log before it.
fn compact_without(network: &mut Network, alone: u64) {
    for id in network.living().into_iter().filter(|id| *id != alone) {
        let state = network.machines[&id].state;
        network.node(id).compact(state.index, 0, state.encode()).expect("a snapshot of what was applied");
    }
}

#[test]
fn six_machines_agree_on_all_entries() {
    let mut network = Network::new(1);
    network.elect();
    for number in 0..100 {
        network.propose(&data(number)).expect("the leader takes it");
    }
    network.run_for(SECOND);
    assert_eq!(network.chosen.len(), 100);
    let proposed: Vec<Vec<u8>> = (0..100).map(data).collect();
    let applied: Vec<Vec<u8>> = network.chosen.values().map(|entry| entry.data.clone()).collect();
    assert_eq!(applied, proposed, "in the order in which one leader took them");
    network.settle();
}

#[test]
fn another_leader_takes_over_from_a_dead_one() {
    let mut network = Network::new(2);
    let first = network.elect();
    commit(&mut network, 0..5);
    network.kill(first);
    let died = network.now;
    network.run_until(4 * ELECTION, "another leader", |network| network.leader().is_some());
    assert!(network.now - died <= 2 * ELECTION + SECOND, "{} us without a leader", network.now - died);
    commit(&mut network, 5..10);
    network.start(first);
    network.settle();
    assert_eq!(network.chosen.len(), 10);
}

#[test]
fn four_of_six_go_on() {
    let mut network = Network::new(3);
    let leader = network.elect();
    commit(&mut network, 0..3);
    let follower = leader % MACHINES + 1;
    network.kill(leader);
    network.kill(follower);
    commit(&mut network, 3..8);
    assert_eq!(network.chosen.len(), 8);
}

#[test]
fn three_of_six_commit_nothing_and_lose_nothing() {
    let mut network = Network::new(4);
    let leader = network.elect();
    commit(&mut network, 0..5);
    let dead: Vec<u64> = (1..=MACHINES).filter(|id| *id != leader).take(3).collect();
    for id in &dead {
        network.kill(*id);
    }
    network.propose(&data(5)).expect("it leads still");
    network.run_for(60 * SECOND);
    assert_eq!(network.chosen.len(), 5, "three of six are no majority");
    assert_eq!(network.leader(), None, "a leader without a majority steps down");
    for id in dead {
        network.start(id);
    }
    network.elect();
    commit(&mut network, 6..8);
    let chosen: Vec<&Vec<u8>> = network.chosen.values().map(|entry| &entry.data).collect();
    assert_eq!(chosen[..5], (0..5).map(data).collect::<Vec<_>>().iter().collect::<Vec<_>>());
}

#[test]
fn one_that_was_alone_for_minutes_catches_up_and_unseats_nobody() {
    let mut network = Network::new(5);
    let leader = network.elect();
    let alone = leader % MACHINES + 1;
    network.set_alone(alone, true);
    for number in 0..300 {
        network.propose(&data(number)).expect("the leader takes it");
        network.run_for(SECOND);
    }
    let term = network.node(leader).term();
    assert_eq!(network.machines[&alone].state.index, 0);
    network.set_alone(alone, false);
    network.settle();
    assert_eq!((network.leader(), network.node(leader).term()), (Some(leader), term));
    assert_eq!(network.node(leader).counts().snapshots_sent, 0, "the log has all it lacks");
}

#[test]
fn one_behind_the_log_gets_a_snapshot_even_if_the_first_is_lost() {
    let mut network = Network::new(6);
    let leader = network.elect();
    let alone = leader % MACHINES + 1;
    network.set_alone(alone, true);
    commit_without(&mut network, alone, 0..50);
    compact_without(&mut network, alone);
    // The first snapshot is sent, and dies on a link that is cut again at once.
    network.set_alone(alone, false);
    network.run_until(10 * SECOND, "a snapshot under way", |network| {
        let node = network.machines[&leader].consensus.as_ref();
        node.is_some_and(|node| node.counts().snapshots_sent > 0)
    });
    network.set_alone(alone, true);
    network.run_for(2 * SECOND);
    network.set_alone(alone, false);
    network.settle();
    assert!(network.node(leader).counts().snapshots_sent > 1, "a lost snapshot is sent again");
    let applied = network.machines[&alone].state.index;
    assert_eq!(network.node(alone).persisted().snapshot().index, applied);
    commit(&mut network, 50..53);
    network.kill(alone);
    network.start(alone);
    network.settle();
}

/// Commits on all but one.
fn commit_without(network: &mut Network, alone: u64, numbers: std::ops::Range<u64>) {
    for number in numbers.clone() {
        network.propose(&data(number)).expect("the leader takes it");
    }
    network.run_until(20 * SECOND, "all but one have them", |network| {
        let last = network.chosen.keys().next_back().copied().unwrap_or(0);
        let has_all = |id: &u64| *id == alone || network.machines[id].state.index == last;
        network.chosen.len() as u64 >= numbers.end && network.living().iter().all(has_all)
    });
}

#[test]
fn one_that_was_frozen_for_a_minute_unseats_nobody() {
    let mut network = Network::new(7);
    let leader = network.elect();
    let frozen = leader % MACHINES + 1;
    commit(&mut network, 0..3);
    network.machines.get_mut(&frozen).expect("a machine").frozen_until = network.now + 60 * SECOND;
    network.run_for(61 * SECOND);
    assert_eq!(network.leader(), Some(leader));
    commit(&mut network, 3..6);
}

#[test]
fn a_frozen_leader_follows_when_it_wakes() {
    let mut network = Network::new(8);
    let frozen = network.elect();
    commit(&mut network, 0..3);
    network.machines.get_mut(&frozen).expect("a machine").frozen_until = network.now + 30 * SECOND;
    network.run_for(10 * SECOND);
    let leader = network.leader().expect("another leader");
    assert_ne!(leader, frozen);
    network.run_for(21 * SECOND);
    assert!(!network.node(frozen).is_leader());
    commit(&mut network, 3..6);
}

#[test]
fn it_says_for_how_long_no_majority_was_heard() {
    let mut network = Network::new(9);
    let leader = network.elect();
    network.run_for(5 * SECOND);
    let silence = |network: &mut Network, id: u64| {
        let now = network.now;
        network.node(id).quorum_silence_us(now)
    };
    for id in 1..=MACHINES {
        assert!(silence(&mut network, id).is_some_and(|silence| silence < SECOND), "machine {id}");
    }
    network.set_alone(leader, true);
    network.run_for(ELECTION / 2);
    assert!(silence(&mut network, leader).is_some_and(|silence| silence >= ELECTION / 3));
    network.run_for(5 * ELECTION);
    assert_eq!(silence(&mut network, leader), None, "it leads no longer");
}

#[test]
fn it_says_since_when_it_has_all_that_is_committed() {
    let mut network = Network::new(12);
    let leader = network.elect();
    commit(&mut network, 0..3);
    network.run_for(5 * SECOND);
    let age = |network: &mut Network, id: u64| {
        let now = network.now;
        now - network.node(id).confirmed_us().expect("it was confirmed")
    };
    for id in 1..=MACHINES {
        assert!(age(&mut network, id) < SECOND, "machine {id}: {} us", age(&mut network, id));
    }
    let alone = leader % MACHINES + 1;
    network.set_alone(alone, true);
    network.set_alone(leader, true);
    network.run_for(60 * SECOND);
    assert!(age(&mut network, alone) > 59 * SECOND);
    assert!(age(&mut network, leader) > 59 * SECOND, "a leader that is cut off knows nothing newer");
    let other = network.leader().expect("four go on");
    assert!(age(&mut network, other) < SECOND);
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    let trace = |seed| {
        let mut network = Network::new(seed);
        network.loss = 100;
        let leader = network.elect();
        commit(&mut network, 0..5);
        network.kill(leader);
        commit(&mut network, 5..10);
        network.start(leader);
        network.run_for(10 * SECOND);
        network.trace
    };
    assert_eq!(trace(10), trace(10));
    assert_ne!(trace(10), trace(11));
}

#[test]
fn a_follower_names_the_leader_to_a_proposer() {
    let mut network = Network::new(11);
    let leader = network.elect();
    network.run_for(SECOND);
    let follower = leader % MACHINES + 1;
    let now = network.now;
    let refused = network.node(follower).propose(now, data(0));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: Some(consensus::NodeId(leader)) }));
}
