//! The table `configuration` of an operator's file: the control machines that replicate the destination set to the relay, the
//! keys that sign it, and the zone and region of each machine.

use std::net::SocketAddr;
use std::sync::Arc;

use destinations::{ControlKeys, MAX_CONTROL_KEYS};
use rollout::layout::{Layout, LayoutError};
use serde_json::Value;

use super::error::{ConfigError, bad};
use super::limits::Limits;
use super::operator::Table;
use crate::fleet::{DistributionSetup, Setup};

/// Length of a public key in bytes, each written as two hex digits.
const KEY_BYTES: usize = 32;
/// The file of the destination set may take the disk limit divided by this. Two exist while one replaces the other.
const FILE_DIVISOR: u64 = 16;

/// Space for the files of the destination set, in bytes; zero without the table.
pub(super) fn files_room(fleet: Option<&Setup>) -> u64 {
    let distribution = fleet.and_then(|fleet| fleet.distribution.as_ref());
    distribution.map_or(0, |distribution| 2 * distribution.file_room)
}

/// Reads the table into the fleet's setup, which it requires.
///
/// # Errors
/// The first key that is missing, invalid or unknown; a relay that is in no zone, or in two.
pub(super) fn read(table: &Table, fleet: Option<&mut Setup>, limits: Limits) -> Result<(), ConfigError> {
    let Some(fleet) = fleet else {
        return Err(bad("configuration", "needs [peers], on whose link changes come"));
    };
    let keys = read_keys(table)?;
    let mut layout = Layout::new(fleet.all.len());
    read_zones(table, &mut layout)?;
    let controls = read_controls(table, &mut layout, fleet)?;
    table.finish()?;
    let topology = layout.topology().map_err(|error| match error {
        LayoutError::RelayWithoutZone(_) => bad("configuration.zone", error.to_string()),
        _ => bad("configuration", error.to_string()),
    })?;
    fleet.distribution = Some(DistributionSetup {
        controls,
        topology: Arc::new(topology),
        keys,
        file_room: limits.disk / FILE_DIVISOR,
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

/// Reads the zones and the relays in them, in the order of the file.
fn read_zones(table: &Table, layout: &mut Layout) -> Result<(), ConfigError> {
    let entries = table.tables("zone")?;
    for entry in &entries {
        let (name, region) = (entry.text("name")?, entry.text("region")?);
        let place = layout.add_zone(name, region).map_err(|error| match error {
            LayoutError::TooManyRegions => entry.bad("region", error.to_string()),
            _ => entry.bad("name", error.to_string()),
        })?;
        let relays = entry.table("relays")?.ok_or_else(|| entry.bad("relays", "is missing"))?;
        let first = relays.number("first", 0.0, None)? as usize;
        let count = relays.number("count", 1.0, None)? as usize;
        relays.finish()?;
        entry.finish()?;
        layout.place_relays(place, first, count).map_err(|error| entry.bad("relays", error.to_string()))?;
    }
    if entries.is_empty() { Err(table.bad("zone", "is missing")) } else { Ok(()) }
}

/// Reads the addresses on which control machines receive datagrams, in the order of the file.
fn read_controls(table: &Table, layout: &mut Layout, fleet: &Setup) -> Result<Vec<SocketAddr>, ConfigError> {
    let mut controls: Vec<SocketAddr> = Vec::new();
    for entry in table.tables("control")? {
        let address = entry.address("address")?.ok_or_else(|| entry.bad("address", "is missing"))?;
        if fleet.all.contains(&address) || controls.contains(&address) {
            return Err(entry.bad("address", format!("{address} is another machine's already")));
        }
        layout.add_control(entry.text("region")?).map_err(|error| match error {
            LayoutError::UnknownRegion(_) => entry.bad("region", error.to_string()),
            LayoutError::TooManyMachines => table.bad("control", error.to_string()),
            _ => entry.bad("address", error.to_string()),
        })?;
        // Only control machines use these keys; their files contain the same table.
        for key in ["consensus", "admin"] {
            entry.address(key)?;
        }
        controls.push(address);
        entry.finish()?;
    }
    if controls.is_empty() {
        Err(table.bad("control", "is missing: no control machine is named"))
    } else {
        Ok(controls)
    }
}
