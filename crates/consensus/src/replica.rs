//! A replica: the raft node, the replicated state machine, and the state machine's local state.
//!
//! The driver calls [`Replica::tick`] about once per [`Replica::tick_interval`] and passes in
//! messages ([`Replica::handle_message`]) and commands ([`Replica::propose`]). After each call it
//! takes every [`WriteBatch`] from [`Replica::next_batch`], sends the batch's immediate messages,
//! writes and syncs the rest, and sends the messages that [`Replica::batch_synced`] returns.
//! Messages that depend on a write are returned only by that last call.

use crate::election_timeout::ElectionTimeout;
use crate::error::{ReplicaError, StoredStateError};
use crate::log::Log;
use crate::message;
use crate::message_check::{check_addressing, check_content};
use crate::persistent_state::PersistentState;
use crate::proposer::{EncodedProposal, Proposer};
use crate::raft_config::raft_config;
use crate::replica_status::ReplicaStatus;
use crate::state_machine::{decode_snapshot, StateMachine};
use crate::write_batch::{ProposalId, ProposalResponse, WriteBatch};
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::Timing;
use mintshelf_time::Nanos;
use raft::eraftpb::{Entry, Message, MessageType, Snapshot};
use raft::{RawNode, StateRole};

/// Number of entries after the last snapshot at which a new snapshot is taken.
pub const SNAPSHOT_ENTRIES: usize = 1_024;

/// A write in progress, and the work that follows once the write is synced.
struct PendingWrite {
    ready_number: u64,
    messages: Vec<Message>,
    /// Index of the leader's snapshot that the write contains; `None` if the write contains no
    /// snapshot from the leader.
    restored_index: Option<u64>,
}

/// One replica of a replicated state machine, [`Leases`] by default.
pub struct Replica<M: StateMachine = Leases> {
    raft_node: RawNode<Log>,
    state_machine: M,
    local_state: M::LocalState,
    pending_write: Option<PendingWrite>,
    election_timeout: ElectionTimeout,
    proposer: Proposer,
    applied_index: u64,
    tick_interval: Nanos,
    last_tick_at: Option<Nanos>,
}

impl<M: StateMachine> Replica<M> {
    /// Starts a replica from its persistent state. `incarnation` must differ between all starts of
    /// the replica.
    ///
    /// # Errors
    /// The persistent state is invalid.
    pub fn new(
        id: u64,
        state: &PersistentState,
        timing: &Timing,
        incarnation: u64,
    ) -> Result<Self, ReplicaError> {
        let log = state.log().clone();
        let applied_index = log.snapshot.get_metadata().index;
        let state_machine =
            decode_snapshot(log.snapshot.get_data()).map_err(StoredStateError::from)?;
        let discard_logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft_node =
            RawNode::new(&raft_config(id, applied_index, timing), log, &discard_logger)?;
        let mut replica = Replica {
            raft_node,
            state_machine,
            local_state: M::new_local_state(timing.clock_error),
            pending_write: None,
            election_timeout: ElectionTimeout::new(incarnation),
            proposer: Proposer::new(id, incarnation),
            applied_index,
            tick_interval: timing.heartbeat_interval,
            last_tick_at: None,
        };
        replica.election_timeout.apply(&mut replica.raft_node.raft);
        Ok(replica)
    }

    /// Returns the interval at which the driver calls [`Replica::tick`].
    pub fn tick_interval(&self) -> Nanos {
        self.tick_interval
    }

    /// Advances the replica's timers. A replica that was suspended ticks once for all missed ticks:
    /// having received nothing in the meantime does not mean that the leader sent nothing.
    pub fn tick(&mut self, now: Nanos) {
        let is_due = |at: Nanos| now >= at.saturating_add(self.tick_interval);
        if self.last_tick_at.is_none_or(is_due) {
            self.last_tick_at = Some(now);
            self.election_timeout.apply(&mut self.raft_node.raft);
            self.raft_node.tick();
        }
        self.update_role(now);
        self.propose_due_commands(now);
    }

    fn propose_due_commands(&mut self, now: Nanos) {
        for command in M::due_commands(now, &mut self.local_state) {
            // A command that is rejected here or lost later becomes due again by the state
            // machine's timers.
            self.propose(&command).ok();
        }
    }

    fn is_leader(&self) -> bool {
        self.raft_node.raft.state == StateRole::Leader
    }

    /// Updates the local state when this replica has become leader or has lost leadership.
    fn update_role(&mut self, now: Nanos) {
        let is_leader = self.is_leader();
        let was_leader = M::is_leader(&self.local_state);
        if is_leader && !was_leader {
            self.state_machine.become_leader(now, &mut self.local_state);
        } else if !is_leader && was_leader {
            M::step_down(&mut self.local_state);
        }
    }

    /// Proposes a command through the leader. A later [`WriteBatch`] contains the response under
    /// the returned id; if the proposal is lost, there is no response.
    ///
    /// # Errors
    /// [`ReplicaError::Unavailable`]: no leader is known, or too many proposals are in flight.
    pub fn propose(&mut self, command: &M::Command) -> Result<ProposalId, ReplicaError> {
        let EncodedProposal { id, context, data } = self.proposer.encode(command)?;
        self.raft_node.propose(context, data).map_err(|error| match error {
            raft::Error::ProposalDropped => ReplicaError::Unavailable,
            error => ReplicaError::Raft(error),
        })?;
        Ok(id)
    }

