//! The endpoints' side of the platform's front: one attempt becomes one HTTP call. Owns what an answer means.
//! It must never send a call twice, on whatever connection, and never choose an endpoint.

use std::sync::Arc;

use record::model::Expected;
use tokio::sync::{mpsc, oneshot};
use tracing::debug;
use verdict::{After, Verdict};

use super::Protocol;
use super::clearance::Clearance;
use super::connections::{Connections, full};
use super::http::{Message, Start};
use super::progress::Progress;
use crate::exchange::{Answered, CallEnd, Clock, Exchange, OutboundCall};
use crate::input::Input;
use crate::interface::{LimitReport, Micros, Outcome, TargetId};
use crate::runtime::Caller;

/// A report with a greater figure makes no sense.
const MOST_REPORTED: f64 = 1e6;

/// Makes calls.
#[derive(Clone)]
pub struct Outbound {
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    connections: Connections,
    beside: Option<Arc<dyn Protocol>>,
}

impl Outbound {
    /// Calls go by the platform's protocol, but for the destinations that another one serves beside it.
    pub fn new(
        clock: Clock, inputs: mpsc::Sender<Input>, connections: Connections,
        beside: Option<Arc<dyn Protocol>>,
    ) -> Self {
        Outbound { clock, inputs, connections, beside }
    }

    async fn run(self, call: OutboundCall, called_off: oneshot::Receiver<()>) {
        let began = self.clock.now();
        let beside = self.beside.clone().filter(|beside| beside.serves(call.exchange.destination));
        let ended = match beside {
            Some(beside) => self.attempt_beside(&*beside, &call, called_off).await,
            None => self.attempt(&call, began, called_off).await,
        };
        let Ended { outcome, verdict, report, progress } = ended;
        // Between here and the runtime's hearing of it nothing else is told, so that no call that the module decides on
        // knowing less finds this wait in its way again and again.
        if let Some(wait) = progress.wait {
            self.connections.clearance().wait(call.lane, self.clock.now() + wait);
        }
        let report = LimitReport { requested_wait: progress.wait, ..report };
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        self.connections.counts().count_decision(verdict);
        debug!(
            message = id,
            attempt,
            destination = call.exchange.destination,
            endpoint = &*call.address,
            ?outcome,
            verdict = verdict.word(),
            status = progress.first,
            heard = ?progress.heard,
            began,
            connection = progress.connection,
            calls_before = progress.calls_before,
            rested = progress.rested,
            left = report.remaining_fraction,
            limit = report.limit,
            "attempt ended"
        );
        let (answered, evidence) = (progress.answered, progress.evidence());
        let end = CallEnd { id, attempt, target, outcome, verdict, began, answered, report, evidence };
        let _ = self.inputs.send(Input::Ended(end)).await;
    }

