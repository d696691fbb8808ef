//! Progress of a call and its answer, as evidence for the decision on the message. An answer that ends its message is reported as
//! soon as its status line has arrived, so that this can be stored before anything else happens.

use record::model::Evidence;
use tokio::sync::mpsc;
use verdict::{Decision, Extent, ReceivedAnswer};

use crate::exchange::{OutboundCall, ProvisionalDecision};
use crate::input::Input;
use crate::interface::Micros;

/// How much of a request was sent and of its answer received.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The evidence for the decision.
    pub heard: ReceivedAnswer,
    /// HTTP status of the answer's status line.
    pub status: Option<u16>,
    /// Whether the call was sent on a new connection.
    pub new_connection: bool,
    /// The wait requested by a refusal, in microseconds.
    pub wait: Option<Micros>,
    /// A receipt that proves that the request was processed.
    pub receipt: Option<Evidence>,
    /// When the complete answer had arrived.
    pub answered: Option<Micros>,
    /// Number of the connection in this process, if there was one.
    pub connection: Option<u64>,
    /// Number of calls that the connection had carried before.
    pub calls_before: u32,
    /// Time for which the connection had been idle, in microseconds.
    pub idle_for: Micros,
    /// Reports a status line that may end the message. Without it, the status line alone decides nothing.
    early_report: Option<EarlyReport>,
}

/// Reports to the runtime what a status line decides.
#[derive(Clone, Debug)]
struct EarlyReport {
    inputs: mpsc::Sender<Input>,
    id: String,
    attempt: u32,
    reported: Option<Decision>,
}

impl Progress {
    /// Creates the progress of a call whose status line may end its message, which is reported to `inputs`.
    pub fn with_early_report(call: &OutboundCall, inputs: &mpsc::Sender<Input>) -> Self {
        let (inputs, id) = (inputs.clone(), call.exchange.id.clone());
        let early_report = Some(EarlyReport { inputs, id, attempt: call.attempt, reported: None });
        Progress { early_report, ..Progress::default() }
    }

    /// Returns whether the status line of the answer decides on the message, so that the rest is read for the sake of the
    /// connection only.
    pub fn status_line_decides(&self) -> bool {
        self.early_report.is_some()
    }

    /// Reports what was received so far, if it may end the message and was not reported before. Called before each wait for more.
    pub async fn report_early(&mut self) {
        let decision = self.heard.decision();
        let Some(early_report) = self.early_report.as_mut() else { return };
        if decision.is_pending() || early_report.reported == Some(decision) {
            return;
        }
        early_report.reported = Some(decision);
        let heard =
            ProvisionalDecision { id: early_report.id.clone(), attempt: early_report.attempt, decision };
        let _ = early_report.inputs.send(Input::ProvisionalDecision(heard)).await;
    }

    /// Records received bytes that are not a complete status line.
    pub fn record_partial_line(&mut self, bytes: &[u8]) {
        if self.status.is_none() && self.heard.extent == Extent::Nothing {
            self.heard.extent = Extent::from_partial(bytes);
        }
    }

    /// Returns the receipt or status line as evidence.
    pub fn evidence(&self) -> Evidence {
        let line = self.status.map(|status| Evidence::Status(format!("HTTP/1.1 {status}")));
        self.receipt.clone().or(line).unwrap_or_default()
    }
}
