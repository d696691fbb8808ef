//! Minimum waiting times of messages by priority, in the form sent to a relay, and their interpolation between two
//! priorities. Invariant: a message never waits longer than one of a lower priority.

use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

/// Unit of waiting times, in microseconds; [`MAX_STEPS`] steps stand for that time or any longer one.
pub const STEP_US: Micros = SECOND / 10;
/// Largest number of steps.
pub const MAX_STEPS: u8 = 250;
/// Largest number of priorities in one message.
pub const MAX_LEVELS: usize = 8;

/// A priority, and the number of steps that its first and its last message wait.
pub type PriorityWait = (u16, u8, u8);

/// Minimum waiting times by priority, highest priority first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinimumWaits(Vec<PriorityWait>);

impl MinimumWaits {
    /// Waiting times received from another relay. A value out of range, or below that of a higher priority, is replaced by the
    /// longest value before it.
    pub fn from_levels(mut levels: Vec<PriorityWait>) -> Self {
        levels.truncate(MAX_LEVELS);
        levels.sort_by_key(|(priority, ..)| std::cmp::Reverse(*priority));
        let mut longest = 0;
        for (_, first, last) in &mut levels {
            for steps in [first, last] {
                longest = longest.max((*steps).min(MAX_STEPS));
                *steps = longest;
            }
        }
        MinimumWaits(levels)
    }

    /// The waiting times by priority, for sending.
    pub fn levels(&self) -> &[PriorityWait] {
        &self.0
    }

    /// Returns whether no priority has to wait.
    pub fn is_zero(&self) -> bool {
        self.0.iter().all(|(.., last)| *last == 0)
    }

    /// Waiting time of a message of this priority, in microseconds. `fraction`, from 0 to 1, is its position among the messages
    /// of its priority.
    pub fn wait_at(&self, priority: u16, fraction: f64) -> Micros {
        let count = self.0.partition_point(|(known, ..)| *known >= priority);
        let Some((known, first, last)) = count.checked_sub(1).and_then(|n| self.0.get(n)) else { return 0 };
        let [first, last] = [first, last].map(|steps| Micros::from(*steps) * STEP_US);
        // A message below a known priority waits at least as long as the last message of that priority.
        let fraction = if *known == priority { fraction.clamp(0.0, 1.0) } else { 1.0 };
        first + ((last - first) as f64 * fraction) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn wait_is_interpolated_between_first_and_last_message_of_a_priority() {
        let waits = MinimumWaits::from_levels(vec![(3000, 0, 10), (1000, 10, 30), (500, 40, 200)]);
        for (priority, fraction, steps) in
            [(3000, 0.0, 0), (3000, 0.5, 5), (1000, 0.0, 10), (1000, 1.0, 30), (800, 0.9, 30), (9999, 0.9, 0)]
        {
            assert_eq!(waits.wait_at(priority, fraction), steps * STEP_US, "{priority} {fraction}");
        }
        assert_eq!(MinimumWaits::default().wait_at(0, 1.0), 0);
        assert!(MinimumWaits::default().is_zero() && !waits.is_zero());
    }

    proptest! {
        #[test]
        fn higher_priority_never_waits_longer_for_any_received_levels(
            levels in prop::collection::vec((0..5000u16, any::<u8>(), any::<u8>()), 0..20),
            priorities in prop::collection::vec(0..5000u16, 2), fraction in 0.0..1.0f64
        ) {
            let waits = MinimumWaits::from_levels(levels);
            let (high, low) = (priorities[0].max(priorities[1]), priorities[0].min(priorities[1]));
            prop_assert!(high == low || waits.wait_at(high, fraction) <= waits.wait_at(low, fraction));
        }
    }
}
