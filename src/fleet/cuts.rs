//! The cut of each destination, as its steward has it, for operators: which messages have to wait, and log lines when that
//! begins, moves and ends. It decides nothing.

use std::collections::BTreeMap;

use overload::waits::STEP;
use permits::coordinator::Queue;
use serde_json::{Value, json};
use tracing::info;

use crate::interface::Micros;

/// It is looked at so often.
const EVERY: Micros = 1_000_000;
/// What waits for so long at the least lies under the cut.
const WAITS: Micros = 1_000_000;

/// The cuts that were last told.
#[derive(Default)]
pub(super) struct Cuts {
    due: Micros,
    told: BTreeMap<i64, u16>,
}

/// The highest worth of which the first message waits for long.
fn cut(queue: &Queue) -> Option<(u16, f64)> {
    let levels = queue.wait_times.levels().iter();
    let mut long = levels.map(|(worth, first, _)| (*worth, Micros::from(*first) * STEP));
    long.find(|(_, wait)| *wait >= WAITS).map(|(worth, wait)| (worth, wait as f64 / 1e6))
}

impl Cuts {
    /// Whether it is time to look; when the next time is.
    pub(super) fn due(&mut self, now: Micros) -> bool {
        let due = now >= self.due;
        if due {
            self.due = now + EVERY;
        }
        due
    }

    pub(super) fn next(&self) -> Micros {
        self.due
    }

    /// Tells what changed.
    pub(super) fn look(&mut self, queues: &[Queue]) {
        let cuts: BTreeMap<i64, (u16, f64)> =
            queues.iter().filter_map(|queue| Some((queue.destination, cut(queue)?))).collect();
        for (destination, (worth, wait_s)) in &cuts {
            if self.told.insert(*destination, *worth) != Some(*worth) {
                let worth = f64::from(*worth) / 1000.0;
                info!(
                    destination,
                    worth, wait_s, "cut: messages of that worth and less wait so long at the least"
                );
            }
        }
        self.told.retain(|destination, _| {
            let stays = cuts.contains_key(destination);
            if !stays {
                info!(destination, "cut: gone");
            }
            stays
        });
    }
}

/// For `tulipfall overload show`.
pub(super) fn show(queue: &Queue) -> Value {
    let waiting: Vec<String> =
        queue.waiting.iter().map(|(worth, n)| format!("{n} of {:.2}", f64::from(*worth) / 1000.0)).collect();
    let seconds = |steps: u8| Micros::from(steps) as f64 * STEP as f64 / 1e6;
    let waits = queue.wait_times.levels().iter();
    let waits: Vec<String> = waits
        .map(|(worth, first, last)| {
            format!("{:.2}: {:.1} to {:.1} s", f64::from(*worth) / 1000.0, seconds(*first), seconds(*last))
        })
        .collect();
    json!({"destination": queue.destination, "per_s": queue.per_s, "cut": cut(queue).map(|(worth, _)| f64::from(worth) / 1000.0),
        "waiting": waiting.join(", "), "waits": waits.join(", ")})
}
