//! The operators' door: a second address on which they ask what this process is at, and have it emptied or filled.
//! Owns its socket, a thread of its own, and a descriptor in reserve, so that it answers while the rest of the
//! program is busy or short of anything. It must never wait for the runtime, share a queue or a budget with clients,
//! or decide anything about a message.

use std::collections::VecDeque;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::{SinkExt, StreamExt};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use super::http::{Budget, Codec, HttpError, Message, Start};
use super::stream::Stream;
use crate::exchange::Clock;
use crate::interface::Micros;
use crate::standing::{ConnectionCounts, DecisionCounts, ProcessStatus, StoreHealth, StoreOutage};

/// Callers at a time; the oldest that is not done makes room for the next.
const CALLERS: usize = 24;
/// Descriptors that the door takes at the most: its socket, its callers, its poll, and the one in reserve.
pub const DESCRIPTORS: usize = CALLERS + 6;
/// A call's body may have so many bytes; none is needed.
const MOST_BODY: usize = 1024;
/// A whole call has to come within this.
const WHOLE_WITHIN: Micros = 5_000_000;
/// After the answer what still comes is read for so long.
const LINGER: Micros = 200_000;
/// While descriptors are short, one is tried for so often.
const LOOK_AGAIN: Micros = 5_000;

/// Opens the door and serves it from a thread of its own until the process ends.
///
/// # Errors
/// Where the address is not to be had.
pub fn open(address: SocketAddr, standing: Arc<ProcessStatus>, clock: Clock) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    info!("operators' door on {}", listener.local_addr()?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("door".into()).spawn(move || {
        if let Err(error) = runtime.block_on(serve(listener, standing, clock)) {
            warn!("operators' door: {error}");
        }
    })?;
    Ok(())
}

async fn serve(listener: TcpListener, standing: Arc<ProcessStatus>, clock: Clock) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let budget = Budget::new(CALLERS * MOST_BODY);
    let mut callers = JoinSet::new();
    let mut order: VecDeque<AbortHandle> = VecDeque::new();
    let mut reserve = File::open("/dev/null").ok();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = callers.join_next() => {
                order.retain(|caller| !caller.is_finished());
                if reserve.is_none() {
                    reserve = File::open("/dev/null").ok();
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                order.retain(|caller| !caller.is_finished());
                if order.len() >= CALLERS
                    && let Some(oldest) = order.pop_front()
                {
                    oldest.abort();
                }
                order.push_back(callers.spawn(call(stream, standing.clone(), clock, budget.clone())));
            }
            // Descriptors are short: the one in reserve is for this caller, then the oldest one's.
            Err(error) => {
                if reserve.take().is_none() {
                    warn!("operators' door: accept: {error}");
                    if let Some(oldest) = order.pop_front() {
                        oldest.abort();
                    }
                    tokio::time::sleep_until(clock.instant(clock.now() + LOOK_AGAIN)).await;
                }
            }
        }
    }
}

/// One call a connection.
async fn call(stream: TcpStream, standing: Arc<ProcessStatus>, clock: Clock, budget: Arc<Budget>) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(Stream::new(stream), Codec::server(MOST_BODY, budget));
    let by = clock.instant(clock.now() + WHOLE_WITHIN);
    let mut answer = match tokio::time::timeout_at(by, framed.next()).await {
        Ok(None | Some(Err(HttpError::Io(_)))) => return,
        Ok(Some(Ok(request))) => answer(&request, &standing),
        Ok(Some(Err(error @ HttpError::TooLarge(_)))) => Message::response(413, error.to_string()),
        Ok(Some(Err(error))) => Message::response(400, error.to_string()),
        Err(_) => Message::response(408, HttpError::Late.to_string()),
    };
    answer.keep_alive = false;
    let sent = tokio::time::timeout_at(clock.instant(clock.now() + LINGER), framed.send(&answer)).await;
    if matches!(sent, Ok(Ok(()))) {
        // Closed with bytes unread, the connection would be reset, and the answer might be lost with it.
        let mut stream = framed.into_inner();
        let (mut bytes, until) = ([0; 1024], clock.instant(clock.now() + LINGER));
        if stream.shutdown().await.is_ok() {
            while let Ok(Ok(1..)) = tokio::time::timeout_at(until, stream.read(&mut bytes)).await {}
        }
    }
}

