//! What goes over a link between two processes of a fleet: frames behind a length, the first of
//! which says who speaks, in which version, for which fleet.

use mintshelf_consensus::message::MESSAGE_BYTES_MAX;
use mintshelf_consensus::replica::ReplicaStatus;
use mintshelf_lease::command::{Command, Owner, Response};
use mintshelf_lease::lease::Lease;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// Both ends of a link speak the same.
pub const VERSION: u32 = 1;
/// The first frame of who is not known yet is no longer than this.
pub const HELLO_MAX: usize = 1_024;

/// Who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Speaker {
    /// A voter, by its number.
    Voter(u64),
    /// A member that asks.
    Member(Owner),
}

/// The first frame each way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See [`VERSION`].
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// Who speaks.
    pub speaker: Speaker,
}

/// All that follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Of one voter to another.
    Raft(Vec<u8>),
    /// A member's question.
    Ask {
        /// Its number, the member's own.
        number: u64,
        /// The question.
        command: Command,
    },
    /// What was agreed.
    Answer {
        /// The question's number.
        number: u64,
        /// What came of it.
        answer: Response,
    },
    /// A member asks a voter how it is.
    Tell,
    /// How it is.
    Told(Box<Report>),
    /// Nobody leads that this voter knows of, or too much is on its way: ask another, or later.
    NotNow {
        /// The question's number.
        number: u64,
    },
}

/// What a voter says of itself and of what it has applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its place among the others.
    pub status: ReplicaStatus,
    /// How often its store was opened.
    pub life: u64,
    /// Members that have a link to it.
    pub members: u32,
    /// The leases, by name.
    pub leases: Vec<(String, Lease)>,
}

/// Why a link is shut.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LinkError {
    /// Not a frame of this version.
    #[error("not a frame of a fleet: {0}")]
    Garbled(String),
    /// Another version's.
    #[error("speaks version {theirs}, this process {VERSION}")]
    Version {
        /// What it speaks.
        theirs: u32,
    },
    /// Another fleet's.
    #[error("belongs to fleet {theirs:?}, this process to {own:?}")]
    Fleet {
        /// Its fleet.
        theirs: String,
        /// The own.
        own: String,
    },
    /// Nobody that the file names.
    #[error("says it is {0}, whom the file does not name here")]
    Stranger(String),
}

impl Hello {
    /// Whether who says this may go on.
    ///
    /// # Errors
    /// Another version or another fleet.
    pub fn check(&self, fleet: &str) -> Result<(), LinkError> {
        if self.version != VERSION {
            return Err(LinkError::Version { theirs: self.version });
        }
        if self.fleet != fleet {
            let (theirs, own) = (self.fleet.clone(), fleet.to_owned());
            return Err(LinkError::Fleet { theirs, own });
        }
        Ok(())
    }
}

/// A frame's bytes, without its length.
pub fn pack(value: &impl Serialize) -> Bytes {
    // Plain values of our own: none fails to be written.
    postcard::to_allocvec(value).unwrap_or_default().into()
}

/// A frame from its bytes.
///
/// # Errors
/// They are none, or more than one.
pub fn unpack<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(LinkError::Garbled(format!("{} bytes too many", rest.len()))),
        Err(error) => Err(LinkError::Garbled(error.to_string())),
    }
}

/// Lengths of four bytes; at first for a [`Hello`] only.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(HELLO_MAX).new_codec()
}

/// What may come once the other end is known.
pub fn open_up(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MESSAGE_BYTES_MAX + HELLO_MAX);
}
