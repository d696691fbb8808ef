//! The platform's front on sockets: HTTP/1.1 framing, the client's side, the endpoints' side and discovery.
//! Owns every socket of that front. It must never decide what is sent where, when or again.

pub mod answer;
pub mod clearance;
pub mod connections;
pub mod discovery;
pub mod door;
pub mod http;
pub mod inbound;
pub mod outbound;
pub mod progress;
pub mod resting;
pub mod stream;

use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;

use record::model::Expected;

use crate::exchange::{Exchange, OutboundCall};
use crate::interface::Outcome;
use http::Message;
use progress::Progress;
use stream::Stream;

/// Something that is being done.
pub type Doing<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A protocol that partners speak beside the platform's, as these sockets see it.
pub trait Protocol: Send + Sync {
    /// Bytes of a message with its head at the most.
    fn most_message(&self) -> usize;

    /// Answers what a partner posts.
    fn answer<'a>(&'a self, request: &'a Message) -> Doing<'a, Message>;

    /// Whether calls to a destination go by it.
    fn serves(&self, destination: i64) -> bool;

    /// One attempt.
    fn attempt<'a>(&'a self, call: &'a OutboundCall, progress: &'a mut Progress) -> Doing<'a, Outcome>;

    /// The receipt that proves a message, where its destination gives receipts.
    fn expected(&self, exchange: &Exchange) -> Option<Expected>;
}

/// Whether nothing is left to read on a connection that is open, as the system has it at this moment: what the
/// event loop knows is older.
fn quiet(stream: &Stream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    loop {
        let peeked = socket2::SockRef::from(stream.socket()).peek(&mut byte);
        match peeked.map_err(|error| error.kind()) {
            Err(ErrorKind::Interrupted) => {}
            peeked => return peeked == Err(ErrorKind::WouldBlock),
        }
    }
}
