//! The platform's protocol: requests of its application in front of one cluster.

pub mod handler;
mod metadata;
mod rejection;
mod request_body;
