//! Race conditions between the decision to send and the bytes on the wire: a server-requested wait, a drain, a close or a
//! stop that arrives in between. Each race is forced over loopback sockets by the order of writes. Every wait has one
//! common, distant deadline.

mod stand;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use stand::TEST_TIMEOUT;
use tulipfall::config::Config;
use tulipfall::exchange::{Answer, CallEnd, Clock, Exchange, OutboundCall};
use tulipfall::input::Input;
use tulipfall::interface::{Decision, Effect, Micros, Outcome, TargetId};
use tulipfall::net::connections::Connections;
use tulipfall::net::http::MemoryBudget;
use tulipfall::net::inbound::{Inbound, InboundProtocol, KnownNames, serve};
use tulipfall::net::outbound::Outbound;
use tulipfall::rules::Relay;
use tulipfall::runtime::{Caller, Runtime};
use tulipfall::standing::{Phase, ProcessStatus};
use tulipfall::store::Journal;
use verdict::reuse::{MIN_QUIET_US, MIN_REST_US};

const S: Micros = 1_000_000;
const PATH: usize = 3;

/// Awaits a future, with the distant deadline.
async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("within the deadline")
}

/// An endpoint with a listen queue of one connection: a further connection is established only after the one before it was
/// accepted.
struct Endpoint {
    listener: TcpListener,
    address: SocketAddr,
}

impl Endpoint {
    fn new() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
        socket.listen(0).expect("listening");
        socket.set_nonblocking(true).expect("a non-blocking socket");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        Endpoint { listener, address }
    }

    async fn accept(&self) -> TcpStream {
        within_deadline(self.listener.accept()).await.expect("a connection").0
    }

    /// Fills the listen queue: no other connection is established until this one is accepted.
    async fn fill_queue(&self) -> TcpStream {
        within_deadline(TcpStream::connect(self.address)).await.expect("the one place in the queue")
    }
}

/// The part of the relay that makes calls.
struct CallSide {
    clock: Clock,
    connections: Connections,
    outbound: Outbound,
    inputs: mpsc::Receiver<Input>,
}

impl CallSide {
    fn new() -> Self {
        CallSide::with_idle_limit(60 * S)
    }

    /// Closes idle connections after this time in microseconds, less a tenth.
    fn with_idle_limit(limit: Micros) -> Self {
        let clock = Clock::start();
        let (to, inputs) = mpsc::channel(16);
        let connections = Connections::new(clock, 20 * S, limit, 8);
        let outbound = Outbound::new(clock, to, connections.clone(), None);
        CallSide { clock, connections, outbound, inputs }
    }

    fn call(&self, id: &str, endpoint: &Endpoint) -> OutboundCall {
        let (now, id) = (self.clock.now(), id.to_string());
        let (class, body) = ("any".into(), Bytes::from_static(b"body"));
        let (due, idempotency_key) = (now + 60 * S, None);
        let exchange = Exchange { id, class, tenant: None, due, destination: 1, idempotency_key, body };
        let (start_by, deadline) = (now + 20 * S, now + 20 * S);
        let address = endpoint.address.to_string().into();
        OutboundCall {
            exchange: Arc::new(exchange),
            attempt: 0,
            target: TargetId(7),
            address,
            path: PATH,
            effect: Effect::NonIdempotent,
            start_by,
            deadline,
        }
    }

    async fn next_end(&mut self) -> CallEnd {
        match within_deadline(self.inputs.recv()).await {
            Some(Input::CallEnded(end)) => end,
            _ => panic!("expected the end of a call"),
        }
    }

    /// Serves a first call successfully; returns its connection, which is then idle.
    async fn serve_first_call(&mut self, endpoint: &Endpoint) -> TcpStream {
        let _handle = self.outbound.call(self.call("first", endpoint));
        let mut connection = endpoint.accept().await;
        read_request(&mut connection).await;
        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        assert_eq!(self.next_end().await.outcome, Outcome::Ok);
        connection
    }

