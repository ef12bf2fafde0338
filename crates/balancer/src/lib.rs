//! Load-balancing decisions for fleets in which every client process has its
//! own balancer (a sidecar) that sees only its own traffic.
//!
//! [`decide::Balancer`] is a sans-I/O state machine: feed it events with the
//! current time, carry out the actions it returns.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod budget;
pub mod decay;
pub mod decide;
pub mod gossip;
mod record;
mod rng;
pub mod settings;
mod timers;
