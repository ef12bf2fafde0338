//! Retry groups: the servers to which a request may be sent again. After an attempt that may have
//! run, these are the servers that share its deduplication group.

use super::retry_safety::SendPermission;
use crate::api::{DedupScope, ListedServer};
use crate::state::{OrderedServers, ServerTable};

/// Set of servers to which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryGroup {
    /// All servers of the deployment.
    All,
    /// The servers of one zone.
    Zone(u32),
    /// The servers of one failure domain.
    FailureDomain(u32),
    /// The group of a server that is no longer known. The group contains no server.
    Unknown,
}

impl RetryGroup {
    /// Creates the group that a permission allows for a class with deduplication groups of a kind.
    /// Returns `None` if no send is permitted.
    pub(crate) fn new(
        permission: SendPermission,
        group: DedupScope,
        servers: &ServerTable,
    ) -> Option<Self> {
        let server = match (permission, group) {
            (SendPermission::Forbidden, _) => return None,
            (SendPermission::AnyServer, _) | (_, DedupScope::All) => return Some(RetryGroup::All),
            (SendPermission::GroupOf(server), _) => server,
        };
        let Some(index) = servers.index_of(server) else { return Some(RetryGroup::Unknown) };
        let listed = &servers[index].listed;
        Some(match group {
            DedupScope::All => RetryGroup::All,
            DedupScope::Zone => RetryGroup::Zone(listed.zone),
            DedupScope::FailureDomain => RetryGroup::FailureDomain(listed.failure_domain),
        })
    }

    /// Returns whether the group contains a server.
    pub(crate) fn contains(self, listed: &ListedServer) -> bool {
        match self {
            RetryGroup::All => true,
            RetryGroup::Zone(zone) => listed.zone == zone,
            RetryGroup::FailureDomain(domain) => listed.failure_domain == domain,
            RetryGroup::Unknown => false,
        }
    }

    /// Returns the servers of the group that are in service, in order, or `None` if there are none.
    pub(crate) fn servers(self, servers: &ServerTable) -> Option<&OrderedServers> {
        match self {
            RetryGroup::All => Some(servers.in_service()),
            RetryGroup::Zone(zone) => servers.in_zone(zone),
            RetryGroup::FailureDomain(domain) => servers.in_failure_domain(domain),
            RetryGroup::Unknown => None,
        }
    }
}
