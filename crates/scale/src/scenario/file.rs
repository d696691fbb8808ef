//! Scenarios in TOML. Whatever is wrong is named by file, line and key.

use std::path::Path;

use serde::Deserialize;
use toml::de::{DeTable, DeValue};

use super::{Kill, MOST_RELAYS, OrdinaryDay, Scenario, Sharing, Zone};
use crate::measurement::Role;
use crate::network::{Conditions, Cut, CutKind, NodeSet};
use crate::time::{MILLISECOND, Micros, seconds};

/// Why a scenario is not run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file is not to be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// A key of the file is wrong.
    #[error("{file}:{line}: {key}: {why}")]
    Key {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key, with its tables: `network.loss`, or `zone.2.region` for the third zone.
        key: String,
        /// What is wrong.
        why: String,
    },
    /// A value that was set in code is wrong.
    #[error("{key}: {why}")]
    Value {
        /// The key that the value has in a file.
        key: String,
        /// What is wrong.
        why: String,
    },
}

/// A value that makes no sense, by its key.
#[derive(Debug)]
pub(crate) struct Wrong {
    key: String,
    why: String,
}

impl Wrong {
    pub(crate) fn outside_a_file(self) -> ScenarioError {
        ScenarioError::Value { key: self.key, why: self.why }
    }

    pub(crate) fn in_file(self, file: &str, text: &str) -> ScenarioError {
        let offset = DeTable::parse(text).ok().and_then(|table| offset_of(table.get_ref(), &self.key));
        let line = line_of(text, offset.unwrap_or(0));
        ScenarioError::Key { file: file.into(), line, key: self.key, why: self.why }
    }
}

/// A table of the file, as it is written. All that has a usual value may be left out.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileScenario {
    relays: u32,
    destinations: u32,
    roles: Vec<Role>,
    seconds: f64,
    #[serde(default = "usual::warm_up_s")]
    warm_up_s: f64,
    #[serde(default = "usual::real_time_limit_s")]
    real_time_limit_s: f64,
    #[serde(default)]
    events_per_s: f64,
    #[serde(default)]
    skew: f64,
    #[serde(default)]
    share_down: f64,
    #[serde(default = "usual::mean_down_s")]
    mean_down_s: f64,
    #[serde(default = "usual::answer_ms")]
    answer_ms: f64,
    #[serde(default = "usual::limit_headroom")]
    limit_headroom: f64,
    #[serde(default = "usual::least_limit_per_s")]
    least_limit_per_s: f64,
    #[serde(default)]
    sharing: Sharing,
    #[serde(default = "usual::signed")]
    signed: bool,
    #[serde(default = "usual::bytes_per_s")]
    bytes_per_s: u32,
    #[serde(default)]
    maintenance_seats: u8,
    #[serde(default)]
    changes_per_day: f64,
    #[serde(default)]
    network: FileNetwork,
    #[serde(default)]
    ordinary_day: FileDay,
    kill: Option<Kill>,
    #[serde(default, rename = "region")]
    regions: Vec<FileRegion>,
    #[serde(default, rename = "zone")]
    zones: Vec<FileZone>,
    #[serde(default, rename = "cut")]
    cuts: Vec<FileCut>,
}

