//! Slopes of made-up fleets whose growth is known, and the file that keeps them.

use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use scale::fit::{Form, Point};
use scale::measurement::{Delays, Measurement, Role};
use scale::slopes::assess::{Prediction, assess, assess_points};
use scale::slopes::axis::{Axis, Conditions};
use scale::slopes::execute::{Run, State, execute};
use scale::slopes::file::{FileError, SlopesFile, VERSION};
use scale::slopes::machine::Machine;
use scale::slopes::plan::{Extent, Group, Plan};
use scale::slopes::projection::{Combination, project};
use scale::slopes::quantity::{BUDGET_IN_FORCE_MS, Quantity, Subject};
use scale::slopes::scenario::{built_in_fleet, point_of};
use scale::slopes::table::{figure, file_tables, percent};
use serde_json::json;

const BASE: Conditions = Conditions {
    relays: 60,
    destinations: 200,
    share_down: 0.043,
    events_per_relay: 100.0,
    changes_per_day: 1_600.0,
};

fn plan() -> Plan {
    Plan {
        extent: Extent::Quick,
        groups: vec![Group {
            name: "all".into(),
            roles: vec![Role::Member, Role::LimitCoordinator, Role::HealthObservations, Role::ControlMachine],
            subjects: vec![
                Subject::Member,
                Subject::LimitCoordinator,
                Subject::HealthObservations,
                Subject::ControlMachine,
                Subject::Fleet,
            ],
            base: BASE,
            sizes: vec![
                (Axis::Relays, vec![30.0, 60.0, 90.0, 120.0, 200.0, 300.0]),
                (Axis::Destinations, vec![100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0]),
                (Axis::ShareDown, vec![1.0, 2.0, 4.3, 6.0]),
            ],
            corners: [
                Conditions { relays: 90, destinations: 400, ..BASE },
                Conditions { relays: 200, destinations: 1_600, ..BASE },
            ],
        }],
        warm_up_s: 5,
        simulated_s: 10,
        changing_s: 10,
        bound: Duration::from_secs(10),
        bound_of_all: Duration::from_secs(60),
    }
}

fn cost(role: Role, machines: u32, bytes_per_s: f64, memory_bytes: f64) -> serde_json::Value {
    json!({
        "role": role, "machines": machines, "messages": 0, "bytes": 0, "bytes_per_s": bytes_per_s,
        "peak_bytes_per_s": 2.0 * bytes_per_s, "messages_per_s": 1.0, "cores": 0.001, "memory_bytes": memory_bytes,
    })
}

/// Members grow with relays and destinations in turn, coordinators with the product of both; health observations grow
/// with the relays until 100, and with their square beyond.
fn measure(conditions: Conditions) -> Measurement {
    let machines = conditions.relays;
    let (relays, destinations) = (f64::from(machines), f64::from(conditions.destinations));
    let knee = if relays > 100.0 { relays * relays / 100.0 } else { relays };
    let measurement = json!({
        "relays": machines, "destinations": conditions.destinations, "share_down": conditions.share_down,
        "events_per_s": conditions.events_per_relay * relays, "changes_per_day": conditions.changes_per_day,
        "seed": 1, "simulated_s": 10.0, "real_s": 0.1,
        "roles": [
            cost(Role::Member, machines, 5.0 * relays + destinations, 2e6),
            cost(Role::LimitCoordinator, machines, relays * destinations / 100.0, 1e6),
            cost(Role::HealthObservations, machines, 10.0 * knee, 5e5),
            cost(Role::ControlMachine, 3, 90_000.0, 1e9),
        ],
        "detection": Delays { count: 1, p50_us: 1_000, p99_us: 2_500, p999_us: 2_500, max_us: 2_500 },
        "in_force": Delays::default(),
    });
    serde_json::from_value(measurement).unwrap()
}

fn run(group: &Group, conditions: Conditions, _: Duration) -> Run {
    Run::complete(group, conditions, Duration::from_millis(100), measure(conditions))
}

fn file() -> SlopesFile {
    let (plan, runs) = (plan(), execute(&plan(), run));
    let slopes = assess(&plan, &runs);
    SlopesFile {
        version: VERSION,
        command: "scale slopes --quick".into(),
        seed: 1,
        commit: "0123abc".into(),
        extent: plan.extent,
        machine: Machine { cores: 8, load_before: Some(3.0), beside_other_load: true },
        projections: project(&plan, &runs, &slopes),
        slopes,
        runs,
        groups: plan.groups,
    }
}

