//! An endpoint of a destination in a test, and waiting until something holds.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use super::{FAR, hear};

/// From one look at a condition to the next.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until that holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < FAR, "never: {what}");
        std::thread::sleep(LOOK);
    }
}

/// An endpoint that takes every call, and tells the messages that came.
pub struct Partner {
    /// Where it listens.
    pub address: SocketAddr,
    /// The correlation ids of the messages that came.
    pub heard: Receiver<String>,
}

impl Partner {
    /// Starts it on a port of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (tell, heard) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let tell = tell.clone();
                std::thread::spawn(move || {
                    while let Some(call) = hear(&mut stream) {
                        let _ = tell.send(call.header("X-Correlation-Id").unwrap_or_default().to_string());
                        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Partner { address, heard }
    }

    /// Waits for the next message and tells which it is.
    pub fn next(&self) -> String {
        self.heard.recv_timeout(FAR).expect("a message")
    }
}
