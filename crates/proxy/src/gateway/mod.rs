//! Ordinary HTTP/1.1: routing, admission and header edits in front of the clusters.

pub mod admission;
pub mod edits;
pub mod handler;
pub mod rejection;
