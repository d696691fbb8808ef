//! Scripted byte exchanges with the program. Each file under tests/exchanges/ is a script, and the transcript of its run is
//! compared with a snapshot. The lines of a script:
//!
//!     start KEY=VALUE ..      starts the program; the keys are sockets, disk_mb, slots, open_cap and connect_ms
//!     kill | terminate | ends sends SIGKILL; sends SIGTERM; waits for an exit with status 0
//!     hangs_up TEXT           replaces the configuration by an invalid TEXT, or by one with options as for start and the
//!                             current address of the agent; then sends SIGHUP
//!     logged TEXT             waits until the program logs TEXT
//!     client N hands ID CLASS DEST LEFT_MS BODY    submits a message; a BODY of *N is N bytes
//!     client N sends TEXT     sends raw bytes, with the escapes \r \n \xNN
//!     client N hears          records the response
//!     endpoint N accepts | hears | answers TEXT | closes    handles the last accepted connection of a call
//!     endpoint N plugs | unplugs    starts | ends a time during which no connection to the endpoint can be established
//!     agent hears_watch | answers_watch TEXT | drops_watch | hears_notice     handles discovery and non-delivery reports
//!     agent moves             moves the agent to another address; connections to the old one stay open without answers
//!
//! A step fails after the common timeout; no step sleeps for a fixed time.

mod stand;

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;

use stand::*;

/// The agent. Watches and non-delivery reports arrive on separate connections, in any order.
struct Agent {
    address: String,
    watches: mpsc::Receiver<(HttpMessage, TcpStream)>,
    reports: mpsc::Receiver<(HttpMessage, TcpStream)>,
}

impl Agent {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let address = listener.local_addr().expect("an address").to_string();
        let ((watch, watches), (report, reports)) = (mpsc::channel(), mpsc::channel());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (watch, report) = (watch.clone(), report.clone());
                std::thread::spawn(move || {
                    while let Some(request) = read_http(&mut stream) {
                        let Ok(back) = stream.try_clone() else { return };
                        let to = if request.head.starts_with("GET") { &watch } else { &report };
                        let _ = to.send((request, back));
                    }
                });
            }
        });
        Agent { address, watches, reports }
    }
}

struct Script {
    folder: std::path::PathBuf,
    program: Option<Program>,
    clients: HashMap<String, TcpStream>,
    endpoints: Vec<TcpListener>,
    calls: HashMap<String, Vec<TcpStream>>,
    plug: Option<TcpStream>,
    agent: Agent,
    moved: Vec<Agent>,
    watch: Option<TcpStream>,
    listen: String,
    transcript: String,
}

/// Returns a configuration with two classes, one tenant and destinations 0 and 1, with the figures of the deployment where they
/// matter.
fn configuration(script: &Script, options: &HashMap<&str, &str>) -> String {
    let number = |key: &str, default: f64| options.get(key).and_then(|n| n.parse().ok()).unwrap_or(default);
    let members: Vec<serde_json::Value> = script
        .endpoints
        .iter()
        .enumerate()
        .map(|(cell, endpoint)| {
            serde_json::json!({"id": format!("s-{cell}"), "locality": "a", "flavor": "house", "cell": cell,
                "host_port": endpoint.local_addr().expect("an address").to_string(), "phase": "Ready",
                "size": 4.0, "up_since_ms": 0})
        })
        .collect();
    let class = |name: &str, effect: &str, worth: f64| {
        serde_json::json!({"Name": name, "Idempotency": effect, "AimUs": 2_000_000, "DeadlineUs": 16_000_000,
            "Value": worth, "LateWorth": 0.3})
    };
    serde_json::json!({
        "name": "n0", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": number("sockets", 128.0), "disk_mb": number("disk_mb", 3.0)},
        "known": {"revision": 41, "complete": true, "members": members},
        "settings": {
            "Classes": [class("status-update", "idempotent", 1.0), class("paid-extra", "at_most_once", 3.0)],
            "Tenants": [{"Name": "desk", "QuotaPerS": 9.0}],
            "HostTypes": ["house"], "Zones": ["a"], "Weights": "nominal", "PeersTotal": 1,
            "Domain": {"MaxCalls": number("slots", 8.0) as i64, "Late": "by_half"},
            "Limits": {"OpenCap": number("open_cap", 200.0) as i64, "MaxAttempts": 12,
                "ConnectTimeoutUs": number("connect_ms", 1000.0) as i64 * 1000, "ConnIdleUs": 15_000_000, "Cancel": true},
            "Rules": {"ColdFrom": 0.16, "ColdUs": 10_000_000, "FallMultiple": 2.0,
                "OverloadForUs": 2_000_000, "StopSendingWithinUs": 1_000_000}
        }
    })
    .to_string()
}

