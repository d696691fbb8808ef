//! Who may receive changes from whom: the fixed order of all machines, and each relay's candidates for an upstream.
//!
//! The order is computed once from the configured list of machines. Control machines come first. In each zone the relays
//! are ordered by rendezvous hash; the first [`REPRESENTATIVES`] of them are the zone's representatives and subscribe to
//! control machines. The others form levels of a tree below the representatives, each level [`ARITY`] times as wide as the
//! one above it.
//!
//! A candidate stands strictly before its subscriber in the order, so that subscriptions can never form a cycle.

use std::collections::BTreeMap;

use fleet::{Peer, rendezvous};

/// Representatives of a zone. With three, a zone stays connected while two of them are down or restarting.
pub const REPRESENTATIVES: usize = 3;
/// How many times wider a level of the tree is than the one above. Each relay has two upstreams, so that a full level
/// takes twice this many subscriptions from each relay above, and leaves a third of
/// [`MOST_SUBSCRIBERS`](crate::MOST_SUBSCRIBERS) for those whose upstream failed.
pub const ARITY: usize = 8;
/// Candidates of one kind (parents, ancestors in the own level, representatives elsewhere) in a relay's list at the most.
/// It bounds how long a relay searches: a silent candidate costs one second.
const MOST_OF_A_KIND: usize = 4;

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// Its region.
    pub region: u8,
    /// Its zone, unique over all regions.
    pub zone: u16,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// It agrees on changes with the other control machines and publishes them.
    Control,
    /// It applies changes, and forwards them to its subscribers.
    Relay,
}

/// One machine of the configured list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its number in the fleet.
    pub peer: Peer,
    /// Where it stands.
    pub place: Place,
    /// What it does.
    pub role: Role,
}

/// Why a list of machines is not a topology.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// A machine is listed twice.
    #[error("machine {0} is listed twice")]
    Doubled(Peer),
    /// A zone is listed in two regions.
    #[error("zone {0} is listed in two regions")]
    ZoneInTwoRegions(u16),
    /// There is no control machine.
    #[error("no control machine is listed")]
    NoControl,
}

/// A machine's position in the order of all machines; the smaller one is nearer to the control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rank {
    /// 0 for control machines, 1 for representatives, then the levels of the tree.
    level: u16,
    /// The position in the zone's order; the machine's number for control machines.
    position: u16,
    zone: u16,
}

/// The order of all machines.
#[derive(Clone, Debug)]
pub struct Topology {
    machines: BTreeMap<Peer, (Machine, Rank)>,
    controls: Vec<Machine>,
    /// The relays of each zone in their order.
    zones: BTreeMap<Place, Vec<Peer>>,
}

impl Topology {
    /// The order of these machines; it does not depend on how they are listed.
    ///
    /// # Errors
    /// If a machine is listed twice, a zone in two regions, or no control machine at all.
    pub fn new(machines: &[Machine]) -> Result<Self, TopologyError> {
        check(machines)?;
        let mut controls: Vec<Machine> =
            machines.iter().copied().filter(|machine| machine.role == Role::Control).collect();
        controls.sort_by_key(|machine| machine.peer);
        let mut zones: BTreeMap<Place, Vec<Peer>> = BTreeMap::new();
        for machine in machines.iter().filter(|machine| machine.role == Role::Relay) {
            zones.entry(machine.place).or_default().push(machine.peer);
        }
        for (place, relays) in &mut zones {
            relays.sort_by_key(|peer| (rendezvous(i64::from(place.zone), *peer), *peer));
        }
        let mut ranks: BTreeMap<Peer, Rank> = controls
            .iter()
            .map(|machine| (machine.peer, Rank { level: 0, position: machine.peer, zone: 0 }))
            .collect();
        for (place, relays) in &zones {
            for (position, peer) in relays.iter().enumerate() {
                let level = 1 + level_of(position) as u16;
                ranks.insert(*peer, Rank { level, position: position as u16, zone: place.zone });
            }
        }
        let ranked = |machine: &Machine| Some((machine.peer, (*machine, *ranks.get(&machine.peer)?)));
        Ok(Topology { machines: machines.iter().filter_map(ranked).collect(), controls, zones })
    }

    /// The machine of that number.
    pub fn machine(&self, peer: Peer) -> Option<&Machine> {
        self.machines.get(&peer).map(|(machine, _)| machine)
    }

