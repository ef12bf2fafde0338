//! One voter: raft (the `raft` crate), the state it agrees on, and the leader's counts.
//!
//! Whoever drives it calls [`Voter::tick`] about every [`Voter::tick_span`], hands in what comes
//! ([`Voter::receive`], [`Voter::propose`]) and then, until there is none, takes a [`Batch`],
//! sends what may go at once, writes and syncs the rest, and sends what [`Voter::synced`] gives.
//! What is promised to others leaves with that call and not before.

use crate::log::Log;
use crate::state_machine::Machine;
use mintshelf_lease::command::Response;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::{Nanos, Timing};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Entries behind the last snapshot from which a new one is made.
pub const SNAPSHOT_EVERY: usize = 1_024;
/// Most bytes of entries that are proposed and not agreed.
const UNAGREED_MAX: u64 = 1 << 20;
/// Most bytes of entries in one message.
const MESSAGE_MAX: u64 = 256 << 10;
/// Messages on the way to one follower.
const IN_FLIGHT_MAX: usize = 64;
/// Longest message that is taken in, in bytes: a snapshot of all leases with all queues full
/// stays below.
pub const FRAME_MAX: usize = 32 << 20;

/// No log grows to this.
const MAX_INDEX: u64 = 1 << 62;

/// Whose proposal an entry is: a voter's life, and a number in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The voter.
    pub voter: u64,
    /// Drawn at its start, so that a former life's entries are not taken for its own.
    pub life: u64,
    /// Counts in that life.
    pub number: u64,
}

/// What went wrong. A voter goes on after [`VoterError::Frame`] and [`VoterError::NotNow`] only.
#[derive(Debug, Error)]
pub enum VoterError {
    /// Raft's own.
    #[error("agreement: {0}")]
    Raft(#[from] raft::Error),
    /// What is stored can't be read.
    #[error("what is stored can't be read: {0}")]
    Stored(String),
    /// No message of a voter.
    #[error("not a voter's message: {0}")]
    Frame(String),
    /// The store is empty, or older than what this voter has promised from it: a leader counts
    /// on entries that it has acknowledged. It must not go on under this number: what it voted
    /// may be forgotten too.
    #[error(
        "the store ends at entry {holds}, and a leader knows that it held {knows}: it was emptied \
         or put back to an older state; this voter must stop"
    )]
    StoreBehind {
        /// What has been acknowledged.
        knows: u64,
        /// What there is.
        holds: u64,
    },
    /// Nobody leads, or too much is on its way.
    #[error("no leader takes it now")]
    NotNow,
}

/// What a voter's store holds: read at start, written by [`Batch`].
#[derive(Debug, Clone, Default)]
pub struct Stored {
    log: Log,
}

impl Stored {
    /// The store of a new fleet with these voters, by number from 1.
    pub fn new_fleet(voters: &[u64]) -> Self {
        Stored { log: Log::new(voters) }
    }

    /// Writes a batch, all of it.
    pub fn write<A>(&mut self, batch: &Batch<A>) {
        self.log.write(batch);
        batch.compacted.iter().for_each(|snapshot| self.log.compact(snapshot));
    }

    /// From what a store has read back.
    ///
    /// # Errors
    /// The parts don't go together.
    pub fn from_parts(
        hard: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
    ) -> Result<Self, VoterError> {
        let wrong = |why: &str| Err(VoterError::Stored(why.to_owned()));
        let mut last = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        for entry in &entries {
            if entry.index != last.0 + 1 || entry.term < last.1 {
                return wrong("entries out of their order");
            }
            last = (entry.index, entry.term);
        }
        let base = snapshot.get_metadata().index;
        if hard.commit < base || hard.commit > last.0 || hard.term < last.1 {
            return wrong("term and commit don't go with the entries");
        }
        if snapshot.get_metadata().get_conf_state().voters.is_empty() {
            return wrong("no voters");
        }
        let mut log = Log::default();
        log.conf = snapshot.get_metadata().get_conf_state().clone();
        (log.hard, log.snapshot) = (hard, snapshot);
        log.append(&entries);
        Ok(Stored { log })
    }

    /// What a store keeps: term and vote, the snapshot, the entries after it.
    pub fn parts(&self) -> (&HardState, &Snapshot, &[Entry]) {
        (&self.log.hard, &self.log.snapshot, self.log.entries())
    }
}

/// What is to be written and synced, in this order, and what may be sent meanwhile.
#[derive(Debug)]
pub struct Batch<A = Response> {
    /// A leader's state in place of the log.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace those from their first index on.
    pub entries: Vec<Entry>,
    /// Term, vote and what is known to be agreed.
    pub hard: Option<HardState>,
    /// The own state, in place of the entries up to its index.
    pub compacted: Option<Snapshot>,
    /// May leave before the writes are synced: they promise nothing.
    pub at_once: Vec<Message>,
    /// To who proposed here: a majority has it.
    pub answers: Vec<(Ticket, A)>,
    /// Whether anything has been promised that must outlive a crash.
    pub must_sync: bool,
}

