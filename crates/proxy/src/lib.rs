//! Network I/O of the sidecar: connections to clients, servers, discovery and peers.
//!
//! This crate passes events to the decision module (`mintshelf-balancer`) and executes the actions
//! that it returns; it makes no balancing decisions itself. Everything runs on one thread in a
//! `tokio::task::LocalSet`.
//!
//! - [`client`]: accepts client connections and passes their requests to a handler.
//! - [`gateway`]: the handler for ordinary HTTP/1.1. `gateway/forward.rs` lists the stages of a
//!   request: classify, admit, rewrite, read, balance, respond.
//! - [`platform`]: the handler for the platform's protocol.
//! - [`cluster`]: the runtime of one cluster, which owns an instance of the decision module.
//! - [`upstream`]: connections to servers and the exchanges on them.
//! - [`websocket`]: WebSocket connections, from the handshake to the close.
//! - [`discovery`]: the sources of endpoint lists.
//! - [`memory`]: the memory budget of the process, and the accounts of what requests hold.
//!
//! The header names and paths of the platform's protocols appear only in `platform_protocol.rs` and
//! `discovery/protocol.rs`. Dependencies between modules point downwards: `platform` and `gateway`
//! use `websocket`, which uses `cluster` and `client`, and these use `upstream`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body;
pub mod budget;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod discovery;
pub mod endpoints;
pub mod gateway;
pub mod headers;
mod list_arrival;
mod loop_monitor;
pub mod memory;
pub mod platform;
mod platform_protocol;
pub mod request_log;
pub mod tcp;
pub mod upstream;
pub mod websocket;
