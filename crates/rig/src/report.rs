//! One HTML file of a play: calls a second at each partner against its limit, worth a second, who was out, with the spans of
//! faults shaded. It reads what a play left and adds nothing to it.

use std::fmt::Write;

use anyhow::{Context, Result, anyhow};
use plotters::prelude::*;
use serde_json::Value;

use crate::audit::{Call, Down, Got, Sent, worth};
use crate::partner::trouble;
use crate::scenario::Scenario;

/// Width and height of a plot.
const SIZE: (u32, u32) = (960, 220);
/// Calls are counted over so long, in seconds.
const BIN_S: f64 = 0.5;

/// What a play left, line by line.
#[derive(Debug, Default)]
pub struct Lines {
    /// Calls.
    pub calls: Vec<Call>,
    /// Messages by id.
    pub sent: std::collections::HashMap<String, Sent>,
    /// Who was down.
    pub downs: Vec<Down>,
    /// The outcome, as it was printed.
    pub outcome: Value,
}

impl Lines {
    /// Reads `lines.jsonl`.
    ///
    /// # Errors
    /// The first line that makes no sense, by number.
    pub fn read(text: &str) -> Result<Self> {
        let mut lines = Lines::default();
        for (n, line) in text.lines().enumerate() {
            let value: Value = serde_json::from_str(line).with_context(|| format!("line {}", n + 1))?;
            let read = |key: &str| value.get(key).cloned();
            let wrong = || format!("line {}", n + 1);
            if let Some(call) = read("call") {
                lines.calls.push(serde_json::from_value(call).with_context(wrong)?);
            } else if let (Some(sent), Some(id)) = (read("sent"), read("id")) {
                let id = id.as_str().unwrap_or_default().to_string();
                lines.sent.insert(id, serde_json::from_value(sent).with_context(wrong)?);
            } else if let Some(down) = read("down") {
                lines.downs.push(serde_json::from_value(down).with_context(wrong)?);
            } else if let Some(outcome) = read("outcome") {
                lines.outcome = outcome;
            }
        }
        Ok(lines)
    }
}

/// A line of a plot: its name, colour and points.
type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// The page.
///
/// # Errors
/// Where a plot cannot be drawn.
pub fn html(scenario: &Scenario, lines: &Lines) -> Result<String> {
    let end_s = scenario.seconds + scenario.load.time_left_ms as f64 / 1000.0;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font-family:sans-serif;max-width:60em;\
         margin:2em auto}}td,th{{padding:.1em .6em;text-align:right}}</style><h1>{0}</h1>",
        escaped(&scenario.about)
    );
    for (number, partner) in scenario.each_partner().iter().enumerate() {
        let of = |got: Option<Got>| {
            let times = lines.calls.iter().filter(|call| call.partner == number);
            let times = times.filter(|call| got.is_none_or(|got| call.got == got));
            binned(times.map(|call| (call.at_s, 1.0)), end_s)
        };
        let limit = |at_s: f64| {
            let trouble = trouble(scenario, at_s, number, 0);
            (at_s, if trouble.shut { 0.0 } else { partner.per_s * trouble.lowered })
        };
        let limit: Vec<(f64, f64)> = (0..(end_s / BIN_S) as usize).map(|n| limit(n as f64 * BIN_S)).collect();
        let title = format!("Partner {number}: calls a second, of {} that it takes", partner.per_s);
        let series = vec![
            ("calls", BLUE, of(None)),
            ("delivered", GREEN, of(Some(Got::Delivered))),
            ("refused", RED, of(Some(Got::Refused))),
            ("limit", BLACK, limit),
        ];
        page += &plot(scenario, &title, end_s, series)?;
    }
    let delivered = lines.calls.iter().filter(|call| call.got == Got::Delivered);
    let delivered = delivered.filter_map(|call| Some((call.at_s, worth(lines.sent.get(&call.id)?.once))));
    let offered = lines.sent.values().map(|sent| (sent.at_s, worth(sent.once)));
    let series =
        vec![("handed in", BLACK, binned(offered, end_s)), ("delivered", GREEN, binned(delivered, end_s))];
    page += &plot(scenario, "Worth a second", end_s, series)?;
    let down = |at_s: f64| lines.downs.iter().filter(|down| (down.from_s..down.to_s).contains(&at_s)).count();
    let down: Vec<(f64, f64)> =
        (0..(end_s / BIN_S) as usize).map(|n| (n as f64 * BIN_S, down(n as f64 * BIN_S) as f64)).collect();
    page += &plot(scenario, "Relays that were down or stopped", end_s, vec![("down", RED, down)])?;
    page += "<h2>What broke</h2><table><tr><th>from s<th>to s<th>what</tr>";
    for fault in scenario.faults.iter().map(|fault| fault.get_ref()) {
        let what = escaped(&format!("{:?}", fault.what));
        write!(page, "<tr><td>{}<td>{}<td style=\"text-align:left\">{what}</tr>", fault.from_s, fault.to_s)?;
    }
    page += "</table><h2>Outcome</h2><pre>";
    page += &escaped(&serde_json::to_string_pretty(&lines.outcome)?);
    page += "</pre>";
    Ok(page)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Sums a second, bin by bin.
fn binned(events: impl Iterator<Item = (f64, f64)>, end_s: f64) -> Vec<(f64, f64)> {
    let mut bins = vec![0.0; (end_s / BIN_S).ceil() as usize];
    for (at_s, weight) in events {
        if let Some(bin) = bins.get_mut((at_s / BIN_S).max(0.0) as usize) {
            *bin += weight / BIN_S;
        }
    }
    bins.into_iter().enumerate().map(|(n, sum)| (n as f64 * BIN_S, sum)).collect()
}

fn plot(scenario: &Scenario, title: &str, end_s: f64, series: Vec<Line>) -> Result<String> {
    let mut svg = String::new();
    let top = series.iter().flat_map(|(.., points)| points).map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
    let draw = |svg: &mut String| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end_s, 0.0..top)?;
        chart.configure_mesh().disable_mesh().draw()?;
        let spans = scenario.faults.iter().map(|fault| (fault.get_ref().from_s, fault.get_ref().to_s));
        let shade = |(from, to): (f64, f64)| Rectangle::new([(from, 0.0), (to, top)], RED.mix(0.08).filled());
        chart.draw_series(spans.map(shade))?;
        for (name, colour, points) in series {
            chart
                .draw_series(LineSeries::new(points, &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
        Ok(())
    };
    draw(&mut svg).map_err(|error| anyhow!("{title}: {error}"))?;
    Ok(svg)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_shows_each_partner_and_what_broke() {
        let text = "about = \"a < b\"\nrelays = 2\nseconds = 4\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\ncount = 2\n\
            [[fault]]\nfrom_s = 1\nto_s = 2\nkind = \"loss\"\npart = 0.5\n";
        let scenario = Scenario::read(text).expect("it makes sense");
        let call = "{\"call\": {\"id\": \"m0-0\", \"partner\": 1, \"relay\": 0, \"at_s\": 1.2, \"shut\": false, \
            \"got\": \"delivered\", \"pushed_over\": false}}";
        let lines = Lines::read(call).expect("it is read");
        let page = html(&scenario, &lines).expect("it is drawn");
        assert_eq!(page.matches("<svg").count(), 4);
        assert!(page.contains("a &lt; b") && page.contains("Loss"));
        let wrong = Lines::read(&format!("{call}\n{{\"call\": 3}}")).map_err(|error| error.to_string());
        assert_eq!(wrong.err().as_deref(), Some("line 2"));
    }
}
