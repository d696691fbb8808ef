//! What 56,000 destinations cost in memory, and one change in time.

mod common;

use std::alloc::System;
use std::time::{Duration, Instant};

use common::{control_keys, publish, put, signed};
use destinations::{Change, DestinationSet, SnapshotInstall, persist};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const DESTINATIONS: i64 = 56_000;
const MOST_BYTES: isize = 8_000_000;
const MOST_TIME: Duration = Duration::from_millis(5);

/// The bytes asked for and not yet given back.
fn held(region: &Region<'_, System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}

/// A set of this many destinations with two endpoints each, of ids as long as a platform gives out.
fn full_set() -> DestinationSet {
    let mut set = DestinationSet::new();
    let ids: Vec<i64> = (0..DESTINATIONS).collect();
    for ids in ids.chunks(25) {
        let pair = |id: &i64| [put(*id, &format!("a-{id:08}"), 80), put(*id, &format!("b-{id:08}"), 81)];
        publish(&mut set, ids.iter().flat_map(pair).collect());
    }
    set
}

/// Another set of the same content, by way of the file.
fn copied(set: &DestinationSet) -> DestinationSet {
    let mut decoder = persist::Decoder::new();
    persist::encode(set).try_for_each(|piece| decoder.push(&piece)).expect("a sound file");
    decoder.finish().expect("a whole file")
}

/// Changes one destination after the other, and gives the times that this took, ascending.
fn change_many(set: &mut DestinationSet) -> Vec<Duration> {
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

/// One test, as other threads would be counted too.
#[test]
fn a_full_set_is_small_and_a_change_of_it_quick() {
    let region = Region::new(ALLOCATOR);
    let mut set = full_set();
    let bytes = held(&region);
    println!("{bytes} bytes held, {:.1} per destination", bytes as f64 / DESTINATIONS as f64);
    assert!(bytes < MOST_BYTES, "{bytes}");
    let mut behind = copied(&set);

    let region = Region::new(ALLOCATOR);
    let times = change_many(&mut set);
    let asked = region.change().bytes_allocated / times.len();
    println!("one change: median {:?}, slowest {:?}; {asked} bytes asked for", times[500], times[999]);
    assert!(times[500] < MOST_TIME, "{:?}", times[500]);
    assert!(asked < 200_000, "a change copies {asked} bytes");

    let last = publish(&mut set, vec![put(7, "d", 83)]);
    let signed = signed(&last);
    let keys = control_keys(&[1, 2, 3]);
    let start = Instant::now();
    signed.verify(&keys).expect("a good signature");
    println!("a signature was verified in {:?}", start.elapsed());
    install(&set, &last, &mut behind);
    install(&set, &last, &mut DestinationSet::new());
}

/// Brings a set to another, and prints what that took.
fn install(from: &DestinationSet, last: &Change, set: &mut DestinationSet) {
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    let mut install = SnapshotInstall::begin(set, from.manifest(), last).expect("a sound manifest");
    let wanted: Vec<u16> = install.missing().collect();
    for index in &wanted {
        install.take(*index, &from.bucket(*index).expect("a bucket")).expect("a sound bucket");
    }
    println!("{} buckets, {} bytes held beside the set until the swap", wanted.len(), held(&region));
    install.finish(set).expect("all buckets are there");
    println!("the install took {:?}", start.elapsed());
    assert_eq!(set.manifest(), from.manifest());
}
