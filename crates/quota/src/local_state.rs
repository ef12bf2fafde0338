//! State of one replica that is not replicated: collected requests and expiry deadlines.

use crate::allocation::AllocationRequest;
use crate::command::{Command, QuotaBatch, QUOTAS_MAX};
use crate::ledger::Ledger;
use crate::request_collector::RequestCollector;
use mintshelf_lease::command as lease;
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// Requests that one replica has collected from its members, and the deadlines of leases and grants
/// that it tracks while it is the leader.
#[derive(Debug, Clone)]
pub struct LocalState {
    lease_expiry: LeaseExpiry,
    /// Request collectors by quota name.
    collectors: BTreeMap<String, RequestCollector>,
}

impl LocalState {
    /// Creates the state of a replica that is not the leader, without requests.
    pub(crate) fn new(clock_error: ClockError) -> Self {
        LocalState { lease_expiry: LeaseExpiry::new(clock_error), collectors: BTreeMap::new() }
    }

    /// Adds a member's request to the next batch; returns whether it was accepted.
    pub fn add_request(&mut self, quota: &str, request: AllocationRequest) -> bool {
        if !self.collectors.contains_key(quota) && self.collectors.len() >= QUOTAS_MAX {
            return false;
        }
        self.collectors.entry(quota.to_owned()).or_default().add_request(request)
    }

    /// Updates the lease deadlines after a lease command was applied.
    pub(crate) fn lease_command_applied(
        &mut self,
        now: Nanos,
        leases: &Leases,
        command: &lease::Command,
    ) {
        self.lease_expiry.command_applied(now, leases, command.lease());
    }

    /// Updates the grant deadlines after a batch was applied to the ledger of a quota.
    pub(crate) fn batch_applied(&mut self, now: Nanos, quota: &str, ledger: &Ledger) {
        let collector = self.collectors.entry(quota.to_owned()).or_default();
        // The quota may have been created since this replica became the leader.
        if self.lease_expiry.is_leader() && !collector.is_leader() {
            collector.become_leader(now, ledger);
        }
        collector.batch_applied(now, ledger);
    }

    /// Starts tracking the deadlines of all leases and grants from `now`.
    pub(crate) fn become_leader(
        &mut self,
        now: Nanos,
        leases: &Leases,
        quotas: &BTreeMap<String, Ledger>,
    ) {
        self.lease_expiry.become_leader(now, leases);
        for (name, ledger) in quotas {
            self.collectors.entry(name.clone()).or_default().become_leader(now, ledger);
        }
    }

    /// Drops the deadlines of all leases and grants.
    pub(crate) fn step_down(&mut self) {
        self.lease_expiry.step_down();
        self.collectors.values_mut().for_each(RequestCollector::step_down);
    }

    /// Returns whether this replica is the leader and tracks deadlines.
    pub(crate) fn is_leader(&self) -> bool {
        self.lease_expiry.is_leader()
    }

    /// Returns the commands to propose at `now`: due lease expiries and the next allocation
    /// batches.
    pub(crate) fn due_commands(&mut self, now: Nanos) -> Vec<Command> {
        let lease_commands = self.lease_expiry.due_commands(now);
        let mut commands: Vec<Command> = lease_commands.into_iter().map(Command::Lease).collect();
        let mut batches = Vec::new();
        for (quota, collector) in &mut self.collectors {
            if let Some(batch) = collector.next_batch(now) {
                batches.push(QuotaBatch { quota: quota.clone(), batch });
            }
        }
        if !batches.is_empty() {
            commands.push(Command::Allocate(batches));
        }
        commands
    }
}
