//! What happens if a told wait, a drain, a close or an end comes between a decision and its bytes: each crossing forced
//! over loopback sockets, by who writes what when. Nothing sleeps; every wait ends at one far deadline.

mod stand;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use stand::FAR;
use tulipfall::config::Config;
use tulipfall::exchange::{Answer, CallEnd, Clock, Exchange, OutboundCall};
use tulipfall::input::Input;
use tulipfall::interface::{Effect, Micros, Outcome, TargetId, Verdict};
use tulipfall::net::connections::Connections;
use tulipfall::net::http::Budget;
use tulipfall::net::inbound::{Front, Inbound, Vocabulary, serve};
use tulipfall::net::outbound::Outbound;
use tulipfall::rules::Relay;
use tulipfall::runtime::{Caller, Runtime};
use tulipfall::standing::{Phase, ProcessStatus};
use tulipfall::store::Journal;
use verdict::reuse::{MIN_QUIET, REST};

const S: Micros = 1_000_000;
const LANE: usize = 3;

async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(FAR, what).await.expect("within the far deadline")
}

/// An endpoint whose connections come up only once those before them were accepted: its queue holds one.
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
        socket.set_nonblocking(true).expect("for the event loop");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        Endpoint { listener, address }
    }

    async fn accept(&self) -> TcpStream {
        soon(self.listener.accept()).await.expect("a connection").0
    }

    /// From now on no connection comes up, until this one is accepted.
    async fn plug(&self) -> TcpStream {
        soon(TcpStream::connect(self.address)).await.expect("the one place")
    }
}

/// The side of the relay that makes calls.
struct Side {
    clock: Clock,
    connections: Connections,
    outbound: Outbound,
    inputs: mpsc::Receiver<Input>,
}

impl Side {
    fn new() -> Self {
        Side::with_idle(60 * S)
    }

    /// Connections rest for so long at the most, less a tenth.
    fn with_idle(limit: Micros) -> Self {
        let clock = Clock::start();
        let (to, inputs) = mpsc::channel(16);
        let connections = Connections::new(clock, 20 * S, limit, 8);
        let outbound = Outbound::new(clock, to, connections.clone(), None);
        Side { clock, connections, outbound, inputs }
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
            lane: LANE,
            effect: Effect::NonIdempotent,
            start_by,
            deadline,
        }
    }

    async fn end(&mut self) -> CallEnd {
        match soon(self.inputs.recv()).await {
            Some(Input::Ended(end)) => end,
            _ => panic!("expected the end of a call"),
        }
    }

    /// A first call is answered well; its connection, on which the relay rests then.
    async fn served(&mut self, endpoint: &Endpoint) -> TcpStream {
        let _handle = self.outbound.call(self.call("first", endpoint));
        let mut connection = endpoint.accept().await;
        request(&mut connection).await;
        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        assert_eq!(self.end().await.outcome, Outcome::Ok);
        connection
    }

    /// Nothing of a call went out on this connection, which the relay then closes.
    async fn unused(&self, mut connection: TcpStream) {
        self.connections.close(TargetId(7));
        let mut bytes = Vec::new();
        soon(connection.read_to_end(&mut bytes)).await.expect("a good end");
        assert_eq!(String::from_utf8_lossy(&bytes), "", "nothing went out");
    }

    /// A call whose connection comes up only once `crossing` is over.
    async fn crossed(&mut self, change: impl FnOnce(&mut OutboundCall), crossing: impl AsyncFnOnce(&Side)) {
        let endpoint = Endpoint::new();
        let _plug = endpoint.plug().await;
        let mut call = self.call("crossed", &endpoint);
        change(&mut call);
        let _handle = self.outbound.call(call);
        crossing(self).await;
        endpoint.accept().await;
        let connection = endpoint.accept().await;
        assert_eq!(self.end().await.outcome, Outcome::Skipped, "it was not sent");
        self.unused(connection).await;
    }
}

/// Reads one request.
async fn request(connection: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\nbody") {
        let read = soon(connection.read_buf(&mut text)).await.expect("more of the request");
        assert!(read > 0, "a whole request, not {:?}", String::from_utf8_lossy(&text));
    }
    String::from_utf8(text).expect("text")
}

