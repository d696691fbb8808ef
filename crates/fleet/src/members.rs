//! Membership: which relays are alive, suspect or dead (`Gone`), from datagrams alone.
//!
//! A peer that does not answer is suspected; it refutes the suspicion or is declared dead, and comes back with a new
//! incarnation (SWIM's suspicion, incarnation and refutation). One lost datagram never makes a peer dead.
//!
//! Silent peers are pinged in turn, by each relay in a shuffled order of its own, so that every peer is pinged by some relay
//! within seconds however large the fleet is. Each change that one detects is disseminated ([`crate::updates`]), so that the
//! others need not detect it themselves. With one order for all, a datagram would reach neighbours in that order alone.
//!
//! The `foca` crate does this well, but its wire format does not fit: it owns the datagram, where observations,
//! membership and a MAC have to share 256 bytes, and each of its probes costs a datagram, where any datagram shows
//! that its sender is alive.

use std::collections::BTreeMap;

use crate::updates::{Update, Updates};
use crate::{Micros, Peer, SECOND, rendezvous};

pub use crate::updates::MemberState;

/// Maximum number of peers that are sent a datagram at one check; the others follow at the next checks.
const MAX_RECEIVERS_PER_CHECK: usize = 4;
/// Interval without a datagram after which a peer is pinged, in microseconds.
pub const PING_AFTER: Micros = 2 * SECOND;
/// Timeout of a ping, after which the peer is pinged again, in microseconds.
pub const PING_TIMEOUT: Micros = SECOND;
/// Number of pings in a row without an answer after which a peer is suspected. Each suspicion is passed on to all, so that
/// one lost datagram must not cause it: with a loss of 1% in each direction one ping in 50 has no answer.
const PINGS_BEFORE_SUSPICION: u8 = 2;
/// Time of suspicion after which a peer is declared dead, in microseconds.
pub const SUSPICION_TIMEOUT: Micros = 3 * SECOND;

/// Minimum interval between pings to a dead peer, in microseconds.
const MIN_DEAD_PING_INTERVAL: Micros = 5 * SECOND;
/// Maximum interval between pings to a dead peer, in microseconds.
const MAX_DEAD_PING_INTERVAL: Micros = 10 * SECOND;

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its latest known incarnation; 0 before its first datagram.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// When a datagram of its own last arrived.
    pub last_heard: Option<Micros>,
    /// When it was last pinged, if it has not answered since then.
    last_pinged: Option<Micros>,
    /// Number of pings since its last datagram.
    unanswered_pings: u8,
    /// When the suspicion began.
    suspected_at: Option<Micros>,
}

impl Member {
    /// Whether no datagram of it arrived for [`PING_AFTER`].
    fn silent(&self, now: Micros) -> bool {
        self.last_heard.is_none_or(|last_heard| now - last_heard >= PING_AFTER)
    }

    /// Whether a ping is due, with this interval between pings to a dead peer.
    fn ping_due(&self, now: Micros, dead_interval: Micros) -> bool {
        let interval = if self.state == MemberState::Gone { dead_interval } else { PING_TIMEOUT };
        self.silent(now) && self.last_pinged.is_none_or(|at| now - at >= interval)
    }

    /// Whether it left a ping of this relay without an answer, and is not dead yet. Its further pings go first, so that a
    /// lost datagram is made good before it is suspected or declared dead.
    fn unanswered(&self) -> bool {
        self.state != MemberState::Gone && self.last_pinged.is_some()
    }

    /// Suspects a silent peer, or declares it dead, once its time to answer or to refute is over. Returns whether its state
    /// changed.
    fn expire(&mut self, now: Micros) -> bool {
        let before = self.state;
        let unanswered = self.last_pinged.is_some_and(|at| now - at >= PING_TIMEOUT);
        if unanswered && self.unanswered_pings >= PINGS_BEFORE_SUSPICION && self.state == MemberState::Alive {
            (self.state, self.suspected_at) = (MemberState::Suspect, Some(now));
        }
        // A relay that only received a report of the suspicion waits longer than those that pinged the peer, so that a
        // refutation has time to reach all.
        let time_to_refute =
            if self.unanswered_pings > 0 { SUSPICION_TIMEOUT } else { 2 * SUSPICION_TIMEOUT };
        if self.suspected_at.is_some_and(|since| now - since >= time_to_refute) {
            (self.state, self.suspected_at) = (MemberState::Gone, None);
        }
        self.state != before
    }
}

