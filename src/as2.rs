//! The AS2 front (RFC 4130): exchanges signed messages and signed receipts with partners, in both directions.
//!
//! It uses the same runtime as the platform's front, and so the same rules apply. It holds the partners' configuration,
//! signs and verifies messages, and matches receipts to the calls that wait for them. Invariants: it sends no message unless
//! the runtime asks for it, a receipt has no effect before its signature is verified, and a duplicate message gets the same
//! receipt as the first one.

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
use crate::rate::RateLimit;

/// Maximum size of an AS2 message in bytes: body, signature and MIME structure.
const MAX_MESSAGE_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Maximum number of receipts kept in memory, which takes about 80 MB.
const MAX_RECEIPTS: usize = 32_768;
/// Maximum number of signed error receipts in a second. Anybody can cause one, and each takes milliseconds of the only thread.
const ERROR_RECEIPTS_PER_SECOND: u32 = 10;
/// Maximum number of log lines about rejected requests in a second.
const REJECTIONS_LOGGED_PER_SECOND: u32 = 10;
/// Attempts to post an asynchronous receipt. If all fail, it is posted again when the partner resends its message.
const RECEIPT_POST_ATTEMPTS: usize = 3;
/// Timeout of one attempt to post a receipt, in microseconds.
const RECEIPT_POST_TIMEOUT_US: Micros = 5_000_000;

/// Why a message or a receipt is rejected. Partners receive these texts.
#[derive(Debug, thiserror::Error)]
pub enum As2Error {
    /// `AS2-From` or `AS2-To` names no partner that is configured for this.
    #[error("unknown-partner: {0:?}")]
    UnknownPartner(String),
    /// The message is not signed.
    #[error("insufficient-message-security: not signed")]
    NotSigned,
    /// The signature was not made with the partner's certificate.
    #[error("authentication-failed: the signature is not the partner's")]
    BadSignature,
    /// The content differs from the signed content.
    #[error("integrity-check-failed: the content differs from what was signed")]
    Integrity,
    /// The receipt has the MIC (message integrity check) of other content than was sent.
    #[error("mic-mismatch: the receipt has {got:?}, sent was {sent:?}")]
    MicMismatch {
        /// MIC in the receipt.
        got: String,
        /// MIC of the message sent.
        sent: String,
    },
    /// The receipt reports that the message was not processed.
    #[error("not-processed: {0}")]
    NotProcessed(String),
    /// Another message with this `Message-ID` was accepted.
    #[error("known Message-ID: another message with it was accepted")]
    KnownMessageId,
    /// The message or receipt cannot be parsed.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// A cryptographic operation failed.
    #[error("cryptography: {0}")]
    Crypto(#[from] ErrorStack),
}

/// How messages that a partner submits are relayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Submissions {
    /// Class of the messages.
    pub class: String,
    /// Tenant of the messages, if any.
    pub tenant: Option<String>,
    /// Number of their destination.
    pub destination: i64,
    /// Time from acceptance to the deadline, in microseconds.
    pub deadline: Micros,
}

/// An AS2 partner.
#[derive(Clone, Debug)]
pub struct Partner {
    /// AS2 name of the partner.
    pub name: String,
    /// The certificate that verifies the partner's signatures.
    pub certificate: X509,
    /// Destination whose messages are sent to this partner.
    pub destination: Option<i64>,
    /// Path of the endpoint to which they are posted.
    pub path: String,
    /// Whether they request an asynchronous receipt, which the partner posts on a connection of its own.
    pub asynchronous: bool,
    /// How messages that the partner submits are relayed; without this, it may not submit any.
    pub submissions: Option<Submissions>,
    /// Address and path to which asynchronous receipts for the partner are posted. Addresses in its messages are not used.
    pub receipt_to: Option<(Arc<str>, String)>,
}

/// The relay's own AS2 identity and its partners.
#[derive(Clone, Debug)]
pub struct Identity {
    /// AS2 name of the relay.
    pub name: String,
    /// Private key of the relay.
    pub key: PKey<Private>,
    /// Certificate of the relay.
    pub certificate: X509,
    /// URL to which partners post asynchronous receipts.
    pub receipt_url: String,
    /// Time for which receipts are kept, in microseconds.
    pub receipt_retention: Micros,
    /// All partners.
    pub partners: Vec<Partner>,
}

