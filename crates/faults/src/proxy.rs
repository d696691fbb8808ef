//! A TCP proxy on loopback that delays, splits, stalls and resets what goes through it, by a seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// After the other side's connection has ended, one is reset this much later, so that nobody takes it for open still.
const RESET_AFTER: Duration = Duration::from_millis(5);

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
    let mut forth = Direction { trouble, rng, counts: counts.clone() };
    let mut back = Direction { trouble, rng: back_rng, counts: counts.clone() };
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

/// One direction of a connection.
struct Direction {
    trouble: Trouble,
    rng: SmallRng,
    counts: Arc<Counts>,
}

impl Direction {
    /// Passes bytes on until the connection ends; returns whether it is to be reset.
    async fn pass(&mut self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let bytes = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => return false,
                Ok(read) => &buffer[..read],
            };
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
