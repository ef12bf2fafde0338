//! Entries of the endpoint lists from discovery.

use super::ids::ServerId;
use mintshelf_time::Nanos;

/// Whether a listed server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// The server is in service and accepts requests.
    #[default]
    Live,
    /// The server finishes its requests in flight and accepts no new ones.
    Draining,
    /// The server is no longer in the endpoint list.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ListedServer {
    /// Id of the server.
    pub id: ServerId,
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the server's hardware model, below
    /// [`Settings::hardware_models`](super::Settings::hardware_models).
    pub hardware_model: u32,
    /// Number of the server's failure domain.
    pub failure_domain: u32,
    /// Whether the server accepts requests.
    pub state: EndpointState,
    /// Relative size, to be read according to
    /// [`Settings::size_kind`](super::Settings::size_kind).
    pub size: f64,
    /// Time of the server's last start; 0 if unknown or long ago.
    pub started_at: Nanos,
}

/// Contents of an endpoint list update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The update has only the entries that changed.
    Changes,
    /// The update has the complete list.
    Full,
    /// The update has the complete list that this instance has cached; the list may be stale.
    Cached,
    /// The update has no entries, because the call to the discovery service failed.
    Failed,
}
