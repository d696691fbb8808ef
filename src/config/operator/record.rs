//! The table `store`: the database in which the outcomes of messages are recorded.

use std::path::{Path, PathBuf};

use record::sql::{Server, Target, Tls};

use crate::config::Limits;
use crate::config::error::{ConfigError, bad};
use crate::interface::Micros;
use crate::recording::Recording;

use super::Table;
use super::table::DAY;

/// Minimum disk limit for a record in SQLite beside the journal, in bytes.
const MIN_DISK_FOR_SQLITE: u64 = 12_000_000;
/// File name of the record in SQLite, unless one is configured.
const DEFAULT_SQLITE_FILE: &str = "relay.sqlite";
/// Minimum time for which entries are kept, in days.
const MIN_KEEP_DAYS: f64 = 0.01;

/// The keys of the table that depend on the kind of database.
struct Keys<'a> {
    file: Option<&'a str>,
    url: Option<&'a str>,
    address: Option<&'a str>,
    ca_file: Option<PathBuf>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    password_file: Option<PathBuf>,
}

impl<'a> Keys<'a> {
    fn read(table: &Table<'a>, folder: &Path) -> Result<Self, ConfigError> {
        let path = |key| Ok::<_, ConfigError>(table.maybe_text(key)?.map(|name| folder.join(name)));
        Ok(Keys {
            file: table.maybe_text("file")?,
            url: table.maybe_text("url")?,
            address: table.maybe_text("address")?,
            ca_file: path("ca_file")?,
            certificate: path("certificate")?,
            key: path("key")?,
            password_file: path("password_file")?,
        })
    }
}

/// Reads the table `store`. `None` if only the journal is configured.
pub(super) fn read(
    table: &Table, folder: &Path, state: &Path, limits: Limits, environment: impl Fn(&str) -> Option<String>,
) -> Result<Option<Recording>, ConfigError> {
    let kind = table.text("kind")?;
    let keys = Keys::read(table, folder)?;
    let keep = read_keep(table)?;
    let drop_oldest = read_drop_oldest(table)?;
    table.finish()?;
    let target = match kind {
        "journal" => return Ok(None),
        "sqlite" => sqlite(&keys, state, limits)?,
        "postgres" => postgres(table, keys, environment)?,
        other => {
            return Err(table.bad("kind", format!("is {other:?}, expected journal, sqlite or postgres")));
        }
    };
    Ok(Some(Recording { target, keep, drop_oldest }))
}

fn read_keep(table: &Table) -> Result<Option<Micros>, ConfigError> {
    if table.get("keep_days").is_none() {
        return Ok(None);
    }
    let days = table.number("keep_days", MIN_KEEP_DAYS, None)?;
    Ok(Some((days * DAY as f64) as Micros))
}

fn read_drop_oldest(table: &Table) -> Result<bool, ConfigError> {
    match table.maybe_text("when_full")?.unwrap_or("drop-oldest") {
        "drop-oldest" => Ok(true),
        "refuse" => Ok(false),
        other => Err(table.bad("when_full", format!("is {other:?}, expected drop-oldest or refuse"))),
    }
}

/// The record in SQLite takes five eighths of the disk limit: a quarter is the journal's, and an eighth is left for
/// SQLite's write-ahead log.
fn sqlite(keys: &Keys, state: &Path, limits: Limits) -> Result<Target, ConfigError> {
    if limits.disk < MIN_DISK_FOR_SQLITE {
        let why = format!("leaves no room for a record in SQLite: {MIN_DISK_FOR_SQLITE} bytes are the least");
        return Err(bad("limits.disk_mb", why));
    }
    let file = state.join(keys.file.unwrap_or(DEFAULT_SQLITE_FILE));
    Ok(Target::Sqlite { file, most_bytes: Some(limits.disk / 8 * 5) })
}

/// A PostgreSQL server. The environment takes precedence, so that no password need be in a file.
fn postgres(
    table: &Table, keys: Keys, environment: impl Fn(&str) -> Option<String>,
) -> Result<Target, ConfigError> {
    let url = environment("TULIPFALL_POSTGRES").or(keys.url.or(keys.address).map(String::from));
    let url = url.ok_or_else(|| table.bad("url", "is missing, as is TULIPFALL_POSTGRES"))?;
    let from_file = keys.password_file.map(|file| read_password(table, &file)).transpose()?;
    let password = environment("TULIPFALL_POSTGRES_PASSWORD").or(from_file);
    let identity = client_identity(table, keys.certificate, keys.key)?;
    if keys.ca_file.is_none() && identity.is_some() {
        return Err(table.bad("ca_file", "is missing; certificate is set"));
    }
    let tls = keys.ca_file.map(|authority| Tls { authority, identity });
    if let Some(tls) = &tls {
        tls.load().map_err(|why| table.bad("ca_file", why))?;
    }
    let server = Server::parse(&url, password, tls).map_err(|why| table.bad("url", why))?;
    Ok(Target::Postgres(Box::new(server)))
}

fn read_password(table: &Table, file: &Path) -> Result<String, ConfigError> {
    let text =
        std::fs::read_to_string(file).map_err(|error| table.unreadable("password_file", file, error))?;
    Ok(text.trim_end_matches(['\r', '\n']).to_string())
}

/// The client certificate and its key, which must both be set or neither.
fn client_identity(
    table: &Table, certificate: Option<PathBuf>, key: Option<PathBuf>,
) -> Result<Option<(PathBuf, PathBuf)>, ConfigError> {
    match (certificate, key) {
        (None, None) => Ok(None),
        (Some(certificate), Some(key)) => Ok(Some((certificate, key))),
        (Some(_), None) => Err(table.bad("key", "is missing; certificate is set")),
        (None, Some(_)) => Err(table.bad("certificate", "is missing; key is set")),
    }
}