#[test]
fn the_smaller_half_predicts_the_largest_size_and_the_target() {
    let file = file();
    let member = file.slope(Subject::Member, Axis::Relays, Quantity::BytesPerS).unwrap();
    let check = member.check.unwrap();
    assert_eq!((check.fit.form, check.size, check.measured), (Form::Linear, 300.0, 1_700.0));
    assert!(check.error < 1e-9);
    assert_eq!(member.prediction, Prediction::Held);
    let target = member.at_target.unwrap();
    assert!((target.predicted - 5_200.0).abs() < 1e-6);
    assert!((target.need_over_budget.unwrap() - 5_200.0 / 7_000.0).abs() < 1e-9);
    assert_eq!(target.conditions, Conditions { relays: 1_000, ..BASE });
    assert_eq!(member.beyond(), Some(1_000.0 / 300.0));
    let memory = file.slope(Subject::Member, Axis::Destinations, Quantity::MemoryMb).unwrap();
    assert_eq!(memory.fit.unwrap().form, Form::Constant);
    assert!((memory.at_target.unwrap().predicted - 2.0).abs() < 1e-9);
}

#[test]
fn a_form_that_did_not_predict_is_marked_wrong() {
    let file = file();
    let health = file.slope(Subject::HealthObservations, Axis::Relays, Quantity::BytesPerS).unwrap();
    let check = health.check.unwrap();
    assert_eq!((check.predicted.round(), check.measured), (3_000.0, 9_000.0));
    assert_eq!(health.prediction, Prediction::Failed);
    let printed = file_tables(&file);
    assert!(printed.contains("failed"));
    assert!(printed.contains("Not measured: events, changes, configuration."), "{printed}");
}

#[test]
fn a_form_that_ends_below_zero_is_marked_wrong_however_well_it_predicts() {
    let falling = [100.0, 200.0, 300.0, 400.0, 500.0, 600.0];
    let points = falling.map(|size| Point { size, value: 5_000.0 - 6.0 * size });
    let slope = assess_points(Subject::Member, Axis::Relays, Quantity::BytesPerS, &BASE, points.to_vec());
    assert!(slope.check.unwrap().error < 1e-9);
    assert!(slope.at_target.unwrap().predicted < 0.0);
    assert_eq!(slope.prediction, Prediction::Failed);
    assert!(slope.reason.unwrap().contains("less than nothing"));
}

#[test]
fn too_few_sizes_make_no_prediction_and_say_why() {
    let file = file();
    let slope = file.slope(Subject::Member, Axis::ShareDown, Quantity::BytesPerS).unwrap();
    assert_eq!((slope.points.len(), slope.prediction), (4, Prediction::NotMade));
    assert!(slope.reason.as_ref().unwrap().contains("2 different sizes"), "{slope:?}");
    assert!(slope.at_target.is_some());
    assert!(file.slope(Subject::Fleet, Axis::Relays, Quantity::InForceMaxMs).is_none(), "none was measured");
}

#[test]
fn axes_combine_as_the_smaller_corner_tells_and_the_larger_checks() {
    let file = file();
    for (subject, combination, at_target) in [
        (Subject::Member, Combination::Sum, 5.0 * 1_000.0 + 56_000.0),
        (Subject::LimitCoordinator, Combination::Product, 1_000.0 * 56_000.0 / 100.0),
    ] {
        let found = file.projection(subject, Quantity::BytesPerS).unwrap();
        assert_eq!((found.combination, found.prediction), (combination, Prediction::Held), "{found:?}");
        assert!((found.at_target.predicted / at_target - 1.0).abs() < 1e-9, "{found:?}");
    }
}

#[test]
fn a_relay_is_projected_as_the_sum_of_its_roles() {
    let file = file();
    let of = |subject| file.projection(subject, Quantity::BytesPerS).unwrap();
    let roles = [Subject::Member, Subject::LimitCoordinator, Subject::HealthObservations].map(of);
    let relay = of(Subject::Relay);
    let sum: f64 = roles.iter().map(|role| role.at_target.predicted).sum();
    assert_eq!(relay.combination, Combination::SumOfRoles);
    assert!((relay.at_target.predicted / sum - 1.0).abs() < 1e-9, "{relay:?}");
    assert_eq!(relay.prediction, Prediction::Held, "as each role does");
    assert!(roles.iter().all(|role| role.prediction == Prediction::Held));
}

