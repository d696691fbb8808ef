//! Destinations that are listed and idle cost a coordinator nothing but their listed rate.

use fleet::SECOND;
use permits::Sharing;
use permits::coordinator::{Answer, ColdStart, Coordinator, Report, Requester, SharingConfig};
use permits::item::CallResult;

const LISTED_COUNT: i64 = 56_000;
const COLD: ColdStart = ColdStart { initial_fraction: 0.2, warm_after: 10 * SECOND };
const FLEET: SharingConfig =
    SharingConfig { sharing: Sharing::Whole, me: 0, relays: 4, follow_success_rate: false };

fn coordinator() -> Coordinator {
    let mut coordinator = Coordinator::new(COLD, FLEET);
    (0..LISTED_COUNT).for_each(|destination| coordinator.set_listed_rate(destination, 10.0));
    coordinator
}

fn requester(peer: u16) -> Requester {
    Requester { peer, incarnation: 1, lends: None }
}

#[test]
fn only_destinations_with_requests_are_polled() {
    let mut coordinator = coordinator();
    assert_eq!(coordinator.state_counts(), (0, 0));
    assert_eq!((coordinator.poll(0), coordinator.next_at(0)), (vec![], i64::MAX));
    for destination in [5, 7, 9] {
        assert!(coordinator.request(0, requester(1), destination, 0, vec![(500, 1)]).is_some());
    }
    // An empty request, and one for an unlisted destination, add nothing to poll.
    assert!(coordinator.request(0, requester(1), 11, 0, vec![]).is_some());
    assert_eq!(coordinator.request(0, requester(1), LISTED_COUNT, 0, vec![(500, 1)]), None);
    assert_eq!(coordinator.state_counts(), (3, 4));
    let mut granted: Vec<i64> = coordinator.poll(0).iter().map(|grant| grant.destination).collect();
    granted.sort_unstable();
    assert_eq!(granted, [5, 7, 9]);
    assert_eq!(coordinator.poll(SECOND / 10), []);
    assert_eq!(coordinator.state_counts(), (0, 4), "granted messages no longer wait");
}

#[test]
fn a_request_that_is_not_repeated_expires() {
    let mut coordinator = coordinator();
    coordinator.request(0, requester(1), 5, 0, vec![(500, 200)]);
    coordinator.poll(0);
    assert_eq!(coordinator.state_counts().0, 1);
    assert!(coordinator.next_at(0) <= SECOND);
    assert_eq!(coordinator.poll(2 * SECOND), [], "the request is two seconds old");
    assert_eq!((coordinator.state_counts().0, coordinator.next_at(2 * SECOND)), (0, i64::MAX));
    // A new request is granted like the first one.
    coordinator.request(2 * SECOND, requester(1), 5, 1, vec![(500, 1)]);
    assert_eq!(coordinator.poll(2 * SECOND).len(), 1);
}

#[test]
fn reports_on_a_destination_without_requests_apply_to_later_requests() {
    let mut coordinator = coordinator();
    let report = Report {
        result: CallResult::Refused,
        began: 0,
        wait: Some(5 * SECOND),
        limit: Some(4.0),
        remaining: None,
    };
    coordinator.report(SECOND, 5, &report);
    let answer = coordinator.request(2 * SECOND, requester(1), 5, 0, vec![(500, 1)]);
    assert!(matches!(answer, Some(Answer::Grants(_))));
    assert_eq!(coordinator.poll(2 * SECOND), [], "the server-requested wait of five seconds applies");
    coordinator.request(6 * SECOND, requester(1), 5, 0, vec![(500, 1)]);
    assert_eq!(coordinator.poll(6 * SECOND).len(), 1);
}
