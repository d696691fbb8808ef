//! What was seen from outside, and what it shows: one end each and in time, no charge twice, never two out, nothing
//! inside a told wait, no returning partner pushed over, calls against each limit, trials, what was refused and lost.
//! It must never take a relay's word for anything.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::oracle::served;
use crate::partner::trouble;
use crate::scenario::{Phase, Scenario, What};

/// A message's end is late after this, beyond its time.
const SLACK_S: f64 = 0.3;
/// No end is late until so long after a relay that was down is ready again.
const READY_SLACK_S: f64 = 1.5;
/// Calls that come so soon after a wait was told were on their way.
const WAIT_SLACK_S: f64 = 0.1;
/// Attempts of a message at the most.
const MOST_ATTEMPTS: usize = 12;
/// What marks the id of a message that a client hands in again, as it was told.
pub const AGAIN: &str = "-again-";
/// Findings of one rule that are told in full.
const MOST_TOLD: usize = 20;

/// What a call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Got {
    /// It took effect.
    Delivered,
    /// It was turned away, and never ran.
    Refused,
    /// It failed, and may have run.
    Failed,
    /// It never ran, and its message is over: nothing more is owed.
    Over,
    /// It never ran, and its message has had all its attempts: its end is owed.
    Spent,
    /// No answer.
    Nothing,
}

/// A call that came whole to a partner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// The message.
    pub id: String,
    /// The partner.
    pub partner: usize,
    /// Who called.
    pub relay: usize,
    /// When its last byte came, in seconds of the play.
    pub at_s: f64,
    /// The partner was shut then.
    pub shut: bool,
    /// What it got.
    pub got: Got,
    /// It pushed a returning partner over.
    pub pushed_over: bool,
}

/// A message that a client handed in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sent {
    /// To which relay.
    pub relay: usize,
    /// For which partner.
    pub partner: usize,
    /// It must not take effect twice.
    pub once: bool,
    /// When, and until when it may be delivered.
    pub at_s: f64,
    /// See `at_s`.
    pub due_s: f64,
    /// The relay's answer, 0 where none came.
    pub status: u16,
}

/// A notice that a relay gave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// The message.
    pub id: String,
    /// Who gave it.
    pub relay: usize,
    /// When.
    pub at_s: f64,
    /// Handing it in again is promised to be harmless.
    pub handed_back: bool,
    /// When to come again.
    pub retry_in_ms: Option<u64>,
}

/// A span in which a relay was down or stopped, until it was ready again.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Down {
    /// The relay.
    pub relay: usize,
    /// From then.
    pub from_s: f64,
    /// Until then.
    pub to_s: f64,
    /// Its folder was lost.
    pub folder_lost: bool,
}

/// A request that was sent and got no answer.
#[derive(Clone, Debug)]
pub struct Unanswered {
    /// The message.
    pub id: String,
    /// To which relay.
    pub relay: usize,
    /// When it was sent, in seconds of the play.
    pub at_s: f64,
    /// When its client gave up, or its connection ended.
    pub ended_s: f64,
    /// What the client saw.
    pub why: String,
}

/// A span of one relay.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// The relay.
    pub relay: usize,
    /// From then.
    pub from_s: f64,
    /// Until then.
    pub to_s: f64,
}

impl Span {
    fn meets(&self, other: &Span) -> bool {
        self.from_s < other.to_s && other.from_s < self.to_s
    }
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Log {
    /// Messages by id.
    pub sent: HashMap<String, Sent>,
    /// Calls, in the order that they came.
    pub calls: Vec<Call>,
    /// Notices, in the order that they came.
    pub notices: Vec<Notice>,
    /// Who was down when.
    pub downs: Vec<Down>,
    /// Who was not ready when, as clients' front saw it.
    pub away: Vec<Span>,
    /// Who ended by itself in its turn, until it was ready again.
    pub turns: Vec<Span>,
    /// Processes that ended by themselves.
    pub crashes: Vec<String>,
    /// Calls whose message, body or key no client had sent.
    pub unknown_calls: Vec<String>,
    /// Requests that were sent and got no answer.
    pub unanswered: Vec<Unanswered>,
    /// Clients that wait to hear of a message.
    waiters: HashMap<String, oneshot::Sender<Option<u64>>>,
    open: HashMap<String, u32>,
    together: Vec<(String, f64)>,
}

/// Where all parts of a play note what they see.
#[derive(Clone, Debug, Default)]
pub struct Book(Arc<Mutex<Log>>);

/// A call that is out; dropped at its answer or when its connection ends.
pub struct Open(Book, String);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.with(|log| {
            if let Some(open) = log.open.get_mut(&self.1) {
                *open = open.saturating_sub(1);
            }
        });
    }
}

