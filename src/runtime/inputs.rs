//! Dispatch of inputs, and changes of settings.

use record::model::Late;
use tracing::warn;

use crate::exchange::Receipt;
use crate::input::{Input, ReloadedSettings};
use crate::interface::*;
use crate::net::inbound::KnownNames;
use crate::store::Record;

use super::Runtime;

impl Runtime {
    /// Processes one input.
    pub(super) fn input(&mut self, input: Input) {
        match input {
            Input::Submitted(exchange, receipt, reply) => self.submitted(exchange, receipt, reply),
            Input::Withdrawn(id) => self.withdrawn(&id),
            Input::CallEnded(end) => self.call_ended(end),
            Input::ProvisionalDecision(heard) => self.call_heard(heard),
            Input::ProvisionalAnswer(answered) => self.call_answered(answered),
            Input::DestinationsUpdated(form, members) => self.listed(form, members),
            Input::PeerReport(hearsay) => self.handle(Event::PeerObserved(hearsay)),
            Input::Granted(given) => self.handle(Event::Granted {
                destination: DestinationId(given.destination),
                grants: given.grants,
                few_connections: given.few_connections,
            }),
            Input::MinimumWaits(destination, waits) => {
                self.handle(Event::QueueWaits { destination: DestinationId(destination), waits });
            }
            Input::RetryTokens(update) => self.handle(Event::RetryTokens {
                destination: DestinationId(update.destination),
                tokens: update.retries,
                waits: update.waits,
            }),
            Input::Receipt(receipt, late) => self.receipt(receipt, late),
            Input::RecordsWritten(numbers) => self.records.push(Record::Recorded(numbers)),
            Input::ReportsAcknowledged(ids) => ids.into_iter().for_each(|id| self.acknowledged(id)),
            Input::SettingsReloaded(retuned) => self.retune(*retuned),
            // There is one offer at a time; a process whose offer is replaced sees its channel closed.
            Input::HandoverOffered(offer) => self.offer = Some(offer),
            Input::Stop(until) => self.stop(until),
        }
    }

    /// Stores a receipt. Without room it is dropped: the client has its answer in any case.
    fn receipt(&mut self, receipt: Receipt, late: Option<Late>) {
        if let Some(late) = late {
            self.record_late(late);
        }
        if self.journal.has_room(self.unwritten_bytes + receipt.bytes.len()) {
            self.unwritten_bytes += receipt.bytes.len();
            self.records.push(Record::Receipt(receipt));
        } else {
            warn!("no room to store the receipt {:?}", receipt.key);
        }
    }

    fn acknowledged(&mut self, id: String) {
        self.unacknowledged.remove(&id);
        self.records.push(Record::Acknowledged { id });
    }

    fn stop(&mut self, until: Micros) {
        self.stop = Some((self.clock.now(), until));
        self.caller.send_guard().stop_at(self.settings.last_start(until));
        self.handle(Event::Shutdown(until));
    }

    /// Applies other settings to the module, to new messages and to the clients' side.
    pub(super) fn retune(&mut self, retuned: ReloadedSettings) {
        let ReloadedSettings { settings, classes, tenants } = retuned;
        self.classes.replace(&classes, &settings.classes);
        self.max_held = settings.max_held as usize;
        self.settings = settings;
        self.vocabulary.send_replace(KnownNames::new(&classes, &self.settings.classes, &tenants));
        self.names.replace_classes_and_tenants(classes, tenants);
        self.apply_settings();
    }

    /// Passes the settings to the module, with all class terms under which messages are held.
    pub(super) fn apply_settings(&mut self) {
        let settings = Settings { classes: self.classes.all(), ..self.settings.clone() };
        self.handle(Event::SettingsChanged(Box::new(settings)));
    }
}
