//! Client connections: accepts them, reads requests and writes the responses. Near the connection limit it closes connections that
//! are idle or slow, so that others are accepted. Invariant: a connection on which a request waits for its response is not closed.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::codec::Framed;

use tracing::{debug, warn};

use super::PartnerProtocol;
use super::http::{
    Codec, HttpError, IDEMPOTENCY_KEY, MAX_BODY_BYTES, MemoryBudget, Message, READ_BUFFER_BYTES, Start,
};
use super::stream::Stream;
use super::{is_quiet, is_reset};
use crate::exchange::{Answer, Clock, Exchange, IdempotencyKey, IdempotencyKeyError};
use crate::input::Input;
use crate::interface::{Class, Effect, Micros};
use crate::jitter;
use crate::standing::{DrainMode, ProcessStatus};

const UNKNOWN_CLASS: &str = "unknown class";
/// Maximum length of a message id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Time limit for a complete request, in microseconds: from its first byte, or from the start of the connection for the first one.
const REQUEST_TIMEOUT: Micros = 2_500_000;
/// The same for requests of partners, which may be far away, in microseconds.
const PARTNER_REQUEST_TIMEOUT: Micros = 30_000_000;
/// Idle time between requests after which a connection is closed, in microseconds.
const IDLE_TIMEOUT: Micros = 30_000_000;
/// The same once half of the connection limit is used, in microseconds.
const IDLE_TIMEOUT_HALF_FULL: Micros = 2_000_000;
/// The same at the connection limit, in microseconds. The client of a closed connection can open a new one, while a client that
/// gets none cannot send at all.
const IDLE_TIMEOUT_FULL: Micros = 50_000;
/// At the connection limit, a connection without any request is closed after this time, in microseconds.
const NO_REQUEST_TIMEOUT_FULL: Micros = 100_000;
/// At the connection limit, a connection with an incomplete request is closed after this time, in microseconds.
const REQUEST_TIMEOUT_FULL: Micros = 500_000;
/// Delay from an operator's standby order to the close of the first connection between requests, in microseconds.
const DRAIN_DELAY: Micros = 300_000;
/// Time over which these connections are closed one after the other, in microseconds.
const DRAIN_SPREAD: Micros = 1_500_000;
/// Time for the first request on a connection that was accepted after the order, in microseconds.
const DRAIN_NEW_CONNECTION: Micros = 1_000_000;
/// Interval of checks for a connection to close at the connection limit, and of attempts to accept after an error, in microseconds.
const CHECK_INTERVAL: Micros = 10_000;
/// Minimum interval between warnings about connections that cannot be accepted, in microseconds.
const WARN_INTERVAL: Micros = 1_000_000;
/// Time limit for writing a response, in microseconds.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Time for which bytes that arrive after the last response are read, in microseconds.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// Size of the buffer into which they are read, in bytes. All connections may do so at once.
const LINGER_BUFFER_BYTES: usize = 2 * 1024;
/// Maximum number of these bytes.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Names that requests may use, from the settings.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Message classes.
    pub classes: Vec<String>,
    /// Classes whose messages need an idempotency key.
    pub keyed: Vec<String>,
    /// Tenants. Empty if the site has none.
    pub tenants: Vec<String>,
}

impl KnownNames {
    /// Creates the set of names. `terms` are the settings of the classes in the same order.
    pub fn new(classes: &[String], terms: &[Class], tenants: &[String]) -> Self {
        let keyed =
            classes.iter().zip(terms).filter(|(_, class)| matches!(class.effect, Effect::Keyed { .. }));
        KnownNames {
            keyed: keyed.map(|(name, _)| name.clone()).collect(),
            classes: classes.to_vec(),
            tenants: tenants.to_vec(),
        }
    }
}

/// Protocol of a listening socket.
pub enum InboundProtocol {
    /// The platform's protocol.
    Platform(watch::Receiver<KnownNames>),
    /// The protocol of partners.
    Partner(Arc<dyn PartnerProtocol>),
}

/// State shared by all connections of a listening socket.
pub struct Inbound {
    /// The clock.
    pub clock: Clock,
    /// The protocol.
    pub protocol: InboundProtocol,
    /// Inputs of the runtime.
    pub inputs: mpsc::Sender<Input>,
    /// Memory for bodies that are being read.
    pub budget: Arc<MemoryBudget>,
    /// Number of requests that have arrived in part.
    pub reading: AtomicUsize,
    /// Number of complete requests without a response.
    pub busy: AtomicUsize,
    /// Number of open connections.
    pub connections: AtomicUsize,
    /// State of the process: whether it is ready, and whether connections have to close.
    pub standing: Arc<ProcessStatus>,
}

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing has been received.
    New,
    /// A request has arrived in part.
    Reading,
    /// A request waits for its response.
    Responding,
    /// No request since the last response.
    Idle,
    /// The last response was written; further bytes are discarded.
    Lingering,
}

