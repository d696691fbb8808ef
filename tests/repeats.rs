//! The module under a budget for repeats: what it asks for, what waits for a credit, and what is told at once.

mod rig;

use overload::waits::MinimumWaits;
use rig::*;
use tulipfall::interface::*;

fn budgeted() -> Rig {
    let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
    Rig::listed(Settings { rules, repeats: true, ..settings() })
}

fn wanted(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let want = |action: &Action| match action {
        Action::WantRepeats { destination: DestinationId(1), tiers } => Some(tiers.clone()),
        _ => None,
    };
    actions.iter().filter_map(want).collect()
}

fn credit(rig: &mut Rig, repeats: u32, waits: Option<MinimumWaits>) -> Vec<Action> {
    rig.event(Event::Repeats { destination: DestinationId(1), repeats, waits })
}

#[test]
fn a_repeat_waits_for_a_credit_and_first_attempts_pass_it() {
    let mut rig = budgeted();
    assert_eq!(sent(&rig.arrive(1, PRECIOUS, 1)), [1]);
    let failed = rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&failed), wanted(&failed)), (vec![], vec![vec![(3000, 1)]]));
    let at = sent_at(&rig.pass(3 * S));
    assert_eq!(at, [], "time alone lets nothing be repeated");
    assert_eq!(sent(&rig.arrive(2, SAFE, 1)), [2], "worth less, and it does not wait behind a repeat");
    rig.done(2, 1, Outcome::Ok);
    let mut again = sent(&credit(&mut rig, 1, None));
    again.extend(sent(&only(rig.pass(S))));
    assert_eq!(again, [1]);
    let failed = rig.done(1, 1, Outcome::ConnectFailed);
    let waits: Vec<u8> = wanted(&failed).iter().flatten().map(|(_, count)| *count).collect();
    assert_eq!(waits, [1], "a credit is for one repeat");
    assert_eq!(sent(&only(rig.pass(3 * S))), [] as [u64; 0]);
}

#[test]
fn a_repeat_that_gets_no_credit_in_time_is_told_at_once() {
    let mut rig = budgeted();
    rig.arrive(1, SAFE, 1);
    rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!(
        ended(&credit(&mut rig, 0, Some(MinimumWaits::from_levels(vec![(1000, 50, 50)])))),
        [],
        "five seconds of twenty"
    );
    assert_eq!(
        ended(&credit(&mut rig, 0, Some(MinimumWaits::from_levels(vec![(1000, 250, 250)])))),
        [(1, true)]
    );
}

#[test]
fn without_a_budget_nothing_is_asked_and_repeats_go_as_before() {
    let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
    let mut rig = Rig::listed(Settings { rules, ..settings() });
    rig.arrive(1, SAFE, 1);
    let mut actions = rig.done(1, 1, Outcome::ConnectFailed);
    actions.extend(only(rig.pass(3 * S)));
    assert_eq!((sent(&actions), wanted(&actions)), (vec![1], vec![]));
}