impl Book {
    /// Notes or reads.
    pub fn with<T>(&self, note: impl FnOnce(&mut Log) -> T) -> T {
        note(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A call came.
    pub fn called(&self, call: Call) -> Open {
        let id = call.id.clone();
        self.with(|log| {
            let open = log.open.entry(id.clone()).or_default();
            *open += 1;
            if *open > 1 {
                log.together.push((id.clone(), call.at_s));
            }
            log.calls.push(call);
        });
        Open(self.clone(), id)
    }

    /// Tells once a message is handed back, and when to come again.
    pub fn handed_back(&self, id: &str) -> oneshot::Receiver<Option<u64>> {
        let (tell, told) = oneshot::channel();
        self.with(|log| log.waiters.insert(id.into(), tell));
        told
    }

    /// A notice came.
    pub fn noticed(&self, id: &str, relay: usize, at_s: f64, handed_back: bool, retry_in_ms: Option<u64>) {
        let notice = Notice { id: id.into(), relay, at_s, handed_back, retry_in_ms };
        self.with(|log| {
            if let Some(waiter) = log.waiters.remove(id).filter(|_| handed_back) {
                let _ = waiter.send(retry_in_ms);
            }
            log.notices.push(notice);
        });
    }
}

/// A rule that was broken, with what was seen of its message or second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub trace: String,
}

/// What a phase came to.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Its name.
    pub phase: String,
    /// Delivered, a second, over all partners.
    pub delivered_per_s: f64,
    /// That, as a part of what the partners that were open take together.
    pub delivered: f64,
    /// Refused calls a second.
    pub refused_per_s: f64,
    /// The most calls in a sliding span of a partner, as a part of its limit, and where and when.
    pub most_calls: f64,
    /// Calls beyond `most_calls` times the limit and one, at the worst.
    pub over: f64,
    /// Partner and second of that.
    pub worst: (usize, f64),
    /// Calls to partners that were shut.
    pub trials: u64,
    /// Calls for each message delivered.
    pub calls: f64,
    /// First calls of messages, and further ones.
    pub calls_made: [usize; 2],
    /// Clients that were turned away.
    pub turned_away: usize,
    /// Messages of the phase that were taken on and ended otherwise than by delivery.
    pub given_up: usize,
    /// The worth of its messages that were delivered, as a part of what the oracle delivers of them.
    pub worth: f64,
    /// From handing in to the notice of what was given up: the median and the 90th of 100, in seconds.
    pub told_s: [f64; 2],
    /// Its charges that were not delivered, turned away ones among them, and of these the ones after whose end a
    /// status-update was delivered to their partner while they could still have been.
    pub charges_lost: [usize; 2],
    /// Clients of it that came again as they were told, and of these the ones that were taken on.
    pub came_back: [usize; 2],
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Rules that were broken.
    pub findings: Vec<Finding>,
    /// Bounds of phases that did not hold.
    pub missed: Vec<String>,
    /// Each phase.
    pub phases: Vec<Figures>,
    /// Messages handed in, taken on, and delivered.
    pub messages: [usize; 3],
    /// Worth delivered, of what was taken on.
    pub worth: f64,
    /// From handing in to a notice, the median in seconds.
    pub told_after_s: f64,
    /// Ends later than their time by more than the slack.
    pub late: usize,
    /// Calls to partners for each message delivered.
    pub calls_per_delivery: f64,
}

