//! One run of the soak: starts a fleet, lets faults and deeds come by the plan, and asks both auditors.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use faults::proxy;
use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::chaos::{Chaos, Deed, environment};
use super::file::{Kind, SoakFile};
use super::findings::{Doubt, Gone, HeardEnd, READY_WITHIN_S, find, find_after_end};
use crate::audit::{Book, Down, Finding, audit};
use crate::clock::Clock;
use crate::fabric;
use crate::fleet::Process;
use crate::front::Front;
use crate::play::LAG_MS;
use crate::stage::{Build, Processes, Stage, with};
use crate::{load, partner};

/// A process that was told to end is given so long before it is killed: the page's earliest time.
const END_WITHIN: Duration = Duration::from_millis(3700);
/// A killed process is started again after this.
const DOWN_FOR: Duration = Duration::from_millis(200);
/// From one look at a process to the next.
const LOOK: Duration = Duration::from_millis(10);
/// After the last message's time is up, what is owed may still come for so long.
const AFTER: Duration = Duration::from_millis(1800);

/// What a run came to.
#[derive(Debug, Serialize)]
pub struct SoakOutcome {
    /// The seed.
    pub seed: u64,
    /// Relays.
    pub relays: usize,
    /// The kinds of faults.
    pub kinds: Vec<String>,
    /// Messages handed in, accepted and delivered.
    pub messages: [usize; 3],
    /// Processes that were started.
    pub starts: u64,
    /// Faults that were made, by call and error number.
    pub faults: BTreeMap<String, u64>,
    /// Rules that were broken.
    pub findings: Vec<Finding>,
    /// One message in a hundred left later than intended by this, in milliseconds.
    pub lag_ms: u64,
    /// The machine kept up; else nothing of this counts.
    pub kept_up: bool,
}

/// What all parts of a run share.
struct Shared {
    chaos: Chaos,
    processes: Processes,
    clock: Clock,
    book: Book,
    folder: PathBuf,
    gone: Mutex<Vec<Gone>>,
    findings: Mutex<Vec<Finding>>,
    starts: Mutex<Vec<u64>>,
    /// How long clients hand messages in, in seconds.
    seconds: f64,
    /// For how long a message may be delivered, in milliseconds.
    time_left_ms: u64,
}

/// Runs one seed with a build; files are left in `folder`.
///
/// # Errors
/// Where a stand-in or a process cannot be started at all.
pub async fn run(file: &SoakFile, seed: u64, build: &Build, folder: &Path) -> Result<SoakOutcome> {
    let chaos = Chaos::draw(file, seed);
    let mut build = build.clone();
    // Relays tell each other of endpoints and of themselves, so that there are datagrams to fail.
    if chaos.has(Kind::Datagrams) {
        build.environment.push(("TULIPFALL_NOTES".into(), "on".into()));
    }
    let trouble = chaos.proxy_trouble();
    let scenario = file.scenario(chaos.relays, trouble.is_some(), chaos.has(Kind::Over))?;
    let stage = Stage::set(scenario, seed, &build, folder).await?;
    let Stage { scenario, net, book, clock, processes } = stage;
    let relays = chaos.relays;
    let shared = Arc::new(Shared {
        chaos,
        processes,
        clock: clock.clone(),
        book: book.clone(),
        folder: std::path::absolute(folder)?,
        gone: Mutex::default(),
        findings: Mutex::default(),
        starts: Mutex::new(vec![0; relays]),
        seconds: scenario.seconds,
        time_left_ms: scenario.load.time_left_ms,
    });
    let carriers: Vec<_> = (0..relays).map(|relay| net.carrier(relay)).collect();
    let hears: Vec<_> = (0..relays).map(|relay| net.notes(relay)).collect();
    fabric::start(scenario.clone(), seed, clock.clone(), &carriers, &hears).await?;
    partner::start_all(&scenario, seed, &clock, &net, &book).await?;
    let mut proxies = Vec::new();
    if let Some(trouble) = trouble {
        for (relay, partner) in
            (0..relays).flat_map(|relay| (0..scenario.each_partner().len()).map(move |n| (relay, n)))
        {
            let (listen, to) = (net.proxy(relay, partner), net.partner(relay, partner));
            let seed = seed ^ ((relay * 16 + partner) as u64) << 20;
            proxies.push((relay, proxy::start(listen, to, trouble, seed).await?));
        }
    }
    let mut first = JoinSet::new();
    for relay in 0..relays {
        let shared = shared.clone();
        first.spawn(async move { shared.start(relay, 0.0).await });
    }
    while let Some(started) = first.join_next().await {
        started??;
    }
    // The load begins once all are ready, however long their faults kept them.
    clock.begin();
    let deeds = shared.clone();
    let done = tokio::spawn(async move { deeds.carry_out().await });
    let front = Front::blind(relays);
    let mut lag = load::run(scenario.clone(), net, seed, clock.clone(), book.clone(), front).await;
    done.await??;
    shared.stop_all();
    let verdict = book.with(|log| audit(&scenario, log));
    let mut findings = verdict.findings;
    findings.append(&mut locked(&shared.findings));
    let broken = shared.chaos.has(Kind::Broken);
    findings.extend(book.with(|log| find(log, &locked(&shared.gone), broken)));
    // Where reads were made to fail, nobody knows what a relay heard.
    if !broken {
        let heard = heard(&proxies, &clock);
        let doubt = Doubt {
            store_fails: shared.chaos.store_fails(),
            surplus: shared.chaos.adds(),
            frozen: shared.chaos.has(Kind::Freeze),
        };
        findings.extend(book.with(|log| find_after_end(log, &heard, doubt)));
    }
    let lag_ms = lag.p99_ms();
    let mut faults = shared.faults_made();
    for (_, counts) in proxies {
        let counts = [
            ("proxy reset", &counts.resets),
            ("proxy split", &counts.splits),
            ("proxy stall", &counts.stalls),
            ("proxy surplus", &counts.added),
            ("proxy ending", &counts.ended),
        ];
        for (what, count) in counts {
            *faults.entry(what.into()).or_default() += count.load(std::sync::atomic::Ordering::Relaxed);
        }
    }
    Ok(SoakOutcome {
        seed,
        relays,
        kinds: shared.chaos.kinds.iter().map(|kind| format!("{kind:?}")).collect(),
        messages: verdict.messages,
        starts: locked(&shared.starts).iter().sum(),
        faults,
        findings,
        lag_ms,
        kept_up: lag_ms <= LAG_MS,
    })
}

