//! Endpoints whose answer that ends a message is cut, closed, reset, stalled or followed by something; they note what came.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::stand::read_http;

/// Time that an endpoint takes to serve a call, in milliseconds.
const WORK_MS: Range<u64> = 10..60;
/// Share of messages whose first call gets the answer that is played.
const PLAYED: f64 = 1.0 / 7.0;
/// Share of other calls that are turned away.
const TURNED_AWAY: f64 = 0.05;

/// What becomes of an answer and its connection. Times are in milliseconds after what was written before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is whole, and the connection stays.
    Whole,
    /// It is whole and says `Connection: close`.
    SaysClose,
    /// It has no length and ends with its connection.
    EndsByClose,
    /// It is whole; then the connection is closed.
    Closed(Range<u64>),
    /// It is whole; then the connection is reset.
    Reset(Range<u64>),
    /// So much of it comes, then the connection is closed.
    Cut(Cut),
    /// So much of it comes; the rest comes later.
    Stalled(Cut, Range<u64>),
    /// It comes in four pieces.
    Pieces(Range<u64>),
    /// It is whole; then the same comes again.
    Copied(Range<u64>),
    /// It is whole; then another whole answer comes.
    Another(Range<u64>),
}

/// The place at which an answer is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Behind the reason, before the line's end.
    BeforeLineEnd,
    /// Behind the first line.
    FirstLine,
    /// In a header line.
    HalfHeader,
    /// Behind the head.
    Head,
    /// In a body with a length.
    HalfBody,
    /// In a chunked body.
    HalfChunk,
}

/// The answer that ends a message, and what becomes of it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its status.
    pub status: u16,
    /// What becomes of it.
    pub fate: Fate,
}

/// An answer that ended a message.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Its status.
    pub status: u16,
    /// When the call came.
    pub called: Instant,
    /// When its first line was written.
    pub at: Instant,
}

/// What all endpoints and the agent saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Messages that were called, and how often.
    pub calls: HashMap<String, u32>,
    /// The first answer that ended each message.
    pub ended: HashMap<String, Ended>,
    /// When the answer that is played was written, for each message that got it.
    pub played: HashMap<String, Instant>,
    /// Messages that were called after the answer that is played, or after a 200.
    pub called_again: HashSet<String>,
    /// When each report came first.
    pub reports: HashMap<String, Instant>,
    /// Number of connections that were made to endpoints.
    pub connections: usize,
}

/// What the stand-ins share.
pub type Shared = Arc<Mutex<Seen>>;

fn head(status: u16, framing: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nX-Backend-Load: x0=0.9,x1=400\r\n{framing}\r\n")
}

fn whole(status: u16) -> Vec<u8> {
    format!("{}body of it", head(status, "Content-Length: 10\r\n")).into_bytes()
}

/// The bytes up to a cut, and those behind it.
fn cut(status: u16, at: Cut) -> (Vec<u8>, Vec<u8>) {
    let mut bytes = whole(status);
    if at == Cut::HalfChunk {
        bytes = format!("{}a\r\nbody of it\r\n0\r\n\r\n", head(status, "Transfer-Encoding: chunked\r\n"))
            .into_bytes();
    }
    let find = |text: &str| {
        bytes.windows(text.len()).position(|part| part == text.as_bytes()).map_or(0, |at| at + text.len())
    };
    let length = match at {
        Cut::BeforeLineEnd => find("Status"),
        Cut::FirstLine => find("Status\r\n"),
        Cut::HalfHeader => find("X-Backend"),
        Cut::Head => find("\r\n\r\n"),
        Cut::HalfBody | Cut::HalfChunk => find("body"),
    };
    let rest = bytes.split_off(length);
    (bytes, rest)
}

/// Starts an endpoint; returns its address.
pub fn endpoint(plan: Plan, seed: u64, seen: &Shared) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = seen.clone();
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            seen.lock().expect("no panic").connections += 1;
            let (plan, seen, rng) = (plan.clone(), seen.clone(), SmallRng::seed_from_u64(seed ^ number));
            std::thread::spawn(move || serve(stream, &plan, rng, &seen));
        }
    });
    address
}

