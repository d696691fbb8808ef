//! Last check before the bytes of a call are written: connecting can take a second, and the decision to call may no longer hold by
//! then. Holds what forbids a call: server-requested waits, endpoints out of service or listed elsewhere, and the end of the process. It neither
//! chooses where a call goes nor delays one: a call that is not allowed ends as not sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::exchange::{Clock, OutboundCall};
use crate::interface::{Micros, TargetId};

/// Time for which an endpoint out of service is remembered, in microseconds. Calls decided before it went out of service have been
/// sent or have ended by then, and none is decided afterwards.
const OUT_OF_SERVICE_MEMORY: Micros = 60_000_000;

#[derive(Default)]
struct Restrictions {
    /// End of the wait, by send path.
    held_until: HashMap<usize, Micros>,
    /// Endpoints out of service, and since when.
    out_of_service: HashMap<TargetId, Micros>,
    /// Where the newest list has each endpoint: its address and its destination.
    places: HashMap<TargetId, (Arc<str>, i64)>,
    /// Time from which no call is sent.
    stop_at: Option<Micros>,
}

/// The restrictions on calls that are in force now, shared by all connections of a process.
#[derive(Clone)]
pub struct SendGuard {
    clock: Clock,
    restrictions: Arc<Mutex<Restrictions>>,
    changed: watch::Sender<()>,
}

impl SendGuard {
    /// Creates a guard without restrictions.
    pub fn new(clock: Clock) -> Self {
        SendGuard { clock, restrictions: Arc::default(), changed: watch::Sender::default() }
    }

    fn restrictions(&self) -> MutexGuard<'_, Restrictions> {
        self.restrictions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut Restrictions, Micros)) {
        change(&mut self.restrictions(), self.clock.now());
        self.changed.send_replace(());
    }

    /// Forbids calls on a send path until a time. An earlier time than the current one has no effect.
    pub fn hold_path(&self, path: usize, until: Micros) {
        self.change(|restrictions, now| {
            restrictions.held_until.retain(|_, until| *until > now);
            let held_until = restrictions.held_until.entry(path).or_insert(until);
            *held_until = until.max(*held_until);
        });
    }

    /// Sets whether an endpoint is in service, as the newest list states it.
    pub fn set_in_service(&self, target: TargetId, in_service: bool) {
        self.change(|restrictions, now| {
            restrictions.out_of_service.retain(|_, since| now - *since < OUT_OF_SERVICE_MEMORY);
            match in_service {
                true => restrictions.out_of_service.remove(&target),
                false => restrictions.out_of_service.insert(target, now),
            };
        });
    }

    /// Sets where the newest list has an endpoint. Calls to it that were decided for another address or destination are forbidden:
    /// another endpoint may be there now.
    pub fn set_place(&self, target: TargetId, address: Arc<str>, destination: i64) {
        self.change(|restrictions, _| drop(restrictions.places.insert(target, (address, destination))));
    }

    /// Forgets where an endpoint was that is no longer listed. It is out of service.
    pub fn forget_place(&self, target: TargetId) {
        self.change(|restrictions, _| drop(restrictions.places.remove(&target)));
    }

    /// Forbids all calls from a time on.
    pub fn stop_at(&self, from: Micros) {
        self.change(|restrictions, _| {
            restrictions.stop_at = Some(restrictions.stop_at.map_or(from, |stop_at| stop_at.min(from)))
        });
    }

    /// Returns whether a call may be sent now.
    pub fn allows(&self, call: &OutboundCall) -> bool {
        let (now, restrictions) = (self.clock.now(), self.restrictions());
        let held = restrictions.held_until.get(&call.path).is_some_and(|until| now < *until);
        let out_of_service = restrictions.out_of_service.contains_key(&call.target);
        let place = (call.address.clone(), call.exchange.destination);
        let moved = restrictions.places.get(&call.target).is_some_and(|listed| *listed != place);
        let late = now >= call.start_by.min(call.deadline)
            || restrictions.stop_at.is_some_and(|stop_at| now >= stop_at);
        !held && !out_of_service && !moved && !late
    }

    /// Completes once a call may no longer be sent.
    pub async fn until_disallowed(&self, call: &OutboundCall) {
        let mut changed = self.changed.subscribe();
        while self.allows(call) {
            let stop_at = self.restrictions().stop_at.unwrap_or(Micros::MAX);
            let until = self.clock.instant(call.start_by.min(call.deadline).min(stop_at));
            tokio::select! {
            _ = changed.changed() => {}
            () = tokio::time::sleep_until(until) => {}
            }
        }
    }
}
