//! The randomized election timeout of a replica.
//!
//! The raft library draws the timeout from the thread's random number generator, which a seed can't
//! control. Drawing the timeout in this module makes a run reproducible.

use crate::log::Log;
use raft::{Raft, StateRole};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The election timeout drawn for one term and role, in ticks.
#[derive(Debug, Clone, Copy)]
struct RandomizedTimeout {
    term: u64,
    role: StateRole,
    ticks: usize,
}

/// Draws a replica's election timeouts: one to two times the configured timeout, redrawn whenever
/// the term or the role changes.
#[derive(Debug)]
pub(crate) struct ElectionTimeout {
    rng: Pcg32,
    current: Option<RandomizedTimeout>,
}

impl ElectionTimeout {
    /// Creates the generator of one incarnation of a replica, with the incarnation as its seed.
    pub(crate) fn new(incarnation: u64) -> Self {
        ElectionTimeout { rng: Pcg32::seed_from_u64(incarnation), current: None }
    }

    /// Overrides the library's election timeout with the one drawn for the current term and role.
    pub(crate) fn apply(&mut self, raft: &mut Raft<Log>) {
        let is_current =
            |current: &RandomizedTimeout| current.term == raft.term && current.role == raft.state;
        let current = match self.current.filter(is_current) {
            Some(current) => current,
            None => self.randomize(raft),
        };
        self.current = Some(current);
        raft.set_randomized_election_timeout(current.ticks);
    }

    fn randomize(&mut self, raft: &Raft<Log>) -> RandomizedTimeout {
        let min_ticks = raft.election_timeout();
        let extra_ticks = self.rng.next_u32() as usize % min_ticks.max(1);
        RandomizedTimeout { term: raft.term, role: raft.state, ticks: min_ticks + extra_ticks }
    }
}
