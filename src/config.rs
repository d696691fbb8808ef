//! Configuration: the one place where it is read, checked and given defaults. Owns the reading of the
//! environment and of JSON, and turns them into the few values that the program uses; a message names the
//! faulty key. Tells what a file that was replaced changes. It must never start anything.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use openssl::pkey::PKey;
use openssl::x509::X509;
use serde_json::{Value, json};

use fleet::keys::{Key, Keys};
use permits::Sharing;
use record::sql::{Server, Target, Tls};

use crate::as2::{HandsIn, Identity, Partner};
use crate::fleet::{FactsSetup, Setup, TurnsSetup};
use crate::input::Retuned;
use crate::interface::{Micros, Settings};
use crate::net::discovery::{Told, told};
use crate::recording::Recording;
use crate::store::{Room, TO_END, TO_END_RECORDED};
use crate::wire::{self, Names};

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{file}: {why}")]
    File {
        /// The file.
        file: String,
        /// What stands against it.
        why: String,
    },
    /// A key is missing or wrong.
    #[error("{key}: {why}")]
    Key {
        /// Its path.
        key: String,
        /// What is wrong.
        why: String,
    },
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Bytes in the folder that lasts.
    pub disk: u64,
    /// Bytes of memory.
    pub memory: usize,
}

/// The AS2 front.
#[derive(Debug)]
pub struct As2Config {
    /// Where partners connect.
    pub listen: SocketAddr,
    /// Who the relay is to them, and who they are.
    pub identity: Identity,
}

/// All that a relay is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The relay's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The number of the descriptor on which clients' connections come, where this process was started with one.
    pub accept: Option<String>,
    /// Where operators ask and order; without it there is no such door.
    pub ops: Option<SocketAddr>,
    /// The platform's agent, which tells the destination set.
    pub discovery: Option<SocketAddr>,
    /// Who is told of ends other than deliveries; without one they are recorded and logged.
    pub notices: Option<SocketAddr>,
    /// Where ends are recorded, if they are.
    pub record: Option<Recording>,
    /// Its part in its fleet: permits where the platform lets relays send notes, and what an operator's file sets up.
    pub fleet: Option<Setup>,
    /// The AS2 front, off unless an operator's file sets it up.
    pub as2: Option<As2Config>,
    /// The folder that lasts.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The module's settings.
    pub settings: Settings,
    /// And the names in them.
    pub names: Names,
    /// The destination set as last held.
    pub known: Option<Told>,
    /// The file as it was read.
    source: Value,
}