/// What a message of either class is worth.
pub fn worth(once: bool) -> f64 {
    if once { 3.0 } else { 1.0 }
}

/// Looks through all that was seen, once everything has had time to end.
pub fn audit(scenario: &Scenario, log: &Log) -> Verdict {
    let mut by_id: HashMap<&str, Vec<&Call>> = HashMap::new();
    log.calls.iter().for_each(|call| by_id.entry(&call.id).or_default().push(call));
    let mut notices: HashMap<&str, Vec<&Notice>> = HashMap::new();
    log.notices.iter().for_each(|notice| notices.entry(&notice.id).or_default().push(notice));
    let mut broken: BTreeMap<&'static str, Vec<String>> = BTreeMap::new();
    let mut find = |rule, trace: String| broken.entry(rule).or_default().push(trace);
    let (mut taken, mut delivered, mut late) = (0, 0, 0);
    let (mut worth_taken, mut worth_delivered) = (0.0, 0.0);
    let mut told = Histogram::<u64>::new(3).ok();
    for (id, sent) in &log.sent {
        let calls = by_id.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        let notices = notices.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        let trace = || trace(id, sent, calls, notices);
        let ran = |call: &&&Call| !matches!(call.got, Got::Refused | Got::Over | Got::Spent);
        if sent.once && calls.iter().take(calls.len().saturating_sub(1)).any(|call| ran(&call)) {
            find("a charge was called again after a call that may have run", trace());
        }
        if calls.len() > MOST_ATTEMPTS {
            find("more attempts than may be", trace());
        }
        if sent.once && notices.iter().any(|n| n.handed_back) && calls.iter().any(|call| ran(&call)) {
            find("a charge that may have run was handed back", trace());
        }
        let done = calls.iter().find(|call| call.got == Got::Delivered);
        if !matches!(sent.status, 200 | 202) {
            continue;
        }
        taken += 1;
        worth_taken += worth(sent.once);
        if done.is_some() {
            delivered += 1;
            worth_delivered += worth(sent.once);
        }
        let over = calls.iter().find(|call| call.got == Got::Over);
        let end = done.or(over).map(|call| call.at_s).into_iter().chain(notices.iter().map(|n| n.at_s));
        let end = end.fold(f64::INFINITY, f64::min);
        if done.or(over).is_none()
            && end.is_finite()
            && let Some(told) = &mut told
        {
            let _ = told.record(((end - sent.at_s).max(0.0) * 1000.0) as u64);
        }
        // Nobody can tell an end while its relay is down; one whose folder is lost knows of nothing.
        let downs = log.downs.iter().filter(|down| down.relay == sent.relay);
        let excused = downs.clone().any(|down| down.folder_lost && down.to_s > sent.at_s);
        let due = downs.filter(|down| down.from_s < sent.due_s + SLACK_S && down.to_s > sent.at_s).fold(
            sent.due_s + SLACK_S,
            |due, down| {
                // A message that lay unread at one that was stopped has its time from when it was read.
                let unread = if down.from_s < sent.at_s { down.to_s - sent.at_s } else { 0.0 };
                due.max(down.to_s + READY_SLACK_S).max(sent.due_s + unread + SLACK_S)
            },
        );
        if end > due && !excused {
            late += 1;
            find(if end.is_finite() { "an end came late" } else { "a message was lost" }, trace());
        }
    }
    for (id, at_s) in &log.together {
        find("two calls of a message were out", format!("{id} at {at_s:.3}"));
    }
    for call in log.calls.iter().filter(|call| call.pushed_over) {
        find("a returning partner was pushed over", format!("partner {} at {:.3}", call.partner, call.at_s));
    }
    waits(scenario, log, &mut find);
    turns(scenario, log, &mut find);
    log.crashes.iter().for_each(|crash| find("a process ended by itself", crash.clone()));
    let findings = broken.into_iter().flat_map(|(rule, traces)| {
        traces.into_iter().take(MOST_TOLD).map(move |trace| Finding { rule, trace })
    });
    let findings = findings.collect();
    let best = served(scenario, log);
    let phases: Vec<Figures> = scenario
        .phases
        .iter()
        .map(|phase| figures(scenario, log, phase.get_ref(), &notices, &best))
        .collect();
    let bounds = scenario.phases.iter().map(|phase| phase.get_ref());
    let mut missed: Vec<String> = bounds
        .zip(&phases)
        .flat_map(|(phase, figures)| missed(phase, scenario.each_partner().len(), figures))
        .collect();
    missed.extend(not_out(scenario, log));
    Verdict {
        findings,
        missed,
        phases,
        messages: [log.sent.len(), taken, delivered],
        worth: worth_delivered / f64::max(worth_taken, 1.0),
        told_after_s: told.map_or(0.0, |told| told.value_at_quantile(0.5) as f64 / 1000.0),
        late,
        calls_per_delivery: log.calls.len() as f64 / f64::max(delivered as f64, 1.0),
    }
}

