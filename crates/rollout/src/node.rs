//! One machine's part in the distribution of changes: a channel on the link, without I/O or a clock of its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use destinations::{
    Applied, ApplyError, Change, ControlKeys, DestinationSet, Digest, LogLimits, SignedChange, Version,
};
use fleet::frame;
use fleet::link::{Channel, OutgoingFrame, Sender};
use fleet::members::Members;
use fleet::{Micros, Peer};

use crate::budget::Budget;
use crate::catch_up::CatchUp;
use crate::change_serve::ChangeServer;
use crate::disagreement::{Disagreement, Disagreements};
use crate::error::{Counts, Kind, RolloutError};
use crate::jitter::Jitter;
use crate::message::{Advert, CHANNEL, Message, Part, Refusal, Unavailable, decode};
use crate::push::{ChangeAssemblies, change_messages};
use crate::replica::Replica;
use crate::snapshot_fetch::{Fetched, Progress, SnapshotFetch};
use crate::snapshot_serve::SnapshotServer;
use crate::subscribers::Subscribers;
use crate::subscription::{Answer, Subscriptions, Upstream};
use crate::topology::{Role, Topology};

/// Bytes a second that one machine spends on serving snapshots and changes on request. Of the 7 KB/s that all control may
/// cost a relay, heartbeats and pushes take up to 3 KB/s on the busiest.
pub const SERVE_BYTES_PER_S: u32 = 4096;
/// Changes and their bytes that a machine keeps for others that lag behind: three days of 1,600 changes.
pub const LOG_LIMITS: LogLimits = LogLimits { changes: 4800, bytes: 2 << 20 };

/// What a node is given.
#[derive(Clone, Debug)]
pub struct Config {
    /// This machine's number in the fleet.
    pub me: Peer,
    /// The order of all machines.
    pub topology: Arc<Topology>,
    /// The public keys of the control machines.
    pub keys: ControlKeys,
    /// How many changes are kept for others.
    pub log: LogLimits,
    /// Bytes a second for serving others that lag behind.
    pub serve_bytes_per_s: u32,
    /// Seed of the jitter of timers.
    pub seed: u64,
}

impl Config {
    /// The usual limits.
    pub fn new(me: Peer, topology: Arc<Topology>, keys: ControlKeys, seed: u64) -> Self {
        Config { me, topology, keys, log: LOG_LIMITS, serve_bytes_per_s: SERVE_BYTES_PER_S, seed }
    }
}

/// For operators: what is in force on a machine, and from whom it has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The version that is in force.
    pub version: Version,
    /// The digest of the set that is in force.
    pub digest: Digest,
    /// How long ago control last confirmed that nothing newer was committed, in microseconds; none if it never did.
    pub age: Option<Micros>,
    /// The upstreams, the primary first.
    pub upstreams: Vec<Upstream>,
    /// The machines that have a lease here.
    pub subscribers: Vec<Peer>,
    /// The snapshot that is being fetched.
    pub snapshot: Option<Progress>,
}

/// One machine.
#[derive(Debug)]
pub struct Node {
    me: Peer,
    role: Role,
    topology: Arc<Topology>,
    replica: Replica,
    subscriptions: Subscriptions,
    subscribers: Subscribers,
    assemblies: ChangeAssemblies,
    catch_up: CatchUp,
    changes: ChangeServer,
    snapshots: SnapshotServer,
    fetch: Option<(SnapshotFetch, Peer)>,
    budget: Budget,
    confirmed: Option<Micros>,
    applied: Vec<Applied>,
    out: Vec<(Peer, Message)>,
    counts: Counts,
    disagreements: Disagreements,
}

impl Node {
    /// A node that starts now with a set, as read from its file, and the signed change that led to it if that was kept.
    pub fn new(config: Config, set: DestinationSet, newest: Option<SignedChange>, now: Micros) -> Self {
        let Config { me, topology, keys, log, serve_bytes_per_s, seed } = config;
        let jitter = Jitter::new(seed ^ (u64::from(me) << 32));
        let role = topology.machine(me).map_or(Role::Relay, |machine| machine.role);
        Node {
            me,
            role,
            replica: Replica::new(keys, set, newest, log),
            subscriptions: Subscriptions::new(topology.candidates(me), now, jitter),
            topology,
            subscribers: Subscribers::default(),
            assemblies: ChangeAssemblies::default(),
            catch_up: CatchUp::default(),
            changes: ChangeServer::default(),
            snapshots: SnapshotServer::default(),
            fetch: None,
            budget: Budget::new(serve_bytes_per_s, now),
            confirmed: None,
            applied: Vec::new(),
            out: Vec::new(),
            counts: Counts::default(),
            disagreements: Disagreements::default(),
        }
    }

