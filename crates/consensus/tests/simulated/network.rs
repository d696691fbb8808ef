//! A simulated network of control machines with disks: one seed, one trace. It checks at every committed entry what
//! Raft promises: one leader in a term, and one entry at an index, in order and once.

use std::collections::{BTreeMap, BTreeSet};

use consensus::{Config, Consensus, Entry, Micros, NodeId, Persisted, ProposeError, Ready, Record};

/// One millisecond.
pub const MS: Micros = 1000;
/// One second.
pub const SECOND: Micros = 1000 * MS;
/// The length of a tick.
pub const TICK: Micros = 50 * MS;
/// Ticks of the shortest election timeout.
pub const ELECTION_TICKS: usize = 20;
/// The length of the shortest election timeout.
pub const ELECTION: Micros = TICK * ELECTION_TICKS as Micros;
/// Machines of the cluster.
pub const MACHINES: u64 = 6;

/// The configuration of a machine.
pub fn config(id: u64, seed: u64) -> Config {
    Config {
        id: NodeId(id),
        voters: (1..=MACHINES).map(NodeId).collect(),
        tick_us: TICK,
        election_ticks: ELECTION_TICKS,
        heartbeat_ticks: 4,
        seed,
    }
}

/// A seeded generator (SplitMix64).
pub struct Rng(pub u64);

impl Rng {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0)
    }

    /// A number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

/// The application: the index it is at, and a hash of all entries up to there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub index: u64,
    pub hash: u64,
}

impl State {
    fn apply(&mut self, entry: &Entry) {
        self.index = entry.index;
        let numbers = [entry.index, entry.term];
        let values = numbers.into_iter().chain(entry.data.iter().map(|byte| u64::from(*byte)));
        self.hash = values.fold(self.hash, |hash, value| mix(hash.wrapping_mul(31).wrapping_add(value + 1)));
    }

    /// The state as the data of a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        [self.index.to_le_bytes(), self.hash.to_le_bytes()].concat()
    }

    fn decode(data: &[u8]) -> Self {
        let number = |at: usize| u64::from_le_bytes(data[at..at + 8].try_into().expect("eight bytes"));
        State { index: number(0), hash: number(8) }
    }
}

/// One machine.
pub struct Machine {
    /// `None` while it is dead.
    pub consensus: Option<Consensus>,
    /// What it wrote.
    pub disk: Vec<Record>,
    /// Its application.
    pub state: State,
    /// It dies right after it wrote so many records.
    pub dies_after: Option<usize>,
    /// It does not run until then.
    pub frozen_until: Micros,
}

struct Message {
    from: u64,
    to: u64,
    bytes: Vec<u8>,
}

/// The machines and what is under way between them.
pub struct Network {
    pub now: Micros,
    pub machines: BTreeMap<u64, Machine>,
    /// Messages lost, of a thousand.
    pub loss: u64,
    /// The longest time under way; the shortest is a millisecond.
    pub max_delay: Micros,
    /// Links that are cut, both ways.
    pub cut: BTreeSet<(u64, u64)>,
    /// All entries that any machine applied.
    pub chosen: BTreeMap<u64, Entry>,
    /// A hash of all that happened.
    pub trace: u64,
    states: BTreeMap<u64, u64>,
    /// When each index was first applied anywhere; both grow.
    chosen_at: Vec<(Micros, u64)>,
    leaders: BTreeMap<u64, u64>,
    under_way: BTreeMap<(Micros, u64), Message>,
    serial: u64,
    seed: u64,
    rng: Rng,
}

impl Network {
    /// Six machines with empty disks.
    pub fn new(seed: u64) -> Self {
        let mut network = Network {
            now: 0,
            machines: BTreeMap::new(),
            loss: 0,
            max_delay: 40 * MS,
            cut: BTreeSet::new(),
            chosen: BTreeMap::new(),
            trace: 0,
            states: BTreeMap::new(),
            chosen_at: Vec::new(),
            leaders: BTreeMap::new(),
            under_way: BTreeMap::new(),
            serial: 0,
            seed,
            rng: Rng(seed),
        };
        for id in 1..=MACHINES {
            let machine = Machine {
                consensus: None,
                disk: Vec::new(),
                state: State::default(),
                dies_after: None,
                frozen_until: 0,
            };
            network.machines.insert(id, machine);
            network.start(id);
        }
        network
    }

