//! Leases and quotas as one replicated state machine.
//!
//! Log entries and snapshots hold these types in the postcard format: the order of variants and
//! fields is part of that format.

use crate::allocation::{AllocationBatch, AllocationRequest, AllocationResponse};
use crate::config::{Quota, QuotaError};
use crate::ledger::Ledger;
use crate::request_collector::RequestCollector;
use mintshelf_consensus::state_machine::StateMachine;
use mintshelf_lease::command::{self as lease, is_valid_name};
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most quotas at one time.
pub const QUOTAS_MAX: usize = 64;

/// A batch for one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaBatch {
    /// Name of the quota.
    pub quota: String,
    /// Its requests and expiries.
    pub batch: AllocationBatch,
}

/// A response to a request for one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Name of the quota.
    pub quota: String,
    /// The grant, and to whom.
    pub response: AllocationResponse,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A command about leases.
    Lease(lease::Command),
    /// Creates a quota as an operator's file configures it, or changes it.
    SetQuota {
        /// Name of the quota.
        name: String,
        /// Its settings.
        quota: Quota,
    },
    /// What one replica collected, and what the leader counted, for all quotas.
    Allocate(Vec<QuotaBatch>),
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Of a command about leases.
    Lease(lease::Response),
    /// The quota is in force, or why not.
    SetQuota(Result<(), QuotaRejection>),
    /// The grants of all quotas.
    Allocations(Vec<QuotaResponse>),
}

/// Why a quota is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaRejection {
    /// It can't be enforced. The text of the [`QuotaError`]: the stored bytes are read by other
    /// versions, which may have other errors.
    Invalid(String),
    /// Members count by its former settings already: it needs a name of its own.
    IncompatibleChange,
    /// There are [`QUOTAS_MAX`].
    TooMany,
    /// See [`is_valid_name`].
    InvalidName,
}

impl From<QuotaError> for QuotaRejection {
    fn from(error: QuotaError) -> Self {
        QuotaRejection::Invalid(error.to_string())
    }
}

/// The replicated state of all leases and quotas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStateMachine {
    leases: Leases,
    quotas: BTreeMap<String, Ledger>,
}

impl QuotaStateMachine {
    /// The leases.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The accounts of a quota.
    #[must_use]
    pub fn ledger(&self, quota: &str) -> Option<&Ledger> {
        self.quotas.get(quota)
    }

    fn set_quota(&mut self, name: &str, quota: Quota) -> Result<(), QuotaRejection> {
        quota.check()?;
        if !is_valid_name(name) {
            return Err(QuotaRejection::InvalidName);
        }
        if let Some(ledger) = self.quotas.get_mut(name) {
            let is_changed = ledger.change(quota);
            return if is_changed { Ok(()) } else { Err(QuotaRejection::IncompatibleChange) };
        }
        if self.quotas.len() >= QUOTAS_MAX {
            return Err(QuotaRejection::TooMany);
        }
        self.quotas.insert(name.to_owned(), Ledger::new(quota));
        Ok(())
    }

    fn allocate(&mut self, batches: &[QuotaBatch]) -> Vec<QuotaResponse> {
        let mut responses = Vec::new();
        for QuotaBatch { quota, batch } in batches {
            let Some(ledger) = self.quotas.get_mut(quota) else { continue };
            for response in ledger.apply(batch) {
                responses.push(QuotaResponse { quota: quota.clone(), response });
            }
        }
        responses
    }
}

/// What one replica collects of its members, and counts while it is the leader.
#[derive(Debug, Clone)]
pub struct LocalState {
    lease_expiry: LeaseExpiry,
    collectors: BTreeMap<String, RequestCollector>,
}

impl LocalState {
    /// Collects a member's request for the next batch; returns whether it was accepted.
    pub fn add_request(&mut self, quota: &str, request: AllocationRequest) -> bool {
        if !self.collectors.contains_key(quota) && self.collectors.len() >= QUOTAS_MAX {
            return false;
        }
        self.collectors.entry(quota.to_owned()).or_default().add_request(request)
    }

    fn batch_applied(&mut self, now: Nanos, quota: &str, ledger: &Ledger) {
        let collector = self.collectors.entry(quota.to_owned()).or_default();
        // The quota may have been created since this replica became the leader.
        if self.lease_expiry.is_leader() && !collector.is_leader() {
            collector.become_leader(now, ledger);
        }
        collector.batch_applied(now, ledger);
    }
}

impl StateMachine for QuotaStateMachine {
    type Command = Command;
    type Response = Response;
    type LocalState = LocalState;

    fn new_local_state(clock_error: ClockError) -> LocalState {
        LocalState { lease_expiry: LeaseExpiry::new(clock_error), collectors: BTreeMap::new() }
    }

    fn apply(&mut self, command: &Command) -> Response {
        match command {
            Command::Lease(command) => Response::Lease(self.leases.apply(command)),
            Command::SetQuota { name, quota } => Response::SetQuota(self.set_quota(name, *quota)),
            Command::Allocate(batches) => Response::Allocations(self.allocate(batches)),
        }
    }

    fn command_applied(&self, now: Nanos, command: &Command, local: &mut LocalState) {
        match command {
            Command::Lease(command) => {
                local.lease_expiry.command_applied(now, &self.leases, command.lease());
            }
            Command::SetQuota { .. } => {}
            Command::Allocate(batches) => {
                for QuotaBatch { quota, .. } in batches {
                    if let Some(ledger) = self.quotas.get(quota) {
                        local.batch_applied(now, quota, ledger);
                    }
                }
            }
        }
    }

    fn become_leader(&self, now: Nanos, local: &mut LocalState) {
        local.lease_expiry.become_leader(now, &self.leases);
        for (name, ledger) in &self.quotas {
            local.collectors.entry(name.clone()).or_default().become_leader(now, ledger);
        }
    }

    fn step_down(local: &mut LocalState) {
        local.lease_expiry.step_down();
        local.collectors.values_mut().for_each(RequestCollector::step_down);
    }

    fn is_leader(local: &LocalState) -> bool {
        local.lease_expiry.is_leader()
    }

    fn due_commands(now: Nanos, local: &mut LocalState) -> Vec<Command> {
        let lease_commands = Leases::due_commands(now, &mut local.lease_expiry);
        let mut commands: Vec<Command> = lease_commands.into_iter().map(Command::Lease).collect();
        let mut batches = Vec::new();
        for (quota, collector) in &mut local.collectors {
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