/// The state of the store, as operators are shown it.
fn store(health: &StoreHealth) -> Value {
    match &health.outage {
        None => json!({"state": "working", "outages": health.outages}),
        Some(StoreOutage { since, failures, error }) => json!({"state": "failing", "outages": health.outages,
            "since": *since as f64 / 1e6, "failures": failures, "error": error}),
    }
}

/// The connections to endpoints, as operators are shown them.
fn connections(counts: &ConnectionCounts) -> Value {
    let ConnectionCounts { opened, unsolicited, ambiguous, not_reused, decisions } = counts;
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let DecisionCounts { delivered, ended_elsewhere, may_have_ended, exhausted, owed } = decisions;
    json!({"opened": read(opened), "surplus": read(unsolicited), "doubtful": read(ambiguous), "withheld": read(not_reused),
        "verdicts": {"delivered": read(delivered), "over": read(ended_elsewhere), "may_have_ended": read(may_have_ended),
            "spent": read(exhausted), "owed": read(owed)}})
}

/// What a call is answered.
fn answer(request: &Message, standing: &ProcessStatus) -> Message {
    let Start::Request(method, path) = &request.start else { return Message::response(400, "no request") };
    let path = path.split('?').next().unwrap_or_default();
    let (needed, order) = match path {
        "/status" => ("GET", None),
        "/standby" => ("POST", Some(true)),
        "/active" => ("POST", Some(false)),
        _ => return Message::response(404, "known are GET /status, POST /standby and POST /active\n"),
    };
    if method != needed {
        return Message::response(405, format!("{path} takes {needed}\n")).with("Allow", needed);
    }
    let status = match order.map(|standby| standing.set_standby(standby)) {
        Some(Ok(())) => 200,
        Some(Err(_)) => 409,
        None if standing.ready() => 200,
        None => 503,
    };
    let (held, out) = standing.counts();
    let mut body = json!({"state": standing.state_name(), "ready": standing.ready(), "held": held, "out": out,
        "since": standing.since() as f64 / 1e6});
    if let Some(fields) = body.as_object_mut() {
        fields.insert("store".into(), store(&standing.store()));
        fields.insert("connections".into(), connections(standing.connections()));
    }
    let why = standing.waiting_reason();
    if !why.is_empty()
        && let Some(fields) = body.as_object_mut()
    {
        fields.insert("why".into(), why.into());
    }
    Message::response(status, format!("{body}\n")).with("Content-Type", "application/json")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::standing::Phase;

    #[test]
    fn each_call_is_answered_by_its_method_its_path_and_what_the_process_is_at() {
        let standing = ProcessStatus::starting(Clock::start());
        let asked = |method: &str, path: &str| {
            let answer = answer(&Message::request(method, path), &standing);
            let Start::Response(status) = answer.start else { panic!("an answer") };
            (status, answer.header("Allow").map(String::from))
        };
        let status = |method: &str, path: &str| asked(method, path).0;
        assert_eq!(status("GET", "/status"), 503);
        standing.enter(Phase::Serving);
        assert_eq!(status("GET", "/status"), 200);
        assert_eq!((status("POST", "/standby"), status("POST", "/standby")), (200, 200));
        assert_eq!(status("GET", "/status"), 503);
        assert_eq!((status("POST", "/active"), status("GET", "/status")), (200, 200));
        assert_eq!(asked("POST", "/status"), (405, Some("GET".into())));
        assert_eq!(asked("GET", "/active"), (405, Some("POST".into())));
        assert_eq!(status("GET", "/"), 404);
        standing.enter(Phase::Superseded);
        assert_eq!((status("POST", "/standby"), status("GET", "/status")), (409, 503));
    }
}
