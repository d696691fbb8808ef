//! The decision module of one sender. Its settings, events and actions are defined in `src/interface.rs`.
//!
//! A message waits in the queue of its [`Destination`] until the [`SendPath`] allows a call to start. Every
//! send is checked by [`Relay::admit`], and every message that is given up ends in
//! [`Relay::end_undelivered`]. [`crate::pacing::Pacer`] is the published pacing mechanism; each function that
//! adds to it states what it protects and its known limitations.

mod failback;
mod outcomes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use overload::waits::MinimumWaits;
use permits::held_grants::Admission;
use repeats::tokens::RetryTokens;
use serde::{Deserialize, Serialize};

use crate::estimate::SMOOTHING_DIVISOR;
use crate::interface::*;
use crate::jitter::{jitter_fraction, shuffle_key, with_jitter};
use crate::pacing::{recovery_budget, slot_period};
use crate::state::{
    Call, Destination, Endpoint, FailureState, KeyQueue, Message, NEVER, OVERDUE_DEVIATIONS, ReleaseOrder,
    SECOND, SendPath,
};

/// Without a known rate, the first pacing interval is the mean spacing of calls, at most the shortest aim
/// divided by this.
const UNLISTED_INTERVAL_AIM_DIVISOR: Micros = 10;
/// Grants are requested if as many consecutive calls of one sender as there are senders, at its expected
/// spacing, take longer than this many shortest aims. Such a sender learns too late from its own outcomes
/// what all senders do; among few senders each sees the effect of the others soon.
const COORDINATION_AIMS: Micros = 4;
/// Time-out of a non-idempotent message, in aims. Half of it is the shortest time-out of other messages.
const NON_IDEMPOTENT_TIMEOUT_AIMS: Micros = 2;
/// The longest time-out is the deadline divided by this.
const MAX_TIMEOUT_DEADLINE_DIVISOR: Micros = 2;
/// Connections to a kind of destination are low if more than this fraction of calls fails for lack of them.
const LOW_CONNECTIONS_FAILURE_FRACTION: f64 = 0.03;
/// A limit is exhausted if less than this fraction of it is left.
const EXHAUSTED_LIMIT_FRACTION: f64 = 0.5;
/// Failures in a row after which an endpoint gets one trial call at a time, and after which first attempts to
/// the destination need a recovery slot too.
const FAILING_STREAK: u32 = 2;
/// While peers report a destination as failing, a sender tries it once per this many expected spacings, or
/// once per half warm-up if that is shorter, so that a return is noticed before the destination is more than
/// half warm.
const SHARED_TRIAL_SPACINGS: Micros = 12;
/// The calls in flight of one path take at most the number of call slots divided by this, but at least two.
const PATH_SLOTS_DIVISOR: u32 = 2;
/// Delay, in microseconds, after which an endpoint that was out of connections is tried with one more call.
const CONNECTION_LIMIT_RETRY_US: Micros = 200_000;
/// If no call slot is free, a call that later calls overtook is cancelled after its aim divided by this.
const OVERTAKEN_AIM_DIVISOR: Micros = 2;
/// A message has to start this fraction (1/16) of its aim before the aim to be answered within it.
const START_MARGIN_AIM_DIVISOR: Micros = 16;
/// Values are compared as integers, in thousandths.
const VALUE_SCALE: f64 = 1000.0;
/// Validity, in microseconds, of the waits that a limit coordinator reports.
const COORDINATOR_WAITS_TTL_US: Micros = 1_000_000;
/// An idle connection is kept if the mean spacing of calls is at most the idle time-out divided by this.
const REUSE_IDLE_TIMEOUT_DIVISOR: Micros = 2;

impl Destination {
    /// Returns whether the retry budget allows an attempt: a retry needs a token. This protects a failing
    /// destination from the sum of all senders' retries.
    /// Known limitation: retries are also limited if only one endpoint fails.
    fn may_retry(&self, now: Micros, message: &Message, settings: &Settings) -> bool {
        message.attempts == 0 || !settings.retry_budget || self.retry_tokens.available(now) > 0
    }
}

/// A message that may be sent now, in release order, and its endpoint.
type NextSend = (ReleaseOrder, MessageId, TargetId);

/// The decision module of one sender.
#[derive(Clone, Serialize, Deserialize)]
pub struct Relay {
    settings: Settings,
    seed: u64,
    /// Number of messages accepted; orders messages by arrival.
    #[serde(rename = "seq")]
    arrivals: u64,
    calls_made: u64,
    messages: BTreeMap<MessageId, Message>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<TargetId, Endpoint>,
    #[serde(rename = "lanes")]
    paths: Vec<SendPath>,
    /// Destinations with messages in their queue.
    #[serde(rename = "held")]
    queued_destinations: BTreeSet<DestinationId>,
    /// Calls in flight by id.
    calls: BTreeMap<u64, Call>,
    #[serde(rename = "keys")]
    key_queues: BTreeMap<Arc<str>, KeyQueue>,
    /// For each kind, the running fraction of calls that failed because their idle connection was dropped or
    /// a new one was refused.
    #[serde(rename = "crowding")]
    connection_failures: Vec<f64>,
    /// Queued messages by the time at which they are given up.
    expiry: BTreeSet<(Micros, MessageId)>,
    /// Messages by the time of their next loss of value.
    #[serde(rename = "fading")]
    value_losses: BTreeSet<(Micros, MessageId)>,
    /// Time of the pending timer.
    #[serde(rename = "timer")]
    timer_at: Option<Micros>,
    /// Token of the pending timer; earlier timers are ignored.
    #[serde(rename = "token")]
    timer_token: u64,
    /// Time at which to subscribe to the endpoint list.
    #[serde(rename = "watch_at")]
    subscribe_at: Option<Micros>,
    /// End of the process.
    #[serde(rename = "stop_at")]
    shutdown_at: Option<Micros>,
}

