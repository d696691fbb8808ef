//! What the outcomes of calls mean: for their messages, and for the health, pace and connections of destinations.

use super::*;

impl Relay {
    /// Frees what a call takes of its destination, though it is still to settle what its answer means for the message.
    pub(super) fn answered(&mut self, now: Micros, done: &Done) {
        let Some(message) = self.messages.get(&done.id).filter(|message| message.settling.is_none()) else {
            return;
        };
        let Some(call_id) = message.out else { return };
        if let Some(attempt) = self.answer_of(now, call_id, done)
            && let Some(message) = self.messages.get_mut(&done.id)
        {
            message.settling = Some(attempt);
        }
    }

    /// Takes what an outcome tells of its call; returns the call's start and zone.
    fn answer_of(&mut self, now: Micros, call_id: u64, done: &Done) -> Option<(Micros, usize)> {
        let call = self.calls.get_mut(&call_id)?;
        let begun = call.begun;
        call.left -= 1;
        // A wait binds from the outcome that tells it, also where other messages of the call are still out.
        let zone = self.endpoints.get(&done.target)?.zone;
        if let Some(wait) = done.told_wait() {
            let lane = &mut self.lanes[call.lane];
            lane.wait_until = lane.wait_until.max(Some(now + wait));
        }
        // Its messages share one fate, but one that was not sent at all tells nothing.
        if done.outcome != Outcome::Skipped {
            call.outcome = Some(done.outcome);
        }
        if call.left == 0
            && let Some(call) = self.calls.remove(&call_id)
        {
            self.learn(now, done, call_id, &call);
        }
        Some((begun, zone))
    }

    pub(super) fn done(&mut self, now: Micros, done: &Done, actions: &mut Vec<Action>) {
        let Done { id, outcome, verdict, .. } = *done;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(call_id) = message.out.take() else { return };
        let over = verdict.ended() || message.over;
        let settled = message.settling.take();
        let Some((begun, zone)) = settled.or_else(|| self.answer_of(now, call_id, done)) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        if verdict.may_have_run() {
            message.risk = message.risk.or(Some((begun, zone)));
            let rest = if outcome == Outcome::Error { 0 } else { self.settings.rules.settle };
            if let Some(line) = message.key.as_ref().and_then(|key| self.keys.get_mut(key)) {
                line.rest_until = now + rest;
            }
        }
        let Some(message) = self.messages.get(&id) else { return };
        if over {
            self.forget(id);
        } else if verdict == Verdict::MayHaveEnded {
            actions.push(Action::Fail(id));
            self.forget(id);
        } else if !verdict.owed()
            || message.attempts >= self.settings.max_attempts
            || self.last_start(message) <= now
            || (message.risk.is_some() && self.settings.classes[message.class].effect == Effect::Unsafe)
        {
            self.end(now, id, actions);
        } else {
            self.hold(id);
        }
    }

