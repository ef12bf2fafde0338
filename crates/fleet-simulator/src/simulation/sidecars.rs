//! The actions of sidecars: sends, replies, timers and calls to discovery.

use super::{Event, Simulation, BEGIN};
use crate::numbers::steps;
use crate::scenario::{mean_work, CLASSES};
use crate::server::{Job, ONE_WAY_LATENCY};
use crate::sidecar::{RequestOwner, SidecarAction, CONNECT_TIMEOUT};
use mintshelf_balancer::api::{AttemptNumber, Outcome, RequestId, ServerId};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Time after the notification of a drain in which sends are allowed, with slack.
const DRAIN_GRACE: Nanos = 250 * MILLISECOND + 50 * MILLISECOND;
/// Trips over the network until a request on a new connection arrives, the handshake included.
const NEW_CONNECTION_TRIPS: u64 = 3;

/// An attempt that a sidecar sends.
struct Send {
    id: RequestId,
    /// The attempt's number, from 0.
    attempt: AttemptNumber,
    server: ServerId,
    timeout_at: Nanos,
}

impl Simulation<'_> {
    /// Carries out the actions that a sidecar has accumulated.
    pub(super) fn perform_actions(&mut self, sidecar: usize) {
        for action in self.sidecars[sidecar].take_actions() {
            match action {
                SidecarAction::Send { id, attempt, server, timeout_at } => {
                    self.send(sidecar, Send { id, attempt, server, timeout_at });
                }
                SidecarAction::Cancel { id, attempt } => {
                    let outcome = Outcome::Cancelled;
                    let event = Event::AttemptEnds { sidecar, id, attempt, outcome };
                    self.events.schedule(self.now, event);
                }
                SidecarAction::Reply { client, reply } => self.on_reply(client, reply),
                SidecarAction::SetTimer { at, token } => {
                    let incarnation = self.processes[sidecar].incarnation;
                    let event = Event::TimerFires { sidecar, incarnation, token };
                    self.events.schedule(at, event);
                }
                SidecarAction::CloseIdle { server } => {
                    self.sidecars[sidecar].close_idle(server as usize);
                }
                SidecarAction::Watch => self.call_discovery(sidecar),
            }
        }
    }

    /// A sidecar learns how an attempt ended, unless it is down.
    pub(super) fn on_attempt_ends(
        &mut self,
        sidecar: usize,
        id: &RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
    ) {
        if self.now < self.processes[sidecar].down_until {
            return;
        }
        self.update_digest(u64::from(attempt.get()) << 8 | outcome as u64);
        self.sidecars[sidecar].handle_attempt_end(self.now, id, attempt, outcome);
        self.perform_actions(sidecar);
    }

    fn call_discovery(&mut self, sidecar: usize) {
        self.slice().discovery_calls += 1;
        let Some(discovery) = &mut self.discovery else { return };
        let result = discovery.call(self.now);
        let incarnation = self.processes[sidecar].incarnation;
        let is_answered = result.is_answered;
        let event = Event::DiscoveryCallEnds { sidecar, incarnation, is_answered };
        self.events.schedule(result.ends_at, event);
    }

    fn send(&mut self, sidecar: usize, send: Send) {
        let Send { id, attempt, server: server_id, timeout_at } = send;
        let server = server_id as usize;
        let Some(RequestOwner { client, class }) = self.sidecars[sidecar].owner(&id) else {
            return;
        };
        let work = self.traffic.draw_work(&mut self.rng, class);
        let is_new_connection = !self.sidecars[sidecar].take_idle(self.now, server);
        self.check_drain(sidecar, server_id);
        self.count_send(sidecar, server, class, is_new_connection);
        let ends = |outcome| Event::AttemptEnds { sidecar, id: id.clone(), attempt, outcome };
        if is_new_connection && self.servers[server].is_partitioned() {
            let fails_at = (self.now + CONNECT_TIMEOUT).min(timeout_at);
            self.events.schedule(fails_at, ends(Outcome::ConnectFailed));
            return;
        }
        self.events.schedule(timeout_at, ends(Outcome::TimedOut));
        let job = Job { sidecar, id, attempt, client, class, work };
        let trips = if is_new_connection { NEW_CONNECTION_TRIPS } else { 1 };
        let arrives_at = self.now + trips * ONE_WAY_LATENCY;
        self.events.schedule(arrives_at, Event::JobArrives { server, job });
    }

    fn check_drain(&mut self, sidecar: usize, server: ServerId) {
        let notified_at = self.sidecars[sidecar].drain_notified_at(server);
        let is_late = notified_at.is_some_and(|at| self.now > at + DRAIN_GRACE);
        if is_late {
            self.report.sends_after_drain += 1;
        }
    }

    fn count_send(&mut self, sidecar: usize, server: usize, class: usize, is_new: bool) {
        if is_new {
            self.count_connect(server);
        }
        let crosses_zones = self.servers[server].zone != self.scenario.fleet.zone(sidecar);
        let slice = self.slice();
        slice.attempts += 1;
        slice.work += CLASSES[class].work / mean_work();
        if crosses_zones {
            slice.cross_zone += 1;
        }
        if is_new {
            slice.connects += 1;
        }
    }

    fn count_connect(&mut self, server: usize) {
        let second = steps(self.now - BEGIN, SECOND);
        let connects = &mut self.report.connects_by_server;
        connects.resize(connects.len().max(server + 1), Vec::new());
        let by_second = &mut connects[server];
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
    }
}
