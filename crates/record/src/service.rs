//! The writer at work: a thread of its own with a connection, which does what the state machine says and tells
//! what was written. Owns the thread and the connection. It must never make the relay wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, watch};
use tracing::{debug, error, info, warn};

use crate::model::{Entry, Micros};
use crate::sql::Target;
use crate::store::Record;
use crate::writer::{Failure, Figures, Step, Writer};

/// What the writer is given.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the record is.
    pub target: Target,
    /// The relay's name.
    pub relay: String,
    /// Who holds it: the same for all processes of one state folder, of which one lives at a time.
    pub holder: String,
    /// For the spread of waits.
    pub seed: u64,
    /// Its figures.
    pub figures: Figures,
    /// Where the record is full, its oldest certain rows make room; else it waits for the operator.
    pub drop_oldest: bool,
    /// Certain rows are kept for so long, in microseconds.
    pub keep: Option<Micros>,
}

/// Whether the writer has the relay's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has not come so far, or the database is away.
    #[default]
    Connecting,
    /// It is held, under this epoch.
    Held(i64),
    /// Another process seems to hold it.
    Other {
        /// It was seen to live; else it may be dead.
        lives: bool,
    },
    /// Another process holds it: this one writes no more, and should take nothing on.
    Fenced,
}

/// How the writer is doing, for whoever asks at any time.
#[derive(Debug, Default)]
pub struct Health {
    /// Unix time in microseconds at which there should be room again.
    room_at: Mutex<Option<Instant>>,
    handed: AtomicU64,
}

impl Health {
    /// Time until there should be room again, if there is none now, in microseconds.
    pub fn room_after(&self) -> Micros {
        let at = *self.room_at.lock().unwrap_or_else(PoisonError::into_inner);
        let after = at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()));
        Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX)
    }
}

/// The relay's side of the writer.
#[derive(Clone, Debug)]
pub struct Handle {
    entries: mpsc::UnboundedSender<(u64, Entry)>,
    health: Arc<Health>,
    standing: watch::Receiver<Standing>,
    done: watch::Receiver<u64>,
}

impl Handle {
    /// Hands an entry over, which the journal holds under this number. What is handed over and not yet told
    /// written is bounded by the room in the journal.
    pub fn hand(&self, number: u64, entry: Entry) {
        self.health.handed.fetch_add(1, Ordering::Relaxed);
        // The writer is there until all handles are gone.
        let _ = self.entries.send((number, entry));
    }

    /// Waits until all that was handed over is written, or until then; tells whether it is.
    pub async fn flushed(&self, until: tokio::time::Instant) -> bool {
        let handed = self.health.handed.load(Ordering::Relaxed);
        let mut done = self.done.clone();
        let waited = tokio::time::timeout_at(until, done.wait_for(|done| *done >= handed)).await;
        matches!(waited, Ok(Ok(_)))
    }

    /// How it is doing.
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Whether it has the relay's name.
    pub fn standing(&self) -> watch::Receiver<Standing> {
        self.standing.clone()
    }
}

/// Unix time in microseconds.
pub fn unix_now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros::try_from(since.as_micros()).unwrap_or(Micros::MAX)
}

/// Starts the writer; numbers of entries that are written, or set aside, come back by `written`. It ends when
/// the handle is dropped.
///
/// # Errors
/// Where no thread can be started.
pub fn start(options: Options, written: mpsc::UnboundedSender<Vec<u64>>) -> std::io::Result<Handle> {
    let (entries, queue) = mpsc::unbounded_channel();
    let health = Arc::new(Health::default());
    let (tell, standing) = watch::channel(Standing::default());
    let (count, done) = watch::channel(0);
    let handle = Handle { entries, health: health.clone(), standing, done };
    let told = Told { health, standing: tell, done: count, written };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("record".into());
    thread.spawn(move || runtime.block_on(Shell::new(options, told).run(queue)))?;
    Ok(handle)
}

/// What the writer tells, and to whom.
struct Told {
    health: Arc<Health>,
    standing: watch::Sender<Standing>,
    done: watch::Sender<u64>,
    written: mpsc::UnboundedSender<Vec<u64>>,
}

struct Shell {
    options: Options,
    to: Told,
    writer: Writer,
    record: Option<Record>,
    start: Instant,
    trouble: Option<Failure>,
    prune_at: Micros,
}

impl Shell {
    fn new(options: Options, to: Told) -> Self {
        let writer = Writer::new(options.figures, options.seed);
        Shell { options, to, writer, record: None, start: Instant::now(), trouble: None, prune_at: 0 }
    }

    /// A clock that no one sets back.
    fn now(&self) -> Micros {
        Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<(u64, Entry)>) {
        loop {
            while let Ok((number, entry)) = queue.try_recv() {
                self.writer.queue(number, entry);
            }
            self.tell_health();
            match self.writer.next(self.now()) {
                Step::Wait(at) => {
                    let at = tokio::time::Instant::from_std(
                        self.start + Duration::from_micros(u64::try_from(at).unwrap_or(0)),
                    );
                    tokio::select! {
                        entry = queue.recv() => match entry {
                            Some((number, entry)) => self.writer.queue(number, entry),
                            None => return,
                        },
                        () = tokio::time::sleep_until(at) => {}
                    }
                }
                Step::Stop(why) => {
                    error!("record: {why}; nothing more is taken on, and what is held ends as it can");
                    self.stands(Standing::Fenced);
                    // What still comes stays in the journal.
                    while queue.recv().await.is_some() {}
                    return;
                }
                step => {
                    if queue.is_closed() && queue.is_empty() && self.record.is_none() {
                        return;
                    }
                    self.act(step).await;
                }
            }
        }
    }

