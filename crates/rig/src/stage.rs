//! What is set up before a play: the claimed network, the agents of discovery, and the configured processes. Owns the
//! order in which they start. It must never start more than the machine bears.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result, bail};

use crate::agent;
use crate::audit::Book;
use crate::clock::Clock;
use crate::fleet::{Net, Process, configuration};
use crate::resources;
use crate::scenario::Scenario;

/// All have to be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The relays' processes, by number.
pub type Processes = Arc<Vec<Mutex<Process>>>;

/// Does something with a relay's process, if there is such a relay.
pub fn with<T>(processes: &Processes, relay: usize, act: impl FnOnce(&mut Process) -> T) -> Option<T> {
    let process = processes.get(relay)?;
    Some(act(&mut process.lock().unwrap_or_else(PoisonError::into_inner)))
}

/// Waits until a relay is ready, or the time is up.
pub async fn ready(processes: &Processes, relay: usize) -> bool {
    let Some(mut ready) = with(processes, relay, |process| process.ready.clone()) else { return false };
    matches!(tokio::time::timeout(READY_WITHIN, ready.wait_for(|ready| *ready)).await, Ok(Ok(_)))
}

/// A build that is played: its program, and what its environment says beside the rig's own.
#[derive(Clone, Debug)]
pub struct Build {
    /// The program.
    pub program: PathBuf,
    /// Variables and their values.
    pub environment: Vec<(String, String)>,
    /// A build from before, and how many relays run it, the last ones.
    pub older: Option<(PathBuf, usize)>,
}

impl Build {
    /// One that all relays run.
    pub fn of(program: PathBuf, environment: Vec<(String, String)>) -> Self {
        Build { program, environment, older: None }
    }

    /// What a relay of so many runs.
    fn of_relay(&self, relay: usize, relays: usize) -> &Path {
        let older = self.older.as_ref().filter(|(_, last)| relay + last >= relays);
        older.map_or(&self.program, |(older, _)| older)
    }
}

/// A fleet that is set up and not started yet.
pub struct Stage {
    /// What is to be played.
    pub scenario: Arc<Scenario>,
    /// The addresses.
    pub net: Net,
    /// What is seen is written here.
    pub book: Book,
    /// The time of the play.
    pub clock: Clock,
    /// The relays.
    pub processes: Processes,
}

impl Stage {
    /// Claims addresses, starts the agents, and writes each relay's configuration; files are left in `folder`.
    ///
    /// # Errors
    /// Where the machine does not bear so many relays, or a socket or a file is not to be had.
    pub async fn set(scenario: Scenario, seed: u64, build: &Build, folder: &Path) -> Result<Self> {
        resources::Demand::of(scenario.relays, scenario.each_partner().len()).check()?;
        // What was written before, by a build say, is not to be written while relays wait for their own disk.
        tokio::task::spawn_blocking(nix::unistd::sync).await?;
        let folder: PathBuf = std::path::absolute(folder)?;
        if folder.exists() {
            std::fs::remove_dir_all(&folder).with_context(|| folder.display().to_string())?;
        }
        let scenario = Arc::new(scenario);
        let (net, book, clock) = (Net::claim()?, Book::default(), Clock::default());
        let partners = scenario.each_partner();
        let mut processes = Vec::new();
        for relay in 0..scenario.relays {
            let listed = partners.iter().enumerate().map(|(n, p)| {
                let at = if scenario.proxied { net.proxy(relay, n) } else { net.partner(relay, n) };
                (at, if p.listed { p.per_s } else { 0.0 })
            });
            let list = agent::list(&listed.collect::<Vec<_>>());
            let config = configuration(&scenario, &net, relay, seed, list.clone());
            agent::start(scenario.clone(), relay, clock.clone(), net.agent(relay), list, book.clone())
                .await?;
            let own = folder.join(format!("n{relay}"));
            let mut environment = build.environment.clone();
            if scenario.turns > 0 {
                environment.push(("TULIPFALL_TURNS".into(), scenario.turns.to_string()));
            }
            let program = std::path::absolute(build.of_relay(relay, scenario.relays))?;
            processes.push(Mutex::new(Process::new(&program, &environment, own, &config)?));
        }
        Ok(Stage { scenario, net, book, clock, processes: Arc::new(processes) })
    }

    /// Starts the relays, and waits until all are ready.
    ///
    /// # Errors
    /// Where one does not start, or is not ready in time.
    pub async fn start(&self) -> Result<()> {
        for relay in 0..self.scenario.relays {
            with(&self.processes, relay, Process::start).context("no such relay")??;
        }
        for relay in 0..self.scenario.relays {
            if !ready(&self.processes, relay).await {
                let log = with(&self.processes, relay, |process| process.log()).unwrap_or_default();
                bail!("relay {relay} did not become ready; see {}", log.display());
            }
        }
        Ok(())
    }
}
