//! The one-off event of a day within a run, and the looks at all machines from then on.

use destinations::{Digest, Operation, Version};
use fleet::Peer;
use rand::seq::SliceRandom;

use super::{Event, Machine, Simulation};
use crate::random::{Purpose, stream};
use crate::rollout_run::author;
use crate::rollout_run::cost::Traffic;
use crate::rollout_run::days::{Action, Day, DayOutcome, Disturbance, Height, Phase};
use crate::time::{MILLISECOND, Micros, SECOND, in_seconds};

/// How often the versions of all machines are looked at.
const LOOK: Micros = 10 * MILLISECOND;
/// How often the upstreams of all relays are looked at, in looks at the versions.
const UPSTREAMS_EACH: u64 = 20;
/// A change that a relay lacks for longer is late: the bound of `docs/configuration.md`.
const LATE: Micros = 4 * SECOND;
/// Upstreams that each relay is to have, as `rollout` has it.
const UPSTREAMS: usize = 2;
/// An upstream whose state control confirmed longer ago is stale, as `rollout` has it.
const STALE: Micros = 10 * SECOND;
/// So many times the most relays that are short of upstreams at a time before the event count as ordinary afterwards: at 1 %
/// loss two heartbeats in a row are lost now and then, and an upstream is replaced.
const ORDINARY_TIMES: u32 = 2;
/// All is as before when nothing was wrong for so long.
const CALM: Micros = 30 * SECOND;

/// A step of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The event begins.
    Begin,
    /// The event ends.
    End,
    /// All machines are looked at.
    Look,
}

/// What is seen from the event on.
#[derive(Debug)]
pub(in crate::rollout_run) struct Watch {
    disturbance: Disturbance,
    seed: u64,
    looks: u64,
    /// The relays that had too few upstreams at the last look at them: of those hit, and others.
    short: [u32; 2],
    /// In this order: of those hit, of others, of all after the end.
    phases: [Phase; 3],
    /// Relays that are short of upstreams at a time without any event, at the most.
    ordinarily_short: u32,
    begun: bool,
    height_before: [u64; 2],
    /// What undoes the change, and the digest of the set before it.
    undo: Option<(Vec<Operation>, Digest)>,
    /// The version that has all changes made by the end.
    target: Option<Version>,
    committed_s: Option<f64>,
    current_s: Option<f64>,
    longest_uncommitted: Micros,
    over: bool,
}

/// What one look sees of one group of relays.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    down: u32,
    empty: u32,
    behind: u32,
    late: u32,
    versions: u64,
    oldest: Micros,
    short: u32,
}

