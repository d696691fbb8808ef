//! Destinations that are listed and idle cost a coordinator nothing but their listed rate.

use fleet::SECOND;
use permits::Sharing;
use permits::note::Sign;
use permits::steward::{Answer, Asker, Cold, Fleet, Report, Steward};

const LISTED: i64 = 56_000;
const COLD: Cold = Cold { from: 0.2, warm_after: 10 * SECOND };
const FLEET: Fleet = Fleet { sharing: Sharing::Whole, me: 0, relays: 4, follows: false };

fn steward() -> Steward {
    let mut steward = Steward::new(COLD, FLEET);
    (0..LISTED).for_each(|destination| steward.listed(destination, 10.0));
    steward
}

fn asker(peer: u16) -> Asker {
    Asker { peer, incarnation: 1, lends: None }
}

#[test]
fn only_destinations_that_somebody_waits_for_are_looked_at() {
    let mut steward = steward();
    assert_eq!(steward.watched(), (0, 0));
    assert_eq!((steward.poll(0), steward.next_at(0)), (vec![], i64::MAX));
    for destination in [5, 7, 9] {
        assert!(steward.want(0, asker(1), destination, 0, vec![(500, 1)]).is_some());
    }
    // An empty request and one for what nobody lists are nothing to look at.
    assert!(steward.want(0, asker(1), 11, 0, vec![]).is_some());
    assert_eq!(steward.want(0, asker(1), LISTED, 0, vec![(500, 1)]), None);
    assert_eq!(steward.watched(), (3, 4));
    let mut granted: Vec<i64> = steward.poll(0).iter().map(|grant| grant.destination).collect();
    granted.sort_unstable();
    assert_eq!(granted, [5, 7, 9]);
    assert_eq!(steward.poll(SECOND / 10), []);
    assert_eq!(steward.watched(), (0, 4), "what was granted does not wait any more");
}

#[test]
fn who_says_nothing_more_waits_no_more() {
    let mut steward = steward();
    steward.want(0, asker(1), 5, 0, vec![(500, 200)]);
    steward.poll(0);
    assert_eq!(steward.watched().0, 1);
    assert!(steward.next_at(0) <= SECOND);
    assert_eq!(steward.poll(2 * SECOND), [], "it asked two seconds ago");
    assert_eq!((steward.watched().0, steward.next_at(2 * SECOND)), (0, i64::MAX));
    // It asks again, and is heard as at first.
    steward.want(2 * SECOND, asker(1), 5, 1, vec![(500, 1)]);
    assert_eq!(steward.poll(2 * SECOND).len(), 1);
}

#[test]
fn what_reports_tell_of_one_that_was_never_asked_for_holds_from_then_on() {
    let mut steward = steward();
    let report =
        Report { sign: Sign::Refused, began: 0, wait: Some(5 * SECOND), limit: Some(4.0), left: None };
    steward.report(SECOND, 5, &report);
    let answer = steward.want(2 * SECOND, asker(1), 5, 0, vec![(500, 1)]);
    assert!(matches!(answer, Some(Answer::Permits(_))));
    assert_eq!(steward.poll(2 * SECOND), [], "its wait of five seconds holds");
    steward.want(6 * SECOND, asker(1), 5, 0, vec![(500, 1)]);
    assert_eq!(steward.poll(6 * SECOND).len(), 1);
}