    /// All machines, in the order of their numbers.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().map(|(machine, _)| machine)
    }

    /// The relays of a zone in their order, the representatives first.
    pub fn zone(&self, place: Place) -> &[Peer] {
        self.zones.get(&place).map_or(&[], Vec::as_slice)
    }

    /// Whether that relay is a representative of its zone.
    pub fn is_representative(&self, peer: Peer) -> bool {
        self.machines.get(&peer).is_some_and(|(_, rank)| rank.level == 1)
    }

    /// Whether `upstream` stands strictly before `subscriber`, which is when it may serve it.
    pub fn may_serve(&self, upstream: Peer, subscriber: Peer) -> bool {
        let rank = |peer| self.machines.get(&peer).map(|(_, rank)| *rank);
        rank(upstream).zip(rank(subscriber)).is_some_and(|(upstream, subscriber)| upstream < subscriber)
    }

    /// A relay's candidates for an upstream, the best first. A control machine has none.
    pub fn candidates(&self, peer: Peer) -> Vec<Peer> {
        let Some((machine, rank)) = self.machines.get(&peer) else { return Vec::new() };
        if machine.role == Role::Control {
            return Vec::new();
        }
        let order = self.zone(machine.place);
        let position = usize::from(rank.position);
        let mut candidates = Vec::new();
        if position >= REPRESENTATIVES {
            candidates.extend(parents(order, position));
            candidates.extend(rotated(order.get(..REPRESENTATIVES).unwrap_or(order), position));
        }
        candidates.extend(self.controls_for(machine, position));
        candidates.extend(self.representatives_elsewhere(machine, position));
        let level = levels(level_of(position)).0;
        let earlier = order.get(level..position).unwrap_or_default();
        candidates.extend(rotated(earlier, position).take(MOST_OF_A_KIND));
        let mut seen = Vec::new();
        candidates.retain(|candidate| {
            let fresh = self.may_serve(*candidate, peer) && !seen.contains(candidate);
            seen.push(*candidate);
            fresh
        });
        candidates
    }

    /// Control machines, those of the own region first; the others start at a different one for each relay.
    fn controls_for(&self, machine: &Machine, position: usize) -> impl Iterator<Item = Peer> {
        let near = self.controls.iter().filter(|control| control.place.region == machine.place.region);
        let far: Vec<Peer> = self
            .controls
            .iter()
            .filter(|control| control.place.region != machine.place.region)
            .map(|control| control.peer)
            .collect();
        let start = position + usize::from(machine.place.zone);
        let near: Vec<Peer> = near.map(|control| control.peer).collect();
        let rotate = |peers: Vec<Peer>| rotated(&peers, start).collect::<Vec<Peer>>();
        rotate(near).into_iter().chain(rotate(far))
    }

    /// Representatives of other zones, those of the own region first.
    fn representatives_elsewhere(&self, machine: &Machine, position: usize) -> Vec<Peer> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (place, relays) in self.zones.iter().filter(|(place, _)| **place != machine.place) {
            let list = if place.region == machine.place.region { &mut near } else { &mut far };
            list.extend(relays.iter().take(REPRESENTATIVES));
        }
        let before = |peers: Vec<Peer>| -> Vec<Peer> {
            rotated(&peers, position)
                .filter(|peer| self.may_serve(*peer, machine.peer))
                .take(MOST_OF_A_KIND / 2)
                .collect()
        };
        [before(near), before(far)].concat()
    }
}

fn check(machines: &[Machine]) -> Result<(), TopologyError> {
    let mut seen = BTreeMap::new();
    let mut regions = BTreeMap::new();
    for machine in machines {
        if seen.insert(machine.peer, ()).is_some() {
            return Err(TopologyError::Doubled(machine.peer));
        }
        let region = *regions.entry(machine.place.zone).or_insert(machine.place.region);
        if region != machine.place.region {
            return Err(TopologyError::ZoneInTwoRegions(machine.place.zone));
        }
    }
    let control = machines.iter().any(|machine| machine.role == Role::Control);
    if control { Ok(()) } else { Err(TopologyError::NoControl) }
}

/// The first position of a level, 0 being that of the representatives, and how many positions it has.
fn levels(level: usize) -> (usize, usize) {
    let (mut start, mut width) = (0, REPRESENTATIVES);
    for _ in 0..level {
        (start, width) = (start + width, width * ARITY);
    }
    (start, width)
}

/// The level of a position in its zone.
fn level_of(position: usize) -> usize {
    (0..).find(|level| position < levels(*level).0 + levels(*level).1).unwrap_or(0)
}

/// Relays one level above a position, beginning at a different one for each, so that they share their subscribers evenly.
fn parents(order: &[Peer], position: usize) -> impl Iterator<Item = Peer> {
    let level = level_of(position);
    let (start, width) = levels(level.saturating_sub(1));
    let above = order.get(start..start + width).unwrap_or_default();
    rotated(above, position - levels(level).0).take(MOST_OF_A_KIND)
}

/// All of a list, from one of its places around.
fn rotated(peers: &[Peer], start: usize) -> impl Iterator<Item = Peer> {
    let start = if peers.is_empty() { 0 } else { start % peers.len() };
    let (tail, head) = peers.split_at(start);
    head.iter().chain(tail).copied()
}
