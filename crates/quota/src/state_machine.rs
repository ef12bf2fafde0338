//! Replicated state machine that combines leases and quotas.
//!
//! Snapshots encode the state machine in the postcard format: the order of fields is part of that
//! format.

use crate::command::{Command, QuotaBatch, QuotaRejection, QuotaResponse, Response, QUOTAS_MAX};
use crate::config::Quota;
use crate::ledger::Ledger;
use crate::local_state::LocalState;
use mintshelf_consensus::state_machine::StateMachine;
use mintshelf_lease::command::is_valid_name;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The replicated state of all leases and quotas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStateMachine {
    leases: Leases,
    quotas: BTreeMap<String, Ledger>,
}

impl QuotaStateMachine {
    /// Returns the replicated state of all leases.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the ledger of the named quota; `None` if no such quota exists.
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
            return Ok(ledger.change(quota)?);
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

impl StateMachine for QuotaStateMachine {
    type Command = Command;
    type Response = Response;
    type LocalState = LocalState;

    fn new_local_state(clock_error: ClockError) -> LocalState {
        LocalState::new(clock_error)
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
            Command::Lease(command) => local.lease_command_applied(now, &self.leases, command),
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
        local.become_leader(now, &self.leases, &self.quotas);
    }

    fn step_down(local: &mut LocalState) {
        local.step_down();
    }

    fn is_leader(local: &LocalState) -> bool {
        local.is_leader()
    }

    fn due_commands(now: Nanos, local: &mut LocalState) -> Vec<Command> {
        local.due_commands(now)
    }
}
