//! Effects of call outcomes on messages, and on the health, pace and connections of destinations.

use super::failback::EARLY_BUDGET_FRACTION;
use super::*;

impl Relay {
    /// Ends a call at its destination when the answer arrives, before it is decided what the answer means for
    /// the message.
    pub(super) fn attempt_answered(&mut self, now: Micros, result: &AttemptResult) {
        let Some(message) =
            self.messages.get(&result.id).filter(|message| message.answered_attempt.is_none())
        else {
            return;
        };
        let Some(call_id) = message.call else { return };
        if let Some(attempt) = self.apply_to_call(now, call_id, result)
            && let Some(message) = self.messages.get_mut(&result.id)
        {
            message.answered_attempt = Some(attempt);
        }
    }

    /// Applies one message's result to its call and path; the call ends with the last one. Returns the start
    /// and zone of the attempt.
    fn apply_to_call(
        &mut self, now: Micros, call_id: u64, result: &AttemptResult,
    ) -> Option<(Micros, usize)> {
        let call = self.calls.get_mut(&call_id)?;
        let started_at = call.started_at;
        call.pending -= 1;
        // A requested wait applies at once, even if other messages of the call have no outcome yet.
        let zone = self.endpoints.get(&result.target)?.zone;
        if let Some(wait) = result.requested_wait() {
            let path = &mut self.paths[call.path];
            path.wait_until = path.wait_until.max(Some(now + wait));
        }
        // All messages of a call share its outcome, except one that was not sent at all.
        if result.outcome != Outcome::Skipped {
            call.outcome = Some(result.outcome);
        }
        if call.pending == 0
            && let Some(call) = self.calls.remove(&call_id)
        {
            self.call_ended(now, result, call_id, &call);
        }
        Some((started_at, zone))
    }

    /// Handles the end of an attempt: the message is removed, ended without delivery or queued for a retry.
    pub(super) fn attempt_ended(&mut self, now: Micros, result: &AttemptResult, actions: &mut Vec<Action>) {
        let AttemptResult { id, outcome, decision, .. } = *result;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(call_id) = message.call.take() else { return };
        let ended = decision.is_ended() || message.ended_elsewhere;
        let answered = message.answered_attempt.take();
        let Some((started_at, zone)) = answered.or_else(|| self.apply_to_call(now, call_id, result)) else {
            return;
        };
        let Some(message) = self.messages.get_mut(&id) else { return };
        if decision.may_have_run() {
            message.may_have_run = message.may_have_run.or(Some((started_at, zone)));
            // An attempt that was answered with an error is no longer running.
            let pause = if outcome == Outcome::Error { 0 } else { self.settings.rules.settle_time };
            if let Some(key_queue) = message.key.as_ref().and_then(|key| self.key_queues.get_mut(key)) {
                key_queue.paused_until = now + pause;
            }
        }
        let Some(message) = self.messages.get(&id) else { return };
        if ended {
            self.remove_message(id);
        } else if decision == Decision::MayHaveEnded {
            actions.push(Action::Fail(id));
            self.remove_message(id);
        } else if !decision.is_pending()
            || message.attempts >= self.settings.max_attempts
            || self.latest_start(message) <= now
            || (message.may_have_run.is_some()
                && self.settings.classes[message.class].effect == Effect::NonIdempotent)
        {
            self.end_undelivered(now, id, actions);
        } else {
            self.enqueue(id);
        }
    }

