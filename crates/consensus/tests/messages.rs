//! What a node does not take: messages, proposals, compactions and configurations.

use consensus::{
    CompactError, Config, ConfigError, Consensus, MAX_MESSAGE_BYTES, MAX_PROPOSAL_BYTES, MAX_SNAPSHOT_BYTES,
    MAX_UNCOMMITTED_BYTES, Micros, NodeId, Persisted, ProposeError, ReceiveError, StartError,
};
use proptest::prelude::*;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot, SnapshotMetadata};

const TICK: Micros = 1000;

fn config(id: u64, voters: u64) -> Config {
    Config {
        id: NodeId(id),
        voters: (1..=voters).map(NodeId).collect(),
        tick_us: TICK,
        election_ticks: 20,
        heartbeat_ticks: 4,
        seed: 1,
    }
}

fn node() -> Consensus {
    Consensus::new(config(1, 6), Persisted::default()).expect("an empty start")
}

/// A node that is the only voter, and leads.
fn leader_of_one() -> Consensus {
    let mut leader = Consensus::new(config(1, 1), Persisted::default()).expect("an empty start");
    let mut now = 0;
    while !leader.is_leader() {
        now = leader.next_at(now);
        leader.poll(now);
    }
    while leader.next_at(now) <= now {
        leader.poll(now);
    }
    leader
}

fn message(kind: MessageType, term: u64) -> Message {
    Message { msg_type: kind, from: 2, to: 1, term, ..Default::default() }
}

/// The frame of a message: its checksum, and its encoding.
fn frame(message: &Message) -> Vec<u8> {
    let body = message.write_to_bytes().expect("no field is required");
    [&crc32fast::hash(&body).to_le_bytes()[..], &body].concat()
}

/// The kind of the message in a frame.
fn kind(frame: &[u8]) -> MessageType {
    Message::parse_from_bytes(&frame[4..]).expect("a message").get_msg_type()
}

/// What a node says to a message; if it says no, it must be as before.
fn refusal(message: &Message) -> ReceiveError {
    let mut node = node();
    let before = format!("{node:?} {:?}", node.persisted());
    let error = node.receive(0, NodeId(2), &frame(message)).expect_err("it is refused");
    assert_eq!(format!("{node:?} {:?}", node.persisted()), before);
    assert_eq!(node.counts().refused[&error], 1);
    assert!(node.poll(0).is_empty());
    error
}

fn append(entries: Vec<Entry>) -> Message {
    let mut message = message(MessageType::MsgAppend, 5);
    message.set_entries(entries.into());
    message
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![1].into(), ..Default::default() }
}

fn snapshot(index: u64, term: u64, voters: Vec<u64>) -> Message {
    let conf_state = ConfState { voters, ..Default::default() };
    let metadata =
        SnapshotMetadata { index, term, conf_state: Some(conf_state).into(), ..Default::default() };
    let mut message = message(MessageType::MsgSnapshot, 5);
    message.set_snapshot(Snapshot { metadata: Some(metadata).into(), ..Default::default() });
    message
}

#[test]
fn a_sound_message_is_taken() {
    let mut node = node();
    assert_eq!(node.receive(0, NodeId(2), &frame(&append(vec![entry(1, 5)]))), Ok(()));
    assert_eq!((node.term(), node.leader()), (5, Some(NodeId(2))));
    let ready = node.poll(0);
    assert_eq!((ready.persist.len(), ready.committed.len()), (2, 0));
    let kinds: Vec<MessageType> = ready.messages.iter().map(|(_, frame)| kind(frame)).collect();
    assert_eq!(kinds, [MessageType::MsgAppendResponse, MessageType::MsgReadIndex]);
    assert_eq!(node.counts().received, 1);
}

#[test]
fn a_message_of_a_stranger_or_of_another_sender_has_no_effect() {
    let mut node = node();
    let bytes = frame(&append(vec![entry(1, 5)]));
    assert_eq!(node.receive(0, NodeId(7), &bytes), Err(ReceiveError::NotAVoter));
    assert_eq!(node.receive(0, NodeId(1), &bytes), Err(ReceiveError::NotAVoter), "nobody hears itself");
    assert_eq!(node.receive(0, NodeId(3), &bytes), Err(ReceiveError::ForgedSender));
    let mut for_another = append(vec![entry(1, 5)]);
    for_another.to = 4;
    assert_eq!(node.receive(0, NodeId(2), &frame(&for_another)), Err(ReceiveError::WrongReceiver));
    assert_eq!((node.term(), node.counts().refused.len()), (0, 3));
}

#[test]
fn a_message_that_was_cut_or_is_too_long_has_no_effect() {
    let mut node = node();
    let bytes = frame(&append(vec![entry(1, 5), entry(2, 5)]));
    for end in 0..bytes.len() {
        assert_eq!(node.receive(0, NodeId(2), &bytes[..end]), Err(ReceiveError::Malformed), "cut at {end}");
    }
    let long = vec![0; MAX_MESSAGE_BYTES + 1];
    assert_eq!(node.receive(0, NodeId(2), &long), Err(ReceiveError::TooLong));
    assert_eq!(node.term(), 0);
}

