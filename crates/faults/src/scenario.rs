//! The scenario: which calls of a child fail, how, when and how often, and how its wall clock steps.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use toml::Spanned;

use crate::errno;

/// Calls that may be made to fail.
const CALLS: [&str; 22] = [
    "open",
    "create",
    "mkdir",
    "unlink",
    "rename",
    "truncate",
    "sync",
    "lock",
    "write",
    "read",
    "send",
    "recv",
    "sendto",
    "recvfrom",
    "socket",
    "epoll_create",
    "bind",
    "listen",
    "accept",
    "connect",
    "wait",
    "log",
];
/// Of these, the ones that move bytes, so that they can be short, torn or cut by a kill.
const MOVES_BYTES: [&str; 5] = ["write", "read", "send", "recv", "log"];
/// The largest step of the wall clock either way, in milliseconds: a day.
const MAX_STEP_MS: i64 = 86_400_000;
/// The file of the preloaded library.
const SHIM: &str = "libfaults_shim.so";

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Io {
        /// The file.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// The text is no scenario.
    #[error("{0}")]
    Form(Box<toml::de::Error>),
    /// A value makes no sense.
    #[error("line {line}: {key}: {expected}")]
    Value {
        /// Line of the entry, from 1 on.
        line: usize,
        /// The key.
        key: &'static str,
        /// What was expected.
        expected: String,
    },
    /// The error in a file.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// The error.
        error: Box<ScenarioError>,
    },
    /// The preloaded library was not built.
    #[error("{0} was not found: build the workspace first")]
    NoShim(PathBuf),
}

/// How a call fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Effect {
    /// With the error, and nothing done.
    #[default]
    Error,
    /// With half of the bytes.
    Short,
    /// With half of the bytes, and the next call on the descriptor with the error.
    Torn,
    /// With half of the bytes, and then the child is killed.
    Kill,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fault {
    call: String,
    #[serde(default)]
    effect: Effect,
    error: Option<String>,
    probability: f64,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at_ms: u64,
    by_ms: i64,
}

/// A scenario.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(default, rename = "fault")]
    faults: Vec<Spanned<Fault>>,
    #[serde(default, rename = "step")]
    steps: Vec<Spanned<Step>>,
}

/// The child in which the faults are made.
#[derive(Clone, Copy, Debug)]
pub struct Child<'a> {
    /// What is drawn comes of it.
    pub seed: u64,
    /// Files below this folder fail.
    pub scope: &'a Path,
    /// A line for each fault that was made: process, microseconds since its start, call, effect, error number.
    pub log: &'a Path,
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The first thing that makes no sense, by file, line and key.
    pub fn load(file: &Path) -> Result<Self, ScenarioError> {
        let name = file.display().to_string();
        let text =
            std::fs::read_to_string(file).map_err(|error| ScenarioError::Io { file: name.clone(), error })?;
        Self::read(&text).map_err(|error| ScenarioError::File { file: name, error: Box::new(error) })
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// The first thing that makes no sense, by line and key.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| ScenarioError::Form(Box::new(error)))?;
        let line = |at: usize| text.get(..at).unwrap_or(text).matches('\n').count() + 1;
        for fault in &scenario.faults {
            fault.get_ref().check().map_err(|(key, expected)| ScenarioError::Value {
                line: line(fault.span().start),
                key,
                expected,
            })?;
        }
        for step in &scenario.steps {
            if step.get_ref().by_ms.abs() > MAX_STEP_MS {
                let (line, expected) = (line(step.span().start), "expected a day at the most".into());
                return Err(ScenarioError::Value { line, key: "by_ms", expected });
            }
        }
        Ok(scenario)
    }

    /// The same with the faults and steps of another one added.
    #[must_use]
    pub fn and(mut self, other: Scenario) -> Self {
        self.faults.extend(other.faults);
        self.steps.extend(other.steps);
        self
    }

    /// The variables with which a child is started.
    ///
    /// # Errors
    /// Where the preloaded library was not built.
    pub fn environment(&self, child: Child<'_>) -> Result<[(&'static str, String); 2], ScenarioError> {
        let shim = shim()?;
        Ok([("LD_PRELOAD", shim.display().to_string()), ("TULIPFALL_FAULT_PLAN", self.plan(child))])
    }

    fn plan(&self, child: Child<'_>) -> String {
        let Child { seed, scope, log } = child;
        let mut plan = format!("seed {seed}\nscope {}\nlog {}\n", scope.display(), log.display());
        for fault in self.faults.iter().map(Spanned::get_ref) {
            let effect = match fault.effect {
                Effect::Error => "error",
                Effect::Short => "short",
                Effect::Torn => "torn",
                Effect::Kill => "kill",
            };
            let number = fault.error.as_deref().and_then(errno::number).unwrap_or(0);
            let per_million = (fault.probability * 1e6) as u64;
            let (from, to) = (fault.from_ms * 1000, fault.to_ms * 1000);
            plan += &format!("fault {} {effect} {number} {per_million} {from} {to}\n", fault.call);
        }
        for step in self.steps.iter().map(Spanned::get_ref) {
            plan += &format!("step {} {}\n", step.at_ms * 1000, step.by_ms * 1000);
        }
        plan
    }
}

impl Fault {
    fn check(&self) -> Result<(), (&'static str, String)> {
        if !CALLS.contains(&self.call.as_str()) {
            return Err((
                "call",
                format!("{:?} is unknown, expected one of {}", self.call, CALLS.join(", ")),
            ));
        }
        if self.effect != Effect::Error && !MOVES_BYTES.contains(&self.call.as_str()) {
            return Err(("effect", format!("{} moves no bytes", self.call)));
        }
        let needs_error = matches!(self.effect, Effect::Error | Effect::Torn);
        match &self.error {
            None if needs_error => return Err(("error", "expected the name of an error".into())),
            Some(name) if errno::number(name).is_none() => {
                return Err(("error", format!("{name:?} is unknown, expected a name such as ENOSPC")));
            }
            _ => {}
        }
        if !(0.0..=1.0).contains(&self.probability) {
            return Err(("probability", format!("is {}, expected 0 to 1", self.probability)));
        }
        if self.to_ms <= self.from_ms {
            return Err(("to_ms", format!("is {}, expected more than from_ms", self.to_ms)));
        }
        Ok(())
    }
}

/// Where the preloaded library lies: beside the running program, or in the folder above a test's.
fn shim() -> Result<PathBuf, ScenarioError> {
    let program = std::env::current_exe().unwrap_or_default();
    let folders = program.ancestors().skip(1).take(2);
    let mut found = folders.flat_map(|folder| [folder.join(SHIM), folder.join("deps").join(SHIM)]);
    found.find(|path| path.is_file()).ok_or_else(|| ScenarioError::NoShim(SHIM.into()))
}
