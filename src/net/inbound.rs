//! The client's side of the platform's front: accepts connections, reads what is handed in, answers. Owns the
//! listening socket and every client connection, and whose place goes to whom when there are few. It must never
//! choose an endpoint, hold a message back, or end a connection on which a request waits for its answer.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::codec::Framed;

use tracing::{debug, warn};

use super::Protocol;
use super::http::{Budget, Codec, HttpError, IDEMPOTENCY_KEY, MOST_BODY, Message, Start};
use super::quiet;
use super::stream::Stream;
use crate::exchange::{Answer, Clock, Exchange, IdempotencyKey, IdempotencyKeyError};
use crate::input::Input;
use crate::interface::{Class, Effect, Micros};
use crate::jitter;
use crate::standing::{DrainMode, ProcessStatus};

const UNKNOWN_CLASS: &str = "unknown class";
/// An id may have so many bytes.
const MOST_ID: usize = 64;
/// A whole request has to come within this of its first byte, or of its connection where it is the first.
const WHOLE_WITHIN: Micros = 2_500_000;
/// The same where partners far away hand in.
const PARTNERS_WITHIN: Micros = 30_000_000;
/// A connection on which nothing came for so long between requests is closed.
const IDLE: Micros = 30_000_000;
/// Once half of the places are taken, after this.
const IDLE_IN_A_CROWD: Micros = 2_000_000;
/// Once all are taken, after this: its client may send again on a new connection, one that gets none may not.
const IDLE_WHEN_FULL: Micros = 50_000;
/// Then a connection on which nothing ever came is closed after this ...
const SILENT: Micros = 100_000;
/// ... and one whose request is not whole after this.
const SLOW: Micros = 500_000;
/// Where operators have the relay emptied, connections between requests are closed one after the other: the first
/// so long after the order, the last so much later.
const LEAVE_AFTER: Micros = 300_000;
const LEAVE_OVER: Micros = 1_500_000;
/// One that came since then has so long for its first request.
const LEAVE_NEW: Micros = 1_000_000;
/// While there is no place, it is looked for one so often.
const LOOK_AGAIN: Micros = 10_000;
/// Shortest time between two log lines about connections that cannot be accepted, in microseconds.
const WARN_EVERY: Micros = 1_000_000;
/// An answer is written within this, or not at all.
const ANSWER_WITHIN: Micros = 1_000_000;
/// After the last answer what still comes is read for so long, and so many bytes of it.
const DRAIN_WITHIN: Micros = 1_000_000;
const MOST_DRAINED: usize = 4 * 1024 * 1024;

/// What the client's side knows of the site: names, as the settings have them.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Those of them whose messages need an idempotency key.
    pub keyed: Vec<String>,
    /// Tenants; empty at a site without.
    pub tenants: Vec<String>,
}

impl Vocabulary {
    /// The names of classes and tenants; the terms are those of the classes, in their order.
    pub fn new(classes: &[String], terms: &[Class], tenants: &[String]) -> Self {
        let keyed =
            classes.iter().zip(terms).filter(|(_, class)| matches!(class.effect, Effect::Keyed { .. }));
        Vocabulary {
            keyed: keyed.map(|(name, _)| name.clone()).collect(),
            classes: classes.to_vec(),
            tenants: tenants.to_vec(),
        }
    }
}

/// What is spoken on a listening socket.
pub enum Front {
    /// The platform's protocol.
    Platform(watch::Receiver<Vocabulary>),
    /// Another one, which its partners speak.
    Beside(Arc<dyn Protocol>),
}

/// What all connections of a socket share.
pub struct Inbound {
    /// The clock.
    pub clock: Clock,
    /// What is spoken here.
    pub front: Front,
    /// To the runtime.
    pub inputs: mpsc::Sender<Input>,
    /// Memory for bodies that are being read.
    pub budget: Arc<Budget>,
    /// Requests of which the first byte came and the last did not yet.
    pub reading: AtomicUsize,
    /// Requests that were read and not answered yet.
    pub busy: AtomicUsize,
    /// Connections that are open.
    pub guests: AtomicUsize,
    /// What the process is at: whether it is ready, and whether connections are to end.
    pub standing: Arc<ProcessStatus>,
}

