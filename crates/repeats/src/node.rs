//! A relay that shares retry budgets: it requests tokens for its waiting retries, and is the budget coordinator of some
//! destinations. It determines the coordinator of each destination and grants tokens by priority.
//!
//! Invariant: a retry is granted only after its token was withdrawn from this relay's budget.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;
use fleet::nearest;
use overload::backlog::Backlog;
use overload::waits::MinimumWaits;
use permits::{WaitingByPriority, take_highest, total_waiting};

use crate::budget::{
    Counts, FLOOR_UNITS_PER_SECOND, Incarnation, RetryBudget, TOKEN_LIFETIME, UNITS_PER_TOKEN,
};
use crate::item::{CHANNEL, Item, MAX_PRIORITY_LEVELS, decode};
use crate::{Micros, Peer, SECOND};

/// Time after which an unanswered item is sent again, in microseconds.
const REPLY_TIMEOUT: Micros = 6 * SECOND / 100;
/// Number of times that an unanswered item is sent before its receiver is avoided.
const MAX_SENDS: u32 = 3;
/// Time for which a relay that did not answer is avoided as coordinator, in microseconds.
const AVOIDANCE_PERIOD: Micros = 2 * SECOND;
/// Interval at which retries that still wait are requested again, in microseconds.
const REQUEST_INTERVAL: Micros = 3 * SECOND / 10;
/// Time for which a request counts at the coordinator, in microseconds.
const REQUEST_VALIDITY: Micros = SECOND;
/// Time without an answer of any coordinator after which a relay spends its own tokens, in microseconds.
const COORDINATOR_TIMEOUT: Micros = 4 * SECOND / 10;
/// Longest time that granted tokens are taken to be in transit, in microseconds. Retries that are requested again after that
/// still wait.
const TRANSIT_TIME: Micros = 2 * SECOND / 10;
/// Interval between checks of all destinations while retries wait, in microseconds.
const BUSY_INTERVAL: Micros = SECOND / 50;
/// Interval between checks of all destinations while none wait, in microseconds.
const IDLE_INTERVAL: Micros = SECOND;
/// Maximum number of destinations with a budget. Beyond it, nothing is retried.
const MAX_DESTINATIONS: usize = 4096;
/// Maximum number of tokens accepted in one transfer where the destination's rate is not known.
const DEFAULT_MAX_TRANSFER: u32 = 32;
/// Time constant of the moving average of tokens received, in microseconds.
const INCOME_TIME_CONSTANT: Micros = 4 * SECOND;

/// Configuration of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of this relay.
    pub me: Peer,
    /// Number of relays in the fleet.
    pub relays: Peer,
    /// Number of this relay's start, which grows with each start.
    pub incarnation: u32,
}

/// Retries that the relay may start, and minimum waiting times of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenUpdate {
    /// The destination.
    pub destination: i64,
    /// Number of further retries that may start.
    pub retries: u32,
    /// Minimum waiting times by priority, where they are reported.
    pub waits: Option<MinimumWaits>,
}

/// The latest request of another relay.
#[derive(Clone, Debug)]
struct PeerRequest {
    incarnation: u32,
    /// Waiting retries by priority.
    waiting: WaitingByPriority,
    received_at: Micros,
    waiting_since: Micros,
    /// Time of the last grant.
    granted_at: Micros,
}

/// This relay's request that no coordinator has answered.
#[derive(Clone, Copy, Debug)]
struct UnansweredRequest {
    to: Peer,
    sent_at: Micros,
    /// Number of times that it was sent to this coordinator.
    sends: u32,
    /// Time of the first request to any coordinator.
    since: Micros,
}

/// A transfer that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedTransfer {
    to: Incarnation,
    sent_at: Micros,
    sends: u32,
}

/// State of one destination's budget at this relay.
#[derive(Clone, Debug)]
struct DestinationState {
    budget: RetryBudget,
    /// Maximum number of tokens accepted in one transfer.
    max_transfer: u32,
    /// Retries that wait at this relay.
    waiting: WaitingByPriority,
    waiting_since: Micros,
    unanswered: Option<UnansweredRequest>,
    next_request_at: Micros,
    transfer: Option<UnacknowledgedTransfer>,
    /// Requests of other relays.
    requests: BTreeMap<Peer, PeerRequest>,
    backlog: Backlog,
    /// Moving average of tokens received a second, as of `income_at`.
    income: f64,
    income_at: Micros,
}

