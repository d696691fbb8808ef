//! The connections to whom the relay calls: endpoints, and AS2 partners for their receipts. Tells exactly whether a
//! request's last byte was written, and whether an answer certainly belongs to its request. It must never send a request
//! twice, on whatever connection, nor a call's bytes while something stands against the call.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{FutureExt, SinkExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::Framed;
use tracing::{debug, warn};
use verdict::reuse::{REST, ReusePolicy};
use verdict::{After, Extent, Heard, Position, Repeat};

use super::answer::AnswerReader;
use super::clearance::Clearance;
use super::http::{AnswerCodec, MOST_BODY, Message};
use super::progress::Progress;
use super::resting::{Broken, Connection, Pool, Settling, Surplus};
use super::stream::{Stream, failed_locally};
use crate::exchange::{Clock, OutboundCall};
use crate::interface::{Effect, Micros, Outcome, TargetId};
use crate::standing::ConnectionCounts;

/// A connection that this machine could not make is tried again after this at first, in microseconds.
const LOCAL_RETRY: Micros = 2_000;
/// An idle connection is retired when this part of its idle life is left.
const RETIRE_PART: Micros = 10;
/// A connection is watched after an answer until this long after its call's deadline at the most, in microseconds.
const PAST_DEADLINE: Micros = 100_000;
/// What settles then is told within this, in microseconds.
const SETTLED_WITHIN: Micros = 20_000;
/// This part of the descriptors for idle connections is for those that settle.
const SETTLING_PART: usize = 3;
/// Shortest time between two log lines about surplus bytes at the default level, in microseconds.
const WARN_EVERY: Micros = 1_000_000;

/// Whom a connection leads to: an address, and the endpoint that was told to listen there. The address may pass
/// to another endpoint, to which no connection of the old one leads.
pub type Place = (Arc<str>, Option<TargetId>);

/// The connections to endpoints, on which one request at a time is answered.
#[derive(Clone)]
pub struct Connections {
    clock: Clock,
    clearance: Clearance,
    connect_within: Micros,
    idle_for: Micros,
    most_idle: Arc<AtomicUsize>,
    pool: Arc<Mutex<Pool<Place>>>,
    /// Places for connections that are no call's any more and do not rest yet.
    settling: Arc<Semaphore>,
    watch: Watch,
}

/// What is known of surplus bytes, and who is told.
#[derive(Clone)]
struct Watch {
    clock: Clock,
    policy: Arc<Mutex<ReusePolicy<Place>>>,
    counts: Arc<ConnectionCounts>,
    opened: Arc<AtomicU64>,
    warn_at: Arc<Mutex<Micros>>,
}

/// A whole answer, which may still have to settle.
pub struct Answered {
    place: Place,
    connection: Connection,
    repeat: Repeat,
    sent: Micros,
    at: Micros,
    answer: Message,
    /// It is watched until then at the most.
    watched_until: Micros,
}

impl Answered {
    /// The answer.
    pub fn answer(&self) -> &Message {
        &self.answer
    }

    /// When it had come.
    pub fn at(&self) -> Micros {
        self.at
    }

    /// Whether its connection is closed at once. Closed before earlier answers have settled, it would leave them in doubt.
    fn closes_at_once(&self, heard: &Heard) -> bool {
        heard.closes_at_once(self.repeat) && self.connection.settling.is_empty()
    }
}

/// What a second run of a message does, where it has this effect.
fn repeat(effect: Effect) -> Repeat {
    match effect {
        Effect::Idempotent => Repeat::Harmless,
        Effect::Keyed { .. } | Effect::NonIdempotent => Repeat::Harmful,
    }
}

