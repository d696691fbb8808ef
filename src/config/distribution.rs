//! The `[configuration]` table of an operator's file: from which control machines a relay takes the destination set, by which
//! keys they sign it, and the place of every machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use destinations::{ControlKeys, MAX_CONTROL_KEYS};
use fleet::Peer;
use rollout::topology::{Machine, Place, Role, Topology};
use serde_json::Value;

use super::error::{ConfigError, bad};
use super::limits::Limits;
use super::operator::Table;
use crate::fleet::{DistributionSetup, Setup};

/// Bytes of a public key, each two hex digits.
const KEY_BYTES: usize = 32;
/// The part of the disk for the set's file. There are two while one takes the place of the other.
const FILE_PART: u64 = 16;

/// The part that the files of the set take of the disk, in bytes; nothing where there is no such table.
pub(super) fn files_room(fleet: Option<&Setup>) -> u64 {
    let distribution = fleet.and_then(|fleet| fleet.distribution.as_ref());
    distribution.map_or(0, |distribution| 2 * distribution.file_room)
}

/// Reads the table into the relay's part in its fleet, which it needs.
///
/// # Errors
/// The first key that is missing, wrong or not known; a relay without a place or with two.
pub(super) fn read(table: &Table, fleet: Option<&mut Setup>, limits: Limits) -> Result<(), ConfigError> {
    let Some(fleet) = fleet else {
        return Err(bad("configuration", "needs [peers], on whose link changes come"));
    };
    let keys = read_keys(table)?;
    let zones = read_zones(table)?;
    let controls = read_controls(table, &zones, fleet)?;
    table.finish()?;
    let places = places(&zones, fleet.all.len())?;
    let relays = (0..).zip(&places).map(|(peer, place)| Machine { peer, place: *place, role: Role::Relay });
    let first_control = Peer::try_from(fleet.all.len()).unwrap_or(Peer::MAX);
    let controls_placed = (first_control..=Peer::MAX).zip(&controls);
    let controls_placed =
        controls_placed.map(|(peer, (_, place))| Machine { peer, place: *place, role: Role::Control });
    let machines: Vec<Machine> = relays.chain(controls_placed).collect();
    let topology = Topology::new(&machines).map_err(|error| bad("configuration", error.to_string()))?;
    fleet.distribution = Some(DistributionSetup {
        controls: controls.into_iter().map(|(address, _)| address).collect(),
        topology: Arc::new(topology),
        keys,
        file_room: limits.disk / FILE_PART,
    });
    Ok(())
}

fn read_keys(table: &Table) -> Result<ControlKeys, ConfigError> {
    let found = table.get("keys").ok_or_else(|| table.bad("keys", "is missing"))?;
    let expected = || {
        let digits = 2 * KEY_BYTES;
        table.bad("keys", format!("expected 1 to {MAX_CONTROL_KEYS} texts of {digits} hex digits"))
    };
    let texts = found.as_array().filter(|texts| !texts.is_empty()).ok_or_else(expected)?;
    let key = |text: &Value| {
        let wrong = || table.bad("keys", format!("has {text}, expected {} hex digits", 2 * KEY_BYTES));
        text.as_str().and_then(key_of_hex).ok_or_else(wrong)
    };
    let keys: Vec<[u8; KEY_BYTES]> = texts.iter().map(key).collect::<Result<_, _>>()?;
    ControlKeys::new(&keys).map_err(|error| table.bad("keys", error.to_string()))
}

fn key_of_hex(text: &str) -> Option<[u8; KEY_BYTES]> {
    if text.len() != 2 * KEY_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let byte = |index: usize| u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..KEY_BYTES).map(byte).collect();
    bytes?.try_into().ok()
}

/// A zone, and the relays in it.
struct Zone<'a> {
    table: Table<'a>,
    region: String,
    place: Place,
    first: usize,
    count: usize,
}

/// The zones, and the regions in which they lie, numbered in the order of the file.
fn read_zones<'a>(table: &Table<'a>) -> Result<Vec<Zone<'a>>, ConfigError> {
    let mut regions: BTreeMap<&str, u8> = BTreeMap::new();
    let mut names: Vec<&str> = Vec::new();
    let mut zones = Vec::new();
    for (zone, entry) in (0..=u16::MAX).zip(table.tables("zone")?) {
        let name = entry.text("name")?;
        if names.contains(&name) {
            return Err(entry.bad("name", format!("{name:?} is there twice")));
        }
        names.push(name);
        let region_name = entry.text("region")?;
        let next = u8::try_from(regions.len()).map_err(|_| entry.bad("region", "is one of more than 256"))?;
        let region = *regions.entry(region_name).or_insert(next);
        let relays = entry.table("relays")?.ok_or_else(|| entry.bad("relays", "is missing"))?;
        let first = relays.number("first", 0.0, None)? as usize;
        let count = relays.number("count", 1.0, None)? as usize;
        relays.finish()?;
        entry.finish()?;
        let place = Place { region, zone };
        zones.push(Zone { table: entry, region: region_name.into(), place, first, count });
    }
    if zones.is_empty() { Err(table.bad("zone", "is missing")) } else { Ok(zones) }
}

/// Where control machines hear notes, and the place of each. They have no zone: each has one of its own, after those of the
/// relays, so that a zone lies in one region.
fn read_controls(
    table: &Table, zones: &[Zone], fleet: &Setup,
) -> Result<Vec<(SocketAddr, Place)>, ConfigError> {
    let mut controls: Vec<(SocketAddr, Place)> = Vec::new();
    for (index, entry) in table.tables("control")?.into_iter().enumerate() {
        let address = entry.address("address")?.ok_or_else(|| entry.bad("address", "is missing"))?;
        if fleet.all.contains(&address) || controls.iter().any(|(other, _)| *other == address) {
            return Err(entry.bad("address", format!("{address} is another machine's already")));
        }
        let name = entry.text("region")?;
        let zone = zones.iter().find(|zone| zone.region == name);
        let region = zone.ok_or_else(|| entry.bad("region", format!("{name:?} has no zone of this file")))?;
        let zone = u16::try_from(zones.len() + index).map_err(|_| entry.bad("address", "is one too many"))?;
        controls.push((address, Place { region: region.place.region, zone }));
        entry.finish()?;
    }
    if controls.is_empty() {
        return Err(table.bad("control", "is missing: no control machine is named"));
    }
    if fleet.all.len() + controls.len() > usize::from(Peer::MAX) {
        return Err(table.bad("control", format!("with the relays exceeds {} machines", Peer::MAX)));
    }
    Ok(controls)
}

/// The place of each relay, by its number.
fn places(zones: &[Zone], relays: usize) -> Result<Vec<Place>, ConfigError> {
    let mut places: Vec<Option<Place>> = vec![None; relays];
    for zone in zones {
        let wrong = |why: String| zone.table.bad("relays", why);
        let last = zone.first.saturating_add(zone.count);
        let members = places.get_mut(zone.first..last);
        let members =
            members.ok_or_else(|| wrong(format!("goes beyond the {relays} relays of peers.all")))?;
        for (peer, place) in (zone.first..).zip(members) {
            if place.replace(zone.place).is_some() {
                return Err(wrong(format!("has relay {peer}, which is in another zone already")));
            }
        }
    }
    let without = places.iter().position(Option::is_none);
    match without {
        Some(peer) => Err(bad("configuration.zone", format!("relay {peer} of peers.all is in no zone"))),
        None => Ok(places.into_iter().flatten().collect()),
    }
}
