//! The control socket of a relay: an operator sends one line and receives one line of JSON.

use std::io::ErrorKind;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

/// Time limit for receiving an operator's line.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of an operator's line.
const MAX_LINE_BYTES: u64 = 4096;
/// Maximum number of commands that wait to be handled.
pub(super) const MAX_PENDING_COMMANDS: usize = 8;

/// An operator's line, and the channel for the answer.
pub(super) type Command = (String, oneshot::Sender<Value>);

/// Opens the socket, in place of one that an earlier process left behind.
pub(super) fn listen(path: &Path) -> std::io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(path)
}

/// Accepts the next connection. Never returns without a socket.
pub(super) async fn accept(control: Option<&UnixListener>) -> std::io::Result<UnixStream> {
    match control {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

/// Reads one line from a connection, and writes the answer.
pub(super) async fn serve(mut stream: UnixStream, commands: mpsc::Sender<Command>) {
    let (reader, mut write) = stream.split();
    let mut line = String::new();
    let mut reader = BufReader::new(reader.take(MAX_LINE_BYTES));
    let read_result = tokio::time::timeout(LINE_TIMEOUT, reader.read_line(&mut line)).await;
    let (answer, answered) = oneshot::channel();
    if matches!(read_result, Ok(Ok(_)))
        && commands.send((line, answer)).await.is_ok()
        && let Ok(answer) = answered.await
    {
        let _ = write.write_all(format!("{answer}\n").as_bytes()).await;
    }
}
