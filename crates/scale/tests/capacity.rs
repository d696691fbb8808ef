//! The capacity page states the figures of the runs: every marked figure is the one in the file of slopes.

use std::fs;
use std::path::Path;

use scale::page::{PageError, Value, check, marked_tables, marks, rewrite, value};
use scale::slopes::file::SlopesFile;

const KEY: &str = "member/relays/bytes-per-s";

fn documents() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs"))
}

fn measured() -> SlopesFile {
    SlopesFile::read(&documents().join("capacity/slopes.json")).unwrap()
}

/// A row of a page that prints the file's value of a field, and the value.
fn row(file: &SlopesFile, field: &str) -> (String, String) {
    let key = format!("{KEY}/{field}");
    let printed = value(&key, file).unwrap().print();
    (format!("| member | {printed} <!-- slope:{key} --> |\n"), printed)
}

#[test]
fn the_page_states_the_figures_of_the_runs() {
    let page = fs::read_to_string(documents().join("CAPACITY.md")).unwrap();
    if let Err(errors) = check(&page, &measured()) {
        let errors: Vec<String> = errors.iter().map(PageError::to_string).collect();
        panic!("docs/CAPACITY.md, rewritten by `scale page`:\n{}", errors.join("\n"));
    }
}

#[test]
fn a_figure_is_held_against_the_file_within_its_printed_precision() {
    let file = measured();
    let (page, printed) = row(&file, "target");
    assert_eq!(check(&page, &file), Ok(1));
    let wrong = page.replacen(&printed, &format!("1{printed}"), 1);
    let errors = check(&wrong, &file).unwrap_err();
    assert!(
        matches!(&errors[..], [PageError::Differs { line: 1, key, .. }] if *key == format!("{KEY}/target"))
    );
    assert_eq!(rewrite(&wrong, &file).unwrap(), page);
}

#[test]
fn words_are_held_against_the_file_too() {
    let file = measured();
    let (page, form) = row(&file, "form");
    assert_eq!(check(&page, &file), Ok(1));
    assert!(check(&page.replacen(&form, "cubic", 1), &file).is_err());
}

#[test]
fn every_error_of_a_page_is_told_with_its_line() {
    let file = measured();
    let (good, _) = row(&file, "error");
    let page = format!(
        "{good}| 3 <!-- slope:member/relays/bytes-per-s/guess --> |\n| 1e9 <!-- slope:{KEY}/target -->"
    );
    let errors = check(&page, &file).unwrap_err();
    assert!(matches!(errors[0], PageError::UnknownMark { line: 2, .. }), "{errors:?}");
    assert!(matches!(errors[1], PageError::Differs { line: 3, .. }), "{errors:?}");
    for unknown in ["member/relays/bytes-per-s", "nobody/relays/cores/target", "member/all/luck/target", ""] {
        assert_eq!(value(unknown, &file), None, "{unknown}");
    }
}

#[test]
fn tables_to_begin_a_page_with_agree_with_the_file() {
    let file = measured();
    let page = marked_tables(&file);
    assert_eq!(check(&page, &file), Ok(10 * file.slopes.len() + 8 * file.projections.len()));
    assert_eq!(rewrite(&page, &file).unwrap(), page);
}

#[test]
fn a_page_without_marks_is_no_page() {
    let file = measured();
    assert_eq!(check("| member | 12 |\n", &file), Err(vec![PageError::NoMarks]));
    assert_eq!(rewrite("", &file), Err(PageError::NoMarks));
}

#[test]
fn marks_are_found_wherever_they_stand() {
    let page = "# Title\n\n| a | 1,240 <!-- slope:x/y --> | **b** 12% <!--  other -->|\n|7<!-- slope:z --> –<!-- slope:w-->";
    let found: Vec<_> = marks(page).unwrap().iter().map(|mark| (mark.line, mark.figure, mark.key)).collect();
    assert_eq!(found, [(3, "1,240", "x/y"), (4, "7", "z"), (4, "–", "w")]);
    assert_eq!(marks("\n12 <!-- slope:x"), Err(PageError::NotClosed { line: 2 }));
    for bare in ["| <!-- slope:x --> |", "1 <!-- slope:w --> <!-- slope:x -->"] {
        assert_eq!(marks(bare), Err(PageError::NoFigure { line: 1, key: "x".into() }), "{bare}");
    }
}

#[test]
fn a_figure_may_be_off_by_half_its_last_digit() {
    let number = Value::Number(1_239.6);
    assert!(["1,240", "1240", "1239.6", "1239.60"].iter().all(|figure| number.is_printed_as(figure)));
    assert!(
        ["1,239", "1239.5", "1,240.0", "1.24k", "", "NaN", "inf"]
            .iter()
            .all(|figure| !number.is_printed_as(figure))
    );
    assert!(Value::Part(0.1234).is_printed_as("12.3%") && !Value::Part(0.1234).is_printed_as("12.4%"));
    assert!(Value::Nothing.is_printed_as("–") && !Value::Nothing.is_printed_as("0"));
}
