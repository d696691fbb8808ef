//! The order of steps in which one process takes over from another, as two state machines without I/O or clock. Owns
//! when the old one stops, when it may go on, and from when on it never may; and when the new one may serve. It must
//! never let both own the folder, nor let a step that was lost leave both waiting.

/// What the old process is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Old {
    /// It serves.
    Serving,
    /// It has stopped between two inputs and told all it knows; it may still go on.
    Offering,
    /// It has let go of the folder: it finishes its calls and connections, and never writes again.
    Left,
}

/// What happens to the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldEvent {
    /// A process says hello.
    Hello,
    /// It has read all, and will serve.
    Accepted,
    /// It was silent for too long, or its link broke.
    Lost,
}

/// What the old process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldAction {
    /// Stop between two inputs, with all in the journal, and tell the rest.
    Offer,
    /// Go on as if nothing had been.
    GoOn,
    /// Let go of the folder, then say so.
    LetGo,
    /// Turn the caller away: it may come again.
    TurnAway,
    /// Finish what is out without the other.
    FinishAlone,
    /// Nothing.
    Nothing,
}

impl Old {
    /// Takes an event.
    pub fn take(&mut self, event: OldEvent) -> OldAction {
        let (next, action) = match (*self, event) {
            (Old::Serving, OldEvent::Hello) => (Old::Offering, OldAction::Offer),
            (Old::Offering | Old::Left, OldEvent::Hello) => (*self, OldAction::TurnAway),
            (Old::Offering, OldEvent::Accepted) => (Old::Left, OldAction::LetGo),
            (Old::Offering, OldEvent::Lost) => (Old::Serving, OldAction::GoOn),
            (Old::Left, OldEvent::Lost) => (Old::Left, OldAction::FinishAlone),
            (Old::Serving, OldEvent::Accepted | OldEvent::Lost) | (Old::Left, OldEvent::Accepted) => {
                (*self, OldAction::Nothing)
            }
        };
        *self = next;
        action
    }
}

/// What the new process is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum New {
    /// It looks for the folder's owner, or for the folder.
    Looking,
    /// It said hello.
    Asking,
    /// It has read what the old one told, and accepted.
    Accepting,
    /// The old one has let go; it takes the folder with what it was told.
    Taking,
    /// It owns the folder.
    Owner {
        /// With what it was told; else with the journal alone.
        told: bool,
    },
}

/// What happens to the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewEvent {
    /// Nobody had the folder: it is this process's now.
    Owned,
    /// Somebody has the folder and answers.
    Linked,
    /// It told all it knows.
    Told,
    /// It let go.
    LetGo,
    /// It was silent for too long, turned this one away, or the link broke.
    Lost,
    /// A third process has the folder.
    Forestalled,
    /// The folder is this process's, and a third one wrote there since it was told.
    OwnedLater,
}

/// What the new process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewAction {
    /// Say hello.
    Hello,
    /// Say that it accepts.
    Accept,
    /// Take the folder.
    Take,
    /// Read the journal, with what it was told or without, and serve.
    Serve {
        /// With it.
        told: bool,
    },
    /// Forget what it was told, and look again after a while.
    LookAgain,
    /// Nothing.
    Nothing,
}

impl New {
    /// Takes an event.
    pub fn take(&mut self, event: NewEvent) -> NewAction {
        let (next, action) = match (*self, event) {
            (New::Looking, NewEvent::Owned) => (New::Owner { told: false }, NewAction::Serve { told: false }),
            (New::Looking, NewEvent::Linked) => (New::Asking, NewAction::Hello),
            (New::Asking, NewEvent::Told) => (New::Accepting, NewAction::Accept),
            (New::Accepting, NewEvent::LetGo) => (New::Taking, NewAction::Take),
            // What was let go of for it is still its own where the link breaks now.
            (New::Taking, NewEvent::Owned) => (New::Owner { told: true }, NewAction::Serve { told: true }),
            (New::Taking, NewEvent::OwnedLater) => {
                (New::Owner { told: false }, NewAction::Serve { told: false })
            }
            (New::Taking, NewEvent::Lost) | (New::Owner { .. }, _) => (*self, NewAction::Nothing),
            // The old one may have gone on, or another in its place, so that what it told may be old.
            (_, NewEvent::Lost | NewEvent::Forestalled) => (New::Looking, NewAction::LookAgain),
            _ => (*self, NewAction::Nothing),
        };
        *self = next;
        action
    }
}

#[cfg(test)]
mod tests {
    use std::collections::{BTreeSet, VecDeque};

    use super::*;

    /// Who has the folder.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
    enum Who {
        Old,
        New,
        Third,
    }

    /// All that matters of two processes, their link and the folder. `version` counts what the old one has written
    /// since the start, and `told` what it had written when it told.
    #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
    struct World {
        old: Option<Old>,
        new: Option<New>,
        owner: Option<Who>,
        /// A third process, which looks for the folder alone, may still come.
        third: bool,
        to_new: VecDeque<u8>,
        to_old: VecDeque<u8>,
        linked: bool,
        version: u8,
        told: Option<u8>,
        writes: u8,
    }

    const HELLO: u8 = 0;
    const ACCEPT: u8 = 1;
    const STATE: u8 = 2;
    const LET_GO: u8 = 3;
    const NO: u8 = 4;

    impl World {
        fn owner_hears(&mut self, event: OldEvent) {
            let Some(old) = &mut self.old else { return };
            match old.take(event) {
                OldAction::Offer => {
                    self.told = Some(self.version);
                    self.to_new.push_back(STATE);
                }
                OldAction::TurnAway => self.to_new.push_back(NO),
                OldAction::LetGo => {
                    assert_eq!(self.owner, Some(Who::Old), "it lets go of what it has");
                    self.owner = None;
                    self.to_new.push_back(LET_GO);
                }
                OldAction::GoOn => self.cut(),
                OldAction::FinishAlone | OldAction::Nothing => {}
            }
        }

