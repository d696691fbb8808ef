//! The relay among its peers, on sockets: notes by UDP, what its own calls show, what peers say, a snapshot beside
//! the journal, and a control socket that shows all of it. Owns these sockets and that file. It must never make a
//! message wait; what peers say reaches the module as one more event, and what it means is the module's to decide.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use peers::fact::{Fact, Known, Peer};
use peers::node::{Config, Node};
use peers::note::Keys;
use peers::witness::{Seen, Sign, Witness};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UdpSocket, UnixListener, UnixStream};
use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};

use crate::exchange::{CallEnd, Clock, Input};
use crate::interface::{DestinationId, Hearsay, Micros, Outcome, Word};

/// The snapshot is written so often, and so soon after a trouble that began or ended, or news of one.
const SNAPSHOT_EVERY: Micros = 2_000_000;
const SNAPSHOT_SOON: Micros = 100_000;
/// Facts of its own and of others each that are known at the most.
const MOST_FACTS: usize = 4096;
/// What a fact takes in the snapshot at the most, in bytes.
const FACT_BYTES: u64 = 192;

/// How a relay is set up among its peers.
#[derive(Clone, Debug)]
pub struct Peering {
    /// Its number.
    pub me: Peer,
    /// Where notes come.
    pub listen: SocketAddr,
    /// Where each relay of the tier hears notes, by number.
    pub all: Vec<SocketAddr>,
    /// Bytes that it sends in a second at the most.
    pub bytes_per_s: u32,
    /// By which notes are signed.
    pub keys: Keys,
    /// It asks at its start, and reads its snapshot.
    pub warm: bool,
    /// Where it answers an operator.
    pub control: Option<PathBuf>,
}

/// What a call showed, for the witness.
pub fn seen(destination: i64, end: &CallEnd, now: Micros) -> Seen {
    let sign = match end.outcome {
        Outcome::Ok => Sign::Well,
        Outcome::Full(wait) => Sign::Refused(wait),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => Sign::Failed,
        Outcome::Crowded | Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => Sign::Nothing,
    };
    Seen { destination, began: end.began, ended: now, sign, limit: end.report.limit }
}

/// A fact as the module hears of it. A wait binds who was told it, a pace and connections are each relay's own, and a
/// limit comes with the first answer, where a wrong one would hold a partner back: these are for operators alone.
fn hearsay(fact: &Fact) -> Option<Hearsay> {
    let word = match fact.known {
        Known::Trouble { since, back: None, .. } => Word::Shut(since),
        Known::Trouble { back, .. } => Word::Answers(back),
        Known::Good { .. } => Word::Answers(None),
        Known::Answer { mean, .. } => Word::Took(mean),
        Known::Wait { .. } | Known::Pace { .. } | Known::Limit { .. } | Known::Connections { .. } => {
            return None;
        }
    };
    Some(Hearsay { destination: DestinationId(fact.destination), at: fact.at, word })
}

/// What a relay's sockets and files are.
struct Shell {
    clock: Clock,
    node: Node,
    witness: Witness,
    inputs: mpsc::Sender<Input>,
    all: Vec<SocketAddr>,
    replaced: watch::Receiver<Vec<SocketAddr>>,
    socket: UdpSocket,
    snapshot: PathBuf,
    snapshot_most: usize,
    snapshot_at: Micros,
}

/// Starts the relay's part among its peers; what its calls show goes into the sender, what peers say into `inputs`.
/// Also what an earlier process of this relay kept, for before it takes on again what is owed. The snapshot in the
/// state folder takes at most `room` bytes. Another set of relays comes by `replaced`.
///
/// # Errors
/// Where a socket is not to be had.
pub async fn start(
    peering: &Peering, (state, room): (&Path, u64), clock: Clock, seed: u64, inputs: mpsc::Sender<Input>,
    replaced: watch::Receiver<Vec<SocketAddr>>,
) -> std::io::Result<(mpsc::UnboundedSender<Seen>, Vec<Hearsay>)> {
    let now = clock.now();
    let config = Config {
        me: peering.me,
        incarnation: u32::try_from(now / 1_000_000).unwrap_or(u32::MAX),
        peers: (0..peering.all.len()).filter_map(|n| Peer::try_from(n).ok()).collect(),
        keys: peering.keys.clone(),
        bytes_per_s: peering.bytes_per_s,
        most_facts: MOST_FACTS,
        seed,
        asks: peering.warm,
    };
    let socket = UdpSocket::bind(peering.listen).await?;
    info!("notes between relays on {}", socket.local_addr()?);
    let control = match &peering.control {
        None => None,
        Some(path) => {
            // What an earlier process left there answers nobody.
            match std::fs::remove_file(path) {
                Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
                _ => {}
            }
            Some(UnixListener::bind(path)?)
        }
    };
    let mut node = Node::new(config, now);
    let snapshot = state.join("facts");
    if peering.warm {
        match std::fs::read(&snapshot).map(|bytes| serde_json::from_slice::<Vec<Fact>>(&bytes)) {
            Ok(Ok(kept)) => kept.into_iter().for_each(|fact| node.restore(now, fact)),
            Ok(Err(error)) => warn!("{}: {error}; nothing is taken from it", snapshot.display()),
            Err(_) => {}
        }
    }
    let kept = node.ledger().acted_on(now).filter_map(|fact| hearsay(&fact)).collect();
    let (tell, told) = mpsc::unbounded_channel();
    let shell = Shell {
        clock,
        node,
        witness: Witness::default(),
        inputs,
        all: peering.all.clone(),
        replaced,
        socket,
        snapshot,
        snapshot_most: usize::try_from(room / FACT_BYTES).unwrap_or(usize::MAX),
        snapshot_at: now + SNAPSHOT_EVERY,
    };
    tokio::spawn(shell.run(told, control));
    Ok((tell, kept))
}

