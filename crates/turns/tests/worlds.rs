//! Model checking of maintenance coordination: three relays in two zones, of which one may be in maintenance and two are to
//! be drained. From scripted initial states, all sequences of a limited number of steps are explored: a relay sends, a
//! datagram arrives, is duplicated or lost, time passes, a relay restarts. A relay that takes no step for a while is frozen.
//! With a safety check disabled the model checker has to find steps that put two relays in maintenance, and prints them.
//!
//! `TURNS_DEPTH=7` sets a greater depth than CI uses.

use fleet::datagram::Stamp;
use fleet::link::{Channel, Sender};
use fleet::members::Members;
use stateright::{Checker, Model, Property};
use turns::node::{Config, Node};
use turns::requests::{Kind, Stage};
use turns::voter::DisabledCheck;
use turns::{MaintenancePolicy, Micros, Peer, SECOND};

const RELAYS: Peer = 3;
const STEP: Micros = SECOND / 2;
/// Maximum number of datagrams in transit.
const MAX_IN_TRANSIT: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    nodes: Vec<Node>,
    datagrams: Vec<(Peer, Peer, Vec<u8>)>,
    restarts: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    TimePasses,
    Sends(Peer),
    Arrives { index: usize, duplicate: bool },
    IsLost(usize),
    Restarts(Peer),
}

struct World {
    disabled: DisabledCheck,
    restarts: u32,
}

fn members(me: Peer) -> Members {
    Members::new(me, 1, 0..RELAYS)
}

impl World {
    fn node(&self, me: Peer, incarnation: u32, now: Micros, previous: Option<&Node>) -> Node {
        let policy = MaintenancePolicy { relays: RELAYS, max_unavailable: 1, zones: vec![0, 0, 1] };
        let kept = previous.map(Node::persisted_state).unwrap_or_default();
        let mut node =
            Node::new(Config { me, incarnation, policy }, now, &kept).with_disabled_check(self.disabled);
        node.set_serving(now, (now / 1000) as u64, true);
        node
    }

    fn send(&self, state: &mut State, me: Peer) {
        let now = state.now;
        let node = &mut state.nodes[usize::from(me)];
        for frame in node.poll_frames(now, &members(me), 200, 4000) {
            if state.datagrams.len() < MAX_IN_TRANSIT {
                state.datagrams.push((me, frame.to, frame.bytes));
            }
        }
        node.take_actions();
        node.take_unsaved();
    }

    fn deliver(&self, state: &mut State, datagram: &(Peer, Peer, Vec<u8>)) {
        let (from, to, bytes) = datagram;
        let now = state.now;
        let sender = Sender { peer: *from, incarnation: 1, sent: Stamp::of(now), delay: 0 };
        let node = &mut state.nodes[usize::from(*to)];
        node.receive_frame(now, &sender, &members(*to), bytes);
        node.take_actions();
        node.take_unsaved();
    }
}

/// Initial states of the exploration.
impl World {
    /// All relays know each other's state, and two are to be drained.
    fn requested(&self) -> State {
        let now = 1000 * SECOND;
        let nodes = (0..RELAYS).map(|me| self.node(me, 1, now, None)).collect();
        let mut state = State { now, nodes, datagrams: vec![], restarts: 0 };
        for _ in 0..6 {
            state.now += STEP;
            self.deliver_all(&mut state);
        }
        let now = state.now;
        for relay in 0..2 {
            // The second request is the older one, and known to the second relay only.
            let at = (now / 1000) as u64 - 10 * u64::from(relay);
            state.nodes[usize::from(relay)].set_serving(now, at, true);
            state.nodes[usize::from(relay)].update_request(now, relay, Kind::Reboot, Stage::Pending);
        }
        state
    }

    /// Delivers all frames at once, and the answers to them.
    fn deliver_all(&self, state: &mut State) {
        for me in (0..RELAYS).chain(0..RELAYS) {
            let (now, mut frame) = (state.now, vec![]);
            frame.extend(state.nodes[usize::from(me)].poll_frames(now, &members(me), 200, 4000));
            frame.into_iter().for_each(|frame| self.deliver(state, &(me, frame.to, frame.bytes)));
        }
    }

    /// The frame that one relay sends to another now. Its frames to other relays are lost.
    fn datagram_to(&self, state: &mut State, from: Peer, to: Peer) -> (Peer, Peer, Vec<u8>) {
        let now = state.now;
        let frame = state.nodes[usize::from(from)].poll_frames(now, &members(from), 200, 4000);
        let bytes = frame.into_iter().filter(|frame| frame.to == to).flat_map(|frame| frame.bytes).collect();
        (from, to, bytes)
    }

    /// A relay takes a slot with its own vote and that of relay 2, unknown to the third relay.
    fn take_slot(&self, state: &mut State, relay: Peer) {
        for (from, to) in [(relay, 2), (2, relay)] {
            let datagram = self.datagram_to(state, from, to);
            self.deliver(state, &datagram);
        }
        assert!(
            state.nodes[usize::from(relay)].slot().is_some(),
            "relay {relay}: {}",
            state.nodes[usize::from(relay)].waiting_reason(state.now)
        );
    }

