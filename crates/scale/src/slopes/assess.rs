//! Fits the measured points and holds predictions against measurements.

use serde::{Deserialize, Serialize};

use super::axis::{Axis, Conditions};
use super::execute::Run;
use super::plan::{Group, Plan};
use super::quantity::{AtTarget, Quantity, Subject};
use crate::fit::{Fit, FitError, Point, choose_form, relative_error};

/// A prediction that is further off than this part of the measured value marks its form as wrong.
pub const TOLERATED_ERROR: f64 = 0.20;

/// Why a form is wrong whatever its error: no cost is less than nothing.
const BELOW_ZERO: &str = "the fit predicts less than nothing at the coming size";

/// Whether a form predicted what was measured; the worst comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Prediction {
    /// Within [`TOLERATED_ERROR`].
    Held,
    /// There were too few points to predict from.
    NotMade,
    /// Further off, or less than nothing at the coming size: the form is wrong.
    Failed,
}

impl Prediction {
    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Failed => "failed",
            Self::NotMade => "not-made",
        }
    }

    /// What an error means, as a part of the measured value.
    pub fn of_error(error: f64) -> Self {
        if error <= TOLERATED_ERROR { Self::Held } else { Self::Failed }
    }
}

/// A prediction from smaller sizes of what was then measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The fit to the smaller half of the sizes.
    pub fit: Fit,
    /// The largest size that was measured.
    pub size: f64,
    /// What the fit predicts there.
    pub predicted: f64,
    /// What was measured there.
    pub measured: f64,
    /// Distance of the two, as a part of the measured value.
    pub error: f64,
}

/// One quantity of one subject along one axis, all other sizes held at the base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Whose cost.
    pub subject: Subject,
    /// Along which size.
    pub axis: Axis,
    /// Which cost.
    pub quantity: Quantity,
    /// What was measured, by size.
    pub points: Vec<Point>,
    /// Whether the form of the smaller half predicted the largest size.
    pub prediction: Prediction,
    /// Why no prediction was made, or why it failed if not by its error.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// The prediction and its error.
    pub check: Option<Check>,
    /// The fit to all points, which the target is predicted with.
    pub fit: Option<Fit>,
    /// The prediction for the coming size on this axis.
    pub at_target: Option<AtTarget>,
}

impl Slope {
    /// How many times larger the coming size is than the largest that was measured; up to 1 it lies within them.
    pub fn beyond(&self) -> Option<f64> {
        let largest = self.points.last()?.size;
        Some(self.axis.size(&self.at_target?.conditions) / largest)
    }
}

/// Assesses every quantity along every axis of the plan that any run measured.
pub fn assess(plan: &Plan, runs: &[Run]) -> Vec<Slope> {
    let mut slopes = Vec::new();
    for group in &plan.groups {
        for &subject in &group.subjects {
            for &quantity in subject.quantities() {
                slopes.extend(assess_quantity(group, subject, quantity, runs));
            }
        }
    }
    slopes
}

fn assess_quantity(group: &Group, subject: Subject, quantity: Quantity, runs: &[Run]) -> Vec<Slope> {
    let on_axis = |&(axis, _): &(Axis, _)| {
        let points = points(group, axis, subject, quantity, runs);
        (!points.is_empty()).then(|| assess_points(subject, axis, quantity, &group.base, points))
    };
    group.sizes.iter().filter_map(on_axis).collect()
}

/// Assesses one quantity of one subject along one axis; the points in the order of their sizes.
pub fn assess_points(
    subject: Subject, axis: Axis, quantity: Quantity, base: &Conditions, points: Vec<Point>,
) -> Slope {
    let checked = check(&points);
    let fit = choose_form(&points).ok();
    let target = axis.set(base, axis.size(&Conditions::TARGET));
    let at_target =
        fit.map(|fit| AtTarget::new(subject, quantity, target, fit.predict(axis.size(&Conditions::TARGET))));
    let below_zero = at_target.is_some_and(|target| target.predicted < 0.0);
    let (prediction, reason) = match &checked {
        _ if below_zero => (Prediction::Failed, Some(BELOW_ZERO.to_owned())),
        Ok(check) => (Prediction::of_error(check.error), None),
        Err(error) => (Prediction::NotMade, Some(error.to_string())),
    };
    Slope { subject, axis, quantity, points, prediction, reason, check: checked.ok(), fit, at_target }
}

/// Predicts the largest point from the smaller half of them.
fn check(points: &[Point]) -> Result<Check, FitError> {
    let fit = choose_form(&points[..points.len() / 2])?;
    let largest = points[points.len() - 1];
    let predicted = fit.predict(largest.size);
    let error = relative_error(predicted, largest.value);
    Ok(Check { fit, size: largest.size, predicted, measured: largest.value, error })
}

fn points(group: &Group, axis: Axis, subject: Subject, quantity: Quantity, runs: &[Run]) -> Vec<Point> {
    let on_axis = runs
        .iter()
        .filter(|run| run.group == group.name && group.base.differs_only_on(axis, &run.conditions));
    let mut points: Vec<Point> = on_axis
        .filter_map(|run| {
            let value = quantity.of(subject, run.measurement.as_ref()?)?;
            Some(Point { size: axis.size(&run.conditions), value })
        })
        .collect();
    points.sort_by(|one, other| one.size.total_cmp(&other.size));
    points
}
