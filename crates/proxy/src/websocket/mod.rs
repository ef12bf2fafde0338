//! WebSocket connections, from the handshake to the close: they pass through the same routes,
//! limits and decisions as requests, and may migrate from one server to another.

pub(crate) mod entry;
pub(crate) mod eviction;
pub(crate) mod reconnect;
pub mod registry;
pub(crate) mod relay;
mod schedules;
pub mod stats;
pub(crate) mod upgrade;
