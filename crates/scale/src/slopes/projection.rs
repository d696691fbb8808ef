//! What a quantity will be when every size is raised at once.
//!
//! A slope holds all sizes but one at the base, so slopes alone say nothing of the fleet that is coming. Two ways to
//! combine them are compared on the smaller of two corners, where several sizes are raised; the better one predicts the
//! larger corner, and that is held against its measurement.

use serde::{Deserialize, Serialize};

use super::assess::{Prediction, Slope};
use super::axis::{Axis, Conditions};
use super::execute::Run;
use super::plan::{Group, Plan};
use super::quantity::{AtTarget, Quantity, Subject};
use crate::fit::{Fit, relative_error};

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

impl CornerCheck {
    /// Holds a prediction against a measurement.
    fn new(conditions: Conditions, predicted: f64, measured: f64) -> Self {
        Self { conditions, predicted, measured, error: relative_error(predicted, measured) }
    }
}

/// One quantity of one subject with every size at the coming one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// Whose cost.
    pub subject: Subject,
    /// Which cost.
    pub quantity: Quantity,
    /// Measured at the base; nothing for a sum over groups, whose bases differ.
    pub base: Option<f64>,
    /// How the axes combine, by the smaller corner.
    pub combination: Combination,
    /// Whether that predicted the larger corner.
    pub prediction: Prediction,
    /// The prediction of the larger corner; nothing if that was not measured.
    pub check: Option<CornerCheck>,
    /// The prediction for the coming size.
    pub at_target: AtTarget,
}

/// Combines the slopes of each quantity that was measured at the base and at the smaller corner of its group, and adds
/// the roles of a relay up.
///
/// An axis along which the quantity could not be fitted counts as one that it does not grow along; its slope says so.
pub fn project(plan: &Plan, runs: &[Run], slopes: &[Slope]) -> Vec<Projection> {
    let mut projections = Vec::new();
    for group in &plan.groups {
        let input = Input { group, runs, slopes };
        for &subject in &group.subjects {
            let quantities = subject.quantities().iter();
            projections.extend(quantities.filter_map(|&quantity| input.combine(subject, quantity)));
        }
    }
    let quantities = Subject::Relay.quantities().iter();
    let of_relay: Vec<_> = quantities.filter_map(|&quantity| sum_of_roles(quantity, &projections)).collect();
    projections.extend(of_relay);
    projections
}

/// The projections of the roles of a relay, added up; they hold together only if each does.
///
/// The groups have other bases, so the sum is checked at no corner, and stated at the coming size alone.
fn sum_of_roles(quantity: Quantity, projections: &[Projection]) -> Option<Projection> {
    let is_role = |found: &&Projection| found.quantity == quantity && found.subject.is_role_of_relays();
    let roles: Vec<&Projection> = projections.iter().filter(is_role).collect();
    let subject = Subject::Relay;
    let sum = roles.iter().map(|role| role.at_target.predicted).sum();
    let prediction = roles.iter().map(|role| role.prediction).max()?;
    let at_target = AtTarget::new(subject, quantity, Conditions::TARGET, sum);
    let combination = Combination::SumOfRoles;
    Some(Projection { subject, quantity, base: None, combination, prediction, check: None, at_target })
}

struct Input<'a> {
    group: &'a Group,
    runs: &'a [Run],
    slopes: &'a [Slope],
}

impl Input<'_> {
    fn combine(&self, subject: Subject, quantity: Quantity) -> Option<Projection> {
        let measured = |conditions: &Conditions| self.measured(conditions, subject, quantity);
        let base = measured(&self.group.base)?;
        let [smaller, larger] = self.group.corners;
        let at_smaller = measured(&smaller)?;
        let growth = Growth { base, from: &self.group.base, fits: self.fits(subject, quantity) };
        let sum = relative_error(growth.sum(&smaller), at_smaller);
        let product = relative_error(growth.product(&smaller), at_smaller);
        let combination = if product < sum { Combination::Product } else { Combination::Sum };
        let predict = |to: &Conditions| match combination {
            Combination::Product => growth.product(to),
            _ => growth.sum(to),
        };
        let check = measured(&larger).map(|measured| CornerCheck::new(larger, predict(&larger), measured));
        let target = Conditions::TARGET;
        let at_target = AtTarget::new(subject, quantity, target, predict(&target));
        let prediction = match check {
            _ if at_target.predicted < 0.0 => Prediction::Failed,
            Some(check) => Prediction::of_error(check.error),
            None => Prediction::NotMade,
        };
        Some(Projection { subject, quantity, base: Some(base), combination, prediction, check, at_target })
    }

    fn measured(&self, conditions: &Conditions, subject: Subject, quantity: Quantity) -> Option<f64> {
        let of_group = |run: &&Run| run.group == self.group.name && run.conditions == *conditions;
        quantity.of(subject, self.runs.iter().find(of_group)?.measurement.as_ref()?)
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
