//! Calls to endpoints: one attempt is one HTTP call. Interprets the answers. Invariant: a call is sent at most once, on one
//! connection, to the endpoint that the attempt names.

use std::sync::Arc;

use record::model::Expected;
use tokio::sync::{mpsc, oneshot};
use tracing::debug;
use verdict::{Decision, Settlement};

use super::PartnerProtocol;
use super::connections::{Connections, retry_after};
use super::http::{Message, Start};
use super::progress::Progress;
use super::send_guard::SendGuard;
use crate::exchange::{CallEnd, Clock, Exchange, OutboundCall, ProvisionalAnswer};
use crate::input::Input;
use crate::interface::{LimitReport, Micros, Outcome, TargetId};
use crate::runtime::Caller;

/// Maximum plausible figure in a limit report.
const MAX_REPORTED: f64 = 1e6;

/// Makes calls to endpoints.
#[derive(Clone)]
pub struct Outbound {
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    connections: Connections,
    partners: Option<Arc<dyn PartnerProtocol>>,
}

impl Outbound {
    /// Creates a caller that uses the platform's protocol, except for destinations that `partners` serves.
    pub fn new(
        clock: Clock, inputs: mpsc::Sender<Input>, connections: Connections,
        partners: Option<Arc<dyn PartnerProtocol>>,
    ) -> Self {
        Outbound { clock, inputs, connections, partners }
    }

    async fn run(self, call: OutboundCall, cancelled: oneshot::Receiver<()>) {
        let began = self.clock.now();
        let partners =
            self.partners.clone().filter(|partners| partners.serves_destination(call.exchange.destination));
        let ended = match partners {
            Some(partners) => self.attempt_to_partner(&*partners, &call, cancelled).await,
            None => self.attempt(&call, began, cancelled).await,
        };
        let Ended { outcome, decision, report, progress } = ended;
        // The runtime learns of this wait by the next input. The guard is set just before it, so that calls decided without
        // knowledge of the wait are not refused repeatedly.
        if let Some(wait) = progress.wait {
            self.connections.send_guard().hold_path(call.path, self.clock.now() + wait);
        }
        let report = LimitReport { requested_wait: progress.wait, ..report };
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        self.connections.counts().count_decision(decision);
        debug!(
        message = id,
        attempt,
        destination = call.exchange.destination,
        endpoint = &*call.address,
        ?outcome,
        verdict = decision.label(),
        status = progress.status,
        heard = ?progress.heard,
        began,
        connection = progress.connection,
        calls_before = progress.calls_before,
        rested = progress.idle_for,
        left = report.remaining_fraction,
        limit = report.limit,
        "attempt ended"
        );
        let (answered, evidence) = (progress.answered, progress.evidence());
        let end = CallEnd { id, attempt, target, outcome, decision, began, answered, report, evidence };
        let _ = self.inputs.send(Input::CallEnded(end)).await;
    }

    /// Makes an attempt by the protocol of a partner, where only a receipt proves a delivery.
    async fn attempt_to_partner(
        &self, partners: &dyn PartnerProtocol, call: &OutboundCall, cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let mut progress = Progress::default();
        let by = self.clock.instant(call.deadline);
        let outcome = tokio::select! {
        biased;
        outcome = partners.attempt(call, &mut progress) => outcome,
        () = wait_cancelled(cancelled) => Outcome::Cancelled,
        () = tokio::time::sleep_until(by) => Outcome::TimedOut,
        };
        let outcome = match outcome {
            Outcome::Ok | Outcome::Skipped => outcome,
            // A request whose last byte was not written was not processed, however the call ended.
            _ if !progress.heard.request_written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        Ended { outcome, decision: outcome.decision(), report: LimitReport::default(), progress }
    }

    async fn attempt(&self, call: &OutboundCall, began: Micros, cancelled: oneshot::Receiver<()>) -> Ended {
        // A call carries one message, so the status line alone decides on it.
        let mut progress = Progress::with_early_report(call, &self.inputs);
        let key = (call.address.clone(), Some(call.target));
        let request = || self.request(call);
        let cancelled = wait_cancelled(cancelled);
        let answered = match self.connections.call(&key, Some(call), request, &mut progress, cancelled).await
        {
            Ok(answered) => answered,
            Err(outcome) => return Ended::without_answer(outcome, progress),
        };
        let answered_at = answered.at();
        let settles = progress.heard.needs_settling();
        let reserved = match self.connections.reserve_settling(&answered, &progress) {
            Some(reserved) => {
                progress.report_early().await;
                self.report_unsettled(call, answered.answer(), (began, answered_at)).await;
                Some(reserved)
            }
            None => None,
        };
        let answer = self.connections.settle(answered, &mut progress).await;
        drop(reserved);
        let age = if settles { self.clock.now() - answered_at } else { 0 };
        progress.wait = progress.wait.map(|wait| (wait - age).max(0));
        Ended::by_answer(&answer, age, progress)
    }

    fn request(&self, call: &OutboundCall) -> Message {
        let left = (call.deadline - self.clock.now()).max(0) / 1000;
        let mut request = Message::request("POST", "/v1/messages")
            .with("Host", &*call.address)
            .with("X-Correlation-Id", &call.exchange.id)
            .with("X-Time-Left", format!("{left}m"))
            .with_idempotency_key(call.exchange.idempotency_key.as_ref());
        request.body = call.exchange.body.clone();
        request
    }

    /// Reports the outcome of an unsettled answer, so that the call does not count as in flight until it is settled.
    async fn report_unsettled(
        &self, call: &OutboundCall, answer: &Message, (began, answered_at): (Micros, Micros),
    ) {
        let outcome = outcome_of(answer, false, 0);
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        let answered = ProvisionalAnswer {
            id,
            attempt,
            target,
            outcome,
            began,
            at: answered_at,
            report: limit_report(answer),
        };
        let _ = self.inputs.send(Input::ProvisionalAnswer(answered)).await;
    }
}

/// Completes once the call is cancelled. Never completes if its handle was dropped.
async fn wait_cancelled(cancelled: oneshot::Receiver<()>) {
    if cancelled.await.is_err() {
        std::future::pending().await
    }
}

/// How an attempt ended.
struct Ended {
    outcome: Outcome,
    decision: Decision,
    report: LimitReport,
    progress: Progress,
}

impl Ended {
    /// Returns the end of a call without a complete answer.
    fn without_answer(outcome: Outcome, progress: Progress) -> Self {
        let decision = progress.heard.decision();
        let outcome = match (outcome, decision) {
            (_, Decision::Delivered) => Outcome::Ok,
            (_, Decision::EndedElsewhere | Decision::AttemptsExhausted { .. }) | (Outcome::Skipped, _) => {
                Outcome::Skipped
            }
            (_, Decision::MayHaveEnded) => Outcome::Spoilt,
            // A request whose last byte was not written was not processed, however the call ended.
            _ if !progress.heard.request_written => Outcome::ConnectFailed,
            (outcome, Decision::Pending { .. }) => outcome,
        };
        Ended { outcome, decision, report: LimitReport::default(), progress }
    }

