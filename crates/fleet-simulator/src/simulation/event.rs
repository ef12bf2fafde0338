//! Events of the simulation, and the queue that orders them in time.

use crate::server::Job;
use mintshelf_balancer::api::{AttemptNumber, ListedServer, Outcome, RequestId};
use mintshelf_time::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that happens at one time.
pub(super) enum Event {
    /// A client sends its first request.
    ClientArrives,
    /// A client sends a request, its first or a retry.
    ClientSends(usize),
    /// A client gives up on its request with this number.
    ClientTimesOut { client: usize, requests: u32 },
    /// An attempt reaches a server.
    JobArrives { server: usize, job: Job },
    /// A server has completed a job.
    JobEnds { server: usize, number: u64 },
    /// A sidecar learns how an attempt ended.
    AttemptEnds { sidecar: usize, id: RequestId, attempt: AttemptNumber, outcome: Outcome },
    /// A timer of a sidecar fires.
    TimerFires { sidecar: usize, incarnation: u64, token: u64 },
    /// A fault begins, by its index in the scenario.
    FaultBegins(usize),
    /// A fault ends, by its index in the scenario.
    FaultEnds(usize),
    /// An overloaded server restarts.
    ServerRestarts { server: usize },
    /// A sidecar is killed, and restarts later.
    SidecarKilled { sidecar: usize, restart_at: Nanos },
    /// The process of a killed sidecar restarts.
    SidecarRestarts(usize),
    /// A call to discovery ends.
    DiscoveryCallEnds { sidecar: usize, incarnation: u64, is_answered: bool },
    /// A sidecar is notified of a change.
    SidecarNotified { sidecar: usize, incarnation: u64, entry: ListedServer },
    /// A change enters the endpoint list of discovery.
    DiscoveryLearns(ListedServer),
    /// A server drains for a release.
    ServerDrains(usize),
    /// A server's process ends for a release.
    ServerEnds(usize),
    /// The successor of a server starts for a release.
    SuccessorStarts { replaced: usize },
}

/// An event with its time and number.
pub(super) struct ScheduledEvent {
    pub(super) at: Nanos,
    /// Orders events of the same time.
    number: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events in the order of their times; those of the same time in the order of scheduling.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_number: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_number += 1;
        let number = self.last_number;
        self.events.push(Reverse(ScheduledEvent { at, number, event }));
    }

    pub(super) fn next(&mut self) -> Option<ScheduledEvent> {
        self.events.pop().map(|Reverse(event)| event)
    }
}