#[test]
fn a_message_that_no_sound_node_sends_has_no_effect() {
    assert_eq!(refusal(&message(MessageType::MsgHup, 5)), ReceiveError::Kind);
    assert_eq!(refusal(&message(MessageType::MsgPropose, 5)), ReceiveError::Kind);
    assert_eq!(refusal(&message(MessageType::MsgTimeoutNow, 5)), ReceiveError::Kind);
    assert_eq!(refusal(&message(MessageType::MsgHeartbeat, 0)), ReceiveError::Number);
    assert_eq!(refusal(&message(MessageType::MsgHeartbeat, u64::MAX)), ReceiveError::Number);
    assert_eq!(refusal(&append(vec![entry(2, 5)])), ReceiveError::Entries);
    assert_eq!(refusal(&append(vec![entry(1, 6)])), ReceiveError::Entries);
    assert_eq!(refusal(&append(vec![entry(1, 5), entry(2, 4)])), ReceiveError::Entries);
    let change = Entry { entry_type: EntryType::EntryConfChange, ..entry(1, 5) };
    assert_eq!(refusal(&append(vec![change])), ReceiveError::Entries);
    assert_eq!(refusal(&snapshot(3, 5, vec![1, 2])), ReceiveError::Snapshot);
    assert_eq!(refusal(&snapshot(0, 5, (1..=6).collect())), ReceiveError::Snapshot);
    assert_eq!(refusal(&message(MessageType::MsgReadIndex, 0)), ReceiveError::Entries);
    let mut nameless = message(MessageType::MsgReadIndexResp, 5);
    nameless.set_entries(vec![entry(1, 5)].into());
    assert_eq!(refusal(&nameless), ReceiveError::Entries);
    let mut beyond = message(MessageType::MsgHeartbeat, 5);
    beyond.commit = 9;
    assert_eq!(refusal(&beyond), ReceiveError::LostEntries);
}

#[test]
fn only_a_leader_takes_proposals_and_only_within_bounds() {
    assert_eq!(node().propose(0, vec![1]), Err(ProposeError::NotLeader { leader: None }));
    let mut leader = leader_of_one();
    assert_eq!(leader.propose(0, vec![]), Err(ProposeError::Empty));
    assert_eq!(leader.propose(0, vec![1; MAX_PROPOSAL_BYTES + 1]), Err(ProposeError::TooLarge));
    let mut taken = 0;
    while leader.propose(0, vec![1; MAX_PROPOSAL_BYTES]).is_ok() {
        taken += 1;
        assert!(taken * MAX_PROPOSAL_BYTES <= MAX_UNCOMMITTED_BYTES + MAX_PROPOSAL_BYTES);
    }
    assert_eq!(leader.propose(0, vec![1; MAX_PROPOSAL_BYTES]), Err(ProposeError::TooMany));
    let mut applied = 0;
    while leader.next_at(TICK) <= TICK {
        applied += leader.poll(TICK).committed.len();
    }
    assert_eq!(applied, taken);
    assert_eq!(leader.propose(TICK, vec![1]), Ok(()), "there is room again");
}

#[test]
fn a_log_is_dropped_only_up_to_what_was_applied() {
    let mut leader = leader_of_one();
    leader.propose(0, vec![1]).expect("it leads");
    let index = leader.commit_index() + 1;
    assert_eq!(leader.compact(index, 0, vec![]), Err(CompactError::NotApplied(index)));
    assert_eq!(leader.compact(index, 0, vec![0; MAX_SNAPSHOT_BYTES + 1]), Err(CompactError::TooLarge));
    while leader.next_at(0) <= 0 {
        leader.poll(0);
    }
    assert_eq!(leader.compact(index, 0, vec![9]), Ok(()));
    assert_eq!(leader.compact(index, 0, vec![9]), Err(CompactError::NotNewer(index)));
    assert_eq!((leader.persisted().entry_count(), leader.persisted().entry_bytes()), (0, 0));
    assert_eq!(leader.poll(0).persist.len(), 2, "the snapshot, and what it replaces");
}

#[test]
fn a_configuration_that_makes_no_sense_is_refused() {
    let refused = |change: fn(&mut Config)| {
        let mut config = config(1, 6);
        change(&mut config);
        match Consensus::new(config, Persisted::default()) {
            Err(StartError::Config(error)) => error,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(refused(|config| config.voters.clear()), ConfigError::Voters);
    assert_eq!(refused(|config| config.voters.push(NodeId(3))), ConfigError::Voters);
    assert_eq!(refused(|config| config.voters.push(NodeId(0))), ConfigError::Voters);
    assert_eq!(refused(|config| config.id = NodeId(7)), ConfigError::NotAVoter(NodeId(7)));
    assert_eq!(refused(|config| config.tick_us = 0), ConfigError::Tick);
    assert_eq!(refused(|config| config.heartbeat_ticks = 20), ConfigError::Timeouts);
    assert_eq!(refused(|config| config.election_ticks = 6), ConfigError::Timeouts);
}

#[test]
fn every_node_has_an_election_timeout_of_its_own() {
    let mut timeouts: Vec<usize> = (1..=6).map(|id| config(id, 6).election_timeout_ticks()).collect();
    timeouts.sort_unstable();
    assert_eq!(timeouts, [20, 23, 26, 29, 32, 35]);
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut node = node();
        prop_assert_eq!(node.receive(0, NodeId(2), &bytes), Err(ReceiveError::Malformed));
        let framed = [&crc32fast::hash(&bytes).to_le_bytes()[..], &bytes].concat();
        let _ = node.receive(0, NodeId(2), &framed);
        node.poll(0);
    }
}
