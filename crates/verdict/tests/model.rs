//! Model of one message, one endpoint, one connection and a relay with a journal, checked exhaustively: every status, answers
//! truncated at each part, copies, closed connections, timeouts, cancellations, and kills between any two steps. The model
//! uses the crate's own decisions.

use stateright::{Checker, Model, Property};
use verdict::{Decision, Extent, Position, ReceivedAnswer, RetryEffect, Settlement, StatusClass};

/// Largest number of calls of the message.
const MAX_CALLS: u8 = 3;
/// Largest number of kills of the relay.
const MAX_KILLS: u8 = 2;

/// How the relay ended the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Discarded,
    Reported,
}

/// A call in flight, as its endpoint sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Call {
    /// The endpoint's answer, once it is decided.
    own: Option<StatusClass>,
    /// The answer that the relay received: the call's own or a copy of an earlier one.
    received: Option<StatusClass>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    // State of the endpoint.
    call: Option<Call>,
    /// Number of times that the message took effect.
    runs: u8,
    /// The endpoint ended the message: 200, 410 or 504.
    ended: bool,
    // State of the relay's process.
    up: bool,
    received: ReceivedAnswer,
    end: Option<End>,
    calls: u8,
    kills: u8,
    may_have_run: bool,
    // The relay's journal.
    attempt_open: bool,
    stored_decision: Option<Decision>,
    // Observations for the properties.
    /// A status line of the call's own answer that ends the message was stored, or could have been.
    end_known: bool,
    sent_after_end: bool,
    reported_delivered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Send,
    EndpointAnswers(StatusClass),
    /// The relay receives an answer up to this extent: the call's own, or a copy of an earlier 200.
    Receive {
        copy: bool,
        extent: ExtentKind,
    },
    /// The decision is stored, which has to precede any other step that depends on it.
    StoreDecision,
    /// The connection ends, the call is cancelled, or it times out.
    EndCall,
    StayQuiet,
    ReceiveUnsolicitedData,
    Kill,
    Restart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ExtentKind {
    PartialStatusLine,
    StatusLine,
    Complete,
}

/// Parameters of the model, and the safeguard that is removed.
#[derive(Clone, Copy, Debug)]
struct AttemptModel {
    retry_effect: RetryEffect,
    position: Position,
    /// Copies arrive, and the endpoint is suspected of them.
    copies: bool,
    removed: Option<Safeguard>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Safeguard {
    /// Decisions that end the message are stored before the call has ended.
    EarlyStore,
    /// 410 is not treated as a refusal.
    EndedElsewhereIsNoRefusal,
    /// An unsettled answer of an endpoint that sends copies is doubted.
    CopySuspicion,
}

fn status_line(class: StatusClass) -> &'static [u8] {
    match class {
        StatusClass::Delivered => b"HTTP/1.1 200",
        StatusClass::OtherSuccess => b"HTTP/1.1 204",
        StatusClass::EndedElsewhere => b"HTTP/1.1 410",
        StatusClass::Refused => b"HTTP/1.1 503",
        StatusClass::AttemptsExhausted => b"HTTP/1.1 504",
        StatusClass::Failed => b"HTTP/1.1 500",
    }
}

impl AttemptModel {
    fn decision(&self, received: &ReceivedAnswer) -> Decision {
        let ended_elsewhere = matches!(
            received.extent,
            Extent::StatusLine(StatusClass::EndedElsewhere) | Extent::Complete(StatusClass::EndedElsewhere)
        );
        if self.removed == Some(Safeguard::EndedElsewhereIsNoRefusal) && ended_elsewhere {
            return Decision::Pending { may_have_run: received.settlement != Settlement::Settled };
        }
        received.decision()
    }

    /// The relay ends the message, or keeps it for another call.
    fn conclude(&self, state: &mut State, decision: Decision) {
        Self::observe_end(state);
        let delivered = delivery_proven(&state.received);
        (state.call, state.attempt_open, state.stored_decision, state.received) =
            (None, false, None, ReceivedAnswer::default());
        state.may_have_run |= decision.may_have_run();
        let may_retry =
            decision.is_pending() && (self.retry_effect == RetryEffect::Harmless || !state.may_have_run);
        match () {
            () if decision.is_ended() => state.end = Some(End::Discarded),
            () if may_retry && state.calls < MAX_CALLS => {}
            () => {
                state.end = Some(End::Reported);
                state.reported_delivered |= delivered;
            }
        }
    }

