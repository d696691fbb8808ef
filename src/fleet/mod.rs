//! A relay's part in its fleet, with its I/O: the socket of the peer link, whose channels share limits, retry budgets,
//! observations, maintenance slots and the destination set; state files beside the journal; and the control socket.
//!
//! Invariant: nothing here makes a message wait. What coordinators and other relays report reaches the rules as inputs, and
//! the rules alone decide what follows.

mod control;
mod cutoffs;
mod distribution;
mod maintenance;
mod show;
mod snapshot;
mod state_file;
mod updates;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ::fleet::datagram::DatagramError;
use ::fleet::keys::Keys;
use ::fleet::link::{self, Channel, PeerLink};
use ::fleet::{Peer, incarnation};
use peers::node::Node as ObservationNode;
use peers::observer::Observer;
use permits::steward::Cold;
use permits::{Sharing, earlier, node as permit};
use repeats::node as repeat;
use serde_json::{Value, json};
use tokio::net::{UdpSocket, UnixListener};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tracing::{debug, info, warn};

use crate::exchange::{Clock, Member};
use crate::input::Input;
use crate::interface::{DestinationObservation, Micros, RuleParameters};
use crate::retry::until_works;
use crate::standing::ProcessStatus;

use control::{Command, MAX_PENDING_COMMANDS, accept, listen, serve};
use cutoffs::Cutoffs;
use distribution::Distribution;
pub use distribution::{DistributionSetup, InitialEndpoints};
use maintenance::Maintenance;
pub use maintenance::MaintenanceSetup;
use snapshot::Snapshot;
use updates::report_of;
pub use updates::{FleetUpdate, call_ended};

/// Maximum number of known observations, of this relay's own and of others' each.
const MAX_OBSERVATIONS: usize = 4096;
/// Maximum number of the runtime's updates that are processed before due work is checked again.
const UPDATE_BATCH: usize = 64;
/// No relay begins maintenance while messages of any priority wait this long at a limit coordinator, in microseconds.
const STRAIN_WAIT_US: Micros = 1_000_000;
/// Pause after an error while receiving or accepting on a socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Configuration of a relay's part in its fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This relay's number.
    pub me: Peer,
    /// Address of this relay's peer link.
    pub listen: SocketAddr,
    /// Address of each relay's peer link, by the relay's number.
    pub all: Vec<SocketAddr>,
    /// Keys that authenticate datagrams.
    pub keys: Keys,
    /// Limit for all channels with a budget together, in bytes per second.
    pub bytes_per_s: u32,
    /// How limits are shared between relays, if they are.
    pub permits: Option<Sharing>,
    /// Whether relays share one retry budget.
    pub repeats: bool,
    /// Exchange of observations with other relays, if enabled.
    pub observations: Option<ObservationSetup>,
    /// Coordination of maintenance, if enabled.
    pub turns: Option<MaintenanceSetup>,
    /// Distribution of the destination set by control machines, if enabled.
    pub distribution: Option<DistributionSetup>,
    /// Path of the control socket.
    pub control: Option<PathBuf>,
}

impl Setup {
    /// The numbers of all senders of datagrams: relays, then control machines.
    fn peers(&self) -> Vec<Peer> {
        let controls = self.distribution.as_ref().map_or(0, |distribution| count(&distribution.controls));
        (0..count(&self.all).saturating_add(controls)).collect()
    }

    /// Address of the peer link of a relay or a control machine.
    fn address(&self, peer: Peer) -> Option<&SocketAddr> {
        let controls = self.distribution.iter().flat_map(|distribution| &distribution.controls);
        self.all.iter().chain(controls).nth(usize::from(peer))
    }
}

/// Configuration of the exchange of observations.
#[derive(Clone, Debug)]
pub struct ObservationSetup {
    /// Whether the relay reads its snapshot at the start, and asks other relays for their observations.
    pub warm: bool,
}

/// The task that runs a relay's link, channels and files.
struct FleetTask {
    clock: Clock,
    setup: Setup,
    link: PeerLink,
    permits: Option<permit::Node>,
    repeats: Option<repeat::Node>,
    observations: Option<(ObservationNode, Observer, Snapshot)>,
    maintenance: Option<Maintenance>,
    distribution: Option<Distribution>,
    cutoffs: Cutoffs,
    inputs: mpsc::Sender<Input>,
    relay_lists: watch::Receiver<Vec<SocketAddr>>,
    socket: UdpSocket,
}

