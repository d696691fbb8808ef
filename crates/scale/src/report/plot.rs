//! One image: the points of some slopes, and the curves fitted to them.

use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::fit::Fit;
use crate::slopes::assess::{Prediction, Slope};

/// Width of a panel in pixels.
const PANEL_WIDTH: u32 = 420;
/// Height of a panel in pixels.
const PANEL_HEIGHT: u32 = 320;
/// Panels side by side.
const COLUMNS: usize = 3;
/// Height of the title in pixels.
const TITLE_HEIGHT: u32 = 40;
/// Points that a curve is drawn through.
const STEPS_OF_A_CURVE: usize = 100;
/// Room above the highest value, as a part of it.
const HEADROOM: f64 = 0.1;

/// Draws a panel for each slope: points, the curve of the smaller half in red, that of all points in blue.
///
/// # Errors
/// Fails where the image cannot be drawn or written.
pub fn draw(path: &Path, title: &str, slopes: &[&Slope]) -> Result<(), Box<dyn Error>> {
    let columns = slopes.len().clamp(1, COLUMNS);
    let rows = slopes.len().div_ceil(columns);
    let size = (PANEL_WIDTH * columns as u32, PANEL_HEIGHT * rows as u32 + TITLE_HEIGHT);
    let image = SVGBackend::new(path, size).into_drawing_area();
    image.fill(&WHITE)?;
    let panels = image.titled(title, ("sans-serif", 22))?.split_evenly((rows, columns));
    for (slope, panel) in slopes.iter().zip(&panels) {
        draw_slope(slope, panel)?;
    }
    image.present()?;
    Ok(())
}

fn draw_slope(slope: &Slope, panel: &DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), Box<dyn Error>> {
    let points = || slope.points.iter().map(|point| (point.size, point.value));
    let largest = points().map(|(size, _)| size).fold(1.0, f64::max);
    let curves = curves(slope, largest);
    let values = points().chain(curves.iter().flat_map(|(curve, _)| curve.iter().copied()));
    let (lowest, highest) =
        values.fold((0.0, 0.0), |(low, high), (_, value)| (f64::min(low, value), f64::max(high, value)));
    let highest = if highest > lowest { highest * (1.0 + HEADROOM) } else { 1.0 };
    let mut chart = ChartBuilder::on(panel)
        .caption(caption(slope), ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..largest, lowest..highest)?;
    chart.configure_mesh().x_labels(5).y_labels(5).x_desc(slope.axis.unit()).draw()?;
    for (curve, color) in curves {
        chart.draw_series(LineSeries::new(curve, color))?;
    }
    chart.draw_series(points().map(|point| Circle::new(point, 3, BLACK.filled())))?;
    Ok(())
}

fn curves(slope: &Slope, largest: f64) -> Vec<(Vec<(f64, f64)>, RGBColor)> {
    let of_half = slope.check.as_ref().map(|check| (check.fit, RED));
    let of_all = slope.fit.map(|fit| (fit, BLUE));
    [of_all, of_half].into_iter().flatten().map(|(fit, color)| (curve(&fit, largest), color)).collect()
}

/// Forms are defined from size 1 on.
fn curve(fit: &Fit, largest: f64) -> Vec<(f64, f64)> {
    let size = |step: usize| 1.0 + (largest - 1.0) * step as f64 / STEPS_OF_A_CURVE as f64;
    (0..=STEPS_OF_A_CURVE).map(size).map(|size| (size, fit.predict(size))).collect()
}

fn caption(slope: &Slope) -> String {
    let form = slope.check.as_ref().map_or("no form", |check| check.fit.form.name());
    let outcome = match slope.prediction {
        Prediction::Held => "held",
        Prediction::Failed => "prediction FAILED",
        Prediction::NotMade => "no prediction",
    };
    format!("{}: {form}, {outcome}", slope.quantity)
}
