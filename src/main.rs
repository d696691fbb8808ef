//! The program: reads its configuration, replays its store, and starts the fronts around the runtime; or
//! writes and checks configurations. Owns the order of start and stop. It must never decide anything about a
//! message.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use tulipfall::as2::As2;
use tulipfall::config::{Config, ConfigError, StoreChoice, template};
use tulipfall::exchange::{Clock, Input};
use tulipfall::interface::Micros;
use tulipfall::net::discovery;
use tulipfall::net::http::Budget;
use tulipfall::net::inbound::{Front, Inbound, Vocabulary, serve};
use tulipfall::net::outbound::{Connections, Outbound};
use tulipfall::rules::Relay;
use tulipfall::runtime::Runtime;
use tulipfall::store::{Database, Journal, Replay, Store};

/// After a signal to stop, the last call must have ended within this; the platform kills after 3.7 s.
const STOP_WITHIN: Micros = 2_500_000;
/// Then the last answers are written within this.
const ANSWER_WITHIN: Micros = 200_000;
/// The parts of the memory for bodies that are being read, and for those that are held.
const MEMORY_READING: usize = 8;
const MEMORY_HELD: usize = 4;
/// Descriptors for files, listening sockets and the agent.
const FILES: usize = 24;
/// Inputs on their way to the runtime.
const INPUTS: usize = 1024;
const USAGE: &str = "usage: tulipfall                        one relay; PROXY_CONFIG names its configuration
       tulipfall run --config FILE      one relay, by an operator's file
       tulipfall config init APP [FILE] writes a configuration for an application
       tulipfall config check FILE ...  tells whether configurations can be used";

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let environment = |variable: &str| std::env::var(variable).ok();
    let result = match arguments[..] {
        [] | ["run"] => start(|again| match again {
            // The environment is the start's: from then on the file that was replaced tells where discovery is.
            true => Config::load(|variable| environment(variable).filter(|_| variable != "PROXY_DISCOVERY")),
            false => Config::load(environment),
        }),
        ["run", "--config", file] => start(|_| Config::load_file(Path::new(file), environment)),
        ["config", "init", application] => init(application, &format!("{application}.toml")),
        ["config", "init", application, file] => init(application, file),
        ["config", "check", ref files @ ..] if !files.is_empty() => check(files),
        _ => Err(USAGE.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipfall: {error}");
            ExitCode::FAILURE
        }
    }
}

fn init(application: &str, file: &str) -> Result<(), Failure> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if application.is_empty() || !application.chars().all(plain) {
        return Err(format!("application {application:?}: expected letters, digits, - and _").into());
    }
    // Never over a file that is there: an operator may have changed it.
    let mut file = std::fs::File::create_new(file).map_err(|error| format!("{file}: {error}"))?;
    std::io::Write::write_all(&mut file, template(application).as_bytes())?;
    Ok(())
}

fn check(files: &[&str]) -> Result<(), Failure> {
    let mut wrong = 0;
    for file in files {
        match Config::load_file(Path::new(file), |variable| std::env::var(variable).ok()) {
            Ok(config) => println!("{file}: {} can be used", config.name),
            Err(error) => {
                println!("{file}: {error}");
                wrong += 1;
            }
        }
    }
    if wrong == 0 { Ok(()) } else { Err(format!("{wrong} of {} cannot be used", files.len()).into()) }
}

/// `load` reads the configuration, and is told whether it does so again.
fn start(load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    let config = load(false)?;
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(run(config, load))
}

/// Where discovery is asked and where notices go, as texts.
fn addresses(config: &Config) -> [Option<Arc<str>>; 2] {
    [config.discovery, config.notices].map(|address| address.map(|address| address.to_string().into()))
}

/// Takes on what a new configuration changes; one that cannot be used leaves all as it is.
fn reload(start: &Config, new: Result<Config, ConfigError>, to: [&watch::Sender<Option<Arc<str>>>; 2]) {
    let new = match new {
        Ok(new) => new,
        Err(error) => {
            return eprintln!("tulipfall: the configuration cannot be used, the old one stays: {error}");
        }
    };
    for (address, to) in addresses(&new).into_iter().zip(to) {
        to.send_if_modified(|old| std::mem::replace(old, address.clone()) != address);
    }
    let left = start.need_a_start(&new);
    let left =
        if left.is_empty() { String::new() } else { format!("; needs a restart: {}", left.join(", ")) };
    eprintln!("tulipfall: configuration read again{left}");
}

