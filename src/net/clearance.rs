//! Whether a call may still go, asked when its bytes would go: a connection can take a second to come up, and what was
//! decided before need not hold by then. Owns what stands against it: waits that were told, endpoints that take
//! nothing new, the process's end. It must never choose where a call goes, nor keep one waiting: a call that may not
//! go ends as not sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::exchange::{Clock, OutboundCall};
use crate::interface::{Micros, TargetId};

/// An endpoint that takes nothing new is remembered for so long: a call that was decided before that was told has gone
/// or ended by then, and none is decided after it.
const CLOSED_FOR: Micros = 60_000_000;

#[derive(Default)]
struct Standing {
    /// By what shares one wait: until when it lasts.
    waits: HashMap<usize, Micros>,
    /// Endpoints that take nothing new, since when.
    closed: HashMap<TargetId, Micros>,
    /// Nothing goes from then on.
    stop: Option<Micros>,
}

/// What stands against calls at this moment, for all of a process.
#[derive(Clone)]
pub struct Clearance {
    clock: Clock,
    standing: Arc<Mutex<Standing>>,
    changed: watch::Sender<()>,
}

impl Clearance {
    /// With nothing that stands against a call.
    pub fn new(clock: Clock) -> Self {
        Clearance { clock, standing: Arc::default(), changed: watch::Sender::default() }
    }

    fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut Standing, Micros)) {
        change(&mut self.standing(), self.clock.now());
        self.changed.send_replace(());
    }

    /// Nothing goes to what shares this lane before then.
    pub fn wait(&self, lane: usize, until: Micros) {
        self.change(|standing, now| {
            standing.waits.retain(|_, until| *until > now);
            let wait = standing.waits.entry(lane).or_insert(until);
            *wait = until.max(*wait);
        });
    }

    /// Whether an endpoint takes anything new, as the newest list has it.
    pub fn listed(&self, target: TargetId, in_service: bool) {
        self.change(|standing, now| {
            standing.closed.retain(|_, since| now - *since < CLOSED_FOR);
            match in_service {
                true => standing.closed.remove(&target),
                false => standing.closed.insert(target, now),
            };
        });
    }

    /// Nothing goes from then on.
    pub fn stop(&self, from: Micros) {
        self.change(|standing, _| standing.stop = Some(standing.stop.map_or(from, |stop| stop.min(from))));
    }

    /// Whether a call may go at this moment.
    pub fn allows(&self, call: &OutboundCall) -> bool {
        let (now, standing) = (self.clock.now(), self.standing());
        let waits = standing.waits.get(&call.path).is_some_and(|until| now < *until);
        let closed = standing.closed.contains_key(&call.target);
        let late = now >= call.start_by.min(call.deadline) || standing.stop.is_some_and(|stop| now >= stop);
        !waits && !closed && !late
    }

    /// Comes once a call may not go any more.
    pub async fn withdrawn(&self, call: &OutboundCall) {
        let mut changed = self.changed.subscribe();
        while self.allows(call) {
            let stop = self.standing().stop.unwrap_or(Micros::MAX);
            let until = self.clock.instant(call.start_by.min(call.deadline).min(stop));
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }
}