    /// An attempt by the protocol beside the platform's, whose receipts alone prove a delivery.
    async fn attempt_beside(
        &self, beside: &dyn Protocol, call: &OutboundCall, called_off: oneshot::Receiver<()>,
    ) -> Ended {
        let mut progress = Progress::default();
        let by = self.clock.instant(call.deadline);
        let outcome = tokio::select! {
            biased;
            outcome = beside.attempt(call, &mut progress) => outcome,
            () = is_called_off(called_off) => Outcome::Cancelled,
            () = tokio::time::sleep_until(by) => Outcome::TimedOut,
        };
        let outcome = match outcome {
            Outcome::Ok | Outcome::Skipped => outcome,
            // What was not written to its last byte never ran, however it ended.
            _ if !progress.heard.written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        Ended { outcome, verdict: outcome.verdict(), report: LimitReport::default(), progress }
    }

    async fn attempt(&self, call: &OutboundCall, began: Micros, called_off: oneshot::Receiver<()>) -> Ended {
        // One message a call: a first line tells what became of it, whatever follows.
        let mut progress = Progress::announced(call, &self.inputs);
        let place = (call.address.clone(), Some(call.target));
        let request = || self.request(call);
        let called_off = is_called_off(called_off);
        let answered =
            match self.connections.call(&place, Some(call), request, &mut progress, called_off).await {
                Ok(answered) => answered,
                Err(outcome) => return Ended::without_answer(outcome, progress),
            };
        let heard_at = answered.at();
        let settles = progress.heard.settles();
        let released = match self.connections.release(&answered, &progress) {
            Some(released) => {
                progress.announce().await;
                self.answered(call, answered.answer(), (began, heard_at)).await;
                Some(released)
            }
            None => None,
        };
        let answer = self.connections.settle(answered, &mut progress).await;
        drop(released);
        let age = if settles { self.clock.now() - heard_at } else { 0 };
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

    /// Tells what an answer means that is still to settle, so that the call holds no place at its destination meanwhile.
    async fn answered(&self, call: &OutboundCall, answer: &Message, (began, heard): (Micros, Micros)) {
        let outcome = read(answer, false, 0);
        let (id, attempt, target) = (call.exchange.id.clone(), call.attempt, call.target);
        let answered = Answered { id, attempt, target, outcome, began, at: heard, report: reported(answer) };
        let _ = self.inputs.send(Input::Answered(answered)).await;
    }
}

/// Comes once a call is called off; never, where nobody can any more.
async fn is_called_off(called_off: oneshot::Receiver<()>) {
    if called_off.await.is_err() {
        std::future::pending().await
    }
}

/// How an attempt ended.
struct Ended {
    outcome: Outcome,
    verdict: Verdict,
    report: LimitReport,
    progress: Progress,
}

impl Ended {
    /// With no whole answer.
    fn without_answer(outcome: Outcome, progress: Progress) -> Self {
        let verdict = progress.heard.verdict();
        let outcome = match (outcome, verdict) {
            (_, Verdict::Delivered) => Outcome::Ok,
            (_, Verdict::Over | Verdict::Spent { .. }) | (Outcome::Skipped, _) => Outcome::Skipped,
            (_, Verdict::MayHaveEnded) => Outcome::Spoilt,
            // What was not written to its last byte never ran, however it ended.
            _ if !progress.heard.written => Outcome::ConnectFailed,
            (outcome, Verdict::Owed { .. }) => outcome,
        };
        Ended { outcome, verdict, report: LimitReport::default(), progress }
    }

    /// By an answer that came so long ago.
    fn by_answer(answer: &Message, age: Micros, progress: Progress) -> Self {
        let verdict = progress.heard.verdict();
        if progress.heard.after == After::Surplus || verdict == Verdict::MayHaveEnded {
            return Ended { outcome: Outcome::Spoilt, verdict, report: LimitReport::default(), progress };
        }
        let outcome = read(answer, progress.opened, age);
        Ended { outcome, verdict, report: reported(answer), progress }
    }
}

impl Caller for Outbound {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, called_off) = oneshot::channel();
        tokio::spawn(self.clone().run(call, called_off));
        handle
    }

    fn close(&self, target: TargetId) {
        self.connections.close(target);
    }

    fn clearance(&self) -> &Clearance {
        self.connections.clearance()
    }

    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected> {
        self.beside.as_ref()?.expected(exchange)
    }
}

/// What an answer that came so long ago tells of its endpoint; `opened` where it is the first on its connection.
fn read(answer: &Message, opened: bool, age: Micros) -> Outcome {
    let Start::Response(status) = answer.start else { return Outcome::Reset };
    let wait = full(answer).map(|wait| (wait - age).max(0));
    match status {
        200 => Outcome::Ok,
        429 => Outcome::Full(wait),
        503 if answer.header("X-Over-Slots") == Some("1") => Outcome::Skipped,
        // What turns a new connection away at once and ends it speaks of connections, not of calls.
        503 if opened && !answer.keep_alive && wait.is_none() => Outcome::Crowded,
        503 => Outcome::Full(wait),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    }
}

/// What an answer tells of the limit.
fn reported(answer: &Message) -> LimitReport {
    report(answer.header("X-Backend-Load").unwrap_or_default())
}

/// What an answer tells of the limit; one that cannot be read in full tells nothing.
fn report(text: &str) -> LimitReport {
    let read = |text: &str| {
        let mut report = LimitReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let value = value.parse::<f64>().ok().filter(|value| (0.0..=MOST_REPORTED).contains(value))?;
            match name {
                "x0" => report.remaining_fraction = Some(value),
                "x1" => report.limit = Some(value),
                _ => {}
            }
        }
        Some(report)
    };
    read(text).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_that_makes_no_sense_tells_nothing() {
        let told = report("x0=0.4, x1=25");
        assert_eq!((told.remaining_fraction, told.limit), (Some(0.4), Some(25.0)));
        for text in
            ["", "x1", "x1=", "x1=many", "x1=NaN", "x1=-4", "x1=inf", "x1=1e300", "x0=0.4,x1=25,x1=?", "=,="]
        {
            assert_eq!(report(text), LimitReport::default(), "{text:?}");
        }
    }

    #[test]
    fn a_wait_that_makes_no_sense_is_none_and_a_huge_one_is_a_day() {
        let wait = |text: &str| full(&Message::request("GET", "/").with("Retry-After", text));
        assert_eq!(wait("0.25"), Some(250_000));
        for text in ["", "soon", "-1", "0", "NaN", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            assert_eq!(wait(text), None, "{text:?}");
        }
        assert_eq!(wait("1e12"), Some(86_400_000_000));
    }
}
