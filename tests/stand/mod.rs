//! Stand-ins for the tests: starts the program and speaks to it over loopback sockets. Every wait ends at one
//! far deadline, and nothing sleeps to let something happen.
#![allow(dead_code)]

pub mod control;
pub mod partner;
pub mod site;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// No step of a test takes so long.
pub const FAR: Duration = Duration::from_secs(30);

/// The test that first asked for each folder name, by the name of its thread.
static FOLDER_OWNERS: Mutex<BTreeMap<String, String>> = Mutex::new(BTreeMap::new());

/// A folder of its own for each test, emptied first. A name that another test has already used is refused, as tests run
/// side by side and one would empty the folder under the other; where tests share one thread they have one name and
/// cannot collide.
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

/// The program, killed when it is dropped.
pub struct Program {
    child: Child,
    log: std::sync::mpsc::Receiver<String>,
    /// What it listens on, in the order opened.
    pub addresses: Vec<String>,
    /// The operators' door, where it has one.
    pub door: String,
}

impl Program {
    /// Starts it and waits until it is ready; `sockets` is how many it listens on.
    pub fn start(arguments: &[&str], environment: &[(&str, &str)], sockets: usize) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.args(arguments).envs(environment.iter().copied());
        let mut program = Program::launch(command);
        program.wait_ready(sockets);
        program
    }

    /// Starts it, and does not wait.
    pub fn launched(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.args(arguments);
        Program::launch(command)
    }

    /// Starts it with these variables, and does not wait.
    pub fn launched_with(environment: &[(&str, &str)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipfall"));
        command.envs(environment.iter().copied());
        Program::launch(command)
    }

    /// Whether it has not ended.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts it with a listening socket as descriptor 3, as the platform does, and does not wait.
    pub fn inherit(listener: &TcpListener, environment: &[(&str, &str)]) -> Self {
        Self::inherit_with(listener, &[], environment)
    }

    /// The same, with arguments.
    pub fn inherit_with(listener: &TcpListener, arguments: &[&str], environment: &[(&str, &str)]) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec \"$0\" \"$@\" 3<&0 0</dev/null", env!("CARGO_BIN_EXE_tulipfall")]);
        command.args(arguments);
        let socket: std::os::fd::OwnedFd = listener.try_clone().expect("the socket").into();
        command.envs(environment.iter().copied()).env("PROXY_ACCEPT_FD", "3").stdin(socket);
        Program::launch(command)
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    fn launch(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        // Its log is read all the time, so that it never waits for a reader.
        let (line, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|text| drop(line.send(text))));
        Program { child, log, addresses: vec![], door: String::new() }
    }

    /// Waits until it is ready; `sockets` is how many it listens on.
    pub fn wait_ready(&mut self, sockets: usize) {
        let mut ready = false;
        while self.addresses.len() < sockets || !ready {
            let line = self.log.recv_timeout(FAR).expect("the program is still there");
            if let Some((_, address)) = line.split_once("listening on ") {
                self.addresses.push(address.to_string());
            }
            if let Some((_, address)) = line.split_once("operators' door on ") {
                self.door = address.to_string();
            }
            ready |= line.contains(" ready, ");
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// SIGTERM; waits until the program has heard it.
    pub fn terminate(&self) {
        self.signal("-TERM");
        self.logged("stopping");
    }

    /// Any signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([signal, &id]).status().expect("kill runs");
    }

    /// Waits until its log says so.
    pub fn logged(&self, text: &str) {
        while !self.log.recv_timeout(FAR).expect(text).contains(text) {}
    }

    /// Its exit status, and what it logged, once it has ended.
    pub fn ended(&mut self) -> (Option<i32>, Vec<String>) {
        let code = self.child.wait().expect("its end").code();
        (code, self.log.iter().collect())
    }

    /// Whether it ended well, once it has ended.
    pub fn ended_well(&mut self) -> bool {
        self.child.wait().expect("its end").success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One HTTP message as it came: the head and the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    pub head: String,
    pub body: Vec<u8>,
}

impl Heard {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'))
            .find_map(|(found, value)| found.eq_ignore_ascii_case(name).then(|| value.trim()))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message; `None` where the connection ends before.
pub fn hear(stream: &mut TcpStream) -> Option<Heard> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let mut heard = Heard { head: String::from_utf8_lossy(&head).into_owned(), body: vec![] };
    let length = heard.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    heard.body = vec![0; length];
    stream.read_exact(&mut heard.body).ok()?;
    Some(heard)
}

/// A connection with the far deadline.
pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(FAR)).expect("a deadline");
    stream
}

/// The next connection of a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    // A listener's deadline for reads is the one for accepting.
    socket2::SockRef::from(listener).set_read_timeout(Some(FAR)).expect("a deadline");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(FAR)).expect("a deadline");
    stream
}

/// A message as a client hands it in.
pub fn handed_in(class: &str, id: &str, dest: i64, left_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: desk\r\n\
         X-Time-Left: {left_ms}m\r\nX-Addressing: dest={dest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Writes bytes and reads the answer.
pub fn ask(stream: &mut TcpStream, bytes: &[u8]) -> Option<Heard> {
    stream.write_all(bytes).ok()?;
    hear(stream)
}
