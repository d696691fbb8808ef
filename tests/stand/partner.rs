//! A test endpoint, and a wait for a condition.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use super::{TEST_TIMEOUT, read_http};

/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds. `what` describes it.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "timeout: {what}");
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// An endpoint that accepts every call and records the messages.
pub struct Partner {
    /// Listening address.
    pub address: SocketAddr,
    /// Correlation ids of the received messages.
    pub messages: Receiver<String>,
}

impl Partner {
    /// Starts the endpoint on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (sender, messages) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    while let Some(call) = read_http(&mut stream) {
                        let _ = sender.send(call.header("X-Correlation-Id").unwrap_or_default().to_string());
                        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Partner { address, messages }
    }

    /// Waits for the next message. Returns its correlation id.
    pub fn next_message(&self) -> String {
        self.messages.recv_timeout(TEST_TIMEOUT).expect("a message")
    }
}
