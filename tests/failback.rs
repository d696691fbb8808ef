//! A destination that comes back must not be pushed over, however many senders hold messages for it.

mod rig;
use rig::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

const SENDERS: u32 = 60;
const RATE: f64 = 12.0;
/// The outage begins and ends here, counted from the first arrival.
const OUTAGE: std::ops::Range<Micros> = 2 * S..17 * S;

/// A call: when, and whether its sender had learned of a failure before the return.
struct Reached {
    at: Micros,
    informed: bool,
}

/// The calls from the return on of senders whose messages go to one destination, which is out for 15 s. Each
/// outcome comes a step later: `during` tells it for the outage; afterwards all are refused, as by one that is
/// pushed over.
fn crowd(salt: u64, during: impl Fn(Micros) -> Outcome) -> Vec<Reached> {
    let mut rigs: Vec<Rig> = (0..SENDERS)
        .map(|n| {
            let given = Settings { senders: SENDERS, ..settings() };
            let mut rig = Rig::new(given.clone());
            rig.relay = Relay::new(given, salt + u64::from(n)).expect("sound");
            rig.list(ListForm::All, vec![entry(1, 1, RATE)]);
            rig
        })
        .collect();
    let step = 50 * MS;
    let mut out: Vec<(usize, u64)> = vec![];
    let mut informed = vec![false; rigs.len()];
    let mut reached = vec![];
    let (mut draw, mut id) = (salt, 0);
    for now in (0..OUTAGE.end + 2 * S).step_by(step as usize) {
        for (rig, id) in std::mem::take(&mut out) {
            let outcome = match now {
                now if now < OUTAGE.start => Outcome::Ok,
                now if now < OUTAGE.end => during(now),
                _ => Outcome::Full(None),
            };
            informed[rig] |= OUTAGE.contains(&now);
            for again in sent(&rigs[rig].done(id, 1, outcome)) {
                out.push((rig, again));
            }
        }
        // Twelve messages a second, each to any of the senders.
        for _ in 0..(now / step * 6 % 10 < 6) as u32 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let rig = (draw >> 33) as usize % rigs.len();
            id += 1;
            out.extend(sent(&rigs[rig].arrive(id, SAFE, 1)).into_iter().map(|id| (rig, id)));
        }
        for (n, rig) in rigs.iter_mut().enumerate() {
            out.extend(sent(&only(rig.pass(step))).into_iter().map(|id| (n, id)));
        }
        if now >= OUTAGE.end {
            reached.extend(out.iter().map(|(rig, _)| Reached { at: now, informed: informed[*rig] }));
        }
    }
    reached
}

/// The rule, in the window from the return on: more than the multiple of what it can do, and two thirds of that
/// from senders that had seen it fail.
fn pushed_over(reached: &[Reached]) -> bool {
    let rules = settings().rules;
    let bears = rules.fall_multiple * rules.cold_from * RATE * rules.fall_window as f64 / S as f64;
    let window = reached.iter().filter(|call| call.at < OUTAGE.end + rules.fall_window);
    let (mut all, mut informed) = (0, 0);
    for call in window {
        all += 1;
        informed += u32::from(call.informed);
    }
    // One call more is the slack for chance.
    f64::from(all) > bears + 1.0 && 3 * informed >= 2 * all
}

fn days_lost(during: impl Fn(Micros) -> Outcome + Copy) -> usize {
    (0..20).filter(|salt| pushed_over(&crowd(1000 * salt, during))).count()
}

#[test]
fn senders_that_were_refused_each_at_their_own_time_keep_to_their_share() {
    assert_eq!(days_lost(|_| Outcome::Full(None)), 0, "of 20");
}

#[test]
fn senders_whose_connects_failed_keep_to_their_share() {
    assert_eq!(days_lost(|_| Outcome::ConnectFailed), 0, "of 20");
}

#[test]
fn senders_that_were_told_when_it_opens_keep_to_their_share() {
    assert_eq!(days_lost(|now| Outcome::Full(Some(OUTAGE.end - now))), 0, "of 20");
}

/// One of `senders` at a rate of 4 a second; a call was answered well `ago`.
fn once_served(senders: u32, ago: Micros) -> Rig {
    let mut rig = Rig::listed(Settings { senders, ..settings() });
    rig.arrive(1, SAFE, 1);
    rig.done(1, 1, Outcome::Ok);
    rig.now += ago;
    rig
}

#[test]
fn a_message_that_gets_no_turn_in_time_is_answered_at_once() {
    let mut rig = once_served(240, 40 * S);
    rig.arrive(2, SAFE, 1);
    rig.now += 200 * MS;
    let actions = rig.done(2, 1, Outcome::Full(None));
    assert_eq!(ended(&actions), [(2, true)], "refused: the client may come again by another sender");
    let after = actions.iter().find_map(|a| if let Action::Refuse { after, .. } = a { *after } else { None });
    assert!(after.is_some_and(|after| after > 0), "and is told when: {after:?}");
}

#[test]
fn one_first_attempt_goes_on_after_a_failure_and_none_after_the_second() {
    let mut rig = once_served(240, 70 * S);
    for (id, goes) in [(2, true), (3, true), (4, false)] {
        assert_eq!(!sent(&rig.arrive(id, SAFE, 1)).is_empty(), goes, "message {id}");
        rig.now += 500 * MS;
        rig.done(id, 1, Outcome::Full(None));
        rig.pass(S);
    }
}

#[test]
fn one_that_saw_it_work_lately_need_not_wait_for_all() {
    let turn = |ago| {
        let mut rig = once_served(240, ago);
        rig.arrive(2, SAFE, 1);
        rig.now += 200 * MS;
        rig.done(2, 1, Outcome::Full(None));
        sent_at(&rig.pass(20 * S)).first().map(|(at, _)| *at)
    };
    assert!(turn(S).is_some() && turn(60 * S).is_none());
}

#[test]
fn an_answer_to_a_call_begun_before_the_outage_does_not_end_it() {
    let mut rig = once_served(240, 60 * S);
    rig.arrive(2, SAFE, 1);
    rig.now += 10 * MS;
    for id in [3, 4] {
        rig.arrive(id, SAFE, 1);
        rig.now += 500 * MS;
        rig.done(id, 1, Outcome::Full(None));
    }
    rig.done(2, 1, Outcome::Ok);
    assert_eq!(sent(&rig.arrive(5, SAFE, 1)), [] as [u64; 0]);
}
