//! What a run of the soak is judged by beyond the rules of every play: exits, starts, answers, and what reaches endpoints.

use crate::audit::{Finding, Log};

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
