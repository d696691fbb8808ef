//! Operating a running relay through its admin endpoint, drains and reloads, with the real program over sockets. Tests do not
//! sleep: each step waits for an answer, a line of the log, or the end of a connection.

mod stand;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand::site::{admin_request, configuration};
use stand::*;

fn start(folder: &Path, configuration: &Value) -> Program {
    let file = folder.join("config.json");
    std::fs::write(&file, configuration.to_string()).expect("a file");
    let (file, state) = (file.display().to_string(), folder.join("state").display().to_string());
    Program::start(&[], &[("PROXY_CONFIG", &file), ("PROXY_STATE", &state)], 1)
}

fn ready(listen: &str) -> u16 {
    let call = b"GET /health/ready HTTP/1.1\r\nHost: relay\r\n\r\n";
    send_and_read(&mut connect(listen), call).expect("an answer").status()
}

/// Reads until the other side closes the connection, and returns the bytes received.
fn read_to_close(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end that is no reset");
    bytes
}

#[test]
fn the_admin_endpoint_answers_despite_incomplete_requests_and_a_flood_of_clients() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = endpoint.local_addr().expect("an address").to_string();
    let program = start(&folder("ops-door"), &configuration(&[at]));
    // Incomplete requests, more than the admin endpoint has connections for.
    let mut incomplete: Vec<TcpStream> = (0..100).map(|_| connect(&program.admin_address)).collect();
    for stream in &mut incomplete {
        let _ = stream.write_all(b"GET /status HTTP/1.1\r\nHo");
    }
    // Idle clients that use up all client connections, and one that submits messages without pause.
    let silent: Vec<TcpStream> = (0..120).map(|_| connect(&program.addresses[0])).collect();
    let listen = program.addresses[0].clone();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let (begin, begun) = std::sync::mpsc::channel::<()>();
    let flood = std::thread::spawn(move || {
        for n in 0.. {
            if stopped.try_recv().is_ok() {
                return n;
            }
            let Ok(mut stream) = TcpStream::connect(&listen) else { continue };
            let _ = stream.write_all(&submit_request("status-update", &format!("f{n}"), 0, 900, b"x"));
            let _ = begin.send(());
        }
        0
    });
    // Otherwise, on a loaded machine, all requests could be answered before the flood starts.
    begun.recv_timeout(Duration::from_secs(20)).expect("the flood starts");
    for _ in 0..20 {
        let (status, body) = admin_request(&program.admin_address, "GET", "/status");
        assert_eq!((status, &body["state"], &body["ready"]), (200, &json!("active"), &json!(true)));
        assert!(body["held"].is_u64() && body["out"].is_u64() && body["since"].is_f64(), "{body}");
    }
    assert_eq!(admin_request(&program.admin_address, "POST", "/standby").0, 200);
    assert_eq!(admin_request(&program.admin_address, "GET", "/status").0, 503);
    assert_eq!(admin_request(&program.admin_address, "POST", "/active").0, 200);
    assert_eq!(admin_request(&program.admin_address, "DELETE", "/status").0, 405);
    assert_eq!(admin_request(&program.admin_address, "GET", "/elsewhere").0, 404);
    stop.send(()).expect("the flood runs");
    assert!(flood.join().expect("the flood ends") > 0);
    drop((incomplete, silent));
    // Malformed and oversized requests also get an answer.
    let answer = |bytes: &[u8]| {
        send_and_read(&mut connect(&program.admin_address), bytes).expect("an answer").status()
    };
    assert_eq!(answer(b"noise\r\n\r\n"), 400);
    assert_eq!(answer(b"POST /standby HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"), 413);
}