/// Keys of the file that a running process takes on, or that count at a start alone.
const TAKEN_ON: [&str; 6] = ["discovery", "notices", "known", "seed", "class", "tenant"];
/// And within these tables; `config.rs` and the module agree on what that is in [`Config::retuned`].
const RETUNED: [(&str, &[&str]); 2] = [
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
/// Keys that a file which is read again may do without.
const MAY_GO: [&str; 2] = ["known", "seed"];

/// Sockets where no limit is told.
const SOCKETS: u64 = 1024;
/// Megabytes on the disk and in memory where no limit is told.
const DISK_MB: f64 = 64.0;
const MEMORY_MB: f64 = 192.0;
/// Days for which receipts are remembered.
const KEEP_DAYS: f64 = 30.0;
const DAY: Micros = 86_400_000_000;
/// The least disk for a record in SQLite beside the journal, in bytes.
const LEAST_DISK: u64 = 12_000_000;
/// Of the disk, this part at most is the snapshot of facts.
const SNAPSHOT_PART: u64 = 32;
/// Bytes of notes a second, where nothing else is said.
const NOTES_PER_S: u32 = 4000;
/// A megabyte, by the smaller reading.
const MB: f64 = 1e6;

fn bad(key: &str, why: impl Into<String>) -> ConfigError {
    ConfigError::Key { key: key.into(), why: why.into() }
}

impl Config {
    /// The room of the journal: all of the disk, but for what a record in SQLite and the snapshot of facts take of
    /// it.
    pub fn journal_room(&self) -> Room {
        let disk = self.limits.disk - if self.facts() { 2 * self.snapshot_room() } else { 0 };
        match &self.record {
            None => Room { limit: disk, to_end: TO_END },
            Some(Recording { target: Target::Sqlite { .. }, .. }) => {
                Room { limit: disk / 4, to_end: TO_END_RECORDED }
            }
            Some(_) => Room { limit: disk, to_end: TO_END_RECORDED },
        }
    }

    /// Whether it tells peers what it sees, and keeps what it hears.
    fn facts(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.facts.is_some())
    }

    /// The most bytes of the snapshot of facts; there are two while one takes the other's place.
    pub fn snapshot_room(&self) -> u64 {
        self.limits.disk / SNAPSHOT_PART
    }

    /// What a running process takes on of these settings, which was started with others: all but what its connections,
    /// its peers and the destination set were built on.
    pub fn retuned(&self, start: &Config) -> Retuned {
        let Settings { kinds, senders, connect_timeout, connection_idle, probes, .. } =
            start.settings.clone();
        let Settings { listed_rates, stewards, shares, repeats, ask_every, zone_fee, slots, .. } =
            start.settings.clone();
        let settings = Settings {
            kinds,
            senders,
            connect_timeout,
            connection_idle,
            probes,
            listed_rates,
            stewards,
            shares,
            repeats,
            ask_every,
            zone_fee,
            // Descriptors were shared out by them at the start: fewer may be used, more may not.
            slots: self.settings.slots.min(slots),
            ..self.settings.clone()
        };
        Retuned { settings, classes: self.names.classes().to_vec(), tenants: self.names.tenants().to_vec() }
    }

    /// Whether this file, read while a process runs, is as whole as the one it was started with: a key that is missing
    /// now, or is of another type, is what an interrupted edit leaves, also where a start would do without it.
    ///
    /// # Errors
    /// The first such key.
    pub fn whole_beside(&self, start: &Config) -> Result<(), ConfigError> {
        whole(&start.source, &self.source, "")
    }

    /// The keys in which `new` differs and which count only from the next start on.
    pub fn need_a_start(&self, new: &Config) -> Vec<String> {
        let keys = |config: &Config| {
            config.source.as_object().into_iter().flat_map(|fields| fields.keys().cloned()).collect()
        };
        let mut all: BTreeSet<String> = keys(self);
        all.append(&mut keys(new));
        all.retain(|key| !TAKEN_ON.contains(&key.as_str()) && self.needing(key) != new.needing(key));
        all.into_iter().collect()
    }

    /// What stands under a key, but for what a reload takes on of it: the addresses of the other relays.
    fn needing(&self, key: &str) -> Option<Value> {
        let mut part = self.source.get(key).cloned();
        if let Some(Value::Object(fields)) = &mut part
            && let Some((_, taken)) = RETUNED.iter().find(|(table, _)| *table == key)
        {
            for path in *taken {
                match path.split_once('.') {
                    None => drop(fields.remove(*path)),
                    Some((table, key)) => {
                        if let Some(Value::Object(fields)) = fields.get_mut(table) {
                            fields.remove(key);
                        }
                    }
                }
            }
        }
        match (key, &mut part) {
            ("peers", Some(Value::Object(fields))) => drop(fields.remove("all")),
            ("peers", Some(Value::Array(_))) => part = None,
            _ => {}
        }
        part
    }

    /// Reads the file that `PROXY_CONFIG` names, and the environment, which goes first.
    ///
    /// # Errors
    /// The first key that is missing or wrong.
    pub fn load(environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file = environment("PROXY_CONFIG").ok_or_else(|| bad("PROXY_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&file)
            .map_err(|error| ConfigError::File { file: file.clone(), why: error.to_string() })?;
        let value = serde_json::from_str(&text)
            .map_err(|error| ConfigError::File { file, why: error.to_string() })?;
        Self::read(&value, environment)
    }

    /// Reads a configuration; the environment goes first.
    ///
    /// # Errors
    /// The first key that is missing or wrong.
    pub fn read(value: &Value, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let text = |variable: &str, key: &str| {
            let found = value.get(key).map(|found| found.as_str().map(String::from));
            match (environment(variable), found) {
                (Some(text), _) | (None, Some(Some(text))) => Ok(Some(text)),
                (None, None) => Ok(None),
                (None, Some(None)) => Err(bad(key, "is not a text")),
            }
        };
        let address = |variable: &str, key: &str| {
            let found = text(variable, key)?;
            let parsed = found.map(|found| found.parse::<SocketAddr>().map_err(|_| found));
            let at_fault = if environment(variable).is_some() { variable } else { key };
            parsed.transpose().map_err(|found| bad(at_fault, format!("is {found:?}, expected address:port")))
        };
        let listen = address("PROXY_LISTEN", "listen")?.ok_or_else(|| bad("listen", "is missing"))?;
        let state = text("PROXY_STATE", "state")?.ok_or_else(|| bad("PROXY_STATE", "is not set"))?;
        let seed = value.get("seed").and_then(Value::as_str).unwrap_or_default();
        let seed = match seed {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|_| bad("seed", "is not a hexadecimal number"))?,
        };
        let number = |key: &str, least: f64, default: f64| match value.pointer(&format!("/limits/{key}")) {
            None => Ok(default),
            Some(found) => found.as_f64().filter(|number| *number >= least).ok_or_else(|| {
                bad(&format!("limits.{key}"), format!("is {found}, expected {least} or more"))
            }),
        };
        let limits = Limits {
            sockets: number("sockets", 32.0, SOCKETS as f64)? as usize,
            disk: (number("disk_mb", 1.0, DISK_MB)? * MB) as u64,
            memory: (number("memory_mb", 16.0, MEMORY_MB)? * MB) as usize,
        };
        let settings = value.get("settings").ok_or_else(|| bad("settings", "is missing"))?;
        let (mut settings, names) = read_settings(settings)?;
        let facts = match environment("TULIPFALL_NOTES").as_deref() {
            None | Some("off") => false,
            Some("on") => true,
            Some(other) => return Err(bad("TULIPFALL_NOTES", format!("is {other:?}, expected on or off"))),
        };
        let permits = match environment("TULIPFALL_PERMITS").as_deref() {
            Some("off") => None,
            None | Some("on") => Some(Sharing::Whole),
            Some("parts") => Some(Sharing::Parts),
            Some(other) => {
                return Err(bad("TULIPFALL_PERMITS", format!("is {other:?}, expected on, parts or off")));
            }
        };
        let seats = match environment("TULIPFALL_TURNS").as_deref() {
            None | Some("off") => None,
            Some(seats) => Some(seats.parse::<u8>().ok().filter(|seats| *seats > 0).ok_or_else(|| {
                bad(
                    "TULIPFALL_TURNS",
                    format!("is {seats:?}, expected off, or how many may be out, 1 to 255"),
                )
            })?),
        };
        let repeats = match environment("TULIPFALL_REPEATS").as_deref() {
            None | Some("off") => false,
            Some("shared") => true,
            Some(other) => {
                return Err(bad("TULIPFALL_REPEATS", format!("is {other:?}, expected shared or off")));
            }
        };
        let control = environment("TULIPFALL_CONTROL").map(PathBuf::from);
        let fleet = platform_fleet(value, (permits, facts, seats, repeats), control)?;
        (settings.stewards, settings.shares) = shared(fleet.as_ref());
        settings.repeats = fleet.as_ref().is_some_and(|fleet| fleet.repeats);
        let known = value.get("known").filter(|known| !known.is_null());
        let known = known.map(told).transpose().map_err(|why| bad("known", why))?;
        let discovery = address("PROXY_DISCOVERY", "discovery")?;
        Ok(Config {
            name: text("PROXY_NAME", "name")?.unwrap_or_else(|| "relay".into()),
            listen,
            accept: environment("PROXY_ACCEPT_FD"),
            ops: address("PROXY_OPS", "ops")?,
            discovery,
            notices: discovery,
            record: None,
            fleet,
            as2: None,
            state: state.into(),
            seed,
            limits,
            settings,
            names,
            known,
            source: value.clone(),
        })
    }
}

/// Whether `new` has every key that `old` had, of the same type. The entries of a list of tables have what all of the
/// old ones had.
fn whole(old: &Value, new: &Value, path: &str) -> Result<(), ConfigError> {
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old
            .iter()
            .filter(|(key, _)| !(path.is_empty() && MAY_GO.contains(&key.as_str())))
            .try_for_each(|(key, old)| match new.get(key) {
                Some(new) => whole(old, new, &under(key)),
                None => Err(bad(&under(key), "is missing, and was there at the start")),
            }),
        (Value::Array(old), Value::Array(new)) if old.iter().any(Value::is_object) => {
            if new.is_empty() {
                return Err(bad(path, "is empty, and was not at the start"));
            }
            let mut tables = old.iter().filter_map(Value::as_object);
            let mut common = tables.next().cloned().unwrap_or_default();
            tables.for_each(|table| common.retain(|key, _| table.contains_key(key)));
            let common = Value::Object(common);
            new.iter().enumerate().try_for_each(|(i, new)| whole(&common, new, &under(&i.to_string())))
        }
        (Value::Null, _) => Ok(()),
        (old, new) if std::mem::discriminant(old) == std::mem::discriminant(new) => Ok(()),
        (old, new) => Err(bad(path, format!("is {new}, and was {old} at the start"))),
    }
}

