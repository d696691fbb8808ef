//! HTTP/1.1 framing as tokio-util codecs over httparse. Enforces the limits on what is read into memory. Sockets, paths and the
//! meaning of a status are the business of the callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::exchange::IdempotencyKey;
use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// Maximum size of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum capacity of the buffer of an incomplete head, which doubles as it fills.
pub const MAX_HEAD_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 64;
/// Maximum size of the size line of a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM: usize = 16;
/// Initial capacity of a connection's read buffer, in bytes.
pub const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Memory that each connection has without a reservation, in bytes: its initial read buffer and a head of usual size, so that small
/// requests are read whatever others hold.
const UNRESERVED_BYTES: usize = READ_BUFFER_BYTES + 2 * 1024;
/// Memory of a header line beside its text, in bytes: two strings and their allocations.
const HEADER_LINE_BYTES: usize = 2 * (size_of::<String>() + 16);

/// Error while reading or writing a message.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The connection ended within a message.
    #[error("malformed: ended early")]
    EndedEarly,
    /// The body exceeds the limit, in bytes.
    #[error("the body is over {0} bytes")]
    TooLarge(usize),
    /// The memory budget for bodies is exhausted.
    #[error("as many bytes being read as may be")]
    NoMemory,
    /// The request did not arrive in time.
    #[error("the request did not come in time")]
    Timeout,
    /// I/O error on the connection.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Request line: method and path.
    Request(String, String),
    /// Status line: the status.
    Response(u16),
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start line.
    pub start: Start,
    /// Header lines, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
}

/// Name of the header with the idempotency key of a message, from its client and to its endpoint.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

impl Message {
    /// Creates a request without headers and body.
    pub fn request(method: &str, path: &str) -> Self {
        let start = Start::Request(method.into(), path.into());
        Message { start, headers: vec![], body: Bytes::new(), keep_alive: true }
    }

    /// Creates a response.
    pub fn response(status: u16, body: impl Into<Bytes>) -> Self {
        let start = Start::Response(status);
        Message { start, headers: vec![], body: body.into(), keep_alive: true }
    }

    /// Adds a header line.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds the idempotency key of a message, if it has one.
    pub fn with_idempotency_key(self, key: Option<&IdempotencyKey>) -> Self {
        match key {
            Some(key) => self.with(IDEMPOTENCY_KEY, key.as_str()),
            None => self,
        }
    }

    /// Returns the approximate memory of the head, in bytes.
    fn head_bytes(&self) -> usize {
        let lines = self.headers.iter().map(|(name, value)| HEADER_LINE_BYTES + name.len() + value.len());
        lines.sum()
    }

    /// Returns the first header with a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

enum State {
    Head,
    Sized(Message, usize),
    /// Before the size line of a chunk, with the body so far.
    Chunked(Message, BytesMut),
    /// Within a chunk, with the number of its bytes that are missing.
    ChunkData(Message, BytesMut, usize),
    /// Before the line end after the data of a chunk.
    ChunkEnd(Message, BytesMut),
    /// After the last chunk: trailers, which end with an empty line.
    Trailers(Message, BytesMut),
    /// The body ends with the connection.
    UntilEnd(Message),
}

/// Memory for the requests that are being read and processed on all connections together, in bytes.
#[derive(Debug)]
pub struct MemoryBudget(AtomicUsize);

/// Memory reserved in a budget, released on drop.
struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of a size in bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget(AtomicUsize::new(bytes)))
    }

    fn reservation(self: Arc<Self>) -> Reservation {
        Reservation { budget: self, bytes: 0 }
    }
}

