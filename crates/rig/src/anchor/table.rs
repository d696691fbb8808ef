//! How measurements and comparisons are shown to people.

use comfy_table::{CellAlignment, Table, presets};
use scale::measurement::Role;

use super::comparison::{Comparison, Difference};
use super::measurement::AnchorMeasurement;

/// Columns at the left that hold words, in both tables.
const WORD_COLUMNS: usize = 4;
/// What stands beside a difference that has to be explained.
const LARGE: &str = "over 20%";

/// A table of what was measured, a row for each period of a run.
pub fn measured(measurements: &[AnchorMeasurement]) -> String {
    let mut table = table(&[
        "relays",
        "settings",
        "period",
        "role",
        "messages",
        "bytes",
        "messages/s",
        "bytes/s",
        "peak bytes/s",
        "messages/event",
        "bytes/event",
        "cores",
        "memory",
        "process cores",
        "process memory",
        "events",
        "",
    ]);
    for measurement in measurements {
        table.add_row(measured_row(measurement));
    }
    table.to_string()
}

fn measured_row(measurement: &AnchorMeasurement) -> Vec<String> {
    let cost = measurement.roles.first();
    let of_role = |read: fn(&scale::measurement::RoleCost) -> String| cost.map_or("-".into(), read);
    let of_event = |figure: Option<f64>| figure.map_or("-".into(), number);
    vec![
        measurement.relays.to_string(),
        measurement.settings.name().into(),
        measurement.period.name().into(),
        of_role(|cost| role_name(cost.role).into()),
        of_role(|cost| cost.messages.to_string()),
        of_role(|cost| cost.bytes.to_string()),
        of_role(|cost| number(cost.messages_per_s)),
        of_role(|cost| number(cost.bytes_per_s)),
        of_role(|cost| number(cost.peak_bytes_per_s)),
        of_event(measurement.messages_per_event),
        of_event(measurement.bytes_per_event),
        of_role(|cost| number(cost.cores)),
        of_role(|cost| number(cost.memory_bytes)),
        number(measurement.process_cores),
        number(measurement.process_memory_bytes),
        measurement.events.to_string(),
        if measurement.kept_up() { String::new() } else { "did not keep up".into() },
    ]
}

/// A table of comparisons, a row for each quantity.
pub fn compared(comparisons: &[Comparison]) -> String {
    let mut table = table(&["relays", "role", "period", "quantity", "rig", "hollow", "difference", ""]);
    for comparison in comparisons {
        for row in compared_rows(comparison) {
            table.add_row(row);
        }
    }
    table.to_string()
}

fn compared_rows(comparison: &Comparison) -> Vec<Vec<String>> {
    let Comparison { relays, role, period, .. } = comparison;
    let place = [relays.to_string(), role_name(*role).to_string(), period.name().to_string()];
    let row = |cells: [String; 5]| place.iter().cloned().chain(cells).collect::<Vec<_>>();
    let remark = |quantity: &str, remark: String| {
        row([quantity.into(), String::new(), String::new(), String::new(), remark])
    };
    let mut rows = Vec::new();
    if comparison.differences.is_empty() {
        rows.push(remark("", "no such hollow run at this size".into()));
    }
    for difference in &comparison.differences {
        rows.push(row(difference_cells(difference)));
    }
    for input in &comparison.other_inputs {
        rows.push(remark("input", format!("not the same: {input}")));
    }
    rows
}

fn difference_cells(difference: &Difference) -> [String; 5] {
    [
        difference.quantity.into(),
        number(difference.rig),
        number(difference.hollow),
        format!("{:+.1}%", difference.part() * 100.0),
        if difference.is_large() { LARGE.into() } else { String::new() },
    ]
}

fn table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns.to_vec());
    for column in table.column_iter_mut().skip(WORD_COLUMNS) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Member => "member",
        Role::LimitCoordinator => "limit-coordinator",
        Role::HealthObservations => "health-observations",
        Role::Configuration => "configuration",
        Role::ControlMachine => "control-machine",
    }
}

/// A figure with as many decimals as its size lets one read.
fn number(figure: f64) -> String {
    let decimals = match figure.abs() {
        1000.0.. => 0,
        10.0.. => 1,
        0.1.. => 3,
        _ => 6,
    };
    format!("{figure:.decimals$}")
}