/// A call that is waiting for an asynchronous receipt.
struct PendingReceipt {
    partner: String,
    mic: String,
    disposition: oneshot::Sender<Disposition>,
}

/// State of receipts. Invariant: a key in `in_progress` is added to `sent` only after the store holds the receipt.
#[derive(Default)]
struct ReceiptState {
    /// Calls waiting for an asynchronous receipt, by `Message-ID`.
    waiting: HashMap<String, PendingReceipt>,
    /// Receipts sent to partners, by partner and `Message-ID`.
    sent: HashMap<String, Receipt>,
    /// Keys of messages that are being submitted to the runtime.
    in_progress: HashSet<String>,
}

/// Limits on what requests that are rejected cost.
struct RejectionLimits {
    receipts: RateLimit,
    log: RateLimit,
}

/// The AS2 front.
pub struct As2 {
    identity: Identity,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    connections: Connections,
    receipt_state: Mutex<ReceiptState>,
    rejection_limits: Mutex<RejectionLimits>,
}

/// A signed body and its `Content-Type`.
pub struct Signed {
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// The signed multipart body.
    pub body: Vec<u8>,
}

fn sha256(bytes: &[u8]) -> Result<String, ErrorStack> {
    Ok(openssl::base64::encode_block(&hash(MessageDigest::sha256(), bytes)?))
}

/// The MIME part that is signed, and whose digest is the MIC.
fn mime_part(body: &[u8]) -> Vec<u8> {
    let head = "Content-Type: application/octet-stream\r\nContent-Transfer-Encoding: binary\r\n\r\n";
    [head.as_bytes(), body].concat()
}

fn boundary(salt: &str, bytes: &[u8]) -> Result<String, ErrorStack> {
    let digest = hash(MessageDigest::sha256(), &[salt.as_bytes(), bytes].concat())?;
    Ok(hex(digest.get(..16).unwrap_or(&digest)))
}

/// Signs a MIME part, as multipart/signed.
///
/// # Errors
/// If signing fails.
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

fn find(haystack: &[u8], needle: &[u8], from: usize) -> Option<usize> {
    haystack.get(from..)?.windows(needle.len()).position(|window| window == needle).map(|at| at + from)
}

/// Verifies that a multipart/signed body was signed with `certificate`, and returns the signed part byte for byte.
///
/// # Errors
/// If the body is not signed, is malformed, or the signature or the content does not match.
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
    // The partner's certificate is configured, so neither a chain nor the certificates in the message are considered.
    let flags = Pkcs7Flags::NOVERIFY | Pkcs7Flags::NOINTERN | Pkcs7Flags::BINARY;
    match signature.verify(&certificates, &store, Some(part), None, flags) {
        Ok(()) => Ok(part.to_vec()),
        Err(error) if error.errors().iter().any(|e| e.reason() == Some("digest failure")) => {
            Err(As2Error::Integrity)
        }
        Err(_) => Err(As2Error::BadSignature),
    }
}

/// The content of a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disposition {
    /// `Message-ID` of the message that it acknowledges.
    pub original: String,
    /// The `Received-Content-MIC`, without the name of the algorithm.
    pub mic: String,
    /// The part of `Disposition` after the semicolon.
    pub disposition: String,
}

impl Disposition {
    /// Parses the report in a verified part; `None` if the part is not a receipt.
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

    /// Whether the receipt reports that the message was processed, possibly with a warning.
    fn positive(&self) -> bool {
        let (word, modifier) = self.disposition.split_once('/').unwrap_or((&self.disposition, ""));
        let fine = modifier.is_empty() || modifier.trim_start().starts_with("warning");
        word.trim() == "processed" && fine
    }

    /// The receipt as evidence for the record.
    fn evidence(&self) -> Evidence {
        let Disposition { original, mic, disposition } = self.clone();
        Evidence::Receipt { message_id: original, mic, disposition }
    }

    /// Checks that the receipt reports the message with this MIC as processed.
    ///
    /// # Errors
    /// If the message was not processed, or the MIC differs.
    pub fn check_processed(&self, mic: &str) -> Result<(), As2Error> {
        if !self.positive() {
            return Err(As2Error::NotProcessed(self.disposition.clone()));
        }
        if self.mic != mic {
            return Err(As2Error::MicMismatch { got: self.mic.clone(), sent: mic.to_string() });
        }
        Ok(())
    }
}

