//! Leases: exclusive, expiring ownership of a named task, with fencing tokens.
//!
//! No I/O and no clock: time is an argument, and commands go through a replicated log that is
//! not part of this package. Two holders of one lease never act at the same time:
//!
//! - a holder counts the lease duration from before it sent its request, on its own monotonic
//!   clock, less the configured clock error ([`client::LeaseClient`]);
//! - the leader lets a lease expire only when its own monotonic clock has counted the duration,
//!   plus that error, from after the last renewal was committed ([`expiry::LeaseExpiry`]); a new
//!   leader starts the count of every lease again;
//! - expiry itself is a command in the log and names the renewal that it is about, so that a
//!   renewal committed before it makes it void ([`lease::Leases`]);
//! - each grant has a fencing token that only grows; the protected resource rejects lower ones
//!   ([`fence::Fence`]).
//!
//! `docs/design/fleet.md` has the reasons and the alternatives.
//!
//! ```
//! use mintshelf_lease::command::{Command, Owner, Response};
//! use mintshelf_lease::lease::Leases;
//! use mintshelf_time::SECOND;
//!
//! let acquire = |member: &str| Command::Acquire {
//!     lease: "nightly-report".into(),
//!     owner: Owner { member: member.into(), incarnation: 1 },
//!     duration: 10 * SECOND,
//!     wait: false,
//! };
//! let mut leases = Leases::default();
//! assert_eq!(leases.apply(&acquire("a")), Response::Granted { token: 1 });
//! assert!(matches!(leases.apply(&acquire("b")), Response::Unavailable { holder: Some(_), .. }));
//! ```

#![forbid(unsafe_code)]

pub mod client;
pub mod command;
pub mod expiry;
pub mod fence;
pub mod lease;
pub mod timing;