struct ConnectionState {
    stage: Stage,
    since: Micros,
    /// Whether it was asked to close at this stage.
    close_requested: bool,
    close: Arc<Notify>,
}

/// The open connections of one listening socket, and their maximum number.
struct ConnectionTable {
    clock: Clock,
    limit: Arc<AtomicUsize>,
    next: AtomicUsize,
    open: Mutex<HashMap<usize, ConnectionState>>,
    freed: Notify,
}

impl ConnectionTable {
    fn open(&self) -> MutexGuard<'_, HashMap<usize, ConnectionState>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks idle and slow connections to close if the table is nearly full. Returns whether a further connection may be accepted.
    fn request_closes(&self) -> bool {
        let now = self.clock.now();
        let mut open = self.open();
        let count = open.len();
        let limit = self.limit.load(Ordering::Relaxed);
        let (half_full, full) = (count > limit / 2, count >= limit);
        for connection in open.values_mut().filter(|connection| !connection.close_requested) {
            let timeout = match connection.stage {
                Stage::Responding => Micros::MAX,
                Stage::Idle if full => IDLE_TIMEOUT_FULL,
                Stage::Idle if half_full => IDLE_TIMEOUT_HALF_FULL,
                Stage::New | Stage::Lingering if full => NO_REQUEST_TIMEOUT_FULL,
                Stage::Reading if full => REQUEST_TIMEOUT_FULL,
                _ => Micros::MAX,
            };
            if now - connection.since >= timeout {
                connection.close_requested = true;
                connection.close.notify_one();
            }
        }
        !full
    }

    fn register(self: &Arc<Self>) -> Registration {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let close = Arc::new(Notify::new());
        let state = ConnectionState {
            stage: Stage::New,
            since: self.clock.now(),
            close_requested: false,
            close: close.clone(),
        };
        self.open().insert(number, state);
        Registration { table: self.clone(), number, close }
    }
}

/// Entry of a connection in the table, removed on drop.
struct Registration {
    table: Arc<ConnectionTable>,
    number: usize,
    close: Arc<Notify>,
}

impl Registration {
    fn set_stage(&self, stage: Stage) {
        let now = self.table.clock.now();
        if let Some(connection) = self.table.open().get_mut(&self.number) {
            (connection.stage, connection.since, connection.close_requested) = (stage, now, false);
        }
    }

    /// Logs why the connection is closed.
    fn log_close(&self, reason: &str) {
        debug!(connection = self.number, reason, "closed");
    }

