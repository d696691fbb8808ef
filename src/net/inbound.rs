//! The client's side of the platform's front: accepts connections, reads what is handed in, answers. Owns the
//! listening socket and every client connection. It must never choose an endpoint or hold a message back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio_util::codec::Framed;

use super::http::{Codec, HttpError, Message, Start};
use crate::as2::{As2, MOST_MESSAGE};
use crate::exchange::{Answer, Clock, Exchange, Input};
use crate::interface::Micros;

/// A body may have so many bytes.
pub const MOST_BODY: usize = 64 * 1024;
/// An id may have so many bytes.
const MOST_ID: usize = 64;
/// A connection on which nothing came for so long is closed.
const IDLE: Micros = 90_000_000;

/// What the client's side knows of the site: names, as the settings have them.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Tenants; empty at a site without.
    pub tenants: Vec<String>,
}

/// What is spoken on a listening socket.
pub enum Front {
    /// The platform's protocol.
    Platform(Vocabulary),
    /// AS2.
    As2(Arc<As2>),
}

/// What all connections of a socket share.
pub struct Inbound {
    /// The clock.
    pub clock: Clock,
    /// What is spoken here.
    pub front: Front,
    /// To the runtime.
    pub inputs: mpsc::Sender<Input>,
    /// Requests that were read and not answered yet.
    pub busy: AtomicUsize,
    /// Set once the store has been replayed.
    pub ready: AtomicBool,
    /// True once the process is to stop: answers then end their connections.
    pub stopping: watch::Receiver<bool>,
}

/// Accepts connections, at most `most` at a time, until the process ends.
pub async fn serve(listener: TcpListener, inbound: Arc<Inbound>, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let inbound = inbound.clone();
                tokio::spawn(async move {
                    connection(stream, &inbound).await;
                    drop(place);
                });
            }
            // Guards against a spin while descriptors are short: the others go on.
            Err(error) => {
                eprintln!("tulipfall: accept: {error}");
                tokio::time::sleep_until(inbound.clock.instant(inbound.clock.now() + 10_000)).await;
            }
        }
    }
}

impl Inbound {
    /// Waits until every request that was read has its answer, or until `by`. It guards the answers against
    /// the end of the process.
    pub async fn answered(&self, by: Micros) {
        while self.busy.load(Ordering::Relaxed) > 0 && self.clock.now() < by {
            tokio::time::sleep_until(self.clock.instant(self.clock.now() + 1000)).await;
        }
    }
}

async fn connection(stream: TcpStream, inbound: &Inbound) {
    let _ = stream.set_nodelay(true);
    let most = if matches!(inbound.front, Front::As2(_)) { MOST_MESSAGE } else { MOST_BODY };
    let mut framed = Framed::new(stream, Codec::server(most));
    let mut stopping = inbound.stopping.clone();
    loop {
        let idle = inbound.clock.instant(inbound.clock.now() + IDLE);
        let next = tokio::select! {
            next = framed.next() => next,
            () = tokio::time::sleep_until(idle) => return,
        };
        let (mut answer, taken) = match next {
            None | Some(Err(HttpError::Io(_))) => return,
            Some(Err(error)) => {
                let status = if matches!(error, HttpError::TooLarge(_)) { 413 } else { 400 };
                let mut answer = Message::response(status, error.to_string());
                answer.keep_alive = false;
                let _ = framed.send(&answer).await;
                return;
            }
            Some(Ok(request)) => {
                let keep_alive = request.keep_alive;
                inbound.busy.fetch_add(1, Ordering::Relaxed);
                let (mut answer, taken) = route(request, inbound).await;
                answer.keep_alive &= keep_alive;
                (answer, taken)
            }
        };
        answer.keep_alive &= !*stopping.borrow_and_update();
        let sent = framed.send(&answer).await;
        inbound.busy.fetch_sub(1, Ordering::Relaxed);
        if sent.is_err() {
            if let Some(id) = taken {
                let _ = inbound.inputs.send(Input::Withdrawn(id)).await;
            }
            return;
        }
        if !answer.keep_alive {
            return;
        }
    }
}

