//! Endpoints and a discovery agent that write more than they are asked for, and note what came.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::stand::read_http;

/// Time between two looks at a connection while a call is served.
const LOOK: Duration = Duration::from_millis(1);
/// Time that an endpoint takes to serve a call, in milliseconds.
const WORK_MS: Range<u64> = 2..70;
/// Share of calls that are turned away.
const TURNED_AWAY: f64 = 0.1;

/// What an endpoint writes behind an answer, unasked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    /// The same answer again.
    Copy,
    /// Another whole answer.
    AnotherAnswer,
    /// The first bytes of the same answer.
    Part,
}

/// How often and how late something unasked follows.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What follows, if anything does.
    pub surplus: Option<Surplus>,
    /// Its share of answers.
    pub share: f64,
    /// How long after the answer it comes, in milliseconds.
    pub late_ms: Range<u64>,
    /// The endpoint answers 500 to everything.
    pub fails: bool,
}

/// How a call ended, as its endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is still served.
    Open,
    /// It took effect, and 200 was written then.
    Delivered(Instant),
    /// It was turned away.
    TurnedAway,
    /// It failed, or its connection ended before it was answered.
    Unknown,
}

/// One call.
#[derive(Debug)]
pub struct Call {
    /// How it ended.
    pub end: End,
    connection: TcpStream,
}

/// What all endpoints saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// The calls of each message.
    pub calls: HashMap<String, Vec<Call>>,
    /// Calls of a message while an earlier one was still out on an open connection.
    pub overlapping: Vec<String>,
    /// Calls of a message that came though an earlier one was not turned away.
    pub repeated: Vec<String>,
    /// When each report came first.
    pub reports: HashMap<String, Instant>,
    /// Number of connections that were made to endpoints.
    pub connections: usize,
}

/// What the stand-ins share.
pub type Shared = Arc<Mutex<Seen>>;

fn open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let _ = stream.set_nonblocking(true);
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

fn note(seen: &Shared, id: &str, connection: &TcpStream) -> usize {
    let mut seen = seen.lock().expect("no panic");
    let seen = &mut *seen;
    let calls = seen.calls.entry(id.to_string()).or_default();
    if calls.iter().any(|call| call.end == End::Open && open(&call.connection)) {
        seen.overlapping.push(id.into());
    }
    if calls.iter().any(|call| call.end != End::TurnedAway) {
        seen.repeated.push(id.into());
    }
    calls.push(Call { end: End::Open, connection: connection.try_clone().expect("a descriptor") });
    calls.len() - 1
}

fn ended(seen: &Shared, id: &str, call: usize, end: End) {
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

fn serve(mut stream: TcpStream, plan: &Plan, mut rng: SmallRng, seen: &Shared) {
    let _ = stream.set_nodelay(true);
    // Answers and what follows them are written whole, one after the other.
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a descriptor")));
    while let Some(request) = read_http(&mut stream) {
        let id = request.header("X-Correlation-Id").unwrap_or_default().to_string();
        let call = note(seen, &id, &stream);
        let until = Instant::now() + Duration::from_millis(rng.random_range(WORK_MS));
        while Instant::now() < until {
            if !open(&stream) {
                return ended(seen, &id, call, End::Unknown);
            }
            std::thread::sleep(LOOK);
        }
        let status = match () {
            () if plan.fails => 500,
            () if rng.random_bool(TURNED_AWAY) => 503,
            () => 200,
        };
        let mut stream = writer.lock().expect("no panic");
        // Noted first, as the relay may act on the answer before the note.
        ended(
            seen,
            &id,
            call,
            match status {
                200 => End::Delivered(Instant::now()),
                503 => End::TurnedAway,
                _ => End::Unknown,
            },
        );
        if stream.write_all(&answer(status)).is_err() {
            return;
        }
        drop(stream);
        if let Some(surplus) = plan.surplus
            && rng.random_bool(plan.share)
        {
            let bytes = unasked(surplus, status, &mut rng);
            let late = Duration::from_millis(rng.random_range(plan.late_ms.clone()));
            let writer = writer.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late);
                let _ = writer.lock().expect("no panic").write_all(&bytes);
            });
        }
    }
}

fn unasked(surplus: Surplus, status: u16, rng: &mut SmallRng) -> Vec<u8> {
    match surplus {
        Surplus::Copy => answer(status),
        Surplus::AnotherAnswer => answer([200, 503, 500][rng.random_range(0..3)]),
        Surplus::Part => {
            let mut bytes = answer(status);
            bytes.truncate(rng.random_range(1..bytes.len()));
            bytes
        }
    }
}

/// Starts a discovery agent that takes reports; returns its address. By these shares it reads a report and closes the
/// connection with no answer, and answers twice.
pub fn agent(unanswered: f64, twice: f64, seed: u64, seen: &Shared) -> String {
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
                            take_reports(&seen, &request.body);
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

fn take_reports(seen: &Shared, body: &[u8]) {
    let now = Instant::now();
    for line in String::from_utf8_lossy(body).lines() {
        let report: serde_json::Value = serde_json::from_str(line).expect("a report");
        let id = report["message"].as_str().expect("an id").to_string();
        seen.lock().expect("no panic").reports.entry(id).or_insert(now);
    }
}
