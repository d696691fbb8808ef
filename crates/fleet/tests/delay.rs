//! The estimate of a datagram's delay, with clocks that differ or jump.

use fleet::datagram::Stamp;
use fleet::delay::DelayEstimator;
use fleet::{Micros, SECOND};

const NOW: Micros = 1_790_000_000 * SECOND;

#[test]
fn delay_is_measured_from_the_minimum_whatever_the_clock_offset() {
    for clock_offset in [-1_400_000, 0, 1_400_000] {
        let mut estimator = DelayEstimator::default();
        let mut observe = |at: Micros, delay: Micros| {
            estimator.observe(NOW + at, Stamp::of(NOW + at - delay + clock_offset))
        };
        assert!(observe(0, 10_000) <= 1_000);
        assert!((399_000..=401_000).contains(&observe(100_000, 410_000)), "clock offset {clock_offset}");
        assert!(observe(200_000, 5_000) <= 1_000, "a new minimum");
    }
}

#[test]
fn a_delay_beyond_the_maximum_clock_difference_counts_from_the_first_datagram() {
    let mut estimator = DelayEstimator::default();
    let delay = estimator.observe(NOW, Stamp::of(NOW - 10 * SECOND));
    assert!((8 * SECOND..=10 * SECOND).contains(&delay), "{delay}");
}

#[test]
fn the_estimate_recovers_within_two_windows_of_a_clock_jump() {
    let mut estimator = DelayEstimator::default();
    estimator.observe(NOW, Stamp::of(NOW - 5_000));
    let mut delay = 0;
    for n in 1..=110 {
        let now = NOW + n * SECOND / 10;
        delay = estimator.observe(now, Stamp::of(now - 5_000 - 1_200_000));
        assert!(n > 1 || delay > SECOND, "the first datagram after the jump seems delayed");
    }
    assert!(delay <= 1_000, "{delay}");
}
