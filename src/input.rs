//! Inputs of the runtime, sent by the fronts, the fleet, the record and another process of the same relay.

use std::sync::Arc;

use record::model::Late;
use tokio::sync::oneshot;

use crate::exchange::{Answer, CallEnd, Exchange, Member, ProvisionalAnswer, ProvisionalDecision, Receipt};
use crate::handed::Offer;
use crate::interface::{DestinationObservation, ListUpdate, Micros, Settings};

/// Settings that were read again and can be applied.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadedSettings {
    /// Settings of the decision module, validated.
    pub settings: Settings,
    /// Names of the message classes, in order.
    pub classes: Vec<String>,
    /// Names of the tenants, in order.
    pub tenants: Vec<String>,
}

/// An input of the runtime.
#[derive(Debug)]
pub enum Input {
    /// A client submitted a message and waits for the answer. If the message's front issues receipts, the receipt that the
    /// client will get is stored with the message.
    Submitted(Arc<Exchange>, Option<Receipt>, oneshot::Sender<Answer>),
    /// The answer that accepts this message could not be delivered to its client.
    Withdrawn(String),
    /// An attempt ended.
    CallEnded(CallEnd),
    /// The answer received so far to an attempt may end its message; [`Input::CallEnded`] follows.
    ProvisionalDecision(ProvisionalDecision),
    /// An attempt was answered, but the answer may be a copy of an earlier one; [`Input::CallEnded`] follows.
    ProvisionalAnswer(ProvisionalAnswer),
    /// Peers report the state of a destination.
    PeerReport(DestinationObservation),
    /// A limit coordinator granted calls to a destination.
    Granted(permits::node::ReceivedGrants),
    /// A limit coordinator sent the minimum waits of messages to a destination, by priority.
    MinimumWaits(i64, overload::waits::MinimumWaits),
    /// The fleet's retry budget permits retries.
    RetryTokens(repeats::node::TokenUpdate),
    /// The destination set, or a part of it, changed.
    DestinationsUpdated(ListUpdate, Vec<Member>),
    /// A receipt arrived for a message that was sent. If it ended no call, it carries what it proves apart from the message's
    /// end.
    Receipt(Receipt, Option<Late>),
    /// The record has stored the entries with these numbers.
    RecordsWritten(Vec<u64>),
    /// The platform has acknowledged the non-delivery reports of these messages.
    ReportsAcknowledged(Vec<String>),
    /// Other settings apply from now on.
    SettingsReloaded(Box<ReloadedSettings>),
    /// Another process offers to take over.
    HandoverOffered(Offer),
    /// The process is to stop; the last call must have ended by this time, in microseconds of the relay's clock.
    Stop(Micros),
}
