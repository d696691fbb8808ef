//! A relay that requests grants from coordinators and is a coordinator itself.
//!
//! The node chooses the coordinator of each destination, sends requests for the messages that wait at this relay, and passes on
//! the answers. It also tracks to whom its own share of each limit is lent. Invariants: it sends no more than its requests and
//! calls require, and no two relays use one share at a time.

mod channel;
mod compat;
mod destination;
mod grants;
mod loans;
mod receive;
mod report;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use escrow::{BudgetShare, LoanTerms};
use fleet::datagram::{ReplayWindow, Stamp};
use fleet::nearest;
use overload::waits::MinimumWaits;

use crate::coordinator::{ColdStart, Coordinator, Grant, Queue, SharingConfig};
use crate::item::{Item, MAX_PRIORITY_LEVELS};
use crate::{Micros, Peer, SECOND, Sharing, WaitingByPriority, total_waiting};

use destination::{DestinationState, LastContact};

/// Time after which an unanswered request is repeated, in microseconds.
const REPEAT_AFTER: Micros = 6 * SECOND / 100;
/// Units per whole in which a report states the remaining fraction of an allowance.
const REMAINING_UNITS: f64 = 200.0;
/// Minimum interval between requests where shares are lent and demand grows, in microseconds.
const MIN_REQUEST_INTERVAL: Micros = SECOND / 50;
/// Interval between requests while messages wait, where the whole limit is granted, in microseconds.
const REQUEST_INTERVAL: Micros = 3 * SECOND / 10;
/// Number of unanswered requests after which a destination sends none until its demand grows.
const MAX_UNANSWERED: u32 = 12;
/// Time after which a grant is sent once more, in microseconds: a lost grant would be a call that no relay makes.
const RESEND_AFTER: Micros = SECOND / 16;
/// The fleet size that other relays report is accepted up to this multiple of the configured one.
const MAX_GROWTH: Peer = 4;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of this relay.
    pub me: Peer,
    /// Number of relays.
    pub relays: Peer,
    /// Incarnation of this process, which grows from one start to the next.
    pub incarnation: u32,
    /// How destinations warm up after an outage.
    pub cold: ColdStart,
    /// How limits are shared.
    pub sharing: Sharing,
    /// Whether a destination that fails at times is called at a rate that follows its success rate.
    pub follow_success_rate: bool,
}

/// Grants of a coordinator to this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedGrants {
    /// The destination.
    pub destination: i64,
    /// Number of calls that may start.
    pub grants: u16,
    /// Whether endpoints of its kind accept few connections.
    pub few_connections: bool,
}

/// Status of a destination's limit at this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatus {
    /// The destination.
    pub destination: i64,
    /// The coordinator that receives this relay's requests.
    pub coordinator: Option<Peer>,
    /// Whether this relay has its own share, lent to no other.
    pub owns_share: bool,
    /// Number of shares that this relay may use, its own included.
    pub usable_shares: usize,
    /// Total number of shares.
    pub total_shares: Peer,
    /// Whether rates are granted instead of single calls.
    pub grants_rates: bool,
}

/// A relay in its roles as requester and coordinator.
#[derive(Debug)]
pub struct Node {
    config: Config,
    terms: LoanTerms,
    started: Micros,
    /// The largest accepted count of relays.
    relays: Peer,
    coordinator: Coordinator,
    destinations: BTreeMap<i64, DestinationState>,
    /// Destinations with messages that wait at this relay, where the whole limit is granted: those whose requests may be due.
    waiting: BTreeSet<i64>,
    /// Coordinators that did not answer, and until when they are avoided.
    avoided: BTreeMap<Peer, Micros>,
    /// When avoided coordinators were last probed.
    probed: BTreeMap<Peer, Micros>,
    contacts: BTreeMap<Peer, LastContact>,
    /// Stamps of the requests that the next message answers.
    request_stamps: BTreeMap<Peer, Stamp>,
    /// Relays of the previous build, with the replay protection for their datagrams.
    v2_peers: BTreeMap<Peer, ReplayWindow>,
    /// Number of the last datagram of protocol version 2.
    v2_number: u32,
    outgoing: Vec<(Peer, Item)>,
    /// Grants to be sent once more, and when.
    resends: VecDeque<(Micros, Grant)>,
    outgoing_v2: Vec<(Peer, Vec<Item>)>,
    received: Vec<ReceivedGrants>,
    /// Waiting times reported by coordinators.
    wait_times: Vec<(i64, MinimumWaits)>,
}

impl Node {
    /// Creates a node that starts now.
    pub fn new(config: Config, now: Micros) -> Self {
        let Config { sharing, me, relays, follow_success_rate, .. } = config;
        let fleet = SharingConfig { sharing, me, relays, follow_success_rate };
        Node {
            terms: LoanTerms::of(u32::from(config.relays)),
            started: now,
            relays: config.relays,
            coordinator: Coordinator::new(config.cold, fleet),
            destinations: BTreeMap::new(),
            waiting: BTreeSet::new(),
            avoided: BTreeMap::new(),
            probed: BTreeMap::new(),
            contacts: BTreeMap::new(),
            request_stamps: BTreeMap::new(),
            v2_peers: BTreeMap::new(),
            v2_number: 0,
            outgoing: Vec::new(),
            resends: VecDeque::new(),
            outgoing_v2: Vec::new(),
            received: Vec::new(),
            wait_times: Vec::new(),
            config,
        }
    }

