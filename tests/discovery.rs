//! Discovery. Counts the requests of a whole fleet in simulated time, and tests over loopback sockets how one relay reacts to an agent
//! that falls silent, refuses, breaks the connection or moves.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use tulipfall::exchange::Clock;
use tulipfall::input::Input;
use tulipfall::interface::Micros;
use tulipfall::net::discovery::{Backoff, LOCAL_WATCH_WAIT, WATCH_WAIT, max_pause, watch_list};

/// Timeout of each step of a test, far longer than any step takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Maximum pause after a request that was refused at once, in microseconds.
const MAX_PAUSE: Micros = 4 * S + 500 * MS;

/// A discovery service that processes requests one by one and refuses them when its queue is full. A refusal takes time too.
struct Discovery {
    busy_until: Micros,
}

impl Discovery {
    /// Returns when the request is answered, and whether with a list.
    fn request(&mut self, now: Micros) -> (Micros, bool) {
        let from = self.busy_until.max(now);
        let accepted = from - now < S;
        self.busy_until = from + if accepted { 40 * MS } else { 8 * MS };
        (if accepted { self.busy_until } else { now + 50 * MS }, accepted)
    }
}

/// Lets all relays of a fleet request the list until they have it. Returns the number of requests in `duration`, and the number of
/// relays with a list.
fn count_requests(relays: u32, duration: Micros) -> (usize, usize) {
    let mut discovery = Discovery { busy_until: 0 };
    let mut pauses: Vec<Backoff> = (0..relays).map(|n| Backoff::new(relays, u64::from(n) * 77, S)).collect();
    let mut next: Vec<(Micros, usize)> =
        pauses.iter().enumerate().map(|(n, p)| (p.initial_delay(), n)).collect();
    let (mut requests, mut lists) = (0, 0);
    while let Some(i) = (0..next.len()).min_by_key(|i| next[*i]) {
        let (now, relay) = next.swap_remove(i);
        if now > duration {
            break;
        }
        requests += 1;
        match discovery.request(now) {
            (_, true) => lists += 1,
            (at, false) => next.push((at + pauses[relay].next_pause(MAX_PAUSE), relay)),
        }
    }
    (requests, lists)
}

#[test]
fn a_simultaneous_start_of_a_fleet_does_not_overload_discovery() {
    let (requests, lists) = count_requests(100, 20 * S);
    assert_eq!(lists, 100, "each relay has its list after 20 s");
    assert!(requests <= 400, "{requests} requests for 100 lists");
}

#[test]
fn three_hundred_relays_with_bounded_pauses_all_get_the_list() {
    let (requests, lists) = count_requests(300, 60 * S);
    assert_eq!(lists, 300, "each relay has its list after 60 s");
    assert!(requests <= 2400, "{requests} requests for 300 lists");
}

#[test]
fn relays_of_a_small_fleet_retry_soon() {
    for seed in 0..50 {
        let mut pauses = Backoff::new(2, seed, S);
        assert!(pauses.initial_delay() <= 20 * MS);
        assert!((20 * MS..=60 * MS).contains(&pauses.next_pause(MAX_PAUSE)));
        let longest = (0..20).map(|_| pauses.next_pause(MAX_PAUSE)).max();
        assert!(longest <= Some(S), "pauses stay short: {longest:?}");
        pauses.reset();
        assert!(pauses.next_pause(MAX_PAUSE) <= 60 * MS, "an answer resets the pauses");
    }
}

#[test]
fn the_first_request_is_within_half_the_drain_grace_for_any_fleet_size() {
    for relays in [2, 100, 300, 10_000] {
        let latest = (0..1000).map(|seed| Backoff::new(relays, seed * 77, S).initial_delay()).max();
        assert!(latest <= Some(S / 2), "{relays} relays: the last request after {latest:?} us");
    }
}

#[test]
fn pauses_are_bounded_and_spread_for_any_fleet_size() {
    for relays in [1, 2, 100, 300, 10_000] {
        let mut pauses: Vec<Backoff> = (0..300).map(|n| Backoff::new(relays, n * 77, S)).collect();
        for _ in 0..12 {
            let of_all: Vec<Micros> = pauses.iter_mut().map(|pause| pause.next_pause(MAX_PAUSE)).collect();
            let (least, most) = (of_all.iter().min(), of_all.iter().max());
            assert!(most <= Some(&MAX_PAUSE), "{relays} relays: {most:?}");
            assert!(
                least.map(|least| least * 2) < most.copied(),
                "{relays} relays in step: {least:?} to {most:?}"
            );
        }
    }
}

#[test]
fn the_next_request_is_answered_before_changes_are_deemed_known() {
    // An answer takes at most a second, and half a second remains to apply it.
    for (name, wait, took, silent, known_at) in [
        ("refused at once", 0, 50 * MS, false, 6 * S + 50 * MS),
        ("a broken watch", 20 * S, 7 * S, false, 13 * S),
        ("a silent list", 0, S, true, 6 * S),
        ("a silent watch", LOCAL_WATCH_WAIT, LOCAL_WATCH_WAIT + S, true, 6 * S),
        ("a silent watch that waits long", WATCH_WAIT, WATCH_WAIT + S, true, 22 * S),
    ] {
        let pause = max_pause(took, 0, wait, silent);
        assert!(pause >= 0 && (pause == 0 || took + pause + S + 500 * MS <= known_at), "{name}: {pause}");
        assert!(took + pause < known_at, "{name}: the next request begins before then");
    }
}

