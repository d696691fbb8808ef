//! What the protocol says of each status that an endpoint answers: one row a class, matched exhaustively, so that a new class
//! does not compile until every column is decided.

use crate::worlds::{World, Worlds};

/// Statuses that mean the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatusClass {
    /// 200: delivered.
    Delivered,
    /// Any other 2xx. The protocol does not name it; it may stand for a delivery.
    OtherSuccess,
    /// 410: over elsewhere.
    Over,
    /// 429 and 503: turned away.
    TurnedAway,
    /// 504: all attempts are used.
    Spent,
    /// 500, and whatever else the protocol does not name: 3xx, 4xx, 5xx.
    Failed,
}

impl StatusClass {
    /// All of them.
    pub const ALL: [StatusClass; 6] = [
        StatusClass::Delivered,
        StatusClass::OtherSuccess,
        StatusClass::Over,
        StatusClass::TurnedAway,
        StatusClass::Spent,
        StatusClass::Failed,
    ];

    /// The class of a status; `None` where it is no final one.
    pub fn of(status: u16) -> Option<Self> {
        Some(match status {
            200 => StatusClass::Delivered,
            201..=299 => StatusClass::OtherSuccess,
            410 => StatusClass::Over,
            429 | 503 => StatusClass::TurnedAway,
            504 => StatusClass::Spent,
            300..=599 => StatusClass::Failed,
            _ => return None,
        })
    }

    /// What the whole answer says, if it is the call's own.
    pub const fn whole(self) -> Worlds {
        match self {
            StatusClass::Delivered => Worlds::of(&[World::Delivered]),
            StatusClass::OtherSuccess => Worlds::of(&[World::Ran, World::Delivered]),
            StatusClass::Over => Worlds::of(&[World::Over]),
            StatusClass::TurnedAway => Worlds::of(&[World::NeverRan]),
            StatusClass::Spent => Worlds::of(&[World::Spent]),
            StatusClass::Failed => Worlds::of(&[World::NeverRan, World::Ran]),
        }
    }

    /// What the whole first line says, if it is the call's own and the rest does not come.
    pub const fn first_line(self) -> Worlds {
        match self {
            // The first line tells it all.
            StatusClass::Delivered | StatusClass::Over | StatusClass::Spent => self.whole(),
            StatusClass::OtherSuccess | StatusClass::Failed => self.whole().or(Worlds::UNANSWERED),
            // What breaks off proves no refusal.
            StatusClass::TurnedAway => Worlds::UNANSWERED,
        }
    }

    /// What it says, `own` being what it says as the call's own, where the connection carried calls before and ended before the
    /// answer had settled, and the endpoint has shown nothing that came unasked.
    pub const fn unsettled(self, own: Worlds) -> Worlds {
        match self {
            // Rare, and a report does no harm: here a message lost to a copy would be the greater harm.
            StatusClass::Over => own.or(Worlds::UNANSWERED),
            // An end of the connection is ordinary HTTP and no sign of a copy.
            StatusClass::Delivered
            | StatusClass::OtherSuccess
            | StatusClass::TurnedAway
            | StatusClass::Spent
            | StatusClass::Failed => own,
        }
    }

    /// Whether the connection may carry another call after such an answer. A copy of one that ends a message is never taken for the
    /// refusal of another call, so that connections on which all answers were such show no false refusal by a copy.
    pub const fn carries_more(self) -> bool {
        match self {
            StatusClass::Delivered | StatusClass::OtherSuccess | StatusClass::Over => true,
            StatusClass::TurnedAway | StatusClass::Spent | StatusClass::Failed => false,
        }
    }
}

/// A set of classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StatusSet(u8);

impl StatusSet {
    /// The classes of the final statuses that a first line may have of which these bytes came. Interim answers (1xx) do not
    /// count.
    pub fn of_part(bytes: &[u8]) -> Self {
        let matching = (200..=599).filter(|status| may_begin(bytes, *status));
        let bits = matching.filter_map(StatusClass::of).fold(0, |bits, class| bits | 1 << class as u8);
        StatusSet(bits)
    }

    /// Whether no final status fits.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The classes in the set.
    pub fn classes(self) -> impl Iterator<Item = StatusClass> {
        StatusClass::ALL.into_iter().filter(move |class| self.0 & 1 << *class as u8 != 0)
    }
}

/// Whether bytes may be the beginning of a first line with this status.
fn may_begin(bytes: &[u8], status: u16) -> bool {
    [0, 1].into_iter().any(|minor| {
        let line = format!("HTTP/1.{minor} {status}");
        let known = line.len().min(bytes.len());
        let rest = bytes.get(line.len());
        bytes[..known] == line.as_bytes()[..known] && rest.is_none_or(|byte| byte.is_ascii_whitespace())
    })
}