    /// Starts a dead machine from its disk.
    pub fn start(&mut self, id: u64) {
        let machine = self.machines.get_mut(&id).expect("a machine");
        let persisted = Persisted::from_records(machine.disk.iter().cloned()).expect("records in order");
        machine.consensus = Some(Consensus::new(config(id, self.seed), persisted).expect("a sound state"));
        machine.state = State::default();
    }

    /// Kills a machine; only its disk stays.
    pub fn kill(&mut self, id: u64) {
        self.machines.get_mut(&id).expect("a machine").consensus = None;
    }

    /// Cuts a machine off from all others, or puts it back.
    pub fn set_alone(&mut self, id: u64, alone: bool) {
        for other in (1..=MACHINES).filter(|other| *other != id) {
            let link = (id.min(other), id.max(other));
            if alone {
                self.cut.insert(link)
            } else {
                self.cut.remove(&link)
            };
        }
    }

    /// The machines that run.
    pub fn living(&self) -> Vec<u64> {
        self.machines.iter().filter(|(_, machine)| machine.consensus.is_some()).map(|(id, _)| *id).collect()
    }

    /// The consensus of a living machine.
    pub fn node(&mut self, id: u64) -> &mut Consensus {
        self.machines.get_mut(&id).and_then(|machine| machine.consensus.as_mut()).expect("a living machine")
    }

    /// The leader of the highest term among those that run.
    pub fn leader(&self) -> Option<u64> {
        let running =
            self.machines.iter().filter_map(|(id, machine)| Some((*id, machine.consensus.as_ref()?)));
        let leaders = running.filter(|(_, node)| node.is_leader());
        leaders.max_by_key(|(_, node)| node.term()).map(|(id, _)| id)
    }

    /// Lets the time pass.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Lets the time pass until something holds; fails if it does not within `span`.
    pub fn run_until(&mut self, span: Micros, what: &str, holds: impl Fn(&Network) -> bool) {
        let end = self.now + span;
        while !holds(self) {
            assert!(self.step(end), "not within {} ms: {what}", span / MS);
        }
    }

    /// Waits for a leader.
    pub fn elect(&mut self) -> u64 {
        self.run_until(10 * ELECTION, "a leader", |network| network.leader().is_some());
        self.leader().expect("a leader")
    }

    /// Proposes at the leader, if there is one that takes it.
    pub fn propose(&mut self, data: &[u8]) -> Result<(), ProposeError> {
        let Some(leader) = self.leader() else { return Err(ProposeError::NotLeader { leader: None }) };
        let now = self.now;
        self.node(leader).propose(now, data.to_vec())
    }

    /// Proposes, and again, until it is applied on every living machine.
    pub fn commit(&mut self, data: &[u8]) {
        let end = self.now + 60 * SECOND;
        while !self.is_chosen(data) {
            assert!(self.now < end, "a proposal does not come through");
            let _ = self.propose(data);
            self.run_for(ELECTION / 2);
        }
        self.settle();
    }

    /// Whether an entry with that data was applied anywhere.
    pub fn is_chosen(&self, data: &[u8]) -> bool {
        self.chosen.values().any(|entry| entry.data == data)
    }

    /// Waits until all living machines are at the same entry, the last one.
    pub fn settle(&mut self) {
        self.run_until(60 * SECOND, "all machines at the last entry", |network| {
            let last = network.chosen.keys().next_back().copied().unwrap_or(0);
            network.living().iter().all(|id| network.machines[id].state.index == last)
        });
    }

    /// Delivers a message or polls a machine, whichever comes first; false if nothing does before `end`.
    fn step(&mut self, end: Micros) -> bool {
        let delivery = self.under_way.keys().next().map(|(at, _)| *at);
        let now = self.now;
        let polls = self.machines.iter().filter_map(|(id, machine)| {
            let at = machine.consensus.as_ref()?.next_at(now).max(machine.frozen_until);
            Some((at, *id))
        });
        let poll = polls.min();
        match (delivery, poll) {
            (Some(at), _) if at <= end && poll.is_none_or(|(poll, _)| at <= poll) => {
                self.now = self.now.max(at);
                self.deliver();
            }
            (_, Some((at, id))) if at <= end => {
                self.now = self.now.max(at);
                self.poll(id);
            }
            _ => return false,
        }
        true
    }

