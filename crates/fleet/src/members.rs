//! Membership: which relays are alive, suspect or dead (`Gone`), from datagrams alone.
//!
//! A peer that does not answer is suspected; it refutes the suspicion or is declared dead, and comes back with a new
//! incarnation (SWIM's suspicion, incarnation and refutation). One lost datagram never makes a peer dead.
//!
//! Silent peers are pinged in turn, by each relay in a shuffled order of its own, so that every peer is pinged by some relay
//! within seconds however large the fleet is. What one finds out it passes on ([`crate::updates`]), so that the others
//! need not find it out themselves. With one order for all, a message would reach neighbours in that order alone.
//!
//! The `foca` crate does this well, but its wire format does not fit: it owns the datagram, where observations,
//! membership and a MAC have to share 256 bytes, and each of its probes costs a datagram, where any datagram shows
//! that its sender is alive.

use std::collections::BTreeMap;

use crate::updates::{Update, Updates};
use crate::{Micros, Peer, SECOND, rendezvous};

pub use crate::updates::Standing;

/// Maximum number of peers to which messages go at one check; the others follow at the next checks.
const ASKED_AT_ONCE: usize = 4;
/// Time of silence after which a peer is pinged, in microseconds.
pub const QUIET: Micros = 2 * SECOND;
/// Time without an answer to a ping after which a peer is pinged again, in microseconds.
pub const UNANSWERED: Micros = SECOND;
/// Number of pings in a row without an answer after which a peer is suspected. Each suspicion is passed on to all, so that
/// one lost datagram must not cause it: with a loss of 1% in each direction one ping in 50 has no answer.
const SUSPECTED_AFTER: u8 = 2;
/// Time of suspicion after which a peer is declared dead, in microseconds.
pub const SUSPECTED: Micros = 3 * SECOND;

/// Shortest and longest interval between pings to a dead peer, in microseconds.
const DEAD_PINGED_AFTER: Micros = 5 * SECOND;
const DEAD_PINGED_WITHIN: Micros = 10 * SECOND;

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
    /// Number of pings since it was last heard.
    pings: u8,
    /// When the suspicion began.
    suspected: Option<Micros>,
}

impl Member {
    /// Whether nothing of it arrived for [`QUIET`].
    fn silent(&self, now: Micros) -> bool {
        self.heard.is_none_or(|heard| now - heard >= QUIET)
    }

    /// Whether a ping is due, where those to a dead peer are this long apart.
    fn ping_due(&self, now: Micros, dead_interval: Micros) -> bool {
        let interval = if self.standing == Standing::Gone { dead_interval } else { UNANSWERED };
        self.silent(now) && self.asked.is_none_or(|at| now - at >= interval)
    }

    /// Whether it left a ping of this relay without an answer, and is not dead yet. Its further pings go first, so that a
    /// lost datagram is made good before it is suspected or declared dead.
    fn unanswered(&self) -> bool {
        self.standing != Standing::Gone && self.asked.is_some()
    }

    /// Moves on a silent peer whose time to answer, or to refute, is over. Returns whether its state changed.
    fn expire(&mut self, now: Micros) -> bool {
        let before = self.standing;
        let unanswered = self.asked.is_some_and(|at| now - at >= UNANSWERED);
        if unanswered && self.pings >= SUSPECTED_AFTER && self.standing == Standing::Alive {
            (self.standing, self.suspected) = (Standing::Suspect, Some(now));
        }
        // Who was only told of the suspicion leaves it to those who pinged the peer, so that a refutation has time to reach all.
        let time_to_refute = if self.pings > 0 { SUSPECTED } else { 2 * SUSPECTED };
        if self.suspected.is_some_and(|since| now - since >= time_to_refute) {
            (self.standing, self.suspected) = (Standing::Gone, None);
        }
        self.standing != before
    }
}

/// What follows from a report of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// Nothing has to be sent.
    None,
    /// The report concerns this relay, which is alive: it raised its incarnation and says so.
    Refute,
    /// This relay heard the peer a short time ago: it tells the peer of the report, so that it can refute it.
    Warn,
}

