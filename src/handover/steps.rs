//! The steps of a handover, as two state machines without I/O or clock. They determine when the old process stops, when it may
//! resume and from when on it may not, and when the new process may serve.
//!
//! Invariants: the two processes never own the folder together, and a lost message never leaves both waiting.

/// State of the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OldProcess {
    /// It serves.
    Serving,
    /// It has stopped between two inputs and sent its state. It may still resume.
    Offering,
    /// It has released the folder: it finishes its calls and connections, and never writes again.
    Released,
}

/// Event at the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldEvent {
    /// A process requests a handover.
    Hello,
    /// That process has read the state and will serve.
    Accepted,
    /// That process was silent for too long, or the link broke.
    Lost,
}

/// Action of the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldAction {
    /// Stop between two inputs, with all decisions in the journal, and send the rest of the state.
    Offer,
    /// Resume.
    Resume,
    /// Release the folder, then report it.
    Release,
    /// Reject the other process, which may try again.
    Reject,
    /// Finish the calls in flight without the other process.
    FinishAlone,
    /// Do nothing.
    Nothing,
}

impl OldProcess {
    /// Processes an event and returns the action to carry out.
    pub fn handle(&mut self, event: OldEvent) -> OldAction {
        let (next, action) = match (*self, event) {
            (OldProcess::Serving, OldEvent::Hello) => (OldProcess::Offering, OldAction::Offer),
            (OldProcess::Offering | OldProcess::Released, OldEvent::Hello) => (*self, OldAction::Reject),
            (OldProcess::Offering, OldEvent::Accepted) => (OldProcess::Released, OldAction::Release),
            (OldProcess::Offering, OldEvent::Lost) => (OldProcess::Serving, OldAction::Resume),
            (OldProcess::Released, OldEvent::Lost) => (OldProcess::Released, OldAction::FinishAlone),
            (OldProcess::Serving, OldEvent::Accepted | OldEvent::Lost)
            | (OldProcess::Released, OldEvent::Accepted) => (*self, OldAction::Nothing),
        };
        *self = next;
        action
    }
}

/// State of the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NewProcess {
    /// It tries to lock the folder, or to reach its owner.
    Searching,
    /// It has requested the state.
    Requesting,
    /// It has read the old process's state, and accepted.
    Accepting,
    /// The old process has released the folder, and this one locks it.
    Locking,
    /// It owns the folder.
    Owner {
        /// Whether it uses the old process's state; otherwise the journal alone.
        with_state: bool,
    },
}

/// Event at the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewEvent {
    /// The folder was free, and this process has locked it.
    Owned,
    /// The owner of the folder answers.
    Connected,
    /// The owner has sent its state.
    StateReceived,
    /// The owner has released the folder.
    Released,
    /// The owner was silent for too long or rejected the request, or the link broke.
    Lost,
    /// A third process has locked the folder.
    OwnedByOther,
    /// This process has locked the folder, but a third one wrote to it after the state was sent.
    OwnedWithStaleState,
}

/// Action of the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewAction {
    /// Request the state.
    Hello,
    /// Accept the state.
    Accept,
    /// Lock the folder.
    Lock,
    /// Read the journal and serve.
    Serve {
        /// Whether the old process's state is used.
        with_state: bool,
    },
    /// Drop the state received, and try again after a while.
    Retry,
    /// Do nothing.
    Nothing,
}

