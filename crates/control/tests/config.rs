//! The file of a control machine: what is wrong is named by file, line and key.

use control::shell::config::{Config, ConfigError};
use tempfile::tempdir;

const SOUND: &str = r#"node = 2
data = "data"
cluster_key = "cluster.key"
tick_ms = 50
[peers]
all = ["127.0.0.1:7946", "127.0.0.1:7947"]
[[peers.key]]
id = 3
file = "peers.key"
[configuration]
keys = ["ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c"]
[[configuration.control]]
address = "127.0.0.1:7956"
region = "north"
consensus = "127.0.0.1:7101"
admin = "127.0.0.1:7001"
[[configuration.control]]
address = "127.0.0.1:7957"
region = "south"
consensus = "127.0.0.1:7102"
admin = "127.0.0.1:7002"
[[configuration.zone]]
name = "south-a"
region = "south"
relays = { first = 1, count = 1 }
[[configuration.zone]]
name = "north-a"
region = "north"
relays = { first = 0, count = 1 }
"#;

fn read(text: &str, key: &str) -> Result<Config, ConfigError> {
    let directory = tempdir().expect("a directory");
    std::fs::write(directory.path().join("cluster.key"), key).expect("it is written");
    std::fs::write(directory.path().join("peers.key"), [9; 32]).expect("it is written");
    std::fs::write(directory.path().join("control.toml"), text).expect("it is written");
    Config::read(&directory.path().join("control.toml"))
}

/// The line, the key and the reason for which a changed file is refused.
fn refusal(from: &str, to: &str) -> (usize, String, String) {
    assert!(SOUND.contains(from), "{from}");
    match read(&SOUND.replacen(from, to, 1), &"07".repeat(32)) {
        Err(ConfigError::Key { file, line, key, reason }) => {
            assert!(file.ends_with("control.toml"));
            (line, key, reason)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_sound_file_is_read() {
    let config = read(SOUND, &"07".repeat(32)).expect("a sound file");
    assert_eq!((config.consensus.voters.len(), config.consensus.tick_us), (2, 50_000));
    assert_eq!((config.me.peer, config.links.len()), (3, 3), "control machines follow the relays");
    assert_eq!(config.links[&1].port(), 7947);
    assert_eq!(config.links[&2].port(), 7956);
    assert_eq!(config.cluster_key.to_bytes(), [7; 32]);
    assert_eq!((config.link_keys.first_id(), config.link_keys.0[0].bytes.len()), (3, 32));
    let places: Vec<(u8, u16)> =
        config.topology.machines().map(|machine| (machine.place.region, machine.place.zone)).collect();
    assert_eq!(places, [(1, 1), (0, 0), (1, 2), (0, 3)], "regions and zones in the order of the zones");
}

#[test]
fn what_is_wrong_is_named_by_line_and_key() {
    let cases = [
        ("tick_ms = 50", "tick_s = 50", 4, "tick_s", "unknown field"),
        ("tick_ms = 50", "tick_ms = 0", 4, "tick_ms", "tick"),
        ("admin = \"127.0.0.1:7001\"", "admin = \"nowhere\"", 16, "admin", ""),
        ("address = \"127.0.0.1:7956\"", "address = 1", 13, "address", ""),
        ("node = 2", "node = 3", 1, "node", "expected 1 to 2, a position in configuration.control"),
        ("node = 2", "node = 0", 1, "node", "expected 1 to 2, a position in configuration.control"),
        ("\"cluster.key\"", "\"missing.key\"", 3, "cluster_key", "missing.key"),
        ("\"peers.key\"", "\"missing.key\"", 9, "file", "missing.key"),
        ("\"peers.key\"", "\"/dev/null\"", 9, "file", "/dev/null: expected 16 bytes or more"),
        ("id = 3", "id = 0", 8, "id", "expected 1 to 255"),
        (
            "[\"ea4a",
            "[\"fa4a",
            11,
            "keys",
            "has not ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c",
        ),
        ("7957\"\nregion", "7956\"\nregion", 18, "address", "127.0.0.1:7956 is another machine's already"),
        ("127.0.0.1:7956", "127.0.0.1:7946", 13, "address", "127.0.0.1:7946 is another machine's already"),
        ("7957\"\nregion = \"south\"", "7957\"\nregion = \"east\"", 19, "region", "\"east\" has no zone"),
        ("\"north-a\"", "\"south-a\"", 27, "name", "\"south-a\" is there twice"),
        (
            "first = 0, count = 1",
            "first = 0, count = 3",
            29,
            "relays",
            "goes beyond the 2 relays of peers.all",
        ),
        ("first = 0, count = 1", "first = 0, count = 0", 29, "relays", "expected a count of 1 or more"),
        (
            "first = 0, count = 1",
            "first = 1, count = 1",
            29,
            "relays",
            "has relay 1, which is in another zone",
        ),
        (
            ", \"127.0.0.1:7947\"]",
            ", \"127.0.0.1:7947\", \"127.0.0.1:7948\"]",
            6,
            "all",
            "relay 2 of peers.all is in no zone",
        ),
    ];
    for (from, to, line, key, reason) in cases {
        let (found_line, found_key, found_reason) = refusal(from, to);
        assert_eq!((found_line, found_key.as_str()), (line, key), "{to}: {found_reason}");
        assert!(found_reason.contains(reason), "{to}: {found_reason}");
    }
}

#[test]
fn a_key_that_is_none_is_refused() {
    for key in ["", "07", &"0x".repeat(32), &"07".repeat(33)] {
        let refused = read(SOUND, key).expect_err("no key").to_string();
        assert!(refused.contains("control.toml:3: cluster_key: "), "{refused}");
        assert!(refused.contains("64 hexadecimal digits"), "{refused}");
    }
}