impl Reservation {
    /// Changes the reserved size. A smaller one is always granted.
    fn resize(&mut self, bytes: usize) -> Result<(), HttpError> {
        let subtract = |available: usize| (available + self.bytes).checked_sub(bytes);
        let resized = self.budget.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        resized.map_err(|_| HttpError::NoMemory)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Codec for one side of a connection.
pub struct Codec {
    reads_requests: bool,
    max_body: usize,
    /// Memory reserved for the message that is being read and for the last one read. `None` for a client's codec.
    reservation: Option<Reservation>,
    /// Memory of the read buffer and of the message that is being read, in bytes.
    reading_bytes: usize,
    /// Memory of the last message read, until it is released, in bytes.
    processing_bytes: usize,
    state: State,
}

impl Codec {
    /// Creates a codec that reads requests with bodies of at most `max_body` bytes. Its connection's read buffer has an initial
    /// capacity of [`READ_BUFFER_BYTES`].
    pub fn server(max_body: usize, budget: Arc<MemoryBudget>) -> Self {
        let reservation = Some(budget.reservation());
        Codec { reads_requests: true, reservation, ..Codec::client(max_body) }
    }

    /// Creates a codec that reads responses with bodies of at most `max_body` bytes.
    pub fn client(max_body: usize) -> Self {
        let (reading_bytes, processing_bytes) = (0, 0);
        let (reads_requests, reservation, state) = (false, None, State::Head);
        Codec { reads_requests, max_body, reservation, reading_bytes, processing_bytes, state }
    }

    fn read_head(&mut self, src: &mut BytesMut) -> Result<Option<State>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let text = &src[..];
        let (used, start, version) = if self.reads_requests {
            let mut request = httparse::Request::new(&mut lines);
            match request.parse(text).map_err(|_| HttpError::Malformed("head"))? {
                httparse::Status::Partial => return need_more(src),
                httparse::Status::Complete(used) => {
                    let method = request.method.unwrap_or_default().to_string();
                    let path = request.path.unwrap_or_default().to_string();
                    (used, Start::Request(method, path), request.version)
                }
            }
        } else {
            let mut response = httparse::Response::new(&mut lines);
            match response.parse(text).map_err(|_| HttpError::Malformed("head"))? {
                httparse::Status::Partial => return need_more(src),
                httparse::Status::Complete(used) => {
                    (used, Start::Response(response.code.unwrap_or(0)), response.version)
                }
            }
        };
        let mut headers = Vec::new();
        for line in lines.iter().take_while(|line| !line.name.is_empty()) {
            match std::str::from_utf8(line.value) {
                Ok(value) => headers.push((line.name.to_string(), value.trim().to_string())),
                Err(_) if self.reads_requests => return Err(HttpError::Malformed("header value")),
                // An invalid header line of a response, such as a load report, is ignored.
                Err(_) => {}
            }
        }
        src.advance(used);
        let mut message = Message { start, headers, body: Bytes::new(), keep_alive: version == Some(1) };
        let connection = message.header("Connection").unwrap_or_default().to_ascii_lowercase();
        message.keep_alive =
            (message.keep_alive || connection.contains("keep-alive")) && !connection.contains("close");
        let lengths: Vec<&str> = message
            .headers
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"))
            .map(|(_, value)| value.as_str())
            .collect();
        let mut codings = message.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Transfer-Encoding"));
        let coding = codings.next().map(|(_, value)| value.to_ascii_lowercase());
        // Prevents request smuggling: two readers of one stream must agree on where a message ends.
        if codings.next().is_some() {
            return Err(HttpError::Malformed("several Transfer-Encodings"));
        }
        if lengths.windows(2).any(|pair| pair[0] != pair[1]) || coding.is_some() && !lengths.is_empty() {
            return Err(HttpError::Malformed("conflicting lengths"));
        }
        if let Some(coding) = coding {
            if coding != "chunked" {
                return Err(HttpError::Malformed("unknown Transfer-Encoding"));
            }
            return Ok(Some(State::Chunked(message, BytesMut::new())));
        }
        if let Some(length) = lengths.first() {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse::<usize>().ok().filter(|_| digits);
            let length = length.ok_or(HttpError::Malformed("Content-Length"))?;
            if length > self.max_body {
                return Err(HttpError::TooLarge(self.max_body));
            }
            return Ok(Some(State::Sized(message, length)));
        }
        let empty = self.reads_requests
            || matches!(message.start, Start::Response(status) if status < 200 || status == 204 || status == 304);
        Ok(Some(if empty { State::Sized(message, 0) } else { State::UntilEnd(message) }))
    }

    /// Returns the head of the message that is being read, once it is complete.
    fn current_head(&self) -> Option<&Message> {
        match &self.state {
            State::Head => None,
            State::Sized(head, _) | State::Chunked(head, _) | State::Trailers(head, _) => Some(head),
            State::ChunkData(head, ..) | State::ChunkEnd(head, _) | State::UntilEnd(head) => Some(head),
        }
    }

    /// Reserves the memory that the connection uses beyond [`UNRESERVED_BYTES`], by the capacities of its buffers.
    fn reserve(&mut self, src: &BytesMut) -> Result<(), HttpError> {
        let buffered = src.capacity();
        self.reading_bytes = match &self.state {
            State::Head => buffered,
            State::Sized(head, length) => head.head_bytes() + buffered.max(*length),
            State::Chunked(head, body)
            | State::ChunkData(head, body, _)
            | State::ChunkEnd(head, body)
            | State::Trailers(head, body) => head.head_bytes() + buffered + body.capacity(),
            State::UntilEnd(head) => head.head_bytes() + buffered,
        };
        self.resize_reservation()
    }

    /// Releases the memory reserved for the last message read, which has been processed.
    pub fn release_message(&mut self) {
        self.processing_bytes = 0;
        // It can fail only if the buffer's own part could not be reserved, which is tried again when the buffer is read.
        let _ = self.resize_reservation();
    }

    fn resize_reservation(&mut self) -> Result<(), HttpError> {
        let needed = (self.reading_bytes + self.processing_bytes).saturating_sub(UNRESERVED_BYTES);
        self.reservation.as_mut().map_or(Ok(()), |reservation| reservation.resize(needed))
    }

    /// Takes one step. Returns whether the state changed, so that another step may follow, and the message if it is complete.
    fn step(&mut self, src: &mut BytesMut, ended: bool) -> Result<(bool, Option<Message>), HttpError> {
        let state = std::mem::replace(&mut self.state, State::Head);
        match state {
            State::Head => {
                if src.is_empty() {
                    return Ok((false, None));
                }
                match self.read_head(src)? {
                    None => Ok((false, None)),
                    Some(state) => {
                        self.state = state;
                        Ok((true, None))
                    }
                }
            }
            State::Sized(mut message, length) if src.len() >= length => {
                // Copied so that a message does not keep the whole buffer of the connection alive.
                message.body = Bytes::copy_from_slice(&src[..length]);
                src.advance(length);
                if length + message.head_bytes() > READ_BUFFER_BYTES || src.capacity() > READ_BUFFER_BYTES {
                    shrink(src);
                }
                Ok((false, Some(message)))
            }
            State::Sized(message, length) => {
                // The whole body at once, so that the buffer does not grow beyond it.
                src.reserve(length - src.len());
                self.state = State::Sized(message, length);
                Ok((false, None))
            }
            State::Chunked(message, body) => match httparse::parse_chunk_size(src) {
                Err(_) => Err(HttpError::Malformed("chunk size")),
                Ok(httparse::Status::Complete((used, 0))) => {
                    src.advance(used);
                    self.state = State::Trailers(message, body);
                    Ok((true, None))
                }
                Ok(httparse::Status::Complete((_, size)))
                    if size as usize > self.max_body || body.len() + size as usize > self.max_body =>
                {
                    Err(HttpError::TooLarge(self.max_body))
                }
                Ok(httparse::Status::Complete((used, size))) => {
                    src.advance(used);
                    self.state = State::ChunkData(message, body, size as usize);
                    Ok((true, None))
                }
                Ok(httparse::Status::Partial) if src.len() > MAX_CHUNK_LINE_BYTES => {
                    Err(HttpError::Malformed("chunk size"))
                }
                Ok(httparse::Status::Partial) => {
                    self.state = State::Chunked(message, body);
                    Ok((false, None))
                }
            },
            // Moved as they arrive, so that the read buffer does not grow with the chunk.
            State::ChunkData(message, mut body, missing) => {
                let arrived = src.len().min(missing);
                body.extend_from_slice(&src[..arrived]);
                src.advance(arrived);
                let complete = arrived == missing;
                self.state = match complete {
                    true => State::ChunkEnd(message, body),
                    false => State::ChunkData(message, body, missing - arrived),
                };
                Ok((complete, None))
            }
            State::ChunkEnd(message, body) => match &src[..src.len().min(2)] {
                b"\r\n" => {
                    src.advance(2);
                    self.state = State::Chunked(message, body);
                    Ok((true, None))
                }
                b"" | b"\r" => {
                    self.state = State::ChunkEnd(message, body);
                    Ok((false, None))
                }
                _ => Err(HttpError::Malformed("chunk end")),
            },
            State::Trailers(mut message, body) => match src.windows(2).position(|pair| pair == b"\r\n") {
                Some(0) => {
                    src.advance(2);
                    message.body = body.freeze();
                    Ok((false, Some(message)))
                }
                Some(at) => {
                    src.advance(at + 2);
                    self.state = State::Trailers(message, body);
                    Ok((true, None))
                }
                None if src.len() > MAX_HEAD_BYTES => Err(HttpError::Malformed("trailers")),
                None => {
                    self.state = State::Trailers(message, body);
                    Ok((false, None))
                }
            },
            State::UntilEnd(mut message) => {
                if src.len() > self.max_body {
                    return Err(HttpError::TooLarge(self.max_body));
                }
                if ended {
                    message.body = src.split().freeze();
                    message.keep_alive = false;
                    return Ok((false, Some(message)));
                }
                self.state = State::UntilEnd(message);
                Ok((false, None))
            }
        }
    }
}

/// Moves what is left in a read buffer to one of the initial capacity, or larger if it needs more.
fn shrink(src: &mut BytesMut) {
    let mut rest = BytesMut::with_capacity(src.len().max(READ_BUFFER_BYTES));
    rest.extend_from_slice(src);
    *src = rest;
}

fn need_more<T>(src: &BytesMut) -> Result<Option<T>, HttpError> {
    if src.len() > MAX_HEAD_BYTES { Err(HttpError::Malformed("head too long")) } else { Ok(None) }
}

impl Decoder for Codec {
    type Item = Message;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Message>, HttpError> {
        loop {
            let (again, message) = self.step(src, false)?;
            if let Some(message) = message {
                self.processing_bytes = message.head_bytes() + message.body.len();
                // The message is complete, so it is not refused for what follows it in the buffer; that is reserved when it is read.
                let _ = self.reserve(src);
                return Ok(Some(message));
            }
            self.reserve(src)?;
            if !again {
                return Ok(None);
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Message>, HttpError> {
        if let Some(message) = self.decode(src)? {
            return Ok(Some(message));
        }
        if let (_, Some(message)) = self.step(src, true)? {
            return Ok(Some(message));
        }
        if src.is_empty() && matches!(self.state, State::Head) {
            Ok(None)
        } else {
            Err(HttpError::EndedEarly)
        }
    }
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Status, as soon as the status line has arrived.
    StatusLine(u16),
    /// Status line and header lines, once all of them have arrived.
    Head(Message),
    /// The complete response.
    Complete(Message),
}

/// Client codec that yields the status line and the head of a response before it is complete. Interim responses (1xx) are
/// skipped.
pub struct ResponseCodec {
    codec: Codec,
    status_read: bool,
    head_read: bool,
}

impl ResponseCodec {
    /// Creates a codec that reads responses with bodies of at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        ResponseCodec { codec: Codec::client(max_body), status_read: false, head_read: false }
    }

    /// Reads the status line of the final response, once it has arrived.
    fn read_status(src: &mut BytesMut) -> Result<Option<u16>, HttpError> {
        const START: &[u8] = b"HTTP/1.";
        for _ in 0..=MAX_INTERIM {
            let known = src.len().min(START.len());
            if src[..known] != START[..known] {
                return Err(HttpError::Malformed("no answer"));
            }
            let Some(end) = src.iter().position(|byte| *byte == b'\n') else { return need_more(src) };
            let line = src[START.len().min(end)..end].trim_ascii_end();
            let status = match line {
                [b'0' | b'1', b' ', code @ ..] if code.len() == 3 || code.get(3) == Some(&b' ') => {
                    std::str::from_utf8(&code[..3]).ok().and_then(|code| code.parse::<u16>().ok())
                }
                _ => None,
            };
            let status = status.filter(|status| (100..600).contains(status));
            let status = status.ok_or(HttpError::Malformed("first line"))?;
            if status >= 200 {
                return Ok(Some(status));
            }
            let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let interim = httparse::Response::new(&mut lines).parse(src);
            match interim.map_err(|_| HttpError::Malformed("interim answer"))? {
                httparse::Status::Partial => return need_more(src),
                httparse::Status::Complete(used) => src.advance(used),
            }
        }
        Err(HttpError::Malformed("too many interim answers"))
    }

    fn next_part(
        &mut self, src: &mut BytesMut,
        read: impl Fn(&mut Codec, &mut BytesMut) -> Result<Option<Message>, HttpError>,
    ) -> Result<Option<Part>, HttpError> {
        if !self.status_read {
            let status = Self::read_status(src)?;
            self.status_read = status.is_some();
            return Ok(status.map(Part::StatusLine));
        }
        if !self.head_read {
            (self.head_read, _) = self.codec.step(src, false)?;
            let head = self.codec.current_head().filter(|_| self.head_read).cloned();
            return Ok(head.map(Part::Head));
        }
        let complete = read(&mut self.codec, src)?;
        (self.status_read, self.head_read) = (complete.is_none(), complete.is_none());
        Ok(complete.map(Part::Complete))
    }
}

impl Decoder for ResponseCodec {
    type Item = Part;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Part>, HttpError> {
        self.next_part(src, Codec::decode)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Part>, HttpError> {
        let part = self.next_part(src, Codec::decode_eof)?;
        match part {
            None if !src.is_empty() || self.status_read => Err(HttpError::EndedEarly),
            part => Ok(part),
        }
    }
}

impl Encoder<&Message> for ResponseCodec {
    type Error = HttpError;

    fn encode(&mut self, message: &Message, dst: &mut BytesMut) -> Result<(), HttpError> {
        self.codec.encode(message, dst)
    }
}

impl Encoder<&Message> for Codec {
    type Error = HttpError;

    fn encode(&mut self, message: &Message, dst: &mut BytesMut) -> Result<(), HttpError> {
        let start_line = match &message.start {
            Start::Request(method, path) => format!("{method} {path} HTTP/1.1\r\n"),
            Start::Response(status) => format!("HTTP/1.1 {status} {}\r\n", reason_phrase(*status)),
        };
        dst.extend_from_slice(start_line.as_bytes());
        for (name, value) in &message.headers {
            // Prevents header injection: a line break would end the head early.
            if name.bytes().chain(value.bytes()).any(|byte| byte == b'\r' || byte == b'\n') {
                return Err(HttpError::Malformed("line end in a header"));
            }
            dst.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !message.keep_alive {
            dst.extend_from_slice(b"Connection: close\r\n");
        }
        let bodiless = matches!(message.start, Start::Response(204))
            || matches!(&message.start, Start::Request(method, _) if method == "GET");
        if !bodiless {
            dst.extend_from_slice(format!("Content-Length: {}\r\n", message.body.len()).as_bytes());
        }
        dst.extend_from_slice(b"\r\n");
        dst.extend_from_slice(&message.body);
        Ok(())
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
