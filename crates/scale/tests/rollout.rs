//! The distribution of changes by control machines that agree by raft, in a small fleet: nothing that must hold is broken, and
//! the same seed gives the same counts.

use std::path::{Path, PathBuf};

use scale::network::{Cut, CutKind, NodeSet};
use scale::progress::Silent;
use scale::rollout_run::{
    Failures, RolloutMeasurement, RolloutRunError, RolloutScenario, RolloutScenarioError, one_relay, run,
};
use scale::time::SECOND;

fn small() -> RolloutScenario {
    RolloutScenario::read(&folder().join("small.toml")).expect("a sound scenario")
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("rollout-scenarios")
}

fn measured(scenario: &RolloutScenario, seed: u64) -> RolloutMeasurement {
    run(scenario, seed, &mut Silent).expect("a whole run")
}

/// What a measurement counts, without what depends on the machine that it ran on.
fn counts(measured: &RolloutMeasurement) -> (u64, u64, u64, u64, u64, u64) {
    let in_force = measured.measurement.in_force;
    (
        measured.messages,
        measured.bytes,
        measured.upstreams_replaced,
        measured.not_connected,
        in_force.count,
        in_force.max_us,
    )
}

#[test]
fn twenty_relays_take_ten_changes_through_failures_and_a_cut() {
    let measured = measured(&small(), 1);
    assert_eq!(measured.changes, 10);
    assert_eq!((measured.mixed, measured.went_back, measured.missing), (0, 0, 0));
    let in_force = measured.measurement.in_force;
    assert_eq!(in_force.count + measured.not_connected, 10 * 20, "each change on each relay");
    assert!(in_force.count > 150, "{} of 200 pairs", in_force.count);
    assert!(in_force.p999_us < 4_000_000, "{in_force:?}");
    assert_eq!((measured.equal_after_heal.count, measured.not_equal_after_heal), (1, 0));
    assert!(measured.equal_after_heal.max_us < 10_000_000, "{:?}", measured.equal_after_heal);
    assert!(measured.most_subscribers <= rollout::MOST_SUBSCRIBERS);
    assert_eq!((measured.restarts, measured.failures), (4, 2));
    assert!(measured.measurement.roles.iter().all(|role| role.peak_bytes_per_s < 7000.0));
}

#[test]
fn a_seed_gives_the_same_counts_each_time_and_another_one_others() {
    let mut scenario = small();
    scenario.relays = 12;
    scenario.changes = 3;
    scenario.cuts.clear();
    let first = counts(&measured(&scenario, 7));
    assert_eq!(first, counts(&measured(&scenario, 7)));
    assert_ne!(first, counts(&measured(&scenario, 8)));
}

#[test]
fn a_region_that_is_alone_counts_as_not_connected_and_one_that_stays_so_as_not_equal() {
    let mut scenario = small();
    scenario.failures = Failures::default();
    scenario.relays = 24;
    scenario.changes = 3;
    let for_ever = Cut { from: 0, until: 20 * SECOND, kind: CutKind::Alone(NodeSet::Region(1)) };
    scenario.cuts = vec![for_ever];
    scenario.settle_s = 1.0;
    let measured = measured(&scenario, 3);
    assert_eq!(measured.changes, 3);
    assert_eq!(measured.measurement.in_force.count, 3 * 18, "the three other zones");
    assert_eq!((measured.missing, measured.mixed), (0, 0), "what a cut keeps from a relay is not missing");
    assert_eq!(measured.equal_after_heal.count, 0, "it did not end");
}

#[test]
fn a_run_that_its_bound_ends_is_partial() {
    let mut scenario = small();
    scenario.real_time_limit_s = 0.0;
    assert!(matches!(run(&scenario, 1, &mut Silent), Err(RolloutRunError::Partial { .. })));
}

#[test]
fn a_scenario_that_makes_no_sense_is_refused() {
    let refused = |change: fn(&mut RolloutScenario)| {
        let mut scenario = small();
        change(&mut scenario);
        match run(&scenario, 1, &mut Silent) {
            Err(RolloutRunError::Scenario(RolloutScenarioError::Value { key, .. })) => key,
            _ => "",
        }
    };
    assert_eq!(refused(|scenario| scenario.relays = 0), "relays");
    assert_eq!(refused(|scenario| scenario.control_zones = vec![9]), "control_zones");
    assert_eq!(refused(|scenario| scenario.changes_per_day = 0.0), "changes_per_day");
    assert_eq!(refused(|scenario| scenario.region_of_zone = vec![]), "region_of_zone");
}

#[test]
fn each_scenario_of_the_folder_is_read() {
    let files = std::fs::read_dir(folder()).expect("the folder of scenarios");
    let paths: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    assert!(paths.len() >= 3, "{paths:?}");
    for path in paths {
        RolloutScenario::read(&path).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn one_relay_is_measured_without_a_network() {
    let measured = one_relay::measure(50, 3, 1);
    assert_eq!((measured.destinations, measured.changes), (50, 3));
    assert!(measured.snapshot_bytes > 50 * 50 && measured.change_bytes > 150.0);
}
