//! The loop of the process: it hands the machine what comes and the time, and does what the machine says, in its order.

use std::collections::BTreeMap;

use consensus::{Micros, NodeId};
use destinations::{ControlKeys, DestinationSet, KeyError, SignedChange};
use fleet::Peer;
use fleet::datagram::{self, DatagramError};
use fleet::link::{self, Channel, PeerLink};
use rollout::{Disagreement, Node};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use transient::{Retries, until_works};

use crate::machine::{Compaction, Machine, MachineError, Submission, SubmitError};
use crate::outcome::Outcome;
use crate::proposal::{Command, Proposal, ProposalId};
use crate::shell::admin::{self, Asked, Reply, Request, Status};
use crate::shell::clock::Clock;
use crate::shell::config::Config;
use crate::shell::consensus_link::{self, Incoming, Sender};
use crate::shell::disk::{DiskError, LogFile};
use crate::shell::frame::FrameKey;

/// Messages of other control machines that wait to be handled.
const MAX_INCOMING: usize = 1024;
/// Requests of operators that wait to be handled, and those whose outcome is awaited.
const MAX_REQUESTS: usize = 1024;
/// Messages that are handled before the machine is polled.
const MAX_BATCH: usize = 64;
/// Bytes a second that channels of the link with a budget may send; the rollout keeps within limits of its own.
const LINK_BYTES_PER_S: u32 = 16 * 1024;
/// The longest datagram that is looked at; the link refuses longer notes than its own bound.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Why the process cannot start or go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The machine cannot start or go on.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The key of the cluster is not usable.
    #[error("the key of the cluster is not usable: {0}")]
    Key(#[from] KeyError),
    /// A socket cannot be opened.
    #[error("{0}: {1}")]
    Socket(std::net::SocketAddr, std::io::Error),
    /// A signal cannot be waited for.
    #[error("signals cannot be waited for: {0}")]
    Signal(std::io::Error),
}

/// The process.
struct Daemon {
    config: Config,
    clock: Clock,
    disk: LogFile,
    machine: Machine,
    keys: ControlKeys,
    link: PeerLink,
    rollout: Node,
    notes: UdpSocket,
    frame_key: FrameKey,
    /// What sends to each other control machine.
    senders: BTreeMap<NodeId, Sender>,
    /// Who waits for the outcome of a proposal.
    waiting: BTreeMap<ProposalId, Vec<oneshot::Sender<Reply>>>,
    /// Proposals that were given a name here.
    named: u32,
    /// Notes by the number of a sender that is not another machine of the list.
    strangers: BTreeMap<Peer, u64>,
}

/// Runs a control machine until it is told to stop.
///
/// # Errors
/// It cannot start, or its disk cannot be written.
pub async fn run(config: Config) -> Result<(), DaemonError> {
    let (incoming_sender, mut incoming) = mpsc::channel(MAX_INCOMING);
    let (request_sender, mut requests) = mpsc::channel(MAX_REQUESTS);
    let mut stop = stop_signal()?;
    let started = async {
        let consensus = bind(config.me.consensus).await?;
        let admin = bind(config.me.admin).await?;
        Ok::<_, DaemonError>((consensus, admin, Daemon::start(config).await?))
    };
    let (consensus, admin, mut daemon) = tokio::select! {
        started = started => started?,
        _ = stop.recv() => return Ok(()),
    };
    let (key, me) = (daemon.frame_key.clone(), daemon.config.consensus.id);
    tokio::spawn(consensus_link::listen(consensus, key, me, incoming_sender));
    tokio::spawn(admin::listen(admin, request_sender));
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            driven = daemon.drive() => driven?,
            // Also while the disk fails.
            _ = stop.recv() => return Ok(()),
        }
        tokio::select! {
            message = incoming.recv() => {
                message.into_iter().for_each(|message| daemon.receive(message));
                for _ in 1..MAX_BATCH {
                    incoming.try_recv().into_iter().for_each(|message| daemon.receive(message));
                }
            }
            received = daemon.notes.recv_from(&mut datagram) => {
                if let Ok((length, _)) = received {
                    daemon.hear(datagram.get(..length).unwrap_or_default());
                }
            }
            asked = requests.recv() => asked.into_iter().for_each(|asked| daemon.answer(asked)),
            () = sleep_until(daemon.clock.instant(daemon.next_at())) => {}
            _ = stop.recv() => return Ok(()),
        }
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    until_works("listen", async || TcpListener::bind(address).await)
        .await
        .map_err(|error| DaemonError::Socket(address, error))
}

fn stop_signal() -> Result<tokio::signal::unix::Signal, DaemonError> {
    use tokio::signal::unix::{SignalKind, signal};
    signal(SignalKind::terminate()).map_err(DaemonError::Signal)
}

