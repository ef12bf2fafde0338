//! Test fixtures: the complete program between clients, servers and discovery on loopback
//! sockets. Each test has addresses of its own; waits are for conditions, not for times.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that cannot be set up fails the test that uses it"
)]

mod accept;
mod addresses;
mod client;
mod crowd;
mod daemon;
mod discovery;
mod endpoint_list;
mod keep_alive_clients;
mod message;
mod process;
pub mod relay;
mod server;
mod sidecar;
pub mod soak;
mod wait;

pub use addresses::free_address;
pub use client::{
    connect, metric, read_to_close, read_to_end, request, request_with_timeout, reset_connection,
    send_request,
};
pub use crowd::{Crowd, CrowdPlan};
#[doc(hidden)]
pub use daemon::{Daemon, CONFIGURATION_APPLIED, CONFIGURATION_REJECTED};
pub use discovery::Discovery;
pub use endpoint_list::entry;
pub use keep_alive_clients::{KeepAliveClients, KeepAlivePlan};
pub use message::{get, ok_response, read_some, Message};
pub use process::Process;
pub use server::{full_listener, Peer, Server};
pub use sidecar::{config, set_deadlines, start_with_server, Sidecar};
pub use wait::{wait_until, Latch, TEST_TIMEOUT};
