//! The client side: accepting connections, following their requests, writing responses.

mod accept_queue;
mod closing;
pub mod connection;
pub mod handler;
pub mod head_scanner;
mod line_buffer;
pub mod listener;
pub mod registry;
mod serve;
