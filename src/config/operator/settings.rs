//! The tables `class`, `tenant`, `destination` and `relay`: settings of the decision module and the destination set.
//!
//! They are converted to the platform's JSON form, so that one reader serves both sources.

use serde_json::{Value, json};

use crate::config::error::{ConfigError, bad};

use super::Table;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1000.0;
/// Maximum quota of a tenant where none is configured, in messages per second.
const DEFAULT_QUOTA_PER_S: f64 = 1e6;
/// Minimum rate of a destination, in calls per second.
const MIN_RATE_PER_S: f64 = 0.001;

/// Reads the settings of the decision module and the destination set, both in the platform's form.
pub(super) fn read(top: &Table) -> Result<(Value, Value), ConfigError> {
    let classes = read_classes(top)?;
    let tenants = read_tenants(top)?;
    let members = read_destinations(top)?;
    let settings = read_relay(top, &classes, &tenants)?;
    Ok((settings, json!({"revision": 0, "complete": true, "members": members})))
}

fn read_classes(top: &Table) -> Result<Vec<Value>, ConfigError> {
    top.tables("class")?.iter().map(read_class).collect()
}

fn read_class(class: &Table) -> Result<Value, ConfigError> {
    let (idempotency, window_ms) = read_idempotency(class)?;
    let aim_ms = class.number("aim_ms", 1.0, None)?;
    let deadline_ms = class.number("deadline_ms", aim_ms, None)?;
    let mut read = json!({
        "Name": class.text("name")?,
        "Idempotency": idempotency,
        "AimUs": (aim_ms * US_PER_MS) as i64,
        "DeadlineUs": (deadline_ms * US_PER_MS) as i64,
        "Value": class.number("worth", 0.0, Some(1.0))?,
        "LateWorth": class.number("late_worth", 0.0, Some(0.5))?,
    });
    if let Some(window_ms) = window_ms {
        read["DedupWindowUs"] = json!((window_ms * US_PER_MS) as i64);
    }
    class.finish()?;
    Ok(read)
}

/// Effect of a retry, as named in the platform's settings, and the time in milliseconds for which a destination drops retries
/// of a keyed message.
fn read_idempotency(class: &Table) -> Result<(&'static str, Option<f64>), ConfigError> {
    match class.text("effect")? {
        "repeatable" => Ok(("idempotent", None)),
        "once" => Ok(("at_most_once", None)),
        "keyed" => Ok(("deduplicated", Some(class.number("window_ms", 1.0, None)?))),
        other => Err(class.bad("effect", format!("is {other:?}, expected repeatable, once or keyed"))),
    }
}

fn read_tenants(top: &Table) -> Result<Vec<Value>, ConfigError> {
    top.tables("tenant")?.iter().map(read_tenant).collect()
}

fn read_tenant(tenant: &Table) -> Result<Value, ConfigError> {
    let quota = tenant.number("per_s", 0.0, Some(DEFAULT_QUOTA_PER_S))?;
    let read = json!({"Name": tenant.text("name")?, "QuotaPerS": quota});
    tenant.finish()?;
    Ok(read)
}

/// The endpoints of all destinations, as members of the destination set.
fn read_destinations(top: &Table) -> Result<Vec<Value>, ConfigError> {
    let mut members = Vec::new();
    for destination in top.tables("destination")? {
        members.append(&mut read_endpoints(&destination)?);
        destination.finish()?;
    }
    // With a replicated destination set, the list is used at the first start only, and may be empty.
    if members.is_empty() && top.get("configuration").is_none() {
        return Err(bad("destination", "is missing"));
    }
    Ok(members)
}

fn read_endpoints(destination: &Table) -> Result<Vec<Value>, ConfigError> {
    let cell = destination.number("number", 0.0, None)? as i64;
    let rate = destination.number("per_s", MIN_RATE_PER_S, None)?;
    let endpoints = destination.get("endpoints").and_then(Value::as_array);
    let endpoints = endpoints.filter(|endpoints| !endpoints.is_empty());
    let endpoints = endpoints.ok_or_else(|| destination.bad("endpoints", "is not a list of addresses"))?;
    endpoints.iter().map(|endpoint| read_endpoint(destination, endpoint, cell, rate)).collect()
}

fn read_endpoint(destination: &Table, endpoint: &Value, cell: i64, rate: f64) -> Result<Value, ConfigError> {
    let address = endpoint.as_str().filter(|address| address.contains(':'));
    let why = || format!("has {endpoint}, expected host:port");
    let address = address.ok_or_else(|| destination.bad("endpoints", why()))?;
    Ok(json!({
        "id": format!("{cell}@{address}"),
        "host_port": address,
        "locality": "here",
        "flavor": "partner",
        "cell": cell,
        "phase": "Ready",
        "size": rate,
    }))
}

/// The settings, with those of the optional table `relay`.
fn read_relay(top: &Table, classes: &[Value], tenants: &[Value]) -> Result<Value, ConfigError> {
    let empty = json!({});
    let table = top.table("relay")?;
    let without = Table::new(&empty, "relay")?;
    let relay = table.as_ref().unwrap_or(&without);
    let whole = |key, default| relay.number(key, 1.0, Some(default)).map(|number| number as i64);
    let ms = |key, default| relay.number(key, 1.0, Some(default)).map(|ms| (ms * US_PER_MS) as i64);
    let settings = json!({
        "Classes": classes,
        "Tenants": tenants,
        "HostTypes": ["partner"],
        "Zones": ["here"],
        "Weights": "nominal",
        "Domain": {"MaxCalls": whole("calls_at_once", 16.0)?, "Late": "by_half"},
        "Limits": {
            "OpenCap": whole("messages_held", 256.0)?,
            "MaxAttempts": whole("attempts", 12.0)?,
            "ConnectTimeoutUs": ms("connect_ms", 1000.0)?,
            "ConnIdleUs": ms("idle_ms", 15_000.0)?,
            "Cancel": true,
            "RetryAfter": true,
            "MaxRetryAfterUs": ms("retry_after_ms", 2000.0)?,
        },
        "PeersTotal": whole("relays", 1.0)?,
        // Conservative values: nothing is known of how the destinations recover.
        "Rules": {"ColdFrom": 0.2, "ColdUs": 10_000_000, "FallMultiple": 2.0, "OverloadForUs": 2_000_000,
            "StopSendingWithinUs": 1_000_000},
    });
    relay.finish()?;
    Ok(settings)
}
