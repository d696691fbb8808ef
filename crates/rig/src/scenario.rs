//! What is to be played: fleet, partners, load, faults in time, and the bounds that must hold, read from TOML and
//! checked whole. Owns the file's form. It must never let a misspelt key or a fault that names nobody pass.

use std::ops::Range;
use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use toml::Spanned;

use crate::anchor::plan::Plan;

/// The most relays of a play: each has an address of its own in one network of loopback.
pub const MOST_RELAYS: usize = 200;
/// The longest play, in seconds.
const MOST_SECONDS: f64 = 600.0;
/// The most messages a second that one machine is asked for.
const MOST_PER_S: f64 = 5000.0;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in one line.
    pub about: String,
    /// Processes.
    pub relays: usize,
    /// How long clients hand messages in; then what is held may end.
    pub seconds: f64,
    /// So many relays may be out by turns; they take none where it is zero.
    #[serde(default)]
    pub turns: u8,
    /// Zones, each of so many relays as the others, in the order of numbers; one for each relay where it is zero.
    #[serde(default)]
    pub zones: usize,
    /// The directory lists partners by the addresses of proxies before them.
    #[serde(default)]
    pub proxied: bool,
    /// Notes between relays.
    #[serde(default)]
    pub notes: Notes,
    /// What clients do.
    pub load: Load,
    /// Partners, one a destination each.
    #[serde(rename = "partner")]
    pub partners: Vec<Spanned<Partners>>,
    /// What breaks, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// Spans of the play with what must hold in them.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Spanned<Phase>>,
    /// How `rig anchor` measures with it; a play takes no notice.
    #[serde(default)]
    pub anchor: Option<Plan>,
}

/// Notes between relays where nothing is broken.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    /// The least and the most delay, in milliseconds.
    pub delay_ms: [f64; 2],
}

impl Default for Notes {
    fn default() -> Self {
        Notes { delay_ms: [2.0, 22.0] }
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages a second, by a Poisson process with intended times: a late answer holds no later message back.
    pub per_s: f64,
    /// For how long a message may be delivered.
    #[serde(default = "six_seconds")]
    pub time_left_ms: u64,
    /// The part of the messages that must not take effect twice.
    #[serde(default = "three_tenths")]
    pub paid_extra: f64,
    /// The first relay gets so many times what each other gets.
    #[serde(default = "one")]
    pub skew: f64,
    /// From then to then, in seconds, so many times the load; the first that holds counts.
    #[serde(default)]
    pub surge: Vec<Surge>,
    /// The part of the clients that come again when they are told to, with what is left of their time; others give up.
    #[serde(default)]
    pub come_back: f64,
    /// All messages go to these relays; to all where it is empty.
    #[serde(default)]
    pub only: Vec<usize>,
}

/// A surge.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Its begin.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// So many times the load.
    pub times: f64,
}

/// Partners of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partners {
    /// How many.
    #[serde(default = "one_partner")]
    pub count: usize,
    /// What each takes, in calls a second.
    pub per_s: f64,
    /// Over which span it counts, in seconds.
    #[serde(default = "one")]
    pub span_s: f64,
    /// A call that it refuses uses its limit up as well.
    #[serde(default)]
    pub refusals_count: bool,
    /// Refusals tell to wait so long.
    #[serde(default)]
    pub wait_ms: u64,
    /// Its answers report the limit, off by up to this part either way.
    #[serde(default)]
    pub report_noise: Option<f64>,
    /// Once it was shut, it is back at 0.16 of its limit and warm after this, in seconds; warm at once where zero.
    #[serde(default)]
    pub cold_s: f64,
    /// The directory lists its limit; else relays learn it by refusals and reports alone.
    #[serde(default = "yes")]
    pub listed: bool,
    /// It answers this part of calls with 410, as their messages are over.
    #[serde(default)]
    pub over: f64,
    /// It answers this part of calls with 504, as their messages have had all their attempts.
    #[serde(default)]
    pub spent: f64,
    /// How long a call takes, the least and the most, in milliseconds.
    #[serde(default = "usual_work")]
    pub work_ms: [f64; 2],
}

