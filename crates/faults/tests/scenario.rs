//! What a scenario says, and how one that makes no sense is refused: by line and key.

use faults::Scenario;

fn refused(fault: &str) -> String {
    let text = format!("# a comment\n[[fault]]\n{fault}\n");
    Scenario::read(&text).expect_err("it makes no sense").to_string()
}

#[test]
fn a_scenario_that_makes_no_sense_is_refused_by_line_and_key() {
    let window = "probability = 0.5\nfrom_ms = 0\nto_ms = 9";
    for (fault, expected) in [
        (format!("call = \"wrote\"\nerror = \"EIO\"\n{window}"), "call: \"wrote\" is unknown"),
        (format!("call = \"write\"\nerror = \"EWRONG\"\n{window}"), "error: \"EWRONG\" is unknown"),
        (format!("call = \"write\"\n{window}"), "error: expected the name of an error"),
        (format!("call = \"unlink\"\neffect = \"short\"\n{window}"), "effect: unlink moves no bytes"),
        (
            "call = \"write\"\nerror = \"EIO\"\nprobability = 1.5\nfrom_ms = 0\nto_ms = 9".into(),
            "probability: is 1.5",
        ),
        ("call = \"write\"\nerror = \"EIO\"\nprobability = 1\nfrom_ms = 5\nto_ms = 5".into(), "to_ms: is 5"),
    ] {
        let why = refused(&fault);
        assert!(why.starts_with("line 2: ") && why.contains(expected), "{why}");
    }
    let why = refused(&format!("call = \"write\"\nerror = \"EIO\"\n{window}\ntypo = 1"));
    assert!(why.contains("typo") && why.contains("line 8"), "{why}");
}
