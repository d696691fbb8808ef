//! The names and numbers of the errors that a scenario may name, as Linux has them.

/// Names and numbers, in the order of numbers.
const ERRORS: [(&str, i32); 24] = [
    ("EINTR", 4),
    ("EIO", 5),
    ("EAGAIN", 11),
    ("ENOMEM", 12),
    ("EACCES", 13),
    ("EBUSY", 16),
    ("ENFILE", 23),
    ("EMFILE", 24),
    ("ENOSPC", 28),
    ("EROFS", 30),
    ("EPIPE", 32),
    ("ENOLCK", 37),
    ("EPROTO", 71),
    ("EADDRINUSE", 98),
    ("EADDRNOTAVAIL", 99),
    ("ENETDOWN", 100),
    ("ENETUNREACH", 101),
    ("ECONNABORTED", 103),
    ("ECONNRESET", 104),
    ("ENOBUFS", 105),
    ("ETIMEDOUT", 110),
    ("ECONNREFUSED", 111),
    ("EHOSTUNREACH", 113),
    ("EDQUOT", 122),
];

/// The number of an error; none where the name is unknown.
pub(crate) fn number(name: &str) -> Option<i32> {
    ERRORS.iter().find(|(known, _)| *known == name).map(|(_, number)| *number)
}
