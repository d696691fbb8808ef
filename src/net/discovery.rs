//! Discovery: keeps the destination set fresh by a watch that is renewed at once, and takes the platform the
//! notices. Owns the two connections to the platform's agent, and moves both when a new configuration names
//! another address. It must never judge an endpoint's health.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;

use super::http::{Codec, Message, Start};
use super::quiet;
use super::stream::Stream;
use tracing::{debug, info, warn};

use crate::exchange::{Clock, Member, Notice};
use crate::input::Input;
use crate::interface::{ListUpdate, Micros, ServiceState};
use crate::jitter;
use crate::wire::RawEntry;

/// A list may have so many bytes.
const MOST_LIST: usize = 4 << 20;
/// How long a watch waits for news. One that has fallen silent is found out only after that.
pub const WATCH: Micros = 20_000_000;
/// The same where an agent on the relay's own machine is pushed the list: asking it costs nothing.
pub const WATCH_PUSHED: Micros = 4_000_000;
/// An answer that is so late will not come.
const SILENCE: Micros = 1_000_000;
/// What discovery has counts as told so long after a call that failed, or after one that fell silent was begun; where
/// such a call may wait, at least so long after its wait.
const TOLD_WITHIN: Micros = 6_000_000;
const TOLD_AFTER_WAIT: Micros = 2_000_000;
/// Part of that, for the runtime to act on the answer.
const ACTS_WITHIN: Micros = 500_000;
/// Discovery is asked about once in so long by all relays together, where it does not answer.
const PAUSE: Micros = 20_000;
/// Shortest time between two log lines about reports that are not acknowledged, in microseconds.
const WARN_EVERY: Micros = 1_000_000;
/// Most doublings of a relay's pause.
const MOST_DOUBLINGS: u32 = 4;

/// The pauses between calls that fail. Guards discovery against a fleet: a hundred relays that are turned away
/// together, and ask again in step or soon, keep it from answering any of them.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    seed: u64,
    relays: u32,
    grace: Micros,
    failures: u32,
    goes_on: bool,
}

impl BackOff {
    /// The pauses of one of so many relays; the seed tells it from others. Sends to an endpoint have to cease within the
    /// grace of the news that it drains, which counts as told while a relay has not asked.
    pub fn new(relays: u32, seed: u64, grace: Micros) -> Self {
        BackOff { seed, relays, grace, failures: 0, goes_on: false }
    }

    /// The pauses of one that goes on where another process was watching: the first call comes at once.
    #[must_use]
    pub fn watching(mut self) -> Self {
        self.goes_on = true;
        self
    }

