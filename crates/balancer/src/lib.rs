//! Load-balancing decisions for fleets in which every client process runs its own balancer
//! (a sidecar) and observes only its own traffic.
//!
//! [`decide::Balancer`] is a sans-I/O state machine: it takes [`api::Event`]s with the current
//! time and returns [`api::Action`]s for the sidecar to carry out. It is deterministic: equal
//! events, times and seeds give equal actions.
//!
//! [`decide`] and [`server_order`] contain the load-balancing policy and its constants; the
//! other modules hold state and make no decisions.

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
