//! Memory use of a set of 56,000 destinations, and the duration of a change.

mod common;

use std::alloc::System;
use std::time::{Duration, Instant};

use common::{control_keys, publish, put, signed};
use destinations::{Change, DestinationSet, SnapshotInstall, persist};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const DESTINATIONS: i64 = 56_000;
const MAX_SET_BYTES: isize = 8_000_000;
const MAX_MEDIAN_CHANGE_TIME: Duration = Duration::from_millis(5);

/// The bytes that are allocated now.
fn allocated_bytes(region: &Region<'_, System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}

/// A full set with two endpoints for each destination, with ids as long as a platform's.
fn full_set() -> DestinationSet {
    let mut set = DestinationSet::new();
    let ids: Vec<i64> = (0..DESTINATIONS).collect();
    for ids in ids.chunks(25) {
        let pair = |id: &i64| [put(*id, &format!("a-{id:08}"), 80), put(*id, &format!("b-{id:08}"), 81)];
        publish(&mut set, ids.iter().flat_map(pair).collect());
    }
    set
}

/// A copy of the set, read from its file.
fn copy(set: &DestinationSet) -> DestinationSet {
    let mut decoder = persist::Decoder::new();
    persist::encode(set).try_for_each(|piece| decoder.push(&piece)).expect("a valid file");
    decoder.finish().expect("a complete file")
}

/// Changes one destination after the other. Returns the durations in ascending order.
fn time_changes(set: &mut DestinationSet) -> Vec<Duration> {
    let change = |number: i64| {
        let change = set.prepare(vec![put(number * 31, "c", 82)]).expect("the change fits");
        let start = Instant::now();
        set.apply(&change).expect("a prepared change applies");
        start.elapsed()
    };
    let mut times: Vec<Duration> = (0..1000).map(change).collect();
    times.sort();
    times
}

/// A single test, as allocations of other threads would be counted too.
#[test]
fn a_full_set_and_its_changes_stay_within_their_bounds() {
    let region = Region::new(ALLOCATOR);
    let mut set = full_set();
    let bytes = allocated_bytes(&region);
    println!("{bytes} bytes held, {:.1} per destination", bytes as f64 / DESTINATIONS as f64);
    assert!(bytes < MAX_SET_BYTES, "{bytes}");
    let mut behind = copy(&set);

    let region = Region::new(ALLOCATOR);
    let times = time_changes(&mut set);
    let copied_bytes = region.change().bytes_allocated / times.len();
    println!("one change: median {:?}, slowest {:?}; {copied_bytes} bytes asked for", times[500], times[999]);
    assert!(times[500] < MAX_MEDIAN_CHANGE_TIME, "{:?}", times[500]);
    assert!(copied_bytes < 200_000, "a change copies {copied_bytes} bytes");

    let last = publish(&mut set, vec![put(7, "d", 83)]);
    let signed = signed(&last);
    let keys = control_keys(&[1, 2, 3]);
    let start = Instant::now();
    signed.verify(&keys).expect("a valid signature");
    println!("a signature was verified in {:?}", start.elapsed());
    install(&set, &last, &mut behind);
    install(&set, &last, &mut DestinationSet::new());
}

/// Updates a set by a snapshot of another, and prints the duration.
fn install(from: &DestinationSet, last: &Change, set: &mut DestinationSet) {
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    let mut install = SnapshotInstall::begin(set, from.manifest(), last).expect("a valid manifest");
    let wanted: Vec<u16> = install.missing().collect();
    for index in &wanted {
        install.take(*index, &from.bucket(*index).expect("a bucket")).expect("a valid bucket");
    }
    println!(
        "{} buckets, {} bytes held beside the set until the swap",
        wanted.len(),
        allocated_bytes(&region)
    );
    install.finish(set).expect("all buckets were received");
    println!("the install took {:?}", start.elapsed());
    assert_eq!(set.manifest(), from.manifest());
}
