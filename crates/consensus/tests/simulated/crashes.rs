//! A machine that dies between any two records, and worlds in which everything goes wrong at once.

use crate::network::{ELECTION, MACHINES, MS, Network, Rng, SECOND};
use proptest::prelude::*;

/// A short life of the cluster with a change of leader, two compactions and a machine far behind. One machine dies after
/// so many records and starts again two seconds later. Returns how many records it wrote.
fn life(victim: u64, dies_after: Option<usize>) -> usize {
    let mut network = Network::new(21);
    network.machines.get_mut(&victim).expect("a machine").dies_after = dies_after;
    for round in 0..4_u64 {
        for number in 0..3 {
            let _ = network.propose(format!("{round}/{number}").as_bytes());
            run_and_revive(&mut network, victim, ELECTION / 2);
        }
        match round {
            0 => network.set_alone(3, true),
            1 => compact_all(&mut network),
            2 => network.set_alone(3, false),
            _ => kill_the_leader(&mut network),
        }
        run_and_revive(&mut network, victim, 2 * ELECTION);
    }
    network.machines.get_mut(&victim).expect("a machine").dies_after = None;
    for id in 1..=MACHINES {
        if network.machines[&id].consensus.is_none() {
            network.start(id);
        }
    }
    network.commit(b"after all");
    network.machines[&victim].disk.len()
}

fn run_and_revive(network: &mut Network, victim: u64, span: i64) {
    network.run_for(span);
    if network.machines[&victim].consensus.is_none() {
        network.run_for(2 * SECOND);
        network.start(victim);
    }
}

fn kill_the_leader(network: &mut Network) {
    if let Some(leader) = network.leader() {
        network.kill(leader);
    }
}

fn compact_all(network: &mut Network) {
    for id in network.living() {
        let state = network.machines[&id].state;
        // One that applied nothing since its last snapshot has nothing to compact.
        let _ = network.node(id).compact(state.index, 2, state.encode());
    }
}

#[test]
fn a_machine_may_die_after_any_record() {
    let mut lives = 0;
    for victim in 1..=MACHINES {
        let records = life(victim, None);
        assert!(records > 12, "machine {victim} wrote {records} records");
        for dies_after in 1..=records {
            life(victim, Some(dies_after));
            lives += 1;
        }
    }
    assert!(lives > 100, "{lives} lives");
}

/// Something that happens to the cluster.
fn disturb(network: &mut Network, rng: &mut Rng) {
    let id = 1 + rng.below(MACHINES);
    match rng.below(8) {
        0 => network.kill(id),
        1 | 2 => {
            if network.machines[&id].consensus.is_none() {
                network.start(id);
            }
        }
        3 => network.set_alone(id, true),
        4 => network.set_alone(id, false),
        5 => compact_all(network),
        6 => {
            let pause = rng.below(3000) as i64 * MS;
            network.machines.get_mut(&id).expect("a machine").frozen_until = network.now + pause;
        }
        _ => {
            let written = network.machines[&id].disk.len();
            let dies_after = written + 1 + rng.below(4) as usize;
            network.machines.get_mut(&id).expect("a machine").dies_after = Some(dies_after);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// The network checks agreement, order and one leader in a term at each step; this adds that it comes to rest.
    #[test]
    fn whatever_happens_all_apply_the_same_entries(seed: u64, loss in 0_u64..300, max_delay in 2_i64..400) {
        let mut network = Network::new(seed);
        (network.loss, network.max_delay) = (loss, max_delay * MS);
        let mut rng = Rng(!seed);
        for number in 0..60 {
            let _ = network.propose(format!("change {number}").as_bytes());
            network.run_for(rng.below(500) as i64 * MS);
            disturb(&mut network, &mut rng);
        }
        let before = network.chosen.clone();
        (network.loss, network.max_delay) = (0, 20 * MS);
        network.cut.clear();
        for id in 1..=MACHINES {
            network.machines.get_mut(&id).expect("a machine").dies_after = None;
            if network.machines[&id].consensus.is_none() {
                network.start(id);
            }
        }
        network.commit(b"after all");
        for (index, entry) in before {
            prop_assert_eq!(network.chosen.get(&index), Some(&entry));
        }
        prop_assert_eq!(network.living().len() as u64, MACHINES);
    }
}
