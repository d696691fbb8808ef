//! Reports to coordinators of how this relay's calls ended.

use crate::coordinator::Report;
use crate::item::{CallResult, Item};
use crate::{Micros, Peer};

use super::{Node, REMAINING_UNITS};

impl Node {
    /// Reports the result of a call of this relay.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        let Some(state) = self.destinations.get(&destination) else { return };
        let (coordinator, me) = (state.coordinator, self.config.me);
        let own = self.has_shares() && state.share.is_usable_by_owner(now);
        if own || coordinator == Some(me) {
            self.coordinator.report(now, destination, report);
        }
        let Some(to) = coordinator.filter(|to| *to != me) else { return };
        if !self.is_sampled_out(now, destination, report) {
            self.send_report(now, to, destination, report);
        }
    }

    /// Returns whether a report is omitted: at a granted rate, one successful call represents all calls of an interval.
    fn is_sampled_out(&mut self, now: Micros, destination: i64, report: &Report) -> bool {
        let Some(state) = self.destinations.get_mut(&destination) else { return false };
        if !state.has_rate(now) || report.result != CallResult::Succeeded || report.wait.is_some() {
            return false;
        }
        if now - state.last_report_at < self.terms.renewal_interval {
            return true;
        }
        state.last_report_at = now;
        false
    }

    fn send_report(&mut self, now: Micros, to: Peer, destination: i64, report: &Report) {
        let item = Item::Report {
            destination,
            result: report.result,
            began: millis(now - report.began),
            wait: report.wait.map_or(0, |wait| millis(wait).max(1)),
            limit: report.limit.map_or(0.0, |limit| limit as f32),
            remaining: report
                .remaining
                .map_or(u8::MAX, |remaining| (remaining.clamp(0.0, 1.0) * REMAINING_UNITS) as u8),
        };
        self.outgoing.push((to, item));
    }
}

/// Converts a time span to milliseconds, limited to the range of a report.
fn millis(span: Micros) -> u16 {
    u16::try_from((span / 1000).max(0)).unwrap_or(u16::MAX)
}
