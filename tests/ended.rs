//! A message that an endpoint ended is never sent again, whatever happens to the answer, its connection or the relay. Real
//! processes run under load, and the events seen by endpoints, the discovery agent and clients are checked.

#[path = "ended/endpoints.rs"]
mod endpoints;
mod stand;

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use endpoints::{AnswerFault, CutPoint, EndingAnswer, EndpointBehavior, Observations, SharedObservations};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stand::site::configuration;
use stand::*;

/// Number of clients that submit messages concurrently.
const CLIENTS: usize = 8;
/// Time for which the clients submit messages.
const SUBMIT_DURATION: Duration = Duration::from_secs(5);
/// Time to live of each message, in milliseconds.
const TIME_LEFT_MS: u64 = 2_500;
/// Latest end of a message after its deadline: 300 ms by the protocol, plus its general tolerance of 50 ms.
const END_TOLERANCE: Duration = Duration::from_millis(350);
/// Time after a restarted process is ready within which reports of earlier messages are not overdue.
const RESTART_TOLERANCE: Duration = Duration::from_millis(1_500);
/// Time after an answer's status line within which the relay stores the decision, so that a later kill does not lose it.
const STORED_WITHIN: Duration = Duration::from_millis(20);
/// Interval between kills, in milliseconds.
const KILL_INTERVAL_MS: std::ops::Range<u64> = 500..800;
const SEED: u64 = 11;
/// Port below the range of ephemeral ports.
const RELAY_PORT: u16 = 9_000;

/// Deadline of each accepted message.
type Accepted = BTreeMap<String, Instant>;

fn client(address: &str, number: usize, destinations: usize, accepted: &Mutex<Accepted>) {
    let until = Instant::now() + SUBMIT_DURATION;
    let mut stream = connect(address);
    for n in 0.. {
        let now = Instant::now();
        if now >= until {
            return;
        }
        let class = if n % 2 == 0 { "status-update" } else { "paid-extra" };
        let id = format!("{number}-{n}");
        let destination = (number + n / 2) % destinations;
        let request = submit_request(class, &id, destination as i64, TIME_LEFT_MS, id.as_bytes());
        match send_and_read(&mut stream, &request) {
            Some(answer) if answer.status() == 202 => {
                let due = now + Duration::from_millis(TIME_LEFT_MS);
                accepted.lock().expect("no panic").insert(id, due);
            }
            Some(_) => {}
            None => stream = reconnect(address),
        }
        std::thread::sleep(Duration::from_millis(40));
    }
}

/// Connects to a relay that may be down for a short time.
fn reconnect(address: &str) -> TcpStream {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a deadline");
                return stream;
            }
            Err(error) => assert!(Instant::now() < deadline, "no relay: {error}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Violations found in a run.
#[derive(Debug, Default)]
struct Findings {
    /// Messages that were called again after the tested answer or after a 200.
    sent_again: Vec<String>,
    /// Messages that were reported although a 200 had ended them.
    reported: Vec<String>,
    /// Messages that were accepted and did not end in time.
    lost: Vec<String>,
}

/// A kill of the relay.
#[derive(Debug)]
struct Kill {
    /// Time just before SIGKILL was sent.
    before: Instant,
    /// Time at which the process had ended.
    gone: Instant,
    /// Time at which the next process was ready.
    ready: Instant,
}

/// All kills of the relay in a run.
#[derive(Debug, Default)]
struct Kills(Vec<Kill>);

impl Kills {
    /// Returns whether the process that made the call was killed before it could store the decision.
    fn may_have_lost(&self, ended: &EndingAnswer) -> bool {
        self.0.iter().any(|kill| ended.called <= kill.gone && kill.before < ended.at + STORED_WITHIN)
    }

    /// Latest time for the end of a message with this deadline.
    fn latest_end(&self, due: Instant) -> Instant {
        let kills = self.0.iter().filter(|kill| kill.before <= due + END_TOLERANCE);
        kills.map(|kill| kill.ready + RESTART_TOLERANCE).fold(due + END_TOLERANCE, Instant::max)
    }
}

fn find_violations(seen: &Observations, accepted: &Accepted, kills: &Kills) -> Findings {
    let ended = |id: &String, due: Instant| {
        let latest = kills.latest_end(due);
        let by_endpoint = seen.ended.get(id).is_some_and(|ended| ended.status != 504 && ended.at <= latest);
        by_endpoint || seen.reports.get(id).is_some_and(|at| *at <= latest)
    };
    let stored = |id: &&String| seen.ended.get(*id).is_some_and(|ended| !kills.may_have_lost(ended));
    let delivered = |id: &&String| seen.ended.get(*id).is_some_and(|ended| ended.status == 200);
    let sorted = |mut ids: Vec<String>| {
        ids.sort();
        ids
    };
    Findings {
        sent_again: sorted(seen.called_again.iter().filter(stored).cloned().collect()),
        reported: sorted(seen.reports.keys().filter(delivered).filter(stored).cloned().collect()),
        lost: accepted.iter().filter(|(id, due)| !ended(id, **due)).map(|(id, _)| id.clone()).collect(),
    }
}

/// Restarts of the relay during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayRestarts {
    /// No restarts.
    Never,
    /// Repeated SIGKILL, each followed at once by a new process.
    Kill,
    /// Repeated SIGTERM, then SIGKILL at the earliest time that the protocol allows, each followed at once by a new process.
    Terminate,
}

