//! The connections to whom the relay calls: endpoints, and AS2 partners for their receipts. Owns the pool of
//! idle ones, and tells exactly whether a request's last byte was written. It must never send a request twice,
//! on whatever connection, nor a call's bytes while something stands against the call.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::{FutureExt, SinkExt, StreamExt};
use record::model::Evidence;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tracing::{debug, warn};

use super::clearance::Clearance;
use super::http::{AnswerCodec, HttpError, MOST_BODY, Message, Part};
use super::quiet;
use super::stream::{Stream, failed_locally};
use crate::exchange::{Clock, OutboundCall};
use crate::interface::{Micros, Outcome, TargetId};

type Connection = Framed<Stream, AnswerCodec>;

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 16;
/// What does not belong to an answer may follow it for so long; until then its connection is not used again.
const SETTLES: Micros = 2_000;
/// Where an answer's first line tells all, the rest may take so long before the connection is given up ...
const REST_WITHIN: Micros = 100_000;
/// ... and so long where it tells all but a wait: cut off sooner, one that comes in pieces would not be heard.
const REFUSAL_WITHIN: Micros = 500_000;
/// A connection that this machine could not make is tried again after this at first, in microseconds.
const LOCAL_RETRY: Micros = 2_000;
/// An idle connection is retired when this part of its idle life is left.
const RETIRE_PART: Micros = 10;

/// Whom a connection leads to: an address, and the endpoint that was told to listen there. The address may pass
/// to another endpoint, to which no connection of the old one leads.
pub type Place = (Arc<str>, Option<TargetId>);

/// Idle connections, by whom they lead to. Invariant: none has a call out.
#[derive(Default)]
struct Pool {
    idle: HashMap<Place, Vec<(Connection, Micros)>>,
    count: usize,
}

/// The connections to endpoints, on which one request at a time is answered.
#[derive(Clone)]
pub struct Connections {
    clock: Clock,
    clearance: Clearance,
    connect_within: Micros,
    idle_for: Micros,
    most_idle: Arc<AtomicUsize>,
    pool: Arc<Mutex<Pool>>,
}

/// How far a request and its answer came.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The request's last byte went out.
    pub written: bool,
    /// The status in the answer's first line.
    pub first: Option<u16>,
    /// It went out on a new connection.
    pub opened: bool,
    /// That line tells the outcome; what follows is awaited only for the connection's sake.
    pub first_tells: bool,
    /// The wait that the head of an answer told which turned the call away.
    pub wait: Option<Micros>,
    /// A receipt that proves the request processed.
    pub receipt: Option<Evidence>,
}

impl Progress {
    /// Delivered, whatever becomes of the rest of the answer.
    pub fn delivered(&self) -> bool {
        self.first_tells && self.first == Some(200)
    }

    /// What was heard.
    pub fn evidence(self) -> Evidence {
        let line = self.first.map(|status| Evidence::Status(format!("HTTP/1.1 {status}")));
        self.receipt.or(line).unwrap_or_default()
    }
}

impl Connections {
    /// With the settings' limits on connecting and on idle connections, of which `most_idle` are kept.
    pub fn new(clock: Clock, connect_within: Micros, idle_limit: Micros, most_idle: usize) -> Self {
        let idle_for = idle_limit - idle_limit / RETIRE_PART;
        let most_idle = Arc::new(AtomicUsize::new(most_idle));
        let clearance = Clearance::new(clock);
        Connections { clock, clearance, connect_within, idle_for, most_idle, pool: Arc::default() }
    }

    /// What stands against calls.
    pub fn clearance(&self) -> &Clearance {
        &self.clearance
    }

