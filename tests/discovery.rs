//! A fleet and its discovery: the calls of all relays together, counted in simulated time; and what one does where its
//! agent falls silent, refuses, breaks off or moves, over loopback sockets.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use tulipfall::exchange::Clock;
use tulipfall::input::Input;
use tulipfall::interface::Micros;
use tulipfall::net::discovery::{Backoff, LOCAL_WATCH_WAIT, WATCH_WAIT, max_pause, watch_list};

/// No step of a test takes so long.
const FAR: Duration = Duration::from_secs(30);

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// After a call that was turned away at once.
const LONGEST: Micros = 4 * S + 500 * MS;

/// Discovery that works through calls one by one and turns away what comes behind a full queue, which is work too.
struct Discovery {
    busy_until: Micros,
}

impl Discovery {
    /// When the call is answered, and whether with a list.
    fn call(&mut self, now: Micros) -> (Micros, bool) {
        let from = self.busy_until.max(now);
        let taken = from - now < S;
        self.busy_until = from + if taken { 40 * MS } else { 8 * MS };
        (if taken { self.busy_until } else { now + 50 * MS }, taken)
    }
}

/// All relays of a fleet ask until they are answered: how many calls that took in `within`, and how many have a list.
fn asked(relays: u32, within: Micros) -> (usize, usize) {
    let mut discovery = Discovery { busy_until: 0 };
    let mut pauses: Vec<Backoff> = (0..relays).map(|n| Backoff::new(relays, u64::from(n) * 77, S)).collect();
    let mut next: Vec<(Micros, usize)> =
        pauses.iter().enumerate().map(|(n, p)| (p.initial_delay(), n)).collect();
    let (mut calls, mut lists) = (0, 0);
    while let Some(i) = (0..next.len()).min_by_key(|i| next[*i]) {
        let (now, relay) = next.swap_remove(i);
        if now > within {
            break;
        }
        calls += 1;
        match discovery.call(now) {
            (_, true) => lists += 1,
            (at, false) => next.push((at + pauses[relay].next_pause(LONGEST), relay)),
        }
    }
    (calls, lists)
}

#[test]
fn a_fleet_that_starts_together_does_not_keep_discovery_from_answering() {
    let (calls, lists) = asked(100, 20 * S);
    assert_eq!(lists, 100, "each relay has its list after 20 s");
    assert!(calls <= 400, "{calls} calls for 100 lists");
}

#[test]
fn three_hundred_that_pause_no_longer_than_news_may_take_are_all_answered_in_the_end() {
    let (calls, lists) = asked(300, 60 * S);
    assert_eq!(lists, 300, "each relay has its list after 60 s");
    assert!(calls <= 2400, "{calls} calls for 300 lists");
}

#[test]
fn a_few_relays_ask_again_as_soon_as_before() {
    for seed in 0..50 {
        let mut pauses = Backoff::new(2, seed, S);
        assert!(pauses.initial_delay() <= 20 * MS);
        assert!((20 * MS..=60 * MS).contains(&pauses.next_pause(LONGEST)));
        let longest = (0..20).map(|_| pauses.next_pause(LONGEST)).max();
        assert!(longest <= Some(S), "and never far apart: {longest:?}");
        pauses.reset();
        assert!(pauses.next_pause(LONGEST) <= 60 * MS, "an answer starts anew");
    }
}

#[test]
fn however_many_relays_there_are_each_asks_well_within_the_grace_of_a_drain() {
    for relays in [2, 100, 300, 10_000] {
        let latest = (0..1000).map(|seed| Backoff::new(relays, seed * 77, S).initial_delay()).max();
        assert!(latest <= Some(S / 2), "{relays} relays: the last asks after {latest:?} us");
    }
}

#[test]
fn however_many_relays_there_are_no_pause_is_longer_than_news_may_take_and_all_are_spread() {
    for relays in [1, 2, 100, 300, 10_000] {
        let mut pauses: Vec<Backoff> = (0..300).map(|n| Backoff::new(relays, n * 77, S)).collect();
        for _ in 0..12 {
            let of_all: Vec<Micros> = pauses.iter_mut().map(|pause| pause.next_pause(LONGEST)).collect();
            let (least, most) = (of_all.iter().min(), of_all.iter().max());
            assert!(most <= Some(&LONGEST), "{relays} relays: {most:?}");
            assert!(
                least.map(|least| least * 2) < most.copied(),
                "{relays} relays in step: {least:?} to {most:?}"
            );
        }
    }
}

