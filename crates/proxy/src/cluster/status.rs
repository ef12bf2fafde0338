//! Read access to a cluster's state: load, recovery and latencies.

use super::recovery::{RecoveryStatus, RecoveryTracker};
use super::runtime::ClusterRuntime;
use crate::clock::Clock;
use mintshelf_balancer::api::{ClassId, ServerId};
use mintshelf_retry::attempts::AttemptCounts;
use mintshelf_time::Nanos;
use std::net::SocketAddr;

/// The number of pending requests and timers of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuntimeUsage {
    /// Number of requests that have no final outcome yet or still have an attempt in flight.
    pub requests: usize,
    /// Number of timers that the decision module has set.
    pub timers: usize,
}

impl ClusterRuntime {
    /// Returns the cluster's number, unique in this process.
    pub fn number(&self) -> u32 {
        self.upstream.cluster_number()
    }

    /// Returns the address of a server, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.source.endpoints.address(server)
    }

    /// Returns the clock that the decision module's times refer to.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().requests.is_empty()
    }

    /// Returns the number of pending requests and timers.
    pub fn usage(&self) -> RuntimeUsage {
        let state = self.state.borrow();
        RuntimeUsage { requests: state.requests.len(), timers: state.timers.len() }
    }

    /// Returns the state of the cluster's outage and recovery, if it is tracked.
    pub fn recovery_status(&self) -> Option<RecoveryStatus> {
        self.recovery.as_ref().map(RecoveryTracker::status)
    }

    /// Returns the median latency of a class in nanoseconds; `None` while it is unknown.
    pub fn median_latency(&self, class: ClassId) -> Option<Nanos> {
        self.context.retries.median_latency(class, self.clock.now())
    }

    /// Returns the number of attempts cancelled for their own timeout, and the number of hedges,
    /// since the start.
    pub fn attempt_counts(&self) -> AttemptCounts {
        self.context.retries.counts()
    }
}
