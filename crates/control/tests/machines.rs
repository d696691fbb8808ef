//! Six control machines whose messages arrive at once: proposals become the same changes on all of them.

use std::collections::BTreeMap;

use consensus::{Config, Micros, NodeId, Persisted, ProposeError, Record};
use control::{
    Command, Compaction, Machine, Outcome, Proposal, ProposalId, Refusal, Submission, SubmitError,
};
use destinations::{
    ControlKeys, DestinationId, DestinationSet, Endpoint, Operation, Phase, SignedChange, SigningKey,
};

const MACHINES: u64 = 6;
const TICK: Micros = 50_000;
const COMPACTION: Compaction = Compaction { every: 50, kept: 20 };

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn machine(id: u64, disk: &[Record]) -> Machine {
    let config = Config {
        id: NodeId(id),
        voters: (1..=MACHINES).map(NodeId).collect(),
        tick_us: TICK,
        election_ticks: 20,
        heartbeat_ticks: 4,
        seed: 1,
    };
    let persisted = Persisted::from_records(disk.iter().cloned()).expect("records in order");
    Machine::new(config, persisted, key(), COMPACTION).expect("a sound state")
}

/// What one machine tells its relays, and a relay that hears it.
struct Site {
    machine: Option<Machine>,
    disk: Vec<Record>,
    relay: DestinationSet,
    outcomes: BTreeMap<ProposalId, Outcome>,
}

struct World {
    now: Micros,
    sites: BTreeMap<u64, Site>,
    keys: ControlKeys,
    proposed: u128,
}

impl World {
    fn new() -> Self {
        let site = |id| Site {
            machine: Some(machine(id, &[])),
            disk: Vec::new(),
            relay: DestinationSet::new(),
            outcomes: BTreeMap::new(),
        };
        World {
            now: 0,
            sites: (1..=MACHINES).map(|id| (id, site(id))).collect(),
            keys: ControlKeys::new(&[key().verifying_key().to_bytes()]).expect("a sound key"),
            proposed: 0,
        }
    }

    fn machine(&mut self, id: u64) -> &mut Machine {
        self.sites.get_mut(&id).and_then(|site| site.machine.as_mut()).expect("a living machine")
    }

    fn kill(&mut self, id: u64) {
        self.sites.get_mut(&id).expect("a site").machine = None;
    }

    /// Starts a machine from its disk; its relay starts from nothing, too.
    fn start(&mut self, id: u64) {
        let site = self.sites.get_mut(&id).expect("a site");
        site.machine = Some(machine(id, &site.disk));
        site.relay = DestinationSet::new();
    }

    fn run_for(&mut self, ticks: i64) {
        for _ in 0..ticks {
            self.now += TICK;
            while (1..=MACHINES).any(|id| self.poll(id)) {}
        }
    }

    /// Polls one machine if it has something to do, and hands on what it says.
    fn poll(&mut self, id: u64) -> bool {
        let now = self.now;
        let site = self.sites.get_mut(&id).expect("a site");
        let Some(machine) = site.machine.as_mut().filter(|machine| machine.next_at(now) <= now) else {
            return false;
        };
        let work = machine.poll(now).expect("sound snapshots");
        site.disk.extend(work.persist);
        if let Some(restored) = work.restored {
            site.relay = restored.set;
        }
        for signed in &work.published {
            publish(&mut site.relay, signed, &self.keys);
        }
        site.outcomes.extend(work.outcomes);
        for (to, bytes) in work.messages {
            let receiver = self.sites.get_mut(&to.0).and_then(|site| site.machine.as_mut());
            if let Some(receiver) = receiver {
                receiver.receive(now, NodeId(id), &bytes).expect("a sound message");
            }
        }
        true
    }

    fn leader(&mut self) -> u64 {
        for _ in 0..200 {
            let leads = |site: &Site| site.machine.as_ref().is_some_and(|one| one.consensus().is_leader());
            if let Some((id, _)) = self.sites.iter().find(|(_, site)| leads(site)) {
                return *id;
            }
            self.run_for(1);
        }
        panic!("no leader");
    }

    fn submit(&mut self, command: Command) -> ProposalId {
        self.proposed += 1;
        let id = ProposalId(self.proposed.to_be_bytes());
        let (leader, now) = (self.leader(), self.now);
        let submitted = self.machine(leader).submit(now, &Proposal { id, command });
        assert_eq!(submitted, Ok(Submission::UnderWay));
        id
    }

