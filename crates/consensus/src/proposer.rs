//! Numbers the proposals of a replica and recognizes them among committed entries.

use crate::message::MessageError;
use crate::write_batch::ProposalId;
use raft::eraftpb::Entry;
use serde::Serialize;

/// A command encoded as a log entry.
pub(crate) struct EncodedProposal {
    pub(crate) id: ProposalId,
    /// The entry's context: the encoded [`ProposalId`].
    pub(crate) context: Vec<u8>,
    /// The entry's data: the encoded command.
    pub(crate) data: Vec<u8>,
}

/// Assigns proposal numbers for one incarnation of a replica.
#[derive(Debug)]
pub(crate) struct Proposer {
    replica: u64,
    incarnation: u64,
    last_sequence: u64,
}

impl Proposer {
    pub(crate) fn new(replica: u64, incarnation: u64) -> Self {
        Proposer { replica, incarnation, last_sequence: 0 }
    }

    /// Assigns the next number to a command and encodes it.
    ///
    /// # Errors
    /// [`MessageError::Command`]: the command can't be encoded.
    pub(crate) fn encode(
        &mut self,
        command: &impl Serialize,
    ) -> Result<EncodedProposal, MessageError> {
        self.last_sequence += 1;
        let id = ProposalId {
            replica: self.replica,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        };
        let context = postcard::to_allocvec(&id).map_err(MessageError::Command)?;
        let data = postcard::to_allocvec(command).map_err(MessageError::Command)?;
        Ok(EncodedProposal { id, context, data })
    }

    /// Returns the id of an entry's proposal; `None` unless this incarnation of the replica
    /// proposed the entry.
    pub(crate) fn own_proposal(&self, entry: &Entry) -> Option<ProposalId> {
        let proposal: ProposalId = postcard::from_bytes(&entry.context).ok()?;
        let is_own = proposal.replica == self.replica && proposal.incarnation == self.incarnation;
        is_own.then_some(proposal)
    }
}
