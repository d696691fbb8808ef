//! What a run measured, from what it counted.

use super::core::{CORES, Core};
use super::memory;
use super::simulation::{Machine, Simulation};
use crate::measurement::{Maintenance, Measurement, Role, RoleCost};

impl Simulation<'_> {
    /// Ends the run: what it measured. The memory of relays is that which is freed as they are dropped.
    pub(super) fn finish(mut self, seed: u64) -> Measurement {
        let memory = drop_relays(&mut self.machines);
        let scenario = self.scenario;
        let costs = Costs { memory, simulation: &self, simulated_s: self.measured_s() };
        let cores = self.setup.cores();
        let role = |core: &Core| Some(costs.of(*core, role_of(*core)?));
        let maintenance = cores.contains(&Core::Maintenance).then(|| Maintenance {
            turns: self.counted.turns,
            cost: costs.of(Core::Maintenance, Role::Member),
        });
        Measurement {
            relays: scenario.relays,
            destinations: scenario.destinations,
            share_down: scenario.share_down,
            events_per_s: scenario.events_per_s,
            changes_per_day: scenario.changes_per_day,
            seed,
            simulated_s: self.measured_s(),
            real_s: self.began.elapsed().as_secs_f64(),
            roles: cores.iter().filter_map(role).collect(),
            detection: self.detection.delays.delays(),
            in_force: Default::default(),
            events: self.counted.events,
            permit_wait: self.counted.permit_wait.delays(),
            undetected: self.detection.pending() as u64,
            false_alarms: self.counted.false_alarms,
            speed_up: scenario.ordinary_day.speed_up,
            maintenance,
        }
    }
}

/// Maintenance is no role by itself.
fn role_of(core: Core) -> Option<Role> {
    match core {
        Core::Link => Some(Role::Member),
        Core::Permits => Some(Role::LimitCoordinator),
        Core::Observations => Some(Role::HealthObservations),
        Core::Maintenance => None,
    }
}

/// Drops all relays, core by core; bytes that each core of all of them had together.
fn drop_relays(machines: &mut [Machine]) -> [u64; CORES] {
    let mut freed = [0; CORES];
    let mut of = |core: Core, machines: &mut [Machine]| {
        let before = memory::allocated();
        for relay in machines.iter_mut().filter_map(|machine| machine.relay.as_mut()) {
            match core {
                Core::Permits => relay.permits = None,
                Core::Observations => relay.facts = None,
                Core::Maintenance => relay.turns = None,
                Core::Link => {}
            }
        }
        if core == Core::Link {
            machines.iter_mut().for_each(|machine| machine.relay = None);
        }
        freed[core.slot()] = before.saturating_sub(memory::allocated());
    };
    for core in [Core::Permits, Core::Observations, Core::Maintenance, Core::Link] {
        of(core, machines);
    }
    freed
}

/// What the cores of all machines cost together.
struct Costs<'a> {
    simulation: &'a Simulation<'a>,
    memory: [u64; CORES],
    simulated_s: f64,
}

impl Costs<'_> {
    fn of(&self, core: Core, role: Role) -> RoleCost {
        let machines = &self.simulation.machines;
        let sent = || machines.iter().map(|machine| machine.sent.of(core));
        let messages: u64 = sent().map(|count| count.messages).sum();
        let bytes: u64 = sent().map(|count| count.bytes).sum();
        let busiest = sent().map(|count| count.bytes).max().unwrap_or(0);
        let each = machines.len().max(1) as f64;
        let rate = |count: f64| if self.simulated_s > 0.0 { count / self.simulated_s } else { 0.0 };
        RoleCost {
            role,
            machines: self.simulation.scenario.relays,
            messages,
            bytes,
            bytes_per_s: rate(bytes as f64) / each,
            peak_bytes_per_s: rate(busiest as f64),
            messages_per_s: rate(messages as f64) / each,
            cores: rate(self.processor_ns(core, messages)) / 1e9 / each,
            memory_bytes: self.memory_of(core) as f64 / each,
        }
    }

    /// Processor time of a core, with its part of what the link takes for all (numbers, signatures, packing) by the share
    /// of messages that are its.
    fn processor_ns(&self, core: Core, messages: u64) -> f64 {
        let meter = &self.simulation.setup.meter;
        let own: u64 = Core::ALL.iter().map(|core| meter.core_ns(*core)).sum();
        let link = meter.total_ns().saturating_sub(own);
        let of_core =
            |core| self.simulation.machines.iter().map(move |m| m.sent.of(core).messages).sum::<u64>();
        let all: u64 = Core::ALL.into_iter().map(of_core).sum();
        meter.core_ns(core) as f64 + link as f64 * messages as f64 / all.max(1) as f64
    }

    /// The link's memory counts for the first core that is on.
    fn memory_of(&self, core: Core) -> u64 {
        let bytes = |core: Core| self.memory.get(core.slot()).copied().unwrap_or(0);
        let first = self.simulation.setup.cores().first().copied();
        let link = if first == Some(core) { bytes(Core::Link) } else { 0 };
        if core == Core::Link { link } else { bytes(core) + link }
    }
}