    /// Before the first call: relays of one release start together. Not for longer than half the grace, however many
    /// they are: what drains meanwhile would be called after it.
    pub fn start(&self) -> Micros {
        let part = if self.goes_on { 0.0 } else { jitter::uniform(self.seed) };
        let spread = Micros::from(self.relays.saturating_sub(1)) * PAUSE;
        (part * spread.min(self.grace / 2) as f64) as Micros
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call failed; the pause until the next, `most` at the longest. However many relays there are, what changes
    /// counts as told by a time of its own; the pauses stay spread below that.
    pub fn failed(&mut self, most: Micros) -> Micros {
        let usual = f64::from(self.relays.max(2) << self.failures.min(MOST_DOUBLINGS)) * PAUSE as f64;
        self.failures += 1;
        self.seed = self.seed.wrapping_add(u64::from(self.failures));
        (usual.min(most.max(0) as f64 / 1.5) * (0.5 + jitter::uniform(self.seed))) as Micros
    }
}

/// The longest pause after a call that was begun then, might wait so long, and failed by now: by its answer or a break,
/// or by silence. The next call has to be answered before what changed meanwhile counts as told.
pub fn longest_pause(now: Micros, began: Micros, wait: Micros, silent: bool) -> Micros {
    let told = if silent { began + TOLD_WITHIN.max(wait + TOLD_AFTER_WAIT) } else { now + TOLD_WITHIN };
    (told - SILENCE - ACTS_WITHIN - now).max(0)
}

/// A list or changes to one, as the agent tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Its version.
    pub revision: i64,
    /// The whole list.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// Reads a list in the agent's form; the error names the faulty key.
pub fn told(value: &Value) -> Result<Told, String> {
    let revision = value.get("revision").and_then(Value::as_i64).ok_or("revision is not a whole number")?;
    let complete = value.get("complete").and_then(Value::as_bool).ok_or("complete is not true or false")?;
    let members = value.get("members").and_then(Value::as_array).ok_or("members is not a list")?;
    let members = members.iter().enumerate();
    let members = members.map(|(i, entry)| member(entry).map_err(|key| format!("members.{i}.{key}")));
    Ok(Told { revision, complete, members: members.collect::<Result<_, _>>()? })
}

fn member(value: &Value) -> Result<Member, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str).ok_or(format!("{key} is not a text"));
    let listed = match text("phase")? {
        "Ready" => ServiceState::InService,
        "Terminating" => ServiceState::Draining,
        "Gone" => ServiceState::Removed,
        other => return Err(format!("phase is {other:?}, expected Ready, Terminating or Gone")),
    };
    let cell = value.get("cell").and_then(Value::as_i64).ok_or("cell is not a whole number")?;
    let size = value.get("size").and_then(Value::as_f64).unwrap_or(0.0);
    let id = text("id")?.to_string();
    let (kind, zone) = (text("flavor")?.to_string(), text("locality")?.to_string());
    let entry = RawEntry::new(kind, listed, cell, zone, size, id.clone());
    Ok(Member { entry, id, address: text("host_port")?.into() })
}

type Connection = Framed<Stream, Codec>;

/// Where something is to be asked or told, as the newest configuration has it.
pub type Address = watch::Receiver<Option<Arc<str>>>;

/// One call on a kept connection, which is dropped if it fails or is not answered by then. One on which something lies
/// that nobody asked for is not used.
async fn ask(
    clock: Clock, address: &str, kept: &mut Option<Connection>, request: &Message, by: Micros,
) -> Option<Message> {
    let answer = async {
        let quiet = |kept: &Connection| kept.read_buffer().is_empty() && quiet(kept.get_ref());
        let mut connection = match kept.take().filter(quiet) {
            Some(connection) => connection,
            None => {
                let socket = TcpStream::connect(address).await.ok()?;
                let _ = socket.set_nodelay(true);
                Framed::new(Stream::new(socket), Codec::client(MOST_LIST))
            }
        };
        connection.send(request).await.ok()?;
        let answer = connection.next().await?.ok()?;
        if answer.keep_alive {
            *kept = Some(connection);
        }
        Some(answer)
    };
    tokio::time::timeout_at(clock.instant(by), answer).await.ok().flatten()
}

