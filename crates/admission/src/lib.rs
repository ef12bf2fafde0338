//! Admission control: tenant resolution ([`tenants`]), rate and concurrency limits of tenants and
//! routes ([`admission`], [`limit`], [`rate`]), fair queues in front of clusters ([`queue`]) and
//! slots for long-lived connections ([`slots`]).
//!
//! No I/O: time is an argument, in nanoseconds on the caller's monotonic clock. All state is owned
//! by the caller's thread.
#![forbid(unsafe_code)]

pub mod admission;
pub mod limit;
pub mod queue;
pub mod rate;
mod share;
pub mod slots;
pub mod tenants;