fn read_settings(settings: &Value) -> Result<(Settings, Names), ConfigError> {
    let mut pairs = Vec::new();
    flatten(settings, String::new(), &mut pairs);
    let (settings, names) = wire::settings(&pairs.join(" ")).map_err(|e| bad("settings", e.to_string()))?;
    settings.check().map_err(|error| bad("settings", error.to_string()))?;
    let twice = |names: &[String]| {
        names.iter().enumerate().find(|(i, n)| names[..*i].contains(n)).map(|(_, n)| n.clone())
    };
    for (what, names) in [("class", names.classes()), ("tenant", names.tenants())] {
        if let Some(name) = twice(names) {
            return Err(bad("settings", format!("{what} {name:?} is there twice")));
        }
    }
    Ok((settings, names))
}

/// Nested settings in the form of the simulator's first message, which has one reader for both.
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

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

// ---- the operator's file ----

/// One table of the operator's file. It remembers which keys were read, so that a misspelt one is named.
struct Table<'a> {
    value: &'a Value,
    path: String,
    read: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Table<'a> {
    fn new(value: &'a Value, path: &str) -> Result<Self, ConfigError> {
        if !value.is_object() {
            return Err(bad(path, "is not a table"));
        }
        Ok(Table { value, path: path.into(), read: RefCell::default() })
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }

    fn get(&self, key: &'static str) -> Option<&'a Value> {
        self.read.borrow_mut().insert(key);
        self.value.get(key)
    }

    fn bad(&self, key: &str, why: impl Into<String>) -> ConfigError {
        bad(&self.key(key), why)
    }

    fn maybe_text(&self, key: &'static str) -> Result<Option<&'a str>, ConfigError> {
        let found = self.get(key).map(|found| found.as_str().ok_or_else(|| self.bad(key, "is not a text")));
        found.transpose()
    }

    fn text(&self, key: &'static str) -> Result<&'a str, ConfigError> {
        self.maybe_text(key)?.filter(|text| !text.is_empty()).ok_or_else(|| self.bad(key, "is missing"))
    }

    fn address(&self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let text = self.maybe_text(key)?;
        let parsed = text.map(|text| {
            text.parse().map_err(|_| self.bad(key, format!("is {text:?}, expected address:port")))
        });
        parsed.transpose()
    }

    fn number(&self, key: &'static str, least: f64, default: Option<f64>) -> Result<f64, ConfigError> {
        let expected = |found: &str| self.bad(key, format!("is {found}, expected a number, {least} or more"));
        match self.get(key) {
            None => default.ok_or_else(|| expected("missing")),
            Some(found) => found
                .as_f64()
                .filter(|number| *number >= least && *number <= 1e12)
                .ok_or_else(|| expected(&found.to_string())),
        }
    }

    fn table(&self, key: &'static str) -> Result<Option<Table<'a>>, ConfigError> {
        self.get(key).map(|value| Table::new(value, &self.key(key))).transpose()
    }

    fn tables(&self, key: &'static str) -> Result<Vec<Table<'a>>, ConfigError> {
        let Some(found) = self.get(key) else { return Ok(vec![]) };
        let items = found.as_array().ok_or_else(|| self.bad(key, "is not a list of tables"))?;
        let path = |i| format!("{}.{i}", self.key(key));
        items.iter().enumerate().map(|(i, item)| Table::new(item, &path(i))).collect()
    }

    /// Every key was meant.
    fn finish(&self) -> Result<(), ConfigError> {
        let read = self.read.borrow();
        let mut keys = self.value.as_object().into_iter().flat_map(|fields| fields.keys());
        match keys.find(|key| !read.contains(key.as_str())) {
            Some(key) => {
                let known: Vec<&str> = read.iter().copied().collect();
                Err(self.bad(key, format!("is not known here; known are {}", known.join(", "))))
            }
            None => Ok(()),
        }
    }
}

impl Config {
    /// Reads an operator's file (TOML), one for each application.
    ///
    /// # Errors
    /// The first key that is missing, wrong or not known.
    pub fn load_file(file: &Path, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let unreadable =
            |why: String| ConfigError::File { file: file.display().to_string(), why: why.trim().to_string() };
        let text = std::fs::read_to_string(file).map_err(|error| unreadable(error.to_string()))?;
        let value: toml::Value = toml::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
        let value = serde_json::to_value(value).map_err(|error| unreadable(error.to_string()))?;
        let folder = file.parent().unwrap_or(Path::new("."));
        let config = Self::operator(&Table::new(&value, "")?, folder, environment)?;
        Ok(Config { source: value, ..config })
    }

    fn operator(
        top: &Table, folder: &Path, environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let name = top.text("name")?.to_string();
        let listen = top.address("listen")?.ok_or_else(|| top.bad("listen", "is missing"))?;
        let state = folder.join(top.text("state")?);
        let notices = top.address("notices")?;
        let ops = match environment("PROXY_OPS") {
            None => top.address("ops")?,
            Some(text) => {
                // Read all the same, so that the key is known here.
                top.address("ops")?;
                let why = || bad("PROXY_OPS", format!("is {text:?}, expected address:port"));
                Some(text.parse().map_err(|_| why())?)
            }
        };
        let (settings, known) = operator_settings(top)?;
        let (mut settings, names) = read_settings(&settings)?;
        let known = Some(told(&known).map_err(|why| bad("destination", why))?);
        let limits = match top.table("limits")? {
            None => {
                let (disk, memory) = ((DISK_MB * MB) as u64, (MEMORY_MB * MB) as usize);
                Limits { sockets: SOCKETS as usize, disk, memory }
            }
            Some(table) => {
                let sockets = table.number("sockets", 32.0, Some(SOCKETS as f64))? as usize;
                let disk = (table.number("disk_mb", 1.0, Some(DISK_MB))? * MB) as u64;
                let memory = (table.number("memory_mb", 16.0, Some(MEMORY_MB))? * MB) as usize;
                table.finish()?;
                Limits { sockets, disk, memory }
            }
        };
        let record =
            top.table("store")?.map(|table| operator_record(&table, folder, &state, limits, &environment));
        let record = record.transpose()?.flatten();
        let fleet = top.table("peers")?.map(|table| operator_fleet(&table, folder)).transpose()?;
        let as2 = top.table("as2")?;
        let cells: BTreeSet<i64> =
            known.iter().flat_map(|known| &known.members).map(|member| member.entry.cell()).collect();
        let as2 = as2.map(|table| operator_as2(&table, folder, &settings, &names, &cells)).transpose()?;
        top.finish()?;
        (settings.stewards, settings.shares) = shared(fleet.as_ref());
        settings.repeats = fleet.as_ref().is_some_and(|fleet| fleet.repeats);
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
            known,
            source: Value::Null,
        })
    }
}

/// An address of a list, or what stands there instead.
fn address_in(value: &Value) -> Result<SocketAddr, String> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| format!("has {value}, expected address:port"))
}

