//! Scenarios: what is read, and what is refused, by file, line and key.

use scale::Scenario;
use scale::measurement::Role;
use scale::network::{Cut, CutKind, NodeSet};
use scale::scenario::{Killed, ScenarioError, Sharing};
use scale::time::SECOND;

const SMALL: &str = r#"relays = 3
destinations = 10
roles = ["member"]
seconds = 5
"#;

/// The line and key of the error, and what it says.
fn refused(text: &str) -> (usize, String, String) {
    match Scenario::parse(text, "bad.toml") {
        Err(ScenarioError::Key { file, line, key, why }) => {
            assert_eq!(file, "bad.toml");
            (line, key, why)
        }
        other => panic!("expected a refused key: {other:?}"),
    }
}

/// Asserts the line, the key, and a part of the reason.
fn assert_refused(text: &str, line: usize, key: &str, part: &str) {
    let (at, named, why) = refused(text);
    assert_eq!((at, named.as_str()), (line, key), "{why}");
    assert!(why.contains(part), "{why}");
}

#[test]
fn a_whole_scenario_is_read() {
    let text = r#"relays = 4
destinations = 20
roles = ["member", "limit-coordinator", "health-observations"]
seconds = 5
warm_up_s = 2
sharing = "parts"
signed = false
events_per_s = 100
maintenance_seats = 2
[network]
between_regions_ms = 80
loss = 0.01
[ordinary_day]
restarts = 100
speed_up = 50
[kill]
at_s = 1
share = 0.25
which = "lowest"
[[region]]
name = "north"
[[region]]
name = "south"
[[zone]]
name = "north-1"
region = "north"
[[zone]]
name = "south-1"
region = "south"
[[cut]]
kind = "between"
from_s = 1
for_s = 2
zone = "south-1"
other_region = "north"
"#;
    let scenario = Scenario::parse(text, "whole.toml").expect("it makes sense");
    assert_eq!(scenario.roles, [Role::Member, Role::LimitCoordinator, Role::HealthObservations]);
    assert_eq!((scenario.sharing, scenario.signed, scenario.maintenance_seats), (Sharing::Parts, false, 2));
    assert_eq!((scenario.network.between_regions_us, scenario.network.loss), (80_000, 0.01));
    assert_eq!(scenario.network.same_zone_us, 250, "what is left out has its usual value");
    assert_eq!((scenario.ordinary_day.restarts, scenario.ordinary_day.failures), (100.0, 0.0));
    assert_eq!(scenario.kill.map(|kill| kill.which), Some(Killed::Lowest));
    let kind = CutKind::Between(NodeSet::Zone(1), NodeSet::Region(0));
    assert_eq!(scenario.cuts, [Cut { from: SECOND, until: 3 * SECOND, kind }]);
    let topology = scenario.topology();
    assert_eq!((topology.zones(), topology.region(3)), (&[0, 1, 0, 1][..], 1));
}

