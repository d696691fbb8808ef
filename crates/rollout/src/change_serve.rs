//! Serves changes from the log to those who ask for them, a few for each request and within the budget.

use std::collections::BTreeMap;

use destinations::Version;
use fleet::{Micros, Peer};

use crate::budget::Budget;
use crate::catch_up::MOST_CHANGES;
use crate::message::Message;
use crate::push::change_messages;
use crate::replica::Replica;

/// Requests that wait at the most; one that is dropped is sent again.
const MOST_WAITING: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    after: Version,
    left: u64,
}

/// The requests that wait for their changes.
#[derive(Clone, Debug, Default)]
pub struct ChangeServer {
    waiting: BTreeMap<Peer, Waiting>,
    /// Who was served last; the next one in turn goes on.
    last: Peer,
}

impl ChangeServer {
    /// Takes a request for the changes after a version. The newer request of a machine replaces its older one.
    pub fn request(&mut self, from: Peer, after: Version) {
        if self.waiting.len() < MOST_WAITING || self.waiting.contains_key(&from) {
            self.waiting.insert(from, Waiting { after, left: MOST_CHANGES });
        }
    }

    /// Changes to send now within the budget, one machine after the other; how many they are.
    pub fn poll(
        &mut self, now: Micros, replica: &Replica, budget: &mut Budget, out: &mut Vec<(Peer, Message)>,
    ) -> u64 {
        let mut sent = 0;
        while let Some((peer, waiting)) = self.next() {
            let Some(mut changes) = replica.since(waiting.after) else {
                let version = replica.version();
                // Whoever asks for what is not there yet is answered by nothing; it is not compacted away.
                if waiting.after < version {
                    out.push((peer, Message::ChangesCompacted { after: waiting.after, version }));
                }
                self.waiting.remove(&peer);
                continue;
            };
            let (Some(signed), Some(version)) = (changes.next(), waiting.after.next()) else {
                self.waiting.remove(&peer);
                continue;
            };
            if !budget.take(now, signed.encoded_len()) {
                break;
            }
            out.extend(change_messages(version, signed).map(|message| (peer, message)));
            sent += 1;
            self.last = peer;
            let left = waiting.left - 1;
            self.waiting.insert(peer, Waiting { after: version, left });
            if left == 0 {
                self.waiting.remove(&peer);
            }
        }
        sent
    }

    /// Whether something waits for the budget.
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whose turn it is.
    fn next(&self) -> Option<(Peer, Waiting)> {
        let after = self.waiting.range(self.last.saturating_add(1)..).next();
        after.or_else(|| self.waiting.iter().next()).map(|(peer, waiting)| (*peer, *waiting))
    }
}
