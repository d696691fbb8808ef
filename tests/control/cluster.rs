//! Three control machines, each in a thread of its own, and what an operator asks them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use control::shell::config::Config;
use control::shell::daemon;
use destinations::SigningKey;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::stand::folder;

/// Control machines of a cluster.
pub const MACHINES: u64 = 3;
/// Relays of the fleet, whose numbers come before those of the control machines.
pub const RELAYS: u16 = 3;
/// The key by which control machines sign changes.
const CLUSTER_KEY: [u8; 32] = [7; 32];
/// The key of notes between all machines.
const LINK_KEY: [u8; 32] = [9; 32];
/// For how long one answer is awaited.
const ANSWER_PATIENCE: Duration = Duration::from_secs(2);
/// Between two attempts.
const PAUSE: Duration = Duration::from_millis(20);

/// The last part of the next cluster's loopback address; each of this process has one of its own.
static CLUSTERS: AtomicU8 = AtomicU8::new(201);

/// A control machine that runs until it is dropped.
struct Running {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Starts the machine of a file on a runtime of its own, as the program does.
    fn start(file: &Path) -> Self {
        let config = Config::read(file).expect("a sound file");
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                tokio::select! {
                    ended = daemon::run(config) => panic!("a control machine ended: {ended:?}"),
                    _ = stopped => {}
                }
            });
        });
        Running { stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.stop.take());
        // A machine that ended by itself has said so.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The control machines of a test.
pub struct Cluster {
    /// Where the files of all machines of the test are.
    pub folder: PathBuf,
    /// The loopback address of all machines of the test.
    ip: IpAddr,
    machines: BTreeMap<u64, Running>,
    proposals: u32,
    deadline: Instant,
}

impl Cluster {
    /// Writes the files and starts all machines. They have to do all that the test asks by the deadline.
    pub fn start(name: &str, deadline: Instant) -> Self {
        let folder = folder(name);
        let pid = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + pid[2] % 200, pid[3], CLUSTERS.fetch_add(1, Ordering::Relaxed));
        std::fs::write(folder.join("cluster.key"), hex(&CLUSTER_KEY)).expect("a file");
        std::fs::write(folder.join("peers.key"), LINK_KEY).expect("a file");
        let mut cluster =
            Cluster { folder, ip: ip.into(), machines: BTreeMap::new(), proposals: 0, deadline };
        for id in 1..=MACHINES {
            let file = cluster.folder.join(format!("control-{id}.toml"));
            std::fs::write(&file, cluster.file(id)).expect("a file");
            cluster.machines.insert(id, Running::start(&file));
        }
        cluster
    }

    /// Stops one machine.
    pub fn stop(&mut self, id: u64) {
        self.machines.remove(&id).expect("it runs");
    }

    /// The tables that the files of all machines have in common: the relays, the key of notes and the control machines.
    /// Keys of the table `peers` that only relays have are put before them.
    pub fn common(&self, of_peers: &str) -> String {
        let relays: Vec<String> = (0..RELAYS).map(|peer| format!("\"{}\"", self.link(peer))).collect();
        let controls: String = (1..=MACHINES).map(|id| self.control_table(id)).collect();
        let key = hex(SigningKey::from_bytes(&CLUSTER_KEY).verifying_key().as_bytes());
        format!(
            r#"
[peers]
{of_peers}
all = [{}]
[[peers.key]]
id = 3
file = "peers.key"
[configuration]
keys = ["{key}"]
{controls}
[[configuration.zone]]
name = "salalah-a"
region = "salalah"
relays = {{ first = 2, count = 1 }}
[[configuration.zone]]
name = "muscat-a"
region = "muscat"
relays = {{ first = 0, count = 2 }}
"#,
            relays.join(", ")
        )
    }

    fn control_table(&self, id: u64) -> String {
        let (ip, admin, link) = (self.ip, self.admin(id), self.link(RELAYS + id as u16 - 1));
        let consensus = 7100 + id;
        format!(
            "[[configuration.control]]\naddress = \"{link}\"\nregion = \"muscat\"\n\
             consensus = \"{ip}:{consensus}\"\nadmin = \"{admin}\"\n"
        )
    }

    /// Where a machine of the fleet listens for notes.
    pub fn link(&self, peer: u16) -> SocketAddr {
        SocketAddr::new(self.ip, 7200 + peer)
    }

    /// The machine that leads by the word of all that run.
    pub fn leader(&self) -> u64 {
        loop {
            let statuses: Vec<Option<u64>> =
                self.machines.keys().map(|id| self.status(*id)?["leader"].as_u64()).collect();
            match statuses.first() {
                Some(Some(leader)) if statuses.iter().all(|one| *one == Some(*leader)) => return *leader,
                _ => self.pause(),
            }
        }
    }

    /// Publishes or rolls back; the version it led to. Each attempt has the same id, so that it is taken once.
    pub fn publish(&mut self, mut request: Value) -> String {
        self.proposals += 1;
        let kind = request.as_object().and_then(|object| object.keys().next().cloned()).expect("a request");
        request[&kind]["id"] = json!(format!("{:032x}", self.proposals));
        loop {
            let reply = self.ask(self.leader(), &request).unwrap_or_default();
            if let Some(published) = reply.get("published") {
                let version = &published["version"];
                return format!("{}.{}", version["epoch"], version["number"]);
            }
            let again =
                reply.is_null() || reply.get("not_leader").is_some() || reply.get("unknown").is_some();
            assert!(again, "{request}: {reply}");
            self.pause();
        }
    }

    /// What the program says and whether it succeeds, with the addresses where all machines listen for operators.
    pub fn command(&self, arguments: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.arg("fleet").args(arguments);
        for id in 1..=MACHINES {
            command.args(["--control", &self.admin(id).to_string()]);
        }
        let output = command.output().expect("it runs");
        let said = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&said).into_owned())
    }

    /// Looks by that command until what it says has that text.
    pub fn says(&self, arguments: &[&str], text: &str) {
        while !self.command(arguments).1.contains(text) {
            self.pause();
        }
    }

    /// The digest of the set on the leader.
    pub fn digest(&self) -> String {
        let status = self.status(self.leader()).expect("its status");
        status["digest"].as_str().expect("a digest").to_owned()
    }

    fn status(&self, id: u64) -> Option<Value> {
        Some(self.ask(id, &json!("status"))?["status"].take())
    }

    fn ask(&self, id: u64, request: &Value) -> Option<Value> {
        let mut connection = TcpStream::connect_timeout(&self.admin(id), ANSWER_PATIENCE).ok()?;
        connection.set_read_timeout(Some(ANSWER_PATIENCE)).ok()?;
        connection.write_all(format!("{request}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(connection).read_line(&mut answer).ok()?;
        serde_json::from_str(&answer).ok()
    }

    fn pause(&self) {
        assert!(Instant::now() < self.deadline, "it takes too long");
        std::thread::sleep(PAUSE);
    }

    fn admin(&self, id: u64) -> SocketAddr {
        SocketAddr::new(self.ip, 7000 + id as u16)
    }

    fn file(&self, id: u64) -> String {
        let common = self.common("");
        format!(
            "node = {id}\ndata = \"data-{id}\"\ncluster_key = \"cluster.key\"\n\
             tick_ms = 20\nelection_ticks = 24\nheartbeat_ticks = 4\n{common}"
        )
    }
}

fn hex(key: &[u8; 32]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}
