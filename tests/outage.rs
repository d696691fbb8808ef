//! The runtime while its store fails: what it promises, starts and ends meanwhile, and how it goes on.

mod stand;

use std::io::Result;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::errno::Errno;
use record::model::{Evidence, Expected};
use tokio::sync::{mpsc, oneshot};
use tulipfall::config::Config;
use tulipfall::exchange::{Answer, CallEnd, Clock, Exchange, Notice, OutboundCall};
use tulipfall::input::Input;
use tulipfall::interface::*;
use tulipfall::net::send_guard::SendGuard;
use tulipfall::rules::Relay;
use tulipfall::runtime::{Caller, Runtime};
use tulipfall::store::{Folder, Journal, Replay, Storage};

/// Nothing takes so long.
const SOON: Duration = Duration::from_secs(10);

/// A folder whose writes fail while a switch says so.
#[derive(Debug)]
struct Switched(Folder, Arc<AtomicBool>);

impl Switched {
    fn works(&self) -> Result<()> {
        if self.1.load(Ordering::SeqCst) { Err(Errno::ENOSPC.into()) } else { Ok(()) }
    }
}

impl Storage for Switched {
    fn name(&self, number: u64) -> String {
        self.0.name(number)
    }

    fn segments(&mut self) -> Result<Vec<u64>> {
        self.0.segments()
    }

    fn read(&mut self, number: u64) -> Result<Vec<u8>> {
        self.0.read(number)
    }

    fn create(&mut self, number: u64) -> Result<()> {
        self.works()?;
        self.0.create(number)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        if self.works().is_err() {
            // A part of it is written.
            self.0.append(&bytes[..bytes.len() / 2])?;
            return self.works();
        }
        self.0.append(bytes)
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        self.works()?;
        self.0.truncate(length)
    }

    fn remove(&mut self, number: u64) -> Result<()> {
        self.0.remove(number)
    }
}

/// Keeps the calls that were started, and their handles.
#[derive(Clone)]
struct Started {
    calls: mpsc::UnboundedSender<OutboundCall>,
    handles: Arc<Mutex<Vec<oneshot::Receiver<()>>>>,
    send_guard: SendGuard,
}

impl Caller for Started {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, called_off) = oneshot::channel();
        self.handles.lock().expect("no panic").push(called_off);
        let _ = self.calls.send(call);
        handle
    }

    fn close(&self, _: TargetId) {}

    fn send_guard(&self) -> &SendGuard {
        &self.send_guard
    }

    fn expected(&self, _: &Exchange) -> Option<Expected> {
        None
    }
}

/// A runtime with one destination.
struct Side {
    clock: Clock,
    state: PathBuf,
    config: Config,
    fails: Arc<AtomicBool>,
    inputs: mpsc::Sender<Input>,
    calls: mpsc::UnboundedReceiver<OutboundCall>,
    notices: mpsc::UnboundedReceiver<Notice>,
}

impl Side {
    fn start(name: &str) -> Self {
        let folder = stand::folder(name);
        let (file, state) = (folder.join("config.json"), folder.join("state"));
        let text = stand::site::configuration(&["127.0.0.1:9".to_string()]).to_string();
        std::fs::write(&file, text).expect("a file");
        let variable = |name: &str| match name {
            "PROXY_CONFIG" => Some(file.display().to_string()),
            "PROXY_STATE" => Some(state.display().to_string()),
            _ => None,
        };
        let config = Config::load(variable).expect("a configuration");
        let (clock, fails) = (Clock::start(), Arc::new(AtomicBool::new(false)));
        let storage = Switched(Folder::open(&state).expect("a folder"), fails.clone());
        let (journal, replay) =
            Journal::replay_from(Box::new(storage), config.journal_room()).expect("a journal");
        let ((notice, notices), (started, calls)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let caller = Started { calls: started, handles: Arc::default(), send_guard: SendGuard::new(clock) };
        let relay = (Relay::new(config.settings.clone(), 1).expect("sound"), config.settings.clone());
        let names = config.names.clone();
        let mut runtime = Runtime::new(clock, relay, names, (99, 1 << 20), journal, Box::new(caller), notice);
        let known = config.known.clone().map(|known| known.members).unwrap_or_default();
        runtime.resume(known, vec![], replay).expect("stored");
        let (inputs, received) = mpsc::channel(64);
        tokio::task::spawn_local(runtime.run(received));
        Side { clock, state, config, fails, inputs, calls, notices }
    }

    fn fails(&self, fails: bool) {
        self.fails.store(fails, Ordering::SeqCst);
    }

    async fn hand_in(&self, id: &str, class: &str, left: Micros) -> Answer {
        let exchange = Exchange {
            id: id.into(),
            class: class.into(),
            tenant: Some("desk".into()),
            due: self.clock.now() + left,
            destination: 0,
            idempotency_key: None,
            body: "x".into(),
        };
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Handed(Arc::new(exchange), None, reply)).await.expect("it runs");
        soon(answer).await.expect("an answer")
    }