/// Replaces the escapes `\r`, `\n` and `\xNN`.
fn unescape(text: &str) -> Vec<u8> {
    let mut parts = text.split('\\');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (byte, rest) = match part.split_at(1) {
            ("r", rest) => (b'\r', rest),
            ("n", rest) => (b'\n', rest),
            _ => (u8::from_str_radix(&part[1..3], 16).expect("a byte"), &part[3..]),
        };
        bytes.push(byte);
        bytes.extend_from_slice(rest.as_bytes());
    }
    bytes
}

impl Script {
    fn new(name: &str) -> Self {
        let listeners = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a socket"));
        Script {
            folder: folder(name),
            program: None,
            clients: HashMap::new(),
            endpoints: listeners.collect(),
            calls: HashMap::new(),
            plug: None,
            agent: Agent::new(),
            moved: vec![],
            watch: None,
            listen: String::new(),
            transcript: String::new(),
        }
    }

    fn record(&mut self, who: &str, message: Option<HttpMessage>) {
        let Some(message) = message else {
            self.transcript.push_str(&format!("{who}: the connection ended\n"));
            return;
        };
        self.transcript.push_str(&format!("{who}:\n"));
        for line in message.head.lines().filter(|line| !line.is_empty()) {
            // Ports and remaining times differ from run to run.
            let line = match line.split_once(": ") {
                Some(("Host", _)) => "Host: HOST".to_string(),
                Some(("X-Time-Left", _)) => "X-Time-Left: LEFT".to_string(),
                _ => line.to_string(),
            };
            self.transcript.push_str(&format!("    {line}\n"));
        }
        if message.body.len() > 200 {
            self.transcript.push_str(&format!("    ({} bytes)\n", message.body.len()));
        } else if !message.body.is_empty() {
            self.transcript.push_str(&format!("    {}\n", String::from_utf8_lossy(&message.body).trim_end()));
        }
    }

    fn client(&mut self, name: &str) -> &mut TcpStream {
        let listen = self.listen.clone();
        self.clients.entry(name.to_string()).or_insert_with(|| connect(&listen))
    }

    fn call(&mut self, name: &str) -> &mut TcpStream {
        self.calls.get_mut(name).and_then(|calls| calls.last_mut()).expect("a call")
    }

    fn step(&mut self, line: &str) {
        let mut words = line.splitn(4, ' ');
        let (verb, name) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (what, rest) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        match (verb, what) {
            ("start", _) => {
                let options = line.split(' ').filter_map(|word| word.split_once('=')).collect();
                let file = self.folder.join("config.json");
                std::fs::write(&file, configuration(self, &options)).expect("a file");
                let state = self.folder.join("state");
                let text = |path: &std::path::Path| path.display().to_string();
                let program = Program::start(
                    &[],
                    &[
                        ("PROXY_CONFIG", &text(&file)),
                        ("PROXY_LISTEN", "127.0.0.1:0"),
                        ("PROXY_DISCOVERY", &self.agent.address),
                        ("PROXY_STATE", &text(&state)),
                    ],
                    1,
                );
                self.listen = program.addresses[0].clone();
                self.clients.clear();
                self.program = Some(program);
            }
            ("hangs_up", _) => {
                let words = line.split(' ').skip(1).collect::<Vec<_>>().join(" ");
                let options = words.split(' ').filter_map(|word| word.split_once('=')).collect();
                let text = match words.starts_with('{') {
                    true => words,
                    false => {
                        let text = configuration(self, &options);
                        text.replacen('{', &format!("{{\"discovery\":\"{}\",", self.agent.address), 1)
                    }
                };
                std::fs::write(self.folder.join("config.json"), text).expect("a file");
                self.program.as_ref().expect("a program").signal("-HUP");
            }
            ("logged", _) => {
                let text = line.split_once(' ').map_or("", |(_, text)| text);
                self.program.as_ref().expect("a program").wait_for_log(text);
            }
            ("kill", _) => self.program.as_mut().expect("a program").kill(),
            ("terminate", _) => self.program.as_ref().expect("a program").terminate(),
            ("ends", _) => {
                assert!(self.program.as_mut().expect("a program").wait_success(), "exit status 0");
                self.transcript.push_str("the program ended well\n");
            }
            ("client", "hands") => {
                let parts: Vec<&str> = rest.splitn(5, ' ').collect();
                let [id, class, dest, left, body] = parts[..] else { panic!("{line}") };
                let body = match body.strip_prefix('*').and_then(|n| n.parse().ok()) {
                    Some(n) => vec![b'x'; n],
                    None => body.as_bytes().to_vec(),
                };
                let dest = dest.parse().expect("a number");
                let message = submit_request(class, id, dest, left.parse().expect("a number"), &body);
                self.client(name).write_all(&message).expect("written");
            }
            ("client", "sends") => self.client(name).write_all(&unescape(rest)).expect("written"),
            ("client", "hears") => {
                let message = read_http(self.client(name));
                self.record(&format!("client {name} hears"), message);
            }
            ("endpoint", "accepts") => {
                let stream = accept(&self.endpoints[name.parse::<usize>().expect("a number")]);
                self.calls.entry(name.to_string()).or_default().push(stream);
            }
            ("endpoint", "hears") => {
                let message = read_http(self.call(name));
                self.record(&format!("endpoint {name} hears"), message);
            }
            ("endpoint", "answers") => self.call(name).write_all(&unescape(rest)).expect("written"),
            ("endpoint", "plugs") => {
                let endpoint = &self.endpoints[name.parse::<usize>().expect("a number")];
                socket2::SockRef::from(endpoint).listen(0).expect("a queue of one");
                self.plug = Some(connect(&endpoint.local_addr().expect("an address").to_string()));
            }
            ("endpoint", "unplugs") => {
                let endpoint = &self.endpoints[name.parse::<usize>().expect("a number")];
                socket2::SockRef::from(endpoint).listen(16).expect("a queue");
                drop((accept(endpoint), self.plug.take()));
            }
            ("endpoint", "closes") => drop(self.calls.get_mut(name).and_then(Vec::pop)),
            ("agent", _) => self.agent_step(name, &[what, rest].join(" ")),
            _ => panic!("no such step: {line}"),
        }
    }

