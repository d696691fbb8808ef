//! The runtime while its store is unavailable: which messages it accepts, sends and ends, and how it recovers.

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
use tulipfall::net::clearance::Clearance;
use tulipfall::rules::Relay;
use tulipfall::runtime::{Caller, Runtime};
use tulipfall::store::{Folder, Journal, Replay, Storage};

/// Time limit of every step of a test.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A folder whose writes fail with `ENOSPC` while a flag is set.
#[derive(Debug)]
struct FailingStorage(Folder, Arc<AtomicBool>);

impl FailingStorage {
    fn check_flag(&self) -> Result<()> {
        if self.1.load(Ordering::SeqCst) { Err(Errno::ENOSPC.into()) } else { Ok(()) }
    }
}

impl Storage for FailingStorage {
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
        self.check_flag()?;
        self.0.create(number)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        if self.check_flag().is_err() {
            // A torn write.
            self.0.append(&bytes[..bytes.len() / 2])?;
            return self.check_flag();
        }
        self.0.append(bytes)
    }

    fn truncate(&mut self, length: u64) -> Result<()> {
        self.check_flag()?;
        self.0.truncate(length)
    }

    fn remove(&mut self, number: u64) -> Result<()> {
        self.0.remove(number)
    }
}

/// A caller that records the started calls and keeps their handles.
#[derive(Clone)]
struct RecordingCaller {
    calls: mpsc::UnboundedSender<OutboundCall>,
    handles: Arc<Mutex<Vec<oneshot::Receiver<()>>>>,
    clearance: Clearance,
}

impl Caller for RecordingCaller {
    fn call(&self, call: OutboundCall) -> oneshot::Sender<()> {
        let (handle, cancelled) = oneshot::channel();
        self.handles.lock().expect("no panic").push(cancelled);
        let _ = self.calls.send(call);
        handle
    }

    fn close(&self, _: TargetId) {}

    fn clearance(&self) -> &Clearance {
        &self.clearance
    }

    fn expected_receipt(&self, _: &Exchange) -> Option<Expected> {
        None
    }
}

/// A runtime with one destination, whose store can be made to fail.
struct TestRuntime {
    clock: Clock,
    state: PathBuf,
    config: Config,
    fails: Arc<AtomicBool>,
    inputs: mpsc::Sender<Input>,
    calls: mpsc::UnboundedReceiver<OutboundCall>,
    notices: mpsc::UnboundedReceiver<Notice>,
}

impl TestRuntime {
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
        let storage = FailingStorage(Folder::open(&state).expect("a folder"), fails.clone());
        let (journal, replay) =
            Journal::replay_from(Box::new(storage), config.journal_room()).expect("a journal");
        let ((notice, notices), (started, calls)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let caller =
            RecordingCaller { calls: started, handles: Arc::default(), clearance: Clearance::new(clock) };
        let relay = (Relay::new(config.settings.clone(), 1).expect("sound"), config.settings.clone());
        let names = config.names.clone();
        let mut runtime = Runtime::new(clock, relay, names, (99, 1 << 20), journal, Box::new(caller), notice);
        let known = config.known.clone().map(|known| known.members).unwrap_or_default();
        runtime.resume(known, vec![], replay).expect("stored");
        let (inputs, received) = mpsc::channel(64);
        tokio::task::spawn_local(runtime.run(received));
        TestRuntime { clock, state, config, fails, inputs, calls, notices }
    }

    fn set_store_failure(&self, fails: bool) {
        self.fails.store(fails, Ordering::SeqCst);
    }

    /// Submits a message with `left` microseconds until it is due, and returns the answer.
    async fn submit(&self, id: &str, class: &str, left: Micros) -> Answer {
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
        within_timeout(answer).await.expect("an answer")
    }

    /// Ends a call with an outcome.
    async fn end(&self, call: &OutboundCall, outcome: Outcome) {
        let end = CallEnd {
            id: call.exchange.id.clone(),
            attempt: call.attempt,
            target: call.target,
            outcome,
            verdict: outcome.verdict(),
            began: self.clock.now(),
            answered: None,
            report: LimitReport::default(),
            evidence: Evidence::default(),
        };
        self.inputs.send(Input::Ended(end)).await.expect("it runs");
    }

