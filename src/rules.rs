//! Every decision of the relay. Its types, events and actions stand in `src/interface.rs`.
//!
//! A message waits in the queue of its [`Destination`] until its lane lets a call start, leaves through one
//! gate ([`Relay::gate`]) and ends in one function ([`Relay::end`]). The `Pacer` is the mechanism of the
//! design; what was added around it says at its place what it guards against.

mod outcomes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use overload::waits::Waits;
use permits::held_grants::Admission;
use repeats::hand::Hand;
use serde::{Deserialize, Serialize};

use crate::draw::{jitter, scatter, stretched};
use crate::estimate::SMOOTHING;
use crate::interface::*;
use crate::pacing::{fall_budget, warming};
use crate::state::{
    Call, DEVIATIONS, Destination, Endpoint, KeyLine, Lane, Message, NEVER, Rank, SECOND, Trouble,
};

/// With no listed rate, the first interval is the recent spacing, at most the shortest aim over this.
const UNLISTED_PART_OF_AIM: Micros = 10;
/// A steward is asked where as many calls of one sender as there are senders take more than so many shortest
/// aims: by its own outcomes it would learn too late what all do. Few senders see each other's soon.
const ASK_AIMS: Micros = 4;
/// Time-outs stay between so many aims, which an unsafe message gets, and this part of the deadline.
const TIMEOUT_LEAST_AIMS: Micros = 2;
const TIMEOUT_MOST_OF_DEADLINE: Micros = 2;
/// New connections to a kind are scarce when more than this fails; a limit is spent when less is left.
const SCARCE: f64 = 0.03;
const SPENT: f64 = 0.5;
/// The part of the fail-back budget that is for calls soon after a sender's first failure.
const EARLY_PART: f64 = 0.2;
/// Failures after which an endpoint is only tried, one call at a time, or first attempts need a turn too.
const STREAK: u32 = 2;
/// While peers see it fail, a call at most every so many usual gaps; it is half warm by then at the latest.
const SHARED_TRIAL: Micros = 12;
/// An outage is told by so many failures in a row, or some over a fall window.
const DOWN_STREAK: u32 = 6;
/// One destination's calls take at most one in this many slots (two calls at the least).
const SLOT_SHARE: u32 = 2;
/// An endpoint that turned a call away for want of connections is tried with one more after this.
const CROWDED_FOR: Micros = 200_000;
/// With no slot free, a call that later ones overtook may go on for its aim over this.
const OVERTAKEN_PART_OF_AIM: Micros = 2;
/// To be answered within its aim a message has to start before the last one in so many parts of it.
const START_PART_OF_AIM: Micros = 16;
/// Worth is compared in thousandths.
const WORTH_UNIT: f64 = 1000.0;
/// What a steward said of waits counts for so long.
const WAITS_FOR: Micros = 1_000_000;
/// An idle connection is kept where the usual spacing of calls is at most one in so many of its idle life.
const REUSE_PART: Micros = 2;

impl Lane {
    /// The pacer and a told wait, and a turn where one is needed.
    fn ready_at(&self, now: Micros, free: bool) -> Micros {
        let waits = now.max(self.wait_until.unwrap_or(now));
        let paced = match self.held.admission(now) {
            Admission::Granted => return waits,
            Admission::WaitUntil(until) => return waits.max(until),
            Admission::LocalPacing => self.pacer.interval.map_or(now, |_| self.pacer.next),
        };
        let at = waits.max(paced);
        let turn = self.trouble.as_ref().filter(|trouble| !free && at > trouble.early_until);
        turn.map_or(at, |trouble| at.max(trouble.turn).max(trouble.hold))
    }

    /// Departure: one first attempt needs no turn. Of senders that expect k messages in an outage exp(-k) met
    /// it with none, k exp(-k) with one: under two thirds if k < 2, else too few to overload. Nor any within
    /// a message a sender: 1 - 1/e know. What waits held would come at once. It hurts if traffic is uneven.
    fn free(&self, message: &Message, now: Micros, settings: &Settings) -> bool {
        let Some(trouble) = &self.trouble else { return true };
        let short = self.good.is_some_and(|good| now - good <= self.usual_gap(settings.senders));
        let told = self.wait_until > Some(trouble.first_begun);
        message.attempts == 0
            && !told
            && trouble.back.is_none()
            && (short || trouble.failures < STREAK && self.out == 0)
    }

