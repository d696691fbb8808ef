//! How machines that an operator's file lists by name are numbered.
//!
//! The same lists give the same numbers on every machine, whoever reads them, so that relays and control machines agree on
//! the order of all machines (see [`crate::topology`]):
//!
//! - relays have the numbers of their list, from 0, and control machines those that follow, in the order of their list;
//! - zones are numbered from 0 in the order of their list, and regions in the order in which zones name them first;
//! - each control machine has a zone of its own after those of the relays, so that a zone lies in one region.

use std::collections::BTreeMap;

use fleet::Peer;

use crate::topology::{Machine, Place, Role, Topology, TopologyError};

/// Regions that can be numbered.
const MAX_REGIONS: usize = 256;

/// Why machines cannot be numbered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// Two zones have the same name.
    #[error("{0:?} is there twice")]
    DoubledZone(String),
    /// There are more regions than numbers for them.
    #[error("is one of more than {MAX_REGIONS}")]
    TooManyRegions,
    /// There are more zones, those of control machines included, than numbers for them.
    #[error("is one too many")]
    TooManyZones,
    /// There are more machines than numbers for them.
    #[error("with the relays exceeds {max} machines", max = Peer::MAX)]
    TooManyMachines,
    /// A zone names relays that are not listed.
    #[error("goes beyond the {0} relays of peers.all")]
    BeyondRelays(usize),
    /// A relay is in two zones.
    #[error("has relay {0}, which is in another zone already")]
    RelayInTwoZones(usize),
    /// A control machine is in a region of no zone.
    #[error("{0:?} has no zone of this file")]
    UnknownRegion(String),
    /// A relay is in no zone.
    #[error("relay {0} of peers.all is in no zone")]
    RelayWithoutZone(usize),
    /// The machines are not a topology.
    #[error(transparent)]
    Topology(#[from] TopologyError),
}

/// Numbers machines, first all zones and then all control machines, each in the order of its list.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The names of the zones, by their numbers.
    zones: Vec<String>,
    /// The regions that zones named, with their numbers.
    regions: BTreeMap<String, u8>,
    /// The place of each relay, by its number.
    relays: Vec<Option<Place>>,
    /// The place of each control machine, in their order.
    controls: Vec<Place>,
}

impl Layout {
    /// A fleet of so many relays, without zones.
    pub fn new(relays: usize) -> Self {
        Layout {
            zones: Vec::new(),
            regions: BTreeMap::new(),
            relays: vec![None; relays],
            controls: Vec::new(),
        }
    }

    /// Adds the next zone.
    ///
    /// # Errors
    /// If another zone has its name, or there is no number left for it or for its region.
    pub fn add_zone(&mut self, name: &str, region: &str) -> Result<Place, LayoutError> {
        if self.zones.iter().any(|other| other == name) {
            return Err(LayoutError::DoubledZone(name.to_owned()));
        }
        let zone = u16::try_from(self.zones.len()).map_err(|_| LayoutError::TooManyZones)?;
        let next = u8::try_from(self.regions.len());
        let region = match self.regions.get(region) {
            Some(number) => *number,
            None => *self
                .regions
                .entry(region.to_owned())
                .or_insert(next.map_err(|_| LayoutError::TooManyRegions)?),
        };
        self.zones.push(name.to_owned());
        Ok(Place { region, zone })
    }

    /// Puts `count` relays, from the number `first` on, into a zone.
    ///
    /// # Errors
    /// If one of them is not listed, or in another zone already; those before it are placed then.
    pub fn place_relays(&mut self, place: Place, first: usize, count: usize) -> Result<(), LayoutError> {
        let beyond = LayoutError::BeyondRelays(self.relays.len());
        let members = self.relays.get_mut(first..first.saturating_add(count)).ok_or(beyond)?;
        for (relay, member) in (first..).zip(members) {
            if member.replace(place).is_some() {
                return Err(LayoutError::RelayInTwoZones(relay));
            }
        }
        Ok(())
    }

    /// Adds the next control machine, and tells its number.
    ///
    /// # Errors
    /// If no zone names its region, or there is no number left for it.
    pub fn add_control(&mut self, region: &str) -> Result<Peer, LayoutError> {
        let region = self.regions.get(region).ok_or_else(|| LayoutError::UnknownRegion(region.to_owned()))?;
        let zone = self.zones.len() + self.controls.len();
        let zone = u16::try_from(zone).map_err(|_| LayoutError::TooManyZones)?;
        let peer = Peer::try_from(self.relays.len() + self.controls.len());
        let peer = peer.ok().filter(|peer| *peer < Peer::MAX).ok_or(LayoutError::TooManyMachines)?;
        self.controls.push(Place { region: *region, zone });
        Ok(peer)
    }

    /// The order of all machines.
    ///
    /// # Errors
    /// If a relay is in no zone, or there is no control machine.
    pub fn topology(&self) -> Result<Topology, LayoutError> {
        if let Some(relay) = self.relays.iter().position(Option::is_none) {
            return Err(LayoutError::RelayWithoutZone(relay));
        }
        let relays = self.relays.iter().flatten().map(|place| (*place, Role::Relay));
        let controls = self.controls.iter().map(|place| (*place, Role::Control));
        let numbered = (0..=Peer::MAX).zip(relays.chain(controls));
        let machines: Vec<Machine> =
            numbered.map(|(peer, (place, role))| Machine { peer, place, role }).collect();
        Ok(Topology::new(&machines)?)
    }
}