/// What a connection is at.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing has come yet.
    New,
    /// A request is coming.
    Reading,
    /// A request waits for its answer.
    Open,
    /// The last request was answered.
    Between,
    /// The last answer was given; what still comes is of no use.
    Leaving,
}

struct Guest {
    stage: Stage,
    since: Micros,
    /// Asked to leave at this stage.
    asked: bool,
    leave: Arc<Notify>,
}

/// The places for connections of one listening socket.
struct Places {
    clock: Clock,
    most: Arc<AtomicUsize>,
    next: AtomicUsize,
    guests: Mutex<HashMap<usize, Guest>>,
    freed: Notify,
}

impl Places {
    fn guests(&self) -> MutexGuard<'_, HashMap<usize, Guest>> {
        self.guests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks those to leave who hold a place for nothing; tells whether one is free.
    fn look(&self) -> bool {
        let now = self.clock.now();
        let mut guests = self.guests();
        let taken = guests.len();
        let most = self.most.load(Ordering::Relaxed);
        let (crowded, full) = (taken > most / 2, taken >= most);
        for guest in guests.values_mut().filter(|guest| !guest.asked) {
            let stays = match guest.stage {
                Stage::Open => Micros::MAX,
                Stage::Between if full => IDLE_WHEN_FULL,
                Stage::Between if crowded => IDLE_IN_A_CROWD,
                Stage::New | Stage::Leaving if full => SILENT,
                Stage::Reading if full => SLOW,
                _ => Micros::MAX,
            };
            if now - guest.since >= stays {
                guest.asked = true;
                guest.leave.notify_one();
            }
        }
        !full
    }

    fn enter(self: &Arc<Self>) -> Place {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let leave = Arc::new(Notify::new());
        let guest = Guest { stage: Stage::New, since: self.clock.now(), asked: false, leave: leave.clone() };
        self.guests().insert(number, guest);
        Place { places: self.clone(), number, leave }
    }
}

/// A connection's place, free again once this is dropped.
struct Place {
    places: Arc<Places>,
    number: usize,
    leave: Arc<Notify>,
}

impl Place {
    fn at(&self, stage: Stage) {
        let now = self.places.clock.now();
        if let Some(guest) = self.places.guests().get_mut(&self.number) {
            (guest.stage, guest.since, guest.asked) = (stage, now, false);
        }
    }

    /// Notes why its connection is closed.
    fn closed(&self, reason: &str) {
        debug!(connection = self.number, reason, "closed");
    }

