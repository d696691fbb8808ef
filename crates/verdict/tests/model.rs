//! One message, one endpoint, one connection and a relay with a journal, explored exhaustively: every status, cut at each part,
//! copies, closes, time-outs, cancellations, and kills between any two steps. The relay decides by the crate's own verdicts.

use stateright::{Checker, Model, Property};
use verdict::{After, Extent, Heard, Position, Repeat, StatusClass, Verdict};

/// Calls of one message that are explored.
const MAX_CALLS: u8 = 3;
/// Kills that are explored.
const MAX_KILLS: u8 = 2;

/// What the relay has made of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Forgotten,
    Reported,
}

/// A call that is out, as its endpoint sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Call {
    /// What its endpoint answers, once that is decided.
    own: Option<StatusClass>,
    /// What came on the connection in the place of its answer.
    came: Option<StatusClass>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    // The endpoint.
    call: Option<Call>,
    ran: u8,
    /// The endpoint ended the message: 200, 410 or 504.
    ended: bool,
    // The relay's process; none while it is down.
    up: bool,
    heard: Heard,
    end: Option<End>,
    calls: u8,
    kills: u8,
    may_have_run: bool,
    // Its journal.
    open: bool,
    noted: Option<Verdict>,
    // What the checker holds against it.
    /// An own first line that ends the message was stored, or could have been.
    knows_end: bool,
    sent_on: bool,
    reported_delivered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Send,
    EndpointAnswers(StatusClass),
    /// An answer reaches the relay as far as that: the call's own, or a copy of an earlier 200.
    Comes {
        copy: bool,
        extent: ExtentKind,
    },
    /// What was heard is stored, as it is before anything else may be decided.
    Note,
    /// The connection ends, the call is cancelled, or its time is up.
    Ends,
    StaysQuiet,
    Surplus,
    Kill,
    Restart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ExtentKind {
    PartOfLine,
    FirstLine,
    Whole,
}

/// What is explored, and which guard is taken out.
#[derive(Clone, Copy, Debug)]
struct Worlds {
    repeat: Repeat,
    position: Position,
    /// Copies come, and the endpoint has shown that.
    copies: bool,
    broken: Option<Break>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    /// An end is noted only once its call has ended.
    NotesLate,
    /// 410 is read like any refusal.
    RefusesOver,
    /// An end of the connection is nothing, though copies come.
    NoSuspicion,
}

fn line_of(class: StatusClass) -> &'static [u8] {
    match class {
        StatusClass::Delivered => b"HTTP/1.1 200",
        StatusClass::OtherSuccess => b"HTTP/1.1 204",
        StatusClass::Over => b"HTTP/1.1 410",
        StatusClass::TurnedAway => b"HTTP/1.1 503",
        StatusClass::Spent => b"HTTP/1.1 504",
        StatusClass::Failed => b"HTTP/1.1 500",
    }
}

impl Worlds {
    fn verdict(&self, heard: &Heard) -> Verdict {
        let refused =
            matches!(heard.extent, Extent::FirstLine(StatusClass::Over) | Extent::Whole(StatusClass::Over));
        if self.broken == Some(Break::RefusesOver) && refused {
            return Verdict::Owed { may_have_run: heard.after != After::Settled };
        }
        heard.verdict()
    }

    /// The relay ends the message, or owes it another call.
    fn conclude(&self, state: &mut State, verdict: Verdict) {
        Self::observe(state);
        let delivered = heard_delivered(&state.heard);
        (state.call, state.open, state.noted, state.heard) = (None, false, None, Heard::default());
        state.may_have_run |= verdict.may_have_run();
        let again = verdict.owed() && (self.repeat == Repeat::Harmless || !state.may_have_run);
        match () {
            () if verdict.ended() => state.end = Some(End::Forgotten),
            () if again && state.calls < MAX_CALLS => {}
            () => {
                state.end = Some(End::Reported);
                state.reported_delivered |= delivered;
            }
        }
    }

