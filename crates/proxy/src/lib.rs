//! Sockets: events into the decision module, actions out of it. No decisions here.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod discovery;
pub mod endpoints;
pub mod gateway;
pub mod headers;
pub mod platform;
pub mod sockets;
pub mod tcp;
pub mod upstream;
