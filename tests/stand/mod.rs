//! Support for tests that run the program and talk to it over loopback sockets. Every wait has the same long timeout, and no test
//! sleeps for a fixed time until something has happened.
#![allow(dead_code)]

pub mod control;
pub mod partner;
pub mod runtime;
pub mod site;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Timeout of each step of a test, far longer than any step takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The test that first used each folder name, identified by its thread name.
static FOLDER_OWNERS: Mutex<BTreeMap<String, String>> = Mutex::new(BTreeMap::new());

/// Creates an empty folder for a test. Panics if another test has used the name: tests run in parallel, and one would empty the
/// folder of the other. Tests that share one thread have the same thread name and run one after the other.
pub fn folder(name: &str) -> PathBuf {
    let test = std::thread::current().name().unwrap_or("unnamed").to_string();
    let mut owners = FOLDER_OWNERS.lock().unwrap_or_else(PoisonError::into_inner);
    let owner = owners.entry(name.to_string()).or_insert_with(|| test.clone()).clone();
    drop(owners);
    assert_eq!(owner, test, "the folder {name} belongs to another test");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// A running relay process, killed on drop.
pub struct Program {
    child: Child,
    log: std::sync::mpsc::Receiver<String>,
    /// Listening addresses, in the order in which they were opened.
    pub addresses: Vec<String>,
    /// Address of the admin endpoint, empty if there is none.
    pub admin_address: String,
}

impl Program {
    /// Starts the program and waits until it is ready with `sockets` listening sockets.
    pub fn start(arguments: &[&str], environment: &[(&str, &str)], sockets: usize) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.args(arguments).envs(environment.iter().copied());
        let mut program = Program::launch(command);
        program.wait_ready(sockets);
        program
    }

    /// Starts the program without waiting.
    pub fn spawn(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.args(arguments);
        Program::launch(command)
    }

    /// Starts the program with environment variables, without waiting.
    pub fn spawn_with_env(environment: &[(&str, &str)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.envs(environment.iter().copied());
        Program::launch(command)
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts the program with a listening socket as descriptor 3, as the platform does, without waiting.
    pub fn start_with_listener(listener: &TcpListener, environment: &[(&str, &str)]) -> Self {
        Self::start_with_listener_and_args(listener, &[], environment)
    }

    /// Like [`Program::start_with_listener`], with arguments.
    pub fn start_with_listener_and_args(
        listener: &TcpListener, arguments: &[&str], environment: &[(&str, &str)],
    ) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec \"$0\" \"$@\" 3<&0 0</dev/null", env!("CARGO_BIN_EXE_tulipfall")]);
        command.args(arguments);
        let socket: std::os::fd::OwnedFd = listener.try_clone().expect("the socket").into();
        command.envs(environment.iter().copied()).env("PROXY_ACCEPT_FD", "3").stdin(socket);
        Program::launch(command)
    }

    /// Returns the number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// Returns the peak of the process's memory less the parts of files that are mapped now, in bytes. The size of the program itself
    /// depends on the build.
    pub fn peak_private_memory(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let kilobytes = |key: &str| -> u64 {
            let line = status.lines().find_map(|line| line.strip_prefix(key)).expect("a line");
            line.trim().trim_end_matches(" kB").parse().expect("a number")
        };
        (kilobytes("VmHWM:") - kilobytes("RssFile:")) * 1024
    }

    fn launch(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        // The log is read continuously, so that the process never blocks on a full pipe.
        let (line, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|text| drop(line.send(text))));
        Program { child, log, addresses: vec![], admin_address: String::new() }
    }

    /// Waits until the program is ready with `sockets` listening sockets.
    pub fn wait_ready(&mut self, sockets: usize) {
        let mut ready = false;
        while self.addresses.len() < sockets || !ready {
            let line = self.log.recv_timeout(TEST_TIMEOUT).expect("the program is still running");
            if let Some((_, address)) = line.split_once("listening on ") {
                self.addresses.push(address.to_string());
            }
            if let Some((_, address)) = line.split_once("operators' door on ") {
                self.admin_address = address.to_string();
            }
            ready |= line.contains(" ready, ");
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits until the program logs that it stops.
    pub fn terminate(&self) {
        self.signal("-TERM");
        self.wait_for_log("stopping");
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([signal, &id]).status().expect("kill runs");
    }

    /// Waits until a log line contains the text.
    pub fn wait_for_log(&self, text: &str) {
        while !self.log.recv_timeout(TEST_TIMEOUT).expect(text).contains(text) {}
    }

    /// Waits until the process exits. Returns its exit status and the rest of its log.
    pub fn wait_exit(&mut self) -> (Option<i32>, Vec<String>) {
        let code = self.child.wait().expect("its exit").code();
        (code, self.log.iter().collect())
    }

    /// Waits until the process exits. Returns whether its exit status is 0.
    pub fn wait_success(&mut self) -> bool {
        self.child.wait().expect("its exit").success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A received HTTP message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpMessage {
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'))
            .find_map(|(found, value)| found.eq_ignore_ascii_case(name).then(|| value.trim()))
    }

    /// Returns the status of a response, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message. Returns `None` if the connection ends before it is complete.
pub fn read_http(stream: &mut TcpStream) -> Option<HttpMessage> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let mut message = HttpMessage { head: String::from_utf8_lossy(&head).into_owned(), body: vec![] };
    let length = message.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Opens a connection with the timeout for reads.
pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

/// Accepts the next connection of a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    // The read timeout of a listener applies to accept.
    socket2::SockRef::from(listener).set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

/// Returns the request with which a client submits a message.
pub fn submit_request(class: &str, id: &str, dest: i64, left_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: desk\r\n\
         X-Time-Left: {left_ms}m\r\nX-Addressing: dest={dest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Writes bytes and reads the response.
pub fn send_and_read(stream: &mut TcpStream, bytes: &[u8]) -> Option<HttpMessage> {
    stream.write_all(bytes).ok()?;
    read_http(stream)
}
