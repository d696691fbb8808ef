//! The leases that an upstream has granted, and what each subscriber has acknowledged.

use std::collections::BTreeMap;

use destinations::Version;
use fleet::{Micros, Peer, SECOND};

use crate::message::Refusal;

/// Leases that one machine grants at a time. It bounds what the busiest relay sends: 24 adverts of about 80 bytes a second
/// are 2 KB/s, which leaves 4 KB/s for a snapshot of the 7 KB/s that all control may cost a relay.
pub const MOST_SUBSCRIBERS: usize = 24;
/// A lease runs for this long after a heartbeat, in microseconds: three lost heartbeats do not end it.
pub const LEASE: Micros = 7 * SECOND / 2;
/// How long a push to the backup's subscriber waits, in microseconds, so that the primary's push can make it needless.
pub const BACKUP_DELAY: Micros = SECOND / 5;
/// How long an acknowledgement of a push may take, in microseconds, before it is pushed again; doubled each time.
pub const RESEND: Micros = 3 * SECOND / 10;
/// Pushes of one version to one subscriber at the most; later its heartbeat shows what it lacks.
const MOST_PUSHES: u32 = 4;
/// Changes that are pushed to a subscriber beyond what it has acknowledged. One that lacks more asks for them itself.
///
/// There is no limit of bytes a second beside this window: after a partition has healed, new changes wait behind the backlog,
/// which is therefore passed on as fast as it is acknowledged. How long that burst is follows from how many changes were missed.
pub const PUSH_WINDOW: u64 = 4;

/// A granted lease.
#[derive(Clone, Copy, Debug)]
struct Lease {
    until: Micros,
    primary: bool,
    /// The version that the subscriber is known to have.
    acknowledged: Version,
    /// The version up to which changes were pushed to it since then.
    pushed: Version,
    /// When the newest changes are pushed to it, if they are.
    push_at: Option<Micros>,
    /// Pushes since the last acknowledgement.
    pushes: u32,
}

/// All leases of one machine.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    leases: BTreeMap<Peer, Lease>,
}

impl Subscribers {
    /// Grants or renews the lease of a subscriber that has `version`, where `newest` is what is in force here.
    ///
    /// # Errors
    /// If all leases are taken.
    pub fn renew(
        &mut self, now: Micros, peer: Peer, primary: bool, version: Version, newest: Version,
    ) -> Result<(), Refusal> {
        self.expire(now);
        let until = now + LEASE;
        if let Some(lease) = self.leases.get_mut(&peer) {
            // What a subscriber says now counts, also where it is less than before: it may have restarted.
            if version < lease.acknowledged {
                lease.pushed = version;
            }
            (lease.until, lease.primary, lease.acknowledged) = (until, primary, version);
            if version >= newest {
                lease.push_at = None;
            }
            return Ok(());
        }
        if self.leases.len() >= MOST_SUBSCRIBERS {
            return Err(Refusal::Full);
        }
        let lease =
            Lease { until, primary, acknowledged: version, pushed: version, push_at: None, pushes: 0 };
        self.leases.insert(peer, lease);
        Ok(())
    }

    /// Ends a lease.
    pub fn leave(&mut self, peer: Peer) {
        self.leases.remove(&peer);
    }

    /// A subscriber has all changes up to `version`, where `newest` is what is in force here.
    pub fn acknowledge(&mut self, now: Micros, peer: Peer, version: Version, newest: Version) {
        let Some(lease) = self.leases.get_mut(&peer).filter(|lease| lease.acknowledged < version) else {
            return;
        };
        lease.acknowledged = version;
        if version >= newest {
            lease.push_at = None;
        } else if lease.push_at.is_some() && lease.pushed < newest {
            // The window moved on.
            (lease.push_at, lease.pushes) = (Some(now), 0);
        }
    }

    /// A new version is in force here: it is pushed to all who do not have it, to those at once whose primary this is.
    pub fn publish(&mut self, now: Micros, newest: Version) {
        for lease in self.leases.values_mut().filter(|lease| lease.acknowledged < newest) {
            let delay = if lease.primary { 0 } else { BACKUP_DELAY };
            lease.push_at = Some(lease.push_at.map_or(now + delay, |at| at.min(now + delay)));
            lease.pushes = 0;
        }
    }

    /// Subscribers to whom changes are to be pushed now, with the versions after which and up to which. A first push sends
    /// what was not sent yet, a repeated one all that is not acknowledged.
    pub fn due(&mut self, now: Micros, newest: Version) -> Vec<(Peer, Version, Version)> {
        self.expire(now);
        let mut due = Vec::new();
        for (peer, lease) in
            self.leases.iter_mut().filter(|(_, lease)| lease.push_at.is_some_and(|at| at <= now))
        {
            let known = lease.acknowledged;
            let after = if lease.pushes == 0 { known.max(lease.pushed) } else { known };
            let window = Version { epoch: newest.epoch, number: known.number.saturating_add(PUSH_WINDOW) };
            let end = newest.min(window);
            if after < end {
                due.push((*peer, after, end));
            }
            lease.pushed = lease.pushed.max(end);
            lease.pushes += 1;
            lease.push_at = (lease.pushes < MOST_PUSHES).then(|| now + (RESEND << (lease.pushes - 1)));
        }
        due
    }

    /// When [`Subscribers::due`] has something to do next. Leases that run out need no wake-up.
    pub fn next_at(&self) -> Micros {
        self.leases.values().filter_map(|lease| lease.push_at).min().unwrap_or(Micros::MAX)
    }

    /// Subscribers whose lease runs.
    pub fn peers(&self, now: Micros) -> impl Iterator<Item = Peer> {
        self.leases.iter().filter(move |(_, lease)| lease.until > now).map(|(peer, _)| *peer)
    }

    fn expire(&mut self, now: Micros) {
        self.leases.retain(|_, lease| lease.until > now);
    }
}
