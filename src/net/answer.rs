//! Reads the answer to one call: what comes of it, how it ends, and which answers before it on its connection settle meanwhile.

use std::pin::Pin;

use futures_util::FutureExt;
use futures_util::StreamExt;
use verdict::{Extent, Position, Settlement, StatusClass};

use super::connections::full;
use super::http::{HttpError, Message, Part};
use super::progress::Progress;
use super::resting::Connection;
use crate::exchange::Clock;
use crate::interface::{Micros, Outcome};

/// Where an answer's first line tells all, the rest may take so long before the connection is given up, in microseconds.
const REST_WITHIN: Micros = 100_000;
/// The same where it tells all but a wait: cut off sooner, one that comes in pieces would not be heard.
const REFUSAL_WITHIN: Micros = 500_000;
/// What lies on a connection when its call is given up is read for so long, in microseconds.
const LAST_LOOK: Micros = 20_000;

/// Why no whole answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The connection ended.
    Closed,
    /// What came is no answer, or does not go on as it began.
    Malformed,
    /// The rest of an answer did not come in time.
    Stalled,
    /// The call was given up.
    GivenUp(Outcome),
}

/// Reads one answer.
pub struct AnswerReader<'a> {
    clock: Clock,
    connection: &'a mut Connection,
    progress: &'a mut Progress,
    /// From a first line that may be a copy on, what comes within that time shows whether it is.
    quiet_until: Micros,
    /// The rest of an answer has to be there by then.
    rest_by: Micros,
    given_up: Option<Outcome>,
}

impl<'a> AnswerReader<'a> {
    /// Over a connection whose last byte of the request is out. The own answer would have come by `quiet_until`.
    pub fn new(
        clock: Clock, connection: &'a mut Connection, progress: &'a mut Progress, quiet_until: Micros,
    ) -> Self {
        AnswerReader { clock, connection, progress, quiet_until, rest_by: Micros::MAX, given_up: None }
    }

    /// The whole answer. `limit` gives the call up; what lies on the connection by then still counts.
    ///
    /// # Errors
    /// How the call ended without one. The progress says what was heard.
    pub async fn read<L>(mut self, mut limit: Pin<&mut L>) -> Result<Message, Outcome>
    where
        L: Future<Output = Outcome>,
    {
        loop {
            // More of the answer may be there already.
            let part = match self.connection.framed.next().now_or_never() {
                Some(part) => part,
                None => {
                    self.progress.announce().await;
                    match self.wait(limit.as_mut()).await {
                        Some(part) => part,
                        None => match self.timed_out() {
                            Some(ending) => return Err(self.ended(ending)),
                            None => continue,
                        },
                    }
                }
            };
            match part {
                Some(Ok(Part::First(status))) => self.first_line(status),
                Some(Ok(Part::Head(head))) => {
                    let refused = self.progress.heard.extent == Extent::StatusLine(StatusClass::Refused);
                    self.progress.wait = full(&head).filter(|_| refused);
                }
                Some(Ok(Part::Whole(answer))) => {
                    if let Extent::StatusLine(class) = self.progress.heard.extent {
                        self.progress.heard.extent = Extent::Complete(class);
                    }
                    return Ok(answer);
                }
                Some(Err(HttpError::Io(_))) | None => return Err(self.ended(Ending::Closed)),
                Some(Err(HttpError::EndedEarly)) => return Err(self.ended(Ending::Closed)),
                Some(Err(_)) => return Err(self.ended(Ending::Malformed)),
            }
        }
    }

    /// The next part; `None` once something is due that does not come from the connection.
    async fn wait<L>(&mut self, mut limit: Pin<&mut L>) -> Option<Option<Result<Part, HttpError>>>
    where
        L: Future<Output = Outcome>,
    {
        let settling = self.connection.settling.due().filter(|_| self.untouched());
        let due = settling.unwrap_or(Micros::MAX).min(self.rest_by);
        let given_up = self.given_up.is_some();
        tokio::select! {
            biased;
            part = self.connection.framed.next() => Some(part),
            outcome = &mut limit, if !given_up => {
                self.given_up = Some(outcome);
                let look = if self.connection.unread() { LAST_LOOK } else { 0 };
                self.rest_by = self.rest_by.min(self.clock.now() + look);
                None
            }
            () = tokio::time::sleep_until(self.clock.instant(due)) => None,
        }
    }

    /// Whether nothing of an answer came.
    fn untouched(&self) -> bool {
        self.progress.first.is_none() && self.connection.framed.read_buffer().is_empty()
    }

    /// Settles earlier answers that are due, if nothing came: what they may be copies for would have come first. Tells how the call
    /// ends, if its time is up.
    fn timed_out(&mut self) -> Option<Ending> {
        let now = self.clock.now();
        if self.untouched() && self.connection.settling.due().is_some_and(|due| due <= now) {
            self.connection.settling.conclude(Settlement::Settled);
        }
        if now < self.rest_by {
            return None;
        }
        Some(self.given_up.map_or(Ending::Stalled, Ending::GivenUp))
    }

    fn first_line(&mut self, status: u16) {
        self.progress.first = Some(status);
        let Some(class) = StatusClass::from_status(status) else { return };
        self.progress.heard.extent = Extent::StatusLine(class);
        if !self.progress.first_tells() {
            return;
        }
        let now = self.clock.now();
        let within = if class == StatusClass::Refused { REFUSAL_WITHIN } else { REST_WITHIN };
        // What may be a part of a copy is watched until the own answer would have come.
        let watched = if self.progress.heard.position == Position::Later { self.quiet_until } else { now };
        let rest_by = (now + within).max(watched);
        self.rest_by = if self.given_up.is_some() { self.rest_by } else { rest_by };
    }

    /// Notes what was heard of an answer that is not whole; the outcome of the call.
    fn ended(&mut self, ending: Ending) -> Outcome {
        let nothing = self.untouched();
        self.progress.part_of_line(self.connection.framed.read_buffer());
        match ending {
            Ending::GivenUp(outcome) => outcome,
            Ending::Closed if nothing => Outcome::Reset,
            Ending::Malformed => {
                if self.progress.first.is_none() {
                    self.progress.heard.extent = Extent::Malformed;
                }
                // Two answers that run into each other look so.
                self.progress.heard.settlement = Settlement::UnsolicitedData;
                self.connection.settling.conclude(Settlement::UnsolicitedData);
                Outcome::Spoilt
            }
            Ending::Closed | Ending::Stalled => Outcome::Spoilt,
        }
    }
}
