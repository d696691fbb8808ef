//! Connections between control machines: one that sends to each other machine, and those that the others opened.

use std::net::SocketAddr;
use std::time::Duration;

use consensus::NodeId;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::shell::frame::FrameKey;

/// Frames that wait for a connection; beyond that they are dropped, and the consensus sends anew what it needs.
const MAX_WAITING_FRAMES: usize = 256;
/// Connections that others may have open here.
const MAX_CONNECTIONS: usize = 64;
/// For how long a connection may take to open.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// For how long the other side may take nothing.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// For how long the other side may say nothing.
const READ_PATIENCE: Duration = Duration::from_secs(60);
/// Between two attempts to connect.
const RETRY: Duration = Duration::from_millis(200);

/// A message that came from another control machine.
pub(crate) type Incoming = (NodeId, Vec<u8>);

/// Starts to send to another machine what comes by the returned channel.
pub(crate) fn spawn_sender(to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_FRAMES);
    tokio::spawn(send_all(to, receiver));
    sender
}

async fn send_all(to: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = frames.recv().await {
        if let Err(error) = send_on_one_connection(to, frame, &mut frames).await {
            tracing::debug!(%to, %error, "no connection to a control machine");
            sleep(RETRY).await;
            // What waited meanwhile is old; the consensus says it anew.
            while frames.try_recv().is_ok() {}
        }
    }
}

async fn send_on_one_connection(
    to: SocketAddr, first: Vec<u8>, frames: &mut mpsc::Receiver<Vec<u8>>,
) -> std::io::Result<()> {
    let mut connection = timeout(CONNECT_PATIENCE, TcpStream::connect(to)).await??;
    connection.set_nodelay(true)?;
    let mut next = Some(first);
    while let Some(frame) = next {
        timeout(WRITE_PATIENCE, connection.write_all(&frame)).await??;
        next = frames.recv().await;
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
