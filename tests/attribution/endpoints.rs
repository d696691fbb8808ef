//! Endpoints and a discovery agent that send unsolicited data, and record the calls and reports that they receive.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::stand::read_http;

/// Interval between checks for a closed connection while a call is served.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Time to serve a call, in milliseconds.
const SERVICE_TIME_MS: Range<u64> = 2..70;
/// Fraction of calls that are refused.
const REFUSED_FRACTION: f64 = 0.1;

/// Unsolicited data that an endpoint sends after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedData {
    /// The same answer again.
    Copy,
    /// Another complete answer.
    AnotherAnswer,
    /// The first bytes of the same answer.
    Truncated,
}

/// Behaviour of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBehavior {
    /// Unsolicited data sent after answers, if any.
    pub unsolicited: Option<UnsolicitedData>,
    /// Fraction of answers that unsolicited data follows.
    pub fraction: f64,
    /// Delay of the unsolicited data after the answer, in milliseconds.
    pub delay_ms: Range<u64>,
    /// The endpoint answers 500 to every call.
    pub fails: bool,
}

/// How a call ended, as its endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call is still being served.
    Open,
    /// The call took effect, and 200 was written at this time.
    Delivered(Instant),
    /// The call was refused.
    Refused,
    /// The call failed, or its connection ended before the answer.
    Unknown,
}

/// A call received by an endpoint.
#[derive(Debug)]
pub struct Call {
    /// How the call ended.
    pub end: CallEnd,
    connection: TcpStream,
}

/// What all endpoints and the discovery agent observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// The calls of each message.
    pub calls: HashMap<String, Vec<Call>>,
    /// Ids of messages called again while an earlier call was in flight on an open connection.
    pub overlapping: Vec<String>,
    /// Ids of messages called again although an earlier call was not refused.
    pub repeated: Vec<String>,
    /// When the first report of each message arrived.
    pub reports: HashMap<String, Instant>,
    /// Number of connections made to endpoints.
    pub connections: usize,
}

/// Observations shared by all simulated endpoints and the agent.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Returns whether the peer has not closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let _ = stream.set_nonblocking(true);
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

/// Records a call; returns its index among the calls of its message.
fn record_call(seen: &SharedObservations, id: &str, connection: &TcpStream) -> usize {
    let mut seen = seen.lock().expect("no panic");
    let seen = &mut *seen;
    let calls = seen.calls.entry(id.to_string()).or_default();
    if calls.iter().any(|call| call.end == CallEnd::Open && is_open(&call.connection)) {
        seen.overlapping.push(id.into());
    }
    if calls.iter().any(|call| call.end != CallEnd::Refused) {
        seen.repeated.push(id.into());
    }
    calls.push(Call { end: CallEnd::Open, connection: connection.try_clone().expect("a descriptor") });
    calls.len() - 1
}

fn record_end(seen: &SharedObservations, id: &str, call: usize, end: CallEnd) {
    let mut seen = seen.lock().expect("no panic");
    if let Some(call) = seen.calls.get_mut(id).and_then(|calls| calls.get_mut(call)) {
        call.end = end;
    }
}

fn answer(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} Status\r\nX-Backend-Load: x0=0.9,x1=400\r\nContent-Length: 4\r\n\r\nbody")
        .into_bytes()
}

/// Starts an endpoint; returns its address.
pub fn endpoint(behavior: EndpointBehavior, seed: u64, seen: &SharedObservations) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = seen.clone();
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            seen.lock().expect("no panic").connections += 1;
            let (behavior, seen, rng) =
                (behavior.clone(), seen.clone(), SmallRng::seed_from_u64(seed ^ number));
            std::thread::spawn(move || serve(stream, &behavior, rng, &seen));
        }
    });
    address
}

fn serve(mut stream: TcpStream, behavior: &EndpointBehavior, mut rng: SmallRng, seen: &SharedObservations) {
    let _ = stream.set_nodelay(true);
    // Answers and unsolicited data are each written completely, one after the other.
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a descriptor")));
    while let Some(request) = read_http(&mut stream) {
        let id = request.header("X-Correlation-Id").unwrap_or_default().to_string();
        let call = record_call(seen, &id, &stream);
        let until = Instant::now() + Duration::from_millis(rng.random_range(SERVICE_TIME_MS));
        while Instant::now() < until {
            if !is_open(&stream) {
                return record_end(seen, &id, call, CallEnd::Unknown);
            }
            std::thread::sleep(CLOSE_CHECK_INTERVAL);
        }
        let status = match () {
            () if behavior.fails => 500,
            () if rng.random_bool(REFUSED_FRACTION) => 503,
            () => 200,
        };
        let mut stream = writer.lock().expect("no panic");
        // Recorded before the write, because the relay may act on the answer at once.
        record_end(
            seen,
            &id,
            call,
            match status {
                200 => CallEnd::Delivered(Instant::now()),
                503 => CallEnd::Refused,
                _ => CallEnd::Unknown,
            },
        );
        if stream.write_all(&answer(status)).is_err() {
            return;
        }
        drop(stream);
        if let Some(unsolicited) = behavior.unsolicited
            && rng.random_bool(behavior.fraction)
        {
            let bytes = unsolicited_bytes(unsolicited, status, &mut rng);
            let delay = Duration::from_millis(rng.random_range(behavior.delay_ms.clone()));
            let writer = writer.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let _ = writer.lock().expect("no panic").write_all(&bytes);
            });
        }
    }
}

fn unsolicited_bytes(unsolicited: UnsolicitedData, status: u16, rng: &mut SmallRng) -> Vec<u8> {
    match unsolicited {
        UnsolicitedData::Copy => answer(status),
        UnsolicitedData::AnotherAnswer => answer([200, 503, 500][rng.random_range(0..3)]),
        UnsolicitedData::Truncated => {
            let mut bytes = answer(status);
            bytes.truncate(rng.random_range(1..bytes.len()));
            bytes
        }
    }
}

/// Starts a discovery agent that accepts reports; returns its address. For the fraction `unanswered` of requests with
/// reports it closes the connection without an answer, and of the others it answers the fraction `twice` two times.
pub fn agent(unanswered: f64, twice: f64, seed: u64, seen: &SharedObservations) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = seen.clone();
    std::thread::spawn(move || {
        for (number, mut stream) in (0..).zip(listener.incoming().flatten()) {
            let (seen, mut rng) = (seen.clone(), SmallRng::seed_from_u64(seed ^ number));
            std::thread::spawn(move || {
                while let Some(request) = read_http(&mut stream) {
                    let answer = match request.head.starts_with("POST /reports ") {
                        true if rng.random_bool(unanswered) => return,
                        true => {
                            record_reports(&seen, &request.body);
                            let answer = "HTTP/1.1 204 No Content\r\n\r\n";
                            answer.repeat(1 + usize::from(rng.random_bool(twice)))
                        }
                        false => {
                            std::thread::sleep(Duration::from_millis(500));
                            let list = r#"{"revision":41,"complete":false,"members":[]}"#;
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
                        }
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn record_reports(seen: &SharedObservations, body: &[u8]) {
    let now = Instant::now();
    for line in String::from_utf8_lossy(body).lines() {
        let report: serde_json::Value = serde_json::from_str(line).expect("a report");
        let id = report["message"].as_str().expect("an id").to_string();
        seen.lock().expect("no panic").reports.entry(id).or_insert(now);
    }
}
