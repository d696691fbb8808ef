//! The platform's configuration: a JSON file and environment variables, which take precedence.

use std::net::SocketAddr;
use std::path::PathBuf;

use ::fleet::keys::Keys;
use permits::Sharing;
use serde_json::Value;

use crate::fleet::{MaintenanceSetup, ObservationSetup, Setup};
use crate::net::discovery::{MemberList, parse_list};

use super::error::{ConfigError, bad};
use super::fleet::{DEFAULT_BYTES_PER_S, apply_to_settings, parse_address, parse_zones};
use super::settings::read_settings;
use super::{Config, Limits};

impl Config {
    /// Reads the file named by `PROXY_CONFIG`, and the environment, which takes precedence.
    ///
    /// # Errors
    /// The first key that is missing or invalid.
    pub fn load(environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file = environment("PROXY_CONFIG").ok_or_else(|| bad("PROXY_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&file)
            .map_err(|error| ConfigError::Unreadable { file: file.clone(), error })?;
        let value = serde_json::from_str(&text)
            .map_err(|error| ConfigError::File { file, why: error.to_string() })?;
        Self::read(&value, environment)
    }

    /// Reads a configuration from its JSON form, and the environment, which takes precedence.
    ///
    /// # Errors
    /// The first key that is missing or invalid.
    pub fn read(value: &Value, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let source = Source { value, environment };
        let listen = source.address("PROXY_LISTEN", "listen")?.ok_or_else(|| bad("listen", "is missing"))?;
        let state = source.text("PROXY_STATE", "state")?.ok_or_else(|| bad("PROXY_STATE", "is not set"))?;
        let seed = read_seed(value)?;
        let limits = Limits::from_platform(value)?;
        let settings = value.get("settings").ok_or_else(|| bad("settings", "is missing"))?;
        let (mut settings, names) = read_settings(settings)?;
        let fleet = read_fleet(value, FleetOptions::read(&source.environment)?)?;
        apply_to_settings(fleet.as_ref(), &mut settings);
        let known = read_known(value)?;
        let discovery = source.address("PROXY_DISCOVERY", "discovery")?;
        Ok(Config {
            name: source.text("PROXY_NAME", "name")?.unwrap_or_else(|| "relay".into()),
            listen,
            accept: (source.environment)("PROXY_ACCEPT_FD"),
            ops: source.address("PROXY_OPS", "ops")?,
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

/// The file and the environment variables that override it.
struct Source<'a, E> {
    value: &'a Value,
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> Source<'_, E> {
    /// The text of an environment variable, or else of a key.
    fn text(&self, variable: &str, key: &str) -> Result<Option<String>, ConfigError> {
        let found = self.value.get(key).map(|found| found.as_str().map(String::from));
        match ((self.environment)(variable), found) {
            (Some(text), _) | (None, Some(Some(text))) => Ok(Some(text)),
            (None, None) => Ok(None),
            (None, Some(None)) => Err(bad(key, "is not a text")),
        }
    }

    /// The address in an environment variable, or else at a key.
    fn address(&self, variable: &str, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.text(variable, key)? else { return Ok(None) };
        let at_fault = if (self.environment)(variable).is_some() { variable } else { key };
        let parsed = text.parse().map(Some);
        parsed.map_err(|_| bad(at_fault, format!("is {text:?}, expected address:port")))
    }
}

fn read_seed(value: &Value) -> Result<u64, ConfigError> {
    match value.get("seed").and_then(Value::as_str).unwrap_or_default() {
        "" => Ok(0),
        seed => u64::from_str_radix(seed, 16).map_err(|_| bad("seed", "is not a hexadecimal number")),
    }
}

fn read_known(value: &Value) -> Result<Option<MemberList>, ConfigError> {
    let known = value.get("known").filter(|known| !known.is_null());
    known.map(parse_list).transpose().map_err(|why| bad("known", why))
}

/// Fleet features that the environment switches on or off.
struct FleetOptions {
    /// How rate limits are shared, unless that is off.
    permits: Option<Sharing>,
    /// Whether health observations are exchanged.
    facts: bool,
    /// Maximum number of relays that may be unavailable for maintenance at once.
    seats: Option<u8>,
    /// Whether the retry budget is shared.
    repeats: bool,
    /// Socket for the operators' control commands.
    control: Option<PathBuf>,
}

impl FleetOptions {
    fn read(environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Ok(FleetOptions {
            facts: read_facts(environment("TULIPFALL_NOTES").as_deref())?,
            permits: read_permits(environment("TULIPFALL_PERMITS").as_deref())?,
            seats: read_seats(environment("TULIPFALL_TURNS").as_deref())?,
            repeats: read_repeats(environment("TULIPFALL_REPEATS").as_deref())?,
            control: environment("TULIPFALL_CONTROL").map(PathBuf::from),
        })
    }

    /// Whether any feature other than shared limits is on.
    fn any_beside_permits(&self) -> bool {
        self.facts || self.seats.is_some() || self.repeats
    }
}

fn read_facts(text: Option<&str>) -> Result<bool, ConfigError> {
    match text {
        None | Some("off") => Ok(false),
        Some("on") => Ok(true),
        Some(other) => Err(bad("TULIPFALL_NOTES", format!("is {other:?}, expected on or off"))),
    }
}

fn read_permits(text: Option<&str>) -> Result<Option<Sharing>, ConfigError> {
    match text {
        Some("off") => Ok(None),
        None | Some("on") => Ok(Some(Sharing::Whole)),
        Some("parts") => Ok(Some(Sharing::Shares)),
        Some(other) => Err(bad("TULIPFALL_PERMITS", format!("is {other:?}, expected on, parts or off"))),
    }
}

fn read_seats(text: Option<&str>) -> Result<Option<u8>, ConfigError> {
    let Some(text) = text.filter(|text| *text != "off") else { return Ok(None) };
    let seats = text.parse::<u8>().ok().filter(|seats| *seats > 0);
    let why = || format!("is {text:?}, expected off, or how many may be out, 1 to 255");
    seats.map(Some).ok_or_else(|| bad("TULIPFALL_TURNS", why()))
}

fn read_repeats(text: Option<&str>) -> Result<bool, ConfigError> {
    match text {
        None | Some("off") => Ok(false),
        Some("shared") => Ok(true),
        Some(other) => Err(bad("TULIPFALL_REPEATS", format!("is {other:?}, expected shared or off"))),
    }
}

/// Reads the membership in a fleet. Limits are shared only if the platform permits it and there is more than one relay. Without
/// any such feature there is no membership.
fn read_fleet(value: &Value, options: FleetOptions) -> Result<Option<Setup>, ConfigError> {
    let (Some(listen), Some(all)) = (value.get("peer_listen"), value.get("peers")) else { return Ok(None) };
    let may_share = value.pointer("/settings/Limits/Peers").and_then(Value::as_bool) == Some(true);
    if !may_share && !options.any_beside_permits() {
        return Ok(None);
    }
    let all = read_peers(all)?;
    let permits = options.permits.filter(|_| may_share && all.len() > 1);
    if permits.is_none() && !options.any_beside_permits() {
        return Ok(None);
    }
    let zones = parse_zones(value.get("peer_zones"), all.len()).map_err(|why| bad("peer_zones", why))?;
    let me = read_own_number(value, all.len());
    Ok(Some(Setup {
        me: me.ok_or_else(|| bad("settings.MyNumber", "names none of peers"))?,
        listen: parse_address(listen).map_err(|why| bad("peer_listen", why))?,
        all,
        bytes_per_s: DEFAULT_BYTES_PER_S,
        keys: Keys::default(),
        permits,
        repeats: options.repeats,
        observations: options.facts.then_some(ObservationSetup { warm: true }),
        turns: options.seats.map(|seats| MaintenanceSetup { max_unavailable: seats, zones }),
        distribution: None,
        control: options.control,
    }))
}

fn read_peers(value: &Value) -> Result<Vec<SocketAddr>, ConfigError> {
    let peers = value.as_array().ok_or_else(|| bad("peers", "is not a list"))?;
    peers.iter().map(|peer| parse_address(peer).map_err(|why| bad("peers", why))).collect()
}

/// The relay's own number, if it is that of one of the relays.
fn read_own_number(value: &Value, relays: usize) -> Option<u16> {
    let number = value.pointer("/settings/MyNumber").and_then(Value::as_u64)?;
    u16::try_from(number).ok().filter(|number| usize::from(*number) < relays)
}
