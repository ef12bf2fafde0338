//! The frames between processes of a fleet: length-prefixed and encoded with postcard.
//!
//! The order of variants and fields is part of the format of protocol [`VERSION`].

use mintshelf_consensus::message::MESSAGE_BYTES_MAX;
use mintshelf_consensus::replica_status::ReplicaStatus;
use mintshelf_lease::command::{Command, Owner, Response};
use mintshelf_lease::lease::Lease;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;
use tokio_util::bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// Protocol version. Both ends of a connection must have the same version.
pub const VERSION: u32 = 1;
/// Maximum length of a peer's first frame, in bytes.
const HELLO_BYTES_MAX: usize = 1_024;

/// Identity of a process at one end of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerIdentity {
    /// A replica, by its number.
    Replica(u64),
    /// A member, which sends requests to replicas.
    Member(Owner),
}

impl fmt::Display for PeerIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerIdentity::Replica(id) => write!(formatter, "voter {id}"),
            PeerIdentity::Member(owner) => write!(formatter, "member {:?}", owner.member),
        }
    }
}

/// The first frame in each direction, which identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender; see [`VERSION`].
    pub version: u32,
    /// Name of the fleet.
    pub fleet: String,
    /// Identity of the sender.
    pub sender: PeerIdentity,
}

/// A frame after the [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// An encoded raft message between replicas.
    Raft(Vec<u8>),
    /// A member's request to propose a command for the replicated log.
    Request {
        /// Number of the request, chosen by the member.
        request_id: u64,
        /// The command to propose.
        command: Command,
    },
    /// The response to a request whose command has been applied.
    Response {
        /// Number of the request, as chosen by the member.
        request_id: u64,
        /// The result of applying the command.
        response: Response,
    },
    /// A member's request for the replica's status.
    StatusRequest,
    /// The response to [`Frame::StatusRequest`].
    StatusResponse(Box<StatusReport>),
    /// The replica knows no leader, or too many proposals are in flight. The member may try
    /// another replica.
    Unavailable {
        /// Number of the request, as chosen by the member.
        request_id: u64,
    },
}

/// Status of a replica and the leases in its applied state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Role, term and progress of the replica.
    pub status: ReplicaStatus,
    /// Number of times that the replica's store has been opened.
    pub incarnation: u64,
    /// Number of members connected to the replica.
    pub members: u32,
    /// The leases, sorted by name.
    pub leases: Vec<NamedLease>,
}

/// A lease and its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLease {
    /// Name of the lease.
    pub name: String,
    /// Holder and queue of the lease.
    pub lease: Lease,
}

/// Reason for which bytes can't be decoded as a frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes are not a frame of this version.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    /// Bytes follow the frame.
    #[error("{bytes} bytes after the end of the frame")]
    TrailingBytes {
        /// Number of bytes that follow the frame.
        bytes: usize,
    },
}

/// Encodes a frame without the length prefix.
pub fn encode(frame: &impl Serialize) -> Bytes {
    // Encoding can't fail: frames consist of plain serializable values.
    postcard::to_allocvec(frame).unwrap_or_default().into()
}

/// Decodes a frame without the length prefix.
///
/// # Errors
/// The bytes are not a frame, or more bytes follow it.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(bytes)? {
        (frame, []) => Ok(frame),
        (_, rest) => Err(FrameError::TrailingBytes { bytes: rest.len() }),
    }
}

/// Creates the codec for a peer that has not identified itself: a length prefix of four bytes, and
/// frames no longer than a [`Hello`].
pub(crate) fn hello_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(HELLO_BYTES_MAX).new_codec()
}

/// Raises the frame length limit for a peer that has identified itself.
pub(crate) fn allow_all_frames(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MESSAGE_BYTES_MAX + HELLO_BYTES_MAX);
}