    /// Handles a message from another replica.
    ///
    /// # Errors
    /// [`ReplicaError::Message`]: the message is malformed or not for this replica, and the
    /// replica's state is unchanged. [`ReplicaError::StoreBehind`]: this replica must stop.
    pub fn handle_message(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), ReplicaError> {
        let message = message::decode(bytes)?;
        check_addressing(&self.raft_node.raft, &message)?;
        check_content::<M>(&self.raft_node.raft, &message)?;
        let is_proposal = message.get_msg_type() == MessageType::MsgPropose;
        if is_proposal && !self.is_leader() {
            // A follower does not forward a proposal that another follower forwarded: two followers
            // that each take the other for the leader would forward the proposal to each other
            // without end.
            return Ok(());
        }
        match self.raft_node.step(message) {
            // A response to a request of a former incarnation, or a proposal that the leader does
            // not accept now; neither is a fault of this replica.
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => {}
            Err(error) => return Err(error.into()),
        }
        self.update_role(now);
        Ok(())
    }

    /// Applies newly committed entries and returns the next batch to write; `None` if there is
    /// nothing to write or a write is in progress.
    ///
    /// # Errors
    /// A leader's snapshot can't be decoded: the replica must stop.
    pub fn next_batch(
        &mut self,
        now: Nanos,
    ) -> Result<Option<WriteBatch<M::Response>>, ReplicaError> {
        if self.pending_write.is_some() || !self.raft_node.has_ready() {
            return Ok(None);
        }
        let mut ready = self.raft_node.ready();
        let mut batch = WriteBatch {
            snapshot: Some(ready.snapshot()).filter(|snapshot| !snapshot.is_empty()).cloned(),
            entries: ready.entries().clone(),
            hard_state: ready.hs().cloned(),
            immediate_messages: ready.take_messages(),
            must_sync: ready.must_sync() || !ready.snapshot().is_empty(),
            ..WriteBatch::default()
        };
        let committed = ready.take_committed_entries();
        self.pending_write = Some(PendingWrite {
            ready_number: ready.number(),
            messages: ready.take_persisted_messages(),
            restored_index: batch.snapshot.as_ref().map(|snapshot| snapshot.get_metadata().index),
        });
        if let Some(snapshot) = &batch.snapshot {
            self.restore(snapshot)?;
        }
        self.raft_node.mut_store().write(&batch);
        self.raft_node.advance_append_async(ready);
        batch.responses = self.apply(now, &committed);
        if batch.snapshot.is_none() && !committed.is_empty() {
            self.raft_node.advance_apply_to(self.applied_index);
        }
        batch.compaction = self.compact();
        self.update_role(now);
        Ok(Some(batch))
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), StoredStateError> {
        self.state_machine = decode_snapshot(snapshot.get_data())?;
        self.applied_index = snapshot.get_metadata().index;
        // The leader's timers refer to the state that the snapshot has replaced, so they are
        // dropped. If this replica becomes the leader, all durations are measured from that time.
        M::step_down(&mut self.local_state);
        Ok(())
    }

    fn apply(&mut self, now: Nanos, entries: &[Entry]) -> Vec<ProposalResponse<M::Response>> {
        let mut responses = Vec::new();
        for entry in entries {
            self.applied_index = entry.index;
            // The first entry of a new leader is empty and holds no command.
            let Ok(command) = postcard::from_bytes::<M::Command>(&entry.data) else { continue };
            let response = self.state_machine.apply(&command);
            self.state_machine.command_applied(now, &command, &mut self.local_state);
            if let Some(proposal) = self.proposer.own_proposal(entry) {
                responses.push(ProposalResponse { proposal, response });
            }
        }
        responses
    }

    /// Takes a snapshot and compacts the log once it has [`SNAPSHOT_ENTRIES`] entries. The snapshot
    /// covers applied entries only.
    fn compact(&mut self) -> Option<Snapshot> {
        let log = self.raft_node.mut_store();
        if log.entries().len() < SNAPSHOT_ENTRIES {
            return None;
        }
        let data = postcard::to_allocvec(&self.state_machine).ok()?;
        let snapshot = log.snapshot_at(self.applied_index, data)?;
        log.compact(&snapshot);
        Some(snapshot)
    }

    /// Records that the last batch is written and synced; returns the messages that depend on the
    /// batch.
    #[must_use = "the messages must be sent"]
    pub fn batch_synced(&mut self, now: Nanos) -> Vec<Message> {
        let Some(write) = self.pending_write.take() else {
            return Vec::new();
        };
        self.raft_node.on_persist_ready(write.ready_number);
        if let Some(index) = write.restored_index {
            self.raft_node.advance_apply_to(index);
        }
        self.update_role(now);
        write.messages
    }

    /// Returns the state machine after the entries that this replica has applied.
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Returns this replica's local state of the state machine, whether the replica is the leader
    /// or not.
    pub fn local_state_mut(&mut self) -> &mut M::LocalState {
        &mut self.local_state
    }

    /// Returns the replica's role, term and progress.
    pub fn status(&self) -> ReplicaStatus {
        let raft = &self.raft_node.raft;
        ReplicaStatus {
            id: raft.id,
            term: raft.term,
            leader: raft.leader_id,
            is_leader: self.is_leader(),
            applied_index: self.applied_index,
            committed_index: raft.raft_log.committed,
        }
    }
}

impl Replica {
    /// Returns the leases after the entries that this replica has applied.
    pub fn leases(&self) -> &Leases {
        &self.state_machine
    }
}
