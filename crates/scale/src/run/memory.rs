//! Memory: what a run would need, what the machine has, and what is allocated.

use crate::measurement::Role;
use crate::scenario::Scenario;

/// Bytes that a relay keeps for each other, on its link.
const FOR_EACH_PEER: u64 = 200;
/// Bytes that a relay keeps for each destination whose limit is listed.
const FOR_EACH_LISTED: u64 = 64;
/// Bytes that a relay keeps for each destination that it had an event for, as one that asks or as the coordinator.
const FOR_EACH_MET: u64 = 600;
/// Facts that a relay keeps at the most, and bytes for each.
const MOST_FACTS: u64 = 2 * super::relay::MOST_FACTS as u64;
const FOR_EACH_FACT: u64 = 400;

/// Bytes that a run needs, as estimated from its size.
pub(super) fn needed(scenario: &Scenario) -> u64 {
    let (relays, destinations) = (u64::from(scenario.relays), u64::from(scenario.destinations));
    let limits = if scenario.has(Role::LimitCoordinator) { limits(scenario) } else { 0 };
    let facts = if scenario.has(Role::HealthObservations) { MOST_FACTS * FOR_EACH_FACT } else { 0 };
    relays * (relays * FOR_EACH_PEER + limits + facts.min(4 * destinations * FOR_EACH_FACT))
}

/// Bytes that the limits take at one relay.
fn limits(scenario: &Scenario) -> u64 {
    let events =
        scenario.events_per_s * (scenario.warm_up_s + scenario.seconds) / f64::from(scenario.relays.max(1));
    let destinations = u64::from(scenario.destinations);
    destinations * FOR_EACH_LISTED + destinations.min(events as u64) * FOR_EACH_MET
}

/// Bytes of memory that the machine has, where the system tells.
pub(super) fn of_machine() -> Option<u64> {
    const KILOBYTE: u64 = 1024;
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes * KILOBYTE)
}

/// Bytes that are allocated now; 0 where the process does not count them (see the binary's allocator).
pub(super) fn allocated() -> u64 {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}
