//! The relay's side of the record: what is handed over at a message's end, when no more may be taken on, and
//! the start of the writer behind it. Owns the outbox's numbers. It must never
//! make a message wait for a database.

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
use crate::standing::Standing as Process;
use crate::store::{Heard, Journal, takeover};

/// Of the disk, this part at most is for entries that wait for the database; of the memory, that part.
const DISK_PART: u64 = 4;
const MEMORY_PART: u64 = 16;
/// What the end of a message that is held takes of that, as a rule.
const USUAL_ENTRY: u64 = 2048;
/// A start waits so long for a database that does not answer, and goes on without.
const START_WITHIN: Micros = 3_000_000;
/// At a start a database that is busy or full is tried again for so long.
const OPEN_WITHIN: Duration = Duration::from_secs(3);
/// The least advice to who finds no room.
const LEAST_ADVICE: Micros = 100_000;

/// Where and how ends are recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recording {
    /// The database.
    pub target: Target,
    /// How long what is certain is kept; for ever where not set.
    pub keep: Option<Micros>,
    /// Where the database is full, its oldest certain messages make room.
    pub drop_oldest: bool,
}

/// What the runtime hands over, and when it may not take on more.
#[derive(Debug)]
pub struct Outbox {
    handle: Handle,
    next: u64,
    most: u64,
    most_advice: Option<Micros>,
}

impl Outbox {
    /// An outbox whose numbers go on after `last`.
    pub fn new(handle: Handle, last: u64, settings: &Settings, disk: u64, memory: usize) -> Self {
        let most = (disk / DISK_PART).min(memory as u64 / MEMORY_PART);
        Outbox { handle, next: last + 1, most, most_advice: settings.longest_advice }
    }