    /// Comes when this place is wanted for another.
    async fn wanted(&self) {
        loop {
            self.leave.notified().await;
            // One that was asked for at an earlier stage may stay.
            if self.places.guests().get(&self.number).is_some_and(|guest| guest.asked) {
                return;
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.guests().remove(&self.number);
        self.places.freed.notify_one();
    }
}

/// Accepts connections, at most `most` at a time, until the process ends or this is dropped; connections go on then.
pub async fn serve(listener: TcpListener, inbound: Arc<Inbound>, most: Arc<AtomicUsize>) {
    let clock = inbound.clock;
    let (next, guests, freed) = (AtomicUsize::new(0), Mutex::default(), Notify::new());
    let places = Arc::new(Places { clock, most, next, guests, freed });
    let mut warn_at = Micros::MIN;
    loop {
        while !places.look() {
            tokio::select! {
                () = places.freed.notified() => {}
                () = tokio::time::sleep_until(clock.instant(clock.now() + LOOK_AGAIN)) => {}
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (inbound, place) = (inbound.clone(), places.enter());
                tokio::spawn(async move {
                    inbound.guests.fetch_add(1, Ordering::Relaxed);
                    connection(stream, &inbound, &place).await;
                    inbound.guests.fetch_sub(1, Ordering::Relaxed);
                });
            }
            // The client has gone, or the call was interrupted: the next one may be there.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            // Guards against a spin while descriptors are short: the others go on.
            Err(error) => {
                if clock.now() >= warn_at {
                    warn_at = clock.now() + WARN_EVERY;
                    warn!("accept: {error}");
                }
                tokio::time::sleep_until(clock.instant(clock.now() + LOOK_AGAIN)).await;
            }
        }
    }
}

impl Inbound {
    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.guests.load(Ordering::Relaxed)
    }

    /// Requests that were read and have no answer yet.
    pub fn open(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Waits until every request that was read, or of which a part was, has its answer, or until `by`. It guards the
    /// answers against the end of the process.
    pub async fn answered(&self, by: Micros) {
        let open = || self.reading.load(Ordering::Relaxed) + self.busy.load(Ordering::Relaxed);
        while open() > 0 && self.clock.now() < by {
            tokio::time::sleep_until(self.clock.instant(self.clock.now() + 1000)).await;
        }
    }
}

async fn connection(stream: TcpStream, inbound: &Inbound, place: &Place) {
    let clock = inbound.clock;
    let _ = stream.set_nodelay(true);
    let (most, within) = match &inbound.front {
        Front::Beside(front) => (front.most_message(), PARTNERS_WITHIN),
        Front::Platform(_) => (MOST_BODY, WHOLE_WITHIN),
    };
    let mut framed = Framed::new(Stream::new(stream), Codec::server(most, inbound.budget.clone()));
    let mut leaving = inbound.standing.drain_mode();
    let accepted = clock.now();
    // Each has a moment of its own, so that clients do not all come to the others at once.
    let leaves_by = |leaving: DrainMode| match leaving {
        DrainMode::Since(at) => {
            let part = jitter::uniform(place.number as u64 ^ at.unsigned_abs());
            let by = at + LEAVE_AFTER + (part * LEAVE_OVER as f64) as Micros;
            if accepted < at { by } else { by.max(accepted + LEAVE_NEW) }
        }
        DrainMode::Off | DrainMode::Stop => Micros::MAX,
    };
    // The first request is owed something within a time that counts from the connection, later ones from their
    // first byte.
    let mut first_by = Some(clock.now() + within);
    let mut silent_until = clock.now() + within;
    loop {
        if framed.read_buffer().is_empty() {
            let mut byte = [0];
            let until = silent_until.min(leaves_by(*leaving.borrow_and_update()));
            let comes = tokio::select! {
                biased;
                peeked = framed.get_ref().peek(&mut byte) => matches!(peeked, Ok(1..)),
                () = place.wanted() => !quiet(framed.get_ref()),
                Ok(()) = leaving.changed() => continue,
                () = tokio::time::sleep_until(clock.instant(until)) => !quiet(framed.get_ref()),
            };
            if !comes {
                return place.closed("nothing more comes, or its place is wanted");
            }
        }
        place.at(Stage::Reading);
        let by = first_by.take().unwrap_or(clock.now() + within);
        inbound.reading.fetch_add(1, Ordering::Relaxed);
        let next = tokio::select! {
            biased;
            next = framed.next() => next,
            () = place.wanted() => None,
            () = tokio::time::sleep_until(clock.instant(by)) => Some(Err(HttpError::Late)),
        };
        inbound.reading.fetch_sub(1, Ordering::Relaxed);
        let (mut answer, taken) = match next {
            None => return place.closed("its client ended it, or its place is wanted"),
            Some(Err(HttpError::Io(error))) => return place.closed(&format!("read: {error}")),
            Some(Err(error)) => {
                place.closed(&format!("after an answer: {error}"));
                let status = match error {
                    HttpError::TooLarge(_) => 413,
                    HttpError::NoMemory => 503,
                    HttpError::Late => 408,
                    _ => 400,
                };
                return last(clock, framed, Message::response(status, error.to_string()), place).await;
            }
            // Guards against a length that is too short: what follows it was meant as part of the body.
            Some(Ok(_)) if !may_begin(framed.read_buffer()) => {
                let answer = Message::response(400, "malformed: bytes after the body");
                return last(clock, framed, answer, place).await;
            }
            Some(Ok(request)) => {
                place.at(Stage::Open);
                let keep_alive = request.keep_alive;
                inbound.busy.fetch_add(1, Ordering::Relaxed);
                let (mut answer, taken) = route(request, inbound).await;
                answer.keep_alive &= keep_alive;
                (answer, taken)
            }
        };
        answer.keep_alive &= *leaving.borrow_and_update() == DrainMode::Off;
        let until = clock.instant(clock.now() + ANSWER_WITHIN);
        let mut untouched = true;
        let sent = tokio::time::timeout_at(until, send_whole(&mut framed, &answer, &mut untouched)).await;
        inbound.busy.fetch_sub(1, Ordering::Relaxed);
        if !matches!(sent, Ok(Ok(()))) {
            match sent {
                Ok(Err(error)) => place.closed(&format!("the answer cannot be written: {error}")),
                _ => place.closed("the answer is not taken"),
            }
            // A client that got a part of the answer may have heard enough of it.
            if let Some(id) = taken.filter(|_| untouched) {
                let _ = inbound.inputs.send(Input::Withdrawn(id)).await;
            }
            return;
        }
        if !answer.keep_alive {
            place.closed("after the last answer");
            return drain(clock, framed.into_inner(), place).await;
        }
        place.at(Stage::Between);
        silent_until = clock.now() + IDLE;
    }
}

/// Sends an answer; `untouched` says whether no byte of it went out.
async fn send_whole(
    framed: &mut Framed<Stream, Codec>, answer: &Message, untouched: &mut bool,
) -> Result<(), HttpError> {
    framed.feed(answer).await?;
    let whole = framed.write_buffer().len();
    std::future::poll_fn(|context| {
        let flushed = framed.poll_flush_unpin(context);
        *untouched = framed.write_buffer().len() == whole;
        flushed
    })
    .await
}

/// Whether bytes after a request may be the next one: none, or a method.
fn may_begin(bytes: &[u8]) -> bool {
    let line = bytes.trim_ascii_start();
    let method = line.split(|byte| *byte == b' ').next().unwrap_or_default();
    method.len() <= 16 && method.iter().all(u8::is_ascii_uppercase)
}

/// The last answer of a connection whose other side may still be sending.
async fn last(clock: Clock, mut framed: Framed<Stream, Codec>, mut answer: Message, place: &Place) {
    answer.keep_alive = false;
    place.at(Stage::Leaving);
    let until = clock.instant(clock.now() + ANSWER_WITHIN);
    if matches!(tokio::time::timeout_at(until, framed.send(&answer)).await, Ok(Ok(()))) {
        drain(clock, framed.into_inner(), place).await;
    }
}

/// Ends a connection so that its last answer arrives: closed with bytes unread, it would be reset, and the answer
/// might be lost with it.
async fn drain(clock: Clock, mut stream: Stream, place: &Place) {
    place.at(Stage::Leaving);
    if stream.shutdown().await.is_err() {
        return;
    }
    let (mut bytes, mut left) = (vec![0; 16 * 1024], MOST_DRAINED);
    let until = clock.instant(clock.now() + DRAIN_WITHIN);
    loop {
        tokio::select! {
            read = stream.read(&mut bytes) => match read {
                Ok(n @ 1..) if n < left => left -= n,
                _ => return,
            },
            () = place.wanted() => return,
            () = tokio::time::sleep_until(until) => return,
        }
    }
}

/// The answer, and the id of the message that it says was taken on.
async fn route(request: Message, inbound: &Inbound) -> (Message, Option<String>) {
    let Start::Request(method, path) = &request.start else {
        return (Message::response(400, "no request"), None);
    };
    let path = path.split('?').next().unwrap_or_default();
    match (method.as_str(), path) {
        ("GET", "/health/live") => (Message::response(200, "live"), None),
        ("GET", "/health/ready") if inbound.standing.relay_ready() => (Message::response(200, "ready"), None),
        ("GET", "/health/ready") => (Message::response(503, inbound.standing.state_name()), None),
        ("POST", _) => match &inbound.front {
            Front::Platform(names) => {
                let read = read(&request, path, inbound.clock.now(), &names.borrow());
                match read {
                    Err((status, why)) => (Message::response(status, why.into_owned()), None),
                    Ok(exchange) => hand_in(exchange, inbound).await,
                }
            }
            Front::Beside(front) => (front.answer(&request).await, None),
        },
        _ => (Message::response(405, "POST hands in a message"), None),
    }
}

async fn hand_in(exchange: Exchange, inbound: &Inbound) -> (Message, Option<String>) {
    let id = exchange.id.clone();
    let (reply, answer) = oneshot::channel();
    if inbound.inputs.send(Input::Handed(Arc::new(exchange), None, reply)).await.is_err() {
        return (Message::response(503, "stopped"), None);
    }
    match answer.await {
        Ok(Answer::Taken) => (Message::response(202, ""), Some(id)),
        // Whoever hands in what is held already must not withdraw it by going away.
        Ok(Answer::TakenBefore) => (Message::response(202, ""), None),
        Ok(Answer::Refused(why, after)) => {
            debug!(message = id, why = &*why, after, "refused");
            let answer = Message::response(503, why.into_owned());
            let answer = match after {
                Some(after) => answer.with("Retry-After", format!("{:.3}", after as f64 / 1e6)),
                None => answer,
            };
            (answer, None)
        }
        Ok(Answer::Unknown) => (Message::response(404, UNKNOWN_CLASS), None),
        Ok(Answer::Failed(why)) => {
            debug!(message = id, why = &*why, "failed at once");
            (Message::response(500, why.into_owned()), None)
        }
        Err(_) => (Message::response(503, "stopped"), None),
    }
}

fn read(
    request: &Message, path: &str, now: Micros, names: &Vocabulary,
) -> Result<Exchange, (u16, Cow<'static, str>)> {
    let class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = names.classes.iter().find(|name| *name == class).ok_or((404, UNKNOWN_CLASS.into()))?.clone();
    let id = request.header("X-Correlation-Id").filter(|id| !id.is_empty() && id.len() <= MOST_ID);
    let id = id.ok_or((400, "X-Correlation-Id is missing, empty or too long".into()))?;
    let tenant = match request.header("X-Account") {
        Some(name) => Some(
            names
                .tenants
                .iter()
                .find(|known| *known == name)
                .ok_or((403, "unknown X-Account".into()))?
                .clone(),
        ),
        None if names.tenants.is_empty() => None,
        None => return Err((400, "X-Account is missing".into())),
    };
    let left = request.header("X-Time-Left").and_then(span);
    let left = left.ok_or((400, "X-Time-Left is not a number with m or u".into()))?;
    let idempotency_key = read_idempotency_key(request, names.keyed.contains(&class))?;
    let extras = request.header("X-Addressing").unwrap_or_default();
    let pairs = extras.split([',', ';', ' ']).filter_map(|pair| pair.split_once('='));
    let destination = pairs.filter(|(name, _)| *name == "dest").find_map(|(_, value)| value.parse().ok());
    let destination = destination.ok_or((400, "X-Addressing names no dest".into()))?;
    let due = now.saturating_add(left);
    let (id, body) = (id.to_string(), request.body.clone());
    Ok(Exchange { id, class, tenant, due, destination, idempotency_key, body })
}

/// The idempotency key of a request, in whichever class. A message of a keyed class needs one, as its destination could not
/// recognise its repeats without.
fn read_idempotency_key(
    request: &Message, needed: bool,
) -> Result<Option<IdempotencyKey>, (u16, Cow<'static, str>)> {
    let mut keys = request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(IDEMPOTENCY_KEY));
    let key = match (keys.next(), keys.next()) {
        (None, _) if needed => return Err((400, "Idempotency-Key is missing in a keyed class".into())),
        (None, _) => return Ok(None),
        (Some(_), Some(_)) => return Err((400, "Idempotency-Key is there twice".into())),
        (Some((_, key)), None) => key,
    };
    let key = key.parse().map_err(|why: IdempotencyKeyError| (400, why.to_string().into()))?;
    Ok(Some(key))
}

/// A number and a unit: `m` milliseconds, `u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.trim().parse().ok()?;
    // A day at the most: it guards the sums made with it.
    (number.is_finite() && number >= 0.0).then(|| (number * scale).min(86_400e6) as Micros)
}
