//! Runs a relay: reads its configuration, replays its journal, and starts the fronts, the record and the runtime.
//!
//! This module defines the order of startup and shutdown. Decisions about messages are made in the runtime alone.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};

use futures_util::SinkExt;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tracing::{info, warn};

use tulipfall::as2::As2;
use tulipfall::config::{Config, ConfigError};
use tulipfall::exchange::Clock;
use tulipfall::fleet;
use tulipfall::handover::link::{self, LinkMessage};
use tulipfall::handover::new::{client_limit, serve_link};
use tulipfall::handover::old::{Successor, finish, offer};
use tulipfall::input::Input;
use tulipfall::interface::Micros;
use tulipfall::net::connections::Connections;
use tulipfall::net::http::MemoryBudget;
use tulipfall::net::inbound::{Inbound, InboundProtocol, KnownNames, serve};
use tulipfall::net::outbound::Outbound;
use tulipfall::net::{PartnerProtocol, admin, discovery};
use tulipfall::recording::{self, Outbox};
use tulipfall::retry::{RetryBackoff, retry_transient, retry_transient_blocking};
use tulipfall::rules::Relay;
use tulipfall::runtime::{End, Runtime};
use tulipfall::standing::{Phase, ProcessStatus};

use super::Failure;
use super::opening::{self, OpenState, StopSignals, end_unserved, event_loop, listen, open_state};
use super::reload::{Reload, ReloadRetry, addresses};
use super::tasks::watched;

/// Time after a signal to stop within which all calls must end, in microseconds. The platform kills the process after 3.7 s.
const STOP_TIMEOUT_US: Micros = 2_500_000;
/// Time after that for writing the last answers, in microseconds.
const ANSWER_TIMEOUT_US: Micros = 200_000;
/// Time after that for recording outcomes, in microseconds. The rest is recorded at the next start.
const RECORD_TIMEOUT_US: Micros = 700_000;
/// Bodies that are being read may take the memory limit divided by this.
const READING_MEMORY_DIVISOR: usize = 8;
/// Bodies that are held may take the memory limit divided by this.
const HELD_MEMORY_DIVISOR: usize = 4;
/// File descriptors reserved for files, listening sockets and the platform's agent.
const RESERVED_DESCRIPTORS: usize = 24;
/// Capacity of the channel of inputs to the runtime.
const INPUT_CAPACITY: usize = 1024;

/// Runs a relay until it is stopped. `load` reads the configuration; its argument is true at a reload.
pub fn start(load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    let config = retry_transient_blocking("configuration", || load(false))?;
    event_loop()?.block_on(run(config, load))
}