    /// Returns the next call that starts.
    async fn call(&mut self) -> OutboundCall {
        within_timeout(self.calls.recv()).await.expect("a call")
    }

    /// Returns what a process that starts after a kill at this moment reads from the journal.
    fn replay_after_kill(&self) -> Replay {
        Journal::open(&self.state, self.config.journal_room()).expect("opens").1
    }
}

async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.expect("a result within the time limit")
}

#[tokio::test(flavor = "local")]
async fn message_that_cannot_be_stored_is_refused_and_leaves_no_state() {
    let mut fixture = TestRuntime::start("outage-refused");
    fixture.set_store_failure(true);
    for id in ["first", "second"] {
        let Answer::Refused(_, Some(after)) = fixture.submit(id, "paid-extra", 3_000_000).await else {
            panic!("{id} is accepted")
        };
        assert!(after > 0 && after <= 250_000, "{after}");
    }
    assert_eq!(fixture.replay_after_kill(), Replay::default());
    fixture.set_store_failure(false);
    // After the advised delay a message is accepted.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.submit("third", "paid-extra", 3_000_000).await, Answer::Taken);
    assert_eq!(fixture.call().await.exchange.id, "third", "the refused messages are not sent");
    assert!(fixture.calls.try_recv().is_err());
}

#[tokio::test(flavor = "local")]
async fn a_retry_waits_until_its_start_is_stored() {
    let mut fixture = TestRuntime::start("outage-retry");
    assert_eq!(fixture.submit("held", "paid-extra", 8_000_000).await, Answer::Taken);
    let first = fixture.call().await;
    fixture.set_store_failure(true);
    fixture.end(&first, Outcome::ConnectFailed).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(fixture.calls.try_recv().is_err(), "the start of the retry is not stored");
    assert!(
        fixture.replay_after_kill().messages[0].may_have_run,
        "the store holds the start of the first call only"
    );
    fixture.set_store_failure(false);
    let second = fixture.call().await;
    assert_eq!((second.exchange.id.as_str(), second.attempt > first.attempt), ("held", true));
    fixture.end(&second, Outcome::Ok).await;
}

#[tokio::test(flavor = "local")]
async fn overdue_message_is_reported_while_the_store_is_unavailable() {
    let mut fixture = TestRuntime::start("outage-due");
    assert_eq!(fixture.submit("held", "status-update", 900_000).await, Answer::Taken);
    let first = fixture.call().await;
    let due = first.exchange.due;
    fixture.set_store_failure(true);
    fixture.end(&first, Outcome::ConnectFailed).await;
    let notice = within_timeout(fixture.notices.recv()).await.expect("a report");
    let now = fixture.clock.now();
    assert_eq!(notice.id, "held");
    assert!(now >= due && now < due + 300_000, "{} us after its due time", now - due);
    assert!(fixture.calls.try_recv().is_err(), "no call was started meanwhile");
    // After a restart it is overdue, so it is reported again and not delivered.
    assert!(fixture.replay_after_kill().messages.iter().all(|held| held.due <= now));
    fixture.set_store_failure(false);
}

#[tokio::test(flavor = "local")]
async fn message_that_has_ended_gets_the_same_answer_while_the_store_is_unavailable() {
    let mut fixture = TestRuntime::start("outage-before");
    assert_eq!(fixture.submit("done", "paid-extra", 3_000_000).await, Answer::Taken);
    let call = fixture.call().await;
    fixture.end(&call, Outcome::Ok).await;
    assert_eq!(fixture.submit("done", "paid-extra", 3_000_000).await, Answer::TakenBefore);
    fixture.set_store_failure(true);
    assert!(matches!(fixture.submit("new", "paid-extra", 3_000_000).await, Answer::Refused(..)));
    assert_eq!(fixture.submit("done", "paid-extra", 3_000_000).await, Answer::TakenBefore);
}
