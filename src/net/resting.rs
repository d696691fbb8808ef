//! Connections that rest between calls. Each is watched while it rests, so that bytes which nobody asked for are seen
//! whenever they come.

use std::collections::HashMap;
use std::hash::Hash;

use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;
use verdict::Settlement;

use super::http::AnswerCodec;
use super::quiet;
use super::stream::Stream;
use crate::exchange::Clock;
use crate::interface::Micros;

/// Resting connections kept to one endpoint.
const MAX_PER_ENDPOINT: usize = 16;
/// A connection is not used again while an answer on it is unsettled for longer than this, in microseconds.
const MAX_UNSETTLED: Micros = 500_000;
/// Bytes of a surplus that are looked at.
const SURPLUS_BYTES: usize = 1024;

/// A connection, and what it carried.
pub struct Connection {
    /// The framed socket.
    pub framed: Framed<Stream, AnswerCodec>,
    /// Its number in this process.
    pub number: u64,
    /// Calls that were written on it.
    pub calls: u32,
    /// Whether the other side said that it closes it.
    pub closing: bool,
    /// Answers that are not settled yet.
    pub settling: Settling,
}

/// Answers on a connection that may be copies of earlier ones. Whoever waits for one hears what came after it; nothing, if the
/// connection ended.
#[derive(Default)]
pub struct Settling {
    waiting: Vec<oneshot::Sender<Settlement>>,
    since: Micros,
    until: Micros,
}

impl Settling {
    /// Adds an answer that came now, and settles all if the connection stays quiet until then.
    pub fn add(&mut self, now: Micros, until: Micros) -> oneshot::Receiver<Settlement> {
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.until = self.until.max(until);
        let (settled, answer) = oneshot::channel();
        self.waiting.push(settled);
        answer
    }

    /// Whether no answer waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When those that wait count, if the connection stays quiet.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_empty()).then_some(self.until)
    }

    /// Tells what came after all that wait.
    pub fn conclude(&mut self, after: Settlement) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.send(after);
        }
    }
}

/// How the rest of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The other side closed or reset it.
    Closed,
    /// Something came that nobody had asked for.
    Surplus(Surplus),
}

/// Bytes that nobody had asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surplus {
    /// How many lay there.
    pub bytes: usize,
    /// The status in their first line, if they begin with one.
    pub status: Option<u16>,
}

impl Surplus {
    /// What can be said of these bytes.
    pub fn read(bytes: &[u8]) -> Self {
        let status = bytes.strip_prefix(b"HTTP/1.").and_then(|rest| rest.get(2..5));
        let status =
            status.and_then(|code| std::str::from_utf8(code).ok()).and_then(|code| code.parse().ok());
        Surplus { bytes: bytes.len(), status }
    }
}

impl Connection {
    /// Comes once the connection is no longer quiet.
    pub async fn broken(&self) -> Broken {
        if !self.framed.read_buffer().is_empty() {
            return Broken::Surplus(Surplus::read(self.framed.read_buffer()));
        }
        let mut bytes = [0; SURPLUS_BYTES];
        match self.framed.get_ref().peek(&mut bytes).await {
            Ok(read @ 1..) => Broken::Surplus(Surplus::read(&bytes[..read])),
            Ok(0) | Err(_) => Broken::Closed,
        }
    }

    /// Whether it is open and nothing lies on it, as the system has it at this moment.
    pub fn quiet(&self) -> bool {
        self.framed.read_buffer().is_empty() && quiet(self.framed.get_ref())
    }

    /// Whether bytes or an end lie on it that were not read yet, as the system has it at this moment.
    pub fn unread(&self) -> bool {
        !quiet(self.framed.get_ref())
    }
}

/// A connection at rest.
struct Resting {
    since: Micros,
    usable_at: Micros,
    /// The time of the first answer that is not settled, and when it will be.
    unsettled: Option<(Micros, Micros)>,
    /// Asks its watch for it; dropped, closes it.
    take: oneshot::Sender<()>,
    watch: JoinHandle<Option<Connection>>,
}