/// A relay's running part in its fleet.
pub struct FleetHandle {
    /// Updates from the runtime.
    pub updates: mpsc::UnboundedSender<FleetUpdate>,
    /// Reports restored from the snapshot of an earlier process, to be applied before the runtime resumes its messages.
    pub restored_reports: Vec<DestinationObservation>,
    /// The endpoints of the persisted destination set, in place of the configured ones.
    pub endpoints: Option<Vec<Member>>,
    /// Owns the sockets, and closes them when it is aborted.
    pub task: JoinHandle<()>,
}

/// Starts the relay's part in its fleet. Reports of other relays are sent to `inputs`. The snapshot of observations in the
/// state folder takes at most `room` bytes. `before` are the endpoints that the runtime starts with. A new list of relays
/// is received on `replaced`.
///
/// # Errors
/// If a socket cannot be opened.
pub async fn start(
    setup: &Setup, rules: &RuleParameters, (state, room): (&Path, u64), (clock, seed): (Clock, u64),
    (inputs, relay_lists): (mpsc::Sender<Input>, watch::Receiver<Vec<SocketAddr>>),
    (standing, leave): (Arc<ProcessStatus>, Arc<Notify>), before: InitialEndpoints<'_>,
) -> std::io::Result<FleetHandle> {
    let now = clock.now();
    let start = incarnation(now);
    let config = link::Config {
        me: setup.me,
        incarnation: start,
        peers: setup.peers(),
        keys: setup.keys.clone(),
        bytes_per_s: setup.bytes_per_s,
        // The permits channel detects dead relays by itself; only observations need the pings.
        pings_silent_peers: setup.observations.is_some(),
    };
    let bind = async || {
        let socket = UdpSocket::bind(setup.listen).await?;
        let bound = socket.local_addr()?;
        Ok::<_, std::io::Error>((socket, bound))
    };
    let (socket, bound) = until_works("notes", &standing, bind).await?;
    info!("listening for datagrams of other relays on {bound}");
    let control = match setup.control.as_deref() {
        Some(path) => Some(until_works("control socket", &standing, async || listen(path)).await?),
        None => None,
    };
    let link = PeerLink::new(config, now);
    let relays = count(&setup.all);
    let permits = setup.permits.map(|sharing| {
        let cold = Cold { from: rules.cold_capacity_fraction, warm_after: rules.warm_up };
        let config = permit::Config {
            me: setup.me,
            relays,
            incarnation: start,
            cold,
            sharing,
            follows: setup.repeats,
        };
        permit::Node::new(config, now)
    });
    let config = repeat::Config { me: setup.me, relays, incarnation: start };
    let repeats = setup.repeats.then(|| repeat::Node::new(config, now));
    let mut restored_reports = Vec::new();
    let observations = setup.observations.as_ref().map(|how| {
        let config =
            peers::node::Config { me: setup.me, max_observations: MAX_OBSERVATIONS, seed, asks: how.warm };
        let mut observations = ObservationNode::new(config, now);
        let snapshot = Snapshot::new(state, room, now);
        if how.warm {
            snapshot.read().into_iter().for_each(|fact| observations.restore(now, link.members(), fact));
        }
        restored_reports =
            observations.table().all_actionable(now).filter_map(|fact| report_of(&fact)).collect();
        (observations, Observer::default(), snapshot)
    });
    let maintenance = setup
        .turns
        .clone()
        .map(|turns| Maintenance::new(turns, (setup.me, relays, start), state, now, standing, leave));
    let distribution =
        setup.distribution.as_ref().map(|how| Distribution::start(how, (setup.me, seed), state, before, now));
    let (distribution, endpoints) = distribution.unzip();
    let (updates, update_receiver) = mpsc::unbounded_channel();
    let fleet_task = FleetTask {
        clock,
        setup: setup.clone(),
        link,
        permits,
        repeats,
        observations,
        maintenance,
        distribution,
        cutoffs: Cutoffs::default(),
        inputs,
        relay_lists,
        socket,
    };
    let task = tokio::spawn(fleet_task.run(update_receiver, control));
    Ok(FleetHandle { updates, restored_reports, endpoints: endpoints.flatten(), task })
}

fn count(all: &[SocketAddr]) -> Peer {
    Peer::try_from(all.len()).unwrap_or(Peer::MAX)
}

