//! Membership by messages alone: suspicion, death and refutation.

use fleet::members::{Members, QUIET, SUSPECTED, Standing, UNANSWERED};
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
        asked += members.ask(now).len();
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
    assert!(!members.told(SECOND, 1, 7, Standing::Gone));
    assert_eq!(members.present(), [1], "it was heard a second ago");
    members.told(5 * SECOND, 1, 7, Standing::Gone);
    assert_eq!(members.present(), [] as [Peer; 0]);
    members.told(5 * SECOND, 1, 8, Standing::Alive);
    assert_eq!(members.present(), [1], "it came back with another incarnation");
    assert!(members.told(0, 0, 5, Standing::Suspect) && members.incarnation() == 6);
    assert!(!members.told(0, 0, 5, Standing::Suspect), "that was answered");
    members.replace([3]);
    assert_eq!(members.present(), [3]);
}
