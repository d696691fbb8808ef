//! HTTP/1.1 framing: bytes to messages and back, as tokio-util codecs over httparse. Owns the limits on what
//! is read into memory. It must never open a socket, know a path or tell what a status means.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::exchange::IdempotencyKey;
use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// A body may have so many bytes.
pub const MOST_BODY: usize = 64 * 1024;
/// A head may have so many bytes.
const MOST_HEAD: usize = 16 * 1024;
/// And so many header lines.
const MOST_HEADERS: usize = 64;
/// The line of a chunk's size may have so many bytes.
const MOST_CHUNK_LINE: usize = 256;
/// So many interim answers may come before the real one.
const MOST_INTERIM: usize = 16;
/// A reading buffer that has grown over this is given back once nothing is left in it.
const KEPT_BUFFER: usize = 16 * 1024;

/// What could not be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The bytes are no HTTP/1.1 message.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The connection ended in the middle of it.
    #[error("malformed: ended early")]
    EndedEarly,
    /// The body is over the limit.
    #[error("the body is over {0} bytes")]
    TooLarge(usize),
    /// There is no memory left for its body just now.
    #[error("as many bytes being read as may be")]
    NoMemory,
    /// It did not come in time.
    #[error("the request did not come in time")]
    Late,
    /// The connection broke.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
}

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of a request: method and path.
    Request(String, String),
    /// Of a response: the status.
    Response(u16),
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start: Start,
    /// Header lines, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The connection carries on after it.
    pub keep_alive: bool,
}

/// The header that carries a message's idempotency key, from its client and to its endpoint.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

impl Message {
    /// A request with no headers and body yet.
    pub fn request(method: &str, path: &str) -> Self {
        let start = Start::Request(method.into(), path.into());
        Message { start, headers: vec![], body: Bytes::new(), keep_alive: true }
    }

    /// A response.
    pub fn response(status: u16, body: impl Into<Bytes>) -> Self {
        let start = Start::Response(status);
        Message { start, headers: vec![], body: body.into(), keep_alive: true }
    }

