//! The upstream side: connections to servers, exchanges on them, and the bodies both ways.

pub mod attempt_control;
pub mod connection;
pub mod connection_limits;
pub mod exchange;
pub mod pool;
mod receive;
pub mod request_body;
pub mod response;
pub mod response_stream;
pub mod write_progress;