impl Resting {
    /// Whether it may carry a call. Answers settle only at rest, so that one with an answer that waits for long rests on.
    fn usable(&self, now: Micros) -> bool {
        let waits = self.unsettled.is_some_and(|(since, until)| now < until && now >= since + MAX_UNSETTLED);
        self.usable_at <= now && !waits && !self.watch.is_finished()
    }
}

/// Resting connections, by whom they lead to. Invariant: none has a call out.
pub struct Pool<K> {
    resting: HashMap<K, Vec<Resting>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Pool { resting: HashMap::new() }
    }
}

/// A connection that is asked of its watch.
pub struct Taken {
    since: Micros,
    take: oneshot::Sender<()>,
    watch: JoinHandle<Option<Connection>>,
}

impl Taken {
    /// The connection and since when it rested, if it is still open and quiet.
    pub async fn connection(self) -> Option<(Connection, Micros)> {
        self.take.send(()).ok()?;
        let connection = self.watch.await.ok().flatten()?;
        Some((connection, self.since))
    }
}

impl<K: Clone + Eq + Hash> Pool<K> {
    /// Watches a connection that rests since then, and may carry a call from `usable_at` on unless that is `None`. At most
    /// `most` are kept; another one is closed once its answers are settled. `broken` is told how its quiet ended by itself.
    pub fn keep(
        &mut self, clock: Clock, key: &K, connection: Connection,
        (since, usable_at): (Micros, Option<Micros>), most: usize,
        broken: impl FnOnce(&Connection, Broken) + Send + 'static,
    ) {
        if self.count() >= most {
            self.resting.values_mut().for_each(|resting| resting.retain(|one| !one.watch.is_finished()));
        }
        let room = self.count() < most;
        let resting = self.resting.entry(key.clone()).or_default();
        resting.retain(|one| !one.watch.is_finished());
        let settling = &connection.settling;
        let unsettled = (!settling.is_empty()).then_some((settling.since, settling.until));
        let usable_at = usable_at.filter(|_| room && resting.len() < MAX_PER_ENDPOINT);
        if usable_at.is_none() && unsettled.is_none() {
            return;
        }
        let (take, taken) = oneshot::channel();
        let watch = tokio::spawn(watch(clock, connection, taken, broken));
        if let Some(usable_at) = usable_at {
            resting.push(Resting { since, usable_at, unsettled, take, watch });
        }
    }

    /// The connection to take: the one that came to rest last, of those that have rested for long enough.
    pub fn take(&mut self, key: &K, now: Micros) -> Option<Taken> {
        let resting = self.resting.get_mut(key)?;
        let found = resting.iter().rposition(|one| one.usable(now))?;
        let Resting { since, take, watch, .. } = resting.remove(found);
        Some(Taken { since, take, watch })
    }

    /// Number of connections kept.
    pub fn count(&self) -> usize {
        self.resting.values().map(Vec::len).sum()
    }

    /// Closes the connections for which this does not hold; it is given the key and since when one rests.
    pub fn retain(&mut self, keep: impl Fn(&K, Micros) -> bool) {
        self.resting.retain(|key, resting| {
            resting.retain(|one| !one.watch.is_finished() && keep(key, one.since));
            !resting.is_empty()
        });
    }
}

/// Owns a connection while it rests. Gives it back when it is asked for, and closes it once it is not kept or not quiet; one
/// that is not kept is watched until its answers are settled.
async fn watch(
    clock: Clock, mut connection: Connection, mut taken: oneshot::Receiver<()>,
    broken: impl FnOnce(&Connection, Broken),
) -> Option<Connection> {
    let mut kept = true;
    while kept || !connection.settling.is_empty() {
        let settled = clock.instant(connection.settling.until);
        tokio::select! {
            biased;
            how = connection.broken() => {
                connection.settling.conclude(match how {
                    // It said that it would.
                    Broken::Closed if connection.closing => Settlement::Settled,
                    Broken::Closed => Settlement::Unsettled,
                    Broken::Surplus(_) => Settlement::UnsolicitedData,
                });
                broken(&connection, how);
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
