//! Configuration: every message names the faulty key. The cases stand in a text file, each an edit of the
//! template or of the platform's object, and what comes of it in a snapshot.

mod stand;

use std::fmt::Write as _;
use std::process::Command;

use permits::Sharing;
use record::sql::Target;
use serde_json::Value;
use stand::folder;
use tulipfall::config::{Config, template};

fn none(_: &str) -> Option<String> {
    None
}

#[test]
fn the_template_can_be_used_and_each_fault_is_named() {
    let file = folder("config").join("desk.toml");
    let mut told = String::new();
    for case in include_str!("config/operator.txt").lines() {
        let (old, new) = case.split_once(" => ").unwrap_or(("", ""));
        let text = template("desk");
        assert!(text.contains(old), "{case}");
        std::fs::write(&file, text.replacen(old, &new.replace("\\n", "\n"), 1)).expect("a file");
        let place = file.parent().expect("a folder").display().to_string();
        let result = match Config::load_file(&file, none) {
            Ok(config) => format!("{} can be used", config.name),
            Err(error) => {
                error.to_string().replace(&file.display().to_string(), "FILE").replace(&place, "PLACE")
            }
        };
        let _ = writeln!(told, "{case}\n    {}", result.replace('\n', "\n    "));
    }
    insta::assert_snapshot!("operator", told);
}

#[test]
fn the_platforms_object_is_read_and_each_fault_is_named() {
    let object: Value = serde_json::from_str(include_str!("config/platform.json")).expect("JSON");
    let mut told = String::new();
    for case in include_str!("config/platform.txt").lines() {
        let (pointer, new) = case.split_once(" => ").expect("a case");
        let mut object = object.clone();
        if !pointer.is_empty() {
            *object.pointer_mut(pointer).expect(case) = serde_json::from_str(new).expect(case);
        }
        let environment = |name: &str| (name == "PROXY_STATE").then(|| "/state".to_string());
        let result = match Config::read(&object, environment) {
            Ok(config) => {
                let known = config.known.map_or(0, |known| known.members.len());
                format!(
                    "{} can be used, {} classes, {known} known",
                    config.name,
                    config.settings.classes.len()
                )
            }
            Err(error) => error.to_string(),
        };
        let _ = writeln!(told, "{case}\n    {result}");
    }
    insta::assert_snapshot!("platform", told);
}

#[test]
fn the_environment_goes_first() {
    let object: Value = serde_json::from_str(include_str!("config/platform.json")).expect("JSON");
    let environment = |name: &str| match name {
        "PROXY_NAME" => Some("other".to_string()),
        "PROXY_LISTEN" => Some("127.0.0.9:1".to_string()),
        "PROXY_STATE" => Some("/state".to_string()),
        _ => None,
    };
    let config = Config::read(&object, environment).expect("sound");
    assert_eq!((config.name.as_str(), config.listen.to_string().as_str()), ("other", "127.0.0.9:1"));
}

#[test]
fn the_tool_writes_a_file_once_and_checks_each_that_it_is_given() {
    let place = folder("config-tool");
    let tool = |arguments: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_tulipfall")).args(arguments).current_dir(&place).output();
        let output = output.expect("it runs");
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    assert!(tool(&["config", "init", "desk"]).0);
    assert!(!tool(&["config", "init", "desk"]).0, "never over a file that is there");
    assert!(!tool(&["config", "init", "../desk"]).0);
    assert_eq!(tool(&["config", "check", "desk.toml"]), (true, "desk.toml: desk can be used\n".into()));
    std::fs::write(place.join("bad.toml"), "name = 3\n").expect("a file");
    let (fine, told) = tool(&["config", "check", "desk.toml", "bad.toml"]);
    assert_eq!((fine, told.lines().last()), (false, Some("bad.toml: name: is not a text")));
    assert!(!tool(&["no", "such", "command"]).0);
}

#[test]
fn the_files_that_the_repository_brings_can_be_used() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    Config::load_file(&root.join("example/relay.toml"), none).expect("the example");
    // The deploy file needs an operator's keys: without them it says which.
    let deploy = root.join("deploy/muscat-checkin-as2.toml");
    let error = Config::load_file(&deploy, none).expect_err("no keys").to_string();
    assert!(error.starts_with("as2.key: ") && error.contains("sahil-relay.key.pem"), "{error}");
    for name in ["peers", "parts", "configuration"] {
        let deploy = root.join(format!("deploy/muscat-checkin-{name}.toml"));
        let error = Config::load_file(&deploy, none).expect_err("no key").to_string();
        let named = error.starts_with("peers.key.0.file: ") && error.contains("muscat-checkin-peers.key");
        assert!(named, "{error}");
    }
}

