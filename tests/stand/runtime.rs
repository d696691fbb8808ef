//! A runtime of the relay without sockets: the test submits messages, sees the calls that start and ends them. Its store can be
//! made to fail.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::errno::Errno;
use record::model::{Evidence, Expected};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tulipfall::config::Config;
use tulipfall::exchange::{Answer, CallEnd, Clock, Exchange, NonDeliveryReport, OutboundCall};
use tulipfall::handed::{HandoverState, Offer};
use tulipfall::input::Input;
use tulipfall::interface::*;
use tulipfall::net::send_guard::SendGuard;
use tulipfall::rules::Relay;
use tulipfall::runtime::{Caller, End, Runtime};
use tulipfall::store::{Folder, Journal, Replay, Storage, StoreError};

/// Time limit of every step of a test.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A folder whose writes fail with `ENOSPC` while a flag is set.
#[derive(Debug)]
struct FailingStorage(Folder, Arc<AtomicBool>);

impl FailingStorage {
    fn check_flag(&self) -> std::io::Result<()> {
        if self.1.load(Ordering::SeqCst) { Err(Errno::ENOSPC.into()) } else { Ok(()) }
    }
}

impl Storage for FailingStorage {
    fn name(&self, number: u64) -> String {
        self.0.name(number)
    }

    fn segments(&mut self) -> std::io::Result<Vec<u64>> {
        self.0.segments()
    }

    fn read(&mut self, number: u64) -> std::io::Result<Vec<u8>> {
        self.0.read(number)
    }

    fn create(&mut self, number: u64) -> std::io::Result<()> {
        self.check_flag()?;
        self.0.create(number)
    }

    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if self.check_flag().is_err() {
            // A torn write.
            self.0.append(&bytes[..bytes.len() / 2])?;
            return self.check_flag();
        }
        self.0.append(bytes)
    }

    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        self.check_flag()?;
        self.0.truncate(length)
    }

    fn remove(&mut self, number: u64) -> std::io::Result<()> {
        self.0.remove(number)
    }
}

/// A caller that records the started calls and keeps their handles.
#[derive(Clone)]
struct RecordingCaller {
    calls: mpsc::UnboundedSender<OutboundCall>,
    handles: Arc<Mutex<Vec<oneshot::Receiver<()>>>>,
    send_guard: SendGuard,
}

impl Caller for RecordingCaller {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, cancelled) = oneshot::channel();
        self.handles.lock().expect("no panic").push(cancelled);
        let _ = self.calls.send(call);
        handle
    }

    fn close(&self, _: TargetId) {}

    fn send_guard(&self) -> &SendGuard {
        &self.send_guard
    }

    fn expected_receipt(&self, _: &Exchange) -> Option<Expected> {
        None
    }
}

/// A runtime with one destination, whose store can be made to fail.
pub struct TestRuntime {
    pub clock: Clock,
    pub state: PathBuf,
    pub config: Config,
    pub fails: Arc<AtomicBool>,
    pub send_guard: SendGuard,
    pub inputs: mpsc::Sender<Input>,
    pub calls: mpsc::UnboundedReceiver<OutboundCall>,
    pub notices: mpsc::UnboundedReceiver<NonDeliveryReport>,
    task: JoinHandle<Result<End, StoreError>>,
}

impl TestRuntime {
    pub fn start(name: &str) -> Self {
        let folder = super::folder(name);
        let (file, state) = (folder.join("config.json"), folder.join("state"));
        let text = super::site::configuration(&["127.0.0.1:9".to_string()]).to_string();
        std::fs::write(&file, text).expect("a file");
        let variable = |name: &str| match name {
            "PROXY_CONFIG" => Some(file.display().to_string()),
            "PROXY_STATE" => Some(state.display().to_string()),
            _ => None,
        };
        let config = Config::load(variable).expect("a configuration");
        Self::open(state, config, None)
    }

