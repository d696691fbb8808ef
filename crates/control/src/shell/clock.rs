//! The clock of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use consensus::Micros;
use tokio::time::Instant;

/// Unix time in microseconds as of the start of the process, which then runs on monotonically: a wall clock that is set
/// does not move timeouts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_us: Micros,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_us: micros(unix) }
    }

    pub(crate) fn now_us(&self) -> Micros {
        self.start_us.saturating_add(micros(self.start.elapsed()))
    }

    /// The instant of a time of this clock.
    pub(crate) fn instant(&self, at_us: Micros) -> Instant {
        let after = u64::try_from(at_us.saturating_sub(self.start_us)).unwrap_or(0);
        self.start + Duration::from_micros(after)
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
