//! The clock of a play, in seconds from the begin of its load. It stands at zero until all relays are ready, so that what
//! is started before and after goes by the same time.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::Instant;

/// A clock that all parts of a play share.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<OnceLock<Instant>>);

impl Clock {
    /// The load begins now; it begins once.
    pub fn begin(&self) {
        self.0.get_or_init(Instant::now);
    }

    /// The time now.
    pub fn now_s(&self) -> f64 {
        self.0.get().map_or(0.0, |began| began.elapsed().as_secs_f64())
    }

    /// Waits until that time.
    pub async fn until(&self, at_s: f64) {
        let left = Duration::from_secs_f64((at_s - self.now_s()).max(0.0));
        tokio::time::sleep(left).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whoever_had_it_before_the_begin_reads_the_same_time_as_who_gets_it_after() {
        let clock = Clock::default();
        let early = clock.clone();
        assert_eq!(early.now_s(), 0.0);
        clock.begin();
        let late = clock.clone();
        let (first, second, third) = (early.now_s(), late.now_s(), early.now_s());
        assert!(first <= second && second <= third, "{first} {second} {third}");
    }
}
