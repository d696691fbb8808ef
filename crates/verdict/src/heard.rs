//! How much came of a call's answer, and the worlds that this leaves possible.

use crate::Repeat;
use crate::status::{StatusClass, StatusSet};
use crate::worlds::{Action, Verdict, World, Worlds};

/// How much of an answer came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Extent {
    /// No byte of a final answer.
    #[default]
    Nothing,
    /// A part of its first line, which one of these statuses may have.
    PartOfLine(StatusSet),
    /// Bytes that are no first line, or interim answers without end.
    Unreadable,
    /// Its first line, and perhaps more.
    FirstLine(StatusClass),
    /// All of it.
    Whole(StatusClass),
}

impl Extent {
    /// What bytes say that came and end before the end of a first line.
    pub fn of_part(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return Extent::Nothing;
        }
        match StatusSet::of_part(bytes) {
            none if none.is_empty() && interim(bytes) => Extent::Nothing,
            none if none.is_empty() => Extent::Unreadable,
            statuses => Extent::PartOfLine(statuses),
        }
    }

    fn class(self) -> Option<StatusClass> {
        match self {
            Extent::Nothing | Extent::PartOfLine(_) | Extent::Unreadable => None,
            Extent::FirstLine(class) | Extent::Whole(class) => Some(class),
        }
    }

    /// What it says if it is the call's own.
    fn own(self) -> Worlds {
        match self {
            Extent::Nothing => Worlds::UNANSWERED,
            Extent::PartOfLine(statuses) => {
                statuses.classes().fold(Worlds::UNANSWERED, |worlds, class| worlds.or(class.whole()))
            }
            Extent::Unreadable => Worlds::ALL,
            Extent::FirstLine(class) => class.first_line(),
            Extent::Whole(class) => class.whole(),
        }
    }
}

/// Whether bytes begin a whole interim answer, whose head is not whole.
fn interim(bytes: &[u8]) -> bool {
    let line =
        bytes.strip_prefix(b"HTTP/1.").and_then(|rest| rest.strip_prefix(b"1").or(rest.strip_prefix(b"0")));
    matches!(line, Some([b' ', b'1', ..]))
}

/// Where an answer stands on its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Position {
    /// It is the first: nothing earlier can have been put there.
    #[default]
    First,
    /// The connection carried calls before, so that it may be a copy of an earlier answer.
    Later,
}

impl Position {
    /// On a connection that carried so many calls before.
    pub fn after(calls: u32) -> Self {
        if calls == 0 { Position::First } else { Position::Later }
    }
}

/// What came after what was heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum After {
    /// The connection ended, in whatever way, or nobody listens any more. So it is, too, while the answer is still to settle: a kill
    /// may come at any time.
    #[default]
    Ended,
    /// The connection stayed quiet until the answer had settled.
    Settled,
    /// Something came that nobody had asked for, or that does not go on as it began.
    Surplus,
}

/// What was heard of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Heard {
    /// The call's last byte was written.
    pub written: bool,
    /// How much of an answer came.
    pub extent: Extent,
    /// Where it stands on its connection.
    pub position: Position,
    /// What came after it.
    pub after: After,
    /// The endpoint has written unasked lately, so that an answer may be a copy.
    pub suspect: bool,
}

impl Heard {
    /// The worlds that it leaves possible.
    pub fn worlds(&self) -> Worlds {
        let attributed = self.attributed();
        if self.written {
            return attributed;
        }
        // What was not written to its last byte never ran, unless an answer says that its message had ended before.
        let ends = Worlds::of(&[World::Delivered, World::Over, World::Spent]);
        Worlds::of(&[World::NeverRan]).or(attributed.and(ends))
    }

    fn attributed(&self) -> Worlds {
        let own = self.extent.own();
        match (self.position, self.after) {
            (Position::First, _) | (Position::Later, After::Settled) => own,
            (Position::Later, After::Surplus) => Worlds::ALL,
            (Position::Later, After::Ended) if self.suspect => own.or(Worlds::UNANSWERED),
            (Position::Later, After::Ended) => match self.extent.class() {
                Some(class) => class.unsettled(own),
                None => own,
            },
        }
    }

    /// What it means for the call's message.
    pub fn verdict(&self) -> Verdict {
        self.worlds().verdict()
    }

    /// Whether an answer is still to settle before it counts.
    pub fn settles(&self) -> bool {
        self.position == Position::Later && self.after == After::Ended
    }

    /// Whether the connection of a whole answer that may be a copy is closed at once, so that no repeat overlaps the call. Taking
    /// a call that runs for one that never ran matters where a repeat may take effect again; taking one that was refused for
    /// delivered always does.
    pub fn closes_at_once(&self, repeat: Repeat) -> bool {
        let owed = !matches!(self.extent, Extent::Whole(class) if class.carries_more());
        let never_ran = self.extent.own().allow(Action::SendAgain, Repeat::Harmful);
        self.settles() && owed && (repeat == Repeat::Harmless || !never_ran)
    }
}
