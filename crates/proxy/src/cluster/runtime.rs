//! The decision module's surroundings: events go in here and actions come out,
//! in order. Everything runs on one thread, so a turn is never interrupted.

use super::attempt_observer::AttemptObserver;
use super::endpoint_source::EndpointSource;
use super::health_check::{HealthCheckResult, HealthChecker};
use super::peers::PeerGossip;
use super::pending_requests::AttemptEnd;
use super::recovery::{RecoveryStatus, RecoveryTracker};
use super::request::RequestOutcome;
use super::retry_trackers::RetryTrackers;
use super::socket_load::SocketLoad;
use super::spec::{ClusterSpec, DiscoverySpec};
use super::state::RuntimeState;
use super::trace::{self, ListChanges};
use crate::clock::Clock;
use crate::endpoints::{Endpoint, EndpointListObserver};
use crate::upstream::pool::{ConnectionPool, Upstream, UpstreamSettings};
use mintshelf_balancer::api::{
    Action, AttemptNumber, Class, ClassId, EndpointState, Event, ListKind, ListedServer, Outcome,
    ReportMode, RequestId, ServerId, Settings,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_config::balancer::ClusterServer;
use mintshelf_retry::attempts::AttemptCounts;
use mintshelf_time::Nanos;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How often idle connections that are dead are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Feeds the decision module of one cluster and carries out what it decides.
///
/// ```no_run
/// use mintshelf_proxy::budget::ResourceBudget;
/// use mintshelf_proxy::cluster::runtime::ClusterRuntime;
/// use mintshelf_proxy::cluster::spec::ClusterSpec;
/// use mintshelf_proxy::upstream::pool::ConnectionPool;
///
/// /// Runs a cluster; in a `tokio::task::LocalSet`.
/// async fn run_cluster(spec: ClusterSpec, budget: &ResourceBudget) {
///     let runtime = ClusterRuntime::start(spec, ConnectionPool::new(budget));
///     runtime.run().await;
/// }
/// ```
pub struct ClusterRuntime {
    pub(super) state: RefCell<RuntimeState>,
    pub(super) clock: Clock,
    pub(super) classes: Vec<Class>,
    pub(super) max_attempts: usize,
    pub(super) source: EndpointSource,
    pub(super) upstream: Rc<Upstream>,
    pub(super) retries: RetryTrackers,
    pub(super) socket_load: Rc<SocketLoad>,
    /// Fields of the load reports in responses, where there are any.
    pub(super) report_fields: Option<Vec<String>>,
    health_checker: HealthChecker,
    peers: Option<PeerGossip>,
    /// Absent on the platform.
    pub(super) recovery: Option<RecoveryTracker>,
    observer: AttemptObserver,
}

/// What is open in a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuntimeUsage {
    /// Open requests.
    pub requests: usize,
    /// Timers that the decision module has set.
    pub timers: usize,
}