impl NewProcess {
    /// Processes an event and returns the action to carry out.
    pub fn handle(&mut self, event: NewEvent) -> NewAction {
        let (next, action) = match (*self, event) {
            (NewProcess::Searching, NewEvent::Owned) => {
                (NewProcess::Owner { with_state: false }, NewAction::Serve { with_state: false })
            }
            (NewProcess::Searching, NewEvent::Connected) => (NewProcess::Requesting, NewAction::Hello),
            (NewProcess::Requesting, NewEvent::StateReceived) => (NewProcess::Accepting, NewAction::Accept),
            (NewProcess::Accepting, NewEvent::Released) => (NewProcess::Locking, NewAction::Lock),
            // The folder was released for this process, even if the link breaks now.
            (NewProcess::Locking, NewEvent::Owned) => {
                (NewProcess::Owner { with_state: true }, NewAction::Serve { with_state: true })
            }
            (NewProcess::Locking, NewEvent::OwnedWithStaleState) => {
                (NewProcess::Owner { with_state: false }, NewAction::Serve { with_state: false })
            }
            (NewProcess::Locking, NewEvent::Lost) | (NewProcess::Owner { .. }, _) => {
                (*self, NewAction::Nothing)
            }
            // The old process, or another one in its place, may have resumed, so the state may be stale.
            (_, NewEvent::Lost | NewEvent::OwnedByOther) => (NewProcess::Searching, NewAction::Retry),
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

    /// The owner of the folder.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
    enum FolderOwner {
        Old,
        New,
        Third,
    }

    /// State of the model: two processes, their link and the folder. `version` counts the writes to the folder, and
    /// `state_version` is its value when the old process sent its state.
    #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
    struct ModelState {
        old: Option<OldProcess>,
        new: Option<NewProcess>,
        owner: Option<FolderOwner>,
        /// Whether a third process, which only locks the folder, may still appear.
        third: bool,
        to_new: VecDeque<u8>,
        to_old: VecDeque<u8>,
        linked: bool,
        version: u8,
        state_version: Option<u8>,
        writes: u8,
    }

    const HELLO: u8 = 0;
    const ACCEPT: u8 = 1;
    const STATE: u8 = 2;
    const RELEASED: u8 = 3;
    const REJECTED: u8 = 4;

    impl ModelState {
        fn old_event(&mut self, event: OldEvent) {
            let Some(old) = &mut self.old else { return };
            match old.handle(event) {
                OldAction::Offer => {
                    self.state_version = Some(self.version);
                    self.to_new.push_back(STATE);
                }
                OldAction::Reject => self.to_new.push_back(REJECTED),
                OldAction::Release => {
                    assert_eq!(self.owner, Some(FolderOwner::Old), "only the owner releases the folder");
                    self.owner = None;
                    self.to_new.push_back(RELEASED);
                }
                OldAction::Resume => self.disconnect(),
                OldAction::FinishAlone | OldAction::Nothing => {}
            }
        }

        fn new_event(&mut self, event: NewEvent) {
            let Some(new) = &mut self.new else { return };
            match new.handle(event) {
                NewAction::Hello => self.to_old.push_back(HELLO),
                NewAction::Accept => self.to_old.push_back(ACCEPT),
                NewAction::Serve { with_state } => {
                    assert_eq!(self.owner, Some(FolderOwner::New));
                    // The state must be as recent as the end of the journal.
                    assert!(!with_state || self.state_version == Some(self.version), "{self:?}");
                }
                NewAction::Retry => self.disconnect(),
                NewAction::Lock | NewAction::Nothing => {}
            }
        }

        fn disconnect(&mut self) {
            self.linked = false;
            self.to_new.clear();
            self.to_old.clear();
        }

        /// All states that may follow this one.
        fn next(&self) -> Vec<ModelState> {
            let mut all = vec![];
            let mut step = |change: &dyn Fn(&mut ModelState)| {
                let mut state = self.clone();
                change(&mut state);
                if state != *self {
                    all.push(state);
                }
            };
            // Either process exits; the kernel releases its lock and closes the link.
            step(&|w| {
                w.old = None;
                w.owner = w.owner.filter(|owner| *owner != FolderOwner::Old);
                w.linked = false;
            });
            step(&|w| {
                w.new = None;
                w.owner = w.owner.filter(|owner| *owner != FolderOwner::New);
                w.linked = false;
            });
            // Messages arrive; either process times out or notices that the link is closed.
            step(&|w| match w.to_new.pop_front() {
                Some(STATE) => w.new_event(NewEvent::StateReceived),
                Some(RELEASED) => w.new_event(NewEvent::Released),
                Some(REJECTED) => w.new_event(NewEvent::Lost),
                _ => {}
            });
            step(&|w| match w.to_old.pop_front() {
                Some(HELLO) => w.old_event(OldEvent::Hello),
                Some(ACCEPT) => w.old_event(OldEvent::Accepted),
                _ => {}
            });
            step(&|w| {
                if w.old == Some(OldProcess::Offering) || !w.linked {
                    w.old_event(OldEvent::Lost);
                }
            });
            step(&|w| {
                if matches!(w.new, Some(NewProcess::Requesting | NewProcess::Accepting)) || !w.linked {
                    w.new_event(NewEvent::Lost);
                }
            });
            // The old process writes only while it serves.
            step(&|w| {
                if w.old == Some(OldProcess::Serving) && w.writes < 2 {
                    assert_eq!(w.owner, Some(FolderOwner::Old), "only the owner writes");
                    (w.version, w.writes) = (w.version + 1, w.writes + 1);
                }
            });
            // A third process locks a free folder, writes, and exits.
            step(&|w| {
                if w.owner.is_none() && w.third {
                    (w.owner, w.third, w.version) = (Some(FolderOwner::Third), false, w.version + 1);
                } else if w.owner == Some(FolderOwner::Third) {
                    w.owner = None;
                }
            });
            // The new process tries to lock the folder, then to reach its owner.
            step(&|w| {
                if matches!(w.new, Some(NewProcess::Searching | NewProcess::Locking)) && w.owner.is_none() {
                    w.owner = Some(FolderOwner::New);
                    let stale = w.new == Some(NewProcess::Locking) && w.state_version != Some(w.version);
                    w.new_event(if stale { NewEvent::OwnedWithStaleState } else { NewEvent::Owned });
                } else if w.new == Some(NewProcess::Locking) {
                    w.new_event(NewEvent::OwnedByOther);
                } else if w.new == Some(NewProcess::Searching) && w.old.is_some() && !w.linked {
                    w.linked = true;
                    w.new_event(NewEvent::Connected);
                }
            });
            all
        }
    }

    fn explore() -> BTreeSet<ModelState> {
        let start = ModelState {
            old: Some(OldProcess::Serving),
            new: Some(NewProcess::Searching),
            owner: Some(FolderOwner::Old),
            third: true,
            to_new: VecDeque::new(),
            to_old: VecDeque::new(),
            linked: false,
            version: 0,
            state_version: None,
            writes: 0,
        };
        let (mut seen, mut open) = (BTreeSet::from([start.clone()]), vec![start]);
        while let Some(state) = open.pop() {
            for next in state.next() {
                if seen.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
        seen
    }

    #[test]
    fn in_every_order_of_steps_and_exits_one_process_owns_the_folder_with_a_recent_state() {
        let states = explore();
        assert!(states.len() > 150, "{} states", states.len());
        for state in &states {
            let old_owns = matches!(state.old, Some(OldProcess::Serving | OldProcess::Offering));
            let new_owns = matches!(state.new, Some(NewProcess::Owner { .. }));
            assert!(!(old_owns && new_owns), "{state:?}");
        }
    }

    #[test]
    fn from_every_state_with_a_running_process_one_process_can_serve_again() {
        let states = explore();
        let serves = |state: &ModelState| {
            state.old == Some(OldProcess::Serving) || matches!(state.new, Some(NewProcess::Owner { .. }))
        };
        for state in &states {
            // No process exits from here on: whatever message was lost, a time-out ends each wait.
            let (alive, mut reached) = ((state.old.is_some(), state.new.is_some()), false);
            let (mut seen, mut open) = (BTreeSet::from([state.clone()]), vec![state.clone()]);
            while let Some(at) = open.pop() {
                reached |= serves(&at);
                let next = at.next().into_iter().filter(|w| (w.old.is_some(), w.new.is_some()) == alive);
                open.extend(next.filter(|w| seen.insert(w.clone())));
            }
            // An old process that has released the folder never serves again, so the relay ends with the new one.
            let relay_ended = state.new.is_none() && matches!(state.old, None | Some(OldProcess::Released));
            assert!(reached || relay_ended, "{state:?}");
        }
    }
}
