//! The randomized election timeout of a replica.
//!
//! The raft library draws it from the thread's generator. Drawn here instead, a seed determines
//! it.

use crate::log::Log;
use raft::{Raft, StateRole};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The timeout that was drawn for one term and role.
#[derive(Debug, Clone, Copy)]
struct Drawn {
    term: u64,
    role: StateRole,
    ticks: usize,
}

/// Draws a replica's election timeouts: one to two times the configured one, drawn again for each term
/// and role.
#[derive(Debug)]
pub(crate) struct ElectionTimeout {
    rng: Pcg32,
    drawn: Option<Drawn>,
}

impl ElectionTimeout {
    /// Creates the generator of one incarnation of a replica.
    pub(crate) fn new(incarnation: u64) -> Self {
        ElectionTimeout { rng: Pcg32::seed_from_u64(incarnation), drawn: None }
    }

    /// Sets the timeout of a replica's current term and role, in place of the library's own.
    pub(crate) fn apply(&mut self, raft: &mut Raft<Log>) {
        let is_current = |drawn: &Drawn| drawn.term == raft.term && drawn.role == raft.state;
        let drawn = match self.drawn.filter(is_current) {
            Some(drawn) => drawn,
            None => self.draw(raft),
        };
        self.drawn = Some(drawn);
        raft.set_randomized_election_timeout(drawn.ticks);
    }

    fn draw(&mut self, raft: &Raft<Log>) -> Drawn {
        let min_ticks = raft.election_timeout();
        let extra_ticks = self.rng.next_u32() as usize % min_ticks.max(1);
        Drawn { term: raft.term, role: raft.state, ticks: min_ticks + extra_ticks }
    }
}