impl Simulation<'_> {
    /// Has an event happen, and the machines watched from then on.
    pub(in crate::rollout_run) fn watch(&mut self, disturbance: Disturbance) {
        let (from, until) = (self.measured_from + disturbance.from, self.measured_from + disturbance.until);
        self.queue.push(from, Event::Day(Step::Begin));
        self.queue.push(until, Event::Day(Step::End));
        self.queue.push(self.measured_from, Event::Day(Step::Look));
        self.day = Some(Watch {
            disturbance,
            seed: self.setup.seed,
            looks: 0,
            short: [0; 2],
            phases: [Phase::default(); 3],
            ordinarily_short: 1,
            begun: false,
            height_before: [0; 2],
            undo: None,
            target: None,
            committed_s: None,
            current_s: None,
            longest_uncommitted: 0,
            over: false,
        });
    }

    /// Whether a day's run may end before its bound, as all has been as before for long enough.
    pub(super) fn is_day_over(&self) -> bool {
        self.day.as_ref().is_some_and(|watch| watch.over)
    }

    pub(super) fn day_step(&mut self, now: Micros, step: Step) {
        let Some(mut watch) = self.day.take() else { return };
        match step {
            Step::Begin => self.begin(now, &mut watch),
            Step::End => self.end(now, &mut watch),
            Step::Look => {
                self.look_at_all(now, &mut watch);
                self.queue.push(now + LOOK, Event::Day(Step::Look));
            }
        }
        self.day = Some(watch);
    }

    fn begin(&mut self, now: Micros, watch: &mut Watch) {
        watch.begun = true;
        let (of_relays, of_controls) = self.machines.split_at(self.scenario.relays as usize);
        watch.height_before = [busiest(of_relays).1, busiest(of_controls).1];
        self.machines.iter_mut().for_each(|machine| machine.traffic = Traffic::default());
        if let Action::StopControls { count } = watch.disturbance.action {
            watch.disturbance.affected = self.controls_to_stop(watch.seed, count);
        }
        let away = watch.disturbance.until - watch.disturbance.from;
        match watch.disturbance.action {
            Action::Stop { empty_disks } => {
                let affected = &watch.disturbance.affected;
                affected.iter().for_each(|peer| self.stop_with(now, *peer, away, empty_disks));
            }
            Action::StopControls { .. } => {
                let affected = &watch.disturbance.affected;
                affected.iter().for_each(|peer| self.stop_with(now, *peer, away, false));
            }
            Action::Cut(_) => {}
            Action::Changes(count) => {
                let operations = |_| (now, author::operations(&mut self.random, self.scenario.destinations));
                let made: Vec<_> = (0..count).map(operations).collect();
                self.waiting.extend(made);
                self.propose(now);
            }
            Action::ChangeReverted => {
                let operations = author::operations(&mut self.random, self.scenario.destinations);
                let set = self.newest_control().map(|process| process.node.set());
                watch.undo = set.and_then(|set| Some((set.inverse(&operations).ok()?, set.digest())));
                self.waiting.push_back((now, operations));
                self.propose(now);
            }
        }
    }

    fn end(&mut self, now: Micros, watch: &mut Watch) {
        if let Some((undo, _)) = &watch.undo {
            self.waiting.push_back((now, undo.clone()));
            self.propose(now);
        }
        let newest = self.check.newest();
        watch.target = Some(Version { number: newest.number + self.waiting.len() as u64, ..newest });
    }

    fn stop_with(&mut self, now: Micros, peer: Peer, away: Micros, empty_disk: bool) {
        self.failed += 1;
        self.stop(now, peer, away);
        if empty_disk {
            let machine = &mut self.machines[usize::from(peer)];
            (machine.disk.set, machine.disk.newest) = (None, None);
            machine.version = Version::default();
        }
    }

    /// The leader, and others that are drawn.
    fn controls_to_stop(&self, seed: u64, count: usize) -> Vec<Peer> {
        let relays = self.scenario.relays as usize;
        let leads = |place: usize| {
            let process = self.machines.get(place).and_then(|machine| machine.process.as_ref());
            let consensus = process.and_then(|process| process.consensus.as_ref());
            consensus.filter(|consensus| consensus.is_leader()).map(|consensus| consensus.term())
        };
        let mut controls: Vec<usize> = (relays..self.machines.len()).collect();
        controls.shuffle(&mut stream(seed, Purpose::Targets));
        controls.sort_by_key(|place| std::cmp::Reverse(leads(*place)));
        controls.into_iter().take(count).filter_map(|place| Peer::try_from(place).ok()).collect()
    }

    /// The running control machine with the newest set.
    fn newest_control(&self) -> Option<&crate::rollout_run::machine::Process> {
        let controls = self.machines.iter().skip(self.scenario.relays as usize);
        controls
            .filter_map(|machine| machine.process.as_ref())
            .max_by_key(|process| process.node.set().version())
    }

    fn look_at_all(&mut self, now: Micros, watch: &mut Watch) {
        let newest = self.check.newest();
        if watch.looks.is_multiple_of(UPSTREAMS_EACH) {
            watch.short = self.short_of_upstreams(now, &watch.disturbance.affected);
        }
        watch.looks += 1;
        if !watch.begun {
            watch.ordinarily_short = watch.ordinarily_short.max(watch.short.iter().sum());
            return;
        }
        let ordinary = watch.ordinarily_short * ORDINARY_TIMES;
        let mut seen = [Seen::default(), Seen::default()];
        for (place, machine) in self.machines.iter().enumerate() {
            let group = &mut seen[group(&watch.disturbance.affected, place)];
            let is_relay = place < self.scenario.relays as usize;
            self.look_at(now, machine, (is_relay, newest), group);
        }
        (seen[0].short, seen[1].short) = (watch.short[0], watch.short[1]);
        if let Some((made, _)) = self.waiting.front() {
            watch.longest_uncommitted = watch.longest_uncommitted.max(now - made);
        }
        match watch.target {
            None => {
                let since = now - self.measured_from - watch.disturbance.from;
                watch.phases[0].add(since, &seen[0], ordinary, true);
                watch.phases[1].add(since, &seen[1], ordinary, false);
            }
            Some(target) => self.look_after(now, watch, target, &seen[0].and(seen[1])),
        }
    }

    fn look_at(&self, now: Micros, machine: &Machine, (is_relay, newest): (bool, Version), seen: &mut Seen) {
        if machine.process.is_none() {
            seen.down += 1;
        } else if is_relay && machine.version == Version::default() {
            seen.empty += 1;
        } else if is_relay && machine.version < newest {
            seen.behind += 1;
            seen.versions = seen.versions.max(newest.number.saturating_sub(machine.version.number));
            let lacking = self.check.lacking_since(machine.version).map_or(0, |since| now - since);
            seen.oldest = seen.oldest.max(lacking);
            seen.late += u32::from(lacking > LATE);
        }
    }

    /// Relays with fewer upstreams than they are to have that answer and are not stale: of those hit, and others.
    fn short_of_upstreams(&self, now: Micros, affected: &[Peer]) -> [u32; 2] {
        let mut short = [0; 2];
        for (place, machine) in self.machines.iter().enumerate().take(self.scenario.relays as usize) {
            let Some(process) = &machine.process else { continue };
            let upstreams = process.node.status(now).upstreams;
            let good = upstreams.iter().filter(|upstream| upstream.age.is_some_and(|age| age <= STALE));
            short[group(affected, place)] += u32::from(good.count() < UPSTREAMS);
        }
        short
    }

    fn look_after(&self, now: Micros, watch: &mut Watch, target: Version, seen: &Seen) {
        let since = now - self.measured_from - watch.disturbance.until;
        watch.phases[2].add(since, seen, watch.ordinarily_short * ORDINARY_TIMES, false);
        let running = self.machines.iter().filter(|machine| machine.process.is_some());
        if self.check.newest() >= target {
            watch.committed_s.get_or_insert(in_seconds(since));
        }
        if seen.down == 0 && running.clone().all(|machine| machine.version >= target) {
            watch.current_s.get_or_insert(in_seconds(since));
        }
        let last_wrong = watch.as_before_s();
        watch.over = last_wrong.is_some_and(|last| in_seconds(since - CALM) >= last);
    }

    /// Ends the run: what it saw.
    pub(in crate::rollout_run) fn day_outcome(mut self, day: &Day) -> DayOutcome {
        let watch = self.day.take().expect("a day is run with a watch");
        let now = self.now();
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let replaced = running.map(|process| process.node.counts().replaced).sum::<u64>();
        let reverted = watch.undo.as_ref().map(|(_, before)| {
            self.newest_control().is_some_and(|process| process.node.set().digest() == *before)
        });
        let [hit, others, after] = watch.phases;
        DayOutcome {
            name: day.name.clone(),
            title: day.title.clone(),
            relays: self.scenario.relays,
            destinations: self.scenario.destinations,
            lasted_s: in_seconds(watch.disturbance.until - watch.disturbance.from),
            current_s: watch.current_s,
            as_before_s: watch.as_before_s().filter(|_| watch.over),
            committed_s: watch.committed_s,
            ordinarily_short_of_upstreams: watch.ordinarily_short,
            hit,
            others,
            after,
            height: self.height(watch.height_before),
            in_force: self.check.in_force.delays(),
            longest_uncommitted_s: in_seconds(watch.longest_uncommitted),
            changes_per_day: day.changes_per_day.unwrap_or(0.0),
            changes: self.check.changes(),
            mixed: self.check.mixed,
            went_back: self.check.went_back,
            reverted,
            upstreams_replaced: self.replaced + replaced,
            simulated_s: in_seconds((now - self.measured_from).max(0)),
            real_s: self.began.elapsed().as_secs_f64(),
            affected: watch.disturbance.affected,
        }
    }

    fn height(&self, [relay_before, control_before]: [u64; 2]) -> Height {
        let (of_relays, of_controls) = self.machines.split_at(self.scenario.relays as usize);
        let (busiest_relay, relay) = busiest(of_relays);
        let in_a_minute = of_relays.iter().map(|machine| machine.traffic.minute.most).max().unwrap_or(0);
        Height {
            relay_before,
            relay,
            relay_in_a_minute: in_a_minute / 60,
            busiest_relay: busiest_relay as u32,
            is_representative: self.setup.topology.is_representative(busiest_relay as Peer),
            control_before,
            control: busiest(of_controls).1,
        }
    }
}

