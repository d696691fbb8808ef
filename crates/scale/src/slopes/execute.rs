//! Measures the points of a plan, at most three at a time.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::axis::Conditions;
use super::plan::{Group, Plan};
use crate::measurement::Measurement;

/// Points that are measured at the same time.
pub const MAX_THREADS: usize = 3;

/// How the measurement of a point ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It ran to its end.
    Complete,
    /// It reached its bound of real time, or the time of the plan was over before it began. It counts in no fit.
    Partial,
    /// The run failed.
    Failed,
}

/// What became of one point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the group of roles.
    pub group: String,
    /// The sizes.
    pub conditions: Conditions,
    /// How it ended.
    pub state: State,
    /// Why it did not end well.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// Part of the simulated time that was reached, 0 to 1.
    pub reached: f64,
    /// Simulated seconds that were measured.
    pub simulated_s: f64,
    /// Real seconds that it took.
    pub real_s: f64,
    /// What it measured, when complete. Files keep this as the points of the slopes.
    #[serde(skip)]
    pub measurement: Option<Measurement>,
}

impl Run {
    /// A point that ran to its end.
    pub fn complete(group: &Group, conditions: Conditions, real: Duration, measurement: Measurement) -> Self {
        Self {
            group: group.name.clone(),
            conditions,
            state: State::Complete,
            reason: None,
            reached: 1.0,
            simulated_s: measurement.simulated_s,
            real_s: real.as_secs_f64(),
            measurement: Some(measurement),
        }
    }

    /// A point that did not end in its time.
    pub fn partial(
        group: &Group, conditions: Conditions, real: Duration, reached: f64, reason: String,
    ) -> Self {
        Self::ended(group, conditions, State::Partial, real, reached, reason)
    }

    /// A point whose run failed.
    pub fn failed(group: &Group, conditions: Conditions, real: Duration, reason: String) -> Self {
        Self::ended(group, conditions, State::Failed, real, 0.0, reason)
    }

    fn ended(
        group: &Group, conditions: Conditions, state: State, real: Duration, reached: f64, reason: String,
    ) -> Self {
        let (group, reason, real_s) = (group.name.clone(), Some(reason), real.as_secs_f64());
        Self { group, conditions, state, reason, reached, simulated_s: 0.0, real_s, measurement: None }
    }
}

/// Measures every point of the plan; `measure` gets the group, the conditions and the real time that it may take.
///
/// The runs come in the order of [`Plan::points`], whatever order they ended in.
pub fn execute(plan: &Plan, measure: impl Fn(&Group, Conditions, Duration) -> Run + Sync) -> Vec<Run> {
    let points = plan.points();
    let begun = Instant::now();
    let next = Mutex::new(points.iter().copied().enumerate());
    let runs = Mutex::new(Vec::with_capacity(points.len()));
    let take = || next.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).next();
    let work = || {
        while let Some((index, (group, conditions))) = take() {
            let run = measure_within(plan, &plan.groups[group], conditions, begun, &measure);
            runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((index, run));
        }
    };
    thread::scope(|scope| {
        for _ in 0..MAX_THREADS {
            scope.spawn(work);
        }
    });
    let mut runs = runs.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    runs.sort_by_key(|&(index, _)| index);
    runs.into_iter().map(|(_, run)| run).collect()
}

fn measure_within(
    plan: &Plan, group: &Group, conditions: Conditions, begun: Instant,
    measure: impl Fn(&Group, Conditions, Duration) -> Run,
) -> Run {
    let left = plan.bound_of_all.saturating_sub(begun.elapsed());
    if left.is_zero() {
        let reason = format!("not begun: all points together may take {} s", plan.bound_of_all.as_secs());
        return Run::partial(group, conditions, Duration::ZERO, 0.0, reason);
    }
    measure(group, conditions, plan.bound.min(left))
}
