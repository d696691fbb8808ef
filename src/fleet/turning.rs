//! The relay's part in the fleet's turns: takes orders to go out and to come back, asks its process to end once it is empty,
//! keeps what outlasts it in a file, and answers operators. Owns that file. It must never go out before that is in the file,
//! nor touch a posture that operators gave by hand.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tracing::{info, warn};
use turns::node::{Config, Kept, Node, Order};
use turns::voter::Counts;
use turns::wishes::{Kind, Stage};
use turns::{Peer, Terms};

use super::kept;
use crate::interface::Micros;
use crate::standing::{Phase, ProcessStatus};

/// While a relay empties, it is looked at so often.
const LOOK: Micros = 100_000;
/// Interval between tries to write the file, in microseconds.
const KEEP_AGAIN: Micros = 250_000;
/// Strain is looked for so often.
const STRAIN_EVERY: Micros = 250_000;
/// It is empty once it has held nothing for so long: clients that have not heard yet may still come.
const EMPTY_FOR: Micros = 500_000;

/// How a relay takes turns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnsSetup {
    /// So many may be out at once.
    pub seats: u8,
    /// The zone of each relay, by its number.
    pub zones: Vec<u16>,
}

/// A relay among those that take turns, on its process.
pub(super) struct Turning {
    pub(super) node: Node,
    me: Peer,
    standing: Arc<ProcessStatus>,
    /// Told once the process is to end.
    leave: Arc<Notify>,
    file: PathBuf,
    /// Emptied by its turn, and empty since then.
    by_turn: bool,
    empty_since: Option<Micros>,
    left: bool,
    /// The file does not hold what the node says yet.
    unkept: bool,
    /// Not before this it is written again.
    keep_at: Micros,
    /// Orders that wait for the file.
    orders: Vec<Order>,
    strained: bool,
    strain_at: Micros,
    said: String,
}

impl Turning {
    pub(super) fn new(
        setup: TurnsSetup, (me, relays, incarnation): (Peer, Peer, u32), state: &Path, now: Micros,
        standing: Arc<ProcessStatus>, leave: Arc<Notify>,
    ) -> Self {
        let file = state.join("turns");
        let kept: Kept = kept::read(&file);
        // A turn that this process ends: it is no posture that operators gave by hand.
        if kept.out.is_some() && standing.standby() {
            let _ = standing.set_standby(false);
        }
        let terms = Terms { relays, seats: setup.seats, zones: setup.zones };
        let node = Node::new(Config { me, incarnation, terms }, now, &kept);
        let (by_turn, empty_since, left, strained, said) = (false, None, false, false, String::new());
        Turning {
            node,
            me,
            standing,
            leave,
            file,
            by_turn,
            empty_since,
            left,
            unkept: false,
            keep_at: Micros::MIN,
            orders: Vec::new(),
            strained,
            strain_at: now,
            said,
        }
    }

    pub(super) fn replaced(&mut self, relays: Peer) {
        self.node.replaced(Terms { relays, ..self.node.terms().clone() });
    }

    /// Whether it is time to look for strain.
    pub(super) fn looks_for_strain(&mut self, now: Micros) -> bool {
        let due = now >= self.strain_at;
        self.strain_at = if due { now + STRAIN_EVERY } else { self.strain_at };
        due
    }

    /// This relay sees a destination under strain, or none.
    pub(super) fn strain(&mut self, now: Micros, strained: Option<i64>) {
        if strained.is_some() != self.strained {
            self.strained = strained.is_some();
            info!(
                destination = strained,
                "turns: strain {}",
                if self.strained { "holds them" } else { "is over" }
            );
        }
        self.node.strain(now, self.strained);
    }

    /// Looks at the process, and does what the node orders; when to look again.
    pub(super) fn look(&mut self, now: Micros) -> Micros {
        let serving = self.standing.phase() == Phase::Serving;
        self.node.serves(now, unix_ms(now), serving && (self.by_turn || !self.standing.standby()));
        let orders = self.node.take_orders();
        self.unkept |= self.node.take_changed() || !orders.is_empty();
        self.orders.extend(orders);
        if self.unkept && now < self.keep_at {
            return self.keep_at;
        }
        // Nothing is done that a restart would not know of.
        if self.unkept && kept::write(&self.file, &self.node.kept()).is_err() {
            self.keep_at = now + KEEP_AGAIN;
            return self.keep_at;
        }
        self.unkept = false;
        for order in std::mem::take(&mut self.orders) {
            let standby = match order {
                Order::Out(turn) => {
                    let (incarnation, round) = (turn.fence.incarnation, turn.fence.round);
                    info!(incarnation, round, "out for work: {:?}, seat {}", turn.kind, turn.seat);
                    true
                }
                Order::Back => {
                    info!("back from work");
                    false
                }
            };
            if let Err(error) = self.standing.set_standby(standby) {
                warn!("a turn is not heeded: {error}");
            } else {
                self.by_turn = standby;
            }
            self.empty_since = None;
        }
        let said = self.node.waits_for(now);
        if said != self.said && !said.is_empty() {
            info!("turn: {said}");
        }
        self.said = said;
        self.leave_when_empty(now)
    }

