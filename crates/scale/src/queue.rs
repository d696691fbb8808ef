//! Events in the order of their simulated time. Events of the same moment come in the order in which they were added, so
//! that a run is the same each time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::time::Micros;

/// An event that waits for its moment. Ordered by moment, then by number, the earliest as the greatest.
#[derive(Debug)]
struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A queue of events, and the simulated time: that of the event that was taken last.
#[derive(Debug)]
pub struct EventQueue<E> {
    waiting: BinaryHeap<Entry<E>>,
    added: u64,
    now: Micros,
}

impl<E> EventQueue<E> {
    /// An empty queue at that moment.
    pub fn new(now: Micros) -> Self {
        EventQueue { waiting: BinaryHeap::new(), added: 0, now }
    }

    /// The simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Adds an event; one for a moment that has passed comes now.
    pub fn push(&mut self, at: Micros, event: E) {
        self.added += 1;
        self.waiting.push(Entry { at: at.max(self.now), number: self.added, event });
    }

    /// Takes the next event, and moves the time on to it.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        let Entry { at, event, .. } = self.waiting.pop()?;
        self.now = at;
        Some((at, event))
    }

    /// Takes the next event that is due by that moment; where there is none, moves the time on to the moment.
    pub fn pop_until(&mut self, until: Micros) -> Option<(Micros, E)> {
        if self.next_at().is_some_and(|at| at <= until) {
            return self.pop();
        }
        self.now = self.now.max(until);
        None
    }

    /// The moment of the next event.
    pub fn next_at(&self) -> Option<Micros> {
        self.waiting.peek().map(|entry| entry.at)
    }

    /// Events that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
