//! Pool of idle connections. Each connection is watched while it is idle, so that surplus bytes, which no request asked for, are
//! noticed whenever they arrive.

use std::collections::HashMap;
use std::hash::Hash;

use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;
use verdict::Settlement;

use super::http::ResponseCodec;
use super::is_quiet;
use super::stream::Stream;
use crate::exchange::Clock;
use crate::interface::Micros;

/// Maximum number of idle connections to one endpoint.
const MAX_PER_ENDPOINT: usize = 16;
/// A connection is not reused while an answer on it has been unsettled for longer than this, in microseconds.
const MAX_UNSETTLED: Micros = 500_000;
/// Maximum number of surplus bytes that are inspected.
const MAX_INSPECTED_BYTES: usize = 1024;

/// A connection, and what it has carried.
pub struct Connection {
    /// The framed socket.
    pub framed: Framed<Stream, ResponseCodec>,
    /// Number of the connection in this process.
    pub number: u64,
    /// Number of calls that were written on it.
    pub calls: u32,
    /// Whether the peer announced that it closes the connection.
    pub closing: bool,
    /// Answers that are not settled yet.
    pub settling: Settling,
}

/// Answers on a connection that may be duplicates of earlier ones, until it is known what follows them. The receivers get no value
/// if the connection ended before that.
#[derive(Default)]
pub struct Settling {
    waiting: Vec<oneshot::Sender<Settlement>>,
    since: Micros,
    until: Micros,
}

impl Settling {
    /// Adds an answer that arrived at `now`. All answers are settled if nothing arrives on the connection before `until`.
    pub fn add(&mut self, now: Micros, until: Micros) -> oneshot::Receiver<Settlement> {
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.until = self.until.max(until);
        let (settled, answer) = oneshot::channel();
        self.waiting.push(settled);
        answer
    }

    /// Returns whether all answers are settled.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns when the answers are settled if nothing else arrives on the connection.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_empty()).then_some(self.until)
    }

    /// Reports what followed all unsettled answers.
    pub fn conclude(&mut self, after: Settlement) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.send(after);
        }
    }
}

/// Why a connection can no longer be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleEnd {
    /// The peer closed or reset it.
    Closed,
    /// Surplus bytes arrived.
    Surplus(Surplus),
}

/// Bytes that no request asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surplus {
    /// Number of bytes that were available.
    pub bytes: usize,
    /// The HTTP status, if the bytes begin with a status line.
    pub status: Option<u16>,
}

impl Surplus {
    /// Describes surplus bytes.
    pub fn read(bytes: &[u8]) -> Self {
        let status = bytes.strip_prefix(b"HTTP/1.").and_then(|rest| rest.get(2..5));
        let status =
            status.and_then(|code| std::str::from_utf8(code).ok()).and_then(|code| code.parse().ok());
        Surplus { bytes: bytes.len(), status }
    }
}

impl Connection {
    /// Completes once bytes arrive or the connection ends.
    pub async fn idle_end(&self) -> IdleEnd {
        if !self.framed.read_buffer().is_empty() {
            return IdleEnd::Surplus(Surplus::read(self.framed.read_buffer()));
        }
        let mut bytes = [0; MAX_INSPECTED_BYTES];
        match self.framed.get_ref().peek(&mut bytes).await {
            Ok(read @ 1..) => IdleEnd::Surplus(Surplus::read(&bytes[..read])),
            Ok(0) | Err(_) => IdleEnd::Closed,
        }
    }

    /// Returns whether it is open with nothing left to read, by the current state of the socket.
    pub fn is_quiet(&self) -> bool {
        self.framed.read_buffer().is_empty() && is_quiet(self.framed.get_ref())
    }

    /// Returns whether unread bytes or an end of stream are available, by the current state of the socket.
    pub fn has_unread(&self) -> bool {
        !is_quiet(self.framed.get_ref())
    }
}

/// An idle connection.
struct IdleConnection {
    since: Micros,
    usable_at: Micros,
    /// When the first unsettled answer arrived, and when the answers are settled.
    unsettled: Option<(Micros, Micros)>,
    /// Asks the watching task for the connection. Dropping it closes the connection.
    take: oneshot::Sender<()>,
    watch: JoinHandle<Option<Connection>>,
}

