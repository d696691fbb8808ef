//! Starts, signals and asks control machines that run as processes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use control::shell::admin::{Reply, Request, Status};
use destinations::{SigningKey, Version};
use faults::{Child, Scenario};
use tempfile::TempDir;

/// Control machines of a cluster.
pub const MACHINES: u64 = 6;
/// The number of the only relay in the fleet, which control machines follow.
pub const RELAY: u16 = 0;
/// The key of the cluster.
pub const CLUSTER_KEY: [u8; 32] = [7; 32];
/// The key of the link.
pub const LINK_KEY: [u8; 32] = [9; 32];

/// For how long one answer is awaited.
const ANSWER_PATIENCE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(30);

/// Clusters of this process so far; each has a loopback address of its own.
static CLUSTERS: AtomicU8 = AtomicU8::new(1);

/// A process that the test started; it ends with the test.
struct Process(std::process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Six control machines.
pub struct Cluster {
    directory: TempDir,
    ip: IpAddr,
    processes: BTreeMap<u64, Process>,
    frozen: Option<u64>,
    deadline: Instant,
    /// What fails in each process.
    faults: Scenario,
}

impl Cluster {
    /// Writes the files and starts all machines.
    pub fn start(deadline: Instant) -> Self {
        Self::start_with(Scenario::default(), deadline)
    }

    /// The same, with faults of system calls in each process.
    pub fn start_with(faults: Scenario, deadline: Instant) -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let pid = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + pid[2] % 200, pid[3], CLUSTERS.fetch_add(1, Ordering::Relaxed));
        let mut cluster =
            Cluster { directory, ip: ip.into(), processes: BTreeMap::new(), frozen: None, deadline, faults };
        cluster.write("cluster.key", &hex::encode(CLUSTER_KEY));
        std::fs::write(cluster.directory.path().join("link.key"), LINK_KEY)
            .expect("a file in an own directory");
        for id in 1..=MACHINES {
            cluster.write(&format!("{id}.toml"), &cluster.file(id));
            cluster.launch(id);
        }
        cluster
    }

    /// Starts one machine.
    pub fn launch(&mut self, id: u64) {
        let file = self.directory.path().join(format!("{id}.toml"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall-control"));
        let (scope, log) =
            (self.directory.path().join(format!("data-{id}")), self.directory.path().join("faults.log"));
        let faults = self.faults.environment(Child { seed: id, scope: &scope, log: &log });
        command.envs(faults.expect("the shim is built"));
        let child = command.arg(file).stdin(Stdio::null()).stderr(Stdio::null()).spawn();
        self.processes.insert(id, Process(child.expect("the program starts")));
    }

    /// Number of faults that were made.
    pub fn faults_made(&self) -> usize {
        let log = std::fs::read_to_string(self.directory.path().join("faults.log"));
        log.map_or(0, |log| log.lines().count())
    }

    /// Whether all machines run.
    pub fn all_run(&mut self) -> bool {
        self.processes.values_mut().all(|process| matches!(process.0.try_wait(), Ok(None)))
    }

    /// Kills one machine with SIGKILL.
    pub fn kill(&mut self, id: u64) {
        self.processes.remove(&id);
    }

    /// Freezes one machine.
    pub fn freeze(&mut self, id: u64) {
        self.signal(id, "STOP");
        self.frozen = Some(id);
    }

    /// Lets the frozen machine run on.
    pub fn thaw(&mut self) {
        let id = self.frozen.take().expect("a frozen machine");
        self.signal(id, "CONT");
    }

    /// Sends a signal to one machine, by the id of its process.
    fn signal(&self, id: u64, name: &str) {
        let process = self.processes[&id].0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &process]).status();
        assert!(status.expect("kill runs").success());
    }

    /// When the test has to be over.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Where a machine listens for operators.
    pub fn admin(&self, id: u64) -> SocketAddr {
        SocketAddr::new(self.ip, 7000 + id as u16)
    }

    /// Where a machine of the fleet listens for notes.
    pub fn link(&self, peer: u16) -> SocketAddr {
        SocketAddr::new(self.ip, 7200 + peer)
    }

    /// Asks one machine; none if it does not answer.
    pub fn ask(&self, id: u64, request: &Request) -> Option<Reply> {
        let line = serde_json::to_string(request).expect("a request has an encoding");
        self.ask_line(id, &(line + "\n"))
    }

    /// Sends a line to one machine, and reads the answer.
    pub fn ask_line(&self, id: u64, line: &str) -> Option<Reply> {
        let mut connection = TcpStream::connect_timeout(&self.admin(id), ANSWER_PATIENCE).ok()?;
        connection.set_read_timeout(Some(ANSWER_PATIENCE)).ok()?;
        connection.write_all(line.as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(connection).read_line(&mut answer).ok()?;
        serde_json::from_str(&answer).ok()
    }

    /// Asks the leader, whoever that is by then.
    pub fn ask_leader(&mut self, request: &Request) -> Reply {
        loop {
            let leader = self.leader();
            match self.ask(leader, request) {
                Some(Reply::NotLeader { .. }) | None => self.pause(),
                Some(reply) => return reply,
            }
        }
    }

    /// Publishes; the version it led to. Each attempt has the same id, so that it is taken once.
    pub fn publish(&mut self, request: Request) -> Version {
        let id =
            Some(format!("{:032x}", self.deadline.elapsed().as_nanos() ^ fresh()).parse().expect("an id"));
        let request = match request {
            Request::Publish { operations, .. } => Request::Publish { id, operations },
            Request::Rollback { to, .. } => Request::Rollback { id, to },
            Request::Status => panic!("status is not published"),
        };
        loop {
            match self.ask_leader(&request) {
                Reply::Published { version, .. } => return version,
                Reply::Unknown { .. } => self.pause(),
                other => panic!("{other:?}"),
            }
        }
    }

    /// The machine that leads by the word of most of those that answer.
    pub fn leader(&self) -> u64 {
        loop {
            let mut votes: BTreeMap<u64, usize> = BTreeMap::new();
            let awake = self.processes.keys().filter(|id| self.frozen != Some(**id));
            let running = awake.filter_map(|id| self.status(*id));
            running
                .filter_map(|status| status.leader)
                .for_each(|leader| *votes.entry(leader).or_default() += 1);
            let most = votes.into_iter().max_by_key(|(_, count)| *count);
            match most {
                Some((leader, count)) if count > MACHINES as usize / 2 => return leader,
                _ => self.pause(),
            }
        }
    }

    /// Waits until all machines are at that version, with one digest.
    pub fn wait_for_all(&self, version: Version) -> String {
        loop {
            let statuses: Vec<Status> = (1..=MACHINES).filter_map(|id| self.status(id)).collect();
            let there = statuses.iter().filter(|status| status.version == version).count();
            if there == MACHINES as usize {
                let digests = statuses.iter().map(|status| &status.digest);
                assert!(digests.clone().all(|digest| *digest == statuses[0].digest), "one version, two sets");
                return statuses[0].digest.clone();
            }
            self.pause();
        }
    }

    fn status(&self, id: u64) -> Option<Status> {
        match self.ask(id, &Request::Status)? {
            Reply::Status(status) => Some(status),
            other => panic!("{other:?}"),
        }
    }

    fn pause(&self) {
        assert!(Instant::now() < self.deadline, "it takes too long");
        std::thread::sleep(PAUSE);
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.directory.path().join(name), text).expect("a file in an own directory");
    }

    fn file(&self, id: u64) -> String {
        let (ip, relay) = (self.ip, self.link(RELAY));
        let public = hex::encode(SigningKey::from_bytes(&CLUSTER_KEY).verifying_key().to_bytes());
        let mut file = format!(
            "node = {id}\ndata = \"data-{id}\"\ncluster_key = \"cluster.key\"\n\
             tick_ms = 20\nelection_ticks = 24\nheartbeat_ticks = 4\n\
             [peers]\nall = [\"{relay}\"]\n[[peers.key]]\nid = 1\nfile = \"link.key\"\n\
             [configuration]\nkeys = [\"{public}\"]\n\
             [[configuration.zone]]\nname = \"a\"\nregion = \"1\"\nrelays = {{ first = 0, count = 1 }}\n"
        );
        for node in 1..=MACHINES {
            file += &format!(
                "[[configuration.control]]\nregion = \"1\"\n\
                 consensus = \"{ip}:{}\"\nadmin = \"{}\"\naddress = \"{}\"\n",
                7100 + node,
                self.admin(node),
                self.link(RELAY + node as u16)
            );
        }
        file
    }
}

/// A number that this process has not given before.
fn fresh() -> u128 {
    static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    u128::from(NUMBER.fetch_add(1, Ordering::Relaxed))
}