impl ClusterRuntime {
    /// Starts an instance of the decision module.
    pub fn start(spec: ClusterSpec, pool: Rc<ConnectionPool>) -> Rc<Self> {
        let clock = Clock::start();
        let settings = spec.settings;
        let connect_timeout = Duration::from_nanos(settings.connect_timeout);
        let idle_timeout = Duration::from_nanos(settings.idle_timeout);
        let report_fields = spec.names.report_fields.clone();
        let discovery_address = spec.discovery.as_ref().map(|discovery| discovery.address);
        let recovery_tracker =
            |ramp| RecoveryTracker::new(spec.seed, ramp, settings.max_retry_after);
        let recovery = spec.recovery_ramp.map(recovery_tracker);
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings.clone(), spec.seed, clock.now(), &mut actions);
        let source = EndpointSource::new(spec.names, discovery_address);
        let upstream = Upstream::new(
            pool,
            source.endpoints.clone(),
            UpstreamSettings {
                connect_timeout,
                idle_timeout,
                protocol: spec.protocol,
                limits: spec.connection_limits,
            },
        );
        let runtime = Rc::new(ClusterRuntime {
            state: RefCell::new(RuntimeState::new(balancer)),
            clock,
            max_attempts: settings.max_attempts as usize,
            source,
            upstream,
            retries: RetryTrackers::new(spec.retry_policies, clock.now()),
            socket_load: SocketLoad::new(spec.socket_weight),
            health_checker: health_checker(&settings, &report_fields),
            report_fields: (settings.report_mode == ReportMode::Answers).then_some(report_fields),
            peers: spec.peers.filter(|_| settings.has_peers),
            recovery,
            observer: AttemptObserver::new(spec.name, clock),
            classes: settings.classes,
        });
        runtime.perform(&mut runtime.state.borrow_mut(), actions);
        runtime.start_discovery(spec.discovery, settings.must_poll);
        runtime
    }

    fn start_discovery(self: &Rc<Self>, discovery: Option<DiscoverySpec>, must_poll: bool) {
        let cached_list = discovery.and_then(|discovery| discovery.cached_list);
        self.source.start(cached_list.as_deref(), self, must_poll);
    }

    /// Sets the complete list of servers, from elsewhere than discovery.
    pub fn set_endpoints(self: &Rc<Self>, servers: Vec<ClusterServer>) {
        let endpoints = &self.source.endpoints;
        endpoints.clear();
        for ClusterServer { listed, address } in &servers {
            let takes_requests = listed.state == EndpointState::Live;
            endpoints.insert(listed.id, Endpoint { address: *address, takes_requests });
        }
        let servers = servers.into_iter().map(|server| server.listed).collect();
        self.listed(ListKind::Full, 0, servers);
    }

    /// Uses another address of discovery. Calls in progress go on until
    /// the module starts new ones, so that no event is missed in between.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.source.set_address(address) {
            self.post(Event::DiscoveryAddressChanged);
        }
    }

    /// A number that no other runtime of this process has.
    pub fn number(&self) -> u32 {
        self.upstream.cluster_number()
    }

    /// Calls this with each server at which an attempt has broken off.
    pub fn on_suspicion(&self, callback: impl Fn(ServerId) + 'static) {
        self.observer.on_suspicion(Box::new(callback));
    }

    /// Where a server listens, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.source.endpoints.address(server)
    }

    /// The clock that the decisions go by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().requests.is_empty()
    }

    /// What is open.
    pub fn usage(&self) -> RuntimeUsage {
        let state = self.state.borrow();
        RuntimeUsage { requests: state.requests.len(), timers: state.timers.len() }
    }

    /// The cluster's outage, where that is followed.
    pub fn recovery_status(&self) -> Option<RecoveryStatus> {
        self.recovery.as_ref().map(RecoveryTracker::status)
    }

    /// The median latency of a class in nanoseconds; 0 while it is unknown.
    pub fn median_latency(&self, class: ClassId) -> Nanos {
        self.retries.median_latency(class, self.clock.now())
    }

    /// Attempts that were ended for their own timeout, and hedges, so far.
    pub fn attempt_counts(&self) -> AttemptCounts {
        self.retries.counts()
    }

    /// When a client whose request has not been sent may retry, in nanoseconds.
    pub fn retry_after(&self, class: ClassId) -> Nanos {
        let class = self.classes.get(class.index());
        let recovery = self.recovery.as_ref();
        let retry_after =
            recovery.and_then(|recovery| recovery.retry_after(self.clock.now(), class, None));
        retry_after.unwrap_or(0)
    }

    /// Gives all open requests their final outcome, as there is no time left to wait for servers.
    /// Rejected clients may retry `retry_after` nanoseconds later.
    pub fn conclude_all(self: &Rc<Self>, retry_after: Nanos) {
        let mut state = self.state.borrow_mut();
        state.conclude_all(&self.classes, retry_after);
        self.turn(&mut state);
    }

    /// Runs what goes by the clock: timers, dead connections, and peers' messages; never ends.
    pub async fn run(self: &Rc<Self>) {
        tokio::join!(self.run_timers(), self.close_dead_connections(), self.receive_gossip());
    }

    async fn run_timers(self: &Rc<Self>) {
        loop {
            let token = poll_fn(|cx| self.state.borrow_mut().timers.poll_expired(cx)).await;
            self.post(Event::Timer { token });
        }
    }

    async fn close_dead_connections(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.upstream.close_dead();
        }
    }

    async fn receive_gossip(self: &Rc<Self>) {
        if let Some(peers) = &self.peers {
            peers.listen(|from, payload| self.post(Event::Gossip { from, payload })).await;
        }
    }

    /// Handles one event, and carries out all that follows from it.
    pub fn post(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.turn(&mut state);
    }

    /// Handles all events that are queued.
    pub(super) fn turn(self: &Rc<Self>, state: &mut RuntimeState) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = Vec::new();
            state.balancer.handle(self.clock.now(), event, &mut actions);
            self.perform(state, actions);
        }
    }

    fn perform(self: &Rc<Self>, state: &mut RuntimeState, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => {
                    self.start_attempt(state, &id, server, timeout_at);
                }
                Action::Cancel { id, attempt } => cancel_attempt(state, &id, attempt),
                Action::Reject { id, retry_after, reason } => {
                    trace::request_ended(&id, &state.requests, reason);
                    state.reject(&id, retry_after);
                }
                Action::Fail { id, reason } => {
                    trace::request_ended(&id, &state.requests, reason);
                    let outcome = RequestOutcome::Failed { timed_out: false };
                    drop(state.requests.conclude(&id, outcome));
                }
                Action::SetTimer { after, token } => state.timers.set(token, after),
                Action::DropTimer { token } => state.timers.cancel(token),
                Action::Probe { server } => self.check_health(state, server),
                Action::CloseIdle { server } => self.upstream.close_idle(server),
                Action::SendGossip { peer, payload } => {
                    if let Some(peers) = &self.peers {
                        peers.send(peer, &payload);
                    }
                }
                Action::StartWatch => self.source.set_watch(true, self.clone()),
                Action::StopWatch => self.source.set_watch(false, self.clone()),
                Action::FetchServers => self.source.fetch(self.clone()),
                // A log that nobody reads must not stop the sidecar.
                Action::Log { text } => drop(writeln!(std::io::stderr(), "{text}")),
            }
        }
    }

    fn check_health(self: &Rc<Self>, state: &mut RuntimeState, server: ServerId) {
        let Some(target) = self.source.target(server) else {
            let outcome = Outcome::ConnectFailed;
            state.events.push_back(Event::Probed { server, outcome, elapsed: 0, report: None });
            return;
        };
        let runtime = self.clone();
        spawn_local(async move {
            let sent_at = runtime.clock.now();
            let result = runtime.health_checker.check(&runtime.upstream, target).await;
            let took = runtime.clock.now().saturating_sub(sent_at);
            let HealthCheckResult { outcome, load_report: report } = result;
            runtime.post(Event::Probed { server, outcome, elapsed: took, report });
        });
    }

    /// Records an attempt's end, and handles what follows from it.
    pub(super) fn attempt_ended(self: &Rc<Self>, id: &RequestId, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let number = end.number;
        let outcome = end.outcome;
        if let Some(ended) = state.requests.end_attempt(id, end, now) {
            if outcome.answered() {
                self.retries.responded(ended.class, now, ended.took);
            }
            self.observer.attempt_ended(id, number, outcome, &ended, &self.source.endpoints);
            if let Some(recovery) = &self.recovery {
                recovery.attempt_ended(now, outcome, ended.is_in_time);
            }
            state.events.push_back(ended.event);
        }
        self.turn(&mut state);
    }
}

fn health_checker(settings: &Settings, report_fields: &[String]) -> HealthChecker {
    HealthChecker {
        report_fields: match settings.report_mode {
            ReportMode::Absent => Vec::new(),
            _ => report_fields.to_vec(),
        },
        timeout: Duration::from_nanos(settings.connect_timeout),
    }
}

fn cancel_attempt(state: &RuntimeState, id: &RequestId, number: AttemptNumber) {
    let request = state.requests.get(id);
    if let Some(attempt) = request.and_then(|request| request.attempts.get(number.index())) {
        attempt.control.cancel();
    }
}

impl EndpointListObserver for Rc<ClusterRuntime> {
    fn listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>) {
        let changes = ListChanges::count(&servers);
        let started_at = Instant::now();
        self.post(Event::Servers { kind, version, entries: servers.into() });
        trace::list_applied(kind, version, changes, started_at.elapsed());
        trace::in_service(&self.state.borrow().balancer);
    }
}
