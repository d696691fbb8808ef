//! What the fronts, the fleet, the record and another process tell the runtime. Owns the shape of it. It decides nothing.

use std::sync::Arc;

use record::model::Late;
use tokio::sync::oneshot;

use crate::exchange::{Answer, Answered, CallEnd, CallHeard, Exchange, Member, Receipt};
use crate::handed::Offer;
use crate::interface::{DestinationObservation, ListUpdate, Micros, Settings};

/// Settings that were read again and can be taken on.
#[derive(Clone, Debug, PartialEq)]
pub struct Retuned {
    /// The module's, checked.
    pub settings: Settings,
    /// The names of its classes, in order.
    pub classes: Vec<String>,
    /// The names of its tenants, in order.
    pub tenants: Vec<String>,
}

/// What the fronts and the record tell the runtime.
#[derive(Debug)]
pub enum Input {
    /// A client handed in a message and waits for the answer; the receipt it will be given, where its front
    /// gives one, is stored with it.
    Handed(Arc<Exchange>, Option<Receipt>, oneshot::Sender<Answer>),
    /// The client of a message could not be told that it was taken on.
    Withdrawn(String),
    /// An attempt ended.
    Ended(CallEnd),
    /// Something was heard of an attempt that may end its message; [`Input::Ended`] follows.
    Heard(CallHeard),
    /// An attempt was answered, and it is still to settle whether the answer is its own: [`Input::Ended`] follows.
    Answered(Answered),
    /// Peers say something of a destination.
    Told(DestinationObservation),
    /// A steward spoke of a destination.
    Permitted(permits::node::Given),
    /// A steward said how long what waits for a destination waits at the least.
    Waits(i64, overload::waits::Waits),
    /// The fleet's budget lets repeats start.
    Repeats(repeats::node::TokenUpdate),
    /// News of the destination set.
    Listed(ListUpdate, Vec<Member>),
    /// A receipt came for a message that was sent; with what it proves beside the message's end, if it ended no
    /// call.
    Receipt(Receipt, Option<Late>),
    /// The record holds these entries.
    Recorded(Vec<u64>),
    /// The platform has acknowledged these notices.
    Acknowledged(Vec<String>),
    /// Other settings hold from now on.
    Retuned(Box<Retuned>),
    /// Another process would take over.
    Offer(Offer),
    /// The process is to stop; the last call must have ended by then.
    Stop(Micros),
}