#[test]
fn the_next_call_is_answered_before_what_changed_counts_as_told() {
    // An answer takes a second at the most, and half a second is left to act on it.
    for (name, wait, took, silent, told) in [
        ("refused at once", 0, 50 * MS, false, 6 * S + 50 * MS),
        ("a watch that broke off", 20 * S, 7 * S, false, 13 * S),
        ("a silent list", 0, S, true, 6 * S),
        ("a silent watch", LOCAL_WATCH_WAIT, LOCAL_WATCH_WAIT + S, true, 6 * S),
        ("a silent watch that waits long", WATCH_WAIT, WATCH_WAIT + S, true, 22 * S),
    ] {
        let pause = max_pause(took, 0, wait, silent);
        assert!(pause >= 0 && (pause == 0 || took + pause + S + 500 * MS <= told), "{name}: {pause}");
        assert!(took + pause < told, "{name}: the next call begins before then");
    }
}

/// An agent that does what it is told: the calls that reach it, each with its connection.
struct Agent {
    listener: tokio::net::TcpListener,
    address: watch::Sender<Option<Arc<str>>>,
    inputs: mpsc::Receiver<Input>,
    clock: Clock,
}

impl Agent {
    async fn followed(relays: u32) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let at: Arc<str> = listener.local_addr().expect("an address").to_string().into();
        let (address, asked) = watch::channel(Some(at));
        let (to, inputs) = mpsc::channel(16);
        let clock = Clock::start();
        let pauses = (Backoff::new(relays, 5, S).resuming(), LOCAL_WATCH_WAIT);
        tokio::spawn(watch_list(clock, asked, Arc::new(41.into()), pauses, to));
        Agent { listener, address, inputs, clock }
    }

    async fn call(&self) -> (String, TcpStream, Micros) {
        let accepted = tokio::time::timeout(FAR, self.listener.accept()).await.expect("a call in time");
        let mut stream = accepted.expect("a connection").0;
        let line = request(&mut stream).await;
        (line, stream, self.clock.now())
    }
}

/// The first line of the next request.
async fn request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let read = tokio::time::timeout(FAR, stream.read_buf(&mut text)).await.expect("in time");
        assert!(read.expect("bytes") > 0, "a whole request");
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

const WATCHED: &str = "GET /registry/instances?index=41&wait=4000 HTTP/1.1";
const ASKED: &str = "GET /registry/instances?index=41&wait=0 HTTP/1.1";

#[tokio::test]
async fn a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() {
    let mut agent = Agent::followed(1).await;
    let (line, _silent, began) = agent.call().await;
    assert_eq!(line, WATCHED);
    let (line, mut stream, at) = agent.call().await;
    assert_eq!(line, ASKED, "what was missed is asked for");
    assert!(at - began < 6 * S, "after {} us", at - began);
    stream.write_all(&list(42, "Terminating")).await.expect("written");
    assert!(matches!(agent.inputs.recv().await, Some(Input::Listed(..))));
    assert!(agent.clock.now() - began < 6 * S);
    assert!(request(&mut stream).await.contains("index=42&wait=4000"));
}

#[tokio::test]
async fn a_call_refused_reset_or_spoilt_is_followed_by_one_that_does_not_wait_then_by_a_watch() {
    let cut = list(42, "Ready");
    let answers: [&[u8]; 5] = [
        b"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n",
        b"",
        &cut[..cut.len() - 9],
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"half\": ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    ];
    let mut agent = Agent::followed(1).await;
    let mut expected = WATCHED;
    for answer in answers {
        let (line, mut stream, _) = agent.call().await;
        assert_eq!(line, expected);
        stream.write_all(answer).await.expect("written");
        expected = ASKED;
    }
    let (line, mut stream, _) = agent.call().await;
    assert_eq!(line, ASKED);
    stream.write_all(&list(42, "Ready")).await.expect("written");
    let Some(Input::Listed(_, members)) = agent.inputs.recv().await else { panic!("a list") };
    assert_eq!(members.len(), 1, "indented, with fields that nobody knows");
    assert!(request(&mut stream).await.contains("index=42&wait=4000"));
}

#[tokio::test]
async fn a_new_address_during_a_watch_is_asked_for_the_whole_list_at_once() {
    let mut agent = Agent::followed(300).await;
    let (line, _silent, _) = agent.call().await;
    assert_eq!(line, WATCHED);
    let moved = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    agent.address.send_replace(Some(moved.local_addr().expect("an address").to_string().into()));
    agent.listener = moved;
    let (line, ..) = agent.call().await;
    assert_eq!(line, "GET /registry/instances HTTP/1.1");
}

#[tokio::test]
async fn an_agent_that_answers_with_nothing_at_once_is_not_asked_in_a_spin() {
    let agent = Agent::followed(1).await;
    let (_, mut stream, began) = agent.call().await;
    let empty = br#"{"revision":41,"complete":false,"members":[]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", empty.len());
    for _ in 0..5 {
        stream.write_all(&[head.as_bytes(), empty].concat()).await.expect("written");
        request(&mut stream).await;
    }
    assert!(agent.clock.now() - began >= 100 * MS, "five answers in {} us", agent.clock.now() - began);
}
