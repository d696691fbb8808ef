//! Days with a one-off event, in a small fleet: what is counted, that a seed repeats it, and what is refused.

use scale::progress::Silent;
use scale::rollout_run::RolloutScenario;
use scale::rollout_run::days::{Day, DayError, DayOutcome, built_in_days, built_in_fleet, run};
use scale::scenario::ScenarioError;

const FAILURE: &str = r#"name = "small"
title = "relays of a zone fail"
changes_per_day = 8640
longest_s = 60

[event]
kind = "relays-of-a-zone-fail"
at_s = 5
for_s = 25
count = 3
"#;

/// 12 relays in three zones. There are few changes, as their signatures take long to verify without optimization.
fn fleet() -> RolloutScenario {
    let mut fleet = built_in_fleet(true).expect("a sound fleet");
    (fleet.relays, fleet.destinations, fleet.signed, fleet.warm_up_s) = (12, 20, false, 6.0);
    fleet.control_zones = vec![0, 1, 2];
    fleet
}

fn outcome(text: &str) -> DayOutcome {
    let day = Day::parse(text, "small.toml").expect("a sound day");
    run(&day, &fleet(), 1, &mut Silent).expect("a whole run")
}

/// The failure's text with another event.
fn event(of: &str) -> String {
    let start = FAILURE.replace("changes_per_day = 8640\n", "");
    let start = start.split("[event]").next().unwrap_or_default();
    format!("{start}[event]\n{of}\nat_s = 5\n")
}

#[test]
fn relays_of_a_zone_fail_and_catch_up() {
    let day = outcome(FAILURE);
    assert_eq!((day.affected.len(), day.hit.most_down, day.others.most_down), (3, 3, 0));
    assert_eq!((day.others.most_late, day.mixed, day.went_back, day.reverted), (0, 0, 0, None));
    assert!((2..=3).contains(&day.after.versions_behind), "25 s at a change each 10 s: {:?}", day.after);
    assert_eq!(day.after.most_late, 3);
    assert!(day.is_whole());
    assert!(day.current_s.is_some_and(|current| current > 0.0 && current < 4.0), "{:?}", day.current_s);
    assert!(day.simulated_s < 75.0, "it ends when all is calm: {}", day.simulated_s);
}

#[test]
fn relays_with_empty_disks_fetch_the_whole_set() {
    let day = outcome(&format!("{FAILURE}empty_disks = true\n"));
    assert_eq!((day.after.most_empty, day.mixed, day.went_back), (3, 0, 0));
    assert!(day.is_whole());
    assert!(day.as_before_s.is_some_and(|seconds| seconds > 1.0 && seconds < 40.0), "{:?}", day.as_before_s);
}

#[test]
fn a_change_is_reverted() {
    let text = event("kind = \"change-reverted\"\nfor_s = 3");
    let day = outcome(&text);
    let again = DayOutcome { real_s: day.real_s, ..outcome(&text) };
    assert_eq!(day, again, "a seed gives the same each time");
    assert_eq!((day.changes, day.reverted), (2, Some(true)));
    assert_eq!(day.in_force.count, 2 * 12, "each change on each relay");
    assert!(day.current_s.is_some_and(|current| current < 1.0), "{:?}", day.current_s);
}

#[test]
fn changes_at_once_are_committed_together() {
    let day = outcome(&event("kind = \"changes\"\ncount = 5"));
    assert_eq!((day.changes, day.in_force.count), (5, 5 * 12));
    let committed = day.committed_s.expect("all were committed");
    assert!((0.04..0.2).contains(&committed), "one round trip between regions, and no five: {committed}");
    assert!(day.current_s.is_some_and(|current| current >= committed && current < 1.0));
    assert_eq!((day.mixed, day.went_back), (0, 0));
}

#[test]
fn a_zone_that_is_dark_is_late_and_others_are_not() {
    let text = FAILURE.replace("relays-of-a-zone-fail", "zone-dark").replace("count = 3\n", "");
    let day = outcome(&text);
    assert_eq!((day.hit.most_down, day.hit.most_late, day.others.most_late), (0, 4, 0));
    assert!(day.hit.oldest_s > 10.0 && day.hit.oldest_s < 25.1, "{:?}", day.hit);
    assert!(day.is_whole());
}

#[test]
fn each_day_that_is_built_in_is_read() {
    let days = built_in_days().expect("sound days");
    assert_eq!(days.len(), 9);
    assert_eq!(built_in_fleet(false).expect("a sound fleet").relays, 1000);
    let quick = built_in_fleet(true).expect("a sound fleet");
    assert_eq!(quick.relays, 60);
    assert!(quick.check().is_ok());
}

/// The line and key of the error.
fn refused(text: &str) -> (usize, String) {
    match Day::parse(text, "bad.toml") {
        Err(ScenarioError::Key { file, line, key, .. }) if file == "bad.toml" => (line, key),
        other => panic!("expected a refused key: {other:?}"),
    }
}

#[test]
fn what_makes_no_sense_is_named_by_line_and_key() {
    let with = |from: &str, to: &str| refused(&FAILURE.replace(from, to));
    assert_eq!(with("longest_s = 60", "longest_s = 0"), (4, "longest_s".into()));
    assert_eq!(with("= 8640", "= nan"), (3, "changes_per_day".into()));
    assert_eq!(with("at_s = 5", "at_s = -1"), (8, "event.at_s".into()));
    assert_eq!(with("for_s = 25", "for_s = 0"), (9, "event.for_s".into()));
    assert_eq!(with("count = 3", "count = 0"), (10, "event.count".into()));
    assert_eq!(with("count = 3", "cuont = 3"), (10, "cuont".into()));
    assert_eq!(with("relays-of-a-zone-fail", "earthquake"), (7, "kind".into()));
    assert_eq!(with("relays-of-a-zone-fail", "changes"), (9, "event.for_s".into()));
    assert_eq!(with("title = \"relays of a zone fail\"\n", ""), (1, "title".into()));
}

#[test]
fn more_machines_than_there_are_are_refused() {
    let day = Day::parse(&FAILURE.replace("count = 3", "count = 9"), "small.toml").expect("it is read");
    let refused = run(&day, &fleet(), 1, &mut Silent);
    assert!(matches!(refused, Err(DayError::TooMany { count: 9, machines: 4, .. })), "{refused:?}");
}

#[test]
fn a_fleet_that_makes_no_sense_is_refused_and_a_bound_ends_a_run() {
    let day = Day::parse(FAILURE, "small.toml").expect("it is read");
    let mut bad = fleet();
    bad.relays = 0;
    assert!(matches!(run(&day, &bad, 1, &mut Silent), Err(DayError::Fleet { .. })));
    let mut bounded = fleet();
    bounded.real_time_limit_s = 0.0;
    assert!(matches!(run(&day, &bounded, 1, &mut Silent), Err(DayError::Partial { .. })));
}

#[test]
fn a_day_that_does_not_end_well_in_its_time_is_not_whole() {
    let day = outcome(&FAILURE.replace("longest_s = 60", "longest_s = 2"));
    assert_eq!(day.as_before_s, None, "30 s without anything wrong do not fit 2 s");
    assert!(!day.is_whole());
}
