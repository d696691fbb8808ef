//! Classification of system call errors as transient or permanent.

use nix::errno::Errno;

/// Whether a retry after an error may succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The cause may disappear without intervention.
    Transient,
    /// An operator has to remove the cause.
    Permanent,
}

/// Classifies an error of a system call. Shortages of a resource, device failures and interrupted calls are transient.
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