impl Shell {
    async fn run(mut self, mut told: mpsc::UnboundedReceiver<Seen>, control: Option<UnixListener>) {
        let mut buffer = [0; 512];
        loop {
            let now = self.clock.now();
            for out in self.node.poll(now) {
                if let Some(to) = self.all.get(usize::from(out.to)) {
                    // A note may be lost in any case.
                    let _ = self.socket.send_to(&out.bytes, to).await;
                }
            }
            if now >= self.snapshot_at {
                self.snapshot_at = now + SNAPSHOT_EVERY;
                self.keep(now);
            }
            let next = self.node.next_at(now).min(self.snapshot_at);
            tokio::select! {
                seen = told.recv() => match seen {
                    Some(seen) => {
                        let (known, traffic) = self.witness.saw(&seen);
                        for known in known {
                            if self.node.observe(seen.ended, seen.destination, known, traffic) {
                                self.snapshot_at = self.snapshot_at.min(seen.ended + SNAPSHOT_SOON);
                            }
                        }
                    }
                    None => return,
                },
                came = self.socket.recv_from(&mut buffer) => {
                    let Ok((n, from)) = came else { continue };
                    let now = self.clock.now();
                    match self.node.receive(now, buffer.get(..n).unwrap_or_default()) {
                        Ok(news) => {
                            if news.iter().any(|fact| fact.known.differs(now) >= 1.0) {
                                self.snapshot_at = self.snapshot_at.min(now + SNAPSHOT_SOON);
                            }
                            let heeded = news.iter().filter_map(|fact| self.node.ledger().heeded(now, fact));
                            for hearsay in heeded.filter_map(|fact| hearsay(&fact)) {
                                // A relay that is behind with its work hears less of others.
                                let _ = self.inputs.try_send(Input::Told(hearsay));
                            }
                        }
                        Err(error) => debug!("note of {n} bytes from {from}: {error}"),
                    }
                }
                Ok(()) = self.replaced.changed() => {
                    self.all = self.replaced.borrow_and_update().clone();
                    self.node.replace((0..self.all.len()).filter_map(|n| Peer::try_from(n).ok()).collect());
                    info!("{} relays in all", self.all.len());
                }
                asked = accept(control.as_ref()) => {
                    if let Ok(stream) = asked {
                        let answer = self.show();
                        tokio::spawn(reply(stream, answer));
                    }
                }
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    /// Writes what is acted on beside the journal; a kill leaves the old one or the new one.
    fn keep(&self, now: Micros) {
        let worth_it = |fact: &Fact| fact.known.differs(now) >= 1.0;
        let mut kept: Vec<Fact> = self.node.ledger().acted_on(now).filter(worth_it).collect();
        kept.sort_by(|a, b| b.known.differs(now).total_cmp(&a.known.differs(now)));
        kept.truncate(self.snapshot_most);
        let beside = self.snapshot.with_extension("new");
        let written = serde_json::to_vec(&kept).map_err(std::io::Error::other);
        let written = written.and_then(|bytes| std::fs::write(&beside, bytes));
        if let Err(error) = written.and_then(|()| std::fs::rename(&beside, &self.snapshot)) {
            warn!("{}: {error}", self.snapshot.display());
        }
    }

    /// All that an operator may ask for.
    fn show(&self) -> Value {
        let now = self.clock.now();
        let ago = |at: Micros| (now - at) as f64 / 1e6;
        let peers: Vec<Value> = self
            .node
            .members()
            .all()
            .map(|(peer, member)| {
                json!({"peer": peer, "standing": format!("{:?}", member.standing).to_lowercase(),
                    "incarnation": member.incarnation, "heard_s_ago": member.heard.map(ago),
                    "trust": self.node.ledger().trust.of(peer)})
            })
            .collect();
        let facts: Vec<Value> = self
            .node
            .ledger()
            .all(now)
            .map(|(fact, weight)| {
                json!({"destination": fact.destination, "known": fact.known, "seen_s_ago": ago(fact.at),
                    "by": fact.source, "hops": fact.hops, "weight": weight})
            })
            .collect();
        let counts = self.node.counts();
        json!({"peers": peers, "facts": facts, "sent": counts.sent, "bytes": counts.bytes,
            "taken": counts.taken, "ignored": counts.ignored, "news": counts.news})
    }
}

async fn accept(control: Option<&UnixListener>) -> std::io::Result<UnixStream> {
    match control {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

/// One line asks, one line answers.
async fn reply(stream: UnixStream, answer: Value) {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    if stream.read_line(&mut line).await.is_ok() {
        let _ = stream.write_all(format!("{answer}\n").as_bytes()).await;
    }
}