impl Watch {
    fn policy(&self) -> MutexGuard<'_, ReusePolicy<Place>> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes came on a connection that nobody had asked for. Whoever tells this closes it.
    fn surplus(&self, place: &Place, connection: &Connection, surplus: Surplus, during: &'static str) {
        let now = self.clock.now();
        self.policy().surplus(place, now);
        ConnectionCounts::add(&self.counts.unsolicited);
        let (endpoint, number, calls) = (&*place.0, connection.number, connection.calls);
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
                "closed for surplus bytes"
            );
        }
        *warn_at = now + WARN_EVERY;
        warn!(
            endpoint,
            connection = number,
            calls,
            bytes,
            status,
            during,
            "closed for surplus bytes; its endpoint gets a new connection for each call for a while"
        );
    }

    fn broken(&self, place: &Place, connection: &Connection, how: Broken) {
        match how {
            Broken::Surplus(surplus) => self.surplus(place, connection, surplus, "rest"),
            Broken::Closed => {
                debug!(
                    endpoint = &*place.0,
                    connection = connection.number,
                    "closed by the other side at rest"
                );
            }
        }
    }
}

impl Connections {
    /// With the settings' limits on connecting and on idle connections, of which `most_idle` are kept.
    pub fn new(clock: Clock, connect_within: Micros, idle_limit: Micros, most_idle: usize) -> Self {
        let idle_for = idle_limit - idle_limit / RETIRE_PART;
        let settling = Arc::new(Semaphore::new(most_idle / SETTLING_PART));
        let most_idle = Arc::new(AtomicUsize::new(most_idle - most_idle / SETTLING_PART));
        let clearance = Clearance::new(clock);
        let warn_at = Arc::new(Mutex::new(Micros::MIN));
        let (policy, counts, opened) = Default::default();
        let watch = Watch { clock, policy, counts, opened, warn_at };
        Connections {
            clock,
            clearance,
            connect_within,
            idle_for,
            most_idle,
            pool: Arc::default(),
            settling,
            watch,
        }
    }

    /// Counts surplus bytes, doubtful answers and new connections there.
    #[must_use]
    pub fn counted_by(mut self, counts: Arc<ConnectionCounts>) -> Self {
        self.watch.counts = counts;
        self
    }

    /// Where connections and verdicts are counted.
    pub fn counts(&self) -> &ConnectionCounts {
        &self.watch.counts
    }

    /// What stands against calls.
    pub fn clearance(&self) -> &Clearance {
        &self.clearance
    }

    /// [`Connections::call`] and [`Connections::settle`] in one, for calls that nobody calls off.
    ///
    /// # Errors
    /// That of the first.
    pub async fn ask(
        &self, place: &Place, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress,
    ) -> Result<Message, Outcome> {
        let answered = self.call(place, call, request, progress, std::future::pending()).await?;
        let answer = self.settle(answered, progress).await;
        let doubtful = match progress.heard.after {
            After::Surplus => true,
            After::Ended => progress.heard.settles() && progress.heard.suspect,
            After::Settled => false,
        };
        if doubtful { Err(Outcome::Spoilt) } else { Ok(answer) }
    }

    /// Writes a request once, on one connection, and reads the answer; `progress` tells how far both came. It is made
    /// once the connection is there; where it is the request of `call`, not a byte goes while something stands against
    /// that, and not the last one either. It is given up at the deadline of `call`, or once `called_off` comes.
    ///
    /// # Errors
    /// The outcome, where no whole answer came.
    pub async fn call(
        &self, place: &Place, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress, called_off: impl Future<Output = ()>,
    ) -> Result<Answered, Outcome> {
        let deadline = self.clock.instant(call.map_or(Micros::MAX, |call| call.deadline));
        let limit = async {
            tokio::select! {
                biased;
                () = called_off => Outcome::Cancelled,
                () = tokio::time::sleep_until(deadline) => Outcome::TimedOut,
            }
        };
        tokio::pin!(limit);
        let answered = self.exchange(place, call, request, progress, limit).await;
        progress.heard.suspect = self.suspects(place);
        let answered = answered?;
        progress.answered = Some(answered.at);
        // It binds from now on, however long the answer takes to settle.
        if let (Some(wait), Some(call)) = (progress.wait, call) {
            self.clearance.wait(call.lane, answered.at + wait);
        }
        Ok(answered)
    }

