//! Admission control: which tenant a request belongs to ([`tenants`]), rate and concurrency
//! limits of tenants and routes ([`admission`], [`rate`]), fair queues before clusters
//! ([`queue`]) and slots for long-lived connections ([`slots`]).
//!
//! No I/O: time is an argument, in nanoseconds on the caller's clock.
#![forbid(unsafe_code)]

pub mod admission;
pub mod queue;
pub mod rate;
pub mod slots;
pub mod tenants;
