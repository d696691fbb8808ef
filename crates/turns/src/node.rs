//! Maintenance coordination on one relay: its own drain request and slot, its votes, and the items that it sends.
//!
//! Invariant: a relay takes a maintenance slot only with votes of its present round.

use std::collections::{BTreeMap, BTreeSet};

use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;

use crate::item::{CHANNEL, Item, RefusalReason, RelayState};
use crate::requests::{DrainRequest, DrainRequests, Kind, Stage};
use crate::voter::{DisabledCheck, RelayStatus, VOTE_ROUND_TIMEOUT, Voter};
use crate::{FencingToken, MaintenancePolicy, Micros, Peer, SECOND};

/// Interval at which each voter pings all other relays while a request is pending or a relay is in maintenance, in
/// microseconds.
const PING_INTERVAL: Micros = SECOND;
/// Interval at which each relay pings one other relay, in turn, at all other times, in microseconds.
const IDLE_PING_INTERVAL: Micros = 2 * SECOND;
/// Interval at which a slot request is sent again to voters that did not answer, in microseconds.
const VOTE_RESEND_INTERVAL: Micros = 3 * SECOND / 10;
/// Minimum pause after a failed round, in microseconds. A jitter of up to as much is added, by the relay's number.
const VOTE_BACKOFF: Micros = 2 * SECOND / 5;
/// Time for which a voter waits for an older request that could be granted but does not ask for a slot, in microseconds.
const YIELD_TIMEOUT: Micros = 3 * SECOND;
/// Time after which a report of strain that was not repeated expires, in microseconds.
const STRAIN_REPORT_TTL: Micros = 5 * SECOND / 2;
/// Age from which a request is no longer delayed by strain, in milliseconds, so that no request waits for ever.
const MAX_STRAIN_DELAY_MS: u64 = 600_000;
/// Time for which a refusal is remembered, in microseconds.
const REFUSAL_TTL: Micros = 5 * SECOND;

/// Configuration of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Its incarnation, which grows from one start to the next.
    pub incarnation: u32,
    /// How many relays may be in maintenance at once, and the zones.
    pub policy: MaintenancePolicy,
}

/// A maintenance slot that this relay holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MaintenanceSlot {
    /// The fencing token under which it was granted.
    pub token: FencingToken,
    /// The slot's index, from 0.
    pub index: u8,
    /// What the relay is drained for.
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoteRound {
    token: FencingToken,
    slot: u8,
    votes: BTreeSet<Peer>,
    answered: BTreeSet<Peer>,
    started_at: Micros,
    resend_at: Micros,
}

/// What the relay has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Drain: accept no new clients, and exit once drained if the kind says so.
    Drain(MaintenanceSlot),
    /// Accept clients again.
    Resume,
}

/// Maintenance coordination on one relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    config: Config,
    voter: Voter,
    requests: DrainRequests,
    serving: bool,
    /// Whether the previous process ended in maintenance. Its request is complete once this one serves.
    was_out_before_restart: bool,
    round: u32,
    vote_round: Option<VoteRound>,
    slot: Option<MaintenanceSlot>,
    backoff_until: Micros,
    ping_at: Micros,
    next_ping_peer: Peer,
    /// Relays with older requests that could be granted, and since when this relay has waited for them.
    yielding_since: BTreeMap<Peer, Micros>,
    refusals: BTreeMap<Peer, (RefusalReason, Micros)>,
    /// Whether this relay sees strain, and when other relays last reported it.
    strained: bool,
    strain_reports: BTreeMap<Peer, Micros>,
    unix_ms: u64,
    outbox: Vec<(Peer, Item)>,
    actions: Vec<Action>,
    /// Whether the persisted state has changed since [`Node::take_unsaved`].
    unsaved: bool,
}

/// State of a node that outlasts the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PersistedState {
    /// All known drain requests.
    #[serde(rename = "wishes")]
    pub requests: Vec<DrainRequest>,
    /// The token of the slot that the relay held.
    #[serde(rename = "out")]
    pub slot: Option<FencingToken>,
}