#[test]
fn each_scenario_of_the_package_is_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let files = std::fs::read_dir(folder).expect("the folder of scenarios");
    let paths: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    assert!(paths.len() >= 4, "{paths:?}");
    for path in paths {
        Scenario::read(&path).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn no_relays_are_refused() {
    assert_refused(&SMALL.replace("relays = 3", "relays = 0"), 1, "relays", "expected 1 to 65535");
}

#[test]
fn more_relays_than_the_wire_numbers_are_refused() {
    assert_refused(&SMALL.replace("relays = 3", "relays = 70000"), 1, "relays", "expected 1 to 65535");
}

#[test]
fn a_negative_number_of_destinations_is_refused() {
    assert_refused(&SMALL.replace("= 10", "= -10"), 2, "destinations", "invalid value");
}

#[test]
fn no_roles_are_refused() {
    assert_refused(&SMALL.replace("\"member\"", ""), 3, "roles", "at least one role");
}

#[test]
fn a_role_that_is_not_known_is_refused() {
    assert_refused(&SMALL.replace("member", "king"), 3, "roles", "unknown variant");
}

#[test]
fn a_missing_key_is_named() {
    assert_refused(&SMALL.replace("seconds = 5\n", ""), 1, "seconds", "missing field");
}

#[test]
fn a_key_that_is_not_known_is_refused() {
    assert_refused(&format!("{SMALL}relaiz = 3\n"), 5, "relaiz", "unknown field");
    assert_refused(&format!("{SMALL}[network]\nlos = 0.1\n"), 6, "los", "unknown field");
    assert_refused(&format!("{SMALL}[kill]\nat_s = 1\nshare = 0.1\nwho = 3\n"), 8, "who", "unknown field");
}

#[test]
fn a_wrong_type_is_refused() {
    assert_refused(&SMALL.replace("seconds = 5", "seconds = \"five\""), 4, "seconds", "expected f64");
}

#[test]
fn text_that_is_no_toml_is_refused() {
    assert_refused(&format!("{SMALL}events_per_s 5\n"), 5, "events_per_s 5", "expected");
}

#[test]
fn a_share_over_one_is_refused() {
    assert_refused(&format!("{SMALL}share_down = 1.5\n"), 5, "share_down", "share from 0 to 1");
    assert_refused(&format!("{SMALL}[network]\nloss = 2\n"), 6, "network.loss", "share from 0 to 1");
    assert_refused(&format!("{SMALL}[kill]\nat_s = 1\nshare = 7\n"), 7, "kill.share", "share from 0 to 1");
}

#[test]
fn a_span_that_is_no_span_is_refused() {
    assert_refused(&SMALL.replace("= 5", "= 0"), 4, "seconds", "over 0");
    assert_refused(&SMALL.replace("= 5", "= nan"), 4, "seconds", "over 0");
    assert_refused(&format!("{SMALL}warm_up_s = -1\n"), 5, "warm_up_s", "0 or more");
    assert_refused(&format!("{SMALL}[ordinary_day]\nspeed_up = 0\n"), 6, "ordinary_day.speed_up", "over 0");
}

#[test]
fn a_zone_with_no_region_is_refused() {
    let zone = format!("{SMALL}[[zone]]\nname = \"north-1\"\nregion = \"north\"\n");
    assert_refused(&zone, 7, "zone.0.region", "no region is named \"north\"");
    let second = format!("{SMALL}[[region]]\nname = \"a\"\n[[zone]]\nname = \"a-1\"\nregion = \"a\"\n");
    let second = format!("{second}[[zone]]\nname = \"b-1\"\nregion = \"b\"\n");
    assert_refused(&second, 12, "zone.1.region", "no region is named \"b\"");
    assert_refused(&format!("{SMALL}[[zone]]\nname = \"north-1\"\n"), 5, "region", "missing field");
}

#[test]
fn a_cut_of_what_is_not_there_is_refused() {
    let cut = |of: &str| format!("{SMALL}[[cut]]\nkind = \"dark\"\nfrom_s = 1\nfor_s = 2\n{of}");
    assert_refused(&cut("zone = \"x\"\n"), 9, "cut.0.zone", "no zone is named \"x\"");
    assert_refused(&cut("region = \"x\"\n"), 9, "cut.0.region", "no region is named \"x\"");
    assert_refused(&cut(""), 5, "cut.0.zone", "expected either this or cut.0.region");
    assert_refused(&cut("zone = \"x\"\n").replace("for_s = 2", "for_s = 0"), 8, "cut.0.for_s", "over 0");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = Scenario::read("nowhere/none.toml".as_ref()).expect_err("it is not there");
    assert!(matches!(&error, ScenarioError::Read { file, .. } if file == "nowhere/none.toml"), "{error}");
}

#[test]
fn a_scenario_that_was_changed_in_code_is_checked_by_key() {
    let mut scenario = Scenario::parse(SMALL, "small.toml").expect("it makes sense");
    scenario.events_per_s = 30.0;
    let larger = scenario.clone().with_relays(30);
    assert_eq!((larger.relays, larger.events_per_s), (30, 300.0));
    assert!(larger.check().is_ok());
    let error = scenario.with_relays(0).check().expect_err("there are no relays");
    assert_eq!(error.to_string(), "relays: is 0, expected 1 to 65535");
}
