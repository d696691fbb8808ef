//! Clients: they hand messages in over kept connections, one at a time on each, and note every answer. Owns the
//! book of what was taken on, and the times of the answers, counted from when a message was to be sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// An answer that has not come by then is none.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

/// What clients noted.
#[derive(Debug)]
pub struct Book {
    /// Taken on: whether the class must not take effect twice, by id.
    pub taken: Mutex<HashMap<String, bool>>,
    /// Sent, whatever came back: the same of it.
    pub sent: Mutex<HashMap<String, bool>>,
    /// Messages taken on.
    pub count: AtomicU64,
    /// Refused, or not answered.
    pub refused: AtomicU64,
    /// From sending to the answer, in microseconds.
    pub times: Mutex<Histogram<u64>>,
    over: AtomicBool,
    numbers: AtomicU64,
}

impl Book {
    /// An empty book.
    ///
    /// # Errors
    /// Where no histogram can be made.
    pub fn new() -> Result<Arc<Self>, crate::Failure> {
        Ok(Arc::new(Book {
            taken: Mutex::default(),
            sent: Mutex::default(),
            count: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            times: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3)?),
            over: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
        }))
    }

    /// No client begins another message.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    fn note(&self, id: String, once: bool, took: Duration) {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner).insert(id, once);
        self.count.fetch_add(1, Ordering::Relaxed);
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let _ = self.times.lock().unwrap_or_else(PoisonError::into_inner).record(took.max(1));
    }
}

/// How a client goes about it.
#[derive(Clone, Copy, Debug)]
pub struct Habit {
    /// For what is drawn.
    pub seed: u64,
    /// Destinations, numbered from 1.
    pub destinations: u64,
    /// It pauses up to so long after each message; not at all where zero.
    pub pause: Duration,
    /// So many messages; without end where `None`.
    pub messages: Option<u64>,
}

/// One client, until the book is closed or its messages are through.
pub async fn client(mut address: watch::Receiver<Option<SocketAddr>>, book: Arc<Book>, habit: Habit) {
    let mut rng = SmallRng::seed_from_u64(habit.seed);
    let mut connection: Option<(SocketAddr, TcpStream)> = None;
    let mut left = habit.messages.unwrap_or(u64::MAX);
    while left > 0 && !book.over.load(Ordering::Relaxed) {
        let Some(at) = *address.borrow_and_update() else {
            connection = None;
            let _ = tokio::time::timeout(Duration::from_millis(100), address.changed()).await;
            continue;
        };
        let mut stream = match connection.take() {
            Some((to, stream)) if to == at => stream,
            _ => match TcpStream::connect(at).await {
                Ok(stream) => stream,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let id = format!("{:x}-{}", habit.seed, book.numbers.fetch_add(1, Ordering::Relaxed));
        let once = rng.random_bool(0.42);
        let class = if once { "paid-extra" } else { "status-update" };
        let destination = rng.random_range(1..=habit.destinations);
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: {id}\r\nX-Account: desk\r\n\
             X-Time-Left: 60000m\r\nX-Addressing: dest={destination}\r\nContent-Length: 200\r\n\r\n{:0200}",
            rng.random_range(0..1_000_000)
        );
        book.sent.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone(), once);
        let since = Instant::now();
        left -= 1;
        match tokio::time::timeout(ANSWER_WITHIN, ask(&mut stream, request.as_bytes())).await {
            Ok(Some(202)) => {
                book.note(id, once, since.elapsed());
                connection = Some((at, stream));
            }
            Ok(Some(_)) => {
                book.refused.fetch_add(1, Ordering::Relaxed);
                connection = Some((at, stream));
                tokio::time::sleep(Duration::from_millis(2)).await;
                left += u64::from(habit.messages.is_some());
            }
            _ => {
                book.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        if !habit.pause.is_zero() {
            let most = u64::try_from(habit.pause.as_micros()).unwrap_or(u64::MAX);
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..=most))).await;
        }
    }
}

/// Sends a request and reads its answer: the status.
pub async fn ask(stream: &mut TcpStream, request: &[u8]) -> Option<u16> {
    stream.write_all(request).await.ok()?;
    let mut buffer = Vec::with_capacity(256);
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = std::str::from_utf8(&buffer[..end]).ok()?;
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let whole = end + 4 + length.unwrap_or(0);
            let status = head.split(' ').nth(1)?.parse().ok()?;
            while buffer.len() < whole {
                if stream.read_buf(&mut buffer).await.ok()? == 0 {
                    return None;
                }
            }
            return Some(status);
        }
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
}
