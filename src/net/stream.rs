//! A stream socket that survives interrupted system calls and temporary shortages of memory.
//!
//! A short read or write does not mean that the socket is not ready: readiness is cleared only when a call would block. The errors
//! that Linux documents for a connection are listed in `docs/faults.md`.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use nix::errno::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::Sleep;

/// Pause after a system call that failed for lack of memory.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// A stream socket of the event loop.
pub trait Socket: AsyncWrite + Unpin {
    /// Waits until a read may succeed.
    fn readable(&self, context: &mut Context<'_>) -> Poll<Result<()>>;
    /// Reads once, without waiting.
    fn read_once(&self, buffer: &mut ReadBuf<'_>) -> Result<usize>;
    /// Waits until a write may succeed.
    fn writable(&self, context: &mut Context<'_>) -> Poll<Result<()>>;
    /// Writes once, without waiting.
    fn write_once(&self, bytes: &[u8]) -> Result<usize>;
}

macro_rules! socket {
    ($type:ty) => {
        impl Socket for $type {
            fn readable(&self, context: &mut Context<'_>) -> Poll<Result<()>> {
                self.poll_read_ready(context)
            }

            fn read_once(&self, buffer: &mut ReadBuf<'_>) -> Result<usize> {
                self.try_read_buf(buffer)
            }

            fn writable(&self, context: &mut Context<'_>) -> Poll<Result<()>> {
                self.poll_write_ready(context)
            }

            fn write_once(&self, bytes: &[u8]) -> Result<usize> {
                self.try_write(bytes)
            }
        }
    };
}

socket!(TcpStream);
socket!(UnixStream);

/// A stream socket that repeats system calls after recoverable errors.
#[derive(Debug)]
pub struct Stream<S = TcpStream> {
    socket: S,
    /// The end of a pause after a shortage of memory.
    pause: Option<Pin<Box<Sleep>>>,
}

/// How to proceed after an error of a system call.
enum Remedy {
    /// Repeat the call, at once or when the socket is ready.
    Retry,
    /// Repeat the call after a pause.
    Pause,
    /// Give up: the connection has ended.
    GiveUp,
}

fn remedy(error: &Error) -> Remedy {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::Interrupted => Remedy::Retry,
        _ => match error.raw_os_error().map(Errno::from_raw) {
            Some(Errno::ENOBUFS | Errno::ENOMEM) => Remedy::Pause,
            _ => Remedy::GiveUp,
        },
    }
}

impl<S> Stream<S> {
    /// Wraps a connected socket.
    pub fn new(socket: S) -> Self {
        Stream { socket, pause: None }
    }

    /// Returns the socket.
    pub fn socket(&self) -> &S {
        &self.socket
    }

    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Repeats a system call until it succeeds or the connection has ended.
    fn poll_call<T>(
        &mut self, context: &mut Context<'_>, ready: impl Fn(&S, &mut Context<'_>) -> Poll<Result<()>>,
        mut call: impl FnMut(&S) -> Result<T>,
    ) -> Poll<Result<T>> {
        loop {
            ready!(self.poll_pause(context));
            ready!(ready(&self.socket, context))?;
            let error = match call(&self.socket) {
                Ok(done) => return Poll::Ready(Ok(done)),
                Err(error) => error,
            };
            match remedy(&error) {
                Remedy::Retry => {}
                Remedy::Pause => self.pause = Some(Box::pin(tokio::time::sleep(SHORTAGE_PAUSE))),
                Remedy::GiveUp => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Stream<TcpStream> {
    /// Waits for the next bytes without consuming them.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn peek(&self, buffer: &mut [u8]) -> Result<usize> {
        loop {
            match self.socket.peek(buffer).await {
                Err(error) => match remedy(&error) {
                    Remedy::Retry => {}
                    Remedy::Pause => tokio::time::sleep(SHORTAGE_PAUSE).await,
                    Remedy::GiveUp => return Err(error),
                },
                peeked => return peeked,
            }
        }
    }
}

impl<S: Socket> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.get_mut().poll_call(context, S::readable, |socket| socket.read_once(buffer).map(drop))
    }
}

impl<S: Socket> AsyncWrite for Stream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.get_mut().poll_call(context, S::writable, |socket| socket.write_once(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(context)
    }
}

/// Returns whether a connect error has a local cause, which says nothing about the peer: a shortage of descriptors, ports or memory,
/// no network, or an interrupted call.
pub fn failed_locally(error: &Error) -> bool {
    let Some(code) = error.raw_os_error() else { return error.kind() == ErrorKind::Interrupted };
    matches!(
        Errno::from_raw(code),
        Errno::EINTR
            | Errno::EAGAIN
            | Errno::ENFILE
            | Errno::EMFILE
            | Errno::ENOBUFS
            | Errno::ENOMEM
            | Errno::EADDRNOTAVAIL
            | Errno::EADDRINUSE
            | Errno::ENETDOWN
            | Errno::ENETUNREACH
    )
}
