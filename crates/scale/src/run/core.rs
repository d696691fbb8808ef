//! The control cores of a relay, by the numbers of their channels on the wire.

/// Cores that there are.
pub(super) const CORES: usize = 4;

/// A control core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Core {
    /// The link and its membership (crate `fleet`).
    Link,
    /// Limit coordinators (crate `permits`).
    Permits,
    /// Health observations (crate `peers`).
    Observations,
    /// Maintenance (crate `turns`).
    Maintenance,
}

impl Core {
    /// All cores.
    pub(super) const ALL: [Core; CORES] = [Core::Link, Core::Permits, Core::Observations, Core::Maintenance];

    /// Where it is counted.
    pub(super) fn slot(self) -> usize {
        self as usize
    }

    /// The core that a channel belongs to; the link's own has the number 0.
    pub(super) fn of_channel(channel: u8) -> Core {
        match channel {
            permits::item::CHANNEL => Core::Permits,
            peers::node::CHANNEL => Core::Observations,
            turns::item::CHANNEL => Core::Maintenance,
            _ => Core::Link,
        }
    }
}
