//! The policy of the balancer: every decision, and every number that it is based on.
//!
//! The ordinary path is He and Down's [`ServerOrder`] for servers of unequal speed (section 4
//! of their paper). Exceptions act only through which servers are eligible, how fast a server
//! is estimated to be, whether a request is admitted and when it is attempted again.

mod admission;
mod attempt_end;
mod attempts;
mod candidates;
mod discovery;
mod health;
pub mod hold;
mod load_reports;
mod peers;
mod rates;
mod retry_group;
pub mod retry_safety;
mod speed;
mod warm_up;

pub use crate::balancer::{Balancer, ServiceSummary};
pub use crate::server_order::{AdjacentPair, Candidates, ServerOrder};
