//! The destination set on relays as processes, with a control machine in the test: what it publishes is in force on each of
//! them, also on one that was killed, frozen or cut off, and what it did not sign is not.

mod stand;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use destinations::{ControlKeys, DestinationId, DestinationSet, Operation, SigningKey, persist};
use fleet::keys::{Key, Keys};
use rollout::topology::{Machine, Place, Role, Topology};
use serde_json::Value;
use stand::control::{Control, control_key, foreign_key, hex, next_change, put};
use stand::partner::{Partner, until};
use stand::*;
use tokio::sync::{mpsc, watch};
use tulipfall::exchange::{Clock, Member};
use tulipfall::fleet::{DistributionSetup, InitialEndpoints, Setup, start};
use tulipfall::input::Input;
use tulipfall::interface::{ListUpdate, RuleParameters, ServiceState};
use tulipfall::standing::ProcessStatus;
use tulipfall::wire::RawEntry;

/// The key of notes.
const NOTES_KEY: [u8; 32] = [7; 32];

/// Passes datagrams on to a relay, unless it is cut off.
struct Forwarder {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Forwarder {
    fn start(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let (address, cut) = (socket.local_addr().expect("an address"), Arc::new(AtomicBool::new(false)));
        let is_cut = cut.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                if !is_cut.load(Ordering::Relaxed) {
                    let _ = socket.send_to(&buffer[..length], to);
                }
            }
        });
        Forwarder { address, cut }
    }

    fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// A relay of a fleet.
struct Relay {
    folder: PathBuf,
    number: usize,
    forwarder: Forwarder,
    program: Option<Program>,
}

impl Relay {
    fn file(&self) -> PathBuf {
        self.folder.join(format!("n{}.toml", self.number))
    }

    fn state(&self, name: &str) -> PathBuf {
        self.folder.join(format!("n{}.state", self.number)).join(name)
    }

    fn start(&mut self) {
        let file = self.file().display().to_string();
        self.program = Some(Program::start(&["run", "--config", &file], &[], 1));
    }

    fn program(&mut self) -> &mut Program {
        self.program.as_mut().expect("it was started")
    }

    fn kill(&mut self) {
        self.program().kill();
        self.program = None;
    }

    /// What it shows of the destination set.
    fn shown(&self) -> Value {
        let control = self.folder.join(format!("n{}.control", self.number));
        let mut stream = UnixStream::connect(control).expect("the control socket");
        stream.set_read_timeout(Some(FAR)).expect("a deadline");
        stream.write_all(b"show\n").expect("written");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("an answer");
        let all: Value = serde_json::from_str(&answer).expect("JSON");
        all["configuration"].clone()
    }

    fn version(&self) -> String {
        self.shown()["version"].as_str().expect("a version").to_string()
    }

    /// Waits until that version is in force.
    fn reaches(&self, version: &str) {
        until(&format!("relay {} is at {version}", self.number), || self.version() == version);
    }

    /// Waits until that version is in its file.
    fn keeps(&self, version: &str) {
        let number: u64 =
            version.strip_prefix("1.").and_then(|number| number.parse().ok()).expect("a version");
        let kept = || std::fs::read_to_string(self.state("configuration.version")).unwrap_or_default();
        until(&format!("relay {} keeps {version}", self.number), || {
            let kept: Value = serde_json::from_str(&kept()).unwrap_or_default();
            kept["number"] == number
        });
    }

    /// Hands in a message for destination 1.
    fn hand_in(&mut self, id: &str) {
        let request = handed_in("status-update", id, 1, 3000, b"x");
        let address = self.program().addresses[0].clone();
        let answer = ask(&mut connect(&address), &request).expect("an answer");
        assert_eq!(answer.status(), 202);
    }
}

/// A fleet in one zone, with one control machine.
struct Fleet {
    relays: Vec<Relay>,
    control: Control,
}

