//! Changes of the fleet: endpoint updates on their way, releases, restarts of sidecars.

use super::clients::{DEFAULT_RETRY_DELAY, MAX_RETRIES};
use super::servers::RELEASE_FAULT;
use super::{Event, Simulation, BEGIN};
use crate::fleet::Release;
use crate::scenario::{FaultKind, Scenario, CLASSES};
use crate::server::Server;
use crate::sidecar::Sidecar;
use mintshelf_balancer::api::{Effect, EndpointState, ListKind, ListedServer, ServerId};
use mintshelf_time::{as_float, from_float, Nanos};

/// The id of a server with this index.
fn server_id(index: usize) -> ServerId {
    ServerId::try_from(index).unwrap_or(ServerId::MAX)
}

fn entry(id: usize, zone: u32, state: EndpointState, started_at: Nanos) -> ListedServer {
    let id = server_id(id);
    ListedServer { id, zone, state, size: 1.0, started_at, ..ListedServer::default() }
}

/// The servers that exist from the start.
pub(super) fn initial_servers(scenario: &Scenario) -> Vec<ListedServer> {
    let listed = |id| entry(id, scenario.fleet.zone(id), EndpointState::Live, 0);
    (0..scenario.servers).map(listed).collect()
}

impl Simulation<'_> {
    pub(super) fn schedule_faults(&mut self) {
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.events.schedule(BEGIN + fault.from, Event::FaultBegins(number));
            self.events.schedule(BEGIN + fault.until, Event::FaultEnds(number));
        }
    }

    pub(super) fn schedule_restarts(&mut self) {
        for restart in &self.scenario.fleet.restarts {
            for sidecar in restart.sidecars.clone() {
                let at = BEGIN + restart.at;
                let restart_at = at + restart.downtime;
                self.events.schedule(at, Event::SidecarKilled { sidecar, restart_at });
                self.events.schedule(restart_at, Event::SidecarRestarts(sidecar));
            }
        }
    }

    pub(super) fn schedule_releases(&mut self) {
        for release in &self.scenario.fleet.releases {
            self.schedule_release(release);
        }
    }

    fn schedule_release(&mut self, release: &Release) {
        let steps = release.steps.max(1);
        let servers = release.servers.len();
        let duration = release.until.saturating_sub(release.from);
        for (position, server) in release.servers.clone().enumerate() {
            let step = position * steps / servers.max(1);
            let step_at = duration * step as u64 / (steps as u64 - 1).max(1);
            let begins_at = BEGIN + release.from + step_at;
            self.events.schedule(begins_at, Event::ServerDrains(server));
            self.events.schedule(begins_at + release.drain, Event::ServerEnds(server));
            let successor = Event::SuccessorStarts { replaced: server };
            self.events.schedule(begins_at + release.start_delay, successor);
        }
    }

    pub(super) fn on_server_ends(&mut self, server: usize) {
        self.servers[server].add_fault(RELEASE_FAULT, FaultKind::Crash);
        self.crash(server);
        self.announce(server, EndpointState::Removed, 0);
    }

    pub(super) fn on_successor_starts(&mut self, replaced: usize) {
        let zone = self.servers[replaced].zone;
        let mut successor = Server::new(self.scenario, zone);
        successor.start(self.now);
        self.servers.push(successor);
        self.announce(self.servers.len() - 1, EndpointState::Live, self.now);
    }

    /// Schedules the entry of a server's change in the endpoint list of discovery.
    pub(super) fn announce(&mut self, server: usize, state: EndpointState, started_at: Nanos) {
        let uniform = self.draw();
        let Some(discovery) = &self.discovery else { return };
        let delay = discovery.notice_delay(uniform);
        let entry = entry(server, self.servers[server].zone, state, started_at);
        self.events.schedule(self.now + delay, Event::DiscoveryLearns(entry));
    }

    pub(super) fn on_discovery_learns(&mut self, entry: &ListedServer) {
        let Some(discovery) = &mut self.discovery else { return };
        for notification in discovery.apply(entry.clone()) {
            let sidecar = notification.sidecar;
            let incarnation = self.processes[sidecar].incarnation;
            let event = Event::SidecarNotified { sidecar, incarnation, entry: entry.clone() };
            self.events.schedule(self.now + notification.delay, event);
        }
    }

    pub(super) fn on_discovery_call_ends(
        &mut self,
        sidecar: usize,
        incarnation: u64,
        is_answered: bool,
    ) {
        if self.processes[sidecar].incarnation != incarnation {
            return;
        }
        let Some(discovery) = &mut self.discovery else { return };
        discovery.set_watch(sidecar, is_answered);
        if is_answered {
            let endpoints = discovery.endpoint_list();
            self.update_servers(sidecar, ListKind::Full, &endpoints);
        } else {
            self.update_servers(sidecar, ListKind::Failed, &[]);
        }
    }

    pub(super) fn update_servers(
        &mut self,
        sidecar: usize,
        kind: ListKind,
        entries: &[ListedServer],
    ) {
        self.sidecars[sidecar].update_servers(self.now, kind, entries);
        self.perform_actions(sidecar);
    }

    /// A sidecar is killed: its requests are interrupted, and their clients retry once it is back.
    pub(super) fn on_killed(&mut self, sidecar: usize, restart_at: Nanos) {
        let process = &mut self.processes[sidecar];
        process.incarnation += 1;
        process.down_until = restart_at;
        for client in self.sidecars[sidecar].open_clients() {
            let state = &mut self.clients[client];
            state.is_waiting = false;
            state.request_id = None;
            self.report.interrupted += 1;
            let is_unsafe = CLASSES[state.class].effect == Effect::Unsafe;
            if !is_unsafe && state.requests <= MAX_RETRIES {
                let delay = from_float(self.draw() * as_float(DEFAULT_RETRY_DELAY));
                self.events.schedule(restart_at + delay, Event::ClientSends(client));
            }
        }
        if let Some(discovery) = &mut self.discovery {
            discovery.set_watch(sidecar, false);
        }
    }

    /// A sidecar restarts with the initial endpoint list, which may be stale.
    pub(super) fn on_sidecar_restarts(&mut self, sidecar: usize) {
        let known = initial_servers(self.scenario);
        let incarnation = self.processes[sidecar].incarnation;
        let restarted = Sidecar::new(self.scenario, sidecar, incarnation, self.now, &known);
        let killed = std::mem::replace(&mut self.sidecars[sidecar], restarted);
        self.report.excess_attempts += killed.excess_attempts;
        self.perform_actions(sidecar);
    }
}