    /// Updates connections, health and pace after the end of a call, when all its messages have their
    /// outcome.
    fn call_ended(&mut self, now: Micros, result: &AttemptResult, call_id: u64, call: &Call) {
        let AttemptResult { target, outcome, elapsed, report, .. } = *result;
        let outcome = call.outcome.unwrap_or(outcome);
        let shortest_aim = self.settings.shortest_aim();
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let path = &mut self.paths[call.path];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        path.in_flight = path.in_flight.saturating_sub(1);
        let jitter = jitter_fraction(self.settings.senders, self.seed ^ call_id);
        // An endpoint that is out of connections limits the calls in flight there, not the rate of calls, and
        // has no outage, so the pace stays. The next call waits for the end of one of this sender's own calls
        // or for a delay.
        let out_of_connections = outcome == Outcome::Crowded;
        if out_of_connections {
            let pause = with_jitter(CONNECTION_LIMIT_RETRY_US, jitter);
            (endpoint.connection_limit, endpoint.raise_limit_at) = (Some(endpoint.in_flight), now + pause);
        } else if outcome == Outcome::Ok {
            endpoint.connection_limit =
                endpoint.connection_limit.map(|limit| limit.max(endpoint.in_flight + 1));
        }
        // A time-out shorter than the usual response time, set by the client's deadline, is no evidence
        // against the destination: health and pace do not suffer from short deadlines.
        // Known limitation: if all messages have such deadlines, a hanging destination is not detected.
        let hung = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled)
            && (path.response_times.is_empty() || path.is_overdue(elapsed));
        // If later calls succeeded, only one connection or one endpoint hangs, not the destination.
        let destination_hung = hung && path.last_success.is_none_or(|success| success <= call.started_at);
        endpoint.failures += u32::from(hung && !destination_hung);
        let failed =
            destination_hung || matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if let Some(limit) = report.limit.filter(|limit| *limit > 0.0) {
            path.rate = Some(path.pacer.set_rate(limit, self.settings.senders, shortest_aim));
            path.rate_reported = true;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full(_)) {
            endpoint.idle_since = Some(now);
        }
        // A failure on a reused idle connection is held against the connection, not the destination: a
        // restart or a middlebox may have dropped it. Dropped and refused connections are counted, because
        // the idle connections of many senders use up a destination's few connections; above a threshold,
        // idle connections are closed early. The count is per kind, as a single destination gives too few
        // samples.
        // Known limitation: resets with another cause cost unnecessary handshakes.
        let dropped = failed && call.reused_connection && outcome != Outcome::Error;
        let refused = out_of_connections || outcome == Outcome::ConnectFailed && endpoint.failures == 0;
        if let Some(fraction) = self.connection_failures.get_mut(endpoint.kind)
            && (dropped || refused || outcome == Outcome::Ok)
        {
            let sample = f64::from(u8::from(dropped || refused));
            *fraction += (sample - *fraction) / SMOOTHING_DIVISOR as f64;
        }
        let destination_failed = failed && !dropped;
        let signals_overload = destination_failed && outcome != Outcome::ConnectFailed;
        // A refusal with no wait or a short one, while little of the limit is left, is no sign of an outage.
        let window = self.settings.rules.overload_window;
        let limit_exhausted = report.remaining_fraction.is_some_and(|left| left < EXHAUSTED_LIMIT_FRACTION)
            && report.limit > Some(0.0);
        if !limit_exhausted || !matches!(outcome, Outcome::Full(wait) if wait.unwrap_or(0) <= window) {
            self.update_health(now, target, outcome, destination_failed, jitter, call);
        }
        let path = &mut self.paths[call.path];
        match outcome {
            Outcome::Ok => {
                path.response_times.record(elapsed);
                path.pacer.on_success(call.started_at);
            }
            // Errors, resets and hanging calls are backpressure too: the retries of many senders would keep a
            // destination down.
            _ if destination_hung || signals_overload || matches!(outcome, Outcome::Full(_)) => {
                let wait = if let Outcome::Full(wait) = outcome { wait.unwrap_or(0) } else { 0 };
                path.pacer.on_signal(
                    now,
                    call.started_at,
                    shortest_aim / UNLISTED_INTERVAL_AIM_DIVISOR,
                    wait,
                    jitter,
                );
            }
            _ => {}
        }
    }

    /// Updates the failure state of a path and the failures of an endpoint: the start of an outage, its end,
    /// or a single failure.
    fn update_health(
        &mut self, now: Micros, target: TargetId, outcome: Outcome, destination_failed: bool, jitter: f64,
        call: &Call,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let (path, settings) = (&mut self.paths[call.path], &self.settings);
        path.failure.take_if(|failure| {
            failure.returned_at.is_some_and(|returned_at| returned_at + slot_period(settings) <= now)
        });
        // A call that started before the failure does not end it.
        let before = path.failure.as_ref().is_some_and(|failure| call.started_at < failure.first_start);
        if outcome == Outcome::Ok && !before {
            endpoint.failures = 0;
            path.succeeded(settings, now, call.started_at, jitter);
        } else if destination_failed || matches!(outcome, Outcome::Full(_)) {
            // Calls soon after the first failure need no recovery slot, so that a single failure delays no
            // message. When a destination returns, only senders whose first failure was so recent make such
            // calls. At the listed rate, the calls of this duration are the fraction of the recovery budget
            // of one overload window that is reserved for them.
            let window_budget = recovery_budget(settings)
                * settings.rules.cold_capacity_fraction
                * settings.rules.overload_window as f64;
            let early_until = call.started_at + (EARLY_BUDGET_FRACTION * window_budget) as Micros;
            let early_calls = path.early_calls(settings);
            let first = FailureState { early_until, early_calls, ..FailureState::default() };
            let failure = path.failure.get_or_insert(first);
            if failure.failures == 0 {
                failure.earlier_return = failure.returned_at.take().or(failure.earlier_return);
                failure.first_start = call.started_at;
            }
            failure.failures += u32::from(!path.pacer.is_stale(call.started_at));
            let from = now.max(failure.early_until).max(path.wait_until.unwrap_or(now));
            path.assign_next_slot(settings, from, jitter);
            if destination_failed {
                endpoint.failures += 1;
                // Under grants, the limit coordinator bounds the traffic to a returning destination, not this
                // sender's recovery slots.
                endpoint.next_trial = match path.grants.admission(now) {
                    Admission::LocalPacing => path.failure.as_ref().map_or(now, |failure| failure.next_slot),
                    _ => now + with_jitter(settings.rules.warm_up / 2, jitter),
                };
            }
        }
    }

    /// Applies an observation by another sender.
    ///
    /// Deviation from the published mechanism: senders share their trial calls to a failing destination.
    ///
    /// - A failure delays this sender's next call if it was observed after this sender's last call, and later
    ///   than one warm-up after its last success. As observations may be wrong, the delay is bounded: it ends
    ///   a trial interval after the sender's last call, or after the first report if there was none.
    /// - An answer does not end a failure state that this sender saw itself, but it ends the delay soon,
    ///   spread by jitter.
    /// - If this sender has not called the destination yet, an answer after an outage makes it a returning
    ///   destination.
    /// - A response time is used as long as this sender has measured none.
    ///
    /// Known limitation: a return may be noticed later.
    pub(super) fn peer_observed(&mut self, now: Micros, observation: &DestinationObservation) {
        let Some(destination) =
            self.destinations.get(&observation.destination).filter(|d| !d.separate_routes)
        else {
            return;
        };
        let (path, settings) = (&mut self.paths[destination.path], &self.settings);
        let jitter = jitter_fraction(settings.senders, self.seed ^ self.calls_made);
        let trial_interval = path.expected_spacing(settings.senders).saturating_mul(SHARED_TRIAL_SPACINGS);
        let trial_interval = with_jitter(trial_interval.min(settings.rules.warm_up / 2), jitter);
        let (last_start, returned_at) =
            (path.pacer.last_start, path.failure.as_ref().and_then(|failure| failure.returned_at));
        // Until this time this sender's own observations take precedence.
        let own_until = path.last_success.map(|success| success + settings.rules.warm_up).max(last_start);
        match observation.condition {
            ObservedCondition::ResponseTime(elapsed) if path.response_times.is_empty() => {
                path.response_times.record(elapsed)
            }
            ObservedCondition::Failing(since)
                if returned_at.is_none() && own_until <= Some(observation.observed_at) =>
            {
                let early_until = now - 1;
                let reported = FailureState {
                    first_start: since,
                    failures: FAILING_STREAK,
                    early_until,
                    ..FailureState::default()
                };
                let failure = path.failure.get_or_insert(reported);
                failure.held_until = last_start.unwrap_or(failure.early_until) + trial_interval;
            }
            ObservedCondition::Answering(Some(since)) if last_start.is_none() && returned_at.is_none() => {
                path.failure = Some(FailureState {
                    first_start: since,
                    returned_at: Some(since),
                    ..FailureState::default()
                });
                path.assign_next_slot(settings, now, jitter);
            }
            ObservedCondition::Answering(_) => {
                let held_until = now + ((0.5 + jitter) * (trial_interval / 4) as f64) as Micros;
                path.failure
                    .iter_mut()
                    .for_each(|failure| failure.held_until = failure.held_until.min(held_until));
            }
            _ => {}
        }
    }
}
