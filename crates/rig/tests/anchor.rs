//! What the anchors rest on: what the system tells of processes and sockets, the plan, the records, and the join.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rig::anchor::comparison::{Comparison, RecordsError, compare, read_records};
use rig::anchor::measurement::{AnchorMeasurement, Period, measurements};
use rig::anchor::plan::RoleSettings;
use rig::anchor::process_usage::{self, processor_ticks, resident_bytes};
use rig::anchor::run::{PeriodUsage, RelayUsage, RunUsage};
use rig::anchor::socket_drops::dropped;
use rig::anchor::table;
use rig::scenario::Scenario;
use scale::measurement::{Measurement, Role, RoleCost};

/// A line of `/proc/PID/stat` whose command has a space and a bracket in its name.
const STAT: &str = "4242 (a b) c) S 1 4242 4242 0 -1 4194304 500 0 0 0 37 5 0 0 20 0 9 0 71272 3133440 406 \
    18446744073709551615 1 1 0 0 0 0 0 0 0 0 0 0 17 3 0 0 0 0 0 0 0 0 0 0 0 0 0\n";

const SMAPS_ROLLUP: &str = "5581-7ffc ---p 00000000 00:00 0    [rollup]\nRss:                1528 kB\n\
    Pss:                 300 kB\n";

const SCENARIO: &str = "about = \"x\"\nrelays = 3\nseconds = 9\n[load]\nper_s = 16\n\
    [[partner]]\ncount = 20\nper_s = 1\n\
    [[fault]]\nfrom_s = 0\nto_s = 9\nkind = \"shut\"\npartners = {start = 0, end = 2}\n\
    [anchor]\nsettle_s = 3\nidle_s = 6\nload_settle_s = 3\n\
    [[anchor.size]]\nrelays = 2\nevents_per_s = 10\ndestination_per_s = 4\n";

fn scenario_of_two() -> Scenario {
    let scenario = Scenario::read(SCENARIO).expect("the scenario makes sense");
    let plan = scenario.anchor.clone().expect("it has a plan");
    plan.scenario(&scenario, 2).expect("the plan has the size")
}

fn relay(messages: u64, bytes: u64, processor_s: f64, resident_bytes: u64) -> RelayUsage {
    RelayUsage { messages, bytes, processor_s, resident_bytes }
}

fn run(idle: [RelayUsage; 2], load: [RelayUsage; 2]) -> RunUsage {
    RunUsage {
        idle: PeriodUsage { seconds: 10.0, events: 0, relays: idle.to_vec() },
        load: PeriodUsage { seconds: 10.0, events: 100, relays: load.to_vec() },
        lag_ms: 1,
        fabric_drops: 0,
        relay_drops: 0,
    }
}

fn runs() -> Vec<(RoleSettings, RunUsage)> {
    let silent = relay(0, 0, 0.1, 4000);
    let asking = relay(50, 1500, 0.2, 5000);
    vec![
        (RoleSettings::Baseline, run([silent, silent], [silent, silent])),
        (
            RoleSettings::Permits,
            run([silent, silent], [relay(300, 9000, 0.5, 6000), relay(100, 3000, 0.3, 6000)]),
        ),
        (RoleSettings::Observations, run([asking, asking], [relay(60, 2000, 0.3, 7000), asking])),
    ]
}

fn measured() -> Vec<AnchorMeasurement> {
    measurements(&scenario_of_two(), 7, &runs()).expect("there is a baseline")
}

fn cost(role: Role, messages: u64, bytes: u64) -> RoleCost {
    RoleCost {
        role,
        machines: 2,
        messages,
        bytes,
        bytes_per_s: bytes as f64 / 20.0,
        peak_bytes_per_s: bytes as f64 / 10.0,
        messages_per_s: messages as f64 / 20.0,
        cores: 0.03,
        memory_bytes: 2000.0,
    }
}

fn hollow(relays: u32, events_per_s: f64, roles: Vec<RoleCost>) -> Measurement {
    Measurement {
        relays,
        destinations: 20,
        share_down: if events_per_s > 0.0 { 0.1 } else { 0.0 },
        events_per_s,
        changes_per_day: 0.0,
        seed: 7,
        simulated_s: 10.0,
        real_s: 0.1,
        // The rate is a mean: fewer came.
        events: (events_per_s * 8.0) as u64,
        roles,
        ..Measurement::default()
    }
}

fn comparison_of(comparisons: &[Comparison], role: Role) -> &Comparison {
    comparisons.iter().find(|comparison| comparison.role == role).expect("the role was measured")
}

fn quantity(comparison: &Comparison, name: &str) -> [f64; 2] {
    let difference = comparison.differences.iter().find(|difference| difference.quantity == name);
    difference.map(|difference| [difference.rig, difference.hollow]).expect(name)
}

