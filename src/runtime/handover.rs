//! Handover to another process, on both sides.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use crate::handed::{CallInFlight, HandoverState, HeldMessage, Offer, RemainingCalls};
use crate::input::ReloadedSettings;
use crate::interface::{Decision, Event};
use crate::standing::Phase;
use crate::store::{Replay, StoreError, Stored};

use super::{Held, Runtime};

impl Runtime {
    /// Offers the state to another process, between two batches, when the journal holds all decisions. Returns whether
    /// the other process accepted; this one then never writes again and starts no call.
    pub(super) async fn hand_over(&self, offer: Offer) -> bool {
        if self.stop.is_some() {
            return false;
        }
        self.status.enter(Phase::HandingOver);
        if offer.state.send(Box::new(self.handover_state())).is_ok() && offer.accepted.await.is_ok() {
            // The other process receives all further advice, so it decides anew on calls that are not sent yet.
            self.caller.send_guard().stop_at(self.clock.now());
            return true;
        }
        self.status.enter(Phase::Serving);
        false
    }

    /// The state that the journal does not hold.
    fn handover_state(&self) -> HandoverState {
        HandoverState {
            journal: self.journal.position(),
            relay: self.relay.clone(),
            names: self.names.clone(),
            classes: self.classes.clone(),
            messages_seen: self.messages_seen,
            held: self.held.iter().map(|(message, held)| held.handover_state(*message)).collect(),
            addresses: self.addresses.iter().map(|(target, at)| (*target, at.clone())).collect(),
            destinations: self.destinations.iter().copied().collect(),
            timers: self.timers.iter().copied().collect(),
            ended: self.ended.iter().cloned().collect(),
            withdrawn: self.ended.iter_withdrawn().collect(),
            ended_contents: self.ended.iter_contents().collect(),
            revision: self.revision.load(Ordering::Relaxed),
            standby: self.status.standby(),
        }
    }

    /// The calls in flight, with their handles for cancelling them.
    pub(super) fn remaining_calls(self) -> RemainingCalls {
        let held = self
            .held
            .into_iter()
            .map(|(message, mut held)| (held.handover_state(message).in_flight, held.cancel.take()));
        held.filter_map(|(call, cancel)| Some((call?, cancel))).collect()
    }

    /// Takes over the state of another process, which has released the store. Returns that process's calls in flight,
    /// whose ends arrive as inputs, each with a receiver that signals when the call is to be cancelled.
    ///
    /// # Errors
    /// Where the store fails.
    pub fn adopt(
        &mut self, handed: HandoverState, replay: Replay,
    ) -> Result<Vec<(CallInFlight, oneshot::Receiver<()>)>, StoreError> {
        let own = self.own_settings();
        let held = self.adopt_state(handed);
        self.resend(replay.notices);
        let by_id = |stored: Stored| (stored.id.clone(), stored);
        let mut heard: HashMap<String, (Stored, Decision)> = replay
            .decided
            .into_iter()
            .map(|(stored, verdict)| (stored.id.clone(), (stored, verdict)))
            .collect();
        let mut stored: HashMap<String, Stored> = replay.messages.into_iter().map(by_id).collect();
        let mut in_flight = Vec::new();
        for message in held {
            // The journal is authoritative: a message that it does not hold has ended.
            let id = &message.exchange.id;
            match (stored.remove(id), message.in_flight.as_ref().and_then(|_| heard.remove(id))) {
                (Some(stored), _) => in_flight.extend(self.adopt_message(message, stored, None)),
                // The call in flight still settles what was received so far.
                (None, Some((stored, verdict))) => {
                    in_flight.extend(self.adopt_message(message, stored, Some(verdict)));
                }
                (None, None) => self.drop_message(&message),
            }
        }
        heard.into_values().for_each(|(stored, verdict)| self.resume_heard(stored, verdict));
        stored.into_values().for_each(|stored| self.resume_message(stored));
        // The settings with which this process was started apply from here on.
        self.retune(own);
        self.commit()?;
        Ok(in_flight)
    }

    /// The settings with which this process was started.
    fn own_settings(&self) -> ReloadedSettings {
        ReloadedSettings {
            settings: self.settings.clone(),
            classes: self.names.classes().to_vec(),
            tenants: self.names.tenants().to_vec(),
        }
    }

    /// Adopts all but the messages, which it returns.
    fn adopt_state(&mut self, handed: HandoverState) -> Vec<HeldMessage> {
        let HandoverState {
            relay,
            names,
            classes,
            messages_seen,
            held,
            addresses,
            destinations,
            timers,
            ended,
            withdrawn,
            ended_contents,
            ..
        } = handed;
        (self.relay, self.names, self.classes, self.messages_seen) = (relay, names, classes, messages_seen);
        self.addresses = addresses.into_iter().collect();
        self.destinations = destinations.into_iter().collect();
        self.timers = timers.into_iter().collect();
        let withdrawn: HashMap<_, _> = withdrawn.into_iter().collect();
        let contents: HashMap<_, _> = ended_contents.into_iter().collect();
        for (at, id) in &ended {
            let content = contents.get(id).copied();
            match withdrawn.get(id) {
                Some(attempts) => self.ended.remember_withdrawn(*at, id, *attempts, content),
                None => self.ended.remember(*at, id, content),
            }
        }
        held
    }

    /// Holds a message of the other process; returns its call in flight, if there is one.
    fn adopt_message(
        &mut self, message: HeldMessage, stored: Stored, heard: Option<Decision>,
    ) -> Option<(CallInFlight, oneshot::Receiver<()>)> {
        let HeldMessage { message, mut exchange, class, attempts, withdrawn, acknowledged_again, in_flight } =
            message;
        exchange.body = stored.body;
        self.held_bytes += exchange.body.len();
        self.ids.insert(exchange.id.clone(), message);
        let sent = in_flight.as_ref().map(|call| (call.target, call.began));
        let (cancel, adopted) = in_flight.map(|call| self.adopt_call(call)).unzip();
        let (exchange, trace) = (Arc::new(exchange), stored.trace);
        let held = Held {
            exchange,
            attempts,
            cancel,
            in_flight: sent,
            answered: false,
            heard,
            class,
            withdrawn,
            acknowledged_again,
            trace,
        };
        self.held.insert(message, held);
        adopted
    }

    fn adopt_call(
        &mut self, call: CallInFlight,
    ) -> (oneshot::Sender<()>, (CallInFlight, oneshot::Receiver<()>)) {
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight += 1;
        (cancel, (call, cancelled))
    }

    fn drop_message(&mut self, message: &HeldMessage) {
        self.classes.remove_message(message.class);
        self.handle(Event::Withdrawn(message.message));
    }
}
