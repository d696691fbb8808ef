//! The relay's side of the record of ended messages: the outbox of entries, the limit on new messages while the database is
//! behind, and the start of the writer. Messages never wait for the database.

use std::path::Path;
use std::time::Duration;

use openssl::sha::sha256;
use record::model::{Effect, Entry, Evidence, Expected, Final, Trace, hex};
use record::service::{Handle, Options, Standing};
use record::sql::Target;
use record::store::Record;
use record::writer::{Failure, Figures};
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::exchange::{Answer, Clock, Exchange};
use crate::input::Input;
use crate::interface::{Decision, Micros, Outcome, Settings};
use crate::retry::{RetryableError, retry_transient};
use crate::standing::ProcessStatus;
use crate::store::{AttemptEnd, Journal, takeover};

/// Divisor of the disk space: one part is the maximum for entries that wait for the database.
const DISK_DIVISOR: u64 = 4;
/// Divisor of the memory: one part is the maximum for entries that wait for the database.
const MEMORY_DIVISOR: u64 = 16;
/// Typical size of the entry for one message's end, in bytes.
const TYPICAL_ENTRY_BYTES: u64 = 2048;
/// Time for which a start waits for a database that does not answer, in microseconds. The relay then starts without it.
const CONNECT_TIMEOUT: Micros = 3_000_000;
/// Time for which a start retries to open a database that is busy or full.
const OPEN_RETRY_PERIOD: Duration = Duration::from_secs(3);
/// Shortest retry advice to clients that are refused for lack of room, in microseconds.
const MIN_RETRY_ADVICE: Micros = 100_000;

/// Where and how the ends of messages are recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recording {
    /// The database.
    pub target: Target,
    /// Time for which messages with a certain outcome are kept, in microseconds; for ever if not set.
    pub keep: Option<Micros>,
    /// Whether the oldest messages with a certain outcome are deleted when the database is full.
    pub drop_oldest: bool,
}

/// The entries that the runtime passes to the writer, and the limit on new messages while they wait.
#[derive(Debug)]
pub struct Outbox {
    handle: Handle,
    next: u64,
    /// Maximum number of bytes of entries that wait for the database.
    max_bytes: u64,
    max_retry_advice: Option<Micros>,
}

impl Outbox {
    /// Creates an outbox whose numbers continue after `last`. `disk` and `memory` are the space available, in bytes.
    pub fn new(handle: Handle, last: u64, settings: &Settings, disk: u64, memory: usize) -> Self {
        let max_bytes = (disk / DISK_DIVISOR).min(memory as u64 / MEMORY_DIVISOR);
        Outbox { handle, next: last + 1, max_bytes, max_retry_advice: settings.max_retry_after }
    }

    /// Assigns the number of the next entry.
    pub fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next - 1
    }

    /// Passes an entry to the writer, once the journal holds it.
    pub fn send(&self, number: u64, entry: Entry) {
        self.handle.hand(number, entry);
    }

    /// The answer to new messages if none may be accepted now, with `waiting` bytes of entries and `held` messages held.
    pub fn refusal(&self, waiting: u64, held: usize) -> Option<Answer> {
        if *self.handle.standing().borrow() == Standing::Fenced {
            return Some(Answer::Refused("another process holds this relay's name".into(), None));
        }
        let full = waiting + (held as u64 + 1) * TYPICAL_ENTRY_BYTES > self.max_bytes;
        full.then(|| Answer::Refused("the record is behind".into(), Some(self.retry_advice())))
    }

    /// Time after which there should be room again, in microseconds.
    pub fn retry_advice(&self) -> Micros {
        let after = self.handle.health().room_after().max(MIN_RETRY_ADVICE);
        self.max_retry_advice.map_or(after, |max| after.min(max))
    }

    /// The entry for the end of a message. `non_idempotent` is whether it must not take effect twice.
    pub fn end(
        &self, exchange: &Exchange, non_idempotent: bool, trace: Trace,
        (at, outcome): (Micros, record::model::Outcome), receipt: Option<Expected>,
    ) -> Entry {
        Entry::Ended(Box::new(Final {
            id: exchange.id.clone(),
            class: exchange.class.clone(),
            once: non_idempotent,
            tenant: exchange.tenant.clone(),
            destination: exchange.destination,
            ended_at: at,
            outcome,
            receipt,
            body_length: i64::try_from(exchange.body.len()).unwrap_or(i64::MAX),
            body_sha256: hex(&sha256(&exchange.body)),
            trace,
            imported: false,
        }))
    }
}

/// The end of an attempt, as it is recorded.
pub fn attempt_end(at: Micros, outcome: Outcome, verdict: Decision, evidence: Evidence) -> AttemptEnd {
    let result = match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Crowded => "crowded",
        Outcome::Full(_) => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Spoilt => "spoilt",
        Outcome::Cancelled => "cancelled",
        Outcome::Skipped => "skipped",
    };
    let effect = match verdict {
        Decision::Delivered => Effect::Took,
        verdict if verdict.may_have_run() => Effect::InDoubt,
        Decision::EndedElsewhere
        | Decision::MayHaveEnded
        | Decision::AttemptsExhausted { .. }
        | Decision::Pending { .. } => Effect::Never,
    };
    AttemptEnd { at, result: result.into(), effect, evidence: evidence.bounded() }
}

/// The record cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// Another process holds the relay's name.
    #[error("another process holds the name {0:?} in the record at {1}")]
    NameHeld(String, String),
    /// The database cannot be used, or cannot be read at the first start.
    #[error("record at {target}: {failure}")]
    Record {
        /// The database.
        target: String,
        /// The cause.
        failure: Failure,
    },
    /// A file cannot be read or written.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// The cause.
        error: std::io::Error,
    },
}

