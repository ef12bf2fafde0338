//! Client connections: accepting them, serving their requests and closing them.

mod accept_queue;
mod closing;
pub mod connection;
pub mod handler;
pub mod head_scanner;
mod line_buffer;
pub mod listener;
mod phase;
pub mod registry;
mod request_memory;
pub mod scanned_head;
mod serve;
mod upgrade;
