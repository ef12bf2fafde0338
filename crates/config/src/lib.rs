//! Configuration: text to a checked model, every error with its place. No sockets.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod file;
pub mod model;
pub mod module;
pub mod platform;
pub mod problem;
pub mod schema;