    /// Asserts that nothing was sent on this connection, after making the relay close it.
    async fn assert_unused(&self, mut connection: TcpStream) {
        self.connections.close_idle(TargetId(7));
        let mut bytes = Vec::new();
        within_deadline(connection.read_to_end(&mut bytes)).await.expect("the end of the connection");
        assert_eq!(String::from_utf8_lossy(&bytes), "", "nothing was sent");
    }

    /// Makes a call whose connection is established only after `event`, and asserts that the call is not sent.
    async fn assert_held_by(
        &mut self, change: impl FnOnce(&mut OutboundCall), event: impl AsyncFnOnce(&CallSide),
    ) {
        let endpoint = Endpoint::new();
        let _queued = endpoint.fill_queue().await;
        let mut call = self.call("crossed", &endpoint);
        change(&mut call);
        let _handle = self.outbound.call(call);
        event(self).await;
        endpoint.accept().await;
        let connection = endpoint.accept().await;
        assert_eq!(self.next_end().await.outcome, Outcome::Skipped, "it was not sent");
        self.assert_unused(connection).await;
    }
}

/// Reads one request.
async fn read_request(connection: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\nbody") {
        let read = within_deadline(connection.read_buf(&mut text)).await.expect("more of the request");
        assert!(read > 0, "a complete request, not {:?}", String::from_utf8_lossy(&text));
    }
    String::from_utf8(text).expect("text")
}

#[tokio::test]
async fn a_wait_requested_on_one_call_holds_another_that_is_still_connecting() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let _first = call_side.outbound.call(call_side.call("told", &endpoint));
    let mut first = endpoint.accept().await;
    read_request(&mut first).await;
    let _queued = endpoint.fill_queue().await;
    let _second = call_side.outbound.call(call_side.call("late", &endpoint));
    let refusal = b"HTTP/1.1 429 Wait\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    first.write_all(refusal).await.expect("written");
    assert_eq!(call_side.next_end().await.outcome, Outcome::Full(Some(30 * S)));
    endpoint.accept().await;
    let second = endpoint.accept().await;
    assert_eq!(call_side.next_end().await.outcome, Outcome::Skipped);
    call_side.assert_unused(second).await;
}

#[tokio::test]
async fn a_wait_of_a_send_path_holds_a_connecting_call_of_that_path_only() {
    let mut call_side = CallSide::new();
    let wait = async |call_side: &CallSide| {
        call_side.connections.send_guard().hold_path(PATH, call_side.clock.now() + 30 * S)
    };
    call_side.assert_held_by(|_| {}, wait).await;
    // A call on another path is sent.
    let endpoint = Endpoint::new();
    let call = OutboundCall { path: PATH + 1, ..call_side.call("other", &endpoint) };
    let _handle = call_side.outbound.call(call);
    read_request(&mut endpoint.accept().await).await;
}

#[tokio::test]
async fn a_later_shorter_wait_does_not_end_a_longer_one() {
    let mut call_side = CallSide::new();
    let waits = async |call_side: &CallSide| {
        call_side.connections.send_guard().hold_path(PATH, call_side.clock.now() + 30 * S);
        call_side.connections.send_guard().hold_path(PATH, call_side.clock.now() + 1);
    };
    call_side.assert_held_by(|_| {}, waits).await;
}

#[tokio::test]
async fn a_drain_holds_a_connecting_call_until_the_endpoint_returns() {
    let mut call_side = CallSide::new();
    call_side
        .assert_held_by(
            |_| {},
            async |call_side| call_side.connections.send_guard().set_in_service(TargetId(7), false),
        )
        .await;
    call_side.connections.send_guard().set_in_service(TargetId(7), true);
    let endpoint = Endpoint::new();
    let _handle = call_side.outbound.call(call_side.call("again", &endpoint));
    read_request(&mut endpoint.accept().await).await;
}

