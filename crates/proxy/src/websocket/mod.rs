//! WebSocket connections, from the handshake to the close: they pass through the same routes,
//! limits and decisions as requests, and may migrate from one server to another.

pub mod entry;
pub mod eviction;
pub mod reconnect;
pub mod registry;
pub mod relay;
mod schedules;
pub mod stats;
pub mod upgrade;