#[tokio::test]
async fn a_wait_told_to_one_call_holds_another_whose_connection_comes_up_later() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let _first = side.outbound.call(side.call("told", &endpoint));
    let mut first = endpoint.accept().await;
    request(&mut first).await;
    let _plug = endpoint.plug().await;
    let _second = side.outbound.call(side.call("late", &endpoint));
    let told = b"HTTP/1.1 429 Wait\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    first.write_all(told).await.expect("written");
    assert_eq!(side.end().await.outcome, Outcome::Full(Some(30 * S)));
    endpoint.accept().await;
    let second = endpoint.accept().await;
    assert_eq!(side.end().await.outcome, Outcome::Skipped);
    side.unused(second).await;
}

#[tokio::test]
async fn a_wait_told_to_the_destination_elsewhere_holds_a_call_that_is_connecting_and_no_other() {
    let mut side = Side::new();
    let wait = async |side: &Side| side.connections.clearance().wait(LANE, side.clock.now() + 30 * S);
    side.crossed(|_| {}, wait).await;
    // What does not share the wait goes.
    let endpoint = Endpoint::new();
    let call = OutboundCall { lane: LANE + 1, ..side.call("other", &endpoint) };
    let _handle = side.outbound.call(call);
    request(&mut endpoint.accept().await).await;
}

#[tokio::test]
async fn a_shorter_wait_told_later_does_not_end_a_longer_one() {
    let mut side = Side::new();
    let waits = async |side: &Side| {
        side.connections.clearance().wait(LANE, side.clock.now() + 30 * S);
        side.connections.clearance().wait(LANE, side.clock.now() + 1);
    };
    side.crossed(|_| {}, waits).await;
}

#[tokio::test]
async fn a_drain_holds_a_call_that_is_connecting_and_a_return_lets_the_next_go() {
    let mut side = Side::new();
    side.crossed(|_| {}, async |side| side.connections.clearance().listed(TargetId(7), false)).await;
    side.connections.clearance().listed(TargetId(7), true);
    let endpoint = Endpoint::new();
    let _handle = side.outbound.call(side.call("again", &endpoint));
    request(&mut endpoint.accept().await).await;
}

#[tokio::test]
async fn a_connection_on_which_nothing_went_carries_the_next_call() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let _plug = endpoint.plug().await;
    let _held = side.outbound.call(side.call("held", &endpoint));
    side.connections.clearance().listed(TargetId(7), false);
    endpoint.accept().await;
    let mut connection = endpoint.accept().await;
    assert_eq!(side.end().await.outcome, Outcome::Skipped);
    side.connections.clearance().listed(TargetId(7), true);
    let _next = side.outbound.call(side.call("next", &endpoint));
    assert!(request(&mut connection).await.contains("X-Correlation-Id: next"));
}

#[tokio::test]
async fn a_stop_holds_a_call_that_is_connecting() {
    let mut side = Side::new();
    side.crossed(|_| {}, async |side| side.connections.clearance().stop(side.clock.now())).await;
}

#[tokio::test]
async fn the_runtime_tells_of_a_stop_before_its_last_start_comes() {
    let (mut side, endpoint, folder) = (Side::new(), Endpoint::new(), stand::folder("stop"));
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
    let module = Relay::new(config.settings.clone(), 1).expect("sound");
    let (settings, caller) = (config.settings.clone(), Box::new(side.outbound.clone()));
    let relay = (module, settings);
    let mut runtime =
        Runtime::new(side.clock, relay, config.names.clone(), (8, 1 << 20), journal, caller, notices);
    let known = config.known.map(|known| known.members).unwrap_or_default();
    runtime.resume(known, vec![], replay).expect("stored");
    let call = side.call("late", &endpoint);
    assert!(side.connections.clearance().allows(&call));
    let (inputs, received) = mpsc::channel(4);
    inputs.send(Input::Stop(side.clock.now() + 1)).await.expect("heard");
    soon(runtime.run(received)).await.expect("a good end");
    assert!(!side.connections.clearance().allows(&call), "nothing starts in a process that ends");
    let _handle = side.outbound.call(call);
    let connection = endpoint.accept().await;
    assert_eq!(side.end().await.outcome, Outcome::Skipped);
    side.unused(connection).await;
}

#[tokio::test]
async fn a_call_whose_last_moment_to_start_passes_while_it_connects_is_not_sent() {
    let mut side = Side::new();
    // The window for repeats is over, say, while the answer would still be waited for.
    side.crossed(|call| call.start_by -= 20 * S - 1, async |_| ()).await;
}

