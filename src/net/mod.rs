//! Network I/O of a relay: HTTP/1.1 framing, client connections, calls to endpoints, discovery and the admin endpoint. What is sent
//! where and when, and whether it is retried, is decided elsewhere.

pub mod admin;
pub mod connections;
pub mod discovery;
pub mod http;
pub mod idle;
pub mod inbound;
pub mod outbound;
pub mod progress;
pub mod response;
pub mod send_guard;
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

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A protocol for partners, used in addition to the platform's.
pub trait PartnerProtocol: Send + Sync {
    /// Returns the maximum size of a message, head included.
    fn max_message_bytes(&self) -> usize;

    /// Answers a request of a partner.
    fn respond<'a>(&'a self, request: &'a Message) -> BoxFuture<'a, Message>;

    /// Returns whether calls to a destination use this protocol.
    fn serves_destination(&self, destination: i64) -> bool;

    /// Makes one attempt.
    fn attempt<'a>(&'a self, call: &'a OutboundCall, progress: &'a mut Progress) -> BoxFuture<'a, Outcome>;

    /// Returns the receipt that proves the delivery of a message, if its destination issues receipts.
    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected>;
}

/// Returns whether the peer has reset a connection. What had arrived before can still be read then.
fn is_reset(stream: &Stream) -> bool {
    !matches!(socket2::SockRef::from(stream.socket()).take_error(), Ok(None))
}

/// Returns whether a connection is open with nothing left to read. Asks the operating system, as the readiness state of the event
/// loop may be stale.
fn is_quiet(stream: &Stream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    loop {
        let peeked = socket2::SockRef::from(stream.socket()).peek(&mut byte);
        match peeked.map_err(|error| error.kind()) {
            Err(ErrorKind::Interrupted) => {}
            peeked => return peeked == Err(ErrorKind::WouldBlock),
        }
    }
}
