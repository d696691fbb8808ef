//! The relay in its fleet, on sockets: one socket for the link between relays, with permits of stewards, facts of peers,
//! turns and the distribution of the destination set on it, a snapshot of facts and files of turns and of the set beside
//! the journal, and a control socket that shows all of it. Owns these sockets and files. It must never make a message
//! wait; what stewards and peers say reaches the module as events, and what it means is the module's to decide.

mod control;
mod cuts;
mod distribution;
mod kept;
mod show;
mod snapshot;
mod told;
mod turning;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ::fleet::keys::Keys;
use ::fleet::link::{self, Channel, Link};
use ::fleet::note::NoteError;
use ::fleet::{Peer, incarnation};
use peers::node::Node as Facts;
use peers::witness::Witness;
use permits::coordinator::ColdStart;
use permits::{Sharing, node as permit, v2};
use repeats::node as repeat;
use serde_json::{Value, json};
use tokio::net::{UdpSocket, UnixListener};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tracing::{debug, info, warn};

use crate::exchange::{Clock, Member};
use crate::input::Input;
use crate::interface::{Hearsay, Micros, RuleFigures};
use crate::retry::until_works;
use crate::standing::Standing;

use control::{ASKED, Asked, accept, listen, serve};
use cuts::Cuts;
use distribution::Distribution;
pub use distribution::{Before, DistributionSetup};
use snapshot::Snapshot;
use told::hearsay;
pub use told::{ToFleet, ended};
use turning::Turning;
pub use turning::TurnsSetup;

/// Facts of its own and of others each that are known at the most.
const MOST_FACTS: usize = 4096;
/// Things told by the runtime that are read between two looks at what is due.
const BATCH: usize = 64;
/// Where messages of any worth have to wait for so long at a steward, no relay goes out for work.
const STRAIN: Micros = 1_000_000;
/// Pause after an error of a socket that is read or accepted from.
const AFTER_ERROR: Duration = Duration::from_millis(5);
/// How a relay is set up in its fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its number.
    pub me: Peer,
    /// Where notes come.
    pub listen: SocketAddr,
    /// Where each relay hears notes, by number.
    pub all: Vec<SocketAddr>,
    /// By which notes are signed.
    pub keys: Keys,
    /// Bytes that it sends in a second at the most, permits aside.
    pub bytes_per_s: u32,
    /// How limits are shared, where they are.
    pub permits: Option<Sharing>,
    /// Relays share one budget for repeats.
    pub repeats: bool,
    /// Its part among peers that tell each other what they see.
    pub facts: Option<FactsSetup>,
    /// Its part among relays that take turns out for work.
    pub turns: Option<TurnsSetup>,
    /// Its part in the distribution of the destination set by control machines.
    pub distribution: Option<DistributionSetup>,
    /// Where it answers an operator.
    pub control: Option<PathBuf>,
}

impl Setup {
    /// The numbers of all that notes come from: relays, then control machines.
    fn peers(&self) -> Vec<Peer> {
        let controls = self.distribution.as_ref().map_or(0, |distribution| count(&distribution.controls));
        (0..count(&self.all).saturating_add(controls)).collect()
    }

    /// Where a relay or a control machine hears notes.
    fn address(&self, peer: Peer) -> Option<&SocketAddr> {
        let controls = self.distribution.iter().flat_map(|distribution| &distribution.controls);
        self.all.iter().chain(controls).nth(usize::from(peer))
    }
}

/// How a relay shares facts.
#[derive(Clone, Debug)]
pub struct FactsSetup {
    /// It asks at its start, and reads its snapshot.
    pub warm: bool,
}

/// What a relay's link, channels and files are.
struct Shell {
    clock: Clock,
    setup: Setup,
    link: Link,
    permits: Option<permit::Node>,
    repeats: Option<repeat::Node>,
    facts: Option<(Facts, Witness, Snapshot)>,
    turning: Option<Turning>,
    distribution: Option<Distribution>,
    cuts: Cuts,
    inputs: mpsc::Sender<Input>,
    replaced: watch::Receiver<Vec<SocketAddr>>,
    socket: UdpSocket,
}

