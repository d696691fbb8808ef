//! Connections between control machines: one that sends to each other machine, and those that the others opened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use consensus::NodeId;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::shell::frame::FrameKey;

/// Frames that wait for a connection; beyond that they are dropped, and the consensus sends anew what it needs.
const MAX_WAITING_FRAMES: usize = 256;
/// Bytes that wait for a connection, before one more frame is dropped. A snapshot of 56,000 destinations takes 3.4 MB.
const MAX_WAITING_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that are written at a time.
const CHUNK_BYTES: usize = 64 * 1024;
/// Connections that others may have open here.
const MAX_CONNECTIONS: usize = 64;
/// For how long a connection may take to open.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// For how long the other side may take nothing of a chunk.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// For how long the other side may say nothing.
const READ_PATIENCE: Duration = Duration::from_secs(60);
/// Between two attempts to connect.
const RETRY: Duration = Duration::from_millis(200);

/// A message that came from another control machine.
pub(crate) type Incoming = (NodeId, Vec<u8>);

/// Hands frames to the task that sends them to one other machine.
#[derive(Debug)]
pub(crate) struct Sender {
    frames: mpsc::Sender<Vec<u8>>,
    waiting_bytes: Arc<AtomicUsize>,
}

impl Sender {
    /// Starts the task.
    pub(crate) fn spawn(to: SocketAddr) -> Self {
        let (sender, frames) = mpsc::channel(MAX_WAITING_FRAMES);
        let waiting_bytes = Arc::new(AtomicUsize::new(0));
        tokio::spawn(send_all(to, Waiting { frames, bytes: waiting_bytes.clone() }));
        Sender { frames: sender, waiting_bytes }
    }

    /// Sends a frame, or drops it if too much waits.
    pub(crate) fn send(&self, frame: Vec<u8>) {
        let length = frame.len();
        let waiting = self.waiting_bytes.fetch_add(length, Ordering::Relaxed);
        if waiting >= MAX_WAITING_BYTES || self.frames.try_send(frame).is_err() {
            self.waiting_bytes.fetch_sub(length, Ordering::Relaxed);
        }
    }
}

/// The frames that wait, as their task sees them.
struct Waiting {
    frames: mpsc::Receiver<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
}

impl Waiting {
    async fn next(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.recv().await?;
        self.bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }

    fn drop_all(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        }
    }
}

async fn send_all(to: SocketAddr, mut waiting: Waiting) {
    while let Some(frame) = waiting.next().await {
        if let Err(error) = send_on_one_connection(to, frame, &mut waiting).await {
            tracing::debug!(%to, %error, "no connection to a control machine");
            sleep(RETRY).await;
            // What waited meanwhile is old; the consensus says it anew.
            waiting.drop_all();
        }
    }
}

async fn send_on_one_connection(
    to: SocketAddr, first: Vec<u8>, waiting: &mut Waiting,
) -> std::io::Result<()> {
    let mut connection = timeout(CONNECT_PATIENCE, TcpStream::connect(to)).await??;
    connection.set_nodelay(true)?;
    let mut next = Some(first);
    while let Some(frame) = next {
        for chunk in frame.chunks(CHUNK_BYTES) {
            timeout(WRITE_PATIENCE, connection.write_all(chunk)).await??;
        }
        next = waiting.next().await;
    }
    Ok(())
}

/// Takes connections of other machines, and hands on what they say.
pub(crate) async fn listen(
    listener: TcpListener, key: FrameKey, me: NodeId, incoming: mpsc::Sender<Incoming>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = listener.accept().await;
        match accepted {
            Ok((connection, from)) if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(receive_all(connection, from, key.clone(), me, incoming.clone()));
            }
            Ok((_, from)) => tracing::warn!(%from, "too many connections of control machines"),
            Err(error) => {
                tracing::warn!(%error, "a connection of a control machine was not taken");
                sleep(RETRY).await;
            }
        }
    }
}

async fn receive_all(
    mut connection: TcpStream, from: SocketAddr, key: FrameKey, me: NodeId, incoming: mpsc::Sender<Incoming>,
) {
    loop {
        match timeout(READ_PATIENCE, key.read(me, &mut connection)).await {
            Ok(Ok(message)) => {
                if incoming.send(message).await.is_err() {
                    return;
                }
            }
            Ok(Err(error)) => return tracing::debug!(%from, %error, "a connection ends"),
            Err(_) => return tracing::debug!(%from, "a connection was silent for too long"),
        }
    }
}