    fn tell_health(&self) {
        let wait = self.writer.room_at(self.now()) - self.now();
        let at = Instant::now() + Duration::from_micros(u64::try_from(wait).unwrap_or(0));
        *self.to.health.room_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
        self.stands(match self.writer.epoch() {
            Some(epoch) => Standing::Held(epoch),
            None => match self.writer.held_by_other() {
                Some(lives) => Standing::Other { lives },
                None => Standing::Connecting,
            },
        });
    }

    fn tell_written(&self, numbers: Vec<u64>) {
        self.to.done.send_modify(|done| *done += numbers.len() as u64);
        let _ = self.to.written.send(numbers);
    }

    fn stands(&self, now: Standing) {
        self.to.standing.send_if_modified(|old| std::mem::replace(old, now) != now);
    }

    async fn act(&mut self, step: Step) {
        match step {
            Step::Connect => {
                self.record = None;
                let opened = Record::open(&self.options.target, &self.options.relay).await;
                let result = self.note(opened).map(|record| self.record = Some(record));
                self.writer.connected(self.now(), result);
            }
            Step::Claim { silent } => {
                let holder = self.options.holder.clone();
                let result = match &mut self.record {
                    Some(record) => record.claim(&holder, silent).await,
                    None => Err(lost()),
                };
                let result = self.note(result);
                self.writer.claimed(self.now(), result);
                if let Some(epoch) = self.writer.epoch() {
                    info!(
                        "record: {} holds the name {:?}, epoch {epoch}",
                        self.options.target, self.options.relay
                    );
                }
            }
            Step::Write { numbers, epoch } => {
                let entries: Vec<&Entry> = numbers.iter().filter_map(|n| self.writer.entry(*n)).collect();
                let result = match &mut self.record {
                    Some(record) => record.write(epoch, &entries).await,
                    None => Err(lost()),
                };
                if matches!(result, Err(Failure::Full(_))) {
                    self.make_room(epoch, None).await;
                }
                let result = self.note(result);
                let written = self.writer.written(self.now(), &numbers, result);
                if !written.is_empty() {
                    debug!(entries = written.len(), "record: written");
                    self.tell_written(written);
                }
                self.forget_old(epoch).await;
            }
            Step::SetAside { number, reason, epoch } => {
                let result = match (&mut self.record, self.writer.entry(number)) {
                    (Some(record), Some(entry)) => {
                        warn!(message = entry.message(), "record: set aside: {reason}");
                        record.set_aside(epoch, number, unix_now(), &reason, entry).await
                    }
                    _ => Err(lost()),
                };
                let result = self.note(result);
                if let Some(number) = self.writer.set_aside(self.now(), number, result) {
                    self.tell_written(vec![number]);
                }
            }
            Step::Beat { epoch } => {
                let result = match &mut self.record {
                    Some(record) => record.beat(epoch).await,
                    None => Err(lost()),
                };
                let result = self.note(result);
                self.writer.beaten(self.now(), result);
                self.forget_old(epoch).await;
            }
            Step::Wait(_) | Step::Stop(_) => {}
        }
    }

    /// Says once what goes wrong, and once that it goes well again.
    fn note<T>(&mut self, result: Result<T, Failure>) -> Result<T, Failure> {
        match &result {
            Ok(_) => {
                if let Some(old) = self.trouble.take() {
                    info!("record: goes on, after: {old}");
                }
            }
            Err(failure) => {
                let same = |old: &Failure| std::mem::discriminant(old) == std::mem::discriminant(failure);
                if !self.trouble.as_ref().is_some_and(same) {
                    warn!("record: {failure}; it is tried again");
                    self.trouble = Some(failure.clone());
                }
            }
        }
        result
    }

    async fn make_room(&mut self, epoch: i64, before: Option<Micros>) {
        if before.is_none() && !self.options.drop_oldest {
            return;
        }
        if let Some(record) = &mut self.record {
            match record.drop_oldest(epoch, before).await {
                Ok(0) => {}
                Ok(dropped) => warn!(dropped, "record: the oldest certain messages made room"),
                Err(failure) => warn!("record: no room could be made: {failure}"),
            }
        }
    }

    /// What was kept for as long as it was to be goes, a sixteenth of that time after the last look.
    async fn forget_old(&mut self, epoch: i64) {
        let Some(keep) = self.options.keep else { return };
        let now = unix_now();
        if now >= self.prune_at {
            self.prune_at = now + keep / 16;
            self.make_room(epoch, Some(now - keep)).await;
        }
    }
}

fn lost() -> Failure {
    Failure::Down("not connected".into())
}
