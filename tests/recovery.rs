//! Messages resumed from an earlier process, shutdown, and changes of the settings.

mod harness;
use harness::*;
use tulipfall::interface::*;

/// Resumes a message with 5 s left, and returns the actions.
fn resume(harness: &mut Harness, id: u64, class: usize, attempts: u32, may_have_run: bool) -> Vec<Action> {
    let due = harness.now + 5 * S;
    let destination = DestinationId(1);
    let arrival = Arrival { id: MessageId(id), class, tenant: None, key: None, due, destination };
    harness.event(Event::Resumed { arrival, attempts, may_have_run })
}

#[test]
fn resumed_message_that_may_have_run_is_retried_only_if_its_class_allows() {
    let mut harness = Harness::with_default_settings();
    assert_eq!(sent(&resume(&mut harness, 1, IDEMPOTENT, 1, true)), [1]);
    let non_idempotent = resume(&mut harness, 2, NON_IDEMPOTENT, 1, true);
    assert_eq!(
        (sent(&non_idempotent), ended(&non_idempotent)),
        (vec![], vec![(2, false)]),
        "failed, not refused"
    );
    assert_eq!(sent(&resume(&mut harness, 3, NON_IDEMPOTENT, 1, false)), [3], "it did not run");
    let keyed = resume(&mut harness, 4, KEYED, 1, true);
    assert_eq!(sent(&keyed), [] as [u64; 0], "the time of the attempt is unknown");
}

#[test]
fn attempts_of_an_earlier_process_are_counted() {
    let mut harness = Harness::with_default_settings();
    let used_up = resume(&mut harness, 1, IDEMPOTENT, 6, true);
    assert_eq!((sent(&used_up), ended(&used_up)), (vec![], vec![(1, true)]));
    assert_eq!(sent(&resume(&mut harness, 2, IDEMPOTENT, 5, false)), [2]);
    let last = harness.complete(2, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&last), ended(&last)), (vec![], vec![(2, true)]), "this was the sixth attempt");
}

#[test]
fn resumed_message_keeps_its_due_time() {
    let mut harness = Harness::new(settings());
    resume(&mut harness, 1, IDEMPOTENT, 0, false);
    assert_eq!(
        ended(&without_times(harness.advance(5 * S - 1))),
        [],
        "the message waits, as no endpoint is listed"
    );
    assert_eq!(ended(&without_times(harness.advance(1))), [(1, true)]);
}

#[test]
fn shutdown_starts_no_call_that_outlasts_the_process_and_refuses_held_messages() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    harness.complete(1, 1, Outcome::Full(Some(10 * S)));
    harness.arrive(2, NON_IDEMPOTENT, 2);
    let until = harness.now + 2 * S;
    let held = harness.event(Event::Shutdown(until));
    assert_eq!(
        ended(&held),
        [(1, true)],
        "the requested wait outlasts the process, so the message is refused at once"
    );
    let started = harness.arrive(3, NON_IDEMPOTENT, 2);
    let timeouts = started.iter().filter_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeouts.collect::<Vec<_>>(), [2 * S], "no call outlasts the process");
    harness.now = until - 300 * MS;
    let late = harness.arrive(4, IDEMPOTENT, 2);
    assert_eq!((sent(&late), ended(&late)), (vec![], vec![(4, true)]));
    assert_eq!(ended(&harness.complete(3, 2, Outcome::ConnectFailed)), [(3, true)]);
}

#[test]
fn lower_attempt_limit_ends_queued_messages_at_once_and_others_with_their_outcome() {
    let mut harness = Harness::without_recovery_limit();
    // Both have had at least one attempt; another one is in flight if the destination allows it.
    let mut in_flight = std::collections::BTreeSet::new();
    for id in [1, 2] {
        in_flight.extend(sent(&harness.arrive(id, IDEMPOTENT, 1)));
        if in_flight.remove(&id) {
            in_flight.extend(sent(&harness.complete(id, 1, Outcome::ConnectFailed)));
        }
    }
    let rules = RuleParameters { cold_capacity_fraction: 1.0, overload_multiple: 100.0, ..settings().rules };
    let fewer = Settings { max_attempts: 1, rules, ..settings() };
    let ended_now: Vec<u64> = ended(&harness.event(Event::SettingsChanged(Box::new(fewer))))
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    assert!(!in_flight.is_empty() && !ended_now.is_empty());
    assert_eq!(
        ended_now.len() + in_flight.len(),
        2,
        "queued messages end at once: {ended_now:?}, in flight: {in_flight:?}"
    );
    for id in in_flight {
        let last = harness.complete(id, 1, Outcome::ConnectFailed);
        assert_eq!((sent(&last), ended(&last)), (vec![], vec![(id, true)]), "no attempt beyond the limit");
    }
    assert_eq!(sent(&harness.arrive(3, IDEMPOTENT, 2)), [3], "a new message gets its first attempt");
    let end = harness.complete(3, 2, Outcome::ConnectFailed);
    assert_eq!((sent(&end), ended(&end)), (vec![], vec![(3, true)]));
}

