//! The relay at work: reads its configuration, replays its journal, and starts the fronts and the record around
//! the runtime. Owns the order of start and stop. It must never decide anything about a message.

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
use tulipfall::net::http::Budget;
use tulipfall::net::inbound::{Front, Inbound, Vocabulary, serve};
use tulipfall::net::outbound::Outbound;
use tulipfall::net::{Protocol, discovery, door};
use tulipfall::recording::{self, Outbox};
use tulipfall::retry::{Retries, until_works, until_works_blocking};
use tulipfall::rules::Relay;
use tulipfall::runtime::{End, Runtime};
use tulipfall::standing::{Phase, ProcessStatus};

use super::Failure;
use super::opening::{self, OpenState, StopSignals, end_unserved, event_loop, listen, open_state};
use super::reload::{Reload, Reread, addresses};
use super::tasks::watched;

/// After a signal to stop, the last call must have ended within this; the platform kills after 3.7 s.
const STOP_WITHIN: Micros = 2_500_000;
/// Then the last answers are written within this.
const ANSWER_WITHIN: Micros = 200_000;
/// And what ended is recorded within this, or at the next start.
const RECORD_WITHIN: Micros = 700_000;
/// The parts of the memory for bodies that are being read, and for those that are held.
const MEMORY_READING: usize = 8;
const MEMORY_HELD: usize = 4;
/// Descriptors for files, listening sockets and the agent.
const FILES: usize = 24;
/// Inputs on their way to the runtime.
const INPUTS: usize = 1024;

/// Runs a relay until it is stopped. `load` reads the configuration, and is told whether it does so again.
pub fn start(load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    let config = until_works_blocking("configuration", || load(false))?;
    event_loop()?.block_on(run(config, load))
}

