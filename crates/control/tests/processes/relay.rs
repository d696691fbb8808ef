//! A relay of the fleet in a thread: its end of the link, and its part in the rollout.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use destinations::{ControlKeys, DestinationSet, SigningKey, Version};
use fleet::keys::{Key, Keys};
use fleet::link::{Config, PeerLink};
use rollout::Node;
use rollout::topology::{Machine, Place, Role, Topology};

use crate::cluster::{CLUSTER_KEY, Cluster, LINK_KEY, MACHINES, RELAY};

/// The version and the digest of the set, and how long ago control confirmed that nothing newer was committed.
type Held = (Version, String, Option<i64>);

/// What the relay holds.
pub struct Relay {
    held: Arc<Mutex<Held>>,
    stops: Arc<AtomicBool>,
}

impl Relay {
    /// Waits until it holds that version.
    pub fn wait_for(&self, version: Version, deadline: Instant) {
        while self.held().0 != version {
            assert!(Instant::now() < deadline, "the relay holds {:?}", self.held().0);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The digest of its set, in hexadecimal digits.
    pub fn digest(&self) -> String {
        self.held().1
    }

    /// Waits until control confirmed its version a second ago or less.
    pub fn wait_for_confirmation(&self, deadline: Instant) {
        while self.held().2.is_none_or(|age_us| age_us > 1_000_000) {
            assert!(Instant::now() < deadline, "the version is confirmed since {:?}", self.held().2);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn held(&self) -> Held {
        self.held.lock().expect("no thread panics with it").clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
    }
}

/// Starts a relay that knows the control machines of the cluster.
pub fn start(cluster: &Cluster) -> Relay {
    let relay = Relay { held: Arc::default(), stops: Arc::default() };
    let (held, stops) = (relay.held.clone(), relay.stops.clone());
    let controls: Vec<_> = (1..=MACHINES as u16).map(|machine| cluster.link(RELAY + machine)).collect();
    let socket = UdpSocket::bind(cluster.link(RELAY)).expect("an address of its own");
    std::thread::spawn(move || {
        let now = now_us();
        let (mut link, mut node) = (link(now), node(now));
        socket.set_read_timeout(Some(Duration::from_millis(5))).expect("a timeout");
        let mut datagram = [0; 2048];
        while !stops.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut datagram) {
                let _ = link.receive(now_us(), &datagram[..length], &mut [&mut node]);
            }
            for note in link.poll(now_us(), &mut [&mut node]) {
                let _ = socket.send_to(&note.bytes, controls[usize::from(note.to - RELAY - 1)]);
            }
            let status = node.status(now_us());
            let digest = hex::encode(status.digest.0);
            *held.lock().expect("no thread panics with it") = (status.version, digest, status.age);
        }
    });
    relay
}

fn link(now: i64) -> PeerLink {
    let config = Config {
        me: RELAY,
        incarnation: fleet::incarnation(now),
        peers: (1..=MACHINES as u16).map(|machine| RELAY + machine).collect(),
        keys: Keys(vec![Key { id: 1, bytes: LINK_KEY.to_vec() }]),
        bytes_per_s: 16 * 1024,
        pings_silent_peers: false,
    };
    PeerLink::new(config, now)
}

fn node(now: i64) -> Node {
    // One region, and a zone for each machine: the relay's is the first.
    let machine = |peer: u16| Machine {
        peer,
        place: Place { region: 0, zone: peer },
        role: if peer == RELAY { Role::Relay } else { Role::Control },
    };
    let machines: Vec<Machine> = (RELAY..=RELAY + MACHINES as u16).map(machine).collect();
    let topology = Arc::new(Topology::new(&machines).expect("a sound list"));
    let public = SigningKey::from_bytes(&CLUSTER_KEY).verifying_key().to_bytes();
    let keys = ControlKeys::new(&[public]).expect("a sound key");
    Node::new(rollout::Config::new(RELAY, topology, keys, 1), DestinationSet::new(), None, now)
}

fn now_us() -> i64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    i64::try_from(unix.as_micros()).expect("before the year 294,000")
}
