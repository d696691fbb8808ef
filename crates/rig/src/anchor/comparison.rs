//! The join of what the rig measured with what hollow relays measured at the same size. Owns which records belong
//! together, and the bound over which a difference has to be explained.

use std::path::{Path, PathBuf};

use scale::measurement::{Measurement, Role, RoleCost};
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::measurement::{AnchorMeasurement, Period};

/// A difference of a greater part than this is explained or mended.
pub const MOST_DIFFERENCE: f64 = 0.2;
/// Inputs of two runs that differ by a greater part than this are not the same.
const SAME_INPUT: f64 = 0.01;

/// Why a file of records cannot be read.
#[derive(Debug, Error)]
pub enum RecordsError {
    /// It is not there.
    #[error("{}: {error}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// It is no JSON, or a record lacks a field or has one of another type.
    #[error("{}: {error}", .file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Which field, line and column.
        error: serde_json::Error,
    },
    /// It holds no record.
    #[error("{}: expected a record or more", .file.display())]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

/// One quantity on both sides.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Its name, as in the records.
    pub quantity: &'static str,
    /// In real processes.
    pub rig: f64,
    /// Among hollow relays.
    pub hollow: f64,
}

impl Difference {
    /// How much greater the hollow relays' is, as a part of the real one; infinite where that is zero and theirs is not.
    pub fn part(&self) -> f64 {
        if self.rig == self.hollow {
            return 0.0;
        }
        if self.rig == 0.0 {
            return f64::INFINITY.copysign(self.hollow);
        }
        (self.hollow - self.rig) / self.rig.abs()
    }

    /// Whether it has to be explained.
    pub fn is_large(&self) -> bool {
        self.part().abs() > MOST_DIFFERENCE
    }
}

/// A role of a measured fleet, beside the hollow relays'.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Relays on both sides.
    pub relays: u32,
    /// The role.
    pub role: Role,
    /// Whether there were events.
    pub period: Period,
    /// Inputs that are not the same on both sides, each with both values; what differs there explains nothing else.
    pub other_inputs: Vec<String>,
    /// All quantities; none where no hollow run has the role at this size, idle or under load as here.
    pub differences: Vec<Difference>,
}

/// Reads a file that holds one record, a list of them, or one after the other, as `--json` writes them.
///
/// # Errors
/// The file, and the field that makes no sense.
pub fn read_records<T: DeserializeOwned>(file: &Path) -> Result<Vec<T>, RecordsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| RecordsError::Unreadable { file: file.into(), error })?;
    let records =
        parse_records(&text).map_err(|error| RecordsError::Malformed { file: file.into(), error })?;
    if records.is_empty() {
        return Err(RecordsError::Empty { file: file.into() });
    }
    Ok(records)
}

/// The same from a text.
fn parse_records<T: DeserializeOwned>(text: &str) -> Result<Vec<T>, serde_json::Error> {
    if text.trim_start().starts_with('[') {
        return serde_json::from_str(text);
    }
    serde_json::Deserializer::from_str(text).into_iter().collect()
}

/// Each role that the rig measured, beside the hollow run whose inputs are nearest.
pub fn compare(rig: &[AnchorMeasurement], hollow: &[Measurement]) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for anchor in rig {
        for cost in &anchor.roles {
            comparisons.push(compare_role(anchor, cost, hollow));
        }
    }
    comparisons
}

fn compare_role(anchor: &AnchorMeasurement, cost: &RoleCost, hollow: &[Measurement]) -> Comparison {
    let (relays, role, period) = (anchor.relays, cost.role, anchor.period);
    let comparable = hollow.iter().filter(|run| run.relays == relays && period_of(run) == period);
    let with_the_role = comparable.filter_map(|run| Some((run, hollow_cost(run, role)?)));
    let nearest = with_the_role.min_by(|(a, _), (b, _)| distance(anchor, a).total_cmp(&distance(anchor, b)));
    match nearest {
        None => Comparison { relays, role, period, other_inputs: Vec::new(), differences: Vec::new() },
        Some((run, of_hollow)) => Comparison {
            relays,
            role,
            period,
            other_inputs: other_inputs(anchor, run),
            differences: differences(anchor, cost, run, &of_hollow),
        },
    }
}

