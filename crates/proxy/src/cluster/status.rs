//! What others read of a cluster: its load, its recovery and its latencies. Nothing is changed here.

use super::recovery::{RecoveryStatus, RecoveryTracker};
use super::runtime::ClusterRuntime;
use crate::clock::Clock;
use mintshelf_balancer::api::{ClassId, ServerId};
use mintshelf_retry::attempts::AttemptCounts;
use mintshelf_time::Nanos;
use std::net::SocketAddr;

/// What is open in a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuntimeUsage {
    /// Open requests.
    pub requests: usize,
    /// Timers that the decision module has set.
    pub timers: usize,
}

impl ClusterRuntime {
    /// A number that no other runtime of this process has.
    pub fn number(&self) -> u32 {
        self.upstream.cluster_number()
    }

    /// Where a server listens, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.source.endpoints.address(server)
    }

    /// The clock of the decisions.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().requests.is_empty()
    }

    /// What is open.
    pub fn usage(&self) -> RuntimeUsage {
        let state = self.state.borrow();
        RuntimeUsage { requests: state.requests.len(), timers: state.timers.len() }
    }

    /// The cluster's outage, where that is followed.
    pub fn recovery_status(&self) -> Option<RecoveryStatus> {
        self.recovery.as_ref().map(RecoveryTracker::status)
    }

    /// The median latency of a class in nanoseconds; none while it is unknown.
    pub fn median_latency(&self, class: ClassId) -> Option<Nanos> {
        self.context.retries.median_latency(class, self.clock.now())
    }

    /// Attempts that were ended for their own timeout, and hedges, so far.
    pub fn attempt_counts(&self) -> AttemptCounts {
        self.context.retries.counts()
    }
}
