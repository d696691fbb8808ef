//! Connections to endpoints, and to AS2 partners for their receipts. Reports exactly whether the last byte of a request was
//! written, and whether an answer certainly belongs to its request. Invariants: a request is written at most once, on one
//! connection, and no byte of a call is written while the send guard forbids the call.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{FutureExt, SinkExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::Framed;
use tracing::{debug, warn};
use verdict::reuse::{MIN_REST_US, ReusePolicy};
use verdict::{Extent, Position, ReceivedAnswer, RetryEffect, Settlement};

use super::http::{MAX_BODY_BYTES, Message, ResponseCodec};
use super::idle::{Connection, IdleEnd, Pool, Settling, Surplus};
use super::progress::Progress;
use super::response::ResponseReader;
use super::send_guard::SendGuard;
use super::stream::{Stream, failed_locally};
use crate::exchange::{Clock, OutboundCall};
use crate::interface::{Effect, Micros, Outcome, TargetId};
use crate::standing::ConnectionCounts;

/// Initial interval between attempts to connect after a failure on this machine, in microseconds. It doubles each time.
const LOCAL_RETRY_INTERVAL: Micros = 2_000;
/// An idle connection is closed this fraction (one in this many) of its idle time before the peer may close it.
const IDLE_MARGIN_DIVISOR: Micros = 10;
/// Time after the deadline of a call for which its connection is still watched after an answer, in microseconds.
const WATCH_PAST_DEADLINE: Micros = 100_000;
/// Time for the pool to report what followed an answer, in microseconds.
const SETTLE_REPORT_TIMEOUT: Micros = 20_000;
/// Fraction (one in this many) of the descriptors for idle connections that is for connections with unsettled answers.
const SETTLING_DIVISOR: usize = 3;
/// Minimum interval between warnings about surplus bytes, in microseconds. Further ones are logged at debug level.
const WARN_INTERVAL: Micros = 1_000_000;

/// Key of a connection: an address, and the endpoint that is listed there. If the address passes to another endpoint, connections
/// to the old one are not used for it.
pub type ConnectionKey = (Arc<str>, Option<TargetId>);

/// Connections to endpoints. Each carries one request at a time.
#[derive(Clone)]
pub struct Connections {
    clock: Clock,
    send_guard: SendGuard,
    connect_timeout: Micros,
    max_idle_time: Micros,
    max_idle: Arc<AtomicUsize>,
    pool: Arc<Mutex<Pool<ConnectionKey>>>,
    /// Capacity for connections whose call has ended and whose answer is not settled.
    settling: Arc<Semaphore>,
    monitor: Monitor,
}

/// Reuse policy by surplus bytes, with its counters and log.
#[derive(Clone)]
struct Monitor {
    clock: Clock,
    policy: Arc<Mutex<ReusePolicy<ConnectionKey>>>,
    counts: Arc<ConnectionCounts>,
    opened: Arc<AtomicU64>,
    warn_at: Arc<Mutex<Micros>>,
}

/// A complete answer, which may not be settled yet.
pub struct UnsettledAnswer {
    key: ConnectionKey,
    connection: Connection,
    repeat: RetryEffect,
    sent: Micros,
    at: Micros,
    answer: Message,
    /// End of the time for which its connection is watched.
    watched_until: Micros,
}

impl UnsettledAnswer {
    /// Returns the answer.
    pub fn answer(&self) -> &Message {
        &self.answer
    }

    /// Returns when the complete answer had arrived.
    pub fn at(&self) -> Micros {
        self.at
    }

    /// Returns whether its connection is closed at once. That is not done before earlier answers are settled, as they would remain
    /// in doubt.
    fn closes_at_once(&self, heard: &ReceivedAnswer) -> bool {
        heard.closes_immediately(self.repeat) && self.connection.settling.is_empty()
    }
}

/// Returns the effect of a retry of a message with this effect.
fn repeat(effect: Effect) -> RetryEffect {
    match effect {
        Effect::Idempotent => RetryEffect::Harmless,
        Effect::Keyed { .. } | Effect::NonIdempotent => RetryEffect::Harmful,
    }
}

impl Monitor {
    fn policy(&self) -> MutexGuard<'_, ReusePolicy<ConnectionKey>> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts and logs surplus bytes on a connection. The caller closes the connection.
    fn record_surplus(
        &self, key: &ConnectionKey, connection: &Connection, surplus: Surplus, during: &'static str,
    ) {
        let now = self.clock.now();
        self.policy().record_unsolicited_data(key, now);
        ConnectionCounts::add(&self.counts.unsolicited);
        let (endpoint, number, calls) = (&*key.0, connection.number, connection.calls);
        let Surplus { bytes, status } = surplus;
        let mut warn_at = self.warn_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now < *warn_at {
            return debug!(
                endpoint,
                connection = number,
                calls,
                bytes,
                status,
                during,
                "connection closed because of surplus bytes"
            );
        }
        *warn_at = now + WARN_INTERVAL;
        warn!(
            endpoint,
            connection = number,
            calls,
            bytes,
            status,
            during,
            "connection closed because of surplus bytes; its endpoint gets a new connection for each call for a while"
        );
    }

