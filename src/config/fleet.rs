//! What both configuration sources share for membership in a fleet.

use std::net::SocketAddr;

use permits::Sharing;
use serde_json::Value;

use crate::fleet::Setup;
use crate::interface::Settings;

/// Default limit on messages to other relays, in bytes per second.
pub(super) const DEFAULT_BYTES_PER_S: u32 = 4000;

/// Parses an address that is an item of a list.
pub(super) fn parse_address(value: &Value) -> Result<SocketAddr, String> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| format!("has {value}, expected address:port"))
}

/// Parses the zone of each relay, by the relay's number: one entry per relay, or none at all.
pub(super) fn parse_zones(value: Option<&Value>, relays: usize) -> Result<Vec<u16>, String> {
    let Some(value) = value else { return Ok(Vec::new()) };
    let zone = |zone: &Value| zone.as_u64().and_then(|zone| u16::try_from(zone).ok());
    let zones: Option<Vec<u16>> = value.as_array().and_then(|zones| zones.iter().map(zone).collect());
    zones
        .filter(|zones| zones.len() == relays)
        .ok_or(format!("expected {relays} numbers up to 65535, one a relay"))
}

/// Enables in the module's settings what the fleet provides.
pub(super) fn apply_to_settings(fleet: Option<&Setup>, settings: &mut Settings) {
    let sharing = fleet.and_then(|fleet| fleet.permits);
    settings.coordinators = sharing.is_some();
    settings.shares = sharing == Some(Sharing::Parts);
    settings.retry_budget = fleet.is_some_and(|fleet| fleet.repeats);
}
