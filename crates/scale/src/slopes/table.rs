//! Slopes as a table for a terminal.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};

use super::assess::{Prediction, Slope};
use super::axis::Axis;
use super::execute::{Run, State};
use super::file::SlopesFile;
use super::projection::Projection;
use super::quantity::{AtTarget, Subject};

/// Significant digits of a printed figure.
const DIGITS: i32 = 3;

/// Parts below this percentage are printed as none.
const LEAST_PERCENT: f64 = 1e-4;

const SLOPE_HEADER: [&str; 13] = [
    "role",
    "axis",
    "quantity",
    "sizes",
    "form",
    "predicted",
    "measured",
    "error",
    "prediction",
    "times beyond",
    "at the target",
    "budget",
    "need",
];

const PROJECTION_HEADER: [&str; 11] = [
    "role",
    "quantity",
    "at the base",
    "combined by",
    "predicted",
    "measured",
    "error",
    "prediction",
    "at the target",
    "budget",
    "need",
];

/// All of a file: the slopes, the projections, and the points that are missing.
pub fn file_tables(file: &SlopesFile) -> String {
    let mut text = format!(
        "Slopes: predicted from the smaller half of the sizes, measured at the largest; at the target with all other \
         sizes at the base, so many times beyond the largest size\n{}\n\nAll sizes at once: predicted and measured at the larger corner of the group\n{}\n",
        slope_table(&file.slopes),
        projection_table(&file.projections)
    );
    for run in file.runs.iter().filter(|run| run.state != State::Complete) {
        text.push_str(&missing(run));
    }
    text.push_str(&not_measured(file));
    if file.machine.beside_other_load {
        text.push_str("Processor figures were taken beside other load.\n");
    }
    text
}

/// One row for each slope.
pub fn slope_table(slopes: &[Slope]) -> Table {
    let mut table = table(&SLOPE_HEADER, 3);
    for slope in slopes {
        let largest = slope.points.last().map_or(0.0, |point| point.size);
        let smallest = slope.points.first().map_or(0.0, |point| point.size);
        let check = slope.check.as_ref();
        let form = check.map(|check| check.fit.form).or(slope.fit.map(|fit| fit.form));
        let mut row = vec![
            slope.subject.name().to_owned(),
            slope.axis.name().to_owned(),
            slope.quantity.name().to_owned(),
            format!("{} to {}", figure(smallest), figure(largest)),
            form.map_or("", |form| form.name()).to_owned(),
        ];
        row.extend(outcome(
            check.map(|check| (check.predicted, check.measured, check.error)),
            slope.prediction,
        ));
        row.push(slope.beyond().map(figure).unwrap_or_default());
        row.extend(target(slope.at_target.as_ref()));
        table.add_row(row);
    }
    table
}

/// One row for each projection.
pub fn projection_table(projections: &[Projection]) -> Table {
    let mut table = table(&PROJECTION_HEADER, 2);
    for projection in projections {
        let mut row = vec![
            projection.subject.name().to_owned(),
            projection.quantity.name().to_owned(),
            projection.base.map(figure).unwrap_or_default(),
            projection.combination.name().to_owned(),
        ];
        let check = projection.check.map(|check| (check.predicted, check.measured, check.error));
        row.extend(outcome(check, projection.prediction));
        row.extend(target(Some(&projection.at_target)));
        table.add_row(row);
    }
    table
}

/// A figure with three significant digits, and commas between thousands.
pub fn figure(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits_before = value.abs().log10().floor() as i32 + 1;
    let decimals = (DIGITS - digits_before).max(0);
    let text = format!("{value:.*}", decimals as usize);
    if value.abs() < 1_000.0 { text } else { with_commas(&text) }
}

/// A part of a whole in percent.
pub fn percent(part: f64) -> String {
    let percent = part * 100.0;
    if percent.abs() < LEAST_PERCENT { "0%".to_owned() } else { format!("{}%", figure(percent)) }
}

fn with_commas(digits: &str) -> String {
    let (sign, digits) = digits.split_at(usize::from(digits.starts_with('-')));
    let mut text = String::from(sign);
    for (index, digit) in digits.char_indices() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

fn table(header: &[&str], columns_of_words: usize) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(header);
    for column in table.column_iter_mut().skip(columns_of_words) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn outcome(check: Option<(f64, f64, f64)>, prediction: Prediction) -> [String; 4] {
    let (predicted, measured, error) = check.map_or_else(Default::default, |(predicted, measured, error)| {
        (figure(predicted), figure(measured), percent(error))
    });
    [predicted, measured, error, prediction.name().to_owned()]
}

fn target(target: Option<&AtTarget>) -> [String; 3] {
    let show = |value: Option<f64>, show: fn(f64) -> String| value.map(show).unwrap_or_default();
    let predicted = target.map(|target| target.predicted);
    let budget = target.and_then(|target| target.budget);
    let need = target.and_then(|target| target.need_over_budget);
    [show(predicted, figure), show(budget, figure), show(need, percent)]
}

/// Axes and roles that no group of the plan has.
fn not_measured(file: &SlopesFile) -> String {
    let has_axis =
        |axis: &Axis| file.groups.iter().any(|group| group.sizes.iter().any(|(one, _)| one == axis));
    let has_subject = |subject: &Subject| file.groups.iter().any(|group| group.subjects.contains(subject));
    let axes = Axis::ALL.into_iter().filter(|axis| !has_axis(axis)).map(Axis::name);
    let summed = Subject::Relay;
    let subjects = Subject::ALL.into_iter().filter(|subject| *subject != summed && !has_subject(subject));
    let names: Vec<&str> = axes.chain(subjects.map(Subject::name)).collect();
    if names.is_empty() { String::new() } else { format!("Not measured: {}.\n", names.join(", ")) }
}

fn missing(run: &Run) -> String {
    let state = if run.state == State::Partial { "partial" } else { "failed" };
    let reason = run.reason.as_deref().unwrap_or("no reason given");
    let size = &run.conditions;
    format!(
        "{state}: {}: {} relays, {} destinations, {}% down, {} events a second and relay, {} changes a day: {reason}; {} \
         reached in {:.1} s\n",
        run.group,
        size.relays,
        size.destinations,
        figure(size.share_down * 100.0),
        size.events_per_relay,
        size.changes_per_day,
        percent(run.reached),
        run.real_s
    )
}
