//! The upstream side: connections to servers, exchanges on them, and request and response bodies.

pub mod attempt_control;
pub(crate) mod connection;
pub mod connection_limits;
pub mod exchange;
pub mod pool;
mod receive;
pub mod request_body;
pub mod response;
pub(crate) mod response_stream;
pub mod write_progress;
