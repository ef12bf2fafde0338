//! A server: concurrency, a queue, warm-up, and overload while it warms up.

use crate::fleet::Thrashing;
use crate::numbers::truncate;
use crate::scenario::{mean_work, FaultKind, Scenario};
use mintshelf_balancer::api::{AttemptNumber, RequestId};
use mintshelf_balancer::decay::DecayingCounter;
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND, SECOND};
use std::collections::{HashMap, VecDeque};

/// First requests a second of a server for each six of its concurrency.
const REQUESTS_PER_CONCURRENCY: f64 = 40.0;
/// Queue of a server in multiples of its concurrency, unless the scenario states another.
const QUEUE_MULTIPLE: usize = 4;
/// Multiple of its present capacity that overloads a warming server.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time for which that multiple must be exceeded, in nanoseconds.
const OVERLOAD_DURATION: Nanos = SECOND;
/// Mean age of the work in the load of a server.
const LOAD_MEAN_AGE: Nanos = SECOND / 2;
/// Half-life of the load of a server: the mean age times ln 2.
const LOAD_HALF_LIFE: Nanos = 346_573_590;
/// Latency of the network between any two hosts, one way.
pub(crate) const ONE_WAY_LATENCY: Nanos = MILLISECOND / 4;

/// One attempt as it reaches a server.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The sidecar that sent it.
    pub(crate) sidecar: usize,
    pub(crate) id: RequestId,
    /// The attempt's number, from 0.
    pub(crate) attempt: AttemptNumber,
    pub(crate) client: usize,
    pub(crate) class: usize,
    /// Time that it takes on a warm server.
    pub(crate) work: Nanos,
}

/// A job that has started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedJob {
    pub(crate) number: u64,
    pub(crate) ends_at: Nanos,
}

/// A job that has ended, and the one that starts next.
pub(crate) struct FinishedJob {
    pub(crate) job: Job,
    pub(crate) next: Option<StartedJob>,
}

/// The result of the arrival of a job.
pub(crate) enum Arrival {
    Started(StartedJob),
    Queued,
    /// The queue is full, or the server drains.
    Rejected,
    /// The server has no running process.
    ConnectionRefused,
    /// The server never responds to the job.
    NoResponse,
}

/// A fault that a server has.
struct ActiveFault {
    number: usize,
    kind: FaultKind,
}

/// A simulated server: it runs up to `concurrency` jobs at once and queues up to `max_queue` more.
pub(crate) struct Server {
    concurrency: usize,
    max_queue: usize,
    running: HashMap<u64, Job>,
    queue: VecDeque<Job>,
    last_number: u64,
    faults: Vec<ActiveFault>,
    started_at: Option<Nanos>,
    warm_up: Nanos,
    initial_capacity: f64,
    /// Work sent to the server recently.
    load: DecayingCounter,
    /// Time since which the load has exceeded [`OVERLOAD_MULTIPLE`]; `None` if it is lower.
    overloaded_since: Option<Nanos>,
    thrashing: Option<Thrashing>,
    /// Whether the server rejects all new jobs.
    pub(crate) is_draining: bool,
    pub(crate) zone: u32,
}

/// The size of the servers of a scenario.
pub(crate) struct ServerSize {
    /// Jobs that a server runs at once.
    pub(crate) concurrency: usize,
    /// Time that a unit of work takes on a warm server, in nanoseconds.
    pub(crate) unit_ns: f64,
}

impl ServerSize {
    /// The size with which all servers together have the scenario's capacity.
    pub(crate) fn of(scenario: &Scenario) -> Self {
        let rate = scenario.requests_per_second;
        let servers = scenario.servers as f64;
        let concurrency = (rate / REQUESTS_PER_CONCURRENCY / servers * 6.0).ceil().max(2.0);
        let unit_seconds = concurrency * servers / (mean_work() * scenario.capacity * rate);
        let unit_ns = unit_seconds * as_float(SECOND);
        ServerSize { concurrency: truncate(concurrency), unit_ns }
    }
}

impl Server {
    /// A server that is warm.
    pub(crate) fn new(scenario: &Scenario, zone: u32) -> Self {
        let concurrency = ServerSize::of(scenario).concurrency;
        let queue_multiple = scenario.fleet.queue_multiple.unwrap_or(QUEUE_MULTIPLE);
        Server {
            concurrency,
            max_queue: concurrency * queue_multiple,
            running: HashMap::new(),
            queue: VecDeque::new(),
            last_number: 0,
            faults: Vec::new(),
            started_at: None,
            warm_up: scenario.warm_up,
            initial_capacity: scenario.initial_capacity,
            load: DecayingCounter::default(),
            overloaded_since: None,
            thrashing: scenario.fleet.thrashing,
            is_draining: false,
            zone,
        }
    }

