//! How far a call and its answer came, for whom that decides on the message.

use record::model::Evidence;
use verdict::{Extent, Heard};

use crate::interface::Micros;

/// How far a request and its answer came.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// What was heard.
    pub heard: Heard,
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
    /// An answer's first line tells all, so that the rest is awaited for the connection's sake alone.
    pub first_tells: bool,
}

impl Progress {
    /// Takes bytes that came and are not the whole first line.
    pub fn part_of_line(&mut self, bytes: &[u8]) {
        if self.first.is_none() && self.heard.extent == Extent::Nothing {
            self.heard.extent = Extent::of_part(bytes);
        }
    }

    /// What was heard, as evidence.
    pub fn evidence(&self) -> Evidence {
        let line = self.first.map(|status| Evidence::Status(format!("HTTP/1.1 {status}")));
        self.receipt.clone().or(line).unwrap_or_default()
    }
}
