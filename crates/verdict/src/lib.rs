//! What the answer to a call proves about its message, and what may be done next. Owns the table of statuses, the verdict
//! on an attempt, and the reuse of connections. No I/O and no clock.
//!
//! A call leaves several worlds possible: it may have been delivered, be over elsewhere, run yet, and so on. [`Heard`]
//! says how much came of an answer; [`Heard::worlds`] names the worlds that leaves; [`Worlds::verdict`] allows an action
//! only where it is right in every one of them. `docs/attribution.md` describes the rules.

mod heard;
pub mod reuse;
mod status;
mod worlds;

pub use heard::{After, Extent, Heard, Position};
pub use status::{StatusClass, StatusSet};
pub use worlds::{Action, Verdict, World, Worlds};

/// A time of the caller's clock, or a span of it, in microseconds.
pub type Micros = i64;

/// What a second run of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// It takes no effect that the first one did not.
    Harmless,
    /// It may take effect once more.
    Harmful,
}
