//! Faults: processes that stop or are killed, links that are cut or slow.

use super::process::Role;
use super::{Event, Link, ProcessId, Simulation};
use mintshelf_time::{Nanos, MILLISECOND};

/// Processes to kill, by what they are at that time.
#[derive(Clone, Copy)]
pub struct Victims {
    pub leader: bool,
    pub holder: bool,
}

impl Simulation {
    pub(super) fn draw_next_fault(&mut self) -> Nanos {
        let interval = self.config.fault_interval;
        self.now + interval / 4 + self.draw_below(interval * 3 / 2 / MILLISECOND) * MILLISECOND
    }

    pub(super) fn stop(&mut self, id: ProcessId) {
        let process = &mut self.processes[id];
        if process.is_stopped {
            return;
        }
        process.is_stopped = true;
        if let Role::Client(Some(client)) = &mut process.role {
            if let Some(operation) = &mut client.operation {
                operation.is_disturbed = true;
            }
        }
        let duration = 20 * MILLISECOND
            + self.draw_below(self.config.lease_duration * 2 / MILLISECOND) * MILLISECOND;
        self.schedule(self.now + duration, Event::Continue { process: id });
    }

    pub(super) fn continue_process(&mut self, id: ProcessId) {
        self.processes[id].is_stopped = false;
        for event in std::mem::take(&mut self.processes[id].deferred) {
            self.schedule(self.now, event);
        }
    }

    fn kill(&mut self, id: ProcessId) {
        self.crashes += 1;
        let process = &mut self.processes[id];
        process.incarnation += 1;
        process.is_stopped = false;
        process.deferred.clear();
        // A write in progress is lost: it goes with the events of the former incarnation.
        let operation = match &mut process.role {
            Role::Replica(replica) => {
                *replica = None;
                None
            }
            Role::Client(client) => client.take().and_then(|client| client.operation),
        };
        if let Some(operation) = operation {
            // What it did until now counts.
            self.record(id, operation);
        }
        let restart_at = self.now + 50 * MILLISECOND + self.draw_below(4_000) * MILLISECOND;
        self.schedule(restart_at, Event::Restart { process: id });
    }

    fn find_victims(&self, victims: Victims) -> Vec<ProcessId> {
        let is_victim = |id: &ProcessId| match &self.processes[*id].role {
            Role::Replica(Some(process)) => victims.leader && process.replica.status().is_leader,
            Role::Client(Some(process)) => {
                victims.holder && process.client.active_grant(self.clock_of(*id)).is_some()
            }
            _ => false,
        };
        (0..self.processes.len()).filter(is_victim).collect()
    }

    /// Kills the leader, the holder, or both.
    pub fn kill_victims(&mut self, victims: Victims) {
        for id in self.find_victims(victims) {
            self.kill(id);
        }
    }

    pub(super) fn heal(&mut self) {
        self.cut_links.clear();
        self.is_network_slow = false;
    }

    pub(super) fn cause_fault(&mut self) {
        if self.now >= self.config.fault_period {
            return self.schedule(self.now, Event::Heal);
        }
        let processes = self.processes.len() as u64;
        let drawn = self.draw_below(processes) as ProcessId;
        let kind = self.draw_below(8);
        if self.config.replicas_fail {
            self.cause_fault_of_kind(kind, drawn);
        } else {
            self.cut_off_client();
        }
        if self.draw_below(2) == 0 {
            let heal_at = self.now + self.draw_below(3_000) * MILLISECOND;
            self.schedule(heal_at, Event::Heal);
        }
        let next_fault_at = self.draw_next_fault();
        self.schedule(next_fault_at, Event::Fault);
    }

    fn cause_fault_of_kind(&mut self, kind: u64, drawn: ProcessId) {
        match kind {
            0 => self.kill(drawn),
            1 => self.stop(drawn),
            2 => self.kill_victims(Victims { leader: true, holder: true }),
            3 => self.cut_one_way(drawn),
            4 => self.partition_replicas(),
            5 => self.is_network_slow = true,
            6 => (0..self.config.replicas).for_each(|id| self.kill(id)),
            _ => self.schedule(self.now, Event::Heal),
        }
    }

    fn cut_off_client(&mut self) {
        let replicas = self.config.replicas;
        let client = replicas + self.draw_below(self.config.clients as u64) as ProcessId;
        for replica in 0..replicas {
            self.cut_both_ways(client, replica);
        }
    }

    fn cut_both_ways(&mut self, one: ProcessId, other: ProcessId) {
        self.cut_links.insert(Link { from: one, to: other });
        self.cut_links.insert(Link { from: other, to: one });
    }

    /// Cuts all links to a process, or all from it.
    fn cut_one_way(&mut self, id: ProcessId) {
        let cuts_outgoing = self.draw_below(2) == 0;
        for other in 0..self.processes.len() {
            let outgoing = Link { from: id, to: other };
            let incoming = Link { from: other, to: id };
            self.cut_links.insert(if cuts_outgoing { outgoing } else { incoming });
        }
    }

    fn partition_replicas(&mut self) {
        let replicas = self.config.replicas;
        let border = 1 + self.draw_below(replicas as u64 - 1) as ProcessId;
        for one in 0..border {
            for other in border..replicas {
                self.cut_both_ways(one, other);
            }
        }
    }
}
