//! A destination that comes back must not be pushed over, however many senders hold messages for it.

mod rig;
use rig::*;
use tulipfall::interface::*;
use tulipfall::rules::Relay;

/// Senders, as many as processes that share a destination.
const SENDERS: [u32; 3] = [20, 30, 60];
const RATE: f64 = 12.0;
/// The outage begins and ends here, counted from the first arrival.
const OUTAGE: std::ops::Range<Micros> = 2 * S..17 * S;

/// A call: when, and whether its sender had learned of a failure before the return.
struct Reached {
    at: Micros,
    informed: bool,
}

/// Calls a second that the destination can serve after its return.
fn capacity(now: Micros) -> f64 {
    let rules = settings().rules;
    let age = (now - OUTAGE.end).max(0) as f64 / rules.cold as f64;
    RATE * (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
}

/// The calls from the return on of senders whose messages go to one destination, which is out for 15 s. Each
/// outcome comes a step later: `during` tells it for the outage. From the return on the destination serves as much as it
/// can, which grows with its warmth, and refuses the rest; or, if `pushed_over`, refuses all. No sender hears of another.
fn crowd(
    senders: u32, salt: u64, during: impl Fn(Micros) -> Outcome, pushed_over: bool, until: Micros,
) -> Vec<Reached> {
    let mut rigs: Vec<Rig> = (0..senders)
        .map(|n| {
            let given = Settings { senders, ..settings() };
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
    let (mut draw, mut id, mut room) = (salt, 0, 0.0);
    for now in (0..until).step_by(step as usize) {
        room = f64::min(room + capacity(now) * step as f64 / S as f64, capacity(now));
        for (rig, id) in std::mem::take(&mut out) {
            let served = !pushed_over && room >= 1.0;
            let outcome = match now {
                now if now < OUTAGE.start => Outcome::Ok,
                now if now < OUTAGE.end => during(now),
                _ if served => {
                    room -= 1.0;
                    Outcome::Ok
                }
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

/// Afterwards all are refused, as by one that is pushed over.
fn days_lost(during: impl Fn(Micros) -> Outcome + Copy) -> usize {
    let day = |salt: u64| crowd(60, 1000 * salt, during, true, OUTAGE.end + 2 * S);
    (0..20).filter(|salt| pushed_over(&day(*salt))).count()
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

/// Over every window of the ramp, what all processes send beyond the destination's budget of that moment, chance left out.
fn beyond_chance(reached: &[Reached]) -> f64 {
    let rules = settings().rules;
    let over = reached.iter().enumerate().map(|(first, call)| {
        let window = reached[first..].iter().take_while(|c| c.at < call.at + rules.fall_window);
        let (all, informed) =
            window.fold((0.0, 0.0), |(all, informed), c| (all + 1.0, informed + f64::from(c.informed)));
        let bears = rules.fall_multiple * capacity(call.at) * rules.fall_window as f64 / S as f64;
        if 3.0 * informed >= 2.0 * all { all - bears - 2.0 * bears.sqrt() - 2.0 } else { 0.0 }
    });
    over.fold(0.0, f64::max)
}

/// Twenty, thirty and sixty processes that hear nothing of each other, as where their notes are lost.
#[test]
fn all_processes_together_keep_to_what_a_returning_destination_bears_through_its_ramp() {
    type During = fn(Micros) -> Outcome;
    let outages: [(&str, During); 3] = [
        ("refused", |_| Outcome::Full(None)),
        ("no connection", |_| Outcome::ConnectFailed),
        ("told when it opens", |now| Outcome::Full(Some(OUTAGE.end - now))),
    ];
    let mut over = Vec::new();
    for senders in SENDERS {
        for (name, during) in outages {
            for pushed in [false, true] {
                let play =
                    |salt| crowd(senders, 1000 * salt, during, pushed, OUTAGE.end + settings().rules.cold);
                let plays: Vec<f64> = (0..20).map(|salt: u64| beyond_chance(&play(salt))).collect();
                let broken = plays.iter().filter(|beyond| **beyond > 0.0).count();
                if broken > 0 {
                    let worst = plays.iter().copied().fold(0.0, f64::max);
                    over.push(format!(
                        "{senders} processes, {name}, pushed over {pushed}: {broken} of 20, {worst:.1} too many"
                    ));
                }
            }
        }
    }
    assert!(over.is_empty(), "{over:#?}");
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