    /// With one more header line.
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

    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

enum State {
    Head,
    Sized(Message, usize),
    Chunked(Message, BytesMut),
    /// After the last chunk: trailers up to an empty line.
    Trailers(Message, BytesMut),
    UntilEnd(Message),
}

/// The bytes that bodies which are being read may take, on all connections together.
#[derive(Debug)]
pub struct Budget(AtomicUsize);

/// A part of a budget, given back when it is dropped.
struct Share {
    of: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Of so many bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Budget(AtomicUsize::new(bytes)))
    }

    fn share(self: &Arc<Self>, bytes: usize) -> Result<Share, HttpError> {
        let left = |left: usize| left.checked_sub(bytes);
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
        taken.map(|_| Share { of: self.clone(), bytes }).map_err(|_| HttpError::NoMemory)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.of.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Frames one side of a connection.
pub struct Codec {
    reads_requests: bool,
    most_body: usize,
    budget: Option<Arc<Budget>>,
    /// The part of the budget that the body being read takes.
    share: Option<Share>,
    state: State,
}

impl Codec {
    /// For a connection on which requests come in, with bodies of so many bytes at most.
    pub fn server(most_body: usize, budget: Arc<Budget>) -> Self {
        Codec { reads_requests: true, budget: Some(budget), ..Codec::client(most_body) }
    }

    /// For a connection on which responses come in.
    pub fn client(most_body: usize) -> Self {
        Codec { reads_requests: false, most_body, budget: None, share: None, state: State::Head }
    }

    fn head(&mut self, src: &mut BytesMut) -> Result<Option<State>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let text = &src[..];
        let (used, start, version) = if self.reads_requests {
            let mut request = httparse::Request::new(&mut lines);
            match request.parse(text).map_err(|_| HttpError::Malformed("head"))? {
                httparse::Status::Partial => return partial(src),
                httparse::Status::Complete(used) => {
                    let method = request.method.unwrap_or_default().to_string();
                    let path = request.path.unwrap_or_default().to_string();
                    (used, Start::Request(method, path), request.version)
                }
            }
        } else {
            let mut response = httparse::Response::new(&mut lines);
            match response.parse(text).map_err(|_| HttpError::Malformed("head"))? {
                httparse::Status::Partial => return partial(src),
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
                // One line of an answer that cannot be read, as of a load report, spoils that line alone.
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
        // Guards against two readers of one stream disagreeing on where a message ends.
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
            self.share(self.most_body)?;
            return Ok(Some(State::Chunked(message, BytesMut::new())));
        }
        if let Some(length) = lengths.first() {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse::<usize>().ok().filter(|_| digits);
            let length = length.ok_or(HttpError::Malformed("Content-Length"))?;
            if length > self.most_body {
                return Err(HttpError::TooLarge(self.most_body));
            }
            self.share(length)?;
            return Ok(Some(State::Sized(message, length)));
        }
        let empty = self.reads_requests
            || matches!(message.start, Start::Response(status) if status < 200 || status == 204 || status == 304);
        Ok(Some(if empty { State::Sized(message, 0) } else { State::UntilEnd(message) }))
    }

    /// The head of the message that is being read, once it is whole.
    fn head_read(&self) -> Option<&Message> {
        match &self.state {
            State::Head => None,
            State::Sized(head, _) | State::Chunked(head, _) | State::Trailers(head, _) => Some(head),
            State::UntilEnd(head) => Some(head),
        }
    }

    fn share(&mut self, bytes: usize) -> Result<(), HttpError> {
        self.share = self.budget.as_ref().map(|budget| budget.share(bytes)).transpose()?;
        Ok(())
    }

    /// One step; `true` when the state moved on and another may follow.
    fn step(&mut self, src: &mut BytesMut, ended: bool) -> Result<(bool, Option<Message>), HttpError> {
        let state = std::mem::replace(&mut self.state, State::Head);
        match state {
            State::Head => {
                if src.is_empty() {
                    return Ok((false, None));
                }
                match self.head(src)? {
                    None => Ok((false, None)),
                    Some(state) => {
                        self.state = state;
                        Ok((true, None))
                    }
                }
            }
            State::Sized(mut message, length) if src.len() >= length => {
                // Copied, so that a message which is held does not hold the connection's whole buffer.
                message.body = Bytes::copy_from_slice(&src[..length]);
                src.advance(length);
                if src.is_empty() && src.capacity() > KEPT_BUFFER {
                    *src = BytesMut::new();
                }
                Ok((false, Some(message)))
            }
            State::Chunked(message, mut body) => match httparse::parse_chunk_size(src) {
                Err(_) => Err(HttpError::Malformed("chunk size")),
                Ok(httparse::Status::Complete((used, 0))) => {
                    src.advance(used);
                    self.state = State::Trailers(message, body);
                    Ok((true, None))
                }
                Ok(httparse::Status::Complete((_, size)))
                    if size as usize > self.most_body || body.len() + size as usize > self.most_body =>
                {
                    Err(HttpError::TooLarge(self.most_body))
                }
                Ok(httparse::Status::Complete((used, size))) if src.len() >= used + size as usize + 2 => {
                    src.advance(used);
                    body.extend_from_slice(&src[..size as usize]);
                    if &src[size as usize..size as usize + 2] != b"\r\n" {
                        return Err(HttpError::Malformed("chunk end"));
                    }
                    src.advance(size as usize + 2);
                    self.state = State::Chunked(message, body);
                    Ok((true, None))
                }
                Ok(httparse::Status::Partial) if src.len() > MOST_CHUNK_LINE => {
                    Err(HttpError::Malformed("chunk size"))
                }
                Ok(_) => {
                    self.state = State::Chunked(message, body);
                    Ok((false, None))
                }
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
                None if src.len() > MOST_HEAD => Err(HttpError::Malformed("trailers")),
                None => {
                    self.state = State::Trailers(message, body);
                    Ok((false, None))
                }
            },
            State::UntilEnd(mut message) => {
                if src.len() > self.most_body {
                    return Err(HttpError::TooLarge(self.most_body));
                }
                if ended {
                    message.body = src.split().freeze();
                    message.keep_alive = false;
                    return Ok((false, Some(message)));
                }
                self.state = State::UntilEnd(message);
                Ok((false, None))
            }
            waiting => {
                self.state = waiting;
                Ok((false, None))
            }
        }
    }
}

fn partial<T>(src: &BytesMut) -> Result<Option<T>, HttpError> {
    if src.len() > MOST_HEAD { Err(HttpError::Malformed("head too long")) } else { Ok(None) }
}

impl Decoder for Codec {
    type Item = Message;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Message>, HttpError> {
        loop {
            let (again, message) = self.step(src, false)?;
            if !again {
                if message.is_some() {
                    self.share = None;
                }
                return Ok(message);
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

/// What comes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The status of its first line, as soon as that line has come.
    First(u16),
    /// The first line and the header lines, once all of them have come.
    Head(Message),
    /// All of it.
    Whole(Message),
}

/// Frames the connection of a caller to whom an answer's first line may tell enough, whatever follows it.
/// Interim answers (1xx) before the real one are passed over.
pub struct AnswerCodec {
    codec: Codec,
    told: bool,
    headed: bool,
}

impl AnswerCodec {
    /// Reads answers with bodies of so many bytes at most.
    pub fn new(most_body: usize) -> Self {
        AnswerCodec { codec: Codec::client(most_body), told: false, headed: false }
    }

    /// The status of the real answer's first line, once it is there.
    fn first(src: &mut BytesMut) -> Result<Option<u16>, HttpError> {
        const START: &[u8] = b"HTTP/1.";
        for _ in 0..=MOST_INTERIM {
            let known = src.len().min(START.len());
            if src[..known] != START[..known] {
                return Err(HttpError::Malformed("no answer"));
            }
            let Some(end) = src.iter().position(|byte| *byte == b'\n') else { return partial(src) };
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
            let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let interim = httparse::Response::new(&mut lines).parse(src);
            match interim.map_err(|_| HttpError::Malformed("interim answer"))? {
                httparse::Status::Partial => return partial(src),
                httparse::Status::Complete(used) => src.advance(used),
            }
        }
        Err(HttpError::Malformed("too many interim answers"))
    }

    fn part(
        &mut self, src: &mut BytesMut,
        read: impl Fn(&mut Codec, &mut BytesMut) -> Result<Option<Message>, HttpError>,
    ) -> Result<Option<Part>, HttpError> {
        if !self.told {
            let first = Self::first(src)?;
            self.told = first.is_some();
            return Ok(first.map(Part::First));
        }
        if !self.headed {
            (self.headed, _) = self.codec.step(src, false)?;
            let head = self.codec.head_read().filter(|_| self.headed).cloned();
            return Ok(head.map(Part::Head));
        }
        let whole = read(&mut self.codec, src)?;
        (self.told, self.headed) = (whole.is_none(), whole.is_none());
        Ok(whole.map(Part::Whole))
    }
}

impl Decoder for AnswerCodec {
    type Item = Part;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Part>, HttpError> {
        self.part(src, Codec::decode)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Part>, HttpError> {
        let part = self.part(src, Codec::decode_eof)?;
        match part {
            None if !src.is_empty() || self.told => Err(HttpError::EndedEarly),
            part => Ok(part),
        }
    }
}

impl Encoder<&Message> for AnswerCodec {
    type Error = HttpError;

    fn encode(&mut self, message: &Message, dst: &mut BytesMut) -> Result<(), HttpError> {
        self.codec.encode(message, dst)
    }
}

impl Encoder<&Message> for Codec {
    type Error = HttpError;

    fn encode(&mut self, message: &Message, dst: &mut BytesMut) -> Result<(), HttpError> {
        let first = match &message.start {
            Start::Request(method, path) => format!("{method} {path} HTTP/1.1\r\n"),
            Start::Response(status) => format!("HTTP/1.1 {status} {}\r\n", reason(*status)),
        };
        dst.extend_from_slice(first.as_bytes());
        for (name, value) in &message.headers {
            // Guards against a value that would end the head early.
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

fn reason(status: u16) -> &'static str {
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
