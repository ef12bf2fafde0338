//! Load-balancing decisions for fleets in which every client process has its own balancer
//! (a sidecar) that sees only its own traffic.
//!
//! [`decide::Balancer`] is a sans-I/O state machine: feed it [`api::Event`]s with the current
//! time, and carry out the [`api::Action`]s that it returns. The same events, times and seed
//! give the same actions.
//!
//! The policy, every decision and every number it is based on, is in [`decide`] and
//! [`server_order`]; the other modules hold state and decide nothing.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod balancer;
pub mod budget;
pub mod decay;
pub mod decide;
pub mod gossip;
mod rng;
pub mod server_order;
pub mod settings;
mod state;
