//! Fleet-wide quotas: limits on concurrent requests or on requests per second of all sidecars
//! together, for a tenant, a route, a cluster or an endpoint, allocated to the sidecars by demand.
//!
//! No I/O and no clock; time is an argument. A member's **grant** is a share of the quota that
//! expires. All members together never use more than the quota, even if members are partitioned,
//! paused, killed or restarted, and whichever replica is the leader:
//!
//! - a grant counts as used until its holder has confirmed that it uses no more than a later one,
//!   or until it has expired ([`ledger::Ledger`], replicated, without a clock);
//! - a holder measures the grant duration minus the clock error from before it sent its request
//!   ([`client::QuotaClient`]). The leader measures it from after the grant was committed, and adds
//!   the clock error and the maximum use duration of a unit acquired just before the expiry
//!   ([`request_collector::RequestCollector`]). A new leader restarts all deadlines;
//! - a member that gets no responses may still use its **floor**, which needs no consensus: the
//!   floors of the maximum number of members are set aside ([`config::Quota::check`]);
//! - one log entry contains the requests of all members since the last one
//!   ([`allocation::AllocationBatch`]).
//!
//! Client requests never wait for consensus: admission reads [`client::QuotaClient::limit`], or a
//! [`token_bucket::TokenBucket`] that follows it.
//!
//! `docs/design/quota.md` has the reasons, the alternatives and the proofs.
//!
//! ```
//! use mintshelf_lease::command::Owner;
//! use mintshelf_lease::timing::ClockError;
//! use mintshelf_time::SECOND;
//! use mintshelf_quota::allocation::AllocationBatch;
//! use mintshelf_quota::client::QuotaClient;
//! use mintshelf_quota::config::Quota;
//! use mintshelf_quota::ledger::Ledger;
//!
//! let quota = Quota {
//!     total: 100,
//!     floor: 1,
//!     max_members: 10,
//!     headroom_per_mille: 0,
//!     grant_duration: 2 * SECOND,
//!     max_use_duration: 0,
//!     clock_error: ClockError::default(),
//! };
//! let mut ledger = Ledger::new(quota);
//! let owner = Owner { member: "sidecar-1".into(), incarnation: 1 };
//! let mut client = QuotaClient::new(owner, quota, 1, 0);
//! client.set_demand(0, 50);
//! let request = client.tick(0, 0).expect("the first request is due at once");
//! let batch = AllocationBatch { requests: vec![request], ..AllocationBatch::default() };
//! client.handle_response(0, &ledger.apply(&batch)[0]);
//! assert_eq!(client.limit(0).units, 50);
//! ```

#![forbid(unsafe_code)]

pub mod allocation;
pub mod client;
pub mod command;
pub mod config;
pub mod ledger;
pub mod local_state;
pub mod max_min;
pub mod replica_selector;
pub mod request_collector;
pub mod session_table;
pub mod state_machine;
pub mod token_bucket;
pub mod usage;