/// Whether stewards are asked, and whether each relay owns a part.
fn shared(fleet: Option<&Setup>) -> (bool, bool) {
    let sharing = fleet.and_then(|fleet| fleet.permits);
    (sharing.is_some(), sharing == Some(Sharing::Parts))
}

/// The relay's part in its fleet, where the platform lets relays send notes: permits only where it says so and there is
/// more than one.
fn platform_fleet(
    value: &Value, (permits, facts, seats, repeats): (Option<Sharing>, bool, Option<u8>, bool),
    control: Option<PathBuf>,
) -> Result<Option<Setup>, ConfigError> {
    let (Some(listen), Some(all)) = (value.get("peer_listen"), value.get("peers")) else { return Ok(None) };
    let may = value.pointer("/settings/Limits/Peers").and_then(Value::as_bool) == Some(true);
    if !may && !facts && seats.is_none() && !repeats {
        return Ok(None);
    }
    let address = |key: &str, value| address_in(value).map_err(|why| bad(key, why));
    let all = all.as_array().ok_or_else(|| bad("peers", "is not a list"))?;
    let all: Vec<SocketAddr> = all.iter().map(|one| address("peers", one)).collect::<Result<_, _>>()?;
    let me =
        value.pointer("/settings/MyNumber").and_then(Value::as_u64).and_then(|me| u16::try_from(me).ok());
    let me = me.filter(|me| usize::from(*me) < all.len());
    let permits = permits.filter(|_| may && all.len() > 1);
    if permits.is_none() && !facts && seats.is_none() && !repeats {
        return Ok(None);
    }
    let zones = zones(value.get("peer_zones"), all.len()).map_err(|why| bad("peer_zones", why))?;
    Ok(Some(Setup {
        me: me.ok_or_else(|| bad("settings.MyNumber", "names none of peers"))?,
        listen: address("peer_listen", listen)?,
        all,
        bytes_per_s: NOTES_PER_S,
        keys: Keys::default(),
        permits,
        repeats,
        facts: facts.then_some(FactsSetup { warm: true }),
        turns: seats.map(|seats| TurnsSetup { seats, zones }),
        control,
    }))
}

