//! The simulator's wire: its text lines to interface types, and actions back to lines. It decides nothing.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::interface::*;

/// A line or setting that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A value of a line is missing or is not what it should be.
    #[error("{line}: {field} is {found:?}, expected {expected}")]
    Field {
        /// First word of the line.
        line: String,
        /// The value's name.
        field: &'static str,
        /// What stood there.
        found: String,
        /// What should.
        expected: &'static str,
    },
    /// The line's first word is not known.
    #[error("unknown line {0:?}, expected an event of the wire")]
    UnknownLine(String),
    /// A setting that is needed is missing.
    #[error("setting {0} is missing")]
    MissingSetting(String),
    /// A setting cannot be read.
    #[error("setting {key} is {found:?}, expected {expected}")]
    Setting {
        /// The setting's path.
        key: String,
        /// What stood there.
        found: String,
        /// What should.
        expected: &'static str,
    },
}

/// Reads the parts of one line in order.
pub struct Fields<'a> {
    line: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// The parts after the first word, and that word.
    pub fn new(text: &'a str) -> Self {
        let mut rest = text.split(' ');
        let line = rest.next().unwrap_or_default();
        Fields { line, rest }
    }

    /// The first word.
    pub fn line(&self) -> &'a str {
        self.line
    }

    fn bad(&self, field: &'static str, found: &str, expected: &'static str) -> WireError {
        WireError::Field { line: self.line.to_string(), field, found: found.to_string(), expected }
    }

    /// The next part, absent where it is `-` or the line has ended.
    pub fn optional(&mut self) -> Option<&'a str> {
        self.rest.next().filter(|part| *part != "-" && !part.is_empty())
    }

    /// The next part, which must be there.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.optional().ok_or_else(|| self.bad(field, "-", "a value"))
    }

    /// The next part as a number, which must be there.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let part = self.text(field)?;
        part.parse().map_err(|_| self.bad(field, part, "a number"))
    }

    /// The next part as a number, if there is one.
    pub fn maybe<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, WireError> {
        match self.optional() {
            None => Ok(None),
            Some(part) => part.parse().map(Some).map_err(|_| self.bad(field, part, "a number or -")),
        }
    }
}

/// An entry of a `LIST`, before an instance reads it by its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RawEntry {
    kind: String,
    listed: ServiceState,
    cell: i64,
    zone: String,
    scale: f64,
    target: String,
}

impl RawEntry {
    /// Reads an `ENTRY` line.
    pub fn parse(fields: &mut Fields) -> Result<Self, WireError> {
        let kind = fields.text("Kind")?.to_string();
        let listed = match fields.text("Health")? {
            "in_service" => ServiceState::InService,
            "terminating" => ServiceState::Draining,
            "terminated" => ServiceState::Removed,
            other => return Err(fields.bad("Health", other, "in_service, terminating or terminated")),
        };
        let cell = fields.number("Cell")?;
        fields.optional();
        let zone = fields.optional().unwrap_or_default().to_string();
        let scale = fields.maybe("Scale")?.unwrap_or(0.0);
        let target = fields.text("Target")?.to_string();
        Ok(RawEntry { kind, listed, cell, zone, scale, target })
    }

    /// An entry that came in another form than an `ENTRY` line.
    pub fn new(
        kind: String, listed: ServiceState, cell: i64, zone: String, scale: f64, target: String,
    ) -> Self {
        RawEntry { kind, listed, cell, zone, scale, target }
    }

    /// Whether it takes new work.
    pub fn listed(&self) -> ServiceState {
        self.listed
    }

    /// The destination's number.
    pub fn cell(&self) -> i64 {
        self.cell
    }
}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|v| *v != "-")
    }

    fn need(&self, key: &str) -> Result<&'a str, WireError> {
        self.get(key).ok_or_else(|| WireError::MissingSetting(key.to_string()))
    }

    fn read<T: FromStr>(&self, key: &str, text: &str) -> Result<T, WireError> {
        text.parse().map_err(|_| bad_setting(key, text, "a number or a bool"))
    }

    fn number<T: FromStr>(&self, key: &str) -> Result<T, WireError> {
        self.read(key, self.need(key)?)
    }

    fn maybe<T: FromStr>(&self, key: &str) -> Result<Option<T>, WireError> {
        self.get(key).map(|text| self.read(key, text)).transpose()
    }

    fn list(&self, key: &str) -> Vec<&'a str> {
        let text = self.get(key).unwrap_or_default();
        text.split(',').filter(|part| !part.is_empty()).collect()
    }

    fn numbers<T: FromStr>(&self, key: &str) -> Result<Vec<T>, WireError> {
        self.list(key).into_iter().map(|part| self.read(key, part)).collect()
    }

    fn count(&self, key: &str) -> Result<usize, WireError> {
        Ok(self.maybe(&format!("{key}.count"))?.unwrap_or(0))
    }
}