/// A fault, from then to then, in seconds from the begin of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct Fault {
    /// Its begin.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// It is there and gone in turns of so long, in seconds; all the time where zero.
    pub flap_s: f64,
    /// What breaks.
    pub what: What,
}

impl TryFrom<toml::Table> for Fault {
    type Error = String;

    /// The times stand beside what breaks; any key but these and its own is an error.
    fn try_from(mut table: toml::Table) -> Result<Self, String> {
        let mut time = |key: &str, fallback: Option<f64>| {
            let found = table.remove(key);
            let read = |value: &toml::Value| value.as_float().or(value.as_integer().map(|n| n as f64));
            found.as_ref().map_or(fallback, read).ok_or(format!("{key}: expected a number of seconds"))
        };
        let (from_s, to_s) = (time("from_s", None)?, time("to_s", None)?);
        let flap_s = time("flap_s", Some(0.0))?;
        let what = What::deserialize(table).map_err(|error| error.message().to_string())?;
        Ok(Fault { from_s, to_s, flap_s, what })
    }
}

/// What breaks.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Relays hear only those of their own part; parts are so large, in the order of numbers.
    Split {
        /// The sizes.
        parts: Vec<usize>,
    },
    /// These relays hear no notes, and are heard.
    Deaf {
        /// Which.
        relays: Range<usize>,
    },
    /// These relays' notes are not heard, and they hear.
    Mute {
        /// Which.
        relays: Range<usize>,
    },
    /// Notes are lost, each by this chance.
    Loss {
        /// The chance.
        part: f64,
    },
    /// Notes take so long.
    Late {
        /// The least and the most, in milliseconds.
        ms: [f64; 2],
    },
    /// Notes come twice, each by this chance.
    Twice {
        /// The chance.
        part: f64,
    },
    /// One byte of a note is another, by this chance.
    Corrupt {
        /// The chance.
        part: f64,
    },
    /// These relays are killed (SIGKILL), and started again at the end.
    Kill {
        /// Which.
        relays: Range<usize>,
        /// Their folders are lost.
        #[serde(default)]
        folder_lost: bool,
    },
    /// These relays are stopped (SIGSTOP), and go on at the end.
    Freeze {
        /// Which.
        relays: Range<usize>,
    },
    /// These relays are ended (SIGTERM) and started again, one after the other, over the span.
    Roll {
        /// Which.
        relays: Range<usize>,
    },
    /// These relays are wished out in the same moment, all at the first of them; each that ends by itself is started again
    /// after its work. All have to be back by the end.
    Wish {
        /// Which.
        relays: Range<usize>,
        /// How long the work takes, in seconds.
        #[serde(default = "half_a_second")]
        work_s: f64,
    },
    /// These partners refuse all.
    Shut {
        /// Which.
        partners: Range<usize>,
    },
    /// These partners fail quickly, each call by this chance.
    Fails {
        /// Which.
        partners: Range<usize>,
        /// The chance.
        part: f64,
    },
    /// These partners take this part of what they take else.
    Lower {
        /// Which.
        partners: Range<usize>,
        /// The part.
        to: f64,
    },
    /// These relays' calls to all partners stay without an answer.
    Silent {
        /// Which.
        relays: Range<usize>,
    },
    /// Discovery says nothing to these relays.
    NoDiscovery {
        /// Which.
        relays: Range<usize>,
    },
}

/// A span of the play, and what must hold in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// Its begin, in seconds.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// Calls in any sliding span of a partner are at most this part of its limit, and one.
    pub most_calls: Option<f64>,
    /// Refused calls a second, over all partners.
    pub refused_per_s: Option<f64>,
    /// Delivered, as a part of what the partners take together.
    pub delivered: Option<f64>,
    /// Calls to partners that are shut, in all.
    pub trials: Option<u64>,
    /// Further calls of messages, beyond one a second and partner, are at most this part of first ones.
    pub repeats: Option<f64>,
    /// Calls for each delivery.
    pub calls: Option<f64>,
}

