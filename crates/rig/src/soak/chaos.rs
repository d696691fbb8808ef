//! What is drawn from a seed: the kinds of faults of a run, the faults of each process, and what is done to processes when.

use std::time::Duration;

use faults::Scenario as Faults;
use faults::proxy::{Endings, Surplus, Trouble, Unasked};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use super::file::{Kind, SoakFile};

/// The steps of the wall clock that are drawn from, in milliseconds.
const STEPS_MS: [i64; 6] = [5_000, -5_000, 3_600_000, -3_600_000, 900, -900];
/// The shortest and the longest span of a fault, in milliseconds.
const WINDOW_MS: [u64; 2] = [300, 700];
/// The longest time for which a process may stand still between reading its clock and writing.
const FREEZE: Duration = Duration::from_millis(150);
/// The shortest and the longest time after an answer at which something unasked comes: no page bounds how late it may be.
const SURPLUS_LATE: [Duration; 2] = [Duration::ZERO, Duration::from_secs(1)];
/// Share of answers behind which something unasked comes.
const SURPLUS_SHARE: f64 = 0.1;
/// What proxies before endpoints do to connections.
const PROXY_TROUBLE: Trouble = Trouble {
    reset: 0.01,
    split: 0.05,
    stall: 0.02,
    pause: Duration::from_millis(200),
    surplus: None,
    endings: None,
};
/// How answers end where a run has the kind `endings`.
const ENDINGS: Endings = Endings { probability: 0.1, late: Duration::from_millis(400) };
/// A start has faults from its beginning on by this chance.
const AT_START: f64 = 0.5;

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Deed {
    /// SIGKILL; with the disk replaced where that is set.
    Kill { disk_replaced: bool },
    /// SIGTERM, and SIGKILL if it has not ended at the page's earliest time.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP, and SIGCONT after this.
    Freeze { lasting: Duration },
}

/// One run, drawn from its seed.
#[derive(Debug)]
pub(super) struct Chaos {
    pub(super) relays: usize,
    pub(super) kinds: Vec<Kind>,
    /// What is done when, by relay, in seconds from the begin of the load.
    pub(super) deeds: Vec<(f64, usize, Deed)>,
    seed: u64,
    seconds: f64,
}

impl Chaos {
    /// Draws a run.
    pub(super) fn draw(file: &SoakFile, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let [fewest, most] = file.relays;
        let relays = rng.random_range(fewest..=most);
        let mut kinds = file.kinds.clone();
        kinds.shuffle(&mut rng);
        kinds.truncate(rng.random_range(1..=file.kinds_a_run));
        // Faults of a start show only where there are starts.
        if !kinds.iter().any(|kind| deed(*kind).is_some()) {
            kinds.push(
                *[Kind::Kill, Kind::ReplacedDisk, Kind::Terminate].choose(&mut rng).unwrap_or(&Kind::Kill),
            );
        }
        kinds.sort_unstable();
        kinds.dedup();
        let mut deeds = Vec::new();
        for relay in 0..relays {
            let mut at_s = rng.random_range(0.5..2.5);
            while at_s < file.seconds {
                let deed = kinds.iter().filter_map(|kind| deed(*kind)).collect::<Vec<_>>();
                deeds.extend(deed.choose(&mut rng).map(|deed| (at_s, relay, *deed)));
                at_s += rng.random_range(0.8..2.5);
            }
        }
        deeds.sort_by(|a, b| a.0.total_cmp(&b.0));
        Chaos { relays, kinds, deeds, seed, seconds: file.seconds }
    }

    /// Whether a kind of fault is part of this run.
    pub(super) fn has(&self, kind: Kind) -> bool {
        self.kinds.contains(&kind)
    }

    /// What the proxies before endpoints do; `None` where there are none.
    pub(super) fn proxy_trouble(&self) -> Option<Trouble> {
        if !self.kinds.iter().any(|kind| kind.proxied()) {
            return None;
        }
        let trouble = if self.has(Kind::Proxy) { PROXY_TROUBLE } else { Trouble::default() };
        let what = self.kinds.iter().find_map(|kind| unasked(*kind));
        let surplus = |what| Surplus { what, probability: SURPLUS_SHARE, late: SURPLUS_LATE };
        let endings = self.has(Kind::Endings).then_some(ENDINGS);
        Some(Trouble { surplus: what.map(surplus), endings, ..trouble })
    }

    /// Whether the store of a process may fail to take what was heard.
    pub(super) fn store_fails(&self) -> bool {
        [Kind::DiskFull, Kind::DiskError, Kind::Truncate, Kind::Files, Kind::TornKill]
            .iter()
            .any(|kind| self.has(*kind))
    }

    /// Whether something that nobody asked for comes on connections to endpoints.
    pub(super) fn adds(&self) -> bool {
        self.kinds.iter().any(|kind| unasked(*kind).is_some())
    }

    /// The faults of the `start`-th process of a relay.
    pub(super) fn faults(&self, relay: usize, start: u64) -> (String, u64) {
        let seed = self.seed ^ (relay as u64 + 1) << 32 ^ (start + 1) << 48;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut text = String::new();
        for kind in &self.kinds {
            self.faults_of(*kind, &mut rng, &mut text);
        }
        (text, seed)
    }