    fn suspects(&self, place: &Place) -> bool {
        self.watch.policy().suspects(place, self.clock.now())
    }

    /// Room for the connection of an answer that is still to settle, so that its call need not be counted as one that is out.
    /// `None` where nothing is left to settle, or there is no room.
    pub fn release(&self, answered: &Answered, progress: &Progress) -> Option<OwnedSemaphorePermit> {
        if !progress.heard.settles() || answered.closes_at_once(&progress.heard) {
            return None;
        }
        self.settling.clone().try_acquire_owned().ok()
    }

    /// Settles whether an answer belongs to its call, and what becomes of the connection. One that may be a copy is watched
    /// for what else comes, or its connection is closed. The progress says what came of that.
    pub async fn settle(&self, answered: Answered, progress: &mut Progress) -> Message {
        let closes_at_once = answered.closes_at_once(&progress.heard);
        let Answered { place, mut connection, sent, at, answer, watched_until, .. } = answered;
        connection.closing = !answer.keep_alive;
        if !progress.heard.settles() {
            self.watch.policy().answered(&place, at - sent, at);
            self.rest(&place, connection, at, progress.heard);
            return answer;
        }
        if closes_at_once {
            return answer;
        }
        progress.announce().await;
        let quiet_until = self.watch.policy().quiet_until(&place, sent, at);
        let settled = connection.settling.add(at, quiet_until.min(watched_until));
        self.rest(&place, connection, at, progress.heard);
        let by = self.clock.instant(watched_until.saturating_add(SETTLED_WITHIN));
        let after = tokio::time::timeout_at(by, settled).await;
        progress.heard.after = after.ok().and_then(Result::ok).unwrap_or(After::Ended);
        progress.heard.suspect = self.suspects(&place);
        if progress.heard.after == After::Surplus {
            ConnectionCounts::add(&self.watch.counts.ambiguous);
        }
        answer
    }

    /// What becomes of a connection after an answer that came then.
    fn rest(&self, place: &Place, mut connection: Connection, at: Micros, heard: Heard) {
        if !connection.framed.read_buffer().is_empty() {
            let surplus = Surplus::read(connection.framed.read_buffer());
            connection.settling.conclude(After::Surplus);
            return self.watch.surplus(place, &connection, surplus, "answer");
        }
        let carries_more = matches!(heard.extent, Extent::Whole(class) if class.carries_more());
        let carries_more = carries_more && !connection.closing && !self.watch.policy().withholds(place, at);
        self.keep(place, connection, (at, carries_more.then_some(at + REST)));
    }

