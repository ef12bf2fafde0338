//! Retries, hedges and timeouts of one request: the policy of a request class ([`policy`]), the
//! worst-case start and end of each attempt ([`schedule`]) and the safety rules that it violates
//! ([`violation`]), attempt timeouts and hedges at run time ([`attempts`]), observed latencies
//! ([`latency_window`]) and the deadlines of a graceful shutdown ([`shutdown`]).
//!
//! No I/O: time is an argument, in nanoseconds on the caller's monotonic clock.
//!
//! ```
//! use mintshelf_balancer::api::Effect;
//! use mintshelf_retry::schedule::{
//!     AttemptSchedule, AttemptTimeout, Backoff, DedupGroup, RetryOn,
//! };
//! use mintshelf_time::{MILLISECOND, SECOND};
//!
//! let schedule = AttemptSchedule {
//!     effect: Effect::Idempotent,
//!     dedup_window: 20 * SECOND,
//!     dedup_group: DedupGroup::Cluster,
//!     has_single_dedup_group: true,
//!     latency_objective: SECOND,
//!     deadline: 30 * SECOND,
//!     max_attempts: 3,
//!     connect_timeout: SECOND / 5,
//!     attempt_timeout: AttemptTimeout::Fixed(5 * SECOND),
//!     backoff: Backoff::default(),
//!     retry_on: RetryOn::MayHaveRun,
//!     is_hedged: false,
//!     allows_parallel_attempts: false,
//!     tick: 5 * MILLISECOND,
//!     max_retry_after: 5 * SECOND,
//!     client_retries: 0,
//! };
//! assert!(schedule.violations().is_empty());
//! // Without its own timeout an attempt can fail just before the deadline, and its retry would
//! // reach a server after the deduplication window.
//! let unbounded = AttemptSchedule { attempt_timeout: AttemptTimeout::Deadline, ..schedule };
//! assert!(unbounded.violations()[0].duplicates_effect());
//! ```
#![forbid(unsafe_code)]

pub mod attempts;
mod checker;
pub mod duration;
pub mod latency_window;
pub mod policy;
pub mod schedule;
pub mod shutdown;
mod timeline;
pub mod violation;