/// The zone of each relay, by its number: a list as long as that of relays, or none.
fn zones(value: Option<&Value>, relays: usize) -> Result<Vec<u16>, String> {
    let Some(value) = value else { return Ok(Vec::new()) };
    let zone = |zone: &Value| zone.as_u64().and_then(|zone| u16::try_from(zone).ok());
    let zones: Option<Vec<u16>> = value.as_array().and_then(|zones| zones.iter().map(zone).collect());
    zones
        .filter(|zones| zones.len() == relays)
        .ok_or(format!("expected {relays} numbers up to 65535, one a relay"))
}

/// A key for notes has at least so many bytes.
const LEAST_KEY: usize = 16;

fn operator_fleet(table: &Table, folder: &Path) -> Result<Setup, ConfigError> {
    let listen = table.address("listen")?.ok_or_else(|| table.bad("listen", "is missing"))?;
    let named = table.get("all").and_then(Value::as_array).cloned().unwrap_or_default();
    let address = |value| address_in(value).map_err(|why| table.bad("all", why));
    let all: Vec<SocketAddr> = named.iter().map(address).collect::<Result<_, _>>()?;
    let me = table.number("me", 0.0, None)? as usize;
    if me >= all.len() {
        return Err(table.bad("me", format!("is {me}, but all has {} relays, counted from 0", all.len())));
    }
    let mut keys = Vec::new();
    for key in table.tables("key")? {
        let id = key.number("id", 1.0, None)?;
        let path = folder.join(key.text("file")?);
        let bytes =
            std::fs::read(&path).map_err(|error| key.bad("file", format!("{}: {error}", path.display())))?;
        if id > 255.0 || bytes.len() < LEAST_KEY {
            let why = format!("{}: expected {LEAST_KEY} bytes or more, and an id up to 255", path.display());
            return Err(key.bad("file", why));
        }
        keys.push(Key { id: id as u8, bytes });
        key.finish()?;
    }
    let permits = match table.maybe_text("permits")?.unwrap_or("off") {
        "off" => None,
        "whole" => Some(Sharing::Whole),
        "parts" => Some(Sharing::Parts),
        other => {
            return Err(table.bad("permits", format!("is {other:?}, expected off, whole or parts")));
        }
    };
    let repeats = match table.maybe_text("repeats")?.unwrap_or("off") {
        "off" => false,
        "shared" => true,
        other => return Err(table.bad("repeats", format!("is {other:?}, expected off or shared"))),
    };
    let zones = zones(table.get("zones"), all.len()).map_err(|why| table.bad("zones", why))?;
    let turns = match table.get("turns") {
        None => None,
        Some(seats) => {
            let seats = seats.as_u64().and_then(|seats| u8::try_from(seats).ok()).filter(|seats| *seats > 0);
            let seats = seats.ok_or_else(|| table.bad("turns", "expected how many may be out, 1 to 255"))?;
            Some(TurnsSetup { seats, zones })
        }
    };
    let warm = table.get("warm_start").is_none_or(|value| value.as_bool() != Some(false));
    let setup = Setup {
        me: u16::try_from(me).map_err(|_| table.bad("me", "is over 65535"))?,
        listen,
        all,
        bytes_per_s: table.number("bytes_per_s", 512.0, Some(f64::from(NOTES_PER_S)))? as u32,
        keys: Keys(keys),
        permits,
        repeats,
        facts: Some(FactsSetup { warm }),
        turns,
        control: table.maybe_text("control")?.map(|path| folder.join(path)),
    };
    table.finish()?;
    Ok(setup)
}

