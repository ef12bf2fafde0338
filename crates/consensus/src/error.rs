//! The errors of a replica.

use crate::message::MESSAGE_BYTES_MAX;
use thiserror::Error;

/// What went wrong in a replica. It may go on after [`ReplicaError::Message`] and
/// [`ReplicaError::Unavailable`] only.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// An error of the raft library.
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    /// The persistent state is unusable.
    #[error("the stored state can't be read: {0}")]
    StoredState(#[from] StoredStateError),
    /// A message was rejected; nothing has changed.
    #[error("not a replica's message: {0}")]
    Message(#[from] MessageError),
    /// The store is empty, or older than what this replica has acknowledged from it, and a leader
    /// counts on those entries. The replica must not go on under this number: its votes may be
    /// lost too.
    #[error(
        "the store ends at entry {stored}, and a leader knows that it held {acknowledged}: it was \
         emptied or put back to an older state; this voter must stop"
    )]
    StoreBehind {
        /// Last index that has been acknowledged.
        acknowledged: u64,
        /// Last index that there is.
        stored: u64,
    },
    /// No leader is known, or too many proposals are in flight.
    #[error("no leader accepts proposals now")]
    Unavailable,
}

/// Why a persistent state is unusable.
#[derive(Debug, Error)]
pub enum StoredStateError {
    /// The entries do not follow one another and the snapshot.
    #[error("entries out of order")]
    EntriesOutOfOrder,
    /// Term or commit index contradict the entries.
    #[error("term and commit index don't match the entries")]
    HardStateMismatch,
    /// The snapshot names no voters.
    #[error("no voters")]
    NoVoters,
    /// The snapshot is not one of this state machine.
    #[error("snapshot: {0}")]
    Snapshot(#[from] postcard::Error),
}

/// Why a message can't be encoded or was rejected.
#[derive(Debug, Error)]
pub enum MessageError {
    /// Longer than [`MESSAGE_BYTES_MAX`].
    #[error("{bytes} bytes, at most {MESSAGE_BYTES_MAX}")]
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// Not a protobuf message of raft, or one that can't be encoded.
    #[error(transparent)]
    Protobuf(#[from] protobuf::ProtobufError),
    /// A command that can't be encoded.
    #[error("command: {0}")]
    Command(#[source] postcard::Error),
    /// Not from another replica to this one.
    #[error("from {from} to {to} at {replica}")]
    WrongAddress {
        /// Number of the sender.
        from: u64,
        /// Number of the recipient.
        to: u64,
        /// Number of this replica.
        replica: u64,
    },
    /// The sender is not a replica of this fleet.
    #[error("{from} is not a voter")]
    UnknownSender {
        /// Number of the sender.
        from: u64,
    },
    /// A proposal with a term, or another message without one.
    #[error("a message without a term, or a proposal with one")]
    UnexpectedTerm,
    /// A response about entries that this leader does not have.
    #[error("a response about more than the log holds")]
    BeyondLog,
    /// An index or a term that no log reaches.
    #[error("an index or a term out of bounds")]
    OutOfBounds,
    /// Entries that do not follow one another.
    #[error("entries out of order")]
    EntriesOutOfOrder,
    /// Entries that differ from committed ones.
    #[error("entries that contradict committed ones")]
    ContradictsCommitted,
    /// A change of membership, which this fleet does not do.
    #[error("a change of voters")]
    MembershipChange,
    /// A snapshot of another fleet, or out of bounds.
    #[error("a snapshot of other voters")]
    ForeignSnapshot,
    /// A snapshot that is not one of this state machine.
    #[error("snapshot: {0}")]
    Snapshot(#[source] postcard::Error),
    /// A proposal without commands.
    #[error("an empty proposal, or one of other voters")]
    InvalidProposal,
    /// A kind of message that replicas don't send each other.
    #[error("a kind of message that voters don't send each other")]
    UnexpectedKind,
}
