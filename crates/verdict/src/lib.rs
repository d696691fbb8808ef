//! What the answer to a call proves about its message, and what may be done next: the table of status classes, the
//! decision on an attempt, and the reuse of connections. No I/O and no clock.
//!
//! After a call several states of its message remain possible: it may have been delivered, have ended elsewhere, still
//! run, and so on. [`ReceivedAnswer`] describes how much of an answer arrived; [`ReceivedAnswer::possible_states`] returns
//! the states that this leaves possible; [`PossibleStates::decision`] allows an action only if it is correct in every one
//! of them. `docs/attribution.md` describes the rules.

mod heard;
pub mod reuse;
mod status;
mod worlds;

pub use heard::{Extent, Position, ReceivedAnswer, Settlement};
pub use status::{StatusClass, StatusClassSet};
pub use worlds::{Action, CallState, Decision, PossibleStates};

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = i64;

/// Effect of running a message a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryEffect {
    /// The second run has no effect beyond that of the first.
    Harmless,
    /// The second run may take effect once more.
    Harmful,
}
