//! A hollow relay: a link and its channels, called when the relay's own shell (`src/fleet/mod.rs` of the project) calls them.

use std::rc::Rc;

use fleet::keys::{Key, Keys};
use fleet::link::{self, Channel, OutgoingDatagram, OutgoingFrame, PeerLink, Sender};
use fleet::members::Members;
use fleet::{Peer, incarnation};
use peers::node::Node as Facts;
use peers::observer::{ObservedCall, Observer};
use permits::coordinator::{ColdStart, Report};
use permits::node::{Node as Permits, ReceivedGrants};
use permits::{Sharing, WaitingByPriority};
use turns::MaintenancePolicy;
use turns::node::{Action, Node as Turns, PersistedState};
use turns::requests::{Kind, Stage};

use super::core::Core;
use super::meter::Meter;
use crate::measurement::Role;
use crate::scenario::{self, Scenario};
use crate::time::{MILLISECOND, Micros, SECOND};

/// Facts of its own and of others each that a relay keeps, as the shell sets it.
pub(super) const MOST_FACTS: usize = 4096;
/// Where messages wait for so long at a coordinator, no relay goes out for work, as the shell sets it.
const STRAIN: Micros = SECOND;
/// The shell looks for strain so often.
const STRAIN_EVERY: Micros = SECOND / 4;
/// The shell's timer goes by whole milliseconds.
const TIMER_STEP: Micros = MILLISECOND;
/// How a destination that was out returns.
const COLD: ColdStart = ColdStart { initial_fraction: 0.2, warm_after: 10 * SECOND };

/// A channel whose calls are counted as the cost of its core.
struct Metered<'a> {
    channel: &'a mut dyn Channel,
    core: Core,
    meter: &'a Meter,
}

impl Channel for Metered<'_> {
    fn id(&self) -> u8 {
        self.channel.id()
    }

    fn is_budgeted(&self) -> bool {
        self.channel.is_budgeted()
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool {
        let channel = &mut self.channel;
        self.meter.within(self.core, || channel.receive_frame(now, from, members, bytes))
    }

    fn poll_frames(
        &mut self, now: Micros, members: &Members, room: usize, allowance: usize,
    ) -> Vec<OutgoingFrame> {
        let channel = &mut self.channel;
        self.meter.within(self.core, || channel.poll_frames(now, members, room, allowance))
    }

    fn next_at(&self, now: Micros) -> Micros {
        self.meter.within(self.core, || self.channel.next_at(now))
    }
}

/// What a relay said when it was polled.
#[derive(Debug, Default)]
pub(super) struct Polled {
    /// Datagrams to send.
    pub(super) out: Vec<OutgoingDatagram>,
    /// What coordinators granted.
    pub(super) given: Vec<ReceivedGrants>,
    /// It goes out for maintenance.
    pub(super) goes_out: bool,
    /// When it is to be polled again, if nothing happens before.
    pub(super) next: Micros,
}

/// What all relays of a run are set up with.
#[derive(Debug)]
pub(super) struct Setup {
    keys: Keys,
    relays: Peer,
    asks: bool,
    bytes_per_s: u32,
    sharing: Option<Sharing>,
    observes: bool,
    terms: Option<MaintenancePolicy>,
    /// The limit of each destination, in calls a second.
    limits: Vec<f64>,
    pub(super) meter: Meter,
}

impl Setup {
    pub(super) fn new(scenario: &Scenario, limits: Vec<f64>) -> Self {
        let key = Key { id: 1, bytes: vec![1; 32] };
        let relays = Peer::try_from(scenario.relays).unwrap_or(Peer::MAX);
        let sharing = match scenario.sharing {
            scenario::Sharing::Whole => Sharing::Whole,
            scenario::Sharing::Parts => Sharing::Shares,
        };
        let seats = scenario.maintenance_seats;
        let zones = scenario.topology().zones().to_vec();
        Setup {
            keys: Keys(if scenario.signed { vec![key] } else { Vec::new() }),
            relays,
            asks: scenario.asks(),
            bytes_per_s: scenario.bytes_per_s,
            sharing: scenario.has(Role::LimitCoordinator).then_some(sharing),
            observes: scenario.has(Role::HealthObservations),
            terms: (seats > 0).then_some(MaintenancePolicy { relays, max_unavailable: seats, zones }),
            limits,
            meter: Meter::new(),
        }
    }

    /// The keys by which all sign, if they do.
    pub(super) fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Cores that speak.
    pub(super) fn cores(&self) -> Vec<Core> {
        let on = |core: &Core| match core {
            Core::Link => self.asks,
            Core::Permits => self.sharing.is_some(),
            Core::Observations => self.observes,
            Core::Maintenance => self.terms.is_some(),
        };
        Core::ALL.into_iter().filter(on).collect()
    }
}

/// A hollow relay.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) link: PeerLink,
    pub(super) permits: Option<Permits>,
    pub(super) facts: Option<(Facts, Observer)>,
    pub(super) turns: Option<Turns>,
    strain_at: Micros,
    setup: Rc<Setup>,
}