impl What {
    /// The relays that it names.
    fn relays(&mut self) -> Option<&mut Range<usize>> {
        match self {
            What::Deaf { relays }
            | What::Mute { relays }
            | What::Kill { relays, .. }
            | What::Freeze { relays }
            | What::Roll { relays }
            | What::Wish { relays, .. }
            | What::Silent { relays }
            | What::NoDiscovery { relays } => Some(relays),
            _ => None,
        }
    }
}

impl Fault {
    /// Whether it is there at that time.
    pub fn there(&self, at_s: f64) -> bool {
        let within = (self.from_s..self.to_s).contains(&at_s);
        let turn = self.flap_s > 0.0 && ((at_s - self.from_s) / self.flap_s) as u64 % 2 == 1;
        within && !turn
    }
}

impl Scenario {
    /// The zone of a relay.
    pub fn zone(&self, relay: usize) -> usize {
        if self.zones == 0 { relay } else { relay * self.zones / self.relays }
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// The first thing that makes no sense, by file, line and key.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Self::read(&text).with_context(|| file.display().to_string())
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// The first thing that makes no sense, by line and key.
    pub fn read(text: &str) -> Result<Self> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check(text)?;
        Ok(scenario)
    }

    /// The same with so many relays: what names relays names the same part of them. Load and partners stay as they are.
    ///
    /// # Errors
    /// Where what it says makes no sense among so many.
    pub fn resized(mut self, relays: usize) -> Result<Self> {
        let old = std::mem::replace(&mut self.relays, relays);
        let place = |relay: usize| relay * relays / old.max(1);
        let resized = |range: &mut Range<usize>| {
            let from = place(range.start).min(relays.saturating_sub(1));
            *range = from..place(range.end).max(from + 1);
        };
        self.load.only = self.load.only.iter().map(|relay| place(*relay)).collect();
        self.load.only.dedup();
        for fault in &mut self.faults {
            match &mut fault.get_mut().what {
                What::Split { parts } => {
                    let mut end = 0;
                    let ends: Vec<usize> = parts.iter().map(|size| (end += size, place(end)).1).collect();
                    let begins = std::iter::once(0).chain(ends.iter().copied());
                    *parts = begins.zip(&ends).map(|(begin, end)| (end - begin).max(1)).collect();
                    // A part of one that was rounded up takes its place from the largest.
                    while parts.iter().sum::<usize>() > relays
                        && let Some(largest) = parts.iter_mut().max()
                    {
                        *largest -= 1;
                    }
                }
                what => what.relays().into_iter().for_each(resized),
            }
        }
        self.check("").with_context(|| format!("with {relays} relays"))?;
        Ok(self)
    }

    /// The same with a load of so many seconds; a fault that lasts to the end still does.
    ///
    /// # Errors
    /// Where what it says makes no sense within so long.
    pub fn lasting(mut self, seconds: f64) -> Result<Self> {
        let old = std::mem::replace(&mut self.seconds, seconds);
        for fault in &mut self.faults {
            let fault = fault.get_mut();
            if fault.to_s == old {
                fault.to_s = seconds;
            }
        }
        self.check("").with_context(|| format!("with {seconds} seconds"))?;
        Ok(self)
    }

    /// Each partner's terms, in the order of destinations.
    pub fn each_partner(&self) -> Vec<Partners> {
        let partners = self.partners.iter().map(Spanned::get_ref);
        partners.flat_map(|kind| std::iter::repeat_n(kind.clone(), kind.count)).collect()
    }

    /// What is broken at that time.
    pub fn broken(&self, at_s: f64) -> impl Iterator<Item = &What> {
        let faults = self.faults.iter().map(Spanned::get_ref);
        faults.filter(move |fault| fault.there(at_s)).map(|fault| &fault.what)
    }

