//! The new process's side of a handover. It locks the state folder if it is free, or has its owner hand over. Afterwards it
//! serves the link to the old process, from which the ends of calls and the requests of clients arrive as ordinary inputs.
//!
//! Invariants: this process writes to the folder only once it owns it, and uses the state of the old process only if that one
//! has released the folder.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::{SinkExt, StreamExt};
use record::model::Evidence;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use super::link::{self, Link, LinkMessage};
use super::steps::{NewAction, NewEvent, NewProcess};
use super::{PROTOCOL_VERSION, STEP_TIMEOUT};
use crate::exchange::{CallEnd, Clock};
use crate::handed::{CallInFlight, HandoverState};
use crate::input::Input;
use crate::interface::{LimitReport, Micros, Outcome};
use crate::retry::retry_transient;
use crate::standing::ProcessStatus;
use crate::store::{FolderLock, JournalPosition, journal_position, lock_folder};

/// Interval between attempts to lock the folder or to reach its owner, in microseconds.
const POLL_INTERVAL: Micros = 20_000;

/// The result of a start.
pub struct Takeover {
    /// Ownership of the folder.
    pub owner: FolderLock,
    /// The state of the old process and the link to it. Without them there is only the journal.
    pub handed_over: Option<(Box<HandoverState>, Link)>,
}

/// Waits until this process owns the folder, and obtains the state of its last owner if that one still runs and hands over.
/// Publishes the reason for waiting in `status`.
///
/// # Errors
/// If the folder cannot be used.
pub async fn take_over(
    folder: &Path, name: &str, clock: Clock, status: &ProcessStatus,
) -> std::io::Result<Takeover> {
    let mut new = NewProcess::Searching;
    let mut known: Option<(Box<HandoverState>, Link)> = None;
    loop {
        let event = match new {
            NewProcess::Searching | NewProcess::Locking => match own_when_possible(folder, status).await? {
                Some(owner) => {
                    // A third process may have owned the folder in between and written to it, which makes the state stale.
                    let up_to_date = match &known {
                        Some((handed, _)) if new == NewProcess::Locking => {
                            handed.journal == mark_when_possible(folder, status).await?
                        }
                        _ => true,
                    };
                    let action =
                        new.handle(if up_to_date { NewEvent::Owned } else { NewEvent::OwnedWithStaleState });
                    let handed_over = known.filter(|_| action == NewAction::Serve { with_state: true });
                    return Ok(Takeover { owner, handed_over });
                }
                // A released folder is free at once, unless a third process has locked it first.
                None if new == NewProcess::Locking => NewEvent::OwnedByOther,
                None => match link::connect(folder).await {
                    Ok(link) => {
                        let received = request_state(link, name, clock, status).await;
                        known = received;
                        new.handle(NewEvent::Connected);
                        if known.is_some() { NewEvent::StateReceived } else { NewEvent::Lost }
                    }
                    Err(error) => {
                        status.set_waiting_reason(&format!("another process has the state folder: {error}"));
                        pause(clock).await;
                        continue;
                    }
                },
            },
            NewProcess::Requesting | NewProcess::Accepting | NewProcess::Owner { .. } => match &mut known {
                Some((_, link)) => accept(link, clock).await,
                None => NewEvent::Lost,
            },
        };
        if new.handle(event) == NewAction::Retry {
            known = None;
            pause(clock).await;
        }
    }
}

async fn own_when_possible(folder: &Path, status: &ProcessStatus) -> std::io::Result<Option<FolderLock>> {
    retry_transient("state folder", status, async || lock_folder(folder)).await
}

async fn mark_when_possible(folder: &Path, status: &ProcessStatus) -> std::io::Result<JournalPosition> {
    retry_transient("state folder", status, async || journal_position(folder)).await
}

async fn pause(clock: Clock) {
    tokio::time::sleep_until(clock.instant(clock.now() + POLL_INTERVAL)).await;
}

/// Requests the state of the other process.
async fn request_state(
    mut link: Link, name: &str, clock: Clock, status: &ProcessStatus,
) -> Option<(Box<HandoverState>, Link)> {
    let hello = LinkMessage::Hello {
        version: PROTOCOL_VERSION,
        name: name.into(),
        understands_heard: true,
        understands_answered: true,
    };
    link.send(&hello).await.ok()?;
    let by = clock.instant(clock.now() + 2 * STEP_TIMEOUT);
    match tokio::time::timeout_at(by, link.next()).await {
        Ok(Some(Ok(LinkMessage::State(handed)))) => Some((handed, link)),
        Ok(Some(Ok(LinkMessage::Rejected(why)))) => {
            status.set_waiting_reason(&format!("the other process does not hand over: {why}"));
            None
        }
        Ok(Some(Err(error))) => {
            status.set_waiting_reason(&format!("the other process sent an invalid message: {error}"));
            None
        }
        Ok(_) | Err(_) => {
            status.set_waiting_reason("the other process does not answer");
            None
        }
    }
}

