//! The decision module under a retry budget: the tokens it requests, the retries that wait for tokens, and the messages that
//! are given up because no token can come in time.

mod rig;

use overload::waits::MinimumWaits;
use rig::*;
use tulipfall::interface::*;

fn rig_with_budget() -> Rig {
    let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
    Rig::listed(Settings { rules, repeats: true, ..settings() })
}

/// The waiting retries that each request for tokens lists, by priority.
fn requested(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let request = |action: &Action| match action {
        Action::WantRepeats { destination: DestinationId(1), tiers } => Some(tiers.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

fn grant_tokens(rig: &mut Rig, repeats: u32, waits: Option<MinimumWaits>) -> Vec<Action> {
    rig.event(Event::Repeats { destination: DestinationId(1), repeats, waits })
}

#[test]
fn a_retry_waits_for_a_token_and_first_attempts_do_not() {
    let mut rig = rig_with_budget();
    assert_eq!(sent(&rig.arrive(1, PRECIOUS, 1)), [1]);
    let failed = rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&failed), requested(&failed)), (vec![], vec![vec![(3000, 1)]]));
    let at = sent_at(&rig.pass(3 * S));
    assert_eq!(at, [], "no retry starts without a token");
    assert_eq!(
        sent(&rig.arrive(2, SAFE, 1)),
        [2],
        "a first attempt of lower priority does not wait behind a retry"
    );
    rig.done(2, 1, Outcome::Ok);
    let mut retried = sent(&grant_tokens(&mut rig, 1, None));
    retried.extend(sent(&only(rig.pass(S))));
    assert_eq!(retried, [1]);
    let failed = rig.done(1, 1, Outcome::ConnectFailed);
    let waits: Vec<u8> = requested(&failed).iter().flatten().map(|(_, count)| *count).collect();
    assert_eq!(waits, [1], "a token pays for one retry");
    assert_eq!(sent(&only(rig.pass(3 * S))), [] as [u64; 0]);
}

#[test]
fn a_message_whose_retry_gets_no_token_in_time_ends_at_once() {
    let mut rig = rig_with_budget();
    rig.arrive(1, SAFE, 1);
    rig.done(1, 1, Outcome::ConnectFailed);
    assert_eq!(
        ended(&grant_tokens(&mut rig, 0, Some(MinimumWaits::from_levels(vec![(1000, 50, 50)])))),
        [],
        "a wait of five seconds, with twenty left"
    );
    assert_eq!(
        ended(&grant_tokens(&mut rig, 0, Some(MinimumWaits::from_levels(vec![(1000, 250, 250)])))),
        [(1, true)]
    );
}

#[test]
fn without_a_budget_retries_start_without_tokens() {
    let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
    let mut rig = Rig::listed(Settings { rules, ..settings() });
    rig.arrive(1, SAFE, 1);
    let mut actions = rig.done(1, 1, Outcome::ConnectFailed);
    actions.extend(only(rig.pass(3 * S)));
    assert_eq!((sent(&actions), requested(&actions)), (vec![1], vec![]));
}