impl DestinationState {
    fn new(now: Micros) -> Self {
        DestinationState {
            budget: RetryBudget::new(now),
            max_transfer: DEFAULT_MAX_TRANSFER,
            waiting: WaitingByPriority::new(),
            waiting_since: now,
            unanswered: None,
            next_request_at: Micros::MIN,
            transfer: None,
            requests: BTreeMap::new(),
            backlog: Backlog::default(),
            income: 0.0,
            income_at: now,
        }
    }

    /// Adds received tokens to the moving average, and returns it in tokens a second.
    fn income(&mut self, now: Micros, tokens: u32) -> f64 {
        let span = INCOME_TIME_CONSTANT as f64;
        let decay = (-((now - self.income_at).max(0) as f64) / span).exp();
        self.income = self.income * decay + f64::from(tokens) * SECOND as f64 / span;
        self.income_at = self.income_at.max(now);
        self.income
    }

    /// The relay whose retry is next: the highest priority, then the longest wait.
    fn next_relay(&self, now: Micros, me: Peer) -> Option<Peer> {
        let valid = self.requests.iter().filter(|(_, request)| now - request.received_at < REQUEST_VALIDITY);
        let others = valid.map(|(peer, request)| (&request.waiting, request.waiting_since, *peer));
        let all = others.chain([(&self.waiting, self.waiting_since, me)]);
        let best =
            all.filter_map(|(waiting, since, peer)| Some((waiting.first()?.0, Reverse(since), peer))).max();
        best.map(|(.., peer)| peer)
    }

    /// Whether retries wait at other relays that requested tokens.
    fn has_requests(&self, now: Micros) -> bool {
        self.requests
            .values()
            .any(|request| now - request.received_at < REQUEST_VALIDITY && !request.waiting.is_empty())
    }

    /// Whether retries wait, here or at other relays, or a transfer is not acknowledged.
    fn is_busy(&self, now: Micros) -> bool {
        !self.waiting.is_empty() || self.transfer.is_some() || self.has_requests(now)
    }
}

/// Status of one destination's budget at this relay, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The destination.
    pub destination: i64,
    /// The relay that this one takes for the budget coordinator.
    pub coordinator: Peer,
    /// Number of whole tokens at this relay.
    pub tokens: u32,
    /// Counters since the start of this relay.
    pub counts: Counts,
    /// Number of retries that wait at this relay, and at others that request tokens from it.
    pub waiting: [u32; 2],
}

/// A relay that shares retry budgets with others.
#[derive(Debug)]
pub struct Node {
    config: Config,
    destinations: BTreeMap<i64, DestinationState>,
    /// Destinations whose state changed since the last check.
    changed: BTreeSet<i64>,
    /// Time of the next check of all destinations.
    next_check: Micros,
    /// Last known incarnation of each relay.
    incarnations: BTreeMap<Peer, u32>,
    /// Relays that did not answer, and the time until which they are avoided.
    avoided: BTreeMap<Peer, Micros>,
    /// Relays whose request is to be answered, with the destination.
    replies_due: BTreeSet<(Peer, i64)>,
    outgoing: Vec<(Peer, Item)>,
    updates: BTreeMap<i64, TokenUpdate>,
}