/// Accepts the state, and waits until the other process has released the folder.
async fn accept(link: &mut Link, clock: Clock) -> NewEvent {
    let by = clock.instant(clock.now() + 2 * STEP_TIMEOUT);
    let answer = async {
        link.send(&LinkMessage::Accept).await.ok()?;
        link.next().await?.ok()
    };
    match tokio::time::timeout_at(by, answer).await {
        Ok(Some(LinkMessage::Released)) => NewEvent::Released,
        _ => NewEvent::Lost,
    }
}

/// Maximum number of clients of the new process while the old one still has `old` clients: the rest of the relay's maximum, but
/// at least a third of it, so that clients need not wait for those of the old process to leave.
pub fn client_limit(max: usize, old: usize) -> usize {
    max.saturating_sub(old).max(max / 3)
}

/// A message to the old process.
enum Reply {
    Answer(u64, crate::exchange::Answer),
    Cancel(String, u32),
}

/// Serves the link until the old process has ended: forwards its inputs, and sends back answers and cancellations. `clients` is
/// the maximum number of clients of this process, which grows as those of the old one leave. Calls that are in flight when the
/// link breaks may have run.
pub async fn serve_link(
    mut link: Link, calls: Vec<(CallInFlight, oneshot::Receiver<()>)>, inputs: mpsc::Sender<Input>,
    clients: Arc<AtomicUsize>, most_clients: usize,
) {
    let (replies, mut outgoing) = mpsc::unbounded_channel();
    let mut in_flight: HashMap<(String, u32), CallInFlight> = HashMap::new();
    for (call, cancelled) in calls {
        let (id, attempt, replies) = (call.id.clone(), call.attempt, replies.clone());
        in_flight.insert((id.clone(), attempt), call);
        tokio::spawn(async move {
            if cancelled.await.is_ok() {
                let _ = replies.send(Reply::Cancel(id, attempt));
            }
        });
    }
    let _ = link.send(&LinkMessage::Serving).await;
    loop {
        let message = tokio::select! {
        Some(reply) = outgoing.recv() => {
        let message = match reply {
        Reply::Answer(number, answer) => LinkMessage::Answer(number, answer),
        Reply::Cancel(id, attempt) => LinkMessage::Cancel(id, attempt),
        };
        let _ = link.send(&message).await;
        continue;
        }
        message = link.next() => message,
        };
        let input = match message {
            Some(Ok(LinkMessage::Submitted(number, exchange))) => {
                let (reply, answer) = oneshot::channel();
                let replies = replies.clone();
                tokio::spawn(async move {
                    if let Ok(answer) = answer.await {
                        let _ = replies.send(Reply::Answer(number, answer));
                    }
                });
                Input::Submitted(Arc::new(exchange), None, reply)
            }
            Some(Ok(LinkMessage::Ended(end))) => {
                in_flight.remove(&(end.id.clone(), end.attempt));
                Input::CallEnded(end)
            }
            Some(Ok(LinkMessage::Heard(heard))) => Input::ProvisionalDecision(heard),
            Some(Ok(LinkMessage::Answered(answered))) => Input::ProvisionalAnswer(answered),
            Some(Ok(LinkMessage::Withdrawn(id))) => Input::Withdrawn(id),
            Some(Ok(LinkMessage::Acknowledged(ids))) => Input::ReportsAcknowledged(ids),
            Some(Ok(LinkMessage::Clients(count))) => {
                clients.store(client_limit(most_clients, count), Ordering::Relaxed);
                continue;
            }
            Some(Ok(_)) => continue,
            Some(Err(error)) => {
                warn!("link to the old process: {error}");
                break;
            }
            None => break,
        };
        if inputs.send(input).await.is_err() {
            return;
        }
    }
    info!("the old process has gone; {} of its calls were still in flight", in_flight.len());
    clients.store(most_clients, Ordering::Relaxed);
    for ((id, attempt), CallInFlight { target, began, .. }) in in_flight {
        let (report, evidence) = (LimitReport::default(), Evidence::default());
        let outcome = Outcome::Reset;
        let end = CallEnd {
            id,
            attempt,
            target,
            outcome,
            decision: outcome.decision(),
            began,
            answered: None,
            report,
            evidence,
        };
        if inputs.send(Input::CallEnded(end)).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_new_process_accepts_clients_while_the_old_one_has_the_maximum() {
        assert_eq!((client_limit(192, 0), client_limit(192, 100)), (192, 92));
        assert_eq!((client_limit(192, 192), client_limit(192, usize::MAX)), (64, 64));
    }
}
