//! The runtime of one cluster: requests and timers into the decision module, its actions out.
//!
//! - `runtime.rs` has the loop of events and actions; `serve.rs` a request's way into it and out;
//!   `status.rs` what is read of it.
//! - `state.rs`, `pending_requests.rs`, `attempt_record.rs` and `timers.rs` hold what a turn of that
//!   loop changes.
//! - `attempt_start.rs` and `attempt.rs` are the life of one attempt; `attempt_context.rs` has what
//!   all attempts share, `attempt_supervisor.rs` what they need of the runtime, and
//!   `attempt_timeouts.rs` their own timeouts and hedges.
//! - `retry_trackers.rs`, `recovery.rs` and `attempt_observer.rs` learn from the ends of attempts.

mod attempt;
mod attempt_context;
mod attempt_observer;
mod attempt_record;
mod attempt_start;
mod attempt_supervisor;
mod attempt_timeouts;
mod endpoint_source;
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