impl Daemon {
    async fn start(config: Config) -> Result<Self, DaemonError> {
        let clock = Clock::start();
        let now = clock.now_us();
        let keys = ControlKeys::new(&[config.cluster_key.verifying_key().to_bytes()])?;
        let (disk, persisted) = until_works("consensus log", async || LogFile::open(&config.data)).await?;
        let key = config.cluster_key.clone();
        let machine = Machine::new(config.consensus.clone(), persisted, key, Compaction::default())?;
        let address = config.me.link;
        let notes = until_works("notes", async || UdpSocket::bind(address).await).await;
        let notes = notes.map_err(|error| DaemonError::Socket(address, error))?;
        let others = config.controls.iter().filter(|(id, _)| **id != config.consensus.id);
        let senders = others.map(|(id, other)| (*id, Sender::spawn(other.consensus)));
        Ok(Daemon {
            link: PeerLink::new(link_config(&config, now), now),
            rollout: rollout_node(&config, &keys, DestinationSet::new(), None, now),
            frame_key: FrameKey::new(&config.cluster_key),
            senders: senders.collect(),
            waiting: BTreeMap::new(),
            named: 0,
            strangers: BTreeMap::new(),
            config,
            clock,
            disk,
            machine,
            keys,
            notes,
        })
    }

    /// Does all that is due.
    async fn drive(&mut self) -> Result<(), DaemonError> {
        loop {
            let now = self.clock.now_us();
            if self.machine.next_at(now) > now {
                break;
            }
            self.poll_machine(now).await?;
        }
        let now = self.clock.now_us();
        for disagreement in self.rollout.take_disagreements() {
            tracing::warn!("{disagreement}");
        }
        for note in self.link.poll(now, &mut [&mut self.rollout]) {
            if let Some(address) = self.config.links.get(&note.to) {
                // A note that cannot be sent is lost, as any may be.
                let _ = self.notes.send_to(&note.bytes, address).await;
            }
        }
        Ok(())
    }

    async fn poll_machine(&mut self, now: Micros) -> Result<(), DaemonError> {
        let work = self.machine.poll(now)?;
        self.persist(&work.persist).await?;
        work.messages.iter().for_each(|(to, message)| self.send(*to, message));
        if let Some(restored) = work.restored {
            self.rollout = rollout_node(&self.config, &self.keys, restored.set, restored.newest, now);
        }
        for signed in work.published {
            if let Err(error) = self.rollout.publish(now, signed) {
                tracing::error!(%error, "a change of the cluster does not fit what was distributed");
            }
        }
        // What was committed by then has been published above, or before.
        self.machine.consensus().confirmed_us().into_iter().for_each(|at| self.rollout.confirm(at));
        for (id, outcome) in work.outcomes {
            let reply = reply_of(id, &outcome);
            let waiting = self.waiting.remove(&id).unwrap_or_default();
            // Who asked may have gone.
            waiting.into_iter().for_each(|one| drop(one.send(reply.clone())));
        }
        self.waiting.retain(|_, waiting| waiting.iter().any(|one| !one.is_closed()));
        Ok(())
    }

    /// Writes records, however long the disk fails: a machine that sends nothing meanwhile is to the others as one that is
    /// down, and breaks no promise.
    async fn persist(&mut self, records: &[consensus::Record]) -> Result<(), DiskError> {
        let mut retries = Retries::default();
        while let Err(error) = self.disk.write(records, self.machine.consensus().persisted()) {
            let Some(interval) = retries.after("consensus log", &error) else { return Err(error) };
            tokio::time::sleep(interval).await;
        }
        retries.worked("consensus log");
        Ok(())
    }

    fn send(&self, to: NodeId, message: &[u8]) {
        let frame = self.frame_key.seal(self.config.consensus.id, to, message);
        if let Some(sender) = self.senders.get(&to) {
            sender.send(frame);
        }
    }

    fn receive(&mut self, (from, message): Incoming) {
        if let Err(error) = self.machine.receive(self.clock.now_us(), from, &message) {
            tracing::warn!(from = from.0, %error, "a message of a control machine was refused");
        }
    }

    fn hear(&mut self, note: &[u8]) {
        let heard = self.link.receive(self.clock.now_us(), note, &mut [&mut self.rollout]);
        // The link counts what it refuses. Who is not listed has a file with other machines.
        if heard == Err(DatagramError::Stranger) {
            self.count_stranger(note);
        }
    }

    /// Counts a note of the fleet, by the number of a sender that is not listed here, or is this machine's own.
    fn count_stranger(&mut self, note: &[u8]) {
        let Ok((head, _)) = datagram::open(&self.config.link_keys, note) else { return };
        let count = self.strangers.entry(head.from).or_default();
        *count += 1;
        if *count == 1 {
            tracing::warn!(
                "notes come from machine {}, which is not another one in the list of machines here",
                head.from
            );
        }
    }

