//! How far a call and its answer came, for whom that decides on the message. An answer that ends its message is told as soon as
//! its first line is there, so that it can be stored before anything else happens.

use record::model::Evidence;
use tokio::sync::mpsc;
use verdict::{Decision, Extent, ReceivedAnswer};

use crate::exchange::{OutboundCall, ProvisionalDecision};
use crate::input::Input;
use crate::interface::Micros;

/// How far a request and its answer came.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// What was heard.
    pub heard: ReceivedAnswer,
    /// The status in the answer's first line.
    pub first: Option<u16>,
    /// It went out on a new connection.
    pub opened: bool,
    /// The wait that the head of an answer told which turned the call away.
    pub wait: Option<Micros>,
    /// A receipt that proves the request processed.
    pub receipt: Option<Evidence>,
    /// When the whole answer had come.
    pub answered: Option<Micros>,
    /// The number of the connection in this process, if one was there.
    pub connection: Option<u64>,
    /// Calls that it had carried before.
    pub calls_before: u32,
    /// For how long it had rested, in microseconds.
    pub rested: Micros,
    /// Hears of a first line that may end the message; without it, first lines tell nothing by themselves.
    announcer: Option<Announcer>,
}

/// Tells the runtime what a first line says.
#[derive(Clone, Debug)]
struct Announcer {
    inputs: mpsc::Sender<Input>,
    id: String,
    attempt: u32,
    told: Option<Decision>,
}

impl Progress {
    /// Of a call whose answer's first line may end its message; `inputs` hears that.
    pub fn announced(call: &OutboundCall, inputs: &mpsc::Sender<Input>) -> Self {
        let (inputs, id) = (inputs.clone(), call.exchange.id.clone());
        let announcer = Some(Announcer { inputs, id, attempt: call.attempt, told: None });
        Progress { announcer, ..Progress::default() }
    }

    /// Whether an answer's first line tells all, so that the rest is awaited for the connection's sake alone.
    pub fn first_tells(&self) -> bool {
        self.announcer.is_some()
    }

    /// Tells what was heard so far, if it may end the message and was not told before. Whoever waits for more has told it before.
    pub async fn announce(&mut self) {
        let decision = self.heard.decision();
        let Some(announcer) = self.announcer.as_mut() else { return };
        if decision.is_pending() || announcer.told == Some(decision) {
            return;
        }
        announcer.told = Some(decision);
        let heard = ProvisionalDecision { id: announcer.id.clone(), attempt: announcer.attempt, decision };
        let _ = announcer.inputs.send(Input::ProvisionalDecision(heard)).await;
    }

    /// Takes bytes that came and are not the whole first line.
    pub fn part_of_line(&mut self, bytes: &[u8]) {
        if self.first.is_none() && self.heard.extent == Extent::Nothing {
            self.heard.extent = Extent::from_partial(bytes);
        }
    }

    /// What was heard, as evidence.
    pub fn evidence(&self) -> Evidence {
        let line = self.first.map(|status| Evidence::Status(format!("HTTP/1.1 {status}")));
        self.receipt.clone().or(line).unwrap_or_default()
    }
}
