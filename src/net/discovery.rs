//! Discovery: keeps the destination set up to date by a continuous watch, and sends non-delivery reports to the platform. Both
//! connections to the platform's agent move when a new configuration names another address. Endpoint health is not judged here.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;

use super::http::{Codec, Message, Start};
use super::is_quiet;
use super::stream::Stream;
use tracing::{debug, info, warn};

use crate::exchange::{Clock, Member, NonDeliveryReport};
use crate::input::Input;
use crate::interface::{ListUpdate, Micros, ServiceState};
use crate::jitter;
use crate::wire::RawEntry;

/// Maximum size of a list.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Time for which a watch waits for changes, in microseconds. A watch that has fallen silent is noticed only after that.
pub const WATCH_WAIT: Micros = 20_000_000;
/// The same where the agent runs on the relay's machine and gets the list pushed, in microseconds: requests to it are cheap.
pub const LOCAL_WATCH_WAIT: Micros = 4_000_000;
/// Time after which a late answer is no longer expected, in microseconds.
const ANSWER_TIMEOUT: Micros = 1_000_000;
/// Time after which changes are deemed to be known to the relay, in microseconds: counted from the end of a failed request, or
/// from the start of one without an answer.
const KNOWN_WITHIN: Micros = 6_000_000;
/// The same after the wait of a watch without an answer, if that is later, in microseconds.
const KNOWN_AFTER_WAIT: Micros = 2_000_000;
/// Part of that time for the runtime to apply the answer, in microseconds.
const APPLY_TIME: Micros = 500_000;
/// Approximate interval of the requests of all relays together while discovery does not answer, in microseconds.
const REQUEST_INTERVAL: Micros = 20_000;
/// Minimum interval between warnings about unacknowledged reports, in microseconds.
const WARN_INTERVAL: Micros = 1_000_000;
/// Maximum number of doublings of a relay's pause.
const MAX_DOUBLINGS: u32 = 4;

/// Pauses between failed requests. Protects discovery from a fleet: a hundred relays that are refused together, and retry soon or in
/// step, would keep it from answering any of them.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    seed: u64,
    relays: u32,
    grace: Micros,
    failures: u32,
    resumes: bool,
}

impl Backoff {
    /// Creates the pauses of one of `relays` relays. `seed` differs between relays. Calls to an endpoint must stop within `grace`
    /// after its drain is announced, even if the relay has not requested the list yet.
    pub fn new(relays: u32, seed: u64, grace: Micros) -> Self {
        Backoff { seed, relays, grace, failures: 0, resumes: false }
    }

    /// Continues the watch of another process: the first request is sent at once.
    #[must_use]
    pub fn resuming(mut self) -> Self {
        self.resumes = true;
        self
    }

    /// Returns the pause before the first request: relays of one release start together. It is at most half the grace, whatever
    /// their number; otherwise an endpoint that drains meanwhile would be called after its grace.
    pub fn initial_delay(&self) -> Micros {
        let fraction = if self.resumes { 0.0 } else { jitter::uniform(self.seed) };
        let spread = Micros::from(self.relays.saturating_sub(1)) * REQUEST_INTERVAL;
        (fraction * spread.min(self.grace / 2) as f64) as Micros
    }

    /// Resets the pauses after an answer.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause after a failed request, at most `limit`. Changes are deemed to be known after a time that does not depend on
    /// the number of relays, so the pauses are spread below that limit.
    pub fn next_pause(&mut self, limit: Micros) -> Micros {
        let usual =
            f64::from(self.relays.max(2) << self.failures.min(MAX_DOUBLINGS)) * REQUEST_INTERVAL as f64;
        self.failures += 1;
        self.seed = self.seed.wrapping_add(u64::from(self.failures));
        (usual.min(limit.max(0) as f64 / 1.5) * (0.5 + jitter::uniform(self.seed))) as Micros
    }
}