    fn note(&self, state: &mut State) {
        let verdict = self.verdict(&state.heard);
        if !verdict.owed() {
            state.noted = Some(verdict);
        }
        Self::observe(state);
    }

    /// What the checker holds against the relay from now on.
    fn observe(state: &mut State) {
        let own = state.call.is_some_and(|call| call.own == call.came);
        let line = match state.heard.extent {
            Extent::FirstLine(class) | Extent::Whole(class) => Some(class),
            Extent::Nothing | Extent::PartOfLine(_) | Extent::Unreadable => None,
        };
        let ends = matches!(line, Some(StatusClass::Delivered | StatusClass::Over | StatusClass::Spent));
        state.knows_end |= own && ends;
    }
}

/// A first line that says so was heard where no doubt is possible.
fn heard_delivered(heard: &Heard) -> bool {
    let delivered = matches!(
        heard.extent,
        Extent::FirstLine(StatusClass::Delivered) | Extent::Whole(StatusClass::Delivered)
    );
    delivered && heard.position == Position::First
}

impl Model for Worlds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            call: None,
            ran: 0,
            ended: false,
            up: true,
            heard: Heard::default(),
            end: None,
            calls: 0,
            kills: 0,
            may_have_run: false,
            open: false,
            noted: None,
            knows_end: false,
            sent_on: false,
            reported_delivered: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let outside = state.call.filter(|_| state.up);
        if !state.up {
            actions.push(Action::Restart);
        }
        if let Some(call) = state.call {
            if call.own.is_none() {
                let classes = StatusClass::ALL.into_iter();
                actions.extend(classes.map(Action::EndpointAnswers));
            }
        } else if state.up && state.end.is_none() {
            actions.push(Action::Send);
        }
        if let Some(call) = outside {
            for extent in [ExtentKind::PartOfLine, ExtentKind::FirstLine, ExtentKind::Whole] {
                actions.extend(call.own.map(|_| Action::Comes { copy: false, extent }));
                let copies = self.copies && self.position == Position::Later;
                actions.extend(copies.then_some(Action::Comes { copy: true, extent }));
            }
            let whole = matches!(state.heard.extent, Extent::Whole(_));
            let pending = !self.verdict(&state.heard).owed() && state.noted.is_none();
            if pending && self.broken != Some(Break::NotesLate) {
                actions.push(Action::Note);
            } else {
                actions.push(Action::Ends);
                // A copy that is not followed by the call's own answer in time is what is left (docs/attribution.md).
                let own = call.own.is_some() && call.came == call.own;
                actions.extend((whole && own).then_some(Action::StaysQuiet));
                let more = call.own.is_some() && call.came.is_some();
                actions.extend((whole && more && self.copies).then_some(Action::Surplus));
            }
        }
        if state.up && state.kills < MAX_KILLS {
            actions.push(Action::Kill);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Send => {
                state.calls += 1;
                state.sent_on |= state.knows_end;
                state.open = true;
                state.call = Some(Call { own: None, came: None });
                let suspect = self.copies && self.broken != Some(Break::NoSuspicion);
                state.heard = Heard { written: true, position: self.position, suspect, ..Heard::default() };
            }
            Action::EndpointAnswers(class) => {
                let call = state.call.as_mut()?;
                call.own = Some(class);
                let ran =
                    matches!(class, StatusClass::Delivered | StatusClass::OtherSuccess | StatusClass::Failed);
                state.ran += u8::from(ran);
                state.ended |= matches!(class, StatusClass::Delivered | StatusClass::Over);
                // Nobody hears the answer to a call of a process that is gone.
                if !state.up {
                    state.call = None;
                }
            }
            Action::Comes { copy, extent } => {
                let call = state.call.as_mut()?;
                let class = if copy { StatusClass::Delivered } else { call.own? };
                let further = match (state.heard.extent, extent) {
                    (Extent::Nothing, _) => true,
                    (Extent::PartOfLine(_), kind) => {
                        call.came == Some(class) && kind != ExtentKind::PartOfLine
                    }
                    (Extent::FirstLine(_), ExtentKind::Whole) => call.came == Some(class),
                    _ => false,
                };
                if !further {
                    return None;
                }
                call.came = Some(class);
                state.heard.extent = match extent {
                    ExtentKind::PartOfLine => Extent::of_part(&line_of(class)[..10]),
                    ExtentKind::FirstLine => Extent::FirstLine(class),
                    ExtentKind::Whole => Extent::Whole(class),
                };
            }
            Action::Note => self.note(&mut state),
            Action::Ends => {
                let verdict = self.verdict(&state.heard);
                self.conclude(&mut state, verdict);
            }
            Action::StaysQuiet => {
                state.heard.after = After::Settled;
                let verdict = self.verdict(&state.heard);
                self.conclude(&mut state, verdict);
            }
            Action::Surplus => {
                state.heard.after = After::Surplus;
                let verdict = self.verdict(&state.heard);
                self.conclude(&mut state, verdict);
            }
            Action::Kill => {
                // What lay with the process for a moment could have been stored, unless it is taken out.
                if self.broken == Some(Break::NotesLate) {
                    Self::observe(&mut state);
                }
                (state.up, state.heard) = (false, Heard::default());
                state.kills += 1;
                // A call whose answer is decided is over; another one may run yet.
                state.call = state.call.filter(|call| call.own.is_none());
            }
            Action::Restart => {
                state.up = true;
                let call = state.call;
                if let Some(verdict) = state.noted {
                    self.conclude(&mut state, verdict);
                } else if state.open {
                    self.conclude(&mut state, Verdict::Owed { may_have_run: true });
                }
                // The endpoint may serve the call of the process that is gone still; it is decided now, as no later time differs.
                if call.is_some() {
                    state.ran += 1;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing is sent on after an end that was heard",
                |_: &Worlds, state: &State| !state.sent_on,
            ),
            Property::always(
                "a message that must not run twice never does",
                |worlds: &Worlds, state: &State| worlds.repeat == Repeat::Harmless || state.ran <= 1,
            ),
            Property::always("only what has ended is forgotten", |_: &Worlds, state: &State| {
                state.end != Some(End::Forgotten) || state.ended
            }),
            Property::always("what is known delivered is not reported", |_: &Worlds, state: &State| {
                !state.reported_delivered
            }),
            Property::sometimes("a message is forgotten", |_: &Worlds, state: &State| {
                state.end == Some(End::Forgotten)
            }),
            Property::sometimes("a message is reported", |_: &Worlds, state: &State| {
                state.end == Some(End::Reported)
            }),
        ]
    }
}

