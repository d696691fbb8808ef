//! The AS2 front (RFC 4130): signed messages and signed receipts, in both directions, before the same runtime
//! and so under the same rules as the platform's front. Owns the partners, the signatures, and which call
//! waits for which receipt. It must never send a message on its own, take a receipt's word that it has not
//! verified, or tell a duplicate anything but the receipt that the first one got.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use mailparse::MailHeaderMap;
use openssl::error::ErrorStack;
use openssl::hash::{MessageDigest, hash};
use openssl::pkcs7::{Pkcs7, Pkcs7Flags};
use openssl::pkey::{PKey, Private};
use openssl::stack::Stack;
use openssl::x509::X509;
use openssl::x509::store::X509StoreBuilder;
use record::model::{Effect, Evidence, Expected, Late, hex};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::exchange::{Answer, Clock, Exchange, OutboundCall, Receipt};
use crate::input::Input;
use crate::interface::{Micros, Outcome};
use crate::net::connections::{Connections, retry_after};
use crate::net::http::{MAX_BODY_BYTES, Message, Start};
use crate::net::progress::Progress;
use crate::net::{BoxFuture, PartnerProtocol};

/// An AS2 message may have so many bytes: a body, its signature and the frame around both.
const MOST_MESSAGE: usize = 4 * MAX_BODY_BYTES;
/// So many receipts are remembered at once, in some 80 MB.
const MOST_RECEIPTS: usize = 32_768;
/// An asynchronous receipt is posted so often; after that the partner's own resend brings it again.
const RECEIPT_POSTS: usize = 3;
/// What may be out of a post's time for a receipt.
const RECEIPT_POST: Micros = 5_000_000;

/// Why a message or a receipt has no effect.
#[derive(Debug, thiserror::Error)]
pub enum As2Error {
    /// `AS2-From` or `AS2-To` names nobody that is configured for it.
    #[error("unknown-partner: {0:?}")]
    UnknownPartner(String),
    /// There is no signature.
    #[error("insufficient-message-security: not signed")]
    NotSigned,
    /// The signature is not the partner's.
    #[error("authentication-failed: the signature is not the partner's")]
    BadSignature,
    /// What was signed is not what came.
    #[error("integrity-check-failed: the content differs from what was signed")]
    Integrity,
    /// A receipt is for other content than was sent.
    #[error("mic-mismatch: the receipt has {got:?}, sent was {sent:?}")]
    MicMismatch {
        /// In the receipt.
        got: String,
        /// Of what was sent.
        sent: String,
    },
    /// A receipt says that the message was not processed.
    #[error("not-processed: {0}")]
    NotProcessed(String),
    /// It cannot be read.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The cryptography failed.
    #[error("cryptography: {0}")]
    Crypto(#[from] ErrorStack),
}

/// What becomes of the messages that a partner hands in.
#[derive(Clone, Debug, PartialEq)]
pub struct HandsIn {
    /// Their class.
    pub class: String,
    /// Their tenant.
    pub tenant: Option<String>,
    /// Their destination.
    pub destination: i64,
    /// They may be delivered for so long.
    pub deadline: Micros,
}

/// A partner.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Its AS2 name.
    pub name: String,
    /// Only signatures by this certificate are its.
    pub certificate: X509,
    /// Messages for this destination go to it ...
    pub destination: Option<i64>,
    /// ... at this path of the endpoint ...
    pub path: String,
    /// ... and ask for a receipt that comes later, by a call of the partner.
    pub asynchronous: bool,
    /// What becomes of the messages that it hands in.
    pub hands_in: Option<HandsIn>,
    /// Where its receipts go if it asks for them asynchronously: address and path. No other place is called.
    pub receipt_to: Option<(Arc<str>, String)>,
}

/// Who this relay is, and whom it knows.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The relay's AS2 name.
    pub name: String,
    /// Its key.
    pub key: PKey<Private>,
    /// Its certificate.
    pub certificate: X509,
    /// Where partners post asynchronous receipts.
    pub receipt_url: String,
    /// Receipts are remembered for so long.
    pub remember: Micros,
    /// The partners.
    pub partners: Vec<Partner>,
}

