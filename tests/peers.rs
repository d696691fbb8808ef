//! Relays that gossip as processes on loopback: a starting relay learns of a failing destination from its peer, the command
//! line shows observations and peers, and without a peer a relay reads its own snapshot.

mod stand;

use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use serde_json::Value;
use stand::*;

/// Starts an endpoint that refuses every call, and returns its address.
fn refusing_endpoint() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                while read_http(&mut stream).is_some() {
                    if stream.write_all(b"HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes the configuration of relay `me` of a fleet with these peer addresses.
fn configuration(folder: &Path, me: usize, peers: &[String], endpoint: &str) -> PathBuf {
    let file = folder.join(format!("n{me}.toml"));
    std::fs::write(folder.join("peers.key"), [7; 32]).expect("a file");
    let all: Vec<String> = peers.iter().map(|address| format!("\"{address}\"")).collect();
    let text = format!(
        "name = \"n{me}\"\nlisten = \"127.0.0.1:0\"\nstate = \"n{me}.state\"\n[store]\nkind = \"journal\"\n\
         [relay]\nrelays = 2\n[[class]]\nname = \"status-update\"\neffect = \"repeatable\"\naim_ms = 500\n\
         deadline_ms = 3000\n[[tenant]]\nname = \"desk\"\n\
         [[destination]]\nnumber = 1\nper_s = 8\nendpoints = [\"{endpoint}\"]\n\
         [peers]\nme = {me}\nlisten = \"{}\"\nall = [{}]\ncontrol = \"n{me}.control\"\n\
         [[peers.key]]\nid = 3\nfile = \"peers.key\"\n",
        peers[me],
        all.join(", ")
    );
    std::fs::write(&file, text).expect("a file");
    file
}

fn start(file: &Path) -> Program {
    Program::start(&["run", "--config", &file.display().to_string()], &[], 1)
}

/// What the command line shows of a running relay.
fn shown(command: &str, file: &Path) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_tulipfall"))
        .args([command, "show", "--json", "--config", &file.display().to_string()])
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Whether a relay holds an outage observed by relay `by`.
fn knows_outage(file: &Path, by: u64) -> bool {
    let facts = shown("facts", file);
    let facts = facts.as_array().expect("facts").iter();
    facts.into_iter().any(|fact| fact["by"] == by && !fact["known"]["Trouble"].is_null())
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the condition did not become true in time");
    }
}

#[test]
fn a_starting_relay_learns_outages_from_its_peer_or_from_its_own_snapshot() {
    let folder = folder("peers");
    let addresses: Vec<String> = {
        let free: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
        free.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect()
    };
    let endpoint = refusing_endpoint();
    let files: Vec<PathBuf> = (0..2).map(|me| configuration(&folder, me, &addresses, &endpoint)).collect();
    let mut first = start(&files[0]);
    let mut n = 0;
    wait_until(|| {
        n += 1;
        let request = submit_request("status-update", &format!("m{n}"), 1, 3000, b"x");
        send_and_read(&mut connect(&first.addresses[0]), &request).expect("an answer");
        knows_outage(&files[0], 0)
    });
    let mut second = start(&files[1]);
    wait_until(|| knows_outage(&files[1], 0));
    wait_until(|| shown("peers", &files[1])[0]["standing"] == "alive");
    // A datagram without the key has no effect.
    let outsider = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    outsider.send_to(&[1; 40], &addresses[1]).expect("a datagram");
    assert!(second.addresses.len() == 1);
    // Without a running peer, the snapshot of the earlier process is read.
    second.kill();
    wait_until(|| {
        std::fs::read_to_string(folder.join("n0.state/facts")).is_ok_and(|text| text.contains("Trouble"))
    });
    first.kill();
    let _first = start(&files[0]);
    wait_until(|| knows_outage(&files[0], 0));
}

#[test]
fn a_reload_replaces_the_set_of_peers() {
    let folder = folder("peers-reload");
    let free: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    let addresses: Vec<String> =
        free.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect();
    drop(free);
    let endpoint = refusing_endpoint();
    let file = configuration(&folder, 0, &addresses[..2], &endpoint);
    let first = start(&file);
    let peers = || shown("peers", &file).as_array().map(Vec::len);
    assert_eq!(peers(), Some(1));
    // A set of peers without this relay is refused.
    let text = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, text.replace("me = 0", "me = 7")).expect("a file");
    first.signal("-HUP");
    first.wait_for_log("the old one stays");
    configuration(&folder, 0, &addresses[..2], &endpoint);
    assert_eq!(peers(), Some(1));
    configuration(&folder, 0, &addresses, &endpoint);
    first.signal("-HUP");
    first.wait_for_log("configuration read again");
    wait_until(|| peers() == Some(2));
    // The new relay and this one exchange datagrams.
    let _third = start(&configuration(&folder, 2, &addresses, &endpoint));
    wait_until(|| shown("peers", &file)[1]["heard_s_ago"].is_number());
    // Changes that need a restart are named.
    let text = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, text.replace("per_s = 8", "per_s = 9").replace("me = 0", "me = 1"))
        .expect("a file");
    first.signal("-HUP");
    first.wait_for_log("needs a restart: destination, peers");
}
