//! The machine that points are measured on, and what else it does meanwhile.

use std::fs;
use std::thread;

use serde::{Deserialize, Serialize};

/// Processes ready to run beyond which figures of the processor are taken as disturbed.
const QUIET_LOAD: f64 = 1.0;

/// The machine, as far as it bears on the figures.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Cores that the process may use.
    pub cores: usize,
    /// Processes ready to run in the mean of the minute before the first point; nothing where the system does not say.
    pub load_before: Option<f64>,
    /// Whether processor figures were taken beside other load.
    pub beside_other_load: bool,
}

impl Machine {
    /// Looks at this machine, before the first point.
    pub fn observe() -> Self {
        let load_before = load_average();
        Self {
            cores: thread::available_parallelism().map_or(1, usize::from),
            load_before,
            beside_other_load: load_before.is_none_or(|load| load > QUIET_LOAD),
        }
    }
}

fn load_average() -> Option<f64> {
    fs::read_to_string("/proc/loadavg").ok()?.split_whitespace().next()?.parse().ok()
}