/// Notes a call; whether it is the message's first one.
fn note(seen: &Shared, id: &str) -> bool {
    let mut seen = seen.lock().expect("no panic");
    if seen.ended.contains_key(id) {
        seen.called_again.insert(id.into());
    }
    let calls = seen.calls.entry(id.to_string()).or_default();
    *calls += 1;
    *calls == 1
}

fn serve(mut stream: TcpStream, plan: &Plan, mut rng: SmallRng, seen: &Shared) {
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_http(&mut stream) {
        let id = request.header("X-Correlation-Id").unwrap_or_default().to_string();
        let (first, called) = (note(seen, &id), Instant::now());
        std::thread::sleep(Duration::from_millis(rng.random_range(WORK_MS)));
        let played = first && rng.random_bool(PLAYED);
        let status = match () {
            () if played => plan.status,
            () if rng.random_bool(TURNED_AWAY) => 503,
            () => 200,
        };
        // Noted first, as the relay may act on the answer before the note.
        if played || status == 200 {
            let mut seen = seen.lock().expect("no panic");
            seen.ended.entry(id.clone()).or_insert(Ended { status, called, at: Instant::now() });
            if played {
                seen.played.insert(id, Instant::now());
            }
        }
        let fate = if played { plan.fate.clone() } else { Fate::Whole };
        if !answer(&mut stream, status, &fate, &mut rng) {
            return;
        }
    }
}

fn pause(range: &Range<u64>, rng: &mut SmallRng) {
    let late = rng.random_range(range.clone());
    if late > 0 {
        std::thread::sleep(Duration::from_millis(late));
    }
}

/// Writes an answer; whether the connection goes on.
fn answer(stream: &mut TcpStream, status: u16, fate: &Fate, rng: &mut SmallRng) -> bool {
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok();
    match fate {
        Fate::Whole => write(&whole(status)),
        Fate::SaysClose => {
            write(
                format!("{}body of it", head(status, "Connection: close\r\nContent-Length: 10\r\n"))
                    .as_bytes(),
            );
            false
        }
        Fate::EndsByClose => {
            write(format!("{}body of it", head(status, "")).as_bytes());
            false
        }
        Fate::Closed(late) => {
            write(&whole(status));
            pause(late, rng);
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Fate::Reset(late) => {
            write(&whole(status));
            pause(late, rng);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        Fate::Cut(at) => {
            write(&cut(status, *at).0);
            false
        }
        Fate::Stalled(at, late) => {
            let (bytes, rest) = cut(status, *at);
            write(&bytes);
            pause(late, rng);
            stream.write_all(&rest).is_ok()
        }
        Fate::Pieces(late) => {
            let bytes = whole(status);
            bytes.chunks(bytes.len().div_ceil(4)).all(|piece| {
                pause(late, rng);
                stream.write_all(piece).is_ok()
            })
        }
        Fate::Copied(late) | Fate::Another(late) => {
            let surplus = if matches!(fate, Fate::Copied(_)) { status } else { 200 };
            let late = rng.random_range(late.clone());
            let written = write(&whole(status));
            if let Ok(mut copy) = stream.try_clone() {
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(late));
                    let _ = copy.write_all(&whole(surplus));
                });
            }
            written
        }
    }
}

/// Starts a discovery agent that takes reports; returns its address.
pub fn agent(seen: &Shared) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = seen.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || {
                while let Some(request) = read_http(&mut stream) {
                    let answer = if request.head.starts_with("POST /reports ") {
                        take_reports(&seen, &request.body);
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

fn take_reports(seen: &Shared, body: &[u8]) {
    let now = Instant::now();
    for line in String::from_utf8_lossy(body).lines() {
        let report: serde_json::Value = serde_json::from_str(line).expect("a report");
        let id = report["message"].as_str().expect("an id").to_string();
        seen.lock().expect("no panic").reports.entry(id).or_insert(now);
    }
}
