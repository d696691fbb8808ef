//! What a run measured, from what it counted.

use fleet::Peer;

use super::RolloutMeasurement;
use super::cost::{Traffic, allocated, role_cost};
use super::simulation::{Simulation, absolute, cuts_off};
use crate::measurement::{Delays, Measurement, Role, RoleCost};
use crate::time::{Micros, in_seconds};

impl Simulation<'_> {
    /// Ends the run: what it measured. The memory of machines is that which is freed as they are dropped.
    pub(super) fn finish(mut self, seed: u64) -> RolloutMeasurement {
        let relays = self.scenario.relays as usize;
        let now = self.now();
        let missing = (0..relays).map(|relay| self.missing(now, relay)).sum();
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        self.replaced += running.map(|process| process.node.counts().replaced).sum::<u64>();
        let simulated_s = in_seconds((now - self.measured_from).max(0));
        let traffic: Vec<Traffic> = self.machines.iter().map(|machine| machine.traffic).collect();
        let of_relays = traffic.get(..relays).unwrap_or_default();
        let of_relay = |count: fn(&Traffic) -> u64| of_relays.iter().map(count);
        RolloutMeasurement {
            changes: self.check.changes(),
            not_connected: self.check.not_connected,
            missing,
            mixed: self.check.mixed,
            went_back: self.check.went_back,
            most_subscribers: self.most_subscribers,
            equal_after_heal: self.equal_after_heal.delays(),
            not_equal_after_heal: self.heals.len() as u64,
            caught_up: self.caught_up.delays(),
            received_bytes_per_s: of_relay(|traffic| traffic.received).sum::<u64>() as f64
                / simulated_s.max(1.0)
                / relays as f64,
            most_bytes_in_a_second: of_relay(|traffic| traffic.second.most).max().unwrap_or(0),
            most_bytes_in_a_minute: of_relay(|traffic| traffic.minute.most).max().unwrap_or(0),
            restarts: self.restarts,
            failures: self.failed,
            upstreams_replaced: self.replaced,
            messages: traffic.iter().map(|traffic| traffic.messages).sum(),
            bytes: traffic.iter().map(|traffic| traffic.bytes).sum(),
            measurement: self.measurement(seed, simulated_s, &traffic),
        }
    }

    fn measurement(&mut self, seed: u64, simulated_s: f64, traffic: &[Traffic]) -> Measurement {
        Measurement {
            relays: self.scenario.relays,
            destinations: self.scenario.destinations,
            share_down: 0.0,
            events_per_s: 0.0,
            changes_per_day: self.scenario.changes_per_day,
            seed,
            simulated_s,
            real_s: self.began.elapsed().as_secs_f64(),
            roles: self.costs(simulated_s, traffic),
            detection: Delays::default(),
            in_force: self.check.in_force.delays(),
            events: 0,
            permit_wait: Delays::default(),
            undetected: 0,
            false_alarms: 0,
            speed_up: 1.0,
            maintenance: None,
        }
    }

    fn costs(&mut self, simulated_s: f64, traffic: &[Traffic]) -> Vec<RoleCost> {
        let relays = self.scenario.relays as usize;
        let (of_relays, of_controls) = traffic.split_at(relays);
        let control_memory = self.drop_processes(relays..traffic.len());
        let relay_memory = self.drop_processes(0..relays);
        vec![
            role_cost(Role::Configuration, of_relays, &self.relay_meter, relay_memory, simulated_s),
            role_cost(Role::ControlMachine, of_controls, &self.control_meter, control_memory, simulated_s),
        ]
    }

    /// Changes that a connected relay does not have at the end.
    fn missing(&self, now: Micros, relay: usize) -> u64 {
        let Some(machine) = self.machines.get(relay) else { return 0 };
        let Some(process) = &machine.process else { return 0 };
        let cuts = absolute(&self.scenario.cuts, self.measured_from);
        let cut = |at: Micros| cuts.iter().any(|cut| cuts_off(cut, &self.network, relay as Peer, (at, now)));
        self.check.missing(machine.version, |at| process.since <= at && !cut(at))
    }

    /// Drops processes; the bytes that they had together.
    fn drop_processes(&mut self, places: std::ops::Range<usize>) -> u64 {
        let before = allocated();
        self.machines
            .iter_mut()
            .take(places.end)
            .skip(places.start)
            .for_each(|machine| machine.process = None);
        before.saturating_sub(allocated())
    }
}