/// A call that waits for an asynchronous receipt.
struct Waiting {
    partner: String,
    mic: String,
    verdict: oneshot::Sender<Disposition>,
}

/// What is known of receipts. Invariant: a key in `busy` is in `given` only after the store holds it.
#[derive(Default)]
struct Books {
    waiting: HashMap<String, Waiting>,
    given: HashMap<String, Receipt>,
    busy: HashSet<String>,
}

/// The front.
pub struct As2 {
    identity: Identity,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    connections: Connections,
    books: Mutex<Books>,
}

/// Signed content and the headers it needs.
pub struct Signed {
    /// `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

fn sha256(bytes: &[u8]) -> Result<String, ErrorStack> {
    Ok(openssl::base64::encode_block(&hash(MessageDigest::sha256(), bytes)?))
}

/// The part that is signed, and over which the MIC is taken.
fn content(body: &[u8]) -> Vec<u8> {
    let head = "Content-Type: application/octet-stream\r\nContent-Transfer-Encoding: binary\r\n\r\n";
    [head.as_bytes(), body].concat()
}

fn boundary(salt: &str, bytes: &[u8]) -> Result<String, ErrorStack> {
    let digest = hash(MessageDigest::sha256(), &[salt.as_bytes(), bytes].concat())?;
    Ok(hex(digest.get(..16).unwrap_or(&digest)))
}

/// A MIME part, signed as multipart/signed.
///
/// # Errors
/// Where the key cannot sign.
pub fn sign(part: &[u8], key: &PKey<Private>, certificate: &X509) -> Result<Signed, ErrorStack> {
    let flags = Pkcs7Flags::DETACHED | Pkcs7Flags::BINARY;
    let none = Stack::new()?;
    let signature = Pkcs7::sign(certificate, key, &none, part, flags)?.to_der()?;
    let boundary = boundary("signed", part)?;
    let mut body = format!("--{boundary}\r\n").into_bytes();
    body.extend_from_slice(part);
    body.extend_from_slice(
        format!(
            "\r\n--{boundary}\r\nContent-Type: application/pkcs7-signature; name=smime.p7s\r\n\
             Content-Transfer-Encoding: base64\r\n\r\n{}\r\n--{boundary}--\r\n",
            openssl::base64::encode_block(&signature)
        )
        .as_bytes(),
    );
    let content_type = format!(
        "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"{boundary}\""
    );
    Ok(Signed { content_type, body })
}

fn find(hay: &[u8], needle: &[u8], from: usize) -> Option<usize> {
    hay.get(from..)?.windows(needle.len()).position(|window| window == needle).map(|at| at + from)
}

/// The signed part, byte for byte, once its signature has proved to be by `certificate`.
///
/// # Errors
/// Named by what is wrong.
pub fn verify(content_type: &str, body: &[u8], certificate: &X509) -> Result<Vec<u8>, As2Error> {
    let kind = mailparse::parse_content_type(content_type);
    if kind.mimetype != "multipart/signed" {
        return Err(As2Error::NotSigned);
    }
    let boundary = kind.params.get("boundary").ok_or(As2Error::Malformed("no boundary"))?;
    let open = format!("--{boundary}\r\n");
    let between = format!("\r\n--{boundary}\r\n");
    let close = format!("\r\n--{boundary}--");
    let cut = || {
        let start =
            if body.starts_with(open.as_bytes()) { 0 } else { find(body, between.as_bytes(), 0)? + 2 };
        let start = start + open.len();
        let middle = find(body, between.as_bytes(), start)?;
        let end = find(body, close.as_bytes(), middle)?;
        Some((body.get(start..middle)?, body.get(middle + between.len()..end)?))
    };
    let (part, signature) = cut().ok_or(As2Error::Malformed("not two parts"))?;
    let signature = mailparse::parse_mail(signature).and_then(|mail| mail.get_body_raw());
    let signature = signature.map_err(|_| As2Error::Malformed("signature part"))?;
    let signature = Pkcs7::from_der(&signature).map_err(|_| As2Error::Malformed("signature"))?;
    let mut certificates = Stack::new()?;
    certificates.push(certificate.clone())?;
    let store = X509StoreBuilder::new()?.build();
    // The partner's certificate is known beforehand: no chain, and none that the message brings counts.
    let flags = Pkcs7Flags::NOVERIFY | Pkcs7Flags::NOINTERN | Pkcs7Flags::BINARY;
    match signature.verify(&certificates, &store, Some(part), None, flags) {
        Ok(()) => Ok(part.to_vec()),
        Err(error) if error.errors().iter().any(|e| e.reason() == Some("digest failure")) => {
            Err(As2Error::Integrity)
        }
        Err(_) => Err(As2Error::BadSignature),
    }
}

/// What a receipt says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disposition {
    /// The `Message-ID` that it is for.
    pub original: String,
    /// Its `Received-Content-MIC`, without the name of the algorithm.
    pub mic: String,
    /// What follows the semicolon of its `Disposition`.
    pub disposition: String,
}

