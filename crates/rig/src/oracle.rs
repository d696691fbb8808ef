//! The oracle: a baseline for what a fleet serves under overload. It stands for one relay that sees the queues of all
//! relays, but not the future: for each call it uses only what had been submitted by then.

use std::collections::{BTreeSet, HashSet};

use crate::audit::{Log, Sent, worth};
use crate::partner::trouble;
use crate::scenario::Scenario;

/// The ids of the messages that the oracle serves. Whenever a partner accepts a call, it gets the message of the highest
/// priority among those that wait and are not overdue; among equals, the one with the earliest deadline.
pub fn served<'a>(scenario: &Scenario, log: &'a Log) -> HashSet<&'a str> {
    let mut served = HashSet::new();
    for (number, partner) in scenario.each_partner().iter().enumerate() {
        // A message that a client submits again to another relay counts once.
        let own = log.sent.iter().filter(|(id, sent)| sent.partner == number && id.ends_with("-0"));
        let mut comes: Vec<(&str, &Sent)> = own.map(|(id, sent)| (id.as_str(), sent)).collect();
        comes.sort_by(|a, b| a.1.at_s.total_cmp(&b.1.at_s).then(a.0.cmp(b.0)));
        let mut comes = comes.into_iter().peekable();
        let mut waits: BTreeSet<(u64, u64, &str)> = BTreeSet::new();
        let mut at_s = 0.0;
        let end_s = scenario.seconds + scenario.load.time_left_ms as f64 / 1000.0;
        while at_s < end_s {
            while let Some((id, sent)) = comes.next_if(|(_, sent)| sent.at_s <= at_s) {
                // The first is of the highest priority, then of the earliest deadline.
                waits.insert((1000 - worth(sent.once) as u64, (sent.due_s * 1e6) as u64, id));
            }
            waits.retain(|(_, due, _)| *due as f64 / 1e6 > at_s);
            let trouble = trouble(scenario, at_s, number, 0);
            if !trouble.shut
                && let Some((.., id)) = waits.pop_first()
            {
                served.insert(id);
            }
            at_s += 1.0 / (partner.per_s * trouble.lowered.max(0.01));
        }
    }
    served
}
