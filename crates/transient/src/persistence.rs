//! Whether an error of a system call may pass by itself.

use nix::errno::Errno;

/// Whether trying again may help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The cause may pass by itself.
    Transient,
    /// Somebody has to do something about it.
    Permanent,
}

/// Whether an error of a system call may pass by itself: the machine is short of something, a device fails, or a call was
/// interrupted.
pub fn persistence(error: &std::io::Error) -> Persistence {
    let Some(number) = error.raw_os_error() else { return Persistence::Permanent };
    match Errno::from_raw(number) {
        Errno::EINTR
        | Errno::EAGAIN
        | Errno::EIO
        | Errno::ENOMEM
        | Errno::EBUSY
        | Errno::ENFILE
        | Errno::EMFILE
        | Errno::ENOSPC
        | Errno::EDQUOT
        | Errno::ENOLCK
        | Errno::ENOBUFS
        | Errno::EADDRNOTAVAIL
        | Errno::EADDRINUSE
        | Errno::ENETDOWN
        | Errno::ENETUNREACH
        | Errno::ETIMEDOUT
        | Errno::ESTALE => Persistence::Transient,
        _ => Persistence::Permanent,
    }
}