/// Whether a hollow run had events.
fn period_of(run: &Measurement) -> Period {
    if run.events_per_s > 0.0 { Period::Load } else { Period::Idle }
}

/// What a hollow run's role costs, as it shows from outside: relays that tell each other observations ask in the same
/// datagrams who is there, so that the cost of membership is part of it.
fn hollow_cost(run: &Measurement, role: Role) -> Option<RoleCost> {
    let find = |role: Role| run.roles.iter().find(|cost| cost.role == role);
    let cost = find(role)?.clone();
    match role {
        Role::HealthObservations => {
            Some(find(Role::Member).map_or(cost.clone(), |member| sum(&cost, member)))
        }
        _ => Some(cost),
    }
}

/// Two roles of the same machines; the busiest machine of one is taken for the busiest of the other.
fn sum(cost: &RoleCost, other: &RoleCost) -> RoleCost {
    RoleCost {
        role: cost.role,
        machines: cost.machines,
        messages: cost.messages + other.messages,
        bytes: cost.bytes + other.bytes,
        bytes_per_s: cost.bytes_per_s + other.bytes_per_s,
        peak_bytes_per_s: cost.peak_bytes_per_s + other.peak_bytes_per_s,
        messages_per_s: cost.messages_per_s + other.messages_per_s,
        cores: cost.cores + other.cores,
        memory_bytes: cost.memory_bytes + other.memory_bytes,
    }
}

/// Inputs that both sides have, by name.
fn inputs(anchor: &AnchorMeasurement, run: &Measurement) -> [(&'static str, f64, f64); 3] {
    [
        ("destinations", f64::from(anchor.destinations), f64::from(run.destinations)),
        ("share_down", anchor.share_down, run.share_down),
        ("events_per_s", anchor.events_per_s, run.events_per_s),
    ]
}

/// How far the inputs of two runs lie apart: the sum of the parts by which they differ.
fn distance(anchor: &AnchorMeasurement, run: &Measurement) -> f64 {
    inputs(anchor, run).into_iter().map(|(_, rig, hollow)| apart(rig, hollow)).sum()
}

fn other_inputs(anchor: &AnchorMeasurement, run: &Measurement) -> Vec<String> {
    let others = inputs(anchor, run).into_iter().filter(|(_, rig, hollow)| apart(*rig, *hollow) > SAME_INPUT);
    others.map(|(name, rig, hollow)| format!("{name} {rig} and {hollow}")).collect()
}

/// The difference of two inputs as a part of the greater one.
fn apart(rig: f64, hollow: f64) -> f64 {
    let greater = rig.abs().max(hollow.abs());
    if greater > 0.0 { (rig - hollow).abs() / greater } else { 0.0 }
}

fn differences(
    anchor: &AnchorMeasurement, cost: &RoleCost, run: &Measurement, of_hollow: &RoleCost,
) -> Vec<Difference> {
    let difference = |quantity, rig, hollow| Difference { quantity, rig, hollow };
    let mut differences = vec![
        difference("messages_per_s", cost.messages_per_s, of_hollow.messages_per_s),
        difference("bytes_per_s", cost.bytes_per_s, of_hollow.bytes_per_s),
        difference("peak_bytes_per_s", cost.peak_bytes_per_s, of_hollow.peak_bytes_per_s),
        difference("cores", cost.cores, of_hollow.cores),
        difference("memory_bytes", cost.memory_bytes, of_hollow.memory_bytes),
    ];
    if let (Some(messages), Some(bytes)) = (anchor.messages_per_event, anchor.bytes_per_event)
        && run.events > 0
    {
        let hollow_messages = of_hollow.messages as f64 / run.events as f64;
        let hollow_bytes = of_hollow.bytes as f64 / run.events as f64;
        differences.push(difference("messages_per_event", messages, hollow_messages));
        differences.push(difference("bytes_per_event", bytes, hollow_bytes));
    }
    differences
}