    fn leave_when_empty(&mut self, now: Micros) -> Micros {
        let Some(turn) = self.node.turn().filter(|turn| turn.kind.ends() && self.by_turn && !self.left)
        else {
            return Micros::MAX;
        };
        match self.standing.counts() {
            (0, 0) => {
                let since = *self.empty_since.get_or_insert(now);
                if now - since >= EMPTY_FOR {
                    self.left = true;
                    info!("empty; the process ends for its {:?}", turn.kind);
                    self.leave.notify_one();
                }
            }
            _ => self.empty_since = None,
        }
        now + LOOK
    }

    /// An operator's order, as the control socket takes it.
    pub(super) fn asked(&mut self, now: Micros, order: &Value) -> Value {
        self.node.serves(now, unix_ms(now), self.by_turn || self.standing.ready());
        let text = |key: &str| order.get(key).and_then(Value::as_str);
        let relay =
            order.get("relay").and_then(Value::as_u64).map_or(Some(self.me), |n| Peer::try_from(n).ok());
        let Terms { relays, zones, .. } = self.node.terms().clone();
        let Some(relay) = relay.filter(|relay| *relay < relays) else {
            return json!({"error": format!("relay: there are {relays}, counted from 0")});
        };
        let named = order.get("kind").filter(|kind| !kind.is_null());
        let Ok(kind) = named.map_or(Ok(Kind::default()), Kind::deserialize) else {
            let kind = text("kind").unwrap_or_default();
            return json!({"error": format!("kind {kind:?}: expected restart, upgrade, reboot or replace")});
        };
        let zone = order.get("zone").and_then(Value::as_u64);
        // To show changes nothing, so that nothing is new or old about it.
        let order = text("turns").unwrap_or("show");
        let new = match order {
            "show" => return json!({"turns": self.show(now)}),
            "out" => self.node.wish(now, relay, kind, Stage::Wanted),
            "abort" => self.node.wish(now, relay, kind, Stage::Aborted),
            "write-off" if relay == self.me => {
                return json!({"error": "a relay that answers is not written off"});
            }
            "write-off" => self.node.wish(now, relay, kind, Stage::WrittenOff),
            "back" => self.node.back(unix_ms(now)),
            "pause" => self.node.pause(now, true),
            "resume" => self.node.pause(now, false),
            "roll" => {
                let of_zone = |relay: &Peer| {
                    zone.is_none() || zones.get(usize::from(*relay)).map(|z| u64::from(*z)) == zone
                };
                let rolled: Vec<Peer> = (0..relays).filter(of_zone).collect();
                if rolled.is_empty() {
                    return json!({"error": format!("zone {}: no relay is of it", zone.unwrap_or_default())});
                }
                rolled.into_iter().filter(|relay| self.node.wish(now, *relay, kind, Stage::Wanted)).count()
                    > 0
            }
            other => return json!({"error": format!("{other:?} is no order")}),
        };
        self.look(now);
        json!({"new": new, "turns": self.show(now)})
    }

    /// All that an operator may ask for.
    pub(super) fn show(&self, now: Micros) -> Value {
        let wishes = self.node.wishes();
        let wish = |wish: &turns::wishes::Wish| json!({"relay": wish.relay, "kind": wish.kind, "stage": wish.stage, "since_ms": wish.since});
        let all = wishes.all();
        let listed: Vec<Value> = all.iter().filter(|w| w.relay != Peer::MAX).map(wish).collect();
        let not_serving = self.node.not_serving(now).into_iter().map(|(peer, counts)| {
            let what = match counts {
                Counts::Seated(seat) => format!("out, seat {seat}"),
                Counts::Away => "out or not heard".into(),
                Counts::Unknown => "not known yet".into(),
                Counts::Serves => "serves".into(),
            };
            json!({"relay": peer, "is": what})
        });
        let turn = self.node.turn().map(|turn| {
            json!({"kind": turn.kind, "seat": turn.seat, "incarnation": turn.fence.incarnation, "round": turn.fence.round})
        });
        json!({"relay": self.me, "seats": self.node.terms().seats, "turn": turn, "waits_for": self.node.waits_for(now),
            "paused": wishes.paused(), "wishes": listed, "not_serving": not_serving.collect::<Vec<_>>()})
    }
}

/// The clock's moments are Unix microseconds.
fn unix_ms(now: Micros) -> u64 {
    u64::try_from(now / 1000).unwrap_or(0)
}