fn file_with(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("the file is written");
    file
}

#[test]
fn processor_time_is_read_whatever_the_command_is_called() {
    assert_eq!(processor_ticks(STAT), Ok(42));
}

#[test]
fn a_stat_text_that_is_cut_or_spoilt_is_an_error_that_names_the_field() {
    let cut: Vec<&str> = STAT.split(' ').take(16).collect();
    assert_eq!(processor_ticks(&cut.join(" ")), Err("stime"));
    assert_eq!(processor_ticks(&STAT.replace(" 37 ", " -37 ")), Err("utime"));
    assert_eq!(processor_ticks("4242 no name"), Err("comm"));
    assert_eq!(processor_ticks(""), Err("comm"));
}

#[test]
fn resident_memory_is_read_in_bytes() {
    assert_eq!(resident_bytes(SMAPS_ROLLUP), Ok(1528 * 1024));
    for spoilt in ["", "Rss: 12 MB\n", "Rss: many kB\n", "Pss: 3 kB\n"] {
        assert_eq!(resident_bytes(spoilt), Err("Rss"), "{spoilt:?}");
    }
}

#[test]
fn this_process_has_memory_and_a_process_that_is_not_there_names_its_file() {
    let own = process_usage::read(std::process::id()).expect("this process is there");
    assert!(own.resident_bytes > 0 && own.processor_s >= 0.0, "{own:?}");
    let error = process_usage::read(u32::MAX).expect_err("no process has such a number");
    assert!(error.to_string().starts_with("/proc/4294967295/stat: "), "{error}");
}

#[test]
fn drops_of_other_sockets_do_not_count() {
    let local = |host: [u8; 4], port: u16| format!("{:08X}:{port:04X}", u32::from_ne_bytes(host));
    let line = |address: String, drops: u64| {
        format!("  7: {address} 00000000:0000 07 00000000:00000000 00:00000000 00000000 0 0 1 2 0 {drops}\n")
    };
    let text = [
        "  sl  local_address rem_address st ... drops\n".to_string(),
        line(local([127, 16, 3, 1], 7003), 5),
        line(local([127, 16, 3, 2], 7003), 2),
        line(local([127, 16, 3, 1], 7002), 100),
        "a line that is cut\n".to_string(),
    ];
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    let carriers = HashSet::from([address("127.16.3.1:7003"), address("127.16.3.2:7003")]);
    assert_eq!(dropped(&text.concat(), &carriers), 7);
}

#[test]
fn a_plan_that_makes_no_sense_is_named_by_its_key() {
    for (good, bad, named) in [
        ("idle_s = 6", "idle_s = 0", "anchor.idle_s: "),
        ("\nsettle_s = 3", "\nsettle_s = -1", "anchor.settle_s: "),
        ("load_settle_s = 3", "load_settle_s = 9", "anchor.load_settle_s: "),
        ("relays = 2\n", "relays = 0\n", "anchor.size.relays: "),
        ("events_per_s = 10", "events_per_s = 0", "anchor.size.events_per_s: "),
        ("destination_per_s = 4", "destination_per_s = inf", "anchor.size.destination_per_s: "),
        ("idle_s = 6", "idel_s = 6", "unknown field `idel_s`"),
    ] {
        let error = Scenario::read(&SCENARIO.replacen(good, bad, 1)).expect_err(bad);
        assert!(format!("{error:#}").contains(named), "{bad}: {error:#}");
    }
}

#[test]
fn a_size_has_the_load_that_the_plan_has_for_it() {
    let sized = scenario_of_two();
    assert_eq!((sized.relays, sized.load.per_s), (2, 10.0));
    assert!(sized.each_partner().iter().all(|partner| partner.per_s == 4.0));
    let scenario = Scenario::read(SCENARIO).expect("the scenario makes sense");
    let plan = scenario.anchor.clone().expect("it has a plan");
    let error = plan.scenario(&scenario, 5).expect_err("the plan has no such size");
    assert!(error.to_string().contains("anchor.size: none has relays = 5"), "{error}");
}

#[test]
fn a_longer_load_keeps_what_is_down_to_its_end_down() {
    let longer = scenario_of_two().lasting(30.0).expect("it makes sense");
    assert_eq!(longer.broken(29.0).count(), 1);
    let error = scenario_of_two().lasting(2.0).expect_err("the measurement begins after the load's end");
    assert!(format!("{error:#}").contains("anchor.load_settle_s: "), "{error:#}");
}

#[test]
fn the_scenario_in_the_repository_has_all_four_sizes() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/anchor.toml");
    let scenario = Scenario::load(&file).expect("it makes sense");
    let plan = scenario.anchor.clone().expect("it has a plan");
    for relays in [3, 30, 100, 200] {
        let sized = plan.scenario(&scenario, relays).expect("it makes sense at this size");
        let part_of_limits = sized.load.per_s / sized.full();
        assert_eq!((sized.each_partner().len(), part_of_limits), (20, 0.8), "{relays} relays");
    }
}