/// Builds the disposition report for a message, as an unsigned MIME part.
///
/// # Errors
/// If hashing fails.
pub fn disposition_report(
    by: &str, original: &str, mic: &str, disposition: &str,
) -> Result<Vec<u8>, ErrorStack> {
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

/// Adds the AS2 headers that identify both sides and the message.
pub fn with_as2_headers(message: Message, from: &str, to: &str, id: &str) -> Message {
    let name = |name: &str| if name.contains(' ') { format!("\"{name}\"") } else { name.to_string() };
    message
        .with("AS2-Version", "1.1")
        .with("MIME-Version", "1.0")
        .with("AS2-From", name(from))
        .with("AS2-To", name(to))
        .with("Message-ID", id)
}

fn as2_name(message: &Message, header: &str) -> String {
    message.header(header).unwrap_or_default().trim_matches('"').to_string()
}

impl PartnerProtocol for As2 {
    fn max_message_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES
    }

    /// Answers a request, which is a submitted message or an asynchronous receipt.
    fn respond<'a>(&'a self, request: &'a Message) -> BoxFuture<'a, Message> {
        Box::pin(self.respond(request))
    }

    fn serves_destination(&self, destination: i64) -> bool {
        self.partner_for(destination).is_some()
    }

    fn attempt<'a>(&'a self, call: &'a OutboundCall, progress: &'a mut Progress) -> BoxFuture<'a, Outcome> {
        Box::pin(async move {
            match self.partner_for(call.exchange.destination) {
                Some(partner) => self.send(call, partner, progress).await,
                None => Outcome::Skipped,
            }
        })
    }

    /// The receipt that proves delivery of a message, if its destination belongs to a partner.
    fn expected_receipt(&self, exchange: &Exchange) -> Option<Expected> {
        let partner = self.partner_for(exchange.destination)?.name.clone();
        Some(Expected { partner, mic: sha256(&mime_part(&exchange.body)).ok()? })
    }
}

impl As2 {
    /// Creates the front, with the receipts that were restored from the store.
    pub fn new(
        identity: Identity, clock: Clock, inputs: mpsc::Sender<Input>, connections: Connections,
        receipts: Vec<Receipt>,
    ) -> Self {
        let sent = receipts.into_iter().map(|receipt| (receipt.key.clone(), receipt)).collect();
        let receipt_state = Mutex::new(ReceiptState { sent, ..ReceiptState::default() });
        let rejection_limits = Mutex::new(RejectionLimits {
            receipts: RateLimit::new(ERROR_RECEIPTS_PER_SECOND),
            log: RateLimit::new(REJECTIONS_LOGGED_PER_SECOND),
        });
        As2 { identity, clock, inputs, connections, receipt_state, rejection_limits }
    }

    fn rejection_limits(&self) -> MutexGuard<'_, RejectionLimits> {
        self.rejection_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs why a request is rejected, unless too many were.
    fn log_rejection(&self, from: &str, error: &As2Error) {
        if let Some(not_logged) = self.rejection_limits().log.allow(self.clock.now()) {
            warn!(not_logged, "rejected AS2 request from {from:?}: {error}");
        }
    }

    fn receipt_state(&self) -> MutexGuard<'_, ReceiptState> {
        self.receipt_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The partner to which messages for a destination are sent.
    fn partner_for(&self, destination: i64) -> Option<&Partner> {
        self.identity.partners.iter().find(|partner| partner.destination == Some(destination))
    }

    // ---- calls to partners ----

    /// Makes one attempt: sends the signed message and waits for the receipt that proves its delivery. Without that proof the
    /// message may still have been processed.
    async fn send(&self, call: &OutboundCall, partner: &Partner, progress: &mut Progress) -> Outcome {
        let id = format!("<{}@{}>", call.exchange.id, self.identity.name);
        let (request, mic) = match self.build_request(call, partner, &id) {
            Ok(built) => built,
            Err(error) => {
                warn!(message = call.exchange.id, "{id} cannot be signed: {error}");
                return Outcome::ConnectFailed;
            }
        };
        let pending = partner.asynchronous.then(|| self.register_pending(partner, &id, &mic));
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
        if let Some(mut pending) = pending {
            // Only a verified receipt completes the call; its deadline cancels the wait.
            return match (&mut pending.disposition).await {
                Ok(disposition) => {
                    progress.receipt = Some(disposition.evidence());
                    Outcome::Ok
                }
                Err(_) => Outcome::TimedOut,
            };
        }
        let content_type = answer.header("Content-Type").unwrap_or_default();
        let proof = verify(content_type, &answer.body, &partner.certificate).and_then(|part| {
            let disposition = Disposition::read(&part).ok_or(As2Error::Malformed("no disposition"))?;
            if disposition.original != id {
                return Err(As2Error::Malformed("a receipt for another message"));
            }
            disposition.check_processed(&mic)?;
            Ok(disposition)
        });
        match proof {
            Ok(disposition) => {
                progress.receipt = Some(disposition.evidence());
                Outcome::Ok
            }
            Err(error) => {
                warn!(message = call.exchange.id, partner = partner.name, "receipt for {id}: {error}");
                Outcome::Error
            }
        }
    }

