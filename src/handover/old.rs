//! The old process's side of a handover. It offers its state to a process that connects. Once that one has accepted, it
//! finishes its calls in flight and its clients' connections, and passes their results to the new process.
//!
//! Invariants: after that it neither writes to the state folder nor starts a call, and it answers every request of a client.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use tokio::net::UnixListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use super::link::{Codec, Link, LinkMessage};
use super::steps::{OldAction, OldEvent, OldProcess};
use super::{PROTOCOL_VERSION, STEP_TIMEOUT};
use crate::exchange::{Answer, Clock};
use crate::handed::{Offer, RemainingCalls};
use crate::input::Input;
use crate::interface::Micros;
use crate::net::inbound::Inbound;
use crate::net::stream::Stream;

/// Delay before the next attempt after a connection could not be accepted, in microseconds.
const ACCEPT_RETRY_DELAY: Micros = 250_000;
/// Interval at which the remaining client connections are counted, in microseconds.
const COUNT_INTERVAL: Micros = 50_000;
/// Time after which idle client connections no longer keep the process running, in microseconds.
const IDLE_CLIENT_TIMEOUT: Micros = 4_000_000;
/// Answer to requests that no process owns, as the new process has ended.
const SUCCESSOR_GONE: &str = "the process that took over is gone";
/// Time beyond the deadline of the last call for which a stopping process waits for its calls, in microseconds.
const STOP_MARGIN: Micros = 600_000;

/// The process that has taken over.
#[derive(Debug)]
pub struct Successor {
    /// The link to it.
    pub link: Link,
    /// Whether it understands [`LinkMessage::Heard`].
    pub understands_heard: bool,
    /// Whether it understands [`LinkMessage::Answered`].
    pub understands_answered: bool,
    /// When the runtime stopped.
    pub stopped: Micros,
}

/// Accepts connections of processes that want to take over, one after the other, until one has taken over. That one is sent to
/// `successors`.
pub async fn offer(
    listener: UnixListener, name: String, clock: Clock, inputs: mpsc::Sender<Input>,
    successors: mpsc::Sender<Successor>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("handover: accept: {error}");
                tokio::time::sleep_until(clock.instant(clock.now() + ACCEPT_RETRY_DELAY)).await;
                continue;
            }
        };
        let mut link = Framed::new(Stream::new(stream), Codec);
        let by = clock.instant(clock.now() + STEP_TIMEOUT);
        let hello = tokio::time::timeout_at(by, link.next()).await;
        let Ok(Some(Ok(LinkMessage::Hello {
            version,
            name: other,
            understands_heard,
            understands_answered,
        }))) = hello
        else {
            continue;
        };
        let compatible = version == PROTOCOL_VERSION && other == name;
        let why = (!compatible).then(|| {
            format!("here are {name:?} and version {PROTOCOL_VERSION}, not {other:?} and {version}")
        });
        if let Some(why) = why {
            warn!("handover rejected: {why}");
            let _ = link.send(&LinkMessage::Rejected(why)).await;
            continue;
        }
        let mut old = OldProcess::Serving;
        let mut action = old.handle(OldEvent::Hello);
        let (state, received) = oneshot::channel();
        let (accept, accepted) = oneshot::channel();
        if action != OldAction::Offer
            || inputs.send(Input::HandoverOffered(Offer { state, accepted })).await.is_err()
        {
            return;
        }
        // From here on the runtime is stopped, until the other process accepts or `accept` is dropped.
        let stopped = clock.now();
        let by = clock.instant(stopped + STEP_TIMEOUT);
        let answer = async {
            let state = received.await.ok()?;
            link.send(&LinkMessage::State(state)).await.ok()?;
            match link.next().await {
                Some(Ok(LinkMessage::Accept)) => Some(()),
                _ => None,
            }
        };
        let answered = tokio::time::timeout_at(by, answer).await.ok().flatten();
        action = old.handle(if answered.is_some() { OldEvent::Accepted } else { OldEvent::Lost });
        if action == OldAction::Release {
            // The next process that connects is to find the new process's listener.
            drop(listener);
            if accept.send(()).is_ok() {
                let successor = Successor { link, understands_heard, understands_answered, stopped };
                let _ = successors.send(successor).await;
            }
            return;
        }
        warn!("the process that was to take over was lost; this one goes on");
    }
}