#[test]
fn what_fails_every_call_counts_as_down() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/anchor-down.toml");
    let scenario = Scenario::load(&file).expect("it makes sense");
    let measured = measurements(&scenario, 7, &runs()).expect("there is a baseline");
    let shares_down: Vec<(Period, f64)> = measured.iter().map(|m| (m.period, m.share_down)).take(2).collect();
    assert_eq!(shares_down, [(Period::Idle, 0.0), (Period::Load, 0.1)]);
}

#[test]
fn each_run_switches_one_role_on() {
    let switched_on = |settings: RoleSettings| {
        let on = settings.environment().into_iter().filter(|(_, value)| value == "on");
        on.map(|(key, _)| key).collect::<Vec<_>>()
    };
    assert_eq!(switched_on(RoleSettings::Baseline), Vec::<String>::new());
    assert_eq!(switched_on(RoleSettings::Permits), ["TULIPFALL_PERMITS"]);
    assert_eq!(switched_on(RoleSettings::Observations), ["TULIPFALL_NOTES"]);
}

#[test]
fn the_cost_of_a_role_is_counted_whole_and_processors_and_memory_over_the_baseline() {
    let measured = measured();
    let permits = measured.iter().find(|m| m.settings == RoleSettings::Permits && m.period == Period::Load);
    let permits = permits.expect("it was measured");
    let cost = &permits.roles[0];
    assert_eq!((cost.role, cost.machines), (Role::LimitCoordinator, 2));
    assert_eq!((cost.messages, cost.bytes), (400, 12_000));
    assert_eq!((cost.messages_per_s, cost.bytes_per_s, cost.peak_bytes_per_s), (20.0, 600.0, 900.0));
    assert_eq!((permits.messages_per_event, permits.bytes_per_event), (Some(4.0), Some(120.0)));
    assert!((cost.cores - 0.03).abs() < 1e-9, "0.04 of each process, less 0.01: {}", cost.cores);
    assert_eq!((cost.memory_bytes, permits.process_memory_bytes), (2000.0, 6000.0));
    assert_eq!((permits.destinations, permits.share_down, permits.events_per_s), (20, 0.1, 10.0));
}

#[test]
fn a_baseline_has_no_role_and_idle_relays_with_observations_show_membership() {
    let measured = measured();
    let roles = |settings: RoleSettings, period: Period| {
        let of = measured.iter().find(|m| m.settings == settings && m.period == period);
        of.expect("it was measured").roles.iter().map(|cost| cost.role).collect::<Vec<_>>()
    };
    assert_eq!(roles(RoleSettings::Baseline, Period::Load), []);
    assert_eq!(roles(RoleSettings::Observations, Period::Idle), [Role::Member]);
    assert_eq!(roles(RoleSettings::Observations, Period::Load), [Role::HealthObservations]);
    let without: Vec<_> = runs().into_iter().skip(1).collect();
    assert!(measurements(&scenario_of_two(), 7, &without).is_err(), "nothing to compare processors with");
}

#[test]
fn a_run_that_lost_datagrams_or_left_late_does_not_count() {
    let good = measured().remove(0);
    assert!(good.kept_up());
    assert!(!AnchorMeasurement { lag_ms: 51, ..good.clone() }.kept_up());
    assert!(!AnchorMeasurement { fabric_drops: 1, ..good }.kept_up());
}

#[test]
fn a_measurement_comes_back_from_json_and_has_the_fields_of_a_hollow_one() {
    let permits = measured().remove(3);
    let json = serde_json::to_value(&permits).expect("it is written");
    for field in ["relays", "destinations", "share_down", "events_per_s", "seed", "roles"] {
        assert!(json.get(field).is_some(), "{field}: {json}");
    }
    for field in
        ["messages", "bytes", "bytes_per_s", "peak_bytes_per_s", "messages_per_s", "cores", "memory_bytes"]
    {
        assert!(json["roles"][0].get(field).is_some(), "{field}: {json}");
    }
    let back: AnchorMeasurement = serde_json::from_value(json).expect("it is read");
    assert_eq!(back, permits);
}

