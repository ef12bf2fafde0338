//! Servers: jobs that arrive and end, effects that happen, and faults.

use super::{Event, Simulation};
use crate::scenario::{mean_work, FaultKind, CLASSES};
use crate::server::{Arrival, FinishedJob, Job, StartedJob, ONE_WAY_LATENCY};
use mintshelf_balancer::api::{Effect, EndpointState, Outcome};
use mintshelf_time::{Nanos, SECOND};

/// An overloaded server restarts after this time.
const OVERLOAD_DOWNTIME: Nanos = 3 * SECOND;
/// Number of the fault of an overloaded server; those of the scenario are indices.
const OVERLOAD_FAULT: usize = usize::MAX;
/// Number of the fault of a server that a release has ended.
pub(super) const RELEASE_FAULT: usize = usize::MAX - 1;

impl Simulation<'_> {
    pub(super) fn on_job_arrives(&mut self, server: usize, job: Job) {
        match self.servers[server].accept(self.now, job.clone()) {
            Arrival::Started(started) => self.on_job_started(server, started),
            Arrival::Queued | Arrival::NoResponse => {}
            Arrival::Rejected => self.respond(server, job, Outcome::Full),
            Arrival::ConnectionRefused => self.respond(server, job, Outcome::ConnectFailed),
        }
        if self.servers[server].is_overloaded(self.now) {
            self.report.overloaded_servers += 1;
            self.servers[server].add_fault(OVERLOAD_FAULT, FaultKind::Crash);
            self.crash(server);
            let restarts_at = self.now + OVERLOAD_DOWNTIME;
            self.events.schedule(restarts_at, Event::ServerRestarts { server });
        }
    }

    pub(super) fn on_job_ends(&mut self, server: usize, number: u64) {
        let finished = self.servers[server].finish(self.now, number);
        let Some(FinishedJob { job, next }) = finished else { return };
        if let Some(next) = next {
            self.on_job_started(server, next);
        }
        if !self.clients[job.client].is_waiting {
            self.slice().wasted_work += CLASSES[job.class].work / mean_work();
        }
        let state = &self.servers[server];
        if !state.hangs(job.class) && !state.is_partitioned() {
            self.respond(server, job, Outcome::Ok);
        }
    }

    pub(super) fn on_fault_begins(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        for server in fault.servers {
            self.servers[server].add_fault(number, fault.kind);
            if fault.kind == FaultKind::Crash {
                self.crash(server);
                self.announce(server, EndpointState::Removed, 0);
            }
        }
    }

    pub(super) fn on_fault_ends(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        for server in fault.servers {
            self.servers[server].remove_fault(number);
            if fault.kind == FaultKind::Crash && !self.servers[server].is_crashed() {
                self.servers[server].start(self.now);
                self.announce(server, EndpointState::Live, self.now);
            }
        }
    }

    pub(super) fn on_overloaded_server_restarts(&mut self, server: usize) {
        self.servers[server].remove_fault(OVERLOAD_FAULT);
        self.servers[server].start(self.now);
    }

    /// Resets all jobs and connections of a server.
    pub(super) fn crash(&mut self, server: usize) {
        for job in self.servers[server].drop_jobs() {
            self.respond(server, job, Outcome::Reset);
        }
        for sidecar in &mut self.sidecars {
            sidecar.close_idle(server);
        }
    }

    /// Sends the outcome of an attempt back to its sidecar.
    fn respond(&mut self, server: usize, job: Job, outcome: Outcome) {
        let Job { sidecar, id, attempt, .. } = job;
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.sidecars[sidecar].add_idle(self.now, server);
        }
        let event = Event::AttemptEnds { sidecar, id, attempt, outcome };
        self.events.schedule(self.now + ONE_WAY_LATENCY, event);
    }

    /// The effect of a job happens when it starts, unless it is a repeat that is discarded.
    fn on_job_started(&mut self, server: usize, started: StartedJob) {
        let StartedJob { number, ends_at } = started;
        self.events.schedule(ends_at, Event::JobEnds { server, number });
        let Some(job) = self.servers[server].running(number) else { return };
        let client = job.client;
        let effect = CLASSES[job.class].effect;
        if effect == Effect::Idempotent && self.deduplication.is_repeat(self.now, client) {
            return;
        }
        let runs = &mut self.clients[client].runs;
        *runs += 1;
        if *runs > 1 {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => self.report.repeated_unsafe += 1,
                Effect::Idempotent => self.report.repeated_idempotent += 1,
            }
        }
    }
}