#[test]
fn a_drain_closes_persistent_connections_after_answering_each_request_and_can_be_undone() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = endpoint.local_addr().expect("an address").to_string();
    let program = start(&folder("ops-drain"), &configuration(&[at]));
    let listen = program.addresses[0].clone();
    let hand = |id: &str| submit_request("status-update", id, 0, 9000, b"body");
    let mut used = connect(&listen);
    assert_eq!(send_and_read(&mut used, &hand("m1")).expect("an answer").status(), 202);
    let untouched = connect(&listen);
    let mut incomplete = connect(&listen);
    let bytes = hand("m2");
    incomplete.write_all(&bytes[..bytes.len() - 3]).expect("written");
    let idle: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = connect(&listen);
            assert_eq!(send_and_read(&mut stream, &hand(&format!("i{n}"))).expect("an answer").status(), 202);
            stream
        })
        .collect();
    assert_eq!(ready(&listen), 200);
    let began = Instant::now();
    assert_eq!(admin_request(&program.admin_address, "POST", "/standby").0, 200);
    assert_eq!(ready(&listen), 503);
    let idle: Vec<_> = idle
        .into_iter()
        .map(|stream| std::thread::spawn(move || (read_to_close(stream), began.elapsed())))
        .collect();
    // A request on a persistent connection is served, and its answer closes the connection.
    let heard = send_and_read(&mut used, &hand("m3")).expect("an answer");
    assert_eq!((heard.status(), heard.header("Connection")), (202, Some("close")));
    assert_eq!(read_to_close(used), b"");
    incomplete.write_all(&bytes[bytes.len() - 3..]).expect("written");
    let heard = read_http(&mut incomplete).expect("an answer");
    assert_eq!((heard.status(), heard.header("Connection")), (202, Some("close")));
    // New connections are served too.
    let mut new = connect(&listen);
    assert_eq!(send_and_read(&mut new, &hand("m4")).expect("an answer").status(), 202);
    assert_eq!(read_to_close(new), b"");
    assert_eq!(read_to_close(untouched), b"");
    let mut ends: Vec<Duration> = idle
        .into_iter()
        .map(|end| {
            let (rest, at) = end.join().expect("an end");
            assert_eq!(rest, b"");
            at
        })
        .collect();
    ends.sort();
    assert!(ends[39] < Duration::from_millis(3500), "connections closed too late: {:?}", ends[39]);
    assert!(
        ends[39] - ends[0] > Duration::from_millis(500),
        "closing times are not spread out: {:?} to {:?}",
        ends[0],
        ends[39]
    );
    // Accepted messages are still held and delivered.
    let mut call = accept(&endpoint);
    assert!(read_http(&mut call).expect("a call").head.starts_with("POST /v1/messages"));
    let (status, body) = admin_request(&program.admin_address, "GET", "/status");
    assert_eq!((status, &body["state"]), (503, &json!("standby")));
    assert!(body["held"].as_u64() > Some(0));
    // Undone: the relay is ready at once, and connections are persistent again.
    assert_eq!(admin_request(&program.admin_address, "POST", "/active").0, 200);
    assert_eq!(ready(&listen), 200);
    let mut kept = connect(&listen);
    for id in ["m5", "m6"] {
        let heard = send_and_read(&mut kept, &hand(id)).expect("an answer");
        assert_eq!((heard.status(), heard.header("Connection")), (202, None));
    }
}

/// Replaces the configuration, requests a reload, and waits for the given log line.
fn reload(program: &Program, folder: &Path, text: &str, logged: &str) {
    std::fs::write(folder.join("config.json"), text).expect("a file");
    program.signal("-HUP");
    program.wait_for_log(logged);
}

#[test]
fn an_invalid_configuration_changes_nothing_and_a_valid_one_is_applied() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let folder = folder("ops-broken");
    let mut sound = configuration(&[endpoint.local_addr().expect("an address").to_string()]);
    let program = start(&folder, &sound);
    // The answers for these classes show whether an invalid file has been applied, even in part.
    let mut client = connect(&program.addresses[0]);
    let mut classes = |id: &str| {
        let mut status = |class: &str| {
            let bytes = submit_request(class, &format!("{class}-{id}"), 0, 2000, b"x");
            send_and_read(&mut client, &bytes).expect("an answer").status()
        };
        [status("status-update"), status("paid-extra"), status("newcomer")]
    };
    assert_eq!(classes("first"), [202, 202, 404]);
    let mut class = sound["settings"]["Classes"][1].clone();
    class["Name"] = "newcomer".into();
    sound["settings"]["Classes"] = json!([sound["settings"]["Classes"][0], class]);
    let text = sound.to_string();
    // Truncated files: about 130 prefixes of a valid file, of evenly spaced lengths.
    let mut broken: Vec<String> =
        (0..text.len()).step_by(text.len() / 130).map(|n| text[..n].to_string()).collect();
    let mut with = |change: &dyn Fn(&mut Value)| {
        let mut value = sound.clone();
        change(&mut value);
        broken.push(value.to_string());
    };
    for key in ["name", "listen", "limits", "settings", "ops"] {
        with(&|value| drop(value.as_object_mut().expect("a table").remove(key)));
    }
    let numbers =
        [json!(0), json!(-5), json!(1.5), json!("12"), json!(null), json!("NaN"), json!([]), json!({})];
    let keys = ["/Classes/0/DeadlineUs", "/Classes/1/AimUs", "/Limits/MaxAttempts", "/PeersTotal"];
    for key in keys {
        for number in &numbers {
            with(&|value| *value["settings"].pointer_mut(key).expect(key) = number.clone());
        }
    }
    for table in ["/Classes/0", "/Classes/1", "/Limits", "/Rules", "/Domain", "/Tenants/0"] {
        let fields = sound["settings"].pointer(table).and_then(Value::as_object).expect("a table");
        for field in fields.keys() {
            with(&|value| {
                let table = value["settings"].pointer_mut(table).and_then(Value::as_object_mut);
                table.expect("a table").remove(field);
            });
        }
    }
    with(&|value| value["settings"]["Classes"][0]["Idempotency"] = "perhaps".into());
    with(&|value| value["settings"]["Classes"][0]["Value"] = json!(-1));
    with(&|value| value["settings"]["Classes"][0]["LateWorth"] = json!(7));
    with(&|value| value["settings"]["Classes"][1]["Name"] = "status-update".into());
    with(&|value| value["settings"]["Classes"] = json!([]));
    with(&|value| value["listen"] = "nowhere".into());
    with(&|value| *value = json!([]));
    broken.push("null".into());
    assert!(broken.len() >= 200, "{} files", broken.len());
    for text in &broken {
        reload(&program, &folder, text, "the configuration cannot be used, the old one stays");
    }
    assert_eq!(classes("then"), [202, 202, 404]);
    reload(&program, &folder, &text, "configuration read again");
    assert_eq!(classes("last"), [202, 404, 202]);
}