/// A relay's part in its fleet that has started.
pub struct Started {
    /// Takes what the runtime tells.
    pub tell: mpsc::UnboundedSender<ToFleet>,
    /// What an earlier process of this relay kept of what was said, for before it takes on again what is owed.
    pub said: Vec<Hearsay>,
    /// The endpoints of the destination set as an earlier process kept it, in place of the configured ones.
    pub endpoints: Option<Vec<Member>>,
    /// Has the sockets, and lets go of them when it is aborted.
    pub task: JoinHandle<()>,
}

/// Starts the relay's part in its fleet; what others say goes into `inputs`. The snapshot of facts in the state folder takes
/// at most `room` bytes. `before` are the endpoints that the runtime starts with. Another list of relays comes by `replaced`.
///
/// # Errors
/// Where a socket is not to be had.
pub async fn start(
    setup: &Setup, rules: &RuleFigures, (state, room): (&Path, u64), (clock, seed): (Clock, u64),
    (inputs, replaced): (mpsc::Sender<Input>, watch::Receiver<Vec<SocketAddr>>),
    (standing, leave): (Arc<Standing>, Arc<Notify>), before: Before<'_>,
) -> std::io::Result<Started> {
    let now = clock.now();
    let start = incarnation(now);
    let config = link::Config {
        me: setup.me,
        incarnation: start,
        peers: setup.peers(),
        keys: setup.keys.clone(),
        bytes_per_s: setup.bytes_per_s,
        // Permits tell who is there by themselves; only facts need to know more.
        asks: setup.facts.is_some(),
    };
    let bind = async || {
        let socket = UdpSocket::bind(setup.listen).await?;
        let bound = socket.local_addr()?;
        Ok::<_, std::io::Error>((socket, bound))
    };
    let (socket, bound) = until_works("notes", &standing, bind).await?;
    info!("notes between relays on {bound}");
    let control = match setup.control.as_deref() {
        Some(path) => Some(until_works("control socket", &standing, async || listen(path)).await?),
        None => None,
    };
    let link = Link::new(config, now);
    let relays = count(&setup.all);
    let permits = setup.permits.map(|sharing| {
        let cold = ColdStart { initial_fraction: rules.cold_from, warm_after: rules.cold };
        let config = permit::Config {
            me: setup.me,
            relays,
            incarnation: start,
            cold,
            sharing,
            follow_success_rate: setup.repeats,
        };
        permit::Node::new(config, now)
    });
    let config = repeat::Config { me: setup.me, relays, incarnation: start };
    let repeats = setup.repeats.then(|| repeat::Node::new(config, now));
    let mut kept = Vec::new();
    let facts = setup.facts.as_ref().map(|how| {
        let config = peers::node::Config { me: setup.me, most_facts: MOST_FACTS, seed, asks: how.warm };
        let mut facts = Facts::new(config, now);
        let snapshot = Snapshot::new(state, room, now);
        if how.warm {
            snapshot.read().into_iter().for_each(|fact| facts.restore(now, link.members(), fact));
        }
        kept = facts.ledger().acted_on(now).filter_map(|fact| hearsay(&fact)).collect();
        (facts, Witness::default(), snapshot)
    });
    let turning = setup
        .turns
        .clone()
        .map(|turns| Turning::new(turns, (setup.me, relays, start), state, now, standing, leave));
    let distribution =
        setup.distribution.as_ref().map(|how| Distribution::start(how, (setup.me, seed), state, before, now));
    let (distribution, endpoints) = distribution.unzip();
    let (tell, told) = mpsc::unbounded_channel();
    let shell = Shell {
        clock,
        setup: setup.clone(),
        link,
        permits,
        repeats,
        facts,
        turning,
        distribution,
        cuts: Cuts::default(),
        inputs,
        replaced,
        socket,
    };
    let task = tokio::spawn(shell.run(told, control));
    Ok(Started { tell, said: kept, endpoints: endpoints.flatten(), task })
}

fn count(all: &[SocketAddr]) -> Peer {
    Peer::try_from(all.len()).unwrap_or(Peer::MAX)
}