    /// What all partners take together, in calls a second.
    pub fn full(&self) -> f64 {
        self.each_partner().iter().map(|partner| partner.per_s).sum()
    }

    fn check(&self, text: &str) -> Result<()> {
        let line = |at: usize| text.get(..at).unwrap_or(text).matches('\n').count() + 1;
        let need = |sound: bool, at: usize, key: &str, expected: &str| {
            if !sound {
                bail!("line {}: {key}: expected {expected}", line(at));
            }
            Ok(())
        };
        let whole = 0;
        need((1..=MOST_RELAYS).contains(&self.relays), whole, "relays", &format!("1 to {MOST_RELAYS}"))?;
        need(self.seconds > 0.0 && self.seconds <= MOST_SECONDS, whole, "seconds", "over 0, at most 600")?;
        let Load { per_s, paid_extra, skew, only, come_back, .. } = &self.load;
        need(*per_s > 0.0 && *per_s <= MOST_PER_S, whole, "load.per_s", "over 0, at most 5000")?;
        need((0.0..=1.0).contains(paid_extra), whole, "load.paid_extra", "0 to 1")?;
        need((0.0..=1.0).contains(come_back), whole, "load.come_back", "0 to 1")?;
        need(*skew > 0.0 && skew.is_finite(), whole, "load.skew", "over 0")?;
        need(only.iter().all(|relay| *relay < self.relays), whole, "load.only", "relays of the fleet")?;
        let spread = |[least, most]: [f64; 2]| least >= 0.0 && least <= most && most <= 60_000.0;
        need(spread(self.notes.delay_ms), whole, "notes.delay_ms", "the least and the most, up to a minute")?;
        for kind in &self.partners {
            let (at, partner) = (kind.span().start, kind.get_ref());
            need(partner.per_s > 0.0 && partner.per_s.is_finite(), at, "partner.per_s", "over 0")?;
            need(partner.span_s > 0.0 && partner.span_s.is_finite(), at, "partner.span_s", "over 0")?;
            need(spread(partner.work_ms), at, "partner.work_ms", "the least and the most, up to a minute")?;
        }
        let count = self.each_partner().len();
        need((1..=100).contains(&count), whole, "partner", "1 to 100 partners")?;
        let within = |all: usize, some: &Range<usize>| !some.is_empty() && some.end <= all;
        let chance = |part: f64| (0.0..=1.0).contains(&part);
        for fault in &self.faults {
            let (at, fault) = (fault.span().start, fault.get_ref());
            let timely = 0.0 <= fault.from_s && fault.from_s < fault.to_s && fault.to_s <= self.seconds;
            need(timely, at, "fault.to_s", "after from_s and within the play")?;
            need(fault.flap_s == 0.0 || fault.flap_s >= 0.05, at, "fault.flap_s", "0, or 0.05 and more")?;
            let named = fault.what.clone().relays().is_none_or(|relays| within(self.relays, relays));
            need(named, at, "fault.relays", "relays of the fleet")?;
            match &fault.what {
                What::Split { parts } => {
                    let whole = parts.len() > 1 && !parts.contains(&0);
                    let all = whole && parts.iter().sum::<usize>() == self.relays;
                    need(all, at, "fault.parts", "sizes that add up to the relays")?;
                }
                What::Loss { part } | What::Twice { part } | What::Corrupt { part } => {
                    need(chance(*part), at, "fault.part", "0 to 1")?;
                }
                What::Late { ms } => need(spread(*ms), at, "fault.ms", "the least and the most")?,
                What::Shut { partners } => need(within(count, partners), at, "fault.partners", "partners")?,
                What::Fails { partners, part } | What::Lower { partners, to: part } => {
                    need(within(count, partners), at, "fault.partners", "partners")?;
                    need(chance(*part), at, "fault.part", "0 to 1")?;
                }
                _ => {}
            }
            let process = matches!(
                fault.what,
                What::Kill { .. } | What::Freeze { .. } | What::Roll { .. } | What::Wish { .. }
            );
            let wish = matches!(fault.what, What::Wish { .. });
            need(!wish || self.turns > 0, at, "fault.kind", "turns over 0 where relays are wished out")?;
            need(!process || fault.flap_s == 0.0, at, "fault.flap_s", "0 where processes are stopped")?;
        }
        if let Some(plan) = &self.anchor {
            plan.check(self.seconds)?;
        }
        for phase in &self.phases {
            let (at, phase) = (phase.span().start, phase.get_ref());
            let timely = 0.0 <= phase.from_s && phase.from_s < phase.to_s && phase.to_s <= self.seconds;
            need(timely, at, "phase.to_s", "after from_s and within the play")?;
        }
        Ok(())
    }
}