/// What relays heard of endpoints through proxies.
fn heard(proxies: &[(usize, Arc<proxy::Counts>)], clock: &Clock) -> Vec<HeardEnd> {
    let (now, now_s) = (Instant::now(), clock.now_s());
    let mut heard = Vec::new();
    for (relay, counts) in proxies {
        for passed in locked(&counts.passed).iter() {
            let at_s = now_s - now.saturating_duration_since(passed.at).as_secs_f64();
            heard.push(HeardEnd { relay: *relay, id: passed.id.clone(), status: passed.status, at_s });
        }
    }
    heard
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn find(&self, rule: &'static str, trace: String) {
        locked(&self.findings).push(Finding { rule, trace });
    }

    /// Starts a relay's next process, and waits until it is ready.
    async fn start(&self, relay: usize, from_s: f64) -> Result<()> {
        loop {
            let start = {
                let mut starts = locked(&self.starts);
                let start = starts.get_mut(relay).context("no such relay")?;
                *start += 1;
                *start - 1
            };
            let own = self.folder.join(format!("n{relay}"));
            let (text, seed) = self.chaos.faults(relay, start);
            let (state, log) = (own.join("state"), own.join("faults.log"));
            let variables = environment(&text, faults::Child { seed, scope: &state, log: &log })?;
            let began = Instant::now();
            let ready = with(&self.processes, relay, |process| {
                process.set_environment(variables);
                process.start().map(|()| process.ready.clone())
            });
            let ready = ready.context("no such relay")??;
            if self.becomes_ready(relay, &ready, began).await {
                let to_s = self.clock.now_s();
                locked(&self.gone).push(Gone { relay, from_s, to_s });
                self.book.with(|log| log.downs.push(Down { relay, from_s, to_s, folder_lost: false }));
                return Ok(());
            }
        }
    }

    /// Waits until a process is ready; false where it was killed in the middle of a write, as the plan may have it.
    async fn becomes_ready(
        &self, relay: usize, ready: &tokio::sync::watch::Receiver<bool>, began: Instant,
    ) -> bool {
        let mut late = false;
        loop {
            if *ready.borrow() {
                return true;
            }
            if let Some(end) = self.ended(relay) {
                self.judge_end(&end);
                with(&self.processes, relay, Process::forget);
                return false;
            }
            if !late && began.elapsed().as_secs_f64() > READY_WITHIN_S {
                late = true;
                self.find("a start took too long", format!("relay {relay}"));
            }
            if began.elapsed().as_secs_f64() > 3.0 * READY_WITHIN_S {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn ended(&self, relay: usize) -> Option<String> {
        with(&self.processes, relay, Process::ended).flatten()
    }

    /// An end that nobody asked for is a finding, unless the plan kills in the middle of writes.
    fn judge_end(&self, end: &str) {
        if !(self.chaos.has(Kind::TornKill) && end.contains("signal: 9")) {
            self.find("a process ended by itself", end.into());
        }
    }

    /// Carries out the deeds of each relay, one after the other, and looks after processes that end by themselves.
    async fn carry_out(self: Arc<Self>) -> Result<()> {
        let mut relays = JoinSet::new();
        for relay in 0..self.chaos.relays {
            let shared = self.clone();
            relays.spawn(async move { shared.look_after(relay).await });
        }
        while let Some(done) = relays.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn look_after(&self, relay: usize) -> Result<()> {
        let deeds: Vec<(f64, Deed)> = self
            .chaos
            .deeds
            .iter()
            .filter(|(_, of, _)| *of == relay)
            .map(|(at_s, _, deed)| (*at_s, *deed))
            .collect();
        for (at_s, deed) in deeds {
            while self.clock.now_s() < at_s {
                self.revive(relay).await?;
                tokio::time::sleep(LOOK).await;
            }
            self.carry_out_one(relay, deed).await?;
        }
        // Until all that is owed has had its time.
        let rest_s = (Duration::from_millis(self.time_left_ms) + AFTER).as_secs_f64();
        while self.clock.now_s() < self.seconds + rest_s {
            self.revive(relay).await?;
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Starts a relay again whose process has ended by itself.
    async fn revive(&self, relay: usize) -> Result<()> {
        let Some(end) = self.ended(relay) else { return Ok(()) };
        self.judge_end(&end);
        let from_s = self.clock.now_s() - 2.0 * LOOK.as_secs_f64();
        with(&self.processes, relay, Process::forget);
        tokio::time::sleep(DOWN_FOR).await;
        self.start(relay, from_s).await
    }

    async fn carry_out_one(&self, relay: usize, deed: Deed) -> Result<()> {
        self.revive(relay).await?;
        let from_s = self.clock.now_s();
        match deed {
            Deed::Reload => {
                with(&self.processes, relay, |process| process.signal(Signal::SIGHUP));
                return Ok(());
            }
            Deed::Freeze { lasting } => {
                with(&self.processes, relay, |process| process.signal(Signal::SIGSTOP));
                tokio::time::sleep(lasting).await;
                with(&self.processes, relay, |process| process.signal(Signal::SIGCONT));
                return Ok(());
            }
            Deed::Kill { disk_replaced } => {
                with(&self.processes, relay, |process| process.kill(disk_replaced));
                if disk_replaced {
                    let to_s = from_s;
                    self.book.with(|log| log.downs.push(Down { relay, from_s, to_s, folder_lost: true }));
                }
            }
            Deed::Terminate => return self.terminate(relay, from_s).await,
        }
        tokio::time::sleep(DOWN_FOR).await;
        self.start(relay, from_s).await
    }

    async fn terminate(&self, relay: usize, from_s: f64) -> Result<()> {
        with(&self.processes, relay, |process| process.signal(Signal::SIGTERM));
        let until = Instant::now() + END_WITHIN;
        while Instant::now() < until {
            if let Some(end) = self.ended(relay) {
                if !end.contains("exit status: 0") {
                    self.judge_end(&end);
                }
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
        // No end is late from the signal on, but requests get answers until the process has ended.
        let gone_s = self.clock.now_s();
        self.book.with(|log| log.downs.push(Down { relay, from_s, to_s: gone_s, folder_lost: false }));
        with(&self.processes, relay, |process| process.kill(false));
        tokio::time::sleep(DOWN_FOR).await;
        self.start(relay, gone_s).await
    }

    fn stop_all(&self) {
        for relay in 0..self.chaos.relays {
            if let Some(end) = self.ended(relay) {
                self.judge_end(&end);
            }
            with(&self.processes, relay, |process| process.kill(false));
        }
    }

    /// The faults that were made, from the logs of all relays.
    fn faults_made(&self) -> BTreeMap<String, u64> {
        let mut faults = BTreeMap::new();
        for relay in 0..self.chaos.relays {
            let log = self.folder.join(format!("n{relay}")).join("faults.log");
            for line in std::fs::read_to_string(log).unwrap_or_default().lines() {
                let what: Vec<&str> = line.split(' ').skip(2).collect();
                *faults.entry(what.join(" ")).or_default() += 1;
            }
        }
        faults
    }
}
