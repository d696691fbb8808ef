//! One play of a scenario: starts the stand-ins and the processes, lets faults come and go in time, and asks the auditor.
//! Owns the order of all of it. It must never leave a process behind.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time::Instant;

use crate::audit::{Book, Down, Span, Verdict, audit};
use crate::clock::Clock;
use crate::fabric::{self, Counts};
use crate::fleet::Process;
use crate::front::Front;
use crate::scenario::{Scenario, What};
pub use crate::stage::Build;
use crate::stage::{Processes, Stage, ready, with};
use crate::{load, partner};

/// After the last message's time is up, what is owed may still come for so long.
const AFTER: Duration = Duration::from_millis(1800);
/// A play in which one message in a hundred left later than this did not keep up.
pub(crate) const LAG_MS: u64 = 50;
/// A relay answers an order within this.
const ANSWERS: Duration = Duration::from_millis(1000);
/// A process that was told to end is given so long before it is killed.
const END_WITHIN: Duration = Duration::from_millis(3700);

/// A play's outcome.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// What was found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The seed.
    pub seed: u64,
    /// One message in a hundred left later than intended by this, in milliseconds.
    pub lag_ms: u64,
    /// The machine kept up; else nothing of this counts.
    pub kept_up: bool,
    /// Notes between relays, and their bytes.
    pub notes: u64,
    /// See `notes`.
    pub note_bytes: u64,
    /// Notes over 256 bytes.
    pub too_long: u64,
}

impl Outcome {
    /// Whether every bound held.
    pub fn held(&self) -> bool {
        self.kept_up && self.verdict.findings.is_empty() && self.verdict.missed.is_empty()
    }
}

/// What is done to processes when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deed {
    /// Wished out; by then all is to be done, and the work takes so long.
    Wish {
        by_s: f64,
        work_s: f64,
    },
    Kill {
        folder_lost: bool,
    },
    End,
    Start,
    Stop,
    GoOn,
}

/// Deeds in time, by seconds and relay.
fn deeds(scenario: &Scenario) -> Vec<(f64, usize, Deed)> {
    let mut deeds = Vec::new();
    for fault in scenario.faults.iter().map(|fault| fault.get_ref()) {
        let (from_s, to_s) = (fault.from_s, fault.to_s);
        match &fault.what {
            What::Kill { relays, folder_lost } => relays.clone().for_each(|relay| {
                deeds.push((from_s, relay, Deed::Kill { folder_lost: *folder_lost }));
                deeds.push((to_s, relay, Deed::Start));
            }),
            What::Freeze { relays } => relays.clone().for_each(|relay| {
                deeds.push((from_s, relay, Deed::Stop));
                deeds.push((to_s, relay, Deed::GoOn));
            }),
            What::Wish { relays, work_s } => relays.clone().for_each(|relay| {
                deeds.push((from_s, relay, Deed::Wish { by_s: to_s, work_s: *work_s }));
            }),
            What::Roll { relays } => {
                let step = (to_s - from_s) / relays.len() as f64;
                relays.clone().enumerate().for_each(|(n, relay)| {
                    deeds.push((from_s + step * n as f64, relay, Deed::End));
                });
            }
            _ => {}
        }
    }
    deeds.sort_by(|a, b| a.0.total_cmp(&b.0));
    deeds
}

/// Plays a scenario with a build; files are left in `folder`.
///
/// # Errors
/// Where a stand-in or a process does not start.
pub async fn play(scenario: Scenario, seed: u64, build: &Build, folder: &Path) -> Result<(Outcome, Book)> {
    let stage = Stage::set(scenario, seed, build, folder).await?;
    stage.start().await?;
    let Stage { scenario, net, book, clock, processes } = stage;
    let relays: Vec<usize> = (0..scenario.relays).collect();
    let carriers: Vec<_> = relays.iter().map(|relay| net.carrier(*relay)).collect();
    let hears: Vec<_> = relays.iter().map(|relay| net.notes(*relay)).collect();
    clock.begin();
    let counts = fabric::start(scenario.clone(), seed, clock.clone(), &carriers, &hears).await?;
    partner::start_all(&scenario, seed, &clock, &net, &book).await?;
    let deeds = tokio::spawn(carry_out(deeds(&scenario), clock.clone(), processes.clone(), book.clone()));
    let front = match scenario.turns {
        0 => Front::blind(scenario.relays),
        _ => Front::watching(scenario.relays, &net, &clock, &book),
    };
    let mut lag = load::run(scenario.clone(), net.clone(), seed, clock, book.clone(), front).await;
    let rest = Duration::from_millis(scenario.load.time_left_ms) + AFTER;
    tokio::time::sleep(rest).await;
    let meant: BTreeSet<usize> = deeds.await??;
    for relay in &relays {
        if let Some(Some(end)) = with(&processes, *relay, Process::ended)
            && !meant.contains(relay)
        {
            book.with(|log| log.crashes.push(end));
        }
        with(&processes, *relay, |process| process.kill(false));
    }
    let verdict = book.with(|log| audit(&scenario, log));
    Ok((outcome(verdict, seed, lag.p99_ms(), &counts), book))
}