    /// A number for the next entry.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next - 1
    }

    /// Hands over what the journal holds.
    pub fn hand(&self, number: u64, entry: Entry) {
        self.handle.hand(number, entry);
    }

    /// Why nothing more may be taken on just now, with `waiting` bytes of entries and so many messages held.
    pub fn refusal(&self, waiting: u64, held: usize) -> Option<Answer> {
        if *self.handle.standing().borrow() == Standing::Fenced {
            return Some(Answer::Refused("another process holds this relay's name".into(), None));
        }
        let full = waiting + (held as u64 + 1) * USUAL_ENTRY > self.most;
        full.then(|| Answer::Refused("the record is behind".into(), Some(self.advice())))
    }

    /// When there should be room again.
    pub fn advice(&self) -> Micros {
        let after = self.handle.health().room_after().max(LEAST_ADVICE);
        self.most_advice.map_or(after, |most| after.min(most))
    }

    /// The end of a message, ready to be recorded.
    pub fn end(
        &self, exchange: &Exchange, once: bool, trace: Trace,
        (at, outcome): (Micros, record::model::Outcome), receipt: Option<Expected>,
    ) -> Entry {
        Entry::Ended(Box::new(Final {
            id: exchange.id.clone(),
            class: exchange.class.clone(),
            once,
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

/// An attempt's end, as it is recorded.
pub fn heard(at: Micros, outcome: Outcome, verdict: Decision, evidence: Evidence) -> Heard {
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
    Heard { at, result: result.into(), effect, evidence: evidence.bounded() }
}

/// Why a record cannot be begun.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// Another process holds the relay's name.
    #[error("another process holds the name {0:?} in the record at {1}")]
    NameHeld(String, String),
    /// The record cannot be used, or cannot be asked for what it held before.
    #[error("record at {target}: {failure}")]
    Record {
        /// Where it is.
        target: String,
        /// Why not.
        failure: Failure,
    },
    /// A file cannot be read or written.
    #[error("{file}: {error}")]
    File {
        /// Which.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
}

/// A database that cannot be opened.
struct OpenError(Failure);

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl RetryableError for OpenError {
    /// A disk that is full for a moment, and a database that somebody else holds for a moment.
    fn is_retryable(&self, elapsed: Duration) -> bool {
        matches!(self.0, Failure::Busy(_) | Failure::Full(_)) && elapsed < OPEN_WITHIN
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

/// Who holds the relay's name in the record: one text for all processes of a state folder.
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
    // Written beside and renamed, so that a kill leaves no half of it.
    let beside = state.join("record-holder.new");
    std::fs::write(&beside, &text).map_err(file_error(&beside))?;
    std::fs::rename(&beside, &path).map_err(file_error(&path))?;
    Ok(text)
}

/// The record of a running relay.
pub struct Started {
    /// For the runtime.
    pub handle: Handle,
}

/// Takes over what an older store holds, starts the writer, and waits until it has the relay's name or the
/// database proves to be away. Entries that are written come back as inputs.
///
/// # Errors
/// Where another process has the folder or the name, or the record cannot be used.
pub async fn start(
    recording: &Recording, relay: &str, state: &Path, seed: u64, clock: Clock, process: &Process,
    journal: &mut Journal,
) -> Result<(Started, mpsc::UnboundedReceiver<Vec<u64>>), RecordingError> {
    let target = recording.target.to_string();
    let marker = state.join("record-taken-over");
    let new = !marker.exists();
    let unusable = |failure| RecordingError::Record { target: target.clone(), failure };
    let opened = retry_transient("record", process, async || {
        Record::open(&recording.target, relay).await.map_err(OpenError)
    });
    match opened.await.map_err(|OpenError(failure)| failure) {
        Ok(_) => {}
        // Once, at the first start, it has to be asked for what an older program left there.
        Err(failure) if new || matches!(failure, Failure::Schema(_)) => return Err(unusable(failure)),
        Err(failure) => {
            warn!("record at {target}: {failure}; the relay serves on, the journal keeps the ends")
        }
    }
    let figures = Figures::default();
    let options = Options {
        target: recording.target.clone(),
        relay: relay.to_string(),
        holder: retry_transient("record", process, async || holder(state)).await?,
        seed,
        figures,
        drop_oldest: recording.drop_oldest,
        keep: recording.keep,
    };
    let (written, numbers) = mpsc::unbounded_channel();
    let handle = record::service::start(options, written).map_err(file_error(Path::new("thread")))?;
    let mut standing = handle.standing();
    let away = clock.instant(clock.now() + START_WITHIN);
    let taken_over = clock.instant(clock.now() + 2 * figures.lease);
    let held = || RecordingError::NameHeld(relay.to_string(), target.clone());
    loop {
        let now = *standing.borrow_and_update();
        let until = match now {
            Standing::Held(_) => break,
            Standing::Connecting => away,
            // A holder that is dead is silent for a lease; one that lives keeps this process from starting.
            Standing::Other { lives: false } => taken_over,
            Standing::Other { lives: true } | Standing::Fenced => return Err(held()),
        };
        match tokio::time::timeout_at(until, standing.changed()).await {
            Ok(Ok(())) => {}
            _ if matches!(now, Standing::Other { .. }) => return Err(held()),
            _ if new => return Err(unusable(Failure::Down("no answer".into()))),
            _ => {
                warn!("record at {target}: no answer yet; the relay serves on, the journal keeps the ends");
                break;
            }
        }
    }
    // Only who holds the name may go on with what an older program left under it.
    if new {
        let mut record = Record::open(&recording.target, relay).await.map_err(&unusable)?;
        let taken = takeover::run(&mut record, relay, journal, clock.now()).await.map_err(&unusable)?;
        if taken != takeover::Taken::default() {
            info!("{target}: {} unfinished and {} finished taken over", taken.unfinished, taken.finished);
        }
        let text = format!("{} {}\n", taken.unfinished, taken.finished);
        let mark = async || std::fs::write(&marker, &text).map_err(file_error(&marker));
        retry_transient("record", process, mark).await?;
    }
    Ok((Started { handle }, numbers))
}

/// Brings the numbers of entries that are written to the runtime.
pub async fn acknowledge(mut numbers: mpsc::UnboundedReceiver<Vec<u64>>, inputs: mpsc::Sender<Input>) {
    let mut batches = Vec::new();
    while numbers.recv_many(&mut batches, 64).await > 0 {
        let written = batches.drain(..).flatten().collect();
        if inputs.send(Input::RecordsWritten(written)).await.is_err() {
            return;
        }
    }
}
