//! One node of the cluster: raft-rs, driven by messages, proposals and the time.

use std::collections::BTreeMap;

use raft::eraftpb::{self, MessageType};
use raft::{RawNode, StateRole};
use thiserror::Error;

use crate::check::{self, ReceiveError};
use crate::config::{Config, ConfigError, NodeId};
use crate::contact::Contact;
use crate::envelope;
use crate::persisted::{Persisted, RecordError};
use crate::reads::Reads;
use crate::record::{Entry, Record, Snapshot};
use crate::snapshots::Snapshots;
use crate::storage::{self, Storage};
use crate::{
    MAX_LOG_BYTES, MAX_LOG_ENTRIES, MAX_PROPOSAL_BYTES, MAX_SNAPSHOT_BYTES, MAX_UNCOMMITTED_BYTES, Micros,
};

/// Bytes of entries in one message, as long as it has more than one entry.
const MAX_APPEND_BYTES: u64 = 1024 * 1024;
/// Messages with entries that are under way to one node.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Bytes of committed entries in one [`Ready`], as long as it has more than one entry.
const MAX_COMMITTED_BYTES: u64 = 4 * 1024 * 1024;
/// A snapshot that is not acknowledged within so many election timeouts is sent again.
const SNAPSHOT_PATIENCE: Micros = 3;
/// A node asks once in so many heartbeats whether it has all that is committed.
const HEARTBEATS_PER_READ: Micros = 2;

/// What the shell has to do now, in this order:
///
/// 1. write all of `persist` and fsync,
/// 2. send `messages`, which may be lost,
/// 3. replace the application's state by `restore` if it is there, then apply `committed` in order.
///
/// Raft lets a leader send its entries while it writes them (section 10.2.1 of Ongaro's thesis); votes,
/// acknowledgements and everything else of a follower must wait for the write. Here all messages wait: one rule, at the
/// price of one fsync for each round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Records for the stable storage, in order.
    pub persist: Vec<Record>,
    /// Encoded messages by receiver.
    pub messages: Vec<(NodeId, Vec<u8>)>,
    /// A state of the application that takes the place of all that was applied before: at the start the one of the
    /// stable storage, later one of the leader, if this node was far behind.
    pub restore: Option<Snapshot>,
    /// Entries that a quorum has. Each comes once in the life of a [`Consensus`]; after a restart, those after the
    /// snapshot come again.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist.is_empty()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
    }
}

/// Why a node cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration is not usable.
    #[error("the configuration is not usable: {0}")]
    Config(#[from] ConfigError),
    /// The records do not make a state.
    #[error("the stable storage is not usable: {0}")]
    Records(#[from] RecordError),
    /// raft-rs does not start from this state.
    #[error("raft does not start: {0}")]
    Raft(#[from] raft::Error),
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Only the leader takes proposals.
    #[error("this node is not the leader")]
    NotLeader {
        /// Who is, as far as this node knows.
        leader: Option<NodeId>,
    },
    /// It has no data; such entries are the leader's own.
    #[error("the proposal is empty")]
    Empty,
    /// It is too long.
    #[error("the proposal is longer than {MAX_PROPOSAL_BYTES} bytes")]
    TooLarge,
    /// Too much waits for a quorum, or the log is full and must be compacted.
    #[error("too many proposals wait, or the log is full")]
    TooMany,
}

/// Why the log was not compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompactError {
    /// The snapshot is too long.
    #[error("the snapshot is longer than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// The entry was not handed out as committed yet.
    #[error("entry {0} was not applied yet")]
    NotApplied(u64),
    /// There is a snapshot of this entry or a later one.
    #[error("there is a snapshot of entry {0} already")]
    NotNewer(u64),
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that were taken.
    pub received: u64,
    /// Messages that had no effect, by reason.
    pub refused: BTreeMap<ReceiveError, u64>,
    /// Proposals that were taken.
    pub proposed: u64,
    /// Snapshots that were sent to nodes far behind.
    pub snapshots_sent: u64,
}

/// One node of the cluster.
///
/// Each call says that the `persist` of the last [`Consensus::poll`] is on the disk: a shell that could not write it
/// must not call again.
pub struct Consensus {
    config: Config,
    node: RawNode<Storage>,
    next_tick_us: Option<Micros>,
    /// The number of the last ready, if it had records that are not known to be written.
    unsettled: Option<u64>,
    /// Records made between two polls.
    queued: Vec<Record>,
    /// What the next poll hands out to restore from.
    restore: Option<Snapshot>,
    /// The last index that was handed out.
    applied: u64,
    contact: Contact,
    reads: Reads,
    snapshots: Snapshots,
    counts: Counts,
}

impl std::fmt::Debug for Consensus {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Consensus")
            .field("id", &self.config.id)
            .field("term", &self.term())
            .field("leader", &self.leader())
            .field("applied", &self.applied)
            .finish_non_exhaustive()
    }
}

