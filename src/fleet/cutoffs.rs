//! The priority cutoff of each destination, for operators: messages up to this priority wait for long at the destination's
//! limit coordinator. A log line reports each change. Nothing depends on the cutoffs.

use std::collections::BTreeMap;

use overload::waits::STEP_US;
use permits::coordinator::Queue;
use serde_json::{Value, json};
use tracing::info;

use crate::interface::Micros;

/// Interval between checks, in microseconds.
const CHECK_INTERVAL: Micros = 1_000_000;
/// Messages of a priority that wait at least this long are below the cutoff, in microseconds.
const MIN_CUTOFF_WAIT: Micros = 1_000_000;

/// The cutoffs that were last logged, by destination.
#[derive(Default)]
pub(super) struct Cutoffs {
    due: Micros,
    logged: BTreeMap<i64, u16>,
}

/// The highest priority whose first message waits for [`MIN_CUTOFF_WAIT`], in thousandths, and that wait in seconds.
fn cutoff(queue: &Queue) -> Option<(u16, f64)> {
    let levels = queue.wait_times.levels().iter();
    let mut waiting_long = levels.map(|(priority, first, _)| (*priority, Micros::from(*first) * STEP_US));
    waiting_long
        .find(|(_, wait)| *wait >= MIN_CUTOFF_WAIT)
        .map(|(priority, wait)| (priority, wait as f64 / 1e6))
}

impl Cutoffs {
    /// Whether a check is due. If so, the next one is scheduled.
    pub(super) fn due(&mut self, now: Micros) -> bool {
        let due = now >= self.due;
        if due {
            self.due = now + CHECK_INTERVAL;
        }
        due
    }

    pub(super) fn next_due(&self) -> Micros {
        self.due
    }

    /// Logs the cutoffs that have changed.
    pub(super) fn log_changes(&mut self, queues: &[Queue]) {
        let cutoffs: BTreeMap<i64, (u16, f64)> =
            queues.iter().filter_map(|queue| Some((queue.destination, cutoff(queue)?))).collect();
        for (destination, (priority, wait_s)) in &cutoffs {
            if self.logged.insert(*destination, *priority) != Some(*priority) {
                let worth = f64::from(*priority) / 1000.0;
                info!(
                    destination,
                    worth, wait_s, "cutoff: messages of this priority and lower ones wait at least this long"
                );
            }
        }
        self.logged.retain(|destination, _| {
            let stays = cutoffs.contains_key(destination);
            if !stays {
                info!(destination, "cutoff: no message waits for long any more");
            }
            stays
        });
    }
}

/// The waiting messages of a destination, for `tulipfall overload show`.
pub(super) fn show(queue: &Queue) -> Value {
    let waiting: Vec<String> = queue
        .waiting
        .iter()
        .map(|(priority, n)| format!("{n} of {:.2}", f64::from(*priority) / 1000.0))
        .collect();
    let seconds = |steps: u8| Micros::from(steps) as f64 * STEP_US as f64 / 1e6;
    let waits = queue.wait_times.levels().iter();
    let waits: Vec<String> = waits
        .map(|(priority, first, last)| {
            format!("{:.2}: {:.1} to {:.1} s", f64::from(*priority) / 1000.0, seconds(*first), seconds(*last))
        })
        .collect();
    json!({"destination": queue.destination, "per_s": queue.per_s, "cut": cutoff(queue).map(|(priority, _)| f64::from(priority) / 1000.0),
"waiting": waiting.join(", "), "waits": waits.join(", ")})
}
