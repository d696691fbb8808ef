//! Six control machines as processes on loopback, and a relay that hears them by UDP.

mod cluster;
mod relay;

use std::time::{Duration, Instant};

use cluster::{Cluster, MACHINES};
use control::shell::admin::{Reply, Request};
use destinations::{DestinationId, Endpoint, Operation, Phase, Version};

/// The whole test takes no longer than this.
const PATIENCE: Duration = Duration::from_secs(25);

fn put(destination: i64, port: u16) -> Request {
    let endpoint = Endpoint {
        id: "one".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        kind: "http".to_owned(),
        zone: "a1".to_owned(),
        phase: Phase::Ready,
        rate_per_s: 10.0,
    };
    let operation = Operation::PutEndpoint { destination: DestinationId(destination), endpoint };
    Request::Publish { id: None, operations: vec![operation] }
}

fn version(number: u64) -> Version {
    Version { epoch: 0, number }
}

#[test]
fn six_processes_agree_while_one_is_killed_and_one_is_frozen() {
    let mut cluster = Cluster::start(Instant::now() + PATIENCE);
    let relay = relay::start(&cluster);
    for number in 1..=5 {
        assert_eq!(cluster.publish(put(number, 80)), version(number as u64));
    }
    let leader = cluster.leader();
    cluster.kill(leader);
    let frozen = leader % MACHINES + 1;
    cluster.freeze(frozen);
    for number in 6..=10 {
        assert_eq!(cluster.publish(put(number, 80)), version(number as u64), "four of six go on");
    }
    cluster.thaw();
    cluster.launch(leader);
    assert_eq!(cluster.publish(Request::Rollback { id: None, to: 9 }), version(11));
    cluster.wait_for_all(version(11));
    relay.wait_for(version(11), cluster.deadline());
    // All start again from their disks.
    for id in 1..=MACHINES {
        cluster.kill(id);
    }
    for id in 1..=MACHINES {
        cluster.launch(id);
    }
    assert_eq!(cluster.publish(put(3, 81)), version(12));
    let digest = cluster.wait_for_all(version(12));
    relay.wait_for(version(12), cluster.deadline());
    assert_eq!(relay.digest(), digest);
    relay.wait_for_confirmation(cluster.deadline());
}

#[test]
fn control_machines_outlive_disks_that_fail_and_agree_afterwards() {
    let fault = |call: &str, effect: &str, error: &str, [from_ms, to_ms]: [u64; 2]| {
        format!(
            "[[fault]]\ncall = \"{call}\"\neffect = \"{effect}\"\nerror = \"{error}\"\nprobability = 0.5\n\
             from_ms = {from_ms}\nto_ms = {to_ms}\n"
        )
    };
    let text = fault("create", "error", "ENOSPC", [0, 400])
        + &fault("read", "error", "EIO", [0, 400])
        + &fault("bind", "error", "ENOBUFS", [0, 400])
        + &fault("write", "torn", "ENOSPC", [800, 4000])
        + &fault("sync", "error", "EIO", [800, 4000])
        + &fault("rename", "error", "EIO", [800, 4000]);
    let scenario = faults::Scenario::read(&text).expect("a scenario");
    let mut cluster = Cluster::start_with(scenario, Instant::now() + 2 * PATIENCE);
    for number in 1..=5 {
        assert_eq!(cluster.publish(put(number, 80)), version(number as u64));
    }
    let digest = cluster.wait_for_all(version(5));
    assert!(cluster.all_run(), "a machine ended");
    assert!(cluster.faults_made() > 0, "no fault was made");
    for id in 1..=MACHINES {
        cluster.kill(id);
        cluster.launch(id);
    }
    assert_eq!(cluster.publish(put(6, 80)), version(6));
    assert_ne!(cluster.wait_for_all(version(6)), digest);
}

#[test]
fn an_operator_hears_why_a_proposal_is_refused_and_where_the_leader_is() {
    let mut cluster = Cluster::start(Instant::now() + PATIENCE);
    let unknown = Operation::RemoveDestination { destination: DestinationId(7) };
    let id = "000102030405060708090a0b0c0d0e0f".parse().expect("an id");
    let refused = Request::Publish { id: Some(id), operations: vec![unknown] };
    let reply = cluster.ask_leader(&refused);
    let reason = "the operations do not apply: destination 7 is not in the set".to_owned();
    assert_eq!(reply, Reply::Refused { id, reason });
    assert_eq!(cluster.ask_leader(&refused), reply, "the same by the same id");
    let leader = cluster.leader();
    let follower = leader % MACHINES + 1;
    let reply = cluster.ask(follower, &put(1, 80)).expect("an answer");
    let admin = Some(cluster.admin(leader));
    assert_eq!(reply, Reply::NotLeader { leader: Some(leader), admin });
    let reply = cluster.ask_line(follower, "{\"publsh\":{}}\n").expect("an answer");
    assert!(matches!(reply, Reply::Error { reason } if reason.contains("publsh")));
}
