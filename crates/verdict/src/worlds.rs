//! The worlds that what was heard of a call leaves possible, and the actions that are right in all of them.

use serde::{Deserialize, Serialize};

use crate::Repeat;

/// What has become of a call and its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum World {
    /// The call never ran and never will.
    NeverRan,
    /// The call may run yet.
    MayRunYet,
    /// The call took effect, and its message is still owed its end.
    Ran,
    /// The message is delivered: nothing more is owed.
    Delivered,
    /// The message is over elsewhere: nothing more is owed.
    Over,
    /// The call never ran, no further one can help, and the message is still owed its end.
    Spent,
}

impl World {
    /// All of them.
    pub const ALL: [World; 6] =
        [World::NeverRan, World::MayRunYet, World::Ran, World::Delivered, World::Over, World::Spent];

    const fn bit(self) -> u8 {
        1 << self as u8
    }

    /// Whether an action is right in this world.
    pub const fn allows(self, action: Action, repeat: Repeat) -> bool {
        match (action, self) {
            (Action::Forget, World::Delivered | World::Over) => true,
            (Action::Forget, World::NeverRan | World::MayRunYet | World::Ran | World::Spent) => false,
            // A report for a message that is over does no harm.
            (Action::Report, _) => true,
            (Action::SendAgain, World::NeverRan) => true,
            (Action::SendAgain, World::MayRunYet | World::Ran) => matches!(repeat, Repeat::Harmless),
            (Action::SendAgain, World::Delivered | World::Over | World::Spent) => false,
        }
    }
}

/// What may be done once a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The message ends, and nobody is told.
    Forget,
    /// The message ends by a non-delivery report.
    Report,
    /// The message may be sent again.
    SendAgain,
}

/// A set of worlds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Worlds(u8);

impl Worlds {
    /// Nothing was heard of a call that went out.
    pub const UNANSWERED: Worlds = Worlds::of(&[World::NeverRan, World::MayRunYet, World::Ran]);
    /// An answer came that says nothing.
    pub const ALL: Worlds = Worlds::of(&World::ALL);

    /// These worlds.
    pub const fn of(worlds: &[World]) -> Self {
        let (mut bits, mut index) = (0, 0);
        while index < worlds.len() {
            bits |= worlds[index].bit();
            index += 1;
        }
        Worlds(bits)
    }

    /// Whether a world is in the set.
    pub const fn contains(self, world: World) -> bool {
        self.0 & world.bit() != 0
    }

    /// Both sets.
    #[must_use]
    pub const fn or(self, other: Worlds) -> Self {
        Worlds(self.0 | other.0)
    }

    /// What both sets share.
    #[must_use]
    pub const fn and(self, other: Worlds) -> Self {
        Worlds(self.0 & other.0)
    }

    /// Whether an action is right in every world of the set.
    pub fn allow(self, action: Action, repeat: Repeat) -> bool {
        World::ALL.into_iter().filter(|world| self.contains(*world)).all(|world| world.allows(action, repeat))
    }

    /// What these worlds mean for the message.
    pub fn verdict(self) -> Verdict {
        let may_have_run = self.contains(World::MayRunYet) || self.contains(World::Ran);
        match () {
            () if self == Worlds::of(&[World::Delivered]) => Verdict::Delivered,
            () if self.allow(Action::Forget, Repeat::Harmful) => Verdict::Over,
            () if self.contains(World::Delivered) || self.contains(World::Over) => Verdict::MayHaveEnded,
            () if self.contains(World::Spent) => Verdict::Spent { may_have_run },
            () => Verdict::Owed { may_have_run },
        }
    }
}

/// What an attempt that has ended means for its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Delivered: nothing more is owed.
    Delivered,
    /// Over elsewhere: nothing more is owed.
    Over,
    /// It may have ended: it is reported, and never sent again.
    MayHaveEnded,
    /// No further attempt can help: it is reported.
    Spent {
        /// An attempt may have run.
        may_have_run: bool,
    },
    /// It is still owed its end, and may be sent again as far as its class allows that.
    Owed {
        /// The attempt may have run, or may run yet.
        may_have_run: bool,
    },
}

impl Verdict {
    /// Whether nothing more is owed.
    pub fn ended(self) -> bool {
        match self {
            Verdict::Delivered | Verdict::Over => true,
            Verdict::MayHaveEnded | Verdict::Spent { .. } | Verdict::Owed { .. } => false,
        }
    }

    /// Whether the message may be sent again, as far as its class allows that.
    pub fn owed(self) -> bool {
        matches!(self, Verdict::Owed { .. })
    }

    /// Whether the attempt may have taken effect, or may do so yet, without a proof of delivery.
    pub fn may_have_run(self) -> bool {
        match self {
            Verdict::Delivered | Verdict::Over => false,
            Verdict::MayHaveEnded => true,
            Verdict::Spent { may_have_run } | Verdict::Owed { may_have_run } => may_have_run,
        }
    }

    /// The actions that may follow.
    pub fn allows(self, action: Action, repeat: Repeat) -> bool {
        match (self, action) {
            (_, Action::Report) => true,
            (Verdict::Delivered | Verdict::Over, Action::Forget) => true,
            (Verdict::Owed { may_have_run }, Action::SendAgain) => {
                !may_have_run || repeat == Repeat::Harmless
            }
            _ => false,
        }
    }

    /// In a word, for logs and counts.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Delivered => "delivered",
            Verdict::Over => "over",
            Verdict::MayHaveEnded => "may have ended",
            Verdict::Spent { .. } => "spent",
            Verdict::Owed { .. } => "owed",
        }
    }
}
