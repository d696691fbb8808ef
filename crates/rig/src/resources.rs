//! What a fleet takes of the machine, reckoned before it starts, against what the machine has. It must never change a
//! limit of the machine.

use nix::sys::resource::{Resource, getrlimit};
use nix::unistd::{SysconfVar, sysconf};
use thiserror::Error;

/// Descriptors of the rig itself, beside those of relays.
const DESCRIPTORS_OF_THE_RIG: u64 = 64;
/// Descriptors of the rig for a relay: its agent, log and carrier, and connections of its clients and to its agent.
const DESCRIPTORS_OF_A_RELAY: u64 = 16;
/// Descriptors of the rig for a relay and partner: where the partner listens, and the relay's connection.
const DESCRIPTORS_OF_A_PARTNER: u64 = 2;
/// Resident memory that a relay is reckoned with, in bytes.
const MEMORY_OF_A_RELAY: u64 = 32 << 20;
/// A fleet takes at most one part in so many of the machine's memory.
const PART_OF_MEMORY: u64 = 2;

/// What a fleet takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Open descriptors of the rig.
    pub descriptors: u64,
    /// Memory of all relays, in bytes.
    pub memory_bytes: u64,
}

/// What the machine has for a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Supply {
    /// Descriptors that this process may have open (`RLIMIT_NOFILE`, the soft limit).
    pub descriptors: u64,
    /// Half of the machine's memory, in bytes.
    pub memory_bytes: u64,
}

/// Why a fleet is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// It needs more descriptors than a process may have.
    #[error("relays: the rig needs {needed} descriptors for so many, and may open {allowed}")]
    Descriptors {
        /// For this fleet.
        needed: u64,
        /// By the limit.
        allowed: u64,
    },
    /// It needs more than half of the memory.
    #[error("relays: so many take {needed} bytes of memory, and half of the machine's are {allowed}")]
    Memory {
        /// For this fleet.
        needed: u64,
        /// Half of the machine's.
        allowed: u64,
    },
    /// The system does not tell its limits.
    #[error("the system does not tell its limits: {0}")]
    Unknown(#[from] nix::Error),
}

impl Demand {
    /// What so many relays take that know so many partners.
    pub fn of(relays: usize, partners: usize) -> Self {
        let (relays, partners) = (relays as u64, partners as u64);
        let each = DESCRIPTORS_OF_A_RELAY + DESCRIPTORS_OF_A_PARTNER * partners;
        Demand {
            descriptors: DESCRIPTORS_OF_THE_RIG + relays * each,
            memory_bytes: relays * MEMORY_OF_A_RELAY,
        }
    }

    /// Whether this machine has it.
    ///
    /// # Errors
    /// What it has too little of.
    pub fn check(self) -> Result<(), ResourceError> {
        self.within(Supply::of_the_machine()?)
    }

    /// Whether so much is enough.
    ///
    /// # Errors
    /// What there is too little of.
    pub fn within(self, supply: Supply) -> Result<(), ResourceError> {
        if self.descriptors > supply.descriptors {
            return Err(ResourceError::Descriptors { needed: self.descriptors, allowed: supply.descriptors });
        }
        if self.memory_bytes > supply.memory_bytes {
            return Err(ResourceError::Memory { needed: self.memory_bytes, allowed: supply.memory_bytes });
        }
        Ok(())
    }
}

impl Supply {
    /// What this machine has.
    ///
    /// # Errors
    /// Where the system does not tell.
    pub fn of_the_machine() -> Result<Self, ResourceError> {
        let (descriptors, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        let pages = system_value(SysconfVar::_PHYS_PAGES)?;
        let page_bytes = system_value(SysconfVar::PAGE_SIZE)?;
        Ok(Supply { descriptors, memory_bytes: pages.saturating_mul(page_bytes) / PART_OF_MEMORY })
    }
}

fn system_value(variable: SysconfVar) -> Result<u64, nix::Error> {
    let value = sysconf(variable)?.ok_or(nix::Error::EINVAL)?;
    u64::try_from(value).map_err(|_| nix::Error::EINVAL)
}