impl Watch {
    /// Seconds after the end of the event at which something was wrong the last time, if all are current by now.
    fn as_before_s(&self) -> Option<f64> {
        self.current_s.map(|current| current.max(self.phases[2].last_wrong_s))
    }
}

impl Seen {
    fn and(self, other: Seen) -> Seen {
        Seen {
            down: self.down + other.down,
            empty: self.empty + other.empty,
            behind: self.behind + other.behind,
            late: self.late + other.late,
            versions: self.versions.max(other.versions),
            oldest: self.oldest.max(other.oldest),
            short: self.short + other.short,
        }
    }
}

impl Phase {
    /// Takes in a look; so many relays are short of upstreams ordinarily, and machines that are down are nothing wrong where
    /// that is the event itself.
    fn add(&mut self, since: Micros, seen: &Seen, ordinary: u32, may_be_down: bool) {
        self.most_down = self.most_down.max(seen.down);
        self.most_empty = self.most_empty.max(seen.empty);
        self.most_behind = self.most_behind.max(seen.behind);
        self.most_late = self.most_late.max(seen.late);
        self.versions_behind = self.versions_behind.max(seen.versions);
        self.oldest_s = self.oldest_s.max(in_seconds(seen.oldest));
        self.most_short_of_upstreams = self.most_short_of_upstreams.max(seen.short);
        if seen.late > 0 {
            self.late_s += in_seconds(LOOK);
        }
        let wrong = seen.empty + seen.late > 0 || seen.short > ordinary;
        if wrong || seen.down > 0 && !may_be_down {
            self.last_wrong_s = in_seconds(since);
        }
    }
}

/// The place of a machine's group: 0 for those that the event hits, 1 for others.
fn group(affected: &[Peer], place: usize) -> usize {
    usize::from(!affected.iter().any(|peer| usize::from(*peer) == place))
}

/// The place of the machine that sent the most bytes in a second, and these.
fn busiest(machines: &[Machine]) -> (usize, u64) {
    let sent = machines.iter().map(|machine| machine.traffic.second.most).enumerate();
    sent.max_by_key(|(_, bytes)| *bytes).unwrap_or((0, 0))
}
