//! A message that an endpoint ended is never sent on, whatever becomes of the answer, its connection or the relay: real
//! processes under load, judged by what endpoints, the agent and clients saw.

#[path = "ended/endpoints.rs"]
mod endpoints;
mod stand;

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use endpoints::{Cut, Ended, Fate, Plan, Seen, Shared};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stand::site::configuration;
use stand::*;

/// Clients that hand messages in side by side.
const CLIENTS: usize = 8;
/// The time for which they do.
const LASTING: Duration = Duration::from_secs(5);
/// The time that they give a message, in milliseconds.
const TIME_LEFT_MS: u64 = 2_500;
/// A message's end may come so long after its time: 300 ms by the protocol, and the 50 ms of every limit there.
const SLACK: Duration = Duration::from_millis(350);
/// No report is overdue until this long after a restarted process is ready.
const AFTER_READY: Duration = Duration::from_millis(1_500);
/// What an answer says is stored within this long of its first line, so that a kill after that finds it.
const STORED_WITHIN: Duration = Duration::from_millis(20);
/// Interval between kills, in milliseconds.
const KILL_EVERY_MS: std::ops::Range<u64> = 500..800;
const SEED: u64 = 11;
/// Below the ports that systems choose by themselves.
const RELAY_PORT: u16 = 9_000;

/// When the time of each accepted message is up.
type Accepted = BTreeMap<String, Instant>;