    /// Relay 0 is in maintenance. With `old_answer`, an answer that it sent before it asked is still in transit to relay 2.
    fn slot_taken(&self, old_answer: bool) -> State {
        let mut state = self.requested();
        if old_answer {
            state.now += STEP;
            // A relay that knows of a pending request pings all others.
            let now = state.now;
            state.nodes[2].set_serving(now, 1000, true);
            state.nodes[2].update_request(now, 0, Kind::Reboot, Stage::Pending);
            let ping = self.datagram_to(&mut state, 2, 0);
            // Relay 0 answers before it requests a slot.
            let now = state.now;
            state.nodes[0].update_request(now, 0, Kind::Reboot, Stage::Aborted);
            self.deliver(&mut state, &ping);
            let answer = self.datagram_to(&mut state, 0, 2);
            assert!(!answer.2.is_empty());
            state.now += STEP;
            let now = state.now;
            state.nodes[0].update_request(now, 0, Kind::Reboot, Stage::Pending);
            state.datagrams.push(answer);
        }
        self.take_slot(&mut state, 0);
        state
    }

    /// Relay 1 is in maintenance, and a vote for relay 0 in an earlier round is still in transit.
    fn delayed_vote(&self) -> State {
        let mut state = self.requested();
        let ping = self.datagram_to(&mut state, 0, 2);
        self.deliver(&mut state, &ping);
        let vote = self.datagram_to(&mut state, 2, 0);
        let now = state.now;
        state.nodes[0].update_request(now, 0, Kind::Reboot, Stage::Aborted);
        for _ in 0..3 {
            state.now += STEP;
            let ping = self.datagram_to(&mut state, 2, 0);
            self.deliver(&mut state, &ping);
            let answer = self.datagram_to(&mut state, 0, 2);
            self.deliver(&mut state, &answer);
        }
        self.take_slot(&mut state, 1);
        let now = state.now;
        state.nodes[0].update_request(now, 0, Kind::Reboot, Stage::Pending);
        state.datagrams.push(vote);
        state
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // The script runs with all checks; only the exploration runs with the disabled one.
        let with_all_checks = World { disabled: DisabledCheck::None, restarts: self.restarts };
        let mut states = vec![
            with_all_checks.requested(),
            with_all_checks.slot_taken(false),
            with_all_checks.slot_taken(true),
            with_all_checks.delayed_vote(),
        ];
        for node in states.iter_mut().flat_map(|state| &mut state.nodes) {
            *node = node.clone().with_disabled_check(self.disabled);
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        actions.push(Step::TimePasses);
        for relay in 0..RELAYS {
            if state.nodes[usize::from(relay)].next_at(state.now) <= state.now {
                actions.push(Step::Sends(relay));
            }
            if state.restarts < self.restarts {
                actions.push(Step::Restarts(relay));
            }
        }
        for index in 0..state.datagrams.len() {
            actions.push(Step::Arrives { index, duplicate: false });
            actions.push(Step::Arrives { index, duplicate: true });
            actions.push(Step::IsLost(index));
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::TimePasses => next.now += STEP,
            Step::Sends(me) => self.send(&mut next, me),
            Step::Arrives { index, duplicate } => {
                let datagram =
                    if duplicate { next.datagrams[index].clone() } else { next.datagrams.remove(index) };
                self.deliver(&mut next, &datagram);
            }
            Step::IsLost(index) => drop(next.datagrams.remove(index)),
            Step::Restarts(me) => {
                next.restarts += 1;
                let n = usize::from(me);
                next.nodes[n] = self.node(me, 1 + next.restarts, next.now, Some(&next.nodes[n]));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one relay is in maintenance", |_, state: &State| {
                state.nodes.iter().filter(|node| node.slot().is_some()).count() <= 1
            }),
            Property::sometimes("a relay is in maintenance", |_, state: &State| {
                state.nodes.iter().any(|node| node.slot().is_some())
            }),
        ]
    }
}

/// Maximum number of steps.
fn max_depth() -> usize {
    std::env::var("TURNS_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(6)
}

#[test]
fn no_sequence_of_steps_puts_two_relays_in_maintenance() {
    let world = World { disabled: DisabledCheck::None, restarts: 1 };
    let checker = world.checker().threads(4).target_max_depth(max_depth()).spawn_bfs().join();
    checker.assert_no_discovery("at most one relay is in maintenance");
    checker.assert_any_discovery("a relay is in maintenance");
    println!("{} states to depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn without_any_one_check_a_violation_is_found() {
    for disabled in [
        DisabledCheck::VoteRecovery,
        DisabledCheck::AnswerAfterVote,
        DisabledCheck::TokenMatch,
        DisabledCheck::Exclusion,
    ] {
        let world = World { disabled, restarts: 1 };
        let checker = world.checker().threads(4).target_max_depth(max_depth() + 2).spawn_bfs().join();
        let found = checker.discovery("at most one relay is in maintenance");
        let steps = found.map(|path| path.into_actions());
        println!("{disabled:?}: {steps:?}");
        assert!(steps.is_some(), "{disabled:?}");
    }
}