/// The database cannot be opened.
struct OpenError(Failure);

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl RetryableError for OpenError {
    /// A full disk and a database locked by another client may be transient.
    fn is_retryable(&self, elapsed: Duration) -> bool {
        matches!(self.0, Failure::Busy(_) | Failure::Full(_)) && elapsed < OPEN_RETRY_PERIOD
    }
}

impl RetryableError for RecordingError {
    fn is_retryable(&self, elapsed: Duration) -> bool {
        match self {
            RecordingError::File { error, .. } => error.is_retryable(elapsed),
            RecordingError::NameHeld(..) | RecordingError::Record { .. } => false,
        }
    }
}

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> RecordingError {
    let file = path.display().to_string();
    move |error| RecordingError::File { file, error }
}

/// The id under which the processes of this state folder hold the relay's name in the record. Created at the first start.
fn holder(state: &Path) -> Result<String, RecordingError> {
    let path = state.join("record-holder");
    match std::fs::read_to_string(&path) {
        Ok(text) if !text.trim().is_empty() => return Ok(text.trim().to_string()),
        Ok(_) => {}
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => return Err(file_error(&path)(error)),
    }
    let mut random = [0; 16];
    openssl::rand::rand_bytes(&mut random)
        .map_err(|error| file_error(&path)(std::io::Error::other(error.to_string())))?;
    let text = hex(&random);
    // Written to another file and renamed, so that a crash leaves no partial file.
    let new_file = state.join("record-holder.new");
    std::fs::write(&new_file, &text).map_err(file_error(&new_file))?;
    std::fs::rename(&new_file, &path).map_err(file_error(&path))?;
    Ok(text)
}

/// The record of a running relay.
pub struct Started {
    /// The writer's handle for the runtime.
    pub handle: Handle,
}

/// Starts the writer, waits until it holds the relay's name or the database does not answer, and takes over what an older
/// program stored in the database. Also returns the numbers of entries as they are written.
///
/// # Errors
/// If another process holds the folder or the name, or the record cannot be used.
pub async fn start(
    recording: &Recording, relay: &str, state: &Path, seed: u64, clock: Clock, status: &ProcessStatus,
    journal: &mut Journal,
) -> Result<(Started, mpsc::UnboundedReceiver<Vec<u64>>), RecordingError> {
    let target = recording.target.to_string();
    let marker = state.join("record-taken-over");
    let new = !marker.exists();
    let unusable = |failure| RecordingError::Record { target: target.clone(), failure };
    let opened = retry_transient("record", status, async || {
        Record::open(&recording.target, relay).await.map_err(OpenError)
    });
    match opened.await.map_err(|OpenError(failure)| failure) {
        Ok(_) => {}
        // The first start needs the database, for what an older program left there.
        Err(failure) if new || matches!(failure, Failure::Schema(_)) => return Err(unusable(failure)),
        Err(failure) => {
            warn!(
                "record at {target}: {failure}; the relay serves without it and keeps the ends of messages in the journal"
            )
        }
    }
    let figures = Figures::default();
    let options = Options {
        target: recording.target.clone(),
        relay: relay.to_string(),
        holder: retry_transient("record", status, async || holder(state)).await?,
        seed,
        figures,
        drop_oldest: recording.drop_oldest,
        keep: recording.keep,
    };
    let (written, numbers) = mpsc::unbounded_channel();
    let handle = record::service::start(options, written).map_err(file_error(Path::new("thread")))?;
    let mut standing = handle.standing();
    let unreachable_at = clock.instant(clock.now() + CONNECT_TIMEOUT);
    let lease_expires = clock.instant(clock.now() + 2 * figures.lease);
    let name_held = || RecordingError::NameHeld(relay.to_string(), target.clone());
    loop {
        let now = *standing.borrow_and_update();
        let until = match now {
            Standing::Held(_) => break,
            Standing::Connecting => unreachable_at,
            // A dead holder is silent for a whole lease; a live one keeps this process from starting.
            Standing::Other { lives: false } => lease_expires,
            Standing::Other { lives: true } | Standing::Fenced => return Err(name_held()),
        };
        match tokio::time::timeout_at(until, standing.changed()).await {
            Ok(Ok(())) => {}
            _ if matches!(now, Standing::Other { .. }) => return Err(name_held()),
            _ if new => return Err(unusable(Failure::Down("no answer".into()))),
            _ => {
                warn!(
                    "record at {target}: no answer yet; the relay serves without it and keeps the ends of messages in the journal"
                );
                break;
            }
        }
    }
    // Only the holder of the name may take over what an older program left under it.
    if new {
        let mut record = Record::open(&recording.target, relay).await.map_err(&unusable)?;
        let taken = takeover::run(&mut record, relay, journal, clock.now()).await.map_err(&unusable)?;
        if taken != takeover::Imported::default() {
            info!(
                "record at {target}: took over {} unfinished and {} finished messages",
                taken.unfinished, taken.finished
            );
        }
        let text = format!("{} {}\n", taken.unfinished, taken.finished);
        let mark = async || std::fs::write(&marker, &text).map_err(file_error(&marker));
        retry_transient("record", status, mark).await?;
    }
    Ok((Started { handle }, numbers))
}

/// Forwards the numbers of entries that are written to the runtime.
pub async fn acknowledge(mut numbers: mpsc::UnboundedReceiver<Vec<u64>>, inputs: mpsc::Sender<Input>) {
    let mut batches = Vec::new();
    while numbers.recv_many(&mut batches, 64).await > 0 {
        let written = batches.drain(..).flatten().collect();
        if inputs.send(Input::RecordsWritten(written)).await.is_err() {
            return;
        }
    }
}