fn client(address: &str, number: usize, destinations: usize, accepted: &Mutex<Accepted>) {
    let until = Instant::now() + LASTING;
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

/// A connection to a relay that may be down for a moment.
fn reconnect(address: &str) -> TcpStream {
    let by = Instant::now() + TEST_TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a deadline");
                return stream;
            }
            Err(error) => assert!(Instant::now() < by, "no relay: {error}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// What a run showed.
#[derive(Debug, Default)]
struct Findings {
    /// Messages that were called after the answer that is played, or after a 200.
    sent_on: Vec<String>,
    /// Messages that were reported though a 200 had ended them.
    reported: Vec<String>,
    /// Messages that were accepted and have no end in their time.
    lost: Vec<String>,
}

/// A kill of the relay.
#[derive(Debug)]
struct Kill {
    /// Just before it.
    before: Instant,
    /// When the process was gone.
    gone: Instant,
    /// When the next one was ready.
    ready: Instant,
}

/// Kills of the relay.
#[derive(Debug, Default)]
struct Kills(Vec<Kill>);

impl Kills {
    /// Whether the process that made the call was killed before its answer could be stored.
    fn unstored(&self, ended: &Ended) -> bool {
        self.0.iter().any(|kill| ended.called <= kill.gone && kill.before < ended.at + STORED_WITHIN)
    }

    /// The time by which an end that is due then has to be there.
    fn due(&self, due: Instant) -> Instant {
        let restarts = self.0.iter().filter(|kill| kill.before <= due + SLACK);
        restarts.map(|kill| kill.ready + AFTER_READY).fold(due + SLACK, Instant::max)
    }
}

fn judge(seen: &Seen, accepted: &Accepted, kills: &Kills) -> Findings {
    let ended = |id: &String, due: Instant| {
        let due = kills.due(due);
        let by_endpoint = seen.ended.get(id).is_some_and(|ended| ended.status != 504 && ended.at <= due);
        by_endpoint || seen.reports.get(id).is_some_and(|at| *at <= due)
    };
    let stored = |id: &&String| seen.ended.get(*id).is_some_and(|ended| !kills.unstored(ended));
    let delivered = |id: &&String| seen.ended.get(*id).is_some_and(|ended| ended.status == 200);
    let sorted = |mut ids: Vec<String>| {
        ids.sort();
        ids
    };
    Findings {
        sent_on: sorted(seen.called_again.iter().filter(stored).cloned().collect()),
        reported: sorted(seen.reports.keys().filter(delivered).filter(stored).cloned().collect()),
        lost: accepted.iter().filter(|(id, due)| !ended(id, **due)).map(|(id, _)| id.clone()).collect(),
    }
}

/// What happens to the relay meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relay {
    /// Nothing.
    Stays,
    /// SIGKILL now and then, and at once a new process.
    Killed,
    /// SIGTERM, SIGKILL at the protocol's earliest time, and at once a new process.
    Terminated,
}

/// A process that was told to end is killed after this at the soonest.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

impl Relay {
    /// Ends a process; tells when that began, as far as what it heard may be lost by it.
    fn end(self, program: &mut Program) -> Instant {
        let began = Instant::now();
        if self == Relay::Terminated {
            program.signal("-TERM");
            while program.is_running() && began.elapsed() < KILLED_AFTER {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let before = Instant::now();
        program.kill();
        before
    }
}

/// An address that stays the same through restarts, and that no other test or process has.
fn own_address() -> String {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let (number, process) = (NUMBER.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!("127.{}.{}.{number}:{RELAY_PORT}", 64 + (process >> 8 & 63), process & 255)
}

/// Plays clients, a relay and two endpoints that answer so. Prints what was seen.
fn play(name: &str, status: u16, fate: &Fate, relay: Relay) -> (Findings, usize) {
    let seen = Shared::default();
    let plan = Plan { status, fate: fate.clone() };
    let addresses: Vec<String> =
        (0..2).map(|n: u64| endpoints::endpoint(plan.clone(), SEED + (n << 32), &seen)).collect();
    let folder = folder(name);
    let mut file = configuration(&addresses);
    file["discovery"] = endpoints::agent(&seen).into();
    let listen = own_address();
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
        let (until, mut rng) = (Instant::now() + LASTING, SmallRng::seed_from_u64(SEED));
        while relay != Relay::Stays && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(rng.random_range(KILL_EVERY_MS)));
            let before = relay.end(&mut program);
            let gone = Instant::now();
            program = start();
            kills.0.push(Kill { before, gone, ready: Instant::now() });
        }
    });
    std::thread::sleep(Duration::from_millis(TIME_LEFT_MS) + SLACK);
    drop(program);
    let (seen, accepted) = (seen.lock().expect("no panic"), accepted.into_inner().expect("no panic"));
    assert!(accepted.len() > 400, "only {} messages were accepted", accepted.len());
    assert!(seen.played.len() > 40, "only {} answers were played", seen.played.len());
    let found = judge(&seen, &accepted, &kills);
    let calls: u32 = seen.calls.values().sum();
    let reported = seen.played.keys().filter(|id| seen.reports.contains_key(*id)).count();
    println!(
        "{name}, seed {SEED}: {} accepted, {calls} calls on {} connections, {} kills; played {}, of these reported {reported}; \
         sent on {}, reported though delivered {}, lost {}",
        accepted.len(),
        seen.connections,
        kills.0.len(),
        seen.played.len(),
        found.sent_on.len(),
        found.reported.len(),
        found.lost.len()
    );
    (found, seen.played.len())
}