#[test]
fn a_message_keeps_the_class_of_its_acceptance_through_reloads_and_a_restart() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let folder = folder("ops-retuned");
    let old = configuration(&[endpoint.local_addr().expect("an address").to_string()]);
    let mut program = start(&folder, &old);
    let mut client = connect(&program.addresses[0]);
    let mut hand = |class: &str, id: &str| {
        send_and_read(&mut client, &submit_request(class, id, 0, 15_000, b"x")).expect("an answer").status()
    };
    let call = || {
        let mut call = accept(&endpoint);
        let heard = read_http(&mut call).expect("a call");
        (heard.header("X-Correlation-Id").unwrap_or_default().to_string(), call)
    };
    // The charge is in flight when its class becomes idempotent, and the update when its class becomes at-most-once.
    assert_eq!((hand("paid-extra", "c1"), hand("status-update", "s1")), (202, 202));
    let mut calls = [call(), call()];
    calls.sort_by(|a, b| a.0.cmp(&b.0));
    let mut new = old.clone();
    new["settings"]["Classes"][0]["Idempotency"] = "at_most_once".into();
    new["settings"]["Classes"][1]["Idempotency"] = "idempotent".into();
    reload(&program, &folder, &new.to_string(), "configuration read again");
    // New messages of a removed class are refused.
    let mut gone = new.clone();
    gone["settings"]["Classes"] = json!([new["settings"]["Classes"][0]]);
    reload(&program, &folder, &gone.to_string(), "configuration read again");
    assert_eq!((hand("paid-extra", "c2"), hand("status-update", "s2")), (404, 202));
    assert_eq!(call().0, "s2");
    // The process is killed with three messages in flight. Whether each may be retried is in the journal, not in the file.
    program.kill();
    drop(calls);
    let program = start(&folder, &gone);
    assert_eq!(
        call().0,
        "s1",
        "accepted as idempotent, so it is retried; the charge and the at-most-once update may have run"
    );
    let (_, body) = admin_request(&program.admin_address, "GET", "/status");
    assert_eq!(body["held"], json!(1), "the other messages ended at once: {body}");
}

#[test]
fn a_relay_that_is_terminated_in_standby_exits_with_success() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = endpoint.local_addr().expect("an address").to_string();
    let mut program = start(&folder("ops-standby-term"), &configuration(&[at]));
    assert_eq!(admin_request(&program.admin_address, "POST", "/standby").0, 200);
    program.terminate();
    assert_eq!(
        admin_request(&program.admin_address, "POST", "/active").0,
        409,
        "the relay is still stopping"
    );
    assert!(program.wait_success());
}

#[test]
fn an_invalid_address_of_the_admin_endpoint_is_named_at_startup() {
    let file = folder("ops-malformed").join("config.json");
    std::fs::write(&file, configuration(&["127.0.0.1:9".into()]).to_string()).expect("a file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_tulipfall"))
        .envs([("PROXY_CONFIG", file.display().to_string()), ("PROXY_STATE", "unused".into())])
        .env("PROXY_OPS", "9600")
        .output()
        .expect("the program runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && stderr.contains("PROXY_OPS: is \"9600\""), "{stderr}");
}
