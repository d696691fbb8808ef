//! Destinations and traffic, by themselves.

use scale::Scenario;
use scale::destinations::{Answer, Destinations};
use scale::time::SECOND;
use scale::traffic::{Traffic, limits, rates};

fn scenario(more: &str) -> Scenario {
    let text = format!("relays = 10\ndestinations = 2000\nroles = [\"member\"]\nseconds = 5\n{more}");
    Scenario::parse(&text, "load.toml").expect("it makes sense")
}

/// The share that is down at the start, in the mean over the time, and the least and the most.
fn shares(share: f64, mean_down_s: f64) -> (f64, f64, f64, f64) {
    let scenario = scenario(&format!("share_down = {share}\nmean_down_s = {mean_down_s}\n"));
    let mut destinations = Destinations::new(&scenario, &limits(&scenario), 1, 0);
    let first = destinations.share_down();
    let looks = (1..=10_000).map(|second| {
        destinations.advance(second * SECOND);
        destinations.share_down()
    });
    let seen: Vec<f64> = looks.collect();
    let (least, most) = seen.iter().fold((1.0f64, 0.0f64), |(a, b), share| (a.min(*share), b.max(*share)));
    (first, seen.iter().sum::<f64>() / seen.len() as f64, least, most)
}

#[test]
fn the_share_that_is_down_is_kept_while_destinations_fail_and_return() {
    let (first, mean, least, most) = shares(0.043, 60.0);
    assert!((0.033..0.053).contains(&first), "at first {first}");
    assert!((0.041..0.045).contains(&mean), "in the mean {mean}");
    assert!(least > 0.02 && most < 0.07, "{least} to {most}");
    assert!(most - least > 0.005, "some fail and some return");
}

#[test]
fn none_or_all_may_be_down() {
    assert_eq!(shares(0.0, 60.0), (0.0, 0.0, 0.0, 0.0));
    assert_eq!(shares(1.0, 60.0).0, 1.0);
    assert_eq!(shares(1.0, 60.0).2, 1.0);
}

#[test]
fn a_destination_takes_its_limit_and_refuses_the_rest_and_one_that_is_down_fails() {
    let mut destinations = Destinations::new(&scenario("answer_ms = 10\n"), &[20.0], 1, 0);
    let answers = (0..10_000).map(|ms| destinations.call(ms * 1_000, 0));
    let (answers, took): (Vec<Answer>, Vec<i64>) = answers.unzip();
    let well = answers.iter().filter(|answer| **answer == Answer::Well).count();
    assert!((215..=221).contains(&well), "{well} of a second at once and ten of 20 a second");
    assert!(answers.contains(&Answer::Refused) && !answers.contains(&Answer::Failed));
    let mean = took.iter().sum::<i64>() / took.len() as i64;
    assert!((9_500..10_500).contains(&mean), "it answers in {mean} us");
    let mut down = Destinations::new(&scenario("share_down = 1\n"), &[20.0], 1, 0);
    assert_eq!(down.call(0, 0).0, Answer::Failed);
    assert!(!down.is_up(0));
}

#[test]
fn events_come_at_their_rate_to_all_relays_and_most_to_few_destinations() {
    let scenario = scenario("events_per_s = 5000\nskew = 1\n");
    let mut traffic = Traffic::new(&scenario, 3, 0).expect("there is some");
    let arrivals: Vec<_> = (0..50_000).map(|_| traffic.next_arrival()).collect();
    let last = arrivals.last().expect("some").at;
    assert!((98 * SECOND / 10..102 * SECOND / 10).contains(&last), "50,000 in ten seconds: {last}");
    for relay in 0..10 {
        let count = arrivals.iter().filter(|arrival| arrival.relay == relay).count();
        assert!((4_700..5_300).contains(&count), "relay {relay}: {count}");
    }
    let rates = rates(&scenario);
    assert!((rates.iter().sum::<f64>() - 5_000.0).abs() < 1e-6);
    for destination in [0u32, 1, 9] {
        let count = arrivals.iter().filter(|arrival| arrival.destination == destination).count();
        let expected = rates[destination as usize] * 10.0;
        assert!((count as f64 - expected).abs() < expected * 0.12, "{destination}: {count}, not {expected}");
    }
    assert!(arrivals.iter().all(|arrival| arrival.destination < 2_000));
}

#[test]
fn a_limit_has_headroom_and_a_least() {
    let scenario = scenario("events_per_s = 2000\nlimit_headroom = 2\nleast_limit_per_s = 1.5\n");
    assert!(
        limits(&scenario).iter().all(|limit| (*limit - 2.0).abs() < 1e-9),
        "one a second each, and twice that"
    );
    let small = Scenario { events_per_s: 100.0, ..scenario };
    assert!(limits(&small).iter().all(|limit| *limit == 1.5));
    assert!(Traffic::new(&Scenario { events_per_s: 0.0, ..small }, 1, 0).is_none());
}