/// Peers to which messages go at one check of the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Silent peers to ping.
    pub pings: Vec<Peer>,
    /// Further peers to which updates are passed on, while there are any.
    pub updates_to: Vec<Peer>,
}

/// All relays of the fleet but this one.
#[derive(Clone, Debug)]
pub struct Members {
    me: Peer,
    incarnation: u32,
    all: BTreeMap<Peer, Member>,
    /// The peers in this relay's own shuffled order.
    order: Vec<Peer>,
    /// The place in the order at which the next check begins, so that all have their turn.
    cursor: usize,
    updates: Updates,
}

impl Members {
    /// Creates the membership from a list of peers, all taken for alive.
    pub fn new(me: Peer, incarnation: u32, peers: impl IntoIterator<Item = Peer>) -> Self {
        let (all, order, updates) = (BTreeMap::new(), Vec::new(), Updates::default());
        let mut members = Members { me, incarnation, all, order, cursor: 0, updates };
        members.replace(peers);
        members
    }

    /// Replaces the list of peers, as on a reload. The state of those that stay is kept.
    pub fn replace(&mut self, peers: impl IntoIterator<Item = Peer>) {
        let fresh = Member {
            incarnation: 0,
            standing: Standing::Alive,
            heard: None,
            asked: None,
            pings: 0,
            suspected: None,
        };
        let me = self.me;
        let named = peers.into_iter().filter(|peer| *peer != me);
        self.all = named.map(|peer| (peer, self.all.get(&peer).copied().unwrap_or(fresh))).collect();
        self.order = self.all.keys().copied().collect();
        self.order.sort_by_key(|peer| rendezvous(i64::from(me), *peer));
        self.cursor = 0;
        let all = &self.all;
        self.updates.retain(|peer| peer == me || all.contains_key(&peer));
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

    /// A datagram of a peer's own has arrived. Returns its state if the peer was taken for suspect or dead in this very
    /// incarnation: it has to be told, as only a new incarnation of its own convinces the others.
    pub fn heard(&mut self, now: Micros, peer: Peer, incarnation: u32) -> Option<Standing> {
        let member = self.all.get_mut(&peer).filter(|member| incarnation >= member.incarnation)?;
        let before = (member.incarnation, member.standing);
        *member = Member {
            incarnation,
            standing: Standing::Alive,
            heard: Some(now),
            asked: None,
            pings: 0,
            suspected: None,
        };
        let (known, standing) = before;
        if standing == Standing::Alive {
            return None;
        }
        if standing == Standing::Gone {
            self.ping_dead_soon();
        }
        if incarnation == known {
            self.updates.forget(peer);
            return Some(standing);
        }
        self.pass_on(Update { peer, incarnation, standing: Standing::Alive });
        None
    }

    /// One that was dead is alive, which may be the end of a cut: the other dead ones are pinged without waiting for their
    /// long interval.
    fn ping_dead_soon(&mut self) {
        for member in self.all.values_mut().filter(|member| member.standing == Standing::Gone) {
            member.asked = None;
        }
    }

    /// Another relay reports the state of a peer.
    pub fn told(&mut self, now: Micros, peer: Peer, incarnation: u32, standing: Standing) -> Reaction {
        if peer == self.me {
            return self.told_of_oneself(incarnation, standing);
        }
        let Some(member) = self.all.get_mut(&peer) else { return Reaction::None };
        let newer = incarnation > member.incarnation;
        let worse = incarnation == member.incarnation && standing > member.standing;
        // Reports about the same incarnation do not override what this relay heard itself a short time ago.
        if worse && member.heard.is_some_and(|heard| now - heard < QUIET) {
            return Reaction::Warn;
        }
        if newer || worse {
            // A ping of an earlier incarnation is not one that this incarnation left unanswered.
            if newer {
                (member.asked, member.pings) = (None, 0);
            }
            let returns = member.standing == Standing::Gone && standing == Standing::Alive;
            member.suspected = (standing == Standing::Suspect).then_some(now);
            (member.incarnation, member.standing) = (incarnation, standing);
            self.pass_on(Update { peer, incarnation, standing });
            if returns {
                self.ping_dead_soon();
            }
        }
        Reaction::None
    }

    fn told_of_oneself(&mut self, incarnation: u32, standing: Standing) -> Reaction {
        if standing == Standing::Alive || incarnation < self.incarnation {
            return Reaction::None;
        }
        self.incarnation = incarnation.saturating_add(1);
        self.pass_on(Update { peer: self.me, incarnation: self.incarnation, standing: Standing::Alive });
        Reaction::Refute
    }

    /// Up to `most` updates for the next datagram of the link's own.
    pub fn take_updates(&mut self, most: usize) -> Vec<Update> {
        self.updates.take(most)
    }

    /// Living peers to which updates go at once, as a refutation does that may come too late at the next check.
    pub fn urgent(&mut self) -> Vec<Peer> {
        self.receivers(ASKED_AT_ONCE, &[])
    }

    fn pass_on(&mut self, update: Update) {
        self.updates.add(update, self.all.len() + 1);
    }

    /// The incarnation and state of a peer that is not alive, as they are reported to others.
    pub fn doubted(&self, peer: Peer) -> Option<(u32, Standing)> {
        let member = self.all.get(&peer).filter(|member| member.standing != Standing::Alive)?;
        Some((member.incarnation, member.standing))
    }

    /// Updates the states of silent peers, and returns those to which messages go now. The number is limited, so that pings
    /// do not fill the budget of a large fleet.
    pub fn check(&mut self, now: Micros) -> Round {
        self.expire(now);
        let pings = self.due(now);
        for peer in &pings {
            if let Some(member) = self.all.get_mut(peer) {
                member.asked = Some(now);
                member.pings = member.pings.saturating_add(1);
            }
        }
        let updates_to = self.receivers(ASKED_AT_ONCE - pings.len(), &pings);
        Round { pings, updates_to }
    }

    fn expire(&mut self, now: Micros) {
        let mut changed = Vec::new();
        for (peer, member) in self.all.iter_mut().filter(|(_, member)| member.silent(now)) {
            if member.expire(now) {
                changed.push(Update {
                    peer: *peer,
                    incarnation: member.incarnation,
                    standing: member.standing,
                });
            }
        }
        changed.into_iter().for_each(|update| self.pass_on(update));
    }

    /// Peers that are pinged now: those that left a ping without an answer, then the others in turn.
    fn due(&mut self, now: Micros) -> Vec<Peer> {
        let me = self.me;
        let ping_due = |peer: Peer, member: &Member| member.ping_due(now, dead_interval(me, peer));
        let again = self.all.iter().filter(|(peer, member)| member.unanswered() && ping_due(**peer, member));
        let mut due: Vec<Peer> = again.map(|(peer, _)| *peer).take(ASKED_AT_ONCE).collect();
        let others = |peer: Peer, member: &Member| !member.unanswered() && ping_due(peer, member);
        due.extend(self.next_in_turn(ASKED_AT_ONCE - due.len(), others));
        due
    }

    /// Living peers that are sent updates though no ping is due to them, while there are updates.
    fn receivers(&mut self, most: usize, but: &[Peer]) -> Vec<Peer> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        self.next_in_turn(most, |peer, member| member.standing == Standing::Alive && !but.contains(&peer))
    }

    /// The next peers in turn that are suitable; the turn goes on after the last of them.
    fn next_in_turn(&mut self, most: usize, suitable: impl Fn(Peer, &Member) -> bool) -> Vec<Peer> {
        let mut chosen = Vec::new();
        for place in (self.cursor..self.order.len()).chain(0..self.cursor) {
            if chosen.len() == most {
                break;
            }
            let peer = self.order[place];
            if self.all.get(&peer).is_some_and(|member| suitable(peer, member)) {
                chosen.push(peer);
                self.cursor = place + 1;
            }
        }
        chosen
    }
}

/// Interval at which a relay pings a dead peer, in microseconds. It differs between pairs, so that after a cut one of them
/// soon hears of its end, however long ago and all at once the peers were found dead.
fn dead_interval(me: Peer, peer: Peer) -> Micros {
    let span = (DEAD_PINGED_WITHIN - DEAD_PINGED_AFTER) as u64;
    DEAD_PINGED_AFTER + (rendezvous(i64::from(me), peer) % span) as Micros
}
