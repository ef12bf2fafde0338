//! The runtime of one cluster: passes events to the decision module and performs the module's
//! actions, in order. Everything runs on one thread, so a turn is never interrupted.

use super::attempt_context::AttemptContext;
use super::attempt_observer::AttemptObserver;
use super::attempt_record::AttemptEnd;
use super::attempt_start::{start_attempt, SendCommand};
use super::attempt_supervisor::AttemptSupervisor;
use super::endpoint_source::EndpointSource;
use super::health_check::{unlisted_server, HealthChecker};
use super::peers::PeerGossip;
use super::recovery::RecoveryTracker;
use super::request::RequestOutcome;
use super::spec::{ClusterSpec, DiscoverySpec};
use super::state::RuntimeState;
use super::trace::{self, ListChanges, Verdict};
use crate::clock::Clock;
use crate::endpoints::{Endpoint, EndpointListObserver};
use crate::memory::{EndpointListMemory, MemoryAccount};
use crate::upstream::pool::{ConnectionPool, Upstream};
use crate::upstream::response::UpstreamResponse;
use mintshelf_balancer::api::{
    Action, AttemptNumber, EndpointState, Event, ListKind, ListedServer, Outcome, RequestId,
    ServerId,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_config::balancer::ClusterServer;
use mintshelf_time::Nanos;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which dead idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Passes events to the decision module of one cluster and performs its actions.
///
/// ```no_run
/// use mintshelf_proxy::budget::ResourceBudget;
/// use mintshelf_proxy::cluster::runtime::ClusterRuntime;
/// use mintshelf_proxy::cluster::spec::ClusterSpec;
/// use mintshelf_proxy::upstream::pool::ConnectionPool;
///
/// /// Runs a cluster. Must be called in a `tokio::task::LocalSet`.
/// async fn run_cluster(spec: ClusterSpec, budget: &ResourceBudget) {
///     let runtime = ClusterRuntime::start(spec, ConnectionPool::new(budget));
///     runtime.run().await;
/// }
/// ```
pub struct ClusterRuntime {
    pub(super) state: RefCell<RuntimeState>,
    pub(super) context: Rc<AttemptContext>,
    pub(super) clock: Clock,
    pub(super) upstream: Rc<Upstream>,
    pub(super) source: EndpointSource,
    endpoint_memory: EndpointListMemory,
    health_checker: HealthChecker,
    /// Gossip with other sidecars; `None` if sidecars do not gossip.
    peers: Option<PeerGossip>,
    /// Tracker of the cluster's outages and recoveries; `None` on the platform.
    pub(super) recovery: Option<RecoveryTracker>,
    observer: AttemptObserver,
}

impl ClusterRuntime {
    /// Creates the runtime with an instance of the decision module, and starts discovery.
    /// [`ClusterRuntime::run`] drives its timers.
    pub fn start(spec: ClusterSpec, pool: Rc<ConnectionPool>) -> Rc<Self> {
        let clock = Clock::start();
        let mut actions = Vec::new();
        let settings = spec.settings.clone();
        let balancer = Balancer::new(settings, spec.seed, clock.now(), &mut actions);
        let discovery_address = spec.discovery.as_ref().map(|discovery| discovery.address);
        let source = EndpointSource::new(spec.names.clone(), discovery_address);
        let upstream = Upstream::new(pool, source.endpoints.clone(), spec.upstream_settings());
        let health_checker = HealthChecker::new(&spec, upstream.clone(), clock);
        let observer = AttemptObserver::new(spec.name.clone(), source.endpoints.clone(), clock);
        let runtime = Rc::new(ClusterRuntime {
            state: RefCell::new(RuntimeState::new(balancer)),
            context: Rc::new(AttemptContext::new(&spec, upstream.clone(), clock)),
            clock,
            endpoint_memory: EndpointListMemory::new(upstream.memory()),
            upstream,
            source,
            health_checker,
            recovery: spec.recovery_tracker(),
            peers: spec.peers.filter(|_| spec.settings.has_peers),
            observer,
        });
        runtime.perform_all(&mut runtime.state.borrow_mut(), actions);
        runtime.start_discovery(spec.discovery, spec.settings.must_poll);
        runtime
    }

    fn start_discovery(self: &Rc<Self>, discovery: Option<DiscoverySpec>, must_poll: bool) {
        let cached_list = discovery.and_then(|discovery| discovery.cached_list);
        self.source.start(cached_list.as_deref(), self, must_poll);
    }

    /// Sets the full list of servers, for a cluster without discovery.
    pub fn set_endpoints(self: &Rc<Self>, servers: Vec<ClusterServer>) {
        let endpoints = &self.source.endpoints;
        endpoints.clear();
        for ClusterServer { listed, address } in &servers {
            let takes_requests = listed.state == EndpointState::Live;
            endpoints.insert(listed.id, Endpoint { address: *address, takes_requests });
        }
        let servers = servers.into_iter().map(|server| server.listed).collect();
        self.endpoints_listed(ListKind::Full, 0, servers);
    }

    /// Sets the address of the discovery service. Calls in progress continue until the decision
    /// module starts new ones, so that no event is missed in between.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.source.set_address(address) {
            self.handle(Event::DiscoveryAddressChanged);
        }
    }

    /// Sets the callback for each server at which an attempt failed to connect, was reset or timed
    /// out.
    pub fn on_suspected_failure(&self, callback: impl Fn(ServerId) + 'static) {
        self.observer.on_suspected_failure(Box::new(callback));
    }

    /// Opens an account for the memory of a request that this process originates.
    pub(crate) fn open_memory_account(&self) -> Rc<MemoryAccount> {
        MemoryAccount::open(self.upstream.memory())
    }

    /// Resolves all pending requests at the end of a graceful shutdown, without waiting for servers
    /// any longer. Rejected clients may retry `retry_after` nanoseconds later.
    pub fn resolve_all(self: &Rc<Self>, retry_after: Nanos) {
        let mut state = self.state.borrow_mut();
        state.resolve_all(&self.context.classes, retry_after);
        self.turn(&mut state);
    }

    /// Runs the timers, closes dead connections and receives gossip; never returns.
    pub async fn run(self: &Rc<Self>) {
        tokio::join!(self.run_timers(), self.close_dead_connections(), self.receive_gossip());
    }

    async fn run_timers(self: &Rc<Self>) {
        loop {
            let token = poll_fn(|cx| self.state.borrow_mut().timers.poll_expired(cx)).await;
            self.handle(Event::Timer { token });
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
            peers.listen(|from, payload| self.handle(Event::Gossip { from, payload })).await;
        }
    }

    /// Passes all queued events to the decision module and performs the resulting actions.
    pub(super) fn turn(self: &Rc<Self>, state: &mut RuntimeState) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = Vec::new();
            state.balancer.handle(self.clock.now(), event, &mut actions);
            self.perform_all(state, actions);
        }
    }

    fn perform_all(self: &Rc<Self>, state: &mut RuntimeState, actions: Vec<Action>) {
        for action in actions {
            self.perform(state, action);
        }
    }

    /// Performs one action of the decision module.
    fn perform(self: &Rc<Self>, state: &mut RuntimeState, action: Action) {
        match action {
            Action::Send { id, server, timeout_at } => {
                let command = SendCommand { id, server, timeout_at };
                start_attempt(&self.context, self, state, command);
            }
            Action::Cancel { id, attempt } => state.requests.cancel_attempt(&id, attempt),
            Action::Reject { id, retry_after, reason } => {
                trace::request_ended(&id, &state.requests, Verdict::Rejected, reason);
                state.reject(&id, retry_after);
            }
            Action::Fail { id, reason } => {
                trace::request_ended(&id, &state.requests, Verdict::Failed, reason);
                state.fail(&id);
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
            Action::StartWatch => self.source.start_watch(self.clone()),
            Action::StopWatch => self.source.stop_watch(),
            Action::FetchEndpointList => self.source.fetch(self.clone()),
            // An error while writing the log must not stop the sidecar.
            Action::Log { text } => drop(writeln!(std::io::stderr(), "{text}")),
        }
    }

    fn check_health(self: &Rc<Self>, state: &mut RuntimeState, server: ServerId) {
        let Some(target) = self.upstream.target(server) else {
            return state.events.push_back(unlisted_server(server));
        };
        let runtime = self.clone();
        spawn_local(async move {
            let result = runtime.health_checker.check(target).await;
            runtime.handle(result);
        });
    }
}

