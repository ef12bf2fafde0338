//! The source of lists: what it holds, who watches it, and the bound on its calls.

use crate::fleet::Registry;
use crate::SECOND;
use mintshelf_balancer::api::{EndpointState, ListedServer, Nanos, ServerId};
use std::collections::BTreeMap;

/// See the module. Times are the rig's.
pub struct Lists {
    spec: Registry,
    held: BTreeMap<ServerId, ListedServer>,
    watches: Vec<bool>,
    free_at: Nanos,
}

impl Lists {
    /// It holds the servers that are there from the start; nobody watches.
    pub fn new(spec: Registry, sidecars: usize, held: &[ListedServer]) -> Self {
        let held = held.iter().map(|entry| (entry.id, entry.clone())).collect();
        Lists { spec, held, watches: vec![false; sidecars], free_at: 0 }
    }

    /// How long after a change it hears of it, by a uniform draw.
    pub fn notice(&self, drawn: f64) -> Nanos {
        let [from, to] = self.spec.notice;
        from + (drawn * to.saturating_sub(from) as f64) as Nanos
    }

    /// Takes a call: when it ends, and whether it is answered; past the longest wait it fails.
    pub fn call(&mut self, now: Nanos) -> (Nanos, bool) {
        let begins = self.free_at.max(now);
        if begins - now > self.spec.timeout {
            return (now + self.spec.timeout, false);
        }
        self.free_at = begins + (SECOND as f64 / self.spec.calls_per_s) as Nanos;
        (self.free_at, true)
    }

    /// A sidecar watches from now on, or no more.
    pub fn watch(&mut self, sidecar: usize, on: bool) {
        self.watches[sidecar] = on;
    }

    /// It hears of a change; who is to be told, and how much later.
    pub fn change(&mut self, entry: ListedServer) -> Vec<(usize, Nanos)> {
        if entry.state == EndpointState::Removed {
            self.held.remove(&entry.id);
        } else {
            self.held.insert(entry.id, entry);
        }
        let number = self.watches.len().max(1) as u64;
        // The same for every change, so that none overtakes an older one.
        let later = |sidecar: usize| self.spec.spread * sidecar as u64 / number;
        let watch = self.watches.iter().enumerate().filter(|(_, watches)| **watches);
        watch.map(|(sidecar, _)| (sidecar, later(sidecar))).collect()
    }

    /// The whole list.
    pub fn whole(&self) -> Vec<ListedServer> {
        self.held.values().cloned().collect()
    }
}
