//! Maintenance of this relay: drains it and resumes it as the fleet decides, requests the exit of the process once it is
//! drained, persists the state of the coordination, and serves operators' commands.
//!
//! Invariants: the relay drains only after the slot has been written to the file, and a standby that operators set by hand is
//! never changed.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tracing::{info, warn};
use turns::node::{Action, Config, Node, PersistedState};
use turns::requests::{Kind, Stage};
use turns::voter::RelayStatus;
use turns::{MaintenancePolicy, Peer};

use super::state_file;
use crate::interface::Micros;
use crate::standing::{Phase, ProcessStatus};

/// Interval at which a draining relay is checked, in microseconds.
const DRAIN_CHECK_INTERVAL: Micros = 100_000;
/// Interval between attempts to write the file, in microseconds.
const WRITE_RETRY_INTERVAL: Micros = 250_000;
/// Interval between checks for strain, in microseconds.
const STRAIN_CHECK_INTERVAL: Micros = 250_000;
/// Time without messages or clients after which a relay counts as drained, in microseconds. Until then clients that do not
/// know of the standby yet may still connect.
const EMPTY_TIMEOUT: Micros = 500_000;

/// Configuration of maintenance coordination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceSetup {
    /// Maximum number of relays in maintenance at once.
    pub max_unavailable: u8,
    /// The zone of each relay, by its number.
    pub zones: Vec<u16>,
}

/// Maintenance of this relay.
pub(super) struct Maintenance {
    pub(super) node: Node,
    me: Peer,
    standing: Arc<ProcessStatus>,
    /// Notified when the process has to exit.
    shutdown: Arc<Notify>,
    file: PathBuf,
    /// Whether the relay is in standby because of its maintenance.
    drained_for_maintenance: bool,
    empty_since: Option<Micros>,
    shutdown_requested: bool,
    /// Whether the file lacks changes of the node's state.
    unsaved: bool,
    /// Earliest time of the next attempt to write the file.
    write_at: Micros,
    /// Actions that wait until the file is written.
    pending_actions: Vec<Action>,
    strained: bool,
    strain_check_at: Micros,
    last_reason: String,
}

impl Maintenance {
    pub(super) fn new(
        setup: MaintenanceSetup, (me, relays, incarnation): (Peer, Peer, u32), state: &Path, now: Micros,
        standing: Arc<ProcessStatus>, shutdown: Arc<Notify>,
    ) -> Self {
        let file = state.join("turns");
        let persisted: PersistedState = state_file::read(&file);
        // The standby was set for the maintenance that this start ends, not by operators.
        if persisted.slot.is_some() && standing.standby() {
            let _ = standing.set_standby(false);
        }
        let policy = MaintenancePolicy { relays, max_unavailable: setup.max_unavailable, zones: setup.zones };
        let node = Node::new(Config { me, incarnation, policy }, now, &persisted);
        let (drained_for_maintenance, empty_since, shutdown_requested, strained, last_reason) =
            (false, None, false, false, String::new());
        Maintenance {
            node,
            me,
            standing,
            shutdown,
            file,
            drained_for_maintenance,
            empty_since,
            shutdown_requested,
            unsaved: false,
            write_at: Micros::MIN,
            pending_actions: Vec::new(),
            strained,
            strain_check_at: now,
            last_reason,
        }
    }

    pub(super) fn set_relay_count(&mut self, relays: Peer) {
        self.node.set_policy(MaintenancePolicy { relays, ..self.node.policy().clone() });
    }

    /// Whether a check for strain is due.
    pub(super) fn strain_check_due(&mut self, now: Micros) -> bool {
        let due = now >= self.strain_check_at;
        self.strain_check_at = if due { now + STRAIN_CHECK_INTERVAL } else { self.strain_check_at };
        due
    }

    /// Sets the destination under strain that this relay sees, if any.
    pub(super) fn set_strained(&mut self, now: Micros, strained: Option<i64>) {
        if strained.is_some() != self.strained {
            self.strained = strained.is_some();
            info!(
                destination = strained,
                "maintenance: strain {}",
                if self.strained { "delays new maintenance" } else { "is over" }
            );
        }
        self.node.set_strained(now, self.strained);
    }

    /// Carries out the node's actions, and returns when it has to be called again.
    pub(super) fn run(&mut self, now: Micros) -> Micros {
        let serving = self.standing.phase() == Phase::Serving;
        self.node.set_serving(
            now,
            unix_ms(now),
            serving && (self.drained_for_maintenance || !self.standing.standby()),
        );
        let actions = self.node.take_actions();
        self.unsaved |= self.node.take_unsaved() || !actions.is_empty();
        self.pending_actions.extend(actions);
        if self.unsaved && now < self.write_at {
            return self.write_at;
        }
        // Actions are carried out only once the state is on disk, so that a restart knows of them.
        if self.unsaved && state_file::write(&self.file, &self.node.persisted_state()).is_err() {
            self.write_at = now + WRITE_RETRY_INTERVAL;
            return self.write_at;
        }
        self.unsaved = false;
        for action in std::mem::take(&mut self.pending_actions) {
            let standby = match action {
                Action::Drain(slot) => {
                    let (incarnation, round) = (slot.token.incarnation, slot.token.round);
                    info!(
                        incarnation,
                        round, "draining for maintenance: {:?}, slot {}", slot.kind, slot.index
                    );
                    true
                }
                Action::Resume => {
                    info!("maintenance is over, accepting clients again");
                    false
                }
            };
            if let Err(error) = self.standing.set_standby(standby) {
                warn!("cannot change the standby state for maintenance: {error}");
            } else {
                self.drained_for_maintenance = standby;
            }
            self.empty_since = None;
        }
        let reason = self.node.waiting_reason(now);
        if reason != self.last_reason && !reason.is_empty() {
            info!("maintenance: {reason}");
        }
        self.last_reason = reason;
        self.shut_down_when_empty(now)
    }