impl Fleet {
    /// Starts the relays, whose files list one endpoint for destination 1.
    fn start(name: &str, count: usize, base: SocketAddr) -> Self {
        let folder = folder(name);
        std::fs::write(folder.join("peers.key"), NOTES_KEY).expect("a file");
        let listens = free_ports(count);
        let forwarders: Vec<Forwarder> = listens.iter().map(|listen| Forwarder::start(*listen)).collect();
        let all: Vec<SocketAddr> = forwarders.iter().map(|forwarder| forwarder.address).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let control = socket.local_addr().expect("an address");
        let mut relays = Vec::new();
        for (number, (forwarder, listen)) in forwarders.into_iter().zip(listens).enumerate() {
            let mut relay = Relay { folder: folder.clone(), number, forwarder, program: None };
            std::fs::write(relay.file(), relay_file(number, listen, &all, control, base)).expect("a file");
            relay.start();
            relays.push(relay);
        }
        let keys = Keys(vec![Key { id: 3, bytes: NOTES_KEY.to_vec() }]);
        Fleet { relays, control: Control::start(socket, all, keys) }
    }

    fn all_reach(&self, version: &str) {
        self.relays.iter().for_each(|relay| relay.reaches(version));
    }
}

fn free_ports(count: usize) -> Vec<SocketAddr> {
    let free: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    free.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

fn relay_file(
    me: usize, listen: SocketAddr, all: &[SocketAddr], control: SocketAddr, base: SocketAddr,
) -> String {
    let addresses: Vec<String> = all.iter().map(|address| format!("\"{address}\"")).collect();
    let (addresses, count, key) = (addresses.join(", "), all.len(), hex(&control_key()));
    format!(
        r#"
name = "n{me}"
listen = "127.0.0.1:0"
state = "n{me}.state"
[store]
kind = "journal"
[relay]
relays = {count}
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
endpoints = ["{base}"]
[peers]
me = {me}
listen = "{listen}"
all = [{addresses}]
control = "n{me}.control"
[[peers.key]]
id = 3
file = "peers.key"
[configuration]
keys = ["{key}"]
[[configuration.control]]
address = "{control}"
region = "muscat"
[[configuration.zone]]
name = "muscat-a"
region = "muscat"
relays = {{ first = 0, count = {count} }}
"#
    )
}

#[test]
fn a_published_change_is_in_force_on_every_relay_and_a_forged_one_on_none() {
    let (base, new, forged) = (Partner::start(), Partner::start(), Partner::start());
    let mut fleet = Fleet::start("configuration-published", 3, base.address);
    // Until there is a version, the list of the file counts.
    fleet.relays[0].hand_in("before");
    assert_eq!(base.next(), "before");
    fleet.control.publish(vec![put(1, new.address)]);
    fleet.all_reach("1.1");
    for relay in &mut fleet.relays {
        let id = format!("after-{}", relay.number);
        relay.hand_in(&id);
        assert_eq!(new.next(), id);
    }
    let shown = fleet.relays[0].shown();
    assert_eq!(shown["digest"], fleet.control.set.digest().to_string());
    assert_eq!((&shown["destinations"], &shown["of_file"]), (&1.into(), &0.into()));
    let command = Command::new(env!("CARGO_BIN_EXE_tulipfall"))
        .args(["fleet", "configuration", "--config", &fleet.relays[0].file().display().to_string()])
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&command.stdout).into_owned();
    assert!(command.status.success() && told.starts_with("version 1.1\n"), "{told}");

    fleet.control.publish_signed_by(vec![put(1, forged.address)], &foreign_key());
    for relay in &mut fleet.relays {
        until("it refuses the forged change", || relay.shown()["refused"]["forged"].as_u64() > Some(0));
        assert_eq!(relay.version(), "1.1");
        let id = format!("forged-{}", relay.number);
        relay.hand_in(&id);
        assert_eq!(new.next(), id);
    }
    assert!(base.heard.try_recv().is_err() && forged.heard.try_recv().is_err());
}