fn all() -> impl Iterator<Item = Worlds> {
    let repeats = [Repeat::Harmless, Repeat::Harmful].into_iter();
    let connections = [(Position::First, false), (Position::Later, false), (Position::Later, true)];
    repeats.flat_map(move |repeat| {
        connections.map(|(position, copies)| Worlds { repeat, position, copies, broken: None })
    })
}

#[test]
fn no_end_that_was_heard_is_sent_on_ran_twice_or_forgotten_wrongly_in_any_order_of_steps() {
    for worlds in all() {
        let checked = worlds.checker().spawn_bfs().join();
        println!("{worlds:?}: {} states", checked.unique_state_count());
        assert!(checked.unique_state_count() > 500);
        checked.assert_properties();
    }
}

fn found(broken: Break) -> Vec<&'static str> {
    let mut found: Vec<&'static str> = all()
        .flat_map(|worlds| {
            let worlds = Worlds { broken: Some(broken), ..worlds };
            worlds.checker().spawn_bfs().join().discoveries().into_keys().collect::<Vec<_>>()
        })
        .filter(|property| !property.starts_with("a message is "))
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

#[test]
fn each_guard_that_is_taken_out_is_found() {
    assert_eq!(found(Break::NotesLate), ["nothing is sent on after an end that was heard"]);
    assert_eq!(found(Break::RefusesOver), ["nothing is sent on after an end that was heard"]);
    assert_eq!(found(Break::NoSuspicion), ["only what has ended is forgotten"]);
}
