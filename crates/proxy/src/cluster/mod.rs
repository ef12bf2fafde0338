//! The runtime of one cluster: requests and timers into the decision module, its actions out.

pub mod attempt_timeouts;
pub mod health_check;
pub mod peers;
pub mod pending_response;
pub mod request_log;
pub mod runtime;
pub mod socket_load;
pub mod state;