/// The channels that there are, the most urgent first.
fn channels<'a>(
    permits: &'a mut Option<permit::Node>, repeats: &'a mut Option<repeat::Node>,
    facts: &'a mut Option<(Facts, Witness, Snapshot)>, turning: &'a mut Option<Turning>,
    distribution: &'a mut Option<Distribution>,
) -> Vec<&'a mut dyn Channel> {
    let permits = permits.iter_mut().map(|permits| permits as &mut dyn Channel);
    let repeats = repeats.iter_mut().map(|repeats| repeats as &mut dyn Channel);
    let turns = turning.iter_mut().map(|turning| &mut turning.node as &mut dyn Channel);
    let distribution = distribution.iter_mut().map(|part| &mut part.node as &mut dyn Channel);
    let facts = facts.iter_mut().map(|(facts, ..)| facts as &mut dyn Channel);
    permits.chain(repeats).chain(turns).chain(distribution).chain(facts).collect()
}

impl Shell {
    async fn run(mut self, mut told: mpsc::UnboundedReceiver<ToFleet>, control: Option<UnixListener>) {
        let mut buffer = [0; 512];
        let mut batch = Vec::with_capacity(BATCH);
        let (ask, mut asked) = mpsc::channel::<Asked>(ASKED);
        loop {
            let now = self.clock.now();
            if let Some(turning) = &mut self.turning
                && turning.looks_for_strain(now)
            {
                turning.strain(
                    now,
                    self.permits.as_ref().and_then(|permits| permits.find_strained(now, STRAIN)),
                );
            }
            let look = self.turning.as_mut().map_or(Micros::MAX, |turning| turning.look(now));
            self.say().await;
            let now = self.clock.now();
            let mut next = self.link.next_at(
                now,
                &channels(
                    &mut self.permits,
                    &mut self.repeats,
                    &mut self.facts,
                    &mut self.turning,
                    &mut self.distribution,
                ),
            );
            if let Some((facts, _, snapshot)) = &mut self.facts {
                snapshot.keep_if_due(now, facts.ledger());
                next = next.min(snapshot.due());
            }
            if let Some(distribution) = &mut self.distribution {
                distribution.keep(now);
                next = next.min(distribution.due());
            }
            next = next.min(look);
            if let Some(permits) = &self.permits {
                if self.cuts.due(now) {
                    self.cuts.look(&permits.queues(now));
                }
                next = next.min(self.cuts.next());
            }
            tokio::select! {
                n = told.recv_many(&mut batch, BATCH) => {
                    if n == 0 {
                        return;
                    }
                    let now = self.clock.now();
                    batch.drain(..).for_each(|said| self.told(now, said));
                }
                came = self.socket.recv_from(&mut buffer) => {
                    let Ok((n, from)) = came else {
                        // Guards against a spin while the socket fails.
                        tokio::time::sleep(AFTER_ERROR).await;
                        continue;
                    };
                    if let Err(error) = self.hear(buffer.get(..n).unwrap_or_default()) {
                        debug!("note of {n} bytes from {from}: {error}");
                    }
                }
                Ok(()) = self.replaced.changed() => self.replace(),
                came = accept(control.as_ref()) => {
                    match came {
                        Ok(stream) => drop(tokio::spawn(serve(stream, ask.clone()))),
                        Err(_) => tokio::time::sleep(AFTER_ERROR).await,
                    }
                }
                Some((line, answer)) = asked.recv() => drop(answer.send(self.asked(&line))),
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    /// Sends what is due, and hands on what stewards said.
    async fn say(&mut self) {
        let now = self.clock.now();
        let mut out = self.link.poll(
            now,
            &mut channels(
                &mut self.permits,
                &mut self.repeats,
                &mut self.facts,
                &mut self.turning,
                &mut self.distribution,
            ),
        );
        if let Some(permits) = &mut self.permits {
            out.extend(permits.take_v2_datagrams(self.link.keys()));
            for given in permits.take_received_grants() {
                // A relay that is behind with its work hears less; its own pace holds then.
                let _ = self.inputs.try_send(Input::Permitted(given));
            }
            for (destination, waits) in permits.take_wait_times() {
                let _ = self.inputs.try_send(Input::Waits(destination, waits));
            }
        }
        for handed in self.repeats.iter_mut().flat_map(repeat::Node::take_handed).collect::<Vec<_>>() {
            // What the relay is behind with is handed over later: nobody else has it.
            if let (Err(TrySendError::Full(Input::Repeats(handed))), Some(repeats)) =
                (self.inputs.try_send(Input::Repeats(handed)), &mut self.repeats)
            {
                repeats.not_taken(handed);
            }
        }
        if let Some(distribution) = &mut self.distribution {
            distribution.deliver(now, &self.inputs);
        }
        for out in out {
            if let Some(to) = self.setup.address(out.to) {
                // A note may be lost in any case.
                let _ = self.socket.send_to(&out.bytes, to).await;
            }
        }
    }

    fn told(&mut self, now: Micros, said: ToFleet) {
        match said {
            ToFleet::Listed(listed) => {
                for (destination, rate) in listed {
                    self.permits.iter_mut().for_each(|permits| permits.set_listed_rate(destination, rate));
                    self.repeats.iter_mut().for_each(|repeats| repeats.listed(now, destination, rate));
                }
            }
            ToFleet::Want(destination, tiers) => {
                self.permits
                    .iter_mut()
                    .for_each(|permits| permits.set_waiting(now, destination, tiers.clone()));
            }
            ToFleet::First(destination) => {
                self.repeats.iter_mut().for_each(|repeats| repeats.first(now, destination));
            }
            ToFleet::WantRepeats(destination, tiers) => {
                self.repeats.iter_mut().for_each(|repeats| repeats.want(now, destination, tiers.clone()));
            }
            ToFleet::Ended { destination, report, seen } => {
                if let (Some(permits), Some(report)) = (&mut self.permits, report) {
                    permits.report(now, destination, &report);
                }
                if let Some((facts, witness, snapshot)) = &mut self.facts {
                    let (known, traffic) = witness.saw(&seen);
                    for known in known {
                        if facts.observe(seen.ended, destination, known, traffic) {
                            snapshot.soon(seen.ended);
                        }
                    }
                }
            }
        }
    }

    fn hear(&mut self, bytes: &[u8]) -> Result<(), NoteError> {
        let now = self.clock.now();
        let taken = self.link.receive(
            now,
            bytes,
            &mut channels(
                &mut self.permits,
                &mut self.repeats,
                &mut self.facts,
                &mut self.turning,
                &mut self.distribution,
            ),
        );
        if let (Err(NoteError::Version(v2::VERSION)), Some(permits)) = (taken, &mut self.permits) {
            return permits.receive_v2(now, bytes, self.link.keys());
        }
        if let Some((facts, _, snapshot)) = &mut self.facts {
            let news = facts.take_news();
            if news.iter().any(|fact| fact.known.differs(now) >= 1.0) {
                snapshot.soon(now);
            }
            let heeded = news.iter().filter_map(|fact| facts.ledger().heeded(now, fact));
            for hearsay in heeded.filter_map(|fact| hearsay(&fact)) {
                // A relay that is behind with its work hears less of others.
                let _ = self.inputs.try_send(Input::Told(hearsay));
            }
        }
        taken
    }

    /// Takes on another list of relays.
    fn replace(&mut self) {
        let all = self.replaced.borrow_and_update().clone();
        if self.distribution.is_some() && all.len() != self.setup.all.len() {
            // The numbers of control machines follow those of relays, and each relay has its place in the file.
            return warn!(
                "another number of relays needs a restart, as [configuration] gives each its place"
            );
        }
        self.setup.all = all;
        let relays = count(&self.setup.all);
        self.link.replace(self.setup.peers());
        self.permits.iter_mut().for_each(|permits| permits.set_relay_count(relays));
        self.repeats.iter_mut().for_each(|repeats| repeats.replaced(relays));
        if let Some((facts, ..)) = &mut self.facts {
            facts.replaced(self.link.members());
        }
        self.turning.iter_mut().for_each(|turning| turning.replaced(relays));
        info!("{} relays in all", self.setup.all.len());
    }

    /// An operator's line: an order to the fleet's turns as a JSON object, else all that there is to show.
    fn asked(&mut self, line: &str) -> Value {
        let now = self.clock.now();
        match (serde_json::from_str::<Value>(line), &mut self.turning) {
            (Ok(order), Some(turning)) if order.is_object() => turning.asked(now, &order),
            (Ok(order), None) if order.is_object() => json!({"error": "this relay takes no turns"}),
            _ => show::show(self),
        }
    }
}