#[test]
fn notes_are_off_on_the_platform_unless_the_environment_says_so() {
    let mut object: Value = serde_json::from_str(include_str!("config/platform.json")).expect("JSON");
    let read = |object: &Value, notes: Option<&str>| {
        Config::read(object, |name| match name {
            "PROXY_STATE" => Some("/state".to_string()),
            "TULIPFALL_NOTES" => notes.map(String::from),
            _ => None,
        })
    };
    let off = read(&object, None).expect("sound");
    assert!(off.fleet.is_none() && read(&object, Some("off")).expect("sound").fleet.is_none());
    let error = |object: &Value, notes| read(object, Some(notes)).expect_err("a fault").to_string();
    assert!(error(&object, "maybe").starts_with("TULIPFALL_NOTES"));
    assert!(error(&object, "on").starts_with("settings.MyNumber"), "who it is has to be told");
    object["settings"]["MyNumber"] = 0.into();
    let on = read(&object, Some("on")).expect("sound");
    let fleet = on.fleet.as_ref().expect("notes");
    assert_eq!((fleet.me, fleet.all.len(), fleet.listen.port()), (0, 1, 7946));
    assert!(fleet.observations.is_some() && fleet.permits.is_none(), "one relay alone shares no limit");
    // The snapshot and the one that takes its place are inside the disk.
    assert!(on.journal_room().limit + 2 * on.snapshot_room() <= on.limits.disk);
    assert!(on.journal_room().limit < off.journal_room().limit);
}

#[test]
fn permits_and_notes_of_facts_are_on_together_and_how_limits_are_shared_is_told() {
    let mut object: Value = serde_json::from_str(include_str!("config/platform.json")).expect("JSON");
    object["settings"]["MyNumber"] = 1.into();
    object["settings"]["Limits"]["Peers"] = true.into();
    object["peers"] = serde_json::json!(["127.0.0.1:7946", "127.0.0.2:7946"]);
    let read = |notes: &'static str, permits: &'static str| {
        Config::read(&object, |name| match name {
            "PROXY_STATE" => Some("/state".to_string()),
            "TULIPFALL_NOTES" => Some(notes.to_string()),
            "TULIPFALL_PERMITS" => Some(permits.to_string()),
            _ => None,
        })
    };
    let fleet = |notes, permits| read(notes, permits).expect("sound").fleet;
    let both = fleet("on", "on").expect("a fleet");
    assert!(both.observations.is_some() && both.permits == Some(Sharing::Whole));
    let alone = fleet("off", "parts").expect("a fleet");
    assert!(alone.observations.is_none() && alone.permits == Some(Sharing::Parts));
    let settings = read("off", "parts").expect("sound").settings;
    assert!(settings.coordinators && settings.shares);
    assert!(!read("off", "on").expect("sound").settings.shares);
    assert!(fleet("off", "off").is_none());
    let error = read("on", "some").expect_err("a fault").to_string();
    assert!(error.starts_with("TULIPFALL_PERMITS") && error.contains("parts"), "{error}");
}

#[test]
fn the_budget_for_repeats_is_shared_where_that_is_said_and_nowhere_else() {
    let mut object: Value = serde_json::from_str(include_str!("config/platform.json")).expect("JSON");
    object["settings"]["MyNumber"] = 1.into();
    object["settings"]["Limits"]["Peers"] = true.into();
    object["peers"] = serde_json::json!(["127.0.0.1:7946", "127.0.0.2:7946"]);
    let read = |repeats: Option<&'static str>| {
        Config::read(&object, |name| match name {
            "PROXY_STATE" => Some("/state".to_string()),
            "TULIPFALL_REPEATS" => repeats.map(String::from),
            _ => None,
        })
    };
    for (said, shared) in [(None, false), (Some("off"), false), (Some("shared"), true)] {
        let config = read(said).expect("sound");
        assert_eq!((config.settings.retry_budget, config.fleet.expect("a fleet").repeats), (shared, shared));
    }
    let error = read(Some("on")).expect_err("a fault").to_string();
    assert!(error.starts_with("TULIPFALL_REPEATS") && error.contains("shared or off"), "{error}");
}

/// Reads the operator's file with the distribution of the destination set, after an edit, in a folder of the calling
/// test's own: tests run side by side, and each empties its folder first.
fn read_distribution(folder_name: &str, old: &str, new: &str) -> Result<Config, String> {
    let place = folder(folder_name);
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let name = "muscat-checkin-configuration.toml";
    let text = std::fs::read_to_string(root.join("deploy").join(name)).expect("the file");
    assert!(text.contains(old), "{old}");
    std::fs::write(place.join("muscat-checkin-peers.key"), [7; 32]).expect("a file");
    std::fs::write(place.join(name), text.replacen(old, new, 1)).expect("a file");
    Config::load_file(&place.join(name), none).map_err(|error| error.to_string())
}

