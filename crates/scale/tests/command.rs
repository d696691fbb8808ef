//! The command line: what it prints, and its exit status.

use std::path::PathBuf;
use std::process::{Command, Output};

use scale::Measurement;

const SCALE: &str = env!("CARGO_BIN_EXE_scale");

fn scenario() -> String {
    concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/member.toml").into()
}

fn scale(arguments: &[&str]) -> Output {
    Command::new(SCALE).args(arguments).output().expect("it starts")
}

const SMALL: [&str; 6] = ["--relays", "5", "--warm-up-s", "2", "--seconds", "3"];

#[test]
fn a_run_prints_its_measurement_as_json_or_as_a_table() {
    let path = scenario();
    let printed = scale(&[&["run", &path, "--json", "--seed", "4"], &SMALL[..]].concat());
    assert_eq!(printed.status.code(), Some(0));
    let measurement: Measurement = serde_json::from_slice(&printed.stdout).expect("a measurement");
    assert_eq!((measurement.relays, measurement.seed, measurement.simulated_s), (5, 4, 3.0));
    assert!(measurement.roles[0].memory_bytes > 100.0, "the binary counts what is allocated");
    let printed = scale(&[&["run", &path], &SMALL[..]].concat());
    let text = String::from_utf8_lossy(&printed.stdout);
    assert!(text.contains("| Member") && text.contains("as on an ordinary day"), "{text}");
}

#[test]
fn a_bad_scenario_is_named_by_file_line_and_key() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.toml");
    std::fs::write(&path, "relays = 3\ndestinations = 1\nroles = [\"member\"]\nseconds = 3\nloss = 1\n")
        .expect("written");
    let path = path.display().to_string();
    let printed = scale(&["run", &path]);
    assert_eq!(printed.status.code(), Some(1));
    let error = String::from_utf8_lossy(&printed.stderr);
    assert!(error.contains(&format!("{path}:5: loss: unknown field")), "{error}");
    let printed = scale(&["run", &scenario(), "--relays", "0"]);
    assert_eq!(printed.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&printed.stderr).contains("relays: is 0"));
}

#[test]
fn a_run_that_its_bound_ends_is_partial_with_a_status_of_its_own() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("long.toml");
    let text = "relays = 50\ndestinations = 1\nroles = [\"member\"]\nwarm_up_s = 1\nseconds = 86400\nreal_time_limit_s = 0.5\n";
    std::fs::write(&path, text).expect("written");
    let printed = scale(&["run", &path.display().to_string(), "--json"]);
    assert_eq!(printed.status.code(), Some(3));
    let measurement: Measurement = serde_json::from_slice(&printed.stdout).expect("a measurement");
    assert!(measurement.simulated_s < 86_400.0);
    assert!(String::from_utf8_lossy(&printed.stderr).contains("partial: ended by its bound of 0.5 s"));
}
