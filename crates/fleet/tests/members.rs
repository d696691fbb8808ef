//! Membership by messages alone: suspicion, death and refutation.

use fleet::members::{MemberState, Members, PING_AFTER, PING_TIMEOUT, Reaction, SUSPICION_TIMEOUT};
use fleet::{Peer, SECOND};

#[test]
fn a_silent_peer_is_suspected_then_dead_and_returns_with_a_datagram_of_its_own() {
    let mut members = Members::new(0, 5, [0, 1, 2]);
    let (mut now, mut pings) = (0, 0);
    members.record_datagram(now, 1, 7);
    let mut dead_at = None;
    while now < 20 * SECOND {
        now += SECOND / 4;
        members.record_datagram(now, 2, 3);
        pings += members.check(now).pings.len();
        let state_of = |peer| members.all().find(|(p, _)| *p == peer).map(|(_, m)| m.state);
        assert_eq!(state_of(2), Some(MemberState::Alive));
        if state_of(1) == Some(MemberState::Gone) && dead_at.is_none() {
            dead_at = Some(now);
        }
    }
    let dead_at = dead_at.expect("it is declared dead");
    assert!((PING_AFTER + PING_TIMEOUT + SUSPICION_TIMEOUT..8 * SECOND).contains(&dead_at), "{dead_at}");
    assert!(
        (4..12).contains(&pings),
        "one lost datagram is not enough, and a dead peer is pinged rarely: {pings} pings"
    );
    assert_eq!(members.present(), [2]);
    members.record_datagram(now, 1, 6);
    assert_eq!(members.present(), [2], "a datagram of an earlier incarnation");
    members.record_datagram(now, 1, 8);
    assert_eq!(members.present(), [1, 2]);
}

#[test]
fn reports_apply_unless_the_peer_was_heard_recently_and_a_relay_refutes_reports_on_itself() {
    let mut members = Members::new(0, 5, [0, 1]);
    members.record_datagram(0, 1, 7);
    assert_eq!(members.apply_report(SECOND, 1, 7, MemberState::Gone), Reaction::Warn);
    assert_eq!(members.present(), [1], "a datagram arrived a second ago");
    members.apply_report(5 * SECOND, 1, 7, MemberState::Gone);
    assert_eq!(members.present(), [] as [Peer; 0]);
    members.apply_report(5 * SECOND, 1, 8, MemberState::Alive);
    assert_eq!(members.present(), [1], "alive with a new incarnation");
    assert_eq!(members.apply_report(0, 0, 5, MemberState::Suspect), Reaction::Refute);
    assert_eq!(members.incarnation(), 6);
    assert_eq!(members.apply_report(0, 0, 5, MemberState::Suspect), Reaction::None, "already refuted");
    members.replace([3]);
    assert_eq!(members.present(), [3]);
}

#[test]
fn silent_peers_are_pinged_in_turn_so_that_none_waits_for_those_with_lower_numbers() {
    const PEERS: Peer = 1000;
    // Each relay pings all others, in an order of its own.
    for me in [0, 500, 999] {
        let mut members = Members::new(me, 5, 0..PEERS);
        let mut pinged = std::collections::BTreeSet::new();
        // No peer answers. Suspected peers are pinged again, before the others.
        for check in 0..4000 {
            let round = members.check(check * SECOND / 2);
            assert!(round.pings.len() <= 4, "{}", round.pings.len());
            pinged.extend(round.pings);
        }
        assert_eq!(pinged.len(), usize::from(PEERS) - 1, "relay {me}");
    }
    let first = |me| Members::new(me, 5, 0..PEERS).check(0).pings;
    assert_ne!(first(0), first(500));
    assert_ne!(first(0), first(999));
}

#[test]
fn a_report_of_suspicion_does_not_revive_a_dead_peer() {
    let mut members = Members::new(0, 5, [0, 1]);
    members.apply_report(0, 1, 7, MemberState::Gone);
    members.apply_report(SECOND, 1, 7, MemberState::Suspect);
    assert_eq!(members.suspect_or_dead(1), Some((7, MemberState::Gone)));
}

#[test]
fn a_new_incarnation_is_not_suspected_for_a_ping_that_an_earlier_one_left_unanswered() {
    let mut members = Members::new(0, 5, [0, 1]);
    assert_eq!(members.check(0).pings, [1]);
    members.apply_report(SECOND, 1, 8, MemberState::Alive);
    members.check(PING_TIMEOUT + SECOND / 2);
    assert_eq!(members.suspect_or_dead(1), None, "its new incarnation has not been pinged yet");
}

#[test]
fn a_peer_heard_while_taken_for_dead_is_notified_unless_its_incarnation_is_new() {
    let mut members = Members::new(0, 5, [0, 1, 2]);
    members.apply_report(0, 1, 7, MemberState::Gone);
    assert_eq!(members.record_datagram(SECOND, 1, 7), Some(MemberState::Gone));
    assert_eq!(members.record_datagram(SECOND, 1, 7), None, "already alive");
    members.apply_report(0, 2, 7, MemberState::Gone);
    assert_eq!(members.record_datagram(SECOND, 2, 8), None);
    let passed_on = members.take_updates(8);
    assert_eq!(
        passed_on.iter().map(|update| (update.peer, update.state)).collect::<Vec<_>>(),
        [(2, MemberState::Alive)]
    );
}