/// What follows from a report of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// Nothing has to be sent.
    None,
    /// The report concerns this relay, which is alive: it raised its incarnation and says so.
    Refute,
    /// A datagram of the peer arrived a short time ago: this relay notifies it of the report, so that it can refute it.
    Warn,
}

/// Peers that are sent a datagram at one check of the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Silent peers to ping.
    pub pings: Vec<Peer>,
    /// Further peers that are sent updates, while there are any.
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
    /// Index in the order at which the next check begins, so that all peers are reached in turn.
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
        let initial = Member {
            incarnation: 0,
            state: MemberState::Alive,
            last_heard: None,
            last_pinged: None,
            unanswered_pings: 0,
            suspected_at: None,
        };
        let me = self.me;
        let named = peers.into_iter().filter(|peer| *peer != me);
        self.all = named.map(|peer| (peer, self.all.get(&peer).copied().unwrap_or(initial))).collect();
        self.order = self.all.keys().copied().collect();
        self.order.sort_by_key(|peer| rendezvous(i64::from(me), *peer));
        self.cursor = 0;
        let all = &self.all;
        self.updates.retain(|peer| peer == me || all.contains_key(&peer));
    }

    /// Whether a peer is in the list.
    pub fn contains(&self, peer: Peer) -> bool {
        self.all.contains_key(&peer)
    }

    /// All peers with their states.
    pub fn all(&self) -> impl Iterator<Item = (Peer, Member)> + '_ {
        self.all.iter().map(|(peer, member)| (*peer, *member))
    }

    /// Peers that are not dead.
    pub fn present(&self) -> Vec<Peer> {
        let present = self.all.iter().filter(|(_, member)| member.state != MemberState::Gone);
        present.map(|(peer, _)| *peer).collect()
    }

    /// This relay's incarnation, which is raised to refute a suspicion.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Records that a datagram of a peer has arrived. Returns the peer's state if it counted as suspect or dead in this very
    /// incarnation: it has to be notified, as the others accept only a new incarnation as a refutation.
    pub fn record_datagram(&mut self, now: Micros, peer: Peer, incarnation: u32) -> Option<MemberState> {
        let member = self.all.get_mut(&peer).filter(|member| incarnation >= member.incarnation)?;
        let before = (member.incarnation, member.state);
        *member = Member {
            incarnation,
            state: MemberState::Alive,
            last_heard: Some(now),
            last_pinged: None,
            unanswered_pings: 0,
            suspected_at: None,
        };
        let (known, state) = before;
        if state == MemberState::Alive {
            return None;
        }
        if state == MemberState::Gone {
            self.ping_dead_soon();
        }
        if incarnation == known {
            self.updates.forget(peer);
            return Some(state);
        }
        self.pass_on(Update { peer, incarnation, state: MemberState::Alive });
        None
    }

    /// Makes pings to dead peers due at once: one of them has returned, which may be the end of a partition.
    fn ping_dead_soon(&mut self) {
        for member in self.all.values_mut().filter(|member| member.state == MemberState::Gone) {
            member.last_pinged = None;
        }
    }

    /// Applies another relay's report of the state of a peer.
    pub fn apply_report(
        &mut self, now: Micros, peer: Peer, incarnation: u32, state: MemberState,
    ) -> Reaction {
        if peer == self.me {
            return self.apply_report_on_self(incarnation, state);
        }
        let Some(member) = self.all.get_mut(&peer) else { return Reaction::None };
        let newer = incarnation > member.incarnation;
        let worse = incarnation == member.incarnation && state > member.state;
        // Reports on the same incarnation do not override a datagram that arrived a short time ago.
        if worse && member.last_heard.is_some_and(|last_heard| now - last_heard < PING_AFTER) {
            return Reaction::Warn;
        }
        if newer || worse {
            // A ping to an earlier incarnation does not count as unanswered by the new one.
            if newer {
                (member.last_pinged, member.unanswered_pings) = (None, 0);
            }
            let returns = member.state == MemberState::Gone && state == MemberState::Alive;
            member.suspected_at = (state == MemberState::Suspect).then_some(now);
            (member.incarnation, member.state) = (incarnation, state);
            self.pass_on(Update { peer, incarnation, state });
            if returns {
                self.ping_dead_soon();
            }
        }
        Reaction::None
    }

    fn apply_report_on_self(&mut self, incarnation: u32, state: MemberState) -> Reaction {
        if state == MemberState::Alive || incarnation < self.incarnation {
            return Reaction::None;
        }
        self.incarnation = incarnation.saturating_add(1);
        self.pass_on(Update { peer: self.me, incarnation: self.incarnation, state: MemberState::Alive });
        Reaction::Refute
    }

    /// Up to `max_count` updates for the next frame of the membership channel.
    pub fn take_updates(&mut self, max_count: usize) -> Vec<Update> {
        self.updates.take(max_count)
    }

    /// Living peers that are sent updates at once, because a refutation may come too late at the next check.
    pub fn urgent_receivers(&mut self) -> Vec<Peer> {
        self.receivers(MAX_RECEIVERS_PER_CHECK, &[])
    }

    fn pass_on(&mut self, update: Update) {
        self.updates.add(update, self.all.len() + 1);
    }

    /// The incarnation and state of a peer that is not alive, as they are reported to others.
    pub fn suspect_or_dead(&self, peer: Peer) -> Option<(u32, MemberState)> {
        let member = self.all.get(&peer).filter(|member| member.state != MemberState::Alive)?;
        Some((member.incarnation, member.state))
    }

    /// Updates the states of silent peers, and returns the peers to send a datagram to now. Their number is limited, so that
    /// pings do not use up the budget in a large fleet.
    pub fn check(&mut self, now: Micros) -> Round {
        self.expire(now);
        let pings = self.due(now);
        for peer in &pings {
            if let Some(member) = self.all.get_mut(peer) {
                member.last_pinged = Some(now);
                member.unanswered_pings = member.unanswered_pings.saturating_add(1);
            }
        }
        let updates_to = self.receivers(MAX_RECEIVERS_PER_CHECK - pings.len(), &pings);
        Round { pings, updates_to }
    }

    fn expire(&mut self, now: Micros) {
        let mut changed = Vec::new();
        for (peer, member) in self.all.iter_mut().filter(|(_, member)| member.silent(now)) {
            if member.expire(now) {
                changed.push(Update { peer: *peer, incarnation: member.incarnation, state: member.state });
            }
        }
        changed.into_iter().for_each(|update| self.pass_on(update));
    }

    /// Peers to ping now: those that left a ping without an answer, then the others in turn.
    fn due(&mut self, now: Micros) -> Vec<Peer> {
        let me = self.me;
        let ping_due = |peer: Peer, member: &Member| member.ping_due(now, dead_interval(me, peer));
        let again = self.all.iter().filter(|(peer, member)| member.unanswered() && ping_due(**peer, member));
        let mut due: Vec<Peer> = again.map(|(peer, _)| *peer).take(MAX_RECEIVERS_PER_CHECK).collect();
        let others = |peer: Peer, member: &Member| !member.unanswered() && ping_due(peer, member);
        due.extend(self.next_in_turn(MAX_RECEIVERS_PER_CHECK - due.len(), others));
        due
    }

    /// Living peers that are sent updates though no ping is due to them, while there are updates.
    fn receivers(&mut self, max_count: usize, excluded: &[Peer]) -> Vec<Peer> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        self.next_in_turn(max_count, |peer, member| {
            member.state == MemberState::Alive && !excluded.contains(&peer)
        })
    }

    /// The next peers in turn that are suitable; the next call continues after the last of them.
    fn next_in_turn(&mut self, max_count: usize, suitable: impl Fn(Peer, &Member) -> bool) -> Vec<Peer> {
        let mut chosen = Vec::new();
        for index in (self.cursor..self.order.len()).chain(0..self.cursor) {
            if chosen.len() == max_count {
                break;
            }
            let peer = self.order[index];
            if self.all.get(&peer).is_some_and(|member| suitable(peer, member)) {
                chosen.push(peer);
                self.cursor = index + 1;
            }
        }
        chosen
    }
}

/// Interval at which a relay pings a dead peer, in microseconds. It differs between pairs of relays, so that the end of a
/// partition is detected soon even if all peers were declared dead at the same time.
fn dead_interval(me: Peer, peer: Peer) -> Micros {
    let span = (MAX_DEAD_PING_INTERVAL - MIN_DEAD_PING_INTERVAL) as u64;
    MIN_DEAD_PING_INTERVAL + (rendezvous(i64::from(me), peer) % span) as Micros
}