impl Relay {
    /// A relay that starts now, after an earlier process of it or for the first time.
    pub(super) fn new(
        me: Peer, setup: &Rc<Setup>, now: Micros, (seed, kept): (u64, Option<&PersistedState>),
    ) -> Self {
        let incarnation = incarnation(now);
        let config = link::Config {
            me,
            incarnation,
            peers: (0..setup.relays).collect(),
            keys: setup.keys.clone(),
            bytes_per_s: setup.bytes_per_s,
            pings_silent_peers: setup.asks,
        };
        let permits = setup.sharing.map(|sharing| {
            let config = permits::node::Config {
                me,
                relays: setup.relays,
                incarnation,
                cold: COLD,
                sharing,
                follow_success_rate: false,
            };
            let mut permits = Permits::new(config, now);
            (0..)
                .zip(&setup.limits)
                .for_each(|(destination, limit)| permits.set_listed_rate(destination, *limit));
            permits
        });
        let facts = setup.observes.then(|| {
            let config = peers::node::Config { me, max_observations: MOST_FACTS, seed, asks: kept.is_some() };
            (Facts::new(config, now), Observer::default())
        });
        let turns = setup.terms.clone().map(|terms| {
            let config = turns::node::Config { me, incarnation, policy: terms };
            Turns::new(config, now, kept.unwrap_or(&PersistedState::default()))
        });
        let (link, setup) = (PeerLink::new(config, now), Rc::clone(setup));
        Relay { link, permits, facts, turns, strain_at: now, setup }
    }

    /// What outlasts its process.
    pub(super) fn kept(&self) -> PersistedState {
        self.turns.as_ref().map(Turns::persisted_state).unwrap_or_default()
    }

    /// Takes a datagram.
    pub(super) fn receive(&mut self, now: Micros, bytes: &[u8]) {
        let setup = Rc::clone(&self.setup);
        setup.meter.call(|| {
            // What has no effect is counted by the link.
            let _ = self.with_channels(&setup.meter, |link, channels| link.receive(now, bytes, channels));
            if let Some((facts, _)) = &mut self.facts {
                setup.meter.within(Core::Observations, || {
                    let news = facts.take_updates();
                    news.iter().filter(|fact| facts.table().actionable(now, fact).is_some()).count()
                });
            }
        });
    }

    /// What waits for a destination beyond the permits held.
    pub(super) fn want(&mut self, now: Micros, destination: u32, tiers: WaitingByPriority) {
        let meter = &self.setup.meter;
        if let Some(permits) = &mut self.permits {
            let want = || permits.set_waiting(now, i64::from(destination), tiers);
            meter.call(|| meter.within(Core::Permits, want));
        }
    }

    /// A call ended.
    pub(super) fn ended(&mut self, now: Micros, report: &Report, seen: &ObservedCall) {
        let meter = &self.setup.meter;
        meter.call(|| {
            if let Some(permits) = &mut self.permits {
                meter.within(Core::Permits, || permits.report(now, seen.destination, report));
            }
            if let Some((facts, witness)) = &mut self.facts {
                meter.within(Core::Observations, || {
                    let (known, traffic) = witness.call_ended(seen);
                    for known in known {
                        facts.observe(now, seen.destination, known, traffic);
                    }
                });
            }
        });
    }

    /// It is to go out for a restart, in its turn. Whether it takes turns at all.
    pub(super) fn wishes_restart(&mut self, now: Micros, me: Peer) -> bool {
        let Some(turns) = &mut self.turns else { return false };
        turns.update_request(now, me, Kind::Restart, Stage::Pending);
        true
    }

    /// Says what is due, as the shell does after whatever happened.
    pub(super) fn poll(&mut self, now: Micros) -> Polled {
        let setup = Rc::clone(&self.setup);
        setup.meter.call(|| {
            let goes_out = setup.meter.within(Core::Maintenance, || self.look_at_turns(now));
            let mut polled = Polled { goes_out, ..Polled::default() };
            polled.out = self.with_channels(&setup.meter, |link, channels| link.poll(now, channels));
            if let Some(permits) = &mut self.permits {
                let earlier = permits.take_v2_datagrams(&setup.keys);
                polled.out.extend(earlier);
                polled.given = permits.take_received_grants();
                permits.take_wait_times();
            }
            let next = self.with_channels(&setup.meter, |link, channels| link.next_at(now, channels));
            let look_at = if self.turns.is_some() { self.strain_at } else { Micros::MAX };
            polled.next = timer(now, next.min(look_at));
            polled
        })
    }

    /// Looks for strain when it is time to, and for an order to go out.
    fn look_at_turns(&mut self, now: Micros) -> bool {
        let Some(turns) = &mut self.turns else { return false };
        if now >= self.strain_at {
            self.strain_at = now + STRAIN_EVERY;
            let strained = self.permits.as_ref().and_then(|permits| permits.find_strained(now, STRAIN));
            turns.set_strained(now, strained.is_some());
        }
        turns.set_serving(now, u64::try_from(now / MILLISECOND).unwrap_or(0), true);
        turns.take_unsaved();
        turns
            .take_actions()
            .iter()
            .any(|order| matches!(order, Action::Drain(turn) if turn.kind.exits_process()))
    }

    /// Calls the link with the channels in the shell's order, the most urgent first.
    fn with_channels<T>(
        &mut self, meter: &Meter, call: impl FnOnce(&mut PeerLink, &mut [&mut dyn Channel]) -> T,
    ) -> T {
        let permits = self.permits.as_mut().map(|permits| (permits as &mut dyn Channel, Core::Permits));
        let turns = self.turns.as_mut().map(|turns| (turns as &mut dyn Channel, Core::Maintenance));
        let facts = self.facts.as_mut().map(|(facts, _)| (facts as &mut dyn Channel, Core::Observations));
        let on = [permits, turns, facts].into_iter().flatten();
        let mut metered: Vec<Metered> = on.map(|(channel, core)| Metered { channel, core, meter }).collect();
        let mut channels: Vec<&mut dyn Channel> =
            metered.iter_mut().map(|channel| channel as &mut dyn Channel).collect();
        call(&mut self.link, &mut channels)
    }
}

/// When the shell's timer for a moment goes off.
fn timer(now: Micros, at: Micros) -> Micros {
    let at = at.max(now + 1).min(Micros::MAX / 2);
    at + (TIMER_STEP - at.rem_euclid(TIMER_STEP)) % TIMER_STEP
}