/// The record. What it may take of the disk is shared: a quarter is the journal's, and an eighth is for what
/// SQLite writes before it is in the file.
fn operator_record(
    table: &Table, folder: &Path, state: &Path, limits: Limits, environment: impl Fn(&str) -> Option<String>,
) -> Result<Option<Recording>, ConfigError> {
    let kind = table.text("kind")?;
    let path = |key| Ok::<_, ConfigError>(table.maybe_text(key)?.map(|name| folder.join(name)));
    let (file, url, address) =
        (table.maybe_text("file")?, table.maybe_text("url")?, table.maybe_text("address")?);
    let (authority, certificate, key) = (path("ca_file")?, path("certificate")?, path("key")?);
    let password = path("password_file")?;
    let keep = match table.get("keep_days") {
        None => None,
        Some(_) => Some((table.number("keep_days", 0.01, None)? * DAY as f64) as Micros),
    };
    let drop_oldest = match table.maybe_text("when_full")?.unwrap_or("drop-oldest") {
        "drop-oldest" => true,
        "refuse" => false,
        other => return Err(table.bad("when_full", format!("is {other:?}, expected drop-oldest or refuse"))),
    };
    table.finish()?;
    let target = match kind {
        "journal" => return Ok(None),
        "sqlite" => {
            if limits.disk < LEAST_DISK {
                let why = format!("leaves no room for a record in SQLite: {LEAST_DISK} bytes are the least");
                return Err(bad("limits.disk_mb", why));
            }
            let file = state.join(file.unwrap_or("relay.sqlite"));
            Target::Sqlite { file, most_bytes: Some(limits.disk / 8 * 5) }
        }
        "postgres" => {
            // The environment goes first, so that no password need stand in a file.
            let given = environment("TULIPFALL_POSTGRES").or(url.or(address).map(String::from));
            let text = given.ok_or_else(|| table.bad("url", "is missing, as is TULIPFALL_POSTGRES"))?;
            let from_file = password.map(|file| {
                let read = std::fs::read_to_string(&file);
                let why = |error| table.bad("password_file", format!("{}: {error}", file.display()));
                read.map(|text| text.trim_end_matches(['\r', '\n']).to_string()).map_err(why)
            });
            let password = environment("TULIPFALL_POSTGRES_PASSWORD").or(from_file.transpose()?);
            let identity = match (certificate, key) {
                (None, None) => None,
                (Some(certificate), Some(key)) => Some((certificate, key)),
                (Some(_), None) => return Err(table.bad("key", "is missing; certificate is set")),
                (None, Some(_)) => return Err(table.bad("certificate", "is missing; key is set")),
            };
            if authority.is_none() && identity.is_some() {
                return Err(table.bad("ca_file", "is missing; certificate is set"));
            }
            let tls = authority.map(|authority| Tls { authority, identity });
            if let Some(tls) = &tls {
                tls.load().map_err(|why| table.bad("ca_file", why))?;
            }
            let server = Server::parse(&text, password, tls).map_err(|why| table.bad("url", why))?;
            Target::Postgres(Box::new(server))
        }
        other => {
            return Err(table.bad("kind", format!("is {other:?}, expected journal, sqlite or postgres")));
        }
    };
    Ok(Some(Recording { target, keep, drop_oldest }))
}

