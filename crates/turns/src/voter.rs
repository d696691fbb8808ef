//! One voter: what it knows of each relay, and its votes.
//!
//! Invariant: after a vote for a relay it votes for no other in the same slot or zone until that relay has reported that
//! it serves, and it votes for no relay before it has recovered the votes that it may have lost in a restart.

use std::collections::{BTreeMap, BTreeSet};

use crate::item::{MAX_VOTES_PER_ITEM, RefusalReason, RelayState};
use crate::{MaintenancePolicy, Micros, Peer, SECOND, VoterTime};

/// Maximum duration of a vote round by the clock of the relay that asks, in microseconds.
pub const VOTE_ROUND_TIMEOUT: Micros = SECOND;
/// Time after its start for which a voter votes for no relay, in microseconds. By then each round it voted in is over.
pub const RESTART_WAIT: Micros = 2 * SECOND;
/// Time after which a relay's report that it serves expires, in microseconds.
pub const SERVING_TIMEOUT: Micros = 7 * SECOND / 2;

/// What is known of one relay. Invariant: times are by this voter's own clock, since its present start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    /// When the latest ping that it answered was sent, in milliseconds.
    answered: Option<u32>,
    /// The state in that answer.
    state: Option<RelayState>,
    /// This voter's vote for it, while it may still count: the slot, and when it was given, in milliseconds.
    vote: Option<(u8, u32)>,
}

/// Status of a relay, as a voter counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayStatus {
    /// It serves.
    Serving,
    /// It may be in maintenance, in this slot.
    HoldsSlot(u8),
    /// It is unavailable without a slot: dead, unreachable, starting, or put in standby by operators.
    Away,
    /// It may be in maintenance in any slot.
    Unknown,
}

/// A safety check that model-checking tests disable to show that it is needed. In production always `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DisabledCheck {
    /// No check is disabled.
    #[default]
    None,
    /// A voter that restarts votes at once, and takes relays that it has not heard for serving.
    VoteRecovery,
    /// A vote ends with any report that the relay serves, even in answer to a ping sent before the vote.
    AnswerAfterVote,
    /// A vote counts in any round of the relay that it was given to.
    TokenMatch,
    /// A voter votes for every relay that asks.
    Exclusion,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    me: Peer,
    incarnation: u32,
    started: Micros,
    known: BTreeMap<Peer, Known>,
    /// Relays that reported all their outstanding votes since this voter's [`RESTART_WAIT`] was over.
    vote_reporters: BTreeSet<Peer>,
    pub(crate) disabled: DisabledCheck,
}

impl Voter {
    /// Creates a voter that starts at the present time.
    pub fn new(me: Peer, incarnation: u32, now: Micros) -> Self {
        let (known, vote_reporters) = (BTreeMap::new(), BTreeSet::new());
        Voter { me, incarnation, started: now, known, vote_reporters, disabled: DisabledCheck::None }
    }

    /// The time by this voter's clock.
    pub fn time(&self, now: Micros) -> VoterTime {
        let ms = u32::try_from((now - self.started).max(0) / 1000).unwrap_or(u32::MAX);
        VoterTime { incarnation: self.incarnation, ms }
    }

    fn restart_wait_over(&self, now: Micros) -> bool {
        self.disabled == DisabledCheck::VoteRecovery || now - self.started >= RESTART_WAIT
    }

    /// Records a relay's answer to a ping that this voter sent at `time`.
    pub fn record_answer(
        &mut self, now: Micros, policy: &MaintenancePolicy, from: Peer, time: VoterTime, state: RelayState,
        held: Option<&[(Peer, u8)]>,
    ) {
        if time.incarnation != self.incarnation || time > self.time(now) || from >= policy.relays {
            return;
        }
        let known = self.known.entry(from).or_default();
        if known.answered.is_some_and(|last| last > time.ms) {
            return;
        }
        (known.answered, known.state) = (Some(time.ms), Some(state));
        // A relay that serves, or is away without a slot, has given up the votes for it.
        let asked_after = |at: u32| time.ms > at || self.disabled == DisabledCheck::AnswerAfterVote;
        if matches!(state, RelayState::Serving | RelayState::Away)
            && known.vote.is_some_and(|(_, at)| asked_after(at))
        {
            known.vote = None;
        }
        let after_restart_wait = Micros::from(time.ms) * 1000 >= RESTART_WAIT;
        if let Some(held) = held.filter(|_| after_restart_wait && self.vote_reporters.insert(from)) {
            // Votes that others remember are recorded, as this voter may have lost its own.
            let ms = self.time(now).ms;
            for (peer, slot) in held.iter().filter(|(peer, _)| *peer != self.me && *peer < policy.relays) {
                let known = self.known.entry(*peer).or_default();
                let serving = known.state == Some(RelayState::Serving)
                    && known.answered.is_some_and(|at| at >= time.ms);
                if known.vote.is_none() && !serving {
                    known.vote = Some((*slot, ms));
                }
            }
        }
    }