    fn deliver(&mut self) {
        let Some(((_, serial), message)) = self.under_way.pop_first() else { return };
        let link = (message.from.min(message.to), message.from.max(message.to));
        let machine = self.machines.get_mut(&message.to).expect("a machine");
        if machine.frozen_until > self.now {
            self.under_way.insert((machine.frozen_until, serial), message);
            return;
        }
        let Some(consensus) = machine.consensus.as_mut().filter(|_| !self.cut.contains(&link)) else {
            return;
        };
        consensus.receive(self.now, NodeId(message.from), &message.bytes).expect("a sound message");
        self.note(&[self.now as u64, message.from, message.to, message.bytes.len() as u64]);
    }

    fn poll(&mut self, id: u64) {
        let now = self.now;
        let ready = self.node(id).poll(now);
        self.note(&[now as u64, id, ready.persist.len() as u64, ready.messages.len() as u64]);
        if let Some(ready) = self.write(id, ready) {
            for (to, bytes) in ready.messages {
                self.send(id, to.0, bytes);
            }
            if let Some(snapshot) = ready.restore {
                self.restore(id, State::decode(&snapshot.data), snapshot.index);
            }
            for entry in &ready.committed {
                self.apply(id, entry);
            }
            self.check_leader(id);
            self.check_confirmed(id);
        }
    }

    /// Writes the records; `None` if the machine died on the way.
    fn write(&mut self, id: u64, ready: Ready) -> Option<Ready> {
        let machine = self.machines.get_mut(&id).expect("a machine");
        for record in &ready.persist {
            machine.disk.push(record.clone());
            if machine.dies_after == Some(machine.disk.len()) {
                (machine.consensus, machine.dies_after) = (None, None);
                return None;
            }
        }
        Some(ready)
    }

    fn send(&mut self, from: u64, to: u64, bytes: Vec<u8>) {
        let delay = MS + self.rng.below((self.max_delay - MS).max(1) as u64) as Micros;
        if self.rng.below(1000) < self.loss {
            return;
        }
        self.serial += 1;
        self.under_way.insert((self.now + delay, self.serial), Message { from, to, bytes });
    }

    fn restore(&mut self, id: u64, state: State, index: u64) {
        assert_eq!(state.index, index, "a snapshot is of the entry it names");
        let machine = self.machines.get_mut(&id).expect("a machine");
        assert!(state.index > machine.state.index, "a snapshot never takes the application back");
        machine.state = state;
        assert_eq!(self.states.get(&index), Some(&state.hash), "a snapshot of what was applied");
    }

    fn apply(&mut self, id: u64, entry: &Entry) {
        let machine = self.machines.get_mut(&id).expect("a machine");
        assert!(entry.index > machine.state.index, "machine {id} applies {} late or twice", entry.index);
        machine.state.apply(entry);
        let hash = machine.state.hash;
        if !self.chosen.contains_key(&entry.index) {
            self.chosen_at.push((self.now, entry.index));
        }
        let chosen = self.chosen.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(chosen, entry, "machine {id} applies another entry");
        let first = *self.states.entry(entry.index).or_insert(hash);
        assert_eq!(first, hash, "machine {id} skipped an entry before {}", entry.index);
        self.note(&[id, entry.index, hash]);
    }

    fn check_leader(&mut self, id: u64) {
        let node = self.node(id);
        if node.is_leader() {
            let term = node.term();
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
    }

    /// What was applied anywhere before the moment that a machine confirms, it has, too.
    fn check_confirmed(&mut self, id: u64) {
        let Some(confirmed) = self.node(id).confirmed_us() else { return };
        let before = self.chosen_at.iter().rev().find(|(at, _)| *at < confirmed);
        let applied = self.machines[&id].state.index;
        assert!(before.is_none_or(|(_, index)| *index <= applied), "machine {id} confirms what it lacks");
    }

    fn note(&mut self, values: &[u64]) {
        for value in values {
            self.trace = mix(self.trace.wrapping_mul(31).wrapping_add(*value));
        }
    }
}