impl Node {
    /// Creates a node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        Node {
            config,
            destinations: BTreeMap::new(),
            changed: BTreeSet::new(),
            next_check: now,
            incarnations: BTreeMap::new(),
            avoided: BTreeMap::new(),
            replies_due: BTreeSet::new(),
            outgoing: Vec::new(),
            updates: BTreeMap::new(),
        }
    }

    /// The state of a destination, created where there is room for it.
    fn state(&mut self, now: Micros, destination: i64) -> Option<&mut DestinationState> {
        if !self.destinations.contains_key(&destination) && self.destinations.len() >= MAX_DESTINATIONS {
            return None;
        }
        Some(self.destinations.entry(destination).or_insert_with(|| DestinationState::new(now)))
    }

    /// Sets the listed rate of a destination, in calls a second. It limits the tokens accepted in one transfer.
    pub fn set_rate(&mut self, now: Micros, destination: i64, rate: f64) {
        let seconds = (2 * TOKEN_LIFETIME / SECOND) as f64;
        let most = (rate.max(0.0) / 10.0 + FLOOR_UNITS_PER_SECOND as f64 / UNITS_PER_TOKEN as f64) * seconds;
        if let Some(state) = self.state(now, destination).filter(|_| rate > 0.0) {
            state.max_transfer = (most.ceil() as u32).max(1);
        }
    }

    /// Sets the number of relays, after a reload of the configuration.
    pub fn set_relays(&mut self, relays: Peer) {
        self.config.relays = relays;
        self.avoided.retain(|peer, _| *peer < relays);
        self.incarnations.retain(|peer, _| *peer < relays);
    }

    /// Records the start of a first attempt at this relay.
    pub fn first_attempt(&mut self, now: Micros, destination: i64) {
        if let Some(state) = self.state(now, destination) {
            state.budget.first_attempt();
            if state.budget.tokens() > 0 {
                self.changed.insert(destination);
            }
        }
    }

    /// Sets the retries that wait at this relay, beyond those that may start.
    pub fn request(&mut self, now: Micros, destination: i64, mut waiting: WaitingByPriority) {
        waiting.truncate(MAX_PRIORITY_LEVELS);
        if let Some(state) = self.state(now, destination) {
            if state.waiting.is_empty() {
                state.waiting_since = now;
            }
            state.waiting = waiting;
            state.next_request_at = now;
            self.changed.insert(destination);
        }
    }

    /// Takes the updates since the last call.
    pub fn take_updates(&mut self) -> Vec<TokenUpdate> {
        std::mem::take(&mut self.updates).into_values().collect()
    }

    /// Takes back an update that could not be delivered, and merges it into the next one.
    pub fn return_update(&mut self, update: TokenUpdate) {
        self.queue_update(update.destination, update.retries, update.waits);
    }

    /// Status of all budgets, by destination.
    pub fn status(&self, now: Micros) -> Vec<BudgetStatus> {
        let status = |(destination, state): (&i64, &DestinationState)| BudgetStatus {
            destination: *destination,
            coordinator: self.coordinator(now, *destination),
            tokens: state.budget.tokens(),
            counts: state.budget.counts(),
            waiting: [
                total_waiting(&state.waiting),
                state.requests.values().map(|request| total_waiting(&request.waiting)).sum(),
            ],
        };
        self.destinations.iter().map(status).collect()
    }

    /// The budget coordinator: the relay that rendezvous hashing selects, with avoided relays last.
    fn coordinator(&self, now: Micros, destination: i64) -> Peer {
        let avoided = |peer: Peer| self.avoided.get(&peer).is_some_and(|until| now < *until);
        nearest(destination, self.config.relays, avoided).unwrap_or(self.config.me)
    }

    fn queue_update(&mut self, destination: i64, retries: u32, waits: Option<MinimumWaits>) {
        let update =
            self.updates.entry(destination).or_insert(TokenUpdate { destination, retries: 0, waits: None });
        update.retries += retries;
        update.waits = waits.or(update.waits.take());
    }

    /// Spends this relay's tokens on retries that wait here, at most `max` of them.
    fn spend_on_waiting(&mut self, destination: i64, max: u32) {
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        let mut spent = 0;
        while spent < max && !state.waiting.is_empty() && state.budget.spend(1) {
            take_highest(&mut state.waiting);
            spent += 1;
        }
        if spent > 0 {
            self.queue_update(destination, spent, None);
        }
    }

    /// Grants tokens as the coordinator of a destination; otherwise requests and transfers tokens.
    fn check(&mut self, now: Micros, destination: i64) {
        let (me, relays) = (self.config.me, self.config.relays);
        let coordinator = self.coordinator(now, destination);
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        state.budget.advance(now, relays);
        if coordinator == me {
            state.unanswered = None;
        }
        // A relay that receives a request grants what it has, even where it takes another one for the coordinator.
        if coordinator == me || state.has_requests(now) {
            self.grant(now, destination);
        }
        let Some(state) = self.destinations.get_mut(&destination).filter(|_| coordinator != me) else {
            return;
        };
        let within_timeout = state.unanswered.is_none_or(|request| now - request.since < COORDINATOR_TIMEOUT);
        if !within_timeout {
            self.spend_on_waiting(destination, u32::MAX);
        }
        self.send_request(now, destination, coordinator);
        if within_timeout {
            self.transfer(now, destination, coordinator);
        }
    }

    /// Requests tokens from the coordinator for the retries that wait here.
    fn send_request(&mut self, now: Micros, destination: i64, coordinator: Peer) {
        let incarnation = self.incarnations.get(&coordinator).copied();
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        // A coordinator that was never heard from is asked whether it is reachable, before tokens are transferred to it.
        let requests = !state.waiting.is_empty() || incarnation.is_none() && state.budget.tokens() > 0;
        if !requests {
            state.unanswered = None;
            return;
        }
        let mut request = state.unanswered.unwrap_or(UnansweredRequest {
            to: coordinator,
            sent_at: 0,
            sends: 0,
            since: now,
        });
        if request.to != coordinator {
            request = UnansweredRequest { to: coordinator, sent_at: 0, sends: 0, since: request.since };
        }
        let again = request.sends > 0 && now - request.sent_at >= REPLY_TIMEOUT;
        if again && request.sends >= MAX_SENDS {
            self.avoided.insert(coordinator, now + AVOIDANCE_PERIOD);
            self.changed.insert(destination);
            return;
        }
        if again || state.next_request_at <= now && request.sends == 0 {
            state.unanswered = Some(UnansweredRequest { sent_at: now, sends: request.sends + 1, ..request });
            state.next_request_at = now + REQUEST_INTERVAL;
            let received =
                incarnation.map_or(0, |incarnation| state.budget.received_from((coordinator, incarnation)));
            let item = Item::Request { destination, received, waiting: state.waiting.clone() };
            self.outgoing.push((coordinator, item));
        }
    }

    /// Transfers this relay's whole tokens to the coordinator, and repeats a transfer that is not acknowledged.
    fn transfer(&mut self, now: Micros, destination: i64, coordinator: Peer) {
        let incarnation = self.incarnations.get(&coordinator).copied();
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        if let Some(transfer) = state.transfer.filter(|transfer| now - transfer.sent_at >= REPLY_TIMEOUT) {
            if transfer.sends >= MAX_SENDS {
                // The receiver has the tokens, or they are lost.
                state.transfer = None;
                self.avoided.insert(transfer.to.0, now + AVOIDANCE_PERIOD);
                self.changed.insert(destination);
                return;
            }
            state.transfer =
                Some(UnacknowledgedTransfer { sent_at: now, sends: transfer.sends + 1, ..transfer });
            let total = state.budget.given_to(transfer.to);
            self.outgoing.push((
                transfer.to.0,
                Item::Transfer { destination, incarnation: transfer.to.1, total, is_reply: false },
            ));
        }
        let tokens = state.budget.tokens();
        if state.transfer.is_none()
            && tokens > 0
            && let Some(incarnation) = incarnation
            && let Some(total) = state.budget.give((coordinator, incarnation), tokens)
        {
            state.transfer =
                Some(UnacknowledgedTransfer { to: (coordinator, incarnation), sent_at: now, sends: 1 });
            self.outgoing
                .push((coordinator, Item::Transfer { destination, incarnation, total, is_reply: false }));
        }
    }

    /// Grants this relay's tokens, as a coordinator, to the waiting retries of highest priority.
    fn grant(&mut self, now: Micros, destination: i64) {
        let me = self.config.me;
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        let waiting = state.waiting.clone();
        state.backlog.update(now, me, &waiting);
        let mut own = 0;
        while state.budget.tokens() > 0
            && let Some(peer) = state.next_relay(now, me)
        {
            state.backlog.record_start(now, peer);
            if peer == me {
                state.budget.spend(1);
                take_highest(&mut state.waiting);
                state.waiting_since = now;
                own += 1;
            } else if let Some(request) = state.requests.get_mut(&peer) {
                take_highest(&mut request.waiting);
                if state.budget.give((peer, request.incarnation), 1).is_none() {
                    break;
                }
                (request.waiting_since, request.granted_at) = (now, now);
                self.replies_due.insert((peer, destination));
            }
        }
        let waits = (!state.waiting.is_empty()).then(|| self.waits(now, destination, me));
        if own > 0 || waits.as_ref().is_some_and(|waits| !waits.is_zero()) {
            self.queue_update(destination, own, waits);
        }
    }

    /// Minimum waiting times of a relay's retries, at the rate at which tokens come in.
    fn waits(&mut self, now: Micros, destination: i64, peer: Peer) -> MinimumWaits {
        let relays = f64::from(self.config.relays.max(1));
        let Some(state) = self.destinations.get_mut(&destination) else { return MinimumWaits::default() };
        let rate = state.income(now, 0) + FLOOR_UNITS_PER_SECOND as f64 / UNITS_PER_TOKEN as f64 / relays;
        state.backlog.minimum_waits(now, peer, Some(rate))
    }

    /// Processes an item of another relay.
    fn receive_item(&mut self, now: Micros, from: &Sender, item: Item) {
        let (sender, own_incarnation) = ((from.peer, from.incarnation), self.config.incarnation);
        match item {
            Item::Request { destination, received, waiting } => {
                let Some(state) = self.state(now, destination) else { return };
                let total = state.budget.given_to(sender);
                let requests = state.requests.entry(from.peer);
                let new = PeerRequest {
                    incarnation: sender.1,
                    waiting: WaitingByPriority::new(),
                    received_at: now,
                    waiting_since: now,
                    granted_at: 0,
                };
                let request = requests.or_insert(new);
                if request.waiting.is_empty()
                    || now - request.received_at >= REQUEST_VALIDITY
                    || request.incarnation != sender.1
                {
                    request.waiting_since = now;
                }
                (request.incarnation, request.waiting, request.received_at) = (sender.1, waiting, now);
                // Tokens that are still in transit serve part of the request.
                if now - request.granted_at < TRANSIT_TIME {
                    (0..total.saturating_sub(received)).for_each(|_| take_highest(&mut request.waiting));
                }
                let waiting = request.waiting.clone();
                state.backlog.update(now, from.peer, &waiting);
                self.replies_due.insert((from.peer, destination));
                self.changed.insert(destination);
            }
            Item::Transfer { destination, incarnation, total, is_reply }
                if incarnation == own_incarnation =>
            {
                let Some(state) = self.state(now, destination) else { return };
                let max = state.max_transfer;
                let new = state.budget.receive(sender, total, max);
                state.income(now, new);
                if is_reply {
                    state.unanswered = None;
                    self.spend_on_waiting(destination, new);
                } else {
                    let total = state.budget.received_from(sender);
                    self.outgoing.push((from.peer, Item::Received { destination, total }));
                }
                self.changed.insert(destination);
            }
            // Tokens for an earlier incarnation of this relay are lost.
            Item::Transfer { .. } => {}
            Item::Received { destination, total } => {
                let Some(state) = self.destinations.get_mut(&destination) else { return };
                state
                    .transfer
                    .take_if(|transfer| transfer.to == sender && total >= state.budget.given_to(sender));
            }
            Item::Waits { destination, levels } => {
                if self.destinations.contains_key(&destination) {
                    self.queue_update(destination, 0, Some(MinimumWaits::from_levels(levels)));
                }
            }
        }
    }

    /// Answers requests with the tokens granted and the minimum waiting times of the remaining retries.
    fn send_replies(&mut self, now: Micros) {
        for (peer, destination) in std::mem::take(&mut self.replies_due) {
            let Some(incarnation) = self.incarnations.get(&peer).copied() else { continue };
            let Some(state) = self.destinations.get(&destination) else { continue };
            let total = state.budget.given_to((peer, incarnation));
            let waits = state.requests.get(&peer).is_some_and(|request| !request.waiting.is_empty());
            self.outgoing.push((peer, Item::Transfer { destination, incarnation, total, is_reply: true }));
            let waits = if waits { self.waits(now, destination, peer) } else { MinimumWaits::default() };
            if !waits.is_zero() {
                self.outgoing.push((peer, Item::Waits { destination, levels: waits.levels().to_vec() }));
            }
        }
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// Not limited by the link's byte budget: retries wait for these items, and their number is limited by first attempts,
    /// requests and transfers.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        self.avoided.remove(&from.peer);
        self.incarnations.insert(from.peer, from.incarnation);
        let (items, valid) = decode(bytes);
        items.into_iter().for_each(|item| self.receive_item(now, from, item));
        valid
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        let mut due = std::mem::take(&mut self.changed);
        if now >= self.next_check {
            due.extend(self.destinations.keys());
            self.next_check = now + IDLE_INTERVAL;
        }
        let busy = due.iter().any(|id| self.destinations.get(id).is_some_and(|state| state.is_busy(now)));
        due.into_iter().for_each(|destination| self.check(now, destination));
        if busy {
            self.next_check = self.next_check.min(now + BUSY_INTERVAL);
        }
        self.send_replies(now);
        frame::pack(self.outgoing.drain(..).map(|(to, item)| (to, item.encode())), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if self.outgoing.is_empty() && self.replies_due.is_empty() { self.next_check.max(now) } else { now }
    }
}
