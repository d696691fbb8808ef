//! The writer's decisions: what goes into the database next, when it is tried again, what is set aside, and
//! when this process may write no more. A state machine without I/O or a clock of its own: [`Writer::next`]
//! says what to do, the shell does it and reports what came of it. It must never call an entry written before
//! a commit was heard, never drop one, and never write after it was fenced off.

use std::collections::{BTreeMap, HashSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::model::{Entry, Micros};

/// Why a step at the database failed, by what can be done about it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// It cannot be reached, went silent or broke off; a commit may or may not have been carried out.
    #[error("the database is down: {0}")]
    Down(String),
    /// Somebody else is in the way for a moment: a lock, a deadlock, a serialization failure.
    #[error("the database is busy: {0}")]
    Busy(String),
    /// It has no room.
    #[error("the database is full: {0}")]
    Full(String),
    /// It takes no writes, as after a fail-over to a replica.
    #[error("the database is read-only: {0}")]
    ReadOnly(String),
    /// It refuses what an entry holds, and would refuse it again.
    #[error("the database refuses the content: {0}")]
    Content(String),
    /// Another process holds this relay's name.
    #[error("fenced off: {0}")]
    Fenced(String),
    /// What it holds is damaged; it is set aside only by the operator's word.
    #[error("the record is damaged: {0}")]
    Damaged(String),
    /// Its schema is newer than this program, or is not the record's at all.
    #[error("the schema does not fit: {0}")]
    Schema(String),
}

/// Figures of the writer; spans in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Most entries in a transaction.
    pub batch: usize,
    /// The first wait after a failure; doubled with each further one ...
    pub least_wait: Micros,
    /// ... up to this. The wait is drawn evenly from the upper half of that.
    pub most_wait: Micros,
    /// A name whose holder gave no sign for so long is free.
    pub lease: Micros,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { batch: 256, least_wait: 100_000, most_wait: 10_000_000, lease: 10_000_000 }
    }
}

/// What the shell is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Connect and bring the schema up to date; then [`Writer::connected`].
    Connect,
    /// Ask for the relay's name; where it was seen held at this beat for a whole lease, take it over from that
    /// beat. Then [`Writer::claimed`].
    Claim {
        /// The epoch and beat that must still stand for a take-over.
        silent: Option<(i64, i64)>,
    },
    /// Write these entries in one transaction, under this epoch; then [`Writer::written`].
    Write {
        /// By number, in order, with at most one for each message.
        numbers: Vec<u64>,
        /// The fencing token.
        epoch: i64,
    },
    /// Set this entry aside in the database, with the reason; then [`Writer::set_aside`].
    SetAside {
        /// Which.
        number: u64,
        /// Why.
        reason: String,
        /// The fencing token.
        epoch: i64,
    },
    /// Give a sign that the name is held; then [`Writer::beaten`].
    Beat {
        /// The fencing token.
        epoch: i64,
    },
    /// Nothing until then, unless an entry comes.
    Wait(Micros),
    /// Nothing ever again.
    Stop(String),
}

/// What asking for the name came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is this process's, under this epoch.
    Held(i64),
    /// Another process holds it; its epoch, and its last sign.
    Other {
        /// Its epoch.
        epoch: i64,
        /// Its last sign.
        beat: i64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Unclaimed,
    Open { epoch: i64 },
    Stopped(String),
}

/// The state machine.
#[derive(Debug)]
pub struct Writer {
    figures: Figures,
    state: State,
    rng: SmallRng,
    /// Not known to be written, by number.
    queue: BTreeMap<u64, Entry>,
    /// Entries that may go in one transaction just now: halved when content is refused, to find which.
    limit: usize,
    /// Refused alone, and not set aside yet.
    refused: Option<(u64, String)>,
    /// Failures in a row.
    failures: u32,
    /// Not before this.
    not_before: Micros,
    /// The last sign this process gave.
    beat_at: Micros,
    /// Another holder's epoch and beat, and since when they were seen so.
    other: Option<(i64, i64, Micros)>,
    /// It gave a sign while this process looked.
    other_lives: bool,
    /// Entries a second, smoothed; 0 until measured.
    rate: f64,
    /// When the last write ended.
    last_write: Option<Micros>,
}

impl Writer {
    /// A writer that has connected to nothing yet; `seed` is for the spread of its waits.
    pub fn new(figures: Figures, seed: u64) -> Self {
        Writer {
            figures,
            state: State::Closed,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            limit: figures.batch,
            refused: None,
            failures: 0,
            not_before: Micros::MIN,
            beat_at: Micros::MIN,
            other: None,
            other_lives: false,
            rate: 0.0,
            last_write: None,
        }
    }