#[test]
fn relays_that_were_killed_frozen_or_cut_off_are_brought_up_to_date() {
    let (base, first, last) = (Partner::start(), Partner::start(), Partner::start());
    let mut fleet = Fleet::start("configuration-faults", 3, base.address);
    fleet.control.publish(vec![put(1, first.address)]);
    fleet.all_reach("1.1");
    fleet.relays[0].keeps("1.1");
    fleet.relays[0].kill();
    fleet.relays[1].program().signal("-STOP");
    fleet.relays[2].forwarder.cut(true);
    // With nobody to ask, the relay that was killed goes by its file.
    fleet.control.answer(false);
    fleet.relays[0].start();
    assert_eq!(fleet.relays[0].version(), "1.1");
    fleet.relays[0].hand_in("kept");
    assert_eq!(first.next(), "kept");

    fleet.control.answer(true);
    fleet.control.publish(vec![put(2, first.address)]);
    let removal =
        Operation::RemoveEndpoint { destination: DestinationId(1), endpoint_id: first.address.to_string() };
    fleet.control.publish(vec![put(1, last.address), removal]);
    fleet.relays[0].reaches("1.3");
    assert_eq!(fleet.relays[2].version(), "1.1", "nothing reaches one that is cut off");
    fleet.relays[1].program().signal("-CONT");
    fleet.relays[1].reaches("1.3");
    fleet.relays[2].forwarder.cut(false);
    fleet.relays[2].reaches("1.3");
    for relay in &mut fleet.relays {
        assert_eq!(relay.shown()["digest"], fleet.control.set.digest().to_string());
        let id = format!("after-{}", relay.number);
        relay.hand_in(&id);
        assert_eq!(last.next(), id);
    }
    assert!(base.heard.try_recv().is_err() && first.heard.try_recv().is_err());
}

#[test]
fn a_process_that_takes_over_goes_on_with_the_endpoints_of_the_one_before() {
    let (base, first, last) = (Partner::start(), Partner::start(), Partner::start());
    let mut fleet = Fleet::start("configuration-handover", 1, base.address);
    let Fleet { relays, control } = &mut fleet;
    let relay = &mut relays[0];
    relay.kill();
    let clients = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = clients.local_addr().expect("an address").to_string();
    let text = std::fs::read_to_string(relay.file()).expect("a file");
    write(
        &relay.file(),
        text.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{address}\"")).as_bytes(),
    );
    let file = relay.file().display().to_string();
    let launch = || {
        let mut program = Program::inherit_with(&clients, &["run", "--config", &file], &[]);
        program.wait_ready(1);
        program
    };
    let mut old = launch();
    control.publish(vec![put(1, first.address)]);
    relay.reaches("1.1");
    relay.program = Some(launch());
    assert!(old.ended_well(), "with nothing left it goes by itself");
    // The new one may not have the file of this version, but has its endpoints.
    relay.hand_in("handed-over");
    assert_eq!(first.next(), "handed-over");
    let removal =
        Operation::RemoveEndpoint { destination: DestinationId(1), endpoint_id: first.address.to_string() };
    control.publish(vec![put(1, last.address), removal]);
    relay.reaches("1.2");
    relay.hand_in("after");
    assert_eq!(last.next(), "after");
    assert!(base.heard.try_recv().is_err() && first.heard.try_recv().is_err());
}

#[test]
fn another_number_of_relays_needs_a_restart_and_changes_come_as_before_until_then() {
    let partner = Partner::start();
    let mut fleet = Fleet::start("configuration-reload", 1, partner.address);
    let Fleet { relays, control } = &mut fleet;
    let relay = &mut relays[0];
    let text = std::fs::read_to_string(relay.file()).expect("a file");
    let more =
        text.replace("\"]\ncontrol", "\", \"127.0.0.1:9\"]\ncontrol").replace("count = 1", "count = 2");
    assert_ne!(text, more);
    write(&relay.file(), more.as_bytes());
    relay.program().signal("-HUP");
    relay.program().logged("needs a restart: configuration");
    relay.program().logged("another number of relays needs a restart");
    control.publish(vec![put(1, partner.address)]);
    relay.reaches("1.1");
}

