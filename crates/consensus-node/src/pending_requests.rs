//! The requests of members whose responses are pending.

use crate::connection::ConnectionId;
use mintshelf_consensus::write_batch::ProposalId;
use std::collections::BTreeMap;

/// Requests whose responses are pending; the oldest are dropped.
const PENDING_REQUESTS_MAX: usize = 8_192;

/// Where a response is to go.
#[derive(Debug)]
pub(crate) struct Requester {
    pub(crate) connection: ConnectionId,
    pub(crate) request_id: u64,
}

/// The requesters of all proposals that have no response so far.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requesters: BTreeMap<ProposalId, Requester>,
}

impl PendingRequests {
    /// Adds the requester of a proposal. Beyond the bound the oldest is dropped: its member
    /// repeats the request.
    pub(crate) fn insert(&mut self, proposal: ProposalId, requester: Requester) {
        self.requesters.insert(proposal, requester);
        while self.requesters.len() > PENDING_REQUESTS_MAX {
            self.requesters.pop_first();
        }
    }

    /// Removes the requester of a proposal that has a response.
    pub(crate) fn remove(&mut self, proposal: &ProposalId) -> Option<Requester> {
        self.requesters.remove(proposal)
    }
}