async fn run(mut config: Config, load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    // Must come first, because a signal without a handler terminates the process.
    let mut signals = StopSignals::install()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let before_clock = ProcessStatus::starting(Clock::start());
    let (clock, anchor) = tokio::select! {
    clock = opening::clock(&config.state, &config.name, &before_clock) => clock?,
    () = signals.stop() => return Ok(()),
    };
    let (inputs, received) = mpsc::channel(INPUT_CAPACITY);
    let (notices, owed) = mpsc::unbounded_channel();
    let status = Arc::new(ProcessStatus::starting(clock));
    // Opened before the replay, so that operators can see that the process is starting.
    if let Some(ops) = config.ops {
        tokio::select! {
        opened = retry_transient("ops", &status, async || admin::start(ops, status.clone(), clock)) => {
        opened.map_err(|error| format!("ops {ops}: {error}"))?;
        }
        () = signals.stop() => return Ok(()),
        }
    }
    let budget = MemoryBudget::new(config.limits.memory / READING_MEMORY_DIVISOR);
    let front = |protocol| {
        let (inputs, status) = (inputs.clone(), status.clone());
        let (reading, busy, connections) = Default::default();
        Arc::new(Inbound {
            clock,
            protocol,
            inputs,
            budget: budget.clone(),
            reading,
            busy,
            connections,
            standing: status,
        })
    };
    // Division of the file descriptors: an eighth is for AS2 partners. Of those left after partners and reserved descriptors,
    // calls get at most half, clients the rest but at most half of the limit, and idle connections to endpoints what remains.
    // So calls and the agent always have descriptors, however many clients are connected.
    let max_partners = config.limits.sockets / 8;
    let partners = if config.as2.is_some() { max_partners } else { 0 };
    let ops = config.ops.map_or(0, |_| admin::MAX_DESCRIPTORS);
    let descriptors = config.limits.sockets.saturating_sub(partners + RESERVED_DESCRIPTORS + ops).max(2);
    config.settings.slots = config.settings.slots.min(u32::try_from(descriptors / 2).unwrap_or(u32::MAX));
    let descriptors = descriptors - config.settings.slots as usize;
    let max_clients = descriptors.min(config.limits.sockets / 2);
    let max_idle = descriptors - max_clients;
    let clients = Arc::new(AtomicUsize::new(max_clients));

    let (ended, mut ends) = mpsc::unbounded_channel();
    let vocabulary =
        KnownNames::new(config.names.classes(), &config.settings.classes, config.names.tenants());
    let (naming, named) = watch::channel(vocabulary);
    let platform = front(InboundProtocol::Platform(named));
    let mut serving = None;
    let mut inherited = config.accept.as_deref().map(|fd| adopt(fd, config.listen)).transpose()?;
    // Bound before the replay, so that clients wait instead of being refused. An inherited socket may still be served by
    // another process.
    if inherited.is_none() {
        let listener = tokio::select! {
        listener = listen(config.listen, &status) => listener?,
        () = signals.stop() => return Ok(()),
        };
        let front = serve(listener, platform.clone(), clients.clone());
        serving = Some(tokio::spawn(watched("clients' connections", &ended, front)));
    }
    let opened = tokio::select! {
    opened = open_state(&config, inherited.is_some(), (clock, anchor.as_ref()), &status) => opened?,
    () = signals.stop() => {
    end_unserved(clock, &status, received, platform).await;
    return Ok(());
    }
    };
    let OpenState { owner, mut journal, handed_over } = opened;
    let recorded = match &config.record {
        Some(record) => {
            let (name, state, seed) = (&config.name, &config.state, clock.now().unsigned_abs());
            tokio::select! {
            started = recording::start(record, name, state, seed, clock, &status, &mut journal) => Some(started?),
            () = signals.stop() => {
            end_unserved(clock, &status, received, platform).await;
            return Ok(());
            }
            }
        }
        None => None,
    };
    let replay = journal.replay();
    let settings = &config.settings;
    let connections = Connections::new(clock, settings.connect_timeout, settings.idle_timeout, max_idle)
        .with_counts(status.connections().clone());
    let as2 = config.as2.take().map(|as2| {
        let receipts = replay.receipts.clone();
        let front = As2::new(as2.identity, clock, inputs.clone(), connections.clone(), receipts);
        (as2.listen, Arc::new(front))
    });
    let partners = as2.as_ref().map(|(_, front)| front.clone() as Arc<dyn PartnerProtocol>);
    let caller = Box::new(Outbound::new(clock, inputs.clone(), connections.clone(), partners));
    let (messages, pending) = (replay.messages.len(), replay.notices.len());
    let relay = (Relay::new(config.settings.clone(), config.seed)?, config.settings.clone());
    let names = config.names.clone();
    let limits = (config.settings.max_held as usize, config.limits.memory / HELD_MEMORY_DIVISOR);
    let last = replay.entries.iter().map(|(number, _)| *number).max().unwrap_or(0);
    let known = config.known.take();
    let revision = known.as_ref().map_or(0, |known| known.revision);
    let revision = handed_over.as_ref().map_or(revision, |(handed, _)| handed.revision);
    let revision = Arc::new(AtomicI64::new(revision));
    let mut known = known.map(|known| known.members).unwrap_or_default();
    let mut runtime = Runtime::new(clock, relay, names, limits, journal, caller, notices)
        .with_status(status.clone())
        .with_vocabulary(naming)
        .with_revision(revision.clone());
    let mut started = None;
    if let Some((record, numbers)) = recorded {
        let (disk, memory) = (config.limits.disk, config.limits.memory);
        let outbox = Outbox::new(record.handle.clone(), last, &config.settings, disk, memory);
        runtime = runtime.with_outbox(outbox);
        tokio::spawn(recording::acknowledge(numbers, inputs.clone()));
        started = Some(record);
    }
    let mut restored_reports = Vec::new();
    let relays = config.fleet.as_ref().map(|fleet| fleet.all.clone()).unwrap_or_default();
    let (relays, replaced) = watch::channel(relays);
    let mut peers = None;
    let leave = Arc::new(Notify::new());
    if let Some(setup) = &config.fleet {
        let seed = clock.now().unsigned_abs();
        let (rules, snapshot) = (&config.settings.rules, (config.state.as_path(), config.snapshot_room()));
        let (inputs, process) = (inputs.clone(), (status.clone(), leave.clone()));
        let before = match &handed_over {
            None => fleet::InitialEndpoints::Configured(&known),
            Some((handed, _)) => fleet::InitialEndpoints::HandedOver(handed.endpoints()),
        };
        let started = tokio::select! {
        started = fleet::start(setup, rules, snapshot, (clock, seed), (inputs, replaced), process, before) => {
        started.map_err(|error| format!("peers: {error}"))?
        }
        () = signals.stop() => {
        end_unserved(clock, &status, received, platform).await;
        return Ok(());
        }
        };
        (runtime, restored_reports) = (runtime.with_fleet(started.updates), started.restored_reports);
        let abort = started.task.abort_handle();
        peers = Some((abort, tokio::spawn(watched("peers", &ended, started.task))));
        // The destination set last received from control machines takes precedence over the list in the file.
        known = started.endpoints.unwrap_or(known);
    }
    // Pushed lists come from an agent on the same machine. Otherwise all relays query one server, which limits the rate.
    let (asking, watch) = match config.settings.list_request_interval {
        None => (1, discovery::LOCAL_WATCH_WAIT),
        Some(_) => (config.settings.senders, discovery::WATCH_WAIT),
    };
    let mut back_off = discovery::Backoff::new(asking, config.seed, config.settings.rules.drain_grace);
    let mut predecessor = None;
    match handed_over {
        None => runtime.resume(known, restored_reports, replay)?,
        Some((handed, link)) => {
            back_off = back_off.resuming();
            status.inherit_standby(handed.standby);
            predecessor = Some((link, runtime.adopt(*handed, replay)?));
        }
    }

    let [asked, told] = addresses(&config);
    let ((ask, asked), (tell, told)) = (watch::channel(asked), watch::channel(told));
    let following = discovery::watch_list(clock, asked, revision, (back_off, watch), inputs.clone());
    let following = tokio::spawn(watched("discovery", &ended, following));
    tokio::spawn(watched("reports", &ended, discovery::send_reports(clock, told, owed, inputs.clone())));
    let mut fronts = vec![platform.clone()];
    if let Some((address, as2)) = as2 {
        let as2 = front(InboundProtocol::Partner(as2));
        let max_partners = Arc::new(AtomicUsize::new(max_partners));
        let partners = serve(listen(address, &status).await?, as2.clone(), max_partners);
        tokio::spawn(watched("partners' connections", &ended, partners));
        fronts.push(as2);
    }
    let (links, mut linked) = mpsc::channel(1);
    if let Some(listener) = inherited.take() {
        if predecessor.is_some() {
            // Both processes share the limit on client connections until those of the old process are closed.
            clients.store(client_limit(max_clients, max_clients), Ordering::Relaxed);
            connections.set_max_idle(max_idle / 8);
        }
        let (inputs, places_now, connections) = (inputs.clone(), clients.clone(), connections.clone());
        let (state, name, hands_over) = (config.state.clone(), config.name.clone(), hands_over(&config));
        tokio::spawn(async move {
            if let Some((link, out)) = predecessor {
                serve_link(link, out, inputs.clone(), clients, max_clients).await;
                connections.set_max_idle(max_idle);
            }
            // Once the old process has ended, this one may hand over in turn.
            if hands_over {
                open_to_successors(&state, name, clock, inputs, links).await;
            }
        });
        let front = serve(listener, platform.clone(), places_now);
        serving = Some(tokio::spawn(watched("clients' connections", &ended, front)));
    }
    let retiring = connections.clone();
    tokio::spawn(async move {
        loop {
            let next_due = retiring.close_expired();
            tokio::time::sleep_until(clock.instant(next_due)).await;
        }
    });
    let reload_inputs = inputs.clone();
    let stopping = status.clone();
    tokio::spawn(async move {
        tokio::select! {
        () = signals.stop() => {}
        // The relay is drained in its maintenance slot. The next process ends the slot.
        () = leave.notified() => {}
        }
        stopping.enter(Phase::Stopping);
        info!("stopping");
        let _ = inputs.send(Input::Stop(clock.now() + STOP_TIMEOUT_US)).await;
    });
    status.enter(Phase::Serving);
    info!("{} ready, {messages} messages and {pending} notices restored", config.name);
    let mut reload =
        Reload { last_applied: None, start: config, addresses: [ask, tell], relays, inputs: reload_inputs };
    let served = runtime.run(received);
    tokio::pin!(served);
    let mut reload_retry = ReloadRetry::default();
    let end = loop {
        tokio::select! {
        end = &mut served => break end?,
        Some(task) = ends.recv() => return Err(format!("{task}: the task has ended by itself").into()),
        Some(()) = hangup.recv() => reload_retry = ReloadRetry::default(),
        () = reload_retry.due() => {}
        }
        if let Some(read) = reload_retry.read(|| load(true)) {
            reload.apply(read);
        }
    };
    if let End::HandedOver(calls_left, inputs) = end {
        // Release what the new process needs: the listening socket and the socket of the peer links, then the state folder,
        // whose journal is already closed.
        for task in [serving, Some(following)].into_iter().flatten() {
            task.abort();
            let _ = task.await;
        }
        if let Some((abort, task)) = peers {
            abort.abort();
            let _ = task.await;
        }
        connections.set_max_idle(0);
        status.enter(Phase::Superseded);
        drop(owner);
        if let Some(mut successor) = linked.recv().await {
            let _ = successor.link.send(&LinkMessage::Released).await;
            finish(successor, inputs, calls_left, platform, clock).await;
        }
        return Ok(());
    }
    for front in fronts {
        front.wait_answered(clock.now() + ANSWER_TIMEOUT_US).await;
    }
    if let Some(record) = started
        && !record.handle.flushed(clock.instant(clock.now() + RECORD_TIMEOUT_US)).await
    {
        info!("not all outcomes are recorded yet; the journal keeps them for the next start");
    }
    Ok(())
}

