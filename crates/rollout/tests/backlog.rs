//! Relays that come back with a backlog of changes, or with nothing at all, catch up without a pause and without a storm.

mod world;

use destinations::LogLimits;
use rollout::SECOND;
use world::{Layout, Network, World, put};

/// Changes that the relay missed: several requests' worth of the log.
const MISSED: i64 = 96;
/// Destinations of one change when a set is built.
const DESTINATIONS_A_CHANGE: i64 = 60;

#[test]
fn a_backlog_of_changes_is_fetched_without_a_pause_between_requests() {
    let mut world = World::new(Layout { relays: 12, zones: 2, ..Layout::new(41) });
    // Datagrams overtake each other, and none is lost.
    world.network = Network { lost: 0.0, doubled: 0.0, delay: (500, 40_000) };
    world.run(6 * SECOND);
    let away = world.zone(0)[5];
    let rest: Vec<_> = world.all().into_iter().filter(|peer| *peer != away).collect();
    world.isolate(&[away]);
    let mut version = world.author.version();
    for destination in 0..MISSED {
        version = world.change(vec![put(destination, 80)]);
        world.run(SECOND / 10);
    }
    world.until(&rest, version, 4 * SECOND).expect("the rest is connected");
    world.heal();
    // From here on a heartbeat must not be what goes on with the work.
    let first = world.version(away);
    let began = world.until(&[away], first.next().expect("a next version"), 20 * SECOND);
    began.expect("it begins to catch up");
    let took = world.until(&[away], version, 20 * SECOND).expect("it catches up");
    // At 4 KB a second it took 3.6 s with no pause, and 5.1 s where late fragments made a server seem to lag behind.
    assert!(took < 43 * SECOND / 10, "{took} us for {MISSED} changes");
}

#[test]
fn relays_that_start_empty_together_do_not_ask_each_other_for_every_bucket() {
    let log = LogLimits { changes: 2, bytes: 1 << 20 };
    let mut world = World::new(Layout { relays: 12, zones: 2, log, ..Layout::new(42) });
    world.run(6 * SECOND);
    let everyone = world.all();
    for change in 0..6 {
        let first = change * DESTINATIONS_A_CHANGE;
        let version = world.change((first..first + DESTINATIONS_A_CHANGE).map(|id| put(id, 80)).collect());
        world.until(&everyone, version, 8 * SECOND).expect("all are connected");
    }
    let zone = world.zone(0);
    zone.iter().for_each(|peer| world.stop(*peer));
    world.run(5 * SECOND);
    zone.iter().for_each(|peer| world.start(*peer));
    let version = world.author.version();
    world.unavailable.clear();
    let took = world.until(&zone, version, 300 * SECOND).expect("the zone is served");
    let unavailable: u64 = zone.iter().filter_map(|peer| world.unavailable.get(peer)).sum();
    // A relay that has nothing itself is left out after four buckets that it does not have, of some three hundred.
    let most = 4 * zone.len() as u64;
    assert!(unavailable <= most, "{unavailable} requests in {took} us were for what was not there");
}