/// Finishes the calls in flight and the client connections once the new process owns the folder, until none are left or the
/// process is to stop. Logs how long the relay stood still.
pub async fn finish(
    successor: Successor, mut inputs: mpsc::Receiver<Input>, calls: RemainingCalls, front: Arc<Inbound>,
    clock: Clock,
) {
    let Successor { mut link, understands_heard, understands_answered, stopped } = successor;
    let mut in_flight: HashMap<(String, u32), Option<oneshot::Sender<()>>> =
        calls.into_iter().map(|(call, cancel)| ((call.id, call.attempt), cancel)).collect();
    let mut waiting: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let (mut requests, mut clients, mut successor_gone) = (0, usize::MAX, false);
    let mut until = Micros::MAX;
    let idle_until = clock.now() + IDLE_CLIENT_TIMEOUT;
    let mut next_count = clock.now();
    loop {
        let now = clock.now();
        if now >= next_count {
            next_count = now + COUNT_INTERVAL;
            let count = front.open_connections();
            if count != clients && !successor_gone {
                clients = count;
                let _ = link.send(&LinkMessage::Clients(count)).await;
            }
            let idle = front.pending_requests() == 0 && (count == 0 || now >= idle_until);
            if idle && in_flight.is_empty() || now >= until {
                info!(
                    "process ends with {} calls in flight and {count} client connections open",
                    in_flight.len()
                );
                return;
            }
        }
        tokio::select! {
        input = inputs.recv() => match input {
        None => return,
        Some(Input::Submitted(_, _, reply)) if successor_gone => {
        drop(reply.send(Answer::Refused(SUCCESSOR_GONE.into(), None)));
        }
        Some(Input::Submitted(exchange, _, reply)) => {
        requests += 1;
        waiting.insert(requests, reply);
        let _ = link.send(&LinkMessage::Submitted(requests, (*exchange).clone())).await;
        }
        Some(Input::ProvisionalDecision(heard)) => if understands_heard {
            let _ = link.send(&LinkMessage::Heard(heard)).await;
        },
        Some(Input::ProvisionalAnswer(answered)) => if understands_answered {
            let _ = link.send(&LinkMessage::Answered(answered)).await;
        },
        Some(Input::CallEnded(end)) => {
        in_flight.remove(&(end.id.clone(), end.attempt));
        let _ = link.send(&LinkMessage::Ended(end)).await;
        }
        Some(Input::Withdrawn(id)) => {
        let _ = link.send(&LinkMessage::Withdrawn(id)).await;
        }
        Some(Input::ReportsAcknowledged(ids)) => {
        let _ = link.send(&LinkMessage::Acknowledged(ids)).await;
        }
        Some(Input::Stop(last)) => until = last + STOP_MARGIN,
        // The new process receives these from their sources: its own watch, peer link and configuration.
        Some(
            Input::DestinationsUpdated(..)
            | Input::PeerReport(_)
            | Input::Granted(_)
            | Input::MinimumWaits(..)
            | Input::RetryTokens(_)
            | Input::SettingsReloaded(_),
        ) => {}
        // A relay with a record or AS2 does not hand over.
        Some(Input::RecordsWritten(_) | Input::Receipt(..)) => {}
        // The listener for further processes is closed, so that none can offer.
        Some(Input::HandoverOffered(_)) => {}
        },
        message = link.next(), if !successor_gone => match message {
        Some(Ok(LinkMessage::Serving)) => {
        info!("superseded: the relay stood still for {} us", clock.now() - stopped);
        }
        Some(Ok(LinkMessage::Answer(number, answer))) => {
        if let Some(reply) = waiting.remove(&number) {
        drop(reply.send(answer));
        }
        }
        Some(Ok(LinkMessage::Cancel(id, attempt))) => {
        if let Some(cancel) = in_flight.get_mut(&(id, attempt)).and_then(Option::take) {
        let _ = cancel.send(());
        }
        }
        Some(Ok(_)) => {}
        Some(Err(_)) | None => {
        warn!("the process that took over is gone; the messages it accepted wait in the state folder");
        successor_gone = true;
        // The next owner of the folder treats these calls as calls that may have run, and may retry some.
        for cancel in in_flight.values_mut().filter_map(Option::take) {
        let _ = cancel.send(());
        }
        for (_, reply) in waiting.drain() {
        drop(reply.send(Answer::Refused(SUCCESSOR_GONE.into(), None)));
        }
        }
        },
        () = tokio::time::sleep_until(clock.instant(next_count)) => {}
        }
    }
}
