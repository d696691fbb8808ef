//! Reading of the answer to one call. Also settles the answers of earlier calls on the same connection meanwhile.

use std::pin::Pin;

use futures_util::FutureExt;
use futures_util::StreamExt;
use verdict::{Extent, Position, Settlement, StatusClass};

use super::connections::retry_after;
use super::http::{HttpError, Message, Part};
use super::idle::Connection;
use super::progress::Progress;
use crate::exchange::Clock;
use crate::interface::{Micros, Outcome};

/// Time limit for the rest of an answer whose status line alone decides, in microseconds. The connection is given up after it.
const REST_TIMEOUT: Micros = 100_000;
/// The same for a refusal, in microseconds. Its header lines may state a wait, which a shorter limit would miss if they arrive in
/// pieces.
const REFUSAL_TIMEOUT: Micros = 500_000;
/// Time for which bytes that are already available are read after a call was given up, in microseconds.
const FINAL_READ_TIMEOUT: Micros = 20_000;

/// Why no complete answer was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadFailure {
    /// The connection ended.
    Closed,
    /// The bytes are not a valid HTTP response.
    Malformed,
    /// The rest of the answer did not arrive in time.
    Stalled,
    /// The call was given up.
    GivenUp(Outcome),
}

/// Reads one answer.
pub struct ResponseReader<'a> {
    clock: Clock,
    connection: &'a mut Connection,
    progress: &'a mut Progress,
    /// Time by which the answer to this call would have arrived. If the first answer may be a duplicate of an earlier one, what
    /// arrives until then shows whether it is.
    quiet_until: Micros,
    /// Time limit for the rest of the answer.
    rest_by: Micros,
    given_up: Option<Outcome>,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader for a connection on which the whole request was written. The answer would arrive by `quiet_until`.
    pub fn new(
        clock: Clock, connection: &'a mut Connection, progress: &'a mut Progress, quiet_until: Micros,
    ) -> Self {
        ResponseReader { clock, connection, progress, quiet_until, rest_by: Micros::MAX, given_up: None }
    }

    /// Reads the complete answer. Once `limit` completes, the call is given up; bytes that are available by then still count.
    ///
    /// # Errors
    /// The outcome of the call, if there is no complete answer. The progress states how much of it was received.
    pub async fn read<L>(mut self, mut limit: Pin<&mut L>) -> Result<Message, Outcome>
    where
        L: Future<Output = Outcome>,
    {
        loop {
            // More of the answer may already be available.
            let part = match self.connection.framed.next().now_or_never() {
                Some(part) => part,
                None => {
                    self.progress.report_early().await;
                    match self.wait(limit.as_mut()).await {
                        Some(part) => part,
                        None => match self.check_timeouts() {
                            Some(failure) => return Err(self.failed(failure)),
                            None => continue,
                        },
                    }
                }
            };
            match part {
                Some(Ok(Part::StatusLine(status))) => self.process_status_line(status),
                Some(Ok(Part::Head(head))) => {
                    let refused = self.progress.heard.extent == Extent::StatusLine(StatusClass::Refused);
                    self.progress.wait = retry_after(&head).filter(|_| refused);
                }
                Some(Ok(Part::Complete(answer))) => {
                    if let Extent::StatusLine(class) = self.progress.heard.extent {
                        self.progress.heard.extent = Extent::Complete(class);
                    }
                    return Ok(answer);
                }
                Some(Err(HttpError::Io(_))) | None => return Err(self.failed(ReadFailure::Closed)),
                Some(Err(HttpError::EndedEarly)) => return Err(self.failed(ReadFailure::Closed)),
                Some(Err(_)) => return Err(self.failed(ReadFailure::Malformed)),
            }
        }
    }

    /// Waits for the next part of the answer. Returns `None` if a timeout or `limit` comes first.
    async fn wait<L>(&mut self, mut limit: Pin<&mut L>) -> Option<Option<Result<Part, HttpError>>>
    where
        L: Future<Output = Outcome>,
    {
        let settling = self.connection.settling.due().filter(|_| self.nothing_received());
        let due = settling.unwrap_or(Micros::MAX).min(self.rest_by);
        let given_up = self.given_up.is_some();
        tokio::select! {
        biased;
        part = self.connection.framed.next() => Some(part),
        outcome = &mut limit, if !given_up => {
        self.given_up = Some(outcome);
        let timeout = if self.connection.has_unread() { FINAL_READ_TIMEOUT } else { 0 };
        self.rest_by = self.rest_by.min(self.clock.now() + timeout);
        None
        }
        () = tokio::time::sleep_until(self.clock.instant(due)) => None,
        }
    }

    /// Returns whether no byte of an answer was received.
    fn nothing_received(&self) -> bool {
        self.progress.status.is_none() && self.connection.framed.read_buffer().is_empty()
    }

    /// Settles earlier answers that are due if nothing was received: if they were duplicates, the answers that they duplicate would
    /// have arrived. Returns how the call ends if its time is up.
    fn check_timeouts(&mut self) -> Option<ReadFailure> {
        let now = self.clock.now();
        if self.nothing_received() && self.connection.settling.due().is_some_and(|due| due <= now) {
            self.connection.settling.conclude(Settlement::Settled);
        }
        if now < self.rest_by {
            return None;
        }
        Some(self.given_up.map_or(ReadFailure::Stalled, ReadFailure::GivenUp))
    }

    fn process_status_line(&mut self, status: u16) {
        self.progress.status = Some(status);
        let Some(class) = StatusClass::from_status(status) else { return };
        self.progress.heard.extent = Extent::StatusLine(class);
        if !self.progress.status_line_decides() {
            return;
        }
        let now = self.clock.now();
        let timeout = if class == StatusClass::Refused { REFUSAL_TIMEOUT } else { REST_TIMEOUT };
        // A status line that may belong to a duplicate is watched until the answer to this call would have arrived.
        let watched = if self.progress.heard.position == Position::Later { self.quiet_until } else { now };
        let rest_by = (now + timeout).max(watched);
        self.rest_by = if self.given_up.is_some() { self.rest_by } else { rest_by };
    }

    /// Records what was received of an incomplete answer. Returns the outcome of the call.
    fn failed(&mut self, failure: ReadFailure) -> Outcome {
        let nothing = self.nothing_received();
        self.progress.record_partial_line(self.connection.framed.read_buffer());
        match failure {
            ReadFailure::GivenUp(outcome) => outcome,
            ReadFailure::Closed if nothing => Outcome::Reset,
            ReadFailure::Malformed => {
                if self.progress.status.is_none() {
                    self.progress.heard.extent = Extent::Malformed;
                }
                // This is what two answers without a boundary between them look like.
                self.progress.heard.settlement = Settlement::UnsolicitedData;
                self.connection.settling.conclude(Settlement::UnsolicitedData);
                Outcome::Spoilt
            }
            ReadFailure::Closed | ReadFailure::Stalled => Outcome::Spoilt,
        }
    }
}
