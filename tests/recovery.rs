//! What the module does with messages of an earlier process, and in a process that is to end.

mod rig;
use rig::*;
use tulipfall::interface::*;

fn resumed(rig: &mut Rig, id: u64, class: usize, attempts: u32, may_have_run: bool) -> Vec<Action> {
    let due = rig.now + 5 * S;
    let destination = DestinationId(1);
    let arrival = Arrival { id: MessageId(id), class, tenant: None, key: None, due, destination };
    rig.event(Event::Resumed { arrival, attempts, may_have_run })
}

#[test]
fn what_may_have_run_is_sent_again_only_where_its_class_allows() {
    let mut rig = Rig::two();
    assert_eq!(sent(&resumed(&mut rig, 1, SAFE, 1, true)), [1]);
    let once = resumed(&mut rig, 2, UNSAFE, 1, true);
    assert_eq!((sent(&once), ended(&once)), (vec![], vec![(2, false)]), "failed, not refused");
    assert_eq!(sent(&resumed(&mut rig, 3, UNSAFE, 1, false)), [3], "it never ran");
    let keyed = resumed(&mut rig, 4, KEYED, 1, true);
    assert_eq!(sent(&keyed), [] as [u64; 0], "nobody knows any more how long ago it ran");
}

#[test]
fn attempts_of_an_earlier_process_count() {
    let mut rig = Rig::two();
    let spent = resumed(&mut rig, 1, SAFE, 6, true);
    assert_eq!((sent(&spent), ended(&spent)), (vec![], vec![(1, true)]));
    assert_eq!(sent(&resumed(&mut rig, 2, SAFE, 5, false)), [2]);
    let last = rig.done(2, 1, Outcome::ConnectFailed);
    assert_eq!((sent(&last), ended(&last)), (vec![], vec![(2, true)]), "that was the sixth");
}

#[test]
fn what_is_resumed_keeps_its_due_time() {
    let mut rig = Rig::new(settings());
    resumed(&mut rig, 1, SAFE, 0, false);
    assert_eq!(ended(&only(rig.pass(5 * S - 1))), [], "no endpoint is listed: it waits");
    assert_eq!(ended(&only(rig.pass(1))), [(1, true)]);
}

#[test]
fn a_stopping_process_starts_nothing_that_cannot_end_and_ends_what_it_holds() {
    let mut rig = Rig::two();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(10 * S)));
    rig.arrive(2, UNSAFE, 2);
    let until = rig.now + 2 * S;
    let held = rig.event(Event::Stop(until));
    assert_eq!(ended(&held), [(1, true)], "its wait outlasts the process: handed back at once");
    let started = rig.arrive(3, UNSAFE, 2);
    let timeouts = started.iter().filter_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeouts.collect::<Vec<_>>(), [2 * S], "no call outlasts the process");
    rig.now = until - 300 * MS;
    let late = rig.arrive(4, SAFE, 2);
    assert_eq!((sent(&late), ended(&late)), (vec![], vec![(4, true)]));
    assert_eq!(ended(&rig.done(3, 2, Outcome::ConnectFailed)), [(3, true)]);
}

#[test]
fn fewer_attempts_bind_what_is_held_at_once_and_what_is_out_with_its_outcome() {
    let mut rig = Rig::sturdy();
    // Both have had one attempt at the least; one more is out where the destination allows it.
    let mut out = std::collections::BTreeSet::new();
    for id in [1, 2] {
        out.extend(sent(&rig.arrive(id, SAFE, 1)));
        if out.remove(&id) {
            out.extend(sent(&rig.done(id, 1, Outcome::ConnectFailed)));
        }
    }
    let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
    let fewer = Settings { max_attempts: 1, rules, ..settings() };
    let ended_now: Vec<u64> =
        ended(&rig.event(Event::Retuned(Box::new(fewer)))).into_iter().map(|(id, _)| id).collect();
    assert!(!out.is_empty() && !ended_now.is_empty());
    assert_eq!(ended_now.len() + out.len(), 2, "held ones end at once: {ended_now:?}, out: {out:?}");
    for id in out {
        let last = rig.done(id, 1, Outcome::ConnectFailed);
        assert_eq!((sent(&last), ended(&last)), (vec![], vec![(id, true)]), "no attempt beyond the limit");
    }
    assert_eq!(sent(&rig.arrive(3, SAFE, 2)), [3], "a new one has its first");
    let end = rig.done(3, 2, Outcome::ConnectFailed);
    assert_eq!((sent(&end), ended(&end)), (vec![], vec![(3, true)]));
}

