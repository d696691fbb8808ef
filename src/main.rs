//! The program: reads its configuration, replays its store, and starts the fronts around the runtime. Owns
//! the order of start and stop. It must never decide anything about a message.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use tulipfall::config::Config;
use tulipfall::exchange::{Clock, Input};
use tulipfall::interface::Micros;
use tulipfall::net::inbound::{Inbound, Vocabulary, serve};
use tulipfall::net::{discovery, outbound::Outbound};
use tulipfall::rules::Relay;
use tulipfall::runtime::Runtime;
use tulipfall::store::{Journal, Store};

/// After a signal to stop, the last call must have ended within this; the platform kills after 3.7 s.
const STOP_WITHIN: Micros = 2_500_000;
/// Inputs on their way to the runtime.
const INPUTS: usize = 1024;

fn main() -> ExitCode {
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = built.map_err(Into::into).and_then(|runtime| runtime.block_on(run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipfall: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load(|variable| std::env::var(variable).ok())?;
    let clock = Clock::start();
    // Bound first, so that clients wait for the replay rather than be turned away.
    let listener = TcpListener::bind(config.listen).await?;
    let (inputs, received) = mpsc::channel(INPUTS);
    let (notices, owed) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(false);
    let outbound = Outbound::new(
        clock,
        inputs.clone(),
        config.settings.connect_timeout,
        config.settings.connection_idle,
    );
    let vocabulary =
        Vocabulary { classes: config.names.classes().to_vec(), tenants: config.names.tenants().to_vec() };
    let ready = AtomicBool::new(false);
    let inbound = Arc::new(Inbound { clock, vocabulary, inputs: inputs.clone(), ready, stopping });
    // Half of the descriptors for clients; the rest for endpoints, idle connections, files and the agent.
    tokio::spawn(serve(listener, inbound.clone(), config.limits.sockets / 2));

    let (journal, replay) = Journal::open(&config.state, config.limits.disk)?;
    let (messages, pending) = (replay.messages.len(), replay.notices.len());
    let relay = Relay::new(config.settings.clone(), config.seed)?;
    let (store, caller) = (Store::Journal(journal), Box::new(outbound.clone()));
    let mut runtime = Runtime::new(clock, relay, config.names, &config.settings, store, caller, notices);
    let revision = config.known.as_ref().map_or(0, |known| known.revision);
    runtime.resume(config.known.map(|known| known.members).unwrap_or_default(), replay).await?;
    if let Some(address) = config.discovery {
        let address: Arc<str> = address.to_string().into();
        tokio::spawn(discovery::follow(clock, address.clone(), revision, inputs.clone()));
        tokio::spawn(discovery::notify(clock, address, owed, inputs.clone()));
    }
    tokio::spawn(async move {
        loop {
            let again = outbound.retire();
            tokio::time::sleep_until(clock.instant(again)).await;
        }
    });
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        eprintln!("tulipfall: stopping");
        let _ = stop.send(true);
        let _ = inputs.send(Input::Stop(clock.now() + STOP_WITHIN)).await;
    });
    inbound.ready.store(true, Ordering::Relaxed);
    eprintln!("tulipfall: {} ready, {messages} messages and {pending} notices taken on again", config.name);
    runtime.run(received).await?;
    Ok(())
}
