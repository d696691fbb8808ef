//! Answers that arrive twice, late, truncated or unsolicited. Real processes run under load, and the events seen by
//! endpoints, the discovery agent and clients are checked.

#[path = "attribution/endpoints.rs"]
mod endpoints;
mod stand;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use endpoints::{CallEnd, EndpointBehavior, Observations, SharedObservations, UnsolicitedData};
use stand::site::configuration;
use stand::*;

/// Number of clients that submit messages concurrently.
const CLIENTS: usize = 8;
/// Time for which the clients submit messages.
const SUBMIT_DURATION: Duration = Duration::from_secs(6);
/// Time to live of each message, in milliseconds.
const TIME_LEFT_MS: u64 = 2_500;
/// Latest end of a message after its deadline: 300 ms by the protocol, plus its general tolerance of 50 ms.
const END_TOLERANCE: Duration = Duration::from_millis(350);
/// Last digit of the ids of non-idempotent messages.
const NON_IDEMPOTENT_SUFFIX: &str = "1";

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
        let (class, suffix) =
            if n % 2 == 0 { ("status-update", "0") } else { ("paid-extra", NON_IDEMPOTENT_SUFFIX) };
        let id = format!("{number}-{n}-{suffix}");
        let destination = (number + n / 2) % destinations;
        let request = submit_request(class, &id, destination as i64, TIME_LEFT_MS, id.as_bytes());
        let answer = send_and_read(&mut stream, &request).expect("an answer");
        if answer.status() == 202 {
            let due = now + Duration::from_millis(TIME_LEFT_MS);
            accepted.lock().expect("no panic").insert(id, due);
        }
        std::thread::sleep(Duration::from_millis(18));
    }
}

/// Violations found in a run.
#[derive(Debug, Default, PartialEq, Eq)]
struct Findings {
    ran_twice: Vec<String>,
    overlapping: Vec<String>,
    lost: Vec<String>,
}

fn find_violations(seen: &Observations, accepted: &Accepted) -> Findings {
    let ended = |id: &String, due: Instant| {
        let calls = seen.calls.get(id).map(Vec::as_slice).unwrap_or_default();
        let delivered =
            calls.iter().any(|call| matches!(call.end, CallEnd::Delivered(at) if at <= due + END_TOLERANCE));
        delivered || seen.reports.get(id).is_some_and(|at| *at <= due + END_TOLERANCE)
    };
    Findings {
        ran_twice: seen.repeated.iter().filter(|id| id.ends_with(NON_IDEMPOTENT_SUFFIX)).cloned().collect(),
        overlapping: seen.overlapping.clone(),
        lost: accepted.iter().filter(|(id, due)| !ended(id, **due)).map(|(id, _)| id.clone()).collect(),
    }
}

/// Runs clients, a relay, endpoints and a discovery agent, and asserts that no rule is violated.
fn run(name: &str, seed: u64, behaviors: &[EndpointBehavior], (unanswered, twice): (f64, f64)) {
    let seen = SharedObservations::default();
    let addresses: Vec<String> = (0..)
        .zip(behaviors)
        .map(|(n, behavior)| endpoints::endpoint(behavior.clone(), seed + (n << 32), &seen))
        .collect();
    let folder = folder(name);
    let mut file = configuration(&addresses);
    file["discovery"] = endpoints::agent(unanswered, twice, seed, &seen).into();
    let (config, state) = (folder.join("config.json"), folder.join("state"));
    std::fs::write(&config, file.to_string()).expect("a file");
    let (config, state) = (config.display().to_string(), state.display().to_string());
    let program = Program::start(&[], &[("PROXY_CONFIG", &config), ("PROXY_STATE", &state)], 1);
    let accepted = Mutex::new(Accepted::new());
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (address, accepted) = (&program.addresses[0], &accepted);
            scope.spawn(move || client(address, number, behaviors.len(), accepted));
        }
    });
    std::thread::sleep(Duration::from_millis(TIME_LEFT_MS) + END_TOLERANCE);
    let (seen, accepted) = (seen.lock().expect("no panic"), accepted.into_inner().expect("no panic"));
    assert!(accepted.len() > 500, "only {} messages were accepted", accepted.len());
    let findings = find_violations(&seen, &accepted);
    let calls: usize = seen.calls.values().map(Vec::len).sum();
    println!(
        "{name}, seed {seed}: {} accepted, {calls} calls on {} connections, {} reports; ran twice {}, overlapping {}, lost {}",
        accepted.len(),
        seen.connections,
        seen.reports.len(),
        findings.ran_twice.len(),
        findings.overlapping.len(),
        findings.lost.len()
    );
    assert_eq!(findings, Findings::default());
}

/// Runs two endpoints that send unsolicited data after one answer in ten.
fn run_with_unsolicited_data(name: &str, unsolicited: UnsolicitedData, delay_ms: Range<u64>) {
    let behavior = EndpointBehavior { unsolicited: Some(unsolicited), fraction: 0.1, delay_ms, fails: false };
    run(name, 11, &[behavior.clone(), behavior], (0.0, 0.0));
}

#[test]
fn no_violation_if_each_answer_arrives_once() {
    let behavior = EndpointBehavior { unsolicited: None, fraction: 0.0, delay_ms: 0..1, fails: false };
    run("attribution-clean", 11, &[behavior.clone(), behavior], (0.0, 0.0));
}

#[test]
fn a_copy_right_after_an_answer_is_not_attributed_to_another_call() {
    run_with_unsolicited_data("attribution-soon", UnsolicitedData::Copy, 0..11);
}

#[test]
fn a_copy_during_the_next_call_is_not_attributed_to_that_call() {
    run_with_unsolicited_data("attribution-meanwhile", UnsolicitedData::Copy, 15..61);
}

#[test]
fn a_late_copy_of_an_answer_is_not_attributed_to_another_call() {
    run_with_unsolicited_data("attribution-late", UnsolicitedData::Copy, 100..1_001);
}

#[test]
fn an_unsolicited_complete_answer_is_not_attributed_to_another_call() {
    run_with_unsolicited_data("attribution-another", UnsolicitedData::AnotherAnswer, 0..1_001);
}

#[test]
fn a_truncated_copy_of_an_answer_is_not_attributed_to_another_call() {
    run_with_unsolicited_data("attribution-part", UnsolicitedData::Truncated, 0..1_001);
}

#[test]
fn a_second_acknowledgement_is_not_attributed_to_the_next_report() {
    let behavior = EndpointBehavior { unsolicited: None, fraction: 0.0, delay_ms: 0..1, fails: false };
    let failing = EndpointBehavior { fails: true, ..behavior.clone() };
    run("attribution-reports", 11, &[behavior, failing], (0.1, 0.1));
}
