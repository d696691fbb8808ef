//! One fleet that is measured from outside, first idle and then under load. Owns when counters are read. It must never
//! leave a process behind, nor measure a fleet of which a relay ended.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::time::Instant;

use super::plan::Plan;
use super::process_usage::{self, ProcessUsage};
use super::socket_drops;
use crate::fabric::{self, Counts, SenderCounts};
use crate::fleet::Process;
use crate::front::Front;
use crate::scenario::Scenario;
use crate::stage::{Build, Stage, with};
use crate::{load, partner};

/// A whole run ends within the time that it is meant to take and this.
const SPARE: Duration = Duration::from_secs(60);

/// What one relay used in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RelayUsage {
    /// Datagrams that it sent.
    pub messages: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Processor time, in seconds.
    pub processor_s: f64,
    /// Resident memory at the end of the period, in bytes.
    pub resident_bytes: u64,
}

/// What all relays used in a period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeriodUsage {
    /// How long the period was, in seconds.
    pub seconds: f64,
    /// Messages that clients handed in.
    pub events: u64,
    /// By relay.
    pub relays: Vec<RelayUsage>,
}

/// What one run found.
#[derive(Clone, Debug, PartialEq)]
pub struct RunUsage {
    /// With no event.
    pub idle: PeriodUsage,
    /// Under load.
    pub load: PeriodUsage,
    /// One event in a hundred left its client later than intended by this, in milliseconds.
    pub lag_ms: u64,
    /// Datagrams that the fabric lost before it counted them.
    pub fabric_drops: u64,
    /// Datagrams that were lost at relays.
    pub relay_drops: u64,
}

/// Starts a fleet, measures it, and ends it.
///
/// # Errors
/// Where the machine does not bear it, a relay does not start or ends, or the run takes too long.
pub async fn run(
    scenario: Scenario, plan: &Plan, seed: u64, build: &Build, folder: &Path,
) -> Result<RunUsage> {
    let meant = Duration::from_secs_f64(plan.settle_s + plan.idle_s + scenario.seconds);
    let within = meant + SPARE;
    let measured = measure(scenario, plan, seed, build, folder);
    tokio::time::timeout(within, measured).await.with_context(|| format!("not done within {within:?}"))?
}

async fn measure(
    scenario: Scenario, plan: &Plan, seed: u64, build: &Build, folder: &Path,
) -> Result<RunUsage> {
    let stage = Stage::set(scenario, seed, build, folder).await?;
    let Stage { scenario, net, book, clock, .. } = &stage;
    let carriers: Vec<SocketAddr> = (0..scenario.relays).map(|relay| net.carrier(relay)).collect();
    let hears: Vec<SocketAddr> = (0..scenario.relays).map(|relay| net.notes(relay)).collect();
    let counts = fabric::start(scenario.clone(), seed, clock.clone(), &carriers, &hears).await?;
    partner::start_all(scenario, seed, clock, net, book).await?;
    stage.start().await?;

    tokio::time::sleep(Duration::from_secs_f64(plan.settle_s)).await;
    let idle_from = Reading::take(&stage, &counts)?;
    tokio::time::sleep(Duration::from_secs_f64(plan.idle_s)).await;
    let idle_to = Reading::take(&stage, &counts)?;

    clock.begin();
    let front = Front::blind(scenario.relays);
    let load = load::run(scenario.clone(), net.clone(), seed, clock.clone(), book.clone(), front);
    let load = tokio::spawn(load);
    clock.until(plan.load_settle_s).await;
    let load_from = Reading::take(&stage, &counts)?;
    clock.until(scenario.seconds).await;
    let load_to = Reading::take(&stage, &counts)?;

    let events = events_in(scenario, seed, plan.load_settle_s..scenario.seconds);
    let lag_ms = load.await?.p99_ms();
    Ok(RunUsage {
        idle: idle_to.since(&idle_from, 0),
        load: load_to.since(&load_from, events),
        lag_ms,
        fabric_drops: socket_drops::read(&carriers)?,
        relay_drops: socket_drops::read(&hears)?,
    })
}

/// Messages that clients hand in within a span of the load, in seconds of its clock.
fn events_in(scenario: &Scenario, seed: u64, span: Range<f64>) -> u64 {
    let intended = load::intended(scenario, seed);
    intended.iter().filter(|message| span.contains(&message.at_s)).count() as u64
}

/// All counters at a moment, each list by relay.
struct Reading {
    at: Instant,
    messages: Vec<u64>,
    bytes: Vec<u64>,
    processes: Vec<ProcessUsage>,
}

impl Reading {
    fn take(stage: &Stage, counts: &Counts) -> Result<Self> {
        let at = Instant::now();
        let read = |counter: fn(&SenderCounts) -> &AtomicU64| {
            counts.senders.iter().map(|sender| counter(sender).load(Ordering::Relaxed)).collect()
        };
        let messages = read(|sender| &sender.messages);
        let bytes = read(|sender| &sender.bytes);
        let processes: Result<Vec<ProcessUsage>> =
            (0..stage.scenario.relays).map(|relay| usage(stage, relay)).collect();
        Ok(Reading { at, messages, bytes, processes: processes? })
    }

    /// What was used from an earlier reading until this one, with so many events.
    fn since(&self, earlier: &Reading, events: u64) -> PeriodUsage {
        let mut relays = Vec::new();
        for (relay, process) in self.processes.iter().enumerate() {
            relays.push(RelayUsage {
                messages: self.messages[relay] - earlier.messages[relay],
                bytes: self.bytes[relay] - earlier.bytes[relay],
                processor_s: process.processor_s - earlier.processes[relay].processor_s,
                resident_bytes: process.resident_bytes,
            });
        }
        let seconds = self.at.duration_since(earlier.at).as_secs_f64();
        PeriodUsage { seconds, events, relays }
    }
}

/// What a relay's process has used; it has to be there.
fn usage(stage: &Stage, relay: usize) -> Result<ProcessUsage> {
    if let Some(Some(end)) = with(&stage.processes, relay, Process::ended) {
        bail!("relay {relay} ended by itself: {end}");
    }
    let process = with(&stage.processes, relay, |process| process.id()).flatten();
    let process = process.with_context(|| format!("relay {relay} has no process"))?;
    Ok(process_usage::read(process)?)
}
