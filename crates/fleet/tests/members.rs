//! Membership by messages alone: suspicion, death and refutation.

use fleet::members::{Members, QUIET, Reaction, SUSPECTED, Standing, UNANSWERED};
use fleet::{Peer, SECOND};

#[test]
fn a_silent_peer_is_suspected_then_gone_and_comes_back_by_its_own_word() {
    let mut members = Members::new(0, 5, [0, 1, 2]);
    let (mut now, mut asked) = (0, 0);
    members.heard(now, 1, 7);
    let mut gone_at = None;
    while now < 20 * SECOND {
        now += SECOND / 4;
        members.heard(now, 2, 3);
        asked += members.check(now).pings.len();
        let stands = |peer| members.all().find(|(p, _)| *p == peer).map(|(_, m)| m.standing);
        assert_eq!(stands(2), Some(Standing::Alive));
        if stands(1) == Some(Standing::Gone) && gone_at.is_none() {
            gone_at = Some(now);
        }
    }
    let gone_at = gone_at.expect("it is gone");
    assert!((QUIET + UNANSWERED + SUSPECTED..8 * SECOND).contains(&gone_at), "{gone_at}");
    assert!(
        (4..12).contains(&asked),
        "a lost note is not enough, and one who is gone is asked rarely: {asked}"
    );
    assert_eq!(members.present(), [2]);
    members.heard(now, 1, 6);
    assert_eq!(members.present(), [2], "a note from before");
    members.heard(now, 1, 8);
    assert_eq!(members.present(), [1, 2]);
}

#[test]
fn hearsay_counts_unless_one_heard_better_and_one_speaks_up_for_oneself() {
    let mut members = Members::new(0, 5, [0, 1]);
    members.heard(0, 1, 7);
    assert_eq!(members.told(SECOND, 1, 7, Standing::Gone), Reaction::Warn);
    assert_eq!(members.present(), [1], "it was heard a second ago");
    members.told(5 * SECOND, 1, 7, Standing::Gone);
    assert_eq!(members.present(), [] as [Peer; 0]);
    members.told(5 * SECOND, 1, 8, Standing::Alive);
    assert_eq!(members.present(), [1], "it came back with another incarnation");
    assert_eq!(members.told(0, 0, 5, Standing::Suspect), Reaction::Refute);
    assert_eq!(members.incarnation(), 6);
    assert_eq!(members.told(0, 0, 5, Standing::Suspect), Reaction::None, "that was answered");
    members.replace([3]);
    assert_eq!(members.present(), [3]);
}

#[test]
fn silent_peers_are_pinged_in_turn_so_that_none_waits_for_those_with_lower_numbers() {
    const PEERS: Peer = 1000;
    // Each relay comes to all others, in an order of its own.
    for me in [0, 500, 999] {
        let mut members = Members::new(me, 5, 0..PEERS);
        let mut pinged = std::collections::BTreeSet::new();
        // Nobody answers. Those who are suspected are pinged again, before the others.
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
fn a_report_of_suspicion_does_not_revive_one_who_is_dead() {
    let mut members = Members::new(0, 5, [0, 1]);
    members.told(0, 1, 7, Standing::Gone);
    members.told(SECOND, 1, 7, Standing::Suspect);
    assert_eq!(members.doubted(1), Some((7, Standing::Gone)));
}

#[test]
fn a_new_incarnation_is_not_suspected_for_a_ping_that_an_earlier_one_left_unanswered() {
    let mut members = Members::new(0, 5, [0, 1]);
    assert_eq!(members.check(0).pings, [1]);
    members.told(SECOND, 1, 8, Standing::Alive);
    members.check(UNANSWERED + SECOND / 2);
    assert_eq!(members.doubted(1), None, "its new incarnation has not been pinged yet");
}

#[test]
fn one_who_is_heard_while_taken_for_dead_has_to_be_told_unless_its_incarnation_is_new() {
    let mut members = Members::new(0, 5, [0, 1, 2]);
    members.told(0, 1, 7, Standing::Gone);
    assert_eq!(members.heard(SECOND, 1, 7), Some(Standing::Gone));
    assert_eq!(members.heard(SECOND, 1, 7), None, "it is alive by now");
    members.told(0, 2, 7, Standing::Gone);
    assert_eq!(members.heard(SECOND, 2, 8), None);
    let passed_on = members.take_updates(8);
    assert_eq!(
        passed_on.iter().map(|update| (update.peer, update.standing)).collect::<Vec<_>>(),
        [(2, Standing::Alive)]
    );
}
