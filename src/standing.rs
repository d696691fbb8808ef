//! What this process is at, in a few words that any of its threads reads without waiting: its phase, whether
//! operators had it emptied, and how much it holds. Owns which order of the operators is taken when. It must never
//! do I/O, or make the reader of a word wait for its writer.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;
use verdict::Decision;

use crate::exchange::Clock;
use crate::interface::Micros;

/// What a process is at, whatever operators ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not own the state folder yet, or has not taken on what is owed.
    Starting,
    /// It serves.
    Serving,
    /// It is passing all on to another process, and may still stay.
    HandingOver,
    /// Another process has taken over; this one finishes its calls and its clients' connections.
    Superseded,
    /// It was told to end.
    Stopping,
}

const PHASES: [Phase; 5] =
    [Phase::Starting, Phase::Serving, Phase::HandingOver, Phase::Superseded, Phase::Stopping];

/// How connections between requests are to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Leaving {
    /// They stay.
    #[default]
    No,
    /// Each is closed soon after this time, spread out, and with its next answer at the latest.
    Since(Micros),
    /// Each is closed with its next answer; the process closes the others as it ends.
    Stop,
}

/// Why an order was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this process is {0}")]
pub struct NotTaken(&'static str);

/// Whether the store takes what it is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreHealth {
    /// The outage that goes on, if one does.
    pub outage: Option<StoreOutage>,
    /// Number of outages so far, the current one included.
    pub outages: u64,
}

/// What became of the connections to endpoints since the process started.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Connections that were made.
    pub opened: AtomicU64,
    /// Connections closed as bytes came on them that nobody had asked for.
    pub surplus: AtomicU64,
    /// Answers that may have belonged to another call.
    pub doubtful: AtomicU64,
    /// Calls that did not take a connection at rest, as an answer on it would not have been certain enough.
    pub withheld: AtomicU64,
    /// Attempts by what their ends mean for their messages.
    pub verdicts: VerdictCounts,
}

/// How many attempts ended with each verdict since the process started.
#[derive(Debug, Default)]
pub struct VerdictCounts {
    /// Delivered.
    pub delivered: AtomicU64,
    /// Over elsewhere.
    pub over: AtomicU64,
    /// The message may have ended, and was reported.
    pub may_have_ended: AtomicU64,
    /// No further attempt could help.
    pub spent: AtomicU64,
    /// Still owed.
    pub owed: AtomicU64,
}

impl ConnectionCounts {
    /// Counts the verdict on an attempt.
    pub fn judged(&self, verdict: Decision) {
        let VerdictCounts { delivered, over, may_have_ended, spent, owed } = &self.verdicts;
        Self::add(match verdict {
            Decision::Delivered => delivered,
            Decision::EndedElsewhere => over,
            Decision::MayHaveEnded => may_have_ended,
            Decision::AttemptsExhausted { .. } => spent,
            Decision::Pending { .. } => owed,
        });
    }

    /// Counts one more.
    pub fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// A span in which the store fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// When it began, in Unix microseconds.
    pub since: Micros,
    /// Number of writes that failed.
    pub failures: u32,
    /// The last error.
    pub error: String,
}

/// The words. One writer decides its phase; orders come from the operators' door.
#[derive(Debug)]
pub struct Standing {
    clock: Clock,
    phase: AtomicU8,
    standby: AtomicBool,
    since: AtomicI64,
    held: AtomicUsize,
    out: AtomicUsize,
    why: Mutex<String>,
    store: Mutex<StoreHealth>,
    connections: Arc<ConnectionCounts>,
    leaving: watch::Sender<Leaving>,
}

impl Standing {
    /// A process that starts.
    pub fn starting(clock: Clock) -> Self {
        Standing {
            clock,
            phase: AtomicU8::new(0),
            standby: AtomicBool::new(false),
            since: AtomicI64::new(clock.now()),
            held: AtomicUsize::new(0),
            out: AtomicUsize::new(0),
            why: Mutex::default(),
            store: Mutex::default(),
            connections: Arc::default(),
            leaving: watch::Sender::new(Leaving::No),
        }
    }

    /// What it is at.
    pub fn phase(&self) -> Phase {
        PHASES.get(usize::from(self.phase.load(Ordering::Acquire))).copied().unwrap_or(Phase::Stopping)
    }

    /// Whether operators had it emptied.
    pub fn standby(&self) -> bool {
        self.standby.load(Ordering::Acquire)
    }