    /// Writes a request once, on one connection, and reads the answer; `progress` tells how far both came. It is made
    /// once the connection is there; where it is the request of `call`, not a byte goes while something stands against
    /// that, and not the last one either. Whoever drops this in between ends the connection.
    ///
    /// # Errors
    /// The outcome, where no whole answer came.
    pub async fn ask(
        &self, place: &Place, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress,
    ) -> Result<Message, Outcome> {
        let (mut connection, since) = match self.idle(place).await {
            Some(idle) => idle,
            None => {
                progress.opened = true;
                let stream = self.connect(&place.0).await?;
                (Framed::new(stream, AnswerCodec::new(MOST_BODY)), self.clock.now())
            }
        };
        let withdrawn = async {
            match call {
                Some(call) => self.clearance.withdrawn(call).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(withdrawn);
        // Guards against what happened while the connection came up, or a wait for one: a wait that another answer
        // told, a drain, the end of this process, of the message's time or of its window.
        if withdrawn.as_mut().now_or_never().is_some() {
            self.keep(place, connection, since);
            return Err(Outcome::Skipped);
        }
        if connection.feed(&request()).await.is_err() {
            return Err(Outcome::ConnectFailed);
        }
        // The same while the other side does not read: a request counts from its last byte.
        let flushed = tokio::select! {
            biased;
            () = &mut withdrawn => Err(Outcome::Skipped),
            flushed = connection.flush() => flushed.map_err(|_| Outcome::ConnectFailed),
        };
        match flushed {
            Err(outcome) if !connection.write_buffer().is_empty() => return Err(outcome),
            _ => progress.written = true,
        }
        let mut by = Micros::MAX;
        loop {
            match tokio::time::timeout_at(self.clock.instant(by), connection.next()).await {
                Ok(Some(Ok(Part::First(status)))) => {
                    progress.first = Some(status);
                    if progress.first_tells {
                        let rest = if matches!(status, 429 | 503) { REFUSAL_WITHIN } else { REST_WITHIN };
                        by = self.clock.now() + rest;
                    }
                }
                Ok(Some(Ok(Part::Head(head)))) => {
                    progress.wait = full(&head).filter(|_| matches!(progress.first, Some(429 | 503)));
                }
                Ok(Some(Ok(Part::Whole(answer)))) => {
                    if answer.keep_alive && connection.read_buffer().is_empty() {
                        self.keep(place, connection, self.clock.now());
                    }
                    return Ok(answer);
                }
                // Nothing of an answer came.
                Ok(None) => return Err(Outcome::Reset),
                Ok(Some(Err(HttpError::Io(_))))
                    if progress.first.is_none() && connection.read_buffer().is_empty() =>
                {
                    return Err(Outcome::Reset);
                }
                Ok(Some(Err(_))) | Err(_) => return Err(Outcome::Spoilt),
            }
        }
    }

    /// Makes a connection. A failure of this machine's own is tried again; where it lasts, nothing was sent and nothing
    /// learned of the other side.
    async fn connect(&self, address: &str) -> Result<Stream, Outcome> {
        let by = self.clock.now() + self.connect_within;
        let mut interval = LOCAL_RETRY;
        loop {
            let connect = TcpStream::connect(address);
            match tokio::time::timeout_at(self.clock.instant(by), connect).await {
                Ok(Ok(socket)) => {
                    let _ = socket.set_nodelay(true);
                    return Ok(Stream::new(socket));
                }
                Ok(Err(error)) if failed_locally(&error) => {
                    let again = self.clock.now() + interval;
                    if again >= by {
                        warn!(endpoint = address, "no connection can be made from here: {error}");
                        return Err(Outcome::Skipped);
                    }
                    tokio::time::sleep_until(self.clock.instant(again)).await;
                    interval *= 2;
                }
                Ok(Err(error)) => {
                    debug!(endpoint = address, "connect: {error}");
                    return Err(Outcome::ConnectFailed);
                }
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// An idle connection that the other side has not ended and on which nothing is left to read, and since when it
    /// is idle.
    async fn idle(&self, place: &Place) -> Option<(Connection, Micros)> {
        loop {
            let (connection, since) = {
                let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
                let taken = pool.idle.get_mut(place)?.pop()?;
                pool.count -= 1;
                taken
            };
            tokio::time::sleep_until(self.clock.instant(since + SETTLES)).await;
            // Guards against a call on a connection that the endpoint has closed, which would end as a reset,
            // and against taking what was left on it for the call's answer.
            if self.clock.now() - since < self.idle_for && quiet(connection.get_ref()) {
                return Some((connection, since));
            }
        }
    }

    fn keep(&self, place: &Place, connection: Connection, since: Micros) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.count >= self.most_idle.load(Ordering::Relaxed) {
            return;
        }
        let idle = pool.idle.entry(place.clone()).or_default();
        if idle.len() < MOST_IDLE {
            idle.push((connection, since));
            pool.count += 1;
        }
    }

    /// Keeps so many idle connections from now on; closes all where that is none.
    pub fn keep_at_most(&self, most: usize) {
        self.most_idle.store(most, Ordering::Relaxed);
        if most == 0 {
            *self.pool.lock().unwrap_or_else(PoisonError::into_inner) = Pool::default();
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, target: TargetId) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.idle.retain(|(_, leads_to), _| *leads_to != Some(target));
        pool.count = pool.idle.values().map(Vec::len).sum();
    }

    /// Closes the connections that have been idle for too long; tells when to look again.
    pub fn retire(&self) -> Micros {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let (now, idle_for) = (self.clock.now(), self.idle_for);
        pool.idle.retain(|_, idle| {
            idle.retain(|(_, since)| now - since < idle_for);
            !idle.is_empty()
        });
        pool.count = pool.idle.values().map(Vec::len).sum();
        now + (idle_for / RETIRE_PART).max(1000)
    }
}

/// The wait that an answer tells, if it tells one.
pub fn full(answer: &Message) -> Option<Micros> {
    let wait = answer.header("Retry-After").and_then(|text| text.parse::<f64>().ok());
    // A day at the most: it guards the sums made with it.
    let wait = wait.filter(|wait| wait.is_finite() && *wait > 0.0).map(|wait| wait.min(86_400.0));
    wait.map(|wait| (wait * 1e6).ceil() as Micros)
}
