//! Validation of received messages.
//!
//! The raft library panics on input that no correct peer sends: unexpected message types, entries
//! that are not consecutive, or a commit index beyond the log. The checks in this module reject
//! such messages.

use crate::error::ReplicaError;
use crate::log::Log;
use crate::message::MessageError;
use crate::state_machine::{decode_snapshot, StateMachine};
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType};
use raft::{Raft, StateRole};

/// Highest accepted index; no real log grows this long.
const INDEX_MAX: u64 = 1 << 62;

/// Checks that a message is addressed to this replica and sent by another voter of the fleet.
pub(crate) fn check_addressing(raft: &Raft<Log>, message: &Message) -> Result<(), MessageError> {
    if message.to != raft.id || message.from == raft.id {
        let Message { from, to, .. } = *message;
        return Err(MessageError::Misaddressed { from, to, replica: raft.id });
    }
    if !raft.store().conf_state.voters.contains(&message.from) {
        return Err(MessageError::UnknownSender { from: message.from });
    }
    Ok(())
}

/// Checks the properties that the raft library relies on without checking them.
pub(crate) fn check_content<M: StateMachine>(
    raft: &Raft<Log>,
    message: &Message,
) -> Result<(), ReplicaError> {
    let is_proposal = message.get_msg_type() == MessageType::MsgPropose;
    if is_proposal != (message.term == 0) {
        return Err(MessageError::UnexpectedTerm.into());
    }
    if !is_proposal && message.term < raft.term {
        // Stale term: the library ignores the message or responds with the newer term.
        return Ok(());
    }
    match message.get_msg_type() {
        MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse
        | MessageType::MsgHeartbeatResponse => Ok(()),
        MessageType::MsgHeartbeat => check_heartbeat(raft, message),
        MessageType::MsgAppendResponse => Ok(check_append_response(raft, message)?),
        MessageType::MsgAppend => Ok(check_append(raft, message)?),
        MessageType::MsgSnapshot => Ok(check_snapshot::<M>(raft, message)?),
        MessageType::MsgPropose => Ok(check_proposal(message)?),
        _ => Err(MessageError::UnexpectedMessageType.into()),
    }
}

fn check_heartbeat(raft: &Raft<Log>, message: &Message) -> Result<(), ReplicaError> {
    let stored = raft.raft_log.last_index();
    if message.commit > stored {
        return Err(ReplicaError::StoreBehind { acknowledged: message.commit, stored });
    }
    Ok(())
}

fn check_append_response(raft: &Raft<Log>, message: &Message) -> Result<(), MessageError> {
    // Only a leader evaluates the response.
    let is_leader = raft.state == StateRole::Leader;
    let exceeds_log = message.index > raft.raft_log.last_index() || message.reject_hint > INDEX_MAX;
    if is_leader && exceeds_log {
        return Err(MessageError::IndexBeyondLog);
    }
    Ok(())
}

fn check_append(raft: &Raft<Log>, message: &Message) -> Result<(), MessageError> {
    let mut last_index = message.index;
    let mut last_term = message.log_term;
    if last_index > INDEX_MAX || last_term == 0 || last_term > message.term {
        return Err(MessageError::OutOfBounds);
    }
    for entry in message.get_entries() {
        let is_next = entry.index == last_index + 1;
        if !is_next || entry.term < last_term || entry.term > message.term {
            return Err(MessageError::EntriesOutOfOrder);
        }
        if conflicts_with_committed(raft, entry) {
            return Err(MessageError::ConflictsWithCommitted);
        }
        if !is_normal(entry) {
            return Err(MessageError::MembershipChange);
        }
        last_index = entry.index;
        last_term = entry.term;
    }
    Ok(())
}

fn conflicts_with_committed(raft: &Raft<Log>, entry: &Entry) -> bool {
    let log = &raft.raft_log;
    // The terms of entries that the snapshot covers are unknown.
    let committed = log.first_index()..=log.committed;
    committed.contains(&entry.index) && log.term(entry.index).is_ok_and(|term| term != entry.term)
}

fn check_snapshot<M: StateMachine>(
    raft: &Raft<Log>,
    message: &Message,
) -> Result<(), MessageError> {
    let snapshot = message.get_snapshot();
    let metadata = snapshot.get_metadata();
    let own_voters = sorted_voters(&raft.store().conf_state);
    if sorted_voters(metadata.get_conf_state()) != own_voters
        || metadata.index > INDEX_MAX
        || metadata.term > message.term
    {
        return Err(MessageError::InvalidSnapshot);
    }
    decode_snapshot::<M>(snapshot.get_data()).map(drop).map_err(MessageError::Snapshot)
}

fn sorted_voters(conf_state: &ConfState) -> Vec<u64> {
    let mut voters = conf_state.voters.clone();
    voters.sort_unstable();
    voters
}

fn check_proposal(message: &Message) -> Result<(), MessageError> {
    let entries = message.get_entries();
    if entries.is_empty() || !entries.iter().all(is_normal) {
        return Err(MessageError::InvalidProposal);
    }
    Ok(())
}

fn is_normal(entry: &Entry) -> bool {
    entry.get_entry_type() == EntryType::EntryNormal
}
