//! Endpoints whose answers that end a message are truncated, stalled or followed by other data, or have their connection
//! closed or reset. They record the calls that they receive; a discovery agent records the reports.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::stand::read_http;

/// Time to serve a call, in milliseconds.
const SERVICE_TIME_MS: Range<u64> = 10..60;
/// Fraction of messages whose first call gets the tested answer.
const TESTED_FRACTION: f64 = 1.0 / 7.0;
/// Fraction of the other calls that are refused.
const REFUSED_FRACTION: f64 = 0.05;

/// Fault of an answer or its connection. Ranges are delays after the previous write, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is complete, and the connection stays open.
    Intact,
    /// The answer is complete and has the header `Connection: close`.
    ConnectionCloseHeader,
    /// The answer has no length and is delimited by the end of its connection.
    DelimitedByClose,
    /// The answer is complete; then the connection is closed.
    Closed(Range<u64>),
    /// The answer is complete; then the connection is reset.
    Reset(Range<u64>),
    /// The answer is written up to this point, then the connection is closed.
    Cut(CutPoint),
    /// The answer is written up to this point; the rest follows later.
    Stalled(CutPoint, Range<u64>),
    /// The answer is written in four pieces.
    Pieces(Range<u64>),
    /// The answer is complete; then a copy of it follows.
    FollowedByCopy(Range<u64>),
    /// The answer is complete; then another complete answer follows.
    FollowedByAnother(Range<u64>),
}

/// Point at which an answer is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// After the reason phrase, before the end of the status line.
    BeforeStatusLineEnd,
    /// After the status line.
    AfterStatusLine,
    /// In a header line.
    InHeader,
    /// After the head.
    AfterHead,
    /// In a body with a length.
    InBody,
    /// In a chunked body.
    InChunk,
}

/// The tested answer of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBehavior {
    /// Status of the answer.
    pub status: u16,
    /// Fault of the answer.
    pub fault: AnswerFault,
}

/// An answer that ended a message.
#[derive(Clone, Copy, Debug)]
pub struct EndingAnswer {
    /// Status of the answer.
    pub status: u16,
    /// When the call arrived.
    pub called: Instant,
    /// When the status line was written.
    pub at: Instant,
}

/// What all endpoints and the discovery agent observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// Number of calls of each message.
    pub calls: HashMap<String, u32>,
    /// The first answer that ended each message.
    pub ended: HashMap<String, EndingAnswer>,
    /// When the tested answer was written, for each message that got it.
    pub tested: HashMap<String, Instant>,
    /// Messages that were called after the tested answer or after a 200.
    pub called_again: HashSet<String>,
    /// When the first report of each message arrived.
    pub reports: HashMap<String, Instant>,
    /// Number of connections made to endpoints.
    pub connections: usize,
}

/// Observations shared by all simulated endpoints and the agent.
pub type SharedObservations = Arc<Mutex<Observations>>;

fn head(status: u16, framing: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nX-Backend-Load: x0=0.9,x1=400\r\n{framing}\r\n")
}

fn complete_answer(status: u16) -> Vec<u8> {
    format!("{}body of it", head(status, "Content-Length: 10\r\n")).into_bytes()
}