    /// Sets the listed rate of a destination, in calls per second.
    pub fn set_listed_rate(&mut self, destination: i64, rate: f64) {
        self.coordinator.set_listed_rate(destination, rate);
        if self.has_shares() {
            // The share is lent even while no message waits at this relay.
            self.destination_state(destination);
        }
    }

    /// Sets the messages that wait at this relay for a destination, beyond the grants that it holds.
    pub fn set_waiting(&mut self, now: Micros, destination: i64, mut waiting: WaitingByPriority) {
        waiting.truncate(MAX_PRIORITY_LEVELS);
        let shares = self.has_shares();
        let state = self.destination_state(destination);
        let highest = |waiting: &WaitingByPriority| waiting.first().map(|(priority, _)| *priority);
        let more = total_waiting(&waiting) > total_waiting(&state.waiting)
            || highest(&waiting) > highest(&state.waiting);
        let waits = !waiting.is_empty();
        state.waiting = waiting;
        if more && shares {
            // A relay that calls at a granted rate goes on with it.
            if !state.has_rate(now) {
                state.next_request_at =
                    state.next_request_at.min(now.max(state.last_request_at + MIN_REQUEST_INTERVAL));
            }
            // The relay is coordinated from now on, whether another coordinator answers or not.
            self.received.push(ReceivedGrants { destination, grants: 0, few_connections: false });
            self.request_from_self(now, destination);
        } else if more {
            state.next_request_at = now;
        }
        if waits && !shares {
            self.waiting.insert(destination);
        } else {
            self.waiting.remove(&destination);
        }
    }

    /// Sets the number of relays after the list of relays has changed.
    pub fn set_relay_count(&mut self, relays: Peer) {
        self.config.relays = relays;
        self.relays = relays;
        self.coordinator.set_relay_count(relays);
        self.avoided.retain(|peer, _| *peer < relays);
        self.contacts.retain(|peer, _| *peer < relays);
        self.v2_peers.retain(|peer, _| *peer < relays);
        for (destination, state) in &mut self.destinations {
            state.preferred = preferred_coordinator(*destination, relays, self.config.me);
        }
    }

    /// Takes the grants received since the last call.
    pub fn take_received_grants(&mut self) -> Vec<ReceivedGrants> {
        std::mem::take(&mut self.received)
    }

    /// Takes the waiting times that coordinators reported since the last call, by destination.
    pub fn take_wait_times(&mut self) -> Vec<(i64, MinimumWaits)> {
        std::mem::take(&mut self.wait_times)
    }

    /// Returns the messages waiting at all relays for the destinations of which this relay is the coordinator, for operators.
    pub fn queues(&self, now: Micros) -> Vec<Queue> {
        self.coordinator.queues(now)
    }

    /// Returns a destination under strain, of which this relay is the coordinator (see [`Coordinator::find_strained`]).
    pub fn find_strained(&self, now: Micros, min_wait: Micros) -> Option<i64> {
        self.coordinator.find_strained(now, min_wait)
    }

    /// Returns the status of each destination's limit, for operators.
    pub fn limit_statuses(&self, now: Micros) -> Vec<LimitStatus> {
        let status = |(destination, state): (&i64, &DestinationState)| {
            let (usable_shares, grants_rates) = self.coordinator.usable_shares(now, *destination);
            let owns_share = self.has_shares() && state.share.is_usable_by_owner(now);
            let coordinator = state.coordinator;
            LimitStatus {
                destination: *destination,
                coordinator,
                owns_share,
                usable_shares,
                total_shares: self.relays,
                grants_rates,
            }
        };
        self.destinations.iter().map(status).collect()
    }

    /// Returns whether each relay owns a share of the limit.
    fn has_shares(&self) -> bool {
        self.config.sharing == Sharing::Shares
    }

    /// Returns the state of a destination, created where there is none. A share lent by an earlier process comes back one lease
    /// after the start.
    fn destination_state(&mut self, destination: i64) -> &mut DestinationState {
        let share = BudgetShare::at_start(self.started, self.terms.lease);
        let Config { relays, me, .. } = self.config;
        let new = || DestinationState::new(share, preferred_coordinator(destination, relays, me));
        self.destinations.entry(destination).or_insert_with(new)
    }

    /// Updates the number of relays by the count of another relay. The shares are those of the larger fleet.
    fn update_relay_count(&mut self, relays: Peer) {
        if relays > self.relays && relays <= self.config.relays.saturating_mul(MAX_GROWTH) {
            self.relays = relays;
            self.coordinator.set_relay_count(relays);
        }
    }

    /// Returns the coordinator of a destination: the relay ranked first, avoided ones last. All relays are ranked only while the
    /// preferred one is avoided.
    fn coordinator_of(&self, now: Micros, destination: i64) -> Peer {
        let avoided = |peer: Peer| self.avoided.get(&peer).is_some_and(|until| now < *until);
        match self.destinations.get(&destination).map(|state| state.preferred) {
            Some(preferred) if !avoided(preferred) => preferred,
            _ => nearest(destination, self.config.relays, avoided).unwrap_or(self.config.me),
        }
    }
}

/// Returns the relay ranked first for a destination, whether it is avoided or not.
fn preferred_coordinator(destination: i64, relays: Peer, me: Peer) -> Peer {
    nearest(destination, relays, |_| false).unwrap_or(me)
}