async fn open(config: &Config, now: Micros) -> Result<(Store, Replay), Failure> {
    std::fs::create_dir_all(&config.state).map_err(|error| format!("{}: {error}", config.state.display()))?;
    Ok(match &config.store {
        StoreChoice::Journal => {
            let (journal, replay) = Journal::open(&config.state, config.limits.disk)?;
            (Store::Journal(journal), replay)
        }
        StoreChoice::Sqlite(file) => {
            let (disk, keep) = (config.limits.disk, config.keep);
            let (database, replay) = Database::sqlite(file, &config.name, disk, keep, now).await?;
            (Store::Database(Box::new(database)), replay)
        }
        StoreChoice::Postgres(address) => {
            let (database, replay) = Database::postgres(address, &config.name, config.keep, now).await?;
            (Store::Database(Box::new(database)), replay)
        }
    })
}

async fn run(mut config: Config, load: impl Fn(bool) -> Result<Config, ConfigError>) -> Result<(), Failure> {
    let clock = Clock::start();
    // Before all else: a signal that finds no handler ends the process.
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut hangup = signal(SignalKind::hangup())?;
    let (inputs, received) = mpsc::channel(INPUTS);
    let (notices, owed) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(false);
    let budget = Budget::new(config.limits.memory / MEMORY_READING);
    let front = |front| {
        let (inputs, stopping) = (inputs.clone(), stopping.clone());
        let (busy, ready) = (AtomicUsize::new(0), AtomicBool::new(false));
        Arc::new(Inbound { clock, front, inputs, budget: budget.clone(), busy, ready, stopping })
    };
    // Half of the descriptors for clients, an eighth for AS2 partners. Of the rest, what calls, files and the agent
    // do not need is for idle connections to endpoints.
    let (most_clients, most_partners) = (config.limits.sockets / 2, config.limits.sockets / 8);
    let partners = if config.as2.is_some() { most_partners } else { 0 };
    let spoken_for = most_clients + partners + config.settings.slots as usize + FILES;
    let most_idle = config.limits.sockets.saturating_sub(spoken_for);

    // Bound before the replay, so that clients wait for it rather than be turned away.
    let listener = listen(config.listen).await?;
    let vocabulary =
        Vocabulary { classes: config.names.classes().to_vec(), tenants: config.names.tenants().to_vec() };
    let platform = front(Front::Platform(vocabulary));
    tokio::spawn(serve(listener, platform.clone(), most_clients));

    let (store, replay) = open(&config, clock.now()).await?;
    let settings = &config.settings;
    let connections = Connections::new(clock, settings.connect_timeout, settings.connection_idle, most_idle);
    let as2 = config.as2.take().map(|as2| {
        let receipts = replay.receipts.clone();
        let front = As2::new(as2.identity, clock, inputs.clone(), connections.clone(), receipts);
        (as2.listen, Arc::new(front))
    });
    let partners = as2.as_ref().map(|(_, front)| front.clone());
    let caller = Box::new(Outbound::new(clock, inputs.clone(), connections.clone(), partners));
    let (messages, pending) = (replay.messages.len(), replay.notices.len());
    let relay = Relay::new(config.settings.clone(), config.seed)?;
    let names = std::mem::take(&mut config.names);
    let most = (config.settings.max_held as usize, config.limits.memory / MEMORY_HELD);
    let mut runtime = Runtime::new(clock, relay, names, most, store, caller, notices);
    let known = config.known.take();
    let revision = known.as_ref().map_or(0, |known| known.revision);
    runtime.resume(known.map(|known| known.members).unwrap_or_default(), replay).await?;

    let [asked, told] = addresses(&config);
    let ((ask, asked), (tell, told)) = (watch::channel(asked), watch::channel(told));
    tokio::spawn(discovery::follow(clock, asked, revision, inputs.clone()));
    tokio::spawn(discovery::notify(clock, told, owed, inputs.clone()));
    let mut fronts = vec![platform.clone()];
    if let Some((address, as2)) = as2 {
        let as2 = front(Front::As2(as2));
        as2.ready.store(true, Ordering::Relaxed);
        tokio::spawn(serve(listen(address).await?, as2.clone(), most_partners));
        fronts.push(as2);
    }
    tokio::spawn(async move {
        loop {
            let again = connections.retire();
            tokio::time::sleep_until(clock.instant(again)).await;
        }
    });
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        eprintln!("tulipfall: stopping");
        let _ = stop.send(true);
        let _ = inputs.send(Input::Stop(clock.now() + STOP_WITHIN)).await;
    });
    platform.ready.store(true, Ordering::Relaxed);
    eprintln!("tulipfall: {} ready, {messages} messages and {pending} notices taken on again", config.name);
    let served = runtime.run(received);
    tokio::pin!(served);
    loop {
        tokio::select! {
            end = &mut served => break end?,
            Some(()) = hangup.recv() => reload(&config, load(true), [&ask, &tell]),
        }
    }
    for front in fronts {
        front.answered(clock.now() + ANSWER_WITHIN).await;
    }
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Failure> {
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|error| format!("listen {address}: {error}"))?;
    // Told, as port 0 lets the system choose one.
    eprintln!("tulipfall: listening on {}", listener.local_addr()?);
    Ok(listener)
}
