//! Relays that start, die, restart and fail, and who takes whom for dead.

use std::rc::Rc;

use fleet::Peer;
use rand::Rng;
use rand::seq::SliceRandom;

use super::{Event, Machine, Simulation};
use crate::run::detection::{self, takes_for_dead};
use crate::run::relay::Relay;
use crate::scenario::Killed;
use crate::time::{Micros, SECOND, seconds};

/// It is looked for living relays that are taken for dead so often ...
pub(super) const ALARMS_EVERY: Micros = 5 * SECOND;
/// ... among those that have lived for so long.
const SETTLED: Micros = 60 * SECOND;
/// A relay is away for no less: its starts are numbered by tenths of a second.
const LEAST_AWAY: Micros = SECOND / 5;

impl Simulation<'_> {
    pub(super) fn start(&mut self, now: Micros, peer: Peer) {
        let (seed, setup) = (self.cores.random(), Rc::clone(&self.setup));
        let Some(machine) = self.machine(peer).filter(|machine| machine.relay.is_none() && !machine.killed)
        else {
            return;
        };
        machine.relay = Some(Relay::new(peer, &setup, now, (seed, machine.kept.as_ref())));
        (machine.life, machine.since) = (machine.life + 1, now);
        let busy = machine.work.busy();
        self.detection.returned(peer);
        self.serve(now, peer, busy.into());
    }

    /// A relay dies; it starts again after a while, if at all.
    pub(super) fn stop(&mut self, now: Micros, peer: Peer, away: Option<Micros>) {
        let Some(machine) = self.machine(peer) else { return };
        let Some(relay) = machine.relay.take() else { return };
        machine.kept = Some(relay.kept());
        machine.killed = away.is_none();
        machine.work.restarted();
        if let Some(away) = away {
            self.queue.push(now + away.max(LEAST_AWAY), Event::Start(peer));
        }
        if self.scenario.asks() {
            let living = (0..).zip(&self.machines).filter(|(_, machine)| machine.relay.is_some());
            self.detection.died(now, peer, living.map(|(peer, machine)| (peer, machine.life)).collect());
            if self.detection.pending() == 1 {
                self.queue.push(now + detection::LOOK_EVERY, Event::LookForDeaths);
            }
        }
    }

    fn living(&self) -> Vec<Peer> {
        let living = (0..).zip(&self.machines).filter(|(_, machine)| machine.relay.is_some());
        living.map(|(peer, _)| peer).collect()
    }

    fn drawn(&mut self) -> Option<Peer> {
        let living = self.living();
        let place = self.failures.random_range(0..living.len().max(1));
        living.get(place).copied()
    }

    pub(super) fn kill(&mut self, now: Micros) {
        let Some(kill) = self.scenario.kill else { return };
        let mut killed = self.living();
        if kill.which == Killed::Drawn {
            killed.shuffle(&mut self.failures);
        }
        killed.truncate((killed.len() as f64 * kill.share).round() as usize);
        killed.into_iter().for_each(|peer| self.stop(now, peer, None));
    }

    pub(super) fn restart(&mut self, now: Micros) {
        self.plan_restart(now);
        let Some(peer) = self.drawn() else { return };
        if self.relay(peer).is_some_and(|relay| relay.wishes_restart(now, peer)) {
            self.poll(now, peer);
        } else {
            self.stop(now, peer, Some(seconds(self.scenario.ordinary_day.restart_s)));
        }
    }

    pub(super) fn fail(&mut self, now: Micros) {
        self.plan_failure(now);
        if let Some(peer) = self.drawn() {
            self.stop(now, peer, Some(seconds(self.scenario.ordinary_day.repair_s)));
        }
    }

    pub(super) fn look_for_deaths(&mut self, now: Micros) {
        let machines = &self.machines;
        self.detection.look(now, |peer, life| {
            let machine = machines.get(usize::from(peer)).filter(|machine| machine.life == life)?;
            machine.relay.as_ref()
        });
        if self.detection.pending() > 0 {
            self.queue.push(now + detection::LOOK_EVERY, Event::LookForDeaths);
        }
    }

    pub(super) fn look_for_alarms(&mut self, now: Micros) {
        self.queue.push(now + ALARMS_EVERY, Event::LookForAlarms);
        let settled = |machine: &&Machine| machine.relay.is_some() && now - machine.since >= SETTLED;
        let peers: Vec<(Peer, &Machine)> =
            (0..).zip(&self.machines).filter(|(_, machine)| settled(machine)).collect();
        for (observer, relay) in
            peers.iter().filter_map(|(peer, machine)| Some((*peer, machine.relay.as_ref()?)))
        {
            let wrong = |other: Peer| {
                other != observer
                    && takes_for_dead(relay, other)
                    && self.network.reaches(now, u32::from(other), u32::from(observer))
                    && self.network.reaches(now, u32::from(observer), u32::from(other))
            };
            self.counted.false_alarms += peers.iter().filter(|(other, _)| wrong(*other)).count() as u64;
        }
    }
}