#[test]
fn a_message_that_is_held_keeps_its_terms_as_other_classes_come() {
    let mut rig = Rig::two();
    rig.arrive(1, UNSAFE, 1);
    let mut settings = settings();
    settings.classes.push(Class { effect: Effect::Safe, aim: 500 * MS, ..settings.classes[SAFE].clone() });
    rig.event(Event::Retuned(Box::new(settings)));
    let lost = rig.done(1, 1, Outcome::Reset);
    assert_eq!((sent(&lost), ended(&lost)), (vec![], vec![(1, false)]), "never twice");
    assert_eq!(sent(&rig.arrive(2, 4, 2)), [2]);
}

#[test]
fn what_a_start_found_untried_is_not_given_up_on_what_a_steward_says_of_waits() {
    let mut rig = Rig::listed(Settings { slots: 1, ..settings() });
    rig.arrive(1, SAFE, 1);
    let destination = DestinationId(1);
    let waits = overload::waits::MinimumWaits::from_levels(vec![(1000, 210, 210)]);
    rig.event(Event::Waits { destination, waits });
    assert_eq!(
        ended(&resumed(&mut rig, 2, SAFE, 0, false)),
        [],
        "21 s are said, it has 5: it waits for its try"
    );
    assert_eq!(ended(&rig.arrive(3, SAFE, 1)), [(3, true)], "what is new is told at once");
    assert_eq!(ended(&resumed(&mut rig, 4, SAFE, 1, false)), [(4, true)], "and so is what was tried");
    rig.now += MS;
    assert_eq!(sent(&rig.done(1, 1, Outcome::Ok)), [2], "it has its try");
    rig.now += MS;
    let failed = rig.done(2, 1, Outcome::ConnectFailed);
    assert!(!ended(&failed).is_empty() || !sent(&failed).is_empty(), "then it is judged like all");
}

#[test]
fn what_a_start_found_untried_is_not_given_up_for_want_of_a_turn() {
    let mut rig = Rig::listed(Settings { senders: 240, ..settings() });
    rig.arrive(1, SAFE, 1);
    rig.done(1, 1, Outcome::Ok);
    rig.now += 70 * S;
    for id in [2, 3] {
        assert_eq!(sent(&rig.arrive(id, SAFE, 1)), [id]);
        rig.now += 500 * MS;
        rig.done(id, 1, Outcome::Full(None));
        rig.pass(S);
    }
    assert_eq!(
        ended(&resumed(&mut rig, 4, SAFE, 1, false)),
        [(4, true)],
        "one that was tried gets no turn in time"
    );
    assert_eq!(ended(&resumed(&mut rig, 5, SAFE, 0, false)), []);
    assert_eq!(ended(&only(rig.pass(5 * S - 1))), [], "it waits as long as it may");
    assert_eq!(ended(&only(rig.pass(1))), [(5, true)]);
}

#[test]
fn a_repeatable_message_that_may_have_ended_is_reported_and_never_sent_again() {
    let mut rig = Rig::two();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    let actions = rig.judged(1, 1, Outcome::Spoilt, Decision::MayHaveEnded);
    assert_eq!((sent(&actions), ended(&actions)), (vec![], vec![(1, false)]));
    assert_eq!(sent(&only(rig.pass(20 * S))), [] as [u64; 0]);
}

#[test]
fn a_message_that_has_had_all_its_attempts_elsewhere_ends_at_once() {
    for (class, may_have_run, handed_back) in
        [(SAFE, false, true), (UNSAFE, false, true), (UNSAFE, true, false)]
    {
        let mut rig = Rig::two();
        rig.arrive(1, class, 1);
        rig.now += MS;
        let actions = rig.judged(1, 1, Outcome::Skipped, Decision::AttemptsExhausted { may_have_run });
        assert_eq!((sent(&actions), ended(&actions)), (vec![], vec![(1, handed_back)]));
    }
}
