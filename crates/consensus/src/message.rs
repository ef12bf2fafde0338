//! Messages between replicas: raft's protobuf messages, bounded in length, and the reasons for
//! rejecting a message.

use protobuf::Message as _;
use thiserror::Error;

/// Message between two replicas, as defined by the raft library.
pub use raft::eraftpb::Message;

/// Longest accepted message, in bytes. A snapshot with the maximum number of leases and full
/// queues fits.
pub const MESSAGE_BYTES_MAX: usize = 32 << 20;

/// Reason for which a message can't be encoded or a received message is rejected.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("message of {bytes} bytes, at most {MESSAGE_BYTES_MAX} are accepted")]
    TooLong {
        /// Length of the message in bytes.
        bytes: usize,
    },
    /// The bytes are not a raft message, or the message can't be encoded.
    #[error(transparent)]
    Protobuf(#[from] protobuf::ProtobufError),
    /// The command can't be encoded.
    #[error("command can't be encoded: {0}")]
    Command(#[source] postcard::Error),
    /// The message is not addressed to this replica, or names it as the sender.
    #[error("message from voter {from} to voter {to} arrived at voter {replica}")]
    Misaddressed {
        /// Number of the sender.
        from: u64,
        /// Number of the recipient.
        to: u64,
        /// Number of this replica.
        replica: u64,
    },
    /// The sender is not a replica of this fleet.
    #[error("sender {from} is not a voter of this fleet")]
    UnknownSender {
        /// Number of the sender.
        from: u64,
    },
    /// The message is a proposal with a term, or has another type and no term.
    #[error("term is missing, or set on a proposal")]
    UnexpectedTerm,
    /// An append response refers to entries that this leader does not have.
    #[error("append response refers to an index beyond the log")]
    IndexBeyondLog,
    /// An index is higher than any log reaches, or a term is 0 or newer than the message.
    #[error("index or term is out of range")]
    OutOfBounds,
    /// The entries are not consecutive, or their terms decrease.
    #[error("entries are out of order")]
    EntriesOutOfOrder,
    /// An entry has another term than the committed entry at its index.
    #[error("entries conflict with committed entries")]
    ConflictsWithCommitted,
    /// An entry changes the membership, which is not supported.
    #[error("membership changes are not supported")]
    MembershipChange,
    /// The snapshot has other voters than this fleet, or an index or term out of range.
    #[error("snapshot has other voters, or its index or term is out of range")]
    InvalidSnapshot,
    /// The snapshot can't be decoded as this state machine.
    #[error("snapshot can't be decoded: {0}")]
    Snapshot(#[source] postcard::Error),
    /// The proposal has no entries, or one that changes the membership.
    #[error("proposal is empty or changes the membership")]
    InvalidProposal,
    /// Replicas don't send each other messages of this type.
    #[error("unexpected message type")]
    UnexpectedMessageType,
}

/// Encodes a message as protobuf bytes, without a length prefix.
///
/// # Errors
/// [`MessageError::Protobuf`]; no message that a replica creates causes this error.
pub fn encode(message: &Message) -> Result<Vec<u8>, MessageError> {
    Ok(message.write_to_bytes()?)
}

/// Decodes a message and checks its length, but not its content.
pub(crate) fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(MessageError::TooLong { bytes: bytes.len() });
    }
    Ok(Message::parse_from_bytes(bytes)?)
}