#[tokio::test]
async fn a_request_of_which_a_part_has_gone_is_broken_off_before_its_last_byte_once_a_wait_is_told() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let mut call = side.call("long", &endpoint);
    // More than the system takes for a reader that does not read.
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    call.exchange = Arc::new(Exchange { body, ..Exchange::clone(&call.exchange) });
    let _handle = side.outbound.call(call);
    let mut connection = endpoint.accept().await;
    let mut bytes = vec![0];
    soon(connection.read_exact(&mut bytes)).await.expect("its first byte");
    side.connections.clearance().wait(LANE, side.clock.now() + 30 * S);
    assert_eq!(side.end().await.outcome, Outcome::Skipped);
    let mut rest = Vec::new();
    let _ = soon(connection.read_to_end(&mut rest)).await;
    assert!(rest.len() < 64 << 20, "the last byte did not go");
}

#[tokio::test]
async fn a_wait_in_the_head_of_an_answer_that_breaks_off_binds() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let _first = side.outbound.call(side.call("told", &endpoint));
    let mut first = endpoint.accept().await;
    request(&mut first).await;
    let cut = b"HTTP/1.1 429 Wait\r\nRetry-After: 30\r\nContent-Length: 9\r\n\r\nhalf";
    first.write_all(cut).await.expect("written");
    drop(first);
    let end = side.end().await;
    assert_eq!((end.outcome, end.report.requested_wait), (Outcome::Spoilt, Some(30 * S)));
    let _second = side.outbound.call(side.call("second", &endpoint));
    assert_eq!(side.end().await.outcome, Outcome::Skipped);
}

#[tokio::test]
async fn a_refusal_whose_head_never_ends_is_bounded_long_before_the_deadline() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    for first_line in ["HTTP/1.1 503 Full\r\n", "HTTP/1.1 429 Wait\r\nRetry-After: 3"] {
        let _handle = side.outbound.call(side.call("endless", &endpoint));
        let mut connection = endpoint.accept().await;
        request(&mut connection).await;
        connection.write_all(first_line.as_bytes()).await.expect("written");
        let (began, end) = (side.clock.now(), side.end().await);
        assert_eq!(
            (end.outcome, end.report.requested_wait),
            (Outcome::Spoilt, None),
            "half a line tells no wait"
        );
        let took = side.clock.now() - began;
        assert!(took >= 4 * S / 10, "a wait that comes in pieces is heard, not cut off after {took} us");
        assert!(took < 10 * S, "its deadline is 20 s away");
    }
}

#[tokio::test]
async fn a_connection_that_stayed_unused_is_as_old_as_before() {
    let (mut side, endpoint) = (Side::with_idle(S / 5), Endpoint::new());
    let connection = side.served(&endpoint).await;
    side.connections.clearance().wait(LANE, side.clock.now() + 30 * S);
    // Calls that are held again and again must not keep it young: the endpoint closes it by its own clock.
    let began = side.clock.now();
    while side.clock.now() < began + S {
        let _held = side.outbound.call(side.call("held", &endpoint));
        if side.end().await.outcome != Outcome::Skipped {
            break;
        }
        side.connections.retire();
        let mut byte = [0];
        if matches!(connection.try_read(&mut byte), Ok(0)) {
            return;
        }
    }
    panic!("the connection outlived its idle life");
}

