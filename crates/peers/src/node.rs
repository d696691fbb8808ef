//! A relay that exchanges observations with its peers: it requests them when it starts, answers the requests of others, and
//! passes on significant changes, within the byte budget of the link. It is a channel of the peer link: frames, own
//! observations and the time go in; frames and believed observations come out.
//!
//! Invariant: it never sends more than its allowance.

use std::collections::{BTreeMap, VecDeque};

use fleet::datagram::FRAME_OVERHEAD_BYTES;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::item::{Item, RelativeObservation, decode};
use crate::observation::{Kind, Micros, Observation, Observed, Peer, SECOND};
use crate::table::ObservationTable;

/// Number of the observation channel on the peer link.
pub const CHANNEL: u8 = 2;

/// Number of peers that a starting relay asks in one round.
const PEERS_PER_ROUND: usize = 3;
/// Maximum number of rounds.
const MAX_ROUNDS: u32 = 12;
/// A round counts as productive if it brings more than one new observation in this number of those held.
const PRODUCTIVE_DIVISOR: usize = 50;
/// Number of consecutive unproductive rounds after which a relay stops asking.
const MAX_UNPRODUCTIVE_ROUNDS: u32 = 3;
/// Interval between rounds, in microseconds.
const ROUND_INTERVAL: Micros = SECOND / 4;
/// Maximum random delay before a peer begins to answer, in microseconds.
const MAX_ANSWER_DELAY: Micros = SECOND / 50;
/// Maximum number of peers that a change is sent to.
const FANOUT: usize = 4;
/// Maximum number of times that an observation is passed on.
const MAX_HOPS: u8 = 3;
/// Interval at which stale observations are dropped, in microseconds.
const CLEANUP_INTERVAL: Micros = SECOND / 2;
/// Maximum number of observations in one answer, of changes waiting, and of updates waiting.
const MAX_WAITING: usize = 4096;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of this relay.
    pub me: Peer,
    /// Maximum number of this relay's own observations, and of destinations and kinds observed by peers.
    pub max_observations: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether the relay requests the observations of its peers when it starts.
    pub asks: bool,
}

/// An answer to the request of a starting relay.
#[derive(Debug)]
struct Answer {
    to: Peer,
    /// When it begins.
    from: Micros,
    /// Observations that are still to be sent.
    keys: VecDeque<(i64, Kind)>,
}

/// A relay that exchanges observations with its peers.
#[derive(Debug)]
pub struct Node {
    config: Config,
    table: ObservationTable,
    rng: SmallRng,
    /// Traffic by destination, in calls a second.
    traffic: BTreeMap<i64, f64>,
    answers: VecDeque<Answer>,
    /// Changes that are still to be sent.
    changes: VecDeque<(i64, Kind)>,
    /// Rounds of requests that are left.
    rounds: u32,
    next_round: Micros,
    /// Peers that have sent an observation.
    answered: Vec<Peer>,
    updates: Vec<Observation>,
    update_count: u64,
    /// The value of `update_count` at the last round.
    updates_at_round: u64,
    /// Consecutive unproductive rounds.
    unproductive_rounds: u32,
    requests: Vec<(Peer, Item)>,
    next_cleanup: Micros,
}

