//! One test for each failure found: the symptom, and what must not happen again.

mod rig;
use rig::*;
use tulipfall::interface::*;

/// `count` calls to a destination are answered, each after 100 ms; ids from `first` on.
fn served(rig: &mut Rig, destination: i64, first: u64, count: u64) {
    for id in first..first + count {
        assert_eq!(sent(&rig.arrive(id, SAFE, destination)), [id]);
        rig.now += 100 * MS;
        rig.done(id, destination as u32, Outcome::Ok);
    }
}

#[test]
fn a_hanging_destination_does_not_take_every_slot() {
    let mut rig = Rig::two();
    served(&mut rig, 1, 1, 8);
    let mut started = 0;
    for id in 100..140 {
        started += sent(&rig.arrive(id, UNSAFE, 1)).len();
        rig.now += 100 * MS;
    }
    assert!(started <= 6, "{started} calls hang");
    assert_eq!(sent(&rig.arrive(200, SAFE, 2)), [200], "others go on");
}

/// The calls that were called off.
fn off(actions: &[Action]) -> Vec<u64> {
    let id = |action: &Action| match action {
        Action::Cancel { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

#[test]
fn overdue_calls_are_called_off_when_no_slot_is_free() {
    let mut rig = Rig::new(Settings { slots: 2, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 2, 4.0)]);
    served(&mut rig, 1, 1, 8);
    rig.arrive(10, SAFE, 1);
    rig.arrive(11, UNSAFE, 1);
    rig.now += S;
    assert_eq!(off(&rig.arrive(12, SAFE, 2)), [0u64; 0], "its aim has not passed");
    rig.now += 2 * S;
    assert_eq!(off(&rig.arrive(13, SAFE, 2)), [10], "one at a time");
    assert_eq!(sent(&rig.done(10, 1, Outcome::Cancelled)).len(), 1, "the slot goes on");
}

#[test]
fn a_silent_connection_of_a_destination_that_answers_gives_its_slot_up_within_its_aim() {
    for class in [SAFE, UNSAFE] {
        let mut rig = Rig::new(Settings { slots: 3, ..settings() });
        rig.list(ListForm::All, vec![entry(1, 1, 40.0), entry(2, 2, 40.0)]);
        served(&mut rig, 1, 1, 8);
        rig.arrive(10, class, 1);
        rig.now += 10 * MS;
        // A later call is answered well, which none was where a whole destination is silent.
        served(&mut rig, 1, 11, 1);
        // The other slots are taken by calls that are not overdue, and more waits.
        rig.now += S;
        (20..22).for_each(|id| drop(rig.arrive(id, SAFE, 2)));
        let waiting = rig.arrive(22, SAFE, 1);
        assert_eq!((sent(&waiting), off(&waiting)), (vec![], vec![10]), "half of its aim has passed");
        let next = rig.done(10, 1, Outcome::Cancelled);
        assert!(!sent(&next).is_empty(), "the slot goes on: {next:?}");
        let given_up = ended(&next).contains(&(10, false));
        assert_eq!(given_up, class == UNSAFE, "what may not run twice is given up, the other goes again");
    }
}

#[test]
fn a_limit_that_is_lowered_and_spent_is_not_taken_for_an_outage() {
    // Refused as the limit is spent, and again later; then answered. With an outage the next calls would wait for
    // turns of a cold destination, a second or more apart.
    let next_after = |left: f64| {
        let mut rig = Rig::two();
        let report = Report { left: Some(left), limit: Some(4.0), wait: None };
        served(&mut rig, 1, 1, 8);
        for id in [20, 21] {
            rig.arrive(id, SAFE, 1);
            let sent = rig.pass(3 * S);
            let attempt = sent_at(&sent).len().saturating_sub(1) as u32;
            rig.now += 10 * MS;
            let outcome = Outcome::Full(None);
            let done = Done {
                id: MessageId(id),
                attempt,
                target: TargetId(1),
                outcome,
                took: MS,
                verdict: outcome.verdict(),
                report,
            };
            rig.event(Event::Done(done));
            rig.pass(S);
            rig.done(id, 1, Outcome::Ok);
        }
        rig.arrive(30, SAFE, 1);
        let from = rig.now;
        sent_at(&rig.pass(10 * S)).first().map_or(0, |(at, _)| at - from)
    };
    assert!(next_after(0.1) < next_after(0.9), "{} and {}", next_after(0.1), next_after(0.9));
}

#[test]
fn a_message_that_comes_with_little_time_is_tried() {
    let mut rig = Rig::two();
    served(&mut rig, 1, 1, 3);
    let short = Arrival {
        id: MessageId(10),
        class: SAFE,
        tenant: None,
        key: None,
        due: rig.now + 101 * MS,
        destination: DestinationId(1),
    };
    assert_eq!(sent(&rig.event(Event::Arrival(short))), [10]);
}

#[test]
fn a_time_out_that_the_deadline_cut_short_is_no_sign() {
    let mut rig = Rig::two();
    served(&mut rig, 1, 1, 8);
    for id in 10..16 {
        rig.arrive(id, SAFE, 1);
        rig.now += 100 * MS;
        rig.event(Event::Done(Done {
            id: MessageId(id),
            attempt: 0,
            target: TargetId(1),
            outcome: Outcome::TimedOut,
            took: 100 * MS,
            verdict: Decision::EndedElsewhere,
            report: Report::default(),
        }));
    }
    assert_eq!(sent(&rig.arrive(20, SAFE, 1)), [20], "neither paced nor down");
}

#[test]
fn clean_outcomes_find_room_that_a_rough_rate_hides() {
    let mut rig = Rig::two();
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(None));
    for id in 2..80 {
        rig.arrive(id, SAFE, 1);
    }
    let mut times = vec![];
    for _ in 0..200 {
        for (at, id) in sent_at(&rig.pass(20 * MS)) {
            times.push(at);
            rig.done(id, 1, Outcome::Ok);
        }
    }
    let gaps: Vec<Micros> = times.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.first().is_some_and(|gap| *gap >= 230 * MS), "the base comes first: {gaps:?}");
    assert!(gaps.last().is_some_and(|gap| *gap <= 150 * MS), "then less: {gaps:?}");
    assert!(gaps.iter().all(|gap| *gap >= 100 * MS), "never past all of a rate twice the listed: {gaps:?}");
}

