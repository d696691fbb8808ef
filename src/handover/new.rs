//! The new process's side: it finds the state folder free, or has its owner hand all over; afterwards it keeps the link
//! to the old process, whose calls and clients come over it as the inputs that they always were. It must never touch
//! the folder before it owns it, nor take for true what the old one told before it let go.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::{SinkExt, StreamExt};
use record::model::Evidence;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use super::link::{self, Link, Word};
use super::steps::{New, NewAction, NewEvent};
use super::{PATIENCE, VERSION};
use crate::exchange::{CallEnd, Clock};
use crate::handed::{Handed, OutNow};
use crate::input::Input;
use crate::interface::{Micros, Outcome, Report};
use crate::retry::retry_transient;
use crate::standing::Standing;
use crate::store::{Mark, Owner, mark, own};

/// The folder, or who has it, is looked for so often.
const LOOK_AGAIN: Micros = 20_000;

/// What a start came by.
pub struct Taken {
    /// The folder.
    pub owner: Owner,
    /// What the old process told, and the link to it; without it there is the journal alone.
    pub told: Option<(Box<Handed>, Link)>,
}

/// Waits until the folder is this process's, with what its last owner knew if that one still runs and hands over. Why it
/// waits is told by `standing`.
///
/// # Errors
/// Where the folder cannot be used.
pub async fn take_over(
    folder: &Path, name: &str, clock: Clock, standing: &Standing,
) -> std::io::Result<Taken> {
    let mut new = New::Looking;
    let mut known: Option<(Box<Handed>, Link)> = None;
    loop {
        let event = match new {
            New::Looking | New::Taking => match own_when_possible(folder, standing).await? {
                Some(owner) => {
                    // Whoever had the folder in between has written there: what was told is old then.
                    let as_told = match &known {
                        Some((handed, _)) if new == New::Taking => {
                            handed.journal == mark_when_possible(folder, standing).await?
                        }
                        _ => true,
                    };
                    let action = new.take(if as_told { NewEvent::Owned } else { NewEvent::OwnedLater });
                    let told = known.filter(|_| action == NewAction::Serve { told: true });
                    return Ok(Taken { owner, told });
                }
                // What was let go of is free at once, unless a third process was faster.
                None if new == New::Taking => NewEvent::Forestalled,
                None => match link::call(folder).await {
                    Ok(link) => {
                        let hello = ask(link, name, clock, standing).await;
                        known = hello;
                        new.take(NewEvent::Linked);
                        if known.is_some() { NewEvent::Told } else { NewEvent::Lost }
                    }
                    Err(error) => {
                        standing.waits_for(&format!("another process has the state folder: {error}"));
                        pause(clock).await;
                        continue;
                    }
                },
            },
            New::Asking | New::Accepting | New::Owner { .. } => match &mut known {
                Some((_, link)) => accept(link, clock).await,
                None => NewEvent::Lost,
            },
        };
        if new.take(event) == NewAction::LookAgain {
            known = None;
            pause(clock).await;
        }
    }
}

async fn own_when_possible(folder: &Path, standing: &Standing) -> std::io::Result<Option<Owner>> {
    retry_transient("state folder", standing, async || own(folder)).await
}

async fn mark_when_possible(folder: &Path, standing: &Standing) -> std::io::Result<Mark> {
    retry_transient("state folder", standing, async || mark(folder)).await
}

async fn pause(clock: Clock) {
    tokio::time::sleep_until(clock.instant(clock.now() + LOOK_AGAIN)).await;
}

/// Says hello; what the other tells.
async fn ask(mut link: Link, name: &str, clock: Clock, standing: &Standing) -> Option<(Box<Handed>, Link)> {
    let hello = Word::Hello { version: VERSION, name: name.into(), hears: true };
    link.send(&hello).await.ok()?;
    let by = clock.instant(clock.now() + 2 * PATIENCE);
    match tokio::time::timeout_at(by, link.next()).await {
        Ok(Some(Ok(Word::State(handed)))) => Some((handed, link)),
        Ok(Some(Ok(Word::TurnedAway(why)))) => {
            standing.waits_for(&format!("the other process does not hand over: {why}"));
            None
        }
        Ok(Some(Err(error))) => {
            standing.waits_for(&format!("the other process cannot be understood: {error}"));
            None
        }
        Ok(_) | Err(_) => {
            standing.waits_for("the other process does not answer");
            None
        }
    }
}

