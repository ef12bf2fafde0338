//! The upstream side: connections to servers, exchanges on them, and the bodies both ways.

pub mod connection;
pub mod exchange;
pub mod request_body;
pub mod response_stream;