    fn assert_all_equal(&self) {
        let mut states = self.sites.iter().filter_map(|(id, site)| Some((id, site, site.machine.as_ref()?)));
        let (_, _, first) = states.next().expect("a living machine");
        for (id, site, machine) in states {
            assert_eq!(machine.state().encode(), first.state().encode(), "machine {id}");
            assert_eq!(site.relay.version(), first.state().version(), "relay of machine {id}");
            assert_eq!(site.relay.digest(), first.state().digest(), "relay of machine {id}");
        }
    }
}

fn publish(relay: &mut DestinationSet, signed: &SignedChange, keys: &ControlKeys) {
    let change = signed.verify(keys).expect("signed by the cluster");
    relay.apply(&change).expect("the next change");
}

fn put(destination: i64, port: u16) -> Command {
    let endpoint = Endpoint {
        id: "one".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        kind: "http".to_owned(),
        zone: "a1".to_owned(),
        phase: Phase::Ready,
        rate_per_s: 10.0,
    };
    Command::Publish(vec![Operation::PutEndpoint { destination: DestinationId(destination), endpoint }])
}

#[test]
fn all_machines_publish_the_same_changes_and_hear_the_same_refusals() {
    let mut world = World::new();
    for port in 1..=20 {
        world.submit(put(i64::from(port) % 5, port));
    }
    let unknown = Operation::RemoveDestination { destination: DestinationId(77) };
    let refused = world.submit(Command::Publish(vec![unknown]));
    world.run_for(20);
    world.assert_all_equal();
    let why = Refusal::DoesNotApply("destination 77 is not in the set".to_owned());
    for site in world.sites.values() {
        assert_eq!(site.relay.version().number, 20);
        assert_eq!(site.outcomes[&refused], Outcome::Refused(why.clone()));
    }
}

#[test]
fn a_proposal_goes_to_the_leader_and_is_known_by_its_name_afterwards() {
    let mut world = World::new();
    let id = world.submit(put(1, 80));
    world.run_for(20);
    let (leader, now) = (world.leader(), world.now);
    let again = Proposal { id, command: put(1, 80) };
    let follower = leader % MACHINES + 1;
    let known = Submission::Known(world.sites[&follower].outcomes[&id].clone());
    assert_eq!(world.machine(follower).submit(now, &again), Ok(known));
    let fresh = Proposal { id: ProposalId([9; 16]), command: put(1, 81) };
    let not_leader = ProposeError::NotLeader { leader: Some(NodeId(leader)) };
    assert_eq!(world.machine(follower).submit(now, &fresh), Err(SubmitError::Consensus(not_leader)));
}

#[test]
fn a_new_leader_numbers_on_where_the_dead_one_stopped() {
    let mut world = World::new();
    world.submit(put(1, 80));
    world.run_for(20);
    let dead = world.leader();
    world.kill(dead);
    world.submit(put(2, 80));
    world.run_for(20);
    world.start(dead);
    world.run_for(40);
    world.assert_all_equal();
    assert_eq!(world.sites[&dead].relay.version().number, 2);
}

#[test]
fn one_that_was_down_for_long_starts_from_a_snapshot_of_another() {
    let mut world = World::new();
    world.submit(put(1, 80));
    world.run_for(20);
    let down = world.leader() % MACHINES + 1;
    world.kill(down);
    for number in 0..2 * COMPACTION.every + 20 {
        world.submit(put(number as i64 % 300, number as u16));
        world.run_for(1);
    }
    world.start(down);
    world.run_for(100);
    world.assert_all_equal();
    let leader = world.leader();
    assert!(world.machine(leader).consensus().counts().snapshots_sent > 0);
    let records = world.machine(down).consensus().persisted();
    assert!(records.snapshot().index >= COMPACTION.every, "it came by a snapshot");
    let held = records.entry_count() as u64;
    assert!(held <= COMPACTION.every + COMPACTION.kept + 1, "{held} entries are kept");
    // All restart at once, from snapshots and the entries after them.
    for id in 1..=MACHINES {
        world.kill(id);
    }
    for id in 1..=MACHINES {
        world.start(id);
    }
    world.submit(put(400, 80));
    world.run_for(40);
    world.assert_all_equal();
}