#[tokio::test]
async fn an_unused_connection_carries_the_next_call() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let _queued = endpoint.fill_queue().await;
    let _held = call_side.outbound.call(call_side.call("held", &endpoint));
    call_side.connections.send_guard().set_in_service(TargetId(7), false);
    endpoint.accept().await;
    let mut connection = endpoint.accept().await;
    assert_eq!(call_side.next_end().await.outcome, Outcome::Skipped);
    call_side.connections.send_guard().set_in_service(TargetId(7), true);
    let _next = call_side.outbound.call(call_side.call("next", &endpoint));
    assert!(read_request(&mut connection).await.contains("X-Correlation-Id: next"));
}

#[tokio::test]
async fn a_stop_holds_a_connecting_call() {
    let mut call_side = CallSide::new();
    call_side
        .assert_held_by(
            |_| {},
            async |call_side| call_side.connections.send_guard().stop_at(call_side.clock.now()),
        )
        .await;
}

#[tokio::test]
async fn the_runtime_announces_a_stop_before_the_last_start_time() {
    let (mut call_side, endpoint, folder) = (CallSide::new(), Endpoint::new(), stand::folder("stop"));
    let (file, state) = (folder.join("config.json"), folder.join("state"));
    let text = stand::site::configuration(&[endpoint.address.to_string()]).to_string();
    std::fs::write(&file, text).expect("a file");
    let variable = |name: &str| match name {
        "PROXY_CONFIG" => Some(file.display().to_string()),
        "PROXY_STATE" => Some(state.display().to_string()),
        _ => None,
    };
    let config = Config::load(variable).expect("a configuration");
    let (journal, _) = Journal::open(&config.state, config.journal_room()).expect("a journal");
    let (replay, (notices, _owed)) = (journal.replay(), mpsc::unbounded_channel());
    let module = Relay::new(config.settings.clone(), 1).expect("valid settings");
    let (settings, caller) = (config.settings.clone(), Box::new(call_side.outbound.clone()));
    let relay = (module, settings);
    let mut runtime =
        Runtime::new(call_side.clock, relay, config.names.clone(), (8, 1 << 20), journal, caller, notices);
    let known = config.known.map(|known| known.members).unwrap_or_default();
    runtime.resume(known, vec![], replay).expect("stored");
    let call = call_side.call("late", &endpoint);
    assert!(call_side.connections.send_guard().allows(&call));
    let (inputs, received) = mpsc::channel(4);
    inputs.send(Input::Stop(call_side.clock.now() + 1)).await.expect("an open channel");
    within_deadline(runtime.run(received)).await.expect("a stop without an error");
    assert!(
        !call_side.connections.send_guard().allows(&call),
        "no call starts in a process that is stopping"
    );
    let _handle = call_side.outbound.call(call);
    let connection = endpoint.accept().await;
    assert_eq!(call_side.next_end().await.outcome, Outcome::Skipped);
    call_side.assert_unused(connection).await;
}

#[tokio::test]
async fn a_call_whose_latest_start_passes_while_it_connects_is_not_sent() {
    let mut call_side = CallSide::new();
    // For example, the deduplication window has ended, while an answer would still be awaited.
    call_side.assert_held_by(|call| call.start_by -= 20 * S - 1, async |_| ()).await;
}

#[tokio::test]
async fn a_partially_sent_request_is_aborted_before_its_last_byte_if_a_wait_is_requested() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let mut call = call_side.call("long", &endpoint);
    // More than the socket buffers hold for a peer that does not read.
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    call.exchange = Arc::new(Exchange { body, ..Exchange::clone(&call.exchange) });
    let _handle = call_side.outbound.call(call);
    let mut connection = endpoint.accept().await;
    let mut bytes = vec![0];
    within_deadline(connection.read_exact(&mut bytes)).await.expect("its first byte");
    call_side.connections.send_guard().hold_path(PATH, call_side.clock.now() + 30 * S);
    assert_eq!(call_side.next_end().await.outcome, Outcome::Skipped);
    let mut rest = Vec::new();
    let _ = within_deadline(connection.read_to_end(&mut rest)).await;
    assert!(rest.len() < 64 << 20, "the last byte was not sent");
}

