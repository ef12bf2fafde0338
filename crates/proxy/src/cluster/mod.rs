//! The runtime of one cluster: passes requests and timers to the decision module and performs the
//! actions that it returns.
//!
//! - `runtime.rs` is the loop of events and actions, `serve.rs` handles a client's request,
//!   `status.rs` reads the state for metrics and other modules, and `trace.rs` logs at level DEBUG.
//! - `state.rs`, `pending_requests.rs`, `attempt_record.rs`, `fallback.rs` and `timers.rs` hold the
//!   state that a turn of that loop changes.
//! - `attempt_start.rs` starts an attempt and `attempt.rs` runs it; `attempt_context.rs` is shared
//!   by all attempts, `attempt_supervisor.rs` is their interface to the runtime, and
//!   `attempt_timeouts.rs` applies their own timeouts and sends hedges.
//! - `retry_trackers.rs`, `recovery.rs` and `attempt_observer.rs` record how attempts end.
//! - `endpoint_source.rs` and `health_check.rs` list and check servers; `peers.rs` exchanges gossip
//!   with other sidecars.

mod attempt;
mod attempt_context;
mod attempt_observer;
mod attempt_record;
mod attempt_start;
mod attempt_supervisor;
mod attempt_timeouts;
mod endpoint_source;
pub mod executed_ids;
mod fallback;
mod health_check;
pub mod peers;
mod pending_requests;
pub mod pending_response;
pub mod recovery;
pub mod request;
mod retry_trackers;
pub mod runtime;
mod serve;
pub mod socket_load;
pub mod spec;
mod state;
pub mod status;
mod timers;
mod trace;