#[test]
fn every_point_is_measured_once_and_one_that_does_not_end_is_kept_as_partial() {
    let plan = plan();
    let runs = execute(&plan, |group, conditions, bound| {
        assert!(bound <= plan.bound);
        if conditions.relays == 300 {
            return Run::partial(group, conditions, bound, 0.4, "still running after 10 s".into());
        }
        run(group, conditions, bound)
    });
    assert_eq!(runs.len(), 6 + 5 + 3 + 2);
    let points: Vec<_> = plan.points().into_iter().map(|(_, conditions)| conditions).collect();
    assert_eq!(runs.iter().map(|run| run.conditions).collect::<Vec<_>>(), points);
    assert_eq!(runs.iter().filter(|run| run.state == State::Partial).count(), 1);
    let slopes = assess(&plan, &runs);
    let member = slopes.iter().find(|slope| slope.subject == Subject::Member && slope.axis == Axis::Relays);
    let member = member.unwrap();
    assert_eq!((member.points.len(), member.points.last().unwrap().size), (5, 200.0));
    assert!(file_tables(&SlopesFile { runs, slopes, ..file() }).contains("partial: all: 300 relays"));
}

#[test]
fn points_that_the_time_of_the_plan_does_not_reach_are_partial_too() {
    let plan = Plan { bound_of_all: Duration::ZERO, ..plan() };
    let runs = execute(&plan, |_, _, _| panic!("no time is left"));
    assert!(runs.iter().all(|run| run.state == State::Partial && run.reached == 0.0));
    assert!(runs[0].reason.as_ref().unwrap().starts_with("not begun"));
}

#[test]
fn a_file_is_read_as_it_was_written() {
    let folder = std::env::temp_dir().join(format!("scale-slopes-{}", std::process::id()));
    let path = folder.join("slopes.json");
    let mut written = file();
    written.write(&path).unwrap();
    let read = SlopesFile::read(&path).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    for run in &mut written.runs {
        run.measurement = None;
    }
    // The reader may be off by the last bit of a number, so slopes are compared as they are printed.
    assert_eq!(file_tables(&read), file_tables(&written));
    assert_eq!((&read.runs, &read.groups, read.machine), (&written.runs, &written.groups, written.machine));
    let counts =
        |file: &SlopesFile| (file.slopes.len(), file.projections.len(), file.seed, file.commit.clone());
    assert_eq!(counts(&read), counts(&written));
}

#[test]
fn a_number_that_is_not_finite_is_not_written() {
    let mut file = file();
    file.slopes[0].points[1].value = f64::NAN;
    let error = file.write(Path::new("/nowhere/slopes.json")).unwrap_err();
    assert_eq!(
        error.to_string(),
        r#"/nowhere/slopes.json: at the key "member/relays/bytes-per-s/points": not a finite number"#
    );
}

#[test]
fn bad_files_are_refused_with_file_and_key() {
    let text = serde_json::to_string_pretty(&file()).unwrap();
    let refused = |text: &str| SlopesFile::parse(text, Path::new("bad.json")).unwrap_err();
    assert!(SlopesFile::parse(&text, Path::new("good.json")).is_ok());

    let cut = &text[..text.find("\"need_over_budget\":").unwrap() + 24];
    let error = refused(cut);
    assert!(matches!(&error, FileError::Cut { key, .. } if key == "need_over_budget"), "{error}");
    assert!(error.to_string().starts_with("bad.json: "), "{error}");

    let error = refused(&text.replacen("\"version\": 1", "\"version\": 2", 1));
    assert_eq!(error.to_string(), "bad.json: the key \"version\" is 2, but only 1 can be read");
    let error = refused("{}");
    assert_eq!(error.to_string(), "bad.json: the key \"version\" is null, but only 1 can be read");

    for value in ["NaN", "null", "1e999", "\"much\""] {
        let error =
            refused(&text.replacen("\"residual\": ", &format!("\"residual\": {value}, \"was\": "), 1));
        assert!(matches!(&error, FileError::Value { key, .. } if key == "residual"), "{value}: {error}");
    }
    let error = refused(&text.replacen("\"seed\"", "\"seeds\"", 1));
    assert!(error.to_string().contains("missing field `seed`"), "{error}");
    let error = SlopesFile::read(Path::new("/nowhere/slopes.json")).unwrap_err();
    assert!(error.to_string().starts_with("/nowhere/slopes.json: cannot be read"), "{error}");
}