async fn run(mut config: Config, load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    // Before all else: a signal that finds no handler ends the process.
    let mut signals = StopSignals::install()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let before_clock = ProcessStatus::starting(Clock::start());
    let (clock, anchor) = tokio::select! {
        clock = opening::clock(&config.state, &config.name, &before_clock) => clock?,
        () = signals.stop() => return Ok(()),
    };
    let (inputs, received) = mpsc::channel(INPUTS);
    let (notices, owed) = mpsc::unbounded_channel();
    let standing = Arc::new(ProcessStatus::starting(clock));
    // Open before the replay: operators hear then that it starts.
    if let Some(ops) = config.ops {
        tokio::select! {
            opened = until_works("ops", &standing, async || door::open(ops, standing.clone(), clock)) => {
                opened.map_err(|error| format!("ops {ops}: {error}"))?;
            }
            () = signals.stop() => return Ok(()),
        }
    }
    let budget = Budget::new(config.limits.memory / MEMORY_READING);
    let front = |front| {
        let (inputs, standing) = (inputs.clone(), standing.clone());
        let (reading, busy, guests) = Default::default();
        Arc::new(Inbound { clock, front, inputs, budget: budget.clone(), reading, busy, guests, standing })
    };
    // An eighth of the descriptors for AS2 partners. Of what these, files and the agent leave, calls take half at the most,
    // clients what calls leave, up to half of all, and idle connections to endpoints the rest: however many clients hold a
    // place, a call and the agent find a descriptor.
    let most_partners = config.limits.sockets / 8;
    let partners = if config.as2.is_some() { most_partners } else { 0 };
    let ops = config.ops.map_or(0, |_| door::DESCRIPTORS);
    let left = config.limits.sockets.saturating_sub(partners + FILES + ops).max(2);
    config.settings.slots = config.settings.slots.min(u32::try_from(left / 2).unwrap_or(u32::MAX));
    let left = left - config.settings.slots as usize;
    let most_clients = left.min(config.limits.sockets / 2);
    let most_idle = left - most_clients;
    let clients = Arc::new(AtomicUsize::new(most_clients));

    let (ended, mut ends) = mpsc::unbounded_channel();
    let vocabulary =
        Vocabulary::new(config.names.classes(), &config.settings.classes, config.names.tenants());
    let (naming, named) = watch::channel(vocabulary);
    let platform = front(Front::Platform(named));
    let mut serving = None;
    let mut inherited = config.accept.as_deref().map(|fd| adopt(fd, config.listen)).transpose()?;
    // Bound before the replay, so that clients wait for it rather than be turned away. One that is inherited may be
    // served by another process still.
    if inherited.is_none() {
        let listener = tokio::select! {
            listener = listen(config.listen, &standing) => listener?,
            () = signals.stop() => return Ok(()),
        };
        let front = serve(listener, platform.clone(), clients.clone());
        serving = Some(tokio::spawn(watched("clients' connections", &ended, front)));
    }
    let opened = tokio::select! {
        opened = open_state(&config, inherited.is_some(), (clock, anchor.as_ref()), &standing) => opened?,
        () = signals.stop() => {
            end_unserved(clock, &standing, received, platform).await;
            return Ok(());
        }
    };
    let OpenState { owner, mut journal, handed_over } = opened;
    let recorded = match &config.record {
        Some(record) => {
            let (name, state, seed) = (&config.name, &config.state, clock.now().unsigned_abs());
            tokio::select! {
                started = recording::start(record, name, state, seed, clock, &standing, &mut journal) => Some(started?),
                () = signals.stop() => {
                    end_unserved(clock, &standing, received, platform).await;
                    return Ok(());
                }
            }
        }
        None => None,
    };
    let replay = journal.replay();
    let settings = &config.settings;
    let connections = Connections::new(clock, settings.connect_timeout, settings.idle_timeout, most_idle)
        .counted_by(standing.connections().clone());
    let as2 = config.as2.take().map(|as2| {
        let receipts = replay.receipts.clone();
        let front = As2::new(as2.identity, clock, inputs.clone(), connections.clone(), receipts);
        (as2.listen, Arc::new(front))
    });
    let partners = as2.as_ref().map(|(_, front)| front.clone() as Arc<dyn Protocol>);
    let caller = Box::new(Outbound::new(clock, inputs.clone(), connections.clone(), partners));
    let (messages, pending) = (replay.messages.len(), replay.notices.len());
    let relay = (Relay::new(config.settings.clone(), config.seed)?, config.settings.clone());
    let names = config.names.clone();
    let most = (config.settings.max_held as usize, config.limits.memory / MEMORY_HELD);
    let last = replay.entries.iter().map(|(number, _)| *number).max().unwrap_or(0);
    let known = config.known.take();
    let revision = known.as_ref().map_or(0, |known| known.revision);
    let revision = handed_over.as_ref().map_or(revision, |(handed, _)| handed.revision);
    let revision = Arc::new(AtomicI64::new(revision));
    let mut known = known.map(|known| known.members).unwrap_or_default();
    let mut runtime = Runtime::new(clock, relay, names, most, journal, caller, notices)
        .with_status(standing.clone())
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
    let mut said = Vec::new();
    let relays = config.fleet.as_ref().map(|fleet| fleet.all.clone()).unwrap_or_default();
    let (relays, replaced) = watch::channel(relays);
    let mut peers = None;
    let leave = Arc::new(Notify::new());
    if let Some(setup) = &config.fleet {
        let seed = clock.now().unsigned_abs();
        let (rules, snapshot) = (&config.settings.rules, (config.state.as_path(), config.snapshot_room()));
        let (inputs, process) = (inputs.clone(), (standing.clone(), leave.clone()));
        let before = match &handed_over {
            None => fleet::InitialEndpoints::Configured(&known),
            Some((handed, _)) => fleet::InitialEndpoints::HandedOver(handed.endpoints()),
        };
        let started = tokio::select! {
            started = fleet::start(setup, rules, snapshot, (clock, seed), (inputs, replaced), process, before) => {
                started.map_err(|error| format!("peers: {error}"))?
            }
            () = signals.stop() => {
                end_unserved(clock, &standing, received, platform).await;
                return Ok(());
            }
        };
        (runtime, said) = (runtime.with_fleet(started.updates), started.restored_reports);
        let abort = started.task.abort_handle();
        peers = Some((abort, tokio::spawn(watched("peers", &ended, started.task))));
        // What control machines said last goes before the list of the file.
        known = started.endpoints.unwrap_or(known);
    }
    // Pushed lists are asked of an agent of this machine's own; others cost the one that all relays ask.
    let (asking, watch) = match config.settings.list_request_interval {
        None => (1, discovery::WATCH_PUSHED),
        Some(_) => (config.settings.senders, discovery::WATCH),
    };
    let mut back_off = discovery::BackOff::new(asking, config.seed, config.settings.rules.drain_grace);
    let mut kept = None;
    match handed_over {
        None => runtime.resume(known, said, replay)?,
        Some((handed, link)) => {
            back_off = back_off.watching();
            standing.inherit_standby(handed.standby);
            kept = Some((link, runtime.adopt(*handed, replay)?));
        }
    }

    let [asked, told] = addresses(&config);
    let ((ask, asked), (tell, told)) = (watch::channel(asked), watch::channel(told));
    let follow = discovery::follow(clock, asked, revision, (back_off, watch), inputs.clone());
    let follow = tokio::spawn(watched("discovery", &ended, follow));
    tokio::spawn(watched("reports", &ended, discovery::notify(clock, told, owed, inputs.clone())));
    let mut fronts = vec![platform.clone()];
    if let Some((address, as2)) = as2 {
        let as2 = front(Front::Beside(as2));
        let most = Arc::new(AtomicUsize::new(most_partners));
        let partners = serve(listen(address, &standing).await?, as2.clone(), most);
        tokio::spawn(watched("partners' connections", &ended, partners));
        fronts.push(as2);
    }
    let (links, mut linked) = mpsc::channel(1);
    if let Some(listener) = inherited.take() {
        if kept.is_some() {
            // Clients' connections are shared between the two until the old one's are gone.
            clients.store(client_limit(most_clients, most_clients), Ordering::Relaxed);
            connections.keep_at_most(most_idle / 8);
        }
        let (inputs, places_now, connections) = (inputs.clone(), clients.clone(), connections.clone());
        let (state, name, hands_over) = (config.state.clone(), config.name.clone(), hands_over(&config));
        tokio::spawn(async move {
            if let Some((link, out)) = kept {
                serve_link(link, out, inputs.clone(), clients, most_clients).await;
                connections.keep_at_most(most_idle);
            }
            // With nobody before it any more, this one may be replaced in turn.
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
            let again = retiring.retire();
            tokio::time::sleep_until(clock.instant(again)).await;
        }
    });
    let again = inputs.clone();
    let stopping = standing.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = signals.stop() => {}
            // Emptied in its turn, which the process after this one ends.
            () = leave.notified() => {}
        }
        stopping.enter(Phase::Stopping);
        info!("stopping");
        let _ = inputs.send(Input::Stop(clock.now() + STOP_WITHIN)).await;
    });
    standing.enter(Phase::Serving);
    info!("{} ready, {messages} messages and {pending} notices taken on again", config.name);
    let mut reloads = Reload { last: None, start: config, to: [ask, tell], relays, inputs: again };
    let served = runtime.run(received);
    tokio::pin!(served);
    let mut again = Reread::default();
    let end = loop {
        tokio::select! {
            end = &mut served => break end?,
            Some(task) = ends.recv() => return Err(format!("{task}: the task has ended by itself").into()),
            Some(()) = hangup.recv() => again = Reread::default(),
            () = again.due() => {}
        }
        if let Some(read) = again.read(|| load(true)) {
            reloads.take(read);
        }
    };
    if let End::HandedOver(left, inputs) = end {
        // All that the new process is to have: the listening socket and the notes' socket are let go of, then the
        // folder, of which the journal is closed already.
        for task in [serving, Some(follow)].into_iter().flatten() {
            task.abort();
            let _ = task.await;
        }
        if let Some((abort, task)) = peers {
            abort.abort();
            let _ = task.await;
        }
        connections.keep_at_most(0);
        standing.enter(Phase::Superseded);
        drop(owner);
        if let Some(mut successor) = linked.recv().await {
            let _ = successor.link.send(&LinkMessage::Released).await;
            finish(successor, inputs, left, platform, clock).await;
        }
        return Ok(());
    }
    for front in fronts {
        front.answered(clock.now() + ANSWER_WITHIN).await;
    }
    if let Some(record) = started
        && !record.handle.flushed(clock.instant(clock.now() + RECORD_WITHIN)).await
    {
        info!("the record does not hold all ends yet; the journal keeps them for the next start");
    }
    Ok(())
}