#[test]
fn the_distribution_of_the_destination_set_is_set_up_by_a_table_and_each_fault_is_named() {
    let place = "config-distribution";
    let config = read_distribution(place, "", "").expect("sound");
    let distribution = config.fleet.as_ref().and_then(|fleet| fleet.distribution.as_ref()).expect("set up");
    assert_eq!(distribution.controls.len(), 3);
    // A sixteenth of the disk for each of two files, and the rest is shared as ever.
    assert_eq!((distribution.file_room, config.limits.disk), (16_000_000, 256_000_000));
    // SQLite takes five eighths of what the two files leave, the journal a quarter less that of snapshots of facts and of the
    // clock, which has 1,024 bytes.
    let record = config.record.as_ref().expect("a record");
    let Target::Sqlite { most_bytes, .. } = &record.target else { panic!("another record") };
    assert_eq!((*most_bytes, config.journal_room().limit), (Some(140_000_000), 51_999_744));
    let key = "keys = [";
    let cases = [
        ("keys = [\"", "keys = [\"zz", "configuration.keys: has \"zz"),
        (key, "keys = [\"00\", ", "configuration.keys: has \"00\", expected 64 hex digits"),
        (key, "keys = [5, ", "configuration.keys: has 5, expected 64 hex digits"),
        (key, "keys = []\nother = [", "configuration.keys: expected 1 to 16 texts of 64 hex digits"),
        (key, "other = [", "configuration.keys: is missing"),
        (key, &format!("keys = [\"{}\", ", "0".repeat(64)), "configuration.keys: control key 0 is not"),
        (key, "first = 3\nkeys = [", "configuration.first: is not known here"),
        (
            "[[configuration.control]]\naddress = ",
            "[[configuration.control]]\nat = ",
            "configuration.control.0.address: is missing",
        ),
        (
            "127.0.0.1:7956",
            "control-0",
            "configuration.control.0.address: is \"control-0\", expected address:port",
        ),
        (
            "consensus = \"127.0.0.1:7966\"",
            "consensus = \"control-0\"",
            "configuration.control.0.consensus: is \"control-0\", expected address:port",
        ),
        ("admin = \"127.0.0.1:7977\"", "admin = 7977", "configuration.control.1.admin: "),
        (
            "127.0.0.1:7957",
            "127.0.0.1:7956",
            "configuration.control.1.address: 127.0.0.1:7956 is another machine's",
        ),
        (
            "127.0.0.1:7957",
            "127.0.0.1:7946",
            "configuration.control.1.address: 127.0.0.1:7946 is another machine's",
        ),
        (
            "7958\"\nregion = \"salalah\"",
            "7958\"\nregion = \"sur\"",
            "configuration.control.2.region: \"sur\" has no zone",
        ),
        (
            "name = \"salalah-a\"",
            "name = \"muscat-a\"",
            "configuration.zone.1.name: \"muscat-a\" is there twice",
        ),
        (
            "name = \"salalah-a\"\nregion = \"salalah\"",
            "name = \"salalah-a\"",
            "configuration.zone.1.region: is missing",
        ),
        ("relays = { first = 2, count = 1 }", "", "configuration.zone.1.relays: is missing"),
        ("first = 2, count = 1", "first = 2", "configuration.zone.1.relays.count: is missing"),
        (
            "first = 2, count = 1",
            "first = 2, count = 2",
            "configuration.zone.1.relays: goes beyond the 3 relays",
        ),
        (
            "first = 2, count = 1",
            "first = 1, count = 2",
            "configuration.zone.1.relays: has relay 1, which is in another zone already",
        ),
        (
            "first = 0, count = 2",
            "first = 0, count = 1",
            "configuration.zone: relay 1 of peers.all is in no zone",
        ),
        (
            "first = 0, count = 2",
            "first = 1, count = 1",
            "configuration.zone: relay 0 of peers.all is in no zone",
        ),
    ];
    for (old, new, expected) in cases {
        let error = read_distribution(place, old, new).expect_err(new);
        assert!(error.starts_with(expected), "{new}: {error}");
    }
}