    /// Takes a change that the control machines have committed, and pushes it. Each control machine publishes every
    /// committed change, in their order.
    ///
    /// # Errors
    /// If this is no control machine, or the change is not sound or not the next; the state is as it was.
    pub fn publish(&mut self, now: Micros, signed: SignedChange) -> Result<(), RolloutError> {
        if self.role != Role::Control {
            return Err(RolloutError::NotControl);
        }
        let change = self.replica.verify_any(&signed)?;
        self.apply(now, change, signed)
    }

    /// On a control machine: the set here has all that the cluster had committed at that moment.
    pub fn confirm(&mut self, at: Micros) {
        if self.role == Role::Control {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// The set that is in force.
    pub fn set(&self) -> &DestinationSet {
        self.replica.set()
    }

    /// The signed change that led to the set, to be kept beside the set's file.
    pub fn newest(&self) -> Option<&SignedChange> {
        self.replica.newest()
    }

    /// What was applied since the last call, in its order.
    pub fn take_applied(&mut self) -> Vec<Applied> {
        std::mem::take(&mut self.applied)
    }

    /// How often subscriptions failed as two machines place each other differently, since the start.
    pub fn disagreements(&self) -> &BTreeMap<Disagreement, u64> {
        self.disagreements.counts()
    }

    /// The disagreements that occurred for the first time since the last call.
    pub fn take_disagreements(&mut self) -> Vec<Disagreement> {
        self.disagreements.take_news()
    }

    /// What was counted since the start.
    pub fn counts(&self) -> Counts {
        Counts { replaced: self.subscriptions.replaced(), ..self.counts.clone() }
    }

    /// What is in force here, and from whom.
    pub fn status(&self, now: Micros) -> Status {
        Status {
            version: self.replica.version(),
            digest: self.replica.set().digest(),
            age: self.confirmed().map(|at| now - at),
            upstreams: self.subscriptions.upstreams(now),
            subscribers: self.subscribers.peers(now).collect(),
            snapshot: self.fetch.as_ref().map(|(fetch, _)| fetch.progress()),
        }
    }

    fn confirmed(&self) -> Option<Micros> {
        self.confirmed.max(self.subscriptions.confirmed(self.replica.version()))
    }

    fn advert(&self, now: Micros) -> Advert {
        let age = |at: Micros| u32::try_from((now - at).max(0) / 1000).unwrap_or(u32::MAX);
        Advert {
            version: self.replica.version(),
            digest: self.replica.set().digest().into(),
            age_ms: self.confirmed().map(age),
        }
    }

    /// Handles one message.
    fn handle(&mut self, now: Micros, from: Peer, message: Message) -> Result<(), RolloutError> {
        match message {
            Message::Heartbeat { number, primary, version } => {
                self.on_heartbeat(now, from, number, primary, version);
                Ok(())
            }
            Message::Advert { answers, advert } => self.on_advert(now, from, answers, advert),
            Message::Refused { answers, why } => self.on_refused(now, from, answers, why),
            Message::Leave => {
                self.subscribers.leave(from);
                Ok(())
            }
            Message::ChangeFragment { version, index, count, bytes } => {
                self.on_change_fragment(now, from, version, (index, count, bytes))
            }
            Message::Applied { version } => {
                self.subscribers.acknowledge(now, from, version, self.replica.version());
                Ok(())
            }
            Message::ChangesRequest { after } => {
                self.changes.request(from, after);
                Ok(())
            }
            Message::ChangesCompacted { after, version } => self.on_compacted(now, from, after, version),
            Message::PartRequest { request, version, part, missing } => {
                self.on_part_request(now, from, (request, version, part, &missing));
                Ok(())
            }
            Message::PartFragment { request, index, count, bytes } => {
                self.on_part_fragment(now, from, (request, index, count, bytes))
            }
            Message::PartUnavailable { request, why } => self.on_unavailable(now, from, request, why),
        }
    }

    fn on_heartbeat(&mut self, now: Micros, from: Peer, answers: u16, primary: bool, version: Version) {
        let newest = self.replica.version();
        let granted = if self.topology.may_serve(self.me, from) {
            self.subscribers.renew(now, from, primary, version, newest)
        } else {
            self.disagreements.add(Disagreement::Subscriber(from));
            Err(Refusal::NotBehind)
        };
        let answer = match granted {
            Ok(()) => Message::Advert { answers, advert: self.advert(now) },
            Err(why) => {
                self.counts.refused += 1;
                Message::Refused { answers, why }
            }
        };
        self.out.push((from, answer));
        self.saw(now, from, version);
    }

    fn on_refused(
        &mut self, now: Micros, from: Peer, answers: u16, why: Refusal,
    ) -> Result<(), RolloutError> {
        if self.subscriptions.refused(now, from, answers) == Answer::Unasked {
            return Err(RolloutError::Unasked(from));
        }
        if why == Refusal::NotBehind {
            self.disagreements.add(Disagreement::Upstream(from));
        }
        Ok(())
    }

    fn on_advert(
        &mut self, now: Micros, from: Peer, answers: u16, advert: Advert,
    ) -> Result<(), RolloutError> {
        if self.subscriptions.accepted(now, from, answers, advert, &mut self.out) == Answer::Unasked {
            return Err(RolloutError::Unasked(from));
        }
        self.saw(now, from, advert.version);
        let same = advert.version == self.replica.version();
        if same && advert.digest != self.replica.set().digest().into() {
            return Err(RolloutError::Diverged(from));
        }
        self.confirmed = self.confirmed();
        Ok(())
    }

    /// A machine shows its version. Control machines have theirs from their own cluster alone.
    fn saw(&mut self, now: Micros, from: Peer, version: Version) {
        if self.role == Role::Relay {
            self.catch_up.seen(now, from, version, self.replica.version());
        }
    }

    fn on_change_fragment(
        &mut self, now: Micros, from: Peer, version: Version, fragment: (u8, u8, Vec<u8>),
    ) -> Result<(), RolloutError> {
        let have = self.replica.version();
        let expected = self.subscriptions.has(from) || self.catch_up.asked(from);
        if self.role == Role::Control || !expected {
            return Err(RolloutError::Unasked(from));
        }
        if version.epoch < have.epoch {
            return Err(ApplyError::OlderEpoch { have, got: version }.into());
        }
        if !self.replica.lacks(version) {
            // The sender does not know yet that this version is here.
            self.acknowledge_to(from);
            return Err(ApplyError::Older { have, got: version }.into());
        }
        let Some(signed) = self.assemblies.take(now, from, version, fragment)? else { return Ok(()) };
        let verified =
            self.replica.verify(version, &signed).inspect_err(|_| self.catch_up.distrust(now, from))?;
        let applied = self.apply(now, verified, signed);
        if matches!(&applied, Err(why) if why.kind() == Kind::OutOfOrder) {
            self.saw(now, from, version);
        }
        if matches!(&applied, Err(RolloutError::Apply(ApplyError::PreviousDigest))) {
            self.fetch_snapshot(now, from, version);
        }
        applied
    }

    /// Applies a verified change and those kept that follow it, and has them pushed.
    fn apply(&mut self, now: Micros, change: Change, signed: SignedChange) -> Result<(), RolloutError> {
        self.snapshots.before_change(now, self.replica.set(), &change);
        let applied = self.replica.apply(change, signed)?;
        self.in_force(now, applied);
        while let Some((change, signed)) = self.replica.take_early() {
            self.snapshots.before_change(now, self.replica.set(), &change);
            let applied = self.replica.apply(change, signed)?;
            self.in_force(now, applied);
        }
        Ok(())
    }

    fn in_force(&mut self, now: Micros, applied: Applied) {
        let version = applied.version;
        self.counts.applied += 1;
        self.applied.push(applied);
        self.assemblies.applied(version);
        self.subscribers.publish(now, version);
        self.confirmed = self.confirmed();
        let upstreams = self.subscriptions.upstreams(now);
        upstreams.iter().for_each(|upstream| self.acknowledge_to(upstream.peer));
    }

    /// Acknowledges what is in force here; one acknowledgement is enough for all changes of a datagram.
    fn acknowledge_to(&mut self, peer: Peer) {
        self.out.retain(|(to, message)| *to != peer || !matches!(message, Message::Applied { .. }));
        self.out.push((peer, Message::Applied { version: self.replica.version() }));
    }

    fn on_compacted(
        &mut self, now: Micros, from: Peer, after: Version, version: Version,
    ) -> Result<(), RolloutError> {
        if !self.catch_up.asked(from) {
            return Err(RolloutError::Unasked(from));
        }
        if after == self.replica.version() {
            self.fetch_snapshot(now, from, version);
        }
        Ok(())
    }

    fn fetch_snapshot(&mut self, now: Micros, from: Peer, version: Version) {
        if self.fetch.is_none() && version > self.replica.version() {
            self.fetch = Some((SnapshotFetch::new(version, now), from));
        }
    }

    fn on_part_request(&mut self, now: Micros, from: Peer, request: (u16, Version, Part, &[u16])) {
        let (set, newest) = (self.replica.set(), self.replica.newest());
        if let Err(why) = self.snapshots.request(now, from, set, newest, request) {
            self.out.push((from, Message::PartUnavailable { request: request.0, why }));
        }
    }

    fn on_part_fragment(
        &mut self, now: Micros, from: Peer, fragment: (u16, u16, u16, Vec<u8>),
    ) -> Result<(), RolloutError> {
        let Some((fetch, _)) = &mut self.fetch else { return Err(RolloutError::Unasked(from)) };
        match fetch.take(now, from, &self.replica, fragment)? {
            Fetched::Part => Ok(()),
            Fetched::Unsound(why) => {
                self.fetch = None;
                self.catch_up.distrust(now, from);
                Err(why)
            }
            Fetched::Whole(install, vouched_by) => {
                self.fetch = None;
                let applied = self.replica.install(*install, vouched_by)?;
                self.snapshots.clear();
                self.counts.installed += 1;
                self.in_force(now, applied);
                Ok(())
            }
        }
    }

    fn on_unavailable(
        &mut self, now: Micros, from: Peer, request: u16, why: Unavailable,
    ) -> Result<(), RolloutError> {
        let Some((fetch, _)) = &mut self.fetch else { return Err(RolloutError::Unasked(from)) };
        fetch.unavailable(now, from, request, why);
        Ok(())
    }

    /// All that is due now.
    fn poll(&mut self, now: Micros) {
        let version = self.replica.version();
        self.subscriptions.poll(now, version, &mut self.out);
        self.push_due(now);
        self.poll_fetch(now);
        self.catch_up.set_fetching(self.fetch.is_some());
        if let Some(peer) = self.catch_up.poll(now, version) {
            self.out.push((peer, Message::ChangesRequest { after: version }));
        }
        self.counts.caught_up += self.changes.poll(now, &self.replica, &mut self.budget, &mut self.out);
        self.counts.snapshot_bytes += self.snapshots.poll(now, &mut self.budget, &mut self.out);
    }

    /// Pushes to subscribers what they lack of the newest changes.
    fn push_due(&mut self, now: Micros) {
        let newest = self.replica.version();
        for (peer, after, end) in self.subscribers.due(now, newest) {
            // The first change of a new epoch is offered to those of the older one, too: it fits if they had all of that.
            let Some(changes) = self.replica.since(Version { epoch: newest.epoch, ..after }) else {
                continue;
            };
            for (number, signed) in (after.number + 1..=end.number).zip(changes) {
                let version = Version { number, ..end };
                self.out.extend(change_messages(version, signed).map(|message| (peer, message)));
                self.counts.pushed += 1;
            }
        }
    }

    fn poll_fetch(&mut self, now: Micros) {
        let have = self.replica.version();
        self.fetch.take_if(|(fetch, _)| fetch.is_stuck(now) || fetch.progress().version <= have);
        let Some((fetch, first)) = &mut self.fetch else { return };
        let mut sources = vec![*first];
        sources.extend(self.subscriptions.upstreams(now).iter().map(|upstream| upstream.peer));
        sources.extend(self.subscriptions.reachable(now));
        let mut seen = Vec::new();
        sources.retain(|peer| {
            let fresh = !seen.contains(peer);
            seen.push(*peer);
            fresh
        });
        fetch.poll(now, &sources, &mut self.out);
    }

    /// When [`Node::poll`] has something to do next.
    fn due_at(&self) -> Micros {
        let serves = self.changes.waits() || self.snapshots.waits();
        let serve = if serves { self.budget.next_at() } else { Micros::MAX };
        let fetch = self.fetch.as_ref().map_or(Micros::MAX, |(fetch, _)| fetch.next_at());
        let subscriptions = self.subscriptions.next_at().min(self.subscribers.next_at());
        subscriptions.min(serve).min(fetch).min(self.catch_up.next_at())
    }
}

impl Channel for Node {
    fn id(&self) -> u8 {
        CHANNEL
    }

    /// It keeps within limits of its own: leases, the rate of heartbeats, and the budget for those who lag behind.
    fn is_budgeted(&self) -> bool {
        false
    }

    fn receive_frame(&mut self, now: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        if self.topology.machine(from.peer).is_none() {
            self.counts.reject(Kind::Unasked);
            self.disagreements.add(Disagreement::Subscriber(from.peer));
            return false;
        }
        let (messages, sound) = decode(bytes);
        if !sound {
            self.counts.reject(RolloutError::Malformed.kind());
        }
        for message in messages {
            if let Err(why) = self.handle(now, from.peer, message) {
                self.counts.reject(why.kind());
            }
        }
        sound
    }

    fn poll_frames(&mut self, now: Micros, _: &Members, room: usize, _: usize) -> Vec<OutgoingFrame> {
        self.poll(now);
        frame::pack(self.out.drain(..).map(|(to, message)| (to, message.encode())), room)
    }

    fn next_at(&self, now: Micros) -> Micros {
        if self.out.is_empty() { self.due_at().max(now) } else { now }
    }
}