fn bad_setting(key: &str, found: &str, expected: &'static str) -> WireError {
    WireError::Setting { key: key.to_string(), found: found.to_string(), expected }
}

/// The names of one instance: what its settings call things, and the ids that it has met.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Names {
    classes: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    tenants: Vec<String>,
    targets: BTreeMap<String, TargetId>,
    target_names: BTreeMap<TargetId, String>,
    targets_met: u32,
    messages: BTreeMap<String, MessageId>,
    /// Name, open, attempts out: forgotten when it is neither open nor out.
    open: BTreeMap<MessageId, (String, bool, u32)>,
    met: u64,
}

/// Reads the settings of an `OPEN_INSTANCE` line.
pub fn settings(text: &str) -> Result<(Settings, Names), WireError> {
    let pairs = Pairs(text.split(' ').filter_map(|pair| pair.split_once('=')).collect());
    let mut names = Names {
        kinds: pairs.list("HostTypes").into_iter().map(String::from).collect(),
        zones: pairs.list("Zones").into_iter().map(String::from).collect(),
        ..Names::default()
    };
    let mut classes = Vec::new();
    for i in 0..pairs.count("Classes")? {
        let at = |name: &str| format!("Classes.{i}.{name}");
        names.classes.push(pairs.need(&at("Name"))?.to_string());
        let effect = match pairs.need(&at("Idempotency"))? {
            "idempotent" => Effect::Idempotent,
            "at_most_once" => Effect::NonIdempotent,
            "deduplicated" => Effect::Keyed {
                window: pairs.number(&at("DedupWindowUs"))?,
                scope: match pairs.get(&at("Group")).unwrap_or("all") {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Cell,
                    other => return Err(bad_setting(&at("Group"), other, "all, zone or cell")),
                },
            },
            other => {
                let expected = "idempotent, deduplicated or at_most_once";
                return Err(bad_setting(&at("Idempotency"), other, expected));
            }
        };
        classes.push(Class {
            value: pairs.number(&at("Value"))?,
            aim: pairs.number(&at("AimUs"))?,
            deadline: pairs.number(&at("DeadlineUs"))?,
            late_fraction: pairs.maybe(&at("LateWorth"))?.unwrap_or(0.0),
            effect,
            in_order: pairs.maybe(&at("FifoByKey"))?.unwrap_or(false),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..pairs.count("Tenants")? {
        names.tenants.push(pairs.need(&format!("Tenants.{i}.Name"))?.to_string());
        tenants.push(Tenant { quota: pairs.number(&format!("Tenants.{i}.QuotaPerS"))? });
    }
    let apart: Vec<bool> = pairs.numbers("Domain.KindApart")?;
    let batch: Vec<u32> = pairs.numbers("Domain.KindBatch")?;
    let kinds = (0..names.kinds.len())
        .map(|i| Kind {
            separate_routes: apart.get(i).copied().unwrap_or(false),
            max_batch: batch.get(i).copied().unwrap_or(1),
        })
        .collect();
    let asked = match pairs.get("Discovery").unwrap_or("push") {
        "push" => false,
        "ask" => true,
        other => return Err(bad_setting("Discovery", other, "push or ask")),
    };
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_quota_fraction: pairs.maybe("OverShareWorth")?.unwrap_or(1.0),
        late_decay: match pairs.get("Domain.Late").unwrap_or("even") {
            "even" => LateDecay::Linear,
            "by_half" => LateDecay::Halving,
            other => return Err(bad_setting("Domain.Late", other, "even or by_half")),
        },
        slots: pairs.number("Domain.MaxCalls")?,
        max_held: pairs.number("Limits.OpenCap")?,
        max_attempts: pairs.number("Limits.MaxAttempts")?,
        senders: pairs.number("PeersTotal")?,
        connect_timeout: pairs.number("Limits.ConnectTimeoutUs")?,
        idle_timeout: pairs.number("Limits.ConnIdleUs")?,
        max_retry_after: if pairs.maybe("Limits.RetryAfter")?.unwrap_or(false) {
            pairs.maybe("Limits.MaxRetryAfterUs")?
        } else {
            None
        },
        probes: pairs.maybe("Limits.Probes")?.unwrap_or(false),
        cancel: pairs.maybe("Limits.Cancel")?.unwrap_or(false),
        listed_rates: matches!(pairs.get("Weights"), Some("nominal" | "rough")),
        coordinators: false,
        retry_budget: false,
        shares: false,
        list_request_interval: if asked { Some(pairs.number("Rules.AskEveryUs")?) } else { None },
        zone_fee: pairs.numbers("Domain.FeeByZone")?,
        rules: RuleParameters {
            cold_capacity_fraction: pairs.number("Rules.ColdFrom")?,
            warm_up: pairs.number("Rules.ColdUs")?,
            overload_multiple: pairs.number("Rules.FallMultiple")?,
            overload_window: pairs.number("Rules.OverloadForUs")?,
            drain_grace: pairs.number("Rules.StopSendingWithinUs")?,
            settle_time: pairs.maybe("Rules.SettleAfterDoubtUs")?.unwrap_or(0),
        },
    };
    Ok((settings, names))
}

fn outcome(fields: &mut Fields, word: &str, wait_ms: Option<i64>) -> Result<Outcome, WireError> {
    Ok(match word {
        "done" => Outcome::Ok,
        "err" => Outcome::Error,
        "busy" => Outcome::Full(wait_ms.filter(|ms| *ms > 0).map(|ms| ms * 1000)),
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        other => return Err(fields.bad("How", other, "an outcome of the wire")),
    })
}

fn report(text: Option<&str>) -> LimitReport {
    let mut report = LimitReport::default();
    for (name, value) in text.unwrap_or_default().split(',').filter_map(|pair| pair.split_once(':')) {
        match name {
            "x0" => report.remaining_fraction = value.parse().ok(),
            "x1" => report.limit = value.parse().ok(),
            _ => {}
        }
    }
    report
}

impl Names {
    fn index(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|known| known == name)
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<usize> {
        Self::index(&self.classes, name)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        Self::index(&self.tenants, name)
    }

    /// The names of the classes, in the order of the settings.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Other classes and tenants.
    pub fn rename(&mut self, classes: Vec<String>, tenants: Vec<String>) {
        (self.classes, self.tenants) = (classes, tenants);
    }

    /// The names of the tenants, in the order of the settings; empty at a site without.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The number of the endpoint of that name, new if it was not met before.
    pub fn target(&mut self, name: &str) -> TargetId {
        if let Some(id) = self.targets.get(name) {
            return *id;
        }
        let id = TargetId(self.targets_met);
        self.targets_met += 1;
        self.target_names.insert(id, name.to_string());
        self.targets.insert(name.to_string(), id);
        id
    }

    /// The name of an endpoint.
    pub fn target_name(&self, target: TargetId) -> Option<&str> {
        self.target_names.get(&target).map(String::as_str)
    }

    /// Forgets an endpoint that is gone. Listed once more, it gets a new number.
    pub fn forget(&mut self, target: TargetId) {
        if let Some(name) = self.target_names.remove(&target) {
            self.targets.remove(&name);
        }
    }

    fn settle(&mut self, id: MessageId) {
        if let Some((name, open, out)) = self.open.get(&id)
            && !open
            && *out == 0
        {
            self.messages.remove(name);
            self.open.remove(&id);
        }
    }

    /// The list as this instance understands it.
    pub fn entries(&mut self, raw: &[RawEntry]) -> Result<Vec<EndpointEntry>, WireError> {
        raw.iter()
            .map(|entry| {
                let kind = Self::index(&self.kinds, &entry.kind).ok_or_else(|| WireError::Field {
                    line: "ENTRY".into(),
                    field: "Kind",
                    found: entry.kind.clone(),
                    expected: "a kind of the settings",
                })?;
                Ok(EndpointEntry {
                    target: self.target(&entry.target),
                    destination: DestinationId(entry.cell),
                    kind,
                    zone: Self::index(&self.zones, &entry.zone).unwrap_or(usize::MAX),
                    state: entry.listed,
                    rate: entry.scale,
                })
            })
            .collect()
    }

    /// Reads an event of this instance, whose number has been read already. `None` where the line is known
    /// but tells the module nothing: it concerns an id that is not held, or a feature that is not in use.
    pub fn event(&mut self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        match fields.line() {
            "ARRIVAL" => {
                let name = fields.text("Rid")?;
                let class = fields.text("Category")?;
                let class = Self::index(&self.classes, class)
                    .ok_or_else(|| fields.bad("Category", class, "a class of the settings"))?;
                let tenant = fields.optional().and_then(|tenant| Self::index(&self.tenants, tenant));
                let key = fields.optional().map(Into::into);
                let due = fields.number("DueUs")?;
                let _hint: Option<i64> = fields.maybe("HintUs")?;
                let destination = DestinationId(fields.number("CalledNode")?);
                self.met += 1;
                let id = MessageId(self.met);
                self.messages.insert(name.to_string(), id);
                self.open.insert(id, (name.to_string(), true, 0));
                Ok(Some(Event::Arrival(Arrival { id, class, tenant, key, due, destination })))
            }
            "DONE" => {
                let name = fields.text("Rid")?;
                let attempt = fields.number("RoundNo")?;
                let target = fields.text("Target")?;
                let how = fields.text("How")?;
                let took = fields.maybe("TookUs")?.unwrap_or(0);
                let over = fields.optional() == Some("1");
                let note = fields.maybe("Detail")?;
                let outcome = outcome(fields, how, note)?;
                let report = report(fields.optional());
                let (Some(id), Some(target)) =
                    (self.messages.get(name).copied(), self.targets.get(target).copied())
                else {
                    return Ok(None);
                };
                if let Some(state) = self.open.get_mut(&id) {
                    state.1 &= !over;
                    state.2 = state.2.saturating_sub(1);
                }
                self.settle(id);
                let verdict = if over { Verdict::Over } else { outcome.verdict() };
                Ok(Some(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    target,
                    outcome,
                    elapsed: took,
                    decision: verdict,
                    report,
                })))
            }
            "HANGUP" => {
                let name = fields.text("Rid")?;
                let Some(id) = self.messages.get(name).copied() else { return Ok(None) };
                if let Some(state) = self.open.get_mut(&id) {
                    state.1 = false;
                }
                self.settle(id);
                Ok(Some(Event::Withdrawn(id)))
            }
            "ALARM" => Ok(Some(Event::Timer(fields.number("Handle")?))),
            "PROBE_RESULT" => {
                let target = fields.text("Target")?;
                let how = fields.text("How")?;
                let outcome = outcome(fields, how, None)?;
                let took = fields.maybe("TookUs")?.unwrap_or(0);
                let report = report(fields.optional());
                let target = self.targets.get(target).copied();
                Ok(target.map(|target| Event::ProbeEnded { target, outcome, elapsed: took, report }))
            }
            "FIRST_BYTE" | "MESSAGE" => Ok(None),
            other => Err(WireError::UnknownLine(other.to_string())),
        }
    }

    /// Writes an action of this instance as a line.
    pub fn action(&mut self, who: u64, action: &Action, out: &mut String) {
        let name = |id: &MessageId| self.open.get(id).map_or("-", |state| state.0.as_str());
        let target = |id: &TargetId| self.target_names.get(id).map_or("-", String::as_str);
        let _ = match action {
            Action::Send { id, target: to, timeout, .. } => {
                writeln!(out, "TRY {who} {} {} {timeout}", name(id), target(to))
            }
            Action::Cancel { id, attempt } => writeln!(out, "CANCEL {who} {} {attempt}", name(id)),
            Action::Refuse { id, retry_after: Some(after) } => {
                writeln!(out, "SAY_NO {who} {} {after}", name(id))
            }
            Action::Refuse { id, retry_after: None } => writeln!(out, "SAY_NO {who} {} -", name(id)),
            Action::Fail(id) => writeln!(out, "ERROR {who} {}", name(id)),
            Action::SetTimer { token, after } => writeln!(out, "SLEEP {who} {token} {after}"),
            Action::RequestRetryTokens { .. } => Ok(()), // Nor a budget for repeats.
            Action::RequestGrants { .. } => Ok(()), // The simulator's wire knows no stewards, and its settings ask none.
            Action::Probe(to) => writeln!(out, "TOUCH {who} {}", target(to)),
            Action::CloseIdle(to) => writeln!(out, "RELEASE {who} {}", target(to)),
            Action::SubscribeList => writeln!(out, "STREAM_CHANGES {who} 1"),
        };
        match action {
            Action::Send { id, .. } => {
                if let Some(state) = self.open.get_mut(id) {
                    state.2 += 1;
                }
            }
            Action::Refuse { id, .. } | Action::Fail(id) => {
                if let Some(state) = self.open.get_mut(id) {
                    state.1 = false;
                }
                self.settle(*id);
            }
            _ => {}
        }
    }
}
