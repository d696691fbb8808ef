//! The intercepted calls. Each asks the plan and then fails, or passes on to the C library.
#![allow(clippy::missing_safety_doc)]

use std::ffi::{CStr, c_char, c_int, c_void};

use libc::{iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t};

use crate::plan::{Effect, Kind, kind, leave_error, opened, plan, take_error};

/// Defines a function that is the C library's, found once by name.
macro_rules! real {
    ($name:ident: fn($($type:ty),*) -> $result:ty) => {{
        static FOUND: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let name = concat!(stringify!($name), "\0");
        // The macro is used inside unsafe blocks too.
        #[allow(unused_unsafe)]
        // SAFETY: the name ends with a zero byte.
        let find = || unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) as usize };
        #[allow(unused_unsafe)]
        // SAFETY: the C library's function of this name has this type.
        let found = unsafe {
            std::mem::transmute::<usize, unsafe extern "C" fn($($type),*) -> $result>(*FOUND.get_or_init(find))
        };
        found
    }};
}

fn fail(error: c_int) -> c_int {
    // SAFETY: the location of this thread's error number is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The error with which a call that moves no bytes fails, if it does.
fn error_of(call: &str) -> Option<c_int> {
    match plan()?.fault(call)? {
        Effect::Error(error) | Effect::Torn(error) => Some(error),
        Effect::Short | Effect::Kill => None,
    }
}

fn path_error(call: &str, path: *const c_char) -> Option<c_int> {
    // SAFETY: callers pass a path that ends with a zero byte, as the C library wants it.
    let scoped = plan()?.in_scope(unsafe { CStr::from_ptr(path) });
    scoped.then(|| error_of(call)).flatten()
}

/// Intercepts `open64`, by which files of the scope are known.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let call = if flags & libc::O_CREAT == 0 { "open" } else { "create" };
    if let Some(error) = path_error(call, path) {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    let descriptor = unsafe { real!(open64: fn(*const c_char, c_int, mode_t) -> c_int)(path, flags, mode) };
    // SAFETY: as above, the path ends with a zero byte.
    let scoped = plan().is_some_and(|plan| plan.in_scope(unsafe { CStr::from_ptr(path) }));
    opened(descriptor, if scoped { Kind::File } else { Kind::Other });
    descriptor
}

/// Intercepts `mkdir`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn mkdir(path: *const c_char, mode: mode_t) -> c_int {
    match path_error("mkdir", path) {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real!(mkdir: fn(*const c_char, mode_t) -> c_int)(path, mode) },
    }
}

/// Intercepts `unlink`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    match path_error("unlink", path) {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real!(unlink: fn(*const c_char) -> c_int)(path) },
    }
}

/// Intercepts `rename`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    match path_error("rename", to) {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real!(rename: fn(*const c_char, *const c_char) -> c_int)(from, to) },
    }
}

/// Intercepts `ftruncate64`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    if kind(descriptor) == Kind::File
        && let Some(error) = error_of("truncate")
    {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real!(ftruncate64: fn(c_int, off64_t) -> c_int)(descriptor, length) }
}

/// Intercepts `fsync`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if kind(descriptor) == Kind::File
        && let Some(error) = error_of("sync")
    {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real!(fsync: fn(c_int) -> c_int)(descriptor) }
}

/// Intercepts `fdatasync`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if kind(descriptor) == Kind::File
        && let Some(error) = error_of("sync")
    {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real!(fdatasync: fn(c_int) -> c_int)(descriptor) }
}

/// Intercepts `flock`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    if kind(descriptor) == Kind::File
        && let Some(error) = error_of("lock")
    {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real!(flock: fn(c_int, c_int) -> c_int)(descriptor, operation) }
}

/// Makes a call that moves bytes, with the fault that the plan has for it; `make` moves that many.
fn moved(
    descriptor: c_int, file: &str, socket: &str, bytes: size_t, make: impl Fn(size_t) -> ssize_t,
) -> ssize_t {
    let call = match kind(descriptor) {
        Kind::Other => return make(bytes),
        Kind::File => file,
        Kind::Socket => socket,
        Kind::Log => "log",
    };
    if let Some(error) = take_error(descriptor) {
        return fail(error) as ssize_t;
    }
    let half = (bytes / 2).max(bytes.min(1));
    match plan().and_then(|plan| plan.fault(call)) {
        None => make(bytes),
        Some(Effect::Error(error)) => fail(error) as ssize_t,
        Some(Effect::Short) => make(half),
        Some(Effect::Torn(error)) => {
            leave_error(descriptor, error);
            make(half)
        }
        Some(Effect::Kill) => {
            make(half);
            // SAFETY: the process signals itself.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
            loop {
                std::hint::spin_loop();
            }
        }
    }
}

/// Intercepts `write`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, bytes: size_t) -> ssize_t {
    let real = real!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a smaller count at the most.
    moved(descriptor, "write", "send", bytes, |bytes| unsafe { real(descriptor, from, bytes) })
}