    fn agent_step(&mut self, what: &str, text: &str) {
        match what {
            "moves" => {
                let old = std::mem::replace(&mut self.agent, Agent::new());
                self.moved.push(old);
            }
            "hears_watch" => {
                let (request, stream) = self.agent.watches.recv_timeout(TEST_TIMEOUT).expect("a watch");
                self.record("agent hears", Some(request));
                self.watch = Some(stream);
            }
            "drops_watch" => {
                let stream = self.watch.take().expect("a watch");
                stream.shutdown(std::net::Shutdown::Both).expect("open until now");
            }
            "answers_watch" => {
                let text = text.trim();
                let address = |n: usize| self.endpoints[n].local_addr().expect("an address").to_string();
                let body = text.replace("ADDRESS1", &address(1)).replace("ADDRESS", &address(0));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let stream = self.watch.as_mut().expect("a watch");
                stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).expect("written");
            }
            "hears_notice" => {
                let (request, mut stream) =
                    self.agent.reports.recv_timeout(TEST_TIMEOUT).expect("a non-delivery report");
                self.record("agent hears", Some(request));
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").expect("written");
            }
            "hears_notice_and_says_nothing" => {
                let (request, _) =
                    self.agent.reports.recv_timeout(TEST_TIMEOUT).expect("a non-delivery report");
                self.record("agent hears, and does not answer", Some(request));
            }
            other => panic!("no such step: agent {other}"),
        }
    }
}

fn run_script(name: &str, text: &str) {
    let mut script = Script::new(name);
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')) {
        script.transcript.push_str(&format!("> {line}\n"));
        script.step(line);
    }
    insta::with_settings!({prepend_module_to_snapshot => false, omit_expression => true}, {
        insta::assert_snapshot!(name, script.transcript);
    });
}

macro_rules! scripts {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            run_script(stringify!($name), include_str!(concat!("exchanges/", stringify!($name), ".txt")));
        })*
    };
}

scripts! {
    delivered_and_turned_away
    bad_input
    killed_with_a_call_out
    killed_while_a_notice_is_owed
    silent_endpoint
    stopped
    disk_full
    drained
    waits_are_kept
    list_after_a_gap
    stale_connection
    broken_after_the_last_byte
    reloaded
    spoilt_answers
    replaced
    bad_lengths
    drained_while_connecting
    told_to_end_then_killed
}