/// The settings and the destination set, in the platform's form, which has its own reader.
fn operator_settings(top: &Table) -> Result<(Value, Value), ConfigError> {
    let mut classes = Vec::new();
    for class in top.tables("class")? {
        let effect = match class.text("effect")? {
            "repeatable" => "idempotent",
            "once" => "at_most_once",
            other => {
                return Err(class.bad("effect", format!("is {other:?}, expected repeatable or once")));
            }
        };
        let aim = class.number("aim_ms", 1.0, None)?;
        let deadline = class.number("deadline_ms", aim, None)?;
        classes.push(json!({
            "Name": class.text("name")?,
            "Idempotency": effect,
            "AimUs": (aim * 1000.0) as i64,
            "DeadlineUs": (deadline * 1000.0) as i64,
            "Value": class.number("worth", 0.0, Some(1.0))?,
            "LateWorth": class.number("late_worth", 0.0, Some(0.5))?,
        }));
        class.finish()?;
    }
    let mut tenants = Vec::new();
    for tenant in top.tables("tenant")? {
        let quota = tenant.number("per_s", 0.0, Some(1e6))?;
        tenants.push(json!({"Name": tenant.text("name")?, "QuotaPerS": quota}));
        tenant.finish()?;
    }
    let mut members = Vec::new();
    for destination in top.tables("destination")? {
        let cell = destination.number("number", 0.0, None)? as i64;
        let rate = destination.number("per_s", 0.001, None)?;
        let endpoints = destination.get("endpoints").and_then(Value::as_array);
        let endpoints = endpoints.filter(|endpoints| !endpoints.is_empty());
        for endpoint in endpoints.ok_or_else(|| destination.bad("endpoints", "is not a list of addresses"))? {
            let address = endpoint.as_str().filter(|address| address.contains(':'));
            let address = address
                .ok_or_else(|| destination.bad("endpoints", format!("has {endpoint}, expected host:port")))?;
            members.push(json!({"id": format!("{cell}@{address}"), "host_port": address, "locality": "here",
                "flavor": "partner", "cell": cell, "phase": "Ready", "size": rate}));
        }
        destination.finish()?;
    }
    if members.is_empty() {
        return Err(bad("destination", "is missing"));
    }
    let limits = json!({"Limits": 0});
    let table = top.table("relay")?;
    let fallback = Table::new(&limits, "relay")?;
    let relay = table.as_ref().unwrap_or(&fallback);
    let whole = |key, default| relay.number(key, 1.0, Some(default)).map(|number| number as i64);
    let ms = |key, default| relay.number(key, 1.0, Some(default)).map(|number| (number * 1000.0) as i64);
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
        // What is safe where nothing is known of how destinations come back.
        "Rules": {"ColdFrom": 0.2, "ColdUs": 10_000_000, "FallMultiple": 2.0, "OverloadForUs": 2_000_000,
            "StopSendingWithinUs": 1_000_000},
    });
    if let Some(table) = table {
        table.finish()?;
    }
    Ok((settings, json!({"revision": 0, "complete": true, "members": members})))
}

