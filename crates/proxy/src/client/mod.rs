//! Client connections: accepting them, serving their requests and closing them.

mod accept_queue;
mod client_exchange;
mod closing;
pub mod connection;
mod exchange;
pub mod handler;
pub mod head_scanner;
mod line_buffer;
pub mod listener;
mod phase;
mod phase_timer;
pub mod registry;
pub mod request_body;
mod request_memory;
pub mod scanned_head;
mod serve;
pub mod unread_body;
mod upgrade;