#[tokio::test]
async fn a_wait_in_the_head_of_a_truncated_answer_is_obeyed() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let _first = call_side.outbound.call(call_side.call("told", &endpoint));
    let mut first = endpoint.accept().await;
    read_request(&mut first).await;
    let cut = b"HTTP/1.1 429 Wait\r\nRetry-After: 30\r\nContent-Length: 9\r\n\r\nhalf";
    first.write_all(cut).await.expect("written");
    drop(first);
    let end = call_side.next_end().await;
    assert_eq!((end.outcome, end.report.requested_wait), (Outcome::Spoilt, Some(30 * S)));
    let _second = call_side.outbound.call(call_side.call("second", &endpoint));
    assert_eq!(call_side.next_end().await.outcome, Outcome::Skipped);
}

#[tokio::test]
async fn a_refusal_with_an_endless_head_times_out_long_before_the_deadline() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    for first_line in ["HTTP/1.1 503 Full\r\n", "HTTP/1.1 429 Wait\r\nRetry-After: 3"] {
        let _handle = call_side.outbound.call(call_side.call("endless", &endpoint));
        let mut connection = endpoint.accept().await;
        read_request(&mut connection).await;
        connection.write_all(first_line.as_bytes()).await.expect("written");
        let (began, end) = (call_side.clock.now(), call_side.next_end().await);
        assert_eq!(
            (end.outcome, end.report.requested_wait),
            (Outcome::Spoilt, None),
            "a partial header line gives no wait"
        );
        let took = call_side.clock.now() - began;
        assert!(
            took >= 4 * S / 10,
            "a wait that arrives in pieces must be read, but the call ended after {took} us"
        );
        assert!(took < 10 * S, "the call must end long before its deadline of 20 s");
    }
}

#[tokio::test]
async fn held_calls_do_not_extend_the_idle_time_of_a_connection() {
    let (mut call_side, endpoint) = (CallSide::with_idle_limit(S / 5), Endpoint::new());
    let connection = call_side.serve_first_call(&endpoint).await;
    call_side.connections.send_guard().hold_path(PATH, call_side.clock.now() + 30 * S);
    // Calls that are held repeatedly must not reset the idle time, because the endpoint closes idle connections by its own
    // clock.
    let began = call_side.clock.now();
    while call_side.clock.now() < began + S {
        let _held = call_side.outbound.call(call_side.call("held", &endpoint));
        if call_side.next_end().await.outcome != Outcome::Skipped {
            break;
        }
        call_side.connections.close_expired();
        let mut byte = [0];
        if matches!(connection.try_read(&mut byte), Ok(0)) {
            return;
        }
    }
    panic!("the connection outlived its idle limit");
}