fn operator_as2(
    table: &Table, folder: &Path, settings: &Settings, names: &Names, cells: &BTreeSet<i64>,
) -> Result<As2Config, ConfigError> {
    let file = |table: &Table, key: &'static str| {
        let path = folder.join(table.text(key)?);
        std::fs::read(&path).map_err(|error| table.bad(key, format!("{}: {error}", path.display())))
    };
    // Guards against messages that would wait for a destination which is spelt otherwise.
    let listed = |table: &Table| {
        let cell = table.number("destination", 0.0, None)? as i64;
        let known = cells.contains(&cell).then_some(cell);
        known.ok_or_else(|| table.bad("destination", format!("is {cell}, no destination of this file")))
    };
    let certificate = |table: &Table| {
        X509::from_pem(&file(table, "certificate")?)
            .map_err(|_| table.bad("certificate", "is no certificate in PEM form"))
    };
    let key = PKey::private_key_from_pem(&file(table, "key")?)
        .map_err(|_| table.bad("key", "is no private key in PEM form"))?;
    let own = certificate(table)?;
    if !own.public_key().is_ok_and(|public| public.public_eq(&key)) {
        return Err(table.bad("key", "does not belong to the certificate"));
    }
    let mut partners = Vec::new();
    for partner in table.tables("partner")? {
        let hands_in = partner.table("hands_in")?.map(|hands_in| {
            let class = hands_in.text("class")?;
            let number =
                names.class(class).ok_or_else(|| hands_in.bad("class", "is no class of this file"))?;
            let tenant = hands_in.maybe_text("tenant")?.map(|tenant| {
                let known = names.tenant(tenant).map(|_| tenant.to_string());
                known.ok_or_else(|| hands_in.bad("tenant", "is no tenant of this file"))
            });
            let destination = listed(&hands_in)?;
            hands_in.finish()?;
            let deadline = settings.classes.get(number).map_or(0, |class| class.deadline);
            Ok(HandsIn { class: class.into(), tenant: tenant.transpose()?, destination, deadline })
        });
        let receipt_to = partner.maybe_text("receipt_to")?.map(|text| match text.split_once('/') {
            Some((address, path)) if address.contains(':') => Ok((address.into(), format!("/{path}"))),
            _ => Err(partner.bad("receipt_to", format!("is {text:?}, expected host:port/path"))),
        });
        let destination = partner.get("destination").is_some();
        let destination = destination.then(|| listed(&partner)).transpose()?;
        let asynchronous = match partner.maybe_text("receipt")?.unwrap_or("sync") {
            "sync" => false,
            "async" => true,
            other => return Err(partner.bad("receipt", format!("is {other:?}, expected sync or async"))),
        };
        partners.push(Partner {
            name: partner.text("name")?.into(),
            certificate: certificate(&partner)?,
            destination,
            path: partner.maybe_text("path")?.unwrap_or("/").into(),
            asynchronous,
            hands_in: hands_in.transpose()?,
            receipt_to: receipt_to.transpose()?,
        });
        partner.finish()?;
    }
    let remember = table.number("remember_days", 0.01, Some(KEEP_DAYS))?;
    let config = As2Config {
        listen: table.address("listen")?.ok_or_else(|| table.bad("listen", "is missing"))?,
        identity: Identity {
            name: table.text("name")?.into(),
            key,
            certificate: own,
            receipt_url: table.text("receipt_url")?.into(),
            remember: (remember * DAY as f64) as Micros,
            partners,
        },
    };
    table.finish()?;
    Ok(config)
}

/// What `config init` writes for an application.
pub fn template(application: &str) -> String {
    include_str!("template.toml").replace("APPLICATION", application)
}