impl Node {
    /// Creates a node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        Node {
            table: ObservationTable::new(config.me, config.max_observations),
            rng: SmallRng::seed_from_u64(config.seed),
            traffic: BTreeMap::new(),
            answers: VecDeque::new(),
            changes: VecDeque::new(),
            rounds: if config.asks { MAX_ROUNDS } else { 0 },
            next_round: now,
            answered: Vec::new(),
            updates: Vec::new(),
            update_count: 0,
            updates_at_round: 0,
            unproductive_rounds: 0,
            requests: Vec::new(),
            next_cleanup: now,
            config,
        }
    }

    /// The observation table.
    pub fn table(&self) -> &ObservationTable {
        &self.table
    }

    /// Number of new observations received from peers.
    pub fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Takes the new observations received from peers since the last call.
    pub fn take_updates(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.updates)
    }

    /// Replaces the set of peers, after a reload of the configuration.
    pub fn set_members(&mut self, members: &Members) {
        self.table.trust.retain(|peer| members.contains(peer));
        self.answers.retain(|answer| members.contains(answer.to));
    }

    /// Adds an observation of this relay; `traffic` is the rate of its calls to the destination, in calls a second. Returns
    /// whether it is a significant change: an outage that began or ended, or a server-requested wait.
    pub fn observe(&mut self, now: Micros, destination: i64, observed: Observed, traffic: f64) -> bool {
        let before = self
            .table
            .believed(now, destination, observed.kind())
            .map(|(observation, _)| observation.observed);
        let significant = is_significant(before.as_ref(), &observed, now);
        self.table.observe(now, destination, observed);
        if self.traffic.len() < self.config.max_observations || self.traffic.contains_key(&destination) {
            self.traffic.insert(destination, traffic);
        }
        if significant {
            self.queue_change((destination, observed.kind()));
        }
        significant
    }

    /// Adds an observation from the snapshot of an earlier process of this relay.
    pub fn restore(&mut self, now: Micros, members: &Members, observation: Observation) {
        if members.contains(observation.source) || observation.source == self.config.me {
            self.table.restore(now, observation);
        }
    }

    fn queue_change(&mut self, key: (i64, Kind)) {
        if self.changes.len() < MAX_WAITING && !self.changes.contains(&key) {
            self.changes.push_back(key);
        }
    }

    /// Merges a peer's observation, and passes it on if it is a significant change.
    fn receive_observation(
        &mut self, now: Micros, from: &Sender, members: &Members, received: &RelativeObservation,
    ) {
        let sent = now - from.delay;
        let observation = Observation {
            destination: received.destination,
            observed: received.observed.shifted(sent),
            at: sent.saturating_sub(received.age),
            source: received.source,
            hops: received.hops.saturating_add(u8::from(received.source != from.peer)),
        };
        if !self.answered.contains(&from.peer) {
            self.answered.push(from.peer);
        }
        let kind = observation.observed.kind();
        let before = self
            .table
            .believed(now, observation.destination, kind)
            .map(|(observation, _)| observation.observed);
        if members.contains(observation.source) && self.table.merge(now, observation) {
            self.update_count += 1;
            if self.updates.len() < MAX_WAITING {
                self.updates.push(observation);
            }
            let few = members.present().len() <= FANOUT;
            // What this relay believed already, its peers have received as well.
            if is_significant(before.as_ref(), &observation.observed, now)
                && observation.hops < MAX_HOPS
                && !few
            {
                self.queue_change((observation.destination, kind));
            }
        }
    }

    /// Queues the answer to a starting relay: observations in order of their use to it, this relay's share first, so that the
    /// peers asked begin with different ones. The shares of the other peers follow in case their answers are lost.
    fn receive_request(&mut self, now: Micros, to: Peer, part: u8, of: u8) {
        // An answer in progress continues. If each request restarted it, it would never be complete.
        if self.answers.iter().any(|answer| answer.to == to) {
            return;
        }
        let mut useful: Vec<(f64, (i64, Kind))> = self
            .table
            .all(now)
            .filter(|(observation, _)| observation.source != to && observation.hops < MAX_HOPS)
            .map(|(observation, weight)| {
                let traffic = self.traffic.get(&observation.destination).copied().unwrap_or(0.1);
                (
                    weight * observation.observed.impact(now) * (0.1 + traffic),
                    (observation.destination, observation.observed.kind()),
                )
            })
            .filter(|(usefulness, _)| *usefulness > 0.0)
            .collect();
        useful.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        useful.truncate(MAX_WAITING);
        let (of, part) = (usize::from(of).max(1), usize::from(part));
        let mine = |(destination, _): &(i64, Kind)| destination.unsigned_abs() as usize % of == part;
        let (first, rest): (Vec<_>, Vec<_>) = useful.into_iter().map(|(_, key)| key).partition(mine);
        let from = now + self.rng.random_range(0..=MAX_ANSWER_DELAY);
        self.answers.push_back(Answer { to, from, keys: first.into_iter().chain(rest).collect() });
    }

    /// Sends one frame of changes to up to [`FANOUT`] peers. Returns the bytes used, or 0 if there are no changes.
    fn send_changes(
        &mut self, now: Micros, members: &Members, room: usize, out: &mut Vec<OutgoingFrame>,
    ) -> usize {
        if self.changes.is_empty() {
            return 0;
        }
        let mut items = Vec::new();
        let n = self.add_changes(now, room, &mut items);
        self.changes.drain(..n.clamp(1, self.changes.len()));
        let mut to = members.present();
        while to.len() > FANOUT {
            to.swap_remove(self.rng.random_range(0..to.len()));
        }
        if items.is_empty() {
            return 1;
        }
        let used = to.len() * cost(&items);
        out.extend(to.into_iter().map(|to| OutgoingFrame { to, bytes: items.clone() }));
        used.max(1)
    }

    /// Sends one frame of the next answer, in rotation. Returns the bytes used, or 0 if no answer is due.
    fn send_answer(&mut self, now: Micros, room: usize, out: &mut Vec<OutgoingFrame>) -> usize {
        let Some(at) = self.answers.iter().position(|answer| answer.from <= now) else { return 0 };
        let Some(mut answer) = self.answers.remove(at) else { return 0 };
        let bytes = self.fill_frame(now, room, &mut answer.keys);
        let used = cost(&bytes);
        if !bytes.is_empty() {
            out.push(OutgoingFrame { to: answer.to, bytes });
        }
        if !answer.keys.is_empty() {
            self.answers.push_back(answer);
        }
        used
    }

    /// Requests observations, first from peers that have sent none yet, while the rounds are productive.
    fn request_observations(&mut self, members: &Members) {
        let mut asked = members.present();
        // Enough peers have answered, and the last round brought hardly anything new: what was lost has arrived from other
        // peers.
        let enough = self.answered.len() >= PEERS_PER_ROUND.min(asked.len());
        let updates = std::mem::replace(&mut self.updates_at_round, self.update_count);
        let little = (self.update_count - updates) as usize <= self.table.len() / PRODUCTIVE_DIVISOR;
        // A single unproductive round may be one whose datagrams were lost.
        self.unproductive_rounds = if enough && little { self.unproductive_rounds + 1 } else { 0 };
        if self.unproductive_rounds >= MAX_UNPRODUCTIVE_ROUNDS {
            self.rounds = 0;
            return;
        }
        // Peers that have answered are left out first, then random ones.
        while asked.len() > PEERS_PER_ROUND {
            let answered = asked.iter().position(|peer| self.answered.contains(peer));
            asked.swap_remove(answered.unwrap_or_else(|| self.rng.random_range(0..asked.len())));
        }
        let of = u8::try_from(asked.len()).unwrap_or(1);
        for (part, peer) in (0..of).zip(asked) {
            self.requests.insert(0, (peer, Item::Request { part, of }));
        }
    }

    /// Adds the first changes that fit, and leaves them in the queue. Returns their number.
    fn add_changes(&self, now: Micros, room: usize, items: &mut Vec<u8>) -> usize {
        self.changes.iter().take_while(|key| self.add(now, **key, room, items)).count()
    }

    /// Adds an observation if it fits, and returns whether it did. One that is no longer believed adds nothing.
    fn add(&self, now: Micros, (destination, kind): (i64, Kind), room: usize, items: &mut Vec<u8>) -> bool {
        let Some((observation, _)) = self.table.believed(now, destination, kind) else { return true };
        let age = now.saturating_sub(observation.at).max(0);
        let observed = observation.observed.shifted(-now);
        let relative = RelativeObservation {
            destination,
            observed,
            age,
            source: observation.source,
            hops: observation.hops,
        };
        let bytes = Item::Observation(relative).encode();
        let fits = items.len() + bytes.len() <= room;
        if fits {
            items.extend(bytes);
        }
        fits
    }

    /// Takes observations from the front of `keys` until the frame is full.
    fn fill_frame(&self, now: Micros, room: usize, keys: &mut VecDeque<(i64, Kind)>) -> Vec<u8> {
        let mut items = Vec::new();
        while let Some(key) = keys.front() {
            if !self.add(now, *key, room, &mut items) {
                break;
            }
            keys.pop_front();
        }
        items
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool {
        let Some((items, skipped)) = decode(bytes) else { return false };
        for item in items {
            match item {
                Item::Observation(received) => self.receive_observation(now, from, members, &received),
                Item::Request { part, of } => self.receive_request(now, from.peer, part, of),
            }
        }
        skipped == 0
    }

    fn poll_frames(
        &mut self, now: Micros, members: &Members, room: usize, allowance: usize,
    ) -> Vec<OutgoingFrame> {
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.table.drop_stale(now);
        }
        if self.rounds > 0 && now >= self.next_round {
            (self.rounds, self.next_round) = (self.rounds - 1, now + ROUND_INTERVAL);
            self.request_observations(members);
        }
        let (mut out, mut left) = (Vec::new(), allowance);
        // A frame starts only where the allowance covers a whole datagram; one to several peers may exceed it by the copies.
        while left >= fleet::datagram::MAX_DATAGRAM_BYTES {
            let Some((to, item)) = (!self.requests.is_empty()).then(|| self.requests.remove(0)) else {
                break;
            };
            let mut bytes = item.encode();
            self.add_changes(now, room, &mut bytes);
            left = left.saturating_sub(cost(&bytes));
            out.push(OutgoingFrame { to, bytes });
        }
        // Answers and changes alternate, so that neither waits until all of the other are sent.
        while left >= fleet::datagram::MAX_DATAGRAM_BYTES {
            let answered = self.send_answer(now, room, &mut out);
            left = left.saturating_sub(answered);
            let changed = if left >= fleet::datagram::MAX_DATAGRAM_BYTES {
                self.send_changes(now, members, room, &mut out)
            } else {
                0
            };
            left = left.saturating_sub(changed);
            if answered + changed == 0 {
                break;
            }
        }
        out
    }

    fn next_at(&self, now: Micros) -> Micros {
        let next_round = if self.rounds > 0 { self.next_round } else { Micros::MAX };
        let waiting = !self.changes.is_empty() || !self.requests.is_empty();
        let answer = self.answers.iter().map(|answer| answer.from).min().unwrap_or(Micros::MAX);
        let due = if waiting { now } else { answer };
        due.min(next_round).min(self.next_cleanup).max(now)
    }
}

/// The bytes that a frame uses of the link's budget, with its share of the datagram's header.
fn cost(bytes: &[u8]) -> usize {
    const HEADER_SHARE: usize = 16;
    if bytes.is_empty() { 0 } else { bytes.len() + FRAME_OVERHEAD_BYTES + HEADER_SHARE }
}

/// Whether a change is sent at once: an outage that began or ended, or a new server-requested wait.
fn is_significant(before: Option<&Observed>, observed: &Observed, now: Micros) -> bool {
    match (before, observed) {
        (
            Some(Observed::Failing { recovering_since: old, .. }),
            Observed::Failing { recovering_since, .. },
        ) => old.is_none() && recovering_since.is_some(),
        (_, Observed::Failing { .. }) => true,
        (Some(Observed::Failing { .. }), Observed::Healthy { .. }) => true,
        (Some(Observed::Wait { until: old }), Observed::Wait { until }) => *until > *old + SECOND / 2,
        (None, Observed::Wait { until }) => *until > now + SECOND / 2,
        _ => false,
    }
}