    fn shut_down_when_empty(&mut self, now: Micros) -> Micros {
        let Some(slot) = self.node.slot().filter(|slot| {
            slot.kind.exits_process() && self.drained_for_maintenance && !self.shutdown_requested
        }) else {
            return Micros::MAX;
        };
        match self.standing.counts() {
            (0, 0) => {
                let since = *self.empty_since.get_or_insert(now);
                if now - since >= EMPTY_TIMEOUT {
                    self.shutdown_requested = true;
                    info!("drained; the process exits for its maintenance ({:?})", slot.kind);
                    self.shutdown.notify_one();
                }
            }
            _ => self.empty_since = None,
        }
        now + DRAIN_CHECK_INTERVAL
    }

    /// Handles an operator's command from the control socket.
    pub(super) fn handle_command(&mut self, now: Micros, command: &Value) -> Value {
        self.node.set_serving(now, unix_ms(now), self.drained_for_maintenance || self.standing.ready());
        let text = |key: &str| command.get(key).and_then(Value::as_str);
        let relay =
            command.get("relay").and_then(Value::as_u64).map_or(Some(self.me), |n| Peer::try_from(n).ok());
        let MaintenancePolicy { relays, zones, .. } = self.node.policy().clone();
        let Some(relay) = relay.filter(|relay| *relay < relays) else {
            return json!({"error": format!("relay: the fleet has {relays} relays, numbered from 0")});
        };
        let kind_value = command.get("kind").filter(|kind| !kind.is_null());
        let Ok(kind) = kind_value.map_or(Ok(Kind::default()), Kind::deserialize) else {
            let kind = text("kind").unwrap_or_default();
            return json!({"error": format!("kind {kind:?}: expected restart, upgrade, reboot or replace")});
        };
        let zone = command.get("zone").and_then(Value::as_u64);
        // The command `show` changes nothing, so its answer has no `new`.
        let operation = text("turns").unwrap_or("show");
        let changed = match operation {
            "show" => return json!({"turns": self.show(now)}),
            "out" => self.node.update_request(now, relay, kind, Stage::Pending),
            "abort" => self.node.update_request(now, relay, kind, Stage::Aborted),
            "write-off" if relay == self.me => {
                return json!({"error": "this relay answers, so it cannot be written off"});
            }
            "write-off" => self.node.update_request(now, relay, kind, Stage::WrittenOff),
            "back" => self.node.end_slot(unix_ms(now)),
            "pause" => self.node.set_paused(now, true),
            "resume" => self.node.set_paused(now, false),
            "roll" => {
                let of_zone = |relay: &Peer| {
                    zone.is_none() || zones.get(usize::from(*relay)).map(|z| u64::from(*z)) == zone
                };
                let rolled: Vec<Peer> = (0..relays).filter(of_zone).collect();
                if rolled.is_empty() {
                    return json!({"error": format!("zone {}: no relay is in this zone", zone.unwrap_or_default())});
                }
                rolled
                    .into_iter()
                    .filter(|relay| self.node.update_request(now, *relay, kind, Stage::Pending))
                    .count()
                    > 0
            }
            other => return json!({"error": format!("unknown command {other:?}")}),
        };
        self.run(now);
        json!({"new": changed, "turns": self.show(now)})
    }

    /// The state that is shown to operators.
    pub(super) fn show(&self, now: Micros) -> Value {
        let requests = self.node.requests();
        let show_request = |request: &turns::requests::DrainRequest| json!({"relay": request.relay, "kind": request.kind, "stage": request.stage, "since_ms": request.requested_at_ms});
        let all = requests.all();
        let listed: Vec<Value> =
            all.iter().filter(|request| request.relay != Peer::MAX).map(show_request).collect();
        let not_serving = self.node.unavailable_relays(now).into_iter().map(|(peer, status)| {
            let status_text = match status {
                RelayStatus::HoldsSlot(slot) => format!("out, seat {slot}"),
                RelayStatus::Away => "out or not heard".into(),
                RelayStatus::Unknown => "not known yet".into(),
                RelayStatus::Serving => "serves".into(),
            };
            json!({"relay": peer, "is": status_text})
        });
        let slot = self.node.slot().map(|slot| {
            json!({"kind": slot.kind, "seat": slot.index, "incarnation": slot.token.incarnation, "round": slot.token.round})
        });
        json!({"relay": self.me, "seats": self.node.policy().max_unavailable, "turn": slot, "waits_for": self.node.waiting_reason(now),
            "paused": requests.paused(), "wishes": listed, "not_serving": not_serving.collect::<Vec<_>>()})
    }
}

/// Converts the clock's Unix time from microseconds to milliseconds.
fn unix_ms(now: Micros) -> u64 {
    u64::try_from(now / 1000).unwrap_or(0)
}
