//! The handler for the platform's protocol: requests of its application to one cluster.

pub mod handler;
mod metadata;
mod rejection;
mod request_body;