    /// Returns the end of a call by its answer, which arrived `age` microseconds ago.
    fn by_answer(answer: &Message, age: Micros, progress: Progress) -> Self {
        let decision = progress.heard.decision();
        if progress.heard.settlement == Settlement::UnsolicitedData || decision == Decision::MayHaveEnded {
            return Ended { outcome: Outcome::Spoilt, decision, report: LimitReport::default(), progress };
        }
        let outcome = outcome_of(answer, progress.new_connection, age);
        Ended { outcome, decision, report: limit_report(answer), progress }
    }
}

impl Caller for Outbound {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, cancelled) = oneshot::channel();
        tokio::spawn(self.clone().run(call, cancelled));
        handle
    }

    fn close(&self, target: TargetId) {
        self.connections.close_idle(target);
    }

    fn send_guard(&self) -> &SendGuard {
        self.connections.send_guard()
    }

    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected> {
        self.partners.as_ref()?.expected_receipt(exchange)
    }
}

/// Returns the outcome of an answer that arrived `age` microseconds ago. `new_connection` is whether it is the first on its
/// connection.
fn outcome_of(answer: &Message, new_connection: bool, age: Micros) -> Outcome {
    let Start::Response(status) = answer.start else { return Outcome::Reset };
    let wait = retry_after(answer).map(|wait| (wait - age).max(0));
    match status {
        200 => Outcome::Ok,
        429 => Outcome::Full(wait),
        503 if answer.header("X-Over-Slots") == Some("1") => Outcome::Skipped,
        // An immediate refusal that closes a new connection is about connections, not about calls.
        503 if new_connection && !answer.keep_alive && wait.is_none() => Outcome::Crowded,
        503 => Outcome::Full(wait),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    }
}

/// Returns the limit report of an answer.
fn limit_report(answer: &Message) -> LimitReport {
    parse_limit_report(answer.header("X-Backend-Load").unwrap_or_default())
}

/// Parses a limit report. A report that is invalid in any part is ignored.
fn parse_limit_report(text: &str) -> LimitReport {
    let parse = |text: &str| {
        let mut report = LimitReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let value = value.parse::<f64>().ok().filter(|value| (0.0..=MAX_REPORTED).contains(value))?;
            match name {
                "x0" => report.remaining_fraction = Some(value),
                "x1" => report.limit = Some(value),
                _ => {}
            }
        }
        Some(report)
    };
    parse(text).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_invalid_limit_report_is_ignored() {
        let valid = parse_limit_report("x0=0.4, x1=25");
        assert_eq!((valid.remaining_fraction, valid.limit), (Some(0.4), Some(25.0)));
        for text in
            ["", "x1", "x1=", "x1=many", "x1=NaN", "x1=-4", "x1=inf", "x1=1e300", "x0=0.4,x1=25,x1=?", "=,="]
        {
            assert_eq!(parse_limit_report(text), LimitReport::default(), "{text:?}");
        }
    }

    #[test]
    fn an_invalid_retry_after_is_ignored_and_a_huge_one_is_limited_to_a_day() {
        let wait = |text: &str| retry_after(&Message::request("GET", "/").with("Retry-After", text));
        assert_eq!(wait("0.25"), Some(250_000));
        for text in ["", "soon", "-1", "0", "NaN", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            assert_eq!(wait(text), None, "{text:?}");
        }
        assert_eq!(wait("1e12"), Some(86_400_000_000));
    }
}