impl Disposition {
    /// Reads the report in a verified part; `None` where it is no receipt.
    pub fn read(part: &[u8]) -> Option<Self> {
        let mail = mailparse::parse_mail(part).ok()?;
        let wanted = "message/disposition-notification";
        let report = mail.subparts.iter().find(|part| part.ctype.mimetype == wanted)?.get_body_raw().ok()?;
        let (fields, _) = mailparse::parse_headers(&report).ok()?;
        let field = |name: &str| fields.get_first_value(name);
        let mic = field("Received-Content-MIC").unwrap_or_default();
        let disposition = field("Disposition")?;
        Some(Disposition {
            original: field("Original-Message-ID")?.trim().to_string(),
            mic: mic.split(',').next().unwrap_or_default().trim().to_string(),
            disposition: disposition.split(';').nth(1).unwrap_or_default().trim().to_string(),
        })
    }

    /// Whether it says that the message was processed.
    fn positive(&self) -> bool {
        let (word, modifier) = self.disposition.split_once('/').unwrap_or((&self.disposition, ""));
        let fine = modifier.is_empty() || modifier.trim_start().starts_with("warning");
        word.trim() == "processed" && fine
    }

    /// As evidence.
    fn evidence(&self) -> Evidence {
        let Disposition { original, mic, disposition } = self.clone();
        Evidence::Receipt { message_id: original, mic, disposition }
    }

    /// Whether it proves that what was sent was processed.
    ///
    /// # Errors
    /// Named by what speaks against it.
    pub fn proves(&self, mic: &str) -> Result<(), As2Error> {
        if !self.positive() {
            return Err(As2Error::NotProcessed(self.disposition.clone()));
        }
        if self.mic != mic {
            return Err(As2Error::MicMismatch { got: self.mic.clone(), sent: mic.to_string() });
        }
        Ok(())
    }
}

/// A report for a message, as a MIME part that is ready to be signed.
///
/// # Errors
/// Where nothing can be hashed.
pub fn report(by: &str, original: &str, mic: &str, disposition: &str) -> Result<Vec<u8>, ErrorStack> {
    let boundary = boundary("report", original.as_bytes())?;
    Ok(format!(
        "Content-Type: multipart/report; report-type=disposition-notification; boundary=\"{boundary}\"\r\n\r\n\
         --{boundary}\r\nContent-Type: text/plain\r\n\r\nThe message {original}: {disposition}.\r\n\
         --{boundary}\r\nContent-Type: message/disposition-notification\r\n\r\n\
         Reporting-UA: tulipfall\r\nOriginal-Recipient: rfc822; {by}\r\nFinal-Recipient: rfc822; {by}\r\n\
         Original-Message-ID: {original}\r\n\
         Disposition: automatic-action/MDN-sent-automatically; {disposition}\r\n\
         Received-Content-MIC: {mic}, sha-256\r\n\r\n--{boundary}--\r\n"
    )
    .into_bytes())
}