    fn idle_ended(&self, key: &ConnectionKey, connection: &Connection, end: IdleEnd) {
        match end {
            IdleEnd::Surplus(surplus) => self.record_surplus(key, connection, surplus, "rest"),
            IdleEnd::Closed => {
                debug!(
                    endpoint = &*key.0,
                    connection = connection.number,
                    "idle connection closed by its peer"
                );
            }
        }
    }
}

impl Connections {
    /// Creates the connections with the configured connect timeout and idle time limit. At most `max_idle` idle ones are kept.
    pub fn new(clock: Clock, connect_timeout: Micros, idle_limit: Micros, max_idle: usize) -> Self {
        let max_idle_time = idle_limit - idle_limit / IDLE_MARGIN_DIVISOR;
        let settling = Arc::new(Semaphore::new(max_idle / SETTLING_DIVISOR));
        let max_idle = Arc::new(AtomicUsize::new(max_idle - max_idle / SETTLING_DIVISOR));
        let send_guard = SendGuard::new(clock);
        let warn_at = Arc::new(Mutex::new(Micros::MIN));
        let (policy, counts, opened) = Default::default();
        let monitor = Monitor { clock, policy, counts, opened, warn_at };
        Connections {
            clock,
            send_guard,
            connect_timeout,
            max_idle_time,
            max_idle,
            pool: Arc::default(),
            settling,
            monitor,
        }
    }

    /// Sets the counters for surplus bytes, doubtful answers and new connections.
    #[must_use]
    pub fn with_counts(mut self, counts: Arc<ConnectionCounts>) -> Self {
        self.monitor.counts = counts;
        self
    }

    /// Returns the counters of connections and decisions.
    pub fn counts(&self) -> &ConnectionCounts {
        &self.monitor.counts
    }

    /// Returns the guard that forbids calls.
    pub fn send_guard(&self) -> &SendGuard {
        &self.send_guard
    }

    /// Combines [`Connections::call`] and [`Connections::settle`], for calls that are never cancelled.
    ///
    /// # Errors
    /// Those of [`Connections::call`]. Also if it is in doubt whether the answer belongs to the request.
    pub async fn call_and_settle(
        &self, key: &ConnectionKey, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress,
    ) -> Result<Message, Outcome> {
        let answered = self.call(key, call, request, progress, std::future::pending()).await?;
        let answer = self.settle(answered, progress).await;
        let doubtful = match progress.heard.settlement {
            Settlement::UnsolicitedData => true,
            Settlement::Unsettled => progress.heard.needs_settling() && progress.heard.copy_suspected,
            Settlement::Settled => false,
        };
        if doubtful { Err(Outcome::Spoilt) } else { Ok(answer) }
    }

    /// Writes a request once, on one connection, and reads the answer. `progress` records how much of both was transferred. The
    /// request is created once the connection is established. If it belongs to `call`, no byte of it is written while the send
    /// guard forbids the call, up to and including the last byte. The call is given up at its deadline, or once `cancelled`
    /// completes.
    ///
    /// # Errors
    /// The outcome, if there is no complete answer.
    pub async fn call(
        &self, key: &ConnectionKey, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress, cancelled: impl Future<Output = ()>,
    ) -> Result<UnsettledAnswer, Outcome> {
        let deadline = self.clock.instant(call.map_or(Micros::MAX, |call| call.deadline));
        let limit = async {
            tokio::select! {
            biased;
            () = cancelled => Outcome::Cancelled,
            () = tokio::time::sleep_until(deadline) => Outcome::TimedOut,
            }
        };
        tokio::pin!(limit);
        let answered = self.exchange(key, call, request, progress, limit).await;
        progress.heard.copy_suspected = self.suspects(key);
        let answered = answered?;
        progress.answered = Some(answered.at);
        // The wait applies from now on, however long the answer takes to settle.
        if let (Some(wait), Some(call)) = (progress.wait, call) {
            self.send_guard.hold_path(call.path, answered.at + wait);
        }
        Ok(answered)
    }

    fn suspects(&self, key: &ConnectionKey) -> bool {
        self.monitor.policy().suspects_copies(key, self.clock.now())
    }

