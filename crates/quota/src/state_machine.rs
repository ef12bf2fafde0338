//! Leases and budgets as one state that the voters agree on.

use crate::collector::Clerk;
use crate::config::{Budget, BudgetProblem};
use crate::ledger::{self, Ask, Beat, Ledger};
use mintshelf_consensus::state_machine::StateMachine;
use mintshelf_lease::command::{self as lease, is_valid_name};
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::{ClockError, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Budgets at one time.
pub const BUDGETS_MAX: usize = 64;

/// What can be agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Of a lease.
    Lease(lease::Command),
    /// A budget as an operator's file states it.
    Budget {
        /// Its name.
        name: String,
        /// How much of what.
        budget: Budget,
    },
    /// What one voter gathered, and what the leader counted, of all budgets.
    Beat(Vec<(String, Beat)>),
}

/// What came of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Of a lease.
    Lease(lease::Response),
    /// The budget is in force, or why not.
    Budget(Result<(), Unfit>),
    /// By budget, what its members are promised.
    Shares(Vec<(String, ledger::Answer)>),
}

/// Why a budget is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unfit {
    /// It can't be kept.
    Problem(String),
    /// Members count by its other figures already: it needs a name of its own.
    OtherFigures,
    /// As many as there can be.
    TooMany,
    /// No name: see [`is_valid_name`].
    Name,
}

impl From<BudgetProblem> for Unfit {
    fn from(problem: BudgetProblem) -> Self {
        Unfit::Problem(problem.to_string())
    }
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    leases: Leases,
    budgets: BTreeMap<String, Ledger>,
}

impl Agreed {
    /// The leases.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// A budget's accounts.
    pub fn budget(&self, name: &str) -> Option<&Ledger> {
        self.budgets.get(name)
    }

    fn state(&mut self, name: &str, budget: Budget) -> Result<(), Unfit> {
        budget.check()?;
        if !is_valid_name(name) {
            return Err(Unfit::Name);
        }
        if let Some(ledger) = self.budgets.get_mut(name) {
            return if ledger.change(budget) { Ok(()) } else { Err(Unfit::OtherFigures) };
        }
        if self.budgets.len() >= BUDGETS_MAX {
            return Err(Unfit::TooMany);
        }
        self.budgets.insert(name.to_owned(), Ledger::new(budget));
        Ok(())
    }
}

/// What one voter gathers of its members, and counts while it leads.
#[derive(Debug, Clone)]
pub struct Counts {
    grantor: LeaseExpiry,
    clerks: BTreeMap<String, Clerk>,
}

impl Counts {
    /// Gathers a member's question for the next beat; whether it was taken.
    pub fn ask(&mut self, budget: &str, ask: Ask) -> bool {
        if !self.clerks.contains_key(budget) && self.clerks.len() >= BUDGETS_MAX {
            return false;
        }
        self.clerks.entry(budget.to_owned()).or_default().ask(ask)
    }
}

impl StateMachine for Agreed {
    type Command = Command;
    type Response = Answer;
    type LocalState = Counts;

    fn new_local_state(error: ClockError) -> Counts {
        Counts { grantor: LeaseExpiry::new(error), clerks: BTreeMap::new() }
    }

    fn apply(&mut self, command: &Command) -> Answer {
        match command {
            Command::Lease(command) => Answer::Lease(self.leases.apply(command)),
            Command::Budget { name, budget } => Answer::Budget(self.state(name, *budget)),
            Command::Beat(beats) => {
                let mut answers = Vec::new();
                for (name, beat) in beats {
                    let Some(ledger) = self.budgets.get_mut(name) else { continue };
                    let given = ledger.apply(beat).into_iter();
                    answers.extend(given.map(|answer| (name.clone(), answer)));
                }
                Answer::Shares(answers)
            }
        }
    }

    fn command_applied(&self, now: Nanos, command: &Command, counts: &mut Counts) {
        match command {
            Command::Lease(command) => {
                counts.grantor.command_applied(now, &self.leases, command.lease())
            }
            Command::Budget { .. } => {}
            Command::Beat(beats) => {
                for (name, _) in beats {
                    let Some(ledger) = self.budgets.get(name) else { continue };
                    let clerk = counts.clerks.entry(name.clone()).or_default();
                    // One of a budget that was stated since this voter leads.
                    if counts.grantor.is_leader() && !clerk.leads() {
                        clerk.lead(now, ledger);
                    }
                    clerk.applied(now, ledger);
                }
            }
        }
    }

    fn become_leader(&self, now: Nanos, counts: &mut Counts) {
        counts.grantor.become_leader(now, &self.leases);
        for (name, ledger) in &self.budgets {
            counts.clerks.entry(name.clone()).or_default().lead(now, ledger);
        }
    }

    fn step_down(counts: &mut Counts) {
        counts.grantor.step_down();
        counts.clerks.values_mut().for_each(Clerk::follow);
    }

    fn is_leader(counts: &Counts) -> bool {
        counts.grantor.is_leader()
    }

    fn due_commands(now: Nanos, counts: &mut Counts) -> Vec<Command> {
        let leases = Leases::due_commands(now, &mut counts.grantor).into_iter().map(Command::Lease);
        let beat = |(name, clerk): (&String, &mut Clerk)| Some((name.clone(), clerk.beat(now)?));
        let beats: Vec<_> = counts.clerks.iter_mut().filter_map(beat).collect();
        let beats = (!beats.is_empty()).then_some(Command::Beat(beats));
        leases.chain(beats).collect()
    }
}