    /// An entry is to be written. The same number again changes nothing.
    pub fn queue(&mut self, number: u64, entry: Entry) {
        self.queue.entry(number).or_insert(entry);
    }

    /// Entries that are not known to be written.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// An entry that is not known to be written.
    pub fn entry(&self, number: u64) -> Option<&Entry> {
        self.queue.get(&number)
    }

    /// When somebody who finds no room should come again: after the next try, and the time that half of what
    /// waits takes at the pace that was measured.
    pub fn room_at(&self, now: Micros) -> Micros {
        let pace = if self.rate > 0.0 { self.rate } else { 1000.0 };
        let drain = (self.queue.len() as f64 / 2.0 / pace * 1e6) as Micros;
        now.max(self.not_before).saturating_add(drain.max(self.figures.least_wait))
    }

    /// Entries a second that the database took lately.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// What is to be done at `now`.
    pub fn next(&mut self, now: Micros) -> Step {
        if let State::Stopped(why) = &self.state {
            return Step::Stop(why.clone());
        }
        if now < self.not_before {
            return Step::Wait(self.not_before);
        }
        let epoch = match self.state {
            State::Closed => return Step::Connect,
            State::Open { epoch } => epoch,
            _ => {
                // A holder that is silent for a whole lease, by this process's own clock, holds nothing more.
                let silent = self.other.filter(|(_, _, since)| now - since >= self.figures.lease);
                return Step::Claim { silent: silent.map(|(epoch, beat, _)| (epoch, beat)) };
            }
        };
        if let Some((number, reason)) = self.refused.clone() {
            return Step::SetAside { number, reason, epoch };
        }
        let mut messages = HashSet::new();
        // One for each message: a statement must not meet the same row twice.
        let numbers: Vec<u64> = self
            .queue
            .iter()
            .take_while(|(_, entry)| messages.insert(entry.message()))
            .take(self.limit)
            .map(|(number, _)| *number)
            .collect();
        if !numbers.is_empty() {
            return Step::Write { numbers, epoch };
        }
        let beat_due = self.beat_at.saturating_add(self.figures.lease / 3);
        if beat_due <= now { Step::Beat { epoch } } else { Step::Wait(beat_due) }
    }

    /// Whether the connection came up.
    pub fn connected(&mut self, now: Micros, result: Result<(), Failure>) {
        match result {
            Ok(()) => self.state = State::Unclaimed,
            Err(failure) => self.failed(now, failure),
        }
    }

    /// What asking for the name came to.
    pub fn claimed(&mut self, now: Micros, result: Result<Claim, Failure>) {
        match result {
            Ok(Claim::Held(epoch)) => {
                (self.state, self.other) = (State::Open { epoch }, None);
                self.well(now);
            }
            Ok(Claim::Other { epoch, beat }) => {
                let same = self.other.filter(|(e, b, _)| (*e, *b) == (epoch, beat));
                self.other_lives = self.other.is_some() && (same.is_none() || self.other_lives);
                let since = same.map_or(now, |(_, _, since)| since);
                self.other = Some((epoch, beat, since));
                self.not_before = now + (self.figures.lease / 8).max(1);
            }
            Err(failure) => self.failed(now, failure),
        }
    }

    /// Another process holds the name, as far as this one has seen; with whether it was seen to give a sign.
    pub fn held_by_other(&self) -> Option<bool> {
        self.other.map(|_| self.other_lives)
    }

    /// The name is held under this epoch.
    pub fn epoch(&self) -> Option<i64> {
        if let State::Open { epoch } = self.state { Some(epoch) } else { None }
    }

    /// What a write came to; the entries that are now known to be written.
    pub fn written(&mut self, now: Micros, numbers: &[u64], result: Result<(), Failure>) -> Vec<u64> {
        match result {
            Ok(()) => {
                let since = self.last_write.unwrap_or(now).min(now);
                let busy = (now - since).clamp(1_000, 1_000_000) as f64 / 1e6;
                let pace = numbers.len() as f64 / busy;
                self.rate = if self.rate > 0.0 { 0.8 * self.rate + 0.2 * pace } else { pace };
                self.last_write = Some(now);
                self.well(now);
                self.limit = (self.limit * 2).clamp(1, self.figures.batch);
                numbers.iter().filter(|number| self.queue.remove(number).is_some()).copied().collect()
            }
            Err(Failure::Content(why)) => {
                match numbers {
                    [number] => self.refused = Some((*number, why)),
                    // One of them is at fault: it is looked for by halves, and blocks nothing behind it.
                    _ => self.limit = (numbers.len() / 2).max(1),
                }
                vec![]
            }
            Err(failure) => {
                self.failed(now, failure);
                vec![]
            }
        }
    }