impl Consensus {
    /// A node that starts from what it has on its disk.
    ///
    /// # Errors
    /// The configuration or the records are not usable.
    pub fn new(config: Config, persisted: Persisted) -> Result<Self, StartError> {
        config.validate()?;
        persisted.check()?;
        let snapshot = persisted.snapshot().clone();
        let applied = snapshot.index;
        let read_every_us = ticks_us(&config, config.heartbeat_ticks).saturating_mul(HEARTBEATS_PER_READ);
        let reads = Reads::new(config.id, read_every_us);
        let storage = Storage::new(persisted, &config.voters);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&raft_config(&config, applied), storage, &logger)?;
        Ok(Consensus {
            config,
            node,
            next_tick_us: None,
            unsettled: None,
            queued: Vec::new(),
            restore: Some(snapshot).filter(|snapshot| snapshot.index > 0),
            applied,
            contact: Contact::default(),
            reads,
            snapshots: Snapshots::default(),
            counts: Counts::default(),
        })
    }

    /// Appends data to the log, if this node is the leader. That it comes out of [`Consensus::poll`] as committed is
    /// likely but not certain; a proposer has to watch for it.
    ///
    /// # Errors
    /// It was not appended.
    pub fn propose(&mut self, _now_us: Micros, data: Vec<u8>) -> Result<(), ProposeError> {
        self.settle();
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        if data.is_empty() {
            return Err(ProposeError::Empty);
        }
        if data.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let log = &self.node.store().persisted;
        if log.entry_count() >= MAX_LOG_ENTRIES || log.entry_bytes() + data.len() > MAX_LOG_BYTES {
            return Err(ProposeError::TooMany);
        }
        self.node.propose(Vec::new(), data).map_err(|_| ProposeError::TooMany)?;
        self.counts.proposed += 1;
        Ok(())
    }

    /// Takes an encoded message that came from that node; the shell vouches for `from`.
    ///
    /// # Errors
    /// Why it has no effect; it is counted and nothing else.
    pub fn receive(&mut self, now_us: Micros, from: NodeId, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.settle();
        let taken = self.take(now_us, from, bytes);
        match taken {
            Ok(()) => self.counts.received += 1,
            Err(error) => *self.counts.refused.entry(error).or_default() += 1,
        }
        taken
    }

    /// Lets the time pass and says what there is to do. If it was called late, the ticks that were missed are dropped:
    /// a process that was frozen hears its messages before it doubts its leader.
    pub fn poll(&mut self, now_us: Micros) -> Ready {
        self.settle();
        self.tick(now_us);
        self.reads.ask(now_us, &mut self.node);
        self.snapshots.give_up(now_us, self.snapshot_patience_us(), &mut self.node);
        let mut ready = Ready { persist: std::mem::take(&mut self.queued), ..Ready::default() };
        ready.restore = self.restore.take();
        if self.node.has_ready() {
            self.fill(now_us, &mut ready);
        }
        ready
    }

    /// When [`Consensus::poll`] has something to do next.
    pub fn next_at(&self, now_us: Micros) -> Micros {
        let waiting = self.unsettled.is_some()
            || self.restore.is_some()
            || !self.queued.is_empty()
            || self.node.has_ready();
        if waiting { now_us } else { self.next_tick_us.unwrap_or(now_us).max(now_us) }
    }

    /// Gives the state of the application after entry `index`, so that the log before it can be dropped. Of the entries
    /// up to `index` the last `kept_entries` stay, for nodes that are only a little behind.
    ///
    /// # Errors
    /// Nothing was changed.
    pub fn compact(&mut self, index: u64, kept_entries: u64, data: Vec<u8>) -> Result<(), CompactError> {
        self.settle();
        if data.len() > MAX_SNAPSHOT_BYTES {
            return Err(CompactError::TooLarge);
        }
        let persisted = &self.node.store().persisted;
        if index <= persisted.snapshot().index {
            return Err(CompactError::NotNewer(persisted.snapshot().index));
        }
        let term = persisted.term(index).filter(|_| index <= self.applied);
        let term = term.ok_or(CompactError::NotApplied(index))?;
        self.queue(Record::Snapshot(Snapshot { index, term, data }));
        self.drop_log(index.saturating_sub(kept_entries));
        Ok(())
    }

    /// The leader that this node follows, or itself.
    pub fn leader(&self) -> Option<NodeId> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID).map(NodeId)
    }

    /// Whether this node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The latest term it knows.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The last index that it knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.node.raft.raft_log.committed
    }

    /// What it holds as its stable state, with the records that the last poll handed out.
    pub fn persisted(&self) -> &Persisted {
        &self.node.store().persisted
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// A time of the shell's clock: all that the cluster had committed at that moment was handed out by now. It says how
    /// old this node's view of the log may be. `None` before the first such moment since the start.
    pub fn confirmed_us(&self) -> Option<Micros> {
        self.reads.confirmed_us()
    }

    /// For how long no quorum was heard, in microseconds, for the eyes of operators; [`Consensus::confirmed_us`] is the
    /// one that promises something.
    ///
    /// A leader counts from when the last of a majority was heard. A follower counts from its leader's last message,
    /// and the leader may itself have been without a majority for up to an election timeout then. `None` without a
    /// leader, or before a majority was heard in this term.
    pub fn quorum_silence_us(&self, now_us: Micros) -> Option<Micros> {
        let leader = self.leader()?;
        if leader == self.config.id {
            return self.contact.silence_of_any(now_us, self.term(), self.config.quorum() - 1);
        }
        self.contact.silence_of(now_us, self.term(), leader)
    }

    /// Tells raft-rs that all that was handed out is written.
    fn settle(&mut self) {
        if let Some(number) = self.unsettled.take() {
            self.node.on_persist_ready(number);
            self.node.advance_apply_to(self.applied);
        }
    }

    fn take(&mut self, now_us: Micros, from: NodeId, bytes: &[u8]) -> Result<(), ReceiveError> {
        if from == self.config.id || !self.config.voters.contains(&from) {
            return Err(ReceiveError::NotAVoter);
        }
        let message = check::decode(self.config.id, from, bytes)?;
        check::check(&self.node, &message)?;
        if message.get_msg_type() == MessageType::MsgReadIndex && !self.is_leader() {
            // raft-rs would pass it on in the name of the sender; the sender asks the new leader soon.
            return Ok(());
        }
        let term = message.term;
        self.node.step(message).map_err(|_| ReceiveError::Refused)?;
        if term == self.term() {
            self.contact.heard(now_us, from, term);
        }
        Ok(())
    }

    fn tick(&mut self, now_us: Micros) {
        let due = *self.next_tick_us.get_or_insert(now_us + self.config.tick_us);
        if now_us < due {
            return;
        }
        self.node.tick();
        let next = due + self.config.tick_us;
        self.next_tick_us = Some(if next > now_us { next } else { now_us + self.config.tick_us });
    }

    /// Moves what raft-rs has ready to the shell, and to the log in memory.
    fn fill(&mut self, now_us: Micros, out: &mut Ready) {
        let mut ready = self.node.ready();
        for record in records_of(&ready) {
            self.apply_record(&record);
            out.persist.push(record);
        }
        if !ready.snapshot().is_empty() {
            let snapshot = storage::snapshot_from_raft(ready.snapshot());
            self.applied = snapshot.index;
            out.restore = Some(snapshot);
        }
        for entry in ready.take_committed_entries() {
            self.applied = entry.index;
            if !entry.data.is_empty() {
                out.committed.push(storage::entry_from_raft(&entry));
            }
        }
        self.reads.answered(now_us, ready.read_states());
        self.reads.applied(self.applied);
        let messages = ready.take_messages().into_iter().chain(ready.take_persisted_messages());
        let messages: Vec<eraftpb::Message> = messages.collect();
        out.messages.extend(messages.iter().filter_map(|message| self.encode(now_us, message)));
        self.unsettled = Some(ready.number());
        self.node.advance_append_async(ready);
    }

    fn encode(&mut self, now_us: Micros, message: &eraftpb::Message) -> Option<(NodeId, Vec<u8>)> {
        if message.get_msg_type() == MessageType::MsgSnapshot {
            self.snapshots.sent(now_us, message.to);
            self.counts.snapshots_sent += 1;
        }
        envelope::encode(message).map(|bytes| (NodeId(message.to), bytes))
    }

    fn drop_log(&mut self, through: u64) {
        let persisted = &self.node.store().persisted;
        if through < persisted.first_index() {
            return;
        }
        if let Some(term) = persisted.term(through) {
            self.queue(Record::Compacted { index: through, term });
        }
    }

    fn queue(&mut self, record: Record) {
        self.apply_record(&record);
        self.queued.push(record);
    }

    /// Keeps the log in memory in step with the records. One that does not follow would be a fault of this crate, and a
    /// node that goes on with it could break its promises.
    fn apply_record(&mut self, record: &Record) {
        let applied = self.node.mut_store().persisted.apply(record.clone());
        assert_eq!(applied, Ok(()), "raft made a record that does not follow on its log");
    }

    fn snapshot_patience_us(&self) -> Micros {
        ticks_us(&self.config, self.config.election_ticks).saturating_mul(SNAPSHOT_PATIENCE)
    }
}

/// So many ticks in microseconds.
fn ticks_us(config: &Config, ticks: usize) -> Micros {
    Micros::try_from(ticks).unwrap_or(Micros::MAX).saturating_mul(config.tick_us)
}

/// The records of a ready, in an order in which every prefix is a state to start from: what is committed comes last.
fn records_of(ready: &raft::Ready) -> Vec<Record> {
    let mut records = Vec::new();
    if !ready.snapshot().is_empty() {
        records.push(Record::Installed(storage::snapshot_from_raft(ready.snapshot())));
    }
    records.extend(ready.entries().iter().map(storage::entry_from_raft).map(Record::Entry));
    records.extend(ready.hs().map(storage::hard_state_from_raft).map(Record::HardState));
    records
}

fn raft_config(config: &Config, applied: u64) -> raft::Config {
    let election_timeout = config.election_timeout_ticks();
    raft::Config {
        id: config.id.0,
        election_tick: config.election_ticks,
        heartbeat_tick: config.heartbeat_ticks,
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        applied,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES as u64,
        max_committed_size_per_ready: MAX_COMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        ..raft::Config::default()
    }
}
