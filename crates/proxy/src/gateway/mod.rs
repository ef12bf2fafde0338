//! The handler for ordinary HTTP/1.1: routing, admission, header edits and forwarding to clusters.

pub mod admission;
pub mod classify;
pub mod config;
pub(crate) mod dispatch;
pub mod edits;
mod forward;
pub mod handler;
mod limit_rejections;
mod queue_waiters;
pub mod rejection;
mod request_body;
mod request_ids;
mod respond;
mod socket_connector;
mod socket_rejections;
pub mod stats;