impl Relay {
    /// Creates a module without any state.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Relay {
            seed,
            arrivals: 0,
            calls_made: 0,
            messages: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            paths: Vec::new(),
            queued_destinations: BTreeSet::new(),
            calls: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            connection_failures: vec![0.0; settings.kinds.len()],
            expiry: BTreeSet::new(),
            value_losses: BTreeSet::new(),
            timer_at: None,
            timer_token: 0,
            subscribe_at: settings.list_request_interval.map(|_| Micros::MIN),
            shutdown_at: None,
            settings,
        })
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let answered_target = match &event {
            Event::AttemptEnded(result) | Event::AttemptAnswered(result) => Some(result.target),
            _ => None,
        };
        match event {
            Event::EndpointList(update, entries) => self.update_endpoints(now, update, &entries),
            Event::Arrival(arrival) => self.accept(now, arrival, None, actions),
            Event::Resumed { arrival, attempts, may_have_run } => {
                self.accept(now, arrival, Some((attempts, may_have_run)), actions);
            }
            Event::Shutdown(until) => self.shut_down(until),
            Event::SettingsChanged(settings) => self.change_settings(now, *settings, actions),
            Event::AttemptEnded(result) => self.attempt_ended(now, &result, actions),
            Event::AttemptAnswered(result) => self.attempt_answered(now, &result),
            Event::Withdrawn(id) => self.withdraw(id),
            Event::Resubmitted(id) => self.resubmit(id),
            Event::PeerObserved(observation) => self.peer_observed(now, &observation),
            Event::Granted { destination, grants, few_connections } => {
                self.granted(now, destination, grants, few_connections)
            }
            Event::QueueWaits { destination, waits } => {
                let path = self.destinations.get(&destination).filter(|d| !d.separate_routes).map(|d| d.path);
                path.into_iter().for_each(|path| {
                    self.paths[path].reported_waits = (waits.clone(), now + COORDINATOR_WAITS_TTL_US)
                });
            }
            Event::RetryTokens { destination, tokens, waits } => {
                let destination = self.destinations.get_mut(&destination);
                destination.into_iter().for_each(|d| d.retry_tokens.update(now, tokens, waits.clone()));
            }
            Event::Timer(token) if token == self.timer_token => self.timer_at = None,
            Event::Timer(_) | Event::ProbeEnded { .. } => {}
        }
        self.end_expired(now, actions);
        self.update_priorities(now);
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::SubscribeList);
        }
        self.request_grants(now, actions);
        self.request_retry_tokens(now, actions);
        let next_check = self.start_sends(now, actions);
        self.end_without_timely_slot(now, actions);
        self.shed_load(now, actions);
        if let Some(target) = answered_target {
            self.close_idle_connection(now, target, actions);
        }
        self.cancel_overdue_call(now, actions);
        self.set_timer(now, next_check, actions);
    }

    /// Returns the number of the send path of an endpoint. Endpoints of one path share a limit and its waits.
    pub fn send_path(&self, target: TargetId) -> Option<usize> {
        self.endpoints.get(&target).map(|endpoint| endpoint.path)
    }

    /// Returns whether an earlier attempt of a message may have run.
    pub fn may_have_run(&self, id: MessageId) -> bool {
        self.messages.get(&id).is_some_and(|message| message.may_have_run.is_some())
    }

    // ---- grants and retry tokens ----

    /// Requests grants for the messages beyond the grants held, where a sender's own outcomes show too late
    /// what all senders do (see [`COORDINATION_AIMS`]) or where the rate is divided into owned shares.
    fn request_grants(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.coordinators {
            return;
        }
        let min_spacing =
            COORDINATION_AIMS * self.settings.shortest_aim() / Micros::from(self.settings.senders);
        let free_slots = (self.settings.slots as usize).saturating_sub(self.calls.len());
        for (id, destination) in self.destinations.iter().filter(|(_, d)| !d.separate_routes) {
            let path = &mut self.paths[destination.path];
            let coordinated =
                self.settings.shares || path.expected_spacing(self.settings.senders) > min_spacing;
            if path.rate.is_none() || !coordinated {
                continue;
            }
            let startable = if path.wait_until > Some(now) { 0 } else { free_slots };
            let has_token = |id: &MessageId| {
                self.messages.get(id).is_some_and(|m| destination.may_retry(now, m, &self.settings))
            };
            let ready = |(_, id): &&(ReleaseOrder, MessageId)| !self.settings.retry_budget || has_token(id);
            let beyond = destination.queue.iter().filter(ready).take(startable).skip(path.grants.count(now));
            let waiting = permits::waiting_by_priority(beyond.map(|(order, _)| order.0.0));
            if path.grants.set_waiting(now, &waiting) {
                actions.push(Action::RequestGrants { destination: *id, waiting });
            }
        }
    }

    /// Requests tokens of the senders' retry budget for the retries beyond the tokens held.
    fn request_retry_tokens(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.retry_budget {
            return;
        }
        for (id, destination) in &mut self.destinations {
            let is_retry = |id: &MessageId| self.messages.get(id).is_some_and(|m| m.attempts > 0);
            let retries = destination.queue.iter().filter(|(_, id)| is_retry(id));
            let beyond = retries.skip(destination.retry_tokens.available(now));
            let waiting = permits::waiting_by_priority(beyond.map(|(order, _)| order.0.0));
            if destination.retry_tokens.request(&waiting) {
                actions.push(Action::RequestRetryTokens { destination: *id, waiting });
            }
        }
    }

    /// Handles the answer of a limit coordinator.
    fn granted(&mut self, now: Micros, id: DestinationId, grants: u16, few_connections: bool) {
        let Some(destination) = self.destinations.get(&id).filter(|d| !d.separate_routes) else { return };
        self.paths[destination.path].grants.receive(now, grants);
        // If any sender was rejected for lack of connections, all senders close their idle ones.
        let endpoints = destination.endpoints.iter().filter_map(|target| self.endpoints.get(target));
        for endpoint in endpoints.filter(|_| few_connections) {
            self.connection_failures
                .iter_mut()
                .skip(endpoint.kind)
                .take(1)
                .for_each(|fraction| *fraction = 1.0);
        }
    }

    // ---- the endpoint list ----

    /// Applies an update of the endpoint list. After a failed request a new subscription is due in a quarter
    /// of the request interval.
    fn update_endpoints(&mut self, now: Micros, update: ListUpdate, entries: &[EndpointEntry]) {
        if update == ListUpdate::Failed {
            self.subscribe_at = self.settings.list_request_interval.map(|interval| now + interval / 4);
            return;
        }
        if update == ListUpdate::Full {
            let listed: BTreeSet<TargetId> = entries.iter().map(|e| e.target).collect();
            for (target, endpoint) in &mut self.endpoints {
                endpoint.out_of_service |= !listed.contains(target);
            }
        }
        let shortest_aim = self.settings.shortest_aim();
        for entry in entries {
            let kind = self.settings.kinds.get(entry.kind).copied();
            let Kind { separate_routes, max_batch } =
                kind.unwrap_or(Kind { separate_routes: false, max_batch: 1 });
            let destination = self.destination_mut(entry.destination);
            (destination.separate_routes, destination.max_batch) = (separate_routes, max_batch);
            destination.endpoints.insert(entry.target);
            let shared_path = destination.path;
            let known =
                self.endpoints.get(&entry.target).map(|endpoint| (endpoint.destination, endpoint.path));
            // An endpoint listed under another destination now serves only that one.
            if let Some((old, _)) = known.filter(|(old, _)| *old != entry.destination)
                && let Some(old) = self.destinations.get_mut(&old)
            {
                old.endpoints.remove(&entry.target);
            }
            let path = match known {
                Some((old, path)) if separate_routes && old == entry.destination => path,
                _ if separate_routes => {
                    self.paths.push(SendPath::default());
                    self.paths.len() - 1
                }
                _ => shared_path,
            };
            let endpoint = self.endpoints.entry(entry.target).or_default();
            (endpoint.destination, endpoint.path) = (entry.destination, path);
            (endpoint.zone, endpoint.kind) = (entry.zone, entry.kind);
            endpoint.out_of_service = entry.state != ServiceState::InService;
            let path = &mut self.paths[path];
            if self.settings.listed_rates && entry.rate > 0.0 && !path.rate_reported {
                path.rate = Some(path.pacer.set_rate(entry.rate, self.settings.senders, shortest_aim));
            }
        }
        self.remove_unused_endpoints(now);
    }

    /// Removes endpoints that are out of service, have no call in flight and no server-requested wait to
    /// keep.
    fn remove_unused_endpoints(&mut self, now: Micros) {
        let (destinations, paths) = (&mut self.destinations, &self.paths);
        self.endpoints.retain(|target, endpoint| {
            let keep = !endpoint.out_of_service
                || endpoint.in_flight > 0
                || paths[endpoint.path].wait_until > Some(now);
            if let Some(destination) = destinations.get_mut(&endpoint.destination).filter(|_| !keep) {
                destination.endpoints.remove(target);
            }
            keep
        });
    }

    /// Returns a destination, which is created if necessary.
    fn destination_mut(&mut self, id: DestinationId) -> &mut Destination {
        let paths = &mut self.paths;
        self.destinations.entry(id).or_insert_with(|| {
            let (endpoints, queue) = (BTreeSet::new(), BTreeSet::new());
            paths.push(SendPath::default());
            let (path, retry_tokens) = (paths.len() - 1, RetryTokens::default());
            Destination { path, separate_routes: false, max_batch: 1, endpoints, queue, retry_tokens }
        })
    }

    // ---- accepting and ending messages ----

    /// Accepts a message. `resumed` holds the number of attempts by an earlier process and whether one of
    /// them may have run.
    fn accept(
        &mut self, now: Micros, arrival: Arrival, resumed: Option<(u32, bool)>, actions: &mut Vec<Action>,
    ) {
        let (attempts, may_have_run) = resumed.unwrap_or_default();
        let Some(class) = self.settings.classes.get(arrival.class) else { return };
        if self.messages.contains_key(&arrival.id) {
            return;
        }
        let (ordered, short) = (class.in_order, arrival.due - now <= class.aim);
        let start_within = class.aim - class.aim / START_MARGIN_AIM_DIVISOR;
        let key = arrival.key.filter(|_| ordered);
        if self.key_queues.len() > 2 * self.settings.max_held as usize {
            self.key_queues.retain(|_, key| !key.messages.is_empty() || key.paused_until > now);
        }
        if let Some(key) = &key {
            self.key_queues.entry(key.clone()).or_default().messages.push_back(arrival.id);
        }
        self.arrivals += 1;
        let message = Message {
            class: arrival.class,
            order: (Reverse(0), now, self.arrivals),
            // The due time, and with it the aim, counts from the first submission, which may be earlier than
            // now. A message with less than its aim left keeps its full value until it is due.
            full_value_until: if short { arrival.due } else { arrival.due - class.deadline + start_within },
            due: arrival.due,
            destination: arrival.destination,
            key,
            attempts,
            resumed_untried: resumed == Some((0, false)),
            // The earlier process took the start and zone of the attempt with it. These values are the most
            // restrictive: any deduplication window has ended, and no zone matches.
            may_have_run: may_have_run.then_some((Micros::MIN / 2, usize::MAX)),
            ..Message::default()
        };
        let retry_forbidden =
            may_have_run && self.settings.classes[message.class].effect == Effect::NonIdempotent;
        let no_attempt_left = attempts >= self.settings.max_attempts || retry_forbidden;
        self.value_losses.insert((now, arrival.id));
        self.messages.insert(arrival.id, message);
        self.enqueue(arrival.id);
        self.update_priorities(now);
        if no_attempt_left {
            self.end_undelivered(now, arrival.id, actions);
        }
        self.make_room(now, actions);
    }

    /// Prepares for the end of the process at `until`. Calls that would hardly be answered by then no longer
    /// start, and messages that cannot start earlier are ended, in time for their clients to use another
    /// sender.
    fn shut_down(&mut self, until: Micros) {
        let queued: Vec<MessageId> = self.expiry.iter().map(|(_, id)| *id).collect();
        queued.iter().for_each(|id| self.dequeue(*id));
        self.shutdown_at = Some(until);
        queued.iter().for_each(|id| self.enqueue(*id));
    }

    /// Replaces the settings. Messages that have used up the new number of attempts end at once if queued,
    /// and with their outcome if in flight.
    fn change_settings(&mut self, now: Micros, settings: Settings, actions: &mut Vec<Action>) {
        let queued: Vec<MessageId> = self.expiry.iter().map(|(_, id)| *id).collect();
        queued.iter().for_each(|id| self.dequeue(*id));
        self.settings = settings;
        queued.iter().for_each(|id| self.enqueue(*id));
        let max_attempts = self.settings.max_attempts;
        let used_up =
            |id: &MessageId| self.messages.get(id).is_some_and(|message| message.attempts >= max_attempts);
        let used_up: Vec<MessageId> = queued.into_iter().filter(used_up).collect();
        used_up.into_iter().for_each(|id| self.end_undelivered(now, id, actions));
    }

    /// Refuses the last message of the longest queue if the buffer is full. This protects the buffer from the
    /// outage of one destination and from overload, and leaves its last places to the messages with the
    /// highest priority.
    /// Known limitation: the refusal is unnecessary if that queue was just about to be sent.
    fn make_room(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.messages.len() < self.settings.max_held.max(2) as usize {
            return;
        }
        let destinations = self.queued_destinations.iter().filter_map(|id| self.destinations.get(id));
        let Some(longest) = destinations.max_by_key(|destination| destination.queue.len()) else { return };
        if let Some(id) = longest.queue.iter().rev().map(|entry| entry.1).find(|id| self.may_refuse(*id)) {
            self.end_undelivered(now, id, actions);
        }
    }

    /// Adds a new message, or one that is no longer in flight, to the queue of its destination.
    fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let (destination_id, entry) = (message.destination, (message.order, id));
        let expires = self.latest_start(message);
        let destination = self.destination_mut(destination_id);
        destination.queue.insert(entry);
        self.queued_destinations.insert(destination_id);
        self.expiry.insert((expires, id));
    }

    /// Updates the order of messages whose value has fallen.
    ///
    /// Deviation from the published mechanism: the priority is the value that is left, in steps of one aim.
    /// If messages arrive faster than a destination accepts them, those in time would otherwise wait behind
    /// late ones and become late themselves. Among equal values, the message that loses its value first goes
    /// first; within a class and for messages submitted with their whole deadline, that is the order of
    /// arrival.
    /// Known limitation: a late message waits until nothing more valuable is queued.
    fn update_priorities(&mut self, now: Micros) {
        while let Some((_, id)) = self.value_losses.first().copied().filter(|(at, _)| *at <= now) {
            self.value_losses.pop_first();
            let Some(message) = self.messages.get(&id) else { continue };
            let queued = message.call.is_none();
            let (value, until) = self.value_at(message, now);
            if queued {
                self.dequeue(id);
            }
            if let Some(message) = self.messages.get_mut(&id) {
                (message.order.0, message.order.1) = (Reverse(value), until);
                self.value_losses.insert((until, id));
            }
            if queued {
                self.enqueue(id);
            }
        }
    }

    /// Returns the value of a message that starts at `at`, in thousandths, and the time until which it keeps
    /// it.
    fn value_at(&self, message: &Message, at: Micros) -> (u64, Micros) {
        let (class, in_time) = (&self.settings.classes[message.class], message.full_value_until);
        // Whole aims after the first; -1 while the message is in time.
        let late_aims = (at - in_time).max(-1).div_euclid(class.aim);
        let fraction = if late_aims < 0 { 1.0 } else { self.settings.late_decay.fraction(class, late_aims) };
        let falls_further = late_aims < 0 || fraction > class.late_fraction;
        (
            (class.value * fraction * VALUE_SCALE) as u64,
            if falls_further { in_time + (late_aims + 1) * class.aim } else { NEVER },
        )
    }

    /// Returns the time from which a message must not be started.
    fn latest_start(&self, message: &Message) -> Micros {
        let due = self.shutdown_at.map_or(message.due, |at| message.due.min(self.settings.last_start(at)));
        match (self.settings.classes[message.class].effect, message.may_have_run) {
            (Effect::Keyed { window, .. }, Some((started_at, _))) => due.min(started_at + window),
            _ => due,
        }
    }

    /// Returns whether a message may be refused, which promises its client that a new submission is safe.
    fn may_refuse(&self, id: MessageId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let effect = self.settings.classes[message.class].effect;
        let retry_safe = matches!(effect, Effect::Idempotent | Effect::Keyed { scope: DedupScope::All, .. });
        message.call.is_none() && (message.may_have_run.is_none() || retry_safe)
    }

    /// Ends a queued message without delivery: refuses it if a new submission is safe, and fails it
    /// otherwise. Nothing else gives up a message that may still be sent.
    fn end_undelivered(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let may_refuse = self.may_refuse(id);
        let Some(message) = self.messages.get(&id) else { return };
        if message.call.is_some() {
            return;
        }
        if may_refuse {
            // The advice is the wait of the path or its queue, between half of the maximum and the maximum.
            let retry_after = self.settings.max_retry_after.map(|longest| {
                let path = self.destinations.get(&message.destination).map(|d| &self.paths[d.path]);
                let queue_wait = |path: &SendPath| {
                    path.coordinator_waits(now).map_or(0, |waits| waits.wait_at(message.priority(), 1.0))
                };
                let wait = path.map_or(0, |path| (path.next_start(now, true) - now).max(queue_wait(path)));
                wait.min(longest).max(longest / 2)
            });
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.remove_message(id);
    }

    /// Removes a message from the queue of its destination.
    fn dequeue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        self.expiry.remove(&(self.latest_start(message), id));
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        destination.queue.remove(&(message.order, id));
        if destination.queue.is_empty() {
            self.queued_destinations.remove(&message.destination);
        }
    }

    /// Removes all state of an ended message that is not in flight.
    fn remove_message(&mut self, id: MessageId) {
        self.dequeue(id);
        let Some(message) = self.messages.remove(&id) else { return };
        self.value_losses.remove(&(message.order.1, id));
        if let Some(key_queue) = message.key.and_then(|key| self.key_queues.get_mut(&key)) {
            key_queue.messages.retain(|other| *other != id);
        }
    }

    /// Removes a message that its client withdrew, or marks it if it is in flight.
    fn withdraw(&mut self, id: MessageId) {
        match self.messages.get_mut(&id) {
            Some(message) if message.call.is_some() => message.ended_elsewhere = true,
            _ => self.remove_message(id),
        }
    }

    /// Takes back the withdrawal of a message in flight: it is owed an end again.
    fn resubmit(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.ended_elsewhere = false;
        }
    }

    /// Ends the queued messages that may no longer start.
    fn end_expired(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.end_undelivered(now, id, actions);
        }
    }

    // ---- sends ----

    /// Sends all messages that may start, over all destinations in release order. Returns the time at which
    /// another one may become ready.
    fn start_sends(&mut self, now: Micros, actions: &mut Vec<Action>) -> Micros {
        loop {
            let mut next_check = NEVER;
            let mut best: Option<NextSend> = None;
            for destination in self.queued_destinations.iter().filter_map(|id| self.destinations.get(id)) {
                match self.next_send(now, destination) {
                    Ok(next) => best = Some(best.map_or(next, |best| best.min(next))),
                    Err(at) => next_check = next_check.min(at),
                }
            }
            let Some((_, id, target)) = best else { return next_check };
            self.send(now, id, target, actions);
        }
    }

    /// Ends messages whose recovery slot comes too late, unless a call in flight, whose outcome could give an
    /// earlier slot, or a coordinator that was heard lately may change that. The client can submit the
    /// message to a sender that saw no failure.
    /// Known limitation: that does not help if clients do not submit it again.
    fn end_without_timely_slot(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut too_late = Vec::new();
        for destination in self.queued_destinations.iter().filter_map(|id| self.destinations.get(id)) {
            let endpoints = destination.endpoints.iter().filter_map(|target| self.endpoints.get(target));
            let paths: Vec<&SendPath> =
                endpoints.filter(|e| !e.out_of_service).map(|e| &self.paths[e.path]).collect();
            let settled = !paths.is_empty()
                && paths.iter().all(|path| path.in_flight == 0 && !path.grants.recently_coordinated(now));
            for (_, id) in destination.queue.iter().filter(|_| settled) {
                let Some(message) = self.messages.get(id).filter(|m| m.may_be_shed()) else { continue };
                let starts_too_late = |path: &&SendPath| {
                    path.next_start(now, path.admits_without_slot(message, now, &self.settings))
                        >= self.latest_start(message)
                };
                too_late.extend(paths.iter().all(starts_too_late).then_some(*id));
            }
        }
        too_late.into_iter().for_each(|id| self.end_undelivered(now, id, actions));
    }

    /// Ends messages that are not expected to start in time, by the waits that the coordinator reports for
    /// all senders, or else by this sender's own queue.
    ///
    /// Deviation from the published mechanism: the client is answered at once instead of at the due time.
    /// Known limitation: the estimate expects a surge to last as long again as it has lasted, so messages are
    /// ended unnecessarily if it is shorter.
    fn shed_load(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut too_late = Vec::new();
        for destination in self
            .queued_destinations
            .iter()
            .filter_map(|id| self.destinations.get(id))
            .filter(|d| !d.separate_routes)
        {
            // Retries that are not expected to get a token in time.
            if let Some(waits) = destination.retry_tokens.waits(now) {
                let (queue, settings) = (destination.queue.iter(), &self.settings);
                let messages = queue.filter_map(|(_, id)| Some((*id, self.messages.get(id)?)));
                let without_token = messages.filter(|(_, m)| !destination.may_retry(now, m, settings));
                too_late.extend(
                    without_token
                        .filter(|(_, m)| !self.can_start_in_time(now, m, 0.0, waits))
                        .map(|(id, _)| id),
                );
            }
            let path = &mut self.paths[destination.path];
            if path.failure.is_some() || path.wait_until > Some(now) {
                path.backlog.reset();
                continue;
            }
            let waiting = permits::waiting_by_priority(destination.queue.iter().map(|(order, _)| order.0.0));
            path.backlog.update(now, 0, &waiting);
            let path = &self.paths[destination.path];
            let waits = path
                .coordinator_waits(now)
                .cloned()
                .unwrap_or_else(|| path.backlog.minimum_waits(now, 0, None));
            if waits.is_zero() {
                continue;
            }
            // For each queued message, the fraction of the messages of its priority that are ahead of it.
            let fractions_ahead = waiting
                .iter()
                .flat_map(|(_, count)| (0..*count).map(move |at| f64::from(at) / f64::from(*count)));
            for ((_, id), ahead) in destination.queue.iter().zip(fractions_ahead) {
                let Some(message) = self.messages.get(id).filter(|m| m.may_be_shed()) else { continue };
                too_late.extend((!self.can_start_in_time(now, message, ahead, &waits)).then_some(*id));
            }
        }
        too_late.into_iter().for_each(|id| self.end_undelivered(now, id, actions));
    }

    /// Returns whether a message is expected to start before its latest start, at its present value or at one
    /// that it falls to. `ahead` is the fraction of the messages of its priority that are ahead of it.
    fn can_start_in_time(&self, now: Micros, message: &Message, ahead: f64, waits: &MinimumWaits) -> bool {
        let (last, mut from, mut ahead) = (self.latest_start(message), now, ahead);
        // A message of any but the least valuable class is also judged by the queue at its full value: if it
        // is late, the less valuable messages that are ahead of it will lose value and fall behind it.
        let (value, classes) = (self.settings.classes[message.class].value, &self.settings.classes);
        let full_priority = permits::priority_level((value * VALUE_SCALE) as u64);
        if classes.iter().any(|class| class.value < value) && now + waits.wait_at(full_priority, 1.0) < last {
            return true;
        }
        while from < last {
            let (value, until) = self.value_at(message, from);
            if now + waits.wait_at(permits::priority_level(value), ahead) < until.min(last) {
                return true;
            }
            (from, ahead) = (until, 0.0);
        }
        false
    }

    /// Returns the next message of a destination in release order that may be sent now, and its endpoint; or
    /// the time at which one may become ready.
    fn next_send(&self, now: Micros, destination: &Destination) -> Result<NextSend, Micros> {
        let mut next_check = NEVER;
        // If the shared path is not ready and no call can be joined, there is no need to search the queue.
        let next_start = self.paths[destination.path].next_start(now, true);
        let joins =
            |target| self.endpoints.get(target).and_then(|e| e.latest_call).is_some_and(|(at, ..)| at == now);
        if !destination.separate_routes && next_start > now && !destination.endpoints.iter().any(joins) {
            return Err(next_start);
        }
        for (order, id) in &destination.queue {
            let Some(message) = self.messages.get(id) else { continue };
            let mut choice = None;
            for target in &destination.endpoints {
                let Some(endpoint) = self.endpoints.get(target) else { continue };
                let path = &self.paths[endpoint.path];
                match self.admit(now, *id, message, destination, endpoint, path) {
                    Err(at) => next_check = next_check.min(at),
                    Ok(joins) => {
                        let fee = self.settings.zone_fee.get(endpoint.zone).copied().unwrap_or(0.0);
                        let fee = if destination.separate_routes { (fee * SECOND) as u64 } else { 0 };
                        let idle = endpoint.has_idle_connection(now, self.settings.idle_timeout);
                        let shuffled = shuffle_key(self.seed, target.0);
                        let failing = endpoint.failures >= FAILING_STREAK && endpoint.next_trial > now;
                        // The preferred endpoint can join a call, is not failing, has the fewest calls in
                        // flight, an idle connection and the lowest fee; ties are broken in a different order
                        // at each sender.
                        let preference = (!joins, failing, endpoint.in_flight, !idle, fee, shuffled, *target);
                        choice = Some(choice.map_or(preference, |best| preference.min(best)));
                    }
                }
            }
            if let Some((.., target)) = choice {
                return Ok((*order, *id, target));
            }
        }
        Err(next_check)
    }

    /// Checks all conditions of a send: loss, double effect, draining, order, waits, pace and capacity. Every
    /// send passes this function. Returns `Ok(true)` if the message joins a call that starts at this time,
    /// `Ok(false)` if it starts a new call, and otherwise the time at which that may change.
    fn admit(
        &self, now: Micros, id: MessageId, message: &Message, destination: &Destination, endpoint: &Endpoint,
        path: &SendPath,
    ) -> Result<bool, Micros> {
        // One attempt at a time, not too late and not too many.
        if message.call.is_some()
            || self.latest_start(message) <= now
            || message.attempts >= self.settings.max_attempts
        {
            return Err(NEVER);
        }
        // The senders' retry budget; tokens arrive with an event.
        if !destination.may_retry(now, message, &self.settings) {
            return Err(NEVER);
        }
        // No double effect.
        let forbidden = match (self.settings.classes[message.class].effect, message.may_have_run) {
            (Effect::Idempotent, _) | (_, None) => false,
            (Effect::NonIdempotent, Some(_)) => true,
            (Effect::Keyed { window, scope }, Some((started_at, zone))) => {
                started_at + window <= now || scope == DedupScope::Zone && zone != endpoint.zone
            }
        };
        // Draining: nothing new from the time of the update on, without use of the grace period.
        if forbidden || endpoint.out_of_service {
            return Err(NEVER);
        }
        // Order of messages with the same key.
        let key_queue = message.key.as_ref().and_then(|key| self.key_queues.get(key));
        if let Some(key_queue) =
            key_queue.filter(|queue| queue.messages.front() != Some(&id) || queue.paused_until > now)
        {
            return Err(if key_queue.messages.front() == Some(&id) { key_queue.paused_until } else { NEVER });
        }
        // A server-requested wait also applies to messages that could join a call.
        if let Some(until) = path.wait_until.filter(|until| *until > now) {
            return Err(until);
        }
        // A batched call counts once for the pacer, the calls in flight and the recovery slot.
        if endpoint.latest_call.is_some_and(|(at, _, size)| at == now && size < destination.max_batch) {
            return Ok(true);
        }
        // The pacer, and the recovery budget of a returning destination.
        let start = path.next_start(now, path.admits_without_slot(message, now, &self.settings));
        if start > now {
            return Err(start);
        }
        self.check_capacity(now, endpoint, path).map(|()| false)
    }

    /// Checks the call slots and connections that a new call needs.
    fn check_capacity(&self, now: Micros, endpoint: &Endpoint, path: &SendPath) -> Result<(), Micros> {
        let max_in_flight = (self.settings.slots / PATH_SLOTS_DIVISOR).max(2);
        if self.calls.len() as u32 >= self.settings.slots || path.in_flight >= max_in_flight {
            return Err(NEVER);
        }
        if endpoint.connection_limit.is_some_and(|limit| endpoint.in_flight >= limit)
            && endpoint.raise_limit_at > now
        {
            return Err(endpoint.raise_limit_at);
        }
        // A failing endpoint of a working destination gets one trial call at a time. Under a grant it stays
        // available as the last choice instead (see `next_send`).
        let own_pace = path.grants.admission(now) == Admission::LocalPacing;
        if own_pace
            && endpoint.failures >= FAILING_STREAK
            && (endpoint.in_flight > 0 || endpoint.next_trial > now)
        {
            return Err(if endpoint.in_flight > 0 { NEVER } else { endpoint.next_trial });
        }
        Ok(())
    }

    /// Cancels the first overdue call if no call slot is free and messages are queued, so that hanging calls
    /// do not use up the call slots. A call may be cancelled after its aim; after half of it if later calls
    /// succeeded, as then its connection alone does not answer.
    /// Known limitation: if the answer would still have come, the work is done twice or the message is given
    /// up.
    fn cancel_overdue_call(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if (self.calls.len() as u32) < self.settings.slots
            || !self.settings.cancel
            || self.queued_destinations.is_empty()
        {
            return;
        }
        let overdue = self.calls.values_mut().find(|call| {
            let (path, started_at) = (&self.paths[call.path], call.started_at);
            let divisor = if path.last_success > Some(started_at) { OVERTAKEN_AIM_DIVISOR } else { 1 };
            let past_aim = |(id, _): &(MessageId, u32)| {
                let class = self.messages.get(id).map(|m| &self.settings.classes[m.class]);
                class.is_some_and(|class| started_at + class.aim / divisor <= now)
            };
            !call.members.is_empty() && path.is_overdue(now - started_at) && call.members.iter().all(past_aim)
        });
        if let Some(call) = overdue {
            let members = std::mem::take(&mut call.members);
            actions.extend(members.into_iter().map(|(id, attempt)| Action::Cancel { id, attempt }));
        }
    }

    /// Closes an idle connection if connections are low or the next call is not expected soon. Otherwise the
    /// idle connections of many senders would use up a destination's few connections, and calls would be sent
    /// on connections that were dropped unnoticed.
    /// Known limitation: costs a handshake if the next call comes sooner than the mean spacing.
    fn close_idle_connection(&mut self, now: Micros, target: TargetId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let path = &self.paths[endpoint.path];
        let spacing = path.pacer.spacing.unwrap_or(path.expected_spacing(self.settings.senders));
        let low = self
            .connection_failures
            .get(endpoint.kind)
            .is_some_and(|fraction| *fraction > LOW_CONNECTIONS_FAILURE_FRACTION);
        if endpoint.in_flight == 0
            && endpoint.has_idle_connection(now, self.settings.idle_timeout)
            && (low || spacing > self.settings.idle_timeout / REUSE_IDLE_TIMEOUT_DIVISOR)
        {
            endpoint.idle_since = None;
            actions.push(Action::CloseIdle(target));
        }
    }

    /// Sends a message that was admitted, in a new call or in one that starts at this time.
    fn send(&mut self, now: Micros, id: MessageId, target: TargetId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(send_by) = self.messages.get(&id).map(|message| self.latest_start(message)) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let Some(max_batch) = self.destinations.get(&message.destination).map(|d| d.max_batch) else {
            return;
        };
        let mut reused_connection = false;
        let path = &mut self.paths[endpoint.path];
        let call_id = match endpoint.latest_call {
            Some((at, call, size)) if at == now && size < max_batch => {
                endpoint.latest_call = Some((at, call, size + 1));
                call
            }
            _ => {
                self.calls_made += 1;
                endpoint.latest_call = Some((now, self.calls_made, 1));
                endpoint.in_flight += 1;
                reused_connection = endpoint.has_idle_connection(now, self.settings.idle_timeout);
                endpoint.idle_since = None;
                if endpoint.connection_limit.is_some_and(|limit| endpoint.in_flight > limit) {
                    endpoint.raise_limit_at = now + CONNECTION_LIMIT_RETRY_US;
                }
                path.in_flight += 1;
                path.grants.use_grant();
                path.backlog.record_start(now, 0);
                path.pacer.on_start(now);
                path.count_start(
                    &self.settings,
                    now,
                    jitter_fraction(self.settings.senders, self.seed ^ self.calls_made),
                );
                self.calls_made
            }
        };
        if message.attempts > 0 {
            self.destinations.entry(message.destination).and_modify(|d| d.retry_tokens.use_one());
        }
        message.call = Some(call_id);
        message.attempts += 1;
        let new = Call {
            path: endpoint.path,
            started_at: now,
            pending: 0,
            outcome: None,
            reused_connection,
            members: vec![],
        };
        let call = self.calls.entry(call_id).or_insert(new);
        call.pending += 1;
        call.members.push((id, message.attempts - 1));
        let class = &self.settings.classes[message.class];
        let usual = path.response_times.upper_bound(OVERDUE_DEVIATIONS);
        let non_idempotent = class.aim * NON_IDEMPOTENT_TIMEOUT_AIMS;
        let longest = class.deadline / MAX_TIMEOUT_DEADLINE_DIVISOR;
        let timeout = match class.effect {
            Effect::NonIdempotent => non_idempotent,
            _ => usual.unwrap_or(longest).clamp((non_idempotent / 2).min(longest), longest),
        };
        let due = message.due.min(self.shutdown_at.unwrap_or(message.due));
        let timeout = timeout.min(due - now).max(1);
        actions.push(Action::Send { id, target, timeout, send_by });
    }

    /// Sets a timer for the earliest of all due times, unless one is pending for an earlier time.
    fn set_timer(&mut self, now: Micros, next_check: Micros, actions: &mut Vec<Action>) {
        let due = next_check
            .min(self.expiry.first().map_or(NEVER, |e| e.0))
            .min(self.subscribe_at.unwrap_or(NEVER));
        if due < NEVER && self.timer_at.is_none_or(|at| due < at) {
            (self.timer_token, self.timer_at) = (self.timer_token + 1, Some(due));
            actions.push(Action::SetTimer { token: self.timer_token, after: (due - now).max(1) });
        }
    }
}
