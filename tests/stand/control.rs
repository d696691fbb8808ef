//! A control machine for tests: publishes signed changes to relays over its own UDP socket.

use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use destinations::{
    ControlKeys, DestinationId, DestinationSet, Endpoint, Operation, Phase, SignedChange, SigningKey,
};
use fleet::incarnation;
use fleet::keys::Keys;
use fleet::link::{self, PeerLink};
use rollout::topology::{Machine, Place, Role, Topology};
use rollout::{Config, Micros, Node, Peer};

/// The region and zone of all machines of a test.
const PLACE: Place = Place { region: 0, zone: 0 };
/// The zone of control machines, which follows those of relays.
const CONTROL_PLACE: Place = Place { region: 0, zone: 1 };
/// Maximum wait for a datagram, so that commands and timers are handled in time.
const TICK: Duration = Duration::from_millis(5);
/// Bandwidth for relays that lag behind, in bytes per second. A snapshot should not take the seconds that it takes in a large fleet.
const SERVE_BYTES_PER_S: u32 = 1_000_000;
/// Larger than any datagram of the peer link, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;

/// The key that signs changes.
pub fn control_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

/// A key that no relay knows.
pub fn foreign_key() -> SigningKey {
    SigningKey::from_bytes(&[8; 32])
}

/// Returns the public key in the format of a configuration.
pub fn hex(key: &SigningKey) -> String {
    key.verifying_key().to_bytes().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the operation that adds an endpoint with a high call rate, identified by its address.
pub fn put(destination: i64, address: SocketAddr) -> Operation {
    let endpoint = Endpoint {
        id: address.to_string(),
        address,
        kind: "partner".into(),
        zone: "here".into(),
        phase: Phase::Ready,
        rate_per_s: 50.0,
    };
    Operation::PutEndpoint { destination: DestinationId(destination), endpoint }
}

/// Creates the next change of a set, applies it and signs it.
pub fn next_change(set: &mut DestinationSet, operations: Vec<Operation>, key: &SigningKey) -> SignedChange {
    let change = set.prepare_in_epoch(1, operations).expect("operations that fit");
    set.apply(&change).expect("the next change");
    SignedChange::sign(&change, key).expect("within bounds")
}

enum Command {
    Publish(SignedChange),
    SetAnswering(bool),
}

/// The only control machine of a test. Its destination set is empty at first.
pub struct Control {
    pub set: DestinationSet,
    commands: Sender<Command>,
    _thread: JoinHandle<()>,
}

impl Control {
    /// Starts the machine on a socket, for relays at these addresses.
    pub fn start(socket: UdpSocket, relays: Vec<SocketAddr>, keys: Keys) -> Self {
        let (commands, received) = channel();
        let thread = std::thread::spawn(move || MachineThread::new(socket, relays, keys).run(&received));
        Control { set: DestinationSet::new(), commands, _thread: thread }
    }

    /// Publishes a change, signed by the control key.
    pub fn publish(&mut self, operations: Vec<Operation>) {
        self.publish_signed_by(operations, &control_key());
    }

    /// Publishes a change, signed by any key.
    pub fn publish_signed_by(&mut self, operations: Vec<Operation>, key: &SigningKey) {
        let signed = next_change(&mut self.set, operations, key);
        self.commands.send(Command::Publish(signed)).expect("the machine runs");
    }

    /// Sets whether the machine answers and sends anything.
    pub fn set_answering(&self, answering: bool) {
        self.commands.send(Command::SetAnswering(answering)).expect("the machine runs");
    }
}

struct MachineThread {
    socket: UdpSocket,
    relays: Vec<SocketAddr>,
    link: PeerLink,
    node: Node,
    answering: bool,
}

impl MachineThread {
    fn new(socket: UdpSocket, relays: Vec<SocketAddr>, keys: Keys) -> Self {
        let now = now();
        let me = relays.len() as Peer;
        let machine = |peer| Machine { peer, place: PLACE, role: Role::Relay };
        let mut machines: Vec<Machine> = (0..me).map(machine).collect();
        machines.push(Machine { peer: me, place: CONTROL_PLACE, role: Role::Control });
        let topology = Topology::new(&machines).expect("a topology").into();
        // The machine itself accepts changes signed by the foreign key. The relays have to reject them.
        let signers = [control_key(), foreign_key()].map(|key| key.verifying_key().to_bytes());
        let signers = ControlKeys::new(&signers).expect("keys");
        let link = link::Config {
            me,
            incarnation: incarnation(now),
            peers: (0..=me).collect(),
            keys,
            bytes_per_s: 100_000,
            pings_silent_peers: false,
        };
        let config = Config { serve_bytes_per_s: SERVE_BYTES_PER_S, ..Config::new(me, topology, signers, 1) };
        let node = Node::new(config, DestinationSet::new(), None, now);
        MachineThread { socket, relays, link: PeerLink::new(link, now), node, answering: true }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        self.socket.set_read_timeout(Some(TICK)).expect("a timeout");
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            match commands.try_recv() {
                Ok(Command::Publish(signed)) => self.node.publish(now(), signed).expect("the next change"),
                Ok(Command::SetAnswering(answering)) => self.answering = answering,
                Err(TryRecvError::Empty) => {}
                Err(TryRecvError::Disconnected) => return,
            }
            let received = self.socket.recv_from(&mut buffer);
            if !self.answering {
                continue;
            }
            self.node.confirm(now());
            if let Ok((length, _)) = received {
                // Invalid datagrams are ignored, as on any machine.
                let _ = self.link.receive(now(), &buffer[..length], &mut [&mut self.node]);
            }
            for out in self.link.poll(now(), &mut [&mut self.node]) {
                let _ = self.socket.send_to(&out.bytes, self.relays[usize::from(out.to)]);
            }
        }
    }
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros() as Micros
}