/// A scripted agent, whose requests the test accepts and answers.
struct Agent {
    listener: tokio::net::TcpListener,
    address: watch::Sender<Option<Arc<str>>>,
    inputs: mpsc::Receiver<Input>,
    clock: Clock,
}

impl Agent {
    async fn start(relays: u32) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let at: Arc<str> = listener.local_addr().expect("an address").to_string().into();
        let (address, addresses) = watch::channel(Some(at));
        let (to, inputs) = mpsc::channel(16);
        let clock = Clock::start();
        let pauses = (Backoff::new(relays, 5, S).resuming(), LOCAL_WATCH_WAIT);
        tokio::spawn(watch_list(clock, addresses, Arc::new(41.into()), pauses, to));
        Agent { listener, address, inputs, clock }
    }

    async fn accept(&self) -> (String, TcpStream, Micros) {
        let accepted =
            tokio::time::timeout(TEST_TIMEOUT, self.listener.accept()).await.expect("a request in time");
        let mut stream = accepted.expect("a connection").0;
        let line = read_request(&mut stream).await;
        (line, stream, self.clock.now())
    }
}

/// Reads the next request. Returns its request line.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_buf(&mut text)).await.expect("in time");
        assert!(read.expect("bytes") > 0, "a complete request");
    }
    String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_string()
}

fn list(revision: i64, phase: &str) -> Vec<u8> {
    let body = format!(
        r#"{{"revision":{revision},"complete":false,"members":[{{"id":"s-0","host_port":"127.0.0.1:9","locality":"a",
            "flavor":"house","cell":0,"phase":"{phase}","size":4.0,"up_since_ms":0,"unknown":{{"a":[1]}}}}]}}"#
    );
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Request line of a watch.
const WATCH_REQUEST: &str = "GET /registry/instances?index=41&wait=4000 HTTP/1.1";
/// Request line of a request without a wait.
const IMMEDIATE_REQUEST: &str = "GET /registry/instances?index=41&wait=0 HTTP/1.1";

#[tokio::test]
async fn a_silent_watch_is_replaced_before_missed_changes_are_deemed_known() {
    let mut agent = Agent::start(1).await;
    let (line, _silent, began) = agent.accept().await;
    assert_eq!(line, WATCH_REQUEST);
    let (line, mut stream, at) = agent.accept().await;
    assert_eq!(line, IMMEDIATE_REQUEST, "missed changes are requested");
    assert!(at - began < 6 * S, "after {} us", at - began);
    stream.write_all(&list(42, "Terminating")).await.expect("written");
    assert!(matches!(agent.inputs.recv().await, Some(Input::DestinationsUpdated(..))));
    assert!(agent.clock.now() - began < 6 * S);
    assert!(read_request(&mut stream).await.contains("index=42&wait=4000"));
}

#[tokio::test]
async fn after_failed_requests_the_list_is_requested_without_a_wait_then_watched() {
    let cut = list(42, "Ready");
    let answers: [&[u8]; 5] = [
        b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n",
        b"",
        &cut[..cut.len() - 9],
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"half\": ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    ];
    let mut agent = Agent::start(1).await;
    let mut expected = WATCH_REQUEST;
    for answer in answers {
        let (line, mut stream, _) = agent.accept().await;
        assert_eq!(line, expected);
        stream.write_all(answer).await.expect("written");
        expected = IMMEDIATE_REQUEST;
    }
    let (line, mut stream, _) = agent.accept().await;
    assert_eq!(line, IMMEDIATE_REQUEST);
    stream.write_all(&list(42, "Ready")).await.expect("written");
    let Some(Input::DestinationsUpdated(_, members)) = agent.inputs.recv().await else { panic!("a list") };
    assert_eq!(members.len(), 1, "indented, with unknown fields");
    assert!(read_request(&mut stream).await.contains("index=42&wait=4000"));
}

#[tokio::test]
async fn after_a_move_the_complete_list_is_requested_from_the_new_address() {
    let mut agent = Agent::start(300).await;
    let (line, _silent, _) = agent.accept().await;
    assert_eq!(line, WATCH_REQUEST);
    let moved = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    agent.address.send_replace(Some(moved.local_addr().expect("an address").to_string().into()));
    agent.listener = moved;
    let (line, ..) = agent.accept().await;
    assert_eq!(line, "GET /registry/instances HTTP/1.1");
}

#[tokio::test]
async fn immediate_empty_answers_do_not_cause_a_busy_loop() {
    let agent = Agent::start(1).await;
    let (_, mut stream, began) = agent.accept().await;
    let empty = br#"{"revision":41,"complete":false,"members":[]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", empty.len());
    for _ in 0..5 {
        stream.write_all(&[head.as_bytes(), empty].concat()).await.expect("written");
        read_request(&mut stream).await;
    }
    assert!(agent.clock.now() - began >= 100 * MS, "five answers in {} us", agent.clock.now() - began);
}