#[test]
fn the_join_takes_the_same_size_and_role_and_marks_what_differs_by_over_a_fifth() {
    let hollow = [
        hollow(3, 10.0, vec![cost(Role::LimitCoordinator, 1, 1)]),
        hollow(2, 10.0, vec![cost(Role::Member, 100, 3000), cost(Role::LimitCoordinator, 480, 16_000)]),
    ];
    let comparisons = compare(&measured(), &hollow);
    let loaded = comparisons.iter().find(|c| c.role == Role::LimitCoordinator && c.period == Period::Load);
    let loaded = loaded.expect("permits were measured under load");
    assert_eq!(loaded.other_inputs, Vec::<String>::new());
    assert_eq!(quantity(loaded, "messages_per_event"), [4.0, 6.0]);
    let large = |name: &str| {
        let difference = loaded.differences.iter().find(|difference| difference.quantity == name);
        difference.expect(name).is_large()
    };
    assert!(!large("messages_per_s"), "a fifth is not over a fifth");
    assert!(large("bytes_per_s") && large("bytes_per_event"));
    let shown = table::compared(&comparisons);
    assert!(shown.contains("+33.3%") && shown.contains("over 20%"), "{shown}");
}

#[test]
fn the_join_prefers_the_hollow_run_with_the_same_inputs_and_names_others() {
    let idle_and_loaded = [
        hollow(2, 10.0, vec![cost(Role::Member, 999, 9999)]),
        hollow(2, 0.0, vec![cost(Role::Member, 100, 3000)]),
    ];
    let comparisons = compare(&measured(), &idle_and_loaded);
    let member = comparison_of(&comparisons, Role::Member);
    assert_eq!(quantity(member, "messages_per_s"), [5.0, 5.0]);
    assert_eq!(member.other_inputs, Vec::<String>::new());
    let only_loaded = compare(&measured(), &idle_and_loaded[..1]);
    assert!(comparison_of(&only_loaded, Role::Member).differences.is_empty(), "it was measured idle");
    let other = [hollow(2, 20.0, vec![cost(Role::LimitCoordinator, 1, 1)])];
    let comparisons = compare(&measured(), &other);
    let loaded = comparisons.iter().find(|c| c.role == Role::LimitCoordinator && c.period == Period::Load);
    let loaded = loaded.expect("permits were measured under load");
    assert_eq!(loaded.other_inputs, ["events_per_s 10 and 20"]);
}

#[test]
fn observations_are_compared_with_membership_as_both_share_datagrams() {
    let hollow =
        [hollow(2, 10.0, vec![cost(Role::Member, 30, 900), cost(Role::HealthObservations, 80, 2600)])];
    let comparisons = compare(&measured(), &hollow);
    let observations = comparison_of(&comparisons, Role::HealthObservations);
    assert_eq!(quantity(observations, "messages_per_s"), [5.5, 5.5]);
    assert_eq!(quantity(observations, "bytes_per_s"), [175.0, 175.0]);
}

#[test]
fn a_role_that_no_hollow_run_has_is_shown_as_missing() {
    let comparisons = compare(&measured(), &[hollow(30, 10.0, vec![cost(Role::Member, 1, 1)])]);
    assert!(comparisons.iter().all(|comparison| comparison.differences.is_empty()));
    assert!(table::compared(&comparisons).contains("no such hollow run at this size"));
}

#[test]
fn what_is_zero_on_one_side_alone_is_a_large_difference() {
    let difference =
        |rig: f64, hollow: f64| rig::anchor::comparison::Difference { quantity: "bytes", rig, hollow };
    assert!(!difference(0.0, 0.0).is_large());
    assert!(difference(0.0, 0.1).is_large());
    assert!(difference(0.1, 0.0).is_large());
}

#[test]
fn records_are_read_alone_in_a_list_or_line_by_line() {
    let text = serde_json::to_string(&hollow(2, 10.0, vec![])).expect("it is written");
    let count = |name: &str, text: String| {
        read_records::<Measurement>(&file_with(name, &text)).map(|records| records.len()).expect(name)
    };
    assert_eq!(count("one.json", text.clone()), 1);
    assert_eq!(count("list.json", format!("[{text}, {text}]")), 2);
    assert_eq!(count("lines.json", format!("{text}\n{text}\n")), 2);
}

#[test]
fn a_bad_file_of_records_is_named_with_the_field() {
    let text = serde_json::to_string(&hollow(2, 10.0, vec![])).expect("it is written");
    let error = |name: &str, text: &str| {
        read_records::<Measurement>(&file_with(name, text)).expect_err(name).to_string()
    };
    let missing = error("missing.json", &text.replace("\"simulated_s\"", "\"simulated\""));
    assert!(missing.contains("missing.json: missing field `simulated_s`"), "{missing}");
    let mistyped = error("mistyped.json", &text.replace("\"relays\":2", "\"relays\":\"two\""));
    assert!(mistyped.contains("mistyped.json: invalid type: string \"two\""), "{mistyped}");
    assert!(error("cut.json", &text[..20]).contains("cut.json: EOF"));
    assert!(error("empty.json", "\n").contains("empty.json: expected a record or more"));
    let absent = read_records::<Measurement>(Path::new("absent.json"));
    assert!(matches!(absent, Err(RecordsError::Unreadable { file, .. }) if file == Path::new("absent.json")));
}
