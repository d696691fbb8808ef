//! A small fleet in simulated time: real links and nodes, datagrams that are late, lost, doubled, reordered and cut. After
//! every step it checks what must always hold: each machine has a published version whole, never goes back, and never
//! serves more subscribers than it may.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use destinations::{
    Change, ControlKeys, DestinationId, DestinationSet, Digest, Endpoint, LogLimits, Operation, Phase,
    SignedChange, SigningKey, Version,
};
use fleet::keys::Keys;
use fleet::link::{self, Channel, PeerLink};
use rollout::MOST_SUBSCRIBERS;
use rollout::topology::{Machine, Place, Role, Topology};
use rollout::{Config, Micros, Node, Peer, SECOND};

pub const START: Micros = 1_790_000_000 * SECOND;

/// What befalls datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost: f64,
    pub doubled: f64,
    pub delay: (Micros, Micros),
}

impl Default for Network {
    fn default() -> Self {
        Network { lost: 0.01, doubled: 0.0, delay: (500, 20_000) }
    }
}

/// How the fleet is laid out.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub relays: u16,
    pub zones: u16,
    pub controls: u16,
    pub log: LogLimits,
    pub seed: u64,
}

impl Layout {
    pub fn new(seed: u64) -> Self {
        let log = LogLimits { changes: 1000, bytes: 1 << 20 };
        Layout { relays: 40, zones: 4, controls: 3, log, seed }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { from: Peer, to: Peer, bytes: Vec<u8> },
    Wake { peer: Peer },
    Publish { control: Peer, signed: Vec<u8> },
}

pub struct World {
    pub now: Micros,
    pub network: Network,
    pub topology: Arc<Topology>,
    pub author: DestinationSet,
    pub newest: Option<SignedChange>,
    layout: Layout,
    links: BTreeMap<Peer, (PeerLink, Node)>,
    wakes: BTreeMap<Peer, Micros>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    random: u64,
    /// Machines that go by other keys; what they hold themselves is not checked.
    taken_over: BTreeSet<Peer>,
    /// Datagrams from the first to the second are lost.
    cuts: BTreeSet<(Peer, Peer)>,
    published: BTreeMap<Version, Digest>,
    seen: BTreeMap<Peer, Version>,
    pub in_force: BTreeMap<(Peer, Version), Micros>,
    pub committed: BTreeMap<Version, Micros>,
    pub sent: BTreeMap<Peer, u64>,
    /// Requests for parts of a snapshot that a machine could not serve.
    pub unavailable: BTreeMap<Peer, u64>,
    pub most_subscribers: usize,
}

pub fn control_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

pub fn control_keys() -> ControlKeys {
    ControlKeys::new(&[control_key().verifying_key().to_bytes()]).expect("a usable key")
}

pub fn put(destination: i64, port: u16) -> Operation {
    let endpoint = Endpoint {
        id: format!("endpoint-{destination}"),
        address: ([10, 0, 0, 1], port).into(),
        kind: "http".into(),
        zone: "zone-1".into(),
        phase: Phase::Ready,
        rate_per_s: 50.0,
    };
    Operation::PutEndpoint { destination: DestinationId(destination), endpoint }
}

impl World {
    pub fn new(layout: Layout) -> Self {
        let place = |zone: u16| Place { region: (zone % layout.controls) as u8, zone };
        let relay = |peer| Machine { peer, place: place(peer % layout.zones), role: Role::Relay };
        let control =
            |index| Machine { peer: layout.relays + index, place: place(index), role: Role::Control };
        let machines: Vec<Machine> =
            (0..layout.relays).map(relay).chain((0..layout.controls).map(control)).collect();
        let topology = Arc::new(Topology::new(&machines).expect("a sound list"));
        let empty = DestinationSet::new();
        let published = BTreeMap::from([(empty.version(), empty.digest())]);
        let mut world = World {
            now: START,
            network: Network::default(),
            topology,
            author: empty,
            newest: None,
            layout,
            links: BTreeMap::new(),
            wakes: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: layout.seed,
            taken_over: BTreeSet::new(),
            cuts: BTreeSet::new(),
            published,
            seen: BTreeMap::new(),
            in_force: BTreeMap::new(),
            committed: BTreeMap::new(),
            sent: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            most_subscribers: 0,
        };
        world.all().into_iter().for_each(|peer| world.start(peer));
        world
    }

    pub fn all(&self) -> Vec<Peer> {
        (0..self.layout.relays + self.layout.controls).collect()
    }

    pub fn relays(&self) -> Vec<Peer> {
        (0..self.layout.relays).collect()
    }

    pub fn controls(&self) -> Vec<Peer> {
        (self.layout.relays..self.layout.relays + self.layout.controls).collect()
    }

