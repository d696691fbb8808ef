//! A TCP proxy on loopback that delays, splits, stalls and resets what goes through it, and adds to what servers answer, by a
//! seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
}

/// What may be drawn of a proxy when bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Pass,
    Reset,
    Split,
    Stall,
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
    let forth_trouble = Trouble { surplus: None, ..trouble };
    let mut forth = Direction { trouble: forth_trouble, rng, counts: counts.clone(), added: Vec::new() };
    let mut back = Direction { trouble, rng: back_rng, counts: counts.clone(), added: Vec::new() };
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
            if to.write_all(first).await.is_err() {
                return false;
            }
            if !second.is_empty() {
                tokio::time::sleep(self.trouble.pause.mul_f64(self.rng.random())).await;
                if to.write_all(second).await.is_err() {
                    return false;
                }
            }
        }
    }
}