/// The headers that name both sides and the message.
pub fn addressed(message: Message, from: &str, to: &str, id: &str) -> Message {
    let name = |name: &str| if name.contains(' ') { format!("\"{name}\"") } else { name.to_string() };
    message
        .with("AS2-Version", "1.1")
        .with("MIME-Version", "1.0")
        .with("AS2-From", name(from))
        .with("AS2-To", name(to))
        .with("Message-ID", id)
}

fn named(message: &Message, header: &str) -> String {
    message.header(header).unwrap_or_default().trim_matches('"').to_string()
}

impl PartnerProtocol for As2 {
    fn max_message_bytes(&self) -> usize {
        MOST_MESSAGE
    }

    /// Answers one request: a message handed in, or an asynchronous receipt.
    fn respond<'a>(&'a self, request: &'a Message) -> BoxFuture<'a, Message> {
        Box::pin(self.answered(request))
    }

    fn serves_destination(&self, destination: i64) -> bool {
        self.partner_of(destination).is_some()
    }

    fn attempt<'a>(&'a self, call: &'a OutboundCall, progress: &'a mut Progress) -> BoxFuture<'a, Outcome> {
        Box::pin(async move {
            match self.partner_of(call.exchange.destination) {
                Some(partner) => self.call(call, partner, progress).await,
                None => Outcome::Skipped,
            }
        })
    }

    /// The receipt that proves a message, where a partner serves its destination.
    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected> {
        let partner = self.partner_of(exchange.destination)?.name.clone();
        Some(Expected { partner, mic: sha256(&content(&exchange.body)).ok()? })
    }
}

