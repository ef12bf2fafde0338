//! Messages between replicas: protobuf messages of raft, with a bounded length.

use crate::error::{MessageError, ReplicaError};
use protobuf::Message as _;

/// A message of raft.
pub use raft::eraftpb::Message;

/// Longest message that is accepted, in bytes: a snapshot of all leases with all queues full
/// stays below.
pub const MESSAGE_BYTES_MAX: usize = 32 << 20;

/// Encodes a message.
///
/// # Errors
/// [`MessageError::Protobuf`], which no message of a replica causes.
pub fn encode(message: &Message) -> Result<Vec<u8>, ReplicaError> {
    Ok(message.write_to_bytes().map_err(MessageError::from)?)
}

/// Decodes a message. Its content is not checked.
pub(crate) fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(MessageError::TooLong { bytes: bytes.len() });
    }
    Ok(Message::parse_from_bytes(bytes)?)
}