#[tokio::test]
async fn data_or_a_close_on_an_idle_connection_is_no_answer_to_the_next_call() {
    for unsolicited in [&b"HTTP/1.1 200 O"[..], b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b""] {
        let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
        let mut first = call_side.serve_first_call(&endpoint).await;
        first.write_all(unsolicited).await.expect("written");
        if unsolicited.is_empty() {
            first.shutdown().await.expect("ended");
        }
        let _second = call_side.outbound.call(call_side.call("second", &endpoint));
        let mut second = endpoint.accept().await;
        assert!(read_request(&mut second).await.contains("X-Correlation-Id: second"));
        second.write_all(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        assert_eq!(call_side.next_end().await.outcome, Outcome::Full(None));
    }
}

/// Makes a second call on the connection of a first one; returns after the endpoint has read the request.
async fn second_call(call_side: &mut CallSide, endpoint: &Endpoint) -> (TcpStream, oneshot::Sender<()>) {
    let mut connection = call_side.serve_first_call(endpoint).await;
    tokio::time::sleep(Duration::from_micros(2 * MIN_REST_US as u64)).await;
    let handle = call_side.outbound.call(call_side.call("second", endpoint));
    assert!(
        read_request(&mut connection).await.contains("X-Correlation-Id: second"),
        "on the same connection"
    );
    (connection, handle)
}

/// The inputs that the runtime received for an attempt, in the required order.
struct AttemptInputs {
    /// Provisional decision on the message.
    decision: Option<Decision>,
    /// Outcome of the provisional answer, before it settled.
    answered: Option<Outcome>,
    end: CallEnd,
}

async fn attempt_inputs(call_side: &mut CallSide) -> AttemptInputs {
    let (mut decision, mut answered) = (None, None);
    loop {
        match within_deadline(call_side.inputs.recv()).await {
            Some(Input::ProvisionalDecision(input)) if answered.is_none() => decision = Some(input.decision),
            Some(Input::ProvisionalAnswer(answer)) => answered = Some(answer.outcome),
            Some(Input::CallEnded(end)) => return AttemptInputs { decision, answered, end },
            _ => panic!("expected the end of a call"),
        }
    }
}

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

#[tokio::test]
async fn an_answer_on_a_reused_connection_counts_once_the_connection_stays_quiet() {
    for (bytes, expected) in [(DELIVERED, Outcome::Ok), (FULL, Outcome::Full(None))] {
        let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
        let (mut connection, _handle) = second_call(&mut call_side, &endpoint).await;
        let began = call_side.clock.now();
        connection.write_all(bytes).await.expect("written");
        let inputs = attempt_inputs(&mut call_side).await;
        assert_eq!((inputs.answered, inputs.end.outcome), (Some(expected), expected));
        assert_eq!(inputs.decision, (expected == Outcome::Ok).then_some(Decision::Delivered));
        assert_eq!(inputs.end.decision, expected.decision());
        assert!(call_side.clock.now() - began >= MIN_QUIET_US, "the connection was watched");
    }
}

#[tokio::test]
async fn an_answer_on_a_reused_connection_followed_by_another_proves_nothing() {
    for (first, then) in [(DELIVERED, FULL), (FULL, DELIVERED), (DELIVERED, DELIVERED), (FULL, b"HT")] {
        let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
        let (mut connection, _handle) = second_call(&mut call_side, &endpoint).await;
        connection.write_all(first).await.expect("written");
        tokio::time::sleep(Duration::from_micros(MIN_QUIET_US as u64 / 5)).await;
        connection.write_all(then).await.expect("written");
        let end = attempt_inputs(&mut call_side).await.end;
        assert_eq!((end.outcome, end.decision), (Outcome::Spoilt, Decision::MayHaveEnded));
    }
}

#[tokio::test]
async fn an_endpoint_that_sent_unsolicited_data_gets_a_new_connection_for_each_call() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let mut first = call_side.serve_first_call(&endpoint).await;
    first.write_all(DELIVERED).await.expect("written");
    let mut rest = Vec::new();
    let _ = within_deadline(first.read_to_end(&mut rest)).await;
    let second = call_side.serve_first_call(&endpoint).await;
    tokio::time::sleep(Duration::from_micros(2 * MIN_REST_US as u64)).await;
    call_side.serve_first_call(&endpoint).await;
    drop(second);
}

#[tokio::test]
async fn a_call_reset_after_its_last_byte_may_have_run() {
    let (mut call_side, endpoint) = (CallSide::new(), Endpoint::new());
    let _handle = call_side.outbound.call(call_side.call("reset", &endpoint));
    let mut connection = endpoint.accept().await;
    read_request(&mut connection).await;
    let linger = socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO));
    linger.expect("a close that resets");
    drop(connection);
    let end = call_side.next_end().await;
    assert_eq!(end.outcome, Outcome::Reset);
    assert!(end.outcome.may_have_run());
}

/// The client side of a relay; the test takes the place of the runtime.
struct ClientSide {
    inbound: Arc<Inbound>,
    address: SocketAddr,
    inputs: mpsc::Receiver<Input>,
}

impl ClientSide {
    async fn open() -> Self {
        let (clock, (to, inputs)) = (Clock::start(), mpsc::channel(16));
        let names = KnownNames { classes: vec!["any".into()], ..KnownNames::default() };
        let (reading, busy, connections) = Default::default();
        let standing = Arc::new(ProcessStatus::starting(clock));
        let (protocol, budget) =
            (InboundProtocol::Platform(watch::channel(names).1), MemoryBudget::new(1 << 20));
        let inbound =
            Arc::new(Inbound { clock, protocol, inputs: to, budget, reading, busy, connections, standing });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(serve(listener, inbound.clone(), Arc::new(8.into())));
        ClientSide { inbound, address, inputs }
    }