/// Intercepts `writev`; a short write moves the first buffer's half.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(descriptor: c_int, from: *const iovec, count: c_int) -> ssize_t {
    let real = real!(writev: fn(c_int, *const iovec, c_int) -> ssize_t);
    let write = real!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    if count < 1 {
        // SAFETY: the arguments are the caller's.
        return unsafe { real(descriptor, from, count) };
    }
    // SAFETY: there is at least one buffer.
    let (first, bytes) = unsafe { ((*from).iov_base, (*from).iov_len) };
    let make = |wanted: size_t| {
        if wanted == bytes {
            // SAFETY: the arguments are the caller's.
            unsafe { real(descriptor, from, count) }
        } else {
            // SAFETY: a part of the caller's first buffer.
            unsafe { write(descriptor, first, wanted) }
        }
    };
    moved(descriptor, "write", "send", bytes, make)
}

/// Intercepts `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int, from: *const c_void, bytes: size_t, flags: c_int,
) -> ssize_t {
    let real = real!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a smaller count at the most.
    moved(descriptor, "write", "send", bytes, |bytes| unsafe { real(descriptor, from, bytes, flags) })
}

/// Intercepts `sendto`; a datagram is never cut.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendto(
    descriptor: c_int, from: *const c_void, bytes: size_t, flags: c_int, to: *const sockaddr,
    length: socklen_t,
) -> ssize_t {
    if let Some(error) = error_of("sendto") {
        return fail(error) as ssize_t;
    }
    let real = real!(sendto: fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t);
    // SAFETY: the arguments are the caller's.
    unsafe { real(descriptor, from, bytes, flags, to, length) }
}

/// Intercepts `recvfrom`; a datagram is never cut.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvfrom(
    descriptor: c_int, to: *mut c_void, bytes: size_t, flags: c_int, from: *mut sockaddr,
    length: *mut socklen_t,
) -> ssize_t {
    if let Some(error) = error_of("recvfrom") {
        return fail(error) as ssize_t;
    }
    let real =
        real!(recvfrom: fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t);
    // SAFETY: the arguments are the caller's.
    unsafe { real(descriptor, to, bytes, flags, from, length) }
}

/// Intercepts `read`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, to: *mut c_void, bytes: size_t) -> ssize_t {
    let real = real!(read: fn(c_int, *mut c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a smaller count at the most.
    moved(descriptor, "read", "recv", bytes, |bytes| unsafe { real(descriptor, to, bytes) })
}

/// Intercepts `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(descriptor: c_int, to: *mut c_void, bytes: size_t, flags: c_int) -> ssize_t {
    let real = real!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a smaller count at the most.
    moved(descriptor, "read", "recv", bytes, |bytes| unsafe { real(descriptor, to, bytes, flags) })
}

/// Intercepts `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = error_of("socket") {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    let descriptor = unsafe { real!(socket: fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol) };
    opened(descriptor, Kind::Socket);
    descriptor
}

/// Intercepts `socketpair`, on which nothing else fails.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if let Some(error) = error_of("socket") {
        return fail(error);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { real!(socketpair: fn(c_int, c_int, c_int, *mut c_int) -> c_int)(domain, kind, protocol, pair) }
}

/// Intercepts `epoll_create1`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    match error_of("epoll_create") {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real!(epoll_create1: fn(c_int) -> c_int)(flags) },
    }
}

/// Intercepts `bind`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match error_of("bind") {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe {
            real!(bind: fn(c_int, *const sockaddr, socklen_t) -> c_int)(descriptor, address, length)
        },
    }
}

/// Intercepts `listen`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn listen(descriptor: c_int, backlog: c_int) -> c_int {
    match error_of("listen") {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe { real!(listen: fn(c_int, c_int) -> c_int)(descriptor, backlog) },
    }
}

/// Intercepts `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    if let Some(error) = error_of("accept") {
        return fail(error);
    }
    let real = real!(accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    let accepted = unsafe { real(descriptor, address, length, flags) };
    opened(accepted, Kind::Socket);
    accepted
}

/// Intercepts `connect`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match error_of("connect") {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe {
            real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int)(descriptor, address, length)
        },
    }
}

/// Intercepts `epoll_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int, events: *mut libc::epoll_event, most: c_int, timeout: c_int,
) -> c_int {
    match error_of("wait") {
        Some(error) => fail(error),
        // SAFETY: the arguments are the caller's.
        None => unsafe {
            real!(epoll_wait: fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int)(
                descriptor, events, most, timeout,
            )
        },
    }
}

/// Intercepts `clock_gettime`: the wall clock is stepped as the plan says.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    const NANOS: i64 = 1_000_000_000;
    // SAFETY: the arguments are the caller's.
    let result =
        unsafe { real!(clock_gettime: fn(libc::clockid_t, *mut libc::timespec) -> c_int)(clock, time) };
    if clock == libc::CLOCK_REALTIME
        && result == 0
        && let Some(offset_us) = plan().map(crate::plan::Plan::wall_offset_us).filter(|offset| *offset != 0)
    {
        // SAFETY: the call succeeded, so that `time` is valid.
        let time = unsafe { &mut *time };
        let nanos = time.tv_sec * NANOS + time.tv_nsec + offset_us * 1_000;
        time.tv_sec = nanos.div_euclid(NANOS);
        time.tv_nsec = nanos.rem_euclid(NANOS);
    }
    result
}
