//! Keeps the figures of a Markdown page and the file of slopes together.
//!
//! A page marks each figure that comes from the runs with a comment right after it:
//! `1,240 <!-- slope:member/relays/bytes-per-s/target -->`. The key names the subject, the axis (or `all`, for every size
//! raised at once), the quantity and the field. [`check`] finds figures that differ from the file, and [`rewrite`] puts
//! the file's figures in their place.

use std::str::FromStr;

use thiserror::Error;

use crate::slopes::assess::Slope;
use crate::slopes::axis::Axis;
use crate::slopes::file::SlopesFile;
use crate::slopes::projection::Projection;
use crate::slopes::quantity::{AtTarget, Quantity, Subject};
use crate::slopes::table;

const MARK_BEGINS: &str = "<!-- slope:";
const MARK_ENDS: &str = "-->";

/// Stands in a key for every size raised at once.
const ALL_AXES: &str = "all";

/// Heads of the columns of a table of slopes, and the fields that they show.
const SLOPE_COLUMNS: [(&str, &str); 10] = [
    ("form", "form"),
    ("largest size", "largest"),
    ("predicted there", "predicted"),
    ("measured there", "measured"),
    ("error", "error"),
    ("prediction", "prediction"),
    ("times beyond", "beyond"),
    ("at the target", "target"),
    ("budget", "budget"),
    ("need over budget", "need"),
];

/// As [`SLOPE_COLUMNS`], for all sizes at once.
const PROJECTION_COLUMNS: [(&str, &str); 8] = [
    ("combined by", "form"),
    ("predicted at the corner", "predicted"),
    ("measured there", "measured"),
    ("error", "error"),
    ("prediction", "prediction"),
    ("at the target", "target"),
    ("budget", "budget"),
    ("need over budget", "need"),
];

/// Stands in a page for a figure that the file does not have, for instance a budget where none is set.
pub const NO_FIGURE: &str = "–";

/// Rounding of the arithmetic that a printed figure may be off beyond its last digit, as a part of it.
const ROUNDING: f64 = 1e-9;

/// Why a page and a file of slopes do not agree.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PageError {
    /// The page marks no figure, so that nothing would be checked.
    #[error("the page has no mark `{MARK_BEGINS}...{MARK_ENDS}`")]
    NoMarks,
    /// A mark does not end in its line.
    #[error("line {line}: a mark is not closed by `{MARK_ENDS}`")]
    NotClosed {
        /// Line in the page.
        line: usize,
    },
    /// A mark has no figure before it.
    #[error("line {line}: the mark {key} has no figure right before it")]
    NoFigure {
        /// Line in the page.
        line: usize,
        /// Key of the mark.
        key: String,
    },
    /// A mark names what the file does not have.
    #[error("line {line}: the file of slopes has nothing by the name {key}")]
    UnknownMark {
        /// Line in the page.
        line: usize,
        /// Key of the mark.
        key: String,
    },
    /// A figure is not the one of the file.
    #[error("line {line}: {key} is {expected} in the file of slopes, but {found:?} in the page")]
    Differs {
        /// Line in the page.
        line: usize,
        /// Key of the mark.
        key: String,
        /// Figure in the page.
        found: String,
        /// Value in the file.
        expected: String,
    },
}

/// A marked figure in a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark<'page> {
    /// Line in the page, from 1.
    pub line: usize,
    /// The key of the mark.
    pub key: &'page str,
    /// The figure as printed.
    pub figure: &'page str,
    /// Byte of the page that the figure begins at.
    begin: usize,
}

/// A value of the file of slopes.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number in the unit of its quantity.
    Number(f64),
    /// A part of a whole, 0.1 for 10%.
    Part(f64),
    /// A word, such as the name of a form.
    Word(&'static str),
    /// The file has no such value, for instance no budget.
    Nothing,
}

impl Value {
    /// The value as a page prints it.
    pub fn print(&self) -> String {
        match self {
            Self::Number(number) => table::figure(*number),
            Self::Part(part) => table::percent(*part),
            Self::Word(word) => (*word).to_owned(),
            Self::Nothing => NO_FIGURE.to_owned(),
        }
    }

