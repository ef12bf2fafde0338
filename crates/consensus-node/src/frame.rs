//! The frames between two processes of a fleet, and their encoding: postcard after a length.
//!
//! The order of variants and fields is part of the format of [`VERSION`].

use mintshelf_consensus::message::MESSAGE_BYTES_MAX;
use mintshelf_consensus::replica_status::ReplicaStatus;
use mintshelf_lease::command::{Command, Owner, Response};
use mintshelf_lease::lease::Lease;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;
use tokio_util::bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// Version of the protocol; both ends of a connection must have the same.
pub const VERSION: u32 = 1;
/// Longest first frame of a peer, in bytes.
const HELLO_BYTES_MAX: usize = 1_024;

/// Who is at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerIdentity {
    /// A replica, by its number.
    Replica(u64),
    /// A member, which requests leases.
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

/// The first frame in each direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See [`VERSION`].
    pub version: u32,
    /// Name of the fleet.
    pub fleet: String,
    /// Who sends it.
    pub sender: PeerIdentity,
}

/// All frames that follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A raft message of one replica to another.
    Raft(Vec<u8>),
    /// A member's request.
    Request {
        /// Number of the request, chosen by the member.
        request_id: u64,
        /// The command to propose.
        command: Command,
    },
    /// The response to a request that was committed.
    Response {
        /// Number of the request.
        request_id: u64,
        /// What the state machine responded.
        response: Response,
    },
    /// A member's request for the replica's status.
    StatusRequest,
    /// The response to [`Frame::StatusRequest`].
    StatusResponse(Box<StatusReport>),
    /// The replica knows no leader, or too many proposals are in flight: another replica may
    /// know one.
    Unavailable {
        /// Number of the request.
        request_id: u64,
    },
}

/// What a replica reports of itself and of the log that it has applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Its role, term and indexes.
    pub status: ReplicaStatus,
    /// How often its store was opened.
    pub incarnation: u64,
    /// Number of members that are connected to it.
    pub members: u32,
    /// The leases, in order of their names.
    pub leases: Vec<NamedLease>,
}

/// A lease and its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLease {
    /// Name of the lease.
    pub name: String,
    /// Its holder and queue.
    pub lease: Lease,
}

/// Why bytes are not a frame of this version.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// They can't be decoded.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    /// There is more than one frame.
    #[error("{bytes} bytes too many")]
    TrailingBytes {
        /// Number of bytes after the frame.
        bytes: usize,
    },
}

/// Encodes a frame, without its length.
pub fn encode(frame: &impl Serialize) -> Bytes {
    // Plain values of our own: none fails to be encoded.
    postcard::to_allocvec(frame).unwrap_or_default().into()
}

/// Decodes a frame, without its length.
///
/// # Errors
/// The bytes are no frame, or more than one.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(bytes)? {
        (frame, []) => Ok(frame),
        (_, rest) => Err(FrameError::TrailingBytes { bytes: rest.len() }),
    }
}

/// The codec for a peer that has not identified itself: four bytes of length, at most a
/// [`Hello`].
pub(crate) fn hello_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(HELLO_BYTES_MAX).new_codec()
}

/// Allows all frames, once the peer has identified itself.
pub(crate) fn allow_all_frames(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MESSAGE_BYTES_MAX + HELLO_BYTES_MAX);
}
