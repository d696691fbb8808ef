//! The actions of the decision module, and how they are carried out.

use record::model::cut;
use tracing::debug;

use crate::exchange::OutboundCall;
use crate::fleet::FleetUpdate;
use crate::interface::*;
use crate::store::{AttemptStart, Record};

use super::{Effect, Runtime};

impl Runtime {
    /// Feeds an event to the module and carries out the resulting actions.
    pub(super) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.relay.handle(self.clock.now(), event, &mut actions);
        self.carry_out(actions);
    }

    /// Carries out actions of the module.
    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
        let now = self.clock.now();
        for action in actions {
            self.carry_out_one(now, action);
        }
    }

    fn carry_out_one(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, target, timeout, send_by } => self.send(id, target, (send_by, now + timeout)),
            Action::Cancel { id, attempt } => self.effects.push(Effect::Cancel(id, attempt)),
            Action::Refuse { id, retry_after } => self.give_up(id, true, retry_after),
            Action::Fail(id) => self.give_up(id, false, None),
            Action::SetTimer { token, after } => drop(self.timers.insert((now + after, token))),
            Action::CloseIdle(target) => self.effects.push(Effect::Close(target)),
            Action::RequestGrants { destination, waiting } => {
                self.notify_fleet(FleetUpdate::RequestGrants(destination.0, waiting))
            }
            Action::RequestRetryTokens { destination, waiting } => {
                self.notify_fleet(FleetUpdate::RequestRetryTokens(destination.0, waiting));
            }
            // The platform's settings permit no probes, and the list is always watched.
            Action::Probe(_) | Action::SubscribeList => {}
        }
    }

    /// Starts the next attempt of a message, with the latest time to start and the deadline of the call.
    fn send(&mut self, id: MessageId, target: TargetId, (start_by, deadline): (Micros, Micros)) {
        let Some(path) = self.relay.send_path(target) else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(address) = self.addresses.get(&target).cloned() else { return };
        let effect = self
            .classes
            .parameters(held.class)
            .map_or(crate::interface::Effect::NonIdempotent, |terms| terms.effect);
        let attempt = held.attempts;
        let exchange = held.exchange.clone();
        held.attempts += 1;
        held.in_flight = Some((target, self.clock.now()));
        let start = held.trace.as_mut().map(|trace| {
            let (at, endpoint) = (self.clock.now(), cut(&address));
            trace.started(attempt, &endpoint, at);
            AttemptStart { at, endpoint }
        });
        // A first attempt earns a fraction of a retry token for the fleet.
        if attempt == 0 && self.settings.retry_budget {
            self.notify_fleet(FleetUpdate::FirstAttempt(exchange.destination));
        }
        // With the feature, the attempt is not recorded before it starts: a fault that the proofs have to detect.
        if !cfg!(feature = "broken-order") {
            self.records.push(Record::Started { id: exchange.id.clone(), attempt, start });
        }
        debug!(message = exchange.id, attempt, endpoint = &*address, start_by, deadline, "attempt decided");
        let call = OutboundCall { exchange, attempt, target, address, path, effect, start_by, deadline };
        self.effects.push(Effect::Call(id, call));
    }
}
