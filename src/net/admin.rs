//! Admin endpoint: a second address on which operators query the state of the process and switch it between active and standby.
//! It has its own socket, thread and reserve descriptor, so that it answers while the rest of the process is busy or out of
//! resources. It does not wait for the runtime, shares no queue or memory budget with clients, and decides nothing about messages.

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

use super::http::{Codec, HttpError, MAX_HEAD_BUFFER_BYTES, MemoryBudget, Message, READ_BUFFER_BYTES, Start};
use super::stream::Stream;
use crate::exchange::Clock;
use crate::interface::Micros;
use crate::standing::{ConnectionCounts, DecisionCounts, ProcessStatus, StoreHealth, StoreOutage};

/// Maximum number of concurrent connections. The oldest one is closed for a further one.
const MAX_CONNECTIONS: usize = 24;
/// Maximum number of file descriptors in use: the socket, its connections, the event loop and the reserve descriptor.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 6;
/// Maximum size of a request body. No request needs one.
const MAX_BODY_BYTES: usize = 1024;
/// Time limit for a complete request, in microseconds.
const REQUEST_TIMEOUT: Micros = 5_000_000;
/// Time limit for writing the response, and for reading what arrives after it, in microseconds.
const LINGER_TIMEOUT: Micros = 200_000;
/// Interval between attempts to accept while descriptors are short, in microseconds.
const ACCEPT_RETRY_INTERVAL: Micros = 5_000;

/// Opens the admin endpoint and serves it from its own thread until the process ends.
///
/// # Errors
/// If the address cannot be bound.
pub fn start(address: SocketAddr, standing: Arc<ProcessStatus>, clock: Clock) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    info!("operators' door on {}", listener.local_addr()?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("door".into()).spawn(move || {
        if let Err(error) = runtime.block_on(serve(listener, standing, clock)) {
            warn!("admin endpoint failed: {error}");
        }
    })?;
    Ok(())
}

async fn serve(listener: TcpListener, standing: Arc<ProcessStatus>, clock: Clock) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let budget = MemoryBudget::new(MAX_CONNECTIONS * (MAX_BODY_BYTES + MAX_HEAD_BUFFER_BYTES));
    let mut connections = JoinSet::new();
    let mut order: VecDeque<AbortHandle> = VecDeque::new();
    let mut reserve = File::open("/dev/null").ok();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => {
                order.retain(|connection| !connection.is_finished());
                if reserve.is_none() {
                    reserve = File::open("/dev/null").ok();
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                order.retain(|connection| !connection.is_finished());
                if order.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = order.pop_front()
                {
                    oldest.abort();
                }
                order.push_back(connections.spawn(serve_request(
                    stream,
                    standing.clone(),
                    clock,
                    budget.clone(),
                )));
            }
            // Descriptors are short: this connection gets the reserve descriptor, then that of the oldest connection.
            Err(error) => {
                if reserve.take().is_none() {
                    warn!("admin endpoint cannot accept a connection: {error}");
                    if let Some(oldest) = order.pop_front() {
                        oldest.abort();
                    }
                    tokio::time::sleep_until(clock.instant(clock.now() + ACCEPT_RETRY_INTERVAL)).await;
                }
            }
        }
    }
}

/// Serves one request and closes the connection.
async fn serve_request(
    stream: TcpStream, standing: Arc<ProcessStatus>, clock: Clock, budget: Arc<MemoryBudget>,
) {
    let _ = stream.set_nodelay(true);
    let codec = Codec::server(MAX_BODY_BYTES, budget);
    let mut framed = Framed::with_capacity(Stream::new(stream), codec, READ_BUFFER_BYTES);
    let by = clock.instant(clock.now() + REQUEST_TIMEOUT);
    let mut response = match tokio::time::timeout_at(by, framed.next()).await {
        Ok(None | Some(Err(HttpError::Io(_)))) => return,
        Ok(Some(Ok(request))) => respond(&request, &standing),
        Ok(Some(Err(error @ HttpError::TooLarge(_)))) => Message::response(413, error.to_string()),
        Ok(Some(Err(error))) => Message::response(400, error.to_string()),
        Err(_) => Message::response(408, HttpError::Timeout.to_string()),
    };
    response.keep_alive = false;
    let sent =
        tokio::time::timeout_at(clock.instant(clock.now() + LINGER_TIMEOUT), framed.send(&response)).await;
    if matches!(sent, Ok(Ok(()))) {
        // Closing with unread bytes would reset the connection, which may lose the response.
        let mut stream = framed.into_inner();
        let (mut bytes, until) = ([0; 1024], clock.instant(clock.now() + LINGER_TIMEOUT));
        if stream.shutdown().await.is_ok() {
            while let Ok(Ok(1..)) = tokio::time::timeout_at(until, stream.read(&mut bytes)).await {}
        }
    }
}

/// Returns the state of the store.
fn store_status(health: &StoreHealth) -> Value {
    match &health.outage {
        None => json!({"state": "working", "outages": health.outages}),
        Some(StoreOutage { since, failures, error }) => json!({"state": "failing", "outages": health.outages,
            "since": *since as f64 / 1e6, "failures": failures, "error": error}),
    }
}

/// Returns the counters of the connections to endpoints.
fn connection_counts(counts: &ConnectionCounts) -> Value {
    let ConnectionCounts { opened, unsolicited, ambiguous, not_reused, decisions } = counts;
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let DecisionCounts { delivered, ended_elsewhere, may_have_ended, exhausted, owed } = decisions;
    json!({"opened": read(opened), "surplus": read(unsolicited), "doubtful": read(ambiguous), "withheld": read(not_reused),
        "verdicts": {"delivered": read(delivered), "over": read(ended_elsewhere), "may_have_ended": read(may_have_ended),
            "spent": read(exhausted), "owed": read(owed)}})
}

/// Returns the response to a request.
fn respond(request: &Message, standing: &ProcessStatus) -> Message {
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
        fields.insert("store".into(), store_status(&standing.store()));
        fields.insert("connections".into(), connection_counts(standing.connections()));
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
    fn the_response_depends_on_method_path_and_state() {
        let standing = ProcessStatus::starting(Clock::start());
        let request = |method: &str, path: &str| {
            let response = respond(&Message::request(method, path), &standing);
            let Start::Response(status) = response.start else { panic!("a response") };
            (status, response.header("Allow").map(String::from))
        };
        let status = |method: &str, path: &str| request(method, path).0;
        assert_eq!(status("GET", "/status"), 503);
        standing.enter(Phase::Serving);
        assert_eq!(status("GET", "/status"), 200);
        assert_eq!((status("POST", "/standby"), status("POST", "/standby")), (200, 200));
        assert_eq!(status("GET", "/status"), 503);
        assert_eq!((status("POST", "/active"), status("GET", "/status")), (200, 200));
        assert_eq!(request("POST", "/status"), (405, Some("GET".into())));
        assert_eq!(request("GET", "/active"), (405, Some("POST".into())));
        assert_eq!(status("GET", "/"), 404);
        standing.enter(Phase::Superseded);
        assert_eq!((status("POST", "/standby"), status("GET", "/status")), (409, 503));
    }
}
