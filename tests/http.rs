//! The HTTP codec on requests that arrive in pieces, and the memory that it reserves for them.

use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tulipfall::net::http::{Codec, HttpError, MAX_BODY_BYTES, MemoryBudget, Message};

/// Decodes bytes that arrive in two pieces, the first of `first` bytes.
fn decode_in_pieces(codec: &mut Codec, bytes: &[u8], first: usize) -> Result<Vec<Message>, HttpError> {
    let (mut buffer, mut messages) = (BytesMut::new(), vec![]);
    for piece in [&bytes[..first], &bytes[first..]] {
        buffer.extend_from_slice(piece);
        while let Some(message) = codec.decode(&mut buffer)? {
            messages.push(message);
        }
    }
    assert!(buffer.is_empty(), "nothing is left over");
    Ok(messages)
}

fn server(budget: usize) -> Codec {
    Codec::server(MAX_BODY_BYTES, MemoryBudget::new(budget))
}

// Guards against a chunk whose data, size line or line end is misread where a piece ends within it.
#[test]
fn chunked_requests_are_read_alike_wherever_a_piece_ends() {
    let bytes = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nb\r\n0123456789\r\r\n0\r\nt: u\r\n\r\n\
        POST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
    for first in 0..=bytes.len() {
        let messages = decode_in_pieces(&mut server(0), bytes, first).expect("valid requests");
        let bodies: Vec<&[u8]> = messages.iter().map(|message| &*message.body).collect();
        assert_eq!(bodies, [&b"abc0123456789\r"[..], b"body"], "split at {first}");
    }
    for bad in [&b"3\r\nabcd\r\n"[..], b"3\r\nabc\rX", b"x\r\n", b"fffffffffffffffff\r\n"] {
        let bytes = [b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", bad].concat();
        for first in 0..=bytes.len() {
            decode_in_pieces(&mut server(0), &bytes, first).expect_err("malformed");
        }
    }
}

/// Feeds requests to as many codecs as it takes until the budget is exhausted. Returns the bytes that they hold then.
fn held_bytes_when_exhausted(budget: usize, request: &[u8]) -> usize {
    let (budget, mut open, mut held) = (MemoryBudget::new(budget), vec![], 0);
    loop {
        let mut codec = Codec::server(MAX_BODY_BYTES, budget.clone());
        let mut buffer = BytesMut::from(request);
        match codec.decode(&mut buffer) {
            Ok(None) => open.push((codec, buffer)),
            Ok(Some(_)) => panic!("an incomplete request"),
            Err(HttpError::NoMemory) => return held,
            Err(error) => panic!("{error}"),
        }
        held += request.len();
        assert!(open.len() < 10_000, "there is no limit");
    }
}

// Guards against memory that many connections use beyond the budget: incomplete heads were not counted at all.
#[test]
fn incomplete_heads_and_bodies_of_every_form_are_limited_by_the_budget() {
    const BUDGET: usize = 1 << 20;
    /// What each connection has without a reservation, in bytes.
    const FREE: usize = 6 * 1024;
    let head = [b"POST /a HTTP/1.1\r\nlong: ", &*vec![b'x'; 16_000]].concat();
    let fields = "a:b\r\n".repeat(62);
    let sized = format!("POST /a HTTP/1.1\r\n{fields}Content-Length: 65000\r\n\r\n{}", "x".repeat(64_000));
    let chunk = format!("fd00\r\n{}", "x".repeat(64_000));
    let chunked = format!("POST /a HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk}");
    for request in [&head, sized.as_bytes(), chunked.as_bytes()] {
        let held = held_bytes_when_exhausted(BUDGET, request);
        let connections = held / request.len();
        assert!(held >= BUDGET / 4, "{held} bytes of {connections} connections use the budget");
        assert!(held <= BUDGET + connections * FREE, "{held} bytes of {connections} connections");
    }
}

#[test]
fn what_a_connection_has_reserved_is_free_again_once_its_request_is_processed_or_the_connection_ends() {
    let budget = MemoryBudget::new(100_000);
    let body = "x".repeat(60_000);
    let request = format!("POST /a HTTP/1.1\r\nContent-Length: 60000\r\n\r\n{body}");
    let mut codec = Codec::server(MAX_BODY_BYTES, budget.clone());
    for _ in 0..100 {
        let message = codec.decode(&mut BytesMut::from(&*request)).expect("room").expect("a request");
        let mut second = Codec::server(MAX_BODY_BYTES, budget.clone());
        let refused = second.decode(&mut BytesMut::from(&*request));
        assert!(matches!(refused, Err(HttpError::NoMemory)), "the first one is being processed");
        assert_eq!(message.body.len(), 60_000);
        codec.release_message();
    }
    for _ in 0..100 {
        let mut codec = Codec::server(MAX_BODY_BYTES, budget.clone());
        codec.decode(&mut BytesMut::from(&*request)).expect("room").expect("a request");
    }
}