/// Earliest time between SIGTERM and SIGKILL.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);

impl RelayRestarts {
    /// Ends a process. Returns the time before SIGKILL, from which on received answers may be lost.
    fn end_process(self, program: &mut Program) -> Instant {
        let began = Instant::now();
        if self == RelayRestarts::Terminate {
            program.signal("-TERM");
            while program.is_running() && began.elapsed() < KILL_AFTER_TERM {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let before = Instant::now();
        program.kill();
        before
    }
}

/// Returns an address that stays the same through restarts, and that no other test or process uses.
fn unique_address() -> String {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let (number, process) = (NUMBER.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!("127.{}.{}.{number}:{RELAY_PORT}", 64 + (process >> 8 & 63), process & 255)
}

/// Runs clients, a relay and two endpoints that answer with this status and fault. Prints a summary; returns the violations
/// and the number of messages that got the tested answer.
fn run(name: &str, status: u16, fault: &AnswerFault, restarts: RelayRestarts) -> (Findings, usize) {
    let seen = SharedObservations::default();
    let behavior = EndpointBehavior { status, fault: fault.clone() };
    let addresses: Vec<String> =
        (0..2).map(|n: u64| endpoints::endpoint(behavior.clone(), SEED + (n << 32), &seen)).collect();
    let folder = folder(name);
    let mut file = configuration(&addresses);
    file["discovery"] = endpoints::agent(&seen).into();
    let listen = unique_address();
    file["listen"] = listen.clone().into();
    let (config, state) = (folder.join("config.json"), folder.join("state"));
    std::fs::write(&config, file.to_string()).expect("a file");
    let (config, state) = (config.display().to_string(), state.display().to_string());
    let start = || Program::start(&[], &[("PROXY_CONFIG", &config), ("PROXY_STATE", &state)], 1);
    let mut program = start();
    let (accepted, mut kills) = (Mutex::new(Accepted::new()), Kills::default());
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (address, accepted, destinations) = (&listen, &accepted, addresses.len());
            scope.spawn(move || client(address, number, destinations, accepted));
        }
        let (until, mut rng) = (Instant::now() + SUBMIT_DURATION, SmallRng::seed_from_u64(SEED));
        while restarts != RelayRestarts::Never && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(rng.random_range(KILL_INTERVAL_MS)));
            let before = restarts.end_process(&mut program);
            let gone = Instant::now();
            program = start();
            kills.0.push(Kill { before, gone, ready: Instant::now() });
        }
    });
    std::thread::sleep(Duration::from_millis(TIME_LEFT_MS) + END_TOLERANCE);
    drop(program);
    let (seen, accepted) = (seen.lock().expect("no panic"), accepted.into_inner().expect("no panic"));
    assert!(accepted.len() > 400, "only {} messages were accepted", accepted.len());
    assert!(seen.tested.len() > 40, "only {} answers were tested", seen.tested.len());
    let findings = find_violations(&seen, &accepted, &kills);
    let calls: u32 = seen.calls.values().sum();
    let reported = seen.tested.keys().filter(|id| seen.reports.contains_key(*id)).count();
    println!(
        "{name}, seed {SEED}: {} accepted, {calls} calls on {} connections, {} kills; tested {}, of these reported {reported}; \
         sent again {}, reported though delivered {}, lost {}",
        accepted.len(),
        seen.connections,
        kills.0.len(),
        seen.tested.len(),
        findings.sent_again.len(),
        findings.reported.len(),
        findings.lost.len()
    );
    (findings, seen.tested.len())
}

