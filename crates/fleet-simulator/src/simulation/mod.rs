//! Runs a scenario: the state of the site, and the events in order.

mod client;
mod clients;
mod deduplication;
mod event;
mod fleet;
mod servers;
mod sidecars;
mod traffic;

use crate::discovery::DiscoveryService;
use crate::numbers::steps;
use crate::report::{Report, Slice, SLICE_DURATION};
use crate::scenario::Scenario;
use crate::server::Server;
use crate::sidecar::Sidecar;
use crate::uniform;
use client::Client;
use deduplication::Deduplication;
use event::{Event, EventQueue};
use mintshelf_balancer::api::{EndpointState, ListKind};
use mintshelf_time::{Nanos, SECOND};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use traffic::Traffic;

/// Time at which the run begins: all sidecars start with the initial list, in nanoseconds.
const BEGIN: Nanos = SECOND;

/// The process of a sidecar over its restarts.
#[derive(Clone, Copy, Default)]
struct Process {
    /// Number of times that the process was killed.
    incarnation: u64,
    /// Time at which the killed process restarts; 0 if it was never killed.
    down_until: Nanos,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Nanos,
    events: EventQueue,
    rng: Pcg64Mcg,
    sidecars: Vec<Sidecar>,
    processes: Vec<Process>,
    servers: Vec<Server>,
    clients: Vec<Client>,
    traffic: Traffic,
    discovery: Option<DiscoveryService>,
    deduplication: Deduplication,
    report: Report,
}

/// Runs a scenario to its end.
#[must_use]
pub fn simulate(scenario: &Scenario) -> Report {
    let mut simulation = Simulation::new(scenario);
    simulation.start_sidecars();
    simulation.schedule_faults();
    simulation.schedule_restarts();
    simulation.schedule_releases();
    simulation.events.schedule(BEGIN, Event::ClientArrives);
    while let Some(scheduled) = simulation.events.next() {
        if scheduled.at >= BEGIN + scenario.duration {
            break;
        }
        simulation.now = scheduled.at;
        simulation.handle(scheduled.event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let slices = steps(scenario.duration, SLICE_DURATION);
        let known = fleet::initial_servers(scenario);
        let server = |number| Server::new(scenario, scenario.fleet.zone(number));
        let discovery = scenario.fleet.discovery;
        Simulation {
            scenario,
            now: BEGIN,
            events: EventQueue::default(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            sidecars: Vec::new(),
            processes: vec![Process::default(); scenario.sidecars],
            servers: (0..scenario.servers).map(server).collect(),
            clients: Vec::new(),
            traffic: Traffic::new(scenario),
            discovery: discovery
                .map(|config| DiscoveryService::new(config, scenario.sidecars, &known)),
            deduplication: Deduplication::default(),
            report: Report { slices: vec![Slice::default(); slices], ..Report::default() },
        }
    }

    fn start_sidecars(&mut self) {
        let known = fleet::initial_servers(self.scenario);
        for number in 0..self.scenario.sidecars {
            self.sidecars.push(Sidecar::new(self.scenario, number, 0, BEGIN, &known));
            self.perform_actions(number);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrives => self.on_client_arrives(),
            Event::ClientSends(client) => self.send_request(client),
            Event::ClientTimesOut { client, requests } => self.on_client_timeout(client, requests),
            Event::JobArrives { server, job } => self.on_job_arrives(server, job),
            Event::JobEnds { server, number } => self.on_job_ends(server, number),
            Event::AttemptEnds { sidecar, id, attempt, outcome } => {
                self.on_attempt_ends(sidecar, &id, attempt, outcome);
            }
            Event::TimerFires { sidecar, incarnation, token } => {
                if self.processes[sidecar].incarnation == incarnation {
                    self.sidecars[sidecar].handle_timer(self.now, token);
                    self.perform_actions(sidecar);
                }
            }
            Event::FaultBegins(number) => self.on_fault_begins(number),
            Event::FaultEnds(number) => self.on_fault_ends(number),
            Event::ServerRestarts { server } => self.on_overloaded_server_restarts(server),
            Event::SidecarKilled { sidecar, restart_at } => self.on_killed(sidecar, restart_at),
            Event::SidecarRestarts(sidecar) => self.on_sidecar_restarts(sidecar),
            Event::DiscoveryCallEnds { sidecar, incarnation, is_answered } => {
                self.on_discovery_call_ends(sidecar, incarnation, is_answered);
            }
            Event::SidecarNotified { sidecar, incarnation, entry } => {
                if self.processes[sidecar].incarnation == incarnation {
                    self.update_servers(sidecar, ListKind::Changes, &[entry]);
                }
            }
            Event::DiscoveryLearns(entry) => self.on_discovery_learns(&entry),
            Event::ServerDrains(server) => {
                self.servers[server].is_draining = true;
                self.announce(server, EndpointState::Draining, 0);
            }
            Event::ServerEnds(server) => self.on_server_ends(server),
            Event::SuccessorStarts { replaced } => self.on_successor_starts(replaced),
        }
    }

    /// A uniform number in [0, 1).
    fn draw(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    fn slice_at(&mut self, at: Nanos) -> &mut Slice {
        let slice = steps(at.saturating_sub(BEGIN), SLICE_DURATION);
        let last = self.report.slices.len() - 1;
        &mut self.report.slices[slice.min(last)]
    }

    /// The slice of the current time.
    fn slice(&mut self) -> &mut Slice {
        self.slice_at(self.now)
    }

    /// Mixes a value into the digest of the run.
    fn update_digest(&mut self, value: u64) {
        let mixed = (self.report.digest ^ value ^ self.now).wrapping_mul(0x0100_0000_01b3);
        self.report.digest = mixed.rotate_left(23);
    }

    fn finish(mut self) -> Report {
        let excess_attempts = self.sidecars.iter().map(|sidecar| sidecar.excess_attempts);
        self.report.excess_attempts += excess_attempts.sum::<u64>();
        self.report
    }
}
