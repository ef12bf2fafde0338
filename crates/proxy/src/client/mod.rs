//! The client side: accepting connections, following their requests, writing responses.

pub mod connection;
pub mod handler;
pub mod head_scanner;
pub mod listener;
