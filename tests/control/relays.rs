//! Three relays as processes in two zones, which take the destination set from the control machines.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::cluster::{Cluster, RELAYS};
use crate::stand::partner::Partner;
use crate::stand::{Program, TEST_TIMEOUT, connect, send_and_read, submit_request};

/// From one look at the relays to the next.
const LOOK: Duration = Duration::from_millis(5);

/// The relays of a test.
pub struct Relays {
    folder: PathBuf,
    /// By their numbers; none where a relay is down.
    programs: Vec<Option<Program>>,
    deadline: Instant,
}

impl Relays {
    /// Writes the files and starts all relays. The files list one endpoint of destination 1.
    pub fn start(cluster: &Cluster, listed: SocketAddr, deadline: Instant) -> Self {
        let folder = cluster.folder.clone();
        let mut relays = Relays { folder, programs: Vec::new(), deadline };
        for number in 0..RELAYS {
            let text = relay_file(number, cluster, listed);
            std::fs::write(relays.file(number.into()), text).expect("a file");
            relays.programs.push(None);
            relays.launch(number.into());
        }
        relays
    }

    /// Starts a relay by a file that lists one relay more than the files of the control machines.
    pub fn start_one_too_many(cluster: &Cluster) -> Program {
        let text = relay_file(RELAYS, cluster, cluster.link(100));
        let (last, more) = (cluster.link(RELAYS - 1), cluster.link(99));
        let more = text
            .replace(&format!("\"{last}\"]"), &format!("\"{last}\", \"{more}\"]"))
            .replace("first = 2, count = 1", "first = 2, count = 2")
            .replace(&format!("listen = \"{}\"", cluster.link(RELAYS)), &format!("listen = \"{more}\""));
        let file = cluster.folder.join("one-too-many.toml");
        std::fs::write(&file, more).expect("a file");
        Program::start(&["run", "--config", &file.display().to_string()], &[], 1)
    }

    /// Starts one relay.
    pub fn launch(&mut self, number: usize) {
        let file = self.file(number).display().to_string();
        self.programs[number] = Some(Program::start(&["run", "--config", &file], &[], 1));
    }

    /// Kills one relay with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        self.programs[number] = None;
    }

    /// Waits until that version is in force on all that run.
    pub fn all_reach(&self, version: &str) {
        for number in self.running() {
            while self.shown(number)["version"] != version {
                let shown = self.shown(number);
                assert!(Instant::now() < self.deadline, "relay {number} is not at {version}: {shown}");
                std::thread::sleep(LOOK);
            }
        }
    }

    /// Waits until a relay has that change of the first epoch in its file, so that it starts with it.
    pub fn keeps(&self, number: usize, change: u64) {
        let file = self.folder.join(format!("n{number}.state")).join("configuration.version");
        let kept = || -> Option<Value> { serde_json::from_str(&std::fs::read_to_string(&file).ok()?).ok() };
        while kept().is_none_or(|kept| kept["number"] != change) {
            assert!(Instant::now() < self.deadline, "relay {number} does not keep change {change}");
            std::thread::sleep(LOOK);
        }
    }

    /// Hands each relay a message for destination 1, which that partner hears next.
    pub fn all_deliver(&self, what: &str, partner: &Partner) {
        for number in self.running() {
            let id = format!("{what}-{number}");
            let program = self.programs[number].as_ref().expect("it runs");
            let request = submit_request("status-update", &id, 1, 3000, b"x");
            let answer = send_and_read(&mut connect(&program.addresses[0]), &request).expect("an answer");
            assert_eq!(answer.status(), 202);
            assert_eq!(partner.next_message(), id);
        }
    }

    /// Each relay has the digest of the control machines, by the command that shows it.
    pub fn agree_with(&self, cluster: &Cluster) {
        let digest = cluster.digest();
        for number in self.running() {
            let file = self.file(number).display().to_string();
            let shown = Command::new(env!("CARGO_BIN_EXE_tulipfall"))
                .args(["fleet", "configuration", "--json", "--config", &file])
                .output()
                .expect("it runs");
            let shown: Value = serde_json::from_slice(&shown.stdout).expect("JSON");
            assert_eq!(shown["digest"], digest, "relay {number}: {shown}");
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..).zip(&self.programs).filter(|(_, program)| program.is_some()).map(|(number, _)| number)
    }

    fn file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("n{number}.toml"))
    }

    /// What a relay shows of the destination set.
    fn shown(&self, number: usize) -> Value {
        let mut stream =
            UnixStream::connect(self.folder.join(format!("n{number}.control"))).expect("the control socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a deadline");
        stream.write_all(b"show\n").expect("written");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("an answer");
        let mut all: Value = serde_json::from_str(&answer).expect("JSON");
        all["configuration"].take()
    }
}

fn relay_file(me: u16, cluster: &Cluster, listed: SocketAddr) -> String {
    let of_peers = format!("me = {me}\nlisten = \"{}\"\ncontrol = \"n{me}.control\"", cluster.link(me));
    let common = cluster.common(&of_peers);
    format!(
        r#"
name = "n{me}"
listen = "127.0.0.1:0"
state = "n{me}.state"
[store]
kind = "journal"
[relay]
relays = {RELAYS}
[[class]]
name = "status-update"
effect = "repeatable"
aim_ms = 500
deadline_ms = 3000
[[tenant]]
name = "desk"
[[destination]]
number = 1
per_s = 50
endpoints = ["{listed}"]
{common}
"#
    )
}