    async fn connect(&self) -> TcpStream {
        within_deadline(TcpStream::connect(self.address)).await.expect("a connection")
    }

    /// Waits until the front has begun to read a request.
    async fn wait_for_read(&self) {
        within_deadline(async {
            while self.inbound.reading.load(Ordering::Relaxed) == 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// Waits for the next message and asserts its id; returns the channel for its answer.
    async fn assert_next_message(&mut self, id: &str) -> oneshot::Sender<Answer> {
        match within_deadline(self.inputs.recv()).await {
            Some(Input::Submitted(exchange, _, reply)) if exchange.id == id => reply,
            other => panic!("expected {id}, not {other:?}"),
        }
    }

    /// Waits for the next message; returns the channel for its answer.
    async fn next_message(&mut self) -> oneshot::Sender<Answer> {
        match within_deadline(self.inputs.recv()).await {
            Some(Input::Submitted(_, _, reply)) => reply,
            _ => panic!("expected a message"),
        }
    }
}

const SUBMIT_REQUEST: &str = "POST /any HTTP/1.1\r\nX-Correlation-Id: m-1\r\nX-Time-Left: 900m\r\nX-Addressing: dest=1\r\n\
    Content-Length: 4\r\n\r\nbody";

/// Reads until the connection ends.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    within_deadline(stream.read_to_end(&mut bytes)).await.expect("an end without a reset");
    String::from_utf8(bytes).expect("text")
}

#[tokio::test]
async fn a_request_half_received_before_the_runtime_ends_is_answered() {
    let mut front = ClientSide::open().await;
    let mut stream = front.connect().await;
    let (first, second) = SUBMIT_REQUEST.split_at(40);
    stream.write_all(first.as_bytes()).await.expect("written");
    front.wait_for_read().await;
    // The runtime ends; the process waits for outstanding answers before it exits.
    front.inbound.standing.enter(Phase::Stopping);
    front.inputs.close();
    let inbound = front.inbound.clone();
    let answered = tokio::spawn(async move { inbound.wait_answered(inbound.clock.now() + 20 * S).await });
    tokio::task::yield_now().await;
    assert!(!answered.is_finished(), "the rest of the request is awaited");
    stream.write_all(second.as_bytes()).await.expect("written");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
    within_deadline(answered).await.expect("its end");
}

#[tokio::test]
async fn after_a_stop_a_kept_alive_connection_gets_one_more_answer_and_later_requests_are_not_accepted() {
    let mut front = ClientSide::open().await;
    let mut stream = front.connect().await;
    stream.write_all(SUBMIT_REQUEST.as_bytes()).await.expect("written");
    front.next_message().await.send(Answer::Accepted).expect("an open channel");
    let mut answer = vec![0; 12];
    within_deadline(stream.read_exact(&mut answer)).await.expect("an answer");
    assert_eq!(answer, b"HTTP/1.1 202");
    front.inbound.standing.enter(Phase::Stopping);
    // Two requests at once on the idle connection; the second races with the close.
    stream.write_all(SUBMIT_REQUEST.replace("m-1", "m-2").repeat(2).as_bytes()).await.expect("written");
    front.next_message().await.send(Answer::Accepted).expect("an open channel");
    let answers = read_to_end(&mut stream).await;
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "one answer, then the end: {answers}");
    assert!(front.inputs.try_recv().is_err(), "no request after the last answer reaches the runtime");
}

#[tokio::test]
async fn a_client_that_disconnects_between_its_last_byte_and_the_answer_withdraws_its_message() {
    let mut front = ClientSide::open().await;
    let mut stream = front.connect().await;
    stream.write_all(SUBMIT_REQUEST.as_bytes()).await.expect("written");
    let reply = front.next_message().await;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a close that resets");
    drop(stream);
    // The reset has arrived once a later connection to the same front is served.
    let mut other = front.connect().await;
    other.write_all(SUBMIT_REQUEST.replace("m-1", "m-2").as_bytes()).await.expect("written");
    let second = front.next_message().await;
    reply.send(Answer::Accepted).expect("an open channel");
    let Some(Input::Withdrawn(id)) = within_deadline(front.inputs.recv()).await else {
        panic!("a withdrawal")
    };
    assert_eq!(id, "m-1");
    second.send(Answer::Accepted).expect("an open channel");
    other.shutdown().await.expect("half closed");
    assert!(
        read_to_end(&mut other).await.starts_with("HTTP/1.1 202 "),
        "a half-closed connection gets its answer"
    );
}

/// Writes requests for the messages m-1 and m-2 at once and closes the connection, before the relay has read a byte.
fn write_two_requests_and_close(address: SocketAddr, reset: bool) {
    let mut stream = std::net::TcpStream::connect(address).expect("a connection");
    let requests = [SUBMIT_REQUEST, &SUBMIT_REQUEST.replace("m-1", "m-2")].concat();
    std::io::Write::write_all(&mut stream, requests.as_bytes()).expect("written");
    let linger = reset.then_some(Duration::ZERO);
    socket2::SockRef::from(&stream).set_linger(linger).expect("the way of the close is set");
}

// Guards against messages that are sent on although their client has closed its connection with their requests still unread.
#[tokio::test]
async fn requests_on_a_connection_that_its_client_has_reset_are_not_submitted() {
    let mut front = ClientSide::open().await;
    write_two_requests_and_close(front.address, true);
    let mut other = front.connect().await;
    other.write_all(SUBMIT_REQUEST.replace("m-1", "m-3").as_bytes()).await.expect("written");
    front.assert_next_message("m-3").await.send(Answer::Accepted).expect("an open channel");
    // A client that has closed for good looks like one that waits for its answer, until an answer reaches it.
    write_two_requests_and_close(front.address, false);
    front.assert_next_message("m-1").await.send(Answer::Accepted).expect("an open channel");
    let mut last = front.connect().await;
    last.write_all(SUBMIT_REQUEST.replace("m-1", "m-4").as_bytes()).await.expect("written");
    front.assert_next_message("m-4").await.send(Answer::Accepted).expect("an open channel");
}

// Guards against answers that come late, as one client that sends requests without a pause keeps the thread.
#[tokio::test]
async fn a_client_that_sends_many_requests_at_once_does_not_delay_the_request_of_another() {
    const REQUESTS: usize = 400;
    let mut front = ClientSide::open().await;
    let (mut many, one) = (front.connect().await, front.connect().await);
    let requests = "GET /health/live HTTP/1.1\r\n\r\n".repeat(REQUESTS);
    assert_eq!(many.try_write(requests.as_bytes()).expect("written"), requests.len());
    assert_eq!(one.try_write(SUBMIT_REQUEST.as_bytes()).expect("written"), SUBMIT_REQUEST.len());
    front.assert_next_message("m-1").await.send(Answer::Accepted).expect("an open channel");
    let mut answers = vec![0; 1 << 16];
    let length = many.try_read(&mut answers).unwrap_or(0);
    let answered = String::from_utf8_lossy(&answers[..length]).matches("HTTP/1.1 200").count();
    assert!(answered <= 10, "{answered} answers before the other request was processed");
    many.shutdown().await.expect("half closed");
    let rest = read_to_end(&mut many).await.matches("HTTP/1.1 200").count();
    assert_eq!(answered + rest, REQUESTS);
    drop(one);
}

#[tokio::test]
async fn an_answer_arrives_although_data_is_received_while_the_connection_closes() {
    let front = ClientSide::open().await;
    let mut stream = front.connect().await;
    // Half a megabyte after a malformed head.
    let request = ["NO REQUEST AT ALL\r\n\r\n", &"x".repeat(512 * 1024)].concat();
    stream.write_all(request.as_bytes()).await.expect("written, not reset");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}
