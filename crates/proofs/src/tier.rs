//! A whole tier in simulated time: many relays, thousands of destinations, notes that are late or lost. How long
//! until one that starts knows what matters, and what the notes cost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fleet::keys::Keys;
use fleet::link;
use peers::node::Config;
use peers::observation::{Kind, Micros, Observed, Peer, SECOND};
use peers::standalone::StandaloneNode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Tier {
    /// Relays.
    pub relays: usize,
    /// Destinations.
    pub destinations: i64,
    /// The part of the notes that is lost.
    pub loss: f64,
    /// What is drawn comes of it.
    pub seed: u64,
    /// A relay's budget, in bytes a second.
    pub bytes_per_s: u32,
    /// Messages a second through a relay, for the price of notes.
    pub messages_per_s: f64,
}

/// What was counted.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    /// Facts that matter: destinations in trouble.
    pub matter: usize,
    /// Milliseconds until the starter knew half, nine tenths and all of them; none where it never did.
    pub known_ms: [Option<i64>; 3],
    /// Notes and bytes a relay and second while nothing happens but changes, and in the starter's first second.
    pub quiet_bytes_per_s: f64,
    /// Of all together, in the second of the start.
    pub start_bytes: u64,
    /// Bytes a message, while nothing happens but changes.
    pub bytes_a_message: f64,
    /// On paper: what the facts take, over what those asked may send together, and the way there and back.
    pub bound_ms: f64,
}

/// When it arrives, its number, to whom, and its bytes.
type OnTheWay = Reverse<(Micros, u64, usize, Vec<u8>)>;

const START: Micros = 1_790_000_000 * SECOND;

/// Runs it: thirty seconds of changes, then a relay starts.
pub fn run(tier: &Tier) -> Counted {
    let n = tier.relays;
    let mut rng = SmallRng::seed_from_u64(tier.seed);
    let relay = |me: usize, incarnation: u32, asks: bool, now: Micros| {
        let link = link::Config {
            me: me as Peer,
            incarnation,
            peers: (0..n as Peer).collect(),
            keys: Keys::default(),
            bytes_per_s: tier.bytes_per_s,
            pings_silent_peers: true,
        };
        let seed = tier.seed ^ me as u64;
        StandaloneNode::new(link, Config { me: me as Peer, max_observations: 8192, seed, asks }, now)
    };
    let mut nodes: Vec<(StandaloneNode, Micros)> =
        (0..n).map(|me| (relay(me, 1, false, START), START)).collect();
    let mut notes: BinaryHeap<OnTheWay> = BinaryHeap::new();
    let (mut now, mut count) = (START, 0);
    let starts_at = START + 30 * SECOND;
    let over_at = starts_at + 10 * SECOND;
    let mut change_at = START;
    let mut troubled: Vec<i64> = Vec::new();
    let mut before = 0;
    let mut counted = Counted {
        matter: 0,
        known_ms: [None; 3],
        quiet_bytes_per_s: 0.0,
        start_bytes: 0,
        bytes_a_message: 0.0,
        bound_ms: 0.0,
    };
    let sent =
        |nodes: &[(StandaloneNode, Micros)]| nodes.iter().map(|(node, _)| node.counts().bytes).sum::<u64>();
    let mut started = false;
    while now < over_at {
        if now >= change_at {
            // Ten destinations a second fail or return; each is seen by some relays, again and again.
            change_at += SECOND / 10;
            let destination = rng.random_range(0..tier.destinations);
            match troubled.iter().position(|d| *d == destination) {
                Some(at) => drop(troubled.swap_remove(at)),
                None if !started => troubled.push(destination),
                None => {}
            }
            let seen: Vec<i64> = troubled.clone();
            for destination in seen {
                let sees = usize::try_from(destination).unwrap_or(0) % n;
                for offset in 0..3 {
                    let me = (sees + offset * 7) % n;
                    if me == 0 || (!rng.random_bool(0.1) && destination != *troubled.last().unwrap_or(&-1)) {
                        continue;
                    }
                    let since = now - SECOND;
                    let known = Observed::Failing { since, failures: 3, recovering_since: None };
                    nodes[me].0.node.observe(now, destination, known, 1.0);
                    nodes[me].1 = now;
                }
            }
        }
        if !started && now >= starts_at {
            started = true;
            let all = sent(&nodes);
            let seconds = (now - START) as f64 / SECOND as f64;
            counted.quiet_bytes_per_s = (all - before) as f64 / seconds / n as f64;
            counted.bytes_a_message = counted.quiet_bytes_per_s / tier.messages_per_s;
            counted.matter = troubled.len();
            // A fact takes some 22 bytes; three are asked, each may begin at once with what it saved up.
            let bytes = counted.matter as f64 * 22.0;
            let paced = (bytes - 3.0 * f64::from(tier.bytes_per_s) / 2.0).max(0.0);
            counted.bound_ms = paced / (3.0 * f64::from(tier.bytes_per_s)) * 1000.0 + 20.0 + 2.0 * 26.0;
            before = all;
            nodes[0] = (relay(0, 2, true, now), now);
        }
        for (node, at) in &mut nodes {
            if *at > now {
                continue;
            }
            for out in node.poll(now) {
                count += 1;
                if !rng.random_bool(tier.loss) {
                    let at = now + rng.random_range(2_100..26_000);
                    notes.push(Reverse((at, count, usize::from(out.to), out.bytes)));
                }
            }
            *at = node.next_at(now);
        }
        let next = nodes.iter().map(|(_, at)| *at).min().unwrap_or(over_at);
        let arrives = notes.peek().map_or(over_at, |Reverse((at, ..))| *at);
        now = next.min(arrives).min(change_at).max(now + 1);
        while notes.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, to, bytes))) = notes.pop() else { break };
            let _ = nodes[to].0.receive(now, &bytes);
            nodes[to].1 = nodes[to].1.min(now);
            if started && to == 0 {
                let ledger = nodes[0].0.node.table();
                let knows = |destination: &&i64| ledger.believed(now, **destination, Kind::Health).is_some();
                let known = troubled.iter().filter(knows).count();
                for (at, part) in [0.5, 0.9, 1.0].into_iter().enumerate() {
                    let enough = known as f64 >= part * troubled.len() as f64;
                    if enough && counted.known_ms[at].is_none() {
                        counted.known_ms[at] = Some((now - starts_at) / 1000);
                    }
                }
            }
        }
        if started && counted.start_bytes == 0 && now >= starts_at + SECOND {
            counted.start_bytes = sent(&nodes).saturating_sub(before);
        }
    }
    counted
}
