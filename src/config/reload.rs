//! Reloading the configuration while a relay runs: which changes take effect at once, which need a restart, and
//! whether the new file is complete.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::input::Retuned;
use crate::interface::Settings;

use super::Config;
use super::error::{ConfigError, bad};

/// Top-level keys that a running process applies, or that count only at a start.
const RELOADABLE_KEYS: [&str; 6] = ["discovery", "notices", "known", "seed", "class", "tenant"];
/// Keys within tables that a running process applies. Must agree with [`Config::retuned`].
const RELOADABLE_IN_TABLES: [(&str, &[&str]); 2] = [
    (
        "settings",
        &[
            "Classes",
            "Tenants",
            "OverShareWorth",
            "Rules",
            "Domain.Late",
            "Limits.OpenCap",
            "Limits.MaxAttempts",
            "Limits.Cancel",
            "Limits.RetryAfter",
            "Limits.MaxRetryAfterUs",
        ],
    ),
    ("relay", &["messages_held", "attempts", "retry_after_ms"]),
];
/// Top-level keys that a reloaded file may omit.
const OPTIONAL_AT_RELOAD: [&str; 2] = ["known", "seed"];

impl Config {
    /// The settings that a process started with `start` applies at a reload: all but those on which its connections,
    /// its peers and the destination set were built.
    pub fn retuned(&self, start: &Config) -> Retuned {
        let fixed = start.settings.clone();
        let settings = Settings {
            kinds: fixed.kinds,
            senders: fixed.senders,
            connect_timeout: fixed.connect_timeout,
            idle_timeout: fixed.idle_timeout,
            probes: fixed.probes,
            listed_rates: fixed.listed_rates,
            coordinators: fixed.coordinators,
            shares: fixed.shares,
            retry_budget: fixed.retry_budget,
            list_request_interval: fixed.list_request_interval,
            zone_fee: fixed.zone_fee,
            // Descriptors were allotted by the initial number, so it can only be lowered.
            slots: self.settings.slots.min(fixed.slots),
            ..self.settings.clone()
        };
        Retuned { settings, classes: self.names.classes().to_vec(), tenants: self.names.tenants().to_vec() }
    }

    /// Checks that this file, read while a process runs, is as complete as the one at the start. A key that is now
    /// missing or of another type indicates an interrupted edit, even where a start would accept it.
    ///
    /// # Errors
    /// The first such key.
    pub fn whole_beside(&self, start: &Config) -> Result<(), ConfigError> {
        check_complete(&start.source, &self.source, "")
    }

    /// The top-level keys in which `new` differs and which take effect only at the next start.
    pub fn need_a_start(&self, new: &Config) -> Vec<String> {
        let mut keys = self.top_level_keys();
        keys.append(&mut new.top_level_keys());
        keys.retain(|key| !RELOADABLE_KEYS.contains(&key.as_str()));
        keys.retain(|key| self.restart_part(key) != new.restart_part(key));
        keys.into_iter().collect()
    }

    fn top_level_keys(&self) -> BTreeSet<String> {
        self.source.as_object().into_iter().flat_map(|fields| fields.keys().cloned()).collect()
    }

    /// The value of a top-level key without what a reload applies: reloadable settings and the addresses of the
    /// other relays.
    fn restart_part(&self, key: &str) -> Option<Value> {
        let mut part = self.source.get(key).cloned();
        if let Some(Value::Object(fields)) = &mut part {
            remove_reloadable(key, fields);
        }
        match (key, &mut part) {
            ("peers", Some(Value::Object(fields))) => drop(fields.remove("all")),
            ("peers", Some(Value::Array(_))) => part = None,
            _ => {}
        }
        part
    }
}

/// Removes from a table the keys that a reload applies.
fn remove_reloadable(table: &str, fields: &mut Map<String, Value>) {
    let Some((_, paths)) = RELOADABLE_IN_TABLES.iter().find(|(name, _)| *name == table) else { return };
    for path in *paths {
        match path.split_once('.') {
            None => drop(fields.remove(*path)),
            Some((inner, key)) => {
                if let Some(Value::Object(inner)) = fields.get_mut(inner) {
                    inner.remove(key);
                }
            }
        }
    }
}

/// Checks that `new` has every key of `old`, with a value of the same type.
fn check_complete(old: &Value, new: &Value, path: &str) -> Result<(), ConfigError> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => check_fields(old, new, path),
        (Value::Array(old), Value::Array(new)) if old.iter().any(Value::is_object) => {
            check_tables(old, new, path)
        }
        (Value::Null, _) => Ok(()),
        (old, new) if std::mem::discriminant(old) == std::mem::discriminant(new) => Ok(()),
        (old, new) => Err(bad(path, format!("is {new}, and was {old} at the start"))),
    }
}

fn check_fields(old: &Map<String, Value>, new: &Map<String, Value>, path: &str) -> Result<(), ConfigError> {
    let optional = |key: &String| path.is_empty() && OPTIONAL_AT_RELOAD.contains(&key.as_str());
    for (key, old) in old.iter().filter(|(key, _)| !optional(key)) {
        let inner = join(path, key);
        match new.get(key) {
            Some(new) => check_complete(old, new, &inner)?,
            None => return Err(bad(&inner, "is missing, and was there at the start")),
        }
    }
    Ok(())
}

/// Each new entry of a list of tables needs the keys that all old entries had in common.
fn check_tables(old: &[Value], new: &[Value], path: &str) -> Result<(), ConfigError> {
    if new.is_empty() {
        return Err(bad(path, "is empty, and was not at the start"));
    }
    let mut tables = old.iter().filter_map(Value::as_object);
    let mut common = tables.next().cloned().unwrap_or_default();
    tables.for_each(|table| common.retain(|key, _| table.contains_key(key)));
    let common = Value::Object(common);
    let mut entries = new.iter().enumerate();
    entries.try_for_each(|(i, new)| check_complete(&common, new, &join(path, &i.to_string())))
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}
