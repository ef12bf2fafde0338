//! Entries of the endpoint lists that discovery provides.

use super::ids::ServerId;
use mintshelf_time::Nanos;

/// Whether a listed server takes traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// In service.
    #[default]
    Live,
    /// Finishes its work and takes no new requests.
    Draining,
    /// No longer part of the list.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ListedServer {
    /// Number of the server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its hardware model, below [`Settings::hardware_models`](super::Settings::hardware_models).
    pub hardware_model: u32,
    /// The failure domain that it shares with other servers.
    pub failure_domain: u32,
    /// Whether it takes traffic.
    pub state: EndpointState,
    /// Relative size; what it means is in [`Settings::size_kind`](super::Settings::size_kind).
    pub size: f64,
    /// When it last started; 0 if that is unknown or long ago.
    pub started_at: Nanos,
}

/// What an update from discovery contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as this instance last stored it, possibly stale.
    Cached,
    /// A call to discovery failed.
    Failed,
}