fn outcome(verdict: Verdict, seed: u64, lag_ms: u64, counts: &Counts) -> Outcome {
    let read = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::Relaxed);
    let (notes, note_bytes, too_long) = (read(&counts.notes), read(&counts.bytes), read(&counts.too_long));
    Outcome { verdict, seed, lag_ms, kept_up: lag_ms <= LAG_MS, notes, note_bytes, too_long }
}

/// Carries deeds out in time; tells whose process is not there at the end by intent.
async fn carry_out(
    deeds: Vec<(f64, usize, Deed)>, clock: Clock, processes: Processes, book: Book,
) -> Result<BTreeSet<usize>> {
    let mut back = tokio::task::JoinSet::new();
    let mut since = std::collections::BTreeMap::new();
    for (at_s, relay, deed) in deeds {
        clock.until(at_s).await;
        match deed {
            Deed::Kill { folder_lost } => {
                since.insert(relay, (clock.now_s(), folder_lost));
                with(&processes, relay, |process| process.kill(folder_lost));
            }
            Deed::Stop => {
                since.insert(relay, (clock.now_s(), false));
                with(&processes, relay, |process| process.signal(Signal::SIGSTOP));
            }
            Deed::GoOn => {
                with(&processes, relay, |process| process.signal(Signal::SIGCONT));
                let (from_s, folder_lost) = since.remove(&relay).unwrap_or((at_s, false));
                book.with(|log| log.downs.push(Down { relay, from_s, to_s: clock.now_s(), folder_lost }));
            }
            Deed::Wish { by_s, work_s } => {
                // All are told to the first relay that answers: the others hear of it.
                let told = processes
                    .iter()
                    .map(|process| process.lock().unwrap_or_else(PoisonError::into_inner).control());
                let told: Vec<PathBuf> = told.collect();
                let (clock, processes, book) = (clock.clone(), processes.clone(), book.clone());
                back.spawn(async move {
                    wish(relay, &told).await;
                    look_after(relay, by_s, work_s, clock, processes, book).await
                });
            }
            Deed::Start => {
                let (from_s, folder_lost) = since.remove(&relay).unwrap_or((at_s, false));
                back.spawn(come_back(
                    relay,
                    from_s,
                    folder_lost,
                    clock.clone(),
                    processes.clone(),
                    book.clone(),
                ));
            }
            Deed::End => {
                with(&processes, relay, |process| process.signal(Signal::SIGTERM));
                let (clock, processes, book) = (clock.clone(), processes.clone(), book.clone());
                back.spawn(async move {
                    let from_s = clock.now_s();
                    let until = Instant::now() + END_WITHIN;
                    let ended = |process: &mut Process| process.ended().is_some();
                    while Instant::now() < until && with(&processes, relay, ended) == Some(false) {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    with(&processes, relay, |process| process.kill(false));
                    come_back(relay, from_s, false, clock, processes, book).await
                });
            }
        }
    }
    while let Some(came) = back.join_next().await {
        came??;
    }
    Ok(since.into_keys().collect())
}

/// Tells a wish for a relay to the first that answers.
async fn wish(relay: usize, controls: &[PathBuf]) {
    let line = format!("{{\"turns\": \"out\", \"relay\": {relay}}}\n");
    for control in controls {
        let Ok(mut stream) = UnixStream::connect(control).await else { continue };
        let mut answer = String::new();
        if stream.write_all(line.as_bytes()).await.is_ok()
            && matches!(
                tokio::time::timeout(ANSWERS, BufReader::new(stream).read_line(&mut answer)).await,
                Ok(Ok(1..))
            )
        {
            return;
        }
    }
}

/// Starts a process again that ended by itself in its turn, once its work is done.
async fn look_after(
    relay: usize, by_s: f64, work_s: f64, clock: Clock, processes: Processes, book: Book,
) -> Result<()> {
    while clock.now_s() < by_s {
        let ended = with(&processes, relay, |process| process.ended().is_some());
        if ended == Some(true) {
            let from_s = clock.now_s();
            tokio::time::sleep(Duration::from_secs_f64(work_s)).await;
            come_back(relay, from_s, false, clock.clone(), processes, book.clone()).await?;
            book.with(|log| log.turns.push(Span { relay, from_s, to_s: clock.now_s() }));
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn come_back(
    relay: usize, from_s: f64, folder_lost: bool, clock: Clock, processes: Processes, book: Book,
) -> Result<()> {
    with(&processes, relay, Process::forget);
    with(&processes, relay, Process::start).context("no such relay")??;
    if !ready(&processes, relay).await {
        bail!("relay {relay} did not become ready again");
    }
    let to_s = clock.now_s();
    book.with(|log| log.downs.push(Down { relay, from_s, to_s, folder_lost }));
    Ok(())
}