    pub fn zone(&self, zone: u16) -> Vec<Peer> {
        let machines = self.topology.machines().filter(|machine| machine.role == Role::Relay);
        machines.filter(|machine| machine.place.zone == zone).map(|machine| machine.peer).collect()
    }

    pub fn representatives(&self) -> Vec<Peer> {
        self.relays().into_iter().filter(|peer| self.topology.is_representative(*peer)).collect()
    }

    /// Starts a machine with nothing in hand, also one that ran before.
    pub fn start(&mut self, peer: Peer) {
        self.start_with(peer, DestinationSet::new(), None);
    }

    pub fn start_with(&mut self, peer: Peer, set: DestinationSet, newest: Option<SignedChange>) {
        self.start_node(peer, control_keys(), set, newest);
    }

    /// Starts a machine with nothing in hand that goes by other keys, and so forwards and serves what they signed.
    pub fn start_taken_over(&mut self, peer: Peer, keys: ControlKeys) {
        self.taken_over.insert(peer);
        self.start_node(peer, keys, DestinationSet::new(), None);
    }

    fn start_node(
        &mut self, peer: Peer, keys: ControlKeys, set: DestinationSet, newest: Option<SignedChange>,
    ) {
        let config = link::Config {
            me: peer,
            incarnation: fleet::incarnation(self.now),
            peers: self.all(),
            // The MAC of the link is tested there; without it these runs take half the time.
            keys: Keys::default(),
            bytes_per_s: 4000,
            pings_silent_peers: false,
        };
        let link = PeerLink::new(config, self.now);
        let config = Config {
            log: self.layout.log,
            ..Config::new(peer, Arc::clone(&self.topology), keys, self.layout.seed)
        };
        self.seen.insert(peer, set.version());
        self.links.insert(peer, (link, Node::new(config, set, newest, self.now)));
        self.wakes.remove(&peer);
        self.poll(peer);
    }

    pub fn stop(&mut self, peer: Peer) {
        self.links.remove(&peer);
    }

    pub fn is_up(&self, peer: Peer) -> bool {
        self.links.contains_key(&peer)
    }

    pub fn node(&self, peer: Peer) -> &Node {
        &self.links[&peer].1
    }

    pub fn node_mut(&mut self, peer: Peer) -> &mut Node {
        &mut self.links.get_mut(&peer).expect("it runs").1
    }

    pub fn version(&self, peer: Peer) -> Version {
        self.node(peer).set().version()
    }

    /// Cuts all datagrams from one group to another, and only in this direction.
    pub fn cut(&mut self, from: &[Peer], to: &[Peer]) {
        self.cuts.extend(from.iter().flat_map(|from| to.iter().map(|to| (*from, *to))));
    }

    /// Cuts a group off from all others.
    pub fn isolate(&mut self, group: &[Peer]) {
        let others: Vec<Peer> = self.all().into_iter().filter(|peer| !group.contains(peer)).collect();
        self.cut(group, &others);
        self.cut(&others, group);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Commits a change; each control machine publishes it a little later.
    pub fn change(&mut self, operations: Vec<Operation>) -> Version {
        let change = self.author.prepare(operations).expect("it fits");
        self.commit(change)
    }

    pub fn commit(&mut self, change: Change) -> Version {
        self.author.apply(&change).expect("it was prepared for this set");
        let signed = SignedChange::sign(&change, &control_key()).expect("within bounds");
        self.published.insert(change.version, change.digest);
        self.committed.insert(change.version, self.now);
        self.newest = Some(signed.clone());
        for control in self.controls() {
            let at = self.now + 1000 + self.below(20) as Micros * 1000;
            self.push(at, Event::Publish { control, signed: signed.encode() });
        }
        change.version
    }

    /// A datagram that a machine of the fleet really could send, with messages of the test's own.
    pub fn inject(&mut self, from: Peer, to: Peer, messages: &[rollout::message::Message]) {
        struct Once(Vec<link::OutgoingFrame>);
        impl Channel for Once {
            fn id(&self) -> u8 {
                rollout::message::CHANNEL
            }
            fn receive_frame(
                &mut self, _: Micros, _: &link::Sender, _: &fleet::members::Members, _: &[u8],
            ) -> bool {
                true
            }
            fn poll_frames(
                &mut self, _: Micros, _: &fleet::members::Members, _: usize, _: usize,
            ) -> Vec<link::OutgoingFrame> {
                std::mem::take(&mut self.0)
            }
            fn next_at(&self, now: Micros) -> Micros {
                now
            }
        }
        let said =
            messages.iter().map(|message| link::OutgoingFrame { to, bytes: message.encode() }).collect();
        let (link, _) = self.links.get_mut(&from).expect("it runs");
        for out in link.poll(self.now, &mut [&mut Once(said)]) {
            self.push(self.now + 1, Event::Datagram { from, to: out.to, bytes: out.bytes });
        }
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.step(event);
        }
        self.now = end;
    }

