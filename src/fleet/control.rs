//! The control socket of a relay, on which an operator sends one line and gets one line of JSON.

use std::io::ErrorKind;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

/// An operator's line comes whole within this, and is no longer than that.
const LINE_WITHIN: Duration = Duration::from_secs(2);
const LONGEST_LINE: u64 = 4096;
/// Operators that wait for an answer at the most.
pub(super) const ASKED: usize = 8;

/// What an operator asks, and where the answer goes.
pub(super) type Asked = (String, oneshot::Sender<Value>);

/// Opens the socket. What an earlier process left there answers nobody.
pub(super) fn listen(path: &Path) -> std::io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    UnixListener::bind(path)
}

/// The next operator; never one where there is no socket.
pub(super) async fn accept(control: Option<&UnixListener>) -> std::io::Result<UnixStream> {
    match control {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

/// One line asks, one line answers.
pub(super) async fn serve(mut stream: UnixStream, ask: mpsc::Sender<Asked>) {
    let (read, mut write) = stream.split();
    let mut line = String::new();
    let mut read = BufReader::new(read.take(LONGEST_LINE));
    let whole = tokio::time::timeout(LINE_WITHIN, read.read_line(&mut line)).await;
    let (answer, answered) = oneshot::channel();
    if matches!(whole, Ok(Ok(_)))
        && ask.send((line, answer)).await.is_ok()
        && let Ok(answer) = answered.await
    {
        let _ = write.write_all(format!("{answer}\n").as_bytes()).await;
    }
}