#[test]
fn a_set_that_is_too_large_for_its_part_of_the_disk_is_in_force_and_not_kept() {
    let partner = Partner::start();
    let mut fleet = Fleet::start("configuration-room", 1, partner.address);
    let Fleet { relays, control } = &mut fleet;
    let relay = &mut relays[0];
    relay.kill();
    let text = std::fs::read_to_string(relay.file()).expect("a file");
    write(&relay.file(), text.replace("[relay]", "[limits]\ndisk_mb = 1\n[relay]").as_bytes());
    relay.start();
    let room = 1_000_000 / 16;
    let mut destinations = (1..=1200).peekable();
    while destinations.peek().is_some() {
        control.publish(destinations.by_ref().take(40).map(|number| put(number, partner.address)).collect());
    }
    let size: usize = persist::encode(&control.set).map(|piece| piece.len()).sum();
    assert!(size > room, "{size} bytes are too few for this test");
    relay.reaches("1.30");
    relay.program().logged("which is all that limits.disk_mb leaves for it");
    let bytes = |name: &str| std::fs::metadata(relay.state(name)).map_or(0, |file| file.len() as usize);
    assert!(bytes("configuration.set") <= room && bytes("configuration.set.unfinished") <= room);
    relay.hand_in("delivered");
    assert_eq!(partner.next(), "delivered");
}

/// A file of a set, as a relay writes it.
fn set_file(set: &DestinationSet, change: &[u8]) -> Vec<u8> {
    let mut bytes = (change.len() as u32).to_le_bytes().to_vec();
    bytes.extend(change);
    persist::encode(set).for_each(|piece| bytes.extend(piece));
    bytes
}

fn forged_file(operations: Vec<Operation>, key: &SigningKey) -> Vec<u8> {
    let mut set = DestinationSet::new();
    let change = next_change(&mut set, operations, key);
    set_file(&set, &change.encode())
}

fn write(file: &Path, bytes: &[u8]) {
    std::fs::write(file, bytes).expect("a file");
}

#[test]
fn a_file_that_is_damaged_forged_or_older_is_named_and_left_and_the_relay_catches_up() {
    let partner = Partner::start();
    let mut fleet = Fleet::start("configuration-file", 1, partner.address);
    let Fleet { relays, control } = &mut fleet;
    let relay = &mut relays[0];
    let file = relay.state("configuration.set");
    control.publish(vec![put(1, partner.address)]);
    relay.keeps("1.1");
    let older = std::fs::read(&file).expect("a file");
    control.publish(vec![put(2, partner.address)]);
    relay.keeps("1.2");
    let sound = std::fs::read(&file).expect("a file");
    let mut damaged = sound.clone();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 1;
    let cut = sound[..middle].to_vec();
    let forged = forged_file(vec![put(1, partner.address)], &foreign_key());
    let other = forged_file(vec![put(1, partner.address)], &control_key());
    // Signed by control, but of another set than the one that follows.
    let mut swapped = DestinationSet::new();
    let change = next_change(&mut swapped, vec![put(7, partner.address)], &control_key()).encode();
    let swapped = [&(change.len() as u32).to_le_bytes()[..], &change, other_set(&other)].concat();
    let cases = [
        (damaged, "configuration.set: "),
        (cut, "configuration.set: the file ends early"),
        (forged, "configuration.set: the signature is not that of a control key"),
        (swapped, "configuration.set: the signed change does not lead to this set"),
        (older, "configuration.set: version 1.1 is older than 1.2"),
    ];
    for (bytes, reason) in cases {
        relay.kill();
        write(&file, &bytes);
        // Its warning comes before it is ready.
        relay.program = Some(Program::launched(&["run", "--config", &relay.file().display().to_string()]));
        relay.program().logged(reason);
        relay.program().wait_ready(0);
        relay.reaches("1.2");
        relay.keeps("1.2");
        until("the file is written anew", || std::fs::read(&file).expect("a file") == sound);
    }
    relay.kill();
    relay.start();
    assert!(relay.shown()["applied"] == 0 && relay.version() == "1.2", "from its file alone");
}

