//! WebSocket: upgraded connections through the same routes, limits and decisions as requests.

pub mod registry;
pub mod relay;
pub mod upgrade;
