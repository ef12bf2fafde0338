//! Applies endpoint lists: translates names into the balancer's numbers, stores the servers'
//! addresses and tracks the revision.

use super::list::EndpointList;
use super::protocol::{EndpointEntry, EntryState};
use super::server_numbers::ServerNumbers;
use crate::endpoints::{stable_id, Endpoint, Endpoints};
use crate::list_arrival::ListArrival;
use mintshelf_balancer::api::{EndpointState, ListKind, ListedServer};
use mintshelf_config::platform::Names;
use mintshelf_discovery::revision::{Evaluation, ResetCheck, RevisionTracker};
use mintshelf_time::from_duration;
use std::rc::Rc;
use std::time::Duration;

/// Bit that is set in the numbers of zones and hardware models that are not in the settings.
const UNKNOWN_NAME_FLAG: u32 = 1 << 31;

/// Returns the index of a name in the settings; for an unknown name, a number above all indices
/// that is derived from the name.
fn name_index(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    let index = index.and_then(|index| u32::try_from(index).ok());
    index.unwrap_or_else(|| stable_id(name) | UNKNOWN_NAME_FLAG)
}

/// An update of the balancer's endpoint list.
#[derive(Debug)]
pub struct ListUpdate {
    /// Whether the update replaces all servers or changes some of them.
    pub kind: ListKind,
    /// The servers of the update.
    pub servers: Vec<ListedServer>,
}

/// Applies the lists of one cluster and tracks the revision of the last one.
#[derive(Debug)]
pub struct EndpointListReader {
    names: Names,
    endpoints: Endpoints,
    numbers: ServerNumbers,
    revision: RevisionTracker,
}

impl EndpointListReader {
    /// Creates a reader without servers. It writes the addresses and states of listed servers to
    /// `endpoints`.
    #[must_use]
    pub fn new(names: Names, endpoints: Endpoints) -> Self {
        let numbers = ServerNumbers::default();
        EndpointListReader { names, endpoints, numbers, revision: RevisionTracker::default() }
    }

    fn listed_server(&mut self, entry: &EndpointEntry) -> ListedServer {
        ListedServer {
            id: self.numbers.assign(&entry.name),
            zone: name_index(&self.names.zones, &entry.zone),
            hardware_model: name_index(&self.names.hardware_models, &entry.model),
            failure_domain: entry.failure_domain,
            state: entry.state.into(),
            size: entry.capacity,
            started_at: from_duration(Duration::from_millis(entry.started_at_ms)),
        }
    }

    /// Applies a list; `is_complete` is whether its response was received to its end.
    ///
    /// The entries that were received of a truncated response are applied. If its revision was not
    /// received, the list may be older than the current one, so only entries that take servers out
    /// of service are applied. Nothing of a malformed list is applied: an error in a complete
    /// response makes all of it unreliable.
    pub fn apply(&mut self, list: EndpointList, is_complete: bool) -> ListUpdate {
        let is_valid = list.is_well_formed && is_complete;
        let is_truncated = !is_complete;
        let is_full = is_valid && list.has_all_endpoints;
        let mut entries = list.entries.filter(|_| is_valid || is_truncated).unwrap_or_default();
        if list.revision.is_none() {
            entries.retain(|entry| entry.state != EntryState::Live);
        }
        if is_full {
            self.numbers.start_full_list();
        }
        let servers = entries.iter().map(|entry| self.apply_entry(entry)).collect();
        if is_full {
            for server in self.numbers.release_unlisted() {
                self.endpoints.remove(server);
            }
        }
        if let Some(revision) = list.revision.filter(|_| is_valid) {
            self.revision.accept(revision);
        }
        ListUpdate { kind: if is_full { ListKind::Full } else { ListKind::Changes }, servers }
    }

    /// Records a server's address and whether it takes requests, or removes the server.
    fn apply_entry(&mut self, entry: &EndpointEntry) -> ListedServer {
        let server = self.listed_server(entry);
        if server.state == EndpointState::Removed {
            self.endpoints.remove(server.id);
            self.numbers.release(&entry.name);
        } else {
            let takes_requests = server.state == EndpointState::Live;
            let endpoint = Endpoint { address: entry.address, takes_requests };
            self.endpoints.insert(server.id, endpoint);
        }
        server
    }

    /// Applies the cached list of the configuration; returns `None` if it is malformed.
    pub fn apply_cached(&mut self, text: &str) -> Option<Vec<ListedServer>> {
        let list = EndpointList::parse(text.as_bytes());
        let is_well_formed = list.is_well_formed;
        let update = self.apply(list, true);
        is_well_formed.then_some(update.servers)
    }

    /// Evaluates the revision of a list. `now` is the time since any fixed instant; `is_valid` is
    /// whether the list is well formed and its response was received to its end.
    #[must_use]
    pub fn evaluate(&mut self, now: Duration, list: &EndpointList, is_valid: bool) -> Evaluation {
        // A missing response, or one truncated before its revision, does not indicate a reset, so
        // it is accepted.
        let Some(revision) = list.revision else { return Evaluation::Accept };
        self.revision.evaluate(now, revision, is_valid && list.has_all_endpoints)
    }

    /// Returns the request to make next, after a list with a suspect revision.
    #[must_use]
    pub fn reset_check(&self, now: Duration) -> ResetCheck {
        self.revision.reset_check(now)
    }

    /// Tracks lists that are arriving on the connections to the service.
    #[must_use]
    pub fn arrival(&self) -> Rc<ListArrival> {
        self.endpoints.arrival()
    }

    /// Returns the revision of the last valid list; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.current()
    }
}
