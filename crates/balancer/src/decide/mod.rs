//! The policy of the balancer: every decision, and every number that it is based on.
//!
//! The ordinary path is He and Down's [`ServerOrder`] for servers of unequal speed (section 4
//! of their paper). Exceptions act only through which servers are eligible, how fast a server
//! is estimated to be, whether a request is admitted and when it is attempted again.
//!
//! Each module owns the state of one concern and decides on it. It takes the present time and
//! what it needs of the others as arguments; [`Balancer`] holds the states and hands events to
//! them.
//!
//! | concern | module |
//! | --- | --- |
//! | whether a request may be sent again or rejected | [`retry_safety`], `retry_group` |
//! | which servers a request may choose from | `candidates`, [`outlier_ejection`], `panic_thresholds`, [`slow_start`] |
//! | how fast servers are | `estimators`, `latency_model`, `traffic` |
//! | whether a request is admitted | `admission`, `congestion`, `tenant_traffic` |
//! | when a request is attempted again, and how long it is held | `retries`, [`hold`] |
//! | when an attempt is overdue, and what that shows | `overdue` |
//! | what load reports and peers tell | `load_reports`, `server_report`, `gossip_exchange` |
//! | when discovery is called, and what its lists change | `discovery_schedule`, `endpoint_lists` |

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
