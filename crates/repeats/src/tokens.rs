//! The retries that a relay's decision module may start at one destination, and the retries that wait there for tokens.
//!
//! Invariant: no more retries start than tokens were granted.

use overload::waits::MinimumWaits;
use permits::WaitingByPriority;
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

/// Time for which granted tokens may be used, in microseconds.
const TOKEN_VALIDITY: Micros = 5 * SECOND;
/// Time for which the coordinator's estimate of waiting times is used, in microseconds.
const WAITS_VALIDITY: Micros = SECOND;

/// The tokens that the module holds for one destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RetryTokens {
    count: u32,
    #[serde(rename = "good_until")]
    valid_until: Micros,
    /// Estimated waiting times, and the time until which they are valid.
    waits: (MinimumWaits, Micros),
    /// Waiting retries as last requested. Not handed over: another process requests again.
    #[serde(skip)]
    requested: WaitingByPriority,
}

impl RetryTokens {
    /// Number of retries that may start.
    pub fn available(&self, now: Micros) -> usize {
        if now < self.valid_until { self.count as usize } else { 0 }
    }

    /// Uses one token, as a retry starts.
    pub fn use_one(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Adds tokens, and replaces the estimate of waiting times where there is one.
    pub fn update(&mut self, now: Micros, retries: u32, waits: Option<MinimumWaits>) {
        if retries > 0 {
            (self.count, self.valid_until) = (self.available(now) as u32 + retries, now + TOKEN_VALIDITY);
        }
        if let Some(waits) = waits {
            self.waits = (waits, now + WAITS_VALIDITY);
        }
    }

    /// Sets the retries that wait beyond those that may start. Returns whether they changed, so that they are to be requested.
    pub fn request(&mut self, waiting: &WaitingByPriority) -> bool {
        let changed = self.requested != *waiting;
        if changed {
            self.requested.clone_from(waiting);
        }
        changed
    }

    /// Minimum waiting times of retries that may not start yet, while an estimate is valid.
    pub fn waits(&self, now: Micros) -> Option<&MinimumWaits> {
        let (waits, until) = &self.waits;
        (self.available(now) == 0 && now < *until).then_some(waits)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_is_used_once_and_expires() {
        let mut tokens = RetryTokens::default();
        tokens.update(0, 2, None);
        tokens.use_one();
        assert_eq!(
            [tokens.available(0), tokens.available(TOKEN_VALIDITY - 1), tokens.available(TOKEN_VALIDITY)],
            [1, 1, 0]
        );
        tokens.update(TOKEN_VALIDITY, 1, None);
        assert_eq!(tokens.available(TOKEN_VALIDITY), 1, "expired tokens do not come back");
        tokens.use_one();
        tokens.use_one();
        assert_eq!(tokens.available(TOKEN_VALIDITY), 0);
    }

    #[test]
    fn waiting_retries_are_requested_when_they_change() {
        let mut tokens = RetryTokens::default();
        assert!(
            !tokens.request(&vec![])
                && tokens.request(&vec![(1, 2)])
                && !tokens.request(&vec![(1, 2)])
                && tokens.request(&vec![])
        );
    }
}
