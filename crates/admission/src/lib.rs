//! Admission control: which tenant a request belongs to ([`tenants`]), rate and concurrency
//! limits of tenants and routes ([`admission`], [`limit`], [`rate`]), fair queues before clusters
//! ([`queue`]) and slots for long-lived connections ([`slots`]).
//!
//! No I/O: time is an argument, in nanoseconds on the caller's monotonic clock. Everything here
//! belongs to one thread.
#![forbid(unsafe_code)]

pub mod admission;
pub mod limit;
mod member;
pub mod queue;
pub mod rate;
pub mod slots;
pub mod tenants;
