//! The fail-back guard: when calls may start to a destination that fails, or that may just have returned from an outage.

use super::*;
use crate::pacing::recovery_burst;

/// Fraction of the recovery budget reserved for calls soon after a sender's first failure.
pub(super) const EARLY_BUDGET_FRACTION: f64 = 0.2;
/// Failures in a row, before a success, that count as an outage. Two are enough if the successful call
/// started at least one overload window after the first failed one.
const OUTAGE_STREAK: u32 = 6;

impl SendPath {
    /// Returns the earliest start of the next call. The server-requested wait always applies, and under a
    /// grant nothing else. Without a grant a coordinator's answer is awaited; if there is none, the pacing
    /// interval and, unless `without_slot` is set, the recovery slot of a failure state apply.
    pub(super) fn next_start(&self, now: Micros, without_slot: bool) -> Micros {
        let after_wait = now.max(self.wait_until.unwrap_or(now));
        let paced = match self.grants.admission(now) {
            Admission::Granted => return after_wait,
            Admission::WaitUntil(until) => return after_wait.max(until),
            Admission::LocalPacing => self.pacer.interval.map_or(now, |_| self.pacer.next_start),
        };
        let start = after_wait.max(paced);
        let failure = self.failure.as_ref().filter(|failure| !without_slot && !failure.is_early(start));
        failure.map_or(start, |failure| start.max(failure.earliest_start()))
    }

    /// Returns whether a message may be sent without a recovery slot during a failure state.
    ///
    /// Deviation from the published mechanism: recovery slots bound the traffic of informed senders, those
    /// that saw a failure, to a returning destination. Two kinds of first attempts need none, because they
    /// cannot make informed senders cause 2/3 of an overload, which is what the fail-back rule forbids.
    ///
    /// - The one after a sender's first failure, if no other call is in flight. With Poisson arrivals of `k`
    ///   expected messages per sender and outage, a fraction `exp(-k)` of the senders had no message and
    ///   knows nothing, and `k exp(-k)` had one. The informed part of their calls is `k / (1 + k)`: less than
    ///   2/3 if `k < 2`. If `k >= 2`, senders with one message are too few to overload the destination.
    /// - Any within one expected spacing after a success. During that time a sender expects one message, so
    ///   that at most `1 - 1/e` of the senders are informed, which is less than 2/3.
    ///
    /// Neither applies after a server-requested wait, at whose end all delayed messages would start at once.
    /// Known limitation: the fractions are higher if traffic is distributed unevenly over the senders.
    pub(super) fn admits_without_slot(&self, message: &Message, now: Micros, settings: &Settings) -> bool {
        let Some(failure) = &self.failure else { return true };
        let recent_success =
            self.last_success.is_some_and(|success| now - success <= self.expected_spacing(settings.senders));
        let wait_requested = self.wait_until > Some(failure.first_start);
        message.attempts == 0
            && !wait_requested
            && failure.returned_at.is_none()
            && (recent_success || failure.failures < FAILING_STREAK && self.in_flight == 0)
    }

    /// Assigns the next recovery slot: the earliest start, after `from`, of this sender's next call in a
    /// failure state. This is the fail-back guard. It keeps the calls of all informed senders together within
    /// the recovery budget (see [`recovery_budget`]), whenever the destination returns.
    ///
    /// With the known rate `r` and `b`, the product of the recovery budget and the present fraction of the
    /// capacity, the informed senders together may make `b * r` calls per second. If there are `N` of them,
    /// each gets one call per `N / (b * r)`. `N` is at most the number of senders, which bounds `N / r` by
    /// the expected spacing. `N` is also at most the number of messages that arrived, at rate `r`, since the
    /// destination last worked, which bounds `N / r` by the duration of the outage. The smaller bound
    /// applies. If this sender saw no success, or only an older one, the longest deadline bounds the
    /// duration, because older messages have ended. The time since this sender's own first failure is no
    /// valid bound: those times differ between senders, and the sum of `1 / time` over all senders exceeds
    /// the budget by more the longer the outage lasts.
    ///
    /// Until the first success the lowest capacity applies, and a fraction of the budget is left to early
    /// calls. Then the capacity grows linearly over the warm-up, at whose end no recovery slots are needed.
    ///
    /// After the return of an outage that is only possible, slots that were not used accumulate up to
    /// [`recovery_burst`], so that a few failures delay little usual traffic.
    /// Known limitation: after refusals because of a limit, a sender waits although there may be capacity.
    pub(super) fn assign_next_slot(&mut self, settings: &Settings, from: Micros, jitter: f64) {
        let interval = self.slot_interval(settings, from, jitter);
        let Some(failure) = self.failure.as_mut().filter(|f| from >= f.early_until) else { return };
        // Failures after the return of an unproven outage give no new burst.
        let (used_until, at_least) = match failure.unproven {
            true if failure.returned_at.is_some() => (failure.next_slot, Micros::MIN),
            true => (from, failure.next_slot),
            false => (from, Micros::MIN),
        };
        failure.use_slot(settings, used_until.max(from), interval);
        failure.next_slot = failure.next_slot.max(at_least);
    }