    pub(crate) fn add_fault(&mut self, number: usize, kind: FaultKind) {
        self.faults.push(ActiveFault { number, kind });
    }

    pub(crate) fn remove_fault(&mut self, number: usize) {
        self.faults.retain(|fault| fault.number != number);
    }

    fn has_fault(&self, kind: FaultKind) -> bool {
        self.faults.iter().any(|fault| fault.kind == kind)
    }

    /// Whether its process has ended.
    pub(crate) fn is_crashed(&self) -> bool {
        self.has_fault(FaultKind::Crash)
    }

    /// Whether the network drops everything to and from it.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.has_fault(FaultKind::Partition)
    }

    /// Whether requests of a class are never answered.
    pub(crate) fn hangs(&self, class: usize) -> bool {
        self.has_fault(FaultKind::Hang(class))
    }

    /// Whether it has been overloaded while it warmed up.
    pub(crate) fn is_overloaded(&self, now: Nanos) -> bool {
        self.overloaded_since.is_some_and(|since| now - since > OVERLOAD_DURATION)
    }

    /// Starts the process, which warms up.
    pub(crate) fn start(&mut self, now: Nanos) {
        self.started_at = Some(now);
        self.load = DecayingCounter::default();
        self.overloaded_since = None;
    }

    /// Accepts, queues or rejects an attempt, as faults and load require.
    pub(crate) fn accept(&mut self, now: Nanos, job: Job) -> Arrival {
        if self.is_crashed() {
            return Arrival::ConnectionRefused;
        }
        if self.is_partitioned() {
            return Arrival::NoResponse;
        }
        if self.is_draining {
            return Arrival::Rejected;
        }
        self.record_load(now, job.work);
        if self.running.len() < self.concurrency {
            Arrival::Started(self.begin(now, job))
        } else if self.queue.len() < self.max_queue {
            self.queue.push_back(job);
            Arrival::Queued
        } else {
            Arrival::Rejected
        }
    }

    /// Ends a job and starts the next one; `None` for a number from before a crash.
    pub(crate) fn finish(&mut self, now: Nanos, number: u64) -> Option<FinishedJob> {
        let job = self.running.remove(&number)?;
        let next = self.queue.pop_front().map(|next| self.begin(now, next));
        Some(FinishedJob { job, next })
    }

    /// A job that is running.
    pub(crate) fn running(&self, number: u64) -> Option<&Job> {
        self.running.get(&number)
    }

    /// Drops all jobs and returns them: those that ran, in the order of their starts, then
    /// those that were queued.
    pub(crate) fn drop_jobs(&mut self) -> Vec<Job> {
        let mut running: Vec<(u64, Job)> = self.running.drain().collect();
        running.sort_by_key(|(number, _)| *number);
        running.into_iter().map(|(_, job)| job).chain(self.queue.drain(..)).collect()
    }

    /// Fraction of its full capacity that it has now.
    fn warmth(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at.filter(|_| self.warm_up > 0) else { return 1.0 };
        let progress = as_float(now.saturating_sub(started_at)) / as_float(self.warm_up);
        (self.initial_capacity + (1.0 - self.initial_capacity) * progress).min(1.0)
    }

    fn record_load(&mut self, now: Nanos, work: Nanos) {
        self.load.add(now, LOAD_HALF_LIFE, as_float(work));
        let capacity = self.concurrency as f64 * self.warmth(now);
        let is_excessive = self.warmth(now) < 1.0
            && self.load.sum / as_float(LOAD_MEAN_AGE) > OVERLOAD_MULTIPLE * capacity;
        self.overloaded_since = is_excessive.then(|| self.overloaded_since.unwrap_or(now));
    }

    fn begin(&mut self, now: Nanos, job: Job) -> StartedJob {
        self.last_number += 1;
        let slowdowns = self.faults.iter().map(|fault| match fault.kind {
            FaultKind::Slow(factor) => factor,
            FaultKind::Crash | FaultKind::Partition | FaultKind::Hang(_) => 1.0,
        });
        let slowdown: f64 = slowdowns.product();
        let duration = as_float(job.work) * slowdown * self.thrashing_factor() / self.warmth(now);
        self.running.insert(self.last_number, job);
        StartedJob { number: self.last_number, ends_at: now + from_float(duration) }
    }

    fn thrashing_factor(&self) -> f64 {
        let jobs = self.running.len() + self.queue.len();
        let multiple = jobs as f64 / self.concurrency as f64;
        self.thrashing.map_or(1.0, |thrashing| {
            1.0 + thrashing.slowdown * (multiple - thrashing.from_multiple).max(0.0)
        })
    }
}