#[test]
fn held_message_keeps_its_class_parameters_if_classes_are_added() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, NON_IDEMPOTENT, 1);
    let mut settings = settings();
    settings.classes.push(Class {
        effect: Effect::Idempotent,
        aim: 500 * MS,
        ..settings.classes[IDEMPOTENT].clone()
    });
    harness.event(Event::SettingsChanged(Box::new(settings)));
    let lost = harness.complete(1, 1, Outcome::Reset);
    assert_eq!(
        (sent(&lost), ended(&lost)),
        (vec![], vec![(1, false)]),
        "a non-idempotent message is not retried"
    );
    assert_eq!(sent(&harness.arrive(2, 4, 2)), [2]);
}

#[test]
fn message_resumed_untried_is_not_given_up_by_reported_waits() {
    let mut harness = Harness::with_endpoints(Settings { slots: 1, ..settings() });
    harness.arrive(1, IDEMPOTENT, 1);
    let destination = DestinationId(1);
    let waits = overload::waits::Waits::told(vec![(1000, 210, 210)]);
    harness.event(Event::QueueWaits { destination, waits });
    assert_eq!(
        ended(&resume(&mut harness, 2, IDEMPOTENT, 0, false)),
        [],
        "the reported wait is 21 s and 5 s are left, but it is owed one attempt"
    );
    assert_eq!(ended(&harness.arrive(3, IDEMPOTENT, 1)), [(3, true)], "a new message is refused at once");
    assert_eq!(
        ended(&resume(&mut harness, 4, IDEMPOTENT, 1, false)),
        [(4, true)],
        "and so is a resumed one with an attempt"
    );
    harness.now += MS;
    assert_eq!(sent(&harness.complete(1, 1, Outcome::Ok)), [2], "it gets its attempt");
    harness.now += MS;
    let failed = harness.complete(2, 1, Outcome::ConnectFailed);
    assert!(!ended(&failed).is_empty() || !sent(&failed).is_empty(), "afterwards it is treated like others");
}

#[test]
fn message_resumed_untried_is_not_given_up_for_lack_of_a_slot() {
    let mut harness = Harness::with_endpoints(Settings { senders: 240, ..settings() });
    harness.arrive(1, IDEMPOTENT, 1);
    harness.complete(1, 1, Outcome::Ok);
    harness.now += 70 * S;
    for id in [2, 3] {
        assert_eq!(sent(&harness.arrive(id, IDEMPOTENT, 1)), [id]);
        harness.now += 500 * MS;
        harness.complete(id, 1, Outcome::Full(None));
        harness.advance(S);
    }
    assert_eq!(
        ended(&resume(&mut harness, 4, IDEMPOTENT, 1, false)),
        [(4, true)],
        "a resumed message with an attempt gets no slot in time"
    );
    assert_eq!(ended(&resume(&mut harness, 5, IDEMPOTENT, 0, false)), []);
    assert_eq!(ended(&without_times(harness.advance(5 * S - 1))), [], "it waits until it is due");
    assert_eq!(ended(&without_times(harness.advance(1))), [(5, true)]);
}

#[test]
fn idempotent_message_that_may_have_ended_fails_without_a_retry() {
    let mut harness = Harness::with_default_settings();
    harness.arrive(1, IDEMPOTENT, 1);
    harness.now += MS;
    let actions = harness.complete_with(1, 1, Outcome::Spoilt, Verdict::MayHaveEnded);
    assert_eq!((sent(&actions), ended(&actions)), (vec![], vec![(1, false)]));
    assert_eq!(sent(&without_times(harness.advance(20 * S))), [] as [u64; 0]);
}

#[test]
fn message_whose_attempts_were_used_up_elsewhere_ends_at_once() {
    for (class, may_have_run, refused) in
        [(IDEMPOTENT, false, true), (NON_IDEMPOTENT, false, true), (NON_IDEMPOTENT, true, false)]
    {
        let mut harness = Harness::with_default_settings();
        harness.arrive(1, class, 1);
        harness.now += MS;
        let actions = harness.complete_with(1, 1, Outcome::Skipped, Verdict::Spent { may_have_run });
        assert_eq!((sent(&actions), ended(&actions)), (vec![], vec![(1, refused)]));
    }
}
