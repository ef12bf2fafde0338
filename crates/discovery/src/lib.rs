//! Discovery without sockets: which of its answers are believed, and how long a call may wait.
//!
//! Times are spans since any moment that the caller keeps to.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod revision;
pub mod watch;