    fn build_request(
        &self, call: &OutboundCall, partner: &Partner, id: &str,
    ) -> Result<(Message, String), ErrorStack> {
        let identity = &self.identity;
        let part = mime_part(&call.exchange.body);
        let signed = sign(&part, &identity.key, &identity.certificate)?;
        let request = Message::request("POST", &partner.path)
            .with("Host", &*call.address)
            .with_idempotency_key(call.exchange.idempotency_key.as_ref());
        let mut request = with_as2_headers(request, &identity.name, &partner.name, id)
            .with("Disposition-Notification-To", &identity.name)
            .with(
                "Disposition-Notification-Options",
                "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
            )
            .with("Content-Type", signed.content_type);
        if partner.asynchronous {
            request = request.with("Receipt-Delivery-Option", &identity.receipt_url);
        }
        request.body = signed.body.into();
        Ok((request, sha256(&part)?))
    }

    fn register_pending(&self, partner: &Partner, id: &str, mic: &str) -> PendingReceiptGuard<'_> {
        let (disposition, receiver) = oneshot::channel();
        let pending_receipt =
            PendingReceipt { partner: partner.name.clone(), mic: mic.to_string(), disposition };
        self.receipt_state().waiting.insert(id.to_string(), pending_receipt);
        PendingReceiptGuard { front: self, id: id.to_string(), disposition: receiver }
    }

    // ---- requests from partners ----

    async fn respond(&self, request: &Message) -> Message {
        match self.handle_request(request).await {
            Ok(answer) => answer,
            Err(error) => {
                self.log_rejection(&as2_name(request, "AS2-From"), &error);
                let status = if matches!(error, As2Error::UnknownPartner(_)) { 403 } else { 400 };
                Message::response(status, error.to_string())
            }
        }
    }

    async fn handle_request(&self, request: &Message) -> Result<Message, As2Error> {
        let (from, to) = (as2_name(request, "AS2-From"), as2_name(request, "AS2-To"));
        if to != self.identity.name {
            return Err(As2Error::UnknownPartner(to));
        }
        let partner = self.identity.partners.iter().find(|partner| partner.name == from);
        let partner = partner.ok_or(As2Error::UnknownPartner(from))?;
        let id = request.header("Message-ID").ok_or(As2Error::Malformed("no Message-ID"))?;
        let content_type = request.header("Content-Type").unwrap_or_default();
        match verify(content_type, &request.body, &partner.certificate) {
            Ok(part) => match Disposition::read(&part) {
                Some(disposition) => self.handle_receipt(partner, &disposition, request.body.clone()).await,
                None => self.handle_submission(partner, id, &part, request).await,
            },
            // A partner that requested a receipt gets the error in a receipt; the message has no other effect. Beyond the limit the
            // error comes without one.
            Err(error) if self.sends_error_receipt(request) => {
                self.log_rejection(&partner.name, &error);
                let name = error.to_string();
                let name = name.split(':').next().unwrap_or_default();
                let disposition = format!("processed/error: {name}");
                let part = disposition_report(&self.identity.name, id, "", &disposition)?;
                self.response(partner, id, &self.signed_receipt(&part)?)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether a request that is rejected gets a signed receipt.
    fn sends_error_receipt(&self, request: &Message) -> bool {
        request.header("Disposition-Notification-To").is_some()
            && self.rejection_limits().receipts.allow(self.clock.now()).is_some()
    }

    /// Signs a receipt. The result is its `Content-Type`, a line feed and its body.
    fn signed_receipt(&self, part: &[u8]) -> Result<Bytes, ErrorStack> {
        let signed = sign(part, &self.identity.key, &self.identity.certificate)?;
        Ok([signed.content_type.as_bytes(), b"\n", &signed.body].concat().into())
    }

    fn with_receipt(&self, message: Message, partner: &Partner, id: &str, receipt: &Bytes) -> Message {
        let cut = find(receipt, b"\n", 0).unwrap_or(0);
        let content_type = String::from_utf8_lossy(receipt.get(..cut).unwrap_or_default()).into_owned();
        let id = format!("<receipt-{}", id.trim_start_matches('<'));
        let mut message = with_as2_headers(message, &self.identity.name, &partner.name, &id)
            .with("Content-Type", content_type);
        message.body = receipt.slice((cut + 1).min(receipt.len())..);
        message
    }

    fn response(&self, partner: &Partner, id: &str, receipt: &Bytes) -> Result<Message, As2Error> {
        Ok(self.with_receipt(Message::response(200, ""), partner, id, receipt))
    }

    async fn handle_submission(
        &self, partner: &Partner, id: &str, part: &[u8], request: &Message,
    ) -> Result<Message, As2Error> {
        let submissions =
            partner.submissions.as_ref().ok_or(As2Error::UnknownPartner(partner.name.clone()))?;
        let key = format!("{}\n{id}", partner.name);
        {
            let mut receipt_state = self.receipt_state();
            if let Some(receipt) = receipt_state.sent.get(&key).map(|receipt| receipt.bytes.clone()) {
                drop(receipt_state);
                // The receipt is for the content whose MIC it states; other content was not accepted.
                if find(&receipt, sha256(part)?.as_bytes(), 0).is_none() {
                    return Err(As2Error::KnownMessageId);
                }
                return self.deliver_receipt(partner, id, &receipt, request);
            }
            // Dropping a receipt early could let a duplicate through, so new messages are refused until there is room.
            if receipt_state.sent.len() + receipt_state.in_progress.len() >= MAX_RECEIPTS {
                let why = "as many receipts remembered as may be";
                return Ok(Message::response(503, why).with("Retry-After", "60"));
            }
            // The same message is being submitted concurrently, and its receipt is not stored yet.
            if !receipt_state.in_progress.insert(key.clone()) {
                return Ok(Message::response(503, "being taken on").with("Retry-After", "1"));
            }
        }
        let taken = self.submit_to_runtime(partner, submissions, id, key.clone(), part).await;
        let mut receipt_state = self.receipt_state();
        receipt_state.in_progress.remove(&key);
        match taken? {
            Err(refusal) => Ok(refusal),
            Ok(receipt) => {
                let bytes = receipt.bytes.clone();
                let now = self.clock.now();
                receipt_state.sent.retain(|_, receipt| receipt.until > now);
                receipt_state.sent.insert(key, receipt);
                drop(receipt_state);
                self.deliver_receipt(partner, id, &bytes, request)
            }
        }
    }

    async fn submit_to_runtime(
        &self, partner: &Partner, submissions: &Submissions, id: &str, key: String, part: &[u8],
    ) -> Result<Result<Receipt, Message>, As2Error> {
        let mail = mailparse::parse_mail(part).map_err(|_| As2Error::Malformed("content"))?;
        let body = mail.get_body_raw().map_err(|_| As2Error::Malformed("content encoding"))?;
        if body.len() > MAX_BODY_BYTES {
            return Ok(Err(Message::response(413, format!("the content is over {MAX_BODY_BYTES} bytes"))));
        }
        let now = self.clock.now();
        let report = disposition_report(&self.identity.name, id, &sha256(part)?, "processed")?;
        let (bytes, until) = (self.signed_receipt(&report)?, now + self.identity.receipt_retention);
        let receipt = Receipt { key, at: now, until, bytes };
        let id = format!("as2-{}", boundary(&partner.name, id.as_bytes())?);
        let exchange = Exchange {
            // Derived from the Message-ID, so that the destination also recognizes retries of the message.
            idempotency_key: id.parse().ok(),
            id,
            class: submissions.class.clone(),
            tenant: submissions.tenant.clone(),
            due: now + submissions.deadline,
            destination: submissions.destination,
            body: body.into(),
        };
        let (reply, answer) = oneshot::channel();
        let input = Input::Submitted(Arc::new(exchange), Some(receipt.clone()), reply);
        // Retry-After in whole seconds, rounded up, as RFC 9110 defines it.
        let refusal = |why: &str, after: Option<Micros>| {
            let after = after.map_or(1, |after| (after.max(1) + 999_999) / 1_000_000);
            Message::response(503, why.to_string()).with("Retry-After", after.to_string())
        };
        if self.inputs.send(input).await.is_err() {
            return Ok(Err(refusal("stopped", None)));
        }
        Ok(match answer.await {
            Ok(Answer::Accepted | Answer::AlreadyAccepted) => Ok(receipt),
            Ok(Answer::Refused(why, after)) => Err(refusal(&why, after)),
            Ok(Answer::UnknownClass) => Err(Message::response(500, "its class is no more")),
            Ok(Answer::Failed(why)) => Err(Message::response(500, why.into_owned())),
            Err(_) => Err(refusal("stopped", None)),
        })
    }

    /// Delivers a receipt in the way that the message requested: none, in the response, or by a separate post.
    fn deliver_receipt(
        &self, partner: &Partner, id: &str, receipt: &Bytes, request: &Message,
    ) -> Result<Message, As2Error> {
        if request.header("Disposition-Notification-To").is_none() {
            return Ok(Message::response(200, ""));
        }
        if request.header("Receipt-Delivery-Option").is_none() {
            return self.response(partner, id, receipt);
        }
        // Only the configured address is called, because a message could name any (server-side request forgery).
        let Some((address, path)) = partner.receipt_to.clone() else {
            return Err(As2Error::Malformed("this partner has no receipt_to for asynchronous receipts"));
        };
        let post = Message::request("POST", &path).with("Host", &*address);
        let post = self.with_receipt(post, partner, id, receipt);
        let (connections, clock, place) = (self.connections.clone(), self.clock, (address, None));
        tokio::spawn(async move {
            for _ in 0..RECEIPT_POST_ATTEMPTS {
                let by = clock.instant(clock.now() + RECEIPT_POST_TIMEOUT_US);
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

    /// Handles an asynchronous receipt: completes the call that waits for it, and records the receipt in any case.
    async fn handle_receipt(
        &self, partner: &Partner, disposition: &Disposition, bytes: Bytes,
    ) -> Result<Message, As2Error> {
        let ours = format!("@{}>", self.identity.name);
        if !disposition.original.ends_with(&ours) {
            return Err(As2Error::Malformed("a receipt for nobody's message"));
        }
        let pending_receipt = {
            let mut receipt_state = self.receipt_state();
            match receipt_state
                .waiting
                .get(&disposition.original)
                .filter(|pending_receipt| pending_receipt.partner == partner.name)
            {
                Some(pending_receipt) => {
                    disposition.check_processed(&pending_receipt.mic)?;
                    receipt_state.waiting.remove(&disposition.original)
                }
                None => None,
            }
        };
        let now = self.clock.now();
        let late = match pending_receipt
            .map(|pending_receipt| pending_receipt.disposition.send(disposition.clone()))
        {
            Some(Ok(())) => None,
            // The message has already ended. Its outcome stays, and the receipt is recorded as late evidence.
            _ => {
                info!(partner = partner.name, "late receipt for {}", disposition.original);
                let id = disposition.original.trim_start_matches('<').trim_end_matches(&ours).to_string();
                let effect = if disposition.positive() { Effect::Took } else { Effect::InDoubt };
                Some(Late {
                    id,
                    at: now,
                    kind: "receipt".into(),
                    source: partner.name.clone(),
                    effect,
                    mic: Some(disposition.mic.clone()),
                    detail: disposition.disposition.clone(),
                })
            }
        };
        let key = format!("{}\nreceipt for {}", partner.name, disposition.original);
        let receipt = Receipt { key, at: now, until: now + self.identity.receipt_retention, bytes };
        let _ = self.inputs.send(Input::Receipt(receipt, late)).await;
        Ok(Message::response(200, ""))
    }
}

/// Registration of a call that waits for a receipt, removed when the call is dropped.
struct PendingReceiptGuard<'a> {
    front: &'a As2,
    id: String,
    disposition: oneshot::Receiver<Disposition>,
}

impl Drop for PendingReceiptGuard<'_> {
    fn drop(&mut self) {
        // Invariant: a message has one attempt at a time, so the entry belongs to this call.
        self.front.receipt_state().waiting.remove(&self.id);
    }
}
