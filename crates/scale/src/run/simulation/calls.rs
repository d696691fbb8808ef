//! Events that arrive, wait for a permit, and become calls, which end.

use std::collections::VecDeque;

use fleet::Peer;
use peers::observer::{CallSignal, ObservedCall};
use permits::coordinator::Report;
use permits::item::CallResult;

use super::{Event, Simulation};
use crate::destinations::Answer;
use crate::run::work::{TRY_AGAIN, Waiting};
use crate::time::{Micros, seconds};
use crate::traffic::Arrival;

/// A call that goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    relay: Peer,
    life: u32,
    destination: u32,
    began: Micros,
    answer: Answer,
    waiting: Waiting,
}

impl Simulation<'_> {
    pub(super) fn arrives(&mut self, now: Micros, arrival: Arrival) {
        self.plan_arrival();
        self.destinations.advance(now);
        let was_up = self.destinations.is_up(arrival.destination);
        let relays = self.scenario.relays;
        // A relay that is not there gets nothing: clients go on to the next that is.
        let there = |peer: &u32| self.machines.get(*peer as usize).is_some_and(|m| m.relay.is_some());
        let relay = (0..relays).map(|step| (arrival.relay + step) % relays).find(there);
        if let Some(relay) = relay.and_then(|relay| Peer::try_from(relay).ok()) {
            self.counted.events += 1;
            self.wait(now, relay, arrival.destination, Waiting { arrived: now, was_up, calls: 0 });
        }
    }

    pub(super) fn wait(&mut self, now: Micros, peer: Peer, destination: u32, waiting: Waiting) {
        let Some(machine) = self.machine(peer).filter(|machine| !machine.killed) else { return };
        machine.work.add(destination, waiting);
        if machine.relay.is_some() {
            self.serve(now, peer, VecDeque::from([destination]));
        }
    }

    pub(super) fn ended(&mut self, now: Micros, call: Call) {
        let Call { relay: peer, life, destination, began, answer, waiting } = call;
        let Some(machine) = self.machine(peer) else { return };
        // A relay that restarted meanwhile calls again: it cannot know how the call ended.
        let lost = machine.life != life || machine.relay.is_none();
        if !lost {
            machine.work.ended(destination, answer == Answer::Well);
            let (result, seen) = match answer {
                Answer::Well => (CallResult::Succeeded, CallSignal::Success),
                Answer::Failed => (CallResult::Failed, CallSignal::Failure),
                Answer::Refused => (CallResult::Refused, CallSignal::Refused(None)),
            };
            let report = Report { result, began, wait: None, limit: None, remaining: None };
            let seen = ObservedCall {
                destination: i64::from(destination),
                began,
                ended: now,
                signal: seen,
                limit: None,
            };
            if let Some(relay) = &mut machine.relay {
                relay.ended(now, &report, &seen);
            }
        }
        if (lost || answer != Answer::Well) && !waiting.is_over(now) {
            self.queue.push(now + TRY_AGAIN, Event::Again { relay: peer, destination, waiting });
        }
        self.serve(now, peer, VecDeque::from([destination]));
    }

    /// Asks coordinators and starts calls for these destinations, until nothing more is granted at once.
    pub(super) fn serve(&mut self, now: Micros, peer: Peer, mut destinations: VecDeque<u32>) {
        loop {
            while let Some(destination) = destinations.pop_front() {
                self.serve_one(now, peer, destination);
            }
            destinations.extend(self.say(now, peer));
            if destinations.is_empty() {
                return;
            }
        }
    }

    fn serve_one(&mut self, now: Micros, peer: Peer, destination: u32) {
        let limit = self.limits.get(destination as usize).copied().unwrap_or(1.0);
        let own_gap = seconds(f64::from(self.scenario.relays) / limit);
        let Some(machine) = self.machines.get_mut(usize::from(peer)) else { return };
        let Some(relay) = &mut machine.relay else { return };
        let due = match relay.permits {
            Some(_) => machine.work.due(now, destination, own_gap),
            None => machine.work.due_freely(now, destination, own_gap),
        };
        if let Some(tiers) = due.want {
            relay.want(now, destination, tiers);
        }
        if let Some(at) = due.look_at {
            self.queue.push(at, Event::Look { relay: peer, destination });
        }
        let life = machine.life;
        for waiting in due.starts {
            self.call(now, (peer, life), destination, waiting);
        }
    }

    fn call(&mut self, now: Micros, (relay, life): (Peer, u32), destination: u32, waiting: Waiting) {
        if waiting.calls == 0 && waiting.was_up {
            self.counted.permit_wait.record(now - waiting.arrived);
        }
        self.destinations.advance(now);
        let (answer, took) = self.destinations.call(now, destination);
        let waiting = Waiting { calls: waiting.calls + 1, ..waiting };
        let call = Call { relay, life, destination, began: now, answer, waiting };
        self.queue.push(now + took, Event::Ended(call));
    }
}
