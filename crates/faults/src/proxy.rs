//! A TCP proxy on loopback that delays, splits, stalls and resets what goes through it, and adds to what servers answer, by a
//! seed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// After the other side's connection has ended, one is reset this much later, so that nobody takes it for open still.
const RESET_AFTER: Duration = Duration::from_millis(5);

/// What a proxy adds to what a server wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unasked {
    /// The same bytes again.
    Copy,
    /// The first of the same bytes.
    Part,
    /// A whole HTTP answer of another status.
    Answer,
}

/// How often, and how late, a proxy adds something to what a server wrote.
#[derive(Clone, Copy, Debug)]
pub struct Surplus {
    /// What it adds.
    pub what: Unasked,
    /// The probability, each time that bytes come.
    pub probability: f64,
    /// The shortest and the longest time after these bytes.
    pub late: [Duration; 2],
}

/// The statuses of answers that are added.
const STATUSES: [u16; 3] = [200, 503, 500];

impl Surplus {
    /// What is added to these bytes.
    fn bytes(&self, bytes: &[u8], rng: &mut SmallRng) -> Vec<u8> {
        match self.what {
            Unasked::Copy => bytes.to_vec(),
            Unasked::Part => bytes[..rng.random_range(1..=bytes.len())].to_vec(),
            Unasked::Answer => {
                let status = STATUSES[rng.random_range(0..STATUSES.len())];
                format!("HTTP/1.1 {status} Unasked\r\nContent-Length: 0\r\n\r\n").into_bytes()
            }
        }
    }
}

/// What becomes of an answer that does not simply pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// All of it passes, then the connection is closed, or reset.
    After { reset: bool },
    /// A part of it passes, then the connection is closed, or reset.
    Cut { reset: bool },
    /// A part of it passes, and the rest later.
    Stalled,
}

/// How often an answer breaks off, stalls, or is the last on its connection.
#[derive(Clone, Copy, Debug)]
pub struct Endings {
    /// The probability, for each answer.
    pub probability: f64,
    /// The longest time after what passed, until the rest or the end comes.
    pub late: Duration,
}

impl Endings {
    fn draw(&self, rng: &mut SmallRng) -> Option<(Ending, Duration)> {
        if !rng.random_bool(self.probability) {
            return None;
        }
        let reset = rng.random();
        let ending = match rng.random_range(0..3) {
            0 => Ending::After { reset },
            1 => Ending::Cut { reset },
            _ => Ending::Stalled,
        };
        // At once as often as later.
        let late = if rng.random() { Duration::ZERO } else { self.late.mul_f64(rng.random()) };
        Some((ending, late))
    }
}

/// An answer whose whole first line has passed a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passed {
    /// The `X-Correlation-Id` of its request.
    pub id: String,
    /// Its status.
    pub status: u16,
    /// When the first line had been written.
    pub at: Instant,
}

/// How often a proxy does what; each a probability.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// A connection is reset, each time that bytes come.
    pub reset: f64,
    /// Bytes are passed on in two parts with a pause between.
    pub split: f64,
    /// Bytes are held back for `stall`.
    pub stall: f64,
    /// The longest pause of a split, and the length of a stall.
    pub pause: Duration,
    /// What is added to what servers write.
    pub surplus: Option<Surplus>,
    /// How answers end before their time.
    pub endings: Option<Endings>,
}

/// What a proxy did.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections that were reset.
    pub resets: AtomicU64,
    /// Times that bytes were split.
    pub splits: AtomicU64,
    /// Times that bytes were held back.
    pub stalls: AtomicU64,
    /// Times that bytes were added.
    pub added: AtomicU64,
    /// Answers that broke off, stalled, or were the last on their connection.
    pub ended: AtomicU64,
    /// Answers to requests with an `X-Correlation-Id`, whose first line has passed.
    pub passed: Mutex<Vec<Passed>>,
}

/// What may be drawn of a proxy when bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Pass,
    Reset,
    Split,
    Stall,
}

/// The header that names a message.
const ID: &str = "x-correlation-id: ";

/// The `X-Correlation-Id` of a request that begins with these bytes.
fn request_id(bytes: &[u8]) -> Option<String> {
    let head = String::from_utf8_lossy(bytes);
    let mut lines = head.lines();
    lines.find_map(|line| {
        line.get(..ID.len())
            .filter(|name| name.eq_ignore_ascii_case(ID))
            .map(|_| line[ID.len()..].to_string())
    })
}

/// The status of the answer that begins with these bytes, and the length of its first line.
fn first_line(bytes: &[u8]) -> Option<(u16, usize)> {
    let length = bytes.iter().position(|byte| *byte == b'\n')? + 1;
    let line = std::str::from_utf8(bytes.strip_prefix(b"HTTP/1.")?.get(2..5)?).ok()?;
    Some((line.parse().ok()?, length))
}

impl Trouble {
    fn draw(&self, rng: &mut SmallRng) -> Fate {
        match () {
            () if rng.random_bool(self.reset) => Fate::Reset,
            () if rng.random_bool(self.split) => Fate::Split,
            () if rng.random_bool(self.stall) => Fate::Stall,
            () => Fate::Pass,
        }
    }
}

/// Passes connections on until the runtime ends.
///
/// # Errors
/// Where the address is not to be had.
pub async fn start(
    listen: SocketAddr, to: SocketAddr, trouble: Trouble, seed: u64,
) -> std::io::Result<Arc<Counts>> {
    let listener = TcpListener::bind(listen).await?;
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((client, _)) = listener.accept().await else { continue };
            let rng = SmallRng::seed_from_u64(seed ^ number);
            tokio::spawn(connection(client, to, trouble, rng, shared.clone()));
        }
    });
    Ok(counts)
}