#[test]
fn one_bad_endpoint_does_not_stop_its_destination() {
    let mut rig = Rig::new(settings());
    rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 1, 4.0)]);
    let (mut bad, mut good) = (0, vec![]);
    // Calls overlap, so that the bad endpoint is always the one with fewer out.
    for id in 1..=40 {
        let mut sends = rig.arrive(id, SAFE, 1);
        while let Some(action) = sends.pop() {
            match action {
                Action::Send { id, target: TargetId(1), .. } => {
                    bad += 1;
                    sends.extend(rig.done(id.0, 1, Outcome::ConnectFailed));
                }
                Action::Send { id, .. } => good.push(id.0),
                _ => {}
            }
        }
        rig.now += 50 * MS;
        if good.len() > 2 {
            rig.done(good.remove(0), 2, Outcome::Ok);
        }
    }
    assert!(bad <= 10, "{bad} calls went to the bad endpoint");
}

#[test]
fn the_longest_queue_makes_room_in_a_full_buffer() {
    let mut rig = Rig::new(Settings { max_held: 20, ..settings() });
    rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 2, 4.0)]);
    rig.arrive(1, SAFE, 1);
    rig.now += MS;
    rig.done(1, 1, Outcome::Full(Some(10 * S)));
    let mut refused = vec![];
    for id in 2..=25 {
        refused.extend(ended(&rig.arrive(id, if id == 3 { PRECIOUS } else { SAFE }, 1)));
    }
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|(id, refused)| *refused && *id > 15), "the last in line: {refused:?}");
    assert_eq!(sent(&rig.arrive(100, SAFE, 2)), [100], "others are still taken");
}

#[test]
fn the_list_is_asked_for_where_it_must_be() {
    let mut rig = Rig::new(Settings { ask_every: Some(10 * S), ..settings() });
    assert!(rig.list(ListForm::All, vec![entry(1, 1, 4.0)]).contains(&Action::Watch));
    assert!(!only(rig.pass(30 * S)).contains(&Action::Watch), "a subscription is asked for once");
    rig.list(ListForm::Refused, vec![]);
    assert!(only(rig.pass(10 * S)).contains(&Action::Watch), "and again after it broke");
}

#[test]
fn extreme_settings_make_progress() {
    let extremes: [fn(&mut Settings); 6] = [
        |s| s.slots = 1,
        |s| s.max_held = 1,
        |s| s.max_attempts = 1,
        |s| s.listed_rates = false,
        |s| s.senders = 1000,
        |s| (s.rules.settle, s.rules.fall_window, s.rules.cold, s.rules.drain_grace) = (0, 0, 0, 0),
    ];
    for (i, change) in extremes.iter().enumerate() {
        let mut given = settings();
        change(&mut given);
        let mut rig = Rig::new(given);
        rig.list(ListForm::All, vec![entry(1, 1, 4.0)]);
        let (mut served, mut given_up) = (0, 0);
        for id in 1..=20 {
            let mut all = rig.arrive(id, (id % 4) as usize, 1);
            all.extend(only(rig.pass(500 * MS)));
            given_up += ended(&all).len();
            for id in sent(&all) {
                let outcome = if id % 5 == 0 { Outcome::Full(None) } else { Outcome::Ok };
                served += usize::from(outcome == Outcome::Ok);
                given_up += ended(&rig.done(id, 1, outcome)).len();
            }
        }
        given_up += ended(&only(rig.pass(60 * S))).len();
        assert!(served >= 3, "case {i}: {served} served");
        assert!(served + given_up <= 20, "case {i}: {served} served and {given_up} given up");
    }
}

/// Two connections that fall silent, among calls that are answered, are no outage: the next ones need no turn.
#[test]
fn a_time_out_after_later_calls_were_answered_is_no_trouble_of_the_destination() {
    let mut rig = Rig::two();
    for id in 1..=2 {
        rig.arrive(id, SAFE, 1);
    }
    for id in 3..=6 {
        rig.now += S;
        rig.arrive(id, SAFE, 1);
        rig.now += 100 * MS;
        rig.done(id, 1, Outcome::Ok);
    }
    let done = |id: u64| {
        let (id, target, outcome) = (MessageId(id), TargetId(1), Outcome::TimedOut);
        let report = Report::default();
        Event::Done(Done { id, attempt: 0, target, outcome, took: 4 * S, verdict: outcome.verdict(), report })
    };
    assert_eq!(sent(&rig.event(done(1))), [1]);
    assert_eq!(sent(&rig.event(done(2))), [] as [u64; 0], "the endpoint is tried singly");
    assert_eq!(sent(&rig.done(1, 1, Outcome::Ok)), [2], "with no turn and no pace");
}