    /// Completes once the connection has to close for another one.
    async fn close_requested(&self) {
        loop {
            self.close.notified().await;
            // A request to close at an earlier stage no longer applies.
            if self.table.open().get(&self.number).is_some_and(|connection| connection.close_requested) {
                return;
            }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.open().remove(&self.number);
        self.table.freed.notify_one();
    }
}

/// Accepts connections, at most `limit` at a time, until the process ends or the future is dropped. Open connections continue then.
pub async fn serve(listener: TcpListener, inbound: Arc<Inbound>, limit: Arc<AtomicUsize>) {
    let clock = inbound.clock;
    let (next, open, freed) = (AtomicUsize::new(0), Mutex::default(), Notify::new());
    let table = Arc::new(ConnectionTable { clock, limit, next, open, freed });
    let mut warn_at = Micros::MIN;
    loop {
        while !table.request_closes() {
            tokio::select! {
            () = table.freed.notified() => {}
            () = tokio::time::sleep_until(clock.instant(clock.now() + CHECK_INTERVAL)) => {}
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (inbound, registration) = (inbound.clone(), table.register());
                tokio::spawn(async move {
                    inbound.connections.fetch_add(1, Ordering::Relaxed);
                    serve_connection(stream, &inbound, &registration).await;
                    inbound.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
            // The client closed the connection, or the system call was interrupted.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            // Prevents a busy loop while descriptors are short. Open connections continue.
            Err(error) => {
                if clock.now() >= warn_at {
                    warn_at = clock.now() + WARN_INTERVAL;
                    warn!("cannot accept a client connection: {error}");
                }
                tokio::time::sleep_until(clock.instant(clock.now() + CHECK_INTERVAL)).await;
            }
        }
    }
}

impl Inbound {
    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of complete requests without a response.
    pub fn pending_requests(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Waits until every request that has arrived, also in part, has its response, or until `by`. Called before the process ends, so
    /// that no response is lost.
    pub async fn wait_answered(&self, by: Micros) {
        let pending = || self.reading.load(Ordering::Relaxed) + self.busy.load(Ordering::Relaxed);
        while pending() > 0 && self.clock.now() < by {
            tokio::time::sleep_until(self.clock.instant(self.clock.now() + 1000)).await;
        }
    }
}

async fn serve_connection(stream: TcpStream, inbound: &Inbound, registration: &Registration) {
    let clock = inbound.clock;
    let _ = stream.set_nodelay(true);
    let (max_body, timeout) = match &inbound.protocol {
        InboundProtocol::Partner(partners) => (partners.max_message_bytes(), PARTNER_REQUEST_TIMEOUT),
        InboundProtocol::Platform(_) => (MAX_BODY_BYTES, REQUEST_TIMEOUT),
    };
    let codec = Codec::server(max_body, inbound.budget.clone());
    let mut framed = Framed::with_capacity(Stream::new(stream), codec, READ_BUFFER_BYTES);
    let mut leaving = inbound.standing.drain_mode();
    let accepted = clock.now();
    // Connections close at different times, so that their clients do not all move to other relays at once.
    let close_at = |leaving: DrainMode| match leaving {
        DrainMode::Since(at) => {
            let fraction = jitter::uniform(registration.number as u64 ^ at.unsigned_abs());
            let by = at + DRAIN_DELAY + (fraction * DRAIN_SPREAD as f64) as Micros;
            if accepted < at { by } else { by.max(accepted + DRAIN_NEW_CONNECTION) }
        }
        DrainMode::Off | DrainMode::Stop => Micros::MAX,
    };
    // The time limit of the first request starts with the connection, that of a later one with its first byte.
    let mut first_by = Some(clock.now() + timeout);
    let mut idle_until = clock.now() + timeout;
    loop {
        if framed.read_buffer().is_empty() {
            let mut byte = [0];
            let until = idle_until.min(close_at(*leaving.borrow_and_update()));
            let has_bytes = tokio::select! {
            biased;
            peeked = framed.get_ref().peek(&mut byte) => matches!(peeked, Ok(1..)),
            () = registration.close_requested() => !is_quiet(framed.get_ref()),
            Ok(()) = leaving.changed() => continue,
            () = tokio::time::sleep_until(clock.instant(until)) => !is_quiet(framed.get_ref()),
            };
            if !has_bytes {
                return registration.log_close("idle, or closed for another connection");
            }
        }
        registration.set_stage(Stage::Reading);
        let by = first_by.take().unwrap_or(clock.now() + timeout);
        inbound.reading.fetch_add(1, Ordering::Relaxed);
        let next = tokio::select! {
        biased;
        next = framed.next() => next,
        () = registration.close_requested() => None,
        () = tokio::time::sleep_until(clock.instant(by)) => Some(Err(HttpError::Timeout)),
        };
        inbound.reading.fetch_sub(1, Ordering::Relaxed);
        let (mut response, accepted_id) = match next {
            None => return registration.log_close("closed by the client, or for another connection"),
            Some(Err(HttpError::Io(error))) => return registration.log_close(&format!("read: {error}")),
            Some(Err(error)) => {
                registration.log_close(&format!("after an error response: {error}"));
                let status = match error {
                    HttpError::TooLarge(_) => 413,
                    HttpError::NoMemory => 503,
                    HttpError::Timeout => 408,
                    _ => 400,
                };
                return send_last(clock, framed, Message::response(status, error.to_string()), registration)
                    .await;
            }
            // The stated length was too short if the following bytes cannot be a request: they belong to the body.
            Some(Ok(_)) if !may_be_request(framed.read_buffer()) => {
                let response = Message::response(400, "malformed: bytes after the body");
                return send_last(clock, framed, response, registration).await;
            }
            // Its client cannot hear that a message was accepted, and may submit it elsewhere.
            Some(Ok(_)) if is_reset(framed.get_ref()) => {
                return registration.log_close("reset by the client before its request was processed");
            }
            Some(Ok(request)) => {
                registration.set_stage(Stage::Responding);
                let keep_alive = request.keep_alive;
                inbound.busy.fetch_add(1, Ordering::Relaxed);
                let (mut response, accepted_id) = route(request, inbound).await;
                response.keep_alive &= keep_alive;
                (response, accepted_id)
            }
        };
        response.keep_alive &= *leaving.borrow_and_update() == DrainMode::Off;
        let until = clock.instant(clock.now() + RESPONSE_TIMEOUT);
        let mut nothing_sent = true;
        let sent =
            tokio::time::timeout_at(until, send_response(&mut framed, &response, &mut nothing_sent)).await;
        inbound.busy.fetch_sub(1, Ordering::Relaxed);
        framed.codec_mut().release_message();
        if !matches!(sent, Ok(Ok(()))) {
            match sent {
                Ok(Err(error)) => registration.log_close(&format!("cannot write the response: {error}")),
                _ => registration.log_close("writing the response timed out"),
            }
            // A client that received a part of the response may know that the message was accepted.
            if let Some(id) = accepted_id.filter(|_| nothing_sent) {
                let _ = inbound.inputs.send(Input::Withdrawn(id)).await;
            }
            return;
        }
        if !response.keep_alive {
            registration.log_close("after the last response");
            return linger(clock, framed.into_inner(), registration).await;
        }
        registration.set_stage(Stage::Idle);
        idle_until = clock.now() + IDLE_TIMEOUT;
        // One request a turn: a client that sends without a pause does not keep the thread from others.
        tokio::task::yield_now().await;
    }
}

/// Sends a response. Sets `nothing_sent` to whether no byte of it was written to the socket.
async fn send_response(
    framed: &mut Framed<Stream, Codec>, response: &Message, nothing_sent: &mut bool,
) -> Result<(), HttpError> {
    framed.feed(response).await?;
    let length = framed.write_buffer().len();
    std::future::poll_fn(|context| {
        let flushed = framed.poll_flush_unpin(context);
        *nothing_sent = framed.write_buffer().len() == length;
        flushed
    })
    .await
}

/// Returns whether bytes after a request may begin the next one: there are none, or they start with a method.
fn may_be_request(bytes: &[u8]) -> bool {
    let line = bytes.trim_ascii_start();
    let method = line.split(|byte| *byte == b' ').next().unwrap_or_default();
    method.len() <= 16 && method.iter().all(u8::is_ascii_uppercase)
}

/// Sends the last response on a connection whose client may still be sending.
async fn send_last(
    clock: Clock, mut framed: Framed<Stream, Codec>, mut response: Message, registration: &Registration,
) {
    response.keep_alive = false;
    registration.set_stage(Stage::Lingering);
    let until = clock.instant(clock.now() + RESPONSE_TIMEOUT);
    if matches!(tokio::time::timeout_at(until, framed.send(&response)).await, Ok(Ok(()))) {
        linger(clock, framed.into_inner(), registration).await;
    }
}

/// Closes a connection so that its last response arrives. Closing with unread bytes would reset the connection, which may lose the
/// response.
async fn linger(clock: Clock, mut stream: Stream, registration: &Registration) {
    registration.set_stage(Stage::Lingering);
    if stream.shutdown().await.is_err() {
        return;
    }
    let (mut bytes, mut left) = (vec![0; LINGER_BUFFER_BYTES], MAX_LINGER_BYTES);
    let until = clock.instant(clock.now() + LINGER_TIMEOUT);
    loop {
        tokio::select! {
        read = stream.read(&mut bytes) => match read {
        Ok(n @ 1..) if n < left => left -= n,
        _ => return,
        },
        () = registration.close_requested() => return,
        () = tokio::time::sleep_until(until) => return,
        }
    }
}

/// Returns the response to a request, and the id of the message if the response states that it was accepted.
async fn route(request: Message, inbound: &Inbound) -> (Message, Option<String>) {
    let Start::Request(method, path) = &request.start else {
        return (Message::response(400, "no request"), None);
    };
    let path = path.split('?').next().unwrap_or_default();
    match (method.as_str(), path) {
        ("GET", "/health/live") => (Message::response(200, "live"), None),
        ("GET", "/health/ready") if inbound.standing.relay_ready() => (Message::response(200, "ready"), None),
        ("GET", "/health/ready") => (Message::response(503, inbound.standing.state_name()), None),
        ("POST", _) => match &inbound.protocol {
            InboundProtocol::Platform(names) => {
                let exchange = parse_message(&request, path, inbound.clock.now(), &names.borrow());
                match exchange {
                    Err((status, why)) => (Message::response(status, why.into_owned()), None),
                    Ok(exchange) => submit(exchange, inbound).await,
                }
            }
            InboundProtocol::Partner(partners) => (partners.respond(&request).await, None),
        },
        _ => (Message::response(405, "POST hands in a message"), None),
    }
}

async fn submit(exchange: Exchange, inbound: &Inbound) -> (Message, Option<String>) {
    let id = exchange.id.clone();
    let (reply, result) = oneshot::channel();
    if inbound.inputs.send(Input::Submitted(Arc::new(exchange), None, reply)).await.is_err() {
        return (Message::response(503, "stopped"), None);
    }
    match result.await {
        Ok(Answer::Accepted) => (Message::response(202, ""), Some(id)),
        // The message was accepted before: a client that closes this connection must not withdraw it.
        Ok(Answer::AlreadyAccepted) => (Message::response(202, ""), None),
        Ok(Answer::Refused(why, after)) => {
            debug!(message = id, why = &*why, after, "refused");
            let response = Message::response(503, why.into_owned());
            let response = match after {
                Some(after) => response.with("Retry-After", format!("{:.3}", after as f64 / 1e6)),
                None => response,
            };
            (response, None)
        }
        Ok(Answer::UnknownClass) => (Message::response(404, UNKNOWN_CLASS), None),
        Ok(Answer::Failed(why)) => {
            debug!(message = id, why = &*why, "message failed immediately");
            (Message::response(500, why.into_owned()), None)
        }
        Err(_) => (Message::response(503, "stopped"), None),
    }
}

/// Parses a message of the platform's protocol.
///
/// # Errors
/// The HTTP status and text of the response to an invalid request.
fn parse_message(
    request: &Message, path: &str, now: Micros, names: &KnownNames,
) -> Result<Exchange, (u16, Cow<'static, str>)> {
    let class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = names.classes.iter().find(|name| *name == class).ok_or((404, UNKNOWN_CLASS.into()))?.clone();
    let id = request.header("X-Correlation-Id").filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES);
    let id = id.ok_or((400, "X-Correlation-Id is missing, empty or too long".into()))?;
    let tenant = match request.header("X-Account") {
        Some(name) => Some(
            names
                .tenants
                .iter()
                .find(|known| *known == name)
                .ok_or((403, "unknown X-Account".into()))?
                .clone(),
        ),
        None if names.tenants.is_empty() => None,
        None => return Err((400, "X-Account is missing".into())),
    };
    let left = request.header("X-Time-Left").and_then(parse_duration);
    let left = left.ok_or((400, "X-Time-Left is not a number with m or u".into()))?;
    let idempotency_key = parse_idempotency_key(request, names.keyed.contains(&class))?;
    let extras = request.header("X-Addressing").unwrap_or_default();
    let pairs = extras.split([',', ';', ' ']).filter_map(|pair| pair.split_once('='));
    let destination = pairs.filter(|(name, _)| *name == "dest").find_map(|(_, value)| value.parse().ok());
    let destination = destination.ok_or((400, "X-Addressing names no dest".into()))?;
    let due = now.saturating_add(left);
    let (id, body) = (id.to_string(), request.body.clone());
    Ok(Exchange { id, class, tenant, due, destination, idempotency_key, body })
}

/// Returns the idempotency key of a request of any class. It is required in a keyed class, as the destination could not recognise
/// duplicates without it.
fn parse_idempotency_key(
    request: &Message, needed: bool,
) -> Result<Option<IdempotencyKey>, (u16, Cow<'static, str>)> {
    let mut keys = request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(IDEMPOTENCY_KEY));
    let key = match (keys.next(), keys.next()) {
        (None, _) if needed => return Err((400, "Idempotency-Key is missing in a keyed class".into())),
        (None, _) => return Ok(None),
        (Some(_), Some(_)) => return Err((400, "Idempotency-Key is there twice".into())),
        (Some((_, key)), None) => key,
    };
    let key = key.parse().map_err(|why: IdempotencyKeyError| (400, why.to_string().into()))?;
    Ok(Some(key))
}

/// Parses a number with a unit: `m` for milliseconds, `u` for microseconds. Returns microseconds.
fn parse_duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.trim().parse().ok()?;
    // At most a day, so that sums with it cannot overflow.
    (number.is_finite() && number >= 0.0).then(|| (number * scale).min(86_400e6) as Micros)
}