/// No relay calls a partner that told it to wait.
fn waits(scenario: &Scenario, log: &Log, find: &mut impl FnMut(&'static str, String)) {
    let partners = scenario.each_partner();
    let mut until: HashMap<(usize, usize), (f64, f64)> = HashMap::new();
    for call in &log.calls {
        let key = (call.partner, call.relay);
        let restarted = |at: f64| log.downs.iter().any(|d| d.relay == call.relay && d.to_s >= at);
        if let Some((told, until)) = until.get(&key)
            && call.at_s > told + WAIT_SLACK_S
            && call.at_s < *until
            && !restarted(*told)
        {
            let trace = format!("{} by relay {} at {:.3}, until {until:.3}", call.id, call.relay, call.at_s);
            find("a call came inside a told wait", trace);
        }
        let wait_ms = partners.get(call.partner).map_or(0, |partner| partner.wait_ms);
        if call.got == Got::Refused && wait_ms > 0 {
            let ends = call.at_s + wait_ms as f64 / 1000.0;
            let entry = until.entry(key).or_insert((call.at_s, ends));
            *entry = (call.at_s, entry.1.max(ends));
        }
    }
}

/// Who was away from clients for its turn: the spans in which it was not ready and its process ended by itself.
pub fn out(log: &Log) -> Vec<Span> {
    let own = |span: &&Span| log.turns.iter().any(|turn| turn.relay == span.relay && turn.meets(span));
    log.away.iter().filter(own).copied().collect()
}

/// No more are out by turns than may be, nor two of a zone.
fn turns(scenario: &Scenario, log: &Log, find: &mut impl FnMut(&'static str, String)) {
    let out = out(log);
    for span in &out {
        let with = out.iter().filter(|other| (other.from_s..other.to_s).contains(&span.from_s));
        let with: Vec<usize> = with.map(|other| other.relay).collect();
        if with.len() > usize::from(scenario.turns) {
            find("more were out than may be", format!("relays {with:?} at {:.3}", span.from_s));
        }
        let zone = |relay: &&usize| scenario.zone(**relay) == scenario.zone(span.relay);
        if with.iter().filter(zone).count() > 1 {
            find("two of a zone were out", format!("relays {with:?} at {:.3}", span.from_s));
        }
    }
}

/// Who was wished out and has not been out and back in time.
fn not_out(scenario: &Scenario, log: &Log) -> Option<String> {
    let wishes = scenario.faults.iter().filter_map(|fault| match &fault.get_ref().what {
        What::Wish { relays, .. } => Some((relays.clone(), fault.get_ref().to_s)),
        _ => None,
    });
    let was = |relay: usize, by: f64| log.turns.iter().any(|turn| turn.relay == relay && turn.to_s <= by);
    let left: Vec<usize> =
        wishes.flat_map(|(relays, by)| relays.filter(move |relay| !was(*relay, by))).collect();
    (!left.is_empty()).then(|| format!("relays {left:?} were not out and back in time"))
}

/// All that was seen of one message, in a line.
fn trace(id: &str, sent: &Sent, calls: &[&Call], notices: &[&Notice]) -> String {
    let class = if sent.once { "paid-extra" } else { "status-update" };
    let mut text = format!(
        "{id} {class} for {} at {:.3} to relay {}: {}, due {:.3}",
        sent.partner, sent.at_s, sent.relay, sent.status, sent.due_s
    );
    for call in calls {
        text += &format!("; {:.3} relay {} {:?}", call.at_s, call.relay, call.got);
    }
    for notice in notices {
        let what = if notice.handed_back { "handed back" } else { "given up" };
        text += &format!("; {:.3} relay {} {what}", notice.at_s, notice.relay);
    }
    text
}

fn figures(
    scenario: &Scenario, log: &Log, phase: &Phase, notices: &HashMap<&str, Vec<&Notice>>,
    best: &HashSet<&str>,
) -> Figures {
    let within = |at_s: f64| (phase.from_s..phase.to_s).contains(&at_s);
    let span = phase.to_s - phase.from_s;
    let calls: Vec<&Call> = log.calls.iter().filter(|call| within(call.at_s)).collect();
    let count = |got: Got| calls.iter().filter(|call| call.got == got).count() as f64;
    let partners = scenario.each_partner();
    let middle = (phase.from_s + phase.to_s) / 2.0;
    let open = |partner: &usize| !trouble(scenario, middle, *partner, 0).shut;
    let full: f64 = partners.iter().enumerate().filter(|(n, _)| open(n)).map(|(_, p)| p.per_s).sum();
    let (mut most_calls, mut over, mut worst) = (0.0, f64::MIN, (0, phase.from_s));
    for (number, partner) in partners.iter().enumerate() {
        let times: Vec<f64> = calls.iter().filter(|c| c.partner == number).map(|c| c.at_s).collect();
        let mut first = 0;
        for (n, at) in times.iter().enumerate() {
            while at - times[first] >= partner.span_s {
                first += 1;
            }
            let there = (n - first + 1) as f64;
            let limit = partner.per_s * partner.span_s * trouble(scenario, times[first], number, 0).lowered;
            let beyond = there - phase.most_calls.unwrap_or(1.0) * limit - 1.0;
            if beyond > over {
                (over, worst) = (beyond, (number, *at));
            }
            most_calls = f64::max(most_calls, there / limit);
        }
    }
    // Calls are noted in the order that they came.
    let mut met = HashSet::new();
    let firsts = log.calls.iter().filter(|call| met.insert(call.id.as_str()) && within(call.at_s)).count();
    let of_phase = || log.sent.iter().filter(|(_, sent)| within(sent.at_s));
    let taken = |sent: &Sent| matches!(sent.status, 200 | 202);
    let delivered = log.calls.iter().filter(|call| call.got == Got::Delivered);
    let delivered: HashMap<&str, &Call> = delivered.map(|call| (call.id.as_str(), call)).collect();
    let sum = |served: &dyn Fn(&str) -> bool| -> f64 {
        of_phase().filter(|(id, _)| served(id)).map(|(_, sent)| worth(sent.once)).sum()
    };
    let told_at = |id: &str| notices.get(id).and_then(|notices| notices.first()).map(|notice| notice.at_s);
    let told = of_phase().filter_map(|(id, sent)| Some(told_at(id)? - sent.at_s));
    let mut told: Vec<f64> = told.collect();
    told.sort_by(f64::total_cmp);
    let part = |part: usize| told.get((told.len() * part / 100).min(told.len().saturating_sub(1)));
    let lost =
        of_phase().filter(|(id, sent)| sent.once && sent.status != 0 && !delivered.contains_key(id.as_str()));
    let lost: Vec<(&String, &Sent)> = lost.collect();
    let passed = |(id, charge): &&(&String, &Sent)| {
        let end = told_at(id).unwrap_or(charge.at_s);
        let after =
            |call: &&&Call| call.partner == charge.partner && (end..charge.due_s).contains(&call.at_s);
        let others = delivered.values().filter(after).filter_map(|call| log.sent.get(&call.id));
        others.into_iter().any(|sent| !sent.once)
    };
    let again = |id: &str| id.contains(AGAIN);
    let came_back = of_phase().filter(|(id, sent)| again(id) && taken(sent)).count();
    let charges_lost = [lost.len(), lost.iter().filter(passed).count()];
    Figures {
        worth: sum(&|id| delivered.contains_key(id)) / sum(&|id| best.contains(id)).max(1.0),
        told_s: [50, 90].map(|n| part(n).copied().unwrap_or(0.0)),
        charges_lost,
        came_back: [of_phase().filter(|(id, _)| again(id)).count(), came_back],
        phase: phase.name.clone(),
        delivered_per_s: count(Got::Delivered) / span,
        delivered: count(Got::Delivered) / span / full.max(0.001),
        refused_per_s: calls.iter().filter(|c| c.got == Got::Refused).count() as f64 / span,
        most_calls,
        over: over.max(0.0),
        worst,
        trials: calls.iter().filter(|call| call.shut).count() as u64,
        calls: calls.len() as f64 / count(Got::Delivered).max(1.0),
        calls_made: [firsts, calls.len() - firsts],
        turned_away: of_phase().filter(|(_, sent)| matches!(sent.status, 429 | 503)).count(),
        given_up: of_phase().filter(|(id, sent)| taken(sent) && notices.contains_key(id.as_str())).count(),
    }
}

fn missed(phase: &Phase, partners: usize, figures: &Figures) -> Vec<String> {
    let mut missed = Vec::new();
    let name = &phase.name;
    if phase.most_calls.is_some() && figures.over > 0.0 {
        let (partner, at_s) = figures.worst;
        missed.push(format!(
            "{name}: {:.1} calls over the bound of partner {partner} at {at_s:.2}",
            figures.over
        ));
    }
    if let Some(most) = phase.refused_per_s.filter(|most| figures.refused_per_s > *most) {
        missed.push(format!("{name}: {:.1} refused calls a second, over {most}", figures.refused_per_s));
    }
    if let Some(least) = phase.delivered.filter(|least| figures.delivered < *least) {
        missed.push(format!("{name}: {:.2} of the limit delivered, under {least}", figures.delivered));
    }
    if let Some(most) = phase.trials.filter(|most| figures.trials > *most) {
        missed.push(format!("{name}: {} trials, over {most}", figures.trials));
    }
    if let Some(most) = phase.calls.filter(|most| figures.calls > *most) {
        missed.push(format!("{name}: {:.2} calls a delivery, over {most}", figures.calls));
    }
    let [firsts, repeats] = figures.calls_made;
    let earned = |part: f64| part * firsts as f64 + (phase.to_s - phase.from_s) * partners as f64;
    if let Some(part) = phase.repeats.filter(|part| repeats as f64 > earned(*part)) {
        missed.push(format!(
            "{name}: {repeats} further calls for {firsts} first ones, over {:.0}",
            earned(part)
        ));
    }
    missed
}

#[cfg(test)]
mod tests {
    use super::*;

    const WORLD: &str = "about = \"x\"\nrelays = 2\nseconds = 9\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\n\
        wait_ms = 500\n[[phase]]\nname = \"all\"\nfrom_s = 0\nto_s = 9\nmost_calls = 1.0\n";

    fn call(id: &str, at_s: f64, got: Got) -> Call {
        Call { id: id.into(), partner: 0, relay: 0, at_s, shut: false, got, pushed_over: false }
    }

    fn sent(once: bool) -> Sent {
        Sent { relay: 0, partner: 0, once, at_s: 0.0, due_s: 6.0, status: 202 }
    }

    /// The rules that the auditor finds broken in what one message went through.
    fn rules(once: bool, notes: impl FnOnce(&mut Log)) -> Vec<&'static str> {
        let mut log = Log::default();
        log.sent.insert("m".into(), sent(once));
        notes(&mut log);
        let scenario = Scenario::read(WORLD).expect("it makes sense");
        let mut rules: Vec<_> = audit(&scenario, &log).findings.into_iter().map(|f| f.rule).collect();
        rules.dedup();
        rules
    }

    fn notice(at_s: f64, handed_back: bool) -> Notice {
        Notice { id: "m".into(), relay: 0, at_s, handed_back, retry_in_ms: None }
    }

    #[test]
    fn each_planted_break_is_found_and_what_is_right_is_not() {
        let well = |log: &mut Log| log.calls = vec![call("m", 1.0, Got::Delivered)];
        assert_eq!(rules(true, well), [""; 0]);
        let refused_first =
            |log: &mut Log| log.calls = vec![call("m", 1.0, Got::Refused), call("m", 3.0, Got::Delivered)];
        assert_eq!(rules(true, refused_first), [""; 0]);
        assert_eq!(rules(false, |log| log.notices.push(notice(6.2, false))), [""; 0]);
        assert_eq!(rules(false, |log| log.notices.push(notice(6.4, false))), ["an end came late"]);
        assert_eq!(rules(false, |_| {}), ["a message was lost"]);
        let twice =
            |log: &mut Log| log.calls = vec![call("m", 1.0, Got::Failed), call("m", 3.0, Got::Delivered)];
        assert_eq!(rules(true, twice), ["a charge was called again after a call that may have run"]);
        assert_eq!(rules(false, twice), [""; 0], "what may be repeated may be");
        let back = |log: &mut Log| {
            log.calls = vec![call("m", 1.0, Got::Failed)];
            log.notices = vec![notice(2.0, true)];
        };
        assert_eq!(rules(true, back), ["a charge that may have run was handed back"]);
        let often = |log: &mut Log| {
            log.calls = (0..12).map(|n| call("m", f64::from(n), Got::Refused)).collect();
            log.calls.push(call("m", 12.0, Got::Delivered));
            log.sent.get_mut("m").expect("it was sent").due_s = 20.0;
        };
        assert_eq!(rules(false, often), ["more attempts than may be"]);
        let soon =
            |log: &mut Log| log.calls = vec![call("m", 1.0, Got::Refused), call("m", 1.3, Got::Delivered)];
        assert_eq!(rules(false, soon), ["a call came inside a told wait"]);
    }

    #[test]
    fn two_that_are_out_together_are_found_and_one_after_the_other_is_not() {
        let book = Book::default();
        drop(book.called(call("m", 1.0, Got::Failed)));
        drop(book.called(call("m", 2.0, Got::Failed)));
        assert!(book.with(|log| log.together.is_empty()));
        let _first = book.called(call("m", 3.0, Got::Nothing));
        let _second = book.called(call("m", 3.5, Got::Nothing));
        assert!(book.with(|log| log.together.len() == 1));
    }

    #[test]
    fn an_end_that_a_dead_relay_cannot_tell_is_not_late_and_one_it_could_have_told_is() {
        let down = Down { relay: 0, from_s: 4.0, to_s: 8.0, folder_lost: false };
        let told = |at_s| {
            rules(false, |log| {
                log.downs.push(down);
                log.notices.push(notice(at_s, false));
            })
        };
        assert_eq!(told(9.4), [""; 0]);
        assert_eq!(told(9.6), ["an end came late"]);
    }

    #[test]
    fn calls_are_counted_over_any_second_not_by_the_clock() {
        let calls = [0.5, 0.9, 1.1, 1.2, 1.3, 1.45].map(|at| call("m", at, Got::Delivered)).to_vec();
        let log = Log { calls, ..Log::default() };
        let verdict = audit(&Scenario::read(WORLD).expect("it makes sense"), &log);
        assert_eq!(verdict.phases[0].most_calls, 1.5);
        assert_eq!(verdict.missed, ["all: 1.0 calls over the bound of partner 0 at 1.45"]);
    }
}