    /// Reserves capacity for the connection of an unsettled answer, so that its call need not count as in flight. Returns `None` if
    /// the answer is settled or there is no capacity.
    pub fn reserve_settling(
        &self, answered: &UnsettledAnswer, progress: &Progress,
    ) -> Option<OwnedSemaphorePermit> {
        if !progress.heard.needs_settling() || answered.closes_at_once(&progress.heard) {
            return None;
        }
        self.settling.clone().try_acquire_owned().ok()
    }

    /// Settles whether an answer belongs to its call, and keeps or closes the connection. If the answer may be a duplicate, the
    /// connection is closed, or watched for what else arrives. `progress` records the result.
    pub async fn settle(&self, answered: UnsettledAnswer, progress: &mut Progress) -> Message {
        let closes_at_once = answered.closes_at_once(&progress.heard);
        let UnsettledAnswer { key, mut connection, sent, at, answer, watched_until, .. } = answered;
        connection.closing = !answer.keep_alive;
        if !progress.heard.needs_settling() {
            self.monitor.policy().record_answer_time(&key, at - sent, at);
            self.keep_or_close(&key, connection, at, progress.heard);
            return answer;
        }
        if closes_at_once {
            return answer;
        }
        progress.report_early().await;
        let quiet_until = self.monitor.policy().quiet_until(&key, sent, at);
        let settled = connection.settling.add(at, quiet_until.min(watched_until));
        self.keep_or_close(&key, connection, at, progress.heard);
        let by = self.clock.instant(watched_until.saturating_add(SETTLE_REPORT_TIMEOUT));
        let after = tokio::time::timeout_at(by, settled).await;
        progress.heard.settlement = after.ok().and_then(Result::ok).unwrap_or(Settlement::Unsettled);
        progress.heard.copy_suspected = self.suspects(&key);
        if progress.heard.settlement == Settlement::UnsolicitedData {
            ConnectionCounts::add(&self.monitor.counts.ambiguous);
        }
        answer
    }

    /// Keeps or closes a connection after an answer that arrived at `at`.
    fn keep_or_close(
        &self, key: &ConnectionKey, mut connection: Connection, at: Micros, heard: ReceivedAnswer,
    ) {
        if !connection.framed.read_buffer().is_empty() {
            let surplus = Surplus::read(connection.framed.read_buffer());
            connection.settling.conclude(Settlement::UnsolicitedData);
            return self.monitor.record_surplus(key, &connection, surplus, "answer");
        }
        let carries_more = matches!(heard.extent, Extent::Complete(class) if class.allows_reuse());
        let carries_more = carries_more && !connection.closing && !self.monitor.policy().is_withheld(key, at);
        self.keep(key, connection, (at, carries_more.then_some(at + MIN_REST_US)));
    }