#[test]
fn figures_have_three_digits_and_commas_between_thousands() {
    let printed = [0.0, 0.001234, 0.5, 12.345, 999.4, 1_234.6, 1_234_567.0, -4_321.0].map(figure);
    assert_eq!(printed, ["0", "0.00123", "0.500", "12.3", "999", "1,235", "1,234,567", "-4,321"]);
    assert_eq!(percent(0.1234), "12.3%");
}

#[test]
fn both_plans_have_the_base_and_enough_sizes_on_each_axis() {
    for plan in [Plan::quick(), Plan::full()] {
        for group in &plan.groups {
            for (axis, sizes) in &group.sizes {
                assert!(sizes.len() >= 8 && sizes.is_sorted(), "{} {axis}", group.name);
                assert!(
                    sizes.iter().any(|&size| axis.set(&group.base, size) == group.base),
                    "{} {axis}",
                    group.name
                );
            }
            let [smaller, larger] = group.corners;
            // Corners raise the fleet, its destinations, and what drives the roles: events, or changes.
            let driver = if group.is_distribution() { Axis::Changes } else { Axis::Events };
            for axis in [Axis::Relays, Axis::Destinations, driver] {
                let sizes = [group.base, smaller, larger].map(|conditions| axis.size(&conditions));
                assert!(sizes[0] < sizes[1] && sizes[1] < sizes[2], "{} {axis}: {sizes:?}", group.name);
            }
        }
    }
}

#[test]
fn a_point_is_measured_in_a_process_of_its_own_and_ends_at_its_bound() {
    let fleet = built_in_fleet().unwrap();
    assert_eq!((fleet.regions.len(), fleet.zones.len()), (6, 14));
    let plan = Plan { warm_up_s: 1, simulated_s: 2, changing_s: 20, ..Plan::quick() };
    let small = Conditions { relays: 4, destinations: 5, events_per_relay: 2.0, ..BASE };
    let point_of_group = |group: &Group, conditions: &Conditions, bound: Duration| {
        let scenario = point_of(&fleet, &plan, group, conditions, bound).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_scale"))
            .args(["point", "--seed", "7"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        serde_json::to_writer(process.stdin.take().unwrap(), &scenario).unwrap();
        let output = process.wait_with_output().unwrap();
        (output.status.code(), serde_json::from_slice::<Measurement>(&output.stdout).unwrap())
    };
    let point = |conditions: &Conditions, bound| point_of_group(&plan.groups[0], conditions, bound);
    let (status, measurement) = point(&small, Duration::from_secs(60));
    assert_eq!((status, measurement.relays, measurement.seed), (Some(0), 4, 7));
    assert!(Quantity::BytesPerS.of(Subject::Member, &measurement).unwrap() > 0.0);
    let large = Conditions { relays: 100, ..small };
    let (status, measurement) = point(&large, Duration::from_millis(1));
    assert_eq!(status, Some(3));
    assert!(measurement.simulated_s < 2.0);
    let distribution = plan.groups.iter().find(|group| group.is_distribution()).unwrap();
    let changing = Conditions { relays: 14, changes_per_day: 17_280.0, ..small };
    let (status, measurement) = point_of_group(distribution, &changing, Duration::from_secs(60));
    assert_eq!((status, measurement.relays, measurement.changes_per_day), (Some(0), 14, 17_280.0));
    // Four changes in twenty seconds, each in force on fourteen relays.
    assert_eq!(measurement.in_force.count, 4 * 14);
    assert!(Quantity::BytesPerS.of(Subject::Configuration, &measurement).unwrap() > 0.0);
    assert!(Quantity::InForceMaxMs.of(Subject::Fleet, &measurement).unwrap() < BUDGET_IN_FORCE_MS);
}
