//! Quotas of a fleet: how many requests at once, or how many a second, all sidecars together may
//! have at a tenant, a route, a cluster or an endpoint, allocated to them by demand.
//!
//! No I/O and no clock; time is an argument. A member's **grant** is a part of the quota that
//! expires. All members together never use more than the quota, whoever is isolated, stopped,
//! killed or restarted, and whichever replica is the leader:
//!
//! - a grant counts as used until its holder has confirmed that it uses no more, or until it has
//!   expired ([`ledger::Ledger`], replicated, without a clock);
//! - a holder counts its grant's duration from before it sent its request
//!   ([`client::QuotaClient`]), the leader from after the grant was committed, plus the clock
//!   error and the time for which a unit that was acquired at the last moment may still be in use
//!   ([`request_collector::RequestCollector`]); a new leader starts its count again;
//! - a member without any responses is left with its **floor**, which needs no consensus: floors
//!   times the largest number of members are set aside ([`config::Quota::check`]);
//! - one entry of the log carries the requests of all members since the last
//!   ([`allocation::AllocationBatch`]).
//!
//! Requests of clients never wait for it: whoever admits them reads
//! [`client::QuotaClient::limit`], or a [`token_bucket::TokenBucket`] that follows it.
//!
//! `docs/design/quota.md` has the reasons, the alternatives and what is proved.
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
