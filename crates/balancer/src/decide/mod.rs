//! The policy of the balancer: every decision, and every constant that it is based on.
//!
//! Requests normally choose a server by He and Down's [`ServerOrder`] for servers of unequal speed
//! (section 4 of their paper). Everything else acts only through which servers are eligible, how
//! fast a server is estimated to be, whether a request is admitted and when it is retried.
//!
//! Each module owns the state of one concern and its decisions. It takes the current time and what
//! it needs from other modules as arguments; [`Balancer`] owns the state of all modules and
//! dispatches events to them.
//!
//! | concern | module |
//! | --- | --- |
//! | whether a request may be sent again or rejected | [`retry_safety`], `retry_group` |
//! | which servers are candidates for a request | `candidates`, [`outlier_ejection`], `panic_thresholds`, [`slow_start`] |
//! | how fast servers are | `estimators`, `latency_model`, `traffic` |
//! | whether a request is admitted | `admission`, `congestion`, `tenant_traffic` |
//! | when a request is retried, and how long it is held | `retries`, [`hold`] |
//! | when an attempt is overdue, and what the cause is | `overdue` |
//! | what load reports and messages from peers contribute | `load_reports`, `server_report`, `gossip_exchange` |
//! | when discovery is polled, and how its lists are applied | `discovery_schedule`, `endpoint_lists` |

pub(crate) mod admission;
pub(crate) mod candidates;
pub(crate) mod congestion;
pub(crate) mod discovery_schedule;
pub(crate) mod endpoint_lists;
pub(crate) mod estimators;
pub(crate) mod gossip_exchange;
pub mod hold;
pub(crate) mod latency_model;
pub(crate) mod load_reports;
pub mod outlier_ejection;
pub(crate) mod overdue;
pub(crate) mod panic_thresholds;
pub(crate) mod retries;
pub(crate) mod retry_group;
pub mod retry_safety;
pub(crate) mod server_report;
pub mod slow_start;
pub(crate) mod tenant_traffic;
pub(crate) mod traffic;

pub use crate::balancer::{Balancer, ServiceSummary};
pub use crate::server_order::{AdjacentPair, Candidates, ServerOrder};