impl As2 {
    /// With the receipts that the store remembers.
    pub fn new(
        identity: Identity, clock: Clock, inputs: mpsc::Sender<Input>, connections: Connections,
        receipts: Vec<Receipt>,
    ) -> Self {
        let given = receipts.into_iter().map(|receipt| (receipt.key.clone(), receipt)).collect();
        let books = Mutex::new(Books { given, ..Books::default() });
        As2 { identity, clock, inputs, connections, books }
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The partner to whom messages for a destination go.
    fn partner_of(&self, destination: i64) -> Option<&Partner> {
        self.identity.partners.iter().find(|partner| partner.destination == Some(destination))
    }

    // ---- calls to partners ----

    /// One attempt: a signed message, and the receipt that proves it delivered. What is not proved may have run.
    async fn call(&self, call: &OutboundCall, partner: &Partner, progress: &mut Progress) -> Outcome {
        let id = format!("<{}@{}>", call.exchange.id, self.identity.name);
        let (request, mic) = match self.message(call, partner, &id) {
            Ok(built) => built,
            Err(error) => {
                warn!(message = call.exchange.id, "{id} cannot be signed: {error}");
                return Outcome::ConnectFailed;
            }
        };
        let waits = partner.asynchronous.then(|| self.wait(partner, &id, &mic));
        let answer = match self
            .connections
            .call_and_settle(&(call.address.clone(), Some(call.target)), Some(call), || request, progress)
            .await
        {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        match answer.start {
            Start::Response(200..=299) => {}
            Start::Response(429 | 503) => return Outcome::Full(retry_after(&answer)),
            _ => return Outcome::Error,
        }
        if let Some(mut waits) = waits {
            // Nothing but a verified receipt ends this; the call's deadline ends the wait for it.
            return match (&mut waits.verdict).await {
                Ok(said) => {
                    progress.receipt = Some(said.evidence());
                    Outcome::Ok
                }
                Err(_) => Outcome::TimedOut,
            };
        }
        let content_type = answer.header("Content-Type").unwrap_or_default();
        let proof = verify(content_type, &answer.body, &partner.certificate).and_then(|part| {
            let said = Disposition::read(&part).ok_or(As2Error::Malformed("no disposition"))?;
            if said.original != id {
                return Err(As2Error::Malformed("a receipt for another message"));
            }
            said.proves(&mic)?;
            Ok(said)
        });
        match proof {
            Ok(said) => {
                progress.receipt = Some(said.evidence());
                Outcome::Ok
            }
            Err(error) => {
                warn!(message = call.exchange.id, partner = partner.name, "receipt for {id}: {error}");
                Outcome::Error
            }
        }
    }

    fn message(
        &self, call: &OutboundCall, partner: &Partner, id: &str,
    ) -> Result<(Message, String), ErrorStack> {
        let me = &self.identity;
        let part = content(&call.exchange.body);
        let signed = sign(&part, &me.key, &me.certificate)?;
        let request = Message::request("POST", &partner.path)
            .with("Host", &*call.address)
            .with_idempotency_key(call.exchange.idempotency_key.as_ref());
        let mut request = addressed(request, &me.name, &partner.name, id)
            .with("Disposition-Notification-To", &me.name)
            .with(
                "Disposition-Notification-Options",
                "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
            )
            .with("Content-Type", signed.content_type);
        if partner.asynchronous {
            request = request.with("Receipt-Delivery-Option", &me.receipt_url);
        }
        request.body = signed.body.into();
        Ok((request, sha256(&part)?))
    }

    fn wait(&self, partner: &Partner, id: &str, mic: &str) -> Waits<'_> {
        let (verdict, verdict_comes) = oneshot::channel();
        let waiting = Waiting { partner: partner.name.clone(), mic: mic.to_string(), verdict };
        self.books().waiting.insert(id.to_string(), waiting);
        Waits { front: self, id: id.to_string(), verdict: verdict_comes }
    }

    // ---- what partners post ----

    async fn answered(&self, request: &Message) -> Message {
        match self.take(request).await {
            Ok(answer) => answer,
            Err(error) => {
                warn!("from {:?}: {error}", named(request, "AS2-From"));
                let status = if matches!(error, As2Error::UnknownPartner(_)) { 403 } else { 400 };
                Message::response(status, error.to_string())
            }
        }
    }

    async fn take(&self, request: &Message) -> Result<Message, As2Error> {
        let (from, to) = (named(request, "AS2-From"), named(request, "AS2-To"));
        if to != self.identity.name {
            return Err(As2Error::UnknownPartner(to));
        }
        let partner = self.identity.partners.iter().find(|partner| partner.name == from);
        let partner = partner.ok_or(As2Error::UnknownPartner(from))?;
        let id = request.header("Message-ID").ok_or(As2Error::Malformed("no Message-ID"))?;
        let content_type = request.header("Content-Type").unwrap_or_default();
        match verify(content_type, &request.body, &partner.certificate) {
            Ok(part) => match Disposition::read(&part) {
                Some(said) => self.receipt_came(partner, &said, request.body.clone()).await,
                None => self.handed_in(partner, id, &part, request).await,
            },
            // Who asks for a receipt hears the error in one, and it has no other effect.
            Err(error) if request.header("Disposition-Notification-To").is_some() => {
                warn!(partner = partner.name, "{id}: {error}");
                let name = error.to_string();
                let name = name.split(':').next().unwrap_or_default();
                let disposition = format!("processed/error: {name}");
                let part = report(&self.identity.name, id, "", &disposition)?;
                self.response(partner, id, &self.signed_receipt(&part)?)
            }
            Err(error) => Err(error),
        }
    }

    /// A receipt's bytes: its `Content-Type`, a line end, its body.
    fn signed_receipt(&self, part: &[u8]) -> Result<Bytes, ErrorStack> {
        let signed = sign(part, &self.identity.key, &self.identity.certificate)?;
        Ok([signed.content_type.as_bytes(), b"\n", &signed.body].concat().into())
    }

    fn with_receipt(&self, message: Message, partner: &Partner, id: &str, receipt: &Bytes) -> Message {
        let cut = find(receipt, b"\n", 0).unwrap_or(0);
        let content_type = String::from_utf8_lossy(receipt.get(..cut).unwrap_or_default()).into_owned();
        let id = format!("<receipt-{}", id.trim_start_matches('<'));
        let mut message =
            addressed(message, &self.identity.name, &partner.name, &id).with("Content-Type", content_type);
        message.body = receipt.slice((cut + 1).min(receipt.len())..);
        message
    }

    fn response(&self, partner: &Partner, id: &str, receipt: &Bytes) -> Result<Message, As2Error> {
        Ok(self.with_receipt(Message::response(200, ""), partner, id, receipt))
    }

    async fn handed_in(
        &self, partner: &Partner, id: &str, part: &[u8], request: &Message,
    ) -> Result<Message, As2Error> {
        let hands_in = partner.hands_in.as_ref().ok_or(As2Error::UnknownPartner(partner.name.clone()))?;
        let key = format!("{}\n{id}", partner.name);
        {
            let mut books = self.books();
            if let Some(receipt) = books.given.get(&key).map(|receipt| receipt.bytes.clone()) {
                drop(books);
                return self.deliver(partner, id, &receipt, request);
            }
            // Forgetting one early could let a duplicate through, so that new messages wait for room instead.
            if books.given.len() + books.busy.len() >= MOST_RECEIPTS {
                let why = "as many receipts remembered as may be";
                return Ok(Message::response(503, why).with("Retry-After", "60"));
            }
            // The same message is being taken on just now: its receipt is not stored yet.
            if !books.busy.insert(key.clone()) {
                return Ok(Message::response(503, "being taken on").with("Retry-After", "1"));
            }
        }
        let taken = self.hand_to_runtime(partner, hands_in, id, key.clone(), part).await;
        let mut books = self.books();
        books.busy.remove(&key);
        match taken? {
            Err(refusal) => Ok(refusal),
            Ok(receipt) => {
                let bytes = receipt.bytes.clone();
                let now = self.clock.now();
                books.given.retain(|_, receipt| receipt.until > now);
                books.given.insert(key, receipt);
                drop(books);
                self.deliver(partner, id, &bytes, request)
            }
        }
    }

    async fn hand_to_runtime(
        &self, partner: &Partner, hands_in: &HandsIn, id: &str, key: String, part: &[u8],
    ) -> Result<Result<Receipt, Message>, As2Error> {
        let mail = mailparse::parse_mail(part).map_err(|_| As2Error::Malformed("content"))?;
        let body = mail.get_body_raw().map_err(|_| As2Error::Malformed("content encoding"))?;
        if body.len() > MAX_BODY_BYTES {
            return Ok(Err(Message::response(413, format!("the content is over {MAX_BODY_BYTES} bytes"))));
        }
        let now = self.clock.now();
        let report = report(&self.identity.name, id, &sha256(part)?, "processed")?;
        let (bytes, until) = (self.signed_receipt(&report)?, now + self.identity.remember);
        let receipt = Receipt { key, at: now, until, bytes };
        let id = format!("as2-{}", boundary(&partner.name, id.as_bytes())?);
        let exchange = Exchange {
            // The same Message-ID is the same message: what is made of it tells its repeats at the destination, too.
            idempotency_key: id.parse().ok(),
            id,
            class: hands_in.class.clone(),
            tenant: hands_in.tenant.clone(),
            due: now + hands_in.deadline,
            destination: hands_in.destination,
            body: body.into(),
        };
        let (reply, answer) = oneshot::channel();
        let input = Input::Handed(Arc::new(exchange), Some(receipt.clone()), reply);
        // In whole seconds, as partners read them.
        let refusal = |why: &str, after: Option<Micros>| {
            let after = after.map_or(1, |after| (after.max(1) + 999_999) / 1_000_000);
            Message::response(503, why.to_string()).with("Retry-After", after.to_string())
        };
        if self.inputs.send(input).await.is_err() {
            return Ok(Err(refusal("stopped", None)));
        }
        Ok(match answer.await {
            Ok(Answer::Taken | Answer::TakenBefore) => Ok(receipt),
            Ok(Answer::Refused(why, after)) => Err(refusal(&why, after)),
            Ok(Answer::Unknown) => Err(Message::response(500, "its class is no more")),
            Ok(Answer::Failed(why)) => Err(Message::response(500, why.into_owned())),
            Err(_) => Err(refusal("stopped", None)),
        })
    }

    /// Brings a receipt to who asked for one, in the way that it asked for.
    fn deliver(
        &self, partner: &Partner, id: &str, receipt: &Bytes, request: &Message,
    ) -> Result<Message, As2Error> {
        if request.header("Disposition-Notification-To").is_none() {
            return Ok(Message::response(200, ""));
        }
        if request.header("Receipt-Delivery-Option").is_none() {
            return self.response(partner, id, receipt);
        }
        // Guards against being sent to call whatever a message names.
        let Some((address, path)) = partner.receipt_to.clone() else {
            return Err(As2Error::Malformed("this partner has no receipt_to for asynchronous receipts"));
        };
        let post = Message::request("POST", &path).with("Host", &*address);
        let post = self.with_receipt(post, partner, id, receipt);
        let (connections, clock, place) = (self.connections.clone(), self.clock, (address, None));
        tokio::spawn(async move {
            for _ in 0..RECEIPT_POSTS {
                let by = clock.instant(clock.now() + RECEIPT_POST);
                let mut progress = Progress::default();
                let asked = connections.call_and_settle(&place, None, || post.clone(), &mut progress);
                let asked = tokio::time::timeout_at(by, asked).await;
                if matches!(asked, Ok(Ok(answer)) if matches!(answer.start, Start::Response(200..=299))) {
                    return;
                }
                tokio::time::sleep_until(by).await;
            }
        });
        Ok(Message::response(200, ""))
    }

    /// A receipt that came by itself: it ends the call that waits for it, and is recorded in any case.
    async fn receipt_came(
        &self, partner: &Partner, said: &Disposition, bytes: Bytes,
    ) -> Result<Message, As2Error> {
        let ours = format!("@{}>", self.identity.name);
        if !said.original.ends_with(&ours) {
            return Err(As2Error::Malformed("a receipt for nobody's message"));
        }
        let waiting = {
            let mut books = self.books();
            match books.waiting.get(&said.original).filter(|waiting| waiting.partner == partner.name) {
                Some(waiting) => {
                    said.proves(&waiting.mic)?;
                    books.waiting.remove(&said.original)
                }
                None => None,
            }
        };
        let now = self.clock.now();
        let late = match waiting.map(|waiting| waiting.verdict.send(said.clone())) {
            Some(Ok(())) => None,
            // Its message's time is up, or it ended: what was answered stays, and the record tells what is known.
            _ => {
                info!(partner = partner.name, "late receipt for {}", said.original);
                let id = said.original.trim_start_matches('<').trim_end_matches(&ours).to_string();
                let effect = if said.positive() { Effect::Took } else { Effect::InDoubt };
                Some(Late {
                    id,
                    at: now,
                    kind: "receipt".into(),
                    source: partner.name.clone(),
                    effect,
                    mic: Some(said.mic.clone()),
                    detail: said.disposition.clone(),
                })
            }
        };
        let key = format!("{}\nreceipt for {}", partner.name, said.original);
        let receipt = Receipt { key, at: now, until: now + self.identity.remember, bytes };
        let _ = self.inputs.send(Input::Receipt(receipt, late)).await;
        Ok(Message::response(200, ""))
    }
}

/// A call's place among those that wait; it is given up with the call.
struct Waits<'a> {
    front: &'a As2,
    id: String,
    verdict: oneshot::Receiver<Disposition>,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        // Invariant: one attempt of a message at a time, so that the place is this call's own.
        self.front.books().waiting.remove(&self.id);
    }
}