    async fn end(&self, call: &OutboundCall, outcome: Outcome) {
        let end = CallEnd {
            id: call.exchange.id.clone(),
            attempt: call.attempt,
            target: call.target,
            outcome,
            verdict: outcome.verdict(),
            began: self.clock.now(),
            answered: None,
            report: Report::default(),
            evidence: Evidence::default(),
        };
        self.inputs.send(Input::Ended(end)).await.expect("it runs");
    }

    async fn call(&mut self) -> OutboundCall {
        soon(self.calls.recv()).await.expect("a call")
    }

    /// What a process after a kill at this moment finds.
    fn after_kill(&self) -> Replay {
        Journal::open(&self.state, self.config.journal_room()).expect("opens").1
    }
}

async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(SOON, what).await.expect("soon")
}

#[tokio::test(flavor = "local")]
async fn a_message_that_cannot_be_stored_is_refused_and_leaves_nothing() {
    let mut side = Side::start("outage-refused");
    side.fails(true);
    for id in ["first", "second"] {
        let Answer::Refused(_, Some(after)) = side.hand_in(id, "paid-extra", 3_000_000).await else {
            panic!("{id} is promised")
        };
        assert!(after > 0 && after <= 250_000, "{after}");
    }
    assert_eq!(side.after_kill(), Replay::default());
    side.fails(false);
    // The advice holds.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(side.hand_in("third", "paid-extra", 3_000_000).await, Answer::Taken);
    assert_eq!(side.call().await.exchange.id, "third", "nothing of the others is sent");
    assert!(side.calls.try_recv().is_err());
}

#[tokio::test(flavor = "local")]
async fn a_retry_waits_until_its_start_is_stored() {
    let mut side = Side::start("outage-retry");
    assert_eq!(side.hand_in("held", "paid-extra", 8_000_000).await, Answer::Taken);
    let first = side.call().await;
    side.fails(true);
    side.end(&first, Outcome::ConnectFailed).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(side.calls.try_recv().is_err(), "its start is not stored");
    assert!(side.after_kill().messages[0].may_have_run, "the first call is all that the store knows of");
    side.fails(false);
    let second = side.call().await;
    assert_eq!((second.exchange.id.as_str(), second.attempt > first.attempt), ("held", true));
    side.end(&second, Outcome::Ok).await;
}

#[tokio::test(flavor = "local")]
async fn a_message_whose_time_is_up_is_reported_while_the_store_fails() {
    let mut side = Side::start("outage-due");
    assert_eq!(side.hand_in("held", "status-update", 900_000).await, Answer::Taken);
    let first = side.call().await;
    let due = first.exchange.due;
    side.fails(true);
    side.end(&first, Outcome::ConnectFailed).await;
    let notice = soon(side.notices.recv()).await.expect("a report");
    let now = side.clock.now();
    assert_eq!(notice.id, "held");
    assert!(now >= due && now < due + 300_000, "{} us after its time", now - due);
    assert!(side.calls.try_recv().is_err(), "no call went meanwhile");
    // A restart reports it again, as its time is up, and never delivers it.
    assert!(side.after_kill().messages.iter().all(|held| held.due <= now));
    side.fails(false);
}

#[tokio::test(flavor = "local")]
async fn what_ended_before_is_answered_as_before_while_the_store_fails() {
    let mut side = Side::start("outage-before");
    assert_eq!(side.hand_in("done", "paid-extra", 3_000_000).await, Answer::Taken);
    let call = side.call().await;
    side.end(&call, Outcome::Ok).await;
    assert_eq!(side.hand_in("done", "paid-extra", 3_000_000).await, Answer::TakenBefore);
    side.fails(true);
    assert!(matches!(side.hand_in("new", "paid-extra", 3_000_000).await, Answer::Refused(..)));
    assert_eq!(side.hand_in("done", "paid-extra", 3_000_000).await, Answer::TakenBefore);
}