    /// Runs until all of these have a version in force; how long that took, if it did within `span`.
    pub fn until(&mut self, peers: &[Peer], version: Version, span: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now - began < span {
            if peers.iter().all(|peer| self.is_up(*peer) && self.version(*peer) >= version) {
                return Some(self.now - began);
            }
            self.run(SECOND / 20);
        }
        None
    }

    pub fn random(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random() % bound
    }

    fn chance(&mut self, share: f64) -> bool {
        (self.random() as f64) < share * f64::from(1u32 << 31)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { from, to, bytes } => {
                if self.cuts.contains(&(from, to)) {
                    return;
                }
                let Some((link, node)) = self.links.get_mut(&to) else { return };
                // What came before is ignored by the link, and counted there.
                let _ = link.receive(now, &bytes, &mut [node]);
                self.check(to);
                self.poll(to);
            }
            Event::Wake { peer } => {
                if self.wakes.get(&peer) == Some(&now) {
                    self.wakes.remove(&peer);
                    self.poll(peer);
                }
            }
            Event::Publish { control, signed } => {
                let signed = SignedChange::decode(&signed).expect("it was encoded");
                let Some((_, node)) = self.links.get_mut(&control) else { return };
                match node.publish(now, signed.clone()) {
                    Ok(()) => node.confirm(now),
                    // A later one overtook it; the cluster would hand them over in their order.
                    Err(why) if why.kind() == rollout::Kind::OutOfOrder => {
                        self.push(now + 1000, Event::Publish { control, signed: signed.encode() });
                    }
                    Err(why) if why.kind() == rollout::Kind::Doubled => {}
                    // A machine that goes by other keys.
                    Err(why) if why.kind() == rollout::Kind::Forged => {}
                    Err(why) => panic!("control {control}: {why}"),
                }
                self.check(control);
                self.poll(control);
            }
        }
    }

    fn poll(&mut self, peer: Peer) {
        let now = self.now;
        let Some((link, node)) = self.links.get_mut(&peer) else { return };
        if self.topology.machine(peer).is_some_and(|machine| machine.role == Role::Control) {
            node.confirm(now);
        }
        let out = link.poll(now, &mut [node]);
        let next = link.next_at(now, &[node]).max(now + 1);
        self.most_subscribers = self.most_subscribers.max(node.status(now).subscribers.len());
        for datagram in out {
            *self.sent.entry(peer).or_default() += datagram.bytes.len() as u64;
            *self.unavailable.entry(peer).or_default() += unavailable(&datagram.bytes);
            self.transmit(peer, datagram.to, datagram.bytes);
        }
        if self.wakes.get(&peer).is_none_or(|at| *at > next || *at <= now) {
            self.wakes.insert(peer, next);
            self.push(next, Event::Wake { peer });
        }
    }

    fn transmit(&mut self, from: Peer, to: Peer, bytes: Vec<u8>) {
        assert!(bytes.len() <= 256);
        let copies = 1 + usize::from(self.chance(self.network.doubled));
        for _ in 0..copies {
            if self.chance(self.network.lost) {
                continue;
            }
            let (least, most) = self.network.delay;
            let delay = least + self.below((most - least + 1) as u64) as Micros;
            self.push(self.now + delay, Event::Datagram { from, to, bytes: bytes.clone() });
        }
    }

    /// What must always hold on a machine.
    fn check(&mut self, peer: Peer) {
        let now = self.now;
        let Some((_, node)) = self.links.get_mut(&peer) else { return };
        let (version, digest) = (node.set().version(), node.set().digest());
        node.take_applied();
        if self.taken_over.contains(&peer) {
            return;
        }
        let published = self.published.get(&version);
        assert_eq!(published, Some(&digest), "machine {peer} holds a set at {version} that nobody published");
        let before = self.seen.insert(peer, version).unwrap_or_default();
        assert!(version >= before, "machine {peer} went back from {before} to {version}");
        if version > before {
            self.in_force.entry((peer, version)).or_insert(now);
        }
        let subscribers = node.status(now).subscribers.len();
        assert!(subscribers <= MOST_SUBSCRIBERS, "machine {peer} has {subscribers} subscribers");
    }
}

/// Messages of a datagram by which a machine says that it does not have a part of a snapshot.
fn unavailable(datagram: &[u8]) -> u64 {
    let (_, frames) = fleet::datagram::open(&Keys::default(), datagram).expect("it was sealed just now");
    let frames = frames.into_iter().filter(|(channel, _)| *channel == rollout::message::CHANNEL);
    let messages = frames.flat_map(|(_, bytes)| rollout::message::decode(bytes).0);
    messages.filter(|message| matches!(message, rollout::message::Message::PartUnavailable { .. })).count()
        as u64
}
