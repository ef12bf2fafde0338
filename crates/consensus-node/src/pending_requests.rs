//! Requests of members that have no response yet.

use crate::connection::ConnectionId;
use mintshelf_consensus::write_batch::ProposalId;
use std::collections::BTreeMap;

/// Maximum number of pending requests; beyond this limit the oldest requests are dropped.
const PENDING_REQUESTS_MAX: usize = 8_192;

/// The connection and the request that a response belongs to.
#[derive(Debug)]
pub(crate) struct Requester {
    pub(crate) connection: ConnectionId,
    pub(crate) request_id: u64,
}

/// The requesters of proposals that have no response yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requesters: BTreeMap<ProposalId, Requester>,
}

impl PendingRequests {
    /// Adds the requester of a proposal. Beyond the limit the oldest requester is dropped; the
    /// member repeats the request.
    pub(crate) fn insert(&mut self, proposal: ProposalId, requester: Requester) {
        self.requesters.insert(proposal, requester);
        while self.requesters.len() > PENDING_REQUESTS_MAX {
            self.requesters.pop_first();
        }
    }

    /// Removes and returns the requester of a proposal; `None` if this replica has no requester for
    /// the proposal.
    pub(crate) fn remove(&mut self, proposal: &ProposalId) -> Option<Requester> {
        self.requesters.remove(proposal)
    }
}