/// The enabled channels, the most urgent first.
fn channels<'a>(
    permits: &'a mut Option<permit::Node>, repeats: &'a mut Option<repeat::Node>,
    observations: &'a mut Option<(ObservationNode, Observer, Snapshot)>,
    maintenance: &'a mut Option<Maintenance>, distribution: &'a mut Option<Distribution>,
) -> Vec<&'a mut dyn Channel> {
    let permits = permits.iter_mut().map(|permits| permits as &mut dyn Channel);
    let repeats = repeats.iter_mut().map(|repeats| repeats as &mut dyn Channel);
    let maintenance = maintenance.iter_mut().map(|maintenance| &mut maintenance.node as &mut dyn Channel);
    let distribution = distribution.iter_mut().map(|part| &mut part.node as &mut dyn Channel);
    let observations = observations.iter_mut().map(|(observations, ..)| observations as &mut dyn Channel);
    permits.chain(repeats).chain(maintenance).chain(distribution).chain(observations).collect()
}

impl FleetTask {
    async fn run(
        mut self, mut update_receiver: mpsc::UnboundedReceiver<FleetUpdate>, control: Option<UnixListener>,
    ) {
        let mut buffer = [0; 512];
        let mut batch = Vec::with_capacity(UPDATE_BATCH);
        let (commands_tx, mut commands) = mpsc::channel::<Command>(MAX_PENDING_COMMANDS);
        loop {
            let now = self.clock.now();
            if let Some(maintenance) = &mut self.maintenance
                && maintenance.strain_check_due(now)
            {
                maintenance.set_strained(
                    now,
                    self.permits.as_ref().and_then(|permits| permits.strained(now, STRAIN_WAIT_US)),
                );
            }
            let maintenance_due =
                self.maintenance.as_mut().map_or(Micros::MAX, |maintenance| maintenance.run(now));
            self.send_due().await;
            let now = self.clock.now();
            let mut next = self.link.next_at(
                now,
                &channels(
                    &mut self.permits,
                    &mut self.repeats,
                    &mut self.observations,
                    &mut self.maintenance,
                    &mut self.distribution,
                ),
            );
            if let Some((observations, _, snapshot)) = &mut self.observations {
                snapshot.write_if_due(now, observations.table());
                next = next.min(snapshot.due());
            }
            if let Some(distribution) = &mut self.distribution {
                distribution.write_portion(now);
                next = next.min(distribution.due());
            }
            next = next.min(maintenance_due);
            if let Some(permits) = &self.permits {
                if self.cutoffs.due(now) {
                    self.cutoffs.log_changes(&permits.queues(now));
                }
                next = next.min(self.cutoffs.next_due());
            }
            tokio::select! {
                n = update_receiver.recv_many(&mut batch, UPDATE_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    let now = self.clock.now();
                    batch.drain(..).for_each(|update| self.apply_update(now, update));
                }
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((n, from)) = received else {
                        // Avoids a busy loop while the socket fails.
                        tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
                        continue;
                    };
                    if let Err(error) = self.receive(buffer.get(..n).unwrap_or_default()) {
                        debug!("datagram of {n} bytes from {from}: {error}");
                    }
                }
                Ok(()) = self.relay_lists.changed() => self.replace(),
                accepted = accept(control.as_ref()) => {
                    match accepted {
                        Ok(stream) => drop(tokio::spawn(serve(stream, commands_tx.clone()))),
                        Err(_) => tokio::time::sleep(SOCKET_ERROR_PAUSE).await,
                    }
                }
                Some((line, answer)) = commands.recv() => drop(answer.send(self.handle_command(&line))),
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    /// Sends due datagrams, and passes grants and retry tokens on to the runtime.
    async fn send_due(&mut self) {
        let now = self.clock.now();
        let mut out = self.link.poll(
            now,
            &mut channels(
                &mut self.permits,
                &mut self.repeats,
                &mut self.observations,
                &mut self.maintenance,
                &mut self.distribution,
            ),
        );
        if let Some(permits) = &mut self.permits {
            out.extend(permits.say_earlier(self.link.keys()));
            for grants in permits.take_given() {
                // While the runtime's queue is full grants are dropped, and the relay falls back to its own pace.
                let _ = self.inputs.try_send(Input::Permitted(grants));
            }
            for (destination, waits) in permits.take_waits() {
                let _ = self.inputs.try_send(Input::Waits(destination, waits));
            }
        }
        for tokens in self.repeats.iter_mut().flat_map(repeat::Node::take_updates).collect::<Vec<_>>() {
            // Tokens are returned to be offered again, as no other relay holds them.
            if let (Err(TrySendError::Full(Input::Repeats(tokens))), Some(repeats)) =
                (self.inputs.try_send(Input::Repeats(tokens)), &mut self.repeats)
            {
                repeats.return_update(tokens);
            }
        }
        if let Some(distribution) = &mut self.distribution {
            distribution.deliver(now, &self.inputs);
        }
        for out in out {
            if let Some(to) = self.setup.address(out.to) {
                // Errors are ignored, as a datagram may be lost in any case.
                let _ = self.socket.send_to(&out.bytes, to).await;
            }
        }
    }

    fn apply_update(&mut self, now: Micros, update: FleetUpdate) {
        match update {
            FleetUpdate::Listed(listed) => {
                for (destination, rate) in listed {
                    self.permits.iter_mut().for_each(|permits| permits.listed(destination, rate));
                    self.repeats.iter_mut().for_each(|repeats| repeats.set_rate(now, destination, rate));
                }
            }
            FleetUpdate::RequestGrants(destination, tiers) => {
                self.permits.iter_mut().for_each(|permits| permits.want(now, destination, tiers.clone()));
            }
            FleetUpdate::FirstAttempt(destination) => {
                self.repeats.iter_mut().for_each(|repeats| repeats.first_attempt(now, destination));
            }
            FleetUpdate::RequestRetryTokens(destination, tiers) => {
                self.repeats.iter_mut().for_each(|repeats| repeats.request(now, destination, tiers.clone()));
            }
            FleetUpdate::CallEnded { destination, report, seen } => {
                if let (Some(permits), Some(report)) = (&mut self.permits, report) {
                    permits.report(now, destination, &report);
                }
                if let Some((observations, witness, snapshot)) = &mut self.observations {
                    let (known, traffic) = witness.call_ended(&seen);
                    for known in known {
                        if observations.observe(seen.ended, destination, known, traffic) {
                            snapshot.write_soon(seen.ended);
                        }
                    }
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<(), DatagramError> {
        let now = self.clock.now();
        let result = self.link.receive(
            now,
            bytes,
            &mut channels(
                &mut self.permits,
                &mut self.repeats,
                &mut self.observations,
                &mut self.maintenance,
                &mut self.distribution,
            ),
        );
        if let (Err(DatagramError::Version(earlier::VERSION)), Some(permits)) = (result, &mut self.permits) {
            return permits.hear_earlier(now, bytes, self.link.keys());
        }
        if let Some((observations, _, snapshot)) = &mut self.observations {
            let received = observations.take_updates();
            if received.iter().any(|fact| fact.observed.impact(now) >= 1.0) {
                snapshot.write_soon(now);
            }
            let effective = received.iter().filter_map(|fact| observations.table().actionable(now, fact));
            for report_of in effective.filter_map(|fact| report_of(&fact)) {
                // While the runtime's queue is full reports are dropped.
                let _ = self.inputs.try_send(Input::Told(report_of));
            }
        }
        result
    }

    /// Applies a new list of relays.
    fn replace(&mut self) {
        let all = self.relay_lists.borrow_and_update().clone();
        if self.distribution.is_some() && all.len() != self.setup.all.len() {
            // The numbers of control machines follow those of relays, and [configuration] gives each a place in the topology.
            return warn!(
                "another number of relays needs a restart, as [configuration] gives each relay its place"
            );
        }
        self.setup.all = all;
        let relays = count(&self.setup.all);
        self.link.replace(self.setup.peers());
        self.permits.iter_mut().for_each(|permits| permits.replaced(relays));
        self.repeats.iter_mut().for_each(|repeats| repeats.set_relays(relays));
        if let Some((observations, ..)) = &mut self.observations {
            observations.set_members(self.link.members());
        }
        self.maintenance.iter_mut().for_each(|maintenance| maintenance.set_relay_count(relays));
        info!("the fleet has {} relays", self.setup.all.len());
    }

    /// Handles a line from the control socket: a maintenance command as a JSON object, or any other line to show the state.
    fn handle_command(&mut self, line: &str) -> Value {
        let now = self.clock.now();
        match (serde_json::from_str::<Value>(line), &mut self.maintenance) {
            (Ok(command), Some(maintenance)) if command.is_object() => {
                maintenance.handle_command(now, &command)
            }
            (Ok(command), None) if command.is_object() => {
                json!({"error": "maintenance is not enabled on this relay"})
            }
            _ => show::show(self),
        }
    }
}
