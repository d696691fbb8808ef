//! The relay among stewards, on sockets: notes by UDP that ask for permits, give them and tell how calls ended. Owns
//! that socket. It must never make a message wait; a steward that says nothing is the module's to do without.

use std::net::SocketAddr;

use peers::note::Keys;
use permits::node::{Config, Node};
use permits::note::Sign;
use permits::steward::{Cold, Report};
use permits::{Peer, Tiers};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tracing::{debug, info};

use crate::exchange::{CallEnd, Clock, Input};
use crate::interface::{Micros, Outcome, RuleFigures};

/// Incarnations count tenths of seconds from the start of 2025.
const EPOCH: Micros = 1_735_689_600_000_000;
/// Datagrams read between two looks at what is due.
const BATCH: usize = 64;

/// How a relay is set up among stewards.
#[derive(Clone, Debug)]
pub struct Permitting {
    /// Its number.
    pub me: Peer,
    /// Where notes come.
    pub listen: SocketAddr,
    /// Where each relay of the fleet hears notes, by number.
    pub all: Vec<SocketAddr>,
    /// By which notes are signed.
    pub keys: Keys,
}

/// What the runtime tells.
#[derive(Debug)]
pub enum ToStewards {
    /// Destinations and the rates that the directory lists for them, in calls a second.
    Listed(Vec<(i64, f64)>),
    /// What waits for a destination beyond the permits held.
    Want(i64, Tiers),
    /// How a call to a destination ended.
    Report(i64, Report),
}

/// What a call showed of its destination, if anything.
pub fn report(end: &CallEnd) -> Option<Report> {
    let (sign, wait) = match end.outcome {
        Outcome::Ok => (Sign::Well, None),
        Outcome::Full(wait) => (Sign::Refused, wait),
        Outcome::Crowded => (Sign::Crowded, None),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => (Sign::Failed, None),
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Skipped => return None,
    };
    Some(Report { sign, began: end.began, wait, limit: end.report.limit })
}

/// Starts the relay's part among stewards; what the runtime tells goes into the sender, what stewards say into `inputs`.
/// The task has the socket, and lets go of it when it is aborted.
///
/// # Errors
/// Where the socket is not to be had.
pub async fn start(
    permitting: &Permitting, rules: &RuleFigures, clock: Clock, inputs: mpsc::Sender<Input>,
) -> std::io::Result<(mpsc::UnboundedSender<ToStewards>, JoinHandle<()>)> {
    let socket = UdpSocket::bind(permitting.listen).await?;
    info!("notes to stewards on {}", socket.local_addr()?);
    let node = Node::new(Config {
        me: permitting.me,
        relays: Peer::try_from(permitting.all.len()).unwrap_or(Peer::MAX),
        incarnation: u32::try_from((clock.now() - EPOCH) / 100_000).unwrap_or(0),
        keys: permitting.keys.clone(),
        cold: Cold { from: rules.cold_from, warm_after: rules.cold },
    });
    let (tell, told) = mpsc::unbounded_channel();
    let all = permitting.all.clone();
    let task = tokio::spawn(run(node, clock, socket, all, told, inputs));
    Ok((tell, task))
}

async fn run(
    mut node: Node, clock: Clock, socket: UdpSocket, all: Vec<SocketAddr>,
    mut told: mpsc::UnboundedReceiver<ToStewards>, inputs: mpsc::Sender<Input>,
) {
    let mut buffer = [0; 512];
    let mut said = Vec::with_capacity(BATCH);
    loop {
        let (out, given) = node.poll(clock.now());
        for given in given {
            // A relay that is behind with its work hears less; its own pace holds then.
            let _ = inputs.try_send(Input::Permitted(given));
        }
        for out in out {
            if let Some(to) = all.get(usize::from(out.to)) {
                // A note may be lost in any case.
                let _ = socket.send_to(&out.bytes, to).await;
            }
        }
        let next = node.next_at(clock.now());
        tokio::select! {
            n = told.recv_many(&mut said, BATCH) => {
                if n == 0 {
                    return;
                }
                let now = clock.now();
                for said in said.drain(..) {
                    match said {
                        ToStewards::Listed(listed) => {
                            listed.into_iter().for_each(|(destination, rate)| node.listed(destination, rate));
                        }
                        ToStewards::Want(destination, tiers) => node.want(now, destination, tiers),
                        ToStewards::Report(destination, report) => node.report(now, destination, &report),
                    }
                }
            }
            came = socket.recv_from(&mut buffer) => {
                let Ok((n, from)) = came else { continue };
                if let Err(error) = node.receive(clock.now(), buffer.get(..n).unwrap_or_default()) {
                    debug!("note of {n} bytes from {from}: {error}");
                }
            }
            () = tokio::time::sleep_until(clock.instant(next)) => {}
        }
    }
}
