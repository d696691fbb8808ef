//! Fault injection into system calls, the disk and the wall clock: real relay processes with the fault shim preloaded.

mod stand;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use faults::{Child, Scenario};
use stand::site::{admin_request, configuration};
use stand::*;

/// Maximum time until a starting relay is ready, after the faults have ended.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time until the deadline of each message, in milliseconds.
const TIME_LEFT_MS: u64 = 3_000;
/// Tolerance for the end of a message after its deadline.
const SLACK: Duration = Duration::from_millis(300);

/// A call received: the message, its body, and the time.
type ReceivedCall = (String, Vec<u8>, Instant);

/// An endpoint that collects the calls it receives, and can be made to refuse them.
struct Endpoint {
    address: String,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
    /// Whether calls are refused.
    refusing: Arc<AtomicBool>,
}

impl Endpoint {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let address = listener.local_addr().expect("an address").to_string();
        let endpoint = Endpoint { address, calls: Arc::default(), refusing: Arc::default() };
        let (calls, refusing) = (endpoint.calls.clone(), endpoint.refusing.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (calls, refusing) = (calls.clone(), refusing.clone());
                std::thread::spawn(move || {
                    while let Some(call) = read_http(&mut stream) {
                        if refusing.load(Ordering::Relaxed) {
                            let busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
                            if stream.write_all(busy.as_bytes()).is_err() {
                                return;
                            }
                            continue;
                        }
                        let id = call.header("X-Correlation-Id").unwrap_or_default().to_string();
                        calls.lock().expect("no panic").push((id, call.body, Instant::now()));
                        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        endpoint
    }

    fn ids(&self) -> Vec<String> {
        self.calls.lock().expect("no panic").iter().map(|(id, ..)| id.clone()).collect()
    }
}

/// A relay that is started repeatedly on one folder, with faults.
struct Relay {
    folder: PathBuf,
    address: String,
}

impl Relay {
    fn new(name: &str, endpoint: &Endpoint) -> Self {
        let folder = folder(name);
        // A fixed port, so that clients reach the relay after a restart.
        let free = TcpListener::bind("127.0.0.1:0").expect("a socket").local_addr().expect("an address");
        let mut file = configuration(std::slice::from_ref(&endpoint.address));
        file["listen"] = free.to_string().into();
        std::fs::write(folder.join("config.json"), file.to_string()).expect("a file");
        Relay { folder, address: free.to_string() }
    }

    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Starts the relay with these faults, without waiting until it is ready.
    fn launch(&self, scenario: &str, seed: u64) -> Program {
        self.launch_with(scenario, seed, &self.state())
    }

    /// Like `launch`, with faults of files in another folder.
    fn launch_with(&self, scenario: &str, seed: u64, scope: &Path) -> Program {
        let scenario = Scenario::read(scenario).expect("a scenario");
        let (state, log) = (self.state(), self.folder.join("faults.log"));
        let child = Child { seed, scope, log: &log };
        let faults = scenario.environment(child).expect("the shim is built");
        let (file, state) = (self.folder.join("config.json"), state.display().to_string());
        let file = file.display().to_string();
        let mut environment: Vec<(&str, &str)> = faults.iter().map(|(key, value)| (*key, &**value)).collect();
        environment.extend([("PROXY_CONFIG", &*file), ("PROXY_STATE", &*state)]);
        Program::spawn_with_env(&environment)
    }

    fn start(&self, scenario: &str, seed: u64) -> Program {
        let began = Instant::now();
        let mut program = self.launch(scenario, seed);
        program.wait_ready(1);
        assert!(began.elapsed() < READY_WITHIN, "ready after {:?}", began.elapsed());
        program
    }

    fn injected_faults(&self) -> usize {
        std::fs::read_to_string(self.folder.join("faults.log")).map_or(0, |log| log.lines().count())
    }
}

/// The answers that clients received.
#[derive(Default)]
struct Answers {
    accepted: BTreeMap<String, Instant>,
    refused: usize,
    unanswered: Vec<String>,
}

/// Runs clients for a time, each of which submits messages one after the other on a persistent connection.
fn clients(relay: &Relay, name: &str, clients: usize, duration: Duration) -> Answers {
    let answers = Mutex::new(Answers::default());
    let until = Instant::now() + duration;
    std::thread::scope(|scope| {
        for client in 0..clients {
            let (answers, address) = (&answers, &relay.address);
            scope.spawn(move || {
                let mut kept: Option<TcpStream> = None;
                for n in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{name}-{client}-{n}");
                    let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(address).ok()) else {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a deadline");
                    let class = if n % 2 == 0 { "status-update" } else { "paid-extra" };
                    let body = id.repeat(40);
                    let request = submit_request(class, &id, 0, TIME_LEFT_MS, body.as_bytes());
                    let answer = send_and_read(&mut stream, &request).map(|answer| answer.status());
                    let mut answers = answers.lock().expect("no panic");
                    match answer {
                        Some(202) => drop(answers.accepted.insert(id, Instant::now())),
                        Some(_) => answers.refused += 1,
                        None => answers.unanswered.push(id),
                    }
                    if answer.is_some() {
                        kept = Some(stream);
                    }
                    drop(answers);
                    std::thread::sleep(Duration::from_millis(4));
                }
            });
        }
    });
    answers.into_inner().expect("no panic")
}

/// Asserts that all accepted messages are delivered in time, each with its own body, and non-idempotent ones once.
fn assert_all_delivered(endpoint: &Endpoint, answers: &Answers) {
    let missing = |ids: &BTreeSet<String>| -> Vec<String> {
        answers.accepted.keys().filter(|id| !ids.contains(*id)).cloned().collect()
    };
    let until = Instant::now() + Duration::from_millis(TIME_LEFT_MS) + SLACK;
    while !missing(&endpoint.ids().into_iter().collect()).is_empty() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let lost = missing(&endpoint.ids().into_iter().collect());
    assert!(
        lost.is_empty(),
        "{} of {} accepted were not delivered: {lost:?}",
        lost.len(),
        answers.accepted.len()
    );
    let calls = endpoint.calls.lock().expect("no panic");
    let mut once = BTreeSet::new();
    for (id, body, _) in calls.iter() {
        assert_eq!(*body, id.repeat(40).into_bytes(), "{id} has another body");
        let odd = id.rsplit('-').next().and_then(|n| n.parse::<u64>().ok()).is_some_and(|n| n % 2 == 1);
        assert!(once.insert(id.clone()) || !odd, "{id} was delivered twice");
    }
}

fn fault(call: &str, error: &str, probability: f64, from_ms: u64, to_ms: u64) -> String {
    format!(
        "[[fault]]\ncall = \"{call}\"\nerror = \"{error}\"\nprobability = {probability}\nfrom_ms = {from_ms}\nto_ms = {to_ms}\n"
    )
}

/// Starts a relay on an empty folder while a system call fails for 700 ms, and delivers messages through it.
fn assert_starts_despite(name: &str, call: &str, error: &str) {
    let endpoint = Endpoint::start();
    let relay = Relay::new(name, &endpoint);
    let _program = relay.start(&fault(call, error, 1.0, 0, 700), 1);
    assert!(relay.injected_faults() > 0, "no fault was injected");
    let answers = clients(&relay, "s", 1, Duration::from_millis(100));
    assert!(!answers.accepted.is_empty() && answers.unanswered.is_empty());
    assert_all_delivered(&endpoint, &answers);
}

#[test]
fn start_on_an_empty_disk_waits_while_files_cannot_be_created() {
    assert_starts_despite("faults-create", "create", "ENOSPC");
}

#[test]
fn start_waits_while_the_state_folder_cannot_be_created() {
    assert_starts_despite("faults-mkdir", "mkdir", "EIO");
}

#[test]
fn start_waits_while_the_lock_cannot_be_taken() {
    assert_starts_despite("faults-lock", "lock", "ENOLCK");
}

#[test]
fn start_waits_while_no_socket_can_be_created() {
    assert_starts_despite("faults-socket", "socket", "ENFILE");
}

#[test]
fn start_waits_while_no_event_loop_can_be_created() {
    assert_starts_despite("faults-epoll", "epoll_create", "EMFILE");
}

#[test]
fn start_waits_while_its_address_cannot_be_bound() {
    assert_starts_despite("faults-bind", "bind", "ENOBUFS");
}

#[test]
fn start_waits_while_the_journal_cannot_be_read_or_its_torn_end_truncated() {
    let endpoint = Endpoint::start();
    let relay = Relay::new("faults-torn-start", &endpoint);
    let mut program = relay.start("", 1);
    let answers = clients(&relay, "t", 1, Duration::from_millis(100));
    assert_all_delivered(&endpoint, &answers);
    program.kill();
    let segment = newest_segment(&relay.state());
    let mut file = std::fs::File::options().append(true).open(segment).expect("a segment");
    file.write_all(&[40, 0, 0, 0, 1, 2, 3, 4, 5]).expect("a torn record");
    let faults = fault("read", "EIO", 1.0, 0, 400) + &fault("truncate", "EIO", 1.0, 0, 60_000);
    let _program = relay.start(&faults, 1);
    assert!(relay.injected_faults() > 0, "no fault was injected");
    let answers = clients(&relay, "u", 1, Duration::from_millis(100));
    assert!(!answers.accepted.is_empty());
    assert_all_delivered(&endpoint, &answers);
}

#[test]
fn start_waits_while_its_configuration_cannot_be_read() {
    let endpoint = Endpoint::start();
    let relay = Relay::new("faults-configuration", &endpoint);
    let faults = fault("open", "EMFILE", 1.0, 0, 400) + &fault("read", "EIO", 1.0, 0, 700);
    let mut program = relay.launch_with(&faults, 1, &relay.folder);
    program.wait_ready(1);
    assert!(relay.injected_faults() > 0, "no fault was injected");
}

#[test]
fn a_reload_is_retried_while_the_configuration_cannot_be_read() {
    let endpoint = Endpoint::start();
    let relay = Relay::new("faults-reload", &endpoint);
    let faults = fault("read", "EIO", 1.0, 500, 1800);
    let mut program = relay.launch_with(&faults, 1, &relay.folder);
    program.wait_ready(1);
    std::thread::sleep(Duration::from_millis(700));
    program.signal("-HUP");
    program.wait_for_log("configuration read again");
    assert!(relay.injected_faults() > 0, "no fault was injected");
    let answers = clients(&relay, "r", 1, Duration::from_millis(100));
    assert!(!answers.accepted.is_empty() && answers.unanswered.is_empty());
}

#[test]
fn a_failing_log_ends_no_task() {
    let faults = fault("log", "ENOSPC", 1.0, 300, 60_000) + &fault("write", "ENOSPC", 1.0, 600, 900);
    assert_survives_faults("faults-log", &faults, 1);
}

/// Starts a relay on a folder that it cannot use, and returns the last line of its log.
fn failed_start(relay: &Relay, faults: &str) -> String {
    let (code, log) = relay.launch(faults, 1).wait_exit();
    assert_eq!(code, Some(1), "{log:?}");
    log.last().cloned().unwrap_or_default()
}

#[test]
fn an_unusable_state_folder_fails_the_start_with_its_name_and_is_not_changed() {
    let endpoint = Endpoint::start();
    let relay = Relay::new("faults-bad-folder", &endpoint);
    let state = relay.state();
    std::fs::write(&state, "a file").expect("a file");
    let line = failed_start(&relay, "");
    assert!(line.contains("state") && std::fs::read(&state).expect("the file") == b"a file", "{line}");
    std::fs::remove_file(&state).expect("removed");
    let line = failed_start(&relay, &fault("create", "EACCES", 1.0, 0, 60_000));
    assert!(line.contains("state: Permission denied"), "{line}");
    let mut program = relay.start("", 1);
    let answers = clients(&relay, "b", 1, Duration::from_millis(100));
    assert_all_delivered(&endpoint, &answers);
    let line = failed_start(&relay, "");
    assert!(line.contains("Address already in use") || line.contains("another process uses"), "{line}");
    program.kill();
    // The folder belongs to another relay.
    let file = relay.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, text.replace("\"name\":\"n0\"", "\"name\":\"n1\"")).expect("a file");
    let line = failed_start(&relay, "");
    assert!(line.contains("belongs to the relay \"n0\""), "{line}");
    std::fs::write(&file, text).expect("a file");
    // A record in the middle of the journal is damaged.
    let segment = newest_segment(&state);
    let mut bytes = std::fs::read(&segment).expect("a segment");
    bytes[12] ^= 1;
    std::fs::write(&segment, &bytes).expect("a segment");
    let line = failed_start(&relay, "");
    assert!(line.contains("is damaged at byte 0; move it away"), "{line}");
    assert_eq!(std::fs::read(&segment).expect("a segment"), bytes);
}

fn newest_segment(state: &Path) -> PathBuf {
    let files = std::fs::read_dir(state).expect("a folder").flatten().map(|entry| entry.path());
    let number = |path: &PathBuf| path.file_name()?.to_str()?.strip_prefix("journal-")?.parse::<u64>().ok();
    files.filter(|path| number(path).is_some()).max_by_key(number).expect("a segment")
}

/// Runs clients against a relay while faults are injected, and kills and restarts it afterwards. Every accepted message has to be
/// delivered.
fn assert_survives_faults(name: &str, faults: &str, seed: u64) {
    let endpoint = Endpoint::start();
    let relay = Relay::new(name, &endpoint);
    let mut program = relay.start(faults, seed);
    let answers = clients(&relay, "d", 8, Duration::from_millis(2500));
    assert!(relay.injected_faults() > 0, "no fault was injected");
    assert!(program.is_running(), "the process exited");
    assert_eq!(answers.unanswered, Vec::<String>::new());
    assert_all_delivered(&endpoint, &answers);
    let last = clients(&relay, "e", 2, Duration::from_millis(150));
    assert!(!last.accepted.is_empty(), "messages are accepted again");
    assert_all_delivered(&endpoint, &last);
    program.kill();
    let _program = relay.start("", seed);
    let after = clients(&relay, "f", 2, Duration::from_millis(100));
    assert_all_delivered(&endpoint, &after);
}

#[test]
fn a_full_disk_ends_no_process_and_loses_no_accepted_message() {
    assert_survives_faults("faults-full", &fault("write", "ENOSPC", 1.0, 600, 1300), 1);
}

#[test]
fn torn_writes_do_not_damage_later_records() {
    let torn = fault("write", "EIO", 0.3, 500, 1500).replace("call", "effect = \"torn\"\ncall");
    assert_survives_faults("faults-torn", &torn, 7);
}

#[test]
fn torn_writes_that_cannot_be_truncated_do_not_damage_later_records() {
    let torn = fault("write", "ENOSPC", 0.3, 500, 1500).replace("call", "effect = \"torn\"\ncall");
    assert_survives_faults("faults-uncut", &(torn + &fault("truncate", "EIO", 0.8, 0, 60_000)), 21);
}

#[test]
fn a_segment_that_cannot_be_removed_ends_no_process() {
    assert_survives_faults("faults-unlink", &fault("unlink", "EIO", 1.0, 0, 2000), 22);
}

#[test]
fn interrupted_system_calls_end_no_connection() {
    let faults: String = ["recv", "send", "accept", "wait", "connect", "read", "write"]
        .iter()
        .map(|call| fault(call, "EINTR", 0.2, 300, 60_000))
        .collect();
    assert_survives_faults("faults-eintr", &faults, 7);
}

#[test]
fn a_message_is_delivered_after_its_client_received_part_of_the_acceptance() {
    let endpoint = Endpoint::start();
    let relay = Relay::new("faults-half-accepted", &endpoint);
    let torn = "[[fault]]\ncall = \"send\"\neffect = \"torn\"\nerror = \"EPIPE\"\nprobability = 1.0\nfrom_ms = 0\nto_ms = 2000\n";
    let _program = relay.start(torn, 1);
    let mut stream = connect(&relay.address);
    stream.write_all(&submit_request("status-update", "half", 0, 8_000, b"body")).expect("written");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(answer.starts_with(b"HTTP/1.1 202"), "{:?}", String::from_utf8_lossy(&answer));
    let by = Instant::now() + Duration::from_secs(8);
    while endpoint.ids() != ["half"] {
        assert!(Instant::now() < by, "the client may have received the acceptance");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn short_reads_and_writes_leave_nothing_unanswered() {
    let faults: String = ["recv", "send", "read", "write"]
        .iter()
        .map(|call| fault(call, "EIO", 0.5, 300, 60_000).replace("error = \"EIO\"", "effect = \"short\""))
        .collect();
    assert_survives_faults("faults-short", &faults, 21);
}

#[test]
fn transient_local_connection_errors_end_no_message() {
    let faults = fault("connect", "EADDRNOTAVAIL", 0.5, 0, 60_000)
        + &fault("socket", "ENFILE", 0.5, 300, 1500)
        + &fault("accept", "ECONNABORTED", 0.3, 0, 60_000);
    assert_survives_faults("faults-connect", &faults, 22);
}

/// Kills a relay that holds messages, and restarts it with a stepped wall clock: the messages keep their deadlines.
fn assert_deadlines_survive_a_step(name: &str, step_ms: i64) {
    let endpoint = Endpoint::start();
    let relay = Relay::new(name, &endpoint);
    endpoint.refusing.store(true, Ordering::Relaxed);
    let mut program = relay.start("", 1);
    let answers = clients(&relay, "c", 2, Duration::from_millis(200));
    assert!(!answers.accepted.is_empty());
    program.kill();
    let program = relay.start(&format!("[[step]]\nat_ms = 0\nby_ms = {step_ms}\n"), 1);
    std::thread::sleep(Duration::from_millis(300));
    let (_, status) = admin_request(&program.admin_address, "GET", "/status");
    assert_eq!(status["held"], answers.accepted.len(), "all messages are before their deadlines");
    let last = answers.accepted.values().max().expect("one was accepted");
    let until = *last + Duration::from_millis(TIME_LEFT_MS) + SLACK;
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    let (_, status) = admin_request(&program.admin_address, "GET", "/status");
    assert_eq!(status["held"], 0, "all messages are past their deadlines");
}

#[test]
fn a_forward_step_of_the_wall_clock_over_a_restart_shortens_no_deadline() {
    assert_deadlines_survive_a_step("faults-ahead", 3_600_000);
}

#[test]
fn a_backward_step_of_the_wall_clock_over_a_restart_extends_no_deadline() {
    assert_deadlines_survive_a_step("faults-back", -3_600_000);
}
