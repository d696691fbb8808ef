//! An operator's configuration: one TOML file for each application.

mod as2;
mod fleet;
mod record;
mod settings;
mod table;

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

use crate::net::discovery::parse_list;

use super::distribution;
use super::error::{ConfigError, bad};
use super::fleet::apply_to_settings;
use super::settings::read_settings;
use super::{Config, Limits};

pub(super) use table::Table;

impl Config {
    /// Reads an operator's TOML file. Relative paths in it start at its folder.
    ///
    /// # Errors
    /// The first key that is missing, invalid or unknown.
    pub fn load_file(file: &Path, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let value = parse_file(file)?;
        let folder = file.parent().unwrap_or(Path::new("."));
        let config = Self::read_operator(&Table::new(&value, "")?, folder, environment)?;
        Ok(Config { source: value, ..config })
    }

    fn read_operator(
        top: &Table, folder: &Path, environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let name = top.text("name")?.to_string();
        let listen = top.address("listen")?.ok_or_else(|| top.bad("listen", "is missing"))?;
        let state = folder.join(top.text("state")?);
        let notices = top.address("notices")?;
        let ops = read_admin_address(top, &environment)?;
        let (settings, known) = settings::read(top)?;
        let (mut settings, names) = read_settings(&settings)?;
        let known = parse_list(&known).map_err(|why| bad("destination", why))?;
        let limits = Limits::from_operator(top)?;
        let mut fleet = top.table("peers")?.map(|table| fleet::read(&table, folder)).transpose()?;
        if let Some(table) = top.table("configuration")? {
            distribution::read(&table, fleet.as_mut(), limits)?;
        }
        let shared = Limits { disk: limits.disk - distribution::files_room(fleet.as_ref()), ..limits };
        let record = match top.table("store")? {
            Some(table) => record::read(&table, folder, &state, shared, &environment)?,
            None => None,
        };
        let cells = known.members.iter().map(|member| member.entry.cell()).collect();
        let context = as2::Context { folder, settings: &settings, names: &names, cells };
        let as2 = top.table("as2")?.map(|table| as2::read(&table, &context)).transpose()?;
        top.finish()?;
        apply_to_settings(fleet.as_ref(), &mut settings);
        Ok(Config {
            name,
            listen,
            accept: environment("PROXY_ACCEPT_FD"),
            ops,
            discovery: None,
            notices,
            record,
            fleet,
            as2,
            state,
            seed: 0,
            limits,
            settings,
            names,
            known: Some(known),
            source: Value::Null,
        })
    }
}

/// Parses a TOML file into the JSON form in which it is read.
fn parse_file(file: &Path) -> Result<Value, ConfigError> {
    let unreadable =
        |why: String| ConfigError::File { file: file.display().to_string(), why: why.trim().to_string() };
    let text = std::fs::read_to_string(file)
        .map_err(|error| ConfigError::Unreadable { file: file.display().to_string(), error })?;
    let value: toml::Value = toml::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
    serde_json::to_value(value).map_err(|error| unreadable(error.to_string()))
}

/// The address of the admin endpoint, for which the environment takes precedence.
fn read_admin_address(
    top: &Table, environment: impl Fn(&str) -> Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    // Read in any case, so that the key counts as known.
    let from_file = top.address("ops")?;
    let Some(text) = environment("PROXY_OPS") else { return Ok(from_file) };
    let address = text.parse().map(Some);
    address.map_err(|_| bad("PROXY_OPS", format!("is {text:?}, expected address:port")))
}
