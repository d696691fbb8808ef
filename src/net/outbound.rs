//! The endpoints' side of the platform's front: one attempt becomes one HTTP call. Owns the connections to
//! endpoints and tells exactly whether a call's last byte was written. It must never send a call twice, on
//! whatever connection, and never choose an endpoint.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::http::{AnswerCodec, HttpError, Message, Part, Start};
use super::quiet;
use crate::as2::As2;
use crate::exchange::{CallEnd, Clock, Input, OutboundCall};
use crate::interface::{Micros, Outcome, Report, TargetId};
use crate::runtime::Caller;

type Connection = Framed<TcpStream, AnswerCodec>;

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 16;
/// What does not belong to an answer may follow it for so long; until then its connection is not used again.
const SETTLES: Micros = 2_000;
/// Where an answer's first line tells all, the rest may take so long before the connection is given up.
const REST_WITHIN: Micros = 100_000;
/// An idle connection is retired when this part of its idle life is left.
const RETIRE_PART: Micros = 10;
/// A report with a greater figure makes no sense.
const MOST_REPORTED: f64 = 1e6;
/// An answer's body means nothing; a longer one ends the connection.
const MOST_BODY: usize = 64 * 1024;

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
    connect_within: Micros,
    idle_for: Micros,
    most_idle: usize,
    pool: Arc<Mutex<Pool>>,
}

/// How far a request and its answer came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// The request's last byte went out.
    pub written: bool,
    /// The status in the answer's first line.
    pub first: Option<u16>,
    /// It went out on a new connection.
    pub opened: bool,
    /// That line tells the outcome; what follows is awaited only for the connection's sake.
    pub first_tells: bool,
}

impl Progress {
    /// Delivered, whatever becomes of the rest of the answer.
    fn delivered(&self) -> bool {
        self.first_tells && self.first == Some(200)
    }
}

/// Makes calls.
#[derive(Clone)]
pub struct Outbound {
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    connections: Connections,
    as2: Option<Arc<As2>>,
}

impl Outbound {
    /// Calls go by the platform's protocol, but for the destinations that AS2 partners serve.
    pub fn new(
        clock: Clock, inputs: mpsc::Sender<Input>, connections: Connections, as2: Option<Arc<As2>>,
    ) -> Self {
        Outbound { clock, inputs, connections, as2 }
    }

    async fn run(self, call: OutboundCall, called_off: oneshot::Receiver<()>) {
        let began = self.clock.now();
        let deadline = self.clock.instant(call.deadline);
        let mut progress = Progress::default();
        let (outcome, over, report) = tokio::select! {
            end = self.attempt(&call, &mut progress) => end,
            Ok(()) = called_off => (Outcome::Cancelled, false, Report::default()),
            () = tokio::time::sleep_until(deadline) => (Outcome::TimedOut, false, Report::default()),
        };
        let outcome = match outcome {
            _ if progress.delivered() => Outcome::Ok,
            // What was not written to its last byte never ran, however it ended.
            _ if !progress.written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        let end = CallEnd { id, attempt, target, outcome, over, began, report };
        let _ = self.inputs.send(Input::Ended(end)).await;
    }

    async fn attempt(&self, call: &OutboundCall, progress: &mut Progress) -> (Outcome, bool, Report) {
        if let Some(as2) = &self.as2
            && let Some(partner) = as2.partner_of(call.exchange.destination)
        {
            return as2.attempt(call, partner, progress).await;
        }
        // One message a call: a first line with 200 says that it was delivered, whatever follows.
        progress.first_tells = true;
        let left = (call.deadline - self.clock.now()).max(0) / 1000;
        let mut request = Message::request("POST", "/v1/messages")
            .with("Host", &*call.address)
            .with("X-Correlation-Id", &call.exchange.id)
            .with("X-Time-Left", format!("{left}m"));
        request.body = call.exchange.body.clone();
        match self.connections.ask(&(call.address.clone(), Some(call.target)), &request, progress).await {
            Ok(answer) => read(&answer, progress.opened),
            Err(outcome) => (outcome, false, Report::default()),
        }
    }
}

impl Connections {
    /// With the settings' limits on connecting and on idle connections, of which `most_idle` are kept.
    pub fn new(clock: Clock, connect_within: Micros, idle_limit: Micros, most_idle: usize) -> Self {
        let idle_for = idle_limit - idle_limit / RETIRE_PART;
        Connections { clock, connect_within, idle_for, most_idle, pool: Arc::default() }
    }

