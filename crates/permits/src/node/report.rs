//! Reports to stewards of how this relay's calls ended.

use crate::note::{Item, Sign};
use crate::steward::Report;
use crate::{Micros, Peer};

use super::{LEFT_PARTS, Node};

impl Node {
    /// A call of this relay ended.
    pub fn report(&mut self, now: Micros, destination: i64, report: &Report) {
        let Some(asking) = self.asking.get(&destination) else { return };
        let (steward, me) = (asking.steward, self.config.me);
        let own = self.parts() && asking.part.is_usable_by_owner(now);
        if own || steward == Some(me) {
            self.steward.report(now, destination, report);
        }
        let Some(to) = steward.filter(|to| *to != me) else { return };
        if !self.is_sampled_out(now, destination, report) {
            self.send_report(now, to, destination, report);
        }
    }

    /// Whether a report is left out: at a granted rate, one successful call stands for all of an interval.
    fn is_sampled_out(&mut self, now: Micros, destination: i64, report: &Report) -> bool {
        let Some(asking) = self.asking.get_mut(&destination) else { return false };
        if !asking.rated(now) || report.sign != Sign::Well || report.wait.is_some() {
            return false;
        }
        if now - asking.reported < self.terms.renewal_interval {
            return true;
        }
        asking.reported = now;
        false
    }

    fn send_report(&mut self, now: Micros, to: Peer, destination: i64, report: &Report) {
        let item = Item::Report {
            destination,
            sign: report.sign,
            began: millis(now - report.began),
            wait: report.wait.map_or(0, |wait| millis(wait).max(1)),
            limit: report.limit.map_or(0.0, |limit| limit as f32),
            left: report.left.map_or(u8::MAX, |left| (left.clamp(0.0, 1.0) * LEFT_PARTS) as u8),
        };
        self.out.push((to, item));
    }
}

/// A time span in milliseconds, limited to what a report holds.
fn millis(span: Micros) -> u16 {
    u16::try_from((span / 1000).max(0)).unwrap_or(u16::MAX)
}
