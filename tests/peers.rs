//! A relay among its peers, as processes on loopback: what one saw fail, another that starts knows; what is shown to
//! an operator; a relay's own snapshot where no peer answers.

mod stand;

use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use serde_json::Value;
use stand::*;

/// An endpoint that refuses every call.
fn shut() -> String {
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

fn configuration(folder: &Path, me: usize, notes: &[String], endpoint: &str) -> PathBuf {
    let file = folder.join(format!("n{me}.toml"));
    std::fs::write(folder.join("peers.key"), [7; 32]).expect("a file");
    let all: Vec<String> = notes.iter().map(|address| format!("\"{address}\"")).collect();
    let text = format!(
        "name = \"n{me}\"\nlisten = \"127.0.0.1:0\"\nstate = \"n{me}.state\"\n[store]\nkind = \"journal\"\n\
         [relay]\nrelays = 2\n[[class]]\nname = \"status-update\"\neffect = \"repeatable\"\naim_ms = 500\n\
         deadline_ms = 3000\n[[tenant]]\nname = \"desk\"\n\
         [[destination]]\nnumber = 1\nper_s = 8\nendpoints = [\"{endpoint}\"]\n\
         [peers]\nme = {me}\nlisten = \"{}\"\nall = [{}]\ncontrol = \"n{me}.control\"\n\
         [[peers.key]]\nid = 3\nfile = \"peers.key\"\n",
        notes[me],
        all.join(", ")
    );
    std::fs::write(&file, text).expect("a file");
    file
}

fn start(file: &Path) -> Program {
    Program::start(&["run", "--config", &file.display().to_string()], &[], 1)
}

/// What the tool shows of a running relay.
fn shown(part: &str, file: &Path) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_tulipfall"))
        .args([part, "show", "--json", "--config", &file.display().to_string()])
        .output()
        .expect("it runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn knows_trouble(file: &Path, by: u64) -> bool {
    let facts = shown("facts", file);
    let facts = facts.as_array().expect("facts").iter();
    facts.into_iter().any(|fact| fact["by"] == by && !fact["known"]["Trouble"].is_null())
}

fn until(mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "it never holds");
    }
}

#[test]
fn a_relay_that_starts_knows_what_its_peer_saw_and_later_what_it_saw_itself() {
    let folder = folder("peers");
    let notes: Vec<String> = {
        let free: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
        free.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect()
    };
    let endpoint = shut();
    let files: Vec<PathBuf> = (0..2).map(|me| configuration(&folder, me, &notes, &endpoint)).collect();
    let mut first = start(&files[0]);
    let mut n = 0;
    until(|| {
        n += 1;
        let request = submit_request("status-update", &format!("m{n}"), 1, 3000, b"x");
        send_and_read(&mut connect(&first.addresses[0]), &request).expect("an answer");
        knows_trouble(&files[0], 0)
    });
    let mut second = start(&files[1]);
    until(|| knows_trouble(&files[1], 0));
    until(|| shown("peers", &files[1])[0]["standing"] == "alive");
    // A note without the key has no effect.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    stranger.send_to(&[1; 40], &notes[1]).expect("sent");
    assert!(second.addresses.len() == 1);
    // With nobody to ask, the snapshot of the process before counts.
    second.kill();
    until(|| {
        std::fs::read_to_string(folder.join("n0.state/facts")).is_ok_and(|text| text.contains("Trouble"))
    });
    first.kill();
    let _first = start(&files[0]);
    until(|| knows_trouble(&files[0], 0));
}

#[test]
fn a_reload_takes_on_another_set_of_relays() {
    let folder = folder("peers-reload");
    let free: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    let notes: Vec<String> =
        free.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect();
    drop(free);
    let endpoint = shut();
    let file = configuration(&folder, 0, &notes[..2], &endpoint);
    let first = start(&file);
    let peers = || shown("peers", &file).as_array().map(Vec::len);
    assert_eq!(peers(), Some(1));
    // A set that this relay is not part of is refused as a whole.
    let text = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, text.replace("me = 0", "me = 7")).expect("a file");
    first.signal("-HUP");
    first.wait_for_log("the old one stays");
    configuration(&folder, 0, &notes[..2], &endpoint);
    assert_eq!(peers(), Some(1));
    configuration(&folder, 0, &notes, &endpoint);
    first.signal("-HUP");
    first.wait_for_log("configuration read again");
    until(|| peers() == Some(2));
    // The one that came hears of it, and is heard.
    let _third = start(&configuration(&folder, 2, &notes, &endpoint));
    until(|| shown("peers", &file)[1]["heard_s_ago"].is_number());
    // What a reload does not take on is named.
    let text = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, text.replace("per_s = 8", "per_s = 9").replace("me = 0", "me = 1"))
        .expect("a file");
    first.signal("-HUP");
    first.wait_for_log("needs a restart: destination, peers");
}
