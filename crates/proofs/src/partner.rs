//! Partners: they take calls by the platform's protocol, note what took effect, and answer, or do not, as the
//! draw has it. Owns the book of effects, which is the truth that records are held against.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How often each message took effect.
#[derive(Clone, Debug, Default)]
pub struct Effects(Arc<Mutex<HashMap<String, u32>>>);

impl Effects {
    fn note(&self, id: &str) {
        let mut book = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *book.entry(id.to_string()).or_insert(0) += 1;
    }

    /// How often a message took effect.
    pub fn of(&self, id: &str) -> u32 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied().unwrap_or(0)
    }

    /// Ids of all that took effect.
    pub fn ids(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }
}

/// How a partner behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Every call takes effect and is answered 200 at once.
    Prompt,
    /// As the seed draws it: late, failing, refusing, breaking off and silent, with and without effect.
    Drawn(u64),
}

/// Starts a partner; it ends with the runtime.
///
/// # Errors
/// Where no socket is to be had.
pub async fn start(manner: Manner, effects: Effects) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut calls = 0;
        while let Ok((stream, _)) = listener.accept().await {
            calls += 1;
            let _ = stream.set_nodelay(true);
            let rng = match manner {
                Manner::Prompt => None,
                Manner::Drawn(seed) => Some(SmallRng::seed_from_u64(seed ^ (calls << 20))),
            };
            tokio::spawn(serve(stream, rng, effects.clone()));
        }
    });
    Ok(address)
}

/// Reads one request: its id.
pub async fn request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(buffer.get(..end)?).into_owned();
            let header = |name: &str| {
                let lines = head.lines().filter_map(|line| line.split_once(':'));
                lines
                    .into_iter()
                    .find(|(key, _)| key.eq_ignore_ascii_case(name))
                    .map(|(_, value)| value.trim())
            };
            let length: usize = header("Content-Length")?.parse().ok()?;
            if buffer.len() >= end + 4 + length {
                let id = header("X-Correlation-Id")?.to_string();
                buffer.drain(..end + 4 + length);
                return Some(id);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

async fn serve(mut stream: TcpStream, mut rng: Option<SmallRng>, effects: Effects) {
    let mut buffer = Vec::with_capacity(4096);
    while let Some(id) = request(&mut stream, &mut buffer).await {
        let (mut takes, mut answer) = (true, "200 OK\r\n");
        if let Some(rng) = &mut rng {
            // What is on its way takes effect whether its caller still lives or not.
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..15_000))).await;
            (takes, answer) = match rng.random_range(0..100) {
                0..70 => (true, "200 OK\r\n"),
                70..75 => (true, "500 Failed\r\n"),
                75..78 => (false, "500 Failed\r\n"),
                78..83 => (false, "503 Full\r\n"),
                83..88 => (false, "429 Full\r\nRetry-After: 0.05\r\n"),
                88..92 => (true, ""),
                92..96 => (false, ""),
                _ => (true, "silent"),
            };
        }
        if takes {
            effects.note(&id);
        }
        match answer {
            "" => return,
            "silent" => {
                // Until its caller gives up.
                while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {}
                return;
            }
            answer => {
                let answer = format!("HTTP/1.1 {answer}Content-Length: 0\r\n\r\n");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}