impl IdleConnection {
    /// Returns whether it may carry a call. Answers settle only while the connection is idle, so a connection with an answer that
    /// has been unsettled for long stays idle.
    fn is_usable(&self, now: Micros) -> bool {
        let waits = self.unsettled.is_some_and(|(since, until)| now < until && now >= since + MAX_UNSETTLED);
        self.usable_at <= now && !waits && !self.watch.is_finished()
    }
}

/// Idle connections by key. Invariant: none of them has a call in flight.
pub struct Pool<K> {
    idle: HashMap<K, Vec<IdleConnection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Pool { idle: HashMap::new() }
    }
}

/// A connection taken from the pool, which its watching task still holds.
pub struct PendingConnection {
    since: Micros,
    take: oneshot::Sender<()>,
    watch: JoinHandle<Option<Connection>>,
}

impl PendingConnection {
    /// Returns the connection and since when it was idle, if it is still open and quiet.
    pub async fn connection(self) -> Option<(Connection, Micros)> {
        self.take.send(()).ok()?;
        let connection = self.watch.await.ok().flatten()?;
        Some((connection, self.since))
    }
}

impl<K: Clone + Eq + Hash> Pool<K> {
    /// Watches a connection that is idle since a time. It may carry a call from `usable_at` on, or never if that is `None`. At most
    /// `max_idle` connections are kept; a further one is closed once its answers are settled. `on_end` is called if the
    /// connection ends or surplus bytes arrive while it is idle.
    pub fn keep(
        &mut self, clock: Clock, key: &K, connection: Connection,
        (since, usable_at): (Micros, Option<Micros>), max_idle: usize,
        on_end: impl FnOnce(&Connection, IdleEnd) + Send + 'static,
    ) {
        if self.count() >= max_idle {
            self.idle.values_mut().for_each(|idle| idle.retain(|one| !one.watch.is_finished()));
        }
        let room = self.count() < max_idle;
        let idle = self.idle.entry(key.clone()).or_default();
        idle.retain(|one| !one.watch.is_finished());
        let settling = &connection.settling;
        let unsettled = (!settling.is_empty()).then_some((settling.since, settling.until));
        let usable_at = usable_at.filter(|_| room && idle.len() < MAX_PER_ENDPOINT);
        if usable_at.is_none() && unsettled.is_none() {
            return;
        }
        let (take, taken) = oneshot::channel();
        let watch = tokio::spawn(watch(clock, connection, taken, on_end));
        if let Some(usable_at) = usable_at {
            idle.push(IdleConnection { since, usable_at, unsettled, take, watch });
        }
    }

    /// Takes the usable connection that became idle last.
    pub fn take(&mut self, key: &K, now: Micros) -> Option<PendingConnection> {
        let idle = self.idle.get_mut(key)?;
        let found = idle.iter().rposition(|one| one.is_usable(now))?;
        let IdleConnection { since, take, watch, .. } = idle.remove(found);
        Some(PendingConnection { since, take, watch })
    }

    /// Returns the number of connections kept.
    pub fn count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes the connections for which `keep` returns false, given the key and since when the connection is idle.
    pub fn retain(&mut self, keep: impl Fn(&K, Micros) -> bool) {
        self.idle.retain(|key, idle| {
            idle.retain(|one| !one.watch.is_finished() && keep(key, one.since));
            !idle.is_empty()
        });
    }
}

/// Holds a connection while it is idle. Returns it when it is taken, and closes it when it is dropped from the pool or no longer
/// quiet. A connection that is not in the pool is watched until its answers are settled.
async fn watch(
    clock: Clock, mut connection: Connection, mut taken: oneshot::Receiver<()>,
    on_end: impl FnOnce(&Connection, IdleEnd),
) -> Option<Connection> {
    let mut kept = true;
    while kept || !connection.settling.is_empty() {
        let settled = clock.instant(connection.settling.until);
        tokio::select! {
        biased;
        end = connection.idle_end() => {
        connection.settling.conclude(match end {
        // The peer announced the close.
        IdleEnd::Closed if connection.closing => Settlement::Settled,
        IdleEnd::Closed => Settlement::Unsettled,
        IdleEnd::Surplus(_) => Settlement::UnsolicitedData,
        });
        on_end(&connection, end);
        return None;
        }
        taken = &mut taken, if kept => match taken {
        Ok(()) => return Some(connection),
        Err(_) => kept = false,
        },
        () = tokio::time::sleep_until(settled), if !connection.settling.is_empty() => connection.settling.conclude(Settlement::Settled),
        }
    }
    None
}
