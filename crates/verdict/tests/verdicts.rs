//! The table of statuses and verdicts: every combination allows only what is right in every world, and the rows of the protocol.

use verdict::{Action, After, Extent, Heard, Position, Repeat, StatusClass, Verdict, World, Worlds};

const OWED: Verdict = Verdict::Owed { may_have_run: true };
const NEVER_RAN: Verdict = Verdict::Owed { may_have_run: false };
const SPENT: Verdict = Verdict::Spent { may_have_run: false };

fn extents() -> Vec<Extent> {
    let parts = (0..=12).flat_map(|length| {
        [
            "HTTP/1.1 200",
            "HTTP/1.0 410",
            "HTTP/1.1 503",
            "HTTP/1.1 504",
            "HTTP/1.1 500",
            "garbage that is none",
        ]
        .map(|line| Extent::of_part(&line.as_bytes()[..length]))
    });
    let lines =
        StatusClass::ALL.into_iter().flat_map(|class| [Extent::FirstLine(class), Extent::Whole(class)]);
    parts.chain(lines).chain([Extent::Nothing, Extent::Unreadable]).collect()
}

fn every_heard() -> Vec<Heard> {
    let mut all = Vec::new();
    for extent in extents() {
        for position in [Position::First, Position::Later] {
            for after in [After::Ended, After::Settled, After::Surplus] {
                for (written, suspect) in [(true, true), (true, false), (false, true), (false, false)] {
                    all.push(Heard { written, extent, position, after, suspect });
                }
            }
        }
    }
    all
}

#[test]
fn every_verdict_allows_only_what_is_right_in_every_world_that_is_left() {
    for heard in every_heard() {
        for action in [Action::Forget, Action::Report, Action::SendAgain] {
            for repeat in [Repeat::Harmless, Repeat::Harmful] {
                let allowed = heard.verdict().allows(action, repeat);
                assert!(
                    !allowed || heard.worlds().allow(action, repeat),
                    "{heard:?}: {action:?}, {repeat:?}"
                );
            }
        }
        assert!(World::ALL.into_iter().any(|world| heard.worlds().contains(world)), "{heard:?}");
    }
}

#[test]
fn what_may_be_over_is_never_sent_again_whatever_is_in_doubt() {
    for heard in every_heard() {
        let may_be_over = heard.worlds().contains(World::Over) || heard.worlds().contains(World::Delivered);
        if may_be_over {
            assert!(!heard.verdict().owed(), "{heard:?}");
        }
    }
}

fn verdict(extent: Extent, position: Position, after: After, suspect: bool) -> Verdict {
    Heard { written: true, extent, position, after, suspect }.verdict()
}

#[test]
fn a_whole_answer_says_what_the_protocol_says_of_its_status() {
    for (status, expected) in [
        (200, Verdict::Delivered),
        (204, Verdict::MayHaveEnded),
        (400, OWED),
        (410, Verdict::Over),
        (429, NEVER_RAN),
        (500, OWED),
        (503, NEVER_RAN),
        (504, SPENT),
        (599, OWED),
    ] {
        let class = StatusClass::of(status).expect("a final status");
        let after = After::Ended;
        assert_eq!(verdict(Extent::Whole(class), Position::First, after, false), expected, "{status}");
        let settled = verdict(Extent::Whole(class), Position::Later, After::Settled, true);
        assert_eq!(settled, expected, "{status}");
        let followed = verdict(Extent::Whole(class), Position::Later, After::Surplus, false);
        assert_eq!(followed, Verdict::MayHaveEnded, "{status}");
    }
    for status in [0, 100, 199, 600, u16::MAX] {
        assert_eq!(StatusClass::of(status), None, "{status}");
    }
}

#[test]
fn an_end_of_the_connection_leaves_an_answer_its_own_unless_its_endpoint_wrote_unasked_lately() {
    for (class, unsuspected, suspected) in [
        (StatusClass::Delivered, Verdict::Delivered, Verdict::MayHaveEnded),
        (StatusClass::Over, Verdict::MayHaveEnded, Verdict::MayHaveEnded),
        (StatusClass::TurnedAway, NEVER_RAN, OWED),
        (StatusClass::Failed, OWED, OWED),
        (StatusClass::Spent, SPENT, Verdict::Spent { may_have_run: true }),
    ] {
        let ended = |suspect| verdict(Extent::Whole(class), Position::Later, After::Ended, suspect);
        assert_eq!((ended(false), ended(true)), (unsuspected, suspected), "{class:?}");
    }
}

#[test]
fn a_part_of_a_first_line_leaves_what_each_status_that_it_may_have_says() {
    for (bytes, expected) in [
        ("", OWED),
        ("H", Verdict::MayHaveEnded),
        ("HTTP/1.1 ", Verdict::MayHaveEnded),
        ("HTTP/1.1 2", Verdict::MayHaveEnded),
        ("HTTP/1.1 41", Verdict::MayHaveEnded),
        ("HTTP/1.0 410 Gone", Verdict::MayHaveEnded),
        ("HTTP/1.1 404", OWED),
        ("HTTP/1.1 42", OWED),
        ("HTTP/1.1 50", Verdict::Spent { may_have_run: true }),
        ("HTTP/1.1 503 Serv", OWED),
        ("HTTP/1.1 100 Continue\r\n", OWED),
        ("HTTP/1.1 4100", Verdict::MayHaveEnded),
        ("SSH-2.0", Verdict::MayHaveEnded),
    ] {
        let found = verdict(Extent::of_part(bytes.as_bytes()), Position::First, After::Ended, false);
        assert_eq!(found, expected, "{bytes:?}");
    }
}

#[test]
fn a_request_that_did_not_go_out_whole_never_ran_unless_its_answer_says_that_the_message_had_ended() {
    for (extent, expected) in [
        (Extent::Nothing, NEVER_RAN),
        (Extent::Whole(StatusClass::TurnedAway), NEVER_RAN),
        (Extent::Whole(StatusClass::Failed), NEVER_RAN),
        (Extent::FirstLine(StatusClass::Over), Verdict::MayHaveEnded),
        (Extent::Whole(StatusClass::Delivered), Verdict::MayHaveEnded),
        (Extent::Whole(StatusClass::Spent), SPENT),
    ] {
        let heard = Heard { written: false, extent, ..Heard::default() };
        assert_eq!(heard.verdict(), expected, "{extent:?}");
    }
}

#[test]
fn a_set_of_worlds_is_what_it_was_made_of() {
    let some = Worlds::of(&[World::Ran, World::Over]);
    let held: Vec<World> = World::ALL.into_iter().filter(|world| some.contains(*world)).collect();
    assert_eq!(held, [World::Ran, World::Over]);
    assert_eq!(some.and(Worlds::UNANSWERED), Worlds::of(&[World::Ran]));
    assert_eq!(some.or(Worlds::ALL), Worlds::ALL);
}