#[test]
fn the_distribution_of_the_destination_set_needs_peers_control_machines_and_zones() {
    let place = folder("config-distribution-parts");
    let file = place.join("desk.toml");
    let key = "72a46be3bd9848afd1d5c94e495aa1f57c24bcb4006f959de6e94995afafab44";
    let zone = "[[configuration.zone]]\nname = \"a\"\nregion = \"r\"\nrelays = { first = 0, count = 1 }\n";
    let control = "[[configuration.control]]\naddress = \"127.0.0.1:2\"\nregion = \"r\"\n";
    let peers = "[peers]\nme = 0\nlisten = \"127.0.0.1:1\"\nall = [\"127.0.0.1:1\"]\n";
    let read = |parts: &[&str]| {
        let table = format!("[configuration]\nkeys = [\"{key}\"]\n");
        std::fs::write(&file, [&template("desk"), table.as_str(), &parts.concat()].concat()).expect("a file");
        Config::load_file(&file, none).map_err(|error| error.to_string())
    };
    let fault = |parts: &[&str]| read(parts).expect_err("a fault");
    assert!(fault(&[zone, control]).starts_with("configuration: needs [peers]"));
    assert!(fault(&[zone, peers]).starts_with("configuration.control: is missing"));
    assert!(fault(&[control, peers]).starts_with("configuration.zone: is missing"));
    assert!(read(&[zone, control, peers]).expect("sound").fleet.is_some());
    // The list of destinations is a base for the first start, which is not needed.
    let text = template("desk");
    let (before, list) = text.split_once("[[destination]]").expect("a list");
    let (_, after) = list.split_once("\n\n").expect("the end of the table");
    let without = [before, after].concat();
    let table = format!("[configuration]\nkeys = [\"{key}\"]\n");
    std::fs::write(&file, [&without, table.as_str(), zone, control, peers].concat()).expect("a file");
    assert_eq!(Config::load_file(&file, none).expect("sound").known.expect("a list").members, []);
    std::fs::write(&file, [&without, peers].concat()).expect("a file");
    assert!(
        Config::load_file(&file, none).expect_err("none").to_string().starts_with("destination: is missing")
    );
    // Without the table nothing of it is on.
    std::fs::write(&file, [&template("desk"), peers].concat()).expect("a file");
    let config = Config::load_file(&file, none).expect("sound");
    assert!(config.fleet.expect("a fleet").distribution.is_none());
}

/// The file of a control machine that the repository brings, beside its keys.
fn deployed_control() -> control::shell::config::Config {
    let place = folder("config-control");
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let name = "muscat-checkin-control.toml";
    let text = std::fs::read_to_string(root.join("deploy").join(name)).expect("the file");
    // The public key of the example is of no known key: that of a test takes its place.
    let example = "72a46be3bd9848afd1d5c94e495aa1f57c24bcb4006f959de6e94995afafab44";
    assert!(text.contains(example));
    let public = "ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c";
    std::fs::write(place.join("muscat-checkin-peers.key"), [7; 32]).expect("a file");
    std::fs::write(place.join("muscat-checkin-control.key"), "07".repeat(32)).expect("a file");
    std::fs::write(place.join(name), text.replace(example, public)).expect("a file");
    control::shell::config::Config::read(&place.join(name)).expect("sound")
}

#[test]
fn the_files_of_relays_and_control_machines_fit_each_other() {
    let relay = read_distribution("config-distribution-fit", "", "").expect("sound").fleet.expect("a fleet");
    let distribution = relay.distribution.as_ref().expect("set up");
    let control = deployed_control();
    let machines = |topology: &rollout::topology::Topology| topology.machines().copied().collect::<Vec<_>>();
    assert_eq!(machines(&control.topology), machines(&distribution.topology));
    // Notes of all machines go where the others listen, signed by the same keys.
    let links: Vec<_> = relay.all.iter().chain(&distribution.controls).copied().collect();
    let mut control_links = control.links.clone();
    control_links.insert(control.me.peer, control.me.link);
    assert_eq!(control_links.into_values().collect::<Vec<_>>(), links);
    let keys = |keys: &fleet::keys::Keys| -> Vec<(u8, Vec<u8>)> {
        keys.0.iter().map(|key| (key.id, key.bytes.clone())).collect()
    };
    assert_eq!(keys(&control.link_keys), keys(&relay.keys));
    // The tables that have to be the same are so to the letter.
    let common = |name: &str| {
        let text = std::fs::read_to_string(format!("{}/deploy/{name}", env!("CARGO_MANIFEST_DIR")));
        let table: toml::Table = text.expect("the file").parse().expect("TOML");
        (table["configuration"].clone(), table["peers"]["all"].clone(), table["peers"]["key"].clone())
    };
    assert_eq!(common("muscat-checkin-control.toml"), common("muscat-checkin-configuration.toml"));
}