impl AttemptSupervisor for ClusterRuntime {
    fn handle(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.turn(&mut state);
    }

    fn attempt_ended(self: &Rc<Self>, id: &RequestId, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        if let Some(ended) = state.requests.end_attempt(id, end, now) {
            if ended.outcome.is_response() {
                self.context.retries.record_response(ended.class, now, ended.elapsed);
            }
            self.observer.attempt_ended(id, &ended);
            if let Some(recovery) = &self.recovery {
                recovery.attempt_ended(now, ended.outcome, ended.is_in_time);
            }
            state.events.push_back(ended.event);
        }
        self.turn(&mut state);
    }

    fn deliver(&self, id: &RequestId, response: UpstreamResponse) {
        let outcome = RequestOutcome::Served(Box::new(response));
        let undelivered = self.state.borrow_mut().requests.resolve(id, outcome);
        // Dropped after the state borrow has ended: a dropped stream reports its end to the runtime.
        drop(undelivered);
    }

    fn store_fallback(&self, id: &RequestId, outcome: Outcome, response: UpstreamResponse) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(id) {
            request.fallback.store(outcome, response);
        }
    }

    fn others_may_have_run(&self, id: &RequestId, number: AttemptNumber) -> bool {
        let state = self.state.borrow();
        state.requests.get(id).is_some_and(|request| request.others_may_have_run(number))
    }

    fn can_retry(&self) -> bool {
        self.state.borrow().balancer.can_retry()
    }
}

impl EndpointListObserver for Rc<ClusterRuntime> {
    fn endpoints_listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>) {
        let changes = ListChanges::count(&servers);
        let started_at = Instant::now();
        let event = Event::EndpointListUpdate { kind, revision: version, entries: servers.into() };
        self.handle(event);
        self.endpoint_memory.set_servers(self.upstream.endpoint_count());
        trace::list_applied(kind, version, changes, started_at.elapsed());
        trace::in_service(&self.state.borrow().balancer);
    }
}