    /// What a call tells, once all its messages have their outcome: of connections, health and pace.
    fn learn(&mut self, now: Micros, done: &Done, call_id: u64, call: &Call) {
        let Done { target, outcome, took, report, .. } = *done;
        let outcome = call.outcome.unwrap_or(outcome);
        let shortest_aim = self.settings.shortest_aim();
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let lane = &mut self.lanes[call.lane];
        endpoint.out = endpoint.out.saturating_sub(1);
        lane.out = lane.out.saturating_sub(1);
        let jitter = jitter(self.settings.senders, self.seed ^ call_id);
        // Guards the pace against an endpoint's few connections, which are no limit on calls and no outage:
        // one of its own is waited for. Idle ones of many senders fill them, so this one lets its own go.
        let few = outcome == Outcome::Crowded;
        if few {
            let pause = stretched(CROWDED_FOR, jitter);
            (endpoint.most, endpoint.more_at) = (Some(endpoint.out), now + pause);
        } else if outcome == Outcome::Ok {
            endpoint.most = endpoint.most.map(|most| most.max(endpoint.out + 1));
        }
        // A time-out that the client's deadline cut short tells nothing of the destination. It guards health
        // and pace against impatient clients, and hurts where all messages are too short to see a hang.
        let hung = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled)
            && (lane.times.unknown() || lane.overdue(took));
        // Where later calls were answered well, one connection hung, or one endpoint: no trouble of all.
        let unanswered = hung && lane.good.is_none_or(|good| good <= call.begun);
        endpoint.failures += u32::from(hung && !unanswered);
        let failed =
            unanswered || matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if let Some(limit) = report.limit.filter(|limit| *limit > 0.0) {
            lane.rate = Some(lane.pacer.set_rate(limit, self.settings.senders, shortest_aim));
            lane.reported = true;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full(_)) {
            endpoint.idle_since = Some(now);
        }
        // Guards a destination's few connections, and our health, against idle ones; by kind, as one sees
        // little. A call that failed on one is not held against the destination. It also catches restarts and
        // middleboxes that drop them; it hurts, by handshakes, where resets have another cause.
        let dropped = failed && call.reused && outcome != Outcome::Error;
        let refused = few || outcome == Outcome::ConnectFailed && endpoint.failures == 0;
        if let Some(crowding) = self.crowding.get_mut(endpoint.kind)
            && (dropped || refused || outcome == Outcome::Ok)
        {
            let sample = f64::from(u8::from(dropped || refused));
            *crowding += (sample - *crowding) / SMOOTHING as f64;
        }
        let hard = failed && !dropped;
        let repeated = hard && outcome != Outcome::ConnectFailed;
        // A refusal with no long wait where little of the limit is left is no sign of an outage.
        let window = self.settings.rules.fall_window;
        let spent = report.left.is_some_and(|left| left < SPENT) && report.limit > Some(0.0);
        if !spent || !matches!(outcome, Outcome::Full(wait) if wait.unwrap_or(0) <= window) {
            self.learn_health(now, target, outcome, hard, jitter, call);
        }
        let lane = &mut self.lanes[call.lane];
        match outcome {
            Outcome::Ok => {
                lane.times.answered(took);
                lane.pacer.clean(call.begun);
            }
            // Errors and resets are backpressure too: a crowd that repeats them keeps a destination down.
            _ if unanswered || repeated || matches!(outcome, Outcome::Full(_)) => {
                let wait = if let Outcome::Full(wait) = outcome { wait.unwrap_or(0) } else { 0 };
                lane.pacer.signal(now, call.begun, shortest_aim / UNLISTED_PART_OF_AIM, wait, jitter);
            }
            _ => {}
        }
    }

    /// Streaks of failures and refusals, and what they mean: an outage, its end, or nothing yet.
    fn learn_health(
        &mut self, now: Micros, target: TargetId, outcome: Outcome, hard: bool, jitter: f64, call: &Call,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let (lane, settings) = (&mut self.lanes[call.lane], &self.settings);
        lane.trouble.take_if(|trouble| trouble.back.is_some_and(|back| back + warming(settings) <= now));
        // A call begun before the trouble does not end it.
        let before = lane.trouble.as_ref().is_some_and(|trouble| call.begun < trouble.first_begun);
        if outcome == Outcome::Ok && !before {
            endpoint.failures = 0;
            let long = |t: &Trouble| call.begun - t.first_begun >= settings.rules.fall_window;
            let lasted = |t: &Trouble| t.failures >= DOWN_STREAK || t.failures > 1 && long(t);
            lane.trouble.take_if(|trouble| trouble.back.is_none() && !lasted(trouble));
            if let Some(trouble) = &mut lane.trouble {
                trouble.failures = 0;
                if trouble.back.is_none() {
                    (trouble.back, trouble.hold) = (Some(now), 0);
                    lane.take_turn(settings, now, jitter);
                }
            } else {
                lane.good = Some(call.begun);
            }
        } else if hard || matches!(outcome, Outcome::Full(_)) {
            // Early calls guard single failures against waiting for a turn. When a destination returns, only
            // what failed so shortly before comes early: a part of what a window takes at the listed rate.
            let window = fall_budget(settings) * settings.rules.cold_from * settings.rules.fall_window as f64;
            let early_until = call.begun + (EARLY_PART * window) as Micros;
            let trouble = lane.trouble.get_or_insert(Trouble { early_until, ..Trouble::default() });
            if trouble.failures == 0 {
                (trouble.first_begun, trouble.back) = (call.begun, None);
            }
            trouble.failures += u32::from(!lane.pacer.stale(call.begun));
            let from = now.max(trouble.early_until).max(lane.wait_until.unwrap_or(now));
            lane.take_turn(settings, from, jitter);
            if hard {
                endpoint.failures += 1;
                // Under a steward's permits its destination's return is not this sender's to bound.
                endpoint.try_at = match lane.held.admission(now) {
                    Admission::LocalPacing => lane.trouble.as_ref().map_or(now, |trouble| trouble.turn),
                    _ => now + stretched(settings.rules.cold / 2, jitter),
                };
            }
        }
    }

    /// Departure: senders share their trials. What a peer saw fail since this one's last call is tried later,
    /// within a bound from that call or the first hearing, as peers may be wrong. What it saw work itself
    /// stands; what it saw shut no word opens, but a hold ends. It hurts where a return is seen later.
    pub(super) fn told(&mut self, now: Micros, told: &Hearsay) {
        let Some(place) = self.destinations.get(&told.destination).filter(|d| !d.apart) else { return };
        let (lane, settings) = (&mut self.lanes[place.lane], &self.settings);
        let jitter = jitter(settings.senders, self.seed ^ self.calls_made);
        let trial = lane.usual_gap(settings.senders).saturating_mul(SHARED_TRIAL);
        let trial = stretched(trial.min(settings.rules.cold / 2), jitter);
        let (last, back) = (lane.pacer.last_start, lane.trouble.as_ref().and_then(|trouble| trouble.back));
        let seen = lane.good.map(|good| good + settings.rules.cold).max(last);
        match told.word {
            Word::Took(took) if lane.times.unknown() => lane.times.answered(took),
            Word::Shut(at) if back.is_none() && seen <= Some(told.at) => {
                let early_until = now - 1;
                let heard = Trouble { first_begun: at, failures: STREAK, early_until, ..Trouble::default() };
                let trouble = lane.trouble.get_or_insert(heard);
                trouble.hold = last.unwrap_or(trouble.early_until) + trial;
            }
            Word::Answers(Some(at)) if last.is_none() && back.is_none() => {
                lane.trouble = Some(Trouble { first_begun: at, back: Some(at), ..Trouble::default() });
                lane.take_turn(settings, now, jitter);
            }
            Word::Answers(_) => {
                let hold = now + ((0.5 + jitter) * (trial / 4) as f64) as Micros;
                lane.trouble.iter_mut().for_each(|trouble| trouble.hold = trouble.hold.min(hold));
            }
            _ => {}
        }
    }
}