    /// Exchanges one request and its answer, until `limit` completes.
    async fn exchange<L>(
        &self, key: &ConnectionKey, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress, mut limit: Pin<&mut L>,
    ) -> Result<UnsettledAnswer, Outcome>
    where
        L: Future<Output = Outcome>,
    {
        let (mut connection, idle_since) = tokio::select! {
        biased;
        connection = self.connection(key, progress) => connection?,
        outcome = &mut limit => return Err(outcome),
        };
        progress.heard.position = Position::after_calls(connection.calls);
        progress.heard.copy_suspected = self.suspects(key);
        (progress.connection, progress.calls_before) = (Some(connection.number), connection.calls);
        progress.idle_for = self.clock.now() - idle_since;
        let disallowed = async {
            match call {
                Some(call) => self.send_guard.until_disallowed(call).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(disallowed);
        // While the connection was established or waited for, the call may have become forbidden: by a server-requested wait, a
        // drain, the end of this process, the deadline of the message or its deduplication window.
        if disallowed.as_mut().now_or_never().is_some() {
            self.keep(key, connection, (idle_since, Some(idle_since)));
            return Err(Outcome::Skipped);
        }
        connection.calls += 1;
        if connection.framed.feed(&request()).await.is_err() {
            return Err(Outcome::ConnectFailed);
        }
        // The same applies while the peer does not read: a request counts as sent from its last byte on.
        let flushed = tokio::select! {
        biased;
        () = &mut disallowed => Err(Outcome::Skipped),
        flushed = connection.framed.flush() => flushed.map_err(|_| Outcome::ConnectFailed),
        outcome = &mut limit => Err(outcome),
        };
        let sent = self.clock.now();
        if let Err(outcome) = flushed
            && !connection.framed.write_buffer().is_empty()
        {
            // An answer to an incomplete request may state that its message ended elsewhere.
            let given_up = async { outcome };
            tokio::pin!(given_up);
            let reader = ResponseReader::new(self.clock, &mut connection, progress, sent);
            let _ = reader.read(given_up).await;
            return Err(outcome);
        }
        progress.heard.request_written = true;
        let quiet_until = self.monitor.policy().quiet_until(key, sent, sent);
        let reader = ResponseReader::new(self.clock, &mut connection, progress, quiet_until);
        let answer = reader.read(limit).await?;
        let watched_until =
            call.map_or(Micros::MAX, |call| call.deadline.saturating_add(WATCH_PAST_DEADLINE));
        let (key, at) = (key.clone(), self.clock.now());
        let repeat = repeat(call.map_or(Effect::Idempotent, |call| call.effect));
        Ok(UnsettledAnswer { key, connection, repeat, sent, at, answer, watched_until })
    }

    /// Returns an idle or a new connection, and since when it is idle.
    async fn connection(
        &self, key: &ConnectionKey, progress: &mut Progress,
    ) -> Result<(Connection, Micros), Outcome> {
        if let Some(idle) = self.take_idle(key).await {
            return Ok(idle);
        }
        progress.new_connection = true;
        Ok((self.open(key).await?, self.clock.now()))
    }

    /// Opens a connection, on which no byte may have arrived yet.
    async fn open(&self, key: &ConnectionKey) -> Result<Connection, Outcome> {
        let stream = self.connect(&key.0).await?;
        let number = self.monitor.opened.fetch_add(1, Ordering::Relaxed);
        ConnectionCounts::add(&self.monitor.counts.opened);
        let framed = Framed::new(stream, ResponseCodec::new(MAX_BODY_BYTES));
        let connection =
            Connection { framed, number, calls: 0, closing: false, settling: Settling::default() };
        // Bytes that arrived before the request must not be read as its answer.
        if !connection.is_quiet() {
            debug!(
                endpoint = &*key.0,
                connection = number,
                "new connection closed: bytes arrived before the first request"
            );
            return Err(Outcome::ConnectFailed);
        }
        Ok(connection)
    }

    /// Opens a TCP connection. Connecting is retried after a local error; if that lasts, the call counts as not sent, which says
    /// nothing about the peer.
    async fn connect(&self, address: &str) -> Result<Stream, Outcome> {
        let by = self.clock.now() + self.connect_timeout;
        let mut interval = LOCAL_RETRY_INTERVAL;
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
                        warn!(endpoint = address, "cannot connect because of a local error: {error}");
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

    /// Takes an idle connection that the peer has not closed and on which nothing is left to read. Also returns since when it is
    /// idle.
    async fn take_idle(&self, key: &ConnectionKey) -> Option<(Connection, Micros)> {
        loop {
            let now = self.clock.now();
            let withheld = self.monitor.policy().is_withheld(key, now);
            let taken = self.pool().take(key, now)?;
            if withheld {
                ConnectionCounts::add(&self.monitor.counts.not_reused);
                return None;
            }
            let Some((connection, since)) = taken.connection().await else { continue };
            // A call on a connection that the endpoint has closed would end as a reset, and bytes left on it would be read as the
            // answer of the call.
            if self.clock.now() - since < self.max_idle_time && connection.is_quiet() {
                return Some((connection, since));
            }
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool<ConnectionKey>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps an idle connection. `times` are since when it is idle and from when on it may carry a call.
    fn keep(&self, key: &ConnectionKey, connection: Connection, times: (Micros, Option<Micros>)) {
        let (monitor, idle_key) = (self.monitor.clone(), key.clone());
        let on_end = move |connection: &Connection, end| monitor.idle_ended(&idle_key, connection, end);
        let max_idle = self.max_idle.load(Ordering::Relaxed);
        self.pool().keep(self.clock, key, connection, times, max_idle, on_end);
    }

    /// Sets the maximum number of idle connections. Closes them all if that is 0.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.store(max_idle - max_idle / SETTLING_DIVISOR, Ordering::Relaxed);
        if max_idle == 0 {
            *self.pool() = Pool::default();
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, target: TargetId) {
        self.pool().retain(|(_, endpoint), _| *endpoint != Some(target));
    }

    /// Closes the connections that have been idle for too long. Returns when to call it again.
    pub fn close_expired(&self) -> Micros {
        let (now, max_idle_time) = (self.clock.now(), self.max_idle_time);
        self.pool().retain(|_, since| now - since < max_idle_time);
        now + (max_idle_time / IDLE_MARGIN_DIVISOR).max(1000)
    }
}

/// Returns the wait requested by the `Retry-After` header of an answer, in microseconds.
pub fn retry_after(answer: &Message) -> Option<Micros> {
    let wait = answer.header("Retry-After").and_then(|text| text.parse::<f64>().ok());
    // At most a day, so that sums with it cannot overflow.
    let wait = wait.filter(|wait| wait.is_finite() && *wait > 0.0).map(|wait| wait.min(86_400.0));
    wait.map(|wait| (wait * 1e6).ceil() as Micros)
}
