//! WebSocket (RFC 6455) as a sidecar in the middle sees it: whether a handshake is one, frames
//! followed as they pass, the life of a socket, and the order in which the sockets of a server
//! that has gone are moved or closed. No sockets and no clock: bytes and times go in, bytes and
//! decisions come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod close;
pub mod frame;
pub mod handshake;
pub mod migration;
pub mod session;
pub mod timers;