    /// Whether the printed figure is this value, within the precision that it is printed with.
    pub fn is_printed_as(&self, figure: &str) -> bool {
        match self {
            Self::Number(value) | Self::Part(value) => parse_figure(figure).is_some_and(|(printed, unit)| {
                (printed - value).abs() <= unit / 2.0 + ROUNDING * value.abs()
            }),
            Self::Word(word) => figure == *word,
            Self::Nothing => figure == NO_FIGURE,
        }
    }

    fn of(number: Option<f64>) -> Self {
        number.map_or(Self::Nothing, Self::Number)
    }

    fn of_part(part: Option<f64>) -> Self {
        part.map_or(Self::Nothing, Self::Part)
    }
}

/// All marked figures of a page, in their order.
///
/// # Errors
/// Fails on a mark that is not closed or has no figure before it.
pub fn marks(page: &str) -> Result<Vec<Mark<'_>>, PageError> {
    let mut marks = Vec::new();
    let mut line_begins = 0;
    for (index, line) in page.split_inclusive('\n').enumerate() {
        let mut from = 0;
        while let Some(found) = line[from..].find(MARK_BEGINS) {
            let mark = mark_at(line, from, from + found, index + 1)?;
            from += found + MARK_BEGINS.len();
            marks.push(Mark { begin: line_begins + mark.begin, ..mark });
        }
        line_begins += line.len();
    }
    Ok(marks)
}

/// Holds every marked figure of the page against the file, and tells all that do not agree.
///
/// # Errors
/// Fails on a page without marks, on marks that are malformed or unknown, and on figures that differ.
pub fn check(page: &str, file: &SlopesFile) -> Result<usize, Vec<PageError>> {
    let marks = marks(page).map_err(|error| vec![error])?;
    if marks.is_empty() {
        return Err(vec![PageError::NoMarks]);
    }
    let errors: Vec<PageError> = marks.iter().filter_map(|mark| check_mark(mark, file).err()).collect();
    if errors.is_empty() { Ok(marks.len()) } else { Err(errors) }
}

/// The page with every marked figure replaced by the file's.
///
/// # Errors
/// Fails on a page without marks, and on marks that are malformed or unknown.
pub fn rewrite(page: &str, file: &SlopesFile) -> Result<String, PageError> {
    let marks = marks(page)?;
    if marks.is_empty() {
        return Err(PageError::NoMarks);
    }
    let (mut text, mut copied) = (String::with_capacity(page.len()), 0);
    for mark in marks {
        text.push_str(&page[copied..mark.begin]);
        text.push_str(&value_of(&mark, file)?.print());
        copied = mark.begin + mark.figure.len();
    }
    text.push_str(&page[copied..]);
    Ok(text)
}

/// Two tables with a mark for every figure of the file, to begin a page with: the slopes, and all sizes at once.
pub fn marked_tables(file: &SlopesFile) -> String {
    let of_slope = |slope: &Slope| (slope.subject, slope.axis.name(), slope.quantity);
    let of_projection = |found: &Projection| (found.subject, ALL_AXES, found.quantity);
    let slopes = marked_table(file, &SLOPE_COLUMNS, file.slopes.iter().map(of_slope));
    let projections = marked_table(file, &PROJECTION_COLUMNS, file.projections.iter().map(of_projection));
    format!("{slopes}\n{projections}")
}