    /// Starts a runtime on a state folder: with what its journal holds, or with what another process hands over, too.
    fn open(state: PathBuf, config: Config, handed_over: Option<HandoverState>) -> Self {
        let (clock, fails) = (Clock::start(), Arc::new(AtomicBool::new(false)));
        let storage = FailingStorage(Folder::open(&state).expect("a folder"), fails.clone());
        let (journal, replay) =
            Journal::replay_from(Box::new(storage), config.journal_room()).expect("a journal");
        let ((notice, notices), (started, calls)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let send_guard = SendGuard::new(clock);
        let caller =
            RecordingCaller { calls: started, handles: Arc::default(), send_guard: send_guard.clone() };
        let relay = (Relay::new(config.settings.clone(), 1).expect("sound"), config.settings.clone());
        let names = config.names.clone();
        let mut runtime = Runtime::new(clock, relay, names, (99, 1 << 20), journal, Box::new(caller), notice);
        match handed_over {
            Some(handed_over) => drop(runtime.adopt(handed_over, replay).expect("stored")),
            None => {
                let known = config.known.clone().map(|known| known.members).unwrap_or_default();
                runtime.resume(known, vec![], replay).expect("stored");
            }
        }
        let (inputs, received) = mpsc::channel(64);
        let task = tokio::task::spawn_local(runtime.run(received));
        TestRuntime { clock, state, config, fails, send_guard, inputs, calls, notices, task }
    }

    /// Replaces the process by another one, which takes over while this one runs.
    pub async fn hand_over(self) -> Self {
        let ((state, handed_over), (accept, accepted)) = (oneshot::channel(), oneshot::channel());
        self.inputs.send(Input::HandoverOffered(Offer { state, accepted })).await.expect("it runs");
        let handed_over = within_timeout(handed_over).await.expect("its state");
        let bytes = serde_json::to_vec(&handed_over).expect("the form on the link");
        accept.send(()).expect("it waits");
        let ended = within_timeout(self.task).await.expect("no panic").expect("no error of the store");
        assert!(matches!(ended, End::HandedOver(..)));
        Self::open(self.state, self.config, Some(serde_json::from_slice(&bytes).expect("the state")))
    }

    pub fn set_store_failure(&self, fails: bool) {
        self.fails.store(fails, Ordering::SeqCst);
    }

    /// Submits a message with `left` microseconds until it is due, and returns the answer.
    pub async fn submit(&self, id: &str, class: &str, left: Micros) -> Answer {
        within_timeout(self.start_submission(self.exchange(id, class, left))).await.expect("an answer")
    }

    /// A message with `left` microseconds until it is due.
    pub fn exchange(&self, id: &str, class: &str, left: Micros) -> Exchange {
        Exchange {
            id: id.into(),
            class: class.into(),
            tenant: Some("desk".into()),
            due: self.clock.now() + left,
            destination: 0,
            idempotency_key: None,
            body: "x".into(),
        }
    }

    /// Submits a message. Inputs that follow without a wait in between are processed in one batch with it.
    pub fn start_submission(&self, exchange: Exchange) -> oneshot::Receiver<Answer> {
        let (reply, answer) = oneshot::channel();
        self.inputs.try_send(Input::Submitted(Arc::new(exchange), None, reply)).expect("it runs");
        answer
    }

    /// Tells the runtime that the client of a message left before it heard the answer.
    pub fn withdraw(&self, id: &str) {
        self.inputs.try_send(Input::Withdrawn(id.into())).expect("it runs");
    }

    /// Ends a call with an outcome.
    pub async fn end(&self, call: &OutboundCall, outcome: Outcome) {
        let end = CallEnd {
            id: call.exchange.id.clone(),
            attempt: call.attempt,
            target: call.target,
            outcome,
            decision: outcome.decision(),
            began: self.clock.now(),
            answered: None,
            report: LimitReport::default(),
            evidence: Evidence::default(),
        };
        self.inputs.send(Input::CallEnded(end)).await.expect("it runs");
    }

    /// Returns the next call that starts.
    pub async fn call(&mut self) -> OutboundCall {
        within_timeout(self.calls.recv()).await.expect("a call")
    }

    /// Returns what a process that starts after a kill at this moment reads from the journal.
    pub fn replay_after_kill(&self) -> Replay {
        Journal::open(&self.state, self.config.journal_room()).expect("opens").1
    }
}

pub async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.expect("a result within the time limit")
}