/// Whether this relay can pass all on while it runs. With a record or AS2 its successor waits for its end.
fn hands_over(config: &Config) -> bool {
    config.record.is_none() && config.as2.is_none()
}

/// Lets processes call that would take over.
async fn open_to_successors(
    state: &Path, name: String, clock: Clock, inputs: mpsc::Sender<Input>, links: mpsc::Sender<Successor>,
) {
    let mut retries = Retries::default();
    loop {
        let error = match link::listen(state) {
            Ok(listener) => return offer(listener, name, clock, inputs, links).await,
            Err(error) => error,
        };
        let Some(interval) = retries.after("handover", &error) else {
            return warn!("no process can take over while this one runs: {error}");
        };
        tokio::time::sleep(interval).await;
    }
}

/// The clients' listening socket, as this process was started with it.
fn adopt(fd: &str, expected: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = inherited::listener(fd, expected).map_err(|why| format!("PROXY_ACCEPT_FD: {why}"))?;
    let adopted = || {
        let bound = listener.local_addr()?;
        Ok::<_, std::io::Error>((TcpListener::from_std(listener.try_clone()?)?, bound))
    };
    let (adopted, bound) = until_works_blocking("listening socket", adopted)?;
    info!("listening on {bound}");
    Ok(adopted)
}