    fn faults_of(&self, kind: Kind, rng: &mut SmallRng, text: &mut String) {
        let longest_ms = (self.seconds * 1000.0) as u64;
        let from_ms = if rng.random_bool(AT_START) { 0 } else { rng.random_range(0..longest_ms) };
        let to_ms = from_ms + rng.random_range(WINDOW_MS[0]..=WINDOW_MS[1]);
        let often = *[0.2, 0.5, 1.0].choose(rng).unwrap_or(&1.0);
        let seldom = *[0.05, 0.2, 0.4].choose(rng).unwrap_or(&0.2);
        let mut fault = |call: &str, effect: &str, error: &str, probability: f64| {
            *text += &format!(
                "[[fault]]\ncall = \"{call}\"\neffect = \"{effect}\"\nprobability = {probability}\n"
            );
            if !error.is_empty() {
                *text += &format!("error = \"{error}\"\n");
            }
            *text += &format!("from_ms = {from_ms}\nto_ms = {to_ms}\n");
        };
        match kind {
            Kind::DiskFull => fault("write", "error", "ENOSPC", often),
            Kind::DiskError => {
                fault("write", "torn", "EIO", often / 2.0);
                fault("write", "error", "EIO", often / 2.0);
            }
            Kind::Truncate => {
                fault("truncate", "error", "EIO", often);
                fault("write", "torn", "ENOSPC", seldom);
            }
            Kind::Files => {
                for (call, error) in
                    [("open", "EIO"), ("create", "ENOSPC"), ("read", "EIO"), ("mkdir", "EIO")]
                {
                    fault(call, "error", error, often);
                }
                fault("lock", "error", "ENOLCK", often);
                fault("rename", "error", "ENOSPC", often);
            }
            Kind::Remove => fault("unlink", "error", "EIO", often),
            Kind::TornKill => fault("write", "kill", "", 0.01),
            Kind::Sockets => {
                fault("socket", "error", "ENFILE", often);
                fault("bind", "error", "ENOBUFS", seldom);
                fault("listen", "error", "ENOBUFS", seldom);
                fault("epoll_create", "error", "EMFILE", often);
            }
            Kind::Accept => {
                fault("accept", "error", "ECONNABORTED", seldom);
                fault("accept", "error", "ENFILE", seldom);
                fault("accept", "error", "ENOBUFS", seldom);
            }
            Kind::Connect => {
                for error in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"] {
                    fault("connect", "error", error, seldom);
                }
            }
            Kind::Interrupt => {
                for call in
                    ["recv", "send", "accept", "connect", "wait", "read", "write", "sendto", "recvfrom"]
                {
                    fault(call, "error", "EINTR", seldom);
                }
            }
            Kind::Short => {
                ["recv", "send", "read", "write"].iter().for_each(|call| fault(call, "short", "", seldom))
            }
            Kind::Broken => {
                fault("recv", "error", "ETIMEDOUT", seldom / 4.0);
                fault("recv", "error", "EHOSTUNREACH", seldom / 4.0);
                fault("send", "error", "EPIPE", seldom / 4.0);
                fault("send", "torn", "ETIMEDOUT", seldom / 4.0);
            }
            Kind::Datagrams => {
                fault("sendto", "error", "ENOBUFS", often);
                fault("recvfrom", "error", "ENOBUFS", seldom);
            }
            Kind::Clock => {
                let by_ms = STEPS_MS.choose(rng).copied().unwrap_or(0);
                *text += &format!("[[step]]\nat_ms = {from_ms}\nby_ms = {by_ms}\n");
            }
            Kind::Proxy | Kind::Copies | Kind::Parts | Kind::Unasked | Kind::Endings | Kind::Over => {}
            Kind::Kill | Kind::ReplacedDisk | Kind::Terminate | Kind::Reload | Kind::Freeze => {}
        }
    }
}

/// What is added to answers where a run has this kind.
fn unasked(kind: Kind) -> Option<Unasked> {
    match kind {
        Kind::Copies => Some(Unasked::Copy),
        Kind::Parts => Some(Unasked::Part),
        Kind::Unasked => Some(Unasked::Answer),
        _ => None,
    }
}

/// What is done to processes where a run has this kind.
fn deed(kind: Kind) -> Option<Deed> {
    match kind {
        Kind::Kill => Some(Deed::Kill { disk_replaced: false }),
        Kind::ReplacedDisk => Some(Deed::Kill { disk_replaced: true }),
        Kind::Terminate => Some(Deed::Terminate),
        Kind::Reload => Some(Deed::Reload),
        Kind::Freeze => Some(Deed::Freeze { lasting: FREEZE }),
        _ => None,
    }
}

/// The environment of a process with these faults.
pub(super) fn environment(text: &str, child: faults::Child<'_>) -> anyhow::Result<Vec<(String, String)>> {
    let variables = Faults::read(text)?.environment(child)?;
    Ok(variables.into_iter().map(|(key, value)| (key.to_string(), value)).collect())
}