/// Plays it, and expects that nothing is sent on, lost, or reported though it was delivered.
fn ends(name: &str, status: u16, fate: &Fate) {
    let (found, _) = play(name, status, fate, Relay::Stays);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
    assert_eq!(found.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_message_that_is_over_is_not_sent_on_after_a_whole_answer() {
    ends("ended-whole", 410, &Fate::Whole);
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_says_close() {
    ends("ended-says-close", 410, &Fate::SaysClose);
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_ends_by_close() {
    ends("ended-ends-by-close", 410, &Fate::EndsByClose);
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_its_connection_is_closed_at_once() {
    ends("ended-closed", 410, &Fate::Closed(0..1));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_its_connection_is_closed_soon() {
    ends("ended-closed-soon", 410, &Fate::Closed(2..300));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_its_connection_is_reset() {
    ends("ended-reset", 410, &Fate::Reset(1..30));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_only_the_first_line_came() {
    ends("ended-first-line", 410, &Fate::Cut(Cut::FirstLine));
}

#[test]
fn a_message_that_may_be_over_is_not_sent_on_though_the_first_line_has_no_end() {
    ends("ended-no-line-end", 410, &Fate::Cut(Cut::BeforeLineEnd));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_breaks_off_in_its_head() {
    ends("ended-half-header", 410, &Fate::Cut(Cut::HalfHeader));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_breaks_off_in_its_body() {
    ends("ended-half-body", 410, &Fate::Cut(Cut::HalfBody));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_breaks_off_in_a_chunk() {
    ends("ended-half-chunk", 410, &Fate::Cut(Cut::HalfChunk));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_head_stalls() {
    ends("ended-head-stalls", 410, &Fate::Stalled(Cut::FirstLine, 50..600));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_body_stalls() {
    ends("ended-body-stalls", 410, &Fate::Stalled(Cut::Head, 50..600));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_the_answer_comes_in_pieces() {
    ends("ended-pieces", 410, &Fate::Pieces(0..60));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_a_copy_of_the_answer_comes_soon() {
    let (found, _) = play("ended-copy-soon", 410, &Fate::Copied(0..20), Relay::Stays);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_a_copy_of_the_answer_comes_late() {
    let (found, _) = play("ended-copy-late", 410, &Fate::Copied(20..600), Relay::Stays);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_though_another_answer_follows() {
    let (found, _) = play("ended-another", 410, &Fate::Another(0..50), Relay::Stays);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
}

#[test]
fn a_message_that_is_over_is_not_sent_on_by_a_process_that_starts_after_a_kill() {
    let (found, _) = play("ended-killed", 410, &Fate::Whole, Relay::Killed);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
    assert_eq!(found.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_message_that_is_over_is_not_sent_on_by_a_process_that_starts_after_a_kill_in_the_middle_of_its_answer() {
    let stalled = Fate::Stalled(Cut::FirstLine, 50..600);
    let (found, _) = play("ended-killed-stalled", 410, &stalled, Relay::Killed);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
    assert_eq!(found.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_message_that_is_over_is_not_sent_on_by_a_process_that_starts_after_a_shutdown() {
    let (found, _) = play("ended-terminated", 410, &Fate::Closed(2..300), Relay::Terminated);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
    assert_eq!(found.reported, Vec::<String>::new(), "reported though delivered");
}

#[test]
fn a_delivered_message_is_neither_sent_on_nor_reported_though_its_connection_is_closed_at_once() {
    ends("delivered-closed", 200, &Fate::Closed(0..1));
}

#[test]
fn a_delivered_message_is_neither_sent_on_nor_reported_though_its_connection_is_closed_soon() {
    ends("delivered-closed-soon", 200, &Fate::Closed(2..300));
}

#[test]
fn a_delivered_message_is_neither_sent_on_nor_reported_though_its_connection_is_reset() {
    ends("delivered-reset", 200, &Fate::Reset(1..30));
}

#[test]
fn a_delivered_message_is_neither_sent_on_nor_reported_though_only_the_first_line_came() {
    ends("delivered-first-line", 200, &Fate::Cut(Cut::FirstLine));
}

#[test]
fn a_delivered_message_is_not_sent_on_though_a_copy_of_the_answer_comes() {
    let (found, _) = play("delivered-copy", 200, &Fate::Copied(0..600), Relay::Stays);
    assert_eq!((found.sent_on, found.lost), (vec![], vec![]));
}

#[test]
fn a_message_that_has_had_all_its_attempts_is_reported_with_no_further_call() {
    ends("spent-whole", 504, &Fate::Whole);
}

#[test]
fn a_message_that_has_had_all_its_attempts_is_reported_with_no_further_call_though_the_answer_breaks_off() {
    ends("spent-first-line", 504, &Fate::Cut(Cut::FirstLine));
}