    fn store_decision(&self, state: &mut State) {
        let decision = self.decision(&state.received);
        if !decision.is_pending() {
            state.stored_decision = Some(decision);
        }
        Self::observe_end(state);
    }

    /// Records whether the relay now knows that the message has ended.
    fn observe_end(state: &mut State) {
        let own = state.call.is_some_and(|call| call.own == call.received);
        let status_class = match state.received.extent {
            Extent::StatusLine(class) | Extent::Complete(class) => Some(class),
            Extent::Nothing | Extent::PartialStatusLine(_) | Extent::Malformed => None,
        };
        let ends = matches!(
            status_class,
            Some(StatusClass::Delivered | StatusClass::EndedElsewhere | StatusClass::AttemptsExhausted)
        );
        state.end_known |= own && ends;
    }
}

/// Returns whether a status line proved the delivery beyond doubt.
fn delivery_proven(received: &ReceivedAnswer) -> bool {
    let delivered = matches!(
        received.extent,
        Extent::StatusLine(StatusClass::Delivered) | Extent::Complete(StatusClass::Delivered)
    );
    delivered && received.position == Position::First
}

impl Model for AttemptModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            call: None,
            runs: 0,
            ended: false,
            up: true,
            received: ReceivedAnswer::default(),
            end: None,
            calls: 0,
            kills: 0,
            may_have_run: false,
            attempt_open: false,
            stored_decision: None,
            end_known: false,
            sent_after_end: false,
            reported_delivered: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let running_call = state.call.filter(|_| state.up);
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
        if let Some(call) = running_call {
            for extent in [ExtentKind::PartialStatusLine, ExtentKind::StatusLine, ExtentKind::Complete] {
                actions.extend(call.own.map(|_| Action::Receive { copy: false, extent }));
                let copies = self.copies && self.position == Position::Later;
                actions.extend(copies.then_some(Action::Receive { copy: true, extent }));
            }
            let complete = matches!(state.received.extent, Extent::Complete(_));
            let unstored = !self.decision(&state.received).is_pending() && state.stored_decision.is_none();
            if unstored && self.removed != Some(Safeguard::EarlyStore) {
                actions.push(Action::StoreDecision);
            } else {
                actions.push(Action::EndCall);
                // Known limitation: a copy that is not followed by the call's own answer in time counts as that answer
                // (docs/attribution.md).
                let own = call.own.is_some() && call.received == call.own;
                actions.extend((complete && own).then_some(Action::StayQuiet));
                let more = call.own.is_some() && call.received.is_some();
                actions.extend((complete && more && self.copies).then_some(Action::ReceiveUnsolicitedData));
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
                state.sent_after_end |= state.end_known;
                state.attempt_open = true;
                state.call = Some(Call { own: None, received: None });
                let copy_suspected = self.copies && self.removed != Some(Safeguard::CopySuspicion);
                state.received = ReceivedAnswer {
                    request_written: true,
                    position: self.position,
                    copy_suspected,
                    ..ReceivedAnswer::default()
                };
            }
            Action::EndpointAnswers(class) => {
                let call = state.call.as_mut()?;
                call.own = Some(class);
                let ran =
                    matches!(class, StatusClass::Delivered | StatusClass::OtherSuccess | StatusClass::Failed);
                state.runs += u8::from(ran);
                state.ended |= matches!(class, StatusClass::Delivered | StatusClass::EndedElsewhere);
                // No process receives the answer to a call of a killed process.
                if !state.up {
                    state.call = None;
                }
            }
            Action::Receive { copy, extent } => {
                let call = state.call.as_mut()?;
                let class = if copy { StatusClass::Delivered } else { call.own? };
                let extends_received = match (state.received.extent, extent) {
                    (Extent::Nothing, _) => true,
                    (Extent::PartialStatusLine(_), kind) => {
                        call.received == Some(class) && kind != ExtentKind::PartialStatusLine
                    }
                    (Extent::StatusLine(_), ExtentKind::Complete) => call.received == Some(class),
                    _ => false,
                };
                if !extends_received {
                    return None;
                }
                call.received = Some(class);
                state.received.extent = match extent {
                    ExtentKind::PartialStatusLine => Extent::from_partial(&status_line(class)[..10]),
                    ExtentKind::StatusLine => Extent::StatusLine(class),
                    ExtentKind::Complete => Extent::Complete(class),
                };
            }
            Action::StoreDecision => self.store_decision(&mut state),
            Action::EndCall => {
                let decision = self.decision(&state.received);
                self.conclude(&mut state, decision);
            }
            Action::StayQuiet => {
                state.received.settlement = Settlement::Settled;
                let decision = self.decision(&state.received);
                self.conclude(&mut state, decision);
            }
            Action::ReceiveUnsolicitedData => {
                state.received.settlement = Settlement::UnsolicitedData;
                let decision = self.decision(&state.received);
                self.conclude(&mut state, decision);
            }
            Action::Kill => {
                // Without the early store, the end that the process knew could have been stored before the kill.
                if self.removed == Some(Safeguard::EarlyStore) {
                    Self::observe_end(&mut state);
                }
                (state.up, state.received) = (false, ReceivedAnswer::default());
                state.kills += 1;
                // A call whose answer is decided has ended; any other may still run.
                state.call = state.call.filter(|call| call.own.is_none());
            }
            Action::Restart => {
                state.up = true;
                let call = state.call;
                if let Some(decision) = state.stored_decision {
                    self.conclude(&mut state, decision);
                } else if state.attempt_open {
                    self.conclude(&mut state, Decision::Pending { may_have_run: true });
                }
                // The endpoint may still run the call of the killed process. It runs now, because a later time makes no difference.
                if call.is_some() {
                    state.runs += 1;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no call is sent after a received end", |_: &AttemptModel, state: &State| {
                !state.sent_after_end
            }),
            Property::always(
                "a non-idempotent message runs at most once",
                |model: &AttemptModel, state: &State| {
                    model.retry_effect == RetryEffect::Harmless || state.runs <= 1
                },
            ),
            Property::always("only ended messages are discarded", |_: &AttemptModel, state: &State| {
                state.end != Some(End::Discarded) || state.ended
            }),
            Property::always("no delivered message is reported", |_: &AttemptModel, state: &State| {
                !state.reported_delivered
            }),
            Property::sometimes("a message is discarded", |_: &AttemptModel, state: &State| {
                state.end == Some(End::Discarded)
            }),
            Property::sometimes("a message is reported", |_: &AttemptModel, state: &State| {
                state.end == Some(End::Reported)
            }),
        ]
    }
}