    /// The guard on fail-back: this sender's next call, at its share of what a returning destination bears,
    /// at any time. Informed are at most as many as messages came since it saw it work (never: in the longest
    /// deadline; older ones ended). Its own first failure bounds nothing: over all ages 1/age adds up to more
    /// the longer it lasts. It hurts where a limit refuses: a sender waits though there may be room.
    fn take_turn(&mut self, settings: &Settings, from: Micros, jitter: f64) {
        let (usual, least) = (self.usual_gap(settings.senders), settings.rules.cold_from);
        let Some(trouble) = self.trouble.as_mut().filter(|t| from >= t.early_until) else { return };
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let outage = self.good.map_or(longest, |good| trouble.back.unwrap_or(from) - good).min(longest);
        let (part, present) = match trouble.back {
            None => (1.0 - EARLY_PART, least),
            Some(back) => (1.0, least + (1.0 - least) * (from - back) as f64 / settings.rules.cold as f64),
        };
        let gap = (1.0 + jitter) * usual.min(outage) as f64 / (part * fall_budget(settings) * present);
        let warm_at = trouble.back.map_or(NEVER, |back| back + warming(settings));
        trouble.turn = from.saturating_add(gap as Micros).min(warm_at);
    }
}

impl Destination {
    /// Guards a destination that fails against what its senders' repeats add up to: a further attempt needs a
    /// credit of their budget. It hurts where a failure was one endpoint's alone.
    fn may_repeat(&self, now: Micros, message: &Message, settings: &Settings) -> bool {
        message.attempts == 0 || !settings.repeats || self.repeats.count(now) > 0
    }
}

/// A message that may go, in release order, and where to.
type Next = (Rank, MessageId, TargetId);

/// The decision module of one sender.
#[derive(Clone, Serialize, Deserialize)]
pub struct Relay {
    settings: Settings,
    seed: u64,
    seq: u64,
    calls_made: u64,
    messages: BTreeMap<MessageId, Message>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<TargetId, Endpoint>,
    lanes: Vec<Lane>,
    /// Destinations with messages in their queue.
    held: BTreeSet<DestinationId>,
    calls: BTreeMap<u64, Call>,
    keys: BTreeMap<Arc<str>, KeyLine>,
    /// For each kind, the running share of calls whose connection failed, as it was idle or refused.
    crowding: Vec<f64>,
    /// Held messages by the time at which they are given up.
    expiry: BTreeSet<(Micros, MessageId)>,
    /// Messages by the time at which they are worth less.
    fading: BTreeSet<(Micros, MessageId)>,
    timer: Option<Micros>,
    token: u64,
    watch_at: Option<Micros>,
    stop_at: Option<Micros>,
}

