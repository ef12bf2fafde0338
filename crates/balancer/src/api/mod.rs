//! Data types exchanged between a sidecar and its [`Balancer`](crate::decide::Balancer).
//!
//! All times and durations are in nanoseconds of the sidecar's monotonic clock.

mod action;
mod class;
mod endpoint;
mod event;
mod ids;
mod settings;

pub use action::{Action, EndReason};
pub use class::{Backoff, Class, DedupScope, Effect};
pub use endpoint::{EndpointState, ListKind, ListedServer};
pub use event::{Event, Outcome};
pub use ids::{AttemptNumber, ClassId, RequestId, ServerId, TenantId};
use mintshelf_time::{Nanos, SECOND};
pub use settings::{Objective, Prices, ReportField, ReportMode, Settings, SizeKind, Tenant};

/// Time within which an instance must be notified of a change, counted from the moment that
/// discovery has the change and is reachable, regardless of calls that failed before.
pub const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;