fn all_models() -> impl Iterator<Item = AttemptModel> {
    let retry_effects = [RetryEffect::Harmless, RetryEffect::Harmful].into_iter();
    let connections = [(Position::First, false), (Position::Later, false), (Position::Later, true)];
    retry_effects.flat_map(move |retry_effect| {
        connections.map(|(position, copies)| AttemptModel { retry_effect, position, copies, removed: None })
    })
}

#[test]
fn properties_hold_in_every_sequence_of_steps() {
    for model in all_models() {
        let checked = model.checker().spawn_bfs().join();
        println!("{model:?}: {} states", checked.unique_state_count());
        assert!(checked.unique_state_count() > 500);
        checked.assert_properties();
    }
}

fn violated_properties(removed: Safeguard) -> Vec<&'static str> {
    let mut violated: Vec<&'static str> = all_models()
        .flat_map(|model| {
            let model = AttemptModel { removed: Some(removed), ..model };
            model.checker().spawn_bfs().join().discoveries().into_keys().collect::<Vec<_>>()
        })
        .filter(|property| !property.starts_with("a message is "))
        .collect();
    violated.sort_unstable();
    violated.dedup();
    violated
}

#[test]
fn a_violation_is_found_for_each_removed_safeguard() {
    assert_eq!(violated_properties(Safeguard::EarlyStore), ["no call is sent after a received end"]);
    assert_eq!(
        violated_properties(Safeguard::EndedElsewhereIsNoRefusal),
        ["no call is sent after a received end"]
    );
    assert_eq!(violated_properties(Safeguard::CopySuspicion), ["only ended messages are discarded"]);
}