/// The part of a file after its signed change.
fn other_set(file: &[u8]) -> &[u8] {
    let length = u32::from_le_bytes(file[..4].try_into().expect("four bytes")) as usize;
    &file[4 + length..]
}

#[tokio::test]
async fn changes_wait_for_a_runtime_whose_queue_is_full_and_come_together() {
    let state = folder("configuration-queue");
    let listen = free_ports(1)[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let setup = setup(listen, socket.local_addr().expect("an address"));
    let mut control = Control::start(socket, vec![listen], Keys::default());
    let clock = Clock::start();
    let (inputs, mut received) = mpsc::channel(1);
    inputs.try_send(Input::Withdrawn("in the way".into())).expect("room for one");
    let (replaced, process) =
        (watch::channel(setup.all.clone()).1, (Arc::new(ProcessStatus::starting(clock)), Arc::default()));
    let base = [base_member()];
    let before = InitialEndpoints::Configured(&base);
    let started = start(&setup, &RULES, (&state, 0), (clock, 1), (inputs, replaced), process, before).await;
    let _started = started.expect("the port is free");
    let endpoint: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    control.publish(vec![put(2, endpoint)]);
    control.publish(vec![put(1, endpoint)]);
    let kept = state.join("configuration.version");
    let waited = tokio::task::spawn_blocking(move || {
        until("both are in force", || {
            std::fs::read_to_string(&kept).is_ok_and(|text| text.contains("\"number\":2"))
        });
    });
    waited.await.expect("both are in force");
    assert!(matches!(received.recv().await, Some(Input::Withdrawn(_))));
    let listed = tokio::time::timeout(FAR, received.recv()).await.expect("the changes, once there is room");
    let Some(Input::Listed(ListUpdate::Changes, members)) = listed else { panic!("no list") };
    let told: Vec<(&str, ServiceState)> =
        members.iter().map(|member| (member.id.as_str(), member.entry.listed())).collect();
    let expected = [
        ("1@old", ServiceState::Removed),
        ("1@127.0.0.1:9", ServiceState::InService),
        ("2@127.0.0.1:9", ServiceState::InService),
    ];
    assert_eq!(told, expected);
    assert!(received.try_recv().is_err(), "once");
}

const RULES: RuleParameters = RuleParameters {
    cold_capacity_fraction: 0.2,
    warm_up: 10_000_000,
    overload_multiple: 2.0,
    overload_window: 2_000_000,
    drain_grace: 2_000_000,
    settle_time: 0,
};

fn base_member() -> Member {
    let entry =
        RawEntry::new("partner".into(), ServiceState::InService, 1, "here".into(), 4.0, "1@old".into());
    Member { entry, id: "1@old".into(), address: "127.0.0.1:8".into() }
}

/// The part of a relay in a fleet of its own, with one control machine.
fn setup(listen: SocketAddr, control: SocketAddr) -> Setup {
    let relay = Machine { peer: 0, place: Place { region: 0, zone: 0 }, role: Role::Relay };
    let machines = [relay, Machine { peer: 1, place: Place { region: 0, zone: 1 }, role: Role::Control }];
    let distribution = DistributionSetup {
        controls: vec![control],
        topology: Arc::new(Topology::new(&machines).expect("a topology")),
        keys: ControlKeys::new(&[control_key().verifying_key().to_bytes()]).expect("a key"),
        file_room: 1 << 20,
    };
    Setup {
        me: 0,
        listen,
        all: vec![listen],
        keys: Keys::default(),
        bytes_per_s: 4000,
        permits: None,
        repeats: false,
        observations: None,
        turns: None,
        distribution: Some(distribution),
        control: None,
    }
}
