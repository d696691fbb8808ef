//! Answers that come twice, late, in part or unasked: real processes under load, judged by what endpoints, the agent and
//! clients saw.

#[path = "attribution/endpoints.rs"]
mod endpoints;
mod stand;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use endpoints::{End, Plan, Seen, Shared, Surplus};
use stand::site::configuration;
use stand::*;

/// Clients that hand messages in side by side.
const CLIENTS: usize = 8;
/// The time for which they do.
const LASTING: Duration = Duration::from_secs(6);
/// The time that they give a message, in milliseconds.
const TIME_LEFT_MS: u64 = 2_500;
/// A message's end may come so long after its time: 300 ms by the protocol, and the 50 ms of every limit there.
const SLACK: Duration = Duration::from_millis(350);
/// The last digit of the ids of non-idempotent messages.
const ONCE: &str = "1";

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
        let (class, last) = if n % 2 == 0 { ("status-update", "0") } else { ("paid-extra", ONCE) };
        let id = format!("{number}-{n}-{last}");
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

/// What is wrong with a run.
#[derive(Debug, Default, PartialEq, Eq)]
struct Findings {
    ran_twice: Vec<String>,
    overlapping: Vec<String>,
    lost: Vec<String>,
}

fn judge(seen: &Seen, accepted: &Accepted) -> Findings {
    let ended = |id: &String, due: Instant| {
        let calls = seen.calls.get(id).map(Vec::as_slice).unwrap_or_default();
        let delivered = calls.iter().any(|call| matches!(call.end, End::Delivered(at) if at <= due + SLACK));
        delivered || seen.reports.get(id).is_some_and(|at| *at <= due + SLACK)
    };
    Findings {
        ran_twice: seen.repeated.iter().filter(|id| id.ends_with(ONCE)).cloned().collect(),
        overlapping: seen.overlapping.clone(),
        lost: accepted.iter().filter(|(id, due)| !ended(id, **due)).map(|(id, _)| id.clone()).collect(),
    }
}

/// Plays clients, a relay, endpoints and an agent, and expects that no rule is broken.
fn play(name: &str, seed: u64, plans: &[Plan], (unanswered, twice): (f64, f64)) {
    let seen = Shared::default();
    let addresses: Vec<String> = (0..)
        .zip(plans)
        .map(|(n, plan)| endpoints::endpoint(plan.clone(), seed + (n << 32), &seen))
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
            scope.spawn(move || client(address, number, plans.len(), accepted));
        }
    });
    std::thread::sleep(Duration::from_millis(TIME_LEFT_MS) + SLACK);
    let (seen, accepted) = (seen.lock().expect("no panic"), accepted.into_inner().expect("no panic"));
    assert!(accepted.len() > 500, "only {} messages were accepted", accepted.len());
    let found = judge(&seen, &accepted);
    let calls: usize = seen.calls.values().map(Vec::len).sum();
    println!(
        "{name}, seed {seed}: {} accepted, {calls} calls on {} connections, {} reports; ran twice {}, overlapping {}, lost {}",
        accepted.len(),
        seen.connections,
        seen.reports.len(),
        found.ran_twice.len(),
        found.overlapping.len(),
        found.lost.len()
    );
    assert_eq!(found, Findings::default());
}

/// Two endpoints; one answer in ten is followed by something.
fn followed_by(name: &str, surplus: Surplus, late_ms: Range<u64>) {
    let plan = Plan { surplus: Some(surplus), share: 0.1, late_ms, fails: false };
    play(name, 11, &[plan.clone(), plan], (0.0, 0.0));
}

#[test]
fn answers_that_come_once_break_no_rule() {
    let plan = Plan { surplus: None, share: 0.0, late_ms: 0..1, fails: false };
    play("attribution-clean", 11, &[plan.clone(), plan], (0.0, 0.0));
}

#[test]
fn a_copy_of_an_answer_that_comes_soon_is_not_taken_for_another_calls() {
    followed_by("attribution-soon", Surplus::Copy, 0..11);
}

#[test]
fn a_copy_of_an_answer_that_comes_while_the_next_call_is_out_is_not_taken_for_its_answer() {
    followed_by("attribution-meanwhile", Surplus::Copy, 15..61);
}

#[test]
fn a_copy_of_an_answer_that_comes_late_is_not_taken_for_another_calls() {
    followed_by("attribution-late", Surplus::Copy, 100..1_001);
}

#[test]
fn another_whole_answer_is_not_taken_for_another_calls() {
    followed_by("attribution-another", Surplus::AnotherAnswer, 0..1_001);
}

#[test]
fn a_part_of_an_answer_is_not_taken_for_another_calls() {
    followed_by("attribution-part", Surplus::Part, 0..1_001);
}

#[test]
fn a_second_acknowledgement_is_not_taken_for_the_next_reports() {
    let plan = Plan { surplus: None, share: 0.0, late_ms: 0..1, fails: false };
    let failing = Plan { fails: true, ..plan.clone() };
    play("attribution-reports", 11, &[plan, failing], (0.1, 0.1));
}
