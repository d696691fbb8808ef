//! Control machines and relays together: what an operator publishes at one control machine is delivered by every relay,
//! also while a relay or the leading control machine is down, and a rollback takes it back.

mod cluster;
mod relays;
#[path = "../stand/mod.rs"]
mod stand;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cluster::Cluster;
use relays::Relays;
use serde_json::{Value, json};
use stand::partner::Partner;

/// The whole test takes no longer than this.
const PATIENCE: Duration = Duration::from_secs(25);
/// A change that is committed is in force on all relays within this, also on a machine that is busy. What it takes is
/// printed.
const IN_FORCE: Duration = Duration::from_secs(10);

/// The operation that puts an endpoint of destination 1 under its address, as an operator writes it.
fn put(address: SocketAddr) -> Value {
    json!({"PutEndpoint": {"destination": 1, "endpoint": {"id": address.to_string(), "address": address.to_string(),
        "kind": "partner", "zone": "here", "phase": "Ready", "rate_per_s": 50.0}}})
}

/// The operation that takes it away.
fn remove(address: SocketAddr) -> Value {
    json!({"RemoveEndpoint": {"destination": 1, "endpoint_id": address.to_string()}})
}

/// Publishes, and waits until the change is in force on all these relays. Prints how long that took.
fn in_force(what: &str, cluster: &mut Cluster, request: Value, relays: &Relays, version: &str) {
    let began = Instant::now();
    assert_eq!(cluster.publish(request), version);
    let committed = began.elapsed();
    relays.all_reach(version);
    let took = began.elapsed();
    println!("{what}: committed after {committed:?}, in force on all relays after {took:?}");
    assert!(took - committed < IN_FORCE, "{what} took {took:?}");
}

#[test]
fn what_is_published_at_a_control_machine_is_delivered_by_every_relay() {
    let started = Instant::now();
    let (listed, first, second, last) =
        (Partner::start(), Partner::start(), Partner::start(), Partner::start());
    let mut cluster = Cluster::start(started + PATIENCE);
    let mut relays = Relays::start(&cluster, listed.address, started + PATIENCE);
    relays.all_deliver("before", &listed);

    let publish = json!({"publish": {"operations": [put(first.address)]}});
    in_force("the first change", &mut cluster, publish, &relays, "0.1");
    relays.all_deliver("first", &first);

    let publish = json!({"publish": {"operations": [put(second.address), remove(first.address)]}});
    in_force("another endpoint", &mut cluster, publish, &relays, "0.2");
    relays.all_deliver("second", &second);
    relays.agree_with(&cluster);

    in_force("a rollback", &mut cluster, json!({"rollback": {"to": 1}}), &relays, "0.3");
    relays.all_deliver("rolled-back", &first);

    // One relay is down meanwhile, and hears of the change when it is back.
    relays.kill(2);
    let publish = json!({"publish": {"operations": [put(second.address), remove(first.address)]}});
    in_force("with a relay down", &mut cluster, publish, &relays, "0.4");
    relays.launch(2);
    relays.all_reach("0.4");
    relays.all_deliver("again", &second);

    // The others elect a leader and go on.
    let leader = cluster.leader();
    cluster.stop(leader);
    let publish = json!({"publish": {"operations": [put(last.address), remove(second.address)]}});
    in_force("with the leader down", &mut cluster, publish, &relays, "0.5");
    relays.all_deliver("last", &last);
    relays.agree_with(&cluster);
    println!("the whole took {:?}", started.elapsed());
}
