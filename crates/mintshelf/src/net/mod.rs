//! The real sidecar: sockets to events, actions to sockets. No decisions here.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod inbound;
pub mod limits;
pub mod message;
pub mod peers;
pub mod probe;
pub mod socket;
pub mod upstream;