async fn connection(
    client: TcpStream, to: SocketAddr, trouble: Trouble, mut rng: SmallRng, counts: Arc<Counts>,
) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let back_rng = SmallRng::seed_from_u64(rng.random());
    let ((mut client_read, client_write), (mut server_read, server_write)) =
        (client.into_split(), server.into_split());
    let forth_trouble = Trouble { surplus: None, endings: None, ..trouble };
    let id = Arc::new(Mutex::new(None));
    let mut forth =
        Direction { trouble: forth_trouble, rng, counts: counts.clone(), added: Vec::new(), id: id.clone() };
    let mut back = Direction { trouble, rng: back_rng, counts: counts.clone(), added: Vec::new(), id };
    let (mut to_server, mut to_client) = (server_write, client_write);
    // The first direction that ends, ends both: the other side hears of it at once.
    let reset = tokio::select! {
        reset = forth.pass(&mut client_read, &mut to_server) => reset,
        reset = back.pass(&mut server_read, &mut to_client) => reset,
    };
    drop((to_server, server_read));
    if reset {
        counts.resets.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(RESET_AFTER).await;
        if let Ok(client) = client_read.reunite(to_client) {
            let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Comes with the bytes that are to be added next, once it is time.
async fn next_added(added: &mut Vec<(Instant, Vec<u8>)>) -> Vec<u8> {
    let Some(at) = added.iter().map(|(at, _)| *at).min() else { return std::future::pending().await };
    tokio::time::sleep_until(at).await;
    let next = added.iter().position(|(due, _)| *due == at).unwrap_or_default();
    added.remove(next).1
}

/// One direction of a connection.
struct Direction {
    trouble: Trouble,
    rng: SmallRng,
    counts: Arc<Counts>,
    /// What is still to be added, and when.
    added: Vec<(Instant, Vec<u8>)>,
    /// The request that is out.
    id: Arc<Mutex<Option<String>>>,
}

impl Direction {
    /// Draws whether something is to be added to these bytes.
    fn draw_surplus(&mut self, bytes: &[u8]) {
        let Some(surplus) = self.trouble.surplus else { return };
        if self.rng.random_bool(surplus.probability) {
            let [least, most] = surplus.late;
            let late = least + (most - least).mul_f64(self.rng.random());
            let bytes = surplus.bytes(bytes, &mut self.rng);
            self.added.push((Instant::now() + late, bytes));
        }
    }

    fn id(&self) -> MutexGuard<'_, Option<String>> {
        self.id.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the request that is out, or the answer of which so many bytes have passed.
    fn note(&self, bytes: &[u8], passed: usize) {
        if let Some(id) = request_id(bytes) {
            *self.id() = Some(id);
        } else if let Some((status, length)) = first_line(bytes)
            && passed >= length
            && let Some(id) = self.id().take()
        {
            let passed = Passed { id, status, at: Instant::now() };
            self.counts.passed.lock().unwrap_or_else(PoisonError::into_inner).push(passed);
        }
    }

    /// Passes an answer that ends before its time; whether the connection is to be reset, or goes on.
    async fn end(
        &mut self, bytes: &[u8], (ending, late): (Ending, Duration), to: &mut OwnedWriteHalf,
    ) -> Option<bool> {
        self.counts.ended.fetch_add(1, Ordering::Relaxed);
        let length = match ending {
            Ending::After { .. } => bytes.len(),
            Ending::Cut { .. } | Ending::Stalled => self.rng.random_range(1..=bytes.len()),
        };
        let (first, rest) = bytes.split_at(length);
        if to.write_all(first).await.is_err() {
            return Some(false);
        }
        self.note(bytes, length);
        tokio::time::sleep(late).await;
        match ending {
            Ending::After { reset } | Ending::Cut { reset } => Some(reset),
            Ending::Stalled if to.write_all(rest).await.is_err() => Some(false),
            Ending::Stalled => {
                self.note(bytes, bytes.len());
                None
            }
        }
    }

    /// Passes bytes on until the connection ends; returns whether it is to be reset.
    async fn pass(&mut self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                bytes = next_added(&mut self.added) => {
                    self.counts.added.fetch_add(1, Ordering::Relaxed);
                    if to.write_all(&bytes).await.is_err() {
                        return false;
                    }
                    continue;
                }
            };
            let bytes = match read {
                Ok(0) | Err(_) => return false,
                Ok(read) => &buffer[..read],
            };
            self.draw_surplus(bytes);
            if let Some(ending) = self.trouble.endings.and_then(|endings| endings.draw(&mut self.rng)) {
                let bytes = bytes.to_vec();
                match self.end(&bytes, ending, to).await {
                    Some(reset) => return reset,
                    None => continue,
                }
            }
            let (first, second) = match self.trouble.draw(&mut self.rng) {
                Fate::Reset => return true,
                Fate::Pass => (bytes, &[][..]),
                Fate::Split => {
                    self.counts.splits.fetch_add(1, Ordering::Relaxed);
                    bytes.split_at(self.rng.random_range(0..bytes.len()))
                }
                Fate::Stall => {
                    self.counts.stalls.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(self.trouble.pause).await;
                    (bytes, &[][..])
                }
            };
            // A request is noted before the answer to it can come.
            if request_id(bytes).is_some() {
                self.note(bytes, bytes.len());
            }
            if to.write_all(first).await.is_err() {
                return false;
            }
            if !second.is_empty() {
                self.note(bytes, first.len());
                tokio::time::sleep(self.trouble.pause.mul_f64(self.rng.random())).await;
                if to.write_all(second).await.is_err() {
                    return false;
                }
            }
            self.note(bytes, bytes.len());
        }
    }
}
