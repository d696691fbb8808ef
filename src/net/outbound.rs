//! The endpoints' side of the platform's front: one attempt becomes one HTTP call. Owns the connections to
//! endpoints and tells exactly whether a call's last byte was written. It must never send a call twice, on
//! whatever connection, and never choose an endpoint.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::http::{Codec, Message, Start};
use crate::as2::As2;
use crate::exchange::{CallEnd, Clock, Input, OutboundCall};
use crate::interface::{Micros, Outcome, Report};
use crate::runtime::Caller;

type Connection = Framed<TcpStream, Codec>;

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 4;
/// Idle connections kept in all.
const MOST_IDLE_IN_ALL: usize = 128;
/// An idle connection is retired when this part of its idle life is left.
const RETIRE_PART: Micros = 10;
/// An answer's body means nothing; a longer one ends the connection.
const MOST_BODY: usize = 64 * 1024;

/// Idle connections, by address. Invariant: none has a call out or bytes unread.
#[derive(Default)]
struct Pool {
    idle: HashMap<Arc<str>, Vec<(Connection, Micros)>>,
    count: usize,
}

/// The connections to endpoints, on which one request at a time is answered.
#[derive(Clone)]
pub struct Connections {
    clock: Clock,
    connect_within: Micros,
    idle_for: Micros,
    pool: Arc<Mutex<Pool>>,
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
        let mut written = false;
        let (outcome, over, report) = tokio::select! {
            end = self.attempt(&call, &mut written) => end,
            Ok(()) = called_off => (Outcome::Cancelled, false, Report::default()),
            () = tokio::time::sleep_until(deadline) => (Outcome::TimedOut, false, Report::default()),
        };
        // What was not written to its last byte never ran, however it ended.
        let outcome = if written { outcome } else { Outcome::ConnectFailed };
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        let end = CallEnd { id, attempt, target, outcome, over, began, report };
        let _ = self.inputs.send(Input::Ended(end)).await;
    }

    async fn attempt(&self, call: &OutboundCall, written: &mut bool) -> (Outcome, bool, Report) {
        if let Some(as2) = &self.as2
            && let Some(partner) = as2.partner_of(call.exchange.destination)
        {
            return as2.attempt(call, partner, written).await;
        }
        let left = (call.deadline - self.clock.now()).max(0) / 1000;
        let mut request = Message::request("POST", "/v1/messages")
            .with("Host", &*call.address)
            .with("X-Correlation-Id", &call.exchange.id)
            .with("X-Time-Left", format!("{left}m"));
        request.body = call.exchange.body.clone();
        match self.connections.ask(&call.address, &request, written).await {
            Ok(answer) => read(&answer),
            Err(outcome) => (outcome, false, Report::default()),
        }
    }
}

impl Connections {
    /// With the settings' limits on connecting and on idle connections.
    pub fn new(clock: Clock, connect_within: Micros, idle_limit: Micros) -> Self {
        let idle_for = idle_limit - idle_limit / RETIRE_PART;
        Connections { clock, connect_within, idle_for, pool: Arc::default() }
    }

    /// Writes a request once, on one connection, and reads the answer; `written` tells whether its last byte
    /// went out. Whoever drops this in between ends the connection.
    ///
    /// # Errors
    /// The outcome, where no answer came.
    pub async fn ask(
        &self, address: &Arc<str>, request: &Message, written: &mut bool,
    ) -> Result<Message, Outcome> {
        let mut connection = match self.idle(address) {
            Some(connection) => connection,
            None => {
                let by = self.clock.instant(self.clock.now() + self.connect_within);
                match tokio::time::timeout_at(by, TcpStream::connect(&**address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        Framed::new(stream, Codec::client(MOST_BODY))
                    }
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
        };
        if connection.send(request).await.is_err() && !connection.write_buffer().is_empty() {
            return Err(Outcome::ConnectFailed);
        }
        *written = true;
        let Some(Ok(answer)) = connection.next().await else { return Err(Outcome::Reset) };
        if answer.keep_alive && connection.read_buffer().is_empty() {
            self.keep(address, connection);
        }
        Ok(answer)
    }

    /// An idle connection that the other side has not ended, as far as can be seen.
    fn idle(&self, address: &Arc<str>) -> Option<Connection> {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        loop {
            let (connection, since) = pool.idle.get_mut(address)?.pop()?;
            pool.count -= 1;
            // Guards against a call on a connection that the endpoint has closed: it would end as a reset.
            let mut byte = [0];
            let quiet = matches!(connection.get_ref().try_read(&mut byte),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
            if quiet && now - since < self.idle_for {
                return Some(connection);
            }
        }
    }

    fn keep(&self, address: &Arc<str>, connection: Connection) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.count >= MOST_IDLE_IN_ALL {
            return;
        }
        let idle = pool.idle.entry(address.clone()).or_default();
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

    fn close(&self, address: &str) {
        let mut pool = self.connections.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let closed = pool.idle.remove(address).map_or(0, |idle| idle.len());
        pool.count -= closed;
    }
}

/// What an answer means.
fn read(answer: &Message) -> (Outcome, bool, Report) {
    let Start::Response(status) = answer.start else { return (Outcome::Reset, false, Report::default()) };
    let wait = full(answer);
    let outcome = match status {
        200 => Outcome::Ok,
        429 => Outcome::Full(wait),
        503 if answer.header("X-Over-Slots") == Some("1") => Outcome::Skipped,
        503 => Outcome::Full(wait),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let mut report = Report::default();
    for pair in answer.header("X-Backend-Load").unwrap_or_default().split(',') {
        match pair.trim().split_once('=') {
            Some(("x0", value)) => report.left = value.parse().ok(),
            Some(("x1", value)) => report.limit = value.parse().ok(),
            _ => {}
        }
    }
    (outcome, status == 410, report)
}