    /// Returns the interval between this sender's recovery slots for a call that starts at `from`, and updates
    /// the burst that goes with it.
    fn slot_interval(&mut self, settings: &Settings, from: Micros, jitter: f64) -> Micros {
        let spacing = self.expected_spacing(settings.senders);
        let Some(failure) = &mut self.failure else { return 0 };
        let RuleParameters { warm_up, cold_capacity_fraction: cold, .. } = settings.rules;
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let outage = self
            .last_success
            .map_or(longest_deadline, |success| failure.returned_at.unwrap_or(from) - success)
            .min(longest_deadline);
        let (budget_fraction, capacity) = match failure.returned_at {
            None => (1.0 - EARLY_BUDGET_FRACTION, cold),
            Some(returned_at) => (1.0, cold + (1.0 - cold) * (from - returned_at) as f64 / warm_up as f64),
        };
        let interval = (1.0 + jitter) * spacing.min(outage) as f64
            / (budget_fraction * recovery_budget(settings) * capacity);
        failure.burst = (interval * recovery_burst(settings, spacing, capacity)) as Micros;
        interval as Micros
    }

    /// Returns how many calls may start without a recovery slot soon after a first failure.
    pub(super) fn early_calls(&self, settings: &Settings) -> u32 {
        let spacing = self.expected_spacing(settings.senders);
        (recovery_burst(settings, spacing, settings.rules.cold_capacity_fraction) as u32).max(1)
    }

    /// Counts the start of a call towards the recovery slots, or towards the early calls that need none.
    pub(super) fn count_start(&mut self, settings: &Settings, now: Micros, jitter: f64) {
        match self.failure.as_mut().filter(|failure| failure.is_early(now)) {
            Some(failure) => failure.early_calls -= 1,
            None => self.assign_next_slot(settings, now, jitter),
        }
    }

    /// Handles a success, `now`, of a call that started after the first failure of a failure state: ends the
    /// state, or begins the warm-up of a destination that may have returned from an outage.
    ///
    /// An outage of less than one overload window with few failures is not told from single failures. A longer
    /// one is always possible if this sender had no successful answer for as long, whatever it saw meanwhile.
    /// Known limitation: a sender with little traffic is slowed down after each failure.
    pub(super) fn succeeded(&mut self, settings: &Settings, now: Micros, started_at: Micros, jitter: f64) {
        let window = settings.rules.overload_window;
        let earlier_answer = self.last_answer.replace(now);
        let early_limit = self.early_calls(settings);
        let Some(failure) = &mut self.failure else {
            self.last_success = Some(started_at);
            return;
        };
        let failures = std::mem::take(&mut failure.failures);
        if failure.returned_at.is_some() {
            return;
        }
        let proven = failures >= OUTAGE_STREAK || failures > 1 && started_at - failure.first_start >= window;
        let possible = earlier_answer.is_none_or(|answer| now - answer >= window);
        let earlier_return = failure.earlier_return.filter(|at| at + slot_period(settings) > now);
        let begins = proven || possible;
        let returned_at = if begins { Some(now) } else { earlier_return };
        let Some(returned_at) = returned_at else {
            self.failure = None;
            self.last_success = Some(started_at);
            return;
        };
        (failure.returned_at, failure.held_until) = (Some(returned_at), 0);
        let early_used = early_limit.saturating_sub(failure.early_calls);
        // Until the end of the early calls, the next slot is one that no call has used.
        let used_until = if failure.early_until >= now { now } else { now.max(failure.next_slot) };
        (failure.early_until, failure.early_calls) = (failure.early_until.min(now), 0);
        let was_unproven = failure.unproven;
        if begins {
            failure.unproven = !proven;
        }
        match (was_unproven, failure.unproven) {
            (_, true) => self.use_slots(settings, used_until, early_used, jitter),
            // A burst that was used counts although the outage is proven now.
            (true, false) => self.use_slots(settings, used_until, 1, jitter),
            (false, false) => self.assign_next_slot(settings, now, jitter),
        }
    }

    /// Uses the slots of `calls` that started before slots counted, from `used_until` on.
    fn use_slots(&mut self, settings: &Settings, used_until: Micros, calls: u32, jitter: f64) {
        let interval = self.slot_interval(settings, used_until, jitter);
        let Some(failure) = &mut self.failure else { return };
        failure.use_slot(settings, used_until, interval.saturating_mul(Micros::from(calls)));
    }
}
