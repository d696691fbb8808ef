//! Who is there, by notes alone: a peer that does not answer is suspected, says otherwise or is gone, and comes
//! back with a new incarnation (SWIM's suspicion, incarnation and refutation). Owns the list of peers. It must
//! never take a peer for gone on one lost note.
//!
//! The `foca` crate does this well, and was left aside for its wire: it owns the datagram, where facts, members
//! and a MAC have to share 256 bytes, and its probes cost a note each where any note with a fact shows as much.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, Peer, SECOND};

/// So many peers are asked at once; the others at the next look.
const ASKED_AT_ONCE: usize = 8;
/// A peer that said nothing for so long is asked.
pub const QUIET: Micros = 2 * SECOND;
/// One that was asked and said nothing for so long is suspected; and asked again.
pub const UNANSWERED: Micros = SECOND;
/// One that was suspected for so long is gone.
pub const SUSPECTED: Micros = 3 * SECOND;

/// Where a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It was heard from.
    Alive,
    /// It did not answer; it may say otherwise.
    Suspect,
    /// It did not answer for long.
    Gone,
}

/// A peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its incarnation, as far as heard; 0 where it never was.
    pub incarnation: u32,
    /// Where it stands.
    pub standing: Standing,
    /// When it was last heard from, by itself.
    pub heard: Option<Micros>,
    /// When it was asked and has not answered since.
    asked: Option<Micros>,
    /// Since when it is suspected.
    suspected: Option<Micros>,
}

/// All peers of the tier but this one.
#[derive(Clone, Debug)]
pub struct Members {
    me: Peer,
    incarnation: u32,
    all: BTreeMap<Peer, Member>,
}

impl Members {
    /// Peers of whom nothing is known yet but that they are listed.
    pub fn new(me: Peer, incarnation: u32, peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut members = Members { me, incarnation, all: BTreeMap::new() };
        members.replace(peers);
        members
    }

    /// Another list of peers, as on a reload; what is known of those that stay is kept.
    pub fn replace(&mut self, peers: impl IntoIterator<Item = Peer>) {
        let fresh =
            Member { incarnation: 0, standing: Standing::Alive, heard: None, asked: None, suspected: None };
        let me = self.me;
        let named = peers.into_iter().filter(|peer| *peer != me);
        self.all = named.map(|peer| (peer, self.all.get(&peer).copied().unwrap_or(fresh))).collect();
    }

    /// Whether a peer is of the tier.
    pub fn has(&self, peer: Peer) -> bool {
        self.all.contains_key(&peer)
    }

    /// All, with where they stand.
    pub fn all(&self) -> impl Iterator<Item = (Peer, Member)> + '_ {
        self.all.iter().map(|(peer, member)| (*peer, *member))
    }

    /// Peers that are not gone.
    pub fn present(&self) -> Vec<Peer> {
        let present = self.all.iter().filter(|(_, member)| member.standing != Standing::Gone);
        present.map(|(peer, _)| *peer).collect()
    }

    /// This relay's incarnation: raised where somebody said that it is not there.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// A peer said something itself.
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

    /// Somebody says where a peer stands; tells whether this relay has to say otherwise of itself.
    pub fn told(&mut self, now: Micros, peer: Peer, incarnation: u32, standing: Standing) -> bool {
        if peer == self.me {
            let wrong = standing != Standing::Alive && incarnation >= self.incarnation;
            if wrong {
                self.incarnation = incarnation.saturating_add(1);
            }
            return wrong;
        }
        let Some(member) = self.all.get_mut(&peer) else { return false };
        // What this relay heard of it itself lately, hearsay of the same incarnation does not undo.
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

    /// Where a peer stands and its incarnation, for those who are to hear of it: anything but alive.
    pub fn doubted(&self, peer: Peer) -> Option<(u32, Standing)> {
        let member = self.all.get(&peer).filter(|member| member.standing != Standing::Alive)?;
        Some((member.incarnation, member.standing))
    }

    /// Whom to ask whether they are there, now; moves on who did not answer. Who is gone is asked now and then. Among many
    /// only some are asked at each look, so that a large fleet does not speak of nothing else.
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