/// Whether this relay can hand over while it runs. With a record or AS2, its successor waits until it has ended.
fn hands_over(config: &Config) -> bool {
    config.record.is_none() && config.as2.is_none()
}

/// Accepts processes that request a handover.
async fn open_to_successors(
    state: &Path, name: String, clock: Clock, inputs: mpsc::Sender<Input>, links: mpsc::Sender<Successor>,
) {
    let mut retries = RetryBackoff::default();
    loop {
        let error = match link::listen(state) {
            Ok(listener) => return offer(listener, name, clock, inputs, links).await,
            Err(error) => error,
        };
        let Some(interval) = retries.next_interval("handover", &error) else {
            return warn!("no process can take over while this one runs: {error}");
        };
        tokio::time::sleep(interval).await;
    }
}

/// Adopts the clients' listening socket, which this process inherited.
fn adopt(fd: &str, expected: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = inherited::listener(fd, expected).map_err(|why| format!("PROXY_ACCEPT_FD: {why}"))?;
    let adopted = || {
        let bound = listener.local_addr()?;
        Ok::<_, std::io::Error>((TcpListener::from_std(listener.try_clone()?)?, bound))
    };
    let (adopted, bound) = retry_transient_blocking("listening socket", adopted)?;
    info!("listening on {bound}");
    Ok(adopted)
}