fn marked_table(
    file: &SlopesFile, columns: &[(&str, &str)],
    rows: impl Iterator<Item = (Subject, &'static str, Quantity)>,
) -> String {
    let heads: Vec<&str> = columns.iter().map(|(head, _)| *head).collect();
    let mut text = format!("| role | axis | quantity | {} |\n", heads.join(" | "));
    text.push_str(&format!("| --- | --- | --- |{}\n", " ---: |".repeat(columns.len())));
    for (subject, axis, quantity) in rows {
        text.push_str(&format!("| {subject} | {axis} | {quantity} |"));
        for (_, field) in columns {
            let key = format!("{subject}/{axis}/{quantity}/{field}");
            let printed = value(&key, file).unwrap_or(Value::Nothing).print();
            text.push_str(&format!(" {printed} {MARK_BEGINS}{key} {MARK_ENDS} |"));
        }
        text.push('\n');
    }
    text
}

/// The value that a key names.
pub fn value(key: &str, file: &SlopesFile) -> Option<Value> {
    let parts: Vec<&str> = key.split('/').collect();
    let [subject, axis, quantity, field] = parts[..] else { return None };
    let subject = Subject::ALL.into_iter().find(|known| known.name() == subject)?;
    let quantity = Quantity::ALL.into_iter().find(|known| known.name() == quantity)?;
    if axis == ALL_AXES {
        return of_projection(file, subject, quantity, field);
    }
    of_slope(file, subject, Axis::from_str(axis).ok()?, quantity, field)
}

fn of_slope(
    file: &SlopesFile, subject: Subject, axis: Axis, quantity: Quantity, field: &str,
) -> Option<Value> {
    let slope = file.slope(subject, axis, quantity)?;
    let check = slope.check.as_ref();
    Some(match field {
        "form" => check.map_or(Value::Nothing, |check| Value::Word(check.fit.form.name())),
        "beyond" => Value::of(slope.beyond()),
        "largest" => Value::of(slope.points.last().map(|point| point.size)),
        "predicted" => Value::of(check.map(|check| check.predicted)),
        "measured" => Value::of(check.map(|check| check.measured)),
        "error" => Value::of_part(check.map(|check| check.error)),
        "prediction" => Value::Word(slope.prediction.name()),
        _ => return of_target(slope.at_target.as_ref(), field),
    })
}

fn of_projection(file: &SlopesFile, subject: Subject, quantity: Quantity, field: &str) -> Option<Value> {
    let projection = file.projection(subject, quantity)?;
    let check = projection.check;
    Some(match field {
        "base" => Value::of(projection.base),
        "form" => Value::Word(projection.combination.name()),
        "predicted" => Value::of(check.map(|check| check.predicted)),
        "measured" => Value::of(check.map(|check| check.measured)),
        "error" => Value::of_part(check.map(|check| check.error)),
        "prediction" => Value::Word(projection.prediction.name()),
        _ => return of_target(Some(&projection.at_target), field),
    })
}

fn of_target(target: Option<&AtTarget>, field: &str) -> Option<Value> {
    match field {
        "target" => Some(Value::of(target.map(|target| target.predicted))),
        "budget" => Some(Value::of(target.and_then(|target| target.budget))),
        "need" => Some(Value::of_part(target.and_then(|target| target.need_over_budget))),
        _ => None,
    }
}

fn check_mark(mark: &Mark<'_>, file: &SlopesFile) -> Result<(), PageError> {
    let value = value_of(mark, file)?;
    if value.is_printed_as(mark.figure) {
        return Ok(());
    }
    let (key, found) = (mark.key.to_owned(), mark.figure.to_owned());
    Err(PageError::Differs { line: mark.line, key, found, expected: value.print() })
}

fn value_of(mark: &Mark<'_>, file: &SlopesFile) -> Result<Value, PageError> {
    value(mark.key, file).ok_or_else(|| PageError::UnknownMark { line: mark.line, key: mark.key.to_owned() })
}

/// The mark that begins at `at` in the line; its figure may not reach before `from`, where the one before it ends.
fn mark_at(line: &str, from: usize, at: usize, number: usize) -> Result<Mark<'_>, PageError> {
    let inside = &line[at + MARK_BEGINS.len()..];
    let end = inside.find(MARK_ENDS).ok_or(PageError::NotClosed { line: number })?;
    let key = inside[..end].trim();
    let before = line[from..at].trim_end();
    let begin = before.rfind(|letter: char| letter.is_whitespace() || letter == '|' || letter == '>');
    let begin = begin.map_or(0, |begin| begin + before[begin..].chars().next().map_or(1, char::len_utf8));
    let figure = &before[begin..];
    if figure.is_empty() {
        return Err(PageError::NoFigure { line: number, key: key.to_owned() });
    }
    Ok(Mark { line: number, key, figure, begin: from + begin })
}

/// A printed number and the unit of its last digit; a percent sign makes both parts of a whole.
fn parse_figure(figure: &str) -> Option<(f64, f64)> {
    let (digits, scale) = figure.strip_suffix('%').map_or((figure, 1.0), |digits| (digits, 0.01));
    let digits = digits.replace(',', "");
    let number: f64 = digits.parse().ok().filter(|number: &f64| number.is_finite())?;
    let decimals = digits.split_once('.').map_or(0, |(_, decimals)| decimals.len());
    Some((number * scale, 10f64.powi(-i32::try_from(decimals).ok()?) * scale))
}