#[tokio::test]
async fn half_a_line_or_a_close_on_a_resting_connection_is_no_answer_to_the_next_call() {
    for rude in [&b"HTTP/1.1 200 O"[..], b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b""] {
        let (mut side, endpoint) = (Side::new(), Endpoint::new());
        let mut first = side.served(&endpoint).await;
        first.write_all(rude).await.expect("written");
        if rude.is_empty() {
            first.shutdown().await.expect("ended");
        }
        let _second = side.outbound.call(side.call("second", &endpoint));
        let mut second = endpoint.accept().await;
        assert!(request(&mut second).await.contains("X-Correlation-Id: second"));
        second.write_all(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        assert_eq!(side.end().await.outcome, Outcome::Full(None));
    }
}

/// A second call on the connection of a first one, as far as the endpoint has read it.
async fn second_call(side: &mut Side, endpoint: &Endpoint) -> (TcpStream, oneshot::Sender<()>) {
    let mut connection = side.served(endpoint).await;
    tokio::time::sleep(Duration::from_micros(2 * REST as u64)).await;
    let handle = side.outbound.call(side.call("second", endpoint));
    assert!(request(&mut connection).await.contains("X-Correlation-Id: second"), "on the same connection");
    (connection, handle)
}

/// What was told of an attempt, in the order in which it has to be told.
struct Told {
    /// What its message may have ended by.
    heard: Option<Verdict>,
    /// What the endpoint answered, while that was still to settle.
    answered: Option<Outcome>,
    end: CallEnd,
}

async fn told(side: &mut Side) -> Told {
    let (mut heard, mut answered) = (None, None);
    loop {
        match soon(side.inputs.recv()).await {
            Some(Input::Heard(told)) if answered.is_none() => heard = Some(told.verdict),
            Some(Input::Answered(answer)) => answered = Some(answer.outcome),
            Some(Input::Ended(end)) => return Told { heard, answered, end },
            _ => panic!("expected the end of a call"),
        }
    }
}

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

#[tokio::test]
async fn an_answer_on_a_used_connection_counts_once_nothing_follows_it() {
    for (bytes, expected) in [(DELIVERED, Outcome::Ok), (FULL, Outcome::Full(None))] {
        let (mut side, endpoint) = (Side::new(), Endpoint::new());
        let (mut connection, _handle) = second_call(&mut side, &endpoint).await;
        let began = side.clock.now();
        connection.write_all(bytes).await.expect("written");
        let told = told(&mut side).await;
        assert_eq!((told.answered, told.end.outcome), (Some(expected), expected));
        assert_eq!(told.heard, (expected == Outcome::Ok).then_some(Verdict::Delivered));
        assert_eq!(told.end.verdict, expected.verdict());
        assert!(side.clock.now() - began >= MIN_QUIET, "it was watched");
    }
}

#[tokio::test]
async fn an_answer_that_is_followed_by_another_one_may_be_a_copy_and_proves_nothing() {
    for (first, then) in [(DELIVERED, FULL), (FULL, DELIVERED), (DELIVERED, DELIVERED), (FULL, b"HT")] {
        let (mut side, endpoint) = (Side::new(), Endpoint::new());
        let (mut connection, _handle) = second_call(&mut side, &endpoint).await;
        connection.write_all(first).await.expect("written");
        tokio::time::sleep(Duration::from_micros(MIN_QUIET as u64 / 5)).await;
        connection.write_all(then).await.expect("written");
        let end = told(&mut side).await.end;
        assert_eq!((end.outcome, end.verdict), (Outcome::Spoilt, Verdict::MayHaveEnded));
    }
}

#[tokio::test]
async fn an_endpoint_that_wrote_unasked_gets_a_new_connection_for_each_call() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let mut first = side.served(&endpoint).await;
    first.write_all(DELIVERED).await.expect("written");
    let mut rest = Vec::new();
    let _ = soon(first.read_to_end(&mut rest)).await;
    let second = side.served(&endpoint).await;
    tokio::time::sleep(Duration::from_micros(2 * REST as u64)).await;
    side.served(&endpoint).await;
    drop(second);
}

#[tokio::test]
async fn a_reset_after_the_last_byte_may_have_run_and_is_never_sent_again_by_itself() {
    let (mut side, endpoint) = (Side::new(), Endpoint::new());
    let _handle = side.outbound.call(side.call("reset", &endpoint));
    let mut connection = endpoint.accept().await;
    request(&mut connection).await;
    let linger = socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO));
    linger.expect("a close that resets");
    drop(connection);
    let end = side.end().await;
    assert_eq!(end.outcome, Outcome::Reset);
    assert!(end.outcome.may_have_run());
}

/// The client's side of a relay whose runtime is played by the test.
struct Door {
    inbound: Arc<Inbound>,
    address: SocketAddr,
    inputs: mpsc::Receiver<Input>,
}

impl Door {
    async fn open() -> Self {
        let (clock, (to, inputs)) = (Clock::start(), mpsc::channel(16));
        let names = Vocabulary { classes: vec!["any".into()], ..Vocabulary::default() };
        let (reading, busy, guests) = Default::default();
        let standing = Arc::new(ProcessStatus::starting(clock));
        let (front, budget) = (Front::Platform(watch::channel(names).1), Budget::new(1 << 20));
        let inbound = Arc::new(Inbound { clock, front, inputs: to, budget, reading, busy, guests, standing });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(serve(listener, inbound.clone(), Arc::new(8.into())));
        Door { inbound, address, inputs }
    }

