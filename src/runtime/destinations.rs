//! Changes of the destination set.

use std::collections::HashSet;

use tracing::warn;

use crate::exchange::Member;
use crate::fleet::FleetUpdate;
use crate::interface::*;
use crate::wire::RawEntry;

use super::{Effect, Runtime};

impl Runtime {
    /// Applies a change of the destination set, in whole or in part.
    pub(super) fn listed(&mut self, form: ListUpdate, members: Vec<Member>) {
        let mut raw = Vec::new();
        let mut gone: HashSet<TargetId> = HashSet::new();
        if form == ListUpdate::Full {
            gone.extend(self.addresses.keys());
        }
        for member in members {
            let target = self.names.target(&member.id);
            if member.entry.listed() == ServiceState::Removed {
                gone.insert(target);
            } else {
                gone.remove(&target);
            }
            self.destinations.insert(member.entry.cell());
            self.set_address(target, &member);
            self.caller.send_guard().set_place(target, member.address.clone(), member.entry.cell());
            raw.push(member.entry);
        }
        let entries = self.read_entries(&raw);
        for entry in &entries {
            self.caller.send_guard().set_in_service(entry.target, entry.state == ServiceState::InService);
        }
        self.notify_rates(&entries);
        self.handle(Event::EndpointList(form, entries));
        gone.into_iter().for_each(|target| self.remove_target(target));
    }

    /// Sets the address of an endpoint. Where it has moved, the old connections are closed.
    fn set_address(&mut self, target: TargetId, member: &Member) {
        if let Some(old) = self.addresses.insert(target, member.address.clone())
            && old != member.address
        {
            self.effects.push(Effect::Close(target));
        }
    }

    /// Reads the entries. One that is invalid is logged and does not hide the others.
    fn read_entries(&mut self, raw: &[RawEntry]) -> Vec<EndpointEntry> {
        let read = raw.iter().filter_map(|entry| {
            let read = self.names.entries(std::slice::from_ref(entry));
            read.inspect_err(|error| warn!("destination set: {error}")).ok()
        });
        read.flatten().collect()
    }

    /// Notifies the fleet of the rates of the destinations in service.
    fn notify_rates(&self, entries: &[EndpointEntry]) {
        let in_service = entries.iter().filter(|entry| entry.state == ServiceState::InService);
        let rates = in_service.map(|entry| (entry.destination.0, entry.rate)).collect();
        self.notify_fleet(FleetUpdate::Listed(rates));
    }

    /// Removes an endpoint that is gone; endpoints are replaced as long as the process lives. The module sends nothing
    /// more to it, and a call in flight has its address.
    fn remove_target(&mut self, target: TargetId) {
        self.caller.send_guard().set_in_service(target, false);
        self.caller.send_guard().forget_place(target);
        self.addresses.remove(&target);
        self.names.forget(target);
        self.effects.push(Effect::Close(target));
    }
}