impl<A> Default for Batch<A> {
    fn default() -> Self {
        Batch {
            snapshot: None,
            entries: Vec::new(),
            hard: None,
            compacted: None,
            at_once: Vec::new(),
            answers: Vec::new(),
            must_sync: false,
        }
    }
}

impl<A> Batch<A> {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.entries.is_empty()
            && self.hard.is_none()
            && self.compacted.is_none()
    }
}

/// What a voter says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub id: u64,
    /// The election that is valid.
    pub term: u64,
    /// Who leads; 0 for nobody known.
    pub leader: u64,
    /// Whether it is this one.
    pub leads: bool,
    /// What it has applied.
    pub applied: u64,
    /// What it knows to be agreed.
    pub committed: u64,
}

/// A write under way, and what comes after it.
struct Pending {
    number: u64,
    messages: Vec<Message>,
    /// The index of a leader's snapshot in it.
    restored: Option<u64>,
}

/// One voter; of leases, where it is not said of what.
pub struct Voter<M: Machine = Leases> {
    raw: RawNode<Log>,
    machine: M,
    counts: M::Counts,
    pending: Option<Pending>,
    rng: Pcg32,
    /// The election and role that the drawn span of patience belongs to.
    drawn: (u64, StateRole, usize),
    life: u64,
    last_number: u64,
    applied: u64,
    tick_span: Nanos,
    ticked: Option<Nanos>,
}

