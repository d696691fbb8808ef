//! The soak's file, and what it makes of a run that went wrong.

use rig::soak::SoakFile;

const FILE: &str = "about = \"x\"\nrelays = [3, 6]\nseconds = 8\nper_relay_s = 60\ntime_left_ms = 3000\nkinds_a_run = 5\n\
    kinds = [\"kill\", \"disk-full\"]\n";

#[test]
fn the_soak_that_ci_plays_makes_sense() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("soak/mixed.toml");
    assert!(SoakFile::load(&file).expect("it makes sense").kinds.len() >= 18);
}

#[test]
fn a_file_that_makes_no_sense_is_refused_by_line_and_key() {
    for (from, to, expected) in [
        ("[3, 6]", "[6, 3]", "line 2: relays"),
        ("[3, 6]", "[3, 600]", "line 2: relays"),
        ("seconds = 8", "seconds = 0", "line 3: seconds"),
        ("kinds_a_run = 5", "kinds_a_run = 0", "line 6: kinds_a_run"),
        ("\"kill\"", "\"kil\"", "line 7"),
        ("about", "abuot", "line 1"),
    ] {
        let error = SoakFile::read(&FILE.replace(from, to)).expect_err("it makes no sense");
        assert!(format!("{error:#}").contains(expected), "{to}: {error:#}");
    }
    SoakFile::read(FILE).expect("the file itself makes sense");
}
