//! What a quantity will be when every size is raised at once.
//!
//! A slope holds all sizes but one at the base, so slopes alone say nothing of the fleet that is coming. Two ways to
//! combine them are compared on the smaller of two corners, where all sizes are raised; the better one predicts the
//! larger corner, and that is held against its measurement.

use serde::{Deserialize, Serialize};

use super::assess::{Prediction, Slope};
use super::axis::{Axis, Conditions};
use super::execute::Run;
use super::plan::Plan;
use super::quantity::{AtTarget, Quantity, Subject};
use crate::fit::{Fit, relative_error};
use crate::measurement::Measurement;

/// How the growth along several axes adds up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Combination {
    /// The increments of the axes add up.
    Sum,
    /// The factors of the axes multiply.
    Product,
    /// Each role of a relay is combined by itself, and their projections add up.
    SumOfRoles,
}

impl Combination {
    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sum => "sum",
            Self::Product => "product",
            Self::SumOfRoles => "sum-of-roles",
        }
    }
}

/// A prediction for a corner that took no part in choosing the combination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CornerCheck {
    /// The corner.
    pub conditions: Conditions,
    /// What the combination predicts there.
    pub predicted: f64,
    /// What was measured there.
    pub measured: f64,
    /// Distance of the two, as a part of the measured value.
    pub error: f64,
}

/// One quantity of one subject with every size at the coming one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// Whose cost.
    pub subject: Subject,
    /// Which cost.
    pub quantity: Quantity,
    /// Measured at the base.
    pub base: f64,
    /// How the axes combine, by the smaller corner.
    pub combination: Combination,
    /// Whether that predicted the larger corner.
    pub prediction: Prediction,
    /// The prediction of the larger corner; nothing if that was not measured.
    pub check: Option<CornerCheck>,
    /// The prediction for the coming size.
    pub at_target: AtTarget,
}

/// Combines the slopes of each quantity that was measured at the base and at the smaller corner.
///
/// An axis along which the quantity could not be fitted counts as one that it does not grow along; its slope says so.
pub fn project(plan: &Plan, runs: &[Run], slopes: &[Slope]) -> Vec<Projection> {
    let input = Input { plan, runs, slopes };
    let mut projections = Vec::new();
    for subject in Subject::ALL {
        for &quantity in subject.quantities() {
            let projection = match subject {
                Subject::Relay => input.sum_of_roles(quantity, &projections),
                _ => input.combine(subject, quantity),
            };
            projections.extend(projection);
        }
    }
    projections
}

struct Input<'a> {
    plan: &'a Plan,
    runs: &'a [Run],
    slopes: &'a [Slope],
}

impl Input<'_> {
    fn combine(&self, subject: Subject, quantity: Quantity) -> Option<Projection> {
        let base = self.measured(&self.plan.base, subject, quantity)?;
        let [smaller, larger] = &self.plan.corners;
        let at_smaller = self.measured(smaller, subject, quantity)?;
        let growth = Growth { base, from: &self.plan.base, fits: self.fits(subject, quantity) };
        let sum = relative_error(growth.sum(smaller), at_smaller);
        let product = relative_error(growth.product(smaller), at_smaller);
        let combination = if product < sum { Combination::Product } else { Combination::Sum };
        let predict = |to: &Conditions| match combination {
            Combination::Product => growth.product(to),
            _ => growth.sum(to),
        };
        let (at_larger, at_target) = (predict(larger), predict(&Conditions::TARGET));
        Some(self.checked(subject, quantity, combination, [base, at_larger, at_target]))
    }

    /// The projections of the roles of a relay, each weighted with the part of the relays that have the role.
    fn sum_of_roles(&self, quantity: Quantity, roles: &[Projection]) -> Option<Projection> {
        let base = self.measurement(&self.plan.base)?;
        let mut sums = [0.0; 3];
        for role in roles.iter().filter(|role| role.quantity == quantity) {
            let part = role.subject.part_of_relays(base).unwrap_or(0.0);
            let at_larger = role.check.as_ref().map_or(0.0, |check| check.predicted);
            for (sum, value) in sums.iter_mut().zip([role.base, at_larger, role.at_target.predicted]) {
                *sum += part * value;
            }
        }
        Some(self.checked(Subject::Relay, quantity, Combination::SumOfRoles, sums))
    }

    /// Holds the prediction for the larger corner against what was measured there.
    fn checked(
        &self, subject: Subject, quantity: Quantity, combination: Combination,
        [base, predicted, at_target]: [f64; 3],
    ) -> Projection {
        let conditions = self.plan.corners[1];
        let check = self.measured(&conditions, subject, quantity).map(|measured| {
            let error = relative_error(predicted, measured);
            CornerCheck { conditions, predicted, measured, error }
        });
        let prediction = check.map_or(Prediction::NotMade, |check| Prediction::of_error(check.error));
        let at_target = AtTarget::new(subject, quantity, Conditions::TARGET, at_target);
        Projection { subject, quantity, base, combination, prediction, check, at_target }
    }

    fn measurement(&self, conditions: &Conditions) -> Option<&Measurement> {
        self.runs.iter().find(|run| run.conditions == *conditions)?.measurement.as_ref()
    }

    fn measured(&self, conditions: &Conditions, subject: Subject, quantity: Quantity) -> Option<f64> {
        quantity.of(subject, self.measurement(conditions)?)
    }

    fn fits(&self, subject: Subject, quantity: Quantity) -> Vec<(Axis, Fit)> {
        let of_this = |slope: &&Slope| (slope.subject, slope.quantity) == (subject, quantity);
        self.slopes.iter().filter(of_this).filter_map(|slope| Some((slope.axis, slope.fit?))).collect()
    }
}

/// How a quantity grows along each axis from the base.
struct Growth<'a> {
    base: f64,
    from: &'a Conditions,
    fits: Vec<(Axis, Fit)>,
}

impl Growth<'_> {
    fn sum(&self, to: &Conditions) -> f64 {
        self.base + self.ends(to).map(|(before, after)| after - before).sum::<f64>()
    }

    fn product(&self, to: &Conditions) -> f64 {
        let factor = |(before, after): (f64, f64)| if before == after { 1.0 } else { after / before };
        self.base * self.ends(to).map(factor).product::<f64>()
    }

    /// What each fit gives at the base and at the other end.
    fn ends(&self, to: &Conditions) -> impl Iterator<Item = (f64, f64)> {
        self.fits.iter().map(|(axis, fit)| (fit.predict(axis.size(self.from)), fit.predict(axis.size(to))))
    }
}
