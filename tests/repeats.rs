//! The decision module under a retry budget: the tokens it requests, the retries that wait for tokens, and the messages that
//! are given up because no token can come in time.

mod harness;

use harness::*;
use overload::waits::Waits;
use tulipfall::interface::*;

fn rig_with_budget() -> Harness {
    let rules = RuleParameters { cold_capacity_fraction: 1.0, overload_multiple: 100.0, ..settings().rules };
    Harness::with_endpoints(Settings { rules, retry_budget: true, ..settings() })
}

/// The waiting retries that each request for tokens lists, by priority.
fn requested(actions: &[Action]) -> Vec<Vec<(u16, u8)>> {
    let request = |action: &Action| match action {
        Action::RequestRetryTokens { destination: DestinationId(1), waiting } => Some(waiting.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

fn grant_tokens(harness: &mut Harness, repeats: u32, waits: Option<Waits>) -> Vec<Action> {
    harness.event(Event::RetryTokens { destination: DestinationId(1), tokens: repeats, waits })
}

#[test]
fn a_retry_waits_for_a_token_and_first_attempts_do_not() {
    let mut harness = rig_with_budget();
    assert_eq!(sent(&harness.arrive(1, HIGH_VALUE, 1)), [1]);
    let failed = harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&failed), requested(&failed)), (vec![], vec![vec![(3000, 1)]]));
    let at = sent_at(&harness.advance(3 * S));
    assert_eq!(at, [], "no retry starts without a token");
    assert_eq!(
        sent(&harness.arrive(2, IDEMPOTENT, 1)),
        [2],
        "a first attempt of lower priority does not wait behind a retry"
    );
    harness.complete(2, 1, Outcome::Ok);
    let mut retried = sent(&grant_tokens(&mut harness, 1, None));
    retried.extend(sent(&without_times(harness.advance(S))));
    assert_eq!(retried, [1]);
    let failed = harness.complete(1, 1, Outcome::ConnectFailed);
    let waits: Vec<u8> = requested(&failed).iter().flatten().map(|(_, count)| *count).collect();
    assert_eq!(waits, [1], "a token pays for one retry");
    assert_eq!(sent(&without_times(harness.advance(3 * S))), [] as [u64; 0]);
}

#[test]
fn a_message_whose_retry_gets_no_token_in_time_ends_at_once() {
    let mut harness = rig_with_budget();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.complete(1, 1, Outcome::ConnectFailed);
    assert_eq!(
        ended(&grant_tokens(&mut harness, 0, Some(Waits::told(vec![(1000, 50, 50)])))),
        [],
        "a wait of five seconds, with twenty left"
    );
    assert_eq!(ended(&grant_tokens(&mut harness, 0, Some(Waits::told(vec![(1000, 250, 250)])))), [(1, true)]);
}

#[test]
fn without_a_budget_retries_start_without_tokens() {
    let rules = RuleParameters { cold_capacity_fraction: 1.0, overload_multiple: 100.0, ..settings().rules };
    let mut harness = Harness::with_endpoints(Settings { rules, ..settings() });
    harness.arrive(1, IDEMPOTENT, 1);
    let mut actions = harness.complete(1, 1, Outcome::ConnectFailed);
    actions.extend(without_times(harness.advance(3 * S)));
    assert_eq!((sent(&actions), requested(&actions)), (vec![1], vec![]));
}
