//! The file of a control machine: what is wrong is named by file, line and key.

use control::shell::config::{Config, ConfigError};
use tempfile::tempdir;

const SOUND: &str = r#"node = 2
data = "data"
cluster_key = "cluster.key"
tick_ms = 50
[[control]]
node = 1
peer = 0
region = 0
zone = 0
consensus = "127.0.0.1:7101"
admin = "127.0.0.1:7001"
link = "127.0.0.1:7201"
[[control]]
node = 2
peer = 1
region = 1
zone = 1
consensus = "127.0.0.1:7102"
admin = "127.0.0.1:7002"
link = "127.0.0.1:7202"
[[relay]]
peer = 2
region = 0
zone = 0
link = "127.0.0.1:7203"
"#;

fn read(text: &str, key: &str) -> Result<Config, ConfigError> {
    let directory = tempdir().expect("a directory");
    std::fs::write(directory.path().join("cluster.key"), key).expect("it is written");
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
    assert_eq!((config.me.peer, config.links.len()), (1, 2));
    assert_eq!(config.cluster_key.to_bytes(), [7; 32]);
}

#[test]
fn what_is_wrong_is_named_by_line_and_key() {
    let (line, key, reason) = refusal("tick_ms = 50", "tick_s = 50");
    assert_eq!((line, key.as_str()), (4, "tick_s"));
    assert!(reason.contains("unknown field"), "{reason}");
    let (line, key, _) = refusal("admin = \"127.0.0.1:7001\"", "admin = \"nowhere\"");
    assert_eq!((line, key.as_str()), (11, "admin"));
    let (line, key, _) = refusal("peer = 1", "peer = \"one\"");
    assert_eq!((line, key.as_str()), (15, "peer"));
    let (line, key, reason) = refusal("node = 2", "node = 3");
    assert_eq!((line, key.as_str(), reason.as_str()), (1, "node", "no [[control]] has this number"));
    let (line, key, _) = refusal("[[control]]\nnode = 2", "[[control]]\nnode = 1");
    assert_eq!((line, key.as_str()), (14, "node"));
    let (line, key, _) = refusal("\"cluster.key\"", "\"missing.key\"");
    assert_eq!((line, key.as_str()), (3, "cluster_key"));
    let (line, _, reason) = refusal("peer = 2", "peer = 1");
    assert_eq!((line, reason.as_str()), (5, "machine 1 is listed twice"));
    let (_, _, reason) = refusal("tick_ms = 50", "tick_ms = 0");
    assert!(reason.contains("tick"), "{reason}");
}

#[test]
fn a_key_that_is_none_is_refused() {
    for key in ["", "07", &"0x".repeat(32), &"07".repeat(33)] {
        let refused = read(SOUND, key).expect_err("no key").to_string();
        assert!(refused.contains("control.toml:3: cluster_key: "), "{refused}");
        assert!(refused.contains("64 hexadecimal digits"), "{refused}");
    }
}