/// What holds where a file says nothing.
mod usual {
    pub(super) fn warm_up_s() -> f64 {
        10.0
    }
    pub(super) fn real_time_limit_s() -> f64 {
        600.0
    }
    pub(super) fn mean_down_s() -> f64 {
        600.0
    }
    pub(super) fn answer_ms() -> f64 {
        100.0
    }
    pub(super) fn limit_headroom() -> f64 {
        1.5
    }
    pub(super) fn least_limit_per_s() -> f64 {
        1.0
    }
    pub(super) fn signed() -> bool {
        true
    }
    /// As the relay's own settings (`NOTES_PER_S`).
    pub(super) fn bytes_per_s() -> u32 {
        4000
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRegion {
    name: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileZone {
    name: String,
    region: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileNetwork {
    same_zone_ms: f64,
    same_region_ms: f64,
    between_regions_ms: f64,
    jitter: f64,
    loss: f64,
    duplicates: f64,
}

impl Default for FileNetwork {
    fn default() -> Self {
        let usual = Conditions::default();
        FileNetwork {
            same_zone_ms: in_ms(usual.same_zone_us),
            same_region_ms: in_ms(usual.same_region_us),
            between_regions_ms: in_ms(usual.between_regions_us),
            jitter: usual.jitter,
            loss: usual.loss,
            duplicates: usual.duplicates,
        }
    }
}

impl From<FileNetwork> for Conditions {
    fn from(file: FileNetwork) -> Self {
        Conditions {
            same_zone_us: from_ms(file.same_zone_ms),
            same_region_us: from_ms(file.same_region_ms),
            between_regions_us: from_ms(file.between_regions_ms),
            jitter: file.jitter,
            loss: file.loss,
            duplicates: file.duplicates,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileDay {
    restarts: f64,
    failures: f64,
    speed_up: f64,
    restart_s: f64,
    repair_s: f64,
}

impl Default for FileDay {
    fn default() -> Self {
        let OrdinaryDay { restarts, failures, speed_up, restart_s, repair_s } = OrdinaryDay::default();
        FileDay { restarts, failures, speed_up, restart_s, repair_s }
    }
}

impl From<FileDay> for OrdinaryDay {
    fn from(file: FileDay) -> Self {
        let FileDay { restarts, failures, speed_up, restart_s, repair_s } = file;
        OrdinaryDay { restarts, failures, speed_up, restart_s, repair_s }
    }
}

/// What a cut of a file does to the zone or region that it names.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FileCutKind {
    /// Nothing goes to it, from it or within it.
    Dark,
    /// Nothing goes to it or from it.
    Alone,
    /// Nothing goes to it.
    Inbound,
    /// Nothing goes between it and the other.
    Between,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileCut {
    kind: FileCutKind,
    from_s: f64,
    for_s: f64,
    zone: Option<String>,
    region: Option<String>,
    other_zone: Option<String>,
    other_region: Option<String>,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// Where the file is not to be read, or what is wrong with the first key that is.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { file: file.clone(), source })?;
        Scenario::parse(&text, &file)
    }

    /// Reads a scenario from a file's text; the file's name is for errors.
    ///
    /// # Errors
    /// What is wrong with the first key that is.
    pub fn parse(text: &str, file: &str) -> Result<Self, ScenarioError> {
        let read: FileScenario = toml::from_str(text).map_err(|error| not_understood(&error, text, file))?;
        let scenario = read.scenario().map_err(|wrong| wrong.in_file(file, text))?;
        check(&scenario).map_err(|wrong| wrong.in_file(file, text))?;
        Ok(scenario)
    }
}

impl FileScenario {
    fn scenario(self) -> Result<Scenario, Wrong> {
        let regions: Vec<String> = self.regions.into_iter().map(|region| region.name).collect();
        let zones = zones(self.zones, &regions)?;
        let cuts = self.cuts.iter().enumerate().map(|(n, cut)| cut.cut(n, &regions, &zones));
        Ok(Scenario {
            cuts: cuts.collect::<Result<_, _>>()?,
            relays: self.relays,
            destinations: self.destinations,
            regions,
            zones,
            network: self.network.into(),
            events_per_s: self.events_per_s,
            skew: self.skew,
            share_down: self.share_down,
            mean_down_s: self.mean_down_s,
            answer_ms: self.answer_ms,
            limit_headroom: self.limit_headroom,
            least_limit_per_s: self.least_limit_per_s,
            sharing: self.sharing,
            signed: self.signed,
            bytes_per_s: self.bytes_per_s,
            maintenance_seats: self.maintenance_seats,
            changes_per_day: self.changes_per_day,
            ordinary_day: self.ordinary_day.into(),
            kill: self.kill,
            roles: self.roles,
            warm_up_s: self.warm_up_s,
            seconds: self.seconds,
            real_time_limit_s: self.real_time_limit_s,
        })
    }
}

fn zones(zones: Vec<FileZone>, regions: &[String]) -> Result<Vec<Zone>, Wrong> {
    let zone = |(n, FileZone { name, region }): (usize, FileZone)| {
        let place = place(regions.iter(), &region).ok_or_else(|| {
            wrong(format!("zone.{n}.region"), format!("no region is named {region:?} (zone {name:?})"))
        })?;
        Ok(Zone { name, region: place })
    };
    zones.into_iter().enumerate().map(zone).collect()
}

impl FileCut {
    fn cut(&self, n: usize, regions: &[String], zones: &[Zone]) -> Result<Cut, Wrong> {
        let key = |name: &str| format!("cut.{n}.{name}");
        not_negative(&key("from_s"), self.from_s)?;
        positive(&key("for_s"), self.for_s)?;
        let of = node_set((&self.zone, &key("zone")), (&self.region, &key("region")), regions, zones)?;
        let kind = match self.kind {
            FileCutKind::Dark => CutKind::Dark(of),
            FileCutKind::Alone => CutKind::Alone(of),
            FileCutKind::Inbound => CutKind::Inbound(of),
            FileCutKind::Between => {
                let (zone, region) = (key("other_zone"), key("other_region"));
                let other = (&self.other_zone, zone.as_str());
                CutKind::Between(of, node_set(other, (&self.other_region, &region), regions, zones)?)
            }
        };
        Ok(Cut { from: seconds(self.from_s), until: seconds(self.from_s + self.for_s), kind })
    }
}

/// The set that a cut names by zone or by region, each with its key.
fn node_set(
    (zone, zone_key): (&Option<String>, &str), (region, region_key): (&Option<String>, &str),
    regions: &[String], zones: &[Zone],
) -> Result<NodeSet, Wrong> {
    match (zone, region) {
        (Some(zone), None) => place(zones.iter().map(|zone| &zone.name), zone)
            .map(NodeSet::Zone)
            .ok_or_else(|| wrong(zone_key.into(), format!("no zone is named {zone:?}"))),
        (None, Some(region)) => place(regions.iter(), region)
            .map(NodeSet::Region)
            .ok_or_else(|| wrong(region_key.into(), format!("no region is named {region:?}"))),
        _ => Err(wrong(zone_key.into(), format!("expected either this or {region_key}"))),
    }
}

fn place<'a>(mut names: impl Iterator<Item = &'a String>, name: &str) -> Option<u16> {
    names.position(|other| other == name).and_then(|place| u16::try_from(place).ok())
}

/// The first value that makes no sense.
pub(super) fn check(scenario: &Scenario) -> Result<(), Wrong> {
    let Scenario { network, ordinary_day: day, .. } = scenario;
    counted("relays", scenario.relays, MOST_RELAYS)?;
    counted("destinations", scenario.destinations, u32::MAX)?;
    counted("bytes_per_s", scenario.bytes_per_s, u32::MAX)?;
    if scenario.roles.is_empty() {
        return Err(wrong("roles".into(), "expected at least one role".into()));
    }
    if let Some(at) = scenario.zones.iter().position(|z| usize::from(z.region) >= scenario.regions.len()) {
        return Err(wrong(format!("zone.{at}.region"), "there is no such region".into()));
    }
    let shares = [
        ("share_down", scenario.share_down),
        ("network.loss", network.loss),
        ("network.duplicates", network.duplicates),
        ("kill.share", scenario.kill.map_or(0.0, |kill| kill.share)),
    ];
    shares.into_iter().try_for_each(|(key, value)| share(key, value))?;
    let positives = [
        ("seconds", scenario.seconds),
        ("real_time_limit_s", scenario.real_time_limit_s),
        ("mean_down_s", scenario.mean_down_s),
        ("answer_ms", scenario.answer_ms),
        ("limit_headroom", scenario.limit_headroom),
        ("least_limit_per_s", scenario.least_limit_per_s),
        ("ordinary_day.speed_up", day.speed_up),
    ];
    positives.into_iter().try_for_each(|(key, value)| positive(key, value))?;
    let spans = [
        ("warm_up_s", scenario.warm_up_s),
        ("events_per_s", scenario.events_per_s),
        ("skew", scenario.skew),
        ("changes_per_day", scenario.changes_per_day),
        ("network.same_zone_ms", in_ms(network.same_zone_us)),
        ("network.same_region_ms", in_ms(network.same_region_us)),
        ("network.between_regions_ms", in_ms(network.between_regions_us)),
        ("network.jitter", network.jitter),
        ("ordinary_day.restarts", day.restarts),
        ("ordinary_day.failures", day.failures),
        ("ordinary_day.restart_s", day.restart_s),
        ("ordinary_day.repair_s", day.repair_s),
        ("kill.at_s", scenario.kill.map_or(0.0, |kill| kill.at_s)),
    ];
    spans.into_iter().try_for_each(|(key, value)| not_negative(key, value))
}

pub(crate) fn wrong(key: String, why: String) -> Wrong {
    Wrong { key, why }
}

pub(crate) fn counted(key: &str, value: u32, most: u32) -> Result<(), Wrong> {
    if (1..=most).contains(&value) {
        return Ok(());
    }
    Err(wrong(key.into(), format!("is {value}, expected 1 to {most}")))
}

fn share(key: &str, value: f64) -> Result<(), Wrong> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(wrong(key.into(), format!("is {value}, expected a share from 0 to 1")))
}

pub(crate) fn positive(key: &str, value: f64) -> Result<(), Wrong> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(wrong(key.into(), format!("is {value}, expected a number over 0")))
}

pub(crate) fn not_negative(key: &str, value: f64) -> Result<(), Wrong> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(wrong(key.into(), format!("is {value}, expected 0 or more")))
}

fn in_ms(span: Micros) -> f64 {
    span as f64 / MILLISECOND as f64
}

fn from_ms(span: f64) -> Micros {
    (span * MILLISECOND as f64) as Micros
}

// ---- where in the file ----

/// An error of the reader: a key that is not known or missing, a wrong type, or text that is no TOML.
pub(crate) fn not_understood(error: &toml::de::Error, text: &str, file: &str) -> ScenarioError {
    let offset = error.span().map_or(0, |span| span.start);
    let line = line_of(text, offset);
    let named = error.message().split('`').nth(1).filter(|_| error.message().contains("field"));
    let key = named.map_or_else(|| key_on_line(text, line), String::from);
    ScenarioError::Key { file: file.into(), line, key, why: error.message().trim().replace('\n', "; ") }
}

/// The line of a byte of the text, from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// What stands before the equals sign of a line.
fn key_on_line(text: &str, line: usize) -> String {
    let line = text.lines().nth(line - 1).unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_string()
}

/// Where the value of a key stands, or as much of its way as there is.
fn offset_of(table: &DeTable<'_>, key: &str) -> Option<usize> {
    let (first, rest) = key.split_once('.').unwrap_or((key, ""));
    let value = table.get(first)?;
    let inner = match value.get_ref() {
        _ if rest.is_empty() => None,
        DeValue::Table(inner) => offset_of(inner, rest),
        DeValue::Array(items) => {
            let (place, rest) = rest.split_once('.').unwrap_or((rest, ""));
            let item = place.parse::<usize>().ok().and_then(|place| items.get(place))?;
            let inner = item.get_ref().as_table().and_then(|inner| offset_of(inner, rest));
            inner.or(Some(item.span().start))
        }
        _ => None,
    };
    inner.or(Some(value.span().start))
}