        fn successor(&mut self, event: NewEvent) {
            let Some(new) = &mut self.new else { return };
            match new.take(event) {
                NewAction::Hello => self.to_old.push_back(HELLO),
                NewAction::Accept => self.to_old.push_back(ACCEPT),
                NewAction::Serve { told } => {
                    assert_eq!(self.owner, Some(Who::New));
                    // What it was told must be what the journal ends with.
                    assert!(!told || self.told == Some(self.version), "{self:?}");
                }
                NewAction::LookAgain => self.cut(),
                NewAction::Take | NewAction::Nothing => {}
            }
        }

        fn cut(&mut self) {
            self.linked = false;
            self.to_new.clear();
            self.to_old.clear();
        }

        /// All worlds that may follow this one.
        fn next(&self) -> Vec<World> {
            let mut all = vec![];
            let mut step = |change: &dyn Fn(&mut World)| {
                let mut world = self.clone();
                change(&mut world);
                if world != *self {
                    all.push(world);
                }
            };
            // Either dies; the kernel lets go of its lock and cuts the link.
            step(&|w| {
                w.old = None;
                w.owner = w.owner.filter(|who| *who != Who::Old);
                w.linked = false;
            });
            step(&|w| {
                w.new = None;
                w.owner = w.owner.filter(|who| *who != Who::New);
                w.linked = false;
            });
            // Messages arrive; either loses patience or sees the link gone.
            step(&|w| match w.to_new.pop_front() {
                Some(STATE) => w.successor(NewEvent::Told),
                Some(LET_GO) => w.successor(NewEvent::LetGo),
                Some(NO) => w.successor(NewEvent::Lost),
                _ => {}
            });
            step(&|w| match w.to_old.pop_front() {
                Some(HELLO) => w.owner_hears(OldEvent::Hello),
                Some(ACCEPT) => w.owner_hears(OldEvent::Accepted),
                _ => {}
            });
            step(&|w| {
                if w.old == Some(Old::Offering) || !w.linked {
                    w.owner_hears(OldEvent::Lost);
                }
            });
            step(&|w| {
                if matches!(w.new, Some(New::Asking | New::Accepting)) || !w.linked {
                    w.successor(NewEvent::Lost);
                }
            });
            // The old one writes only while it serves.
            step(&|w| {
                if w.old == Some(Old::Serving) && w.writes < 2 {
                    assert_eq!(w.owner, Some(Who::Old), "only the owner writes");
                    (w.version, w.writes) = (w.version + 1, w.writes + 1);
                }
            });
            // A third takes a folder that is free, writes, and dies.
            step(&|w| {
                if w.owner.is_none() && w.third {
                    (w.owner, w.third, w.version) = (Some(Who::Third), false, w.version + 1);
                } else if w.owner == Some(Who::Third) {
                    w.owner = None;
                }
            });
            // The new one looks: for the folder, then for its owner.
            step(&|w| {
                if matches!(w.new, Some(New::Looking | New::Taking)) && w.owner.is_none() {
                    w.owner = Some(Who::New);
                    let later = w.new == Some(New::Taking) && w.told != Some(w.version);
                    w.successor(if later { NewEvent::OwnedLater } else { NewEvent::Owned });
                } else if w.new == Some(New::Taking) {
                    w.successor(NewEvent::Forestalled);
                } else if w.new == Some(New::Looking) && w.old.is_some() && !w.linked {
                    w.linked = true;
                    w.successor(NewEvent::Linked);
                }
            });
            all
        }
    }

    fn explore() -> BTreeSet<World> {
        let start = World {
            old: Some(Old::Serving),
            new: Some(New::Looking),
            owner: Some(Who::Old),
            third: true,
            to_new: VecDeque::new(),
            to_old: VecDeque::new(),
            linked: false,
            version: 0,
            told: None,
            writes: 0,
        };
        let (mut seen, mut open) = (BTreeSet::from([start.clone()]), vec![start]);
        while let Some(world) = open.pop() {
            for next in world.next() {
                if seen.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
        seen
    }

    #[test]
    fn in_every_order_of_steps_and_deaths_one_owns_the_folder_and_nothing_told_is_old() {
        let worlds = explore();
        assert!(worlds.len() > 150, "{} worlds", worlds.len());
        for world in &worlds {
            let old_owns = matches!(world.old, Some(Old::Serving | Old::Offering));
            let new_owns = matches!(world.new, Some(New::Owner { .. }));
            assert!(!(old_owns && new_owns), "{world:?}");
        }
    }

    #[test]
    fn from_every_world_in_which_one_lives_one_comes_to_serve_again() {
        let worlds = explore();
        let serves =
            |world: &World| world.old == Some(Old::Serving) || matches!(world.new, Some(New::Owner { .. }));
        for world in &worlds {
            // Nobody dies from here on: whatever was lost, patience ends every wait.
            let (alive, mut reached) = ((world.old.is_some(), world.new.is_some()), false);
            let (mut seen, mut open) = (BTreeSet::from([world.clone()]), vec![world.clone()]);
            while let Some(at) = open.pop() {
                reached |= serves(&at);
                let next = at.next().into_iter().filter(|w| (w.old.is_some(), w.new.is_some()) == alive);
                open.extend(next.filter(|w| seen.insert(w.clone())));
            }
            // An old one that has left does not come back: its successor's death is the relay's.
            let relay_died = world.new.is_none() && matches!(world.old, None | Some(Old::Left));
            assert!(reached || relay_died, "{world:?}");
        }
    }
}
