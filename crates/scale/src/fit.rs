//! Least squares of one quantity against one size, and the choice of the form that it grows with.
//!
//! Every form is a constant plus a coefficient times a basis function of the size. A form that grows must pass an F-test
//! against the constant; those that do are compared by their leave-one-out error, which is had without refitting from
//! the leverage of each point (Allen's PRESS statistic).

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Critical values of the F distribution at 2.5% for one more parameter and 1, 2, ... degrees of freedom left: noise
/// alone passes for growth once in 40 times. The last holds for more degrees of freedom too.
const CRITICAL_F: [f64; 8] = [647.8, 38.51, 17.44, 12.22, 10.01, 8.81, 8.07, 7.57];

/// Errors below this part of the mean value are rounding of the arithmetic, not differences between forms.
const ROUNDING: f64 = 1e-9;

/// How a quantity grows with a size `N`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// `a`: does not grow.
    Constant,
    /// `a + b N`.
    Linear,
    /// `a + b N ln N`.
    NLogN,
    /// `a + b N²`.
    NSquared,
}

impl Form {
    /// All forms, the slowest growth first.
    pub const ALL: [Self; 4] = [Self::Constant, Self::Linear, Self::NLogN, Self::NSquared];

    /// The name that files and pages use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Linear => "linear",
            Self::NLogN => "n-log-n",
            Self::NSquared => "n-squared",
        }
    }

    /// How many coefficients are fitted.
    pub fn parameters(self) -> usize {
        if self == Self::Constant { 1 } else { 2 }
    }

    /// The function of the size that the second coefficient multiplies.
    fn basis(self, size: f64) -> f64 {
        match self {
            Self::Constant => 0.0,
            Self::Linear => size,
            Self::NLogN => size * size.ln(),
            Self::NSquared => size * size,
        }
    }
}

/// A quantity measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size on the axis, 1 or more.
    pub size: f64,
    /// The quantity, in its own unit.
    pub value: f64,
}

/// A form with the coefficients that fit some points best.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The form.
    pub form: Form,
    /// `a`, in the unit of the quantity.
    pub constant: f64,
    /// `b`, what the basis function of the form is multiplied by; 0 for a constant.
    pub coefficient: f64,
    /// Root of the mean squared distance of the points from the curve, in the unit of the quantity.
    pub residual: f64,
    /// The same with each point predicted from the others alone.
    pub leave_one_out: f64,
}

impl Fit {
    /// What the form gives at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.constant + self.coefficient * self.form.basis(size)
    }
}

/// Why points could not be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum FitError {
    /// A form needs one more size than it has parameters, or its leave-one-out error is undefined.
    #[error("{found} different sizes, but the form needs {needed}")]
    TooFewSizes {
        /// Sizes that the form needs.
        needed: usize,
        /// Different sizes among the points.
        found: usize,
    },
    /// A size or value is infinite or not a number.
    #[error("the point at size {size} has the value {value}, and both must be finite")]
    NotFinite {
        /// Size of the point.
        size: f64,
        /// Its value.
        value: f64,
    },
    /// `N ln N` falls with the size below 1, so sizes must be given in a unit that makes them larger.
    #[error("the size {0} is below 1")]
    SizeBelowOne(f64),
}

/// Fits one form to the points.
///
/// # Errors
/// Fails on too few sizes, and on sizes or values that are out of range.
pub fn fit_form(form: Form, points: &[Point]) -> Result<Fit, FitError> {
    check(points)?;
    let needed = form.parameters() + 1;
    let found = distinct_sizes(points);
    if found < needed {
        return Err(FitError::TooFewSizes { needed, found });
    }
    Ok(least_squares(form, points))
}

/// Fits every form, and returns the one with the least leave-one-out error among those that grow; the constant if
/// none of them explains more than noise would (F-test of nested models).
///
/// # Errors
/// Fails on fewer sizes than the forms with two parameters need, and on sizes or values that are out of range.
pub fn choose_form(points: &[Point]) -> Result<Fit, FitError> {
    let [constant, growing @ ..] = Form::ALL;
    let constant = fit_form(constant, points)?;
    let fits = growing.iter().map(|&form| fit_form(form, points)).collect::<Result<Vec<_>, _>>()?;
    let rounding = ROUNDING * mean(points.iter().map(|point| point.value.abs()));
    let significant = fits.into_iter().filter(|fit| explains_more(fit, &constant, points.len(), rounding));
    let better =
        |best: Fit, fit: Fit| if fit.leave_one_out + rounding < best.leave_one_out { fit } else { best };
    Ok(significant.reduce(better).unwrap_or(constant))
}

/// Whether a form with two parameters lessens the squared residual of the constant by more than noise would.
fn explains_more(fit: &Fit, constant: &Fit, points: usize, rounding: f64) -> bool {
    let freedom = points - fit.form.parameters();
    let critical = CRITICAL_F[freedom.min(CRITICAL_F.len()) - 1];
    let left = fit.residual.max(rounding).powi(2);
    let explained = constant.residual.powi(2) - left;
    explained * freedom as f64 > critical * left
}

/// Distance of a prediction from the measured value, as a part of the measured value.
///
/// Where nothing was measured the error is 0 for a prediction of nothing and 1 for any other.
pub fn relative_error(predicted: f64, measured: f64) -> f64 {
    match (measured == 0.0, predicted == 0.0) {
        (true, true) => 0.0,
        (true, false) => 1.0,
        (false, _) => (predicted - measured).abs() / measured.abs(),
    }
}

fn check(points: &[Point]) -> Result<(), FitError> {
    for &Point { size, value } in points {
        if !size.is_finite() || !value.is_finite() {
            return Err(FitError::NotFinite { size, value });
        }
        if size < 1.0 {
            return Err(FitError::SizeBelowOne(size));
        }
    }
    Ok(())
}

fn distinct_sizes(points: &[Point]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}

fn least_squares(form: Form, points: &[Point]) -> Fit {
    let basis: Vec<f64> = points.iter().map(|point| form.basis(point.size)).collect();
    let basis_mean = mean(basis.iter().copied());
    let value_mean = mean(points.iter().map(|point| point.value));
    let spread: f64 = basis.iter().map(|x| (x - basis_mean).powi(2)).sum();
    let covariance: f64 =
        basis.iter().zip(points).map(|(x, point)| (x - basis_mean) * (point.value - value_mean)).sum();
    let coefficient = if form == Form::Constant { 0.0 } else { covariance / spread };
    let mut fit = Fit {
        form,
        constant: value_mean - coefficient * basis_mean,
        coefficient,
        residual: 0.0,
        leave_one_out: 0.0,
    };
    let count = points.len() as f64;
    let errors = || points.iter().map(|point| point.value - fit.predict(point.size));
    let leverage = |x: &f64| match form {
        Form::Constant => 1.0 / count,
        _ => 1.0 / count + (x - basis_mean).powi(2) / spread,
    };
    let left_out = errors().zip(&basis).map(|(error, x)| error / (1.0 - leverage(x)));
    let (residual, leave_one_out) = (root_mean_square(errors()), root_mean_square(left_out));
    (fit.residual, fit.leave_one_out) = (residual, leave_one_out);
    fit
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

fn root_mean_square(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    mean(values.map(|value| value * value)).sqrt()
}