impl<M: Machine> Voter<M> {
    /// Starts from what is stored. `life` differs from all former starts'.
    ///
    /// # Errors
    /// The stored state can't be read.
    pub fn new(id: u64, stored: &Stored, spans: &Timing, life: u64) -> Result<Self, VoterError> {
        let tick_span = spans.heartbeat_interval;
        let election = (spans.election_timeout / tick_span) as usize;
        let log = stored.log.clone();
        let applied = log.snapshot.get_metadata().index;
        let config = Config {
            id,
            applied,
            election_tick: election,
            heartbeat_tick: 1,
            min_election_tick: election,
            max_election_tick: 2 * election,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: MESSAGE_MAX,
            max_inflight_msgs: IN_FLIGHT_MAX,
            max_uncommitted_size: UNAGREED_MAX,
            ..Config::default()
        };
        let machine = Self::read(log.snapshot.get_data())?;
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &quiet)?;
        let mut voter = Voter {
            raw,
            machine,
            counts: M::counts(spans.clock_error),
            pending: None,
            rng: Pcg32::seed_from_u64(life),
            drawn: (0, StateRole::Follower, 0),
            life,
            last_number: 0,
            applied,
            tick_span,
            ticked: None,
        };
        voter.draw_patience();
        Ok(voter)
    }

    fn read(data: &[u8]) -> Result<M, VoterError> {
        if data.is_empty() {
            return Ok(M::default());
        }
        postcard::from_bytes(data).map_err(|error| VoterError::Stored(error.to_string()))
    }

    /// How often [`Voter::tick`] wants to be called.
    pub fn tick_span(&self) -> Nanos {
        self.tick_span
    }

    /// Time has passed. A voter that was stopped ticks once for all it missed: it has heard
    /// nobody, and that is no sign that nobody spoke.
    pub fn tick(&mut self, now: Nanos) {
        if self.ticked.is_none_or(|at| now >= at.saturating_add(self.tick_span)) {
            self.ticked = Some(now);
            self.draw_patience();
            self.raw.tick();
        }
        self.note_role(now);
        for command in M::due(now, &mut self.counts) {
            // Lost, it is proposed again.
            let _ = self.propose(&command);
        }
    }

    /// The library draws the patience of each election from the thread's generator; drawn here
    /// instead, a seed decides it.
    fn draw_patience(&mut self) {
        let (term, role) = (self.raw.raft.term, self.raw.raft.state);
        let election = self.raw.raft.election_timeout();
        if (self.drawn.0, self.drawn.1) != (term, role) || self.drawn.2 == 0 {
            let more = self.rng.next_u32() as usize % election.max(1);
            self.drawn = (term, role, election + more);
        }
        self.raw.raft.set_randomized_election_timeout(self.drawn.2);
    }

    fn note_role(&mut self, now: Nanos) {
        let leads = self.raw.raft.state == StateRole::Leader;
        let counts = &mut self.counts;
        if leads && !M::leads(counts) {
            self.machine.lead(now, counts);
        } else if !leads && M::leads(counts) {
            M::follow(counts);
        }
    }

    /// Proposes a command, by way of the leader; the answer comes with the ticket, or never.
    ///
    /// # Errors
    /// [`VoterError::NotNow`]: nobody leads as far as this voter knows, or too much is on its way.
    pub fn propose(&mut self, command: &M::Command) -> Result<Ticket, VoterError> {
        self.last_number += 1;
        let ticket = Ticket { voter: self.raw.raft.id, life: self.life, number: self.last_number };
        let bytes = |value: Result<Vec<u8>, postcard::Error>| {
            value.map_err(|error| VoterError::Frame(error.to_string()))
        };
        let (context, data) =
            (bytes(postcard::to_allocvec(&ticket))?, bytes(postcard::to_allocvec(command))?);
        self.raw.propose(context, data).map_err(|error| match error {
            raft::Error::ProposalDropped => VoterError::NotNow,
            error => VoterError::Raft(error),
        })?;
        Ok(ticket)
    }

    /// A message of another voter has come.
    ///
    /// # Errors
    /// It is none, or not for this voter; nothing has changed.
    pub fn receive(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), VoterError> {
        let frame = |why: String| Err(VoterError::Frame(why));
        if bytes.len() > FRAME_MAX {
            return frame(format!("{} bytes, at most {FRAME_MAX}", bytes.len()));
        }
        let message = match Message::parse_from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => return frame(error.to_string()),
        };
        let id = self.raw.raft.id;
        if message.to != id || message.from == id {
            return frame(format!("from {} to {} at {id}", message.from, message.to));
        }
        if !self.raw.store().conf.voters.contains(&message.from) {
            return frame(format!("{} is no voter", message.from));
        }
        self.check(&message)?;
        let proposal = message.get_msg_type() == MessageType::MsgPropose;
        if proposal && self.raw.raft.state != StateRole::Leader {
            // Sent on, two voters who take each other for the leader would pass it to and fro.
            return Ok(());
        }
        match self.raw.step(message) {
            // An answer to a question of a former life.
            Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => {}
            Err(error) => return Err(error.into()),
            Ok(()) => {}
        }
        self.note_role(now);
        Ok(())
    }

    /// What the library takes for granted, and panics without: kinds of messages that voters
    /// send each other, entries in a row, nothing agreed that the log does not reach.
    fn check(&self, message: &Message) -> Result<(), VoterError> {
        let frame = |why: &str| Err(VoterError::Frame(why.to_owned()));
        let proposal = message.get_msg_type() == MessageType::MsgPropose;
        if proposal != (message.term == 0) {
            return frame("a message of no election, or a proposal of one");
        }
        if !proposal && message.term < self.raw.raft.term {
            // Late: the library passes over it, or tells its sender of the newer election.
            return Ok(());
        }
        let log = &self.raw.raft.raft_log;
        let entries = message.get_entries();
        match message.get_msg_type() {
            MessageType::MsgRequestVote
            | MessageType::MsgRequestVoteResponse
            | MessageType::MsgRequestPreVote
            | MessageType::MsgRequestPreVoteResponse
            | MessageType::MsgHeartbeatResponse => Ok(()),
            MessageType::MsgHeartbeat if message.commit > log.last_index() => {
                let (knows, holds) = (message.commit, log.last_index());
                Err(VoterError::StoreBehind { knows, holds })
            }
            MessageType::MsgHeartbeat => Ok(()),
            // Who does not lead passes over it.
            MessageType::MsgAppendResponse if self.raw.raft.state != StateRole::Leader => Ok(()),
            MessageType::MsgAppendResponse
                if message.index > log.last_index() || message.reject_hint > MAX_INDEX =>
            {
                frame("an answer about more than the log holds")
            }
            MessageType::MsgAppendResponse => Ok(()),
            MessageType::MsgAppend => {
                let mut last = (message.index, message.log_term);
                if last.0 > MAX_INDEX || last.1 == 0 || last.1 > message.term {
                    return frame("an index or a term out of bounds");
                }
                for entry in entries {
                    if entry.index != last.0 + 1 || entry.term < last.1 || entry.term > message.term
                    {
                        return frame("entries out of their order");
                    }
                    // Behind the snapshot no terms are known.
                    let known = log.first_index()..=log.committed;
                    if known.contains(&entry.index)
                        && log.term(entry.index).is_ok_and(|term| term != entry.term)
                    {
                        return frame("entries that contradict what has been agreed");
                    }
                    if entry.get_entry_type() != EntryType::EntryNormal {
                        return frame("a change of voters");
                    }
                    last = (entry.index, entry.term);
                }
                Ok(())
            }
            MessageType::MsgSnapshot => {
                let meta = message.get_snapshot().get_metadata();
                let sorted = |conf: &ConfState| {
                    let mut voters = conf.voters.clone();
                    voters.sort_unstable();
                    voters
                };
                if sorted(meta.get_conf_state()) != sorted(&self.raw.store().conf)
                    || meta.index > MAX_INDEX
                    || meta.term > message.term
                {
                    return frame("a snapshot of other voters");
                }
                Self::read(message.get_snapshot().get_data()).map(drop)
            }
            MessageType::MsgPropose => {
                let normal = |entry: &Entry| entry.get_entry_type() == EntryType::EntryNormal;
                if entries.is_empty() || !entries.iter().all(normal) {
                    return frame("a proposal of nothing, or of other voters");
                }
                Ok(())
            }
            _ => frame("a kind of message that voters don't send each other"),
        }
    }

    /// What is to be written next; nothing while one is under way. What others have promised
    /// already is applied.
    ///
    /// # Errors
    /// A leader's snapshot can't be read: this voter can't go on.
    pub fn batch(&mut self, now: Nanos) -> Result<Option<Batch<M::Answer>>, VoterError> {
        if self.pending.is_some() || !self.raw.has_ready() {
            return Ok(None);
        }
        let mut ready = self.raw.ready();
        let mut batch = Batch {
            snapshot: Some(ready.snapshot()).filter(|snapshot| !snapshot.is_empty()).cloned(),
            entries: ready.entries().clone(),
            hard: ready.hs().cloned(),
            at_once: ready.take_messages(),
            must_sync: ready.must_sync() || !ready.snapshot().is_empty(),
            ..Batch::default()
        };
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        self.pending = Some(Pending {
            number: ready.number(),
            messages,
            restored: batch.snapshot.as_ref().map(|snapshot| snapshot.get_metadata().index),
        });
        if let Some(snapshot) = &batch.snapshot {
            self.machine = Self::read(snapshot.get_data())?;
            self.applied = snapshot.get_metadata().index;
            // Spans that it brings count from now, should this voter lead.
            M::follow(&mut self.counts);
        }
        self.raw.mut_store().write(&batch);
        self.raw.advance_append_async(ready);
        batch.answers = self.apply(now, &committed);
        if batch.snapshot.is_none() && !committed.is_empty() {
            self.raw.advance_apply_to(self.applied);
        }
        batch.compacted = self.compaction();
        let log = self.raw.mut_store();
        batch.compacted.iter().for_each(|snapshot| log.compact(snapshot));
        self.note_role(now);
        Ok(Some(batch))
    }

    /// A snapshot, where the log has become long. Only what is applied may go into it.
    fn compaction(&self) -> Option<Snapshot> {
        let log = self.raw.store();
        if log.kept() < SNAPSHOT_EVERY {
            return None;
        }
        let data = postcard::to_allocvec(&self.machine).ok()?;
        log.snapshot_of(self.applied, data)
    }

    /// The batch is written and synced: what it promises may leave.
    pub fn synced(&mut self, now: Nanos) -> Vec<Message> {
        let Some(Pending { number, messages, restored }) = self.pending.take() else {
            return Vec::new();
        };
        self.raw.on_persist_ready(number);
        restored.into_iter().for_each(|index| self.raw.advance_apply_to(index));
        self.note_role(now);
        messages
    }

    fn apply(&mut self, now: Nanos, entries: &[Entry]) -> Vec<(Ticket, M::Answer)> {
        let mut answers = Vec::new();
        for entry in entries {
            self.applied = entry.index;
            // A new leader's first entry is empty.
            let Ok(command) = postcard::from_bytes::<M::Command>(&entry.data) else { continue };
            let answer = self.machine.apply(&command);
            self.machine.applied(now, &command, &mut self.counts);
            let ticket = postcard::from_bytes::<Ticket>(&entry.context).ok();
            let own =
                |ticket: &Ticket| ticket.voter == self.raw.raft.id && ticket.life == self.life;
            answers.extend(ticket.filter(own).map(|ticket| (ticket, answer)));
        }
        answers
    }

    /// What is agreed, as far as this voter has applied it.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// What goes with it at this voter, led or not.
    pub fn counts(&mut self) -> &mut M::Counts {
        &mut self.counts
    }

    /// What it says of itself.
    pub fn status(&self) -> Status {
        let raft = &self.raw.raft;
        Status {
            id: raft.id,
            term: raft.term,
            leader: raft.leader_id,
            leads: raft.state == StateRole::Leader,
            applied: self.applied,
            committed: raft.raft_log.committed,
        }
    }
}

impl Voter {
    /// The leases as far as this voter has applied them.
    pub fn leases(&self) -> &Leases {
        &self.machine
    }
}

/// A message as it goes between voters.
pub fn encode(message: &Message) -> Result<Vec<u8>, VoterError> {
    message.write_to_bytes().map_err(|error| VoterError::Frame(error.to_string()))
}
