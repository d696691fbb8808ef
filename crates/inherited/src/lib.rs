//! Adopts a listening socket that this process was started with, by the descriptor's number. Owns the one line of the
//! project that takes a bare number for a descriptor. It must never adopt what is no listening TCP socket, nor shut
//! one down: others may hold the same.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

use socket2::Socket;

/// The least number that a service manager passes.
const LEAST: RawFd = 3;

/// Why a descriptor was not adopted.
#[derive(Debug, thiserror::Error)]
pub enum NotAdopted {
    /// It is no number, or one of the standard streams.
    #[error("is {0:?}, expected a descriptor's number from {LEAST} on")]
    Number(String),
    /// Nothing is open there, or no socket.
    #[error("names descriptor {0}, which is no socket of this process")]
    NoSocket(RawFd),
    /// A socket that does not listen.
    #[error("names descriptor {0}, which does not listen")]
    Silent(RawFd),
    /// It listens elsewhere.
    #[error("names descriptor {fd}, which listens on {found}, expected {expected}")]
    Elsewhere {
        /// The descriptor.
        fd: RawFd,
        /// Where it listens.
        found: SocketAddr,
        /// Where it should.
        expected: SocketAddr,
    },
    /// One was adopted already.
    #[error("was adopted already")]
    Again,
    /// The system cannot tell.
    #[error("cannot be used: {0}")]
    Io(#[from] std::io::Error),
}

static ADOPTED: AtomicBool = AtomicBool::new(false);

/// Adopts the listening socket of that number, once in a process, which has to listen on `expected` (any port where
/// that is 0). It is closed in programs that this one would start, and does not block.
///
/// # Errors
/// Where it is no such socket; it stays open and untouched then.
pub fn listener(number: &str, expected: SocketAddr) -> Result<TcpListener, NotAdopted> {
    let fd = number.parse().ok().filter(|fd| *fd >= LEAST);
    let fd: RawFd = fd.ok_or_else(|| NotAdopted::Number(number.into()))?;
    // An owned descriptor must be open, which the system tells without one.
    let link = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if !link.is_ok_and(|link| link.to_string_lossy().starts_with("socket:")) {
        return Err(NotAdopted::NoSocket(fd));
    }
    if ADOPTED.swap(true, Ordering::SeqCst) {
        return Err(NotAdopted::Again);
    }
    // SAFETY: it is open, as was just seen; whoever started the process gave it to it by number, and no other part
    // of the program takes descriptors by number, nor this one twice.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let checked = check(&socket, fd, expected);
    if let Err(why) = checked {
        // Not ours to close.
        std::mem::forget(socket);
        return Err(why);
    }
    Ok(socket.into())
}

fn check(socket: &Socket, fd: RawFd, expected: SocketAddr) -> Result<(), NotAdopted> {
    if !socket.is_listener()? {
        return Err(NotAdopted::Silent(fd));
    }
    let found = socket.local_addr()?.as_socket().ok_or(NotAdopted::NoSocket(fd))?;
    let port = expected.port() == 0 || expected.port() == found.port();
    if !port || expected.ip() != found.ip() {
        return Err(NotAdopted::Elsewhere { fd, found, expected });
    }
    socket.set_cloexec(true)?;
    socket.set_nonblocking(true)?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::os::fd::{AsRawFd, IntoRawFd};

    use super::*;

    // One test: what is adopted counts for the process.
    #[test]
    fn only_a_socket_that_listens_where_it_should_is_adopted_and_only_once() {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        for text in ["", "x", "-1", "0", "2", "3.0", "99999999999999"] {
            assert!(matches!(listener(text, any), Err(NotAdopted::Number(_))), "{text:?}");
        }
        assert!(matches!(listener("4000", any), Err(NotAdopted::NoSocket(4000))));
        let file = std::fs::File::open("/dev/null").expect("a file");
        assert!(matches!(listener(&file.as_raw_fd().to_string(), any), Err(NotAdopted::NoSocket(_))));
        let good = TcpListener::bind(any).expect("a socket");
        let at = good.local_addr().expect("an address");
        // What is turned away stays open for its owner.
        let silent = std::net::UdpSocket::bind(any).expect("a socket");
        let why = listener(&silent.as_raw_fd().to_string(), any);
        assert!(matches!(why, Err(NotAdopted::Silent(_) | NotAdopted::Io(_))), "{why:?}");
        assert!(silent.local_addr().is_ok());
        ADOPTED.store(false, Ordering::SeqCst);
        let elsewhere = "127.0.0.1:9".parse().expect("an address");
        let why = listener(&good.as_raw_fd().to_string(), elsewhere);
        assert!(matches!(why, Err(NotAdopted::Elsewhere { .. })), "{why:?}");
        assert!(good.local_addr().is_ok());
        ADOPTED.store(false, Ordering::SeqCst);
        let fd = good.into_raw_fd().to_string();
        assert_eq!(listener(&fd, at).expect("adopted").local_addr().expect("an address"), at);
        let other = TcpListener::bind(any).expect("a socket");
        assert!(matches!(listener(&other.as_raw_fd().to_string(), any), Err(NotAdopted::Again)));
    }
}