/// Returns the bytes up to a cut, and those after it.
fn cut(status: u16, at: CutPoint) -> (Vec<u8>, Vec<u8>) {
    let mut bytes = complete_answer(status);
    if at == CutPoint::InChunk {
        bytes = format!("{}a\r\nbody of it\r\n0\r\n\r\n", head(status, "Transfer-Encoding: chunked\r\n"))
            .into_bytes();
    }
    let end_of = |text: &str| {
        bytes.windows(text.len()).position(|window| window == text.as_bytes()).map_or(0, |at| at + text.len())
    };
    let length = match at {
        CutPoint::BeforeStatusLineEnd => end_of("Status"),
        CutPoint::AfterStatusLine => end_of("Status\r\n"),
        CutPoint::InHeader => end_of("X-Backend"),
        CutPoint::AfterHead => end_of("\r\n\r\n"),
        CutPoint::InBody | CutPoint::InChunk => end_of("body"),
    };
    let rest = bytes.split_off(length);
    (bytes, rest)
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

/// Records a call; returns whether it is the message's first one.
fn record_call(seen: &SharedObservations, id: &str) -> bool {
    let mut seen = seen.lock().expect("no panic");
    if seen.ended.contains_key(id) {
        seen.called_again.insert(id.into());
    }
    let calls = seen.calls.entry(id.to_string()).or_default();
    *calls += 1;
    *calls == 1
}

fn serve(mut stream: TcpStream, behavior: &EndpointBehavior, mut rng: SmallRng, seen: &SharedObservations) {
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_http(&mut stream) {
        let id = request.header("X-Correlation-Id").unwrap_or_default().to_string();
        let (first, called) = (record_call(seen, &id), Instant::now());
        std::thread::sleep(Duration::from_millis(rng.random_range(SERVICE_TIME_MS)));
        let tested = first && rng.random_bool(TESTED_FRACTION);
        let status = match () {
            () if tested => behavior.status,
            () if rng.random_bool(REFUSED_FRACTION) => 503,
            () => 200,
        };
        // Recorded before the write, because the relay may act on the answer at once.
        if tested || status == 200 {
            let mut seen = seen.lock().expect("no panic");
            seen.ended.entry(id.clone()).or_insert(EndingAnswer { status, called, at: Instant::now() });
            if tested {
                seen.tested.insert(id, Instant::now());
            }
        }
        let fault = if tested { behavior.fault.clone() } else { AnswerFault::Intact };
        if !answer(&mut stream, status, &fault, &mut rng) {
            return;
        }
    }
}

/// Sleeps for a random time from the range, in milliseconds.
fn pause(range: &Range<u64>, rng: &mut SmallRng) {
    let delay = rng.random_range(range.clone());
    if delay > 0 {
        std::thread::sleep(Duration::from_millis(delay));
    }
}

/// Writes an answer; returns whether the connection stays open.
fn answer(stream: &mut TcpStream, status: u16, fault: &AnswerFault, rng: &mut SmallRng) -> bool {
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok();
    match fault {
        AnswerFault::Intact => write(&complete_answer(status)),
        AnswerFault::ConnectionCloseHeader => {
            write(
                format!("{}body of it", head(status, "Connection: close\r\nContent-Length: 10\r\n"))
                    .as_bytes(),
            );
            false
        }
        AnswerFault::DelimitedByClose => {
            write(format!("{}body of it", head(status, "")).as_bytes());
            false
        }
        AnswerFault::Closed(delay) => {
            write(&complete_answer(status));
            pause(delay, rng);
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        AnswerFault::Reset(delay) => {
            write(&complete_answer(status));
            pause(delay, rng);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        AnswerFault::Cut(at) => {
            write(&cut(status, *at).0);
            false
        }
        AnswerFault::Stalled(at, delay) => {
            let (bytes, rest) = cut(status, *at);
            write(&bytes);
            pause(delay, rng);
            stream.write_all(&rest).is_ok()
        }
        AnswerFault::Pieces(delay) => {
            let bytes = complete_answer(status);
            bytes.chunks(bytes.len().div_ceil(4)).all(|piece| {
                pause(delay, rng);
                stream.write_all(piece).is_ok()
            })
        }
        AnswerFault::FollowedByCopy(delay) | AnswerFault::FollowedByAnother(delay) => {
            let next_status = if matches!(fault, AnswerFault::FollowedByCopy(_)) { status } else { 200 };
            let delay = rng.random_range(delay.clone());
            let written = write(&complete_answer(status));
            if let Ok(mut copy) = stream.try_clone() {
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(delay));
                    let _ = copy.write_all(&complete_answer(next_status));
                });
            }
            written
        }
    }
}

/// Starts a discovery agent that accepts reports; returns its address.
pub fn agent(seen: &SharedObservations) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = seen.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || {
                while let Some(request) = read_http(&mut stream) {
                    let answer = if request.head.starts_with("POST /reports ") {
                        record_reports(&seen, &request.body);
                        "HTTP/1.1 204 No Content\r\n\r\n".to_string()
                    } else {
                        std::thread::sleep(Duration::from_millis(500));
                        let list = r#"{"revision":41,"complete":false,"members":[]}"#;
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
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