/// Runs without restarts, and asserts that no message is sent again, lost, or reported although it was delivered.
fn assert_ends_once(name: &str, status: u16, fault: &AnswerFault) {
    let (findings, _) = run(name, status, fault, RelayRestarts::Never);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
    assert_eq!(findings.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn an_ended_message_is_not_sent_again_after_a_complete_answer() {
    assert_ends_once("ended-whole", 410, &AnswerFault::Intact);
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_has_connection_close() {
    assert_ends_once("ended-says-close", 410, &AnswerFault::ConnectionCloseHeader);
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_is_delimited_by_close() {
    assert_ends_once("ended-ends-by-close", 410, &AnswerFault::DelimitedByClose);
}

#[test]
fn an_ended_message_is_not_sent_again_if_its_connection_is_closed_at_once() {
    assert_ends_once("ended-closed", 410, &AnswerFault::Closed(0..1));
}

#[test]
fn an_ended_message_is_not_sent_again_if_its_connection_is_closed_soon() {
    assert_ends_once("ended-closed-soon", 410, &AnswerFault::Closed(2..300));
}

#[test]
fn an_ended_message_is_not_sent_again_if_its_connection_is_reset() {
    assert_ends_once("ended-reset", 410, &AnswerFault::Reset(1..30));
}

#[test]
fn an_ended_message_is_not_sent_again_if_only_the_status_line_arrives() {
    assert_ends_once("ended-first-line", 410, &AnswerFault::Cut(CutPoint::AfterStatusLine));
}

#[test]
fn a_message_that_may_have_ended_is_not_sent_again_if_the_status_line_is_truncated() {
    assert_ends_once("ended-no-line-end", 410, &AnswerFault::Cut(CutPoint::BeforeStatusLineEnd));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_is_truncated_in_its_head() {
    assert_ends_once("ended-half-header", 410, &AnswerFault::Cut(CutPoint::InHeader));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_is_truncated_in_its_body() {
    assert_ends_once("ended-half-body", 410, &AnswerFault::Cut(CutPoint::InBody));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_is_truncated_in_a_chunk() {
    assert_ends_once("ended-half-chunk", 410, &AnswerFault::Cut(CutPoint::InChunk));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_head_stalls() {
    assert_ends_once("ended-head-stalls", 410, &AnswerFault::Stalled(CutPoint::AfterStatusLine, 50..600));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_body_stalls() {
    assert_ends_once("ended-body-stalls", 410, &AnswerFault::Stalled(CutPoint::AfterHead, 50..600));
}

#[test]
fn an_ended_message_is_not_sent_again_if_the_answer_arrives_in_pieces() {
    assert_ends_once("ended-pieces", 410, &AnswerFault::Pieces(0..60));
}

#[test]
fn an_ended_message_is_not_sent_again_if_a_copy_of_the_answer_follows_soon() {
    let (findings, _) =
        run("ended-copy-soon", 410, &AnswerFault::FollowedByCopy(0..20), RelayRestarts::Never);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
}

#[test]
fn an_ended_message_is_not_sent_again_if_a_copy_of_the_answer_follows_late() {
    let (findings, _) =
        run("ended-copy-late", 410, &AnswerFault::FollowedByCopy(20..600), RelayRestarts::Never);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
}

#[test]
fn an_ended_message_is_not_sent_again_if_another_answer_follows() {
    let (findings, _) =
        run("ended-another", 410, &AnswerFault::FollowedByAnother(0..50), RelayRestarts::Never);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
}

#[test]
fn an_ended_message_is_not_sent_again_by_a_process_that_starts_after_a_kill() {
    let (findings, _) = run("ended-killed", 410, &AnswerFault::Intact, RelayRestarts::Kill);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
    assert_eq!(findings.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_message_that_is_over_is_not_sent_on_by_a_process_that_starts_after_a_kill_in_the_middle_of_its_answer() {
    let stalled = AnswerFault::Stalled(CutPoint::AfterStatusLine, 50..600);
    let (findings, _) = run("ended-killed-stalled", 410, &stalled, RelayRestarts::Kill);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
    assert_eq!(findings.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn an_ended_message_is_not_sent_again_by_a_process_that_starts_after_a_shutdown() {
    let (findings, _) = run("ended-terminated", 410, &AnswerFault::Closed(2..300), RelayRestarts::Terminate);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
    assert_eq!(findings.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_delivered_message_is_neither_sent_again_nor_reported_if_its_connection_is_closed_at_once() {
    assert_ends_once("delivered-closed", 200, &AnswerFault::Closed(0..1));
}

#[test]
fn a_delivered_message_is_neither_sent_again_nor_reported_if_its_connection_is_closed_soon() {
    assert_ends_once("delivered-closed-soon", 200, &AnswerFault::Closed(2..300));
}

#[test]
fn a_delivered_message_is_neither_sent_again_nor_reported_if_its_connection_is_reset() {
    assert_ends_once("delivered-reset", 200, &AnswerFault::Reset(1..30));
}

#[test]
fn a_delivered_message_is_neither_sent_again_nor_reported_if_only_the_status_line_arrives() {
    assert_ends_once("delivered-first-line", 200, &AnswerFault::Cut(CutPoint::AfterStatusLine));
}

#[test]
fn a_delivered_message_is_not_sent_again_if_a_copy_of_the_answer_follows() {
    let (findings, _) =
        run("delivered-copy", 200, &AnswerFault::FollowedByCopy(0..600), RelayRestarts::Never);
    assert_eq!((findings.sent_again, findings.lost), (vec![], vec![]));
}

#[test]
fn a_message_with_exhausted_attempts_is_reported_without_another_call() {
    assert_ends_once("spent-whole", 504, &AnswerFault::Intact);
}

#[test]
fn a_message_with_exhausted_attempts_is_reported_without_another_call_if_the_answer_is_truncated() {
    assert_ends_once("spent-first-line", 504, &AnswerFault::Cut(CutPoint::AfterStatusLine));
}
