//! Membership: which relays are alive, suspect or dead (`Gone`), from datagrams alone.
//!
//! A peer that does not answer is suspected; it refutes the suspicion or is declared dead, and comes back with a new
//! incarnation (SWIM's suspicion, incarnation and refutation). One lost datagram never makes a peer dead.
//!
//! The `foca` crate does this well, but its wire format does not fit: it owns the datagram, where observations,
//! membership and a MAC have to share 256 bytes, and each of its probes costs a datagram, where any datagram shows
//! that its sender is alive.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, Peer, SECOND};

/// Maximum number of peers pinged at once; the others are pinged at the next check.
const ASKED_AT_ONCE: usize = 8;
/// Time of silence after which a peer is pinged, in microseconds.
pub const QUIET: Micros = 2 * SECOND;
/// Time without an answer to a ping after which a peer is suspected and pinged again, in microseconds.
pub const UNANSWERED: Micros = SECOND;
/// Time of suspicion after which a peer is declared dead, in microseconds.
pub const SUSPECTED: Micros = 3 * SECOND;

/// The state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It has been heard.
    Alive,
    /// It did not answer a ping, and may refute the suspicion.
    Suspect,
    /// It is declared dead: it did not refute the suspicion in time.
    Gone,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its latest known incarnation; 0 where it was never heard.
    pub incarnation: u32,
    /// Its state.
    pub standing: Standing,
    /// When a datagram of its own last arrived.
    pub heard: Option<Micros>,
    /// When it was last pinged, if it has not answered since.
    asked: Option<Micros>,
    /// When the suspicion began.
    suspected: Option<Micros>,
}

/// All relays of the fleet but this one.
#[derive(Clone, Debug)]
pub struct Members {
    me: Peer,
    incarnation: u32,
    all: BTreeMap<Peer, Member>,
}

impl Members {
    /// Creates the membership from a list of peers, all taken for alive.
    pub fn new(me: Peer, incarnation: u32, peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut members = Members { me, incarnation, all: BTreeMap::new() };
        members.replace(peers);
        members
    }

    /// Replaces the list of peers, as on a reload. The state of those that stay is kept.
    pub fn replace(&mut self, peers: impl IntoIterator<Item = Peer>) {
        let fresh =
            Member { incarnation: 0, standing: Standing::Alive, heard: None, asked: None, suspected: None };
        let me = self.me;
        let named = peers.into_iter().filter(|peer| *peer != me);
        self.all = named.map(|peer| (peer, self.all.get(&peer).copied().unwrap_or(fresh))).collect();
    }

    /// Whether a peer is in the list.
    pub fn has(&self, peer: Peer) -> bool {
        self.all.contains_key(&peer)
    }

    /// All peers with their states.
    pub fn all(&self) -> impl Iterator<Item = (Peer, Member)> + '_ {
        self.all.iter().map(|(peer, member)| (*peer, *member))
    }

    /// Peers that are not dead.
    pub fn present(&self) -> Vec<Peer> {
        let present = self.all.iter().filter(|(_, member)| member.standing != Standing::Gone);
        present.map(|(peer, _)| *peer).collect()
    }

    /// This relay's incarnation, which is raised to refute a suspicion.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// A datagram of a peer's own has arrived.
    pub fn heard(&mut self, now: Micros, peer: Peer, incarnation: u32) {
        if let Some(member) = self.all.get_mut(&peer).filter(|member| incarnation >= member.incarnation) {
            *member = Member {
                incarnation,
                standing: Standing::Alive,
                heard: Some(now),
                asked: None,
                suspected: None,
            };
        }
    }

    /// Another relay reports the state of a peer. Returns whether the report concerns this relay itself and has to be
    /// refuted.
    pub fn told(&mut self, now: Micros, peer: Peer, incarnation: u32, standing: Standing) -> bool {
        if peer == self.me {
            let wrong = standing != Standing::Alive && incarnation >= self.incarnation;
            if wrong {
                self.incarnation = incarnation.saturating_add(1);
            }
            return wrong;
        }
        let Some(member) = self.all.get_mut(&peer) else { return false };
        // Reports about the same incarnation do not override what this relay heard itself a short time ago.
        let fresh = member.heard.is_some_and(|heard| now - heard < QUIET);
        let newer = incarnation > member.incarnation;
        let worse = incarnation == member.incarnation && standing != Standing::Alive && !fresh;
        if newer || worse {
            member.incarnation = incarnation;
            if standing != member.standing {
                member.suspected = (standing == Standing::Suspect).then_some(now);
                member.standing = standing;
            }
        }
        false
    }

    /// The incarnation and state of a peer that is not alive, as they are reported to others.
    pub fn doubted(&self, peer: Peer) -> Option<(u32, Standing)> {
        let member = self.all.get(&peer).filter(|member| member.standing != Standing::Alive)?;
        Some((member.incarnation, member.standing))
    }

    /// Returns the peers to ping now, and updates the states of those that did not answer. Dead peers are pinged at a
    /// longer interval. The number is limited, so that pings do not fill the budget of a large fleet.
    pub fn ask(&mut self, now: Micros) -> Vec<Peer> {
        let mut asked: Vec<Peer> = Vec::new();
        for (peer, member) in &mut self.all {
            let silent = member.heard.is_none_or(|heard| now - heard >= QUIET);
            if !silent {
                continue;
            }
            let unanswered = member.asked.is_some_and(|at| now - at >= UNANSWERED);
            if unanswered && member.standing == Standing::Alive {
                (member.standing, member.suspected) = (Standing::Suspect, Some(now));
            }
            if member.suspected.is_some_and(|since| now - since >= SUSPECTED) {
                (member.standing, member.suspected) = (Standing::Gone, None);
            }
            let every = if member.standing == Standing::Gone { 5 * QUIET } else { UNANSWERED };
            if asked.len() < ASKED_AT_ONCE && member.asked.is_none_or(|at| now - at >= every) {
                member.asked = Some(now);
                asked.push(*peer);
            }
        }
        asked
    }
}