fn half_a_second() -> f64 {
    0.5
}

fn six_seconds() -> u64 {
    6000
}

fn three_tenths() -> f64 {
    0.3
}

fn one() -> f64 {
    1.0
}

fn one_partner() -> usize {
    1
}

fn yes() -> bool {
    true
}

fn usual_work() -> [f64; 2] {
    [20.0, 60.0]
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "about = \"x\"\nrelays = 3\nseconds = 4\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\n";

    #[test]
    fn a_scenario_of_another_size_breaks_the_same_part_of_the_fleet() {
        let text = "about = \"x\"\nrelays = 12\nseconds = 9\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\n\
            [[fault]]\nfrom_s = 1\nto_s = 2\nkind = \"split\"\nparts = [11, 1]\n\
            [[fault]]\nfrom_s = 3\nto_s = 4\nkind = \"deaf\"\nrelays = {start = 8, end = 12}\n";
        for (relays, split, deaf) in [(3, [2, 1], 2..3), (30, [27, 3], 20..30)] {
            let sized = Scenario::read(text).and_then(|s| s.resized(relays)).expect("it makes sense");
            let what: Vec<&What> = sized.faults.iter().map(|fault| &fault.get_ref().what).collect();
            assert!(matches!(what[0], What::Split { parts } if *parts == split), "{what:?}");
            assert!(matches!(what[1], What::Deaf { relays } if *relays == deaf), "{what:?}");
        }
        assert!(Scenario::read(text).and_then(|s| s.resized(1)).is_err(), "one cannot be split");
    }

    #[test]
    fn what_makes_no_sense_is_named_by_line_and_key() {
        assert!(Scenario::read(GOOD).is_ok());
        let fault = |text: &str| Scenario::read(&format!("{GOOD}[[fault]]\n{text}\n"));
        assert!(fault("from_s = 1\nto_s = 2\nkind = \"split\"\nparts = [1, 2]").is_ok());
        for (text, named) in [
            ("from_s = 1\nto_s = 2\nkind = \"split\"\nparts = [1, 1]", "line 8: fault.parts"),
            ("from_s = 3\nto_s = 2\nkind = \"loss\"\npart = 0.5", "line 8: fault.to_s"),
            ("from_s = 1\nto_s = 9\nkind = \"loss\"\npart = 0.5", "line 8: fault.to_s"),
            ("from_s = 1\nto_s = 2\nkind = \"loss\"\npart = 1.5", "line 8: fault.part"),
            ("from_s = 1\nto_s = 2\nkind = \"deaf\"\nrelays = {start = 1, end = 4}", "fault.relays"),
            ("from_s = 1\nto_s = 2\nkind = \"moon\"", "unknown variant `moon`"),
            ("from_s = 1\nto_s = 2\nflap = 1\nkind = \"loss\"\npart = 0.5", "unknown field `flap`"),
        ] {
            let why = format!("{:#}", fault(text).expect_err(text));
            assert!(why.contains(named), "{text}: {why}");
        }
        let why = Scenario::read(&GOOD.replace("relays = 3", "relais = 3")).expect_err("misspelt");
        assert!(why.to_string().contains("relais") && why.to_string().contains("line 2"), "{why}");
    }
}
