//! The protocol of the discovery service, mapped to the terms of this program.
//!
//! The service responds to `GET /api/targets` with a list in JSON. Only this file uses its names:
//!
//! | on the wire | in this program |
//! | --- | --- |
//! | `rev` | revision of the list |
//! | `all` | whether the list has all endpoints |
//! | `targets` | entries of the list |
//! | `uid` | name of the server |
//! | `endpoint` | address |
//! | `az` | zone |
//! | `model` | hardware model |
//! | `pod_group` | failure domain |
//! | `state` | state: `SERVING` is live, `DRAINING` draining, `DELETED` removed |
//! | `capacity_hint` | capacity, relative to a standard server |
//! | `boot_ms` | when the server started, in milliseconds of Unix time |
//! | `after` (query) | revision after which changes are requested |
//! | `wait_ms` (query) | how long the service may wait for a change, in milliseconds |

use mintshelf_balancer::api::EndpointState;
use serde::Deserialize;
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

/// Key of a list's revision.
pub(super) const REVISION: &str = "rev";
/// Key of the flag that a list has all endpoints.
pub(super) const HAS_ALL_ENDPOINTS: &str = "all";
/// Key of a list's entries.
pub(super) const ENTRIES: &str = "targets";

/// Path of the full list.
pub(super) const LIST_PATH: &str = "/api/targets";

/// Returns the path of the changes after a revision; the service waits up to `poll_timeout` for a
/// change.
pub(super) fn changes_path(after_revision: u64, poll_timeout: Duration) -> String {
    let wait_ms = poll_timeout.as_millis();
    format!("{LIST_PATH}?after={after_revision}&wait_ms={wait_ms}")
}

/// One entry of a list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(super) struct EndpointEntry<'a> {
    /// The server's unique name.
    #[serde(rename = "uid", borrow)]
    pub(super) name: Cow<'a, str>,
    #[serde(rename = "endpoint")]
    pub(super) address: SocketAddr,
    #[serde(rename = "az", default, borrow)]
    pub(super) zone: Cow<'a, str>,
    #[serde(default, borrow)]
    pub(super) model: Cow<'a, str>,
    #[serde(rename = "pod_group", default)]
    pub(super) failure_domain: u32,
    pub(super) state: EntryState,
    /// Capacity, relative to a standard server.
    #[serde(rename = "capacity_hint", default = "default_capacity")]
    pub(super) capacity: f64,
    /// Start time of the server, in milliseconds of Unix time.
    #[serde(rename = "boot_ms", default)]
    pub(super) started_at_ms: u64,
}

/// Returns the capacity of an entry that does not state one, as of a standard server.
fn default_capacity() -> f64 {
    1.0
}

/// State of a server in the service's lists.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub(super) enum EntryState {
    #[serde(rename = "SERVING")]
    Live,
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
}

impl From<EntryState> for EndpointState {
    fn from(state: EntryState) -> Self {
        match state {
            EntryState::Live => EndpointState::Live,
            EntryState::Draining => EndpointState::Draining,
            EntryState::Removed => EndpointState::Removed,
        }
    }
}