impl Relay {
    /// A module that knows nothing yet but its settings.
    ///
    /// # Errors
    /// Settings that make no sense are returned with the name of the one at fault.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Relay {
            seed,
            seq: 0,
            calls_made: 0,
            messages: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            lanes: Vec::new(),
            held: BTreeSet::new(),
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            crowding: vec![0.0; settings.kinds.len()],
            expiry: BTreeSet::new(),
            fading: BTreeSet::new(),
            timer: None,
            token: 0,
            watch_at: settings.ask_every.map(|_| Micros::MIN),
            stop_at: None,
            settings,
        })
    }

    /// Takes one event and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let answered = match &event {
            Event::Done(done) | Event::Answered(done) => Some(done.target),
            _ => None,
        };
        match event {
            Event::List(form, entries) => self.list(now, form, &entries),
            Event::Arrival(arrival) => self.arrive(now, arrival, None, actions),
            Event::Resumed { arrival, attempts, may_have_run } => {
                self.arrive(now, arrival, Some((attempts, may_have_run)), actions);
            }
            Event::Stop(until) => self.stop(until),
            Event::Retuned(settings) => self.retune(now, *settings, actions),
            Event::Done(done) => self.done(now, &done, actions),
            Event::Answered(done) => self.answered(now, &done),
            Event::Gone(id) => self.gone(id),
            Event::Told(told) => self.told(now, &told),
            Event::Permitted { destination, permits, few } => self.permitted(now, destination, permits, few),
            Event::Waits { destination, waits } => {
                let lane = self.destinations.get(&destination).filter(|d| !d.apart).map(|d| d.lane);
                lane.into_iter().for_each(|n| self.lanes[n].waits = (waits.clone(), now + WAITS_FOR));
            }
            Event::Repeats { destination, repeats, waits } => {
                let place = self.destinations.get_mut(&destination);
                place.into_iter().for_each(|place| place.repeats.given(now, repeats, waits.clone()));
            }
            Event::Timer(token) if token == self.token => self.timer = None,
            Event::Timer(_) | Event::Probed { .. } => {}
        }
        self.expire(now, actions);
        self.fade(now);
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            actions.push(Action::Watch);
        }
        self.ask(now, actions);
        self.ask_repeats(now, actions);
        let due = self.release(now, actions);
        self.give_up(now, actions);
        self.shed(now, actions);
        if let Some(target) = answered {
            self.tidy(now, target, actions);
        }
        self.reclaim(now, actions);
        self.wake(now, due, actions);
    }

    /// The lane of an endpoint: what shares one limit and one told wait with it.
    pub fn lane(&self, target: TargetId) -> Option<usize> {
        self.endpoints.get(&target).map(|endpoint| endpoint.lane)
    }

    // ---- permits ----

    /// What waits beyond the permits held, where one sender's calls tell too late what all do.
    fn ask(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.stewards {
            return;
        }
        let gap = ASK_AIMS * self.settings.shortest_aim() / Micros::from(self.settings.senders);
        let free = (self.settings.slots as usize).saturating_sub(self.calls.len());
        for (id, destination) in self.destinations.iter().filter(|(_, d)| !d.apart) {
            let lane = &mut self.lanes[destination.lane];
            let seldom = self.settings.shares || lane.usual_gap(self.settings.senders) > gap;
            if lane.rate.is_none() || !seldom {
                continue;
            }
            let may = if lane.wait_until > Some(now) { 0 } else { free };
            let may_go = |id: &MessageId| {
                self.messages.get(id).is_some_and(|m| destination.may_repeat(now, m, &self.settings))
            };
            let ready = |(_, id): &&(Rank, MessageId)| !self.settings.repeats || may_go(id);
            let beyond = destination.queue.iter().filter(ready).take(may).skip(lane.held.count(now));
            let tiers = permits::waiting_by_priority(beyond.map(|(rank, _)| rank.0.0));
            if lane.held.set_waiting(now, &tiers) {
                actions.push(Action::Want { destination: *id, tiers });
            }
        }
    }

    /// What waits for a credit of the senders' budget for repeats, beyond those held.
    fn ask_repeats(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.repeats {
            return;
        }
        for (id, destination) in &mut self.destinations {
            let again = |id: &MessageId| self.messages.get(id).is_some_and(|m| m.attempts > 0);
            let repeats = destination.queue.iter().filter(|(_, id)| again(id));
            let beyond = repeats.skip(destination.repeats.count(now));
            let tiers = permits::waiting_by_priority(beyond.map(|(rank, _)| rank.0.0));
            if destination.repeats.want(&tiers) {
                actions.push(Action::WantRepeats { destination: *id, tiers });
            }
        }
    }

    fn permitted(&mut self, now: Micros, id: DestinationId, permits: u16, few: bool) {
        let Some(destination) = self.destinations.get(&id).filter(|d| !d.apart) else { return };
        self.lanes[destination.lane].held.receive(now, permits);
        // Where one sender was turned away for want of connections, all let go of idle ones.
        let endpoints = destination.endpoints.iter().filter_map(|target| self.endpoints.get(target));
        for endpoint in endpoints.filter(|_| few) {
            self.crowding.iter_mut().skip(endpoint.kind).take(1).for_each(|share| *share = 1.0);
        }
    }

    // ---- the list ----

    fn list(&mut self, now: Micros, form: ListForm, entries: &[Entry]) {
        if form == ListForm::Refused {
            self.watch_at = self.settings.ask_every.map(|every| now + every / 4);
            return;
        }
        if form == ListForm::All {
            let named: BTreeSet<TargetId> = entries.iter().map(|e| e.target).collect();
            for (target, endpoint) in &mut self.endpoints {
                endpoint.stop |= !named.contains(target);
            }
        }
        let shortest_aim = self.settings.shortest_aim();
        for entry in entries {
            let kind = self.settings.kinds.get(entry.kind).copied();
            let Kind { apart, batch } = kind.unwrap_or(Kind { apart: false, batch: 1 });
            let destination = self.destination(entry.destination);
            (destination.apart, destination.batch) = (apart, batch);
            destination.endpoints.insert(entry.target);
            let shared = destination.lane;
            let known =
                self.endpoints.get(&entry.target).map(|endpoint| (endpoint.destination, endpoint.lane));
            // An endpoint listed anew under another destination serves that one alone.
            if let Some((old, _)) = known.filter(|(old, _)| *old != entry.destination)
                && let Some(old) = self.destinations.get_mut(&old)
            {
                old.endpoints.remove(&entry.target);
            }
            let lane = match known {
                Some((old, lane)) if apart && old == entry.destination => lane,
                _ if apart => {
                    self.lanes.push(Lane::default());
                    self.lanes.len() - 1
                }
                _ => shared,
            };
            let endpoint = self.endpoints.entry(entry.target).or_default();
            (endpoint.destination, endpoint.lane) = (entry.destination, lane);
            (endpoint.zone, endpoint.kind) = (entry.zone, entry.kind);
            endpoint.stop = entry.listed != Listed::InService;
            let lane = &mut self.lanes[lane];
            if self.settings.listed_rates && entry.rate > 0.0 && !lane.reported {
                lane.rate = Some(lane.pacer.set_rate(entry.rate, self.settings.senders, shortest_aim));
            }
        }
        self.purge(now);
    }

    /// Forgets endpoints that take nothing new, have nothing out and need not remember a told wait.
    fn purge(&mut self, now: Micros) {
        let (destinations, lanes) = (&mut self.destinations, &self.lanes);
        self.endpoints.retain(|target, endpoint| {
            let keep = !endpoint.stop || endpoint.out > 0 || lanes[endpoint.lane].wait_until > Some(now);
            if let Some(destination) = destinations.get_mut(&endpoint.destination).filter(|_| !keep) {
                destination.endpoints.remove(target);
            }
            keep
        });
    }

    fn destination(&mut self, id: DestinationId) -> &mut Destination {
        let lanes = &mut self.lanes;
        self.destinations.entry(id).or_insert_with(|| {
            let (endpoints, queue) = (BTreeSet::new(), BTreeSet::new());
            lanes.push(Lane::default());
            let (lane, repeats) = (lanes.len() - 1, Hand::default());
            Destination { lane, apart: false, batch: 1, endpoints, queue, repeats }
        })
    }

    // ---- messages in ----

    fn arrive(
        &mut self, now: Micros, arrival: Arrival, before: Option<(u32, bool)>, actions: &mut Vec<Action>,
    ) {
        let (attempts, risky) = before.unwrap_or_default();
        let Some(class) = self.settings.classes.get(arrival.class) else { return };
        if self.messages.contains_key(&arrival.id) {
            return;
        }
        let (ordered, short) = (class.in_order, arrival.due - now <= class.aim);
        let in_aim = class.aim - class.aim / START_PART_OF_AIM;
        let key = arrival.key.filter(|_| ordered);
        if self.keys.len() > 2 * self.settings.max_held as usize {
            self.keys.retain(|_, key| !key.line.is_empty() || key.rest_until > now);
        }
        if let Some(key) = &key {
            self.keys.entry(key.clone()).or_default().line.push_back(arrival.id);
        }
        self.seq += 1;
        let message = Message {
            class: arrival.class,
            rank: (Reverse(0), now, self.seq),
            // Due counts from the first hand-in; with less than its aim left it is in time until it is due.
            in_time: if short { arrival.due } else { arrival.due - class.deadline + in_aim },
            due: arrival.due,
            destination: arrival.destination,
            key,
            attempts,
            untried: before == Some((0, false)),
            // When and in which zone it ran died with the process that knew: the least that they allow.
            risk: risky.then_some((Micros::MIN / 2, usize::MAX)),
            ..Message::default()
        };
        let unsafe_twice = risky && self.settings.classes[message.class].effect == Effect::Unsafe;
        let spent = attempts >= self.settings.max_attempts || unsafe_twice;
        self.fading.insert((now, arrival.id));
        self.messages.insert(arrival.id, message);
        self.hold(arrival.id);
        self.fade(now);
        if spent {
            self.end(now, arrival.id, actions);
        }
        self.make_room(now, actions);
    }

    /// The process is to end: nothing starts any more that would hardly be answered by then. What is held
    /// beyond that is ended in time for its client to come again elsewhere.
    fn stop(&mut self, until: Micros) {
        let held: Vec<MessageId> = self.expiry.iter().map(|(_, id)| *id).collect();
        held.iter().for_each(|id| self.unhold(*id));
        self.stop_at = Some(until);
        held.iter().for_each(|id| self.hold(*id));
    }

    /// Other settings: what has had its attempts ends at once, what is out with its outcome.
    fn retune(&mut self, now: Micros, settings: Settings, actions: &mut Vec<Action>) {
        let held: Vec<MessageId> = self.expiry.iter().map(|(_, id)| *id).collect();
        held.iter().for_each(|id| self.unhold(*id));
        self.settings = settings;
        held.iter().for_each(|id| self.hold(*id));
        let most = self.settings.max_attempts;
        let spent = |id: &MessageId| self.messages.get(id).is_some_and(|message| message.attempts >= most);
        let spent: Vec<MessageId> = held.into_iter().filter(spent).collect();
        spent.into_iter().for_each(|id| self.end(now, id, actions));
    }

    /// Guards the buffer against one destination's trouble, and keeps its last places for worth: the message
    /// that would leave last from the longest queue is refused at once. It also catches plain overload; it
    /// hurts when that queue was just about to move.
    fn make_room(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.messages.len() < self.settings.max_held.max(2) as usize {
            return;
        }
        let queues = self.held.iter().filter_map(|id| self.destinations.get(id));
        let Some(longest) = queues.max_by_key(|destination| destination.queue.len()) else { return };
        if let Some(id) = longest.queue.iter().rev().map(|held| held.1).find(|id| self.refusable(*id)) {
            self.end(now, id, actions);
        }
    }

    /// Back to the queue, or new in it.
    fn hold(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let (place, held) = (message.destination, (message.rank, id));
        let expires = self.last_start(message);
        let destination = self.destination(place);
        destination.queue.insert(held);
        self.held.insert(place);
        self.expiry.insert((expires, id));
    }

    /// Departure: the priority is the worth that is left, in steps of the aim, so that where more comes than
    /// a destination takes, what is in time does not queue behind what is late and come late itself. It hurts
    /// what is late: that waits for a gap. Within a worth, what loses it first goes first: among messages of
    /// one class and its whole deadline, that is first come.
    fn fade(&mut self, now: Micros) {
        while let Some((_, id)) = self.fading.first().copied().filter(|(at, _)| *at <= now) {
            self.fading.pop_first();
            let Some(message) = self.messages.get(&id) else { continue };
            let held = message.out.is_none();
            let (worth, fades_at) = self.worth(message, now);
            if held {
                self.unhold(id);
            }
            if let Some(message) = self.messages.get_mut(&id) {
                (message.rank.0, message.rank.1) = (Reverse(worth), fades_at);
                self.fading.insert((fades_at, id));
            }
            if held {
                self.hold(id);
            }
        }
    }

    /// What a message is worth at a time, and until when.
    fn worth(&self, message: &Message, at: Micros) -> (u64, Micros) {
        let (class, in_time) = (&self.settings.classes[message.class], message.in_time);
        let late = (at - in_time).max(-1).div_euclid(class.aim);
        let share = if late < 0 { 1.0 } else { self.settings.late.share(class, late) };
        let fades = late < 0 || share > class.late_worth;
        (
            (class.worth * share * WORTH_UNIT) as u64,
            if fades { in_time + (late + 1) * class.aim } else { NEVER },
        )
    }

    /// After this a message may not be started any more.
    fn last_start(&self, message: &Message) -> Micros {
        let due = self.stop_at.map_or(message.due, |at| message.due.min(self.settings.last_start(at)));
        match (self.settings.classes[message.class].effect, message.risk) {
            (Effect::Keyed { window, .. }, Some((begun, _))) => due.min(begun + window),
            _ => due,
        }
    }

    fn refusable(&self, id: MessageId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let effect = self.settings.classes[message.class].effect;
        let repeatable = matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        message.out.is_none() && (message.risk.is_none() || repeatable)
    }

    /// The only way in which the module gives a message up: refused where that is safe, else failed, at once.
    fn end(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let refusable = self.refusable(id);
        let Some(message) = self.messages.get(&id) else { return };
        if message.out.is_some() {
            return;
        }
        if refusable {
            let after = self.settings.longest_advice.map(|most| {
                let lane = self.destinations.get(&message.destination).map(|d| &self.lanes[d.lane]);
                let queue = |lane: &Lane| lane.said(now).map_or(0, |waits| waits.of(message.tier(), 1.0));
                let wait = lane.map_or(0, |lane| (lane.ready_at(now, true) - now).max(queue(lane)));
                wait.min(most).max(most / 2)
            });
            actions.push(Action::Refuse { id, after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.forget(id);
    }

    /// Takes a message out of its queue: it starts or ends.
    fn unhold(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        self.expiry.remove(&(self.last_start(message), id));
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        destination.queue.remove(&(message.rank, id));
        if destination.queue.is_empty() {
            self.held.remove(&message.destination);
        }
    }

    /// Drops what is known of an ended message that is not out.
    fn forget(&mut self, id: MessageId) {
        self.unhold(id);
        let Some(message) = self.messages.remove(&id) else { return };
        self.fading.remove(&(message.rank.1, id));
        if let Some(line) = message.key.and_then(|key| self.keys.get_mut(&key)) {
            line.line.retain(|other| *other != id);
        }
    }

    fn gone(&mut self, id: MessageId) {
        match self.messages.get_mut(&id) {
            Some(message) if message.out.is_some() => message.over = true,
            _ => self.forget(id),
        }
    }

    fn expire(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.end(now, id, actions);
        }
    }

    // ---- sends ----

    /// Starts what may start, the best of all destinations first; tells when to look again.
    fn release(&mut self, now: Micros, actions: &mut Vec<Action>) -> Micros {
        loop {
            let mut due = NEVER;
            let mut best: Option<Next> = None;
            for destination in self.held.iter().filter_map(|id| self.destinations.get(id)) {
                match self.pick(now, destination) {
                    Ok(next) => best = Some(best.map_or(next, |best| best.min(next))),
                    Err(at) => due = due.min(at),
                }
            }
            let Some((_, id, target)) = best else { return due };
            self.send(now, id, target, actions);
        }
    }

    /// Ends at once what cannot get its turn in time, unless an outcome is out that could bring it forward.
    /// The client may come again by a sender that saw no failure. It hurts where clients do not.
    fn give_up(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut hopeless = Vec::new();
        for destination in self.held.iter().filter_map(|id| self.destinations.get(id)) {
            let endpoints = destination.endpoints.iter().filter_map(|target| self.endpoints.get(target));
            let lanes: Vec<&Lane> = endpoints.filter(|e| !e.stop).map(|e| &self.lanes[e.lane]).collect();
            let waits = !lanes.is_empty()
                && lanes.iter().all(|lane| lane.out == 0 && !lane.held.recently_coordinated(now));
            for (_, id) in destination.queue.iter().filter(|_| waits) {
                let Some(message) = self.messages.get(id).filter(|m| m.may_be_judged()) else { continue };
                let too_late = |lane: &&Lane| {
                    lane.ready_at(now, lane.free(message, now, &self.settings)) >= self.last_start(message)
                };
                hopeless.extend(lanes.iter().all(too_late).then_some(*id));
            }
        }
        hopeless.into_iter().for_each(|id| self.end(now, id, actions));
    }

    /// Departure: what will not start in time, as the queues show, is told at once and not when its time is
    /// up: by what a steward sees of all senders, else by this one's own. It hurts where a surge ends sooner
    /// than it has lasted.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut hopeless = Vec::new();
        for destination in self.held.iter().filter_map(|id| self.destinations.get(id)).filter(|d| !d.apart) {
            // A repeat that will get no credit in time.
            if let Some(waits) = destination.repeats.waits(now) {
                let (queue, settings) = (destination.queue.iter(), &self.settings);
                let repeats = queue.filter_map(|(_, id)| Some((*id, self.messages.get(id)?)));
                let barred = repeats.filter(|(_, m)| !destination.may_repeat(now, m, settings));
                hopeless.extend(barred.filter(|(_, m)| !self.has_hope(now, m, 0.0, waits)).map(|(id, _)| id));
            }
            let lane = &mut self.lanes[destination.lane];
            if lane.trouble.is_some() || lane.wait_until > Some(now) {
                lane.backlog.rest();
                continue;
            }
            let tiers = permits::waiting_by_priority(destination.queue.iter().map(|(rank, _)| rank.0.0));
            lane.backlog.says(now, 0, &tiers);
            let lane = &self.lanes[destination.lane];
            let waits = lane.said(now).cloned().unwrap_or_else(|| lane.backlog.waits(now, 0, None));
            if waits.is_none() {
                continue;
            }
            let parts = tiers.iter().flat_map(|(_, n)| (0..*n).map(move |at| f64::from(at) / f64::from(*n)));
            for ((_, id), part) in destination.queue.iter().zip(parts) {
                let Some(message) = self.messages.get(id).filter(|m| m.may_be_judged()) else { continue };
                hopeless.extend((!self.has_hope(now, message, part, &waits)).then_some(*id));
            }
        }
        hopeless.into_iter().for_each(|id| self.end(now, id, actions));
    }

    /// Whether a message may start in time, at its present worth or at one that it fades to.
    fn has_hope(&self, now: Micros, message: &Message, part: f64, waits: &Waits) -> bool {
        let (last, mut from, mut part) = (self.last_start(message), now, part);
        // What is worth least gives way: a worthier class is judged by the queue of its whole worth, as the
        // lesser ones that stand before what is late of it fade below it.
        let (worth, classes) = (self.settings.classes[message.class].worth, &self.settings.classes);
        let whole = permits::priority_level((worth * WORTH_UNIT) as u64);
        if classes.iter().any(|class| class.worth < worth) && now + waits.of(whole, 1.0) < last {
            return true;
        }
        while from < last {
            let (worth, until) = self.worth(message, from);
            if now + waits.of(permits::priority_level(worth), part) < until.min(last) {
                return true;
            }
            (from, part) = (until, 0.0);
        }
        false
    }

    /// The next message of a destination, by worth, then arrival, and where to; or when to look again.
    fn pick(&self, now: Micros, destination: &Destination) -> Result<Next, Micros> {
        let mut due = NEVER;
        // The queue of a shut lane is not searched.
        let ready_at = self.lanes[destination.lane].ready_at(now, true);
        let joins =
            |target| self.endpoints.get(target).and_then(|e| e.joining).is_some_and(|(at, ..)| at == now);
        if !destination.apart && ready_at > now && !destination.endpoints.iter().any(joins) {
            return Err(ready_at);
        }
        for (rank, id) in &destination.queue {
            let Some(message) = self.messages.get(id) else { continue };
            let mut choice = None;
            for target in &destination.endpoints {
                let Some(endpoint) = self.endpoints.get(target) else { continue };
                let lane = &self.lanes[endpoint.lane];
                match self.gate(now, *id, message, destination, endpoint, lane) {
                    Err(at) => due = due.min(at),
                    Ok(joins) => {
                        let fee = self.settings.zone_fee.get(endpoint.zone).copied().unwrap_or(0.0);
                        let fee = if destination.apart { (fee * SECOND) as u64 } else { 0 };
                        let warm = endpoint.warm(now, self.settings.connection_idle);
                        let spread = scatter(self.seed, target.0);
                        let failing = endpoint.failures >= STREAK && endpoint.try_at > now;
                        let order = (!joins, failing, endpoint.out, !warm, fee, spread, *target);
                        choice = Some(choice.map_or(order, |best| order.min(best)));
                    }
                }
            }
            if let Some((.., target)) = choice {
                return Ok((*rank, *id, target));
            }
        }
        Err(due)
    }

    /// The one gate: every send passes it, and it checks the six rules. `Ok(true)` joins a call of this very
    /// moment; `Err` tells when it could open.
    fn gate(
        &self, now: Micros, id: MessageId, message: &Message, destination: &Destination, endpoint: &Endpoint,
        lane: &Lane,
    ) -> Result<bool, Micros> {
        // No loss, and no two attempts at once.
        if message.out.is_some()
            || self.last_start(message) <= now
            || message.attempts >= self.settings.max_attempts
        {
            return Err(NEVER);
        }
        // The senders' budget for repeats.
        if !destination.may_repeat(now, message, &self.settings) {
            return Err(NEVER);
        }
        // No double effect.
        let barred = match (self.settings.classes[message.class].effect, message.risk) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, group }, Some((begun, zone))) => {
                begun + window <= now || group == Group::Zone && zone != endpoint.zone
            }
        };
        // Drains: nothing new from the news on, without use of the grace.
        if barred || endpoint.stop {
            return Err(NEVER);
        }
        // Order.
        let line = message.key.as_ref().and_then(|key| self.keys.get(key));
        if let Some(line) = line.filter(|line| line.line.front() != Some(&id) || line.rest_until > now) {
            return Err(if line.line.front() == Some(&id) { line.rest_until } else { NEVER });
        }
        // Waits, before all that a joined call is spared.
        if let Some(until) = lane.wait_until.filter(|until| *until > now) {
            return Err(until);
        }
        // A batched call is one release, one slot and one turn.
        if endpoint.joining.is_some_and(|(at, _, n)| at == now && n < destination.batch) {
            return Ok(true);
        }
        // The pacer, and the budget of a destination that returns.
        let at = lane.ready_at(now, lane.free(message, now, &self.settings));
        if at > now {
            return Err(at);
        }
        self.room(now, endpoint, lane).map(|()| false)
    }

    /// Slots and connections: what a new call may take.
    fn room(&self, now: Micros, endpoint: &Endpoint, lane: &Lane) -> Result<(), Micros> {
        let most = (self.settings.slots / SLOT_SHARE).max(2);
        if self.calls.len() as u32 >= self.settings.slots || lane.out >= most {
            return Err(NEVER);
        }
        if endpoint.most.is_some_and(|most| endpoint.out >= most) && endpoint.more_at > now {
            return Err(endpoint.more_at);
        }
        // Guards against one bad endpoint of a good destination: it is tried now and then, singly.
        // Under a permit it is the last choice instead.
        let own = lane.held.admission(now) == Admission::LocalPacing;
        if own && endpoint.failures >= STREAK && (endpoint.out > 0 || endpoint.try_at > now) {
            return Err(if endpoint.out > 0 { NEVER } else { endpoint.try_at });
        }
        Ok(())
    }

    /// Guards the slots: with none free and messages waiting, the first overdue call is called off after its
    /// aim; after half of it where later calls were answered well, as its connection is silent. It hurts, by
    /// work done twice or a message given up, where answers would have come after all.
    fn reclaim(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if (self.calls.len() as u32) < self.settings.slots || !self.settings.cancel || self.held.is_empty() {
            return;
        }
        let overdue = self.calls.values_mut().find(|call| {
            let (lane, begun) = (&self.lanes[call.lane], call.begun);
            let part = if lane.good > Some(begun) { OVERTAKEN_PART_OF_AIM } else { 1 };
            let late = |(id, _): &(MessageId, u32)| {
                let class = self.messages.get(id).map(|m| &self.settings.classes[m.class]);
                class.is_some_and(|class| begun + class.aim / part <= now)
            };
            !call.members.is_empty() && lane.overdue(now - begun) && call.members.iter().all(late)
        });
        if let Some(call) = overdue {
            let members = std::mem::take(&mut call.members);
            actions.extend(members.into_iter().map(|(id, attempt)| Action::Cancel { id, attempt }));
        }
    }

    /// Guards a destination's few connections, which the idle ones of many senders would fill: one that will
    /// hardly be used again before it closes by itself is closed at once. It also keeps calls off connections
    /// that died unseen; it hurts, by a handshake, where traffic comes sooner than it did lately.
    fn tidy(&mut self, now: Micros, target: TargetId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let lane = &self.lanes[endpoint.lane];
        let spacing = lane.pacer.spacing.unwrap_or(lane.usual_gap(self.settings.senders));
        let crowded = self.crowding.get(endpoint.kind).is_some_and(|share| *share > SCARCE);
        if endpoint.out == 0
            && endpoint.warm(now, self.settings.connection_idle)
            && (crowded || spacing > self.settings.connection_idle / REUSE_PART)
        {
            endpoint.idle_since = None;
            actions.push(Action::Close(target));
        }
    }

    fn send(&mut self, now: Micros, id: MessageId, target: TargetId, actions: &mut Vec<Action>) {
        self.unhold(id);
        let Some(by) = self.messages.get(&id).map(|message| self.last_start(message)) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let Some(batch) = self.destinations.get(&message.destination).map(|d| d.batch) else { return };
        let mut reused = false;
        let lane = &mut self.lanes[endpoint.lane];
        let call_id = match endpoint.joining {
            Some((at, call, n)) if at == now && n < batch => {
                endpoint.joining = Some((at, call, n + 1));
                call
            }
            _ => {
                self.calls_made += 1;
                endpoint.joining = Some((now, self.calls_made, 1));
                endpoint.out += 1;
                reused = endpoint.warm(now, self.settings.connection_idle);
                endpoint.idle_since = None;
                if endpoint.most.is_some_and(|most| endpoint.out > most) {
                    endpoint.more_at = now + CROWDED_FOR;
                }
                lane.out += 1;
                lane.held.use_grant();
                lane.backlog.starts(now, 0);
                lane.pacer.started(now);
                lane.take_turn(
                    &self.settings,
                    now,
                    jitter(self.settings.senders, self.seed ^ self.calls_made),
                );
                self.calls_made
            }
        };
        if message.attempts > 0 {
            self.destinations.entry(message.destination).and_modify(|place| place.repeats.take());
        }
        message.out = Some(call_id);
        message.attempts += 1;
        let new = Call { lane: endpoint.lane, begun: now, left: 0, outcome: None, reused, members: vec![] };
        let call = self.calls.entry(call_id).or_insert(new);
        call.left += 1;
        call.members.push((id, message.attempts - 1));
        let class = &self.settings.classes[message.class];
        let usual = lane.times.within(DEVIATIONS);
        let least = class.aim * TIMEOUT_LEAST_AIMS;
        let most = class.deadline / TIMEOUT_MOST_OF_DEADLINE;
        let timeout = match class.effect {
            Effect::Unsafe => least,
            _ => usual.unwrap_or(most).clamp((least / 2).min(most), most),
        };
        let due = message.due.min(self.stop_at.unwrap_or(message.due));
        let timeout = timeout.min(due - now).max(1);
        actions.push(Action::Send { id, target, timeout, by });
    }

    /// One pending timer, for the earliest due thing.
    fn wake(&mut self, now: Micros, due: Micros, actions: &mut Vec<Action>) {
        let due = due.min(self.expiry.first().map_or(NEVER, |e| e.0)).min(self.watch_at.unwrap_or(NEVER));
        if due < NEVER && self.timer.is_none_or(|at| due < at) {
            (self.token, self.timer) = (self.token + 1, Some(due));
            actions.push(Action::Timer { token: self.token, after: (due - now).max(1) });
        }
    }
}
