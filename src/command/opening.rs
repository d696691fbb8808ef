//! Opens the system resources that a start needs: event loop, signal handlers, listening sockets, the state folder and the clock.
//! Each is retried while the error may be transient.

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
use tulipfall::retry::{retry_transient, retry_transient_blocking};
use tulipfall::standing::{Phase, ProcessStatus};
use tulipfall::store::{FolderLock, Journal, lock_folder};

use super::Failure;

/// Time for which a process that stops before it served still answers requests, in microseconds.
const ANSWER_PERIOD_US: Micros = 500_000;
/// Answer to clients in that time.
const STOPPING: &str = "the relay is about to end";

/// Creates the event loop.
pub fn event_loop() -> std::io::Result<Runtime> {
    retry_transient_blocking("event loop", || {
        let build = || Builder::new_current_thread().enable_all().build();
        // Tokio registers its signal handling here, and panics when no file descriptor is available.
        catch_unwind(AssertUnwindSafe(build)).unwrap_or_else(|_| Err(nix::errno::Errno::EMFILE.into()))
    })
}

/// The signals that stop the process.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Before this, the signals terminate the process at once.
    pub fn install() -> std::io::Result<Self> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn stop(&mut self) {
        tokio::select! {
        _ = self.terminate.recv() => {}
        _ = self.interrupt.recv() => {}
        }
    }
}

/// Creates the relay's clock, and the anchor that lets later processes continue it.
pub async fn clock(
    state: &Path, relay: &str, status: &ProcessStatus,
) -> Result<(Clock, Option<ClockAnchor>), Failure> {
    let folder = state.display();
    let saved = retry_transient("clock", status, async || ClockAnchor::read(state)).await;
    let saved = saved.map_err(|error| format!("{folder}: {error}"))?;
    if let Some(other) = saved.as_ref().map(ClockAnchor::relay).filter(|other| *other != relay) {
        return Err(
            format!("{folder}: belongs to the relay {other:?}; give {relay:?} a folder of its own").into()
        );
    }
    let resumed = saved.is_some();
    let (clock, anchor) = ClockAnchor::resume(relay, saved)?;
    debug!(
        goes_on = resumed,
        ahead_us = clock.now() - Clock::start().now(),
        "clock started, with its lead over the wall clock"
    );
    Ok((clock, anchor))
}

/// Binds a socket on which clients or partners connect.
pub async fn listen(address: SocketAddr, status: &ProcessStatus) -> Result<TcpListener, Failure> {
    let what = format!("listen {address}");
    let bind = async || {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        Ok::<_, std::io::Error>((listener, bound))
    };
    let bound = retry_transient(&what, status, bind).await;
    let (listener, bound) = bound.map_err(|error| format!("{what}: {error}"))?;
    // Logged because with port 0 the system chooses the port.
    info!("listening on {bound}");
    Ok(listener)
}

/// The state folder, owned by this process, and the journal in it.
pub struct OpenState {
    pub owner: FolderLock,
    pub journal: Journal,
    pub handed_over: Option<(Box<tulipfall::handed::HandoverState>, tulipfall::handover::link::Link)>,
}

/// Acquires the state folder and opens the journal. With `from_other`, a process that still runs may hand over its state.
pub async fn open_state(
    config: &Config, from_other: bool, (clock, anchor): (Clock, Option<&ClockAnchor>), status: &ProcessStatus,
) -> Result<OpenState, Failure> {
    let folder = config.state.display();
    let Takeover { owner, handed_over } = if from_other {
        take_over(&config.state, &config.name, clock, status).await?
    } else {
        let owner = retry_transient("state folder", status, async || lock_folder(&config.state)).await;
        let owner = owner.map_err(|error| format!("{folder}: {error}"))?;
        let other = || format!("{folder}: another process uses this state folder");
        Takeover { owner: owner.ok_or_else(other)?, handed_over: None }
    };
    if let Some(anchor) = anchor {
        let kept = retry_transient("clock", status, async || anchor.write(&config.state)).await;
        kept.map_err(|error| format!("{folder}: {error}"))?;
    }
    let open = async || Journal::open(&config.state, config.journal_room());
    let (journal, _) = retry_transient("journal", status, open).await?;
    Ok(OpenState { owner, journal, handed_over })
}

/// Stops a process before it has served. Messages that clients have submitted are refused, so that every request that was read
/// gets an answer.
pub async fn end_unserved(
    clock: Clock, status: &ProcessStatus, mut inputs: mpsc::Receiver<Input>, front: Arc<Inbound>,
) {
    status.enter(Phase::Stopping);
    info!("stopping before serving");
    let by = clock.instant(clock.now() + ANSWER_PERIOD_US);
    let refuse = async {
        while let Some(input) = inputs.recv().await {
            if let Input::Submitted(_, _, reply) = input {
                let _ = reply.send(Answer::Refused(STOPPING.into(), None));
            }
        }
    };
    let _ = tokio::time::timeout_at(by, refuse).await;
    // Dropping the remaining inputs refuses their requests.
    drop(inputs);
    front.wait_answered(clock.now() + ANSWER_PERIOD_US).await;
}
