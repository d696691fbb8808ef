//! The plan: which calls fail how, when and how often, and the decision about one call.

use std::cell::Cell;
use std::ffi::CStr;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI32, AtomicU8, AtomicU64, Ordering};

/// Descriptors whose kind is known; higher ones pass through.
const MAX_DESCRIPTORS: usize = 4096;
/// Probabilities are in parts of a million.
const MILLION: u64 = 1_000_000;
/// The environment variable that holds the plan.
const PLAN: &CStr = c"TULIPFALL_FAULT_PLAN";

/// What a descriptor leads to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Something that is left alone.
    Other,
    /// A file below the scope.
    File,
    /// A socket.
    Socket,
    /// The standard error stream, to which the log goes.
    Log,
}

/// How a call fails.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// With this error number, and nothing done.
    Error(i32),
    /// With half of the bytes.
    Short,
    /// With half of the bytes, and the next call on the descriptor with this error number.
    Torn(i32),
    /// With half of the bytes, and then the process is killed.
    Kill,
}

struct Fault {
    call: String,
    effect: Effect,
    per_million: u64,
    from_us: u64,
    to_us: u64,
}

struct Step {
    at_us: u64,
    by_us: i64,
}

/// The plan of this process.
pub struct Plan {
    faults: Vec<Fault>,
    steps: Vec<Step>,
    scope: String,
    log: String,
    state: AtomicU64,
    start: libc::timespec,
}

static PLAN_OF_PROCESS: OnceLock<Option<Plan>> = OnceLock::new();
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];
static PENDING: [AtomicI32; MAX_DESCRIPTORS] = [const { AtomicI32::new(0) }; MAX_DESCRIPTORS];

thread_local! {
    /// Set while the shim itself makes calls.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// The plan, if this process has one and the call is not the shim's own.
pub fn plan() -> Option<&'static Plan> {
    if INSIDE.try_with(Cell::get).unwrap_or(true) {
        return None;
    }
    inside(|| PLAN_OF_PROCESS.get_or_init(Plan::read).as_ref())
}

/// Runs the shim's own work, whose calls pass through.
fn inside<T>(work: impl FnOnce() -> T) -> T {
    let _ = INSIDE.try_with(|inside| inside.set(true));
    let result = work();
    let _ = INSIDE.try_with(|inside| inside.set(false));
    result
}

/// The monotonic time, by the system call itself.
fn monotonic() -> libc::timespec {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `now` is valid for writes for the whole call.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    now
}

/// Records what a descriptor leads to.
pub fn opened(descriptor: i32, kind: Kind) {
    if let Some(place) = usize::try_from(descriptor).ok().and_then(|n| KINDS.get(n)) {
        place.store(kind as u8, Ordering::Relaxed);
        PENDING[descriptor as usize].store(0, Ordering::Relaxed);
    }
}

/// What a descriptor leads to.
pub fn kind(descriptor: i32) -> Kind {
    if descriptor == libc::STDERR_FILENO {
        return Kind::Log;
    }
    match usize::try_from(descriptor).ok().and_then(|n| KINDS.get(n)).map(|k| k.load(Ordering::Relaxed)) {
        Some(1) => Kind::File,
        Some(2) => Kind::Socket,
        _ => Kind::Other,
    }
}

/// Leaves an error for the next call on a descriptor.
pub fn leave_error(descriptor: i32, error: i32) {
    if let Some(place) = usize::try_from(descriptor).ok().and_then(|n| PENDING.get(n)) {
        place.store(error, Ordering::Relaxed);
    }
}

/// Takes the error that an earlier call left, if one did.
pub fn take_error(descriptor: i32) -> Option<i32> {
    let place = usize::try_from(descriptor).ok().and_then(|n| PENDING.get(n))?;
    Some(place.swap(0, Ordering::Relaxed)).filter(|error| *error != 0)
}