    /// Writes a request once, on one connection, and reads the answer; `progress` tells how far both came.
    /// Whoever drops this in between ends the connection.
    ///
    /// # Errors
    /// The outcome, where no whole answer came.
    pub async fn ask(
        &self, place: &Place, request: &Message, progress: &mut Progress,
    ) -> Result<Message, Outcome> {
        let mut connection = match self.idle(place).await {
            Some(connection) => connection,
            None => {
                progress.opened = true;
                let by = self.clock.instant(self.clock.now() + self.connect_within);
                match tokio::time::timeout_at(by, TcpStream::connect(&*place.0)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        Framed::new(stream, AnswerCodec::new(MOST_BODY))
                    }
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
        };
        if connection.send(request).await.is_err() && !connection.write_buffer().is_empty() {
            return Err(Outcome::ConnectFailed);
        }
        progress.written = true;
        let mut by = Micros::MAX;
        loop {
            match tokio::time::timeout_at(self.clock.instant(by), connection.next()).await {
                Ok(Some(Ok(Part::First(status)))) => {
                    progress.first = Some(status);
                    if progress.first_tells {
                        by = self.clock.now() + REST_WITHIN;
                    }
                }
                Ok(Some(Ok(Part::Whole(answer)))) => {
                    if answer.keep_alive && connection.read_buffer().is_empty() {
                        self.keep(place, connection);
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

    /// An idle connection that the other side has not ended and on which nothing is left to read.
    async fn idle(&self, place: &Place) -> Option<Connection> {
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
                return Some(connection);
            }
        }
    }

    fn keep(&self, place: &Place, connection: Connection) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.count >= self.most_idle {
            return;
        }
        let idle = pool.idle.entry(place.clone()).or_default();
        if idle.len() < MOST_IDLE {
            idle.push((connection, self.clock.now()));
            pool.count += 1;
        }
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

impl Caller for Outbound {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, called_off) = oneshot::channel();
        tokio::spawn(self.clone().run(call, called_off));
        handle
    }

    fn close(&self, target: TargetId) {
        let mut pool = self.connections.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.idle.retain(|(_, leads_to), _| *leads_to != Some(target));
        pool.count = pool.idle.values().map(Vec::len).sum();
    }
}

/// What an answer means; `opened` where it is the first on its connection.
fn read(answer: &Message, opened: bool) -> (Outcome, bool, Report) {
    let Start::Response(status) = answer.start else { return (Outcome::Reset, false, Report::default()) };
    let wait = full(answer);
    let outcome = match status {
        200 => Outcome::Ok,
        429 => Outcome::Full(wait),
        503 if answer.header("X-Over-Slots") == Some("1") => Outcome::Skipped,
        // What turns a new connection away at once and ends it speaks of connections, not of calls.
        503 if opened && !answer.keep_alive && wait.is_none() => Outcome::Crowded,
        503 => Outcome::Full(wait),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    (outcome, status == 410, report(answer.header("X-Backend-Load").unwrap_or_default()))
}

/// What an answer tells of the limit; one that cannot be read in full tells nothing.
fn report(text: &str) -> Report {
    let read = |text: &str| {
        let mut report = Report::default();
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let value = value.parse::<f64>().ok().filter(|value| (0.0..=MOST_REPORTED).contains(value))?;
            match name {
                "x0" => report.left = Some(value),
                "x1" => report.limit = Some(value),
                _ => {}
            }
        }
        Some(report)
    };
    read(text).unwrap_or_default()
}
