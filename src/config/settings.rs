//! Settings of the decision module, read from their JSON form.

use serde_json::Value;

use crate::interface::Settings;
use crate::wire::{self, Names};

use super::error::{ConfigError, bad};

/// Reads and checks the settings of the decision module, with the names in them.
pub(super) fn read_settings(settings: &Value) -> Result<(Settings, Names), ConfigError> {
    let mut pairs = Vec::new();
    flatten(settings, String::new(), &mut pairs);
    let (settings, names) = wire::settings(&pairs.join(" ")).map_err(|e| bad("settings", e.to_string()))?;
    settings.check().map_err(|error| bad("settings", error.to_string()))?;
    check_unique("class", names.classes())?;
    check_unique("tenant", names.tenants())?;
    Ok((settings, names))
}

fn check_unique(what: &str, names: &[String]) -> Result<(), ConfigError> {
    let mut numbered = names.iter().enumerate();
    match numbered.find(|(i, name)| names[..*i].contains(name)) {
        Some((_, name)) => Err(bad("settings", format!("{what} {name:?} is there twice"))),
        None => Ok(()),
    }
}

/// Turns nested settings into the `path=value` pairs of the simulator's first message, so that one parser serves
/// both.
fn flatten(value: &Value, path: String, pairs: &mut Vec<String>) {
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| flatten(value, under(key), pairs));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push(format!("{path}.count={}", items.len()));
            items.iter().enumerate().for_each(|(i, item)| flatten(item, under(&i.to_string()), pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push(format!("{path}={}", items.join(",")));
        }
        plain_value => pairs.push(format!("{path}={}", plain(plain_value))),
    }
}

/// A scalar as text, without the separators of the pairs.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
