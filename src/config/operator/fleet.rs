//! The table `peers`: membership in a fleet of relays.

use std::net::SocketAddr;
use std::path::Path;

use ::fleet::keys::{Key, Keys};
use permits::Sharing;
use serde_json::Value;

use crate::config::error::ConfigError;
use crate::config::fleet::{DEFAULT_BYTES_PER_S, parse_address, parse_zones};
use crate::fleet::{MaintenanceSetup, ObservationSetup, Setup};

use super::Table;

/// Minimum length of a key that authenticates messages between relays, in bytes.
const MIN_KEY_LENGTH: usize = 16;
/// Maximum id of such a key.
const MAX_KEY_ID: f64 = 255.0;
/// Minimum of the limit on messages to other relays, in bytes per second.
const MIN_BYTES_PER_S: f64 = 512.0;

/// Reads the table `peers`.
pub(super) fn read(table: &Table, folder: &Path) -> Result<Setup, ConfigError> {
    let listen = table.address("listen")?.ok_or_else(|| table.bad("listen", "is missing"))?;
    let all = read_relays(table)?;
    let me = table.number("me", 0.0, None)? as usize;
    if me >= all.len() {
        return Err(table.bad("me", format!("is {me}, but all has {} relays, counted from 0", all.len())));
    }
    let keys = read_keys(table, folder)?;
    let permits = read_permits(table)?;
    let repeats = read_repeats(table)?;
    let zones = parse_zones(table.get("zones"), all.len()).map_err(|why| table.bad("zones", why))?;
    let turns = read_seats(table)?.map(|seats| MaintenanceSetup { max_unavailable: seats, zones });
    let warm = table.get("warm_start").is_none_or(|value| value.as_bool() != Some(false));
    let setup = Setup {
        me: u16::try_from(me).map_err(|_| table.bad("me", "is over 65535"))?,
        listen,
        all,
        bytes_per_s: read_bytes_per_s(table)?,
        keys,
        permits,
        repeats,
        observations: Some(ObservationSetup { warm }),
        turns,
        distribution: None,
        control: table.maybe_text("control")?.map(|path| folder.join(path)),
    };
    table.finish()?;
    Ok(setup)
}

fn read_bytes_per_s(table: &Table) -> Result<u32, ConfigError> {
    let limit = table.number("bytes_per_s", MIN_BYTES_PER_S, Some(f64::from(DEFAULT_BYTES_PER_S)))?;
    Ok(limit as u32)
}

fn read_relays(table: &Table) -> Result<Vec<SocketAddr>, ConfigError> {
    let named = table.get("all").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    named.iter().map(|value| parse_address(value).map_err(|why| table.bad("all", why))).collect()
}

fn read_keys(table: &Table, folder: &Path) -> Result<Keys, ConfigError> {
    let mut keys = Vec::new();
    for key in table.tables("key")? {
        keys.push(read_key(&key, folder)?);
        key.finish()?;
    }
    Ok(Keys(keys))
}

fn read_key(table: &Table, folder: &Path) -> Result<Key, ConfigError> {
    let id = table.number("id", 1.0, None)?;
    let path = folder.join(table.text("file")?);
    let bytes = std::fs::read(&path).map_err(|error| table.unreadable("file", &path, error))?;
    if id > MAX_KEY_ID || bytes.len() < MIN_KEY_LENGTH {
        let why = format!("{}: expected {MIN_KEY_LENGTH} bytes or more, and an id up to 255", path.display());
        return Err(table.bad("file", why));
    }
    Ok(Key { id: id as u8, bytes })
}

fn read_permits(table: &Table) -> Result<Option<Sharing>, ConfigError> {
    match table.maybe_text("permits")?.unwrap_or("off") {
        "off" => Ok(None),
        "whole" => Ok(Some(Sharing::Whole)),
        "parts" => Ok(Some(Sharing::Shares)),
        other => Err(table.bad("permits", format!("is {other:?}, expected off, whole or parts"))),
    }
}

fn read_repeats(table: &Table) -> Result<bool, ConfigError> {
    match table.maybe_text("repeats")?.unwrap_or("off") {
        "off" => Ok(false),
        "shared" => Ok(true),
        other => Err(table.bad("repeats", format!("is {other:?}, expected off or shared"))),
    }
}

/// Maximum number of relays that may be unavailable for maintenance at once, if maintenance slots are on.
fn read_seats(table: &Table) -> Result<Option<u8>, ConfigError> {
    let Some(value) = table.get("turns") else { return Ok(None) };
    let seats = value.as_u64().and_then(|seats| u8::try_from(seats).ok()).filter(|seats| *seats > 0);
    seats.map(Some).ok_or_else(|| table.bad("turns", "expected how many may be out, 1 to 255"))
}