    /// The present status of a relay.
    pub fn status(&self, now: Micros, policy: &MaintenancePolicy, peer: Peer) -> RelayStatus {
        let Some(known) =
            self.known.get(&peer).filter(|known| known.answered.is_some() || known.vote.is_some())
        else {
            return match self.disabled {
                DisabledCheck::VoteRecovery => RelayStatus::Serving,
                _ if self.informed(policy) => RelayStatus::Away,
                _ => RelayStatus::Unknown,
            };
        };
        if let Some((slot, _)) = known.vote {
            return RelayStatus::HoldsSlot(slot);
        }
        match known.state {
            Some(RelayState::RequestingSlot(slot) | RelayState::InMaintenance(slot)) => {
                RelayStatus::HoldsSlot(slot)
            }
            Some(RelayState::Serving)
                if known
                    .answered
                    .is_some_and(|at| self.time(now).ms - at <= (SERVING_TIMEOUT / 1000) as u32) =>
            {
                RelayStatus::Serving
            }
            _ => RelayStatus::Away,
        }
    }

    /// Whether so many voters reported their votes that each holder of a slot is among those they named. A holder has the votes
    /// of a majority, of which this voter and the holder itself may be two.
    fn informed(&self, policy: &MaintenancePolicy) -> bool {
        let voters = policy.voters().count();
        self.vote_reporters.iter().filter(|peer| policy.is_voter(**peer)).count() > voters - policy.majority()
    }

    /// Whether this voter remembers its votes, or has recovered them from others.
    pub fn knows_votes(&self, now: Micros, policy: &MaintenancePolicy) -> bool {
        self.restart_wait_over(now)
            && (0..policy.relays)
                .filter(|peer| *peer != self.me)
                .all(|peer| self.status(now, policy, peer) != RelayStatus::Unknown)
    }

    /// Relays that this voter voted for and that have not reported since that they serve, with their slots.
    pub fn outstanding_votes(&self) -> Vec<(Peer, u8)> {
        let held = self.known.iter().filter_map(|(peer, known)| Some((*peer, known.vote?.0)));
        held.take(MAX_VOTES_PER_ITEM).collect()
    }

    /// Checks whether `peer` could take that slot now, as far as this voter knows; its own state is `own`.
    ///
    /// # Errors
    /// Why it could not.
    pub fn check_vote(
        &self, now: Micros, policy: &MaintenancePolicy, own: RelayState, peer: Peer, slot: u8,
        written_off: impl Fn(Peer) -> bool,
    ) -> Result<(), RefusalReason> {
        if self.disabled == DisabledCheck::Exclusion {
            return Ok(());
        }
        if !self.restart_wait_over(now) {
            return Err(RefusalReason::JustStarted);
        }
        let mut away = (0u8, None);
        for other in (0..policy.relays).filter(|other| *other != peer) {
            let status = match own {
                _ if other != self.me => self.status(now, policy, other),
                RelayState::Serving => RelayStatus::Serving,
                RelayState::Away => RelayStatus::Away,
                RelayState::RequestingSlot(slot) | RelayState::InMaintenance(slot) => {
                    RelayStatus::HoldsSlot(slot)
                }
            };
            match status {
                RelayStatus::Serving => {}
                _ if written_off(other) => {}
                RelayStatus::Unknown => return Err(RefusalReason::Unknown(other)),
                _ if policy.same_zone(other, peer) => return Err(RefusalReason::ZoneTaken(other)),
                RelayStatus::HoldsSlot(held_slot) if held_slot == slot => {
                    return Err(RefusalReason::SlotTaken(other));
                }
                RelayStatus::HoldsSlot(_) => {}
                RelayStatus::Away => away = (away.0.saturating_add(1), away.1.or(Some(other))),
            }
        }
        match away {
            (away, Some(unavailable_relay)) if slot.saturating_add(away) >= policy.max_unavailable => {
                Err(RefusalReason::TooMany(unavailable_relay))
            }
            _ if slot >= policy.max_unavailable => Err(RefusalReason::SlotTaken(peer)),
            _ => Ok(()),
        }
    }

    /// Records a vote for a relay in a slot.
    pub fn record_vote(&mut self, now: Micros, peer: Peer, slot: u8) {
        let ms = self.time(now).ms;
        // A voter's vote for itself ends with its round.
        if peer != self.me {
            self.known.entry(peer).or_default().vote = Some((slot, ms));
        }
    }

    /// Replaces the number of relays, and forgets what is known of those that are gone.
    pub fn set_relay_count(&mut self, relays: Peer) {
        self.known.retain(|peer, _| *peer < relays);
        self.vote_reporters.retain(|peer| *peer < relays);
    }
}