/// Accepts; whether the other has let go.
async fn accept(link: &mut Link, clock: Clock) -> NewEvent {
    let by = clock.instant(clock.now() + 2 * PATIENCE);
    let answer = async {
        link.send(&Word::Accept).await.ok()?;
        link.next().await?.ok()
    };
    match tokio::time::timeout_at(by, answer).await {
        Ok(Some(Word::LetGo)) => NewEvent::LetGo,
        _ => NewEvent::Lost,
    }
}

/// How many clients the new process may have while the old one still has so many: what is left of the places of one
/// relay, but a third of them at the least, as none may wait unread for the old one's to go.
pub fn places(most: usize, old: usize) -> usize {
    most.saturating_sub(old).max(most / 3)
}

/// What is said to the old process.
enum Reply {
    Answer(u64, crate::exchange::Answer),
    CallOff(String, u32),
}

/// Keeps the link until the old process has gone: brings its inputs over, and takes answers and calls that are called
/// off back. `clients` is how many clients this process may have; it grows as those of the old one go. The calls that
/// are out when the link breaks may have run.
pub async fn keep(
    mut link: Link, out: Vec<(OutNow, oneshot::Receiver<()>)>, inputs: mpsc::Sender<Input>,
    clients: Arc<AtomicUsize>, most_clients: usize,
) {
    let (say, mut said) = mpsc::unbounded_channel();
    let mut left: HashMap<(String, u32), OutNow> = HashMap::new();
    for (call, off) in out {
        let (id, attempt, say) = (call.id.clone(), call.attempt, say.clone());
        left.insert((id.clone(), attempt), call);
        tokio::spawn(async move {
            if off.await.is_ok() {
                let _ = say.send(Reply::CallOff(id, attempt));
            }
        });
    }
    let _ = link.send(&Word::Serving).await;
    loop {
        let word = tokio::select! {
            Some(reply) = said.recv() => {
                let word = match reply {
                    Reply::Answer(number, answer) => Word::Answer(number, answer),
                    Reply::CallOff(id, attempt) => Word::CallOff(id, attempt),
                };
                let _ = link.send(&word).await;
                continue;
            }
            word = link.next() => word,
        };
        let input = match word {
            Some(Ok(Word::Handed(number, exchange))) => {
                let (reply, answer) = oneshot::channel();
                let say = say.clone();
                tokio::spawn(async move {
                    if let Ok(answer) = answer.await {
                        let _ = say.send(Reply::Answer(number, answer));
                    }
                });
                Input::Submitted(Arc::new(exchange), None, reply)
            }
            Some(Ok(Word::Ended(end))) => {
                left.remove(&(end.id.clone(), end.attempt));
                Input::CallEnded(end)
            }
            Some(Ok(Word::Heard(heard))) => Input::ProvisionalDecision(heard),
            Some(Ok(Word::Withdrawn(id))) => Input::Withdrawn(id),
            Some(Ok(Word::Acknowledged(ids))) => Input::ReportsAcknowledged(ids),
            Some(Ok(Word::Clients(count))) => {
                clients.store(places(most_clients, count), Ordering::Relaxed);
                continue;
            }
            Some(Ok(_)) => continue,
            Some(Err(error)) => {
                warn!("the link to the old process: {error}");
                break;
            }
            None => break,
        };
        if inputs.send(input).await.is_err() {
            return;
        }
    }
    info!("the old process has gone; {} of its calls were still out", left.len());
    clients.store(most_clients, Ordering::Relaxed);
    for ((id, attempt), OutNow { target, began, .. }) in left {
        let (report, evidence) = (Report::default(), Evidence::default());
        let outcome = Outcome::Reset;
        let end = CallEnd {
            id,
            attempt,
            target,
            outcome,
            decision: outcome.verdict(),
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
    fn a_new_process_has_places_for_clients_even_while_the_old_one_has_them_all() {
        assert_eq!((places(192, 0), places(192, 100)), (192, 92));
        assert_eq!((places(192, 192), places(192, usize::MAX)), (64, 64));
    }
}
