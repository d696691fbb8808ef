//! Status of this process, which any thread reads without I/O and without waiting: its phase, whether operators put the relay on
//! standby, and how many messages it holds. It also determines in which phases orders of operators are accepted.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;
use verdict::Verdict;

use crate::exchange::Clock;
use crate::interface::Micros;

/// Phase of a process, apart from orders of operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not own the state folder yet, or has not restored the messages and reports in it.
    Starting,
    /// It serves.
    Serving,
    /// It offers its state to another process, and may still resume.
    HandingOver,
    /// Another process has taken over. This one finishes its calls and its clients' connections.
    Superseded,
    /// It was asked to stop.
    Stopping,
}

const PHASES: [Phase; 5] =
    [Phase::Starting, Phase::Serving, Phase::HandingOver, Phase::Superseded, Phase::Stopping];

/// How the process drains idle client connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainMode {
    /// Connections stay open.
    #[default]
    Off,
    /// Each connection is closed soon after this time, with jitter, and with its next answer at the latest.
    Since(Micros),
    /// Each connection is closed with its next answer. The process closes the others when it ends.
    Stop,
}

/// An order of an operator was rejected, as the process is in this state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this process is {0}")]
pub struct OrderRejected(&'static str);

/// Whether the store accepts writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreHealth {
    /// The current outage, if there is one.
    pub outage: Option<StoreOutage>,
    /// Number of outages so far, the current one included.
    pub outages: u64,
}

/// Counters of connections to endpoints since the process started.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Connections opened.
    pub opened: AtomicU64,
    /// Connections closed because unrequested bytes arrived.
    pub unsolicited: AtomicU64,
    /// Answers that may belong to another call.
    pub ambiguous: AtomicU64,
    /// Calls that opened a new connection instead of reusing an idle one, as an answer on that one might belong to another call.
    pub not_reused: AtomicU64,
    /// Attempts by the decision about their messages.
    pub decisions: DecisionCounts,
}

/// Number of attempts that ended with each decision since the process started.
#[derive(Debug, Default)]
pub struct DecisionCounts {
    /// The message was delivered.
    pub delivered: AtomicU64,
    /// The message ended elsewhere.
    pub ended_elsewhere: AtomicU64,
    /// The message may have ended, and a non-delivery report was sent.
    pub may_have_ended: AtomicU64,
    /// Retries are exhausted or useless.
    pub exhausted: AtomicU64,
    /// The message is still to be delivered.
    pub owed: AtomicU64,
}

impl ConnectionCounts {
    /// Counts the decision about an attempt.
    pub fn count_decision(&self, verdict: Verdict) {
        let DecisionCounts { delivered, ended_elsewhere, may_have_ended, exhausted, owed } = &self.decisions;
        Self::add(match verdict {
            Verdict::Delivered => delivered,
            Verdict::Over => ended_elsewhere,
            Verdict::MayHaveEnded => may_have_ended,
            Verdict::Spent { .. } => exhausted,
            Verdict::Owed { .. } => owed,
        });
    }

    /// Increments a counter.
    pub fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// An outage of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// Start of the outage, in Unix microseconds.
    pub since: Micros,
    /// Number of writes that failed.
    pub failures: u32,
    /// The last error.
    pub error: String,
}

/// Status of a process. The main task sets its phase; orders of operators arrive through the admin endpoint.
#[derive(Debug)]
pub struct ProcessStatus {
    clock: Clock,
    phase: AtomicU8,
    standby: AtomicBool,
    /// Time of the last change of phase or standby, in Unix microseconds.
    since: AtomicI64,
    held: AtomicUsize,
    in_flight: AtomicUsize,
    waiting_reason: Mutex<String>,
    store: Mutex<StoreHealth>,
    connections: Arc<ConnectionCounts>,
    drain_mode: watch::Sender<DrainMode>,
}

impl ProcessStatus {
    /// Creates the status of a process that starts.
    pub fn starting(clock: Clock) -> Self {
        ProcessStatus {
            clock,
            phase: AtomicU8::new(0),
            standby: AtomicBool::new(false),
            since: AtomicI64::new(clock.now()),
            held: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            waiting_reason: Mutex::default(),
            store: Mutex::default(),
            connections: Arc::default(),
            drain_mode: watch::Sender::new(DrainMode::Off),
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        PHASES.get(usize::from(self.phase.load(Ordering::Acquire))).copied().unwrap_or(Phase::Stopping)
    }

    /// Whether operators put the relay on standby.
    pub fn standby(&self) -> bool {
        self.standby.load(Ordering::Acquire)
    }

    /// Whether this process is ready to serve new clients.
    pub fn ready(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::HandingOver) && !self.standby()
    }

    /// Whether the relay is ready to serve new clients, in this process or in the one that has taken over.
    pub fn relay_ready(&self) -> bool {
        self.ready() || self.phase() == Phase::Superseded && !self.standby()
    }

