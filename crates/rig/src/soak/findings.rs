//! What a run of the soak is judged by beyond the rules of every play: exits, starts, answers, and what reaches endpoints.

use crate::audit::{Down, Finding, Log};

/// A process has to be ready so long after its start, and after the last fault of that start, in seconds.
pub(super) const READY_WITHIN_S: f64 = 10.0;
/// A request may cross the end of a process that closed its connection so long before, in seconds.
const CROSSING_S: f64 = 0.1;

/// A span in which clients of a relay may get no answer: from the end of its process until the next one is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Gone {
    pub(super) relay: usize,
    pub(super) from_s: f64,
    pub(super) to_s: f64,
}

/// The findings about requests and calls. `broken` says that connections were made to break, so that a missing answer shows
/// nothing.
pub(super) fn find(log: &Log, gone: &[Gone], broken: bool) -> Vec<Finding> {
    let mut findings: Vec<Finding> = log
        .unknown_calls
        .iter()
        .map(|call| Finding { rule: "an endpoint got what no client had sent", trace: call.clone() })
        .collect();
    if broken {
        return findings;
    }
    let unanswered = log.unanswered.iter().filter(|request| {
        let span = (request.at_s - CROSSING_S)..(request.ended_s + CROSSING_S);
        !gone
            .iter()
            .any(|gone| gone.relay == request.relay && gone.from_s < span.end && gone.to_s > span.start)
    });
    findings.extend(unanswered.map(|request| Finding {
        rule: "a request that was sent got no answer",
        trace: format!("{request:?}"),
    }));
    findings
}

/// An answer whose whole first line reached a relay.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeardEnd {
    pub(super) relay: usize,
    pub(super) id: String,
    pub(super) status: u16,
    pub(super) at_s: f64,
}

/// What of a run leaves relays in doubt of what they heard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Doubt {
    /// The store may not have taken it.
    pub(super) store_fails: bool,
    /// Something comes that nobody asked for.
    pub(super) surplus: bool,
    /// Processes stand still now and then.
    pub(super) frozen: bool,
}

/// What is done so soon after an answer may have been decided before it was heard, in seconds.
const HEARD_WITHIN_S: f64 = 0.05;
/// The same where processes stand still.
const HEARD_FROZEN_S: f64 = 0.2;
/// What an answer says is stored so soon, in seconds; a kill after that finds it.
const STORED_WITHIN_S: f64 = 0.05;

/// The findings about messages that an endpoint had ended: called again, or reported though delivered.
pub(super) fn find_after_end(log: &Log, heard: &[HeardEnd], doubt: Doubt) -> Vec<Finding> {
    let mut findings = Vec::new();
    let within_s = if doubt.frozen { HEARD_FROZEN_S } else { HEARD_WITHIN_S };
    for end in heard.iter().filter(|end| matches!(end.status, 200 | 410)) {
        let later = |at_s: f64| at_s > end.at_s + within_s && knows(log, end, at_s, doubt);
        let again = log.calls.iter().find(|call| call.id == end.id && later(call.at_s));
        findings.extend(again.map(|call| Finding {
            rule: "a message was sent on after its end",
            trace: format!("{end:?}, then {call:?}"),
        }));
        let reported = log.notices.iter().find(|notice| notice.id == end.id && later(notice.at_s));
        let reported = reported.filter(|_| end.status == 200 && !doubt.surplus);
        findings.extend(reported.map(|notice| Finding {
            rule: "a message was reported though it was delivered",
            trace: format!("{end:?}, then {notice:?}"),
        }));
    }
    findings
}

/// Whether what a relay does then is done knowing of an end, though its processes may have changed meanwhile.
fn knows(log: &Log, end: &HeardEnd, at_s: f64, doubt: Doubt) -> bool {
    let since = log.downs.iter().filter(|down| {
        down.relay == end.relay && down.to_s >= end.at_s - STORED_WITHIN_S && down.from_s <= at_s
    });
    let forgets =
        |down: &Down| down.folder_lost || doubt.store_fails || down.from_s <= end.at_s + STORED_WITHIN_S;
    !since.into_iter().any(forgets)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::audit::{Call, Got, Notice};

    fn end(status: u16) -> HeardEnd {
        HeardEnd { relay: 0, id: "m".into(), status, at_s: 1.0 }
    }

    fn log(at_s: f64) -> Log {
        let (id, got) = (String::from("m"), Got::Over);
        let call = Call { id: id.clone(), partner: 0, relay: 0, at_s, shut: false, got, pushed_over: false };
        let notice = Notice { id, relay: 0, at_s, handed_back: false, retry_in_ms: None };
        let mut log = Log::default();
        log.calls.push(call);
        log.notices.push(notice);
        log
    }

    fn rules(log: &Log, status: u16, doubt: Doubt) -> Vec<&'static str> {
        find_after_end(log, &[end(status)], doubt).iter().map(|finding| finding.rule).collect()
    }

    const SENT_ON: &str = "a message was sent on after its end";
    const REPORTED: &str = "a message was reported though it was delivered";

    #[test]
    fn a_call_and_a_report_after_an_end_that_was_heard_are_found() {
        let sure = Doubt::default();
        assert_eq!(rules(&log(1.5), 410, sure), [SENT_ON]);
        assert_eq!(rules(&log(1.5), 200, sure), [SENT_ON, REPORTED]);
        assert_eq!(rules(&log(1.5), 200, Doubt { surplus: true, ..sure }), [SENT_ON]);
        assert_eq!(rules(&log(1.5), 503, sure), [] as [&str; 0]);
        assert_eq!(rules(&log(1.1), 410, sure), [SENT_ON]);
        assert_eq!(rules(&log(1.1), 410, Doubt { frozen: true, ..sure }), [] as [&str; 0], "decided before");
    }

    #[test]
    fn only_a_kill_before_the_end_was_stored_excuses_what_comes_after_it() {
        let sure = Doubt::default();
        let killed = |from_s: f64, folder_lost: bool| {
            let mut log = log(2.5);
            log.downs.push(Down { relay: 0, from_s, to_s: from_s + 0.2, folder_lost });
            log
        };
        assert_eq!(rules(&killed(1.02, false), 410, sure), [] as [&str; 0]);
        assert_eq!(rules(&killed(1.5, false), 410, sure), [SENT_ON]);
        assert_eq!(rules(&killed(1.5, true), 410, sure), [] as [&str; 0]);
        assert_eq!(rules(&killed(1.5, false), 410, Doubt { store_fails: true, ..sure }), [] as [&str; 0]);
    }
}