impl Plan {
    fn read() -> Option<Plan> {
        // SAFETY: the name ends with a zero byte; the environment is not changed while the process starts.
        let text = unsafe { libc::getenv(PLAN.as_ptr()) };
        if text.is_null() {
            return None;
        }
        // SAFETY: `getenv` returned a string that ends with a zero byte and stays.
        let text = unsafe { CStr::from_ptr(text) }.to_str().ok()?;
        let mut plan = Plan {
            faults: Vec::new(),
            steps: Vec::new(),
            scope: String::new(),
            log: String::new(),
            state: AtomicU64::new(0),
            start: monotonic(),
        };
        for line in text.lines() {
            plan.line(line)?;
        }
        Some(plan)
    }

    fn line(&mut self, line: &str) -> Option<()> {
        let (word, rest) = line.split_once(' ')?;
        let fields: Vec<&str> = rest.split(' ').collect();
        match word {
            "seed" => *self.state.get_mut() = rest.parse().ok()?,
            "scope" => self.scope = rest.into(),
            "log" => self.log = rest.into(),
            "step" => {
                let [at, by] = fields[..] else { return None };
                self.steps.push(Step { at_us: at.parse().ok()?, by_us: by.parse().ok()? });
            }
            "fault" => {
                let [call, effect, number, per_million, from, to] = fields[..] else { return None };
                let number = number.parse().ok()?;
                let effect = match effect {
                    "error" => Effect::Error(number),
                    "short" => Effect::Short,
                    "torn" => Effect::Torn(number),
                    "kill" => Effect::Kill,
                    _ => return None,
                };
                self.faults.push(Fault {
                    call: call.into(),
                    effect,
                    per_million: per_million.parse().ok()?,
                    from_us: from.parse().ok()?,
                    to_us: to.parse().ok()?,
                });
            }
            _ => return None,
        }
        Some(())
    }

    /// Time since the start of the process, in microseconds.
    fn now_us(&self) -> u64 {
        let now = monotonic();
        let micros = |time: libc::timespec| time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
        u64::try_from(micros(now) - micros(self.start)).unwrap_or(0)
    }

    /// The next random number, by SplitMix64.
    fn random(&self) -> u64 {
        const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = self.state.fetch_add(GAMMA, Ordering::Relaxed).wrapping_add(GAMMA);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Whether a path lies below the scope.
    pub fn in_scope(&self, path: &CStr) -> bool {
        !self.scope.is_empty() && path.to_str().is_ok_and(|path| path.starts_with(&self.scope))
    }

    /// How this call fails, if it does; a fault is logged.
    pub fn fault(&self, call: &str) -> Option<Effect> {
        if !self.faults.iter().any(|fault| fault.call == call) {
            return None;
        }
        let now = self.now_us();
        let hits = |fault: &&Fault| {
            fault.call == call
                && (fault.from_us..fault.to_us).contains(&now)
                && self.random() % MILLION < fault.per_million
        };
        let effect = self.faults.iter().find(hits)?.effect;
        self.note(now, call, effect);
        Some(effect)
    }

    /// How far the wall clock is off, in microseconds.
    pub fn wall_offset_us(&self) -> i64 {
        if self.steps.is_empty() {
            return 0;
        }
        let now = self.now_us();
        self.steps.iter().filter(|step| step.at_us <= now).map(|step| step.by_us).sum()
    }

    fn note(&self, now_us: u64, call: &str, effect: Effect) {
        if self.log.is_empty() {
            return;
        }
        let (kind, number) = match effect {
            Effect::Error(number) => ("error", number),
            Effect::Short => ("short", 0),
            Effect::Torn(number) => ("torn", number),
            Effect::Kill => ("kill", 0),
        };
        // SAFETY: takes no argument.
        let process = unsafe { libc::getpid() };
        let line = format!("{process} {now_us} {call} {kind} {number}\n");
        inside(|| {
            let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
            let _ = log.and_then(|mut log| log.write_all(line.as_bytes()));
        });
    }
}