/// Connections with no request or an incomplete one reach the connection limit. Other clients must be accepted nevertheless, and
/// each of these connections gets an error response or is closed.
#[test]
fn silent_connections_do_not_keep_other_clients_out() {
    let mut script = Script::new("silence");
    script.step("start sockets=64");
    let mut silent: Vec<TcpStream> = (0..48).map(|_| connect(&script.listen)).collect();
    silent.iter_mut().step_by(2).for_each(|half| half.write_all(b"POST /paid-extra HT").expect("written"));
    for i in 0..4 {
        let message = submit_request("status-update", &format!("m-{i}"), 0, 16_000, b"let in");
        assert_eq!(send_and_read(&mut connect(&script.listen), &message).expect("an answer").status(), 202);
    }
    for stream in &mut silent {
        if let Some(response) = read_http(stream) {
            assert_eq!((response.status(), read_http(stream)), (408, None));
        }
    }
}

/// Clients that keep their connection after one request reach the connection limit. The next client must be accepted before it gives
/// up.
#[test]
fn idle_connections_do_not_keep_other_clients_out() {
    let mut script = Script::new("kept");
    script.step("start sockets=64");
    let mut kept = Vec::new();
    for i in 0..48 {
        let mut stream = connect(&script.listen);
        stream.set_read_timeout(Some(std::time::Duration::from_millis(1500))).expect("a deadline");
        let message = submit_request("status-update", &format!("m-{i}"), 0, 16_000, b"asked once");
        assert_eq!(send_and_read(&mut stream, &message).expect("an answer, well before 2 s").status(), 202);
        kept.push(stream);
    }
}

/// With calls that hang at both endpoints and silent clients at the connection limit, the program stays within its limit of file
/// descriptors, and still serves clients and its agent.
#[test]
fn at_the_connection_limit_descriptors_remain_for_calls_and_discovery() {
    let mut script = Script::new("descriptors");
    script.step("start sockets=64 slots=60");
    for i in 0..60 {
        let message = submit_request("status-update", &format!("m-{i}"), i % 2, 16_000, b"hangs");
        assert_eq!(send_and_read(script.client("a"), &message).expect("an answer").status(), 202);
    }
    let calls: Vec<TcpStream> = (0..20).map(|i| accept(&script.endpoints[i % 2])).collect();
    let silent: Vec<TcpStream> = (0..60).map(|_| connect(&script.listen)).collect();
    let message = submit_request("status-update", "m-60", 0, 16_000, b"let in");
    assert_eq!(send_and_read(&mut connect(&script.listen), &message).expect("an answer").status(), 202);
    let held = script.program.as_ref().expect("a program").open_descriptors();
    assert!(held <= 64, "{held} of 64, with {} calls and {} clients", calls.len(), silent.len());
    script.step("agent hears_watch");
}

/// A body exceeds the size limit by far. The response must arrive although most of the body was not read: closing the connection
/// with unread bytes would reset it.
#[test]
fn the_response_to_an_oversized_body_arrives() {
    let mut script = Script::new("endless");
    script.step("start");
    let head = "POST /paid-extra HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
    let mut stream = connect(&script.listen);
    stream.write_all(&[head.as_bytes(), &vec![b'x'; 3_000_000]].concat()).expect("written, not reset");
    assert_eq!(read_http(&mut stream).expect("an answer").status(), 413);
}

/// Bodies that arrive at the same time are admitted as if those before them were already stored. Otherwise each of them would fit on
/// the disk, but not all of them together.
#[test]
fn simultaneous_large_messages_are_refused_before_the_disk_is_full() {
    let mut script = Script::new("crowd");
    script.step("start disk_mb=1 slots=1");
    let mut streams: Vec<TcpStream> = (0..40).map(|_| connect(&script.listen)).collect();
    let writers = streams.iter().enumerate().map(|(i, stream)| {
        let mut stream = stream.try_clone().expect("a stream");
        let message = submit_request("status-update", &format!("m-{i}"), 0, 16_000, &[b'x'; 65_536]);
        std::thread::spawn(move || stream.write_all(&message).expect("written"))
    });
    writers.collect::<Vec<_>>().into_iter().for_each(|writer| writer.join().expect("the thread ends"));
    let mut answers: Vec<u16> = Vec::new();
    for stream in &mut streams {
        answers.push(read_http(stream).expect("an answer, not a crash").status());
    }
    let accepted = answers.iter().filter(|status| **status == 202).count();
    assert!((1..15).contains(&accepted) && answers.iter().all(|s| [202, 503].contains(s)), "{answers:?}");
    let files = std::fs::read_dir(script.folder.join("state")).expect("a folder").flatten();
    let used: u64 = files.map(|file| file.metadata().expect("a file").len().div_ceil(512) * 512).sum();
    assert!(used <= 1_000_000, "{used}");
}