    /// The state by name: `starting`, `active`, `standby`, `handing over`, `superseded` or `stopping`.
    pub fn state_name(&self) -> &'static str {
        match self.phase() {
            Phase::Starting => "starting",
            Phase::Serving if self.standby() => "standby",
            Phase::Serving => "active",
            Phase::HandingOver => "handing over",
            Phase::Superseded => "superseded",
            Phase::Stopping => "stopping",
        }
    }

    /// Time since which it has been in this state, in Unix microseconds.
    pub fn since(&self) -> Micros {
        self.since.load(Ordering::Relaxed)
    }

    /// Number of messages held, and of calls in flight.
    pub fn counts(&self) -> (usize, usize) {
        (self.held.load(Ordering::Relaxed), self.in_flight.load(Ordering::Relaxed))
    }

    /// Sets the number of messages held and of calls in flight.
    pub fn set_counts(&self, held: usize, in_flight: usize) {
        self.held.store(held, Ordering::Relaxed);
        self.in_flight.store(in_flight, Ordering::Relaxed);
    }

    /// Health of the store.
    pub fn store(&self) -> StoreHealth {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records that a write to the store failed.
    pub fn store_failing(&self, since: Micros, failures: u32, error: &str) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.outages += u64::from(store.outage.is_none());
        store.outage = Some(StoreOutage { since, failures, error: error.into() });
    }

    /// Records that the store works again.
    pub fn store_working(&self) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).outage = None;
    }

    /// Counters of connections to endpoints.
    pub fn connections(&self) -> &Arc<ConnectionCounts> {
        &self.connections
    }

    /// What the process waits for before its next phase; empty where it waits for nothing.
    pub fn waiting_reason(&self) -> String {
        self.waiting_reason.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets what the process waits for before its next phase; empty where it waits for nothing.
    pub fn set_waiting_reason(&self, reason: &str) {
        let mut old = self.waiting_reason.lock().unwrap_or_else(PoisonError::into_inner);
        if *old != reason {
            reason.clone_into(&mut old);
        }
    }

    /// How the process drains idle client connections, with changes.
    pub fn drain_mode(&self) -> watch::Receiver<DrainMode> {
        self.drain_mode.subscribe()
    }

    /// Enters another phase. A process that is stopping or superseded stays so.
    pub fn enter(&self, phase: Phase) {
        if matches!(self.phase(), Phase::Stopping | Phase::Superseded) {
            return;
        }
        let number = PHASES.iter().position(|known| *known == phase).unwrap_or_default();
        if self.phase.swap(number as u8, Ordering::AcqRel) != number as u8 {
            self.since.store(self.clock.now(), Ordering::Relaxed);
        }
        self.set_waiting_reason("");
        self.update_drain_mode();
    }

    /// Inherits the standby of the process before this one, unless operators have put this one on standby already.
    pub fn inherit_standby(&self, standby: bool) {
        if standby && !self.standby() {
            let _ = self.set_standby(true);
        }
    }

    /// Carries out an operator's order: standby, or serve clients again. An order that already holds is accepted and changes
    /// nothing.
    ///
    /// # Errors
    /// If another process serves or is about to, or this one is stopping.
    pub fn set_standby(&self, standby: bool) -> Result<(), OrderRejected> {
        match self.phase() {
            Phase::Starting | Phase::Serving => {}
            _ => return Err(OrderRejected(self.state_name())),
        }
        if self.standby.swap(standby, Ordering::AcqRel) != standby {
            self.since.store(self.clock.now(), Ordering::Relaxed);
        }
        self.update_drain_mode();
        Ok(())
    }

    fn update_drain_mode(&self) {
        let mode = match self.phase() {
            Phase::Stopping => DrainMode::Stop,
            Phase::Superseded => DrainMode::Since(self.clock.now()),
            _ if self.standby() => DrainMode::Since(self.clock.now()),
            _ => DrainMode::Off,
        };
        self.drain_mode.send_if_modified(|old| {
            // A repeated order does not restart the drain.
            let same = matches!((&*old, mode), (DrainMode::Since(_), DrainMode::Since(_))) || *old == mode;
            if !same {
                *old = mode;
            }
            !same
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn orders_are_accepted_while_starting_and_serving_and_repeated_ones_change_nothing() {
        let status = ProcessStatus::starting(Clock::start());
        assert_eq!(status.set_standby(true), Ok(()));
        assert!(!status.ready());
        status.enter(Phase::Serving);
        assert_eq!((status.state_name(), status.ready()), ("standby", false));
        let first = *status.drain_mode().borrow();
        let since = status.since();
        assert_eq!(status.set_standby(true), Ok(()));
        assert_eq!((*status.drain_mode().borrow(), status.since()), (first, since));
        assert_eq!(status.set_standby(false), Ok(()));
        assert_eq!((status.ready(), *status.drain_mode().borrow()), (true, DrainMode::Off));
    }

    #[test]
    fn orders_to_a_superseded_or_stopping_process_are_rejected() {
        for (phase, relay_ready) in [(Phase::Superseded, true), (Phase::Stopping, false)] {
            let status = ProcessStatus::starting(Clock::start());
            status.enter(phase);
            assert!(status.set_standby(true).is_err());
            assert_eq!((status.ready(), status.relay_ready()), (false, relay_ready));
            assert_ne!(*status.drain_mode().borrow(), DrainMode::Off);
        }
    }
}
