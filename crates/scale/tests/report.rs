//! The plots of a file of slopes.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use scale::fit::Point;
use scale::report::{ReportError, write_plots};
use scale::slopes::assess::assess_points;
use scale::slopes::axis::{Axis, Conditions};
use scale::slopes::execute::Run;
use scale::slopes::file::{SlopesFile, VERSION};
use scale::slopes::machine::Machine;
use scale::slopes::plan::{Extent, Plan};
use scale::slopes::quantity::{Quantity, Subject};

fn file() -> SlopesFile {
    let base = Conditions::TARGET;
    let points = |value: fn(f64) -> f64| -> Vec<Point> {
        (1..=8).map(|step| 50.0 * f64::from(step)).map(|size| Point { size, value: value(size) }).collect()
    };
    let slope =
        |quantity, value| assess_points(Subject::Member, Axis::Relays, quantity, &base, points(value));
    SlopesFile {
        version: VERSION,
        command: "scale slopes".into(),
        seed: 1,
        commit: "0123abc".into(),
        extent: Extent::Full,
        machine: Machine { cores: 8, load_before: None, beside_other_load: true },
        groups: Plan::quick().groups,
        runs: vec![Run::failed(&Plan::quick().groups[0], base, Duration::ZERO, "no memory".into())],
        slopes: vec![
            slope(Quantity::BytesPerS, |size| 3.0 * size),
            slope(Quantity::Cores, |_| 0.0),
            slope(Quantity::MemoryMb, |size| if size > 250.0 { size } else { 1.0 }),
            slope(Quantity::MessagesPerS, |size| size * size),
        ],
        projections: Vec::new(),
    }
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("scale-report-{name}-{}", std::process::id()))
}

#[test]
fn each_role_and_axis_has_a_plot_that_tells_failed_predictions() {
    let folder = folder("plots");
    let paths = write_plots(&file(), &folder).unwrap();
    let text = fs::read_to_string(&paths[0]).unwrap();
    fs::remove_dir_all(&folder).unwrap();
    assert_eq!(paths, [folder.join("member-relays.svg")]);
    for expected in
        ["member by relays", "bytes-per-s: linear, held", "memory-mb: constant, prediction FAILED", "</svg>"]
    {
        assert!(text.contains(expected), "{expected}");
    }
    assert_eq!(text.matches("<circle").count(), 4 * 8);
    assert!(!text.contains("NaN") && !text.contains("inf"));
}

#[test]
fn a_folder_that_cannot_be_made_is_named() {
    let error = write_plots(&file(), Path::new("/proc/none")).unwrap_err();
    assert!(matches!(error, ReportError::Folder { .. }));
    assert!(error.to_string().starts_with("/proc/none: "), "{error}");
}