    async fn connect(&self) -> TcpStream {
        soon(TcpStream::connect(self.address)).await.expect("a connection")
    }

    /// Comes once the door has begun to read a request.
    async fn reads(&self) {
        soon(async {
            while self.inbound.reading.load(Ordering::Relaxed) == 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// The next message that reaches the runtime.
    async fn handed(&mut self) -> oneshot::Sender<Answer> {
        match soon(self.inputs.recv()).await {
            Some(Input::Handed(_, _, reply)) => reply,
            _ => panic!("expected a message"),
        }
    }
}

const HANDED_IN: &str = "POST /any HTTP/1.1\r\nX-Correlation-Id: m-1\r\nX-Time-Left: 900m\r\nX-Addressing: dest=1\r\n\
    Content-Length: 4\r\n\r\nbody";

/// All that comes until the connection ends.
async fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    soon(stream.read_to_end(&mut bytes)).await.expect("a good end, no reset");
    String::from_utf8(bytes).expect("text")
}

#[tokio::test]
async fn a_request_of_which_half_came_before_the_runtimes_end_is_answered_whole() {
    let mut door = Door::open().await;
    let mut stream = door.connect().await;
    let (first, second) = HANDED_IN.split_at(40);
    stream.write_all(first.as_bytes()).await.expect("written");
    door.reads().await;
    // The runtime ends, and the process waits for its answers before it does.
    door.inbound.standing.enter(Phase::Stopping);
    door.inputs.close();
    let inbound = door.inbound.clone();
    let answered = tokio::spawn(async move { inbound.answered(inbound.clock.now() + 20 * S).await });
    tokio::task::yield_now().await;
    assert!(!answered.is_finished(), "half a request is waited for");
    stream.write_all(second.as_bytes()).await.expect("written");
    let answer = rest(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close"), "{answer}");
    soon(answered).await.expect("its end");
}

#[tokio::test]
async fn after_a_stop_a_kept_connection_is_answered_once_more_and_what_follows_is_not_taken() {
    let mut door = Door::open().await;
    let mut stream = door.connect().await;
    stream.write_all(HANDED_IN.as_bytes()).await.expect("written");
    door.handed().await.send(Answer::Taken).expect("heard");
    let mut answer = vec![0; 12];
    soon(stream.read_exact(&mut answer)).await.expect("an answer");
    assert_eq!(answer, b"HTTP/1.1 202");
    door.inbound.standing.enter(Phase::Stopping);
    // On the resting connection, together with the next one, which crosses the close.
    stream.write_all(HANDED_IN.replace("m-1", "m-2").repeat(2).as_bytes()).await.expect("written");
    door.handed().await.send(Answer::Taken).expect("heard");
    let answers = rest(&mut stream).await;
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "one answer, then the end: {answers}");
    assert!(door.inputs.try_recv().is_err(), "what came after the last answer is nobody's");
}

#[tokio::test]
async fn a_client_that_leaves_between_its_last_byte_and_the_answer_withdraws_its_message() {
    let mut door = Door::open().await;
    let mut stream = door.connect().await;
    stream.write_all(HANDED_IN.as_bytes()).await.expect("written");
    let reply = door.handed().await;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a close that resets");
    drop(stream);
    // The reset has come once a later connection to the same door is served.
    let mut other = door.connect().await;
    other.write_all(HANDED_IN.replace("m-1", "m-2").as_bytes()).await.expect("written");
    let second = door.handed().await;
    reply.send(Answer::Taken).expect("heard");
    let Some(Input::Withdrawn(id)) = soon(door.inputs.recv()).await else { panic!("a withdrawal") };
    assert_eq!(id, "m-1");
    second.send(Answer::Taken).expect("heard");
    other.shutdown().await.expect("half closed");
    assert!(
        rest(&mut other).await.starts_with("HTTP/1.1 202 "),
        "one that ends its sending hears its answer"
    );
}

#[tokio::test]
async fn an_answer_arrives_though_bytes_come_as_the_connection_closes() {
    let door = Door::open().await;
    let mut stream = door.connect().await;
    // Half a megabyte behind a head that cannot be read.
    let flood = ["NO REQUEST AT ALL\r\n\r\n", &"x".repeat(512 * 1024)].concat();
    stream.write_all(flood.as_bytes()).await.expect("written, not reset");
    let answer = rest(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}
