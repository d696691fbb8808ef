//! Which messages of other nodes are taken. raft-rs trusts its transport and panics on some messages that no sound
//! node sends; those are turned away here, before they reach it.

use raft::RawNode;
use raft::eraftpb::{EntryType, Message, MessageType};
use thiserror::Error;

use crate::config::NodeId;
use crate::envelope;
use crate::reads;
use crate::storage::Storage;
use crate::{MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES};

/// Terms and indexes above this are nonsense: at a million a second they would take nine years.
const MAX_NUMBER: u64 = 1 << 48;

/// Why a message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum ReceiveError {
    /// It comes from a node that does not vote here.
    #[error("the sender is not a voter of this cluster")]
    NotAVoter,
    /// It is longer than any message.
    #[error("the message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// It is cut or is not a raft message.
    #[error("the message is not an encoded raft message")]
    Malformed,
    /// It names another sender than the one it came from.
    #[error("the message names another sender than the one it came from")]
    ForgedSender,
    /// It is meant for another node.
    #[error("the message is meant for another node")]
    WrongReceiver,
    /// It is of a kind that nodes of this cluster do not send.
    #[error("nodes of this cluster do not send messages of this kind")]
    Kind,
    /// Its term or an index is beyond all reason.
    #[error("a term or an index of the message is beyond all reason")]
    Number,
    /// Its entries leave gaps, go back in term, or would change the set of voters.
    #[error("the entries of the message do not follow on each other")]
    Entries,
    /// Its snapshot is empty, too long, or of other voters.
    #[error("the snapshot of the message is not one of this cluster")]
    Snapshot,
    /// It speaks of entries that this node or the sender cannot have: one of them lost its disk.
    #[error("the message speaks of entries that one of the two nodes has lost")]
    LostEntries,
    /// raft-rs did not take it.
    #[error("the message was refused by raft")]
    Refused,
}

/// Reads a message that came from a voter.
pub(crate) fn decode(id: NodeId, from: NodeId, bytes: &[u8]) -> Result<Message, ReceiveError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ReceiveError::TooLong);
    }
    let message = envelope::decode(bytes).ok_or(ReceiveError::Malformed)?;
    if message.from != from.0 {
        return Err(ReceiveError::ForgedSender);
    }
    if message.to != id.0 {
        return Err(ReceiveError::WrongReceiver);
    }
    Ok(message)
}

/// Whether a message may be handed to raft-rs.
pub(crate) fn check(node: &RawNode<Storage>, message: &Message) -> Result<(), ReceiveError> {
    check_numbers(message)?;
    match message.get_msg_type() {
        MessageType::MsgReadIndex | MessageType::MsgReadIndexResp => check_read(message),
        MessageType::MsgAppend => check_entries(message),
        MessageType::MsgHeartbeat => check_heartbeat(node, message),
        MessageType::MsgAppendResponse => check_append_response(node, message),
        MessageType::MsgSnapshot => check_snapshot(node, message),
        MessageType::MsgHeartbeatResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse => Ok(()),
        _ => Err(ReceiveError::Kind),
    }
}

fn check_numbers(message: &Message) -> Result<(), ReceiveError> {
    let numbers = [message.term, message.log_term, message.index, message.commit, message.reject_hint];
    // Requests for the read index go to the leader of whatever term.
    let has_term = message.term > 0 || message.get_msg_type() == MessageType::MsgReadIndex;
    if !has_term || numbers.iter().any(|number| *number > MAX_NUMBER) {
        return Err(ReceiveError::Number);
    }
    // Nodes ask for no snapshots, and none has a priority over others.
    if message.request_snapshot != 0 || message.priority != 0 || message.deprecated_priority != 0 {
        return Err(ReceiveError::Kind);
    }
    Ok(())
}

/// A request for the read index, or its answer, bears the request's name as its one entry.
fn check_read(message: &Message) -> Result<(), ReceiveError> {
    match message.get_entries() {
        [name] if name.data.len() == reads::CONTEXT_BYTES => Ok(()),
        _ => Err(ReceiveError::Entries),
    }
}

fn check_entries(message: &Message) -> Result<(), ReceiveError> {
    let (mut index, mut term) = (message.index, message.log_term);
    for entry in message.get_entries() {
        let follows = entry.index == index + 1 && entry.term >= term && entry.term <= message.term;
        if !follows || entry.get_entry_type() != EntryType::EntryNormal {
            return Err(ReceiveError::Entries);
        }
        (index, term) = (entry.index, entry.term);
    }
    Ok(())
}

/// A leader never says in a heartbeat that more is committed than the receiver acknowledged.
fn check_heartbeat(node: &RawNode<Storage>, message: &Message) -> Result<(), ReceiveError> {
    let known = message.commit <= node.raft.raft_log.last_index();
    if known { Ok(()) } else { Err(ReceiveError::LostEntries) }
}

/// A follower never acknowledges more than the leader of the same term has.
fn check_append_response(node: &RawNode<Storage>, message: &Message) -> Result<(), ReceiveError> {
    let of_this_term = message.term == node.raft.term;
    if of_this_term && !message.reject && message.index > node.raft.raft_log.last_index() {
        return Err(ReceiveError::LostEntries);
    }
    Ok(())
}

fn check_snapshot(node: &RawNode<Storage>, message: &Message) -> Result<(), ReceiveError> {
    let snapshot = message.get_snapshot();
    let metadata = snapshot.get_metadata();
    let sound = metadata.index > 0
        && metadata.index <= MAX_NUMBER
        && metadata.term > 0
        && metadata.term <= message.term
        && snapshot.data.len() <= MAX_SNAPSHOT_BYTES
        && node.store().has_voters(metadata.get_conf_state());
    if sound { Ok(()) } else { Err(ReceiveError::Snapshot) }
}
