//! The runtime of one cluster: requests and timers into the decision module, its actions out.

mod attempt;
mod attempt_observer;
pub mod attempt_timeouts;
mod endpoint_source;
pub mod health_check;
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
mod timers;
mod trace;
