//! The module under a budget for repeats: what it asks for, what waits for a credit, and what is told at once.

mod harness;

use harness::*;
use overload::waits::Waits;
use tulipfall::interface::*;

fn budgeted() -> Harness {
    let rules = RuleParameters { cold_capacity_fraction: 1.0, overload_multiple: 100.0, ..settings().rules };
    Harness::with_endpoints(Settings { rules, retry_budget: true, ..settings() })
}

fn wanted(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let want = |action: &Action| match action {
        Action::RequestRetryTokens { destination: DestinationId(1), waiting } => Some(waiting.clone()),
        _ => None,
    };
    actions.iter().filter_map(want).collect()
}

fn credit(harness: &mut Harness, repeats: u32, waits: Option<Waits>) -> Vec<Action> {
    harness.event(Event::RetryTokens { destination: DestinationId(1), tokens: repeats, waits })
}

#[test]
fn a_repeat_waits_for_a_credit_and_first_attempts_pass_it() {
    let mut harness = budgeted();
    assert_eq!(sent(&harness.arrive(1, HIGH_VALUE, 1)), [1]);
    let failed = harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&failed), wanted(&failed)), (vec![], vec![vec![(3000, 1)]]));
    let at = sent_at(&harness.advance(3 * S));
    assert_eq!(at, [], "time alone lets nothing be repeated");
    assert_eq!(
        sent(&harness.arrive(2, IDEMPOTENT, 1)),
        [2],
        "worth less, and it does not wait behind a repeat"
    );
    harness.complete(2, 1, Outcome::Ok);
    let mut again = sent(&credit(&mut harness, 1, None));
    again.extend(sent(&without_times(harness.advance(S))));
    assert_eq!(again, [1]);
    let failed = harness.complete(1, 1, Outcome::ConnectFailed);
    let waits: Vec<u8> = wanted(&failed).iter().flatten().map(|(_, count)| *count).collect();
    assert_eq!(waits, [1], "a credit is for one repeat");
    assert_eq!(sent(&without_times(harness.advance(3 * S))), [] as [u64; 0]);
}

#[test]
fn a_repeat_that_gets_no_credit_in_time_is_told_at_once() {
    let mut harness = budgeted();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!(
        ended(&credit(&mut harness, 0, Some(Waits::told(vec![(1000, 50, 50)])))),
        [],
        "five seconds of twenty"
    );
    assert_eq!(ended(&credit(&mut harness, 0, Some(Waits::told(vec![(1000, 250, 250)])))), [(1, true)]);
}

#[test]
fn without_a_budget_nothing_is_asked_and_repeats_go_as_before() {
    let rules = RuleParameters { cold_capacity_fraction: 1.0, overload_multiple: 100.0, ..settings().rules };
    let mut harness = Harness::with_endpoints(Settings { rules, ..settings() });
    harness.arrive(1, IDEMPOTENT, 1);
    let mut actions = harness.complete(1, 1, Outcome::ConnectFailed);
    actions.extend(without_times(harness.advance(3 * S)));
    assert_eq!((sent(&actions), wanted(&actions)), (vec![1], vec![]));
}
