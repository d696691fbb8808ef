//! A fleet and its discovery: the calls of all relays together, counted in simulated time.

use tulipfall::interface::Micros;
use tulipfall::net::discovery::BackOff;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// Discovery that works through calls one by one and turns away what comes behind a full queue, which is work too.
struct Discovery {
    busy_until: Micros,
}

impl Discovery {
    /// When the call is answered, and whether with a list.
    fn call(&mut self, now: Micros) -> (Micros, bool) {
        let from = self.busy_until.max(now);
        let taken = from - now < S;
        self.busy_until = from + if taken { 40 * MS } else { 8 * MS };
        (if taken { self.busy_until } else { now + 50 * MS }, taken)
    }
}

/// All relays of a fleet ask until they are answered: how many calls that took in `within`, and how many have a list.
fn asked(relays: u32, within: Micros) -> (usize, usize) {
    let mut discovery = Discovery { busy_until: 0 };
    let mut pauses: Vec<BackOff> = (0..relays).map(|n| BackOff::new(relays, u64::from(n) * 77, S)).collect();
    let mut next: Vec<(Micros, usize)> = pauses.iter().enumerate().map(|(n, p)| (p.start(), n)).collect();
    let (mut calls, mut lists) = (0, 0);
    while let Some(i) = (0..next.len()).min_by_key(|i| next[*i]) {
        let (now, relay) = next.swap_remove(i);
        if now > within {
            break;
        }
        calls += 1;
        match discovery.call(now) {
            (_, true) => lists += 1,
            (at, false) => next.push((at + pauses[relay].failed(), relay)),
        }
    }
    (calls, lists)
}

#[test]
fn a_fleet_that_starts_together_does_not_keep_discovery_from_answering() {
    let (calls, lists) = asked(100, 20 * S);
    assert_eq!(lists, 100, "each relay has its list after 20 s");
    assert!(calls <= 400, "{calls} calls for 100 lists");
}

#[test]
fn a_few_relays_ask_again_as_soon_as_before() {
    for seed in 0..50 {
        let mut pauses = BackOff::new(2, seed, S);
        assert!(pauses.start() <= 20 * MS);
        assert!((20 * MS..=60 * MS).contains(&pauses.failed()));
        let longest = (0..20).map(|_| pauses.failed()).max();
        assert!(longest <= Some(S), "and never far apart: {longest:?}");
        pauses.answered();
        assert!(pauses.failed() <= 60 * MS, "an answer starts anew");
    }
}

#[test]
fn however_many_relays_there_are_each_asks_well_within_the_grace_of_a_drain() {
    for relays in [2, 100, 300, 10_000] {
        let latest = (0..1000).map(|seed| BackOff::new(relays, seed * 77, S).start()).max();
        assert!(latest <= Some(S / 2), "{relays} relays: the last asks after {latest:?} us");
    }
}
