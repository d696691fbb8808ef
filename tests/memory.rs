//! The memory of a relay while clients hold as much of it as they can.

mod stand;

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use stand::site::configuration;
use stand::{Program, connect, folder, send_and_read, submit_request};

/// Memory limit of the relay, in megabytes.
const MEMORY_MB: u64 = 32;
/// Part of it that the mapped files of an optimized build take, in megabytes.
const PROGRAM_MB: u64 = 8;
/// Number of messages that are submitted to fill the memory for bodies of messages held.
const HELD_MESSAGES: usize = 130;
/// Size of a body, in bytes: nearly the largest one that a request may have.
const BODY_BYTES: usize = 65_000;
/// Number of clients with an incomplete request, nearly as many as a relay with 1,024 descriptors accepts.
const SLOW_CLIENTS: usize = 480;
/// Fraction (one in this many) of these that stop within a body; the others stop within a head.
const BODY_CLIENTS_DIVISOR: usize = 8;

/// A relay with the smallest memory and the most descriptors that a deployment gives it.
fn start(name: &str, endpoint: &TcpListener) -> Program {
    let folder = folder(name);
    let address = endpoint.local_addr().expect("an address").to_string();
    let mut configuration = configuration(&[address]);
    configuration["limits"] = serde_json::json!({"sockets": 1024, "memory_mb": MEMORY_MB, "disk_mb": 64});
    let file = folder.join("config.json");
    std::fs::write(&file, configuration.to_string()).expect("a file");
    let (file, state) = (file.display().to_string(), folder.join("state").display().to_string());
    Program::start(&[], &[("PROXY_CONFIG", &file), ("PROXY_STATE", &state)], 1)
}

/// Submits messages that stay held, as their endpoint does not answer. Returns how many were accepted.
fn hold_messages(program: &Program) -> usize {
    let mut client = connect(&program.addresses[0]);
    let body = vec![b'x'; BODY_BYTES];
    let mut submit = |number: usize| {
        let request = submit_request("paid-extra", &format!("held-{number}"), 0, 16_000, &body);
        send_and_read(&mut client, &request).expect("an answer").status()
    };
    (0..HELD_MESSAGES).filter(|number| submit(*number) == 202).count()
}

/// The first part of a request that stops within its body, whose size is stated in chunks.
fn half_a_body(number: usize) -> Vec<u8> {
    let fields: String = (0..50).map(|field| format!("a{field}:b\r\n")).collect();
    let whole = submit_request("status-update", &format!("body-{number}"), 0, 16_000, &[]);
    let head = String::from_utf8_lossy(&whole).replace("Content-Length: 0\r\n\r\n", &fields);
    let chunk = |bytes: usize| [format!("{bytes:x}\r\n").as_bytes(), &vec![b'x'; bytes], b"\r\n"].concat();
    let (first, mut last) = (chunk(BODY_BYTES / 2), chunk(BODY_BYTES / 2));
    last.truncate(BODY_BYTES / 2 - 9);
    [head.as_bytes(), b"Transfer-Encoding: chunked\r\n\r\n", &first, &last].concat()
}

/// The first part of a request that stops within its head, of many short lines and one long one.
fn half_a_head() -> Vec<u8> {
    let fields: String = (0..60).map(|field| format!("a{field}:b\r\n")).collect();
    format!("POST /status-update HTTP/1.1\r\n{fields}long: {}", "x".repeat(15_500)).into_bytes()
}

/// Opens a connection and writes the first part of a request, as far as the relay takes it.
fn stop_half_way(address: &str, number: usize) -> TcpStream {
    let mut client = connect(address);
    let bytes = if number.is_multiple_of(BODY_CLIENTS_DIVISOR) { half_a_body(number) } else { half_a_head() };
    // The relay may refuse the request before all of this is written.
    let _ = client.write_all(&bytes);
    client
}

// Guards against a process that passes its memory limit, and is killed, while many clients stop within large requests: the buffers of
// incomplete heads and of chunked bodies were not counted, and grew to twice what they held.
#[test]
fn clients_that_stop_within_their_requests_do_not_push_a_relay_past_its_memory() {
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let program = start("memory-half-requests", &endpoint);
    assert!(hold_messages(&program) > HELD_MESSAGES / 2, "most messages are held");
    let slow: Vec<TcpStream> =
        (0..SLOW_CLIENTS).map(|number| stop_half_way(&program.addresses[0], number)).collect();
    // A small request is still accepted, and its answer shows that the relay has read what came before.
    let small = submit_request("status-update", "small", 0, 16_000, b"");
    let answer = send_and_read(&mut connect(&program.addresses[0]), &small).expect("an answer");
    assert_eq!(answer.status(), 202);
    let peak = program.peak_private_memory();
    assert!(peak <= (MEMORY_MB - PROGRAM_MB) * 1_000_000, "{peak} bytes at the peak");
    drop(slow);
}