/// The answer, and the id of the message that it says was taken on.
async fn route(request: Message, inbound: &Inbound) -> (Message, Option<String>) {
    let Start::Request(method, path) = &request.start else {
        return (Message::response(400, "no request"), None);
    };
    let path = path.split('?').next().unwrap_or_default();
    match (method.as_str(), path) {
        ("GET", "/health/live") => (Message::response(200, "live"), None),
        ("GET", "/health/ready") if inbound.ready.load(Ordering::Relaxed) => {
            (Message::response(200, "ready"), None)
        }
        ("GET", "/health/ready") => (Message::response(503, "replaying"), None),
        ("POST", _) => match &inbound.front {
            Front::Platform(names) => match read(&request, path, inbound.clock.now(), names) {
                Err((status, why)) => (Message::response(status, why), None),
                Ok(exchange) => hand_in(exchange, inbound).await,
            },
            Front::As2(front) => (front.answer(&request).await, None),
        },
        _ => (Message::response(405, "POST hands in a message"), None),
    }
}

async fn hand_in(exchange: Exchange, inbound: &Inbound) -> (Message, Option<String>) {
    let id = exchange.id.clone();
    let (reply, answer) = oneshot::channel();
    if inbound.inputs.send(Input::Handed(Arc::new(exchange), None, reply)).await.is_err() {
        return (Message::response(503, "stopped"), None);
    }
    match answer.await {
        Ok(Answer::Taken) => (Message::response(202, ""), Some(id)),
        // Whoever hands in what is held already must not withdraw it by going away.
        Ok(Answer::TakenBefore) => (Message::response(202, ""), None),
        Ok(Answer::Refused(why, after)) => {
            let answer = Message::response(503, why);
            let answer = match after {
                Some(after) => answer.with("Retry-After", format!("{:.3}", after as f64 / 1e6)),
                None => answer,
            };
            (answer, None)
        }
        Ok(Answer::Failed(why)) => (Message::response(500, why), None),
        Err(_) => (Message::response(503, "stopped"), None),
    }
}

fn read(
    request: &Message, path: &str, now: Micros, names: &Vocabulary,
) -> Result<Exchange, (u16, &'static str)> {
    let class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = names.classes.iter().position(|name| name == class).ok_or((404, "unknown class"))?;
    let id = request.header("X-Correlation-Id").filter(|id| !id.is_empty() && id.len() <= MOST_ID);
    let id = id.ok_or((400, "X-Correlation-Id is missing, empty or too long"))?;
    let tenant = match request.header("X-Account") {
        Some(name) => {
            Some(names.tenants.iter().position(|known| known == name).ok_or((403, "unknown X-Account"))?)
        }
        None if names.tenants.is_empty() => None,
        None => return Err((400, "X-Account is missing")),
    };
    let left = request.header("X-Time-Left").and_then(span);
    let left = left.ok_or((400, "X-Time-Left is not a number with m or u"))?;
    let extras = request.header("X-Addressing").unwrap_or_default();
    let pairs = extras.split([',', ';', ' ']).filter_map(|pair| pair.split_once('='));
    let destination = pairs.filter(|(name, _)| *name == "dest").find_map(|(_, value)| value.parse().ok());
    let destination = destination.ok_or((400, "X-Addressing names no dest"))?;
    let due = now.saturating_add(left);
    Ok(Exchange { id: id.to_string(), class, tenant, due, destination, body: request.body.clone() })
}

/// A number and a unit: `m` milliseconds, `u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.trim().parse().ok()?;
    // A day at the most: it guards the sums made with it.
    (number.is_finite() && number >= 0.0).then(|| (number * scale).min(86_400e6) as Micros)
}
