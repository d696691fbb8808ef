//! What a start needs of the system, tried again while the cause of an error may pass: event loop, signals, listening sockets,
//! the state folder and the clock.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tracing::{debug, info};

use tulipfall::clock::{Clock, ClockAnchor};
use tulipfall::config::Config;
use tulipfall::exchange::Answer;
use tulipfall::handover::new::{Takeover, take_over};
use tulipfall::input::Input;
use tulipfall::interface::Micros;
use tulipfall::net::inbound::Inbound;
use tulipfall::retry::{until_works, until_works_blocking};
use tulipfall::standing::{Phase, ProcessStatus};
use tulipfall::store::{FolderLock, Journal, lock_folder};

use super::Failure;

/// Time for which a process that ends before it served still answers what comes.
const ANSWER_FOR: Micros = 500_000;
/// What a client is told then.
const STOPPING: &str = "the relay is about to end";

/// The event loop.
pub fn event_loop() -> std::io::Result<Runtime> {
    until_works_blocking("event loop", || {
        let build = || Builder::new_current_thread().enable_all().build();
        // The handlers of signals are set up inside, which panics where no descriptor is to be had.
        catch_unwind(AssertUnwindSafe(build)).unwrap_or_else(|_| Err(nix::errno::Errno::EMFILE.into()))
    })
}

/// The signals that end the process.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes them over: until then they end the process at once.
    pub fn install() -> std::io::Result<Self> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The relay's clock, and what keeps it for later processes.
pub async fn clock(
    state: &Path, relay: &str, standing: &ProcessStatus,
) -> Result<(Clock, Option<ClockAnchor>), Failure> {
    let folder = state.display();
    let earlier = until_works("clock", standing, async || ClockAnchor::read(state)).await;
    let earlier = earlier.map_err(|error| format!("{folder}: {error}"))?;
    if let Some(other) = earlier.as_ref().map(ClockAnchor::relay).filter(|other| *other != relay) {
        return Err(
            format!("{folder}: belongs to the relay {other:?}; give {relay:?} a folder of its own").into()
        );
    }
    let goes_on = earlier.is_some();
    let (clock, anchor) = ClockAnchor::resume(relay, earlier)?;
    debug!(
        goes_on,
        ahead_us = clock.now() - Clock::start().now(),
        "the clock, and how far it is ahead of the wall clock"
    );
    Ok((clock, anchor))
}

/// A socket on which clients or partners connect.
pub async fn listen(address: SocketAddr, standing: &ProcessStatus) -> Result<TcpListener, Failure> {
    let what = format!("listen {address}");
    let bind = async || {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        Ok::<_, std::io::Error>((listener, bound))
    };
    let bound = until_works(&what, standing, bind).await;
    let (listener, bound) = bound.map_err(|error| format!("{what}: {error}"))?;
    // Told, as port 0 lets the system choose one.
    info!("listening on {bound}");
    Ok(listener)
}

/// The state folder, once it is this process's, with the journal in it.
pub struct OpenState {
    pub owner: FolderLock,
    pub journal: Journal,
    pub handed_over: Option<(Box<tulipfall::handed::HandoverState>, tulipfall::handover::link::Link)>,
}

/// Takes the state folder and opens the journal; `from_other` where a process that still runs may hand over.
pub async fn open_state(
    config: &Config, from_other: bool, (clock, anchor): (Clock, Option<&ClockAnchor>),
    standing: &ProcessStatus,
) -> Result<OpenState, Failure> {
    let folder = config.state.display();
    let Takeover { owner, handed_over } = if from_other {
        take_over(&config.state, &config.name, clock, standing).await?
    } else {
        let owner = until_works("state folder", standing, async || lock_folder(&config.state)).await;
        let owner = owner.map_err(|error| format!("{folder}: {error}"))?;
        let other = || format!("{folder}: another process uses this state folder");
        Takeover { owner: owner.ok_or_else(other)?, handed_over: None }
    };
    if let Some(anchor) = anchor {
        let kept = until_works("clock", standing, async || anchor.write(&config.state)).await;
        kept.map_err(|error| format!("{folder}: {error}"))?;
    }
    let open = async || Journal::open(&config.state, config.journal_room());
    let (journal, _) = until_works("journal", standing, open).await?;
    Ok(OpenState { owner, journal, handed_over })
}

/// Ends a process that was told to before it served: what clients handed in meanwhile is refused, so that no request that
/// was read stays without an answer.
pub async fn end_unserved(
    clock: Clock, standing: &ProcessStatus, mut inputs: mpsc::Receiver<Input>, front: Arc<Inbound>,
) {
    standing.enter(Phase::Stopping);
    info!("stopping before it served");
    let by = clock.instant(clock.now() + ANSWER_FOR);
    let refuse = async {
        while let Some(input) = inputs.recv().await {
            if let Input::Handed(_, _, reply) = input {
                let _ = reply.send(Answer::Refused(STOPPING.into(), None));
            }
        }
    };
    let _ = tokio::time::timeout_at(by, refuse).await;
    // Whoever still waits is refused as its input is dropped.
    drop(inputs);
    front.answered(clock.now() + ANSWER_FOR).await;
}