    fn answer(&mut self, asked: Asked) {
        let Asked { request, reply } = asked;
        let (id, command) = match request {
            // Who asked may have gone.
            Request::Status => return drop(reply.send(Reply::Status(self.status()))),
            Request::Publish { id, operations } => (id, Command::Publish(operations)),
            Request::Rollback { id, to } => (id, Command::Rollback { to }),
        };
        let id = id.unwrap_or_else(|| self.name());
        self.submit(Proposal { id, command }, reply);
    }

    fn submit(&mut self, proposal: Proposal, reply: oneshot::Sender<Reply>) {
        let id = proposal.id;
        // One that is asked again while it is under way waits for the same outcome.
        if let Some(waiting) = self.waiting.get_mut(&id).filter(|_| self.machine.consensus().is_leader()) {
            return waiting.push(reply);
        }
        if self.waiting.len() >= MAX_REQUESTS {
            return drop(reply.send(Reply::Error { reason: "too many proposals wait".to_owned() }));
        }
        match self.machine.submit(self.clock.now_us(), &proposal) {
            Ok(Submission::UnderWay) => self.waiting.entry(id).or_default().push(reply),
            Ok(Submission::Known(outcome)) => drop(reply.send(reply_of(id, &outcome))),
            Err(error) => drop(reply.send(self.refusal(&error))),
        }
    }

    fn refusal(&self, error: &SubmitError) -> Reply {
        match error {
            SubmitError::Consensus(consensus::ProposeError::NotLeader { leader }) => Reply::NotLeader {
                leader: leader.map(|leader| leader.0),
                admin: leader.and_then(|leader| self.config.controls.get(&leader)).map(|one| one.admin),
            },
            error => Reply::Error { reason: error.to_string() },
        }
    }

    /// A name that no other proposal has: this machine, its time and a number.
    fn name(&mut self) -> ProposalId {
        self.named = self.named.wrapping_add(1);
        let number = [
            &(self.config.consensus.id.0 as u32).to_be_bytes()[..],
            &self.clock.now_us().to_be_bytes(),
            &self.named.to_be_bytes(),
        ];
        let mut name = [0; 16];
        name.copy_from_slice(&number.concat());
        ProposalId(name)
    }

    fn status(&self) -> Status {
        let now = self.clock.now_us();
        let (consensus, state) = (self.machine.consensus(), self.machine.state());
        Status {
            node: self.config.consensus.id.0,
            leader: consensus.leader().map(|leader| leader.0),
            term: consensus.term(),
            commit_index: consensus.commit_index(),
            quorum_silence_us: consensus.quorum_silence_us(now),
            age_us: consensus.confirmed_us().map(|at| now - at),
            version: state.version(),
            digest: hex::encode(state.digest().0),
            destinations: state.set().len(),
            log_entries: consensus.persisted().entry_count(),
            refused_messages: consensus.counts().refused.values().sum(),
            subscribers: self.rollout.status(now).subscribers.len(),
            misplaced: misplaced(&self.rollout),
            strangers: self.strangers.clone(),
            refused_notes: self.link.counts().ignored(),
        }
    }

    fn next_at(&self) -> Micros {
        let now = self.clock.now_us();
        // Nothing of the rollout is due at a time that is beyond a day; the machine ticks before.
        self.machine.next_at(now).min(Channel::next_at(&self.rollout, now))
    }
}

fn reply_of(id: ProposalId, outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Published(version) => Reply::Published { id, version: *version },
        Outcome::Refused(refusal) => Reply::Refused { id, reason: refusal.to_string() },
    }
}

/// How often each machine was refused as a subscriber because it places this one differently.
fn misplaced(rollout: &Node) -> BTreeMap<Peer, u64> {
    let found = rollout.disagreements().iter();
    found
        .filter_map(|(found, count)| match found {
            Disagreement::Subscriber(peer) => Some((*peer, *count)),
            Disagreement::Upstream(_) => None,
        })
        .collect()
}

fn link_config(config: &Config, now: Micros) -> link::Config {
    link::Config {
        me: config.me.peer,
        incarnation: fleet::incarnation(now),
        peers: config.links.keys().copied().collect(),
        keys: config.link_keys.clone(),
        bytes_per_s: LINK_BYTES_PER_S,
        pings_silent_peers: false,
    }
}

fn rollout_node(
    config: &Config, keys: &ControlKeys, set: DestinationSet, newest: Option<SignedChange>, now: Micros,
) -> Node {
    let seed = u64::from(config.me.peer);
    let config = rollout::Config::new(config.me.peer, config.topology.clone(), keys.clone(), seed);
    Node::new(config, set, newest, now)
}
