//! Runs a consensus replica: its store, its connections to other replicas and members, and the
//! clock that measures lease durations. Also contains the client that acquires and renews a lease.
//!
//! ```no_run
//! use mintshelf_consensus_node::lease_keeper::{keep_lease, LeaseRequest, LeaseStatus};
//! use mintshelf_lease::client::LeaseConfig;
//! use mintshelf_lease::command::Owner;
//! use mintshelf_lease::timing::ClockError;
//! use mintshelf_time::SECOND;
//! use tokio::sync::watch;
//!
//! # async fn example() {
//! let request = LeaseRequest {
//!     fleet: "edge".into(),
//!     replicas: vec!["10.0.0.1:7001".parse().expect("an address")],
//!     config: LeaseConfig {
//!         lease: "nightly-report".into(),
//!         owner: Owner { member: "worker-1".into(), incarnation: 1 },
//!         duration: 10 * SECOND,
//!         clock_error: ClockError::default(),
//!         wait: true,
//!     },
//! };
//! let (status, mut changes) = watch::channel(LeaseStatus::default());
//! let acquired = async { drop(changes.wait_for(|status| status.grant.is_some()).await) };
//! keep_lease(request, status, acquired).await;
//! # }
//! ```

#![forbid(unsafe_code)]

pub mod client;
pub mod clock;
mod connection;
mod connection_table;
mod dialer;
pub mod frame;
pub mod handshake;
pub mod lease_keeper;
pub mod node;
pub mod node_config;
mod pending_requests;
pub mod store;
mod store_codec;
pub mod store_error;
mod store_tables;
mod transport;