/// Returns the maximum pause after a request that began at `began`, could wait for `wait` and failed at `now`. `silent` is whether it
/// failed by a timeout rather than by its answer or a broken connection. The next request has to be answered before changes since
/// then are deemed to be known.
pub fn max_pause(now: Micros, began: Micros, wait: Micros, silent: bool) -> Micros {
    let known_at =
        if silent { began + KNOWN_WITHIN.max(wait + KNOWN_AFTER_WAIT) } else { now + KNOWN_WITHIN };
    (known_at - ANSWER_TIMEOUT - APPLY_TIME - now).max(0)
}

/// A list, or changes to one, as the agent sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberList {
    /// Version of the list.
    pub revision: i64,
    /// Whether the list is complete.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// Parses a list in the agent's format.
///
/// # Errors
/// A text that names the invalid key.
pub fn parse_list(value: &Value) -> Result<MemberList, String> {
    let revision = value.get("revision").and_then(Value::as_i64).ok_or("revision is not a whole number")?;
    let complete = value.get("complete").and_then(Value::as_bool).ok_or("complete is not true or false")?;
    let members = value.get("members").and_then(Value::as_array).ok_or("members is not a list")?;
    let members = members.iter().enumerate();
    let members = members.map(|(i, entry)| parse_member(entry).map_err(|key| format!("members.{i}.{key}")));
    Ok(MemberList { revision, complete, members: members.collect::<Result<_, _>>()? })
}