/// Follows the list from `revision` on, at whatever address is the newest, by watches that wait so long.
pub async fn follow(
    clock: Clock, mut address: Address, held: Arc<AtomicI64>, (mut back_off, watch): (BackOff, Micros),
    inputs: mpsc::Sender<Input>,
) {
    let mut kept = None;
    pause(clock, &mut address, back_off.start()).await;
    let (mut gap, mut failing) = (false, false);
    let mut revision = held.load(Ordering::Relaxed);
    loop {
        let Some(at) = address.borrow_and_update().clone() else {
            if address.changed().await.is_err() {
                return;
            }
            continue;
        };
        // A whole list comes at once or, while discovery is down, not at all: it is then asked for anew. So does what
        // was missed, after a call that failed.
        let wait = if gap || failing { 0 } else { watch };
        let path = match gap {
            true => "/registry/instances".to_string(),
            false => format!("/registry/instances?index={revision}&wait={}", wait / 1000),
        };
        let request = Message::request("GET", &path).with("Host", &*at);
        let began = clock.now();
        let by = began + wait + SILENCE;
        let answer = tokio::select! {
            answer = ask(clock, &at, &mut kept, &request, by) => answer,
            // What the old address had left to tell, the new one tells with the whole list.
            Ok(()) = address.changed() => {
                (gap, kept) = (true, None);
                continue;
            }
        };
        debug!(path, got = ?answer.as_ref().map(|a| (a.start.clone(), a.body.len())), "list asked");
        let answer = answer.filter(|answer| answer.start == Start::Response(200));
        let read = answer.map(|a| serde_json::from_slice::<Value>(&a.body).map_err(|e| e.to_string()));
        match read.map(|value| value.and_then(|value| told(&value))) {
            Some(Ok(told)) => {
                back_off.answered();
                (gap, failing) = (false, false);
                // Guards against a spin where an agent does not wait before it tells nothing.
                if wait > 0 && told.members.is_empty() && clock.now() < began + PAUSE {
                    pause(clock, &mut address, PAUSE).await;
                }
                // One that is older than what is held tells nothing new, and may be a copy of an earlier answer.
                if told.revision < revision {
                    kept = None;
                    pause(clock, &mut address, PAUSE).await;
                    continue;
                }
                revision = told.revision;
                let form = if told.complete { ListUpdate::Full } else { ListUpdate::Changes };
                if (told.complete || !told.members.is_empty())
                    && inputs.send(Input::Listed(form, told.members)).await.is_err()
                {
                    return;
                }
                // Only once the runtime has it, so that another process is not told of news that is still on its way.
                held.store(revision, Ordering::Relaxed);
            }
            failed => {
                if let Some(Err(why)) = failed {
                    warn!("discovery: {why}");
                }
                // The version held says what was missed; a whole list of every relay is what overbooks discovery.
                (kept, failing) = (None, true);
                let now = clock.now();
                let most = longest_pause(now, began, wait, now >= by);
                pause(clock, &mut address, back_off.failed(most)).await;
            }
        }
    }
}

/// Waits a little, or until there is another address.
async fn pause(clock: Clock, address: &mut Address, span: Micros) {
    tokio::select! {
        () = tokio::time::sleep_until(clock.instant(clock.now() + span)) => {}
        Ok(()) = address.changed() => {}
    }
}

/// Takes notices to the newest address, each until it is acknowledged. Each request has a connection of its own, so that
/// an acknowledgement which comes twice is none of the next request's.
pub async fn notify(
    clock: Clock, mut address: Address, mut notices: mpsc::UnboundedReceiver<Notice>,
    inputs: mpsc::Sender<Input>,
) {
    let mut warn_at = Micros::MIN;
    let mut pending = Vec::new();
    while notices.recv_many(&mut pending, 64).await > 0 {
        let lines: String = pending.iter().map(line).collect();
        loop {
            let Some(at) = address.borrow_and_update().clone() else {
                // With nobody to tell, an end is told by the record and the log.
                lines.lines().for_each(|line| info!("ended: {line}"));
                break;
            };
            let mut request = Message::request("POST", "/reports").with("Host", &*at);
            request.body = lines.clone().into();
            let by = clock.now() + SILENCE;
            let mut own = None;
            let answer = tokio::select! {
                answer = ask(clock, &at, &mut own, &request, by) => answer,
                // What the old address may have heard does no harm at the new one.
                Ok(()) = address.changed() => continue,
            };
            match answer.map(|answer| answer.start) {
                Some(Start::Response(204)) => break,
                other => {
                    if clock.now() >= warn_at {
                        warn_at = clock.now() + WARN_EVERY;
                        warn!("reports are not acknowledged, the last answer was {other:?}; sent again");
                    }
                    pause(clock, &mut address, PAUSE).await;
                }
            }
        }
        let ids = pending.drain(..).map(|notice| notice.id).collect();
        if inputs.send(Input::Acknowledged(ids)).await.is_err() {
            return;
        }
    }
}

fn line(notice: &Notice) -> String {
    let outcome = if notice.handed_back { "handed_back" } else { "given_up" };
    let mut object = json!({"message": notice.id, "outcome": outcome});
    if let (Some(ms), Some(object)) = (notice.retry_in_ms, object.as_object_mut()) {
        object.insert("retry_in_ms".into(), ms.into());
    }
    format!("{object}\n")
}