impl Node {
    /// Creates a node at the present time from the persisted state.
    pub fn new(config: Config, now: Micros, persisted: &PersistedState) -> Self {
        let mut requests = DrainRequests::default();
        for request in &persisted.requests {
            requests.merge(config.policy.relays, *request);
        }
        Node {
            voter: Voter::new(config.me, config.incarnation, now),
            requests,
            serving: false,
            was_out_before_restart: persisted.slot.is_some(),
            round: 0,
            vote_round: None,
            slot: None,
            backoff_until: now,
            ping_at: now,
            next_ping_peer: config.me,
            yielding_since: BTreeMap::new(),
            refusals: BTreeMap::new(),
            strained: false,
            strain_reports: BTreeMap::new(),
            unix_ms: 0,
            outbox: Vec::new(),
            actions: Vec::new(),
            unsaved: false,
            config,
        }
    }

    /// Disables a safety check, so that tests can show that it is needed.
    #[must_use]
    pub fn with_disabled_check(mut self, check: DisabledCheck) -> Self {
        self.voter.disabled = check;
        self
    }

    /// The state to persist.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState { requests: self.requests.all(), slot: self.slot.map(|slot| slot.token) }
    }

    /// Returns and clears whether the persisted state has changed.
    pub fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.unsaved)
    }

    /// Returns and clears what the relay has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The slot that this relay holds.
    pub fn slot(&self) -> Option<MaintenanceSlot> {
        self.slot
    }

    /// How many relays may be in maintenance at once, and the zones.
    pub fn policy(&self) -> &MaintenancePolicy {
        &self.config.policy
    }

    /// The known drain requests.
    pub fn requests(&self) -> &DrainRequests {
        &self.requests
    }

    /// Sets whether the relay serves, apart from its maintenance, and the Unix time in milliseconds.
    pub fn set_serving(&mut self, now: Micros, unix_ms: u64, serving: bool) {
        self.unix_ms = unix_ms;
        self.serving = serving;
        if serving && std::mem::take(&mut self.was_out_before_restart) {
            self.complete_own_request(unix_ms);
        }
        if serving && self.requests.written_off(self.config.me) {
            self.update_request(now, self.config.me, Kind::default(), Stage::Done);
        }
    }

    /// Sets whether this relay sees strain in the fleet: overload, an outage, a cold restart of a destination. While a relay
    /// sees strain no maintenance begins; what has begun goes on.
    pub fn set_strained(&mut self, now: Micros, strained: bool) {
        if strained && !self.strained {
            self.ping_at = now;
        }
        self.strained = strained;
    }

    /// The relay whose report of strain delays the request of `peer`, if any.
    fn strain_reporter(&self, now: Micros, peer: Peer) -> Option<Peer> {
        let old = self
            .requests
            .get(peer)
            .is_some_and(|request| self.unix_ms >= request.requested_at_ms + MAX_STRAIN_DELAY_MS);
        let own = self.strained.then_some(self.config.me);
        let reported =
            self.strain_reports.iter().find(|(_, at)| now - **at < STRAIN_REPORT_TTL).map(|(peer, _)| *peer);
        own.or(reported).filter(|_| !old)
    }

    /// The request for this relay, while it is pending.
    fn own_pending_request(&self) -> Option<DrainRequest> {
        self.requests.get(self.config.me).filter(|request| request.stage == Stage::Pending).copied()
    }

    fn complete_own_request(&mut self, unix_ms: u64) {
        let (me, relays) = (self.config.me, self.config.policy.relays);
        if let Some(DrainRequest { kind, .. }) = self.own_pending_request() {
            self.unsaved |= self.requests.update(unix_ms, relays, me, kind, Stage::Done);
        }
        self.ping_at = Micros::MIN;
    }

    /// Applies an operator's request for a relay. Returns whether it changed anything.
    pub fn update_request(&mut self, now: Micros, relay: Peer, kind: Kind, stage: Stage) -> bool {
        let new = self.requests.update(self.unix_ms, self.config.policy.relays, relay, kind, stage);
        self.unsaved |= new;
        if new {
            self.ping_at = now;
            self.cancel_if_not_requested();
        }
        new
    }

    /// Pauses or resumes maintenance in the whole fleet. Returns whether that changed anything.
    pub fn set_paused(&mut self, now: Micros, paused: bool) -> bool {
        let new = self.requests.set_paused(self.unix_ms, self.config.policy.relays, paused);
        self.unsaved |= new;
        self.ping_at = if new { now } else { self.ping_at };
        new
    }

    /// Ends this relay's maintenance on an operator's command, without a restart. Returns whether it was in maintenance.
    pub fn end_slot(&mut self, unix_ms: u64) -> bool {
        let was_out = self.slot.take().is_some();
        if was_out {
            self.complete_own_request(unix_ms);
            self.actions.push(Action::Resume);
            self.unsaved = true;
        }
        was_out
    }

    /// Gives up the vote round and the slot if the request for this relay is no longer pending.
    fn cancel_if_not_requested(&mut self) {
        if self.own_pending_request().is_none() {
            self.vote_round = None;
            if self.slot.take().is_some() {
                self.actions.push(Action::Resume);
                self.unsaved = true;
            }
        }
    }

    /// Replaces the number of relays and the zones.
    pub fn set_policy(&mut self, policy: MaintenancePolicy) {
        self.voter.set_relay_count(policy.relays);
        self.strain_reports.retain(|peer, _| *peer < policy.relays);
        self.config.policy = policy;
        // The votes were given under the previous policy.
        self.vote_round = None;
    }

    fn state(&self) -> RelayState {
        match (&self.slot, &self.vote_round) {
            (Some(slot), _) => RelayState::InMaintenance(slot.index),
            (None, Some(vote_round)) => RelayState::RequestingSlot(vote_round.slot),
            (None, None) if self.serving => RelayState::Serving,
            (None, None) => RelayState::Away,
        }
    }

    /// Checks whether `peer` may take that slot, as far as this relay knows.
    fn check_vote(&self, now: Micros, peer: Peer, slot: u8) -> Result<(), RefusalReason> {
        if self.requests.paused() {
            return Err(RefusalReason::Paused);
        }
        if let Some(by) = self.strain_reporter(now, peer) {
            return Err(RefusalReason::Strained(by));
        }
        let written_off = |peer| self.requests.written_off(peer);
        self.voter.check_vote(now, &self.config.policy, self.state(), peer, slot, written_off)
    }

    /// The relay with an older request that could be granted, while this relay still waits for it.
    fn older_request(&mut self, now: Micros, peer: Peer) -> Option<Peer> {
        let pending = self.requests.pending();
        let place = pending.iter().position(|request| request.relay == peer)?;
        for older in pending.iter().take(place).map(|request| request.relay) {
            let is_serving = older == self.config.me && self.serving
                || self.voter.status(now, &self.config.policy, older) == RelayStatus::Serving;
            let slots = 0..self.config.policy.max_unavailable;
            if is_serving && slots.into_iter().any(|slot| self.check_vote(now, older, slot).is_ok()) {
                let yielded_at = *self.yielding_since.entry(older).or_insert(now);
                if now - yielded_at < YIELD_TIMEOUT {
                    return Some(older);
                }
            }
        }
        None
    }

    fn answer_vote_request(&mut self, now: Micros, from: Peer, token: FencingToken, slot: u8) {
        self.yielding_since.remove(&from);
        // Of two relays that ask at the same time, the one with the older request goes on.
        let place = |of: Peer| self.requests.get(of).map(|request| (request.requested_at_ms, request.relay));
        if self.vote_round.is_some()
            && place(from).is_some_and(|theirs| place(self.config.me).is_some_and(|own| theirs < own))
        {
            self.back_off(now);
        }
        let answer = match self.check_vote(now, from, slot) {
            Err(reason) => Item::Refuse(token, reason),
            Ok(()) => match self.older_request(now, from) {
                Some(older) => Item::Refuse(token, RefusalReason::OlderRequestFirst(older)),
                None => {
                    self.voter.record_vote(now, from, slot);
                    Item::Vote(token)
                }
            },
        };
        self.outbox.push((from, answer));
    }

    fn back_off(&mut self, now: Micros) {
        self.vote_round = None;
        let spread =
            (u64::from(self.config.me) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(self.round);
        self.backoff_until = now + VOTE_BACKOFF + (spread % VOTE_BACKOFF as u64) as Micros;
    }

    fn receive_item(&mut self, now: Micros, from: Peer, item: Item) {
        let relays = self.config.policy.relays;
        match item {
            Item::Ping { time, requests } => {
                self.merge_requests(requests);
                let held =
                    self.voter.knows_votes(now, &self.config.policy).then(|| self.voter.outstanding_votes());
                let (state, requests) = (self.state(), self.requests.next_to_send());
                self.outbox.push((from, Item::Pong { time, state, held, requests }));
            }
            Item::Pong { time, state, held, requests } => {
                self.merge_requests(requests);
                self.voter.record_answer(now, &self.config.policy, from, time, state, held.as_deref());
            }
            Item::RequestSlot { token, slot }
                if self.config.policy.is_voter(self.config.me) && from < relays =>
            {
                self.answer_vote_request(now, from, token, slot);
            }
            Item::RequestSlot { .. } => {}
            Item::Strained => {
                self.strain_reports.insert(from, now);
            }
            Item::Vote(token) => {
                let skip_check = self.voter.disabled == DisabledCheck::TokenMatch;
                let Some(vote_round) = &mut self.vote_round else { return };
                if skip_check
                    || vote_round.token == token && now - vote_round.started_at <= VOTE_ROUND_TIMEOUT
                {
                    vote_round.votes.insert(from);
                    vote_round.answered.insert(from);
                    self.begin_slot_if_granted();
                }
            }
            Item::Refuse(token, reason) => {
                self.refusals.insert(from, (reason, now));
                if let Some(vote_round) =
                    self.vote_round.as_mut().filter(|vote_round| vote_round.token == token)
                {
                    vote_round.answered.insert(from);
                    // Too few voters are left for a majority: the round has failed.
                    let voters = self.config.policy.voters().count();
                    let against = vote_round.answered.len() - vote_round.votes.len();
                    if voters - against < self.config.policy.majority() {
                        self.back_off(now);
                    }
                }
            }
        }
    }

    fn merge_requests(&mut self, requests: Vec<DrainRequest>) {
        for request in requests {
            self.unsaved |= self.requests.merge(self.config.policy.relays, request);
        }
        self.cancel_if_not_requested();
    }

    fn begin_slot_if_granted(&mut self) {
        let Some(vote_round) = self.vote_round.as_ref() else { return };
        if vote_round.votes.len() >= self.config.policy.majority()
            && let Some(request) = self.own_pending_request()
        {
            let slot =
                MaintenanceSlot { token: vote_round.token, index: vote_round.slot, kind: request.kind };
            self.slot = Some(slot);
            self.vote_round = None;
            self.actions.push(Action::Drain(slot));
            self.unsaved = true;
        }
    }

    /// Starts a vote round if a request for this relay is pending and it knows of no obstacle, and sends slot requests.
    fn request_votes(&mut self, now: Micros) {
        let me = self.config.me;
        if self.vote_round.as_ref().is_some_and(|vote_round| now - vote_round.started_at > VOTE_ROUND_TIMEOUT)
        {
            self.back_off(now);
        }
        let idle = self.vote_round.is_none() && self.slot.is_none();
        if idle && self.own_pending_request().is_some() && self.serving && now >= self.backoff_until {
            self.round += 1;
            let max_unavailable = self.config.policy.max_unavailable.max(1);
            let mut slot = (self.round % u32::from(max_unavailable)) as u8;
            let mut votes = BTreeSet::new();
            if self.config.policy.is_voter(me) {
                // A relay that is a voter itself checks its own vote first.
                let first = self.check_vote(now, me, slot).err();
                let free_slot = (0..max_unavailable)
                    .map(|n| (slot + n) % max_unavailable)
                    .find(|slot| self.check_vote(now, me, *slot).is_ok());
                let older = free_slot.and_then(|_| self.older_request(now, me));
                let Some(free_slot) = free_slot.filter(|_| older.is_none()) else {
                    let reason = first.or(older.map(RefusalReason::OlderRequestFirst));
                    self.refusals.extend(reason.map(|reason| (me, (reason, now))));
                    return self.back_off(now);
                };
                slot = free_slot;
                self.voter.record_vote(now, me, slot);
                votes.insert(me);
            } else if self.requests.paused() {
                return self.back_off(now);
            }
            let token = FencingToken { incarnation: self.config.incarnation, round: self.round };
            let answered = votes.clone();
            self.vote_round =
                Some(VoteRound { token, slot, votes, answered, started_at: now, resend_at: now });
            self.begin_slot_if_granted();
        }
        let Some(vote_round) = self.vote_round.as_mut().filter(|vote_round| vote_round.resend_at <= now)
        else {
            return;
        };
        vote_round.resend_at = now + VOTE_RESEND_INTERVAL;
        let (token, slot) = (vote_round.token, vote_round.slot);
        let left = self.config.policy.voters().filter(|voter| !vote_round.answered.contains(voter));
        self.outbox.extend(left.map(|voter| (voter, Item::RequestSlot { token, slot })));
    }

    fn ping(&mut self, now: Micros) {
        if now < self.ping_at {
            return;
        }
        let MaintenancePolicy { relays, .. } = self.config.policy;
        let (me, time) = (self.config.me, self.voter.time(now));
        let busy = self.busy() || !self.voter.knows_votes(now, &self.config.policy);
        self.ping_at = now + if busy || self.strained { PING_INTERVAL } else { IDLE_PING_INTERVAL };
        let to: Vec<Peer> = if busy && self.config.policy.is_voter(me) {
            (0..relays).filter(|peer| *peer != me).collect()
        } else {
            self.next_ping_peer = (self.next_ping_peer + 1) % relays.max(1);
            std::iter::once(self.next_ping_peer).filter(|peer| *peer != me).collect()
        };
        // Strain is also reported while no request is pending, as one may come before the next report.
        if self.strained {
            let voters = self.config.policy.voters().filter(|peer| *peer != me);
            self.outbox.extend(voters.map(|voter| (voter, Item::Strained)));
        }
        for peer in to {
            let requests = self.requests.next_to_send();
            self.outbox.push((peer, Item::Ping { time, requests }));
        }
    }

    /// Whether a request is pending or a relay is in maintenance, as far as this relay knows.
    fn busy(&self) -> bool {
        self.requests.any_pending() || self.slot.is_some() || !self.voter.outstanding_votes().is_empty()
    }

    /// What this relay waits for, as a sentence for operators. Empty where no request for it is pending.
    pub fn waiting_reason(&self, now: Micros) -> String {
        if let Some(slot) = self.slot {
            return format!(
                "in maintenance, slot {} of {}",
                slot.index + 1,
                self.config.policy.max_unavailable
            );
        }
        if self.own_pending_request().is_none() {
            return String::new();
        }
        if !self.serving {
            return "this relay does not serve, and requests no maintenance slot".into();
        }
        let recent: Vec<(Peer, RefusalReason)> = self
            .refusals
            .iter()
            .filter(|(_, (_, at))| now - at < REFUSAL_TTL)
            .map(|(p, (reason, _))| (*p, *reason))
            .collect();
        let reporters = 1 + recent.iter().filter(|(peer, _)| *peer != self.config.me).count();
        let occurrences = |reason: &RefusalReason| recent.iter().filter(|(_, other)| other == reason).count();
        match recent.iter().map(|(_, reason)| reason).max_by_key(|reason| occurrences(reason)) {
            None => "waiting for votes".into(),
            Some(RefusalReason::JustStarted) => "voters have just started".into(),
            Some(RefusalReason::Unknown(peer)) => {
                format!("voters do not know yet whether relay {peer} is in maintenance")
            }
            Some(RefusalReason::SlotTaken(peer)) => {
                format!(
                    "relay {peer} is in maintenance, and at most {} may be",
                    self.config.policy.max_unavailable
                )
            }
            Some(RefusalReason::ZoneTaken(peer)) => {
                format!("relay {peer} of the same zone is in maintenance or unreachable")
            }
            Some(RefusalReason::TooMany(peer)) => {
                format!(
                    "too many relays are in maintenance or unreachable, among them relay {peer}; reported by {reporters}"
                )
            }
            Some(RefusalReason::OlderRequestFirst(peer)) => format!("relay {peer} has an older request"),
            Some(RefusalReason::Paused) => "maintenance is paused by operators".into(),
            Some(RefusalReason::Strained(peer)) => {
                format!("a destination is down, recovering or overloaded, as reported by relay {peer}")
            }
        }
    }

    /// Relays that are in maintenance or not known to serve, for operators.
    pub fn unavailable_relays(&self, now: Micros) -> Vec<(Peer, RelayStatus)> {
        let others = (0..self.config.policy.relays).filter(|peer| *peer != self.config.me);
        let status = others.map(|peer| (peer, self.voter.status(now, &self.config.policy, peer)));
        status.filter(|(_, status)| *status != RelayStatus::Serving).collect()
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// The channel needs no budget: the number of pending requests limits its traffic, and without any it only pings.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        let (items, valid) = frame::read(bytes);
        items.into_iter().for_each(|item| self.receive_item(now, from.peer, item));
        valid
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        self.request_votes(now);
        self.ping(now);
        frame::pack(self.outbox.drain(..).map(|(to, item)| (to, item.encode())), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if !self.outbox.is_empty() {
            return now;
        }
        let vote_round_due = match &self.vote_round {
            Some(vote_round) => vote_round.resend_at.min(vote_round.started_at + VOTE_ROUND_TIMEOUT + 1),
            None if self.own_pending_request().is_some() && self.serving && self.slot.is_none() => {
                self.backoff_until
            }
            None => Micros::MAX,
        };
        vote_round_due.min(self.ping_at).max(now)
    }
}