fn parse_member(value: &Value) -> Result<Member, String> {
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

/// Address of the agent in the newest configuration.
pub type Address = watch::Receiver<Option<Arc<str>>>;

/// Makes a request on the kept connection, which is dropped if the request fails or is not answered by `by`. A connection on which
/// surplus bytes arrived is not used.
async fn send_request(
    clock: Clock, address: &str, kept: &mut Option<Connection>, request: &Message, by: Micros,
) -> Option<Message> {
    let answer = async {
        let quiet = |kept: &Connection| kept.read_buffer().is_empty() && is_quiet(kept.get_ref());
        let mut connection = match kept.take().filter(quiet) {
            Some(connection) => connection,
            None => {
                let socket = TcpStream::connect(address).await.ok()?;
                let _ = socket.set_nodelay(true);
                Framed::new(Stream::new(socket), Codec::client(MAX_LIST_BYTES))
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

/// Keeps the list up to date from the revision in `held` on, at the newest address, by watches that wait for `watch` microseconds.
pub async fn watch_list(
    clock: Clock, mut address: Address, held: Arc<AtomicI64>, (mut backoff, watch): (Backoff, Micros),
    inputs: mpsc::Sender<Input>,
) {
    let mut kept = None;
    pause(clock, &mut address, backoff.initial_delay()).await;
    let (mut request_all, mut failing) = (false, false);
    let mut revision = held.load(Ordering::Relaxed);
    loop {
        let Some(at) = address.borrow_and_update().clone() else {
            if address.changed().await.is_err() {
                return;
            }
            continue;
        };
        // A complete list is answered at once or, while discovery is down, not at all, so there is no point in waiting. The same
        // goes for changes that were missed because of a failed request.
        let wait = if request_all || failing { 0 } else { watch };
        let path = match request_all {
            true => "/registry/instances".to_string(),
            false => format!("/registry/instances?index={revision}&wait={}", wait / 1000),
        };
        let request = Message::request("GET", &path).with("Host", &*at);
        let began = clock.now();
        let by = began + wait + ANSWER_TIMEOUT;
        let answer = tokio::select! {
        answer = send_request(clock, &at, &mut kept, &request, by) => answer,
        // The complete list of the new address includes all changes that the old one did not deliver.
        Ok(()) = address.changed() => {
        (request_all, kept) = (true, None);
        continue;
        }
        };
        debug!(path, got = ?answer.as_ref().map(|a| (a.start.clone(), a.body.len())), "list requested");
        let answer = answer.filter(|answer| answer.start == Start::Response(200));
        let read = answer.map(|a| serde_json::from_slice::<Value>(&a.body).map_err(|e| e.to_string()));
        match read.map(|value| value.and_then(|value| parse_list(&value))) {
            Some(Ok(list)) => {
                backoff.reset();
                (request_all, failing) = (false, false);
                // Prevents a busy loop with an agent that answers without changes and without waiting.
                if wait > 0 && list.members.is_empty() && clock.now() < began + REQUEST_INTERVAL {
                    pause(clock, &mut address, REQUEST_INTERVAL).await;
                }
                // A list older than the held one has nothing new, and may be a duplicate of an earlier answer.
                if list.revision < revision {
                    kept = None;
                    pause(clock, &mut address, REQUEST_INTERVAL).await;
                    continue;
                }
                revision = list.revision;
                let form = if list.complete { ListUpdate::Full } else { ListUpdate::Changes };
                if (list.complete || !list.members.is_empty())
                    && inputs.send(Input::DestinationsUpdated(form, list.members)).await.is_err()
                {
                    return;
                }
                // Only after the runtime has the list: another process that takes over must not skip changes that are still queued.
                held.store(revision, Ordering::Relaxed);
            }
            failed => {
                if let Some(Err(why)) = failed {
                    warn!("discovery: {why}");
                }
                // The held revision is enough to get what was missed. Complete lists for every relay would overload discovery.
                (kept, failing) = (None, true);
                let now = clock.now();
                let limit = max_pause(now, began, wait, now >= by);
                pause(clock, &mut address, backoff.next_pause(limit)).await;
            }
        }
    }
}

/// Waits for a time, or until the address changes.
async fn pause(clock: Clock, address: &mut Address, span: Micros) {
    tokio::select! {
    () = tokio::time::sleep_until(clock.instant(clock.now() + span)) => {}
    Ok(()) = address.changed() => {}
    }
}

/// Sends non-delivery reports to the newest address until they are acknowledged. Each request has its own connection, so that a
/// duplicate acknowledgement is not taken for that of the next request.
pub async fn send_reports(
    clock: Clock, mut address: Address, mut notices: mpsc::UnboundedReceiver<NonDeliveryReport>,
    inputs: mpsc::Sender<Input>,
) {
    let mut warn_at = Micros::MIN;
    let mut pending = Vec::new();
    while notices.recv_many(&mut pending, 64).await > 0 {
        let lines: String = pending.iter().map(report_line).collect();
        loop {
            let Some(at) = address.borrow_and_update().clone() else {
                // Without an agent, the record and the log are the only report.
                lines.lines().for_each(|line| info!("ended: {line}"));
                break;
            };
            let mut request = Message::request("POST", "/reports").with("Host", &*at);
            request.body = lines.clone().into();
            let by = clock.now() + ANSWER_TIMEOUT;
            let mut connection = None;
            let answer = tokio::select! {
            answer = send_request(clock, &at, &mut connection, &request, by) => answer,
            // A report that the old address also received does no harm.
            Ok(()) = address.changed() => continue,
            };
            match answer.map(|answer| answer.start) {
                Some(Start::Response(204)) => break,
                other => {
                    if clock.now() >= warn_at {
                        warn_at = clock.now() + WARN_INTERVAL;
                        warn!("non-delivery reports not acknowledged, last answer: {other:?}; sending again");
                    }
                    pause(clock, &mut address, REQUEST_INTERVAL).await;
                }
            }
        }
        let ids = pending.drain(..).map(|notice| notice.id).collect();
        if inputs.send(Input::ReportsAcknowledged(ids)).await.is_err() {
            return;
        }
    }
}

fn report_line(notice: &NonDeliveryReport) -> String {
    let outcome = if notice.handed_back { "handed_back" } else { "given_up" };
    let mut object = json!({"message": notice.id, "outcome": outcome});
    if let (Some(ms), Some(object)) = (notice.retry_in_ms, object.as_object_mut()) {
        object.insert("retry_in_ms".into(), ms.into());
    }
    format!("{object}\n")
}
