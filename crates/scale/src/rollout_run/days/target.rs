//! Which machines an event hits, drawn by the seed.

use fleet::Peer;
use rand::Rng;
use rand::seq::SliceRandom;
use rollout::topology::{Role, Topology, TopologyError};

use super::{Day, EventKind, RolloutScenario};
use crate::network::{Cut, CutKind, NodeSet};
use crate::random::{Purpose, stream};
use crate::time::{Micros, seconds};

/// What an event does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::rollout_run) enum Action {
    /// The affected machines stop.
    Stop {
        /// They come back with empty disks.
        empty_disks: bool,
    },
    /// The leader of the control machines stops, and so many others that are drawn.
    StopControls {
        /// How many in all.
        count: usize,
    },
    /// The network does not carry what this stops.
    Cut(CutKind),
    /// So many changes are made at once.
    Changes(u32),
    /// A change is made, and its inverse at the end.
    ChangeReverted,
}

/// An event with its targets. Its moments count from the end of the warm-up.
#[derive(Clone, Debug)]
pub(in crate::rollout_run) struct Disturbance {
    pub(in crate::rollout_run) from: Micros,
    pub(in crate::rollout_run) until: Micros,
    /// The machines that it hits, as far as that is known before.
    pub(in crate::rollout_run) affected: Vec<Peer>,
    pub(in crate::rollout_run) action: Action,
}

impl Disturbance {
    /// The cut of the network that it is, if it is one.
    pub(super) fn cut(&self) -> Option<Cut> {
        match &self.action {
            Action::Cut(kind) => Some(Cut { from: self.from, until: self.until, kind: kind.clone() }),
            _ => None,
        }
    }
}

/// Why an event has no target.
#[derive(Debug, thiserror::Error)]
pub(super) enum TargetError {
    /// There are not so many machines.
    #[error("{count} of {machines} machines")]
    TooMany {
        /// What the event asks for.
        count: u32,
        /// Machines to choose from.
        machines: usize,
    },
    /// The machines make no topology.
    #[error(transparent)]
    Topology(#[from] TopologyError),
}

/// The event of a day with its targets.
pub(super) fn disturbance(
    day: &Day, scenario: &RolloutScenario, seed: u64,
) -> Result<Disturbance, TargetError> {
    let event = &day.event;
    let topology = scenario.rollout_topology()?;
    let mut random = stream(seed, Purpose::Targets);
    let zone = random.random_range(0..scenario.region_of_zone.len().max(1)) as u16;
    let region = scenario.region_of_zone.get(usize::from(zone)).copied().unwrap_or(0);
    let of_zone = |role| machines(&topology, role, |place| place.zone == zone);
    let (affected, action) = match event.kind {
        EventKind::RepresentativeFails => {
            let mut representatives = of_zone(Role::Relay);
            representatives.retain(|peer| topology.is_representative(*peer));
            representatives.shuffle(&mut random);
            representatives.truncate(1);
            (representatives, Action::Stop { empty_disks: event.empty_disks })
        }
        EventKind::RelaysOfAZoneFail => {
            let mut relays = of_zone(Role::Relay);
            let count = counted(event.count, relays.len())?;
            relays.shuffle(&mut random);
            relays.truncate(count);
            (relays, Action::Stop { empty_disks: event.empty_disks })
        }
        EventKind::ControlsFail => {
            let count = counted(event.count, scenario.control_zones.len())?;
            (Vec::new(), Action::StopControls { count })
        }
        EventKind::ZoneDark => {
            let affected = [of_zone(Role::Relay), of_zone(Role::Control)].concat();
            (affected, Action::Cut(CutKind::Dark(NodeSet::Zone(zone))))
        }
        EventKind::RegionAlone => {
            let of_region = |role| machines(&topology, role, |place| u16::from(place.region) == region);
            let affected = [of_region(Role::Relay), of_region(Role::Control)].concat();
            (affected, Action::Cut(CutKind::Alone(NodeSet::Region(region))))
        }
        EventKind::Changes => (Vec::new(), Action::Changes(event.count.unwrap_or(1))),
        EventKind::ChangeReverted => (Vec::new(), Action::ChangeReverted),
    };
    let (from, until) = (seconds(event.at_s), seconds(event.at_s + event.for_s));
    Ok(Disturbance { from, until, affected, action })
}

fn machines(topology: &Topology, role: Role, of: impl Fn(rollout::topology::Place) -> bool) -> Vec<Peer> {
    let chosen = topology.machines().filter(|machine| machine.role == role && of(machine.place));
    chosen.map(|machine| machine.peer).collect()
}

/// As many machines as the event asks for, all if it does not say.
fn counted(count: Option<u32>, machines: usize) -> Result<usize, TargetError> {
    match count {
        Some(count) if count as usize > machines => Err(TargetError::TooMany { count, machines }),
        Some(count) => Ok(count as usize),
        None => Ok(machines),
    }
}
