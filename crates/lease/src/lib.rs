//! Leases: exclusive, expiring ownership of a named task, with fencing tokens.
//!
//! No I/O and no clock: time is an argument, and commands go through a replicated log that is
//! not part of this package. Two holders of one lease never act at the same time:
//!
//! - a holder measures the lease duration minus the configured clock error on its own monotonic
//!   clock, from before it sent its request ([`client::LeaseClient`]);
//! - the leader expires a lease only after the duration plus that error has passed on its own
//!   monotonic clock since the last renewal was committed ([`expiry::LeaseExpiry`]); a new leader
//!   restarts the deadlines of all leases;
//! - expiry itself is a log command that names the last renewal before the expiry, so that a later
//!   renewal, if committed before the command, invalidates the command ([`lease::Leases`]);
//! - each grant has a fencing token, which increases with each grant; the protected resource
//!   rejects lower tokens ([`fence::Fence`]).
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
