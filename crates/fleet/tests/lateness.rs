//! The estimate of how late a message arrives, with clocks that are off or jump.

use fleet::lateness::Lateness;
use fleet::note::Stamp;
use fleet::{Micros, SECOND};

const NOW: Micros = 1_790_000_000 * SECOND;

#[test]
fn what_comes_later_than_the_least_is_late_by_that_whatever_the_clocks_say() {
    for off in [-1_400_000, 0, 1_400_000] {
        let mut line = Lateness::default();
        let mut came = |at: Micros, took: Micros| line.came(NOW + at, Stamp::of(NOW + at - took + off));
        assert!(came(0, 10_000) <= 1_000);
        assert!((399_000..=401_000).contains(&came(100_000, 410_000)), "off by {off}");
        assert!(came(200_000, 5_000) <= 1_000, "faster than ever");
    }
}

#[test]
fn notes_that_are_late_from_the_first_on_are_late() {
    let mut line = Lateness::default();
    let late = line.came(NOW, Stamp::of(NOW - 10 * SECOND));
    assert!((8 * SECOND..=10 * SECOND).contains(&late), "{late}");
}

#[test]
fn a_clock_that_jumps_is_made_out_within_two_spans() {
    let mut line = Lateness::default();
    line.came(NOW, Stamp::of(NOW - 5_000));
    let mut late = 0;
    for n in 1..=110 {
        let now = NOW + n * SECOND / 10;
        late = line.came(now, Stamp::of(now - 5_000 - 1_200_000));
        assert!(n > 1 || late > SECOND, "at first it seems late");
    }
    assert!(late <= 1_000, "{late}");
}