    /// One request and its answer, until `limit` gives it up.
    async fn exchange<L>(
        &self, place: &Place, call: Option<&OutboundCall>, request: impl FnOnce() -> Message,
        progress: &mut Progress, mut limit: Pin<&mut L>,
    ) -> Result<Answered, Outcome>
    where
        L: Future<Output = Outcome>,
    {
        let (mut connection, since) = tokio::select! {
            biased;
            connection = self.connection(place, progress) => connection?,
            outcome = &mut limit => return Err(outcome),
        };
        progress.heard.position = Position::after(connection.calls);
        progress.heard.suspect = self.suspects(place);
        (progress.connection, progress.calls_before) = (Some(connection.number), connection.calls);
        progress.rested = self.clock.now() - since;
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
            self.keep(place, connection, (since, Some(since)));
            return Err(Outcome::Skipped);
        }
        connection.calls += 1;
        if connection.framed.feed(&request()).await.is_err() {
            return Err(Outcome::ConnectFailed);
        }
        // The same while the other side does not read: a request counts from its last byte.
        let flushed = tokio::select! {
            biased;
            () = &mut withdrawn => Err(Outcome::Skipped),
            flushed = connection.framed.flush() => flushed.map_err(|_| Outcome::ConnectFailed),
            outcome = &mut limit => Err(outcome),
        };
        let sent = self.clock.now();
        if let Err(outcome) = flushed
            && !connection.framed.write_buffer().is_empty()
        {
            // An answer to half a request may say that its message is over.
            let given_up = async { outcome };
            tokio::pin!(given_up);
            let reader = AnswerReader::new(self.clock, &mut connection, progress, sent);
            let _ = reader.read(given_up).await;
            return Err(outcome);
        }
        progress.heard.written = true;
        let quiet_until = self.watch.policy().quiet_until(place, sent, sent);
        let reader = AnswerReader::new(self.clock, &mut connection, progress, quiet_until);
        let answer = reader.read(limit).await?;
        let watched_until = call.map_or(Micros::MAX, |call| call.deadline.saturating_add(PAST_DEADLINE));
        let (place, at) = (place.clone(), self.clock.now());
        let repeat = repeat(call.map_or(Effect::Idempotent, |call| call.effect));
        Ok(Answered { place, connection, repeat, sent, at, answer, watched_until })
    }

    /// A connection that may carry a call, and since when it rests.
    async fn connection(
        &self, place: &Place, progress: &mut Progress,
    ) -> Result<(Connection, Micros), Outcome> {
        if let Some(resting) = self.resting(place).await {
            return Ok(resting);
        }
        progress.opened = true;
        Ok((self.open(place).await?, self.clock.now()))
    }

    /// A new connection, on which nothing lies yet.
    async fn open(&self, place: &Place) -> Result<Connection, Outcome> {
        let stream = self.connect(&place.0).await?;
        let number = self.watch.opened.fetch_add(1, Ordering::Relaxed);
        ConnectionCounts::add(&self.watch.counts.opened);
        let framed = Framed::new(stream, AnswerCodec::new(MOST_BODY));
        let connection =
            Connection { framed, number, calls: 0, closing: false, settling: Settling::default() };
        // Guards against taking what came before a request for its answer.
        if !connection.quiet() {
            debug!(
                endpoint = &*place.0,
                connection = number,
                "closed before its first call, as it was not quiet"
            );
            return Err(Outcome::ConnectFailed);
        }
        Ok(connection)
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

    /// A connection that may carry one more call, that the other side has not ended and on which nothing is left to
    /// read, and since when it rests.
    async fn resting(&self, place: &Place) -> Option<(Connection, Micros)> {
        loop {
            let now = self.clock.now();
            let withheld = self.watch.policy().withholds(place, now);
            let taken = self.pool().take(place, now)?;
            if withheld {
                ConnectionCounts::add(&self.watch.counts.not_reused);
                return None;
            }
            let Some((connection, since)) = taken.connection().await else { continue };
            // Guards against a call on a connection that the endpoint has closed, which would end as a reset,
            // and against taking what was left on it for the call's answer.
            if self.clock.now() - since < self.idle_for && connection.quiet() {
                return Some((connection, since));
            }
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool<Place>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a connection that rests since then, and from when on it may carry a call.
    fn keep(&self, place: &Place, connection: Connection, times: (Micros, Option<Micros>)) {
        let (watch, broken_place) = (self.watch.clone(), place.clone());
        let broken = move |connection: &Connection, how| watch.broken(&broken_place, connection, how);
        let most = self.most_idle.load(Ordering::Relaxed);
        self.pool().keep(self.clock, place, connection, times, most, broken);
    }

    /// Keeps so many idle connections from now on; closes all where that is none.
    pub fn keep_at_most(&self, most: usize) {
        self.most_idle.store(most - most / SETTLING_PART, Ordering::Relaxed);
        if most == 0 {
            *self.pool() = Pool::default();
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, target: TargetId) {
        self.pool().retain(|(_, leads_to), _| *leads_to != Some(target));
    }

    /// Closes the connections that have been idle for too long; tells when to look again.
    pub fn retire(&self) -> Micros {
        let (now, idle_for) = (self.clock.now(), self.idle_for);
        self.pool().retain(|_, since| now - since < idle_for);
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