    /// Whether it is ready to serve new clients.
    pub fn ready(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::HandingOver) && !self.standby()
    }

    /// Whether the relay as a whole is, of which this process may be the one that leaves.
    pub fn relay_ready(&self) -> bool {
        self.ready() || self.phase() == Phase::Superseded && !self.standby()
    }

    /// In a word: `starting`, `active`, `standby`, `handing over`, `superseded` or `stopping`.
    pub fn word(&self) -> &'static str {
        match self.phase() {
            Phase::Starting => "starting",
            Phase::Serving if self.standby() => "standby",
            Phase::Serving => "active",
            Phase::HandingOver => "handing over",
            Phase::Superseded => "superseded",
            Phase::Stopping => "stopping",
        }
    }

    /// Since when, in Unix microseconds.
    pub fn since(&self) -> Micros {
        self.since.load(Ordering::Relaxed)
    }

    /// Messages held, and calls of these that are out.
    pub fn counts(&self) -> (usize, usize) {
        (self.held.load(Ordering::Relaxed), self.out.load(Ordering::Relaxed))
    }

    /// Notes how much is held and out.
    pub fn count(&self, held: usize, out: usize) {
        self.held.store(held, Ordering::Relaxed);
        self.out.store(out, Ordering::Relaxed);
    }

    /// Whether the store takes what it is told.
    pub fn store(&self) -> StoreHealth {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes that a write of the store failed.
    pub fn store_failing(&self, since: Micros, failures: u32, error: &str) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.outages += u64::from(store.outage.is_none());
        store.outage = Some(StoreOutage { since, failures, error: error.into() });
    }

    /// Notes that the store works again.
    pub fn store_working(&self) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).outage = None;
    }

    /// What became of the connections to endpoints.
    pub fn connections(&self) -> &Arc<ConnectionCounts> {
        &self.connections
    }

    /// What keeps it from the next phase; empty where nothing does.
    pub fn why(&self) -> String {
        self.why.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes what keeps it from the next phase.
    pub fn waits_for(&self, why: &str) {
        let mut old = self.why.lock().unwrap_or_else(PoisonError::into_inner);
        if *old != why {
            why.clone_into(&mut old);
        }
    }

    /// How connections are to end, and news of it.
    pub fn leaving(&self) -> watch::Receiver<Leaving> {
        self.leaving.subscribe()
    }

    /// The process comes to another phase.
    pub fn enter(&self, phase: Phase) {
        // One that ends, or has a successor, is never anything else again.
        if matches!(self.phase(), Phase::Stopping | Phase::Superseded) {
            return;
        }
        let number = PHASES.iter().position(|known| *known == phase).unwrap_or_default();
        if self.phase.swap(number as u8, Ordering::AcqRel) != number as u8 {
            self.since.store(self.clock.now(), Ordering::Relaxed);
        }
        self.waits_for("");
        self.tell();
    }

    /// Comes to the posture that operators gave the process before this one, unless they gave this one an order already.
    pub fn take_posture(&self, standby: bool) {
        if standby && !self.standby() {
            let _ = self.order(true);
        }
    }

    /// An operator's order: empty the relay, or take clients again. One that holds already is taken again.
    ///
    /// # Errors
    /// Where another process serves, is about to, or this one ends.
    pub fn order(&self, standby: bool) -> Result<(), NotTaken> {
        match self.phase() {
            Phase::Starting | Phase::Serving => {}
            _ => return Err(NotTaken(self.word())),
        }
        if self.standby.swap(standby, Ordering::AcqRel) != standby {
            self.since.store(self.clock.now(), Ordering::Relaxed);
        }
        self.tell();
        Ok(())
    }

    fn tell(&self) {
        let wanted = match self.phase() {
            Phase::Stopping => Leaving::Stop,
            Phase::Superseded => Leaving::Since(self.clock.now()),
            _ if self.standby() => Leaving::Since(self.clock.now()),
            _ => Leaving::No,
        };
        self.leaving.send_if_modified(|old| {
            // An order that comes again must not begin the drain anew.
            let same = matches!((&*old, wanted), (Leaving::Since(_), Leaving::Since(_))) || *old == wanted;
            if !same {
                *old = wanted;
            }
            !same
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn orders_count_while_it_starts_and_serves_and_a_repeated_one_changes_nothing() {
        let standing = Standing::starting(Clock::start());
        assert_eq!(standing.order(true), Ok(()));
        assert!(!standing.ready());
        standing.enter(Phase::Serving);
        assert_eq!((standing.word(), standing.ready()), ("standby", false));
        let first = *standing.leaving().borrow();
        let since = standing.since();
        assert_eq!(standing.order(true), Ok(()));
        assert_eq!((*standing.leaving().borrow(), standing.since()), (first, since));
        assert_eq!(standing.order(false), Ok(()));
        assert_eq!((standing.ready(), *standing.leaving().borrow()), (true, Leaving::No));
    }

    #[test]
    fn an_order_to_one_that_was_superseded_or_ends_is_turned_away() {
        for (phase, relay_ready) in [(Phase::Superseded, true), (Phase::Stopping, false)] {
            let standing = Standing::starting(Clock::start());
            standing.enter(phase);
            assert!(standing.order(true).is_err());
            assert_eq!((standing.ready(), standing.relay_ready()), (false, relay_ready));
            assert_ne!(*standing.leaving().borrow(), Leaving::No);
        }
    }
}