    /// What setting an entry aside came to; the entry, if it now is.
    pub fn set_aside(&mut self, now: Micros, number: u64, result: Result<(), Failure>) -> Option<u64> {
        match result {
            Ok(()) => {
                self.refused = None;
                self.well(now);
                self.queue.remove(&number).map(|_| number)
            }
            Err(failure) => {
                self.failed(now, failure);
                None
            }
        }
    }

    /// What a sign that the name is held came to.
    pub fn beaten(&mut self, now: Micros, result: Result<(), Failure>) {
        match result {
            Ok(()) => self.well(now),
            Err(failure) => self.failed(now, failure),
        }
    }

    fn well(&mut self, now: Micros) {
        (self.failures, self.not_before, self.beat_at) = (0, Micros::MIN, now);
    }

    fn failed(&mut self, now: Micros, failure: Failure) {
        if let Failure::Fenced(why) = failure {
            self.state = State::Stopped(why);
            return;
        }
        // What is in the way for a moment leaves the connection as it is; all else starts anew, as a commit
        // whose outcome is unknown may still hold locks on the old one.
        if !matches!(failure, Failure::Busy(_)) {
            self.state = State::Closed;
        }
        self.failures = self.failures.saturating_add(1);
        let doubled = self.figures.least_wait << (self.failures - 1).min(32);
        let most = doubled.clamp(self.figures.least_wait, self.figures.most_wait);
        // What only an operator mends is looked at rarely from the start on.
        let slow = matches!(failure, Failure::Damaged(_) | Failure::Schema(_));
        let most = if slow { self.figures.most_wait } else { most };
        self.not_before = now + self.rng.random_range(most / 2..=most);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::{Effect, Late};

    fn entry(id: &str) -> Entry {
        let text = String::new;
        Entry::Late(Late {
            id: id.into(),
            at: 0,
            kind: text(),
            source: text(),
            effect: Effect::Took,
            mic: None,
            detail: text(),
        })
    }

    fn open(batch: usize) -> Writer {
        let mut writer = Writer::new(Figures { batch, ..Figures::default() }, 7);
        assert_eq!(writer.next(0), Step::Connect);
        writer.connected(0, Ok(()));
        assert_eq!(writer.next(0), Step::Claim { silent: None });
        writer.claimed(0, Ok(Claim::Held(3)));
        writer
    }

    fn numbers(step: Step) -> Vec<u64> {
        match step {
            Step::Write { numbers, epoch: 3 } => numbers,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn entries_go_in_order_and_are_kept_until_the_commit_was_heard() {
        let mut writer = open(2);
        (1..=3).for_each(|n| writer.queue(n, entry(&n.to_string())));
        assert_eq!(numbers(writer.next(1)), [1, 2]);
        assert_eq!(writer.written(1, &[1, 2], Err(Failure::Down("gone".into()))), [] as [u64; 0]);
        let Step::Wait(at) = writer.next(1) else { panic!("waits") };
        assert!((50_001..=100_001).contains(&at), "{at}");
        assert_eq!(writer.next(at), Step::Connect, "an unknown commit is asked about on a new connection");
        writer.connected(at, Ok(()));
        writer.claimed(at, Ok(Claim::Held(3)));
        assert_eq!(numbers(writer.next(at)), [1, 2], "the same again: the row is written once by its key");
        assert_eq!(writer.written(at, &[1, 2], Ok(())), [1, 2]);
        assert_eq!(numbers(writer.next(at)), [3]);
    }

    #[test]
    fn waits_double_up_to_the_cap_and_end_with_a_success() {
        let mut writer = Writer::new(Figures::default(), 1);
        let (mut now, mut waits) = (0, vec![]);
        for _ in 0..12 {
            assert_eq!(writer.next(now), Step::Connect);
            writer.connected(now, Err(Failure::Down("refused".into())));
            let Step::Wait(at) = writer.next(now) else { panic!("waits") };
            waits.push(at - now);
            now = at;
        }
        for (n, wait) in waits.iter().enumerate() {
            let most = (100_000_i64 << n).min(10_000_000);
            assert!((most / 2..=most).contains(wait), "{n}: {wait}");
        }
        writer.connected(now, Ok(()));
        writer.claimed(now, Ok(Claim::Held(1)));
        writer.beaten(now, Err(Failure::Busy("locked".into())));
        let Step::Wait(at) = writer.next(now) else { panic!("waits") };
        assert!(at - now <= 100_000, "it starts again from the least");
    }

    #[test]
    fn refused_content_is_found_by_halves_set_aside_and_blocks_nothing() {
        let mut writer = open(8);
        (1..=8).for_each(|n| writer.queue(n, entry(&n.to_string())));
        let (mut written, mut aside, mut steps) = (vec![], vec![], 0);
        while writer.queued() > 0 {
            steps += 1;
            assert!(steps < 40, "it ends");
            match writer.next(steps) {
                Step::Write { numbers, .. } => {
                    let bad = numbers.contains(&6);
                    let result = if bad { Err(Failure::Content("22021".into())) } else { Ok(()) };
                    written.extend(writer.written(steps, &numbers, result));
                }
                Step::SetAside { number, reason, epoch } => {
                    assert_eq!((reason.as_str(), epoch), ("22021", 3));
                    aside.extend(writer.set_aside(steps, number, Ok(())));
                }
                other => panic!("{other:?}"),
            }
        }
        written.sort_unstable();
        assert_eq!((written, aside), (vec![1, 2, 3, 4, 5, 7, 8], vec![6]));
    }

    #[test]
    fn a_message_is_met_once_in_a_transaction() {
        let mut writer = open(8);
        for (n, id) in ["a", "b", "a", "c"].iter().enumerate() {
            writer.queue(n as u64, entry(id));
        }
        assert_eq!(numbers(writer.next(1)), [0, 1]);
        writer.written(1, &[0, 1], Ok(()));
        assert_eq!(numbers(writer.next(2)), [2, 3]);
    }

    #[test]
    fn a_name_is_taken_over_only_from_a_holder_that_was_silent_for_a_whole_lease() {
        let mut writer = Writer::new(Figures::default(), 1);
        writer.connected(0, Ok(()));
        let lease = Figures::default().lease;
        let (mut now, mut beat, mut last_sign) = (0, 5, 0);
        while now < 3 * lease {
            match writer.next(now) {
                Step::Claim { silent: None } => {
                    // Until one lease is over, the holder gives signs.
                    if now < lease {
                        (beat, last_sign) = (beat + 1, now);
                    }
                    writer.claimed(now, Ok(Claim::Other { epoch: 4, beat }));
                    assert_eq!(writer.held_by_other(), Some(beat > 6), "{now}: its life is seen by a sign");
                }
                Step::Claim { silent } => {
                    assert_eq!(silent, Some((4, beat)));
                    assert!(now >= last_sign + lease, "{now}: its last sign came at {last_sign}");
                    writer.claimed(now, Ok(Claim::Held(5)));
                    assert_eq!((writer.epoch(), writer.held_by_other()), (Some(5), None));
                    return;
                }
                Step::Wait(at) => now = at,
                other => panic!("{other:?}"),
            }
        }
        panic!("never taken over");
    }

    #[test]
    fn who_is_fenced_off_writes_no_more() {
        let mut writer = open(8);
        writer.queue(1, entry("a"));
        assert_eq!(numbers(writer.next(1)), [1]);
        writer.written(1, &[1], Err(Failure::Fenced("epoch 4".into())));
        writer.queue(2, entry("b"));
        assert_eq!(writer.next(i64::MAX), Step::Stop("epoch 4".into()));
        assert_eq!(writer.queued(), 2, "nothing is dropped");
    }

    #[test]
    fn the_name_is_held_by_signs_while_nothing_is_written() {
        let mut writer = open(8);
        let Step::Wait(at) = writer.next(1) else { panic!("waits") };
        assert!(at <= Figures::default().lease / 2);
        assert_eq!(writer.next(at), Step::Beat { epoch: 3 });
        writer.beaten(at, Ok(()));
        assert!(matches!(writer.next(at), Step::Wait(_)));
    }

    #[test]
    fn an_honest_advice_counts_the_next_try_and_what_waits() {
        let mut writer = open(100);
        (0..1000).for_each(|n| writer.queue(n, entry(&n.to_string())));
        let first: Vec<u64> = (0..100).collect();
        writer.written(100_000, &first, Ok(()));
        assert!(writer.rate() > 0.0);
        let drains = writer.room_at(100_000);
        writer.written(100_000, &[], Err(Failure::Full("disk".into())));
        let Step::Wait(at) = writer.next(100_000) else { panic!("waits") };
        assert!(writer.room_at(100_000) > at && writer.room_at(100_000) > drains);
    }
}
