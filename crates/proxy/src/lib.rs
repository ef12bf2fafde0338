//! Sockets of the sidecar: clients, servers, discovery and peers.
//!
//! Events go into the decision module (`mintshelf-balancer`) and its actions come out: nothing is
//! decided here. Everything runs on one thread in a `tokio::task::LocalSet`.
//!
//! - [`client`]: accepts clients' connections and hands their requests to a handler.
//! - [`gateway`]: the handler of ordinary HTTP/1.1. The stages of a request are listed in
//!   `gateway/forward.rs`: classify, admit, rewrite, read, balance, respond.
//! - [`platform`]: the handler of the platform's protocol.
//! - [`cluster`]: the runtime of one cluster, around its instance of the decision module.
//! - [`upstream`]: connections to servers and the exchanges on them.
//! - [`websocket`]: WebSocket connections, from their handshake on.
//! - [`discovery`]: where the endpoints come from.
//!
//! The names of the platform's protocols are in two files alone: `platform_protocol.rs` and
//! `discovery/protocol.rs`. Arrows point down only: `platform` and `gateway` use `websocket`, that
//! uses `cluster` and `client`, and these use `upstream`.

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
pub mod platform;
mod platform_protocol;
pub mod request_log;
pub mod tcp;
pub mod upstream;
pub mod websocket;
