//! WebSocket connections, from the handshake to the close. They use the same routes, limits and
//! balancing decisions as requests, and they may migrate from one server to another.

pub(crate) mod entry;
pub(crate) mod eviction;
pub(crate) mod reconnect;
pub mod registry;
pub(crate) mod relay;
mod schedules;
pub mod stats;
pub(crate) mod upgrade;
