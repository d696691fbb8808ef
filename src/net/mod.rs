//! The platform's front on sockets: HTTP/1.1 framing, the client's side, the endpoints' side and discovery.
//! Owns every socket of that front. It must never decide what is sent where, when or again.

pub mod connections;
pub mod discovery;
pub mod door;
pub mod http;
pub mod inbound;
pub mod outbound;

use tokio::net::TcpStream;

/// Whether nothing is left to read on a connection that is open, as the system has it at this moment: what the
/// event loop knows is older.
fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
